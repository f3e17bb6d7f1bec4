//! Estimates of each node, from this host's own answers and from reports of other hosts.

use super::*;
use crate::message::Message;

/// D, tokens at one node. The design's four is the most. Few hosts all fill their tokens at the same node:
/// each keeps to its part of what three hold. Of a crowd few have work there. Half at first, then by delay.
const MAX_DEPTH: f64 = 4.0;
const MAX_DEPTH_OF_ALL_HOSTS: f64 = 12.0;
pub(super) const MIN_DEPTH: f64 = 1.0;
/// Answers this many times dearer a unit than the node's own best make the depth shrink.
pub(super) const DELAY_RATIO: f64 = 2.0;
/// Depth gained for an answer in good time, and kept after one that was late or a 'full'.
const DEPTH_GAIN: f64 = 0.1;
const DEPTH_KEEP: f64 = 0.9;
/// How fast a node's best forgets, for each answer.
const BEST_DECAY: f64 = 0.005;
/// A node is unresponsive when its oldest request is out for this many usual answer times, and for this part
/// of `fall` at least; so many shortest targets are enough: what has waited so long is late in any case.
const SILENCE_LATENCIES: f64 = 4.0;
const MIN_SILENCE_OF_FALL: f64 = 0.5;
const MAX_SILENCE_TARGETS: f64 = 1.5;
/// A request is lost when this many later ones of its node were answered, more than its cores can mix up.
const LOST_WHEN_OVERTAKEN_BY: u32 = 6;
/// A node where an attempt timed out or found no connection rests for this part of the fall time, but for no
/// more than that of the shortest target: what comes then can still be in time.
const EJECTION_OF_FALL: f64 = 0.25;
const MAX_EJECTION_TARGETS: f64 = 0.5;
/// A node that turned a request away rests for this part of its usual answer time.
const OVERLOADED_EJECTION: f64 = 0.5;

/// In a crowd of hosts a node's own queue should take no longer than this part of the shortest target.
pub(super) const MAX_QUEUE_FRACTION: f64 = 0.3;
/// Pace: the part of a crowd's hosts that may send a node work outside the reserve, drawn anew in each slot.
/// Word of a longer queue cuts it to this part of it at most; it comes back by this much a second.
pub(super) const ADMIT_SLOT: u64 = 10 * RECHECK_INTERVAL;
const MAX_ADMIT_CUT: f64 = 0.3;
const ADMIT_GAIN_PER_S: f64 = 0.05;
/// A node's queue is told to the other hosts, or asked for, again after this part of the shortest target.
pub(super) const QUEUE_VIEW_AGE: f64 = 0.5;

impl Node {
    pub(super) fn admitted_fraction(&self, now: Micros) -> f64 {
        (self.admitted_fraction + ADMIT_GAIN_PER_S * (now - self.admitted_at) as f64 / SECOND).min(1.0)
    }

    /// News of a queue longer than wanted cuts the pace, once for each time such news takes.
    fn lower_admitted_fraction(&mut self, now: Micros, target: f64) {
        if self.queue_wait > MAX_QUEUE_FRACTION * target
            && (now - self.admitted_at) as f64 > QUEUE_VIEW_AGE * target
        {
            self.admitted_fraction = self.admitted_fraction(now)
                * (MAX_QUEUE_FRACTION * target / self.queue_wait).max(MAX_ADMIT_CUT);
            self.admitted_at = now;
        }
    }

    /// Word of the node's queue with an answer that took so long, or only that something waited so long.
    fn observe_queue_report(
        &mut self,
        now: Micros,
        queue: Option<f64>,
        latency: f64,
        target: f64,
        usual: f64,
    ) {
        match queue {
            Some(queue) => self.observe_queue(now, queue, Some(latency), usual),
            None => (self.queue_wait, self.queue_wait_at) = (self.queue_wait(now).max(latency), now),
        }
        self.lower_admitted_fraction(now, target);
    }

    /// Free tokens. An unresponsive node gets one request at a time; what is lost holds no token, nor does
    /// what has been out for too long there or while a later one was answered: its connection may be silent.
    pub(super) fn free(&self, now: Micros, least: f64) -> usize {
        let (unresponsive, silence_timeout) =
            (self.unresponsive_since.is_some(), self.silence_timeout(least));
        let depth = if unresponsive { MIN_DEPTH } else { self.depth };
        let pending = self.in_flight.iter().filter(|((sent, _), mark)| {
            let silent = (now - *sent) as f64 > silence_timeout && (unresponsive || mark.overtaken > 0);
            !silent && !self.lost(now, *sent, mark)
        });
        (depth as usize).saturating_sub(pending.count())
    }

    /// Hearing nothing for longer than this makes a node unresponsive.
    fn silence_timeout(&self, least: f64) -> f64 {
        (SILENCE_LATENCIES * self.latency).max(least)
    }

    /// The node takes requests in turn: one that many later ones overtook and that is long overdue is lost.
    fn lost(&self, now: Micros, sent: Micros, mark: &InFlightMark) -> bool {
        mark.overtaken >= LOST_WHEN_OVERTAKEN_BY && (now - sent) as f64 > SILENCE_LATENCIES * self.latency
    }
}

impl Policy {
    /// So many hosts that one token each is more than a node should hold.
    pub(super) fn many_hosts(&self) -> bool {
        f64::from(self.settings.hosts) > MAX_DEPTH_OF_ALL_HOSTS
    }

    pub(super) fn min_silence_timeout(&self) -> f64 {
        (MIN_SILENCE_OF_FALL * self.settings.fall as f64).min(MAX_SILENCE_TARGETS * self.shortest_target())
    }

    pub(super) fn max_depth(&self) -> f64 {
        let hosts = if self.many_hosts() { 1.0 } else { f64::from(self.settings.hosts.max(1)) };
        ((MAX_DEPTH_OF_ALL_HOSTS / hosts).min(MAX_DEPTH) * self.share).max(MIN_DEPTH)
    }

    /// A node is unresponsive when it answered nothing for far longer than usual with a request out; it gets
    /// one at a time then. The silence while this host itself stood still does not count. A request that is
    /// lost at a node that answers is called off once, so that it may be sent again while it is in time.
    pub(super) fn detect_unresponsive(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let (least, mut lost) = (self.min_silence_timeout(), Vec::new());
        for (id, node) in &mut self.nodes {
            let waits = node
                .in_flight
                .iter()
                .find(|((sent, _), mark)| !mark.streaming && !node.lost(now, *sent, mark));
            if let (Some(((sent, _), _)), None) = (waits, node.unresponsive_since) {
                let since = (*sent).max(node.last_answer_at).max(self.resumed);
                if (now - since) as f64 > node.silence_timeout(least) {
                    node.unresponsive_since = Some(since);
                    actions.push(Action::Log(format!("node {id} is mute")));
                }
            }
            let marks = node
                .in_flight
                .iter()
                .filter(|((sent, _), mark)| !mark.cancelled && node.lost(now, *sent, mark));
            lost.extend(marks.map(|(key, _)| (*id, *key)));
        }
        for (node, key) in lost {
            let Some(pending) = self.requests.get(&key.1) else { continue };
            let once = pending.attempts.len() == 1 && !pending.over && now < pending.target_at;
            if self.settings.cancel && once && self.may_retry(now, pending) && self.budget_allows(now) {
                actions.push(Action::Cancel { request: key.1, attempt: 0 });
                if let Some(mark) = self.nodes.get_mut(&node).and_then(|n| n.in_flight.get_mut(&key)) {
                    mark.cancelled = true;
                }
            }
        }
    }

    pub(super) fn observe_outcome(
        &mut self,
        now: Micros,
        attempt: (NodeId, Micros),
        units: f64,
        done: &Outcome,
    ) -> Option<String> {
        let (id, at) = attempt;
        let (fall, cold, max_depth) = (self.settings.fall, self.settings.cold, self.max_depth());
        let many_hosts = self.many_hosts();
        // All hosts together try an unresponsive node no oftener than few hosts would, and not in step.
        let apart =
            f64::from(self.settings.hosts) / MAX_DEPTH_OF_ALL_HOSTS * (0.5 + hash_fraction(self.seed, now));
        let rest = (EJECTION_OF_FALL * fall as f64).min(MAX_EJECTION_TARGETS * self.shortest_target());
        let rest = rest * if many_hosts { apart } else { 1.0 };
        let node = self.nodes.get_mut(&id)?;
        let (sent, mut news) = ((at, done.request), None);
        node.in_flight.remove(&sent);
        node.slow_start_sends.retain(|(t, _)| t + fall >= now);
        if node.slow_start_since.is_some_and(|since| now > since + cold) {
            node.slow_start_since = None;
        }
        match done.result {
            AttemptResult::Served => {
                node.last_answer_at = now;
                let broke = std::mem::take(&mut node.failures) > 0;
                node.in_flight.range_mut(..sent).for_each(|(_, mark)| mark.overtaken += 1);
                if let Some(since) = node.unresponsive_since.take() {
                    news = Some(format!("node {id} answers again"));
                    // It may have restarted unannounced where connections failed, unless it still knew a
                    // request from before. In a crowd of hosts the few answers that one gets do not tell that
                    // from a deep queue; mere silence may be that of a connection.
                    if sent.0 > since && now > since + fall && !many_hosts && broke {
                        node.slow_start_since = Some(now);
                    }
                }
                // An answer that its connection held back tells little of the node.
                let most =
                    if node.latency > 0.0 { 2.0 * SILENCE_LATENCIES * node.latency } else { f64::INFINITY };
                let latency = (done.latency as f64).min(most);
                let usual = if self.mean_latency > 0.0 { self.mean_latency } else { latency };
                self.mean_latency = usual + EWMA_WEIGHT * (latency - usual);
                if node.latency <= 0.0 {
                    (node.latency, node.units) = (latency, units.max(f64::MIN_POSITIVE));
                }
                node.latency += EWMA_WEIGHT * (latency - node.latency);
                node.units += EWMA_WEIGHT * (units - node.units);
                let ratio = node.latency / node.units;
                self.mean_latency_per_queued +=
                    EWMA_WEIGHT * (node.best * node.units / 2.0 - self.mean_latency_per_queued);
                node.best = if node.best > 0.0 { ratio.min(node.best * (1.0 + BEST_DECAY)) } else { ratio };
                if ratio > DELAY_RATIO * node.best {
                    node.depth = (node.depth * DEPTH_KEEP).max(MIN_DEPTH);
                } else {
                    node.depth = (node.depth + DEPTH_GAIN).min(max_depth);
                }
            }
            AttemptResult::Overloaded => {
                node.depth = (node.depth * DEPTH_KEEP).max(MIN_DEPTH);
                node.ejected_until =
                    now + ((OVERLOADED_EJECTION * node.latency) as Micros).max(RECHECK_INTERVAL);
            }
            // At a node that has answered since, one attempt was lost, not the node.
            AttemptResult::TimedOut if node.last_answer_at > sent.0 => {}
            // It answered just now, and one connection did not come up.
            AttemptResult::ConnectFailed
                if node.failures == 0 && now < node.last_answer_at + rest as Micros =>
            {
                node.failures = 1;
                node.ejected_until =
                    now + ((OVERLOADED_EJECTION * node.latency) as Micros).max(RECHECK_INTERVAL);
            }
            AttemptResult::ConnectFailed | AttemptResult::TimedOut => {
                node.failures += 1;
                node.unresponsive_since.get_or_insert(sent.0);
                node.ejected_until = now + rest as Micros;
            }
            // A broken connection tells of itself: a process that died refuses the next one.
            AttemptResult::Reset
            | AttemptResult::Error
            | AttemptResult::Cancelled
            | AttemptResult::NotSent => {}
        }
        news
    }

    /// In a crowd where reports come only with probes: asks the node that a request is for how long its queue
    /// is, one drawn at random for a new object, unless that was asked of late.
    pub(super) fn probe_queue(&mut self, now: Micros, destination: Destination, actions: &mut Vec<Action>) {
        if !self.many_hosts() || !self.settings.probing || self.settings.reports != Reports::Probes {
            return;
        }
        let (draw, age) = (self.seed ^ self.serial, QUEUE_VIEW_AGE * self.shortest_target());
        let candidates =
            self.nodes.iter_mut().filter(|(_, n)| n.ready && destination.is_none_or(|s| s == n.shard));
        let node = candidates.min_by(|(a, _), (b, _)| {
            hash_fraction(draw, (**a).into()).total_cmp(&hash_fraction(draw, (**b).into()))
        });
        if let Some((id, node)) = node.filter(|(_, n)| (now - n.queue_view_at) as f64 > age) {
            (node.queue_view_at, node.asked) = (now, Some(now));
            actions.push(Action::Probe { node: *id });
        }
    }

    pub(super) fn on_probed(&mut self, now: Micros, id: NodeId, latency: Micros, load: Load) {
        let target = self.shortest_target();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.asked = None;
        load.queue
            .into_iter()
            .for_each(|queue| node.observe_queue(now, queue, None, self.mean_latency_per_queued));
        // A probe that waits in the node's queue tells that by its time.
        node.observe_queue_report(now, None, latency as f64, target, self.mean_latency_per_queued);
    }

    pub(super) fn on_peer(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let last_answer_at = Message::read(bytes).filter(|_| from < self.settings.hosts);
        let Some(Message { shard, queue, latency }) = last_answer_at else { return };
        let target = self.shortest_target();
        let Some(node) = self.nodes.values_mut().find(|n| n.ready && n.shard == shard) else { return };
        node.observe_queue_report(now, queue, latency as f64, target, self.mean_latency_per_queued);
        node.queue_view_at = now;
        if queue.is_some() {
            node.last_answer_at = now;
            if node.unresponsive_since.take().is_some() {
                node.ejected_until = now;
            }
        }
    }

    /// In a crowd of hosts each hears from a node too seldom to know its queue: what an answer tells of a
    /// queue that keeps work waiting, or no longer does, goes to all others.
    pub(super) fn share_queue_report(
        &mut self,
        now: Micros,
        id: NodeId,
        outcome: &Outcome,
        actions: &mut Vec<Action>,
    ) {
        let (many_hosts, target) = (self.many_hosts(), self.shortest_target());
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let (before, waited) = (node.queue_wait(now), outcome.latency as f64);
        let (queue, latency) = match (outcome.result, outcome.load.queue) {
            (AttemptResult::Served, None) => {
                (node.queue_wait, node.queue_wait_at) = ((waited - node.best * node.units).max(0.0), now);
                (None, 0.0)
            }
            (AttemptResult::Served, queue) => (queue, waited),
            // Nothing tells of the queue but that it kept this request for so long, or left it no room.
            (AttemptResult::TimedOut, _) => (None, waited.min(2.0 * target)),
            (AttemptResult::Overloaded, _) => (None, target),
            _ => return,
        };
        node.observe_queue_report(now, queue, latency, target, self.mean_latency_per_queued);
        let deep = node.queue_wait.max(before) > MAX_QUEUE_FRACTION / 2.0 * target;
        if many_hosts
            && self.settings.peers
            && deep
            && (now - node.queue_view_at) as f64 > QUEUE_VIEW_AGE * target
        {
            node.queue_view_at = now;
            let bytes = Message { shard: node.shard, queue, latency: latency as Micros }.bytes();
            actions.push(Action::SendToPeer { peer: None, bytes });
        }
    }
}
