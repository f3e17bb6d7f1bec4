//! The way from a process's start back to service, milestone by milestone: each is logged when it is reached
//! first, with the time since the start. Where service comes back late, these lines say which stretch took
//! how long.

use crate::clock;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// What a process reaches on its way to service, in the usual order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Milestone {
    /// A core has read its disk.
    DiskRead,
    /// It listens.
    Listening,
    /// An edge has a link to a core.
    ControlReached,
    /// A core knows a leader.
    LeaderKnown,
    /// A core has applied all that is committed.
    Current,
    /// An edge has a configuration in force.
    Configured,
    /// A model server is known.
    ModelServerKnown,
    /// A leader gave an order to a model server.
    Ordered,
    /// A request went to a model server.
    Sent,
    /// A model server answered one with a success.
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
    /// A milestone is reached. Only the first time counts.
    pub fn reach(&self, milestone: Milestone) {
        let mut reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        if reached.contains_key(&milestone) {
            return;
        }
        let after_ms = clock::now().saturating_sub(self.started);
        reached.insert(milestone, after_ms);
        tracing::info!(milestone = milestone.name(), after_ms, "on the way to service");
    }

    /// The milestones by name, with the milliseconds since the start.
    pub fn to_json(&self) -> Value {
        let reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        let named = reached.iter().map(|(milestone, ms)| (milestone.name().to_owned(), Value::from(*ms)));
        Value::Object(named.collect::<Map<String, Value>>())
    }
}
