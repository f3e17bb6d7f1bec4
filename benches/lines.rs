//! What a line of the log costs: written, read strictly, queued, and brought to disk and back. `cargo bench --bench
//! lines`.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use pathbank::config::syslog::SpoolLimits;
use pathbank::logging::spool::Spool;
use pathbank::syslog::Severity;
use pathbank::syslog::encode::{Head, Limits, Line};
use pathbank::syslog::parse::parse;
use pathbank::syslog::queue::Queue;
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

const VALUES: [(&str, &str); 12] = [
    ("request", "41234"),
    ("volume", "00000003b4d60021"),
    ("plan", "starter"),
    ("class", "token-read"),
    ("units", "2"),
    ("attempts", "2"),
    ("held_us", "1534"),
    ("out_us", "52311"),
    ("outcome", "served"),
    ("late", "no"),
    ("one_in", "1"),
    ("odd", "a]\"\\\u{e9}"),
];

fn line(buffer: &mut String) {
    let time = jiff::Timestamp::UNIX_EPOCH;
    let time = format_args!("{time:.6}");
    let severity = Severity::Informational;
    let head = Head { severity, timestamp: &time, host: "n3", app: "pathbank", process: 7, id: "REQUEST" };
    let mut line = Line::begin(buffer, Limits::default(), &head);
    line.element("request@32473");
    VALUES.iter().for_each(|(name, value)| line.parameter(name, value));
    line.element("meta");
    line.parameter("sequenceId", &7);
    line.end(&"");
}

/// The plain twin of the queue: one list, searched for the least severe.
#[derive(Default)]
struct List {
    lines: VecDeque<(Severity, Vec<u8>)>,
    bytes: usize,
}

impl List {
    fn push(&mut self, most: usize, severity: Severity, line: &[u8]) {
        while self.bytes + line.len() > most {
            let worst = self.lines.iter().map(|(severity, _)| *severity).max();
            let place = self.lines.iter().position(|(severity, _)| Some(*severity) == worst);
            let Some((_, gone)) = place.and_then(|place| self.lines.remove(place)) else { return };
            self.bytes -= gone.len();
        }
        self.bytes += line.len();
        self.lines.push_back((severity, line.to_vec()));
    }
}

fn lines(criterion: &mut Criterion) {
    let mut buffer = String::new();
    line(&mut buffer);
    let bytes = buffer.clone().into_bytes();
    let mut group = criterion.benchmark_group("line");
    group.throughput(Throughput::Elements(1));
    group.bench_function("write", |bencher| bencher.iter(|| line(black_box(&mut buffer))));
    group.bench_function("read strictly", |bencher| bencher.iter(|| parse(black_box(&bytes)).is_ok()));
    let mut queue = Queue::new(1 << 20);
    let mut out = Vec::new();
    group.bench_function("queue and take", |bencher| {
        bencher.iter(|| {
            queue.push(0, Severity::Informational, "REQUEST", black_box(&bytes));
            queue.pop(&mut out)
        })
    });
    // Full of graver lines but for a few: each push drops one.
    let severity = |i: usize| if i.is_multiple_of(50) { Severity::Informational } else { Severity::Error };
    let mut queue = Queue::new(1 << 20);
    let mut i = 0;
    group.bench_function("queue, full", |bencher| {
        bencher.iter(|| {
            i += 1;
            queue.push(0, severity(i), "REQUEST", black_box(&bytes))
        })
    });
    let (mut list, mut i) = (List::default(), 0);
    group.bench_function("plain list, full", |bencher| {
        bencher.iter(|| {
            i += 1;
            list.push(1 << 20, severity(i), black_box(&bytes))
        })
    });
    group.finish();
}

fn spool(criterion: &mut Criterion) {
    let directory = std::env::temp_dir().join(format!("pathbank-bench-{}", std::process::id()));
    if std::fs::create_dir_all(&directory).is_err() {
        return eprintln!("no directory for the spool");
    }
    let limits = SpoolLimits { directory: directory.clone(), bytes: 1 << 30, age: Duration::from_secs(3600) };
    let mut text = String::new();
    line(&mut text);
    let batch =
        || (0..512).map(|_| (Severity::Informational, "REQUEST", text.clone().into_bytes())).collect();
    let mut group = criterion.benchmark_group("spool, 512 lines");
    group.throughput(Throughput::Elements(512)).sample_size(20);
    group.bench_function("append", |bencher| {
        let spool = Spool::open(&limits);
        bencher.iter_custom(|rounds| {
            let batches: Vec<Vec<_>> = (0..rounds).map(|_| batch()).collect();
            let start = Instant::now();
            batches.into_iter().for_each(|batch| spool.append(batch));
            let took = start.elapsed();
            spool.release(u64::MAX - 1);
            took
        })
    });
    group.bench_function("read and release", |bencher| {
        let spool = Spool::open(&limits);
        bencher.iter_custom(|rounds| {
            (0..rounds).for_each(|_| spool.append(batch()));
            let (start, mut last) = (Instant::now(), 0);
            for _ in 0..rounds {
                last = spool.read(last, 512).last().map_or(last, |(key, _)| *key);
                spool.release(last);
            }
            start.elapsed()
        })
    });
    group.finish();
    let _ = std::fs::remove_dir_all(&directory); // only left-overs
}

criterion_group!(benches, lines, spool);
criterion_main!(benches);
