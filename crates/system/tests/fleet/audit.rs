//! What model servers and clients saw, against the rules.

use std::collections::{BTreeMap, BTreeSet};

/// Model servers that a try may be sent to.
pub const MAX_ATTEMPTS: usize = 2;
/// Loads of the weight store in any window.
pub const LOADS_PER_S: f64 = 20.0;
const CEILING_WINDOW_MS: u64 = 5_000;
const CEILING_OVERSHOOT: f64 = 1.1;
const CEILING_SLACK: f64 = 3.0;
/// Models that are asked for so often, over so long, have to be served, but for one and a part of them.
const ASKED_OFTEN: usize = 4;
const STARVED_PART: f64 = 0.1;
const ASKED_OVER_MS: u64 = 8_000;
/// What the end of a run is.
const END_MS: u64 = 3_000;

/// One client request.
#[derive(Clone, Debug)]
pub struct Asked {
    pub model: String,
    pub arrived: u64,
    pub urgency: u8,
    pub repeatable: bool,
    pub struck_head: bool,
    /// Model servers that it was sent to.
    pub sends: Vec<String>,
    /// Times that it ran.
    pub runs: usize,
    /// Ends: whether each was a success.
    pub ends: Vec<bool>,
    /// The head said that it never ran.
    pub refused: bool,
    /// How long it was held before each refusal, milliseconds.
    pub held_ms: Vec<u64>,
}

#[derive(Debug, Default)]
pub struct Ledger {
    pub asked: BTreeMap<u64, Asked>,
    /// When loads from the store began.
    pub loads: Vec<u64>,
    /// What is wrong by itself, as it was seen.
    pub broken: BTreeSet<String>,
}

#[derive(Debug)]
pub struct Report {
    pub broken: Vec<String>,
    pub served: f64,
    pub served_at_the_end: f64,
}

impl Ledger {
    /// Requests that are over, and what else was seen so far, do not count any more.
    pub fn begin(&mut self) {
        self.asked.retain(|_, asked| asked.ends.is_empty());
        self.loads.clear();
    }

    pub fn report(&self, now: u64) -> Report {
        let mut broken: Vec<String> = self.broken.iter().cloned().collect();
        self.asked.iter().for_each(|(id, asked)| check_request(*id, asked, &mut broken));
        self.check_ceiling(&mut broken);
        self.check_starved(&mut broken);
        broken.truncate(10);
        Report { broken, served: self.served_since(0), served_at_the_end: self.served_since(now - END_MS) }
    }

    /// Of the requests that are over, and whose head could reach model servers.
    fn served_since(&self, since: u64) -> f64 {
        let over = self.asked.values().filter(|asked| asked.arrived >= since && !asked.ends.is_empty());
        let over: Vec<bool> = over.filter(|asked| !asked.struck_head).map(|asked| asked.ends[0]).collect();
        over.iter().filter(|served| **served).count() as f64 / over.len().max(1) as f64
    }

    /// Of the refusals, the part that was told within this time.
    pub fn refused_within(&self, limit_ms: u64) -> f64 {
        let held: Vec<u64> = self.asked.values().flat_map(|asked| asked.held_ms.iter().copied()).collect();
        held.iter().filter(|held_ms| **held_ms <= limit_ms).count() as f64 / held.len().max(1) as f64
    }

    /// Of the requests of that urgency that are over, the part that was served.
    pub fn served_of(&self, urgency: u8) -> f64 {
        let over = self.asked.values().filter(|asked| asked.urgency == urgency && !asked.ends.is_empty());
        let over: Vec<bool> = over.map(|asked| asked.ends[0]).collect();
        over.iter().filter(|served| **served).count() as f64 / over.len().max(1) as f64
    }

    fn check_ceiling(&self, broken: &mut Vec<String>) {
        let most = LOADS_PER_S * CEILING_WINDOW_MS as f64 / 1_000.0 * CEILING_OVERSHOOT + CEILING_SLACK;
        for (place, begin) in self.loads.iter().enumerate() {
            let within = self.loads[place..].iter().take_while(|at| **at < begin + CEILING_WINDOW_MS).count();
            if within as f64 > most {
                broken.push(format!("{within} loads in the window from {begin}"));
            }
        }
    }

    fn check_starved(&self, broken: &mut Vec<String>) {
        let mut by_model: BTreeMap<&str, Vec<&Asked>> = BTreeMap::new();
        self.asked.values().for_each(|asked| by_model.entry(&asked.model).or_default().push(asked));
        let (mut often, mut starved) = (0, Vec::new());
        for (model, asked) in by_model {
            let over: Vec<_> = asked.iter().filter(|asked| !asked.ends.is_empty()).collect();
            let span = asked.last().map_or(0, |last| last.arrived) - asked.first().map_or(0, |a| a.arrived);
            let served = over.iter().any(|asked| asked.ends[0]);
            let is_often = over.len() >= ASKED_OFTEN && span >= ASKED_OVER_MS;
            often += usize::from(is_often);
            starved.extend((is_often && !served).then_some(model));
        }
        if starved.len() as f64 > 1.0 + STARVED_PART * often as f64 {
            broken.push(format!("{} of {often} models were never served: {starved:?}", starved.len()));
        }
    }
}

fn check_request(id: u64, asked: &Asked, broken: &mut Vec<String>) {
    if asked.ends.len() > 1 {
        broken.push(format!("request {id} ended {} times", asked.ends.len()));
    }
    if !asked.repeatable && asked.runs > 1 {
        broken.push(format!("request {id} may not run twice and ran {} times", asked.runs));
    }
    if asked.refused && asked.runs > 0 && !asked.repeatable {
        broken.push(format!("request {id} was refused and ran"));
    }
    if asked.sends.len() > MAX_ATTEMPTS {
        broken.push(format!("request {id} went to {} model servers", asked.sends.len()));
    }
    let different: BTreeSet<&String> = asked.sends.iter().collect();
    if different.len() < asked.sends.len() {
        broken.push(format!("request {id} went to one model server twice"));
    }
}
