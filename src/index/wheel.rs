//! A hierarchical timing wheel: values expire in exact order of their due times, then of insertion, and can
//! be removed earlier.
//!
//! Six levels of 64 slots; a slot of the lowest level is 1,024 us wide, one of each next level 64 times as
//! wide. An entry is at the highest level at which its time differs from the wheel's, and moves down as the
//! wheel advances. Insertion and removal take O(1), and each entry moves at most five times, whatever the
//! number of entries. A heap takes O(log n) for each, and can't remove an entry from its middle.

use crate::interface::Micros;

/// The number of levels.
const LEVELS: usize = 6;
/// Slots of one level, 2 to the power of `SLOT_BITS`.
const SLOTS: usize = 64;
/// A tick, the width of a slot of the lowest level, is 2 to this power microseconds.
const TICK_BITS: u32 = 10;
/// The binary logarithm of `SLOTS`.
const SLOT_BITS: u32 = 6;

/// Identifies an entry while it is in the wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    at: Micros,
    serial: u64,
    /// Level and slot.
    slot: (u8, u8),
    /// Index within the slot.
    position: u32,
    value: T,
}

/// A place for an entry, reused after the entry's removal under the next generation.
#[derive(Debug)]
struct Cell<T> {
    generation: u32,
    entry: Option<Entry<T>>,
}

/// A hierarchical timing wheel.
#[derive(Debug)]
pub struct TimerWheel<T> {
    cells: Vec<Cell<T>>,
    free: Vec<u32>,
    slots: Vec<Vec<u32>>,
    /// For each level, a bit set of the slots that aren't empty.
    occupied: [u64; LEVELS],
    /// The wheel's time in ticks. Only entries that were overdue when inserted are earlier.
    tick: u64,
    serial: u64,
    /// The earliest time in the lowest level, if known.
    next: Option<Micros>,
    len: usize,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel that begins at `start`. Entries with an earlier time are due at once.
    pub fn new(start: Micros) -> TimerWheel<T> {
        TimerWheel {
            cells: Vec::new(),
            free: Vec::new(),
            slots: (0..LEVELS * SLOTS).map(|_| Vec::new()).collect(),
            occupied: [0; LEVELS],
            tick: start >> TICK_BITS,
            serial: 0,
            next: None,
            len: 0,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the wheel has no entry.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a value that is due at `at`.
    pub fn insert(&mut self, at: Micros, value: T) -> Key {
        self.serial += 1;
        let index = self.free.pop().unwrap_or_else(|| {
            self.cells.push(Cell { generation: 0, entry: None });
            (self.cells.len() - 1) as u32
        });
        let entry = Entry { at, serial: self.serial, slot: (0, 0), position: 0, value };
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

    /// Removes an entry and returns its value, or `None` if it is no longer in the wheel.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let cell = self.cells.get(key.index as usize)?;
        if cell.generation != key.generation || cell.entry.is_none() {
            return None;
        }
        self.take(key.index).map(|entry| entry.value)
    }

    /// Returns a time before which no entry is due: the earliest entry's time if that is in the lowest level,
    /// otherwise the start of its slot. Searching a higher slot for its earliest entry would take time linear
    /// in its entries.
    pub fn next_due(&mut self) -> Option<Micros> {
        let (level, slot) = self.first_slot()?;
        if level > 0 {
            return Some(self.slot_start(level, slot) << TICK_BITS);
        }
        if self.next.is_none() {
            let times = self.slots[slot].iter();
            self.next = times.filter_map(|index| self.order_of(*index)).map(|(at, _)| at).min();
        }
        self.next
    }

    /// Returns the first tick of a slot.
    fn slot_start(&self, level: usize, slot: usize) -> u64 {
        let width = SLOT_BITS * level as u32;
        (self.tick >> (width + SLOT_BITS) << (width + SLOT_BITS)) | (slot as u64) << width
    }

    /// Removes and returns the earliest entry if it is due by `now`.
    pub fn pop(&mut self, now: Micros) -> Option<(Micros, T)> {
        loop {
            if self.next_due()? > now {
                return None;
            }
            let (level, slot) = self.first_slot()?;
            if level == 0 {
                let indexes = self.slots[slot].iter();
                let earliest = indexes.filter_map(|index| Some((self.order_of(*index)?, *index))).min();
                let (_, index) = earliest?;
                return self.take(index).map(|entry| (entry.at, entry.value));
            }
            // The wheel advances to the start of the slot, and the slot's entries move to lower levels.
            self.tick = self.tick.max(self.slot_start(level, slot));
            self.next = None;
            let moved = std::mem::take(&mut self.slots[level * SLOTS + slot]);
            self.occupied[level] &= !(1 << slot);
            moved.iter().for_each(|index| self.place(*index));
        }
    }

    /// Returns the due time and serial number of an entry.
    fn order_of(&self, index: u32) -> Option<(Micros, u64)> {
        self.cells[index as usize].entry.as_ref().map(|entry| (entry.at, entry.serial))
    }

    /// Returns level and slot of the earliest slot that isn't empty: it is at the lowest such level, because
    /// all entries of a level are due before those of the next.
    fn first_slot(&self) -> Option<(usize, usize)> {
        let level = self.occupied.iter().position(|occupied| *occupied != 0)?;
        Some((level, self.occupied[level].trailing_zeros() as usize))
    }

    /// Puts an entry into the slot for its due time.
    fn place(&mut self, index: u32) {
        let Some(entry) = &mut self.cells[index as usize].entry else { return };
        // Overdue entries go into the current slot, entries beyond the wheel's range into the last one.
        let reach = (1u64 << (SLOT_BITS * LEVELS as u32)) - 1;
        let tick = (entry.at >> TICK_BITS).clamp(self.tick, self.tick | reach);
        let differs = u64::BITS - (tick ^ self.tick).leading_zeros();
        let level = (differs.saturating_sub(1) / SLOT_BITS) as usize;
        let slot = (tick >> (SLOT_BITS * level as u32)) as usize % SLOTS;
        let entries = &mut self.slots[level * SLOTS + slot];
        (entry.slot, entry.position) = ((level as u8, slot as u8), entries.len() as u32);
        entries.push(index);
        self.occupied[level] |= 1 << slot;
    }

    /// Removes an entry from its slot and frees its cell.
    fn take(&mut self, index: u32) -> Option<Entry<T>> {
        let cell = &mut self.cells[index as usize];
        let entry = cell.entry.take()?;
        cell.generation = cell.generation.wrapping_add(1);
        let (level, slot) = (entry.slot.0 as usize, entry.slot.1 as usize);
        let entries = &mut self.slots[level * SLOTS + slot];
        entries.swap_remove(entry.position as usize);
        if let Some(moved) = entries.get(entry.position as usize).copied()
            && let Some(moved) = &mut self.cells[moved as usize].entry
        {
            moved.position = entry.position;
        }
        if self.slots[level * SLOTS + slot].is_empty() {
            self.occupied[level] &= !(1 << slot);
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
