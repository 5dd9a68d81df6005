//! Tests client connections over loopback, in front of a fake pool. No task of the node runs between two
//! awaits of a test, so a test determines the order of events.

mod closing;
mod ending;
mod stalled;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{advance, pause, resume, timeout};

use super::http1::ListenerSettings;
use super::manager::ConnectionManager;
use super::request::RequestError;
use super::{PoolDirectory, Rejection, RequestPermit};
use crate::config::Config;
use crate::pool::driver::{DriverMessage, FinalResponse};
use crate::pool::{PoolHandle, TenantUsage};
use crate::sockets::SocketBudget;
use crate::task::LocalSemaphore;

/// Longer than any step of a test takes on a working machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Memory of the node, in bytes.
const NODE_MEMORY: usize = 64 << 20;
/// Number of sockets that the node may use.
const MAX_SOCKETS: usize = 64;

/// A directory with a single pool and no limits, which counts the requests that hold a permit.
struct SinglePool {
    pool: Rc<PoolHandle>,
    /// Its reference count is one more than the number of permits.
    permit_marker: Rc<()>,
}

impl PoolDirectory for SinglePool {
    fn find_pool(&self, _: &str, _: &Parts) -> Result<Rc<PoolHandle>, RequestError> {
        Ok(self.pool.clone())
    }

    fn reserve_body(&self, _: &Rc<PoolHandle>, _: u64) -> Result<RequestPermit, Rejection> {
        Ok(Box::new(self.permit_marker.clone()))
    }

    fn reserve_request(&self, _: &Rc<PoolHandle>) -> Result<RequestPermit, Rejection> {
        Ok(Box::new(()))
    }

    fn max_request_duration(&self) -> Duration {
        Duration::from_secs(60)
    }
}

/// The connection manager under test, with a listener and a fake pool.
struct TestFront {
    manager: Rc<ConnectionManager>,
    addr: SocketAddr,
    sockets: Rc<SocketBudget>,
    permit_marker: Rc<()>,
    /// The client ids (`X-Txn`) of the requests that the pool received.
    received: Rc<RefCell<Vec<String>>>,
}

impl TestFront {
    /// Starts a manager for this many connections, and a pool that responds to every request with this body.
    async fn new(max_connections: usize, body: Bytes) -> TestFront {
        let text = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"classes":
            [{"name": "look", "aim": 60000000, "deadline": 60000000, "semantics": "safe"},
             {"name": "pay", "aim": 60000000, "deadline": 60000000, "semantics": "unsafe"}]}}"#;
        let Config { settings, names, .. } = Config::read(text, &HashMap::new()).unwrap();
        let (tx, mut rx) = mpsc::unbounded_channel();
        let pool = PoolHandle {
            settings,
            names,
            org_is_tenant: false,
            tx,
            usage: Rc::new(TenantUsage::default()),
            weight: 1.into(),
            #[cfg(feature = "hosted")]
            admission: Default::default(),
        };
        let received: Rc<RefCell<Vec<String>>> = Rc::default();
        let requests = received.clone();
        spawn_local(async move {
            while let Some(message) = rx.recv().await {
                if let DriverMessage::Request(arrival) = message {
                    requests.borrow_mut().push(arrival.payload.headers["x-txn"].to_str().unwrap().to_owned());
                    let _ = arrival.reply.send((FinalResponse::Served(HeaderMap::new(), body.clone()), None));
                }
            }
        });
        let budgets = (LocalSemaphore::new(max_connections), LocalSemaphore::new(1));
        let sockets = SocketBudget::new(MAX_SOCKETS);
        let permit_marker = Rc::new(());
        let directory = SinglePool { pool: Rc::new(pool), permit_marker: permit_marker.clone() };
        let manager =
            ConnectionManager::new(Rc::new(directory), false, sockets.clone(), budgets, NODE_MEMORY);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        spawn_local(manager.clone().accept_http1(listener, ListenerSettings::plain_tcp("")));
        TestFront { manager, addr, sockets, permit_marker, received }
    }

    /// Connects a client with a small receive buffer.
    async fn connect_with_small_buffer(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(self.addr).await.unwrap()
    }

    /// Number of requests that hold a permit.
    fn permits_held(&self) -> usize {
        // The test and the directory hold one reference each.
        Rc::strong_count(&self.permit_marker) - 2
    }

    /// Connects a client that has received one response and is idle.
    async fn connect_idle(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).await.unwrap();
        write(&stream, &request("first", ""));
        assert_eq!(read_response(&mut stream).await.as_deref(), Some("ok"));
        stream
    }

    /// Waits until bytes have arrived on this many connections, and the node has read all of them.
    async fn wait_until_received(&self, count: usize) {
        timeout(TEST_TIMEOUT, async {
            let received = || {
                let connections = self.manager.connections.borrow();
                connections.values().filter(|conn| conn.has_received()).count()
            };
            while received() < count {
                yield_now().await;
            }
            // A head and its body may be read in two polls.
            for _ in 0..4 {
                yield_now().await;
            }
        })
        .await
        .expect("the node reads what its clients sent");
    }

    /// Waits until the pool has received this many requests.
    async fn wait_for_requests(&self, count: usize) {
        timeout(TEST_TIMEOUT, async {
            while self.received.borrow().len() < count {
                yield_now().await;
            }
        })
        .await
        .expect("the pool receives the request");
    }
}

fn request(id: &str, extra_headers: &str) -> Vec<u8> {
    format!("GET /api?key=1 HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: look\r\n{extra_headers}\r\n")
        .into_bytes()
}

/// A request with a body, which begins [`BODY`] before its end.
fn post(id: &str) -> Vec<u8> {
    let head = format!("POST /api?key=1 HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: pay\r\n");
    format!("{head}Content-Length: {}\r\n\r\n{BODY}", BODY.len()).into_bytes()
}

/// Body of a [`post`] request.
const BODY: &str = "hello";

/// Writes all bytes to the kernel at once: no task of the node runs meanwhile.
fn write(stream: &TcpStream, data: &[u8]) {
    assert_eq!(stream.try_write(data).unwrap(), data.len());
}

/// Reads the body of a response; `None` if the connection ends before the response does.
async fn read_response(stream: &mut TcpStream) -> Option<String> {
    timeout(TEST_TIMEOUT, async {
        let mut text = Vec::new();
        loop {
            let head = text.windows(4).position(|window| window == b"\r\n\r\n");
            if let Some(end) = head {
                let head = String::from_utf8_lossy(&text[..end]).to_lowercase();
                let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
                let length: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
                if text.len() == end + 4 + length {
                    return Some(String::from_utf8_lossy(&text[end + 4..]).into_owned());
                }
            }
            stream.read_buf(&mut text).await.ok().filter(|&n| n > 0)?;
        }
    })
    .await
    .expect("a response, or the end of the connection")
}

/// Advances the clock without running any task in between.
async fn advance_clock(time: Duration) {
    pause();
    advance(time).await;
    resume();
}
