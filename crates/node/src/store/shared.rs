//! The store that nodes share: versioned nodes of the coordination service.
//!
//! ```text
//!   ROOT                 {"format", "catalogue", "revision"}: its version guards every commit
//!   ROOT/t/UID           a tenant's record
//!   ROOT/t/UID/ID        a server's record
//!   ROOT/log/REVISION    a commit, with the token of the write that made it; the last MOST_LOG of them
//! ```
//!
//! A commit is one `multi`: the root at the version that was read, the records, an entry of the log. Whoever
//! reads the root at another version than the writer finds the write refused; so two nodes never build on the
//! same revision (ZooKeeper Programmer's Guide, "Consistency Guarantees": atomicity, and conditional updates by
//! version).
//!
//! A write whose answer is lost is read back: after `sync`, the log has this write's token under its revision,
//! or another's, or nothing. Only in the last case is it made again.
//!
//! A node follows by a watch on the root and takes the commits that it lacks from the log. One that lacks too
//! many, or starts, reads all records while others write, and then makes the commits of the log that came
//! meanwhile once more: they write whole records, so the outcome is the last revision exactly.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};
use woodgap_tenancy::catalogue::{Backend, Deed, Revision, TenantRecord, Write};
use woodgap_tenancy::{Catalogue, Commit, Uid};
use woodgap_zookeeper::session::{Going, Link, Running, Service, Work};
use woodgap_zookeeper::zookeeper_client::{CreateMode, Error, EventType, OneshotWatcher};

use super::{Remote, Store, StoreError};

/// The form of the records that this program writes and reads.
pub const FORMAT: u64 = 1;
/// Commits that the log keeps.
pub const MOST_LOG: u64 = 1_000;
/// Bytes of a commit with all its records, at most: the service takes a mebibyte at once (`jute.maxbuffer`),
/// names and heads included.
pub const LONGEST_COMMIT: usize = 1_000_000;
/// Reads that are out at a time.
const MOST_READS: usize = 256;
/// How long a commit may take, with all its reading back.
const COMMIT: Duration = Duration::from_secs(5);
/// How long reading what is new may take.
const AFTER: Duration = Duration::from_secs(5);
/// How long reading all of it may take, and looking for the service at a node's start.
const LOAD: Duration = Duration::from_secs(30);
/// Pause before something is asked again that was lost with its connection.
const AGAIN: Duration = Duration::from_millis(20);
/// Questions that wait for the session's thread; more are not asked.
const MOST_ASKED: usize = 16;

/// The root's data.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Root {
    format: u64,
    /// New with each catalogue that is begun: another one in its place is not taken for ours.
    catalogue: u64,
    revision: Revision,
}

/// An entry of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    token: u64,
    commit: Commit,
}

/// What a commit came to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Written {
    Done,
    Conflict(Revision),
    Failed(StoreFault),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum StoreFault {
    Unwritable(String),
    Unreadable(String),
    TooLong(usize),
}

type Reply<T> = std::sync::mpsc::SyncSender<T>;

/// What is asked of the session's thread.
enum Ask {
    Load(Reply<Result<Catalogue, String>>),
    After(Revision, Reply<Result<Option<Vec<Commit>>, String>>),
    Commit(Arc<Entry>, Reply<Written>),
    /// Whether a commit was made, after its answer was lost: `Done`, `Conflict`, or `None` for not at all.
    Outcome(Arc<Entry>, Reply<Result<Option<Written>, String>>),
}

struct Desk {
    root: String,
    asks: tokio::sync::Mutex<mpsc::Receiver<Ask>>,
    /// Whether there is a connection.
    up: watch::Sender<bool>,
    remote: watch::Sender<Remote>,
    /// Which catalogue this node holds, and the greatest revision of it that it has seen.
    ours: Mutex<Option<(u64, Revision)>>,
}

/// The shared store, as one node has it.
pub struct Shared {
    desk: Arc<Desk>,
    asks: mpsc::Sender<Ask>,
    _going: Going,
}

impl Shared {
    /// The store under a path, which is made where it is not there.
    pub fn open(service: &Service, root: &str) -> Shared {
        let (asks, asked) = mpsc::channel(MOST_ASKED);
        let ails = Some((Instant::now(), "not reached yet".to_owned()));
        let desk = Arc::new(Desk {
            root: root.to_owned(),
            asks: tokio::sync::Mutex::new(asked),
            up: watch::Sender::new(false),
            remote: watch::Sender::new(Remote { revision: 0, ails }),
            ours: Mutex::default(),
        });
        let going = service.go(desk.clone());
        Shared { desk, asks, _going: going }
    }

    /// Asks, and waits until it is answered or lost. `None` where it was lost, or there is no time left.
    fn ask<T>(&self, until: Instant, ask: impl FnOnce(Reply<T>) -> Ask) -> Option<T> {
        let (reply, answer) = std::sync::mpsc::sync_channel(1);
        self.asks.try_send(ask(reply)).ok()?;
        answer.recv_timeout(until.saturating_duration_since(Instant::now())).ok()
    }

    /// Asks again for as long as the answer is lost.
    fn insist<T>(&self, most: Duration, ask: impl Fn(Reply<T>) -> Ask) -> Option<T> {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if *self.desk.up.borrow() {
                if let Some(answer) = self.ask(until, &ask) {
                    return Some(answer);
                }
            }
            std::thread::sleep(AGAIN);
        }
        None
    }

    fn unreachable(&self) -> String {
        match &self.desk.remote.borrow().ails {
            Some((since, why)) => {
                format!("the coordination service is out of reach for {} s: {why}", since.elapsed().as_secs())
            }
            None => "the coordination service did not answer in time".to_owned(),
        }
    }
}

impl Store for Shared {
    fn load(&mut self) -> Result<Catalogue, StoreError> {
        let loaded = self.insist(LOAD, Ask::Load);
        loaded.ok_or_else(|| StoreError::Unreadable(self.unreachable()))?.map_err(StoreError::Unreadable)
    }

    fn commit(&mut self, commit: &Commit) -> Result<(), StoreError> {
        if !*self.desk.up.borrow() {
            return Err(StoreError::Unwritable(self.unreachable()));
        }
        let entry = Arc::new(Entry { token: fastrand::u64(..), commit: commit.clone() });
        let until = Instant::now() + COMMIT;
        loop {
            let written = match self.ask(until, |reply| Ask::Commit(entry.clone(), reply)) {
                Some(written) => written,
                // Its answer is lost, and with it what became of it.
                None => {
                    let left = until.saturating_duration_since(Instant::now());
                    match self.insist(left, |reply| Ask::Outcome(entry.clone(), reply)) {
                        Some(Ok(Some(written))) => written,
                        Some(Ok(None)) => continue,
                        Some(Err(why)) => return Err(StoreError::Unreadable(why)),
                        None => {
                            let why =
                                format!("{}; whether the change was made is not known", self.unreachable());
                            return Err(StoreError::Unwritable(why));
                        }
                    }
                }
            };
            return match written {
                Written::Done => Ok(()),
                Written::Conflict(present) => Err(StoreError::Conflict { present, base: commit.base }),
                Written::Failed(StoreFault::Unwritable(why)) => Err(StoreError::Unwritable(why)),
                Written::Failed(StoreFault::Unreadable(why)) => Err(StoreError::Unreadable(why)),
                Written::Failed(StoreFault::TooLong(bytes)) => {
                    Err(StoreError::TooLong { bytes, most: LONGEST_COMMIT })
                }
            };
        }
    }

    fn after(&mut self, revision: Revision) -> Result<Option<Vec<Commit>>, StoreError> {
        let after = self.insist(AFTER, |reply| Ask::After(revision, reply));
        after.ok_or_else(|| StoreError::Unreadable(self.unreachable()))?.map_err(StoreError::Unreadable)
    }

    fn remote(&self) -> Option<watch::Receiver<Remote>> {
        Some(self.desk.remote.subscribe())
    }
}

fn json(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Why something could not be done on a connection.
enum Stop {
    /// The connection is no good any more: what was asked is lost.
    Lost,
    /// What is there makes no sense, or may not be touched.
    Nonsense(String),
}

impl From<Error> for Stop {
    fn from(error: Error) -> Self {
        match error {
            // These say something of what is there.
            Error::NoAuth | Error::NoNode | Error::InvalidAcl | Error::NoChildrenForEphemerals => {
                Stop::Nonsense(error.to_string())
            }
            _ => Stop::Lost,
        }
    }
}

fn nonsense(path: &str, why: impl std::fmt::Display) -> Stop {
    Stop::Nonsense(format!("{path}: {why}"))
}

impl Desk {
    fn log_path(&self, revision: Revision) -> String {
        format!("{}/log/{revision:020}", self.root)
    }

    fn tenant_path(&self, uid: Uid) -> String {
        format!("{}/t/{}", self.root, uid.0)
    }

    /// Reads the root, and watches it: its data, version and watch.
    async fn root(&self, link: &Link) -> Result<(Root, i32, OneshotWatcher), Stop> {
        let (data, stat, watcher) = link.client.get_and_watch_data(&self.root).await?;
        // Made and not written yet: the empty catalogue.
        let root = match data.is_empty() {
            true => Root { format: FORMAT, ..Root::default() },
            false => serde_json::from_slice(&data).map_err(|error| nonsense(&self.root, error))?,
        };
        if root.format != FORMAT {
            let why = format!("its form is {}, this program reads {FORMAT}", root.format);
            return Err(nonsense(&self.root, why));
        }
        self.is_ours(&root)?;
        Ok((root, stat.version, watcher))
    }

    /// Whether a root is of the catalogue that this node holds, and no older than it. What was lost there must
    /// not be lost here too.
    fn is_ours(&self, root: &Root) -> Result<(), Stop> {
        let ours = *self.ours.lock().unwrap_or_else(PoisonError::into_inner);
        match ours {
            Some((catalogue, revision)) if revision > 0 && catalogue != root.catalogue => Err(nonsense(
                &self.root,
                format!(
                    "it holds another catalogue than this node's, which is at revision {revision}: restore \
                    it, or restart the nodes to take over what is there"
                ),
            )),
            Some((_, revision)) if root.revision < revision => Err(nonsense(
                &self.root,
                format!(
                    "it went back from revision {revision} to {}: restore it, or restart the nodes to take \
                    over what is there",
                    root.revision
                ),
            )),
            _ => Ok(()),
        }
    }

    fn saw(&self, root: &Root) {
        *self.ours.lock().unwrap_or_else(PoisonError::into_inner) = Some((root.catalogue, root.revision));
        self.remote.send_if_modified(|remote| {
            let changed = remote.revision != root.revision || remote.ails.is_some();
            (remote.revision, remote.ails) = (root.revision, None);
            changed
        });
    }

    fn ails(&self, why: String) {
        self.remote.send_if_modified(|remote| {
            let since = remote.ails.as_ref().map_or_else(Instant::now, |(since, _)| *since);
            let ails = Some((since, why));
            let changed = remote.ails != ails;
            if changed {
                if let Some((_, why)) = &ails {
                    tracing::info!("catalogue: {why}");
                }
            }
            remote.ails = ails;
            changed
        });
    }

    /// Reads nodes, those that are there, in the order of the paths.
    async fn read_all(&self, link: &Link, paths: &[String]) -> Result<Vec<Option<Vec<u8>>>, Stop> {
        let mut all = Vec::with_capacity(paths.len());
        for paths in paths.chunks(MOST_READS) {
            // Each is sent as it is made: they are on their way together.
            let reads: Vec<_> = paths.iter().map(|path| link.client.get_data(path)).collect();
            for read in reads {
                all.push(match read.await {
                    Ok((data, _)) => Some(data),
                    Err(Error::NoNode) => None,
                    Err(error) => return Err(error.into()),
                });
            }
        }
        Ok(all)
    }

    /// The commits of the log after one revision up to another; `None` where it does not have them all.
    async fn log(&self, link: &Link, after: Revision, upto: Revision) -> Result<Option<Vec<Commit>>, Stop> {
        if upto.saturating_sub(after) > MOST_LOG {
            return Ok(None);
        }
        let paths: Vec<String> = (after + 1..=upto).map(|revision| self.log_path(revision)).collect();
        let mut commits = Vec::with_capacity(paths.len());
        for (path, data) in paths.iter().zip(self.read_all(link, &paths).await?) {
            let Some(data) = data else { return Ok(None) };
            let entry: Entry = serde_json::from_slice(&data).map_err(|error| nonsense(path, error))?;
            commits.push(entry.commit);
        }
        Ok(Some(commits))
    }

    async fn load(&self, link: &Link) -> Result<Catalogue, Stop> {
        let client = &link.client;
        // Not what a member that lags behind has.
        client.sync(&self.root).await?;
        loop {
            let (before, ..) = self.root(link).await?;
            let mut tenants: BTreeMap<Uid, TenantRecord> = BTreeMap::new();
            let mut backends: BTreeMap<(Uid, String), Backend> = BTreeMap::new();
            let names = client.list_children(&format!("{}/t", self.root)).await?;
            let uids: Vec<Uid> = names.iter().filter_map(|name| name.parse().ok().map(Uid)).collect();
            let paths: Vec<String> = uids.iter().map(|uid| self.tenant_path(*uid)).collect();
            let mut servers: Vec<(Uid, String)> = Vec::new();
            for ((uid, path), data) in uids.iter().zip(&paths).zip(self.read_all(link, &paths).await?) {
                // One that went meanwhile is not there after the log either.
                let Some(data) = data else { continue };
                tenants.insert(*uid, serde_json::from_slice(&data).map_err(|error| nonsense(path, error))?);
            }
            for chunk in uids.chunks(MOST_READS) {
                let lists: Vec<_> =
                    chunk.iter().map(|uid| (*uid, client.list_children(&self.tenant_path(*uid)))).collect();
                for (uid, list) in lists {
                    match list.await {
                        Ok(ids) => servers.extend(ids.into_iter().map(|id| (uid, id))),
                        Err(Error::NoNode) => {}
                        Err(error) => return Err(error.into()),
                    }
                }
            }
            let paths: Vec<String> =
                servers.iter().map(|(uid, id)| format!("{}/{id}", self.tenant_path(*uid))).collect();
            for ((key, path), data) in servers.iter().zip(&paths).zip(self.read_all(link, &paths).await?) {
                let Some(data) = data else { continue };
                let record = serde_json::from_slice(&data).map_err(|error| nonsense(path, error))?;
                backends.insert(key.clone(), record);
            }
            let (after, ..) = self.root(link).await?;
            let kept = after.revision.min(MOST_LOG);
            let Some(log) = self.log(link, after.revision - kept, after.revision).await? else {
                // Trimmed while it was read: that many changes came meanwhile.
                continue;
            };
            if after.revision - before.revision > kept {
                continue;
            }
            for commit in log.iter().filter(|commit| commit.change.revision > before.revision) {
                for write in commit.writes.clone() {
                    match write {
                        Write::Tenant(uid, Some(record)) => drop(tenants.insert(uid, record)),
                        Write::Tenant(uid, None) => {
                            tenants.remove(&uid);
                            backends.retain(|(of, _), _| *of != uid);
                        }
                        Write::Backend(uid, id, Some(record)) => drop(backends.insert((uid, id), record)),
                        Write::Backend(uid, id, None) => drop(backends.remove(&(uid, id))),
                    }
                }
            }
            // A record that was read before its tenant went.
            backends.retain(|(uid, _), _| tenants.contains_key(uid));
            let changes = log.into_iter().map(|commit| commit.change).collect();
            let backends = backends.into_iter().map(|((uid, id), record)| (uid, id, record)).collect();
            let catalogue = Catalogue::load(after.revision, tenants.into_iter().collect(), backends, changes)
                .map_err(|error| nonsense(&self.root, error))?;
            self.saw(&after);
            return Ok(catalogue);
        }
    }

    async fn after(&self, link: &Link, revision: Revision) -> Result<Option<Vec<Commit>>, Stop> {
        let (root, ..) = self.root(link).await?;
        let commits = self.log(link, revision, root.revision).await?;
        self.saw(&root);
        Ok(commits)
    }

    async fn commit(&self, link: &Link, entry: &Entry) -> Result<Written, Stop> {
        let client = &link.client;
        let commit = &entry.commit;
        let revision = commit.change.revision;
        let (root, version, _) = self.root(link).await?;
        if root.revision != commit.base {
            return Ok(Written::Conflict(root.revision));
        }
        let catalogue = if root.revision == 0 { entry.token } else { root.catalogue };
        let next = Root { format: FORMAT, catalogue, revision };
        let options = CreateMode::Persistent.with_acls(link.acls());
        // The first of them guards all others.
        let mut multi = client.new_multi_writer();
        let mut bytes = 0;
        let mut count = |path: &str, data: &[u8]| bytes += path.len() + data.len() + 64;
        let data = json(&next);
        count(&self.root, &data);
        multi.add_set_data(&self.root, &data, Some(version))?;
        let (path, data) = (self.log_path(revision), json(entry));
        count(&path, &data);
        multi.add_create(&path, &data, &options)?;
        if let Some(old) = revision.checked_sub(MOST_LOG).filter(|old| *old > 0) {
            let path = self.log_path(old);
            count(&path, &[]);
            multi.add_delete(&path, None)?;
        }
        for write in &commit.writes {
            match write {
                Write::Tenant(uid, Some(record)) => {
                    let (path, data) = (self.tenant_path(*uid), json(record));
                    count(&path, &data);
                    match commit.change.deed {
                        Deed::TenantCreated => multi.add_create(&path, &data, &options)?,
                        _ => multi.add_set_data(&path, &data, None)?,
                    }
                }
                Write::Tenant(uid, None) => {
                    let path = self.tenant_path(*uid);
                    for id in client.list_children(&path).await? {
                        let child = format!("{path}/{id}");
                        count(&child, &[]);
                        multi.add_delete(&child, None)?;
                    }
                    count(&path, &[]);
                    multi.add_delete(&path, None)?;
                }
                Write::Backend(uid, id, record) => {
                    let path = format!("{}/{id}", self.tenant_path(*uid));
                    let data = record.as_ref().map(json).unwrap_or_default();
                    count(&path, &data);
                    match (record, commit.change.deed) {
                        (None, _) => multi.add_delete(&path, None)?,
                        (Some(_), Deed::BackendCreated) => multi.add_create(&path, &data, &options)?,
                        (Some(_), _) => multi.add_set_data(&path, &data, None)?,
                    }
                }
            }
        }
        if bytes > LONGEST_COMMIT {
            return Ok(Written::Failed(StoreFault::TooLong(bytes)));
        }
        match multi.commit().await {
            Ok(_) => {
                self.saw(&next);
                Ok(Written::Done)
            }
            Err(error) => match Error::from(error) {
                // Another was quicker.
                Error::BadVersion => {
                    let (root, ..) = self.root(link).await?;
                    Ok(Written::Conflict(root.revision))
                }
                error @ (Error::NoNode | Error::NodeExists | Error::NotEmpty | Error::NoAuth) => {
                    let why = format!("{}: what is there is not what the log says ({error})", self.root);
                    Ok(Written::Failed(StoreFault::Unwritable(why)))
                }
                _ => Err(Stop::Lost),
            },
        }
    }

    async fn outcome(&self, link: &Link, entry: &Entry) -> Result<Option<Written>, Stop> {
        // What is still on its way through the service comes before this.
        link.client.sync(&self.root).await?;
        let (root, ..) = self.root(link).await?;
        let revision = entry.commit.change.revision;
        if root.revision < revision {
            return Ok(None);
        }
        let path = self.log_path(revision);
        match link.client.get_data(&path).await {
            Ok((data, _)) => {
                let there: Entry = serde_json::from_slice(&data).map_err(|error| nonsense(&path, error))?;
                if there.token == entry.token {
                    self.saw(&root);
                    return Ok(Some(Written::Done));
                }
                Ok(Some(Written::Conflict(root.revision)))
            }
            // So much came after it that the log has it no more: whoever asked has to look.
            Err(Error::NoNode) => Ok(Some(Written::Conflict(root.revision))),
            Err(error) => Err(error.into()),
        }
    }

    /// Answers; `Err` where the connection is no good any more, and with it what was asked.
    async fn answer(&self, link: &Link, ask: Ask) -> Result<(), ()> {
        match ask {
            Ask::Load(reply) => {
                let loaded = match self.load(link).await {
                    Err(Stop::Lost) => return Err(()),
                    Err(Stop::Nonsense(why)) => Err(why),
                    Ok(catalogue) => Ok(catalogue),
                };
                let _ = reply.try_send(loaded);
            }
            Ask::After(revision, reply) => {
                let after = match self.after(link, revision).await {
                    Err(Stop::Lost) => return Err(()),
                    Err(Stop::Nonsense(why)) => Err(why),
                    Ok(commits) => Ok(commits),
                };
                let _ = reply.try_send(after);
            }
            Ask::Commit(entry, reply) => {
                let written = match self.commit(link, &entry).await {
                    Err(Stop::Lost) => return Err(()),
                    Err(Stop::Nonsense(why)) => Written::Failed(StoreFault::Unreadable(why)),
                    Ok(written) => written,
                };
                let _ = reply.try_send(written);
            }
            Ask::Outcome(entry, reply) => {
                let outcome = match self.outcome(link, &entry).await {
                    Err(Stop::Lost) => return Err(()),
                    Err(Stop::Nonsense(why)) => Err(why),
                    Ok(outcome) => Ok(outcome),
                };
                let _ = reply.try_send(outcome);
            }
        }
        Ok(())
    }

    /// Serves and follows until the connection is no good any more.
    async fn serve(&self, link: &Link) -> Result<(), Stop> {
        for folder in ["t", "log"] {
            let path = format!("{}/{folder}", self.root);
            link.ensure(&path).await.map_err(|error| match Stop::from(error) {
                Stop::Nonsense(why) => {
                    nonsense(&path, format!("it cannot be made ({why}): is the chroot there?"))
                }
                Stop::Lost => Stop::Lost,
            })?;
        }
        // A member that lags behind would look like a catalogue that went back.
        link.client.sync(&self.root).await?;
        let mut asks = self.asks.lock().await;
        // What was asked of a connection before this one is asked anew by whoever still waits.
        while asks.try_recv().is_ok() {}
        self.up.send_replace(true);
        loop {
            // A root that makes no sense is looked at again when it changes.
            let watcher = match self.root(link).await {
                Ok((root, _, watcher)) => {
                    self.saw(&root);
                    watcher
                }
                Err(Stop::Nonsense(why)) => {
                    self.ails(why);
                    link.client.check_and_watch_stat(&self.root).await?.1
                }
                Err(Stop::Lost) => return Err(Stop::Lost),
            };
            let mut changed = std::pin::pin!(watcher.changed());
            loop {
                tokio::select! {
                    event = &mut changed => {
                        if event.event_type == EventType::Session {
                            return Err(Stop::Lost);
                        }
                        break;
                    }
                    ask = asks.recv() => {
                        let Some(ask) = ask else { return Ok(()) };
                        self.answer(link, ask).await.map_err(|()| Stop::Lost)?;
                    }
                }
            }
        }
    }
}

impl Work for Desk {
    fn run(self: Arc<Self>, link: Link) -> Running {
        Box::pin(async move {
            match self.serve(&link).await {
                Err(Stop::Nonsense(why)) => self.ails(why),
                Err(Stop::Lost) | Ok(()) => {}
            }
            self.up.send_replace(false);
        })
    }

    fn lost(&self) {
        self.up.send_replace(false);
        self.ails("there is no connection to it".to_owned());
    }
}
