//! Prints results as text, or as one JSON object per line.

use super::error::CommandError;
use serde::Serialize;
use std::io::{ErrorKind, Write};

pub(super) struct Output {
    pub(super) json: bool,
}

impl Output {
    /// Prints a result: `value` as JSON if JSON was requested, otherwise `text`.
    pub(super) fn print(&self, text: &str, value: &impl Serialize) -> Result<(), CommandError> {
        let line = if self.json { serde_json::to_string(value)? } else { text.trim_end().to_string() };
        let mut stdout = std::io::stdout().lock();
        match writeln!(stdout, "{line}").and_then(|()| stdout.flush()) {
            // The reader closed the pipe, for instance `head`.
            Err(problem) if problem.kind() == ErrorKind::BrokenPipe => std::process::exit(0),
            done => Ok(done?),
        }
    }
}
