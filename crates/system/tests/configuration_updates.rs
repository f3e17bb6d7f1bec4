//! Configuration updates bring every edge to the newest configuration, whichever it has. A full configuration
//! is encoded once.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::document::Document;
use pathbank_control::edge_update::EdgeUpdate;
use pathbank_control::routes::RouteTable;
use pathbank_protocol::codec::{self, SharedMessage};
use pathbank_protocol::framing::take_body;
use pathbank_protocol::message::{Frame, Hello, ProcessRole};
use pathbank_system::core::configuration_updates::ConfigurationUpdates;
use serde_json::{Value, json};

const ROUTES: u64 = 60;

/// A document that has one route more with each version.
fn document(version: u64) -> Document {
    let route = |number: u64| {
        json!({ "name": format!("r{number}"), "hostname": "shop.example", "path_prefix": format!("/{number}/"),
            "type": "non_idempotent", "timeout_ms": 100 + version, "target_latency_ms": 50, "priority": 0,
            "backend": "app", "max_attempts": 1 })
    };
    let routes: Vec<Value> = (0..ROUTES + version).map(route).collect();
    let document = json!({ "version": version, "routes": routes, "backends": [{ "name": "app" }] });
    Document::from(document.as_object().unwrap().clone())
}

fn hello() -> Hello {
    Hello {
        role: ProcessRole::Edge,
        name: "e".into(),
        zone: "z".into(),
        incarnation: 1,
        accepts_compression: true,
        compares_states: false,
        command_format: 0,
    }
}

/// An edge's route table after a message. A message that does not apply to the table changes nothing.
fn apply_message(table: &RouteTable, message: &SharedMessage) -> RouteTable {
    let mut bytes = message.to(&hello()).to_vec();
    let frame = codec::decode(&take_body(&mut bytes).unwrap().unwrap()).unwrap();
    let Frame::Configuration(update) = frame else { panic!("{frame:?}") };
    if !table.accepts(update.index, update.base_index) {
        return table.clone();
    }
    table.with_update(update.index, EdgeUpdate::read(&update.document, update.base_index == 0).unwrap())
}

/// Publishes versions, `apart_ms` after one another. Returns the updates, and the messages that an edge
/// without a configuration gets after each version.
fn publish_versions(versions: u64, apart_ms: u64) -> (ConfigurationUpdates, Vec<Vec<SharedMessage>>) {
    let mut updates = ConfigurationUpdates::default();
    let mut full_updates = Vec::new();
    for version in 1..=versions {
        let document = document(version);
        updates.record(version, &document, 200);
        updates.publish(version, &document);
        let update = updates.update_from(1_000 + version * apart_ms, 0);
        assert!(update.is_full);
        full_updates.push(update.messages);
    }
    (updates, full_updates)
}

#[test]
fn updates_lead_from_any_configuration_to_the_newest() {
    let (mut updates, full_updates) = publish_versions(40, 100);
    for (version, messages) in (1..).zip(&full_updates) {
        let table =
            messages.iter().fold(RouteTable::default(), |table, message| apply_message(&table, message));
        assert_eq!((table.index, table.version), (version, version));
        assert!(table.route("shop.example", &format!("/{}/x", ROUTES + version - 1)).is_some());
        let update = updates.update_from(9_000, version);
        assert!(!update.is_full, "from version {version}");
        let table = update.messages.iter().fold(table, |table, message| apply_message(&table, message));
        assert_eq!((table.index, table.version), (40, 40), "from version {version}");
    }
    assert!(updates.update_from(9_000, 41).messages.is_empty(), "no update leads to an older configuration");
}

#[test]
fn a_full_configuration_is_encoded_once_in_two_seconds() {
    let (_, full_updates) = publish_versions(40, 100);
    let mut encoded: Vec<*const u8> =
        full_updates.iter().map(|messages| messages[0].to(&hello()).as_ptr()).collect();
    encoded.dedup();
    assert_eq!(encoded.len(), 2, "40 versions in four seconds");
}

#[test]
fn an_expired_full_configuration_is_encoded_again() {
    let (_, full_updates) = publish_versions(5, 3_000);
    assert!(full_updates.iter().all(|messages| messages.len() == 1), "each is the newest alone");
}
