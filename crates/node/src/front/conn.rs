//! A client connection as the node sees it: what it waits for and since when.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use woodgap_tenancy::Uid;

use super::lengths::Lengths;
pub use super::peer::Peer;
pub use super::phase::Phase;
use crate::front::Seat;

/// The longest time from connecting, or from a later request's first byte, to the request's last:
/// clients that say nothing or little hold a place that others need.
pub const SLOW: Duration = Duration::from_millis(2_500);
/// The longest idle time between requests.
const IDLE: Duration = Duration::from_secs(60);
/// An answer of which its client takes in nothing for this long is given up on.
const UNREAD: Duration = Duration::from_secs(5);
/// Where places are short, a connection with nothing open on it may be closed after this time; one
/// that has not said a word since it was opened after the shorter one.
const SPARE_IDLE: Duration = Duration::from_secs(2);
const SPARE_SILENT: Duration = Duration::from_millis(500);

/// The state of a connection, shared by its socket, its service and the look-over.
pub struct Conn {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Whether it is to end at once, unless a request has come meanwhile.
    abrupt: Cell<bool>,
    /// Whether it is to end with the answer to the request that may be open.
    last: Cell<bool>,
    /// Requests that have come on it.
    requests: Cell<u32>,
    pub close: Notify,
    /// When the first request must have come.
    first_by: Instant,
    /// The tenant of its latest request, and its place among that tenant's connections.
    pub seat: RefCell<Option<(Uid, Seat)>>,
    /// Lengths that its heads gave.
    pub lengths: Lengths,
    /// Who is at the other end.
    pub peer: Peer,
}

impl Conn {
    pub fn new(first: Duration, peer: Peer) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Conn {
            phase: Cell::new(Phase::New),
            since: Cell::new(now),
            abrupt: Cell::new(false),
            last: Cell::new(false),
            requests: Cell::new(0),
            close: Notify::new(),
            first_by: now + first,
            seat: RefCell::default(),
            lengths: Lengths::default(),
            peer,
        })
    }

    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// A head has come whole; tells by when its body must have.
    pub fn opened(&self) -> Instant {
        let by = match self.phase.get() {
            Phase::New => self.first_by,
            Phase::Head => self.since.get() + SLOW,
            _ => Instant::now() + SLOW,
        };
        self.enter(Phase::Open);
        self.requests.set(self.requests.get().saturating_add(1));
        by
    }

    /// Whether a request is open.
    pub fn is_open(&self) -> bool {
        self.phase.get() == Phase::Open
    }

    /// Whether no other request came before the one that is open.
    pub fn is_first(&self) -> bool {
        self.requests.get() == 1
    }

    /// Whether a request has taken too long to come, or none has come for long.
    pub fn overdue(&self) -> bool {
        match self.phase.get() {
            _ if self.abrupt.get() => false,
            Phase::New => Instant::now() > self.first_by,
            Phase::Head => self.since.get().elapsed() > SLOW,
            Phase::Answering => self.since.get().elapsed() > UNREAD,
            Phase::Idle => self.since.get().elapsed() > IDLE,
            Phase::Open | Phase::Lingering => false,
        }
    }

    /// Whether a later request has begun to come, or its first one may be coming for no longer than this.
    pub fn is_coming(&self, within: Duration) -> bool {
        match self.phase.get() {
            Phase::Head => true,
            Phase::New => self.since.get().elapsed() < within,
            _ => false,
        }
    }

    /// How dispensable the connection is where places are short; from 1 on it may be closed.
    pub fn spare(&self) -> f64 {
        let after = match self.phase.get() {
            _ if self.abrupt.get() => return 0.0,
            Phase::New => SPARE_SILENT,
            Phase::Idle | Phase::Answering => SPARE_IDLE,
            Phase::Head | Phase::Open => return 0.0,
            Phase::Lingering => return f64::INFINITY,
        };
        self.since.get().elapsed().as_secs_f64() / after.as_secs_f64()
    }

    /// The tenant of its latest request.
    pub fn tenant(&self) -> Option<Uid> {
        self.seat.borrow().as_ref().map(|(uid, _)| *uid)
    }

    /// For how long it has had nothing open.
    pub fn idle(&self) -> Option<Duration> {
        (self.phase.get() == Phase::Idle).then(|| self.since.get().elapsed())
    }

    /// Has it closed. `abrupt` is for those on which no request is open.
    pub fn shut(&self, abrupt: bool) {
        let why = if abrupt { &self.abrupt } else { &self.last };
        why.set(true);
        self.close.notify_one();
    }

    /// Whether it still is to end at once, after a last look at what has come: a request that is open keeps it, and so
    /// does one that begins.
    pub fn gives_way(&self) -> bool {
        self.abrupt.take() && (self.phase.get() == Phase::Idle || self.spare() >= 1.0 || self.overdue())
    }

    /// The node has ended its side: whatever is wanted of it from now on is its place.
    pub fn lingers(&self) {
        self.abrupt.set(false);
        self.enter(Phase::Lingering);
    }

    /// The system took something in: a client that takes in more of its answer is there.
    pub(super) fn wrote(&self, any: bool) {
        if any && self.phase.get() == Phase::Answering {
            self.enter(Phase::Answering);
        }
    }

    /// All that there was to write is with the system. hyper flushes only then.
    pub(super) fn flushed(&self, all: bool) {
        if all && self.phase.get() == Phase::Answering {
            self.enter(Phase::Idle);
        }
    }

    /// Waits until it is to end at once.
    pub async fn must_go(&self) {
        while !self.abrupt.get() {
            self.close.notified().await;
        }
    }

    /// Whether it is to end, with the answer to the request that is open or coming or now.
    pub fn is_last(&self) -> bool {
        self.last.get()
    }

    pub fn is_abrupt(&self) -> bool {
        self.abrupt.get()
    }
}

#[cfg(test)]
mod tests;
