//! Requests begun, by tenant and window, from the edges' reports.

use pathbank_protocol::message::UsageWindow;
use std::collections::BTreeMap;

/// The least time from a window's end to its sealing, milliseconds of wall-clock time: the edges' last reports have
/// arrived by then.
pub const MIN_SEAL_DELAY_MS: u64 = 3_000;
/// For how long a new leader seals nothing, milliseconds: the edges connect and report everything again.
pub const LEADER_WARMUP_MS: u64 = 1_000;
/// Windows that are counted at a time; older ones are never reported.
const MAX_OPEN_WINDOWS: u64 = 16;

/// When a window may be sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealRule {
    /// The length of a window, milliseconds.
    pub window_ms: u64,
    /// Every connected edge has reported to the current leader.
    pub all_reported: bool,
    /// So long after its end a window is sealed even if edges have not reported, milliseconds.
    pub max_delay_ms: u64,
}

impl SealRule {
    /// Whether a window may be sealed at a wall-clock time.
    fn allows(&self, window: u64, wall_clock_ms: u64) -> bool {
        let end = (window + 1) * self.window_ms;
        let delay_ms =
            if self.all_reported { MIN_SEAL_DELAY_MS } else { self.max_delay_ms.max(MIN_SEAL_DELAY_MS) };
        end + delay_ms <= wall_clock_ms
    }
}

/// One incarnation of an edge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Source {
    edge: String,
    incarnation: u64,
}

/// Counts of the windows that are not sealed.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    windows: BTreeMap<u64, BTreeMap<Source, BTreeMap<String, u64>>>,
}

impl UsageTable {
    /// Merges an edge's complete counts: an older report of the same incarnation never lowers a newer one.
    pub fn record(&mut self, edge: &str, incarnation: u64, windows: &[UsageWindow], last_sealed: u64) {
        for window in windows.iter().filter(|window| window.window > last_sealed) {
            let sources = self.windows.entry(window.window).or_default();
            let counts = sources.entry(Source { edge: edge.to_owned(), incarnation }).or_default();
            for (tenant, count) in &window.counts {
                let known = counts.entry(tenant.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        let newest = self.windows.keys().next_back().copied().unwrap_or(0);
        self.windows.retain(|window, _| *window > last_sealed && window + MAX_OPEN_WINDOWS > newest);
    }

    /// The counts so far of windows that are not sealed, by tenant.
    pub fn counted(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        self.windows.iter().map(|(window, sources)| (*window, sum(sources))).collect()
    }

    /// The next window that may be sealed at a wall-clock time, with its counts. Windows without requests are skipped.
    pub fn next_to_seal(
        &self,
        wall_clock_ms: u64,
        rule: SealRule,
        last_sealed: u64,
    ) -> Option<(u64, BTreeMap<String, u64>)> {
        let (window, sources) = self.windows.iter().find(|(window, _)| **window > last_sealed)?;
        if !rule.allows(*window, wall_clock_ms) {
            return None;
        }
        Some((*window, sum(sources)))
    }
}

fn sum(sources: &BTreeMap<Source, BTreeMap<String, u64>>) -> BTreeMap<String, u64> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for (tenant, count) in sources.values().flatten() {
        *counts.entry(tenant.clone()).or_default() += count;
    }
    counts
}
