//! Settings of the operators, and the limits of a ledger.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::capacity::GroupPolicy;
use crate::error::ReservationError;
use crate::interval::Micros;

/// Maximum number of reservations that have not ended.
pub const MAX_RESERVATIONS: usize = 4_096;
/// Maximum number of ended reservations that are retained for reading; beyond it, the tenant with most loses
/// its oldest.
pub const MAX_ENDED: usize = 512;
/// Maximum number of ended reservations retained per tenant; beyond it, its oldest is removed.
pub const MAX_ENDED_PER_TENANT: usize = 32;
/// Maximum number of reservations of one tenant that have not ended, whatever its allowance is.
pub const MAX_RESERVATIONS_PER_TENANT: u32 = 256;
/// Maximum number of groups.
pub const MAX_GROUPS: usize = 64;
/// Maximum number of groups of one reservation.
pub const MAX_GROUPS_PER_RESERVATION: usize = 8;
/// Maximum number of servers of all groups together.
pub const MAX_SERVERS: usize = 1_024;
/// Maximum number of outages stored per server.
pub const MAX_OUTAGES_PER_SERVER: usize = 4;
/// Maximum number of slots of a server, or of a reservation in one group.
pub const MAX_SLOTS: u32 = 262_144;
/// Maximum number of ranks.
pub const MAX_RANKS: usize = 16;
/// Maximum number of tenants with an allowance of their own.
pub const MAX_TENANT_ALLOWANCES: usize = 1_024;
/// Maximum number of reservations that one request may displace.
pub const MAX_DISPLACED: usize = 16;
/// Maximum number of idempotency keys stored per reservation: those of the first and the latest commands.
pub const MAX_KEYS: usize = 8;
/// Maximum number of events in a reservation's history: the first and the latest.
pub const MAX_HISTORY: usize = 8;
/// Maximum bytes of a name, a key or a reason.
pub const MAX_TEXT_BYTES: usize = 128;
/// Maximum bytes of the encoded ledger, which is what the coordination service accepts for one document.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;
/// Maximum bytes of settings, groups and servers. This much is set aside for them, and for each reservation
/// the bytes of a shortfall, so that the passing of time and the loss of servers can always be written.
pub const MAX_HEADER_BYTES: usize = 48 * 1024;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const DAY: Micros = 24 * HOUR;

/// Settings of a rank. A higher rank may displace a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankPolicy {
    /// A reservation of this rank can't be displaced from this long before its lead on.
    pub notice: Micros,
}

/// Limits of what a tenant may reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantAllowance {
    /// Maximum number of reservations that have not ended.
    #[serde(rename = "bookings")]
    pub reservations: u32,
    /// Maximum number of slots at any moment, in all groups together.
    pub slots: u32,
    /// Highest rank that the tenant may request.
    pub highest_rank: u8,
}

/// How unused slots are lent to other tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LendingPolicy {
    /// Maximum time until a lent slot is returned.
    #[serde(rename = "back")]
    pub return_within: Micros,
    /// Percentage of the entitlement that is never lent, rounded up.
    pub keep_percent: u8,
}

/// Settings that apply to all groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReservationSettings {
    /// Ranks from the lowest on; the index is the rank.
    pub ranks: Vec<RankPolicy>,
    /// Allowance of tenants without their own.
    #[serde(rename = "allowance")]
    pub default_allowance: TenantAllowance,
    /// Allowances by tenant.
    #[serde(rename = "tenants")]
    pub tenant_allowances: BTreeMap<String, TenantAllowance>,
    /// Maximum time from now to the end of a reservation.
    pub horizon: Micros,
    /// Maximum length of a reservation, lead and taper included.
    #[serde(rename = "longest")]
    pub max_length: Micros,
    /// Maximum duration of a hold.
    #[serde(rename = "longest_hold")]
    pub max_hold: Micros,
    /// Maximum time after a write for which a node may act on an older ledger: by then it has read the new
    /// one or has fenced itself, and the requests that it admitted have ended. It has to cover at least the
    /// maximum age of a ledger on a node, the longest request, and twice the widest clock interval.
    #[serde(rename = "spread")]
    pub propagation_time: Micros,
    /// Time from now for which a dead server is expected to be out.
    #[serde(rename = "mend")]
    pub repair_time: Micros,
    /// Time for which ended reservations are retained.
    #[serde(rename = "kept")]
    pub retention: Micros,
    /// How unused slots are lent.
    pub lending: LendingPolicy,
}

impl Default for ReservationSettings {
    fn default() -> ReservationSettings {
        ReservationSettings {
            ranks: vec![RankPolicy { notice: DAY }; 3],
            default_allowance: TenantAllowance { reservations: 64, slots: 10_000, highest_rank: 0 },
            tenant_allowances: BTreeMap::new(),
            horizon: 400 * DAY,
            max_length: 31 * DAY,
            max_hold: DAY,
            propagation_time: 30 * SECOND,
            repair_time: HOUR,
            retention: DAY,
            lending: LendingPolicy { return_within: SECOND, keep_percent: 10 },
        }
    }
}

impl ReservationSettings {
    /// Allowance of a tenant, its own or the default.
    pub fn allowance(&self, tenant: &str) -> TenantAllowance {
        let allowance = self.tenant_allowances.get(tenant).copied().unwrap_or(self.default_allowance);
        TenantAllowance { reservations: allowance.reservations.min(MAX_RESERVATIONS_PER_TENANT), ..allowance }
    }

    pub(crate) fn check(&self) -> Result<(), ReservationError> {
        let check_limit = |what: &'static str, limit: usize, actual: usize| match actual > limit {
            true => Err(ReservationError::LimitExceeded { what, limit: limit as u64, actual: actual as u64 }),
            false => Ok(()),
        };
        check_limit("ranks", MAX_RANKS, self.ranks.len())?;
        check_limit("tenants with an allowance", MAX_TENANT_ALLOWANCES, self.tenant_allowances.len())?;
        check_limit("lending.keep_percent", 100, usize::from(self.lending.keep_percent))?;
        self.tenant_allowances.keys().try_for_each(|name| check_text("tenant", name))?;
        if self.ranks.is_empty() {
            return Err(ReservationError::InvalidValue {
                what: "ranks",
                reason: "the list is empty: give at least one rank",
            });
        }
        if self.max_length > self.horizon || self.repair_time == 0 {
            return Err(ReservationError::InvalidValue {
                what: "longest, horizon, mend",
                reason: "longest has to be at most horizon, and mend more than 0",
            });
        }
        Ok(())
    }
}

/// Complete configuration that an operator sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerConfiguration {
    /// Settings that apply to all groups.
    pub settings: ReservationSettings,
    /// Policies of the groups, by name.
    pub groups: BTreeMap<String, GroupPolicy>,
}

/// Checks that a text is neither empty nor too long.
pub(crate) fn check_text(what: &'static str, text: &str) -> Result<(), ReservationError> {
    match text.len() {
        0 => Err(ReservationError::InvalidValue { what, reason: "the text is empty" }),
        1..=MAX_TEXT_BYTES => Ok(()),
        actual => {
            Err(ReservationError::LimitExceeded { what, limit: MAX_TEXT_BYTES as u64, actual: actual as u64 })
        }
    }
}
