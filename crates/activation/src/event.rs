//! Events that an [`ActivationNode`](crate::ActivationNode) handles and the actions that it returns.

use crate::clock::Micros;
use crate::gate::VersionBinding;
use crate::persisted::PersistedState;
use crate::record::{ActivationDecision, ActivationRecord};
use crate::version::{RequestOwners, TenantParts, Version};
use crate::{ActivationCommand, Unavailable};

/// Input of an [`ActivationNode`](crate::ActivationNode).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ActivationEvent {
    /// The activation record as read; an outdated copy is ignored.
    RecordRead(ActivationRecord),
    /// A version's data was fetched, checked, built and stored on disk.
    Fetched {
        /// Fetched version.
        version: Version,
        /// Digest of what was built.
        digest: String,
        /// Tenants' parts of the version.
        parts: TenantParts,
    },
    /// A version could not be fetched or built.
    FetchFailed {
        /// Version that failed.
        version: Version,
        /// Reason of the failure.
        why: String,
    },
    /// The state with this sequence number is on disk.
    Persisted(u64),
    /// Time, by the node's own count, of the last contact with the service or with more than half of the
    /// roster. The proof of a node's end in `permits` relies on a node sending nothing after it was isolated
    /// for long enough.
    LastContact(Micros),
    /// A report broadcast by another node; other commands are ignored.
    ReportReceived(ActivationCommand),
    /// The process shuts down: it admits nothing more and marks its entry as ended, so that no attempt waits
    /// for it.
    Leave,
    /// A request that [`ServingGate::serving`](crate::ServingGate::serving) alone does not admit.
    RequestArrived {
        /// Caller's id of the request.
        id: u64,
        /// Owners of the request by both versions.
        owners: RequestOwners,
    },
    /// A held request was cancelled by its client.
    RequestCancelled(u64),
    /// An admitted request has its final response.
    RequestCompleted(VersionBinding),
    /// Time passed without another event.
    Tick,
}

/// Output of an [`ActivationNode`](crate::ActivationNode); carried out in this order, after the
/// [`ServingGate`](crate::ServingGate) of the same event was published.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ActivationAction {
    /// Read the activation record once.
    ReadRecord,
    /// Fetch a version's data (from disk, if present), check it, build it beside the served one, store it,
    /// and report `Fetched` or `FetchFailed`.
    Fetch(Version),
    /// Store this state on disk and report `Persisted` with the same sequence number.
    Persist(u64, Box<PersistedState>),
    /// Apply these to the record as it stands
    /// ([`ActivationRecord::transition_all`](crate::ActivationRecord::transition_all)), write it
    /// conditionally, and read it again.
    Write(Vec<ActivationCommand>),
    /// Send this report to the whole fleet by datagram; late, lost or duplicated datagrams do no harm.
    Broadcast(ActivationCommand),
    /// Serve this decision's version from now on.
    Switch(ActivationDecision),
    /// Admit a request under this version binding.
    Admit(u64, VersionBinding),
    /// Hold the request; `Admit` or `Reject` follows within the limit.
    Hold(u64),
    /// Refuse the request, with the reason and the delay after which to retry.
    Reject(u64, Unavailable, Micros),
    /// Free a version's tables and its data on disk.
    Free(Version),
}
