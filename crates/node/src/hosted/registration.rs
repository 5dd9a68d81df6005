//! The node's registration with the coordination service, and the log of its state.

use tokio::sync::watch;
use woodgap_zookeeper::register::{NodeRecord, Registration, RegistrationStatus};
use woodgap_zookeeper::session::{SessionHandle, SessionStatus};

use super::config::HostedConfig;
use super::{NodeAddresses, NodeError};
use crate::control;

/// Logs changes of the connection to the coordination service.
pub(super) async fn log_session_changes(mut status: watch::Receiver<SessionStatus>) {
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
pub(super) async fn log_registration_changes(mut status: watch::Receiver<RegistrationStatus>) {
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
pub(super) fn register_node(
    config: &HostedConfig,
    session: Option<&SessionHandle>,
    addresses: &NodeAddresses,
) -> Result<Option<Registration>, NodeError> {
    let register = config.zookeeper.as_ref().and_then(|zookeeper| zookeeper.register.as_ref());
    let (Some(register), Some(session)) = (register, session) else { return Ok(None) };
    let first = addresses.listeners.first().ok_or(NodeError::NoListener)?.1;
    let node = NodeRecord {
        address: register.address.clone().unwrap_or_else(|| first.to_string()),
        protocols: vec!["http1".to_owned()],
        load: 0.0,
        // Unix time, as its readers have no other clock in common with this process. Nothing is timed by it here.
        started_ms: control::now_ms(),
        instance: format!("{:016x}", fastrand::u64(..)),
    };
    Ok(Some(Registration::start(session, format!("{}/{}", register.path, config.name), node)))
}
