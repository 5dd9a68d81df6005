//! Starts the parts of a hosted node, and serves until it is asked to stop.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use woodgap_fleet::LifecyclePhase;
use woodgap_zookeeper::session::SessionHandle;

use super::config::{HostedConfig, StoreConfig};
use super::directory::Tenants;
use super::ephemeral::EphemeralPools;
use super::listeners::open_listener_retrying;
use super::registration::{log_registration_changes, log_session_changes, register_node};
use super::stop::wait_until_stop_allowed;
use super::tasks::{reload_on_signal, run_commands};
use super::{NodeAddresses, NodeError, SharedLimits};
use crate::admin;
use crate::control::{self, Control};
use crate::fleet::{Fleet, FleetMembership, Permits, ServerDrains};
use crate::front::manager::ConnectionManager;
use crate::platform::{BYTES_PER_REQUEST, CLIENT_SOCKET_SHARE, OVERFLOW_CONNECTIONS, RESERVED_DESCRIPTORS};
use crate::sockets::SocketBudget;
use crate::store::embedded::EmbeddedStore;
use crate::store::shared::SharedStore;
use crate::store::Store;
use crate::task::LocalSemaphore;
use crate::upstream::trust::Authorities;

/// File descriptors reserved for the coordination service: its connection, the runtimes and their wakers.
const ZOOKEEPER_DESCRIPTORS: usize = 16;
/// Maximum time for which a starting node waits for the first read of registration paths and drain orders.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for withdrawing the node's registration when it drains.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the node's load is updated in its registration.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Opens the store that the configuration names.
///
/// # Errors
/// The configuration names a shared store but no coordination service.
fn open_store(config: &HostedConfig, session: Option<&SessionHandle>) -> Result<Box<dyn Store>, NodeError> {
    match (&config.store, session) {
        (StoreConfig::File(path), _) => Ok(Box::new(EmbeddedStore::file(path))),
        (StoreConfig::Shared(path), Some(session)) => Ok(Box::new(SharedStore::open(session, path))),
        (StoreConfig::Shared(_), None) => Err(NodeError::NoCoordinationService),
    }
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
) -> Result<(), NodeError> {
    let tokens = config.admin.as_ref().map(|admin| admin::auth::Tokens::read(&admin.token_file)).transpose();
    let tokens = tokens.map_err(|error| NodeError::File(error.to_string()))?;
    let session = match &config.zookeeper {
        Some(zookeeper) => {
            let settings = zookeeper.settings().map_err(NodeError::File)?;
            Some(SessionHandle::start(settings).map_err(NodeError::CoordinationService)?)
        }
        None => None,
    };
    let mut store = match store {
        Some(store) => store,
        None => open_store(&config, session.as_ref())?,
    };
    let catalogue =
        store.load().map_err(|source| NodeError::Store { store: config.store.to_string(), source })?;
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
        let opened = opened.map_err(|source| NodeError::Listen {
            name: listen.name.clone(),
            address: listen.address,
            source,
        })?;
        addresses.listeners.push((listen.name.clone(), opened.address));
        open_listeners.push(opened);
    }
    let authorities = config.authorities.as_deref().map(Authorities::load).transpose();
    let authorities = authorities.map_err(NodeError::File)?.unwrap_or_default();
    let certificates: Vec<_> =
        open_listeners.iter().filter_map(|opened| opened.certificate.clone()).collect();
    let admin = match &config.admin {
        Some(admin) => {
            let (bound, address) = bind_admin(admin.listen)
                .map_err(|source| NodeError::Admin { address: admin.listen, source })?;
            addresses.admin = Some(address);
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
        Some(fleet) => {
            Some(FleetMembership::start(fleet, &config.name, config.digest).await.map_err(NodeError::Fleet)?)
        }
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
            let started = ServerDrains::start(session, servers, names, members.clone(), permits.clone());
            Some(started.map_err(NodeError::Fleet)?)
        }
        _ => None,
    };
    let fleet = Fleet::new(members.clone(), permits.clone(), drains.clone());
    let sockets = SocketBudget::new(traffic_sockets);
    let (drained, drained_uids) = mpsc::unbounded_channel();
    let (command_sender, commands) = mpsc::unbounded_channel();
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
    let mut control = control::start(control, drained_uids, admin.zip(tokens), config.admin.clone())
        .map_err(NodeError::System)?;
    let command_loop = spawn_local(run_commands(commands, tenants.clone()));
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
    // Installed before the node is ready, and without certificates too: an unhandled SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(NodeError::System)?;
    spawn_local(reload_on_signal(hangup, certificates, authorities, members.clone()));
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
        _ = command_loop => return Err(NodeError::ControlEnded("it sends no more commands".to_owned())),
        why = control.ended() => return Err(NodeError::ControlEnded(why)),
    }
    Ok(())
}

/// Opens the socket of the administration API, and returns its address.
fn bind_admin(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
