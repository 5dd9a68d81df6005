//! Clocks: the anchors are asked for theirs, and who asks is answered. See [`crate::clock`].

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Fleet;
use crate::clock::{Clocks, Micros, Sample, Settings};
use crate::wire::{Body, Writer};
use crate::{Event, Millis};

pub(super) struct Time {
    clocks: Clocks,
    /// The own clock, read for the datagram or the tick that is at hand.
    local: Option<Micros>,
    /// When the next are asked; `None` until the driver has told the own clock once.
    pub(super) ask_at: Option<Millis>,
    /// The last question to each, and when it went.
    open: BTreeMap<Arc<str>, (u32, Micros)>,
}

impl Time {
    pub(super) fn new(me: Arc<str>, settings: Settings) -> Time {
        Time { clocks: Clocks::new(me, settings), local: None, ask_at: None, open: BTreeMap::new() }
    }
}

impl Fleet {
    /// What is known of the fleet's time; `None` where it is not kept.
    pub fn clocks(&self) -> Option<&Clocks> {
        self.time.as_ref().map(|time| &time.clocks)
    }

    /// To name anchors, whom to watch, and another run.
    pub fn clocks_mut(&mut self) -> Option<&mut Clocks> {
        self.time.as_mut().map(|time| &mut time.clocks)
    }

    /// [`Fleet::hear`] with the own clock, read after the datagram came and anew for each: an earlier time would be a lie
    /// to whoever asks.
    pub fn hear_at(&mut self, now: Millis, local: Micros, bytes: &[u8]) {
        self.set(Some(local));
        self.hear(now, bytes);
        self.set(None);
    }

    /// [`Fleet::tick`] with the own clock, read before anything of it is sent, and the wall clock (Unix time in
    /// microseconds).
    pub fn tick_at(&mut self, now: Millis, local: Micros, wall: i64) {
        if let Some(event) = self.time.as_mut().and_then(|time| time.clocks.poll(local, wall)) {
            self.tell(Event::Clock(event));
        }
        self.tick(now);
        self.ask(now, local);
    }

    fn set(&mut self, local: Option<Micros>) {
        if let Some(time) = &mut self.time {
            time.local = local;
        }
    }

    /// Asks each once in a while.
    fn ask(&mut self, now: Millis, local: Micros) {
        let due = |time: &&mut Box<Time>| time.ask_at.is_none_or(|at| now >= at);
        let Some(time) = self.time.as_mut().filter(due) else { return };
        time.ask_at = Some(now + time.clocks.settings().every.max(1));
        let asked = time.clocks.asked();
        time.open = asked.into_iter().map(|name| (name, (self.random.u32(..), local))).collect();
        let questions: Vec<_> = time.open.iter().map(|(name, (nonce, _))| (name.clone(), *nonce)).collect();
        for (name, nonce) in questions {
            self.post_bare(&name, &Body::Clock { nonce });
        }
    }

    /// Answers, where the own clock was read for it.
    pub(super) fn stamp(&mut self, to: &Arc<str>, nonce: u32) {
        let Some(time) = &self.time else { return };
        let (run, Some(at)) = (time.clocks.settings().run, time.local) else { return };
        self.post_bare(to, &Body::Stamp { nonce, run, at });
    }

    /// Takes an answer to the question that is open.
    pub(super) fn stamped(&mut self, from: &Arc<str>, nonce: u32, run: u64, stamp: Micros) {
        let Some(time) = &mut self.time else { return };
        let Some(received) = time.local else { return };
        let Some((_, sent)) = time.open.get(from).copied().filter(|(asked, _)| *asked == nonce) else {
            return;
        };
        time.open.remove(from);
        if let Some(event) = time.clocks.on_sample(from, run, Sample { sent, received, stamp }) {
            self.tell(Event::Clock(event));
        }
    }

    fn post_bare(&mut self, to: &str, body: &Body<'_>) {
        let Some(addr) = self.address(to) else { return };
        let bytes = Writer::new(&self.keys, &self.head(), body).done(&self.keys);
        self.post(addr, bytes);
    }
}
