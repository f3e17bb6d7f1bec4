//! Decides when a snapshot replaces a log (chapter 5 of Ongaro's thesis).

/// A log shorter than this, in bytes, is kept even if its snapshot is small.
const MIN_LOG_BYTES: usize = 1024 * 1024;
/// A log is kept up to this many times the size of its snapshot.
const MAX_LOG_PER_SNAPSHOT: usize = 4;
/// A log reaching this many applied entries is compacted: a restart applies them all again, which delays
/// recovery.
const MAX_LOG_ENTRIES: u64 = 1_000;
/// While a snapshot is in transfer, the log may grow to this many times its limits: without the entries after
/// that snapshot the receiver would have to start over with a newer one.
const TRANSFER_ALLOWANCE: usize = 4;

/// The size of a log after its snapshot.
#[derive(Clone, Copy, Debug)]
pub struct LogSize {
    /// The number of applied entries.
    pub entries: u64,
    /// The bytes of these entries.
    pub bytes: usize,
    /// The bytes of the snapshot.
    pub snapshot_bytes: usize,
    /// Whether that snapshot is being sent to a store.
    pub snapshot_in_transfer: bool,
}

impl LogSize {
    /// Whether the log should be replaced by a new snapshot.
    ///
    /// ```
    /// use pathbank_coordination::compaction::LogSize;
    ///
    /// let (entries, bytes, snapshot_bytes) = (1_000, 400_000, 30_000);
    /// let log = LogSize { entries, bytes, snapshot_bytes, snapshot_in_transfer: false };
    /// assert!(log.needs_compaction());
    /// assert!(!LogSize { snapshot_in_transfer: true, ..log }.needs_compaction());
    /// ```
    pub fn needs_compaction(&self) -> bool {
        let allowance = if self.snapshot_in_transfer { TRANSFER_ALLOWANCE } else { 1 };
        let max_bytes = MIN_LOG_BYTES.max(MAX_LOG_PER_SNAPSHOT * self.snapshot_bytes);
        self.bytes >= allowance * max_bytes || self.entries >= allowance as u64 * MAX_LOG_ENTRIES
    }
}
