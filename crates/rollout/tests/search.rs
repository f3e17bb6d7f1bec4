//! Exhaustive search of the step protocol over small bounds: two workers, two steps of one prompt each, one
//! crash, one change of leaders, one publication and one step closed early, in every order of a number of
//! events. The code under test is the real one; only the order of events is chosen here.
//!
//! `SEARCH_DEEPER=N` goes N events deeper.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_rollout::controller::{Action, Draw, DrawEnd, DrawOutcome, Settings, StepController};
use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::step::{StepRequest, StepState};
use pathbank_rollout::step_table::{Command, StepTable};
use pathbank_rollout::version_rollout::RolloutLimits;
use pathbank_rollout::worker::WorkerReport;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

const TICK: u64 = 400;
const WITHIN: u64 = 800;
const MODEL: &str = "m";
const STEPS: u64 = 2;

fn settings() -> Settings {
    Settings {
        version_rollout: RolloutLimits { min_serving: 0, max_loads_per_s: 1_000.0, drain_timeout_ms: 0 },
        generation_ms: WITHIN,
        begin_timeout_ms: 0,
        lease_ms: 0,
        reserved_slots: 0,
        straggler_timeout_ms: 0,
        silence_timeout_ms: 1_000_000,
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Running {
    draw: Draw,
    over_at: u64,
    versions: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Worker {
    number: usize,
    incarnation: u32,
    version: u64,
    sequence: u64,
    loading: bool,
    running: Option<Running>,
}

impl Worker {
    fn id(&self) -> String {
        format!("w{}.{}", self.number, self.incarnation)
    }

    fn report(&self) -> WorkerReport {
        WorkerReport {
            worker: self.id(),
            // Each in a zone of its own, so that both may change at once.
            zone: self.number.to_string(),
            loaded_version: Some(self.version),
            busy: self.loading,
            sequence: self.sequence,
            active: u32::from(self.running.is_some()),
            capacity: 1,
        }
    }
}

#[derive(Clone, Debug)]
struct World {
    now: u64,
    newest: u64,
    index: u64,
    workers: Vec<Worker>,
    table: StepTable,
    controller: StepController,
    proposed: Vec<Command>,
    /// Generations on their way to workers, and until when they may begin.
    draws: Vec<(u64, Draw)>,
    ends: Vec<DrawEnd>,
    crashes: u32,
    leaders: u32,
    publications: u32,
    /// Trainers may close a step that lacks generations.
    early_closes: u32,
    ticks: u32,
    /// The greatest epoch that any worker began to draw under.
    newest_epoch: u64,
    fault: Option<String>,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Commit(usize),
    Begin(usize),
    End(usize),
    ReportEnd(usize),
    LoseEnd(usize),
    Loaded(usize),
    Report(usize),
    Crash(usize),
    NewLeader,
    Publish,
    CloseEarly(u64),
}

impl World {
    fn new() -> World {
        let worker = |number| Worker {
            number,
            incarnation: 1,
            version: 1,
            sequence: 0,
            loading: false,
            running: None,
        };
        let mut world = World {
            now: 10_000,
            newest: 1,
            index: 0,
            workers: (0..2).map(worker).collect(),
            table: StepTable::default(),
            controller: StepController::new(MODEL.into(), settings(), 0),
            proposed: Vec::new(),
            draws: Vec::new(),
            ends: Vec::new(),
            crashes: 1,
            leaders: 1,
            publications: 1,
            early_closes: 1,
            ticks: 4,
            newest_epoch: 0,
            fault: None,
        };
        for number in 1..=STEPS {
            let request = StepRequest::new(&number.to_string(), MODEL, 1);
            world.apply(&Command::Announce(request));
            world.apply(&Command::Submit { step: number, prompts: BTreeSet::from([number]) });
        }
        (0..2).for_each(|at| world.take(&Event::Report(at)));
        world
    }

    fn apply(&mut self, command: &Command) {
        self.index += 1;
        // What is refused changes nothing.
        let _ = self.table.apply(self.index, command);
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        events.extend((self.ticks > 0).then_some(Event::Tick));
        events.extend((0..self.proposed.len()).map(Event::Commit));
        events.extend((0..self.draws.len()).map(Event::Begin));
        events.extend((0..self.ends.len()).flat_map(|at| [Event::ReportEnd(at), Event::LoseEnd(at)]));
        for (at, worker) in self.workers.iter().enumerate() {
            events.extend(worker.running.is_some().then_some(Event::End(at)));
            events.extend(worker.loading.then_some(Event::Loaded(at)));
            let known = self.controller.workers().get(&worker.id());
            let is_changed = known.is_none_or(|known| known.report != worker.report());
            events.extend(is_changed.then_some(Event::Report(at)));
            events.extend((self.crashes > 0).then_some(Event::Crash(at)));
        }
        events.extend((self.leaders > 0).then_some(Event::NewLeader));
        events.extend((self.publications > 0).then_some(Event::Publish));
        if self.early_closes > 0 {
            let open = self.table.steps().filter(|step| step.state() == StepState::Open);
            events.extend(open.map(|step| Event::CloseEarly(step.number)));
        }
        events
    }

    fn take(&mut self, event: &Event) {
        match event {
            Event::Tick => {
                self.ticks -= 1;
                self.tick();
            }
            Event::Commit(at) => {
                let command = self.proposed.remove(*at);
                self.apply(&command);
            }
            Event::Begin(at) => {
                let (until, draw) = self.draws.remove(*at);
                self.begin(until, draw);
            }
            Event::End(at) => {
                if let Some(running) = self.workers[*at].running.take() {
                    self.ended(running);
                }
            }
            Event::ReportEnd(at) => {
                let end = self.ends.remove(*at);
                let actions = self.controller.draw_ended(end, &self.table);
                self.carry_out(actions);
            }
            Event::LoseEnd(at) => drop(self.ends.remove(*at)),
            Event::Loaded(at) => {
                let worker = &mut self.workers[*at];
                (worker.loading, worker.version) = (false, self.newest);
                // A generation that runs on goes on with the new weights.
                if let Some(running) = &mut worker.running {
                    running.versions.push(self.newest);
                }
            }
            Event::Report(at) => self.controller.observe_report(self.now, self.workers[*at].report()),
            Event::Crash(at) => {
                self.crashes -= 1;
                let id = self.workers[*at].id();
                self.controller.remove_worker(&id);
                let newest = self.newest;
                let worker = &mut self.workers[*at];
                (worker.incarnation, worker.sequence, worker.version) = (worker.incarnation + 1, 0, newest);
                (worker.loading, worker.running) = (false, None);
            }
            Event::NewLeader => {
                self.leaders -= 1;
                self.controller = StepController::new(MODEL.into(), settings(), self.now);
            }
            Event::CloseEarly(step) => {
                self.early_closes -= 1;
                self.propose(Command::Close { step: *step, allow_missing: true });
            }
            Event::Publish => {
                self.publications -= 1;
                self.newest += 1;
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        // Workers keep to the time that they were told, and so does what is on its way to them.
        self.draws.retain(|(until, _)| now < *until);
        for at in 0..self.workers.len() {
            if self.workers[at].running.as_ref().is_some_and(|running| now >= running.over_at) {
                self.workers[at].running = None;
            }
        }
        let sealed = self
            .table
            .steps()
            .find(|step| step.state() == StepState::Open && step.missing().next().is_none());
        if let Some(number) = sealed.map(|step| step.number) {
            self.propose(Command::Close { step: number, allow_missing: false });
        }
        let actions = self.controller.tick(now, &self.table);
        self.carry_out(actions);
    }

    fn propose(&mut self, command: Command) {
        if !self.proposed.contains(&command) {
            self.proposed.push(command);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Propose(command) => self.propose(command),
                Action::Drain(_) => {}
                Action::Load { worker, if_revision } => {
                    let known = self.workers.iter_mut().find(|known| known.id() == worker);
                    match known.filter(|known| known.sequence == if_revision && !known.loading) {
                        Some(known) => (known.loading, known.sequence) = (true, known.sequence + 1),
                        None => self.controller.order_failed(&worker),
                    }
                }
                Action::Draw(draw) => self.draws.push((self.now + draw.within, draw)),
            }
        }
    }

    fn begin(&mut self, until: u64, draw: Draw) {
        let worker = self.workers.iter_mut().find(|worker| worker.id() == draw.worker);
        let Some(worker) = worker
            .filter(|worker| worker.version == draw.version && !worker.loading && worker.running.is_none())
        else {
            self.ends.push(DrawEnd { draw, outcome: DrawOutcome::Over, tokens: 0 });
            return;
        };
        let state = self.table.step(draw.step).map(pathbank_rollout::step::Step::state);
        if state.is_none_or(pathbank_rollout::step::StepState::is_final) {
            self.fault = Some(format!("a draw for step {} begins after its end", draw.step));
        }
        if draw.epoch < self.newest_epoch {
            self.fault =
                Some(format!("a draw under epoch {} begins after {}", draw.epoch, self.newest_epoch));
        }
        self.newest_epoch = self.newest_epoch.max(draw.epoch);
        let versions = vec![worker.version];
        worker.running = Some(Running { draw, over_at: until, versions });
    }

    fn ended(&mut self, running: Running) {
        let mut trail = VersionTrail::begin(running.versions.first().copied());
        running.versions.iter().for_each(|version| trail.record_event(*version));
        trail.finish();
        self.ends.push(DrawEnd { draw: running.draw, outcome: DrawOutcome::Complete(trail), tokens: 1 });
    }

    fn check(&self) -> Option<String> {
        let epochs: BTreeSet<u64> =
            self.workers.iter().filter_map(|worker| Some(worker.running.as_ref()?.draw.epoch)).collect();
        if epochs.len() > 1 {
            return Some(format!("two epochs draw: {epochs:?}"));
        }
        for step in self.table.steps() {
            if step.results.values().any(|counted| Some(counted.version) != step.version) {
                return Some(format!("step {} is mixed", step.number));
            }
            if step.state() == StepState::Sealed
                && step.counts.counted + step.counts.missing != step.counts.submitted
            {
                return Some(format!("step {} is sealed without its counts", step.number));
            }
        }
        self.fault.clone()
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }

    /// All goes on as it should, without troubles, until that step is in that state.
    fn until(mut self, number: u64, state: StepState) -> World {
        for _ in 0..400 {
            if self.table.step(number).is_some_and(|step| step.state() == state) {
                (self.ticks, self.crashes, self.leaders, self.publications) = (4, 1, 1, 1);
                self.early_closes = 1;
                return self;
            }
            (self.ticks, self.crashes, self.leaders, self.publications) = (1, 0, 0, 0);
            self.early_closes = 0;
            // Whatever is under way ends before time goes on.
            let events = self.events();
            let next = events.iter().rev().find(|event| !matches!(event, Event::LoseEnd(_)));
            let next = next.cloned().unwrap_or(Event::Tick);
            self.take(&next);
        }
        panic!("step {number} never came to be {state:?}: {self:?}");
    }
}

#[test]
fn exhaustive_search_finds_no_mixed_step_and_no_overlapping_epochs() {
    let deeper: usize = std::env::var("SEARCH_DEEPER").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    for (begins, first, depth) in [
        ("with steps announced", World::new(), 8),
        ("with a step being prepared", World::new().until(1, StepState::Preparing), 8),
        ("with a step open", World::new().until(1, StepState::Open), 9),
        ("with a step sealing", World::new().until(1, StepState::Sealing), 9),
        ("with the next step open", World::new().until(2, StepState::Open), 8),
    ] {
        let mut seen = HashSet::from([first.digest()]);
        let mut edge = vec![first];
        for depth in 0..depth + deeper {
            let mut next = Vec::new();
            for world in edge {
                for event in world.events() {
                    let mut after = world.clone();
                    after.take(&event);
                    assert_eq!(after.check(), None, "{begins}, at {depth}: {event:?} from {world:?}");
                    if seen.insert(after.digest()) {
                        next.push(after);
                    }
                }
            }
            edge = next;
        }
        println!("{begins}: {} states", seen.len());
        assert!(seen.len() > 500, "{begins}: {}", seen.len());
    }
}

/// From wherever a search by draws gets to, all steps come to their end once nothing goes wrong any more.
#[test]
fn every_step_ends_while_enough_workers_are_left() {
    let mut random = fastrand::Rng::with_seed(5);
    for _ in 0..300 {
        let mut world = World::new();
        for _ in 0..random.usize(1..40) {
            let events = world.events();
            if events.is_empty() {
                break;
            }
            world.take(&events[random.usize(..events.len())]);
            assert_eq!(world.check(), None);
        }
        // A lost proposal or a lost end is told again, or its time runs out.
        world.controller.proposal_lost();
        world.until(STEPS, StepState::Sealed);
    }
}
