//! Watches the servers that are registered under a path: reads all of them, then follows changes.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use woodgap_membership::SourceUpdate;
use zookeeper_client::{Error, EventType, WatchedEvent};

use crate::session::{Connection, SessionTask, TaskFuture};
use crate::view::{ChildrenUpdate, ChildrenView, OmittedChild};

/// Minimum time between two rounds of reads of a path; children that change faster are read together.
pub const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of reads in flight.
const MAX_CONCURRENT_READS: usize = 256;

type UpdateCallback = Box<dyn Fn(ChildrenUpdate) + Send + Sync>;

/// A path whose children are servers; a task of the session.
pub struct WatchedPool {
    path: String,
    view: Mutex<ChildrenView>,
    notify: UpdateCallback,
}

impl WatchedPool {
    /// Creates the task for a path. `notify` receives each change on the session's thread and must not block.
    pub fn new(path: String, notify: impl Fn(ChildrenUpdate) + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(WatchedPool { path, view: Mutex::default(), notify: Box::new(notify) })
    }

    fn view<T>(&self, access: impl FnOnce(&mut ChildrenView) -> T) -> T {
        access(&mut self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads and watches until the connection fails.
    async fn follow_changes(&self, connection: &Connection) -> Result<(), Error> {
        let client = &connection.client;
        let child_path = |name: &str| format!("{}/{name}", self.path);
        // Each watch carries the name of its child, or `None` for the path itself.
        let mut watches: JoinSet<(Option<String>, WatchedEvent)> = JoinSet::new();
        let mut active_watches: HashMap<String, AbortHandle> = HashMap::new();
        let (mut list_changed, mut names_to_read, mut first) = (true, BTreeSet::new(), true);
        loop {
            let round = Instant::now();
            if list_changed {
                let (names, watcher) = match client.list_and_watch_children(&self.path).await {
                    Ok((names, watcher)) => (names, watcher),
                    Err(Error::NoNode) => {
                        // Watches for its creation; if it was created meanwhile, it is listed at once.
                        let (stat, watcher) = client.check_and_watch_stat(&self.path).await?;
                        if stat.is_some() {
                            continue;
                        }
                        (Vec::new(), watcher)
                    }
                    Err(error) => return Err(error),
                };
                watches.spawn(async move { (None, watcher.changed().await) });
                let names = self.view(|view| view.set_names(names));
                active_watches.retain(|name, watch| {
                    let is_listed = names.contains(name);
                    if !is_listed {
                        watch.abort();
                    }
                    is_listed
                });
                names_to_read.extend(names.into_iter().filter(|name| !active_watches.contains_key(name)));
                list_changed = false;
            }
            let due: Vec<String> = std::mem::take(&mut names_to_read).into_iter().collect();
            for names in due.chunks(MAX_CONCURRENT_READS) {
                // Each request is sent as it is created, so all are in flight together.
                let reads: Vec<_> =
                    names.iter().map(|name| (name, client.get_and_watch_data(&child_path(name)))).collect();
                for (name, result) in reads {
                    match result.await {
                        Ok((data, stat, watcher)) => {
                            self.view(|view| view.put(name, stat.czxid, stat.version, &data));
                            let child_name = name.clone();
                            let watch =
                                watches.spawn(async move { (Some(child_name), watcher.changed().await) });
                            active_watches.insert(name.clone(), watch);
                        }
                        // The watch on the list reports its deletion, or already has.
                        Err(Error::NoNode) => self.view(|view| view.remove_child(name)),
                        Err(error @ Error::NoAuth) => {
                            self.view(|view| view.mark_unreadable(name, &error.to_string()));
                        }
                        Err(error) => return Err(error),
                    }
                }
            }
            let update = self.view(|view| if first { Some(view.diff_or_empty()) } else { view.diff() });
            first = false;
            if let Some(update) = update {
                (self.notify)(update);
            }
            let mut next_event = watches.join_next().await;
            // Events that arrive together are handled in one round.
            tokio::time::sleep_until(round + MIN_READ_INTERVAL).await;
            while let Some(event) = next_event {
                // An aborted watch belonged to a removed child.
                if let Ok((child_name, event)) = event {
                    if event.event_type == EventType::Session {
                        return Err(Error::ConnectionLoss);
                    }
                    match child_name {
                        None => list_changed = true,
                        Some(name) => {
                            active_watches.remove(&name);
                            names_to_read.insert(name);
                        }
                    }
                }
                next_event = watches.try_join_next();
            }
        }
    }
}

impl SessionTask for WatchedPool {
    fn run(self: Arc<Self>, connection: Connection) -> TaskFuture {
        Box::pin(async move {
            // Whatever failed, the next run reads everything again. `on_disconnect` reports a lost
            // connection; any other error persists until an operator corrects it, and has to be visible.
            match self.follow_changes(&connection).await {
                Ok(()) | Err(Error::ConnectionLoss | Error::SessionExpired | Error::ClientClosed) => {}
                Err(error) => {
                    let fault =
                        OmittedChild { child: String::new(), problem: format!("cannot be read: {error}") };
                    (self.notify)(ChildrenUpdate { update: SourceUpdate::Unreachable, omitted: vec![fault] });
                }
            }
        })
    }

    fn on_disconnect(&self) {
        (self.notify)(ChildrenUpdate {
            update: SourceUpdate::Unreachable,
            omitted: self.view(|view| view.omitted().to_vec()),
        });
    }
}
