//! The document at the coordination service: who belongs (the roster), who grants (the seats), what safe parts may come
//! to. Changed only over the very version that was read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::whole::{WholeId, PPB};
use crate::Refusal;

/// Members of the roster, at most.
pub const MOST_MEMBERS: usize = 1_024;
/// Members that grant, at most: each has to confirm its epoch, and each is asked by each.
pub const MOST_SEATS: usize = 64;
/// Bytes of a member's name, at most.
pub const LONGEST_NAME: usize = 128;
/// What all safe parts together may come to, at most, also while members go by old ones.
pub const MOST_SAFE_PPB: u64 = PPB / 2;

/// A member's number: never given twice.
pub type MemberId = u32;

/// One of the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its number.
    pub id: MemberId,
    /// The largest safe part that it may go by: of all epochs since the last that it was seen to go by.
    pub may_ppb: u64,
}

/// The document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EpochDoc {
    epoch: u64,
    safe_ppb: u64,
    next_id: MemberId,
    roster: BTreeMap<String, Member>,
    seats: BTreeMap<MemberId, u64>,
}

/// What is changed in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A node belongs, for as long as it is not struck off.
    Join {
        /// Its name.
        name: String,
    },
    /// A node does not belong any more: its end is proven, or an operator answers for it. One that lives on goes by its
    /// safe part beside the others.
    Strike {
        /// Its name.
        name: String,
    },
    /// A member grants.
    Seat {
        /// Its name.
        name: String,
        /// The number of its process: another one each time that it starts.
        life: u64,
    },
    /// It does not grant any more.
    Unseat {
        /// Its name.
        name: String,
    },
    /// What all safe parts come to.
    Share {
        /// In parts of [`PPB`].
        safe_ppb: u64,
    },
    /// Members go by this epoch: they asked under it. No new epoch.
    Seen {
        /// Which.
        epoch: u64,
        /// Their numbers.
        ids: Vec<MemberId>,
    },
}

impl EpochDoc {
    /// An empty roster whose safe parts come to so much.
    ///
    /// # Errors
    /// It is more than [`MOST_SAFE_PPB`].
    pub fn new(safe_ppb: u64) -> Result<EpochDoc, Refusal> {
        let doc =
            EpochDoc { epoch: 1, safe_ppb, next_id: 1, roster: BTreeMap::new(), seats: BTreeMap::new() };
        if safe_ppb > MOST_SAFE_PPB {
            Err(Refusal::Safe { would: safe_ppb })
        } else {
            Ok(doc)
        }
    }

    /// The epoch: it grows with each change of roster, seats or share.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// How many belong.
    pub fn members(&self) -> usize {
        self.roster.len()
    }

    /// The roster.
    pub fn roster(&self) -> &BTreeMap<String, Member> {
        &self.roster
    }

    /// The number of a member.
    pub fn id(&self, name: &str) -> Option<MemberId> {
        self.roster.get(name).map(|member| member.id)
    }

    /// Whether a number is a member's.
    pub fn has(&self, id: MemberId) -> bool {
        self.roster.values().any(|member| member.id == id)
    }

    /// The process that grants under a member's number.
    pub fn seat(&self, id: MemberId) -> Option<u64> {
        self.seats.get(&id).copied()
    }

    /// The safe part of each member, in parts of [`PPB`].
    pub fn each_ppb(&self) -> u64 {
        self.safe_ppb / self.roster.len().max(1) as u64
    }

    /// What all safe parts may come to, where these members are known to go by this epoch.
    pub fn reserve_ppb(&self, seen: impl Fn(MemberId) -> bool) -> u64 {
        let each = self.each_ppb();
        self.roster.values().map(|m| if seen(m.id) { each } else { m.may_ppb.max(each) }).sum()
    }

    /// Who grants of a whole: the seat of the highest weight (rendezvous, Thaler and Ravishankar 1998), so that a seat
    /// that comes or goes moves its own wholes alone.
    pub fn grantor(&self, whole: WholeId) -> Option<MemberId> {
        let weight = |id: &MemberId| xxh3_64_with_seed(&id.to_le_bytes(), u64::from(whole));
        self.seats.keys().copied().max_by_key(|id| (weight(id), *id))
    }

    /// Makes a change; `true` where the document is another one now and has to be written, over the version read.
    ///
    /// # Errors
    /// Why it is not made; the document is as it was.
    pub fn take(&mut self, change: Change) -> Result<bool, Refusal> {
        let mut next = self.clone();
        match change {
            Change::Join { name } => next.join(name)?,
            Change::Strike { name } => {
                if let Some(gone) = next.roster.remove(&name) {
                    next.seats.remove(&gone.id);
                }
            }
            Change::Seat { name, life } => {
                let id = next.id(&name).ok_or(Refusal::Stranger(name))?;
                next.seats.insert(id, life);
                if next.seats.len() > MOST_SEATS {
                    return Err(Refusal::TooMany {
                        what: "seats",
                        there: next.seats.len(),
                        most: MOST_SEATS,
                    });
                }
            }
            Change::Unseat { name } => {
                let id = next.id(&name).ok_or(Refusal::Stranger(name))?;
                next.seats.remove(&id);
            }
            Change::Share { safe_ppb } => next.safe_ppb = safe_ppb,
            Change::Seen { epoch, ids } => return self.seen(epoch, &ids),
        }
        if next == *self {
            return Ok(false);
        }
        // Whoever reads it may go by its part from then on, and by the old one until then.
        let each = next.each_ppb();
        next.roster.values_mut().for_each(|member| member.may_ppb = member.may_ppb.max(each));
        let would = next.reserve_ppb(|_| false);
        if would > MOST_SAFE_PPB {
            return Err(Refusal::Safe { would });
        }
        next.epoch += 1;
        *self = next;
        Ok(true)
    }

    fn join(&mut self, name: String) -> Result<(), Refusal> {
        if name.is_empty() || name.len() > LONGEST_NAME {
            return Err(Refusal::Name(name.len()));
        }
        if self.roster.contains_key(&name) {
            return Ok(());
        }
        if self.roster.len() >= MOST_MEMBERS {
            return Err(Refusal::TooMany { what: "members", there: MOST_MEMBERS + 1, most: MOST_MEMBERS });
        }
        self.roster.insert(name, Member { id: self.next_id, may_ppb: 0 });
        self.next_id += 1;
        Ok(())
    }

    fn seen(&mut self, epoch: u64, ids: &[MemberId]) -> Result<bool, Refusal> {
        if epoch != self.epoch {
            return Err(Refusal::Epoch { epoch, current: self.epoch });
        }
        let each = self.each_ppb();
        let late = |m: &&mut Member| m.may_ppb > each && ids.contains(&m.id);
        let told = self.roster.values_mut().filter(late).map(|member| member.may_ppb = each).count();
        Ok(told > 0)
    }
}
