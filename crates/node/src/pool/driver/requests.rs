//! Pending requests of a pool and their attempts: admission, sending, cancelling, and the one final response.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::time::delay_queue;
use woodgap_decisions::{Closed, Event, Micros, Outcome, Request, RequestId, ServerId};

use super::response_sender::ResponseSender;
use super::{Driver, DriverMessage, DueItem, FinalResponse, RequestArrival};
use crate::meter::metered;
use crate::task::AbortOnDrop;
use crate::upstream::attempt::IsAwaited;
use crate::upstream::exchange::UpstreamRequest;
use crate::upstream::servers::AttemptResult;

/// Time after a request's deadline at which the node responds to it, if the balancer has not done so at the deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(5);

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) server: ServerId,
    pub(super) sent: Instant,
    /// Dropping it ends the attempt and closes its connection.
    pub(super) _task: AbortOnDrop,
}

/// A request that has no response yet or has attempts in flight.
pub(super) struct TrackedRequest {
    pub(super) reply: Rc<ResponseSender>,
    pub(super) payload: Rc<UpstreamRequest>,
    pub(super) deadline: Instant,
    /// Timer for [`DueItem::RequestOverdue`].
    pub(super) overdue_timer: delay_queue::Key,
    /// Attempts by number, `None` for those that have ended.
    pub(super) attempts: Vec<Option<InFlightAttempt>>,
    /// The server of the latest attempt, or the one that responded.
    pub(super) last_server: Option<ServerId>,
}

impl Driver {
    /// Registers a request and passes it to the balancer.
    pub(super) fn accept_request(&mut self, arrival: RequestArrival) {
        // The client disconnected while the request was in the driver's queue.
        if arrival.reply.is_closed() {
            return;
        }
        let RequestArrival { id, class, tenant, key, is_retry, cost, deadline, payload, reply } = arrival;
        let timeout = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let overdue_timer = self.due_queue.insert_at(DueItem::RequestOverdue(id), deadline + DEADLINE_GRACE);
        let request = TrackedRequest {
            reply: ResponseSender::new(reply),
            payload,
            deadline,
            overdue_timer,
            attempts: Vec::new(),
            last_server: None,
        };
        self.requests.insert(id, request);
        let id = request_id(id);
        self.events.push_back(Event::Request(Request { id, timeout, class, cost, is_retry, tenant, key }));
    }

    /// Sends the final response of a request unless it has one already.
    pub(super) fn respond(&mut self, id: u64, response: FinalResponse) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(reply) = request.reply.take() {
            if !matches!(response, FinalResponse::DeadlineExceeded) {
                self.due_queue.remove(&request.overdue_timer);
            }
            let _ = reply.send((response, request.last_server.clone()));
        }
        self.remove_if_finished(id);
    }

    /// Responds to a request that the balancer has not responded to by its deadline.
    pub(super) fn respond_to_overdue(&mut self, id: u64) {
        if self.end_overdue_attempts(id) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(reply) = request.reply.take() else { return };
        let transaction = request.payload.headers.get("x-txn").and_then(|id| id.to_str().ok()).unwrap_or("-");
        let attempts = request.attempts.len();
        // A request that was never sent to a server is safe to retry, so it is refused.
        let response = match &request.last_server {
            None => {
                tracing::info!(
                    "request {transaction:.64} was not answered by its deadline: refused, since it was never \
                    sent to a server"
                );
                FinalResponse::Refused(None)
            }
            Some(server) => {
                tracing::info!(
                    "request {transaction:.64} was not answered by its deadline: failed, the last of \
                    {attempts} attempts was sent to {server}"
                );
                FinalResponse::DeadlineExceeded
            }
        };
        let _ = reply.send((response, request.last_server.clone()));
        self.events.push_back(Event::Lapsed(request_id(id)));
        self.remove_if_finished(id); // A request without attempts in flight has no later event that removes it.
    }

    /// Ends the attempts of an overdue request as timed out. The balancer responds, as it does if an attempt's own timer
    /// expires first: the response does not depend on which of the two does. Returns whether there was any.
    fn end_overdue_attempts(&mut self, id: u64) -> bool {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.reply.is_finished()) else {
            return false;
        };
        let in_flight = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_some());
        let in_flight: Vec<u32> = in_flight.map(|(number, _)| number as u32).collect();
        if !in_flight.is_empty() {
            // The driver responds by itself if the balancer does not.
            request.overdue_timer = self.due_queue.insert_at(DueItem::RequestOverdue(id), Instant::now());
        }
        for &attempt in &in_flight {
            self.attempt_closed(id, attempt, Outcome::Timeout.into());
        }
        !in_flight.is_empty()
    }

    /// Handles that the client of a request no longer waits for the response.
    pub(super) fn client_disconnected(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.reply.take().is_some() {
            self.due_queue.remove(&request.overdue_timer);
            self.events.push_back(Event::Lapsed(request_id(id)));
            self.remove_if_finished(id);
        }
    }

    /// Handles a client's disconnect ahead of [`DriverMessage::ClientDisconnected`], which may still be queued.
    fn check_client_connected(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|request| request.reply.client_disconnected()) {
            self.client_disconnected(id);
        }
    }

    /// Removes a request that is finished and has no attempts in flight.
    pub(super) fn remove_if_finished(&mut self, id: u64) {
        let finished = |r: &TrackedRequest| r.reply.is_finished() && r.attempts.iter().all(Option::is_none);
        if self.requests.get(&id).is_some_and(finished) {
            self.requests.remove(&id);
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn attempt_closed(&mut self, number: u64, attempt: u32, result: AttemptResult) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        // The outcome of a cancelled attempt has already been reported.
        let Some(ended) = request.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let AttemptResult { outcome, load, response } = result;
        if let Some((headers, body)) = response {
            request.last_server = Some(ended.server.clone());
            self.respond(number, FinalResponse::Served(headers, body));
        }
        self.check_client_connected(number);
        let done = self.requests.get(&number).is_none_or(|request| request.reply.is_finished());
        let elapsed = ended.sent.elapsed().as_micros() as Micros;
        let (server, id) = (ended.server, request_id(number));
        self.events.push_back(Event::Closed(Closed { id, attempt, server, outcome, elapsed, done, load }));
        self.remove_if_finished(number);
    }

    /// Sends an attempt of a request to a server, or reports it as moot if the request may not be sent any
    /// more. A `timeout` of 0 means that the attempt may take until the request's deadline.
    pub(super) fn send_attempt(&mut self, id: u64, server: ServerId, timeout: Micros) {
        let now = Instant::now();
        let request = self.requests.get_mut(&id);
        let attempt = request.as_ref().map_or(0, |request| request.attempts.len());
        let sendable =
            request.filter(|r| r.reply.is_awaited() && attempt < self.max_attempts && now < r.deadline);
        let Some(request) = sendable else {
            // The request is finished, has passed its deadline or has used all of its attempts.
            if let Some(request) = self.requests.get_mut(&id) {
                request.attempts.push(None);
            }
            self.check_client_connected(id);
            let done = self.requests.get(&id).is_none_or(|request| request.reply.is_finished());
            let (id, attempt, outcome) = (request_id(id), attempt as u32, Outcome::Moot);
            let closed = Closed { id, attempt, server, outcome, elapsed: 0, done, load: Vec::new() };
            return self.events.push_back(Event::Closed(closed));
        };
        let attempt_deadline = match timeout {
            0 => request.deadline,
            timeout => request.deadline.min(now + Duration::from_micros(timeout)),
        };
        let (servers, payload, tx) = (self.servers.clone(), request.payload.clone(), self.tx.upgrade());
        let (attempt, reply, attempt_server) = (attempt as u32, request.reply.clone(), server.clone());
        let is_awaited: IsAwaited = Rc::new(move || reply.is_awaited());
        let task = AbortOnDrop::spawn(metered(self.meter.clone(), async move {
            let result = servers.run_attempt(&attempt_server, &payload, attempt_deadline, &is_awaited).await;
            if let Some(tx) = tx {
                let _ = tx.send(DriverMessage::AttemptClosed { id, attempt, result });
            }
        }));
        request.attempts.push(Some(InFlightAttempt { server: server.clone(), sent: now, _task: task }));
        request.last_server = Some(server);
    }

    /// Cancels an attempt and reports its outcome.
    pub(super) fn cancel_attempt(&mut self, number: u64, attempt: u32) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(ended) = request.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let elapsed = ended.sent.elapsed().as_micros() as Micros;
        let (server, done) = (ended.server.clone(), request.reply.is_finished());
        drop(ended);
        self.servers.close_idle_connections(&server); // The server's machine may be down, see `Servers::run_attempt`.
        let (id, outcome) = (request_id(number), Outcome::Cancelled);
        self.events.push_back(Event::Closed(Closed {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            done,
            load: Vec::new(),
        }));
        self.remove_if_finished(number);
    }
}

/// Encodes a request's number in the balancer's form.
pub(super) fn request_id(id: u64) -> RequestId {
    let mut bytes = [0; 36];
    bytes[..8].copy_from_slice(&id.to_le_bytes());
    RequestId(bytes)
}

/// Decodes a request's number from the balancer's form.
pub(super) fn request_number(id: &RequestId) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&id.0[..8]);
    u64::from_le_bytes(bytes)
}
