//! Which client connections give way to new ones when connections are scarce, and how they are closed.
//!
//! A request that has arrived completely keeps its connection until it has its response. Clients that stop in the
//! middle of a request do not: others behind them in the accept queue have sent whole requests, whose time runs.

use std::time::Duration;

use super::{ClientConnection, ConnectionPhase};

/// Time after which a connection between two requests may be evicted.
const MIN_EVICTABLE_IDLE: Duration = Duration::from_secs(2);
/// Time after which a new connection may be evicted on which nothing has arrived.
const MIN_EVICTABLE_SILENCE: Duration = Duration::from_millis(100);
/// Time without a further byte after which a connection may be evicted in the middle of a request.
const MIN_EVICTABLE_STALL: Duration = Duration::from_millis(100);
/// Time after which a connection may be evicted whose handshake is in progress: a few round trips.
const MIN_EVICTABLE_HANDSHAKE: Duration = Duration::from_millis(500);
/// Time after which a connection may be evicted in the middle of a request, even if bytes still arrive.
const MIN_EVICTABLE_RECEIVE: Duration = Duration::from_secs(1);

/// How a connection that was asked to close at once does so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ImmediateClose {
    /// It is kept: a request has arrived meanwhile, or its rest.
    Withdrawn,
    /// It is closed without a response, as no request has begun to arrive or the time for it is over.
    Close,
    /// The request whose head has arrived in part is refused, and the connection closed.
    RefuseHead,
    /// The request whose body has arrived in part is refused, and the connection closed after the response.
    RefuseBody,
}

impl ClientConnection {
    /// Rank of the connection for eviction when connections are scarce: the highest is evicted first, and
    /// only from 1 on.
    pub fn eviction_score(&self) -> f64 {
        if self.close_now.get() {
            return 0.0;
        }
        let in_phase = self.phase_since.get().elapsed();
        match self.phase.get() {
            ConnectionPhase::Lingering => f64::INFINITY,
            ConnectionPhase::Idle | ConnectionPhase::WritingResponse => ratio(in_phase, MIN_EVICTABLE_IDLE),
            ConnectionPhase::Handshake => ratio(in_phase, MIN_EVICTABLE_HANDSHAKE),
            ConnectionPhase::New if !self.has_received() => ratio(in_phase, MIN_EVICTABLE_SILENCE),
            _ if self.is_receiving() => {
                let stall = self.last_receive.get().map_or(in_phase, |last| last.elapsed());
                ratio(stall, MIN_EVICTABLE_STALL).max(ratio(in_phase, MIN_EVICTABLE_RECEIVE))
            }
            _ => 0.0,
        }
    }

    /// For how long no byte has arrived of the body that is being received, if that is long enough for the request
    /// to be refused when others need its memory.
    pub fn stalled_body(&self) -> Option<Duration> {
        let in_body = self.phase.get() == ConnectionPhase::RequestOpen && self.is_receiving();
        let stall = self.last_receive.get().unwrap_or(self.phase_since.get()).elapsed();
        (in_body && !self.close_now.get() && stall >= MIN_EVICTABLE_STALL).then_some(stall)
    }

    /// Whether a part of a request has arrived, and every open request still lacks a part.
    pub fn is_receiving(&self) -> bool {
        match self.phase.get() {
            ConnectionPhase::New => self.has_received(),
            ConnectionPhase::ReadingHead => true,
            ConnectionPhase::RequestOpen => {
                self.open_requests.get() > 0 && self.open_requests.get() == self.incomplete_requests.get()
            }
            ConnectionPhase::Handshake
            | ConnectionPhase::WritingResponse
            | ConnectionPhase::Idle
            | ConnectionPhase::Lingering => false,
        }
    }

    /// Withdraws the request for an immediate close, and returns whether it still stands after what has been
    /// received since, and how the connection is to be closed.
    pub fn confirm_immediate_close(&self) -> ImmediateClose {
        if !self.close_now.take() {
            return ImmediateClose::Withdrawn;
        }
        let phase = self.phase.get();
        if phase == ConnectionPhase::Idle || self.is_overdue() {
            return ImmediateClose::Close;
        }
        match self.eviction_score() >= 1.0 {
            false => ImmediateClose::Withdrawn,
            true if phase == ConnectionPhase::RequestOpen => ImmediateClose::RefuseBody,
            true if self.is_receiving() => ImmediateClose::RefuseHead,
            true => ImmediateClose::Close,
        }
    }

    /// Has the request refused whose body is being received. The connection is closed after the response.
    pub fn refuse_incomplete_request(&self) {
        self.close_after_response.set(true);
        self.refusal_requested.notify_one();
    }

    /// Waits until an incomplete request is to be refused.
    pub async fn wait_for_refusal(&self) {
        self.refusal_requested.notified().await;
    }
}

/// How often one time is contained in the other.
fn ratio(time: Duration, unit: Duration) -> f64 {
    time.as_secs_f64() / unit.as_secs_f64()
}
