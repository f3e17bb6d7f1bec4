//! When a replica's log is replaced by the state that it leads to.

/// The log is kept up to this, bytes, and up to so many snapshots.
const LEAST_BYTES: usize = 1024 * 1024;
const SNAPSHOTS: usize = 4;
/// Entries that are kept at most: all of them are applied again after a start, which must not hold up a
/// recovery, and at a small processor takes 0.4 ms for each.
const MOST_ENTRIES: u64 = 1_000;
/// While a store is being sent a snapshot it needs what lies behind it, or it has to begin again: the log may
/// grow to so many times that.
const AWAITED_TIMES: usize = 4;

/// A log behind its snapshot.
#[derive(Clone, Copy, Debug)]
pub struct LogSize {
    /// Entries that were applied.
    pub entries: u64,
    /// Their bytes.
    pub bytes: usize,
    /// Bytes of the snapshot.
    pub snapshot_bytes: usize,
    /// A store is being sent that snapshot.
    pub snapshot_in_transfer: bool,
}

impl LogSize {
    /// Whether the log should be replaced by a new snapshot.
    ///
    /// ```
    /// use pathbank_coordination::compaction::LogSize;
    ///
    /// let log = LogSize { entries: 1_000, bytes: 400_000, snapshot_bytes: 30_000, snapshot_in_transfer: false };
    /// assert!(log.needs_compaction());
    /// assert!(!LogSize { snapshot_in_transfer: true, ..log }.needs_compaction());
    /// ```
    pub fn needs_compaction(&self) -> bool {
        let times = if self.snapshot_in_transfer { AWAITED_TIMES } else { 1 };
        let most_bytes = LEAST_BYTES.max(SNAPSHOTS * self.snapshot_bytes);
        self.bytes >= times * most_bytes || self.entries >= times as u64 * MOST_ENTRIES
    }
}
