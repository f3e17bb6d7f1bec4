//! The heads' view of the fleet in virtual time: a network that loses, delays, repeats and cuts, heads that
//! end, stand still and come back, and a look at every head's view. The same seed plays the same run.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_coordination::gossip::datagram::{Body, Datagram, FleetKey, MAX_DATAGRAM_BYTES};
use pathbank_coordination::gossip::node::{GossipNode, Output};
use pathbank_coordination::gossip::timing::GossipTiming;
use pathbank_coordination::gossip::{Incarnation, Micros, NodeId, NodeRecord, NodeState};
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// Deliberate breaks, each of which a seed has to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    None,
    /// A verdict is answered in the same incarnation.
    NoLives,
    /// Those that are thought dead are never asked.
    NoKnocks,
    /// Views that differ are never repaired.
    NoRepairs,
    /// What is learned is not passed on.
    NoTells,
    /// Nobody asks for another.
    NoHelp,
    /// A head that stood still takes its own late verdicts for good: it is not told how long it was away.
    NoGrace,
    /// What the dead said comes back: each head's first life is told in the place of what is known.
    OldRumours,
    /// Verdicts within less than the time of a message.
    Hasty,
}

struct World {
    brk: Break,
    draw: fastrand::Rng,
    now: Micros,
    serial: u64,
    events: BTreeMap<(Micros, u64), Event>,
    heads: Vec<Option<GossipNode>>,
    /// What each one's clock of the day shows more than another's, in seconds.
    days: Vec<i64>,
    stopped: BTreeMap<usize, Micros>,
    /// From one to another, nothing arrives.
    cut: BTreeSet<(usize, usize)>,
    loss: u32,
    key: FleetKey,
    bytes: u64,
    longest: usize,
    /// Since when a head that runs and answers has been thought dead by another, and for how long at the
    /// most.
    wronged: BTreeMap<(usize, usize), Micros>,
    longest_wrong: Micros,
    wrongs: u64,
    /// Those who doubted one that runs and answers.
    doubts: u64,
    /// Heads that were cut off, stopped or dead of late: nobody is to blame for thinking so.
    troubled: BTreeMap<usize, Micros>,
    /// Heads that were cut off or dead of late: they could not know better. One that stood still has to.
    excused: BTreeMap<usize, Micros>,
}

enum Event {
    Tick(usize),
    Deliver(usize, Vec<u8>),
    Fault(Fault),
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    /// With its clock of the day so many seconds off.
    Start(usize, i64),
    Stop(usize, Micros),
    Cut(Vec<usize>, Vec<usize>),
    /// These two do not hear each other; all others hear both.
    Apart(usize, usize),
    Heal,
    Leave(usize),
    /// What was said at that time is said again.
    Raw(usize, Vec<u8>),
}

impl World {
    fn new(seed: u64, heads: usize, loss: u32, brk: Break) -> World {
        let mut world = World {
            brk,
            draw: fastrand::Rng::with_seed(seed),
            now: 1_000 * S,
            serial: 0,
            events: BTreeMap::new(),
            heads: (0..heads).map(|_| None).collect(),
            days: vec![0; heads],
            stopped: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss,
            key: FleetKey::derive("a fleet"),
            bytes: 0,
            longest: 0,
            wronged: BTreeMap::new(),
            longest_wrong: 0,
            wrongs: 0,
            doubts: 0,
            troubled: BTreeMap::new(),
            excused: BTreeMap::new(),
        };
        for head in 0..heads {
            world.days[head] = world.draw.i64(-40..40);
            world.start(head);
        }
        world
    }

    fn after(&mut self, time: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + time, self.serial), event);
    }

    fn fault(&mut self, time: Micros, fault: Fault) {
        self.after(time, Event::Fault(fault));
    }

    fn start(&mut self, head: usize) {
        let seconds = (1_700_000_000 + (self.now / S) as i64 + self.days[head]) as u64;
        let times = match self.brk {
            Break::Hasty => GossipTiming { probe_interval_us: MS, ..GossipTiming::default() },
            _ => GossipTiming::default(),
        };
        let seed = self.draw.u64(..);
        let heads = self.heads.len();
        self.heads[head] = Some(GossipNode::new(head as NodeId, heads, times, self.now, seconds, seed));
        self.after(0, Event::Tick(head));
    }

    /// What a broken head says in place of what it should.
    fn broken(&self, mut said: Datagram) -> Option<Datagram> {
        let first = |incarnation: Incarnation| Incarnation::from_bits(incarnation.bits() >> 16 << 16);
        let dead = |member: NodeId| {
            let known = |head: &Option<GossipNode>| head.as_ref()?.view().record(member);
            known(&self.heads[usize::from(said.from)])
                .is_none_or(|known| known.incarnation.is_unknown() || !known.state.is_running())
        };
        match (self.brk, &mut said.body) {
            (Break::NoKnocks, Body::Probe(_)) if dead(said.to) => return None,
            (Break::NoRepairs, Body::BlockDigests(_) | Body::Repair(_)) => return None,
            (Break::NoHelp, Body::IndirectProbe { .. }) => return None,
            (
                Break::NoTells,
                Body::Probe(records) | Body::Ack { records, .. } | Body::IndirectProbe { records, .. },
            ) => {
                records.clear();
            }
            (Break::NoLives, _) => said.incarnation = first(said.incarnation),
            (
                Break::OldRumours,
                Body::Probe(records)
                | Body::Ack { records, .. }
                | Body::IndirectProbe { records, .. }
                | Body::Repair(records),
            ) => records.iter_mut().filter(|(_, record)| record.state == NodeState::Dead).for_each(
                |(_, record)| {
                    *record = NodeRecord { incarnation: record.incarnation.next(), state: NodeState::Alive };
                },
            ),
            _ => {}
        }
        if self.brk == Break::NoLives
            && let Body::Probe(records)
            | Body::Ack { records, .. }
            | Body::IndirectProbe { records, .. }
            | Body::Repair(records) = &mut said.body
        {
            records.iter_mut().for_each(|(_, record)| record.incarnation = first(record.incarnation));
        }
        Some(said)
    }

    fn carry_out(&mut self, head: usize, out: Output) {
        for said in out.datagrams {
            let Some(said) = self.broken(said) else { continue };
            let (to, bytes) = (usize::from(said.to), said.encode(&self.key));
            self.bytes += bytes.len() as u64;
            self.longest = self.longest.max(bytes.len());
            let lost = self.draw.u32(..100) < self.loss || self.cut.contains(&(head, to));
            let copies = if lost { 0 } else { 1 + usize::from(self.draw.u32(..100) < 3) };
            for _ in 0..copies {
                let late = if self.draw.u32(..100) < 2 { 400 * MS } else { 6 * MS };
                let delay = MS / 5 + self.draw.u64(..late);
                self.after(delay, Event::Deliver(to, bytes.clone()));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let head = match &event {
            Event::Tick(head) | Event::Deliver(head, _) => Some(*head),
            Event::Fault(_) => None,
        };
        if let Some(until) = head.and_then(|head| self.stopped.get(&head).copied()) {
            if until > self.now {
                return self.after(until - self.now, event);
            }
            self.stopped.remove(&head.unwrap_or(0));
        }
        match event {
            Event::Tick(head) => {
                let now = self.now;
                let Some(member) = &mut self.heads[head] else { return };
                let out = member.tick(now);
                let wait = member.next_tick_at().saturating_sub(now).clamp(MS, 500 * MS);
                self.carry_out(head, out);
                self.after(wait, Event::Tick(head));
            }
            Event::Deliver(head, bytes) => {
                let now = self.now;
                let Some(member) = &mut self.heads[head] else { return };
                if let Ok(said) = Datagram::decode(&bytes, &self.key) {
                    let out = member.step(now, said);
                    self.carry_out(head, out);
                }
            }
            Event::Fault(fault) => self.break_it(fault),
        }
    }

    fn trouble(&mut self, head: usize, until: Micros) {
        self.troubled.insert(head, until);
        self.excused.insert(head, until);
    }

    fn break_it(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(head) => {
                self.heads[head] = None;
                self.events.retain(|_, event| !matches!(event, Event::Tick(of) if *of == head));
                self.trouble(head, now);
            }
            Fault::Start(head, off) => {
                self.days[head] += off;
                self.trouble(head, now);
                self.events.retain(|_, event| !matches!(event, Event::Tick(of) if *of == head));
                self.start(head);
            }
            Fault::Stop(head, time) => {
                if self.brk == Break::NoGrace {
                    // Its times go on as if nothing had been: all that it would have heard comes later.
                    let mut at = now;
                    while at < now + time
                        && let Some(member) = &mut self.heads[head]
                    {
                        let out = member.tick(at);
                        self.carry_out(head, out);
                        at += 20 * MS;
                    }
                }
                self.stopped.insert(head, now + time);
                self.troubled.insert(head, now + time);
            }
            Fault::Cut(some, others) => {
                for one in &some {
                    for other in others.iter().filter(|other| *other != one) {
                        self.cut.insert((*one, *other));
                    }
                    self.trouble(*one, Micros::MAX);
                }
                others.iter().for_each(|other| self.trouble(*other, Micros::MAX));
            }
            Fault::Apart(one, other) => {
                self.cut.extend([(one, other), (other, one)]);
            }
            Fault::Heal => {
                self.cut.clear();
                let all = self.troubled.values_mut().chain(self.excused.values_mut());
                all.filter(|at| **at == Micros::MAX).for_each(|at| *at = now);
            }
            Fault::Leave(head) => {
                if let Some(member) = &mut self.heads[head] {
                    let out = member.leave(now);
                    self.carry_out(head, out);
                }
                self.break_it(Fault::Kill(head));
            }
            Fault::Raw(head, bytes) => self.after(0, Event::Deliver(head, bytes)),
        }
    }

    /// Every head that runs holds the same view, and it is true.
    fn settled(&self) -> bool {
        let running: BTreeSet<NodeId> =
            (0..).zip(&self.heads).filter(|(_, head)| head.is_some()).map(|(number, _)| number).collect();
        let mut digests = BTreeSet::new();
        self.heads.iter().flatten().all(|member| {
            digests.insert(member.view().digest());
            digests.len() == 1 && member.view().running().eq(running.iter().copied())
        })
    }

    /// Heads that run and answer, and whom somebody takes for dead. What a fault did is not to blame until it
    /// must be over.
    fn look_for_wrongs(&mut self, grace: Micros) {
        let (mut wronged, mut doubts) = (BTreeMap::new(), 0);
        for (by, member) in self.heads.iter().enumerate().filter_map(|(by, head)| Some((by, head.as_ref()?)))
        {
            for (of, record) in member.view().records() {
                let of = usize::from(of);
                let trouble = |head: &usize| {
                    self.troubled.get(head).is_some_and(|at| self.now < at.saturating_add(grace))
                };
                let excused = self.excused.get(&by).is_some_and(|at| self.now < at.saturating_add(grace));
                let answers = self.heads[of].is_some() && !trouble(&of) && !excused;
                doubts += u64::from(answers && record.state == NodeState::Suspect);
                if answers && record.state == NodeState::Dead {
                    wronged.insert((by, of), *self.wronged.get(&(by, of)).unwrap_or(&self.now));
                }
            }
        }
        self.doubts += doubts;
        self.wrongs += wronged.keys().filter(|pair| !self.wronged.contains_key(pair)).count() as u64;
        let longest = wronged.values().map(|since| self.now - since).max().unwrap_or(0);
        self.longest_wrong = self.longest_wrong.max(longest);
        self.wronged = wronged;
    }

    fn run(&mut self, until: Micros) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    fn look(&mut self, time: Micros) {
        self.run(self.now + time);
        self.look_for_wrongs(promised(self.heads.len()));
    }

    /// How long after now the view settles and stays so to the end. `None`: it is not at the end.
    fn settles(&mut self, within: Micros) -> Option<Micros> {
        let (begun, mut last) = (self.now, 0);
        while self.now < begun + within {
            self.look(25 * MS);
            if !self.settled() {
                last = self.now - begun;
            }
        }
        self.settled().then_some(last)
    }
}

/// The promise: so long after the last fault, by the number of heads.
fn promised(heads: usize) -> Micros {
    GossipTiming::default().convergence_bound(heads)
}

/// All heads start at one moment; then the faults; then rest. How long until the view has settled.
fn play(
    seed: u64,
    heads: usize,
    loss: u32,
    brk: Break,
    faults: &[(Micros, Fault)],
) -> (World, Option<Micros>) {
    let mut world = World::new(seed, heads, loss, brk);
    faults.iter().for_each(|(at, fault)| world.fault(*at, fault.clone()));
    let last = faults.iter().map(|(at, fault)| match fault {
        Fault::Stop(_, time) => at + time,
        _ => *at,
    });
    let last = last.max().unwrap_or(0);
    let begun = world.now;
    while world.now < begun + last {
        world.look((begun + last - world.now).min(25 * MS));
    }
    let settled = world.settles(2 * promised(heads));
    (world, settled)
}

fn all(heads: usize) -> Vec<usize> {
    (0..heads).collect()
}

/// A cut between two groups, both ways.
fn between(at: Micros, some: &[usize], others: &[usize]) -> Vec<(Micros, Fault)> {
    vec![(at, Fault::Cut(some.to_vec(), others.to_vec())), (at, Fault::Cut(others.to_vec(), some.to_vec()))]
}

const SETTLED: Micros = 5 * S;
/// Long enough for verdicts to be passed.
const LONG: Micros = 8 * S;

/// Each hard case, ending with its last fault.
fn cases(heads: usize) -> Vec<(&'static str, Vec<(Micros, Fault)>)> {
    use Fault::*;
    let (half, third, last, most) = (heads / 2, heads / 3, heads - 1, heads * 7 / 10);
    let at = |time: Micros, fault: Fault| (SETTLED + time, fault);
    let kill = |time: Micros| (0..most).map(move |head| at(time, Kill(head)));
    let ids = all(heads);
    let three = [&ids[..third], &ids[third..2 * third], &ids[2 * third..]];
    let old = |to: usize| {
        let record =
            NodeRecord { incarnation: Incarnation::started_at(1_600_000_000), state: NodeState::Dead };
        Datagram {
            from: last as NodeId,
            to: to as NodeId,
            incarnation: Incarnation::started_at(1_600_000_000),
            joined: true,
            sequence: 1,
            digest: 9,
            status: Default::default(),
            body: Body::Repair((0..heads.min(20) as NodeId).map(|member| (member, record)).collect()),
        }
    };
    let key = FleetKey::derive("a fleet");
    let mut cases = vec![
        ("all start at one moment", vec![]),
        ("one dies", vec![at(0, Kill(last))]),
        ("one leaves", vec![at(0, Leave(last))]),
        ("seven in ten die", kill(0).collect()),
        (
            "seven in ten die and come back with nothing",
            kill(0).chain((0..most).map(|head| at(4 * S, Start(head, 0)))).collect(),
        ),
        ("one comes back within a period", vec![at(0, Kill(last)), at(60 * MS, Start(last, 0))]),
        (
            "one comes back with its clock an hour behind",
            vec![at(0, Kill(last)), at(3 * S, Start(last, -3_600))],
        ),
        ("one stands still for 3 s", vec![at(0, Stop(last, 3 * S))]),
        (
            "one comes and goes every second",
            (0..6).map(|n| at(n * S, if n % 2 == 0 { Kill(last) } else { Start(last, 0) })).collect(),
        ),
        (
            "what is foreign, cut, old or for another head",
            vec![
                at(0, Raw(0, old(0).encode(&FleetKey::derive("another fleet")))),
                at(0, Raw(0, old(0).encode(&key)[..50].to_vec())),
                at(0, Raw(0, old(0).encode(&key))),
                at(0, Raw(0, old(heads).encode(&key))),
            ],
        ),
        ("two halves", [between(SETTLED, &ids[..half], &ids[half..]), vec![at(LONG, Heal)]].concat()),
        (
            "three parts",
            [
                between(SETTLED, three[0], three[1]),
                between(SETTLED + S, three[0], three[2]),
                between(SETTLED + 2 * S, three[1], three[2]),
                vec![at(LONG, Heal)],
            ]
            .concat(),
        ),
        ("one way only", vec![at(0, Cut(ids[..half].to_vec(), ids[half..].to_vec())), at(LONG, Heal)]),
        ("one hears all and is heard by none", vec![at(0, Cut(vec![last], ids.clone())), at(LONG, Heal)]),
        ("one hears nobody and is heard by all", vec![at(0, Cut(ids.clone(), vec![last])), at(LONG, Heal)]),
    ];
    let unreachable = [vec![(0, Cut(ids.clone(), ids.clone()))], vec![(6 * S, Heal)]].concat();
    cases.push(("nobody is reached at the start", unreachable));
    // Of two, each would be alone.
    if heads > 2 {
        cases
            .push(("two do not hear each other", vec![at(0, Apart(0, last)), at(6 * S, Raw(0, Vec::new()))]));
    }
    cases
}

/// How many seeds: `FLEET_SEEDS` for a long run; and heads: `FLEET_HEADS`.
fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// What is wrong with a run, by the promise.
fn wrong(heads: usize, world: &World, settled: Option<Micros>) -> Option<String> {
    let most = promised(heads);
    match settled {
        None => Some(format!("it never settled in {} ms", 2 * most / MS)),
        Some(took) if took > most => Some(format!("it settled after {} ms of {}", took / MS, most / MS)),
        _ if world.longest_wrong > most => {
            Some(format!("one was wronged for {} ms", world.longest_wrong / MS))
        }
        _ if world.loss == 0 && world.wrongs + world.doubts > 0 => {
            Some(format!("{} were wronged and {} doubted", world.wrongs, world.doubts))
        }
        _ if world.longest > MAX_DATAGRAM_BYTES => Some(format!("a datagram had {} bytes", world.longest)),
        _ => None,
    }
}

fn the_view_settles(heads: usize, loss: u32, seeds: u64) {
    for (what, faults) in cases(heads) {
        let mut took = Vec::new();
        for seed in 0..seeds {
            let (world, settled) = play(seed, heads, loss, Break::None, &faults);
            let found = wrong(heads, &world, settled);
            assert_eq!(found, None, "seed {seed}, {heads} heads, {loss}% lost: {what}");
            took.push((settled.unwrap_or(0) / MS, world.wrongs, world.longest_wrong / MS));
        }
        let (most, wrongs) = (took.iter().max(), took.iter().map(|(_, wrongs, _)| wrongs).sum::<u64>());
        let longest = took.iter().map(|(.., longest)| longest).max();
        println!(
            "{heads} heads, {loss}% lost, {what}: {most:?} ms at the most, {wrongs} wronged, longest {longest:?} ms"
        );
    }
}

#[test]
fn a_head_alone_is_a_fleet() {
    let (world, settled) = play(1, 1, 0, Break::None, &[]);
    assert_eq!((settled, world.bytes), (Some(0), 0));
}

#[test]
fn two_heads_settle_within_the_promise() {
    the_view_settles(2, 10, number("FLEET_SEEDS", 5));
}

#[test]
fn a_few_heads_settle_within_the_promise() {
    the_view_settles(5, 10, number("FLEET_SEEDS", 5));
}

#[test]
fn thirty_heads_settle_within_the_promise() {
    the_view_settles(30, 10, number("FLEET_SEEDS", 1));
}

#[test]
fn many_heads_settle_within_the_promise() {
    the_view_settles(number("FLEET_HEADS", 40) as usize, 10, number("FLEET_SEEDS", 1));
}

/// Without losses nobody that answers is ever taken for dead.
#[test]
fn nobody_is_wronged_where_nothing_is_lost() {
    for (what, faults) in cases(30) {
        let (world, settled) = play(3, 30, 0, Break::None, &faults);
        assert_eq!(wrong(30, &world, settled), None, "{what}");
    }
}

#[test]
fn the_same_seed_plays_the_same_run() {
    let told = || {
        let (world, settled) = play(7, 20, 10, Break::None, &cases(20)[4].1);
        (world.bytes, world.serial, settled)
    };
    assert_eq!(told(), told());
}

/// Which case of which seed catches it.
fn caught(brk: Break, heads: usize, loss: u32, seed: u64) -> Option<(&'static str, String)> {
    cases(heads).into_iter().find_map(|(what, faults)| {
        let (world, settled) = play(seed, heads, loss, brk, &faults);
        wrong(heads, &world, settled).map(|found| (what, found))
    })
}

macro_rules! breaks {
    ($($test:ident $brk:ident $heads:literal $loss:literal $seed:literal)*) => {
        $(#[test]
        fn $test() {
            let found = caught(Break::$brk, $heads, $loss, $seed);
            println!("{:?}: {found:?}", Break::$brk);
            assert!(found.is_some(), "{:?} goes uncaught", Break::$brk);
        })*
    };
}

breaks! {
    verdicts_without_lives_are_caught NoLives 10 0 1
    nobody_asking_the_dead_is_caught NoKnocks 10 0 1
    views_that_are_not_repaired_are_caught NoRepairs 60 0 1
    news_that_is_not_passed_on_is_caught NoTells 60 10 1
    asking_without_help_is_caught NoHelp 10 0 1
    late_verdicts_are_caught NoGrace 10 0 1
    old_rumours_are_caught OldRumours 10 0 1
    hasty_verdicts_are_caught Hasty 10 0 1
}
