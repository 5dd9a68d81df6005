//! Commits to the shared store: one atomic write of the root, the records and the log, and reading back its
//! outcome if the response was lost.

use woodgap_tenancy::catalogue::{ChangeKind, Write};
use woodgap_zookeeper::session::Connection;
use woodgap_zookeeper::zookeeper_client::{CreateMode, Error};

use super::client::{CommitOutcome, StoreFault};
use super::interruption::{invalid, Interruption};
use super::records::{json, LogEntry, RootRecord, FORMAT, MAX_LOG_ENTRIES};
use super::replica::Replica;

/// Maximum size of a commit with all its records: the service accepts one mebibyte per request
/// (`jute.maxbuffer`), including paths and headers.
pub const MAX_COMMIT_BYTES: usize = 1_000_000;

impl Replica {
    /// Writes a commit if the store is at its base revision.
    pub(super) async fn commit(
        &self,
        connection: &Connection,
        entry: &LogEntry,
    ) -> Result<CommitOutcome, Interruption> {
        let client = &connection.client;
        let commit = &entry.commit;
        let revision = commit.change.revision;
        let (root, version, _) = self.root(connection).await?;
        if root.revision != commit.base {
            return Ok(CommitOutcome::Conflict(root.revision));
        }
        let catalogue = if root.revision == 0 { entry.token } else { root.catalogue };
        let next = RootRecord { format: FORMAT, catalogue, revision };
        let options = CreateMode::Persistent.with_acls(connection.acls());
        // The root's version is the condition for the whole transaction.
        let mut multi = client.new_multi_writer();
        let mut bytes = 0;
        let mut add_size = |path: &str, data: &[u8]| bytes += path.len() + data.len() + 64;
        let data = json(&next);
        add_size(&self.paths.root, &data);
        multi.add_set_data(&self.paths.root, &data, Some(version))?;
        let (path, data) = (self.paths.log(revision), json(entry));
        add_size(&path, &data);
        multi.add_create(&path, &data, &options)?;
        if let Some(old) = revision.checked_sub(MAX_LOG_ENTRIES).filter(|old| *old > 0) {
            let path = self.paths.log(old);
            add_size(&path, &[]);
            multi.add_delete(&path, None)?;
        }
        for write in &commit.writes {
            match write {
                Write::Tenant(uid, Some(record)) => {
                    let (path, data) = (self.paths.tenant(*uid), json(record));
                    add_size(&path, &data);
                    match commit.change.deed {
                        ChangeKind::TenantCreated => multi.add_create(&path, &data, &options)?,
                        _ => multi.add_set_data(&path, &data, None)?,
                    }
                }
                Write::Tenant(uid, None) => {
                    let path = self.paths.tenant(*uid);
                    for id in client.list_children(&path).await? {
                        let child = format!("{path}/{id}");
                        add_size(&child, &[]);
                        multi.add_delete(&child, None)?;
                    }
                    add_size(&path, &[]);
                    multi.add_delete(&path, None)?;
                }
                Write::Backend(uid, id, record) => {
                    let path = format!("{}/{id}", self.paths.tenant(*uid));
                    let data = record.as_ref().map(json).unwrap_or_default();
                    add_size(&path, &data);
                    match (record, commit.change.deed) {
                        (None, _) => multi.add_delete(&path, None)?,
                        (Some(_), ChangeKind::BackendCreated) => multi.add_create(&path, &data, &options)?,
                        (Some(_), _) => multi.add_set_data(&path, &data, None)?,
                    }
                }
            }
        }
        if bytes > MAX_COMMIT_BYTES {
            return Ok(CommitOutcome::Failed(StoreFault::TooLong(bytes)));
        }
        match multi.commit().await {
            Ok(_) => {
                self.record_root(&next);
                Ok(CommitOutcome::Done)
            }
            Err(error) => match Error::from(error) {
                // Another node has written the root since it was read.
                Error::BadVersion => {
                    let (root, ..) = self.root(connection).await?;
                    Ok(CommitOutcome::Conflict(root.revision))
                }
                error @ (Error::NoNode | Error::NodeExists | Error::NotEmpty | Error::NoAuth) => {
                    let reason = format!("{}: the records do not match the log ({error})", self.paths.root);
                    Ok(CommitOutcome::Failed(StoreFault::Unwritable(reason)))
                }
                _ => Err(Interruption::Lost),
            },
        }
    }

    /// Finds the outcome of a commit whose response was lost; `None` if it was not written.
    pub(super) async fn find_outcome(
        &self,
        connection: &Connection,
        entry: &LogEntry,
    ) -> Result<Option<CommitOutcome>, Interruption> {
        // `sync` waits for writes that are still in progress at the service.
        connection.client.sync(&self.paths.root).await?;
        let (root, ..) = self.root(connection).await?;
        let revision = entry.commit.change.revision;
        if root.revision < revision {
            return Ok(None);
        }
        let path = self.paths.log(revision);
        match connection.client.get_data(&path).await {
            Ok((data, _)) => {
                let stored: LogEntry =
                    serde_json::from_slice(&data).map_err(|error| invalid(&path, error))?;
                if stored.token == entry.token {
                    self.record_root(&root);
                    return Ok(Some(CommitOutcome::Done));
                }
                Ok(Some(CommitOutcome::Conflict(root.revision)))
            }
            // Later commits have pushed this entry out of the log: the caller has to read the catalogue
            // again.
            Err(Error::NoNode) => Ok(Some(CommitOutcome::Conflict(root.revision))),
            Err(error) => Err(error.into()),
        }
    }
}
