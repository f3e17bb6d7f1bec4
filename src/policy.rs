//! Every decision of a host's storage scheduler: MQFQ-Sticky over per-volume flows, and the guards that the
//! seven rules need. What goes in and out is in `interface.rs`, what is kept in `state.rs`. Read from
//! `handle` down: events, then `dispatch` (the ordinary path), then the guards, then what is learned.

use crate::interface::*;
use crate::message::Message;
use crate::staleness::{CALL_TAKES, Staleness};
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// T: how far a flow's virtual time may run ahead of the global one, in largest requests at weight 1: room
/// for a batch, yet a surge is throttled within a few requests.
const OVERRUN_REQUESTS: f64 = 2.0;
/// alpha: an emptied flow stays active for this many of its mean arrival gaps.
const ANTICIPATION_GAPS: f64 = 1.0;
/// Anticipation before a second arrival has told a gap (the design's figure), microseconds.
const FIRST_ANTICIPATION: Micros = 1_000_000;
/// D, tokens at one node. The design's four is the most. Few hosts all fill their tokens at the same node:
/// each keeps to its part of what three hold. Of a crowd few have work there. Half at first, then by delay.
const DEPTH_MOST: f64 = 4.0;
const DEPTH_ALL_HOSTS: f64 = 12.0;
const DEPTH_LEAST: f64 = 1.0;
/// Answers this many times dearer a unit than the node's own best make the depth shrink.
const DELAY_RATIO: f64 = 2.0;
/// Depth gained for an answer in good time, and kept after one that was late or a 'full'.
const DEPTH_GAIN: f64 = 0.1;
const DEPTH_KEEP: f64 = 0.9;
/// Weight of one answer in a node's running means; and how fast its best forgets, for each answer.
const LEARN: f64 = 0.125;
const BEST_FORGETS: f64 = 0.005;
/// A node's held work is under pressure when it would take longer than this part of the shortest target.
const PRESSURE: f64 = 0.15;
/// A node is unresponsive when its oldest request is out for this many usual answer times, and for this part
/// of `fall` at least; so many shortest targets are enough: what has waited so long is late in any case.
const SILENT_ANSWERS: f64 = 4.0;
const SILENT_LEAST: f64 = 0.5;
const SILENT_TARGETS: f64 = 1.5;
/// A request is lost when this many later ones of its node were answered, more than its cores can mix up.
const OVERTAKEN: u32 = 6;
/// This host itself stood still when its recheck came this many times too late.
const STALL_RECHECKS: u64 = 5;
/// A node where an attempt timed out or found no connection rests for this part of the fall time, but for no
/// more than that of the shortest target: what comes then can still be in time.
const SILENT_REST: f64 = 0.25;
const REST_TARGETS: f64 = 0.5;
/// A node that turned a request away rests for this part of its usual answer time.
const FULL_REST: f64 = 0.5;
/// Requests that wait for time to pass (a store, a key's rest, a cold node) are looked at this often.
const RECHECK: Micros = 10_000;
/// Wait before the next call to the node list after a failed one, doubled each time up to 4 times this, so
/// that one comes while the list is good; or what all of a crowd take one after the other.
const RESUBSCRIBE: Micros = 500_000;
/// A crowd's calls to the node list are drawn evenly over so long for each host, 10 s in all at most, and
/// over no more than this part of the time for which the list is still good; but no denser than served.
const CALLS_APART: Micros = 35_000;
const CALLS_IN: f64 = 0.9;
/// In a crowd of hosts a node's own queue should take no longer than this part of the shortest target.
const HOLD: f64 = 0.3;
/// Pace: the part of a crowd's hosts that may send a node work outside the reserve, drawn anew in each slot.
/// Word of a longer queue cuts it to this part of it at most; it comes back by this much a second.
const PACE_SLOT: u64 = 10 * RECHECK;
const PACE_CUT: f64 = 0.3;
const PACE_GAIN: f64 = 0.05;
/// A queue of this many requests or more tells how long each of them takes; a shorter one is noise.
const TELLING_QUEUE: f64 = 4.0;
/// How fast a queue of which nothing is heard is taken to shrink, in time worked off for each time passed.
const QUEUE_FADES: f64 = 0.5;
/// A node's queue is told to the other hosts, or asked for, again after this part of the shortest target.
const VIEW_AGE: f64 = 0.5;
/// A crowd's new object goes to the best of this many nodes, drawn for it, or all hosts would run to one; the
/// others come after these.
const SAMPLE: f64 = 4.0;
const UNDRAWN: f64 = 1e12;
/// A request that no node got is given up after this part of its client's time: its target is past by then.
const GIVE_UP: f64 = 0.15;

/// What is of no use any more is looked for this often; a volume is forgotten after so long a silence.
const TIDY: Micros = 1_000_000;
const FORGET: Micros = 30_000_000;

/// What is asked of a shard is taken to be two thirds of what its node carries when warm: hosts give a
/// cold one so much of what the rule allows one that carries just that. What is outside the reserve waits
/// until so many mean requests are saved up.
const COLD_PART: f64 = 1.5;
const COLD_SPARE: f64 = 1.5;

const RECHECK_TOKEN: u64 = u64::MAX;
const SUBSCRIBE_TOKEN: u64 = u64::MAX - 1;

impl Flow {
    fn active(&self, now: Micros) -> bool {
        let anticipation =
            self.mean_gap.map_or(FIRST_ANTICIPATION, |gap| (ANTICIPATION_GAPS * gap) as Micros);
        self.queued > 0 || now < self.emptied + anticipation
    }

    /// Units of the volume's limit that this host may draw now: it keeps an even part of rate and burst.
    fn limit_room(&mut self, now: Micros, part: f64) -> f64 {
        let hosts = self.hosts / part;
        self.limit.fill(now, self.plan.limit / hosts, self.plan.limit_burst / hosts)
    }

    /// The part of the volume's reserve that is this host's to use: what the others leave by the reports of
    /// use, an even part at least. Without reports it is the whole: underrating the host that leads a
    /// volume's traffic costs more than overrating the others.
    fn reserve_rate(&self) -> f64 {
        let reserve = self.plan.reserve;
        match self.elsewhere {
            Some(elsewhere) => (reserve - elsewhere).clamp(reserve / self.hosts, reserve),
            None => reserve / self.hosts.sqrt(),
        }
    }
}

impl Node {
    /// How long a request sent now would wait in the node's own queue.
    fn wait(&self, now: Micros) -> f64 {
        (self.wait - QUEUE_FADES * (now - self.wait_at) as f64).max(0.0)
    }

    fn pace(&self, now: Micros) -> f64 {
        (self.pace + PACE_GAIN * (now - self.pace_at) as f64 / SECOND).min(1.0)
    }

    /// News of a queue longer than wanted cuts the pace, once for each time such news takes.
    fn set_pace(&mut self, now: Micros, target: f64) {
        if self.wait > HOLD * target && (now - self.pace_at) as f64 > VIEW_AGE * target {
            self.pace = self.pace(now) * (HOLD * target / self.wait).max(PACE_CUT);
            self.pace_at = now;
        }
    }

    /// Word of the node's queue with an answer that took so long, or only that something waited so long.
    fn note_word(&mut self, now: Micros, queue: Option<f64>, took: f64, target: f64, usual: f64) {
        match queue {
            Some(queue) => self.note_queue(now, queue, Some(took), usual),
            None => (self.wait, self.wait_at) = (self.wait(now).max(took), now),
        }
        self.set_pace(now, target);
    }

    fn note_queue(&mut self, now: Micros, queue: f64, took: Option<f64>, usual: f64) {
        let idle = self.best * self.units;
        if let Some(took) = took.filter(|_| queue >= TELLING_QUEUE) {
            let each = (took - idle).max(0.0) / queue;
            self.drain += if self.drain > 0.0 { LEARN * (each - self.drain) } else { each };
        }
        let each = [self.drain, idle / 2.0, usual].into_iter().find(|each| *each > 0.0).unwrap_or(0.0);
        (self.wait, self.wait_at) = (queue * each, now);
    }

    /// Free tokens. An unresponsive node gets one request at a time; what is lost holds no token, nor does
    /// what has been out for too long there or while a later one was answered: its connection may be silent.
    fn free(&self, now: Micros, least: f64) -> usize {
        let (unresponsive, silence) = (self.unresponsive_since.is_some(), self.silence(least));
        let depth = if unresponsive { DEPTH_LEAST } else { self.depth };
        let held = self.out.iter().filter(|((sent, _), mark)| {
            let silent = (now - *sent) as f64 > silence && (unresponsive || mark.overtaken > 0);
            !silent && !self.lost(now, *sent, mark)
        });
        (depth as usize).saturating_sub(held.count())
    }

    /// Hearing nothing for longer than this makes a node unresponsive.
    fn silence(&self, least: f64) -> f64 {
        (SILENT_ANSWERS * self.took).max(least)
    }

    /// The node takes requests in turn: one that many later ones overtook and that is long overdue is lost.
    fn lost(&self, now: Micros, sent: Micros, mark: &OutMark) -> bool {
        mark.overtaken >= OVERTAKEN && (now - sent) as f64 > SILENT_ANSWERS * self.took
    }
}

#[derive(Debug, Default)]
pub struct Policy {
    settings: Settings,
    seed: u64,
    serial: u64,
    /// The part of what is this host's that may be used here.
    part: f64,
    requests: BTreeMap<RequestId, Held>,
    /// The flows' queues, one for each place, oldest request first.
    queues: Queues,
    flows: Vec<Flow>,
    /// Places in `flows` that no volume has any more.
    free_flows: Vec<FlowIx>,
    flow_of: BTreeMap<VolumeId, FlowIx>,
    global_vt: f64,
    nodes: BTreeMap<NodeId, Node>,
    keys: BTreeMap<u64, KeyLine>,
    /// Times of requests taken and of further attempts, within the budget's window.
    taken: VecDeque<Micros>,
    extras: VecDeque<Micros>,
    /// When the next recheck is due, if one is, and when this host last came back from standing still.
    recheck_due: Option<Micros>,
    resumed: Micros,
    started: Micros,
    /// When what is of no use any more was last looked for.
    tidied: Micros,
    list_failures: u32,
    /// Until when the list may be rested on: beyond that no node gets new work.
    list: Staleness,
    /// Units a second that this host's clients ask of each shard at first.
    asked: BTreeMap<u16, Rate>,
    /// Running mean of an answer's time over all nodes.
    usual_took: f64,
    /// Running mean over all nodes of the time that each request in a queue takes, two at a time.
    usual_drain: f64,
}

impl Policy {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Policy { settings, seed, part: 1.0, ..Policy::default() }
    }

    /// Nodes on the list, and those of them that are avoided now.
    pub fn bricks(&self, now: Micros) -> (usize, usize) {
        let listed = self.nodes.values().filter(|n| !n.gone);
        (listed.clone().count(), listed.filter(|n| n.avoided(now)).count())
    }

    pub fn list_good_until(&self) -> Micros {
        self.list.good_until(&self.settings)
    }

    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.recheck_due.is_some_and(|due| now > due + STALL_RECHECKS * RECHECK) {
            self.resumed = now;
        }
        self.started = if self.started == 0 { now } else { self.started };
        match event {
            Event::Nodes { news, nodes } => self.on_nodes(now, news, nodes, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AnswerBegan { request, attempt } => self.on_began(request, attempt as usize),
            Event::Outcome(outcome) => self.on_outcome(now, outcome, actions),
            Event::ClientLeft { request } => self.end(now, request),
            Event::Timer { token: RECHECK_TOKEN } => self.recheck_due = None,
            Event::Timer { token: SUBSCRIBE_TOKEN } => actions.push(Action::Subscribe),
            Event::Timer { token } => self.on_deadline(now, token, actions),
            Event::Settings(settings) => {
                self.settings = *settings;
                self.rescale(now, self.part);
            }
            Event::Part { part } => self.on_part(now, part),
            Event::Probed { node, took, load, .. } => self.on_probed(now, node, took, load),
            // What waits looks at the news with the next recheck.
            Event::Peer { from, bytes } => return self.on_peer(now, from, &bytes),
        }
        self.tidy(now);
        self.dispatch(now, actions);
    }

    // ---- events ----

    fn on_nodes(&mut self, now: Micros, news: News, entries: Vec<NodeEntry>, actions: &mut Vec<Action>) {
        self.list.note(now, news, &self.settings);
        self.list_failures = if news == News::Failed { (self.list_failures + 1).min(8) } else { 0 };
        let asks = matches!(news, News::Cached | News::Failed | News::Silent | News::Moved);
        if self.settings.must_subscribe && asks {
            // Few hosts ask at once; a crowd's calls at one moment would wait too long at the list's one
            // service, again and again: they are drawn over a while, in the time that is left.
            let hosts = if self.crowded() { u64::from(self.settings.hosts) } else { 0 };
            let left = (CALLS_IN * self.list_good_until().saturating_sub(now) as f64) as Micros;
            let apart = (CALLS_APART * hosts).min(20 * RESUBSCRIBE).min(left.max(CALL_TAKES * hosts));
            let most = (CALLS_APART * hosts).max(4 * RESUBSCRIBE);
            let failed = (RESUBSCRIBE * ((1 << self.list_failures) / 2)).min(most);
            let after = failed + (share_of_one(self.seed, now) * apart.max(failed) as f64) as Micros;
            self.list.call(now + after);
            let later = Action::Timer { after, token: SUBSCRIBE_TOKEN };
            actions.push(if after > 0 { later } else { Action::Subscribe });
        }
        if news == News::Full {
            let listed: BTreeSet<NodeId> = entries.iter().map(|e| e.node).collect();
            let missing = self.nodes.iter_mut().filter(|(id, _)| !listed.contains(id));
            missing.for_each(|(_, n)| (n.ready, n.gone) = (false, true));
        }
        // A number may come again for another node.
        self.forget_nodes();
        let (most_depth, crowded) = (self.most_depth(), self.crowded());
        for entry in entries {
            let fresh = !self.nodes.contains_key(&entry.node);
            let depth = (most_depth / 2.0).max(DEPTH_LEAST);
            let node = self.nodes.entry(entry.node).or_insert_with(|| Node::new(&entry, now, depth));
            (node.zone, node.shard) = (entry.zone, entry.shard);
            (node.ready, node.gone) = (entry.state == NodeState::Ready, entry.state == NodeState::Gone);
            if (fresh || entry.started != node.started) && entry.started > 0 {
                node.cold_since = Some(entry.started.min(now));
                node.unresponsive_since = None;
                // Hosts draw their first turns, or all would come at the same moment: the part of those that
                // know what is asked that the node bears at once, the others spread evenly.
                let s = &self.settings;
                let known = self.asked.get(&node.shard).is_some_and(|r| r.before(now, self.started) > 0.0);
                let at_once = if known { COLD_PART * s.fall_multiple * able(s, now, node) } else { 0.0 };
                let draw = share_of_one(self.seed ^ entry.started, entry.node.into());
                let level = if draw < at_once { 1.0 } else { (draw - at_once) / (1.0 - at_once) };
                node.cold_credit = Store { level: level * s.mean_units, at: now };
                node.depth = if crowded { DEPTH_LEAST } else { node.depth };
            }
            node.started = entry.started;
        }
    }

    fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class) else {
            return actions.push(Action::Fail { request: request.id });
        };
        let target_at = now + class.target.min(request.time_left);
        let in_line = class.in_order && request.key != 0;
        let units = if request.units.is_finite() { request.units.max(0.0) } else { self.settings.most_units };
        let (margin, flow_ix) = (2 * self.settings.tick, self.flow(now, &request));
        let (most, flow) = (self.settings.most_units, &mut self.flows[flow_ix]);
        let rate = flow.reserve_rate();
        let reserved = flow.reserve.fill(now, rate, rate + most) >= units && rate > 0.0;
        flow.reserve.level -= if reserved { units } else { 0.0 };
        if let Some(shard) = request.shard.filter(|_| !request.repeat) {
            self.asked.entry(shard).or_default().add(now, units);
        }
        self.serial += 1;
        let held = Held {
            flow: flow_ix,
            place: request.shard,
            class: request.class,
            key: if in_line { request.key } else { 0 },
            units,
            serial: self.serial,
            target_at,
            answer_by: now + request.time_left.saturating_sub(margin),
            give_up_at: now + (GIVE_UP * request.time_left as f64) as Micros,
            reserved,
            drawn: false,
            streaming: false,
            max_attempts: self.settings.max_attempts,
            over: false,
            attempts: Vec::new(),
        };
        if in_line {
            self.keys.entry(request.key).or_default().line.push_back(request.id);
        }
        if let Some(budget) = self.settings.budget {
            self.taken.push_back(now);
            forget(&mut self.taken, now, budget.window);
        }
        actions.push(Action::Timer { after: request.time_left.saturating_sub(margin), token: request.id });
        actions.push(Action::Timer { after: held.give_up_at - now, token: request.id });
        if !reserved || request.shard.is_none() {
            self.ask(now, request.shard, actions);
        }
        self.requests.insert(request.id, held);
        self.enqueue(request.id);
        // What a limit cannot let through in time is refused at once: to wait would only hold its client.
        if self.over_limit(now, request.id) {
            self.finish(now, request.id, actions);
        }
    }

    /// Whether what waits of the request's flow takes more than its limit gives before it is given up.
    fn over_limit(&mut self, now: Micros, id: RequestId) -> bool {
        let (ix, time) = (self.requests[&id].flow, (self.requests[&id].give_up_at - now) as f64 / SECOND);
        let (flow, part) = (&mut self.flows[ix], self.part);
        let room = flow.limit_room(now, part) + part * flow.plan.limit / flow.hosts * time;
        let waiting = self.queues.of(ix).map(|id| &self.requests[id]).filter(|held| !held.drawn);
        flow.plan.limit > 0.0 && waiting.map(|held| held.units).sum::<f64>() > room
    }

    /// In a crowd where reports come only with probes: asks the node that a request is for how long its queue
    /// is, one drawn at random for a new object, unless that was asked of late.
    fn ask(&mut self, now: Micros, place: Place, actions: &mut Vec<Action>) {
        if !self.crowded() || !self.settings.probing || self.settings.reports != Reports::Probes {
            return;
        }
        let (draw, age) = (self.seed ^ self.serial, VIEW_AGE * self.shortest_target());
        let able = self.nodes.iter_mut().filter(|(_, n)| n.ready && place.is_none_or(|s| s == n.shard));
        let node = able.min_by(|(a, _), (b, _)| {
            share_of_one(draw, (**a).into()).total_cmp(&share_of_one(draw, (**b).into()))
        });
        if let Some((id, node)) = node.filter(|(_, n)| (now - n.view_at) as f64 > age) {
            (node.view_at, node.asked) = (now, Some(now));
            actions.push(Action::Probe { node: *id });
        }
    }

    /// The flow of a request's volume, awake and its arrival noted.
    fn flow(&mut self, now: Micros, request: &Request) -> FlowIx {
        let next = self.free_flows.last().copied().unwrap_or(self.flows.len());
        let plan = self.settings.plan(request.plan);
        let ix = *self.flow_of.entry(request.volume).or_insert(next);
        if ix == next {
            // The limit's store is empty at this host's start: what it spent before that is not known.
            let limit = Store { level: 0.0, at: self.started };
            let reserve = Store { level: plan.reserve, at: now };
            let times = Flow { emptied: now, arrived: now, own_use_at: now, ..Flow::default() };
            let flow = Flow { plan, hosts: 1.0, vt: self.global_vt, limit, reserve, ..times };
            match self.free_flows.pop() {
                Some(free) => self.flows[free] = flow,
                None => self.flows.push(flow),
            }
        }
        let global_vt = self.global_vt(now);
        let flow = &mut self.flows[ix];
        // Under other figures of its plan it keeps what it has saved up, as far as they let it.
        flow.limit_room(now, self.part);
        (flow.plan, flow.plan_number) = (plan, request.plan);
        let all = f64::from(self.settings.hosts.max(1));
        let hosts = if (1.0..=all).contains(&request.volume_hosts) { request.volume_hosts } else { all };
        flow.hosts = flow.hosts.max(hosts);
        if !flow.active(now) {
            flow.vt = flow.vt.max(global_vt);
        }
        if ix != next {
            let gap = (now - flow.arrived) as f64;
            flow.mean_gap = Some(flow.mean_gap.map_or(gap, |mean| mean + LEARN * (gap - mean)));
        }
        flow.arrived = now;
        ix
    }

    fn forget_nodes(&mut self) {
        self.nodes.retain(|_, node| !node.gone || !node.out.is_empty());
    }

    /// Forgets nodes that are gone, keys at rest, shards not asked for, and volumes of which a new flow would
    /// know as much: long silent, with nothing out, not ahead of the others, and with a full limit.
    fn tidy(&mut self, now: Micros) {
        if now < self.tidied + TIDY {
            return;
        }
        self.tidied = now;
        self.forget_nodes();
        self.keys.retain(|_, key| !key.line.is_empty() || key.rest_until > now);
        self.asked.retain(|_, rate| now < rate.at + FORGET);
        let (flows, free, global_vt, part) =
            (&mut self.flows, &mut self.free_flows, self.global_vt, self.part);
        self.flow_of.retain(|_, ix| {
            let flow = &mut flows[*ix];
            let silent = now > flow.arrived + FORGET && flow.queued == 0 && flow.in_flight == 0;
            let stays = !silent
                || flow.vt > global_vt
                || flow.limit_room(now, part) < flow.plan.limit_burst / flow.hosts;
            if !stays {
                *flow = Flow::default();
                free.push(*ix);
            }
            stays
        });
    }

    fn on_outcome(&mut self, now: Micros, outcome: Outcome, actions: &mut Vec<Action>) {
        let id = outcome.request;
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = held.attempts.get_mut(outcome.attempt as usize) else { return };
        if attempt.fate != Fate::Out {
            return;
        }
        let proves_idle = matches!(outcome.ending, Ending::Full | Ending::ConnectFailed | Ending::Moot);
        attempt.fate = if proves_idle { Fate::NeverRan } else { Fate::MayHaveRan };
        let (sent, node, units, key) = (attempt.sent, attempt.node, held.units, held.key);
        // What was not written took nothing of its limit yet: sent later, it draws then.
        held.drawn &= !matches!(outcome.ending, Ending::ConnectFailed | Ending::Moot);
        let flow = &mut self.flows[held.flow];
        flow.in_flight -= 1;
        if outcome.ending == Ending::Served {
            flow.note_use(now, units, outcome.used, self.settings.use_period as f64);
        }
        if let Some(line) = self.keys.get_mut(&key)
            && matches!(outcome.ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled)
        {
            line.rest_until = now + self.settings.order_settle;
        }
        actions.extend(self.learn(now, (node, sent), units, &outcome).map(Action::Log));
        self.tell(now, node, &outcome, actions);
        let held = &self.requests[&id];
        if outcome.over || held.over {
            self.end(now, id);
        } else if !held.out() {
            if now >= held.answer_by || !self.may_repeat(now, held) {
                self.finish(now, id, actions);
            } else {
                self.enqueue(id);
            }
        }
    }

    /// The request goes on at this attempt only, whose silence tells nothing of its node any more.
    fn on_began(&mut self, id: RequestId, attempt: usize) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.streaming = true;
        let Some(Attempt { node, sent, .. }) = held.attempts.get(attempt) else { return };
        let mark = self.nodes.get_mut(node).and_then(|node| node.out.get_mut(&(*sent, id)));
        mark.into_iter().for_each(|mark| mark.streaming = true);
    }

    /// Another instance of this host comes or has gone. Stores fill as before until now, and are cut to what
    /// they may hold now. One for a volume not seen here yet begins empty: the other one may have spent it.
    fn on_part(&mut self, now: Micros, part: f64) {
        self.rescale(now, part);
        self.started = if part >= self.part || self.flows.is_empty() { now } else { self.started };
        // What was learned of a node holds for the host: its tokens are shared out anew.
        let shared_out = part / std::mem::replace(&mut self.part, part);
        let most = self.most_depth();
        let depth = |node: &mut Node| node.depth = (node.depth * shared_out).clamp(DEPTH_LEAST, most);
        self.nodes.values_mut().for_each(depth);
    }

    /// Other figures count at once, for what waits too: stores fill by the old ones up to now, and hold no
    /// more than the new ones let them.
    fn rescale(&mut self, now: Micros, part: f64) {
        for flow in &mut self.flows {
            flow.limit_room(now, self.part);
            flow.plan = self.settings.plan(flow.plan_number);
            flow.limit_room(now, part);
        }
    }

    fn on_probed(&mut self, now: Micros, id: NodeId, took: Micros, load: Load) {
        let target = self.shortest_target();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.asked = None;
        load.queue.into_iter().for_each(|queue| node.note_queue(now, queue, None, self.usual_drain));
        // A probe that waits in the node's queue tells that by its time.
        node.note_word(now, None, took as f64, target, self.usual_drain);
    }

    fn on_peer(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let heard = Message::read(bytes).filter(|_| from < self.settings.hosts);
        let Some(Message { shard, queue, took }) = heard else { return };
        let target = self.shortest_target();
        let Some(node) = self.nodes.values_mut().find(|n| n.ready && n.shard == shard) else { return };
        node.note_word(now, queue, took as f64, target, self.usual_drain);
        node.view_at = now;
        if queue.is_some() {
            node.heard = now;
            if node.unresponsive_since.take().is_some() {
                node.rest_until = now;
            }
        }
    }

    /// What never got a turn in the first part of its client's time is given up: late, it would earn little.
    /// When that time is all but up, what has nothing out gets its final answer, the rest its time-out.
    fn on_deadline(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id).filter(|held| !held.over && !held.out()) else { return };
        let unsent = held.attempts.iter().all(|a| a.fate == Fate::NeverRan);
        if now >= held.answer_by || unsent && now >= held.give_up_at {
            self.finish(now, id, actions);
        }
    }

    fn finish(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[held.class];
        let harmless = held.first_that_may_have_run().is_none()
            || class.repeats == Repeats::Safe
            || class.repeats == Repeats::Keyed && class.scope == Scope::All;
        actions.push(if harmless {
            // As late as clients honour: what was given up found no turn in many answer times.
            Action::Refuse { request: id, retry_in: self.settings.max_retry_after.unwrap_or(0) }
        } else {
            Action::Fail { request: id }
        });
        self.end(now, id);
    }

    /// The request is over; it is forgotten once nothing of it is out.
    fn end(&mut self, now: Micros, id: RequestId) {
        self.dequeue(now, id);
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.over = true;
        if held.out() {
            return;
        }
        if let Some(line) = self.keys.get_mut(&held.key) {
            line.line.retain(|other| *other != id);
            if line.line.is_empty() && line.rest_until <= now {
                self.keys.remove(&held.key);
            }
        }
        self.requests.remove(&id);
    }

    fn enqueue(&mut self, id: RequestId) {
        let held = &self.requests[&id];
        self.queues.insert(held.place, held.flow, (held.serial, id));
        self.flows[held.flow].queued += 1;
    }

    fn dequeue(&mut self, now: Micros, id: RequestId) {
        let Some(held) = self.requests.get(&id) else { return };
        if self.queues.remove(held.place, held.flow, (held.serial, id)) {
            let flow = &mut self.flows[held.flow];
            flow.queued -= 1;
            if flow.queued == 0 {
                flow.emptied = now;
            }
        }
    }

    // ---- the ordinary path ----

    /// Hands out free tokens, at the node with most of them first, so that new objects go there; ties to the
    /// node that answers soonest.
    fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.queues.is_empty() {
            return;
        }
        self.watch_silence(now, actions);
        self.save_for_cold(now);
        let waits = |place| self.queues.at(place).next().is_some();
        let (new_objects, least) = (waits(None), self.least_silence());
        let good = now < self.list_good_until();
        let open = self.nodes.iter().filter(|_| good).filter(|(_, n)| {
            n.ready && n.rest_until <= now && (new_objects || waits(Some(n.shard))) && n.free(now, least) > 0
        });
        let mut order: Vec<_> = open
            .map(|(id, n)| (std::cmp::Reverse(n.free(now, least)), self.rank(now, *id, n), *id))
            .collect();
        order.sort_unstable();
        let mut global_vt = self.global_vt(now);
        for (_, _, node) in order {
            while self.nodes[&node].free(now, least) > 0 {
                let Some(id) = self.choose(now, node, global_vt) else { break };
                self.send(now, id, node, actions);
                global_vt = self.global_vt(now);
            }
        }
        if !self.queues.is_empty() && self.recheck_due.is_none() {
            self.recheck_due = Some(now + RECHECK);
            actions.push(Action::Timer { after: RECHECK, token: RECHECK_TOKEN });
        }
    }

    /// Nodes with equally many free tokens: the one that answers soonest first. In a crowd, where that is
    /// seldom known, the one of a few drawn that should answer soonest by the word there is of its queue.
    fn rank(&self, now: Micros, id: NodeId, node: &Node) -> Micros {
        let target = self.shortest_target();
        if !self.crowded() {
            return node.took as Micros;
        }
        // One answer tells little of a node, none nothing: it is taken to be as the usual one.
        let usual = self.usual_took + node.wait(now);
        let known = if node.took > 0.0 { node.took.max(node.wait(now)) } else { usual };
        let fresh = node.wait_at > 0 && ((now - node.wait_at) as f64) < 2.0 * VIEW_AGE * target;
        let expected = if fresh { node.wait(now) + node.best * node.units } else { (known + usual) / 2.0 };
        let draw = self.nodes.len() as f64 * share_of_one(self.seed ^ self.serial, id.into());
        // Ties, as of nodes that nothing is known of, go by the draw too.
        (if draw <= SAMPLE { expected } else { UNDRAWN } + draw * 1e3) as Micros
    }

    /// In a crowd of hosts each hears from a node too seldom to know its queue: what an answer tells of a
    /// queue that keeps work waiting, or no longer does, goes to all others.
    fn tell(&mut self, now: Micros, id: NodeId, outcome: &Outcome, actions: &mut Vec<Action>) {
        let (crowded, target) = (self.crowded(), self.shortest_target());
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let (before, waited) = (node.wait(now), outcome.took as f64);
        let (queue, took) = match (outcome.ending, outcome.load.queue) {
            (Ending::Served, None) => {
                (node.wait, node.wait_at) = ((waited - node.best * node.units).max(0.0), now);
                (None, 0.0)
            }
            (Ending::Served, queue) => (queue, waited),
            // Nothing tells of the queue but that it kept this request for so long, or left it no room.
            (Ending::TimedOut, _) => (None, waited.min(2.0 * target)),
            (Ending::Full, _) => (None, target),
            _ => return,
        };
        node.note_word(now, queue, took, target, self.usual_drain);
        let deep = node.wait.max(before) > HOLD / 2.0 * target;
        if crowded && self.settings.peers && deep && (now - node.view_at) as f64 > VIEW_AGE * target {
            node.view_at = now;
            let bytes = Message { shard: node.shard, queue, took: took as Micros }.bytes();
            actions.push(Action::Tell { peer: None, bytes });
        }
    }

    fn shortest_target(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.target).min().unwrap_or(0) as f64
    }

    /// The lowest virtual time among active flows. A flow whose queued work lies only at nodes that take none
    /// does not hold the others back.
    fn global_vt(&mut self, now: Micros) -> f64 {
        let open = self.nodes.values().filter(|n| n.ready && n.unresponsive_since.is_none());
        let open: BTreeSet<u16> = open.map(|n| n.shard).collect();
        let waiting = self.queues.iter().filter(|(place, ..)| place.is_none_or(|s| open.contains(&s)));
        let waiting = waiting.map(|(_, flow, _)| self.flows[flow].vt);
        let expected = self.flows.iter().filter(|f| f.queued == 0 && f.active(now)).map(|f| f.vt);
        let lowest = waiting.chain(expected).fold(f64::INFINITY, f64::min);
        self.global_vt = if lowest.is_finite() { lowest } else { self.global_vt };
        self.global_vt
    }

    /// The longest eligible queue at the node, ties to fewest in flight, its oldest request; with only
    /// throttled work there, the flow of lowest virtual time.
    fn choose(&mut self, now: Micros, node: NodeId, global_vt: f64) -> Option<RequestId> {
        let throttle = global_vt + OVERRUN_REQUESTS * self.settings.most_units.max(1.0);
        let shard = self.nodes[&node].shard;
        let mut waiting: Vec<(f64, FlowIx, RequestId)> = Vec::new();
        // New objects stay away from an unresponsive node while any other takes work.
        let closed = self.nodes[&node].unresponsive_since.is_some()
            && self.nodes.values().any(|n| n.ready && n.unresponsive_since.is_none());
        let (slot, target) =
            (share_of_one(self.seed ^ (now / PACE_SLOT), node.into()), self.shortest_target());
        let unheard = !self.settings.peers && self.nodes[&node].wait(now) > HOLD * target;
        let deep = self.crowded() && (unheard || slot > self.nodes[&node].pace(now));
        // New objects wait for word of any node, so that they go where the queue is short.
        let unsure = self.nodes[&node].asked.is_some_and(|asked| now < asked + self.settings.fall);
        let places: &[Place] = if closed { &[Some(shard)] } else { &[None, Some(shard)] };
        for (flow_ix, queue) in places.iter().flat_map(|p| self.queues.at(*p)) {
            let flow = &mut self.flows[flow_ix];
            let room = if flow.plan.limit > 0.0 { flow.limit_room(now, self.part) } else { f64::INFINITY };
            let flow = &self.flows[flow_ix];
            for (_, id) in queue {
                let held = &self.requests[id];
                let calm = held.reserved && held.place.is_some() || !deep && !unsure;
                if calm && (held.drawn || held.units <= room) && self.may_send(now, *id, held, node) {
                    waiting.push((self.worth(now, held, node, flow.vt > throttle), flow_ix, *id));
                }
            }
        }
        let bar = self.bar(node, &mut waiting).max(self.scraps_bar(now, node));
        waiting.retain(|(worth, ..)| *worth >= bar && *worth > 0.0);
        let mut queues: BTreeMap<FlowIx, (usize, u64, RequestId)> = BTreeMap::new();
        for (_, flow, id) in &waiting {
            let serial = self.requests[id].serial;
            let queue = queues.entry(*flow).or_insert((0, serial, *id));
            queue.0 += 1;
            (queue.1, queue.2) = (queue.1, queue.2).min((serial, *id));
        }
        let eligible = queues.iter().filter(|(flow, _)| self.flows[**flow].vt <= throttle);
        let longest = eligible.max_by_key(|(flow, (length, serial, _))| {
            (*length, std::cmp::Reverse((self.flows[**flow].in_flight, *serial)))
        });
        let lowest =
            || queues.iter().min_by(|(a, _), (b, _)| self.flows[**a].vt.total_cmp(&self.flows[**b].vt));
        longest.or_else(lowest).map(|(_, (_, _, id))| *id)
    }

    fn send(&mut self, now: Micros, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        self.dequeue(now, id);
        let found = (self.requests.get_mut(&id), self.nodes.get_mut(&node_id));
        let (Some(held), Some(node)) = found else { return };
        let flow = &mut self.flows[held.flow];
        flow.vt += held.units / if flow.plan.weight > 0.0 { flow.plan.weight } else { 1.0 };
        flow.in_flight += 1;
        if !held.drawn && flow.plan.limit > 0.0 {
            flow.limit.level -= held.units;
        }
        held.drawn = true;
        if let (Some(budget), false) = (self.settings.budget, held.attempts.is_empty()) {
            self.extras.push_back(now);
            forget(&mut self.extras, now, budget.window);
        }
        let (zone, shard, class) = (node.zone, node.shard, &self.settings.classes[held.class]);
        // A repeat whose connection comes up late would reach its node when that no longer drops it.
        let first = held.first_that_may_have_run().filter(|_| class.repeats == Repeats::Keyed);
        let write_by = first.map_or(Micros::MAX, |first| first.sent + class.window);
        held.attempts.push(Attempt { node: node_id, zone, shard, sent: now, fate: Fate::Out });
        node.out.insert((now, id), OutMark::default());
        if node.cold_since.is_some() {
            node.cold_sends.push_back((now, held.units));
            node.cold_credit.level -= held.units;
        }
        actions.push(Action::Send { request: id, node: node_id, time_out: 0, write_by });
    }

    // ---- worth and pressure ----

    /// What a unit of the request earns: in full inside the reserve, `share_worth` inside the volume's share
    /// (the throttle tells), `spare_worth` beyond; `late_worth` of it past the target; nothing when hopeless.
    fn worth(&self, now: Micros, held: &Held, node: NodeId, throttled: bool) -> f64 {
        let (class, plan) = (&self.settings.classes[held.class], &self.flows[held.flow].plan);
        let grade = match (held.reserved, throttled) {
            (reserved, _) if reserved || self.settings.plans.is_empty() => 1.0,
            (_, false) => self.settings.share_worth,
            (_, true) => self.settings.spare_worth,
        };
        let node = &self.nodes[&node];
        let wait = if self.crowded() { node.wait(now) } else { 0.0 };
        let expected = now + (wait + if node.units > 0.0 { node.best * held.units } else { 0.0 }) as Micros;
        let time = match expected {
            t if t <= held.target_at => 1.0,
            // A late answer takes the worst that is still due.
            t if t <= held.answer_by => class.late_worth * self.settings.spare_worth / grade,
            _ => 0.0,
        };
        class.worth * plan.price * grade * time
    }

    /// Exception under pressure: when a node's waiting work takes over `PRESSURE` of the shortest target,
    /// only the worthiest that fits that time is eligible; the rest waits on.
    fn bar(&self, node: NodeId, waiting: &mut [(f64, FlowIx, RequestId)]) -> f64 {
        let node = &self.nodes[&node];
        if node.took <= 0.0 {
            return 0.0;
        }
        let mut room = PRESSURE * self.shortest_target() * node.depth * node.units / node.took;
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.2.cmp(&b.2)));
        let last = waiting.iter().find(|(.., id)| {
            room -= self.requests[id].units;
            room <= 0.0
        });
        last.map_or(0.0, |(worth, ..)| *worth)
    }

    /// Exception while this host has work out at the node, or the node has a queue of its own or by its word
    /// of late is slower than at its best: what earns less than spare work, as late answers, takes no token.
    fn scraps_bar(&self, now: Micros, node: NodeId) -> f64 {
        let (node, target) = (&self.nodes[&node], self.shortest_target());
        let queued = self.crowded() && (node.pace(now) < 1.0 || node.wait(now) > 0.0);
        let slow = node.took > DELAY_RATIO * node.best * node.units && ((now - node.heard) as f64) < target;
        if !queued && node.out.is_empty() && !slow {
            return 0.0;
        }
        let (classes, plans) = (&self.settings.classes, &self.settings.plans);
        let worth = classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min);
        let price = plans.iter().map(|p| p.price).fold(1.0, f64::min);
        worth * price * self.settings.spare_worth
    }

    // ---- guards of the rules ----

    fn may_send(&self, now: Micros, id: RequestId, held: &Held, node_id: NodeId) -> bool {
        let node = &self.nodes[&node_id];
        let same_group = |other: &Attempt, scope| match scope {
            Scope::All => true,
            Scope::Zone => other.zone == node.zone,
            Scope::Shard => other.shard == node.shard,
        };
        let class = &self.settings.classes[held.class];
        let repeat_fits = held
            .first_that_may_have_run()
            .is_none_or(|first| class.repeats != Repeats::Keyed || same_group(first, class.scope));
        let in_turn = self.keys.get(&held.key).is_none_or(|k| {
            k.line.front() == Some(&id) && (k.rest_until <= now || !held.attempts.is_empty())
        });
        let in_budget = held.attempts.is_empty() || self.may_repeat(now, held) && self.budget_allows(now);
        now < held.answer_by && repeat_fits && in_turn && in_budget && self.cold_room(now, node, held)
    }

    /// Whether a further attempt of the request can be allowed at all.
    fn may_repeat(&self, now: Micros, held: &Held) -> bool {
        let class = &self.settings.classes[held.class];
        let kind = held.first_that_may_have_run().is_none_or(|first| match class.repeats {
            Repeats::Safe => true,
            Repeats::Keyed => now < first.sent + class.window,
            Repeats::Unsafe => false,
        });
        kind && !held.streaming && held.attempts.len() < held.max_attempts as usize
    }

    fn budget_allows(&self, now: Micros) -> bool {
        self.settings.budget.is_none_or(|budget| {
            let since = now.saturating_sub(budget.window);
            let extras = self.extras.iter().filter(|t| **t >= since).count() as f64;
            let taken = self.taken.iter().filter(|t| **t > since).count() as f64;
            extras + 1.0 <= budget.floor + budget.ratio * taken
        })
    }

    /// Whether this host may send that many units now to a node that may be cold: what it has saved up of its
    /// part; of few hosts also an even part of what such a node always bears, growing as the node warms.
    fn cold_room(&self, now: Micros, node: &Node, held: &Held) -> bool {
        let s = &self.settings;
        if node.cold_since.is_none_or(|since| now >= since + s.cold) {
            return true;
        } else if s.cold_units <= 0.0 || s.cold_from <= 0.0 {
            return node.out.is_empty();
        }
        let saved = s.mean_units * if held.reserved { 1.0 } else { COLD_SPARE };
        let part = self.part * able(s, now, node) / s.cold_from * s.cold_units / f64::from(s.hosts.max(1));
        let sends = node.cold_sends.iter().filter(|(t, _)| *t + s.fall >= now);
        let even = part - sends.map(|(_, units)| units).sum::<f64>() >= held.units;
        node.cold_credit.level >= saved || even && !self.crowded()
    }

    /// An even part of what a cold node always bears may be less than any request, and is due to hosts that
    /// never use it. A node that is warm carries what all hosts ask of its shard: a host keeps to the
    /// part of its own asking that the node bears cold, or to the even part, and saves up for its turns.
    fn save_for_cold(&mut self, now: Micros) {
        let (s, of_host) = (&self.settings, self.part);
        let cold = |n: &Node| n.cold_since.is_some_and(|since| now < since + s.cold);
        for node in self.nodes.values_mut().filter(|n| cold(n)) {
            let able = able(s, now, node);
            let even = of_host * able / s.cold_from * s.cold_units * SECOND
                / (s.fall.max(1) as f64 * f64::from(s.hosts));
            let asked = self.asked.get(&node.shard).map_or(0.0, |rate| rate.before(now, self.started));
            let part = even.max(COLD_PART * s.fall_multiple * able * asked);
            node.cold_credit.fill(now, part, COLD_SPARE * s.mean_units);
        }
    }

    // ---- what is learned ----

    /// So many hosts that one token each is more than a node should hold.
    fn crowded(&self) -> bool {
        f64::from(self.settings.hosts) > DEPTH_ALL_HOSTS
    }

    fn least_silence(&self) -> f64 {
        (SILENT_LEAST * self.settings.fall as f64).min(SILENT_TARGETS * self.shortest_target())
    }

    fn most_depth(&self) -> f64 {
        let hosts = if self.crowded() { 1.0 } else { f64::from(self.settings.hosts.max(1)) };
        ((DEPTH_ALL_HOSTS / hosts).min(DEPTH_MOST) * self.part).max(DEPTH_LEAST)
    }

    /// A node is unresponsive when it answered nothing for far longer than usual with a request out; it gets
    /// one at a time then. The silence while this host itself stood still does not count. A request that is
    /// lost at a node that answers is called off once, so that it may be sent again while it is in time.
    fn watch_silence(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let (least, mut lost) = (self.least_silence(), Vec::new());
        for (id, node) in &mut self.nodes {
            let waits =
                node.out.iter().find(|((sent, _), mark)| !mark.streaming && !node.lost(now, *sent, mark));
            if let (Some(((sent, _), _)), None) = (waits, node.unresponsive_since) {
                let since = (*sent).max(node.heard).max(self.resumed);
                if (now - since) as f64 > node.silence(least) {
                    node.unresponsive_since = Some(since);
                    actions.push(Action::Log(format!("node {id} is mute")));
                }
            }
            let marks =
                node.out.iter().filter(|((sent, _), mark)| !mark.called_off && node.lost(now, *sent, mark));
            lost.extend(marks.map(|(key, _)| (*id, *key)));
        }
        for (node, key) in lost {
            let Some(held) = self.requests.get(&key.1) else { continue };
            let once = held.attempts.len() == 1 && !held.over && now < held.target_at;
            if self.settings.cancel && once && self.may_repeat(now, held) && self.budget_allows(now) {
                actions.push(Action::Cancel { request: key.1, attempt: 0 });
                if let Some(mark) = self.nodes.get_mut(&node).and_then(|n| n.out.get_mut(&key)) {
                    mark.called_off = true;
                }
            }
        }
    }

    fn learn(&mut self, now: Micros, out: (NodeId, Micros), units: f64, done: &Outcome) -> Option<String> {
        let (id, at) = out;
        let (fall, cold, most_depth) = (self.settings.fall, self.settings.cold, self.most_depth());
        let crowded = self.crowded();
        // All hosts together try an unresponsive node no oftener than few hosts would, and not in step.
        let apart = f64::from(self.settings.hosts) / DEPTH_ALL_HOSTS * (0.5 + share_of_one(self.seed, now));
        let rest = (SILENT_REST * fall as f64).min(REST_TARGETS * self.shortest_target());
        let rest = rest * if crowded { apart } else { 1.0 };
        let node = self.nodes.get_mut(&id)?;
        let (sent, mut news) = ((at, done.request), None);
        node.out.remove(&sent);
        node.cold_sends.retain(|(t, _)| t + fall >= now);
        if node.cold_since.is_some_and(|since| now > since + cold) {
            node.cold_since = None;
        }
        match done.ending {
            Ending::Served => {
                node.heard = now;
                let broke = std::mem::take(&mut node.breaks) > 0;
                node.out.range_mut(..sent).for_each(|(_, mark)| mark.overtaken += 1);
                if let Some(since) = node.unresponsive_since.take() {
                    news = Some(format!("node {id} answers again"));
                    // It may have restarted unannounced where connections failed, unless it still knew a
                    // request from before. In a crowd of hosts the few answers that one gets do not tell that
                    // from a deep queue; mere silence may be that of a connection.
                    if sent.0 > since && now > since + fall && !crowded && broke {
                        node.cold_since = Some(now);
                    }
                }
                // An answer that its connection held back tells little of the node.
                let most = if node.took > 0.0 { 2.0 * SILENT_ANSWERS * node.took } else { f64::INFINITY };
                let took = (done.took as f64).min(most);
                let usual = if self.usual_took > 0.0 { self.usual_took } else { took };
                self.usual_took = usual + LEARN * (took - usual);
                if node.took <= 0.0 {
                    (node.took, node.units) = (took, units.max(f64::MIN_POSITIVE));
                }
                node.took += LEARN * (took - node.took);
                node.units += LEARN * (units - node.units);
                let ratio = node.took / node.units;
                self.usual_drain += LEARN * (node.best * node.units / 2.0 - self.usual_drain);
                node.best = if node.best > 0.0 { ratio.min(node.best * (1.0 + BEST_FORGETS)) } else { ratio };
                if ratio > DELAY_RATIO * node.best {
                    node.depth = (node.depth * DEPTH_KEEP).max(DEPTH_LEAST);
                } else {
                    node.depth = (node.depth + DEPTH_GAIN).min(most_depth);
                }
            }
            Ending::Full => {
                node.depth = (node.depth * DEPTH_KEEP).max(DEPTH_LEAST);
                node.rest_until = now + ((FULL_REST * node.took) as Micros).max(RECHECK);
            }
            // At a node that has answered since, one attempt was lost, not the node.
            Ending::TimedOut if node.heard > sent.0 => {}
            // It answered just now, and one connection did not come up.
            Ending::ConnectFailed if node.breaks == 0 && now < node.heard + rest as Micros => {
                node.breaks = 1;
                node.rest_until = now + ((FULL_REST * node.took) as Micros).max(RECHECK);
            }
            Ending::ConnectFailed | Ending::TimedOut => {
                node.breaks += 1;
                node.unresponsive_since.get_or_insert(sent.0);
                node.rest_until = now + rest as Micros;
            }
            // A broken connection tells of itself: a process that died refuses the next one.
            Ending::Reset | Ending::Error | Ending::Cancelled | Ending::Moot => {}
        }
        news
    }
}

/// The part of its capacity that a cold node has at least.
fn able(s: &Settings, now: Micros, node: &Node) -> f64 {
    let warm = (now - node.cold_since.unwrap_or(0)) as f64 / s.cold.max(1) as f64;
    s.cold_from + (1.0 - s.cold_from) * warm.min(1.0)
}
