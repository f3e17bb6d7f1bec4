//! When a leader may act outside the group, and with which fencing token.
//!
//! The token is the leader's term: each term has one leader, and a later leader has a later term. A leader
//! acts only within its lease. To keep two leaders from acting by turns, one that led before and lost the
//! lead to another one waits first.

use crate::types::{Millis, Term};

/// The right to act, for as long as `until`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Goes with every act.
    pub fencing_token: Term,
    /// No act after this time.
    pub until: Millis,
}

/// Follows who led, and says whether this leader may act.
///
/// ```
/// use pathbank_coordination::fencing::FencingGuard;
///
/// let mut fence = FencingGuard::default();
/// fence.record_leader("a");
/// let permit = fence.permit("a", 4, 1_500, 3_000, 1_000).expect("within its lease");
/// assert_eq!(permit.fencing_token, 4);
/// assert!(fence.permit("a", 4, 1_500, 3_000, 1_500).is_none(), "the lease is over");
/// ```
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    /// The machines that led, in order, each once in a row.
    leaders: Vec<String>,
    /// When this machine was seen to lead its present term.
    leading_since: Option<(Term, Millis)>,
}

/// So many past leaders are kept; turns further back are older than any lease.
const MAX_LEADERS: usize = 64;

impl FencingGuard {
    /// Goes on from a snapshot's list of leaders.
    pub fn restore(&mut self, leaders: Vec<String>) {
        self.leaders = leaders;
    }

    /// The machines that led, for a snapshot.
    pub fn leaders(&self) -> Vec<String> {
        self.leaders.clone()
    }

    /// A committed entry tells that `name` began to lead.
    pub fn record_leader(&mut self, name: &str) {
        if self.leaders.last().map(String::as_str) != Some(name) {
            self.leaders.push(name.to_owned());
        }
        let surplus = self.leaders.len().saturating_sub(MAX_LEADERS);
        self.leaders.drain(..surplus);
    }

    /// Whether `name` led, and another machine after it, before it leads now.
    fn has_led_before(&self, name: &str) -> bool {
        let earlier = self.leaders.split_last().map_or(&[][..], |(_, earlier)| earlier);
        earlier.iter().any(|leader| leader == name)
    }

    /// The permit of the leader `name` of `term` with a lease until `lease_until`. `turn_separation_ms`: how
    /// long turns of two leaders have to be apart, milliseconds.
    pub fn permit(
        &mut self,
        name: &str,
        term: Term,
        lease_until: Millis,
        turn_separation_ms: Millis,
        now: Millis,
    ) -> Option<Permit> {
        if lease_until <= now {
            return None;
        }
        let since = match self.leading_since {
            Some((led_term, since)) if led_term == term => since,
            _ => now,
        };
        self.leading_since = Some((term, since));
        let must_wait = self.has_led_before(name) && now < since + turn_separation_ms;
        (!must_wait).then_some(Permit { fencing_token: term, until: lease_until })
    }
}
