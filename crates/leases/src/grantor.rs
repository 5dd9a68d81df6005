//! Who grants: for the wholes that are its own in an epoch, as long as its authority lasts, and after it has waited out those
//! before it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::epoch::{Change, EpochDoc, MemberId};
use crate::message::{Answer, Ask, Part, Says};
use crate::stake::{Stake, Terms};
use crate::whole::{part_of, Micros, Whole, WholeId, Wholes};
use crate::{Refusal, Settings};

/// A process of a member that may have a seat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grantor {
    me: MemberId,
    life: u64,
    settings: Settings,
    doc: Option<EpochDoc>,
    /// When its authority is over.
    until: Micros,
    wholes: Arc<Wholes>,
    /// From when on all grants of earlier epochs are over.
    base: Micros,
    /// Its own wholes, and from when on the grants of those before it are over; slots last [`Settings::longest`] longer.
    mine: BTreeMap<WholeId, Micros>,
    stakes: BTreeMap<WholeId, Stake>,
    /// Wholes that were larger, how large, and since which revision they are not.
    larger: BTreeMap<WholeId, (u64, u64)>,
    /// Members that asked under this epoch, since when, and the latest revision that each went by.
    seen: BTreeMap<MemberId, (Micros, u64)>,
    /// What safe parts may come to: of rates, and of slots, which may be in use for a while after.
    reserve: (u64, u64),
}

impl Grantor {
    /// A process of a member, which grants nothing yet.
    ///
    /// # Errors
    /// The settings can't be lived by.
    pub fn new(me: MemberId, life: u64, settings: Settings) -> Result<Grantor, Refusal> {
        settings.check()?;
        let (wholes, mine, stakes) = (Arc::default(), BTreeMap::new(), BTreeMap::new());
        let (larger, seen) = (BTreeMap::new(), BTreeMap::new());
        let (doc, until, base, reserve) = (None, 0, 0, (0, 0));
        Ok(Grantor { me, life, settings, doc, until, base, wholes, mine, stakes, larger, seen, reserve })
    }

    /// The epoch that it goes by; 0 for none.
    pub fn epoch(&self) -> u64 {
        self.doc.as_ref().map_or(0, EpochDoc::epoch)
    }

    /// Takes a later epoch's document, at a moment after it was read. Wholes that were not its own in the epoch just before
    /// are waited for.
    pub fn adopt(&mut self, now: Micros, doc: &EpochDoc) {
        let before = self.doc.take();
        if before.as_ref().is_some_and(|old| old.epoch() >= doc.epoch()) {
            // The same epoch again may say that more members were seen.
            let later = before.filter(|old| old.epoch() > doc.epoch());
            self.doc = Some(later.unwrap_or_else(|| doc.clone()));
            return self.reckon(now);
        }
        // What happened in epochs that it did not see, it does not know.
        let next = |old: &EpochDoc| old.epoch() + 1 == doc.epoch() && old.seat(self.me) == Some(self.life);
        let went_on = before.as_ref().is_some_and(next);
        let old = std::mem::take(&mut self.mine);
        self.base = now.saturating_add(self.settings.authority);
        if doc.seat(self.me) == Some(self.life) {
            let own = self.wholes.iter().filter(|(id, _)| doc.grantor(*id) == Some(self.me));
            let since = |id| old.get(&id).copied().filter(|_| went_on).unwrap_or(self.base);
            self.mine = own.map(|(id, _)| (id, since(id))).collect();
        }
        let kept = |id: &WholeId| went_on && old.contains_key(id) && self.mine.contains_key(id);
        self.stakes.retain(|id, _| kept(id));
        // Its authority was over the epoch before.
        (self.doc, self.until) = (Some(doc.clone()), 0);
        self.seen.retain(|id, _| doc.has(*id));
        self.seen.values_mut().for_each(|(since, _)| *since = Micros::MAX);
        self.reckon(now);
    }

    /// Its epoch was confirmed: by an operation at the coordination service, sent at or after that moment, that is done only
    /// if the document still has this epoch, with this process in its seat. Not by a read, which may be of an old copy.
    pub fn confirmed(&mut self, sent: Micros, epoch: u64) {
        let seated = |doc: &EpochDoc| doc.epoch() == epoch && doc.seat(self.me) == Some(self.life);
        if self.doc.as_ref().is_some_and(seated) {
            self.until = self.until.max(sent.saturating_add(self.settings.shrink(self.settings.authority)));
        }
    }

    /// Takes a later revision of the wholes.
    pub fn on_wholes(&mut self, now: Micros, wholes: Arc<Wholes>) {
        if wholes.revision() <= self.wholes.revision() {
            return;
        }
        for (id, old) in self.wholes.iter() {
            let (old, new) = (old.units(), wholes.get(id).map_or(0, Whole::units));
            let most = self.larger.get(&id).map_or(old, |(most, _)| old.max(*most));
            if new < most {
                self.larger.insert(id, (most, wholes.revision()));
            }
        }
        let before = std::mem::replace(&mut self.wholes, wholes);
        self.mine.retain(|id, _| self.wholes.get(*id).is_some());
        if let Some(doc) = self.doc.as_ref().filter(|doc| doc.seat(self.me) == Some(self.life)) {
            let new = self.wholes.iter().filter(|(id, _)| before.get(*id).is_none());
            let own = new.filter(|(id, _)| doc.grantor(*id) == Some(self.me));
            self.mine.extend(own.map(|(id, _)| (id, self.base)));
        }
        // The account of one that is gone ends with its grants: it may come again.
        self.reckon(now);
    }

    /// Whether it may grant.
    pub fn may_grant(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Answers an ask; silence where it has nothing to say.
    pub fn on_ask(&mut self, now: Micros, ask: &Ask) -> Option<Answer> {
        let doc = self.doc.as_ref()?;
        let answer = |says| {
            let (epoch, from, to) = (doc.epoch(), self.me, ask.from);
            Some(Answer { epoch, from, to, life: ask.life, seq: ask.seq, says })
        };
        if ask.epoch < doc.epoch() {
            return answer(Says::Newer);
        }
        if ask.epoch > doc.epoch() || !self.may_grant(now) || !doc.has(ask.from) {
            return None;
        }
        let seen = self.seen.entry(ask.from).or_insert((Micros::MAX, 0));
        (seen.0, seen.1) = (seen.0.min(now), seen.1.max(ask.revision));
        // Nothing that it grants outlives its authority.
        let term = self.settings.term.min(self.until - now);
        let mut parts = Vec::with_capacity(ask.wants.len());
        for want in &ask.wants {
            let Some(whole) = self.wholes.get(want.whole) else { continue };
            let tail = if whole.is_slots() { self.settings.longest } else { 0 };
            if self.mine.get(&want.whole).is_none_or(|from| now < from.saturating_add(tail)) {
                continue;
            }
            let terms = Terms { pool: self.pool(want.whole, whole), least: whole.least, term, tail };
            let stake = self.stakes.entry(want.whole).or_default();
            if stake.hear(now, (ask.from, ask.life, ask.seq), want, terms) {
                let part = stake.grant(now, ask.from, ask.seq, terms);
                parts.push(Part { whole: want.whole, part });
            }
        }
        answer(Says::Grant { term, parts })
    }

    /// All that may be charged of a whole: it, less safe parts, of what it was where members may not know better.
    fn pool(&self, id: WholeId, whole: &Whole) -> u64 {
        let units = whole.units();
        let most = self.larger.get(&id).map_or(units, |(most, _)| units.max(*most));
        let ppb = if whole.is_slots() { self.reserve.1 } else { self.reserve.0 };
        units.saturating_sub(part_of(most, ppb))
    }

    /// Lets go of what time has ended. Called in each round.
    pub fn sweep(&mut self, now: Micros) {
        let term = self.settings.term;
        self.stakes.retain(|_, stake| stake.sweep(now, term));
        self.reckon(now);
    }

    fn reckon(&mut self, now: Micros) {
        let Some(doc) = &self.doc else { return };
        let longest = self.settings.longest;
        let since = |id: MemberId| self.seen.get(&id).map_or(Micros::MAX, |(since, _)| *since);
        let rates = doc.reserve_ppb(|id| since(id) <= now);
        self.reserve = (rates, doc.reserve_ppb(|id| since(id).saturating_add(longest) <= now));
        let revision = |id: MemberId| self.seen.get(&id).map_or(0, |(_, revision)| *revision);
        let known = doc.roster().values().map(|member| revision(member.id)).min().unwrap_or(0);
        self.larger.retain(|_, (_, since)| known < *since);
    }

    /// What is worth writing into the document: members that go by this epoch and may go by its parts alone.
    pub fn seen(&self, now: Micros) -> Option<Change> {
        let doc = self.doc.as_ref()?;
        let settled = |id: MemberId| {
            self.seen.get(&id).is_some_and(|(since, _)| since.saturating_add(self.settings.longest) <= now)
        };
        let late = doc.roster().values().filter(|m| m.may_ppb > doc.each_ppb() && settled(m.id));
        let ids: Vec<MemberId> = late.map(|member| member.id).collect();
        (!ids.is_empty()).then_some(Change::Seen { epoch: doc.epoch(), ids })
    }

    /// What is charged of one of its wholes, and the most that may be.
    pub fn account(&self, id: WholeId) -> Option<(u64, u64)> {
        let whole = self.wholes.get(id).filter(|_| self.mine.contains_key(&id))?;
        Some((self.stakes.get(&id).map_or(0, Stake::charged), self.pool(id, whole)))
    }
}
