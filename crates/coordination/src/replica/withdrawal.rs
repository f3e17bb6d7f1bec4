//! Voters that end in order: they leave the membership first, where another store can take their place.

use super::{Effects, Outgoing, Replica, Role};
use crate::types::{Member, Message, Millis, StoreId, Term};

/// How long a voter's request to leave counts, unless it is repeated.
const LEAVE_REQUEST_TTL_MS: Millis = 1_000;
/// A learner that was not heard for so long is not counted on to take a voter's place.
const LEARNER_TIMEOUT_MS: Millis = 600;

/// What became of this replica's request to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Departure {
    /// There is no answer yet.
    #[default]
    AwaitingReply,
    /// Another store is about to take its place.
    AwaitingReplacement,
    /// It is out of the membership, or no store could take its place: the process may end.
    Permitted,
}

impl Replica {
    /// This replica's process is about to end. Called repeatedly, until [`Replica::departure`] permits the
    /// end.
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

    /// What became of this replica's request to leave.
    pub fn departure(&self) -> Departure {
        self.departure
    }

    /// Whether a voter has asked this leader lately to be taken out of the membership.
    pub fn is_leaving(&self, now: Millis, id: StoreId) -> bool {
        self.leave_requests.get(&id).is_some_and(|requested_at| now < requested_at + LEAVE_REQUEST_TTL_MS)
    }

    /// Stores without a vote that this leader has heard lately.
    pub fn learners(&self, now: Millis) -> impl Iterator<Item = StoreId> {
        let learners = self.peers.values().filter(|peer| !self.membership.contains(peer.member.id));
        learners.filter(move |peer| now < peer.last_heard_at + LEARNER_TIMEOUT_MS).map(|peer| peer.member.id)
    }

    /// Whether the membership will go on without that voter as soon as it can.
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
