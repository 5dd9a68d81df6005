//! Queries of fleet time: the current time, and whether and when an instant passes.

use std::sync::Arc;

use super::{
    combine_intervals, min_known_anchors, Anchor, AnchorDocument, ClockEvent, ClockUncertain, Clocks,
    FleetInstant, InstantStatus, Micros, TimeInterval, MAX_MICROS,
};

impl Clocks {
    /// Records readings of the own clock and of the wall clock (Unix time in microseconds), to be called at
    /// least once per [`super::ClockSettings::max_poll_gap`]. After a gap or a step of the wall clock each
    /// anchor has to answer once more before it counts: if the own clock stood still in the meantime, the
    /// answer reveals it.
    pub fn poll(&mut self, local: Micros, wall: i64) -> Option<ClockEvent> {
        let (before, wall_before) = self.last_poll.replace((local, wall))?;
        let elapsed = local.saturating_sub(before);
        if local < before {
            return Some(self.discard_own_clock());
        }
        let divergence = wall.saturating_sub(wall_before).saturating_sub(elapsed as i64);
        let event = if divergence.unsigned_abs() > self.settings.wall_step_threshold {
            ClockEvent::WallStepped(divergence)
        } else if elapsed > self.settings.max_poll_gap {
            ClockEvent::Slept(elapsed)
        } else {
            return None;
        };
        self.valid_after = local;
        Some(event)
    }

    /// Fleet time of the latest epoch, for the current reading of the own clock.
    ///
    /// # Errors
    /// Why it is not known well enough.
    pub fn now(&self, local: Micros) -> Result<TimeInterval, ClockUncertain> {
        self.fleet_time(self.documents.last().ok_or(ClockUncertain::NoAnchors)?, local)
    }

    /// The current epoch.
    pub fn epoch(&self) -> Option<u64> {
        self.documents.last().map(|document| document.epoch)
    }

    /// Offset of a peer's clock from the own clock; `None` if it is unknown or refused.
    pub fn offset(&self, name: &str, local: Micros) -> Option<TimeInterval> {
        let peer =
            self.peers.get(name).filter(|peer| !peer.refused && peer.last_query_sent >= self.valid_after)?;
        Some(peer.offset(local, &self.drift))
    }

    /// Fleet time according to one anchor.
    fn anchor_time(&self, anchor: &Anchor, local: Micros) -> Option<TimeInterval> {
        let (run, clock_offset) = if anchor.name != self.local_name {
            (self.peers.get(&anchor.name)?.run, self.offset(&anchor.name, local)?)
        } else if !self.own_clock_stepped {
            (self.settings.run, TimeInterval { earliest: 0, latest: 0 })
        } else {
            return None;
        };
        let at = local as i64 + anchor.offset;
        (run == anchor.run).then_some(TimeInterval {
            earliest: at + clock_offset.earliest,
            latest: at + clock_offset.latest,
        })
    }

    /// Fleet time by this document, with the width limit checked.
    fn fleet_time(&self, document: &AnchorDocument, local: Micros) -> Result<TimeInterval, ClockUncertain> {
        let local = local.min(MAX_MICROS as u64);
        let anchor_times: Vec<_> =
            document.anchors.iter().map(|anchor| self.anchor_time(anchor, local)).collect();
        let (known, required) =
            (anchor_times.iter().flatten().count(), min_known_anchors(anchor_times.len()));
        let interval =
            combine_intervals(&anchor_times).ok_or(ClockUncertain::TooFewAnchors { known, required })?;
        let (width, max_width) = (interval.width(), self.settings.max_width.min(MAX_MICROS as u64) as i64);
        if width > max_width {
            return Err(ClockUncertain::TooWide { width, max_width });
        }
        Ok(interval)
    }

    /// Fleet time by the document of the instant's epoch.
    fn fleet_time_of_epoch(
        &self,
        instant: FleetInstant,
        local: Micros,
    ) -> Result<TimeInterval, ClockUncertain> {
        let document = self.documents.iter().find(|document| document.epoch == instant.epoch);
        self.fleet_time(document.ok_or(ClockUncertain::UnknownEpoch(instant.epoch))?, local)
    }

    /// Whether an instant has passed; [`InstantStatus::Uncertain`] also if fleet time is not known.
    pub fn instant_status(&self, instant: FleetInstant, local: Micros) -> InstantStatus {
        match self.fleet_time_of_epoch(instant, local) {
            Ok(now) if now.earliest >= instant.micros => InstantStatus::Passed,
            Ok(now) if now.latest < instant.micros => InstantStatus::NotPassed,
            _ => InstantStatus::Uncertain,
        }
    }

    /// Earliest and latest time on the own clock at which an instant passes or passed, as known at `local`:
    /// later replies narrow the bounds and never contradict them.
    ///
    /// # Errors
    /// Why it is not known well enough.
    pub fn local_bounds(
        &self,
        instant: FleetInstant,
        local: Micros,
    ) -> Result<(Micros, Micros), ClockUncertain> {
        let now = self.fleet_time_of_epoch(instant, local)?;
        let instant = instant.micros.clamp(-MAX_MICROS, MAX_MICROS);
        let (until_earliest, until_latest) =
            (instant.saturating_sub(now.latest), instant.saturating_sub(now.earliest));
        let drift = &self.drift;
        let earliest = if until_earliest > 0 {
            drift.min_elapsed(until_earliest)
        } else {
            -drift.max_elapsed(-until_earliest) - 1
        };
        let latest = if until_latest > 0 {
            drift.max_elapsed(until_latest) + 1
        } else {
            -drift.min_elapsed(-until_latest) + 1
        };
        Ok((local.saturating_add_signed(earliest), local.saturating_add_signed(latest)))
    }

    /// Proposes a document in which the clocks of these nodes, which may include this one, all show `at` now,
    /// as exactly as this node knows them. It takes effect once it is written conditionally over the version
    /// of the last one.
    ///
    /// # Errors
    /// If one of the clocks is not known.
    pub fn propose_anchors(
        &self,
        epoch: u64,
        names: &[Arc<str>],
        at: i64,
        local: Micros,
    ) -> Result<AnchorDocument, ClockUncertain> {
        let (own_time, at) = (local.min(MAX_MICROS as u64) as i64, at.clamp(-MAX_MICROS / 4, MAX_MICROS / 4));
        let anchor = |name: &Arc<str>| {
            if *name == self.local_name {
                return Some(Anchor { name: name.clone(), run: self.settings.run, offset: at - own_time });
            }
            let (run, clock_offset) = (self.peers.get(name)?.run, self.offset(name, local)?);
            let offset = at - own_time - clock_offset.earliest - clock_offset.width() / 2;
            Some(Anchor { name: name.clone(), run, offset })
        };
        let anchors: Vec<Anchor> = names.iter().filter_map(anchor).collect();
        if anchors.len() < names.len() {
            return Err(ClockUncertain::TooFewAnchors { known: anchors.len(), required: names.len() });
        }
        Ok(AnchorDocument { epoch, anchors })
    }
}
