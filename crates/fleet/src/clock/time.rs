//! Fleet time: now, and when a moment is.

use std::sync::Arc;

use super::{
    agree, needed, Anchor, Anchors, Clocks, Event, Interval, Micros, Moment, Passed, Unsure, FARTHEST,
};

impl Clocks {
    /// A look at the own clock and at the wall clock (Unix time in microseconds), at least once in [`super::Settings::gap`].
    /// After a gap or a step of the wall clock each anchor has to answer once more before it counts: where the own clock
    /// stood still meanwhile, the answer shows it.
    pub fn poll(&mut self, local: Micros, wall: i64) -> Option<Event> {
        let (before, wall_before) = self.polled.replace((local, wall))?;
        let passed = local.saturating_sub(before);
        if local < before {
            return Some(self.stumble());
        }
        let parted = wall.saturating_sub(wall_before).saturating_sub(passed as i64);
        let event = if parted.unsigned_abs() > self.settings.step {
            Event::WallStepped(parted)
        } else if passed > self.settings.gap {
            Event::Slept(passed)
        } else {
            return None;
        };
        self.fresh = local;
        Some(event)
    }

    /// Fleet time of the latest epoch, at a time on the own clock that is now.
    ///
    /// # Errors
    /// Why it is not known well enough.
    pub fn now(&self, local: Micros) -> Result<Interval, Unsure> {
        self.at(self.documents.last().ok_or(Unsure::NoAnchors)?, local)
    }

    /// The epoch that holds.
    pub fn epoch(&self) -> Option<u64> {
        self.documents.last().map(|document| document.epoch)
    }

    /// Another's clock less the own one; `None` where it is not known or refused.
    pub fn offset(&self, name: &str, local: Micros) -> Option<Interval> {
        let peer = self.peers.get(name).filter(|peer| !peer.refused && peer.asked >= self.fresh)?;
        Some(peer.offset(local, &self.drift))
    }

    /// What an anchor says that fleet time is.
    fn line(&self, anchor: &Anchor, local: Micros) -> Option<Interval> {
        let (run, less) = if anchor.name != self.me {
            (self.peers.get(&anchor.name)?.run, self.offset(&anchor.name, local)?)
        } else if !self.stepped {
            (self.settings.run, Interval { earliest: 0, latest: 0 })
        } else {
            return None;
        };
        let at = local as i64 + anchor.offset;
        (run == anchor.run).then_some(Interval { earliest: at + less.earliest, latest: at + less.latest })
    }

    fn at(&self, document: &Anchors, local: Micros) -> Result<Interval, Unsure> {
        let local = local.min(FARTHEST as u64);
        let lines: Vec<_> = document.anchors.iter().map(|anchor| self.line(anchor, local)).collect();
        let (heard, needed) = (lines.iter().flatten().count(), needed(lines.len()));
        let interval = agree(&lines).ok_or(Unsure::Unheard { heard, needed })?;
        let (width, widest) = (interval.width(), self.settings.widest.min(FARTHEST as u64) as i64);
        if width > widest {
            return Err(Unsure::TooWide { width, widest });
        }
        Ok(interval)
    }

    fn of(&self, moment: Moment, local: Micros) -> Result<Interval, Unsure> {
        let document = self.documents.iter().find(|document| document.epoch == moment.epoch);
        self.at(document.ok_or(Unsure::Epoch(moment.epoch))?, local)
    }

    /// Whether a moment is past; `Maybe` too where fleet time is not known.
    pub fn passed(&self, moment: Moment, local: Micros) -> Passed {
        match self.of(moment, local) {
            Ok(now) if now.earliest >= moment.at => Passed::Surely,
            Ok(now) if now.latest < moment.at => Passed::SurelyNot,
            _ => Passed::Maybe,
        }
    }

    /// Between which times on the own clock a moment is, or was, as it is known at `local`: later answers make it narrower
    /// and never leave it.
    ///
    /// # Errors
    /// Why it is not known well enough.
    pub fn when(&self, moment: Moment, local: Micros) -> Result<(Micros, Micros), Unsure> {
        let now = self.of(moment, local)?;
        let moment = moment.at.clamp(-FARTHEST, FARTHEST);
        let (soon, late) = (moment.saturating_sub(now.latest), moment.saturating_sub(now.earliest));
        let drift = &self.drift;
        let earliest = if soon > 0 { drift.shortest(soon) } else { -drift.longest(-soon) - 1 };
        let latest = if late > 0 { drift.longest(late) + 1 } else { -drift.shortest(-late) + 1 };
        Ok((local.saturating_add_signed(earliest), local.saturating_add_signed(latest)))
    }

    /// A document in which the clocks of these, this node too where it is named, stand side by side: all of them tell
    /// `at` now, as near as this node knows. It holds once it was written over the last one by its version.
    ///
    /// # Errors
    /// Where one of them is not known.
    pub fn lay(&self, epoch: u64, names: &[Arc<str>], at: i64, local: Micros) -> Result<Anchors, Unsure> {
        let (own, at) = (local.min(FARTHEST as u64) as i64, at.clamp(-FARTHEST / 4, FARTHEST / 4));
        let anchor = |name: &Arc<str>| {
            if *name == self.me {
                return Some(Anchor { name: name.clone(), run: self.settings.run, offset: at - own });
            }
            let (run, less) = (self.peers.get(name)?.run, self.offset(name, local)?);
            let offset = at - own - less.earliest - less.width() / 2;
            Some(Anchor { name: name.clone(), run, offset })
        };
        let anchors: Vec<Anchor> = names.iter().filter_map(anchor).collect();
        if anchors.len() < names.len() {
            return Err(Unsure::Unheard { heard: anchors.len(), needed: names.len() });
        }
        Ok(Anchors { epoch, anchors })
    }
}
