//! Messages between the measuring process and a host of hollow nodes: one JSON object per line on the host's
//! standard input and output.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A command to a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostCommand {
    /// Reply with a [`HostReport`].
    Report,
    /// Starts (`true`) or stops (`false`) dropping datagrams from and to the addresses of other regions.
    CutRegions(bool),
}

/// A message from a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostNotice {
    /// All members of the host listen at these addresses, by node name.
    Listening(Vec<(String, SocketAddr)>),
    /// A node has a revision of the catalogue in force.
    InForce {
        /// Name of the node.
        node: String,
        /// Revision of the catalogue.
        revision: u64,
        /// Number of commits applied to reach the revision; 0 after a load of the whole catalogue.
        commits: u64,
        /// Time, in microseconds of Unix time.
        at_us: u64,
    },
    /// A node has read a version of the ledger.
    Ledger {
        /// Name of the node.
        node: String,
        /// Version of the ledger.
        version: i32,
        /// Time, in microseconds of Unix time.
        at_us: u64,
    },
    /// The reply to [`HostCommand::Report`].
    Report(HostReport),
    /// A failure inside the host.
    Fault(String),
}

/// Counters and state of all nodes of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Number of nodes.
    pub nodes: u64,
    /// Datagrams sent by all nodes.
    pub datagrams: u64,
    /// Bytes of the datagrams sent.
    pub bytes: u64,
    /// Smallest and largest number of members that a node considers alive.
    pub alive: (u64, u64),
    /// Lowest and highest revision of the catalogue in force at a node.
    pub revisions: (u64, u64),
    /// Members declared dead, summed over all nodes.
    pub deaths: u64,
}

/// Returns the current Unix time in microseconds.
pub fn now_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as u64
}
