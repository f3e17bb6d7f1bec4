//! The timing wheel against a binary heap: deadlines that mostly are taken back. `cargo bench --bench wheel`.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pathbank::index::wheel::TimerWheel;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const DEADLINE: u64 = 5_000_000;

/// Requests come `gap` apart, each with a deadline, and each is answered after `held` others; one in a hundred is not.
fn wheel(rounds: u64, gap: u64, held: usize) -> usize {
    let (mut wheel, mut open, mut late) = (TimerWheel::new(0), VecDeque::new(), 0);
    for i in 0..rounds {
        let now = i * gap;
        open.push_back(wheel.insert(now + DEADLINE, i));
        if open.len() > held
            && let Some(key) = open.pop_front()
            && i % 100 != 0
        {
            wheel.remove(key);
        }
        while wheel.pop(now).is_some() {
            late += 1;
        }
    }
    late
}

/// The same with a heap, where what was taken back lies until it is due.
fn heap(rounds: u64, gap: u64, held: usize) -> usize {
    let (mut heap, mut open, mut late) = (BinaryHeap::new(), VecDeque::new(), 0);
    let mut answered = std::collections::HashSet::new();
    for i in 0..rounds {
        let now = i * gap;
        heap.push(Reverse((now + DEADLINE, i)));
        open.push_back(i);
        if open.len() > held
            && let Some(done) = open.pop_front()
            && i % 100 != 0
        {
            answered.insert(done);
        }
        while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            if let Some(Reverse((_, done))) = heap.pop()
                && !answered.remove(&done)
            {
                late += 1;
            }
        }
    }
    late
}

fn deadlines(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a deadline, set and taken back");
    // Requests a second, and those open at once.
    for (rate, held) in [(200, 50), (2_000, 500), (50_000, 5_000), (200_000, 50_000)] {
        let gap = 1_000_000 / rate;
        group.throughput(criterion::Throughput::Elements(500_000)).sample_size(10);
        group.bench_with_input(BenchmarkId::new("wheel", rate), &held, |bencher, held| {
            bencher.iter(|| wheel(500_000, gap, *held));
        });
        group.bench_with_input(BenchmarkId::new("heap", rate), &held, |bencher, held| {
            bencher.iter(|| heap(500_000, gap, *held));
        });
    }
    group.finish();
}

criterion_group!(benches, deadlines);
criterion_main!(benches);
