//! Lines that wait: a ring bounded in bytes. What does not fit is dropped by severity, the least first and of those
//! the oldest, and counted so that it can be told.
//!
//! One ring of bytes for each severity, so that a line goes without a search and no line is an allocation of its own
//! in the steady state: O(1) for push, pop and each drop. A plain list of lines would search for the least severe.

use super::Severity;
use crate::interface::Micros;
use std::collections::VecDeque;

/// What each line costs besides its bytes.
const OVERHEAD: usize = size_of::<Mark>();

#[derive(Clone, Copy, Debug)]
struct Mark {
    serial: u64,
    at: Micros,
    length: u32,
    id: &'static str,
}

#[derive(Debug, Default)]
struct Ring {
    bytes: VecDeque<u8>,
    marks: VecDeque<Mark>,
}

/// Lines of one MSGID that were dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    pub id: &'static str,
    pub count: u64,
    pub from: Micros,
    pub until: Micros,
}

#[derive(Debug)]
pub struct Queue {
    rings: [Ring; 8],
    most: usize,
    held: usize,
    lines: usize,
    serial: u64,
    dropped: Vec<Dropped>,
}

impl Queue {
    /// `most`: in bytes, with what each line costs besides.
    pub fn new(most: usize) -> Queue {
        Queue { rings: Default::default(), most, held: 0, lines: 0, serial: 0, dropped: Vec::new() }
    }

    pub fn lines(&self) -> usize {
        self.lines
    }

    pub fn bytes(&self) -> usize {
        self.held
    }

    pub fn is_empty(&self) -> bool {
        self.lines == 0
    }

    /// False: it was dropped itself, for nothing of less weight was left.
    pub fn push(&mut self, now: Micros, severity: Severity, id: &'static str, line: &[u8]) -> bool {
        let cost = line.len() + OVERHEAD;
        while self.held + cost > self.most {
            let least = Severity::ALL.into_iter().rev().find(|s| !self.rings[*s as usize].marks.is_empty());
            match least.filter(|least| *least >= severity) {
                Some(least) => {
                    if let Some(mark) = self.take(least, |_, _| {}) {
                        self.note(mark.id, mark.at);
                    }
                }
                None => {
                    self.note(id, now);
                    return false;
                }
            }
        }
        self.serial += 1;
        let ring = &mut self.rings[severity as usize];
        ring.bytes.extend(line);
        ring.marks.push_back(Mark { serial: self.serial, at: now, length: line.len() as u32, id });
        self.held += cost;
        self.lines += 1;
        true
    }

    /// The oldest line goes into the buffer. `None`: there is none.
    pub fn pop(&mut self, line: &mut Vec<u8>) -> Option<(Severity, &'static str)> {
        let oldest = Severity::ALL
            .into_iter()
            .filter_map(|s| Some((self.rings[s as usize].marks.front()?.serial, s)))
            .min()?;
        line.clear();
        let mark = self.take(oldest.1, |bytes, length| {
            // Two runs of bytes at most, each copied as a whole.
            let (first, second) = bytes.as_slices();
            line.extend_from_slice(&first[..length.min(first.len())]);
            line.extend_from_slice(&second[..length - line.len()]);
        })?;
        Some((oldest.1, mark.id))
    }

    fn take(&mut self, severity: Severity, with: impl FnOnce(&VecDeque<u8>, usize)) -> Option<Mark> {
        let ring = &mut self.rings[severity as usize];
        let mark = ring.marks.pop_front()?;
        with(&ring.bytes, mark.length as usize);
        ring.bytes.drain(..mark.length as usize);
        self.held -= mark.length as usize + OVERHEAD;
        self.lines -= 1;
        Some(mark)
    }

    fn note(&mut self, id: &'static str, at: Micros) {
        match self.dropped.iter_mut().find(|dropped| dropped.id == id) {
            Some(known) => {
                known.count += 1;
                (known.from, known.until) = (known.from.min(at), known.until.max(at));
            }
            None => self.dropped.push(Dropped { id, count: 1, from: at, until: at }),
        }
    }

    /// What was dropped since this was asked last.
    pub fn dropped(&mut self) -> Vec<Dropped> {
        std::mem::take(&mut self.dropped)
    }
}

#[cfg(test)]
mod tests;
