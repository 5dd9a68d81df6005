//! A tenant's requests a second: the generic cell rate algorithm (ITU-T I.371, annex A, in its virtual
//! scheduling form), which holds one time and no count.

/// Microseconds.
pub type Micros = u64;

/// What a node lets through of a tenant's quota.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Time between requests at the rate.
    interval: f64,
    /// How far requests may run ahead of the rate.
    ahead: f64,
    /// When the next request would be exactly at the rate.
    due: f64,
}

impl Quota {
    /// Requests that a tenant may send at once after a quiet time, in seconds of its rate.
    pub const BURST_S: f64 = 0.25;

    /// A quota of `per_s` over `nodes` nodes that share the traffic evenly; `None` where there is none.
    pub fn new(per_s: f64, nodes: u32) -> Option<Self> {
        let rate = per_s / f64::from(nodes.max(1));
        let real = rate.is_finite() && rate > 0.0;
        real.then(|| {
            let interval = 1e6 / rate;
            // One request at least may always come after a pause.
            Quota { interval, ahead: (Self::BURST_S * 1e6).max(interval), due: 0.0 }
        })
    }

    /// Takes a request at `now`, or tells when to come back.
    pub fn take(&mut self, now: Micros) -> Result<(), Micros> {
        let now = now as f64;
        let due = self.due.max(now);
        let early = due - now + self.interval - self.ahead;
        // A part of a microsecond is rounding.
        if early > 0.5 {
            return Err(early.ceil() as Micros);
        }
        self.due = due + self.interval;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn taken(quota: &mut Quota, from: Micros, until: Micros, every: Micros) -> usize {
        (from..until).step_by(every as usize).filter(|&now| quota.take(now).is_ok()).count()
    }

    #[test]
    fn a_flood_gets_the_rate_and_one_burst() {
        let mut quota = Quota::new(200.0, 1).unwrap();
        assert_eq!(taken(&mut quota, 0, 1_000_000, 250), 249);
        assert_eq!(taken(&mut quota, 1_000_000, 2_000_000, 250), 200);
        // A quiet second fills the burst, no more.
        assert_eq!(taken(&mut quota, 60_000_000, 60_000_050, 1), 50);
    }

    #[test]
    fn who_comes_back_when_told_is_taken() {
        let mut quota = Quota::new(10.0, 2).unwrap();
        assert_eq!(quota.take(0), Ok(()));
        let wait = quota.take(10).unwrap_err();
        assert!(quota.clone().take(10 + wait - 2).is_err());
        assert_eq!(quota.take(10 + wait), Ok(()));
    }

    #[test]
    fn no_quota_is_none() {
        assert!(Quota::new(0.0, 1).is_none() && Quota::new(f64::NAN, 1).is_none());
    }
}
