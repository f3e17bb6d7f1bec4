//! Model servers, their order status and load, from Cap'n Proto.

use super::{Decoded, text, texts};
use crate::internal_capnp as wire;
use crate::message::{
    ExpectedModel, LoadedModel, ModelServer, ModelServerLoad, ModelServerState, OrderStatus, WithheldModel,
};

fn read_model(model: wire::loaded_model::Reader<'_>) -> Decoded<LoadedModel> {
    let (name, adapters) = (text(model.get_name()?)?, texts(model.get_adapters()?)?);
    Ok(LoadedModel { name, version: model.get_version(), adapters })
}

pub(super) fn read_server(server: wire::model_server::Reader<'_>) -> Decoded<ModelServer> {
    Ok(ModelServer {
        instance: text(server.get_instance()?)?,
        backend: text(server.get_backend()?)?,
        address: text(server.get_address()?)?,
        zone: text(server.get_zone()?)?,
        version: text(server.get_version()?)?,
        capacity: server.get_capacity(),
        state: match server.get_state()? {
            wire::ModelServerState::Ready => ModelServerState::Ready,
            wire::ModelServerState::Draining => ModelServerState::Draining,
            wire::ModelServerState::Removed => ModelServerState::Removed,
        },
        cold_remaining_ms: server.get_cold_remaining_ms(),
        remaining_ms: server.get_remaining_ms(),
        models: server.get_models()?.iter().map(read_model).collect::<Decoded<_>>()?,
        sequence: server.get_sequence(),
        busy: server.get_busy(),
    })
}

pub(super) fn read_servers(
    list: capnp::struct_list::Reader<'_, wire::model_server::Owned>,
) -> Decoded<Vec<ModelServer>> {
    list.iter().map(read_server).collect()
}

pub(super) fn read_order_status(status: wire::order_status::Reader<'_>) -> Decoded<OrderStatus> {
    let read_withheld = |withheld: wire::withheld_model::Reader<'_>| {
        let (model, adapter) = (text(withheld.get_model()?)?, text(withheld.get_adapter()?)?);
        Ok(WithheldModel { model, adapter })
    };
    let models = || status.get_models()?.iter().map(read_model).collect::<Decoded<_>>();
    Ok(OrderStatus {
        instance: text(status.get_instance()?)?,
        withheld: status.get_withheld()?.iter().map(read_withheld).collect::<Decoded<_>>()?,
        models: status.get_reported().then(models).transpose()?,
        busy: status.get_busy(),
    })
}

pub(super) fn read_expected(expected: wire::expected_model::Reader<'_>) -> Decoded<ExpectedModel> {
    let (backend, model) = (text(expected.get_backend()?)?, text(expected.get_model()?)?);
    Ok(ExpectedModel { backend, model, ready_in_ms: expected.get_ready_in_ms() })
}

pub(super) fn read_load(load: wire::model_server_load::Reader<'_>) -> Decoded<ModelServerLoad> {
    let instance = text(load.get_instance()?)?;
    Ok(ModelServerLoad {
        instance,
        in_flight: load.get_in_flight(),
        failed: load.get_failed(),
        answered: load.get_answered(),
        error_permille: load.get_error_permille(),
    })
}
