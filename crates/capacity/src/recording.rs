//! The recording of a scale run: its measurements, their sizes and the machine.

use serde::{Deserialize, Serialize};

use crate::role::Role;
use crate::target::{Budget, Dimension, Rate};

/// Format version of the recordings that this program writes and reads.
pub const FORMAT_VERSION: u32 = 1;
/// Minimum number of sizes in a series for a line fit.
pub const MIN_SIZES: usize = 4;

/// Why a recording cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The text cannot be parsed as a recording.
    #[error("the recording cannot be read: {0}; record it again with `proof scale --record FILE`")]
    Unreadable(#[from] serde_json::Error),
    /// The recording has another format version.
    #[error("the recording has format version {found}, this program reads version {FORMAT_VERSION}: record it again with `proof scale --record FILE`")]
    Version {
        /// Version of the recording.
        found: u32,
    },
    /// A series that no line can be fitted to.
    #[error("recording, {role:?} {figure}: {problem}; record it again with `proof scale --record FILE`")]
    Series {
        /// Role of the series.
        role: Role,
        /// Name of the figure.
        figure: String,
        /// Problem of the series.
        problem: &'static str,
    },
}

/// The machine that a scale run was made on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Number of CPU cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
}

/// A figure at one size over several rounds, each of which measures all sizes in turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Size along the series' dimension.
    pub size: f64,
    /// Median of the rounds.
    pub median: f64,
    /// Minimum of the rounds.
    pub least: f64,
    /// Maximum of the rounds.
    pub most: f64,
    /// Number of rounds.
    pub rounds: u32,
}

impl Sample {
    /// Summarizes the values of the rounds; `None` without any.
    pub fn from_rounds(size: f64, mut rounds: Vec<f64>) -> Option<Sample> {
        rounds.sort_by(f64::total_cmp);
        let (least, most) = (*rounds.first()?, *rounds.last()?);
        let middle = rounds.len() / 2;
        let median = match rounds.len() % 2 {
            0 => (rounds[middle - 1] + rounds[middle]) / 2.0,
            _ => rounds[middle],
        };
        Some(Sample { size, median, least, most, rounds: rounds.len() as u32 })
    }
}

/// One figure of a role, measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Role that the figure belongs to.
    pub role: Role,
    /// Name of the figure, such as `memory of a node`.
    pub figure: String,
    /// Unit of the figure, such as `bytes`, `ms` or `core`.
    pub unit: String,
    /// Dimension that the sizes count.
    pub by: Dimension,
    /// Budget that the figure is compared with, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<Budget>,
    /// Event whose rate multiplies the figure, which is then the cost of one event; `None` for a figure that
    /// is complete by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<Rate>,
    /// Samples in ascending order of size.
    pub samples: Vec<Sample>,
}

/// How the fleet reacted to an event, such as the loss of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetEvent {
    /// Name of the event.
    pub name: String,
    /// Number of nodes in the fleet, including those in processes of their own.
    pub nodes: u32,
    /// Time until all running nodes agree, in milliseconds; `None` if they did not agree before the timeout.
    pub agreed_ms: Option<f64>,
    /// Reads at the coordination service in its busiest second.
    pub service_reads_peak: u64,
    /// Bytes sent by the coordination service in its busiest second.
    pub service_bytes_peak: u64,
    /// Bytes that the coordination service sent to the busiest node over the whole event.
    pub busiest_node_bytes: u64,
    /// Description of the failures; empty if there were none.
    pub broke: String,
}

/// A limit of the product that is compared with a size of the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Role that the limit belongs to.
    pub role: Role,
    /// What is limited, and where the limit is defined.
    pub what: String,
    /// Dimension that the limit counts.
    pub by: Dimension,
    /// Maximum size that the product accepts.
    pub most: f64,
}

/// All measurements of a scale run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recording {
    /// Format version, see [`FORMAT_VERSION`].
    pub version: u32,
    /// Commit that was measured.
    pub commit: String,
    /// Date of the run, `YYYY-MM-DD`.
    pub day: String,
    /// Machine of the run, which the nodes shared with the load generator and the stand-ins.
    pub machine: Machine,
    /// Seed of all random choices.
    pub seed: u64,
    /// Figures measured over several sizes.
    pub series: Vec<Series>,
    /// Events in a large fleet with all servers registered.
    pub events: Vec<FleetEvent>,
    /// Limits of the product.
    pub bounds: Vec<Bound>,
}

impl Recording {
    /// Parses and checks a recording.
    ///
    /// # Errors
    /// Fails if the text is not a valid recording.
    pub fn parse(text: &str) -> Result<Recording, RecordingError> {
        let recording: Recording = serde_json::from_str(text)?;
        recording.check()?;
        Ok(recording)
    }

    /// Checks the format version, and that a line can be fitted to every series.
    ///
    /// # Errors
    /// Fails for another format version, or names the first series that no line can be fitted to.
    pub fn check(&self) -> Result<(), RecordingError> {
        if self.version != FORMAT_VERSION {
            return Err(RecordingError::Version { found: self.version });
        }
        self.series.iter().try_for_each(Series::check)
    }

    /// Formats the recording as the JSON text of a recording file.
    pub fn to_json(&self) -> String {
        let text = serde_json::to_string_pretty(self).unwrap_or_default();
        text + "\n"
    }
}

impl Series {
    fn check(&self) -> Result<(), RecordingError> {
        let series_error =
            |problem| RecordingError::Series { role: self.role, figure: self.figure.clone(), problem };
        if self.samples.len() < MIN_SIZES {
            return Err(series_error("it has fewer than four sizes"));
        }
        if self.samples.iter().any(|sample| !(sample.size > 0.0 && sample.size.is_finite())) {
            return Err(series_error("a size is not above zero"));
        }
        if self.samples.windows(2).any(|pair| pair[0].size >= pair[1].size) {
            return Err(series_error("its sizes do not grow"));
        }
        if self.samples.iter().any(|sample| !sample.median.is_finite() || sample.rounds == 0) {
            return Err(series_error("a sample has no rounds or is not a finite number"));
        }
        Ok(())
    }
}
