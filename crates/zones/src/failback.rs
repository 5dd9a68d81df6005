//! Gradual return of a lost zone: its share grows by steps, each of which must hold, and a zone that fails
//! repeatedly waits longer.

use crate::Micros;

/// A zone is lost if less than this ratio of its usual capacity is left.
pub const LOST_CAPACITY_RATIO: f64 = 0.5;
/// Share of its capacity that a returning zone receives in the first step.
pub const FIRST_STEP_SHARE: f64 = 0.1;
/// Time for which a step must hold, until a zone has failed twice.
pub const STEP_HOLD_DURATION: Micros = 1_000_000;
/// Number of failures beyond which the hold duration no longer doubles: 32 s.
pub const MAX_COUNTED_FAILURES: u32 = 6;
/// A zone that is stable for this long has half of its failures forgotten.
pub const FAILURE_DECAY_INTERVAL: Micros = 60_000_000;

/// State of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FailbackState {
    Healthy,
    /// Time since which the zone has enough capacity again; `None` while it has not.
    Lost(Option<Micros>),
    /// Current share, and the time since which it applies.
    Recovering(f64, Micros),
}

/// Failback state of one zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneFailback {
    state: FailbackState,
    failures: u32,
    /// Time since which the zone is stable, or at which failures were last forgotten.
    stable_since: Micros,
}

impl Default for ZoneFailback {
    fn default() -> Self {
        ZoneFailback { state: FailbackState::Healthy, failures: 0, stable_since: 0 }
    }
}

impl ZoneFailback {
    /// Time for which the next step must hold.
    pub fn hold_duration(&self) -> Micros {
        STEP_HOLD_DURATION << self.failures.saturating_sub(1).min(MAX_COUNTED_FAILURES - 1)
    }

    /// Number of remembered failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records an observation of the zone: the ratio of its usual capacity that is in service and not ejected
    /// (0 to 1), and whether its responses fail or are late more often than elsewhere. Returns the share of
    /// its capacity that may be used.
    pub fn observe(&mut self, now: Micros, capacity_ratio: f64, degraded: bool) -> f64 {
        let has_capacity = capacity_ratio >= LOST_CAPACITY_RATIO;
        match self.state {
            FailbackState::Healthy | FailbackState::Recovering(..) if !has_capacity => {
                self.state = FailbackState::Lost(None);
                self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
            }
            FailbackState::Healthy => {
                if now.saturating_sub(self.stable_since) >= FAILURE_DECAY_INTERVAL && self.failures > 0 {
                    (self.failures, self.stable_since) = (self.failures / 2, now);
                }
            }
            FailbackState::Lost(_) if !has_capacity => self.state = FailbackState::Lost(None),
            FailbackState::Lost(None) => self.state = FailbackState::Lost(Some(now)),
            FailbackState::Lost(Some(since)) => {
                // After its first failure a zone returns at once, because its first step is small.
                let wait = if self.failures > 1 { self.hold_duration() } else { 0 };
                if now.saturating_sub(since) >= wait {
                    self.state = FailbackState::Recovering(FIRST_STEP_SHARE, now);
                }
            }
            FailbackState::Recovering(step, since) => {
                if degraded {
                    self.state = FailbackState::Recovering((step / 2.0).max(FIRST_STEP_SHARE), now);
                } else if now.saturating_sub(since) >= self.hold_duration() {
                    let next = step * 2.0;
                    self.state = if next >= 1.0 {
                        FailbackState::Healthy
                    } else {
                        FailbackState::Recovering(next, now)
                    };
                    self.stable_since = now;
                }
            }
        }
        match self.state {
            FailbackState::Healthy => 1.0,
            FailbackState::Lost(_) => 0.0,
            FailbackState::Recovering(step, _) => step,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const OBSERVATION_INTERVAL: Micros = 100_000;

    /// Observes the zone every 100 ms for this long and returns the last share.
    fn observe_for(
        zone: &mut ZoneFailback,
        now: &mut Micros,
        span: Micros,
        capacity_ratio: f64,
        degraded: bool,
    ) -> f64 {
        let mut share = zone.observe(*now, capacity_ratio, degraded);
        for _ in 0..span / OBSERVATION_INTERVAL {
            *now += OBSERVATION_INTERVAL;
            share = zone.observe(*now, capacity_ratio, degraded);
        }
        share
    }

    #[test]
    fn lost_zone_returns_by_steps_that_must_hold() {
        let (mut zone, mut now) = (ZoneFailback::default(), 0);
        assert_eq!(observe_for(&mut zone, &mut now, STEP_HOLD_DURATION, 1.0, false), 1.0);
        // The failure of one server of three does not make a zone lost.
        assert_eq!(observe_for(&mut zone, &mut now, STEP_HOLD_DURATION, 0.66, false), 1.0);
        assert_eq!(observe_for(&mut zone, &mut now, STEP_HOLD_DURATION, 0.3, false), 0.0);
        assert_eq!(observe_for(&mut zone, &mut now, 2 * OBSERVATION_INTERVAL, 1.0, false), FIRST_STEP_SHARE);
        assert_eq!(observe_for(&mut zone, &mut now, STEP_HOLD_DURATION, 1.0, false), 2.0 * FIRST_STEP_SHARE);
        // A step that does not hold goes back, but not below the first step.
        assert_eq!(observe_for(&mut zone, &mut now, 5 * OBSERVATION_INTERVAL, 1.0, true), FIRST_STEP_SHARE);
        assert_eq!(
            observe_for(&mut zone, &mut now, 4 * STEP_HOLD_DURATION + 5 * OBSERVATION_INTERVAL, 1.0, false),
            1.0
        );
    }

    #[test]
    fn flapping_zone_waits_longer_until_its_failures_decay() {
        let (mut zone, mut now) = (ZoneFailback::default(), 0);
        let mut used = Vec::new();
        // The zone fails and returns every 3 s.
        for _ in 0..8 {
            observe_for(&mut zone, &mut now, 3_000_000, 0.0, false);
            let mut share = 0.0;
            for _ in 0..30 {
                share += observe_for(&mut zone, &mut now, OBSERVATION_INTERVAL, 1.0, false);
            }
            used.push(share);
        }
        assert!(used.windows(2).all(|pair| pair[1] <= pair[0]), "{used:?}");
        assert!(used[0] > 0.0 && used[7] == 0.0, "{used:?}");
        // Once the hold duration exceeds the time it is up, the zone is not readmitted, and no further
        // failure is counted.
        assert_eq!(zone.hold_duration(), 4 * STEP_HOLD_DURATION);
        // Once it stays up it returns within the bound, and after some minutes no failure is remembered.
        assert_eq!(observe_for(&mut zone, &mut now, 6 * 4 * STEP_HOLD_DURATION, 1.0, false), 1.0);
        observe_for(&mut zone, &mut now, 3 * FAILURE_DECAY_INTERVAL + STEP_HOLD_DURATION, 1.0, false);
        assert_eq!(zone.failures(), 0);
    }

    proptest! {
        // For any observations: the share is within 0 and 1, a zone without capacity receives nothing, and a
        // share grows by at most one step.
        #[test]
        fn share_grows_by_at_most_one_step(observations in prop::collection::vec((0u64..3_000_000, 0.0f64..1.0, any::<bool>()), 1..200)) {
            let (mut zone, mut now, mut last) = (ZoneFailback::default(), 0, 1.0f64);
            for (span, capacity_ratio, degraded) in observations {
                now += span;
                let share = zone.observe(now, capacity_ratio, degraded);
                prop_assert!((0.0..=1.0).contains(&share));
                prop_assert!(capacity_ratio >= LOST_CAPACITY_RATIO || share == 0.0);
                prop_assert!(share <= (2.0 * last).max(FIRST_STEP_SHARE) + 1e-9, "{last} to {share}");
                last = share;
            }
        }
    }
}
