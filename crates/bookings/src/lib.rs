//! Reservations of shared capacity: tenants reserve slots on groups of servers that they share, for a window
//! of time. The crate does no I/O and reads no clock: the caller passes the time (as an interval) and the
//! observed servers, and gets the next ledger.
//!
//! ```text
//!   tenant ─ Reserve, Confirm, Change, Cancel ─▶ ReservationLedger::apply ──▶ next ledger, CommandOutcome
//!   operator ─ Configure ──────────────────────▶ ReservationLedger::apply
//!   any node ─ FleetSnapshot ──────────────────▶ ReservationLedger::advance ▶ next ledger, TenantNotice list
//!
//!   next ledger ─▶ conditional write by version ─▶ one document; if refused: read and apply again
//!
//!   ReservationLedger ── entitlement_plan ──▶ slot counts ──▶ leases divide them among nodes
//!   LendingPolicy::decide ──▶ admission queue: reserved, unreserved or lent slot
//!   permits ── drain_impacts ──▶ reservations that a drain would harm
//! ```
//!
//! The [`ReservationLedger`] is stored as one document in the coordination service. Each new ledger is
//! computed from the one that was read, and written only over that very version. There is no leader: of two
//! concurrent writers one reads and applies its command again. A command is identified by its tenant and key,
//! so a client that lost the response can send it again.
//!
//! ```text
//!   capacity ─ slots of a group over time ─┐
//!   timeline ─ step functions of slots ────┼─▶ calendar: does it fit, where not, when next
//!   interval ─ windows, clock intervals ───┘      │
//!   apply ─▶ admit, change ─▶ displace: lower ranks ◀┘
//!   advance: time, servers ─▶ shortfall: reduced shares ─▶ entitlement: slots that a node may use ─▶ lending
//! ```
//!
//! **The near future is fixed.** No command changes anything sooner than `propagation_time` from now: by then
//! every node acts on the new ledger or has fenced itself. So no node still gives a slot to a cancelled
//! reservation while another node already gives it to the next one.
//!
//! **No overbooking.** A command is accepted only if, at each moment of its window, all reservations together
//! are within the reservable capacity of each group. Later losses of servers cause a `Shortfall`; they never
//! cause nodes to use more slots than there are.

mod admit;
mod advance;
mod apply;
mod calendar;
mod capacity;
mod change;
mod command;
mod displace;
mod drain_impact;
mod encoding;
mod entitlement;
mod error;
mod interval;
mod ledger;
mod lending;
mod reservation;
mod settings;
mod shortfall;
mod timeline;

pub use advance::{FleetSnapshot, ObservedServer};
pub use capacity::{GroupPolicy, GroupServer, Outage, OutageCause, ServerGroup, ShortfallPolicy};
pub use command::{CommandOutcome, ReservationCommand, ReservationRequest, TenantNotice};
pub use drain_impact::{DrainHarm, DrainImpact};
pub use encoding::DecodeError;
pub use entitlement::{EntitlementPlan, LeasableSlots};
pub use error::ReservationError;
pub use interval::{Micros, ReservationWindow, TimeInterval};
pub use ledger::ReservationLedger;
pub use lending::{LendingCounts, LendingDecision};
pub use reservation::{
    ChangeCause, IdempotencyKey, Reservation, ReservationEvent, ReservationPhase, Shortfall,
};
pub use settings::*;
