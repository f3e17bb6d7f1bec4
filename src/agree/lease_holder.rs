//! A head's side: what it was told, under which leases, and what it may act on at a given moment.

use super::document::{LeaseLevel, Repeats, Value};
use super::document_state::DocumentState;
use super::voter::Voters;
use super::{Entry, HolderId, Index, Message, Micros, Timings, VoterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a head knows, and since when it may act by it: looked at with each act.
#[derive(Clone, Debug)]
pub struct LeaseView {
    state: Arc<DocumentState>,
    times: Timings,
    /// Since when a majority has granted it its leases.
    since: Option<Micros>,
}

#[derive(Clone, Debug)]
pub struct LeaseHolder {
    id: HolderId,
    /// Those of the start, while the log says nothing of them.
    initial_voters: Voters,
    view: LeaseView,
    /// When the request was sent that each voter last granted, by this head's clock.
    granted_at: BTreeMap<VoterId, Micros>,
}

impl LeaseHolder {
    pub fn new(id: HolderId, voters: &Voters, times: Timings) -> LeaseHolder {
        let view = LeaseView { state: Arc::default(), times, since: None };
        LeaseHolder { id, initial_voters: voters.clone(), view, granted_at: BTreeMap::new() }
    }

    pub fn id(&self) -> &HolderId {
        &self.id
    }

    pub fn view(&self) -> &LeaseView {
        &self.view
    }

    pub fn state(&self) -> &DocumentState {
        &self.view.state
    }

    /// Whom it asks.
    pub fn voters(&self) -> &Voters {
        self.view.state.latest_voters().unwrap_or(&self.initial_voters)
    }

    /// For every voter, several times in each lease. Whoever acts by this holder's view has to see it as it
    /// is now before this leaves: what it says it is prepared for it keeps to.
    pub fn renew(&self, now: Micros) -> Message {
        Message::LeaseRequest { holder: self.id.clone(), requested_at: now, prepared: self.state().applied() }
    }

    pub fn step(&mut self, from: VoterId, message: Message) {
        let Message::LeaseReply { start, requested_at, granted, after, snapshot, entries } = message else {
            return;
        };
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.applied() > self.state().applied()) {
            self.view.state = Arc::new(*snapshot);
        }
        self.learn(after, &entries);
        if granted && start == self.id.start && self.voters().contains_key(&from) {
            let granted_at = self.granted_at.entry(from).or_insert(requested_at);
            *granted_at = requested_at.max(*granted_at);
        }
        self.view.since = self.majority_granted_since();
    }

    /// Committed entries never change: what is known already is passed over, what would leave a gap is left.
    fn learn(&mut self, after: Index, entries: &[Entry]) {
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
    pub fn state(&self) -> &DocumentState {
        &self.state
    }

    /// The same knowledge: neither entries nor grants have come since.
    pub fn same(&self, other: &LeaseView) -> bool {
        self.state.applied() == other.state.applied() && self.since == other.since
    }

    /// Asked at each act, never by a timer: whoever stood still finds on waking that its leases are over.
    pub fn level(&self, now: Micros) -> LeaseLevel {
        let Some(since) = self.since else { return LeaseLevel::NoLease };
        match now.saturating_sub(since) {
            age if age < self.times.lease => LeaseLevel::FullLease,
            age if age < self.times.long_lease => LeaseLevel::LongLease,
            _ => LeaseLevel::NoLease,
        }
    }

    /// When the level goes down next, if nothing is heard until then.
    pub fn ends(&self, now: Micros) -> Option<Micros> {
        let since = self.since?;
        [self.times.lease, self.times.long_lease]
            .map(|lease| since + lease)
            .into_iter()
            .find(|end| *end > now)
    }

    /// What it may act on now. `None`: no such rule; with no lease at all, nobody can know that.
    pub fn value(&self, now: Micros, document: &str, field: &str) -> Option<Value> {
        self.state.effective_value(document, field).map(|value| value.at(self.level(now)))
    }

    /// Units a second that all heads together may spend.
    pub fn limit(&self, now: Micros, document: &str, field: &str) -> Option<f64> {
        match self.value(now, document, field) {
            Some(Value::Limit { rate, .. }) => Some(rate),
            _ => (self.level(now) == LeaseLevel::NoLease).then_some(0.0),
        }
    }

    pub fn attempts(&self, now: Micros, document: &str, field: &str) -> Option<u32> {
        match self.value(now, document, field) {
            Some(Value::Attempts(most)) => Some(most),
            _ => (self.level(now) == LeaseLevel::NoLease).then_some(1),
        }
    }

    pub fn repeats(&self, now: Micros, document: &str, field: &str) -> Option<Repeats> {
        match self.value(now, document, field) {
            Some(Value::Repeats(repeats)) => Some(repeats),
            _ => (self.level(now) == LeaseLevel::NoLease).then_some(Repeats::Never),
        }
    }

    /// Whether a node may be sent to: one that nobody took out may, unless it cannot be known that nobody
    /// did.
    pub fn takes(&self, now: Micros, document: &str, node: &str) -> bool {
        match self.value(now, document, node) {
            Some(Value::Node(takes)) => takes,
            _ => self.level(now) != LeaseLevel::NoLease,
        }
    }
}

#[cfg(test)]
mod tests;
