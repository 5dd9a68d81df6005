//! Requests while a version ends: taken, held for milliseconds, or refused.

use crate::board::Decision;
use crate::clock::{Clock, Micros, Now};
use crate::event::Action;
use crate::gate::{Gate, Serving, Taken};
use crate::node::Node;
use crate::version::{alike, in_doubt, Belongs, Doubt, Parts, Version};
use crate::Trouble;

impl Node {
    /// The numbers by which requests are taken and sent.
    pub fn gate(&self) -> Gate {
        let here = |version: &Version| self.built.contains_key(version);
        let current =
            self.served.as_ref().filter(|served| here(&served.version)).map_or(0, |served| served.fence);
        let known = |next: &Decision| next.after == self.served.as_ref().map_or(0, |served| served.fence);
        let (until, from) = match (&self.next, &self.promise) {
            (Some(next), _) if !known(next) => (0, next.moment),
            (Some(next), _) => (next.moment, next.moment),
            (None, Some(promise)) => (promise.floor, Micros::MAX),
            (None, None) => (Micros::MAX, Micros::MAX),
        };
        // Decided and not built here: it is waited for, as before the moment.
        let from =
            if self.next.as_ref().is_some_and(|next| !here(&next.version)) { Micros::MAX - 1 } else { from };
        Gate {
            seated: self.seated,
            heard: self.heard,
            alone: self.limits.alone,
            current,
            until,
            next: self.coming().map_or(0, |(fence, _)| fence),
            from,
            widest: self.widest(),
            turned: self.turned,
            woke: self.woke,
            longest_turn: self.limits.longest_turn,
        }
    }

    pub(crate) fn request(&mut self, id: u64, belongs: Belongs, now: Now, out: &mut Vec<Action>) {
        if let Some(taken) = self.course(&belongs, now) {
            return self.take(id, taken, out);
        }
        let since = *self.gap.get_or_insert(now.local);
        let late = now.local.saturating_sub(since) >= self.limits.hold_for;
        if late || self.held.len() >= self.limits.most_held {
            return out.push(Action::Refuse(id, self.trouble(now.clock), self.back_after(now.clock)));
        }
        self.held.push_back((id, belongs));
        out.push(Action::Hold(id));
    }

    /// Takes those that waited once there is a version for them, and refuses them once they waited long enough.
    pub(crate) fn release(&mut self, now: Now, out: &mut Vec<Action>) {
        let serves = matches!(self.gate().look(now), Serving::By(_));
        let late = self.gap.is_some_and(|since| now.local.saturating_sub(since) >= self.limits.hold_for);
        if serves {
            self.gap = None;
        }
        if !serves && !late {
            return;
        }
        for (id, belongs) in std::mem::take(&mut self.held) {
            match self.course(&belongs, now) {
                Some(taken) => self.take(id, taken, out),
                None => out.push(Action::Refuse(id, self.trouble(now.clock), self.back_after(now.clock))),
            }
        }
    }

    fn take(&mut self, id: u64, taken: Taken, out: &mut Vec<Action>) {
        self.count(taken);
        out.push(Action::Take(id, taken));
    }

    /// One that the gate's look took by itself, or that was given out here: its version's tables stay.
    pub fn count(&mut self, taken: Taken) {
        *self.open.entry(taken.fence).or_default() += 1;
    }

    /// How a request is taken, if it is.
    fn course(&self, belongs: &Belongs, now: Now) -> Option<Taken> {
        let (gate, at) = (self.gate(), now.local);
        let old = self.parts(self.served.as_ref().map(|served| &served.version));
        let new = self.parts(self.coming().map(|(_, version)| version));
        let same = old.zip(new).is_some_and(|(old, new)| alike(old, new, belongs));
        let alike = if same { gate.next } else { 0 };
        match gate.look(now) {
            Serving::By(fence) => Some(Taken { fence, alike, choice: false, at }),
            Serving::Between { .. } if same && gate.has_seat(now.local) && gate.current != 0 => {
                Some(Taken { fence: gate.current, alike, choice: false, at })
            }
            Serving::Between { doubt: true } if gate.current != 0 => {
                let chosen = in_doubt(old?, new, belongs) == Doubt::Old;
                chosen.then_some(Taken { fence: gate.current, alike: 0, choice: true, at })
            }
            Serving::Between { .. } => None,
        }
    }

    fn parts(&self, version: Option<&Version>) -> Option<&Parts> {
        self.built.get(version?)
    }

    /// When a refused one is told to come back: the moment, where it is known, else a poll of the board.
    fn back_after(&self, clock: Clock) -> Micros {
        let moment = self.next.as_ref().map(|next| next.moment);
        let left = clock.within(self.widest()).zip(moment).map(|((now, _), at)| at.saturating_sub(now));
        left.unwrap_or(0).max(self.limits.poll)
    }

    /// Why this node does not answer now by a version that surely is the fleet's, for an operator.
    pub fn why(&self, now: Now) -> Option<Trouble> {
        let serves = matches!(self.gate().look(now), Serving::By(_)) && self.foreign.is_none();
        (!serves).then(|| self.trouble(now.clock))
    }

    /// After how long time alone changes something here, if nothing else happens: when to give the next `Tick`. A poll at most;
    /// around a moment the time to it, and then as often as the interval could have narrowed.
    pub fn due(&self, now: Now) -> Micros {
        let poll = self.asked.map_or(0, |at| at.saturating_add(self.limits.poll).saturating_sub(now.local));
        let held = self
            .gap
            .filter(|_| !self.held.is_empty())
            .map_or(poll, |since| since.saturating_add(self.limits.hold_for).saturating_sub(now.local));
        let moment = self.next.as_ref().zip(now.clock.within(self.widest()));
        let moment = moment.map_or(poll, |(next, (earliest, _))| next.moment.saturating_sub(earliest));
        poll.min(held).min(moment)
    }

    fn trouble(&self, clock: Clock) -> Trouble {
        if let Some(format) = self.foreign {
            return Trouble::Format(format);
        }
        if !self.seated {
            return if self.taken { Trouble::SeatTaken } else { Trouble::NoSeat };
        }
        let widest = self.widest();
        match (&self.next, &self.promise, &self.served) {
            (Some(next), ..) if clock.within(widest).is_none() => {
                Trouble::Clock { widest, number: next.version.number }
            }
            (None, Some(promise), _) if clock.within(widest).is_none() => {
                Trouble::Clock { widest, number: promise.version.number }
            }
            (Some(next), ..) => Trouble::Switching { number: next.version.number, moment: next.moment },
            (None, Some(promise), _) => Trouble::Doubt { fence: promise.fence, floor: promise.floor },
            (None, None, Some(served)) => Trouble::NotBuilt(served.version.number),
            (None, None, None) => Trouble::Nothing,
        }
    }
}
