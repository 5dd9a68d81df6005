//! State of the hollow nodes as observed from the notices of their hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use super::hollow::protocol::{HostNotice, HostReport};

/// Time of one event at each node, in microseconds of Unix time, by node name.
pub type TimesByNode = BTreeMap<String, u64>;

/// State of the hollow nodes as observed from the notices of all hosts.
#[derive(Default)]
pub struct HostObservations {
    /// When each node had a revision in force, by revision. A node that applied several commits at once has
    /// the same time for all their revisions.
    pub in_force: BTreeMap<u64, TimesByNode>,
    /// When each node had read a version of the ledger, by version.
    pub ledger: BTreeMap<i32, TimesByNode>,
    /// Number of times that a node applied commits out of order or more than once.
    pub out_of_order: u64,
    /// Last revision in force at each node.
    last_revisions: BTreeMap<String, u64>,
    /// Failures reported by hosts, and output lines that could not be parsed.
    pub faults: Vec<String>,
    /// Addresses of the members that listen, by node name.
    pub listening: BTreeMap<String, SocketAddr>,
}

impl HostObservations {
    fn record_in_force(&mut self, node: String, revision: u64, commits: u64, at_us: u64) {
        let last = self.last_revisions.insert(node.clone(), revision).unwrap_or(0);
        if commits > 0 && last + commits != revision {
            self.out_of_order += 1;
        }
        for applied in revision.saturating_sub(commits.saturating_sub(1))..=revision {
            self.in_force.entry(applied).or_default().insert(node.clone(), at_us);
        }
    }
}

/// Records one line of a host's output: a report goes to `report`, everything else to `observations`.
pub fn record_line(observations: &Mutex<HostObservations>, report: &Mutex<Option<HostReport>>, line: &str) {
    let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
    match serde_json::from_str(line) {
        Ok(HostNotice::Listening(members)) => observations.listening.extend(members),
        Ok(HostNotice::InForce { node, revision, commits, at_us }) => {
            observations.record_in_force(node, revision, commits, at_us)
        }
        Ok(HostNotice::Ledger { node, version, at_us }) => {
            observations.ledger.entry(version).or_default().insert(node, at_us);
        }
        Ok(HostNotice::Report(received)) => {
            *report.lock().unwrap_or_else(PoisonError::into_inner) = Some(received);
        }
        Ok(HostNotice::Fault(fault)) => observations.faults.push(fault),
        Err(error) => observations.faults.push(format!("{error}: {line}")),
    }
}
