//! What all client connections share, whatever they speak: places, requests in, answers out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use woodgap_decisions::{ClassId, TenantId};
use woodgap_tenancy::Uid;

use super::conn::{Conn, Peer, SLOW};
use super::request::{drop_hop_headers, Fault, Head};
use super::{Directory, Turned};
use crate::meter::Meter;
use crate::pool::driver::{Answer, Arrival, Msg};
#[cfg(feature = "hosted")]
use crate::pool::gated::{Asks, Through};
use crate::pool::{bump, Service};
use crate::sockets::Sockets;
use crate::task::{Budget, Permit};
use crate::upstream::exchange::{Call, LONGEST_BODY};

/// Most bytes and fields of a request's head.
pub(super) const LONGEST_HEAD: usize = 16 * 1024;
pub(super) const MOST_HEADERS: usize = 64;
/// An answer must reach the client before it gives up: the client counts from its send, the node
/// from its read, and the way back takes time too.
pub const MARGIN: Duration = Duration::from_millis(12);
/// After SIGTERM new connections and requests still come for up to 0.4 s.
const DRAIN: Duration = Duration::from_millis(600);
/// A request that is on its way when idle connections are closed, or the first of a connection, still gets this long
/// to come: its client knows of no other connection to send it on again.
const LAST_WORD: Duration = Duration::from_millis(250);
/// A connection past the budget gets this long to hear that it is refused, and one that comes while
/// the node closes to send its request.
pub(super) const REFUSAL: Duration = Duration::from_secs(1);
/// When to come back to a node that has no room.
pub const OVERFULL: Duration = Duration::from_millis(500);
/// Past this part of the places a connection ends with the answer to its first request, and past the
/// greater one any does: crowds that ask once and stay would shut others out until they may be closed.
pub(super) const CROWDED: f64 = 0.6;
pub(super) const FULL: f64 = 0.9;
/// How often the connections are looked over.
const LOOK: Duration = Duration::from_millis(100);
/// How long a newcomer waits for the place of a connection that was closed for it.
pub(super) const HANDOVER: Duration = Duration::from_millis(5);

/// What all client connections share.
pub struct Clients {
    pub(super) directory: Rc<dyn Directory>,
    /// Whether refusals say when to come back.
    pub(super) retry_after: bool,
    pub(super) sockets: Rc<Sockets>,
    /// Sockets of clients, and of clients that are only told to go.
    pub(super) budget: Rc<Budget>,
    pub(super) overflow: Rc<Budget>,
    pub(super) next_id: Cell<u64>,
    pub(super) next_conn: Cell<u64>,
    pub(super) conns: RefCell<HashMap<u64, Rc<Conn>>>,
    pub(super) draining: Cell<bool>,
    /// Set once idle connections are to go as well.
    pub(super) closing: Cell<bool>,
    /// Set with SIGTERM: all that comes has its answer by then, as SIGKILL may follow.
    ends: Cell<Option<Instant>>,
    /// Told whenever a connection ends.
    pub(super) ended: Notify,
}

impl Clients {
    /// Clients whose connections take at most the first budget, and past it the second to be refused.
    pub fn new(
        directory: Rc<dyn Directory>,
        retry_after: bool,
        sockets: Rc<Sockets>,
        budgets: (Rc<Budget>, Rc<Budget>),
    ) -> Rc<Self> {
        let clients = Rc::new(Clients {
            directory,
            retry_after,
            sockets,
            budget: budgets.0,
            overflow: budgets.1,
            next_id: Cell::new(1),
            next_conn: Cell::new(0),
            conns: RefCell::default(),
            draining: Cell::new(false),
            closing: Cell::new(false),
            ends: Cell::new(None),
            ended: Notify::new(),
        });
        spawn_local(clients.clone().look_over());
        clients
    }

    /// Ends the connections of a tenant that is no more: idle ones at once, others with their answer.
    pub fn close_of(&self, uid: Uid) {
        let conns = self.conns.borrow();
        conns.values().filter(|conn| conn.tenant() == Some(uid)).for_each(|conn| conn.shut(false));
    }

    /// A place for a newcomer: a free one, that of a connection which nothing is open on, or one
    /// where it only hears that it is refused. The last wait is short: refusals take a second at most.
    pub(super) async fn place(&self) -> ((Permit, Option<Permit>), bool) {
        loop {
            if let Some(own) = self.budget.take() {
                if let Some(socket) = self.sockets.permit().await {
                    return ((own, Some(socket)), false);
                }
            }
            if !self.evict() {
                if let Some(permit) = self.overflow.take() {
                    return ((permit, None), true);
                }
            }
            let _ = timeout(HANDOVER, self.ended.notified()).await;
        }
    }

    /// Closes the most dispensable connection, if one may be closed: one that has been idle for long, or
    /// any idle one of a tenant with more than its part.
    pub(super) fn evict(&self) -> bool {
        let conns = self.conns.borrow();
        let spare = |conn: &Conn| match (conn.tenant(), conn.idle()) {
            (Some(uid), Some(idle)) if self.directory.is_over(uid) => 1.0 + idle.as_secs_f64(),
            _ => conn.spare(),
        };
        let most = conns.values().map(|conn| (spare(conn), conn)).max_by(|a, b| a.0.total_cmp(&b.0));
        most.filter(|(spare, _)| *spare >= 1.0).inspect(|(_, conn)| conn.shut(true)).is_some()
    }

    /// Closes connections on which a request takes too long to come, for as long as the node lives.
    /// Silent and trickling clients would hold all places.
    async fn look_over(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            self.conns.borrow().values().filter(|conn| conn.overdue()).for_each(|conn| conn.shut(true));
        }
    }

    /// After SIGTERM: serves on while clients still come, then closes what is idle and returns
    /// once nothing is held.
    pub async fn drain(&self) {
        let longest = self.directory.longest();
        self.draining.set(true);
        self.ends.set(Some(Instant::now() + longest + DRAIN));
        sleep(DRAIN).await;
        self.closing.set(true);
        self.close_idle(SLOW);
        let late = async {
            sleep(LAST_WORD).await;
            self.close_idle(LAST_WORD);
            std::future::pending().await
        };
        // A client that trickles a request must not keep the node up: all that was taken has had
        // its answer by the longest deadline.
        let all_ended = async {
            while !self.conns.borrow().is_empty() {
                self.ended.notified().await;
            }
        };
        let _ =
            timeout(longest + DRAIN, async { tokio::select!(() = all_ended => {}, () = late => {}) }).await;
    }

    /// Ends all connections, those with a request open with its answer, but not those on which one may be coming
    /// for no longer than this.
    fn close_idle(&self, coming: Duration) {
        let conns = self.conns.borrow();
        conns.values().filter(|conn| !conn.is_coming(coming)).for_each(|conn| conn.shut(false));
    }

    /// The answer, and whether the connection may be kept after it.
    pub(super) async fn handle<B>(
        &self,
        request: Request<B>,
        body_by: Instant,
        conn: &Conn,
        listener: &str,
        meter: Option<Rc<Meter>>,
    ) -> (Response<Full<Bytes>>, bool)
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        match request.uri().path() {
            "/-/ready" if request.method() == Method::GET => {
                let ready = !self.draining.get();
                (plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, ""), true)
            }
            "/api" => {
                let (parts, body) = request.into_parts();
                let service = match self.directory.find(listener, &parts) {
                    Ok(service) => service,
                    Err((status, why)) => return (plain(status, why), false),
                };
                if let Some(meter) = meter {
                    meter.is_for(service.account.uid, service.weight.get());
                }
                let keep = self.sit(conn, &service);
                let (mut response, keep) = match self.call(parts, body, body_by, &service, conn.peer).await {
                    Ok(response) => (response, keep),
                    // Who sends what can't be used is not trusted with where its next request begins.
                    Err((status, why)) => (plain(status, why), false),
                };
                if let Some((policy, standing)) = self.directory.limits(&service) {
                    response.headers_mut().insert("ratelimit-policy", policy);
                    response.headers_mut().insert("ratelimit", standing);
                }
                (response, keep)
            }
            _ => (plain(StatusCode::NOT_FOUND, "no such path\n"), false),
        }
    }

    /// Counts a connection for the tenant of its request; whether it may stay.
    fn sit(&self, conn: &Conn, service: &Rc<Service>) -> bool {
        if conn.tenant() == Some(service.account.uid) {
            return true;
        }
        *conn.seat.borrow_mut() = None;
        let Some(seat) = self.directory.seat(service) else { return false };
        *conn.seat.borrow_mut() = Some((service.account.uid, seat));
        true
    }

    async fn call<B>(
        &self,
        parts: Parts,
        body: B,
        body_by: Instant,
        service: &Rc<Service>,
        _peer: Peer,
    ) -> Result<Response<Full<Bytes>>, Fault>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let account = &service.account;
        if let Err(turned) = self.directory.door(service) {
            bump(&account.refused);
            return Ok(self.turned(turned));
        }
        let hint = body.size_hint();
        let size = hint.lower();
        // One that does not say how long it is may be as long as any.
        let room = hint.upper().unwrap_or(LONGEST_BODY as u64).min(LONGEST_BODY as u64);
        let head = Head::read(parts, size, &service.settings, &service.names, service.orgs)?;
        let _place = match self.directory.hold(service, room) {
            Ok(place) => place,
            Err(turned) => {
                bump(&account.refused);
                return Ok(self.turned(turned));
            }
        };
        let body = match timeout_at(body_by, Limited::new(body, LONGEST_BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"))
            }
            Ok(Err(_)) => return Err((StatusCode::BAD_REQUEST, "the body is broken\n")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come\n")),
        };
        // It may have been deleted while the body came: nothing new is taken from then on.
        if account.closed.get() {
            return Err(super::NO_TENANT);
        }
        // A request's time counts from its last byte.
        let deadline = Instant::now() + head.patience.saturating_sub(MARGIN);
        let deadline = self.ends.get().map_or(deadline, |ends| deadline.min(ends));
        // Servers tell requests apart by what clients call them: a second one under an open id would
        // run its effect twice, or be answered with the other's answer.
        let Some(waiting) = Waiting::new(service, head.txn) else {
            return Err((StatusCode::CONFLICT, "a request with this X-Txn is open\n"));
        };
        let call = Rc::new(Call { method: head.method, target: head.target, headers: head.headers, body });
        // Each time that it is asked the request has another number: the pool may still know the last one.
        let ask = || {
            let id = self.next_id.replace(self.next_id.get() + 1);
            waiting.asked(id);
            let (reply, answer) = oneshot::channel();
            let arrival = Arrival {
                id,
                class: ClassId(head.class),
                tenant: head.tenant.map(TenantId),
                key: head.key,
                repeat: head.repeat,
                cost: head.cost,
                deadline,
                call: call.clone(),
                reply,
            };
            let sent = service.tx.send(Msg::Request(Box::new(arrival))).is_ok();
            async move {
                if !sent {
                    return (Answer::Refused(Some(OVERFULL)), None);
                }
                answer.await.unwrap_or((Answer::Late, None))
            }
        };
        #[cfg(feature = "hosted")]
        let gate = service.gate.borrow().clone();
        #[cfg(feature = "hosted")]
        let answer = match gate {
            None => ask().await.0,
            Some((gate, keys)) => {
                let key = keys.of(&call.headers, _peer, head.key);
                let asks = Asks { key, class: head.class, again: head.repeat, deadline };
                match gate.through(asks, ask).await {
                    Through::Answered(answer) => answer,
                    Through::Refused(wait) => Answer::Refused(wait),
                }
            }
        };
        #[cfg(not(feature = "hosted"))]
        let answer = ask().await.0;
        Ok(match answer {
            Answer::Served(headers, body) => {
                bump(&account.served);
                served(headers, body)
            }
            Answer::Refused(wait) => {
                bump(&account.refused);
                self.refusal(StatusCode::SERVICE_UNAVAILABLE, "refused\n", wait)
            }
            Answer::Failed => {
                bump(&account.failed);
                plain(StatusCode::BAD_GATEWAY, "failed\n")
            }
            Answer::Late => {
                bump(&account.failed);
                plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
            }
        })
    }

    fn turned(&self, turned: Turned) -> Response<Full<Bytes>> {
        self.refusal(turned.status, turned.why, Some(turned.wait))
    }

    /// A refusal: trying again is harmless.
    pub(super) fn refusal(
        &self,
        status: StatusCode,
        why: &'static str,
        wait: Option<Duration>,
    ) -> Response<Full<Bytes>> {
        let mut response = plain(status, why);
        // Upwards: who comes back before its time is refused again.
        let millis = |wait: Duration| wait.as_micros().div_ceil(1_000);
        let advice = wait.filter(|_| self.retry_after).map(millis);
        let advice = advice.map(|millis| format!("{}.{:03}", millis / 1_000, millis % 1_000));
        if let Some(value) = advice.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// A request that waits for its answer. The connection's future drops it when the client goes.
struct Waiting<'a> {
    service: &'a Rc<Service>,
    /// Its number in the pool, once it was asked.
    id: Cell<Option<u64>>,
    txn: String,
}

impl<'a> Waiting<'a> {
    /// `None` where the client's name for it is taken.
    fn new(service: &'a Rc<Service>, txn: String) -> Option<Self> {
        let new = service.account.open.borrow_mut().insert(txn.clone());
        new.then(|| Waiting { service, id: Cell::new(None), txn })
    }

    fn asked(&self, id: u64) {
        self.id.set(Some(id));
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.service.account.open.borrow_mut().remove(&self.txn);
        // For one that was answered the driver has forgotten the id, or knows it as ended.
        if let Some(id) = self.id.get() {
            let _ = self.service.tx.send(Msg::Gone(id));
        }
    }
}

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn served(mut headers: HeaderMap, body: Bytes) -> Response<Full<Bytes>> {
    drop_hop_headers(&mut headers);
    headers.remove("x-pressure");
    let mut response = Response::new(Full::new(body));
    *response.headers_mut() = headers;
    response
}
