//! Tests the cost of one pass of placement by the number of its allocations, which is the same on every
//! machine and at any load.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::model_server;
use pathbank_control::configuration::{Backend, Model, Runtime};
use pathbank_control::demand::DemandTable;
use pathbank_control::directory::CachedWeights;
use pathbank_control::placement::Placer;
use pathbank_protocol::message::{EdgeReport, LoadedModel, ModelDemand, ModelServer};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The planned size of the system.
const SERVERS: usize = 1_200;
const MODELS: usize = 1_900;
const MODELS_PER_SERVER: usize = 3;
/// Enough to count the models of each server and to examine it a few times. Examining each server for each
/// model takes hundreds.
const MAX_ALLOCATIONS_PER_SERVER: usize = 40;

fn backend() -> Backend {
    let model = |number| Model {
        name: format!("m{number}"),
        weights_mb: 72_700.0,
        load_s: 4.3,
        adapters: 0,
        adapter_mb: 66.0,
    };
    let runtime = Runtime {
        capacity: 24.0,
        kv_capacity: 90_000.0,
        models: (0..MODELS).map(model).collect(),
        weights_mb: 220_000.0,
        max_adapters: 8,
        loads_per_s: 4.0,
        stride: 3.0,
    };
    Backend {
        name: "llm".into(),
        health_path: None,
        max_connections: None,
        runtime: Some(runtime),
        autoscaling: None,
    }
}

fn server(number: usize) -> ModelServer {
    let loaded = |position: usize| LoadedModel {
        name: format!("m{}", (number * MODELS_PER_SERVER + position) % MODELS),
        version: 1,
        adapters: Vec::new(),
    };
    ModelServer {
        address: format!("10.0.{}.{}:80", number / 200, number % 200),
        zone: format!("z{}", number % 4),
        capacity: 24,
        models: (0..MODELS_PER_SERVER).map(loaded).collect(),
        ..model_server(number, &[])
    }
}

/// Demand for every model; the first models have the most.
fn demand(now: u64) -> DemandTable {
    let of_model = |number: usize| ModelDemand {
        backend: "llm".into(),
        model: format!("m{number}"),
        adapter: String::new(),
        arrived: 2 + 400 / (number as u64 + 1),
        tokens: 3_000,
        waiting: 0,
        ..ModelDemand::default()
    };
    let mut table = DemandTable::default();
    let demand = (0..MODELS).map(of_model).collect();
    table.record(now, &EdgeReport { edge: "edge".into(), demand, ..EdgeReport::default() });
    table
}

/// After all machines were killed, with three times the planned size, each pass of the new leader's event
/// loop took up to 70 ms. Its heartbeats were late, and it stepped down four times in half a second. For each
/// model with demand, placement computed the free memory and the values of the loaded models of every
/// instance anew: 105 ms of a whole processor core for 1,200 instances, 160 to 230 ms for 3,008.
#[test]
fn a_placement_pass_does_not_cost_models_times_servers() {
    let now = 100_000;
    let (backends, demand) = ([backend()], demand(now));
    let servers: Vec<ModelServer> = (0..SERVERS).map(server).collect();
    let mut placer = Placer::new();
    for pass in 0..3 {
        let region = Region::new(ALLOCATOR);
        let orders =
            placer.plan(now + 100 * pass, &backends, &servers, &demand, &CachedWeights::default()).len();
        let made = region.change();
        let allocations = made.allocations + made.reallocations;
        println!("look {pass}: {allocations} allocations, {orders} orders");
        assert!(allocations < MAX_ALLOCATIONS_PER_SERVER * SERVERS, "look {pass}: {allocations} allocations");
    }
}
