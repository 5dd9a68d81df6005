//! The hosted node: serves many tenants, which the administration API changes while traffic flows.
//!
//! ```text
//!   control thread                                data thread
//!   admin API ─▶ Control: Catalogue, Store ──Command──▶ directory::Tenants ─▶ pools
//!                    ▲                      ◀──done────      │
//!                    └────────────── drained Uid ────────────┘
//!   listeners ───────────────────────────────────▶ front ────┘
//! ```
//!
//! With a coordination service ([`woodgap_zookeeper`]) a third thread runs its session: it notifies the data
//! thread of servers that register, and carries the reads and writes of a shared store.
//!
//! A change is made durable, then applied by the data thread, and only then answered, so that an answered
//! change is in effect. The data thread never waits for a disk or an administrator.

pub mod config;
pub(crate) mod directory;
pub(crate) mod ephemeral;

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, LocalSet};
use woodgap_fleet::LifecyclePhase;
use woodgap_membership::SourceId;
use woodgap_tenancy::Uid;
use woodgap_zookeeper::register::{NodeRecord, Registration, RegistrationStatus};
use woodgap_zookeeper::session::{SessionHandle, SessionStatus};
use woodgap_zookeeper::view::ChildrenUpdate;

use crate::admin;
use crate::control::{self, Control};
use crate::fleet::{Fleet, FleetMembership, Permits, ServerDrains};
use crate::front::http1::ListenerSettings;
use crate::front::http3;
use crate::front::manager::ConnectionManager;
use crate::front::tls::ReloadableCertificate;
use crate::platform::{BYTES_PER_REQUEST, CLIENT_SOCKET_SHARE, OVERFLOW_CONNECTIONS, RESERVED_DESCRIPTORS};
use crate::sockets::SocketBudget;
use crate::store::embedded::EmbeddedStore;
use crate::store::shared::SharedStore;
use crate::store::Store;
use crate::task::LocalSemaphore;
use crate::upstream::trust::Authorities;
use config::{HostedConfig, ListenerConfig, Protocols, StoreConfig};
use directory::{TenantStatus, TenantView, Tenants};
use ephemeral::EphemeralPools;

/// Limits and settings that all tenants of a node share.
#[derive(Clone, Debug)]
pub(crate) struct SharedLimits {
    /// Number of nodes that share the tenants' traffic.
    pub nodes: u32,
    /// Maximum number of requests held at a time.
    pub held_requests: usize,
    /// Maximum bytes of request bodies held at a time.
    pub body_bytes: usize,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Idle time after which a pool is stopped.
    pub pool_idle: Duration,
    /// Seed of random choices.
    pub seed: u64,
    /// Certificate authorities that verify HTTP/3 servers with a server name.
    pub authorities: Arc<Authorities>,
    /// Default admission settings of pools; `None` if admission is off.
    pub admission: Option<config::AdmissionConfig>,
}

/// Commands to the data thread.
pub(crate) enum Command {
    /// Applies tenants' current state in the catalogue; replies once that is done.
    Update(Vec<TenantView>, oneshot::Sender<()>),
    /// Applies an update of a registration path.
    PathUpdate(String, SourceId, ChildrenUpdate),
    /// Asks for the servers of the named tenants, and whether each accepts new requests.
    Servers(BTreeSet<String>, oneshot::Sender<Vec<TenantServers>>),
    /// Asks for the status of a tenant.
    TenantStatus(Uid, oneshot::Sender<Option<TenantStatus>>),
}

/// Name of a tenant and its servers; `true` for those that accept new requests.
pub(crate) type TenantServers = (String, BTreeMap<SocketAddr, bool>);

/// File descriptors reserved for the coordination service: its connection, the runtimes and their wakers.
const ZOOKEEPER_DESCRIPTORS: usize = 16;
/// `ma` of the Alt-Svc header in seconds: how long clients may cache that the listener speaks HTTP/3.
const ALT_SVC_MAX_AGE_S: u32 = 3_600;
/// Maximum number of ports tried for a listener with port 0.
const MAX_PORT_ATTEMPTS: u32 = 16;
/// Maximum time for which a starting node waits for the first read of registration paths and drain orders.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for withdrawing the node's registration when it drains.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the node's load is updated in its registration.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Addresses of a running node.
#[derive(Clone, Debug)]
pub struct NodeAddresses {
    /// Listeners' names and addresses.
    pub listeners: Vec<(String, SocketAddr)>,
    /// Address of the administration API, if it is on.
    pub admin: Option<SocketAddr>,
}

/// Opens the store that the configuration names.
///
/// # Errors
/// The configuration names a shared store but no coordination service.
fn open_store(
    config: &HostedConfig,
    session: Option<&SessionHandle>,
) -> Result<Box<dyn Store>, Box<dyn Error>> {
    match (&config.store, session) {
        (StoreConfig::File(path), _) => Ok(Box::new(EmbeddedStore::file(path))),
        (StoreConfig::Shared(path), Some(session)) => Ok(Box::new(SharedStore::open(session, path))),
        (StoreConfig::Shared(_), None) => Err("store.zookeeper needs [zookeeper]".into()),
    }
}

/// A listener whose sockets are open.
struct OpenListener {
    address: SocketAddr,
    tcp: Option<(TcpListener, ListenerSettings)>,
    quic: Option<(quinn::Endpoint, std::rc::Rc<str>)>,
    certificate: Option<Arc<ReloadableCertificate>>,
}

/// Opens a listener, with TCP and UDP at the same port if it speaks both. `memory` is the budget of a
/// connection in bytes.
async fn open_listener(listen: &ListenerConfig, memory: usize) -> Result<OpenListener, Box<dyn Error>> {
    let certificate = match &listen.tls {
        Some((chain, key)) => Some(ReloadableCertificate::load(chain, key)?),
        None => None,
    };
    let clients = listen.client_authorities.as_deref();
    let Protocols { http1, http3 } = listen.protocols;
    let mut address = listen.address;
    let mut tcp = None;
    if http1 {
        let listener = TcpListener::bind(address).await?;
        address = listener.local_addr()?;
        let mut settings = ListenerSettings::plain_tcp(&listen.name);
        if let Some(certificate) = &certificate {
            settings.tls = Some(Arc::new(certificate.tls_config(&[b"http/1.1"], false, clients)?).into());
        }
        if http3 {
            let alt_svc = format!("h3=\":{}\"; ma={ALT_SVC_MAX_AGE_S}", address.port());
            settings.alt_svc = Some(hyper::header::HeaderValue::try_from(alt_svc)?);
        }
        tcp = Some((listener, settings));
    }
    let mut quic = None;
    if let (true, Some(certificate)) = (http3, &certificate) {
        let config = http3::quic_config(certificate.tls_config(&[b"h3"], true, clients)?, memory)?;
        let endpoint = quinn::Endpoint::server(config, address)?;
        address = endpoint.local_addr()?;
        quic = Some((endpoint, listen.name.as_str().into()));
    }
    Ok(OpenListener { address, tcp, quic, certificate })
}

/// Opens a listener and, for port 0, retries with another port if the assigned one is taken. TCP and UDP need
/// the same port, of which another process may use one half.
async fn open_listener_retrying(
    listen: &ListenerConfig,
    memory: usize,
) -> Result<OpenListener, Box<dyn Error>> {
    let mut attempts_left = MAX_PORT_ATTEMPTS;
    loop {
        attempts_left -= 1;
        match open_listener(listen, memory).await {
            Err(error)
                if attempts_left > 0 && listen.address.port() == 0 && is_address_in_use(error.as_ref()) => {}
            result => return result,
        }
    }
}

/// Returns whether an error says that an address is in use.
fn is_address_in_use(error: &(dyn Error + 'static)) -> bool {
    error.downcast_ref::<std::io::Error>().is_some_and(|error| error.kind() == std::io::ErrorKind::AddrInUse)
}

/// Runs a hosted node until `stop` completes, then finishes the accepted requests. Calls `ready` once it
/// listens. `store`, if given, replaces the one that the configuration names.
///
/// # Errors
/// Returns which address cannot be used, why the store cannot be read, or which part of the node ended.
pub async fn serve(
    config: HostedConfig,
    store: Option<Box<dyn Store>>,
    stop: impl std::future::Future<Output = ()>,
    ready: impl FnOnce(NodeAddresses),
) -> Result<(), Box<dyn Error>> {
    let tokens =
        config.admin.as_ref().map(|admin| admin::auth::Tokens::read(&admin.token_file)).transpose()?;
    let session = match &config.zookeeper {
        Some(zookeeper) => Some(SessionHandle::start(zookeeper.settings()?)?),
        None => None,
    };
    let mut store = match store {
        Some(store) => store,
        None => open_store(&config, session.as_ref())?,
    };
    let catalogue = store.load().map_err(|error| format!("{}: {error}", config.store))?;
    let admin_sockets = config.admin.as_ref().map_or(0, |admin| admin.connections + 8);
    let zookeeper_sockets = session.as_ref().map_or(0, |_| ZOOKEEPER_DESCRIPTORS);
    let fleet_sockets = usize::from(config.fleet.is_some());
    let traffic_sockets = config
        .sockets
        .saturating_sub(
            RESERVED_DESCRIPTORS + OVERFLOW_CONNECTIONS + admin_sockets + zookeeper_sockets + fleet_sockets,
        )
        .max(4);
    let connections = ((traffic_sockets as f64 * CLIENT_SOCKET_SHARE) as usize).max(1);
    let mut addresses = NodeAddresses { listeners: Vec::new(), admin: None };
    let mut open_listeners = Vec::new();
    for listen in &config.listen {
        let opened = open_listener_retrying(listen, config.memory / connections).await;
        let opened = opened.map_err(|e| format!("listen '{}' at {}: {e}", listen.name, listen.address))?;
        addresses.listeners.push((listen.name.clone(), opened.address));
        open_listeners.push(opened);
    }
    let authorities = config.authorities.as_deref().map(Authorities::load).transpose()?.unwrap_or_default();
    let certificates: Vec<_> =
        open_listeners.iter().filter_map(|opened| opened.certificate.clone()).collect();
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
    // Each held request may need a socket to a server.
    let held_requests = config
        .held_requests
        .min(traffic_sockets - connections)
        .min((config.memory / BYTES_PER_REQUEST).max(1));
    let limits = SharedLimits {
        nodes: config.nodes,
        held_requests,
        body_bytes: config.memory / 8,
        connections,
        pool_idle: config.pool_idle,
        seed: config.seed,
        authorities: authorities.clone(),
        admission: config.admission.clone(),
    };
    let members = match &config.fleet {
        Some(fleet) => Some(FleetMembership::start(fleet, &config.name, config.digest).await?),
        None => None,
    };
    let register = config.zookeeper.as_ref().and_then(|zookeeper| zookeeper.register.as_ref());
    let permits = session.as_ref().zip(config.permits.clone()).zip(register);
    let permits = permits.map(|((session, permits), register)| {
        Permits::start(session, config.name.clone(), permits, members.as_ref(), &register.path)
    });
    let drain_settings =
        config.permits.as_ref().and_then(|permits| Some((permits, permits.servers.clone()?)));
    let drains = match (drain_settings, &session, &members, &permits, register) {
        (Some((permits_config, servers)), Some(session), Some(members), Some(permits), Some(register)) => {
            let names =
                (config.name.clone(), format!("{}-servers", permits_config.path), register.path.clone());
            Some(ServerDrains::start(session, servers, names, members.clone(), permits.clone())?)
        }
        _ => None,
    };
    let fleet = Fleet::new(members.clone(), permits.clone(), drains.clone());
    let sockets = SocketBudget::new(traffic_sockets);
    let (drained, drained_uids) = mpsc::unbounded_channel();
    let (command_sender, mut commands) = mpsc::unbounded_channel();
    let paths = session.as_ref().zip(config.zookeeper.as_ref()).map(|(session, zookeeper)| {
        EphemeralPools::new(
            session.clone(),
            zookeeper.pools.clone(),
            zookeeper.merge_limits.clone(),
            &command_sender,
        )
    });
    let tenants = Tenants::new(limits, sockets.clone(), drained, paths);
    let budgets = (LocalSemaphore::new(connections), LocalSemaphore::new(OVERFLOW_CONNECTIONS));
    let clients = ConnectionManager::new(tenants.clone(), true, sockets, budgets, config.memory);
    tenants.set_connection_manager(&clients);
    control::tenant_views(&catalogue).for_each(|view| tenants.update(view));

    let control = Control::new(catalogue, store, command_sender, fleet.clone());
    let mut control = control::start(control, drained_uids, admin.zip(tokens), config.admin.clone())?;
    let command_loop = {
        let tenants = tenants.clone();
        spawn_local(async move {
            while let Some(command) = commands.recv().await {
                match command {
                    Command::Update(views, done) => {
                        views.into_iter().for_each(|view| tenants.update(view));
                        let _ = done.send(());
                    }
                    Command::PathUpdate(path, source, update) => tenants.apply_update(&path, source, update),
                    Command::Servers(names, reply) => drop(reply.send(tenants.servers(&names))),
                    Command::TenantStatus(uid, reply) => {
                        let tenants = tenants.clone();
                        spawn_local(async move { drop(reply.send(tenants.tenant_status(uid).await)) });
                    }
                }
            }
        })
    };
    tenants.wait_until_read(INITIAL_READ_TIMEOUT).await;
    // Drain orders apply before the first request: the stored ones at least, the current ones if the service
    // is reachable.
    if let Some(drains) = &drains {
        drains.wait_until_loaded(INITIAL_READ_TIMEOUT).await;
        drains.apply_known_orders(&tenants);
        spawn_local(drains.clone().run(tenants.clone()));
    }
    let registration = register_node(&config, session.as_ref(), &addresses)?;
    for opened in open_listeners {
        if let Some((listener, settings)) = opened.tcp {
            spawn_local(clients.clone().accept_http1(listener, settings));
        }
        if let Some((endpoint, name)) = opened.quic {
            spawn_local(clients.clone().accept_http3(endpoint, name));
        }
    }
    {
        // Installed before the node is ready, and without certificates too: an unhandled SIGHUP ends the
        // process.
        let mut hangup = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup())?;
        let members = members.clone();
        spawn_local(async move {
            while hangup.recv().await.is_some() {
                for certificate in &certificates {
                    match certificate.reload() {
                        Ok(()) => tracing::info!("certificate reloaded"),
                        Err(error) => tracing::info!(
                            "certificate reload failed; the previous certificate stays in use: {error}"
                        ),
                    }
                }
                if let Err(error) = authorities.reload() {
                    tracing::info!(
                        "authorities reload failed; the previous authorities stay in use: {error}"
                    );
                }
                if let Some(members) = &members {
                    match members.reload().await {
                        Ok(true) => tracing::info!("fleet: keys read again"),
                        Ok(false) => {}
                        Err(error) => tracing::info!("fleet: keys kept: {error}"),
                    }
                }
            }
        });
    }
    if let Some(permits) = &permits {
        spawn_local(permits.clone().run());
    }
    if let Some(members) = &members {
        members.report_phase(LifecyclePhase::Ready).await;
    }
    ready(addresses);
    if let Some(session) = &session {
        spawn_local(log_session_changes(session.status()));
    }
    if let Some(registration) = &registration {
        spawn_local(log_registration_changes(registration.status()));
    }
    let report_load = async {
        let Some(registration) = &registration else { return std::future::pending().await };
        loop {
            registration.set_load(tenants.held_requests() as f64 / held_requests as f64);
            tokio::time::sleep(LOAD_REPORT_INTERVAL).await;
        }
    };
    let stop = wait_until_stop_allowed(stop, &fleet);
    // The registration is withdrawn first, so that its readers send no new connections.
    let withdraw = async {
        if let Some(registration) = &registration {
            registration.withdraw(WITHDRAW_TIMEOUT).await;
        }
    };
    tokio::select! {
        () = stop => {
            if let Some(members) = &members {
                members.report_phase(LifecyclePhase::Draining).await;
            }
            tokio::join!(clients.drain(), withdraw);
            if let Some(permits) = &permits {
                permits.finish_drain().await;
            }
            if let Some(members) = &members {
                members.leave().await;
            }
        }
        () = report_load => {}
        _ = command_loop => return Err("the control thread ended".into()),
        why = control.ended() => return Err(format!("the control thread ended: {why}").into()),
    }
    Ok(())
}

/// Waits until the node is asked to stop and, if permits are on, has permission; the node serves until then.
/// After a signal it waits for a permit for the configured time or until the next signal; after an operator's
/// drain request until that is granted or withdrawn.
async fn wait_until_stop_allowed(stop: impl std::future::Future<Output = ()>, fleet: &Fleet) {
    let mut stop = std::pin::pin!(stop);
    loop {
        let is_signal = tokio::select! {
            () = &mut stop => true,
            () = fleet.wait_for_draining(true) => false,
        };
        let Some(permits) = &fleet.permits else { return };
        if !is_signal {
            let stop_waiting = async {
                (&mut stop).await;
                "a stop signal arrived meanwhile"
            };
            tokio::select! {
                _ = permits.acquire_permit(stop_waiting) => return,
                () = fleet.wait_for_draining(false) => {}
            }
            permits.cancel_drain().await;
            continue;
        }
        let second_signal = async {
            match sigterm_stream() {
                Some(mut sigterm) => drop(sigterm.recv().await),
                None => std::future::pending().await,
            }
        };
        let stop_waiting = async {
            tokio::select! {
                () = tokio::time::sleep(permits.max_wait()) => "not granted in time",
                () = second_signal => "a second stop signal arrived",
            }
        };
        permits.acquire_permit(stop_waiting).await;
        return;
    }
}

/// Subscribes to SIGTERM; `None` if that fails.
fn sigterm_stream() -> Option<tokio::signal::unix::Signal> {
    tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()).ok()
}

/// Logs changes of the connection to the coordination service.
async fn log_session_changes(mut status: watch::Receiver<SessionStatus>) {
    let mut logged = None;
    loop {
        let now = {
            let status = status.borrow_and_update();
            if status.connected {
                None
            } else {
                Some(status.disconnect_reason.clone())
            }
        };
        if logged.as_ref() != Some(&now) {
            match &now {
                None => tracing::info!("zookeeper: connected"),
                Some(why) => tracing::info!("zookeeper: no connection: {why}"),
            }
            logged = Some(now);
        }
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// Logs the reason for which the node is not registered, when it changes.
async fn log_registration_changes(mut status: watch::Receiver<RegistrationStatus>) {
    let mut logged = None;
    loop {
        let now = match &*status.borrow_and_update() {
            RegistrationStatus::Taken => {
                Some("another process is registered under the name; waiting for it to end".to_owned())
            }
            RegistrationStatus::Refused(why) => Some(format!("the service refused: {why}")),
            // Unknown while there is no connection, which is logged separately.
            RegistrationStatus::Unknown => logged.clone(),
            RegistrationStatus::Registered | RegistrationStatus::Withdrawn => None,
        };
        if now != logged {
            match &now {
                Some(why) => tracing::info!("zookeeper: the node is not registered: {why}"),
                None => tracing::info!("zookeeper: the node is registered or withdrawn"),
            }
            logged = now;
        }
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// Starts the node's registration with the coordination service, if configured.
fn register_node(
    config: &HostedConfig,
    session: Option<&SessionHandle>,
    addresses: &NodeAddresses,
) -> Result<Option<Registration>, Box<dyn Error>> {
    let register = config.zookeeper.as_ref().and_then(|zookeeper| zookeeper.register.as_ref());
    let (Some(register), Some(session)) = (register, session) else { return Ok(None) };
    let first = addresses.listeners.first().ok_or("no listener to register")?.1;
    let node = NodeRecord {
        address: register.address.clone().unwrap_or_else(|| first.to_string()),
        protocols: vec!["http1".to_owned()],
        load: 0.0,
        started_ms: control::now_ms(),
        instance: format!("{:016x}", fastrand::u64(..)),
    };
    Ok(Some(Registration::start(session, format!("{}/{}", register.path, config.name), node)))
}

/// A node that runs on its own thread; dropping the value stops it.
pub struct RunningNode {
    /// Addresses of the node.
    pub addresses: NodeAddresses,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<Result<(), String>>>,
}

/// Starts a node on its own thread; it serves until the returned value is dropped or stopped.
///
/// # Errors
/// Returns the errors of [`serve`].
pub fn spawn(config: HostedConfig, store: Option<Box<dyn Store>>) -> Result<RunningNode, String> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (ready, addresses) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let runtime = runtime().map_err(|error| error.to_string())?;
        let stop = async move { drop(stopped.await) };
        let serve = serve(config, store, stop, move |addresses| drop(ready.send(addresses)));
        runtime.block_on(LocalSet::new().run_until(serve)).map_err(|error| error.to_string())
    });
    match addresses.recv() {
        Ok(addresses) => Ok(RunningNode { addresses, stop: Some(stop), thread: Some(thread) }),
        Err(_) => Err(match thread.join() {
            Ok(Err(error)) => error,
            _ => "the node ended".to_owned(),
        }),
    }
}

/// Builds the runtime of a node: one thread for the whole data path.
pub(crate) fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

impl RunningNode {
    /// Lets the node finish its accepted requests, and waits until it has stopped.
    ///
    /// # Errors
    /// Returns why the node ended, if it was not by this call.
    pub fn stop(mut self) -> Result<(), String> {
        self.shut_down()
    }

    fn shut_down(&mut self) -> Result<(), String> {
        drop(self.stop.take());
        match self.thread.take().map(std::thread::JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err("the node's thread panicked".to_owned()),
            None => Ok(()),
        }
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        let _ = self.shut_down();
    }
}
