//! A small stand-in file server that speaks SFTP version 3 without SSH, keeps its files in memory, and fails as it
//! is told to. Two that share their files are a node and the one that replaces it.

use super::{Outcome, read_packet, write_packet};
use crate::net::sftp::packet::{self, Attrs, Command, Reply, Request, Response, Status, VERSION};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

pub type Files = Arc<Mutex<BTreeMap<String, Vec<u8>>>>;

/// The most that one READ returns: less than clients ask for.
pub const SHORT_READ: usize = 1000;

/// What a store saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    Open {
        path: String,
        flags: u32,
    },
    Read {
        path: String,
        offset: u64,
    },
    Write {
        path: String,
        offset: u64,
        length: usize,
    },
    Close {
        path: String,
    },
    Stat {
        path: String,
    },
    /// A connection ended, with so many handles still open on it.
    Ended {
        handles: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Open,
    Read,
    Write,
}

pub enum Fault {
    /// Does it, but the connection ends before the reply.
    Cut,
    /// Does it, and sends half of the reply.
    HalfReply,
    /// Does nothing and says so.
    NotProcessed,
    /// Does it and replies once the sender's side is dropped.
    Hold(Receiver<()>),
}

pub struct Store {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
    faults: Arc<Mutex<VecDeque<(Verb, Fault)>>>,
}

impl Store {
    pub fn start(files: Files) -> Outcome<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, seen) = channel();
        let faults: Arc<Mutex<VecDeque<(Verb, Fault)>>> = Arc::default();
        let store = Store { address, seen, faults: faults.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handles = BTreeMap::new();
                let (files, faults, seen) = (files.clone(), faults.clone(), sender.clone());
                let mut session = Session { files, faults, seen, handles, last: 0 };
                thread::spawn(move || {
                    // How a connection broke does not matter, only what it left open.
                    let _ = session.serve(stream);
                    let _ = session.seen.send(Seen::Ended { handles: session.handles.len() });
                });
            }
        });
        Ok(store)
    }

    /// The next command of that verb fails so.
    pub fn fail(&self, verb: Verb, fault: Fault) {
        lock(&self.faults).push_back((verb, fault));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Session {
    files: Files,
    faults: Arc<Mutex<VecDeque<(Verb, Fault)>>>,
    seen: Sender<Seen>,
    handles: BTreeMap<u32, (String, u32)>,
    last: u32,
}

impl Session {
    fn serve(&mut self, mut stream: TcpStream) -> std::io::Result<()> {
        while let Some(packet) = read_packet(&mut stream)? {
            let Ok(request) = Request::decode(packet.into()) else { return Ok(()) };
            let (id, command) = match request {
                Request::Init { .. } => {
                    write_packet(&mut stream, &Response::Version(VERSION).encode())?;
                    continue;
                }
                Request::Command { id, command } => (id, command),
            };
            let fault = self.fault(&command);
            if let Some(Fault::NotProcessed) = fault {
                let reply = Reply::status(Status::Failure, crate::net::sftp::back::NOT_PROCESSED);
                write_packet(&mut stream, &Response::Reply { id, reply }.encode())?;
                continue;
            }
            let reply = Response::Reply { id, reply: self.carry_out(command) }.encode();
            match fault {
                Some(Fault::Cut) => return Ok(()),
                Some(Fault::HalfReply) => {
                    let framed = [&(reply.len() as u32).to_be_bytes()[..], &reply].concat();
                    return std::io::Write::write_all(&mut stream, &framed[..framed.len() / 2]);
                }
                Some(Fault::Hold(until)) => {
                    let _ = until.recv(); // released, or its rehearsal is over
                }
                Some(Fault::NotProcessed) | None => {}
            }
            write_packet(&mut stream, &reply)?;
        }
        Ok(())
    }

    fn fault(&self, command: &Command) -> Option<Fault> {
        let verb = match command {
            Command::Open { .. } => Verb::Open,
            Command::Read { .. } => Verb::Read,
            Command::Write { .. } => Verb::Write,
            _ => return None,
        };
        let mut faults = lock(&self.faults);
        let place = faults.iter().position(|(planned, _)| *planned == verb)?;
        faults.remove(place).map(|(_, fault)| fault)
    }

    fn note(&self, seen: Seen) {
        let _ = self.seen.send(seen); // a rehearsal that is over listens no more
    }

    fn file(&self, handle: &Bytes) -> Option<(u32, String, u32)> {
        let number = u32::from_be_bytes(<[u8; 4]>::try_from(&handle[..]).ok()?);
        self.handles.get(&number).map(|(path, flags)| (number, path.clone(), *flags))
    }

    fn carry_out(&mut self, command: Command) -> Reply {
        let ok = || Reply::status(Status::Ok, "");
        let no_handle = || Reply::status(Status::Failure, "no such handle");
        let files = self.files.clone();
        let mut files = lock(&files);
        match command {
            Command::Open { path, flags, .. } => {
                self.note(Seen::Open { path: path.clone(), flags });
                let there = files.contains_key(&path);
                if there && flags & packet::EXCL != 0 {
                    return Reply::status(Status::Failure, "it is there already");
                }
                if !there && flags & packet::CREAT == 0 {
                    return Reply::status(Status::NoSuchFile, "no such file");
                }
                let file = files.entry(path.clone()).or_default();
                if flags & packet::TRUNC != 0 {
                    file.clear();
                }
                self.last += 1;
                self.handles.insert(self.last, (path, flags));
                Reply::Handle(Bytes::copy_from_slice(&self.last.to_be_bytes()))
            }
            Command::Close { handle } => {
                let Some((number, path, _)) = self.file(&handle) else { return no_handle() };
                self.note(Seen::Close { path });
                self.handles.remove(&number);
                ok()
            }
            Command::Read { handle, offset, length } => {
                let Some((_, path, _)) = self.file(&handle) else { return no_handle() };
                self.note(Seen::Read { path: path.clone(), offset });
                let rest = files.get(&path).and_then(|file| file.get(offset as usize..)).unwrap_or(&[]);
                let part = &rest[..rest.len().min(length as usize).min(SHORT_READ)];
                if part.is_empty() {
                    return Reply::status(Status::Eof, "");
                }
                Reply::Data(Bytes::copy_from_slice(part))
            }
            Command::Write { handle, offset, data } => {
                let Some((_, path, flags)) = self.file(&handle) else { return no_handle() };
                self.note(Seen::Write { path: path.clone(), offset, length: data.len() });
                let file = files.entry(path).or_default();
                let at = if flags & packet::APPEND != 0 { file.len() } else { offset as usize };
                if file.len() < at + data.len() {
                    file.resize(at + data.len(), 0);
                }
                file[at..at + data.len()].copy_from_slice(&data);
                ok()
            }
            Command::Stat { path, .. } => {
                self.note(Seen::Stat { path: path.clone() });
                match files.get(&path) {
                    Some(file) => Reply::Attrs(Attrs { size: Some(file.len() as u64), ..Attrs::default() }),
                    None => Reply::status(Status::NoSuchFile, "no such file"),
                }
            }
            Command::Fstat { .. } | Command::Unsupported(_) => Reply::status(Status::OpUnsupported, ""),
        }
    }
}
