//! Requests begun, by tenant and window of true time.

use pathbank_protocol::message::UsageWindow;
use std::collections::BTreeMap;

/// Windows that are told again and again; older ones are sealed long ago.
const WINDOWS_KEPT: u64 = 6;

/// This head's counts.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
    changed: bool,
}

impl UsageCounter {
    /// `window_ms`: the length of a window.
    pub fn new(window_ms: u64) -> UsageCounter {
        UsageCounter { window_ms: window_ms.max(1), windows: BTreeMap::new(), changed: false }
    }

    /// A request of a tenant began to run at a time of day, milliseconds since the start of 1970.
    pub fn began(&mut self, wall_clock_ms: u64, tenant: &str) {
        let window = wall_clock_ms / self.window_ms;
        *self.windows.entry(window).or_default().entry(tenant.to_owned()).or_default() += 1;
        self.windows.retain(|kept, _| *kept + WINDOWS_KEPT > window);
        self.changed = true;
    }

    /// Whether something was counted since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The counts for a report.
    pub fn windows(&self) -> Vec<UsageWindow> {
        let counts =
            |counts: &BTreeMap<String, u64>| counts.iter().map(|(name, n)| (name.clone(), *n)).collect();
        self.windows.iter().map(|(window, by)| UsageWindow { window: *window, counts: counts(by) }).collect()
    }
}
