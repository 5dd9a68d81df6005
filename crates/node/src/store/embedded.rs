//! The store of a single node: one file with `redb` transactions.
//!
//! A commit is one transaction, synced before it is acknowledged. A process that is killed at any moment
//! leaves the last acknowledged commit intact, because `redb` writes new pages beside the old ones and
//! switches between two headers.

use std::path::{Path, PathBuf};

use redb::{Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use woodgap_tenancy::catalogue::{Write, MAX_CHANGES};
use woodgap_tenancy::{Catalogue, Commit, Uid};

use super::{Store, StoreError};

/// Version of the record format that this program reads and writes.
pub const FORMAT: u64 = 1;
/// Maximum size of the page cache.
pub const CACHE_BYTES: usize = 4 << 20;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const TENANTS: TableDefinition<u64, &[u8]> = TableDefinition::new("tenants");
const BACKENDS: TableDefinition<(u64, &str), &[u8]> = TableDefinition::new("backends");
const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");

type OpenDatabase = Box<dyn Fn() -> Result<Database, DatabaseError> + Send>;

/// A catalogue in a file, which one process at a time may have open.
pub struct EmbeddedStore {
    open: OpenDatabase,
    /// `None` after a failure: `redb` refuses further use of a database that failed, so it is reopened.
    database: Option<Database>,
}

fn unreadable(error: impl std::fmt::Display) -> StoreError {
    StoreError::Unreadable(error.to_string())
}

fn unwritable(error: impl std::fmt::Display) -> StoreError {
    StoreError::Unwritable(error.to_string())
}

impl EmbeddedStore {
    /// The store in the file at `path`, which is created if it does not exist.
    pub fn file(path: &Path) -> Self {
        let path: PathBuf = path.to_owned();
        EmbeddedStore::with_opener(move || {
            let is_new = !path.exists();
            let database = builder().create(&path)?;
            // Without a sync of the folder, a crash may lose the file's name and with it all acknowledged
            // commits.
            if let Some(folder) = path.parent().filter(|_| is_new) {
                let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
                std::fs::File::open(folder)?.sync_all()?;
            }
            Ok(database)
        })
    }

    /// A store on the database that `open` returns, which is called again after each failure.
    pub fn with_opener(open: impl Fn() -> Result<Database, DatabaseError> + Send + 'static) -> Self {
        EmbeddedStore { open: Box::new(open), database: None }
    }

    fn database(&mut self) -> Result<&Database, DatabaseError> {
        if self.database.is_none() {
            self.database = Some((self.open)()?);
        }
        // The database is set above; the error only satisfies the type.
        self.database.as_ref().ok_or(DatabaseError::RepairAborted)
    }

    fn read(&mut self) -> Result<Catalogue, StoreError> {
        let database = self.database().map_err(unreadable)?;
        let read = database.begin_read().map_err(unreadable)?;
        if read.list_tables().map_err(unreadable)?.next().is_none() {
            return Ok(Catalogue::default());
        }
        let meta = read.open_table(META).map_err(unreadable)?;
        let meta_value = |name| meta.get(name).map_err(unreadable).map(|value| value.map(|v| v.value()));
        match meta_value("format")? {
            Some(FORMAT) => {}
            Some(other) => {
                let text = format!(
                    "its format is {other}, this program reads {FORMAT}: use the program that wrote it"
                );
                return Err(StoreError::Unreadable(text));
            }
            None => return Err(StoreError::Unreadable("it is not a tenant catalogue".into())),
        }
        let revision = meta_value("revision")?.ok_or_else(|| unreadable("it has no revision"))?;
        let (mut tenants, mut backends, mut changes) = (Vec::new(), Vec::new(), Vec::new());
        for entry in read.open_table(TENANTS).map_err(unreadable)?.iter().map_err(unreadable)? {
            let (uid, record) = entry.map_err(unreadable)?;
            tenants.push((Uid(uid.value()), parse(record.value())?));
        }
        for entry in read.open_table(BACKENDS).map_err(unreadable)?.iter().map_err(unreadable)? {
            let (key, record) = entry.map_err(unreadable)?;
            let (uid, id) = key.value();
            backends.push((Uid(uid), id.to_owned(), parse(record.value())?));
        }
        for entry in read.open_table(CHANGES).map_err(unreadable)?.iter().map_err(unreadable)? {
            changes.push(parse(entry.map_err(unreadable)?.1.value())?);
        }
        Catalogue::load(revision, tenants, backends, changes).map_err(unreadable)
    }

    fn write(&mut self, commit: &Commit) -> Result<(), StoreError> {
        let database = self.database().map_err(unwritable)?;
        let write = database.begin_write().map_err(unwritable)?;
        {
            let mut meta = write.open_table(META).map_err(unwritable)?;
            let present = meta.get("revision").map_err(unwritable)?.map_or(0, |value| value.value());
            if present != commit.base {
                return Err(StoreError::Conflict { present, base: commit.base });
            }
            meta.insert("format", FORMAT).map_err(unwritable)?;
            meta.insert("revision", commit.change.revision).map_err(unwritable)?;
            let mut tenants = write.open_table(TENANTS).map_err(unwritable)?;
            let mut backends = write.open_table(BACKENDS).map_err(unwritable)?;
            for record_write in &commit.writes {
                match record_write {
                    Write::Tenant(uid, Some(record)) => {
                        tenants.insert(uid.0, serialize(record)?.as_slice()).map_err(unwritable)?;
                    }
                    Write::Tenant(uid, None) => {
                        tenants.remove(uid.0).map_err(unwritable)?;
                        let backends_of_tenant = (uid.0, "")..(uid.0 + 1, "");
                        backends.retain_in(backends_of_tenant, |_, _| false).map_err(unwritable)?;
                    }
                    Write::Backend(uid, id, Some(record)) => {
                        let record = serialize(record)?;
                        backends.insert((uid.0, id.as_str()), record.as_slice()).map_err(unwritable)?;
                    }
                    Write::Backend(uid, id, None) => {
                        backends.remove((uid.0, id.as_str())).map_err(unwritable)?;
                    }
                }
            }
            let mut changes = write.open_table(CHANGES).map_err(unwritable)?;
            let change = serialize(&commit.change)?;
            changes.insert(commit.change.revision, change.as_slice()).map_err(unwritable)?;
            if let Some(old) = commit.change.revision.checked_sub(MAX_CHANGES as u64) {
                changes.remove(old).map_err(unwritable)?;
            }
        }
        write.commit().map_err(unwritable)
    }
}

impl Store for EmbeddedStore {
    fn load(&mut self) -> Result<Catalogue, StoreError> {
        let loaded = self.read();
        if loaded.is_err() {
            self.database = None;
        }
        loaded
    }

    fn commit(&mut self, commit: &Commit) -> Result<(), StoreError> {
        let written = self.write(commit);
        if matches!(written, Err(StoreError::Unwritable(_))) {
            self.database = None;
        }
        written
    }
}

/// The `redb` settings of all stores.
pub fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

fn serialize(record: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(record).map_err(unwritable)
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(unreadable)
}

#[cfg(test)]
mod tests {
    use super::*;
    use woodgap_tenancy::{Condition, Edit, Etag, TenantSpec};

    fn spec() -> TenantSpec {
        serde_json::from_str(r#"{"classes": {"renew": {"repeat": "unsafe", "deadline_ms": 2500}}}"#).unwrap()
    }

    fn put(name: &str) -> Edit {
        Edit::PutTenant { tenant: name.into(), spec: spec() }
    }

    fn commit_edit(
        store: &mut dyn Store,
        catalogue: &mut Catalogue,
        edit: Edit,
        condition: Condition,
    ) -> Result<(), StoreError> {
        let commit = catalogue.prepare(edit, condition, "op", 7).unwrap();
        store.commit(&commit)?;
        catalogue.apply(commit).unwrap();
        Ok(())
    }

    #[test]
    fn load_returns_all_acknowledged_commits_and_no_rejected_one() {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("catalogue");
        let mut catalogue = Catalogue::default();
        {
            let mut store = EmbeddedStore::file(&path);
            assert!(store.load().unwrap() == catalogue);
            commit_edit(&mut store, &mut catalogue, put("a"), Condition::IfNoneMatch).unwrap();
            let server = serde_json::from_str(r#"{"address": "127.0.0.1:9"}"#).unwrap();
            let server = Edit::PutBackend { tenant: "a".into(), backend: "s".into(), spec: server };
            commit_edit(&mut store, &mut catalogue, server, Condition::IfNoneMatch).unwrap();
            commit_edit(&mut store, &mut catalogue, put("b"), Condition::IfNoneMatch).unwrap();
            let delete = Edit::DeleteTenant { tenant: "a".into() };
            commit_edit(&mut store, &mut catalogue, delete, Condition::IfMatch(Etag(1))).unwrap();
            assert!(store.load().unwrap() == catalogue);
            let finish = Edit::FinishDrain { uid: Uid(1) };
            commit_edit(&mut store, &mut catalogue, finish, Condition::None).unwrap();
            // A commit on top of an outdated revision is rejected.
            let outdated = Catalogue::default().prepare(put("z"), Condition::IfNoneMatch, "op", 7).unwrap();
            let refused = store.commit(&outdated);
            assert!(matches!(refused, Err(StoreError::Conflict { present: 5, base: 0 })), "{refused:?}");
        }
        assert!(EmbeddedStore::file(&path).load().unwrap() == catalogue);
    }

    #[test]
    fn file_that_is_no_store_is_left_unchanged() {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("catalogue");
        let text = "not a database, but somebody's only copy of something".repeat(200);
        std::fs::write(&path, &text).unwrap();
        let mut store = EmbeddedStore::file(&path);
        assert!(matches!(store.load(), Err(StoreError::Unreadable(_))));
        let commit = Catalogue::default().prepare(put("a"), Condition::IfNoneMatch, "op", 7).unwrap();
        assert!(matches!(store.commit(&commit), Err(StoreError::Unwritable(_))));
        assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
    }

    #[test]
    fn store_of_another_format_is_rejected() {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("catalogue");
        {
            let database = builder().create(&path).unwrap();
            let write = database.begin_write().unwrap();
            write.open_table(META).unwrap().insert("format", FORMAT + 1).unwrap();
            write.commit().unwrap();
        }
        let error = EmbeddedStore::file(&path).load().unwrap_err().to_string();
        assert!(error.contains("its format is 2"), "{error}");
    }
}
