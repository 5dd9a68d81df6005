//! Contents of a datagram: header, body and member updates, in their encoded order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{MAX_NAME_BYTES, MAX_ROLE_BYTES, MAX_VERSION_BYTES, MAX_ZONE_BYTES, SECTIONS};
use crate::{LifecyclePhase, MAX_EJECTED_MARKS};

/// Sender and sequence number of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader<'a> {
    /// Name of the sender.
    pub from: &'a str,
    /// Epoch of the sender, higher after each of its starts.
    pub epoch: u64,
    /// Sequence number, higher with each datagram of an epoch.
    pub number: u64,
}

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body<'a> {
    /// Probe; the receiver answers with [`Body::Ack`].
    Ping {
        /// Identifies the probe.
        nonce: u32,
        /// Name of the probed node. Another node that has taken over the address does not answer.
        to: &'a str,
    },
    /// Request for an indirect probe: the receiver probes the target and reports the result.
    #[serde(rename = "Ask")]
    PingRequest {
        /// Identifies the probe.
        nonce: u32,
        /// Name of the node to probe.
        target: &'a str,
    },
    /// The target of the probe answered.
    Ack {
        /// Identifies the probe.
        nonce: u32,
        /// Digest of the sender's membership table: see [`crate::Fleet`].
        digest: u32,
    },
    /// The helper of an indirect probe answers, but the target did not.
    Nack {
        /// Identifies the probe.
        nonce: u32,
    },
    /// Asks which sections of the two membership tables differ; the receiver answers with [`Body::Differ`].
    Compare {
        /// Digests of the sender's membership table, by section.
        sums: [u32; SECTIONS],
    },
    /// The sections that differ.
    Differ {
        /// One bit per section.
        sections: u16,
    },
    /// Asks for the members whose names come after the given one; the receiver answers with [`Body::Page`].
    Pull {
        /// The last name received.
        after: &'a str,
        /// Sections to send, one bit per section.
        sections: u16,
    },
    /// A page of pulled members, carried as updates.
    Page {
        /// No further page follows.
        last: bool,
    },
    /// Carries updates only.
    Gossip,
    /// Clock query; the receiver answers with [`Body::Stamp`]. Clock queries and stamps carry no updates, and
    /// are sent only to anchors, by nodes with fleet time enabled: a program that does not know them drops
    /// them as garbled and loses nothing.
    Clock {
        /// Identifies the query.
        nonce: u32,
    },
    /// Reading of the sender's clock.
    Stamp {
        /// Identifies the query.
        nonce: u32,
        /// Identifies the run of the sender's clock.
        run: u64,
        /// Clock reading in microseconds, taken after the query arrived.
        at: u64,
    },
}

/// State of one member, as gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate<'a> {
    /// The member announces that it is alive, with its metadata.
    Alive {
        /// Name of the member.
        name: &'a str,
        /// Incarnation of the announcement.
        incarnation: u64,
        /// Start time, in milliseconds of the member's own Unix time.
        boot: u64,
        /// Address for datagrams.
        addr: SocketAddr,
        /// Zone, or empty if the member has none.
        zone: &'a str,
        /// Version of the program.
        version: &'a str,
        /// Digest of the configuration.
        config: u32,
        /// Role of the member in the fleet.
        role: &'a str,
        /// Lifecycle phase.
        phase: LifecyclePhase,
        /// Number of the last server drain order up to which all orders are carried out.
        #[serde(rename = "done")]
        completed_order: u32,
        /// Marks of the servers that the member ejects.
        #[serde(rename = "ejects")]
        ejected_marks: [u16; MAX_EJECTED_MARKS],
    },
    /// The member did not answer and is suspected.
    Suspect {
        /// Name of the member.
        name: &'a str,
        /// Highest incarnation of the member that the sender knows.
        incarnation: u64,
        /// Name of the node that suspects it.
        by: &'a str,
    },
    /// The member did not answer and did not refute the suspicion in time.
    Dead {
        /// Name of the member.
        name: &'a str,
        /// Highest incarnation of the member that the sender knows.
        incarnation: u64,
    },
}

impl MemberUpdate<'_> {
    /// Whether all texts are within their length limits.
    pub(super) fn is_within_limits(&self) -> bool {
        let name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        match self {
            MemberUpdate::Alive { name: of, zone, version, role, .. } => {
                name(of)
                    && zone.len() <= MAX_ZONE_BYTES
                    && version.len() <= MAX_VERSION_BYTES
                    && role.len() <= MAX_ROLE_BYTES
            }
            MemberUpdate::Suspect { name: of, by, .. } => name(of) && name(by),
            MemberUpdate::Dead { name: of, .. } => name(of),
        }
    }
}
