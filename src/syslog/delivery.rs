//! Decides which collector receives the lines, when a failed collector is retried, and which lines count as delivered.
//!
//! Syslog has no acknowledgement: when a connection breaks, the lines written to it last may be lost. A line therefore
//! counts as delivered (settled) only if its connection is still open some time after the write; later lines are sent
//! once more on the next connection. A collector may receive a line twice, with the same sequence id, but loses no line
//! that one repeat can save. If a connection ends after a few lines, or before any line settled, the sender
//! becomes careful: it sends one line at a time and waits briefly for the collector to close, because an
//! orderly end means that the line was read. In careful mode a line sent for the second time is sent alone
//! until it is settled, so that no line before it costs its last attempt.

use crate::interface::Micros;
use std::collections::VecDeque;

/// Times and limits of delivery. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which a collector is not used after a failure. It doubles with each further failure up to `most_rest`,
    /// and a random part of up to half of it is added.
    pub rest: Micros,
    /// Upper limit of `rest`, without the random part.
    pub most_rest: Micros,
    /// Time after which a preferred collector is retried while a less preferred one is in use.
    pub come_back: Micros,
    /// Time after which a written line counts as delivered.
    pub settle: Micros,
    /// Most bytes of unsettled lines; beyond it, the oldest lines count as delivered early.
    pub most_unsettled: usize,
    /// Most lines sent per second, so that a collector that returns is not flooded.
    pub lines_per_second: f64,
    /// A connection that ends after at most this many lines makes the sender careful.
    pub few: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            rest: 200_000,
            most_rest: 30_000_000,
            come_back: 10_000_000,
            settle: 1_000_000,
            most_unsettled: 64 * 1024,
            lines_per_second: 5_000.0,
            few: 8,
        }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Collector {
    failures: u32,
    rests_until: Micros,
}

/// The next action of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Connect to this collector. A connection in use is kept until the new one is open.
    Connect(usize),
    /// Send lines on the connection in use.
    Send,
    /// Do nothing before this time.
    Rest(Micros),
}

/// Chooses the collector in use and limits the rate of lines.
#[derive(Debug)]
pub struct Delivery {
    limits: Limits,
    collectors: Vec<Collector>,
    active: Option<usize>,
    come_back_at: Micros,
    lines_on_connection: u64,
    /// A line has settled on the connection in use.
    line_settled: bool,
    careful: bool,
    random: fastrand::Rng,
    allowance: f64,
    allowance_at: Micros,
}

impl Delivery {
    /// Creates the state for this many collectors, in order of preference. `seed` randomizes the rests.
    pub fn new(collectors: usize, limits: Limits, seed: u64) -> Delivery {
        Delivery {
            limits,
            collectors: vec![Collector::default(); collectors],
            active: None,
            come_back_at: 0,
            lines_on_connection: 0,
            line_settled: false,
            careful: false,
            random: fastrand::Rng::with_seed(seed),
            allowance: limits.lines_per_second / 10.0,
            allowance_at: 0,
        }
    }

    /// The collector in use.
    pub fn active(&self) -> Option<usize> {
        self.active
    }

    /// Whether lines are sent one at a time, each followed by a wait for the collector to close.
    pub fn careful(&self) -> bool {
        self.careful
    }

    /// Returns the next action. The first collector that does not rest is preferred.
    pub fn step(&self, now: Micros) -> Step {
        let rested = self.collectors.iter().position(|collector| now >= collector.rests_until);
        match (self.active, rested) {
            (Some(active), Some(better)) if better < active && now >= self.come_back_at => {
                Step::Connect(better)
            }
            (Some(_), _) => Step::Send,
            (None, Some(first)) => Step::Connect(first),
            (None, None) => {
                Step::Rest(self.collectors.iter().map(|collector| collector.rests_until).min().unwrap_or(now))
            }
        }
    }

    /// Records that a connection to the collector is open and in use.
    pub fn connected(&mut self, now: Micros, collector: usize) {
        self.active = Some(collector);
        (self.lines_on_connection, self.line_settled) = (0, false);
        self.come_back_at = now + self.limits.come_back;
    }

    /// Records that a connection to the collector could not be opened.
    pub fn failed(&mut self, now: Micros, collector: usize) {
        self.rest(now, collector);
        self.come_back_at = now + self.limits.come_back;
    }

    /// Records that the connection in use has ended, in an orderly way or not.
    pub fn ended(&mut self, now: Micros, orderly: bool) {
        let Some(active) = self.active.take() else { return };
        // Many lines may have been written at once to a collector that read only one of them.
        self.careful = self.lines_on_connection <= self.limits.few || !self.line_settled;
        // A collector that reads lines and then closes is running, so it is used again without a rest.
        if !orderly || self.lines_on_connection == 0 {
            self.rest(now, active);
        }
    }

    fn rest(&mut self, now: Micros, collector: usize) {
        let Limits { rest, most_rest, .. } = self.limits;
        let known = &mut self.collectors[collector];
        let rest = (rest << known.failures.min(20)).min(most_rest);
        known.failures += 1;
        known.rests_until = now + rest + self.random.u64(0..=rest / 2);
    }

    /// Records that a line was written.
    pub fn wrote(&mut self) {
        self.lines_on_connection += 1;
        self.allowance -= 1.0;
    }

    /// Records that lines were settled, which means that the collector works.
    pub fn settled(&mut self) {
        if let Some(active) = self.active {
            self.collectors[active].failures = 0;
            self.line_settled = true;
        }
        self.careful &= self.lines_on_connection <= self.limits.few;
    }

    /// Returns `None` if the rate limit allows a line now, otherwise the time at which it does.
    pub fn pace(&mut self, now: Micros) -> Option<Micros> {
        let rate = self.limits.lines_per_second;
        let filled = rate * now.saturating_sub(self.allowance_at) as f64 / 1e6;
        (self.allowance, self.allowance_at) = ((self.allowance + filled).min((rate / 10.0).max(1.0)), now);
        let short = 1.0 - self.allowance;
        (short > 0.0).then(|| now + (short / rate * 1e6).ceil() as Micros)
    }
}

#[derive(Clone, Copy, Debug)]
struct Written {
    key: u64,
    at: Micros,
    length: usize,
    again: bool,
}

/// Lines that were written but may still be lost with their connection.
#[derive(Debug, Default)]
pub struct Unsettled {
    written: VecDeque<Written>,
    bytes: VecDeque<u8>,
    /// Lines of an ended connection that are to be sent once more.
    again: VecDeque<(u64, Vec<u8>)>,
}

impl Unsettled {
    /// Whether no line is unsettled or to be sent again.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.again.is_empty()
    }

    /// Records that a line was written; `again` if it was for the second time.
    pub fn wrote(&mut self, now: Micros, key: u64, line: &[u8], again: bool) {
        self.written.push_back(Written { key, at: now, length: line.len(), again });
        self.bytes.extend(line);
    }

    /// Whether the line written last was sent for the second time.
    pub fn last_is_again(&self) -> bool {
        self.written.back().is_some_and(|last| last.again)
    }

    /// Settles the lines that are old enough or exceed the limit in bytes. Returns the greatest of their keys.
    pub fn settle(&mut self, now: Micros, limits: &Limits) -> Option<u64> {
        let mut greatest = None;
        while let Some(first) = self.written.front() {
            let old = now >= first.at + limits.settle;
            if !old && self.bytes.len() <= limits.most_unsettled {
                break;
            }
            greatest = greatest.max(Some(first.key));
            self.drop_first();
        }
        greatest
    }

    /// Settles all written lines. Returns the greatest of their keys.
    pub fn settle_all(&mut self) -> Option<u64> {
        let greatest = self.written.iter().map(|written| written.key).max();
        self.written.clear();
        self.bytes.clear();
        greatest
    }

    fn drop_first(&mut self) {
        if let Some(first) = self.written.pop_front() {
            self.bytes.drain(..first.length);
        }
    }

    /// Records that the connection has ended. Unsettled lines sent once will be sent again; lines sent twice are given
    /// up. Returns the number of lines given up.
    pub fn ended(&mut self) -> usize {
        let mut given_up = 0;
        let mut back = Vec::new();
        while let Some(first) = self.written.pop_front() {
            let line: Vec<u8> = self.bytes.drain(..first.length).collect();
            if first.again {
                given_up += 1;
            } else {
                back.push((first.key, line));
            }
        }
        // These lines precede those that are still waiting to be sent again.
        back.into_iter().rev().for_each(|line| self.again.push_front(line));
        given_up
    }

    /// Takes the next line to send again, with its key.
    pub fn next_again(&mut self) -> Option<(u64, Vec<u8>)> {
        self.again.pop_front()
    }

    /// Puts a line from [`Unsettled::next_again`] back at the front, so that it is sent next.
    pub fn put_back(&mut self, key: u64, line: Vec<u8>) {
        self.again.push_front((key, line));
    }

    /// Time at which the next line settles.
    pub fn next_settles(&self, limits: &Limits) -> Option<Micros> {
        self.written.front().map(|first| first.at + limits.settle)
    }
}

#[cfg(test)]
mod tests;
