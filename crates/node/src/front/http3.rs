//! Serves HTTP/3 (RFC 9114) to clients, over QUIC.
//!
//! ```text
//!   endpoint ─▶ handshakes (bounded; Retry under pressure) ─▶ connection ─▶ streams ─▶ ConnectionManager::handle_request
//! ```
//!
//! Requests are parsed like those of HTTP/1.1, once `:authority` is converted to `Host` and HTTP/3 rules are checked.

mod body;
mod config;
mod head;
mod memory;
mod requests;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h3::error::Code;
use h3::server::RequestResolver;
use hyper::Method;
use quinn::{Endpoint, Incoming, VarInt};
use rustls::pki_types::CertificateDer;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};
use woodgap_tenancy::shares::UNATTRIBUTED;

use super::connection::{ClientConnection, ClientIdentity, ImmediateClose, REQUEST_READ_TIMEOUT};
use super::connection_limits::{HANDOVER_TIMEOUT, MAX_HANDOVER_WAITS};
use super::manager::{ConnectionManager, ConnectionPermits, MAX_HEAD_BYTES};
use super::refusal::text_response;
use crate::meter::{metered, TenantMeter};
use crate::quic::{self, StopSignals};
use crate::task::{LocalPermit, LocalSemaphore};
use body::{write_response, Http3Body};
pub use config::quic_config;
use head::{content_length, normalize_head};
pub(super) use memory::Http3Memory;
use requests::{OpenRequest, RequestTracker};

/// Maximum number of open requests on one connection.
pub const MAX_STREAMS: u32 = 64;
/// Maximum number of handshakes in progress. Above half of it an address has to be validated first (Retry,
/// RFC 9000, section 8.1.2); at the maximum new connections are refused.
pub const MAX_HANDSHAKES: usize = 256;
/// Maximum duration of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection stays open after GOAWAY, to reject requests that the client sent before receiving it.
const GOAWAY_GRACE: Duration = Duration::from_millis(200);
/// A response that its client does not read within this time is abandoned.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
impl ConnectionManager {
    /// Accepts HTTP/3 connections until the process ends. Requests may be routed by `name`, the listener's name.
    pub async fn accept_http3(self: Rc<Self>, endpoint: Endpoint, name: Rc<str>) {
        let handshakes = LocalSemaphore::new(MAX_HANDSHAKES);
        while let Some(incoming) = endpoint.accept().await {
            if handshakes.utilization() > 0.5 && !incoming.remote_address_validated() && incoming.may_retry()
            {
                // No state is kept: the client validates its address by returning the token that it is sent.
                let _ = incoming.retry();
                continue;
            }
            let Some(handshake) = handshakes.try_acquire() else {
                incoming.refuse();
                continue;
            };
            spawn_local(self.clone().serve_http3(incoming, handshake, name.clone()));
        }
    }

    /// Acquires the permits of a connection, which uses memory but no descriptor; waits while another one is evicted.
    async fn acquire_http3_permits(&self) -> Option<ConnectionPermits> {
        for _ in 0..MAX_HANDOVER_WAITS {
            let memory = self.http3_memory.acquire_connection();
            let lacks_memory = memory.is_none();
            if let Some(permits) = self.connection_budget.try_acquire().zip(memory) {
                return Some((permits.0, Some(permits.1)));
            }
            // Only the end of another QUIC connection frees memory for this one.
            let is_of_use = |conn: &ClientConnection| !lacks_memory || conn.is_quic();
            let is_closing = |conn: &Rc<ClientConnection>| is_of_use(conn) && conn.closes_immediately();
            if !self.evict_connection_where(is_of_use) && !self.connections.borrow().values().any(is_closing)
            {
                return None;
            }
            let _ = timeout(HANDOVER_TIMEOUT, self.connection_ended.notified()).await;
        }
        None
    }

    /// Performs the handshake and serves a connection until it ends.
    async fn serve_http3(self: Rc<Self>, incoming: Incoming, handshake: LocalPermit, listener: Rc<str>) {
        let Some(permits) = self.acquire_http3_permits().await else { return incoming.refuse() };
        let client = ClientIdentity::from_address(incoming.remote_address());
        let conn = ClientConnection::new(REQUEST_READ_TIMEOUT, client);
        conn.set_quic();
        conn.start_handshake();
        let registered = self.register_connection(conn.clone(), permits);
        let connected = tokio::select! {
            connected = perform_handshake(incoming) => connected,
            () = conn.wait_for_immediate_close() => None,
        };
        let Some((connection, (mut adapted, stop_signals))) = connected else { return };
        adapted.admit_streams(self.http3_memory.stream_admission());
        drop(handshake);
        let certificates =
            connection.peer_identity().and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
        let subject = certificates.and_then(|chain| super::client_key::subject_hash(chain.first()?));
        let mut builder = h3::server::builder();
        builder.max_field_section_size(MAX_HEAD_BYTES as u64).send_grease(false);
        let Ok(Ok(mut h3_connection)) = timeout(HANDSHAKE_TIMEOUT, builder.build::<_, Bytes>(adapted)).await
        else {
            return;
        };
        conn.finish_handshake(ClientIdentity { subject, ..client });
        let tracker = RequestTracker::new(conn, stop_signals);
        self.clone().serve_requests(&mut h3_connection, &tracker, listener).await;
        // A client that keeps cancelling its requests uses up capacity that others need (RFC 9114, section 10.5). The
        // first close decides on the code, and the drop of `h3_connection` is one as well.
        let code =
            if tracker.exceeds_cancellation_limit() { Code::H3_EXCESSIVE_LOAD } else { Code::H3_NO_ERROR };
        connection.close(VarInt::from_u32(code.value() as u32), b"");
        drop(registered);
    }

    /// Accepts the requests of a connection until it ends or is closed.
    async fn serve_requests(
        self: Rc<Self>,
        h3_connection: &mut h3::server::Connection<quic::Connection, Bytes>,
        tracker: &Rc<RequestTracker>,
        listener: Rc<str>,
    ) {
        let conn = &tracker.conn;
        let meter = self.directory.core().map(|core| TenantMeter::new(core.clone(), UNATTRIBUTED, 1));
        metered(meter.clone(), async {
            // A connection accepted while others are closed gets a GOAWAY at once; requests sent by then are served.
            let mut goaway_sent = false;
            if self.closing.get() {
                conn.request_close(false);
            }
            loop {
                tokio::select! {
                    accepted = h3_connection.accept() => match accepted {
                        Ok(Some(resolver)) => {
                            let (open_request, body_deadline) = OpenRequest::new(tracker);
                            let (manager, listener, request_meter) = (self.clone(), listener.clone(), meter.clone());
                            spawn_local(metered(meter.clone(), async move {
                                manager.handle_http3_request(resolver, body_deadline, &open_request, &listener, request_meter).await;
                            }));
                        }
                        Ok(None) | Err(_) => break,
                    },
                    () = conn.close_requested.notified() => {
                        // A request that has arrived completely since the connection was to be evicted keeps it.
                        let is_evicted = conn.confirm_immediate_close() != ImmediateClose::Withdrawn;
                        if is_evicted || tracker.exceeds_cancellation_limit() {
                            break;
                        }
                        if !conn.closes_after_response() {
                            continue;
                        }
                        // GOAWAY (RFC 9114, section 5.2): later requests are rejected, so provably not executed.
                        if !std::mem::replace(&mut goaway_sent, true) && h3_connection.shutdown(0).await.is_err() {
                            break;
                        }
                    }
                    // Without open requests the node closes, as the client need not (RFC 9114, section 5.2).
                    () = tokio::time::sleep(GOAWAY_GRACE), if goaway_sent => {
                        if conn.open_requests() == 0 {
                            break;
                        }
                    }
                }
            }
        })
        .await;
    }

    /// Handles the request on one stream, and writes the response.
    async fn handle_http3_request(
        &self,
        resolver: RequestResolver<quic::Connection, Bytes>,
        body_deadline: Instant,
        open_request: &OpenRequest,
        listener: &str,
        meter: Option<Rc<TenantMeter>>,
    ) {
        // h3 has reset the stream of a malformed head, and closed the connection after a protocol error.
        let incomplete = open_request.0.conn.start_receiving();
        let resolved = tokio::time::timeout_at(body_deadline, resolver.resolve_request()).await;
        drop(incomplete);
        let Ok(Ok((request, stream))) = resolved else { return open_request.0.record_cancellation() };
        let cancelled = open_request.0.stop_signals.take(stream.id());
        let (mut send, mut receive) = stream.split();
        let normalized =
            normalize_head(request).and_then(|request| Ok((content_length(request.headers())?, request)));
        let response = match normalized {
            Ok((length, request)) => {
                // A GET must not have a body.
                let length = length.or((request.method() == Method::GET).then_some(0));
                let request = request.map(|()| Http3Body { stream: receive, length, received: 0 });
                let handled =
                    self.handle_request(request, body_deadline, &open_request.0.conn, listener, meter);
                let cancelled = cancelled.unwrap_or_else(|| Box::pin(std::future::pending()));
                // Dropping the future cancels the request: its attempt ends and its capacity is released.
                tokio::select! {
                    (response, _) = handled => response,
                    () = cancelled => {
                        send.stop_stream(Code::H3_REQUEST_CANCELLED);
                        return open_request.0.record_cancellation();
                    }
                }
            }
            Err((status, reason)) => {
                receive.stop_sending(Code::H3_NO_ERROR);
                text_response(status, reason)
            }
        };
        // Limited, as a client that does not read its response occupies one of the connection's streams.
        let sent = timeout(RESPONSE_WRITE_TIMEOUT, write_response(&mut send, response)).await;
        match sent {
            Ok(Ok(())) => open_request.0.completed.set(open_request.0.completed.get().saturating_add(1)),
            Ok(Err(_)) => open_request.0.record_cancellation(),
            Err(_) => {
                send.stop_stream(Code::H3_REQUEST_CANCELLED);
                open_request.0.record_cancellation();
            }
        }
    }
}

/// Performs the QUIC handshake, and adapts the connection for the library of HTTP/3. `None` if it fails.
async fn perform_handshake(
    incoming: Incoming,
) -> Option<(quinn::Connection, (quic::Connection, StopSignals))> {
    let connection = timeout(HANDSHAKE_TIMEOUT, incoming.accept().ok()?).await.ok()?.ok()?;
    Some((connection.clone(), quic::Connection::new(connection)))
}

#[cfg(test)]
mod tests;
