//! Cluster membership and failure detection by gossip (SWIM with Lifeguard), without I/O. The caller passes
//! in datagrams and the time and carries out the returned actions; the same inputs and the same seed give the
//! same actions.
//!
//! ```text
//!                 ┌───────────────────────────── Fleet ─────────────────────────────┐
//!   datagram ────▶│ wire: key, number ─▶ updates ─▶ members ─▶ bounded gossip queue │─▶ GossipAction::Send
//!   time (tick) ─▶│ probe ─ indirect probe ─ miss ─ suspicion ─ dead                │─▶ GossipAction::Notify(MembershipEvent)
//!   own metadata ▶│ own update, with the next incarnation                           │─▶ members(), local_status()
//!   own clock ───▶│ clock: polls anchors and accepts their stamps (off by default)  │─▶ clocks()
//!                 └─────────────────────────────────────────────────────────────────┘
//! ```
//!
//! **Identity.** A node is identified by its name. Its metadata (address, zone, version, phase) carries an
//! incarnation that only the node itself raises, starting from its start time. An update with a higher
//! incarnation replaces one with a lower incarnation, and no other node's update can bring a dead member
//! back.
//!
//! **Failure detection.** The protocol is SWIM with suspicion (Das, Gupta, Motivala 2002). In each interval a
//! node probes one other member, in a shuffled order; a member that does not answer in time is probed
//! indirectly through others. A member has to miss two probes before it is suspected
//! ([`GossipSettings::missed_probes`]), because the loss of one datagram, or of four, is no evidence of a
//! failure. A suspicion is gossiped to all members, and first to the suspected one, which refutes it with a
//! higher incarnation; if it does not do so in time, it is declared dead. Every update is piggybacked on
//! other datagrams a bounded number of times.
//!
//! **Local health.** As in Lifeguard (Dadgar, Phillips, Currey 2018), a node that misses replies or learns
//! that it was suspected lengthens its probe timeouts and its suspicions. Helpers that cannot reach a target
//! answer with a nack, and missing nacks count against the node that asked. A suspicion that other members
//! confirm ends sooner. A node that was paused and resumes suspects nobody for the time it missed.
//!
//! **Isolation.** A node that hears from no other member concludes that it is cut off itself
//! ([`LocalStatus::Isolated`]): it suspects nobody, declares nobody dead and keeps its membership table. A
//! group of nodes that hear one another but not the rest does declare the rest dead. The membership view
//! therefore bounds nothing, and permits are not agreed by this protocol. After a pause or an isolation the
//! table may be out of date for a while ([`LocalStatus::CatchingUp`]).
//!
//! **Anti-entropy.** Updates that gossip lost are pulled. Acknowledgements carry a digest of the sender's
//! membership table; a node that reads a digest other than its own asks which of sixteen sections differ and
//! pulls those page by page.
//!
//! **Time.** With [`GossipSettings::clocks`] set, the anchors named in a document are polled for their
//! clocks, and [`clock`] computes from the replies an interval that is guaranteed to contain fleet time.

pub mod clock;
mod fleet;
mod metadata;
mod settings;
pub mod simulated;
pub mod wire;

pub use fleet::{
    ClusterMember, Fleet, MAX_CONFIRMATION_PROBES, MAX_MEMBERS, MAX_QUEUED_ACTIONS, MAX_RELAYED_PROBES,
};
pub use metadata::{
    GossipAction, GossipCounters, LifecyclePhase, LocalStatus, MemberState, MembershipEvent, Millis,
    NodeMetadata, MAX_EJECTED_MARKS,
};
pub use settings::GossipSettings;
