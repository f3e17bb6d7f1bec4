//! Models that model servers hold and the configuration does not name any more, with the real program.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{System, call, document, until};
use serde_json::{Value, json};

/// The configuration of [`document`] with these models, two of which fit a model server.
fn with_models(version: u64, models: &[&str]) -> String {
    let mut configuration: Value = serde_json::from_str(&document(version)).unwrap();
    let model = |name: &&str| json!({ "name": name, "weights_mb": 40.0, "load_s": 0.05, "adapters": 2, "adapter_mb": 1.0 });
    configuration["backends"][1]["runtime"]["models"] = models.iter().map(model).collect();
    configuration.to_string()
}

fn placement(system: &System) -> Option<Value> {
    let answer = call(system.control[system.leader()?], "GET", "/api/placement", &[], "")?;
    serde_json::from_str(&answer.body).ok()
}

/// Guards against a model that is never loaded, and requests for it that are never served, because all model servers
/// hold one that a change took away.
#[test]
fn a_model_is_loaded_where_one_is_resident_that_a_change_took_away() {
    let system = System::started();
    let servers = [system.server("i-1", "llm", &["m1", "old"]), system.server("i-2", "llm", &["m1", "old"])];
    system.configure(0, &with_models(3, &["m1", "old"]));
    system.until_ready();
    let ask = |model: &'static str, id: &str| {
        system.ask_until_served(
            "/llm/x",
            id,
            &[("X-Pathbank-Model", model), ("X-Pathbank-Token-Count", "10,10")],
        )
    };
    ask("old", "id-1");
    system.configure(3, &with_models(7, &["m1", "new"]));
    ask("new", "id-2");
    ask("new/a1", "id-3");
    ask("m1", "id-4");
    let holds =
        |name: &str| servers.iter().filter(|server| server.engine().models().contains_key(name)).count();
    assert!(holds("new") >= 1 && holds("old") <= 1 && holds("m1") >= 1);
    until("nothing that was planned was dropped for the model of unknown size", || {
        placement(&system)
            .is_some_and(|placement| placement["orders_dropped"].get("unconfigured_model").is_none())
    });
}
