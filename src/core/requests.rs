//! A request from its arrival to its one answer.

use super::attempt::{AttemptSource, Report};
use super::handle::{Answer, Arrival};
use super::open::{AttemptInFlight, OpenRequest, RequestRecord, ResultCounts};
use super::{Core, DAY, SUMMARY_INTERVAL, TimerEvent};
use crate::attempt_end::AttemptEnd;
use crate::clock::micros;
use crate::event;
use crate::events::requests::{Finish, Tried, Volume, result_name};
use crate::figures::Count;
use crate::interface::*;
use bytes::Bytes;
use log::debug;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl Core {
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
            // Whoever sends it sees to it that it comes.
            Some(_) => (now + DAY, None),
            None => (now + time_left, Some(self.timers.insert(now + time_left, TimerEvent::Deadline(id)))),
        };
        let record = self.request_log.as_ref().map(|_| {
            let Arrival { volume, plan, class, units, .. } = arrival;
            Box::new(RequestRecord { volume, plan, class, units, arrived: now, tried: Vec::new() })
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
            passing: false,
            class: arrival.class,
            max_attempts: self.settings.max_attempts,
            rules,
            ran: false,
        };
        self.requests.insert(id, open);
        let Arrival { volume, key, class, plan, units, volume_hosts, repeat, shard, .. } = arrival;
        self.tell(Event::Request(Request {
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

    /// Its client has gone, once.
    pub(super) fn client_left(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.answer.take().is_none() {
            return;
        }
        self.finish(id, Finish::Left);
        if self.requests.get(&id).is_some_and(|open| open.passing) {
            return self.stop_attempts(id, AttemptEnd::CalledOff);
        }
        self.tell(Event::ClientLeft { request: id });
        self.drop_unfinished(id);
        self.forget(id);
    }

    /// The module hears of it as the beginning of an answer: after that it sends the request nowhere else.
    pub(super) fn bind(&mut self, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.over()) else { return false };
        let out = open.attempts.get(attempt as usize).is_some_and(Option::is_some);
        if !out || open.bound.is_some_and(|bound| bound != attempt) {
            return false;
        }
        if open.bound.replace(attempt).is_none() {
            let others = 0..open.attempts.len() as u32;
            self.tell(Event::AnswerBegan { request: id, attempt });
            others
                .filter(|other| *other != attempt)
                .for_each(|other| self.stop_attempt(id, other, AttemptEnd::CalledOff));
        }
        true
    }

    /// The module hears of a good answer with its beginning: what a slow client takes of the rest keeps no
    /// token and tells nothing of the node.
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
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.passing) else { return false };
        let Some(Some(out)) = open.attempts.get(attempt as usize) else { return false };
        open.passing = true;
        let (node, latency) = (out.node, out.latency(self.clock, open.arrived_early));
        if let Some(key) = open.deadline.take() {
            self.timers.remove(key);
        }
        let (result, over) = (AttemptResult::Served, true);
        self.tell(Event::Outcome(Outcome { request: id, attempt, node, result, latency, over, used, load }));
        true
    }

    pub(super) fn whole(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if let Some(time) = open.body_time.take().filter(|_| !open.passing && !open.over()) {
            open.answer_by = self.clock.now() + time;
            open.deadline = Some(self.timers.insert(open.answer_by, TimerEvent::Deadline(id)));
        }
    }

    /// The rest of an answer has come to its end, good or bad, or its client has gone.
    pub(super) fn passed(&mut self, id: RequestId, attempt: u32, end: AttemptEnd) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        out.task.abort();
        if let Some(tried) = open.record.as_mut().and_then(|record| record.tried.get_mut(attempt as usize)) {
            (tried.result, tried.latency) = (Some(end.result()), self.clock.now().saturating_sub(out.sent));
        }
        let answer = open.answer.take();
        if let Some(node) = self.nodes.get_mut(&out.node) {
            node.out -= 1;
        }
        if let Some(answer) = answer {
            let good = end == AttemptEnd::Answered;
            let _ = answer.send(if good { Answer::Served(Bytes::new()) } else { Answer::Failed });
            self.finish(id, if good { Finish::Served } else { Finish::Failed });
        }
        self.forget(id);
        self.release_nodes();
    }

    pub(super) fn outcome(&mut self, id: RequestId, attempt: u32, report: Report) {
        if self.requests.get(&id).is_some_and(|open| open.passing) {
            return self.passed(id, attempt, report.end);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        // A report that crossed with the attempt's time-out or cancel is of no use any more.
        let Some(out) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        if let Some(node) = self.nodes.get_mut(&out.node) {
            node.out -= 1;
        }
        let latency = out.latency(self.clock, open.arrived_early);
        debug!(request = id, attempt, node = out.node, latency, end:? = report.end; "attempt ended");
        let idle = matches!(
            report.end.result(),
            AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        open.ran |= !idle;
        if let Some(tried) = open.record.as_mut().and_then(|record| record.tried.get_mut(attempt as usize)) {
            (tried.result, tried.latency) = (Some(report.end.result()), latency);
        }
        if report.end == AttemptEnd::Answered
            && let Some(answer) = open.answer.take()
        {
            let _ = answer.send(Answer::Served(report.body));
            self.finish(id, Finish::Served);
        }
        let over = self.requests.get(&id).is_none_or(OpenRequest::over);
        self.tell(Event::Outcome(Outcome {
            request: id,
            attempt,
            node: out.node,
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
        if self.nodes.get(&out.node).is_some_and(|node| node.removed && node.out == 0) {
            self.release_nodes();
        }
    }

    pub(super) fn run_timers(&mut self) {
        while let Some((_, event)) = self.timers.pop(self.clock.now()) {
            match event {
                TimerEvent::Timer(token) => self.tell(Event::Timer { token }),
                TimerEvent::Deadline(id) => self.deadline(id),
                TimerEvent::Overdue => {
                    self.list_timer = None;
                    self.watch_list();
                }
            }
        }
    }

    pub(super) fn deadline(&mut self, id: RequestId) {
        self.stop_attempts(id, AttemptEnd::TimedOut);
        if self.requests.get(&id).is_some_and(|open| !open.over()) {
            // The module answers on the time-out; should it ever not, the client is not left without.
            event!(NO_ANSWER, request = id);
            self.tell(Event::ClientLeft { request: id });
            self.answer(id, Answer::Failed);
        }
    }

    pub(super) fn stop_attempts(&mut self, id: RequestId, end: AttemptEnd) {
        let attempts = self.requests.get(&id).map_or(0, |open| open.attempts.len() as u32);
        (0..attempts).for_each(|attempt| self.stop_attempt(id, attempt, end));
    }

    pub(super) fn stop_attempt(&mut self, id: RequestId, attempt: u32, end: AttemptEnd) {
        let out = self.requests.get(&id).and_then(|open| open.attempts.get(attempt as usize)?.as_ref());
        if let Some(out) = out {
            out.task.abort();
            self.outcome(id, attempt, end.into());
        }
    }

    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(sender) = self.requests.get_mut(&id).and_then(|open| open.answer.take()) {
            let finish = if matches!(answer, Answer::Refused(_)) { Finish::Refused } else { Finish::Failed };
            let _ = sender.send(answer);
            self.finish(id, finish);
        }
        self.drop_unsent(id, |_| true);
        self.forget(id);
    }

    /// A request has its end: counted, and told where that is wanted. Attempts that are out are told as they
    /// stand.
    pub(super) fn finish(&mut self, id: RequestId, finish: Finish) {
        let now = self.clock.now();
        self.count(finish, id);
        self.update_pressure(now);
        let record = self.requests.get_mut(&id).and_then(|open| open.record.take());
        let (Some(request_log), Some(record)) = (&mut self.request_log, record) else { return };
        let RequestRecord { volume, plan, class, units, arrived, tried } = *record;
        let target = self.settings.classes.get(class).map_or(0, |class| class.target);
        let late = finish == Finish::Served && now > arrived + target;
        let Some(one_in) = request_log.told(plan, class, finish, tried.len(), late) else { return };
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

    pub(super) fn count(&mut self, finish: Finish, id: RequestId) {
        self.result_counts.counts[finish as usize] += 1;
        let count = match finish {
            Finish::Served => Count::Passed,
            Finish::Refused => Count::Dropped,
            Finish::Failed => Count::BadGateway,
            Finish::Left => return,
        };
        self.requests.get(&id).into_iter().for_each(|open| self.figures.count(open.class, count));
    }

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
        let turned_away = no_room - self.result_counts.no_room;
        if refused + failed + left + turned_away > 0 {
            let period_ms = (now - self.result_counts.since) / 1000;
            event!(REFUSALS, refused, failed, no_room = turned_away, left, served, period_ms);
        }
        self.result_counts = ResultCounts { counts: [0; 4], no_room, since: now };
    }

    pub(super) fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.over() && open.attempts.iter().all(Option::is_none))
            && let Some(key) = self.requests.remove(&id).and_then(|open| open.deadline)
        {
            self.timers.remove(key);
        }
    }

    /// Gives up attempts at a request of which nothing was written yet, so that they never will be.
    pub(super) fn drop_unsent(&mut self, id: RequestId, which: impl Fn(&AttemptInFlight) -> bool) {
        let attempts = self.requests.get(&id).map_or(0, |open| open.attempts.len());
        for attempt in 0..attempts {
            // Each outcome may be the request's last.
            let Some(open) = self.requests.get(&id) else { return };
            if let Some(Some(out)) = open.attempts.get(attempt)
                && which(out)
                && !out.write_state.has_started()
            {
                out.task.abort();
                self.outcome(id, attempt as u32, AttemptEnd::Unsent.into());
            }
        }
    }

    /// Nobody waits for it any more: a node begins with a request's last byte, and what has not come so far
    /// never does.
    pub(super) fn drop_unfinished(&mut self, id: RequestId) {
        self.drop_unsent(id, |_| true);
        let Some(open) = self.requests.get(&id) else { return };
        let unfinished =
            open.attempts.iter().zip(0..).filter(|(out, _)| {
                out.as_ref().is_some_and(|out| out.write_state.completed_at.get().is_none())
            });
        let unfinished: Vec<u32> = unfinished.map(|(_, attempt)| attempt).collect();
        unfinished.into_iter().for_each(|attempt| self.stop_attempt(id, attempt, AttemptEnd::CalledOff));
    }
}
