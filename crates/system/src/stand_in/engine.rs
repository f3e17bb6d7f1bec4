//! What a stand-in model server holds and runs, as the published protocol has it. No clock of its own:
//! whoever calls says what time it is.

use serde::Deserialize;
use std::collections::BTreeMap;
use viz::StatusCode;

/// What is wrong with a stand-in model server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// Nothing.
    #[default]
    None,
    /// It draws from another version than it says, which a late event tells.
    Lies,
    /// Its answers tell no version.
    TellsNoVersion,
    /// Its next load does not end.
    LoadSticks,
    /// It takes the newest weights without an order.
    ReloadsByItself,
}

/// An order, as its body has it.
#[derive(Clone, Debug, Deserialize)]
pub struct OrderBody {
    operation: String,
    model: String,
    adapter: Option<String>,
    if_revision: Option<u64>,
}

/// A model that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The version of its weights.
    pub version: u64,
    /// Its adapters.
    pub adapters: Vec<String>,
}

/// An order under way.
#[derive(Clone, Debug)]
struct UnderWay {
    body: OrderBody,
    /// It ends at this time at the earliest; `None`: never.
    ends: Option<u64>,
}

/// What a request begins to run with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The model; empty: none.
    pub model: String,
    /// The version that it is said to draw from.
    pub told: Option<u64>,
    /// The version that it really draws from.
    pub drawn_from: u64,
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnedAway {
    /// It is for another model server, model or version.
    Misdirected,
    /// All slots are taken, or an order concerns its model.
    Busy,
}

/// The state of a stand-in model server.
#[derive(Debug, Default)]
pub struct Engine {
    models: BTreeMap<String, Held>,
    /// Requests that run, by model.
    running: BTreeMap<String, u32>,
    order: Option<UnderWay>,
    sequence: u64,
    capacity: u32,
    load_ms: u64,
    fault: EngineFault,
}

impl Engine {
    /// One that holds models in a version.
    pub fn new(capacity: u32, load_ms: u64, models: &[String], version: u64) -> Engine {
        let held = |name: &String| (name.clone(), Held { version, adapters: Vec::new() });
        Engine { models: models.iter().map(held).collect(), capacity, load_ms, ..Engine::default() }
    }

    /// Something is wrong with it from now on.
    pub fn set_fault(&mut self, fault: EngineFault) {
        self.fault = fault;
    }

    /// What it holds.
    pub fn models(&self) -> &BTreeMap<String, Held> {
        &self.models
    }

    /// An order is under way.
    pub fn is_busy(&self) -> bool {
        self.order.is_some()
    }

    /// Orders taken.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Requests that it runs.
    pub fn active(&self) -> u32 {
        self.running.values().sum()
    }

    /// Time has passed: an order may have ended. A load brings in the newest version.
    pub fn settle(&mut self, now: u64, newest: u64) {
        if self.fault == EngineFault::ReloadsByItself {
            self.models.values_mut().for_each(|held| held.version = newest);
        }
        let Some(UnderWay { body, ends }) = &self.order else { return };
        let is_over = ends.is_some_and(|ends| now >= ends);
        let unloads = body.operation == "model_unload" && body.adapter.is_none();
        // An unload waits for the requests of its model.
        let waits = unloads && self.running.get(&body.model).is_some_and(|count| *count > 0);
        if !is_over || waits {
            return;
        }
        let body = body.clone();
        self.order = None;
        match (unloads, body.adapter) {
            (true, _) => drop(self.models.remove(&body.model)),
            (false, None) => {
                self.models.insert(body.model, Held { version: newest, adapters: Vec::new() });
            }
            (false, Some(adapter)) => {
                let Some(held) = self.models.get_mut(&body.model) else { return };
                held.adapters.retain(|held| *held != adapter);
                if body.operation == "model_load" {
                    held.adapters.push(adapter);
                }
            }
        }
    }

    /// An order came: the status of its answer.
    pub fn take_order(&mut self, now: u64, body: OrderBody) -> StatusCode {
        let loads = match body.operation.as_str() {
            "model_load" => true,
            "model_unload" => false,
            _ => return StatusCode::BAD_REQUEST,
        };
        if self.is_busy() || body.if_revision.is_some_and(|revision| revision != self.sequence) {
            return StatusCode::CONFLICT;
        }
        let held = self.models.get(&body.model);
        let holds = match &body.adapter {
            None => held.is_some(),
            Some(adapter) => held.is_some_and(|held| held.adapters.contains(adapter)),
        };
        if holds == loads {
            return StatusCode::OK;
        }
        self.sequence += 1;
        let whole_load = loads && body.adapter.is_none();
        let sticks = whole_load && self.fault == EngineFault::LoadSticks;
        if sticks {
            self.fault = EngineFault::None;
        }
        let takes = if whole_load { self.load_ms } else { 0 };
        self.order = Some(UnderWay { body, ends: (!sticks).then_some(now + takes) });
        StatusCode::ACCEPTED
    }

    /// A request came for a model (`name`, or `name/adapter`; empty: none). It runs until [`Engine::end`].
    pub fn begin(&mut self, name: &str, expected: Option<u64>) -> Result<Run, TurnedAway> {
        let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
        let mut version = 0;
        if !model.is_empty() {
            let held = self.models.get(model).ok_or(TurnedAway::Misdirected)?;
            let has_adapter = adapter.is_empty() || held.adapters.iter().any(|held| held == adapter);
            if !has_adapter || expected.is_some_and(|expected| expected != held.version) {
                return Err(TurnedAway::Misdirected);
            }
            version = held.version;
        }
        let concerned = self.order.as_ref().is_some_and(|order| order.body.model == model);
        if concerned || self.active() >= self.capacity {
            return Err(TurnedAway::Busy);
        }
        *self.running.entry(model.to_owned()).or_default() += 1;
        let lies = self.fault == EngineFault::Lies && version > 1;
        let told = (self.fault != EngineFault::TellsNoVersion && !model.is_empty()).then_some(version);
        Ok(Run { model: model.to_owned(), told, drawn_from: version - u64::from(lies) })
    }

    /// A request has ended.
    pub fn end(&mut self, run: &Run) {
        if let Some(count) = self.running.get_mut(&run.model) {
            *count = count.saturating_sub(1);
        }
    }
}
