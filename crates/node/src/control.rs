//! The control thread: it owns the catalogue and the store, and serves the administration API.
//!
//! It makes one change at a time: it prepares the change on the catalogue, makes it durable, applies it,
//! waits until the data thread has applied it too, and responds. A change is completed even if the connection
//! that requested it closes.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot, watch, Mutex, Semaphore};
use woodgap_tenancy::catalogue::{Change, Millis, Refusal, Revision, Tenant};
use woodgap_tenancy::{Catalogue, Condition, Edit, TenantState, Uid};

use crate::admin;
use crate::fleet::Fleet;
use crate::hosted::config::AdminConfig;
use crate::hosted::directory::{TenantStatus, TenantView};
use crate::hosted::Command;
use crate::store::{RemoteStatus, Store, StoreError};

/// Maximum number of changes that wait to be made.
pub const MAX_WAITING_CHANGES: usize = 64;
/// Maximum number of attempts at a change whose commits conflict with those of other nodes.
const MAX_COMMIT_ATTEMPTS: usize = 16;
/// Delay before a failed read or write of the store is retried.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Reason for which a change was not made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ChangeError {
    /// The catalogue refuses the change.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The store failed or refused the commit.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// [`MAX_WAITING_CHANGES`] changes are waiting already.
    #[error("{MAX_WAITING_CHANGES} changes are waiting already; try again later")]
    TooManyWaiting,
    /// The node is shutting down.
    #[error("the node is shutting down")]
    ShuttingDown,
}

/// The catalogue, its store and the channel to the data thread.
pub(crate) struct Control {
    catalogue: RwLock<Catalogue>,
    store: Mutex<Option<Box<dyn Store>>>,
    commands: mpsc::UnboundedSender<Command>,
    revision: watch::Sender<Revision>,
    waiting: Semaphore,
    /// State of the store, if other nodes write to it too.
    remote: Option<watch::Receiver<RemoteStatus>>,
    /// Fleet that the node belongs to.
    pub fleet: Fleet,
}

/// Returns the wall-clock time as Unix time in milliseconds.
pub(crate) fn now_ms() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as Millis
}

fn tenant_view(catalogue: &Catalogue, tenant: &Tenant) -> TenantView {
    TenantView {
        uid: tenant.uid,
        name: tenant.name.clone(),
        state: tenant.state,
        spec: tenant.spec.clone(),
        members: catalogue.members(tenant.uid),
    }
}

/// Returns the views of all tenants for the data thread.
pub(crate) fn tenant_views(catalogue: &Catalogue) -> impl Iterator<Item = TenantView> + '_ {
    catalogue.tenants().map(|tenant| tenant_view(catalogue, tenant))
}

impl Control {
    /// Creates the control state from a loaded catalogue and its store; `commands` leads to the data thread.
    pub fn new(
        catalogue: Catalogue,
        store: Box<dyn Store>,
        commands: mpsc::UnboundedSender<Command>,
        fleet: Fleet,
    ) -> Arc<Self> {
        let (revision, _) = watch::channel(catalogue.revision());
        let remote = store.remote_status();
        let (catalogue, store) = (RwLock::new(catalogue), Mutex::new(Some(store)));
        let waiting = Semaphore::new(MAX_WAITING_CHANGES);
        Arc::new(Control { catalogue, store, commands, revision, waiting, remote, fleet })
    }

    /// Reads the catalogue under its lock.
    pub fn read<T>(&self, reader: impl FnOnce(&Catalogue) -> T) -> T {
        // Only a panic during a write poisons the lock, and the catalogue stays consistent in that case.
        reader(&self.catalogue.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    fn write<T>(&self, writer: impl FnOnce(&mut Catalogue) -> T) -> T {
        writer(&mut self.catalogue.write().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Subscribes to the catalogue's revision.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Makes a change; returns once it is durable and the data thread has applied it.
    pub async fn change(
        self: &Arc<Self>,
        edit: Edit,
        condition: Condition,
        author: String,
    ) -> Result<Change, ChangeError> {
        let control = self.clone();
        // The caller may be dropped before the end, but a durable change must still be applied.
        let task = tokio::spawn(async move {
            let _permit = control.waiting.try_acquire().map_err(|_| ChangeError::TooManyWaiting)?;
            control.commit_change(edit, condition, &author).await
        });
        task.await.unwrap_or(Err(ChangeError::ShuttingDown))
    }

    async fn commit_change(
        &self,
        edit: Edit,
        condition: Condition,
        author: &str,
    ) -> Result<Change, ChangeError> {
        let mut slot = self.store.lock().await;
        for attempt in 1.. {
            let commit =
                self.read(|catalogue| catalogue.prepare(edit.clone(), condition, author, now_ms()))?;
            let stored = commit.clone();
            match self.run_on_store(&mut slot, move |store| store.commit(&stored)).await? {
                Ok(()) => {
                    let change = commit.change.clone();
                    let changed = self
                        .write(|catalogue| catalogue.apply(commit))
                        .map_err(|present| StoreError::Conflict { present, base: change.revision - 1 })?;
                    self.publish_change(changed).await;
                    return Ok(change);
                }
                // The store is at another revision: another node wrote, or a commit that seemed to fail was
                // stored. The change's condition is checked again against the latest catalogue.
                Err(conflict @ StoreError::Conflict { .. }) => {
                    self.catch_up(&mut slot).await?;
                    if attempt >= MAX_COMMIT_ATTEMPTS {
                        return Err(conflict.into());
                    }
                }
                Err(error) => return Err(error.into()),
            }
        }
        Err(ChangeError::ShuttingDown)
    }

    /// Runs a blocking operation on the store.
    async fn run_on_store<T: Send + 'static>(
        &self,
        slot: &mut Option<Box<dyn Store>>,
        operation: impl FnOnce(&mut dyn Store) -> T + Send + 'static,
    ) -> Result<T, ChangeError> {
        let mut store = slot.take().ok_or(ChangeError::ShuttingDown)?;
        let task = tokio::task::spawn_blocking(move || {
            let result = operation(store.as_mut());
            (store, result)
        });
        let (store, result) = task.await.map_err(|_| ChangeError::ShuttingDown)?;
        *slot = Some(store);
        Ok(result)
    }

    /// Applies the commits that other nodes have written, or reloads the catalogue if that fails.
    async fn catch_up(&self, slot: &mut Option<Box<dyn Store>>) -> Result<(), ChangeError> {
        let revision = self.read(Catalogue::revision);
        if let Some(commits) = self.run_on_store(slot, move |store| store.commits_after(revision)).await?? {
            let applied = self.write(|catalogue| {
                let mut changed = BTreeSet::new();
                for commit in commits {
                    changed.extend(catalogue.apply(commit).ok()?);
                }
                Some(changed)
            });
            if let Some(changed) = applied {
                self.publish_change(changed).await;
                return Ok(());
            }
        }
        let loaded = self.run_on_store(slot, |store| store.load()).await??;
        self.replace_catalogue(loaded).await;
        Ok(())
    }

    /// Returns the time since which this node's catalogue may be out of date, and the reason; `None` if it is
    /// current.
    pub fn staleness(&self) -> Option<(std::time::Instant, String)> {
        self.remote.as_ref().and_then(|remote| remote.borrow().unavailable.clone())
    }

    /// Applies changes that other nodes write to a shared store, as they appear.
    async fn follow_store(self: Arc<Self>) {
        let Some(mut remote) = self.remote.clone() else { return std::future::pending().await };
        loop {
            let revision = remote.borrow_and_update().revision;
            if revision > self.read(Catalogue::revision) {
                let mut slot = self.store.lock().await;
                if let Err(error) = self.catch_up(&mut slot).await {
                    tracing::info!("catalogue: cannot catch up with revision {revision}: {error}");
                    drop(slot);
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    continue;
                }
            }
            if remote.changed().await.is_err() {
                return;
            }
        }
    }

    /// Replaces the catalogue by one loaded from the store; tenants that it lacks are drained.
    async fn replace_catalogue(&self, loaded: Catalogue) {
        let uids = |catalogue: &Catalogue| catalogue.tenants().map(|t| t.uid).collect::<BTreeSet<Uid>>();
        let removed: Vec<TenantView> = self.read(|old| {
            let remaining = uids(&loaded);
            let removed = old.tenants().filter(|tenant| !remaining.contains(&tenant.uid));
            removed
                .map(|t| TenantView {
                    state: TenantState::Draining,
                    members: Vec::new(),
                    ..tenant_view(old, t)
                })
                .collect()
        });
        let changed = uids(&loaded);
        self.write(|catalogue| *catalogue = loaded);
        self.update_tenants(removed).await;
        self.publish_change(changed).await;
    }

    /// Has the data thread apply the changed tenants, then notifies subscribers of the new revision.
    async fn publish_change(&self, changed: BTreeSet<Uid>) {
        let (views, revision) = self.read(|catalogue| {
            let tenants = changed.iter().filter_map(|&uid| catalogue.tenant(uid));
            (tenants.map(|tenant| tenant_view(catalogue, tenant)).collect(), catalogue.revision())
        });
        self.update_tenants(views).await;
        self.revision.send_replace(revision);
    }

    async fn update_tenants(&self, views: Vec<TenantView>) {
        let (done, applied) = oneshot::channel();
        let _ = self.commands.send(Command::Update(views, done));
        let _ = applied.await;
    }

    /// Returns the servers of the named tenants, and whether each accepts new requests.
    pub async fn servers(&self, names: BTreeSet<String>) -> Vec<crate::hosted::TenantServers> {
        let (reply, servers) = oneshot::channel();
        let _ = self.commands.send(Command::Servers(names, reply));
        servers.await.unwrap_or_default()
    }

    /// Returns a tenant's status on the data path; `None` if it is not known there.
    pub async fn tenant_status(&self, uid: Uid) -> Option<TenantStatus> {
        let (reply, status) = oneshot::channel();
        let _ = self.commands.send(Command::TenantStatus(uid, reply));
        status.await.ok().flatten()
    }

    /// Records in the catalogue which tenants have drained.
    async fn record_drained(self: Arc<Self>, mut drained: mpsc::UnboundedReceiver<Uid>) {
        while let Some(uid) = drained.recv().await {
            while let Err(ChangeError::Store(error)) =
                self.commit_change(Edit::FinishDrain { uid }, Condition::None, "node").await
            {
                tracing::info!("tenant {}: cannot record the end of its drain: {error}", uid.0);
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Handle of the control thread; dropping it stops the thread.
pub(crate) struct ControlThread {
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<String>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for ControlThread {
    /// Waits until the thread has ended, so that the store is closed and another process can open it.
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

impl ControlThread {
    /// Waits until the thread ends unexpectedly, and returns the reason.
    pub async fn ended(&mut self) -> String {
        (&mut self.ended).await.unwrap_or_else(|_| "the thread panicked".to_owned())
    }
}

/// Starts the control thread. It has its own runtime, so that administration requests take no time from the
/// data path.
pub(crate) fn start(
    control: Arc<Control>,
    drained: mpsc::UnboundedReceiver<Uid>,
    admin: Option<(TcpListener, admin::auth::Tokens)>,
    config: Option<AdminConfig>,
) -> std::io::Result<ControlThread> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (end, ended) = oneshot::channel();
    let runtime = crate::hosted::runtime()?;
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let drains = tokio::spawn(control.clone().record_drained(drained));
            let follow = tokio::spawn(control.clone().follow_store());
            let serve = async move {
                match (admin, config) {
                    (Some((listener, tokens)), Some(config)) => {
                        admin::serve(control, listener, tokens, config.connections).await
                    }
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = stopped => {}
                _ = drains => drop(end.send("the channel of drained tenants closed".to_owned())),
                _ = follow => drop(end.send("the store's change notifications ended".to_owned())),
                error = serve => drop(end.send(error.to_string())),
            }
        });
        // Gives blocking work, such as a commit being synced, time to finish.
        runtime.shutdown_timeout(Duration::from_secs(5));
    })?;
    Ok(ControlThread { stop: Some(stop), ended, thread: Some(thread) })
}
