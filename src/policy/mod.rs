//! The scheduling policy of a storage proxy: MQFQ-Sticky over one flow per volume, and the conditions for
//! sending.
//!
//! Events go in through [`Policy::handle`], actions come out; there is no I/O, clock or randomness. The types
//! of both are in [`crate::interface`], the state's types in `state`.

mod dispatch;
mod flows;
mod guards;
mod nodes;
mod requests;

use crate::interface::*;
use crate::staleness::{CALL_DURATION, Staleness};
use crate::state::*;
use guards::{SLOW_START_MULTIPLE, slow_start_capacity};
use nodes::MIN_DEPTH;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// This host itself was stalled if a recheck is this many intervals late.
const STALLED_RECHECKS: u64 = 5;
/// How often the policy reconsiders requests that wait for a token bucket, a blocked key or slow start,
/// microseconds.
const RECHECK_INTERVAL: Micros = 10_000;
/// How often idle state is removed, microseconds.
const CLEANUP_INTERVAL: Micros = 1_000_000;
/// A shard without a request for this long is forgotten, microseconds. A volume must also meet the other
/// conditions of `Policy::remove_idle_state`.
const IDLE_RETENTION: Micros = 30_000_000;
/// The timer tokens of the policy itself; other tokens are request ids.
const RECHECK_TOKEN: u64 = u64::MAX;
const SUBSCRIBE_TOKEN: u64 = u64::MAX - 1;

/// Backoff after a failed call to the node list, microseconds; doubled with each failure. At most four
/// times this or, with many hosts, `LIST_CALL_SPACING` per host if that is more.
const RESUBSCRIBE_BACKOFF: Micros = 500_000;
/// With many hosts, calls to the node list are spread over this many microseconds per host, 10 s in total at
/// most, or over the length of the backoff if that is longer.
const LIST_CALL_SPACING: Micros = 35_000;
/// Calls to the node list are spread over at most this fraction of the time for which the list is still
/// valid, or over `CALL_DURATION` per host if that is longer. A longer backoff overrides both.
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
    /// The flows' queues, one for each flow and destination, oldest request first.
    queues: Queues,
    flows: Vec<Flow>,
    /// Unused indexes of `flows`.
    free_flows: Vec<FlowIndex>,
    flow_of: BTreeMap<VolumeId, FlowIndex>,
    global_virtual_time: f64,
    nodes: BTreeMap<NodeId, Node>,
    keys: BTreeMap<u64, KeyQueue>,
    /// Times of accepted requests and of retries within the budget's window.
    accepted_at: VecDeque<Micros>,
    retried_at: VecDeque<Micros>,
    /// When the next recheck is due, if one is scheduled.
    recheck_at: Option<Micros>,
    /// When this host last resumed after a stall.
    resumed: Micros,
    /// From when the rate limits of volumes not seen here yet fill from empty: the first event, or a change
    /// of the share that did not lower it or came before any volume. Rates of demand count from then, too.
    started: Micros,
    /// When idle state was last removed.
    cleaned_up_at: Micros,
    list_failures: u32,
    /// Until when the list may be used; after that no node gets new work.
    list: Staleness,
    /// The units per second that this host's clients request of each shard, without clients' retries.
    demand: BTreeMap<u16, Rate>,
    /// Moving mean of the latency over all nodes, microseconds.
    mean_latency: f64,
    /// Moving mean over all nodes of the latency per queued request, microseconds; a node is taken to serve
    /// two at a time.
    mean_latency_per_queued: f64,
}

impl Policy {
    /// Creates a policy without nodes or requests. `seed` is any number that differs between hosts.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Policy { settings, seed, share: 1.0, ..Policy::default() }
    }

    /// Returns the number of listed nodes, and how many of them are ejected, unresponsive or not ready.
    pub fn node_counts(&self, now: Micros) -> (usize, usize) {
        let listed = self.nodes.values().filter(|n| !n.removed);
        (listed.clone().count(), listed.filter(|n| n.avoided(now)).count())
    }

    /// Until when the node list may be used; no attempt starts later.
    pub fn list_good_until(&self) -> Micros {
        self.list.good_until(&self.settings)
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.recheck_at.is_some_and(|due| now > due + STALLED_RECHECKS * RECHECK_INTERVAL) {
            self.resumed = now;
        }
        self.started = if self.started == 0 { now } else { self.started };
        match event {
            Event::Nodes { update, nodes } => self.on_nodes(now, update, nodes, actions),
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
        self.remove_idle_state(now);
        self.dispatch(now, actions);
    }

    /// Removes idle state: nodes that are gone, unused keys, shards without requests, and flows that a new
    /// flow would equal: long silent, with nothing queued or in flight, not ahead of the global virtual time,
    /// and with a rate-limit bucket that holds the whole burst of this host.
    fn remove_idle_state(&mut self, now: Micros) {
        if now < self.cleaned_up_at + CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_up_at = now;
        self.forget_nodes();
        self.keys.retain(|_, key| !key.queue.is_empty() || key.blocked_until > now);
        self.demand.retain(|_, rate| now < rate.at + IDLE_RETENTION);
        let (flows, free, global_virtual_time, share) =
            (&mut self.flows, &mut self.free_flows, self.global_virtual_time, self.share);
        self.flow_of.retain(|_, flow_index| {
            let flow = &mut flows[*flow_index];
            let fair = &flow.fair;
            let idle = fair.queued == 0 && fair.in_flight == 0;
            let silent = idle && now > fair.last_arrival().unwrap_or(0) + IDLE_RETENTION;
            let retain = !silent
                || fair.virtual_time > global_virtual_time
                || flow.limit_available(now, share) < flow.plan.limit_burst / flow.hosts;
            if !retain {
                *flow = Flow::default();
                free.push(*flow_index);
            }
            retain
        });
    }

    /// Handles an update of the node list: schedules the next call to it, and adds, updates and removes
    /// nodes.
    fn on_nodes(
        &mut self,
        now: Micros,
        update: ListUpdate,
        entries: Vec<NodeEntry>,
        actions: &mut Vec<Action>,
    ) {
        self.list.note(now, update, &self.settings);
        self.list_failures = if update == ListUpdate::Failed { (self.list_failures + 1).min(8) } else { 0 };
        let needs_call = matches!(
            update,
            ListUpdate::Cached | ListUpdate::Failed | ListUpdate::TimedOut | ListUpdate::Moved
        );
        if self.settings.must_subscribe && needs_call {
            // Few hosts call without delay, other than the backoff after a failed call, to which a random
            // delay of up to its own length is added. Simultaneous calls of many hosts would time out again
            // and again in the queue of the list's only server, so they are spread over the time that is
            // left.
            let hosts = if self.many_hosts() { u64::from(self.settings.hosts) } else { 0 };
            let left = (LIST_CALL_WINDOW * self.list_good_until().saturating_sub(now) as f64) as Micros;
            let spread = (LIST_CALL_SPACING * hosts)
                .min(20 * RESUBSCRIBE_BACKOFF)
                .min(left.max(CALL_DURATION * hosts));
            let max_backoff = (LIST_CALL_SPACING * hosts).max(4 * RESUBSCRIBE_BACKOFF);
            let failed = (RESUBSCRIBE_BACKOFF * ((1 << self.list_failures) / 2)).min(max_backoff);
            let after = failed + (hash_fraction(self.seed, now) * spread.max(failed) as f64) as Micros;
            self.list.call(now + after);
            let later = Action::Timer { after, token: SUBSCRIBE_TOKEN };
            actions.push(if after > 0 { later } else { Action::Subscribe });
        }
        if update == ListUpdate::Full {
            let listed: BTreeSet<NodeId> = entries.iter().map(|e| e.node).collect();
            let missing = self.nodes.iter_mut().filter(|(id, _)| !listed.contains(id));
            missing.for_each(|(_, n)| (n.ready, n.removed) = (false, true));
        }
        // A node id may be reused for another node.
        self.forget_nodes();
        let (max_depth, many_hosts) = (self.max_depth(), self.many_hosts());
        for entry in entries {
            let is_new = !self.nodes.contains_key(&entry.node);
            let depth = (max_depth / 2.0).max(MIN_DEPTH);
            let node = self.nodes.entry(entry.node).or_insert_with(|| Node::new(&entry, now, depth));
            (node.zone, node.shard) = (entry.zone, entry.shard);
            (node.ready, node.removed) = (entry.state == NodeState::Ready, entry.state == NodeState::Gone);
            if (is_new || entry.started != node.started) && entry.started > 0 {
                node.slow_start_since = Some(entry.started.min(now));
                node.unresponsive_since = None;
                // The initial credit is random, or all hosts would send at the same moment. Of the hosts
                // that know the demand, as many start with credit for one request of mean size as the node
                // can serve at once; the levels of the others are spread evenly below that.
                let s = &self.settings;
                let known =
                    self.demand.get(&node.shard).is_some_and(|r| r.before_latest(now, self.started) > 0.0);
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

    /// Drops removed nodes that have nothing in flight.
    fn forget_nodes(&mut self) {
        self.nodes.retain(|_, node| !node.removed || !node.in_flight.is_empty());
    }
}
