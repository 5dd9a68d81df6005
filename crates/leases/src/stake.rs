//! What a grantor knows of one whole: for each holder, the most that it may act on. A charge only goes down by the holder's
//! own word or by time.

use std::collections::BTreeMap;

use crate::divide::{divide, Level};
use crate::epoch::MemberId;
use crate::message::Want;
use crate::whole::{Micros, MOST_AMOUNT, RATE_UNITS};

/// Grants to a holder of which it is not known which it took, at most; two are then counted as one that is as large and as
/// long as both.
pub const MOST_UNPROVEN: usize = 4;
/// A division is made anew at most so often, in microseconds.
pub const DIVIDE_EVERY: Micros = 20_000;
/// How long somebody goes first where there is too little for all, in microseconds.
pub const TURN: Micros = 8_000_000;

/// An amount that may be acted on until then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Due {
    seq: u64,
    units: u64,
    until: Micros,
}

/// A holder's account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    life: u64,
    seq: u64,
    want: u64,
    heard: Micros,
    /// Grants that it may have taken; the last that it took replaces those before.
    grants: Vec<Due>,
    /// What it said it acts on, grants or not: slots in use, the last part of a generous whole.
    said: Due,
    /// What earlier processes of the member may still act on, beside this one.
    before: Due,
    charge: u64,
}

impl Entry {
    fn weigh(&mut self, now: Micros) {
        self.grants.retain(|due| now < due.until);
        for due in [&mut self.said, &mut self.before] {
            due.units = if now < due.until { due.units } else { 0 };
        }
        let most = self.grants.iter().map(|due| due.units).max().unwrap_or(0);
        self.charge = most.max(self.said.units) + self.before.units;
    }
}

/// The account of a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Stake {
    entries: BTreeMap<MemberId, Entry>,
    charged: u64,
    level: Level,
    divided: Option<(Micros, u64)>,
}

/// What is granted from, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// All that may be charged.
    pub pool: u64,
    /// The least part.
    pub least: u64,
    /// How long a grant may be held.
    pub term: Micros,
    /// How much longer what was begun under it lasts.
    pub tail: Micros,
}

impl Stake {
    /// The most that holders may act on.
    pub fn charged(&self) -> u64 {
        self.charged
    }

    /// Holders on the account.
    pub fn holders(&self) -> usize {
        self.entries.len()
    }

    fn weigh(&mut self, id: MemberId, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let before = entry.charge;
            entry.weigh(now);
            self.charged = self.charged - before + entry.charge;
        }
    }

    /// Takes what a holder said; `false` for what is not newer than what it said before.
    pub fn hear(
        &mut self,
        now: Micros,
        (id, life, seq): (MemberId, u64, u64),
        want: &Want,
        terms: Terms,
    ) -> bool {
        let new = Entry { life, ..Entry::default() };
        let entry = self.entries.entry(id).or_insert(new);
        if entry.life > life || (entry.life == life && entry.seq >= seq) {
            return false;
        }
        if entry.life < life {
            // Another process: the old one may be asleep with what it holds.
            entry.weigh(now);
            let until = entry.grants.iter().chain([&entry.said, &entry.before]).map(|d| d.until).max();
            let before = Due { seq: 0, units: entry.charge, until: until.unwrap_or(0) };
            let (want, heard, charge) = (entry.want, entry.heard, entry.charge);
            *entry = Entry { life, before, want, heard, charge, ..Entry::default() };
        }
        entry.seq = seq;
        if want.ago > 0 {
            let taken = seq.saturating_sub(want.ago);
            // It takes no grant that is older than the one that it took, and holds less of that one where it says so.
            entry.grants.retain(|due| due.seq >= taken);
            entry.grants.iter_mut().filter(|d| d.seq == taken).for_each(|d| d.units = d.units.min(want.held));
        }
        let until = now.saturating_add(terms.term).saturating_add(terms.tail);
        entry.said = Due { seq, units: want.held.min(MOST_AMOUNT * RATE_UNITS), until };
        if self.divided.is_some_and(|(_, pool)| pool == terms.pool) && entry.want == want.want {
            entry.heard = now;
        } else {
            (entry.want, entry.heard) = (want.want, now);
            self.divided = self.divided.map(|(at, _)| (at, u64::MAX));
        }
        self.weigh(id, now);
        true
    }

    /// Grants a holder that was just heard its part of the pool, as far as others have left it.
    pub fn grant(&mut self, now: Micros, id: MemberId, seq: u64, terms: Terms) -> u64 {
        self.divide(now, terms);
        let Some(entry) = self.entries.get_mut(&id) else { return 0 };
        let others = self.charged - entry.charge + entry.before.units;
        let part = self.level.share(id, entry.want).min(terms.pool.saturating_sub(others));
        if part > 0 {
            let until = now.saturating_add(terms.term).saturating_add(terms.tail);
            entry.grants.push(Due { seq, units: part, until });
            if entry.grants.len() > MOST_UNPROVEN {
                let old = entry.grants.remove(0);
                let next = &mut entry.grants[0];
                (next.units, next.until) = (next.units.max(old.units), next.until.max(old.until));
            }
        }
        self.weigh(id, now);
        part
    }

    fn divide(&mut self, now: Micros, terms: Terms) {
        match self.divided {
            Some((at, pool)) if pool == terms.pool && now / TURN == at / TURN => return,
            Some((at, u64::MAX)) if now < at.saturating_add(DIVIDE_EVERY) => return,
            _ => {}
        }
        let wants = self.entries.iter().map(|(id, entry)| (*id, entry.want)).filter(|(_, want)| *want > 0);
        let wants: Vec<(MemberId, u64)> = wants.collect();
        self.level = divide(terms.pool, terms.least, &wants, now / TURN);
        self.divided = Some((now, terms.pool));
    }

    /// Lets go of what time has ended; `false` where nothing is left.
    pub fn sweep(&mut self, now: Micros, term: Micros) -> bool {
        for entry in self.entries.values_mut() {
            entry.weigh(now);
            if now >= entry.heard.saturating_add(term) && entry.want > 0 {
                entry.want = 0;
                self.divided = self.divided.map(|(at, _)| (at, u64::MAX));
            }
        }
        self.entries.retain(|_, entry| entry.charge > 0 || now < entry.heard.saturating_add(term));
        self.charged = self.entries.values().map(|entry| entry.charge).sum();
        !self.entries.is_empty()
    }
}
