//! Writes messages as RFC 5424 has them, into a buffer that is used again and again.
//!
//! Control characters never stand in a line as they are: a receiver that frames by line ends would take half a message
//! for a whole one. They become Unicode's pictures of them (U+2400 and on), and C1 controls U+FFFD; `shown` does the
//! same to a text. All else comes out of a strict parser as it went in, but for what a bound cuts off.

use super::Severity;
use std::fmt::{self, Write};

/// Facility 3, system daemons.
const FACILITY: u8 = 3;
const BOM: &str = "\u{feff}";
/// What a line keeps free for the ends of its elements and the count of what was cut.
const RESERVE: usize = 64;
/// A sequence id's most: RFC 5424 has it begin at 1 again after that.
pub const MOST_SEQUENCE: u32 = 2_147_483_647;

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a whole line, and of one value before it is escaped.
    pub line: usize,
    pub value: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { line: 2_048, value: 255 }
    }
}

/// What stands at a line's beginning.
#[derive(Clone, Copy)]
pub struct Head<'a> {
    pub severity: Severity,
    /// RFC 3339, UTC, with six digits of a second at most.
    pub timestamp: &'a dyn fmt::Display,
    pub host: &'a str,
    pub app: &'a str,
    pub process: u32,
    pub id: &'a str,
}

/// A line in the making. Elements are begun and ended one after the other.
#[derive(Debug)]
pub struct Line<'a> {
    buffer: &'a mut String,
    limits: Limits,
    open: bool,
    any: bool,
    cut: usize,
}

impl<'a> Line<'a> {
    pub fn begin(buffer: &'a mut String, limits: Limits, head: &Head) -> Line<'a> {
        buffer.clear();
        let priority = FACILITY * 8 + head.severity.code();
        // Writing to a String cannot fail.
        let _ = write!(buffer, "<{priority}>1 {} ", head.timestamp);
        for (text, most) in [(head.host, 255), (head.app, 48)] {
            name(buffer, text, most);
            buffer.push(' ');
        }
        let _ = write!(buffer, "{} ", head.process);
        name(buffer, head.id, 32);
        buffer.push(' ');
        Line { buffer, limits, open: false, any: false, cut: 0 }
    }

    pub fn element(&mut self, id: &str) {
        self.close();
        self.buffer.push('[');
        name(self.buffer, id, 32);
        (self.open, self.any) = (true, true);
    }

    /// A value is cut at its bound, never inside a character or an escape. A parameter for which the line has no room
    /// is left out.
    pub fn parameter(&mut self, key: &str, value: &dyn fmt::Display) {
        let room = self.limits.line.saturating_sub(self.buffer.len() + RESERVE);
        let before = self.buffer.len();
        self.buffer.push(' ');
        name(self.buffer, key, 32);
        self.buffer.push_str("=\"");
        let taken = self.buffer.len() - before;
        let Some(room) = room.checked_sub(taken + 1) else {
            self.buffer.truncate(before);
            self.cut += 1;
            return;
        };
        let mut escaped = Escaped { buffer: self.buffer, room, value: self.limits.value, full: false };
        let _ = write!(escaped, "{value}"); // an error is the end of its room
        self.cut += usize::from(escaped.full);
        self.buffer.push('"');
    }

    fn close(&mut self) {
        if std::mem::take(&mut self.open) {
            if self.cut > 0 {
                let _ = write!(self.buffer, " cut=\"{}\"", self.cut);
                self.cut = 0;
            }
            self.buffer.push(']');
        }
    }

    /// The whole line; `text` may be empty, and then there is no MSG.
    pub fn end(mut self, text: &dyn fmt::Display) {
        self.close();
        if !self.any {
            self.buffer.push('-');
        }
        let before = self.buffer.len();
        self.buffer.push(' ');
        self.buffer.push_str(BOM);
        let begins = self.buffer.len();
        let room = self.limits.line.saturating_sub(begins);
        let mut shown = Shown { buffer: self.buffer, room };
        let _ = write!(shown, "{text}"); // likewise
        if self.buffer.len() == begins {
            self.buffer.truncate(before);
        }
    }
}

/// A header field or name: printable ASCII without what ends one, never empty.
fn name(buffer: &mut String, text: &str, most: usize) {
    let before = buffer.len();
    buffer.extend(text.chars().filter(|c| c.is_ascii_graphic() && !matches!(c, '=' | ']' | '"')).take(most));
    if buffer.len() == before {
        buffer.push('-');
    }
}

/// What stands for a character in a line.
fn picture(character: char) -> char {
    match character {
        '\0'..='\x1f' => char::from_u32(0x2400 + character as u32).unwrap_or(char::REPLACEMENT_CHARACTER),
        '\x7f' => '\u{2421}',
        '\u{80}'..='\u{9f}' => char::REPLACEMENT_CHARACTER,
        other => other,
    }
}

/// A text as it comes out of a line again.
pub fn shown(text: &str) -> String {
    text.chars().map(picture).collect()
}

struct Escaped<'a> {
    buffer: &'a mut String,
    room: usize,
    value: usize,
    full: bool,
}

impl Write for Escaped<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for character in text.chars() {
            let shown = picture(character);
            let escapes = matches!(shown, '"' | '\\' | ']');
            let length = shown.len_utf8() + usize::from(escapes);
            if length > self.room || shown.len_utf8() > self.value {
                self.full = true;
                return Err(fmt::Error);
            }
            if escapes {
                self.buffer.push('\\');
            }
            self.buffer.push(shown);
            self.room -= length;
            self.value -= shown.len_utf8();
        }
        Ok(())
    }
}

struct Shown<'a> {
    buffer: &'a mut String,
    room: usize,
}

impl Write for Shown<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for shown in text.chars().map(picture) {
            self.room = self.room.checked_sub(shown.len_utf8()).ok_or(fmt::Error)?;
            self.buffer.push(shown);
        }
        Ok(())
    }
}

/// Octet counting, as RFC 6587 and RFC 5425 have it: the length in bytes, a space, the message.
pub fn frame(frame: &mut Vec<u8>, line: &[u8]) {
    use std::io::Write as _;
    let _ = write!(frame, "{} ", line.len()); // a Vec takes all
    frame.extend_from_slice(line);
}

#[cfg(test)]
mod tests;
