//! What is known of all heads, and its digest: over who runs, and since which start. Verdicts that are under
//! way, and lives in which a head only spoke up, are no part of it: they come and go without anybody being in
//! or out.

use super::{Change, Incarnation, Micros, Number, Record, State, Why};

/// Digests of so many parts of a view fit into one datagram.
pub const BLOCKS: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    record: Record,
    /// When it came to be known, and why.
    at: Micros,
    why: Option<Why>,
}

/// What one head knows of all of them.
#[derive(Clone, Debug)]
pub struct View {
    known: Vec<Known>,
    digest: u64,
    running: usize,
}

/// Spreads a record's bits: views that differ in one record differ in their digests.
fn mixed(member: Number, record: Record) -> u64 {
    if record.incarnation.none() {
        return 0;
    }
    // The finalizer of splitmix64.
    let mut bits = record.incarnation.start() << 32 | u64::from(member) << 1 | u64::from(record.state.runs());
    bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ bits >> 31
}

impl View {
    /// Nothing is known yet of so many heads.
    pub fn new(heads: usize) -> View {
        View { known: vec![Known::default(); heads], digest: 0, running: 0 }
    }

    /// How many heads there are, running or not.
    pub fn heads(&self) -> usize {
        self.known.len()
    }

    /// `None`: there is no such head.
    pub fn record(&self, member: Number) -> Option<Record> {
        self.known.get(usize::from(member)).map(|known| known.record)
    }

    /// When it came to be known as it is, and why. `None`: nothing was ever heard of it.
    pub fn evidence(&self, member: Number) -> Option<(Micros, Why)> {
        let known = self.known.get(usize::from(member))?;
        Some((known.at, known.why?))
    }

    /// What is known of each head.
    pub fn records(&self) -> impl Iterator<Item = (Number, Record)> {
        (0..).zip(self.known.iter().map(|known| known.record))
    }

    /// Those that are thought to run.
    pub fn running(&self) -> impl Iterator<Item = Number> {
        self.records().filter(|(_, record)| runs(*record)).map(|(member, _)| member)
    }

    /// How many are thought to run.
    pub fn count(&self) -> usize {
        self.running
    }

    /// The digest of the whole view.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Heads in each part of which a digest is told.
    fn block(&self) -> usize {
        self.known.len().div_ceil(BLOCKS).max(1)
    }

    /// Short digests of all parts, in order.
    pub fn blocks(&self) -> Vec<u32> {
        let digest = |(part, heads): (usize, &[Known])| {
            let numbers = (part * self.block()) as Number..;
            let all = numbers.zip(heads).fold(0, |all, (member, known)| all ^ mixed(member, known.record));
            (all >> 40) as u32
        };
        self.known.chunks(self.block()).enumerate().map(digest).collect()
    }

    /// Records of the parts whose digests differ from these.
    pub fn differing(&self, blocks: &[u32]) -> Vec<(Number, Record)> {
        let own = self.blocks();
        let differs = |member: &Number| {
            let part = usize::from(*member) / self.block();
            own.get(part) != blocks.get(part)
        };
        self.records().filter(|(member, record)| differs(member) && !record.incarnation.none()).collect()
    }

    /// Takes a record that is greater than the one that is known.
    pub fn learn(&mut self, now: Micros, member: Number, record: Record, why: Why) -> Option<Change> {
        let known = self.known.get_mut(usize::from(member))?;
        let before = known.record;
        if record <= before || record.incarnation.none() {
            return None;
        }
        *known = Known { record, at: now, why: Some(why) };
        self.digest ^= mixed(member, before) ^ mixed(member, record);
        self.running = self.running + usize::from(runs(record)) - usize::from(runs(before));
        Some(Change { member, before, now: record, why })
    }
}

fn runs(record: Record) -> bool {
    !record.incarnation.none() && record.state.runs()
}

/// What a head that was never heard of is known as.
pub const UNKNOWN: Record = Record { incarnation: Incarnation(0), state: State::Joining };

#[cfg(test)]
mod tests;
