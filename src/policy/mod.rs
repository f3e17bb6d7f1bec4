//! The scheduling policy of a storage proxy: MQFQ-Sticky over one flow per volume, and the guards that the rules need.
//!
//! Events go in through [`Policy::handle`], actions come out; there is no I/O, clock or randomness. The types of both are in
//! [`crate::interface`], the state's types in `state`.

mod dispatch;
mod flows;
mod guards;
mod nodes;
mod requests;

use crate::interface::*;
use crate::staleness::{CALL_TAKES, Staleness};
use crate::state::*;
use guards::{SLOW_START_MULTIPLE, slow_start_capacity};
use nodes::MIN_DEPTH;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// This host itself was stalled if its recheck came this many intervals late.
const STALLED_RECHECKS: u64 = 5;
/// How often requests are reconsidered that wait for time to pass (a token bucket, a blocked key, slow start).
const RECHECK_INTERVAL: Micros = 10_000;
/// How often idle state is removed.
const TIDY_INTERVAL: Micros = 1_000_000;
/// A volume or shard without a request for this long is forgotten.
const IDLE_RETENTION: Micros = 30_000_000;
const RECHECK_TOKEN: u64 = u64::MAX;
const SUBSCRIBE_TOKEN: u64 = u64::MAX - 1;

/// Backoff before the next call to the node list after a failed one, doubled each time up to four times this.
const RESUBSCRIBE_BACKOFF: Micros = 500_000;
/// With many hosts the calls to the node list are spread over this much for each host, 10 s in all at most.
const LIST_CALL_SPACING: Micros = 35_000;
/// The calls are spread over at most this fraction of the time for which the list is still valid.
const LIST_CALL_WINDOW: f64 = 0.9;

/// The scheduling policy of one host.
#[derive(Debug, Default)]
pub struct Policy {
    settings: Settings,
    seed: u64,
    serial: u64,
    /// The fraction of this host's capacity that this process may use.
    share: f64,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The flows' queues, one for each place, oldest request first.
    queues: Queues,
    flows: Vec<Flow>,
    /// Places in `flows` that no volume has any more.
    free_flows: Vec<FlowIndex>,
    flow_of: BTreeMap<VolumeId, FlowIndex>,
    global_virtual_time: f64,
    nodes: BTreeMap<NodeId, Node>,
    keys: BTreeMap<u64, KeyQueue>,
    /// Times of requests taken and of further attempts, within the budget's window.
    taken: VecDeque<Micros>,
    retries: VecDeque<Micros>,
    /// When the next recheck is due, if one is, and when this host last came back from standing still.
    recheck_at: Option<Micros>,
    resumed: Micros,
    started: Micros,
    /// When what is of no use any more was last looked for.
    tidied_at: Micros,
    list_failures: u32,
    /// Until when the list may be rested on: beyond that no node gets new work.
    list: Staleness,
    /// Units a second that this host's clients ask of each shard at first.
    asked: BTreeMap<u16, Rate>,
    /// Running mean of an answer's time over all nodes.
    mean_latency: f64,
    /// Running mean over all nodes of the time that each request in a queue takes, two at a time.
    mean_latency_per_queued: f64,
}

impl Policy {
    /// A policy without nodes or requests. `seed`: any number, another one at each host.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Policy { settings, seed, share: 1.0, ..Policy::default() }
    }

    /// The number of nodes on the list, and of those among them that are ejected or not ready.
    pub fn node_counts(&self, now: Micros) -> (usize, usize) {
        let listed = self.nodes.values().filter(|n| !n.removed);
        (listed.clone().count(), listed.filter(|n| n.avoided(now)).count())
    }

    /// Until when the node list may be used; no attempt starts later.
    pub fn list_good_until(&self) -> Micros {
        self.list.good_until(&self.settings)
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.recheck_at.is_some_and(|due| now > due + STALLED_RECHECKS * RECHECK_INTERVAL) {
            self.resumed = now;
        }
        self.started = if self.started == 0 { now } else { self.started };
        match event {
            Event::Nodes { update: news, nodes } => self.on_nodes(now, news, nodes, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AnswerBegan { request, attempt } => self.on_began(request, attempt as usize),
            Event::Outcome(outcome) => self.on_outcome(now, outcome, actions),
            Event::ClientLeft { request } => self.end(now, request),
            Event::Timer { token: RECHECK_TOKEN } => self.recheck_at = None,
            Event::Timer { token: SUBSCRIBE_TOKEN } => actions.push(Action::Subscribe),
            Event::Timer { token } => self.on_deadline(now, token, actions),
            Event::Settings(settings) => {
                self.settings = *settings;
                self.rescale(now, self.share);
            }
            Event::CapacityShare { share } => self.on_capacity_share(now, share),
            Event::Probed { node, latency, load, .. } => self.on_probed(now, node, latency, load),
            // Pending requests are reconsidered at the next recheck.
            Event::Peer { from, bytes } => return self.on_peer(now, from, &bytes),
        }
        self.tidy(now);
        self.dispatch(now, actions);
    }

    /// Forgets nodes that are gone, keys at rest, shards not asked for, and volumes of which a new flow would
    /// know as much: long silent, with nothing out, not ahead of the others, and with a full limit.
    fn tidy(&mut self, now: Micros) {
        if now < self.tidied_at + TIDY_INTERVAL {
            return;
        }
        self.tidied_at = now;
        self.forget_nodes();
        self.keys.retain(|_, key| !key.queue.is_empty() || key.blocked_until > now);
        self.asked.retain(|_, rate| now < rate.at + IDLE_RETENTION);
        let (flows, free, global_virtual_time, share) =
            (&mut self.flows, &mut self.free_flows, self.global_virtual_time, self.share);
        self.flow_of.retain(|_, ix| {
            let flow = &mut flows[*ix];
            let fair = &flow.fair;
            let idle = fair.queued == 0 && fair.in_flight == 0;
            let silent = idle && now > fair.last_arrival().unwrap_or(0) + IDLE_RETENTION;
            let stays = !silent
                || fair.virtual_time > global_virtual_time
                || flow.limit_available(now, share) < flow.plan.limit_burst / flow.hosts;
            if !stays {
                *flow = Flow::default();
                free.push(*ix);
            }
            stays
        });
    }

    fn on_nodes(
        &mut self,
        now: Micros,
        news: ListUpdate,
        entries: Vec<NodeEntry>,
        actions: &mut Vec<Action>,
    ) {
        self.list.note(now, news, &self.settings);
        self.list_failures = if news == ListUpdate::Failed { (self.list_failures + 1).min(8) } else { 0 };
        let asks = matches!(
            news,
            ListUpdate::Cached | ListUpdate::Failed | ListUpdate::TimedOut | ListUpdate::Moved
        );
        if self.settings.must_subscribe && asks {
            // Few hosts call at once. Calls of many hosts at one moment would time out in the queue of the list's one
            // server, again and again: they are spread over the time that is left.
            let hosts = if self.many_hosts() { u64::from(self.settings.hosts) } else { 0 };
            let left = (LIST_CALL_WINDOW * self.list_good_until().saturating_sub(now) as f64) as Micros;
            let apart =
                (LIST_CALL_SPACING * hosts).min(20 * RESUBSCRIBE_BACKOFF).min(left.max(CALL_TAKES * hosts));
            let most = (LIST_CALL_SPACING * hosts).max(4 * RESUBSCRIBE_BACKOFF);
            let failed = (RESUBSCRIBE_BACKOFF * ((1 << self.list_failures) / 2)).min(most);
            let after = failed + (hash_fraction(self.seed, now) * apart.max(failed) as f64) as Micros;
            self.list.call(now + after);
            let later = Action::Timer { after, token: SUBSCRIBE_TOKEN };
            actions.push(if after > 0 { later } else { Action::Subscribe });
        }
        if news == ListUpdate::Full {
            let listed: BTreeSet<NodeId> = entries.iter().map(|e| e.node).collect();
            let missing = self.nodes.iter_mut().filter(|(id, _)| !listed.contains(id));
            missing.for_each(|(_, n)| (n.ready, n.removed) = (false, true));
        }
        // A number may come again for another node.
        self.forget_nodes();
        let (max_depth, many_hosts) = (self.max_depth(), self.many_hosts());
        for entry in entries {
            let fresh = !self.nodes.contains_key(&entry.node);
            let depth = (max_depth / 2.0).max(MIN_DEPTH);
            let node = self.nodes.entry(entry.node).or_insert_with(|| Node::new(&entry, now, depth));
            (node.zone, node.shard) = (entry.zone, entry.shard);
            (node.ready, node.removed) = (entry.state == NodeState::Ready, entry.state == NodeState::Gone);
            if (fresh || entry.started != node.started) && entry.started > 0 {
                node.slow_start_since = Some(entry.started.min(now));
                node.unresponsive_since = None;
                // Hosts draw their first turns, or all would come at the same moment: the part of those that
                // know what is asked that the node bears at once, the others spread evenly.
                let s = &self.settings;
                let known = self.asked.get(&node.shard).is_some_and(|r| r.before(now, self.started) > 0.0);
                let at_once = if known {
                    SLOW_START_MULTIPLE * s.fall_multiple * slow_start_capacity(s, now, node)
                } else {
                    0.0
                };
                let draw = hash_fraction(self.seed ^ entry.started, entry.node.into());
                let level = if draw < at_once { 1.0 } else { (draw - at_once) / (1.0 - at_once) };
                node.slow_start_credit = TokenBucket { level: level * s.mean_units, at: now };
                node.depth = if many_hosts { MIN_DEPTH } else { node.depth };
            }
            node.started = entry.started;
        }
    }

    fn forget_nodes(&mut self) {
        self.nodes.retain(|_, node| !node.removed || !node.in_flight.is_empty());
    }
}
