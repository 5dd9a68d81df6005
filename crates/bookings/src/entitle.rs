//! What a node may act on: plain numbers for its clock's interval, so that two nodes whose clocks differ never give the
//! same slot twice.
//!
//! A tenant's number is the *least* over all moments that it may be now. The true moment is one of them at every node, so
//! the numbers of all tenants together are never over the group's at that moment: the next booking begins at a node only
//! once the last is surely over, and the last ends there as soon as it may be over.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::book::Book;
use crate::line::Line;
use crate::short::share;
use crate::when::{Interval, Micros, Window};

/// What leases have to divide of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// What is reserved, by tenant.
    pub reserved: BTreeMap<String, Whole>,
    /// What is left for everybody.
    pub open: Whole,
}

/// A whole that leases divide.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Whole {
    /// How much.
    pub slots: u32,
    /// No term may go on past this: from then on it may be less.
    pub until: Micros,
}

impl Book {
    /// How many slots of a group a tenant may use now.
    pub fn entitlement(&self, group: &str, tenant: &str, now: impl Into<Interval>) -> u32 {
        self.entitled(group, now.into()).get(tenant).copied().unwrap_or(0)
    }

    /// What leases have to divide of a group now, where no request of everybody's lasts longer than `longest`.
    pub fn plan(&self, group: &str, now: impl Into<Interval>, longest: Micros) -> Option<Plan> {
        let now = now.into();
        let lines = self.lines.get(group)?;
        let firm = &lines.capacity.firm;
        // From the first moment on at which somebody gets less than it wants, all may change at any edge.
        let mut tight = firm.pairs(&lines.used, now.earliest, Micros::MAX);
        let tight = tight.find(|pair| pair.one < pair.other).map_or(Micros::MAX, |pair| pair.from);
        let next = || self.edges(group, now.latest, Micros::MAX).first().copied().unwrap_or(Micros::MAX);
        let tight = if tight <= now.latest { next() } else { tight };
        let reserved = self.entitled(group, now).into_iter().map(|(tenant, slots)| {
            let own = self.bookings().filter(|booking| booking.entitles() && booking.tenant == tenant);
            let own = Line::sum(own.filter_map(|booking| booking.steps(group)).flatten());
            let less = own.edges(now.latest).find(|at| own.at(*at) < slots);
            (tenant, Whole { slots, until: less.unwrap_or(Micros::MAX).min(tight) })
        });
        let reserved = reserved.collect();
        let open = self.open(group, now, longest)?;
        let (whole, used) = (&lines.capacity.whole, &lines.used);
        let less = whole.edges(now.latest).chain(used.edges(now.latest)).filter(|at| {
            let booked = used.at(*at).min(lines.capacity.firm.at(*at));
            whole.at(*at) - booked < open
        });
        // Not a term alone but the longest request in it has to be over by then.
        let until = less.min().map_or(Micros::MAX, |at| at.saturating_sub(longest));
        Some(Plan { reserved, open: Whole { slots: open, until } })
    }

    /// Slots of a group that are nobody's from now until a request of this length, begun now, is surely over.
    pub fn open(&self, group: &str, now: impl Into<Interval>, lasts: Micros) -> Option<u32> {
        let now = now.into();
        let lines = self.lines.get(group)?;
        let until = now.latest.saturating_add(lasts).saturating_add(1);
        let free = |at: Micros| {
            let booked = lines.used.at(at).min(lines.capacity.firm.at(at));
            lines.capacity.whole.at(at).saturating_sub(booked)
        };
        let edges = lines.used.edges(now.earliest).take_while(|at| *at < until);
        let more = lines.capacity.whole.edges(now.earliest).take_while(|at| *at < until);
        Some(edges.chain(more).chain([now.earliest]).map(free).min().unwrap_or(0))
    }

    /// What every tenant may use of a group now.
    fn entitled(&self, group: &str, now: Interval) -> BTreeMap<String, u32> {
        let mut least: Option<BTreeMap<String, u32>> = None;
        let edges = self.edges(group, now.earliest, now.latest.saturating_add(1));
        for at in [now.earliest].into_iter().chain(edges) {
            let here = self.alloted(group, at);
            let both = match least {
                None => here.into_iter().map(|(tenant, slots)| (tenant.to_owned(), slots)).collect(),
                Some(before) => before
                    .into_iter()
                    .filter_map(|(tenant, slots)| {
                        here.get(tenant.as_str()).map(|now| (tenant, slots.min(*now)))
                    })
                    .collect(),
            };
            least = Some(both);
        }
        least.unwrap_or_default().into_iter().filter(|(_, slots)| *slots > 0).collect()
    }

    /// What every tenant gets at a moment, by the rule where there is too little.
    fn alloted(&self, group: &str, at: Micros) -> BTreeMap<&str, u32> {
        let mut by_tenant = BTreeMap::new();
        let (Some(lines), Some(of)) = (self.lines.get(group), self.form.groups.get(group)) else {
            return by_tenant;
        };
        let wants = self.wants(group, at);
        let short: BTreeMap<u64, u32> =
            share(of.rule.short_by, &wants, lines.capacity.firm.at(at)).into_iter().collect();
        for ((_, _, id), want) in wants {
            let gets = short.get(&id).copied().unwrap_or(want);
            if let Some(booking) = self.booking(id) {
                *by_tenant.entry(booking.tenant.as_str()).or_default() += gets;
            }
        }
        by_tenant
    }

    /// The moments after one and before another at which what somebody gets of a group may change.
    fn edges(&self, group: &str, after: Micros, before: Micros) -> BTreeSet<Micros> {
        let near = |at: &Micros| (after.saturating_add(1)..before).contains(at);
        let mut edges = BTreeSet::new();
        let meets = |window: &Window| window.until() > after && window.from() < before;
        let entitled = self.bookings().filter(|booking| meets(&booking.window) && booking.entitles());
        for step in entitled.filter_map(|booking| booking.steps(group)).flatten() {
            edges.extend([step.from, step.until].into_iter().filter(near));
        }
        if let Some(lines) = self.lines.get(group) {
            edges.extend(lines.capacity.firm.edges(after).take_while(near));
        }
        edges
    }
}
