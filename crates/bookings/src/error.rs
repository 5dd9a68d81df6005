//! The error that the ledger's operations return. A command that fails changes nothing.

use crate::interval::Micros;
use crate::reservation::ReservationPhase;
use crate::settings::{MAX_DISPLACED, MAX_DOCUMENT_BYTES, MAX_HEADER_BYTES, MAX_RESERVATIONS};

/// Why a command or an update was rejected. The message says what the caller can do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReservationError {
    /// A group has too few free slots in the window.
    #[error(
        "group {group} has {remaining} of the {wanted} requested slots available at {at}: {}, request fewer, or use a rank that may displace others",
        later(next)
    )]
    GroupFull {
        /// Name of the group.
        group: String,
        /// First moment at which the slots don't suffice.
        at: Micros,
        /// Slots available at that moment.
        remaining: u32,
        /// Slots requested at that moment.
        wanted: u32,
        /// Next start at which the whole reservation fits, if there is one within the horizon.
        next: Option<Micros>,
    },
    /// The reservation would exceed the tenant's allowance of slots.
    #[error("the tenant may reserve {remaining} more of the {wanted} requested slots at {at}: {}, request fewer, or have its allowance raised", later(next))]
    TenantSlotsExceeded {
        /// First moment at which the allowance would be exceeded.
        at: Micros,
        /// Slots that the tenant may still reserve at that moment.
        remaining: u32,
        /// Slots requested at that moment.
        wanted: u32,
        /// Next start at which the whole reservation fits, if there is one within the horizon.
        next: Option<Micros>,
    },
    /// The tenant has as many reservations as its allowance permits.
    #[error(
        "the tenant has reached its limit of {limit} reservations: cancel one, or have its allowance raised"
    )]
    TooManyTenantReservations {
        /// Maximum number of the tenant's reservations.
        limit: u32,
    },
    /// The ledger has the maximum number of reservations.
    #[error(
        "the ledger has reached its limit of {MAX_RESERVATIONS} reservations: wait until one ends, or cancel one"
    )]
    LedgerFull,
    /// The reservations would need too many bytes of the document.
    #[error(
        "the reservations would need {bytes} of {limit} bytes: cancel some, or use shorter names and reasons",
        limit = MAX_DOCUMENT_BYTES - MAX_HEADER_BYTES
    )]
    LedgerTooLong {
        /// Bytes that the reservations would need.
        bytes: usize,
    },
    /// The ledger has no group of this name.
    #[error("there is no group {0}: use a group of the ledger, or have it configured")]
    UnknownGroup(String),
    /// A group that has reservations can't be removed.
    #[error("group {group} has reservation {reservation}: cancel it first, or keep the group")]
    GroupInUse {
        /// Name of the group.
        group: String,
        /// A reservation that uses the group.
        reservation: u64,
    },
    /// The tenant has no reservation of this number.
    #[error("the tenant has no reservation {0}: it ended long ago, or it belongs to another tenant")]
    UnknownReservation(u64),
    /// The idempotency key belongs to a different command.
    #[error("the key was used for another command, on reservation {reservation}: use a new key")]
    KeyReused {
        /// Reservation that the other command was about.
        reservation: u64,
    },
    /// The reservation has ended.
    #[error("reservation {reservation} has ended ({phase:?}): make a new reservation")]
    Ended {
        /// Number of the reservation.
        reservation: u64,
        /// Phase in which it ended.
        phase: ReservationPhase,
    },
    /// The hold has expired, or may have by the writer's clock.
    #[error(
        "the hold of reservation {reservation} ended at {at}: make a new reservation, and confirm it sooner"
    )]
    HoldExpired {
        /// Number of the reservation.
        reservation: u64,
        /// End of the hold.
        at: Micros,
    },
    /// The reservation has begun, or begins before every node has read a change.
    #[error("reservation {reservation} has begun: {reason}")]
    AlreadyBegun {
        /// Number of the reservation.
        reservation: u64,
        /// Reason, with what can still be done.
        reason: &'static str,
    },
    /// The reservation would begin too soon, or in the past.
    #[error(
        "the reservation would begin at {from}, which may be past: begin its lead at {earliest} or later"
    )]
    StartsTooSoon {
        /// Time at which its lead would begin.
        from: Micros,
        /// Earliest permitted begin of the lead.
        earliest: Micros,
    },
    /// The reservation would end after the horizon.
    #[error("the reservation would end at {until}, after the horizon: it has to end by {latest}")]
    EndsBeyondHorizon {
        /// Time at which its taper would end.
        until: Micros,
        /// Latest permitted end.
        latest: Micros,
    },
    /// The requested rank is higher than the tenant may use.
    #[error("rank {rank} exceeds {highest}, the tenant's highest: request a lower one, or have its allowance raised")]
    RankTooHigh {
        /// Requested rank.
        rank: u8,
        /// Highest rank that the tenant may use.
        highest: u8,
    },
    /// The request would displace too many reservations.
    #[error(
        "more than {MAX_DISPLACED} reservations would be displaced: request fewer slots or a shorter window"
    )]
    DisplacesTooMany,
    /// A value or a number of items exceeds its limit.
    #[error("{what}: {actual} exceeds the limit of {limit}")]
    LimitExceeded {
        /// Name of the limited value.
        what: &'static str,
        /// The limit.
        limit: u64,
        /// The value that was given.
        actual: u64,
    },
    /// A value is invalid.
    #[error("{what}: {reason}")]
    InvalidValue {
        /// Name of the value.
        what: &'static str,
        /// Why it is invalid, and what to give instead.
        reason: &'static str,
    },
}

fn later(next: &Option<Micros>) -> String {
    match next {
        Some(start) => format!("start at {start}"),
        None => "no later start fits within the horizon".to_owned(),
    }
}
