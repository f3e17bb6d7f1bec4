//! Tests of the choice of a step's workers among the model servers.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::model_server;
use pathbank_control::configuration::{Model, Runtime};
use pathbank_control::training::workers::{Workers, choose};
use pathbank_protocol::message::ModelServer;
use pathbank_rollout::step::{RequestedWorkers, StepRequest};
use std::collections::BTreeSet;
use test_case::test_case;

fn server(instance: &str, models: &[&str]) -> ModelServer {
    ModelServer { instance: instance.into(), capacity: 8, ..model_server(1, models) }
}

/// Model servers with memory for two models.
fn runtime() -> Runtime {
    let model =
        |name: &str| Model { name: name.into(), weights_mb: 40.0, load_s: 1.0, adapters: 0, adapter_mb: 0.0 };
    Runtime {
        capacity: 8.0,
        kv_capacity: 0.0,
        models: ["m", "n", "o"].map(model).to_vec(),
        weights_mb: 90.0,
        max_adapters: 0,
        loads_per_s: 2.0,
        stride: 1.0,
    }
}

fn request(workers: RequestedWorkers, floor: u32) -> StepRequest {
    StepRequest { backend: "llm".into(), workers, ..StepRequest::new("key", "m", floor) }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Ten model servers with the model, one with memory for it, and one without.
fn servers() -> Vec<ModelServer> {
    let mut servers: Vec<ModelServer> = (0..10).map(|number| server(&format!("w{number}"), &["m"])).collect();
    servers.push(server("room", &["n"]));
    servers.push(server("full", &["n", "o"]));
    servers
}

#[test_case(RequestedWorkers::All, 1, 10, 7; "all servers with the model")]
#[test_case(RequestedWorkers::Count(4), 1, 4, 1; "four of ten, while six others serve")]
#[test_case(RequestedWorkers::Permille(500), 1, 5, 2; "half of the servers with the model")]
#[test_case(RequestedWorkers::Count(2), 3, 3, 0; "at least the floor")]
#[test_case(RequestedWorkers::Count(11), 1, 11, 7; "a server with free memory loads the model")]
#[test_case(RequestedWorkers::Count(12), 1, 11, 7; "no model is evicted for a step")]
fn the_requested_number_of_servers_are_workers(
    workers: RequestedWorkers,
    floor: u32,
    chosen: usize,
    serving_floor: usize,
) {
    let found = choose(&request(workers, floor), &runtime(), &servers(), &names(&[]), &names(&[]));
    assert_eq!((found.chosen.len(), found.serving_floor), (chosen, serving_floor), "{found:?}");
    assert!(!found.chosen.contains("full"));
}

#[test]
fn earlier_workers_are_chosen_first() {
    let before = names(&["w7", "w9", "gone"]);
    let found = choose(&request(RequestedWorkers::Count(3), 1), &runtime(), &servers(), &before, &names(&[]));
    assert_eq!(found.chosen, names(&["w0", "w7", "w9"]));
}

#[test]
fn a_worker_that_changes_versions_still_counts() {
    let servers = [server("a", &["m"]), server("b", &[])];
    let request = request(RequestedWorkers::All, 1);
    let found = choose(&request, &runtime(), &servers, &names(&[]), &names(&["b"]));
    assert_eq!(found, Workers { chosen: names(&["a", "b"]), serving_floor: 1 });
}

#[test]
fn servers_of_another_service_are_not_chosen() {
    let other = ModelServer { backend: "other".into(), ..server("x", &["m"]) };
    let request = request(RequestedWorkers::All, 1);
    let found = choose(&request, &runtime(), &[other], &names(&[]), &names(&[]));
    assert_eq!(found.chosen, names(&[]));
}
