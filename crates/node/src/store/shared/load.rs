//! Reads of the shared store: all records while other nodes write, or only the commits after a revision.

use std::collections::BTreeMap;

use woodgap_tenancy::catalogue::{Backend, Change, Revision, TenantRecord, Write};
use woodgap_tenancy::{Catalogue, Commit, Uid};
use woodgap_zookeeper::session::Connection;
use woodgap_zookeeper::zookeeper_client::Error;

use super::interruption::{invalid, Interruption};
use super::records::{LogEntry, MAX_LOG_ENTRIES};
use super::replica::Replica;

/// Maximum number of reads in flight.
const MAX_CONCURRENT_READS: usize = 256;

/// Records that were read one after another, so not from one consistent snapshot.
struct Records {
    tenants: BTreeMap<Uid, TenantRecord>,
    backends: BTreeMap<(Uid, String), Backend>,
}

impl Records {
    /// Applies a commit's writes again. They are whole records, so the result is that of the commit.
    fn replay(&mut self, commit: &Commit) {
        for write in commit.writes.clone() {
            match write {
                Write::Tenant(uid, Some(record)) => drop(self.tenants.insert(uid, record)),
                Write::Tenant(uid, None) => {
                    self.tenants.remove(&uid);
                    self.backends.retain(|(owner, _), _| *owner != uid);
                }
                Write::Backend(uid, id, Some(record)) => drop(self.backends.insert((uid, id), record)),
                Write::Backend(uid, id, None) => drop(self.backends.remove(&(uid, id))),
            }
        }
    }

    /// Builds the catalogue from these records, without the servers of tenants that were deleted during the
    /// reads.
    fn into_catalogue(
        mut self,
        root: &str,
        revision: Revision,
        changes: Vec<Change>,
    ) -> Result<Catalogue, Interruption> {
        self.backends.retain(|(uid, _), _| self.tenants.contains_key(uid));
        let backends = self.backends.into_iter().map(|((uid, id), record)| (uid, id, record));
        Catalogue::load(revision, self.tenants.into_iter().collect(), backends.collect(), changes)
            .map_err(|error| invalid(root, error))
    }
}

impl Replica {
    /// Reads the nodes at `paths`, in that order; `None` for a node that does not exist.
    pub(super) async fn read_all(
        &self,
        connection: &Connection,
        paths: &[String],
    ) -> Result<Vec<Option<Vec<u8>>>, Interruption> {
        let mut all = Vec::with_capacity(paths.len());
        for paths in paths.chunks(MAX_CONCURRENT_READS) {
            // Each call sends its request at once, so that the requests are in flight together.
            let reads: Vec<_> = paths.iter().map(|path| connection.client.get_data(path)).collect();
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

    /// The commits of the log from `after` (exclusive) to `upto` (inclusive); `None` if the log does not have
    /// them all.
    pub(super) async fn log(
        &self,
        connection: &Connection,
        after: Revision,
        upto: Revision,
    ) -> Result<Option<Vec<Commit>>, Interruption> {
        if upto.saturating_sub(after) > MAX_LOG_ENTRIES {
            return Ok(None);
        }
        let paths: Vec<String> = (after + 1..=upto).map(|revision| self.paths.log(revision)).collect();
        let mut commits = Vec::with_capacity(paths.len());
        for (path, data) in paths.iter().zip(self.read_all(connection, &paths).await?) {
            let Some(data) = data else { return Ok(None) };
            let entry: LogEntry = serde_json::from_slice(&data).map_err(|error| invalid(path, error))?;
            commits.push(entry.commit);
        }
        Ok(Some(commits))
    }

    /// Loads the whole catalogue at one revision while other nodes write it.
    pub(super) async fn load(&self, connection: &Connection) -> Result<Catalogue, Interruption> {
        // Without `sync`, a lagging member of the ensemble may return an outdated state.
        connection.client.sync(&self.paths.root).await?;
        loop {
            let (before, ..) = self.root(connection).await?;
            let mut records = self.read_records(connection).await?;
            let (after, ..) = self.root(connection).await?;
            let log_len = after.revision.min(MAX_LOG_ENTRIES);
            let Some(log) = self.log(connection, after.revision - log_len, after.revision).await? else {
                // The log was trimmed during the reads because of that many new commits.
                continue;
            };
            if after.revision - before.revision > log_len {
                continue;
            }
            for commit in log.iter().filter(|commit| commit.change.revision > before.revision) {
                records.replay(commit);
            }
            let changes = log.into_iter().map(|commit| commit.change).collect();
            let catalogue = records.into_catalogue(&self.paths.root, after.revision, changes)?;
            self.record_root(&after);
            return Ok(catalogue);
        }
    }

    /// Reads all records, without a consistent snapshot across them.
    async fn read_records(&self, connection: &Connection) -> Result<Records, Interruption> {
        let names = connection.client.list_children(&self.paths.tenants()).await?;
        let uids: Vec<Uid> = names.iter().filter_map(|name| name.parse().ok().map(Uid)).collect();
        let tenants = self.read_tenants(connection, &uids).await?;
        let backends = self.read_backends(connection, &uids).await?;
        Ok(Records { tenants, backends })
    }

    async fn read_tenants(
        &self,
        connection: &Connection,
        uids: &[Uid],
    ) -> Result<BTreeMap<Uid, TenantRecord>, Interruption> {
        let paths: Vec<String> = uids.iter().map(|uid| self.paths.tenant(*uid)).collect();
        let mut tenants = BTreeMap::new();
        for ((uid, path), data) in uids.iter().zip(&paths).zip(self.read_all(connection, &paths).await?) {
            // A tenant deleted during the reads is also absent after the replay of the log.
            let Some(data) = data else { continue };
            tenants.insert(*uid, serde_json::from_slice(&data).map_err(|error| invalid(path, error))?);
        }
        Ok(tenants)
    }

    async fn read_backends(
        &self,
        connection: &Connection,
        uids: &[Uid],
    ) -> Result<BTreeMap<(Uid, String), Backend>, Interruption> {
        let mut keys: Vec<(Uid, String)> = Vec::new();
        for chunk in uids.chunks(MAX_CONCURRENT_READS) {
            // Each call sends its request at once, so that the requests are in flight together.
            let list = |uid: &Uid| (*uid, connection.client.list_children(&self.paths.tenant(*uid)));
            let lists: Vec<_> = chunk.iter().map(list).collect();
            for (uid, list) in lists {
                match list.await {
                    Ok(ids) => keys.extend(ids.into_iter().map(|id| (uid, id))),
                    Err(Error::NoNode) => {}
                    Err(error) => return Err(error.into()),
                }
            }
        }
        let paths: Vec<String> = keys.iter().map(|(uid, id)| self.paths.backend(*uid, id)).collect();
        let mut backends = BTreeMap::new();
        for ((key, path), data) in keys.into_iter().zip(&paths).zip(self.read_all(connection, &paths).await?)
        {
            let Some(data) = data else { continue };
            let record = serde_json::from_slice(&data).map_err(|error| invalid(path, error))?;
            backends.insert(key, record);
        }
        Ok(backends)
    }

    /// The commits after a revision, oldest first; `None` if the log does not have them all.
    pub(super) async fn commits_after(
        &self,
        connection: &Connection,
        revision: Revision,
    ) -> Result<Option<Vec<Commit>>, Interruption> {
        let (root, ..) = self.root(connection).await?;
        let commits = self.log(connection, revision, root.revision).await?;
        self.record_root(&root);
        Ok(commits)
    }
}
