//! A node as a process of its own, and what it takes of the machine.

use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A node's process, killed when dropped.
pub struct Process {
    child: Child,
    /// Where clients connect.
    pub addr: SocketAddr,
    /// Where it is administered.
    pub admin: Option<SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The program beside this one.
pub fn program() -> Result<PathBuf, Box<dyn Error>> {
    let path = std::env::current_exe()?.with_file_name("woodgap");
    match path.exists() {
        true => Ok(path),
        false => Err(format!("{} is missing: cargo build --release -p woodgap", path.display()).into()),
    }
}

impl Process {
    /// Starts a program and waits until it listens.
    pub fn start(
        program: &Path,
        args: &[&str],
        env: &[(&str, &str)],
        quiet: Duration,
    ) -> Result<Process, Box<dyn Error>> {
        let mut command = Command::new(program);
        command.args(args).envs(env.iter().copied()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let mut log = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
        let (mut addr, mut admin, mut said) = (None, None, String::new());
        while addr.is_none() {
            let Some(line) = log.next() else {
                let _ = child.wait();
                return Err(format!("the node ended: {said}").into());
            };
            said = line?;
            if let Some((_, at)) = said.split_once("administered on ") {
                admin = at.parse().ok();
            }
            if let Some((_, at)) = said.split_once("listens on ") {
                addr = at.parse().ok();
            }
        }
        std::thread::spawn(move || log.for_each(drop));
        std::thread::sleep(quiet);
        Ok(Process { child, addr: addr.ok_or("no address")?, admin })
    }

    fn file(&self, name: &str) -> Result<String, Box<dyn Error>> {
        Ok(std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()))?)
    }

    /// Memory in KiB, by a field of its status: `VmRSS` for all of it, `RssAnon` for its own, `RssFile`
    /// for pages of programs and libraries, which other processes may share.
    pub fn memory_kib(&self, field: &str) -> Result<f64, Box<dyn Error>> {
        let status = self.file("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix(field)).ok_or("no such field")?;
        Ok(line.trim_start_matches(':').trim().trim_end_matches(" kB").trim().parse()?)
    }

    /// Time of its threads on cores since its start, in seconds: to the nanosecond, as the scheduler has it.
    pub fn cpu_s(&self) -> Result<f64, Box<dyn Error>> {
        let mut spent = 0.0;
        for thread in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            // A thread may end meanwhile.
            let Ok(text) = std::fs::read_to_string(thread?.path().join("schedstat")) else { continue };
            spent += text.split_whitespace().next().ok_or("no schedstat")?.parse::<f64>()? / 1e9;
        }
        Ok(spent)
    }
}
