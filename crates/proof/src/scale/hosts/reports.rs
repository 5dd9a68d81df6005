//! Reports of the hosts of hollow nodes, the agreement of their members and their use of resources.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::super::error::ScaleError;
use super::super::hollow::protocol::{HostCommand, HostReport};
use super::{wait_until, HollowHosts, HOST_TIMEOUT, POLL_INTERVAL};

impl HollowHosts {
    /// Requests and returns the report of each host.
    ///
    /// # Errors
    /// When a host has ended or does not reply in time.
    pub async fn reports(&mut self) -> Result<Vec<HostReport>, ScaleError> {
        let slots: Vec<_> = self.hosts.iter().map(|host| host.report.clone()).collect();
        let get = |slot: &Arc<Mutex<Option<HostReport>>>| {
            slot.lock().unwrap_or_else(PoisonError::into_inner).clone()
        };
        for slot in &slots {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
        self.send_command(&HostCommand::Report)?;
        wait_until("reports of all hosts", HOST_TIMEOUT, || async {
            slots.iter().all(|slot| get(slot).is_some())
        })
        .await?;
        Ok(slots.iter().filter_map(get).collect())
    }

    /// Waits until every hollow member considers exactly `alive` members alive, and returns the time that this took.
    ///
    /// # Errors
    /// When the members do not agree within `timeout`.
    pub async fn wait_for_agreement(
        &mut self,
        alive: u64,
        timeout: Duration,
    ) -> Result<Duration, ScaleError> {
        let start = Instant::now();
        loop {
            let reports = self.reports().await?;
            if reports.iter().all(|report| report.alive == (alive, alive)) {
                return Ok(start.elapsed());
            }
            if start.elapsed() >= timeout {
                let min = reports.iter().map(|report| report.alive.0).min().unwrap_or(0);
                let max = reports.iter().map(|report| report.alive.1).max().unwrap_or(0);
                let condition = format!("{alive} members alive at every node (last: {min} to {max})");
                return Err(ScaleError::Timeout { condition, seconds: timeout.as_secs() });
            }
            tokio::time::sleep(POLL_INTERVAL * 5).await;
        }
    }

    /// Returns the CPU time of all hosts in seconds and their private memory (`RssAnon`) in KiB.
    ///
    /// # Errors
    /// When a host has ended.
    pub fn usage(&self) -> Result<(f64, f64), ScaleError> {
        let mut usage = (0.0, 0.0);
        for host in &self.hosts {
            let pid = host.child.id();
            usage.0 += crate::process::cpu_s_of(pid)?;
            usage.1 += crate::process::memory_kib_of(pid, "RssAnon")?;
        }
        Ok(usage)
    }
}
