//! Capacity of a group of servers over time.
//!
//! With `sum` the slots of the available servers, `keep(x) = x - ceil(x * safety_percent / 100)` and
//! `shared(x) = ceil(x * unreserved_percent / 100)`:
//!
//! ```text
//!   total      = keep(sum)                                          may be in flight
//!   guaranteed = total - shared(total)                              available to reservations at present
//!   reservable = keep(sum - worst_loss) - shared(keep(sum - worst_loss))   promised to new reservations
//! ```
//!
//! `worst_loss` is the most that may be lost beside the present outages: the largest zone (if the group has
//! to survive the loss of one) and the largest servers outside of it, as many as permits may still take out.
//! So `guaranteed` after such a loss is never less than `reservable` before it, and a loss that the policy
//! provides for causes no shortfall.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::ReservationError;
use crate::interval::Micros;
use crate::settings::{check_text, MAX_OUTAGES_PER_SERVER, MAX_SLOTS};
use crate::timeline::{percent_rounded_up, Timeline};

/// Which reservations get fewer slots first if a group has less capacity than is reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShortfallPolicy {
    /// The lowest rank first, and within a rank the reservation that was confirmed last.
    #[default]
    Rank,
    /// All reservations in proportion to their slots.
    ProRata,
}

/// Policy that an operator sets for a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupPolicy {
    /// Percentage of the servers' slots that is never used, rounded up.
    pub safety_percent: u8,
    /// Percentage of the remaining slots that can't be reserved and stays open to all tenants, rounded up.
    #[serde(rename = "open_percent")]
    pub unreserved_percent: u8,
    /// Whether reservations survive the loss of any one zone.
    pub survive_zone: bool,
    /// Number of servers that permits may take out at once.
    pub permits_out: u32,
    /// Which reservations get fewer slots first in a shortfall.
    #[serde(rename = "short_by")]
    pub shortfall_policy: ShortfallPolicy,
}

impl GroupPolicy {
    pub(crate) fn check(&self) -> Result<(), ReservationError> {
        match self.safety_percent.max(self.unreserved_percent) {
            0..=100 => Ok(()),
            actual => Err(ReservationError::LimitExceeded {
                what: "safety_percent, open_percent",
                limit: 100,
                actual: actual.into(),
            }),
        }
    }

    fn after_safety_margin(&self, slots: u32) -> u32 {
        slots - percent_rounded_up(slots, self.safety_percent)
    }

    fn without_unreserved(&self, slots: u32) -> u32 {
        slots - percent_rounded_up(slots, self.unreserved_percent)
    }
}

/// Cause of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageCause {
    /// A permit, which uses up part of `permits_out`.
    Permit,
    /// A drain by an operator.
    Drain,
    /// The server is dead, alone or with its zone.
    Dead,
}

/// A span of time in which a server is out, the end not included.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// Start of the outage.
    pub from: Micros,
    /// End of the outage.
    pub until: Micros,
    /// Cause of the outage.
    #[serde(rename = "by")]
    pub cause: OutageCause,
    /// Explanation for tenants that get fewer slots because of it.
    #[serde(rename = "why")]
    pub reason: String,
}

impl Outage {
    fn covers(&self, at: Micros) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// A server of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupServer {
    /// Zone of the server.
    pub zone: String,
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Known outages.
    #[serde(rename = "outs")]
    pub outages: Vec<Outage>,
}

impl GroupServer {
    pub(crate) fn check(&self) -> Result<(), ReservationError> {
        check_text("zone", &self.zone)?;
        self.outages.iter().try_for_each(|outage| check_text("reason of an outage", &outage.reason))?;
        if self.outages.len() > MAX_OUTAGES_PER_SERVER {
            let actual = self.outages.len() as u64;
            return Err(ReservationError::LimitExceeded {
                what: "outages of a server",
                limit: MAX_OUTAGES_PER_SERVER as u64,
                actual,
            });
        }
        if self.slots > MAX_SLOTS {
            let actual = self.slots.into();
            return Err(ReservationError::LimitExceeded {
                what: "slots of a server",
                limit: MAX_SLOTS.into(),
                actual,
            });
        }
        Ok(())
    }
}

/// A group of servers that tenants share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerGroup {
    /// Policy that an operator sets.
    #[serde(rename = "rule")]
    pub policy: GroupPolicy,
    /// Servers by name.
    pub servers: BTreeMap<String, GroupServer>,
}

/// Capacity of a group over time, as the module comment defines it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct GroupCapacity {
    pub total: Timeline,
    pub guaranteed: Timeline,
    pub reservable: Timeline,
}

impl ServerGroup {
    pub(crate) fn check(&self, name: &str) -> Result<(), ReservationError> {
        check_text("group", name)?;
        self.policy.check()?;
        self.servers.iter().try_for_each(|(name, server)| check_text("server", name).and(server.check()))
    }

    pub(crate) fn capacity(&self) -> GroupCapacity {
        let outages = self.servers.values().flat_map(|server| &server.outages);
        let mut moments: Vec<Micros> =
            outages.flat_map(|outage| [outage.from, outage.until]).chain([0]).collect();
        moments.sort_unstable();
        moments.dedup();
        let all: Vec<[u32; 3]> = moments.iter().map(|at| self.capacity_at(*at)).collect();
        let timeline = |index: usize| {
            Timeline::from_points(moments.iter().copied().zip(all.iter().map(|values| values[index])))
        };
        GroupCapacity { total: timeline(0), guaranteed: timeline(1), reservable: timeline(2) }
    }

    /// Total, guaranteed and reservable slots at a moment.
    fn capacity_at(&self, at: Micros) -> [u32; 3] {
        let mut available: Vec<&GroupServer> = Vec::with_capacity(self.servers.len());
        let mut permits = 0;
        for server in self.servers.values() {
            match server.outages.iter().find(|outage| outage.covers(at)) {
                None => available.push(server),
                Some(_) => {
                    permits += u32::from(
                        server
                            .outages
                            .iter()
                            .any(|outage| outage.covers(at) && outage.cause == OutageCause::Permit),
                    )
                }
            }
        }
        let sum: u32 = available.iter().map(|server| server.slots).sum();
        let worst_loss = self.worst_loss(available, self.policy.permits_out.saturating_sub(permits) as usize);
        let (total, remaining) =
            (self.policy.after_safety_margin(sum), self.policy.after_safety_margin(sum - worst_loss));
        [total, self.policy.without_unreserved(total), self.policy.without_unreserved(remaining)]
    }

    fn worst_loss(&self, mut available: Vec<&GroupServer>, permits: usize) -> u32 {
        available.sort_by_key(|server| std::cmp::Reverse(server.slots));
        let largest = |excluded_zone: Option<&str>| -> u32 {
            let others = available.iter().filter(|server| Some(server.zone.as_str()) != excluded_zone);
            others.take(permits).map(|server| server.slots).sum()
        };
        if !self.policy.survive_zone {
            return largest(None);
        }
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        available.iter().for_each(|server| *zones.entry(&server.zone).or_default() += server.slots);
        zones.iter().map(|(zone, sum)| sum + largest(Some(zone))).max().unwrap_or(0)
    }

    /// Explains a reduced capacity at a moment: names up to four of the servers that are out.
    pub(crate) fn outage_summary(&self, at: Micros) -> String {
        let outages = self.servers.iter().filter_map(|(name, server)| {
            server
                .outages
                .iter()
                .find(|outage| outage.covers(at))
                .map(|outage| format!("{name} ({})", outage.reason))
        });
        let outages: Vec<String> = outages.collect();
        match outages.len() {
            0 => "its servers or its policy were changed".to_owned(),
            many @ 5.. => format!("{} and {} more are out", outages[..4].join(", "), many - 4),
            _ => format!("{} out", outages.join(", ")),
        }
    }
}
