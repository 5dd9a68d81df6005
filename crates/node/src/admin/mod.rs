//! The administration API: HTTP/1.1 and JSON under `/v1`, on a listener and a thread of its own.
//!
//! ```text
//!   connection (bounded, evicted when idle) ─▶ token ─▶ time limit ─▶ api: handlers ─▶ Control
//! ```
//!
//! A request without a known token is answered before its body is read.

pub(crate) mod api;
pub(crate) mod auth;
mod backends;
mod changes;
mod documents;
mod fleet;
mod parse;
pub(crate) mod problem;
mod state;
mod status;
mod tenants;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::sync::Notify;

use crate::control::Control;
use crate::stream::RetryingTcpStream;

/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum time to receive a request's head, and maximum idle time before the next request.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time that a new connection waits for an idle one to close; also the pause after a failed accept.
const EVICTION_WAIT: Duration = Duration::from_millis(100);

/// An open connection's state, which eviction uses to find an idle connection and close it.
struct Connection {
    busy: AtomicBool,
    close: Notify,
}

/// The open connections by number, the oldest first.
#[derive(Default)]
struct ConnectionTable {
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
    closed: Notify,
}

impl ConnectionTable {
    fn with<T>(&self, access: impl FnOnce(&mut BTreeMap<u64, Arc<Connection>>) -> T) -> T {
        access(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits until another connection fits in, closing the oldest idle one if necessary. Returns `false` if
    /// none closes within `EVICTION_WAIT`.
    async fn wait_for_capacity(&self, max_connections: usize) -> bool {
        let deadline = tokio::time::Instant::now() + EVICTION_WAIT;
        loop {
            let closed = self.closed.notified();
            let full = self.with(|open| {
                let full = open.len() >= max_connections;
                let idle = open.values().find(|entry| !entry.busy.load(Ordering::Relaxed));
                if let (true, Some(entry)) = (full, idle) {
                    entry.close.notify_one();
                }
                full
            });
            if !full {
                return true;
            }
            if tokio::time::timeout_at(deadline, closed).await.is_err() {
                return false;
            }
        }
    }
}

/// Marks a connection as idle again when dropped.
struct BusyGuard(Arc<Connection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.store(false, Ordering::Relaxed);
    }
}

/// Serves the API on `listener` for the lifetime of the node; returns only if the listener cannot be used.
pub(crate) async fn serve(
    control: Arc<Control>,
    listener: std::net::TcpListener,
    tokens: auth::Tokens,
    max_connections: usize,
) -> std::io::Error {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return error,
    };
    let router = api::router(control, tokens);
    let connections = Arc::new(ConnectionTable::default());
    let mut number = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::info!("admin: failed to accept a connection: {error}");
                tokio::time::sleep(EVICTION_WAIT).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        if !connections.wait_for_capacity(max_connections).await {
            // All connections are busy: the new one is closed by the drop of its stream.
            continue;
        }
        number += 1;
        let entry = Arc::new(Connection { busy: AtomicBool::new(false), close: Notify::new() });
        connections.with(|open| open.insert(number, entry.clone()));
        let (connections, router) = (connections.clone(), router.clone());
        tokio::spawn(async move {
            let inner = TowerToHyperService::new(router);
            let entry_of_request = entry.clone();
            let service =
                hyper::service::service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
                    use hyper::service::Service;
                    entry_of_request.busy.store(true, Ordering::Relaxed);
                    let busy = BusyGuard(entry_of_request.clone());
                    let response_future = inner.call(request);
                    async move {
                        let _busy = busy;
                        match response_future.await {
                            Ok(response) => Ok::<_, Infallible>(response),
                            Err(never) => match never {},
                        }
                    }
                });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_READ_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(RetryingTcpStream::from(stream)), service);
            tokio::select! {
                _ = connection => {}
                () = entry.close.notified() => {}
            }
            connections.with(|open| open.remove(&number));
            connections.closed.notify_waiters();
        });
    }
}
