//! Offset of one peer's clock, measured from its replies.
//!
//! **One reply** (Cristian 1989). The query is sent at `sent` and its reply received at `received`, both on
//! the own clock; the peer reads `stamp` at some moment in between. Whatever the delay in each direction, the
//! offset of the peer's clock is then within `[stamp - received, stamp - sent]`. Later the lower end falls
//! and the upper end rises by the drift bound.
//!
//! **Many replies.** All lower ends fall alike and all upper ends rise alike, so their order never changes:
//! the highest lower end and the lowest upper end remain the intersection of all replies (up to the
//! microseconds of rounding, which are added). No window of replies is stored, so there is no history to
//! bound.
//!
//! **Contradictions.** Two replies of a clock that keeps its rate and reports it truthfully always intersect.
//! Where they do not, either the peer's clock steps or is misreported, or the own clock is at fault.

use super::interval::{Drift, Micros, TimeInterval, MAX_MICROS, ROUNDING_MARGIN};

/// A reply to a clock query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Own clock, not later than the sending of the query.
    pub sent: Micros,
    /// Own clock, not earlier than the arrival of the reply.
    pub received: Micros,
    /// Peer's clock, read between the two.
    pub stamp: Micros,
}

impl Sample {
    /// Whether the times are in order and within bounds.
    pub(crate) fn is_valid(&self) -> bool {
        let bounded = |at: Micros| at < MAX_MICROS as u64;
        self.sent <= self.received && bounded(self.received) && bounded(self.stamp)
    }
}

/// One end of an offset interval, and the own clock at which it was measured.
#[derive(Clone, Copy, Debug)]
struct IntervalEnd {
    offset: i64,
    measured_at: i64,
}

/// A peer's clock, measured from its replies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerClock {
    /// Run of the peer's clock.
    pub(crate) run: u64,
    /// Own clock when the query of the latest reply was sent.
    pub(crate) last_query_sent: Micros,
    /// The peer contradicted itself in this run.
    pub(crate) refused: bool,
    lower: IntervalEnd,
    upper: IntervalEnd,
}

impl PeerClock {
    pub(crate) fn new(run: u64, sample: &Sample) -> PeerClock {
        let (sent, received, stamp) = (sample.sent as i64, sample.received as i64, sample.stamp as i64);
        let lower = IntervalEnd { offset: stamp - received - ROUNDING_MARGIN, measured_at: received };
        let upper = IntervalEnd { offset: stamp - sent + ROUNDING_MARGIN, measured_at: sent };
        PeerClock { run, last_query_sent: sample.sent, refused: false, lower, upper }
    }

    /// Records a further reply of the same run; returns `false` if it contradicts the earlier ones, which
    /// are then discarded.
    pub(crate) fn accept(&mut self, sample: &Sample, drift: &Drift) -> bool {
        let fresh = PeerClock::new(self.run, sample);
        let at = sample.received.max(self.lower.measured_at as u64);
        let (old, new) = (self.offset(at, drift), fresh.offset(at, drift));
        if old.earliest > new.latest || new.earliest > old.latest {
            *self = PeerClock { refused: self.refused, ..fresh };
            return false;
        }
        if new.earliest > old.earliest {
            self.lower = fresh.lower;
        }
        if new.latest < old.latest {
            self.upper = fresh.upper;
        }
        self.last_query_sent = self.last_query_sent.max(sample.sent);
        true
    }

    /// Offset of the peer's clock from the own clock, at a reading of the own clock.
    pub(crate) fn offset(&self, local: Micros, drift: &Drift) -> TimeInterval {
        let local = local as i64;
        TimeInterval {
            earliest: self.lower.offset - drift.max_divergence(local - self.lower.measured_at),
            latest: self.upper.offset + drift.max_divergence(local - self.upper.measured_at),
        }
    }
}
