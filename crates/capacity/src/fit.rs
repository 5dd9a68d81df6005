//! A least-squares line through the figures of a series, its residual and the kind of growth.

use serde::{Deserialize, Serialize};

use crate::recording::{Sample, Series};

/// A figure counts as constant if the line rises over the range by at most this fraction of the mean.
const MAX_CONSTANT_RISE: f64 = 0.15;
/// A figure counts as superlinear if a median lies further than this fraction of the rise below the straight
/// line between the first and the last median. For n^2 over three doublings the distance is a fifth of the
/// rise.
const MAX_LINEAR_SAG: f64 = 0.1;

/// How a figure grows with the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Growth {
    /// No growth beyond the noise.
    Constant,
    /// Proportional to the size, or slower.
    Linear,
    /// Faster than proportional to the size: the curve bends upward.
    Superlinear,
}

/// The line through a series: `base + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value of the line at size 0.
    pub base: f64,
    /// Increase of the line for each unit of the size.
    pub slope: f64,
    /// Largest distance of a median from the line, as a fraction of the largest median.
    pub residual: f64,
    /// Kind of growth.
    pub growth: Growth,
    /// Exponent of the power law through the first and the last median if the growth is superlinear,
    /// otherwise 1.
    pub exponent: f64,
    /// Smallest and largest measured size.
    pub range: (f64, f64),
    /// Median at the largest size.
    last_median: f64,
}

/// Returns base and slope of the least-squares line through the medians.
fn least_squares(samples: &[Sample]) -> (f64, f64) {
    let count = samples.len().max(1) as f64;
    let mean = |pick: fn(&Sample) -> f64| samples.iter().map(pick).sum::<f64>() / count;
    let (mean_size, mean_median) = (mean(|s| s.size), mean(|s| s.median));
    let covariance: f64 = samples.iter().map(|s| (s.size - mean_size) * (s.median - mean_median)).sum();
    let variance: f64 = samples.iter().map(|s| (s.size - mean_size).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_median - slope * mean_size, slope)
}

/// Largest difference between the minimum and the maximum round of a sample.
fn noise(samples: &[Sample]) -> f64 {
    samples.iter().map(|s| s.most - s.least).fold(0.0, f64::max)
}

/// Classifies the growth of a series; `slope` is that of its least-squares line.
fn classify_growth(samples: &[Sample], slope: f64) -> Growth {
    let (Some(first), Some(last)) = (samples.first(), samples.last()) else { return Growth::Constant };
    let rise = slope * (last.size - first.size);
    let mean = samples.iter().map(|s| s.median.abs()).sum::<f64>() / samples.len() as f64;
    if rise.abs() <= MAX_CONSTANT_RISE * mean || rise.abs() <= noise(samples) {
        return Growth::Constant;
    }
    let straight_line = |size: f64| {
        first.median + (last.median - first.median) * (size - first.size) / (last.size - first.size)
    };
    let sag = samples.iter().map(|s| straight_line(s.size) - s.median).fold(0.0, f64::max) / rise;
    // A sag within the difference between rounds is noise.
    match sag > MAX_LINEAR_SAG.max(noise(samples) / rise) {
        true => Growth::Superlinear,
        false => Growth::Linear,
    }
}

impl Fit {
    /// Fits a line through a series that has passed [`Recording::check`](crate::recording::Recording::check).
    pub fn from_series(series: &Series) -> Fit {
        let samples = &series.samples;
        let (base, slope) = least_squares(samples);
        let distance = |s: &Sample| (s.median - base - slope * s.size).abs();
        let residual = samples.iter().map(distance).fold(0.0, f64::max);
        let largest_median = samples.iter().map(|s| s.median.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let growth = classify_growth(samples, slope);
        let ends = samples.first().zip(samples.last());
        let exponent = match (growth, ends) {
            (Growth::Superlinear, Some((first, last))) if first.median > 0.0 => {
                (last.median / first.median).ln() / (last.size / first.size).ln()
            }
            _ => 1.0,
        };
        let range = ends.map_or((0.0, 0.0), |(first, last)| (first.size, last.size));
        let last_median = ends.map_or(0.0, |(_, last)| last.median);
        Fit {
            base,
            slope,
            residual: residual / largest_median,
            growth,
            exponent: exponent.max(1.0),
            range,
            last_median,
        }
    }

    /// Returns the projected figure at a size. Beyond the measured range a superlinear figure follows the
    /// power law through the first and the last median, but is never below the line.
    pub fn value_at(&self, size: f64) -> f64 {
        let line = self.base + self.slope * size;
        match self.growth {
            Growth::Constant => self.last_median.max(self.base + self.slope * self.range.1),
            Growth::Linear => line.max(0.0),
            Growth::Superlinear if size > self.range.1 => {
                line.max(self.last_median * (size / self.range.1).powf(self.exponent))
            }
            Growth::Superlinear => line.max(0.0),
        }
    }

    /// Whether a size is larger than every measured size.
    pub fn is_extrapolated(&self, size: f64) -> bool {
        size > self.range.1
    }
}
