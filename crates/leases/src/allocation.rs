//! A grantor's account of one resource: the maximum that each holder may use. A charge goes down only with
//! the holder's own report or with time.

use std::collections::BTreeMap;

use crate::divide::{divide, Division};
use crate::epoch::MemberId;
use crate::message::ShareRequest;
use crate::resource::{Micros, MAX_AMOUNT, RATE_UNITS};

/// Maximum grants to a holder of which the accepted one is unknown; beyond it the two oldest are merged into
/// one with the larger amount and the later end.
pub const MAX_UNCONFIRMED_GRANTS: usize = 4;
/// Minimum interval between two divisions of a resource, in microseconds.
pub const DIVISION_INTERVAL: Micros = 20_000;
/// Period after which another holder comes first, where there is too little for all, in microseconds.
pub const PRIORITY_ROTATION: Micros = 8_000_000;

/// Units that may be used until a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct TimedAmount {
    seq: u64,
    units: u64,
    until: Micros,
}

/// A holder's account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HolderAccount {
    run: u64,
    seq: u64,
    wanted: u64,
    last_request: Micros,
    /// Grants that it may have accepted; the last one that it accepted replaces the earlier ones.
    grants: Vec<TimedAmount>,
    /// Units that it reported as held, granted or not: also slots in use, and the last share of a generous
    /// resource.
    reported: TimedAmount,
    /// Units that earlier processes of the member may still use in addition.
    predecessors: TimedAmount,
    charge: u64,
}

impl HolderAccount {
    fn recompute_charge(&mut self, now: Micros) {
        self.grants.retain(|grant| now < grant.until);
        for grant in [&mut self.reported, &mut self.predecessors] {
            grant.units = if now < grant.until { grant.units } else { 0 };
        }
        let largest = self.grants.iter().map(|grant| grant.units).max().unwrap_or(0);
        self.charge = largest.max(self.reported.units) + self.predecessors.units;
    }
}

/// A grantor's account of a resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Allocation {
    entries: BTreeMap<MemberId, HolderAccount>,
    charged: u64,
    level: Division,
    last_division: Option<(Micros, u64)>,
}

/// What grants are made from, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTerms {
    /// Maximum units that may be charged.
    pub pool: u64,
    /// The minimum share.
    pub min_share: u64,
    /// How long a grant may be held.
    pub term: Micros,
    /// How much longer the requests that were begun under it may last.
    pub tail: Micros,
}

impl Allocation {
    /// Maximum units that all holders may use.
    pub fn charged(&self) -> u64 {
        self.charged
    }

    /// Number of holders on the account.
    pub fn holder_count(&self) -> usize {
        self.entries.len()
    }

    fn recompute_charge(&mut self, id: MemberId, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let before = entry.charge;
            entry.recompute_charge(now);
            self.charged = self.charged - before + entry.charge;
        }
    }

    /// Records a holder's request; `false` where a later one of the holder was recorded.
    pub fn record_request(
        &mut self,
        now: Micros,
        (id, run, seq): (MemberId, u64, u64),
        request: &ShareRequest,
        terms: GrantTerms,
    ) -> bool {
        let new = HolderAccount { run, ..HolderAccount::default() };
        let entry = self.entries.entry(id).or_insert(new);
        if entry.run > run || (entry.run == run && entry.seq >= seq) {
            return false;
        }
        if entry.run < run {
            // It is from another process: the earlier one may be paused and still use what it holds.
            entry.recompute_charge(now);
            let until =
                entry.grants.iter().chain([&entry.reported, &entry.predecessors]).map(|d| d.until).max();
            let predecessors = TimedAmount { seq: 0, units: entry.charge, until: until.unwrap_or(0) };
            let (wanted, last_request, charge) = (entry.wanted, entry.last_request, entry.charge);
            *entry =
                HolderAccount { run, predecessors, wanted, last_request, charge, ..HolderAccount::default() };
        }
        entry.seq = seq;
        if request.grant_age > 0 {
            let accepted = seq.saturating_sub(request.grant_age);
            // Older grants than the accepted one are void, and the holder may report that it holds less of
            // the accepted one.
            entry.grants.retain(|grant| grant.seq >= accepted);
            entry
                .grants
                .iter_mut()
                .filter(|d| d.seq == accepted)
                .for_each(|d| d.units = d.units.min(request.held));
        }
        let until = now.saturating_add(terms.term).saturating_add(terms.tail);
        entry.reported = TimedAmount { seq, units: request.held.min(MAX_AMOUNT * RATE_UNITS), until };
        if self.last_division.is_some_and(|(_, pool)| pool == terms.pool) && entry.wanted == request.wanted {
            entry.last_request = now;
        } else {
            (entry.wanted, entry.last_request) = (request.wanted, now);
            self.last_division = self.last_division.map(|(at, _)| (at, u64::MAX));
        }
        self.recompute_charge(id, now);
        true
    }

    /// Grants a holder, whose request was just recorded, its share of the pool, as far as the other holders
    /// leave it free.
    pub fn grant(&mut self, now: Micros, id: MemberId, seq: u64, terms: GrantTerms) -> u64 {
        self.divide(now, terms);
        let Some(entry) = self.entries.get_mut(&id) else { return 0 };
        let others = self.charged - entry.charge + entry.predecessors.units;
        let share = self.level.share(id, entry.wanted).min(terms.pool.saturating_sub(others));
        if share > 0 {
            let until = now.saturating_add(terms.term).saturating_add(terms.tail);
            entry.grants.push(TimedAmount { seq, units: share, until });
            if entry.grants.len() > MAX_UNCONFIRMED_GRANTS {
                let old = entry.grants.remove(0);
                let next = &mut entry.grants[0];
                (next.units, next.until) = (next.units.max(old.units), next.until.max(old.until));
            }
        }
        self.recompute_charge(id, now);
        share
    }

    fn divide(&mut self, now: Micros, terms: GrantTerms) {
        match self.last_division {
            Some((at, pool)) if pool == terms.pool && now / PRIORITY_ROTATION == at / PRIORITY_ROTATION => {
                return
            }
            Some((at, u64::MAX)) if now < at.saturating_add(DIVISION_INTERVAL) => return,
            _ => {}
        }
        let requests =
            self.entries.iter().map(|(id, entry)| (*id, entry.wanted)).filter(|(_, wanted)| *wanted > 0);
        let requests: Vec<(MemberId, u64)> = requests.collect();
        self.level = divide(terms.pool, terms.min_share, &requests, now / PRIORITY_ROTATION);
        self.last_division = Some((now, terms.pool));
    }

    /// Removes what has expired; `false` where nothing is left.
    pub fn remove_expired(&mut self, now: Micros, term: Micros) -> bool {
        for entry in self.entries.values_mut() {
            entry.recompute_charge(now);
            if now >= entry.last_request.saturating_add(term) && entry.wanted > 0 {
                entry.wanted = 0;
                self.last_division = self.last_division.map(|(at, _)| (at, u64::MAX));
            }
        }
        self.entries.retain(|_, entry| entry.charge > 0 || now < entry.last_request.saturating_add(term));
        self.charged = self.entries.values().map(|entry| entry.charge).sum();
        !self.entries.is_empty()
    }
}
