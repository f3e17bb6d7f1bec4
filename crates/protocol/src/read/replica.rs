//! Messages between the replicas of the log, from Cap'n Proto.

use super::{Decoded, text};
use crate::internal_capnp as wire;
use pathbank_coordination::types::{
    Entry, Member, Membership, Message, Payload, SnapshotChunk, SnapshotId, StoreId, Term,
};

pub(super) fn read_member(member: wire::member::Reader<'_>) -> Decoded<Member> {
    Ok(Member {
        id: StoreId(member.get_id()),
        name: text(member.get_name()?)?,
        address: text(member.get_address()?)?,
        control_address: text(member.get_control_address()?)?,
    })
}

pub(super) fn read_members(
    list: capnp::struct_list::Reader<'_, wire::member::Owned>,
) -> Decoded<Vec<Member>> {
    list.iter().map(read_member).collect()
}

fn read_membership(membership: wire::membership::Reader<'_>) -> Decoded<Membership> {
    let voters = read_members(membership.get_voters()?)?;
    Ok(Membership { voters, outgoing: read_members(membership.get_outgoing()?)? })
}

fn read_entry(entry: wire::entry::Reader<'_>) -> Decoded<Entry> {
    use wire::entry::payload::Which;
    let payload = match entry.get_payload().which()? {
        Which::LeaderStart(name) => Payload::LeaderStart(text(name?)?),
        Which::Membership(membership) => Payload::Membership(read_membership(membership?)?),
        Which::Command(bytes) => Payload::Command(bytes?.to_vec()),
    };
    Ok(Entry { index: entry.get_index(), term: entry.get_term(), payload })
}

fn read_snapshot_chunk(
    term: Term,
    part: wire::replica_message::snapshot_chunk::Reader<'_>,
) -> Decoded<SnapshotChunk> {
    let id = part.get_id()?;
    Ok(SnapshotChunk {
        term,
        id: SnapshotId { index: id.get_index(), length: id.get_length(), checksum: id.get_checksum() },
        offset: part.get_offset(),
        bytes: part.get_bytes()?.to_vec(),
        sent_at: part.get_sent_at(),
    })
}

pub(super) fn read_replica(message: wire::replica_message::Reader<'_>) -> Decoded<(Member, Message)> {
    use wire::replica_message::Which;
    let from = read_member(message.get_from()?)?;
    let (term, calls_settled) = (message.get_term(), message.get_calls_settled());
    let message = match message.which()? {
        Which::VoteRequest(request) => Message::VoteRequest {
            term,
            pre: request.get_pre(),
            leadership_transfer: request.get_handover(),
            last_index: request.get_last_index(),
            last_term: request.get_last_term(),
        },
        Which::VoteReply(reply) => {
            Message::VoteReply { term, pre: reply.get_pre(), granted: reply.get_granted() }
        }
        Which::Append(append) => Message::Append {
            term,
            previous_index: append.get_previous_index(),
            previous_term: append.get_previous_term(),
            entries: append.get_entries()?.iter().map(read_entry).collect::<Decoded<_>>()?,
            commit: append.get_commit(),
            sent_at: append.get_sent_at(),
        },
        Which::AppendReply(reply) => Message::AppendReply {
            term,
            accepted: reply.get_accepted(),
            index: reply.get_index(),
            sent_at: reply.get_sent_at(),
        },
        Which::ObsoleteInstallSnapshot(_) => {
            return Err(capnp::Error::unimplemented("a complete snapshot in one message".into()).into());
        }
        Which::SnapshotChunk(part) => Message::SnapshotChunk(read_snapshot_chunk(term, part)?),
        Which::SnapshotReply(reply) => Message::SnapshotReply {
            term,
            index: reply.get_index(),
            received: reply.get_received(),
            sent_at: reply.get_sent_at(),
        },
        Which::CampaignNow(()) => Message::CampaignNow { term, calls_settled },
        Which::Join(()) => Message::Join,
        Which::Leave(()) => Message::Leave,
        Which::LeaveReply(reply) => Message::LeaveReply { term, replacing: reply.get_waits() },
    };
    Ok((from, message))
}
