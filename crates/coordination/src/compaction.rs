//! When a log is replaced by a snapshot (chapter 5 of Ongaro's thesis).

/// A log below this many bytes is kept, whatever its snapshot takes.
const MIN_LOG_BYTES: usize = 1024 * 1024;
/// A log is kept up to this many times the size of its snapshot.
const MAX_LOG_PER_SNAPSHOT: usize = 4;
/// All entries are applied again after a start, which must not hold up a recovery.
const MAX_LOG_ENTRIES: u64 = 1_000;
/// While a snapshot is in transfer, the log may grow to this many times its limits: the receiver needs the
/// entries after that snapshot, or it has to begin again.
const TRANSFER_ALLOWANCE: usize = 4;

/// The size of a log after its snapshot.
#[derive(Clone, Copy, Debug)]
pub struct LogSize {
    /// Applied entries.
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
