//! Estimates of each node's latency, queue and health, from this host's answers and from reports of other
//! hosts.

use super::*;
use crate::message::Message;

/// D of MQFQ: the most tokens that a host has at one node (the design's value). A node starts with half of
/// its maximum or, with many hosts and a listed start time, with `MIN_DEPTH`; its latency then raises or
/// lowers the number.
const MAX_DEPTH: f64 = 4.0;
/// The most tokens of all hosts at one node, as many as three hosts hold. Few hosts often use all of their
/// tokens at the same node, so each gets an even part. With many hosts, only a few have work at a node at any
/// time.
const MAX_DEPTH_OF_ALL_HOSTS: f64 = 12.0;
/// The fewest tokens that a host has at one node.
pub(super) const MIN_DEPTH: f64 = 1.0;
/// A node is slow when its moving mean of the latency per unit, not that of a single answer, is more than
/// this many times its best.
pub(super) const DELAY_RATIO: f64 = 2.0;
/// Added to a node's depth for each answer after which the node is not slow by `DELAY_RATIO`.
const DEPTH_GAIN: f64 = 0.1;
/// A node's depth is multiplied by this for each answer after which the node is slow by `DELAY_RATIO`, and
/// for each refusal for a full queue.
const DEPTH_KEEP: f64 = 0.9;
/// The fraction by which a node's best latency per unit may rise with each answer, so that old values fade.
const BEST_DECAY: f64 = 0.005;
/// A node is unresponsive when it has been silent for this many times its mean latency with a request in
/// flight, though not before the minimum silence.
const SILENCE_LATENCIES: f64 = 4.0;
/// The minimum silence is this fraction of `fall`, but at most `MAX_SILENCE_TARGETS` times the shortest
/// target: a request that has waited that long is late in any case.
const MIN_SILENCE_OF_FALL: f64 = 0.5;
/// See `MIN_SILENCE_OF_FALL`; in shortest targets.
const MAX_SILENCE_TARGETS: f64 = 1.5;
/// A request counts as lost when this many later ones of its node were answered: more than a node's cores can
/// reorder.
const LOST_WHEN_OVERTAKEN_BY: u32 = 6;
/// A node is ejected for this fraction of `fall` after an attempt that timed out or failed to connect, but
/// for at most `MAX_EJECTION_TARGETS` of the shortest target: requests that wait for its return can still be
/// in time. With many hosts, the time is multiplied by the number of hosts divided by
/// `MAX_DEPTH_OF_ALL_HOSTS`, and by a random factor from 0.5 to 1.5. The first failed connection to a node
/// that answered within that time ejects the node for as long as a full queue does.
const EJECTION_OF_FALL: f64 = 0.25;
/// See `EJECTION_OF_FALL`; in shortest targets.
const MAX_EJECTION_TARGETS: f64 = 0.5;
/// A node is ejected for this fraction of its mean latency, but at least for `RECHECK_INTERVAL`, when it
/// refused a request for its full queue, or when one connection failed to a node that answered recently.
const OVERLOADED_EJECTION: f64 = 0.5;

/// With many hosts, the wait in a node's queue should be at most this fraction of the shortest target.
pub(super) const MAX_QUEUE_FRACTION: f64 = 0.3;
/// With many hosts, a fraction of them (a node's `admitted_fraction`) may send it work outside the reserve
/// or new objects. The hosts are chosen anew in each slot of this many microseconds.
pub(super) const ADMIT_SLOT: u64 = 10 * RECHECK_INTERVAL;
/// A report of a queue that is too long multiplies the admitted fraction by no less than this.
const MAX_ADMIT_CUT: f64 = 0.3;
/// The admitted fraction rises by this much per second.
const ADMIT_GAIN_PER_S: f64 = 0.05;
/// A node's queue is reported to other hosts or probed again after this fraction of the shortest target.
pub(super) const QUEUE_VIEW_AGE: f64 = 0.5;

impl Node {
    /// The fraction of hosts that may send the node work outside the reserve or new objects now.
    pub(super) fn admitted_fraction(&self, now: Micros) -> f64 {
        (self.admitted_fraction + ADMIT_GAIN_PER_S * (now - self.admitted_at) as f64 / SECOND).min(1.0)
    }

    /// Lowers the admitted fraction if the queue is too long, at most once per `QUEUE_VIEW_AGE` of the
    /// target: a report takes that long to show the effect.
    fn lower_admitted_fraction(&mut self, now: Micros, target: f64) {
        if self.queue_wait > MAX_QUEUE_FRACTION * target
            && (now - self.admitted_at) as f64 > QUEUE_VIEW_AGE * target
        {
            self.admitted_fraction = self.admitted_fraction(now)
                * (MAX_QUEUE_FRACTION * target / self.queue_wait).max(MAX_ADMIT_CUT);
            self.admitted_at = now;
        }
    }

    /// Records a report of the node's queue together with an answer's latency. Without a queue length, the
    /// report only says that a request waited for `latency`.
    fn observe_queue_report(
        &mut self,
        now: Micros,
        queue: Option<f64>,
        latency: f64,
        target: f64,
        typical: f64,
    ) {
        match queue {
            Some(queue) => self.observe_queue(now, queue, Some(latency), typical),
            None => (self.queue_wait, self.queue_wait_at) = (self.queue_wait(now).max(latency), now),
        }
        self.lower_admitted_fraction(now, target);
    }

    /// The number of free tokens. An unresponsive node gets one request at a time. A lost request holds no
    /// token, nor does one that has been in flight beyond the silence timeout at an unresponsive node or
    /// while a later one was answered: its connection may be dead.
    pub(super) fn free_tokens(&self, now: Micros, min_silence: f64) -> usize {
        let (unresponsive, silence_timeout) =
            (self.unresponsive_since.is_some(), self.silence_timeout(min_silence));
        let depth = if unresponsive { MIN_DEPTH } else { self.depth };
        let pending = self.in_flight.iter().filter(|((sent, _), mark)| {
            let silent = (now - *sent) as f64 > silence_timeout && (unresponsive || mark.overtaken > 0);
            !silent && !self.is_lost(now, *sent, mark)
        });
        (depth as usize).saturating_sub(pending.count())
    }

    /// A node that is silent for longer than this, in microseconds, is unresponsive.
    fn silence_timeout(&self, min_silence: f64) -> f64 {
        (SILENCE_LATENCIES * self.latency).max(min_silence)
    }

    /// Whether a request counts as lost: nodes serve requests in order, and this one is long overdue while
    /// many later ones were answered.
    fn is_lost(&self, now: Micros, sent: Micros, mark: &InFlightMark) -> bool {
        mark.overtaken >= LOST_WHEN_OVERTAKEN_BY && (now - sent) as f64 > SILENCE_LATENCIES * self.latency
    }
}

impl Policy {
    /// Whether there are so many hosts that one token each exceeds what a node should hold.
    pub(super) fn many_hosts(&self) -> bool {
        f64::from(self.settings.hosts) > MAX_DEPTH_OF_ALL_HOSTS
    }

    /// The shortest silence after which a node is unresponsive, microseconds.
    pub(super) fn min_silence_timeout(&self) -> f64 {
        (MIN_SILENCE_OF_FALL * self.settings.fall as f64).min(MAX_SILENCE_TARGETS * self.shortest_target())
    }

    /// The most tokens that this process has at one node.
    pub(super) fn max_depth(&self) -> f64 {
        let hosts = if self.many_hosts() { 1.0 } else { f64::from(self.settings.hosts.max(1)) };
        ((MAX_DEPTH_OF_ALL_HOSTS / hosts).min(MAX_DEPTH) * self.share).max(MIN_DEPTH)
    }

    /// Marks nodes as unresponsive that answered nothing for far longer than typical with a request in
    /// flight; they then get one request at a time. Silence while this host itself was stalled doesn't count.
    /// A request that is lost at a node that answers is cancelled once, so that it can be sent again in time.
    pub(super) fn detect_unresponsive(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let (min_silence, mut lost) = (self.min_silence_timeout(), Vec::new());
        for (id, node) in &mut self.nodes {
            let oldest = node
                .in_flight
                .iter()
                .find(|((sent, _), mark)| !mark.streaming && !node.is_lost(now, *sent, mark));
            if let (Some(((sent, _), _)), None) = (oldest, node.unresponsive_since) {
                let since = (*sent).max(node.last_answer_at).max(self.resumed);
                if (now - since) as f64 > node.silence_timeout(min_silence) {
                    node.unresponsive_since = Some(since);
                    actions.push(Action::Log(format!("node {id} is mute")));
                }
            }
            let marks = node
                .in_flight
                .iter()
                .filter(|((sent, _), mark)| !mark.cancelled && node.is_lost(now, *sent, mark));
            lost.extend(marks.map(|(key, _)| (*id, *key)));
        }
        for (node, key) in lost {
            let Some(pending) = self.requests.get(&key.1) else { continue };
            let first_attempt = pending.attempts.len() == 1 && !pending.over && now < pending.target_at;
            if self.settings.cancel
                && first_attempt
                && self.may_retry(now, pending)
                && self.budget_allows(now)
            {
                actions.push(Action::Cancel { request: key.1, attempt: 0 });
                if let Some(mark) = self.nodes.get_mut(&node).and_then(|n| n.in_flight.get_mut(&key)) {
                    mark.cancelled = true;
                }
            }
        }
    }

    /// Updates a node's estimates with an attempt's outcome. Returns a line for the log if the node's state
    /// changed.
    pub(super) fn observe_outcome(
        &mut self,
        now: Micros,
        attempt: (NodeId, Micros),
        units: f64,
        done: &Outcome,
    ) -> Option<String> {
        let (id, at) = attempt;
        let (fall, cold, max_depth) =
            (self.settings.fall, self.settings.slow_start_duration, self.max_depth());
        let many_hosts = self.many_hosts();
        // Many hosts together try an unresponsive node no more often than a few would, and at different
        // times.
        let spread =
            f64::from(self.settings.hosts) / MAX_DEPTH_OF_ALL_HOSTS * (0.5 + hash_fraction(self.seed, now));
        let ejection = (EJECTION_OF_FALL * fall as f64).min(MAX_EJECTION_TARGETS * self.shortest_target());
        let ejection = ejection * if many_hosts { spread } else { 1.0 };
        let node = self.nodes.get_mut(&id)?;
        let (key, mut log_line) = ((at, done.request), None);
        node.in_flight.remove(&key);
        node.slow_start_sends.retain(|(t, _)| t + fall >= now);
        if node.slow_start_since.is_some_and(|since| now > since + cold) {
            node.slow_start_since = None;
        }
        match done.result {
            AttemptResult::Served => {
                node.last_answer_at = now;
                let had_failures = std::mem::take(&mut node.failures) > 0;
                node.in_flight.range_mut(..key).for_each(|(_, mark)| mark.overtaken += 1);
                if let Some(since) = node.unresponsive_since.take() {
                    log_line = Some(format!("node {id} answers again"));
                    // After failed connections the node may have restarted unannounced, unless it answered a
                    // request from before. With many hosts, the few answers that one host gets don't
                    // distinguish that from a long queue; silence alone may be due to a dead connection.
                    if key.0 > since && now > since + fall && !many_hosts && had_failures {
                        node.slow_start_since = Some(now);
                    }
                }
                // The latency is capped: an answer that its connection delayed says little about the node.
                let max_latency =
                    if node.latency > 0.0 { 2.0 * SILENCE_LATENCIES * node.latency } else { f64::INFINITY };
                let latency = (done.latency as f64).min(max_latency);
                let typical = if self.mean_latency > 0.0 { self.mean_latency } else { latency };
                self.mean_latency = typical + EWMA_WEIGHT * (latency - typical);
                if node.latency <= 0.0 {
                    (node.latency, node.units) = (latency, units.max(f64::MIN_POSITIVE));
                }
                node.latency += EWMA_WEIGHT * (latency - node.latency);
                node.units += EWMA_WEIGHT * (units - node.units);
                let ratio = node.latency / node.units;
                self.mean_latency_per_queued += EWMA_WEIGHT
                    * (node.best_latency_per_unit * node.units / 2.0 - self.mean_latency_per_queued);
                node.best_latency_per_unit = if node.best_latency_per_unit > 0.0 {
                    ratio.min(node.best_latency_per_unit * (1.0 + BEST_DECAY))
                } else {
                    ratio
                };
                if ratio > DELAY_RATIO * node.best_latency_per_unit {
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
            // The node has answered since the attempt was sent: only the attempt was lost.
            AttemptResult::TimedOut if node.last_answer_at > key.0 => {}
            // The node answered recently and only one connection failed.
            AttemptResult::ConnectFailed
                if node.failures == 0 && now < node.last_answer_at + ejection as Micros =>
            {
                node.failures = 1;
                node.ejected_until =
                    now + ((OVERLOADED_EJECTION * node.latency) as Micros).max(RECHECK_INTERVAL);
            }
            AttemptResult::ConnectFailed | AttemptResult::TimedOut => {
                node.failures += 1;
                node.unresponsive_since.get_or_insert(key.0);
                node.ejected_until = now + ejection as Micros;
            }
            // A broken connection says nothing about the node: a process that died refuses the next one.
            AttemptResult::Reset
            | AttemptResult::Error
            | AttemptResult::Cancelled
            | AttemptResult::NotSent => {}
        }
        log_line
    }

    /// With many hosts and reports only from probes: probes the queue of the node that a request is for, or
    /// of a random node for a new object, unless that node was probed recently.
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
            (node.queue_view_at, node.probe_sent_at) = (now, Some(now));
            actions.push(Action::Probe { node: *id });
        }
    }

    /// Handles the end of a probe.
    pub(super) fn on_probed(&mut self, now: Micros, id: NodeId, latency: Micros, load: Load) {
        let target = self.shortest_target();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.probe_sent_at = None;
        load.queue
            .into_iter()
            .for_each(|queue| node.observe_queue(now, queue, None, self.mean_latency_per_queued));
        // If the node queues probes, the latency includes the wait in its queue. The latency is therefore
        // taken as a wait that the queue has at least.
        node.observe_queue_report(now, None, latency as f64, target, self.mean_latency_per_queued);
    }

    /// Handles a report of a node's queue from another host.
    pub(super) fn on_peer(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let message = Message::read(bytes).filter(|_| from < self.settings.hosts);
        let Some(Message { shard, queue, latency }) = message else { return };
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

    /// Records what an outcome tells about the node's queue. With many hosts, each gets too few answers of a
    /// node to know its queue, so reports of a queue that is long, or was until now, are sent to all other
    /// hosts.
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
                (node.queue_wait, node.queue_wait_at) =
                    ((waited - node.best_latency_per_unit * node.units).max(0.0), now);
                (None, 0.0)
            }
            (AttemptResult::Served, queue) => (queue, waited),
            // The queue's length is unknown; the request waited that long in vain, or found the queue full.
            (AttemptResult::TimedOut, _) => (None, waited.min(2.0 * target)),
            (AttemptResult::Overloaded, _) => (None, target),
            _ => return,
        };
        node.observe_queue_report(now, queue, latency, target, self.mean_latency_per_queued);
        let long_queue = node.queue_wait.max(before) > MAX_QUEUE_FRACTION / 2.0 * target;
        if many_hosts
            && self.settings.peers
            && long_queue
            && (now - node.queue_view_at) as f64 > QUEUE_VIEW_AGE * target
        {
            node.queue_view_at = now;
            let bytes = Message { shard: node.shard, queue, latency: latency as Micros }.bytes();
            actions.push(Action::SendToPeer { peer: None, bytes });
        }
    }
}
