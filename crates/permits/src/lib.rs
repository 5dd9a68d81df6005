//! Who may be out of a fleet at a time: nodes or servers, planned, never more than the budgets allow. Pure: no
//! sockets, no clock; who is up and what time it is come in, and the next ledger goes out.
//!
//! ```text
//!   woodgap drain ─ Ask ┐                        ┌─ conditional write, by version ─▶ coordination service
//!   holder ─ Begin, Left, Return ─▶ Ledger::take ┤                                    (one document a fleet)
//!   anybody ─ settle(Scene) ──────▶ Ledger       └─ refused: somebody was quicker; read again, take again
//! ```
//!
//! The [`Ledger`] is one document, and every change of it is a function of the document that was read, written
//! back only over that very version. So there is nobody who decides: whoever comes by grants what may be
//! granted, two who do it at once can't both succeed, and a write whose answer was lost is found in the document
//! that is read next: a command is known by who gives it and its ask, and taken twice it is taken once.
//!
//! A permit's way, and what uses up the budgets (all but the first):
//!
//! ```text
//!   asked ─▶ granted ─ Begin ─▶ draining ─ Left ─▶ out ─ Return ─▶ returning ─ held for hold_ms ─▶ gone
//!     └ Cancel   └ not begun within act_ms: gone       ▲                  └ down again: out
//!                                                      └ no session or silence ever ends this: only a return
//!                                                        that was seen and held, or an operator with a reason
//! ```
//!
//! **The fence.** Each grant has a number that only grows (Kleppmann, "How to do distributed locking"). Nobody
//! goes out on a grant alone: `Begin` with its fence has to be written first. One that slept past `act_ms` finds
//! its permit gone, or another's fence, and does not go; one that sleeps after `Begin` still counts as out.
//!
//! **Who is out without a permit** (dead, silent, ejected by most) uses up the budgets like one who has one: see
//! [`Scene`]. A fleet that is hurt grants nothing more by itself.

pub mod servers;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Unix time in milliseconds, as the writer has it. Only how long a grant and a hold last go by it: a clock that
/// is wrong makes one shorter or longer and breaks no budget.
pub type Millis = u64;
/// Permits and asks of a ledger, at most.
pub const MOST_PERMITS: usize = 1_024;
/// Budgets of a ledger, at most.
pub const MOST_BUDGETS: usize = 64;
/// Members of a fleet, at most.
pub const MOST_MEMBERS: usize = 4_096;
/// Bytes of a name or a reason, at most.
pub const LONGEST_TEXT: usize = 128;
/// What was ended by force or by time and is kept to be read, at most; the oldest goes.
pub const MOST_KEPT: usize = 64;

/// What a budget is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All members.
    Fleet,
    /// Those of a zone.
    Zone(String),
    /// The servers of a tenant's pool.
    Pool(String),
}

/// How much may be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Most {
    /// So many.
    Count(u32),
    /// So many of a hundred members, rounded down.
    Percent(u8),
}

/// The bound on who is out in a scope.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// What it is for.
    pub scope: Scope,
    /// Most out at once.
    pub most_out: Most,
    /// Least left up.
    pub least_up: u32,
}

impl Budget {
    /// How many of so many members may be out.
    pub fn allows(&self, members: u32) -> u32 {
        let most = match self.most_out {
            Most::Count(count) => count,
            Most::Percent(percent) => (u64::from(members) * u64::from(percent.min(100)) / 100) as u32,
        };
        most.min(members.saturating_sub(self.least_up))
    }
}

/// A member as the fleet sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// It answers, as far as the fleet agrees.
    pub up: bool,
    /// The scopes that count it, beside [`Scope::Fleet`].
    pub scopes: BTreeSet<Scope>,
}

/// Who there is, by name, and what time it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Scene {
    /// The time of who looks.
    pub now: Millis,
    /// All members, those that are out too.
    pub members: BTreeMap<String, Member>,
}

/// How far a permit is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It waits for its turn.
    Asked,
    /// It may begin.
    Granted,
    /// It takes nothing new and finishes what it has.
    Draining,
    /// It has nothing and may end, or has.
    Out,
    /// It is up again and is being held.
    Returning,
}

/// The right to be out, or the wish for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Whose.
    pub holder: String,
    /// What its asker calls it: an ask with the same name is the same ask.
    pub ask: String,
    /// How far it is.
    pub phase: Phase,
    /// Since when.
    pub since: Millis,
    /// Its grant's number; 0 before.
    pub fence: u64,
    /// The scopes that count its holder, as it asked: they count it though it is heard of no more.
    #[serde(default)]
    pub scopes: BTreeSet<Scope>,
    /// Why it was granted over a budget, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forced: Option<String>,
}

/// Something that ended otherwise than by a return that was held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// Whose permit.
    pub holder: String,
    /// When.
    pub at: Millis,
    /// What happened and why.
    pub what: String,
}

/// What may be done to a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// A member belongs to the fleet from now on, up or not, counted by these scopes.
    Join {
        /// Who.
        holder: String,
        /// What counts it beside the fleet.
        scopes: BTreeSet<Scope>,
    },
    /// An operator takes a member out of the fleet for good.
    Strike {
        /// Who.
        holder: String,
        /// Why: kept.
        reason: String,
    },
    /// A member asks to be out.
    Ask {
        /// Who.
        holder: String,
        /// What it calls this.
        ask: String,
    },
    /// It goes, on this grant.
    Begin {
        /// Who.
        holder: String,
        /// Its grant's number.
        fence: u64,
    },
    /// It has nothing in flight any more and ends.
    Left {
        /// Who.
        holder: String,
        /// Its grant's number.
        fence: u64,
    },
    /// It is up again; the same whether it ended or thought better of it.
    Return {
        /// Who.
        holder: String,
    },
    /// It, or an operator, takes back what has not begun.
    Cancel {
        /// Who.
        holder: String,
    },
    /// An operator lets it go over the budgets.
    Force {
        /// Who.
        holder: String,
        /// Why: kept.
        reason: String,
    },
    /// An operator ends a permit whose holder will not come back.
    Forget {
        /// Who.
        holder: String,
        /// Why: kept.
        reason: String,
    },
    /// Nothing more is granted until it is lifted by `None`.
    Freeze(Option<String>),
    /// An operator gives other bounds. What is out already stays out; nothing more goes until it fits.
    Bounds(Bounds),
}

/// The bounds of a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Who may be out.
    pub budgets: Vec<Budget>,
    /// How long a return is held before it counts, in milliseconds.
    pub hold_ms: Millis,
    /// How long a grant may wait for its `Begin`, in milliseconds.
    pub act_ms: Millis,
}

/// Why a command was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Nobody of that name is a member.
    #[error("{0} is no member of the fleet")]
    Stranger(String),
    /// The holder has one already, under another name.
    #[error("{holder} has a permit already, asked for as {ask}: cancel it or let it return first")]
    Another {
        /// Who.
        holder: String,
        /// The ask that there is.
        ask: String,
    },
    /// It could not be granted were everybody up; a server, not as things stand.
    #[error("{holder} can't go: {why}")]
    Never {
        /// Who.
        holder: String,
        /// The budget that stands in its way.
        why: String,
    },
    /// There is no such permit, or it is another grant's by now.
    #[error("{holder} has no permit with fence {fence}: it was withdrawn or ended; ask anew, and do not go")]
    Fenced {
        /// Who.
        holder: String,
        /// The number that is not there.
        fence: u64,
    },
    /// There is no permit.
    #[error("{0} has no permit")]
    NoPermit(String),
    /// It is too far for that.
    #[error("{holder} has begun: let it return, or forget it with a reason")]
    Begun {
        /// Who.
        holder: String,
    },
    /// A bound is reached.
    #[error("{0}")]
    Bound(String),
}

/// Why nothing is granted to somebody.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Blocked {
    /// The budget in the way; `None` where grants are frozen.
    pub scope: Option<Scope>,
    /// Most out by it now.
    pub allowed: u32,
    /// Who is out, with a permit or without, and who is before it in the queue.
    pub by: Vec<String>,
}

/// All permits and budgets of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// The bounds.
    pub budgets: Vec<Budget>,
    /// How long a return is held before it counts, in milliseconds.
    pub hold_ms: Millis,
    /// How long a grant may wait for its `Begin`, in milliseconds.
    pub act_ms: Millis,
    /// Why nothing is granted, if that was said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub frozen: Option<String>,
    /// Who belongs to the fleet, and what counts it: who is silent is missed by this.
    #[serde(default)]
    pub roster: BTreeMap<String, BTreeSet<Scope>>,
    /// The last grant's number.
    pub fence: u64,
    /// In the order in which they were asked for.
    pub permits: Vec<Permit>,
    /// What ended by force or by time.
    #[serde(default)]
    pub kept: Vec<Kept>,
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

impl std::fmt::Display for Most {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Most::Count(count) => write!(f, "{count}"),
            Most::Percent(part) => write!(f, "{part}%"),
        }
    }
}

impl Ledger {
    /// A ledger with these budgets.
    ///
    /// # Errors
    /// Where there are too many or two for a scope.
    pub fn new(budgets: Vec<Budget>, hold_ms: Millis, act_ms: Millis) -> Result<Ledger, Refusal> {
        if budgets.len() > MOST_BUDGETS {
            return Err(Refusal::Bound(format!("{} budgets: {MOST_BUDGETS} at most", budgets.len())));
        }
        let scopes: BTreeSet<&Scope> = budgets.iter().map(|budget| &budget.scope).collect();
        if scopes.len() < budgets.len() {
            return Err(Refusal::Bound("two budgets for one scope: give one".into()));
        }
        let percent =
            |budget: &Budget| matches!(budget.most_out, Most::Percent(part) if !(1..=100).contains(&part));
        if budgets.iter().any(percent) {
            return Err(Refusal::Bound("a part of a scope is 1 to 100 percent".into()));
        }
        for budget in &budgets {
            if let Scope::Zone(name) | Scope::Pool(name) = &budget.scope {
                bounded(name)?;
            }
        }
        if act_ms == 0 {
            return Err(Refusal::Bound("act_ms is 0: a grant could never be begun; give 1 or more".into()));
        }
        Ok(Ledger { budgets, hold_ms, act_ms, ..Ledger::default() })
    }

    /// The fleet as the roster has it, where these are up.
    pub fn scene(&self, now: Millis, up: &BTreeSet<String>) -> Scene {
        let member = |(name, scopes): (&String, &BTreeSet<Scope>)| {
            (name.clone(), Member { up: up.contains(name), scopes: scopes.clone() })
        };
        Scene { now, members: self.roster.iter().map(member).collect() }
    }

    /// What a member that is up and serves has to write about itself: that it belongs, that it is back, or that
    /// what an earlier process of its name asked for is not wanted any more.
    pub fn duty(&self, me: &str, scopes: &BTreeSet<Scope>, up: &BTreeSet<String>) -> Option<Command> {
        if self.roster.get(me) != Some(scopes) {
            return Some(Command::Join { holder: me.to_owned(), scopes: scopes.clone() });
        }
        match self.of(me)?.phase {
            Phase::Asked | Phase::Granted => Some(Command::Cancel { holder: me.to_owned() }),
            // Only once others see it: a return of one that is not up is out again.
            Phase::Draining | Phase::Out => {
                up.contains(me).then(|| Command::Return { holder: me.to_owned() })
            }
            Phase::Returning => None,
        }
    }

    /// The permit or ask of a member.
    pub fn of(&self, holder: &str) -> Option<&Permit> {
        self.permits.iter().find(|permit| permit.holder == holder)
    }

    /// Does what a command says. The same command taken again changes nothing.
    ///
    /// # Errors
    /// Why it is not done; the ledger is as it was.
    pub fn take(&mut self, scene: &Scene, command: Command) -> Result<(), Refusal> {
        match command {
            Command::Join { holder, scopes } => {
                if self.roster.len() >= MOST_MEMBERS && !self.roster.contains_key(&holder) {
                    return Err(Refusal::Bound(format!("{MOST_MEMBERS} members: more are not taken")));
                }
                self.roster.insert(bounded(&holder)?, scopes);
                Ok(())
            }
            Command::Strike { holder, reason } => {
                let reason = bounded(&reason)?;
                if self.of(&holder).is_some_and(|p| !matches!(p.phase, Phase::Asked | Phase::Granted)) {
                    return Err(Refusal::Begun { holder });
                }
                if self.roster.remove(&holder).is_none() {
                    return Err(Refusal::Stranger(holder));
                }
                self.permits.retain(|permit| permit.holder != holder);
                self.keep(&holder, scene.now, format!("struck off: {reason}"));
                Ok(())
            }
            Command::Ask { holder, ask } => self.ask(scene, holder, ask),
            Command::Begin { holder, fence } => {
                self.step(scene, holder, fence, Phase::Granted, Phase::Draining)
            }
            Command::Left { holder, fence } => self.step(scene, holder, fence, Phase::Draining, Phase::Out),
            Command::Return { holder } => {
                let Some(permit) = self.permits.iter_mut().find(|permit| permit.holder == holder) else {
                    return Err(Refusal::NoPermit(holder));
                };
                if matches!(permit.phase, Phase::Draining | Phase::Out) {
                    (permit.phase, permit.since) = (Phase::Returning, scene.now);
                }
                Ok(())
            }
            Command::Cancel { holder } => match self.of(&holder).map(|permit| permit.phase) {
                None => Err(Refusal::NoPermit(holder)),
                Some(Phase::Asked | Phase::Granted) => {
                    self.permits.retain(|permit| permit.holder != holder);
                    Ok(())
                }
                Some(_) => Err(Refusal::Begun { holder }),
            },
            Command::Force { holder, reason } => self.force(scene, holder, reason),
            Command::Forget { holder, reason } => {
                self.of(&holder).ok_or_else(|| Refusal::NoPermit(holder.clone()))?;
                self.keep(&holder, scene.now, format!("forgotten: {}", bounded(&reason)?));
                self.permits.retain(|permit| permit.holder != holder);
                Ok(())
            }
            Command::Freeze(reason) => {
                self.frozen = reason.map(|reason| bounded(&reason)).transpose()?;
                Ok(())
            }
            Command::Bounds(Bounds { budgets, hold_ms, act_ms }) => {
                let checked = Ledger::new(budgets, hold_ms, act_ms)?;
                (self.budgets, self.hold_ms, self.act_ms) =
                    (checked.budgets, checked.hold_ms, checked.act_ms);
                Ok(())
            }
        }
    }

    fn ask(&mut self, scene: &Scene, holder: String, ask: String) -> Result<(), Refusal> {
        if let Some(permit) = self.of(&holder) {
            let (same, ask_) = (permit.ask == ask, permit.ask.clone());
            return if same { Ok(()) } else { Err(Refusal::Another { holder, ask: ask_ }) };
        }
        if !scene.members.contains_key(&holder) {
            return Err(Refusal::Stranger(holder));
        }
        if self.permits.len() >= MOST_PERMITS {
            return Err(Refusal::Bound(format!("{MOST_PERMITS} permits and asks: more are not taken")));
        }
        for (budget, members) in self.budgets_of(scene, &holder) {
            if budget.allows(members) == 0 {
                let (scope, least) = (&budget.scope, budget.least_up);
                let why =
                    format!("{scope} has {members} members, {} may be out, {least} stay up", budget.most_out);
                return Err(Refusal::Never { holder, why });
            }
        }
        let (holder, ask) = (bounded(&holder)?, bounded(&ask)?);
        let (phase, since) = (Phase::Asked, scene.now);
        let scopes = scene.members.get(&holder).map(|member| member.scopes.clone()).unwrap_or_default();
        self.permits.push(Permit { holder, ask, phase, since, fence: 0, scopes, forced: None });
        Ok(())
    }

    fn step(
        &mut self,
        scene: &Scene,
        holder: String,
        fence: u64,
        from: Phase,
        to: Phase,
    ) -> Result<(), Refusal> {
        let held = |permit: &&mut Permit| permit.holder == holder && permit.fence == fence && fence > 0;
        let Some(permit) = self.permits.iter_mut().find(held) else {
            return Err(Refusal::Fenced { holder, fence });
        };
        match permit.phase {
            phase if phase == from => {
                (permit.phase, permit.since) = (to, scene.now);
                Ok(())
            }
            // Its answer was lost, or what follows it has happened.
            Phase::Asked | Phase::Granted => Err(Refusal::Fenced { holder, fence }),
            _ => Ok(()),
        }
    }

    fn force(&mut self, scene: &Scene, holder: String, reason: String) -> Result<(), Refusal> {
        let reason = bounded(&reason)?;
        let Some(at) = self.permits.iter().position(|permit| permit.holder == holder) else {
            return Err(Refusal::NoPermit(holder));
        };
        if self.permits[at].phase == Phase::Asked {
            self.grant(at, scene.now);
            self.permits[at].forced = Some(reason.clone());
            self.keep(&holder, scene.now, format!("granted by force: {reason}"));
        }
        Ok(())
    }

    fn grant(&mut self, at: usize, now: Millis) {
        self.fence += 1;
        let permit = &mut self.permits[at];
        (permit.phase, permit.since, permit.fence) = (Phase::Granted, now, self.fence);
    }

    fn keep(&mut self, holder: &str, at: Millis, what: String) {
        self.kept.push(Kept { holder: holder.to_owned(), at, what });
        let over = self.kept.len().saturating_sub(MOST_KEPT);
        self.kept.drain(..over);
    }

    /// Does what is due: withdraws grants that were not begun, ends returns that held, grants in order what the
    /// budgets allow. Anybody may do it; `true` where something changed and is worth a write.
    pub fn settle(&mut self, scene: &Scene) -> bool {
        let before = (self.permits.clone(), self.kept.len());
        let (now, act, hold) = (scene.now, self.act_ms, self.hold_ms);
        let up = |holder: &str| scene.members.get(holder).is_some_and(|member| member.up);
        let slept = |p: &Permit| p.phase == Phase::Granted && now >= p.since.saturating_add(act);
        let late: Vec<String> = self.permits.iter().filter(|p| slept(p)).map(|p| p.holder.clone()).collect();
        for holder in late {
            self.permits.retain(|permit| permit.holder != holder);
            self.keep(&holder, now, format!("granted and not begun within {act} ms: withdrawn"));
        }
        for permit in &mut self.permits {
            if permit.phase == Phase::Returning && !up(&permit.holder) {
                (permit.phase, permit.since) = (Phase::Out, now);
            }
        }
        self.permits.retain(|p| p.phase != Phase::Returning || now < p.since.saturating_add(hold));
        // Who asked and is no member any more has nothing to be granted.
        self.permits.retain(|p| p.phase != Phase::Asked || scene.members.contains_key(&p.holder));
        let mut closed: BTreeSet<Scope> = BTreeSet::new();
        for at in 0..self.permits.len() {
            if self.permits[at].phase != Phase::Asked {
                continue;
            }
            let holder = self.permits[at].holder.clone();
            let scopes: BTreeSet<Scope> =
                self.budgets_of(scene, &holder).map(|(budget, _)| budget.scope.clone()).collect();
            // In order within a scope: who waits behind one that waits there does not overtake it.
            if self.frozen.is_some() || !closed.is_disjoint(&scopes) || self.over(scene, &holder).is_some() {
                closed.extend(scopes);
                continue;
            }
            self.grant(at, now);
        }
        before != (self.permits.clone(), self.kept.len())
    }

    /// Why a member that asked is not granted yet; `None` for one that is, or that did not ask.
    pub fn blocked(&self, scene: &Scene, holder: &str) -> Option<Blocked> {
        let place = self.permits.iter().position(|p| p.holder == holder && p.phase == Phase::Asked)?;
        if let Some(reason) = &self.frozen {
            return Some(Blocked { scope: None, allowed: 0, by: vec![format!("frozen: {reason}")] });
        }
        if let Some(blocked) = self.over(scene, holder) {
            return Some(blocked);
        }
        let scopes = |name: &str| -> BTreeSet<Scope> {
            self.budgets_of(scene, name).map(|(budget, _)| budget.scope.clone()).collect()
        };
        let own = scopes(holder);
        let before = self.permits[..place].iter().filter(|p| p.phase == Phase::Asked);
        let by: Vec<String> =
            before.filter(|p| !scopes(&p.holder).is_disjoint(&own)).map(|p| p.holder.clone()).collect();
        Some(Blocked { scope: None, allowed: 0, by })
    }

    /// Who is out of a scope: permits that were granted, whether or not their holders are heard of, and members that
    /// are not up without one.
    pub fn out(&self, scene: &Scene, scope: &Scope) -> Vec<String> {
        let granted = |name: &str| self.of(name).is_some_and(|permit| permit.phase != Phase::Asked);
        let counted = self.counted(scene, scope);
        counted.filter(|&(name, up)| !up || granted(name)).map(|(name, _)| name.to_owned()).collect()
    }

    /// Everybody whom a scope counts, and who of them is up: members, and whoever is out and not heard of.
    fn counted<'a>(&'a self, scene: &'a Scene, scope: &'a Scope) -> impl Iterator<Item = (&'a str, bool)> {
        let members = scene.members.iter().map(|(name, member)| (name.as_str(), &member.scopes, member.up));
        let gone = |p: &&Permit| p.phase != Phase::Asked && !scene.members.contains_key(&p.holder);
        let unheard = self.permits.iter().filter(gone).map(|p| (p.holder.as_str(), &p.scopes, false));
        let counts = move |scopes: &BTreeSet<Scope>| *scope == Scope::Fleet || scopes.contains(scope);
        members.chain(unheard).filter(move |(_, scopes, _)| counts(scopes)).map(|(name, _, up)| (name, up))
    }

    /// The first budget by which a further one may not go.
    fn over(&self, scene: &Scene, holder: &str) -> Option<Blocked> {
        // Who asks is up, or counts as out already: a second place is not taken.
        let itself_out = scene.members.get(holder).is_some_and(|member| !member.up);
        self.budgets_of(scene, holder).find_map(|(budget, members)| {
            let (by, allowed) = (self.out(scene, &budget.scope), budget.allows(members));
            let taken = by.len() as u32 - u32::from(itself_out);
            (taken >= allowed).then(|| Blocked { scope: Some(budget.scope.clone()), allowed, by })
        })
    }

    /// The budgets that count a member, with how many members each has.
    fn budgets_of<'a>(&'a self, scene: &'a Scene, holder: &str) -> impl Iterator<Item = (&'a Budget, u32)> {
        let scopes = scene.members.get(holder).map(|member| &member.scopes);
        let counts =
            move |scope: &Scope| scopes.is_some_and(|own| *scope == Scope::Fleet || own.contains(scope));
        let theirs = self.budgets.iter().filter(move |budget| counts(&budget.scope));
        theirs.map(move |budget| (budget, self.counted(scene, &budget.scope).count() as u32))
    }
}

fn bounded(text: &str) -> Result<String, Refusal> {
    match text.len() {
        0 => Err(Refusal::Bound("a name or a reason is empty: write one".into())),
        1..=LONGEST_TEXT => Ok(text.to_owned()),
        long => Err(Refusal::Bound(format!("a name or a reason has {long} bytes: {LONGEST_TEXT} at most"))),
    }
}
