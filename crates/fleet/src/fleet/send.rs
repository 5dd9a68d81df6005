//! What goes out: news piggyback, a bounded number of times each.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Fleet, Member, MOST_ACTIONS};
use crate::wire::{Body, Head, Update, Writer, SECTIONS};
use crate::{Action, Event, Facts, Life};

impl Fleet {
    /// Tells one what is known of another or of us.
    pub(super) fn tell_of(&mut self, to: &str, of: &str) {
        let Some((addr, member)) = self.address(to).zip(self.members.get(of)) else { return };
        let mut writer = Writer::new(&self.keys, &self.head(), &Body::Gossip);
        writer.add(&word(of, member));
        if let Some(own) = self.members.get(&self.me).filter(|_| *of != *self.me) {
            // Who has just started takes nothing from one that it does not know.
            writer.add(&word(&self.me, own));
        }
        let bytes = writer.done(&self.keys);
        self.post(addr, bytes);
    }

    /// There is news of one.
    pub(super) fn spread(&mut self, name: &Arc<str>) {
        if let Some(times) = self.news.insert(name.clone(), 0) {
            self.queue.remove(&(times, name.clone()));
        }
        self.queue.insert((0, name.clone()));
    }

    pub(super) fn tell(&mut self, event: Event) {
        self.push(Action::Tell(event));
    }

    pub(super) fn push(&mut self, action: Action) {
        if self.actions.len() >= MOST_ACTIONS {
            self.actions.pop_front();
        }
        self.actions.push_back(action);
    }

    /// So many others that are not dead, by chance.
    pub(super) fn pick(&mut self, many: usize, but: &[&Arc<str>]) -> Vec<Arc<str>> {
        let mut picked: Vec<Arc<str>> = Vec::with_capacity(many);
        if self.order.is_empty() {
            return picked;
        }
        // By tries: there are few dead as a rule, and few are picked.
        for _ in 0..4 * many {
            let name = &self.order[self.random.usize(..self.order.len())];
            let lives = self.members.get(name).is_some_and(|member| member.life != Life::Dead);
            if picked.len() < many && lives && !but.contains(&name) && !picked.contains(name) {
                picked.push(name.clone());
            }
        }
        picked
    }

    pub(super) fn digest(&self) -> u32 {
        self.sums.iter().fold(0, |all, sum| all ^ sum)
    }

    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        let said = || self.members.get(name).map(|member| member.facts.addr).filter(|addr| addr.port() != 0);
        self.known.get(name).copied().or_else(said)
    }

    pub(super) fn head(&self) -> Head<'_> {
        Head { from: &self.me, epoch: self.epoch, number: self.number }
    }

    /// Sends something, with as much news as fits: first what its receiver has to contradict or to know of us.
    pub(super) fn send(&mut self, to: &Arc<str>, body: &Body<'_>) {
        let Some(addr) = self.address(to) else { return };
        let mut writer = Writer::new(&self.keys, &self.head(), body);
        let against = self.members.get(to).filter(|member| member.life != Life::Alive);
        let against = against.map(|member| (member.life, member.incarnation));
        match against {
            Some((Life::Dead, incarnation)) => {
                writer.add(&Update::Dead { name: to, incarnation });
            }
            Some((_, incarnation)) => {
                writer.add(&Update::Suspect { name: to, incarnation, by: &self.me });
            }
            None => {}
        }
        // One that never heard us directly may not know us.
        let stranger =
            self.members.get(to).is_none_or(|member| member.heard == 0 || member.life == Life::Dead);
        if stranger {
            if let Some(member) = self.members.get(&self.me) {
                writer.add(&word(&self.me, member));
            }
        }
        let most = self.settings.tellings * (self.order.len() as f64 + 1.0).log10().ceil().max(1.0) as u32;
        let mut told = Vec::new();
        for (times, name) in &self.queue {
            let Some(member) = self.members.get(name) else { continue };
            let fits = match member.life {
                Life::Alive => writer.add(&word(name, member)),
                Life::Dead => writer.add(&dead(name, member)),
                Life::Suspect => {
                    let by = member.by.get(*times as usize % member.by.len().max(1)).unwrap_or(&self.me);
                    writer.add(&Update::Suspect { name, incarnation: member.incarnation, by })
                }
            };
            if fits {
                told.push((*times, name.clone()));
            } else {
                // The next may be shorter; one try more is enough.
                break;
            }
        }
        for (times, name) in told {
            self.queue.remove(&(times, name.clone()));
            if times + 1 < most {
                self.news.insert(name.clone(), times + 1);
                self.queue.insert((times + 1, name));
            } else {
                self.news.remove(&name);
            }
        }
        let bytes = writer.done(&self.keys);
        self.post(addr, bytes);
    }

    pub(super) fn post(&mut self, addr: SocketAddr, bytes: Vec<u8>) {
        self.number += 1;
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        self.push(Action::Send(addr, bytes));
    }
}

pub(super) fn word<'a>(name: &'a str, member: &'a Member) -> Update<'a> {
    let Facts { boot, addr, zone, version, config, role, phase, done, ejects } = &member.facts;
    Update::Alive {
        name,
        incarnation: member.incarnation,
        boot: *boot,
        addr: *addr,
        zone,
        version,
        config: *config,
        role,
        phase: *phase,
        done: *done,
        ejects: *ejects,
    }
}

pub(super) fn dead<'a>(name: &'a str, member: &Member) -> Update<'a> {
    Update::Dead { name, incarnation: member.incarnation }
}

pub(super) fn section(name: &str) -> usize {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as usize % SECTIONS
}

/// What a member adds to its section's digest. Suspicions pass by themselves and are left out.
pub(super) fn print(name: &str, member: &Member) -> u32 {
    let dead = member.life == Life::Dead;
    let seed = member.incarnation.wrapping_mul(2).wrapping_add(u64::from(dead));
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed) as u32
}
