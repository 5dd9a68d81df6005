//! Figures projected to the target size and compared with their budgets.

use std::collections::{BTreeMap, BTreeSet};

use crate::fit::Fit;
use crate::recording::{Recording, Series};
use crate::role::Role;
use crate::target::{Budget, Target};

/// A figure projected to the target size.
#[derive(Clone, Debug, PartialEq)]
pub struct Projection {
    /// Line that the projection is based on.
    pub fit: Fit,
    /// Target size along the series' dimension.
    pub size: f64,
    /// Figure at the target size, per second if the series has a rate.
    pub value: f64,
    /// The same figure at twice the target size.
    pub at_twice: f64,
    /// Budget of the figure, if any.
    pub budget: Option<f64>,
    /// Whether the target size is beyond the measured range.
    pub is_extrapolated: bool,
}

impl Projection {
    /// Returns the figure divided by its budget; `None` without a budget.
    pub fn factor(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// Projects a series to the target size.
pub fn project(series: &Series, target: &Target) -> Projection {
    let fit = Fit::from_series(series);
    let size = target.size(series.by);
    let per_second = series.rate.map_or(1.0, |rate| target.rate(rate));
    Projection {
        fit,
        size,
        value: fit.value_at(size) * per_second,
        at_twice: fit.value_at(size * 2.0) * per_second,
        budget: series.budget.map(|budget| target.budget(budget)),
        is_extrapolated: fit.is_extrapolated(size),
    }
}

/// Returns what the control plane of one node takes of a budget, summed over all roles. If a role has several
/// figures for the budget, which are measurements with different catalogues or loads, the largest counts.
pub fn node_total(recording: &Recording, target: &Target, budget: Budget) -> f64 {
    let mut by_role: BTreeMap<Role, f64> = BTreeMap::new();
    for series in recording.series.iter().filter(|series| series.budget == Some(budget)) {
        let value = project(series, target).value;
        let largest = by_role.entry(series.role).or_insert(value);
        *largest = largest.max(value);
    }
    by_role.values().sum()
}

/// Name of the figure that counts the reads at the coordination service during the start of one node.
/// [`fleet_start`] multiplies this and the next two figures by the number of nodes.
pub const START_READS_NAME: &str = "reads of one start";
/// Name of the figure for the bytes that the coordination service sends during the start of one node.
pub const START_BYTES_NAME: &str = "bytes of one start";
/// Name of the figure for the CPU time, in milliseconds, of the coordination service's stand-in during the
/// start of one node.
pub const START_SERVICE_NAME: &str = "stand-in's core for one start";

/// Cost of a simultaneous start of all nodes, each of which loads its catalogue as a single node does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetStart {
    /// Reads at the coordination service.
    pub reads: f64,
    /// Bytes that the coordination service sends.
    pub bytes: f64,
    /// CPU time of each member of the service in milliseconds, with the load spread evenly over the members.
    pub service_ms: f64,
    /// Time within which a node has to load its catalogue, in milliseconds.
    pub budget_ms: f64,
}

impl FleetStart {
    /// Returns the service's CPU time divided by the budget.
    pub fn factor(&self) -> f64 {
        self.service_ms / self.budget_ms
    }
}

/// Projects a simultaneous start of all nodes; `None` if the recording has no figures for a start.
pub fn fleet_start(recording: &Recording, target: &Target) -> Option<FleetStart> {
    let nodes = f64::from(target.nodes);
    let at_target = |figure: &str| {
        let mut all = recording.series.iter();
        let series = all.find(|series| series.role == Role::Start && series.figure == figure)?;
        Some(project(series, target).value * nodes)
    };
    Some(FleetStart {
        reads: at_target(START_READS_NAME)?,
        bytes: at_target(START_BYTES_NAME)?,
        service_ms: at_target(START_SERVICE_NAME)? / f64::from(target.budget.control_machines),
        budget_ms: target.budget(Budget::StartMs),
    })
}

/// Returns the roles that do not fit the target: those with a figure over its budget or with a product limit
/// below the target size, and [`Role::Start`] if the service cannot serve a simultaneous start of all nodes
/// in time.
pub fn over_budget(recording: &Recording, target: &Target) -> BTreeSet<Role> {
    let figures = recording.series.iter().filter(|series| {
        let factor = project(series, target).factor();
        factor.is_some_and(|factor| factor > 1.0)
    });
    let bounds = recording.bounds.iter().filter(|bound| bound.most < target.size(bound.by));
    let start = fleet_start(recording, target).filter(|start| start.factor() > 1.0);
    let roles = figures.map(|series| series.role).chain(bounds.map(|bound| bound.role));
    roles.chain(start.map(|_| Role::Start)).collect()
}
