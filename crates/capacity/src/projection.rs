//! A figure at the target's size, beside its budget.

use std::collections::BTreeSet;

use crate::fit::Fit;
use crate::recording::{Recording, Series};
use crate::role::Role;
use crate::target::Target;

/// A figure at the target's size.
#[derive(Clone, Debug, PartialEq)]
pub struct Projection {
    /// The line that it rests on.
    pub fit: Fit,
    /// The target's size along the series' dimension.
    pub size: f64,
    /// The figure at that size; a second's worth of it where it has a rate.
    pub value: f64,
    /// The same at twice the size.
    pub at_twice: f64,
    /// The budget, if it has one.
    pub budget: Option<f64>,
    /// Whether the size lies beyond what was measured.
    pub is_extrapolated: bool,
}

impl Projection {
    /// How many times its budget the figure takes; `None` without a budget.
    pub fn factor(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// A series at a target's size.
pub fn project(series: &Series, target: &Target) -> Projection {
    let fit = Fit::of(series);
    let size = target.size(series.by);
    let times = series.rate.map_or(1.0, |rate| target.rate(rate));
    Projection {
        fit,
        size,
        value: fit.at(size) * times,
        at_twice: fit.at(size * 2.0) * times,
        budget: series.budget.map(|budget| target.budget(budget)),
        is_extrapolated: fit.is_extrapolated(size),
    }
}

/// The roles that do not fit: a figure over its budget, or a bound of the product below the target's size.
pub fn over_budget(recording: &Recording, target: &Target) -> BTreeSet<Role> {
    let figures = recording.series.iter().filter(|series| {
        let factor = project(series, target).factor();
        factor.is_some_and(|factor| factor > 1.0)
    });
    let bounds = recording.bounds.iter().filter(|bound| bound.most < target.size(bound.by));
    figures.map(|series| series.role).chain(bounds.map(|bound| bound.role)).collect()
}
