//! The shared store as its node calls it: each call sends a request to the session's thread and blocks for
//! the response.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use woodgap_tenancy::catalogue::Revision;
use woodgap_tenancy::{Catalogue, Commit};
use woodgap_zookeeper::session::{SessionHandle, TaskGuard};

use super::commit::MAX_COMMIT_BYTES;
use super::records::{LogEntry, StorePaths};
use super::replica::Replica;
use crate::store::{RemoteStatus, Store, StoreError};

/// Maximum duration of a commit, including reading back its outcome.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum duration of reading the commits after a revision.
const COMMITS_AFTER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum duration of loading the catalogue, including the connection to the service at a node's start.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before a request is repeated that was lost with its connection.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of requests that wait for the session's thread; further ones fail at once.
const MAX_PENDING_REQUESTS: usize = 16;

/// Outcome of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CommitOutcome {
    /// The commit was written.
    Done,
    /// The store is at this revision instead of the commit's base. Nothing was written.
    Conflict(Revision),
    /// The commit failed for another reason.
    Failed(StoreFault),
}

/// Why a commit was not written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StoreFault {
    /// The records at the service do not match the log or cannot be changed.
    Unwritable(String),
    /// The store's content is invalid.
    Unreadable(String),
    /// The commit has this size, which exceeds `MAX_COMMIT_BYTES`.
    TooLong(usize),
}

/// Channel for the response to a request.
pub(super) type Reply<T> = std::sync::mpsc::SyncSender<T>;

/// A request to the session's thread.
pub(super) enum StoreRequest {
    /// Loads the whole catalogue.
    Load(Reply<Result<Catalogue, String>>),
    /// Reads the commits after a revision; `None` if the log does not have them all.
    CommitsAfter(Revision, Reply<Result<Option<Vec<Commit>>, String>>),
    /// Writes a commit.
    Commit(Arc<LogEntry>, Reply<CommitOutcome>),
    /// Finds the outcome of a commit whose response was lost: `Done`, `Conflict`, or `None` if it was not
    /// written.
    Outcome(Arc<LogEntry>, Reply<Result<Option<CommitOutcome>, String>>),
}

/// One node's handle to the shared store.
pub struct SharedStore {
    replica: Arc<Replica>,
    requests: mpsc::Sender<StoreRequest>,
    _task_guard: TaskGuard,
}

impl SharedStore {
    /// Opens the store under the path `root`, which is created if it does not exist.
    pub fn open(session: &SessionHandle, root: &str) -> SharedStore {
        let (requests, request_receiver) = mpsc::channel(MAX_PENDING_REQUESTS);
        let unavailable = Some((Instant::now(), "not reached yet".to_owned()));
        let replica = Arc::new(Replica {
            paths: StorePaths { root: root.to_owned() },
            requests: tokio::sync::Mutex::new(request_receiver),
            connected: watch::Sender::new(false),
            remote: watch::Sender::new(RemoteStatus { revision: 0, unavailable }),
            known_root: Mutex::default(),
        });
        let task_guard = session.spawn_task(replica.clone());
        SharedStore { replica, requests, _task_guard: task_guard }
    }

    /// Sends a request and waits for its response; `None` if the request was lost or the deadline has passed.
    fn request<T>(
        &self,
        deadline: Instant,
        make_request: impl FnOnce(Reply<T>) -> StoreRequest,
    ) -> Option<T> {
        let (reply, response) = std::sync::mpsc::sync_channel(1);
        self.requests.try_send(make_request(reply)).ok()?;
        response.recv_timeout(deadline.saturating_duration_since(Instant::now())).ok()
    }

    /// Repeats a request until a response arrives; `None` after `timeout`.
    fn request_until_answered<T>(
        &self,
        timeout: Duration,
        make_request: impl Fn(Reply<T>) -> StoreRequest,
    ) -> Option<T> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if *self.replica.connected.borrow() {
                if let Some(response) = self.request(deadline, &make_request) {
                    return Some(response);
                }
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        None
    }

    fn unreachable(&self) -> String {
        match &self.replica.remote.borrow().unavailable {
            Some((since, reason)) => {
                format!(
                    "the coordination service is out of reach for {} s: {reason}",
                    since.elapsed().as_secs()
                )
            }
            None => "the coordination service did not respond in time".to_owned(),
        }
    }
}

impl Store for SharedStore {
    fn load(&mut self) -> Result<Catalogue, StoreError> {
        let loaded = self.request_until_answered(LOAD_TIMEOUT, StoreRequest::Load);
        loaded.ok_or_else(|| StoreError::Unreadable(self.unreachable()))?.map_err(StoreError::Unreadable)
    }

    fn commit(&mut self, commit: &Commit) -> Result<(), StoreError> {
        if !*self.replica.connected.borrow() {
            return Err(StoreError::Unwritable(self.unreachable()));
        }
        let entry = Arc::new(LogEntry { token: fastrand::u64(..), commit: commit.clone() });
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        loop {
            let outcome = match self.request(deadline, |reply| StoreRequest::Commit(entry.clone(), reply)) {
                Some(outcome) => outcome,
                // The response is lost, so the outcome has to be read back.
                None => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    match self.request_until_answered(remaining, |reply| {
                        StoreRequest::Outcome(entry.clone(), reply)
                    }) {
                        Some(Ok(Some(outcome))) => outcome,
                        Some(Ok(None)) => continue,
                        Some(Err(reason)) => return Err(StoreError::Unreadable(reason)),
                        None => {
                            let reason =
                                format!("{}; whether the change was made is not known", self.unreachable());
                            return Err(StoreError::Unwritable(reason));
                        }
                    }
                }
            };
            return match outcome {
                CommitOutcome::Done => Ok(()),
                CommitOutcome::Conflict(present) => Err(StoreError::Conflict { present, base: commit.base }),
                CommitOutcome::Failed(StoreFault::Unwritable(reason)) => Err(StoreError::Unwritable(reason)),
                CommitOutcome::Failed(StoreFault::Unreadable(reason)) => Err(StoreError::Unreadable(reason)),
                CommitOutcome::Failed(StoreFault::TooLong(bytes)) => {
                    Err(StoreError::TooLong { bytes, max_bytes: MAX_COMMIT_BYTES })
                }
            };
        }
    }

    fn commits_after(&mut self, revision: Revision) -> Result<Option<Vec<Commit>>, StoreError> {
        let after = self.request_until_answered(COMMITS_AFTER_TIMEOUT, |reply| {
            StoreRequest::CommitsAfter(revision, reply)
        });
        after.ok_or_else(|| StoreError::Unreadable(self.unreachable()))?.map_err(StoreError::Unreadable)
    }

    fn remote_status(&self) -> Option<watch::Receiver<RemoteStatus>> {
        Some(self.replica.remote.subscribe())
    }
}
