//! A node in a process of its own, and the memory and CPU time that it uses.

use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The process of a node, which is killed on drop.
pub struct NodeProcess {
    child: Child,
    /// Address of the listener for clients.
    pub addr: SocketAddr,
    /// Address of the administration API, if the node has one.
    pub admin: Option<SocketAddr>,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the program `woodgap` in this program's folder, which must be the hosted build (many
/// tenants).
///
/// # Errors
/// Fails if the program is missing or is the platform build, which the `build` command of the deploy file
/// writes to the same path.
pub fn hosted_program() -> Result<PathBuf, Box<dyn Error>> {
    require_hosted_build(std::env::current_exe()?.with_file_name("woodgap"))
}

fn require_hosted_build(path: PathBuf) -> Result<PathBuf, Box<dyn Error>> {
    let remedy = "build it with `cargo build --release -p woodgap` and start the proof again";
    if !path.exists() {
        return Err(format!("{} is missing: {remedy}", path.display()).into());
    }
    let output = Command::new(&path).arg("--version").stdin(Stdio::null()).output()?;
    let version = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    match version.ends_with("(hosted)") {
        true => Ok(path),
        false => {
            let found = if version.is_empty() { "it prints no version" } else { version.as_str() };
            Err(format!("{} is not the hosted build ({found}): {remedy}", path.display()).into())
        }
    }
}

impl NodeProcess {
    /// Starts a program, waits until it logs that it listens, and then for `settle_time`.
    ///
    /// # Errors
    /// Fails if the process cannot be started or ends before it listens.
    pub fn start(
        program: &Path,
        args: &[&str],
        env: &[(&str, &str)],
        settle_time: Duration,
    ) -> Result<NodeProcess, Box<dyn Error>> {
        let mut command = Command::new(program);
        command.args(args).envs(env.iter().copied()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let mut log =
            BufReader::new(child.stderr.take().ok_or("standard error of the node is not captured")?).lines();
        let (mut addr, mut admin, mut last_line) = (None, None, String::new());
        while addr.is_none() {
            let Some(line) = log.next() else {
                let _ = child.wait();
                return Err(format!("the node ended before it listened: {last_line}").into());
            };
            last_line = line?;
            if let Some((_, text)) = last_line.split_once("administered on ") {
                admin = text.parse().ok();
            }
            if let Some((_, text)) = last_line.split_once("listens on ") {
                addr = text.parse().ok();
            }
        }
        std::thread::spawn(move || log.for_each(drop));
        std::thread::sleep(settle_time);
        Ok(NodeProcess { child, addr: addr.ok_or("the node logged no address")?, admin })
    }

    /// Returns memory in KiB from a field of `/proc/PID/status`: `VmRSS` for all resident memory, `RssAnon`
    /// for anonymous memory, `RssFile` for file pages such as code, which other processes may share.
    ///
    /// # Errors
    /// Fails if the process has ended or the field does not exist.
    pub fn memory_kib(&self, field: &str) -> Result<f64, Box<dyn Error>> {
        Ok(memory_kib_of(self.child.id(), field)?)
    }

    /// Returns the CPU time of the process's live threads in seconds, at the nanosecond resolution of the
    /// scheduler.
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn cpu_s(&self) -> Result<f64, Box<dyn Error>> {
        Ok(cpu_s_of(self.child.id())?)
    }
}

/// Returns the memory of a process in KiB, see [`NodeProcess::memory_kib`].
///
/// # Errors
/// Fails if the process has ended or the field does not exist.
pub fn memory_kib_of(id: u32, field: &str) -> std::io::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kib = line.map(|line| line.trim_start_matches(':').trim().trim_end_matches(" kB").trim());
    kib.and_then(|kib| kib.parse().ok())
        .ok_or_else(|| std::io::Error::other("no such field in /proc/PID/status"))
}

/// Returns the CPU time of a process in seconds, see [`NodeProcess::cpu_s`].
///
/// # Errors
/// Fails if the process has ended.
pub fn cpu_s_of(id: u32) -> std::io::Result<f64> {
    let mut total_s = 0.0;
    for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
        // A thread may end while the threads are listed.
        let Ok(text) = std::fs::read_to_string(thread?.path().join("schedstat")) else { continue };
        let run_ns = text.split_whitespace().next().and_then(|field| field.parse::<f64>().ok());
        total_s += run_ns.ok_or_else(|| std::io::Error::other("cannot parse schedstat"))? / 1e9;
    }
    Ok(total_s)
}

#[cfg(test)]
mod tests {
    use super::*;

    // The build of the deploy file leaves the platform build at the same path. Without this check every proof
    // failed with "BALANCER_CONFIG is not set".
    #[test]
    fn the_platform_build_is_refused_where_the_hosted_build_is_needed() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("woodgap");
        assert!(require_hosted_build(path.clone()).unwrap_err().to_string().contains("missing"));
        let mode: std::fs::Permissions = std::os::unix::fs::PermissionsExt::from_mode(0o755);
        for (version, is_hosted) in
            [("woodgap 0.2.0 (hosted)", true), ("woodgap 0.2.0 (platform)", false), ("", false)]
        {
            std::fs::write(folder.path().join("new"), format!("#!/bin/sh\necho '{version}'\n")).unwrap();
            std::fs::set_permissions(folder.path().join("new"), mode.clone()).unwrap();
            std::fs::rename(folder.path().join("new"), &path).unwrap();
            let found = require_hosted_build(path.clone());
            assert_eq!(found.is_ok(), is_hosted, "{version}: {found:?}");
            assert!(
                found.map_or_else(|e| e.to_string().contains("cargo build --release -p woodgap"), |_| true)
            );
        }
    }
}
