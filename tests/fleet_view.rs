//! Simulation of the gossip protocol in virtual time. The network loses, delays and duplicates datagrams and
//! partitions; hosts end, pause and restart; and the test compares the views of all hosts. The same seed
//! gives the same run.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_coordination::gossip::datagram::{Body, Datagram, FleetKey, MAX_DATAGRAM_BYTES};
use pathbank_coordination::gossip::node::{GossipNode, Output};
use pathbank_coordination::gossip::timing::GossipTiming;
use pathbank_coordination::gossip::{Incarnation, Micros, NodeId, NodeRecord, NodeState};
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// Deliberate faults in the protocol, each of which a test must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// A host refutes its own death without a new incarnation.
    NoNewIncarnation,
    /// Hosts that are considered dead are never probed.
    NoProbesToDead,
    /// Differing views are never repaired.
    NoRepairs,
    /// Hosts do not pass on the records that they learn.
    NoGossip,
    /// No host sends indirect probes.
    NoIndirectProbes,
    /// A host that was paused acts on its own overdue timeouts, because it does not learn how long it was
    /// paused.
    NoPauseDetection,
    /// A dead host is reported as alive in a newer incarnation.
    DeadReportedAlive,
    /// Timeouts are shorter than the delay of a message.
    ShortTimeouts,
}

struct World {
    defect: Defect,
    random: fastrand::Rng,
    now: Micros,
    event_count: u64,
    events: BTreeMap<(Micros, u64), Event>,
    heads: Vec<Option<GossipNode>>,
    /// Offset of each host's wall clock, in seconds.
    clock_offsets: Vec<i64>,
    paused_until: BTreeMap<usize, Micros>,
    /// Pairs of sender and receiver between which every datagram is lost.
    cut: BTreeSet<(usize, usize)>,
    loss: u32,
    key: FleetKey,
    bytes: u64,
    longest: usize,
    /// For each pair of observer and host: since when the observer has considered the host dead although the
    /// host runs and answers.
    false_deaths: BTreeMap<(usize, usize), Micros>,
    /// Longest duration of such a false death.
    longest_false_death: Micros,
    /// Number of false deaths.
    false_death_count: u64,
    /// Number of observations in which a host that runs and answers was suspected.
    suspicion_count: u64,
    /// When each host was last partitioned, paused or dead: until the bound has passed after that, other
    /// hosts may consider it dead.
    disturbed_at: BTreeMap<usize, Micros>,
    /// When each host was last partitioned or dead: until the bound has passed after that, its own view may
    /// be wrong. A pause is no excuse.
    excused_at: BTreeMap<usize, Micros>,
}

enum Event {
    Tick(usize),
    Deliver(usize, Vec<u8>),
    Fault(Fault),
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    /// Starts a host, with its wall clock shifted by so many seconds.
    Start(usize, i64),
    Stop(usize, Micros),
    Cut(Vec<usize>, Vec<usize>),
    /// These two hosts do not hear each other; all others hear both.
    Apart(usize, usize),
    Heal,
    Leave(usize),
    /// Delivers these bytes to a host.
    Raw(usize, Vec<u8>),
}

impl World {
    fn new(seed: u64, heads: usize, loss: u32, defect: Defect) -> World {
        let mut world = World {
            defect,
            random: fastrand::Rng::with_seed(seed),
            now: 1_000 * S,
            event_count: 0,
            events: BTreeMap::new(),
            heads: (0..heads).map(|_| None).collect(),
            clock_offsets: vec![0; heads],
            paused_until: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss,
            key: FleetKey::derive("a fleet"),
            bytes: 0,
            longest: 0,
            false_deaths: BTreeMap::new(),
            longest_false_death: 0,
            false_death_count: 0,
            suspicion_count: 0,
            disturbed_at: BTreeMap::new(),
            excused_at: BTreeMap::new(),
        };
        for head in 0..heads {
            world.clock_offsets[head] = world.random.i64(-40..40);
            world.start(head);
        }
        world
    }

    fn after(&mut self, time: Micros, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + time, self.event_count), event);
    }

    fn fault(&mut self, time: Micros, fault: Fault) {
        self.after(time, Event::Fault(fault));
    }

    fn start(&mut self, head: usize) {
        let seconds = (1_700_000_000 + (self.now / S) as i64 + self.clock_offsets[head]) as u64;
        let times = match self.defect {
            Defect::ShortTimeouts => GossipTiming { probe_interval_us: MS, ..GossipTiming::default() },
            _ => GossipTiming::default(),
        };
        let seed = self.random.u64(..);
        let heads = self.heads.len();
        self.heads[head] = Some(GossipNode::new(head as NodeId, heads, times, self.now, seconds, seed));
        self.after(0, Event::Tick(head));
    }

    /// Alters a datagram as the deliberate fault demands; `None` drops it.
    fn apply_defect(&self, mut datagram: Datagram) -> Option<Datagram> {
        let first = |incarnation: Incarnation| Incarnation::from_bits(incarnation.bits() >> 16 << 16);
        let dead = |member: NodeId| {
            let known = |head: &Option<GossipNode>| head.as_ref()?.view().record(member);
            known(&self.heads[usize::from(datagram.from)])
                .is_none_or(|known| known.incarnation.is_unknown() || !known.state.is_running())
        };
        match (self.defect, &mut datagram.body) {
            (Defect::NoProbesToDead, Body::Probe(_)) if dead(datagram.to) => return None,
            (Defect::NoRepairs, Body::BlockDigests(_) | Body::Repair(_)) => return None,
            (Defect::NoIndirectProbes, Body::IndirectProbe { .. }) => return None,
            (
                Defect::NoGossip,
                Body::Probe(records) | Body::Ack { records, .. } | Body::IndirectProbe { records, .. },
            ) => {
                records.clear();
            }
            (Defect::NoNewIncarnation, _) => datagram.incarnation = first(datagram.incarnation),
            (
                Defect::DeadReportedAlive,
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
        if self.defect == Defect::NoNewIncarnation
            && let Body::Probe(records)
            | Body::Ack { records, .. }
            | Body::IndirectProbe { records, .. }
            | Body::Repair(records) = &mut datagram.body
        {
            records.iter_mut().for_each(|(_, record)| record.incarnation = first(record.incarnation));
        }
        Some(datagram)
    }

    fn apply(&mut self, head: usize, out: Output) {
        for datagram in out.datagrams {
            let Some(datagram) = self.apply_defect(datagram) else { continue };
            let (to, bytes) = (usize::from(datagram.to), datagram.encode(&self.key));
            self.bytes += bytes.len() as u64;
            self.longest = self.longest.max(bytes.len());
            let lost = self.random.u32(..100) < self.loss || self.cut.contains(&(head, to));
            let copies = if lost { 0 } else { 1 + usize::from(self.random.u32(..100) < 3) };
            for _ in 0..copies {
                let late = if self.random.u32(..100) < 2 { 400 * MS } else { 6 * MS };
                let delay = MS / 5 + self.random.u64(..late);
                self.after(delay, Event::Deliver(to, bytes.clone()));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let head = match &event {
            Event::Tick(head) | Event::Deliver(head, _) => Some(*head),
            Event::Fault(_) => None,
        };
        if let Some(until) = head.and_then(|head| self.paused_until.get(&head).copied()) {
            if until > self.now {
                return self.after(until - self.now, event);
            }
            self.paused_until.remove(&head.unwrap_or(0));
        }
        match event {
            Event::Tick(head) => {
                let now = self.now;
                let Some(member) = &mut self.heads[head] else { return };
                let out = member.tick(now);
                let wait = member.next_tick_at().saturating_sub(now).clamp(MS, 500 * MS);
                self.apply(head, out);
                self.after(wait, Event::Tick(head));
            }
            Event::Deliver(head, bytes) => {
                let now = self.now;
                let Some(member) = &mut self.heads[head] else { return };
                if let Ok(datagram) = Datagram::decode(&bytes, &self.key) {
                    let out = member.step(now, datagram);
                    self.apply(head, out);
                }
            }
            Event::Fault(fault) => self.inject(fault),
        }
    }

    fn disturb(&mut self, head: usize, until: Micros) {
        self.disturbed_at.insert(head, until);
        self.excused_at.insert(head, until);
    }

    fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(head) => {
                self.heads[head] = None;
                self.events.retain(|_, event| !matches!(event, Event::Tick(of) if *of == head));
                self.disturb(head, now);
            }
            Fault::Start(head, off) => {
                self.clock_offsets[head] += off;
                self.disturb(head, now);
                self.events.retain(|_, event| !matches!(event, Event::Tick(of) if *of == head));
                self.start(head);
            }
            Fault::Stop(head, time) => {
                if self.defect == Defect::NoPauseDetection {
                    // The host's timers go on as if it had not paused, and all that it would have received
                    // arrives later.
                    let mut at = now;
                    while at < now + time
                        && let Some(member) = &mut self.heads[head]
                    {
                        let out = member.tick(at);
                        self.apply(head, out);
                        at += 20 * MS;
                    }
                }
                self.paused_until.insert(head, now + time);
                self.disturbed_at.insert(head, now + time);
            }
            Fault::Cut(some, others) => {
                for one in &some {
                    for other in others.iter().filter(|other| *other != one) {
                        self.cut.insert((*one, *other));
                    }
                    self.disturb(*one, Micros::MAX);
                }
                others.iter().for_each(|other| self.disturb(*other, Micros::MAX));
            }
            Fault::Apart(one, other) => {
                self.cut.extend([(one, other), (other, one)]);
            }
            Fault::Heal => {
                self.cut.clear();
                let all = self.disturbed_at.values_mut().chain(self.excused_at.values_mut());
                all.filter(|at| **at == Micros::MAX).for_each(|at| *at = now);
            }
            Fault::Leave(head) => {
                if let Some(member) = &mut self.heads[head] {
                    let out = member.leave(now);
                    self.apply(head, out);
                }
                self.inject(Fault::Kill(head));
            }
            Fault::Raw(head, bytes) => self.after(0, Event::Deliver(head, bytes)),
        }
    }

    /// Returns whether all running hosts hold the same, correct view.
    fn settled(&self) -> bool {
        let running: BTreeSet<NodeId> =
            (0..).zip(&self.heads).filter(|(_, head)| head.is_some()).map(|(number, _)| number).collect();
        let mut digests = BTreeSet::new();
        self.heads.iter().flatten().all(|member| {
            digests.insert(member.view().digest());
            digests.len() == 1 && member.view().running().eq(running.iter().copied())
        })
    }

    /// Records which running hosts others consider dead or suspect. The effects of a fault are not counted
    /// until `grace` has passed after the fault.
    fn record_false_deaths(&mut self, grace: Micros) {
        let (mut false_deaths, mut suspicion_count) = (BTreeMap::new(), 0);
        for (by, member) in self.heads.iter().enumerate().filter_map(|(by, head)| Some((by, head.as_ref()?)))
        {
            for (of, record) in member.view().records() {
                let of = usize::from(of);
                let recently_disturbed = |head: &usize| {
                    self.disturbed_at.get(head).is_some_and(|at| self.now < at.saturating_add(grace))
                };
                let excused = self.excused_at.get(&by).is_some_and(|at| self.now < at.saturating_add(grace));
                let answers = self.heads[of].is_some() && !recently_disturbed(&of) && !excused;
                suspicion_count += u64::from(answers && record.state == NodeState::Suspect);
                if answers && record.state == NodeState::Dead {
                    false_deaths.insert((by, of), *self.false_deaths.get(&(by, of)).unwrap_or(&self.now));
                }
            }
        }
        self.suspicion_count += suspicion_count;
        self.false_death_count +=
            false_deaths.keys().filter(|pair| !self.false_deaths.contains_key(pair)).count() as u64;
        let longest = false_deaths.values().map(|since| self.now - since).max().unwrap_or(0);
        self.longest_false_death = self.longest_false_death.max(longest);
        self.false_deaths = false_deaths;
    }

    fn run(&mut self, until: Micros) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    fn advance(&mut self, time: Micros) {
        self.run(self.now + time);
        self.record_false_deaths(convergence_bound(self.heads.len()));
    }

    /// Runs for `within` and returns how long it takes until the views agree for the rest of that time, or
    /// `None` if they disagree at the end.
    fn convergence_time(&mut self, within: Micros) -> Option<Micros> {
        let (begun, mut last) = (self.now, 0);
        while self.now < begun + within {
            self.advance(25 * MS);
            if !self.settled() {
                last = self.now - begun;
            }
        }
        self.settled().then_some(last)
    }
}

/// Bound on the time from the last fault until the views agree, by the number of hosts.
fn convergence_bound(heads: usize) -> Micros {
    GossipTiming::default().convergence_bound(heads)
}

/// Starts all hosts at once, injects the faults, and returns how long after the last fault the views agree.
fn simulate(
    seed: u64,
    heads: usize,
    loss: u32,
    defect: Defect,
    faults: &[(Micros, Fault)],
) -> (World, Option<Micros>) {
    let mut world = World::new(seed, heads, loss, defect);
    faults.iter().for_each(|(at, fault)| world.fault(*at, fault.clone()));
    let last = faults.iter().map(|(at, fault)| match fault {
        Fault::Stop(_, time) => at + time,
        _ => *at,
    });
    let last = last.max().unwrap_or(0);
    let begun = world.now;
    while world.now < begun + last {
        world.advance((begun + last - world.now).min(25 * MS));
    }
    let settled = world.convergence_time(2 * convergence_bound(heads));
    (world, settled)
}

fn all(heads: usize) -> Vec<usize> {
    (0..heads).collect()
}

/// A partition between two groups, in both directions.
fn partition(at: Micros, some: &[usize], others: &[usize]) -> Vec<(Micros, Fault)> {
    vec![(at, Fault::Cut(some.to_vec(), others.to_vec())), (at, Fault::Cut(others.to_vec(), some.to_vec()))]
}

/// Time after the start by which the hosts have converged; the faults begin then.
const CONVERGED: Micros = 5 * S;
/// Long enough for hosts to be declared dead.
const PARTITION_DURATION: Micros = 8 * S;

/// The test cases: a description and the faults of each.
fn cases(heads: usize) -> Vec<(&'static str, Vec<(Micros, Fault)>)> {
    use Fault::*;
    let (half, third, last, most) = (heads / 2, heads / 3, heads - 1, heads * 7 / 10);
    let at = |time: Micros, fault: Fault| (CONVERGED + time, fault);
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
        ("all hosts start at once", vec![]),
        ("one dies", vec![at(0, Kill(last))]),
        ("one leaves", vec![at(0, Leave(last))]),
        ("seven in ten die", kill(0).collect()),
        (
            "seven in ten die and restart without state",
            kill(0).chain((0..most).map(|head| at(4 * S, Start(head, 0)))).collect(),
        ),
        ("one restarts within a probe interval", vec![at(0, Kill(last)), at(60 * MS, Start(last, 0))]),
        (
            "one restarts with its clock an hour behind",
            vec![at(0, Kill(last)), at(3 * S, Start(last, -3_600))],
        ),
        ("one pauses for 3 s", vec![at(0, Stop(last, 3 * S))]),
        (
            "one stops and starts every second",
            (0..6).map(|n| at(n * S, if n % 2 == 0 { Kill(last) } else { Start(last, 0) })).collect(),
        ),
        (
            "datagrams that are foreign, truncated, old or for another host",
            vec![
                at(0, Raw(0, old(0).encode(&FleetKey::derive("another fleet")))),
                at(0, Raw(0, old(0).encode(&key)[..50].to_vec())),
                at(0, Raw(0, old(0).encode(&key))),
                at(0, Raw(0, old(heads).encode(&key))),
            ],
        ),
        (
            "a partition into two halves",
            [partition(CONVERGED, &ids[..half], &ids[half..]), vec![at(PARTITION_DURATION, Heal)]].concat(),
        ),
        (
            "a partition into three parts",
            [
                partition(CONVERGED, three[0], three[1]),
                partition(CONVERGED + S, three[0], three[2]),
                partition(CONVERGED + 2 * S, three[1], three[2]),
                vec![at(PARTITION_DURATION, Heal)],
            ]
            .concat(),
        ),
        (
            "a partition in one direction",
            vec![at(0, Cut(ids[..half].to_vec(), ids[half..].to_vec())), at(PARTITION_DURATION, Heal)],
        ),
        (
            "one hears all others and none hears it",
            vec![at(0, Cut(vec![last], ids.clone())), at(PARTITION_DURATION, Heal)],
        ),
        (
            "one hears no other and all hear it",
            vec![at(0, Cut(ids.clone(), vec![last])), at(PARTITION_DURATION, Heal)],
        ),
    ];
    let unreachable = [vec![(0, Cut(ids.clone(), ids.clone()))], vec![(6 * S, Heal)]].concat();
    cases.push(("no host reaches another at the start", unreachable));
    // With two hosts, each would be alone.
    if heads > 2 {
        cases.push((
            "two hosts do not hear each other",
            vec![at(0, Apart(0, last)), at(6 * S, Raw(0, Vec::new()))],
        ));
    }
    cases
}

/// Reads a number from the environment: `FLEET_SEEDS` sets the number of seeds for a long run, `FLEET_HEADS`
/// the number of hosts.
fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Returns how a run violates the bounds, or `None` if it does not.
fn violation(heads: usize, world: &World, settled: Option<Micros>) -> Option<String> {
    let most = convergence_bound(heads);
    match settled {
        None => Some(format!("the views did not agree within {} ms", 2 * most / MS)),
        Some(took) if took > most => {
            Some(format!("the views agreed after {} ms, the bound is {} ms", took / MS, most / MS))
        }
        _ if world.longest_false_death > most => {
            Some(format!("a running host was considered dead for {} ms", world.longest_false_death / MS))
        }
        _ if world.loss == 0 && world.false_death_count + world.suspicion_count > 0 => Some(format!(
            "running hosts: {} false deaths and {} suspicions",
            world.false_death_count, world.suspicion_count
        )),
        _ if world.longest > MAX_DATAGRAM_BYTES => Some(format!("a datagram had {} bytes", world.longest)),
        _ => None,
    }
}

fn assert_views_converge(heads: usize, loss: u32, seeds: u64) {
    for (what, faults) in cases(heads) {
        let mut took = Vec::new();
        for seed in 0..seeds {
            let (world, settled) = simulate(seed, heads, loss, Defect::None, &faults);
            let found = violation(heads, &world, settled);
            assert_eq!(found, None, "seed {seed}, {heads} hosts, {loss}% lost: {what}");
            took.push((settled.unwrap_or(0) / MS, world.false_death_count, world.longest_false_death / MS));
        }
        let (most, false_death_count) =
            (took.iter().max(), took.iter().map(|(_, false_death_count, _)| false_death_count).sum::<u64>());
        let longest = took.iter().map(|(.., longest)| longest).max();
        println!(
            "{heads} hosts, {loss}% lost, {what}: at most {most:?} ms, {false_death_count} false deaths, longest {longest:?} ms"
        );
    }
}

#[test]
fn a_single_host_converges_without_datagrams() {
    let (world, settled) = simulate(1, 1, 0, Defect::None, &[]);
    assert_eq!((settled, world.bytes), (Some(0), 0));
}

#[test]
fn two_hosts_converge_within_the_bound() {
    assert_views_converge(2, 10, number("FLEET_SEEDS", 5));
}

#[test]
fn five_hosts_converge_within_the_bound() {
    assert_views_converge(5, 10, number("FLEET_SEEDS", 5));
}

#[test]
fn thirty_hosts_converge_within_the_bound() {
    assert_views_converge(30, 10, number("FLEET_SEEDS", 1));
}

#[test]
fn many_hosts_converge_within_the_bound() {
    assert_views_converge(number("FLEET_HEADS", 40) as usize, 10, number("FLEET_SEEDS", 1));
}

/// Without losses, no host that answers is ever considered dead or suspect.
#[test]
fn no_running_host_is_considered_dead_without_losses() {
    for (what, faults) in cases(30) {
        let (world, settled) = simulate(3, 30, 0, Defect::None, &faults);
        assert_eq!(violation(30, &world, settled), None, "{what}");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let (world, settled) = simulate(7, 20, 10, Defect::None, &cases(20)[4].1);
        (world.bytes, world.event_count, settled)
    };
    assert_eq!(run(), run());
}

/// Returns the first test case that detects the fault, with the violation found.
fn detecting_case(defect: Defect, heads: usize, loss: u32, seed: u64) -> Option<(&'static str, String)> {
    cases(heads).into_iter().find_map(|(what, faults)| {
        let (world, settled) = simulate(seed, heads, loss, defect, &faults);
        violation(heads, &world, settled).map(|found| (what, found))
    })
}

macro_rules! defect_tests {
    ($($test:ident $defect:ident $heads:literal $loss:literal $seed:literal)*) => {
        $(#[test]
        fn $test() {
            let found = detecting_case(Defect::$defect, $heads, $loss, $seed);
            println!("{:?}: {found:?}", Defect::$defect);
            assert!(found.is_some(), "no test case detects {:?}", Defect::$defect);
        })*
    };
}

defect_tests! {
    refuting_without_a_new_incarnation_is_detected NoNewIncarnation 10 0 1
    never_probing_dead_hosts_is_detected NoProbesToDead 10 0 1
    missing_repairs_are_detected NoRepairs 60 0 1
    missing_gossip_is_detected NoGossip 60 10 1
    missing_indirect_probes_are_detected NoIndirectProbes 10 0 1
    acting_on_timeouts_after_a_pause_is_detected NoPauseDetection 10 0 1
    false_reports_of_dead_hosts_are_detected DeadReportedAlive 10 0 1
    too_short_timeouts_are_detected ShortTimeouts 10 0 1
}
