//! Commands on the ledger, and their outcomes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interval::{Micros, ReservationWindow};
use crate::reservation::IdempotencyKey;
use crate::settings::LedgerConfiguration;

/// Slots that a tenant requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReservationRequest {
    /// Slots by group name; all are reserved together or none.
    #[serde(rename = "parts")]
    pub slots_by_group: BTreeMap<String, u32>,
    /// Time for which they are requested.
    pub window: ReservationWindow,
}

/// A command. One with a key is applied once: repeated with the same key and content it changes nothing, and
/// the outcome names the reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationCommand {
    /// A tenant requests a reservation.
    #[serde(rename = "book")]
    Reserve {
        /// The tenant.
        tenant: String,
        /// Idempotency key that the tenant chose for this command.
        key: String,
        /// Slots and window.
        #[serde(rename = "wish")]
        request: ReservationRequest,
        /// Rank of the reservation.
        rank: u8,
        /// Whether reservations of lower ranks may be displaced for it.
        displace: bool,
        /// Maximum duration of a hold until it is confirmed; `None` confirms it at once.
        hold: Option<Micros>,
    },
    /// A tenant confirms a held reservation.
    Confirm {
        /// The tenant.
        tenant: String,
        /// Idempotency key that the tenant chose for this command.
        key: String,
        /// Number of the reservation.
        #[serde(rename = "booking")]
        reservation: u64,
    },
    /// A tenant replaces the slots and window of a reservation by others.
    Change {
        /// The tenant.
        tenant: String,
        /// Idempotency key that the tenant chose for this command.
        key: String,
        /// Number of the reservation.
        #[serde(rename = "booking")]
        reservation: u64,
        /// New slots and window.
        #[serde(rename = "wish")]
        request: ReservationRequest,
    },
    /// A tenant, or an operator on its behalf, cancels a reservation.
    Cancel {
        /// The tenant.
        tenant: String,
        /// Idempotency key that the tenant chose for this command.
        key: String,
        /// Number of the reservation.
        #[serde(rename = "booking")]
        reservation: u64,
        /// Reason, which is stored in the history.
        reason: String,
    },
    /// An operator replaces settings and groups. Existing reservations are kept.
    Configure(LedgerConfiguration),
}

impl ReservationCommand {
    /// Tenant and key of the command; `None` for an operator's command.
    pub fn key(&self) -> Option<(&str, &str)> {
        match self {
            ReservationCommand::Reserve { tenant, key, .. }
            | ReservationCommand::Confirm { tenant, key, .. }
            | ReservationCommand::Change { tenant, key, .. }
            | ReservationCommand::Cancel { tenant, key, .. } => Some((tenant, key)),
            ReservationCommand::Configure(_) => None,
        }
    }

    /// Hashes of the key and of the whole command. A tenant that crafts a collision affects only its own
    /// commands.
    pub(crate) fn idempotency_key(&self) -> IdempotencyKey {
        let key = self.key().map_or("", |(_, key)| key);
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let hash = |bytes: &[u8]| xxhash_rust::xxh3::xxh3_64(bytes).to_le_bytes();
        let [a, b, c, d, ..] = hash(&body);
        IdempotencyKey { key_hash: hash(key.as_bytes()), body_hash: [a, b, c, d] }
    }
}

/// Notice that a reservation of a tenant changed; the reservation's history says how and why.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct TenantNotice {
    /// Tenant to notify.
    pub tenant: String,
    /// Number of the reservation.
    #[serde(rename = "booking")]
    pub reservation: u64,
}

/// Outcome of a command.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CommandOutcome {
    /// Reservation that was created or changed; `None` for an operator's command.
    #[serde(rename = "booking")]
    pub reservation: Option<u64>,
    /// Whether the command was applied before: nothing has changed and nothing has to be written.
    #[serde(rename = "again")]
    pub repeated: bool,
    /// Notices for other reservations that changed: displaced, in shortfall, or in a new phase.
    #[serde(rename = "told")]
    pub notices: Vec<TenantNotice>,
}
