//! Dispatch: each free token of a node takes a request from the longest eligible queue. When a node is under
//! pressure, only the requests of highest value are eligible.

use super::flows::MAX_VIRTUAL_LEAD_REQUESTS;
use super::nodes::{ADMIT_SLOT, DELAY_RATIO, MAX_QUEUE_FRACTION, QUEUE_VIEW_AGE};
use super::*;
use fair_queue::{Candidate, FlowState};

/// With many hosts, a new object goes to the best of about this many randomly sampled nodes: if all hosts
/// chose the best of all nodes, they would overload it.
const SAMPLED_NODES: f64 = 4.0;
/// Added to the rank of a node outside the sample, microseconds.
const NOT_SAMPLED_PENALTY: f64 = 1e12;

/// A node is under pressure when its waiting work takes longer than this fraction of the shortest latency
/// target.
const PRESSURE: f64 = 0.15;

impl Policy {
    /// Assigns free tokens to waiting requests. The node with the most free tokens comes first, so that new
    /// objects go there; among equals, the node with the lowest `rank`.
    pub(super) fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.queues.is_empty() {
            return;
        }
        self.detect_unresponsive(now, actions);
        self.fill_slow_start_credit(now);
        let has_waiting = |destination| self.queues.at(destination).next().is_some();
        let (new_objects, min_silence) = (has_waiting(None), self.min_silence_timeout());
        let list_valid = now < self.list_good_until();
        let open = self.nodes.iter().filter(|_| list_valid).filter(|(_, n)| {
            n.ready
                && n.ejected_until <= now
                && (new_objects || has_waiting(Some(n.shard)))
                && n.free_tokens(now, min_silence) > 0
        });
        let mut order: Vec<_> = open
            .map(|(id, n)| (std::cmp::Reverse(n.free_tokens(now, min_silence)), self.rank(now, *id, n), *id))
            .collect();
        order.sort_unstable();
        let mut global_virtual_time = self.global_virtual_time(now);
        for (_, _, node) in order {
            while self.nodes[&node].free_tokens(now, min_silence) > 0 {
                let Some(id) = self.choose(now, node, global_virtual_time) else { break };
                self.send(now, id, node, actions);
                global_virtual_time = self.global_virtual_time(now);
            }
        }
        if !self.queues.is_empty() && self.recheck_at.is_none() {
            self.recheck_at = Some(now + RECHECK_INTERVAL);
            actions.push(Action::Timer { after: RECHECK_INTERVAL, token: RECHECK_TOKEN });
        }
    }

    /// Orders nodes with equally many free tokens, lowest first: by mean latency. With many hosts, where a
    /// host seldom knows a node's latency, a few nodes are sampled and ordered by the latency that the latest
    /// reports of their queues suggest.
    fn rank(&self, now: Micros, id: NodeId, node: &Node) -> Micros {
        let target = self.shortest_target();
        if !self.many_hosts() {
            return node.latency as Micros;
        }
        // With no recent report, the mean over all nodes counts for half: one answer says little about a
        // node. With no answer at all, it counts alone.
        let typical = self.mean_latency + node.queue_wait(now);
        let known = if node.latency > 0.0 { node.latency.max(node.queue_wait(now)) } else { typical };
        let recently_reported =
            node.queue_wait_at > 0 && ((now - node.queue_wait_at) as f64) < 2.0 * QUEUE_VIEW_AGE * target;
        let expected = if recently_reported {
            node.queue_wait(now) + node.best_latency_per_unit * node.units
        } else {
            (known + typical) / 2.0
        };
        let draw = self.nodes.len() as f64 * hash_fraction(self.seed ^ self.serial, id.into());
        // Within the sample, the random draw adds up to `SAMPLED_NODES` milliseconds. It breaks ties, such
        // as between nodes without any answer, and may reorder nodes whose latencies differ by less than
        // that.
        (if draw <= SAMPLED_NODES { expected } else { NOT_SAMPLED_PENALTY } + draw * 1e3) as Micros
    }

    /// Chooses the node's next request: the oldest one of the longest eligible queue; among equally long
    /// queues, of the flow with the fewest requests in flight. If all flows are throttled, the one with the
    /// lowest virtual time.
    fn choose(&mut self, now: Micros, node: NodeId, global_virtual_time: f64) -> Option<RequestId> {
        let throttle = global_virtual_time + MAX_VIRTUAL_LEAD_REQUESTS * self.settings.max_units.max(1.0);
        let shard = self.nodes[&node].shard;
        let mut waiting: Vec<(f64, FlowIndex, RequestId)> = Vec::new();
        // New objects avoid an unresponsive node while any other node takes work.
        let avoids_new_objects = self.nodes[&node].unresponsive_since.is_some()
            && self.nodes.values().any(|n| n.ready && n.unresponsive_since.is_none());
        let (slot, target) =
            (hash_fraction(self.seed ^ (now / ADMIT_SLOT), node.into()), self.shortest_target());
        let queue_too_long =
            !self.settings.peers && self.nodes[&node].queue_wait(now) > MAX_QUEUE_FRACTION * target;
        let admits_reserved_only =
            self.many_hosts() && (queue_too_long || slot > self.nodes[&node].admitted_fraction(now));
        // Requests outside the reserve, and new objects even within it, wait for the answer to a probe in
        // flight, for at most `fall`: they should go to a node with a short queue. `admits_reserved_only`
        // holds back the same requests.
        let awaits_probe =
            self.nodes[&node].probe_sent_at.is_some_and(|sent_at| now < sent_at + self.settings.fall);
        let destinations: &[Destination] =
            if avoids_new_objects { &[Some(shard)] } else { &[None, Some(shard)] };
        for (flow_index, queue) in destinations.iter().flat_map(|destination| self.queues.at(*destination)) {
            let flow = &mut self.flows[flow_index];
            let available =
                if flow.plan.limit > 0.0 { flow.limit_available(now, self.share) } else { f64::INFINITY };
            let flow = &self.flows[flow_index];
            for (_, id) in queue {
                let pending = &self.requests[id];
                let admitted = pending.reserved && pending.destination.is_some()
                    || !admits_reserved_only && !awaits_probe;
                if admitted
                    && (pending.limit_charged || pending.units <= available)
                    && self.may_send(now, *id, pending, node)
                {
                    waiting.push((
                        self.value(now, pending, node, flow.fair.virtual_time > throttle),
                        flow_index,
                        *id,
                    ));
                }
            }
        }
        let threshold = self.pressure_threshold(node, &mut waiting).max(self.spare_threshold(now, node));
        waiting.retain(|(value, ..)| *value >= threshold && *value > 0.0);
        let mut queues: BTreeMap<FlowIndex, (usize, u64, RequestId)> = BTreeMap::new();
        for (_, flow, id) in &waiting {
            let serial = self.requests[id].serial;
            let queue = queues.entry(*flow).or_insert((0, serial, *id));
            queue.0 += 1;
            (queue.1, queue.2) = (queue.1, queue.2).min((serial, *id));
        }
        let candidate = |(flow, (length, oldest, _)): (&FlowIndex, &(usize, u64, RequestId))| {
            let FlowState { virtual_time, in_flight, .. } = self.flows[*flow].fair;
            Candidate { flow: *flow, virtual_time, length: *length, in_flight, oldest: *oldest }
        };
        let candidates: Vec<Candidate<FlowIndex>> = queues.iter().map(candidate).collect();
        let flow = fair_queue::choose(&candidates, throttle)?;
        queues.get(&flow).map(|(_, _, id)| *id)
    }

    /// Starts an attempt of the request at the node, and charges its flow and the node's slow-start credit.
    fn send(&mut self, now: Micros, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        self.dequeue(now, id);
        let found = (self.requests.get_mut(&id), self.nodes.get_mut(&node_id));
        let (Some(pending), Some(node)) = found else { return };
        let flow = &mut self.flows[pending.flow];
        flow.fair.dispatched(pending.units / if flow.plan.weight > 0.0 { flow.plan.weight } else { 1.0 });
        if !pending.limit_charged && flow.plan.limit > 0.0 {
            flow.limit.level -= pending.units;
        }
        pending.limit_charged = true;
        if let (Some(budget), false) = (self.settings.budget, pending.attempts.is_empty()) {
            self.retried_at.push_back(now);
            drop_expired(&mut self.retried_at, now, budget.window);
        }
        let (zone, shard, class) = (node.zone, node.shard, &self.settings.classes[pending.class]);
        // If the connection of a repeat is established late, the repeat arrives when the node no longer drops
        // it.
        let first = pending.first_that_may_have_run().filter(|_| class.repeats == Repeats::Keyed);
        let write_by = first.map_or(Micros::MAX, |first| first.sent + class.window);
        pending.attempts.push(Attempt {
            node: node_id,
            zone,
            shard,
            sent: now,
            state: AttemptState::InFlight,
        });
        node.in_flight.insert((now, id), InFlightMark::default());
        if node.slow_start_since.is_some() {
            node.slow_start_sends.push_back((now, pending.units));
            node.slow_start_credit.level -= pending.units;
        }
        actions.push(Action::Send { request: id, node: node_id, time_out: 0, write_by });
    }

    /// The value of a unit of the request: the full value within the reserve, the fraction `share_value`
    /// within the volume's share (its flow isn't throttled), `spare_value` beyond it. An answer expected
    /// after the target is worth `late_value` times `spare_value`, whatever the request's share; one
    /// expected after the deadline nothing.
    fn value(&self, now: Micros, pending: &PendingRequest, node: NodeId, throttled: bool) -> f64 {
        let (class, plan) = (&self.settings.classes[pending.class], &self.flows[pending.flow].plan);
        let share_factor = match (pending.reserved, throttled) {
            (reserved, _) if reserved || self.settings.plans.is_empty() => 1.0,
            (_, false) => self.settings.share_value,
            (_, true) => self.settings.spare_value,
        };
        let node = &self.nodes[&node];
        let queue_wait = if self.many_hosts() { node.queue_wait(now) } else { 0.0 };
        let expected = now
            + (queue_wait + if node.units > 0.0 { node.best_latency_per_unit * pending.units } else { 0.0 })
                as Micros;
        let time = match expected {
            t if t <= pending.target_at => 1.0,
            // A late answer counts as spare work, whatever the request's share.
            t if t <= pending.answer_by => class.late_value * self.settings.spare_value / share_factor,
            _ => 0.0,
        };
        class.value * plan.price * share_factor * time
    }

    /// The lowest value that is eligible under pressure: when a node's waiting work takes longer than
    /// `PRESSURE` of the shortest target, only the requests of highest value that fit into that time are
    /// eligible.
    fn pressure_threshold(&self, node: NodeId, waiting: &mut [(f64, FlowIndex, RequestId)]) -> f64 {
        let node = &self.nodes[&node];
        if node.latency <= 0.0 {
            return 0.0;
        }
        let mut available = PRESSURE * self.shortest_target() * node.depth * node.units / node.latency;
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.2.cmp(&b.2)));
        let last = waiting.iter().find(|(.., id)| {
            available -= self.requests[id].units;
            available <= 0.0
        });
        last.map_or(0.0, |(value, ..)| *value)
    }

    /// The lowest value that is eligible while the node is busy: this host has requests in flight there, the
    /// node has a queue, or its recent answers were slower than its best. Work worth less than spare work,
    /// such as late answers, then takes no token.
    fn spare_threshold(&self, now: Micros, node: NodeId) -> f64 {
        let (node, target) = (&self.nodes[&node], self.shortest_target());
        let queued = self.many_hosts() && (node.admitted_fraction(now) < 1.0 || node.queue_wait(now) > 0.0);
        let slow = node.latency > DELAY_RATIO * node.best_latency_per_unit * node.units
            && ((now - node.last_answer_at) as f64) < target;
        if !queued && node.in_flight.is_empty() && !slow {
            return 0.0;
        }
        let (classes, plans) = (&self.settings.classes, &self.settings.plans);
        let value = classes.iter().map(|c| c.value).fold(f64::INFINITY, f64::min);
        let price = plans.iter().map(|p| p.price).fold(1.0, f64::min);
        value * price * self.settings.spare_value
    }

    /// The shortest latency target of all classes, microseconds.
    pub(super) fn shortest_target(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.target).min().unwrap_or(0) as f64
    }
}
