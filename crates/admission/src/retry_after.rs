//! Advised retry times of refused requests, and priority for requests that return at that time.
//!
//! Each refusal takes the next time in the schedule of its key. Requests that are refused together therefore
//! return at different times, and one that is refused earlier is given an earlier time. A schedule is the
//! virtual scheduling of the generic cell rate algorithm (ITU-T I.371, annex A) at the rate at which the
//! key's share is served at the time of the refusal. The [`RetryCalendar`] limits the promises to all keys
//! together to the rate that the pool serves.
//!
//! A promise can be claimed once, when its time comes, and a request that claims one is served before new
//! requests of its key. A request that returns early claims nothing.

use crate::Micros;

/// Tolerance by which a promise may be claimed early, for clock differences and rounding.
pub const EARLY_CLAIM_TOLERANCE: Micros = 20_000;
/// Number of time slots in which a schedule counts its promises: the current one, the one before it, and
/// future ones.
pub const SCHEDULE_SLOTS: usize = 16;

/// Retry times promised to the keys of one schedule. 48 bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    /// Latest time that was promised.
    latest: Micros,
    /// Number of promises by the slot in which they are due, as a ring.
    slots: [u16; SCHEDULE_SLOTS],
    /// Number of the current slot, counted from time 0.
    current: u32,
    /// Number of promises of the current slot that were claimed.
    claimed: u16,
}

impl RetrySchedule {
    /// Returns the earliest next time: `wait` from now, and `interval` after the time promised before.
    /// Returns `None` if that is more than `max_delay` away, because such a promise would not be kept.
    pub fn earliest_time(
        &self,
        now: Micros,
        wait: Micros,
        interval: Micros,
        max_delay: Micros,
    ) -> Option<Micros> {
        let earliest = now.saturating_add(wait).max(now.saturating_add(1));
        let time = earliest.max(self.latest.saturating_add(interval));
        (time - now <= max_delay).then_some(time)
    }

    /// Returns the width of a slot if `max_delay` is the maximum advised delay.
    fn width(max_delay: Micros) -> Micros {
        (max_delay / (SCHEDULE_SLOTS as u64 - 2)).max(1) + 1
    }

    /// Records the time as promised.
    pub fn promise(&mut self, now: Micros, time: Micros, max_delay: Micros) {
        self.advance(now, max_delay);
        self.latest = self.latest.max(time);
        let slot = &mut self.slots[(time / Self::width(max_delay)) as usize % SCHEDULE_SLOTS];
        *slot = slot.saturating_add(1);
    }

    /// Advances to the current slot and drops promises that were due before the slot before it.
    fn advance(&mut self, now: Micros, max_delay: Micros) {
        let current = now / Self::width(max_delay);
        let passed = current.saturating_sub(u64::from(self.current)).min(SCHEDULE_SLOTS as u64);
        for _ in 0..passed {
            let (at, before) = (
                self.current as usize % SCHEDULE_SLOTS,
                (self.current as usize + SCHEDULE_SLOTS - 1) % SCHEDULE_SLOTS,
            );
            self.slots[before] = 0;
            self.slots[at] -= self.claimed.min(self.slots[at]);
            self.claimed = 0;
            self.current = self.current.wrapping_add(1);
        }
        self.current = current as u32;
    }

    /// Claims a due promise and returns whether there was one. The promises of a slot count as spread evenly
    /// over it, and one of them may be claimed early, so that the coarse slots do not turn away a request
    /// that returns at its time.
    pub fn claim(&mut self, now: Micros, max_delay: Micros) -> bool {
        self.advance(now, max_delay);
        let (at, before) = (
            self.current as usize % SCHEDULE_SLOTS,
            (self.current as usize + SCHEDULE_SLOTS - 1) % SCHEDULE_SLOTS,
        );
        if self.slots[before] > 0 {
            self.slots[before] -= 1;
            return true;
        }
        let width = Self::width(max_delay);
        let passed = (now % width).saturating_add(EARLY_CLAIM_TOLERANCE).min(width);
        let due = (u64::from(self.slots[at]) * passed / width + 1).min(u64::from(self.slots[at]));
        let is_claimable = u64::from(self.claimed) < due;
        self.claimed += u16::from(is_claimable);
        is_claimable
    }
}

/// Number of slots of a calendar.
pub const CALENDAR_SLOTS: usize = 512;

/// Number of promises to all keys, in slots of the maximum advised delay divided by [`CALENDAR_SLOTS`]. 8
/// bytes per slot.
#[derive(Clone, Debug)]
pub struct RetryCalendar {
    width: Micros,
    /// Number of each slot, counted from time 0, and its promises.
    slots: Vec<(u32, u32)>,
}

impl RetryCalendar {
    /// Creates a calendar without promises; `max_delay` is the maximum advised delay.
    pub fn new(max_delay: Micros) -> Self {
        RetryCalendar {
            width: (max_delay / CALENDAR_SLOTS as u64).max(1),
            slots: vec![(0, 0); CALENDAR_SLOTS],
        }
    }

    /// Reserves the first time from `earliest` to `until` at which a pool that serves `rate` requests per
    /// second has capacity that is not promised yet. Returns `None` if there is none.
    pub fn reserve(&mut self, earliest: Micros, until: Micros, rate: f64) -> Option<Micros> {
        let capacity = (rate * self.width as f64 / 1e6).ceil().clamp(1.0, 1e9) as u32;
        let first = earliest / self.width;
        for slot in first..first.saturating_add(CALENDAR_SLOTS as u64) {
            let start = slot.saturating_mul(self.width);
            let (number, at) = (slot as u32, slot as usize % CALENDAR_SLOTS);
            let (stored, count) = &mut self.slots[at];
            if *stored != number {
                (*stored, *count) = (number, 0);
            }
            if *count >= capacity {
                continue;
            }
            // The time within the slot follows the promises made before.
            let slot_time = start.saturating_add(self.width * u64::from(*count) / u64::from(capacity));
            let time = slot_time.max(earliest);
            if time > until {
                return None;
            }
            *count += 1;
            return Some(time);
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAX_DELAY: Micros = 10_000;

    fn promise_next(
        schedule: &mut RetrySchedule,
        now: Micros,
        wait: Micros,
        interval: Micros,
    ) -> Option<Micros> {
        let time = schedule.earliest_time(now, wait, interval, MAX_DELAY)?;
        schedule.promise(now, time, MAX_DELAY);
        Some(time - now)
    }

    #[test]
    fn requests_refused_together_get_distinct_retry_times() {
        let mut schedule = RetrySchedule::default();
        let times: Vec<_> = (0..5).map(|_| promise_next(&mut schedule, 1_000, 500, 100)).collect();
        assert_eq!(times, [Some(500), Some(600), Some(700), Some(800), Some(900)]);
        // When the queue shrinks, later refusals are not given an earlier time than those before them.
        assert_eq!(promise_next(&mut schedule, 1_100, 0, 10), Some(810));
        // When the queue grows, later refusals are given a later time.
        assert_eq!(promise_next(&mut schedule, 1_200, 5_000, 10), Some(5_000));
        // A refusal beyond the maximum delay takes no time in the schedule.
        assert_eq!(promise_next(&mut schedule, 1_300, 0, 10_000), None);
        assert_eq!(promise_next(&mut schedule, 1_300, 0, 10), Some(4_910));
        // Nothing is left of the promises after an idle time. A clock at the end of its range causes no
        // overflow.
        assert_eq!(promise_next(&mut schedule, 1_000_000, 0, 10), Some(1));
        assert_eq!(promise_next(&mut schedule, u64::MAX, 9, 9), Some(0));
        schedule.claim(u64::MAX, MAX_DELAY);
    }

    #[test]
    fn promise_is_claimed_once_and_not_long_before_it_is_due() {
        let max_delay = 14_000_000;
        let mut schedule = RetrySchedule::default();
        for n in 1..=100 {
            schedule.promise(0, n * 100_000, max_delay);
        }
        let claims = |schedule: &mut RetrySchedule, now: Micros| {
            (0..1_000).filter(|_| schedule.claim(now, max_delay)).count()
        };
        // At most one more than the promises that are due.
        assert!(claims(&mut schedule, 10) <= 1);
        let at_half = claims(&mut schedule, 500_000);
        assert!((4..=6).contains(&at_half), "{at_half}");
        let all: usize = (6..=110).map(|n| claims(&mut schedule, n * 100_000)).sum();
        assert!((90..=96).contains(&all), "{all}");
        assert_eq!(claims(&mut schedule, 12_000_000), 0);
        // Promises that nobody claimed for a long time are void.
        schedule.promise(12_000_000, 12_500_000, max_delay);
        assert_eq!(claims(&mut schedule, 20_000_000), 0);
    }

    #[test]
    fn promises_to_all_keys_match_the_served_rate() {
        let mut calendar = RetryCalendar::new(512_000);
        // 400 requests are refused at one time and the pool serves 1,000 a second, so each millisecond has
        // one promise.
        let mut times: Vec<_> =
            (0..400).filter_map(|_| calendar.reserve(5_000, 1_000_000, 1_000.0)).collect();
        assert_eq!(times.len(), 400);
        times.dedup();
        assert_eq!((times.len(), times[0], times[399]), (400, 5_000, 404_000));
        // There is no time left before the requested limit.
        assert_eq!(calendar.reserve(5_000, 300_000, 1_000.0), None);
        assert_eq!(calendar.reserve(u64::MAX, u64::MAX, 1_000.0), Some(u64::MAX));
    }
}
