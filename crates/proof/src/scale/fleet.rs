//! The test fleet of a scale measurement: hollow nodes, real nodes, and the catalogue that they share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::catalogue::run_blocking;
use super::catalogue_writer::CatalogueWriter;
use super::error::ScaleError;
use super::hollow::protocol::now_us;
use super::hosts::{wait_until, HollowHosts};
use super::real_node::{wait_until_in_force, NodeConfig, RealNode};
use super::stand_in::StandIn;

/// Number of tenants in the catalogue of the fleet. The cost of a change does not depend on it, and 480
/// copies of a large catalogue do not fit in the machine's memory.
const TENANT_COUNT: usize = 100;
/// Time in which a change has to be in force at all hollow nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// The test fleet, which is stopped on drop.
pub struct ScaleFleet {
    /// Stand-in of the coordination service.
    pub stand_in: StandIn,
    /// Hosts of the hollow nodes.
    pub hosts: HollowHosts,
    /// Real nodes.
    pub real_nodes: Vec<RealNode>,
    writer: Option<CatalogueWriter>,
    last_revision: u64,
}

/// Propagation of a change to all nodes.
pub struct ChangePropagation {
    /// Revision of the change.
    pub revision: u64,
    /// Milliseconds from the start of the write until the change was in force, one value per node, sorted.
    pub latencies_ms: Vec<f64>,
}

impl ChangePropagation {
    /// Returns the latency at the last node, in milliseconds.
    pub fn max_latency_ms(&self) -> f64 {
        self.latencies_ms.last().copied().unwrap_or(0.0)
    }
}

impl ScaleFleet {
    /// Starts a fleet without nodes. `loss_share` is the share of datagrams that hollow members drop.
    ///
    /// # Errors
    /// When the stand-in does not start or the catalogue cannot be written.
    pub async fn start(loss_share: f64, seed: u64) -> Result<ScaleFleet, ScaleError> {
        let stand_in = StandIn::start().await?;
        let address = stand_in.addresses[0];
        let writer = run_blocking(move || {
            let mut writer = CatalogueWriter::open(address)?;
            let revision = writer.fill(TENANT_COUNT, &[])?;
            Ok((writer, revision))
        });
        let (writer, last_revision) = writer.await?;
        let hosts = HollowHosts::new(stand_in.addresses, loss_share, seed);
        Ok(ScaleFleet { stand_in, hosts, real_nodes: Vec::new(), writer: Some(writer), last_revision })
    }

    /// Starts real nodes. They join the fleet if it has hollow members.
    ///
    /// # Errors
    /// When a node does not start.
    pub async fn start_real(&mut self, count: usize) -> Result<(), ScaleError> {
        for _ in 0..count {
            let (name, service) = (format!("r{}", self.real_nodes.len()), self.stand_in.addresses[0]);
            let seeds = self.hosts.seeds().to_vec();
            let start = move || RealNode::start(&NodeConfig { name: &name, service, seeds: &seeds });
            self.real_nodes.push(run_blocking(start).await?);
        }
        Ok(())
    }

    /// Returns the number of running nodes, hollow and real.
    pub fn node_count(&self) -> u64 {
        (self.hosts.node_count() + self.real_nodes.len()) as u64
    }

    /// Waits until all members know one another and all nodes have the last revision in force. Returns the
    /// time until the members agreed.
    ///
    /// # Errors
    /// When this does not happen within `timeout`.
    pub async fn wait_until_converged(&mut self, timeout: Duration) -> Result<Duration, ScaleError> {
        let alive = self.node_count();
        let took = self.hosts.wait_for_agreement(alive, timeout).await?;
        let revision = self.last_revision();
        self.wait_for_revision(revision, timeout.saturating_sub(took).max(Duration::from_secs(1))).await?;
        Ok(took)
    }

    /// Returns the last revision that was written.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Writes a change. Returns its revision and the time at which the write started, in microseconds of Unix
    /// time.
    ///
    /// # Errors
    /// When the change is rejected.
    pub async fn write_change(&mut self) -> Result<(u64, u64), ScaleError> {
        let writer_lost = || ScaleError::Catalogue("the writer was lost in a failed write".into());
        let mut writer = self.writer.take().ok_or_else(writer_lost)?;
        let quota = (self.last_revision + 1) as f64;
        let started_us = now_us();
        let (writer, revision) = run_blocking(move || {
            let revision = writer.set_quota("t000000", quota)?;
            Ok((writer, revision))
        })
        .await?;
        (self.writer, self.last_revision) = (Some(writer), revision);
        Ok((revision, started_us))
    }

    /// Writes a change and waits until it is in force at all nodes.
    ///
    /// # Errors
    /// When the change is rejected, or not in force at all nodes in time.
    pub async fn propagate_change(&mut self) -> Result<ChangePropagation, ScaleError> {
        let (revision, started_us) = self.write_change().await?;
        self.wait_for_propagation(revision, started_us).await
    }

    /// Waits until a change is in force at all running nodes. `started_us` is the time at which its write
    /// started, in microseconds of Unix time.
    ///
    /// # Errors
    /// When the change is not in force at all nodes in time.
    pub async fn wait_for_propagation(
        &self,
        revision: u64,
        started_us: u64,
    ) -> Result<ChangePropagation, ScaleError> {
        let mut times_us = self.real_in_force(revision).await?;
        let hollow = self.hosts.node_count();
        let count = || {
            self.hosts.with_observations(|observed| observed.in_force.get(&revision).map_or(0, BTreeMap::len))
        };
        wait_until("a change to be in force at all hollow nodes", CHANGE_TIMEOUT, || async {
            count() >= hollow
        })
        .await?;
        times_us.extend(
            self.hosts
                .with_observations(|observed| observed.in_force.get(&revision).cloned().unwrap_or_default())
                .into_values(),
        );
        let mut latencies_ms: Vec<f64> =
            times_us.into_iter().map(|time_us| time_us.saturating_sub(started_us) as f64 / 1e3).collect();
        latencies_ms.sort_by(f64::total_cmp);
        Ok(ChangePropagation { revision, latencies_ms })
    }

    /// Waits until every running node, hollow or real, has this revision or a later one in force.
    ///
    /// # Errors
    /// When a node does not have it within `timeout`.
    pub async fn wait_for_revision(&mut self, revision: u64, timeout: Duration) -> Result<(), ScaleError> {
        let deadline = Instant::now() + timeout;
        loop {
            let reports = self.hosts.reports().await?;
            if reports.iter().all(|report| report.revisions.0 >= revision) {
                return self.real_in_force(revision).await.map(drop);
            }
            if Instant::now() >= deadline {
                let lowest = reports.iter().map(|report| report.revisions.0).min().unwrap_or(0);
                let condition = format!("revision {revision} at all nodes (lowest: {lowest})");
                return Err(ScaleError::Timeout { condition, seconds: timeout.as_secs() });
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until a revision is in force at all real nodes. Returns when that was at each, in microseconds
    /// of Unix time.
    async fn real_in_force(&self, revision: u64) -> Result<Vec<u64>, ScaleError> {
        let mut requests = JoinSet::new();
        for node in &self.real_nodes {
            let (admin, name) = (node.admin.clone(), node.name.clone());
            requests.spawn(async move { wait_until_in_force(&admin, &name, revision).await });
        }
        let mut times_us = Vec::new();
        while let Some(result) = requests.join_next().await {
            times_us.push(result.map_err(|error| ScaleError::Node(error.to_string()))??);
        }
        Ok(times_us)
    }
}
