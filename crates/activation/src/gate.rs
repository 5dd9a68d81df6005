//! The look at numbers by which a request is taken and by which each of its attempts is sent.

use crate::board::Decision;
use crate::clock::{Clock, Micros, Now};
use crate::Limits;

/// By what requests are answered at a moment. Versions go by their decisions' fences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Serving {
    /// By this one.
    By(u64),
    /// By none. In doubt, a decision may have been made that this node can't see; else the moment is near, or the
    /// clock can't tell whether it is.
    Between {
        /// Which of the two.
        doubt: bool,
    },
}

/// How a request was taken; it stays so for all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Taken {
    /// By the version of this decision.
    pub fence: u64,
    /// The attempt whose version treats it alike; 0 for none.
    pub alike: u64,
    /// In doubt, by its tenant's word.
    pub choice: bool,
    /// When, by the node's own count.
    pub at: Micros,
}

/// Which of a request's attempts is about to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sending {
    /// Nothing of it has been sent.
    First,
    /// An earlier one was; this is one more, before the request's deadline by the node's own count.
    Again {
        /// When it is over.
        deadline: Micros,
    },
}

/// What the turn that writes has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum May {
    /// Write.
    Go,
    /// Not by this version any more, and nothing was sent: give it in again as a new request.
    Retake,
    /// No further attempt: its deadline is over, or the node slept over the end of its version.
    Never,
}

/// A node's numbers. Whoever writes uses the last ones that the node gave out, and the node gives them out before it
/// carries out the actions of the same event: a promise binds before its word is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    /// It has its seat.
    pub seated: bool,
    /// When it last heard the service or most of the roster, by its own count.
    pub heard: Micros,
    /// Without either for longer, its end may be proven: its seat counts no more.
    pub alone: Micros,
    /// What is served, if its tables are here; 0 for nothing.
    pub current: u64,
    /// It is served before then; `u64::MAX` while nothing is promised.
    pub until: Micros,
    /// What comes next: promised or decided; 0 for nothing.
    pub next: u64,
    /// From then on; `u64::MAX` while it is not decided.
    pub from: Micros,
    /// The widest interval that is believed.
    pub widest: Micros,
    /// The last turn, by the node's own count.
    pub turned: Micros,
    /// When it last woke from a sleep.
    pub woke: Micros,
    /// A longer time between two turns was a sleep.
    pub longest_turn: Micros,
}

impl Gate {
    /// What is served now. The old one while the latest that it may be is before `until`, the new one once the earliest
    /// is at `from` or after it; as every `until` is at or before the moment and both intervals hold the true time, no
    /// old answer anywhere follows a new one.
    pub fn look(&self, now: Now) -> Serving {
        if !self.has_seat(now.local) {
            return Serving::Between { doubt: true };
        }
        let doubt = self.next != 0 && self.from == Micros::MAX;
        if self.next == 0 {
            return match self.current {
                0 => Serving::Between { doubt: false },
                current => Serving::By(current),
            };
        }
        match now.clock.within(self.widest) {
            Some((earliest, _)) if self.from != Micros::MAX && earliest >= self.from => {
                Serving::By(self.next)
            }
            Some((_, latest)) if latest < self.until && self.current != 0 => Serving::By(self.current),
            _ => Serving::Between { doubt },
        }
    }

    /// Whether an attempt may be written; asked in the turn that writes, with the clocks of that turn.
    pub fn may_send(&self, taken: &Taken, sending: Sending, now: Now) -> May {
        let served = match self.look(now) {
            Serving::By(fence) => fence == taken.fence || (taken.alike != 0 && fence == taken.alike),
            Serving::Between { doubt } => {
                let alike = taken.alike != 0 && taken.alike == self.next && self.has_seat(now.local);
                taken.fence == self.current && (alike || (taken.choice && doubt))
            }
        };
        match sending {
            _ if served => May::Go,
            Sending::First => May::Retake,
            Sending::Again { deadline } if self.slept(taken, now.local) || now.local >= deadline => {
                May::Never
            }
            Sending::Again { .. } => May::Go,
        }
    }

    pub(crate) fn has_seat(&self, local: Micros) -> bool {
        self.seated && local.saturating_sub(self.heard) <= self.alone
    }

    /// Whether the node slept since a request was taken: also where the turn that writes is the first one since.
    fn slept(&self, taken: &Taken, local: Micros) -> bool {
        taken.at < self.woke || local.saturating_sub(self.turned) > self.longest_turn
    }
}

/// Servers that a switch drops or drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bar {
    /// The decision that drops them.
    pub fence: u64,
    /// Its moment.
    pub moment: Micros,
    /// How long after it they may get anything.
    pub drain: Micros,
}

impl Bar {
    /// Of the servers that a switch drops.
    pub fn of(decision: &Decision, limits: &Limits) -> Bar {
        Bar { fence: decision.fence, moment: decision.moment, drain: limits.drain }
    }

    /// Whether such a server is barred to an attempt of a request. By the new version at once; by the old one, for the
    /// attempts of requests that were under way, from the earliest that `moment + drain` may be. Who can't tell the time
    /// sends nothing there.
    pub fn barred(&self, taken: &Taken, clock: Clock, widest: Micros) -> bool {
        let end = self.moment.saturating_add(self.drain);
        taken.fence >= self.fence || clock.within(widest).is_none_or(|(_, latest)| latest >= end)
    }
}
