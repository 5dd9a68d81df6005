//! What all hosts of hollow nodes have told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use super::hollow::protocol::{HostReport, Notice};

/// When something came to be at each node, in microseconds of Unix time.
pub type Arrivals = BTreeMap<String, u64>;

/// What all hosts have told.
#[derive(Default)]
pub struct Told {
    /// By revision: when which node had it in force. A node that took over several at once has them all at that time.
    pub in_force: BTreeMap<u64, Arrivals>,
    /// By version of the ledger: when which node had seen it.
    pub ledger: BTreeMap<i32, Arrivals>,
    /// Revisions that a node had in force out of order or more than once.
    pub disorder: u64,
    /// The last revision of each node.
    latest: BTreeMap<String, u64>,
    /// What does not do as it should.
    pub faults: Vec<String>,
    /// Where members listen.
    pub listening: BTreeMap<String, SocketAddr>,
}

impl Told {
    fn in_force(&mut self, node: String, revision: u64, commits: u64, at_us: u64) {
        let last = self.latest.insert(node.clone(), revision).unwrap_or(0);
        if commits > 0 && last + commits != revision {
            self.disorder += 1;
        }
        for one in revision.saturating_sub(commits.saturating_sub(1))..=revision {
            self.in_force.entry(one).or_default().insert(node.clone(), at_us);
        }
    }
}

/// Takes a line of a host's output.
pub fn hear(told: &Mutex<Told>, report: &Mutex<Option<HostReport>>, line: &str) {
    let mut told = told.lock().unwrap_or_else(PoisonError::into_inner);
    match serde_json::from_str(line) {
        Ok(Notice::Listening(members)) => told.listening.extend(members),
        Ok(Notice::InForce { node, revision, commits, at_us }) => {
            told.in_force(node, revision, commits, at_us)
        }
        Ok(Notice::Ledger { node, version, at_us }) => {
            told.ledger.entry(version).or_default().insert(node, at_us);
        }
        Ok(Notice::Report(new)) => {
            *report.lock().unwrap_or_else(PoisonError::into_inner) = Some(new);
        }
        Ok(Notice::Fault(fault)) => told.faults.push(fault),
        Err(error) => told.faults.push(format!("{error}: {line}")),
    }
}
