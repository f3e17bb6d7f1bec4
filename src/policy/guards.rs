//! The guards that every send has to pass: repeats, order of keys, retry budget, slow start of nodes.

use super::*;

/// The demand for a shard is taken to be two thirds of its node's full capacity: in slow start a host sends this multiple
/// of the allowed fraction of its own demand.
pub(super) const SLOW_START_MULTIPLE: f64 = 1.5;
/// Requests outside the reserve wait until credit for this many mean requests is saved up.
const SLOW_START_SPARE_REQUESTS: f64 = 1.5;

impl Policy {
    pub(super) fn may_send(
        &self,
        now: Micros,
        id: RequestId,
        pending: &PendingRequest,
        node_id: NodeId,
    ) -> bool {
        let node = &self.nodes[&node_id];
        let same_group = |other: &Attempt, scope| match scope {
            Scope::All => true,
            Scope::Zone => other.zone == node.zone,
            Scope::Shard => other.shard == node.shard,
        };
        let class = &self.settings.classes[pending.class];
        let repeat_fits = pending
            .first_that_may_have_run()
            .is_none_or(|first| class.repeats != Repeats::Keyed || same_group(first, class.scope));
        let in_turn = self.keys.get(&pending.key).is_none_or(|k| {
            k.queue.front() == Some(&id) && (k.blocked_until <= now || !pending.attempts.is_empty())
        });
        let in_budget =
            pending.attempts.is_empty() || self.may_retry(now, pending) && self.budget_allows(now);
        now < pending.answer_by
            && repeat_fits
            && in_turn
            && in_budget
            && self.slow_start_allows(now, node, pending)
    }

    /// Whether a further attempt of the request can be allowed at all.
    pub(super) fn may_retry(&self, now: Micros, pending: &PendingRequest) -> bool {
        let class = &self.settings.classes[pending.class];
        let kind = pending.first_that_may_have_run().is_none_or(|first| match class.repeats {
            Repeats::Safe => true,
            Repeats::Keyed => now < first.sent + class.window,
            Repeats::Unsafe => false,
        });
        kind && !pending.streaming && pending.attempts.len() < pending.max_attempts as usize
    }

    pub(super) fn budget_allows(&self, now: Micros) -> bool {
        self.settings.budget.is_none_or(|budget| {
            let since = now.saturating_sub(budget.window);
            let retries = self.retries.iter().filter(|t| **t >= since).count() as f64;
            let taken = self.taken.iter().filter(|t| **t > since).count() as f64;
            retries + 1.0 <= budget.floor + budget.ratio * taken
        })
    }

    /// Whether this host may send that many units now to a node that may be cold: what it has saved up of its
    /// part; of few hosts also an even part of what such a node always bears, growing as the node warms.
    fn slow_start_allows(&self, now: Micros, node: &Node, pending: &PendingRequest) -> bool {
        let s = &self.settings;
        if node.slow_start_since.is_none_or(|since| now >= since + s.cold) {
            return true;
        } else if s.slow_start_units <= 0.0 || s.slow_start_fraction <= 0.0 {
            return node.in_flight.is_empty();
        }
        let saved = s.mean_units * if pending.reserved { 1.0 } else { SLOW_START_SPARE_REQUESTS };
        let share = self.share * slow_start_capacity(s, now, node) / s.slow_start_fraction
            * s.slow_start_units
            / f64::from(s.hosts.max(1));
        let sends = node.slow_start_sends.iter().filter(|(t, _)| *t + s.fall >= now);
        let even = share - sends.map(|(_, units)| units).sum::<f64>() >= pending.units;
        node.slow_start_credit.level >= saved || even && !self.many_hosts()
    }

    /// An even part of what a cold node always bears may be less than any request, and is due to hosts that
    /// never use it. A node that is warm carries what all hosts ask of its shard: a host keeps to the
    /// part of its own asking that the node bears cold, or to the even part, and saves up for its turns.
    pub(super) fn fill_slow_start_credit(&mut self, now: Micros) {
        let (s, of_host) = (&self.settings, self.share);
        let cold = |n: &Node| n.slow_start_since.is_some_and(|since| now < since + s.cold);
        for node in self.nodes.values_mut().filter(|n| cold(n)) {
            let slow_start_capacity = slow_start_capacity(s, now, node);
            let even = of_host * slow_start_capacity / s.slow_start_fraction * s.slow_start_units * SECOND
                / (s.fall.max(1) as f64 * f64::from(s.hosts));
            let asked = self.asked.get(&node.shard).map_or(0.0, |rate| rate.before(now, self.started));
            let share = even.max(SLOW_START_MULTIPLE * s.fall_multiple * slow_start_capacity * asked);
            node.slow_start_credit.fill(now, share, SLOW_START_SPARE_REQUESTS * s.mean_units);
        }
    }
}

/// The part of its capacity that a cold node has at least.
pub(super) fn slow_start_capacity(s: &Settings, now: Micros, node: &Node) -> f64 {
    let warm = (now - node.slow_start_since.unwrap_or(0)) as f64 / s.cold.max(1) as f64;
    s.slow_start_fraction + (1.0 - s.slow_start_fraction) * warm.min(1.0)
}
