//! The life of a request from its arrival to its final answer.

use super::attempt::{AttemptSource, Report};
use super::handle::{Answer, Arrival};
use super::open::{AttemptInFlight, OpenRequest, RequestRecord, ResultCounts};
use super::{Core, ONE_DAY, SUMMARY_INTERVAL, TimerEvent};
use crate::attempt_end::AttemptEnd;
use crate::clock::micros;
use crate::event;
use crate::events::requests::{Finish, Tried, Volume, result_name};
use crate::interface::*;
use crate::metrics::Count;
use bytes::Bytes;
use log::debug;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl Core {
    /// Opens a request and passes it to the policy.
    pub(super) fn request(
        &mut self,
        id: RequestId,
        arrival: Arrival,
        work: Arc<dyn AttemptSource>,
        answer: oneshot::Sender<Answer>,
    ) {
        self.refresh_agreement();
        let now = self.clock.now();
        let rules = self.agreed.as_ref().map(|agreed| agreed.rules.admit(arrival.class));
        let agreed_plan = self.agreed.as_ref().and_then(|agreed| agreed.rules.plan(arrival.volume));
        let arrival = Arrival { plan: agreed_plan.unwrap_or(arrival.plan), ..arrival };
        let body_time = arrival.body_time.map(micros);
        let time_left = micros(arrival.answer_by.saturating_duration_since(Instant::now()));
        let (answer_by, deadline) = match body_time {
            // The front enforces its own time limit on the arrival of the body.
            Some(_) => (now + ONE_DAY, None),
            None => (now + time_left, Some(self.timers.insert(now + time_left, TimerEvent::Deadline(id)))),
        };
        let record = self.request_log.as_ref().map(|_| {
            let Arrival { volume, plan, class, units, .. } = arrival;
            Box::new(RequestRecord { volume, plan, class, units, arrived: now, attempts: Vec::new() })
        });
        let open = OpenRequest {
            work,
            answer: Some(answer),
            answer_by,
            attempts: Vec::new(),
            bound: None,
            record,
            deadline,
            body_time,
            arrived_early: body_time.is_some(),
            forwarding: false,
            class: arrival.class,
            max_attempts: self.settings.max_attempts,
            rules,
            ran: false,
        };
        self.requests.insert(id, open);
        let Arrival { volume, key, class, plan, units, volume_hosts, repeat, shard, .. } = arrival;
        self.dispatch(Event::Request(Request {
            id,
            volume,
            key,
            class,
            plan,
            units,
            volume_hosts,
            time_left,
            repeat,
            shard,
        }));
    }

    /// Handles that the client of a request left; later calls for the same request do nothing.
    pub(super) fn client_left(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.answer.take().is_none() {
            return;
        }
        self.finish(id, Finish::Left);
        if self.requests.get(&id).is_some_and(|open| open.forwarding) {
            return self.stop_attempts(id, AttemptEnd::CalledOff);
        }
        self.dispatch(Event::ClientLeft { request: id });
        self.drop_unfinished(id);
        self.forget(id);
    }

    /// Binds a request to an attempt. The policy is told that an answer began; after that it starts no other
    /// attempt.
    pub(super) fn bind(&mut self, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.over()) else { return false };
        let in_flight = open.attempts.get(attempt as usize).is_some_and(Option::is_some);
        if !in_flight || open.bound.is_some_and(|bound| bound != attempt) {
            return false;
        }
        if open.bound.replace(attempt).is_none() {
            let others = 0..open.attempts.len() as u32;
            self.dispatch(Event::AnswerBegan { request: id, attempt });
            others
                .filter(|other| *other != attempt)
                .for_each(|other| self.stop_attempt(id, other, AttemptEnd::CalledOff));
        }
        true
    }

    /// Reports an answer to the policy as served when it begins: the time that a slow client takes to read
    /// the rest must not hold a token or count as latency of the node.
    pub(super) fn begin_answer(
        &mut self,
        id: RequestId,
        attempt: u32,
        load: Load,
        used: Option<f64>,
    ) -> bool {
        if !self.bind(id, attempt) {
            return false;
        }
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.forwarding) else { return false };
        let Some(Some(in_flight)) = open.attempts.get(attempt as usize) else { return false };
        open.forwarding = true;
        let (node, latency) = (in_flight.node, in_flight.latency(self.clock, open.arrived_early));
        if let Some(key) = open.deadline.take() {
            self.timers.remove(key);
        }
        let (result, over) = (AttemptResult::Served, true);
        self.dispatch(Event::Outcome(Outcome {
            request: id,
            attempt,
            node,
            result,
            latency,
            over,
            used,
            load,
        }));
        true
    }

    /// Starts the deadline of a request whose body is now complete.
    pub(super) fn body_complete(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if let Some(time) = open.body_time.take().filter(|_| !open.forwarding && !open.over()) {
            open.answer_by = self.clock.now() + time;
            open.deadline = Some(self.timers.insert(open.answer_by, TimerEvent::Deadline(id)));
        }
    }

    /// Handles the end of an answer that was being forwarded: it is complete, it broke off, or the client
    /// left.
    pub(super) fn finish_forwarding(&mut self, id: RequestId, attempt: u32, end: AttemptEnd) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(in_flight) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        in_flight.task.abort();
        if let Some(tried) = open.record.as_mut().and_then(|record| record.attempts.get_mut(attempt as usize))
        {
            (tried.result, tried.latency) =
                (Some(end.result()), self.clock.now().saturating_sub(in_flight.sent));
        }
        let answer = open.answer.take();
        if let Some(node) = self.nodes.get_mut(&in_flight.node) {
            node.in_flight -= 1;
        }
        if let Some(answer) = answer {
            let complete = end == AttemptEnd::Answered;
            let _ = answer.send(if complete { Answer::Served(Bytes::new()) } else { Answer::Failed });
            self.finish(id, if complete { Finish::Served } else { Finish::Failed });
        }
        self.forget(id);
        self.release_nodes();
    }

    /// Handles the end of an attempt.
    pub(super) fn outcome(&mut self, id: RequestId, attempt: u32, report: Report) {
        if self.requests.get(&id).is_some_and(|open| open.forwarding) {
            return self.finish_forwarding(id, attempt, report.end);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        // The attempt may have timed out or been cancelled before its report arrived; the report is ignored.
        let Some(in_flight) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        if let Some(node) = self.nodes.get_mut(&in_flight.node) {
            node.in_flight -= 1;
        }
        let latency = in_flight.latency(self.clock, open.arrived_early);
        debug!(request = id, attempt, node = in_flight.node, latency, end:? = report.end; "attempt ended");
        let not_executed = matches!(
            report.end.result(),
            AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        open.ran |= !not_executed;
        if let Some(tried) = open.record.as_mut().and_then(|record| record.attempts.get_mut(attempt as usize))
        {
            (tried.result, tried.latency) = (Some(report.end.result()), latency);
        }
        if report.end == AttemptEnd::Answered
            && let Some(answer) = open.answer.take()
        {
            let _ = answer.send(Answer::Served(report.body));
            self.finish(id, Finish::Served);
        }
        let over = self.requests.get(&id).is_none_or(OpenRequest::over);
        self.dispatch(Event::Outcome(Outcome {
            request: id,
            attempt,
            node: in_flight.node,
            result: report.end.result(),
            latency,
            over,
            used: report.used,
            load: report.load,
        }));
        if over {
            self.drop_unsent(id, |_| true);
        }
        self.forget(id);
        if self.nodes.get(&in_flight.node).is_some_and(|node| node.removed && node.in_flight == 0) {
            self.release_nodes();
        }
    }

    /// Runs the timers that are due.
    pub(super) fn run_timers(&mut self) {
        while let Some((_, event)) = self.timers.pop(self.clock.now()) {
            match event {
                TimerEvent::Timer(token) => self.dispatch(Event::Timer { token }),
                TimerEvent::Deadline(id) => self.deadline(id),
                TimerEvent::Overdue => {
                    self.list_timer = None;
                    self.update_list_timer();
                }
            }
        }
    }

    /// Ends a request at its deadline.
    pub(super) fn deadline(&mut self, id: RequestId) {
        self.stop_attempts(id, AttemptEnd::TimedOut);
        if self.requests.get(&id).is_some_and(|open| !open.over()) {
            // The policy answers a request on its time-out. If it does not, the request fails here, so that
            // the client always gets an answer.
            event!(NO_ANSWER, request = id);
            self.dispatch(Event::ClientLeft { request: id });
            self.answer(id, Answer::Failed);
        }
    }

    /// Cancels all attempts of a request.
    pub(super) fn stop_attempts(&mut self, id: RequestId, end: AttemptEnd) {
        let attempts = self.requests.get(&id).map_or(0, |open| open.attempts.len() as u32);
        (0..attempts).for_each(|attempt| self.stop_attempt(id, attempt, end));
    }

    /// Cancels an attempt that is in flight.
    pub(super) fn stop_attempt(&mut self, id: RequestId, attempt: u32, end: AttemptEnd) {
        let in_flight = self.requests.get(&id).and_then(|open| open.attempts.get(attempt as usize)?.as_ref());
        if let Some(in_flight) = in_flight {
            in_flight.task.abort();
            self.outcome(id, attempt, end.into());
        }
    }

    /// Gives a request its final answer if it has none.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(sender) = self.requests.get_mut(&id).and_then(|open| open.answer.take()) {
            let finish = if matches!(answer, Answer::Refused(_)) { Finish::Refused } else { Finish::Failed };
            let _ = sender.send(answer);
            self.finish(id, finish);
        }
        self.drop_unsent(id, |_| true);
        self.forget(id);
    }

    /// Counts an ended request, and logs it where the settings say so. Attempts still in flight are logged
    /// with their state so far.
    pub(super) fn finish(&mut self, id: RequestId, finish: Finish) {
        let now = self.clock.now();
        self.count(finish, id);
        self.update_pressure(now);
        let record = self.requests.get_mut(&id).and_then(|open| open.record.take());
        let (Some(request_log), Some(record)) = (&mut self.request_log, record) else { return };
        let RequestRecord { volume, plan, class, units, arrived, attempts: tried } = *record;
        let target = self.settings.classes.get(class).map_or(0, |class| class.target);
        let late = finish == Finish::Served && now > arrived + target;
        let Some(one_in) = request_log.sample(plan, class, finish, tried.len(), late) else { return };
        let volume = Volume(volume);
        for (attempt, Tried { node, why, result, sent, latency }) in tried.iter().enumerate() {
            let (result, took_us) = match result {
                Some(result) => (result_name(*result), *latency),
                None => ("out", now.saturating_sub(*sent)),
            };
            event!(ATTEMPT, request = id, volume:%, attempt, why:%, node = node.as_str(), ending = result, took_us);
        }
        let first = tried.first().map_or(now, |first| first.sent);
        let (held_us, out_us) = (first.saturating_sub(arrived), now.saturating_sub(first));
        let (plan, class) = (request_log.plan(plan), request_log.class(class));
        let (outcome, late, attempts) = (finish.name(), if late { "yes" } else { "no" }, tried.len());
        event!(REQUEST, request = id, volume:%, plan, class, units, attempts, held_us, out_us, outcome, late, one_in);
    }

    /// Counts an ended request in the summary and in the metrics.
    pub(super) fn count(&mut self, finish: Finish, id: RequestId) {
        self.result_counts.counts[finish as usize] += 1;
        let count = match finish {
            Finish::Served => Count::Passed,
            Finish::Refused => Count::Dropped,
            Finish::Failed => Count::BadGateway,
            Finish::Left => return,
        };
        self.requests.get(&id).into_iter().for_each(|open| self.metrics.count(open.class, count));
    }

    /// Logs a change of the pressure level, and the summary of requests not served when it is due.
    pub(super) fn update_pressure(&mut self, now: Micros) {
        let (open, most) = (self.handle.open(), self.handle.max_open);
        if let Some((was, level)) = self.pressure.note(now, open, most) {
            event!(PRESSURE, level = level.name(), was = was.name(), open, most);
        }
        if self.result_counts.since == 0 {
            self.result_counts.since = now;
        }
        if now < self.result_counts.since + SUMMARY_INTERVAL {
            return;
        }
        let [served, refused, failed, left] = self.result_counts.counts;
        let no_room = self.handle.no_room();
        let rejected = no_room - self.result_counts.no_room;
        if refused + failed + left + rejected > 0 {
            let period_ms = (now - self.result_counts.since) / 1000;
            event!(REFUSALS, refused, failed, no_room = rejected, left, served, period_ms);
        }
        self.result_counts = ResultCounts { counts: [0; 4], no_room, since: now };
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub(super) fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.over() && open.attempts.iter().all(Option::is_none))
            && let Some(key) = self.requests.remove(&id).and_then(|open| open.deadline)
        {
            self.timers.remove(key);
        }
    }

    /// Cancels the selected attempts of a request of which nothing has been written.
    pub(super) fn drop_unsent(&mut self, id: RequestId, selected: impl Fn(&AttemptInFlight) -> bool) {
        let attempts = self.requests.get(&id).map_or(0, |open| open.attempts.len());
        for attempt in 0..attempts {
            // Each outcome may remove the request.
            let Some(open) = self.requests.get(&id) else { return };
            if let Some(Some(in_flight)) = open.attempts.get(attempt)
                && selected(in_flight)
                && !in_flight.write_state.has_started()
            {
                in_flight.task.abort();
                self.outcome(id, attempt as u32, AttemptEnd::Unsent.into());
            }
        }
    }

    /// Cancels the attempts that are not written completely, because the client left. A node starts a
    /// request with its last byte, so these attempts are cancelled before they run. Those of which a byte may
    /// have been written still end as `CalledOff`, which the policy treats as attempts that may have run.
    pub(super) fn drop_unfinished(&mut self, id: RequestId) {
        self.drop_unsent(id, |_| true);
        let Some(open) = self.requests.get(&id) else { return };
        let unfinished = open.attempts.iter().zip(0..).filter(|(in_flight, _)| {
            in_flight.as_ref().is_some_and(|in_flight| in_flight.write_state.completed_at.get().is_none())
        });
        let unfinished: Vec<u32> = unfinished.map(|(_, attempt)| attempt).collect();
        unfinished.into_iter().for_each(|attempt| self.stop_attempt(id, attempt, AttemptEnd::CalledOff));
    }
}
