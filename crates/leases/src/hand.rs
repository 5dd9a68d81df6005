//! What a holder may act on of one whole: its safe part always, and the part that it was granted until its term ends.

use crate::whole::Micros;
use crate::Settings;

/// One whole's part at one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Hand {
    safe: u64,
    part: u64,
    until: Micros,
    /// The ask whose grant it is.
    taken: u64,
    /// Since when asks are not answered; 0 where they are.
    unanswered: Micros,
    /// Of a generous whole: how long the last part is kept, how long it then takes to come to the even part, and that.
    grace: Option<(Micros, Micros, u64)>,
}

impl Hand {
    /// The safe part from now on, and the even part of a generous whole.
    pub fn set(&mut self, safe: u64, even: Option<u64>, settings: &Settings) {
        self.safe = safe;
        self.grace = even.map(|even| (settings.keep, settings.decay, even));
    }

    /// The safe part.
    pub fn safe(&self) -> u64 {
        self.safe
    }

    /// When the grant ends.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// The ask whose grant was taken last; 0 for none.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Whether it asks and hears nothing.
    pub fn unanswered(&self) -> bool {
        self.unanswered > 0
    }

    /// All that may be acted on at a moment, in units.
    pub fn acts_on(&self, now: Micros) -> u64 {
        if now < self.until {
            return self.safe + self.part;
        }
        let (Some((keep, decay, even)), true) = (self.grace, self.unanswered > 0) else { return self.safe };
        let (last, even) = (self.safe + self.part, even.max(self.safe));
        let gone = now.saturating_sub(self.until.max(self.unanswered)).saturating_sub(keep).min(decay);
        let mix = u128::from(last) * u128::from(decay - gone) + u128::from(even) * u128::from(gone);
        (mix / u128::from(decay)) as u64
    }

    /// When [`Hand::acts_on`] may bend: between two of them it is level or a straight line.
    pub fn knees(&self) -> [Micros; 3] {
        let from = self.until.max(self.unanswered);
        let (keep, decay, _) = self.grace.unwrap_or_default();
        let kept = from.saturating_add(keep);
        [self.until, kept, kept.saturating_add(decay)]
    }

    /// What is acted on beyond the safe part.
    pub fn held(&self, now: Micros) -> u64 {
        self.acts_on(now) - self.safe
    }

    /// It asks, where asks to that grantor were not answered since then.
    pub fn ask(&mut self, now: Micros, silent: Micros) {
        if self.unanswered == 0 {
            self.unanswered = silent.max(1);
            if now >= self.until {
                self.part = 0;
            }
        }
    }

    /// Takes a grant, made for an ask that was sent then; `false` where it has taken a later one.
    pub fn take(&mut self, sent: Micros, seq: u64, part: u64, term: Micros) -> bool {
        if seq <= self.taken {
            return false;
        }
        (self.taken, self.part, self.until) = (seq, part, sent.saturating_add(term));
        self.unanswered = 0;
        true
    }

    /// Gives back all but so much.
    pub fn lower(&mut self, to: u64) {
        self.part = self.part.min(to);
    }

    /// It wants nothing more and has given all back.
    pub fn rest(&mut self) {
        (self.part, self.unanswered) = (0, 0);
    }
}
