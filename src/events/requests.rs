//! What is told of requests: which of them, and by which names.

use crate::interface::{AttemptResult, Micros, VolumeId};
use std::fmt;

/// How many requests of a kind stand behind one that is told, for those that were served in time at their
/// first attempt. 0: none of them is told. All others always are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sampling {
    pub one_in: u32,
    /// For a plan and class of its own.
    pub kinds: Vec<Kind>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    pub plan: Option<usize>,
    pub class: Option<usize>,
    pub one_in: u32,
}

impl Sampling {
    /// The last kind that fits decides.
    fn one_in(&self, plan: usize, class: usize) -> u32 {
        let fits =
            |kind: &&Kind| kind.plan.is_none_or(|p| p == plan) && kind.class.is_none_or(|c| c == class);
        self.kinds.iter().rev().find(fits).map_or(self.one_in, |kind| kind.one_in)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    Served,
    Refused,
    Failed,
    Left,
}

impl Finish {
    pub fn name(self) -> &'static str {
        match self {
            Finish::Served => "served",
            Finish::Refused => "refused",
            Finish::Failed => "failed",
            Finish::Left => "left",
        }
    }
}

/// Names for the module's numbers, and what is told.
#[derive(Clone, Debug, Default)]
pub struct Telling {
    pub plans: Vec<String>,
    pub classes: Vec<String>,
    pub sampling: Sampling,
    /// Served requests so far, by plan and class: every n-th is told, so that any n of them have one.
    seen: Vec<u32>,
}

impl Telling {
    pub fn new(plans: Vec<String>, classes: Vec<String>, sampling: Sampling) -> Telling {
        Telling { plans, classes, sampling, seen: Vec::new() }
    }

    /// Whether it is told, as one in how many.
    pub fn told(
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
        // A class has another number for each of its rules, and is sampled by the first one.
        let class = self.classes.iter().position(|name| name == self.class(class)).unwrap_or(class);
        let one_in = self.sampling.one_in(plan, class);
        let place = plan * self.classes.len().max(class + 1) + class;
        if self.seen.len() <= place {
            self.seen.resize(place + 1, 0);
        }
        let seen = &mut self.seen[place];
        *seen = seen.wrapping_add(1);
        (one_in > 0 && seen.is_multiple_of(one_in)).then_some(one_in)
    }

    pub fn plan(&self, plan: usize) -> &str {
        self.plans.get(plan).map_or("-", String::as_str)
    }

    /// Classes that a front added of its own have no name in the settings.
    pub fn class(&self, class: usize) -> &str {
        self.classes.get(class).filter(|name| !name.is_empty()).map_or("-", String::as_str)
    }
}

/// An app store as the platform writes it.
pub struct Volume(pub VolumeId);

impl fmt::Display for Volume {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    First,
    /// After one that ended so.
    Another(AttemptResult),
    /// While another is out.
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

/// An attempt as it is told with its request.
#[derive(Clone, Debug)]
pub struct Tried {
    pub node: String,
    pub why: Why,
    pub result: Option<AttemptResult>,
    pub sent: Micros,
    pub latency: Micros,
}

#[cfg(test)]
mod tests;
