//! Which core an edge head listens to, which one leads, and when it has to ask for a configuration.
//!
//! Every core tells a little of itself to every edge. One of them, in the edge's own zone where there is one, is asked
//! for all news. Reports go to the leader.

use crate::Millis;
use pathbank_protocol::message::CoreStatus;
use std::collections::BTreeMap;

/// A configuration that was announced and has not come for so long is asked for, and again after each such time.
const FETCH_AFTER: Millis = 200;
/// A core that has not been current for so long is left for one that is.
const LEAVE_AFTER: Millis = 300;

/// Names a core by its address.
pub type CoreAddress = std::net::SocketAddr;

/// What is to be said to a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreAction {
    /// All news is wanted from it.
    Subscribe(CoreAddress),
    /// No longer.
    Unsubscribe(CoreAddress),
    /// Its configuration is wanted.
    Fetch(CoreAddress),
}

#[derive(Clone, Debug)]
struct Core {
    zone: String,
    current: bool,
    /// Since when it is not.
    behind_since: Millis,
    configuration_index: u64,
    leader: String,
    edges: u32,
    told: Millis,
}

/// The cores that this head reaches.
#[derive(Clone, Debug, Default)]
pub struct CoreChoice {
    zone: String,
    cores: BTreeMap<CoreAddress, Core>,
    subscribed: Option<CoreAddress>,
    announced_at: Option<Millis>,
}

impl CoreChoice {
    /// A head in `zone` that reaches no core yet.
    pub fn new(zone: String) -> CoreChoice {
        CoreChoice { zone, ..CoreChoice::default() }
    }

    /// A core told of itself.
    pub fn told(&mut self, now: Millis, address: CoreAddress, status: &CoreStatus) {
        let behind_since = match self.cores.get(&address) {
            Some(known) if !known.current && !status.current => known.behind_since,
            _ => now,
        };
        let core = Core {
            zone: status.zone.clone(),
            current: status.current,
            behind_since,
            configuration_index: status.configuration_index,
            leader: status.leader.clone(),
            edges: status.edges,
            told: now,
        };
        self.cores.insert(address, core);
    }

    /// The link to a core has ended.
    pub fn lost(&mut self, address: CoreAddress) {
        self.cores.remove(&address);
        if self.subscribed == Some(address) {
            self.subscribed = None;
        }
    }

    /// The core that is listened to.
    pub fn subscribed(&self) -> Option<CoreAddress> {
        self.subscribed
    }

    /// The leader, by the newest word of a core that is current, if this head reaches it.
    pub fn leader(&self) -> Option<CoreAddress> {
        let current = self.cores.values().filter(|core| core.current && !core.leader.is_empty());
        let leader = current.max_by_key(|core| core.told)?.leader.parse().ok()?;
        self.cores.contains_key(&leader).then_some(leader)
    }

    /// Edge heads that share the system: the most that any core sees.
    pub fn edges(&self) -> u32 {
        self.cores.values().map(|core| core.edges).max().unwrap_or(0)
    }

    /// What is to be said now; `known_index`: the entry of the configuration in force here, 0: none.
    pub fn actions(&mut self, now: Millis, known_index: u64) -> Vec<CoreAction> {
        let mut actions = Vec::new();
        self.choose(now, &mut actions);
        self.fetch(now, known_index, &mut actions);
        actions
    }

    fn choose(&mut self, now: Millis, actions: &mut Vec<CoreAction>) {
        let lags = |core: &Core| !core.current && now >= core.behind_since + LEAVE_AFTER;
        let keeps =
            self.subscribed.and_then(|address| self.cores.get(&address)).is_some_and(|core| !lags(core));
        if keeps {
            return;
        }
        let rank = |core: &Core| (core.current, core.zone == self.zone);
        // Of equals, heads in different zones take different ones.
        let spread = |address: &CoreAddress| mix(&self.zone, address);
        let best = self.cores.iter().max_by_key(|(address, core)| (rank(core), spread(address)));
        let Some(best) = best.map(|(address, _)| *address).filter(|best| self.subscribed != Some(*best))
        else {
            return;
        };
        let is_better = self.cores.get(&best).is_some_and(|core| core.current);
        if self.subscribed.is_some() && !is_better {
            return;
        }
        actions.extend(self.subscribed.map(CoreAction::Unsubscribe));
        self.subscribed = Some(best);
        actions.push(CoreAction::Subscribe(best));
    }

    fn fetch(&mut self, now: Millis, known_index: u64, actions: &mut Vec<CoreAction>) {
        let newest = self.cores.iter().max_by_key(|(_, core)| core.configuration_index);
        let Some((address, _)) = newest.filter(|(_, core)| core.configuration_index > known_index) else {
            self.announced_at = None;
            return;
        };
        let since = *self.announced_at.get_or_insert(now);
        if now >= since + FETCH_AFTER {
            self.announced_at = Some(now);
            actions.push(CoreAction::Fetch(*address));
        }
    }
}

fn mix(zone: &str, address: &CoreAddress) -> u64 {
    let text = format!("{zone} {address}");
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
