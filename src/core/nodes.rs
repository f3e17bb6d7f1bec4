//! Nodes as the list has them.

use super::{Core, DAY, TimerEvent};
use crate::config::{ListedNode, ListedState, fnv};
use crate::event;
use crate::interface::*;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

pub(super) struct Node {
    pub(super) id: String,
    pub(super) address: String,
    /// In service by the list; and not taken out by what the heads agree on.
    pub(super) listed: bool,
    pub(super) ready: bool,
    /// Off the list: released, with its number, once nothing is out there that could still name it.
    pub(super) removed: bool,
    pub(super) out: usize,
}

/// Node ids are texts in discovery and numbers in the module: the same number at every head for the same
/// text.
#[derive(Debug, Default)]
pub(super) struct NodeIds {
    pub(super) texts: BTreeMap<NodeId, String>,
}

impl NodeIds {
    /// Two texts of one hash: the later one takes the next free number.
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
    pub(super) fn on_nodes(&mut self, news: ListUpdate, listed: Vec<ListedNode>) {
        self.refresh_agreement();
        if matches!(
            news,
            ListUpdate::Subscribed | ListUpdate::Heartbeat | ListUpdate::TimedOut | ListUpdate::Moved
        ) {
            if news == ListUpdate::TimedOut {
                self.figures.silence();
            }
            self.tell(Event::Nodes { update: news, nodes: Vec::new() });
            return self.watch_list();
        }
        let mut entries = Vec::with_capacity(listed.len());
        for node in &listed {
            let id = self.ids.of(&node.id);
            let zone = self.zones.iter().position(|zone| *zone == node.zone).unwrap_or_else(|| {
                self.zones.push(node.zone.clone());
                self.zones.len() - 1
            });
            let state = match node.state {
                ListedState::InService if self.takes(&node.id) => NodeState::Ready,
                ListedState::InService => NodeState::Draining,
                ListedState::Terminating => NodeState::Draining,
                ListedState::Terminated => NodeState::Gone,
            };
            let started = node.started_ms.saturating_mul(1000);
            entries.push(NodeEntry { node: id, zone: zone as u16, shard: node.cell, state, started });
        }
        if matches!(news, ListUpdate::Full | ListUpdate::Cached) {
            let off = |node: &mut Node| (node.listed, node.ready, node.removed) = (false, false, true);
            self.nodes.values_mut().for_each(off);
            self.known.clear();
        }
        for (entry, node) in entries.iter().zip(&listed) {
            let (ready, removed) = (entry.state == NodeState::Ready, entry.state == NodeState::Gone);
            event!(NODE, node = node.id, address = node.addr, number = entry.node, shard = entry.shard, state:? = entry.state);
            let out = self.nodes.get(&entry.node).map_or(0, |known| known.out);
            let (id, address) = (node.id.clone(), node.addr.clone());
            let listed = node.state == ListedState::InService;
            self.nodes.insert(entry.node, Node { id, address, listed, ready, removed, out });
            self.known.retain(|known| known.node != entry.node);
            if !removed {
                self.known.push(*entry);
            }
        }
        self.tell(Event::Nodes { update: news, nodes: entries });
        self.metrics_copied_at = self.metrics_copied_at.map(|_| 0);
        self.drop_where_left();
        self.release_nodes();
        self.watch_list();
    }

    /// Sees to it that nothing begins any more once the list may be rested on no longer.
    pub(super) fn watch_list(&mut self) {
        let until = self.policy.list_good_until();
        if let Some(key) = self.list_timer.take() {
            self.timers.remove(key);
        }
        let (now, good) = (self.clock.now(), self.clock.now() < until);
        if good && until < now + DAY {
            self.list_timer = Some(self.timers.insert(until, TimerEvent::Overdue));
        }
        let since = self.overdue_since;
        match (good, since) {
            (true, Some(since)) => {
                let overdue_ms = (now - since) / 1000;
                event!(LIST_RENEWED, overdue_ms);
                self.figures.list(Some(overdue_ms));
                self.overdue_since = None;
            }
            (false, None) => {
                event!(LIST_OVERDUE, open = self.requests.len());
                self.figures.list(None);
                self.overdue_since = Some(now);
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                open.into_iter().for_each(|id| self.drop_unsent(id, |_| true));
            }
            _ => {}
        }
    }

    /// Nothing that was not begun begins at a node that takes none any more.
    pub(super) fn drop_where_left(&mut self) {
        let unready: BTreeSet<NodeId> =
            self.nodes.iter().filter(|(_, n)| !n.ready).map(|(id, _)| *id).collect();
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open {
            self.drop_unsent(id, |out| unready.contains(&out.node));
        }
    }

    pub(super) fn takes(&self, node: &str) -> bool {
        self.agreed.as_ref().is_none_or(|agreed| agreed.rules.accepts_requests(node))
    }

    pub(super) fn release_nodes(&mut self) {
        let ids = &mut self.ids;
        self.nodes.retain(|number, node| {
            let stays = !node.removed || node.out > 0;
            if !stays {
                debug!(node = node.id, number; "node released");
                ids.texts.remove(number);
            }
            stays
        });
    }
}
