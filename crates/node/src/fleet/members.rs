//! Gossip membership of the fleet over UDP: runs the [`woodgap_fleet`] state machine on a socket and a clock,
//! and publishes a [`FleetView`] for permits, server drains and the administration API.
//!
//! ```text
//!   socket ─▶ Fleet::receive ────────┐                        ┌▶ socket
//!   clock ──▶ Fleet::tick ───────────┼▶ Fleet::next_action ───┤
//!   FleetMembership::report_phase ───┘                        └▶ log, FleetView
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use woodgap_fleet::wire::{GossipKeys, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_ZONE_BYTES};
use woodgap_fleet::{
    Fleet, GossipAction, GossipSettings, LifecyclePhase, LocalStatus, MemberState, MembershipEvent,
    NodeMetadata, MAX_EJECTED_MARKS,
};

/// Refresh interval of the published view when nothing changes, since the view holds elapsed times.
const VIEW_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of further datagrams read before timers run.
const MAX_DATAGRAMS_PER_READ: usize = 64;
/// Maximum number of queued commands from this node.
const MAX_QUEUED_COMMANDS: usize = 16;

/// Settings of `[fleet]` in the operator's configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// UDP address to bind; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Address that other nodes send datagrams to, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The zone of this node.
    pub zone: Option<String>,
    /// Names and addresses of the seed peers.
    pub peers: Vec<(String, SocketAddr)>,
    /// File with the gossip keys.
    pub keys_file: Option<PathBuf>,
    /// Interval between probes, each of one other node.
    pub probe_interval: Duration,
}

impl FleetConfig {
    /// Default of `probe_interval`.
    pub const DEFAULT_PROBE_INTERVAL: Duration = Duration::from_millis(500);

    /// Describes a node name or zone that is too long for a datagram, if there is one.
    pub fn length_error(&self, name: &str) -> Option<String> {
        if name.len() > MAX_NAME_BYTES {
            return Some(format!(
                "fleet: the node's name has {} bytes: {MAX_NAME_BYTES} at most",
                name.len()
            ));
        }
        let zone = self.zone.as_deref().unwrap_or_default();
        (zone.len() > MAX_ZONE_BYTES)
            .then(|| format!("fleet.zone has {} bytes: {MAX_ZONE_BYTES} at most", zone.len()))
    }

    fn keys(&self) -> Result<GossipKeys, String> {
        self.keys_file.as_deref().map_or(Ok(GossipKeys::none()), read_keys)
    }

    fn settings(&self) -> GossipSettings {
        let defaults = GossipSettings::default();
        let interval = self.probe_interval.as_millis() as u64;
        let scaled = |time: u64| (time * interval / defaults.probe_interval).max(1);
        GossipSettings {
            probe_interval: interval,
            probe_timeout: scaled(defaults.probe_timeout),
            gossip_interval: scaled(defaults.gossip_interval),
            isolation_timeout: scaled(defaults.isolation_timeout),
            ..defaults
        }
    }
}

/// Reads a key file; files that others can read are refused.
fn read_keys(path: &Path) -> Result<GossipKeys, String> {
    use std::os::unix::fs::MetadataExt;
    let location = path.display();
    let mode =
        std::fs::metadata(path).map_err(|error| format!("fleet.keys_file {location}: {error}"))?.mode();
    if mode & 0o077 != 0 {
        return Err(format!("fleet.keys_file {location}: others can read it; chmod 0600 {location}"));
    }
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("fleet.keys_file {location}: {error}"))?;
    GossipKeys::parse(&text).map_err(|error| format!("fleet.keys_file {location}: {error}"))
}

/// Status of one member, as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// Name of the node.
    pub name: String,
    /// Zone; empty if the node has none.
    pub zone: String,
    /// Program version.
    pub version: String,
    /// Digest of the configuration, in hexadecimal.
    pub config: String,
    /// Role in the fleet.
    pub role: String,
    /// Lifecycle phase.
    pub phase: LifecyclePhase,
    /// State that failure detection assigns to the node.
    pub life: MemberState,
    /// Time since `life` last changed, in milliseconds.
    pub since_ms: u64,
    /// Start time in Unix milliseconds by the clock of that node.
    pub boot_ms: u64,
    /// Incarnation number of the latest metadata.
    pub incarnation: u64,
    /// Names of the nodes that suspect it.
    pub suspected_by: Vec<String>,
    /// Whether this is the local node or a datagram arrived from it directly; other nodes' reports can be
    /// outdated.
    pub heard: bool,
    /// Number of the last drain order up to which the node has completed all orders.
    pub done: u32,
    /// Marks of the servers that the node ejects; 0 is an unused slot.
    pub ejects: [u16; MAX_EJECTED_MARKS],
}

/// Snapshot of the fleet, as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetView {
    /// Name of this node.
    pub me: String,
    /// `alone`, `together`, `catching` (catching up after a pause or a disconnection) or `isolated`.
    pub standing: &'static str,
    /// All known members ordered by name, including dead ones.
    pub members: Vec<MemberStatus>,
    /// Number of dropped datagrams by reason.
    pub dropped: BTreeMap<String, u64>,
    /// Lifeguard local health score of this node, 0 (healthy) to 8.
    pub doubt: u32,
}

impl FleetView {
    /// Names of the nodes that are alive and ready; `None` while this node is isolated or catching up.
    /// Suspected nodes do not count as serving.
    pub fn serving_nodes(&self) -> Option<BTreeSet<String>> {
        if !matches!(self.standing, "together" | "alone") {
            return None;
        }
        let serves =
            |line: &&MemberStatus| line.life == MemberState::Alive && line.phase == LifecyclePhase::Ready;
        Some(self.members.iter().filter(serves).map(|line| line.name.clone()).collect())
    }
}

/// Command of this node to its gossip task.
enum GossipCommand {
    Phase(LifecyclePhase),
    CompletedOrder(u32),
    EjectedMarks([u16; MAX_EJECTED_MARKS]),
    Keys(GossipKeys),
    Leave(tokio::sync::oneshot::Sender<()>),
}

/// Handle of the task that runs this node's gossip membership.
#[derive(Clone)]
pub struct FleetMembership {
    view: watch::Receiver<FleetView>,
    commands: mpsc::Sender<GossipCommand>,
    keys_file: Option<PathBuf>,
    settings: GossipSettings,
}

impl FleetMembership {
    /// Joins the fleet and runs gossip in a local task until the node stops.
    ///
    /// # Errors
    /// Returns a message if the address or the keys cannot be used.
    pub async fn start(config: &FleetConfig, name: &str, digest: u32) -> Result<FleetMembership, String> {
        let keys = config.keys()?;
        let socket = UdpSocket::bind(config.listen).await;
        let socket = socket.map_err(|error| format!("fleet.listen {}: {error}", config.listen))?;
        let addr = socket.local_addr().map_err(|error| error.to_string())?;
        tracing::info!("{name} is one of a fleet at {addr}");
        let metadata = NodeMetadata {
            boot: crate::control::now_ms(),
            addr: config.advertise.unwrap_or(addr),
            zone: config.zone.clone().unwrap_or_default(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            config: digest,
            role: "node".to_owned(),
            phase: LifecyclePhase::Starting,
            completed_order: 0,
            ejected_marks: [0; MAX_EJECTED_MARKS],
        };
        let seeds = config.peers.iter().map(|(name, addr)| (Arc::from(name.as_str()), *addr)).collect();
        let fleet = Fleet::new(0, name, metadata, seeds, keys, config.settings(), fastrand::u64(..));
        let (view_sender, view) = watch::channel(fleet_view(&fleet, 0));
        let (commands, queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
        tokio::task::spawn_local(run(fleet, socket, view_sender, queue));
        Ok(FleetMembership {
            view,
            commands,
            keys_file: config.keys_file.clone(),
            settings: config.settings(),
        })
    }

    /// Watches this node's view of the fleet.
    pub fn view(&self) -> watch::Receiver<FleetView> {
        self.view.clone()
    }

    /// Publishes this node's lifecycle phase.
    pub async fn report_phase(&self, phase: LifecyclePhase) {
        let _ = self.commands.send(GossipCommand::Phase(phase)).await;
    }

    /// Publishes the number of the last drain order up to which this node has completed all orders.
    pub async fn report_completed_order(&self, done: u32) {
        let _ = self.commands.send(GossipCommand::CompletedOrder(done)).await;
    }

    /// Publishes the marks of the servers that this node ejects.
    pub async fn report_ejected_marks(&self, ejects: [u16; MAX_EJECTED_MARKS]) {
        let _ = self.commands.send(GossipCommand::EjectedMarks(ejects)).await;
    }

    /// Maximum time, in milliseconds, until a node among `members` nodes notices that it hears from no other
    /// node.
    pub fn max_suspicion_ms(&self, members: usize) -> u64 {
        self.settings.max_suspicion_duration(members)
    }

    /// Announces that this node leaves, and waits until the announcement was sent.
    pub async fn leave(&self) {
        let (done, sent) = tokio::sync::oneshot::channel();
        if self.commands.send(GossipCommand::Leave(done)).await.is_ok() {
            let _ = sent.await;
        }
    }

    /// Reloads the key file; on an error the previous keys stay in use. Returns `false` if no file is
    /// configured.
    ///
    /// # Errors
    /// Returns a message if the key file cannot be used.
    pub async fn reload(&self) -> Result<bool, String> {
        let Some(path) = &self.keys_file else { return Ok(false) };
        let keys = read_keys(path)?;
        let _ = self.commands.send(GossipCommand::Keys(keys)).await;
        Ok(true)
    }
}

/// Takes a snapshot of the fleet at `now`, in milliseconds since the start of the gossip task.
fn fleet_view(fleet: &Fleet, now: u64) -> FleetView {
    let status = |(name, member): (&Arc<str>, &woodgap_fleet::ClusterMember)| MemberStatus {
        name: name.to_string(),
        zone: member.metadata.zone.clone(),
        version: member.metadata.version.clone(),
        config: format!("{:08x}", member.metadata.config),
        role: member.metadata.role.clone(),
        phase: member.metadata.phase,
        life: member.state,
        since_ms: now.saturating_sub(member.state_since),
        boot_ms: member.metadata.boot,
        incarnation: member.incarnation,
        suspected_by: member.suspected_by.iter().map(|by| by.to_string()).collect(),
        heard: member.last_heard > 0 || name == fleet.local_name(),
        done: member.metadata.completed_order,
        ejects: member.metadata.ejected_marks,
    };
    let standing = match fleet.local_status() {
        LocalStatus::Alone => "alone",
        LocalStatus::Connected => "together",
        LocalStatus::CatchingUp => "catching",
        LocalStatus::Isolated { .. } => "isolated",
    };
    let dropped = |(reason, count): (&woodgap_fleet::wire::DropReason, &u64)| {
        (format!("{reason:?}").to_lowercase(), *count)
    };
    FleetView {
        me: fleet.local_name().to_string(),
        standing,
        members: fleet.members().map(status).collect(),
        dropped: fleet.counters().datagrams_dropped.iter().map(dropped).collect(),
        doubt: fleet.local_health(),
    }
}

/// Logs a membership event that concerns operators.
fn log_event(fleet: &Fleet, event: &MembershipEvent) {
    let has_left =
        |name: &str| fleet.member(name).is_some_and(|member| member.metadata.phase == LifecyclePhase::Out);
    let log = |text: String| tracing::info!("fleet: {text}");
    match event {
        MembershipEvent::Died(name) if has_left(name) => log(format!("{name} has left the fleet")),
        MembershipEvent::Died(name) => {
            log(format!("{name} is dead: it answered no probe and did not refute the suspicion"))
        }
        MembershipEvent::Recovered(name) => log(format!("{name} is alive again")),
        MembershipEvent::Suspected(name) => log(format!("{name} is suspected")),
        MembershipEvent::Isolated => {
            log("this node receives nothing from other nodes and considers itself isolated".to_owned())
        }
        MembershipEvent::Reconnected => log("other nodes are reachable again".to_owned()),
        MembershipEvent::NameConflict => {
            log("another process uses this node's name: stop one of them".to_owned())
        }
        MembershipEvent::Paused(ms) => log(format!("this node did not run for {ms} ms")),
        MembershipEvent::Clock(what) => log(what.to_string()),
        MembershipEvent::Joined(_)
        | MembershipEvent::Changed(_)
        | MembershipEvent::Forgotten(_)
        | MembershipEvent::Refuted => {}
    }
}

/// Runs the gossip state machine until every sender of commands is dropped.
async fn run(
    mut fleet: Fleet,
    socket: UdpSocket,
    view: watch::Sender<FleetView>,
    mut commands: mpsc::Receiver<GossipCommand>,
) {
    let start = Instant::now();
    let now = || start.elapsed().as_millis() as u64;
    // One byte more than the maximum, so that a datagram that is too long is detected.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut refreshed_at = start;
    loop {
        let wake = start + Duration::from_millis(fleet.next_wake());
        let (mut changed, mut leave_sent) = (false, None);
        tokio::select! {
            command = commands.recv() => {
                changed = true;
                match command {
                    Some(GossipCommand::Phase(phase)) => fleet.update_metadata(|metadata| metadata.phase = phase),
                    Some(GossipCommand::EjectedMarks(ejects)) => {
                        fleet.update_metadata(|metadata| metadata.ejected_marks = ejects);
                    }
                    Some(GossipCommand::CompletedOrder(done)) => {
                        fleet.update_metadata(|metadata| metadata.completed_order = done);
                    }
                    Some(GossipCommand::Keys(keys)) => fleet.replace_keys(keys),
                    Some(GossipCommand::Leave(done)) => {
                        fleet.leave();
                        leave_sent = Some(done);
                    }
                    None => return,
                }
            }
            read = socket.recv(&mut buffer) => {
                // An error reports that an earlier datagram could not be delivered (ICMP); there is no
                // datagram to read.
                if let Ok(length) = read {
                    fleet.receive(now(), &buffer[..length]);
                }
                for _ in 0..MAX_DATAGRAMS_PER_READ {
                    let Ok(length) = socket.try_recv(&mut buffer) else { break };
                    fleet.receive(now(), &buffer[..length]);
                }
            }
            () = tokio::time::sleep_until(wake.min(refreshed_at + VIEW_REFRESH_INTERVAL)) => {}
        }
        fleet.tick(now());
        changed |= refreshed_at.elapsed() >= VIEW_REFRESH_INTERVAL;
        while let Some(action) = fleet.next_action() {
            match action {
                // A datagram that cannot be sent now is dropped; the protocol tolerates loss.
                GossipAction::Send(to, bytes) => drop(socket.try_send_to(&bytes, to)),
                GossipAction::Notify(event) => {
                    log_event(&fleet, &event);
                    changed = true;
                }
            }
        }
        if changed {
            refreshed_at = Instant::now();
            view.send_replace(fleet_view(&fleet, now()));
        }
        if let Some(done) = leave_sent {
            let _ = done.send(());
        }
    }
}
