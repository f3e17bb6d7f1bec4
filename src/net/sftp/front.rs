//! Client connections of the SFTP front. A connection's task owns its file handles and its commands in
//! flight, and drops them when the client leaves.

use super::back::{FileWork, Job, Operation, Stores};
use super::packet::{
    self, Command, EncodedReply, MAX_DATA_BYTES, Malformed, Reply, Request, Response, Status, VERSION,
};
use crate::config::sftp::{ClassLimits, FileTarget, SftpFront, TargetError};
use crate::core::{Answer, Arrival, Handle, wait_less_margin};
use crate::event;
use crate::lifecycle_state::Phase;
use crate::net::front::accept_all;
use crate::net::inbound::{Inbound, Presence};
use crate::net::lifecycle::until;
use crate::net::slots::{Slot, Slots};
use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, SinkExt, StreamExt};
use log::debug;
use pathbank_memory::share::{MemoryLease, MemoryShare};
use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};
use tokio_util::codec::Framed;

/// The most files that a client may have open.
const MAX_HANDLES: usize = 64;
/// The most commands of a client in flight. The front reads no further command until one has a reply.
const MAX_IN_FLIGHT: usize = 16;
/// What a command holds beside its data: its task, its path, and its turn at the node.
const COMMAND_BYTES: usize = 12 * 1024;
/// How often a command that waits for memory looks again.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a client may take to receive a reply before the front closes the connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// The SFTP front.
#[derive(Clone)]
pub struct Front {
    /// Submits commands to the core.
    pub handle: Handle,
    /// The connections to storage nodes.
    pub stores: Stores,
    /// The memory for commands that are carried out.
    pub memory: MemoryShare,
    /// The front's configuration.
    pub config: Arc<SftpFront>,
    /// How long before a command's deadline the front answers.
    pub answer_margin: Duration,
    /// The phase of the process's life, which tells when to stop accepting and when to close.
    pub phase: watch::Receiver<Phase>,
}

/// A file that a client has open. The proxy keeps it, whichever node holds the file's data. Commands on one
/// handle run one after another, as the specification requires of commands on one file.
struct File {
    path: String,
    flags: u32,
    lock: Mutex<()>,
}

/// The result of a command.
struct CommandResult {
    id: u32,
    /// The node's encoded reply, or a reply of the proxy's own.
    reply: Result<Bytes, Reply>,
    /// The file to register if the reply is a handle.
    opened: Option<File>,
    /// The memory for the command and its reply, until the reply is sent.
    _memory: MemoryLease,
}

/// A command for which there is no memory yet. Nothing more is read from its client.
struct WaitingCommand {
    id: u32,
    command: Command,
    received: Instant,
}

type InFlight = Pin<Box<dyn Future<Output = CommandResult> + Send>>;

/// Accepts and serves clients until the phase no longer accepts connections, which happens only while the
/// process stops: a draining process still accepts.
pub async fn serve(listener: TcpListener, front: Front, slots: Slots) {
    let phase = front.phase.clone();
    accept_all(listener, slots, phase, |stream, slot, _| serve_client(stream, slot, front.clone())).await;
}

async fn serve_client(stream: TcpStream, slot: Slot, front: Front) {
    let (inbound, client) = Inbound::new(stream);
    let mut session = Session {
        packets: Framed::new(inbound, packet::packet_codec()),
        client: client.clone(),
        front,
        slot: slot.clone(),
        files: BTreeMap::new(),
        last_handle: 0,
        in_flight: FuturesUnordered::new(),
        waiting: None,
    };
    let reason = session.run().await;
    let (handles, in_flight) = (session.files.len(), session.in_flight.len());
    event!(FILE_CLIENT_GONE, reason, handles, in_flight);
    drop(session);
    client.linger(&slot).await;
}

/// A client's connection.
struct Session {
    packets: Framed<Inbound, tokio_util::codec::LengthDelimitedCodec>,
    client: Presence,
    front: Front,
    slot: Slot,
    files: BTreeMap<u64, Arc<File>>,
    last_handle: u64,
    in_flight: FuturesUnordered<InFlight>,
    waiting: Option<WaitingCommand>,
}

impl Session {
    /// Serves the connection until it ends, and returns why it ended.
    async fn run(&mut self) -> &'static str {
        let first = tokio::select! {
            biased;
            first = self.packets.next() => first,
            _ = self.slot.asked_to_leave() => None,
        };
        match first {
            Some(Ok(first)) => match Request::decode(first.freeze()) {
                Ok(Request::Init { version }) if version >= VERSION => {}
                _ => return "no INIT of version 3 or later",
            },
            _ => return "no INIT",
        }
        if !self.send(Response::Version(VERSION).encode()).await {
            return "the connection broke";
        }
        let mut phase = self.front.phase.clone();
        // The slot is wanted for another client, or a time limit has passed.
        let mut asked_to_leave = false;
        let client = self.client.clone();
        let mut client_left = pin!(client.left());
        loop {
            let idle = self.in_flight.is_empty() && self.waiting.is_none();
            if idle {
                self.slot.mark_answered();
                // A command that has already arrived is served before the connection closes.
                if asked_to_leave && !client.has_unread() {
                    return "its place was wanted";
                }
            } else {
                self.slot.mark_waiting();
            }
            let full = self.in_flight.len() >= MAX_IN_FLIGHT || self.waiting.is_some();
            tokio::select! {
                biased;
                Some(CommandResult { id, reply, opened, _memory }) = self.in_flight.next() => {
                    let packet = match (reply, opened) {
                        (Ok(_), Some(file)) => Response::Reply { id, reply: self.register(file) }.encode(),
                        (Ok(packet), None) => packet,
                        (Err(reply), _) => Response::Reply { id, reply }.encode(),
                    };
                    if !self.send(packet).await {
                        return "it takes no replies";
                    }
                }
                () = sleep(MEMORY_POLL_INTERVAL), if self.waiting.is_some() => {
                    if let Some(waiting) = self.waiting.take() {
                        self.start(waiting);
                    }
                }
                // Notices a closed connection also while no command is read from it.
                () = &mut client_left => return "it closed the connection",
                _ = self.slot.asked_to_leave() => asked_to_leave = true,
                packet = self.packets.next(), if !full && (idle || !asked_to_leave) => {
                    let received = Instant::now();
                    let packet = match packet {
                        Some(Ok(packet)) => packet.freeze(),
                        Some(Err(_)) => return "the connection broke or a packet is too long",
                        None => return "it closed the connection",
                    };
                    match Request::decode(packet) {
                        Ok(Request::Command { id, command }) => {
                            self.start(WaitingCommand { id, command, received });
                        }
                        Ok(Request::Init { .. }) => return "a second INIT",
                        Err(Malformed { id: Some(id), problem }) => {
                            self.queue_reply(id, Reply::status(Status::BadMessage, problem));
                        }
                        Err(Malformed { id: None, problem }) => return problem,
                    }
                }
                () = until(&mut phase, |phase| phase.close), if idle => {
                    if !client.has_unread() {
                        return "the head leaves";
                    }
                }
            }
        }
    }

    async fn send(&mut self, packet: Bytes) -> bool {
        matches!(timeout(SEND_TIMEOUT, self.packets.send(packet)).await, Ok(Ok(())))
    }

    /// Queues a reply that needs no node. It counts as a command in flight, like all others.
    fn queue_reply(&mut self, id: u32, reply: Reply) {
        let memory = self.front.memory.empty_lease();
        self.in_flight.push(Box::pin(async move {
            CommandResult { id, reply: Err(reply), opened: None, _memory: memory }
        }));
    }

    /// Registers an opened file and returns the reply with its handle.
    fn register(&mut self, file: File) -> Reply {
        self.last_handle += 1;
        self.files.insert(self.last_handle, Arc::new(file));
        Reply::Handle(Bytes::copy_from_slice(&self.last_handle.to_be_bytes()))
    }

    fn file(&self, handle: &Bytes) -> Result<Arc<File>, Reply> {
        let number = <[u8; 8]>::try_from(&handle[..]).ok().map(u64::from_be_bytes);
        let file = number.and_then(|number| self.files.get(&number));
        file.cloned().ok_or_else(|| Reply::status(Status::Failure, "no such handle"))
    }

    /// Starts a command, or has it wait for memory.
    fn start(&mut self, waiting: WaitingCommand) {
        match self.front.memory.lease(command_bytes(&waiting.command)) {
            Ok(memory) => self.dispatch(waiting.id, waiting.command, waiting.received, memory),
            Err(_) => self.waiting = Some(waiting),
        }
    }

    /// Carries a command out.
    fn dispatch(&mut self, id: u32, command: Command, received: Instant, memory: MemoryLease) {
        match self.plan(command) {
            Err(reply) => self.queue_reply(id, reply),
            Ok(PlannedOperation { path, operation, file, opens }) => {
                let (front, client) = (self.front.clone(), self.client.clone());
                self.in_flight.push(Box::pin(async move {
                    let result =
                        AssertUnwindSafe(run_operation(&front, client, path, operation, file, received))
                            .catch_unwind();
                    let reply = result.await.unwrap_or_else(|_| {
                        event!(HANDLER_PANIC, front = "file commands");
                        Err(Reply::status(Status::Failure, "failed; it may have been done"))
                    });
                    let opened = opens.filter(|_| reply.as_ref().is_ok_and(EncodedReply::is_handle));
                    let reply = reply.map(|reply| reply.with_id(id));
                    CommandResult { id, reply, opened, _memory: memory }
                }));
            }
        }
    }

    /// Plans the operation for a command. `Err` is the reply to a command that needs no node.
    fn plan(&mut self, command: Command) -> Result<PlannedOperation, Reply> {
        let planned = |path: &str, operation, file| PlannedOperation {
            path: path.to_string(),
            operation,
            file,
            opens: None,
        };
        Ok(match command {
            Command::Open { path, flags, attrs } => {
                if flags & (packet::READ | packet::WRITE) == 0 {
                    return Err(Reply::status(Status::BadMessage, "neither read nor write"));
                }
                // All commands in flight count, since they may open files.
                if self.files.len() + self.in_flight.len() >= MAX_HANDLES {
                    return Err(Reply::status(Status::Failure, "too many open files"));
                }
                let opens = Some(File { path: path.clone(), flags, lock: Mutex::new(()) });
                PlannedOperation { opens, ..planned(&path, Operation::Open { flags, attrs }, None) }
            }
            Command::Close { handle } => {
                let file = self.file(&handle)?;
                if let Ok(number) = <[u8; 8]>::try_from(&handle[..]) {
                    self.files.remove(&u64::from_be_bytes(number));
                }
                // Earlier commands in flight still hold the file. No node has it open.
                debug!(path = file.path.as_str(); "a client closed its file handle");
                return Err(Reply::status(Status::Ok, "closed"));
            }
            Command::Read { handle, offset, length } => {
                let file = allowed(self.file(&handle)?, packet::READ)?;
                // A server may return fewer bytes than requested; the limit bounds the memory of a reply.
                let length = length.min(MAX_DATA_BYTES as u32);
                planned(&file.path, Operation::Read { offset, length }, Some(file.clone()))
            }
            Command::Write { handle, offset, data } => {
                let file = allowed(self.file(&handle)?, packet::WRITE)?;
                let append = file.flags & packet::APPEND != 0;
                planned(&file.path, Operation::Write { offset, data, append }, Some(file.clone()))
            }
            Command::Stat { path, follow } => planned(&path, Operation::Stat { follow }, None),
            Command::Fstat { handle } => {
                let file = self.file(&handle)?;
                planned(&file.path, Operation::Stat { follow: true }, Some(file.clone()))
            }
            Command::Unsupported(_) => return Err(Reply::status(Status::OpUnsupported, "not served here")),
        })
    }
}

/// What a command holds until its reply is sent: its bytes, and those of the reply.
fn command_bytes(command: &Command) -> usize {
    let data = match command {
        Command::Read { length, .. } => (*length as usize).min(MAX_DATA_BYTES),
        Command::Write { data, .. } => data.len(),
        Command::Open { .. }
        | Command::Close { .. }
        | Command::Stat { .. }
        | Command::Fstat { .. }
        | Command::Unsupported(_) => 0,
    };
    COMMAND_BYTES + data
}

/// The operation that a command needs.
struct PlannedOperation {
    path: String,
    operation: Operation,
    /// The file of the command's handle.
    file: Option<Arc<File>>,
    /// The file to register if the operation opens one.
    opens: Option<File>,
}

/// Returns the file if it was opened with `flag`.
fn allowed(file: Arc<File>, flag: u32) -> Result<Arc<File>, Reply> {
    if file.flags & flag != 0 {
        Ok(file)
    } else {
        Err(Reply::status(Status::PermissionDenied, "the file was not opened for that"))
    }
}

/// Returns the class of an operation and the number of bytes that it transfers.
fn class_and_bytes(target: &FileTarget, operation: &Operation) -> (ClassLimits, usize) {
    let rule = target.rule;
    match operation {
        Operation::Open { flags, .. } if flags & (packet::CREAT | packet::TRUNC | packet::EXCL) != 0 => {
            (rule.non_repeatable, 0)
        }
        Operation::Open { .. } | Operation::Stat { .. } => (rule.read, 0),
        Operation::Read { length, .. } => (rule.read, *length as usize),
        Operation::Write { append: true, data, .. } => (rule.non_repeatable, data.len()),
        // Writing the same bytes at the same offset again is harmless, so the class of writes applies.
        Operation::Write { data, .. } => (rule.write, data.len()),
    }
}

/// Submits an operation to the core and waits for its reply.
async fn run_operation(
    front: &Front,
    client: Presence,
    path: String,
    operation: Operation,
    file: Option<Arc<File>>,
    received: Instant,
) -> Result<EncodedReply, Reply> {
    let target = front.config.target(&path).map_err(|error| match error {
        TargetError::MalformedPath => Reply::status(Status::PermissionDenied, "no path for here"),
        TargetError::Unmapped => Reply::status(Status::NoSuchFile, "nothing is kept there"),
    })?;
    let (limits, bytes) = class_and_bytes(&target, &operation);
    let answer_by = received + wait_less_margin(limits.wait, front.answer_margin);
    let lock = async {
        match &file {
            Some(file) => Some(file.lock.lock().await),
            None => None,
        }
    };
    let Ok(_guard) = timeout_at(answer_by, lock).await else {
        return Err(Reply::status(Status::Failure, "no turn in time; nothing was done"));
    };
    let arrival = Arrival {
        body_time: None,
        volume: target.volume,
        key: target.key,
        class: limits.class,
        plan: target.rule.plan,
        units: target.rule.units(bytes),
        volume_hosts: target.rule.hosts,
        repeat: false,
        shard: Some(target.shard),
        answer_by,
    };
    let work = FileWork { stores: front.stores.clone(), job: Job { path, operation }, client };
    let answer = match front.handle.submit(arrival, Arc::new(work)) {
        Some(pending) => pending.await,
        None => Answer::Refused(Duration::from_secs(1)),
    };
    encoded_reply(answer)
}

/// Returns the reply for the core's final answer. The specification has one code for all failures of a
/// server, so the text says whether a retry is harmless.
fn encoded_reply(answer: Answer) -> Result<EncodedReply, Reply> {
    match answer {
        Answer::Served(body) => EncodedReply::from_bytes(body)
            .ok_or_else(|| Reply::status(Status::Failure, "an unreadable reply")),
        Answer::Refused(after) => {
            let text = format!("refused; trying again is harmless after {:.3} s", after.as_secs_f64());
            Err(Reply::status(Status::Failure, text))
        }
        Answer::Failed => Err(Reply::status(Status::Failure, "failed; it may have been done")),
    }
}
