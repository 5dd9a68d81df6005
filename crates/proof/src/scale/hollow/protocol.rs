//! What a host of hollow nodes and the scale run say to one another: a JSON object a line, on its standard input and
//! output.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a host is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Tell what its nodes have sent and know.
    Report,
    /// Datagrams to another region's addresses are dropped from now on, or are not any more.
    CutRegions(bool),
}

/// What a host tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// Its members listen.
    Listening(Vec<(String, SocketAddr)>),
    /// A node has a revision of the catalogue in force.
    InForce {
        /// Which node.
        node: String,
        /// Which revision.
        revision: u64,
        /// How many commits it took over to come there; 0 where it loaded all of it.
        commits: u64,
        /// When, in microseconds of Unix time.
        at_us: u64,
    },
    /// A node has seen a version of the ledger.
    Ledger {
        /// Which node.
        node: String,
        /// Which version.
        version: i32,
        /// When, in microseconds of Unix time.
        at_us: u64,
    },
    /// What its nodes have sent and know.
    Report(HostReport),
    /// Something that does not do as it should.
    Fault(String),
}

/// What the nodes of a host have sent and know, all together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Nodes.
    pub nodes: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Members held for alive by the node that holds the fewest so, and the most.
    pub alive: (u64, u64),
    /// The least revision of the catalogue in force, and the greatest.
    pub revisions: (u64, u64),
    /// Members found dead, over all nodes.
    pub deaths: u64,
}

/// Microseconds of Unix time.
pub fn now_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as u64
}
