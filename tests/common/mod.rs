//! Helpers for tests of the policy alone: settings, node lists, and a host that records the policy's actions.
#![allow(dead_code)] // no test file uses all of it

use pathbank::interface::*;
use pathbank::{Action, Event, Policy};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000_000;

pub fn class(repeats: Repeats) -> Class {
    Class {
        target: S,
        deadline: 4 * S,
        value: 2.0,
        late_value: 0.2,
        repeats,
        window: 3 * S,
        ..Class::default()
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        hosts: 2,
        classes,
        plans: vec![
            Plan { rate: 5.0, reserve: 5.0, weight: 1.0, price: 1.0, limit: 0.0, limit_burst: 0.0 },
            Plan { rate: 5.0, reserve: 0.0, weight: 2.0, price: 1.0, limit: 10.0, limit_burst: 20.0 },
        ],
        tick: 2 * MS,
        answer_slack: 8 * MS,
        max_attempts: 3,
        cancel: true,
        slow_start_fraction: 0.25,
        slow_start_duration: 16 * S,
        fall: 2 * S,
        fall_multiple: 3.0,
        slow_start_units: 8.0,
        max_units: 4.0,
        mean_units: 2.0,
        share_value: 0.3,
        spare_value: 0.05,
        ..Settings::default()
    }
}

pub fn node(id: NodeId, shard: u16) -> NodeEntry {
    NodeEntry { node: id, zone: 0, shard, state: NodeState::Ready, started: 0 }
}

/// A policy, its clock, and all actions that it took.
pub struct Host {
    pub policy: Policy,
    pub now: Micros,
    pub actions: Vec<Action>,
}

impl Host {
    pub fn new(settings: Settings, nodes: Vec<NodeEntry>) -> Self {
        let policy = Policy::new(settings, 7);
        let mut host = Host { policy, now: 100 * S, actions: Vec::new() };
        host.event(Event::Nodes { update: ListUpdate::Cached, nodes });
        host
    }

    pub fn event(&mut self, event: Event) {
        self.policy.handle(self.now, event, &mut self.actions);
    }

    /// Advances the clock and has the policy recheck its queues once, in place of its own timers.
    pub fn wait(&mut self, time: Micros) {
        self.now += time;
        self.event(Event::Timer { token: u64::MAX });
    }

    pub fn request(&mut self, id: RequestId) -> Request {
        let volume = id;
        Request {
            id,
            volume,
            key: 0,
            class: 0,
            plan: 0,
            units: 2.0,
            volume_hosts: 2.0,
            time_left: 4 * S,
            repeat: false,
            shard: Some(1),
        }
    }

    pub fn arrive(&mut self, id: RequestId, change: impl FnOnce(&mut Request)) {
        let mut request = self.request(id);
        change(&mut request);
        self.event(Event::Request(request));
    }

    pub fn outcome(&mut self, request: RequestId, attempt: u32, node: NodeId, result: AttemptResult) {
        let over = result == AttemptResult::Served;
        let latency = 50 * MS;
        self.event(Event::Outcome(Outcome {
            request,
            attempt,
            node,
            result,
            latency,
            over,
            used: None,
            load: Load::default(),
        }));
    }

    pub fn sends(&self) -> Vec<(RequestId, NodeId)> {
        let send = |a: &Action| match a {
            Action::Send { request, node, .. } => Some((*request, *node)),
            _ => None,
        };
        self.actions.iter().filter_map(send).collect()
    }

    pub fn sent(&self, id: RequestId) -> usize {
        self.sends().iter().filter(|(request, _)| *request == id).count()
    }

    pub fn refused(&self, id: RequestId) -> bool {
        self.actions.contains(&Action::Refuse { request: id, retry_in: 0 })
    }

    pub fn failed(&self, id: RequestId) -> bool {
        self.actions.contains(&Action::Fail { request: id })
    }
}
