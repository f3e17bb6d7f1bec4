//! A queue of lines, bounded in bytes. When it is full, it drops the least severe lines, oldest first, and counts them.
//!
//! Each severity has its own ring of bytes. Push, pop and each drop are O(1), and no line needs an allocation of its
//! own in the steady state. A single list of lines would have to be searched for the least severe one.

use super::Severity;
use crate::interface::Micros;
use std::collections::VecDeque;

/// Bytes that each line takes in addition to its own.
const LINE_OVERHEAD_BYTES: usize = size_of::<LineMark>();

/// Position, time, length and message id of a queued line.
#[derive(Clone, Copy, Debug)]
struct LineMark {
    serial: u64,
    at: Micros,
    length: u32,
    id: &'static str,
}

/// Lines of one severity, oldest first.
#[derive(Debug, Default)]
struct Ring {
    bytes: VecDeque<u8>,
    marks: VecDeque<LineMark>,
}

/// Count of dropped lines with one MSGID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// MSGID of the lines. The spool gives the MSGID of the arriving line for lines dropped from memory, and
    /// `any` for lines removed from disk.
    pub id: &'static str,
    /// Number of lines.
    pub count: u64,
    /// Earliest time of a dropped line.
    pub from: Micros,
    /// Latest time of a dropped line; for lines removed from the spool's disk, the time of their removal.
    pub until: Micros,
}

/// A queue of lines, bounded in bytes.
#[derive(Debug)]
pub struct Queue {
    rings: [Ring; 8],
    max_bytes: usize,
    held_bytes: usize,
    lines: usize,
    serial: u64,
    dropped: Vec<Dropped>,
}

impl Queue {
    /// Creates an empty queue that holds at most `max_bytes` bytes, including the overhead of each line.
    pub fn new(max_bytes: usize) -> Queue {
        Queue {
            rings: Default::default(),
            max_bytes,
            held_bytes: 0,
            lines: 0,
            serial: 0,
            dropped: Vec::new(),
        }
    }

    /// Number of queued lines.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Bytes of the queued lines, including the overhead of each line.
    pub fn bytes(&self) -> usize {
        self.held_bytes
    }

    /// Whether no line is queued.
    pub fn is_empty(&self) -> bool {
        self.lines == 0
    }

    /// Queues a line and drops others of the same or lower severity if there is no room. Returns false if the line
    /// itself was dropped because all queued lines are more severe or the line exceeds the limit.
    pub fn push(&mut self, now: Micros, severity: Severity, id: &'static str, line: &[u8]) -> bool {
        let cost = line.len() + LINE_OVERHEAD_BYTES;
        while self.held_bytes + cost > self.max_bytes {
            let least = Severity::ALL.into_iter().rev().find(|s| !self.rings[*s as usize].marks.is_empty());
            match least.filter(|least| *least >= severity) {
                Some(least) => {
                    if let Some(mark) = self.take(least, |_, _| {}) {
                        self.count_dropped(mark.id, mark.at);
                    }
                }
                None => {
                    self.count_dropped(id, now);
                    return false;
                }
            }
        }
        self.serial += 1;
        let ring = &mut self.rings[severity as usize];
        ring.bytes.extend(line);
        ring.marks.push_back(LineMark { serial: self.serial, at: now, length: line.len() as u32, id });
        self.held_bytes += cost;
        self.lines += 1;
        true
    }

    /// Moves the oldest line into `line`. Returns its severity and MSGID, or `None` if the queue is empty.
    pub fn pop(&mut self, line: &mut Vec<u8>) -> Option<(Severity, &'static str)> {
        let oldest = Severity::ALL
            .into_iter()
            .filter_map(|s| Some((self.rings[s as usize].marks.front()?.serial, s)))
            .min()?;
        line.clear();
        let mark = self.take(oldest.1, |bytes, length| {
            // The ring holds its bytes in at most two slices.
            let (first, second) = bytes.as_slices();
            line.extend_from_slice(&first[..length.min(first.len())]);
            line.extend_from_slice(&second[..length - line.len()]);
        })?;
        Some((oldest.1, mark.id))
    }

    /// Removes the oldest line of a severity after passing its bytes and length to `with`.
    fn take(&mut self, severity: Severity, with: impl FnOnce(&VecDeque<u8>, usize)) -> Option<LineMark> {
        let ring = &mut self.rings[severity as usize];
        let mark = ring.marks.pop_front()?;
        with(&ring.bytes, mark.length as usize);
        ring.bytes.drain(..mark.length as usize);
        self.held_bytes -= mark.length as usize + LINE_OVERHEAD_BYTES;
        self.lines -= 1;
        Some(mark)
    }

    /// Counts a dropped line.
    fn count_dropped(&mut self, id: &'static str, at: Micros) {
        match self.dropped.iter_mut().find(|dropped| dropped.id == id) {
            Some(known) => {
                known.count += 1;
                (known.from, known.until) = (known.from.min(at), known.until.max(at));
            }
            None => self.dropped.push(Dropped { id, count: 1, from: at, until: at }),
        }
    }

    /// Takes the counts of the lines dropped since the last call.
    pub fn dropped(&mut self) -> Vec<Dropped> {
        std::mem::take(&mut self.dropped)
    }
}

#[cfg(test)]
mod tests;
