//! One flow per volume: virtual time, rate limit and reserve.

use super::nodes::MIN_DEPTH;
use super::*;
use fair_queue::{Anticipation, FlowState};

/// T: how far a flow's virtual time may run ahead of the global one, in largest requests at weight 1: room
/// for a batch, yet a surge is throttled within a few requests.
pub(super) const MAX_VIRTUAL_LEAD_REQUESTS: f64 = 2.0;
/// alpha: an emptied flow stays active for this many of its mean arrival gaps; before a second arrival has
/// told a gap for so many microseconds (the design's figure).
const ANTICIPATION: Anticipation = Anticipation { gaps: 1.0, first: 1_000_000 };

impl Policy {
    /// The flow of a request's volume, awake and its arrival noted.
    pub(super) fn flow(&mut self, now: Micros, request: &Request) -> FlowIndex {
        let next = self.free_flows.last().copied().unwrap_or(self.flows.len());
        let plan = self.settings.plan(request.plan);
        let ix = *self.flow_of.entry(request.volume).or_insert(next);
        if ix == next {
            // The limit's store is empty at this host's start: what it spent before that is not known.
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
        let flow = &mut self.flows[ix];
        // Under other figures of its plan it keeps what it has saved up, as far as they let it.
        flow.limit_available(now, self.share);
        (flow.plan, flow.plan_number) = (plan, request.plan);
        let all = f64::from(self.settings.hosts.max(1));
        let hosts = if (1.0..=all).contains(&request.volume_hosts) { request.volume_hosts } else { all };
        flow.hosts = flow.hosts.max(hosts);
        if ix != next {
            flow.fair.arrive(now, global_virtual_time, ANTICIPATION);
        }
        ix
    }

    /// The lowest virtual time among active flows. A flow whose queued work lies only at nodes that take none
    /// does not hold the others back.
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

    /// Another instance of this host comes or has gone. Stores fill as before until now, and are cut to what
    /// they may hold now. One for a volume not seen here yet begins empty: the other one may have spent it.
    pub(super) fn on_capacity_share(&mut self, now: Micros, share: f64) {
        self.rescale(now, share);
        self.started = if share >= self.share || self.flows.is_empty() { now } else { self.started };
        // What was learned of a node holds for the host: its tokens are shared out anew.
        let shared_out = share / std::mem::replace(&mut self.share, share);
        let most = self.max_depth();
        let depth = |node: &mut Node| node.depth = (node.depth * shared_out).clamp(MIN_DEPTH, most);
        self.nodes.values_mut().for_each(depth);
    }

    /// Other figures count at once, for what waits too: stores fill by the old ones up to now, and hold no
    /// more than the new ones let them.
    pub(super) fn rescale(&mut self, now: Micros, share: f64) {
        for flow in &mut self.flows {
            flow.limit_available(now, self.share);
            flow.plan = self.settings.plan(flow.plan_number);
            flow.limit_available(now, share);
        }
    }
}
