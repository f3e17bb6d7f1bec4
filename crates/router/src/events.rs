//! Tracks the events of a stream (`text/event-stream`), so that a broken stream can be resumed after its last
//! complete event.

/// Tracks the events of one stream. Only complete events are passed on to the client.
#[derive(Clone, Debug, Default)]
pub struct EventTracker {
    partial: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

/// The limit of buffered bytes. A longer event is passed on before it is complete.
const MAX_EVENT_BYTES: usize = 64 * 1024;

impl EventTracker {
    /// Takes bytes from the model server; returns those that may go to the client now.
    pub fn pass(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(bytes);
        let complete = match end_of_last_event(&self.partial) {
            Some(end) => end,
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.len(),
            None => return Vec::new(),
        };
        let incomplete = self.partial.split_off(complete);
        let passed = std::mem::replace(&mut self.partial, incomplete);
        self.events += ids(&passed).count() as u64;
        if let Some(id) = ids(&passed).next() {
            self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
        }
        passed
    }

    /// Returns the buffered bytes at the regular end of the stream.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Drops the buffered bytes after the stream broke: the next model server sends that event in full.
    pub fn broke(&mut self) {
        self.partial.clear();
    }

    /// The number of events with an id that were passed on.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The id of the last event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// The offset after the last complete event, which an empty line ends.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let bare = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let with_returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    bare.max(with_returns)
}

/// The versions of the model that the `versions:` lines of events name.
pub fn versions(events: &[u8]) -> impl Iterator<Item = u64> {
    let lines = events.split(|byte| *byte == b'\n').filter_map(|line| line.strip_prefix(b"versions:"));
    lines.filter_map(|number| std::str::from_utf8(number).ok()?.trim().parse().ok())
}

/// The ids of complete events, the last one first.
fn ids(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| *byte == b'\n').rev().filter_map(|line| line.strip_prefix(b"id:"))
}
