//! Probes: one other in each interval, helpers, and looks at those whom others suspect.

use std::sync::Arc;

use super::{Check, Fleet, Member, Probe, Relayed, MOST_DOUBT};
use crate::wire::Body;
use crate::{Life, Millis};

impl Fleet {
    pub(super) fn probing(&mut self, now: Millis) {
        if let Some(probe) = &mut self.probe {
            if !probe.answered && probe.ask.is_some_and(|ask| now >= ask) {
                probe.ask = None;
                let (target, nonce) = (probe.target.clone(), probe.nonce);
                let helpers = self.pick(self.settings.helpers, &[&target]);
                if let Some(probe) = &mut self.probe {
                    probe.asked = helpers.len() as u32;
                }
                self.send(&target, &Body::Ping { nonce, to: &target });
                for helper in helpers {
                    self.send(&helper, &Body::Ask { nonce, target: &target });
                }
            }
        }
        if self.probe.as_ref().is_some_and(|probe| now >= probe.until) {
            if let Some(probe) = self.probe.take() {
                if !probe.answered {
                    self.missed(now, &probe);
                }
            }
        }
        if self.probe.is_none() && now >= self.probe_at {
            let Some(target) = self.target() else {
                self.probe_at = now + self.settings.interval;
                return;
            };
            let nonce = self.random.u32(..);
            let slower = Millis::from(self.doubt + 1);
            let until = now + self.settings.interval * slower;
            // At rest each node probes once in an interval, not all in the same moment of it.
            let spread = self.random.u64(..=self.settings.interval / 8);
            self.probe_at = until + spread;
            let ask = Some(now + self.settings.timeout * slower);
            self.send(&target, &Body::Ping { nonce, to: &target });
            let (asked, nacks, answered) = (0, 0, false);
            self.probe = Some(Probe { target, nonce, ask, until, asked, nacks, answered });
        }
    }

    /// Who is probed next: one that missed the last one, else the next in the order.
    pub(super) fn target(&mut self) -> Option<Arc<str>> {
        if let Some(at) = self.next.checked_sub(1) {
            let last = self.order.get(at).cloned();
            let again = last
                .filter(|name| self.members.get(name).is_some_and(|m| m.missed > 0 && m.life == Life::Alive));
            if again.is_some() {
                return again;
            }
        }
        for _ in 0..self.order.len() {
            if self.next >= self.order.len() {
                self.random.shuffle(&mut self.order);
                self.next = 0;
            }
            let name = self.order[self.next].clone();
            self.next += 1;
            let gone = |member: &Member| member.life == Life::Dead;
            if self.members.get(&name).is_some_and(|member| !gone(member)) {
                return Some(name);
            }
        }
        None
    }

    pub(super) fn missed(&mut self, now: Millis, probe: &Probe) {
        let more = if probe.asked > 0 { probe.asked.saturating_sub(probe.nacks) } else { 1 };
        self.doubt = (self.doubt + more).min(MOST_DOUBT);
        if self.quiet(now) {
            return;
        }
        let doubts = self.settings.doubts;
        let Some(member) = self.members.get_mut(&probe.target) else { return };
        member.missed += 1;
        if member.life == Life::Alive && member.missed <= doubts {
            return;
        }
        member.missed = 0;
        let (incarnation, me) = (member.incarnation, self.me.clone());
        self.suspect(now, &probe.target.clone(), incarnation, &me);
    }

    pub(super) fn helping(&mut self, now: Millis) {
        let late: Vec<Relayed> = {
            let (late, rest) = self.relayed.drain(..).partition(|relayed| now >= relayed.until);
            self.relayed = rest;
            late
        };
        for relayed in late {
            self.send(&relayed.asker, &Body::Nack { nonce: relayed.theirs });
        }
        let late: Vec<Check> = {
            let (late, rest) = self.checks.drain(..).partition(|check| now >= check.until);
            self.checks = rest;
            late
        };
        for check in late {
            let found = self.members.get(&check.target).map(|member| (member.life, member.incarnation));
            if let (Some((Life::Suspect, incarnation)), false) = (found, self.quiet(now)) {
                let me = self.me.clone();
                self.suspect(now, &check.target, incarnation, &me);
            }
        }
    }
}
