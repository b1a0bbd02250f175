//! A table of numbered slots with generations, for connections, requests and deduplication entries.

use std::collections::VecDeque;

const MAX_SLOTS: usize = 1 << 16;
const INDEX_BITS: u32 = 16;
const INDEX_MASK: u32 = (1 << INDEX_BITS) - 1;

/// A slot's number: its index in the low bits and its generation in the high bits, so that numbers are reused as late
/// as possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(pub u32);

impl Slot {
    fn new(generation: u16, index: usize) -> Slot {
        Slot(u32::from(generation) << INDEX_BITS | index as u32)
    }

    fn index(self) -> usize {
        (self.0 & INDEX_MASK) as usize
    }

    fn generation(self) -> u32 {
        self.0 >> INDEX_BITS
    }
}

#[derive(Debug)]
struct Cell<T> {
    generation: u16,
    value: Option<T>,
}

/// A table of up to 65,536 values by slot.
#[derive(Debug)]
pub struct Slots<T> {
    cells: Vec<Cell<T>>,
    /// Free cells in the order in which they became free, so that numbers are reused as late as possible.
    free: VecDeque<usize>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { cells: Vec::new(), free: VecDeque::new() }
    }
}

impl<T> Slots<T> {
    /// Stores a value in a free slot. Returns none if all slots are taken.
    pub fn insert(&mut self, value: T) -> Option<Slot> {
        let index = match self.free.pop_front() {
            Some(index) => index,
            None if self.cells.len() < MAX_SLOTS => {
                self.cells.push(Cell { generation: 0, value: None });
                self.cells.len() - 1
            }
            None => return None,
        };
        let cell = &mut self.cells[index];
        cell.generation = cell.generation.wrapping_add(1);
        cell.value = Some(value);
        Some(Slot::new(cell.generation, index))
    }

    /// Returns the value in this slot, or none if it was removed, even if its cell has been reused.
    pub fn get(&self, slot: Slot) -> Option<&T> {
        let cell = self.cells.get(slot.index())?;
        cell.value.as_ref().filter(|_| u32::from(cell.generation) == slot.generation())
    }

    /// Returns a mutable reference to the value in this slot, or none if it was removed.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut T> {
        let cell = self.cells.get_mut(slot.index())?;
        cell.value.as_mut().filter(|_| u32::from(cell.generation) == slot.generation())
    }

    /// Removes the value in this slot, if any, and frees the slot.
    pub fn remove(&mut self, slot: Slot) -> Option<T> {
        let index = slot.index();
        let cell =
            self.cells.get_mut(index).filter(|cell| u32::from(cell.generation) == slot.generation())?;
        let value = cell.value.take()?;
        self.free.push_back(index);
        Some(value)
    }

    /// Iterates over all values with their slots, in the order of the slots' indices.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &T)> {
        self.cells.iter().enumerate().filter_map(|(index, cell)| {
            let slot = Slot::new(cell.generation, index);
            cell.value.as_ref().map(|value| (slot, value))
        })
    }

    /// Returns the number of slots that are taken.
    pub fn len(&self) -> usize {
        self.cells.len() - self.free.len()
    }

    /// Whether no slot is taken.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
