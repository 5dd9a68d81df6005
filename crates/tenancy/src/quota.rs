//! Limits a tenant's requests a second by the generic cell rate algorithm (ITU-T I.371, annex A, in its
//! virtual scheduling form), which stores one time and no count.

/// Microseconds.
pub type Micros = u64;

/// A node's share of a tenant's quota.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Time between two requests at the rate, in microseconds.
    interval: f64,
    /// Time by which requests may run ahead of the rate, in microseconds.
    burst: f64,
    /// Time at which the next request would be exactly at the rate, in microseconds.
    due: f64,
}

impl Quota {
    /// Burst after an idle time, in seconds of the rate.
    pub const BURST_S: f64 = 0.25;

    /// The share of one of `nodes` nodes, with traffic spread evenly, of a quota of `per_s` requests a
    /// second; `None` without a quota.
    pub fn new(per_s: f64, nodes: u32) -> Option<Self> {
        let rate = per_s / f64::from(nodes.max(1));
        let is_valid = rate.is_finite() && rate > 0.0;
        is_valid.then(|| {
            let interval = 1e6 / rate;
            // At least one request is always allowed after a pause.
            Quota { interval, burst: (Self::BURST_S * 1e6).max(interval), due: 0.0 }
        })
    }

    /// The quota that remains at `now`.
    pub fn remaining(&self, now: Micros) -> RemainingQuota {
        let debt = (self.due - now as f64).max(0.0);
        // Requests in a window of whole seconds; a rate below one a second has a longer window, so that it
        // holds one request.
        let window = (self.interval / 1e6).ceil().max(1.0);
        let quota = (window * 1e6 / self.interval).floor().max(1.0);
        let requests = ((self.burst - debt + 0.5) / self.interval).floor().clamp(0.0, quota);
        // With no request left, the time until one more may come; otherwise the time until the burst is full.
        let until = if requests < 1.0 { debt + self.interval - self.burst } else { debt };
        RemainingQuota {
            quota: quota as u64,
            window_s: window as u64,
            requests: requests as u64,
            reset_s: (until.max(0.0) / 1e6).ceil() as u64,
        }
    }

    /// Admits a request at `now`, or returns the microseconds until one may come.
    pub fn try_acquire(&mut self, now: Micros) -> Result<(), Micros> {
        let now = now as f64;
        let due = self.due.max(now);
        let wait = due - now + self.interval - self.burst;
        // A fraction of a microsecond is a rounding error.
        if wait > 0.5 {
            return Err(wait.ceil() as Micros);
        }
        self.due = due + self.interval;
        Ok(())
    }
}

/// The remaining quota in whole numbers, as the fields `RateLimit-Policy` and `RateLimit` report it
/// (draft-ietf-httpapi-ratelimit-headers-10, sections 3 and 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingQuota {
    /// Requests that are allowed in a window.
    pub quota: u64,
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// Requests that may come at once.
    pub requests: u64,
    /// Seconds until the burst is full, or until one more request may come if none may now; rounded up.
    pub reset_s: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn admitted(quota: &mut Quota, from: Micros, until: Micros, every: Micros) -> usize {
        (from..until).step_by(every as usize).filter(|&now| quota.try_acquire(now).is_ok()).count()
    }

    #[test]
    fn flood_of_requests_gets_the_rate_and_one_burst() {
        let mut quota = Quota::new(200.0, 1).unwrap();
        assert_eq!(admitted(&mut quota, 0, 1_000_000, 250), 249);
        assert_eq!(admitted(&mut quota, 1_000_000, 2_000_000, 250), 200);
        // A quiet second fills the burst and no more.
        assert_eq!(admitted(&mut quota, 60_000_000, 60_000_050, 1), 50);
    }

    #[test]
    fn request_after_the_returned_wait_is_admitted() {
        let mut quota = Quota::new(10.0, 2).unwrap();
        assert_eq!(quota.try_acquire(0), Ok(()));
        let wait = quota.try_acquire(10).unwrap_err();
        assert!(quota.clone().try_acquire(10 + wait - 2).is_err());
        assert_eq!(quota.try_acquire(10 + wait), Ok(()));
    }

    #[test]
    fn remaining_requests_equal_those_that_are_admitted() {
        for per_s in [0.3, 1.0, 7.5, 200.0] {
            let mut quota = Quota::new(per_s, 1).unwrap();
            for now in (0..20_000_000u64).step_by(70_000) {
                let remaining = quota.remaining(now);
                let mut probe = quota.clone();
                let admitted = (0..1_000).take_while(|_| probe.try_acquire(now).is_ok()).count() as u64;
                assert_eq!(
                    remaining.requests,
                    admitted.min(remaining.quota),
                    "{per_s} at {now}: {remaining:?}"
                );
                if admitted == 0 {
                    assert!(
                        quota.clone().try_acquire(now + remaining.reset_s * 1_000_000).is_ok(),
                        "{remaining:?}"
                    );
                }
                let _ = quota.try_acquire(now);
            }
        }
        let remaining_of = |per_s| Quota::new(per_s, 1).unwrap().remaining(0);
        assert_eq!((remaining_of(0.3).quota, remaining_of(0.3).window_s), (1, 4));
        assert_eq!(remaining_of(200.0), RemainingQuota { quota: 200, window_s: 1, requests: 50, reset_s: 0 });
    }

    #[test]
    fn zero_or_invalid_rate_gives_no_quota() {
        assert!(Quota::new(0.0, 1).is_none() && Quota::new(f64::NAN, 1).is_none());
    }
}
