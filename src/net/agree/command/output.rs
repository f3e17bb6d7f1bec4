//! Prints results: text, or one JSON object a line.

use super::error::CommandError;
use serde::Serialize;
use std::io::{ErrorKind, Write};

pub(super) struct Output {
    pub(super) json: bool,
}

impl Output {
    /// One result in both forms, of which one is printed.
    pub(super) fn print(&self, text: &str, value: &impl Serialize) -> Result<(), CommandError> {
        let line = if self.json { serde_json::to_string(value)? } else { text.trim_end().to_string() };
        let mut stdout = std::io::stdout().lock();
        match writeln!(stdout, "{line}").and_then(|()| stdout.flush()) {
            // Whoever has read enough closes the pipe.
            Err(problem) if problem.kind() == ErrorKind::BrokenPipe => std::process::exit(0),
            done => Ok(done?),
        }
    }
}
