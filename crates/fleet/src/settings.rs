//! Settings of the membership protocol.

use crate::fleet::MAX_LOCAL_HEALTH;
use crate::{clock, Millis};

/// Settings of the membership protocol. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipSettings {
    /// Interval of the probes; one member is probed in each.
    pub probe_interval: Millis,
    /// Time to wait for an acknowledgement before indirect probes are sent. Less than half of
    /// `probe_interval`.
    pub probe_timeout: Millis,
    /// Number of helpers asked for an indirect probe.
    pub indirect_probes: usize,
    /// Consecutive probes that a member may miss without being suspected.
    pub missed_probes: u32,
    /// Minimum duration of a suspicion, in probe intervals, multiplied by log10 of the number of members (at
    /// least 1).
    pub suspicion_min_multiplier: f64,
    /// Maximum duration of a suspicion, as a multiple of its minimum duration.
    pub suspicion_max_multiplier: f64,
    /// Number of times an update is sent, multiplied by log10 of the number of members, rounded up.
    pub retransmit_multiplier: u32,
    /// Number of members that receive gossip in each gossip interval, beside what is piggybacked on probes.
    pub fanout: usize,
    /// Interval of the gossip.
    pub gossip_interval: Millis,
    /// The node is isolated after hearing from no member for this time.
    pub isolation_timeout: Millis,
    /// A dead member is removed after this time.
    pub dead_member_retention: Millis,
    /// Settings of fleet time; with `None` no clock is polled and no clock query is answered.
    pub clocks: Option<clock::ClockSettings>,
}

impl Default for GossipSettings {
    fn default() -> Self {
        GossipSettings {
            probe_interval: 500,
            probe_timeout: 150,
            indirect_probes: 3,
            missed_probes: 1,
            suspicion_min_multiplier: 4.0,
            suspicion_max_multiplier: 4.0,
            retransmit_multiplier: 4,
            fanout: 3,
            gossip_interval: 100,
            isolation_timeout: 2_500,
            dead_member_retention: 3_600_000,
            clocks: None,
        }
    }
}

impl GossipSettings {
    /// Maximum time during which a node of a fleet with this many members can take others for alive, or
    /// itself for connected, although it no longer hears them: the longest suspicion at the worst local
    /// health, and the time until the node is isolated.
    pub fn max_suspicion_duration(&self, members: usize) -> Millis {
        let min_suspicion =
            self.suspicion_min_multiplier * (members as f64).log10().max(1.0) * self.probe_interval as f64;
        let max_suspicion = min_suspicion * self.suspicion_max_multiplier * f64::from(MAX_LOCAL_HEALTH + 1);
        max_suspicion as Millis
            + self.isolation_timeout
            + (2 + Millis::from(MAX_LOCAL_HEALTH)) * self.probe_interval
    }
}
