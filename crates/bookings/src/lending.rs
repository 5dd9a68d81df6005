//! How many slots of an entitlement may be lent while they are unused, and how soon they are returned.
//!
//! `lendable = entitled - peak - ceil(entitled * keep_percent / 100)`, at least 0, where `peak` is the
//! maximum that the owner had in flight or queued in the last `return_within`. A lent slot is given only to a
//! request that surely ends within `return_within`, and before the owner's slots may become fewer; so the
//! owner gets any slot that it requests within `return_within`. An owner that grows by no more than the kept
//! percentage in each `return_within` never waits.

use serde::Serialize;

use crate::interval::{Micros, TimeInterval};
use crate::settings::LendingPolicy;
use crate::timeline::percent_rounded_up;

impl LendingPolicy {
    /// Number of slots of an entitlement that may be lent.
    pub fn lendable(&self, entitled: u32, peak: u32) -> u32 {
        entitled.saturating_sub(peak).saturating_sub(percent_rounded_up(entitled, self.keep_percent))
    }
}

/// A node's slot counts in a group, as one tenant's request sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LendingCounts {
    /// The tenant's reserved slots on this node.
    pub own_slots: u32,
    /// The tenant's requests in flight on them.
    pub own_in_flight: u32,
    /// Other tenants' requests in flight on them.
    pub lent_out: u32,
    /// Unreserved slots on this node.
    pub unreserved_slots: u32,
    /// Requests in flight on them.
    pub unreserved_in_flight: u32,
    /// Slots of other tenants that may be lent: the sum of [`LendingPolicy::lendable`].
    pub lendable: u32,
    /// Requests of all tenants in flight on lent slots.
    pub lent_in_flight: u32,
    /// The earliest `until` of the [`crate::LeasableSlots`] that lend.
    pub lent_until: Micros,
}

/// Decision of an admission queue on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LendingDecision {
    /// Admit it on its tenant's reserved slots.
    Own,
    /// Admit it on unreserved slots.
    #[serde(rename = "open")]
    Unreserved,
    /// Admit it on a slot that another tenant has reserved and does not use.
    Lent,
    /// Its tenant's slot is lent and will be returned.
    #[serde(rename = "soon")]
    OwnSlotReturns {
        /// Latest time of the return.
        by: Micros,
    },
    /// No slot is available.
    Full,
}

impl LendingPolicy {
    /// Decides on a request that takes at most `duration`.
    pub fn decide(
        &self,
        counts: &LendingCounts,
        now: impl Into<TimeInterval>,
        duration: Micros,
    ) -> LendingDecision {
        let now = now.into();
        let ends_by = now.latest.saturating_add(duration);
        if counts.own_in_flight.saturating_add(counts.lent_out) < counts.own_slots {
            LendingDecision::Own
        } else if counts.unreserved_in_flight < counts.unreserved_slots {
            LendingDecision::Unreserved
        } else if counts.own_in_flight < counts.own_slots {
            LendingDecision::OwnSlotReturns { by: now.latest.saturating_add(self.return_within) }
        } else if counts.lent_in_flight < counts.lendable
            && duration <= self.return_within
            && ends_by <= counts.lent_until
        {
            LendingDecision::Lent
        } else {
            LendingDecision::Full
        }
    }
}
