//! What a run needs of the machine, said before anything is started.

use std::path::Path;

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use super::error::ScaleError;

/// Processes, at most.
pub const MOST_PROCESSES: u64 = 200;
/// Memory, at most.
pub const MOST_MEMORY_MIB: u64 = 12 * 1_024;
/// What a host takes by itself, and each of its hollow nodes with a small catalogue and a list of members.
const HOST_MIB: u64 = 8;
const HOLLOW_MIB: u64 = 6;
/// A real node with the largest catalogue that is loaded, and the stand-in with its tree and watches.
const NODE_MIB: u64 = 400;
const STAND_IN_MIB: u64 = 1_024;
/// Descriptors of this process: one a session with the stand-in, and what the load takes.
const DESCRIPTORS_OF_ITS_OWN: u64 = 1_024;

/// What a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Processes beside this one.
    pub processes: u64,
    /// Memory of all of them.
    pub memory_mib: u64,
    /// Descriptors of this process.
    pub descriptors: u64,
}

impl Need {
    /// What so many hollow nodes in hosts of this size, and so many real nodes, take.
    pub fn of(hollow: u64, per_host: u64, real: u64) -> Need {
        let hosts = hollow.div_ceil(per_host.max(1));
        Need {
            processes: hosts + real,
            memory_mib: hosts * HOST_MIB + hollow * HOLLOW_MIB + real * NODE_MIB + STAND_IN_MIB,
            descriptors: hollow + real * 4 + DESCRIPTORS_OF_ITS_OWN,
        }
    }

    /// Says what is needed, and whether the machine has it. The limit on descriptors is raised as far as the system
    /// lets this process.
    ///
    /// # Errors
    /// What there is too little of.
    pub fn check(&self) -> Result<(), ScaleError> {
        let Need { processes, memory_mib, descriptors } = *self;
        println!("needs {processes} processes, {memory_mib} MiB, {descriptors} descriptors of its own");
        let within = |what, needed, available, remedy| match needed <= available {
            true => Ok(()),
            false => Err(ScaleError::TooLittle { what, needed, available, remedy }),
        };
        within("processes", processes, MOST_PROCESSES, "ask for fewer nodes (--nodes)")?;
        let memory = machine_memory_mib()? / 2;
        let memory = memory.min(MOST_MEMORY_MIB);
        within(
            "MiB of memory, half of the machine's at most",
            memory_mib,
            memory,
            "ask for fewer nodes (--nodes)",
        )?;
        within(
            "descriptors",
            descriptors,
            raise_descriptors(),
            "raise the limit (ulimit -n) or ask for fewer nodes",
        )
    }
}

/// The machine's memory.
///
/// # Errors
/// Where the system does not say.
pub fn machine_memory_mib() -> Result<u64, ScaleError> {
    let path = Path::new("/proc/meminfo");
    let text =
        std::fs::read_to_string(path).map_err(|error| ScaleError::File { path: path.into(), error })?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    Ok(kib.unwrap_or(0) / 1_024)
}

/// Raises the limit on this process's descriptors as far as the system lets it, and tells it.
fn raise_descriptors() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    let now = match setrlimit(Resource::Nofile, raised) {
        Ok(()) => limit.maximum,
        Err(_) => limit.current,
    };
    now.unwrap_or(u64::MAX)
}
