//! Connections from the SFTP front to storage nodes. Each attempt opens a file at its node, performs one
//! operation and closes the file, so that a node holds nothing between attempts: a client's open file
//! survives the drain of its node, and a client that leaves keeps nothing open.

use super::packet::{self, Attrs, Command, EncodedReply, Reply, Request, Response, Status, VERSION};
use crate::attempt_end::AttemptEnd;
use crate::config::{Config, NodeLimits};
use crate::core::{Attempt, AttemptContext, AttemptSource, Report, WriteState};
use crate::net::inbound::Presence;
use crate::net::pool::{Pool, Quiet};
use crate::net::socket;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The text of the FAILURE status by which a node says that it did not run a command, as `X-Not-Processed`
/// does in HTTP.
pub const NOT_PROCESSED: &str = "not processed";

/// An operation on a file.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Opens the file, to create, truncate or check it.
    Open { flags: u32, attrs: Attrs },
    /// Reads up to `length` bytes.
    Read { offset: u64, length: u32 },
    /// Writes bytes; `append`: at the end of the file.
    Write { offset: u64, data: Bytes, append: bool },
    /// Reads the attributes; `follow`: of the target of a symbolic link.
    Stat { follow: bool },
}

/// A connection to a storage node.
struct Connection {
    packets: Framed<TcpStream, LengthDelimitedCodec>,
    next_id: u32,
}

impl Quiet for Connection {
    fn quiet(&self) -> bool {
        self.packets.read_buffer().is_empty() && self.packets.get_ref().quiet()
    }
}

/// The connections to all storage nodes; clones share them.
#[derive(Clone)]
pub struct Stores {
    pool: Pool<Connection>,
    /// The port on which nodes accept file commands; `None`: the port that discovery gives.
    port: Option<u16>,
}

/// How an attempt failed, and whether the node may have run its operation.
enum AttemptError {
    /// The operation did not run.
    NotRun(AttemptEnd),
    /// The operation may have run.
    MayHaveRun(AttemptEnd),
}

impl AttemptError {
    fn end(self) -> AttemptEnd {
        match self {
            AttemptError::NotRun(end) | AttemptError::MayHaveRun(end) => end,
        }
    }
}

impl Stores {
    /// Creates a pool without connections, and starts the task that closes idle ones.
    pub fn new(config: &Config, port: Option<u16>) -> Stores {
        // These connections share the file descriptors with the HTTP front's connections to nodes.
        let limits = NodeLimits { most: config.clients.most / 4, ..config.node_connections };
        let pool = Pool::new(limits);
        tokio::spawn(pool.clone().watch());
        Stores { pool, port }
    }

    fn address(&self, listed: &str) -> Option<SocketAddr> {
        let listed: SocketAddr = listed.parse().ok()?;
        Some(SocketAddr::new(listed.ip(), self.port.unwrap_or(listed.port())))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, AttemptEnd> {
        let until = Instant::now() + self.pool.limits.connect;
        let stream = timeout_at(until, socket::connect(address)).await;
        let Ok(Ok(stream)) = stream else { return Err(AttemptEnd::NoConnection) };
        let _ = stream.set_nodelay(true); // affects latency only
        let mut connection = Connection { packets: Framed::new(stream, packet::packet_codec()), next_id: 0 };
        connection.send(Request::Init { version: VERSION }).await.map_err(|()| AttemptEnd::NoConnection)?;
        // The connection is established once the node has sent its version.
        match timeout_at(until, connection.receive()).await {
            Ok(Ok(Response::Version(VERSION))) => Ok(connection),
            _ => Err(AttemptEnd::NoConnection),
        }
    }

    async fn attempt(self, job: Job, context: AttemptContext) -> Report {
        let Some(address) = self.address(&context.address) else { return AttemptEnd::NotStarted.into() };
        let _in_use = self.pool.begin();
        if let Some(connection) = self.pool.take(address) {
            match self.run_on(address, connection, &job, &context).await {
                // The pooled connection had been closed, and the operation did not run: a new connection is
                // tried.
                Err(AttemptError::NotRun(AttemptEnd::BrokeUnsent)) => {}
                Err(error) => return error.end().into(),
                Ok(report) => return report,
            }
        }
        match self.connect(address).await {
            Err(end) => end.into(),
            Ok(connection) => self
                .run_on(address, connection, &job, &context)
                .await
                .unwrap_or_else(|error| error.end().into()),
        }
    }

    /// Runs the job on a connection, which returns to the pool if it succeeds.
    async fn run_on(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        job: &Job,
        context: &AttemptContext,
    ) -> Result<Report, AttemptError> {
        if !context.write_state.may_start_writing() {
            return Err(AttemptError::NotRun(AttemptEnd::Unsent));
        }
        context.write_state.mark_started();
        let reply = connection.run(job, &context.write_state).await;
        // If the node may have run the operation, all of its packet was written.
        if !matches!(reply, Err(AttemptError::NotRun(_))) {
            context.write_state.mark_complete();
        }
        let reply = reply?;
        self.pool.release(address, connection);
        let end = match &reply {
            Reply::Status { code: Status::Failure, text } if text == NOT_PROCESSED => AttemptEnd::TurnedAway,
            Reply::Status { code: Status::Failure | Status::BadMessage, .. } => AttemptEnd::ErrorAnswer,
            _ => AttemptEnd::Answered,
        };
        Ok(Report { body: EncodedReply::new(&reply).into_bytes(), ..end.into() })
    }
}

impl Connection {
    async fn send(&mut self, request: Request) -> Result<(), ()> {
        self.packets.send(request.encode()).await.map_err(|_| ())
    }

    async fn receive(&mut self) -> Result<Response, AttemptEnd> {
        match self.packets.next().await {
            Some(Ok(packet)) => Response::decode(packet.freeze()).map_err(|_| AttemptEnd::BadAnswer),
            _ => Err(AttemptEnd::Broke),
        }
    }

    /// Sends a command and waits for its reply. `write_state` is given with the command that performs the
    /// job's operation, which is completely written with the last byte of the packet.
    async fn request(
        &mut self,
        command: Command,
        write_state: Option<&WriteState>,
    ) -> Result<Reply, AttemptError> {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let expected = command.expected_reply();
        // A node never runs a command whose last byte was not written.
        self.send(Request::Command { id, command })
            .await
            .map_err(|()| AttemptError::NotRun(AttemptEnd::BrokeUnsent))?;
        write_state.into_iter().for_each(WriteState::mark_complete);
        match self.receive().await {
            Ok(Response::Reply { id: answered, reply }) if answered == id && expected.is_met_by(&reply) => {
                Ok(reply)
            }
            Ok(_) => Err(AttemptError::MayHaveRun(AttemptEnd::BadAnswer)),
            Err(end) => Err(AttemptError::MayHaveRun(end)),
        }
    }

    /// Opens the file, performs the job's operation and closes the file.
    async fn run(&mut self, job: &Job, write_state: &WriteState) -> Result<Reply, AttemptError> {
        let path = job.path.clone();
        let opens = matches!(job.operation, Operation::Open { .. }).then_some(write_state);
        let (flags, attrs) = match &job.operation {
            Operation::Stat { follow } => {
                return self.request(Command::Stat { path, follow: *follow }, Some(write_state)).await;
            }
            Operation::Open { flags, attrs } => (*flags, *attrs),
            Operation::Read { .. } => (packet::READ, Attrs::default()),
            Operation::Write { append, .. } => {
                (packet::WRITE | if *append { packet::APPEND } else { 0 }, Attrs::default())
            }
        };
        let opened = self.request(Command::Open { path, flags, attrs }, opens).await.map_err(|error| {
            match (&job.operation, error) {
                // Opening the file is the job's operation.
                (Operation::Open { .. }, error) => error,
                // The file was opened for another operation, which has not run.
                (_, error) => AttemptError::NotRun(match error.end() {
                    AttemptEnd::Broke => AttemptEnd::BrokeUnsent,
                    end => end,
                }),
            }
        })?;
        let handle = match opened {
            Reply::Handle(handle) => handle,
            refusal => return Ok(refusal),
        };
        let reply = match &job.operation {
            Operation::Read { offset, length } => {
                let (handle, offset, length) = (handle.clone(), *offset, *length);
                self.request(Command::Read { handle, offset, length }, Some(write_state)).await?
            }
            Operation::Write { offset, data, .. } => {
                let (handle, offset, data) = (handle.clone(), *offset, data.clone());
                self.request(Command::Write { handle, offset, data }, Some(write_state)).await?
            }
            Operation::Open { .. } | Operation::Stat { .. } => Reply::Handle(handle.clone()),
        };
        match self.request(Command::Close { handle }, None).await {
            Ok(Reply::Status { code: Status::Ok, .. }) => Ok(reply),
            // The node may not have stored what was written.
            Ok(_) => Err(AttemptError::MayHaveRun(AttemptEnd::ErrorAnswer)),
            Err(error) => Err(AttemptError::MayHaveRun(match error.end() {
                AttemptEnd::BrokeUnsent => AttemptEnd::Broke,
                end => end,
            })),
        }
    }
}

/// An operation and the path of its file.
#[derive(Clone, Debug)]
pub struct Job {
    /// The file's path.
    pub path: String,
    /// The operation.
    pub operation: Operation,
}

/// A source of attempts for one job.
pub struct FileWork {
    /// The connections that attempts use.
    pub stores: Stores,
    /// The job that attempts perform.
    pub job: Job,
    /// Whether the client's connection is still open.
    pub client: Presence,
}

impl AttemptSource for FileWork {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        Box::pin(self.stores.clone().attempt(self.job.clone(), context))
    }

    fn client_left(&self) -> bool {
        self.client.has_left()
    }
}

#[cfg(test)]
mod tests;
