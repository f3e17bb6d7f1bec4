//! Cases of daily operation: the operators' line, figures, drains, reloads, upgrades, and bodies of every
//! form.

use super::cases::Case;
use super::stage::{Discovery, Head, HttpClient, Setup, Shared, class, entry, settings};
use super::storage_node::{Act, Seen, StandInNode, answer};
use super::{Failure, Outcome, STUCK, check, expect, header, wait_for};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Far more than a case takes, in milliseconds.
const LONG: u64 = 3_600_000;

pub const CASES: &[Case] = &[
    Case {
        name: "ops-line",
        about: "operators are answered beside callers who never finish",
        play: ops_line,
    },
    Case { name: "figures", about: "a mixed run adds up, and nothing stays in progress", play: figures },
    Case { name: "drain", about: "a drain empties the head, and its end brings it back", play: drain },
    Case { name: "drain-then-end", about: "SIGTERM in a drain ends the head", play: drain_then_end },
    Case {
        name: "reload-classes",
        about: "classes change; what is open keeps its rules",
        play: reload_classes,
    },
    Case {
        name: "upgrade",
        about: "two processes on one socket lose nothing and keep one limit",
        play: upgrade,
    },
    Case {
        name: "upgrade-ids",
        about: "an id that one process of an upgrade took is not taken by the other, nor by one after both",
        play: upgrade_ids,
    },
    Case {
        name: "upgrade-cut-off",
        about: "a new process that dies early harms nobody",
        play: upgrade_cut_off,
    },
    Case {
        name: "long-bodies",
        about: "long bodies pass both ways, whole or visibly not",
        play: long_bodies,
    },
    Case {
        name: "slow-bodies",
        about: "slow and refused uploads cost no token and no close",
        play: slow_bodies,
    },
    Case {
        name: "http-forms",
        about: "every form of HTTP/1.1 is served, refused or closed",
        play: http_forms,
    },
];

struct Scene {
    storage_node: StandInNode,
    _discovery: Discovery,
    head: Head,
}

fn scene(program: &Path, setup: Setup) -> Outcome<Scene> {
    let storage_node = StandInNode::start("b-1")?;
    let nodes = vec![entry("s-1", storage_node.address, 0, "in_service")];
    let discovery = Discovery::start(nodes.clone())?;
    let head = Head::start(program, &Setup { ops: true, ..setup }, discovery.address, nodes)?;
    Ok(Scene { storage_node, _discovery: discovery, head })
}

/// One line to the operators' line, and all that comes back.
pub fn call(ops: SocketAddr, line: &[u8]) -> Outcome<String> {
    let mut stream = TcpStream::connect(ops)?;
    stream.set_read_timeout(Some(STUCK))?;
    stream.write_all(line)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

fn says(ops: SocketAddr, line: &str, wanted: &str) -> Outcome {
    let got = call(ops, format!("{line}\r\n").as_bytes())?;
    check(got.starts_with(wanted), format!("{line}: wanted {wanted}, got {got}"))
}

/// The list of nodes is on its way when the line opens.
fn ready(ops: SocketAddr) -> Outcome {
    let begun = Instant::now();
    while !call(ops, b"READY\r\n")?.starts_with("OK") {
        check(begun.elapsed() < STUCK, "it never was ready")?;
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

fn figure(stats: &str, name: &str) -> Outcome<u64> {
    let value = stats.lines().find_map(|line| line.strip_prefix(&format!("edge_gw_{name} "))?.parse().ok());
    value.ok_or_else(|| Failure::Unmet(format!("no {name} in {stats}")))
}

/// Asks until the figures are so: some come a moment late.
fn come_to(ops: SocketAddr, wanted: &[(&str, u64)]) -> Outcome {
    let begun = Instant::now();
    loop {
        let stats = call(ops, b"STATS\n")?;
        check(stats.ends_with("\nEND\n"), "the figures have no end")?;
        let mut off = Vec::new();
        for (name, value) in wanted {
            let got = figure(&stats, name)?;
            if got != *value {
                off.push(format!("{name}: wanted {value}, got {got}"));
            }
        }
        if off.is_empty() {
            return Ok(());
        }
        check(begun.elapsed() < STUCK, off.join(", "))?;
        thread::sleep(Duration::from_millis(20));
    }
}

fn up(http: SocketAddr) -> Outcome<u16> {
    let mut client = HttpClient::connect(http)?;
    client.stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")?;
    Ok(client.receive()?.0)
}

fn ops_line(program: &Path) -> Outcome {
    let scene = scene(program, Setup::default())?;
    let ops = scene.head.ops()?;
    let mut slow = Vec::new();
    for _ in 0..40 {
        let mut stream = TcpStream::connect(ops)?;
        stream.write_all(b"REA")?;
        slow.push(stream);
    }
    ready(ops)?;
    for bad in [&b"\n"[..], b"ready\n", b"READY twice\n", b"\xff\xfe\n", &[b'x'; 200]] {
        let answer = call(ops, bad).unwrap_or_else(|_| "ERR closed".into());
        check(answer.starts_with("ERR") && answer.lines().count() == 1, format!("{bad:?}: {answer}"))?;
    }
    check(call(ops, b"STATS\n")?.ends_with("\nEND\n"), "the figures have no end")?;
    expect(HttpClient::connect(scene.head.http)?.ask("token-read", LONG, b"")?.0, 200, "a request meanwhile")
}

fn figures(program: &Path) -> Outcome {
    let scene = scene(program, Setup::default())?;
    let ops = scene.head.ops()?;
    let ask = |class: &str, status: u16| {
        let got = HttpClient::connect(scene.head.http)?.ask(class, LONG, b"data")?.0;
        expect(got, status, class)
    };
    for _ in 0..3 {
        ask("token-read", 200)?;
    }
    scene.storage_node.next(Act::Cut(String::new()));
    ask("token-read", 200)?; // at its second attempt
    scene.storage_node.next(Act::Answer(answer("500 Internal Server Error", "", "")));
    ask("once", 502)?;
    for _ in 0..3 {
        scene.storage_node.next(Act::Answer(answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")));
    }
    ask("receipt-write", 503)?;
    ask("none", 400)?; // a request of no class
    let (release, held) = channel();
    scene.storage_node.next(Act::Hold(held));
    let mut leaves = HttpClient::connect(scene.head.http)?;
    leaves.send("once", LONG, "", b"")?;
    come_to(ops, &[("in_progress", 1), ("upstream_tries{category=\"once\"}", 2)])?;
    drop(leaves);
    let outcome =
        |class: &str, outcome: &str| format!("handled{{category=\"{class}\",outcome=\"{outcome}\"}}");
    let all = [
        (outcome("token-read", "passed"), 4),
        (outcome("token-read", "dropped"), 0),
        (outcome("token-read", "bad_gateway"), 0),
        ("upstream_tries{category=\"token-read\"}".to_string(), 5),
        (outcome("once", "passed"), 0),
        (outcome("once", "bad_gateway"), 1),
        (outcome("receipt-write", "dropped"), 1),
        ("upstream_tries{category=\"receipt-write\"}".to_string(), 3),
        ("in_progress".to_string(), 0),
        ("known_bricks".to_string(), 1),
        ("loads".to_string(), 0),
    ];
    come_to(ops, &all.iter().map(|(name, value)| (&name[..], *value)).collect::<Vec<_>>())?;
    drop(release);
    Ok(())
}

fn drain(program: &Path) -> Outcome {
    let scene = scene(program, Setup::default())?;
    let (ops, http) = (scene.head.ops()?, scene.head.http);
    let (mut idle, mut silent) = (HttpClient::connect(http)?, TcpStream::connect(http)?);
    expect(idle.ask("token-read", LONG, b"")?.0, 200, "before")?;
    let (release, held) = channel();
    scene.storage_node.next(Act::Hold(held));
    let mut open = HttpClient::connect(http)?;
    open.send("token-read", LONG, "", b"")?;
    wait_for(
        &scene.storage_node.seen,
        "the second request",
        |seen| matches!(seen, Seen::Request { head, .. } if head.contains(&open.id)),
    )?;
    says(ops, "DRAIN", "OK")?;
    expect(up(http)?, 503, "/up in the drain")?;
    says(ops, "READY", "ERR")?;
    says(ops, "DRAIN", "OK")?;
    // Connections that have nothing open are closed; the request that is open has its answer, and it is the
    // last.
    silent.set_read_timeout(Some(STUCK))?;
    expect(idle.stream.read(&mut [0])?, 0, "an idle connection")?;
    expect(silent.read(&mut [0])?, 0, "one that never asked")?;
    drop(release);
    let (status, head, _) = open.receive()?;
    expect((status, header(&head, "connection")), (200, Some("close")), "what was open")?;
    let (status, head, _) = {
        let mut late = HttpClient::connect(http)?;
        late.send("token-read", LONG, "", b"")?;
        late.receive()?
    };
    expect((status, header(&head, "connection")), (200, Some("close")), "who comes all the same")?;
    says(ops, "UNDRAIN", "OK")?;
    expect(up(http)?, 200, "/up after the drain")?;
    says(ops, "READY", "OK")?;
    says(ops, "UNDRAIN", "OK")?;
    let mut kept = HttpClient::connect(http)?;
    expect(kept.ask("token-read", LONG, b"")?.0, 200, "after the drain")?;
    expect(kept.ask("token-read", LONG, b"")?.0, 200, "again on the same connection")
}

fn drain_then_end(program: &Path) -> Outcome {
    let mut scene = scene(program, Setup::default())?;
    let ops = scene.head.ops()?;
    says(ops, "DRAIN", "OK")?;
    // SIGHUP in a drain changes nothing of it.
    scene.head.reload("name", json!("n0"))?;
    scene.head.logged(" RELOADED ")?;
    expect(up(scene.head.http)?, 503, "/up after a reload")?;
    scene.head.terminate()?;
    check(scene.head.ended()?.success(), "it ends well")
}

fn reload_classes(program: &Path) -> Outcome {
    let setup = Setup::default();
    let scene = scene(program, setup.clone())?;
    let (ops, http) = (scene.head.ops()?, scene.head.http);
    let (release, held) = channel();
    scene.storage_node.next(Act::Hold(held));
    let mut open = HttpClient::connect(http)?;
    open.send("once", LONG, "", b"data")?;
    wait_for(&scene.storage_node.seen, "the open request", |seen| matches!(seen, Seen::Request { .. }))?;
    let mut changed = settings(&setup);
    changed["profiles"] = json!([
        class(&setup, "token-read", "idempotent"),
        class(&setup, "receipt-write", "at_most_once"),
        class(&setup, "fresh", "idempotent")
    ]);
    changed["policy_limits"]["send_cap"] = json!(1);
    scene.head.reload("settings", changed.clone())?;
    scene.head.logged(" RELOADED ")?;
    let ask = |class: &str| Ok::<_, Failure>(HttpClient::connect(http)?.ask(class, LONG, b"data")?.0);
    expect(ask("fresh")?, 200, "a new class")?;
    expect(ask("once")?, 400, "a dropped class")?;
    scene.storage_node.next(Act::Cut(String::new()));
    expect(ask("receipt-write")?, 502, "a class that may not be repeated any more")?;
    scene.storage_node.next(Act::Cut(String::new()));
    expect(ask("token-read")?, 503, "attempts that have become fewer")?;
    drop(release);
    expect(open.receive()?.0, 200, "what was open under the dropped class")?;
    come_to(ops, &[("loads", 1), ("load_errors", 0), ("handled{category=\"once\",outcome=\"passed\"}", 1)])?;
    // Broken files, two in a row: nothing of either is taken.
    let mut broken = changed.clone();
    broken["profiles"] = json!([class(&setup, "once", "idempotent")]);
    broken["policy_limits"]["send_cap"] = json!(0);
    for (errors, (key, value)) in
        [(1, ("settings", broken)), (2, ("settings", Value::Null)), (3, ("limits", json!({"cores": 1.0})))]
    {
        scene.head.reload(key, value)?;
        come_to(ops, &[("load_errors", errors), ("loads", 1)])?;
    }
    expect((ask("fresh")?, ask("once")?), (200, 400), "after broken files")?;
    // Two signals at once are one reload or two; the last file holds.
    scene.head.reload("settings", changed)?;
    scene.head.reload("settings", settings(&setup))?;
    scene.head.logged("classes=\"token-read receipt-write once\"")?;
    expect((ask("fresh")?, ask("once")?), (400, 200), "the first classes again")
}

/// Units a second and at once that one volume may have.
const RATE: f64 = 40.0;
const BURST: f64 = 8.0;

fn limited(setup: Setup) -> Setup {
    Setup { limit: RATE, burst: BURST, ..setup }
}

/// Clients of one limited volume that ask until told to stop. Each request has one answer, or is sent once
/// more on a new connection where a close crossed it.
fn ask_on(http: SocketAddr, stop: &AtomicBool, answered: &AtomicU64) -> Outcome {
    let mut client = HttpClient::connect(http)?;
    while !stop.load(Ordering::Relaxed) {
        let first = client.ask("token-read", 1_000, b"");
        let (status, head, _) = match first {
            Ok(answer) => answer,
            Err(_) => {
                client = HttpClient::connect(http)?;
                client.ask("token-read", 1_000, b"")?
            }
        };
        check(matches!(status, 200 | 503), format!("status {status}"))?;
        // A new connection now and then, so that both processes have their part.
        if answered.fetch_add(1, Ordering::Relaxed).is_multiple_of(8)
            || header(&head, "connection") == Some("close")
        {
            client = HttpClient::connect(http)?;
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

/// So many more answers that two processes with a whole limit each would have passed it.
fn goes_on(answered: &AtomicU64) -> Outcome {
    let (so_far, begun) = (answered.load(Ordering::Relaxed), Instant::now());
    while answered.load(Ordering::Relaxed) < so_far + 150 {
        check(begun.elapsed() < STUCK, "the processes answer")?;
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

fn upgrade(program: &Path) -> Outcome {
    let storage_node = StandInNode::start("b-1")?;
    let nodes = vec![entry("s-1", storage_node.address, 0, "in_service")];
    let discovery = Discovery::start(nodes.clone())?;
    let shared = Arc::new(Shared::new()?);
    std::fs::write(shared.folder.join("pathbank.n0.0.lives"), [0xff; 512])?; // left by somebody
    let setup = limited(Setup { ops: true, shared: Some(shared.clone()), ..Setup::default() });
    let mut old = Head::start(program, &setup, discovery.address, nodes.clone())?;
    let begun = Instant::now();
    let (stop, answered) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        let workers: Vec<_> =
            (0..4).map(|_| scope.spawn(|| ask_on(shared.address, &stop, &answered))).collect();
        let mut play = || {
            for _ in 0..2 {
                let new = Head::start(program, &setup, discovery.address, nodes.clone())?;
                ready(new.ops()?)?;
                goes_on(&answered)?;
                // A drain of the one leaves the other as it is.
                says(old.ops()?, "DRAIN", "OK")?;
                says(new.ops()?, "READY", "OK")?;
                says(old.ops()?, "UNDRAIN", "OK")?;
                says(old.ops()?, "READY", "OK")?; // both serve until the old one is told to go
                let mut gone = std::mem::replace(&mut old, new);
                gone.terminate()?;
                check(gone.ended()?.success(), "the old process ends well")?;
                old.logged("here=\"no\"")?;
                goes_on(&answered)?;
            }
            Ok(())
        };
        let played = play();
        stop.store(true, Ordering::Relaxed);
        let asked: Outcome = workers.into_iter().try_for_each(|worker| {
            worker.join().unwrap_or_else(|_| Err(Failure::Unmet("a client panicked".into())))
        });
        played.and(asked)
    })?;
    let most = BURST + RATE * begun.elapsed().as_secs_f64() + 1.0;
    let units = storage_node.seen.try_iter().filter(|seen| matches!(seen, Seen::Request { .. })).count();
    check(units as f64 <= most, format!("{units} units came to the brick, {most} are allowed"))?;
    check(units > 0, "none came to the brick")
}

/// One request under that id on a connection of its own: whether it was served, or turned down as one used
/// before.
fn under_id(http: SocketAddr, id: &str) -> Outcome<bool> {
    let mut client = HttpClient::connect(http)?;
    client.send_bare("token-read", LONG, &format!("X-Request-ID: {id}\r\n"), b"")?;
    match client.receive()?.0 {
        200 => Ok(true),
        409 => Ok(false),
        status => Err(Failure::Unmet(format!("{id}: answered {status}"))),
    }
}

fn upgrade_ids(program: &Path) -> Outcome {
    let storage_node = StandInNode::start("b-1")?;
    let nodes = vec![entry("s-1", storage_node.address, 0, "in_service")];
    let discovery = Discovery::start(nodes.clone())?;
    let shared = Arc::new(Shared::new()?);
    std::fs::write(shared.folder.join("pathbank.n0.0.ids"), [0xff; 512])?; // left by somebody
    let setup = Setup { ops: true, shared: Some(shared.clone()), ..Setup::default() };
    let mut running = Head::start(program, &setup, discovery.address, nodes.clone())?;
    ready(running.ops()?)?;
    let mut taken: Vec<String> = Vec::new();
    for round in 0..3 {
        let before = format!("before-{round}");
        check(under_id(shared.address, &before)?, "an id is taken")?;
        let new = Head::start(program, &setup, discovery.address, nodes.clone())?;
        ready(new.ops()?)?;
        taken.push(before);
        // Whichever process each connection comes to.
        for number in 0..10 {
            let id = format!("during-{round}-{number}");
            check(under_id(shared.address, &id)?, "an id is taken in the overlap")?;
            for _ in 0..3 {
                check(!under_id(shared.address, &id)?, format!("{id} is taken twice in the overlap"))?;
            }
            taken.push(id);
        }
        let mut gone = std::mem::replace(&mut running, new);
        gone.terminate()?;
        check(gone.ended()?.success(), "the old process ends well")?;
        for id in &taken {
            check(!under_id(shared.address, id)?, format!("{id} is taken again after its process is gone"))?;
        }
    }
    let passed = storage_node.seen.try_iter().filter(|seen| matches!(seen, Seen::Request { .. })).count();
    expect(passed, taken.len(), "requests at the brick")
}

fn upgrade_cut_off(program: &Path) -> Outcome {
    let storage_node = StandInNode::start("b-1")?;
    let nodes = vec![entry("s-1", storage_node.address, 0, "in_service")];
    let discovery = Discovery::start(nodes.clone())?;
    let shared = Arc::new(Shared::new()?);
    let setup = Setup { ops: true, shared: Some(shared.clone()), ..Setup::default() };
    let old = Head::start(program, &setup, discovery.address, nodes.clone())?;
    for _ in 0..3 {
        // Killed as soon as it is seen by the other one.
        let new = Head::start(program, &setup, discovery.address, nodes.clone())?;
        old.logged("here=\"yes\"")?;
        drop(new);
        old.logged("here=\"no\"")?;
        ready(old.ops()?)?;
        expect(
            HttpClient::connect(shared.address)?.ask("token-read", LONG, b"")?.0,
            200,
            "the old one serves",
        )?;
    }
    // The old one is killed instead: the new one has all that is the head's.
    let new = Head::start(program, &setup, discovery.address, nodes.clone())?;
    drop(old);
    new.logged("here=\"no\"")?;
    ready(new.ops()?)?;
    expect(HttpClient::connect(shared.address)?.ask("token-read", LONG, b"")?.0, 200, "the new one serves")?;
    // A socket that is none, or another's, is a message.
    let other = Setup { shared: Some(Arc::new(Shared::new()?.at(shared.address))), ..setup };
    match Head::start(program, &other, discovery.address, nodes) {
        Ok(_) => Err(Failure::Unmet("it serves on another's socket".into())),
        Err(_) => Ok(()),
    }
}

fn long_bodies(program: &Path) -> Outcome {
    let scene = scene(program, Setup { memory_mb: 48, ..Setup::default() })?;
    let (ops, http) = (scene.head.ops()?, scene.head.http);
    let long: Vec<u8> = (0..5_000_000u32).map(|i| (i % 251) as u8).collect();
    let text = "0123456789abcdef".repeat(200_000);
    let sent = |wanted: &[u8]| {
        let seen =
            wait_for(&scene.storage_node.seen, "an upload", |seen| matches!(seen, Seen::Request { .. }))?;
        let Seen::Request { head, body } = seen else { return Err(Failure::Unmet("no request".into())) };
        check(body == wanted, format!("{} bytes came of {}", body.len(), wanted.len()))?;
        Ok(head)
    };
    // By its length, and in chunks with extensions and trailers; longer than can be held, and shorter.
    for length in [long.len(), 300_000, 65_537, 1_000] {
        let mut client = HttpClient::connect(http)?;
        scene.storage_node.next(Act::Answer(answer("200 OK", "", &text)));
        client.send("token-read", LONG, "", &long[..length])?;
        let (status, _, body) = client.receive()?;
        check(status == 200 && body == text.as_bytes(), format!("{status}, {} bytes came back", body.len()))?;
        check(header(&sent(&long[..length])?, "content-length").is_some(), "a told length is told on")?;
        let mut chunks = Vec::new();
        for part in long[..length].chunks(40_001) {
            chunks.extend_from_slice(format!("{:x};note=\"x\"\r\n", part.len()).as_bytes());
            chunks.extend_from_slice(part);
            chunks.extend_from_slice(b"\r\n");
        }
        chunks.extend_from_slice(b"0\r\nX-Trailer: x\r\n\r\n");
        let long_answer = format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
        scene
            .storage_node
            .next(Act::Answer(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{long_answer}")));
        let more = format!("X-Request-ID: c-{length}\r\nTransfer-Encoding: chunked\r\n");
        client.send_bare("token-read", LONG, &more, &chunks)?;
        let (status, _, body) = client.receive()?;
        check(status == 200 && body == text.as_bytes(), "the chunked one came back")?;
        sent(&long[..length])?;
    }
    // A node that breaks off half way: the client can tell, and no other attempt speaks to it.
    let half = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", text.len(), &text[..200_000]);
    scene.storage_node.next(Act::Cut(half));
    let mut client = HttpClient::connect(http)?;
    client.send("token-read", LONG, "", b"")?;
    check(client.receive().is_err(), "half an answer passed for a whole one")?;
    come_to(ops, &[("in_progress", 0), ("handled{category=\"token-read\",outcome=\"bad_gateway\"}", 1)])?;
    // A client that goes half way leaves nothing behind.
    scene.storage_node.next(Act::Answer(answer("200 OK", "", &text.repeat(8))));
    let mut client = HttpClient::connect(http)?;
    client.send("token-read", LONG, "", b"")?;
    client.stream.read_exact(&mut [0; 1000])?;
    drop(client);
    come_to(ops, &[("in_progress", 0)])
}

fn slow_bodies(program: &Path) -> Outcome {
    let scene = scene(program, Setup::default())?;
    let http = scene.head.http;
    let body = vec![b'x'; 200_000];
    // Uploads that have only begun keep nobody else waiting.
    let mut slow: Vec<HttpClient> = Vec::new();
    for i in 0..12 {
        let mut client = HttpClient::connect(http)?;
        let more = format!("X-Request-ID: slow-{i}\r\nContent-Length: {}\r\n", body.len());
        client.send_bare("token-read", LONG, &more, &body[..100_000])?;
        slow.push(client);
    }
    expect(HttpClient::connect(http)?.ask("token-read", LONG, b"")?.0, 200, "somebody else")?;
    for client in &mut slow {
        for piece in body[100_000..].chunks(33_333) {
            client.stream.write_all(piece)?;
        }
    }
    for client in &mut slow {
        expect(client.receive()?.0, 200, "a slow upload")?;
    }
    // One whose node is gone is refused before its end; its connection goes on.
    scene._discovery.tell(entry("s-1", scene.storage_node.address, 0, "terminating"))?;
    scene.head.logged("state=\"Draining\"")?;
    let long = vec![b'x'; 3_000_000];
    let mut client = HttpClient::connect(http)?;
    let more = format!("X-Request-ID: late\r\nContent-Length: {}\r\n", long.len());
    client.send_bare("token-read", 1_000, &more, &long[..2_000_000])?;
    expect(client.receive()?.0, 503, "an upload to nowhere")?;
    client.stream.write_all(&long[2_000_000..])?;
    expect(client.ask("token-read", 1_000, b"")?.0, 503, "the next request on the same connection")?;
    // One that stops is answered or closed, and nothing stays open.
    let mut stops = HttpClient::connect(http)?;
    stops.send_bare("token-read", LONG, "X-Request-ID: stops\r\nContent-Length: 9\r\n", b"half")?;
    let mut rest = Vec::new();
    let _ = stops.stream.read_to_end(&mut rest); // a reset is as good as an end
    check(rest.is_empty() || rest.starts_with(b"HTTP/1.1 408"), "it was served")?;
    come_to(scene.head.ops()?, &[("in_progress", 0)])
}

/// A form of request that RFC 9110 and 9112 allow or forbid, and the status that it gets; 0: closed without
/// an answer.
struct HttpForm {
    section: &'static str,
    first_line: String,
    more_fields: &'static str,
    body: &'static str,
    status: u16,
}

fn http_form_table(target: &str) -> Vec<HttpForm> {
    let rows = [
        ("9112 3.2.1", format!("GET {target} HTTP/1.1"), "", "", 200),
        ("9112 3.2.2", format!("GET http://app.svc{target} HTTP/1.1"), "", "", 200),
        ("9112 2.3", format!("GET {target} HTTP/1.0"), "", "", 200),
        ("9112 2.2", format!("\r\nGET {target} HTTP/1.1"), "", "", 200),
        ("9110 9.3.1", format!("GET {target} HTTP/1.1"), "Content-Length: 4\r\n", "body", 200),
        ("9110 9.3.2", format!("HEAD {target} HTTP/1.1"), "", "", 405),
        ("9110 9.1", format!("PATCH {target} HTTP/1.1"), "", "", 405),
        (
            "9110 8.6",
            format!("PUT {target} HTTP/1.1"),
            "Content-Length: 4\r\nContent-Length: 4\r\n",
            "body",
            200,
        ),
        (
            "9112 6.3",
            format!("PUT {target} HTTP/1.1"),
            "Content-Length: 4\r\nContent-Length: 5\r\n",
            "body",
            400,
        ),
        ("9112 6.2", format!("PUT {target} HTTP/1.1"), "Content-Length: +4\r\n", "body", 400),
        (
            "9112 6.1",
            format!("PUT {target} HTTP/1.1"),
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "0\r\n\r\n",
            400,
        ),
        (
            "9112 6.1, the other order",
            format!("PUT {target} HTTP/1.1"),
            "Transfer-Encoding: chunked\r\ncontent-length: 4\r\n",
            "0\r\n\r\n",
            400,
        ),
        ("9112 6.1, not the last", format!("PUT {target} HTTP/1.1"), "Transfer-Encoding: gzip\r\n", "x", 400),
        (
            "9112 7.1",
            format!("PUT {target} HTTP/1.1"),
            "Transfer-Encoding: Chunked\r\n",
            "4;a=\"b\"\r\nbody\r\n0\r\nT: x\r\n\r\n",
            200,
        ),
        (
            "9112 7.1, unreadable",
            format!("PUT {target} HTTP/1.1"),
            "Transfer-Encoding: chunked\r\n",
            "zz\r\n",
            400,
        ),
        ("9112 5.1", format!("GET {target} HTTP/1.1"), "X-Odd : 1\r\n", "", 400),
        ("9112 5.2", format!("GET {target} HTTP/1.1"), "X-Odd: a\r\n folded\r\n", "", 400),
        ("9110 7.6.1", format!("GET {target} HTTP/1.1"), "Connection: , keep-alive,, x-odd\r\n", "", 200),
        (
            "9110 10.1.1",
            format!("PUT {target} HTTP/1.1"),
            "Expect: 100-continue\r\nContent-Length: 4\r\n",
            "",
            100,
        ),
        ("9112 2.5", format!("GET {target} HTTP/9.9"), "", "", 400),
        ("9112 3", "nonsense".to_string(), "", "", 400),
    ];
    let form = |(section, first_line, more_fields, body, status)| HttpForm {
        section,
        first_line,
        more_fields,
        body,
        status,
    };
    rows.into_iter().map(form).collect()
}

fn check_http_form(http: SocketAddr, fields: &str, form: &HttpForm) -> Outcome {
    // No id is used twice in this process, whichever proxy it is sent to.
    static SERIAL: AtomicU64 = AtomicU64::new(0);
    let number = SERIAL.fetch_add(1, Ordering::Relaxed);
    let HttpForm { section, first_line, more_fields, body, status } = form;
    let mut client = HttpClient::connect(http)?;
    let request = format!("{first_line}\r\n{fields}X-Request-ID: form-{number}\r\n{more_fields}\r\n{body}");
    // Cut anywhere, it is the same request. One that is refused may be so before its end: written in one, no
    // piece of it crosses the close.
    let piece = if *status < 400 { 37 } else { request.len() };
    for piece in request.as_bytes().chunks(piece) {
        client.stream.write_all(piece)?;
    }
    let mut begins = [0; 12];
    client.stream.read_exact(&mut begins).map_err(|error| Failure::Unmet(format!("{section}: {error}")))?;
    let begins = String::from_utf8_lossy(&begins).into_owned();
    check(begins.ends_with(&status.to_string()), format!("{section}: wanted {status}, got {begins}"))?;
    if *status == 100 {
        client.stream.read_exact(&mut [0; 13])?; // " Continue", and two ends of lines
        client.stream.write_all(b"body")?;
        expect(client.receive()?.0, 200, "after 100 Continue")?;
    }
    Ok(())
}

fn http_forms(program: &Path) -> Outcome {
    let scene = scene(program, Setup::default())?;
    let target = "/api/00000003b4d60021/7f3a9c21e0b4d655";
    let fields = "Host: app.svc\r\nX-Priority-Class: token-read\r\nX-Storage-Class: starter\r\n\
        X-Timeout-Ms: 3600000\r\nX-Extent: , units=1,,shard=0,hosts=1,\r\n";
    for form in &http_form_table(target) {
        check_http_form(scene.head.http, fields, form)?;
    }
    // Requests one behind the other are answered in their order (RFC 9112, 9.3.2).
    let mut client = HttpClient::connect(scene.head.http)?;
    let one = |id: &str| format!("GET {target} HTTP/1.1\r\n{fields}X-Request-ID: {id}\r\n\r\n");
    client.stream.write_all(format!("{}{}{}", one("p-1"), one("p-2"), one("p-3")).as_bytes())?;
    for _ in 0..3 {
        expect(client.receive()?.0, 200, "a pipelined request")?;
    }
    Ok(())
}
