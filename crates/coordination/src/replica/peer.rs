//! What a leader knows of another replica.

use super::snapshot_transfer::Transfer;
use crate::consensus::replication_progress::ReplicationProgress;
use crate::types::{Index, Member, Millis};

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) progress: ReplicationProgress,
    /// When the newest message that it answered was sent, by this leader's clock. The lease rests on it.
    pub(super) last_answered_sent_at: Millis,
    /// When it last joined or answered.
    pub(super) last_heard_at: Millis,
    /// When entries that it has not answered were sent.
    pub(super) in_flight_since: Option<Millis>,
    /// A snapshot that is on its way to it.
    pub(super) transfer: Option<Transfer>,
}

impl Peer {
    /// A replica of whose log nothing is known yet.
    pub(super) fn new(member: Member, last: Index, now: Millis) -> Peer {
        Peer {
            member,
            progress: ReplicationProgress::after(last),
            last_answered_sent_at: 0,
            last_heard_at: now,
            in_flight_since: None,
            transfer: None,
        }
    }

    /// It answered a message that was sent at `sent_at`.
    pub(super) fn record_reply(&mut self, now: Millis, member: &Member, sent_at: Millis) {
        self.last_heard_at = now;
        self.last_answered_sent_at = self.last_answered_sent_at.max(sent_at);
        self.member = member.clone();
    }
}
