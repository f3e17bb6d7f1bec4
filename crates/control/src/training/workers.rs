//! Which model servers are the workers of a training step, and how many of them have to go on serving.

use crate::configuration::Runtime;
use crate::order::{Operation, Order, OrderKind};
use pathbank_protocol::message::ModelServer;
use pathbank_rollout::step::StepRequest;
use std::collections::BTreeSet;

/// Of the model servers that hold a model, so many go on serving while its version changes.
const SERVING_PART: f64 = 0.7;

/// The model servers that a step is prepared with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workers {
    /// Their incarnations.
    pub chosen: BTreeSet<String>,
    /// Of the chosen ones, so many serve at any time.
    pub serving_floor: usize,
}

/// Chooses a step's workers among the model servers that are ready. Those that are workers already stay, then
/// come those that hold the model, then those that have room for it. `changing`: model servers that are being
/// brought to another version, which hold the model soon again.
pub fn choose(
    request: &StepRequest,
    runtime: &Runtime,
    servers: &[ModelServer],
    before: &BTreeSet<String>,
    changing: &BTreeSet<String>,
) -> Workers {
    let of_service: Vec<&ModelServer> =
        servers.iter().filter(|server| server.backend == request.backend).collect();
    let holds = |server: &ModelServer| {
        changing.contains(&server.instance) || server.models.iter().any(|held| held.name == request.model)
    };
    let holders = of_service.iter().filter(|server| holds(server)).count();
    let wanted = request.workers.of(holders).max(request.min_workers as usize);
    let mut able: Vec<&ModelServer> =
        of_service.into_iter().filter(|server| holds(server) || has_room(server, request, runtime)).collect();
    able.sort_by_key(|server| (!before.contains(&server.instance), !holds(server), server.instance.clone()));
    able.truncate(wanted);
    let holders_chosen = able.iter().filter(|server| holds(server)).count();
    let floor_of_all = (SERVING_PART * holders as f64) as usize;
    Workers {
        chosen: able.iter().map(|server| server.instance.clone()).collect(),
        serving_floor: floor_of_all.saturating_sub(holders - holders_chosen),
    }
}

/// Whether a model server has room for the model beside what it holds.
fn has_room(server: &ModelServer, request: &StepRequest, runtime: &Runtime) -> bool {
    load_order(server, &request.model, runtime).fits(runtime, &server.models)
}

/// The order to load a model as a whole.
pub fn load_order(server: &ModelServer, model: &str, runtime: &Runtime) -> Order {
    let known = runtime.models.iter().find(|known| known.name == model);
    let expected_ms = known.map_or(0, |known| (known.load_s * 1_000.0) as u64);
    order(server, model, Operation::Load, expected_ms)
}

/// The order to drop a model. It waits for the model's requests to end.
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
