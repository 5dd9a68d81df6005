//! What servers of a kind can do, where the list tells no sizes. A node of hundreds sees few answers of a
//! server and many of its kind.

use super::*;

/// Kinds that are told apart; servers of any further one count as the first.
const MOST_KINDS: usize = 16;
/// What one answer moves a kind's pull by its slowness, and the most that a sweep's answers do.
const PULL: f64 = 0.1;
const PULL_MOST: f64 = 0.1;
/// The least pull, as a part of the largest.
const LEAST_PULL: f64 = 0.03;

/// A kind of servers.
pub(super) struct Kind {
    id: KindId,
    /// Part of their slots that its servers carry.
    pub(super) pull: f64,
    /// Answers since the last sweep, and how much slower than usual they were, added up.
    news: (f64, f64),
}

impl Balancer {
    /// The place of a kind.
    pub(super) fn kind(&mut self, id: KindId) -> usize {
        let known = self.kinds.iter().position(|kind| kind.id == id);
        if known.is_none() && self.kinds.len() < MOST_KINDS {
            self.kinds.push(Kind { id, pull: 1.0, news: (0.0, 0.0) });
            return self.kinds.len() - 1;
        }
        known.unwrap_or(0)
    }

    /// Counts an answer, `ratio` times as slow as its class's norm.
    pub(super) fn observe_kind(&mut self, kind: usize, ratio: f64) {
        self.mood.ratio += 0.02 * (ratio - self.mood.ratio);
        let news = &mut self.kinds[kind].news;
        *news = (news.0 + 1.0, news.1 + (ratio / self.mood.ratio - 1.0).min(2.0));
    }

    /// Servers of a kind that answers slower than the others get less, until all answer alike.
    pub(super) fn weigh_kinds(&mut self) {
        for kind in &mut self.kinds {
            let (answers, slower) = std::mem::take(&mut kind.news);
            kind.pull *= (-PULL.min(PULL_MOST / answers.max(1.0)) * slower).exp();
        }
        let most = self.kinds.iter().map(|kind| kind.pull).fold(0.0, f64::max);
        self.kinds.iter_mut().for_each(|kind| kind.pull = (kind.pull / most).max(LEAST_PULL));
    }
}
