//! The catalogue of tenants and their servers: revisions, preconditions of changes, lifecycle and history. A
//! node's control thread prepares and applies changes here, and a store makes them durable.
//!
//! Every change is a [`Commit`] on top of one revision of the whole catalogue and makes the next one, so a
//! store needs only one compare-and-set. Each document (a tenant, a server) carries the revision that
//! last wrote it. That revision is the document's entity tag, and a write names the tag that it has read
//! (RFC 9110, section 13.1), so two administrators cannot overwrite each other's changes unnoticed.
//!
//! A tenant is `active` until it is deleted. The delete frees its name at once and leaves it `draining` under
//! its [`Uid`] until the node has responded to the requests that it held. Then it is `gone`, and only the
//! history mentions it. A tenant that is created with the freed name is a new tenant with its own uid.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use utoipa::ToSchema;
use woodgap_membership::Transport;

use crate::route::RouteMatch;
use crate::spec::{is_id, is_name, BackendPhase, BackendSpec, FieldFault, TenantSpec};

/// Maximum number of tenants, including those that drain.
pub const MAX_TENANTS: usize = 20_000;
/// Maximum number of servers of a tenant.
pub const MAX_BACKENDS: usize = 1_024;
/// Number of changes that the history keeps.
pub const MAX_CHANGES: usize = 10_000;

/// A revision of the catalogue; 0 is the empty catalogue.
pub type Revision = u64;
/// Unix time in milliseconds.
pub type Millis = u64;

/// Identifies a tenant over its whole lifetime: the revision that created it. A name can be reused, a uid
/// cannot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ToSchema,
)]
#[serde(transparent)]
pub struct Uid(pub u64);

/// The strong entity tag of a document: the revision that last wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Etag(pub Revision);

impl std::fmt::Display for Etag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "\"r{}\"", self.0)
    }
}

impl std::str::FromStr for Etag {
    type Err = ();

    /// Reads a strong tag (RFC 9110, section 8.8.3); a weak one never matches (section 13.1.1).
    fn from_str(text: &str) -> Result<Self, ()> {
        let inner = text.trim().strip_prefix("\"r").and_then(|t| t.strip_suffix('"')).ok_or(())?;
        let plain = !inner.is_empty() && inner.bytes().all(|b| b.is_ascii_digit());
        plain.then(|| inner.parse().map(Etag).map_err(drop)).ok_or(())?
    }
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No precondition: the write is refused.
    None,
    /// `If-Match`: the document still has this tag.
    IfMatch(Etag),
    /// `If-None-Match: *`: the document does not exist.
    IfNoneMatch,
}

/// Lifecycle state of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename_all = "snake_case")]
#[schema(as = State)]
pub enum TenantState {
    /// It accepts requests.
    Active,
    /// It was deleted: requests that it holds get their responses, and new ones are refused.
    Draining,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its identity, which outlives its name.
    pub uid: Uid,
    /// Its name, which another tenant may take once this one drains.
    pub name: String,
    /// Its lifecycle state.
    pub state: TenantState,
    /// Its document, as its administrator wrote it.
    pub spec: Arc<TenantSpec>,
    /// The revision that last wrote the tenant's own document.
    pub revision: Revision,
    /// Its servers, by id.
    pub backends: BTreeMap<String, Backend>,
}

/// A server of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Its document, as its administrator wrote it.
    pub spec: BackendSpec,
    /// The revision that last wrote the document.
    pub revision: Revision,
    /// Time at which it was added to this tenant at this address.
    pub added_ms: Millis,
}

impl Backend {
    /// Time at which its process started. Without `started_ms` this is the time at which the server was
    /// added, so it counts as cold.
    pub fn since_ms(&self) -> Millis {
        self.spec.started_ms.unwrap_or(self.added_ms)
    }
}

/// A change that an administrator, or the node itself, requests.
#[derive(Clone, Debug)]
pub enum Edit {
    /// Creates a tenant or replaces its document.
    PutTenant {
        /// The tenant's name.
        tenant: String,
        /// The new document.
        spec: TenantSpec,
    },
    /// Deletes a tenant, which then drains.
    DeleteTenant {
        /// The tenant's name.
        tenant: String,
    },
    /// Creates a server or replaces its document.
    PutBackend {
        /// The tenant's name.
        tenant: String,
        /// The server's id.
        backend: String,
        /// The new document.
        spec: BackendSpec,
    },
    /// Deletes a server.
    DeleteBackend {
        /// The tenant's name.
        tenant: String,
        /// The server's id.
        backend: String,
    },
    /// Removes a drained tenant that holds nothing any more. It needs no precondition, since only the node
    /// makes this change.
    FinishDrain {
        /// The tenant to remove.
        uid: Uid,
    },
}

/// The kind of a change, as the history records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename_all = "snake_case")]
#[schema(as = Deed)]
pub enum ChangeKind {
    /// A tenant was created.
    TenantCreated,
    /// A tenant's document was replaced.
    TenantChanged,
    /// A tenant was deleted and starts to drain.
    TenantDeleted,
    /// A drained tenant was removed.
    TenantGone,
    /// A server was added.
    BackendCreated,
    /// A server's document was replaced.
    BackendChanged,
    /// A server was deleted.
    BackendDeleted,
}

/// An entry of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct Change {
    /// The revision that the change made.
    pub revision: Revision,
    /// The kind of the change.
    pub deed: ChangeKind,
    /// The tenant's name.
    pub tenant: String,
    /// The tenant's uid, which tells tenants of the same name apart.
    pub uid: Uid,
    /// The server's id, if the change concerns a server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<String>,
    /// Who requested the change: the name of a token, or `node`.
    pub by: String,
    /// Time of the change, Unix time in milliseconds.
    pub at_ms: Millis,
}

/// A tenant's record in a store, without its servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantRecord {
    /// Its name.
    pub name: String,
    /// Its lifecycle state.
    pub state: TenantState,
    /// The revision that last wrote it.
    pub revision: Revision,
    /// Its document.
    pub spec: TenantSpec,
}

/// One entry that a commit writes or removes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// A tenant's record; `None` removes it and its servers.
    Tenant(Uid, Option<TenantRecord>),
    /// A server's record; `None` removes it.
    Backend(Uid, String, Option<Backend>),
}

/// A change to make durable and then to apply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// The revision on which the change is based: a store accepts it only on top of this revision.
    pub base: Revision,
    /// The history entry, with the revision that the change makes.
    pub change: Change,
    /// The records to write.
    pub writes: Vec<Write>,
}

/// Why a change is refused. A refused change has no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The document does not exist.
    #[error("{0}")]
    NotFound(String),
    /// The write has no precondition.
    #[error("send If-Match with the ETag that you read, or If-None-Match: * to create")]
    NoCondition,
    /// The document differs from the one that the write has read; its present tag, if the document exists.
    #[error("the document has changed since you read it: read it again before you retry")]
    Changed(Option<Etag>),
    /// The document is invalid.
    #[error("the document is invalid")]
    Invalid(Vec<FieldFault>),
    /// A limit of the catalogue is reached.
    #[error("{0}")]
    Full(String),
}

/// A server as a tenant's connection pool uses it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The server's id.
    pub id: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Protocol and trust by which it is reached.
    pub transport: Transport,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its weight: its size divided by the number of tenants that share the address, so that those tenants
    /// together load the server, and warm it up, as a single tenant would.
    pub size: f64,
    /// Whether it accepts new requests.
    pub in_service: bool,
    /// Time at which its process started, Unix time in milliseconds; 0 means long ago.
    pub since_ms: Millis,
}

/// The tenants of a hosted service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    revision: Revision,
    tenants: BTreeMap<Uid, Tenant>,
    /// Active tenants by name.
    names: BTreeMap<String, Uid>,
    /// Active tenants by their listeners, authorities and `X-Org` values.
    route_matches: BTreeMap<RouteMatch, Uid>,
    /// Active tenants by the addresses of their servers.
    tenants_by_address: BTreeMap<SocketAddr, BTreeSet<Uid>>,
    changes: VecDeque<Change>,
}

impl Catalogue {
    /// Builds the catalogue from the records of a store.
    ///
    /// # Errors
    /// Names the record that is inconsistent; such a store must neither be used nor written to.
    pub fn load(
        revision: Revision,
        tenants: Vec<(Uid, TenantRecord)>,
        backends: Vec<(Uid, String, Backend)>,
        changes: Vec<Change>,
    ) -> Result<Self, String> {
        let mut catalogue = Catalogue { revision, changes: changes.into(), ..Catalogue::default() };
        for (uid, record) in tenants {
            if record.revision > revision || uid.0 > revision {
                return Err(format!("tenant {} is newer than the catalogue", record.name));
            }
            let faults = record.spec.faults();
            if let Some(fault) = faults.first() {
                return Err(format!("tenant {}: {}: {}", record.name, fault.field, fault.problem));
            }
            if record.state == TenantState::Active && catalogue.names.contains_key(&record.name) {
                return Err(format!("two tenants are named {}", record.name));
            }
            catalogue.write(Write::Tenant(uid, Some(record)));
        }
        for (uid, id, backend) in backends {
            if !catalogue.tenants.contains_key(&uid) {
                return Err(format!("server {id} belongs to no tenant"));
            }
            catalogue.write(Write::Backend(uid, id, Some(backend)));
        }
        Ok(catalogue)
    }

    /// The revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The active tenant of this name.
    pub fn active_tenant(&self, name: &str) -> Option<&Tenant> {
        self.names.get(name).and_then(|uid| self.tenants.get(uid))
    }

    /// A tenant, active or draining.
    pub fn tenant(&self, uid: Uid) -> Option<&Tenant> {
        self.tenants.get(&uid)
    }

    /// All tenants, active and draining, in the order of their creation.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values()
    }

    /// Active tenants after a name, in the order of their names, at most `limit`.
    pub fn page<'a>(&'a self, after: Option<&str>, limit: usize) -> impl Iterator<Item = &'a Tenant> {
        let from =
            after.map_or(std::ops::Bound::Unbounded, |name| std::ops::Bound::Excluded(name.to_owned()));
        let range = self.names.range((from, std::ops::Bound::Unbounded));
        range.filter_map(|(_, uid)| self.tenants.get(uid)).take(limit)
    }

    /// The listeners, authorities and `X-Org` values of all active tenants.
    pub fn route_matches(&self) -> &BTreeMap<RouteMatch, Uid> {
        &self.route_matches
    }

    /// The changes after a revision, oldest first; `None` if the history does not reach back that far.
    pub fn changes_after(&self, after: Revision) -> Option<impl Iterator<Item = &Change>> {
        let first = self.revision - self.changes.len() as u64;
        (after >= first).then(|| self.changes.iter().skip_while(move |change| change.revision <= after))
    }

    /// A tenant's servers as its pool uses them; none of a draining tenant's is in service.
    pub fn members(&self, uid: Uid) -> Vec<MemberView> {
        let Some(tenant) = self.tenants.get(&uid) else { return Vec::new() };
        let active = tenant.state == TenantState::Active;
        let view = |(id, backend): (&String, &Backend)| {
            let spec = &backend.spec;
            let sharers = self.tenants_by_address.get(&spec.address).map_or(1, BTreeSet::len).max(1);
            MemberView {
                id: id.clone(),
                address: spec.address,
                transport: spec.transport(),
                zone: spec.zone.clone(),
                cell: spec.cell,
                size: spec.size / sharers as f64,
                in_service: active && spec.phase == BackendPhase::InService,
                since_ms: backend.since_ms(),
            }
        };
        tenant.backends.iter().map(view).collect()
    }

    /// Prepares a change: checks it and works out the records to write, without changing the catalogue.
    ///
    /// # Errors
    /// [`Refusal`] says why the change is not allowed.
    pub fn prepare(
        &self,
        edit: Edit,
        condition: Condition,
        by: &str,
        now_ms: Millis,
    ) -> Result<Commit, Refusal> {
        let revision = self.revision + 1;
        let commit = |deed, tenant: &str, uid, backend: Option<&str>, writes| {
            let (tenant, by) = (tenant.to_owned(), by.to_owned());
            let backend = backend.map(str::to_owned);
            let change = Change { revision, deed, tenant, uid, backend, by, at_ms: now_ms };
            Ok(Commit { base: self.revision, change, writes })
        };
        match edit {
            Edit::PutTenant { tenant: name, spec } => {
                let present = self.active_tenant(&name);
                check_condition(condition, present.map(|t| t.revision), || {
                    format!("there is no tenant {name}")
                })?;
                if !is_name(&name) {
                    let expected = "a name is 1 to 63 of a-z, 0-9 and inner '-'";
                    return Err(Refusal::Invalid(vec![FieldFault::new("tenant", expected)]));
                }
                let mut faults = spec.faults();
                for (field, matched) in route_matches_of(&name, &spec) {
                    let other =
                        self.route_matches.get(&matched).filter(|&&uid| present.is_none_or(|t| t.uid != uid));
                    if let Some(other) = other.and_then(|uid| self.tenants.get(uid)) {
                        let problem = format!("tenant {} already has this match", other.name);
                        faults.push(FieldFault::new(field, problem));
                    }
                }
                if !faults.is_empty() {
                    return Err(Refusal::Invalid(faults));
                }
                if present.is_none() && self.tenants.len() >= MAX_TENANTS {
                    return Err(Refusal::Full(format!("there are {MAX_TENANTS} tenants already")));
                }
                let uid = present.map_or(Uid(revision), |t| t.uid);
                let deed = present.map_or(ChangeKind::TenantCreated, |_| ChangeKind::TenantChanged);
                let record = TenantRecord { name: name.clone(), state: TenantState::Active, revision, spec };
                commit(deed, &name, uid, None, vec![Write::Tenant(uid, Some(record))])
            }
            Edit::DeleteTenant { tenant: name } => {
                let tenant = self.require_active(&name)?;
                check_condition(condition, Some(tenant.revision), String::new)?;
                let spec = (*tenant.spec).clone();
                let record =
                    TenantRecord { name: name.clone(), state: TenantState::Draining, revision, spec };
                let writes = vec![Write::Tenant(tenant.uid, Some(record))];
                commit(ChangeKind::TenantDeleted, &name, tenant.uid, None, writes)
            }
            Edit::PutBackend { tenant: name, backend: id, spec } => {
                let tenant = self.require_active(&name)?;
                let present = tenant.backends.get(&id);
                let absent = || format!("tenant {name} has no server {id}");
                check_condition(condition, present.map(|b| b.revision), absent)?;
                let mut faults = spec.faults();
                if !is_id(&id) {
                    let expected = "an id is 1 to 128 letters, digits, '.', '_' and '-'";
                    faults.push(FieldFault::new("backend", expected));
                }
                let duplicate =
                    tenant.backends.iter().find(|(other, b)| **other != id && b.spec.address == spec.address);
                if let Some((other, _)) = duplicate {
                    let problem = format!("server {other} of this tenant already has this address");
                    faults.push(FieldFault::new("address", problem));
                }
                if !faults.is_empty() {
                    return Err(Refusal::Invalid(faults));
                }
                if present.is_none() && tenant.backends.len() >= MAX_BACKENDS {
                    return Err(Refusal::Full(format!("a tenant has {MAX_BACKENDS} servers at most")));
                }
                let deed = present.map_or(ChangeKind::BackendCreated, |_| ChangeKind::BackendChanged);
                let same_address = present.filter(|b| b.spec.address == spec.address);
                let added_ms = same_address.map_or(now_ms, |b| b.added_ms);
                let write =
                    Write::Backend(tenant.uid, id.clone(), Some(Backend { spec, revision, added_ms }));
                commit(deed, &name, tenant.uid, Some(&id), vec![write])
            }
            Edit::DeleteBackend { tenant: name, backend: id } => {
                let tenant = self.require_active(&name)?;
                let absent = || format!("tenant {name} has no server {id}");
                let present = tenant.backends.get(&id).ok_or_else(|| Refusal::NotFound(absent()))?;
                check_condition(condition, Some(present.revision), absent)?;
                let write = Write::Backend(tenant.uid, id.clone(), None);
                commit(ChangeKind::BackendDeleted, &name, tenant.uid, Some(&id), vec![write])
            }
            Edit::FinishDrain { uid } => {
                let tenant = self.tenants.get(&uid).filter(|t| t.state == TenantState::Draining);
                let tenant = tenant
                    .ok_or_else(|| Refusal::NotFound("there is no draining tenant with this uid".into()))?;
                commit(ChangeKind::TenantGone, &tenant.name, uid, None, vec![Write::Tenant(uid, None)])
            }
        }
    }

    /// Applies a durable commit. Returns the tenants whose servers, document or state it affects: the
    /// commit's tenant, and those that share an address which the commit added or removed.
    ///
    /// # Errors
    /// The commit is based on another revision, and nothing has changed; the error is the present revision.
    pub fn apply(&mut self, commit: Commit) -> Result<BTreeSet<Uid>, Revision> {
        if commit.base != self.revision {
            return Err(self.revision);
        }
        let uid = commit.change.uid;
        let mut addresses = self.addresses(uid);
        for write in commit.writes {
            self.write(write);
        }
        addresses.extend(self.addresses(uid));
        self.revision = commit.change.revision;
        self.changes.push_back(commit.change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        let sharers = addresses.iter().filter_map(|address| self.tenants_by_address.get(address)).flatten();
        Ok(sharers.copied().chain([uid]).collect())
    }

    fn require_active(&self, name: &str) -> Result<&Tenant, Refusal> {
        self.active_tenant(name).ok_or_else(|| Refusal::NotFound(format!("there is no tenant {name}")))
    }

    fn addresses(&self, uid: Uid) -> BTreeSet<SocketAddr> {
        let backends = self.tenants.get(&uid).map(|tenant| &tenant.backends);
        backends.into_iter().flat_map(BTreeMap::values).map(|backend| backend.spec.address).collect()
    }

    fn write(&mut self, write: Write) {
        let (Write::Tenant(uid, _) | Write::Backend(uid, ..)) = write;
        self.index(uid, false);
        match write {
            Write::Tenant(uid, None) => drop(self.tenants.remove(&uid)),
            Write::Tenant(uid, Some(TenantRecord { name, state, revision, spec })) => {
                let backends = self.tenants.remove(&uid).map(|t| t.backends).unwrap_or_default();
                let spec = Arc::new(spec);
                self.tenants.insert(uid, Tenant { uid, name, state, spec, revision, backends });
            }
            Write::Backend(uid, id, backend) => {
                if let Some(tenant) = self.tenants.get_mut(&uid) {
                    match backend {
                        Some(backend) => tenant.backends.insert(id, backend),
                        None => tenant.backends.remove(&id),
                    };
                }
            }
        }
        self.index(uid, true);
    }

    /// Adds an active tenant to the indices, or removes it from them.
    fn index(&mut self, uid: Uid, insert: bool) {
        let Some(tenant) = self.tenants.get(&uid).filter(|t| t.state == TenantState::Active) else { return };
        if insert {
            self.names.insert(tenant.name.clone(), uid);
            self.route_matches.extend(
                route_matches_of(&tenant.name, &tenant.spec).into_iter().map(|(_, matched)| (matched, uid)),
            );
        } else {
            self.names.remove(&tenant.name);
            for (_, matched) in route_matches_of(&tenant.name, &tenant.spec) {
                self.route_matches.remove(&matched);
            }
        }
        for address in tenant.backends.values().map(|backend| backend.spec.address) {
            let sharers = self.tenants_by_address.entry(address).or_default();
            if insert {
                sharers.insert(uid);
            } else {
                sharers.remove(&uid);
                if sharers.is_empty() {
                    self.tenants_by_address.remove(&address);
                }
            }
        }
    }
}

/// A tenant's listeners, authorities and `X-Org` values, each with its field in the document.
pub fn route_matches_of(name: &str, spec: &TenantSpec) -> Vec<(String, RouteMatch)> {
    let matches = &spec.matches;
    let listeners = matches.listeners.iter().enumerate();
    let listeners = listeners.map(|(i, l)| (format!("match/listeners/{i}"), RouteMatch::Listener(l.clone())));
    let authorities = matches.authorities.iter().enumerate();
    let authorities =
        authorities.map(|(i, a)| (format!("match/authorities/{i}"), RouteMatch::Authority(a.clone())));
    let orgs = spec.orgs(name).into_iter().enumerate();
    let orgs = orgs.map(|(i, org)| (format!("match/orgs/{i}"), RouteMatch::Org(org.to_owned())));
    listeners.chain(authorities).chain(orgs).collect()
}

/// Checks a write's precondition against the document's present revision.
fn check_condition(
    condition: Condition,
    present: Option<Revision>,
    absent: impl FnOnce() -> String,
) -> Result<(), Refusal> {
    match (condition, present) {
        (Condition::None, _) => Err(Refusal::NoCondition),
        (Condition::IfNoneMatch, None) => Ok(()),
        (Condition::IfMatch(Etag(seen)), Some(present)) if seen == present => Ok(()),
        (Condition::IfNoneMatch | Condition::IfMatch(_), Some(present)) => {
            Err(Refusal::Changed(Some(Etag(present))))
        }
        (Condition::IfMatch(_), None) => Err(Refusal::NotFound(absent())),
    }
}
