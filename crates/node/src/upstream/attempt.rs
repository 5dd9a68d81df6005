//! Runs one attempt of a request at one server, for the pool's driver. The outcome says whether the server
//! may have run the request, and so whether the request may be sent again.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::{timeout_at, Instant};
use woodgap_decisions::{Outcome, ServerId};
use woodgap_membership::{Transport, Trust};

use crate::upstream::exchange::{
    build_request, classify_response, parse_load_report, ExchangeResult, Http1Connection, UpstreamRequest,
};
use crate::upstream::guarded_socket::WritePermission;
#[cfg(feature = "hosted")]
use crate::upstream::http3;
use crate::upstream::servers::Servers;

pub use crate::upstream::guarded_socket::IsAwaited;

/// Maximum number of connections that one attempt tries. The next one is tried only if nothing was sent on the last.
const MAX_CONNECTIONS_PER_ATTEMPT: usize = 4;

/// Result of an attempt.
pub struct AttemptResult {
    /// What the attempt shows about the request and the server.
    pub outcome: Outcome,
    /// The server's load report, in the order of the configured fields; empty if there is no valid one.
    pub load: Vec<f64>,
    /// Headers and body of a successful response, which go to the client.
    pub response: Option<(HeaderMap, Bytes)>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load: Vec::new(), response: None }
    }
}

impl Servers {
    /// How the server is authenticated if it speaks HTTP/3; `None` if it speaks HTTP/1.1.
    fn http3_trust(&self, server: &ServerId) -> Option<Trust> {
        match &self.slots.borrow().get(server)?.transport {
            Transport::Http1 => None,
            Transport::Http3 { trust } => Some(trust.clone()),
        }
    }

    /// Like [`Servers::run_attempt`], on the HTTP/3 connection that all requests to the server share.
    #[cfg(feature = "hosted")]
    async fn run_http3_attempt(
        &self,
        server: &ServerId,
        request: &UpstreamRequest,
        deadline: Instant,
        is_awaited: &IsAwaited,
        trust: Trust,
    ) -> AttemptResult {
        // A connection that has ended or accepts no new requests is replaced: nothing was sent on it.
        for _ in 0..http3::MAX_DIALS_PER_ATTEMPT {
            let Some((addr, epoch)) = self.eligible_addr(server) else { break };
            let shared = self.slots.borrow().get(server).map(|slot| slot.http3_connection.clone());
            let Some(shared) = shared else { break };
            let dial_deadline = deadline.min(Instant::now() + self.settings.dial_timeout);
            let authorities = self.authorities.borrow().clone();
            let handshake_config = || authorities.handshake_config(&trust, addr);
            let dial_result = tokio::select! {
                biased;
                dial_result = timeout_at(
                    dial_deadline,
                    shared.get_or_dial(addr, handshake_config, epoch, &self.sockets),
                ) => dial_result,
                () = self.wait_until_ineligible(server, epoch) => continue,
            };
            let Ok(Ok(conn)) = dial_result else { break };
            // During the wait the list may have changed and the client may have disconnected.
            match self.eligible_addr(server) {
                _ if !is_awaited() => return Outcome::Moot.into(),
                Some((_, current)) if current != conn.epoch => continue,
                Some(_) if Instant::now() < deadline => {}
                _ => break,
            }
            let response_started = std::cell::Cell::new(false);
            let exchange = conn.exchange(build_request(request, addr, deadline), &response_started);
            return match timeout_at(deadline, exchange).await {
                Err(_) if response_started.get() => Outcome::Error.into(),
                Err(_) => {
                    // The server may be down: the next request opens a new connection, which shows whether it is.
                    shared.discard();
                    Outcome::Timeout.into()
                }
                Ok(http3::StreamResult::Unsent) => {
                    shared.discard();
                    continue;
                }
                Ok(http3::StreamResult::Rejected) => Outcome::Full.into(),
                Ok(http3::StreamResult::Broken) if response_started.get() => Outcome::Error.into(),
                Ok(http3::StreamResult::Broken) => Outcome::Reset.into(),
                Ok(http3::StreamResult::Response { status, headers, body }) => {
                    let load = parse_load_report(&headers, &self.settings.report);
                    let outcome = classify_response(status, &headers);
                    let response = (outcome == Outcome::Ok).then_some((headers, body));
                    AttemptResult { outcome, load, response }
                }
            };
        }
        Outcome::ConnectFailed.into()
    }

    /// Fails, as this build has no HTTP/3.
    #[cfg(not(feature = "hosted"))]
    async fn run_http3_attempt(
        &self,
        _: &ServerId,
        _: &UpstreamRequest,
        _: Instant,
        _: &IsAwaited,
        _: Trust,
    ) -> AttemptResult {
        Outcome::ConnectFailed.into()
    }

    /// Sends a request to a server and returns the result. Dropping the future closes the connection. Nothing
    /// is written once the response is no longer awaited, the deadline has passed or the server may not be
    /// sent requests. This is checked before the request is handed to its connection, and again in the poll
    /// that writes its first byte.
    pub async fn run_attempt(
        self: &Rc<Self>,
        server: &ServerId,
        request: &UpstreamRequest,
        deadline: Instant,
        is_awaited: &IsAwaited,
    ) -> AttemptResult {
        if let Some(trust) = self.http3_trust(server) {
            return self.run_http3_attempt(server, request, deadline, is_awaited, trust).await;
        }
        for _ in 0..MAX_CONNECTIONS_PER_ATTEMPT {
            if !is_awaited() {
                return Outcome::Moot.into();
            }
            let Some((addr, epoch)) = self.eligible_addr(server) else { break };
            let (mut conn, reused) = match self.get_connection(server, addr, epoch, deadline).await {
                Ok(conn) => conn,
                // The server has restarted or moved: the request may be sent to its new process.
                Err(_) if self.eligible_addr(server).is_some_and(|(_, current)| current != epoch) => continue,
                Err(outcome) => return outcome.into(),
            };
            if !matches!(timeout_at(deadline, conn.ready()).await, Ok(Ok(()))) {
                if reused {
                    continue;
                }
                break;
            }
            // During the wait the list may have changed and the client may have disconnected.
            match self.eligible_addr(server) {
                Some((_, current)) if current != conn.epoch => continue,
                Some(_) if Instant::now() < deadline && is_awaited() => {}
                _ => {
                    self.store_idle_connection(server, conn);
                    return if is_awaited() { Outcome::ConnectFailed } else { Outcome::Moot }.into();
                }
            }
            let permit = self.write_permission(server, epoch, deadline, is_awaited);
            match timeout_at(deadline, conn.exchange(build_request(request, addr, deadline), permit)).await {
                // The deadline passed before the request could be written.
                Err(_) if conn.is_unsent() => break,
                // A server that began to respond is up; only its response is unusable.
                Err(_) if conn.response_started() => return Outcome::Error.into(),
                // The server may be down: the next request would be lost on an idle connection, while a new
                // connection shows whether the server is up.
                Err(_) => {
                    self.close_idle_connections(server);
                    return Outcome::Timeout.into();
                }
                Ok(ExchangeResult::Unsent) if reused => continue,
                Ok(ExchangeResult::Unsent) => break,
                Ok(ExchangeResult::Broken) if conn.response_started() => return Outcome::Error.into(),
                Ok(ExchangeResult::Broken) => return Outcome::Reset.into(),
                Ok(ExchangeResult::Response { status, headers, body, reusable }) => {
                    if reusable {
                        self.store_idle_connection(server, conn);
                    }
                    let load = parse_load_report(&headers, &self.settings.report);
                    let outcome = classify_response(status, &headers);
                    let response = (outcome == Outcome::Ok).then_some((headers, body));
                    return AttemptResult { outcome, load, response };
                }
            }
        }
        if is_awaited() { Outcome::ConnectFailed } else { Outcome::Moot }.into()
    }

    /// Returns a connection to a server, and whether it was used before. Dialling stops once the server may
    /// not be sent new requests, so that the request is tried at another server or responded to at once.
    async fn get_connection(
        &self,
        server: &ServerId,
        addr: SocketAddr,
        epoch: u64,
        deadline: Instant,
    ) -> Result<(Http1Connection, bool), Outcome> {
        if let Some(conn) = self.take_idle_connection(server) {
            return Ok((conn, true));
        }
        let dial_deadline = deadline.min(Instant::now() + self.settings.dial_timeout);
        tokio::select! {
            biased;
            dial_result = timeout_at(dial_deadline, self.dial(addr, epoch)) => {
                dial_result.unwrap_or(Err(Outcome::ConnectFailed)).map(|conn| (conn, false))
            }
            () = self.wait_until_ineligible(server, epoch) => Err(Outcome::ConnectFailed),
        }
    }

    /// Permission to write a request to a server, as long as its epoch is that in which the connection was opened.
    fn write_permission(
        self: &Rc<Self>,
        server: &ServerId,
        epoch: u64,
        deadline: Instant,
        is_awaited: &IsAwaited,
    ) -> WritePermission {
        let (servers, server) = (self.clone(), server.clone());
        let (may_continue, is_awaited) = (is_awaited.clone(), is_awaited.clone());
        let may_start = Box::new(move || {
            let same_epoch = servers.eligible_addr(&server).is_some_and(|(_, current)| current == epoch);
            same_epoch && Instant::now() < deadline && is_awaited()
        });
        WritePermission { may_start, may_continue }
    }

    /// Sends a health probe to a server.
    pub async fn probe(self: &Rc<Self>, server: &ServerId) -> AttemptResult {
        let request = UpstreamRequest {
            method: Method::GET,
            target: Uri::from_static("/-/healthy"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        // A probe has a shorter deadline than most requests.
        let deadline = Instant::now() + self.settings.dial_timeout * 2;
        self.run_attempt(server, &request, deadline, &(Rc::new(|| true) as IsAwaited)).await
    }
}

#[cfg(test)]
mod tests;
