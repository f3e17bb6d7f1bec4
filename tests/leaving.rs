//! Simulates hosts, each with its own policy, and discovery in virtual time. After the moment at which a host
//! counts as informed that a node leaves, no attempt may start there later than the settings allow.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{MS, S, class, node, settings};
use pathbank::interface::*;
use pathbank::{Action, Event, Policy};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Time in which sends to a leaving node have to stop.
const STOP: Micros = S;
/// Time after a failed call until a change counts as told.
const ASK_WITHIN: Micros = 10 * S;
/// Time after which discovery fails a waiting call.
const MAX_CALL_WAIT: Micros = 2 * S;
/// Interval of heartbeats.
const HEARTBEAT: Micros = 2 * S;
/// Time after which `net::discovery` regards a watch as silent.
const SILENCE: Micros = 2_500 * MS;
/// Time after which `net::discovery` gives up a call without an answer.
const UNANSWERED: Micros = 3 * S;
/// When the fault that affects all hosts at once occurs.
const FAULT_AT: Micros = 30 * S;

/// A fault that affects all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// All watches become silent.
    Silent,
    /// All watches become silent soon after the start, while calls are open.
    SilentEarly,
    /// All watches are closed.
    Ended,
    /// Discovery is down for 8 s.
    Down,
    /// Discovery is down for so long that the back-off of calls reaches its maximum.
    DownLong,
    /// All hosts restart, from a list that is 3 s old.
    Restart,
    /// Discovery moves to another address, and the hosts learn of it one after the other.
    Moved,
}

/// A deliberate fault of the implementation, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Break {
    None,
    SilenceUndetected,
    LateDraw,
    NoCheckBeforeFirstByte,
    FailedCallIsUpdate,
    StaleLine,
    UnansweredCallIsUpdate,
}

/// An event of the simulation, with the number of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Timer(usize, u64),
    Served(usize, u64),
    Refused(usize),
    Gone(usize, u64),
    Beat(usize, u64),
    Quiet(usize, u64),
    Ask(usize),
    Begin(usize, u64, u32, NodeId),
    Answer(usize, u64, u32),
    Overdue(usize),
    Trouble(usize),
    OldGone(usize, u64),
    Drain,
    Back,
}

/// A simulated host.
struct Host {
    policy: Policy,
    /// The number of the watch, when a byte last arrived on it, and the number of an open call.
    watch: Option<u64>,
    last: Micros,
    calling: Option<u64>,
    moving: bool,
    /// By the rules of the platform: since when the watch is silent, when discovery moved, the last call, and
    /// whether the host was informed that the node leaves.
    silent: Option<Micros>,
    moved: Option<Micros>,
    called_at: Micros,
    informed: bool,
    serial: u64,
    in_flight: BTreeMap<(u64, u32), (NodeId, bool)>,
    renewed: Micros,
    overdue: Option<Micros>,
    overdue_for: Micros,
}

/// The simulated hosts and discovery.
struct World {
    now: Micros,
    hosts: Vec<Host>,
    due: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    order: u64,
    pushed: bool,
    per_call: Micros,
    late_costs: bool,
    queue: VecDeque<(usize, u64, Micros)>,
    busy: bool,
    down: bool,
    back: Micros,
    silent_now: bool,
    drained: Option<Micros>,
    trouble: Trouble,
    broken: Break,
    wrong: usize,
    calls: BTreeMap<Micros, usize>,
    failed: usize,
}

impl World {
    fn new(hosts: u32, pushed: bool, per_call: Micros, trouble: Trouble, broken: Break) -> World {
        let mut world = World {
            now: 0,
            hosts: Vec::new(),
            due: BinaryHeap::new(),
            order: 0,
            pushed,
            per_call,
            late_costs: false,
            queue: VecDeque::new(),
            busy: false,
            down: false,
            back: 0,
            silent_now: false,
            drained: None,
            trouble,
            broken,
            wrong: 0,
            calls: BTreeMap::new(),
            failed: 0,
        };
        for number in 0..hosts {
            let host = world.host(hosts, number, 1);
            world.hosts.push(host);
        }
        world
    }

    fn host(&self, hosts: u32, position: u32, life: u64) -> Host {
        let settings = Settings {
            hosts,
            position,
            must_subscribe: !self.pushed,
            max_unsubscribed: ASK_WITHIN,
            drain_grace: STOP,
            max_retry_after: Some(S),
            ..settings(vec![Class { deadline: 400 * MS, target: 200 * MS, ..class(Repeats::Safe) }])
        };
        let seed = u64::from(position + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ life;
        Host {
            policy: Policy::new(settings, seed),
            watch: None,
            last: 0,
            calling: None,
            moving: false,
            silent: None,
            moved: None,
            called_at: self.now,
            informed: false,
            serial: life << 32,
            in_flight: BTreeMap::new(),
            renewed: 0,
            overdue: None,
            overdue_for: 0,
        }
    }

    fn at(&mut self, after: Micros, ev: SimEvent) {
        self.order += 1;
        self.due.push(Reverse((self.now + after, self.order, ev)));
    }

    fn list(&self) -> Vec<NodeEntry> {
        let state = if self.drained.is_some() { NodeState::Draining } else { NodeState::Ready };
        vec![NodeEntry { state, ..node(10, 1) }, node(11, 2)]
    }

    fn dispatch(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        self.hosts[n].policy.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { after, token } => {
                    let late = self.broken == Break::LateDraw && token == u64::MAX - 1;
                    self.at(if late { 5 * S + 3 * after } else { after }, SimEvent::Timer(n, token));
                }
                Action::Subscribe => self.call(n),
                Action::Send { request, node, .. } => {
                    let attempt =
                        self.hosts[n].in_flight.keys().filter(|(id, _)| *id == request).count() as u32;
                    self.hosts[n].in_flight.insert((request, attempt), (node, false));
                    // One connection in three is established late.
                    let late = if request % 3 == 0 { 900 * MS } else { MS };
                    self.at(late, SimEvent::Begin(n, request, attempt, node));
                }
                _ => {}
            }
        }
        let until = self.hosts[n].policy.list_good_until();
        if until > self.now && until < 3_600 * S {
            self.at(until - self.now, SimEvent::Overdue(n));
        }
        let (now, host) = (self.now, &mut self.hosts[n]);
        match (now < until, host.overdue) {
            (true, Some(since)) => (host.overdue, host.overdue_for) = (None, host.overdue_for + now - since),
            (false, None) => host.overdue = Some(now),
            _ => {}
        }
    }

    fn news(&mut self, n: usize, news: ListUpdate, nodes: Vec<NodeEntry>) {
        self.dispatch(n, Event::Nodes { update: news, nodes });
        if matches!(news, ListUpdate::Full | ListUpdate::Changes) {
            self.drop_unstarted(n, |host, node| node == 10 && host.informed);
        }
    }

    /// Drops attempts that have not started, as the core does on updates and when the list becomes overdue.
    fn drop_unstarted(&mut self, n: usize, which: impl Fn(&Host, NodeId) -> bool) {
        if self.broken == Break::NoCheckBeforeFirstByte {
            return;
        }
        let host = &self.hosts[n];
        let unstarted = host.in_flight.iter().filter(|(_, (node, started))| !started && which(host, *node));
        let unstarted: Vec<_> = unstarted.map(|(key, (node, _))| (*key, *node)).collect();
        for ((request, attempt), node) in unstarted {
            self.hosts[n].in_flight.remove(&(request, attempt));
            self.outcome(n, request, attempt, node, AttemptResult::ConnectFailed);
        }
    }

    fn outcome(&mut self, n: usize, request: u64, attempt: u32, node: NodeId, result: AttemptResult) {
        let (over, load) = (result == AttemptResult::Served, Load::default());
        let done = Outcome { request, attempt, node, result, latency: 20 * MS, over, used: None, load };
        self.dispatch(n, Event::Outcome(done));
    }

    fn call(&mut self, n: usize) {
        let (number, now) = (self.order, self.now);
        let host = &mut self.hosts[n];
        if host.calling.is_some() || host.watch.is_some() && !host.moving {
            return;
        }
        (host.calling, host.called_at) = (Some(number), now);
        *self.calls.entry(now / S).or_default() += 1;
        match (self.pushed, self.down) {
            (true, false) => self.at(MS, SimEvent::Served(n, number)),
            (true, true) => self.at(4 * STOP / 10, SimEvent::Refused(n)),
            (false, true) => self.at(MS, SimEvent::Refused(n)),
            (false, false) => {
                self.queue.push_back((n, number, now));
                self.at(UNANSWERED, SimEvent::Gone(n, number));
                self.turn();
            }
        }
    }

    fn turn(&mut self) {
        while let Some((n, number, since)) = self.queue.front().copied().filter(|_| !self.busy) {
            let late = self.now > since + MAX_CALL_WAIT;
            if late && !self.late_costs {
                self.queue.pop_front();
                self.at(0, SimEvent::Refused(n));
                continue;
            }
            self.busy = true;
            self.at(self.per_call, SimEvent::Served(n, number));
        }
    }

    fn served(&mut self, n: usize, number: u64) {
        if !self.pushed {
            self.busy = false;
            let since = self.queue.pop_front().map_or(0, |(.., since)| since);
            self.turn();
            if self.now > since + MAX_CALL_WAIT + self.per_call {
                return self.refused(n);
            }
        }
        if self.hosts[n].calling != Some(number) {
            return;
        }
        if self.silent_now {
            // The answer to an open call establishes a watch too, which becomes silent with the others.
            self.hosts[n].silent = Some(self.now);
            return;
        }
        let (now, drained) = (self.now, self.drained.is_some());
        let host = &mut self.hosts[n];
        (host.calling, host.watch, host.last, host.moving) = (None, Some(number), now, false);
        (host.silent, host.moved, host.informed, host.renewed) = (None, None, drained, now);
        let list = self.list();
        self.news(n, ListUpdate::Full, list);
        if self.broken == Break::StaleLine {
            self.news(n, ListUpdate::Changes, vec![node(10, 1)]);
        }
        self.news(n, ListUpdate::Subscribed, Vec::new());
        self.at(HEARTBEAT, SimEvent::Beat(n, number));
        self.at(SILENCE, SimEvent::Quiet(n, number));
    }

    fn refused(&mut self, n: usize) {
        if self.hosts[n].calling.take().is_none() {
            return;
        }
        self.failed += 1;
        let news = if self.broken == Break::FailedCallIsUpdate {
            ListUpdate::Subscribed
        } else {
            ListUpdate::Failed
        };
        self.news(n, news, Vec::new());
        if self.pushed {
            self.hosts[n].silent = None;
            self.at(STOP / 10, SimEvent::Timer(n, u64::MAX - 1));
        }
    }

    /// Returns when the host counts as informed that the node leaves, by the rules of the platform.
    fn told(&self, n: usize) -> Option<Micros> {
        let (made, host) = (self.drained?, &self.hosts[n]);
        if self.pushed && self.down {
            return None; // the agent learns nothing; what it gets when discovery returns counts then
        }
        let silent = host.silent.map(|since| made.max(since + 6 * S).max(self.back));
        let moved = host.moved.map(|since| made.max(since + 4 * S));
        let unwatched = match self.pushed {
            true => made.max(self.back),
            // Whatever failed, was refused or given up: 6 s after discovery had the change and was reachable.
            false if self.down => Micros::MAX,
            false => (made.max(host.called_at).max(self.back) + ASK_WITHIN).min(made.max(self.back) + 6 * S),
        };
        let stands = host.watch.is_some() && host.silent.is_none() && host.moved.is_none();
        let rest = match (host.informed, stands) {
            (true, _) | (_, true) => made,
            _ if self.pushed && (silent.is_some() || moved.is_some()) => Micros::MAX,
            _ => unwatched,
        };
        Some(rest.min(silent.unwrap_or(Micros::MAX)).min(moved.unwrap_or(Micros::MAX)))
    }

    fn run(&mut self, drain: Micros) -> &mut World {
        let all = 0..self.hosts.len();
        for n in all.clone() {
            self.news(n, ListUpdate::Cached, vec![node(10, 1), node(11, 2)]);
            if self.pushed {
                self.call(n);
            }
        }
        let fault_at = if self.trouble == Trouble::SilentEarly { S } else { FAULT_AT };
        self.at(fault_at, SimEvent::Trouble(0));
        self.at(drain, SimEvent::Drain);
        for n in all {
            self.at(drain.min(fault_at) + (n as u64 * 7_919) % 500_000, SimEvent::Ask(n));
        }
        let end = fault_at + 40 * S;
        while let Some(Reverse((at, _, ev))) = self.due.pop().filter(|Reverse((at, ..))| *at < end) {
            self.now = at;
            self.step(ev, fault_at);
        }
        self
    }

    fn step(&mut self, ev: SimEvent, fault_at: Micros) {
        match ev {
            SimEvent::Timer(n, token) if self.pushed && token == u64::MAX - 1 => self.call(n),
            SimEvent::Timer(n, token) => self.dispatch(n, Event::Timer { token }),
            SimEvent::Served(n, number) => self.served(n, number),
            SimEvent::Refused(n) => self.refused(n),
            SimEvent::Gone(n, number) if self.hosts[n].calling == Some(number) => {
                self.hosts[n].calling = None;
                let ignored = self.broken == Break::UnansweredCallIsUpdate;
                self.news(n, if ignored { ListUpdate::Subscribed } else { ListUpdate::TimedOut }, Vec::new());
            }
            SimEvent::Beat(n, number)
                if self.hosts[n].watch == Some(number)
                    && (self.hosts[n].silent.is_none() || self.broken == Break::SilenceUndetected) =>
            {
                self.hosts[n].last = self.now;
                self.news(n, ListUpdate::Heartbeat, Vec::new());
                self.at(HEARTBEAT, SimEvent::Beat(n, number));
                self.at(SILENCE, SimEvent::Quiet(n, number));
            }
            SimEvent::Quiet(n, number) if self.hosts[n].watch == Some(number) => {
                if self.now < self.hosts[n].last + SILENCE {
                    return;
                }
                self.hosts[n].watch = None;
                self.news(n, ListUpdate::TimedOut, Vec::new());
                if self.pushed {
                    self.call(n);
                }
            }
            SimEvent::Ask(n) => {
                let (now, host) = (self.now, &mut self.hosts[n]);
                host.serial += 1;
                let id = host.serial;
                self.dispatch(n, Event::Request(request(id)));
                if now < fault_at + if self.trouble == Trouble::DownLong { 39 * S } else { 20 * S } {
                    self.at(450 * MS, SimEvent::Ask(n));
                }
            }
            SimEvent::Begin(n, request, attempt, node)
                if self.hosts[n].in_flight.contains_key(&(request, attempt)) =>
            {
                self.hosts[n].in_flight.insert((request, attempt), (node, true));
                let late = self.told(n).is_some_and(|told| self.now > told.saturating_add(STOP + 50 * MS));
                self.wrong += usize::from(node == 10 && late);
                self.at(20 * MS, SimEvent::Answer(n, request, attempt));
            }
            SimEvent::Answer(n, request, attempt) => {
                if let Some((node, _)) = self.hosts[n].in_flight.remove(&(request, attempt)) {
                    self.outcome(n, request, attempt, node, AttemptResult::Served);
                }
            }
            SimEvent::Overdue(n) if self.hosts[n].policy.list_good_until() <= self.now => {
                self.drop_unstarted(n, |_, _| true);
                let host = &mut self.hosts[n];
                host.overdue.get_or_insert(self.now);
            }
            SimEvent::Trouble(from) => self.apply_trouble(from),
            SimEvent::OldGone(n, number) if self.hosts[n].watch == Some(number) => {
                self.hosts[n].watch = None;
                self.news(n, ListUpdate::Failed, Vec::new());
            }
            SimEvent::Drain => {
                self.drained = Some(self.now);
                for n in 0..self.hosts.len() {
                    if self.hosts[n].watch.is_some() && self.hosts[n].silent.is_none() {
                        self.hosts[n].informed = true;
                        let change = self.list()[..1].to_vec();
                        self.news(n, ListUpdate::Changes, change);
                    }
                }
            }
            SimEvent::Back => (self.down, self.back) = (false, self.now),
            _ => {}
        }
    }

    fn apply_trouble(&mut self, from: usize) {
        let (now, all) = (self.now, 0..self.hosts.len());
        match self.trouble {
            Trouble::Silent | Trouble::SilentEarly => {
                self.silent_now = self.trouble == Trouble::SilentEarly && from == 0;
                if self.silent_now {
                    self.at(S, SimEvent::Trouble(1));
                }
                for host in self.hosts.iter_mut().filter(|_| from == 0) {
                    host.silent = host.watch.map(|_| now);
                }
            }
            Trouble::Ended => all.for_each(|n| self.end(n)),
            Trouble::Down | Trouble::DownLong => {
                (self.down, self.busy) = (true, false);
                self.at(if self.trouble == Trouble::Down { 8 * S } else { 25 * S }, SimEvent::Back);
                for (n, ..) in std::mem::take(&mut self.queue) {
                    self.refused(n);
                }
                all.for_each(|n| if self.pushed { self.hosts[n].silent = Some(now) } else { self.end(n) });
            }
            Trouble::Restart => {
                for n in all.clone() {
                    let mut host = self.host(all.len() as u32, n as u32, 2);
                    host.serial = 2 << 32;
                    self.hosts[n] = host;
                    self.news(n, ListUpdate::Cached, vec![node(10, 1), node(11, 2)]);
                    if self.pushed {
                        self.news(n, ListUpdate::Failed, Vec::new());
                        self.call(n);
                    }
                }
            }
            Trouble::Moved => {
                let each = 4 * S / all.len() as u64;
                let host = &mut self.hosts[from];
                (host.moving, host.moved) = (true, Some(now));
                if let Some(number) = host.watch {
                    self.at(1_500 * MS, SimEvent::OldGone(from, number));
                }
                self.news(from, ListUpdate::Moved, Vec::new());
                if self.pushed {
                    self.call(from);
                }
                if from + 1 < all.len() {
                    self.at(each, SimEvent::Trouble(from + 1));
                }
            }
        }
    }

    fn end(&mut self, n: usize) {
        if self.hosts[n].watch.take().is_some() {
            self.news(n, ListUpdate::Failed, Vec::new());
            if self.pushed {
                self.at(STOP / 10, SimEvent::Timer(n, u64::MAX - 1));
            }
        }
    }

    /// Returns the time from the fault until the last host had its list, the most calls in one second, the
    /// number of failed calls, and the mean time for which hosts started no attempts.
    fn figures(&self, fault_at: Micros) -> (Micros, usize, usize, Micros) {
        let still = |host: &Host| host.overdue_for + host.overdue.map_or(0, |since| self.now - since);
        let last = self.hosts.iter().map(|host| host.renewed).max().unwrap_or(0).saturating_sub(fault_at);
        let peak = self.calls.iter().filter(|(at, _)| **at >= fault_at / S).map(|(_, calls)| *calls).max();
        let overdue: Micros = self.hosts.iter().map(still).sum();
        (last, peak.unwrap_or(0), self.failed, overdue / self.hosts.len() as u64)
    }
}

fn request(id: u64) -> Request {
    Request {
        id,
        volume: id % 4,
        key: 0,
        class: 0,
        plan: 0,
        units: 1.0,
        volume_hosts: 2.0,
        time_left: 400 * MS,
        repeat: false,
        shard: Some(1 + (id % 2) as u16),
    }
}

const ALL: [Trouble; 7] = [
    Trouble::Silent,
    Trouble::SilentEarly,
    Trouble::Ended,
    Trouble::Down,
    Trouble::DownLong,
    Trouble::Restart,
    Trouble::Moved,
];

fn simulate(hosts: u32, pushed: bool, trouble: Trouble, offset: i64, broken: Break) -> World {
    let fault_at = if trouble == Trouble::SilentEarly { S } else { FAULT_AT };
    // Discovery serves 300 hosts in 7.2 s.
    let mut world = World::new(hosts, pushed, 24 * MS, trouble, broken);
    world.run(fault_at.saturating_add_signed(offset * MS as i64));
    world
}

#[test]
fn no_attempt_starts_at_a_leaving_node_later_than_the_settings_allow() {
    for (hosts, offsets) in [
        (1, &[-700, 400, 2_000, 4_100, 7_000, 9_000, 25_100][..]),
        (5, &[400, 4_100, 8_500, 11_000, 25_100, 26_000]),
        (30, &[8_100, 25_100]),
        (100, &[400, 4_100]),
        (350, &[400, 7_000]),
    ] {
        for pushed in [false, true] {
            for trouble in ALL {
                if trouble == Trouble::DownLong && hosts > 30 {
                    continue; // shows the maximum back-off of calls, and takes long
                }
                let mut worst = (0, 0, 0, 0);
                for offset in offsets.iter().copied() {
                    let world = simulate(hosts, pushed, trouble, offset, Break::None);
                    let what = format!("{hosts} hosts, pushed {pushed}, {trouble:?}, {offset} ms");
                    assert_eq!(world.wrong, 0, "{what}");
                    worst = worst.max(world.figures(FAULT_AT));
                    let uninformed = world.hosts.iter().filter(|host| !host.informed).count();
                    assert_eq!(uninformed, 0, "{what}: hosts without the list 30 s later");
                }
                let (last, peak, failed, overdue) = worst;
                println!(
                    "{hosts:5} hosts {} {trouble:?}: the last list after {} ms, {peak} calls in a second, {failed} \
                     failed, no work for {} ms",
                    if pushed { "pushed" } else { "asked" },
                    last / MS,
                    overdue / MS
                );
            }
        }
    }
}

#[test]
fn the_limit_holds_for_a_thousand_hosts_that_discovery_cannot_serve_in_time() {
    for (trouble, late_costs) in [(Trouble::Silent, false), (Trouble::Silent, true), (Trouble::Moved, false)]
    {
        let mut world = World::new(1024, false, 24 * MS, trouble, Break::None);
        world.late_costs = late_costs;
        world.run(FAULT_AT + 400 * MS);
        let figures = world.figures(FAULT_AT);
        assert_eq!(world.wrong, 0);
        println!("1024 hosts {trouble:?}, late calls cost {late_costs}: {figures:?}");
    }
}

#[test]
fn each_deliberate_fault_is_found() {
    for (broken, trouble, hosts) in [
        (Break::SilenceUndetected, Trouble::Silent, 350),
        (Break::NoCheckBeforeFirstByte, Trouble::Silent, 350),
        (Break::FailedCallIsUpdate, Trouble::Down, 100),
        (Break::StaleLine, Trouble::Silent, 350),
        (Break::UnansweredCallIsUpdate, Trouble::SilentEarly, 350),
    ] {
        let found = [400, 2_000, 4_100].map(|offset| {
            let world = simulate(hosts, false, trouble, offset, broken);
            world.wrong + world.hosts.iter().filter(|host| !host.informed).count()
        });
        assert!(found.iter().sum::<usize>() > 0, "{broken:?} was not found");
    }
    // Calls that are spread over too long a time break no rule, but hosts start no attempts meanwhile.
    let idle_time = |broken| simulate(350, false, Trouble::Silent, 400, broken).figures(FAULT_AT).3;
    let (kept, late) = (idle_time(Break::None), idle_time(Break::LateDraw));
    assert!(
        late > 2 * kept.max(S),
        "no attempts for {kept} us, and with calls spread too widely for {late} us"
    );
}
