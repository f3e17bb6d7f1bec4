//! Usage: counts of requests that began to run, by tenant and window of wall-clock time.

use pathbank_protocol::message::UsageWindow;
use std::collections::{BTreeMap, BTreeSet};

/// The number of windows that are kept. Older windows are sealed by then.
const RETAINED_WINDOWS: u64 = 6;

/// This edge's counts of requests.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
    /// Windows that changed since the last report.
    changed: BTreeSet<u64>,
}

impl UsageCounter {
    /// Creates empty counts. `window_ms`: the length of a window, milliseconds.
    pub fn new(window_ms: u64) -> UsageCounter {
        UsageCounter { window_ms: window_ms.max(1), windows: BTreeMap::new(), changed: BTreeSet::new() }
    }

    /// Records that a request of a tenant began to run. `wall_clock_ms`: milliseconds since the Unix epoch.
    pub fn record_start(&mut self, wall_clock_ms: u64, tenant: &str) {
        let window = wall_clock_ms / self.window_ms;
        *self.windows.entry(window).or_default().entry(tenant.to_owned()).or_default() += 1;
        self.windows.retain(|kept, _| *kept + RETAINED_WINDOWS > window);
        self.changed.insert(window);
    }

    /// The totals of the windows that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<UsageWindow> {
        let changed = std::mem::take(&mut self.changed);
        self.windows().into_iter().filter(|window| changed.contains(&window.window)).collect()
    }

    /// The totals of all windows that are kept, for a new leader.
    pub fn windows(&self) -> Vec<UsageWindow> {
        let counts =
            |counts: &BTreeMap<String, u64>| counts.iter().map(|(name, n)| (name.clone(), *n)).collect();
        self.windows.iter().map(|(window, by)| UsageWindow { window: *window, counts: counts(by) }).collect()
    }
}
