//! The life cycle of a request: arrival, outcomes of its attempts, deadline, final answer.

use super::*;

/// A request that was sent to no node is given up after this fraction of its client's time: it is past its target by then.
const GIVE_UP_FRACTION: f64 = 0.15;

impl Policy {
    pub(super) fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class) else {
            return actions.push(Action::Fail { request: request.id });
        };
        let target_at = now + class.target.min(request.time_left);
        let in_line = class.in_order && request.key != 0;
        let units = if request.units.is_finite() { request.units.max(0.0) } else { self.settings.most_units };
        let (margin, flow_index) = (2 * self.settings.tick, self.flow(now, &request));
        let (most, flow) = (self.settings.most_units, &mut self.flows[flow_index]);
        let rate = flow.reserve_rate();
        let reserved = flow.reserve.fill(now, rate, rate + most) >= units && rate > 0.0;
        flow.reserve.level -= if reserved { units } else { 0.0 };
        if let Some(shard) = request.shard.filter(|_| !request.repeat) {
            self.asked.entry(shard).or_default().add(now, units);
        }
        self.serial += 1;
        let pending = PendingRequest {
            flow: flow_index,
            destination: request.shard,
            class: request.class,
            key: if in_line { request.key } else { 0 },
            units,
            serial: self.serial,
            target_at,
            answer_by: now + request.time_left.saturating_sub(margin),
            give_up_at: now + (GIVE_UP_FRACTION * request.time_left as f64) as Micros,
            reserved,
            drawn: false,
            streaming: false,
            max_attempts: self.settings.max_attempts,
            over: false,
            attempts: Vec::new(),
        };
        if in_line {
            self.keys.entry(request.key).or_default().queue.push_back(request.id);
        }
        if let Some(budget) = self.settings.budget {
            self.taken.push_back(now);
            forget(&mut self.taken, now, budget.window);
        }
        actions.push(Action::Timer { after: request.time_left.saturating_sub(margin), token: request.id });
        actions.push(Action::Timer { after: pending.give_up_at - now, token: request.id });
        if !reserved || request.shard.is_none() {
            self.probe_queue(now, request.shard, actions);
        }
        self.requests.insert(request.id, pending);
        self.enqueue(request.id);
        // What a limit cannot let through in time is refused at once: to wait would only hold its client.
        if self.over_limit(now, request.id) {
            self.finish(now, request.id, actions);
        }
    }

    /// Whether what waits of the request's flow takes more than its limit gives before it is given up.
    fn over_limit(&mut self, now: Micros, id: RequestId) -> bool {
        let (ix, time) = (self.requests[&id].flow, (self.requests[&id].give_up_at - now) as f64 / SECOND);
        let (flow, share) = (&mut self.flows[ix], self.share);
        let available = flow.limit_available(now, share) + share * flow.plan.limit / flow.hosts * time;
        let waiting = self.queues.of(ix).map(|id| &self.requests[id]).filter(|pending| !pending.drawn);
        flow.plan.limit > 0.0 && waiting.map(|pending| pending.units).sum::<f64>() > available
    }

    pub(super) fn on_outcome(&mut self, now: Micros, outcome: Outcome, actions: &mut Vec<Action>) {
        let id = outcome.request;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(outcome.attempt as usize) else { return };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        let proves_idle = matches!(
            outcome.result,
            AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        attempt.state = if proves_idle { AttemptState::NotRun } else { AttemptState::MayHaveRun };
        let (sent, node, units, key) = (attempt.sent, attempt.node, pending.units, pending.key);
        // What was not written took nothing of its limit yet: sent later, it draws then.
        pending.drawn &= !matches!(outcome.result, AttemptResult::ConnectFailed | AttemptResult::NotSent);
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
            key.blocked_until = now + self.settings.order_settle;
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

    /// The request goes on at this attempt only, whose silence tells nothing of its node any more.
    pub(super) fn on_began(&mut self, id: RequestId, attempt: usize) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.streaming = true;
        let Some(Attempt { node, sent, .. }) = pending.attempts.get(attempt) else { return };
        let mark = self.nodes.get_mut(node).and_then(|node| node.in_flight.get_mut(&(*sent, id)));
        mark.into_iter().for_each(|mark| mark.streaming = true);
    }

    /// What never got a turn in the first part of its client's time is given up: late, it would earn little.
    /// When that time is all but up, what has nothing out gets its final answer, the rest its time-out.
    pub(super) fn on_deadline(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) =
            self.requests.get(&id).filter(|pending| !pending.over && !pending.has_attempt_in_flight())
        else {
            return;
        };
        let unsent = pending.attempts.iter().all(|a| a.state == AttemptState::NotRun);
        if now >= pending.answer_by || unsent && now >= pending.give_up_at {
            self.finish(now, id, actions);
        }
    }

    fn finish(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[pending.class];
        let harmless = pending.first_that_may_have_run().is_none()
            || class.repeats == Repeats::Safe
            || class.repeats == Repeats::Keyed && class.scope == Scope::All;
        actions.push(if harmless {
            // As late as clients honour: what was given up found no turn in many answer times.
            Action::Refuse { request: id, retry_in: self.settings.max_retry_after.unwrap_or(0) }
        } else {
            Action::Fail { request: id }
        });
        self.end(now, id);
    }

    /// The request is over; it is forgotten once nothing of it is out.
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

    fn enqueue(&mut self, id: RequestId) {
        let pending = &self.requests[&id];
        self.queues.insert(pending.destination, pending.flow, (pending.serial, id));
        self.flows[pending.flow].fair.enqueued();
    }

    pub(super) fn dequeue(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        if self.queues.remove(pending.destination, pending.flow, (pending.serial, id)) {
            self.flows[pending.flow].fair.dequeued(now);
        }
    }
}
