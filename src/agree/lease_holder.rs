//! The side of a process that acts: the entries it has applied, its leases, and what it may act on at a given moment
//! (leases: Raft thesis, section 6.4.1; here a majority of voters grants them, not the leader alone).

use super::document::{LeaseLevel, Repeats, Value};
use super::document_state::DocumentState;
use super::voter::Voters;
use super::{Entry, HolderId, Index, Message, Micros, Timings, VoterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a process knows, and since when it holds its leases: asked at each act, not by a timer.
#[derive(Clone, Debug)]
pub struct LeaseView {
    state: Arc<DocumentState>,
    times: Timings,
    /// Since when it holds its leases: the newest time at which a majority's granted requests had been sent.
    held_since: Option<Micros>,
}

/// The state of the process that asks for leases.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    id: HolderId,
    /// By the configuration, while the log says nothing of them.
    initial_voters: Voters,
    view: LeaseView,
    /// When the last request was sent that each voter granted, by this process's clock.
    granted_at: BTreeMap<VoterId, Micros>,
}

impl LeaseHolder {
    /// Knows nothing yet and holds no lease; `voters` are those of the configuration.
    pub fn new(id: HolderId, voters: &Voters, times: Timings) -> LeaseHolder {
        let view = LeaseView { state: Arc::default(), times, held_since: None };
        LeaseHolder { id, initial_voters: voters.clone(), view, granted_at: BTreeMap::new() }
    }

    /// The process.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// What the process may act on, for those that act.
    pub fn view(&self) -> &LeaseView {
        &self.view
    }

    /// All committed entries that it has applied.
    pub fn state(&self) -> &DocumentState {
        &self.view.state
    }

    /// The voters whose grants count.
    pub fn voters(&self) -> &Voters {
        self.view.state.latest_voters().unwrap_or(&self.initial_voters)
    }

    /// For every voter, several times in each lease. Whoever acts by this holder's view has to see it as it
    /// is now before this leaves: what it says it is prepared for it keeps to.
    pub fn renew(&self, now: Micros) -> Message {
        Message::LeaseRequest { holder: self.id.clone(), requested_at: now, prepared: self.state().applied() }
    }

    /// Takes a voter's reply: applies its entries and counts its grant.
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

    /// Committed entries never change: what is known already is passed over, what would leave a gap is left.
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
    /// All committed entries that the process has applied.
    pub fn state(&self) -> &DocumentState {
        &self.state
    }

    /// Asked at each act, never by a timer: whoever stood still finds on waking that its leases are over.
    pub fn level(&self, now: Micros) -> LeaseLevel {
        let Some(since) = self.held_since else { return LeaseLevel::NoLease };
        match now.saturating_sub(since) {
            age if age < self.times.lease => LeaseLevel::FullLease,
            age if age < self.times.long_lease => LeaseLevel::LongLease,
            _ => LeaseLevel::NoLease,
        }
    }

    /// What it may act on now. `None`: no such rule; with no lease at all, nobody can know that.
    pub fn value(&self, now: Micros, document: &str, field: &str) -> Option<Value> {
        self.state.effective_value(document, field).map(|value| value.at_level(self.level(now)))
    }

    /// Units a second that all processes together may spend.
    pub fn limit(&self, now: Micros, document: &str, field: &str) -> Option<f64> {
        match self.value(now, document, field) {
            Some(Value::Limit { rate, .. }) => Some(rate),
            _ => (self.level(now) == LeaseLevel::NoLease).then_some(0.0),
        }
    }

    /// Attempts at one request. `None`: no such rule.
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

    /// Whether a node may be sent to: one that nobody took out may, unless it cannot be known that nobody
    /// did.
    pub fn accepts_requests(&self, now: Micros, document: &str, node: &str) -> bool {
        match self.value(now, document, node) {
            Some(Value::Node(takes)) => takes,
            _ => self.level(now) != LeaseLevel::NoLease,
        }
    }
}

#[cfg(test)]
mod tests;
