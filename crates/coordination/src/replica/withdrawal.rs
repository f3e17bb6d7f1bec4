//! Orderly shutdown of a voter: it leaves the membership first, if another store can take its place.

use super::{Effects, Outgoing, Replica, Role};
use crate::types::{Member, Message, Millis, StoreId, Term};

/// How long a voter's request to leave stays valid unless the voter repeats it.
const LEAVE_REQUEST_TTL_MS: Millis = 1_000;
/// A learner that was not heard for this long is not considered as a voter's replacement.
const LEARNER_TIMEOUT_MS: Millis = 600;

/// The outcome of this replica's request to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Departure {
    /// The leader has not answered yet.
    #[default]
    AwaitingReply,
    /// The membership is about to go on without the replica.
    AwaitingReplacement,
    /// The replica is out of the membership, or no store can take its place: the process may end.
    Permitted,
}

impl Replica {
    /// Requests that this replica be removed from the membership before its process ends. The caller repeats
    /// the call until [`Replica::departure`] returns [`Departure::Permitted`].
    pub fn leave(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::default();
        if !self.membership.contains(self.me.id) {
            self.departure = Departure::Permitted;
            return effects;
        }
        if self.role == Role::Leader {
            self.leave_requests.insert(self.me.id, now);
            self.departure = Departure::from_reply(self.will_replace(now, self.me.id));
        } else if let Some(leader) = self.leader.clone() {
            effects.messages.push(Outgoing { to: leader, message: Message::Leave, after_save: false });
        }
        effects
    }

    /// The outcome of this replica's request to leave.
    pub fn departure(&self) -> Departure {
        self.departure
    }

    /// Whether a voter has asked this leader to leave and the request is still valid.
    pub fn is_leaving(&self, now: Millis, id: StoreId) -> bool {
        self.leave_requests.get(&id).is_some_and(|requested_at| now < requested_at + LEAVE_REQUEST_TTL_MS)
    }

    /// The stores without a vote that this leader has heard within the learner timeout.
    pub fn learners(&self, now: Millis) -> impl Iterator<Item = StoreId> {
        let learners = self.peers.values().filter(|peer| !self.membership.contains(peer.member.id));
        learners.filter(move |peer| now < peer.last_heard_at + LEARNER_TIMEOUT_MS).map(|peer| peer.member.id)
    }

    /// Whether the leader will remove the voter from the membership as soon as it can.
    fn will_replace(&self, now: Millis, id: StoreId) -> bool {
        let is_even = self.membership.voters.len().is_multiple_of(2) && self.membership.voters.len() > 2;
        let can_change = self.membership.is_joint() || is_even || self.learners(now).next().is_some();
        self.membership.contains(id) && can_change
    }

    pub(super) fn on_leave(&mut self, now: Millis, from: Member, effects: &mut Effects) {
        if self.role != Role::Leader {
            return;
        }
        self.leave_requests.insert(from.id, now);
        let replacing = self.will_replace(now, from.id);
        let message = Message::LeaveReply { term: self.durable.term, replacing };
        effects.messages.push(Outgoing { to: from, message, after_save: false });
    }

    pub(super) fn on_leave_reply(&mut self, term: Term, replacing: bool) {
        if term == self.durable.term {
            self.departure = Departure::from_reply(replacing);
        }
    }
}

impl Departure {
    fn from_reply(replacing: bool) -> Departure {
        if replacing { Departure::AwaitingReplacement } else { Departure::Permitted }
    }
}
