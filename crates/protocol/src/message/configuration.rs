//! The configuration as cores publish it, and which one is in force at an edge.

/// The configuration of one log entry, complete or as a difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationUpdate {
    /// The log entry that brought it; increases with every change.
    pub index: u64,
    /// 0: `document` is complete. Otherwise it is a difference to the configuration of this log entry.
    pub base_index: u64,
    /// The configuration, or the difference, as JSON.
    pub document: Vec<u8>,
}

/// The configuration that is in force at an edge; all fields 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationInForce {
    /// The log entry that brought it.
    pub index: u64,
    /// Its version.
    pub version: u64,
    /// Time since it came into force, milliseconds.
    pub for_ms: u64,
}
