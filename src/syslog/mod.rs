//! RFC 5424 without I/O: messages are written and read, queued by bytes, and brought to one of several collectors.
//! Every type here is told the time; sockets, files and threads are `crate::logging`'s.

pub mod delivery;
pub mod encode;
pub mod parse;
pub mod queue;

/// RFC 5424, table 2.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    Emergency,
    Alert,
    Critical,
    Error,
    Warning,
    Notice,
    Informational,
    Debug,
}

impl Severity {
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

    pub fn code(self) -> u8 {
        self as u8
    }

    pub fn name(self) -> &'static str {
        ["emergency", "alert", "critical", "error", "warning", "notice", "informational", "debug"]
            [self as usize]
    }
}
