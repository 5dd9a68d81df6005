//! Divides an amount among holders by max-min fairness (Bertsekas and Gallager, "Data Networks", 6.5.2), in
//! whole units.
//!
//! No holder gets more than it wants; a holder that wants more than the level gets the level. Units that are
//! left over, fewer than one for each such holder, go to some of them in rotation.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The result of a division, from which each holder's share is computed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Division {
    /// Holders that want more than this get this much.
    level: u64,
    /// Holders that get `extra` units more.
    favoured: Vec<u32>,
    extra: u64,
}

impl Division {
    /// The share of a holder that wants this many units.
    pub fn share(&self, id: u32, wanted: u64) -> u64 {
        let more = if self.favoured.binary_search(&id).is_ok() { self.extra } else { 0 };
        wanted.min(self.level + more)
    }
}

/// Divides a pool among the holders' requests, given as number and wanted units. Where the level is under
/// `min_share`, as many holders as the pool suffices for get `min_share` and the others nothing; `rotation`
/// determines who comes first.
pub fn divide(pool: u64, min_share: u64, requests: &[(u32, u64)], rotation: u64) -> Division {
    // Holders that want nothing do not take part in the rotation.
    let wanting = requests.iter().filter(|(_, wanted)| *wanted > 0);
    let mut sorted: Vec<(u64, u32)> = wanting.map(|(id, wanted)| (*wanted, *id)).collect();
    sorted.sort_unstable();
    let (mut remaining, mut level) = (pool, u64::MAX);
    let mut over: &[(u64, u32)] = &[];
    for (at, (wanted, _)) in sorted.iter().enumerate() {
        let each = remaining / (sorted.len() - at) as u64;
        if *wanted > each {
            (level, over) = (each, &sorted[at..]);
            remaining -= each * over.len() as u64;
            break;
        }
        remaining -= wanted;
    }
    if over.is_empty() {
        return Division { level, favoured: Vec::new(), extra: 0 };
    }
    let rank = |id: u32| (xxh3_64_with_seed(&id.to_le_bytes(), rotation), id);
    let pick = |from: &[(u64, u32)], count: u64| {
        let mut ids: Vec<u32> = from.iter().map(|(_, id)| *id).collect();
        ids.sort_unstable_by_key(|id| rank(*id));
        ids.truncate(usize::try_from(count).unwrap_or(usize::MAX));
        ids.sort_unstable();
        ids
    };
    if level < min_share {
        // Small requests take part in the rotation too: a share that is too small for one holder is of no
        // more use to another.
        return Division { level: 0, favoured: pick(&sorted, pool / min_share), extra: min_share };
    }
    Division { level, favoured: pick(over, remaining), extra: 1 }
}
