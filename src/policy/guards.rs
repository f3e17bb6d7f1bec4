//! The conditions for sending a request: repeats, order within a key, retry budget and slow start of nodes.

use super::*;

/// The demand for a shard is taken to be two thirds of its node's full capacity: in slow start a host sends
/// this multiple of the allowed fraction of its own demand.
pub(super) const SLOW_START_MULTIPLE: f64 = 1.5;
/// Requests outside the reserve need slow-start credit for this many requests of mean size.
const SLOW_START_SPARE_REQUESTS: f64 = 1.5;

impl Policy {
    /// Whether an attempt of the request may start at the node now.
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

    /// Whether the request's class and number of attempts allow a further attempt.
    pub(super) fn may_retry(&self, now: Micros, pending: &PendingRequest) -> bool {
        let class = &self.settings.classes[pending.class];
        let class_allows = pending.first_that_may_have_run().is_none_or(|first| match class.repeats {
            Repeats::Safe => true,
            Repeats::Keyed => now < first.sent + class.window,
            Repeats::Unsafe => false,
        });
        class_allows && !pending.streaming && pending.attempts.len() < pending.max_attempts as usize
    }

    /// Whether the budget has room for one more retry.
    pub(super) fn budget_allows(&self, now: Micros) -> bool {
        self.settings.budget.is_none_or(|budget| {
            let since = now.saturating_sub(budget.window);
            let retries = self.retried_at.iter().filter(|t| **t >= since).count() as f64;
            let accepted = self.accepted_at.iter().filter(|t| **t > since).count() as f64;
            retries + 1.0 <= budget.floor + budget.ratio * accepted
        })
    }

    /// Whether slow start lets this host send the request to the node now: its credit suffices or, with few
    /// hosts, the request fits into an even part of the units that such a node always serves, which grows as
    /// the node warms up.
    fn slow_start_allows(&self, now: Micros, node: &Node, pending: &PendingRequest) -> bool {
        let s = &self.settings;
        if node.slow_start_since.is_none_or(|since| now >= since + s.slow_start_duration) {
            return true;
        } else if s.slow_start_units <= 0.0 || s.slow_start_fraction <= 0.0 {
            return node.in_flight.is_empty();
        }
        let needed = s.mean_units * if pending.reserved { 1.0 } else { SLOW_START_SPARE_REQUESTS };
        let share = self.share * slow_start_capacity(s, now, node) / s.slow_start_fraction
            * s.slow_start_units
            / f64::from(s.hosts.max(1));
        let sends = node.slow_start_sends.iter().filter(|(t, _)| *t + s.fall >= now);
        let even = share - sends.map(|(_, units)| units).sum::<f64>() >= pending.units;
        node.slow_start_credit.level >= needed || even && !self.many_hosts()
    }

    /// Adds to the credit of nodes in slow start. An even part of a node's capacity may be smaller than any
    /// request, and goes unused at hosts that don't need it. A warm node carries the demand of all hosts for
    /// its shard, so a host earns credit at the fraction of its own demand that the cold node can serve, or
    /// at the even part if that is larger.
    pub(super) fn fill_slow_start_credit(&mut self, now: Micros) {
        let (s, host_share) = (&self.settings, self.share);
        let cold = |n: &Node| n.slow_start_since.is_some_and(|since| now < since + s.slow_start_duration);
        for node in self.nodes.values_mut().filter(|n| cold(n)) {
            let capacity = slow_start_capacity(s, now, node);
            let even = host_share * capacity / s.slow_start_fraction * s.slow_start_units * SECOND
                / (s.fall.max(1) as f64 * f64::from(s.hosts));
            let demand =
                self.demand.get(&node.shard).map_or(0.0, |rate| rate.before_latest(now, self.started));
            let share = even.max(SLOW_START_MULTIPLE * s.fall_multiple * capacity * demand);
            node.slow_start_credit.fill(now, share, SLOW_START_SPARE_REQUESTS * s.mean_units);
        }
    }
}

/// The fraction of its full capacity that a node in slow start has at least.
pub(super) fn slow_start_capacity(s: &Settings, now: Micros, node: &Node) -> f64 {
    let warm = (now - node.slow_start_since.unwrap_or(0)) as f64 / s.slow_start_duration.max(1) as f64;
    s.slow_start_fraction + (1.0 - s.slow_start_fraction) * warm.min(1.0)
}
