//! Clients that ask for models on kept connections, with the tenant's key and with one that nobody holds.

use crate::clients::{Ask, Connection, Outcome, ask_on_kept_connections};
use crate::common::System;
use crate::findings::Findings;
use crate::key_log::{KeyLog, KeyState};
use crate::model_operator::{ADAPTERS, MODELS};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;
use std::time::Instant;

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
                random: fastrand::Rng::with_seed(seed * 1_000 + 500 + number as u64),
                findings: findings.clone(),
                keys: keys.clone(),
                asked: 0,
            };
            let (edges, stop) = (edges.clone(), stop.clone());
            std::thread::spawn(move || client.run(&edges, &stop))
        };
        ModelClients { threads: (0..count).map(client).collect() }
    }

    pub fn join(self) {
        self.threads.into_iter().for_each(|thread| thread.join().expect("a client ends"));
    }
}

struct ModelClient {
    number: usize,
    random: fastrand::Rng,
    findings: Arc<Findings>,
    keys: Arc<KeyLog>,
    asked: u64,
}

impl ModelClient {
    fn run(mut self, edges: &[SocketAddr], stop: &AtomicBool) {
        let random = self.random.fork();
        ask_on_kept_connections(edges, random, stop, |edge, connection| self.ask(edge, connection));
    }

    /// Asks for a model. Returns whether the connection still stands.
    fn ask(&mut self, edge: usize, connection: &mut Connection) -> bool {
        self.asked += 1;
        let id = format!("m{}-{}", self.number, self.asked);
        let model = self.any_model();
        let key = if self.random.u8(..UNKNOWN_ONE_IN) == 0 { UNKNOWN_KEY } else { HELD_KEY };
        let sent_at = Instant::now();
        self.findings.contact().sent(&id, edge);
        let Outcome::Answered { status, .. } = connection.ask(&ask_for(&model, key, &id)) else {
            return false;
        };
        self.findings.count(&format!("{status} for models"));
        self.check(edge, &id, key, status, sent_at);
        true
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
