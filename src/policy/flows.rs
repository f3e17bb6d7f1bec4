//! One flow per volume: virtual time, rate limit and reserve.

use super::nodes::MIN_DEPTH;
use super::*;
use fair_queue::{Anticipation, FlowState};

/// T of MQFQ: how far a flow's virtual time may be ahead of the global one, in requests of the largest size
/// at weight 1. That admits a batch but throttles a surge within a few requests.
pub(super) const MAX_VIRTUAL_LEAD_REQUESTS: f64 = 2.0;
/// Alpha of MQFQ: an empty flow stays active for this many of its mean inter-arrival times, or, until its
/// second arrival, for `first` microseconds (the design's value).
const ANTICIPATION: Anticipation = Anticipation { gaps: 1.0, first: 1_000_000 };

impl Policy {
    /// Returns the flow of a request's volume, created if it is new, and records the arrival.
    pub(super) fn flow(&mut self, now: Micros, request: &Request) -> FlowIndex {
        let next = self.free_flows.last().copied().unwrap_or(self.flows.len());
        let plan = self.settings.plan(request.plan);
        let flow_index = *self.flow_of.entry(request.volume).or_insert(next);
        if flow_index == next {
            // The rate limit's bucket was empty when this host started: earlier use of the limit is unknown.
            let limit = TokenBucket { level: 0.0, at: self.started };
            let reserve = TokenBucket { level: plan.reserve, at: now };
            let fair = FlowState::first_arrival(now, self.global_virtual_time);
            let flow = Flow { fair, plan, hosts: 1.0, limit, reserve, own_use_at: now, ..Flow::default() };
            match self.free_flows.pop() {
                Some(free) => self.flows[free] = flow,
                None => self.flows.push(flow),
            }
        }
        let global_virtual_time = self.global_virtual_time(now);
        let flow = &mut self.flows[flow_index];
        // When the plan changes, the bucket keeps its level, up to the new cap.
        flow.limit_available(now, self.share);
        (flow.plan, flow.plan_number) = (plan, request.plan);
        let all = f64::from(self.settings.hosts.max(1));
        let hosts = if (1.0..=all).contains(&request.volume_hosts) { request.volume_hosts } else { all };
        flow.hosts = flow.hosts.max(hosts);
        if flow_index != next {
            flow.fair.arrive(now, global_virtual_time, ANTICIPATION);
        }
        flow_index
    }

    /// The lowest virtual time of all active flows. Flows whose queued requests are all for nodes that are
    /// unresponsive or not ready are left out, so that they don't hold the others back. Ejected nodes count
    /// as usable.
    pub(super) fn global_virtual_time(&mut self, now: Micros) -> f64 {
        let open = self.nodes.values().filter(|n| n.ready && n.unresponsive_since.is_none());
        let open: BTreeSet<u16> = open.map(|n| n.shard).collect();
        let waiting =
            self.queues.iter().filter(|(destination, ..)| destination.is_none_or(|s| open.contains(&s)));
        let waiting = waiting.map(|(_, flow, _)| self.flows[flow].fair.virtual_time);
        let expected = self.flows.iter().map(|flow| &flow.fair);
        let expected =
            expected.filter(|f| f.queued == 0 && f.is_active(now, ANTICIPATION)).map(|f| f.virtual_time);
        let lowest = waiting.chain(expected).fold(f64::INFINITY, f64::min);
        self.global_virtual_time = if lowest.is_finite() { lowest } else { self.global_virtual_time };
        self.global_virtual_time
    }

    /// Another process of this host has started or ended. Token buckets are filled at the old rate up to
    /// now and cut to the new cap. Unless the share falls while volumes are known here, the buckets of
    /// volumes not seen here yet fill from empty from now on: the other process may have spent them.
    pub(super) fn on_capacity_share(&mut self, now: Micros, share: f64) {
        self.rescale(now, share);
        self.started = if share >= self.share || self.flows.is_empty() { now } else { self.started };
        // A node's depth was learned for the whole host, so it is scaled to this process's new share.
        let ratio = share / std::mem::replace(&mut self.share, share);
        let most = self.max_depth();
        let depth = |node: &mut Node| node.depth = (node.depth * ratio).clamp(MIN_DEPTH, most);
        self.nodes.values_mut().for_each(depth);
    }

    /// Applies new plans and a new share at once, to waiting requests too: token buckets are filled at the
    /// old rate up to now and cut to the new cap.
    pub(super) fn rescale(&mut self, now: Micros, share: f64) {
        for flow in &mut self.flows {
            flow.limit_available(now, self.share);
            flow.plan = self.settings.plan(flow.plan_number);
            flow.limit_available(now, share);
        }
    }
}
