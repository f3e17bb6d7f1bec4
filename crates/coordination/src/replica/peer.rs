//! What a leader knows of another replica.

use super::snapshot_transfer::Transfer;
use crate::consensus::replication_progress::ReplicationProgress;
use crate::types::{Index, Member, Millis};

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) progress: ReplicationProgress,
    /// When the leader sent the newest message that the peer has answered, by the leader's clock. The lease
    /// is computed from it.
    pub(super) last_answered_sent_at: Millis,
    /// When the peer last asked to join or answered a message.
    pub(super) last_heard_at: Millis,
    /// When the leader sent entries that the peer has not answered yet.
    pub(super) in_flight_since: Option<Millis>,
    /// The snapshot transfer to the peer, if one is in progress.
    pub(super) transfer: Option<Transfer>,
}

impl Peer {
    /// A peer of whose log nothing is known yet; `last` is the leader's last index.
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

    /// Records the peer's reply to a message that the leader sent at `sent_at`.
    pub(super) fn record_reply(&mut self, now: Millis, member: &Member, sent_at: Millis) {
        self.last_heard_at = now;
        self.last_answered_sent_at = self.last_answered_sent_at.max(sent_at);
        self.member = member.clone();
    }
}
