//! Model servers of one service, of which each completes its orders at once, and demand for their models.

use crate::common::model_server;
use pathbank_control::configuration::{Backend, Model, Runtime};
use pathbank_control::demand::DemandTable;
use pathbank_control::directory::CachedWeights;
use pathbank_control::order::{Operation, Order};
use pathbank_control::placement::Placer;
use pathbank_protocol::message::{EdgeReport, LoadedModel, ModelDemand, ModelServer};

pub const WEIGHTS_MB: f64 = 70_000.0;
/// The prefill time of a request.
pub const PREFILL_MS: u64 = 60;
pub const SHORT_PREFILL_MS: u64 = 4;
/// How long an answer occupies a slot.
pub const SLOT_TIME_MS: u64 = 1_500;
/// The latency objective of requests: shorter than a load.
pub const OBJECTIVE_MS: u32 = 1_000;

pub fn backends(models: &[&str]) -> Vec<Backend> {
    let model = |name: &&str| Model {
        name: (*name).into(),
        weights_mb: WEIGHTS_MB,
        load_s: 4.0,
        adapters: 9,
        adapter_mb: 66.0,
    };
    let runtime = Runtime {
        capacity: 64.0,
        kv_capacity: 100_000.0,
        models: models.iter().map(model).collect(),
        weights_mb: 220_000.0,
        max_adapters: 2,
        loads_per_s: 4.0,
        stride: 3.0,
    };
    let backend = Backend {
        name: "llm".into(),
        health_path: None,
        max_connections: None,
        runtime: Some(runtime),
        autoscaling: None,
    };
    vec![backend]
}

pub fn runtime(backends: &[Backend]) -> &Runtime {
    backends[0].runtime.as_ref().unwrap()
}

pub fn report_demand(
    demand: &mut DemandTable,
    now: u64,
    model: &str,
    adapter: &str,
    arrived: u64,
    waiting: u32,
) {
    let kind = RequestKind { prefill_ms: PREFILL_MS, objective_ms: OBJECTIVE_MS };
    report_demand_of_kind(demand, now, (model, adapter), (arrived, waiting), kind);
}

/// What requests are like.
#[derive(Clone, Copy)]
pub struct RequestKind {
    /// The prefill time of a request, milliseconds.
    pub prefill_ms: u64,
    pub objective_ms: u32,
}

/// Reports requests of a kind.
pub fn report_demand_of_kind(
    demand: &mut DemandTable,
    now: u64,
    (model, adapter): (&str, &str),
    (arrived, waiting): (u64, u32),
    RequestKind { prefill_ms, objective_ms }: RequestKind,
) {
    let demand_of_model = ModelDemand {
        backend: "llm".into(),
        model: model.into(),
        adapter: adapter.into(),
        arrived,
        tokens: 1_500 * arrived,
        waiting,
        prefill_ms: prefill_ms * arrived,
        slot_time_ms: SLOT_TIME_MS * arrived,
        objective_ms,
    };
    let report = EdgeReport { edge: "edge".into(), demand: vec![demand_of_model], ..EdgeReport::default() };
    demand.record(now, &report);
}

/// Model servers that complete orders at once.
pub struct Scenario {
    pub backends: Vec<Backend>,
    pub servers: Vec<ModelServer>,
    pub demand: DemandTable,
    pub placer: Placer,
    pub cached_weights: CachedWeights,
    pub now: u64,
    pub orders: Vec<(u64, Order)>,
    pub kind: RequestKind,
}

impl Scenario {
    pub fn new(models: &[&str], loaded: &[&[&str]]) -> Scenario {
        let servers: Vec<ModelServer> =
            loaded.iter().enumerate().map(|(number, loaded)| model_server(number, loaded)).collect();
        let mut cached_weights = CachedWeights::default();
        for server in &servers {
            let names = server.models.iter().map(|model| model.name.clone());
            cached_weights.insert(server.address.clone(), names.collect());
        }
        Scenario {
            backends: backends(models),
            servers,
            demand: DemandTable::default(),
            placer: Placer::new(),
            cached_weights,
            now: 100_000,
            orders: Vec::new(),
            kind: RequestKind { prefill_ms: PREFILL_MS, objective_ms: OBJECTIVE_MS },
        }
    }

    /// Runs one pass of placement. Its orders end before the next pass.
    pub fn run_pass(&mut self) {
        self.now += 100;
        let orders =
            self.placer.plan(self.now, &self.backends, &self.servers, &self.demand, &self.cached_weights);
        for order in orders {
            self.apply_order(&order);
            self.placer.clear_order(&order.instance);
            self.orders.push((self.now, order));
        }
    }

    pub fn apply_order(&mut self, order: &Order) {
        let runtime = runtime(&self.backends).clone();
        let server = self.servers.iter_mut().find(|server| server.instance == order.instance).unwrap();
        match (order.operation, order.adapter.is_empty()) {
            (Operation::Load, whole) => {
                assert_eq!(order.check(&runtime, &server.models), Ok(()), "{order:?}");
                if whole {
                    let name = order.model.clone();
                    server.models.push(LoadedModel { name, version: 1, adapters: Vec::new() });
                } else {
                    let loaded = server.models.iter_mut().find(|loaded| loaded.name == order.model).unwrap();
                    loaded.adapters.push(order.adapter.clone());
                }
            }
            (Operation::Unload, true) => server.models.retain(|loaded| loaded.name != order.model),
            (Operation::Unload, false) => server
                .models
                .iter_mut()
                .for_each(|loaded| loaded.adapters.retain(|adapter| *adapter != order.adapter)),
        }
    }

    /// Runs steady demand. `rates`: models, and the requests for each in every tenth of a second.
    pub fn run_demand(&mut self, milliseconds: u64, rates: &[(&str, u64)]) {
        for _ in 0..milliseconds / 100 {
            for (model, arrived) in rates {
                let missing = u32::from(self.replicas(model) == 0) * *arrived as u32;
                let (now, kind) = (self.now, self.kind);
                report_demand_of_kind(&mut self.demand, now, (model, ""), (*arrived, missing), kind);
            }
            self.run_pass();
        }
    }

    pub fn replicas(&self, model: &str) -> usize {
        self.servers.iter().filter(|server| server.models.iter().any(|loaded| loaded.name == model)).count()
    }

    pub fn loads_between(&self, from: u64, to: u64) -> usize {
        let loads = self.orders.iter().filter(|(at, order)| {
            *at >= from && *at < to && order.operation == Operation::Load && order.adapter.is_empty()
        });
        loads.count()
    }
}
