//! Time intervals, and the bound on the drift between two clocks.

/// Microseconds on a monotonic clock that also runs while the machine sleeps (`CLOCK_BOOTTIME`).
pub type Micros = u64;

/// Maximum time or offset, some 36,000 years; sums of a few stay within 64 bits.
pub const MAX_MICROS: i64 = 1 << 60;

/// Microseconds added at either side of a sample, because clocks are read in whole microseconds and the
/// fractions are cut off.
pub(crate) const ROUNDING_MARGIN: i64 = 3;

/// A closed interval of time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimeInterval {
    /// Lower end.
    pub earliest: i64,
    /// Upper end.
    pub latest: i64,
}

impl TimeInterval {
    /// Distance between the ends.
    pub fn width(&self) -> i64 {
        self.latest - self.earliest
    }

    /// Whether the interval contains this time.
    pub fn contains(&self, at: i64) -> bool {
        self.earliest <= at && at <= self.latest
    }
}

/// Bound on the drift between two clocks that each keep within a number of millionths (`p`) of true time.
///
/// One of two such clocks runs at most `(1 + p) / (1 - p)` times as fast as the other, which is `1 + 2p / (1
/// - p)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Drift {
    numerator: i128,
    denominator: i128,
}

impl Drift {
    pub(crate) fn new(ppm: u32) -> Drift {
        let ppm = i128::from(ppm.min(crate::clock::MAX_DRIFT_PPM));
        Drift { numerator: 2 * ppm, denominator: 1_000_000 - ppm }
    }

    /// Maximum drift over a duration on one of the clocks; rounded up.
    pub(crate) fn max_divergence(&self, micros: i64) -> i64 {
        let part = i128::from(micros.max(0)) * self.numerator;
        ((part + self.denominator - 1) / self.denominator) as i64
    }

    /// Longest duration on one clock in which the other advances by no more than this; rounded up.
    pub(crate) fn max_elapsed(&self, micros: i64) -> i64 {
        // 1 / (1 - d) with d = numerator / denominator.
        let (part, slowest) =
            (i128::from(micros.max(0)) * self.denominator, self.denominator - self.numerator);
        ((part + slowest - 1) / slowest) as i64
    }

    /// Shortest duration on one clock in which the other advances by this; rounded down.
    pub(crate) fn min_elapsed(&self, micros: i64) -> i64 {
        (i128::from(micros.max(0)) * self.denominator / (self.denominator + self.numerator)) as i64
    }
}
