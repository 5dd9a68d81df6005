//! Time: what is due, sleep, and being cut off.

use super::{Fleet, MOST_DOUBT};
use crate::wire::{self, Body};
use crate::{Event, Life, Millis, Phase};

impl Fleet {
    /// When [`Fleet::tick`] is due.
    pub fn wake(&self) -> Millis {
        // Suspicions and hearing nobody are looked at in each interval, whatever else is due.
        let mut at = self.probe_at.min(self.reach_at).min(self.ticked + self.settings.interval);
        if !self.queue.is_empty() {
            at = at.min(self.gossip_at);
        }
        if let Some(probe) = &self.probe {
            at = at.min(probe.ask.unwrap_or(probe.until)).min(probe.until);
        }
        if let Some(ask) = self.time.as_ref().and_then(|time| time.ask_at) {
            at = at.min(ask);
        }
        let relayed = self.relayed.iter().map(|relayed| relayed.until);
        let checks = self.checks.iter().map(|check| check.until);
        let pull = self.pull.iter().map(|pull| pull.again);
        relayed.chain(checks).chain(pull).fold(at, Millis::min)
    }

    /// Leaves at once: who it is told to need not find out. The last word, sent to a few before the process ends.
    pub fn leave(&mut self) {
        self.say(|facts| facts.phase = Phase::Out);
        let others = self.pick(self.settings.fanout.max(8), &[]);
        for other in others {
            self.send(&other, &Body::Gossip);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.pass(now);
        self.ticked = now;
        self.isolation(now);
        self.probing(now);
        self.helping(now);
        self.suspicion(now);
        self.reaching(now);
        if now >= self.gossip_at {
            self.gossip_at = now + self.settings.gossip;
            if !self.queue.is_empty() {
                for other in self.pick(self.settings.fanout, &[]) {
                    self.send(&other, &Body::Gossip);
                }
            }
        }
    }

    /// Takes a datagram.
    pub fn hear(&mut self, now: Millis, bytes: &[u8]) {
        self.pass(now);
        let keys = self.keys.clone();
        match wire::open(bytes, &keys).and_then(|datagram| self.take(now, &datagram)) {
            Ok(()) => self.counts.taken += 1,
            Err(why) => *self.counts.dropped.entry(why).or_default() += 1,
        }
    }

    /// A step of time. Whoever was stopped blames nobody for what it missed.
    pub(super) fn pass(&mut self, now: Millis) {
        let slept = now.saturating_sub(self.passed.max(self.wake()));
        self.passed = now;
        if slept < 2 * self.settings.interval {
            return;
        }
        self.tell(Event::Slept(slept));
        self.catching = now + self.settings.isolated;
        self.probe = None;
        self.checks.clear();
        self.relayed.clear();
        self.doubt = MOST_DOUBT;
        self.probe_at = now;
        if self.isolated.is_none() {
            // Nobody could be heard meanwhile.
            self.heard = now;
        }
        self.pause_suspicions(now, slept);
    }

    /// Time in which nobody could contradict does not count.
    pub(super) fn pause_suspicions(&mut self, now: Millis, lost: Millis) {
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.since = (member.since + lost).min(now);
            }
        }
    }

    pub(super) fn isolation(&mut self, now: Millis) {
        let others = self.order.iter().any(|name| {
            self.members.get(name).is_some_and(|m| m.life != Life::Dead && m.facts.phase != Phase::Out)
        });
        // One that was told of others and never heard them can't tell either.
        let others = others || (self.order.is_empty() && !self.known.is_empty());
        if self.isolated.is_none() && others && now >= self.heard + self.settings.isolated {
            self.isolated = Some(now);
            self.tell(Event::Isolated);
        }
    }

    /// Nobody is found dead by one that may be cut off itself.
    pub(super) fn quiet(&self, now: Millis) -> bool {
        self.isolated.is_some() || now >= self.heard + 2 * self.settings.interval
    }
}
