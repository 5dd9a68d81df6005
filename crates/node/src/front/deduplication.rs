//! The clients' ids of requests (`X-Txn`) that are open or were used lately.
//!
//! Servers distinguish requests by these ids. A request under an id that another one has used would run that
//! request's effect a second time, or receive its response. The id of a request that may have run therefore stays in
//! use after the response, and after its client has disconnected: a copy may have waited in the accept queue
//! meanwhile, and a server may still run the first request. The id of a request that was refused, or did not arrive
//! completely, is free again: a refusal promises that a retry is harmless.
//!
//! The ids of ended requests are kept in two generations of a fixed size. When the current one is full, the previous
//! one is forgotten and its memory reused, so that the memory neither grows nor depends on time.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::mem;

use woodgap_tenancy::Uid;

/// Share of a node's memory for the ids of ended requests: one part in this many.
const MEMORY_DIVISOR: usize = 16;
/// Size of an entry of a [`HashSet`] of hashes: the hash and a control byte.
const ENTRY_BYTES: usize = mem::size_of::<u64>() + 1;
/// Maximum number of entries allocated for one generation, on nodes with much memory.
const MAX_ENTRIES: usize = 1 << 19;

/// The ids of open requests, and of at least [`DeduplicationCache::capacity`] that ended last.
pub(super) struct DeduplicationCache {
    /// Has a random key, so that no client can choose two ids with the same hash.
    hasher: RandomState,
    open: RefCell<HashSet<u64>>,
    ended: RefCell<EndedIds>,
}

/// Hashes of the ids of ended requests.
struct EndedIds {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// Maximum number of ids in each generation.
    capacity: usize,
}

impl DeduplicationCache {
    /// Creates the ids of a node with this much memory in bytes, without any id.
    pub(super) fn new(node_memory: usize) -> Self {
        let capacity = generation_capacity(node_memory);
        let generation = || HashSet::with_capacity(capacity);
        let ended = EndedIds { current: generation(), previous: generation(), capacity };
        DeduplicationCache {
            hasher: RandomState::new(),
            open: RefCell::default(),
            ended: RefCell::new(ended),
        }
    }

    /// Inserts the id of a tenant's request; `None` if the id is in use.
    pub(super) fn insert(&self, tenant: Uid, transaction_id: &str) -> Option<DeduplicationEntry<'_>> {
        let hash = self.hasher.hash_one((tenant, transaction_id));
        if self.ended.borrow().contains(hash) || !self.open.borrow_mut().insert(hash) {
            return None;
        }
        Some(DeduplicationEntry { ids: self, hash, may_have_run: Cell::new(false) })
    }

    /// Number of ended requests whose ids are remembered at least.
    #[cfg(test)]
    fn capacity(&self) -> usize {
        self.ended.borrow().capacity
    }
}

impl EndedIds {
    fn contains(&self, hash: u64) -> bool {
        self.current.contains(&hash) || self.previous.contains(&hash)
    }

    fn insert(&mut self, hash: u64) {
        if self.current.len() >= self.capacity {
            mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
        }
        self.current.insert(hash);
    }
}

/// Maximum number of ids in a generation, as many as the allocation of a [`HashSet`] takes in full: its number of
/// entries is a power of two, of which it fills seven in eight.
fn generation_capacity(node_memory: usize) -> usize {
    let entries = (node_memory / MEMORY_DIVISOR / 2 / ENTRY_BYTES).clamp(16, MAX_ENTRIES);
    let allocated = 1 << entries.ilog2();
    allocated / 8 * 7
}

/// The entry of an open request. When it is dropped, the id stays in use if the request may have run.
pub(super) struct DeduplicationEntry<'a> {
    ids: &'a DeduplicationCache,
    hash: u64,
    may_have_run: Cell<bool>,
}

impl DeduplicationEntry<'_> {
    /// Records whether a server may have run the request, or still run it.
    pub(super) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

impl Drop for DeduplicationEntry<'_> {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.hash);
        if self.may_have_run.get() {
            self.ids.ended.borrow_mut().insert(self.hash);
        }
    }
}

#[cfg(test)]
mod tests;
