//! Chooses the workers of a training step among the model servers, and how many of them have to go on
//! serving.

use crate::configuration::Runtime;
use crate::order::{Operation, Order, OrderKind};
use pathbank_protocol::message::ModelServer;
use pathbank_rollout::step::StepRequest;
use std::collections::BTreeSet;

/// The fraction of a model's replicas that go on serving while its version changes.
const SERVING_FRACTION: f64 = 0.7;

/// The workers of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workers {
    /// Their instances.
    pub chosen: BTreeSet<String>,
    /// The least number of them that serve requests at any time.
    pub serving_floor: usize,
}

/// Chooses a step's workers among the ready model servers: first those in `before`, which are its workers
/// already, then those with the model loaded, then those with the memory for it. `changing` are model servers
/// that change the model's version and will have it loaded again.
pub fn choose(
    request: &StepRequest,
    runtime: &Runtime,
    servers: &[ModelServer],
    before: &BTreeSet<String>,
    changing: &BTreeSet<String>,
) -> Workers {
    let candidates: Vec<&ModelServer> =
        servers.iter().filter(|server| server.backend == request.backend).collect();
    let has_model = |server: &ModelServer| {
        changing.contains(&server.instance) || server.models.iter().any(|loaded| loaded.name == request.model)
    };
    let replicas = candidates.iter().filter(|server| has_model(server)).count();
    let wanted = request.workers.of(replicas).max(request.min_workers as usize);
    let mut able: Vec<&ModelServer> = candidates
        .into_iter()
        .filter(|server| has_model(server) || has_memory(server, request, runtime))
        .collect();
    able.sort_by_key(|server| {
        (!before.contains(&server.instance), !has_model(server), server.instance.clone())
    });
    able.truncate(wanted);
    let replicas_chosen = able.iter().filter(|server| has_model(server)).count();
    let serving_floor = (SERVING_FRACTION * replicas as f64) as usize;
    Workers {
        chosen: able.iter().map(|server| server.instance.clone()).collect(),
        serving_floor: serving_floor.saturating_sub(replicas - replicas_chosen),
    }
}

/// Whether a model server has the memory for the model.
fn has_memory(server: &ModelServer, request: &StepRequest, runtime: &Runtime) -> bool {
    load_order(server, &request.model, runtime).check(runtime, &server.models).is_ok()
}

/// The order to load a model on a worker.
pub fn load_order(server: &ModelServer, model: &str, runtime: &Runtime) -> Order {
    let known = runtime.models.iter().find(|known| known.name == model);
    let expected_ms = known.map_or(0, |known| (known.load_s * 1_000.0) as u64);
    order(server, model, Operation::Load, expected_ms)
}

/// The order to unload a model from a worker, which waits for the model's requests to end.
pub fn unload_order(server: &ModelServer, model: &str) -> Order {
    order(server, model, Operation::Unload, 0)
}

fn order(server: &ModelServer, model: &str, operation: Operation, expected_ms: u64) -> Order {
    let kind = match operation {
        Operation::Load => OrderKind::Fetch,
        Operation::Unload => OrderKind::Unload,
    };
    Order {
        backend: server.backend.clone(),
        instance: server.instance.clone(),
        address: server.address.clone(),
        operation,
        model: model.to_owned(),
        adapter: String::new(),
        kind,
        configured_ms: expected_ms,
        expected_ms,
        report_only: true,
    }
}
