//! When to come back: a place in a line of promises, one line a queue.
//!
//! Each refusal takes the next place in its key's line, so those who are sent away together do not come back together,
//! and who was refused first is told an earlier time than who was refused after. A line is the virtual scheduling of the
//! generic cell rate algorithm (ITU-T I.371, annex A) at the rate that the key's share drains at when it is asked.

use crate::Micros;

/// What has been promised to a key's queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Line {
    /// Nobody was told a later time.
    last: Micros,
}

impl Line {
    /// A line in which nobody stands.
    pub const PROMISED_NOTHING: Line = Line { last: 0 };

    /// The next place: `wait` from now at the earliest, and an `interval` after the place before it. `None`, and no
    /// place is taken, where that is past `most`: a promise that far off would not be kept.
    pub fn promise(&mut self, now: Micros, wait: Micros, interval: Micros, most: Micros) -> Option<Micros> {
        let earliest = now.saturating_add(wait).max(now.saturating_add(1));
        let place = earliest.max(self.last.saturating_add(interval));
        let span = place - now;
        if span > most {
            return None;
        }
        self.last = place;
        Some(span)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_is_sent_away_together_comes_back_apart() {
        let mut line = Line::default();
        let told: Vec<_> = (0..5).map(|_| line.promise(1_000, 500, 100, 10_000)).collect();
        assert_eq!(told, [Some(500), Some(600), Some(700), Some(800), Some(900)]);
        // As the queue shrinks, later ones are not told an earlier time than those before them.
        assert_eq!(line.promise(1_100, 0, 10, 10_000), Some(810));
        // As it grows, they are told a later one.
        assert_eq!(line.promise(1_200, 5_000, 10, 10_000), Some(5_000));
        // A promise that would not matter takes no place.
        assert_eq!(line.promise(1_300, 0, 10_000, 10_000), None);
        assert_eq!(line.promise(1_300, 0, 10, 10_000), Some(4_910));
        // After a quiet time nothing of it is left; a clock at its end is no fault.
        assert_eq!(line.promise(1_000_000, 0, 10, 10_000), Some(1));
        assert_eq!(line.promise(u64::MAX, 9, 9, 10_000), Some(0));
    }
}
