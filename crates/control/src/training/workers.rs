//! Which bricks are the workers of a training step, and how many of them have to go on serving.

use crate::configuration::Runtime;
use crate::order_progress::OrderKind;
use crate::placement::{Operation, Order};
use pathbank_protocol::message::Brick;
use pathbank_rollout::step::StepRequest;
use std::collections::BTreeSet;

/// Of the bricks that hold a model, so many go on serving while its version changes.
const SERVING_PART: f64 = 0.7;

/// The bricks that a step is prepared with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workers {
    /// Their incarnations.
    pub chosen: BTreeSet<String>,
    /// Of the chosen ones, so many serve at any time.
    pub serving_floor: usize,
}

/// Chooses a step's workers among the bricks that are ready. Those that are workers already stay, then come those that
/// hold the model, then those that have room for it. `changing`: bricks that are being brought to another version, which
/// hold the model soon again.
pub fn choose(
    request: &StepRequest,
    runtime: &Runtime,
    bricks: &[Brick],
    before: &BTreeSet<String>,
    changing: &BTreeSet<String>,
) -> Workers {
    let of_service: Vec<&Brick> = bricks.iter().filter(|brick| brick.backend == request.backend).collect();
    let holds = |brick: &Brick| {
        changing.contains(&brick.instance) || brick.models.iter().any(|held| held.name == request.model)
    };
    let holders = of_service.iter().filter(|brick| holds(brick)).count();
    let wanted = request.workers.of(holders).max(request.floor as usize);
    let mut able: Vec<&Brick> =
        of_service.into_iter().filter(|brick| holds(brick) || has_room(brick, request, runtime)).collect();
    able.sort_by_key(|brick| (!before.contains(&brick.instance), !holds(brick), brick.instance.clone()));
    able.truncate(wanted);
    let holders_chosen = able.iter().filter(|brick| holds(brick)).count();
    let floor_of_all = (SERVING_PART * holders as f64) as usize;
    Workers {
        chosen: able.iter().map(|brick| brick.instance.clone()).collect(),
        serving_floor: floor_of_all.saturating_sub(holders - holders_chosen),
    }
}

/// Whether a brick has room for the model beside what it holds.
fn has_room(brick: &Brick, request: &StepRequest, runtime: &Runtime) -> bool {
    load_order(brick, &request.model, runtime).fits(runtime, &brick.models)
}

/// The order to load a model as a whole.
pub fn load_order(brick: &Brick, model: &str, runtime: &Runtime) -> Order {
    let known = runtime.models.iter().find(|known| known.name == model);
    let expected_ms = known.map_or(0, |known| (known.load_s * 1_000.0) as u64);
    order(brick, model, Operation::Load, expected_ms)
}

/// The order to drop a model. It waits for the model's requests to end.
pub fn unload_order(brick: &Brick, model: &str) -> Order {
    order(brick, model, Operation::Unload, 0)
}

fn order(brick: &Brick, model: &str, operation: Operation, expected_ms: u64) -> Order {
    let kind = match operation {
        Operation::Load => OrderKind::Fetch,
        Operation::Unload => OrderKind::Unload,
    };
    Order {
        backend: brick.backend.clone(),
        instance: brick.instance.clone(),
        address: brick.address.clone(),
        operation,
        model: model.to_owned(),
        adapter: String::new(),
        kind,
        told_ms: expected_ms,
        expected_ms,
        report_only: true,
    }
}
