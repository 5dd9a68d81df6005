//! What is told of members.

use std::sync::Arc;

use super::send::{print, section};
use super::{Check, Fleet, Member, MOST_CHECKS, MOST_MEMBERS};
use crate::wire::{Body, Update, Window};
use crate::{Event, Facts, Life, Millis};

impl Fleet {
    pub(super) fn learn(&mut self, now: Millis, update: &Update<'_>, page: bool) {
        match *update {
            Update::Alive {
                name,
                incarnation,
                boot,
                addr,
                zone,
                version,
                config,
                role,
                phase,
                done,
                ejects,
            } => {
                if *name == *self.me {
                    self.outdo(incarnation, boot);
                    return;
                }
                let (zone, version, role) = (zone.to_owned(), version.to_owned(), role.to_owned());
                let facts = Facts { boot, addr, zone, version, config, role, phase, done, ejects };
                let Some((name, member)) = self.members.get_key_value(name) else {
                    self.join(now, name, incarnation, facts, !page);
                    return;
                };
                if incarnation <= member.incarnation {
                    return;
                }
                let name = name.clone();
                let event = match member.life {
                    Life::Alive if member.facts != facts => Some(Event::Changed(name.clone())),
                    Life::Alive => None,
                    Life::Suspect | Life::Dead => Some(Event::Recovered(name.clone())),
                };
                self.suspects.remove(&name);
                self.checks.retain(|check| check.target != name);
                self.touch(&name, |member| {
                    if member.life != Life::Alive {
                        (member.life, member.since) = (Life::Alive, now);
                    }
                    (member.incarnation, member.facts, member.missed) = (incarnation, facts, 0);
                    member.by.clear();
                });
                self.spread(&name);
                event.into_iter().for_each(|event| self.tell(event));
            }
            Update::Suspect { name, incarnation, by } => {
                if *name == *self.me {
                    self.contradict(incarnation);
                    return;
                }
                let Some((name, member)) = self.members.get_key_value(name) else { return };
                let (name, begins) = (name.clone(), member.life == Life::Alive);
                let by: Arc<str> = by.into();
                self.suspect(now, &name, incarnation, &by);
                // A few of those who hear of it look for themselves, and those who heard the suspect lately: it is
                // told at once, or its end confirmed.
                let few = self.random.usize(..self.order.len().max(1)) < 6;
                let near = self.members.get(&name).is_some_and(|member| {
                    member.heard > 0 && now < member.heard + 10 * self.settings.interval
                });
                let suspected = self.members.get(&name).is_some_and(|m| m.life == Life::Suspect);
                if begins && suspected && (few || near) && self.checks.len() < MOST_CHECKS {
                    let nonce = self.random.u32(..);
                    let until = now + self.settings.interval * Millis::from(self.doubt + 1);
                    self.checks.push(Check { target: name.clone(), nonce, until });
                    self.send(&name, &Body::Ping { nonce, to: &name });
                }
            }
            Update::Dead { name, incarnation } => {
                if *name == *self.me {
                    self.contradict(incarnation);
                    return;
                }
                let Some((name, member)) = self.members.get_key_value(name) else { return };
                if incarnation >= member.incarnation && member.life != Life::Dead {
                    let name = name.clone();
                    self.bury(now, &name, incarnation);
                }
            }
        }
    }

    /// An earlier process of this name said more than this one yet: this one says it higher.
    pub(super) fn outdo(&mut self, incarnation: u64, boot: u64) {
        let me = self.me.clone();
        let own = self.members.get(&me).map_or((0, 0), |member| (member.incarnation, member.facts.boot));
        if incarnation > own.0 || (incarnation == own.0 && boot != own.1) {
            self.touch(&me, |member| member.incarnation = incarnation + 1);
            self.epoch = self.epoch.max(incarnation + 1);
            self.spread(&me);
        }
    }

    pub(super) fn join(&mut self, now: Millis, name: &str, incarnation: u64, facts: Facts, news: bool) {
        if self.members.len() >= MOST_MEMBERS {
            let dead = self.members.iter().filter(|(_, member)| member.life == Life::Dead);
            let Some(oldest) = dead.min_by_key(|(_, member)| member.since).map(|(name, _)| name.clone())
            else {
                return;
            };
            self.forget(&oldest);
        }
        let name: Arc<str> = name.into();
        let (life, since, window) = (Life::Alive, now, Window::default());
        let by = Vec::new();
        let member = Member {
            facts,
            incarnation,
            life,
            since,
            by,
            heard: 0,
            window,
            missed: 0,
            called: false,
            told: 0,
        };
        self.sums[section(&name)] ^= print(&name, &member);
        self.members.insert(name.clone(), member);
        // Somewhere in what is left of this round, so that it is probed in it.
        let at = self.random.usize(self.next.min(self.order.len())..=self.order.len());
        self.order.insert(at, name.clone());
        if news {
            self.spread(&name);
        }
        self.tell(Event::Joined(name));
    }

    pub(super) fn forget(&mut self, name: &Arc<str>) {
        let Some(member) = self.members.remove(name) else { return };
        self.sums[section(name)] ^= print(name, &member);
        self.order.retain(|other| other != name);
        self.next = self.next.min(self.order.len());
        if let Some(times) = self.news.remove(name) {
            self.queue.remove(&(times, name.clone()));
        }
        self.suspects.remove(name);
        self.tell(Event::Forgotten(name.clone()));
    }

    /// Changes a member, and the digest with it.
    pub(super) fn touch(&mut self, name: &Arc<str>, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get_mut(name) else { return };
        let before = print(name, member);
        change(member);
        self.sums[section(name)] ^= before ^ print(name, member);
    }
}
