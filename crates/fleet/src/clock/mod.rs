//! Fleet time: an interval that is guaranteed to contain the true time of the fleet. No I/O: the caller
//! passes in times.
//!
//! ```text
//!   reply ──▶ samples: one clock, from all its replies ──┐   anchors: clocks agreed by document
//!   poll ───▶ pause or step: old replies do not count ───┤        │
//!                                                        ▼        ▼
//!                   agreement: the median of the correct anchors ─▶ now, instant_status, local_bounds
//! ```
//!
//! **Fleet time** of an epoch is the lower median of `clock + offset` over the correct anchors. A
//! document that all nodes read lists the anchors with their offsets. Fleet time is one function of true
//! time, is monotonic, and keeps the drift bound, because each clock that the median is taken of does.
//!
//! **Guarantees** for any two correct nodes: the intervals of [`Clocks::now`] at one instant both contain
//! fleet time at that instant, and those of [`Clocks::local_bounds`] both contain the real time of a fleet
//! instant. A node that begins at the latest bound therefore never begins before another that stops at the
//! earliest bound has stopped. The assumptions are:
//!
//! - The clock of every correct node keeps within [`ClockSettings::max_drift_ppm`] of true time, also during
//!   sleep.
//! - Of `k` anchors at most `(k - 1) / 3` are faulty: they report readings that their clock does not show,
//!   possibly different ones to each node, or their clock steps or leaves its rate. The number of other
//!   faulty nodes does not matter.
//!
//! Nothing else is assumed: no bound on delays, no symmetry of delays, no bound on losses, and no correct
//! wall clocks. Anchors that are down or refused only widen the interval.

mod agreement;
mod anchors;
mod interval;
mod query;
mod samples;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use agreement::{combine_intervals, max_faulty_anchors, min_known_anchors};
pub use anchors::{Anchor, AnchorDocument, AnchorsError, ClockUncertain, FleetInstant, InstantStatus};
pub use interval::{Micros, TimeInterval, MAX_MICROS};
pub use samples::Sample;

use interval::Drift;
use samples::PeerClock;

/// Maximum number of anchors: nine tolerate two faulty and three unreachable ones.
pub const MAX_ANCHORS: usize = 9;
/// Maximum number of clocks polled beside the anchors; further names are ignored.
pub const MAX_WATCHED_CLOCKS: usize = 16;
/// Maximum drift bound, in millionths.
pub const MAX_DRIFT_PPM: u32 = 100_000;
/// Number of documents retained: the current one, and the previous one for instants of its epoch.
const MAX_DOCUMENTS: usize = 2;

/// Settings of fleet time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSettings {
    /// Run of the node's own clock: changes when the clock restarts, but not when the process does.
    pub run: u64,
    /// Maximum deviation of a clock's rate from true time, in millionths; at most [`MAX_DRIFT_PPM`].
    pub max_drift_ppm: u32,
    /// Maximum width of the interval, in microseconds; a wider one is [`ClockUncertain::TooWide`].
    pub max_width: Micros,
    /// Interval of the queries to each anchor, in milliseconds.
    pub poll_interval: crate::Millis,
    /// Maximum time between two polls, in microseconds; after a longer one each clock has to answer again
    /// before it counts.
    pub max_poll_gap: Micros,
    /// Difference between the advances of the wall clock and of the own clock above which the wall clock has
    /// stepped, in microseconds.
    pub wall_step_threshold: Micros,
}

impl Default for ClockSettings {
    fn default() -> Self {
        ClockSettings {
            run: 0,
            max_drift_ppm: 500,
            max_width: 50_000,
            poll_interval: 1_000,
            max_poll_gap: 5_000_000,
            wall_step_threshold: 100_000,
        }
    }
}

/// An event that an operator should know of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ClockEvent {
    /// A reply contradicts earlier ones of the same run; the clock is ignored until its run changes.
    #[error("the clock of {0} stepped, is misreported or drifts beyond the bound, and is ignored; check its host's clock")]
    Refused(Arc<str>),
    /// Most peers contradict themselves at once, so the own clock is at fault. The caller gives it a new run.
    #[error("this node's clock stepped or stood still; check its host's clock, and whether a virtual machine was paused")]
    Stepped,
    /// No poll for this many microseconds.
    #[error("the clock was not read for {0} us: the process or the machine was paused; each clock is queried again")]
    Slept(Micros),
    /// The wall clock departed from the own clock by this many microseconds. Fleet time does not use it.
    #[error(
        "the wall clock stepped by {0} us; fleet time does not follow it, and each clock is queried again"
    )]
    WallStepped(i64),
}

/// One node's knowledge of fleet time.
#[derive(Clone, Debug)]
pub struct Clocks {
    local_name: Arc<str>,
    settings: ClockSettings,
    drift: Drift,
    peers: BTreeMap<Arc<str>, PeerClock>,
    watched_names: BTreeSet<Arc<str>>,
    /// The latest document comes last.
    documents: Vec<AnchorDocument>,
    /// Only peers whose last reply was requested at or after this time count.
    valid_after: Micros,
    last_poll: Option<(Micros, i64)>,
    /// The own clock cannot be relied on: see [`ClockEvent::Stepped`].
    own_clock_stepped: bool,
}

impl Clocks {
    /// Creates the state of a node that knows no anchors.
    pub fn new(local_name: Arc<str>, settings: ClockSettings) -> Clocks {
        Clocks {
            local_name,
            settings,
            drift: Drift::new(settings.max_drift_ppm),
            peers: BTreeMap::new(),
            watched_names: BTreeSet::new(),
            documents: Vec::new(),
            valid_after: 0,
            last_poll: None,
            own_clock_stepped: false,
        }
    }

    /// Settings of fleet time.
    pub fn settings(&self) -> &ClockSettings {
        &self.settings
    }

    /// Gives the own clock a new run. Everything measured by the old one is discarded.
    pub fn start_new_run(&mut self, run: u64) {
        (self.settings.run, self.last_poll, self.valid_after, self.own_clock_stepped) = (run, None, 0, false);
        self.peers.clear();
    }

    /// Polls these clocks beside the anchors, to propose them as anchors later.
    pub fn watch(&mut self, names: impl IntoIterator<Item = Arc<str>>) {
        let others = names.into_iter().filter(|name| *name != self.local_name);
        self.watched_names = others.take(MAX_WATCHED_CLOCKS).collect();
        self.prune_peers();
    }

    /// Sets the agreed anchor document.
    ///
    /// # Errors
    /// Why it is rejected; the current document stays in force.
    pub fn set_anchors(&mut self, document: AnchorDocument) -> Result<(), AnchorsError> {
        document.validate()?;
        if let Some(last) = self.documents.last().filter(|last| last.epoch >= document.epoch) {
            let same = *last == document;
            return if same { Ok(()) } else { Err(AnchorsError::StaleEpoch(document.epoch, last.epoch)) };
        }
        self.documents.push(document);
        self.documents.drain(..self.documents.len().saturating_sub(MAX_DOCUMENTS));
        self.prune_peers();
        Ok(())
    }

    /// Names of the nodes to poll.
    pub fn polled_names(&self) -> BTreeSet<Arc<str>> {
        let anchors = self.documents.iter().flat_map(|document| &document.anchors).map(|a| a.name.clone());
        anchors.chain(self.watched_names.iter().cloned()).filter(|name| *name != self.local_name).collect()
    }

    /// Discards everything measured by the own clock, and the node's own anchor reading with it.
    fn discard_own_clock(&mut self) -> ClockEvent {
        self.peers.clear();
        self.own_clock_stepped = true;
        ClockEvent::Stepped
    }

    /// Drops peers that are no longer polled.
    fn prune_peers(&mut self) {
        let polled = self.polled_names();
        self.peers.retain(|name, _| polled.contains(name));
    }

    /// Records a reply of this run of a peer's clock. Replies of nodes that are not polled are ignored.
    pub fn on_sample(&mut self, from: &str, run: u64, sample: Sample) -> Option<ClockEvent> {
        let from =
            self.polled_names().into_iter().find(|name| **name == *from).filter(|_| sample.is_valid())?;
        let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.run == run) else {
            self.peers.insert(from, PeerClock::new(run, &sample));
            return None;
        };
        if peer.accept(&sample, &self.drift) || std::mem::replace(&mut peer.refused, true) {
            return None;
        }
        // Either the peer or the own clock is at fault: each other peer has to answer again before it counts.
        self.valid_after = self.valid_after.max(sample.received);
        let refused = self.peers.values().filter(|peer| peer.refused).count();
        if refused * 2 > self.peers.len() && refused > 1 {
            return Some(self.discard_own_clock());
        }
        Some(ClockEvent::Refused(from))
    }
}
