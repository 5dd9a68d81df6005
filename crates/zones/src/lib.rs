//! Distribution of a node's keys over zones, and the gradual return of a lost zone, without I/O. No choice
//! depends on the order of a hash map; the caller passes in the time. The node does not use this package yet.
//!
//! ```text
//!   pool: capacity in service ─▶ failback::ZoneFailback ────usable share────┐
//!   peers' datagrams ──────────▶ gossip::ZoneGossipTable ──demand per zone──┴▶ plan::plan_spill ─▶ shares ─▶ plan::zone_of
//! ```
//!
//! - [`plan`]: plans spill-over: own zone first, then near and far zones, within limits; selects the keys
//!   that spill.
//! - [`failback`]: lets a lost zone return in steps, each of which must hold for some time before
//!   the next.
//! - [`gossip`]: encodes and decodes the demand that nodes report to one another, and bounds the effect of
//!   wrong reports.
//!
//! Nodes with the same input compute the same shares, and the same keys spill on all of them.

pub mod failback;
pub mod gossip;
pub mod plan;

/// Microseconds on a monotonic clock.
pub type Micros = u64;
/// Maximum number of zones; a zone is identified by an index below it.
pub const MAX_ZONES: usize = 64;
