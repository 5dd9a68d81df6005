//! How an amount is divided: max-min (Bertsekas and Gallager, "Data Networks", 6.5.2), in whole units.
//!
//! Nobody gets more than it wants; who wants more than the level gets the level, and what is left below one unit for
//! each goes to some of them by turns.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What each gets of a division: its want, or so much.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Level {
    /// Who wants more than this gets this.
    level: u64,
    /// And these `extra` more.
    first: Vec<u32>,
    extra: u64,
}

impl Level {
    /// What one gets that wants so much.
    pub fn share(&self, id: u32, want: u64) -> u64 {
        let more = if self.first.binary_search(&id).is_ok() { self.extra } else { 0 };
        want.min(self.level + more)
    }
}

/// Divides a pool among those who want of it. Where the level would be under `least`, as many as there is enough for get
/// `least` and the others nothing; who goes first changes with `turn`.
pub fn divide(pool: u64, least: u64, wants: &[(u32, u64)], turn: u64) -> Level {
    // Who wants nothing takes nobody's turn.
    let some = wants.iter().filter(|(_, want)| *want > 0);
    let mut sorted: Vec<(u64, u32)> = some.map(|(id, want)| (*want, *id)).collect();
    sorted.sort_unstable();
    let (mut left, mut level) = (pool, u64::MAX);
    let mut over: &[(u64, u32)] = &[];
    for (at, (want, _)) in sorted.iter().enumerate() {
        let each = left / (sorted.len() - at) as u64;
        if *want > each {
            (level, over) = (each, &sorted[at..]);
            left -= each * over.len() as u64;
            break;
        }
        left -= want;
    }
    if over.is_empty() {
        return Level { level, first: Vec::new(), extra: 0 };
    }
    let rank = |id: u32| (xxh3_64_with_seed(&id.to_le_bytes(), turn), id);
    let pick = |from: &[(u64, u32)], count: u64| {
        let mut ids: Vec<u32> = from.iter().map(|(_, id)| *id).collect();
        ids.sort_unstable_by_key(|id| rank(*id));
        ids.truncate(usize::try_from(count).unwrap_or(usize::MAX));
        ids.sort_unstable();
        ids
    };
    if level < least {
        // Small wants too stand in this line: what is too little for one is no more use to another.
        return Level { level: 0, first: pick(&sorted, pool / least), extra: least };
    }
    Level { level, first: pick(over, left), extra: 1 }
}
