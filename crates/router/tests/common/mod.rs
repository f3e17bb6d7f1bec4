//! Shared by the tests of the dispatcher: model servers, offers, and a dispatcher with its time.

#![allow(dead_code, reason = "no test program uses all of it")]

use pathbank_control::result_code::ResultCode;
use pathbank_protocol::message::{
    ExpectedModel, LoadedModel, ModelServer, ModelServerState, ModelServerUpdate,
};
use pathbank_router::dispatcher::{Action, Dispatcher, Offer};
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::prompt::{ModelName, TokenCount};
use std::collections::BTreeSet;

pub fn server(instance: &str, models: &[&str]) -> ModelServer {
    let loaded = |name: &&str| LoadedModel { name: (*name).into(), version: 1, adapters: vec!["a1".into()] };
    ModelServer {
        instance: instance.into(),
        backend: "llm".into(),
        address: format!("{instance}:80"),
        zone: "here".into(),
        version: "v1".into(),
        capacity: 2,
        state: ModelServerState::Ready,
        cold_remaining_ms: 0,
        remaining_ms: 0,
        models: models.iter().map(loaded).collect(),
        sequence: 1,
        busy: false,
    }
}

pub fn offer(id: u64, model: &str, arrived: u64) -> Offer {
    Offer {
        id,
        backend: "llm".into(),
        name: ModelName::parse(model),
        tokens: TokenCount { input: 1_000, output: 50 },
        parts: Vec::new(),
        arrived,
        deadline: arrived + 10_000,
        abandon_at: arrived + 10_000,
        target_latency_ms: 1_000,
        target_gap_ms: 0,
        load_ms: Some(800),
        granted: None,
        excluded: BTreeSet::new(),
        resumable: false,
        urgency: 0,
        version: None,
    }
}

pub struct Scenario {
    pub dispatcher: Dispatcher,
    pub now: u64,
}

impl Scenario {
    pub fn new(servers: Vec<ModelServer>) -> Scenario {
        let mut scenario = Scenario { dispatcher: Dispatcher::new("here".into(), 7), now: 1_000 };
        scenario.update_servers(servers);
        scenario
    }

    pub fn update_servers(&mut self, servers: Vec<ModelServer>) -> Vec<Action> {
        self.dispatcher.update_servers(self.now, ModelServerUpdate { complete: true, servers })
    }

    pub fn request(&mut self, id: u64, model: &str) -> Vec<Action> {
        let offer = offer(id, model, self.now);
        self.dispatcher.offer(self.now, offer, true)
    }

    pub fn advance(&mut self, milliseconds: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..milliseconds / 20 {
            self.now += 20;
            actions.extend(self.dispatcher.tick(self.now));
        }
        actions
    }

    pub fn finish(&mut self, id: u64, outcome: AttemptOutcome) -> Vec<Action> {
        self.dispatcher.finish(self.now, id, outcome)
    }
}

pub fn sent(actions: &[Action]) -> Vec<(u64, String)> {
    let send = |action: &Action| match action {
        Action::Send { id, instance, .. } => Some((*id, instance.clone())),
        Action::Reject { .. } | Action::Evacuate { .. } => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn rejected(actions: &[Action]) -> Vec<(u64, ResultCode, u64)> {
    let reject = |action: &Action| match action {
        Action::Reject { id, code, retry_after } => Some((*id, *code, *retry_after)),
        Action::Send { .. } | Action::Evacuate { .. } => None,
    };
    actions.iter().filter_map(reject).collect()
}

pub fn expected(model: &str, ready_in_ms: u32) -> Vec<ExpectedModel> {
    vec![ExpectedModel { backend: "llm".into(), model: model.into(), ready_in_ms }]
}
