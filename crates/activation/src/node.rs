//! One node: what it knows, what it serves, and the turn in which an event is taken in.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::board::{Board, Decision};
use crate::clock::{Micros, Now};
use crate::disk::Disk;
use crate::event::{Action, Event};
use crate::follow::Promise;
use crate::version::{Belongs, Parts, Version, FORMAT, MOST_PARTS};
use crate::{Command, Limits, Rules};

/// A node's part in it all: events in, actions out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub(crate) name: String,
    pub(crate) limits: Limits,
    /// What its program reads.
    pub(crate) format: u32,
    pub(crate) life: u64,
    pub(crate) entry: u64,
    /// Its entry stands at the board.
    pub(crate) seated: bool,
    /// It was without the service and most of the roster, and has not heard either since.
    pub(crate) alone: bool,
    pub(crate) heard: Micros,
    /// It takes nothing more.
    pub(crate) left: bool,
    /// Another disk's process has its seat.
    pub(crate) taken: bool,
    /// The board's format, where it can't be read.
    pub(crate) foreign: Option<u32>,
    pub(crate) board: Option<Board>,
    pub(crate) served: Option<Decision>,
    pub(crate) next: Option<Decision>,
    pub(crate) promise: Option<Promise>,
    /// What is built, each of the right digest.
    pub(crate) built: BTreeMap<Version, Parts>,
    pub(crate) fetching: BTreeSet<Version>,
    pub(crate) failed: BTreeMap<Version, String>,
    /// Requests by what they were taken under.
    pub(crate) open: BTreeMap<u64, u64>,
    /// The versions of decisions that have ended here and have requests.
    pub(crate) past: BTreeMap<u64, Version>,
    pub(crate) held: VecDeque<(u64, Belongs)>,
    /// Since when requests wait.
    pub(crate) gap: Option<Micros>,
    /// Words of others, for the attempt that is open.
    pub(crate) told: BTreeMap<String, Command>,
    /// Since when its own word for an attempt is not on the board.
    pub(crate) unsaid: Option<(u64, Micros)>,
    /// Since when the clock can't tell.
    pub(crate) unsure: Option<Micros>,
    pub(crate) turned: Micros,
    pub(crate) woke: Micros,
    pub(crate) asked: Option<Micros>,
    /// The last `Keep` and the last `Kept`.
    keeps: u64,
    pub(crate) kept: u64,
}

impl Node {
    /// A process that starts, with what its disk has. `draw` is fresh randomness at each start.
    pub fn start(name: &str, limits: Limits, disk: Option<Disk>, draw: u64, now: Now) -> (Node, Vec<Action>) {
        Node::of_format(FORMAT, name, limits, disk, draw, now)
    }

    /// The same, for a program that reads versions up to another format.
    pub fn of_format(
        format: u32,
        name: &str,
        limits: Limits,
        disk: Option<Disk>,
        draw: u64,
        now: Now,
    ) -> (Node, Vec<Action>) {
        let (life, entry) = (disk.as_ref().map_or(draw, |disk| disk.life), draw);
        let (served, next) = disk.map_or((None, None), |disk| (disk.served, disk.next));
        let mut node = Node {
            name: name.to_owned(),
            limits,
            format,
            life,
            entry,
            seated: false,
            alone: false,
            heard: now.local,
            left: false,
            taken: false,
            foreign: None,
            board: None,
            served,
            next,
            promise: None,
            built: BTreeMap::new(),
            fetching: BTreeSet::new(),
            failed: BTreeMap::new(),
            open: BTreeMap::new(),
            past: BTreeMap::new(),
            held: VecDeque::new(),
            gap: None,
            told: BTreeMap::new(),
            unsaid: None,
            unsure: None,
            turned: now.local,
            woke: now.local,
            asked: None,
            keeps: 0,
            kept: 0,
        };
        let mut out = Vec::new();
        node.keep(&mut out);
        node.turn(now, &mut out);
        (node, out)
    }

    /// Takes in what happened. The caller gives out [`Node::gate`] before it carries out any of the actions.
    pub fn on(&mut self, event: Event, now: Now) -> Vec<Action> {
        if now.local.saturating_sub(self.turned) > self.limits.longest_turn {
            self.woke = now.local;
        }
        self.turned = now.local;
        if now.local.saturating_sub(self.heard) > self.limits.alone {
            (self.alone, self.seated) = (true, false);
        }
        let mut out = Vec::new();
        // Whatever happened, first the moment: a request of this very turn is taken by what is served now.
        self.settle(now, &mut out);
        match event {
            Event::BoardRead(board) => self.read(board, now, &mut out),
            Event::Fetched { version, digest, parts } => {
                self.fetching.remove(&version);
                let wrong = match parts.len() {
                    many if many > MOST_PARTS => Some(format!("{many} parts, {MOST_PARTS} at most")),
                    _ if digest != version.digest => {
                        Some(format!("built {digest} of what should be {}", version.digest))
                    }
                    _ => None,
                };
                match wrong {
                    Some(why) => drop(self.failed.insert(version, why)),
                    None => drop(self.built.insert(version, parts)),
                }
                self.say(now, &mut out);
            }
            Event::Failed { version, why } => {
                self.fetching.remove(&version);
                self.failed.insert(version, why);
                self.say(now, &mut out);
            }
            Event::Kept(seq) => {
                self.kept = self.kept.max(seq);
                self.say(now, &mut out);
            }
            Event::Heard(at) => {
                self.heard = self.heard.max(at);
                // Its end may have been proven meanwhile: what it reads counts once it has its seat anew.
                if self.alone && now.local.saturating_sub(at) <= self.limits.alone {
                    (self.alone, self.entry) = (false, mixed(self.entry));
                }
            }
            Event::Told(word) => self.hear(word),
            Event::Leave => {
                (self.left, self.seated) = (true, false);
                self.leave(&mut out);
            }
            Event::RequestIn { id, belongs } => self.request(id, belongs, now, &mut out),
            Event::RequestLeft(id) => self.held.retain(|(held, _)| *held != id),
            Event::RequestOver(taken) => {
                if let Some(count) = self.open.get_mut(&taken.fence) {
                    *count = count.saturating_sub(1);
                }
            }
            Event::Tick => {}
        }
        self.turn(now, &mut out);
        out
    }

    /// What comes after every event.
    fn turn(&mut self, now: Now, out: &mut Vec<Action>) {
        match now.clock.within(self.widest()) {
            Some(_) => self.unsure = None,
            None => drop(self.unsure.get_or_insert(now.local)),
        }
        self.settle(now, out);
        self.release(now, out);
        self.tables(out);
        if self.asked.is_none_or(|at| now.local.saturating_sub(at) >= self.limits.poll) {
            self.asked = Some(now.local);
            out.push(Action::Read);
        }
    }

    /// Switches once the moment is surely there.
    pub(crate) fn settle(&mut self, now: Now, out: &mut Vec<Action>) {
        let past = |next: &Decision| {
            now.clock.within(self.widest()).is_some_and(|(earliest, _)| earliest >= next.moment)
        };
        if !self.next.as_ref().is_some_and(past) {
            return;
        }
        let next = self.next.take();
        if let Some(last) = std::mem::replace(&mut self.served, next.clone()) {
            self.past.insert(last.fence, last.version);
        }
        self.keep(out);
        out.extend(next.map(Action::Switch));
    }

    /// What is decided or promised beside what is served.
    pub(crate) fn coming(&self) -> Option<(u64, &Version)> {
        let promised = || self.promise.as_ref().map(|promise| (promise.fence, &promise.version));
        self.next.as_ref().map(|next| (next.fence, &next.version)).or_else(promised)
    }

    /// What is served here, and what is decided and not yet served.
    pub fn decisions(&self) -> (Option<&Decision>, Option<&Decision>) {
        (self.served.as_ref(), self.next.as_ref())
    }

    pub(crate) fn widest(&self) -> Micros {
        self.board.as_ref().map_or(Rules::default().widest, |board| board.rules.widest)
    }

    pub(crate) fn keep(&mut self, out: &mut Vec<Action>) {
        self.keeps += 1;
        let disk = Disk { life: self.life, served: self.served.clone(), next: self.next.clone() };
        out.push(Action::Keep(self.keeps, Box::new(disk)));
    }
}

/// The next of a row of numbers that look drawn (splitmix64).
pub(crate) fn mixed(last: u64) -> u64 {
    let mut z = last.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
