//! The activation record: one document at the coordination service, written by compare-and-set over the
//! version that was read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Micros;
use crate::version::{Version, FORMAT, MAX_TEXT_BYTES};
use crate::{ActivationRules, CommandError};

/// Maximum number of nodes in the roster.
pub const MAX_ROSTER_NODES: usize = 4_096;
/// Maximum number of abandoned attempts that are retained; the oldest is dropped first.
pub const MAX_ABANDONED_ATTEMPTS: usize = 32;

/// A node's entry in the roster. A node without an entry serves no requests, because no attempt waits for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Identifies the node's disk: a number drawn when the disk was empty.
    pub life: u64,
    /// Identifies the process: a number drawn at each start and at each return from isolation.
    pub entry: u64,
    /// Newest format that the process reads.
    pub format: u32,
    /// Proof of the process's end, if it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone: Option<String>,
}

/// A node's report on an attempt; it binds the node until the node reads how the attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeReport {
    /// The version is built and on disk, with this digest.
    Ready(String),
    /// The node cannot serve the version, with the reason.
    Cannot(String),
}

/// An open attempt to activate a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivationAttempt {
    /// Fencing number of the attempt; it only grows.
    pub fence: u64,
    /// Version to activate.
    pub version: Version,
    /// Node or operator that opened the attempt.
    pub author: String,
    /// Time-out: if the attempt is undecided then, any node may end it.
    pub until: Micros,
    /// Lower bound of the switch moment, which only grows. Until then a node that reported ready may serve by
    /// the old version.
    pub floor: Micros,
    /// Nodes that reported ready, with the process number under which they did.
    pub ready: BTreeMap<String, u64>,
}

/// A decided switch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivationDecision {
    /// Fencing number of the attempt.
    pub fence: u64,
    /// Version that is served.
    pub version: Version,
    /// Moment of the switch.
    pub moment: Micros,
    /// Fence of the preceding decision; 0 for the first. A node that does not serve the version of that
    /// decision serves nothing until the moment.
    pub after: u64,
}

/// An attempt that ended without a decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AbandonedAttempt {
    /// Fencing number of the attempt.
    pub fence: u64,
    /// Number of its version.
    pub number: u64,
    /// Reason for which it ended.
    pub why: String,
}

/// State that the fleet agrees on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// Format of this document; a program that knows only older formats writes nothing.
    pub format: u32,
    /// Increases with each change, so that an outdated copy can be recognised.
    pub revision: u64,
    /// Rules of the fleet.
    pub rules: ActivationRules,
    /// Fencing number of the last attempt.
    pub fence: u64,
    /// Highest version number that was decided or withdrawn.
    pub least: u64,
    /// Nodes that must be ready, by name.
    pub roster: BTreeMap<String, NodeEntry>,
    /// Latest decision.
    pub decided: Option<ActivationDecision>,
    /// Open attempt.
    pub attempt: Option<ActivationAttempt>,
    /// Most recent abandoned attempts.
    #[serde(default)]
    pub kept: Vec<AbandonedAttempt>,
}

impl ActivationRecord {
    /// Creates an empty record.
    ///
    /// # Errors
    /// Returns an error for a rule that cannot be satisfied.
    pub fn new(rules: ActivationRules) -> Result<ActivationRecord, CommandError> {
        rules.check()?;
        let (roster, kept) = (BTreeMap::new(), Vec::new());
        let (decided, attempt) = (None, None);
        Ok(ActivationRecord {
            format: FORMAT,
            revision: 0,
            rules,
            fence: 0,
            least: 0,
            roster,
            decided,
            attempt,
            kept,
        })
    }

    /// Names of the nodes that must be ready for the open attempt and are not.
    pub fn unready_nodes(&self) -> Vec<String> {
        let Some(attempt) = &self.attempt else { return Vec::new() };
        let ready = |name: &str, node_entry: &NodeEntry| attempt.ready.get(name) == Some(&node_entry.entry);
        let unready = self
            .roster
            .iter()
            .filter(|(name, node_entry)| node_entry.gone.is_none() && !ready(name, node_entry));
        unready.map(|(name, _)| name.clone()).collect()
    }

    /// Returns an error if too large a part of the roster, or all of it, is missing; an empty roster counts
    /// as missing.
    pub(crate) fn check_missing(&self) -> Result<(), CommandError> {
        let (total, max_percent) = (self.roster.len(), self.rules.most_missing_percent);
        let missing = self.roster.values().filter(|node_entry| node_entry.gone.is_some()).count();
        if missing * 100 > total * usize::from(max_percent) || missing == total {
            return Err(CommandError::TooManyMissing { missing, total, max_percent });
        }
        Ok(())
    }

    /// Ends the open attempt without a decision and retains the reason.
    pub(crate) fn end(&mut self, why: String) {
        if let Some(attempt) = self.attempt.take() {
            let mut why = why;
            while why.len() > MAX_TEXT_BYTES {
                why.pop();
            }
            self.kept.push(AbandonedAttempt { fence: attempt.fence, number: attempt.version.number, why });
            let over = self.kept.len().saturating_sub(MAX_ABANDONED_ATTEMPTS);
            self.kept.drain(..over);
        }
    }
}
