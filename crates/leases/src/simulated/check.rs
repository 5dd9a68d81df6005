//! What a fleet acts on and lets in, counted by true time, by whoever sees all of it.

use std::collections::{BTreeMap, BTreeSet};

use super::play::Event;
use super::{Sim, LATEST};
use crate::whole::{part_of, Kind, Micros, Mode, WholeId, Wholes, RATE_UNITS};
use crate::{untold_over, Settings};

/// Rates are metered in this part of a request: a thousandth of a request a second for a microsecond.
const ONE: u128 = 1_000_000_000;

/// What came of one whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Requests that came.
    pub came: u64,
    /// Those that were let in.
    pub taken: u64,
    /// Slots in use.
    in_use: u64,
    /// A bucket of the whole's rate that leaks by true time.
    level: u128,
    at: Micros,
}

/// The counts.
#[derive(Clone, Debug, Default)]
pub struct Check {
    /// Of each whole.
    pub counts: BTreeMap<WholeId, Count>,
    /// What was over, first of all.
    pub broken: Vec<String>,
    /// Sums that were looked at.
    pub looked: u64,
    holders: BTreeMap<WholeId, BTreeSet<usize>>,
    /// Wholes that were larger, and until when that may be acted on by those who can be told.
    larger: BTreeMap<WholeId, (u64, Micros)>,
    /// The largest that a whole ever was, of those that were lowered.
    was: BTreeMap<WholeId, u64>,
    units: BTreeMap<WholeId, u64>,
}

impl Check {
    pub(super) fn fault(&mut self, what: &str) {
        if self.broken.len() < 8 {
            self.broken.push(what.to_owned());
        }
    }

    pub(super) fn ended(&mut self, whole: WholeId) {
        let count = self.counts.entry(whole).or_default();
        count.in_use = count.in_use.saturating_sub(1);
    }

    /// Lowered wholes hold from a term after all awake nodes know of them; a turn tells them.
    pub(super) fn lowered(&mut self, now: Micros, wholes: &Wholes, settings: &Settings) {
        let until = now + 2 * settings.round + LATEST + 2 * settings.term;
        for (id, whole) in wholes.iter() {
            if let Some(was) = self.units.insert(id, whole.units()).filter(|was| *was > whole.units()) {
                let was =
                    self.larger.get(&id).filter(|(_, until)| now < *until).map_or(was, |(w, _)| was.max(*w));
                self.larger.insert(id, (was, until));
                self.was.entry(id).and_modify(|most| *most = was.max(*most)).or_insert(was);
            }
        }
    }
}

impl Sim {
    /// The document and the wholes, as the service has them, and whether its epoch still is this process's.
    pub(super) fn serve(&mut self, who: usize, now: Micros) {
        let process = &mut self.processes[who];
        process.holder.on_wholes(now, std::sync::Arc::clone(&self.wholes));
        process.grantor.on_wholes(now, std::sync::Arc::clone(&self.wholes));
        if process.read != self.version {
            process.read = self.version;
            // The disk has another owner: what can't be kept there is not gone by.
            if process.own {
                process.holder.adopt(now, &self.doc);
            }
            process.grantor.adopt(now, &self.doc);
        }
        if self.doc.seat(process.id) == Some(process.life) {
            let at = self.now + self.random.u64(100..LATEST);
            self.push(at, Event::Confirmed(who, now, self.doc.epoch()));
        }
        if let Some(seen) = self.processes[who].grantor.seen(now) {
            self.version += u64::from(self.doc.take(seen).unwrap_or(false));
        }
    }

    /// The requests that came to a node of late, one after the other.
    pub(super) fn requests(&mut self, who: usize, now: Micros) {
        let node = self.processes[who].node;
        if !self.processes[who].own {
            return;
        }
        let (from, to) = ((node, 0), (node, WholeId::MAX));
        let here: Vec<(WholeId, u64)> =
            self.traffic.range(from..=to).map(|((_, id), rate)| (*id, *rate)).collect();
        for (id, rate) in here {
            let Some(taker) = self.processes[who].holder.taker(id) else { continue };
            let due = u128::from(rate) * u128::from(self.knock);
            let more = u64::try_from(due / ONE).unwrap_or(0);
            let chance = self.random.u64(..1_000_000_000) < (due % ONE) as u64;
            for _ in 0..more + u64::from(chance) {
                let taken = taker.take(now).is_ok();
                self.counted(who, id, taken);
            }
        }
    }

    fn counted(&mut self, who: usize, id: WholeId, taken: bool) {
        let Some(whole) = self.wholes.get(id).copied() else { return };
        let units = self.most(id, whole.units());
        let count = self.check.counts.entry(id).or_default();
        count.came += 1;
        if !taken {
            return;
        }
        count.taken += 1;
        // What was let in before a lowered whole held is no part of a window after that.
        let held = self.check.larger.get(&id).map_or(0, |(_, until)| *until);
        if count.at < held && held <= self.now {
            count.level = 0;
        }
        let scale = u128::from(whole.burst()) * u128::from(units) / u128::from(whole.units().max(1));
        let burst = (scale as u64).max(self.members.1) + self.members.1 - self.members.0;
        let over = match whole.kind {
            Kind::Rate { .. } => {
                let leaked = u128::from(units) * u128::from(self.now - count.at);
                count.level = count.level.saturating_sub(leaked) + ONE;
                count.at = self.now;
                count.level > u128::from(burst) * ONE
            }
            Kind::Slots { .. } => {
                count.in_use += 1;
                count.in_use > units
            }
        };
        if whole.is_slots() {
            let ends = self.now + self.random.u64(..self.settings.longest);
            self.push(ends, Event::Ends(who, id));
        }
        if over && whole.mode == Mode::Strict {
            let now = self.now;
            self.check.fault(&format!("whole {id}: let in over the bound at {now}"));
        }
    }

    /// All that is acted on of a whole, in units, now.
    pub fn acted_on(&mut self, id: WholeId) -> u64 {
        let Some(whole) = self.wholes.get(id).copied() else { return 0 };
        let now = self.now;
        let (mut ppb, mut told) = (0, 0);
        for process in self.processes.iter().filter(|process| process.own && !process.ended) {
            match self.check.was.contains_key(&id) {
                true => told += process.holder.safe_of(id),
                false if whole.is_slots() => ppb += process.holder.safe().slots,
                false => ppb += process.holder.safe().rates,
            }
        }
        let holders = self.check.holders.entry(id).or_default();
        let mut held = 0;
        holders.retain(|at| {
            let process = &mut self.processes[*at];
            let local = process.local(now);
            let own =
                process.holder.taker(id).filter(|_| !process.ended).map_or(0, |taker| taker.held(local));
            held += own;
            own > 0
        });
        part_of(whole.units(), ppb) + told + held
    }

    /// The most of a whole that may be acted on now.
    fn most(&self, id: WholeId, units: u64) -> u64 {
        let larger = self.check.larger.get(&id).filter(|(_, until)| self.now < *until).map(|(most, _)| *most);
        // Who can't be told may have safe parts of what it was, which a grantor that began since does not know of.
        let untold = self.check.was.get(&id).map_or(0, |was| untold_over(*was, units, self.share_ppb));
        larger.unwrap_or(0).max(units + untold)
    }

    /// Looks at the sum of one whole after a process took a part of it.
    pub(super) fn parts_of(&mut self, who: usize, id: WholeId) {
        self.check.holders.entry(id).or_default().insert(who);
        let Some(whole) = self.wholes.get(id).copied().filter(|whole| whole.mode == Mode::Strict) else {
            return;
        };
        let (sum, now) = (self.acted_on(id), self.now);
        let most = self.most(id, whole.units());
        self.check.looked += 1;
        if sum > most {
            self.check.fault(&format!("whole {id}: {sum} of {most} acted on at {now}"));
        }
    }

    /// What was let in of what could have been of a rate since a moment, in thousandths of the whole.
    pub fn used(&self, id: WholeId, taken_before: u64, span: Micros) -> u64 {
        let taken = self.check.counts.get(&id).map_or(0, |count| count.taken).saturating_sub(taken_before);
        let units = self.wholes.get(id).map_or(1, |whole| whole.units()).max(1);
        let all = u128::from(units) * u128::from(span) / u128::from(RATE_UNITS) / 1_000_000;
        (u128::from(taken) * 1_000 / all.max(1)) as u64
    }
}
