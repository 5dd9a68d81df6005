//! Tasks of a hosted node's data thread: commands from the control thread, and SIGHUP.

use std::rc::Rc;
use std::sync::Arc;

use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::directory::Tenants;
use super::Command;
use crate::fleet::FleetMembership;
use crate::front::tls::ReloadableCertificate;
use crate::upstream::trust::Authorities;

/// Carries out the commands to the data thread, until the control thread ends.
pub(super) async fn run_commands(mut commands: mpsc::UnboundedReceiver<Command>, tenants: Rc<Tenants>) {
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
}

/// Reads certificates, authorities and the fleet's keys again at each SIGHUP.
pub(super) async fn reload_on_signal(
    mut hangup: Signal,
    certificates: Vec<Arc<ReloadableCertificate>>,
    authorities: Arc<Authorities>,
    members: Option<FleetMembership>,
) {
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
            tracing::info!("authorities reload failed; the previous authorities stay in use: {error}");
        }
        if let Some(members) = &members {
            match members.reload().await {
                Ok(true) => tracing::info!("fleet: keys read again"),
                Ok(false) => {}
                Err(error) => tracing::info!("fleet: keys kept: {error}"),
            }
        }
    }
}
