//! A version as this package sees it: a number, a digest, and the digest of each of its parts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Newest format of a version's data, and of the [`ActivationRecord`](crate::ActivationRecord), that this
/// program reads.
pub const FORMAT: u32 = 1;
/// Maximum number of bytes of a name, a digest or a reason.
pub const MAX_TEXT_BYTES: usize = 256;
/// Maximum number of parts of a version.
pub const MAX_PARTS: usize = 65_536;

/// Identifies one complete set of routes: tenants' matches, classes, pools, servers, keys and limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Increases with each version that is decided; a rollback is a new number over old data.
    pub number: u64,
    /// Digest of the data as its author computed it; what a node builds must have the same.
    pub digest: String,
    /// Format that a program must read to build it.
    pub format: u32,
}

/// Policy for a tenant's requests while a node cannot know by which version the other nodes serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InDoubtPolicy {
    /// Requests are refused while the node is isolated, and no response by the old version follows one by the
    /// new.
    #[default]
    Refuse,
    /// Requests continue by the old version: none is refused, but while the node is isolated it may serve by
    /// the old version what other nodes already serve by the new one.
    Old,
}

/// One tenant's part of a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantPart {
    /// Digest of everything that determines how its requests are treated.
    pub digest: String,
    /// Policy while the node is in doubt, from the tenant's document.
    #[serde(default)]
    pub doubt: InDoubtPolicy,
}

/// All parts of a version, by tenant name.
pub type TenantParts = BTreeMap<String, TenantPart>;

/// The part that owns a request by each of two versions; `None` if no part does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestOwners {
    /// Owner by the version that is served.
    pub old: Option<String>,
    /// Owner by the version that is prepared. A request whose host moves from one tenant to another has two
    /// owners.
    pub new: Option<String>,
}

/// Whether both versions treat a request in the same way: the same part owns it, with the same digest.
pub fn treats_alike(old: &TenantParts, new: &TenantParts, owners: &RequestOwners) -> bool {
    match (&owners.old, &owners.new) {
        (Some(a), Some(b)) if a == b => {
            let digests = (old.get(a).map(|part| &part.digest), new.get(b).map(|part| &part.digest));
            digests.0.is_some() && digests.0 == digests.1
        }
        (None, None) => true,
        _ => false,
    }
}

/// Policy for a request while in doubt: the stricter of the policies of the versions known here.
pub fn in_doubt_policy(
    old: &TenantParts,
    new: Option<&TenantParts>,
    owners: &RequestOwners,
) -> InDoubtPolicy {
    let policy_of = |parts: &TenantParts, name: &Option<String>| {
        name.as_ref().and_then(|name| parts.get(name)).map_or(InDoubtPolicy::Refuse, |part| part.doubt)
    };
    match new {
        Some(new) => policy_of(old, &owners.old).min(policy_of(new, &owners.new)),
        None => policy_of(old, &owners.old),
    }
}
