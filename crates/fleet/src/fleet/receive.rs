//! A datagram: whether it is taken, and what its body asks for.

use std::sync::Arc;

use super::{Fleet, Relayed, MOST_RELAYED};
use crate::wire::{self, Body, Datagram, Head, Update, SECTIONS};
use crate::{Event, Millis};

impl Fleet {
    pub(super) fn take(&mut self, now: Millis, datagram: &Datagram<'_>) -> Result<(), wire::Drop> {
        let Head { from, epoch, number } = datagram.head;
        if *from == *self.me {
            if epoch > self.epoch && epoch > self.namesake {
                self.namesake = epoch;
                self.tell(Event::Namesake);
            }
            return Err(wire::Drop::Misled);
        }
        if let Body::Ping { to, .. } = datagram.body {
            if *to != *self.me {
                return Err(wire::Drop::Misled);
            }
        }
        let says = |update: &Update<'_>| matches!(update, Update::Alive { name, .. } if *name == from);
        let fresh = match self.members.get_mut(from) {
            Some(member) => {
                if member.window.over(epoch) && now >= member.told + self.settings.interval {
                    // It may have started with a clock that went back: it hears of its earlier self.
                    member.told = now;
                    self.tell_of(from, from);
                    return Err(wire::Drop::Replayed);
                }
                let fresh = member.window.before(epoch);
                if !member.window.take(epoch, number) {
                    return Err(wire::Drop::Replayed);
                }
                fresh
            }
            None if datagram.updates.iter().any(says) => true,
            None => return Err(wire::Drop::Stranger),
        };
        let silence = now.saturating_sub(std::mem::replace(&mut self.heard, now));
        if silence >= 2 * self.settings.interval {
            self.pause_suspicions(now, silence);
        }
        if self.isolated.take().is_some() {
            self.pause_suspicions(now, Millis::MAX / 2);
            self.catching = now + self.settings.isolated;
            self.tell(Event::Heard);
        }
        let page = matches!(datagram.body, Body::Page { .. });
        for update in &datagram.updates {
            self.learn(now, update, page);
        }
        let Some((name, _)) = self.members.get_key_value(from) else { return Ok(()) };
        let name = name.clone();
        for update in &datagram.updates {
            if let Some(of) = self.contradicted(update) {
                self.tell_of(&name, &of);
            }
        }
        if let Some(member) = self.members.get_mut(&name) {
            if member.heard == 0 {
                member.window.take(epoch, number);
            }
            member.heard = now;
        }
        if fresh || matches!(datagram.body, Body::Pull { .. }) {
            // It may not know us, and takes nothing from strangers.
            self.tell_of(&name, &self.me.clone());
        }
        self.body(now, &name, datagram);
        Ok(())
    }

    pub(super) fn body(&mut self, now: Millis, from: &Arc<str>, datagram: &Datagram<'_>) {
        match datagram.body {
            Body::Ping { nonce, .. } => {
                let digest = self.digest();
                self.send(from, &Body::Ack { nonce, digest });
            }
            Body::Ask { nonce, target } => {
                let Some((target, _)) = self.members.get_key_value(target) else { return };
                let target = target.clone();
                if self.relayed.len() >= MOST_RELAYED || target == self.me {
                    return;
                }
                let own = self.random.u32(..);
                let until = now + self.settings.timeout;
                let (asker, theirs) = (from.clone(), nonce);
                self.relayed.push(Relayed { nonce: own, target: target.clone(), asker, theirs, until });
                self.send(&target, &Body::Ping { nonce: own, to: &target });
            }
            Body::Ack { nonce, digest } => {
                if let Some(at) = self.relayed.iter().position(|r| r.nonce == nonce && r.target == *from) {
                    let relayed = self.relayed.swap_remove(at);
                    let digest = self.digest();
                    self.send(&relayed.asker, &Body::Ack { nonce: relayed.theirs, digest });
                }
                self.checks.retain(|check| check.nonce != nonce);
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    if !probe.answered {
                        probe.answered = true;
                        probe.ask = None;
                        self.doubt = self.doubt.saturating_sub(1);
                        // With less doubt the next probe is as soon again.
                        self.probe_at = self.probe_at.min(now + self.settings.interval);
                        probe.until = probe.until.min(self.probe_at);
                        if let Some(member) = self.members.get_mut(&probe.target.clone()) {
                            member.missed = 0;
                        }
                    }
                }
                if digest != self.digest() && self.pull.is_none() && now >= self.pull_at {
                    self.pull_at = now + self.settings.interval * (2 + self.random.u64(..4));
                    let sums = self.sums;
                    self.send(from, &Body::Compare { sums });
                }
            }
            Body::Compare { sums } => {
                let differ = |at: &usize| sums[*at] != self.sums[*at];
                let sections = (0..SECTIONS).filter(differ).fold(0, |bits, at| bits | 1 << at);
                self.send(from, &Body::Differ { sections });
            }
            Body::Differ { sections } => {
                if sections != 0 && self.pull.is_none() {
                    // While something changes all differ: the more there is to fetch, the longer it waits for the next.
                    let pages = self.order.len() as u64 * u64::from(sections.count_ones()) / 80;
                    self.pull_at = self.pull_at.max(now + self.settings.interval * pages / 8);
                    self.pull_from(now, from, sections);
                }
            }
            Body::Nack { nonce } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    probe.nacks += 1;
                }
            }
            Body::Pull { after, sections } => self.page(from, after, sections),
            Body::Page { last } => {
                let Some(pull) = self.pull.as_mut().filter(|pull| pull.from == *from) else { return };
                let names = datagram.updates.iter().filter_map(|update| match update {
                    Update::Alive { name, .. } => Some(*name),
                    _ => None,
                });
                // What was sent piggyback is not of the page; pages come in order and are not mixed with others'.
                let Some(end) = names.filter(|name| **name > *pull.after).max() else {
                    if last {
                        self.pull = None;
                    }
                    return;
                };
                if last {
                    self.pull = None;
                    return;
                }
                pull.after = end.to_owned();
                pull.tries = 0;
                pull.again = now + self.settings.timeout;
                let (after, sections) = (pull.after.clone(), pull.sections);
                self.send(from, &Body::Pull { after: &after, sections });
            }
            Body::Gossip => {}
            Body::Clock { nonce } => self.stamp(from, nonce),
            Body::Stamp { nonce, run, at } => self.stamped(from, nonce, run, at),
        }
    }
}
