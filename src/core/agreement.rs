//! The agreed documents, read before each event for the policy and before each start of an attempt.

use super::Core;
use super::open::OpenRequest;
use crate::agree::document::LeaseLevel;
use crate::agree::lease_holder::LeaseView;
use crate::agree::rules::{AdmittedRules, Rules, RulesChange};
use crate::clock::LeaseClock;
use crate::event;
use crate::interface::*;
use std::sync::{Arc, Mutex, PoisonError};

/// What the core needs to act by the agreed documents.
#[derive(Debug)]
pub struct Agreed {
    /// The rules that follow from the agreed documents.
    pub rules: Rules,
    /// This host's current view of the documents and of the lease.
    pub view: Arc<Mutex<LeaseView>>,
    /// The clock by which leases are measured.
    pub lease_clock: LeaseClock,
}

impl Agreed {
    /// Returns the current view.
    pub(super) fn view(&self) -> LeaseView {
        self.view.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Time from the check of the rules to the start of an attempt beyond which an event is logged, microseconds.
const LATE_START: Micros = 100_000;

/// Returns the name of a lease level in events.
fn lease_level_name(level: LeaseLevel) -> &'static str {
    match level {
        LeaseLevel::NoLease => "bottom",
        LeaseLevel::LongLease => "loose",
        LeaseLevel::FullLease => "held",
    }
}

impl Core {
    /// Reads the agreed documents and the lease. Returns the events for the policy that result from a change;
    /// the policy gets them before any other event.
    pub(super) fn apply_agreement(&mut self) -> Vec<Event> {
        let Some(agreed) = &mut self.agreed else { return Vec::new() };
        let view = agreed.view();
        let Some(change) = agreed.rules.refresh(agreed.lease_clock.now(), &view) else { return Vec::new() };
        let RulesChange { level, was, revised } = change;
        let state = agreed.rules.state();
        let (read, prepared, active) = (state.applied(), state.prepared(), state.active());
        let ignored = agreed.rules.ignored().join(" ");
        let (level, was, revised) =
            (lease_level_name(level), lease_level_name(was), if revised { "yes" } else { "no" });
        event!(READING, level, was, revised, read, prepared, active, ignored);
        if !change.affects_policy() {
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

    /// Reads the agreed documents and passes changes to the policy at once.
    pub(super) fn refresh_agreement(&mut self) {
        for event in self.apply_agreement() {
            let nodes = matches!(event, Event::Nodes { .. });
            self.dispatch(event);
            if nodes {
                self.drop_unsent_at_unready_nodes();
            }
        }
    }

    /// Checks the agreed rules right before an attempt starts. Returns the time of the check, or `None` if
    /// the attempt may not start now.
    pub(super) fn may_start(&self, open: &OpenRequest, attempt: u32, node: NodeId) -> Option<Micros> {
        let Some(agreed) = &self.agreed else { return Some(0) };
        let (now, node) = (agreed.lease_clock.now(), self.nodes.get(&node)?);
        let current = agreed.rules.is_current(now, &agreed.view());
        let rules = open
            .rules
            .unwrap_or(AdmittedRules { attempts: 0, repeats: crate::agree::document::Repeats::Never });
        (current && agreed.rules.allows(open.class, rules, attempt, open.ran, &node.id)).then_some(now)
    }

    /// Logs the start of an attempt under the agreed rules: a late start always, and at debug level the rules
    /// that allowed it, which rehearsals check.
    pub(super) fn record_start(
        &self,
        request: RequestId,
        class: usize,
        attempt: u32,
        node: NodeId,
        checked_at: Micros,
    ) {
        let Some(agreed) = &self.agreed else { return };
        let late_us = agreed.lease_clock.now().saturating_sub(checked_at);
        if late_us > LATE_START {
            event!(LATE_ACT, late_us, request);
        }
        if log::log_enabled!(log::Level::Debug) {
            let (state, level) = (agreed.rules.state(), lease_level_name(agreed.rules.level()));
            let (read, active, at_us) = (state.applied(), state.active(), self.clock.now());
            let node = self.nodes.get(&node).map_or("", |node| node.id.as_str());
            let (class, attempts) = (class as u64, agreed.rules.attempts(class));
            let limits: Vec<String> = self.settings.plans.iter().map(|plan| plan.limit.to_string()).collect();
            let limits = limits.join(" ");
            event!(ACT, at_us, late_us, request, class, attempt, attempts, node, level, read, active, limits);
        }
    }
}
