//! One node of the load balancer, on real sockets: see `deploy/balancer.toml`.
//!
//! The node decides nothing. It turns what happens on its sockets into the module's events and
//! carries out the module's actions.
#![forbid(unsafe_code)]

mod clients;
mod config;
mod conn;
mod discovery;
mod driver;
mod exchange;
mod log;
mod peers;
mod request;
mod servers;
mod task;

use std::error::Error;
use std::process::ExitCode;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

use clients::Clients;
use config::Config;
use driver::{Driver, Msg};
use peers::Peers;
use servers::Servers;
use task::Budget;

/// Descriptors that are not sockets of clients or servers: the standard ones, the runtime's, the
/// listener, discovery, the peers' socket, and some that the system has not closed yet.
const RESERVE: usize = 24;
/// Connections past the budget that are told so at a time.
const OVERFLOW: usize = 16;
/// Clients' part of the sockets: requests in flight need as many to servers, and clients keep idle
/// connections too.
const CLIENTS: f64 = 0.6;
/// A request held may have a whole body and a whole answer in memory; half of it is for them.
const HELD_BYTES: usize = 4 * exchange::LONGEST_BODY;

async fn run(config: Config, path: String) -> Result<(), Box<dyn Error>> {
    // Before the node is ready: an unhandled SIGHUP ends the process.
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(config.listen).await?;
    let listen = listener.local_addr()?;
    let peers = match config.peer_listen {
        Some(listen) => Some(Peers::bind(listen, config.peers.clone(), config.peers_all).await?),
        None => None,
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let all = config.sockets.saturating_sub(RESERVE + OVERFLOW).max(2);
    let servers = Servers::new(config.figures.clone(), Budget::new(all));
    let mut driver = Driver::new(&config, servers.clone(), peers.clone(), tx.clone());
    driver.start(&config.known);
    let clients = Clients::new(
        config.settings,
        config.names,
        config.figures.open_cap.min((config.memory / HELD_BYTES).max(1)),
        servers,
        (Budget::new((all as f64 * CLIENTS) as usize), Budget::new(OVERFLOW)),
        tx.clone(),
    );
    if let Some(peers) = peers {
        let tx = tx.clone();
        spawn_local(async move {
            loop {
                let (from, data) = peers.next().await;
                let _ = tx.send(Msg::Peer { from, data });
            }
        });
    }
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match read(&path).and_then(|text| config::discovery_of(&text)) {
                Ok(addr) => {
                    log::line(format_args!("configuration read again: discovery at {addr}"));
                    let _ = tx.send(Msg::Discovery(addr));
                }
                Err(error) => log::line(format_args!("configuration kept: {error}")),
            }
        }
    });
    let driver = spawn_local(driver.run(rx));
    let acceptor = spawn_local(clients.clone().accept(listener));
    log::line(format_args!("{} listens on {listen}", config.name));
    let serve = async {
        term.recv().await;
        log::line(format_args!("{} drains", config.name));
        clients.drain().await;
    };
    // Without its driver or acceptor a node answers nobody; the platform starts a new one.
    tokio::select! {
        () = serve => Ok(()),
        ended = driver => Err(format!("the driver ended: {ended:?}").into()),
        ended = acceptor => Err(format!("the acceptor ended: {ended:?}").into()),
    }
}

fn read(path: &str) -> Result<String, Box<dyn Error>> {
    Ok(std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?)
}

fn start() -> Result<(), Box<dyn Error>> {
    let env: std::collections::HashMap<String, String> = std::env::vars_os()
        .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)))
        .collect();
    let path = env.get("BALANCER_CONFIG").ok_or("BALANCER_CONFIG is not set")?;
    let config = Config::read(&read(path)?, &env)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(run(config, path.clone())))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap: {error}");
            ExitCode::FAILURE
        }
    }
}
