//! A model server: slots, prompts read one after the other, models loaded from a store.

use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerState};
use std::collections::BTreeMap;

const READ_MS: u64 = 70;
pub const ANSWER_MS: u64 = 900;
pub const SLOTS: u32 = 12;
pub const MODEL_MB: f64 = 70.0;
pub const ROOM_MB: f64 = 220.0;
pub const LOAD_MS: u64 = 800;

/// What a model server does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Fails half of its requests.
    Grey,
    /// Fails all.
    Lying,
    /// Down at the moment: connections are refused.
    Down,
    /// Gone for good.
    Gone,
}

/// How a request that arrives fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It runs.
    Runs,
    /// It ran, and failed at once.
    RanBadly,
    /// It did not run: full, or the model is not there.
    Full,
    NotThere,
    /// No connection.
    Refused,
}

pub struct SimModelServer {
    pub told: ModelServer,
    pub trouble: Option<Trouble>,
    /// Until when prompts are being read.
    reads_until: u64,
    /// When each prompt that is being read is read.
    reading: BTreeMap<u64, u64>,
    /// When each running request ends.
    pub running: BTreeMap<u64, u64>,
    /// A load under way: the model, and its end.
    pub loading: Option<(String, u64)>,
    /// Since when no request may arrive: heads were told that it leaves.
    pub closed_since: Option<u64>,
    /// When it is gone, if it has notice.
    pub gone_at: Option<u64>,
    /// When requests arrived.
    pub arrivals: Vec<u64>,
}

impl SimModelServer {
    pub fn new(number: usize, zone: usize, models: &[String]) -> SimModelServer {
        let held = |name: &String| LoadedModel { name: name.clone(), version: 1, adapters: Vec::new() };
        let told = ModelServer {
            instance: format!("i-{number}"),
            backend: "llm".into(),
            address: format!("10.{zone}.0.{number}:80"),
            zone: format!("z{zone}"),
            version: "v1".into(),
            capacity: SLOTS,
            state: ModelServerState::Ready,
            cold_remaining_ms: 0,
            remaining_ms: 0,
            models: models.iter().map(held).collect(),
            sequence: 1,
            busy: false,
        };
        SimModelServer {
            told,
            trouble: None,
            reads_until: 0,
            reading: BTreeMap::new(),
            running: BTreeMap::new(),
            loading: None,
            closed_since: None,
            gone_at: None,
            arrivals: Vec::new(),
        }
    }

    pub fn holds(&self, model: &str) -> bool {
        self.told.models.iter().any(|held| held.name == model)
    }

    pub fn is_down(&self) -> bool {
        matches!(self.trouble, Some(Trouble::Down | Trouble::Gone))
    }

    /// A request arrives; `coin`: a draw from 0 to 1; `answer_ms`: how long its answer takes.
    pub fn arrive(&mut self, now: u64, request: u64, model: &str, coin: f64, answer_ms: u64) -> Arrival {
        if self.is_down() {
            return Arrival::Refused;
        }
        self.arrivals.push(now);
        if !self.holds(model) {
            return Arrival::NotThere;
        }
        match self.trouble {
            Some(Trouble::Lying) => return Arrival::RanBadly,
            Some(Trouble::Grey) if coin < 0.5 => return Arrival::RanBadly,
            _ => {}
        }
        if self.running.len() >= 2 * SLOTS as usize {
            return Arrival::Full;
        }
        self.reads_until = self.reads_until.max(now) + READ_MS;
        self.reading.insert(request, self.reads_until);
        self.running.insert(request, self.reads_until + answer_ms);
        Arrival::Runs
    }

    /// Requests whose answers begin now.
    pub fn began(&mut self, now: u64) -> Vec<u64> {
        let read: Vec<u64> =
            self.reading.iter().filter(|(_, read)| **read <= now).map(|(id, _)| *id).collect();
        self.reading.retain(|_, read| *read > now);
        read
    }

    /// Requests whose answers are whole now.
    pub fn finished(&mut self, now: u64) -> Vec<u64> {
        let done: Vec<u64> = self.running.iter().filter(|(_, end)| **end <= now).map(|(id, _)| *id).collect();
        self.running.retain(|_, end| *end > now);
        done
    }

    /// Room that its models take, megabytes.
    pub fn used_mb(&self) -> f64 {
        self.told.models.len() as f64 * MODEL_MB
    }
}
