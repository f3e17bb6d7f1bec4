//! Values that the program which wrote `tests/fixtures/agreement` put there.

use crate::agree::archive::Verified;
use crate::agree::document::{Edit, Part, Rejected, Repeats, Value};
use crate::agree::ledger::Ledger;
use crate::agree::voter::{Save, Voters};
use crate::agree::{Command, Entry, HolderId, Index, Message};
use crate::net::agree::disk::Record;
use crate::net::agree::wire::{
    Heard, LedgerAsked, LedgerTold, Proposed, RecordsAsked, RecordsTold, Said, Status,
};
use std::collections::BTreeMap;

pub const VOTER: u64 = 71;

fn edit(id: u64, document: &str, base: u64, field: &str, value: Option<Value>) -> Command {
    let changes = BTreeMap::from([(field.to_string(), value)]);
    let parts = BTreeMap::from([(document.to_string(), Part { base, changes })]);
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

/// A log of fourteen entries: each kind of command and of value, an edit that is refused and one that is not in force.
pub fn entries() -> Vec<Entry> {
    let commands = [
        (1, Command::Begin),
        (1, edit(1, "plan/gold", 0, "limit", Some(Value::Limit { rate: 120.5, least: 20.0 }))),
        (1, Command::Activate(2)),
        (1, edit(2, "class/read", 0, "attempts", Some(Value::Attempts(3)))),
        (1, edit(3, "class/read", 1, "repeats", Some(Value::Repeats(Repeats::Keyed)))),
        (1, edit(4, "nodes", 0, "n7", Some(Value::Node(false)))),
        (1, Command::Activate(6)),
        (2, Command::Begin),
        (2, Command::Voters(voters())),
        (2, Command::Activate(9)),
        (2, edit(5, "plan/gold", 0, "limit", Some(Value::Limit { rate: 1.0, least: 1.0 }))),
        (2, edit(6, "volumes", 0, "1f", Some(Value::Plain("gold".into())))),
        (3, Command::Begin),
        (3, edit(7, "plan/gold", 1, "limit", Some(Value::Limit { rate: 60.0, least: 10.0 }))),
    ];
    commands.into_iter().map(|(term, command)| Entry { term, command }).collect()
}

pub fn ledger(to: usize) -> Ledger {
    let mut ledger = Ledger::default();
    entries()[..to].iter().for_each(|entry| ledger.apply(entry));
    ledger
}

/// What the voter saved, batch by batch; its older entries leave for the archive afterwards.
pub fn batches() -> Vec<Vec<Save>> {
    let put = (1..).zip(entries()).map(|(index, entry)| Save::Put(index, entry)).collect();
    vec![
        vec![Save::Vote { term: 1, voted: Some(VOTER) }, Save::Known(72, 5 << 32 | 77)],
        put,
        vec![Save::Vote { term: 3, voted: Some(72) }, Save::Barrier(9)],
        vec![Save::Snapshot { ledger: Box::new(ledger(11)), term: 2, whole: None }],
    ]
}

pub const KEEP: u64 = 4;

fn record(index: Index) -> Record {
    let hex = |byte: &u8| format!("{byte:02x}");
    let digest = ledger(index as usize).digest().iter().map(hex).collect();
    Record { index, digest, entry: entries()[index as usize - 1].clone() }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

/// Each kind of message, and of what operators are answered, by name.
pub fn messages() -> Vec<(&'static str, String)> {
    let holder = HolderId { head: "n1".into(), start: 1_764_000_000_123_456 };
    let message = |message: Message| json(&message);
    let messages = vec![
        Message::Voted { pre: false, term: 4, yes: true },
        Message::Appended { term: 4, yes: false, matched: 0, cleared: 9 },
    ];
    vec![
        ("message", message(Message::Vote { pre: true, term: 4, last: 14, last_term: 3 })),
        ("message", message(Message::Voted { pre: true, term: 4, yes: false })),
        (
            "message",
            message(Message::Append { term: 3, before: 0, before_term: 0, entries: entries(), commit: 13 }),
        ),
        ("message", message(Message::Snapshot { term: 3, last_term: 2, ledger: Box::new(ledger(11)) })),
        ("message", message(Message::Appended { term: 3, yes: true, matched: 14, cleared: 12 })),
        ("message", message(Message::Renew { holder, asked: 5_000_001, prepared: 12 })),
        (
            "message",
            message(Message::Granted {
                start: 1_764_000_000_123_456,
                asked: 5_000_001,
                yes: true,
                after: 11,
                snapshot: Some(Box::new(ledger(11))),
                entries: entries()[11..].to_vec(),
            }),
        ),
        (
            "message",
            message(Message::Granted {
                start: 1,
                asked: 2,
                yes: false,
                after: 14,
                snapshot: None,
                entries: Vec::new(),
            }),
        ),
        (
            "said",
            json(&Said {
                from: VOTER,
                starts: 2 << 32 | 9,
                message: Message::Vote { pre: false, term: 4, last: 14, last_term: 3 },
            }),
        ),
        ("heard", json(&Heard { starts: 3 << 32 | 8, messages })),
        (
            "edit",
            match &entries()[1].command {
                Command::Edit(edit) => json(edit),
                _ => String::new(),
            },
        ),
        ("voters", json(&voters())),
        ("proposed", json(&Proposed::Entry(14))),
        ("proposed", json(&Proposed::NotLeader(Some(72)))),
        ("proposed", json(&Proposed::NotLeader(None))),
        ("proposed", json(&Proposed::Unknown)),
        ("proposed", json(&Proposed::NotNow("later".into()))),
        ("proposed", json(&Proposed::Rejected(Rejected::Conflict(vec!["plan/gold.limit".into()])))),
        ("proposed", json(&Proposed::Rejected(Rejected::Ahead))),
        ("proposed", json(&Proposed::Rejected(Rejected::Fault { field: "f".into(), what: "w".into() }))),
        ("proposed", json(&Proposed::Rejected(Rejected::Kind { field: "f".into() }))),
        ("proposed", json(&Proposed::Rejected(Rejected::Empty))),
        ("proposed", json(&Proposed::Rejected(Rejected::Full))),
        (
            "status",
            json(&Status {
                id: VOTER,
                starts: 2,
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
        ("ledger asked", json(&LedgerAsked { sure: true })),
        ("ledger", json(&LedgerTold::Ledger(Box::new(ledger(14))))),
        ("ledger", json(&LedgerTold::NotLeader(Some(72)))),
        ("ledger", json(&LedgerTold::Unknown)),
        ("records asked", json(&RecordsAsked { after: 12, most: 1_000 })),
        ("records", json(&RecordsTold { records: vec![record(13), record(14)], commit: 14 })),
        ("verified", json(&Verified { entries: 10, last: 14, gaps: vec![(1, 4)], wrong: Some(12) })),
    ]
}
