//! Resources to divide: requests a second, or slots in flight, of one tenant or key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::LeaseError;

/// Microseconds on a node's own monotonic clock, which runs while the process sleeps (`CLOCK_BOOTTIME`).
pub type Micros = u64;
/// Identifies a resource, with the same number at every node. Its kind never changes: a rate that becomes
/// slots gets a new number.
pub type ResourceId = u32;

/// Units of one request a second: shares of a rate are counted in thousandths.
pub const RATE_UNITS: u64 = 1_000;
/// Denominator of fractions: parts per billion.
pub const PPB: u64 = 1_000_000_000;
/// Maximum requests a second, or slots, of one resource.
pub const MAX_AMOUNT: u64 = 10_000_000;
/// Maximum burst, in milliseconds of the rate.
pub const MAX_BURST_MS: u64 = 60_000;
/// Maximum number of resources.
pub const MAX_RESOURCES: usize = 65_536;

/// What a resource counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// Requests that begin.
    Rate {
        /// Requests a second, over the fleet.
        per_s: u64,
        /// Burst that may come at once, in milliseconds of the rate, over the fleet.
        burst_ms: u64,
    },
    /// Requests in flight.
    Slots {
        /// Requests at a time, over the fleet.
        count: u64,
    },
}

/// What a node does while no grantor renews its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Its share ends with the term and only its safe share is left, so the resource is never exceeded.
    Strict,
    /// It keeps its last share for a while and then moves to the even share of the roster: see
    /// [`max_generous_factor`](crate::max_generous_factor).
    Generous,
}

/// A resource that the nodes of a fleet divide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resource {
    /// What is counted, and how much of it there is.
    pub kind: ResourceKind,
    /// What nodes without a grantor do.
    pub mode: OutageMode,
    /// Smallest useful share, in units. Where there is less than this for each holder, some get this much and
    /// the others nothing, in rotation. 1 where every share is useful.
    #[serde(rename = "least")]
    pub min_share: u64,
}

impl Resource {
    /// Total amount in units: thousandths of a request a second, or slots.
    pub fn units(&self) -> u64 {
        match self.kind {
            ResourceKind::Rate { per_s, .. } => per_s.saturating_mul(RATE_UNITS),
            ResourceKind::Slots { count } => count,
        }
    }

    /// Requests that may come at once over the fleet; 0 for slots.
    pub fn burst(&self) -> u64 {
        match self.kind {
            ResourceKind::Rate { per_s, burst_ms } => per_s.saturating_mul(burst_ms) / 1_000,
            ResourceKind::Slots { .. } => 0,
        }
    }

    /// Whether the resource counts slots.
    pub fn is_slots(&self) -> bool {
        matches!(self.kind, ResourceKind::Slots { .. })
    }

    fn validate(&self, id: ResourceId) -> Result<(), LeaseError> {
        let (amount, burst_ms) = match self.kind {
            ResourceKind::Rate { per_s, burst_ms } => (per_s, burst_ms),
            ResourceKind::Slots { count } => (count, 0),
        };
        if amount > MAX_AMOUNT || burst_ms > MAX_BURST_MS || self.min_share == 0 {
            return Err(LeaseError::Resource { id, amount, burst_ms, min_share: self.min_share });
        }
        Ok(())
    }
}

/// A fraction of an amount, given in parts of [`PPB`], rounded down.
pub fn share_of(amount: u64, ppb: u64) -> u64 {
    (u128::from(amount) * u128::from(ppb) / u128::from(PPB)) as u64
}

/// All resources at one revision of the documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resources {
    revision: u64,
    list: BTreeMap<ResourceId, Resource>,
}

impl Resources {
    /// The resources at a revision. Revisions only grow.
    ///
    /// # Errors
    /// There are too many resources, or one is out of bounds.
    pub fn new(revision: u64, list: BTreeMap<ResourceId, Resource>) -> Result<Resources, LeaseError> {
        if list.len() > MAX_RESOURCES {
            return Err(LeaseError::TooMany { what: "resources", count: list.len(), max: MAX_RESOURCES });
        }
        list.iter().try_for_each(|(id, resource)| resource.validate(*id))?;
        Ok(Resources { revision, list })
    }

    /// The revision of the documents.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of resources.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether there are no resources.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The resource with this number.
    pub fn get(&self, id: ResourceId) -> Option<&Resource> {
        self.list.get(&id)
    }

    /// All resources with their numbers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (ResourceId, &Resource)> {
        self.list.iter().map(|(id, resource)| (*id, resource))
    }
}
