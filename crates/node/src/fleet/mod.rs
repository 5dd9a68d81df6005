//! This node as one of a fleet: when it may be out.
//!
//! ```text
//!   zookeeper: names ─ who is up ─┐
//!             board ─ the ledger ─┴─▶ Permits::keep: settle what is due, say that it is back ─▶ board
//!   SIGTERM ─▶ Permits::may_go: Ask ─ granted ─ Begin ─▶ the node drains ─▶ Permits::left
//! ```
//!
//! `woodgap_permits` settles all of it; here its commands are written, and what they bring is waited for. Nothing of
//! it is on the way of a request: a task of its own, a document and a list of names that are watched.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{timeout_at, Instant};
use woodgap_permits::{Budget, Command, Ledger, Most, Phase, Refusal, Scope};
use woodgap_zookeeper::board::{Board, Failure, Seen};
use woodgap_zookeeper::names::Names;
use woodgap_zookeeper::session::Service;

use crate::control::now_ms;

/// How long a write may take, with all its tries.
const PATIENCE: Duration = Duration::from_secs(2);
/// What falls due by time alone (holds, grants that were slept through) is looked for this often, and up to as much
/// later by chance.
const LOOK: Duration = Duration::from_millis(250);

/// What the operator's file says of permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitsConfig {
    /// Where the ledger is.
    pub path: String,
    /// The zone of this node.
    pub zone: Option<String>,
    /// Budgets of a ledger that is not there yet; one that is there keeps its own.
    pub budgets: Vec<Budget>,
    /// How long a return is held.
    pub hold: Duration,
    /// How long a grant may wait for its node to begin.
    pub act: Duration,
    /// How long a node that is to end waits for its permit. Then it goes without one, and is counted so.
    pub wait: Duration,
}

impl PermitsConfig {
    /// The usual times, and a budget for the fleet, and for the node's zone if there is one.
    pub fn new(
        path: String,
        zone: Option<String>,
        most_out: Most,
        zone_most: Option<Most>,
        least_up: u32,
    ) -> Self {
        let fleet = Budget { scope: Scope::Fleet, most_out, least_up };
        let scope = zone.clone().map(Scope::Zone);
        let of_zone = scope.zip(zone_most).map(|(scope, most_out)| Budget { scope, most_out, least_up: 0 });
        PermitsConfig {
            path,
            zone,
            budgets: std::iter::once(fleet).chain(of_zone).collect(),
            hold: Duration::from_secs(10),
            act: Duration::from_secs(15),
            wait: Duration::from_secs(20),
        }
    }
}

/// A document that cannot be read is not written over.
#[derive(Debug, PartialEq, Eq)]
enum No {
    Unread(String),
    Refused(Refusal),
}

struct Inner {
    me: String,
    config: PermitsConfig,
    scopes: BTreeSet<Scope>,
    board: Board,
    names: Names,
    /// The node is about to end: what it says of itself is said by `may_go`.
    leaving: Cell<bool>,
}

/// This node's part in the ledger.
#[derive(Clone)]
pub struct Permits(Rc<Inner>);

impl Permits {
    /// Takes part. `register` is the path at which nodes register, under their names.
    pub fn start(service: &Service, me: String, config: PermitsConfig, register: String) -> Permits {
        let scopes = config.zone.iter().cloned().map(Scope::Zone).collect();
        let board = Board::start(service, config.path.clone());
        let names = Names::start(service, register);
        Permits(Rc::new(Inner { me, config, scopes, board, names, leaving: Cell::new(false) }))
    }

    fn empty(config: &PermitsConfig) -> Result<Ledger, Refusal> {
        let millis = |time: Duration| time.as_millis() as u64;
        Ledger::new(config.budgets.clone(), millis(config.hold), millis(config.act))
    }

    /// The ledger as it was read last; `None` before it was, or where the service is out of reach.
    fn ledger(&self) -> Option<Ledger> {
        match &*self.0.board.seen().borrow() {
            Seen::Document { text: Some(text), stale: false, .. } => serde_json::from_slice(text).ok(),
            Seen::Document { text: None, stale: false, .. } => Self::empty(&self.0.config).ok(),
            _ => None,
        }
    }

    fn up(&self) -> Option<BTreeSet<String>> {
        self.0.names.seen().borrow().clone()
    }

    /// Takes a command, if there is one, and does what is due.
    async fn take(&self, command: Option<Command>, patience: Duration) -> Result<(), Failure<No>> {
        let (config, names) = (self.0.config.clone(), self.0.names.seen());
        let change = move |read: Option<&[u8]>| {
            let before = match read {
                None => Self::empty(&config).map_err(No::Refused)?,
                Some(text) => serde_json::from_slice(text).map_err(|error| No::Unread(error.to_string()))?,
            };
            let mut ledger: Ledger = before.clone();
            // Who is up is looked up anew with each try, and without it nothing is decided.
            let up = names.borrow().clone();
            if let Some(command) = command.clone() {
                let seen = up.clone().unwrap_or_default();
                ledger.take(&ledger.scene(now_ms(), &seen), command).map_err(No::Refused)?;
            }
            if let Some(up) = &up {
                ledger.settle(&ledger.scene(now_ms(), up));
            }
            let changed = ledger != before || read.is_none();
            Ok((changed.then(|| serde_json::to_vec(&ledger).unwrap_or_default()), ()))
        };
        self.0.board.change(patience, change).await
    }

    /// Goes on while the node serves: says what it has to say of itself and does what is due for all.
    pub async fn keep(self) {
        let (mut ledgers, mut names) = (self.0.board.seen(), self.0.names.seen());
        let mut told = None;
        loop {
            let pause = LOOK + LOOK.mul_f64(fastrand::f64());
            tokio::select! {
                _ = ledgers.changed() => {}
                _ = names.changed() => {}
                () = tokio::time::sleep(pause) => {}
            }
            let (Some(ledger), Some(up)) = (self.ledger(), self.up()) else { continue };
            let mut due = ledger.clone();
            let settles = due.settle(&ledger.scene(now_ms(), &up));
            let duty = ledger.duty(&self.0.me, &self.0.scopes, &up).filter(|_| !self.0.leaving.get());
            if duty.is_none() && !settles {
                continue;
            }
            let problem = match self.take(duty, PATIENCE).await {
                Err(Failure::Refused(No::Unread(why))) => {
                    Some(format!("permits: {} cannot be read, nothing is granted: {why}", self.0.config.path))
                }
                Err(Failure::Refused(No::Refused(why))) => Some(format!("permits: {why}")),
                // The session's own line tells of it.
                Ok(()) | Err(Failure::Unreachable { .. } | Failure::Bound(_)) => None,
            };
            if problem != told {
                if let Some(problem) = &problem {
                    crate::log::line(format_args!("{problem}"));
                }
                told = problem;
            }
        }
    }

    /// Asks to be out and waits for it, `wait` at most. `true` once the node may go, with its permit begun.
    pub async fn may_go(&self) -> bool {
        self.0.leaving.set(true);
        let until = Instant::now() + self.0.config.wait;
        let went = timeout_at(until, self.ask()).await;
        match went {
            Ok(Ok(fence)) => {
                crate::log::line(format_args!("permits: {} goes, by permit {fence}", self.0.me));
                true
            }
            Ok(Err(why)) => {
                crate::log::line(format_args!("permits: {} goes without a permit: {why}", self.0.me));
                false
            }
            Err(_) => {
                let why = self.why();
                crate::log::line(format_args!(
                    "permits: {} goes without a permit, not granted in time: {why}",
                    self.0.me
                ));
                // What was asked for is not left to be granted to one that is gone.
                drop(self.take(Some(Command::Cancel { holder: self.0.me.clone() }), LOOK).await);
                false
            }
        }
    }

    /// Why nothing is granted now.
    fn why(&self) -> String {
        let (Some(ledger), Some(up)) = (self.ledger(), self.up()) else {
            return "the coordination service is out of reach".to_owned();
        };
        match ledger.blocked(&ledger.scene(now_ms(), &up), &self.0.me) {
            Some(blocked) => match blocked.scope {
                Some(scope) => {
                    format!("{scope:?} allows {} out, and out are {}", blocked.allowed, blocked.by.join(", "))
                }
                None => blocked.by.join(", "),
            },
            None => "it is not in line".to_owned(),
        }
    }

    /// Asks, waits for the grant and begins; its fence. Goes by the ledger alone, whatever an earlier process of this
    /// name or the loop of `keep` has left there.
    async fn ask(&self) -> Result<u64, String> {
        let me = &self.0.me;
        let mut seen = self.0.board.seen();
        let failed = |failure| match failure {
            Failure::Refused(No::Refused(refusal)) => refusal.to_string(),
            Failure::Refused(No::Unread(why)) => format!("the ledger cannot be read: {why}"),
            Failure::Unreachable { .. } => "the coordination service is out of reach".to_owned(),
            Failure::Bound(why) => why.to_owned(),
        };
        loop {
            seen.mark_unchanged();
            let standing =
                self.ledger().map(|ledger| ledger.of(me).map(|permit| (permit.phase, permit.fence)));
            let command = match standing {
                Some(None) => Command::Ask { holder: me.clone(), ask: format!("{:016x}", fastrand::u64(..)) },
                Some(Some((Phase::Granted, fence))) => Command::Begin { holder: me.clone(), fence },
                // It counts as out already.
                Some(Some((Phase::Draining | Phase::Out, fence))) => return Ok(fence),
                None | Some(Some((Phase::Asked | Phase::Returning, _))) => {
                    let ended = "the coordination service is not looked at any more";
                    seen.changed().await.map_err(|_| ended.to_owned())?;
                    continue;
                }
            };
            match self.take(Some(command), self.0.config.wait).await {
                // Withdrawn meanwhile: it does not go on that, and asks again.
                Ok(()) | Err(Failure::Refused(No::Refused(Refusal::Fenced { .. }))) => {}
                Err(failure) => return Err(failed(failure)),
            }
        }
    }

    /// The node has nothing in flight any more.
    pub async fn left(&self) {
        let permit = self.ledger().and_then(|ledger| ledger.of(&self.0.me).cloned());
        let Some(permit) = permit.filter(|permit| permit.phase == Phase::Draining) else { return };
        let left = Command::Left { holder: self.0.me.clone(), fence: permit.fence };
        drop(self.take(Some(left), PATIENCE).await);
    }
}
