//! Starts programs with system-call faults injected: the shared library of `woodgap-faults`, preloaded with a
//! schedule.

use std::path::PathBuf;
use std::process::Command;

use tempfile::TempDir;

// Repeated here because using the constants of `woodgap-faults` would link its hooks into the test itself.
const SCHEDULE_VARIABLE: &str = "WOODGAP_FAULTS";
const LOG_VARIABLE: &str = "WOODGAP_FAULTS_LOG";
const LIBRARY: &str = "libwoodgap_faults.so";

/// A schedule of faults, and the log of the faults that were injected.
pub struct Faults {
    folder: TempDir,
}

impl Faults {
    /// Creates the schedule from TOML in the format of `woodgap_faults::schedule`.
    pub fn new(schedule: &str) -> Faults {
        let folder = TempDir::new().expect("temporary folder for the schedule");
        std::fs::write(folder.path().join("schedule.toml"), schedule).expect("write the schedule");
        Faults { folder }
    }

    /// Sets the environment of a command so that its process runs with these faults.
    pub fn apply_to<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command
            .env("LD_PRELOAD", library())
            .env(SCHEDULE_VARIABLE, self.folder.path().join("schedule.toml"))
            .env(LOG_VARIABLE, self.log_path())
    }

    fn log_path(&self) -> PathBuf {
        self.folder.path().join("faults.log")
    }

    /// The faults that were injected, one a line: number, milliseconds since the process started, call and
    /// effect.
    pub fn log(&self) -> Vec<String> {
        let log = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        log.lines().map(str::to_owned).collect()
    }
}

/// The path of the shared library, which cargo builds into the folder of programs and tests or its `deps`.
fn library() -> PathBuf {
    let program = std::env::current_exe().expect("path of this program");
    let folders =
        program.ancestors().skip(1).take(2).flat_map(|folder| [folder.to_owned(), folder.join("deps")]);
    let mut libraries = folders.map(|folder| folder.join(LIBRARY));
    libraries
        .find(|library| library.exists())
        .unwrap_or_else(|| panic!("{LIBRARY} is not in the build folders of {program:?}"))
}
