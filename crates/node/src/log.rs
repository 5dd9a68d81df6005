//! The log: standard error, at most so many lines a second.

use std::fmt::Arguments;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const LINES_PER_S: u32 = 20;

struct Window {
    since: Option<Instant>,
    lines: u32,
}

static WINDOW: Mutex<Window> = Mutex::new(Window { since: None, lines: 0 });

/// Writes a line, or drops it where there are too many: a fault that repeats with every request
/// must not cost the node its time.
pub fn line(text: Arguments<'_>) {
    let Ok(mut window) = WINDOW.lock() else { return };
    let now = Instant::now();
    if window.since.is_none_or(|since| now - since >= Duration::from_secs(1)) {
        if window.lines > LINES_PER_S {
            eprintln!("{} lines dropped", window.lines - LINES_PER_S);
        }
        *window = Window { since: Some(now), lines: 0 };
    }
    window.lines += 1;
    if window.lines <= LINES_PER_S {
        eprintln!("{text}");
    }
}
