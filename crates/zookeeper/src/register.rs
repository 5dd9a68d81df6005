//! Registration of this node: an ephemeral node that exists while it is wanted and is deleted when this node
//! drains.
//!
//! No write is repeated blindly. Every run begins by reading the current state, which shows the result of a
//! write whose response was lost with its connection: an ephemeral node of this session is updated or kept,
//! one of an earlier session of this process is replaced, and the end of one of another process is awaited.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use zookeeper_client::{CreateMode, Error, EventType};

use crate::session::{Connection, SessionHandle, SessionTask, TaskFuture, TaskGuard};

/// Registered data of a node, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Address for clients: `ADDRESS:PORT`.
    pub address: String,
    /// Protocols at that address: `http1`.
    pub protocols: Vec<String>,
    /// Requests in flight as a fraction of the maximum, 0 to 1, in steps of a tenth.
    pub load: f64,
    /// Start of the process, Unix time in milliseconds.
    pub started_ms: u64,
    /// Unique per process; distinguishes its ephemeral node from that of another process with the same name.
    pub instance: String,
}

/// State of the registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// It was not read yet, or the connection is lost.
    Unknown,
    /// The ephemeral node exists.
    Registered,
    /// The ephemeral node does not exist, as wanted.
    Withdrawn,
    /// Another process has registered the name.
    Taken,
    /// The service refused the registration, with the reason.
    Refused(String),
}

struct RegistrationTask {
    path: String,
    instance: String,
    wanted: watch::Sender<Option<NodeRecord>>,
    status: watch::Sender<RegistrationStatus>,
}

/// The registration of this node, which lasts until this is dropped.
pub struct Registration {
    task: Arc<RegistrationTask>,
    _guard: TaskGuard,
}

impl Registration {
    /// Registers at a path, whose parents are created if they do not exist.
    pub fn start(session: &SessionHandle, path: String, node: NodeRecord) -> Registration {
        let task = Arc::new(RegistrationTask {
            path,
            instance: node.instance.clone(),
            wanted: watch::Sender::new(Some(node)),
            status: watch::Sender::new(RegistrationStatus::Unknown),
        });
        let guard = session.spawn_task(task.clone());
        Registration { task, _guard: guard }
    }

    /// Sets the load of the node, 0 to 1.
    pub fn set_load(&self, load: f64) {
        // Steps of a tenth avoid a write to the service for every request.
        let load = (load.clamp(0.0, 1.0) * 10.0).round() / 10.0;
        self.task.wanted.send_if_modified(|wanted| match wanted {
            Some(node) if node.load != load => {
                node.load = load;
                true
            }
            _ => false,
        });
    }

    /// Withdraws the registration; returns whether that was done within `timeout`.
    pub async fn withdraw(&self, timeout: Duration) -> bool {
        self.task.wanted.send_replace(None);
        let mut status = self.task.status.subscribe();
        let withdrawn = status.wait_for(|status| *status == RegistrationStatus::Withdrawn);
        tokio::time::timeout(timeout, withdrawn).await.is_ok_and(|done| done.is_ok())
    }

    /// Receives the state of the registration and each change of it.
    pub fn status(&self) -> watch::Receiver<RegistrationStatus> {
        self.task.status.subscribe()
    }
}

impl RegistrationTask {
    async fn serve(&self, connection: &Connection) -> Result<(), Error> {
        let client = &connection.client;
        let mut wanted = self.wanted.subscribe();
        loop {
            let node = wanted.borrow_and_update().clone();
            // Reads the node and sets a watch on its change or its creation.
            let (current, watcher) = match client.get_and_watch_data(&self.path).await {
                Ok((data, stat, watcher)) => (Some((data, stat)), watcher),
                Err(Error::NoNode) => {
                    let (stat, watcher) = client.check_and_watch_stat(&self.path).await?;
                    if stat.is_some() {
                        continue;
                    }
                    (None, watcher)
                }
                Err(error) => return Err(error),
            };
            let owned_by_session =
                current.as_ref().is_some_and(|(_, stat)| stat.ephemeral_owner == connection.session_id);
            let is_own = |data: &[u8]| {
                let node: Option<NodeRecord> = serde_json::from_slice(data).ok();
                node.is_some_and(|node| node.instance == self.instance)
            };
            match (current, node) {
                (None, Some(node)) => match self.create(connection, &node).await {
                    Ok(()) => continue,
                    // Another process created the node first: it is read.
                    Err(Error::NodeExists) => continue,
                    Err(error) => return Err(error),
                },
                (Some((data, stat)), Some(node)) if owned_by_session => {
                    let text = json(&node);
                    if data != text {
                        match client.set_data(&self.path, &text, Some(stat.version)).await {
                            Ok(_) | Err(Error::BadVersion | Error::NoNode) => continue,
                            Err(error) => return Err(error),
                        }
                    }
                    self.status.send_replace(RegistrationStatus::Registered);
                }
                // It belongs to this process but to a session that has ended or will: it is deleted and
                // created again.
                (Some((data, stat)), _) if owned_by_session || is_own(&data) => {
                    match client.delete(&self.path, Some(stat.version)).await {
                        Ok(()) | Err(Error::NoNode | Error::BadVersion) => continue,
                        Err(error) => return Err(error),
                    }
                }
                (Some(_), Some(_)) => drop(self.status.send_replace(RegistrationStatus::Taken)),
                (_, None) => drop(self.status.send_replace(RegistrationStatus::Withdrawn)),
            }
            tokio::select! {
                event = watcher.changed() => {
                    if event.event_type == EventType::Session {
                        return Err(Error::ConnectionLoss);
                    }
                }
                changed = wanted.changed() => if changed.is_err() {
                    return Ok(());
                },
            }
        }
    }

    async fn create(&self, connection: &Connection, node: &NodeRecord) -> Result<(), Error> {
        let options = CreateMode::Ephemeral.with_acls(connection.acls());
        let text = json(node);
        match connection.client.create(&self.path, &text, &options).await {
            Err(Error::NoNode) => {
                let (folder, _) = self.path.rsplit_once('/').unwrap_or_default();
                connection.create_path(folder).await?;
                connection.client.create(&self.path, &text, &options).await.map(drop)
            }
            created => created.map(drop),
        }
    }
}

fn json(node: &NodeRecord) -> Vec<u8> {
    serde_json::to_vec(node).unwrap_or_default()
}

impl SessionTask for RegistrationTask {
    fn run(self: Arc<Self>, connection: Connection) -> TaskFuture {
        Box::pin(async move {
            match self.serve(&connection).await {
                Ok(()) | Err(Error::ConnectionLoss | Error::SessionExpired | Error::ClientClosed) => {}
                Err(error) => drop(self.status.send_replace(RegistrationStatus::Refused(error.to_string()))),
            }
        })
    }

    fn on_disconnect(&self) {
        self.status.send_replace(RegistrationStatus::Unknown);
    }
}
