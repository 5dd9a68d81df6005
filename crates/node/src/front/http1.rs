//! Serves HTTP/1.1 to clients over TCP or TLS: runs connections and closes them without losing a request.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::task::yield_now;
use woodgap_tenancy::shares::UNATTRIBUTED;

#[cfg(feature = "hosted")]
use super::connection::{ClientIdentity, REQUEST_READ_TIMEOUT};
use super::connection::{ConnectionPhase, ImmediateClose};
use super::connection_limits::{CLOSE_AFTER_ANY_REQUEST_RATIO, CLOSE_AFTER_FIRST_REQUEST_RATIO};
use super::manager::{ConnectionManager, RegisteredConnection, MAX_HEADER_FIELDS, MAX_HEAD_BYTES};
use super::socket::{ClientSocket, ClientStream};
use crate::meter::{metered, TenantMeter};
use crate::stream::RetryingTcpStream;

/// The settings of a listener.
#[derive(Clone)]
pub struct ListenerSettings {
    /// The listener's name, by which requests may be routed to a tenant.
    pub name: Rc<str>,
    /// The value of `Alt-Svc` (RFC 7838), which offers clients another protocol.
    pub alt_svc: Option<HeaderValue>,
    /// TLS for accepted connections; plain TCP without it.
    #[cfg(feature = "hosted")]
    pub tls: Option<tokio_rustls::TlsAcceptor>,
}

impl ListenerSettings {
    /// Returns the settings of a listener for plain TCP.
    pub fn plain_tcp(name: &str) -> Self {
        ListenerSettings {
            name: name.into(),
            alt_svc: None,
            #[cfg(feature = "hosted")]
            tls: None,
        }
    }
}

/// How a connection ended.
enum ConnectionEnd {
    /// Every accepted request has its response, or the connection broke.
    Completed,
    /// The client disconnected while a request was open.
    ClientClosed,
    /// The connection was closed at once to free its permits, or because it exceeded a timeout.
    Evicted,
    /// The same while the head of a request was being received, which is refused.
    EvictedInHead,
}

impl ConnectionManager {
    /// Performs the TLS handshake, if the listener uses TLS, then serves the connection.
    pub(super) async fn handshake_and_serve(
        self: Rc<Self>,
        stream: RetryingTcpStream,
        connection: RegisteredConnection,
        refuse: bool,
        settings: ListenerSettings,
    ) {
        #[cfg(feature = "hosted")]
        if let Some(tls) = &settings.tls {
            let conn = &connection.conn;
            conn.start_handshake();
            let stream = tokio::select! {
                accepted = tokio::time::timeout(REQUEST_READ_TIMEOUT, tls.accept(stream)) => accepted,
                () = conn.wait_for_immediate_close() => return,
            };
            let Ok(Ok(stream)) = stream else { return };
            let leaf = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first());
            let subject = leaf.and_then(|der| super::client_key::subject_hash(der));
            conn.finish_handshake(ClientIdentity { subject, ..conn.identity.get() });
            return self.serve_http1(stream, connection, refuse, settings).await;
        }
        self.serve_http1(stream, connection, refuse, settings).await;
    }

    /// Serves a connection until it ends. With `refuse` it exceeds the budget, and its request is refused.
    async fn serve_http1(
        self: Rc<Self>,
        stream: impl ClientStream,
        connection: RegisteredConnection,
        refuse: bool,
        settings: ListenerSettings,
    ) {
        // The parameter is dropped after the socket, which is a variable of this function.
        let conn = connection.conn.clone();
        // Until the first request the CPU time is counted for no tenant.
        let meter = self.directory.core().map(|core| TenantMeter::new(core.clone(), UNATTRIBUTED, 1));
        let (manager, request_conn, request_meter) = (self.clone(), conn.clone(), meter.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (manager, request_conn, request_meter) =
                (manager.clone(), request_conn.clone(), request_meter.clone());
            let settings = settings.clone();
            async move {
                let body_deadline = request_conn.start_request();
                request_conn.content_lengths.record_parsed_head(request.headers());
                let (mut response, keep_open) = if refuse {
                    manager.discard_rest(request.into_body(), body_deadline, &request_conn).await;
                    (manager.overload_response(), false)
                } else {
                    manager
                        .handle_request(request, body_deadline, &request_conn, &settings.name, request_meter)
                        .await
                };
                let over_limit = manager.connection_budget.utilization()
                    > if request_conn.is_first_request() {
                        CLOSE_AFTER_FIRST_REQUEST_RATIO
                    } else {
                        CLOSE_AFTER_ANY_REQUEST_RATIO
                    };
                if !keep_open || over_limit || request_conn.closes_after_response() || manager.draining.get()
                {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                if let Some(alt_svc) = &settings.alt_svc {
                    response.headers_mut().insert(header::ALT_SVC, alt_svc.clone());
                }
                request_conn.end_request();
                request_conn.enter_phase(ConnectionPhase::WritingResponse);
                Ok::<_, Infallible>(response)
            }
        });
        let (socket, disconnect) = ClientSocket::new(stream, conn.clone());
        let mut protocol = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADER_FIELDS)
            .serve_connection(TokioIo::new(socket), service);
        let end = metered(meter, async {
            // A disconnect is detected before further work for the client, even if it directly follows the request.
            let mut poll_connection = |cx: &mut Context<'_>, shut_down: bool| {
                if shut_down {
                    Pin::new(&mut protocol).graceful_shutdown();
                }
                if disconnect.poll(cx).is_ready() {
                    return Poll::Ready(ConnectionEnd::ClientClosed);
                }
                let is_complete = Pin::new(&mut protocol).poll(cx).is_ready();
                match disconnect.poll(cx) {
                    Poll::Ready(()) => Poll::Ready(ConnectionEnd::ClientClosed),
                    Poll::Pending if is_complete => Poll::Ready(ConnectionEnd::Completed),
                    Poll::Pending => Poll::Pending,
                }
            };
            let mut shut_down = false;
            loop {
                tokio::select! {
                    end = poll_fn(|cx| poll_connection(cx, std::mem::take(&mut shut_down))) => break end,
                    () = conn.close_requested.notified() => {}
                }
                // Checks for input once more before closing: the kernel may hold a request that arrived
                // since, and a request that has begun to arrive has to be responded to. The runtime polls the
                // socket on its next iteration.
                yield_now().await;
                if let Poll::Ready(end) = poll_fn(|cx| Poll::Ready(poll_connection(cx, false))).await {
                    break end;
                }
                match conn.confirm_immediate_close() {
                    ImmediateClose::Withdrawn => {}
                    ImmediateClose::Close => break ConnectionEnd::Evicted,
                    ImmediateClose::RefuseHead => break ConnectionEnd::EvictedInHead,
                    ImmediateClose::RefuseBody => {
                        conn.refuse_incomplete_request();
                        continue;
                    }
                }
                // An idle connection is shut down now, others after their response.
                shut_down = conn.closes_after_response() && !conn.is_request_arriving(Duration::ZERO);
            }
        })
        .await;
        // A request of a client that disconnected is dropped here, and thereby cancelled. An evicted
        // connection is closed without lingering: it has no unread input, and its permits are needed.
        let mut socket = protocol.into_parts().io.into_inner();
        drop(disconnect);
        match end {
            ConnectionEnd::EvictedInHead => {
                self.write_refusal(&mut socket).await;
                self.linger(socket, &conn).await;
            }
            ConnectionEnd::Completed => self.linger(socket, &conn).await,
            ConnectionEnd::ClientClosed | ConnectionEnd::Evicted => drop(socket),
        }
    }
}
