//! Writes the program's `tracing` events to standard error, one per line, with a rate limit.
//!
//! A program that embeds a node can install its own subscriber instead.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// Maximum number of lines per second, so that a fault that repeats with every request does not use up the
/// node's time.
pub const MAX_LINES_PER_S: u32 = 20;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// The message only.
    #[default]
    Text,
    /// A JSON object with time, level, message and the event's fields.
    #[cfg(feature = "hosted")]
    Json,
}

/// The current second of the rate limit.
struct RateWindow {
    /// Start of the second; `None` before the first event.
    since: Option<Instant>,
    /// Number of events in the second, including dropped ones.
    lines: u32,
}

/// Passes the program's own events and not those of libraries, drops events over the rate limit, and logs how
/// many it dropped.
struct RateLimit(Mutex<RateWindow>);

impl<S: Subscriber> Layer<S> for RateLimit {
    fn enabled(&self, event: &Metadata<'_>, _: Context<'_, S>) -> bool {
        *event.level() <= Level::INFO && event.target().starts_with("woodgap")
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::INFO)
    }

    fn event_enabled(&self, _: &Event<'_>, _: Context<'_, S>) -> bool {
        let (pass, dropped) = {
            let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let now = Instant::now();
            let mut dropped = 0;
            if window.since.is_none_or(|since| now - since >= Duration::from_secs(1)) {
                dropped = window.lines.saturating_sub(MAX_LINES_PER_S);
                *window = RateWindow { since: Some(now), lines: 0 };
            }
            window.lines += 1;
            (window.lines <= MAX_LINES_PER_S, dropped)
        };
        if dropped > 0 {
            tracing::info!("{dropped} log lines dropped by the rate limit");
        }
        pass
    }
}

/// Installs the subscriber that writes events. Has no effect if one is installed already.
pub fn start(format: LogFormat) {
    let rate_limit = RateLimit(Mutex::new(RateWindow { since: None, lines: 0 }));
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let started = match format {
        LogFormat::Text => {
            let lines = lines.with_target(false).with_level(false).without_time().with_ansi(false);
            tracing_subscriber::registry().with(lines).with(rate_limit).try_init()
        }
        #[cfg(feature = "hosted")]
        LogFormat::Json => {
            let lines = lines.json().flatten_event(true).with_target(false);
            tracing_subscriber::registry().with(lines).with(rate_limit).try_init()
        }
    };
    // An error means that a subscriber is installed already, such as that of an embedding program.
    drop(started);
}
