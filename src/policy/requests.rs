//! The life cycle of a request: arrival, outcomes of its attempts, deadline and final answer.

use super::*;

/// A request that has nothing in flight and that no node may have run is refused after this fraction of its
/// client's time: it is past its target then.
const GIVE_UP_FRACTION: f64 = 0.15;

impl Policy {
    /// Queues a new request, starts its timers, and refuses it at once if its volume's rate limit can't admit
    /// it in time.
    pub(super) fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class) else {
            return actions.push(Action::Fail { request: request.id });
        };
        let target_at = now + class.target.min(request.time_left);
        let in_order = class.in_order && request.key != 0;
        let units = if request.units.is_finite() { request.units.max(0.0) } else { self.settings.max_units };
        let (margin, flow_index) = (2 * self.settings.tick, self.flow(now, &request));
        let (max_units, flow) = (self.settings.max_units, &mut self.flows[flow_index]);
        let rate = flow.reserve_rate();
        let reserved = flow.reserve.fill(now, rate, rate + max_units) >= units && rate > 0.0;
        flow.reserve.level -= if reserved { units } else { 0.0 };
        if let Some(shard) = request.shard.filter(|_| !request.repeat) {
            self.demand.entry(shard).or_default().add(now, units);
        }
        self.serial += 1;
        let pending = PendingRequest {
            flow: flow_index,
            destination: request.shard,
            class: request.class,
            key: if in_order { request.key } else { 0 },
            units,
            serial: self.serial,
            target_at,
            answer_by: now + request.time_left.saturating_sub(margin),
            give_up_at: now + (GIVE_UP_FRACTION * request.time_left as f64) as Micros,
            reserved,
            limit_charged: false,
            streaming: false,
            max_attempts: self.settings.max_attempts,
            over: false,
            attempts: Vec::new(),
        };
        if in_order {
            self.keys.entry(request.key).or_default().queue.push_back(request.id);
        }
        if let Some(budget) = self.settings.budget {
            self.accepted_at.push_back(now);
            drop_expired(&mut self.accepted_at, now, budget.window);
        }
        actions.push(Action::Timer { after: request.time_left.saturating_sub(margin), token: request.id });
        actions.push(Action::Timer { after: pending.give_up_at - now, token: request.id });
        if !reserved || request.shard.is_none() {
            self.probe_queue(now, request.shard, actions);
        }
        self.requests.insert(request.id, pending);
        self.enqueue(request.id);
        // A request that the rate limit can't admit in time is refused at once: waiting would only delay its
        // client.
        if self.over_limit(now, request.id) {
            self.finish(now, request.id, actions);
        }
    }

    /// Whether the waiting requests of the request's flow need more units than its rate limit admits until
    /// the request is given up.
    fn over_limit(&mut self, now: Micros, id: RequestId) -> bool {
        let (flow_index, time) =
            (self.requests[&id].flow, (self.requests[&id].give_up_at - now) as f64 / SECOND);
        let (flow, share) = (&mut self.flows[flow_index], self.share);
        let available = flow.limit_available(now, share) + share * flow.plan.limit / flow.hosts * time;
        let waiting =
            self.queues.of(flow_index).map(|id| &self.requests[id]).filter(|pending| !pending.limit_charged);
        flow.plan.limit > 0.0 && waiting.map(|pending| pending.units).sum::<f64>() > available
    }

    /// Handles the end of an attempt: updates the flow, key and node, then ends, refuses or requeues the
    /// request.
    pub(super) fn on_outcome(&mut self, now: Micros, outcome: Outcome, actions: &mut Vec<Action>) {
        let id = outcome.request;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(outcome.attempt as usize) else { return };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        let did_not_run = matches!(
            outcome.result,
            AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        attempt.state = if did_not_run { AttemptState::NotRun } else { AttemptState::MayHaveRun };
        let (sent, node, units, key) = (attempt.sent, attempt.node, pending.units, pending.key);
        // A request that was not written is charged again when it is sent again. The units of this attempt
        // stay spent: if they were given back, they would be sent on top of what has filled up since (see
        // the test `a_rate_limit_holds_while_connections_fail`).
        pending.limit_charged &=
            !matches!(outcome.result, AttemptResult::ConnectFailed | AttemptResult::NotSent);
        let flow = &mut self.flows[pending.flow];
        flow.fair.completed();
        if outcome.result == AttemptResult::Served {
            flow.observe_use(now, units, outcome.used, self.settings.use_period as f64);
        }
        if let Some(key) = self.keys.get_mut(&key)
            && matches!(
                outcome.result,
                AttemptResult::TimedOut | AttemptResult::Reset | AttemptResult::Cancelled
            )
        {
            key.blocked_until = now + self.settings.key_hold;
        }
        actions.extend(self.observe_outcome(now, (node, sent), units, &outcome).map(Action::Log));
        self.share_queue_report(now, node, &outcome, actions);
        let pending = &self.requests[&id];
        if outcome.over || pending.over {
            self.end(now, id);
        } else if !pending.has_attempt_in_flight() {
            if now >= pending.answer_by || !self.may_retry(now, pending) {
                self.finish(now, id, actions);
            } else {
                self.enqueue(id);
            }
        }
    }

    /// Handles the start of an attempt's answer, or its binding to a body that is too long to keep: the
    /// request gets no other attempt, and this attempt's silence no longer counts against its node.
    pub(super) fn on_began(&mut self, id: RequestId, attempt: usize) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.streaming = true;
        let Some(Attempt { node, sent, .. }) = pending.attempts.get(attempt) else { return };
        let mark = self.nodes.get_mut(node).and_then(|node| node.in_flight.get_mut(&(*sent, id)));
        mark.into_iter().for_each(|mark| mark.streaming = true);
    }

    /// Handles a request's timers. A request that no node may have run by `give_up_at` is refused: a late
    /// answer would earn little. At `answer_by` a request with nothing in flight gets its final answer;
    /// attempts in flight continue until the core's deadline.
    pub(super) fn on_deadline(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) =
            self.requests.get(&id).filter(|pending| !pending.over && !pending.has_attempt_in_flight())
        else {
            return;
        };
        let never_ran = pending.attempts.iter().all(|a| a.state == AttemptState::NotRun);
        if now >= pending.answer_by || never_ran && now >= pending.give_up_at {
            self.finish(now, id, actions);
        }
    }

    /// Ends the request: refuses it if the client may safely retry it, otherwise fails it.
    fn finish(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[pending.class];
        let retry_is_safe = pending.first_that_may_have_run().is_none()
            || class.repeats == Repeats::Safe
            || class.repeats == Repeats::Keyed && class.scope == Scope::All;
        actions.push(if retry_is_safe {
            // `max_retry_after` is the longest delay that clients honour. The request found no free token
            // for many times the latency, its rate limit can't admit it in time, or it may have no further
            // attempt. Without the setting, the delay is 0.
            Action::Refuse { request: id, retry_in: self.settings.max_retry_after.unwrap_or(0) }
        } else {
            Action::Fail { request: id }
        });
        self.end(now, id);
    }

    /// Ends the request. It is removed once none of its attempts is in flight.
    pub(super) fn end(&mut self, now: Micros, id: RequestId) {
        self.dequeue(now, id);
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.over = true;
        if pending.has_attempt_in_flight() {
            return;
        }
        if let Some(key) = self.keys.get_mut(&pending.key) {
            key.queue.retain(|other| *other != id);
            if key.queue.is_empty() && key.blocked_until <= now {
                self.keys.remove(&pending.key);
            }
        }
        self.requests.remove(&id);
    }

    /// Adds the request to its flow's queue.
    fn enqueue(&mut self, id: RequestId) {
        let pending = &self.requests[&id];
        self.queues.insert(pending.destination, pending.flow, (pending.serial, id));
        self.flows[pending.flow].fair.enqueued();
    }

    /// Removes the request from its flow's queue, if it is queued.
    pub(super) fn dequeue(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        if self.queues.remove(pending.destination, pending.flow, (pending.serial, id)) {
            self.flows[pending.flow].fair.dequeued(now);
        }
    }
}
