//! Host processes of hollow nodes, as the measuring process controls them: start, commands, reports,
//! termination by process ID.

mod reports;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::error::ScaleError;
use super::hollow::protocol::{HostCommand, HostReport};
use super::hollow::MAX_SEEDS;
use super::observations::{self, HostObservations};

/// Time in which a host has to listen, or to reply to a command.
const HOST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which awaited conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// IP addresses of the members of the two regions, both on loopback.
pub const REGION_IPS: [IpAddr; 2] =
    [IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1)), IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2))];

/// A host process.
struct Host {
    child: Child,
    command_input: Option<ChildStdin>,
    node_names: Vec<String>,
    region: usize,
    report: Arc<Mutex<Option<HostReport>>>,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All host processes, which are killed on drop.
pub struct HollowHosts {
    /// Address of the coordination service for each region.
    services: [SocketAddr; 2],
    loss_share: f64,
    seed: u64,
    hosts: Vec<Host>,
    observations: Arc<Mutex<HostObservations>>,
    seeds: Vec<(String, SocketAddr)>,
    /// Number of the next node to be started.
    next_node: usize,
}

impl HollowHosts {
    /// Creates an empty set of hosts. `services` has the address of the coordination service for each region,
    /// and `loss_share` is the share of datagrams that members drop.
    pub fn new(services: [SocketAddr; 2], loss_share: f64, seed: u64) -> HollowHosts {
        HollowHosts {
            services,
            loss_share,
            seed,
            hosts: Vec::new(),
            observations: Arc::default(),
            seeds: Vec::new(),
            next_node: 0,
        }
    }

    /// Calls `access` with everything observed from the notices of the hosts.
    pub fn with_observations<T>(&self, access: impl FnOnce(&mut HostObservations) -> T) -> T {
        access(&mut self.observations.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the number of running hollow nodes.
    pub fn node_count(&self) -> usize {
        self.hosts.iter().map(|host| host.node_names.len()).sum()
    }

    /// Returns the names of the running hollow nodes.
    pub fn node_names(&self) -> BTreeSet<String> {
        self.hosts.iter().flat_map(|host| host.node_names.iter().cloned()).collect()
    }

    /// Returns the number of running host processes.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the seed members through which other members, including real nodes, join the fleet.
    pub fn seeds(&self) -> &[(String, SocketAddr)] {
        &self.seeds
    }

    /// Starts host processes, alternating between the regions, and waits until their members listen.
    ///
    /// # Errors
    /// When a host does not start.
    pub async fn start(&mut self, hosts: usize, nodes_per_host: usize) -> Result<(), ScaleError> {
        let first_new = self.hosts.len();
        for _ in 0..hosts {
            let node_names = (0..nodes_per_host).map(|n| format!("h{:04}", self.next_node + n)).collect();
            self.next_node += nodes_per_host;
            self.spawn_host(node_names, self.hosts.len() % REGION_IPS.len())?;
            // The members of the first hosts are the seeds of all later ones, so their addresses must be known.
            if self.seeds.len() < MAX_SEEDS {
                self.wait_until_listening(self.hosts.len() - 1..self.hosts.len()).await?;
                self.update_seeds();
            }
        }
        self.wait_until_listening(first_new..self.hosts.len()).await
    }

    fn update_seeds(&mut self) {
        self.seeds = self
            .with_observations(|observations| observations.listening.clone())
            .into_iter()
            .take(MAX_SEEDS)
            .collect();
    }

    fn spawn_host(&mut self, node_names: Vec<String>, region: usize) -> Result<(), ScaleError> {
        let seeds: Vec<String> = self.seeds.iter().map(|(name, addr)| format!("{name}={addr}")).collect();
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").args(["--service", &self.services[region].to_string()]);
        command.args(["--ip", &REGION_IPS[region].to_string(), "--lost", &self.loss_share.to_string()]);
        command.args([
            "--names",
            &node_names.join(","),
            "--seed",
            &self.seed.wrapping_add(self.next_node as u64).to_string(),
        ]);
        if !seeds.is_empty() {
            command.args(["--seeds", &seeds.join(",")]);
        }
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| ScaleError::Host("its standard output is not available".into()))?;
        let (command_input, observations, report) =
            (child.stdin.take(), self.observations.clone(), Arc::new(Mutex::new(None)));
        let received_report = report.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                observations::record_line(&observations, &received_report, &line);
            }
        });
        self.hosts.push(Host { child, command_input, node_names, region, report });
        Ok(())
    }

    async fn wait_until_listening(&self, range: std::ops::Range<usize>) -> Result<(), ScaleError> {
        let names: Vec<&String> = self.hosts[range].iter().flat_map(|host| &host.node_names).collect();
        let all_listen = || {
            self.with_observations(|observations| {
                names.iter().all(|name| observations.listening.contains_key(*name))
            })
        };
        wait_until("all hosts to listen", HOST_TIMEOUT, || async { all_listen() }).await
    }

    /// Kills up to `count` hosts of a region, or of any region for `None`. Returns the names of their nodes.
    pub fn kill(&mut self, count: usize, region: Option<usize>) -> Vec<String> {
        let seeds: Vec<String> = self.seeds.iter().map(|(name, _)| name.clone()).collect();
        let mut killed = Vec::new();
        let mut remaining = count;
        // Hosts of seed members keep running, so that new members can join.
        self.hosts.retain(|host| {
            let is_in_region = region.is_none_or(|region| region == host.region);
            let is_killed =
                remaining > 0 && is_in_region && !host.node_names.iter().any(|name| seeds.contains(name));
            if is_killed {
                remaining -= 1;
                killed.extend(host.node_names.iter().cloned());
            }
            !is_killed
        });
        killed
    }

    /// Kills all hosts and clears the seeds and all observations.
    pub fn kill_all(&mut self) {
        self.hosts.clear();
        self.seeds.clear();
        self.with_observations(|observations| *observations = HostObservations::default());
    }

    fn send_command(&mut self, command: &HostCommand) -> Result<(), ScaleError> {
        let line = serde_json::to_string(command).unwrap_or_default();
        for host in &mut self.hosts {
            let closed = || ScaleError::Host("its standard input is closed".into());
            writeln!(host.command_input.as_mut().ok_or_else(closed)?, "{line}").map_err(|_| closed())?;
        }
        Ok(())
    }

    /// Starts or stops dropping all datagrams between the regions.
    ///
    /// # Errors
    /// When a host has ended.
    pub fn cut_regions(&mut self, cut: bool) -> Result<(), ScaleError> {
        self.send_command(&HostCommand::CutRegions(cut))
    }
}

/// Polls a condition until it holds. `condition` describes the condition in the error.
///
/// # Errors
/// When the condition does not hold within `timeout`.
pub async fn wait_until<F: std::future::Future<Output = bool>>(
    condition: &str,
    timeout: Duration,
    mut is_met: impl FnMut() -> F,
) -> Result<(), ScaleError> {
    let deadline = Instant::now() + timeout;
    while !is_met().await {
        if Instant::now() >= deadline {
            return Err(ScaleError::Timeout { condition: condition.to_owned(), seconds: timeout.as_secs() });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
