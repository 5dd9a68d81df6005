//! A stand-in coordination service, after the public descriptions of ZooKeeper (its Programmer's Guide and
//! Internals): so far what it keeps and settles, [`tree`], without I/O. Its wire comes next.
//!
//! ```text
//!   wire (to come) ── operation, session, time ──▶ Tree: nodes, sessions, watches
//!        ▲                                           │
//!        └────── result; events of one-shot watches ◀┘
//! ```

pub mod tree;
