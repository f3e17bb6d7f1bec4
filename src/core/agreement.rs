//! What the heads agree on, looked at before each event to the module and before each act.

use super::Core;
use super::open::OpenRequest;
use crate::agree::document::LeaseLevel;
use crate::agree::lease_holder::LeaseView;
use crate::agree::rules::{AdmittedRules, Rules, RulesChange};
use crate::clock::Pace;
use crate::event;
use crate::interface::*;
use std::sync::{Arc, Mutex, PoisonError};

/// By which the core acts on what the heads agree on.
#[derive(Debug)]
pub struct Agreed {
    /// The rules that follow from the agreed documents.
    pub rules: Rules,
    /// What this head knows, as it is at this moment.
    pub view: Arc<Mutex<LeaseView>>,
    /// The clock by which leases are measured.
    pub pace: Pace,
}

impl Agreed {
    pub(super) fn view(&self) -> LeaseView {
        self.view.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// From the look at the rules to the act: beyond this it is told.
const LATE_ACT: Micros = 100_000;

fn name_of(level: LeaseLevel) -> &'static str {
    match level {
        LeaseLevel::NoLease => "bottom",
        LeaseLevel::LongLease => "loose",
        LeaseLevel::FullLease => "held",
    }
}

impl Core {
    /// Looks at what the heads agree on, and under which lease: what has changed the module is told before
    /// all else.
    pub(super) fn apply_agreement(&mut self) -> Vec<Event> {
        let Some(agreed) = &mut self.agreed else { return Vec::new() };
        let view = agreed.view();
        let Some(reading) = agreed.rules.refresh(agreed.pace.now(), &view) else { return Vec::new() };
        let RulesChange { level, was, revised } = reading;
        let state = agreed.rules.state();
        let (read, prepared, active) = (state.applied(), state.prepared(), state.active());
        let ignored = agreed.rules.ignored().join(" ");
        let (level, was, revised) = (name_of(level), name_of(was), if revised { "yes" } else { "no" });
        event!(READING, level, was, revised, read, prepared, active, ignored);
        if !reading.affects_module() {
            return Vec::new();
        }
        self.settings = agreed.rules.settings();
        let mut changed = Vec::new();
        for (number, node) in self.nodes.iter_mut().filter(|(_, node)| !node.removed) {
            let ready = node.listed && agreed.rules.accepts_requests(&node.id);
            if std::mem::replace(&mut node.ready, ready) != ready
                && let Some(entry) = self.known.iter_mut().find(|entry| entry.node == *number)
            {
                entry.state = if ready { NodeState::Ready } else { NodeState::Draining };
                changed.push(*entry);
            }
        }
        let mut events = vec![Event::Settings(Box::new(self.settings.clone()))];
        if !changed.is_empty() {
            events.push(Event::Nodes { update: ListUpdate::Changes, nodes: changed });
        }
        events
    }

    pub(super) fn refresh_agreement(&mut self) {
        for event in self.apply_agreement() {
            let nodes = matches!(event, Event::Nodes { .. });
            self.tell(event);
            if nodes {
                self.drop_where_left();
            }
        }
    }

    /// The look at the act itself: `None` where the attempt may not start, as things stand now; otherwise
    /// when it was.
    pub(super) fn may_start(&self, open: &OpenRequest, attempt: u32, node: NodeId) -> Option<Micros> {
        let Some(agreed) = &self.agreed else { return Some(0) };
        let (now, node) = (agreed.pace.now(), self.nodes.get(&node)?);
        let fresh = agreed.rules.is_current(now, &agreed.view());
        let rules = open
            .rules
            .unwrap_or(AdmittedRules { attempts: 0, repeats: crate::agree::document::Repeats::Never });
        (fresh && agreed.rules.allows(open.class, rules, attempt, open.ran, &node.id)).then_some(now)
    }

    /// An attempt has been started by the agreed rules: how long after the look at them, and for rehearsals
    /// what they were.
    pub(super) fn record_start(
        &self,
        request: RequestId,
        class: usize,
        attempt: u32,
        node: NodeId,
        checked_at: Micros,
    ) {
        let Some(agreed) = &self.agreed else { return };
        let late_us = agreed.pace.now().saturating_sub(checked_at);
        if late_us > LATE_ACT {
            event!(LATE_ACT, late_us, request);
        }
        if log::log_enabled!(log::Level::Debug) {
            let (state, level) = (agreed.rules.state(), name_of(agreed.rules.level()));
            let (read, active, at_us) = (state.applied(), state.active(), self.clock.now());
            let node = self.nodes.get(&node).map_or("", |node| node.id.as_str());
            let (class, attempts) = (class as u64, agreed.rules.attempts(class));
            let limits: Vec<String> = self.settings.plans.iter().map(|plan| plan.limit.to_string()).collect();
            let limits = limits.join(" ");
            event!(ACT, at_us, late_us, request, class, attempt, attempts, node, level, read, active, limits);
        }
    }
}
