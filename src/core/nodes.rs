//! The nodes of the node list, and whether the list is recent enough to start attempts.

use super::{Core, ONE_DAY, TimerEvent};
use crate::config::{ListedNode, ListedState, fnv};
use crate::event;
use crate::interface::*;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

/// A storage node.
pub(super) struct Node {
    /// Its id in discovery.
    pub(super) id: String,
    /// `host:port`.
    pub(super) address: String,
    /// The list has it in service.
    pub(super) listed: bool,
    /// The list has it in service, and the agreed documents let it accept requests.
    pub(super) ready: bool,
    /// The list no longer has it. It is released, with its number, once it has no attempt in flight.
    pub(super) removed: bool,
    /// Attempts in flight.
    pub(super) in_flight: usize,
}

/// Maps node ids of discovery, which are texts, to the policy's numbers. All hosts give the same text the
/// same number, unless the hashes of two texts collide.
#[derive(Debug, Default)]
pub(super) struct NodeIds {
    pub(super) texts: BTreeMap<NodeId, String>,
}

impl NodeIds {
    /// Returns the number of a node id. If its hash is taken by another text, it gets the next free number.
    pub(super) fn of(&mut self, text: &str) -> NodeId {
        let mut id = fnv(text.as_bytes()) as NodeId;
        loop {
            match self.texts.get(&id) {
                None => break,
                Some(known) if known == text => return id,
                Some(_) => id = id.wrapping_add(1),
            }
        }
        self.texts.insert(id, text.to_string());
        id
    }
}

impl Core {
    /// Applies an update of the node list.
    pub(super) fn on_nodes(&mut self, update: ListUpdate, listed: Vec<ListedNode>) {
        self.refresh_agreement();
        if matches!(
            update,
            ListUpdate::Subscribed | ListUpdate::Heartbeat | ListUpdate::TimedOut | ListUpdate::Moved
        ) {
            if update == ListUpdate::TimedOut {
                self.metrics.count_silence();
            }
            self.dispatch(Event::Nodes { update, nodes: Vec::new() });
            return self.update_list_timer();
        }
        let mut entries = Vec::with_capacity(listed.len());
        for node in &listed {
            let id = self.ids.of(&node.id);
            let zone = self.zones.iter().position(|zone| *zone == node.zone).unwrap_or_else(|| {
                self.zones.push(node.zone.clone());
                self.zones.len() - 1
            });
            let state = match node.state {
                ListedState::InService if self.accepts_requests(&node.id) => NodeState::Ready,
                ListedState::InService => NodeState::Draining,
                ListedState::Terminating => NodeState::Draining,
                ListedState::Terminated => NodeState::Gone,
            };
            let started = node.started_ms.saturating_mul(1000);
            entries.push(NodeEntry { node: id, zone: zone as u16, shard: node.cell, state, started });
        }
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            let remove = |node: &mut Node| (node.listed, node.ready, node.removed) = (false, false, true);
            self.nodes.values_mut().for_each(remove);
            self.known.clear();
        }
        for (entry, node) in entries.iter().zip(&listed) {
            let (ready, removed) = (entry.state == NodeState::Ready, entry.state == NodeState::Gone);
            event!(NODE, node = node.id, address = node.addr, number = entry.node, shard = entry.shard, state:? = entry.state);
            let in_flight = self.nodes.get(&entry.node).map_or(0, |known| known.in_flight);
            let (id, address) = (node.id.clone(), node.addr.clone());
            let listed = node.state == ListedState::InService;
            self.nodes.insert(entry.node, Node { id, address, listed, ready, removed, in_flight });
            self.known.retain(|known| known.node != entry.node);
            if !removed {
                self.known.push(*entry);
            }
        }
        self.dispatch(Event::Nodes { update, nodes: entries });
        self.metrics_copied_at = self.metrics_copied_at.map(|_| 0);
        self.drop_unsent_at_unready_nodes();
        self.release_nodes();
        self.update_list_timer();
    }

    /// Sets the timer for the time at which the node list becomes overdue. When it is overdue, gives up the
    /// attempts of which nothing has been written.
    pub(super) fn update_list_timer(&mut self) {
        let until = self.policy.list_good_until();
        if let Some(key) = self.list_timer.take() {
            self.timers.remove(key);
        }
        let (now, usable) = (self.clock.now(), self.clock.now() < until);
        if usable && until < now + ONE_DAY {
            self.list_timer = Some(self.timers.insert(until, TimerEvent::Overdue));
        }
        let since = self.overdue_since;
        match (usable, since) {
            (true, Some(since)) => {
                let overdue_ms = (now - since) / 1000;
                event!(LIST_RENEWED, overdue_ms);
                self.metrics.set_list_state(Some(overdue_ms));
                self.overdue_since = None;
            }
            (false, None) => {
                event!(LIST_OVERDUE, open = self.requests.len());
                self.metrics.set_list_state(None);
                self.overdue_since = Some(now);
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                open.into_iter().for_each(|id| self.drop_unsent(id, |_| true));
            }
            _ => {}
        }
    }

    /// Gives up attempts of which nothing has been written at nodes that accept no more requests.
    pub(super) fn drop_unsent_at_unready_nodes(&mut self) {
        let unready: BTreeSet<NodeId> =
            self.nodes.iter().filter(|(_, n)| !n.ready).map(|(id, _)| *id).collect();
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open {
            self.drop_unsent(id, |attempt| unready.contains(&attempt.node));
        }
    }

    /// Whether the agreed documents let the node accept requests.
    pub(super) fn accepts_requests(&self, node: &str) -> bool {
        self.agreed.as_ref().is_none_or(|agreed| agreed.rules.accepts_requests(node))
    }

    /// Releases removed nodes that have no attempt in flight, with their numbers.
    pub(super) fn release_nodes(&mut self) {
        let ids = &mut self.ids;
        self.nodes.retain(|number, node| {
            let keep = !node.removed || node.in_flight > 0;
            if !keep {
                debug!(node = node.id, number; "node released");
                ids.texts.remove(number);
            }
            keep
        });
    }
}
