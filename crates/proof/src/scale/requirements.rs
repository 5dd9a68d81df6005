//! Resources that a measurement requires of the machine, checked before any process is started.

use std::path::Path;

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use super::error::ScaleError;

/// Maximum number of child processes.
pub const MAX_PROCESSES: u64 = 200;
/// Maximum memory of all processes, in MiB.
pub const MAX_MEMORY_MIB: u64 = 12 * 1_024;
/// Memory of a host process without its nodes, in MiB.
const HOST_MEMORY_MIB: u64 = 8;
/// Memory of a hollow node with a small catalogue and a member list, in MiB.
const HOLLOW_NODE_MEMORY_MIB: u64 = 6;
/// Memory of a real node with the largest catalogue of a run, in MiB.
const REAL_NODE_MEMORY_MIB: u64 = 400;
/// Memory of the stand-in coordination service with its tree and watches, in MiB.
const STAND_IN_MEMORY_MIB: u64 = 1_024;
/// File descriptors of this process beside those of the nodes' sessions: the load's connections and files.
const BASE_FILE_DESCRIPTORS: u64 = 1_024;

/// Resources that a measurement requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceRequirements {
    /// Child processes.
    pub processes: u64,
    /// Memory of all processes, in MiB.
    pub memory_mib: u64,
    /// File descriptors of this process.
    pub file_descriptors: u64,
}

impl ResourceRequirements {
    /// Returns the requirements of `hollow_nodes` in hosts of `nodes_per_host` each, and of `real_nodes`.
    pub fn of(hollow_nodes: u64, nodes_per_host: u64, real_nodes: u64) -> ResourceRequirements {
        let hosts = hollow_nodes.div_ceil(nodes_per_host.max(1));
        ResourceRequirements {
            processes: hosts + real_nodes,
            memory_mib: hosts * HOST_MEMORY_MIB
                + hollow_nodes * HOLLOW_NODE_MEMORY_MIB
                + real_nodes * REAL_NODE_MEMORY_MIB
                + STAND_IN_MEMORY_MIB,
            file_descriptors: hollow_nodes + real_nodes * 4 + BASE_FILE_DESCRIPTORS,
        }
    }

    /// Prints the requirements and checks whether the machine meets them. Raises the soft limit on file
    /// descriptors of this process to the hard limit.
    ///
    /// # Errors
    /// The first resource of which there is too little.
    pub fn check(&self) -> Result<(), ScaleError> {
        let ResourceRequirements { processes, memory_mib, file_descriptors } = *self;
        println!(
            "needs {processes} processes, {memory_mib} MiB of memory, {file_descriptors} own file descriptors"
        );
        let require = |resource, required, available, remedy| match required <= available {
            true => Ok(()),
            false => Err(ScaleError::InsufficientResource { resource, required, available, remedy }),
        };
        require("processes", processes, MAX_PROCESSES, "run with fewer nodes (--nodes)")?;
        let available_mib = machine_memory_mib()? / 2;
        let available_mib = available_mib.min(MAX_MEMORY_MIB);
        require(
            "MiB of memory (at most half of the machine's)",
            memory_mib,
            available_mib,
            "run with fewer nodes (--nodes)",
        )?;
        require(
            "file descriptors",
            file_descriptors,
            raise_descriptor_limit(),
            "raise the limit (ulimit -n) or run with fewer nodes",
        )
    }
}

/// Returns the total memory of the machine in MiB, 0 when `/proc/meminfo` does not list it.
///
/// # Errors
/// When `/proc/meminfo` cannot be read.
pub fn machine_memory_mib() -> Result<u64, ScaleError> {
    let path = Path::new("/proc/meminfo");
    let text =
        std::fs::read_to_string(path).map_err(|error| ScaleError::File { path: path.into(), error })?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    Ok(kib.unwrap_or(0) / 1_024)
}

/// Raises the soft limit on file descriptors of this process to the hard limit. Returns the limit in force.
fn raise_descriptor_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    let in_force = match setrlimit(Resource::Nofile, raised) {
        Ok(()) => limit.maximum,
        Err(_) => limit.current,
    };
    in_force.unwrap_or(u64::MAX)
}
