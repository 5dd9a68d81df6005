//! Clock polling: queries the anchors for their clocks and answers the queries of others. See
//! [`crate::clock`].

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Fleet;
use crate::clock::{ClockSettings, Clocks, Micros, Sample};
use crate::wire::{Body, DatagramWriter};
use crate::{MembershipEvent, Millis};

/// Fleet time of one node and its outstanding clock queries.
pub(super) struct ClockPoller {
    clocks: Clocks,
    /// Own clock, read for the current datagram or tick.
    local: Option<Micros>,
    /// Time of the next poll; `None` until the caller has passed in the own clock once.
    pub(super) next_poll_at: Option<Millis>,
    /// The last query to each peer: its nonce and the own clock when it was sent.
    outstanding: BTreeMap<Arc<str>, (u32, Micros)>,
}

impl ClockPoller {
    pub(super) fn new(local_name: Arc<str>, settings: ClockSettings) -> ClockPoller {
        ClockPoller {
            clocks: Clocks::new(local_name, settings),
            local: None,
            next_poll_at: None,
            outstanding: BTreeMap::new(),
        }
    }
}

impl Fleet {
    /// State of fleet time; `None` if it is disabled.
    pub fn clocks(&self) -> Option<&Clocks> {
        self.clock_poller.as_ref().map(|poller| &poller.clocks)
    }

    /// State of fleet time, to set the anchors, the watched peers and the run of the own clock.
    pub fn clocks_mut(&mut self) -> Option<&mut Clocks> {
        self.clock_poller.as_mut().map(|poller| &mut poller.clocks)
    }

    /// [`Fleet::receive`] with the own clock. It has to be read after the datagram arrived, anew for each
    /// datagram: an earlier reading would give the querying node a wrong bound.
    pub fn receive_with_clock(&mut self, now: Millis, local: Micros, bytes: &[u8]) {
        self.set_local_clock(Some(local));
        self.receive(now, bytes);
        self.set_local_clock(None);
    }

    /// [`Fleet::tick`] with the own clock, read before anything is sent, and the wall clock (Unix time in
    /// microseconds).
    pub fn tick_with_clock(&mut self, now: Millis, local: Micros, wall: i64) {
        if let Some(event) = self.clock_poller.as_mut().and_then(|poller| poller.clocks.poll(local, wall)) {
            self.emit(MembershipEvent::Clock(event));
        }
        self.tick(now);
        self.poll_clocks(now, local);
    }

    /// Sets the clock reading for the current datagram or tick.
    fn set_local_clock(&mut self, local: Option<Micros>) {
        if let Some(poller) = &mut self.clock_poller {
            poller.local = local;
        }
    }

    /// Queries each peer once in a poll interval.
    fn poll_clocks(&mut self, now: Millis, local: Micros) {
        let due = |poller: &&mut Box<ClockPoller>| poller.next_poll_at.is_none_or(|at| now >= at);
        let Some(poller) = self.clock_poller.as_mut().filter(due) else { return };
        poller.next_poll_at = Some(now + poller.clocks.settings().poll_interval.max(1));
        let names = poller.clocks.polled_names();
        poller.outstanding = names.into_iter().map(|name| (name, (self.random.u32(..), local))).collect();
        let queries: Vec<_> =
            poller.outstanding.iter().map(|(name, (nonce, _))| (name.clone(), *nonce)).collect();
        for (name, nonce) in queries {
            self.send_without_updates(&name, &Body::Clock { nonce });
        }
    }

    /// Answers a query, if the own clock was read for this datagram.
    pub(super) fn reply_to_clock_query(&mut self, to: &Arc<str>, nonce: u32) {
        let Some(poller) = &self.clock_poller else { return };
        let (run, Some(at)) = (poller.clocks.settings().run, poller.local) else { return };
        self.send_without_updates(to, &Body::Stamp { nonce, run, at });
    }

    /// Accepts a reply to the outstanding query.
    pub(super) fn accept_stamp(&mut self, from: &Arc<str>, nonce: u32, run: u64, stamp: Micros) {
        let Some(poller) = &mut self.clock_poller else { return };
        let Some(received) = poller.local else { return };
        let Some((_, sent)) =
            poller.outstanding.get(from).copied().filter(|(expected, _)| *expected == nonce)
        else {
            return;
        };
        poller.outstanding.remove(from);
        if let Some(event) = poller.clocks.on_sample(from, run, Sample { sent, received, stamp }) {
            self.emit(MembershipEvent::Clock(event));
        }
    }

    /// Sends a body without gossip.
    fn send_without_updates(&mut self, to: &str, body: &Body<'_>) {
        let Some(addr) = self.address(to) else { return };
        let bytes = DatagramWriter::new(&self.keys, &self.header(), body).finish(&self.keys);
        self.send_datagram(addr, bytes);
    }
}
