//! Which nodes of a fleet live, as they tell one another. Pure: no sockets, no clock; datagrams and the time come in,
//! datagrams and what changed go out, and the same ones come of the same ones and a seed.
//!
//! ```text
//!                 ┌───────────────────────── Fleet ──────────────────────────┐
//!   datagram ────▶│ wire: key, number ─▶ updates ─▶ members ─▶ queue (bounded │─▶ Action::Send
//!   time (tick) ─▶│ probe ─ ask helpers ─ doubt ─ suspect ─ dead     tellings)│─▶ Action::Tell(Event)
//!   own phase ───▶│ own word, one incarnation higher                          │─▶ members(), standing()
//!                 └──────────────────────────────────────────────────────────┘
//! ```
//!
//! **Who is who.** A node is a name. What it says of itself (address, zone, versions, phase) has an incarnation that
//! only itself makes higher, from the time of its start on: a later word is taken over an earlier one, and nobody
//! else's word brings one back.
//!
//! **How a failure is found**: SWIM (Das, Gupta, Motivala 2002) with suspicion. In each interval a node probes one other,
//! in a shuffled order; what does not answer in time is asked for through helpers. A member is probed twice
//! before it is suspected ([`Settings::doubts`]), for a lost datagram or four are no news. A suspicion is told to all,
//! and first of all to the one that is suspected, who contradicts with a higher incarnation; if it does not in time,
//! it is dead. Everything is told piggyback, each update a bounded number of times.
//!
//! **Doubt about oneself**: Lifeguard (Dadgar, Phillips, Currey 2018). Whoever misses answers, or is told that it was
//! suspected, takes longer for its probes and its suspicions; helpers that can't reach a target say so, and their
//! silence counts against the one who asked. A suspicion that others confirm ends sooner. One that was stopped and
//! wakes blames nobody for its own sleep.
//!
//! **Cut off.** Who hears nobody at all concludes that it is cut off itself: [`Standing::Isolated`], nobody is
//! suspected or found dead, and what was known stays. A part of the fleet that hears one another but not the rest does
//! find the rest dead; that bounds nothing, which is why permits are not agreed here. After a sleep or a cut what is
//! known may be old for a while: [`Standing::Catching`].
//!
//! **Loss.** What was not heard by telling is fetched: acknowledgements carry a digest of all that a node knows, and who
//! reads another one than its own asks which of sixteen sections differ and pulls those page by page.

pub mod simulated;
pub mod wire;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use wire::{Body, Datagram, Head, Keys, Update, Window, Writer, LONGEST_NAME, SECTIONS};

/// Milliseconds on a clock that only goes on.
pub type Millis = u64;
/// Members of a fleet, dead ones too, at most. The one that has been dead longest makes room.
pub const MOST_MEMBERS: usize = 4_096;
/// Probes for others under way, at most; more are not taken.
pub const MOST_RELAYED: usize = 256;
/// Suspicions that are looked into at once, at most.
pub const MOST_CHECKS: usize = 16;
/// Servers that a node tells it ejects, at most.
pub const EJECTED: usize = 4;
/// What changed and was not taken yet, at most; the oldest goes.
pub const MOST_ACTIONS: usize = 8_192;
/// Members that confirm a suspicion, at most: after them it ends at its soonest.
const CONFIRMS: usize = 3;
/// Doubt about oneself, at most (Lifeguard's S).
const MOST_DOUBT: u32 = 8;

/// How far a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It does not serve yet.
    Starting,
    /// It serves.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has nothing and ends.
    Out,
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Facts {
    /// When it started, in its own Unix time in milliseconds.
    pub boot: u64,
    /// Where it is reached, where nothing else is known (see [`Fleet::new`]).
    pub addr: SocketAddr,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// The program's version.
    pub version: String,
    /// The digest of its configuration.
    pub config: u32,
    /// What it is in the fleet.
    pub role: String,
    /// How far it is.
    pub phase: Phase,
    /// Up to which order to drain servers it has done all: see `woodgap_permits::servers`.
    pub done: u32,
    /// Marks of servers that it ejects, the lowest ones; 0 for none.
    pub ejects: [u16; EJECTED],
}

/// Whether a node lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Life {
    /// It does.
    Alive,
    /// It did not answer, and may contradict yet.
    Suspect,
    /// It did not answer and did not contradict.
    Dead,
}

/// What this node makes of its own place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It knows of nobody else.
    Alone,
    /// It hears others.
    Together,
    /// It slept or was cut off a moment ago: what it knows of others may be old.
    Catching,
    /// It hears nobody of those whom it knows: it is cut off, or all of them are gone, which it can't tell.
    Isolated {
        /// Since when.
        since: Millis,
    },
}

/// How soon what is done. All times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// One other is probed in each.
    pub interval: Millis,
    /// For an answer; then helpers are asked. Less than half of `interval`.
    pub timeout: Millis,
    /// Helpers that are asked.
    pub helpers: usize,
    /// Probes in a row that a member may miss before it is suspected.
    pub doubts: u32,
    /// The shortest suspicion, in intervals, times log10 of the members (at least 1).
    pub suspicion: f64,
    /// The longest, in shortest ones.
    pub patience: f64,
    /// How often an update is told, times log10 of the members, rounded up.
    pub tellings: u32,
    /// Members that news is sent to at a time, beside what goes with probes.
    pub fanout: usize,
    /// How often that is.
    pub gossip: Millis,
    /// Nothing heard from anybody for so long: isolated.
    pub isolated: Millis,
    /// A dead one is forgotten.
    pub forget: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            interval: 500,
            timeout: 150,
            helpers: 3,
            doubts: 1,
            suspicion: 4.0,
            patience: 4.0,
            tellings: 4,
            fanout: 3,
            gossip: 100,
            isolated: 2_500,
            forget: 3_600_000,
        }
    }
}

impl Settings {
    /// The longest that a member can hold others for alive, or itself for one of them, that it hears no more, among so many
    /// members: the longest suspicion, of one that doubts itself most, and the time until it is isolated.
    pub fn longest_suspicion(&self, members: usize) -> Millis {
        let least = self.suspicion * (members as f64).log10().max(1.0) * self.interval as f64;
        let most = least * self.patience * f64::from(MOST_DOUBT + 1);
        most as Millis + self.isolated + (2 + Millis::from(MOST_DOUBT)) * self.interval
    }
}

/// Something that changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// One that was not known.
    Joined(Arc<str>),
    /// One said something new of itself.
    Changed(Arc<str>),
    /// One was suspected.
    Suspected(Arc<str>),
    /// One that was suspected or dead lives.
    Recovered(Arc<str>),
    /// One was found dead.
    Died(Arc<str>),
    /// One that was dead for long is known no more.
    Forgotten(Arc<str>),
    /// This node hears nobody.
    Isolated,
    /// It hears somebody again.
    Heard,
    /// It was suspected, and contradicted.
    Contradicted,
    /// Another process has this node's name.
    Namesake,
    /// This node did not run for so many milliseconds.
    Slept(Millis),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this there.
    Send(SocketAddr, Vec<u8>),
    /// This changed.
    Tell(Event),
}

/// Figures since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams dropped, by why.
    pub dropped: BTreeMap<wire::Drop, u64>,
    /// Suspicions that began here.
    pub suspected: u64,
    /// Members found dead here, by own count or others'.
    pub died: u64,
    /// Suspicions of this node that it contradicted.
    pub contradicted: u64,
}

/// A member, as this node sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it says of itself.
    pub facts: Facts,
    /// The number of that word.
    pub incarnation: u64,
    /// Whether it lives.
    pub life: Life,
    /// Since when that is so.
    pub since: Millis,
    /// Who suspects it, where somebody does.
    pub by: Vec<Arc<str>>,
    /// When a datagram of its own came last; 0 where none did.
    pub heard: Millis,
    window: Window,
    missed: u32,
    /// Its suspicion was told again.
    called: bool,
    /// When it was told last that its epoch is over.
    told: Millis,
}

struct Probe {
    target: Arc<str>,
    nonce: u32,
    /// When helpers are asked; `None` once they were.
    ask: Option<Millis>,
    until: Millis,
    asked: u32,
    nacks: u32,
    answered: bool,
}

/// A probe for another.
struct Relayed {
    nonce: u32,
    target: Arc<str>,
    asker: Arc<str>,
    theirs: u32,
    until: Millis,
}

/// A look at one whom another suspects.
struct Check {
    target: Arc<str>,
    nonce: u32,
    until: Millis,
}

struct Pull {
    from: Arc<str>,
    after: String,
    sections: u16,
    again: Millis,
    tries: u32,
}

/// The members of a fleet as one of them sees them.
pub struct Fleet {
    me: Arc<str>,
    epoch: u64,
    number: u64,
    settings: Settings,
    keys: Arc<Keys>,
    random: fastrand::Rng,
    /// This node too.
    members: BTreeMap<Arc<str>, Member>,
    /// Addresses that go before what members say: links are one's own matter.
    known: BTreeMap<Arc<str>, SocketAddr>,
    /// The others, in the order in which they are probed, and how far that is.
    order: Vec<Arc<str>>,
    next: usize,
    probe: Option<Probe>,
    relayed: Vec<Relayed>,
    checks: Vec<Check>,
    suspects: BTreeSet<Arc<str>>,
    /// Of whom there is news, by how often it was told, and how often that is by whom.
    queue: BTreeSet<(u32, Arc<str>)>,
    news: BTreeMap<Arc<str>, u32>,
    pull: Option<Pull>,
    sums: [u32; SECTIONS],
    doubt: u32,
    heard: Millis,
    isolated: Option<Millis>,
    passed: Millis,
    ticked: Millis,
    probe_at: Millis,
    gossip_at: Millis,
    reach_at: Millis,
    pull_at: Millis,
    namesake: u64,
    catching: Millis,
    actions: VecDeque<Action>,
    counts: Counts,
}

impl Fleet {
    /// A member of this name. `known` says where others are reached, before anything that they say: who is not there is
    /// reached where it says. The others are found through any one of them. `facts.boot` has to grow from start to start
    /// of a name; where it does not, the first answers put it right.
    pub fn new(
        now: Millis,
        me: &str,
        facts: Facts,
        known: BTreeMap<Arc<str>, SocketAddr>,
        keys: Keys,
        settings: Settings,
        seed: u64,
    ) -> Fleet {
        let me: Arc<str> = me.chars().take(LONGEST_NAME).collect::<String>().into();
        let epoch = facts.boot;
        let mut known = known;
        known.remove(&me);
        let mut fleet = Fleet {
            me: me.clone(),
            epoch,
            number: 0,
            settings,
            keys: Arc::new(keys),
            random: fastrand::Rng::with_seed(seed),
            members: BTreeMap::new(),
            known,
            order: Vec::new(),
            next: 0,
            probe: None,
            relayed: Vec::new(),
            checks: Vec::new(),
            suspects: BTreeSet::new(),
            queue: BTreeSet::new(),
            news: BTreeMap::new(),
            pull: None,
            sums: [0; SECTIONS],
            doubt: 0,
            heard: now,
            isolated: None,
            passed: now,
            ticked: now,
            probe_at: now,
            gossip_at: now,
            reach_at: now,
            pull_at: now,
            namesake: 0,
            catching: 0,
            actions: VecDeque::new(),
            counts: Counts::default(),
        };
        let member = Member {
            facts,
            incarnation: epoch,
            life: Life::Alive,
            since: now,
            by: Vec::new(),
            heard: 0,
            window: Window::default(),
            missed: 0,
            called: false,
            told: 0,
        };
        fleet.sums[section(&me)] ^= print(&me, &member);
        fleet.members.insert(me.clone(), member);
        fleet.spread(&me);
        fleet
    }

    /// All members, this one too, by name.
    pub fn members(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        self.members.iter()
    }

    /// A member.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// This node's name.
    pub fn me(&self) -> &Arc<str> {
        &self.me
    }

    /// What this node makes of its own place.
    pub fn standing(&self) -> Standing {
        match self.isolated {
            Some(since) => Standing::Isolated { since },
            None if self.members.len() < 2 => Standing::Alone,
            None if self.passed < self.catching => Standing::Catching,
            None => Standing::Together,
        }
    }

    /// Figures since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lifeguard's doubt about oneself, 0 to 8.
    pub fn doubt(&self) -> u32 {
        self.doubt
    }

    /// Says something new of this node.
    pub fn say(&mut self, change: impl FnOnce(&mut Facts)) {
        let me = self.me.clone();
        self.touch(&me, |member| {
            change(&mut member.facts);
            member.incarnation += 1;
        });
        self.spread(&me);
    }

    /// Other keys from now on.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = Arc::new(keys);
    }

    /// The next thing to do.
    pub fn act(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Fleet::tick`] is due.
    pub fn wake(&self) -> Millis {
        // Suspicions and hearing nobody are looked at in each interval, whatever else is due.
        let mut at = self.probe_at.min(self.reach_at).min(self.ticked + self.settings.interval);
        if !self.queue.is_empty() {
            at = at.min(self.gossip_at);
        }
        if let Some(probe) = &self.probe {
            at = at.min(probe.ask.unwrap_or(probe.until)).min(probe.until);
        }
        let relayed = self.relayed.iter().map(|relayed| relayed.until);
        let checks = self.checks.iter().map(|check| check.until);
        let pull = self.pull.iter().map(|pull| pull.again);
        relayed.chain(checks).chain(pull).fold(at, Millis::min)
    }

    /// Leaves at once: who it is told to need not find out. The last word, sent to a few before the process ends.
    pub fn leave(&mut self) {
        self.say(|facts| facts.phase = Phase::Out);
        let others = self.pick(self.settings.fanout.max(8), &[]);
        for other in others {
            self.send(&other, &Body::Gossip);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.pass(now);
        self.ticked = now;
        self.isolation(now);
        self.probing(now);
        self.helping(now);
        self.suspicion(now);
        self.reaching(now);
        if now >= self.gossip_at {
            self.gossip_at = now + self.settings.gossip;
            if !self.queue.is_empty() {
                for other in self.pick(self.settings.fanout, &[]) {
                    self.send(&other, &Body::Gossip);
                }
            }
        }
    }

    /// Takes a datagram.
    pub fn hear(&mut self, now: Millis, bytes: &[u8]) {
        self.pass(now);
        let keys = self.keys.clone();
        match wire::open(bytes, &keys).and_then(|datagram| self.take(now, &datagram)) {
            Ok(()) => self.counts.taken += 1,
            Err(why) => *self.counts.dropped.entry(why).or_default() += 1,
        }
    }

    /// A step of time. Whoever was stopped blames nobody for what it missed.
    fn pass(&mut self, now: Millis) {
        let slept = now.saturating_sub(self.passed.max(self.wake()));
        self.passed = now;
        if slept < 2 * self.settings.interval {
            return;
        }
        self.tell(Event::Slept(slept));
        self.catching = now + self.settings.isolated;
        self.probe = None;
        self.checks.clear();
        self.relayed.clear();
        self.doubt = MOST_DOUBT;
        self.probe_at = now;
        if self.isolated.is_none() {
            // Nobody could be heard meanwhile.
            self.heard = now;
        }
        self.pause_suspicions(now, slept);
    }

    /// Time in which nobody could contradict does not count.
    fn pause_suspicions(&mut self, now: Millis, lost: Millis) {
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.since = (member.since + lost).min(now);
            }
        }
    }

    fn isolation(&mut self, now: Millis) {
        let others = self.order.iter().any(|name| {
            self.members.get(name).is_some_and(|m| m.life != Life::Dead && m.facts.phase != Phase::Out)
        });
        // One that was told of others and never heard them can't tell either.
        let others = others || (self.order.is_empty() && !self.known.is_empty());
        if self.isolated.is_none() && others && now >= self.heard + self.settings.isolated {
            self.isolated = Some(now);
            self.tell(Event::Isolated);
        }
    }

    /// Nobody is found dead by one that may be cut off itself.
    fn quiet(&self, now: Millis) -> bool {
        self.isolated.is_some() || now >= self.heard + 2 * self.settings.interval
    }

    fn probing(&mut self, now: Millis) {
        if let Some(probe) = &mut self.probe {
            if !probe.answered && probe.ask.is_some_and(|ask| now >= ask) {
                probe.ask = None;
                let (target, nonce) = (probe.target.clone(), probe.nonce);
                let helpers = self.pick(self.settings.helpers, &[&target]);
                if let Some(probe) = &mut self.probe {
                    probe.asked = helpers.len() as u32;
                }
                self.send(&target, &Body::Ping { nonce, to: &target });
                for helper in helpers {
                    self.send(&helper, &Body::Ask { nonce, target: &target });
                }
            }
        }
        if self.probe.as_ref().is_some_and(|probe| now >= probe.until) {
            if let Some(probe) = self.probe.take() {
                if !probe.answered {
                    self.missed(now, &probe);
                }
            }
        }
        if self.probe.is_none() && now >= self.probe_at {
            let Some(target) = self.target() else {
                self.probe_at = now + self.settings.interval;
                return;
            };
            let nonce = self.random.u32(..);
            let slower = Millis::from(self.doubt + 1);
            let until = now + self.settings.interval * slower;
            // At rest each node probes once in an interval, not all in the same moment of it.
            let spread = self.random.u64(..=self.settings.interval / 8);
            self.probe_at = until + spread;
            let ask = Some(now + self.settings.timeout * slower);
            self.send(&target, &Body::Ping { nonce, to: &target });
            let (asked, nacks, answered) = (0, 0, false);
            self.probe = Some(Probe { target, nonce, ask, until, asked, nacks, answered });
        }
    }

    /// Who is probed next: one that missed the last one, else the next in the order.
    fn target(&mut self) -> Option<Arc<str>> {
        if let Some(at) = self.next.checked_sub(1) {
            let last = self.order.get(at).cloned();
            let again = last
                .filter(|name| self.members.get(name).is_some_and(|m| m.missed > 0 && m.life == Life::Alive));
            if again.is_some() {
                return again;
            }
        }
        for _ in 0..self.order.len() {
            if self.next >= self.order.len() {
                self.random.shuffle(&mut self.order);
                self.next = 0;
            }
            let name = self.order[self.next].clone();
            self.next += 1;
            let gone = |member: &Member| member.life == Life::Dead;
            if self.members.get(&name).is_some_and(|member| !gone(member)) {
                return Some(name);
            }
        }
        None
    }

    fn missed(&mut self, now: Millis, probe: &Probe) {
        let more = if probe.asked > 0 { probe.asked.saturating_sub(probe.nacks) } else { 1 };
        self.doubt = (self.doubt + more).min(MOST_DOUBT);
        if self.quiet(now) {
            return;
        }
        let doubts = self.settings.doubts;
        let Some(member) = self.members.get_mut(&probe.target) else { return };
        member.missed += 1;
        if member.life == Life::Alive && member.missed <= doubts {
            return;
        }
        member.missed = 0;
        let (incarnation, me) = (member.incarnation, self.me.clone());
        self.suspect(now, &probe.target.clone(), incarnation, &me);
    }

    fn helping(&mut self, now: Millis) {
        let late: Vec<Relayed> = {
            let (late, rest) = self.relayed.drain(..).partition(|relayed| now >= relayed.until);
            self.relayed = rest;
            late
        };
        for relayed in late {
            self.send(&relayed.asker, &Body::Nack { nonce: relayed.theirs });
        }
        let late: Vec<Check> = {
            let (late, rest) = self.checks.drain(..).partition(|check| now >= check.until);
            self.checks = rest;
            late
        };
        for check in late {
            let found = self.members.get(&check.target).map(|member| (member.life, member.incarnation));
            if let (Some((Life::Suspect, incarnation)), false) = (found, self.quiet(now)) {
                let me = self.me.clone();
                self.suspect(now, &check.target, incarnation, &me);
            }
        }
    }

    fn suspicion(&mut self, now: Millis) {
        if self.quiet(now) {
            return;
        }
        // Told again at half of its time: who has heard the contradiction answers each that tells otherwise.
        let called = |name: &&Arc<str>| {
            self.members.get(*name).is_some_and(|member| !member.called) && self.over(now, name, 0.5)
        };
        for name in self.suspects.iter().filter(called).cloned().collect::<Vec<_>>() {
            if let Some(member) = self.members.get_mut(&name) {
                member.called = true;
            }
            self.spread(&name);
        }
        let over: Vec<Arc<str>> =
            self.suspects.iter().filter(|name| self.over(now, name, 1.0)).cloned().collect();
        for name in over {
            let Some(incarnation) = self.members.get(&name).map(|member| member.incarnation) else {
                continue;
            };
            self.bury(now, &name, incarnation);
        }
    }

    /// Whether a suspicion has lasted for this part of its time: shorter with each member that confirms it, longer with doubt about
    /// oneself.
    fn over(&self, now: Millis, name: &str, part: f64) -> bool {
        let Some(member) = self.members.get(name) else { return false };
        let members = self.order.len() as f64 + 1.0;
        let least = self.settings.suspicion * members.log10().max(1.0) * self.settings.interval as f64;
        let most = least * self.settings.patience;
        // Who says that it goes has not to be waited for.
        let (least, most) = if member.facts.phase == Phase::Out { (0.0, least) } else { (least, most) };
        let confirms = (member.by.len().saturating_sub(1)).min(CONFIRMS) as f64;
        let sooner = (confirms + 1.0).ln() / (CONFIRMS as f64 + 1.0).ln();
        let lasts = (most - (most - least) * sooner).max(least) * f64::from(self.doubt + 1);
        now.saturating_sub(member.since) as f64 >= lasts * part
    }

    /// Looks for those of whom nothing is known and for the dead, and goes on with what was pulled.
    fn reaching(&mut self, now: Millis) {
        if let Some(pull) = &mut self.pull {
            if now >= pull.again {
                pull.tries += 1;
                pull.again = now + self.settings.timeout;
                if pull.tries > 5 {
                    self.pull = None;
                } else {
                    let (from, after, sections) = (pull.from.clone(), pull.after.clone(), pull.sections);
                    self.send(&from, &Body::Pull { after: &after, sections });
                }
            }
        }
        if now < self.reach_at {
            return;
        }
        let every = if self.members.len() < 2 { 1 } else { 3 };
        self.reach_at = now + self.settings.interval * every;
        let forget = self.settings.forget;
        let dead = |m: &Member| m.life == Life::Dead;
        let old = self.members.iter().filter(|(_, m)| dead(m) && now >= m.since + forget);
        for name in old.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.forget(&name);
        }
        let unknown = self.known.keys().filter(|name| !self.members.contains_key(*name));
        let gone = self.members.iter().filter(|(_, member)| dead(member)).map(|(name, _)| name);
        let far: Vec<Arc<str>> = unknown.chain(gone).cloned().collect();
        if far.is_empty() {
            return;
        }
        let name = far[self.random.usize(..far.len())].clone();
        if self.members.contains_key(&name) {
            let nonce = self.random.u32(..);
            self.send(&name, &Body::Ping { nonce, to: &name });
        } else if self.pull.is_none() {
            self.pull_from(now, &name, u16::MAX);
        }
    }

    fn pull_from(&mut self, now: Millis, name: &Arc<str>, sections: u16) {
        let again = now + self.settings.timeout;
        self.pull = Some(Pull { from: name.clone(), after: String::new(), sections, again, tries: 0 });
        self.send(name, &Body::Pull { after: "", sections });
    }

    fn take(&mut self, now: Millis, datagram: &Datagram<'_>) -> Result<(), wire::Drop> {
        let Head { from, epoch, number } = datagram.head;
        if *from == *self.me {
            if epoch > self.epoch && epoch > self.namesake {
                self.namesake = epoch;
                self.tell(Event::Namesake);
            }
            return Err(wire::Drop::Misled);
        }
        if let Body::Ping { to, .. } = datagram.body {
            if *to != *self.me {
                return Err(wire::Drop::Misled);
            }
        }
        let says = |update: &Update<'_>| matches!(update, Update::Alive { name, .. } if *name == from);
        let fresh = match self.members.get_mut(from) {
            Some(member) => {
                if member.window.over(epoch) && now >= member.told + self.settings.interval {
                    // It may have started with a clock that went back: it hears of its earlier self.
                    member.told = now;
                    self.tell_of(from, from);
                    return Err(wire::Drop::Replayed);
                }
                let fresh = member.window.before(epoch);
                if !member.window.take(epoch, number) {
                    return Err(wire::Drop::Replayed);
                }
                fresh
            }
            None if datagram.updates.iter().any(says) => true,
            None => return Err(wire::Drop::Stranger),
        };
        let silence = now.saturating_sub(std::mem::replace(&mut self.heard, now));
        if silence >= 2 * self.settings.interval {
            self.pause_suspicions(now, silence);
        }
        if self.isolated.take().is_some() {
            self.pause_suspicions(now, Millis::MAX / 2);
            self.catching = now + self.settings.isolated;
            self.tell(Event::Heard);
        }
        let page = matches!(datagram.body, Body::Page { .. });
        for update in &datagram.updates {
            self.learn(now, update, page);
        }
        let Some((name, _)) = self.members.get_key_value(from) else { return Ok(()) };
        let name = name.clone();
        for update in &datagram.updates {
            if let Some(of) = self.contradicted(update) {
                self.tell_of(&name, &of);
            }
        }
        if let Some(member) = self.members.get_mut(&name) {
            if member.heard == 0 {
                member.window.take(epoch, number);
            }
            member.heard = now;
        }
        if fresh || matches!(datagram.body, Body::Pull { .. }) {
            // It may not know us, and takes nothing from strangers.
            self.tell_of(&name, &self.me.clone());
        }
        self.body(now, &name, datagram);
        Ok(())
    }

    /// Whom this wrongs: one who has contradicted it here already.
    fn contradicted(&self, update: &Update<'_>) -> Option<Arc<str>> {
        let (Update::Suspect { name, incarnation, .. } | Update::Dead { name, incarnation }) = *update else {
            return None;
        };
        let (of, member) = self.members.get_key_value(name)?;
        (member.incarnation > incarnation && member.life == Life::Alive).then(|| of.clone())
    }

    fn body(&mut self, now: Millis, from: &Arc<str>, datagram: &Datagram<'_>) {
        match datagram.body {
            Body::Ping { nonce, .. } => {
                let digest = self.digest();
                self.send(from, &Body::Ack { nonce, digest });
            }
            Body::Ask { nonce, target } => {
                let Some((target, _)) = self.members.get_key_value(target) else { return };
                let target = target.clone();
                if self.relayed.len() >= MOST_RELAYED || target == self.me {
                    return;
                }
                let own = self.random.u32(..);
                let until = now + self.settings.timeout;
                let (asker, theirs) = (from.clone(), nonce);
                self.relayed.push(Relayed { nonce: own, target: target.clone(), asker, theirs, until });
                self.send(&target, &Body::Ping { nonce: own, to: &target });
            }
            Body::Ack { nonce, digest } => {
                if let Some(at) = self.relayed.iter().position(|r| r.nonce == nonce && r.target == *from) {
                    let relayed = self.relayed.swap_remove(at);
                    let digest = self.digest();
                    self.send(&relayed.asker, &Body::Ack { nonce: relayed.theirs, digest });
                }
                self.checks.retain(|check| check.nonce != nonce);
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    if !probe.answered {
                        probe.answered = true;
                        probe.ask = None;
                        self.doubt = self.doubt.saturating_sub(1);
                        // With less doubt the next probe is as soon again.
                        self.probe_at = self.probe_at.min(now + self.settings.interval);
                        probe.until = probe.until.min(self.probe_at);
                        if let Some(member) = self.members.get_mut(&probe.target.clone()) {
                            member.missed = 0;
                        }
                    }
                }
                if digest != self.digest() && self.pull.is_none() && now >= self.pull_at {
                    self.pull_at = now + self.settings.interval * (2 + self.random.u64(..4));
                    let sums = self.sums;
                    self.send(from, &Body::Compare { sums });
                }
            }
            Body::Compare { sums } => {
                let differ = |at: &usize| sums[*at] != self.sums[*at];
                let sections = (0..SECTIONS).filter(differ).fold(0, |bits, at| bits | 1 << at);
                self.send(from, &Body::Differ { sections });
            }
            Body::Differ { sections } => {
                if sections != 0 && self.pull.is_none() {
                    // While something changes all differ: the more there is to fetch, the longer it waits for the next.
                    let pages = self.order.len() as u64 * u64::from(sections.count_ones()) / 80;
                    self.pull_at = self.pull_at.max(now + self.settings.interval * pages / 8);
                    self.pull_from(now, from, sections);
                }
            }
            Body::Nack { nonce } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    probe.nacks += 1;
                }
            }
            Body::Pull { after, sections } => self.page(from, after, sections),
            Body::Page { last } => {
                let Some(pull) = self.pull.as_mut().filter(|pull| pull.from == *from) else { return };
                let names = datagram.updates.iter().filter_map(|update| match update {
                    Update::Alive { name, .. } => Some(*name),
                    _ => None,
                });
                // What was sent piggyback is not of the page; pages come in order and are not mixed with others'.
                let Some(end) = names.filter(|name| **name > *pull.after).max() else {
                    if last {
                        self.pull = None;
                    }
                    return;
                };
                if last {
                    self.pull = None;
                    return;
                }
                pull.after = end.to_owned();
                pull.tries = 0;
                pull.again = now + self.settings.timeout;
                let (after, sections) = (pull.after.clone(), pull.sections);
                self.send(from, &Body::Pull { after: &after, sections });
            }
            Body::Gossip => {}
        }
    }

    /// Sends those whose names come after this one, as many as fit.
    fn page(&mut self, to: &Arc<str>, after: &str, sections: u16) {
        let Some(addr) = self.address(to) else { return };
        let range = (std::ops::Bound::Excluded(Arc::<str>::from(after)), std::ops::Bound::Unbounded);
        let fill = |last| {
            let mut writer = Writer::new(&self.keys, &self.head(), &Body::Page { last });
            let asked = |(name, _): &(&Arc<str>, &Member)| sections & 1 << section(name) != 0;
            let all = self.members.range::<Arc<str>, _>(range.clone()).filter(asked).all(|(name, member)| {
                let updates = [word(name, member), dead(name, member)];
                writer.add_all(&updates[..if member.life == Life::Dead { 2 } else { 1 }])
            });
            (writer, all)
        };
        let (writer, all) = fill(true);
        let writer = if all { writer } else { fill(false).0 };
        let bytes = writer.done(&self.keys);
        self.post(addr, bytes);
    }

    /// Tells one what is known of another or of us.
    fn tell_of(&mut self, to: &str, of: &str) {
        let Some((addr, member)) = self.address(to).zip(self.members.get(of)) else { return };
        let mut writer = Writer::new(&self.keys, &self.head(), &Body::Gossip);
        writer.add(&word(of, member));
        if let Some(own) = self.members.get(&self.me).filter(|_| *of != *self.me) {
            // Who has just started takes nothing from one that it does not know.
            writer.add(&word(&self.me, own));
        }
        let bytes = writer.done(&self.keys);
        self.post(addr, bytes);
    }

    fn learn(&mut self, now: Millis, update: &Update<'_>, page: bool) {
        match *update {
            Update::Alive {
                name,
                incarnation,
                boot,
                addr,
                zone,
                version,
                config,
                role,
                phase,
                done,
                ejects,
            } => {
                if *name == *self.me {
                    self.outdo(incarnation, boot);
                    return;
                }
                let (zone, version, role) = (zone.to_owned(), version.to_owned(), role.to_owned());
                let facts = Facts { boot, addr, zone, version, config, role, phase, done, ejects };
                let Some((name, member)) = self.members.get_key_value(name) else {
                    self.join(now, name, incarnation, facts, !page);
                    return;
                };
                if incarnation <= member.incarnation {
                    return;
                }
                let name = name.clone();
                let event = match member.life {
                    Life::Alive if member.facts != facts => Some(Event::Changed(name.clone())),
                    Life::Alive => None,
                    Life::Suspect | Life::Dead => Some(Event::Recovered(name.clone())),
                };
                self.suspects.remove(&name);
                self.checks.retain(|check| check.target != name);
                self.touch(&name, |member| {
                    if member.life != Life::Alive {
                        (member.life, member.since) = (Life::Alive, now);
                    }
                    (member.incarnation, member.facts, member.missed) = (incarnation, facts, 0);
                    member.by.clear();
                });
                self.spread(&name);
                event.into_iter().for_each(|event| self.tell(event));
            }
            Update::Suspect { name, incarnation, by } => {
                if *name == *self.me {
                    self.contradict(incarnation);
                    return;
                }
                let Some((name, member)) = self.members.get_key_value(name) else { return };
                let (name, begins) = (name.clone(), member.life == Life::Alive);
                let by: Arc<str> = by.into();
                self.suspect(now, &name, incarnation, &by);
                // A few of those who hear of it look for themselves, and those who heard the suspect lately: it is
                // told at once, or its end confirmed.
                let few = self.random.usize(..self.order.len().max(1)) < 6;
                let near = self.members.get(&name).is_some_and(|member| {
                    member.heard > 0 && now < member.heard + 10 * self.settings.interval
                });
                let suspected = self.members.get(&name).is_some_and(|m| m.life == Life::Suspect);
                if begins && suspected && (few || near) && self.checks.len() < MOST_CHECKS {
                    let nonce = self.random.u32(..);
                    let until = now + self.settings.interval * Millis::from(self.doubt + 1);
                    self.checks.push(Check { target: name.clone(), nonce, until });
                    self.send(&name, &Body::Ping { nonce, to: &name });
                }
            }
            Update::Dead { name, incarnation } => {
                if *name == *self.me {
                    self.contradict(incarnation);
                    return;
                }
                let Some((name, member)) = self.members.get_key_value(name) else { return };
                if incarnation >= member.incarnation && member.life != Life::Dead {
                    let name = name.clone();
                    self.bury(now, &name, incarnation);
                }
            }
        }
    }

    /// An earlier process of this name said more than this one yet: this one says it higher.
    fn outdo(&mut self, incarnation: u64, boot: u64) {
        let me = self.me.clone();
        let own = self.members.get(&me).map_or((0, 0), |member| (member.incarnation, member.facts.boot));
        if incarnation > own.0 || (incarnation == own.0 && boot != own.1) {
            self.touch(&me, |member| member.incarnation = incarnation + 1);
            self.epoch = self.epoch.max(incarnation + 1);
            self.spread(&me);
        }
    }

    fn contradict(&mut self, incarnation: u64) {
        let me = self.me.clone();
        if self.members.get(&me).is_none_or(|member| incarnation < member.incarnation) {
            return;
        }
        if self.members.get(&me).is_some_and(|member| incarnation > member.incarnation) {
            self.epoch = self.epoch.max(incarnation + 1);
        }
        self.touch(&me, |member| member.incarnation = incarnation + 1);
        self.doubt = (self.doubt + 1).min(MOST_DOUBT);
        self.counts.contradicted += 1;
        self.spread(&me);
        self.tell(Event::Contradicted);
    }

    fn join(&mut self, now: Millis, name: &str, incarnation: u64, facts: Facts, news: bool) {
        if self.members.len() >= MOST_MEMBERS {
            let dead = self.members.iter().filter(|(_, member)| member.life == Life::Dead);
            let Some(oldest) = dead.min_by_key(|(_, member)| member.since).map(|(name, _)| name.clone())
            else {
                return;
            };
            self.forget(&oldest);
        }
        let name: Arc<str> = name.into();
        let (life, since, window) = (Life::Alive, now, Window::default());
        let by = Vec::new();
        let member = Member {
            facts,
            incarnation,
            life,
            since,
            by,
            heard: 0,
            window,
            missed: 0,
            called: false,
            told: 0,
        };
        self.sums[section(&name)] ^= print(&name, &member);
        self.members.insert(name.clone(), member);
        // Somewhere in what is left of this round, so that it is probed in it.
        let at = self.random.usize(self.next.min(self.order.len())..=self.order.len());
        self.order.insert(at, name.clone());
        if news {
            self.spread(&name);
        }
        self.tell(Event::Joined(name));
    }

    fn suspect(&mut self, now: Millis, name: &Arc<str>, incarnation: u64, by: &Arc<str>) {
        let Some(member) = self.members.get_mut(name) else { return };
        if incarnation < member.incarnation || member.life == Life::Dead {
            return;
        }
        if member.life == Life::Alive {
            (member.life, member.since, member.called) = (Life::Suspect, now, false);
            member.by = vec![by.clone()];
            self.suspects.insert(name.clone());
            self.counts.suspected += u64::from(*by == self.me);
            self.spread(name);
            self.tell(Event::Suspected(name.clone()));
        } else if !member.by.contains(by) && member.by.len() <= CONFIRMS {
            member.by.push(by.clone());
            self.spread(name);
        }
    }

    fn bury(&mut self, now: Millis, name: &Arc<str>, incarnation: u64) {
        self.suspects.remove(name);
        self.touch(name, |member| {
            (member.life, member.since, member.incarnation) = (Life::Dead, now, incarnation);
            member.by.clear();
        });
        self.counts.died += 1;
        self.spread(name);
        self.tell(Event::Died(name.clone()));
    }

    fn forget(&mut self, name: &Arc<str>) {
        let Some(member) = self.members.remove(name) else { return };
        self.sums[section(name)] ^= print(name, &member);
        self.order.retain(|other| other != name);
        self.next = self.next.min(self.order.len());
        if let Some(times) = self.news.remove(name) {
            self.queue.remove(&(times, name.clone()));
        }
        self.suspects.remove(name);
        self.tell(Event::Forgotten(name.clone()));
    }

    /// Changes a member, and the digest with it.
    fn touch(&mut self, name: &Arc<str>, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get_mut(name) else { return };
        let before = print(name, member);
        change(member);
        self.sums[section(name)] ^= before ^ print(name, member);
    }

    /// There is news of one.
    fn spread(&mut self, name: &Arc<str>) {
        if let Some(times) = self.news.insert(name.clone(), 0) {
            self.queue.remove(&(times, name.clone()));
        }
        self.queue.insert((0, name.clone()));
    }

    fn tell(&mut self, event: Event) {
        self.push(Action::Tell(event));
    }

    fn push(&mut self, action: Action) {
        if self.actions.len() >= MOST_ACTIONS {
            self.actions.pop_front();
        }
        self.actions.push_back(action);
    }

    /// So many others that are not dead, by chance.
    fn pick(&mut self, many: usize, but: &[&Arc<str>]) -> Vec<Arc<str>> {
        let mut picked: Vec<Arc<str>> = Vec::with_capacity(many);
        if self.order.is_empty() {
            return picked;
        }
        // By tries: there are few dead as a rule, and few are picked.
        for _ in 0..4 * many {
            let name = &self.order[self.random.usize(..self.order.len())];
            let lives = self.members.get(name).is_some_and(|member| member.life != Life::Dead);
            if picked.len() < many && lives && !but.contains(&name) && !picked.contains(name) {
                picked.push(name.clone());
            }
        }
        picked
    }

    fn digest(&self) -> u32 {
        self.sums.iter().fold(0, |all, sum| all ^ sum)
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        let said = || self.members.get(name).map(|member| member.facts.addr).filter(|addr| addr.port() != 0);
        self.known.get(name).copied().or_else(said)
    }

    fn head(&self) -> Head<'_> {
        Head { from: &self.me, epoch: self.epoch, number: self.number }
    }

    /// Sends something, with as much news as fits: first what its receiver has to contradict or to know of us.
    fn send(&mut self, to: &Arc<str>, body: &Body<'_>) {
        let Some(addr) = self.address(to) else { return };
        let mut writer = Writer::new(&self.keys, &self.head(), body);
        let against = self.members.get(to).filter(|member| member.life != Life::Alive);
        let against = against.map(|member| (member.life, member.incarnation));
        match against {
            Some((Life::Dead, incarnation)) => {
                writer.add(&Update::Dead { name: to, incarnation });
            }
            Some((_, incarnation)) => {
                writer.add(&Update::Suspect { name: to, incarnation, by: &self.me });
            }
            None => {}
        }
        // One that never heard us directly may not know us.
        let stranger =
            self.members.get(to).is_none_or(|member| member.heard == 0 || member.life == Life::Dead);
        if stranger {
            if let Some(member) = self.members.get(&self.me) {
                writer.add(&word(&self.me, member));
            }
        }
        let most = self.settings.tellings * (self.order.len() as f64 + 1.0).log10().ceil().max(1.0) as u32;
        let mut told = Vec::new();
        for (times, name) in &self.queue {
            let Some(member) = self.members.get(name) else { continue };
            let fits = match member.life {
                Life::Alive => writer.add(&word(name, member)),
                Life::Dead => writer.add(&dead(name, member)),
                Life::Suspect => {
                    let by = member.by.get(*times as usize % member.by.len().max(1)).unwrap_or(&self.me);
                    writer.add(&Update::Suspect { name, incarnation: member.incarnation, by })
                }
            };
            if fits {
                told.push((*times, name.clone()));
            } else {
                // The next may be shorter; one try more is enough.
                break;
            }
        }
        for (times, name) in told {
            self.queue.remove(&(times, name.clone()));
            if times + 1 < most {
                self.news.insert(name.clone(), times + 1);
                self.queue.insert((times + 1, name));
            } else {
                self.news.remove(&name);
            }
        }
        let bytes = writer.done(&self.keys);
        self.post(addr, bytes);
    }

    fn post(&mut self, addr: SocketAddr, bytes: Vec<u8>) {
        self.number += 1;
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        self.push(Action::Send(addr, bytes));
    }
}

fn word<'a>(name: &'a str, member: &'a Member) -> Update<'a> {
    let Facts { boot, addr, zone, version, config, role, phase, done, ejects } = &member.facts;
    Update::Alive {
        name,
        incarnation: member.incarnation,
        boot: *boot,
        addr: *addr,
        zone,
        version,
        config: *config,
        role,
        phase: *phase,
        done: *done,
        ejects: *ejects,
    }
}

fn dead<'a>(name: &'a str, member: &Member) -> Update<'a> {
    Update::Dead { name, incarnation: member.incarnation }
}

fn section(name: &str) -> usize {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as usize % SECTIONS
}

/// What a member adds to its section's digest. Suspicions pass by themselves and are left out.
fn print(name: &str, member: &Member) -> u32 {
    let dead = member.life == Life::Dead;
    let seed = member.incarnation.wrapping_mul(2).wrapping_add(u64::from(dead));
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed) as u32
}
