//! Commands that change the activation record.

use crate::record::{NodeEntry, NodeReport};
use crate::version::Version;
use crate::ActivationRules;

/// A change of the activation record. Commands are idempotent, so a command whose response was lost is
/// applied again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ActivationCommand {
    /// Registers a process, before it serves any request.
    Join {
        /// Name of the node.
        node: String,
        /// Entry to add; never one whose end is proven.
        node_entry: NodeEntry,
    },
    /// Records that a process has ended or sends nothing until it registers again: it shut down, `permits`
    /// has its end proven, or an operator vouches for it. If that is false, the process serves by the old
    /// version until it next reads the record.
    MarkEnded {
        /// Name of the node.
        node: String,
        /// Number of the process.
        entry: u64,
        /// Proof of the end.
        proof: String,
    },
    /// Removes a node that has ended and does not come back from the roster.
    RemoveNode(String),
    /// Opens an attempt.
    OpenAttempt {
        /// Node or operator that opens it.
        author: String,
        /// Version to activate.
        version: Version,
    },
    /// A node's report, after the version is on its disk.
    Report {
        /// Reporting node.
        node: String,
        /// Number of the process.
        entry: u64,
        /// Fence of the attempt.
        fence: u64,
        /// Content of the report.
        report: NodeReport,
    },
    /// Moves the floor of this attempt later, so that nodes that are ready continue to serve by the old
    /// version.
    ExtendFloor(u64),
    /// Decides this attempt and sets the moment, once all nodes are ready.
    Decide(u64),
    /// Ends an attempt without a decision: its author at any time, any node after the time-out or once too
    /// many nodes are missing.
    EndAttempt {
        /// Node that ends it.
        by: String,
        /// Fence of the attempt.
        fence: u64,
    },
    /// An operator withdraws an undecided version; its number is never accepted again.
    Withdraw {
        /// Fence of the attempt.
        fence: u64,
        /// Reason, retained in the record.
        why: String,
    },
    /// An operator replaces the rules while no attempt is open.
    SetRules(ActivationRules),
}
