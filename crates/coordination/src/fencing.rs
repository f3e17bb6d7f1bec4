//! Decides when a leader may act outside the group, and with which fencing token.
//!
//! The token is the leader's term: each term has at most one leader, and a later leader has a later term. A
//! leader acts only within its lease, and not before everything that earlier leaders have sent has arrived or
//! cannot arrive any more: a receiver that does not check tokens would take an earlier leader's call after a later
//! one's. A leader that led before and lost the leadership to another one waits as well, so that two leaders do not
//! take turns acting.

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

/// The leadership of this machine, as its replica knows it.
#[derive(Clone, Copy, Debug)]
pub struct Leadership<'a> {
    /// The machine's name.
    pub name: &'a str,
    /// The term.
    pub term: Term,
    /// The end of the lease.
    pub lease_until: Millis,
    /// Whether the leader of the term before handed over once all calls, its own and earlier ones, were settled.
    pub follows_settled_leader: bool,
}

/// How long leaders wait before they act, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    /// The wait of a machine that led before and lost the leadership to another one.
    pub returning_leader_ms: Millis,
    /// A call of an earlier leader arrives within this time after that leader's lease, or never.
    pub max_delivery_ms: Millis,
}

/// Tracks the machines that have led, and decides whether the present leader may act.
///
/// ```
/// use pathbank_coordination::fencing::{FencingGuard, Leadership, Waits};
///
/// let mut guard = FencingGuard::default();
/// let waits = Waits { returning_leader_ms: 3_000, max_delivery_ms: 3_000 };
/// let leadership = Leadership { name: "a", term: 4, lease_until: 1_500, follows_settled_leader: false };
/// guard.record_leader("a");
/// let permit = guard.permit(&leadership, &waits, 1_000).expect("within its lease, and the first leader");
/// assert_eq!(permit.fencing_token, 4);
/// assert!(guard.permit(&leadership, &waits, 1_500).is_none(), "the lease has expired");
/// ```
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    /// The names of the machines that led, in order. Consecutive terms of one machine count once.
    leaders: Vec<String>,
    /// Whether anyone led before the last leader in `leaders` began its last term, be it the same machine.
    has_predecessor: bool,
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
        self.has_predecessor |= !self.leaders.is_empty();
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

    /// The permit of the present leader, whose leadership includes the last leader that was recorded. Returns `None` if
    /// it may not act now.
    pub fn permit(&mut self, leadership: &Leadership, waits: &Waits, now: Millis) -> Option<Permit> {
        if leadership.lease_until <= now {
            return None;
        }
        let since = self.leading_since(leadership.term).unwrap_or(now);
        self.leading_since = Some((leadership.term, since));
        let waits_for_turn = self.has_led_before(leadership.name) && now < since + waits.returning_leader_ms;
        if waits_for_turn || !self.are_earlier_calls_settled(leadership, waits, now) {
            return None;
        }
        Some(Permit { fencing_token: leadership.term, valid_until: leadership.lease_until })
    }

    /// Whether nothing that earlier leaders have sent may still arrive.
    pub fn are_earlier_calls_settled(&self, leadership: &Leadership, waits: &Waits, now: Millis) -> bool {
        let have_arrived =
            self.leading_since(leadership.term).is_some_and(|since| now >= since + waits.max_delivery_ms);
        !self.has_predecessor || leadership.follows_settled_leader || have_arrived
    }

    /// When this machine was first seen to lead in a term, within its lease.
    fn leading_since(&self, term: Term) -> Option<Millis> {
        self.leading_since.filter(|(led_term, _)| *led_term == term).map(|(_, since)| since)
    }
}
