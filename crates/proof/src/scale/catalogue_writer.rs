//! Writes a catalogue into the coordination service through the shared store of `woodgap`, as a node does.

use std::net::SocketAddr;

use woodgap::store::shared::SharedStore;
use woodgap::store::{Store, StoreError};
use woodgap_tenancy::catalogue::Revision;
use woodgap_tenancy::{BackendSpec, Catalogue, Condition, Edit, Etag, TenantSpec};
use woodgap_zookeeper::session::SessionHandle;

use super::error::ScaleError;
use super::hollow::follower::CATALOGUE_PATH;
use super::stand_in::open_session;

/// Author recorded with every change.
const CHANGE_AUTHOR: &str = "scale";

/// Writer of a catalogue: its store and a local copy.
pub struct CatalogueWriter {
    store: SharedStore,
    catalogue: Catalogue,
    /// Keeps the session open.
    _service: SessionHandle,
}

fn rejected(error: impl std::fmt::Display) -> ScaleError {
    ScaleError::Catalogue(error.to_string())
}

/// Returns the spec of a tenant with two classes. Its servers register at `ephemeral_path`, if there is one.
pub fn tenant_spec(ephemeral_path: Option<&str>) -> TenantSpec {
    let mut document = woodgap_testkit::admin::tenant_spec(2_000);
    if let Some(path) = ephemeral_path {
        document["membership"] = serde_json::json!({ "ephemeral": path });
    }
    // The document is built only here, so an invalid one is a programming error, found by the first call.
    serde_json::from_value(document).unwrap_or_else(|error| panic!("the run's own document: {error}"))
}

/// Returns the spec of a server.
fn server_spec(address: SocketAddr) -> BackendSpec {
    let document = serde_json::json!({"address": address, "started_ms": 0});
    serde_json::from_value(document).unwrap_or_else(|error| panic!("the run's own document: {error}"))
}

impl CatalogueWriter {
    /// Connects to the coordination service and loads the catalogue.
    ///
    /// # Errors
    /// When the service cannot be reached.
    pub fn open(address: SocketAddr) -> Result<CatalogueWriter, ScaleError> {
        let service = open_session(address)?;
        let mut store = SharedStore::open(&service, CATALOGUE_PATH);
        let catalogue = store.load().map_err(rejected)?;
        Ok(CatalogueWriter { store, catalogue, _service: service })
    }

    /// Commits a change and returns its revision. On a conflict with another writer, reloads the catalogue
    /// and retries.
    ///
    /// # Errors
    /// When the catalogue or the store rejects the change.
    fn commit(
        &mut self,
        build_edit: impl Fn(&Catalogue) -> Result<(Edit, Condition), ScaleError>,
    ) -> Result<Revision, ScaleError> {
        loop {
            let (edit, condition) = build_edit(&self.catalogue)?;
            let prepared = self.catalogue.prepare(edit, condition, CHANGE_AUTHOR, 0);
            let commit = prepared.map_err(|refusal| rejected(format!("{refusal:?}")))?;
            let revision = commit.change.revision;
            match self.store.commit(&commit) {
                Ok(()) => {
                    self.catalogue
                        .apply(commit)
                        .map_err(|current| rejected(format!("the local copy is at revision {current}")))?;
                    return Ok(revision);
                }
                Err(StoreError::Conflict { .. }) => self.catalogue = self.store.load().map_err(rejected)?,
                Err(error) => return Err(rejected(error)),
            }
        }
    }

    /// Creates a tenant with these servers. Returns the last revision.
    ///
    /// # Errors
    /// When a change is rejected.
    pub fn create_tenant(
        &mut self,
        name: &str,
        spec: TenantSpec,
        servers: &[SocketAddr],
    ) -> Result<Revision, ScaleError> {
        let put_tenant = |_: &Catalogue| {
            Ok((Edit::PutTenant { tenant: name.to_owned(), spec: spec.clone() }, Condition::IfNoneMatch))
        };
        let mut revision = self.commit(put_tenant)?;
        for (n, address) in servers.iter().enumerate() {
            let put_server = |_: &Catalogue| {
                let (tenant, backend) = (name.to_owned(), format!("s{n}"));
                Ok((
                    Edit::PutBackend { tenant, backend, spec: server_spec(*address) },
                    Condition::IfNoneMatch,
                ))
            };
            revision = self.commit(put_server)?;
        }
        Ok(revision)
    }

    /// Changes the quota of a tenant. Returns the revision of the change.
    ///
    /// # Errors
    /// When there is no such tenant or the change is rejected.
    pub fn set_quota(&mut self, name: &str, quota_per_s: f64) -> Result<Revision, ScaleError> {
        self.commit(|catalogue| {
            let tenant = catalogue
                .active_tenant(name)
                .ok_or_else(|| rejected(format!("there is no tenant {name}")))?;
            let spec = TenantSpec { quota_per_s, ..(*tenant.spec).clone() };
            let unchanged = Condition::IfMatch(Etag(tenant.revision));
            Ok((Edit::PutTenant { tenant: name.to_owned(), spec }, unchanged))
        })
    }

    /// Returns the number of tenants.
    pub fn tenant_count(&self) -> usize {
        self.catalogue.tenants().count()
    }

    /// Creates tenants until there are `tenants`, each with these servers. Returns the last revision.
    ///
    /// # Errors
    /// When a change is rejected.
    pub fn fill(&mut self, tenants: usize, servers: &[SocketAddr]) -> Result<Revision, ScaleError> {
        for n in self.tenant_count()..tenants {
            self.create_tenant(&format!("t{n:06}"), tenant_spec(None), servers)?;
        }
        Ok(self.catalogue.revision())
    }
}
