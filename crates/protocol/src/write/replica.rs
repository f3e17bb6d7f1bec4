//! Messages between the replicas of the log, to Cap'n Proto.

use crate::internal_capnp as wire;
use pathbank_coordination::types::{Entry, Member, Membership, Message, Payload, SnapshotChunk};

pub(super) fn write_member(member: &Member, mut out: wire::member::Builder<'_>) {
    out.set_id(member.id.0);
    out.set_name(&member.name);
    out.set_address(&member.address);
    out.set_control_address(&member.control_address);
}

fn write_membership(membership: &Membership, mut out: wire::membership::Builder<'_>) {
    write_list!(membership.voters, out.reborrow().init_voters(membership.voters.len() as u32), write_member);
    write_list!(membership.outgoing, out.init_outgoing(membership.outgoing.len() as u32), write_member);
}

fn write_entry(entry: &Entry, mut out: wire::entry::Builder<'_>) {
    out.set_index(entry.index);
    out.set_term(entry.term);
    let mut payload = out.init_payload();
    match &entry.payload {
        Payload::LeaderStart(name) => payload.set_leader_start(name),
        Payload::Membership(membership) => write_membership(membership, payload.init_membership()),
        Payload::Command(bytes) => payload.set_command(bytes),
    }
}

fn write_snapshot_chunk(part: &SnapshotChunk, mut out: wire::replica_message::snapshot_chunk::Builder<'_>) {
    out.set_offset(part.offset);
    out.set_bytes(&part.bytes);
    out.set_sent_at(part.sent_at);
    let mut id = out.init_id();
    id.set_index(part.id.index);
    id.set_length(part.id.length);
    id.set_checksum(part.id.checksum);
}

pub(super) fn write_replica(from: &Member, message: &Message, mut out: wire::replica_message::Builder<'_>) {
    write_member(from, out.reborrow().init_from());
    match message {
        Message::VoteRequest { term, pre, leadership_transfer, last_index, last_term } => {
            out.set_term(*term);
            let mut request = out.init_vote_request();
            request.set_pre(*pre);
            request.set_handover(*leadership_transfer);
            request.set_last_index(*last_index);
            request.set_last_term(*last_term);
        }
        Message::VoteReply { term, pre, granted } => {
            out.set_term(*term);
            let mut reply = out.init_vote_reply();
            reply.set_pre(*pre);
            reply.set_granted(*granted);
        }
        Message::Append { term, previous_index, previous_term, entries, commit, sent_at } => {
            out.set_term(*term);
            let mut append = out.init_append();
            append.set_previous_index(*previous_index);
            append.set_previous_term(*previous_term);
            append.set_commit(*commit);
            append.set_sent_at(*sent_at);
            write_list!(entries, append.init_entries(entries.len() as u32), write_entry);
        }
        Message::AppendReply { term, accepted, index, sent_at } => {
            out.set_term(*term);
            let mut reply = out.init_append_reply();
            reply.set_accepted(*accepted);
            reply.set_index(*index);
            reply.set_sent_at(*sent_at);
        }
        Message::SnapshotChunk(part) => {
            out.set_term(part.term);
            write_snapshot_chunk(part, out.init_snapshot_chunk());
        }
        Message::SnapshotReply { term, index, received, sent_at } => {
            out.set_term(*term);
            let mut reply = out.init_snapshot_reply();
            reply.set_index(*index);
            reply.set_received(*received);
            reply.set_sent_at(*sent_at);
        }
        Message::CampaignNow { term, calls_settled } => {
            out.set_term(*term);
            out.set_calls_settled(*calls_settled);
            out.set_campaign_now(());
        }
        Message::Join => out.set_join(()),
        Message::Leave => out.set_leave(()),
        Message::LeaveReply { term, replacing } => {
            out.set_term(*term);
            out.init_leave_reply().set_waits(*replacing);
        }
    }
}
