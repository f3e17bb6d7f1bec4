//! What is known of all heads, and its digest: over who runs, and since which start. Verdicts that are under way, and lives in
//! which a head only spoke up, are no part of it: they come and go without anybody being in or out.

use super::{Change, Life, Micros, Number, Record, State, Why};

/// Digests of so many parts of a view fit into one datagram.
pub const BLOCKS: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    record: Record,
    /// When it came to be known, and why.
    at: Micros,
    why: Option<Why>,
}

#[derive(Clone, Debug)]
pub struct View {
    known: Vec<Known>,
    digest: u64,
    running: usize,
}

/// Spreads a record's bits: views that differ in one record differ in their digests.
fn mixed(member: Number, record: Record) -> u64 {
    if record.life.none() {
        return 0;
    }
    // The finalizer of splitmix64.
    let mut bits = record.life.start() << 32 | u64::from(member) << 1 | u64::from(record.state.runs());
    bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ bits >> 31
}

impl View {
    pub fn new(heads: usize) -> View {
        View { known: vec![Known::default(); heads], digest: 0, running: 0 }
    }

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

    pub fn records(&self) -> impl Iterator<Item = (Number, Record)> {
        (0..).zip(self.known.iter().map(|known| known.record))
    }

    pub fn running(&self) -> impl Iterator<Item = Number> {
        self.records().filter(|(_, record)| runs(*record)).map(|(member, _)| member)
    }

    /// How many are thought to run.
    pub fn count(&self) -> usize {
        self.running
    }

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
        self.records().filter(|(member, record)| differs(member) && !record.life.none()).collect()
    }

    /// Takes a record that is greater than the one that is known.
    pub fn learn(&mut self, now: Micros, member: Number, record: Record, why: Why) -> Option<Change> {
        let known = self.known.get_mut(usize::from(member))?;
        let before = known.record;
        if record <= before || record.life.none() {
            return None;
        }
        *known = Known { record, at: now, why: Some(why) };
        self.digest ^= mixed(member, before) ^ mixed(member, record);
        self.running = self.running + usize::from(runs(record)) - usize::from(runs(before));
        Some(Change { member, before, now: record, why })
    }
}

fn runs(record: Record) -> bool {
    !record.life.none() && record.state.runs()
}

/// What a head that was never heard of is known as.
pub const UNKNOWN: Record = Record { life: Life(0), state: State::Joining };

#[cfg(test)]
mod tests {
    use super::*;

    fn record(life: u64, state: State) -> Record {
        Record { life: Life::of(life), state }
    }

    #[test]
    fn the_same_records_in_any_order_are_the_same_view() {
        let mut draw = fastrand::Rng::with_seed(7);
        let mut rumours: Vec<(Number, Record)> =
            (0..400).map(|_| (draw.u16(..70), record(draw.u64(1..9), State::ALL[draw.usize(..5)]))).collect();
        let told = |rumours: &[(Number, Record)]| {
            let mut view = View::new(70);
            for (member, record) in rumours {
                view.learn(0, *member, *record, Why::Heard);
            }
            (view.digest(), view.blocks(), view.records().collect::<Vec<_>>(), view.count())
        };
        let first = told(&rumours);
        for _ in 0..20 {
            draw.shuffle(&mut rumours);
            assert_eq!(told(&rumours), first);
        }
        assert_eq!(first.3, first.2.iter().filter(|(_, record)| runs(*record)).count());
    }

    #[test]
    fn a_later_life_counts_more_than_any_verdict_and_a_verdict_more_than_the_same_life() {
        use State::*;
        let (mut view, rows) = (
            View::new(3),
            [
                (record(1, Joining), true),
                (record(1, Alive), true),
                (record(1, Joining), false),
                (record(1, Suspect), true),
                (record(1, Alive), false),
                (record(2, Alive), true),
                (record(1, Dead), false),
                (record(2, Dead), true),
                (record(2, Suspect), false),
                (record(2, Left), true),
                (record(3, Joining), true),
                (UNKNOWN, false),
            ],
        );
        for (record, taken) in rows {
            assert_eq!(view.learn(0, 1, record, Why::Told(2)).is_some(), taken, "{record:?}");
        }
        assert_eq!(view.learn(0, 3, record(1, Alive), Why::Heard), None, "there is no such head");
    }

    #[test]
    fn parts_that_differ_are_told_and_no_others() {
        for heads in [1, 2, 64, 65, 300, 1_024] {
            let mut view = View::new(heads);
            for member in 0..heads as Number {
                view.learn(0, member, record(u64::from(member) + 1, State::Alive), Why::Heard);
            }
            assert!(view.blocks().len() <= BLOCKS, "{heads}");
            assert_eq!(view.differing(&view.blocks()), []);
            let (mut other, last) = (view.clone(), heads as Number - 1);
            other.learn(0, last, record(u64::from(last) + 1, State::Dead), Why::Silent);
            let differing = view.differing(&other.blocks());
            assert!(differing.iter().any(|(member, _)| *member == last));
            assert!(differing.len() <= heads.div_ceil(BLOCKS), "{heads}: {differing:?}");
            // Of a fleet of another size: all.
            assert_eq!(view.differing(&[]).len(), heads);
        }
    }
}
