//! What the leader does about the steps: it brings workers to a step's version, opens the step once they hold
//! it, has its prompts drawn for, and seals it once nothing of it is under way.
//!
//! What it knows of workers and generations is its own and is lost with it; what counts is in the
//! [`StepTable`]. A new leader therefore waits, before it seals, until whatever an earlier one began has run
//! out of time. All of its actions are for the moment at which it may act: within its lease, and on a ledger
//! that has all that is committed.

use crate::evidence::VersionTrail;
use crate::step::{RemovalReason, RequestedVersion, Step, StepState};
use crate::step_table::{Command, Generation, StepTable};
use crate::version_rollout::{self, LoadRateLimiter, RolloutLimits, WorkerAction};
use crate::worker::{Worker, WorkerReport, WorkerState};
use crate::{Epoch, Millis, PromptId, StepNumber, Version, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// The leader's figures.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The change of versions.
    pub version_rollout: RolloutLimits,
    /// No generation takes longer, whatever its step allows; workers are told so with it, milliseconds.
    pub generation_ms: Millis,
    /// A generation that did not begin within this does not begin any more; heads keep to that, milliseconds.
    pub begin_timeout_ms: Millis,
    /// For how long an earlier leader may have gone on after this one was elected, milliseconds.
    pub lease_ms: Millis,
    /// Slots of a worker that are left to what it serves.
    pub reserved_slots: u32,
    /// A step whose workers hold its version waits so long for the rest, milliseconds.
    pub straggler_timeout_ms: Millis,
    /// A worker of an open step that says nothing for so long leaves it, milliseconds.
    pub silence_timeout_ms: Millis,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A command for the log.
    Propose(Command),
    /// The worker gets no request of the model from now on.
    Drain(WorkerId),
    /// The worker is ordered to load the newest version, if it has taken no order since (`if_revision`).
    Load {
        /// The worker.
        worker: WorkerId,
        /// Orders that it should have taken so far.
        if_revision: u64,
    },
    /// The worker draws for a prompt, with `Expect-Version`.
    Draw(Draw),
}

/// A generation that is to be drawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draw {
    /// The step.
    pub step: StepNumber,
    /// Its epoch.
    pub epoch: Epoch,
    /// The prompt.
    pub prompt: PromptId,
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// The version that it has to draw from.
    pub version: Version,
    /// It is over after this, milliseconds from now.
    pub within: Millis,
}

/// What is known of a generation's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrawOutcome {
    /// The answer came whole, and said this of versions.
    Complete(VersionTrail),
    /// It did not run, or runs no more, and there is no whole answer.
    Over,
    /// There is no whole answer, and its worker may draw on until the generation's time is over.
    Unknown,
}

/// How a generation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawEnd {
    /// What was to be drawn.
    pub draw: Draw,
    /// What came of it.
    pub outcome: DrawOutcome,
    /// Tokens that were put out.
    pub tokens: u64,
}

/// Why a step does not go on at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// An earlier step is not over.
    EarlierStep,
    /// Workers change over.
    Workers {
        /// Those that hold the version.
        verified: usize,
        /// All that are known.
        known: usize,
    },
    /// Fewer workers than the floor are left.
    MinWorkers,
    /// Generations are under way.
    Generations,
    /// For what an earlier leader or a lost worker may still be drawing.
    EarlierGenerations,
    /// For the trainer: prompts, or the word to close.
    Trainer,
}

/// A load that tells the newest version to a step.
#[derive(Clone, Copy, Debug)]
struct FirstLoad {
    step: StepNumber,
    /// The worker's orders before it.
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingDraw {
    until: Millis,
}

/// The leader's part, for one model.
#[derive(Clone, Debug)]
pub struct StepController {
    model: String,
    settings: Settings,
    /// Until then an earlier leader's generations may be under way.
    earlier_leader_until: Millis,
    workers: BTreeMap<WorkerId, Worker>,
    load_limiter: LoadRateLimiter,
    in_flight: BTreeMap<(PromptId, WorkerId), PendingDraw>,
    /// Generations without an answer that may still be drawn; their prompts are drawn for elsewhere
    /// meanwhile.
    lingering: Vec<PendingDraw>,
    /// The step that is being prepared, and since when enough workers hold its version.
    ready_since: Option<(StepNumber, Millis)>,
    /// Workers that load before the step's version is known.
    first_wave: BTreeMap<WorkerId, FirstLoad>,
    /// The step and the state that were proposed last: once is enough.
    proposed: Option<(StepNumber, StepState, Option<Version>)>,
    /// The step under way, and when this leader saw it first.
    seen: Option<(StepNumber, Millis)>,
    /// Prompts of that step, and how often this leader had each drawn for.
    redrawn_prompts: BTreeMap<PromptId, u32>,
}

impl StepController {
    /// A leader that has just begun.
    pub fn new(model: String, settings: Settings, now: Millis) -> StepController {
        StepController {
            model,
            settings,
            earlier_leader_until: now
                + settings.lease_ms
                + settings.begin_timeout_ms
                + settings.generation_ms,
            workers: BTreeMap::new(),
            load_limiter: LoadRateLimiter::default(),
            in_flight: BTreeMap::new(),
            lingering: Vec::new(),
            ready_since: None,
            first_wave: BTreeMap::new(),
            proposed: None,
            seen: None,
            redrawn_prompts: BTreeMap::new(),
        }
    }

    /// The figures are others from now on.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Prompts of the step under way that this leader had drawn for more than once, and how often beyond the
    /// first.
    pub fn redrawn_prompts(&self) -> impl Iterator<Item = (PromptId, u32)> {
        let again = self.redrawn_prompts.iter().filter(|(_, begun)| **begun > 1);
        again.map(|(prompt, begun)| (*prompt, begun - 1))
    }

    /// Generations that this leader began and that may be under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len() + self.lingering.len()
    }

    /// Whether some prompt of the step under way could be drawn for now.
    pub fn drawable_prompts(&self, now: Millis, table: &StepTable) -> usize {
        let Some(step) = table.current(&self.model).filter(|step| step.state() == StepState::Open) else {
            return 0;
        };
        let Some(version) = step.version.filter(|_| step.has_min_workers()) else { return 0 };
        let slots: u32 = self.free_slots(now, step, version).iter().map(|(slots, _)| slots).sum();
        let missing = step.missing().count().saturating_sub(self.in_flight.len());
        missing.min(slots as usize)
    }

    /// The workers that it knows.
    pub fn workers(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }

    /// A worker reported.
    pub fn observe_report(&mut self, now: Millis, report: WorkerReport) {
        match self.workers.get_mut(&report.worker) {
            Some(worker) => worker.observe_report(now, report),
            None => drop(self.workers.insert(report.worker.clone(), Worker::new(now, report))),
        }
    }

    /// A worker's incarnation is gone for good. What it may still be drawing is waited for by its deadline.
    pub fn remove_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// The store's loads are used up by others: the worker is ordered at a later look.
    pub fn defer_load(&mut self, now: Millis, worker: &str) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.drain(now);
        }
    }

    /// An order was turned away, or has no known end.
    pub fn order_failed(&mut self, worker: &str) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.order_failed();
        }
    }

    /// A generation ended: what the ledger is to hear of it.
    pub fn draw_ended(&mut self, end: DrawEnd, table: &StepTable) -> Vec<Action> {
        let Draw { step, epoch, prompt, worker, version, .. } = end.draw;
        let known = self.in_flight.remove(&(prompt, worker.clone()));
        let versions = match end.outcome {
            DrawOutcome::Complete(versions) => versions,
            DrawOutcome::Over => return Vec::new(),
            DrawOutcome::Unknown => {
                self.lingering.extend(known);
                return Vec::new();
            }
        };
        let reason = match versions.single() {
            Some(drawn) if drawn == version => None,
            Some(_) => Some(RemovalReason::VersionMismatch),
            None => Some(RemovalReason::UnknownVersion),
        };
        let generation =
            Generation { step, epoch, prompt, worker: worker.clone(), versions, tokens: end.tokens };
        let mut actions = vec![Action::Propose(Command::Record(generation))];
        let is_member = table.step(step).is_some_and(|known| known.has_worker(&worker));
        if let Some(reason) = reason.filter(|_| is_member) {
            actions.push(Action::Propose(Command::RemoveWorker { step, worker, reason }));
        }
        actions
    }

    /// Time has passed, or something came: what is to be done now.
    pub fn tick(&mut self, now: Millis, table: &StepTable) -> Vec<Action> {
        self.tick_with_limit(now, table, usize::MAX)
    }

    /// The same, with no more generations begun than there are heads for.
    pub fn tick_with_limit(&mut self, now: Millis, table: &StepTable, max_draws: usize) -> Vec<Action> {
        self.in_flight.retain(|_, draw| now < draw.until);
        self.lingering.retain(|draw| now < draw.until);
        let Some(step) = table.current(&self.model) else { return Vec::new() };
        if self.is_overdue(now, step) {
            return self.propose_once(step, StepState::Aborted, None, Command::Abort { step: step.number });
        }
        match step.state() {
            StepState::Announced | StepState::Preparing => self.prepare(now, step),
            StepState::Open => self.draw(now, step, max_draws),
            StepState::Sealing => self.seal(now, step),
            StepState::Sealed | StepState::Aborted => Vec::new(),
        }
    }

    /// Whether the trainer's time for the step is over. What is being sealed is sealed.
    fn is_overdue(&mut self, now: Millis, step: &Step) -> bool {
        let since = match self.seen {
            Some((number, since)) if number == step.number => since,
            _ => {
                self.seen = Some((step.number, now));
                self.redrawn_prompts.clear();
                now
            }
        };
        let deadline = step.request.deadline_ms.filter(|_| step.state() != StepState::Sealing);
        deadline.is_some_and(|deadline| now >= since + deadline)
    }

    fn propose_once(
        &mut self,
        step: &Step,
        next: StepState,
        version: Option<Version>,
        command: Command,
    ) -> Vec<Action> {
        let mark = (step.number, next, version);
        if self.proposed == Some(mark) {
            return Vec::new();
        }
        self.proposed = Some(mark);
        vec![Action::Propose(command)]
    }

    /// A proposal was lost: the next look makes it again.
    pub fn proposal_lost(&mut self) {
        self.proposed = None;
    }

    // ---- preparing ----

    fn prepare(&mut self, now: Millis, step: &Step) -> Vec<Action> {
        let newest = self.newest_known(step);
        if let Some(version) = newest.filter(|version| step.version != Some(*version)) {
            let command = Command::FixVersion { step: step.number, version };
            return self.propose_once(step, StepState::Preparing, Some(version), command);
        }
        let mut actions = self.version_rollout(now, step);
        if let Some(version) = step.version {
            actions.extend(self.begin_if_ready(now, step, version));
        }
        actions
    }

    /// The version that the step should draw from, as far as it is known. A load brings in the newest, so a
    /// worker that loaded for this step tells it; a worker that came back by itself may be ahead of it.
    fn newest_known(&self, step: &Step) -> Option<Version> {
        if let RequestedVersion::Exactly(version) = step.request.version {
            return Some(version);
        }
        let held = self.workers.values().filter_map(|worker| match worker.state() {
            WorkerState::Verified(version) => Some(version),
            _ => None,
        });
        let newest = held.max();
        match step.version {
            Some(known) => Some(newest.map_or(known, |newest| newest.max(known))),
            None => newest.filter(|_| self.has_loaded_for(step)),
        }
    }

    /// Whether some worker has loaded since the step was asked for.
    fn has_loaded_for(&self, step: &Step) -> bool {
        self.first_wave.iter().filter(|(_, load)| load.step == step.number).any(|(worker, load)| {
            let back = self.workers.get(worker);
            back.is_some_and(|back| {
                back.report.sequence > load.sequence && matches!(back.state(), WorkerState::Verified(_))
            })
        })
    }

    fn version_rollout(&mut self, now: Millis, step: &Step) -> Vec<Action> {
        if let Some(wanted) = step.version {
            return self.moves(now, |worker| version_rollout::is_behind(worker, Some(wanted)));
        }
        // The first wave tells which version is the newest, and whether others have to load at all.
        let actions = self.moves(now, |_| true);
        for worker in actions.iter().filter_map(|action| match action {
            Action::Drain(worker) => Some(worker),
            _ => None,
        }) {
            let sequence = self.workers.get(worker).map_or(0, |known| known.report.sequence);
            self.first_wave.insert(worker.clone(), FirstLoad { step: step.number, sequence });
        }
        actions
    }

    fn moves(&mut self, now: Millis, is_due: impl Fn(&Worker) -> bool) -> Vec<Action> {
        let bounds = self.settings.version_rollout;
        let moves = version_rollout::plan(now, &bounds, &mut self.workers, &mut self.load_limiter, is_due);
        moves.into_iter().map(|next| self.action_of(next)).collect()
    }

    fn action_of(&mut self, next: WorkerAction) -> Action {
        match next {
            WorkerAction::Drain(worker) => Action::Drain(worker),
            WorkerAction::Load(worker) => {
                let if_revision = self.workers.get(&worker).map_or(0, |known| known.report.sequence);
                Action::Load { worker, if_revision }
            }
        }
    }

    fn begin_if_ready(&mut self, now: Millis, step: &Step, version: Version) -> Vec<Action> {
        let verified: BTreeSet<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_verified(now, version))
            .map(|(id, _)| id.clone())
            .collect();
        if verified.len() < step.request.floor.max(1) as usize {
            self.ready_since = None;
            return Vec::new();
        }
        let since = match self.ready_since {
            Some((number, since)) if number == step.number => since,
            _ => now,
        };
        self.ready_since = Some((step.number, since));
        let is_whole = verified.len() == self.workers.len();
        if !is_whole && now < since + self.settings.straggler_timeout_ms {
            return Vec::new();
        }
        // Whoever may still draw for the step before has run out of time.
        if now < self.earlier_leader_until || self.in_flight() > 0 {
            return Vec::new();
        }
        let command = Command::Open { step: step.number, members: verified };
        self.propose_once(step, StepState::Open, Some(version), command)
    }

    // ---- drawing ----

    fn draw(&mut self, now: Millis, step: &Step, most: usize) -> Vec<Action> {
        let mut actions = self.workers_to_remove(now, step);
        let (Some(epoch), Some(version)) = (step.epoch, step.version) else { return actions };
        if !step.has_min_workers() {
            return actions;
        }
        let drawn_for: BTreeSet<PromptId> = self.in_flight.keys().map(|(prompt, _)| *prompt).collect();
        let mut missing = step.missing().filter(|prompt| !drawn_for.contains(prompt));
        let mut free: Vec<(u32, WorkerId)> = self.free_slots(now, step, version);
        for _ in 0..most {
            let Some(place) = free.iter().position(|(slots, _)| *slots > 0) else { break };
            let Some(prompt) = missing.next() else { break };
            free[place].0 -= 1;
            let worker = free[place].1.clone();
            free.rotate_left(1);
            let within = step.request.generation_ms.min(self.settings.generation_ms);
            let until = now + self.settings.begin_timeout_ms + within;
            self.in_flight.insert((prompt, worker.clone()), PendingDraw { until });
            *self.redrawn_prompts.entry(prompt).or_default() += 1;
            actions.push(Action::Draw(Draw { step: step.number, epoch, prompt, worker, version, within }));
        }
        actions
    }

    /// Workers of the step that are gone, silent, or hold another version by their own word.
    fn workers_to_remove(&self, now: Millis, step: &Step) -> Vec<Action> {
        let reason = |worker: &WorkerId| {
            let Some(known) = self.workers.get(worker) else { return Some(RemovalReason::Lost) };
            match known.state() {
                WorkerState::Verified(version) if step.version != Some(version) => {
                    Some(RemovalReason::VersionMismatch)
                }
                _ if now >= known.reported_at + self.settings.silence_timeout_ms => {
                    Some(RemovalReason::Unresponsive)
                }
                _ => None,
            }
        };
        // A new leader has not heard all of them yet.
        if now < self.earlier_leader_until {
            return Vec::new();
        }
        let leaves = step.active_workers().filter_map(|worker| {
            let (step, worker, reason) = (step.number, worker.clone(), reason(worker)?);
            Some(Action::Propose(Command::RemoveWorker { step, worker, reason }))
        });
        leaves.collect()
    }

    /// Slots of the step's workers that what they serve does not need.
    fn free_slots(&self, now: Millis, step: &Step, version: Version) -> Vec<(u32, WorkerId)> {
        let mut out: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        for (_, worker) in self.in_flight.keys() {
            *out.entry(worker).or_default() += 1;
        }
        let out = |worker: &WorkerId| out.get(worker).copied().unwrap_or(0);
        let members = step.active_workers().filter_map(|id| Some((id, self.workers.get(id)?)));
        let able = members.filter(|(_, worker)| worker.is_verified(now, version));
        let free = able.map(|(id, worker)| {
            let report = &worker.report;
            // Its own report counts those of this step among its active ones, with some delay.
            let taken = report.active.max(out(id)) + self.settings.reserved_slots;
            (report.capacity.saturating_sub(taken), id.clone())
        });
        free.collect()
    }

    // ---- sealing ----

    fn seal(&mut self, now: Millis, step: &Step) -> Vec<Action> {
        if self.in_flight() > 0 || now < self.earlier_leader_until {
            return Vec::new();
        }
        self.propose_once(step, StepState::Sealed, None, Command::Seal { step: step.number })
    }

    /// Why a step does not go on, for operators.
    pub fn wait_reason(&self, now: Millis, table: &StepTable, number: StepNumber) -> Option<WaitReason> {
        let step = table.step(number).filter(|step| !step.state().is_final())?;
        if table.current(&self.model).is_some_and(|current| current.number < number) {
            return Some(WaitReason::EarlierStep);
        }
        match step.state() {
            StepState::Announced | StepState::Preparing => {
                let is_verified =
                    |worker: &&Worker| step.version.is_some_and(|version| worker.is_verified(now, version));
                let verified = self.workers.values().filter(is_verified).count();
                Some(WaitReason::Workers { verified, known: self.workers.len() })
            }
            StepState::Open if !step.has_min_workers() => Some(WaitReason::MinWorkers),
            StepState::Open if step.missing().next().is_some() => Some(WaitReason::Generations),
            StepState::Open => Some(WaitReason::Trainer),
            StepState::Sealing if self.in_flight() > 0 => Some(WaitReason::Generations),
            _ => Some(WaitReason::EarlierGenerations),
        }
    }
}
