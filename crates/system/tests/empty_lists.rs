//! A list of the configuration that is there and empty is not one that is absent: at the edges of the real program,
//! by changes, whole configurations and restarts.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{System, call, document, until};
use pathbank_system::local::Process;
use serde_json::{Value, json};

const HELD_KEY: &str = "key-1";
const UNKNOWN_KEY: &str = "key-that-nobody-holds";

fn update(system: &System, base: u64, body: &Value) {
    let base = base.to_string();
    until("the update is taken", || {
        system.control.iter().any(|address| {
            let headers = [("X-Pathbank-Base-Version", base.as_str())];
            call(*address, "POST", "/api/config/update", &headers, &body.to_string())
                .is_some_and(|answer| answer.status == 200)
        })
    });
}

fn status(system: &System, key: &str) -> Option<u16> {
    system.ask("/app/x", "id-1", key, &[], "").map(|answer| answer.status)
}

/// The configuration of [`document`] with this list of tenants; `None`: without a list.
fn with_tenants(version: u64, tenants: Option<Value>) -> String {
    let mut configuration: Value = serde_json::from_str(&document(version)).unwrap();
    match tenants {
        Some(tenants) => configuration["tenants"] = tenants,
        None => drop(configuration.as_object_mut().unwrap().remove("tenants")),
    }
    configuration.to_string()
}

/// Guards against routes that are open to every key once the last tenant is taken away.
#[test]
fn no_key_passes_once_the_last_tenant_is_taken_away() {
    let mut system = System::started();
    system.server("i-app", "app", &[]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/app/x", "id-first", &[]);
    assert_eq!(status(&system, UNKNOWN_KEY), Some(401));
    update(&system, 3, &json!({ "version": 5, "delete": { "tenants": ["tenant-1"] } }));
    let is_closed =
        |system: &System| [HELD_KEY, UNKNOWN_KEY].map(|key| status(system, key)) == [Some(401); 2];
    until("the dropped key is refused", || status(&system, HELD_KEY) == Some(401));
    assert!(is_closed(&system), "a change");
    system.local.edges[0].process.kill();
    system.local.start().expect("the program starts");
    until("an edge that fetched the whole configuration refuses both keys", || is_closed(&system));
    system.local.cores.iter_mut().for_each(Process::kill);
    system.local.edges[0].process.kill();
    system.local.start().expect("the program starts");
    until("after a restart of all processes both keys are refused", || is_closed(&system));
    system.configure(5, &with_tenants(7, None));
    until("without a list of tenants no key is needed", || status(&system, UNKNOWN_KEY) == Some(200));
    system.configure(7, &with_tenants(9, Some(json!([]))));
    until("a whole configuration with an empty list refuses both keys", || is_closed(&system));
}

/// Guards against a need for keys that comes into being by an update that adds no tenant.
#[test]
fn an_update_that_adds_no_tenant_leaves_routes_open_that_need_no_key() {
    let system = System::started();
    system.server("i-app", "app", &[]);
    system.configure(0, &with_tenants(3, None));
    system.until_ready();
    until("no key is needed", || status(&system, UNKNOWN_KEY) == Some(200));
    until("all cores decode the newest commands", || {
        (0..3).all(|core| system.status(core).is_some_and(|status| status["command_format"] == 2))
    });
    let empty = json!({ "version": 5, "upsert": { "tenants": [] }, "delete": { "tenants": ["none"], "routes": ["r3"] } });
    update(&system, 3, &empty);
    until("the update is in force", || {
        system.ask("/sealed/x", "id-2", "", &[], "").is_some_and(|answer| answer.status == 404)
    });
    assert_eq!(status(&system, UNKNOWN_KEY), Some(200));
    assert!(system.read_configuration().unwrap().get("tenants").is_none());
}

/// Guards against a model server that counts as holding nothing because a heartbeat says nothing of its models.
#[test]
fn a_heartbeat_without_models_leaves_what_the_server_holds_as_it_was() {
    let system = System::started();
    until("a leader", || system.leader().is_some());
    let mut sequence = 0;
    let mut beat = |models: Option<Value>| {
        sequence += 1;
        let mut body = json!({ "backend": "llm", "address": "127.0.0.1:9", "zone": "z1", "capacity": 4,
                               "state": "ready", "sequence": sequence });
        if let Some(models) = models {
            body["models"] = models;
        }
        let answer =
            call(system.control[0], "POST", "/api/instances/i-1/heartbeat", &[], &body.to_string()).unwrap();
        assert_eq!(answer.status, 200);
    };
    let models_at = |core: usize| {
        let answer = call(system.control[core], "GET", "/api/bricks", &[], "").unwrap();
        let servers: Value = serde_json::from_str(&answer.body).unwrap();
        servers[0]["models"].as_array().map(Vec::len)
    };
    beat(Some(json!([{ "name": "m1", "version": 1, "adapters": ["a1"] }])));
    assert_eq!(models_at(0), Some(1));
    beat(None);
    assert_eq!(models_at(0), Some(1));
    until("the other cores hear the same", || (0..3).all(|core| models_at(core) == Some(1)));
    beat(Some(json!([])));
    assert_eq!(models_at(0), Some(0));
}
