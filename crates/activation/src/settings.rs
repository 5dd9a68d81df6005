//! Settings of activation: the rules that the fleet agrees on are stored in the activation record, the limits
//! are per node.

use serde::{Deserialize, Serialize};

use crate::clock::Micros;
use crate::CommandError;

/// Rules of the fleet, stored in the [`ActivationRecord`](crate::ActivationRecord). The guarantee that no
/// response by the old version follows one by the new version depends on none of them; they determine how
/// long an isolated node continues to serve and when an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActivationRules {
    /// Distance from the writer's clock at which a floor or a switch moment is set.
    pub lead: Micros,
    /// Maximum time that an attempt may stay undecided.
    pub patience: Micros,
    /// Maximum width of a clock interval that is relied on.
    pub widest: Micros,
    /// Maximum share of the roster, in percent, whose end may be proven; an attempt with more of it missing
    /// ends.
    pub most_missing_percent: u8,
}

impl Default for ActivationRules {
    fn default() -> ActivationRules {
        ActivationRules { lead: 2_000_000, patience: 30_000_000, widest: 50_000, most_missing_percent: 20 }
    }
}

impl ActivationRules {
    /// Checks that the rules can be satisfied.
    ///
    /// # Errors
    /// Returns the rule that cannot be satisfied and the value to give.
    pub fn check(&self) -> Result<(), CommandError> {
        let invalid = |text: &str| Err(CommandError::LimitExceeded(text.into()));
        if self.lead < self.widest.saturating_mul(4).max(1) {
            return invalid(
                "lead is less than four times widest: nodes would be in doubt at each switch; set a larger value",
            );
        }
        if self.patience < self.lead {
            return invalid(
                "patience is less than lead: no attempt could be decided in time; set a larger value",
            );
        }
        match self.most_missing_percent {
            0..=99 => Ok(()),
            _ => invalid(
                "most_missing_percent is 100 or more: a fleet without any node would switch; set 0 to 99",
            ),
        }
    }
}

/// Limits of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeLimits {
    /// Interval between reads of the activation record; keep it under `lead / 8`, or the node is at times in
    /// doubt while an attempt is open.
    pub poll: Micros,
    /// Maximum number of requests held until the switch.
    pub most_held: usize,
    /// Maximum time from the start of holding; requests after it are refused at once.
    pub hold_for: Micros,
    /// Maximum time between two events of a process that was not suspended.
    pub longest_turn: Micros,
    /// Maximum time without contact to the service and to most of the roster, after which the node's entry no
    /// longer counts; it equals the setting `alone_s` of `permits`.
    pub alone: Micros,
    /// How long after the switch a server that the new version drops may receive further attempts of requests
    /// of the old version.
    pub drain: Micros,
    /// Maximum number of versions with tables in memory: the served one, the ones being prepared and those
    /// with open requests.
    pub most_built: usize,
}

impl Default for NodeLimits {
    fn default() -> NodeLimits {
        NodeLimits {
            poll: 200_000,
            most_held: 1_024,
            hold_for: 100_000,
            longest_turn: 250_000,
            alone: 30_000_000,
            drain: 500_000,
            most_built: 4,
        }
    }
}

impl NodeLimits {
    /// Checks the limits against the rules of the fleet.
    ///
    /// # Errors
    /// Returns the limit that would cause refused requests at each switch and the value to give.
    pub fn check(&self, rules: &ActivationRules) -> Result<(), CommandError> {
        let invalid = |text: &str| Err(CommandError::LimitExceeded(text.into()));
        if self.poll == 0 || self.poll > rules.lead / 8 {
            return invalid("poll is 0 or more than an eighth of lead: this node would be in doubt while others are not; set a smaller value");
        }
        if self.hold_for < rules.widest.saturating_mul(2) {
            return invalid(
                "hold_for is less than twice widest: requests would be refused at each switch; set a larger value",
            );
        }
        if self.longest_turn == 0 || self.alone < self.longest_turn {
            return invalid(
                "longest_turn is 0 or more than alone: each event would count as a suspension; set 50 ms or more",
            );
        }
        if self.most_held == 0 || self.most_built < 3 {
            return invalid(
                "most_held is 0 or most_built is less than 3 (the served, the next and the previous version); set a larger value",
            );
        }
        Ok(())
    }
}
