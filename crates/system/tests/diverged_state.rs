//! A core whose replicated state differs from that of its group sets it aside and goes on as a new store.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{System, document, until};
use pathbank_control::state::{Command, ControlState};
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::store::{DIVERGED_FILE, DIVERGED_STATE_FILE, LogFile};
use pathbank_coordination::types::{Payload, Snapshot};
use serde_json::Value;
use std::path::Path;

/// A field of the configuration as it is stored, and as the damaged core has it.
const FIELD: &str = "\"max_body_bytes\":1000";
const DAMAGED_FIELD: &str = "\"max_body_bytes\":1001";

/// Replaces the log of a stopped core by a snapshot in which one field is another one.
fn damage(folder: &Path) {
    let (mut log, opened) = LogFile::open(folder).unwrap();
    let mut durable = opened.durable;
    let data = damaged_state(&durable);
    let (index, term) = (durable.last_index(), durable.term_at(durable.last_index()).unwrap());
    let (membership, leaders) = (durable.initial.clone(), Vec::new());
    let snapshot = Snapshot { index, term, membership, leaders, data };
    durable.apply(Record::Snapshot { snapshot, keep_tail: false });
    log.rewrite(&durable).unwrap();
}

fn damaged_state(durable: &DurableState) -> Vec<u8> {
    let mut state = ControlState::decode(&durable.snapshot.data).unwrap();
    for entry in durable.log.entries() {
        if let Payload::Command(bytes) = &entry.payload {
            state.apply(entry.index, &Command::decode(bytes).unwrap()).unwrap();
        }
    }
    let encoded = String::from_utf8(state.encode()).unwrap();
    assert!(encoded.contains(FIELD));
    encoded.replace(FIELD, DAMAGED_FIELD).into_bytes()
}

#[test]
fn a_core_with_another_state_sets_it_aside_and_comes_back_with_the_groups() {
    let mut system = System::started();
    system.configure(0, &document(3));
    let mut leader = None;
    until("a core leads", || {
        leader = system.leader();
        leader.is_some()
    });
    let damaged = (0..3).find(|core| Some(*core) != leader).unwrap();
    let has_version =
        |system: &System| system.status(damaged).is_some_and(|status| status["configuration_version"] == 3);
    until("every core has the configuration", || has_version(&system));
    let before = system.status(damaged).unwrap();
    system.local.cores[damaged].kill();
    damage(&system.data(damaged));
    system.local.cores[damaged].start().unwrap();
    let aside = system.data(damaged).join(DIVERGED_FILE);
    until("the other state is set aside", || aside.exists());
    let state = std::fs::read_to_string(system.data(damaged).join(DIVERGED_STATE_FILE)).unwrap();
    assert!(state.contains(DAMAGED_FIELD), "engineers find the state that differed");
    until("the core has the configuration of the group", || has_version(&system));
    until("the core's state agrees", || {
        system.status(damaged).is_some_and(|status| status["state"]["verdict"] == "agrees")
    });
    let after = system.status(damaged).unwrap();
    let voters = |status: &Value| -> Vec<Value> {
        status["voters"].as_array().unwrap().iter().map(|voter| voter["store"].clone()).collect()
    };
    assert_ne!(voters(&before), voters(&after), "another store votes in its place");
    let served: Value = system.read_configuration().unwrap();
    assert_eq!(served["limits"]["max_body_bytes"], 1_000);
    assert_eq!(system.change(3, &document(4)), Some(200), "the group goes on");
}
