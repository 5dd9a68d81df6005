//! Documents of tenants, servers and changes, as the administration API returns them.
//!
//! The doc comments are part of the published description.

use serde::{Deserialize, Serialize};
use utoipa::{IntoParams, ToSchema};
use woodgap_tenancy::catalogue::{Backend, Change, Revision, Tenant};
use woodgap_tenancy::{BackendSpec, TenantSpec, TenantState, Uid};

/// A tenant and its document.
#[derive(Debug, Serialize, ToSchema)]
pub(super) struct TenantDocument {
    /// Name of the tenant.
    pub(super) name: String,
    /// Unique id of the tenant, which tells tenants of the same name apart: the revision that created it.
    pub(super) uid: Uid,
    /// Revision that last wrote this document; its ETag is `"rREVISION"`.
    pub(super) revision: Revision,
    /// Lifecycle state of the tenant.
    pub(super) state: TenantState,
    /// The tenant's document, as its administrator wrote it.
    pub(super) spec: TenantSpec,
}

/// Summary of a tenant in a list.
#[derive(Debug, Serialize, ToSchema)]
pub(super) struct TenantLine {
    /// Name of the tenant.
    pub(super) name: String,
    /// Unique id of the tenant, which tells tenants of the same name apart.
    pub(super) uid: Uid,
    /// Revision that last wrote the tenant's document.
    pub(super) revision: Revision,
    /// Lifecycle state of the tenant.
    pub(super) state: TenantState,
    /// Number of servers of the tenant in the catalogue.
    pub(super) backends: usize,
}

/// A page of the list of tenants.
#[derive(Debug, Serialize, ToSchema)]
pub(super) struct TenantPage {
    /// Tenants, in the order of their names.
    pub(super) tenants: Vec<TenantLine>,
    /// Value of `after` for the next page; absent on the last page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) next: Option<String>,
    /// Revision of the catalogue.
    pub(super) revision: Revision,
}

/// A server of a tenant and its document.
#[derive(Debug, Serialize, ToSchema)]
pub(super) struct BackendDocument {
    /// Id of the server.
    pub(super) id: String,
    /// Revision that last wrote this document.
    pub(super) revision: Revision,
    /// Time at which the server was added to this tenant at this address, in Unix milliseconds.
    pub(super) added_ms: u64,
    /// The server's document, as its administrator wrote it.
    pub(super) spec: BackendSpec,
}

/// The servers of a tenant.
#[derive(Debug, Serialize, ToSchema)]
pub(super) struct BackendPage {
    /// Servers, in the order of their ids.
    pub(super) backends: Vec<BackendDocument>,
}

/// A page of the changes after a revision.
#[derive(Debug, Serialize, ToSchema)]
pub(super) struct ChangePage {
    /// Changes, oldest first; empty if there was none within the wait.
    pub(super) changes: Vec<Change>,
    /// Value of `after` for the next request.
    pub(super) revision: Revision,
}

/// Query parameters of the list of tenants.
#[derive(Debug, Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
pub(super) struct TenantsQuery {
    /// Name after which the list starts.
    pub(super) after: Option<String>,
    /// Maximum number of entries, 1 to 500; 100 if absent.
    pub(super) limit: Option<usize>,
    /// State of the tenants to list; `draining` lists those that were deleted and still hold requests.
    pub(super) state: Option<TenantState>,
}

/// Query parameters of the list of changes.
#[derive(Debug, Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
pub(super) struct ChangesQuery {
    /// Latest revision that the caller knows.
    pub(super) after: Revision,
    /// Maximum number of entries, 1 to 500; 100 if absent.
    pub(super) limit: Option<usize>,
}

pub(super) fn tenant_document(tenant: &Tenant) -> TenantDocument {
    let Tenant { uid, revision, state, .. } = *tenant;
    TenantDocument { name: tenant.name.clone(), uid, revision, state, spec: (*tenant.spec).clone() }
}

pub(super) fn backend_document((id, backend): (&String, &Backend)) -> BackendDocument {
    let Backend { spec, revision, added_ms } = backend.clone();
    BackendDocument { id: id.clone(), revision, added_ms, spec }
}
