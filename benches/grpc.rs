//! The gRPC front measured: against the HTTP/1.1 front in the same run, by streams a connection, in memory,
//! and its routing table against a plain scan. `cargo bench --bench grpc`; a name picks one part (`routes`,
//! `fronts`, `streams`, `idle`). Nothing here is a test: it prints tables.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use hdrhistogram::Histogram;
use pathbank::grpc::routes::{LinearRoutes, Routes};
use pathbank::grpc::status;
use pathbank::rehearsal::grpc::cases::Stage;
use pathbank::rehearsal::grpc::client::{Ask, Client};
use pathbank::rehearsal::grpc::node::Node;
use pathbank::rehearsal::grpc::wait;
use pathbank::rehearsal::stage::{HttpClient, Setup};
use pathbank::rehearsal::storage_node::StandInNode;
use pathbank::rehearsal::{Failure, Outcome};
use std::hint::black_box;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const HEAD: &str = env!("CARGO_BIN_EXE_pathbank");
const CALLS: usize = 20_000;

fn main() {
    let named: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with("--")).collect();
    type Part = fn() -> Outcome;
    let parts: [(&str, Part); 4] =
        [("routes", routes), ("fronts", fronts), ("streams", streams), ("idle", idle)];
    for (name, part) in parts {
        if (named.is_empty() || named.iter().any(|wanted| wanted == name))
            && let Err(failure) = part()
        {
            eprintln!("{name}: {failure}");
            std::process::exit(1);
        }
    }
}

/// Nanoseconds a look-up, the better of three passes.
fn timed(paths: &[String], find: impl Fn(&str) -> bool) -> f64 {
    let pass = || {
        let start = Instant::now();
        let found = paths.iter().filter(|path| find(black_box(path))).count();
        assert_eq!(black_box(found), paths.len());
        start.elapsed().as_nanos() as f64 / paths.len() as f64
    };
    (0..3).map(|_| pass()).fold(f64::INFINITY, f64::min)
}

fn routes() -> Outcome {
    println!("routes: ns a look-up\n{:>8} {:>10} {:>12}", "routes", "trie", "plain scan");
    let mut random = fastrand::Rng::with_seed(7);
    for size in [10, 1_000, 10_000] {
        let (mut trie, mut scan, mut paths) = (Routes::default(), LinearRoutes::default(), Vec::new());
        for i in 0..size {
            let (package, service) = (i / 100, i / 10 % 10);
            let path = format!("/acme.team{package}.v1.Service{service}/Method{}", i % 10);
            let pattern =
                if i % 10 == 9 { format!("/acme.team{package}.v1.Service{service}/*") } else { path.clone() };
            let same = trie.insert(&pattern, i).is_ok() && scan.insert(&pattern, i).is_ok();
            assert!(same, "{pattern}");
            paths.push(path);
        }
        let asked: Vec<String> = (0..if size > 1_000 { 2_000 } else { 50_000 })
            .map(|_| paths[random.usize(0..size)].clone())
            .collect();
        let by_trie = timed(&asked, |path| trie.find(path).is_some());
        let by_scan = timed(&asked, |path| scan.find(path).is_some());
        println!("{size:>8} {by_trie:>10.0} {by_scan:>12.0}");
    }
    Ok(())
}

/// The head's time on the processor so far, and what it holds in memory, in KB.
fn used(process: u32) -> (Duration, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    // Fields 14 and 15 of the whole line, in hundredths of a second.
    let ticks: u64 = fields.iter().skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("");
    let held = line.split_whitespace().next().and_then(|kb| kb.parse().ok()).unwrap_or(0);
    (Duration::from_millis(ticks * 10), held)
}

struct Measured {
    took: Duration,
    latency: Histogram<u64>,
}

fn told(name: &str, at_once: usize, measured: &Measured, cpu: Duration) {
    let Measured { took, latency } = measured;
    let calls = latency.len() as f64;
    println!(
        "{name:>10} {at_once:>8} {:>10.0} {:>12.1} {:>8.2} {:>8.2}",
        calls / took.as_secs_f64(),
        cpu.as_micros() as f64 / calls,
        latency.value_at_quantile(0.5) as f64 / 1000.0,
        latency.value_at_quantile(0.99) as f64 / 1000.0,
    );
}

fn heading(what: &str) {
    println!(
        "{what}\n{:>10} {:>8} {:>10} {:>12} {:>8} {:>8}",
        "", "at once", "calls/s", "head us/call", "p50 ms", "p99 ms"
    );
}

/// Microseconds up to a minute, to three digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("these bounds are sound"))
}

fn grpc(client: &Client, at_once: usize, calls: usize) -> Outcome<Measured> {
    let left = Arc::new(AtomicUsize::new(calls));
    let start = Instant::now();
    let work = |client: Client, left: Arc<AtomicUsize>| async move {
        let mut latency = histogram();
        while left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1)).is_ok() {
            let begin = Instant::now();
            let got = client.run(&Ask::new("/kit.Safe/Unary")).await;
            if got.code() != Some(status::OK) {
                return Err(Failure::Unmet(format!("a call ended with {got:?}")));
            }
            latency.saturating_record(begin.elapsed().as_micros() as u64);
        }
        Ok(latency)
    };
    let runs: Vec<_> = (0..at_once).map(|_| work(client.clone(), left.clone())).collect();
    let mut latency = histogram();
    for run in wait(futures_util::future::join_all(runs))? {
        latency += run?;
    }
    Ok(Measured { took: start.elapsed(), latency })
}

fn http(address: SocketAddr, at_once: usize, calls: usize) -> Outcome<Measured> {
    let left = AtomicUsize::new(calls);
    let start = Instant::now();
    let work = || -> Outcome<Histogram<u64>> {
        let (mut client, mut latency) = (HttpClient::connect(address)?, histogram());
        while left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1)).is_ok() {
            let begin = Instant::now();
            let (code, head, _) = client.ask("token-read", 20_000, b"")?;
            if code != 200 {
                return Err(Failure::Unmet(format!("a request got {head}")));
            }
            latency.saturating_record(begin.elapsed().as_micros() as u64);
        }
        Ok(latency)
    };
    let mut latency = histogram();
    let runs = thread::scope(|scope| {
        let threads: Vec<_> = (0..at_once).map(|_| scope.spawn(work)).collect();
        threads.into_iter().map(std::thread::ScopedJoinHandle::join).collect::<Vec<_>>()
    });
    for run in runs {
        latency += run.map_err(|_| Failure::Unmet("a client panicked".into()))??;
    }
    Ok(Measured { took: start.elapsed(), latency })
}

fn fronts() -> Outcome {
    heading("fronts: the same head, one node each, a call at a time on each stream or connection");
    let (storage_node, node) = (StandInNode::start("b")?, Node::start()?);
    let by_http = Stage::start(Path::new(HEAD), Setup::default(), storage_node.address, "")?;
    let by_grpc = Stage::start(Path::new(HEAD), Setup::default(), node.address, "")?;
    let client = by_grpc.client()?;
    http(by_http.head.http, 16, 2_000)?;
    grpc(&client, 16, 2_000)?;
    for at_once in [1, 16, 64] {
        for _ in 0..2 {
            let (before, _) = used(by_http.head.process());
            let measured = http(by_http.head.http, at_once, CALLS)?;
            told("HTTP/1.1", at_once, &measured, used(by_http.head.process()).0 - before);
            let (before, _) = used(by_grpc.head.process());
            let measured = grpc(&client, at_once, CALLS)?;
            told("gRPC", at_once, &measured, used(by_grpc.head.process()).0 - before);
        }
    }
    Ok(())
}

fn streams() -> Outcome {
    heading("streams: on one client's connection");
    let node = Node::start()?;
    let stage = Stage::start(Path::new(HEAD), Setup::default(), node.address, "")?;
    let client = stage.client()?;
    grpc(&client, 16, 2_000)?;
    for at_once in [1, 16, 256] {
        let (before, _) = used(stage.head.process());
        let measured = grpc(&client, at_once, CALLS)?;
        told("gRPC", at_once, &measured, used(stage.head.process()).0 - before);
    }
    Ok(())
}

fn idle() -> Outcome {
    println!(
        "idle: streams that are open and say nothing, in a head of 192 MB\n{:>8} {:>8} {:>14}",
        "streams", "RSS KB", "KB a stream"
    );
    let node = Node::start()?;
    let setup = Setup { deadline: Duration::from_secs(3600), ..Setup::default() };
    let stage = Stage::start(Path::new(HEAD), setup, node.address, "streams = 1100\nclients = 16")?;
    let clients = (0..5).map(|_| stage.client()).collect::<Outcome<Vec<Client>>>()?;
    let open = |client: Client| async move {
        let mut stream = client.open(&Ask::new("/kit.Safe/Bidi")).await?;
        stream.send(b"x", false).await;
        Ok::<_, h2::Error>(stream)
    };
    let ping = |client: &Client| client.call(&Ask::new("/elsewhere.Safe/Unary")).map(drop);
    ping(&clients[0])?;
    let (_, empty) = used(stage.head.process());
    let mut held = Vec::new();
    for goal in [0, 1_000, 5_000] {
        while held.len() < goal {
            let client = clients[held.len() / 1_000].clone();
            held.push(wait(open(client))?.map_err(|error| Failure::Unmet(error.to_string()))?);
        }
        // What was asked before on the same connections has been taken with this.
        clients.iter().try_for_each(ping)?;
        let (_, now) = used(stage.head.process());
        println!("{goal:>8} {now:>8} {:>14.2}", now.saturating_sub(empty) as f64 / goal.max(1) as f64);
    }
    Ok(())
}
