//! A document that several nodes change by compare-and-set: it is read, the change is computed, and the
//! result is written over the version that was read (ZooKeeper Programmer's Guide, "Data Access": a write
//! with a version succeeds only on that version). Where another node wrote first, this is repeated.
//!
//! ```text
//!   change(f) ─▶ queue (bounded) ─▶ run, on a connection: read and watch ─▶ DocumentState
//!                                     └─ f(what was read) ─ write at its version ─┬─ written: the reply
//!                                                                                 ├─ BadVersion: read, f again
//!                                                                                 └─ lost: next connection, f again
//! ```
//!
//! A write whose response is lost may have been carried out, and no write is repeated blindly: `f` sees the
//! current document and returns what is left to do, so it has to recognise its own earlier change in the
//! document.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{oneshot, watch, Notify};
use zookeeper_client::{CreateMode, Error, EventType};

use crate::session::{Connection, SessionHandle, SessionTask, TaskFuture, TaskGuard};

/// Maximum number of changes of this node that wait.
pub const MAX_PENDING_CHANGES: usize = 256;
/// Maximum size of a document; the service accepts 1 MiB per node and may be configured for less.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;
/// Maximum pause after a lost compare-and-set; it starts at an eighth of this and is jittered.
const MAX_PAUSE: Duration = Duration::from_millis(40);

/// The document as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentState {
    /// Nothing was read yet.
    Unknown,
    /// The document and its version.
    Document {
        /// Content; `None` if the node does not exist.
        text: Option<Arc<[u8]>>,
        /// Version of the data; -1 if the node does not exist.
        version: i32,
        /// Whether the connection was lost since the read.
        stale: bool,
    },
}

/// Why a change was not made.
#[derive(Debug, PartialEq, Eq)]
pub enum DocumentError<E> {
    /// The change function rejected the current document.
    Refused(E),
    /// The service was not reached in time.
    Unreachable {
        /// Whether a write was sent and its response did not arrive, so that it may have been carried out.
        outcome_unknown: bool,
    },
    /// Too many changes wait, or the document would be too long; the text says which.
    LimitExceeded(&'static str),
}

/// Last reply of a change function.
type LastReply<T, E> = Arc<Mutex<Option<Result<T, DocumentError<E>>>>>;

/// Returns the document to write, or `None` if nothing has to be written.
type ChangeFunction = Box<dyn FnMut(Option<&[u8]>) -> Option<Vec<u8>> + Send>;

struct PendingChange {
    change: ChangeFunction,
    /// Whether a write was sent.
    write_sent: Arc<AtomicBool>,
    done: oneshot::Sender<()>,
}

struct DocumentTask {
    path: String,
    changes: Mutex<VecDeque<PendingChange>>,
    change_added: Notify,
    state: watch::Sender<DocumentState>,
}

/// A document under a path, watched and changed until this is dropped.
pub struct VersionedDocument {
    task: Arc<DocumentTask>,
    _guard: TaskGuard,
}

impl VersionedDocument {
    /// Starts to watch the document at a path; the first change creates it.
    pub fn start(session: &SessionHandle, path: String) -> VersionedDocument {
        let task = Arc::new(DocumentTask {
            path,
            changes: Mutex::default(),
            change_added: Notify::new(),
            state: watch::Sender::new(DocumentState::Unknown),
        });
        let guard = session.spawn_task(task.clone());
        VersionedDocument { task, _guard: guard }
    }

    /// Receives the document as last read, and each change of it.
    pub fn subscribe(&self) -> watch::Receiver<DocumentState> {
        self.task.state.subscribe()
    }

    /// Changes the document by `f`, which returns the document to write, if any, and the reply. `f` is called
    /// again with the current document if another node wrote first or a response was lost; its last reply
    /// counts.
    ///
    /// # Errors
    /// The error of `f`, or [`DocumentError::Unreachable`] if the service is not reached within `time_limit`.
    pub async fn change<T, E, F>(&self, time_limit: Duration, mut f: F) -> Result<T, DocumentError<E>>
    where
        T: Send + 'static,
        E: Send + 'static,
        F: FnMut(Option<&[u8]>) -> Result<(Option<Vec<u8>>, T), E> + Send + 'static,
    {
        let last_reply: LastReply<T, E> = Arc::default();
        let (reply_slot, write_sent) = (last_reply.clone(), Arc::new(AtomicBool::new(false)));
        let change = Box::new(move |read: Option<&[u8]>| {
            let (write, reply) = match f(read) {
                Ok((Some(text), _)) if text.len() > MAX_DOCUMENT_BYTES => {
                    (None, Err(DocumentError::LimitExceeded("the document would be too long")))
                }
                Ok((write, reply)) => (write, Ok(reply)),
                Err(refused) => (None, Err(DocumentError::Refused(refused))),
            };
            *reply_slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(reply);
            write
        });
        let (done, finished) = oneshot::channel();
        {
            let mut changes = self.task.changes();
            changes.retain(|pending| !pending.done.is_closed());
            if changes.len() >= MAX_PENDING_CHANGES {
                return Err(DocumentError::LimitExceeded("too many changes are waiting"));
            }
            changes.push_back(PendingChange { change, write_sent: write_sent.clone(), done });
        }
        self.task.change_added.notify_one();
        let completed = matches!(tokio::time::timeout(time_limit, finished).await, Ok(Ok(())));
        let reply = last_reply.lock().unwrap_or_else(PoisonError::into_inner).take();
        match reply.filter(|_| completed) {
            Some(reply) => reply,
            None => Err(DocumentError::Unreachable { outcome_unknown: write_sent.load(Ordering::SeqCst) }),
        }
    }
}

impl DocumentTask {
    fn changes(&self) -> std::sync::MutexGuard<'_, VecDeque<PendingChange>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what the first change would write over this text, and completes the changes that have nothing
    /// to write.
    fn next_write(&self, text: Option<&[u8]>) -> Option<Vec<u8>> {
        let mut changes = self.changes();
        while let Some(pending) = changes.front_mut() {
            if !pending.done.is_closed() {
                if let Some(write) = (pending.change)(text) {
                    pending.write_sent.store(true, Ordering::SeqCst);
                    return Some(write);
                }
            }
            if let Some(pending) = changes.pop_front() {
                let _ = pending.done.send(());
            }
        }
        None
    }

    async fn serve(&self, connection: &Connection) -> Result<(), Error> {
        let client = &connection.client;
        let mut lost_races = 0u32;
        loop {
            // Reads the node and sets a watch on its change or its creation.
            let (text, version, watcher) = match client.get_and_watch_data(&self.path).await {
                Ok((data, stat, watcher)) => (Some(Arc::<[u8]>::from(data)), stat.version, watcher),
                Err(Error::NoNode) => {
                    let (stat, watcher) = client.check_and_watch_stat(&self.path).await?;
                    if stat.is_some() {
                        continue;
                    }
                    (None, -1, watcher)
                }
                Err(error) => return Err(error),
            };
            self.state.send_replace(DocumentState::Document { text: text.clone(), version, stale: false });
            if let Some(write) = self.next_write(text.as_deref()) {
                let written = match text {
                    Some(_) => {
                        client.set_data(&self.path, &write, Some(version)).await.map(|stat| stat.version)
                    }
                    None => self.create(connection, &write).await.map(|()| 0),
                };
                match written {
                    // The change is still the first one: nothing else removes changes from the queue.
                    Ok(version) => {
                        lost_races = 0;
                        // It is read again too, but if the connection is lost before that, this is the last
                        // known state.
                        let text = Some(Arc::from(write));
                        self.state.send_replace(DocumentState::Document { text, version, stale: false });
                        if let Some(pending) = self.changes().pop_front() {
                            let _ = pending.done.send(());
                        }
                    }
                    Err(Error::BadVersion | Error::NodeExists | Error::NoNode) => {
                        // Hundreds of nodes that change one document at once must not retry in step.
                        lost_races = (lost_races + 1).min(4);
                        tokio::time::sleep(
                            MAX_PAUSE.mul_f64(fastrand::f64() * f64::from(1 << lost_races) / 16.0),
                        )
                        .await;
                    }
                    Err(error) => return Err(error),
                }
                continue;
            }
            tokio::select! {
                event = watcher.changed() => {
                    if event.event_type == EventType::Session {
                        return Err(Error::ConnectionLoss);
                    }
                }
                () = self.change_added.notified() => {}
            }
        }
    }

    async fn create(&self, connection: &Connection, text: &[u8]) -> Result<(), Error> {
        let options = CreateMode::Persistent.with_acls(connection.acls());
        match connection.client.create(&self.path, text, &options).await {
            Err(Error::NoNode) => {
                let (folder, _) = self.path.rsplit_once('/').unwrap_or_default();
                connection.create_path(folder).await?;
                connection.client.create(&self.path, text, &options).await.map(drop)
            }
            created => created.map(drop),
        }
    }
}

impl SessionTask for DocumentTask {
    fn run(self: Arc<Self>, connection: Connection) -> TaskFuture {
        // A run that ends is started again: on the next connection, or after a pause.
        Box::pin(async move { drop(self.serve(&connection).await) })
    }

    fn on_disconnect(&self) {
        self.state.send_if_modified(|state| match state {
            DocumentState::Document { stale, .. } => !std::mem::replace(stale, true),
            DocumentState::Unknown => false,
        });
    }
}
