//! Judges a run by what its processes told: nobody acted against what was in force, what was said to count
//! still does, in the order in which it was said, and nodes saw no more than the joint limit.

use crate::agree::document::Value;
use crate::agree::document_state::DocumentState;
use crate::agree::{Entry, Index};
use std::collections::BTreeMap;

/// Processes read the same machine's clock, each from a start of its own.
const CLOCKS_US: u64 = 5_000;
const SECOND: u64 = 1_000_000;

pub const PLAN: &str = "plan/starter";
pub const CLASS: &str = "class/token-read";
pub const NODES: &str = "nodes";
/// The class's number at the heads.
const CLASS_NUMBER: u64 = 0;

/// An attempt that a head started, as it told it.
#[derive(Clone, Debug, PartialEq)]
pub struct Act {
    pub head: usize,
    pub at_us: u64,
    pub late_us: u64,
    pub class: u64,
    pub attempt: u64,
    pub node: String,
    pub limit: f64,
}

/// An edit that somebody was told counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Acknowledged {
    pub asked_us: u64,
    pub told_us: u64,
    pub entry: Index,
    pub id: u64,
}

/// What an operator read from the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    pub asked_us: u64,
    pub told_us: u64,
    pub up_to: Index,
}

#[derive(Clone, Debug, Default)]
pub struct History {
    pub acts: Vec<Act>,
    /// When an edit was first told to be in force.
    pub in_force: BTreeMap<Index, u64>,
    pub acknowledged: Vec<Acknowledged>,
    pub reads: Vec<Read>,
    /// What each voter has at the end, from its first entry on.
    pub logs: Vec<(u64, BTreeMap<Index, Entry>)>,
    /// When a node first saw each request.
    pub seen: Vec<u64>,
    pub heads: usize,
}

/// What heads may do at a time.
#[derive(Clone, Debug, Default, PartialEq)]
struct State {
    limit: Option<f64>,
    attempts: Option<u32>,
    out: Vec<String>,
}

impl State {
    fn of(state: &DocumentState) -> State {
        let field = |document: &str, field: &str| state.document(document)?.fields.get(field).cloned();
        let out = state.document(NODES).into_iter().flat_map(|nodes| &nodes.fields);
        State {
            limit: match field(PLAN, "limit") {
                Some(Value::Limit { rate, .. }) => Some(rate),
                _ => None,
            },
            attempts: match field(CLASS, "attempts") {
                Some(Value::Attempts(most)) => Some(most),
                _ => None,
            },
            out: out
                .filter(|(_, value)| **value == Value::Node(false))
                .map(|(node, _)| node.clone())
                .collect(),
        }
    }

    /// What an act does against it.
    fn against(&self, act: &Act) -> Option<String> {
        if let Some(limit) = self.limit.filter(|limit| act.limit == 0.0 || act.limit > *limit) {
            return Some(format!("a limit of {} where {limit} is in force", act.limit));
        }
        if let Some(most) =
            self.attempts.filter(|most| act.class == CLASS_NUMBER && act.attempt >= u64::from(*most))
        {
            return Some(format!("attempt {} where {most} may be", act.attempt + 1));
        }
        self.out.contains(&act.node).then(|| format!("node {} that is taken out", act.node))
    }
}

/// What was judged, and what was wrong.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub problems: Vec<String>,
    pub acts: usize,
    pub edits: usize,
    pub revisions: usize,
    pub reads: usize,
    /// The longest time after a revision's coming into force that an act was started against it.
    pub longest_us: u64,
    /// The longest look-to-act.
    pub latest_us: u64,
    /// When a lower limit came into force.
    pub lowered_us: Vec<u64>,
}

pub fn judge(history: &History) -> Verdict {
    let mut verdict = Verdict {
        acts: history.acts.len(),
        edits: history.acknowledged.len(),
        reads: history.reads.len(),
        ..Verdict::default()
    };
    let Some(log) = one_log(history, &mut verdict) else { return verdict };
    let states = states(&log, history);
    verdict.revisions = states.len();
    let lower = |pair: &&[(u64, State)]| pair[1].1.limit < pair[0].1.limit && pair[1].1.limit.is_some();
    verdict.lowered_us = states.windows(2).filter(lower).map(|pair| pair[1].0).collect();
    judge_acts(history, &states, &mut verdict);
    judge_edits(history, &log, &mut verdict);
    judge_limit(history, &states, &mut verdict);
    verdict
}

/// All voters have the same entries; the longest log is the one.
fn one_log(history: &History, verdict: &mut Verdict) -> Option<BTreeMap<Index, Entry>> {
    let mut all: BTreeMap<Index, Entry> = BTreeMap::new();
    for (voter, log) in &history.logs {
        for (index, entry) in log {
            match all.get(index) {
                Some(known) if known != entry => {
                    verdict.problems.push(format!("voter {voter} has another entry {index} than others"));
                }
                _ => drop(all.insert(*index, entry.clone())),
            }
        }
    }
    let last = all.last_key_value().map_or(0, |(last, _)| *last);
    if all.len() as u64 != last {
        verdict.problems.push(format!("{} of {last} entries are nowhere", last - all.len() as u64));
        return None;
    }
    Some(all)
}

/// What was in force from when on.
fn states(log: &BTreeMap<Index, Entry>, history: &History) -> Vec<(u64, State)> {
    let (mut state, mut states, mut active) = (DocumentState::default(), Vec::new(), 0);
    for entry in log.values() {
        state.apply(entry);
        if state.active() > active {
            active = state.active();
            // Voters that were killed before they could tell leave it to a later one.
            let told = history.in_force.range(active..).map(|(_, at)| *at).min();
            states.extend(told.map(|at| (at, State::of(&state))));
        }
    }
    states
}

fn judge_acts(history: &History, states: &[(u64, State)], verdict: &mut Verdict) {
    for act in &history.acts {
        verdict.latest_us = verdict.latest_us.max(act.late_us);
        let looked = (act.at_us - act.late_us).saturating_sub(CLOCKS_US);
        // Against all that was in force between the look and the act: whatever came meanwhile may be what it
        // went by.
        let began = states.partition_point(|(at, _)| *at <= looked).saturating_sub(1);
        let until = states.partition_point(|(at, _)| *at <= act.at_us);
        let in_force = &states[began..until];
        let Some(((at, first), _)) = in_force.split_first().filter(|((at, _), _)| *at <= looked) else {
            continue;
        };
        if in_force.iter().all(|(_, state)| state.against(act).is_some())
            && let Some(what) = first.against(act)
        {
            verdict.longest_us = verdict.longest_us.max(act.at_us - at);
            if verdict.problems.len() < 5 {
                verdict.problems.push(format!(
                    "head {} started {what}, {} us after that came into force",
                    act.head,
                    act.at_us - at
                ));
            }
        }
    }
}

fn judge_edits(history: &History, log: &BTreeMap<Index, Entry>, verdict: &mut Verdict) {
    // Of two on one base one at most is taken: the log's own reading says which.
    let mut state = DocumentState::default();
    log.values().for_each(|entry| state.apply(entry));
    for edit in &history.acknowledged {
        if let Some(Err(rejected)) = state.result(edit.id) {
            verdict.problems.push(format!("edit {} was said to count and is refused: {rejected}", edit.id));
        }
        let there = log.get(&edit.entry).is_some_and(|entry| match &entry.command {
            crate::agree::Command::Edit(known) => known.id == edit.id,
            _ => false,
        });
        if !there {
            verdict
                .problems
                .push(format!("edit {} was said to be entry {} and is not there", edit.id, edit.entry));
        }
    }
    // What was asked for after something was said to count comes behind it; so does what was read.
    let mut told: Vec<(u64, Index)> =
        history.acknowledged.iter().map(|edit| (edit.told_us, edit.entry)).collect();
    told.extend(history.reads.iter().map(|read| (read.told_us, read.up_to)));
    told.sort_unstable();
    let mut highest = 0;
    let known: Vec<(u64, Index)> = told
        .into_iter()
        .map(|(at, entry)| {
            highest = highest.max(entry);
            (at, highest)
        })
        .collect();
    let before = |asked: u64| match known.partition_point(|(at, _)| *at < asked) {
        0 => 0,
        place => known[place - 1].1,
    };
    for edit in history.acknowledged.iter().filter(|edit| edit.entry <= before(edit.asked_us)) {
        verdict.problems.push(format!("edit {} is entry {}, before what counted then", edit.id, edit.entry));
    }
    for read in history.reads.iter().filter(|read| read.up_to < before(read.asked_us)) {
        verdict.problems.push(format!(
            "entry {} was read after {} counted",
            read.up_to,
            before(read.asked_us)
        ));
    }
}

/// In no second do nodes see more than the limit gives, with what may be saved up and one request of each
/// head beside.
fn judge_limit(history: &History, states: &[(u64, State)], verdict: &mut Verdict) {
    let mut seen = history.seen.clone();
    seen.sort_unstable();
    for (place, at) in seen.iter().enumerate() {
        let count = seen[place..].partition_point(|later| *later < at + SECOND);
        // Saved up under what was in force up to a second before, spent under what is.
        let since = states.partition_point(|(from, _)| *from + 2 * SECOND <= *at).saturating_sub(1);
        let until = states.partition_point(|(from, _)| *from < at + SECOND);
        let limits: Option<Vec<f64>> =
            states[since.min(until)..until].iter().map(|(_, state)| state.limit).collect();
        let covered = states.first().is_some_and(|(from, _)| from + 2 * SECOND <= *at);
        if let Some(most) = limits.filter(|_| covered).and_then(|limits| limits.into_iter().reduce(f64::max))
        {
            let bound = 2.0 * most + history.heads as f64;
            if count as f64 > bound {
                verdict
                    .problems
                    .push(format!("{count} requests in a second at the nodes where {bound} may be"));
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
