//! The lease holder: the entries that a process has applied, its leases, and the values on which it may act at a given
//! time. Leases follow section 6.4.1 of the Raft thesis, except that a majority of voters grants them, not the leader
//! alone.

use super::document::{LeaseLevel, Repeats, Value};
use super::document_state::DocumentState;
use super::voter::Voters;
use super::{Entry, HolderId, Index, Message, Micros, Timings, VoterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The state that a process knows, and the start of its leases. Callers query it at each action, not by a timer.
#[derive(Clone, Debug)]
pub struct LeaseView {
    state: Arc<DocumentState>,
    times: Timings,
    /// The start of the leases: the latest time such that a majority of voters granted requests sent then or later.
    held_since: Option<Micros>,
}

/// The process that requests leases.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    id: HolderId,
    /// The voters of the configuration, which count until the log sets a membership.
    initial_voters: Voters,
    view: LeaseView,
    /// When the last request that each voter granted was sent, by this process's clock. The voter granted it
    /// later, so a lease counted from the sending ends here no later than at the voter, apart from the drift
    /// of clocks, for which the voter waits longer.
    granted_at: BTreeMap<VoterId, Micros>,
}

impl LeaseHolder {
    /// Creates a lease holder with no entries and no lease. `voters` are the voters of the configuration.
    pub fn new(id: HolderId, voters: &Voters, times: Timings) -> LeaseHolder {
        let view = LeaseView { state: Arc::default(), times, held_since: None };
        LeaseHolder { id, initial_voters: voters.clone(), view, granted_at: BTreeMap::new() }
    }

    /// The process's identifier.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// The view on which the process's actions are decided.
    pub fn view(&self) -> &LeaseView {
        &self.view
    }

    /// The state after the entries that the process has applied.
    pub fn state(&self) -> &DocumentState {
        &self.view.state
    }

    /// The voters whose grants count.
    pub fn voters(&self) -> &Voters {
        self.view.state.latest_voters().unwrap_or(&self.initial_voters)
    }

    /// The request to send to every voter, several times in each lease. It promises that the process acts by all
    /// entries up to `prepared`, so every user of [`LeaseHolder::view`] must have the current view before the request
    /// is sent.
    pub fn renew(&self, now: Micros) -> Message {
        Message::LeaseRequest { holder: self.id.clone(), requested_at: now, prepared: self.state().applied() }
    }

    /// Handles a voter's reply: applies its entries and counts its grant.
    pub fn step(&mut self, from: VoterId, message: Message) {
        let Message::LeaseReply { start, requested_at, granted, after, snapshot, entries } = message else {
            return;
        };
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.applied() > self.state().applied()) {
            self.view.state = Arc::new(*snapshot);
        }
        self.apply_entries(after, &entries);
        if granted && start == self.id.start && self.voters().contains_key(&from) {
            let granted_at = self.granted_at.entry(from).or_insert(requested_at);
            *granted_at = requested_at.max(*granted_at);
        }
        self.view.held_since = self.majority_granted_since();
    }

    /// Applies the entries after the last applied one. Committed entries never change, so known ones are skipped;
    /// entries after a gap are ignored.
    fn apply_entries(&mut self, after: Index, entries: &[Entry]) {
        let known = self.state().applied();
        let mut new = entries.iter().zip(after + 1..).filter(|(_, index)| *index > known).peekable();
        if new.peek().is_some_and(|(_, index)| *index == known + 1) {
            let state = Arc::make_mut(&mut self.view.state);
            new.for_each(|(entry, _)| state.apply(entry));
        }
    }

    fn majority_granted_since(&self) -> Option<Micros> {
        let voters = self.voters();
        let granted = self.granted_at.iter().filter(|(id, _)| voters.contains_key(id));
        let mut all: Vec<Micros> = granted.map(|(_, requested_at)| *requested_at).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(voters.len() / 2).copied()
    }
}

impl LeaseView {
    /// The state after the entries that the process has applied.
    pub fn state(&self) -> &DocumentState {
        &self.state
    }

    /// The leases at `now`. Callers query it at each action, not by a timer, so that a process that was suspended finds
    /// on waking that its leases have expired.
    pub fn level(&self, now: Micros) -> LeaseLevel {
        let Some(since) = self.held_since else { return LeaseLevel::NoLease };
        match now.saturating_sub(since) {
            age if age < self.times.lease => LeaseLevel::FullLease,
            age if age < self.times.long_lease => LeaseLevel::LongLease,
            _ => LeaseLevel::NoLease,
        }
    }

    /// The value on which the process may act now. `None`: there is no such rule, as far as the process knows; without
    /// any lease it cannot be sure of that.
    pub fn value(&self, now: Micros, document: &str, field: &str) -> Option<Value> {
        self.state.effective_value(document, field).map(|value| value.at_level(self.level(now)))
    }

    /// Units per second that all processes together may spend. `None`: no such rule.
    pub fn limit(&self, now: Micros, document: &str, field: &str) -> Option<f64> {
        match self.value(now, document, field) {
            Some(Value::Limit { rate, .. }) => Some(rate),
            _ => (self.level(now) == LeaseLevel::NoLease).then_some(0.0),
        }
    }

    /// The limit on attempts at one request. `None`: no such rule.
    pub fn attempts(&self, now: Micros, document: &str, field: &str) -> Option<u32> {
        match self.value(now, document, field) {
            Some(Value::Attempts(most)) => Some(most),
            _ => (self.level(now) == LeaseLevel::NoLease).then_some(1),
        }
    }

    /// Which requests may be repeated. `None`: no such rule.
    pub fn repeats(&self, now: Micros, document: &str, field: &str) -> Option<Repeats> {
        match self.value(now, document, field) {
            Some(Value::Repeats(repeats)) => Some(repeats),
            _ => (self.level(now) == LeaseLevel::NoLease).then_some(Repeats::Never),
        }
    }

    /// Whether the process may send requests to a node: to any that was not taken out of rotation. Without any lease, a
    /// process cannot know of a removal and sends nothing.
    pub fn accepts_requests(&self, now: Micros, document: &str, node: &str) -> bool {
        match self.value(now, document, node) {
            Some(Value::Node(in_rotation)) => in_rotation,
            _ => self.level(now) != LeaseLevel::NoLease,
        }
    }
}

#[cfg(test)]
mod tests;
