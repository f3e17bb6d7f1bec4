//! What edges are sent of the configuration leads each of them to the newest, whatever it has; the whole is
//! made ready once.

use pathbank_control::document::Document;
use pathbank_control::edge_update::EdgeUpdate;
use pathbank_control::routes::RouteTable;
use pathbank_protocol::codec::{self, SharedMessage};
use pathbank_protocol::framing::take_body;
use pathbank_protocol::message::{Frame, Hello, ProcessRole};
use pathbank_system::core::configuration_updates::ConfigurationUpdates;
use serde_json::{Value, json};

const ROUTES: u64 = 60;

/// A document in which one route more is served with each version.
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
    }
}

/// What an edge makes of a message; one that does not lead on changes nothing.
fn taken_over(table: &RouteTable, message: &SharedMessage) -> RouteTable {
    let mut bytes = message.to(&hello()).to_vec();
    let frame = codec::decode(&take_body(&mut bytes).unwrap().unwrap()).unwrap();
    let Frame::Configuration(update) = frame else { panic!("{frame:?}") };
    if !table.accepts(update.index, update.base_index) {
        return table.clone();
    }
    table.with_update(update.index, EdgeUpdate::read(&update.document, update.base_index == 0).unwrap())
}

/// A head that has told edges of so many versions, and what edges got that had nothing at each of them.
fn told(versions: u64, apart_ms: u64) -> (ConfigurationUpdates, Vec<Vec<SharedMessage>>) {
    let mut updates = ConfigurationUpdates::default();
    let mut wholes = Vec::new();
    for version in 1..=versions {
        let document = document(version);
        updates.record(version, &document, 200);
        updates.publish(version, &document);
        let update = updates.update_from(1_000 + version * apart_ms, 0);
        assert!(update.is_full);
        wholes.push(update.messages);
    }
    (updates, wholes)
}

#[test]
fn an_edge_comes_to_the_newest_from_whatever_it_has() {
    let (mut updates, wholes) = told(40, 100);
    for (version, messages) in (1..).zip(&wholes) {
        let table = messages.iter().fold(RouteTable::default(), |table, message| taken_over(&table, message));
        assert_eq!((table.index, table.version), (version, version));
        assert!(table.route("shop.example", &format!("/{}/x", ROUTES + version - 1)).is_some());
        let update = updates.update_from(9_000, version);
        assert!(!update.is_full, "from version {version}");
        let table = update.messages.iter().fold(table, |table, message| taken_over(&table, message));
        assert_eq!((table.index, table.version), (40, 40), "from version {version}");
    }
    assert!(updates.update_from(9_000, 41).messages.is_empty(), "nothing leads back");
}

#[test]
fn a_whole_configuration_is_made_ready_once_in_two_seconds() {
    let (_, wholes) = told(40, 100);
    let mut made: Vec<*const u8> = wholes.iter().map(|messages| messages[0].to(&hello()).as_ptr()).collect();
    made.dedup();
    assert_eq!(made.len(), 2, "40 versions in four seconds");
}

#[test]
fn one_that_was_made_ready_long_ago_is_made_anew() {
    let (_, wholes) = told(5, 3_000);
    assert!(wholes.iter().all(|messages| messages.len() == 1), "each is the newest alone");
}
