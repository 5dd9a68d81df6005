//! A node's parts of all wholes: what its requests want is asked for, in rounds, and what is granted goes to its takers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use crate::demand::{Demand, ROUNDS};
use crate::desk::{Desk, Heard, Safe};
use crate::epoch::{EpochDoc, MemberId};
use crate::hand::Hand;
use crate::message::{Answer, Ask, Says, Want, HEAD_BYTES, MESSAGE_BYTES};
use crate::taker::{lock, Bell, Bucket, Taker};
use crate::whole::{part_of, Micros, Whole, WholeId, Wholes};
use crate::{Refusal, Settings};

/// Messages that are being written, and how long each is at most.
type Open = BTreeMap<MemberId, (Ask, usize)>;

/// A process's.
#[derive(Debug)]
pub struct Holder {
    settings: Settings,
    desk: Desk,
    wholes: Arc<Wholes>,
    /// From when on buckets of wholes that were not asked for yet fill.
    since: Micros,
    takers: BTreeMap<WholeId, Taker>,
    active: BTreeMap<WholeId, Demand>,
    bell: Bell,
    rounded: Option<Micros>,
    bytes: u64,
    /// Wholes of which less was granted than held: who waits for it gets it once this is said.
    urgent: BTreeSet<WholeId>,
    /// Where the next round begins: bytes may not have been enough for all.
    next: WholeId,
}

impl Holder {
    /// That of a process of a member, which begins with the safe part of rates that its name had last, by its
    /// disk; 0 where it has none.
    ///
    /// # Errors
    /// The settings can't be lived by.
    pub fn new(me: MemberId, life: u64, settings: Settings, rates: u64) -> Result<Holder, Refusal> {
        settings.check()?;
        let (takers, active, bell) = (BTreeMap::new(), BTreeMap::new(), Arc::new(Mutex::new(Vec::new())));
        let (desk, wholes) = (Desk::new(me, life, settings, rates), Arc::default());
        let (since, rounded, bytes, next) = (Micros::MAX, None, settings.ask_bytes_s, 0);
        let urgent = BTreeSet::new();
        Ok(Holder { settings, desk, wholes, since, takers, active, bell, rounded, bytes, urgent, next })
    }

    /// Its safe parts: to be on disk, with the document, before anything is asked under it.
    pub fn safe(&self) -> Safe {
        self.desk.safe()
    }

    /// The epoch that it goes by; 0 for none.
    pub fn epoch(&self) -> u64 {
        self.desk.doc().map_or(0, EpochDoc::epoch)
    }

    /// Goes by a later document.
    pub fn adopt(&mut self, now: Micros, doc: &EpochDoc) {
        if self.desk.adopt(now, doc) {
            self.refresh(now);
        }
    }

    /// Goes by a later revision of the wholes. The taker of one that is gone lets nothing in any more; should it come again,
    /// it has to be fetched anew.
    pub fn on_wholes(&mut self, now: Micros, wholes: Arc<Wholes>) {
        if wholes.revision() <= self.wholes.revision() {
            return;
        }
        (self.wholes, self.since) = (wholes, now);
        lock(&self.bell).reserve(self.wholes.len());
        self.active.retain(|id, _| self.wholes.get(*id).is_some());
        self.refresh(now);
        // Slots that are in use yet are known if it comes again.
        self.takers.retain(|id, taker| self.wholes.get(*id).is_some() || taker.in_use() > 0);
    }

    fn refresh(&mut self, now: Micros) {
        for (id, taker) in &self.takers {
            taker.bucket().change(now, |bucket| match self.wholes.get(*id) {
                Some(whole) => self.set(bucket, whole),
                None => (bucket.hand, bucket.listed) = (Hand::default(), false),
            });
        }
    }

    /// The safe part of a whole, in units.
    pub fn safe_of(&self, id: WholeId) -> u64 {
        let safe = self.desk.safe();
        let of =
            |whole: &Whole| part_of(whole.units(), if whole.is_slots() { safe.slots } else { safe.rates });
        self.wholes.get(id).map_or(0, of)
    }

    fn set(&self, bucket: &mut Bucket, whole: &Whole) {
        let (units, safe) = (whole.units(), self.desk.safe());
        let members = self.desk.doc().map_or(1, EpochDoc::members).max(1) as u64;
        let safe = part_of(units, if whole.is_slots() { safe.slots } else { safe.rates });
        let even = matches!(whole.mode, crate::Mode::Generous).then_some(units / members);
        (bucket.whole, bucket.members) = (*whole, members);
        bucket.hand.set(safe, even, &self.settings);
    }

    /// The taker of a whole.
    pub fn taker(&mut self, id: WholeId) -> Option<Taker> {
        if let Some(taker) = self.takers.get(&id) {
            return Some(taker.clone());
        }
        let whole = *self.wholes.get(id)?;
        let mut bucket = Bucket::new(whole, 1, self.settings.drift_ppm, self.since);
        self.set(&mut bucket, &whole);
        let taker = Taker::new(id, Arc::clone(&self.bell), bucket);
        self.takers.insert(id, taker.clone());
        Some(taker)
    }

    /// What is to be asked now, and of whom. Called at least once in a round, and after answers: what they took away is told
    /// at once.
    pub fn poll(&mut self, now: Micros) -> Vec<(MemberId, Ask)> {
        if self.desk.grow(now) {
            self.refresh(now);
        }
        let past = self.rounded.map_or(self.settings.round, |at| now.saturating_sub(at));
        let urgent = std::mem::take(&mut self.urgent);
        // A timer that is a little early is no reason to wait for the next.
        if past < self.settings.round / 8 * 7 {
            return self.write(now, urgent.into_iter().collect(), None);
        }
        self.rounded = Some(now);
        let more = u128::from(self.settings.ask_bytes_s) * u128::from(past) / 1_000_000;
        self.bytes = self.bytes.saturating_add(more as u64).min(self.settings.ask_bytes_s);
        let woken: Vec<WholeId> = lock(&self.bell).drain(..).collect();
        self.active.extend(woken.into_iter().map(|id| (id, Demand::default())));
        let turns = self.active.range(self.next..).chain(self.active.range(..self.next));
        let order = turns.map(|(id, _)| *id).collect();
        self.write(now, order, Some(past))
    }

    /// Asks for wholes, in that order, as far as there are bytes; in a round, after so long a time.
    fn write(&mut self, now: Micros, order: Vec<WholeId>, round: Option<Micros>) -> Vec<(MemberId, Ask)> {
        let (mut out, mut open, mut full) = (Vec::new(), Open::new(), false);
        for id in order {
            let Some(want) = self.want(now, round, id) else { continue };
            if full || !self.add(now, want, &mut open, &mut out) {
                self.next = if full || round.is_none() { self.next } else { id };
                full = true;
            }
        }
        out.extend(open.into_iter().map(|(to, (ask, _))| (to, ask)));
        out
    }

    /// Measures the demand for a whole and gives back what is idle; `None` where there is nothing to say of it.
    fn want(&mut self, now: Micros, round: Option<Micros>, id: WholeId) -> Option<Want> {
        let taker = self.takers.get(&id)?;
        let demand = self.active.get_mut(&id)?;
        let mut bucket = taker.bucket();
        if let Some(past) = round {
            demand.measure(&mut bucket, past, self.settings.round);
        }
        let total = demand.total;
        let want = total.saturating_sub(bucket.hand.safe()).min(bucket.whole.units());
        // Cut off, a generous whole's last part is kept.
        let kept = bucket.hand.unanswered() && matches!(bucket.whole.mode, crate::Mode::Generous);
        if !kept && want < bucket.hand.held(now) / 4 * 3 {
            bucket.change(now, |bucket| bucket.hand.lower(want));
        }
        let held = bucket.hand.held(now).max(bucket.in_use.saturating_sub(bucket.hand.safe()));
        if want == 0 && held == 0 && demand.rounds == [0; ROUNDS] && !kept && demand.told {
            bucket.change(now, |bucket| bucket.hand.rest());
            bucket.listed = false;
            drop(bucket);
            self.active.remove(&id);
            return None;
        }
        Some(Want { whole: id, want, held, ago: bucket.hand.taken() })
    }

    /// Puts a want in a message to its grantor; `false` where there are no bytes left.
    fn add(&mut self, now: Micros, mut want: Want, open: &mut Open, out: &mut Vec<(MemberId, Ask)>) -> bool {
        let Some((epoch, to)) = self.desk.doc().and_then(|doc| Some((doc.epoch(), doc.grantor(want.whole)?)))
        else {
            return true;
        };
        let taken = std::mem::take(&mut want.ago);
        // As long ago as it can be in any message that is open.
        let ago = |seq: u64| if taken == 0 { 0 } else { seq - taken };
        want.ago = ago(self.desk.latest() + 1);
        let own = want.bytes();
        let fresh = open.get(&to).is_none_or(|(_, bytes)| bytes + own > MESSAGE_BYTES);
        let cost = (own + if fresh { HEAD_BYTES } else { 0 }) as u64;
        if cost > self.bytes {
            return false;
        }
        self.bytes -= cost;
        if fresh {
            let seq = self.desk.send(now, to);
            let (from, life, revision) = (self.desk.me(), self.desk.life(), self.wholes.revision());
            let ask = Ask { epoch, revision, from, life, seq, wants: Vec::new() };
            out.extend(open.insert(to, (ask, HEAD_BYTES)).map(|(full, _)| (to, full)));
        }
        let Some((ask, bytes)) = open.get_mut(&to) else { return true };
        *bytes += own;
        want.ago = ago(ask.seq);
        if let (Some(taker), Some(demand)) = (self.takers.get(&want.whole), self.active.get_mut(&want.whole))
        {
            let silent = self.desk.silent(to).unwrap_or(now);
            taker.bucket().change(now, |bucket| bucket.hand.ask(now, silent));
            demand.told = want.want == 0 && want.held == 0;
        }
        ask.wants.push(want);
        true
    }

    /// Takes what a grantor answered.
    pub fn on_answer(&mut self, now: Micros, answer: &Answer) -> Heard {
        let heard = self.desk.hear(answer);
        let (Heard::Grant(sent, term), Says::Grant { parts, .. }) = (heard, &answer.says) else {
            return heard;
        };
        for part in parts {
            let granter = self.desk.doc().and_then(|doc| doc.grantor(part.whole));
            if let Some(taker) = self.takers.get(&part.whole).filter(|_| granter == Some(answer.from)) {
                let mut bucket = taker.bucket();
                let held = bucket.hand.held(now);
                // By a revision of before it may be more than all.
                let most = part.part.min(bucket.whole.units());
                bucket.change(now, |bucket| {
                    bucket.hand.take(sent, answer.seq, most, term);
                });
                if bucket.hand.held(now) < held / 8 * 7 {
                    self.urgent.insert(part.whole);
                }
            }
        }
        heard
    }

    /// Wholes that are asked for now.
    pub fn active(&self) -> BTreeSet<WholeId> {
        self.active.keys().copied().collect()
    }
}
