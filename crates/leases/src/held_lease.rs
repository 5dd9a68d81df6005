//! The units that a holder may use of one resource: its safe share at all times, and the granted share until
//! its term ends.

use crate::resource::Micros;
use crate::LeaseSettings;

/// One resource's lease at one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeldLease {
    safe_units: u64,
    share: u64,
    expires_at: Micros,
    /// Sequence number of the request whose grant it holds.
    granted_seq: u64,
    /// Time since which its requests are without a response; 0 if they have one.
    unanswered_since: Micros,
    /// For a generous resource: how long the last share is kept, how long it then takes to move to the even
    /// share, and the even share.
    generous: Option<(Micros, Micros, u64)>,
}

impl HeldLease {
    /// Sets the safe share, and the even share of a generous resource.
    pub fn set_safe(&mut self, safe_units: u64, even: Option<u64>, settings: &LeaseSettings) {
        self.safe_units = safe_units;
        self.generous = even.map(|even| (settings.keep, settings.decay, even));
    }

    /// The safe share, in units.
    pub fn safe_units(&self) -> u64 {
        self.safe_units
    }

    /// Returns the time at which the grant ends.
    pub fn expires_at(&self) -> Micros {
        self.expires_at
    }

    /// Sequence number of the request whose grant was accepted last; 0 for none.
    pub fn granted_seq(&self) -> u64 {
        self.granted_seq
    }

    /// Returns whether its requests are without a response.
    pub fn is_unanswered(&self) -> bool {
        self.unanswered_since > 0
    }

    /// All units that may be used at a time.
    pub fn usable_units(&self, now: Micros) -> u64 {
        if now < self.expires_at {
            return self.safe_units + self.share;
        }
        let (Some((keep, decay, even)), true) = (self.generous, self.unanswered_since > 0) else {
            return self.safe_units;
        };
        let (last, even) = (self.safe_units + self.share, even.max(self.safe_units));
        let elapsed =
            now.saturating_sub(self.expires_at.max(self.unanswered_since)).saturating_sub(keep).min(decay);
        let mix = u128::from(last) * u128::from(decay - elapsed) + u128::from(even) * u128::from(elapsed);
        (mix / u128::from(decay)) as u64
    }

    /// Times at which the slope of [`HeldLease::usable_units`] may change: between two of them it is constant
    /// or a straight line.
    pub fn breakpoints(&self) -> [Micros; 3] {
        let from = self.expires_at.max(self.unanswered_since);
        let (keep, decay, _) = self.generous.unwrap_or_default();
        let kept = from.saturating_add(keep);
        [self.expires_at, kept, kept.saturating_add(decay)]
    }

    /// Units that may be used beyond the safe share.
    pub fn held(&self, now: Micros) -> u64 {
        self.usable_units(now) - self.safe_units
    }

    /// Records that a request is sent to a grantor that has not responded since `silent_since`.
    pub fn record_request(&mut self, now: Micros, silent_since: Micros) {
        if self.unanswered_since == 0 {
            self.unanswered_since = silent_since.max(1);
            if now >= self.expires_at {
                self.share = 0;
            }
        }
    }

    /// Accepts the grant for a request sent at `sent`; `false` where a later grant was accepted.
    pub fn accept_grant(&mut self, sent: Micros, seq: u64, share: u64, term: Micros) -> bool {
        if seq <= self.granted_seq {
            return false;
        }
        (self.granted_seq, self.share, self.expires_at) = (seq, share, sent.saturating_add(term));
        self.unanswered_since = 0;
        true
    }

    /// Returns all granted units beyond `max`.
    pub fn reduce_to(&mut self, max: u64) {
        self.share = self.share.min(max);
    }

    /// Returns all granted units, where nothing more is wanted.
    pub fn release(&mut self) {
        (self.share, self.unanswered_since) = (0, 0);
    }
}
