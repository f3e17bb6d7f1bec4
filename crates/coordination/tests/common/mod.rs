//! A cluster of replicas in one process and in virtual time. Links delay and lose messages and can be
//! partitioned; disks sync late and lose writes that were not synced.

#![allow(dead_code)]

pub mod data_directory;

use pathbank_coordination::calls_in_flight::CallsInFlight;
use pathbank_coordination::digest::digest;
use pathbank_coordination::fencing::FencingGuard;
use pathbank_coordination::membership_changes;
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::replica::{Departure, Effects, Outgoing, Replica, Role, Timing};
use pathbank_coordination::state_comparison::{
    ComparisonReport, ComparisonRequest, StateComparison, StateDigest, Verdict,
};
use pathbank_coordination::types::{Entry, Index, Member, Membership, Message, Payload, StoreId};
use std::collections::{BTreeMap, BTreeSet};

/// How long a message takes at least.
pub const LINK_DELAY_MS: u64 = 2;
/// How long a sync takes unless a test sets [`Machine::sync_ms`].
pub const SYNC_MS: u64 = 3;

struct PendingWrite {
    at: u64,
    records: Vec<Record>,
    last_index: Index,
    waiting_messages: Vec<Outgoing>,
}

pub struct Machine {
    pub replica: Option<Replica>,
    pub disk: DurableState,
    writes: Vec<PendingWrite>,
    /// The state of the state machine: the applied commands in order.
    pub applied: Vec<(Index, Vec<u8>)>,
    pub disk_stalled: bool,
    /// How long a sync takes.
    pub sync_ms: u64,
    /// Until this time the process is paused: it reads nothing, and no timer fires.
    pub paused_until: u64,
    /// The processor time to apply one entry, microseconds.
    pub apply_us_per_entry: u64,
    /// The time until which the processor is busy.
    busy_until: u64,
    /// Processor time that has not added up to a whole millisecond yet.
    unaccounted_us: u64,
    /// The index of the last applied entry of any kind.
    last_applied: Index,
    /// The machine applies commands that contain these bytes differently from the others.
    pub misapplies: Option<&'static [u8]>,
    /// The format of the machine's state digests.
    pub digest_format: u32,
    pub comparison: StateComparison,
    /// How often the machine became a new store because its state differed.
    pub set_aside: usize,
    /// Whether the machine has found that no state is that of a majority.
    pub saw_no_majority: bool,
    /// The index of the command that is being prepared, and when the preparation ends.
    preparing: Option<(Index, u64)>,
    /// The past leaders, as of the last entry that the machine has applied.
    pub fence: FencingGuard,
    /// Calls that the process has made outside the group.
    pub calls: CallsInFlight,
    /// Whether nothing that a leader has sent outside the group may still arrive, as the process knows it.
    pub calls_settled: bool,
    /// How often the process was started.
    pub starts: u64,
    /// When the process received SIGTERM. It ends as soon as it is permitted to.
    sigterm_at: Option<u64>,
}

/// A process ends this long after SIGTERM even if it is still in the membership.
pub const SHUTDOWN_TIMEOUT_MS: u64 = 3_000;
/// A leader ends this long after SIGTERM even if its calls may still arrive.
const HAND_OVER_TIMEOUT_MS: u64 = 6_000;
/// A call outside the group arrives within this time, or never.
pub const MAX_DELIVERY_MS: u64 = 3_000;
/// A process without any reply to its request to leave ends this long after SIGTERM.
const LEAVE_REPLY_TIMEOUT_MS: u64 = 600;

pub struct Cluster {
    pub now: u64,
    pub machines: Vec<Machine>,
    in_transit: BTreeMap<(u64, u64), (usize, Member, Message)>,
    sequence: u64,
    pub partitions: BTreeSet<(usize, usize)>,
    pub loss_in_1000: u64,
    random: fastrand::Rng,
    /// Acknowledged commands by index, as reported by the leader at the time.
    pub acknowledged: BTreeMap<Index, Vec<u8>>,
    proposed: BTreeMap<(usize, Index), (u64, Vec<u8>)>,
    next_store: u64,
    /// The bandwidth of each link; 0 is unlimited.
    pub bandwidth_bytes_per_ms: u64,
    /// When each link has transmitted everything that was sent on it.
    link_free_at: BTreeMap<(usize, usize), u64>,
    /// How often the leadership passed to another machine.
    pub leader_changes: usize,
    last_leader: Option<usize>,
    /// The machine that led each term.
    leaders: BTreeMap<u64, usize>,
    /// How long machines prepare each command before they apply it; `None`: they apply it at once.
    pub preparation_ms: Option<u64>,
    /// The interval at which the leader requests a comparison of the states; `None`: it requests none.
    pub comparison_interval_ms: Option<u64>,
    comparisons_in_transit: BTreeMap<(u64, u64), (usize, ComparisonMessage)>,
}

/// The messages of a state comparison.
#[derive(Clone, Copy)]
enum ComparisonMessage {
    Request(ComparisonRequest),
    Report(ComparisonReport),
}

/// The approximate size of a message, bytes.
fn size(message: &Message) -> u64 {
    match message {
        Message::SnapshotChunk(chunk) => chunk.bytes.len() as u64 + 100,
        Message::Append { entries, .. } => {
            entries.iter().map(|entry| entry.payload.size() as u64 + 20).sum::<u64>() + 100
        }
        _ => 100,
    }
}

pub fn address(machine: usize) -> String {
    format!("10.0.0.{machine}:7000")
}

pub fn member(machine: usize, store: u64) -> Member {
    Member {
        id: StoreId(store),
        name: format!("core-{machine}"),
        address: address(machine),
        control_address: format!("10.0.0.{machine}:8000"),
    }
}

impl Cluster {
    /// `founders` machines that start as the first voters, and `joining` with empty disks.
    pub fn new(founders: usize, joining: usize, seed: u64) -> Cluster {
        let voters: Vec<Member> = (0..founders).map(|machine| member(machine, machine as u64 + 1)).collect();
        let mut cluster = Cluster {
            now: 1_000,
            machines: Vec::new(),
            in_transit: BTreeMap::new(),
            sequence: 0,
            partitions: BTreeSet::new(),
            loss_in_1000: 0,
            random: fastrand::Rng::with_seed(seed),
            acknowledged: BTreeMap::new(),
            proposed: BTreeMap::new(),
            next_store: 100,
            bandwidth_bytes_per_ms: 0,
            link_free_at: BTreeMap::new(),
            leader_changes: 0,
            last_leader: None,
            leaders: BTreeMap::new(),
            preparation_ms: None,
            comparison_interval_ms: None,
            comparisons_in_transit: BTreeMap::new(),
        };
        for machine in 0..founders + joining {
            let founder = machine < founders;
            let initial = if founder { Membership::of(voters.clone()) } else { Membership::default() };
            let id = if founder { StoreId(machine as u64 + 1) } else { StoreId(cluster.next_store_id()) };
            let disk = DurableState { id: Some(id), initial, ..DurableState::default() };
            cluster.machines.push(Machine {
                replica: None,
                disk,
                writes: Vec::new(),
                applied: Vec::new(),
                disk_stalled: false,
                sync_ms: SYNC_MS,
                paused_until: 0,
                apply_us_per_entry: 0,
                busy_until: 0,
                unaccounted_us: 0,
                last_applied: 0,
                misapplies: None,
                digest_format: 1,
                comparison: StateComparison::default(),
                set_aside: 0,
                saw_no_majority: false,
                preparing: None,
                fence: FencingGuard::default(),
                calls: CallsInFlight::new(MAX_DELIVERY_MS),
                calls_settled: true,
                starts: 0,
                sigterm_at: None,
            });
            cluster.start(machine);
        }
        cluster
    }

    fn next_store_id(&mut self) -> u64 {
        self.next_store += 1;
        self.next_store
    }

    pub fn start(&mut self, machine: usize) {
        let disk = self.machines[machine].disk.clone();
        let me = member(machine, disk.id.unwrap().0);
        let random = self.random.u64(..);
        let state = &mut self.machines[machine];
        state.applied = decode(&disk.snapshot.data);
        state.comparison = StateComparison::default();
        state.last_applied = disk.snapshot.index;
        state.fence = FencingGuard::default();
        state.fence.restore(disk.snapshot.leaders.clone());
        state.calls = CallsInFlight::new(MAX_DELIVERY_MS);
        (state.starts, state.calls_settled) = (state.starts + 1, true);
        (state.paused_until, state.busy_until) = (0, 0);
        state.replica = Some(Replica::new(me, Timing::default(), disk, self.now, random));
    }

    /// Kills the process. A random number of the pending writes, in order, reach the disk.
    pub fn kill(&mut self, machine: usize) {
        let kept = self.random.usize(0..=self.machines[machine].writes.len());
        self.stop(machine, kept);
    }

    /// Cuts the machine's power. The synced writes stay, and maybe some of those that followed.
    pub fn power_off(&mut self, machine: usize) {
        self.kill(machine);
    }

    fn stop(&mut self, machine: usize, kept: usize) {
        let state = &mut self.machines[machine];
        state.replica = None;
        state.preparing = None;
        state.sigterm_at = None;
        for write in state.writes.drain(..).take(kept) {
            write.records.into_iter().for_each(|record| state.disk.apply(record));
        }
    }

    /// Cuts the machine's power and replaces its disk by an empty one.
    pub fn wipe(&mut self, machine: usize) {
        self.stop(machine, 0);
        let id = StoreId(self.next_store_id());
        self.machines[machine].disk = DurableState { id: Some(id), ..DurableState::default() };
    }

    pub fn leader(&self) -> Option<usize> {
        let leaders = self.machines.iter().enumerate().filter(|(at, machine)| {
            !self.is_suspended(*at)
                && machine
                    .replica
                    .as_ref()
                    .is_some_and(pathbank_coordination::replica::Replica::is_established_leader)
        });
        leaders.max_by_key(|(_, machine)| machine.replica.as_ref().map(Replica::term)).map(|(at, _)| at)
    }

    /// Proposes a command to the leader. Returns whether there was a leader; the command counts as
    /// acknowledged once it is committed.
    pub fn propose(&mut self, command: &[u8]) -> bool {
        let leader = self.leader();
        leader.is_some_and(|leader| self.propose_at(leader, command).is_some())
    }

    /// Proposes a command to a machine. Returns the index, or `None` if the machine does not lead.
    pub fn propose_at(&mut self, machine: usize, command: &[u8]) -> Option<Index> {
        let replica = self.machines[machine].replica.as_mut()?;
        let term = replica.term();
        let (index, effects) = replica.propose(self.now, command.to_vec()).ok()?;
        self.proposed.insert((machine, index), (term, command.to_vec()));
        self.execute(machine, effects);
        Some(index)
    }

    /// Compacts a machine's log.
    pub fn compact(&mut self, machine: usize) {
        let state = &mut self.machines[machine];
        let Some(replica) = state.replica.as_mut() else { return };
        let Some(index) = state.applied.last().map(|(index, _)| *index) else { return };
        let effects = replica.compact(index, state.fence.leaders(), encode(&state.applied));
        self.execute(machine, effects);
    }

    fn execute(&mut self, machine: usize, effects: Effects) {
        let now = self.now;
        let state = &mut self.machines[machine];
        let Some(replica) = state.replica.as_ref() else { return };
        let last_index = replica.durable().last_index();
        let me = replica.me().clone();
        let saves = !effects.records.is_empty();
        if saves {
            let at = now + state.sync_ms;
            state.writes.push(PendingWrite {
                at,
                records: effects.records,
                last_index,
                waiting_messages: Vec::new(),
            });
        }
        let mut go = Vec::new();
        for message in effects.messages {
            match state.writes.last_mut().filter(|_| message.after_save) {
                Some(write) => write.waiting_messages.push(message),
                None => go.push(message),
            }
        }
        if let Some(snapshot) = effects.install {
            state.applied = decode(&snapshot.data);
            state.last_applied = snapshot.index;
            state.fence.restore(snapshot.leaders);
        }
        let takes_us = state.apply_us_per_entry * effects.committed.len() as u64;
        for entry in effects.committed {
            self.apply(machine, entry);
        }
        // The same thread writes to the links, so messages leave when the processor is free again.
        self.charge(machine, takes_us);
        self.send(machine, &me, go);
    }

    /// Occupies the machine's processor. Meanwhile the machine reads nothing, and no timer fires.
    pub fn charge(&mut self, machine: usize, microseconds: u64) {
        let state = &mut self.machines[machine];
        state.unaccounted_us += microseconds;
        let milliseconds = state.unaccounted_us / 1_000;
        state.unaccounted_us %= 1_000;
        if milliseconds > 0 {
            state.busy_until = state.busy_until.max(self.now) + milliseconds;
        }
    }

    fn apply(&mut self, machine: usize, entry: Entry) {
        if let Payload::LeaderStart(name) = &entry.payload {
            self.machines[machine].fence.record_leader(name);
        }
        self.machines[machine].last_applied = entry.index;
        let Payload::Command(command) = entry.payload else { return self.digest_if_due(machine) };
        let state = &mut self.machines[machine];
        let is_misapplied =
            state.misapplies.is_some_and(|text| command.windows(text.len()).any(|part| part == text));
        let applied = if is_misapplied { b"misapplied".to_vec() } else { command.clone() };
        state.applied.push((entry.index, applied));
        self.digest_if_due(machine);
        if let Some((term, proposed)) = self.proposed.remove(&(machine, entry.index))
            && term == entry.term
            && proposed == command
        {
            self.acknowledged.insert(entry.index, command);
        }
    }

    fn send(&mut self, from: usize, me: &Member, messages: Vec<Outgoing>) {
        let leaves_at = self.now.max(self.machines[from].busy_until);
        for Outgoing { to, message, .. } in messages {
            let target = (0..self.machines.len()).find(|machine| address(*machine) == to.address);
            let lost = self.random.u64(0..1_000) < self.loss_in_1000;
            if let Some(target) = target.filter(|target| !lost && !self.partitions.contains(&(from, *target)))
            {
                // A link with limited bandwidth keeps the order of messages.
                let spread = if self.bandwidth_bytes_per_ms == 0 { self.random.u64(0..3) } else { 0 };
                let at =
                    self.transmitted_at((from, target), &message).max(leaves_at) + LINK_DELAY_MS + spread;
                self.sequence += 1;
                self.in_transit.insert((at, self.sequence), (target, me.clone(), message));
            }
        }
    }

    /// Whether the machine is paused.
    fn is_suspended(&self, machine: usize) -> bool {
        self.now < self.machines[machine].paused_until
    }

    /// Whether the machine is paused or its processor is busy.
    pub fn is_paused(&self, machine: usize) -> bool {
        self.now < self.runnable_at(machine)
    }

    fn runnable_at(&self, machine: usize) -> u64 {
        let state = &self.machines[machine];
        state.paused_until.max(state.busy_until)
    }

    /// Resumes a paused machine, which then receives the messages that were queued in the meantime.
    pub fn resume(&mut self, machine: usize) {
        self.machines[machine].paused_until = 0;
        let queued =
            self.in_transit.extract_if(.., |(at, _), (target, ..)| *at == u64::MAX && *target == machine);
        let queued: Vec<_> = queued.collect();
        self.in_transit
            .extend(queued.into_iter().map(|((_, sequence), message)| ((self.now + 1, sequence), message)));
    }

    /// Whether all voters run with the leader's full log and no membership change is in progress, so that
    /// another disk may be lost.
    pub fn is_healthy(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(replica) = self.machines[leader].replica.as_ref() else { return false };
        let has_all = |machine: &Machine| machine.disk.last_index() >= replica.durable().last_index();
        let is_up_to_date = |id| {
            let mut stores = self.machines.iter().enumerate();
            stores.any(|(at, machine)| {
                let runs = machine.replica.as_ref().is_some_and(|replica| replica.me().id == id);
                runs && !self.is_suspended(at) && !machine.disk_stalled && has_all(machine)
            })
        };
        let membership = replica.membership();
        self.partitions.is_empty()
            && !membership.is_joint()
            && membership.members().all(|voter| is_up_to_date(voter.id))
    }

    /// Sends a message on a link and returns when the link has transmitted it.
    fn transmitted_at(&mut self, link: (usize, usize), message: &Message) -> u64 {
        if self.bandwidth_bytes_per_ms == 0 {
            return self.now;
        }
        let free_at = self.link_free_at.entry(link).or_default();
        *free_at = (*free_at).max(self.now) + size(message) / self.bandwidth_bytes_per_ms;
        *free_at
    }

    /// Sends SIGTERM: the process ends once it is out of the membership, or no store can take its place.
    pub fn terminate(&mut self, machine: usize) {
        if self.machines[machine].replica.is_some() {
            self.machines[machine].sigterm_at = Some(self.now);
        }
    }

    pub fn is_terminating(&self, machine: usize) -> bool {
        self.machines[machine].sigterm_at.is_some()
    }

    fn continue_shutdown(&mut self, machine: usize) {
        let Some(since) = self.machines[machine].sigterm_at else { return };
        if self.now.is_multiple_of(25) {
            self.with_replica(machine, pathbank_coordination::replica::Replica::leave);
        }
        let Some(replica) = self.machines[machine].replica.as_ref() else { return };
        let ends = match replica.departure() {
            Departure::Permitted => true,
            Departure::AwaitingReplacement => self.now >= since + SHUTDOWN_TIMEOUT_MS,
            Departure::AwaitingReply => self.now >= since + LEAVE_REPLY_TIMEOUT_MS,
        };
        if !ends {
            return;
        }
        let state = &mut self.machines[machine];
        let replica = state.replica.as_mut().expect("it runs");
        replica.hand_over();
        let may_still_arrive = replica.role() == Role::Leader && !state.calls_settled;
        if !may_still_arrive || self.now >= since + HAND_OVER_TIMEOUT_MS {
            self.transfer_leadership(machine);
            self.kill(machine);
        }
    }

    fn transfer_leadership(&mut self, machine: usize) {
        let settled = self.machines[machine].calls_settled;
        self.with_replica(machine, |replica, now| replica.transfer_leadership(now, settled));
    }

    /// Checks that no term has two leaders.
    fn check_one_leader_per_term(&mut self) {
        for (machine, state) in self.machines.iter().enumerate() {
            let Some(replica) = state.replica.as_ref().filter(|replica| replica.role() == Role::Leader)
            else {
                continue;
            };
            let first = *self.leaders.entry(replica.term()).or_insert(machine);
            assert_eq!(first, machine, "two lead term {}", replica.term());
        }
    }

    fn count_leader_changes(&mut self) {
        let leader = self.leader();
        if leader.is_some() && leader != self.last_leader {
            self.leader_changes += 1;
            self.last_leader = leader;
        }
    }

    /// The voters of the leader's membership.
    pub fn voter_count(&self) -> Option<usize> {
        let replica = self.machines[self.leader()?].replica.as_ref()?;
        Some(replica.membership().voters.len())
    }

    /// Advances the time by one millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        while let Some((&(at, sequence), _)) = self.in_transit.first_key_value() {
            if at > self.now {
                break;
            }
            let (target, from, message) = self.in_transit.remove(&(at, sequence)).unwrap();
            if self.is_paused(target) {
                // The message stays in the machine's socket buffer until the machine runs again.
                self.in_transit.insert((self.runnable_at(target), sequence), (target, from, message));
                continue;
            }
            self.with_replica(target, |replica, now| replica.step(now, from, message));
        }
        for machine in 0..self.machines.len() {
            if self.is_paused(machine) {
                continue;
            }
            self.sync(machine);
            self.with_replica(machine, pathbank_coordination::replica::Replica::tick);
            self.with_replica(machine, |replica, now| {
                membership_changes::reconcile(replica, now).unwrap_or_default()
            });
            self.prepare(machine);
            self.with_replica(machine, |replica, _| replica.apply_more());
            if self.now.is_multiple_of(100) {
                self.request_join(machine);
            }
            self.continue_shutdown(machine);
            let settled = self.machines[machine].calls_settled;
            self.with_replica(machine, |replica, now| replica.report_calls(now, settled));
            self.compare(machine);
        }
        self.deliver_comparisons();
        self.count_leader_changes();
        self.check_one_leader_per_term();
        assert!(self.voter_count().is_none_or(|voters| voters % 2 == 1), "the number of voters stays odd");
    }

    // ---- comparisons of the states ----

    /// Changes one command that a machine has applied, as damaged memory would.
    pub fn damage_state(&mut self, machine: usize) {
        let (_, command) = self.machines[machine].applied.first_mut().expect("something is applied");
        command[0] ^= 1;
    }

    /// Requests a comparison if the machine leads and a comparison is due.
    fn compare(&mut self, machine: usize) {
        let is_due = self.comparison_interval_ms.is_some_and(|interval| self.now.is_multiple_of(interval));
        if !is_due || self.leader() != Some(machine) {
            return;
        }
        let state = &mut self.machines[machine];
        let Some(replica) = state.replica.as_ref() else { return };
        let id = state.comparison.next_id(replica.term());
        let request = ComparisonRequest { id, index: replica.durable().last_index() };
        self.send_comparison(machine, ComparisonMessage::Request(request));
        self.machines[machine].comparison.begin(request);
        self.digest_if_due(machine);
    }

    /// Sends the digest of a machine's state if a comparison needs it now.
    fn digest_if_due(&mut self, machine: usize) {
        let state = &mut self.machines[machine];
        let Some(replica) = state.replica.as_ref() else { return };
        let store = replica.me().id;
        let Some(request) = state.comparison.take_due(state.last_applied) else { return };
        let digest = StateDigest { format: state.digest_format, digest: digest(&[&encode(&state.applied)]) };
        let report = ComparisonReport { store, request, state: digest };
        state.comparison.record(report);
        self.send_comparison(machine, ComparisonMessage::Report(report));
    }

    fn send_comparison(&mut self, from: usize, message: ComparisonMessage) {
        for target in (0..self.machines.len()).filter(|target| *target != from) {
            let is_lost = self.random.u64(0..1_000) < self.loss_in_1000;
            if !is_lost && !self.partitions.contains(&(from, target)) {
                self.sequence += 1;
                let at = self.now + LINK_DELAY_MS + self.random.u64(0..3);
                self.comparisons_in_transit.insert((at, self.sequence), (target, message));
            }
        }
    }

    fn deliver_comparisons(&mut self) {
        while let Some(first) =
            self.comparisons_in_transit.first_entry().filter(|first| first.key().0 <= self.now)
        {
            let (target, message) = first.remove();
            if self.machines[target].replica.is_none() || self.is_paused(target) {
                continue;
            }
            let comparison = &mut self.machines[target].comparison;
            match message {
                ComparisonMessage::Request(request) => comparison.begin(request),
                ComparisonMessage::Report(report) => comparison.record(report),
            }
            self.digest_if_due(target);
        }
        (0..self.machines.len()).for_each(|machine| self.act_on_verdict(machine));
    }

    /// Restarts a machine as a new store if its state differs from that of a majority. A leader transfers its
    /// leadership first.
    fn act_on_verdict(&mut self, machine: usize) {
        let state = &self.machines[machine];
        let Some(replica) = state.replica.as_ref() else { return };
        match state.comparison.verdict(replica.me().id, replica.membership()) {
            Verdict::Differs(_) => {
                self.transfer_leadership(machine);
                self.wipe(machine);
                self.machines[machine].misapplies = None;
                self.machines[machine].set_aside += 1;
                self.start(machine);
            }
            Verdict::NoMajority => self.machines[machine].saw_no_majority = true,
            Verdict::Agrees | Verdict::Undecided => {}
        }
    }

    /// Whether all running machines have applied the same commands.
    pub fn has_one_state(&self) -> bool {
        let mut running = self.machines.iter().filter(|machine| machine.replica.is_some());
        let Some(first) = running.next() else { return true };
        running.all(|machine| machine.applied == first.applied)
    }

    /// Prepares the command that a machine has to apply next, while the machine continues its other work.
    fn prepare(&mut self, machine: usize) {
        let Some(takes_ms) = self.preparation_ms else { return };
        let now = self.now;
        let state = &mut self.machines[machine];
        let Some(replica) = state.replica.as_mut() else { return };
        replica.set_max_unprepared_bytes(0);
        let Some(index) = replica.awaits_preparation().map(|entry| entry.index) else { return };
        match state.preparing.filter(|(preparing, _)| *preparing == index) {
            None => state.preparing = Some((index, now + takes_ms)),
            Some((_, ends_at)) if now >= ends_at => replica.set_prepared(index),
            Some(_) => {}
        }
    }

    fn with_replica(&mut self, machine: usize, event: impl FnOnce(&mut Replica, u64) -> Effects) {
        let now = self.now;
        if let Some(replica) = self.machines[machine].replica.as_mut() {
            let effects = event(replica, now);
            self.execute(machine, effects);
        }
    }

    fn sync(&mut self, machine: usize) {
        let now = self.now;
        while !self.machines[machine].disk_stalled
            && self.machines[machine].writes.first().is_some_and(|w| w.at <= now)
        {
            let write = self.machines[machine].writes.remove(0);
            write.records.into_iter().for_each(|record| self.machines[machine].disk.apply(record));
            let me = member(machine, self.machines[machine].disk.id.unwrap().0);
            self.send(machine, &me, write.waiting_messages);
            self.with_replica(machine, |replica, now| replica.on_persisted(now, write.last_index));
        }
    }

    fn request_join(&mut self, machine: usize) {
        let Some(replica) = self.machines[machine].replica.as_ref() else { return };
        if !replica.wants_to_join(self.now) {
            return;
        }
        let me = replica.me().clone();
        let join = |to: usize| Outgoing { to: member(to, 0), message: Message::Join, after_save: false };
        let joins = (0..self.machines.len()).filter(|to| *to != machine).map(join).collect();
        self.send(machine, &me, joins);
    }

    pub fn run(&mut self, milliseconds: u64) {
        (0..milliseconds).for_each(|_| self.step());
        self.check();
    }

    /// Runs without checking that all machines apply the same commands, for tests in which some states
    /// differ.
    pub fn run_unchecked(&mut self, milliseconds: u64) {
        (0..milliseconds).for_each(|_| self.step());
    }

    /// Runs until there is an established leader. Returns whether there was one within the time.
    pub fn run_until_leader(&mut self, milliseconds: u64) -> bool {
        for _ in 0..milliseconds {
            self.step();
            if self.leader().is_some() {
                return true;
            }
        }
        false
    }

    pub fn voters(&self) -> Vec<StoreId> {
        let leader = self.leader().expect("a leader");
        let membership = self.machines[leader].replica.as_ref().unwrap().membership();
        assert!(!membership.is_joint(), "no membership change is in progress");
        membership.voters.iter().map(|voter| voter.id).collect()
    }

    pub fn store(&self, machine: usize) -> StoreId {
        self.machines[machine].disk.id.unwrap()
    }

    /// Checks that all machines applied the same command at each index, and that no acknowledged command was
    /// replaced.
    pub fn check(&self) {
        let mut known: BTreeMap<Index, &Vec<u8>> = BTreeMap::new();
        for (machine, state) in self.machines.iter().enumerate() {
            for (index, command) in &state.applied {
                let first = known.entry(*index).or_insert(command);
                assert_eq!(*first, command, "machine {machine} applied another command at {index}");
            }
        }
        for (index, command) in &self.acknowledged {
            if let Some(applied) = known.get(index) {
                assert_eq!(*applied, command, "the acknowledged command at {index} was replaced");
            }
        }
        self.check_one_lease();
    }

    /// Checks that no two leaders hold a lease at the same time.
    fn check_one_lease(&self) {
        let leased = self.machines.iter().filter(|machine| {
            machine.replica.as_ref().is_some_and(|r| r.role() == Role::Leader && r.lease_until() > self.now)
        });
        assert!(leased.count() <= 1, "two leaders hold a lease");
    }

    /// Checks that the leader has applied every acknowledged command.
    pub fn check_no_acknowledged_entry_is_lost(&self) {
        let leader = self.leader().expect("a leader");
        let applied: BTreeMap<Index, &Vec<u8>> =
            self.machines[leader].applied.iter().map(|(index, command)| (*index, command)).collect();
        for (index, command) in &self.acknowledged {
            assert_eq!(applied.get(index), Some(&command), "the acknowledged command at {index} was lost");
        }
    }
}

fn encode(applied: &[(Index, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (index, command) in applied {
        bytes.extend_from_slice(&index.to_le_bytes());
        bytes.extend_from_slice(&(command.len() as u64).to_le_bytes());
        bytes.extend_from_slice(command);
    }
    bytes
}

fn decode(mut bytes: &[u8]) -> Vec<(Index, Vec<u8>)> {
    let mut applied = Vec::new();
    while !bytes.is_empty() {
        let number = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        let (index, length) = (number(0), number(8) as usize);
        applied.push((index, bytes[16..16 + length].to_vec()));
        bytes = &bytes[16 + length..];
    }
    applied
}
