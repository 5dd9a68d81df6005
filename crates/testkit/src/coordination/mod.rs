//! A stand-in coordination service, after the public descriptions of ZooKeeper (its Programmer's Guide,
//! Internals and protocol files).
//!
//! ```text
//!   wire: connections, frames ── operation, session, time ──▶ tree::Tree: nodes, sessions, watches (no I/O)
//!        ▲                                                      │
//!        └────── result; events of one-shot watches ◀───────────┘
//! ```
//!
//! One lock holds a change, the events that others hear of it and its own answer: a client sees them in the
//! order in which they happened.

pub mod tree;
pub mod wire;
