//! Which servers a pool has, as several sources tell it. Pure: no sockets, no clock; what is told and when
//! comes in, one list goes out.
//!
//! ```text
//!   discovery ─┐
//!   static    ─┼─ Told ─▶ Merge: a view for each source ─▶ members(now) ─▶ the pool's decision module
//!   ephemeral ─┘            │
//!                           └─ due(): when the list changes though nobody tells anything
//! ```
//!
//! A source owns its view; [`Merge`] owns what follows from all of them:
//!
//! - **Who rules.** Of the sources that have ever listed a server, the one of the highest [`Source::rank`].
//!   What it took away stays away, however long a slower source still lists it.
//! - **Drains.** Told by any source, a drain counts.
//! - **A lost source.** Its last good view stays, and [`Merge::status`] tells its age. Never an empty list
//!   for want of an answer.
//! - **A restart.** A server with a new start time is another process: cold. One that registers again with the
//!   start time that it had never stopped, and is as warm as before.
//! - **One address.** Of two servers at one address the one whose source has the higher rank counts, of equal
//!   ones the one that started last.
//! - **Much at once.** Where more than [`Bounds::vanish`] of a source's servers go within a moment, the cause
//!   is more likely the source's than theirs: the first of them are taken away, the others stay, in doubt,
//!   for [`Bounds::doubt`]. Who is taken away has been told gone, and gets nothing new.
//! - **A flap.** A server that keeps coming back has to stay for a while before it is believed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Milliseconds on any clock that does not run backwards.
pub type Millis = u64;

/// A source, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u32);

/// What is known of a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its name, for the status.
    pub name: String,
    /// Of two that list a server, the greater one rules; of equal ones the one added first.
    pub rank: u32,
    /// It is a list that somebody keeps, not the sign of life of processes: what it takes away is taken away,
    /// however much at once and however often.
    pub kept: bool,
}

/// How a server is spoken to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Transport {
    /// HTTP/1.1 over TCP.
    #[default]
    Http1,
    /// HTTP/3, at a server that proves who it is.
    Http3 {
        /// By what.
        trust: Trust,
    },
}

/// How a server proves who it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Trust {
    /// Its certificate is this one: SHA-256 of it in DER.
    Pin([u8; 32]),
    /// Its certificate is for this DNS name or IP address, by an authority that the node trusts (RFC 6125).
    Name(Arc<str>),
}

/// The longest name that a certificate may be asked for: that of a DNS name (RFC 1035, section 2.3.4).
pub const LONGEST_SERVER_NAME: usize = 253;

/// How an entry says that its server proves itself.
///
/// # Errors
/// The field that is wrong, and what to write.
pub fn trust_of(
    pin: Option<&str>,
    server_name: Option<&str>,
) -> Result<Option<Trust>, (&'static str, &'static str)> {
    let fits = |c: char| c.is_ascii_alphanumeric() || ".-:".contains(c);
    match (pin, server_name) {
        (None, None) => Ok(None),
        (Some(pin), None) => {
            let pin = pin_of(pin).ok_or(("pin", "give the certificate's SHA-256: 64 hexadecimal digits"))?;
            Ok(Some(Trust::Pin(pin)))
        }
        (None, Some(name)) => {
            let sound = (1..=LONGEST_SERVER_NAME).contains(&name.len()) && name.chars().all(fits);
            let right = "give the DNS name or the address that its certificate is for";
            sound.then(|| Some(Trust::Name(name.into()))).ok_or(("server_name", right))
        }
        (Some(_), Some(_)) => Err(("server_name", "give either it or pin, not both")),
    }
}

/// Reads a certificate's SHA-256: 64 hexadecimal digits.
pub fn pin_of(text: &str) -> Option<[u8; 32]> {
    let mut pin = [0; 32];
    if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (place, byte) in pin.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * place..2 * place + 2], 16).ok()?;
    }
    Some(pin)
}

/// A server as a source has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id, the same at every node and over restarts.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// How it is spoken to.
    pub transport: Transport,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its kind, as its source names it: those of one kind are of about one size. May be empty.
    pub kind: String,
    /// Its weight.
    pub size: f64,
    /// When its process started, Unix time in milliseconds, 0 for long ago; `None` where the source does
    /// not know.
    pub started_ms: Option<u64>,
    /// It finishes what it has and wants nothing new.
    pub draining: bool,
}

/// What a source tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Its whole list.
    Full(Vec<Entry>),
    /// What is new or has changed, and the ids of what is gone.
    Delta {
        /// New or changed.
        entries: Vec<Entry>,
        /// Gone.
        gone: Vec<String>,
    },
    /// It cannot be reached: nothing is known of what happens there.
    Lost,
}

/// How much is believed, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Part of a source's servers that may go within [`Bounds::moment`]; 1 believes everything.
    pub vanish: f64,
    /// Servers that may always go: small pools lose one at a time.
    pub vanish_least: usize,
    /// What counts as at once, in milliseconds.
    pub moment: Millis,
    /// How long a server stays that went with too many others, in milliseconds.
    pub doubt: Millis,
    /// Returns within [`Bounds::flap_window`] after which a server has to stay before it is believed; 0
    /// believes every return.
    pub flaps: usize,
    /// For how long returns count, in milliseconds.
    pub flap_window: Millis,
    /// How long a server that flaps has to stay, in milliseconds.
    pub flap_hold: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            vanish: 0.5,
            vanish_least: 1,
            moment: 2_000,
            doubt: 30_000,
            flaps: 3,
            flap_window: 60_000,
            flap_hold: 10_000,
        }
    }
}

/// Servers that are remembered over all sources, at most; those that went first are forgotten first.
pub const MOST_REMEMBERED: usize = 65_536;

/// A server on the merged list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// How it is spoken to.
    pub transport: Transport,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its kind, as its source names it: those of one kind are of about one size. May be empty.
    pub kind: String,
    /// Its weight.
    pub size: f64,
    /// When its process started, Unix time in milliseconds; 0 is long ago.
    pub since_ms: u64,
    /// Whether new work may go to it.
    pub in_service: bool,
}

/// How a source stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Its name.
    pub name: String,
    /// Servers in its view.
    pub servers: usize,
    /// Since when it is lost.
    pub lost_since: Option<Millis>,
    /// Servers that it took away and that stay in doubt.
    pub in_doubt: usize,
}

/// A server in a source's view.
#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    /// The source took it away with too many others: it stays until then.
    doubted: Option<Millis>,
}

#[derive(Clone, Debug)]
struct View {
    source: Source,
    servers: BTreeMap<String, Held>,
    lost_since: Option<Millis>,
    /// Servers that were taken away of late, and believed to be, and have not come back.
    went: VecDeque<(Millis, String)>,
    /// Servers in the view when the present moment began.
    before: usize,
}

/// What is remembered of a server over its sessions.
#[derive(Clone, Debug, Default)]
struct Memory {
    /// Sources that ever listed it.
    listed: BTreeSet<SourceId>,
    /// When its process started, as last told or first seen.
    since_ms: u64,
    /// When it came back of late.
    returns: VecDeque<Millis>,
    /// It flaps: not believed before then.
    held_until: Millis,
    /// Since when the source that rules has it no more.
    away: Option<Millis>,
}

/// The views of all sources of a pool.
#[derive(Clone, Debug)]
pub struct Merge {
    bounds: Bounds,
    views: BTreeMap<SourceId, View>,
    memory: BTreeMap<String, Memory>,
}

impl Merge {
    /// No sources yet.
    pub fn new(bounds: Bounds) -> Self {
        Merge { bounds, views: BTreeMap::new(), memory: BTreeMap::new() }
    }

    /// Goes by other bounds from now on.
    pub fn bound(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Adds a source, with nothing told so far.
    pub fn add(&mut self, id: SourceId, source: Source) {
        let view =
            View { source, servers: BTreeMap::new(), lost_since: None, went: VecDeque::new(), before: 0 };
        self.views.insert(id, view);
    }

    /// Drops a source with all that it ever told: who was ruled by it is ruled by those that are left.
    pub fn remove(&mut self, id: SourceId) {
        self.views.remove(&id);
        for memory in self.memory.values_mut() {
            memory.listed.remove(&id);
        }
        self.memory.retain(|_, memory| !memory.listed.is_empty());
    }

    /// Takes what a source tells. `unix_ms` is the time of day, for servers whose start nobody knows.
    /// A source that was never added is not heard.
    pub fn told(&mut self, now: Millis, unix_ms: u64, source: SourceId, told: Told) {
        self.settle(now);
        let Some(view) = self.views.get_mut(&source) else { return };
        let (entries, gone) = match told {
            Told::Lost => {
                view.lost_since.get_or_insert(now);
                return;
            }
            Told::Full(entries) => {
                let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
                let gone = view.servers.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect();
                (entries, gone)
            }
            Told::Delta { entries, gone } => (entries, gone),
        };
        view.lost_since = None;
        // What goes is counted against what was there, before those that come.
        self.went(now, source, gone);
        for entry in entries {
            self.came(now, unix_ms, source, entry);
        }
        self.forget(now);
    }

    /// The source that rules for a server: of those that ever listed it, the one of the highest rank.
    fn ruler(&self, memory: &Memory) -> Option<SourceId> {
        let rank = |id: &&SourceId| self.views.get(id).map(|view| (view.source.rank, Reverse(**id)));
        memory.listed.iter().max_by_key(rank).copied()
    }

    fn came(&mut self, now: Millis, unix_ms: u64, source: SourceId, entry: Entry) {
        let fresh = Memory { since_ms: entry.started_ms.unwrap_or(unix_ms), ..Memory::default() };
        let mut memory = self.memory.remove(&entry.id).unwrap_or(fresh);
        memory.listed.insert(source);
        if self.ruler(&memory) == Some(source) {
            let returned = memory.away.take().is_some();
            memory.since_ms = match entry.started_ms {
                Some(started) => started,
                // It was away, and nobody knows whether its process stopped meanwhile: it may have.
                None if returned => unix_ms,
                None => memory.since_ms,
            };
            let kept = self.views.get(&source).is_some_and(|view| view.source.kept);
            if returned && self.bounds.flaps > 0 && !kept {
                let window = self.bounds.flap_window;
                memory.returns.retain(|at| now.saturating_sub(*at) <= window);
                memory.returns.push_back(now);
                if memory.returns.len() > self.bounds.flaps {
                    memory.returns.pop_front();
                    memory.held_until = now + self.bounds.flap_hold;
                }
            }
        } else if let Some(started) = entry.started_ms {
            // A later start is known to whoever saw it first.
            memory.since_ms = memory.since_ms.max(started);
        }
        self.memory.insert(entry.id.clone(), memory);
        if let Some(view) = self.views.get_mut(&source) {
            // One that goes and comes back is one, however often; that it does is a flap.
            view.went.retain(|(_, id)| *id != entry.id);
            view.servers.insert(entry.id.clone(), Held { entry, doubted: None });
        }
    }

    fn went(&mut self, now: Millis, source: SourceId, gone: Vec<String>) {
        let Some(view) = self.views.get_mut(&source) else { return };
        let moment = self.bounds.moment;
        view.went.retain(|(at, _)| now.saturating_sub(*at) < moment);
        if view.went.is_empty() {
            view.before = view.servers.len();
        }
        let most = match self.bounds.vanish {
            // The same few may go and come back any number of times.
            all if all >= 1.0 || view.source.kept => usize::MAX,
            part => ((view.before as f64 * part) as usize).max(self.bounds.vanish_least),
        };
        let mut away = Vec::new();
        for id in gone {
            let Some(held) = view.servers.get_mut(&id) else { continue };
            // One that drains has said itself that it goes.
            if held.entry.draining {
                away.push(id);
            } else if held.doubted.is_none() && view.went.len() < most {
                view.went.push_back((now, id.clone()));
                away.push(id);
            } else {
                held.doubted.get_or_insert(now + self.bounds.doubt);
            }
        }
        self.take_away(now, source, away);
    }

    /// Takes servers off a view for good.
    fn take_away(&mut self, now: Millis, source: SourceId, ids: Vec<String>) {
        for id in ids {
            if let Some(view) = self.views.get_mut(&source) {
                view.servers.remove(&id);
            }
            let rules = self.memory.get(&id).and_then(|memory| self.ruler(memory)) == Some(source);
            if let Some(memory) = self.memory.get_mut(&id).filter(|_| rules) {
                memory.away.get_or_insert(now);
            }
        }
    }

    /// Takes away those whose doubt has run out.
    fn settle(&mut self, now: Millis) {
        let sources: Vec<SourceId> = self.views.keys().copied().collect();
        for source in sources {
            let Some(view) = self.views.get(&source) else { continue };
            let over = |held: &Held| held.doubted.is_some_and(|until| until <= now);
            let ids = view.servers.iter().filter(|(_, held)| over(held)).map(|(id, _)| id.clone()).collect();
            self.take_away(now, source, ids);
        }
    }

    /// Drops what no view has any more and what would not be missed.
    fn forget(&mut self, now: Millis) {
        let window = self.bounds.flap_window;
        let views = &self.views;
        let listed = |id: &String| views.values().any(|view| view.servers.contains_key(id));
        self.memory.retain(|id, memory| {
            let old = memory.away.is_some_and(|since| now.saturating_sub(since) > window);
            !old || listed(id)
        });
        let excess = self.memory.len().saturating_sub(MOST_REMEMBERED);
        if excess > 0 {
            let away = self.memory.iter().filter(|(id, _)| !listed(id));
            let mut away: Vec<(Option<Millis>, String)> = away.map(|(id, m)| (m.away, id.clone())).collect();
            away.sort();
            for (_, id) in away.into_iter().take(excess) {
                self.memory.remove(&id);
            }
        }
    }

    /// Whether a server is on the merged list: the source that rules has it, and where that one is lost,
    /// no source that can be reached has dropped it since.
    fn entry(&self, id: &str, memory: &Memory) -> Option<&Entry> {
        let ruler = self.views.get(&self.ruler(memory)?)?;
        let held = ruler.servers.get(id)?;
        let dropped = |other: &SourceId| {
            let view = self.views.get(other);
            view.is_some_and(|view| view.lost_since.is_none() && !view.servers.contains_key(id))
        };
        let gone = ruler.lost_since.is_some() && memory.listed.iter().any(dropped);
        (!gone).then_some(&held.entry)
    }

    /// The merged list, in the order of the ids.
    pub fn members(&mut self, now: Millis) -> Vec<Member> {
        self.settle(now);
        let member = |(id, memory): (&String, &Memory)| {
            let entry = self.entry(id, memory)?;
            // What a source says of an earlier process does not hold for this one.
            let drains = |view: &View| {
                let entry = view.servers.get(id).map(|held| &held.entry);
                entry.is_some_and(|e| e.draining && e.started_ms.is_none_or(|at| at >= memory.since_ms))
            };
            Some(Member {
                id: id.clone(),
                address: entry.address,
                transport: entry.transport.clone(),
                zone: entry.zone.clone(),
                cell: entry.cell,
                kind: entry.kind.clone(),
                size: entry.size,
                since_ms: memory.since_ms,
                in_service: now >= memory.held_until && !self.views.values().any(drains),
            })
        };
        let mut members: Vec<Member> = self.memory.iter().filter_map(member).collect();
        if self.views.len() > 1 {
            self.one_an_address(&mut members);
        }
        members
    }

    /// Leaves out whoever is at the address of a server that counts for more.
    fn one_an_address(&self, members: &mut Vec<Member>) {
        let worth = |member: &Member| {
            let ruler = self.memory.get(&member.id).and_then(|memory| self.ruler(memory));
            let rank = ruler.and_then(|id| self.views.get(&id)).map_or(0, |view| view.source.rank);
            (rank, member.since_ms, Reverse(member.id.clone()))
        };
        let mut best: BTreeMap<SocketAddr, (u32, u64, Reverse<String>)> = BTreeMap::new();
        for member in members.iter() {
            let worth = worth(member);
            let held = best.entry(member.address).or_insert_with(|| worth.clone());
            if worth > *held {
                *held = worth;
            }
        }
        members.retain(|member| best.get(&member.address).is_some_and(|(.., id)| id.0 == member.id));
    }

    /// When the list changes by itself, if it does.
    pub fn due(&self, now: Millis) -> Option<Millis> {
        let doubts =
            self.views.values().flat_map(|view| view.servers.values()).filter_map(|held| held.doubted);
        let holds = self.memory.values().map(|memory| memory.held_until);
        doubts.chain(holds).filter(|at| *at > now).min()
    }

    /// How the sources stand, in the order of their numbers.
    pub fn status(&self) -> Vec<Standing> {
        let standing = |view: &View| Standing {
            name: view.source.name.clone(),
            servers: view.servers.len(),
            lost_since: view.lost_since,
            in_doubt: view.servers.values().filter(|held| held.doubted.is_some()).count(),
        };
        self.views.values().map(standing).collect()
    }
}
