//! Step functions of time with slot counts as values: all capacity decisions are made on these.

use crate::interval::{Micros, Segment};

/// A step function: sorted moments with the value from each of them on; 0 before the first. Neighbouring
/// values differ, so that two timelines with equal values compare equal.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Timeline(Vec<(Micros, u32)>);

impl Clone for Timeline {
    /// Reserves space for the six points that a reservation adds, as timelines are cloned to add one.
    fn clone(&self) -> Timeline {
        let mut points = Vec::with_capacity(self.0.len() + 6);
        points.extend_from_slice(&self.0);
        Timeline(points)
    }
}

/// This percentage of the slots, rounded up.
pub(crate) fn percent_rounded_up(slots: u32, percent: u8) -> u32 {
    (u64::from(slots) * u64::from(percent.min(100))).div_ceil(100) as u32
}

impl Timeline {
    /// The same value at all times.
    pub fn constant(slots: u32) -> Timeline {
        Timeline(vec![(0, slots)])
    }

    /// Builds a timeline from sorted moments and the value from each of them on.
    pub fn from_points(points: impl IntoIterator<Item = (Micros, u32)>) -> Timeline {
        let mut timeline = Vec::new();
        for (at, slots) in points {
            if timeline.last().map_or(0, |last: &(Micros, u32)| last.1) != slots {
                timeline.push((at, slots));
            }
        }
        Timeline(timeline)
    }

    /// Sum of segments.
    pub fn from_segments(segments: impl Iterator<Item = Segment>) -> Timeline {
        let mut edges: Vec<(Micros, i64)> = segments
            .filter(|segment| segment.from < segment.until && segment.slots > 0)
            .flat_map(|segment| {
                [(segment.from, i64::from(segment.slots)), (segment.until, -i64::from(segment.slots))]
            })
            .collect();
        edges.sort_unstable();
        let (mut points, mut sum) = (Vec::<(Micros, u32)>::with_capacity(edges.len()), 0_i64);
        for (at, change) in edges {
            sum += change;
            match points.last_mut() {
                Some(last) if last.0 == at => last.1 = sum as u32,
                _ => points.push((at, sum as u32)),
            }
        }
        Timeline::from_points(points)
    }

    /// Adds the slots of a segment.
    pub fn add(&mut self, segment: Segment) {
        self.apply(segment, |slots, added| slots + added);
    }

    /// Subtracts the slots of a segment that was added before.
    pub fn sub(&mut self, segment: Segment) {
        self.apply(segment, |slots, removed| slots.saturating_sub(removed));
    }

    fn apply(&mut self, segment: Segment, change: impl Fn(u32, u32) -> u32) {
        if segment.from >= segment.until || segment.slots == 0 {
            return;
        }
        let first = self.ensure_point(segment.from);
        let end = self.ensure_point(segment.until);
        self.0[first..end].iter_mut().for_each(|point| point.1 = change(point.1, segment.slots));
        for index in [end, first] {
            let before = if index == 0 { 0 } else { self.0[index - 1].1 };
            if self.0.get(index).is_some_and(|point| point.1 == before) {
                self.0.remove(index);
            }
        }
    }

    /// Index of the point at this moment; inserts one if there is none.
    fn ensure_point(&mut self, at: Micros) -> usize {
        let index = self.0.partition_point(|point| point.0 < at);
        if self.0.get(index).is_none_or(|point| point.0 != at) {
            let before = if index == 0 { 0 } else { self.0[index - 1].1 };
            self.0.insert(index, (at, before));
        }
        index
    }

    fn index_after(&self, at: Micros) -> usize {
        self.0.partition_point(|point| point.0 <= at)
    }

    /// Value at a moment.
    pub fn value_at(&self, at: Micros) -> u32 {
        self.index_after(at).checked_sub(1).map_or(0, |index| self.0[index].1)
    }

    /// Moments after `after` at which the value changes.
    pub fn edges(&self, after: Micros) -> impl Iterator<Item = Micros> + '_ {
        self.0[self.index_after(after)..].iter().map(|point| point.0)
    }

    /// Iterates over both timelines at once, in segments in which neither changes.
    pub fn zip_segments<'a>(&'a self, second: &'a Timeline, from: Micros, until: Micros) -> SegmentPairs<'a> {
        let (i, j) = (self.index_after(from), second.index_after(from));
        SegmentPairs { first: &self.0, second: &second.0, i, j, at: from, until }
    }
}

/// A span of time in which neither of two timelines changes, with their values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentPair {
    pub from: Micros,
    pub until: Micros,
    pub first: u32,
    pub second: u32,
}

/// Iterator that [`Timeline::zip_segments`] returns.
pub(crate) struct SegmentPairs<'a> {
    first: &'a [(Micros, u32)],
    second: &'a [(Micros, u32)],
    i: usize,
    j: usize,
    at: Micros,
    until: Micros,
}

impl Iterator for SegmentPairs<'_> {
    type Item = SegmentPair;

    fn next(&mut self) -> Option<SegmentPair> {
        if self.at >= self.until {
            return None;
        }
        let value = |timeline: &[(Micros, u32)], index: usize| {
            index.checked_sub(1).map_or(0, |before| timeline[before].1)
        };
        let edge = |timeline: &[(Micros, u32)], index: usize| {
            timeline.get(index).map_or(Micros::MAX, |point| point.0)
        };
        let (a, b) = (edge(self.first, self.i), edge(self.second, self.j));
        let until = a.min(b).min(self.until);
        let (first, second) = (value(self.first, self.i), value(self.second, self.j));
        let pair = SegmentPair { from: self.at, until, first, second };
        self.i += usize::from(a == until && self.i < self.first.len());
        self.j += usize::from(b == until && self.j < self.second.len());
        self.at = until;
        Some(pair)
    }
}
