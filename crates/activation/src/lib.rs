//! Versions of the routes that every node of a fleet switches to at one moment. Pure: no sockets, no files, no clock.
//!
//! ```text
//!  operator ── Open, Withdraw ──┐                                   coordination service
//!                               ▼                                   ┌──────────────────┐
//!  Board::take(command, clock) ─── conditional write, by version ──▶│ Board: roster,   │
//!        ▲                                                          │ attempt {floor,  │
//!        │ Write(Join, Say, Extend, Decide, End)                    │ ready}, decided  │
//!        │                                                          │ {moment}         │
//!  ┌─────┴──────────────────────────────┐ ◀──── BoardRead ──────────└──────────────────┘
//!  │ Node  seat → follow (learn, say,   │
//!  │       drive) → settle (switch)     │── Fetch, Keep, Drop ──▶ store, disk (`Disk`)
//!  │       → requests (take, hold)      │
//!  └─────┬──────────────────────────────┘
//!        │ Gate: numbers, given out before any action
//!        ▼
//!  front: Gate::look ─▶ taken by a version     upstream: Gate::may_send, Bar::barred, in the turn that writes
//! ```
//!
//! A version's way: `Open` → every node fetches, checks, builds aside, keeps, says `Ready` →
//! `Decide` by one conditional write, with a moment → each node switches when its interval of the time has passed it.
//!
//! **Why no old answer follows a new one.** The attempt has a *floor*. From its word on, a node answers by the old version
//! only while the latest that it may be is before the highest floor that it has *read*. Floors grow, and a decision's moment is
//! at or after the floor of the very document that it replaces. So every floor that was ever read is at or before the
//! moment, whatever was late, stale, lost or asleep: what a node needs for it is no deadline of a write, only an interval
//! that holds the time. (A lease by the time of the last read fails here: a decision whose write was stalled
//! carries a moment that is past when it arrives.) The floor is put off by `Extend` while the attempt is open.
//!
//! **Who must be ready** is whoever has a seat in the board's roster, less those whose end is proven. Nobody answers before
//! its seat is written; whoever starts, or was alone for so long that its end may be proven, takes its seat anew.

mod board;
mod clock;
mod command;
mod disk;
mod event;
mod follow;
mod gate;
mod node;
mod refusal;
mod requests;
mod settings;
mod take;
mod trouble;
mod version;
mod word;

pub use board::{Attempt, Board, Decision, Kept, Seat, Word, MOST_KEPT, MOST_SEATS};
pub use clock::{Clock, Micros, Now};
pub use command::Command;
pub use disk::Disk;
pub use event::{Action, Event};
pub use gate::{Bar, Gate, May, Sending, Serving, Taken};
pub use node::Node;
pub use refusal::Refusal;
pub use settings::{Limits, Rules};
pub use trouble::Trouble;
pub use version::{alike, in_doubt, Belongs, Doubt, Part, Parts, Version, FORMAT, LONGEST_TEXT, MOST_PARTS};
