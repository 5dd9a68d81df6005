//! Figures of all measured rounds, grouped by series and size.

use std::collections::BTreeMap;

use woodgap_capacity::target::{Budget, Dimension, Rate};
use woodgap_capacity::{Role, Sample, Series};

/// Identity of a series: the figure that it measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Figure {
    /// Part of the system that the figure belongs to.
    pub role: Role,
    /// Short description of the figure.
    pub name: &'static str,
    /// Unit of the figure.
    pub unit: &'static str,
}

/// Figures of the rounds measured so far, for all declared series.
#[derive(Default)]
pub struct Samples {
    series: BTreeMap<Figure, SeriesSamples>,
    /// Figures in the order in which they were declared.
    order: Vec<Figure>,
}

struct SeriesSamples {
    dimension: Dimension,
    budget: Option<Budget>,
    rate: Option<Rate>,
    /// Values of all rounds, by size.
    rounds: BTreeMap<u64, Vec<f64>>,
}

impl Samples {
    /// Declares a series. The order of declarations is the order of the table.
    pub fn declare(
        &mut self,
        figure: Figure,
        dimension: Dimension,
        budget: Option<Budget>,
        rate: Option<Rate>,
    ) {
        let new = SeriesSamples { dimension, budget, rate, rounds: BTreeMap::new() };
        if self.series.insert(figure, new).is_none() {
            self.order.push(figure);
        }
    }

    /// Adds the value of one round at a size. Values of undeclared figures are ignored.
    pub fn record(&mut self, figure: Figure, size: u64, value: f64) {
        if let Some(series) = self.series.get_mut(&figure) {
            series.rounds.entry(size).or_default().push(value);
        }
    }

    /// Returns all series that have samples, in the order of their declarations.
    pub fn series(&self) -> Vec<Series> {
        let to_series = |figure: &Figure| {
            let series = &self.series[figure];
            let rounds = series.rounds.iter();
            Series {
                role: figure.role,
                figure: figure.name.to_owned(),
                unit: figure.unit.to_owned(),
                by: series.dimension,
                budget: series.budget,
                rate: series.rate,
                samples: rounds
                    .filter_map(|(size, rounds)| Sample::from_rounds(*size as f64, rounds.clone()))
                    .collect(),
            }
        };
        self.order.iter().map(to_series).filter(|series| !series.samples.is_empty()).collect()
    }
}
