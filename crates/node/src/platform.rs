//! The platform's node: one tenant with one pool, configured by the file that `BALANCER_CONFIG` names. See
//! `deploy/balancer.toml`.
//!
//! The node makes no balancing decisions. It turns what happens on its sockets into events of the decision
//! module and carries out the module's actions.

mod limits;
mod single_pool;

use std::collections::HashMap;
use std::error::Error;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

use crate::config::{self, Config, ConfigError};
use crate::front::http1::ListenerSettings;
use crate::front::manager::ConnectionManager;
use crate::peers::PeerSocket;
use crate::pool::driver::{Driver, DriverMessage};
use crate::sockets::SocketBudget;
use crate::system::retry_at_startup;
use crate::task::LocalSemaphore;
use crate::upstream::servers::Servers;
#[cfg(feature = "hosted")]
pub(crate) use limits::{BYTES_PER_REQUEST, RESERVED_DESCRIPTORS};
pub(crate) use limits::{CLIENT_SOCKET_SHARE, OVERFLOW_CONNECTIONS};
use single_pool::{RequestLimits, SinglePool};

/// Runs the node with the configuration at `path` until SIGTERM, then drains it.
async fn serve(path: String, env: HashMap<String, String>) -> Result<(), Box<dyn Error>> {
    // Handlers are installed before the configuration is read: an unhandled SIGHUP ends the process, and one
    // that comes later must have the file read again.
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let config = Config::read(&read(&path)?, &env)?;
    let listener = retry_at_startup("the listener", || TcpListener::bind(config.listen)).await?;
    let listen = listener.local_addr()?;
    let peers = match config.peer_listen {
        Some(listen) => {
            let bind = || PeerSocket::bind(listen, config.peers.clone(), config.peers_all);
            Some(retry_at_startup("the socket for peers", bind).await?)
        }
        None => None,
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let total_sockets = limits::max_sockets(config.sockets, config.memory);
    let sockets = SocketBudget::new(total_sockets);
    let servers = Servers::new(config.upstream_settings.clone(), sockets.clone(), None);
    let mut driver =
        Driver::new(&config.settings, config.seed, Some(config.discovery), servers, peers.clone(), &tx, None);
    driver.start(&config.known);
    let retry_after = config.settings.advises_retry_after;
    let request_limits =
        RequestLimits::new(config.upstream_settings.open_cap, limits::request_memory(config.memory));
    let clients = ConnectionManager::new(
        SinglePool::new(config.settings, config.names, request_limits, tx.clone()),
        retry_after,
        sockets,
        (
            LocalSemaphore::new((total_sockets as f64 * CLIENT_SOCKET_SHARE) as usize),
            LocalSemaphore::new(OVERFLOW_CONNECTIONS),
        ),
        config.memory,
    );
    if let Some(peers) = peers {
        let tx = tx.clone();
        spawn_local(async move {
            loop {
                let (from, data) = peers.receive().await;
                let _ = tx.send(DriverMessage::PeerMessage { from, data });
            }
        });
    }
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match read(&path).and_then(|text| config::parse_discovery_address(&text)) {
                Ok(addr) => {
                    tracing::info!("configuration reloaded: discovery at {addr}");
                    let _ = tx.send(DriverMessage::DiscoveryMoved(addr));
                }
                Err(error) => tracing::info!("configuration not reloaded: {error}"),
            }
        }
    });
    let driver = spawn_local(driver.run(rx));
    let acceptor = spawn_local(clients.clone().accept_http1(listener, ListenerSettings::plain_tcp("")));
    tracing::info!("{} listens on {listen}", config.name);
    let drain = async {
        term.recv().await;
        tracing::info!("{} drains", config.name);
        clients.drain().await;
    };
    // Without its driver or acceptor a node answers no requests, so it ends and the platform starts a new
    // one.
    tokio::select! {
        () = drain => Ok(()),
        ended = driver => Err(format!("the driver ended: {ended:?}").into()),
        ended = acceptor => Err(format!("the acceptor ended: {ended:?}").into()),
    }
}

fn read(path: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::File { path: path.to_owned(), source })
}

/// Version text of a program built without the feature `hosted`. The proof programs distinguish the builds by
/// the word in parentheses, which is `hosted` in a program with that feature.
const VERSION: &str = concat!("woodgap ", env!("CARGO_PKG_VERSION"), " (platform)");

/// Parses the arguments of a program that contains only the platform's node: `true` starts the node, `false`
/// prints the version.
///
/// # Errors
/// Returns a message for any other arguments.
fn wants_node(args: &[String]) -> Result<bool, String> {
    match args {
        [] => Ok(true),
        [flag] if flag == "--version" || flag == "-V" => Ok(false),
        [first, ..] => Err(format!(
            "'{first}' is a command of the hosted node, and this program was built without the feature `hosted`: \
            build it again with `cargo build --release -p woodgap`. Without arguments it runs the platform's node, \
            configured by BALANCER_CONFIG"
        )),
    }
}

/// Entry point of a program that contains only the platform's node.
pub fn run() -> std::process::ExitCode {
    let args: Vec<String> = std::env::args_os().skip(1).map(|arg| arg.to_string_lossy().into()).collect();
    let result = wants_node(&args).map_err(Into::into).and_then(|node| match node {
        true => start(),
        false => {
            println!("{VERSION}");
            Ok(())
        }
    });
    match result {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}

/// Runs the node that `BALANCER_CONFIG` and the other `BALANCER_` variables configure, until SIGTERM.
///
/// # Errors
/// Returns which setting is missing or invalid, which file cannot be read, or which task of the node ended.
pub fn start() -> Result<(), Box<dyn Error>> {
    let env: HashMap<String, String> = std::env::vars_os()
        .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)))
        .collect();
    let path = env.get("BALANCER_CONFIG").cloned().ok_or(
        "BALANCER_CONFIG is not set: it names the configuration of the platform's node (a hosted one is started by \
        `woodgap serve --config FILE`)",
    )?;
    crate::telemetry::start(crate::telemetry::LogFormat::Text);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(serve(path, env)))
}

#[cfg(test)]
mod tests {
    use super::*;

    // A proof run once started a program built without the feature `hosted`, and only got "BALANCER_CONFIG is
    // not set".
    #[test]
    fn program_without_hosted_feature_names_it_for_hosted_commands() {
        let args = |line: &str| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
        assert_eq!(wants_node(&[]), Ok(true));
        assert_eq!(wants_node(&args("--version")), Ok(false));
        let error = wants_node(&args("serve --config x.toml")).unwrap_err();
        assert!(error.contains("'serve'") && error.contains("cargo build --release -p woodgap`"), "{error}");
    }
}
