//! Which collector gets the lines, when one that failed is tried again, and which lines have been handed over.
//!
//! Syslog has no acknowledgement: a connection that breaks may have swallowed what was written to it last. So a line
//! counts as handed over only when it has stood written for a while on a connection that still stands; what is younger
//! is sent once more on the next connection. A collector may so get a line twice, with the same sequence id, but loses
//! none of those that one repeat can save. Where connections end after a few lines, lines go one at a time, each with
//! a moment in which the collector may close: an orderly end means that what was written was read. A line that is sent
//! for the second time goes alone until it counts as handed over, so that nothing in front of it costs its last try.

use crate::interface::Micros;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// After a failure a collector rests for this long, doubled up to `most_rest`, and up to a half more by chance.
    pub rest: Micros,
    pub most_rest: Micros,
    /// While a collector of less preference is used, a better one is tried again after this.
    pub come_back: Micros,
    /// A written line counts as handed over after this.
    pub settle: Micros,
    /// Bytes that may wait for that.
    pub most_unsettled: usize,
    /// Lines a second, so that one that returns is not flooded.
    pub lines_per_second: f64,
    /// A connection that ends within this many lines makes the next one careful.
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

/// What is to be done next about connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Open one to this collector. If another is in use it stays so until this one stands.
    Connect(usize),
    /// Lines may be sent.
    Send,
    /// Nothing before that time.
    Rest(Micros),
}

#[derive(Debug)]
pub struct Delivery {
    limits: Limits,
    collectors: Vec<Collector>,
    active: Option<usize>,
    come_back_at: Micros,
    lines_on_connection: u64,
    /// Some line has stood long enough on the connection in use.
    stood: bool,
    careful: bool,
    random: fastrand::Rng,
    allowance: f64,
    allowance_at: Micros,
}

impl Delivery {
    pub fn new(collectors: usize, limits: Limits, seed: u64) -> Delivery {
        Delivery {
            limits,
            collectors: vec![Collector::default(); collectors],
            active: None,
            come_back_at: 0,
            lines_on_connection: 0,
            stood: false,
            careful: false,
            random: fastrand::Rng::with_seed(seed),
            allowance: limits.lines_per_second / 10.0,
            allowance_at: 0,
        }
    }

    pub fn active(&self) -> Option<usize> {
        self.active
    }

    /// One line at a time, each with a moment for the collector to close.
    pub fn careful(&self) -> bool {
        self.careful
    }

    /// The first collector in order that does not rest.
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

    pub fn connected(&mut self, now: Micros, collector: usize) {
        self.active = Some(collector);
        (self.lines_on_connection, self.stood) = (0, false);
        self.come_back_at = now + self.limits.come_back;
    }

    /// It did not come up.
    pub fn failed(&mut self, now: Micros, collector: usize) {
        self.rest(now, collector);
        self.come_back_at = now + self.limits.come_back;
    }

    /// The connection in use has ended. True: orderly.
    pub fn ended(&mut self, now: Micros, orderly: bool) {
        let Some(active) = self.active.take() else { return };
        // Many lines may have been written at once to one that took a single line of them.
        self.careful = self.lines_on_connection <= self.limits.few || !self.stood;
        // One that takes lines and then closes is there: it is asked again at once.
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

    /// A line is on its way.
    pub fn wrote(&mut self) {
        self.lines_on_connection += 1;
        self.allowance -= 1.0;
    }

    /// Lines have stood long enough: the collector is well.
    pub fn settled(&mut self) {
        if let Some(active) = self.active {
            self.collectors[active].failures = 0;
            self.stood = true;
        }
        self.careful &= self.lines_on_connection <= self.limits.few;
    }

    /// `None`: a line may go now. Otherwise when.
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

/// Lines that were written, but may be lost with their connection.
#[derive(Debug, Default)]
pub struct Unsettled {
    written: VecDeque<Written>,
    bytes: VecDeque<u8>,
    /// Those of an ended connection that are to be sent once more.
    again: VecDeque<(u64, Vec<u8>)>,
}

impl Unsettled {
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.again.is_empty()
    }

    pub fn wrote(&mut self, now: Micros, key: u64, line: &[u8], again: bool) {
        self.written.push_back(Written { key, at: now, length: line.len(), again });
        self.bytes.extend(line);
    }

    /// The line written last has no further try.
    pub fn last_is_again(&self) -> bool {
        self.written.back().is_some_and(|last| last.again)
    }

    /// The greatest key that has been handed over with this, if any has.
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

    /// All that is written has been read.
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

    /// The connection is gone: what was sent once is sent again, what was sent twice is given up. Returns how many of
    /// those there were.
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
        // In front of those that had no turn yet.
        back.into_iter().rev().for_each(|line| self.again.push_front(line));
        given_up
    }

    pub fn next_again(&mut self) -> Option<(u64, Vec<u8>)> {
        self.again.pop_front()
    }

    pub fn put_back(&mut self, key: u64, line: Vec<u8>) {
        self.again.push_front((key, line));
    }

    /// When the next line settles.
    pub fn next_settles(&self, limits: &Limits) -> Option<Micros> {
        self.written.front().map(|first| first.at + limits.settle)
    }
}

#[cfg(test)]
mod tests;
