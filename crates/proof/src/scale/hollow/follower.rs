//! Catalogue follower of a hollow node: loads the catalogue, watches it and applies the commits of other
//! writers, like a real node without its data path.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use woodgap::store::shared::SharedStore;
use woodgap::store::Store;
use woodgap_tenancy::Catalogue;
use woodgap_zookeeper::session::SessionHandle;

use super::protocol::{now_us, HostNotice};

/// Path of the catalogue in the coordination service.
pub const CATALOGUE_PATH: &str = "/catalogue";

/// Callback that sends a notice to the measuring process.
pub type NotifyFn = Arc<dyn Fn(HostNotice) + Send + Sync>;

/// Starts a follower on a dedicated thread, because the store's calls block. Returns the revision in force,
/// which the follower keeps up to date.
///
/// # Errors
/// When the thread or its runtime cannot be created.
pub fn start(service: &SessionHandle, node: String, notify: NotifyFn) -> std::io::Result<Arc<AtomicU64>> {
    let revision = Arc::new(AtomicU64::new(0));
    let (store, shared_revision) = (SharedStore::open(service, CATALOGUE_PATH), revision.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    std::thread::Builder::new().name(node.clone()).spawn(move || {
        let follower = Follower { store, node, revision: shared_revision, notify };
        runtime.block_on(follower.run());
    })?;
    Ok(revision)
}

struct Follower {
    store: SharedStore,
    node: String,
    revision: Arc<AtomicU64>,
    notify: NotifyFn,
}

impl Follower {
    async fn run(mut self) {
        let Some(mut remote) = self.store.remote_status() else { return };
        let Some(mut catalogue) = self.load() else { return };
        loop {
            let revision = remote.borrow_and_update().revision;
            if revision > catalogue.revision() {
                match self.catch_up(&mut catalogue) {
                    Some(commits) => self.report_in_force(&catalogue, commits),
                    // The service is unreachable: keep the current catalogue and retry after a pause.
                    None => std::thread::sleep(std::time::Duration::from_millis(200)),
                }
                continue;
            }
            if remote.changed().await.is_err() {
                return;
            }
        }
    }

    fn load(&mut self) -> Option<Catalogue> {
        match self.store.load() {
            Ok(catalogue) => {
                self.report_in_force(&catalogue, 0);
                Some(catalogue)
            }
            Err(error) => {
                (self.notify)(HostNotice::Fault(format!("{}: {error}", self.node)));
                None
            }
        }
    }

    /// Applies the commits of other writers. Returns their number, 0 after a load of the whole catalogue, or
    /// `None` when the store could not be read.
    fn catch_up(&mut self, catalogue: &mut Catalogue) -> Option<u64> {
        if let Some(commits) = self.store.commits_after(catalogue.revision()).ok()? {
            let count = commits.len() as u64;
            if commits.into_iter().all(|commit| catalogue.apply(commit).is_ok()) {
                return Some(count);
            }
        }
        *catalogue = self.store.load().ok()?;
        Some(0)
    }

    fn report_in_force(&self, catalogue: &Catalogue, commits: u64) {
        let revision = catalogue.revision();
        self.revision.store(revision, Ordering::Relaxed);
        (self.notify)(HostNotice::InForce { node: self.node.clone(), revision, commits, at_us: now_us() });
    }
}
