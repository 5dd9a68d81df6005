//! Hollow nodes: the control-plane code of `woodgap` without client and server sockets. A host process runs
//! many of them.
//!
//! ```text
//!   standard input ── HostCommand ─▶ host ─┬─ member: woodgap_fleet::Fleet on UDP
//!   standard output ◀─ HostNotice ─────────┼─ follower: woodgap::store::shared, woodgap_tenancy::Catalogue
//!                                          ├─ register: woodgap_zookeeper::register
//!                                          └─ ledger: woodgap_zookeeper::document
//! ```

pub mod follower;
pub mod member;
pub mod protocol;

use std::cell::Cell;
use std::io::{BufRead, Write};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use woodgap_zookeeper::document::{DocumentState, VersionedDocument};
use woodgap_zookeeper::register::{NodeRecord, Registration};
use woodgap_zookeeper::session::{SessionHandle, SessionSettings};

use super::error::ScaleError;
use follower::NotifyFn;
use member::{HollowMember, NetworkFaults};
use protocol::{now_us, HostCommand, HostNotice, HostReport};

/// Path in the coordination service where nodes register.
pub const NODES_PATH: &str = "/nodes";
/// Path in the coordination service of the ledger of drains.
pub const LEDGER_PATH: &str = "/permits";
/// Maximum number of seed members through which other members join.
pub const MAX_SEEDS: usize = 4;
/// Timeout of a hollow node's session with the coordination service.
const SESSION_TIMEOUT: Duration = Duration::from_secs(6);

/// Arguments of a host of hollow nodes.
#[derive(Args, Clone, Debug)]
pub struct HostArgs {
    /// Address of the coordination service.
    #[arg(long)]
    pub service: SocketAddr,
    /// IP address of the host's members; each region has one.
    #[arg(long)]
    pub ip: IpAddr,
    /// Names of the host's nodes.
    #[arg(long, value_delimiter = ',')]
    pub names: Vec<String>,
    /// Seed members through which the host's members join, as `NAME=ADDRESS`.
    #[arg(long, value_delimiter = ',')]
    pub seeds: Vec<String>,
    /// Share of sent datagrams that are dropped, from 0 to 1.
    #[arg(long = "lost", default_value_t = 0.0)]
    pub loss_share: f64,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

struct HollowNode {
    member: Rc<HollowMember>,
    revision: Arc<AtomicU64>,
    /// Keeps the session, the registration and the ledger watch open as long as the node exists.
    _service_handles: (SessionHandle, Registration, VersionedDocument),
}

/// Runs a host of hollow nodes until its standard input ends.
///
/// # Errors
/// When a socket, a thread or a runtime cannot be created.
pub fn run_host(args: HostArgs) -> Result<(), ScaleError> {
    fastrand::seed(args.seed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run(args))
}

fn parse_seed(text: &str) -> Option<(String, SocketAddr)> {
    let (name, addr) = text.split_once('=')?;
    Some((name.to_owned(), addr.parse().ok()?))
}

async fn run(args: HostArgs) -> Result<(), ScaleError> {
    let faults = Rc::new(NetworkFaults { loss_share: args.loss_share, regions_are_cut: Cell::new(false) });
    let mut seeds: Vec<(String, SocketAddr)> =
        args.seeds.iter().filter_map(|text| parse_seed(text)).collect();
    let notify: NotifyFn = Arc::new(print_notice);
    let mut nodes = Vec::new();
    for name in &args.names {
        let member = HollowMember::start(name, args.ip, &seeds, faults.clone()).await?;
        // The first host of a fleet has no seeds from outside; its own first members serve as seeds.
        if seeds.len() < MAX_SEEDS {
            seeds.push((name.clone(), member.addr));
        }
        nodes.push(start_node(name, member, args.service, &notify)?);
    }
    let listening = args.names.iter().cloned().zip(nodes.iter().map(|node| node.member.addr)).collect();
    print_notice(HostNotice::Listening(listening));
    let mut commands = read_commands();
    while let Some(command) = commands.recv().await {
        match command {
            HostCommand::Report => print_notice(HostNotice::Report(report(&nodes))),
            HostCommand::CutRegions(cut) => faults.regions_are_cut.set(cut),
        }
    }
    // The measuring process has ended or ends this host; there is nothing to clean up.
    std::process::exit(0)
}

fn start_node(
    name: &str,
    member: Rc<HollowMember>,
    service: SocketAddr,
    notify: &NotifyFn,
) -> Result<HollowNode, ScaleError> {
    let settings = SessionSettings {
        addresses: vec![service.to_string()],
        chroot: String::new(),
        digest: None,
        session_timeout: SESSION_TIMEOUT,
    };
    let service = SessionHandle::start(settings)?;
    let record = NodeRecord {
        address: member.addr.to_string(),
        protocols: vec!["http1".to_owned()],
        load: 0.0,
        started_ms: now_us() / 1_000,
        instance: format!("{name}-{}", now_us()),
    };
    let register = Registration::start(&service, format!("{NODES_PATH}/{name}"), record);
    let ledger = VersionedDocument::start(&service, LEDGER_PATH.to_owned());
    let revision = follower::start(&service, name.to_owned(), notify.clone())?;
    let (mut updates, node, notify) = (ledger.subscribe(), name.to_owned(), notify.clone());
    tokio::task::spawn_local(async move {
        let mut last_version = -1;
        while updates.changed().await.is_ok() {
            if let DocumentState::Document { version, stale: false, .. } = *updates.borrow_and_update() {
                if version > last_version {
                    last_version = version;
                    notify(HostNotice::Ledger { node: node.clone(), version, at_us: now_us() });
                }
            }
        }
    });
    Ok(HollowNode { member, revision, _service_handles: (service, register, ledger) })
}

fn report(nodes: &[HollowNode]) -> HostReport {
    let min_and_max = |value: &dyn Fn(&HollowNode) -> u64| {
        let values = nodes.iter().map(value);
        (values.clone().min().unwrap_or(0), values.max().unwrap_or(0))
    };
    let sum = |value: &dyn Fn(&HollowNode) -> u64| nodes.iter().map(value).sum();
    HostReport {
        nodes: nodes.len() as u64,
        datagrams: sum(&|node| node.member.fleet.borrow().counters().datagrams_sent),
        bytes: sum(&|node| node.member.fleet.borrow().counters().bytes_sent),
        alive: min_and_max(&|node| node.member.alive_members()),
        revisions: min_and_max(&|node| node.revision.load(Ordering::Relaxed)),
        deaths: sum(&|node| node.member.fleet.borrow().counters().deaths_detected),
    }
}

fn print_notice(notice: HostNotice) {
    let line = serde_json::to_string(&notice).unwrap_or_default();
    // A failed write means that the measuring process has ended; standard input, and with it this host, ends
    // too.
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}

/// Reads commands from standard input on a dedicated thread.
fn read_commands() -> tokio::sync::mpsc::UnboundedReceiver<HostCommand> {
    let (sender, commands) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(command) => {
                    if sender.send(command).is_err() {
                        return;
                    }
                }
                Err(error) => print_notice(HostNotice::Fault(format!("invalid command: {error}"))),
            }
        }
    });
    commands
}
