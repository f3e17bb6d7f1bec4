//! Decides when a leader may act outside the group, and with which fencing token.
//!
//! The token is the leader's term: each term has at most one leader, and a later leader has a later term. A
//! leader acts only within its lease. A leader that led before and lost the leadership to another one waits
//! first, so that two leaders do not take turns acting.

use crate::types::{Millis, Term};

/// How many past leaders are kept; earlier changes of leader are older than any lease.
const MAX_PAST_LEADERS: usize = 64;

/// The right of a leader to act until a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The token that the leader sends with every action; receivers reject older tokens.
    pub fencing_token: Term,
    /// The leader must not act at or after this time.
    pub valid_until: Millis,
}

/// Tracks the machines that have led, and decides whether the present leader may act.
///
/// ```
/// use pathbank_coordination::fencing::FencingGuard;
///
/// let mut guard = FencingGuard::default();
/// guard.record_leader("a");
/// let permit = guard.permit("a", 4, 1_500, 3_000, 1_000).expect("within its lease");
/// assert_eq!(permit.fencing_token, 4);
/// assert!(guard.permit("a", 4, 1_500, 3_000, 1_500).is_none(), "the lease has expired");
/// ```
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    /// The names of the machines that led, in order. Consecutive terms of one machine count once.
    leaders: Vec<String>,
    /// The last term in which this machine led, and when it was first seen to lead in that term.
    leading_since: Option<(Term, Millis)>,
}

impl FencingGuard {
    /// Starts from a snapshot's list of leaders.
    pub fn restore(&mut self, leaders: Vec<String>) {
        self.leaders = leaders;
    }

    /// The names of the machines that led, to be stored in a snapshot.
    pub fn leaders(&self) -> Vec<String> {
        self.leaders.clone()
    }

    /// Applies a committed entry by which `name` began to lead.
    pub fn record_leader(&mut self, name: &str) {
        if self.leaders.last().map(String::as_str) != Some(name) {
            self.leaders.push(name.to_owned());
        }
        let surplus = self.leaders.len().saturating_sub(MAX_PAST_LEADERS);
        self.leaders.drain(..surplus);
    }

    /// Whether `name` led earlier and lost the leadership to another machine in between.
    fn has_led_before(&self, name: &str) -> bool {
        let earlier = self.leaders.split_last().map_or(&[][..], |(_, earlier)| earlier);
        earlier.iter().any(|leader| leader == name)
    }

    /// The permit of the leader `name` of `term`, whose lease ends at `lease_until`. Returns `None` if the
    /// leader may not act now.
    ///
    /// `returning_leader_wait`: how long a machine that led before waits until it acts again, milliseconds.
    pub fn permit(
        &mut self,
        name: &str,
        term: Term,
        lease_until: Millis,
        returning_leader_wait: Millis,
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
        let must_wait = self.has_led_before(name) && now < since + returning_leader_wait;
        (!must_wait).then_some(Permit { fencing_token: term, valid_until: lease_until })
    }
}
