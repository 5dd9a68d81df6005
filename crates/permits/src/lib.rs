//! Permits that limit how many nodes or servers of a fleet are out of service at a time, by budgets that all
//! members agree on. The package does no I/O: the status of the members and the time are arguments, and the
//! next ledger is the result.
//!
//! ```text
//!   woodgap drain ─ Ask ┐                         ┌─ conditional write, by version ─▶ coordination service
//!   holder ─ Begin, Left, Return ─▶ Ledger::apply ┤                                     (one document per fleet)
//!   any node ─ advance(Snapshot) ─▶ Ledger        └─ rejected by a concurrent write: read and apply again
//! ```
//!
//! The [`Ledger`] is one document. Each change is a function of the document that was read, and is written
//! only over that version. No leader is needed: any node grants what may be granted, two concurrent writes
//! cannot both succeed, and a write whose response was lost is found in the document that is read next. A
//! command is identified by its holder and its request name, and applying it twice has the effect of applying
//! it once.
//!
//! Phases of a permit; all but the first use up the budgets:
//!
//! ```text
//!   asked ─▶ granted ─ Begin ─▶ draining ─ Left ─▶ out ─ Return ─▶ returning ─ up for hold_ms ─▶ ended
//!     └ Cancel   └ not begun within act_ms: withdrawn  ▲                 └ down again: out
//!                                                      └ ended only by an observed return that lasted hold_ms, or by
//!                                                        an operator with a reason, never by a lost session or silence
//! ```
//!
//! **Fencing.** Each grant has a number that only grows (Kleppmann, "How to do distributed locking"). A grant
//! alone does not allow a node to drain: `Begin` with its fence has to be written first. A process that was
//! suspended past `act_ms` finds its permit withdrawn, or the fence of another grant, and does not drain. A
//! process that is suspended after `Begin` still counts as out.
//!
//! **Members that are out without a permit** (dead, silent, or ejected by a majority) use up the budgets like
//! holders of permits: see [`Snapshot`]. In a fleet with faults no more grants are made than the budgets
//! leave.

pub mod servers;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Unix time in milliseconds by the writer's clock. It only determines how long grants and holds last: a
/// wrong clock makes one shorter or longer and violates no budget.
pub type Millis = u64;
/// Maximum number of permits in a ledger, including requested ones.
pub const MAX_PERMITS: usize = 1_024;
/// Maximum number of budgets in a ledger.
pub const MAX_BUDGETS: usize = 64;
/// Maximum number of members of a fleet.
pub const MAX_MEMBERS: usize = 4_096;
/// Maximum length of a name or a reason in bytes.
pub const MAX_TEXT_BYTES: usize = 128;
/// Maximum number of history entries; the oldest are dropped.
pub const MAX_HISTORY_ENTRIES: usize = 64;

/// Set of members that a budget applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All members.
    Fleet,
    /// The members in a zone.
    Zone(String),
    /// The servers of a tenant's pool.
    Pool(String),
}

/// Maximum number of members that may be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetLimit {
    /// An absolute number.
    Count(u32),
    /// A percentage of the members, rounded down.
    Percent(u8),
}

/// Limit on the members of a scope that are out at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// Members that the budget applies to.
    pub scope: Scope,
    /// Maximum number of members that may be out at a time.
    pub most_out: BudgetLimit,
    /// Minimum number of members that must stay up.
    pub least_up: u32,
}

impl Budget {
    /// Returns how many of this number of members may be out.
    pub fn allows(&self, members: u32) -> u32 {
        let max_out = match self.most_out {
            BudgetLimit::Count(count) => count,
            BudgetLimit::Percent(percent) => (u64::from(members) * u64::from(percent.min(100)) / 100) as u32,
        };
        max_out.min(members.saturating_sub(self.least_up))
    }
}

/// Status of a member as the fleet sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FleetNode {
    /// Whether the fleet agrees that the member is up.
    pub up: bool,
    /// Scopes that count the member, besides [`Scope::Fleet`].
    pub scopes: BTreeSet<Scope>,
}

/// Members of the fleet and their status at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// Current time of the observer.
    pub now: Millis,
    /// All members by name, including those that are out.
    pub members: BTreeMap<String, FleetNode>,
}

/// Phase of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitPhase {
    /// Requested and waiting for a grant.
    Asked,
    /// Granted; the holder may begin to drain.
    Granted,
    /// The holder accepts no new work and finishes what it has in flight.
    Draining,
    /// The holder has nothing in flight and may end, or has ended.
    Out,
    /// The holder is up again; its return counts after the hold time.
    Returning,
}

/// A permit to be out of service, or a request for one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Member that holds the permit.
    pub holder: String,
    /// Name that the holder gave the request; a request of the same name is the same request.
    pub ask: String,
    /// Current phase.
    pub phase: PermitPhase,
    /// Time at which the phase began.
    pub since: Millis,
    /// Number of the grant; 0 before it.
    pub fence: u64,
    /// Scopes that counted the holder when it made the request. They count it even if it is no longer a
    /// member.
    #[serde(default)]
    pub scopes: BTreeSet<Scope>,
    /// Reason of the operator, if the permit was granted over a budget.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forced: Option<String>,
}

/// Record of a permit or member that ended in another way than by a return that held, or that was forced.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Member concerned.
    pub holder: String,
    /// Time of the entry.
    pub at: Millis,
    /// What happened and the reason.
    pub what: String,
}

/// A change to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Adds a member, up or not, with the scopes that count it.
    Join {
        /// Name of the member.
        holder: String,
        /// Scopes that count the member, besides the fleet.
        scopes: BTreeSet<Scope>,
    },
    /// Removes a member for good, on an operator's request.
    Strike {
        /// Name of the member.
        holder: String,
        /// Reason, recorded in the history.
        reason: String,
    },
    /// Requests a permit.
    Ask {
        /// Name of the member.
        holder: String,
        /// Name of the request.
        ask: String,
    },
    /// Starts to drain under a grant.
    Begin {
        /// Name of the member.
        holder: String,
        /// Number of the grant.
        fence: u64,
    },
    /// Reports that the member has nothing in flight any more and ends.
    Left {
        /// Name of the member.
        holder: String,
        /// Number of the grant.
        fence: u64,
    },
    /// Reports that the member is up again, whether it ended or abandoned its drain.
    Return {
        /// Name of the member.
        holder: String,
    },
    /// Withdraws a permit that has not begun, on request of its holder or an operator.
    Cancel {
        /// Name of the member.
        holder: String,
    },
    /// Grants a request over the budgets, on an operator's request.
    Force {
        /// Name of the member.
        holder: String,
        /// Reason, recorded in the history.
        reason: String,
    },
    /// Ends the permit of a holder that will not return, on an operator's request.
    Forget {
        /// Name of the member.
        holder: String,
        /// Reason, recorded in the history.
        reason: String,
    },
    /// Stops all grants for a reason; `None` resumes them.
    Freeze(Option<String>),
    /// Sets the limits of the ledger, on an operator's request. Members that are out stay out, and nothing
    /// more is granted until the new limits allow it.
    Bounds(LedgerLimits),
}

/// Limits of a ledger that operators set.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerLimits {
    /// Budgets for members that are out.
    pub budgets: Vec<Budget>,
    /// How long a member that returned has to stay up before its permit ends, in milliseconds.
    pub hold_ms: Millis,
    /// How long a grant waits for its `Begin`, in milliseconds.
    pub act_ms: Millis,
}

/// Reason why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No member has this name.
    #[error("{0} is not a member of the fleet")]
    UnknownMember(String),
    /// The holder has a permit for a request of another name.
    #[error("{holder} already has a permit, requested as {ask}: cancel it or let it return first")]
    OtherPermitExists {
        /// Name of the member.
        holder: String,
        /// Name of the existing request.
        ask: String,
    },
    /// The budgets exclude the permit: for a node even if all members were up, for a server at present.
    #[error("{holder} cannot be drained: {why}")]
    BudgetExceeded {
        /// Name of the member or server.
        holder: String,
        /// Explanation with the budget and the counts.
        why: String,
    },
    /// There is no such permit, or it belongs to another grant by now.
    #[error(
        "{holder} has no permit with fence {fence}: it was withdrawn or has ended; request a new one and do not \
         drain"
    )]
    StaleFence {
        /// Name of the member.
        holder: String,
        /// Number of the grant that was not found.
        fence: u64,
    },
    /// The member or server has no permit or drain order.
    #[error("{0} has no permit")]
    NoPermit(String),
    /// The permit has already begun.
    #[error("{holder} has already begun to drain: let it return, or forget its permit with a reason")]
    AlreadyBegun {
        /// Name of the member.
        holder: String,
    },
    /// A value is invalid or a limit is reached.
    #[error("{0}")]
    OutOfBounds(String),
}

/// Reason why a request is not granted yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BlockedRequest {
    /// Scope of the exhausted budget; `None` if grants are frozen or earlier requests go first.
    pub scope: Option<Scope>,
    /// Number of members that the budget allows to be out now.
    pub allowed: u32,
    /// Members that are out, with or without a permit, or members that are ahead in the queue; the reason if
    /// grants are frozen.
    pub by: Vec<String>,
}

/// All permits and budgets of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// Budgets for members that are out.
    pub budgets: Vec<Budget>,
    /// How long a member that returned has to stay up before its permit ends, in milliseconds.
    pub hold_ms: Millis,
    /// How long a grant waits for its `Begin`, in milliseconds.
    pub act_ms: Millis,
    /// Reason why grants are frozen, if they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub frozen: Option<String>,
    /// Members of the fleet and the scopes that count them; a silent member counts as out by this list.
    #[serde(default)]
    pub roster: BTreeMap<String, BTreeSet<Scope>>,
    /// Number of the last grant.
    pub fence: u64,
    /// Permits in the order of their requests.
    pub permits: Vec<Permit>,
    /// History of forced grants, expired grants and ended members.
    #[serde(default)]
    pub kept: Vec<HistoryEntry>,
}

impl std::fmt::Display for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Scope::Fleet => f.write_str("fleet"),
            Scope::Zone(name) => write!(f, "zone {name}"),
            Scope::Pool(name) => write!(f, "pool {name}"),
        }
    }
}

impl std::fmt::Display for BudgetLimit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BudgetLimit::Count(count) => write!(f, "{count}"),
            BudgetLimit::Percent(percent) => write!(f, "{percent}%"),
        }
    }
}

impl Ledger {
    /// Creates a ledger with these budgets.
    ///
    /// # Errors
    /// If there are too many budgets, two for one scope, or an invalid value.
    pub fn new(budgets: Vec<Budget>, hold_ms: Millis, act_ms: Millis) -> Result<Ledger, Refusal> {
        if budgets.len() > MAX_BUDGETS {
            return Err(Refusal::OutOfBounds(format!("{} budgets: {MAX_BUDGETS} at most", budgets.len())));
        }
        let scopes: BTreeSet<&Scope> = budgets.iter().map(|budget| &budget.scope).collect();
        if scopes.len() < budgets.len() {
            return Err(Refusal::OutOfBounds("two budgets for one scope: give one budget per scope".into()));
        }
        let is_invalid =
            |budget: &Budget| matches!(budget.most_out, BudgetLimit::Percent(p) if !(1..=100).contains(&p));
        if budgets.iter().any(is_invalid) {
            return Err(Refusal::OutOfBounds("the percentage of a scope must be 1 to 100".into()));
        }
        for budget in &budgets {
            if let Scope::Zone(name) | Scope::Pool(name) = &budget.scope {
                checked_text(name)?;
            }
        }
        if act_ms == 0 {
            return Err(Refusal::OutOfBounds(
                "act_ms is 0, so no grant could be begun: give 1 or more".into(),
            ));
        }
        Ok(Ledger { budgets, hold_ms, act_ms, ..Ledger::default() })
    }

    /// Returns the members of the roster, with the given ones marked as up.
    pub fn snapshot(&self, now: Millis, up: &BTreeSet<String>) -> Snapshot {
        let member = |(name, scopes): (&String, &BTreeSet<Scope>)| {
            (name.clone(), FleetNode { up: up.contains(name), scopes: scopes.clone() })
        };
        Snapshot { now, members: self.roster.iter().map(member).collect() }
    }

    /// Returns the command that a member that is up and serves has to write: to join, to return, or to cancel
    /// a request of an earlier process of the same name.
    pub fn required_command(
        &self,
        me: &str,
        scopes: &BTreeSet<Scope>,
        up: &BTreeSet<String>,
    ) -> Option<Command> {
        if self.roster.get(me) != Some(scopes) {
            return Some(Command::Join { holder: me.to_owned(), scopes: scopes.clone() });
        }
        match self.permit_of(me)?.phase {
            PermitPhase::Asked | PermitPhase::Granted => Some(Command::Cancel { holder: me.to_owned() }),
            // The return is written only once others see the member as up; otherwise it would count as out
            // again.
            PermitPhase::Draining | PermitPhase::Out => {
                up.contains(me).then(|| Command::Return { holder: me.to_owned() })
            }
            PermitPhase::Returning => None,
        }
    }

    /// Returns the permit or request of a member.
    pub fn permit_of(&self, holder: &str) -> Option<&Permit> {
        self.permits.iter().find(|permit| permit.holder == holder)
    }

    /// Applies a command. Applying the same command again changes nothing.
    ///
    /// # Errors
    /// The reason for the refusal; the ledger is unchanged.
    pub fn apply(&mut self, snapshot: &Snapshot, command: Command) -> Result<(), Refusal> {
        match command {
            Command::Join { holder, scopes } => {
                if self.roster.len() >= MAX_MEMBERS && !self.roster.contains_key(&holder) {
                    return Err(Refusal::OutOfBounds(format!(
                        "the fleet already has {MAX_MEMBERS} members, the maximum"
                    )));
                }
                self.roster.insert(checked_text(&holder)?, scopes);
                Ok(())
            }
            Command::Strike { holder, reason } => {
                let reason = checked_text(&reason)?;
                if self
                    .permit_of(&holder)
                    .is_some_and(|p| !matches!(p.phase, PermitPhase::Asked | PermitPhase::Granted))
                {
                    return Err(Refusal::AlreadyBegun { holder });
                }
                if self.roster.remove(&holder).is_none() {
                    return Err(Refusal::UnknownMember(holder));
                }
                self.permits.retain(|permit| permit.holder != holder);
                self.record_history(&holder, snapshot.now, format!("struck off: {reason}"));
                Ok(())
            }
            Command::Ask { holder, ask } => self.request_permit(snapshot, holder, ask),
            Command::Begin { holder, fence } => {
                self.change_phase(snapshot, holder, fence, PermitPhase::Granted, PermitPhase::Draining)
            }
            Command::Left { holder, fence } => {
                self.change_phase(snapshot, holder, fence, PermitPhase::Draining, PermitPhase::Out)
            }
            Command::Return { holder } => {
                let Some(permit) = self.permits.iter_mut().find(|permit| permit.holder == holder) else {
                    return Err(Refusal::NoPermit(holder));
                };
                if matches!(permit.phase, PermitPhase::Draining | PermitPhase::Out) {
                    (permit.phase, permit.since) = (PermitPhase::Returning, snapshot.now);
                }
                Ok(())
            }
            Command::Cancel { holder } => match self.permit_of(&holder).map(|permit| permit.phase) {
                None => Err(Refusal::NoPermit(holder)),
                Some(PermitPhase::Asked | PermitPhase::Granted) => {
                    self.permits.retain(|permit| permit.holder != holder);
                    Ok(())
                }
                Some(_) => Err(Refusal::AlreadyBegun { holder }),
            },
            Command::Force { holder, reason } => self.force_grant(snapshot, holder, reason),
            Command::Forget { holder, reason } => {
                self.permit_of(&holder).ok_or_else(|| Refusal::NoPermit(holder.clone()))?;
                self.record_history(&holder, snapshot.now, format!("forgotten: {}", checked_text(&reason)?));
                self.permits.retain(|permit| permit.holder != holder);
                Ok(())
            }
            Command::Freeze(reason) => {
                self.frozen = reason.map(|reason| checked_text(&reason)).transpose()?;
                Ok(())
            }
            Command::Bounds(LedgerLimits { budgets, hold_ms, act_ms }) => {
                let checked = Ledger::new(budgets, hold_ms, act_ms)?;
                (self.budgets, self.hold_ms, self.act_ms) =
                    (checked.budgets, checked.hold_ms, checked.act_ms);
                Ok(())
            }
        }
    }

    fn request_permit(&mut self, snapshot: &Snapshot, holder: String, ask: String) -> Result<(), Refusal> {
        if let Some(permit) = self.permit_of(&holder) {
            let (same, existing_ask) = (permit.ask == ask, permit.ask.clone());
            return if same { Ok(()) } else { Err(Refusal::OtherPermitExists { holder, ask: existing_ask }) };
        }
        if !snapshot.members.contains_key(&holder) {
            return Err(Refusal::UnknownMember(holder));
        }
        if self.permits.len() >= MAX_PERMITS {
            return Err(Refusal::OutOfBounds(format!(
                "the ledger already has {MAX_PERMITS} permits, the maximum"
            )));
        }
        for (budget, members) in self.budgets_counting(snapshot, &holder) {
            if budget.allows(members) == 0 {
                let (scope, least) = (&budget.scope, budget.least_up);
                let why =
                    format!("{scope} has {members} members, {} may be out, {least} stay up", budget.most_out);
                return Err(Refusal::BudgetExceeded { holder, why });
            }
        }
        let (holder, ask) = (checked_text(&holder)?, checked_text(&ask)?);
        let (phase, since) = (PermitPhase::Asked, snapshot.now);
        let scopes = snapshot.members.get(&holder).map(|member| member.scopes.clone()).unwrap_or_default();
        self.permits.push(Permit { holder, ask, phase, since, fence: 0, scopes, forced: None });
        Ok(())
    }

    fn change_phase(
        &mut self,
        snapshot: &Snapshot,
        holder: String,
        fence: u64,
        from: PermitPhase,
        to: PermitPhase,
    ) -> Result<(), Refusal> {
        let held = |permit: &&mut Permit| permit.holder == holder && permit.fence == fence && fence > 0;
        let Some(permit) = self.permits.iter_mut().find(held) else {
            return Err(Refusal::StaleFence { holder, fence });
        };
        match permit.phase {
            phase if phase == from => {
                (permit.phase, permit.since) = (to, snapshot.now);
                Ok(())
            }
            // The response to the write was lost, or later phases have been reached.
            PermitPhase::Asked | PermitPhase::Granted => Err(Refusal::StaleFence { holder, fence }),
            _ => Ok(()),
        }
    }

    fn force_grant(&mut self, snapshot: &Snapshot, holder: String, reason: String) -> Result<(), Refusal> {
        let reason = checked_text(&reason)?;
        let Some(index) = self.permits.iter().position(|permit| permit.holder == holder) else {
            return Err(Refusal::NoPermit(holder));
        };
        if self.permits[index].phase == PermitPhase::Asked {
            self.grant(index, snapshot.now);
            self.permits[index].forced = Some(reason.clone());
            self.record_history(&holder, snapshot.now, format!("granted by force: {reason}"));
        }
        Ok(())
    }

    fn grant(&mut self, index: usize, now: Millis) {
        self.fence += 1;
        let permit = &mut self.permits[index];
        (permit.phase, permit.since, permit.fence) = (PermitPhase::Granted, now, self.fence);
    }

    fn record_history(&mut self, holder: &str, at: Millis, what: String) {
        self.kept.push(HistoryEntry { holder: holder.to_owned(), at, what });
        let excess = self.kept.len().saturating_sub(MAX_HISTORY_ENTRIES);
        self.kept.drain(..excess);
    }

    /// Makes all due changes: withdraws grants that were not begun in time, ends permits whose return held,
    /// and grants requests in order as the budgets allow. Any node may call it. Returns `true` if something
    /// changed that has to be written.
    pub fn advance(&mut self, snapshot: &Snapshot) -> bool {
        let before = (self.permits.clone(), self.kept.len());
        let (now, act, hold) = (snapshot.now, self.act_ms, self.hold_ms);
        let up = |holder: &str| snapshot.members.get(holder).is_some_and(|member| member.up);
        let is_expired = |p: &Permit| p.phase == PermitPhase::Granted && now >= p.since.saturating_add(act);
        let expired: Vec<String> =
            self.permits.iter().filter(|p| is_expired(p)).map(|p| p.holder.clone()).collect();
        for holder in expired {
            self.permits.retain(|permit| permit.holder != holder);
            self.record_history(&holder, now, format!("granted and not begun within {act} ms: withdrawn"));
        }
        for permit in &mut self.permits {
            if permit.phase == PermitPhase::Returning && !up(&permit.holder) {
                (permit.phase, permit.since) = (PermitPhase::Out, now);
            }
        }
        self.permits.retain(|p| p.phase != PermitPhase::Returning || now < p.since.saturating_add(hold));
        // A request of a node that is no longer a member is dropped.
        self.permits.retain(|p| p.phase != PermitPhase::Asked || snapshot.members.contains_key(&p.holder));
        let mut waiting_scopes: BTreeSet<Scope> = BTreeSet::new();
        for index in 0..self.permits.len() {
            if self.permits[index].phase != PermitPhase::Asked {
                continue;
            }
            let holder = self.permits[index].holder.clone();
            let scopes: BTreeSet<Scope> =
                self.budgets_counting(snapshot, &holder).map(|(budget, _)| budget.scope.clone()).collect();
            // Within a scope requests are granted in order: none overtakes an earlier one that waits.
            if self.frozen.is_some()
                || !waiting_scopes.is_disjoint(&scopes)
                || self.exhausted_budget(snapshot, &holder).is_some()
            {
                waiting_scopes.extend(scopes);
                continue;
            }
            self.grant(index, now);
        }
        before != (self.permits.clone(), self.kept.len())
    }

    /// Returns why a request is not granted yet; `None` if it is granted or there is no request.
    pub fn blocked_request(&self, snapshot: &Snapshot, holder: &str) -> Option<BlockedRequest> {
        let index = self.permits.iter().position(|p| p.holder == holder && p.phase == PermitPhase::Asked)?;
        if let Some(reason) = &self.frozen {
            return Some(BlockedRequest { scope: None, allowed: 0, by: vec![format!("frozen: {reason}")] });
        }
        if let Some(blocked) = self.exhausted_budget(snapshot, holder) {
            return Some(blocked);
        }
        let scopes = |name: &str| -> BTreeSet<Scope> {
            self.budgets_counting(snapshot, name).map(|(budget, _)| budget.scope.clone()).collect()
        };
        let holder_scopes = scopes(holder);
        let before = self.permits[..index].iter().filter(|p| p.phase == PermitPhase::Asked);
        let by: Vec<String> = before
            .filter(|p| !scopes(&p.holder).is_disjoint(&holder_scopes))
            .map(|p| p.holder.clone())
            .collect();
        Some(BlockedRequest { scope: None, allowed: 0, by })
    }

    /// Returns the members of a scope that are out: those with a granted permit, whether or not they are
    /// still members, and those that are down without a permit.
    pub fn members_out(&self, snapshot: &Snapshot, scope: &Scope) -> Vec<String> {
        let granted =
            |name: &str| self.permit_of(name).is_some_and(|permit| permit.phase != PermitPhase::Asked);
        let counted = self.counted_members(snapshot, scope);
        counted.filter(|&(name, up)| !up || granted(name)).map(|(name, _)| name.to_owned()).collect()
    }

    /// Returns all names that a scope counts and whether they are up: members, and absent holders of permits.
    fn counted_members<'a>(
        &'a self,
        snapshot: &'a Snapshot,
        scope: &'a Scope,
    ) -> impl Iterator<Item = (&'a str, bool)> {
        let members =
            snapshot.members.iter().map(|(name, member)| (name.as_str(), &member.scopes, member.up));
        let is_absent =
            |p: &&Permit| p.phase != PermitPhase::Asked && !snapshot.members.contains_key(&p.holder);
        let absent = self.permits.iter().filter(is_absent).map(|p| (p.holder.as_str(), &p.scopes, false));
        let counts = move |scopes: &BTreeSet<Scope>| *scope == Scope::Fleet || scopes.contains(scope);
        members.chain(absent).filter(move |(_, scopes, _)| counts(scopes)).map(|(name, _, up)| (name, up))
    }

    /// Returns the first exhausted budget that prevents a further member from going out.
    fn exhausted_budget(&self, snapshot: &Snapshot, holder: &str) -> Option<BlockedRequest> {
        // A requesting member is up, or it already counts as out and takes no second slot.
        let holder_is_out = snapshot.members.get(holder).is_some_and(|member| !member.up);
        self.budgets_counting(snapshot, holder).find_map(|(budget, members)| {
            let (by, allowed) = (self.members_out(snapshot, &budget.scope), budget.allows(members));
            let taken = by.len() as u32 - u32::from(holder_is_out);
            (taken >= allowed).then(|| BlockedRequest { scope: Some(budget.scope.clone()), allowed, by })
        })
    }

    /// Returns the budgets that count a member, with the number of members of each.
    fn budgets_counting<'a>(
        &'a self,
        snapshot: &'a Snapshot,
        holder: &str,
    ) -> impl Iterator<Item = (&'a Budget, u32)> {
        let scopes = snapshot.members.get(holder).map(|member| &member.scopes);
        let counts =
            move |scope: &Scope| scopes.is_some_and(|own| *scope == Scope::Fleet || own.contains(scope));
        let counting = self.budgets.iter().filter(move |budget| counts(&budget.scope));
        counting.map(move |budget| (budget, self.counted_members(snapshot, &budget.scope).count() as u32))
    }
}

fn checked_text(text: &str) -> Result<String, Refusal> {
    match text.len() {
        0 => Err(Refusal::OutOfBounds("a name or a reason is empty: give one".into())),
        1..=MAX_TEXT_BYTES => Ok(text.to_owned()),
        long => Err(Refusal::OutOfBounds(format!(
            "a name or a reason has {long} bytes: {MAX_TEXT_BYTES} at most"
        ))),
    }
}
