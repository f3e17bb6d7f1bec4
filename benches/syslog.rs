//! The log beside requests: their latency with a collector that lives, is frozen, is gone or is slow, in one
//! run; and minutes of traffic with a strict collector. `cargo bench --bench syslog`; or `-- latency`, `--
//! flood`, `-- soak SECONDS`. `PATHBANK_TWIN` names another build's head that `latency` plays beside this
//! one's.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use hdrhistogram::Histogram;
use pathbank::rehearsal::stage::{Discovery, Head, HttpClient, Setup, entry};
use pathbank::rehearsal::storage_node::StandInNode;
use pathbank::rehearsal::syslog::{Manner, Syslog};
use pathbank::rehearsal::{Failure, Outcome, check, expect};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const HEAD: &str = env!("CARGO_BIN_EXE_pathbank");
const REQUESTS: usize = 10_000;
const AT_ONCE: usize = 8;
const ALL: &str = "[requests]\nserved_one_in = 1\n";

fn main() {
    let arguments: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    let seconds = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(20);
    let done = match arguments.first().map(String::as_str) {
        Some("soak") => soak(Duration::from_secs(seconds)),
        Some("latency") => latency(),
        Some("flood") => flood(),
        None => latency().and_then(|()| flood()).and_then(|()| soak(Duration::from_secs(seconds))),
        Some(other) => Err(Failure::Unmet(format!("no part {other}"))),
    };
    if let Err(failure) = done {
        eprintln!("{failure}");
        std::process::exit(1);
    }
}

struct Stage {
    storage_node: StandInNode,
    _discovery: Discovery,
    head: Head,
}

fn stage(log: &str) -> Outcome<Stage> {
    staged(HEAD, log, Setup::default().watched)
}

fn staged(head: &str, log: &str, watched: bool) -> Outcome<Stage> {
    let storage_node = StandInNode::start("b")?;
    let nodes = vec![entry("s-1", storage_node.address, 0, "in_service")];
    let discovery = Discovery::start(nodes.clone())?;
    let head = Head::start(
        Path::new(head),
        &Setup { log: log.into(), watched, ..Setup::default() },
        discovery.address,
        nodes,
    )?;
    Ok(Stage { storage_node, _discovery: discovery, head })
}

fn collector(syslog: &Syslog) -> String {
    format!("[[collectors]]\ntransport = \"tcp\"\naddress = \"{}\"\n", syslog.address)
}

/// The head's time on the processor so far.
fn cpu(process: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 10)
}

fn ask(stage: &Stage, requests: usize) -> Outcome<Histogram<u64>> {
    let address = stage.head.http;
    let run = || -> Outcome<Histogram<u64>> {
        let mut client = HttpClient::connect(address)?;
        let mut latency =
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| Failure::Unmet(e.to_string()))?;
        for _ in 0..requests / AT_ONCE {
            let start = Instant::now();
            expect(client.ask("token-read", 20_000, b"")?.0, 200, "a request's status")?;
            latency.saturating_record(start.elapsed().as_micros() as u64);
        }
        Ok(latency)
    };
    let runs = thread::scope(|scope| {
        let threads: Vec<_> = (0..AT_ONCE).map(|_| scope.spawn(run)).collect();
        threads.into_iter().map(std::thread::ScopedJoinHandle::join).collect::<Vec<_>>()
    });
    let mut all = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| Failure::Unmet(e.to_string()))?;
    for run in runs {
        all += run.map_err(|_| Failure::Unmet("a client panicked".into()))??;
    }
    // Nobody else asks for them, and they would be held.
    stage.storage_node.seen.try_iter().for_each(drop);
    Ok(all)
}

fn latency() -> Outcome {
    println!(
        "latency of {REQUESTS} requests, {AT_ONCE} at once; two lines of the log each where all are told"
    );
    println!(
        "{:>22} {:>8} {:>8} {:>8} {:>14}",
        "collector", "p50 ms", "p99 ms", "p99.9 ms", "head us/request"
    );
    let directory = std::env::temp_dir().join(format!("pathbank-latency-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let (live, spooled, frozen, gone) =
        (Syslog::start()?, Syslog::start()?, Syslog::with(Manner::StopsAfter(10_000))?, Syslog::start()?);
    let gone_is = collector(&gone);
    drop(gone);
    let spool = format!("[spool]\ndirectory = \"{}\"\n", directory.display());
    let twin = std::env::var("PATHBANK_TWIN").ok();
    let mut stages: Vec<(&str, Stage)> = Vec::new();
    if let Some(twin) = &twin {
        stages.push(("twin, its own log", staged(twin, "", false)?));
    }
    stages.extend([
        ("none, requests untold", stage("")?),
        ("none", stage(ALL)?),
        ("live", stage(&format!("{}{ALL}", collector(&live)))?),
        ("live, with spool", stage(&format!("{}{spool}{ALL}", collector(&spooled)))?),
        ("frozen", stage(&format!("{}{ALL}", collector(&frozen)))?),
        ("gone", stage(&format!("{gone_is}{ALL}"))?),
    ]);
    for (_, stage) in &stages {
        ask(stage, 2_000)?;
    }
    // In turn, twice, so that none has the machine's good minute to itself.
    let mut sums: BTreeMap<usize, (Histogram<u64>, Duration)> = BTreeMap::new();
    for _ in 0..2 {
        for (i, (_, stage)) in stages.iter().enumerate() {
            let before = cpu(stage.head.process());
            let latency = ask(stage, REQUESTS / 2)?;
            let used = cpu(stage.head.process()) - before;
            match sums.get_mut(&i) {
                Some((all, cpu)) => {
                    *all += latency;
                    *cpu += used;
                }
                None => drop(sums.insert(i, (latency, used))),
            }
        }
    }
    for (i, (name, _)) in stages.iter().enumerate() {
        let Some((latency, used)) = sums.get(&i) else { continue };
        let ms = |part| latency.value_at_quantile(part) as f64 / 1000.0;
        let each = used.as_micros() as f64 / latency.len() as f64;
        println!("{name:>22} {:>8.2} {:>8.2} {:>8.2} {each:>14.1}", ms(0.5), ms(0.99), ms(0.999));
    }
    drop(stages);
    std::fs::remove_dir_all(&directory)?;
    Ok(())
}

/// As many lines as the head can make into a collector of 1,000 a second.
fn flood() -> Outcome {
    let syslog = Syslog::with(Manner::Slow(1_000))?;
    let stage = stage(&format!("{}{ALL}", collector(&syslog)))?;
    let start = Instant::now();
    let mut requests = 0;
    let mut latency =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| Failure::Unmet(e.to_string()))?;
    while start.elapsed() < Duration::from_secs(5) {
        latency += ask(&stage, 8_000)?;
        requests += 8_000;
    }
    let took = start.elapsed().as_secs_f64();
    let (mut came, mut told) = (0u64, 0u64);
    let mut ids = std::collections::BTreeSet::new();
    let reading = Instant::now();
    loop {
        while let Ok(received) = syslog.messages.try_recv() {
            let message = received.map_err(Failure::Unmet)?;
            came += 1;
            if ids.insert(message.sequence) && message.id == "DROPPED" {
                told += message.get("count").parse::<u64>().unwrap_or(0);
            }
        }
        let missing = ids.last().map_or(0, |last: &u64| last - ids.len() as u64);
        // The last word on what was dropped comes behind all that waits.
        if told == missing && ids.last().is_some_and(|last| *last >= 2 * requests as u64) {
            break;
        }
        check(
            reading.elapsed() < Duration::from_secs(60),
            format!("{told} told as dropped, {missing} missing"),
        )?;
        thread::sleep(Duration::from_millis(20));
    }
    println!(
        "flood: {:.0} lines a second into 1,000; {came} came, {told} dropped and told to the line; requests' p99 {:.2} ms",
        2.0 * requests as f64 / took,
        latency.value_at_quantile(0.99) as f64 / 1000.0
    );
    Ok(())
}

/// Traffic for so long, with every line read by the strict collector.
fn soak(time: Duration) -> Outcome {
    let mut syslog = Syslog::start()?;
    let stage = stage(&format!("{}{ALL}", collector(&syslog)))?;
    let (ended, start) = (AtomicBool::new(false), Instant::now());
    let ends = &ended;
    let messages = syslog.take();
    let read = move || -> Outcome<(u64, u64)> {
        let (mut lines, mut next) = (0, 1);
        loop {
            match messages.recv_timeout(Duration::from_secs(2)) {
                Ok(Ok(message)) => {
                    expect(message.sequence, next, "the next sequence id")?;
                    next += 1;
                    lines += 1;
                }
                Ok(Err(wrong)) => return Err(Failure::Unmet(wrong)),
                Err(_) if ends.load(Ordering::Relaxed) => return Ok((lines, next - 1)),
                Err(_) => {}
            }
        }
    };
    let mut requests = 0;
    let (lines, last) = thread::scope(|scope| {
        let reader = scope.spawn(read);
        let mut asked = Ok(());
        while start.elapsed() < time && !reader.is_finished() && asked.is_ok() {
            asked = ask(&stage, 800).map(drop);
            requests += 800;
            // About 2,000 a second: what the strict reader can follow.
            let due = Duration::from_micros(500 * requests as u64);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
        ended.store(true, Ordering::Relaxed);
        let read = reader.join().map_err(|_| Failure::Unmet("the reader panicked".into()))?;
        asked.and(read)
    })?;
    println!(
        "soak: {:.0} s, {requests} requests, {lines} lines, none rejected, sequence ids 1 to {last} without a gap",
        start.elapsed().as_secs_f64()
    );
    Ok(())
}
