//! The singleton role of usage reporting: the leader seals the counts of each window in the log, then reports them to
//! the platform.

use super::singleton_roles::PlatformOutcome;
use crate::settings::Bounds;
use pathbank_control::state::ControlState;
use pathbank_control::usage::{LEADER_WARMUP_MS, SealRule, UsageTable};
use pathbank_protocol::message::EdgeReport;
use std::collections::{BTreeMap, BTreeSet};

const USAGE_INTERVAL_MS: u64 = 200;
/// Left of the delay that the platform permits, for the report itself.
const SEAL_MARGIN_MS: u64 = 2_000;
/// Sealed windows that are reported anew by a new leader: earlier ones have been.
const REPORTED_WINDOWS: usize = 2;

/// Counts by tenant of one window.
#[derive(Clone, Debug)]
pub struct WindowUsage {
    /// The window.
    pub window: u64,
    /// Requests by tenant.
    pub counts: BTreeMap<String, u64>,
}

/// Usage as the edges reported it, and its reports to the platform in the present term.
#[derive(Default)]
pub struct UsageReporter {
    usage: UsageTable,
    term_since: u64,
    /// Edges that have reported to the leader of this term.
    edges: BTreeSet<String>,
    /// Windows whose report was accepted or is in progress.
    reported: BTreeSet<u64>,
    /// The window whose seal was proposed last.
    sealing: u64,
    next_at: u64,
}

impl UsageReporter {
    /// A new term begins without the reports of the last one.
    pub fn reset(&mut self, now: u64) {
        (self.term_since, self.sealing) = (now, 0);
        self.edges.clear();
        self.reported.clear();
    }

    /// Records an edge's counts.
    pub fn observe(&mut self, report: &EdgeReport, last_sealed: u64) {
        self.usage.record(&report.edge, report.incarnation, &report.usage, last_sealed);
    }

    /// An edge has reported to the leader of this term.
    pub fn record_edge(&mut self, edge: &str) {
        self.edges.insert(edge.to_owned());
    }

    /// Whether windows have to be looked at; the next time is an interval later.
    pub fn take_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + USAGE_INTERVAL_MS;
        }
        is_due
    }

    /// The next window to seal, if one is due. `edges`: those that are connected.
    pub fn next_seal<'a>(
        &mut self,
        now: u64,
        wall_clock_ms: u64,
        bounds: &Bounds,
        mut edges: impl Iterator<Item = &'a str>,
        last_sealed: u64,
    ) -> Option<WindowUsage> {
        let rule = SealRule {
            window_ms: bounds.report_window_ms,
            all_reported: now >= self.term_since + LEADER_WARMUP_MS
                && edges.all(|edge| self.edges.contains(edge)),
            max_delay_ms: bounds.usage_delay_ms.saturating_sub(SEAL_MARGIN_MS),
        };
        let (window, counts) = self.usage.next_to_seal(wall_clock_ms, rule, last_sealed.max(self.sealing))?;
        self.sealing = window;
        Some(WindowUsage { window, counts })
    }

    /// Sealed windows that have to be reported; they count as in progress from now on.
    pub fn take_unreported(&mut self, state: &ControlState) -> Vec<WindowUsage> {
        let newest = state.sealed().iter().rev().take(REPORTED_WINDOWS);
        let unreported = newest.filter(|(window, _)| !self.reported.contains(*window));
        let windows: Vec<WindowUsage> = unreported
            .map(|(window, counts)| WindowUsage { window: *window, counts: counts.clone() })
            .collect();
        self.reported.extend(windows.iter().map(|usage| usage.window));
        windows
    }

    /// The report of a window has ended; one that was not accepted is repeated.
    pub fn on_reported(&mut self, window: u64, outcome: PlatformOutcome) {
        if !outcome.is_accepted() {
            self.reported.remove(&window);
        }
    }

    /// Windows whose report was accepted or is in progress.
    pub fn reported(&self) -> &BTreeSet<u64> {
        &self.reported
    }

    /// Counts of windows that are not sealed, by window and tenant.
    pub fn counted(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        self.usage.counted()
    }
}
