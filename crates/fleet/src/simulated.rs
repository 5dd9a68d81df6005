//! A fleet in simulated time: seeded, every datagram decided by whoever plays it. For tests and proofs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Micros;
use crate::wire::{self, Keys};
use crate::{Action, Event, Facts, Fleet, Life, Millis, Phase, Settings};

/// Whether a datagram from one to another arrives, and a number by chance from 0 up to 1.
pub type Link = Box<dyn Fn(usize, usize, f64) -> bool>;

/// How long a datagram from one to another takes, given a number by chance from 0 up to 1.
pub type Delay = Box<dyn Fn(usize, usize, f64) -> Millis>;

/// What a node tells another in place of what its clock shows.
pub type Lie = Box<dyn Fn(usize, usize, Micros) -> Micros>;

/// A clock in simulated time.
#[derive(Clone, Copy, Debug)]
pub struct Hand {
    /// What it showed at the start.
    pub start: Micros,
    /// How much faster than true time it goes, in millionths.
    pub ppm: i64,
    /// What it was put on or back since, in microseconds.
    pub stepped: i64,
    /// What the wall clock was put on or back, in microseconds.
    pub wall: i64,
}

impl Hand {
    /// What it shows.
    pub fn at(&self, now: Millis) -> Micros {
        let passed = i128::from(now) * i128::from(1_000_000 + self.ppm) / 1_000;
        self.start.saturating_add_signed(passed as i64 + self.stepped)
    }
}

/// When it arrives, a number, at whom, and what.
type Flying = (Millis, u64, usize, Vec<u8>);

/// The nodes and what flies between them.
pub struct Sim {
    /// The time.
    pub now: Millis,
    settings: Settings,
    /// By number.
    pub nodes: Vec<Fleet>,
    /// Those that neither run nor read.
    pub stopped: BTreeSet<usize>,
    /// What becomes of datagrams.
    pub link: Link,
    /// How long they take; 1 to 4 ms where nothing else is said.
    pub delay: Option<Delay>,
    /// The clocks, by node; empty where no time is kept.
    pub hands: Vec<Hand>,
    /// What is told of them. Only of fleets without keys.
    pub lie: Option<Lie>,
    random: fastrand::Rng,
    flying: BinaryHeap<Reverse<Flying>>,
    wakes: BinaryHeap<Reverse<(Millis, usize)>>,
    sent: u64,
    /// What each told, and when.
    pub events: Vec<(Millis, usize, Event)>,
}

/// The name of a node.
pub fn name(node: usize) -> String {
    format!("n{node:04}")
}

/// Its address.
pub fn addr(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7946))
}

fn facts(node: usize, boot: u64) -> Facts {
    let (zone, version) = (["a", "b", "c"][node % 3].to_owned(), "0.2.0".to_owned());
    let (role, phase) = ("node".to_owned(), Phase::Ready);
    Facts {
        boot,
        addr: addr(node),
        zone,
        version,
        config: 7,
        role,
        phase,
        done: 0,
        ejects: [0; crate::EJECTED],
    }
}

impl Sim {
    /// So many that know of the first two, all of them started within a second.
    #[must_use]
    pub fn new(many: usize, seed: u64, keys: &Keys) -> Sim {
        Sim::with(many, seed, keys, Settings::default())
    }

    /// The same with other settings.
    #[must_use]
    pub fn with(many: usize, seed: u64, keys: &Keys, settings: Settings) -> Sim {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut sim = Sim {
            now: 0,
            settings,
            nodes: Vec::new(),
            stopped: BTreeSet::new(),
            link: Box::new(|_, _, _| true),
            delay: None,
            hands: Vec::new(),
            lie: None,
            random: random.fork(),
            flying: BinaryHeap::new(),
            wakes: BinaryHeap::new(),
            sent: 0,
            events: Vec::new(),
        };
        for node in 0..many {
            let start = random.u64(..1_000);
            let fleet = sim.make(node, 1_000 + node as u64, start, keys);
            sim.nodes.push(fleet);
            sim.wakes.push(Reverse((start, node)));
        }
        sim
    }

    /// Another process of this number, for whoever wants it beside the first.
    pub fn make(&mut self, node: usize, boot: u64, now: Millis, keys: &Keys) -> Fleet {
        let known: BTreeMap<Arc<str>, SocketAddr> = (0..2).map(|n| (name(n).into(), addr(n))).collect();
        let (facts, seed) = (facts(node, boot), self.random.u64(..));
        Fleet::new(now, &name(node), facts, known, keys.clone(), self.settings, seed)
    }

    /// The process ends and another of its name starts.
    pub fn restart(&mut self, node: usize, boot: u64) {
        self.nodes[node] = self.make(node, boot, self.now, &Keys::none());
        self.stopped.remove(&node);
        self.wakes.push(Reverse((self.now, node)));
    }

    /// One that was stopped goes on.
    pub fn wake(&mut self, node: usize) {
        self.stopped.remove(&node);
        self.wakes.push(Reverse((self.now, node)));
    }

    /// Goes on to this time.
    pub fn run(&mut self, until: Millis) {
        loop {
            let fly = self.flying.peek().map(|Reverse(next)| next.0);
            let wake = self.wakes.peek().map(|Reverse(next)| next.0);
            let Some(at) = fly.into_iter().chain(wake).min().filter(|at| *at <= until) else { break };
            self.now = self.now.max(at);
            let node = if fly == Some(at) {
                let Some(Reverse((_, _, node, bytes))) = self.flying.pop() else { break };
                if self.stopped.contains(&node) {
                    continue;
                }
                self.hear(node, &bytes);
                node
            } else {
                let Some(Reverse((_, node))) = self.wakes.pop() else { break };
                if self.stopped.contains(&node) || self.nodes[node].wake() > self.now {
                    continue;
                }
                match self.hands.get(node) {
                    Some(hand) => {
                        let local = hand.at(self.now);
                        self.nodes[node].tick_at(self.now, local, local as i64 + hand.wall);
                    }
                    None => self.nodes[node].tick(self.now),
                }
                node
            };
            self.act(node);
        }
        self.now = until;
    }

    fn hear(&mut self, node: usize, bytes: &[u8]) {
        let Some(hand) = self.hands.get(node) else { return self.nodes[node].hear(self.now, bytes) };
        let mut local = hand.at(self.now);
        if let (Some(lie), Ok(datagram)) = (&self.lie, wire::open(bytes, &Keys::none())) {
            let asks = datagram.head.from.trim_start_matches('n').parse();
            local = asks.map_or(local, |asks| lie(node, asks, local));
        }
        self.nodes[node].hear_at(self.now, local, bytes);
    }

    /// Does what one wants done.
    pub fn act(&mut self, node: usize) {
        while let Some(action) = self.nodes[node].act() {
            match action {
                Action::Tell(event) => self.events.push((self.now, node, event)),
                Action::Send(to, bytes) => {
                    let SocketAddr::V4(to) = to else { continue };
                    let [_, _, high, low] = to.ip().octets();
                    let to = usize::from(high) << 8 | usize::from(low);
                    let chance = self.random.f64();
                    if (self.link)(node, to, chance) {
                        let usual = self.random.u64(1..5);
                        let takes =
                            self.delay.as_ref().map_or(usual, |delay| delay(node, to, self.random.f64()));
                        let at = self.now + takes;
                        self.sent += 1;
                        self.flying.push(Reverse((at, self.sent, to, bytes)));
                    }
                }
            }
        }
        self.wakes.push(Reverse((self.nodes[node].wake().max(self.now + 1), node)));
    }

    /// How many of these hold it for so.
    pub fn hold(&self, these: impl Iterator<Item = usize>, of: usize, life: Life) -> usize {
        let name = name(of);
        let holds = |node: &usize| self.nodes[*node].member(&name).is_some_and(|m| m.life == life);
        these.filter(holds).count()
    }

    /// Who was found dead by whom, and when.
    pub fn deaths(&self) -> Vec<(Millis, usize, String)> {
        let died = |(at, node, event): &(Millis, usize, Event)| match event {
            Event::Died(name) => Some((*at, *node, name.to_string())),
            _ => None,
        };
        self.events.iter().filter_map(died).collect()
    }

    /// Whether all but these hold just all but these for alive.
    pub fn all_together(&self, but: &BTreeSet<usize>) -> bool {
        let (all, left) = (self.nodes.len(), |node: &usize| !but.contains(node));
        (0..all).filter(left).all(|node| {
            let alive = self.nodes[node].members().filter(|(_, m)| m.life != Life::Dead).count();
            alive == all - but.len()
        })
    }
}
