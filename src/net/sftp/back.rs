//! Store nodes behind the second front. Each attempt opens the file at its node, does one thing and closes it
//! again, so that a node holds nothing between attempts: a file outlives its node's drain, and a client that
//! goes leaves nothing open.

use super::packet::{self, Attrs, Command, Encoded, Reply, Request, Response, Status, VERSION};
use crate::attempt_end::AttemptEnd;
use crate::config::{Config, NodeLimits};
use crate::core::{Attempt, AttemptContext, AttemptSource, Report, WriteState};
use crate::net::inbound::Presence;
use crate::net::pool::{Pool, Quiet};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// A node's way to say that a command never ran, as `X-Not-Processed` does over HTTP: FAILURE with this text.
pub const NOT_PROCESSED: &str = "not processed";

/// One thing to do with a file.
#[derive(Clone, Debug)]
pub enum Deed {
    Open { flags: u32, attrs: Attrs },
    Read { offset: u64, length: u32 },
    Write { offset: u64, data: Bytes, append: bool },
    Stat { follow: bool },
}

struct Connection {
    packets: Framed<TcpStream, LengthDelimitedCodec>,
    next_id: u32,
}

impl Quiet for Connection {
    fn quiet(&self) -> bool {
        self.packets.read_buffer().is_empty() && self.packets.get_ref().quiet()
    }
}

#[derive(Clone)]
pub struct Stores {
    pool: Pool<Connection>,
    /// Where nodes listen for file commands; without it at the address that discovery gives.
    port: Option<u16>,
}

/// How a step failed, and whether the command it led to may have run.
enum Fault {
    Before(AttemptEnd),
    After(AttemptEnd),
}

impl Fault {
    fn end(self) -> AttemptEnd {
        match self {
            Fault::Before(end) | Fault::After(end) => end,
        }
    }
}

impl Stores {
    pub fn new(config: &Config, port: Option<u16>) -> Stores {
        // The first front's connections to nodes share the descriptors with these.
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
        let stream = timeout_at(until, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else { return Err(AttemptEnd::NoConnection) };
        let _ = stream.set_nodelay(true); // only a matter of speed
        let mut connection = Connection { packets: Framed::new(stream, packet::frames()), next_id: 0 };
        connection.send(Request::Init { version: VERSION }).await.map_err(|()| AttemptEnd::NoConnection)?;
        // It is not up before its version is known.
        match timeout_at(until, connection.receive()).await {
            Ok(Ok(Response::Version(VERSION))) => Ok(connection),
            _ => Err(AttemptEnd::NoConnection),
        }
    }

    async fn attempt(self, job: Job, context: AttemptContext) -> Report {
        let Some(address) = self.address(&context.address) else { return AttemptEnd::NotStarted.into() };
        let _in_use = self.pool.begin();
        if let Some(connection) = self.pool.take(address) {
            match self.on(address, connection, &job, &context).await {
                // It had been closed in the meantime; what the command does was not begun.
                Err(Fault::Before(AttemptEnd::BrokeUnsent)) => {}
                Err(fault) => return fault.end().into(),
                Ok(report) => return report,
            }
        }
        match self.connect(address).await {
            Err(end) => end.into(),
            Ok(connection) => {
                self.on(address, connection, &job, &context).await.unwrap_or_else(|fault| fault.end().into())
            }
        }
    }

    async fn on(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        job: &Job,
        context: &AttemptContext,
    ) -> Result<Report, Fault> {
        if !context.write_state.may_start_writing() {
            return Err(Fault::Before(AttemptEnd::Unsent));
        }
        context.write_state.mark_started();
        let reply = connection.carry_out(job, &context.write_state).await;
        // What its node may have carried out was written whole.
        if !matches!(reply, Err(Fault::Before(_))) {
            context.write_state.mark_complete();
        }
        let reply = reply?;
        self.pool.put(address, connection);
        let end = match &reply {
            Reply::Status { code: Status::Failure, text } if text == NOT_PROCESSED => AttemptEnd::TurnedAway,
            Reply::Status { code: Status::Failure | Status::BadMessage, .. } => AttemptEnd::ErrorAnswer,
            _ => AttemptEnd::Answered,
        };
        Ok(Report { body: Encoded::new(&reply).into_bytes(), ..end.into() })
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

    /// `write_state`: the command is what its job does, and whole with the packet's last byte.
    async fn ask(&mut self, command: Command, write_state: Option<&WriteState>) -> Result<Reply, Fault> {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        // A packet of which the last byte was not written is never carried out.
        self.send(Request::Command { id, command })
            .await
            .map_err(|()| Fault::Before(AttemptEnd::BrokeUnsent))?;
        write_state.into_iter().for_each(WriteState::mark_complete);
        match self.receive().await {
            Ok(Response::Reply { id: answered, reply }) if answered == id => Ok(reply),
            Ok(_) => Err(Fault::After(AttemptEnd::BadAnswer)),
            Err(end) => Err(Fault::After(end)),
        }
    }

    async fn carry_out(&mut self, job: &Job, write_state: &WriteState) -> Result<Reply, Fault> {
        let path = job.path.clone();
        let opens = matches!(job.deed, Deed::Open { .. }).then_some(write_state);
        let (flags, attrs) = match &job.deed {
            Deed::Stat { follow } => {
                return self.ask(Command::Stat { path, follow: *follow }, Some(write_state)).await;
            }
            Deed::Open { flags, attrs } => (*flags, *attrs),
            Deed::Read { .. } => (packet::READ, Attrs::default()),
            Deed::Write { append, .. } => {
                (packet::WRITE | if *append { packet::APPEND } else { 0 }, Attrs::default())
            }
        };
        let opened = self.ask(Command::Open { path, flags, attrs }, opens).await.map_err(|fault| {
            match (&job.deed, fault) {
                // Opening is what the command does.
                (Deed::Open { .. }, fault) => fault,
                // The file was not touched yet: the command itself never ran.
                (_, fault) => Fault::Before(match fault.end() {
                    AttemptEnd::Broke => AttemptEnd::BrokeUnsent,
                    end => end,
                }),
            }
        })?;
        let handle = match opened {
            Reply::Handle(handle) => handle,
            Reply::Status { code: Status::Ok, .. } | Reply::Data(_) | Reply::Attrs(_) => {
                return Err(Fault::Before(AttemptEnd::BadAnswer));
            }
            refusal => return Ok(refusal),
        };
        let reply = match &job.deed {
            Deed::Read { offset, length } => {
                let (handle, offset, length) = (handle.clone(), *offset, *length);
                self.ask(Command::Read { handle, offset, length }, Some(write_state)).await?
            }
            Deed::Write { offset, data, .. } => {
                let (handle, offset, data) = (handle.clone(), *offset, data.clone());
                self.ask(Command::Write { handle, offset, data }, Some(write_state)).await?
            }
            Deed::Open { .. } | Deed::Stat { .. } => Reply::Handle(handle.clone()),
        };
        match self.ask(Command::Close { handle }, None).await {
            Ok(Reply::Status { code: Status::Ok, .. }) => Ok(reply),
            // What was written may not have been kept.
            Ok(_) => Err(Fault::After(AttemptEnd::ErrorAnswer)),
            Err(fault) => Err(Fault::After(match fault.end() {
                AttemptEnd::BrokeUnsent => AttemptEnd::Broke,
                end => end,
            })),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Job {
    pub path: String,
    pub deed: Deed,
}

pub struct FileWork {
    pub stores: Stores,
    pub job: Job,
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
