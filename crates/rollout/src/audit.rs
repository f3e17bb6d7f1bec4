//! An independent look at training steps: it reads only what engines drew and what trainers were told, and
//! knows nothing of ledgers and leaders.

use std::collections::{BTreeMap, BTreeSet};

/// A generation as an engine ran it.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// The step for which it was drawn.
    pub step: u64,
    /// The epoch under which it was begun.
    pub epoch: u64,
    /// Its prompt.
    pub prompt: u64,
    /// The engine's incarnation.
    pub worker: String,
    /// Versions that it was really drawn from, in order.
    pub versions: Vec<u64>,
    /// When its first token was drawn, milliseconds of a clock that all engines share.
    pub began: u64,
    /// When its last token was drawn.
    pub ended: u64,
    /// It came to its last token.
    pub complete: bool,
}

/// A sealed step as its trainer was told it: version, and who drew for each prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The step.
    pub step: u64,
    /// Its version.
    pub version: u64,
    /// Prompts, and who drew for each.
    pub results: BTreeMap<u64, String>,
}

/// What was found.
#[derive(Debug, Default)]
pub struct Audit {
    /// Steps that trainers were told of.
    pub sealed: usize,
    /// Generations that counted and were not drawn from the step's version alone.
    pub mixed: usize,
    /// Pairs of epochs that drew at the same time.
    pub overlapping: usize,
    /// What is wrong, in words; the first of them.
    pub problems: Vec<String>,
}

/// Problems that are put into words.
const MAX_PROBLEMS: usize = 8;

/// Looks at everything that was drawn, at what trainers were told at each seal, and at what was read back in
/// the end.
pub fn audit(drawn: &[Drawn], told: &[Told], read_back: &[Told]) -> Audit {
    let mut audit = Audit { sealed: told.len(), ..Audit::default() };
    let mut by_place: BTreeMap<(u64, u64, &str), Vec<&Drawn>> = BTreeMap::new();
    for one in drawn {
        by_place.entry((one.step, one.prompt, &one.worker)).or_default().push(one);
    }
    for step in told {
        for (prompt, worker) in &step.results {
            let of_it = by_place.get(&(step.step, *prompt, worker.as_str()));
            let is_pure =
                |one: &&Drawn| one.complete && one.versions.iter().all(|version| *version == step.version);
            if !of_it.into_iter().flatten().any(is_pure) {
                audit.mixed += 1;
                audit.problems.push(format!("step {}: prompt {prompt} of {worker} is mixed", step.step));
            }
        }
    }
    let mut spans: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for one in drawn {
        let span = spans.entry(one.epoch).or_insert((one.began, one.ended));
        *span = (span.0.min(one.began), span.1.max(one.ended));
    }
    let spans: Vec<(u64, (u64, u64))> = spans.into_iter().collect();
    for pair in spans.windows(2) {
        if pair[1].1.0 < pair[0].1.1 {
            audit.overlapping += 1;
            audit.problems.push(format!("epochs overlap: {pair:?}"));
        }
    }
    let steps: BTreeSet<u64> = told.iter().map(|step| step.step).collect();
    if steps.len() < told.len() {
        audit.problems.push("a step was told twice".into());
    }
    if told != read_back {
        audit.problems.push("what was told is not what is read back".into());
    }
    audit.problems.truncate(MAX_PROBLEMS);
    audit
}
