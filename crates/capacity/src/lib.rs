//! Projects the measured costs of a fleet to a target size. The crate does no I/O: it parses a target and a
//! recording from text and renders the capacity page as text.
//!
//! ```text
//!   target.toml ─▶ Target ───────────────┐
//!   slopes.json ─▶ Recording: Series ─▶ Fit ─▶ Projection (size, budget, factor) ─▶ page: docs/CAPACITY.md
//! ```
//!
//! - [`target`]: the target size of a fleet and the budgets of its control plane.
//! - [`recording`]: the measurements of a scale run, with their sizes and the machine.
//! - [`fit`]: a least-squares line through the figures of a series, its residual and the kind of growth.
//! - [`projection`]: a figure projected to the target size and compared with its budget.
//! - [`role`]: the measured parts of the system, their mechanisms and the issues about their limits.
//! - [`page`]: the capacity page for operators.

pub mod fit;
pub mod page;
pub mod projection;
pub mod recording;
pub mod role;
pub mod target;

pub use fit::{Fit, Growth};
pub use projection::{fleet_start, node_total, over_budget, project, FleetStart, Projection};
pub use recording::{Bound, FleetEvent, Machine, Recording, RecordingError, Sample, Series};
pub use role::Role;
pub use target::{Target, TargetError};
