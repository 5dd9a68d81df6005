//! The schedule of faults, as a test writes it in TOML.
//!
//! ```toml
//! seed = 7
//!
//! [[fault]]
//! call = "connect"         # one of the calls in `CallName`
//! peer_port = 5000         # only sockets with this peer port; `local_port`, and `path` for files, likewise
//! after_ms = 1000          # not before this time since the process started
//! one_in = 4               # one call in this many, at random from the seed
//! times = 20               # at most this many faults
//! error = "EADDRNOTAVAIL"  # or `bytes = 1` for a short read or write, or `step_ms` for the clock
//! ```

use serde::Deserialize;
use thiserror::Error;

/// A schedule of faults.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// The seed of the random choice by `one_in`.
    #[serde(default)]
    pub seed: u64,
    /// The rules. The first that matches a call and is due takes effect.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultRule>,
}

/// A rule: which calls fail, when and how.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// The name of the call.
    pub call: CallName,
    /// Only calls on this kind of object.
    pub on: Option<Target>,
    /// Only calls on sockets whose peer has this port.
    pub peer_port: Option<u16>,
    /// Only calls on sockets with this local port.
    pub local_port: Option<u16>,
    /// Only calls on files whose path contains this text.
    pub path: Option<String>,
    /// The number of matching calls that pass before the rule takes effect.
    #[serde(default)]
    pub after_calls: u64,
    /// The start of the period in which the rule takes effect, in milliseconds since the process started
    /// (monotonic clock).
    #[serde(default)]
    pub after_ms: u64,
    /// The end of that period.
    pub until_ms: Option<u64>,
    /// The maximum number of faults.
    pub times: Option<u64>,
    /// The rule takes effect for one matching call in this many, at random from the seed.
    #[serde(default = "every_call")]
    pub one_in: u64,
    /// The call fails with this `errno`.
    pub error: Option<ErrorName>,
    /// A read or write transfers at most this many bytes.
    pub bytes: Option<usize>,
    /// The wall clock is offset by this many milliseconds during the period.
    pub step_ms: Option<i64>,
}

fn every_call() -> u64 {
    1
}

/// The calls that can fail. Each stands for its variants (`open` for `open64`, `write` for `pwrite64`).
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum CallName {
    Accept,
    Socket,
    Connect,
    SocketError,
    Read,
    Recv,
    Write,
    Writev,
    Send,
    EpollWait,
    ClockRealtime,
    Open,
    Fsync,
    Fdatasync,
    Rename,
    Ftruncate,
}

/// The kind of object that a call acts on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Target {
    Listener,
    Stream,
    /// Unix-domain sockets, such as those of an async runtime for signals.
    Unix,
    Datagram,
    File,
}

macro_rules! error_names {
    ($($name:ident),*) => {
        /// Error numbers by their names in errno(3).
        #[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
        #[allow(missing_docs, clippy::upper_case_acronyms)]
        pub enum ErrorName { $($name),* }

        impl ErrorName {
            /// The `errno` value on this system.
            pub fn errno(self) -> i32 {
                match self { $(ErrorName::$name => libc::$name),* }
            }
        }
    };
}

error_names!(
    EAGAIN,
    ECONNABORTED,
    ECONNREFUSED,
    ECONNRESET,
    EADDRNOTAVAIL,
    EHOSTUNREACH,
    EINTR,
    EIO,
    EMFILE,
    ENETUNREACH,
    ENFILE,
    ENOBUFS,
    ENOMEM,
    ENOSPC,
    EPIPE,
    EPROTO,
    ETIMEDOUT
);

/// Why a schedule is invalid.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// The text is not TOML, or has an unknown field or name.
    #[error("the schedule is not valid TOML of the expected form: {0}")]
    Parse(#[from] toml::de::Error),
    /// A rule has no effect, more than one, or one that its call does not support.
    #[error("rule {number} of the schedule: {problem}")]
    Rule {
        /// The number of the rule, counted from 1.
        number: usize,
        /// The problem and its remedy.
        problem: &'static str,
    },
}

impl Schedule {
    /// Parses a schedule.
    ///
    /// # Errors
    /// If the text cannot be parsed, or a rule is invalid.
    pub fn parse(text: &str) -> Result<Schedule, ScheduleError> {
        let schedule: Schedule = toml::from_str(text)?;
        for (number, fault) in (1..).zip(&schedule.faults) {
            fault.check().map_err(|problem| ScheduleError::Rule { number, problem })?;
        }
        Ok(schedule)
    }
}

impl FaultRule {
    fn check(&self) -> Result<(), &'static str> {
        use CallName::{ClockRealtime, Read, Recv, Send, Write, Writev};
        let effects = [self.error.is_some(), self.bytes.is_some(), self.step_ms.is_some()];
        if effects.iter().filter(|is_given| **is_given).count() != 1 {
            return Err("give one of error, bytes and step_ms, and only one");
        }
        if (self.call == ClockRealtime) != self.step_ms.is_some() {
            return Err("step_ms applies to clock_realtime only, and is its only effect");
        }
        if self.bytes.is_some() && !matches!(self.call, Read | Recv | Write | Writev | Send) {
            return Err("bytes is for read, recv, write, writev and send only");
        }
        if self.bytes == Some(0) || self.one_in == 0 {
            return Err("bytes and one_in must be 1 at least");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn schedule_is_parsed() {
        let text = "seed = 7\n[[fault]]\ncall = \"connect\"\npeer_port = 5\none_in = 4\nerror = \"EINTR\"\n";
        let schedule = Schedule::parse(text).unwrap();
        assert_eq!((schedule.seed, schedule.faults.len()), (7, 1));
        let fault = &schedule.faults[0];
        assert_eq!((fault.call, fault.peer_port, fault.one_in), (CallName::Connect, Some(5), 4));
        assert_eq!(fault.error.map(ErrorName::errno), Some(libc::EINTR));
    }

    #[test]
    fn invalid_schedules_are_rejected() {
        for (rule, problem) in [
            ("call = \"dance\"\nerror = \"EIO\"", "dance"),
            ("call = \"read\"\nerror = \"EWHAT\"", "EWHAT"),
            ("call = \"read\"\nbytes = 1\nwhen = 2", "when"),
            ("call = \"read\"", "give one of"),
            ("call = \"read\"\nbytes = 1\nerror = \"EIO\"", "give one of"),
            ("call = \"read\"\nstep_ms = 1", "clock_realtime"),
            ("call = \"rename\"\nbytes = 1", "bytes is for"),
            ("call = \"read\"\nbytes = 0", "1 at least"),
        ] {
            let error = Schedule::parse(&format!("[[fault]]\n{rule}\n")).unwrap_err().to_string();
            assert!(error.contains(problem), "{rule}: {error}");
        }
    }
}
