//! The control path in virtual time: replicas with the state machine, operators, and the configuration that
//! each core would publish.

use crate::common::{Cluster, MAX_DELIVERY_MS, Machine, member};
use crate::faults::{Fault, Step};
use crate::history::{self, Call};
use crate::operators::{ATTEMPT_TIMEOUT_MS, Operator};
use pathbank_control::command_outcome::CommandOutcome;
use pathbank_control::operator_calls::{self, LEADER_TIMEOUT_MS, LeadershipStatus, Reply};
use pathbank_control::state::{Change, Command, ControlState};
use pathbank_coordination::calls_in_flight::CallId;
use pathbank_coordination::fencing::{Leadership, Waits};
use pathbank_coordination::replica::Replica;
use std::collections::BTreeMap;

/// The founding members, and machines that join later.
pub const FOUNDERS: usize = 3;
pub const MACHINES: usize = 5;
/// The time that a replica takes to apply one log entry, microseconds.
const ENTRY_US: [u64; 4] = [0, 0, 500, 4_000];
/// The time that the preparation of a command takes before it is applied, milliseconds.
const PREPARATION_MS: [Option<u64>; 4] = [None, None, Some(1), Some(120)];
/// The least time between actions of two leaders outside the group, milliseconds.
const TURN_WAIT: u64 = 3_000;
/// How long leaders wait before they act outside the group.
const WAITS: Waits = Waits { returning_leader_ms: TURN_WAIT, max_delivery_ms: MAX_DELIVERY_MS };
/// How long a call outside the group is on its way after as many losses in a row, milliseconds.
const CALL_DELAYS_MS: [u64; 5] = [0, 200, 600, 1_400, 2_900];
/// Of a hundred calls, so many are delayed by losses, and so many never arrive.
const DELAYED_CALLS_IN_100: u64 = 10;
const LOST_CALLS_IN_100: u64 = 3;
/// A leader without contact to the group steps down within this time, milliseconds. Followers consider it the
/// leader for another [`LEADER_TIMEOUT_MS`].
const LEADER_STEP_DOWN_MS: u64 = 900;
/// Time after the last fault within which an operator's change must be accepted, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 12_000;

/// The state that a machine has applied.
#[derive(Default)]
struct Applied {
    entries: usize,
    last: u64,
    state: ControlState,
    results: BTreeMap<u64, (Vec<u8>, Reply)>,
}

/// A change that waits for its commit at the core that proposed it.
struct Waiting {
    operator: usize,
    machine: usize,
    index: u64,
    term: u64,
    command: Vec<u8>,
}

/// An answer in flight.
struct Answer {
    at: u64,
    operator: usize,
    reply: Option<Reply>,
}

/// A call that a leader has made outside the group. Its machine delivers it, whether or not its process still runs.
#[derive(Clone, Copy)]
struct OutsideCall {
    arrives_at: u64,
    machine: usize,
    token: u64,
    /// The run of the process that made it, and its number there.
    start: u64,
    id: CallId,
}

/// The leadership of a machine, if it has one.
fn leadership<'a>(machine: &Machine, name: &'a str) -> Option<Leadership<'a>> {
    let replica = machine.replica.as_ref().filter(|replica| replica.is_established_leader())?;
    let (term, lease_until) = (replica.term(), replica.lease_until());
    let follows_settled_leader = replica.follows_settled_leader();
    Some(Leadership { name, term, lease_until, follows_settled_leader })
}

pub struct World {
    pub fleet: Cluster,
    random: fastrand::Rng,
    applied: Vec<Applied>,
    operators: Vec<Operator>,
    waiting: Vec<Waiting>,
    answers: Vec<Answer>,
    calls: Vec<Call>,
    versions: BTreeMap<u64, u64>,
    /// When each version was first acknowledged.
    acknowledged: Vec<(u64, u64)>,
    /// Calls outside the group that have not arrived yet.
    outside_calls: Vec<OutsideCall>,
    /// Calls outside the group that have arrived: the machine, its fencing token, and the time.
    acts: Vec<(usize, u64, u64)>,
    next_change: u64,
    answers_lost_in_100: u64,
}

impl World {
    pub fn new(seed: u64, operators: usize) -> World {
        let mut fleet = Cluster::new(FOUNDERS, MACHINES - FOUNDERS, seed);
        (FOUNDERS..MACHINES).for_each(|machine| fleet.kill(machine));
        let mut random = fastrand::Rng::with_seed(seed);
        // Some groups run on slow processors, on which applying the log takes time.
        let apply_us_per_entry = ENTRY_US[random.usize(..ENTRY_US.len())];
        fleet.machines.iter_mut().for_each(|machine| machine.apply_us_per_entry = apply_us_per_entry);
        // Some groups prepare commands outside the event loop.
        fleet.preparation_ms = PREPARATION_MS[random.usize(..PREPARATION_MS.len())];
        let operators = (0..operators).map(|_| Operator::new(1_500 + random.u64(0..300))).collect();
        World {
            fleet,
            random,
            applied: (0..MACHINES).map(|_| Applied::default()).collect(),
            operators,
            waiting: Vec::new(),
            answers: Vec::new(),
            calls: Vec::new(),
            versions: BTreeMap::new(),
            acknowledged: Vec::new(),
            outside_calls: Vec::new(),
            acts: Vec::new(),
            next_change: 1,
            answers_lost_in_100: 15,
        }
    }

    /// Runs a schedule of faults, and checks all guarantees during it and afterwards.
    pub fn play(&mut self, steps: &[Step]) -> Result<(), String> {
        self.run(2_000)?;
        for step in steps {
            step.fault.begin(&mut self.fleet, &mut self.random);
            self.run(step.lasts)?;
            step.fault.end(&mut self.fleet);
            self.run(step.pause)?;
        }
        while (0..MACHINES).any(|machine| self.fleet.is_terminating(machine)) {
            self.run(50)?;
        }
        Fault::end_all(&mut self.fleet);
        self.recover()?;
        self.check_history()
    }

    fn recover(&mut self) -> Result<(), String> {
        let since = self.fleet.now;
        let acknowledged = self.acknowledged.len();
        while self.acknowledged.len() < acknowledged + 2 || !self.leader_acts_since(since) {
            self.run(50)?;
            if self.fleet.now > since + RECOVERY_TIMEOUT_MS {
                return Err("no change is taken, or no leader acts, after the last fault".into());
            }
        }
        Ok(())
    }

    /// Whether a call of the present leader has arrived since a time.
    fn leader_acts_since(&self, since: u64) -> bool {
        let last = self.acts.last().filter(|(.., at)| *at >= since);
        last.is_some_and(|(machine, ..)| self.fleet.leader() == Some(*machine))
    }

    fn run(&mut self, milliseconds: u64) -> Result<(), String> {
        for _ in 0..milliseconds {
            self.settle_calls();
            self.fleet.step();
            self.deliver_outside_calls()?;
            self.apply();
            self.answer_waiting();
            self.deliver_answers();
            self.operate();
            if self.fleet.now.is_multiple_of(20) {
                self.check_cores()?;
                self.act()?;
            }
        }
        Ok(())
    }

    // ---- cores ----

    fn apply(&mut self) {
        for (machine, applied) in self.applied.iter_mut().enumerate() {
            let log = &self.fleet.machines[machine].applied;
            let last = log.last().map_or(0, |(index, _)| *index);
            if last == applied.last && log.len() == applied.entries {
                continue;
            }
            let goes_on = applied.entries > 0
                && log.get(applied.entries - 1).is_some_and(|(index, _)| *index == applied.last);
            if !goes_on {
                *applied = Applied::default();
            }
            for (index, bytes) in &log[applied.entries..] {
                let command = Command::decode(bytes).expect("a command");
                let result = applied.state.apply(*index, &command);
                applied.results.insert(*index, (bytes.clone(), Reply::from_outcome(&result)));
            }
            (applied.entries, applied.last) = (log.len(), last);
        }
    }

    /// Answers the changes that are committed or whose core no longer leads.
    fn answer_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let machine = &self.fleet.machines[waiting.machine];
            let Some(replica) = machine.replica.as_ref() else {
                self.send_answer(waiting.operator, None);
                continue;
            };
            let result = self.applied[waiting.machine].results.get(&waiting.index);
            let own_term = replica.term() == waiting.term;
            match result {
                Some((command, reply)) if own_term && *command == waiting.command => {
                    let reply = reply.clone();
                    self.send_answer(waiting.operator, Some(reply));
                }
                Some(_) => self.send_answer(waiting.operator, Some(Reply::unclear())),
                None if LeadershipStatus::of(replica, self.fleet.now).redirect().is_some() => {
                    self.send_answer(waiting.operator, Some(Reply::unclear()));
                }
                None => self.waiting.push(waiting),
            }
        }
    }

    /// Handles an operator's call at a core.
    fn receive(&mut self, operator: usize, machine: usize, change: Option<Change>) {
        let now = self.fleet.now;
        let Some(replica) =
            self.fleet.machines[machine].replica.as_ref().filter(|_| !self.fleet.is_paused(machine))
        else {
            return self.send_answer(operator, None);
        };
        let (standing, term) = (LeadershipStatus::of(replica, now), replica.term());
        let state = &self.applied[machine].state;
        let Some(change) = change else {
            let reply = operator_calls::read_configuration(state, &standing);
            return self.send_answer(operator, Some(reply));
        };
        let prepared = state.change_basis().prepare(&change);
        match operator_calls::check_change(state, &standing, &change, &prepared) {
            Err(reply) => self.send_answer(operator, Some(reply)),
            Ok(()) => {
                let command = Command::Change(change).encode();
                match self.fleet.propose_at(machine, &command) {
                    Some(index) => self.waiting.push(Waiting { operator, machine, index, term, command }),
                    None => self.send_answer(operator, Some(Reply::unclear())),
                }
            }
        }
    }

    /// Checks that a core in contact publishes no configuration older than the contact allows, and a leader
    /// within its lease only the newest one.
    fn check_cores(&self) -> Result<(), String> {
        let now = self.fleet.now;
        for (machine, applied) in self.applied.iter().enumerate() {
            let Some(replica) = self.fleet.machines[machine].replica.as_ref() else { continue };
            if self.fleet.is_paused(machine) || !replica.is_current(now, LEADER_TIMEOUT_MS) {
                continue;
            }
            let leads =
                matches!(LeadershipStatus::of(replica, now), LeadershipStatus::Leader { lease_valid: true });
            let grace = if leads { 0 } else { LEADER_STEP_DOWN_MS + LEADER_TIMEOUT_MS };
            let due = self.acknowledged.iter().filter(|(_, at)| at + grace < now);
            let newest = due.map(|(version, _)| *version).max().unwrap_or(0);
            if applied.state.version() < newest {
                return Err(format!(
                    "{now}: core {machine} is current with {} of {newest}",
                    applied.state.version()
                ));
            }
        }
        Ok(())
    }

    // ---- actions outside the group ----

    /// Lets each core know whether calls outside the group may still arrive.
    fn settle_calls(&mut self) {
        let now = self.fleet.now;
        for (machine, state) in self.fleet.machines.iter_mut().enumerate() {
            let name = member(machine, 0).name;
            state.calls_settled = leadership(state, &name).is_some_and(|leadership| {
                state.calls.are_settled(now)
                    && state.fence.are_earlier_calls_settled(&leadership, &WAITS, now)
            });
        }
    }

    /// Lets each core act that may act outside the group. Only one may at a time.
    fn act(&mut self) -> Result<(), String> {
        let now = self.fleet.now;
        let mut acting = None;
        for machine in 0..MACHINES {
            if self.fleet.is_paused(machine) {
                continue;
            }
            let state = &mut self.fleet.machines[machine];
            let name = member(machine, 0).name;
            let Some(leadership) = leadership(state, &name) else { continue };
            let is_permitted = state.fence.permit(&leadership, &WAITS, now).is_some();
            let hands_over = state.replica.as_ref().is_some_and(Replica::is_handing_over);
            if !is_permitted || hands_over {
                continue;
            }
            if let Some(other) = acting.replace(machine) {
                return Err(format!("{now}: {other} and {machine} may act at once"));
            }
            let call = OutsideCall {
                arrives_at: now,
                machine,
                token: leadership.term,
                start: state.starts,
                id: state.calls.begin(now),
            };
            self.send_outside(call);
        }
        Ok(())
    }

    /// Sends a call on its way, which losses may delay or end.
    fn send_outside(&mut self, call: OutsideCall) {
        let draw = self.random.u64(0..100);
        if draw < LOST_CALLS_IN_100 {
            return;
        }
        let losses =
            if draw < LOST_CALLS_IN_100 + DELAYED_CALLS_IN_100 { 1 + self.random.usize(..4) } else { 0 };
        let arrives_at = call.arrives_at + CALL_DELAYS_MS[losses] + self.random.u64(1..5);
        self.outside_calls.push(OutsideCall { arrives_at, ..call });
    }

    /// Calls outside the group arrive with increasing tokens, with a pause between two turns of one leader, and are
    /// answered.
    fn deliver_outside_calls(&mut self) -> Result<(), String> {
        let now = self.fleet.now;
        let due: Vec<OutsideCall> =
            self.outside_calls.extract_if(.., |call| call.arrives_at <= now).collect();
        for call in due {
            self.acts.push((call.machine, call.token, now));
            self.check_acts(now)?;
            let is_paused = self.fleet.is_paused(call.machine);
            let state = &mut self.fleet.machines[call.machine];
            if state.starts == call.start && !is_paused {
                state.calls.settle(call.id);
            }
        }
        Ok(())
    }

    fn check_acts(&mut self, now: u64) -> Result<(), String> {
        let Some(&(holder, token, at)) = self.acts.last().filter(|(.., at)| *at == now) else {
            return Ok(());
        };
        let earlier = &self.acts[..self.acts.len() - 1];
        if earlier.last().is_some_and(|(_, other, _)| *other > token) {
            return Err(format!("{now}: token {token} after a higher one"));
        }
        let recent = earlier.iter().rev().take_while(|(_, _, then)| at < then + TURN_WAIT);
        let mut another = false;
        for (machine, ..) in recent {
            if another && *machine == holder {
                return Err(format!(
                    "{now}: {holder} acts again within {TURN_WAIT} ms, and another one in between"
                ));
            }
            another |= *machine != holder;
        }
        let kept = self.acts.len().saturating_sub(400);
        self.acts.drain(..kept);
        Ok(())
    }

    // ---- operators ----

    fn send_answer(&mut self, operator: usize, reply: Option<Reply>) {
        let lost = self.random.u64(0..100) < self.answers_lost_in_100;
        let (reply, takes) = match reply.filter(|_| !lost) {
            Some(reply) => (Some(reply), self.random.u64(1..6)),
            None => (None, ATTEMPT_TIMEOUT_MS),
        };
        self.answers.push(Answer { at: self.fleet.now + takes, operator, reply });
    }

    fn deliver_answers(&mut self) {
        let now = self.fleet.now;
        let due: Vec<Answer> = self.answers.extract_if(.., |answer| answer.at <= now).collect();
        for Answer { operator, reply, .. } in due {
            let machine_at =
                |address: &str| (0..MACHINES).find(|at| member(*at, 0).control_address == address);
            let Some(call) = self.operators[operator].receive_reply(now, reply.as_ref(), machine_at) else {
                continue;
            };
            if let (history::Operation::Change { id, .. }, history::Outcome::Acknowledged) =
                (&call.operation, &call.outcome)
            {
                self.acknowledged.push((self.versions[id], now));
            }
            self.calls.push(call);
        }
    }

    fn operate(&mut self) {
        let now = self.fleet.now;
        for operator in 0..self.operators.len() {
            let is_out = self.waiting.iter().any(|waiting| waiting.operator == operator)
                || self.answers.iter().any(|answer| answer.operator == operator);
            if is_out || now < self.operators[operator].acts_at {
                continue;
            }
            let (draw, id) = (self.random.u64(0..1_000), self.next_change);
            let (next, began) = self.operators[operator].next_attempt(now, draw, id);
            if let Some((id, version)) = began {
                self.versions.insert(id, version);
                self.next_change += 1;
            }
            let machine = next.machine.unwrap_or_else(|| self.any_machine());
            // A call may reach two cores: an earlier copy may be delayed in the network.
            if self.random.u64(0..100) < 3 {
                self.receive_stray(next.change.clone());
            }
            self.receive(operator, machine, next.change);
        }
    }

    /// A random machine of the operators' list, which contains few machines that do not run.
    fn any_machine(&mut self) -> usize {
        let drawn = self.random.usize(0..MACHINES);
        match self.fleet.machines[drawn].replica {
            Some(_) => drawn,
            None => self.random.usize(0..FOUNDERS),
        }
    }

    /// Handles a delayed copy of a change whose answer no operator expects.
    fn receive_stray(&mut self, change: Option<Change>) {
        let machine = self.random.usize(0..MACHINES);
        let Some(change) = change else { return };
        let Some(replica) = self.fleet.machines[machine].replica.as_ref() else { return };
        let standing = LeadershipStatus::of(replica, self.fleet.now);
        let state = &self.applied[machine].state;
        let prepared = state.change_basis().prepare(&change);
        if operator_calls::check_change(state, &standing, &change, &prepared).is_ok() {
            self.fleet.propose_at(machine, &Command::Change(change).encode());
        }
    }

    // ---- the end of the history ----

    fn check_history(&mut self) -> Result<(), String> {
        self.answers_lost_in_100 = 0;
        self.run(1_500)?;
        self.fleet.check();
        let now = self.fleet.now;
        self.calls.extend(self.operators.iter_mut().filter_map(|operator| operator.end(now)));
        let leader = self.fleet.leader().ok_or("no leader at the end")?;
        let mut state = ControlState::default();
        let mut order = Vec::new();
        for (index, bytes) in &self.fleet.machines[leader].applied {
            let Command::Change(change) = Command::decode(bytes).expect("a command") else { continue };
            if state.apply(*index, &Command::Change(change.clone())) == Ok(CommandOutcome::Applied) {
                let body: serde_json::Value = serde_json::from_str(&change.body).expect("JSON");
                order.push(body["upsert"]["limits"]["max_body_bytes"].as_u64().expect("its number"));
            }
        }
        history::check(&self.calls, &order, &self.versions)
    }

    /// The number of calls with a definite answer.
    pub fn answered(&self) -> usize {
        self.calls.iter().filter(|call| call.outcome != history::Outcome::Nothing).count()
    }
}
