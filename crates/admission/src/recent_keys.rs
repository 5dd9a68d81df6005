//! Recently seen keys, in two generations of a Bloom filter (Bloom 1970) of fixed size.
//!
//! A client that changes its identity with every request always has a new key. Unknown keys share a few
//! queues of their own, so that such a client gets only the share of those queues however often it changes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Micros;

/// Number of bits in a generation.
const GENERATION_BITS: usize = 1 << 16;
/// Number of bits per key: with [`MAX_KEYS_PER_GENERATION`] keys, one in 400 unknown keys is taken for a
/// recent one.
const BITS_PER_KEY: usize = 4;
/// Number of new keys after which a generation ends early, because a full filter reports every key as recent.
pub const MAX_KEYS_PER_GENERATION: u32 = 4_096;

/// Set of recently inserted keys. 16 KiB; it never grows.
#[derive(Clone, Debug)]
pub struct RecentKeys {
    bits: [Vec<u64>; 2],
    generation_period: Micros,
    generation_start: Micros,
    key_count: u32,
}

impl RecentKeys {
    /// Creates an empty set. A generation lasts for `generation_period` and at most
    /// [`MAX_KEYS_PER_GENERATION`] new keys. A key is remembered for one to two generations.
    pub fn new(generation_period: Micros) -> Self {
        RecentKeys {
            bits: [vec![0; GENERATION_BITS / 64], vec![0; GENERATION_BITS / 64]],
            generation_period: generation_period.max(1),
            generation_start: 0,
            key_count: 0,
        }
    }

    fn bit_indexes(key: u64) -> [usize; BITS_PER_KEY] {
        let hash = xxh3_64_with_seed(&key.to_le_bytes(), 0x6b6e_6f77);
        std::array::from_fn(|n| (hash >> (16 * n)) as usize % GENERATION_BITS)
    }

    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.generation_start) / self.generation_period;
        for _ in 0..passed.min(2) {
            self.start_generation();
        }
        self.generation_start =
            self.generation_start.saturating_add(passed.saturating_mul(self.generation_period));
        if self.key_count >= MAX_KEYS_PER_GENERATION {
            self.start_generation();
            self.generation_start = self.generation_start.max(now);
        }
    }

    fn start_generation(&mut self) {
        self.bits.swap(0, 1);
        self.bits[0].fill(0);
        self.key_count = 0;
    }

    /// Returns whether a key was inserted lately. Rarely true for a key that was not.
    pub fn contains(&mut self, now: Micros, key: u64) -> bool {
        self.advance(now);
        let indexes = Self::bit_indexes(key);
        self.bits.iter().any(|bits| indexes.iter().all(|at| bits[at / 64] & 1 << (at % 64) != 0))
    }

    /// Inserts a key.
    pub fn insert(&mut self, now: Micros, key: u64) {
        self.advance(now);
        let mut new = false;
        for at in Self::bit_indexes(key) {
            let bit = 1 << (at % 64);
            new |= self.bits[0][at / 64] & bit == 0;
            self.bits[0][at / 64] |= bit;
        }
        self.key_count += u32::from(new);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn key_is_remembered_for_one_to_two_generations() {
        let mut keys = RecentKeys::new(100);
        assert!(!keys.contains(5, 1));
        keys.insert(5, 1);
        assert!(keys.contains(5, 1) && keys.contains(150, 1) && !keys.contains(150, 2));
        assert!(!keys.contains(250, 1));
        // After a jump of the clock the set is empty and works as before.
        keys.insert(250, 3);
        assert!(!keys.contains(u64::MAX, 3));
        keys.insert(u64::MAX, 4);
        assert!(keys.contains(u64::MAX, 4));
    }

    #[test]
    fn false_positives_are_rare() {
        let mut keys = RecentKeys::new(1_000_000);
        (0..4_000).for_each(|key| keys.insert(1, key));
        assert!((0..4_000).all(|key| keys.contains(2, key)));
        let false_positives = (10_000..20_000).filter(|key| keys.contains(2, *key)).count();
        assert!(false_positives < 60, "{false_positives} of 10,000");
        // The rate of false positives stays low after a million keys, of which only the last are remembered.
        (0..1_000_000).for_each(|key| keys.insert(2, key));
        assert!((997_000..1_000_000).all(|key| keys.contains(2, key)));
        let false_positives = (2_000_000..2_010_000).filter(|key| keys.contains(2, *key)).count();
        assert!(false_positives < 100, "{false_positives} of 10,000");
    }
}
