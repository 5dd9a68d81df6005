//! Injects faults into the system calls of the real program: a shared library that a test loads with
//! `LD_PRELOAD`.
//!
//! ```text
//!   program ─▶ recv() ─▶ hooks ─▶ injector: first matching rule, if any ─▶ the call, shortened or failed
//!                                    │
//!                                    └─▶ log: a numbered line for each injected fault
//! ```
//!
//! The schedule is a TOML file ([`schedule`]) named by [`SCHEDULE_VARIABLE`]; the same seed and the same
//! calls give the same faults. The log is the file named by [`LOG_VARIABLE`]. A call that no rule matches
//! passes unchanged. A schedule that is invalid or cannot be read ends the process with status
//! [`INVALID_SCHEDULE_STATUS`] and one line on standard error.
//!
//! The library makes system calls by number (`syscall(2)`), so that it never enters its own hooks.

#[cfg(not(test))]
mod hooks;
mod injector;
#[cfg(not(test))]
mod log;
pub mod schedule;
#[cfg(not(test))]
mod syscalls;

/// The environment variable with the path of the schedule file.
pub const SCHEDULE_VARIABLE: &str = "WOODGAP_FAULTS";
/// The environment variable with the path of the log file.
pub const LOG_VARIABLE: &str = "WOODGAP_FAULTS_LOG";
/// The exit status of a process whose schedule is invalid or cannot be read.
pub const INVALID_SCHEDULE_STATUS: i32 = 97;
