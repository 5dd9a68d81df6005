//! Learned limit on the number of requests that a pool handles at a time.
//!
//! The limit follows additive increase, multiplicative decrease (Chiu and Jain 1989), in rounds of about one
//! response time. Signs of overload are refusals by the pool, timeouts, and responses that take a multiple of
//! the time that they take while half of the limit is free. Each sign counts by its fraction of a round and
//! by where it occurs: timeouts and slow responses at less than half of the servers are faults of those
//! servers, which the pool's balancer handles, and do not reduce the limit.

use crate::Micros;

/// Limit before anything is known of the pool.
pub const INITIAL_LIMIT: f64 = 16.0;
/// A decrease leaves at least this fraction of the concurrency that the pool has served lately (its best
/// rate, see [`BEST_RATE_DECAY`], times the baseline response time: the bandwidth-delay product, as in BBR,
/// Cardwell and others 2016). Refusals below that have another cause, and a lower limit would only serve
/// less.
pub const FLOOR_RATIO: f64 = 0.8;
/// Factor by which each count decays the best rate; it halves in about 14 s.
pub const BEST_RATE_DECAY: f64 = 0.99;
/// Minimum limit. With a limit of 0 no request would be sent and nothing could be learned.
pub const MIN_LIMIT: f64 = 1.0;
/// Multiple of the baseline response time above which responses are a sign of overload.
pub const SLOW_MULTIPLE: f64 = 2.5;
/// Multiple of the baseline response time that ends the initial doubling of the limit: the queues of the
/// servers fill long before they refuse requests (HyStart, Ha and Rhee 2008).
pub const QUEUEING_MULTIPLE: f64 = 1.5;
/// Fraction of a round's requests that the pool refused above which the round counts as overloaded.
pub const MAX_REFUSED_RATIO: f64 = 0.02;
/// Fraction of a round's requests that timed out above which the round counts as overloaded.
pub const MAX_TIMED_OUT_RATIO: f64 = 0.2;
/// Factor by which an overloaded round reduces the limit.
pub const DECREASE_FACTOR: f64 = 0.9;
/// Increase of the limit after a good round that used it: a fraction of the limit, and a minimum in requests.
/// Before the first overload, the limit doubles instead.
pub const INCREASE: (f64, f64) = (0.005, 0.1);
/// Factor by which each further good round in a row multiplies the increase, and the maximum increase as a
/// fraction of the limit. Without it, a limit that was reduced while the pool was in slow start would take
/// seconds to recover.
pub const INCREASE_GROWTH: (f64, f64) = (1.25, 0.05);
/// Bounds of a round's duration. A round takes as long as a response, and continues until the requests that
/// ended are a quarter of the limit.
pub const ROUND_BOUNDS: (Micros, Micros) = (10_000, 500_000);
/// Minimum fraction of the limit that has to be in use for a good round to raise it.
pub const MIN_UTILIZATION: f64 = 0.8;
/// Weight of a new response in the baseline response time. The baseline is learned from responses received
/// while half of the limit is free; otherwise a pool that is full all day would come to count its queueing
/// time as normal.
const BASELINE_SMOOTHING: f64 = 0.05;
/// Number of rounds in a row whose decreases did not make responses faster after which another cause is
/// assumed. The baseline response time is then multiplied by [`BASELINE_RAISE`] each round instead of a
/// decrease.
const MAX_INEFFECTIVE_ROUNDS: u32 = 20;
/// Factor that raises the baseline response time; see [`MAX_INEFFECTIVE_ROUNDS`].
const BASELINE_RAISE: f64 = 1.1;
/// Number of tallies that distinguish servers. Two servers that share a tally count as one.
pub const SERVER_TALLIES: usize = 64;
/// Interval at which the rate of served requests is computed.
const RATE_INTERVAL: Micros = 200_000;

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered by a server.
    Served,
    /// The pool had no capacity for it.
    Refused,
    /// Its deadline passed.
    TimedOut,
    /// Ended in another way, which says nothing about the pool's capacity.
    Other,
}

/// Requests that ended at one server in the current round.
#[derive(Clone, Copy, Debug, Default)]
struct ServerTally {
    ended: u32,
    timed_out: u32,
    served: u32,
    /// Sum of the response times of served requests, in microseconds.
    total_time: f64,
}

/// Concurrency limit of one pool.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    in_flight: u32,
    /// Baseline response time, measured while there is free capacity, in microseconds; 0 before the first
    /// answer.
    baseline: f64,
    /// Moving average of the current response time, in microseconds.
    recent: f64,
    /// Moving average of requests served per second, and the time at which it was last computed.
    rate: f64,
    rate_counted_at: Micros,
    served: u32,
    /// Best recent rate, decaying.
    best_rate: f64,
    /// Start of the current round, and the requests that ended and were refused in it.
    round_start: Micros,
    ended: u32,
    refused: u32,
    /// Tallies of the current round by server; 1.5 KiB.
    tallies: [ServerTally; SERVER_TALLIES],
    /// Highest number of requests in flight in the current round, and the utilization of the round before.
    peak: u32,
    previous_utilization: f64,
    /// Number of rounds in a row with slow responses.
    ineffective_rounds: u32,
    /// Whether the pool was ever overloaded; the limit doubles before that.
    has_met_limit: bool,
    /// Multiple of [`INCREASE`] by which the next good round raises the limit.
    increase_multiple: f64,
}

impl ConcurrencyLimit {
    /// Creates the limit of a pool of which nothing is known; the limit never exceeds `max`.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max.max(1));
        ConcurrencyLimit {
            limit: INITIAL_LIMIT.min(max),
            max,
            in_flight: 0,
            baseline: 0.0,
            recent: 0.0,
            rate: 0.0,
            rate_counted_at: 0,
            served: 0,
            best_rate: 0.0,
            round_start: 0,
            ended: 0,
            refused: 0,
            tallies: [ServerTally::default(); SERVER_TALLIES],
            peak: 0,
            previous_utilization: 0.0,
            ineffective_rounds: 0,
            has_met_limit: false,
            increase_multiple: 1.0,
        }
    }

    /// Sets the maximum that the limit never exceeds.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max.max(1));
        self.limit = self.limit.min(self.max);
    }

    /// Returns the limit as a whole number of requests.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether one more request may be sent.
    pub fn has_capacity(&self) -> bool {
        self.in_flight < self.limit()
    }

    /// Returns the recent rate of served requests per second, estimated from response times until enough
    /// requests are counted. 0 while nothing is known.
    pub fn rate(&self) -> f64 {
        match self.rate {
            rate if rate > 0.0 => rate,
            _ if self.recent > 0.0 => self.limit * 1e6 / self.recent,
            _ => 0.0,
        }
    }

    /// Returns the recent response time of the pool, in microseconds.
    pub fn response_time(&self) -> Micros {
        self.recent as Micros
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self) {
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
    }

    /// Records that a request ended after the time `took`. `server` is the server that ended it, if any.
    pub fn record_end(&mut self, now: Micros, outcome: RequestOutcome, took: Micros, server: Option<u64>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.ended += u32::from(outcome != RequestOutcome::Other);
        self.refused += u32::from(outcome == RequestOutcome::Refused);
        // Requests that ended at no server are counted as those of one more server.
        let tally = &mut self.tallies[server.map_or(0, |server| 1 + server as usize % (SERVER_TALLIES - 1))];
        tally.ended += u32::from(outcome != RequestOutcome::Other);
        tally.timed_out += u32::from(outcome == RequestOutcome::TimedOut);
        if outcome == RequestOutcome::Served {
            tally.served += 1;
            tally.total_time += took as f64;
            self.count_served(now);
            let took = (took as f64).max(1.0);
            if self.baseline == 0.0 {
                (self.baseline, self.recent) = (took, took);
            }
            self.recent += 0.1 * (took - self.recent);
            if self.recent < self.baseline || self.utilization() < 0.5 {
                self.baseline += BASELINE_SMOOTHING * (self.recent - self.baseline);
            }
        }
        let span = (self.recent as Micros).clamp(ROUND_BOUNDS.0, ROUND_BOUNDS.1);
        if now.saturating_sub(self.round_start) >= span
            && f64::from(self.ended) >= (self.limit / 4.0).max(1.0)
        {
            self.finish_round();
            self.round_start = now;
        }
    }

    /// Returns the fraction of the limit that was in use in the current round, in whole requests: a limit of
    /// 1.9 is fully used by one.
    fn round_utilization(&self) -> f64 {
        f64::from(self.peak) / f64::from(self.limit().max(1))
    }

    /// Returns the fraction of the limit that was in use in the current round or the one before.
    fn utilization(&self) -> f64 {
        self.round_utilization().max(self.previous_utilization)
    }

    /// Returns whether at least half of the servers that were active in the round are affected.
    fn is_fleet_wide(&self, is_affected: impl Fn(&ServerTally) -> bool) -> bool {
        let active = self.tallies.iter().filter(|tally| tally.ended > 0);
        let (total, affected) = active
            .fold((0, 0), |(total, affected), tally| (total + 1, affected + usize::from(is_affected(tally))));
        2 * affected >= total
    }

    /// Ends the round and adjusts the limit.
    fn finish_round(&mut self) {
        let ratio = |count: u32| f64::from(count) / f64::from(self.ended.max(1));
        let baseline = self.baseline;
        let slow = self.recent > SLOW_MULTIPLE * baseline
            && self
                .is_fleet_wide(|tally| tally.total_time > SLOW_MULTIPLE * baseline * f64::from(tally.served));
        let timed_out =
            |tally: &ServerTally| f64::from(tally.timed_out) > MAX_TIMED_OUT_RATIO * f64::from(tally.ended);
        let timed_out = ratio(self.tallies.iter().map(|tally| tally.timed_out).sum()) > MAX_TIMED_OUT_RATIO
            && self.is_fleet_wide(timed_out);
        let utilization = self.utilization();
        let current_utilization = self.round_utilization();
        self.ineffective_rounds = if slow { self.ineffective_rounds + 1 } else { self.ineffective_rounds };
        if slow && self.ineffective_rounds > MAX_INEFFECTIVE_ROUNDS {
            self.baseline *= BASELINE_RAISE;
        } else if slow || ratio(self.refused) > MAX_REFUSED_RATIO || timed_out {
            let floor = FLOOR_RATIO * self.best_rate * self.baseline / 1e6;
            self.limit = (self.limit * DECREASE_FACTOR).max(floor.min(self.limit)).max(MIN_LIMIT);
            self.has_met_limit = true;
            self.increase_multiple = 1.0;
        } else {
            // After ineffective decreases the limit doubles again, as at the start.
            self.has_met_limit &= self.ineffective_rounds <= MAX_INEFFECTIVE_ROUNDS;
            self.ineffective_rounds = 0;
            self.has_met_limit |= self.recent > QUEUEING_MULTIPLE * self.baseline;
            if utilization >= MIN_UTILIZATION {
                let increase = INCREASE.1.max(self.limit * INCREASE.0) * self.increase_multiple;
                let increase = if self.has_met_limit {
                    increase.min(self.limit * INCREASE_GROWTH.1)
                } else {
                    self.limit
                };
                self.limit = (self.limit + increase).min(self.max);
                self.increase_multiple = (self.increase_multiple * INCREASE_GROWTH.0).min(1.0 / INCREASE.0);
            }
        }
        (self.peak, self.previous_utilization) = (self.in_flight, current_utilization);
        (self.ended, self.refused) = (0, 0);
        self.tallies = [ServerTally::default(); SERVER_TALLIES];
    }

    fn count_served(&mut self, now: Micros) {
        self.served += 1;
        if self.rate_counted_at == 0 {
            (self.rate_counted_at, self.served) = (now.max(1), 0);
            return;
        }
        let span = now.saturating_sub(self.rate_counted_at);
        if span >= RATE_INTERVAL {
            let rate = f64::from(self.served) * 1e6 / span as f64;
            // A rate computed before an idle time is discarded.
            let ratio = if self.rate == 0.0 || span > 5 * RATE_INTERVAL { 1.0 } else { 0.5 };
            self.rate += ratio * (rate - self.rate);
            self.best_rate = (self.best_rate * BEST_RATE_DECAY).max(self.rate);
            (self.rate_counted_at, self.served) = (now, 0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Simulates a pool that serves `capacity` requests at a time in 10 ms and delays those beyond that.
    fn run_rounds(concurrency: &mut ConcurrencyLimit, capacity: u32, rounds: u64, start: Micros) -> u32 {
        let mut now = start;
        for _ in 0..rounds {
            while concurrency.has_capacity() {
                concurrency.record_start();
            }
            let in_flight = concurrency.in_flight();
            now += 10_000 * u64::from(in_flight.max(capacity)) / u64::from(capacity);
            for _ in 0..in_flight {
                concurrency.record_end(
                    now,
                    RequestOutcome::Served,
                    10_000 * u64::from(in_flight.max(capacity)) / u64::from(capacity),
                    None,
                );
            }
        }
        concurrency.limit()
    }

    #[test]
    fn limit_follows_the_capacity_of_the_pool() {
        let mut concurrency = ConcurrencyLimit::new(10_000);
        let found = run_rounds(&mut concurrency, 100, 400, 1);
        assert!((90..=300).contains(&found), "{found}");
        let rate = concurrency.rate();
        assert!((8_000.0..12_000.0).contains(&rate), "{rate}");
        // Half of the servers are removed.
        let fewer = run_rounds(&mut concurrency, 50, 400, 100_000_000);
        assert!((45..=150).contains(&fewer), "{fewer}");
    }

    // A pool in slow start refuses most requests for a moment and the limit falls to a low value. Once the
    // pool is warm, the limit must recover within a second.
    #[test]
    fn limit_reduced_during_slow_start_recovers_soon() {
        let mut concurrency = ConcurrencyLimit::new(10_000);
        let mut now = 1;
        for _ in 0..40 {
            while concurrency.has_capacity() {
                concurrency.record_start();
            }
            now += 10_000;
            for n in 0..concurrency.in_flight() {
                concurrency.record_end(
                    now,
                    if n % 2 == 0 { RequestOutcome::Refused } else { RequestOutcome::Served },
                    10_000,
                    None,
                );
            }
        }
        assert!(concurrency.limit() < 20, "{}", concurrency.limit());
        let found = run_rounds(&mut concurrency, 100, 100, now);
        assert!(found >= 90, "{found}");
    }

    // A new pool whose servers queue the requests that they cannot run at once: the doubling must end before
    // the queues are long.
    #[test]
    fn doubling_ends_when_responses_become_slower() {
        let mut concurrency = ConcurrencyLimit::new(10_000);
        let (mut now, mut max_limit) = (1, 0);
        for _ in 0..200 {
            while concurrency.has_capacity() {
                concurrency.record_start();
            }
            // Each further 20 requests take 10 ms more.
            for n in 0..u64::from(concurrency.in_flight()) {
                let took = 10_000 * (1 + n / 20);
                concurrency.record_end(now + took, RequestOutcome::Served, took, None);
            }
            now += 10_000 * (1 + u64::from(concurrency.in_flight()) / 20);
            max_limit = max_limit.max(concurrency.limit());
        }
        assert!((20..=200).contains(&max_limit), "{max_limit}");
    }

    // Requests become ten times heavier at any concurrency: the limit falls and must rise again.
    #[test]
    fn limit_recovers_when_requests_become_heavier() {
        let mut concurrency = ConcurrencyLimit::new(10_000);
        run_rounds(&mut concurrency, 100, 400, 1);
        let mut now = 100_000_000;
        for _ in 0..300 {
            while concurrency.has_capacity() && concurrency.in_flight() < 100 {
                concurrency.record_start();
            }
            now += 100_000;
            for _ in 0..concurrency.in_flight() {
                concurrency.record_end(now, RequestOutcome::Served, 100_000, None);
            }
        }
        assert!(concurrency.limit() >= 90, "{}", concurrency.limit());
    }

    #[test]
    fn single_failures_do_not_reduce_the_limit_much() {
        let mut concurrency = ConcurrencyLimit::new(10_000);
        let initial_limit = run_rounds(&mut concurrency, 100, 400, 1);
        concurrency.record_start();
        concurrency.record_end(200_000_000, RequestOutcome::TimedOut, 1_000_000, None);
        assert!(concurrency.limit() >= initial_limit);
        // A moment in which all requests are refused reduces the limit by one decrease only.
        for _ in 0..1_000 {
            concurrency.record_start();
            concurrency.record_end(200_000_001, RequestOutcome::Refused, 100, None);
        }
        assert!(
            f64::from(concurrency.limit()) >= f64::from(initial_limit) * DECREASE_FACTOR - 1.0,
            "{}",
            concurrency.limit()
        );
        // One of ten servers hangs: its requests time out, and the others respond as before.
        let mut now = 300_000_000;
        for _ in 0..1_000 {
            while concurrency.in_flight() < 80 && concurrency.has_capacity() {
                concurrency.record_start();
            }
            now += 10_000;
            for n in 0..concurrency.in_flight() {
                concurrency.record_end(
                    now,
                    if n % 10 == 0 { RequestOutcome::TimedOut } else { RequestOutcome::Served },
                    10_000,
                    None,
                );
            }
        }
        assert!(concurrency.limit() >= 80, "{}", concurrency.limit());
    }

    // The pool refuses a fraction of the requests at any concurrency: the limit must not fall because of
    // that.
    #[test]
    fn refusals_independent_of_load_keep_the_served_concurrency() {
        let mut concurrency = ConcurrencyLimit::new(10_000);
        run_rounds(&mut concurrency, 100, 400, 1);
        let mut now = 100_000_000;
        for _ in 0..200 {
            while concurrency.has_capacity() && concurrency.in_flight() < 100 {
                concurrency.record_start();
            }
            now += 10_000;
            for n in 0..concurrency.in_flight() {
                concurrency.record_end(
                    now,
                    if n % 3 == 0 { RequestOutcome::Refused } else { RequestOutcome::Served },
                    10_000,
                    None,
                );
            }
        }
        assert!(concurrency.limit() >= 50, "{}", concurrency.limit());
    }

    // One of three servers hangs or becomes slow, so a third of all requests are affected. The limit must
    // stay, as the balancer avoids that server. With two of three servers affected, the limit must fall.
    #[test]
    fn fault_of_a_single_server_keeps_the_limit() {
        // Lowest ratio of the limit to its initial value.
        let lowest_limit_ratio =
            |affected: u64, outcome: RequestOutcome, took: Micros, server_known: bool| {
                let mut concurrency = ConcurrencyLimit::new(10_000);
                let initial_limit = f64::from(run_rounds(&mut concurrency, 100, 400, 1));
                let (mut now, mut min_ratio) = (100_000_000, 1.0f64);
                for _ in 0..100 {
                    while concurrency.has_capacity() {
                        concurrency.record_start();
                    }
                    now += 10_000;
                    for n in 0..u64::from(concurrency.in_flight()) {
                        let server = server_known.then_some(n % 3);
                        match n % 3 < affected {
                            true => concurrency.record_end(now, outcome, took, server),
                            false => concurrency.record_end(now, RequestOutcome::Served, 10_000, server),
                        }
                    }
                    min_ratio = min_ratio.min(f64::from(concurrency.limit()) / initial_limit);
                }
                min_ratio
            };
        for (outcome, took) in [(RequestOutcome::TimedOut, 1_000_000), (RequestOutcome::Served, 100_000)] {
            let (one, two) =
                (lowest_limit_ratio(1, outcome, took, true), lowest_limit_ratio(2, outcome, took, true));
            assert!(one > 0.89 && two < 0.85, "{outcome:?}: {one} {two}");
            // If the servers are unknown, the limit falls as for a fleet-wide fault.
            assert!(
                lowest_limit_ratio(1, outcome, took, false) < 0.85,
                "{outcome:?}: {}",
                lowest_limit_ratio(1, outcome, took, false)
            );
        }
    }

    #[test]
    fn limit_is_never_below_one() {
        let mut concurrency = ConcurrencyLimit::new(4);
        for n in 0..1_000 {
            concurrency.record_start();
            concurrency.record_end(n * ROUND_BOUNDS.1, RequestOutcome::Refused, 100, None);
        }
        assert_eq!((concurrency.limit(), concurrency.has_capacity()), (1, true));
        // The number of requests in flight never falls below 0, and a clock that goes back counts as standing
        // still.
        concurrency.record_end(0, RequestOutcome::Served, 0, None);
        concurrency.record_end(u64::MAX, RequestOutcome::Served, u64::MAX, None);
        assert_eq!(concurrency.in_flight(), 0);
        assert!(concurrency.rate().is_finite() && (1..=4).contains(&concurrency.limit()));
    }
}
