//! Drain permits of this node: requests permission to leave service through the shared ledger document at the
//! coordination service, and advances the ledger while the node serves. Used by the hosted node's shutdown,
//! the administration API and server drains.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use woodgap_permits::{
    BlockedRequest, Budget, BudgetLimit, Command, Ledger, LedgerLimits, PermitPhase, Refusal, Scope,
};
use woodgap_zookeeper::document::{DocumentError, DocumentState, VersionedDocument};
use woodgap_zookeeper::names::RegisteredNames;
use woodgap_zookeeper::session::SessionHandle;

use super::members::{FleetMembership, FleetView};
use super::servers::DrainsConfig;
use crate::control::now_ms;

/// Maximum duration of a write, with all its attempts.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Poll interval for transitions due by time alone (holds that end, grants that expire unused). Random jitter
/// adds up to as much again.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of `[permits]` in the operator's configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitsConfig {
    /// Path of the ledger document at the coordination service.
    pub path: String,
    /// Zone of this node.
    pub zone: Option<String>,
    /// Budgets for a new ledger; an existing ledger keeps its own.
    pub budgets: Vec<Budget>,
    /// How long a node that returns to service still counts as out.
    pub return_hold: Duration,
    /// How long a granted permit stays valid before its node begins to drain.
    pub grant_timeout: Duration,
    /// How long a stopping node waits for its permit; after that it stops without one and counts as out.
    pub max_wait: Duration,
    /// Settings of server drains across all nodes, if configured.
    pub servers: Option<DrainsConfig>,
}

impl PermitsConfig {
    /// Default durations, with a budget for the fleet and, if the node has a zone, one for that zone.
    pub fn new(
        path: String,
        zone: Option<String>,
        most_out: BudgetLimit,
        zone_most_out: Option<BudgetLimit>,
        least_up: u32,
    ) -> Self {
        let fleet = Budget { scope: Scope::Fleet, most_out, least_up };
        let scope = zone.clone().map(Scope::Zone);
        let of_zone =
            scope.zip(zone_most_out).map(|(scope, most_out)| Budget { scope, most_out, least_up: 0 });
        PermitsConfig {
            path,
            zone,
            budgets: std::iter::once(fleet).chain(of_zone).collect(),
            return_hold: Duration::from_secs(10),
            grant_timeout: Duration::from_secs(15),
            max_wait: Duration::from_secs(20),
            servers: None,
        }
    }
}

/// Reason why a command or a drain order was not written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PermitsError {
    /// The document cannot be parsed, and is not overwritten.
    #[error("the ledger cannot be read and is left as it is: {0}")]
    Unreadable(String),
    /// The ledger refuses the command.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The limits have changed since they were read; holds their current digest.
    #[error("the limits have changed: read them again before you retry")]
    LimitsChanged(LimitsDigest),
    /// No write was confirmed in time; it may have been applied nevertheless.
    #[error("the coordination service is out of reach: nothing is granted, and this was not done as far as is known")]
    Unreachable,
    /// Too many writes are pending already.
    #[error("{0}")]
    LimitExceeded(&'static str),
}

impl From<DocumentError<PermitsError>> for PermitsError {
    fn from(error: DocumentError<PermitsError>) -> PermitsError {
        match error {
            DocumentError::Refused(refusal) => refusal,
            DocumentError::Unreachable { .. } => PermitsError::Unreachable,
            DocumentError::LimitExceeded(why) => PermitsError::LimitExceeded(why),
        }
    }
}

/// Digest that identifies a version of the ledger limits; changes of permits do not alter it.
pub type LimitsDigest = u64;

fn digest(text: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text)
}

/// Limits of a ledger, and their digest.
pub fn ledger_limits(ledger: &Ledger) -> (LedgerLimits, LimitsDigest) {
    let limits =
        LedgerLimits { budgets: ledger.budgets.clone(), hold_ms: ledger.hold_ms, act_ms: ledger.act_ms };
    let limits_digest = digest(&serde_json::to_vec(&limits).unwrap_or_default());
    (limits, limits_digest)
}

/// Status of the permits, as this node sees it.
#[derive(Clone, Debug)]
pub struct PermitsStatus {
    /// Last ledger that was read; `None` if it was never read or cannot be parsed.
    pub ledger: Option<Ledger>,
    /// Whether the coordination service is unreachable; nothing is granted meanwhile.
    pub stale: bool,
    /// Names of the serving nodes; `None` while they are unknown.
    pub up: Option<BTreeSet<String>>,
    /// Why requested permits are not granted, by holder.
    pub blocked: BTreeMap<String, BlockedRequest>,
}

/// Source of the set of serving nodes: gossip or, without `[fleet]`, registered sessions.
#[derive(Clone)]
enum ServingNodes {
    Sessions(watch::Receiver<Option<BTreeSet<String>>>),
    Fleet(watch::Receiver<FleetView>),
}

impl ServingNodes {
    fn now(&self) -> Option<BTreeSet<String>> {
        match self {
            ServingNodes::Sessions(names) => names.borrow().clone(),
            ServingNodes::Fleet(view) => view.borrow().serving_nodes(),
        }
    }

    async fn changed(&mut self) {
        let ended = match self {
            ServingNodes::Sessions(names) => names.changed().await.is_err(),
            ServingNodes::Fleet(view) => view.changed().await.is_err(),
        };
        if ended {
            std::future::pending().await
        }
    }
}

struct Inner {
    node_name: String,
    config: PermitsConfig,
    scopes: BTreeSet<Scope>,
    document: VersionedDocument,
    up: ServingNodes,
    _names: Option<RegisteredNames>,
    /// Whether the node is leaving; `acquire_permit` then writes its commands instead of `run`.
    leaving: AtomicBool,
}

/// Handle of this node's use of the permit ledger.
#[derive(Clone)]
pub struct Permits(Arc<Inner>);

impl Permits {
    /// Watches the ledger. Serving nodes come from `members` or, without it, from registrations at the path
    /// `register`.
    pub fn start(
        session: &SessionHandle,
        node_name: String,
        config: PermitsConfig,
        members: Option<&FleetMembership>,
        register: &str,
    ) -> Permits {
        let scopes = config.zone.iter().cloned().map(Scope::Zone).collect();
        let document = VersionedDocument::start(session, config.path.clone());
        let names = members.is_none().then(|| RegisteredNames::start(session, register.to_owned()));
        let up = match (members, &names) {
            (Some(members), _) => ServingNodes::Fleet(members.view()),
            (None, Some(names)) => ServingNodes::Sessions(names.subscribe()),
            (None, None) => ServingNodes::Sessions(watch::channel(None).1),
        };
        let leaving = AtomicBool::new(false);
        Permits(Arc::new(Inner { node_name, config, scopes, document, up, _names: names, leaving }))
    }

    /// Name of this node.
    pub fn node_name(&self) -> &str {
        &self.0.node_name
    }

    /// How long a stopping node waits for its permit.
    pub fn max_wait(&self) -> Duration {
        self.0.config.max_wait
    }

    /// Current status of the permits.
    pub fn status(&self) -> PermitsStatus {
        let (ledger, stale) = match &*self.0.document.subscribe().borrow() {
            DocumentState::Document { text: Some(text), stale, .. } => {
                (serde_json::from_slice(text).ok(), *stale)
            }
            DocumentState::Document { text: None, stale, .. } => {
                (Self::initial_ledger(&self.0.config).ok(), *stale)
            }
            DocumentState::Unknown => (None, true),
        };
        let up = self.0.up.now();
        let mut blocked = BTreeMap::new();
        if let (Some(ledger), Some(up)) = (&ledger, &up) {
            let snapshot = ledger.snapshot(now_ms(), up);
            let asked = ledger.permits.iter().filter(|permit| permit.phase == PermitPhase::Asked);
            let waits =
                asked.filter_map(|p| Some((p.holder.clone(), ledger.blocked_request(&snapshot, &p.holder)?)));
            blocked = waits.collect();
        }
        PermitsStatus { ledger, stale, up, blocked }
    }

    /// Applies an operator's command; with `expected`, only if the limits still have that digest.
    ///
    /// # Errors
    /// Returns why the command was not written.
    pub async fn command(
        &self,
        command: Command,
        expected: Option<LimitsDigest>,
    ) -> Result<(), PermitsError> {
        Ok(self.apply_command_if_unchanged(Some(command), expected, WRITE_TIMEOUT).await?)
    }

    fn initial_ledger(config: &PermitsConfig) -> Result<Ledger, Refusal> {
        let millis = |time: Duration| time.as_millis() as u64;
        Ledger::new(config.budgets.clone(), millis(config.return_hold), millis(config.grant_timeout))
    }

    /// Last ledger that was read; `None` before the first read or while the service is unreachable.
    fn ledger(&self) -> Option<Ledger> {
        match &*self.0.document.subscribe().borrow() {
            DocumentState::Document { text: Some(text), stale: false, .. } => {
                serde_json::from_slice(text).ok()
            }
            DocumentState::Document { text: None, stale: false, .. } => {
                Self::initial_ledger(&self.0.config).ok()
            }
            _ => None,
        }
    }

    fn serving_nodes(&self) -> Option<BTreeSet<String>> {
        self.0.up.now()
    }

    /// Applies a command, if there is one, and the transitions that are due.
    async fn apply_command(
        &self,
        command: Option<Command>,
        time_limit: Duration,
    ) -> Result<(), DocumentError<PermitsError>> {
        self.apply_command_if_unchanged(command, None, time_limit).await
    }

    async fn apply_command_if_unchanged(
        &self,
        command: Option<Command>,
        expected: Option<LimitsDigest>,
        time_limit: Duration,
    ) -> Result<(), DocumentError<PermitsError>> {
        let (config, serving) = (self.0.config.clone(), self.0.up.clone());
        // Digest of what this change wrote, to recognize its own write if the response was lost.
        let mut written: Option<u64> = None;
        let change = move |read: Option<&[u8]>| {
            if read.is_some_and(|read| written == Some(digest(read))) {
                return Ok((None, ()));
            }
            let before = match read {
                None => Self::initial_ledger(&config).map_err(PermitsError::Refused)?,
                Some(text) => serde_json::from_slice(text)
                    .map_err(|error| PermitsError::Unreadable(error.to_string()))?,
            };
            let current = ledger_limits(&before).1;
            if expected.is_some_and(|expected| expected != current) {
                return Err(PermitsError::LimitsChanged(current));
            }
            let mut ledger: Ledger = before.clone();
            // Serving nodes are read again for each attempt; while they are unknown, nothing is advanced.
            let up = serving.now();
            if let Some(command) = command.clone() {
                let known_up = up.clone().unwrap_or_default();
                ledger
                    .apply(&ledger.snapshot(now_ms(), &known_up), command)
                    .map_err(PermitsError::Refused)?;
            }
            if let Some(up) = &up {
                ledger.advance(&ledger.snapshot(now_ms(), up));
            }
            if ledger == before && read.is_some() {
                return Ok((None, ()));
            }
            let text = serde_json::to_vec(&ledger).unwrap_or_default();
            written = Some(digest(&text));
            Ok((Some(text), ()))
        };
        self.0.document.change(time_limit, change).await
    }

    /// Runs while the node serves: writes the commands that the ledger requires of this node, and advances
    /// transitions that are due for any node.
    pub async fn run(self) {
        let (mut ledgers, mut up) = (self.0.document.subscribe(), self.0.up.clone());
        let mut last_problem = None;
        loop {
            let pause = POLL_INTERVAL + POLL_INTERVAL.mul_f64(fastrand::f64());
            tokio::select! {
                _ = ledgers.changed() => {}
                () = up.changed() => {}
                () = tokio::time::sleep(pause) => {}
            }
            let (Some(ledger), Some(up)) = (self.ledger(), self.serving_nodes()) else { continue };
            let mut due = ledger.clone();
            let is_due = due.advance(&ledger.snapshot(now_ms(), &up));
            let leaving = self.0.leaving.load(Ordering::SeqCst);
            let required =
                ledger.required_command(&self.0.node_name, &self.0.scopes, &up).filter(|_| !leaving);
            if required.is_none() && !is_due {
                continue;
            }
            let problem = match self.apply_command(required, WRITE_TIMEOUT).await {
                Err(DocumentError::Refused(why)) => Some(format!("permits: {}: {why}", self.0.config.path)),
                // The session logs this failure itself.
                Ok(()) | Err(DocumentError::Unreachable { .. } | DocumentError::LimitExceeded(_)) => None,
            };
            if problem != last_problem {
                if let Some(problem) = &problem {
                    tracing::info!("{problem}");
                }
                last_problem = problem;
            }
        }
    }

    /// Requests a drain permit and waits for it until `stop_waiting` completes with the reason to stop.
    /// Returns `true` once the permit was granted and the drain has begun; otherwise the node stops without a
    /// permit.
    pub async fn acquire_permit(
        &self,
        stop_waiting: impl std::future::Future<Output = &'static str>,
    ) -> bool {
        self.0.leaving.store(true, Ordering::SeqCst);
        let acquired = tokio::select! {
            acquired = self.request_permit() => Ok(acquired),
            why = stop_waiting => Err(why),
        };
        match acquired {
            Ok(Ok(fence)) => {
                tracing::info!("permits: {} drains with permit {fence}", self.0.node_name);
                true
            }
            Ok(Err(why)) => {
                tracing::info!("permits: {} goes without a permit: {why}", self.0.node_name);
                false
            }
            Err(stop_reason) => {
                let why = self.blocked_reason();
                tracing::info!("permits: {} goes without a permit, {stop_reason}: {why}", self.0.node_name);
                self.withdraw().await;
                false
            }
        }
    }

    /// Withdraws the request, so that no permit is granted to a node that has stopped.
    async fn withdraw(&self) {
        drop(
            self.apply_command(Some(Command::Cancel { holder: self.0.node_name.clone() }), POLL_INTERVAL)
                .await,
        );
    }

    /// Cancels the drain of this node: withdraws its request; a drain that has begun becomes a return.
    pub async fn cancel_drain(&self) {
        self.withdraw().await;
        self.0.leaving.store(false, Ordering::SeqCst);
    }

    /// Returns the reason for which this node has no permit now.
    fn blocked_reason(&self) -> String {
        let (Some(ledger), Some(up)) = (self.ledger(), self.serving_nodes()) else {
            return "the coordination service is out of reach".to_owned();
        };
        match ledger.blocked_request(&ledger.snapshot(now_ms(), &up), &self.0.node_name) {
            Some(blocked) => match blocked.scope {
                Some(scope) => {
                    format!("{scope} allows {} out, and out are {}", blocked.allowed, blocked.by.join(", "))
                }
                None => blocked.by.join(", "),
            },
            None => "it has no pending request".to_owned(),
        }
    }

    /// Requests a permit, waits for the grant, begins it and returns its fence. Decides by the ledger alone,
    /// whatever an earlier process of this name or `run` has left there.
    async fn request_permit(&self) -> Result<u64, String> {
        let node_name = &self.0.node_name;
        let mut ledgers = self.0.document.subscribe();
        let failed = |failure: DocumentError<PermitsError>| PermitsError::from(failure).to_string();
        loop {
            ledgers.mark_unchanged();
            let permit = self
                .ledger()
                .map(|ledger| ledger.permit_of(node_name).map(|permit| (permit.phase, permit.fence)));
            let command = match permit {
                Some(None) => {
                    Command::Ask { holder: node_name.clone(), ask: format!("{:016x}", fastrand::u64(..)) }
                }
                Some(Some((PermitPhase::Granted, fence))) => {
                    Command::Begin { holder: node_name.clone(), fence }
                }
                // The node counts as out already.
                Some(Some((PermitPhase::Draining | PermitPhase::Out, fence))) => return Ok(fence),
                None | Some(Some((PermitPhase::Asked | PermitPhase::Returning, _))) => {
                    let ended = "the coordination service is no longer watched";
                    ledgers.changed().await.map_err(|_| ended.to_owned())?;
                    continue;
                }
            };
            match self.apply_command(Some(command), self.0.config.max_wait).await {
                // The permit was withdrawn meanwhile; the next round requests another one.
                Ok(()) | Err(DocumentError::Refused(PermitsError::Refused(Refusal::StaleFence { .. }))) => {}
                Err(failure) => return Err(failed(failure)),
            }
        }
    }

    /// Reports to the ledger that a draining node has no requests in flight any more.
    pub async fn finish_drain(&self) {
        let permit = self.ledger().and_then(|ledger| ledger.permit_of(&self.0.node_name).cloned());
        let Some(permit) = permit.filter(|permit| permit.phase == PermitPhase::Draining) else { return };
        let left = Command::Left { holder: self.0.node_name.clone(), fence: permit.fence };
        drop(self.apply_command(Some(left), WRITE_TIMEOUT).await);
    }
}
