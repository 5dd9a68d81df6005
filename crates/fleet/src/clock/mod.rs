//! What time it is in the fleet, as an interval that surely holds the truth. Pure: times come in.
//!
//! ```text
//!   answer ─▶ samples: one clock, by all its answers ─┐   anchors: whose clocks, agreed by document
//!   poll ───▶ a sleep, a step: old answers wait ──────┤        │
//!                                                     ▼        ▼
//!                                          agree: the median of those that are right ─▶ now, passed, when
//! ```
//!
//! **Fleet time** of an epoch is the lower median of `clock + offset` over the anchors that are right, named with their
//! offsets in a document that all read alike. It is one function of true time, goes only on, and keeps the drift bound, for
//! each of what it is the median of does.
//!
//! **What is sure**, at any two nodes that are right: the intervals of [`Clocks::now`] at one instant both hold fleet time
//! then, and those of [`Clocks::when`] both hold the one instant of a moment. So who stops at the earliest and begins at the
//! latest never begins before another has stopped. Assumed is:
//!
//! - the clock of every right node keeps within [`Settings::drift_ppm`] of true time, also while it sleeps;
//! - of `k` anchors at most `(k - 1) / 3` are wrong: they tell what their clock does not show, even to each another time, or
//!   their clock steps or leaves its rate. How many other nodes lie does not matter.
//!
//! Nothing else: no bound on delays, no symmetry, nothing on losses or on wall clocks. Who is dead or refused costs width only.

mod agree;
mod anchors;
mod interval;
mod samples;
mod time;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use agree::{agree, liars, needed};
pub use anchors::{Anchor, Anchors, BadAnchors, Moment, Passed, Unsure};
pub use interval::{Interval, Micros, FARTHEST};
pub use samples::Sample;

use interval::Drift;
use samples::Peer;

/// Anchors, at most: nine bear two that are wrong and three that are not heard.
pub const MOST_ANCHORS: usize = 9;
/// Clocks that are asked beside the anchors, at most; further ones are not.
pub const MOST_WATCHED: usize = 16;
/// The highest bound on drift, in millionths.
pub const MOST_DRIFT: u32 = 100_000;
/// Documents that are kept: the one that holds, and the one before for moments that were named by it.
const KEPT: usize = 2;

/// How time is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Which run of its clock this is: another after each restart of the clock, the same after one of the process.
    pub run: u64,
    /// How far a clock may be from true time, in millionths; at most [`MOST_DRIFT`].
    pub drift_ppm: u32,
    /// A wider interval is [`Unsure::TooWide`]; in microseconds.
    pub widest: Micros,
    /// Each anchor is asked once in this; in milliseconds.
    pub every: crate::Millis,
    /// Between two polls; after a longer time each clock has to answer again before it counts. In microseconds.
    pub gap: Micros,
    /// A wall clock that went on by so much more or less than the own clock has stepped; in microseconds.
    pub step: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { run: 0, drift_ppm: 500, widest: 50_000, every: 1_000, gap: 5_000_000, step: 100_000 }
    }
}

/// Something that an operator should know.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Event {
    /// An answer left nothing in common with earlier ones of its run: not counted until it is of another run.
    #[error("the clock of {0} steps, lies or drifts beyond the bound, and counts no more: look at its host's clock")]
    Refused(Arc<str>),
    /// Most others contradict themselves at once: it is the own clock. The driver gives it a new run.
    #[error("this node's clock has stepped or stood still: look at its host's clock, and for a virtual machine that was paused")]
    Stepped,
    /// No poll for so long, in microseconds.
    #[error("no look at the clock for {0} us: the process or the machine slept; each clock is asked again")]
    Slept(Micros),
    /// The wall clock parted from the own one, in microseconds. Fleet time is not made of it.
    #[error("the wall clock stepped by {0} us; fleet time does not follow it, each clock is asked again")]
    WallStepped(i64),
}

/// What one node knows of the fleet's time.
#[derive(Clone, Debug)]
pub struct Clocks {
    me: Arc<str>,
    settings: Settings,
    drift: Drift,
    peers: BTreeMap<Arc<str>, Peer>,
    watched: BTreeSet<Arc<str>>,
    /// The latest last.
    documents: Vec<Anchors>,
    /// Answers that were asked for before count no more by themselves.
    fresh: Micros,
    polled: Option<(Micros, i64)>,
    /// The own clock is none to count on: see [`Event::Stepped`].
    stepped: bool,
}

impl Clocks {
    /// Of this node. Nothing is known yet.
    pub fn new(me: Arc<str>, settings: Settings) -> Clocks {
        Clocks {
            me,
            settings,
            drift: Drift::new(settings.drift_ppm),
            peers: BTreeMap::new(),
            watched: BTreeSet::new(),
            documents: Vec::new(),
            fresh: 0,
            polled: None,
            stepped: false,
        }
    }

    /// How time is kept.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The own clock is another from now on. Nothing that was known by the old one holds.
    pub fn rerun(&mut self, run: u64) {
        (self.settings.run, self.polled, self.fresh, self.stepped) = (run, None, 0, false);
        self.peers.clear();
    }

    /// Asks these too, to lay anchors with them.
    pub fn watch(&mut self, names: impl IntoIterator<Item = Arc<str>>) {
        let others = names.into_iter().filter(|name| *name != self.me);
        self.watched = others.take(MOST_WATCHED).collect();
        self.tidy();
    }

    /// Takes the document that was agreed on.
    ///
    /// # Errors
    /// What is wrong with it; the one that holds stays.
    pub fn anchors(&mut self, document: Anchors) -> Result<(), BadAnchors> {
        document.check()?;
        if let Some(last) = self.documents.last().filter(|last| last.epoch >= document.epoch) {
            let same = *last == document;
            return if same { Ok(()) } else { Err(BadAnchors::Epoch(document.epoch, last.epoch)) };
        }
        self.documents.push(document);
        self.documents.drain(..self.documents.len().saturating_sub(KEPT));
        self.tidy();
        Ok(())
    }

    /// Whom to ask.
    pub fn asked(&self) -> BTreeSet<Arc<str>> {
        let anchors = self.documents.iter().flat_map(|document| &document.anchors).map(|a| a.name.clone());
        anchors.chain(self.watched.iter().cloned()).filter(|name| *name != self.me).collect()
    }

    /// Nothing that was known by the own clock holds, nor does what it is an anchor of.
    fn stumble(&mut self) -> Event {
        self.peers.clear();
        self.stepped = true;
        Event::Stepped
    }

    fn tidy(&mut self) {
        let asked = self.asked();
        self.peers.retain(|name, _| asked.contains(name));
    }

    /// An answer came, of this run of the other's clock. Only of those who are asked.
    pub fn on_sample(&mut self, from: &str, run: u64, sample: Sample) -> Option<Event> {
        let from = self.asked().into_iter().find(|name| **name == *from).filter(|_| sample.sane())?;
        let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.run == run) else {
            self.peers.insert(from, Peer::new(run, &sample));
            return None;
        };
        if peer.take(&sample, &self.drift) || std::mem::replace(&mut peer.refused, true) {
            return None;
        }
        // It or we: each of the others has to answer again before it counts.
        self.fresh = self.fresh.max(sample.received);
        let refused = self.peers.values().filter(|peer| peer.refused).count();
        if refused * 2 > self.peers.len() && refused > 1 {
            return Some(self.stumble());
        }
        Some(Event::Refused(from))
    }
}
