//! The session's side of the shared store: watches the catalogue's root at the coordination service and
//! serves the node's requests to read and write the catalogue.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tokio::sync::{mpsc, watch};
use woodgap_tenancy::catalogue::Revision;
use woodgap_zookeeper::session::{Connection, SessionTask, TaskFuture};
use woodgap_zookeeper::zookeeper_client::{EventType, OneshotWatcher};

use super::client::{CommitOutcome, StoreFault, StoreRequest};
use super::interruption::{invalid, Interruption};
use super::records::{RootRecord, StorePaths, FORMAT};
use crate::store::RemoteStatus;

/// One node's view of the catalogue at the coordination service.
pub(super) struct Replica {
    /// Paths of the records.
    pub(super) paths: StorePaths,
    /// Requests of the node's store handle.
    pub(super) requests: tokio::sync::Mutex<mpsc::Receiver<StoreRequest>>,
    /// Whether a connection serves requests.
    pub(super) connected: watch::Sender<bool>,
    /// The store's state, for the node's control thread.
    pub(super) remote: watch::Sender<RemoteStatus>,
    /// Identity of the catalogue that this node holds, and the revision of it that it read last.
    pub(super) known_root: Mutex<Option<(u64, Revision)>>,
}

impl Replica {
    /// Reads the root and sets a watch on it; returns its data, its version and the watch.
    pub(super) async fn root(
        &self,
        connection: &Connection,
    ) -> Result<(RootRecord, i32, OneshotWatcher), Interruption> {
        let (data, stat, watcher) = connection.client.get_and_watch_data(&self.paths.root).await?;
        // A root that was created but never written stands for the empty catalogue.
        let root = match data.is_empty() {
            true => RootRecord { format: FORMAT, ..RootRecord::default() },
            false => serde_json::from_slice(&data).map_err(|error| invalid(&self.paths.root, error))?,
        };
        if root.format != FORMAT {
            let reason = format!("its format is {}, this program reads {FORMAT}", root.format);
            return Err(invalid(&self.paths.root, reason));
        }
        self.check_identity(&root)?;
        Ok((root, stat.version, watcher))
    }

    /// Checks that a root belongs to the catalogue that this node holds and is no older than it. Otherwise
    /// data that the service lost would be lost on the node too.
    pub(super) fn check_identity(&self, root: &RootRecord) -> Result<(), Interruption> {
        let known_root = *self.known_root.lock().unwrap_or_else(PoisonError::into_inner);
        match known_root {
            Some((catalogue, revision)) if revision > 0 && catalogue != root.catalogue => Err(invalid(
                &self.paths.root,
                format!(
                    "it holds another catalogue than this node's, which is at revision {revision}: restore \
                    it, or restart the nodes to take over what is there"
                ),
            )),
            Some((_, revision)) if root.revision < revision => Err(invalid(
                &self.paths.root,
                format!(
                    "it went back from revision {revision} to {}: restore it, or restart the nodes to take \
                    over what is there",
                    root.revision
                ),
            )),
            _ => Ok(()),
        }
    }

    /// Records a root that was read or written, and marks the store as available.
    pub(super) fn record_root(&self, root: &RootRecord) {
        *self.known_root.lock().unwrap_or_else(PoisonError::into_inner) =
            Some((root.catalogue, root.revision));
        self.remote.send_if_modified(|remote| {
            let changed = remote.revision != root.revision || remote.unavailable.is_some();
            (remote.revision, remote.unavailable) = (root.revision, None);
            changed
        });
    }

    /// Marks the store as unavailable; keeps the time of the first failure.
    pub(super) fn mark_unavailable(&self, reason: String) {
        self.remote.send_if_modified(|remote| {
            let since = remote.unavailable.as_ref().map_or_else(Instant::now, |(since, _)| *since);
            let unavailable = Some((since, reason));
            let changed = remote.unavailable != unavailable;
            if changed {
                if let Some((_, reason)) = &unavailable {
                    tracing::info!("catalogue: {reason}");
                }
            }
            remote.unavailable = unavailable;
            changed
        });
    }

    /// Serves a request; `Err` if the connection was lost, and the request with it.
    async fn serve_request(&self, connection: &Connection, request: StoreRequest) -> Result<(), ()> {
        match request {
            StoreRequest::Load(reply) => {
                let loaded = match self.load(connection).await {
                    Err(Interruption::Lost) => return Err(()),
                    Err(Interruption::Invalid(reason)) => Err(reason),
                    Ok(catalogue) => Ok(catalogue),
                };
                let _ = reply.try_send(loaded);
            }
            StoreRequest::CommitsAfter(revision, reply) => {
                let after = match self.commits_after(connection, revision).await {
                    Err(Interruption::Lost) => return Err(()),
                    Err(Interruption::Invalid(reason)) => Err(reason),
                    Ok(commits) => Ok(commits),
                };
                let _ = reply.try_send(after);
            }
            StoreRequest::Commit(entry, reply) => {
                let written = match self.commit(connection, &entry).await {
                    Err(Interruption::Lost) => return Err(()),
                    Err(Interruption::Invalid(reason)) => {
                        CommitOutcome::Failed(StoreFault::Unreadable(reason))
                    }
                    Ok(written) => written,
                };
                let _ = reply.try_send(written);
            }
            StoreRequest::Outcome(entry, reply) => {
                let outcome = match self.find_outcome(connection, &entry).await {
                    Err(Interruption::Lost) => return Err(()),
                    Err(Interruption::Invalid(reason)) => Err(reason),
                    Ok(outcome) => Ok(outcome),
                };
                let _ = reply.try_send(outcome);
            }
        }
        Ok(())
    }

    /// Serves requests and watches the root until the connection is lost.
    async fn serve(&self, connection: &Connection) -> Result<(), Interruption> {
        for folder in ["t", "log"] {
            let path = format!("{}/{folder}", self.paths.root);
            connection.create_path(&path).await.map_err(|error| match Interruption::from(error) {
                Interruption::Invalid(reason) => {
                    invalid(&path, format!("it cannot be created ({reason}): does the chroot exist?"))
                }
                Interruption::Lost => Interruption::Lost,
            })?;
        }
        // Without `sync`, a lagging member of the ensemble would look like a catalogue that went back to an
        // old revision.
        connection.client.sync(&self.paths.root).await?;
        let mut requests = self.requests.lock().await;
        // Requests for an earlier connection are dropped: callers that still wait repeat them.
        while requests.try_recv().is_ok() {}
        self.connected.send_replace(true);
        loop {
            // An invalid root is read again when it changes.
            let watcher = match self.root(connection).await {
                Ok((root, _, watcher)) => {
                    self.record_root(&root);
                    watcher
                }
                Err(Interruption::Invalid(reason)) => {
                    self.mark_unavailable(reason);
                    connection.client.check_and_watch_stat(&self.paths.root).await?.1
                }
                Err(Interruption::Lost) => return Err(Interruption::Lost),
            };
            let mut changed = std::pin::pin!(watcher.changed());
            loop {
                tokio::select! {
                    event = &mut changed => {
                        if event.event_type == EventType::Session {
                            return Err(Interruption::Lost);
                        }
                        break;
                    }
                    request = requests.recv() => {
                        let Some(request) = request else { return Ok(()) };
                        self.serve_request(connection, request).await.map_err(|()| Interruption::Lost)?;
                    }
                }
            }
        }
    }
}

impl SessionTask for Replica {
    fn run(self: Arc<Self>, connection: Connection) -> TaskFuture {
        Box::pin(async move {
            match self.serve(&connection).await {
                Err(Interruption::Invalid(reason)) => self.mark_unavailable(reason),
                Err(Interruption::Lost) | Ok(()) => {}
            }
            self.connected.send_replace(false);
        })
    }

    fn on_disconnect(&self) {
        self.connected.send_replace(false);
        self.mark_unavailable("there is no connection to the coordination service".to_owned());
    }
}
