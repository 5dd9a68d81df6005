//! A fleet in simulated time, for tests and proofs: seeded, and the caller decides the fate of every
//! datagram.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Micros;
use crate::wire::{self, GossipKeys};
use crate::{
    Fleet, GossipAction, GossipSettings, LifecyclePhase, MemberState, MembershipEvent, Millis, NodeMetadata,
};

/// Whether a datagram from one node to another arrives, given a random number from 0 up to 1.
pub type Link = Box<dyn Fn(usize, usize, f64) -> bool>;

/// Delay of a datagram from one node to another, given a random number from 0 up to 1.
pub type Delay = Box<dyn Fn(usize, usize, f64) -> Millis>;

/// Clock reading that a node reports to another in place of its own.
pub type ClockFault = Box<dyn Fn(usize, usize, Micros) -> Micros>;

/// A clock in simulated time.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedClock {
    /// Reading at the start.
    pub start: Micros,
    /// Rate error in millionths; positive if the clock runs fast.
    pub ppm: i64,
    /// Sum of the steps of the clock, in microseconds.
    pub step: i64,
    /// Offset of the wall clock, in microseconds.
    pub wall_offset: i64,
}

impl SimulatedClock {
    /// Reading at a simulated time.
    pub fn at(&self, now: Millis) -> Micros {
        let elapsed = i128::from(now) * i128::from(1_000_000 + self.ppm) / 1_000;
        self.start.saturating_add_signed(elapsed as i64 + self.step)
    }
}

/// Arrival time, sequence number, receiver and bytes of a datagram.
type InFlight = (Millis, u64, usize, Vec<u8>);

/// The nodes and the datagrams between them.
pub struct Simulation {
    /// Current time.
    pub now: Millis,
    settings: GossipSettings,
    /// The nodes by index.
    pub nodes: Vec<Fleet>,
    /// Nodes that neither run nor receive.
    pub stopped: BTreeSet<usize>,
    /// Rule that decides which datagrams arrive.
    pub link: Link,
    /// Delay of datagrams; 1 to 4 ms if `None`.
    pub delay: Option<Delay>,
    /// Clocks by node; empty if fleet time is disabled.
    pub clocks: Vec<SimulatedClock>,
    /// Wrong clock readings that nodes report. Only for fleets without keys.
    pub clock_fault: Option<ClockFault>,
    random: fastrand::Rng,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    wakeups: BinaryHeap<Reverse<(Millis, usize)>>,
    datagrams_sent: u64,
    /// Events with their time and the node that reported them.
    pub events: Vec<(Millis, usize, MembershipEvent)>,
}

/// Name of a node.
pub fn name(node: usize) -> String {
    format!("n{node:04}")
}

/// Address of a node.
pub fn addr(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7946))
}

fn metadata(node: usize, boot: u64) -> NodeMetadata {
    let (zone, version) = (["a", "b", "c"][node % 3].to_owned(), "0.2.0".to_owned());
    let (role, phase) = ("node".to_owned(), LifecyclePhase::Ready);
    NodeMetadata {
        boot,
        addr: addr(node),
        zone,
        version,
        config: 7,
        role,
        phase,
        completed_order: 0,
        ejected_marks: [0; crate::MAX_EJECTED_MARKS],
    }
}

impl Simulation {
    /// Creates this many nodes that know the first two and start within a second.
    #[must_use]
    pub fn new(count: usize, seed: u64, keys: &GossipKeys) -> Simulation {
        Simulation::with_settings(count, seed, keys, GossipSettings::default())
    }

    /// [`Simulation::new`] with other settings.
    #[must_use]
    pub fn with_settings(count: usize, seed: u64, keys: &GossipKeys, settings: GossipSettings) -> Simulation {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut sim = Simulation {
            now: 0,
            settings,
            nodes: Vec::new(),
            stopped: BTreeSet::new(),
            link: Box::new(|_, _, _| true),
            delay: None,
            clocks: Vec::new(),
            clock_fault: None,
            random: random.fork(),
            in_flight: BinaryHeap::new(),
            wakeups: BinaryHeap::new(),
            datagrams_sent: 0,
            events: Vec::new(),
        };
        for node in 0..count {
            let start = random.u64(..1_000);
            let fleet = sim.new_process(node, 1_000 + node as u64, start, keys);
            sim.nodes.push(fleet);
            sim.wakeups.push(Reverse((start, node)));
        }
        sim
    }

    /// Creates another process of this index, without adding it to the nodes.
    pub fn new_process(&mut self, node: usize, boot: u64, now: Millis, keys: &GossipKeys) -> Fleet {
        let addresses: BTreeMap<Arc<str>, SocketAddr> = (0..2).map(|n| (name(n).into(), addr(n))).collect();
        let (metadata, seed) = (metadata(node, boot), self.random.u64(..));
        Fleet::new(now, &name(node), metadata, addresses, keys.clone(), self.settings, seed)
    }

    /// Replaces the process of a node by a new one of the same name.
    pub fn restart(&mut self, node: usize, boot: u64) {
        self.nodes[node] = self.new_process(node, boot, self.now, &GossipKeys::none());
        self.stopped.remove(&node);
        self.wakeups.push(Reverse((self.now, node)));
    }

    /// Resumes a stopped node.
    pub fn resume(&mut self, node: usize) {
        self.stopped.remove(&node);
        self.wakeups.push(Reverse((self.now, node)));
    }

    /// Runs the simulation up to this time.
    pub fn run_until(&mut self, until: Millis) {
        loop {
            let arrival = self.in_flight.peek().map(|Reverse(next)| next.0);
            let wakeup = self.wakeups.peek().map(|Reverse(next)| next.0);
            let Some(at) = arrival.into_iter().chain(wakeup).min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(at);
            let node = if arrival == Some(at) {
                let Some(Reverse((_, _, node, bytes))) = self.in_flight.pop() else { break };
                if self.stopped.contains(&node) {
                    continue;
                }
                self.deliver(node, &bytes);
                node
            } else {
                let Some(Reverse((_, node))) = self.wakeups.pop() else { break };
                if self.stopped.contains(&node) || self.nodes[node].next_wake() > self.now {
                    continue;
                }
                match self.clocks.get(node) {
                    Some(clock) => {
                        let local = clock.at(self.now);
                        self.nodes[node].tick_with_clock(self.now, local, local as i64 + clock.wall_offset);
                    }
                    None => self.nodes[node].tick(self.now),
                }
                node
            };
            self.perform_actions(node);
        }
        self.now = until;
    }

    fn deliver(&mut self, node: usize, bytes: &[u8]) {
        let Some(clock) = self.clocks.get(node) else { return self.nodes[node].receive(self.now, bytes) };
        let mut local = clock.at(self.now);
        if let (Some(fault), Ok(datagram)) = (&self.clock_fault, wire::decode(bytes, &GossipKeys::none())) {
            let requester = datagram.header.from.trim_start_matches('n').parse();
            local = requester.map_or(local, |requester| fault(node, requester, local));
        }
        self.nodes[node].receive_with_clock(self.now, local, bytes);
    }

    /// Carries out the pending actions of a node.
    pub fn perform_actions(&mut self, node: usize) {
        while let Some(action) = self.nodes[node].next_action() {
            match action {
                GossipAction::Notify(event) => self.events.push((self.now, node, event)),
                GossipAction::Send(to, bytes) => {
                    let SocketAddr::V4(to) = to else { continue };
                    let [_, _, high, low] = to.ip().octets();
                    let to = usize::from(high) << 8 | usize::from(low);
                    let chance = self.random.f64();
                    if (self.link)(node, to, chance) {
                        let default = self.random.u64(1..5);
                        let duration =
                            self.delay.as_ref().map_or(default, |delay| delay(node, to, self.random.f64()));
                        let at = self.now + duration;
                        self.datagrams_sent += 1;
                        self.in_flight.push(Reverse((at, self.datagrams_sent, to, bytes)));
                    }
                }
            }
        }
        self.wakeups.push(Reverse((self.nodes[node].next_wake().max(self.now + 1), node)));
    }

    /// Number of nodes out of `by` that see the node in this state.
    pub fn count_seeing(&self, by: impl Iterator<Item = usize>, node: usize, state: MemberState) -> usize {
        let name = name(node);
        let agrees = |observer: &usize| self.nodes[*observer].member(&name).is_some_and(|m| m.state == state);
        by.filter(agrees).count()
    }

    /// Declared deaths: time, declaring node and dead member.
    pub fn deaths(&self) -> Vec<(Millis, usize, String)> {
        let died = |(at, node, event): &(Millis, usize, MembershipEvent)| match event {
            MembershipEvent::Died(name) => Some((*at, *node, name.to_string())),
            _ => None,
        };
        self.events.iter().filter_map(died).collect()
    }

    /// Whether each node that is not excluded sees exactly the nodes that are not excluded as not dead.
    pub fn has_converged(&self, excluded: &BTreeSet<usize>) -> bool {
        let (total, is_included) = (self.nodes.len(), |node: &usize| !excluded.contains(node));
        (0..total).filter(is_included).all(|node| {
            let alive = self.nodes[node].members().filter(|(_, m)| m.state != MemberState::Dead).count();
            alive == total - excluded.len()
        })
    }
}
