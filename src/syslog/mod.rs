//! RFC 5424 syslog without I/O: encoding and parsing messages, a queue bounded in bytes, and the choice of a collector.
//! Callers pass the time to every type here. `crate::logging` holds the sockets, files and threads.

pub mod delivery;
pub mod encode;
pub mod parse;
pub mod queue;

/// Severity of a message, most severe first (RFC 5424, table 2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The system is unusable.
    Emergency,
    /// Action must be taken immediately.
    Alert,
    /// Critical conditions.
    Critical,
    /// Error conditions.
    Error,
    /// Warning conditions.
    Warning,
    /// Normal but significant conditions.
    Notice,
    /// Informational messages.
    Informational,
    /// Debug messages.
    Debug,
}

impl Severity {
    /// All severities, in the order of their codes.
    pub const ALL: [Severity; 8] = [
        Severity::Emergency,
        Severity::Alert,
        Severity::Critical,
        Severity::Error,
        Severity::Warning,
        Severity::Notice,
        Severity::Informational,
        Severity::Debug,
    ];

    /// Numerical code, from 0 (emergency) to 7 (debug).
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Name in lower case.
    pub fn name(self) -> &'static str {
        ["emergency", "alert", "critical", "error", "warning", "notice", "informational", "debug"]
            [self as usize]
    }
}
