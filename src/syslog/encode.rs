//! Encodes messages in RFC 5424 format into a reused buffer.
//!
//! Control characters are replaced, because a receiver that splits messages at line ends would take half a message for
//! a whole one. C0 controls and DEL become Unicode control pictures (from U+2400), and C1 controls become U+FFFD;
//! `shown` applies the same replacement to a text. A strict parser returns all other characters unchanged, except those
//! that a length limit cuts off.

use super::Severity;
use std::fmt::{self, Write};

/// Facility code of system daemons.
const FACILITY_DAEMON: u8 = 3;
/// Byte order mark, which marks the MSG part as UTF-8.
const BOM: &str = "\u{feff}";
/// Bytes that a line keeps free for closing brackets and the count of cut values.
const RESERVED_BYTES: usize = 64;
/// Largest sequence id. RFC 5424 requires that the next one is 1.
pub const MOST_SEQUENCE: u32 = 2_147_483_647;

/// Length limits of an encoded line.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes of a whole line.
    pub line: usize,
    /// Most bytes of one value, before it is escaped.
    pub value: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { line: 2_048, value: 255 }
    }
}

/// The header of a line.
#[derive(Clone, Copy)]
pub struct Head<'a> {
    /// Severity, from which the priority is computed.
    pub severity: Severity,
    /// Time in RFC 3339 format, in UTC, with at most six fractional digits.
    pub timestamp: &'a dyn fmt::Display,
    /// HOSTNAME, cut at 255 characters.
    pub host: &'a str,
    /// APP-NAME, cut at 48 characters.
    pub app: &'a str,
    /// PROCID.
    pub process: u32,
    /// MSGID, cut at 32 characters.
    pub id: &'a str,
}

/// A line being encoded. Beginning an element ends the previous one.
#[derive(Debug)]
pub struct Line<'a> {
    buffer: &'a mut String,
    limits: Limits,
    /// An element has begun and is not closed.
    open: bool,
    /// The line has at least one element.
    has_elements: bool,
    /// Parameters of the open element that were cut or left out.
    cut: usize,
}

impl<'a> Line<'a> {
    /// Clears the buffer and encodes the header.
    pub fn begin(buffer: &'a mut String, limits: Limits, head: &Head) -> Line<'a> {
        buffer.clear();
        let priority = FACILITY_DAEMON * 8 + head.severity.code();
        // Writing to a String cannot fail.
        let _ = write!(buffer, "<{priority}>1 {} ", head.timestamp);
        for (text, most) in [(head.host, 255), (head.app, 48)] {
            push_name(buffer, text, most);
            buffer.push(' ');
        }
        let _ = write!(buffer, "{} ", head.process);
        push_name(buffer, head.id, 32);
        buffer.push(' ');
        Line { buffer, limits, open: false, has_elements: false, cut: 0 }
    }

    /// Begins a structured data element.
    pub fn element(&mut self, id: &str) {
        self.close();
        self.buffer.push('[');
        push_name(self.buffer, id, 32);
        (self.open, self.has_elements) = (true, true);
    }

    /// Adds a parameter to the open element. A value that exceeds a limit is cut, never inside a character or an
    /// escape. A parameter that does not fit into the line is left out.
    pub fn parameter(&mut self, key: &str, value: &dyn fmt::Display) {
        let room = self.limits.line.saturating_sub(self.buffer.len() + RESERVED_BYTES);
        let before = self.buffer.len();
        self.buffer.push(' ');
        push_name(self.buffer, key, 32);
        self.buffer.push_str("=\"");
        let taken = self.buffer.len() - before;
        let Some(room) = room.checked_sub(taken + 1) else {
            self.buffer.truncate(before);
            self.cut += 1;
            return;
        };
        let mut escaped = ValueWriter { buffer: self.buffer, room, value: self.limits.value, full: false };
        let _ = write!(escaped, "{value}"); // an error means that the value was cut
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

    /// Completes the line. If `text` is empty, the line has no MSG part.
    pub fn end(mut self, text: &dyn fmt::Display) {
        self.close();
        if !self.has_elements {
            self.buffer.push('-');
        }
        let before = self.buffer.len();
        self.buffer.push(' ');
        self.buffer.push_str(BOM);
        let begins = self.buffer.len();
        let room = self.limits.line.saturating_sub(begins);
        let mut shown = TextWriter { buffer: self.buffer, room };
        let _ = write!(shown, "{text}"); // an error means that the text was cut
        if self.buffer.len() == begins {
            self.buffer.truncate(before);
        }
    }
}

/// Appends a header field or name: the printable ASCII characters of `text` without `=`, `]` and `"`, at most `most` of
/// them, or `-` if there are none.
fn push_name(buffer: &mut String, text: &str, most: usize) {
    let before = buffer.len();
    buffer.extend(text.chars().filter(|c| c.is_ascii_graphic() && !matches!(c, '=' | ']' | '"')).take(most));
    if buffer.len() == before {
        buffer.push('-');
    }
}

/// Returns the character that is written for `character`: a replacement for a control, otherwise itself.
fn replacement(character: char) -> char {
    match character {
        '\0'..='\x1f' => char::from_u32(0x2400 + character as u32).unwrap_or(char::REPLACEMENT_CHARACTER),
        '\x7f' => '\u{2421}',
        '\u{80}'..='\u{9f}' => char::REPLACEMENT_CHARACTER,
        other => other,
    }
}

/// Returns `text` as a parser reads it from a line: with control characters replaced.
pub fn shown(text: &str) -> String {
    text.chars().map(replacement).collect()
}

/// Writes a parameter value with escapes, until the line or the value reaches its limit.
struct ValueWriter<'a> {
    buffer: &'a mut String,
    room: usize,
    value: usize,
    full: bool,
}

impl Write for ValueWriter<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for character in text.chars() {
            let shown = replacement(character);
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

/// Writes the MSG part, until the line reaches its limit.
struct TextWriter<'a> {
    buffer: &'a mut String,
    room: usize,
}

impl Write for TextWriter<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for shown in text.chars().map(replacement) {
            self.room = self.room.checked_sub(shown.len_utf8()).ok_or(fmt::Error)?;
            self.buffer.push(shown);
        }
        Ok(())
    }
}

/// Appends a line with octet counting (RFC 6587 and RFC 5425): the length in bytes, a space and the line.
pub fn frame(frame: &mut Vec<u8>, line: &[u8]) {
    use std::io::Write as _;
    let _ = write!(frame, "{} ", line.len()); // writing to a Vec cannot fail
    frame.extend_from_slice(line);
}

#[cfg(test)]
mod tests;
