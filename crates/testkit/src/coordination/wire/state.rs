//! The state that all connections share: the tree, the connected sessions, the injected faults and the
//! counters.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use super::super::tree::{Tree, WatchEvent};
use super::record::RecordWriter;
use super::CutPoint;

/// The xid of watch events.
const XID_EVENT: i32 = -1;

/// The queue of frames for a connection, with the time at which each was ready.
pub(super) type OutgoingFrames = mpsc::UnboundedSender<(Instant, Vec<u8>)>;

/// Faults that last until they are reset.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// Requests are not processed, and no replies or events are sent.
    pub silent: bool,
    /// Everything is sent this much later.
    pub delay: Duration,
}

/// The connection that a session is attached to.
pub(super) struct Attachment {
    /// The number of the connection, which is never reused.
    pub number: u64,
    /// The address of the service that the client connected to.
    pub address: SocketAddr,
    pub outgoing: OutgoingFrames,
}

/// Totals over all connections of the service so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Requests that were applied or refused, including pings.
    pub requests: u64,
    /// Read requests: `exists`, `getData`, `getChildren`.
    pub reads: u64,
    /// Watch events sent.
    pub events: u64,
    /// Bytes of requests, with framing.
    pub bytes_in: u64,
    /// Bytes of replies and events, with framing.
    pub bytes_out: u64,
}

#[derive(Default)]
pub(super) struct State {
    pub tree: Tree,
    /// The connection of each connected session.
    pub attachments: HashMap<i64, Attachment>,
    /// Number of connections so far.
    pub connections: u64,
    /// Addresses that accept no connections.
    pub refused_addresses: HashSet<SocketAddr>,
    /// The type of the request at which a connection is closed, and when.
    pub pending_cut: Option<(i32, CutPoint)>,
    /// Reads are served and writes refused, as by a member without a quorum.
    pub read_only: bool,
    /// The next event is lost, and the connection that it was for is closed.
    pub lose_next_event: bool,
    /// While ping replies are held: the sessions and their replies.
    pub held_ping_replies: Option<Vec<(i64, Vec<u8>)>>,
    /// Number of requests by type.
    pub requests: HashMap<i32, u64>,
    pub events: u64,
    pub traffic: Traffic,
    /// Bytes sent to each session, over all its connections.
    pub bytes_sent: HashMap<i64, u64>,
}

impl State {
    /// Queues a frame for a session; `false` if the session is not connected.
    pub fn send(&mut self, session: i64, frame: Vec<u8>) -> bool {
        self.traffic.bytes_out += frame.len() as u64;
        *self.bytes_sent.entry(session).or_default() += frame.len() as u64;
        self.attachments
            .get(&session)
            .is_some_and(|attachment| attachment.outgoing.send((Instant::now(), frame)).is_ok())
    }

    /// Sends watch events to their sessions.
    pub fn send_events(&mut self, events: Vec<WatchEvent>) {
        for WatchEvent { session, event_type, path } in events {
            if self.lose_next_event && self.attachments.remove(&session).is_some() {
                self.lose_next_event = false;
                continue;
            }
            self.events += 1;
            self.traffic.events += 1;
            let header = RecordWriter::default().int(XID_EVENT).long(-1).int(0);
            // State 3 is SyncConnected.
            let frame = header.int(event_type as i32).int(3).buffer(path.as_bytes()).into_frame();
            self.send(session, frame);
        }
    }
}

pub(super) struct Shared {
    pub state: Mutex<State>,
    pub start: Instant,
    pub faults: watch::Sender<Faults>,
}

impl Shared {
    /// Calls a function with the locked state.
    pub fn with<T>(&self, use_state: impl FnOnce(&mut State) -> T) -> T {
        use_state(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Milliseconds since the service started.
    pub fn now(&self) -> i64 {
        self.start.elapsed().as_millis() as i64
    }

    /// Closes sessions and their connections, and sends the resulting watch events.
    pub fn close_sessions(&self, sessions: &[i64]) {
        self.with(|state| {
            for &session in sessions {
                let events = state.tree.close_session(session);
                // Dropping the sender closes the connection.
                state.attachments.remove(&session);
                state.send_events(events);
            }
        });
    }
}
