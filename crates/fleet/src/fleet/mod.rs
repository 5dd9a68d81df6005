//! The members as one node sees them: what is known, and how it begins. What is done with it, by rule:
//!
//! ```text
//!   run      time: what is due, sleep, being cut off      probe    whom to ask, helpers, missed answers
//!   receive  a datagram: whether it is taken, its body    suspect  from doubt to death, contradictions
//!   learn    what it tells of members                     fetch    what telling lost, by sections and pages
//!   send     news, addresses, what goes out              view     what is asked of it and said to it
//!   time     clocks: who is asked, who is answered
//! ```

mod fetch;
mod learn;
mod probe;
mod receive;
mod run;
mod send;
mod suspect;
mod time;
mod view;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use send::{print, section};

use crate::wire::{Keys, Window, LONGEST_NAME, SECTIONS};
use crate::{Action, Counts, Facts, Life, Millis, Settings};

/// Members of a fleet, dead ones too, at most. The one that has been dead longest makes room.
pub const MOST_MEMBERS: usize = 4_096;
/// Probes for others under way, at most; more are not taken.
pub const MOST_RELAYED: usize = 256;
/// Suspicions that are looked into at once, at most.
pub const MOST_CHECKS: usize = 16;
/// What changed and was not taken yet, at most; the oldest goes.
pub const MOST_ACTIONS: usize = 8_192;
/// Members that confirm a suspicion, at most: after them it ends at its soonest.
const CONFIRMS: usize = 3;
/// Doubt about oneself, at most (Lifeguard's S).
pub(crate) const MOST_DOUBT: u32 = 8;

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
    time: Option<Box<time::Time>>,
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
            time: settings.clocks.map(|clocks| Box::new(time::Time::new(me.clone(), clocks))),
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
}
