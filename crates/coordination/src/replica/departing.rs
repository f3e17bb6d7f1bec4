//! Voters that end in order: they leave the group by agreement first, where another store can take their
//! place.

use super::{Effects, Outgoing, Replica, Role};
use crate::types::{Member, Message, Millis, StoreId, Term};

/// A voter's wish to leave lapses after this, unless it is repeated, milliseconds.
const WISH_LASTS: Millis = 1_000;
/// A store that said nothing for so long is not counted on to take a voter's place, milliseconds.
const LEARNER_SILENCE: Millis = 600;

/// What became of this replica's wish to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Departure {
    /// Nobody has answered yet.
    #[default]
    AwaitingReply,
    /// Another store is about to take its place.
    AwaitingReplacement,
    /// It is out of the group, or nobody could take its place: it may end.
    Permitted,
}

impl Replica {
    /// This replica is about to end. Called again and again, until [`Replica::departure`] says that it may.
    pub fn leave(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::default();
        if !self.membership.contains(self.me.id) {
            self.departure = Departure::Permitted;
            return effects;
        }
        if self.role == Role::Leader {
            self.leaving.insert(self.me.id, now);
            self.departure = if self.is_replacing(now, self.me.id) {
                Departure::AwaitingReplacement
            } else {
                Departure::Permitted
            };
        } else if let Some(leader) = self.leader.clone() {
            effects.messages.push(Outgoing { to: leader, message: Message::Leave, after_save: false });
        }
        effects
    }

    /// What became of this replica's wish to leave.
    pub fn departure(&self) -> Departure {
        self.departure
    }

    /// Whether a voter wants to leave.
    pub fn is_leaving(&self, now: Millis, id: StoreId) -> bool {
        self.leaving.get(&id).is_some_and(|asked| now < asked + WISH_LASTS)
    }

    /// Stores outside the group that this leader has heard of lately.
    pub fn learners(&self, now: Millis) -> impl Iterator<Item = StoreId> {
        let outside = self.progress.values().filter(|other| !self.membership.contains(other.member.id));
        outside.filter(move |other| now < other.heard + LEARNER_SILENCE).map(|other| other.member.id)
    }

    /// Whether the group will go on without a voter as soon as it can.
    fn is_replacing(&self, now: Millis, id: StoreId) -> bool {
        let is_even = self.membership.voters.len().is_multiple_of(2) && self.membership.voters.len() > 2;
        let changes = self.membership.is_joint() || is_even || self.learners(now).next().is_some();
        self.membership.contains(id) && changes
    }

    pub(super) fn on_leave(&mut self, now: Millis, from: Member, effects: &mut Effects) {
        if self.role != Role::Leader {
            return;
        }
        self.leaving.insert(from.id, now);
        let replacing = self.is_replacing(now, from.id);
        let message = Message::LeaveReply { term: self.durable.term, replacing };
        effects.messages.push(Outgoing { to: from, message, after_save: false });
    }

    pub(super) fn on_leave_reply(&mut self, term: Term, replacing: bool) {
        if term == self.durable.term {
            self.departure = if replacing { Departure::AwaitingReplacement } else { Departure::Permitted };
        }
    }
}
