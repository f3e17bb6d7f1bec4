//! Clients of the second front. A connection's task owns its file handles and its commands in flight: when the
//! client goes, the task goes, and all that it held with it.

use super::back::{Deed, FileWork, Job, Stores};
use super::packet::{
    self, Command, Encoded, MOST_DATA, Malformed, Reply, Request, Response, Status, VERSION,
};
use crate::config::sftp::{NoPlace, Place, SecondFront, Use};
use crate::core::{Answer, Arrival, Handle, less_margin};
use crate::event;
use crate::life::Phase;
use crate::net::front::accept_all;
use crate::net::inbound::{Inbound, Presence};
use crate::net::lifecycle::until;
use crate::net::slots::{Slot, Slots};
use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, SinkExt, StreamExt};
use log::debug;
use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::time::{Duration, Instant, timeout, timeout_at};
use tokio_util::codec::Framed;

/// Files that a client may have open, and its commands in flight: beyond that it is not read from.
const MOST_HANDLES: usize = 64;
const MOST_IN_FLIGHT: usize = 16;
/// A client that takes no replies is let go after this.
const PATIENCE: Duration = Duration::from_secs(20);

#[derive(Clone)]
pub struct Front {
    pub handle: Handle,
    pub stores: Stores,
    pub config: Arc<SecondFront>,
    pub answer_margin: Duration,
    pub phase: watch::Receiver<Phase>,
}

/// An open file: the head's own, whichever node its data lies on at the moment. Commands on one handle take their
/// turns, as the specification wants of commands on one file.
struct File {
    path: String,
    flags: u32,
    turn: Mutex<()>,
}

/// The request's id; its answer, encoded or of the head's own; and, where that is a handle, the file to keep for it.
type Done = (u32, Result<Bytes, Reply>, Option<File>);
type InFlight = Pin<Box<dyn Future<Output = Done> + Send>>;

pub async fn serve(listener: TcpListener, front: Front, slots: Slots) {
    let phase = front.phase.clone();
    accept_all(listener, slots, phase, |stream, slot, _| client(stream, slot, front.clone())).await;
}

async fn client(stream: TcpStream, slot: Slot, front: Front) {
    let (inbound, client) = Inbound::new(stream);
    let mut session = Session {
        packets: Framed::new(inbound, packet::frames()),
        client: client.clone(),
        front,
        slot: slot.clone(),
        files: BTreeMap::new(),
        last: 0,
        in_flight: FuturesUnordered::new(),
    };
    let reason = session.run().await;
    let (handles, in_flight) = (session.files.len(), session.in_flight.len());
    event!(FILE_CLIENT_GONE, reason, handles, in_flight);
    drop(session);
    client.linger(&slot).await;
}

struct Session {
    packets: Framed<Inbound, tokio_util::codec::LengthDelimitedCodec>,
    client: Presence,
    front: Front,
    slot: Slot,
    files: BTreeMap<u64, Arc<File>>,
    last: u64,
    in_flight: FuturesUnordered<InFlight>,
}

impl Session {
    /// Serves until the connection ends; returns why.
    async fn run(&mut self) -> &'static str {
        let first = tokio::select! {
            biased;
            first = self.packets.next() => first,
            _ = self.slot.told_to_leave() => None,
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
        let mut wanted = false;
        let client = self.client.clone();
        let mut gone = pin!(client.left());
        loop {
            let idle = self.in_flight.is_empty();
            if idle {
                self.slot.answered();
                // A command that has come in this very moment is read before the connection closes.
                if wanted && !client.has_unread() {
                    return "its place was wanted";
                }
            } else {
                self.slot.waiting();
            }
            let full = self.in_flight.len() >= MOST_IN_FLIGHT;
            tokio::select! {
                biased;
                Some((id, reply, file)) = self.in_flight.next() => {
                    let packet = match (reply, file) {
                        (Ok(_), Some(file)) => Response::Reply { id, reply: self.keep(file) }.encode(),
                        (Ok(packet), None) => packet,
                        (Err(reply), _) => Response::Reply { id, reply }.encode(),
                    };
                    if !self.send(packet).await {
                        return "it takes no replies";
                    }
                }
                // Its end is seen also while it is not read from.
                () = &mut gone => return "it closed the connection",
                _ = self.slot.told_to_leave() => wanted = true,
                packet = self.packets.next(), if !full && (idle || !wanted) => {
                    let received = Instant::now();
                    let packet = match packet {
                        Some(Ok(packet)) => packet.freeze(),
                        Some(Err(_)) => return "the connection broke or a packet is too long",
                        None => return "it closed the connection",
                    };
                    match Request::decode(packet) {
                        Ok(Request::Command { id, command }) => self.take(id, command, received),
                        Ok(Request::Init { .. }) => return "a second INIT",
                        Err(Malformed { id: Some(id), what }) => {
                            self.answer(id, Reply::status(Status::BadMessage, what));
                        }
                        Err(Malformed { id: None, what }) => return what,
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
        matches!(timeout(PATIENCE, self.packets.send(packet)).await, Ok(Ok(())))
    }

    /// A reply that needs no node takes the same way as all others, behind a bound like theirs.
    fn answer(&mut self, id: u32, reply: Reply) {
        self.in_flight.push(Box::pin(async move { (id, Err(reply), None) }));
    }

    fn keep(&mut self, file: File) -> Reply {
        self.last += 1;
        self.files.insert(self.last, Arc::new(file));
        Reply::Handle(Bytes::copy_from_slice(&self.last.to_be_bytes()))
    }

    fn file(&self, handle: &Bytes) -> Result<Arc<File>, Reply> {
        let number = <[u8; 8]>::try_from(&handle[..]).ok().map(u64::from_be_bytes);
        let file = number.and_then(|number| self.files.get(&number));
        file.cloned().ok_or_else(|| Reply::status(Status::Failure, "no such handle"))
    }

    fn take(&mut self, id: u32, command: Command, received: Instant) {
        match self.plan(command) {
            Err(reply) => self.answer(id, reply),
            Ok(Step { path, deed, file, opens }) => {
                let (front, client) = (self.front.clone(), self.client.clone());
                self.in_flight.push(Box::pin(async move {
                    let done = AssertUnwindSafe(carry_out(&front, client, path, deed, file, received))
                        .catch_unwind();
                    let reply = done.await.unwrap_or_else(|_| {
                        event!(HANDLER_PANIC, front = "file commands");
                        Err(Reply::status(Status::Failure, "failed; it may have been done"))
                    });
                    match reply {
                        Ok(reply) => {
                            let opened = opens.filter(|_| reply.is_handle());
                            (id, Ok(reply.with_id(id)), opened)
                        }
                        Err(reply) => (id, Err(reply), None),
                    }
                }));
            }
        }
    }

    /// What a command comes to; `Err`: it is answered here and now.
    fn plan(&mut self, command: Command) -> Result<Step, Reply> {
        let step = |path: &str, deed, file| Step { path: path.to_string(), deed, file, opens: None };
        Ok(match command {
            Command::Open { path, flags, attrs } => {
                if flags & (packet::READ | packet::WRITE) == 0 {
                    return Err(Reply::status(Status::BadMessage, "neither read nor write"));
                }
                // Those that are being opened count as well.
                if self.files.len() + self.in_flight.len() >= MOST_HANDLES {
                    return Err(Reply::status(Status::Failure, "too many open files"));
                }
                let opens = Some(File { path: path.clone(), flags, turn: Mutex::new(()) });
                Step { opens, ..step(&path, Deed::Open { flags, attrs }, None) }
            }
            Command::Close { handle } => {
                let file = self.file(&handle)?;
                if let Ok(number) = <[u8; 8]>::try_from(&handle[..]) {
                    self.files.remove(&u64::from_be_bytes(number));
                }
                // Commands sent before it still have the file; no node has it open.
                debug!(path = file.path.as_str(); "closed");
                return Err(Reply::status(Status::Ok, "closed"));
            }
            Command::Read { handle, offset, length } => {
                let file = allowed(self.file(&handle)?, packet::READ)?;
                // A server may return less than was asked for; it must not be made to hold any amount.
                let length = length.min(MOST_DATA as u32);
                step(&file.path, Deed::Read { offset, length }, Some(file.clone()))
            }
            Command::Write { handle, offset, data } => {
                let file = allowed(self.file(&handle)?, packet::WRITE)?;
                let append = file.flags & packet::APPEND != 0;
                step(&file.path, Deed::Write { offset, data, append }, Some(file.clone()))
            }
            Command::Stat { path, follow } => step(&path, Deed::Stat { follow }, None),
            Command::Fstat { handle } => {
                let file = self.file(&handle)?;
                step(&file.path, Deed::Stat { follow: true }, Some(file.clone()))
            }
            Command::Unsupported(_) => return Err(Reply::status(Status::OpUnsupported, "not served here")),
        })
    }
}

struct Step {
    path: String,
    deed: Deed,
    file: Option<Arc<File>>,
    opens: Option<File>,
}

fn allowed(file: Arc<File>, flag: u32) -> Result<Arc<File>, Reply> {
    if file.flags & flag != 0 {
        Ok(file)
    } else {
        Err(Reply::status(Status::PermissionDenied, "the file was not opened for that"))
    }
}

/// Which class a deed goes by, and the bytes that it moves.
fn uses(place: &Place, deed: &Deed) -> (Use, usize) {
    let rule = place.rule;
    match deed {
        Deed::Open { flags, .. } if flags & (packet::CREAT | packet::TRUNC | packet::EXCL) != 0 => {
            (rule.once, 0)
        }
        Deed::Open { .. } | Deed::Stat { .. } => (rule.read, 0),
        Deed::Read { length, .. } => (rule.read, *length as usize),
        Deed::Write { append: true, data, .. } => (rule.once, data.len()),
        // The same bytes in the same place: what the class allows to repeat is harmless to repeat.
        Deed::Write { data, .. } => (rule.write, data.len()),
    }
}

async fn carry_out(
    front: &Front,
    client: Presence,
    path: String,
    deed: Deed,
    file: Option<Arc<File>>,
    received: Instant,
) -> Result<Encoded, Reply> {
    let place = front.config.place(&path).map_err(|none| match none {
        NoPlace::Unsound => Reply::status(Status::PermissionDenied, "no path for here"),
        NoPlace::Unmapped => Reply::status(Status::NoSuchFile, "nothing is kept there"),
    })?;
    let (use_of, bytes) = uses(&place, &deed);
    let answer_by = received + less_margin(use_of.wait, front.answer_margin);
    let turn = async {
        match &file {
            Some(file) => Some(file.turn.lock().await),
            None => None,
        }
    };
    let Ok(_turn) = timeout_at(answer_by, turn).await else {
        return Err(Reply::status(Status::Failure, "no turn in time; nothing was done"));
    };
    let arrival = Arrival {
        body_time: None,
        volume: place.volume,
        key: place.key,
        class: use_of.class,
        plan: place.rule.plan,
        units: place.rule.units(bytes),
        volume_hosts: place.rule.hosts,
        repeat: false,
        shard: Some(place.shard),
        answer_by,
    };
    let work = FileWork { stores: front.stores.clone(), job: Job { path, deed }, client };
    let answer = match front.handle.submit(arrival, Arc::new(work)) {
        Some(pending) => pending.await,
        None => Answer::Refused(Duration::from_secs(1)),
    };
    status(answer)
}

/// The final answer in the specification's codes: it knows one for what a server could not do, and the text says
/// whether trying again is harmless.
fn status(answer: Answer) -> Result<Encoded, Reply> {
    match answer {
        Answer::Served(body) => {
            Encoded::from_bytes(body).ok_or_else(|| Reply::status(Status::Failure, "an unreadable reply"))
        }
        Answer::Refused(after) => {
            let text = format!("refused; trying again is harmless after {:.3} s", after.as_secs_f64());
            Err(Reply::status(Status::Failure, text))
        }
        Answer::Failed => Err(Reply::status(Status::Failure, "failed; it may have been done")),
    }
}
