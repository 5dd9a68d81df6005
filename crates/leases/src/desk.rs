//! A holder's letters: by which epoch it goes, which asks it sent when, which answers count, and its safe part.

use std::collections::{BTreeMap, VecDeque};

use crate::epoch::{EpochDoc, MemberId};
use crate::message::{Answer, Says};
use crate::whole::Micros;
use crate::Settings;

/// Asks whose answers are waited for, at most; the oldest is given up.
pub const MOST_SENT: usize = 4_096;

/// Safe parts, in parts of [`PPB`](crate::PPB). That of rates is on disk, so that the next process begins with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Safe {
    /// Of rates.
    pub rates: u64,
    /// Of slots: where it grows, it grows later, as slots of others may be in use for a while after.
    pub slots: u64,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It counts: its grants are for an ask that was sent then, and last so long by this clock.
    Grant(Micros, Micros),
    /// The epoch is over: the document has to be read again.
    Newer(u64),
    /// Of another epoch, to another process, or for an ask that is not waited for.
    Stale,
}

/// A holder's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Desk {
    me: MemberId,
    life: u64,
    settings: Settings,
    doc: Option<EpochDoc>,
    safe: Safe,
    /// What safe parts grow to, and when those of rates do.
    grows: Option<(u64, Micros)>,
    seq: u64,
    sent: VecDeque<(u64, Micros)>,
    /// Since when a grantor has not answered.
    silent: BTreeMap<MemberId, Micros>,
}

impl Desk {
    /// That of a process of a member, which begins with the safe part of rates that its name had last, by its disk. Slots
    /// that the process before took may be in use yet: it begins with none.
    pub fn new(me: MemberId, life: u64, settings: Settings, rates: u64) -> Desk {
        let safe = Safe { rates, slots: 0 };
        let (doc, grows, sent, silent) = (None, None, VecDeque::new(), BTreeMap::new());
        Desk { me, life, settings, doc, safe, grows, seq: 0, sent, silent }
    }

    /// The member.
    pub fn me(&self) -> MemberId {
        self.me
    }

    /// The process.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// The document that it goes by.
    pub fn doc(&self) -> Option<&EpochDoc> {
        self.doc.as_ref()
    }

    /// Its safe parts now.
    pub fn safe(&self) -> Safe {
        self.safe
    }

    /// Goes by a later document. A smaller safe part holds at once; a larger one only once the grantors of epochs that
    /// did not reckon with it are over.
    pub fn adopt(&mut self, now: Micros, doc: &EpochDoc) -> bool {
        if self.doc.as_ref().is_some_and(|old| old.epoch() >= doc.epoch()) {
            return false;
        }
        let each = if doc.has(self.me) { doc.each_ppb() } else { 0 };
        self.safe = Safe { rates: self.safe.rates.min(each), slots: self.safe.slots.min(each) };
        let from = match self.grows {
            // What it was to grow to, grantors reckon with already.
            Some((to, from)) if each <= to => from,
            _ => now.saturating_add(self.settings.authority),
        };
        let grows = self.safe.rates < each || self.safe.slots < each;
        self.grows = grows.then_some((each, from));
        self.silent.retain(|id, _| doc.seat(*id).is_some());
        self.doc = Some(doc.clone());
        true
    }

    /// Lets safe parts grow whose time has come; `true` where one did.
    pub fn grow(&mut self, now: Micros) -> bool {
        let Some((each, at)) = self.grows else { return false };
        let before = self.safe;
        if now >= at {
            self.safe.rates = each;
        }
        if now >= at.saturating_add(self.settings.longest) {
            (self.safe.slots, self.grows) = (each, None);
        }
        self.safe != before
    }

    /// The number of an ask that is sent to a grantor now.
    pub fn send(&mut self, now: Micros, to: MemberId) -> u64 {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        let old = |(_, sent): &(u64, Micros)| now >= sent.saturating_add(self.settings.term);
        while self.sent.len() > MOST_SENT || self.sent.front().is_some_and(old) {
            self.sent.pop_front();
        }
        self.silent.entry(to).or_insert(now);
        self.seq
    }

    /// The number of the last ask.
    pub fn latest(&self) -> u64 {
        self.seq
    }

    /// Since when a grantor has not answered, where it was asked.
    pub fn silent(&self, id: MemberId) -> Option<Micros> {
        self.silent.get(&id).copied()
    }

    /// What becomes of an answer.
    pub fn hear(&mut self, answer: &Answer) -> Heard {
        let Some(doc) = self.doc.as_ref() else { return Heard::Stale };
        if (answer.to, answer.life) != (self.me, self.life) {
            return Heard::Stale;
        }
        if matches!(answer.says, Says::Newer) && answer.epoch > doc.epoch() {
            return Heard::Newer(answer.epoch);
        }
        if answer.epoch != doc.epoch() || doc.seat(answer.from).is_none() {
            return Heard::Stale;
        }
        let Says::Grant { term, .. } = answer.says else { return Heard::Stale };
        let Ok(at) = self.sent.binary_search_by_key(&answer.seq, |(seq, _)| *seq) else {
            return Heard::Stale;
        };
        self.silent.remove(&answer.from);
        // From the sending on, as whoever granted reckons from a later moment.
        Heard::Grant(self.sent[at].1, self.settings.shrink(term.min(self.settings.term)))
    }
}
