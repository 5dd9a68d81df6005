//! Shares of a *resource* (requests per second, or slots in flight, of one tenant or key) that the nodes of a
//! fleet lease for a term, so that the shares of all nodes never add up to more than the resource. It is used
//! by each node as a lease holder, and by the nodes that grant. It does no I/O and reads no clock: messages,
//! documents and times are inputs, messages and document changes are outputs, and equal inputs give equal
//! outputs.
//!
//! ```text
//!    coordination service                a node, as a holder                           a node that grants
//!   ┌────────────────────┐        ┌──────────────────────────────┐              ┌──────────────────────────────┐
//!   │ EpochDoc           │─adopt─▶│ Holder                       │              │ Grantor                      │
//!   │  epoch             │        │  LeaseClient: requests, safe │── request ──▶│  epoch, authority, reserve   │
//!   │  roster, safe share│        │  Demand of active resources  │◀─ response ──│  Allocation of each own      │
//!   │  grantors (runs)   │        │  Limiter ─ state ─ HeldLease │              │  resource: units per holder, │
//!   └────────────────────┘        └────▲─────────────────────────┘              │  until when; divide          │
//!     ▲  │ conditional by version      │ try_acquire(now): in memory            └──────────────────────────────┘
//!     │  └───────────── adopt_epoch, confirm_epoch (its authority) ─────────────────────▲
//!     └─ EpochChange: Join, RemoveMember, AddGrantor, ... ◀── confirmation_change ──────┘
//! ```
//!
//! Requests and responses may be delayed, duplicated, lost or reordered.
//!
//! **A share** belongs to its node from the *sending* of the request on, by a clock that also runs while
//! the system is suspended, for the term less twice the drift ([`LeaseSettings::shorten_for_drift`]). The grantor
//! charges it from the later moment of the grant. A holder's charge decreases with time or by the holder's
//! own report: a request names the grant that was accepted last (no earlier grant is accepted after it) and
//! the units of it that are held from now on.
//!
//! **The grantor** of a resource is the member with the highest rendezvous weight among the grantors of the
//! epoch's document. It grants only while its *authority* lasts. The authority counts from the sending of an
//! operation at the coordination service that succeeds only if the document still has this epoch and this
//! process as grantor ([`Grantor::confirm_epoch`]), and no grant outlives it. A new grantor of a resource
//! waits for one authority after it read its epoch. By then every earlier grant is over, also one by a
//! grantor that was paused, partitioned or considered dead (Gray and Cheriton 1989; fencing: Kleppmann 2016).
//! A grantor that keeps a resource from one epoch to the next does not wait.
//!
//! **A safe share** is usable by each member at all times, without a grant: the resource, times the fraction
//! for safe shares, divided by the members of the roster. It is deducted from what is granted. For each
//! member the document keeps the largest safe share that the member may still use, until the member is observed
//! to use a smaller one; a larger one is used only after one authority. So the safe shares of an old and a
//! new roster together never exceed the fraction, and no member has to be notified for that.
//!
//! **Strict and generous.** On a strict resource, the share of a node without a grantor ends, which costs
//! capacity. On a generous resource the node keeps its last share for a while and then moves to the even
//! share: [`max_generous_factor`]. All bounds are functions of [`bound`].
//!
//! **Duties of the caller**: `Micros` are times of `CLOCK_BOOTTIME`. One process of a name at a time owns the
//! disk, and the document, the resources and [`Holder::safe`] of rates are stored there before any request is
//! sent under them. A process that lost the disk adopts no later document, since it would be observed to use
//! a safe share that the next process does not use yet. A process's `run` is larger than that of every earlier
//! process of the name. An [`EpochChange`] is written conditionally on the version that was read, and the
//! document is read again where the write failed.

mod allocation;
pub mod bound;
mod demand;
mod divide;
mod epoch;
mod grantor;
mod held_lease;
mod holder;
mod lease_client;
mod limiter;
mod message;
mod resource;
mod settings;
pub mod simulated;

pub use allocation::{Allocation, GrantTerms, DIVISION_INTERVAL, MAX_UNCONFIRMED_GRANTS, PRIORITY_ROTATION};
pub use bound::{
    grantor_bytes_s, holder_bytes_s, max_generous_factor, max_lowering_delay, max_messages_per_round,
    max_strict_admissions, max_unnotified_excess, takeover_wait,
};
pub use divide::{divide, Division};
pub use epoch::{
    EpochChange, EpochDoc, MemberId, RosterMember, MAX_GRANTORS, MAX_MEMBERS, MAX_NAME_BYTES, MAX_SAFE_PPB,
};
pub use grantor::Grantor;
pub use held_lease::HeldLease;
pub use holder::Holder;
pub use lease_client::{LeaseClient, ResponseOutcome, SafeCapacity, MAX_OUTSTANDING_REQUESTS};
pub use limiter::{Limiter, OverLimit};
pub use message::{
    decode, encode, GrantedShare, LeaseRequest, LeaseResponse, ResponseBody, ShareRequest, MAX_HEADER_BYTES,
    MAX_MESSAGE_BYTES,
};
pub use resource::{
    share_of, Micros, OutageMode, Resource, ResourceId, ResourceKind, Resources, MAX_AMOUNT, MAX_BURST_MS,
    MAX_RESOURCES, PPB, RATE_UNITS,
};
pub use settings::{LeaseError, LeaseSettings, MAX_DRIFT_PPM};
