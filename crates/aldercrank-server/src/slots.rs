//! Tables of numbered slots with generations, for connections, txns and kept keys.

use std::collections::VecDeque;

const SLOTS: usize = 1 << 16;

/// A slot's number below its generation: a number given out once is not given out again soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(pub u32);

#[derive(Debug)]
struct Cell<T> {
    generation: u16,
    value: Option<T>,
}

#[derive(Debug)]
pub struct Slots<T> {
    cells: Vec<Cell<T>>,
    /// Taken in the order in which they became free, so that numbers come back as late as they can.
    free: VecDeque<usize>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { cells: Vec::new(), free: VecDeque::new() }
    }
}

impl<T> Slots<T> {
    /// Nothing when all numbers are taken.
    pub fn insert(&mut self, value: T) -> Option<Slot> {
        let index = match self.free.pop_front() {
            Some(index) => index,
            None if self.cells.len() < SLOTS => {
                self.cells.push(Cell { generation: 0, value: None });
                self.cells.len() - 1
            }
            None => return None,
        };
        let cell = &mut self.cells[index];
        cell.generation = cell.generation.wrapping_add(1);
        cell.value = Some(value);
        Some(Slot(u32::from(cell.generation) << 16 | index as u32))
    }

    fn cell(&self, slot: Slot) -> Option<usize> {
        let index = (slot.0 & 0xffff) as usize;
        self.cells.get(index).filter(|c| u32::from(c.generation) == slot.0 >> 16).map(|_| index)
    }

    pub fn get(&self, slot: Slot) -> Option<&T> {
        self.cell(slot).and_then(|i| self.cells[i].value.as_ref())
    }

    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut T> {
        self.cell(slot).and_then(|i| self.cells[i].value.as_mut())
    }

    pub fn remove(&mut self, slot: Slot) -> Option<T> {
        let index = self.cell(slot)?;
        let value = self.cells[index].value.take()?;
        self.free.push_back(index);
        Some(value)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Slot, &T)> {
        self.cells.iter().enumerate().filter_map(|(i, c)| {
            let slot = Slot(u32::from(c.generation) << 16 | i as u32);
            c.value.as_ref().map(|v| (slot, v))
        })
    }

    pub fn len(&self) -> usize {
        self.cells.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
