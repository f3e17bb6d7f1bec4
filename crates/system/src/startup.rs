//! Milestones between a process's start and its service. Each is logged when it is first reached, with the
//! time since the start; if a process serves late, these log lines show which part of its startup took long.

use crate::clock;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// A milestone of a process's startup, in the usual order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Milestone {
    /// A core has read its disk.
    DiskRead,
    /// The process listens.
    Listening,
    /// An edge has a link to a core.
    ControlReached,
    /// A core knows a leader.
    LeaderKnown,
    /// A core has applied all committed log entries.
    Current,
    /// An edge has a configuration in force.
    Configured,
    /// A model server is known.
    ModelServerKnown,
    /// A leader gave an order to a model server.
    Ordered,
    /// A request went to a model server.
    Sent,
    /// A model server answered a request with success.
    Answered,
}

impl Milestone {
    fn name(self) -> &'static str {
        match self {
            Milestone::DiskRead => "disk_read",
            Milestone::Listening => "listening",
            Milestone::ControlReached => "control_reached",
            Milestone::LeaderKnown => "leader_known",
            Milestone::Current => "current",
            Milestone::Configured => "configured",
            Milestone::ModelServerKnown => "brick_known",
            Milestone::Ordered => "ordered",
            Milestone::Sent => "sent",
            Milestone::Answered => "answered",
        }
    }
}

/// The milestones that this process has reached, with the milliseconds since its start.
#[derive(Debug)]
pub struct Startup {
    started: u64,
    reached: Mutex<BTreeMap<Milestone, u64>>,
}

impl Default for Startup {
    fn default() -> Startup {
        Startup { started: clock::now(), reached: Mutex::default() }
    }
}

impl Startup {
    /// Records that a milestone is reached, and logs it. Only the first call for each milestone counts.
    pub fn reach(&self, milestone: Milestone) {
        let mut reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        if reached.contains_key(&milestone) {
            return;
        }
        let after_ms = clock::now().saturating_sub(self.started);
        reached.insert(milestone, after_ms);
        tracing::info!(milestone = milestone.name(), after_ms, "startup milestone reached");
    }

    /// The milestones that were reached, by name, with the milliseconds since the start.
    pub fn to_json(&self) -> Value {
        let reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        let named = reached.iter().map(|(milestone, ms)| (milestone.name().to_owned(), Value::from(*ms)));
        Value::Object(named.collect::<Map<String, Value>>())
    }
}
