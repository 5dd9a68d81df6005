//! State machine of one node in the membership protocol. This module holds the state; its submodules hold the
//! rules:
//!
//! ```text
//!   timers      due work, pauses, isolation          probe         probe targets, indirect probes, missed probes
//!   receive     acceptance of datagrams, bodies      suspicion     from suspicion to death, refutations
//!   updates     gossiped updates of members          anti_entropy  lost updates, by sections and pages
//!   send        gossip queue, addresses, sending     accessors     queries and commands of the owner
//!   clock_sync  polling clocks, answering queries
//! ```

mod accessors;
mod anti_entropy;
mod clock_sync;
mod probe;
mod receive;
mod send;
mod suspicion;
mod timers;
mod updates;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use send::{fingerprint, section_of};

use crate::wire::{GossipKeys, ReplayWindow, MAX_NAME_BYTES, SECTIONS};
use crate::{GossipAction, GossipCounters, GossipSettings, MemberState, Millis, NodeMetadata};

/// Maximum number of members, dead ones included. The member that has been dead longest is removed to admit a
/// new one.
pub const MAX_MEMBERS: usize = 4_096;
/// Maximum number of probes relayed for others at a time; further requests are ignored.
pub const MAX_RELAYED_PROBES: usize = 256;
/// Maximum number of concurrent probes that check suspicions of others.
pub const MAX_CONFIRMATION_PROBES: usize = 16;
/// Maximum number of actions waiting for the caller; the oldest is discarded.
pub const MAX_QUEUED_ACTIONS: usize = 8_192;
/// Maximum number of confirmations of a suspicion; at this number its duration is at the minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Maximum local health score (Lifeguard's S).
pub(crate) const MAX_LOCAL_HEALTH: u32 = 8;

/// A member, as this node sees it.
#[derive(Clone, Debug)]
pub struct ClusterMember {
    /// What the member announces about itself.
    pub metadata: NodeMetadata,
    /// Incarnation of that metadata.
    pub incarnation: u64,
    /// Liveness.
    pub state: MemberState,
    /// Time of the last change of the liveness.
    pub state_since: Millis,
    /// Names of the nodes that suspect the member.
    pub suspected_by: Vec<Arc<str>>,
    /// Time at which the last datagram from the member itself arrived; 0 if none did.
    pub last_heard: Millis,
    replay_window: ReplayWindow,
    consecutive_misses: u32,
    /// The current suspicion was gossiped a second time.
    suspicion_regossiped: bool,
    /// Time at which the member was last informed that its epoch is stale.
    stale_epoch_notified_at: Millis,
}

/// The current probe of this node.
struct Probe {
    target: Arc<str>,
    nonce: u32,
    /// Time at which the indirect probes are due; `None` once they are sent.
    indirect_at: Option<Millis>,
    deadline: Millis,
    helpers_requested: u32,
    nacks_received: u32,
    answered: bool,
}

/// A probe of another member on behalf of a third one.
struct RelayedProbe {
    nonce: u32,
    target: Arc<str>,
    requester: Arc<str>,
    requester_nonce: u32,
    deadline: Millis,
}

/// A probe of a member that another member suspects.
struct ConfirmationProbe {
    target: Arc<str>,
    nonce: u32,
    deadline: Millis,
}

/// An outstanding pull.
struct PullState {
    peer: Arc<str>,
    last_name: String,
    sections: u16,
    retry_at: Millis,
    attempts: u32,
}

/// The membership table and protocol state of one node.
pub struct Fleet {
    local_name: Arc<str>,
    /// Epoch of this process; raised if an earlier process used a higher one.
    epoch: u64,
    number: u64,
    settings: GossipSettings,
    keys: Arc<GossipKeys>,
    random: fastrand::Rng,
    /// Includes this node.
    members: BTreeMap<Arc<str>, ClusterMember>,
    /// Configured addresses by name. They take precedence over announced ones, because reachability depends
    /// on this node's own network links.
    configured_addresses: BTreeMap<Arc<str>, SocketAddr>,
    /// The other members in the order of probing, and the index of the next one.
    probe_order: Vec<Arc<str>>,
    next_probe_index: usize,
    probe: Option<Probe>,
    /// Probes on behalf of other members.
    relayed_probes: Vec<RelayedProbe>,
    /// Probes of members that others suspect.
    confirmation_probes: Vec<ConfirmationProbe>,
    suspects: BTreeSet<Arc<str>>,
    /// Members with updates to gossip, ordered by how often each was sent; `transmit_counts` holds that count
    /// by name.
    gossip_queue: BTreeSet<(u32, Arc<str>)>,
    transmit_counts: BTreeMap<Arc<str>, u32>,
    pull: Option<PullState>,
    /// Digests of the membership table, by section.
    section_digests: [u32; SECTIONS],
    local_health: u32,
    last_heard: Millis,
    isolated_since: Option<Millis>,
    /// The latest time passed in by the caller.
    last_time: Millis,
    last_tick: Millis,
    next_probe_at: Millis,
    next_gossip_at: Millis,
    next_reconnect_at: Millis,
    next_pull_at: Millis,
    /// Highest epoch seen of another process with this name.
    conflicting_epoch: u64,
    /// The table may be out of date until this time.
    catching_up_until: Millis,
    actions: VecDeque<GossipAction>,
    counters: GossipCounters,
    clock_poller: Option<Box<clock_sync::ClockPoller>>,
}

impl Fleet {
    /// Creates a node of this name. `configured_addresses` take precedence over announced addresses; a member
    /// that is not listed is reached at the address it announces. The other members are discovered through
    /// any one of them. `metadata.boot` has to be higher at each start of a name; where it is not, the first
    /// answers raise the incarnation.
    pub fn new(
        now: Millis,
        local_name: &str,
        metadata: NodeMetadata,
        configured_addresses: BTreeMap<Arc<str>, SocketAddr>,
        keys: GossipKeys,
        settings: GossipSettings,
        seed: u64,
    ) -> Fleet {
        let local_name: Arc<str> = local_name.chars().take(MAX_NAME_BYTES).collect::<String>().into();
        let epoch = metadata.boot;
        let mut configured_addresses = configured_addresses;
        configured_addresses.remove(&local_name);
        let mut fleet = Fleet {
            local_name: local_name.clone(),
            epoch,
            number: 0,
            settings,
            keys: Arc::new(keys),
            random: fastrand::Rng::with_seed(seed),
            members: BTreeMap::new(),
            configured_addresses,
            probe_order: Vec::new(),
            next_probe_index: 0,
            probe: None,
            relayed_probes: Vec::new(),
            confirmation_probes: Vec::new(),
            suspects: BTreeSet::new(),
            gossip_queue: BTreeSet::new(),
            transmit_counts: BTreeMap::new(),
            pull: None,
            section_digests: [0; SECTIONS],
            local_health: 0,
            last_heard: now,
            isolated_since: None,
            last_time: now,
            last_tick: now,
            next_probe_at: now,
            next_gossip_at: now,
            next_reconnect_at: now,
            next_pull_at: now,
            conflicting_epoch: 0,
            catching_up_until: 0,
            actions: VecDeque::new(),
            counters: GossipCounters::default(),
            clock_poller: settings
                .clocks
                .map(|clocks| Box::new(clock_sync::ClockPoller::new(local_name.clone(), clocks))),
        };
        let member = ClusterMember {
            metadata,
            incarnation: epoch,
            state: MemberState::Alive,
            state_since: now,
            suspected_by: Vec::new(),
            last_heard: 0,
            replay_window: ReplayWindow::default(),
            consecutive_misses: 0,
            suspicion_regossiped: false,
            stale_epoch_notified_at: 0,
        };
        fleet.section_digests[section_of(&local_name)] ^= fingerprint(&local_name, &member);
        fleet.members.insert(local_name.clone(), member);
        fleet.queue_gossip(&local_name);
        fleet
    }
}
