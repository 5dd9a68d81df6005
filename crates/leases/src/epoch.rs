//! The document at the coordination service: the roster of members, the grantors, and what safe shares may
//! add up to. It is written only conditionally on the version that was read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::resource::{ResourceId, PPB};
use crate::LeaseError;

/// Maximum members of the roster.
pub const MAX_MEMBERS: usize = 1_024;
/// Maximum grantors: each has to confirm its epoch, and each receives requests from every member.
pub const MAX_GRANTORS: usize = 64;
/// Maximum bytes of a member's name.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum sum of all safe shares, in parts of [`PPB`], also while some members use older ones.
pub const MAX_SAFE_PPB: u64 = PPB / 2;

/// Identifies a member; a number is never reused.
pub type MemberId = u32;

/// A member of the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RosterMember {
    /// The member's number.
    pub id: MemberId,
    /// Largest safe share that it may use: over all epochs since the last one that it was seen to use.
    #[serde(rename = "may_ppb")]
    pub max_safe_ppb: u64,
}

/// The epoch document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EpochDoc {
    epoch: u64,
    safe_ppb: u64,
    next_id: MemberId,
    roster: BTreeMap<String, RosterMember>,
    #[serde(rename = "seats")]
    grantors: BTreeMap<MemberId, u64>,
}

/// A change of the document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EpochChange {
    /// Adds a node to the roster, until it is removed.
    Join {
        /// The node's name.
        name: String,
    },
    /// Removes a node whose end is proven or vouched for by an operator. A node that still runs would use its
    /// safe share in addition to the others.
    #[serde(rename = "strike")]
    RemoveMember {
        /// The node's name.
        name: String,
    },
    /// Makes a member a grantor.
    #[serde(rename = "seat")]
    AddGrantor {
        /// The member's name.
        name: String,
        /// The run of its process: a larger number at each start.
        #[serde(rename = "life")]
        run: u64,
    },
    /// Ends a member's role as a grantor.
    #[serde(rename = "unseat")]
    RemoveGrantor {
        /// The member's name.
        name: String,
    },
    /// Sets the fraction for all safe shares.
    #[serde(rename = "share")]
    SetSafeShare {
        /// The fraction, in parts of [`PPB`].
        safe_ppb: u64,
    },
    /// Records that members use this epoch, since they sent requests under it. Makes no new epoch.
    #[serde(rename = "seen")]
    ConfirmMembers {
        /// The epoch that they use.
        epoch: u64,
        /// The members' numbers.
        ids: Vec<MemberId>,
    },
}

impl EpochDoc {
    /// A document with an empty roster and this fraction for safe shares.
    ///
    /// # Errors
    /// The fraction is more than [`MAX_SAFE_PPB`].
    pub fn new(safe_ppb: u64) -> Result<EpochDoc, LeaseError> {
        let doc =
            EpochDoc { epoch: 1, safe_ppb, next_id: 1, roster: BTreeMap::new(), grantors: BTreeMap::new() };
        if safe_ppb > MAX_SAFE_PPB {
            Err(LeaseError::SafeCapacityExceeded { total_ppb: safe_ppb })
        } else {
            Ok(doc)
        }
    }

    /// The epoch, which grows with each change of the roster, the grantors or the fraction for safe shares.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of members.
    pub fn member_count(&self) -> usize {
        self.roster.len()
    }

    /// The members by name.
    pub fn roster(&self) -> &BTreeMap<String, RosterMember> {
        &self.roster
    }

    /// The number of the member with this name.
    pub fn member_id(&self, name: &str) -> Option<MemberId> {
        self.roster.get(name).map(|member| member.id)
    }

    /// Whether a member has this number.
    pub fn has_member(&self, id: MemberId) -> bool {
        self.roster.values().any(|member| member.id == id)
    }

    /// The run of the member's process that grants; `None` where the member is no grantor.
    pub fn grantor_run(&self, id: MemberId) -> Option<u64> {
        self.grantors.get(&id).copied()
    }

    /// The safe share of each member, in parts of [`PPB`].
    pub fn safe_share_ppb(&self) -> u64 {
        self.safe_ppb / self.roster.len().max(1) as u64
    }

    /// Maximum sum of all safe shares, where the members for which `seen` holds are known to use this epoch.
    pub fn reserved_ppb(&self, seen: impl Fn(MemberId) -> bool) -> u64 {
        let each = self.safe_share_ppb();
        self.roster.values().map(|m| if seen(m.id) { each } else { m.max_safe_ppb.max(each) }).sum()
    }

    /// The grantor of a resource: the one with the highest rendezvous weight (Thaler and Ravishankar 1998),
    /// so that a grantor that is added or removed moves only its own resources.
    pub fn grantor(&self, resource: ResourceId) -> Option<MemberId> {
        let weight = |id: &MemberId| xxh3_64_with_seed(&id.to_le_bytes(), u64::from(resource));
        self.grantors.keys().copied().max_by_key(|id| (weight(id), *id))
    }

    /// Applies a change. Returns whether the document changed and has to be written, conditionally on the
    /// version read.
    ///
    /// # Errors
    /// The change is refused and the document stays as it was.
    pub fn apply(&mut self, change: EpochChange) -> Result<bool, LeaseError> {
        let mut next = self.clone();
        match change {
            EpochChange::Join { name } => next.join(name)?,
            EpochChange::RemoveMember { name } => {
                if let Some(removed) = next.roster.remove(&name) {
                    next.grantors.remove(&removed.id);
                }
            }
            EpochChange::AddGrantor { name, run } => {
                let id = next.member_id(&name).ok_or(LeaseError::UnknownMember(name))?;
                next.grantors.insert(id, run);
                if next.grantors.len() > MAX_GRANTORS {
                    return Err(LeaseError::TooMany {
                        what: "grantors",
                        count: next.grantors.len(),
                        max: MAX_GRANTORS,
                    });
                }
            }
            EpochChange::RemoveGrantor { name } => {
                let id = next.member_id(&name).ok_or(LeaseError::UnknownMember(name))?;
                next.grantors.remove(&id);
            }
            EpochChange::SetSafeShare { safe_ppb } => next.safe_ppb = safe_ppb,
            EpochChange::ConfirmMembers { epoch, ids } => return self.confirm_members(epoch, &ids),
        }
        if next == *self {
            return Ok(false);
        }
        // A member that reads the new document may use its safe share from then on, and the previous one
        // until then.
        let each = next.safe_share_ppb();
        next.roster.values_mut().for_each(|member| member.max_safe_ppb = member.max_safe_ppb.max(each));
        let total_ppb = next.reserved_ppb(|_| false);
        if total_ppb > MAX_SAFE_PPB {
            return Err(LeaseError::SafeCapacityExceeded { total_ppb });
        }
        next.epoch += 1;
        *self = next;
        Ok(true)
    }

    fn join(&mut self, name: String) -> Result<(), LeaseError> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(LeaseError::NameLength(name.len()));
        }
        if self.roster.contains_key(&name) {
            return Ok(());
        }
        if self.roster.len() >= MAX_MEMBERS {
            return Err(LeaseError::TooMany { what: "members", count: MAX_MEMBERS + 1, max: MAX_MEMBERS });
        }
        self.roster.insert(name, RosterMember { id: self.next_id, max_safe_ppb: 0 });
        self.next_id += 1;
        Ok(())
    }

    fn confirm_members(&mut self, epoch: u64, ids: &[MemberId]) -> Result<bool, LeaseError> {
        if epoch != self.epoch {
            return Err(LeaseError::StaleEpoch { epoch, current: self.epoch });
        }
        let each = self.safe_share_ppb();
        let late = |m: &&mut RosterMember| m.max_safe_ppb > each && ids.contains(&m.id);
        let lowered = self.roster.values_mut().filter(late).map(|member| member.max_safe_ppb = each).count();
        Ok(lowered > 0)
    }
}
