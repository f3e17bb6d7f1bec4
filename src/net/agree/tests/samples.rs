//! The values in `tests/fixtures/agreement`, as the program that wrote the fixtures had them.

use crate::agree::archive::Verification;
use crate::agree::document::{DocumentChange, Edit, EditRejection, Repeats, Value};
use crate::agree::document_state::DocumentState;
use crate::agree::voter::{PersistentChange, Voters};
use crate::agree::{Command, Entry, HolderId, Index, Message};
use crate::net::agree::database::Record;
use crate::net::agree::wire::{
    MessageEnvelope, MessageReply, ProposalOutcome, RecordsReply, RecordsRequest, StateReply, StateRequest,
    VoterStatus,
};
use std::collections::BTreeMap;

pub const VOTER: u64 = 71;

fn edit(id: u64, document: &str, base: u64, field: &str, value: Option<Value>) -> Command {
    let changes = BTreeMap::from([(field.to_string(), value)]);
    let parts = BTreeMap::from([(document.to_string(), DocumentChange { base, changes })]);
    Command::Edit(Edit {
        id,
        parts,
        who: "ops".into(),
        why: "a fixture".into(),
        at_ms: 1_764_000_000_000 + id,
    })
}

pub fn voters() -> Voters {
    Voters::from([(VOTER, "10.0.0.1:7000".to_string()), (72, "10.0.0.2:7000".to_string())])
}

/// A log of fourteen entries with each kind of command and value, an edit that is rejected and one that is not in
/// force.
pub fn entries() -> Vec<Entry> {
    let commands = [
        (1, Command::Noop),
        (1, edit(1, "plan/gold", 0, "limit", Some(Value::Limit { rate: 120.5, least: 20.0 }))),
        (1, Command::ActivateUpTo(2)),
        (1, edit(2, "class/read", 0, "attempts", Some(Value::Attempts(3)))),
        (1, edit(3, "class/read", 1, "repeats", Some(Value::Repeats(Repeats::Keyed)))),
        (1, edit(4, "nodes", 0, "n7", Some(Value::Node(false)))),
        (1, Command::ActivateUpTo(6)),
        (2, Command::Noop),
        (2, Command::Voters(voters())),
        (2, Command::ActivateUpTo(9)),
        (2, edit(5, "plan/gold", 0, "limit", Some(Value::Limit { rate: 1.0, least: 1.0 }))),
        (2, edit(6, "volumes", 0, "1f", Some(Value::Plain("gold".into())))),
        (3, Command::Noop),
        (3, edit(7, "plan/gold", 1, "limit", Some(Value::Limit { rate: 60.0, least: 10.0 }))),
    ];
    commands.into_iter().map(|(term, command)| Entry { term, command }).collect()
}

pub fn state(to: usize) -> DocumentState {
    let mut state = DocumentState::default();
    entries()[..to].iter().for_each(|entry| state.apply(entry));
    state
}

/// The batches that the voter saved; it then moved older entries to the archive.
pub fn batches() -> Vec<Vec<PersistentChange>> {
    let append_all =
        (1..).zip(entries()).map(|(index, entry)| PersistentChange::Append(index, entry)).collect();
    vec![
        vec![
            PersistentChange::Vote { term: 1, voted: Some(VOTER) },
            PersistentChange::PeerIncarnation(72, 5 << 32 | 77),
        ],
        append_all,
        vec![PersistentChange::Vote { term: 3, voted: Some(72) }, PersistentChange::Barrier(9)],
        vec![PersistentChange::Snapshot { state: Box::new(state(11)), term: 2, replaces_after: None }],
    ]
}

pub const KEEP: u64 = 4;

fn record(index: Index) -> Record {
    let hex = |byte: &u8| format!("{byte:02x}");
    let digest = state(index as usize).digest().iter().map(hex).collect();
    Record { index, digest, entry: entries()[index as usize - 1].clone() }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

/// Each kind of message, including answers to operators, by name.
#[allow(clippy::too_many_lines, reason = "a table of samples")]
pub fn messages() -> Vec<(&'static str, String)> {
    let holder = HolderId { head: "n1".into(), start: 1_764_000_000_123_456 };
    let message = |message: Message| json(&message);
    let messages = vec![
        Message::VoteReply { pre: false, term: 4, granted: true },
        Message::AppendReply { term: 4, accepted: false, matched: 0, cleared: 9 },
    ];
    vec![
        ("message", message(Message::VoteRequest { pre: true, term: 4, last_index: 14, last_term: 3 })),
        ("message", message(Message::VoteReply { pre: true, term: 4, granted: false })),
        (
            "message",
            message(Message::AppendRequest {
                term: 3,
                previous_index: 0,
                previous_term: 0,
                entries: entries(),
                commit: 13,
            }),
        ),
        ("message", message(Message::Snapshot { term: 3, last_term: 2, state: Box::new(state(11)) })),
        ("message", message(Message::AppendReply { term: 3, accepted: true, matched: 14, cleared: 12 })),
        ("message", message(Message::LeaseRequest { holder, requested_at: 5_000_001, prepared: 12 })),
        (
            "message",
            message(Message::LeaseReply {
                start: 1_764_000_000_123_456,
                requested_at: 5_000_001,
                granted: true,
                after: 11,
                snapshot: Some(Box::new(state(11))),
                entries: entries()[11..].to_vec(),
            }),
        ),
        (
            "message",
            message(Message::LeaseReply {
                start: 1,
                requested_at: 2,
                granted: false,
                after: 14,
                snapshot: None,
                entries: Vec::new(),
            }),
        ),
        (
            "said",
            json(&MessageEnvelope {
                from: VOTER,
                incarnation: 2 << 32 | 9,
                message: Message::VoteRequest { pre: false, term: 4, last_index: 14, last_term: 3 },
            }),
        ),
        ("heard", json(&MessageReply { incarnation: 3 << 32 | 8, messages })),
        (
            "edit",
            match &entries()[1].command {
                Command::Edit(edit) => json(edit),
                _ => String::new(),
            },
        ),
        ("voters", json(&voters())),
        ("proposed", json(&ProposalOutcome::Entry(14))),
        ("proposed", json(&ProposalOutcome::NotLeader(Some(72)))),
        ("proposed", json(&ProposalOutcome::NotLeader(None))),
        ("proposed", json(&ProposalOutcome::Unknown)),
        ("proposed", json(&ProposalOutcome::NotNow("later".into()))),
        (
            "proposed",
            json(&ProposalOutcome::Rejected(EditRejection::Conflict(vec!["plan/gold.limit".into()]))),
        ),
        ("proposed", json(&ProposalOutcome::Rejected(EditRejection::Ahead))),
        (
            "proposed",
            json(&ProposalOutcome::Rejected(EditRejection::Fault { field: "f".into(), what: "w".into() })),
        ),
        ("proposed", json(&ProposalOutcome::Rejected(EditRejection::Kind { field: "f".into() }))),
        ("proposed", json(&ProposalOutcome::Rejected(EditRejection::Empty))),
        ("proposed", json(&ProposalOutcome::Rejected(EditRejection::Full))),
        (
            "status",
            json(&VoterStatus {
                id: VOTER,
                incarnation: 2,
                term: 3,
                leader: Some(72),
                last: 14,
                commit: 13,
                prepared: 12,
                active: 9,
                digest: record(13).digest,
                voters: voters(),
                disk_bytes: 1_589_248,
            }),
        ),
        ("ledger asked", json(&StateRequest { linearizable: true })),
        ("ledger", json(&StateReply::State(Box::new(state(14))))),
        ("ledger", json(&StateReply::NotLeader(Some(72)))),
        ("ledger", json(&StateReply::Unknown)),
        ("records asked", json(&RecordsRequest { after: 12, most: 1_000 })),
        ("records", json(&RecordsReply { records: vec![record(13), record(14)], commit: 14 })),
        ("verified", json(&Verification { entries: 10, last: 14, gaps: vec![(1, 4)], corrupt: Some(12) })),
    ]
}
