//! What breaks and when, drawn from a seed; and the least of it that still fails.

use std::fmt;
use std::str::FromStr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A link between a head and a voter, both ways or one way.
    Cut,
    CutOneWay,
    /// All of a head's links, or all that lead to its voter.
    Isolate,
    /// Whoever leads hears nobody, while all hear it.
    DeafLeader,
    Slow,
    /// Killed, and started again on the same disk.
    Kill,
    /// Stands still, then goes on.
    Stop,
    /// Its disk is empty when it comes back; damaged; an older copy: another voter takes its place.
    Empty,
    Damaged,
    Old,
    /// More than half of all heads are killed at once.
    Half,
}

pub const KINDS: [(Kind, &str); 11] = [
    (Kind::Cut, "cut"),
    (Kind::CutOneWay, "one-way"),
    (Kind::Isolate, "isolate"),
    (Kind::DeafLeader, "deaf-leader"),
    (Kind::Slow, "slow"),
    (Kind::Kill, "kill"),
    (Kind::Stop, "stop"),
    (Kind::Empty, "empty"),
    (Kind::Damaged, "damaged"),
    (Kind::Old, "old"),
    (Kind::Half, "half"),
];

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(KINDS.iter().find(|(kind, _)| kind == self).map_or("", |(_, name)| name))
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        let found = KINDS.iter().find(|(_, name)| *name == text).map(|(kind, _)| *kind);
        found.ok_or_else(|| {
            let names: Vec<&str> = KINDS.iter().map(|(_, name)| *name).collect();
            format!("no fault {text}; there are {}", names.join(", "))
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    pub at_ms: u64,
    pub lasts_ms: u64,
    pub kind: Kind,
    /// The head that it happens to, and the voter at the other end of a link.
    pub head: usize,
    pub voter: usize,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { at_ms, lasts_ms, kind, head, voter } = self;
        write!(f, "{at_ms} ms: {kind} of head {head} (voter {voter}) for {lasts_ms} ms")
    }
}

/// Faults over `span_ms`. A disk is lost once at most: one voter of three can be spared at a time.
pub fn drawn(seed: u64, heads: usize, voters: usize, kinds: &[Kind], span_ms: u64) -> Vec<Fault> {
    let mut draw = fastrand::Rng::with_seed(seed ^ 0xfa17);
    let (mut faults, mut at, mut lost) = (Vec::new(), 300 + draw.u64(..300), false);
    while at < span_ms && !kinds.is_empty() {
        let kind = kinds[draw.usize(..kinds.len())];
        let of_disk = matches!(kind, Kind::Empty | Kind::Damaged | Kind::Old);
        let head = draw.usize(..if of_disk { voters } else { heads });
        let (voter, lasts_ms) = (draw.usize(..voters), 200 + draw.u64(..1_800));
        if !(of_disk && std::mem::replace(&mut lost, true)) {
            faults.push(Fault { at_ms: at, lasts_ms, kind, head, voter });
        }
        at += 200 + draw.u64(..700);
    }
    faults
}

/// Leaves out what it can while it still fails, so many tries at most.
pub fn shortest(mut faults: Vec<Fault>, mut tries: usize, fails: impl Fn(&[Fault]) -> bool) -> Vec<Fault> {
    let mut part = faults.len().div_ceil(2);
    while part > 0 && tries > 0 {
        let mut from = 0;
        while from < faults.len() && tries > 0 {
            let to = (from + part).min(faults.len());
            let less = [&faults[..from], &faults[to..]].concat();
            tries -= 1;
            if fails(&less) { faults = less } else { from = to }
        }
        part /= 2;
    }
    faults
}

#[cfg(test)]
mod tests;
