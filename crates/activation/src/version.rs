//! What a version is to this package: a number, a digest, and what each of its parts is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The newest format of a version's whole that this program reads, and of the [`Board`](crate::Board).
pub const FORMAT: u32 = 1;
/// Bytes of a name, a digest or a reason, at most.
pub const LONGEST_TEXT: usize = 256;
/// Parts of a version, at most.
pub const MOST_PARTS: usize = 65_536;

/// One whole: tenants' matches, classes, pools, servers, keys, limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Grows with each version that is decided; a way back is a new number over an old whole.
    pub number: u64,
    /// Of the whole, as its author has it: what a node built must have the same.
    pub digest: String,
    /// What a program must read to build it.
    pub format: u32,
}

/// What goes on where a node can't know by which version the others answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// Nothing: requests are refused for as long as the node is cut off, and no old answer follows a new one.
    #[default]
    Refuse,
    /// The old version: nothing is refused, and for as long as the node is cut off it may answer by the old version
    /// what others answer by the new one.
    Old,
}

/// A tenant's part of a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// Of all that decides how its requests are treated.
    pub digest: String,
    /// As its document says.
    #[serde(default)]
    pub doubt: Doubt,
}

/// All parts of a version, by name.
pub type Parts = BTreeMap<String, Part>;

/// The part to which a request belongs by each of two versions; `None` where it belongs to nobody.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Belongs {
    /// By the version that is served.
    pub old: Option<String>,
    /// By the one that is built aside. A request whose host moves from one tenant to another has two owners.
    pub new: Option<String>,
}

/// Whether both versions treat a request alike: it belongs to the same part, whose digest is the same.
pub fn alike(old: &Parts, new: &Parts, belongs: &Belongs) -> bool {
    match (&belongs.old, &belongs.new) {
        (Some(a), Some(b)) if a == b => {
            let digests = (old.get(a).map(|part| &part.digest), new.get(b).map(|part| &part.digest));
            digests.0.is_some() && digests.0 == digests.1
        }
        (None, None) => true,
        _ => false,
    }
}

/// What holds in doubt for a request: the stricter of what the versions say that are known here.
pub fn in_doubt(old: &Parts, new: Option<&Parts>, belongs: &Belongs) -> Doubt {
    let says = |parts: &Parts, name: &Option<String>| {
        name.as_ref().and_then(|name| parts.get(name)).map_or(Doubt::Refuse, |part| part.doubt)
    };
    match new {
        Some(new) => says(old, &belongs.old).min(says(new, &belongs.new)),
        None => says(old, &belongs.old),
    }
}
