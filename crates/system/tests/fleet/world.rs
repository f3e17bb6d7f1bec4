//! The fleet, its faults, and the time that passes for it.

mod faults;
mod placement;

use super::audit::{Asked, LOADS_PER_S, Ledger, MAX_ATTEMPTS, Report};
use super::model_server::{ANSWER_MS, Arrival, LOAD_MS, MODEL_MB, ROOM_MB, SLOTS, SimModelServer, Trouble};
use pathbank_control::admission::AdmissionController;
use pathbank_control::configuration::{Backend, Model, Runtime};
use pathbank_control::demand::DemandTable;
use pathbank_control::directory::Directory;
use pathbank_control::order::{Operation, Order};
use pathbank_control::outliers::OutlierTable;
use pathbank_control::placement::Placer;
use pathbank_protocol::message::{
    AdmissionRequest, EdgeReport, ModelServer, ModelServerLoad, ModelServerState, ModelServerUpdate,
};
use pathbank_router::dispatcher::{Action, Dispatcher, Offer};
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::prompt::{ModelName, TokenCount};
use pathbank_router::retry_budget::{RetryBudget, RetryBudgetLimits};
use std::collections::{BTreeMap, BTreeSet};

const STEP: u64 = 5;
const TICK: u64 = 20;
const REPORT: u64 = 500;
const HEARTBEAT: u64 = 1_200;
const PLACE: u64 = 250;
const COUNT_SLOTS: u64 = 150;
const ZONES: usize = 4;
const DEADLINE: u64 = 8_000;
const OBJECTIVE: u64 = 1_000;
/// Requests a second for each model server.
const PER_SERVER_S: f64 = 1.5;
/// Part of the requests that may not run twice.
const NOT_REPEATABLE: f64 = 0.2;
const NOTICE: u64 = 2_000;
const FLAP: u64 = 1_000;
/// A model server that leaves may still get what was on its way.
const ON_THE_WAY: u64 = 20;

/// What befalls a sixth of the model servers, or a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Grey,
    Lying,
    Flap,
    SpotNotice,
    ZoneLost,
}

/// What clients ask for.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second for each model server.
    pub per_server_s: f64,
    /// How long an answer takes once its prompt is read, milliseconds.
    pub answer_ms: u64,
    /// Whether requests are of three urgencies, or all alike.
    pub urgencies: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load { per_server_s: PER_SERVER_S, answer_ms: ANSWER_MS, urgencies: false }
    }
}

/// How urgent requests are, where they differ.
pub const URGENCIES: [u8; 3] = [0, 10, 20];

struct Head {
    dispatcher: Dispatcher,
    budget: RetryBudget,
    cut_off: bool,
}

/// A try at this head: the client's request, and what is offered.
#[derive(Clone)]
struct Try {
    head: usize,
    client: u64,
    offer: Offer,
    /// When the head took it.
    offered_at: u64,
    /// Whether the client was refused before; it comes back once.
    came_back: bool,
}

/// The leader's deciding parts.
struct Leader {
    directory: Directory,
    demand: DemandTable,
    outliers: OutlierTable,
    placer: Placer,
    admission: AdmissionController,
}

pub struct World {
    now: u64,
    random: u64,
    backends: Vec<Backend>,
    heads: Vec<Head>,
    servers: Vec<SimModelServer>,
    leader: Leader,
    tries: BTreeMap<u64, Try>,
    /// Tries that wait for their granted moment.
    granted: BTreeMap<(u64, u64), Try>,
    ledger: Ledger,
    next: u64,
    owed: f64,
    struck: BTreeSet<usize>,
    flapping: bool,
    load: Load,
    /// Streams that were at a model server when it ended, and could have been elsewhere.
    pub cut_short: usize,
}

impl World {
    pub fn new(seed: u64, heads: usize, servers: usize) -> World {
        World::under(Load::default(), seed, heads, servers)
    }

    pub fn under(load: Load, seed: u64, heads: usize, servers: usize) -> World {
        let names: Vec<String> = (0..servers).map(|number| format!("m{number}")).collect();
        let model = |name: &String| Model {
            name: name.clone(),
            weights_mb: MODEL_MB,
            load_s: LOAD_MS as f64 / 1_000.0,
            adapters: 0,
            adapter_mb: 1.0,
        };
        let runtime = Runtime {
            capacity: f64::from(SLOTS),
            kv_capacity: 100_000.0,
            models: names.iter().map(model).collect(),
            weights_mb: ROOM_MB,
            max_adapters: 4,
            loads_per_s: LOADS_PER_S,
            stride: 3.0,
        };
        let backend = Backend {
            name: "llm".into(),
            health_path: None,
            max_connections: None,
            runtime: Some(runtime),
            autoscaling: None,
        };
        let bounds = RetryBudgetLimits { ratio: 0.2, slack: 200.0, window: 10_000 };
        let head = |number: usize| {
            let zone = format!("z{}", number % ZONES);
            let mut budget = RetryBudget::new(bounds);
            budget.set_edges(heads as u32);
            Head { dispatcher: Dispatcher::new(zone, seed * 1_000 + number as u64), budget, cut_off: false }
        };
        let mut world = World {
            now: 10_000,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            backends: vec![backend],
            heads: (0..heads).map(head).collect(),
            servers: (0..servers)
                .map(|number| SimModelServer::new(number, number % ZONES, &held_first(number, &names)))
                .collect(),
            leader: Leader {
                directory: Directory::new(HEARTBEAT),
                demand: DemandTable::default(),
                outliers: OutlierTable::default(),
                placer: Placer::new(),
                admission: AdmissionController::default(),
            },
            tries: BTreeMap::new(),
            granted: BTreeMap::new(),
            ledger: Ledger::default(),
            next: 1,
            owed: 0.0,
            struck: BTreeSet::new(),
            flapping: false,
            load,
            cut_short: 0,
        };
        (0..servers).for_each(|number| world.heartbeat(number));
        world
    }

    fn draw(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// What was seen so far does not count.
    pub fn begin_audit(&mut self) {
        self.ledger.begin();
    }

    // ---- time ----

    pub fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / STEP {
            self.now += STEP;
            self.step();
        }
    }

    fn is_due(&self, every: u64, offset: u64) -> bool {
        (self.now + offset * STEP).is_multiple_of(every)
    }

    fn step(&mut self) {
        if self.flapping && self.is_due(FLAP, 0) {
            self.flap();
        }
        self.end_noticed();
        self.finish_answers();
        self.finish_loads();
        for number in 0..self.servers.len() {
            if self.is_due(HEARTBEAT, number as u64) && !self.servers[number].is_down() {
                self.servers[number].told.sequence += 1;
                self.heartbeat(number);
            }
        }
        if self.is_due(COUNT_SLOTS, 0) {
            let ready: Vec<ModelServer> = self.leader.directory.ready().collect();
            let in_flight = self.leader.demand.in_flight(self.now);
            self.leader.admission.update_slots(&ready, &in_flight);
        }
        if self.is_due(PLACE, 0) {
            self.expire();
            self.place();
        }
        self.send_granted();
        self.arrivals();
        for head in 0..self.heads.len() {
            if self.is_due(TICK, head as u64) {
                let actions = self.heads[head].dispatcher.tick(self.now);
                self.carry_out(head, actions);
            }
            if self.is_due(REPORT, head as u64) {
                self.report(head);
            }
        }
    }

    fn end_noticed(&mut self) {
        for number in 0..self.servers.len() {
            let is_over = self.servers[number].gone_at.is_some_and(|at| self.now >= at);
            if is_over && self.servers[number].trouble != Some(Trouble::Gone) {
                self.end_server(number, Trouble::Gone);
                let gone = self.leader.directory.deregister(self.now, &format!("i-{number}"));
                self.tell(gone.into_iter().collect());
            }
        }
    }

    fn finish_answers(&mut self) {
        for number in 0..self.servers.len() {
            for request in self.servers[number].began(self.now) {
                let head = self.tries.get(&request).map(|attempt| attempt.head);
                head.into_iter()
                    .for_each(|head| self.heads[head].dispatcher.response_started(self.now, request, true));
            }
            for request in self.servers[number].finished(self.now) {
                self.ended(request, AttemptOutcome::Answered, Some(true));
            }
        }
    }

    // ---- what is told ----

    fn heartbeat(&mut self, number: usize) {
        let heard = self.leader.directory.observe_heartbeat(self.now, self.servers[number].told.clone());
        if heard.changed {
            let told = self.leader.directory.server(&format!("i-{number}"));
            self.tell(told.into_iter().collect());
        }
    }

    fn expire(&mut self) {
        let gone = self.leader.directory.expire(self.now);
        self.tell(gone);
    }

    fn tell(&mut self, servers: Vec<ModelServer>) {
        if servers.is_empty() {
            return;
        }
        for head in 0..self.heads.len() {
            let update = ModelServerUpdate { complete: false, servers: servers.clone() };
            let actions = self.heads[head].dispatcher.update_servers(self.now, update);
            self.carry_out(head, actions);
        }
    }

    fn report(&mut self, head: usize) {
        let (demand, loads) = self.heads[head].dispatcher.take_report();
        let report =
            EdgeReport { edge: format!("e{head}"), incarnation: 1, demand, loads, ..EdgeReport::default() };
        self.leader.demand.record(self.now, &report);
        self.leader.outliers.record(self.now, &report.loads);
        let totals = self.joint_loads();
        self.heads[head].dispatcher.observe_total_loads(self.now, &totals);
    }

    /// What the leader tells of model servers, as cores make it.
    fn joint_loads(&self) -> Vec<ModelServerLoad> {
        let ready: Vec<ModelServer> = self.leader.directory.ready().collect();
        let outliers = self.leader.outliers.outliers(self.now, &ready);
        self.leader.demand.joint_loads(self.now, outliers)
    }

    // ---- requests ----

    fn arrivals(&mut self) {
        self.owed += self.load.per_server_s * self.servers.len() as f64 * STEP as f64 / 1_000.0;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            self.ask();
        }
    }

    fn ask(&mut self) {
        let head = (self.draw() * self.heads.len() as f64) as usize;
        // Few models are asked for often, and many seldom.
        let model = (self.draw().powi(3) * self.servers.len() as f64) as usize;
        let repeatable = self.draw() >= NOT_REPEATABLE;
        let urgency = if self.load.urgencies { URGENCIES[(self.draw() * 3.0) as usize] } else { 0 };
        let client = self.next_id();
        let asked = Asked {
            model: format!("m{model}"),
            arrived: self.now,
            urgency,
            repeatable,
            struck_head: self.heads[head].cut_off,
            sends: Vec::new(),
            runs: 0,
            ends: Vec::new(),
            refused: false,
            held_ms: Vec::new(),
        };
        self.ledger.asked.insert(client, asked);
        self.heads[head].budget.record_request(self.now, "llm");
        let offer = Offer {
            id: 0,
            backend: "llm".into(),
            name: ModelName { model: format!("m{model}"), adapter: String::new() },
            tokens: TokenCount { input: 1_300, output: 170 },
            parts: Vec::new(),
            arrived: self.now,
            deadline: self.now + DEADLINE,
            abandon_at: self.now + DEADLINE,
            target_latency_ms: OBJECTIVE,
            target_gap_ms: 0,
            load_ms: Some(LOAD_MS),
            granted: None,
            excluded: BTreeSet::new(),
            resumable: repeatable,
            urgency,
            version: None,
        };
        self.try_again(Try { head, client, offer, offered_at: self.now, came_back: false });
    }

    fn next_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Asks the leader for a model server and a moment, as heads do.
    fn try_again(&mut self, mut attempt: Try) {
        attempt.offer.id = self.next_id();
        let options = self.heads[attempt.head].dispatcher.admission_options(self.now, &attempt.offer);
        let urgency = self.heads[attempt.head].dispatcher.reserving_urgency(self.now, &attempt.offer);
        let request = AdmissionRequest { request: attempt.offer.id, options, urgency };
        let grant = self.leader.admission.admit(self.now, &request);
        attempt.offer.granted = grant.map(|grant| request.options[grant.option as usize].instance.clone());
        let latest_start = self.heads[attempt.head].dispatcher.latest_start(self.now, &attempt.offer);
        let granted_at = self.now + grant.map_or(0, |grant| u64::from(grant.wait_ms));
        self.granted.insert((granted_at.min(latest_start).max(self.now), attempt.offer.id), attempt);
    }

    fn send_granted(&mut self) {
        while let Some(entry) = self.granted.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let attempt = entry.remove();
            let (head, id) = (attempt.head, attempt.offer.id);
            let first = self.ledger.asked[&attempt.client].sends.is_empty();
            self.tries.insert(id, attempt.clone());
            let actions = self.heads[head].dispatcher.offer(self.now, attempt.offer, first);
            self.carry_out(head, actions);
        }
    }

    fn carry_out(&mut self, head: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, instance, .. } => self.send(head, id, &instance),
                Action::Evacuate { id, .. } => self.moved(id),
                Action::Reject { id, retry_after, .. } => self.refused(id, retry_after),
            }
        }
    }

    /// A client that is refused comes back once, as it was told, to another head.
    fn refused(&mut self, id: u64, retry_after: u64) {
        let Some(mut attempt) = self.tries.remove(&id) else { return };
        let held_ms = self.now - attempt.offered_at;
        if let Some(asked) = self.ledger.asked.get_mut(&attempt.client) {
            asked.held_ms.push(held_ms);
        }
        let ran = self.ledger.asked[&attempt.client].runs > 0;
        if attempt.came_back || ran {
            return self.end_client(attempt.client, false, true);
        }
        attempt.came_back = true;
        attempt.offer.granted = None;
        attempt.offer.id = self.next_id();
        attempt.head = (attempt.head + 1) % self.heads.len();
        attempt.offered_at = self.now + retry_after;
        self.granted.insert((attempt.offered_at, attempt.offer.id), attempt);
    }

    /// A stream leaves its model server for another one, if it may be sent again; otherwise it stays.
    fn moved(&mut self, id: u64) {
        let Some(attempt) = self.tries.get(&id) else { return };
        let head = attempt.head;
        let left = self.ledger.asked[&attempt.client].sends.len() < MAX_ATTEMPTS;
        if !left || !self.heads[head].budget.try_spend(self.now, "llm") {
            return;
        }
        let Some(attempt) = self.tries.remove(&id) else { return };
        for server in &mut self.servers {
            server.running.remove(&id);
        }
        let actions = self.heads[head].dispatcher.finish(self.now, id, AttemptOutcome::Abandoned);
        self.try_again(attempt);
        self.carry_out(head, actions);
    }

    fn send(&mut self, head: usize, id: u64, instance: &str) {
        let Some(attempt) = self.tries.get(&id).cloned() else { return };
        let Some(number) = instance.strip_prefix("i-").and_then(|number| number.parse::<usize>().ok()) else {
            return;
        };
        if self.servers[number].closed_since.is_some_and(|since| self.now > since + ON_THE_WAY) {
            self.ledger.broken.insert(format!("{instance} gets requests after it said that it leaves"));
        }
        let coin = self.draw();
        let arrival = match self.heads[head].cut_off {
            true => Arrival::Refused,
            false => {
                let answer_ms = self.load.answer_ms;
                self.servers[number].arrive(self.now, id, &attempt.offer.name.model, coin, answer_ms)
            }
        };
        let asked = self.ledger.asked.get_mut(&attempt.client).expect("a client's request");
        asked.sends.extend((arrival != Arrival::Refused).then(|| instance.to_owned()));
        asked.runs += usize::from(matches!(arrival, Arrival::Runs | Arrival::RanBadly));
        match arrival {
            Arrival::Runs => {
                if let Some(attempt) = self.tries.get_mut(&id) {
                    attempt.offer.excluded.insert(instance.to_owned());
                }
            }
            Arrival::RanBadly => self.ended_at(id, instance, AttemptOutcome::Failed, true),
            Arrival::Full => self.ended_at(id, instance, AttemptOutcome::Full, false),
            Arrival::NotThere => self.ended_at(id, instance, AttemptOutcome::Misdirected, false),
            Arrival::Refused => self.ended_at(id, instance, AttemptOutcome::Failed, false),
        }
    }

    fn ended_at(&mut self, id: u64, instance: &str, outcome: AttemptOutcome, ran: bool) {
        if let Some(attempt) = self.tries.get_mut(&id) {
            attempt.offer.excluded.insert(instance.to_owned());
        }
        self.ended(id, outcome, (!ran).then_some(false));
    }

    /// A try ended at its model server. `served`: `Some(true)` with an answer, `Some(false)` without having
    /// run, `None`: it may have run.
    fn ended(&mut self, id: u64, outcome: AttemptOutcome, served: Option<bool>) {
        let Some(attempt) = self.tries.remove(&id) else { return };
        let head = attempt.head;
        let actions = self.heads[head].dispatcher.finish(self.now, id, outcome);
        if served == Some(true) {
            self.end_client(attempt.client, true, false);
        } else {
            let asked = &self.ledger.asked[&attempt.client];
            let may = served == Some(false) || asked.repeatable;
            let left = asked.sends.len() < MAX_ATTEMPTS && self.now < attempt.offer.deadline;
            let first = asked.sends.is_empty();
            if may && left && (first || self.heads[head].budget.try_spend(self.now, "llm")) {
                self.try_again(attempt);
            } else {
                self.end_client(attempt.client, false, served == Some(false));
            }
        }
        self.carry_out(head, actions);
    }

    fn end_client(&mut self, client: u64, served: bool, refused: bool) {
        if let Some(asked) = self.ledger.asked.get_mut(&client) {
            asked.ends.push(served);
            asked.refused |= refused && asked.runs == 0;
        }
    }

    // ---- what was seen ----

    pub fn refused_within(&self, limit_ms: u64) -> f64 {
        self.ledger.refused_within(limit_ms)
    }

    pub fn served_of(&self, urgency: u8) -> f64 {
        self.ledger.served_of(urgency)
    }

    pub fn audit(&self) -> Report {
        self.ledger.report(self.now)
    }

    /// Requests that arrived at each struck model server, and at each other one, in the mean.
    pub fn arrivals_a_server_in_the_last(&self, span: u64) -> (f64, f64) {
        let since = self.now - span;
        let mean = |wanted: bool| {
            let servers =
                self.servers.iter().enumerate().filter(|(number, _)| self.struck.contains(number) == wanted);
            let counts: Vec<usize> = servers
                .map(|(_, server)| server.arrivals.iter().filter(|at| **at >= since).count())
                .collect();
            counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64
        };
        (mean(true), mean(false))
    }
}

/// What a model server holds at first: the busy models on many model servers, each other one on one.
fn held_first(number: usize, names: &[String]) -> Vec<String> {
    let busy = names.len() / 20;
    let mut held = vec![names[number].clone()];
    for offset in [0, busy / 2] {
        let other = &names[(number + offset) % busy.max(1)];
        if !held.contains(other) {
            held.push(other.clone());
        }
    }
    held
}
