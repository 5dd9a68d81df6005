//! Combines the intervals of several anchors, some of which may be faulty, into one interval for fleet time.
//!
//! Fleet time is the lower median of the correct anchors. Of `k` anchors at most `f = (k - 1) / 3` are
//! faulty, and it is not known which. Leave out any `f`: the lower median of the rest is no lower than with
//! the `f` highest left out and no higher than with the `f` lowest left out. It therefore lies between the
//! `(k - f + 1) / 2`-th lower end, counted from below, and the `(k - f) / 2 + 1`-th upper end, counted from
//! above. Both ends are reached by some choice, so no narrower interval is certain. An unknown anchor has an
//! interval from minus to plus infinity.
//!
//! Since `(k - f + 1) / 2 > f`, the readings of `f` faulty anchors never move an end beyond those of the
//! correct ones (Welch and Lynch 1988 discard `f` at either side for the same reason). Marzullo's
//! intersection (1983) is narrower, but certain only where all correct clocks have a point in common, which
//! clocks that drifted apart since the anchors were set do not have.

use super::interval::TimeInterval;

/// Maximum number of faulty anchors among this many.
pub fn max_faulty_anchors(anchors: usize) -> usize {
    anchors.saturating_sub(1) / 3
}

/// Minimum number of known anchors among this many.
pub fn min_known_anchors(anchors: usize) -> usize {
    anchors + 1 - lower_rank(anchors).max(1)
}

/// Rank of the lower end, counted from one.
fn lower_rank(anchors: usize) -> usize {
    (anchors - max_faulty_anchors(anchors)).div_ceil(2)
}

/// Combines the intervals of the anchors; `None` if too few are known, since an end would then be infinite.
pub fn combine_intervals(anchors: &[Option<TimeInterval>]) -> Option<TimeInterval> {
    let total = anchors.len();
    let mut earliest: Vec<i64> = anchors.iter().flatten().map(|one| one.earliest).collect();
    let mut latest: Vec<i64> = anchors.iter().flatten().map(|one| one.latest).collect();
    if total == 0 || earliest.len() < min_known_anchors(total) {
        return None;
    }
    earliest.sort_unstable();
    latest.sort_unstable_by_key(|end| std::cmp::Reverse(*end));
    let unknown = total - earliest.len();
    // Ranks count from one and after the unknown anchors, whose ends lie beyond all others at either side.
    let upper_rank = (total - max_faulty_anchors(total)) / 2 + 1;
    Some(TimeInterval {
        earliest: earliest[lower_rank(total) - unknown - 1],
        latest: latest[upper_rank - unknown - 1],
    })
}
