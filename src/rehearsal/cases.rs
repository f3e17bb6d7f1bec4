//! The named cases. Each starts its own stage and says what must come of it.

use super::client::{Client, is};
use super::stage::{Discovery, Head, Setup, entry};
use super::store::{Fault, Files, SHORT_READ, Seen, Store, Verb};
use super::syslog::Syslog;
use super::{Outcome, check, expect, wait_for};
use crate::net::sftp::packet::{self, Attrs, Command, Reply, Status};
use crate::syslog::Severity;
use bytes::Bytes;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::PoisonError;
use std::sync::mpsc::channel;
use std::time::Duration;

pub struct Case {
    pub name: &'static str,
    pub about: &'static str,
    pub play: fn(&Path) -> Outcome,
}

/// Those of file commands and the log; `all` has the others too.
pub const CASES: &[Case] = &[
    Case {
        name: "whole-path",
        about: "a long file goes up and comes back in short pieces",
        play: whole_path,
    },
    Case { name: "drain-halfway", about: "a long file outlives its node's drain", play: drain_halfway },
    Case {
        name: "client-gone",
        about: "a client that leaves mid-write frees all it held",
        play: client_gone,
    },
    Case {
        name: "malformed",
        about: "malformed packets end or are answered, and harm nobody",
        play: malformed,
    },
    Case {
        name: "one-answer",
        about: "a silent node: one final answer while the client waits",
        play: one_answer,
    },
    Case { name: "no-repeat", about: "nothing is repeated that its class forbids", play: no_repeat },
    Case {
        name: "unreachable",
        about: "a node that cannot be reached: refused, harmless to repeat",
        play: unreachable,
    },
    Case {
        name: "pipelined",
        about: "many commands at once, each answered once and in turn",
        play: pipelined,
    },
    Case { name: "syslog", about: "log lines reach a syslog receiver as RFC 5424 has them", play: syslog },
];

pub fn all() -> impl Iterator<Item = &'static Case> {
    let others = super::grpc::cases::CASES.iter().chain(super::syslog_cases::CASES);
    CASES.iter().chain(others).chain(super::daily_cases::CASES).chain(super::leaving::CASES)
}

const PATH: &str = "/bundles/acme/certs.pem";
const WRITE_NEW: u32 = packet::WRITE | packet::CREAT | packet::TRUNC;

struct Stage {
    discovery: Discovery,
    head: Head,
}

impl Stage {
    fn start(program: &Path, setup: Setup, store: &Store) -> Outcome<Stage> {
        let nodes = vec![entry("s-1", store.address, 0, "in_service")];
        let discovery = Discovery::start(nodes.clone())?;
        let head = Head::start(program, &Setup { files: true, ..setup }, discovery.address, nodes)?;
        Ok(Stage { discovery, head })
    }

    fn client(&self) -> Outcome<Client> {
        Client::start(self.head.files()?)
    }
}

fn long_file() -> Vec<u8> {
    (0..20_500u32).map(|i| (i % 251) as u8).collect()
}

fn kept(files: &Files) -> Vec<u8> {
    files.lock().unwrap_or_else(PoisonError::into_inner).get(PATH).cloned().unwrap_or_default()
}

fn stat(path: &str) -> Command {
    Command::Stat { path: path.to_string(), follow: true }
}

fn whole_path(program: &Path) -> Outcome {
    let files = Files::default();
    let store = Store::start(files.clone())?;
    let stage = Stage::start(program, Setup::default(), &store)?;
    let (mut client, data) = (stage.client()?, long_file());
    let handle = client.open(PATH, WRITE_NEW)?;
    for (i, piece) in data.chunks(4096).enumerate() {
        client.write(&handle, i * 4096, piece)?;
    }
    let attrs = Attrs { size: Some(data.len() as u64), ..Attrs::default() };
    expect(client.ask(Command::Fstat { handle: handle.clone() })?, Reply::Attrs(attrs), "FSTAT")?;
    expect(client.ask(stat(PATH))?, Reply::Attrs(attrs), "STAT")?;
    let read = Command::Read { handle: handle.clone(), offset: 0, length: 1 };
    check(is(&client.ask(read)?, Status::PermissionDenied), "READ of a file opened for WRITE")?;
    client.close(handle)?;
    check(kept(&files) == data, "the store keeps another file than was sent")?;
    check(client.get(PATH, 4 * SHORT_READ as u32)? == data, "another file came back than was sent")?;
    for (path, status) in [
        ("/bundles/acme/none", Status::NoSuchFile),
        ("/elsewhere/x", Status::NoSuchFile),
        ("/bundles/../x", Status::PermissionDenied),
    ] {
        check(is(&client.ask(stat(path))?, status), format!("STAT of {path}"))?;
    }
    check(is(&client.ask(Command::Unsupported(16))?, Status::OpUnsupported), "REALPATH is not served")?;
    let seen: Vec<Seen> = store.seen.try_iter().collect();
    let count = |fits: fn(&Seen) -> bool| seen.iter().filter(|seen| fits(seen)).count();
    let opened = count(|seen| matches!(seen, Seen::Open { .. }));
    expect(count(|seen| matches!(seen, Seen::Close { .. })), opened, "files closed at the node")
}

fn drain_halfway(program: &Path) -> Outcome {
    let files = Files::default();
    let (old, new) = (Store::start(files.clone())?, Store::start(files.clone())?);
    let stage = Stage::start(program, Setup::default(), &old)?;
    let (mut client, data) = (stage.client()?, long_file());
    let handle = client.open(PATH, WRITE_NEW)?;
    let (first, second) = data.split_at(8192);
    client.write(&handle, 0, first)?;
    stage.discovery.tell(entry("s-1", old.address, 0, "terminating"))?;
    stage.discovery.tell(entry("s-2", new.address, 0, "in_service"))?;
    stage.head.logged("state=\"Draining\"")?;
    stage.head.logged("node=\"s-2\"")?;
    let before = old.seen.try_iter().filter(|seen| matches!(seen, Seen::Write { .. })).count();
    expect(before, 1, "writes at the old node before its drain")?;
    for (i, piece) in second.chunks(4096).enumerate() {
        client.write(&handle, 8192 + i * 4096, piece)?;
    }
    client.close(handle)?;
    check(kept(&files) == data, "the file is not whole after the drain")?;
    let late: Vec<Seen> = old.seen.try_iter().filter(|seen| !matches!(seen, Seen::Ended { .. })).collect();
    check(late.is_empty(), format!("the draining node got {late:?}"))?;
    let rest = new.seen.try_iter().filter(|seen| matches!(seen, Seen::Write { .. })).count();
    expect(rest, second.len().div_ceil(4096), "writes at the new node")
}

fn client_gone(program: &Path) -> Outcome {
    let files = Files::default();
    let store = Store::start(files)?;
    let stage = Stage::start(program, Setup::default(), &store)?;
    let mut client = stage.client()?;
    let handle = client.open(PATH, WRITE_NEW)?;
    let (release, held) = channel();
    store.fail(Verb::Write, Fault::Hold(held));
    client.send(Command::Write { handle, offset: 0, data: Bytes::from_static(b"first") })?;
    wait_for(&store.seen, "the write at the store", |seen| matches!(seen, Seen::Write { .. }))?;
    client.leave()?;
    let line = stage.head.logged(" FILE_CLIENT_GONE ")?;
    check(line.contains("handles=\"1\"") && line.contains("in_flight=\"1\""), line)?;
    // The head has one place for clients here: the next one is served because the last one's is free again.
    let mut client = stage.client()?;
    drop(release);
    wait_for(&store.seen, "the file closed at the store", |seen| matches!(seen, Seen::Close { .. }))?;
    let handle = client.open(PATH, packet::WRITE)?;
    let mut half = (100u32).to_be_bytes().to_vec();
    half.extend([6, 0, 0, 0, 9]);
    client.send_raw(&half)?;
    client.leave()?;
    let line = stage.head.logged(" FILE_CLIENT_GONE ")?;
    check(line.contains("handles=\"1\"") && line.contains("in_flight=\"0\""), line)?;
    let mut client = stage.client()?;
    check(
        matches!(client.ask(Command::Fstat { handle })?, Reply::Status { .. }),
        "a handle outlived its client",
    )?;
    check(client.get(PATH, 100)? == b"first", "the file is not what the first client wrote")?;
    let written = store.seen.try_iter().any(|seen| matches!(seen, Seen::Write { .. }));
    check(!written, "half a WRITE reached the store")
}

fn malformed(program: &Path) -> Outcome {
    let store = Store::start(Files::default())?;
    let stage = Stage::start(program, Setup::default(), &store)?;
    for (bytes, about) in [
        (&[0x7f, 0xff, 0xff, 0xff][..], "a packet longer than any may be"),
        (&[0, 0, 0, 0], "an empty packet"),
        (&[0, 0, 0, 2, 3, 0], "a packet too short for an id"),
        (&[0, 0, 0, 5, 1, 0, 0, 0, 3], "a second INIT"),
    ] {
        let mut client = stage.client()?;
        client.send_raw(bytes)?;
        check(client.closed_by_head(), format!("not closed after {about}"))?;
    }
    let mut early = Client::connect(stage.head.files()?)?;
    early.send(stat(PATH))?;
    check(early.closed_by_head(), "a command before INIT was served")?;
    let mut client = stage.client()?;
    client.send_raw(&[0, 0, 0, 10, 4, 0, 0, 0, 77, 0, 0, 0, 9, b'x'])?;
    let (id, reply) = client.receive()?;
    check(id == 77 && is(&reply, Status::BadMessage), format!("a string cut short got {reply:?}"))?;
    let handle = Bytes::from_static(b"none");
    check(is(&client.ask(Command::Close { handle })?, Status::Failure), "CLOSE of no handle")?;
    check(is(&client.ask(stat(PATH))?, Status::NoSuchFile), "the connection serves on")?;
    let commands = store.seen.try_iter().filter(|seen| !matches!(seen, Seen::Ended { .. })).count();
    expect(commands, 1, "commands that troubled the store")
}

fn one_answer(program: &Path) -> Outcome {
    let files = Files::default();
    let store = Store::start(files)?;
    let setup = Setup { deadline: Duration::from_secs(3), ..Setup::default() };
    let stage = Stage::start(program, setup, &store)?;
    let mut client = stage.client()?;
    let handle = client.open(PATH, WRITE_NEW)?;
    let (release, held) = channel();
    store.fail(Verb::Write, Fault::Hold(held));
    // The store replies to nothing before this rehearsal lets it: the answer is the head's own.
    let write = Command::Write { handle: handle.clone(), offset: 0, data: Bytes::from_static(b"late") };
    let reply = client.ask(write)?;
    check(is(&reply, Status::Failure), format!("a WRITE without an answer got {reply:?}"))?;
    drop(release);
    // A second answer to it would come here, under its id.
    check(is(&client.ask(Command::Close { handle })?, Status::Ok), "CLOSE after the deadline")
}

fn no_repeat(program: &Path) -> Outcome {
    let files = Files::default();
    let store = Store::start(files.clone())?;
    let stage = Stage::start(program, Setup::default(), &store)?;
    let mut client = stage.client()?;
    store.fail(Verb::Open, Fault::Cut);
    let flags = WRITE_NEW | packet::EXCL;
    let open = Command::Open { path: PATH.to_string(), flags, attrs: Attrs::default() };
    let reply = client.ask(open)?;
    check(is(&reply, Status::Failure), format!("an exclusive OPEN that may have run got {reply:?}"))?;
    let handle = client.open(PATH, packet::WRITE | packet::APPEND)?;
    let opens =
        store.seen.try_iter().filter(|seen| matches!(seen, Seen::Open { flags: f, .. } if *f == flags));
    expect(opens.count(), 1, "exclusive OPENs at the store")?;
    let append = || Command::Write { handle: handle.clone(), offset: 0, data: Bytes::from_static(b"once") };
    store.fail(Verb::Write, Fault::Cut);
    let reply = client.ask(append())?;
    check(is(&reply, Status::Failure), format!("an append that may have run got {reply:?}"))?;
    expect(kept(&files), b"once".to_vec(), "after an append that was cut off")?;
    store.fail(Verb::Write, Fault::NotProcessed);
    check(is(&client.ask(append())?, Status::Ok), "an append that never ran is sent again")?;
    expect(kept(&files), b"onceonce".to_vec(), "after an append that was turned away once")?;
    // Cut off while it opened the file, before the append itself went out.
    store.fail(Verb::Open, Fault::Cut);
    check(is(&client.ask(append())?, Status::Ok), "an append that was never begun is sent again")?;
    expect(kept(&files), b"onceonceonce".to_vec(), "after an append that was cut off before it began")?;
    client.close(handle)?;
    // In its place and within its class's window a WRITE may be repeated, and a READ always.
    let handle = client.open(PATH, packet::WRITE)?;
    store.fail(Verb::Write, Fault::Cut);
    client.write(&handle, 0, b"ONCE")?;
    store.fail(Verb::Read, Fault::Cut);
    store.fail(Verb::Read, Fault::HalfReply);
    expect(client.get(PATH, 100)?, b"ONCEonceonce".to_vec(), "what READ gets after two broken replies")
}

fn unreachable(program: &Path) -> Outcome {
    let store = Store::start(Files::default())?;
    let stage = Stage::start(program, Setup::default(), &store)?;
    // A port where nothing listens, and that the system gives to nobody.
    stage.discovery.tell(entry("s-1", SocketAddr::from(([127, 0, 0, 1], 1)), 0, "in_service"))?;
    stage.head.logged("address=\"127.0.0.1:1\"")?;
    let mut client = stage.client()?;
    match client.ask(stat(PATH))? {
        Reply::Status { code: Status::Failure, text } => check(text.contains("harmless"), text),
        other => check(false, format!("STAT at a dead node got {other:?}")),
    }
}

fn pipelined(program: &Path) -> Outcome {
    let files = Files::default();
    let store = Store::start(files.clone())?;
    let stage = Stage::start(program, Setup::default(), &store)?;
    let mut client = stage.client()?;
    let sent = (0..60).map(|_| client.send(stat(PATH))).collect::<Outcome<BTreeSet<u32>>>()?;
    let mut answered = BTreeSet::new();
    for _ in 0..sent.len() {
        let (id, reply) = client.receive()?;
        check(is(&reply, Status::NoSuchFile), format!("STAT got {reply:?}"))?;
        check(answered.insert(id), format!("{id} was answered twice"))?;
    }
    expect(answered, sent, "the commands answered")?;
    // Commands on one file are carried out in the order in which they came.
    let handle = client.open(PATH, WRITE_NEW)?;
    let (release, held) = channel();
    store.fail(Verb::Write, Fault::Hold(held));
    let (a, b) = (Bytes::from_static(b"a"), Bytes::from_static(b"b"));
    let first = client.send(Command::Write { handle: handle.clone(), offset: 0, data: a })?;
    let second = client.send(Command::Write { handle, offset: 0, data: b })?;
    wait_for(&store.seen, "the first write", |seen| matches!(seen, Seen::Write { .. }))?;
    // Another file's commands pass the held one; the second write, sent before them, must not.
    check(is(&client.ask(stat("/bundles/other/x"))?, Status::NoSuchFile), "STAT beside a held WRITE")?;
    let early = store.seen.try_iter().any(|seen| matches!(seen, Seen::Write { .. }));
    check(!early, "a WRITE overtook one to the same file")?;
    drop(release);
    let replies = (client.receive()?.0, client.receive()?.0);
    expect(replies, (first, second), "the order of the replies")?;
    expect(kept(&files), b"b".to_vec(), "the file after two writes to one place")
}

fn syslog(program: &Path) -> Outcome {
    let (receiver, store) = (Syslog::start()?, Store::start(Files::default())?);
    let setup = Setup { syslog: Some(receiver.address), ..Setup::default() };
    let stage = Stage::start(program, setup, &store)?;
    let up = wait_for(&receiver.messages, "the event UP", |message| match message {
        Ok(message) => message.id == "UP",
        Err(_) => true, // unreadable: fail at once rather than wait
    })?;
    let up = up.map_err(super::Failure::Unmet)?;
    expect(up.get("listen"), stage.head.http.to_string().as_str(), "the address in the structured data")?;
    expect(
        (up.facility, up.severity, up.app.as_str()),
        (3, Severity::Notice, "pathbank"),
        "the head of the line",
    )
}
