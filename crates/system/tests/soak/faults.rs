//! Signals and restarts, drawn from a seed. Series overlap: what one disturbance ends comes while others are
//! under way.

use crate::findings::Findings;
use pathbank_system::local::{LocalSystem, Process};
use std::time::{Duration, Instant};

/// A process that got SIGTERM has ended within this, also on a busy machine.
const ENDS_WITHIN: Duration = Duration::from_secs(25);
/// A signal comes no sooner than this after a start: before, the program may not be loaded.
const LOADED_AFTER: Duration = Duration::from_millis(600);
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// After one in so many disturbances comes a calm time, long enough for all processes to be in touch.
const CALM_ONE_IN: u8 = 6;
const CALM_MS: std::ops::Range<u64> = 4_500..7_000;

/// What the disturbances may meet.
#[derive(Clone, Copy)]
pub struct Shape {
    pub cores: usize,
    pub edges: usize,
    pub lasts: Duration,
}

/// A process of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Core(usize),
    Edge(usize),
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Kill(Target),
    Start(Target),
    Terminate(Target),
    Reload(Target),
    Freeze(Target),
    Thaw(Target),
}

pub struct FaultPlan {
    /// By the time at which each is due.
    actions: Vec<(Duration, Action)>,
}

impl FaultPlan {
    /// Draws series of disturbances. Cores keep their disks, so any number of them may go.
    pub fn draw(seed: u64, shape: Shape) -> FaultPlan {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut calm = fastrand::Rng::with_seed(seed ^ 0xca1);
        let lasts_ms = shape.lasts.as_millis() as u64;
        let mut actions = Vec::new();
        let mut at = 300;
        while at < lasts_ms {
            let for_ms = random.u64(150..1_800);
            draw_one(&mut random, shape, at, for_ms, &mut actions);
            at += random.u64(100..1_200);
            if calm.u8(..CALM_ONE_IN) == 0 {
                at += calm.u64(CALM_MS);
            }
        }
        let ends = lasts_ms + 2_000;
        for target in all(shape) {
            actions.push((ends, Action::Thaw(target)));
            actions.push((ends, Action::Start(target)));
        }
        actions.sort_by_key(|(at, _)| *at);
        let actions = actions.into_iter().map(|(at, action)| (Duration::from_millis(at), action));
        FaultPlan { actions: actions.collect() }
    }

    /// Plays the plan. What ended in order starts again at once.
    pub fn play(self, system: &mut LocalSystem, findings: &Findings) {
        let began = Instant::now();
        let mut players = Players::new(system);
        for (at, action) in self.actions {
            while began.elapsed() < at {
                players.start_ended(findings);
                std::thread::sleep(LOOK_EVERY);
            }
            players.carry_out(action, findings);
        }
        while players.is_any_ending() {
            players.start_ended(findings);
            std::thread::sleep(LOOK_EVERY);
        }
    }
}

fn all(shape: Shape) -> impl Iterator<Item = Target> {
    (0..shape.cores).map(Target::Core).chain((0..shape.edges).map(Target::Edge))
}

fn draw_one(
    random: &mut fastrand::Rng,
    shape: Shape,
    at: u64,
    for_ms: u64,
    actions: &mut Vec<(u64, Action)>,
) {
    let core = Target::Core(random.usize(..shape.cores));
    let edge = Target::Edge(random.usize(..shape.edges));
    let mut both = |first: Action, then: Action| actions.extend([(at, first), (at + for_ms, then)]);
    match random.u8(..10) {
        0 => both(Action::Kill(core), Action::Start(core)),
        1 => both(Action::Freeze(core), Action::Thaw(core)),
        2 => both(Action::Kill(edge), Action::Start(edge)),
        3 => both(Action::Freeze(edge), Action::Thaw(edge)),
        4 => both(Action::Terminate(core), Action::Reload(core)),
        5 | 6 => both(Action::Terminate(edge), Action::Reload(edge)),
        7 => both(Action::Reload(core), Action::Reload(edge)),
        // All cores, killed or in order.
        8 => (0..shape.cores)
            .for_each(|core| both(Action::Kill(Target::Core(core)), Action::Start(Target::Core(core)))),
        _ => (0..shape.cores)
            .for_each(|core| both(Action::Terminate(Target::Core(core)), Action::Reload(Target::Core(core)))),
    }
}

/// A process and what is under way with it.
struct Player<'a> {
    target: Target,
    process: &'a mut Process,
    started: Instant,
    terminated: Option<Instant>,
    frozen: bool,
}

struct Players<'a> {
    players: Vec<Player<'a>>,
}

impl<'a> Players<'a> {
    fn new(system: &'a mut LocalSystem) -> Players<'a> {
        let player = |target, process| Player {
            target,
            process,
            started: Instant::now(),
            terminated: None,
            frozen: false,
        };
        let cores =
            system.cores.iter_mut().enumerate().map(|(at, process)| player(Target::Core(at), process));
        let edges =
            system.edges.iter_mut().enumerate().map(|(at, edge)| player(Target::Edge(at), &mut edge.process));
        Players { players: cores.chain(edges).collect() }
    }

    fn carry_out(&mut self, action: Action, findings: &Findings) {
        let target = match action {
            Action::Kill(target) | Action::Start(target) | Action::Terminate(target) => target,
            Action::Reload(target) | Action::Freeze(target) | Action::Thaw(target) => target,
        };
        if let Some(player) = self.players.iter_mut().find(|player| player.target == target) {
            player.carry_out(action, findings);
        }
    }

    fn start_ended(&mut self, findings: &Findings) {
        self.players.iter_mut().for_each(|player| player.start_if_ended(findings));
    }

    fn is_any_ending(&self) -> bool {
        self.players.iter().any(|player| player.terminated.is_some())
    }
}

impl Player<'_> {
    fn carry_out(&mut self, action: Action, findings: &Findings) {
        let is_loaded = self.started.elapsed() > LOADED_AFTER && !self.frozen;
        match action {
            Action::Kill(_) => {
                findings.count("kills");
                self.disturbs(findings);
                self.breaks(findings);
                self.process.kill();
                (self.terminated, self.frozen) = (None, false);
            }
            Action::Start(_) => self.start(findings),
            Action::Terminate(_) if is_loaded && self.terminated.is_none() && !self.process.has_ended() => {
                findings.count("terms");
                self.disturbs(findings);
                self.process.ask_to_stop();
                self.terminated = Some(Instant::now());
            }
            Action::Reload(_) if is_loaded => {
                findings.count("reloads");
                self.process.reload();
            }
            Action::Freeze(_) if is_loaded && self.terminated.is_none() => {
                findings.count("freezes");
                self.disturbs(findings);
                self.breaks(findings);
                self.process.freeze();
                self.frozen = true;
            }
            Action::Thaw(_) if self.frozen => {
                self.process.thaw();
                self.frozen = false;
                self.breaks(findings);
                self.disturbs(findings);
            }
            _ => {}
        }
    }

    /// The process is not in touch for a while.
    fn disturbs(&self, findings: &Findings) {
        match self.target {
            Target::Core(_) => findings.contact().core_disturbed(),
            Target::Edge(edge) => findings.contact().edge_disturbed(edge),
        }
    }

    /// An answer may be cut, or late, by what is done to the process.
    fn breaks(&self, findings: &Findings) {
        if let Target::Edge(edge) = self.target {
            findings.edge_breaks(edge);
        }
    }

    fn start(&mut self, findings: &Findings) {
        if self.terminated.is_some() || !self.process.has_ended() {
            return;
        }
        if let Target::Edge(edge) = self.target {
            findings.edge_starts(edge);
        }
        self.process.kill();
        self.process.start().expect("the program starts");
        self.started = Instant::now();
        self.disturbs(findings);
    }

    fn start_if_ended(&mut self, findings: &Findings) {
        let Some(since) = self.terminated else { return };
        if self.process.has_ended() {
            self.terminated = None;
            self.start(findings);
        } else if since.elapsed() > ENDS_WITHIN {
            findings.find(format!("{:?} has not ended {ENDS_WITHIN:?} after SIGTERM", self.target));
            self.breaks(findings);
            self.process.kill();
            self.terminated = None;
            self.start(findings);
        }
    }
}
