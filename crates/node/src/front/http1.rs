//! HTTP/1.1 from clients, over TCP or TLS.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;
use woodgap_tenancy::shares::NOBODY;

use super::clients::{Clients, LONGEST_HEAD, MOST_HEADERS, OVERFULL, REFUSAL};
use super::conn::{Conn, Peer, Phase, Socket, SLOW};
use super::places::{CROWDED, FULL};
use crate::meter::{metered, Meter};
use crate::task::Permit;

/// Where clients come in.
#[derive(Clone)]
pub struct Door {
    /// What tenants may be named by.
    pub name: Rc<str>,
    /// What clients are told that is spoken here besides (`Alt-Svc`, RFC 7838).
    pub also: Option<HeaderValue>,
    /// Speaks TLS.
    #[cfg(feature = "hosted")]
    pub tls: Option<tokio_rustls::TlsAcceptor>,
}

impl Door {
    /// Plain TCP.
    pub fn plain(name: &str) -> Self {
        Door {
            name: name.into(),
            also: None,
            #[cfg(feature = "hosted")]
            tls: None,
        }
    }
}

impl Clients {
    /// Accepts for as long as the node lives, after SIGTERM too: what is written to a connection
    /// in the backlog counts as taken.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, door: Door) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let accepted = self.accepted.clone();
                    let _ = stream.set_nodelay(true);
                    let (permits, refuse) = self.place().await;
                    let peer = Peer::at(address);
                    let served = self.clone().shake(stream, peer, permits, refuse, door.clone());
                    spawn_local(async move {
                        served.await;
                        drop(accepted);
                    });
                }
                // It ended while it waited to be accepted: the next one has not.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    // Out of descriptors, accept fails at once and the connection stays: without
                    // a pause this loop would take the core that could close some.
                    tracing::info!("accept: {error}");
                    let _ = self.end_one() || self.sockets.evict() || self.evict();
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Speaks TLS first where the listener does.
    async fn shake(
        self: Rc<Self>,
        stream: TcpStream,
        peer: Peer,
        permits: (Permit, Option<Permit>),
        refuse: bool,
        door: Door,
    ) {
        #[cfg(feature = "hosted")]
        if let Some(tls) = &door.tls {
            if let Ok(Ok(stream)) = tokio::time::timeout(SLOW, tls.accept(stream)).await {
                let shown = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first());
                let peer = Peer { subject: shown.and_then(|der| super::keys::subject(der)), ..peer };
                return self.serve(stream, peer, permits, refuse, door).await;
            }
            drop(permits);
            return self.ended.notify_waiters();
        }
        self.serve(stream, peer, permits, refuse, door).await;
    }

    /// Serves a connection until it ends; past the budget only to say so.
    async fn serve(
        self: Rc<Self>,
        stream: impl AsyncRead + AsyncWrite + Unpin,
        peer: Peer,
        permits: (Permit, Option<Permit>),
        refuse: bool,
        door: Door,
    ) {
        // One that comes this late still gets its one request answered: it counts as taken.
        let last = self.closing.get();
        let conn = Conn::new(if refuse || last { REFUSAL } else { SLOW }, peer);
        let number = self.next_conn.replace(self.next_conn.get() + 1);
        self.conns.borrow_mut().insert(number, conn.clone());
        // Until its first request nobody's: counted for no tenant that may be refused.
        let meter = self.directory.core().map(|core| Meter::new(core.clone(), NOBODY, 1));
        let (clients, state, turns) = (self.clone(), conn.clone(), meter.clone());
        let service = service_fn(move |request| {
            let (clients, state, turns) = (clients.clone(), state.clone(), turns.clone());
            let door = door.clone();
            async move {
                let body_by = state.opened();
                let (mut response, keep) = if refuse {
                    (clients.refusal(StatusCode::SERVICE_UNAVAILABLE, "refused\n", Some(OVERFULL)), false)
                } else {
                    clients.handle(request, body_by, &state, &door.name, turns).await
                };
                let crowded = clients.budget.part() > if state.is_first() { CROWDED } else { FULL };
                if !keep || crowded || state.is_last() || clients.draining.get() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                if let Some(other) = &door.also {
                    response.headers_mut().insert(header::ALT_SVC, other.clone());
                }
                state.enter(Phase::Answering);
                Ok::<_, Infallible>(response)
            }
        });
        let mut connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(LONGEST_HEAD)
            .max_headers(MOST_HEADERS)
            .serve_connection(TokioIo::new(Socket::new(stream, conn.clone())), service);
        let whole = metered(meter, async {
            loop {
                tokio::select! {
                    _ = &mut connection => break true,
                    () = conn.close.notified() => {}
                }
                // The last look: what the system holds may be a request that came since, and what was begun
                // has its answer. The runtime learns of it in its next turn.
                yield_now().await;
                if poll_fn(|cx| Poll::Ready(Pin::new(&mut connection).poll(cx).is_ready())).await {
                    break true;
                }
                if conn.gives_way() {
                    break false;
                }
                // Idle ones end now, others with their answer.
                if conn.is_last() && !conn.is_coming(Duration::ZERO) {
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
        })
        .await;
        // One that gives way is closed at once: nothing lies unread on it, and its place is wanted.
        let stream = connection.into_parts().io.into_inner();
        if whole {
            self.linger(stream, &conn).await;
        } else {
            drop(stream);
        }
        // The socket is closed: its place may go to another.
        self.conns.borrow_mut().remove(&number);
        drop(permits);
        self.ended.notify_waiters();
    }
}
