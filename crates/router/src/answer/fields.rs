//! The fields of one event (`text/event-stream`): which lines an event may have, and which it must have.

use super::event_stream::StreamError;

/// What the lines of an event have said so far.
#[derive(Clone, Debug, Default)]
pub(super) struct EventFields {
    id: Option<u64>,
    version: Option<u64>,
    has_data: bool,
    /// Whether a line held a field; a comment is none.
    has_fields: bool,
}

/// An event whose fields are complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Event {
    pub(super) id: u64,
    /// The version of the model's weights from this event on, if it changes here.
    pub(super) version: Option<u64>,
}

impl EventFields {
    /// Takes a line that is not empty, without its end.
    pub(super) fn add(&mut self, line: &[u8]) -> Result<(), StreamError> {
        let line = std::str::from_utf8(line).map_err(|_| StreamError::NotUtf8)?;
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            // A comment.
            "" => return Ok(()),
            "id" => self.set_id(value)?,
            "data" => self.has_data = true,
            "event" | "retry" => {}
            "versions" => self.set_version(value)?,
            _ => return Err(StreamError::UnknownField),
        }
        self.has_fields = true;
        Ok(())
    }

    fn set_id(&mut self, value: &str) -> Result<(), StreamError> {
        if self.id.is_some() {
            return Err(StreamError::RepeatedId);
        }
        self.id = Some(whole_number(value).ok_or(StreamError::InvalidId)?);
        Ok(())
    }

    /// The version stands in the event's first line.
    fn set_version(&mut self, value: &str) -> Result<(), StreamError> {
        if self.has_fields {
            return Err(StreamError::InvalidVersion);
        }
        self.version = Some(whole_number(value).ok_or(StreamError::InvalidVersion)?);
        Ok(())
    }

    /// Whether a line held a field.
    pub(super) fn has_fields(&self) -> bool {
        self.has_fields
    }

    /// The event at the empty line that ends it. `None`: there was no field, so that there is no event.
    pub(super) fn complete(&self) -> Result<Option<Event>, StreamError> {
        if !self.has_fields {
            return Ok(None);
        }
        let id = self.id.ok_or(StreamError::NoId)?;
        if !self.has_data {
            return Err(StreamError::NoData { id });
        }
        Ok(Some(Event { id, version: self.version }))
    }
}

/// Parses decimal digits, without a sign.
pub fn whole_number(text: &str) -> Option<u64> {
    let all_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| all_digits)
}
