//! A stand-in for ZooKeeper, written from its public documentation (Programmer's Guide, Internals and
//! protocol files).
//!
//! ```text
//!   wire: connections, frames ── operation, session, time ──▶ tree::Tree: znodes, sessions, watches (no I/O)
//!        ▲                                                      │
//!        └────── result; events of one-shot watches ◀───────────┘
//! ```
//!
//! One lock covers a change, the watch events that it triggers and its reply, so that every client receives
//! them in the order in which they happened.

pub mod tree;
pub mod wire;
