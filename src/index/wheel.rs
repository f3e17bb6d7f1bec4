//! A hierarchical timing wheel: values by the time at which they are due, in the exact order of time and then of
//! insertion, and each can be taken out before.
//!
//! Six levels of 64 slots; a slot of the lowest level is 1,024 us wide, one of each next level 64 times as wide. An
//! entry lies at the level at which its time first differs from the wheel's, and moves down as the wheel comes nearer:
//! insertion and removal O(1), each entry moves five times at most, whatever the number of entries. A heap pays O(log n) for each, and
//! cannot give up what lies inside it.

use crate::interface::Micros;

const LEVELS: usize = 6;
const SLOTS: usize = 64;
/// A slot of the lowest level holds 2 to this power microseconds.
const GRAIN: u32 = 10;
const BITS: u32 = 6;

/// Names an entry, for as long as it is in the wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    at: Micros,
    serial: u64,
    /// Level and slot, and the place in it.
    slot: (u8, u8),
    place: u32,
    value: T,
}

#[derive(Debug)]
struct Cell<T> {
    generation: u32,
    entry: Option<Entry<T>>,
}

/// A hierarchical timing wheel.
#[derive(Debug)]
pub struct Wheel<T> {
    cells: Vec<Cell<T>>,
    free: Vec<u32>,
    slots: Vec<Vec<u32>>,
    /// For each level, the slots that hold any.
    filled: [u64; LEVELS],
    /// The wheel's own time, in grains: nothing in it lies before, but for what was put in late.
    tick: u64,
    serial: u64,
    /// The earliest time in the lowest level, where it is known.
    next: Option<Micros>,
    len: usize,
}

impl<T> Wheel<T> {
    /// Nothing that is put in should be due before `start`; what is, is due at once.
    pub fn new(start: Micros) -> Wheel<T> {
        Wheel {
            cells: Vec::new(),
            free: Vec::new(),
            slots: (0..LEVELS * SLOTS).map(|_| Vec::new()).collect(),
            filled: [0; LEVELS],
            tick: start >> GRAIN,
            serial: 0,
            next: None,
            len: 0,
        }
    }

    /// The number of timers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no timer.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a timer that expires at `at`.
    pub fn insert(&mut self, at: Micros, value: T) -> Key {
        self.serial += 1;
        let index = self.free.pop().unwrap_or_else(|| {
            self.cells.push(Cell { generation: 0, entry: None });
            (self.cells.len() - 1) as u32
        });
        let entry = Entry { at, serial: self.serial, slot: (0, 0), place: 0, value };
        let cell = &mut self.cells[index as usize];
        cell.entry = Some(entry);
        let key = Key { index, generation: cell.generation };
        self.place(index);
        if self.next.is_some_and(|next| at < next) {
            self.next = Some(at);
        }
        self.len += 1;
        key
    }

    /// `None`: it has been taken out before.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let cell = self.cells.get(key.index as usize)?;
        if cell.generation != key.generation || cell.entry.is_none() {
            return None;
        }
        self.take(key.index).map(|entry| entry.value)
    }

    /// No entry is due before this: the earliest one's time where that is near, else the beginning of its slot. To
    /// look through a far slot for its earliest would cost as much as it holds.
    pub fn next_due(&mut self) -> Option<Micros> {
        let (level, slot) = self.first()?;
        if level > 0 {
            return Some(self.begins(level, slot) << GRAIN);
        }
        if self.next.is_none() {
            let times = self.slots[slot].iter();
            self.next = times.filter_map(|index| self.at(*index)).map(|(at, _)| at).min();
        }
        self.next
    }

    /// A slot's first tick.
    fn begins(&self, level: usize, slot: usize) -> u64 {
        let width = BITS * level as u32;
        (self.tick >> (width + BITS) << (width + BITS)) | (slot as u64) << width
    }

    /// The earliest entry, if it is due by now.
    pub fn pop(&mut self, now: Micros) -> Option<(Micros, T)> {
        loop {
            if self.next_due()? > now {
                return None;
            }
            let (level, slot) = self.first()?;
            if level == 0 {
                let indexes = self.slots[slot].iter();
                let earliest = indexes.filter_map(|index| Some((self.at(*index)?, *index))).min();
                let (_, index) = earliest?;
                return self.take(index).map(|entry| (entry.at, entry.value));
            }
            // The wheel comes to the slot's beginning, and what lies in it moves down.
            self.tick = self.tick.max(self.begins(level, slot));
            self.next = None;
            let moved = std::mem::take(&mut self.slots[level * SLOTS + slot]);
            self.filled[level] &= !(1 << slot);
            moved.iter().for_each(|index| self.place(*index));
        }
    }

    fn at(&self, index: u32) -> Option<(Micros, u64)> {
        self.cells[index as usize].entry.as_ref().map(|entry| (entry.at, entry.serial))
    }

    /// The first slot in time that holds any: of the lowest level that has one, for all of a level lie before the next
    /// level's.
    fn first(&self) -> Option<(usize, usize)> {
        let level = self.filled.iter().position(|filled| *filled != 0)?;
        Some((level, self.filled[level].trailing_zeros() as usize))
    }

    fn place(&mut self, index: u32) {
        let Some(entry) = &mut self.cells[index as usize].entry else { return };
        // What is late is due in the wheel's own slot; what is further than the wheel reaches waits in its last one.
        let reach = (1u64 << (BITS * LEVELS as u32)) - 1;
        let tick = (entry.at >> GRAIN).clamp(self.tick, self.tick | reach);
        let differs = u64::BITS - (tick ^ self.tick).leading_zeros();
        let level = (differs.saturating_sub(1) / BITS) as usize;
        let slot = (tick >> (BITS * level as u32)) as usize % SLOTS;
        let place = &mut self.slots[level * SLOTS + slot];
        (entry.slot, entry.place) = ((level as u8, slot as u8), place.len() as u32);
        place.push(index);
        self.filled[level] |= 1 << slot;
    }

    fn take(&mut self, index: u32) -> Option<Entry<T>> {
        let cell = &mut self.cells[index as usize];
        let entry = cell.entry.take()?;
        cell.generation = cell.generation.wrapping_add(1);
        let (level, slot) = (entry.slot.0 as usize, entry.slot.1 as usize);
        let place = &mut self.slots[level * SLOTS + slot];
        place.swap_remove(entry.place as usize);
        if let Some(moved) = place.get(entry.place as usize).copied()
            && let Some(moved) = &mut self.cells[moved as usize].entry
        {
            moved.place = entry.place;
        }
        if self.slots[level * SLOTS + slot].is_empty() {
            self.filled[level] &= !(1 << slot);
        }
        self.free.push(index);
        self.len -= 1;
        if self.next == Some(entry.at) {
            self.next = None;
        }
        Some(entry)
    }
}

#[cfg(test)]
mod tests;
