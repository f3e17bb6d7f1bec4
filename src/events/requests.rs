//! Which requests are logged as events, and the names in these events.

use crate::interface::{AttemptResult, Micros, VolumeId};
use std::fmt;

/// Sampling of the requests that were served in time at their first attempt; all other requests are logged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sampling {
    /// One in so many is logged; 0: none.
    pub one_in: u32,
    /// Exceptions for single plans and classes.
    pub kinds: Vec<SamplingRule>,
}

/// The sampling of the requests of one plan, of one class or of one plan and class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SamplingRule {
    /// The plan's number; `None`: any.
    pub plan: Option<usize>,
    /// The class's number; `None`: any.
    pub class: Option<usize>,
    /// One in so many is logged; 0: none.
    pub one_in: u32,
}

impl Sampling {
    /// Returns the rate for a plan and class: that of the last matching kind, or the general one.
    fn one_in(&self, plan: usize, class: usize) -> u32 {
        let matches = |kind: &&SamplingRule| {
            kind.plan.is_none_or(|p| p == plan) && kind.class.is_none_or(|c| c == class)
        };
        self.kinds.iter().rev().find(matches).map_or(self.one_in, |kind| kind.one_in)
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// A node answered it.
    Served,
    /// It was refused: a retry is harmless.
    Refused,
    /// It failed and may have run.
    Failed,
    /// The client left before the answer.
    Left,
}

impl Finish {
    /// Returns the name in events.
    pub fn name(self) -> &'static str {
        match self {
            Finish::Served => "served",
            Finish::Refused => "refused",
            Finish::Failed => "failed",
            Finish::Left => "left",
        }
    }
}

/// Decides which requests are logged, and maps the numbers of plans and classes to names.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    /// The names of plans by number.
    pub plans: Vec<String>,
    /// The names of classes by number.
    pub classes: Vec<String>,
    /// How many of the requests served in time are logged.
    pub sampling: Sampling,
    /// The number of served requests so far, by plan and class; every n-th of them is logged.
    seen: Vec<u32>,
}

impl RequestLog {
    /// Creates a log filter that has seen no requests.
    pub fn new(plans: Vec<String>, classes: Vec<String>, sampling: Sampling) -> RequestLog {
        RequestLog { plans, classes, sampling, seen: Vec::new() }
    }

    /// Returns how many requests this one represents in the log; `None`: it is not logged.
    pub fn sample(
        &mut self,
        plan: usize,
        class: usize,
        finish: Finish,
        attempts: usize,
        late: bool,
    ) -> Option<u32> {
        if finish != Finish::Served || attempts > 1 || late {
            return Some(1);
        }
        // A class has a number for each version of its rules; all of them are sampled under the first one.
        let class = self.classes.iter().position(|name| name == self.class(class)).unwrap_or(class);
        let one_in = self.sampling.one_in(plan, class);
        let index = plan * self.classes.len().max(class + 1) + class;
        if self.seen.len() <= index {
            self.seen.resize(index + 1, 0);
        }
        let seen = &mut self.seen[index];
        *seen = seen.wrapping_add(1);
        (one_in > 0 && seen.is_multiple_of(one_in)).then_some(one_in)
    }

    /// Returns the name of a plan, or `-`.
    pub fn plan(&self, plan: usize) -> &str {
        self.plans.get(plan).map_or("-", String::as_str)
    }

    /// Returns the name of a class, or `-`: classes that a front adds have no name in the settings.
    pub fn class(&self, class: usize) -> &str {
        self.classes.get(class).filter(|name| !name.is_empty()).map_or("-", String::as_str)
    }
}

/// Formats a volume's number as the platform does.
pub struct Volume(pub VolumeId);

impl fmt::Display for Volume {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The first attempt.
    First,
    /// A retry after an attempt with this result.
    Another(AttemptResult),
    /// A hedged request: another attempt is in flight.
    Copy,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::First => f.write_str("first"),
            Why::Another(result) => write!(f, "another after {}", result_name(*result)),
            Why::Copy => f.write_str("copy"),
        }
    }
}

/// Returns the name of an attempt's result in events.
pub fn result_name(result: AttemptResult) -> &'static str {
    match result {
        AttemptResult::Served => "served",
        AttemptResult::Error => "error",
        AttemptResult::Overloaded => "full",
        AttemptResult::TimedOut => "timed_out",
        AttemptResult::ConnectFailed => "connect_failed",
        AttemptResult::Reset => "reset",
        AttemptResult::Cancelled => "cancelled",
        AttemptResult::NotSent => "moot",
    }
}

/// An attempt, as it is logged with its request.
#[derive(Clone, Debug)]
pub struct Tried {
    /// The node's id; empty: the attempt never started.
    pub node: String,
    /// Why it was made.
    pub why: Why,
    /// How it ended; `None`: it is in flight.
    pub result: Option<AttemptResult>,
    /// When it started.
    pub sent: Micros,
    /// How long it took, microseconds.
    pub latency: Micros,
}

#[cfg(test)]
mod tests;
