//! The catalogue of a hosted node's tenants, and the limits of what each tenant may use of the node. It does
//! no I/O and reads no clock: times are arguments, and no result depends on the order of a hash map.
//!
//! ```text
//!   admin API ── Edit, Condition ──▶ Catalogue::prepare ── Commit ──▶ store (compare-and-set on `base`)
//!                                        │ refuses: Refusal              │ durable
//!                                        ▼                               ▼
//!   node ◀── members, spec of each ── Catalogue::apply(Commit) ── affected tenants
//!
//!   front ── a request's tenant ──▶ Quota::try_acquire, Shares::try_acquire ── admitted, or when to retry
//! ```
//!
//! - [`spec`]: the documents that an administrator writes, with their bounds and the faults that
//!   validation reports.
//! - [`catalogue`]: tenants and servers by revision, conflicts, lifecycle and history.
//! - [`shares`]: work-conserving shares of a node's resources.
//! - [`quota`]: a limit on a tenant's requests per second.
//! - [`route`]: determines the tenant of a request.
//!
//! The catalogue owns every record; a node owns a copy of it and the sockets. A change flows one way:
//! it is prepared here, made durable by a store, applied here, and then carried out by the node.

pub mod catalogue;
pub mod quota;
pub mod route;
pub mod shares;
pub mod spec;

pub use catalogue::{Catalogue, Change, Commit, Condition, Edit, Etag, Refusal, TenantState, Uid};
pub use spec::{BackendSpec, ClassSpec, FieldFault, TenantSpec};
