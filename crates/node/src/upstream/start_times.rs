//! Estimates when servers started, for slow start, on a clock that steps of the machine's wall clock do not
//! affect.
//!
//! This is the only module that uses the wall clock for a decision: lists give start times as Unix times, and
//! nothing else shows the age of servers that were up before this process. A server that is listed later ages
//! by the monotonic clock, from a lower bound of its age that holds however wrong the wall clock is: a server
//! in slow start may be sent a little less than its capacity allows, and never more.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use std::collections::HashMap;

use tokio::time::Instant;
use woodgap_decisions::{Micros, ServerId};

/// Assumed maximum error of a wall clock. A server whose age by the wall clock exceeds this is certain to
/// have been up for at least the excess.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(2 * 3_600);
/// Maximum number of removed servers whose start times are remembered. Above it all of them are forgotten,
/// and a server that returns is treated as one that has just started.
const MAX_REMOVED: usize = 16_384;

/// The decision module's clock: Unix time at its creation, and monotonic from there.
#[derive(Clone, Copy, Debug)]
pub struct DecisionClock {
    start: Instant,
    unix_start: Duration,
}

impl DecisionClock {
    /// Creates a clock that starts at the wall clock's time.
    pub fn new() -> Self {
        DecisionClock::at(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
    }

    /// Creates a clock that starts at this Unix time.
    pub fn at(unix_start: Duration) -> Self {
        DecisionClock { start: Instant::now(), unix_start }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        (self.unix_start + self.start.elapsed()).as_micros() as Micros
    }
}

/// Estimates of servers' start times, by the decision module's clock.
///
/// The age that the wall clock gives for a newly listed server includes the delay of the list and the clock's
/// error. So does the lowest such age, so the excess of an age over the lowest is free of the clock's error.
/// One-way delays are compared in this way without synchronized clocks (RFC 6817, base delay).
#[derive(Debug)]
pub struct StartTimes {
    clock: DecisionClock,
    /// The lowest age that the wall clock gave for a newly listed server, in microseconds.
    min_age: Option<i64>,
    /// Number of lists received.
    lists_received: u32,
    /// Removed servers: the start time that the list gave, and the estimate of it.
    removed: HashMap<ServerId, (u64, Micros)>,
}

impl StartTimes {
    /// Creates an estimator that has received no list.
    pub fn new(clock: DecisionClock) -> Self {
        StartTimes { clock, min_age: None, lists_received: 0, removed: HashMap::new() }
    }

    /// Estimates when a server started that is new on a list or has a new start time there. `initial` says
    /// whether the list shows servers that were up before this process. A server that returns with the start
    /// time that it had when it was removed keeps its estimate, as it has not restarted.
    pub fn start_time(&mut self, server: &ServerId, up_since_ms: u64, initial: bool) -> Micros {
        match self.removed.remove(server) {
            Some((reported_ms, started)) if reported_ms == up_since_ms => started,
            _ if initial => self.initial_start_time(up_since_ms),
            _ => self.latest_start_time(up_since_ms),
        }
    }

    /// Remembers the start time of a server that was removed from the list.
    pub fn record_removal(&mut self, server: ServerId, up_since_ms: u64, started: Micros) {
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(server, (up_since_ms, started));
    }

    /// Start time of a server that was up before this process: by the wall clock, but not in the future.
    fn initial_start_time(&mut self, up_since_ms: u64) -> Micros {
        self.observe_age(up_since_ms);
        up_since_ms.saturating_mul(1_000).min(self.clock.now())
    }

    /// Latest possible start time of a server that was listed after this process started; 0 (long ago) stays
    /// 0.
    fn latest_start_time(&mut self, up_since_ms: u64) -> Micros {
        let Some((age, min_age)) = self.observe_age(up_since_ms) else { return 0 };
        // A server whose own clock runs ahead must not make others older than the wall clock says.
        let age_beyond_error = age.saturating_sub(MAX_CLOCK_ERROR.as_micros() as i64);
        let certain_age = age.saturating_sub(min_age).min(age).max(age_beyond_error).max(0);
        self.clock.now().saturating_sub(certain_age as Micros)
    }

    /// A server's age by the wall clock, and the lowest age so far; `None` for a start time of 0 (long ago).
    fn observe_age(&mut self, up_since_ms: u64) -> Option<(i64, i64)> {
        let since = i64::try_from(up_since_ms.checked_mul(1_000)?).ok().filter(|since| *since > 0)?;
        let age = i64::try_from(self.clock.now()).ok()? - since;
        let min_age = self.min_age.map_or(age, |min_age| min_age.min(age));
        self.min_age = Some(min_age);
        Some((age, min_age))
    }

    /// Counts a list and returns whether it shows servers that were up before this process. That is so for
    /// the first list, and for the second if it is complete and more than half of its servers are unknown, as
    /// the first was then empty or outdated.
    pub fn is_initial_list(&mut self, complete: bool, servers: usize, unknown: usize) -> bool {
        self.lists_received = self.lists_received.saturating_add(1);
        match self.lists_received {
            1 => true,
            2 => complete && 2 * unknown > servers,
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    const NOW_MS: u64 = 10_000_000;
    const CLOCK_ERRORS_MS: [i64; 5] = [-3_600_000, -1_000, 0, 1_000, 3_600_000];

    /// An estimator whose wall clock has this error; the true time at its start is `NOW_MS`.
    fn with_clock_error(error_ms: i64) -> StartTimes {
        StartTimes::new(DecisionClock::at(Duration::from_millis(NOW_MS.saturating_add_signed(error_ms))))
    }

    #[tokio::test(start_paused = true)]
    async fn newly_listed_server_is_never_assumed_older_than_it_is() {
        for error_ms in CLOCK_ERRORS_MS {
            let mut times = with_clock_error(error_ms);
            // Each server is listed some time after its start.
            for (delay_ms, listed_after_ms) in [(3_000, 0), (700, 5_000), (4_000, 5_000), (900, 1_000)] {
                advance(Duration::from_millis(listed_after_ms)).await;
                let true_now_ms = NOW_MS + times.clock.start.elapsed().as_millis() as u64;
                let age = times.clock.now() - times.latest_start_time(true_now_ms - delay_ms);
                assert!(age <= delay_ms * 1_000, "{age} us of {delay_ms} ms, clock error {error_ms} ms");
            }
        }
    }

    #[tokio::test(start_paused = true)]
    async fn server_listed_longer_after_its_start_is_assumed_older() {
        for error_ms in [0, 1_000, 3_600_000] {
            let mut times = with_clock_error(error_ms);
            times.latest_start_time(NOW_MS - 600);
            let age = times.clock.now() - times.latest_start_time(NOW_MS - 4_000);
            assert_eq!(age, 3_400_000, "clock error {error_ms} ms");
        }
    }

    // The server may have run under another id or in another pool. In a small pool all servers may have about
    // the same age.
    #[tokio::test(start_paused = true)]
    async fn newly_listed_server_with_an_old_start_time_is_assumed_old() {
        const DAY_MS: u64 = 86_400_000;
        for error_ms in CLOCK_ERRORS_MS {
            let now = Duration::from_millis((10 * DAY_MS).saturating_add_signed(error_ms));
            let mut times = StartTimes::new(DecisionClock::at(now));
            times.initial_start_time(7);
            let age = times.clock.now() - times.latest_start_time(7);
            assert!(age > 9 * DAY_MS * 1_000, "{age} us, clock error {error_ms} ms");
        }
    }

    #[tokio::test(start_paused = true)]
    async fn returning_server_that_did_not_restart_keeps_its_start_time() {
        let (mut times, server) = (with_clock_error(0), ServerId::new("s-1"));
        let started = times.start_time(&server, NOW_MS - 500, false);
        times.record_removal(server.clone(), NOW_MS - 500, started);
        advance(Duration::from_secs(5)).await;
        assert_eq!(times.start_time(&server, NOW_MS - 500, false), started);
        times.record_removal(server.clone(), NOW_MS - 500, started);
        assert!(
            times.start_time(&server, NOW_MS + 1_000, false) > started + 1_000_000,
            "the server has restarted"
        );
    }

    #[tokio::test(start_paused = true)]
    async fn server_with_a_fast_clock_does_not_make_others_older() {
        let mut times = with_clock_error(0);
        let fast = times.latest_start_time(NOW_MS + 60_000);
        assert_eq!(fast, times.clock.now());
        let age = times.clock.now() - times.latest_start_time(NOW_MS - 500);
        assert_eq!(age, 500_000);
    }

    #[tokio::test(start_paused = true)]
    async fn servers_of_the_initial_list_are_aged_by_the_wall_clock() {
        let mut times = with_clock_error(0);
        let age = times.clock.now() - times.initial_start_time(NOW_MS - 7_000);
        assert_eq!(age, 7_000_000);
        // The clock was stepped back: the server counts as just started, and ages from now on.
        let started = times.initial_start_time(NOW_MS + 3_600_000);
        advance(Duration::from_secs(2)).await;
        assert_eq!(times.clock.now() - started, 2_000_000);
        assert_eq!((times.initial_start_time(0), times.latest_start_time(0)), (0, 0));
    }

    #[tokio::test]
    async fn first_list_and_a_complete_one_that_replaces_it_are_initial() {
        let mut empty = with_clock_error(0);
        assert!(empty.is_initial_list(true, 0, 0) && empty.is_initial_list(true, 10, 10));
        assert!(!empty.is_initial_list(true, 10, 10));
        let mut current = with_clock_error(0);
        assert!(current.is_initial_list(true, 10, 10) && !current.is_initial_list(true, 10, 3));
        let mut changes = with_clock_error(0);
        assert!(changes.is_initial_list(true, 10, 10) && !changes.is_initial_list(false, 1, 1));
    }
}
