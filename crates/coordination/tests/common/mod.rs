//! Replicas in one process: virtual time, links that delay, lose and cut, disks that sync late and lose what
//! they had not.

#![allow(dead_code)]

use pathbank_coordination::fencing::FencingGuard;
use pathbank_coordination::membership_changes;
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::replica::{Departure, Effects, Outgoing, Replica, Role, Timing};
use pathbank_coordination::types::{Entry, Index, Member, Membership, Message, Payload, StoreId};
use std::collections::{BTreeMap, BTreeSet};

/// How long a message takes, and how long a sync takes, milliseconds.
pub const DELAY: u64 = 2;
pub const SYNC: u64 = 3;

struct Pending {
    at: u64,
    records: Vec<Record>,
    last_index: Index,
    held: Vec<Outgoing>,
}

pub struct Machine {
    pub replica: Option<Replica>,
    pub disk: DurableState,
    writes: Vec<Pending>,
    /// Commands in the order in which they were applied.
    pub applied: Vec<(Index, Vec<u8>)>,
    pub stalled: bool,
    /// How long a sync takes, milliseconds.
    pub sync_takes: u64,
    /// It stands still until then: nothing is read, no timer fires.
    pub frozen_until: u64,
    /// Processor time that one entry takes to be applied, microseconds.
    pub entry_takes_us: u64,
    /// Its processor is busy until then.
    busy_until: u64,
    /// Processor time that was used and is not a whole millisecond yet, microseconds.
    used_us: u64,
    /// Who led, as far as this machine has applied.
    pub fence: FencingGuard,
    /// It got SIGTERM then, and ends as soon as it may.
    terminating: Option<u64>,
}

/// A process that got SIGTERM ends after this, whether it left the group or not.
pub const LEAVE_WITHIN: u64 = 3_000;
/// It does not wait longer than this for a first answer.
const ANSWER_WITHIN: u64 = 600;

pub struct Fleet {
    pub now: u64,
    pub machines: Vec<Machine>,
    flying: BTreeMap<(u64, u64), (usize, Member, Message)>,
    serial: u64,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss_in_1000: u64,
    random: fastrand::Rng,
    /// What was acknowledged: index and command, on the word of the leader of the time.
    pub acknowledged: BTreeMap<Index, Vec<u8>>,
    proposed: BTreeMap<(usize, Index), (u64, Vec<u8>)>,
    next_store: u64,
    /// Bytes that a link carries in a millisecond; 0: any number.
    pub bandwidth: u64,
    /// When a link has carried all that was sent on it.
    link_free_at: BTreeMap<(usize, usize), u64>,
    /// How often another machine began to lead.
    pub leader_changes: usize,
    last_leader: Option<usize>,
    /// Who led each term.
    leaders: BTreeMap<u64, usize>,
}

/// Bytes of a message, roughly.
fn size(message: &Message) -> u64 {
    match message {
        Message::SnapshotChunk(part) => part.bytes.len() as u64 + 100,
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

impl Fleet {
    /// `founders` machines that start as one group, and `joining` with empty disks.
    pub fn new(founders: usize, joining: usize, seed: u64) -> Fleet {
        let voters: Vec<Member> = (0..founders).map(|machine| member(machine, machine as u64 + 1)).collect();
        let mut fleet = Fleet {
            now: 1_000,
            machines: Vec::new(),
            flying: BTreeMap::new(),
            serial: 0,
            cut: BTreeSet::new(),
            loss_in_1000: 0,
            random: fastrand::Rng::with_seed(seed),
            acknowledged: BTreeMap::new(),
            proposed: BTreeMap::new(),
            next_store: 100,
            bandwidth: 0,
            link_free_at: BTreeMap::new(),
            leader_changes: 0,
            last_leader: None,
            leaders: BTreeMap::new(),
        };
        for machine in 0..founders + joining {
            let founder = machine < founders;
            let initial = if founder { Membership::of(voters.clone()) } else { Membership::default() };
            let id = if founder { StoreId(machine as u64 + 1) } else { StoreId(fleet.draw_store()) };
            let disk = DurableState { id: Some(id), initial, ..DurableState::default() };
            fleet.machines.push(Machine {
                replica: None,
                disk,
                writes: Vec::new(),
                applied: Vec::new(),
                stalled: false,
                sync_takes: SYNC,
                frozen_until: 0,
                entry_takes_us: 0,
                busy_until: 0,
                used_us: 0,
                fence: FencingGuard::default(),
                terminating: None,
            });
            fleet.start(machine);
        }
        fleet
    }

    fn draw_store(&mut self) -> u64 {
        self.next_store += 1;
        self.next_store
    }

    pub fn start(&mut self, machine: usize) {
        let disk = self.machines[machine].disk.clone();
        let me = member(machine, disk.id.unwrap().0);
        let random = self.random.u64(..);
        let state = &mut self.machines[machine];
        state.applied = decode(&disk.snapshot.data);
        state.fence = FencingGuard::default();
        state.fence.restore(disk.snapshot.leaders.clone());
        (state.frozen_until, state.busy_until) = (0, 0);
        state.replica = Some(Replica::new(me, Timing::default(), disk, self.now, random));
    }

    /// The process dies; what was handed to the disk is there or not, in order.
    pub fn kill(&mut self, machine: usize) {
        let kept = self.random.usize(0..=self.machines[machine].writes.len());
        self.stop(machine, kept);
    }

    /// The machine loses power: only what was synced is there, or a part of what came behind it.
    pub fn power_off(&mut self, machine: usize) {
        self.kill(machine);
    }

    fn stop(&mut self, machine: usize, kept: usize) {
        let state = &mut self.machines[machine];
        state.replica = None;
        state.terminating = None;
        for write in state.writes.drain(..).take(kept) {
            write.records.into_iter().for_each(|record| state.disk.apply(record));
        }
    }

    /// The machine loses power and its disk.
    pub fn wipe(&mut self, machine: usize) {
        self.stop(machine, 0);
        let id = StoreId(self.draw_store());
        self.machines[machine].disk = DurableState { id: Some(id), ..DurableState::default() };
    }

    pub fn leader(&self) -> Option<usize> {
        let leaders = self.machines.iter().enumerate().filter(|(at, machine)| {
            !self.stands_still(*at)
                && machine.replica.as_ref().is_some_and(|replica| replica.is_established_leader())
        });
        leaders.max_by_key(|(_, machine)| machine.replica.as_ref().map(Replica::term)).map(|(at, _)| at)
    }

    /// Proposes at the leader; what is committed of it later counts as acknowledged.
    pub fn propose(&mut self, command: &[u8]) -> bool {
        let leader = self.leader();
        leader.is_some_and(|leader| self.propose_at(leader, command).is_some())
    }

    /// Proposes at a machine, if it leads. Returns where.
    pub fn propose_at(&mut self, machine: usize, command: &[u8]) -> Option<Index> {
        let replica = self.machines[machine].replica.as_mut()?;
        let term = replica.term();
        let (index, effects) = replica.propose(self.now, command.to_vec()).ok()?;
        self.proposed.insert((machine, index), (term, command.to_vec()));
        self.carry_out(machine, effects);
        Some(index)
    }

    /// Compacts a machine's log.
    pub fn compact(&mut self, machine: usize) {
        let state = &mut self.machines[machine];
        let Some(replica) = state.replica.as_mut() else { return };
        let Some(index) = state.applied.last().map(|(index, _)| *index) else { return };
        let effects = replica.compact(index, state.fence.leaders(), encode(&state.applied));
        self.carry_out(machine, effects);
    }

    fn carry_out(&mut self, machine: usize, effects: Effects) {
        let now = self.now;
        let state = &mut self.machines[machine];
        let Some(replica) = state.replica.as_ref() else { return };
        let last_index = replica.durable().last_index();
        let me = replica.me().clone();
        let saves = !effects.records.is_empty();
        if saves {
            let at = now + state.sync_takes;
            state.writes.push(Pending { at, records: effects.records, last_index, held: Vec::new() });
        }
        let mut go = Vec::new();
        for message in effects.messages {
            match state.writes.last_mut().filter(|_| message.after_save) {
                Some(write) => write.held.push(message),
                None => go.push(message),
            }
        }
        if let Some(snapshot) = effects.install {
            state.applied = decode(&snapshot.data);
            state.fence.restore(snapshot.leaders);
        }
        let takes_us = state.entry_takes_us * effects.committed.len() as u64;
        for entry in effects.committed {
            self.apply(machine, entry);
        }
        // Links are written by the same thread: what is said leaves when the processor is free again.
        self.charge(machine, takes_us);
        self.send(machine, &me, go);
    }

    /// The machine's processor is busy for so long: until then nothing is read there, and no timer fires.
    pub fn charge(&mut self, machine: usize, microseconds: u64) {
        let state = &mut self.machines[machine];
        state.used_us += microseconds;
        let whole = state.used_us / 1_000;
        state.used_us %= 1_000;
        if whole > 0 {
            state.busy_until = state.busy_until.max(self.now) + whole;
        }
    }

    fn apply(&mut self, machine: usize, entry: Entry) {
        if let Payload::LeaderStart(name) = &entry.payload {
            self.machines[machine].fence.record_leader(name);
        }
        let Payload::Command(command) = entry.payload else { return };
        self.machines[machine].applied.push((entry.index, command.clone()));
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
            if let Some(target) = target.filter(|target| !lost && !self.cut.contains(&(from, *target))) {
                // A link with a bandwidth keeps the order of what is sent on it.
                let spread = if self.bandwidth == 0 { self.random.u64(0..3) } else { 0 };
                let at = self.carried_at((from, target), &message).max(leaves_at) + DELAY + spread;
                self.serial += 1;
                self.flying.insert((at, self.serial), (target, me.clone(), message));
            }
        }
    }

    /// It stands still, until it is thawed or killed.
    fn stands_still(&self, machine: usize) -> bool {
        self.now < self.machines[machine].frozen_until
    }

    /// It stands still, or its processor is busy.
    pub fn is_frozen(&self, machine: usize) -> bool {
        self.now < self.runs_from(machine)
    }

    fn runs_from(&self, machine: usize) -> u64 {
        let state = &self.machines[machine];
        state.frozen_until.max(state.busy_until)
    }

    /// A machine that stood still runs again, and finds what came meanwhile.
    pub fn thaw(&mut self, machine: usize) {
        self.machines[machine].frozen_until = 0;
        let came = self.flying.extract_if(.., |(at, _), (target, ..)| *at == u64::MAX && *target == machine);
        let came: Vec<_> = came.collect();
        self.flying.extend(came.into_iter().map(|((_, serial), message)| ((self.now + 1, serial), message)));
    }

    /// Whether all of the group is there and has the leader's whole log, and no change of it is under way:
    /// another disk may be lost.
    pub fn is_whole(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(replica) = self.machines[leader].replica.as_ref() else { return false };
        let has_all = |machine: &Machine| machine.disk.last_index() >= replica.durable().last_index();
        let is_there = |id| {
            let mut stores = self.machines.iter().enumerate();
            stores.any(|(at, machine)| {
                let runs = machine.replica.as_ref().is_some_and(|replica| replica.me().id == id);
                runs && !self.stands_still(at) && !machine.stalled && has_all(machine)
            })
        };
        let membership = replica.membership();
        self.cut.is_empty() && !membership.is_joint() && membership.members().all(|voter| is_there(voter.id))
    }

    /// When a link has carried a message.
    fn carried_at(&mut self, link: (usize, usize), message: &Message) -> u64 {
        if self.bandwidth == 0 {
            return self.now;
        }
        let free_at = self.link_free_at.entry(link).or_default();
        *free_at = (*free_at).max(self.now) + size(message) / self.bandwidth;
        *free_at
    }

    /// A process gets SIGTERM: it ends once it is out of the group, or nobody can take its place.
    pub fn terminate(&mut self, machine: usize) {
        if self.machines[machine].replica.is_some() {
            self.machines[machine].terminating = Some(self.now);
        }
    }

    pub fn is_terminating(&self, machine: usize) -> bool {
        self.machines[machine].terminating.is_some()
    }

    fn terminate_on(&mut self, machine: usize) {
        let Some(since) = self.machines[machine].terminating else { return };
        if self.now.is_multiple_of(25) {
            self.with(machine, |replica, now| replica.leave(now));
        }
        let Some(replica) = self.machines[machine].replica.as_ref() else { return };
        let ends = match replica.departure() {
            Departure::Permitted => true,
            Departure::AwaitingReplacement => self.now >= since + LEAVE_WITHIN,
            Departure::AwaitingReply => self.now >= since + ANSWER_WITHIN,
        };
        if ends {
            self.with(machine, |replica, now| replica.transfer_leadership(now));
            self.kill(machine);
        }
    }

    /// No term has two leaders.
    fn check_terms(&mut self) {
        for (machine, state) in self.machines.iter().enumerate() {
            let Some(replica) = state.replica.as_ref().filter(|replica| replica.role() == Role::Leader)
            else {
                continue;
            };
            let first = *self.leaders.entry(replica.term()).or_insert(machine);
            assert_eq!(first, machine, "two lead term {}", replica.term());
        }
    }

    fn count_leaders(&mut self) {
        let leader = self.leader();
        if leader.is_some() && leader != self.last_leader {
            self.leader_changes += 1;
            self.last_leader = leader;
        }
    }

    /// The members of the newest group that a leader has.
    pub fn group_size(&self) -> Option<usize> {
        let replica = self.machines[self.leader()?].replica.as_ref()?;
        Some(replica.membership().voters.len())
    }

    /// One millisecond passes.
    pub fn step(&mut self) {
        self.now += 1;
        while let Some((&(at, serial), _)) = self.flying.first_key_value() {
            if at > self.now {
                break;
            }
            let (target, from, message) = self.flying.remove(&(at, serial)).unwrap();
            if self.is_frozen(target) {
                // It lies in the machine's socket until it runs again.
                self.flying.insert((self.runs_from(target), serial), (target, from, message));
                continue;
            }
            self.with(target, |replica, now| replica.step(now, from, message));
        }
        for machine in 0..self.machines.len() {
            if self.is_frozen(machine) {
                continue;
            }
            self.sync(machine);
            self.with(machine, |replica, now| replica.tick(now));
            self.with(machine, |replica, now| {
                membership_changes::reconcile(replica, now).unwrap_or_default()
            });
            self.with(machine, |replica, _| replica.apply_more());
            if self.now.is_multiple_of(100) {
                self.ask_to_join(machine);
            }
            self.terminate_on(machine);
        }
        self.count_leaders();
        self.check_terms();
        assert!(self.group_size().is_none_or(|voters| voters % 2 == 1), "the group stays odd");
    }

    fn with(&mut self, machine: usize, event: impl FnOnce(&mut Replica, u64) -> Effects) {
        let now = self.now;
        if let Some(replica) = self.machines[machine].replica.as_mut() {
            let effects = event(replica, now);
            self.carry_out(machine, effects);
        }
    }

    fn sync(&mut self, machine: usize) {
        let now = self.now;
        while !self.machines[machine].stalled
            && self.machines[machine].writes.first().is_some_and(|w| w.at <= now)
        {
            let write = self.machines[machine].writes.remove(0);
            write.records.into_iter().for_each(|record| self.machines[machine].disk.apply(record));
            let me = member(machine, self.machines[machine].disk.id.unwrap().0);
            self.send(machine, &me, write.held);
            self.with(machine, |replica, now| replica.on_persisted(now, write.last_index));
        }
    }

    fn ask_to_join(&mut self, machine: usize) {
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

    /// Runs until a leader has settled; `false`: none within the time.
    pub fn run_until_led(&mut self, milliseconds: u64) -> bool {
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
        assert!(!membership.is_joint(), "the group has settled");
        membership.voters.iter().map(|voter| voter.id).collect()
    }

    pub fn store(&self, machine: usize) -> StoreId {
        self.machines[machine].disk.id.unwrap()
    }

    /// What was acknowledged is applied in one order everywhere, and nothing of it differs.
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
                assert_eq!(*applied, command, "what was acknowledged at {index} is another command now");
            }
        }
        self.check_leaders();
    }

    /// No two leaders hold a lease at once.
    fn check_leaders(&self) {
        let leased = self.machines.iter().filter(|machine| {
            machine.replica.as_ref().is_some_and(|r| r.role() == Role::Leader && r.lease_until() > self.now)
        });
        assert!(leased.count() <= 1, "two leaders hold a lease");
    }

    /// The leader holds all that was acknowledged.
    pub fn check_nothing_is_lost(&self) {
        let leader = self.leader().expect("a leader");
        let applied: BTreeMap<Index, &Vec<u8>> =
            self.machines[leader].applied.iter().map(|(index, command)| (*index, command)).collect();
        for (index, command) in &self.acknowledged {
            assert_eq!(applied.get(index), Some(&command), "acknowledged at {index} and lost");
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
