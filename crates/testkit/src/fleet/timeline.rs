//! When each node was running and out by a permit, and the events at each node; drawn as SVG to explain a
//! run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use plotters::prelude::*;

/// Maximum number of entries that are kept; later ones are discarded.
pub const MAX_ENTRIES: usize = 20_000;

#[derive(Clone, Debug, PartialEq)]
enum Entry {
    Running(bool),
    Out(bool),
    Event(String),
}

/// The recorded states and events of the nodes.
#[derive(Debug)]
pub struct Timeline {
    start: Instant,
    /// Seconds since the start, node and entry.
    entries: Vec<(f64, String, Entry)>,
    /// The nodes that were out at the last call of `set_out`.
    out: BTreeSet<String>,
}

impl Timeline {
    /// An empty timeline with this start.
    pub fn new(start: Instant) -> Timeline {
        Timeline { start, entries: Vec::new(), out: BTreeSet::new() }
    }

    fn add(&mut self, node: &str, entry: Entry) {
        if self.entries.len() < MAX_ENTRIES {
            self.entries.push((self.start.elapsed().as_secs_f64(), node.to_owned(), entry));
        }
    }

    /// Records whether a node's process runs.
    pub fn set_running(&mut self, node: &str, running: bool) {
        self.add(node, Entry::Running(running));
    }

    /// Records an event at a node, such as a signal.
    pub fn add_event(&mut self, node: &str, text: &str) {
        self.add(node, Entry::Event(text.to_owned()));
    }

    /// Records which nodes are out by the permit ledger.
    pub fn set_out(&mut self, now: &BTreeSet<String>) {
        let before = std::mem::replace(&mut self.out, now.clone());
        for node in now.difference(&before) {
            self.add(node, Entry::Out(true));
        }
        for node in before.difference(now) {
            self.add(node, Entry::Out(false));
        }
    }

    /// Draws the timeline as SVG. Each node has a row with a dark bar while its process runs, a second bar
    /// above it while it is out by its permit, and a mark at each event.
    ///
    /// # Errors
    /// If drawing fails.
    pub fn to_svg(&self) -> Result<String, Box<dyn std::error::Error + Send + Sync>> {
        let end = self.start.elapsed().as_secs_f64().max(0.1);
        let mut rows: BTreeMap<&str, Vec<(f64, &Entry)>> = BTreeMap::new();
        for (at, node, entry) in &self.entries {
            rows.entry(node).or_default().push((*at, entry));
        }
        let row_count = rows.len().max(1);
        let mut svg = String::new();
        {
            let size = (1_000, 60 + 34 * row_count as u32);
            let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .margin(8)
                .x_label_area_size(28)
                .y_label_area_size(56)
                .build_cartesian_2d(0.0..end, 0.0..row_count as f64)?;
            let names: Vec<&str> = rows.keys().copied().collect();
            let label = |at: &f64| names.get(*at as usize).copied().unwrap_or("").to_owned();
            let mut mesh = chart.configure_mesh();
            mesh.disable_y_mesh().y_labels(row_count).y_label_formatter(&label).x_desc("seconds").draw()?;
            for (row, entries) in rows.values().enumerate() {
                let row = row as f64;
                let spans = |kind: fn(&Entry) -> Option<bool>| {
                    let (mut spans, mut since) = (Vec::new(), None);
                    for (at, entry) in entries {
                        match kind(entry) {
                            Some(true) => since = since.or(Some(*at)),
                            Some(false) => spans.extend(since.take().map(|since| (since, *at))),
                            None => {}
                        }
                    }
                    spans.extend(since.map(|since| (since, end)));
                    spans
                };
                let running =
                    spans(|entry| if let Entry::Running(running) = entry { Some(*running) } else { None });
                let out = spans(|entry| if let Entry::Out(out) = entry { Some(*out) } else { None });
                let bar = |(from, to): (f64, f64), low: f64, high: f64, color: RGBColor| {
                    Rectangle::new([(from, row + low), (to, row + high)], color.filled())
                };
                chart.draw_series(
                    running.into_iter().map(|span| bar(span, 0.15, 0.6, RGBColor(70, 110, 150))),
                )?;
                chart
                    .draw_series(out.into_iter().map(|span| bar(span, 0.62, 0.85, RGBColor(220, 150, 40))))?;
                let events = entries.iter().filter_map(|(at, entry)| match entry {
                    Entry::Event(text) => Some((*at, text)),
                    _ => None,
                });
                for (at, text) in events {
                    let position = EmptyElement::at((at, row + 0.95));
                    let mark = Circle::new((0, 0), 3, RED.filled());
                    chart.draw_series(std::iter::once(
                        position + mark + Text::new(text.clone(), (5, -5), ("sans-serif", 10)),
                    ))?;
                }
            }
            area.present()?;
        }
        Ok(svg)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn svg_has_a_row_per_node_and_a_mark_per_event() {
        let mut timeline = Timeline::new(Instant::now());
        timeline.set_running("n1", true);
        timeline.set_running("n2", true);
        timeline.set_out(&BTreeSet::from(["n2".to_owned()]));
        timeline.add_event("n2", "TERM");
        timeline.set_running("n2", false);
        let text = timeline.to_svg().unwrap();
        assert!(text.starts_with("<svg") && text.contains("TERM") && text.contains("n1"), "{text}");
        assert_eq!(text.matches("#DC9628").count(), 1);
    }
}
