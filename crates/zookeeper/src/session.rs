//! The ZooKeeper session of this node, on a thread of its own, and the tasks that run on its connections.
//!
//! Each connection has a runtime of its own that ends with it. After a lost connection the client library
//! would by itself search for a server, with pauses that double each time. That would correct a view later
//! than is guaranteed, and two searches would compete for the session. Ending the runtime ends the library's
//! search, and [`RECONNECT_DELAY`] is the pause between attempts.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use zookeeper_client::{Client, Error, SessionInfo, SessionState};

/// Maximum number of addresses of a service.
pub const MAX_ADDRESSES: usize = 64;
/// Session time-outs that may be requested; the service has limits of its own, 2 to 20 of its ticks.
pub const SESSION_TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(120));
/// Pause between two rounds over the addresses; a random share of up to the same length is added.
pub const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Pause after the service rejected the node's credentials.
const AUTH_FAILURE_DELAY: Duration = Duration::from_secs(5);
/// Pause before a task that ended by itself is started again.
const TASK_RESTART_DELAY: Duration = Duration::from_millis(500);
/// Maximum time to close the session when the node shuts down.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionSettings {
    /// `HOST:PORT` of the ensemble's members, tried in random order; 1 to [`MAX_ADDRESSES`].
    pub addresses: Vec<String>,
    /// Path to which all paths of this node are relative; empty for the root. It must exist.
    pub chroot: String,
    /// `USER:PASSWORD` for the `digest` scheme; the ACL of created nodes then allows this identity only.
    pub digest: Option<String>,
    /// Session time-out: ephemeral nodes are deleted this long after the service last heard from the session.
    pub session_timeout: Duration,
}

impl SessionSettings {
    fn cluster(&self) -> String {
        format!("{}{}", self.addresses.join(","), self.chroot)
    }

    /// Silence after which another member is tried: a fifth of the session time-out, which leaves time for
    /// others.
    pub fn server_timeout(&self) -> Duration {
        (self.session_timeout / 5).clamp(Duration::from_millis(200), Duration::from_secs(2))
    }
}

/// An established connection.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Client of the connection.
    pub client: Client,
    /// Id of its session.
    pub session_id: i64,
    /// Whether the node has credentials; the ACL of created nodes then allows its identity only.
    pub digest: bool,
}

impl Connection {
    /// ACL of the nodes that are created.
    pub fn acls(&self) -> zookeeper_client::Acls<'static> {
        match self.digest {
            true => zookeeper_client::Acls::creator_all(),
            false => zookeeper_client::Acls::anyone_all(),
        }
    }

    /// Creates a persistent node and its parents if they do not exist.
    ///
    /// # Errors
    /// Returns the error of the service.
    pub async fn create_path(&self, path: &str) -> Result<(), Error> {
        self.client.mkdir(path, &zookeeper_client::CreateMode::Persistent.with_acls(self.acls())).await
    }
}

/// Future returned by [`SessionTask::run`].
pub type TaskFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A task that runs while there is a connection.
pub trait SessionTask: Send + Sync + 'static {
    /// Runs until the connection ends and is then dropped at any await point. It must start by reading the
    /// current state. A task that ends by itself is run again after a pause.
    fn run(self: Arc<Self>, connection: Connection) -> TaskFuture;

    /// Called when the connection is lost.
    fn on_disconnect(&self) {}
}

/// State of the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionStatus {
    /// Whether there is a connection.
    pub connected: bool,
    /// Time since which `connected` has its value.
    pub since: Instant,
    /// Id of the session, or of the last one.
    pub session_id: Option<i64>,
    /// Number of sessions that expired.
    pub expired_sessions: u64,
    /// Reason for which there is no connection; empty while there is one.
    pub disconnect_reason: String,
}

#[derive(Default)]
struct TaskTable {
    next: u64,
    all: BTreeMap<u64, Arc<dyn SessionTask>>,
}

struct Inner {
    settings: SessionSettings,
    table: Mutex<TaskTable>,
    /// Increases with each change of the tasks.
    changed: watch::Sender<u64>,
    stop: watch::Sender<bool>,
    status: watch::Sender<SessionStatus>,
}

impl Inner {
    fn with<T>(&self, access: impl FnOnce(&mut TaskTable) -> T) -> T {
        access(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn all(&self) -> Vec<Arc<dyn SessionTask>> {
        self.with(|table| table.all.values().cloned().collect())
    }
}

/// Handle of the coordination service; the session ends with the last clone.
#[derive(Clone)]
pub struct SessionHandle {
    inner: Arc<Inner>,
    _thread: Arc<Thread>,
}

struct Thread {
    inner: Arc<Inner>,
    thread: Mutex<Option<std::thread::JoinHandle<()>>>,
}

impl Drop for Thread {
    /// Closes the session, so that its ephemeral nodes are deleted at once.
    fn drop(&mut self) {
        self.inner.stop.send_replace(true);
        let thread = self.thread.get_mut().map(Option::take).unwrap_or_default();
        drop(thread.map(std::thread::JoinHandle::join));
    }
}

/// Stops its task when dropped.
pub struct TaskGuard {
    inner: Weak<Inner>,
    id: u64,
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if let Some(inner) = self.inner.upgrade() {
            inner.with(|table| table.all.remove(&self.id));
            inner.changed.send_modify(|n| *n += 1);
        }
    }
}

impl SessionHandle {
    /// Starts the session's thread, which connects to the service.
    ///
    /// # Errors
    /// Returns the error if the thread cannot be started.
    pub fn start(settings: SessionSettings) -> io::Result<SessionHandle> {
        let status = SessionStatus {
            connected: false,
            since: Instant::now(),
            session_id: None,
            expired_sessions: 0,
            disconnect_reason: "not reached yet".to_owned(),
        };
        let inner = Arc::new(Inner {
            settings,
            table: Mutex::default(),
            changed: watch::Sender::new(0),
            stop: watch::Sender::new(false),
            status: watch::Sender::new(status),
        });
        let thread_inner = inner.clone();
        let thread = std::thread::Builder::new()
            .name("zookeeper".to_owned())
            .spawn(move || run_session(&thread_inner))?;
        let thread = Arc::new(Thread { inner: inner.clone(), thread: Mutex::new(Some(thread)) });
        Ok(SessionHandle { inner, _thread: thread })
    }

    /// Runs a task whenever there is a connection, until the returned guard is dropped.
    pub fn spawn_task(&self, task: Arc<dyn SessionTask>) -> TaskGuard {
        let id = self.inner.with(|table| {
            table.next += 1;
            table.all.insert(table.next, task);
            table.next
        });
        self.inner.changed.send_modify(|n| *n += 1);
        TaskGuard { inner: Arc::downgrade(&self.inner), id }
    }

    /// Receives the state of the session and each change of it.
    pub fn status(&self) -> watch::Receiver<SessionStatus> {
        self.inner.status.subscribe()
    }

    /// Settings of the session.
    pub fn settings(&self) -> &SessionSettings {
        &self.inner.settings
    }
}

/// Outcome of a connection.
enum End {
    /// The node shuts down.
    Stop,
    /// The session expired: the next connection starts another one.
    Expired,
    /// No connection was established; the reason, and how long to wait.
    NotConnected(String, Duration),
    /// The connection was lost; the session may continue.
    Lost(String),
}

fn run_session(inner: &Arc<Inner>) {
    let mut session: Option<SessionInfo> = None;
    loop {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                inner.status.send_modify(|status| status.disconnect_reason = error.to_string());
                std::thread::sleep(TASK_RESTART_DELAY);
                continue;
            }
        };
        // The client outlives the runtime: dropped inside it, the client would close the session.
        let (end, client) = runtime.block_on(run_connection(inner, &mut session));
        drop(runtime);
        drop(client);
        let (reason, pause) = match end {
            End::Stop => return,
            End::Expired => {
                session = None;
                inner.status.send_modify(|status| status.expired_sessions += 1);
                ("the session expired".to_owned(), Duration::ZERO)
            }
            End::NotConnected(reason, pause) => (reason, pause),
            End::Lost(reason) => (reason, Duration::ZERO),
        };
        let mut was_connected = false;
        inner.status.send_modify(|status| {
            was_connected = std::mem::replace(&mut status.connected, false);
            status.disconnect_reason = reason;
            if was_connected {
                status.since = Instant::now();
            }
        });
        if was_connected {
            inner.all().iter().for_each(|task| task.on_disconnect());
        }
        if !pause.is_zero() {
            let pause = pause + pause.mul_f64(fastrand::f64());
            let mut stop = inner.stop.subscribe();
            let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
            if let Ok(runtime) = runtime {
                let stopped = runtime.block_on(async {
                    tokio::time::timeout(pause, stop.wait_for(|stop| *stop)).await.is_ok()
                });
                if stopped {
                    return;
                }
            }
        }
    }
}

/// Runs one connection until it ends; returns its outcome and its client, which must outlive the runtime.
async fn run_connection(inner: &Arc<Inner>, session: &mut Option<SessionInfo>) -> (End, Option<Client>) {
    let settings = &inner.settings;
    let mut stop = inner.stop.subscribe();
    let mut connector = Client::connector()
        .with_session_timeout(settings.session_timeout)
        .with_connection_timeout(settings.server_timeout())
        .with_fail_eagerly();
    if let Some(digest) = &settings.digest {
        connector = connector.with_auth("digest", digest.as_bytes());
    }
    if let Some(session) = session.clone() {
        connector = connector.with_session(session);
    }
    let cluster = settings.cluster();
    let connecting = connector.connect(&cluster);
    let client = tokio::select! {
        client = connecting => match client {
            Ok(client) => client,
            Err(Error::SessionExpired) if session.is_some() => return (End::Expired, None),
            Err(error @ Error::AuthFailed) => return (End::NotConnected(error.to_string(), AUTH_FAILURE_DELAY), None),
            Err(error) => return (End::NotConnected(error.to_string(), RECONNECT_DELAY), None),
        },
        _ = stop.wait_for(|stop| *stop) => return (End::Stop, None),
    };
    let mut states = client.state_watcher();
    *session = Some(client.session().clone());
    let id = client.session_id().0;
    inner.status.send_modify(|status| {
        (status.connected, status.since, status.session_id) = (true, Instant::now(), Some(id));
        status.disconnect_reason.clear();
    });
    let connection = Connection { client: client.clone(), session_id: id, digest: settings.digest.is_some() };
    let mut changed = inner.changed.subscribe();
    changed.mark_changed();
    let mut tasks: JoinSet<u64> = JoinSet::new();
    let mut running_tasks: BTreeMap<u64, AbortHandle> = BTreeMap::new();
    let end = loop {
        tokio::select! {
            biased;
            state = states.changed() => match state {
                SessionState::SyncConnected => {}
                SessionState::Expired => break End::Expired,
                SessionState::AuthFailed => break End::NotConnected("the service rejected the credentials".into(), AUTH_FAILURE_DELAY),
                state => break End::Lost(format!("the connection was lost ({state})")),
            },
            _ = stop.wait_for(|stop| *stop) => break End::Stop,
            Ok(()) = changed.changed() => {
                inner.with(|table| {
                    running_tasks.retain(|id, run| {
                        let is_kept = table.all.contains_key(id);
                        if !is_kept {
                            run.abort();
                        }
                        is_kept
                    });
                    for (&id, task) in &table.all {
                        running_tasks.entry(id).or_insert_with(|| {
                            let run = task.clone().run(connection.clone());
                            tasks.spawn(async move {
                                run.await;
                                tokio::time::sleep(TASK_RESTART_DELAY).await;
                                id
                            })
                        });
                    }
                });
            }
            Some(ended) = tasks.join_next() => {
                // The task ended by itself and was not aborted.
                if let Ok(id) = ended {
                    running_tasks.remove(&id);
                    changed.mark_changed();
                }
            }
        }
    };
    if let End::Stop = end {
        // The client closes the session when its last handle is dropped.
        tasks.shutdown().await;
        drop((connection, client));
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, states.changed()).await;
        return (end, None);
    }
    (end, Some(client))
}
