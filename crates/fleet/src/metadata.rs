//! Metadata that nodes announce about themselves, and the states, events, actions and counters of the
//! protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{clock, wire};

/// Milliseconds on a monotonic clock.
pub type Millis = u64;
/// Maximum number of ejected servers that a node announces.
pub const MAX_EJECTED_MARKS: usize = 4;

/// Lifecycle phase that a node announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LifecyclePhase {
    /// The node does not serve yet.
    Starting,
    /// The node serves.
    Ready,
    /// The node finishes its remaining requests.
    Draining,
    /// The node has no requests left and ends.
    Out,
}

/// What a node announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeMetadata {
    /// Start time, in milliseconds of the node's own Unix time.
    pub boot: u64,
    /// Address for datagrams, used where no address is configured (see [`crate::Fleet::new`]).
    pub addr: SocketAddr,
    /// Zone, or empty if the node has none.
    pub zone: String,
    /// Version of the program.
    pub version: String,
    /// Digest of the configuration.
    pub config: u32,
    /// Role of the node in the fleet.
    pub role: String,
    /// Lifecycle phase.
    pub phase: LifecyclePhase,
    /// Number of the last server drain order up to which all orders are carried out: see
    /// `woodgap_permits::servers`.
    pub completed_order: u32,
    /// Marks of the servers that the node ejects, the lowest ones; 0 marks an unused entry.
    pub ejected_marks: [u16; MAX_EJECTED_MARKS],
}

/// Liveness of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member missed probes and may still refute the suspicion.
    Suspect,
    /// The member missed probes and did not refute the suspicion in time.
    Dead,
}

/// This node's view of its own connection to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LocalStatus {
    /// The node knows of no other member.
    Alone,
    /// The node hears other members.
    #[serde(rename = "together")]
    Connected,
    /// The node was paused or isolated a moment ago, so its membership table may be out of date.
    #[serde(rename = "catching")]
    CatchingUp,
    /// The node hears none of the members it knows: either it is cut off or all of them are down, and it
    /// cannot tell which.
    Isolated {
        /// Time at which the isolation began.
        since: Millis,
    },
}

/// A change that the caller is notified of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipEvent {
    /// A member became known.
    Joined(Arc<str>),
    /// A member changed its metadata.
    Changed(Arc<str>),
    /// A member is suspected.
    Suspected(Arc<str>),
    /// A suspected or dead member is alive again.
    Recovered(Arc<str>),
    /// A member was declared dead.
    Died(Arc<str>),
    /// A member was removed after having been dead for long.
    Forgotten(Arc<str>),
    /// This node hears no other member.
    Isolated,
    /// This node hears other members again after an isolation.
    Reconnected,
    /// This node was suspected and refuted the suspicion.
    Refuted,
    /// Another process uses this node's name.
    NameConflict,
    /// This node did not run for this many milliseconds.
    Paused(Millis),
    /// A clock event.
    Clock(clock::ClockEvent),
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a datagram to an address.
    Send(SocketAddr, Vec<u8>),
    /// Report a change.
    Notify(MembershipEvent),
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams accepted.
    pub datagrams_accepted: u64,
    /// Datagrams dropped, by reason.
    pub datagrams_dropped: BTreeMap<wire::DropReason, u64>,
    /// Suspicions that this node started.
    pub suspicions_started: u64,
    /// Members that this node declared dead or learned to be dead.
    pub deaths_detected: u64,
    /// Suspicions of this node that it refuted.
    pub refutations: u64,
}
