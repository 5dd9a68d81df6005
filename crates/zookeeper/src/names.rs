//! Watches the names of the children of a path: the nodes that have a session, independent of their data.

use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::sync::watch;
use zookeeper_client::{Error, EventType};

use crate::session::{Connection, SessionHandle, SessionTask, TaskFuture, TaskGuard};

struct NamesTask {
    path: String,
    names: watch::Sender<Option<BTreeSet<String>>>,
}

/// The children's names of a path; watched until this is dropped.
pub struct RegisteredNames {
    task: Arc<NamesTask>,
    _guard: TaskGuard,
}

impl RegisteredNames {
    /// Starts to watch the children of a path, which is created if it does not exist.
    pub fn start(session: &SessionHandle, path: String) -> RegisteredNames {
        let task = Arc::new(NamesTask { path, names: watch::Sender::new(None) });
        let guard = session.spawn_task(task.clone());
        RegisteredNames { task, _guard: guard }
    }

    /// Receives the names and each change of them; `None` while the service is unreachable and the names are
    /// unknown.
    pub fn subscribe(&self) -> watch::Receiver<Option<BTreeSet<String>>> {
        self.task.names.subscribe()
    }
}

impl NamesTask {
    async fn follow_changes(&self, connection: &Connection) -> Result<(), Error> {
        connection.create_path(&self.path).await?;
        loop {
            let (names, watcher) = connection.client.list_and_watch_children(&self.path).await?;
            self.names.send_replace(Some(names.into_iter().collect()));
            if watcher.changed().await.event_type == EventType::Session {
                return Err(Error::ConnectionLoss);
            }
        }
    }
}

impl SessionTask for NamesTask {
    fn run(self: Arc<Self>, connection: Connection) -> TaskFuture {
        // A run that ends is started again: on the next connection, or after a pause.
        Box::pin(async move { drop(self.follow_changes(&connection).await) })
    }

    fn on_disconnect(&self) {
        self.names.send_replace(None);
    }
}
