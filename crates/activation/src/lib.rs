//! Activation of route versions: every node of a fleet switches to a new version at one agreed moment. The
//! package is pure: it uses no sockets, no files and no clock.
//!
//! ```text
//!  operator ── OpenAttempt, Withdraw ──┐                       coordination service
//!                                      ▼                       ┌────────────────────────────┐
//!  ActivationRecord::transition(command, clock) ── write ─────▶│ ActivationRecord: roster,  │
//!        ▲                             (compare-and-set)       │ attempt {floor, ready},    │
//!        │ Write(Join, Report, ExtendFloor, Decide,            │ decided {moment}           │
//!        │       EndAttempt)                                   │                            │
//!  ┌─────┴──────────────────────────────┐ ◀──── RecordRead ────└────────────────────────────┘
//!  │ ActivationNode: register, learn    │
//!  │ decisions, report, advance the     │── Fetch, Persist, Free ──▶ store, disk (`PersistedState`)
//!  │ attempt, switch, admit requests    │
//!  └─────┬──────────────────────────────┘
//!        │ ServingGate: published before any action is carried out
//!        ▼
//!  front: ServingGate::serving binds a request to a version
//!  upstream: ServingGate::may_send, DroppedServers::is_blocked, in the scheduling turn that writes
//! ```
//!
//! Life of a version: `OpenAttempt`; every node fetches it, checks it, builds it beside the served one,
//! stores it and reports `Ready`; one conditional write of `Decide` sets a moment; each node switches when
//! its interval of the time has passed that moment.
//!
//! **Why no response by the old version follows one by the new version.** The attempt has a *floor*. Once a
//! node has reported ready, it serves by the old version only while the latest possible time is before the
//! highest floor that it has *read*. Floors only grow, and a decision's moment is at or after the floor of
//! the very document that it replaces. So every floor that was ever read is at or before the moment, whatever
//! was delayed, stale, lost or suspended. A node needs no deadline for a write, only an interval that
//! contains the true time. (A lease that starts at the last read fails here: a decision whose write was
//! stalled carries a moment that has passed when it arrives.) `ExtendFloor` moves the floor later while the
//! attempt is open.
//!
//! **Which nodes must be ready.** All nodes with an entry in the record's roster must be ready, except those
//! whose end is proven. A node serves nothing before its entry is written; a process that starts, or was
//! isolated for so long that its end may be proven, registers again.

mod clock;
mod command;
mod error;
mod event;
mod follower;
mod gate;
mod node;
mod persisted;
mod record;
mod report;
mod requests;
mod settings;
mod transition;
mod unavailable;
mod version;

pub use clock::{ClockReading, Micros, NodeTime};
pub use command::ActivationCommand;
pub use error::CommandError;
pub use event::{ActivationAction, ActivationEvent};
pub use gate::{DroppedServers, SendKind, SendVerdict, Serving, ServingGate, VersionBinding};
pub use node::ActivationNode;
pub use persisted::PersistedState;
pub use record::{
    AbandonedAttempt, ActivationAttempt, ActivationDecision, ActivationRecord, NodeEntry, NodeReport,
    MAX_ABANDONED_ATTEMPTS, MAX_ROSTER_NODES,
};
pub use settings::{ActivationRules, NodeLimits};
pub use unavailable::Unavailable;
pub use version::{
    in_doubt_policy, treats_alike, InDoubtPolicy, RequestOwners, TenantPart, TenantParts, Version, FORMAT,
    MAX_PARTS, MAX_TEXT_BYTES,
};
