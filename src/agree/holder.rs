//! A head's side: what it was told, under which leases, and what it may act on at a given moment.

use super::document::{Level, Repeats, Value};
use super::ledger::Ledger;
use super::{Entry, HolderId, Index, Message, Micros, Times, VoterId};
use std::collections::BTreeMap;

#[derive(Debug)]
pub struct Holder {
    id: HolderId,
    voters: Vec<VoterId>,
    times: Times,
    ledger: Ledger,
    /// When the request was sent that each voter last granted, by this head's clock.
    granted: BTreeMap<VoterId, Micros>,
}

impl Holder {
    pub fn new(id: HolderId, voters: &[VoterId], times: Times) -> Holder {
        let (ledger, granted) = (Ledger::default(), BTreeMap::new());
        Holder { id, voters: voters.to_vec(), times, ledger, granted }
    }

    pub fn id(&self) -> &HolderId {
        &self.id
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// For every voter, several times in each lease.
    pub fn renew(&self, now: Micros) -> Message {
        Message::Renew { holder: self.id.clone(), asked: now, prepared: self.ledger.read() }
    }

    pub fn hear(&mut self, from: VoterId, message: Message) {
        let Message::Granted { start, asked, yes, after, entries } = message else { return };
        if !self.voters.contains(&from) {
            return;
        }
        self.learn(after, entries);
        if yes && start == self.id.start {
            let granted = self.granted.entry(from).or_insert(asked);
            *granted = asked.max(*granted);
        }
    }

    /// Committed entries never change: what is known already is passed over, what would leave a gap is left.
    fn learn(&mut self, after: Index, entries: Vec<Entry>) {
        for (entry, index) in entries.iter().zip(after + 1..) {
            if index == self.ledger.read() + 1 {
                self.ledger.apply(entry);
            }
        }
    }

    /// Since when a majority has granted it its leases.
    fn held_since(&self) -> Option<Micros> {
        let mut all: Vec<Micros> = self.granted.values().copied().collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.voters.len() / 2).copied()
    }

    /// Asked at each act, never by a timer: whoever stood still finds on waking that its leases are over.
    pub fn level(&self, now: Micros) -> Level {
        let Some(since) = self.held_since() else { return Level::Bottom };
        match now.saturating_sub(since) {
            age if age < self.times.lease => Level::Held,
            age if age < self.times.long_lease => Level::Loose,
            _ => Level::Bottom,
        }
    }

    /// What it may act on now. `None`: no such rule; with no lease at all, nobody can know that.
    pub fn value(&self, now: Micros, document: &str, field: &str) -> Option<Value> {
        self.ledger.acting(document, field).map(|value| value.at(self.level(now)))
    }

    /// Units a second that all heads together may spend.
    pub fn limit(&self, now: Micros, document: &str, field: &str) -> Option<f64> {
        match self.value(now, document, field) {
            Some(Value::Limit { rate, .. }) => Some(rate),
            _ => (self.level(now) == Level::Bottom).then_some(0.0),
        }
    }

    pub fn attempts(&self, now: Micros, document: &str, field: &str) -> Option<u32> {
        match self.value(now, document, field) {
            Some(Value::Attempts(most)) => Some(most),
            _ => (self.level(now) == Level::Bottom).then_some(1),
        }
    }

    pub fn repeats(&self, now: Micros, document: &str, field: &str) -> Option<Repeats> {
        match self.value(now, document, field) {
            Some(Value::Repeats(repeats)) => Some(repeats),
            _ => (self.level(now) == Level::Bottom).then_some(Repeats::Never),
        }
    }

    /// Whether a node may be sent to: one that nobody took out may, unless it cannot be known that nobody did.
    pub fn takes(&self, now: Micros, document: &str, node: &str) -> bool {
        match self.value(now, document, node) {
            Some(Value::Node(takes)) => takes,
            _ => self.level(now) != Level::Bottom,
        }
    }
}
