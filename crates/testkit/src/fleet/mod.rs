//! A fleet of real node processes on loopback, with injected faults.
//!
//! ```text
//!                    ┌─ a TcpRelay per node ────────────▶ Coordination (stand-in)
//!   Rig ─ processes ─┼─ Switch (UDP) ───────────────────▶ each other          Scenario (TOML) ─▶ play ─▶ Rig
//!     │              └─ a TcpRelay per node and server ─▶ Backends                                   │
//!     └─ log lines of all nodes, the service's permit ledger, Timeline (SVG) ◀───────────────────────┘
//! ```
//!
//! Each process has its own configuration and its own link to each other process, so that any link can be
//! cut, slowed or made lossy in one direction or both. Dropping the rig ends all processes. Tests compare
//! what the nodes report in their administration API with what the rig knows itself: the running processes
//! and the permit ledger at the coordination service.

pub mod scenario;
pub mod timeline;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde::Deserialize;
use serde_json::Value;
use woodgap_permits::{Ledger, PermitPhase};

use crate::admin::Admin;
use crate::backend::{Backend, ServerBehavior};
use crate::coordination::wire::Coordination;
use crate::hosted::{write_tokens, OPERATOR_SECRET};
use crate::links::{LinkFaults, Switch, TcpRelay};
use timeline::Timeline;

/// Maximum number of log lines that are kept for all nodes; the oldest are discarded.
pub const MAX_LOG_LINES: usize = 200_000;
/// Time limit for a process to listen, and for a new fleet to converge.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The size, settings and seed of a fleet. Fields that are settings of the nodes bear the names of the
/// settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSpec {
    /// Number of nodes; they are named `n1`, `n2` and so on.
    pub nodes: usize,
    /// The zones, assigned to the nodes in turn.
    pub zones: Vec<String>,
    /// Number of stand-in servers; each node reaches each server over a link of its own.
    pub servers: usize,
    /// The interval between failure-detection probes, in milliseconds.
    pub interval_ms: u64,
    /// Whether the nodes have a `[fleet]` section. Without it a registered node counts as up.
    pub fleet: bool,
    /// Whether datagrams between nodes are authenticated with keys.
    pub keys: bool,
    /// Whether the nodes have a `[permits]` section.
    pub permits: bool,
    /// Maximum number of nodes that are out at once, as a count or a percentage.
    pub most_out: String,
    /// Maximum number of nodes of a zone that are out at once, if zones have a budget.
    pub zone_most_out: Option<String>,
    /// Minimum number of nodes that stay up.
    pub least_up: u32,
    /// How long a returned node has to stay up before its permit is released, in seconds.
    pub hold_s: u32,
    /// How long a granted permit waits for its node to start the drain, in seconds.
    pub act_s: u32,
    /// How long a node waits for a permit after a stop signal, in seconds.
    pub wait_s: u32,
    /// If set, the nodes have a `[permits.servers]` section with this `alone_s`, in seconds.
    pub alone_s: Option<u32>,
    /// The maximum duration of a request (`longest_s` of `[permits.servers]`), in seconds.
    pub longest_s: u32,
    /// The timeout of sessions with the coordination service, in milliseconds.
    pub session_ms: u64,
    /// The seed of the random link faults.
    pub seed: u64,
}

impl Default for FleetSpec {
    fn default() -> Self {
        FleetSpec {
            nodes: 3,
            zones: vec!["a".to_owned()],
            servers: 0,
            interval_ms: 100,
            fleet: true,
            keys: true,
            permits: true,
            most_out: "1".to_owned(),
            zone_most_out: None,
            least_up: 1,
            hold_s: 1,
            act_s: 5,
            wait_s: 60,
            alone_s: None,
            longest_s: 1,
            session_ms: 4_000,
            seed: 1,
        }
    }
}

/// A log line of a node's process.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// When the line was read, since the start of the rig.
    pub at: Duration,
    /// The name of the node.
    pub node: String,
    /// The text of the line.
    pub line: String,
}

/// The process of a node; killed when dropped.
struct Process {
    child: Child,
    /// Whether the process is paused by SIGSTOP.
    paused: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A node of the fleet, running or not.
struct FleetNode {
    folder: tempfile::TempDir,
    zone: String,
    process: Option<Process>,
    /// The link to the coordination service.
    service: TcpRelay,
    /// The links to the servers.
    servers: Vec<TcpRelay>,
    listen_addr: Option<SocketAddr>,
    admin_addr: Option<SocketAddr>,
}

type Log = Arc<Mutex<Vec<LogLine>>>;

/// A fleet of node processes with its links, stand-in servers and stand-in coordination service.
pub struct Rig {
    /// The specification of the fleet.
    pub spec: FleetSpec,
    /// The stand-in coordination service.
    pub service: Coordination,
    /// The stand-in servers.
    pub backends: Vec<Backend>,
    /// Relays the datagrams between the nodes.
    pub switch: Switch,
    /// When each node was running and out by a permit, and the signals that it received.
    pub timeline: Timeline,
    nodes: BTreeMap<String, FleetNode>,
    program: PathBuf,
    start: Instant,
    log: Log,
    /// The ports of the switch, by the node that each leads to.
    ports: BTreeMap<String, SocketAddr>,
}

/// Why an operation of the rig failed, or which condition of a scenario does not hold.
pub type RigError = Box<dyn std::error::Error + Send + Sync>;

/// The name of the node with this index, from 0.
pub fn node_name(index: usize) -> String {
    format!("n{}", index + 1)
}

fn wait_until_listening(
    child: &mut Child,
    node: &str,
    log: &Log,
    start: Instant,
) -> Result<ListenAddresses, RigError> {
    let stderr = child.stderr.take().ok_or("the process has no stderr pipe")?;
    let (sender, receiver) = std::sync::mpsc::channel();
    let (log, node) = (log.clone(), node.to_owned());
    std::thread::spawn(move || {
        let mut found = ListenAddresses::default();
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let addr_after = |text: &str| line.split_once(text).and_then(|(_, at)| at.parse().ok());
            found.fleet = found.fleet.or(addr_after("is one of a fleet at "));
            found.admin = found.admin.or(addr_after("is administered on "));
            if let Some(addr) = addr_after("listens on ") {
                found.addr = Some(addr);
                let _ = sender.send(found.clone());
            }
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            if log.len() >= MAX_LOG_LINES {
                log.drain(..MAX_LOG_LINES / 10);
            }
            log.push(LogLine { at: start.elapsed(), node: node.clone(), line });
        }
    });
    receiver.recv_timeout(START_TIMEOUT).map_err(|_| "the process did not listen in time; see its log".into())
}

#[derive(Clone, Debug, Default)]
struct ListenAddresses {
    addr: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    fleet: Option<SocketAddr>,
}

impl Rig {
    /// Prepares a fleet without starting its nodes. `program` is the path of `woodgap`.
    ///
    /// # Errors
    /// If a port or a folder cannot be created.
    pub async fn new(program: &Path, spec: FleetSpec) -> Result<Rig, RigError> {
        let service = Coordination::start("127.0.0.1:0".parse()?).await?;
        let mut switch = Switch::new(spec.seed);
        let mut backends = Vec::new();
        for _ in 0..spec.servers {
            backends.push(Backend::start(ServerBehavior::Serve(Duration::from_millis(2))).await?);
        }
        let (mut nodes, mut ports) = (BTreeMap::new(), BTreeMap::new());
        for index in 0..spec.nodes {
            let seed = spec.seed.wrapping_add(index as u64);
            let mut servers = Vec::new();
            for backend in &backends {
                servers.push(TcpRelay::start(backend.addr, seed).await?);
            }
            let node = FleetNode {
                folder: tempfile::tempdir()?,
                zone: spec.zones.get(index % spec.zones.len().max(1)).cloned().unwrap_or_default(),
                process: None,
                service: TcpRelay::start(service.addr, seed).await?,
                servers,
                listen_addr: None,
                admin_addr: None,
            };
            write_tokens(&node.folder.path().join("tokens.toml"))?;
            ports.insert(node_name(index), switch.add_port(&node_name(index)).await?);
            nodes.insert(node_name(index), node);
        }
        let start = Instant::now();
        let (timeline, log) = (Timeline::new(start), Log::default());
        let program = program.to_owned();
        let rig = Rig { spec, service, backends, switch, timeline, nodes, program, start, log, ports };
        for node in rig.node_names() {
            rig.write_keys(&node, "1 0123456789abcdef0123456789abcdef")?;
            rig.configure(&node, |_| {})?;
        }
        Ok(rig)
    }

    /// Prepares a fleet, starts all nodes and waits until the fleet has converged.
    ///
    /// # Errors
    /// If a node does not start, or the fleet does not converge in time.
    pub async fn launch(program: &Path, spec: FleetSpec) -> Result<Rig, RigError> {
        let mut rig = Rig::new(program, spec).await?;
        for node in rig.node_names() {
            rig.start(&node)?;
        }
        rig.wait_until_converged(START_TIMEOUT).await?;
        Ok(rig)
    }

    /// Waits until each running node sees exactly the running nodes alive and ready, and all are on the
    /// ledger's roster.
    ///
    /// # Errors
    /// After this time, the differences that remain.
    pub async fn wait_until_converged(&self, within: Duration) -> Result<(), RigError> {
        let running = self.running();
        let deadline = Instant::now() + within;
        loop {
            let mut problems = Vec::new();
            for node in &running {
                let alive = self.alive_members(node).await;
                if self.spec.fleet && alive.as_ref() != Some(&running) {
                    problems.push(format!("{node} sees {alive:?} alive"));
                }
            }
            let roster: BTreeSet<String> = self.ledger().roster.into_keys().collect();
            if self.spec.permits && !running.is_subset(&roster) {
                problems.push(format!("the roster is {roster:?}"));
            }
            if problems.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(format!("the fleet has not converged: {}", problems.join("; ")).into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The members that a node sees alive and ready; `None` if it does not respond.
    pub async fn alive_members(&self, node: &str) -> Option<BTreeSet<String>> {
        let view = self.view(node).await?;
        let members = view.get("members")?.as_array()?.clone();
        let ready = |member: &&Value| member["life"] == "alive" && member["phase"] == "ready";
        Some(members.iter().filter(ready).filter_map(|m| Some(m["name"].as_str()?.to_owned())).collect())
    }

    /// A node's view of the fleet (`/v1/fleet`); `None` if it does not respond.
    pub async fn view(&self, node: &str) -> Option<Value> {
        let admin = self.admin(node)?;
        let response = tokio::time::timeout(Duration::from_millis(500), admin.get("fleet")).await;
        response.ok()?.ok().filter(|response| response.status == 200).map(|response| response.body)
    }

    /// An administration client of a running node, with the operator's token.
    pub fn admin(&self, node: &str) -> Option<Admin> {
        let fleet_node = self.nodes.get(node).filter(|fleet_node| fleet_node.process.is_some())?;
        Some(Admin { addr: fleet_node.admin_addr?, secret: OPERATOR_SECRET.to_owned() })
    }

    /// The address at which a running node accepts requests.
    pub fn addr(&self, node: &str) -> Option<SocketAddr> {
        self.nodes.get(node).filter(|fleet_node| fleet_node.process.is_some())?.listen_addr
    }

    /// The folder of a node's configuration, tokens and keys.
    pub fn folder(&self, node: &str) -> Option<&Path> {
        Some(self.nodes.get(node)?.folder.path())
    }

    /// The names of all nodes.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// The names of the nodes whose processes run and are not paused.
    pub fn running(&self) -> BTreeSet<String> {
        let runs =
            |fleet_node: &FleetNode| fleet_node.process.as_ref().is_some_and(|process| !process.paused);
        self.nodes.iter().filter(|(_, fleet_node)| runs(fleet_node)).map(|(name, _)| name.clone()).collect()
    }

    /// The permit ledger at the coordination service; empty if there is none.
    pub fn ledger(&self) -> Ledger {
        let found = self.service.node("/permits");
        found.and_then(|(text, _)| serde_json::from_slice(&text).ok()).unwrap_or_default()
    }

    /// The phase of a node's permit in the ledger at the coordination service.
    pub fn permit_phase(&self, node: &str) -> Option<PermitPhase> {
        self.ledger().permit_of(node).map(|permit| permit.phase)
    }

    /// The log lines of all nodes, in time order.
    pub fn log(&self) -> String {
        let mut entries = self.log.lock().unwrap_or_else(PoisonError::into_inner).clone();
        entries.sort_by_key(|entry| entry.at);
        entries.iter().fold(String::new(), |mut text, LogLine { at, node, line }| {
            let _ = writeln!(text, "{:9.3} {node} {line}", at.as_secs_f64());
            text
        })
    }

    /// Whether a log line of a node contains this text.
    pub fn log_contains(&self, node: &str, text: &str) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().any(|entry| entry.node == node && entry.line.contains(text))
    }

    /// The time of the first log line of a node, at or after `from`, that contains this text. Times count
    /// from the start of the rig.
    pub fn first_logged_at(&self, node: &str, text: &str, from: Duration) -> Option<Duration> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let entries = log.iter().filter(|entry| entry.at >= from && entry.node == node);
        entries.filter(|entry| entry.line.contains(text)).map(|entry| entry.at).min()
    }

    /// Time since the start of the rig.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Number of log lines of all nodes that contain this text.
    pub fn count_log_lines(&self, text: &str) -> usize {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|entry| entry.line.contains(text)).count()
    }

    /// Writes a node's key file. A node reads it at its start and at SIGHUP.
    ///
    /// # Errors
    /// If there is no such node, or the file cannot be written.
    pub fn write_keys(&self, node: &str, keys: &str) -> Result<(), RigError> {
        let path = self.node(node)?.folder.path().join("fleet.keys");
        std::fs::write(&path, keys)?;
        Ok(std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600))?)
    }

    /// Writes a node's configuration by the fleet's specification with a change. It takes effect at the next
    /// start.
    ///
    /// # Errors
    /// If there is no such node, or the file cannot be written.
    pub fn configure(&self, node: &str, change: impl FnOnce(&mut FleetSpec)) -> Result<(), RigError> {
        let fleet_node = self.node(node)?;
        let mut spec = self.spec.clone();
        change(&mut spec);
        let toml_value = |text: &str| if text.ends_with('%') { format!("'{text}'") } else { text.to_owned() };
        let mut text = format!(
            "name = '{node}'\nnodes = {}\n[limits]\nsockets = 256\n[[listen]]\nname = 'public'\n\
            address = '127.0.0.1:0'\n[store]\npath = 'catalogue.redb'\n[admin]\nlisten = '127.0.0.1:0'\n\
            token_file = 'tokens.toml'\n[zookeeper]\naddresses = ['{}']\nsession_ms = {}\n\
            [zookeeper.register]\npath = '/nodes'\n",
            spec.nodes, fleet_node.service.addr, spec.session_ms
        );
        if spec.fleet {
            let _ = writeln!(text, "[fleet]\nlisten = '127.0.0.1:0'\nzone = '{}'", fleet_node.zone);
            let _ = writeln!(text, "interval_ms = {}", spec.interval_ms);
            if spec.keys {
                text += "keys_file = 'fleet.keys'\n";
            }
            text += "[fleet.peers]\n";
            for (other, port) in self.ports.iter().filter(|(other, _)| *other != node) {
                let _ = writeln!(text, "{other} = '{port}'");
            }
        }
        if spec.permits {
            let _ = writeln!(text, "[permits]\npath = '/permits'\nzone = '{}'", fleet_node.zone);
            let _ = writeln!(text, "most_out = {}\nleast_up = {}", toml_value(&spec.most_out), spec.least_up);
            if let Some(most) = &spec.zone_most_out {
                let _ = writeln!(text, "zone_most_out = {}", toml_value(most));
            }
            let FleetSpec { hold_s, act_s, wait_s, .. } = spec;
            let _ = writeln!(text, "hold_s = {hold_s}\nact_s = {act_s}\nwait_s = {wait_s}");
            if let Some(alone) = spec.alone_s {
                let _ = writeln!(text, "[permits.servers]\nfile = 'drains.json'\nalone_s = {alone}");
                let _ = writeln!(text, "longest_s = {}", spec.longest_s);
            }
        }
        Ok(std::fs::write(fleet_node.folder.path().join("hosted.toml"), text)?)
    }

    fn node(&self, node: &str) -> Result<&FleetNode, RigError> {
        self.nodes.get(node).ok_or_else(|| format!("there is no node {node}").into())
    }

    fn node_mut(&mut self, node: &str) -> Result<&mut FleetNode, RigError> {
        self.nodes.get_mut(node).ok_or_else(|| format!("there is no node {node}").into())
    }

    /// Starts a node's process and waits until it listens.
    ///
    /// # Errors
    /// If the node runs already, or does not start.
    pub fn start(&mut self, node: &str) -> Result<(), RigError> {
        if self.node(node)?.process.is_some() {
            return Err(format!("{node} is already running").into());
        }
        let mut command = Command::new(&self.program);
        command.args(["serve", "--config"]).arg(self.node(node)?.folder.path().join("hosted.toml"));
        command.env_remove("BALANCER_CONFIG").stdin(Stdio::null()).stderr(Stdio::piped());
        let child = command.spawn().map_err(|error| format!("{}: {error}", self.program.display()))?;
        let mut process = Process { child, paused: false };
        let (log, start) = (self.log.clone(), self.start);
        let found = wait_until_listening(&mut process.child, node, &log, start)
            .map_err(|error| format!("{node}: {error}\n{}", self.log()))?;
        if let Some(addr) = found.fleet {
            self.switch.set_address(node, addr);
        }
        let fleet_node = self.node_mut(node)?;
        (fleet_node.process, fleet_node.listen_addr, fleet_node.admin_addr) =
            (Some(process), found.addr, found.admin);
        self.timeline.set_running(node, true);
        Ok(())
    }

    fn signal(&mut self, node: &str, signal: Signal) -> Result<(), RigError> {
        let fleet_node = self.node_mut(node)?;
        let process = fleet_node.process.as_mut().ok_or_else(|| format!("{node} is not running"))?;
        process.paused = match signal {
            Signal::STOP => true,
            Signal::CONT => false,
            _ => process.paused,
        };
        let pid = Pid::from_raw(process.child.id() as i32).ok_or("no process id")?;
        kill_process(pid, signal)?;
        self.timeline.add_event(node, &format!("{signal:?}"));
        Ok(())
    }

    /// Sends SIGTERM to a node.
    ///
    /// # Errors
    /// If the node is not running.
    pub fn terminate(&mut self, node: &str) -> Result<(), RigError> {
        self.signal(node, Signal::TERM)
    }

    /// Sends SIGHUP to a node, which makes it reload its keys.
    ///
    /// # Errors
    /// If the node is not running.
    pub fn hangup(&mut self, node: &str) -> Result<(), RigError> {
        self.signal(node, Signal::HUP)
    }

    /// Sends SIGKILL to a node and waits for the end of its process.
    ///
    /// # Errors
    /// If the node is not running.
    pub fn kill(&mut self, node: &str) -> Result<(), RigError> {
        self.signal(node, Signal::KILL)?;
        let fleet_node = self.node_mut(node)?;
        if let Some(mut process) = fleet_node.process.take() {
            process.child.wait()?;
        }
        self.timeline.set_running(node, false);
        Ok(())
    }

    /// Sends SIGSTOP to a node: the process does not run, and its sockets stay open.
    ///
    /// # Errors
    /// If the node is not running.
    pub fn pause(&mut self, node: &str) -> Result<(), RigError> {
        self.signal(node, Signal::STOP)?;
        self.timeline.set_running(node, false);
        Ok(())
    }

    /// Sends SIGCONT to a paused node.
    ///
    /// # Errors
    /// If the node is not running.
    pub fn resume(&mut self, node: &str) -> Result<(), RigError> {
        self.signal(node, Signal::CONT)?;
        self.timeline.set_running(node, true);
        Ok(())
    }

    /// The exit status of a node's process if it has ended by itself. It is returned once; then the node
    /// counts as not running.
    pub fn exit_status(&mut self, node: &str) -> Option<ExitStatus> {
        let fleet_node = self.nodes.get_mut(node)?;
        let status = fleet_node.process.as_mut()?.child.try_wait().ok().flatten()?;
        fleet_node.process = None;
        self.timeline.set_running(node, false);
        Some(status)
    }

    /// The identifier of the session that registered a node.
    pub fn session(&self, node: &str) -> Option<i64> {
        self.service.ephemeral_owners("/nodes").into_iter().find(|(name, _)| name == node).map(|(_, id)| id)
    }

    /// Replaces the faults of the links from each node of one group to each of another, or in both
    /// directions.
    pub fn set_link_faults(
        &self,
        from_nodes: &[String],
        to_nodes: &[String],
        faults: LinkFaults,
        one_way: bool,
    ) {
        for (from, to) in from_nodes.iter().flat_map(|from| to_nodes.iter().map(move |to| (from, to))) {
            self.switch.set_faults(from, to, faults);
            if !one_way {
                self.switch.set_faults(to, from, faults);
            }
        }
    }

    /// Replaces the faults of a node's link to the coordination service (`up`) and back (`down`).
    ///
    /// # Errors
    /// If there is no such node.
    pub fn set_service_faults(&self, node: &str, up: LinkFaults, down: LinkFaults) -> Result<(), RigError> {
        self.node(node)?.service.set_faults(up, down);
        Ok(())
    }

    /// Redirects a node to another address of the same coordination service, where its session continues.
    ///
    /// # Errors
    /// If there is no such node, or no address can be bound.
    pub async fn move_session(&mut self, node: &str) -> Result<(), RigError> {
        let addr = self.service.add_listener().await?;
        self.node(node)?.service.redirect(addr);
        Ok(())
    }

    /// Replaces the faults of a node's link to a server (`up`) and back (`down`).
    ///
    /// # Errors
    /// If there is no such node or server.
    pub fn set_server_faults(
        &self,
        node: &str,
        server: usize,
        up: LinkFaults,
        down: LinkFaults,
    ) -> Result<(), RigError> {
        let link = self.node(node)?.servers.get(server).ok_or("there is no such server")?;
        link.set_faults(up, down);
        Ok(())
    }

    /// The address at which a node reaches a server: that of the link.
    pub fn server_addr(&self, node: &str, server: usize) -> Option<SocketAddr> {
        Some(self.nodes.get(node)?.servers.get(server)?.addr)
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        self.switch.clear_faults();
        for fleet_node in self.nodes.values() {
            fleet_node.service.set_faults(LinkFaults::default(), LinkFaults::default());
            fleet_node
                .servers
                .iter()
                .for_each(|link| link.set_faults(LinkFaults::default(), LinkFaults::default()));
        }
    }

    /// Records in the timeline which nodes are out by the ledger. Returns how many are out by permits that
    /// were not forced.
    pub fn sample(&mut self) -> usize {
        let ledger = self.ledger();
        let out = ledger.permits.iter().filter(|permit| permit.phase != PermitPhase::Asked);
        let holders: BTreeSet<String> = out.clone().map(|permit| permit.holder.clone()).collect();
        self.timeline.set_out(&holders);
        out.filter(|permit| permit.forced.is_none()).count()
    }
}
