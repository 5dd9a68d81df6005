//! A client connection as the node sees it: what it waits for and since when.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use woodgap_tenancy::Uid;

use crate::front::Seat;

/// The longest time from connecting, or from a later request's first byte, to the request's last:
/// clients that say nothing or little hold a place that others need.
pub const SLOW: Duration = Duration::from_millis(2_500);
/// The longest idle time between requests.
const IDLE: Duration = Duration::from_secs(60);
/// Where places are short, a connection with nothing open on it may be closed after this time; one
/// that has not said a word since it was opened after the shorter one.
const SPARE_IDLE: Duration = Duration::from_secs(2);
const SPARE_SILENT: Duration = Duration::from_millis(500);

/// Who is at the other end of a connection, as far as something goes by it: nothing on the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peer {
    /// Its address.
    #[cfg(feature = "hosted")]
    pub address: Option<std::net::IpAddr>,
    /// Its certificate's subject, hashed, where it has shown one.
    #[cfg(feature = "hosted")]
    pub subject: Option<u64>,
}

impl Peer {
    /// One at this address.
    pub fn at(_address: std::net::SocketAddr) -> Peer {
        Peer {
            #[cfg(feature = "hosted")]
            address: Some(_address.ip()),
            #[cfg(feature = "hosted")]
            subject: None,
        }
    }
}

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Nothing has been answered on it and no head is whole.
    New,
    /// A later request has begun to come.
    Head,
    /// A request is open.
    Open,
    /// Between requests.
    Idle,
    /// It is being closed.
    Closing,
}

/// The state of a connection, shared by its socket, its service and the look-over.
pub struct Conn {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Whether it is closed at once, or with the answer to the request that may be open.
    abrupt: Cell<bool>,
    /// Requests that have come on it.
    requests: Cell<u32>,
    pub close: Notify,
    /// When the first request must have come.
    first_by: Instant,
    /// The tenant of its latest request, and its place among that tenant's connections.
    pub seat: RefCell<Option<(Uid, Seat)>>,
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
            requests: Cell::new(0),
            close: Notify::new(),
            first_by: now + first,
            seat: RefCell::default(),
            peer,
        })
    }

    pub fn enter(&self, phase: Phase) {
        if self.phase.get() != Phase::Closing {
            self.phase.set(phase);
            self.since.set(Instant::now());
        }
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
            Phase::New => Instant::now() > self.first_by,
            Phase::Head => self.since.get().elapsed() > SLOW,
            Phase::Idle => self.since.get().elapsed() > IDLE,
            Phase::Open | Phase::Closing => false,
        }
    }

    /// Whether its first request, or a later one that has begun, may be coming for no longer than this.
    pub fn is_coming(&self, within: Duration) -> bool {
        matches!(self.phase.get(), Phase::New | Phase::Head) && self.since.get().elapsed() < within
    }

    /// How dispensable the connection is where places are short; from 1 on it may be closed.
    pub fn spare(&self) -> f64 {
        let after = match self.phase.get() {
            Phase::New => SPARE_SILENT,
            Phase::Idle => SPARE_IDLE,
            Phase::Head | Phase::Open | Phase::Closing => return 0.0,
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
        if abrupt {
            self.phase.set(Phase::Closing);
        }
        self.abrupt.set(self.abrupt.get() || abrupt);
        self.close.notify_one();
    }

    pub fn is_abrupt(&self) -> bool {
        self.abrupt.get()
    }
}

#[cfg(test)]
mod tests;
