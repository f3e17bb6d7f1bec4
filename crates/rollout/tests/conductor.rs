//! The leader's part: what it proposes, orders and says.

use pathbank_rollout::change_over::Bounds;
use pathbank_rollout::conductor::{Action, Conductor, Draw, DrawEnd, DrawOutcome, Settings, Waits};
use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::ledger::{Command, Ledger};
use pathbank_rollout::step::{LeaveReason, StepRequest};
use pathbank_rollout::worker::WorkerReport;
use std::collections::BTreeSet;
use test_case::test_case;

const SETTINGS: Settings = Settings {
    change_over: Bounds { serving_floor: 1, loads_per_s: 100.0, drain_ms: 100 },
    generation_ms: 1_000,
    begin_ms: 0,
    lease_ms: 100,
    serving_slots: 2,
    straggler_ms: 500,
    silence_ms: 2_000,
};

fn report(worker: &str, active: u32) -> WorkerReport {
    let (worker, zone) = (worker.to_owned(), "z".to_owned());
    WorkerReport { worker, zone, holds: Some(7), busy: false, sequence: 0, active, capacity: 4 }
}

/// A step that draws from version 7 for nine prompts with workers a and b.
fn open() -> (Ledger, Conductor) {
    let mut ledger = Ledger::default();
    let request = StepRequest::new("one", "m", 2);
    let commands = [
        Command::Announce(request),
        Command::Submit { step: 1, prompts: (1..10).collect() },
        Command::FixVersion { step: 1, version: 7 },
        Command::Begin { step: 1, members: BTreeSet::from(["a".into(), "b".into()]) },
    ];
    for (index, command) in (1..).zip(&commands) {
        ledger.apply(index, command).unwrap();
    }
    let mut conductor = Conductor::new("m".into(), SETTINGS, 0);
    ["a", "b"].iter().for_each(|worker| conductor.reported(5_000, report(worker, 0)));
    (ledger, conductor)
}

fn draws(actions: &[Action]) -> Vec<Draw> {
    let draw = |action: &Action| match action {
        Action::Draw(draw) => Some(draw.clone()),
        _ => None,
    };
    actions.iter().filter_map(draw).collect()
}

fn trail(head: Option<u64>, events: &[u64]) -> VersionTrail {
    let mut trail = VersionTrail::begin(head);
    events.iter().for_each(|version| trail.event(*version));
    trail.finish();
    trail
}

#[test_case(trail(Some(7), &[7]), None; "the step's version")]
#[test_case(trail(Some(8), &[]), Some(LeaveReason::OtherVersion); "another version")]
#[test_case(trail(Some(7), &[8]), Some(LeaveReason::NoVersion); "two versions")]
#[test_case(trail(None, &[7]), Some(LeaveReason::NoVersion); "no version at its head")]
fn a_worker_leaves_the_step_when_it_says(versions: VersionTrail, leaves: Option<LeaveReason>) {
    let (ledger, mut conductor) = open();
    let draw = draws(&conductor.tick(5_000, &ledger)).remove(0);
    let worker = draw.worker.clone();
    let end = DrawEnd { draw, outcome: DrawOutcome::Complete(versions), tokens: 10 };
    let actions = conductor.ended(end, &ledger);
    assert!(matches!(&actions[0], Action::Propose(Command::Record(_))), "the ledger judges it");
    let leave = leaves.map(|reason| Action::Propose(Command::Leave { step: 1, worker, reason }));
    assert_eq!(actions.get(1).cloned(), leave);
}

#[test]
fn generations_take_the_slots_that_merchants_leave() {
    let (ledger, mut conductor) = open();
    conductor.reported(5_000, report("a", 2));
    let begun = draws(&conductor.tick(5_000, &ledger));
    let at = |worker: &str| begun.iter().filter(|draw| draw.worker == worker).count();
    assert_eq!((at("a"), at("b")), (0, 2), "two slots are left free at each");
    assert!(begun.iter().all(|draw| draw.epoch == 4 && draw.version == 7 && draw.within == 1_000));
    assert_eq!(draws(&conductor.tick(5_010, &ledger)), [], "its own are counted before it reports them");
}

#[test]
fn a_prompt_whose_generation_broke_off_is_drawn_again() {
    let (ledger, mut conductor) = open();
    let first = draws(&conductor.tick(5_000, &ledger)).remove(0);
    let prompt = first.prompt;
    let broken = DrawEnd { draw: first, outcome: DrawOutcome::Over, tokens: 0 };
    assert_eq!(conductor.ended(broken, &ledger), []);
    let again = draws(&conductor.tick(5_010, &ledger));
    assert_eq!(again.iter().map(|draw| draw.prompt).collect::<Vec<_>>(), [prompt]);
}

#[test]
fn a_generation_that_is_never_heard_of_is_drawn_again_once_its_time_is_over() {
    let (ledger, mut conductor) = open();
    let first = draws(&conductor.tick(5_000, &ledger));
    conductor.reported(5_900, report("a", 0));
    conductor.reported(5_900, report("b", 0));
    assert_eq!(draws(&conductor.tick(5_999, &ledger)), []);
    let again = draws(&conductor.tick(6_000, &ledger));
    assert_eq!(again.len(), first.len());
}

#[test]
fn a_worker_that_is_gone_or_silent_leaves_the_step() {
    let (ledger, mut conductor) = open();
    conductor.gone("a");
    let leave =
        |worker: &str, reason| Action::Propose(Command::Leave { step: 1, worker: worker.into(), reason });
    assert!(conductor.tick(5_000, &ledger).contains(&leave("a", LeaveReason::Gone)));
    let late = conductor.tick(5_000 + SETTINGS.silence_ms, &ledger);
    assert!(late.contains(&leave("b", LeaveReason::Silent)), "{late:?}");
}

#[test]
fn a_new_leader_takes_nobody_for_gone_before_it_could_hear_of_all() {
    let (ledger, _) = open();
    let mut conductor = Conductor::new("m".into(), SETTINGS, 9_000);
    assert_eq!(conductor.tick(9_050, &ledger), []);
}

#[test]
fn what_a_step_waits_for_is_told() {
    let (mut ledger, mut conductor) = open();
    assert_eq!(conductor.waits(5_000, &ledger, 1), Some(Waits::Generations));
    let next = StepRequest::new("two", "m", 1);
    ledger.apply(9, &Command::Announce(next)).unwrap();
    assert_eq!(conductor.waits(5_000, &ledger, 2), Some(Waits::EarlierStep));
    conductor.tick(5_000, &ledger);
    ledger.apply(10, &Command::Close { step: 1, allow_missing: true }).unwrap();
    assert_eq!(conductor.waits(5_000, &ledger, 1), Some(Waits::Generations));
    conductor.tick(6_500, &ledger);
    assert_eq!(conductor.waits(6_500, &ledger, 1), Some(Waits::Deadlines));
    ledger.apply(11, &Command::Seal { step: 1 }).unwrap();
    assert_eq!(conductor.waits(6_500, &ledger, 1), None);
}

#[test]
fn what_may_still_be_drawn_holds_up_the_seal_and_not_its_prompt() {
    // Given a step whose generations are all under way, when one breaks off and its worker may go on with it,
    let (mut ledger, mut conductor) = open();
    let mut begun = draws(&conductor.tick(5_000, &ledger));
    let first = begun.remove(0);
    let prompt = first.prompt;
    conductor.ended(DrawEnd { draw: first, outcome: DrawOutcome::Unknown, tokens: 0 }, &ledger);
    // then its prompt is drawn for again at once,
    let again = draws(&conductor.tick(5_010, &ledger));
    assert_eq!(again.iter().map(|draw| draw.prompt).collect::<Vec<_>>(), [prompt]);
    assert_eq!(conductor.drawn_again().collect::<Vec<_>>(), [(prompt, 1)]);
    // and though all others have ended the step is not sealed before the broken one's time is over.
    ledger.apply(5, &Command::Close { step: 1, allow_missing: true }).unwrap();
    for draw in begun.into_iter().chain(again) {
        conductor.ended(DrawEnd { draw, outcome: DrawOutcome::Over, tokens: 0 }, &ledger);
    }
    assert_eq!(conductor.tick(5_999, &ledger), []);
    assert_eq!(conductor.tick(6_000, &ledger), [Action::Propose(Command::Seal { step: 1 })]);
}

#[test]
fn no_more_generations_begin_than_there_are_heads_for() {
    let (ledger, mut conductor) = open();
    assert_eq!(conductor.could_draw(5_000, &ledger), 4);
    assert_eq!(draws(&conductor.tick_within(5_000, &ledger, 3)).len(), 3);
    assert_eq!(conductor.could_draw(5_000, &ledger), 1);
    assert_eq!(draws(&conductor.tick_within(5_000, &ledger, 0)), []);
}

#[test]
fn a_generation_that_may_begin_late_is_waited_for_as_long() {
    let (ledger, _) = open();
    let settings = Settings { begin_ms: 300, ..SETTINGS };
    let mut conductor = Conductor::new("m".into(), settings, 0);
    ["a", "b"].iter().for_each(|worker| conductor.reported(5_000, report(worker, 0)));
    conductor.tick(5_000, &ledger);
    assert_eq!(draws(&conductor.tick(6_299, &ledger)), [], "it may have begun 300 ms later");
    assert_eq!(draws(&conductor.tick(6_300, &ledger)).len(), 4);
}

#[test]
fn a_step_that_takes_too_long_is_given_up() {
    let mut ledger = Ledger::default();
    let request = StepRequest { deadline_ms: Some(4_000), ..StepRequest::new("one", "m", 1) };
    ledger.apply(1, &Command::Announce(request)).unwrap();
    let mut conductor = Conductor::new("m".into(), SETTINGS, 0);
    assert_eq!(conductor.tick(1_000, &ledger), []);
    assert_eq!(conductor.tick(4_999, &ledger), []);
    assert_eq!(conductor.tick(5_000, &ledger), [Action::Propose(Command::Abort { step: 1 })]);
}
