//! Measures a node's demand for a resource from the requests of the last rounds, admitted or not.

use crate::limiter::LimiterState;
use crate::resource::{Micros, RATE_UNITS};

/// Number of rounds over which demand is measured: one second with the default settings.
pub const DEMAND_ROUNDS: usize = 5;

/// The measured demand for an active resource.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Requests that arrived, or slots that were wanted, in each round, the latest first.
    pub rounds: [u64; DEMAND_ROUNDS],
    /// Units wanted in all: the measured demand and a quarter more.
    pub total: u64,
    /// Whether the last request reported that nothing is held or wanted.
    pub reported_idle: bool,
}

impl Demand {
    /// Adds the requests of the last round, which took `elapsed`.
    pub fn measure(&mut self, state: &mut LimiterState, elapsed: Micros, round: Micros) {
        self.rounds.rotate_right(1);
        let (attempts, peak_in_use) =
            (std::mem::take(&mut state.attempts), std::mem::replace(&mut state.peak_in_use, state.in_use));
        if state.resource.is_slots() {
            let refused = attempts.saturating_sub(peak_in_use);
            self.rounds[0] = peak_in_use + refused;
            let largest = self.rounds.iter().copied().max().unwrap_or(0);
            self.total = if largest == 0 { 0 } else { largest + largest / 4 + 1 };
            return;
        }
        self.rounds[0] = (u128::from(attempts) * u128::from(round) / u128::from(elapsed.max(1))) as u64;
        if attempts > 0 {
            self.rounds[0] = self.rounds[0].max(1);
        }
        let rate = |rounds: &[u64]| {
            let all: u128 = rounds.iter().map(|attempts| u128::from(*attempts)).sum();
            (all * u128::from(RATE_UNITS) * 1_000_000 / (u128::from(round) * rounds.len() as u128)) as u64
        };
        let largest = rate(&self.rounds).max(rate(&self.rounds[..2]));
        self.total = if largest == 0 { 0 } else { largest + largest / 4 + RATE_UNITS };
    }
}
