//! A change that was prepared outside the event loop must have the same result as one that is applied
//! directly, whatever was applied between its preparation and its log entry. Replicas must have the same
//! digest, whether they applied all entries or a snapshot.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::state::{Change, ChangeKind, Command, ControlState};
use proptest::prelude::*;
use serde_json::{Value, json};

fn route(number: u64, timeout_ms: u64) -> Value {
    json!({ "name": format!("r{number}"), "hostname": "shop.example", "path_prefix": format!("/{number}/"),
            "type": "idempotent", "timeout_ms": timeout_ms, "priority": 1, "backend": "one", "max_attempts": 2 })
}

fn change(kind: ChangeKind, base: u64, body: &Value) -> Change {
    Change { kind, base, body: body.to_string() }
}

/// Changes that build on one of a few versions: valid, invalid, repeated, or without a JSON object.
fn changes() -> impl Strategy<Value = Change> {
    (0..5_u64, 0..5_u64, 0..4_u64, 0..6_u8).prop_map(|(base, version, number, form)| match form {
        0 => {
            let body = json!({ "version": version, "routes": [route(number, 100 + version)],
                               "backends": [{ "name": "one" }] });
            change(ChangeKind::Replace, base, &body)
        }
        1 => change(
            ChangeKind::Update,
            base,
            &json!({ "version": version, "upsert": { "routes": [route(number, 100)], "backends": [{ "name": "one" }] } }),
        ),
        2 => change(ChangeKind::Update, base, &json!({ "version": version, "delete": { "routes": [format!("r{number}")] } })),
        3 => change(
            ChangeKind::UpdateItems,
            base,
            &json!({ "version": version, "upsert": { "tenants": [] }, "delete": { "routes": [format!("r{number}")] } }),
        ),
        4 => change(ChangeKind::Replace, base, &json!({ "version": version, "routes": [route(number, 0)] })),
        _ => change(ChangeKind::Update, base, &json!([version])),
    })
}

fn encoded(state: &ControlState) -> String {
    String::from_utf8(state.encode()).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_prepared_change_has_the_same_result_as_a_direct_one(
        changes in proptest::collection::vec((changes(), 0..4_usize), 1..24),
    ) {
        let (mut at_once, mut prepared_before) = (ControlState::default(), ControlState::default());
        // The configurations of all entries so far, the newest last.
        let mut bases = vec![prepared_before.change_basis()];
        for (index, (change, entries_ago)) in (1..).zip(changes) {
            let basis = &bases[bases.len().saturating_sub(1 + entries_ago)];
            let expected = at_once.apply(index, &Command::Change(change.clone()));
            let result = match basis.prepare(&change) {
                Ok(prepared) => prepared_before.apply_prepared(index, &change, &prepared),
                Err(rejection) => Err(rejection),
            };
            prop_assert_eq!(result, expected);
            prop_assert_eq!(encoded(&prepared_before), encoded(&at_once));
            bases.push(prepared_before.change_basis());
        }
    }

    /// One replica receives a snapshot, another one applies every entry.
    #[test]
    fn a_state_from_a_snapshot_has_the_same_digest_as_one_that_applied_all_entries(
        changes in proptest::collection::vec((changes(), any::<bool>()), 1..24),
    ) {
        let (mut applied_all, mut restored) = (ControlState::default(), ControlState::default());
        for (index, (change, is_restored)) in (1..).zip(changes) {
            let command = Command::Change(change);
            prop_assert_eq!(restored.apply(index, &command), applied_all.apply(index, &command));
            if is_restored {
                restored = ControlState::decode(&restored.encode()).unwrap();
            }
            prop_assert_eq!(restored.digest(), applied_all.digest());
        }
    }
}
