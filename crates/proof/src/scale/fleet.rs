//! The fleet of a scale run: hollow nodes, real ones beside them, a catalogue that they share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::catalogue::blocking;
use super::error::ScaleError;
use super::hollow::protocol::now_us;
use super::hosts::{until, Hosts};
use super::nodes::{NodeConfig, RealNode};
use super::stand_in::StandIn;
use super::writer::Writer;

/// Tenants of the catalogue that hollow nodes hold: what a change costs does not depend on them, and 480 copies of a
/// large one do not fit in the machine.
const TENANTS: usize = 100;
/// For a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(30);

/// The fleet, until it is dropped.
pub struct ScaleFleet {
    /// The coordination service.
    pub stand_in: StandIn,
    /// Hollow nodes.
    pub hosts: Hosts,
    /// Real ones.
    pub real: Vec<RealNode>,
    writer: Option<Writer>,
    written: u64,
}

/// When a change was in force: at each node, milliseconds after its write was begun.
pub struct Spread {
    /// Its revision.
    pub revision: u64,
    /// Sorted; one a node.
    pub ms: Vec<f64>,
}

impl Spread {
    /// Until it was in force at the last node.
    pub fn last(&self) -> f64 {
        self.ms.last().copied().unwrap_or(0.0)
    }
}

impl ScaleFleet {
    /// A fleet without nodes; members lose this part of their datagrams.
    ///
    /// # Errors
    /// Where the stand-in does not start.
    pub async fn start(lost: f64, seed: u64) -> Result<ScaleFleet, ScaleError> {
        let stand_in = StandIn::start().await?;
        let address = stand_in.addresses[0];
        let writer = blocking(move || {
            let mut writer = Writer::open(address)?;
            let revision = writer.fill(TENANTS, &[])?;
            Ok((writer, revision))
        });
        let (writer, written) = writer.await?;
        let hosts = Hosts::new(stand_in.addresses, lost, seed);
        Ok(ScaleFleet { stand_in, hosts, real: Vec::new(), writer: Some(writer), written })
    }

    /// Starts real nodes, which are members too where hollow ones are there to join.
    ///
    /// # Errors
    /// Where one does not start.
    pub async fn start_real(&mut self, count: usize) -> Result<(), ScaleError> {
        for _ in 0..count {
            let (name, service) = (format!("r{}", self.real.len()), self.stand_in.addresses[0]);
            let seeds = self.hosts.seeds().to_vec();
            let start = move || RealNode::start(&NodeConfig { name: &name, service, seeds: &seeds });
            self.real.push(blocking(start).await?);
        }
        Ok(())
    }

    /// Nodes of both kinds.
    pub fn nodes(&self) -> u64 {
        (self.hosts.nodes() + self.real.len()) as u64
    }

    /// Waits until all members know one another and all hold the catalogue; how long that took.
    ///
    /// # Errors
    /// Where they do not within this time.
    pub async fn together(&mut self, within: Duration) -> Result<Duration, ScaleError> {
        let alive = self.nodes();
        let took = self.hosts.agreed(alive, within).await?;
        let revision = self.revision();
        self.latest(revision, within.saturating_sub(took).max(Duration::from_secs(1))).await?;
        Ok(took)
    }

    /// The last revision that was written.
    pub fn revision(&self) -> u64 {
        self.written
    }

    /// Writes a change; its revision, and when that was begun, in microseconds of Unix time.
    ///
    /// # Errors
    /// Where it is refused.
    pub async fn write(&mut self) -> Result<(u64, u64), ScaleError> {
        let gone = || ScaleError::Catalogue("its writer is gone".into());
        let mut writer = self.writer.take().ok_or_else(gone)?;
        let quota = (self.written + 1) as f64;
        let begun = now_us();
        let (writer, revision) = blocking(move || {
            let revision = writer.set_quota("t000000", quota)?;
            Ok((writer, revision))
        })
        .await?;
        (self.writer, self.written) = (Some(writer), revision);
        Ok((revision, begun))
    }

    /// Writes a change and waits until it is in force at all nodes.
    ///
    /// # Errors
    /// Where it is refused, or not in force everywhere in time.
    pub async fn change(&mut self) -> Result<Spread, ScaleError> {
        let (revision, begun) = self.write().await?;
        self.spread(revision, begun).await
    }

    /// Waits until a change is in force at all nodes that run now.
    ///
    /// # Errors
    /// Where it is not in time.
    pub async fn spread(&self, revision: u64, begun: u64) -> Result<Spread, ScaleError> {
        let mut at = self.real_in_force(revision).await?;
        let hollow = self.hosts.nodes();
        let count = || self.hosts.told(|told| told.in_force.get(&revision).map_or(0, BTreeMap::len));
        until("a change in force everywhere", IN_FORCE, || async { count() >= hollow }).await?;
        at.extend(
            self.hosts.told(|told| told.in_force.get(&revision).cloned().unwrap_or_default()).into_values(),
        );
        let mut ms: Vec<f64> = at.into_iter().map(|at| at.saturating_sub(begun) as f64 / 1e3).collect();
        ms.sort_by(f64::total_cmp);
        Ok(Spread { revision, ms })
    }

    /// Waits until every hollow node that runs has this revision or a later one in force, and every real one.
    ///
    /// # Errors
    /// Where one has not within this time.
    pub async fn latest(&mut self, revision: u64, within: Duration) -> Result<(), ScaleError> {
        let end = Instant::now() + within;
        loop {
            let reports = self.hosts.reports().await?;
            if reports.iter().all(|report| report.revisions.0 >= revision) {
                return self.real_in_force(revision).await.map(drop);
            }
            if Instant::now() >= end {
                let least = reports.iter().map(|report| report.revisions.0).min().unwrap_or(0);
                let what = format!("revision {revision} at all nodes (the last one has {least})");
                return Err(ScaleError::Late { what, seconds: within.as_secs() });
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn real_in_force(&self, revision: u64) -> Result<Vec<u64>, ScaleError> {
        let mut asked = JoinSet::new();
        for node in &self.real {
            let (admin, name) = (node.admin.clone(), node.name.clone());
            asked.spawn(async move { super::nodes::in_force(&admin, &name, revision).await });
        }
        let mut at = Vec::new();
        while let Some(answer) = asked.join_next().await {
            at.push(answer.map_err(|error| ScaleError::Node(error.to_string()))??);
        }
        Ok(at)
    }
}
