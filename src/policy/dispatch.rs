//! The ordinary path of dispatch: each free token of a node takes a request, of the longest eligible queue first. Under
//! pressure only the requests of highest value are eligible.

use super::flows::MAX_VIRTUAL_LEAD_REQUESTS;
use super::nodes::{ADMIT_SLOT, DELAY_RATIO, MAX_QUEUE_FRACTION, QUEUE_VIEW_AGE};
use super::*;
use fair_queue::{Candidate, FlowState};

/// With many hosts a new object goes to the best of this many nodes, sampled for it: if all hosts took the best of all
/// nodes, they would overload it.
const SAMPLED_NODES: f64 = 4.0;
const NOT_SAMPLED_PENALTY: f64 = 1e12;

/// A node's pending work is under pressure when it takes longer than this fraction of the shortest latency target.
const PRESSURE: f64 = 0.15;

impl Policy {
    /// Hands out free tokens, at the node with most of them first, so that new objects go there; ties to the
    /// node that answers soonest.
    pub(super) fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.queues.is_empty() {
            return;
        }
        self.detect_unresponsive(now, actions);
        self.fill_slow_start_credit(now);
        let waits = |destination| self.queues.at(destination).next().is_some();
        let (new_objects, least) = (waits(None), self.min_silence_timeout());
        let good = now < self.list_good_until();
        let open = self.nodes.iter().filter(|_| good).filter(|(_, n)| {
            n.ready
                && n.ejected_until <= now
                && (new_objects || waits(Some(n.shard)))
                && n.free(now, least) > 0
        });
        let mut order: Vec<_> = open
            .map(|(id, n)| (std::cmp::Reverse(n.free(now, least)), self.rank(now, *id, n), *id))
            .collect();
        order.sort_unstable();
        let mut global_virtual_time = self.global_virtual_time(now);
        for (_, _, node) in order {
            while self.nodes[&node].free(now, least) > 0 {
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

    /// Nodes with equally many free tokens: the one that answers soonest first. In a crowd, where that is
    /// seldom known, the one of a few drawn that should answer soonest by the word there is of its queue.
    fn rank(&self, now: Micros, id: NodeId, node: &Node) -> Micros {
        let target = self.shortest_target();
        if !self.many_hosts() {
            return node.latency as Micros;
        }
        // One answer tells little of a node, none nothing: it is taken to be as the usual one.
        let usual = self.mean_latency + node.queue_wait(now);
        let known = if node.latency > 0.0 { node.latency.max(node.queue_wait(now)) } else { usual };
        let fresh =
            node.queue_wait_at > 0 && ((now - node.queue_wait_at) as f64) < 2.0 * QUEUE_VIEW_AGE * target;
        let expected =
            if fresh { node.queue_wait(now) + node.best * node.units } else { (known + usual) / 2.0 };
        let draw = self.nodes.len() as f64 * hash_fraction(self.seed ^ self.serial, id.into());
        // Ties, as of nodes that nothing is known of, go by the draw too.
        (if draw <= SAMPLED_NODES { expected } else { NOT_SAMPLED_PENALTY } + draw * 1e3) as Micros
    }

    /// The longest eligible queue at the node, ties to fewest in flight, its oldest request; with only
    /// throttled work there, the flow of lowest virtual time.
    fn choose(&mut self, now: Micros, node: NodeId, global_virtual_time: f64) -> Option<RequestId> {
        let throttle = global_virtual_time + MAX_VIRTUAL_LEAD_REQUESTS * self.settings.most_units.max(1.0);
        let shard = self.nodes[&node].shard;
        let mut waiting: Vec<(f64, FlowIndex, RequestId)> = Vec::new();
        // New objects stay away from an unresponsive node while any other takes work.
        let closed = self.nodes[&node].unresponsive_since.is_some()
            && self.nodes.values().any(|n| n.ready && n.unresponsive_since.is_none());
        let (slot, target) =
            (hash_fraction(self.seed ^ (now / ADMIT_SLOT), node.into()), self.shortest_target());
        let unheard = !self.settings.peers && self.nodes[&node].queue_wait(now) > MAX_QUEUE_FRACTION * target;
        let deep = self.many_hosts() && (unheard || slot > self.nodes[&node].admitted_fraction(now));
        // New objects wait for word of any node, so that they go where the queue is short.
        let unsure = self.nodes[&node].asked.is_some_and(|asked| now < asked + self.settings.fall);
        let places: &[Destination] = if closed { &[Some(shard)] } else { &[None, Some(shard)] };
        for (flow_index, queue) in places.iter().flat_map(|p| self.queues.at(*p)) {
            let flow = &mut self.flows[flow_index];
            let available =
                if flow.plan.limit > 0.0 { flow.limit_available(now, self.share) } else { f64::INFINITY };
            let flow = &self.flows[flow_index];
            for (_, id) in queue {
                let pending = &self.requests[id];
                let calm = pending.reserved && pending.destination.is_some() || !deep && !unsure;
                if calm
                    && (pending.drawn || pending.units <= available)
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

    fn send(&mut self, now: Micros, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        self.dequeue(now, id);
        let found = (self.requests.get_mut(&id), self.nodes.get_mut(&node_id));
        let (Some(pending), Some(node)) = found else { return };
        let flow = &mut self.flows[pending.flow];
        flow.fair.dispatched(pending.units / if flow.plan.weight > 0.0 { flow.plan.weight } else { 1.0 });
        if !pending.drawn && flow.plan.limit > 0.0 {
            flow.limit.level -= pending.units;
        }
        pending.drawn = true;
        if let (Some(budget), false) = (self.settings.budget, pending.attempts.is_empty()) {
            self.retries.push_back(now);
            forget(&mut self.retries, now, budget.window);
        }
        let (zone, shard, class) = (node.zone, node.shard, &self.settings.classes[pending.class]);
        // A repeat whose connection comes up late would reach its node when that no longer drops it.
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

    /// What a unit of the request earns: in full inside the reserve, `share_value` inside the volume's share
    /// (the throttle tells), `spare_value` beyond; `late_value` of it past the target; nothing when hopeless.
    fn value(&self, now: Micros, pending: &PendingRequest, node: NodeId, throttled: bool) -> f64 {
        let (class, plan) = (&self.settings.classes[pending.class], &self.flows[pending.flow].plan);
        let grade = match (pending.reserved, throttled) {
            (reserved, _) if reserved || self.settings.plans.is_empty() => 1.0,
            (_, false) => self.settings.share_value,
            (_, true) => self.settings.spare_value,
        };
        let node = &self.nodes[&node];
        let queue_wait = if self.many_hosts() { node.queue_wait(now) } else { 0.0 };
        let expected =
            now + (queue_wait + if node.units > 0.0 { node.best * pending.units } else { 0.0 }) as Micros;
        let time = match expected {
            t if t <= pending.target_at => 1.0,
            // A late answer takes the worst that is still due.
            t if t <= pending.answer_by => class.late_value * self.settings.spare_value / grade,
            _ => 0.0,
        };
        class.value * plan.price * grade * time
    }

    /// Exception under pressure: when a node's waiting work takes over `PRESSURE` of the shortest target,
    /// only the worthiest that fits that time is eligible; the rest waits on.
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

    /// Exception while this host has work out at the node, or the node has a queue of its own or by its word
    /// of late is slower than at its best: what earns less than spare work, as late answers, takes no token.
    fn spare_threshold(&self, now: Micros, node: NodeId) -> f64 {
        let (node, target) = (&self.nodes[&node], self.shortest_target());
        let queued = self.many_hosts() && (node.admitted_fraction(now) < 1.0 || node.queue_wait(now) > 0.0);
        let slow = node.latency > DELAY_RATIO * node.best * node.units
            && ((now - node.last_answer_at) as f64) < target;
        if !queued && node.in_flight.is_empty() && !slow {
            return 0.0;
        }
        let (classes, plans) = (&self.settings.classes, &self.settings.plans);
        let value = classes.iter().map(|c| c.value).fold(f64::INFINITY, f64::min);
        let price = plans.iter().map(|p| p.price).fold(1.0, f64::min);
        value * price * self.settings.spare_value
    }

    pub(super) fn shortest_target(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.target).min().unwrap_or(0) as f64
    }
}
