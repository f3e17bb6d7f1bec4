//! Model servers, their order status and load, to Cap'n Proto.

use crate::internal_capnp as wire;
use crate::message::{
    ExpectedModel, LoadedModel, ModelServer, ModelServerLoad, ModelServerState, OrderStatus, WithheldModel,
};

fn write_model(model: &LoadedModel, mut out: wire::loaded_model::Builder<'_>) {
    out.set_name(&model.name);
    out.set_version(model.version);
    let mut adapters = out.init_adapters(model.adapters.len() as u32);
    for (position, adapter) in model.adapters.iter().enumerate() {
        adapters.set(position as u32, adapter);
    }
}

pub(super) fn write_server(server: &ModelServer, mut out: wire::model_server::Builder<'_>) {
    out.set_instance(&server.instance);
    out.set_backend(&server.backend);
    out.set_address(&server.address);
    out.set_zone(&server.zone);
    out.set_version(&server.version);
    out.set_capacity(server.capacity);
    out.set_state(match server.state {
        ModelServerState::Ready => wire::ModelServerState::Ready,
        ModelServerState::Draining => wire::ModelServerState::Draining,
        ModelServerState::Removed => wire::ModelServerState::Removed,
    });
    out.set_cold_remaining_ms(server.cold_remaining_ms);
    out.set_remaining_ms(server.remaining_ms);
    out.set_sequence(server.sequence);
    out.set_busy(server.busy);
    write_list!(server.models, out.init_models(server.models.len() as u32), write_model);
}

pub(super) fn write_order_status(status: &OrderStatus, mut out: wire::order_status::Builder<'_>) {
    let write_withheld = |withheld: &WithheldModel, mut out: wire::withheld_model::Builder<'_>| {
        out.set_model(&withheld.model);
        out.set_adapter(&withheld.adapter);
    };
    out.set_instance(&status.instance);
    write_list!(status.withheld, out.reborrow().init_withheld(status.withheld.len() as u32), write_withheld);
    out.set_reported(status.models.is_some());
    out.set_busy(status.busy);
    if let Some(models) = &status.models {
        write_list!(models, out.init_models(models.len() as u32), write_model);
    }
}

pub(super) fn write_expected(expected: &ExpectedModel, mut out: wire::expected_model::Builder<'_>) {
    out.set_backend(&expected.backend);
    out.set_model(&expected.model);
    out.set_ready_in_ms(expected.ready_in_ms);
}

pub(super) fn write_load(load: &ModelServerLoad, mut out: wire::model_server_load::Builder<'_>) {
    out.set_instance(&load.instance);
    out.set_in_flight(load.in_flight);
    out.set_failed(load.failed);
    out.set_answered(load.answered);
    out.set_error_permille(load.error_permille);
}
