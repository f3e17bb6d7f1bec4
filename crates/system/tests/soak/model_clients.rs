//! Clients that ask for models on kept connections, with the tenant's key and with one that nobody holds.

use crate::clients::{Ask, Connection, Outcome};
use crate::common::System;
use crate::findings::Findings;
use crate::key_log::{KeyLog, KeyState};
use crate::model_operator::{ADAPTERS, MODELS};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_millis(20);
const HELD_KEY: &str = "key-1";
const UNKNOWN_KEY: &str = "key-that-nobody-holds";
/// One in so many requests has a key that nobody holds.
const UNKNOWN_ONE_IN: u8 = 6;

/// The request for a model.
pub fn ask_for<'a>(model: &'a str, key: &'a str, id: &'a str) -> Ask<'a> {
    Ask { path: "/models/x", key, model: Some(model), id }
}

pub struct ModelClients {
    threads: Vec<JoinHandle<()>>,
}

impl ModelClients {
    pub fn start(
        system: &System,
        seed: u64,
        count: usize,
        findings: &Arc<Findings>,
        keys: &Arc<KeyLog>,
        stop: &Arc<AtomicBool>,
    ) -> ModelClients {
        let edges: Vec<SocketAddr> = system.local.edges.iter().map(|edge| edge.ingress).collect();
        let client = |number: usize| {
            let client = ModelClient {
                number,
                edges: edges.clone(),
                random: fastrand::Rng::with_seed(seed * 1_000 + 500 + number as u64),
                findings: findings.clone(),
                keys: keys.clone(),
                asked: 0,
            };
            let stop = stop.clone();
            std::thread::spawn(move || client.run(&stop))
        };
        ModelClients { threads: (0..count).map(client).collect() }
    }

    pub fn join(self) {
        self.threads.into_iter().for_each(|thread| thread.join().expect("a client ends"));
    }
}

struct ModelClient {
    number: usize,
    edges: Vec<SocketAddr>,
    random: fastrand::Rng,
    findings: Arc<Findings>,
    keys: Arc<KeyLog>,
    asked: u64,
}

impl ModelClient {
    fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let edge = self.random.usize(..self.edges.len());
            match Connection::open(self.edges[edge]) {
                Some(connection) => self.use_up(edge, connection, stop),
                None => std::thread::sleep(PAUSE),
            }
        }
    }

    /// Asks on a connection until it ends, whatever its edge goes through.
    fn use_up(&mut self, edge: usize, mut connection: Connection, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) && !connection.closing {
            self.asked += 1;
            let id = format!("m{}-{}", self.number, self.asked);
            let model = self.any_model();
            let key = if self.random.u8(..UNKNOWN_ONE_IN) == 0 { UNKNOWN_KEY } else { HELD_KEY };
            let sent_at = Instant::now();
            self.findings.contact().sent(&id, edge);
            let outcome = connection.ask(&ask_for(&model, key, &id));
            let Outcome::Answered { status, .. } = outcome else { return };
            self.findings.count(&format!("{status} for models"));
            self.check(edge, &id, key, status, sent_at);
            std::thread::sleep(PAUSE);
        }
    }

    /// A model, or an adapter of it.
    fn any_model(&mut self) -> String {
        let model = MODELS[self.random.usize(..MODELS.len())];
        match self.random.bool() {
            true => format!("{model}/a{}", self.random.usize(1..=ADAPTERS)),
            false => model.to_owned(),
        }
    }

    /// What an edge in touch makes of a key.
    fn check(&self, edge: usize, id: &str, key: &str, status: u16, sent_at: Instant) {
        let answered_at = Instant::now();
        if key == UNKNOWN_KEY && status == 200 {
            return self
                .findings
                .find(format!("{id} at edge {edge}: served with a key that nobody ever held"));
        }
        if key == UNKNOWN_KEY || self.findings.contact().sent_in_touch(id, answered_at).is_none() {
            return;
        }
        let state = self.keys.state_between(sent_at, answered_at);
        let is_wrong = match state {
            Some(KeyState::TakenAway) => status == 200,
            Some(KeyState::Held) => status == 401,
            None => false,
        };
        if is_wrong {
            self.findings.find(format!("{id} at edge {edge}: {status}, while the key is {state:?}"));
        }
    }
}
