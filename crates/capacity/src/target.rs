//! The target size of a fleet and the budgets of its control plane.

use serde::{Deserialize, Serialize};

/// Why a target cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TargetError {
    /// The text cannot be parsed as a target.
    #[error(
        "the target cannot be read: line {line}: {problem}; see docs/capacity/target.toml for the format"
    )]
    Unreadable {
        /// Line number, starting at 1.
        line: usize,
        /// Message of the TOML parser.
        problem: String,
    },
    /// A field that has to be positive is zero, negative or not finite.
    #[error("target: {field} is {value}: give a number above 0")]
    NotPositive {
        /// Which.
        field: &'static str,
        /// What it is.
        value: f64,
    },
    /// A field that has to be a fraction is outside its range.
    #[error("target: {field} is {value}: give a fraction above 0 and at most 1")]
    NotFraction {
        /// Which.
        field: &'static str,
        /// What it is.
        value: f64,
    },
}

impl TargetError {
    /// Describes a parser error in one line; the error's own text has several.
    fn unreadable(text: &str, error: &toml::de::Error) -> TargetError {
        let start = error.span().map_or(0, |span| span.start).min(text.len());
        let before = text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count();
        TargetError::Unreadable { line: before + 1, problem: error.message().replace('\n', " ") }
    }
}

/// What the size of a series counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// Nodes of the fleet.
    Nodes,
    /// Servers.
    Servers,
    /// Services.
    Services,
    /// Tenants.
    Tenants,
}

/// Events per second; a series with a rate measures the cost of one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rate {
    /// Configuration changes in the busiest hour.
    Changes,
    /// Restarts of machines in the busiest hour.
    Restarts,
}

/// The budget that a figure is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Budget {
    /// Latency that the node adds to a request at the 99th percentile, in milliseconds.
    AddedMs,
    /// Time until the last node has applied a change, in milliseconds.
    InForceMs,
    /// Fraction of a core that a node's control plane uses.
    CoreShare,
    /// Memory of a node's control plane, in bytes.
    MemoryBytes,
    /// Bytes per second that a node's control plane sends and receives.
    BytesPerS,
    /// Time that a node may take to start, in milliseconds.
    StartMs,
}

/// Limits on the cost of the control plane.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// Latency that the node adds to a request at the 99th percentile, in milliseconds.
    pub added_ms_p99: f64,
    /// Time until all nodes have applied a change, in seconds.
    pub in_force_s: f64,
    /// Percentage of a core that a node's control plane may use.
    pub core_percent: f64,
    /// Memory that a node's control plane may use, in megabytes.
    pub memory_mb: f64,
    /// Bytes per second that a node's control plane may send and receive.
    pub bytes_per_s: f64,
    /// Time within which a node has to load its catalogue, in seconds.
    pub start_s: f64,
    /// Number of machines reserved for the control plane.
    pub control_machines: u32,
}

/// Assumptions of the page that are not part of the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// Fraction of a day's changes, restarts and failures that falls into its busiest hour.
    pub busiest_hour_share: f64,
}

/// The target size of a fleet and its budgets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Nodes.
    pub nodes: u32,
    /// Servers.
    pub servers: u32,
    /// Services that the servers are in.
    pub services: u32,
    /// Routes.
    pub routes: u32,
    /// Tenants.
    pub tenants: u32,
    /// Requests per second at the peak.
    pub requests_per_s: f64,
    /// Regions.
    pub regions: u32,
    /// Zones in all regions together.
    pub zones: u32,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Machines that fail per day.
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced per day.
    pub restarts_per_day: f64,
    /// Limits on the cost of the control plane.
    pub budget: Budgets,
    /// Assumptions of the page.
    pub assumed: Assumptions,
}

impl Target {
    /// Parses and checks a target.
    ///
    /// # Errors
    /// Fails if the text cannot be parsed or a field is out of range.
    pub fn parse(text: &str) -> Result<Target, TargetError> {
        let target: Target = toml::from_str(text).map_err(|error| TargetError::unreadable(text, &error))?;
        for (field, value) in target.positive_fields() {
            if !(value > 0.0 && value.is_finite()) {
                return Err(TargetError::NotPositive { field, value });
            }
        }
        let value = target.assumed.busiest_hour_share;
        if !(value > 0.0 && value <= 1.0) {
            return Err(TargetError::NotFraction { field: "assumed.busiest_hour_share", value });
        }
        Ok(target)
    }

    fn positive_fields(&self) -> [(&'static str, f64); 18] {
        let budget = &self.budget;
        [
            ("nodes", f64::from(self.nodes)),
            ("servers", f64::from(self.servers)),
            ("services", f64::from(self.services)),
            ("routes", f64::from(self.routes)),
            ("tenants", f64::from(self.tenants)),
            ("requests_per_s", self.requests_per_s),
            ("regions", f64::from(self.regions)),
            ("zones", f64::from(self.zones)),
            ("changes_per_day", self.changes_per_day),
            ("failures_per_day", self.failures_per_day),
            ("restarts_per_day", self.restarts_per_day),
            ("budget.added_ms_p99", budget.added_ms_p99),
            ("budget.in_force_s", budget.in_force_s),
            ("budget.core_percent", budget.core_percent),
            ("budget.memory_mb", budget.memory_mb),
            ("budget.bytes_per_s", budget.bytes_per_s),
            ("budget.start_s", budget.start_s),
            ("budget.control_machines", f64::from(budget.control_machines)),
        ]
    }

    /// Returns the target size along a dimension.
    pub fn size(&self, dimension: Dimension) -> f64 {
        f64::from(match dimension {
            Dimension::Nodes => self.nodes,
            Dimension::Servers => self.servers,
            Dimension::Services => self.services,
            Dimension::Tenants => self.tenants,
        })
    }

    /// Returns the events per second in the busiest hour.
    pub fn rate(&self, rate: Rate) -> f64 {
        const HOUR_S: f64 = 3_600.0;
        let per_day = match rate {
            Rate::Changes => self.changes_per_day,
            Rate::Restarts => self.restarts_per_day,
        };
        per_day * self.assumed.busiest_hour_share / HOUR_S
    }

    /// Returns a budget in the unit that its name ends with.
    pub fn budget(&self, budget: Budget) -> f64 {
        match budget {
            Budget::AddedMs => self.budget.added_ms_p99,
            Budget::InForceMs => self.budget.in_force_s * 1e3,
            Budget::CoreShare => self.budget.core_percent / 100.0,
            Budget::MemoryBytes => self.budget.memory_mb * 1e6,
            Budget::BytesPerS => self.budget.bytes_per_s,
            Budget::StartMs => self.budget.start_s * 1e3,
        }
    }
}
