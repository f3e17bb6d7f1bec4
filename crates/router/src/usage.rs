//! Requests begun, by tenant and window of true time.

use pathbank_protocol::message::UsageWindow;
use std::collections::{BTreeMap, BTreeSet};

/// Windows that are told again and again; older ones are sealed long ago.
const RETAINED_WINDOWS: u64 = 6;

/// This edge's counts.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
    /// Windows that changed since they were told.
    changed: BTreeSet<u64>,
}

impl UsageCounter {
    /// `window_ms`: the length of a window.
    pub fn new(window_ms: u64) -> UsageCounter {
        UsageCounter { window_ms: window_ms.max(1), windows: BTreeMap::new(), changed: BTreeSet::new() }
    }

    /// A request of a tenant began to run at a time of day, milliseconds since the start of 1970.
    pub fn record_start(&mut self, wall_clock_ms: u64, tenant: &str) {
        let window = wall_clock_ms / self.window_ms;
        *self.windows.entry(window).or_default().entry(tenant.to_owned()).or_default() += 1;
        self.windows.retain(|kept, _| *kept + RETAINED_WINDOWS > window);
        self.changed.insert(window);
    }

    /// The windows that changed since the last call, whole.
    pub fn take_changed(&mut self) -> Vec<UsageWindow> {
        let changed = std::mem::take(&mut self.changed);
        self.windows().into_iter().filter(|window| changed.contains(&window.window)).collect()
    }

    /// All windows that are kept, for a leader that has heard of none.
    pub fn windows(&self) -> Vec<UsageWindow> {
        let counts =
            |counts: &BTreeMap<String, u64>| counts.iter().map(|(name, n)| (name.clone(), *n)).collect();
        self.windows.iter().map(|(window, by)| UsageWindow { window: *window, counts: counts(by) }).collect()
    }
}
