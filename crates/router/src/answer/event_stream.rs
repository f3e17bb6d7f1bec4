//! The pieces of a stream (`text/event-stream`), told from whatever else a model server sends.
//!
//! A **piece** is one complete event: lines of UTF-8, each of them a comment or one of the fields `id`, `data`,
//! `event`, `retry` and, in the first line, `versions`; exactly one `id`, a whole number above that of the piece
//! before; at least one line of `data`; and the empty line at its end. Lines end in LF, CRLF or CR. What holds
//! comments and empty lines only is no piece, and is left out.
//!
//! A stream is **complete** when its body ends after the last byte of a piece (and not within an event).
//!
//! Only pieces reach a client, and only pieces are counted or believed.

use super::fields::{Event, EventFields};
use bytes::{Bytes, BytesMut};
use std::ops::Range;
use thiserror::Error;

/// The longest event, bytes. An event is buffered until it is complete.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why bytes of a model server are no piece of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// A line is not UTF-8.
    #[error("a line of an event is not UTF-8")]
    NotUtf8,
    /// A line holds no field that an event may have.
    #[error("a line is no field of an event")]
    UnknownField,
    /// An event has two ids.
    #[error("an event has a second id")]
    RepeatedId,
    /// An event has no id.
    #[error("an event has no id")]
    NoId,
    /// An event's id is not a whole number.
    #[error("an event's id is no whole number")]
    InvalidId,
    /// The ids do not rise.
    #[error("event {id} follows event {last}")]
    IdNotRising {
        /// The id of the event before.
        last: u64,
        /// The id of this event.
        id: u64,
    },
    /// An event has no line of data.
    #[error("event {id} has no data")]
    NoData {
        /// The event's id.
        id: u64,
    },
    /// A version is not a whole number, or not in the first line of its event.
    #[error("an event's version is no whole number in its first line")]
    InvalidVersion,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The body ended within an event.
    #[error("the stream ends within an event")]
    EndsWithinEvent,
}

impl StreamError {
    /// The error's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StreamError::NotUtf8 => "not_utf8",
            StreamError::UnknownField => "unknown_field",
            StreamError::RepeatedId => "repeated_id",
            StreamError::NoId => "no_id",
            StreamError::InvalidId => "invalid_id",
            StreamError::IdNotRising { .. } => "id_not_rising",
            StreamError::NoData { .. } => "no_data",
            StreamError::InvalidVersion => "invalid_version",
            StreamError::TooLong => "too_long",
            StreamError::EndsWithinEvent => "ends_within_event",
        }
    }
}

/// The pieces that became complete with some bytes of a model server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pieces {
    /// The pieces, byte for byte as the model server sent them.
    pub bytes: Bytes,
    /// The versions that the pieces name.
    pub versions: Vec<u64>,
    /// What follows the pieces is none; nothing of it is passed on.
    pub error: Option<StreamError>,
}

/// Reads the pieces of one client's stream, which several model servers may send one after the other.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    /// The event that is not complete yet.
    partial: BytesMut,
    parser: Parser,
}

impl EventReader {
    /// A reader of a stream that goes on after the event with this id.
    pub fn after(last_id: Option<u64>) -> EventReader {
        EventReader { parser: Parser { last_id, ..Parser::default() }, ..EventReader::default() }
    }

    /// Takes the model server's next bytes. After an error, further bytes are ignored until
    /// [`EventReader::restart`].
    pub fn read(&mut self, bytes: &Bytes) -> Pieces {
        if self.parser.failed {
            return Pieces::default();
        }
        if self.partial.is_empty() {
            let parsed = self.parser.parse(bytes);
            self.partial.extend_from_slice(&bytes[parsed.complete..]);
            let complete = bytes.slice(..parsed.complete);
            return parsed.into_pieces(complete);
        }
        self.partial.extend_from_slice(bytes);
        let parsed = self.parser.parse(&self.partial);
        let complete = self.partial.split_to(parsed.complete).freeze();
        parsed.into_pieces(complete)
    }

    /// The body has ended.
    ///
    /// # Errors
    ///
    /// It ended within an event, so that the stream is not complete.
    pub fn finish(&self) -> Result<(), StreamError> {
        if self.parser.line_start < self.partial.len() || self.parser.event.has_fields() {
            return Err(StreamError::EndsWithinEvent);
        }
        Ok(())
    }

    /// Another model server goes on with the stream: forgets the event that the last one did not complete.
    pub fn restart(&mut self) {
        let Parser { last_id, events, .. } = self.parser;
        self.partial.clear();
        self.parser = Parser { last_id, events, ..Parser::default() };
    }

    /// What is held of an event that is not complete, bytes.
    pub fn held_bytes(&self) -> usize {
        self.partial.len()
    }

    /// The number of pieces so far.
    pub fn events(&self) -> u64 {
        self.parser.events
    }

    /// The id of the last piece, or the one after which the stream began.
    pub fn last_id(&self) -> Option<u64> {
        self.parser.last_id
    }
}

/// Where a parser is in its buffer, and what it knows of the event there.
#[derive(Clone, Debug, Default)]
struct Parser {
    line_start: usize,
    /// No line ends between the start of the line and this offset.
    scanned: usize,
    /// The last line ended in a CR; an LF that follows belongs to it.
    after_return: bool,
    /// What the last empty line ended was no piece.
    after_left_out: bool,
    event: EventFields,
    last_id: Option<u64>,
    events: u64,
    failed: bool,
}

/// What a parser found in its buffer.
#[derive(Debug, Default)]
struct Parsed {
    /// The end of the last complete event or comment.
    complete: usize,
    /// What lies before `complete` and is no piece.
    left_out: Vec<Range<usize>>,
    versions: Vec<u64>,
    error: Option<StreamError>,
}

impl Parser {
    /// Parses all complete lines. `buffer` begins with the event in progress; afterwards the caller takes away
    /// the bytes before `complete`.
    fn parse(&mut self, buffer: &[u8]) -> Parsed {
        let mut parsed = Parsed::default();
        if let Err(error) = self.parse_lines(buffer, &mut parsed) {
            self.failed = true;
            parsed.error = Some(error);
        }
        self.line_start -= parsed.complete.min(self.line_start);
        self.scanned -= parsed.complete.min(self.scanned);
        parsed
    }

    fn parse_lines(&mut self, buffer: &[u8], parsed: &mut Parsed) -> Result<(), StreamError> {
        self.finish_line_end(buffer, parsed);
        while let Some(line) = self.next_line(buffer) {
            if !line.is_empty() {
                self.event.add(&buffer[line])?;
                continue;
            }
            if self.line_start - parsed.complete > MAX_EVENT_BYTES {
                return Err(StreamError::TooLong);
            }
            let event = std::mem::take(&mut self.event).complete()?;
            self.after_left_out = event.is_none();
            if let Some(event) = event {
                self.accept(event, parsed)?;
            }
            self.complete_lines(parsed);
        }
        if buffer.len() - parsed.complete > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok(())
    }

    fn accept(&mut self, event: Event, parsed: &mut Parsed) -> Result<(), StreamError> {
        let Event { id, version } = event;
        if let Some(last) = self.last_id.filter(|last| *last >= id) {
            return Err(StreamError::IdNotRising { last, id });
        }
        self.last_id = Some(id);
        self.events += 1;
        parsed.versions.extend(version);
        Ok(())
    }

    /// The lines before `line_start` are a piece, or to be left out.
    fn complete_lines(&self, parsed: &mut Parsed) {
        if self.after_left_out {
            parsed.left_out.push(parsed.complete..self.line_start);
        }
        parsed.complete = self.line_start;
    }

    /// Takes the LF of a CRLF whose CR came with earlier bytes.
    fn finish_line_end(&mut self, buffer: &[u8], parsed: &mut Parsed) {
        let Some(byte) = buffer.get(self.line_start) else { return };
        if !std::mem::take(&mut self.after_return) || *byte != b'\n' {
            return;
        }
        let between_events = self.line_start == 0;
        self.line_start += 1;
        self.scanned = self.line_start;
        if between_events {
            self.complete_lines(parsed);
        }
    }

    /// The next complete line, without its end.
    fn next_line(&mut self, buffer: &[u8]) -> Option<Range<usize>> {
        let rest = &buffer[self.scanned..];
        let Some(length) = memchr::memchr2(b'\n', b'\r', rest) else {
            self.scanned = buffer.len();
            return None;
        };
        let end = self.scanned + length;
        let line = self.line_start..end;
        let ends_in_both = buffer[end..].starts_with(b"\r\n");
        self.after_return = buffer[end..] == *b"\r";
        self.line_start = end + if ends_in_both { 2 } else { 1 };
        self.scanned = self.line_start;
        Some(line)
    }
}

impl Parsed {
    /// `complete`: the bytes before the offset of that name.
    fn into_pieces(self, complete: Bytes) -> Pieces {
        let Parsed { left_out, versions, error, .. } = self;
        if left_out.is_empty() {
            return Pieces { bytes: complete, versions, error };
        }
        let mut kept = BytesMut::with_capacity(complete.len());
        let mut from = 0;
        for range in left_out {
            kept.extend_from_slice(&complete[from..range.start]);
            from = range.end;
        }
        kept.extend_from_slice(&complete[from..]);
        Pieces { bytes: kept.freeze(), versions, error }
    }
}
