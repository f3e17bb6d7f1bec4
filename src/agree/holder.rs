//! A head's side: what it was told, under which leases, and what it may act on at a given moment.

use super::document::{Level, Repeats, Value};
use super::ledger::Ledger;
use super::voter::Voters;
use super::{Entry, HolderId, Index, Message, Micros, Times, VoterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a head knows, and since when it may act by it: looked at with each act.
#[derive(Clone, Debug)]
pub struct View {
    ledger: Arc<Ledger>,
    times: Times,
    /// Since when a majority has granted it its leases.
    since: Option<Micros>,
}

#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    /// Those of the start, while the log says nothing of them.
    at_start: Voters,
    view: View,
    /// When the request was sent that each voter last granted, by this head's clock.
    granted: BTreeMap<VoterId, Micros>,
}

impl Holder {
    pub fn new(id: HolderId, voters: &Voters, times: Times) -> Holder {
        let view = View { ledger: Arc::default(), times, since: None };
        Holder { id, at_start: voters.clone(), view, granted: BTreeMap::new() }
    }

    pub fn id(&self) -> &HolderId {
        &self.id
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn ledger(&self) -> &Ledger {
        &self.view.ledger
    }

    /// Whom it asks.
    pub fn voters(&self) -> &Voters {
        self.view.ledger.latest_voters().unwrap_or(&self.at_start)
    }

    /// For every voter, several times in each lease. Whoever acts by this holder's view has to see it as it is now before
    /// this leaves: what it says it is prepared for it keeps to.
    pub fn renew(&self, now: Micros) -> Message {
        Message::Renew { holder: self.id.clone(), asked: now, prepared: self.ledger().read() }
    }

    pub fn hear(&mut self, from: VoterId, message: Message) {
        let Message::Granted { start, asked, yes, after, snapshot, entries } = message else { return };
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.read() > self.ledger().read()) {
            self.view.ledger = Arc::new(*snapshot);
        }
        self.learn(after, &entries);
        if yes && start == self.id.start && self.voters().contains_key(&from) {
            let granted = self.granted.entry(from).or_insert(asked);
            *granted = asked.max(*granted);
        }
        self.view.since = self.held_since();
    }

    /// Committed entries never change: what is known already is passed over, what would leave a gap is left.
    fn learn(&mut self, after: Index, entries: &[Entry]) {
        let known = self.ledger().read();
        let mut new = entries.iter().zip(after + 1..).filter(|(_, index)| *index > known).peekable();
        if new.peek().is_some_and(|(_, index)| *index == known + 1) {
            let ledger = Arc::make_mut(&mut self.view.ledger);
            new.for_each(|(entry, _)| ledger.apply(entry));
        }
    }

    fn held_since(&self) -> Option<Micros> {
        let voters = self.voters();
        let granted = self.granted.iter().filter(|(id, _)| voters.contains_key(id));
        let mut all: Vec<Micros> = granted.map(|(_, asked)| *asked).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(voters.len() / 2).copied()
    }
}

impl View {
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The same knowledge: neither entries nor grants have come since.
    pub fn same(&self, other: &View) -> bool {
        self.ledger.read() == other.ledger.read() && self.since == other.since
    }

    /// Asked at each act, never by a timer: whoever stood still finds on waking that its leases are over.
    pub fn level(&self, now: Micros) -> Level {
        let Some(since) = self.since else { return Level::Bottom };
        match now.saturating_sub(since) {
            age if age < self.times.lease => Level::Held,
            age if age < self.times.long_lease => Level::Loose,
            _ => Level::Bottom,
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

#[cfg(test)]
mod tests;
