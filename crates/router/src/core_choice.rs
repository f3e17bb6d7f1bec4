//! To which core an edge is subscribed, which core leads, and when the edge has to fetch a configuration.
//!
//! Every core sends its status to every edge. The edge subscribes to the updates of one of them, in its own
//! zone where there is one. Its reports go to the leader.

use crate::Millis;
use crate::draw::unit_draw;
use pathbank_protocol::message::CoreStatus;
use std::collections::BTreeMap;

/// An announced configuration that does not arrive within this time is fetched. The first repetition follows
/// after the same time.
const FETCH_TIMEOUT_MS: Millis = 200;
/// For further repetitions the time-out doubles, at most this often.
const MAX_FETCH_BACKOFF_DOUBLINGS: u32 = 3;
/// The time-out while the subscribed core has the configuration: that core is about to send it.
const DELIVERY_TIMEOUT_MS: Millis = 1_500;
/// A subscribed core that has not been current for this long is replaced by one that has been.
const FAILOVER_TIMEOUT_MS: Millis = 300;
/// An edge that is connected to its first core waits this long for one in its own zone: connections to all
/// cores open within milliseconds.
const SELECTION_DELAY_MS: Millis = 50;

/// Names a core by its address.
pub type CoreAddress = std::net::SocketAddr;

/// A message that the edge has to send to a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreAction {
    /// Subscribe to its updates.
    Subscribe(CoreAddress),
    /// Unsubscribe.
    Unsubscribe(CoreAddress),
    /// Fetch the changes since the configuration in force here.
    Fetch(CoreAddress),
}

#[derive(Clone, Debug)]
struct Core {
    zone: String,
    current: bool,
    /// Since when `current` has its value.
    status_since: Millis,
    configuration_index: u64,
    leader: String,
    edges: u32,
    updated_at: Millis,
}

/// A configuration that was announced and has not arrived.
#[derive(Clone, Copy, Debug)]
struct MissingConfiguration {
    /// The index of the log entry of the configuration in force.
    known_index: u64,
    /// When it was announced, or fetched last.
    since: Millis,
    /// The number of fetches so far.
    fetches: u32,
}

/// The cores to which this edge is connected.
#[derive(Clone, Debug, Default)]
pub struct CoreChoice {
    zone: String,
    seed: u64,
    cores: BTreeMap<CoreAddress, Core>,
    /// When the first core connected; `None` once a core is chosen.
    selecting_since: Option<Millis>,
    subscribed: Option<CoreAddress>,
    missing: Option<MissingConfiguration>,
}

impl CoreChoice {
    /// An edge in `zone` without a connection. `seed`: any number that differs by edge.
    pub fn new(zone: String, seed: u64) -> CoreChoice {
        CoreChoice { zone, seed, ..CoreChoice::default() }
    }

    /// Takes a core's status.
    pub fn update_status(&mut self, now: Millis, address: CoreAddress, status: &CoreStatus) {
        if self.cores.is_empty() {
            self.selecting_since = Some(now);
        }
        let known = self.cores.get(&address).filter(|known| known.current == status.current);
        let status_since = known.map_or(now, |known| known.status_since);
        let core = Core {
            zone: status.zone.clone(),
            current: status.current,
            status_since,
            configuration_index: status.configuration_index,
            leader: status.leader.clone(),
            edges: status.edges,
            updated_at: now,
        };
        self.cores.insert(address, core);
    }

    /// Removes a core whose connection has ended.
    pub fn disconnected(&mut self, address: CoreAddress) {
        self.cores.remove(&address);
        if self.subscribed == Some(address) {
            self.subscribed = None;
        }
    }

    /// The core to which the edge is subscribed.
    pub fn subscribed(&self) -> Option<CoreAddress> {
        self.subscribed
    }

    /// The leader that the latest status of a current core names; `None`: the leader is not known, or the
    /// edge is not connected to it.
    pub fn leader(&self) -> Option<CoreAddress> {
        let current = self.cores.values().filter(|core| core.current && !core.leader.is_empty());
        let leader = current.max_by_key(|core| core.updated_at)?.leader.parse().ok()?;
        self.cores.contains_key(&leader).then_some(leader)
    }

    /// The number of edges in the system: the most that any core reports.
    pub fn edges(&self) -> u32 {
        self.cores.values().map(|core| core.edges).max().unwrap_or(0)
    }

    /// The messages that are due now. `known_index`: the index of the log entry of the configuration in force
    /// here; 0: none.
    pub fn actions(&mut self, now: Millis, known_index: u64) -> Vec<CoreAction> {
        let mut actions = Vec::new();
        self.choose(now, &mut actions);
        self.fetch(now, known_index, &mut actions);
        actions
    }

    fn choose(&mut self, now: Millis, actions: &mut Vec<CoreAction>) {
        if self.is_well_served(now) {
            return;
        }
        let Some(best) = self.best(now).filter(|best| self.subscribed != Some(*best)) else { return };
        actions.extend(self.subscribed.map(CoreAction::Unsubscribe));
        (self.subscribed, self.selecting_since) = (Some(best), None);
        actions.push(CoreAction::Subscribe(best));
    }

    /// Whether the edge should keep its subscription. After a restart, the cores become current one after the
    /// other; if edges did not wait, all of them would move to the first current core.
    fn is_well_served(&self, now: Millis) -> bool {
        let is_settled = |core: &Core| now >= core.status_since + FAILOVER_TIMEOUT_MS;
        let Some(core) = self.subscribed.and_then(|address| self.cores.get(&address)) else { return false };
        core.current || !is_settled(core) || !self.cores.values().any(|core| core.current && is_settled(core))
    }

    /// The core to subscribe to: a current one, in the own zone if possible. `None`: not decided yet.
    fn best(&self, now: Millis) -> Option<CoreAddress> {
        let rank = |core: &Core| (core.current, core.zone == self.zone);
        // Among equal cores, edges choose different ones.
        let draw = |address: &CoreAddress| unit_draw(self.seed, &address.to_string());
        let best = self.cores.iter().max_by(|(one, first), (other, second)| {
            rank(first).cmp(&rank(second)).then_with(|| draw(one).total_cmp(&draw(other)))
        });
        let (address, core) = best?;
        let is_selecting = self.selecting_since.is_some_and(|since| now < since + SELECTION_DELAY_MS);
        (core.zone == self.zone || !is_selecting).then_some(*address)
    }

    fn fetch(&mut self, now: Millis, known_index: u64, actions: &mut Vec<CoreAction>) {
        let is_newer = |core: &Core| core.configuration_index > known_index;
        if !self.cores.values().any(is_newer) {
            self.missing = None;
            return;
        }
        let fresh = MissingConfiguration { known_index, since: now, fetches: 0 };
        let missing = self.missing.filter(|missing| missing.known_index == known_index).unwrap_or(fresh);
        self.missing = Some(missing);
        if now < missing.since + self.fetch_wait(&missing) {
            return;
        }
        // The edges that lack the configuration spread their fetches over the cores.
        let draw = |address: &CoreAddress| {
            unit_draw(self.seed.wrapping_add(missing.fetches.into()), &address.to_string())
        };
        let newer = self.cores.iter().filter(|(_, core)| is_newer(core)).map(|(address, _)| *address);
        let chosen = newer.max_by(|one, other| draw(one).total_cmp(&draw(other)));
        actions.extend(chosen.map(CoreAction::Fetch));
        self.missing = Some(MissingConfiguration { since: now, fetches: missing.fetches + 1, ..missing });
    }

    fn fetch_wait(&self, missing: &MissingConfiguration) -> Millis {
        let subscribed = self.subscribed.and_then(|address| self.cores.get(&address));
        let is_delivery_expected =
            subscribed.is_some_and(|core| core.configuration_index > missing.known_index);
        let wait = FETCH_TIMEOUT_MS << missing.fetches.saturating_sub(1).min(MAX_FETCH_BACKOFF_DOUBLINGS);
        if is_delivery_expected { wait.max(DELIVERY_TIMEOUT_MS) } else { wait }
    }
}
