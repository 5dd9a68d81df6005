//! The hosted node: many tenants, changed through the administration API while traffic flows.
//!
//! ```text
//!   control thread                                data thread
//!   admin API ─▶ Control: Catalogue, Store ──Command──▶ directory::Tenants ─▶ pools
//!                    ▲                      ◀──done────      │
//!                    └────────────── drained uid ────────────┘
//!   listeners ───────────────────────────────────▶ front ────┘
//! ```
//!
//! A change is durable first, then carried out by the data thread, and only then answered: who has its
//! answer can count on it. The data thread never waits for a disk or an administrator.

pub mod config;
pub(crate) mod directory;

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, LocalSet};
use woodgap_tenancy::Uid;

use crate::admin;
use crate::control::{self, Control};
use crate::front::http1::Clients;
use crate::platform::{CLIENTS, HELD_BYTES, OVERFLOW, RESERVE};
use crate::sockets::Sockets;
use crate::store::Store;
use crate::task::Budget;
use config::HostedConfig;
use directory::{Standing, Tenants, View};

/// What tenants share on this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Nodes that share the tenants' traffic.
    pub nodes: u32,
    /// Requests held at a time.
    pub held: usize,
    /// Bytes of request bodies held at a time.
    pub body_bytes: usize,
    /// Client connections.
    pub connections: usize,
    /// A pool that nobody used for this long is let go.
    pub pool_idle: Duration,
    /// For random choices.
    pub seed: u64,
}

/// What the data thread is told.
pub(crate) enum Command {
    /// Tenants as the catalogue has them now; answered once that is carried out.
    Update(Vec<View>, oneshot::Sender<()>),
    /// How a tenant stands.
    Standing(Uid, oneshot::Sender<Option<Standing>>),
}

/// Where a node that runs can be reached.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Its listeners by name.
    pub listeners: Vec<(String, SocketAddr)>,
    /// Its administration API.
    pub admin: Option<SocketAddr>,
}

/// Serves until `stop` is done, then lets what was taken finish. Calls `ready` once it listens.
///
/// # Errors
/// Says which address cannot be used, why the store cannot be read, or which part of the node ended.
pub async fn serve(
    config: HostedConfig,
    mut store: Box<dyn Store>,
    stop: impl std::future::Future<Output = ()>,
    ready: impl FnOnce(Addresses),
) -> Result<(), Box<dyn Error>> {
    let tokens =
        config.admin.as_ref().map(|admin| admin::auth::Tokens::read(&admin.token_file)).transpose()?;
    let catalogue = store.load().map_err(|error| format!("{}: {error}", config.store.display()))?;
    let mut listeners = Vec::new();
    let mut addresses = Addresses { listeners: Vec::new(), admin: None };
    for listen in &config.listen {
        let bound = TcpListener::bind(listen.address).await;
        let bound = bound.map_err(|e| format!("listen '{}' at {}: {e}", listen.name, listen.address))?;
        addresses.listeners.push((listen.name.clone(), bound.local_addr()?));
        listeners.push((listen.name.clone(), bound));
    }
    let admin = match &config.admin {
        Some(admin) => {
            let bound = std::net::TcpListener::bind(admin.listen);
            let bound = bound.map_err(|e| format!("admin at {}: {e}", admin.listen))?;
            bound.set_nonblocking(true)?;
            addresses.admin = Some(bound.local_addr()?);
            Some(bound)
        }
        None => None,
    };
    let admin_sockets = config.admin.as_ref().map_or(0, |admin| admin.connections + 8);
    let all = config.sockets.saturating_sub(RESERVE + OVERFLOW + admin_sockets).max(4);
    let connections = ((all as f64 * CLIENTS) as usize).max(1);
    // Each request held may need a socket to a server.
    let held = config.held.min(all - connections).min((config.memory / HELD_BYTES).max(1));
    let bounds = Bounds {
        nodes: config.nodes,
        held,
        body_bytes: config.memory / 8,
        connections,
        pool_idle: config.pool_idle,
        seed: config.seed,
    };
    let sockets = Sockets::new(all);
    let (drained, gone) = mpsc::unbounded_channel();
    let tenants = Tenants::new(bounds, sockets.clone(), drained);
    let budgets = (Budget::new(connections), Budget::new(OVERFLOW));
    let clients = Clients::new(tenants.clone(), true, sockets, budgets);
    tenants.serve(&clients);
    control::views(&catalogue).for_each(|view| tenants.update(view));

    let (plane, mut commands) = mpsc::unbounded_channel();
    let control = Control::new(catalogue, store, plane);
    let mut control = control::start(control, gone, admin.zip(tokens), config.admin.clone())?;
    let obey = {
        let tenants = tenants.clone();
        spawn_local(async move {
            while let Some(command) = commands.recv().await {
                match command {
                    Command::Update(views, done) => {
                        views.into_iter().for_each(|view| tenants.update(view));
                        let _ = done.send(());
                    }
                    Command::Standing(uid, reply) => {
                        let tenants = tenants.clone();
                        spawn_local(async move { drop(reply.send(tenants.standing(uid).await)) });
                    }
                }
            }
        })
    };
    for (name, listener) in listeners {
        spawn_local(clients.clone().accept(listener, name.into()));
    }
    ready(addresses);
    tokio::select! {
        () = stop => clients.drain().await,
        _ = obey => return Err("the control thread ended".into()),
        why = control.ended() => return Err(format!("the control thread ended: {why}").into()),
    }
    Ok(())
}

/// A node on a thread of its own.
pub struct Running {
    /// Where it can be reached.
    pub addresses: Addresses,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<Result<(), String>>>,
}

/// Starts a node on a thread of its own; it serves until it is dropped or stopped.
///
/// # Errors
/// As [`serve`].
pub fn spawn(config: HostedConfig, store: Box<dyn Store>) -> Result<Running, String> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (ready, addresses) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let runtime = runtime().map_err(|error| error.to_string())?;
        let stop = async move { drop(stopped.await) };
        let serve = serve(config, store, stop, move |addresses| drop(ready.send(addresses)));
        runtime.block_on(LocalSet::new().run_until(serve)).map_err(|error| error.to_string())
    });
    match addresses.recv() {
        Ok(addresses) => Ok(Running { addresses, stop: Some(stop), thread: Some(thread) }),
        Err(_) => Err(match thread.join() {
            Ok(Err(error)) => error,
            _ => "the node ended".to_owned(),
        }),
    }
}

/// The runtime of a node: one thread for all of the data path.
pub(crate) fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

impl Running {
    /// Has the node finish what it took, and waits for its end.
    ///
    /// # Errors
    /// Why it ended, if not for this.
    pub fn stop(mut self) -> Result<(), String> {
        self.end()
    }

    fn end(&mut self) -> Result<(), String> {
        drop(self.stop.take());
        match self.thread.take().map(std::thread::JoinHandle::join) {
            Some(Ok(ended)) => ended,
            Some(Err(_)) => Err("the node's thread panicked".to_owned()),
            None => Ok(()),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.end();
    }
}
