//! Model servers for tests.

use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerState};

/// A ready model server `i-NUMBER` of the service `llm` with these models loaded.
pub fn model_server(number: usize, models: &[&str]) -> ModelServer {
    let loaded = |name: &&str| LoadedModel { name: (*name).into(), version: 1, adapters: Vec::new() };
    ModelServer {
        instance: format!("i-{number}"),
        backend: "llm".into(),
        address: format!("10.0.0.{number}:80"),
        zone: "z".into(),
        version: "v1".into(),
        capacity: 64,
        state: ModelServerState::Ready,
        cold_remaining_ms: 0,
        remaining_ms: 0,
        models: models.iter().map(loaded).collect(),
        sequence: 1,
        busy: false,
    }
}
