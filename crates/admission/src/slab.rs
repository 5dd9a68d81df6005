//! Fixed number of slots for waiting requests, linked into lists and ordered by expiry.

use crate::Micros;

pub(crate) const NO_SLOT: u32 = u32::MAX;

/// A waiting request. 64 bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub id: u64,
    pub key: u64,
    pub work: u64,
    /// Latest time of admission at which the request can still be answered in time.
    pub expires_at: Micros,
    pub tenant: u32,
    pub queue: u16,
    pub band: u8,
    /// Whether the slot is in use.
    pub is_taken: bool,
    pub prev: u32,
    pub next: u32,
    /// Index of the slot in the heap.
    pub heap_index: u32,
}

const FREE_SLOT: Waiter = Waiter {
    id: 0,
    key: 0,
    work: 0,
    expires_at: 0,
    tenant: 0,
    queue: 0,
    band: 0,
    is_taken: false,
    prev: NO_SLOT,
    next: NO_SLOT,
    heap_index: 0,
};

impl Waiter {
    pub fn new(id: u64, key: u64, work: u64, expires_at: Micros) -> Self {
        Waiter { id, key, work, expires_at, ..FREE_SLOT }
    }
}

/// Preallocated slots, with a binary heap of those in use, ordered by expiry.
pub(crate) struct Slab {
    slots: Vec<Waiter>,
    free: Vec<u32>,
    heap: Vec<u32>,
}

impl Slab {
    pub fn new(size: usize) -> Self {
        let mut slab = Slab { slots: Vec::new(), free: Vec::new(), heap: Vec::new() };
        slab.grow(size);
        slab
    }

    /// Adds slots up to `size` and keeps the existing ones.
    pub fn grow(&mut self, size: usize) {
        let old = self.slots.len();
        if size <= old {
            return;
        }
        self.slots.resize(size, FREE_SLOT);
        self.free.reserve_exact(size - self.free.len());
        self.heap.reserve_exact(size - self.heap.len());
        self.free.extend((old as u32..size as u32).rev());
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn get(&self, slot: u32) -> &Waiter {
        &self.slots[slot as usize]
    }

    pub fn get_mut(&mut self, slot: u32) -> &mut Waiter {
        &mut self.slots[slot as usize]
    }

    /// Returns whether this request waits in this slot.
    pub fn contains(&self, slot: u32, id: u64) -> bool {
        self.slots.get(slot as usize).is_some_and(|waiter| waiter.is_taken && waiter.id == id)
    }

    pub fn insert(&mut self, waiter: Waiter) -> Option<u32> {
        let slot = self.free.pop()?;
        let heap_index = self.heap.len() as u32;
        self.slots[slot as usize] = Waiter { is_taken: true, heap_index, ..waiter };
        self.heap.push(slot);
        self.sift_up(heap_index as usize);
        Some(slot)
    }

    pub fn remove(&mut self, slot: u32) {
        let at = self.slots[slot as usize].heap_index as usize;
        self.slots[slot as usize].is_taken = false;
        self.free.push(slot);
        self.heap.swap_remove(at);
        if let Some(&moved) = self.heap.get(at) {
            self.slots[moved as usize].heap_index = at as u32;
            let at = self.sift_up(at);
            self.sift_down(at);
        }
    }

    /// Returns the slot that expires first.
    pub fn first_expiring(&self) -> Option<u32> {
        self.heap.first().copied()
    }

    /// Moves expiry times after `expires_at` forward to it.
    pub fn limit_expiry(&mut self, expires_at: Micros) {
        for at in 0..self.heap.len() {
            let waiter = &mut self.slots[self.heap[at] as usize];
            waiter.expires_at = waiter.expires_at.min(expires_at);
        }
        // A sorted list is a valid heap.
        let slots = &self.slots;
        self.heap.sort_unstable_by_key(|slot| (slots[*slot as usize].expires_at, *slot));
        for (at, slot) in self.heap.iter().enumerate() {
            self.slots[*slot as usize].heap_index = at as u32;
        }
    }

    fn expires_before(&self, first: usize, second: usize) -> bool {
        let expires_at = |index: usize| self.slots[self.heap[index] as usize].expires_at;
        expires_at(first) < expires_at(second)
    }

    fn swap(&mut self, first: usize, second: usize) {
        self.heap.swap(first, second);
        for index in [first, second] {
            self.slots[self.heap[index] as usize].heap_index = index as u32;
        }
    }

    fn sift_up(&mut self, mut at: usize) -> usize {
        while at > 0 && self.expires_before(at, (at - 1) / 2) {
            self.swap(at, (at - 1) / 2);
            at = (at - 1) / 2;
        }
        at
    }

    fn sift_down(&mut self, mut at: usize) {
        loop {
            let children = [2 * at + 1, 2 * at + 2].into_iter().filter(|child| *child < self.heap.len());
            let Some(earliest) =
                children.min_by_key(|child| self.slots[self.heap[*child] as usize].expires_at)
            else {
                return;
            };
            if !self.expires_before(earliest, at) {
                return;
            }
            self.swap(at, earliest);
            at = earliest;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        // Compares the heap with a list that is searched in full.
        #[test]
        fn first_expiring_slot_matches_a_full_search(steps in prop::collection::vec((0u8..4, 0u64..50), 1..300)) {
            let mut slab = Slab::new(20);
            let mut model: Vec<(u32, u64)> = Vec::new();
            for (n, (operation, expires_at)) in steps.into_iter().enumerate() {
                match operation {
                    0 | 1 => {
                        let slot = slab.insert(Waiter::new(n as u64, 0, 1, expires_at));
                        prop_assert_eq!(slot.is_some(), model.len() < 20);
                        model.extend(slot.map(|slot| (slot, expires_at)));
                    }
                    2 if !model.is_empty() => {
                        let (slot, _) = model.swap_remove(expires_at as usize % model.len());
                        slab.remove(slot);
                    }
                    3 => {
                        slab.limit_expiry(expires_at + 20);
                        model.iter_mut().for_each(|one| one.1 = one.1.min(expires_at + 20));
                    }
                    _ => {}
                }
                let earliest = model.iter().map(|one| one.1).min();
                prop_assert_eq!(slab.first_expiring().map(|slot| slab.get(slot).expires_at), earliest);
                prop_assert_eq!(slab.len(), model.len());
            }
        }
    }
}
