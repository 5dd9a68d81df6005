//! How much a node's requests want of a whole: what knocked, let in or not, in the last rounds.

use crate::taker::Bucket;
use crate::whole::{Micros, RATE_UNITS};

/// Rounds by which demand is measured: a second, by default.
pub const ROUNDS: usize = 5;

/// What is known of the demand for a whole that is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Requests that came, or slots that were wanted, in each.
    pub rounds: [u64; ROUNDS],
    /// What they want in all, in units, and a quarter more.
    pub total: u64,
    /// It said that it holds nothing and wants nothing.
    pub told: bool,
}

impl Demand {
    /// Looks at the requests of a round, which took so long.
    pub fn measure(&mut self, bucket: &mut Bucket, past: Micros, round: Micros) {
        self.rounds.rotate_right(1);
        let (tried, peak) =
            (std::mem::take(&mut bucket.tried), std::mem::replace(&mut bucket.peak, bucket.in_use));
        if bucket.whole.is_slots() {
            let refused = tried.saturating_sub(peak);
            self.rounds[0] = peak + refused;
            let most = self.rounds.iter().copied().max().unwrap_or(0);
            self.total = if most == 0 { 0 } else { most + most / 4 + 1 };
            return;
        }
        self.rounds[0] = (u128::from(tried) * u128::from(round) / u128::from(past.max(1))) as u64;
        if tried > 0 {
            self.rounds[0] = self.rounds[0].max(1);
        }
        let pace = |rounds: &[u64]| {
            let all: u128 = rounds.iter().map(|tried| u128::from(*tried)).sum();
            (all * u128::from(RATE_UNITS) * 1_000_000 / (u128::from(round) * rounds.len() as u128)) as u64
        };
        let most = pace(&self.rounds).max(pace(&self.rounds[..2]));
        self.total = if most == 0 { 0 } else { most + most / 4 + RATE_UNITS };
    }
}
