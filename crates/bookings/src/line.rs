//! A number of slots as it goes with time: the segment structure on which everything is decided.

use crate::when::{Micros, Step};

/// A step function: sorted moments and the number from each on; 0 before the first. Neighbours differ, so that two lines
/// that say the same are equal.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Line(Vec<(Micros, u32)>);

impl Clone for Line {
    /// With room for the six points of a booking, for which it is copied.
    fn clone(&self) -> Line {
        let mut points = Vec::with_capacity(self.0.len() + 6);
        points.extend_from_slice(&self.0);
        Line(points)
    }
}

/// So many percent of slots, rounded up.
pub(crate) fn percent_up(slots: u32, percent: u8) -> u32 {
    (u64::from(slots) * u64::from(percent.min(100))).div_ceil(100) as u32
}

impl Line {
    /// The same at all times.
    pub fn level(slots: u32) -> Line {
        Line(vec![(0, slots)])
    }

    /// Of moments in their order and the number from each on.
    pub fn of(points: impl IntoIterator<Item = (Micros, u32)>) -> Line {
        let mut line = Vec::new();
        for (at, slots) in points {
            if line.last().map_or(0, |last: &(Micros, u32)| last.1) != slots {
                line.push((at, slots));
            }
        }
        Line(line)
    }

    /// The sum of steps.
    pub fn sum(steps: impl Iterator<Item = Step>) -> Line {
        let mut edges: Vec<(Micros, i64)> = steps
            .filter(|step| step.from < step.until && step.slots > 0)
            .flat_map(|step| [(step.from, i64::from(step.slots)), (step.until, -i64::from(step.slots))])
            .collect();
        edges.sort_unstable();
        let (mut points, mut now) = (Vec::<(Micros, u32)>::with_capacity(edges.len()), 0_i64);
        for (at, by) in edges {
            now += by;
            match points.last_mut() {
                Some(last) if last.0 == at => last.1 = now as u32,
                _ => points.push((at, now as u32)),
            }
        }
        Line::of(points)
    }

    /// One step more.
    pub fn add(&mut self, step: Step) {
        self.by(step, |slots, by| slots + by);
    }

    /// A step that is in it less.
    pub fn sub(&mut self, step: Step) {
        self.by(step, |slots, by| slots.saturating_sub(by));
    }

    fn by(&mut self, step: Step, change: impl Fn(u32, u32) -> u32) {
        if step.from >= step.until || step.slots == 0 {
            return;
        }
        let first = self.point(step.from);
        let end = self.point(step.until);
        self.0[first..end].iter_mut().for_each(|point| point.1 = change(point.1, step.slots));
        for index in [end, first] {
            let before = if index == 0 { 0 } else { self.0[index - 1].1 };
            if self.0.get(index).is_some_and(|point| point.1 == before) {
                self.0.remove(index);
            }
        }
    }

    /// Where the point of a moment is; it is put there if there is none.
    fn point(&mut self, at: Micros) -> usize {
        let index = self.0.partition_point(|point| point.0 < at);
        if self.0.get(index).is_none_or(|point| point.0 != at) {
            let before = if index == 0 { 0 } else { self.0[index - 1].1 };
            self.0.insert(index, (at, before));
        }
        index
    }

    fn after(&self, at: Micros) -> usize {
        self.0.partition_point(|point| point.0 <= at)
    }

    /// The number at a moment.
    pub fn at(&self, at: Micros) -> u32 {
        self.after(at).checked_sub(1).map_or(0, |index| self.0[index].1)
    }

    /// The moments after one at which it changes.
    pub fn edges(&self, after: Micros) -> impl Iterator<Item = Micros> + '_ {
        self.0[self.after(after)..].iter().map(|point| point.0)
    }

    /// Both lines, segment by segment.
    pub fn pairs<'a>(&'a self, other: &'a Line, from: Micros, until: Micros) -> Pairs<'a> {
        let (i, j) = (self.after(from), other.after(from));
        Pairs { one: &self.0, other: &other.0, i, j, at: from, until }
    }
}

/// A time in which two lines stay what they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Pair {
    pub from: Micros,
    pub until: Micros,
    pub one: u32,
    pub other: u32,
}

/// See [`Line::pairs`].
pub(crate) struct Pairs<'a> {
    one: &'a [(Micros, u32)],
    other: &'a [(Micros, u32)],
    i: usize,
    j: usize,
    at: Micros,
    until: Micros,
}

impl Iterator for Pairs<'_> {
    type Item = Pair;

    fn next(&mut self) -> Option<Pair> {
        if self.at >= self.until {
            return None;
        }
        let value =
            |line: &[(Micros, u32)], index: usize| index.checked_sub(1).map_or(0, |before| line[before].1);
        let edge =
            |line: &[(Micros, u32)], index: usize| line.get(index).map_or(Micros::MAX, |point| point.0);
        let (a, b) = (edge(self.one, self.i), edge(self.other, self.j));
        let until = a.min(b).min(self.until);
        let (one, other) = (value(self.one, self.i), value(self.other, self.j));
        let pair = Pair { from: self.at, until, one, other };
        self.i += usize::from(a == until && self.i < self.one.len());
        self.j += usize::from(b == until && self.j < self.other.len());
        self.at = until;
        Some(pair)
    }
}
