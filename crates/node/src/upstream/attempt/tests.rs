//! Tests events between two steps of an attempt: each test pauses the attempt between them, causes the event,
//! and lets the attempt continue.

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use tokio::task::LocalSet;
use woodgap_decisions::ServerState;

use super::*;
use crate::upstream::exchange::REUSE_DELAY;
use crate::upstream::servers::tests::{
    always_awaited, far_deadline, post_request, server_list, servers_with,
};

/// A server whose connections the test itself accepts.
struct ManualServer {
    listener: TcpListener,
    servers: Rc<Servers>,
    id: ServerId,
}

impl ManualServer {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let servers = servers_with(8);
        let list = server_list(listener.local_addr().unwrap(), ServerState::InService, true);
        let id = servers.apply_list(&list).1[0].server.clone();
        ManualServer { listener, servers, id }
    }

    /// Stores an idle connection that may be reused, and returns the server's end of it.
    async fn idle_connection(&self) -> TcpStream {
        let (addr, epoch) = self.servers.eligible_addr(&self.id).unwrap();
        let mut connection = self.servers.dial(addr, epoch).await.unwrap();
        connection.ready().await.unwrap();
        let server_stream = self.listener.accept().unwrap().0;
        self.servers.store_idle_connection(&self.id, connection);
        tokio::time::sleep(REUSE_DELAY * 2).await;
        server_stream
    }

    fn terminate(&self) {
        let addr = self.listener.local_addr().unwrap();
        self.servers.apply_list(&server_list(addr, ServerState::Terminated, false));
    }
}

/// Reads a connection to its end.
async fn received_text(server_stream: TcpStream) -> String {
    server_stream.set_nonblocking(true).unwrap();
    let mut server_stream = tokio::net::TcpStream::from_std(server_stream).unwrap();
    let mut text = Vec::new();
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut server_stream, &mut text).await;
    String::from_utf8(text).unwrap()
}

/// Polls the future once, and no other task.
async fn poll_once<F: Future>(future: &mut Pin<Box<F>>) {
    poll_fn(|cx| {
        assert!(future.as_mut().poll(cx).is_pending());
        Poll::Ready(())
    })
    .await
}

/// Returns a client that disconnects once the cell is set to `false`.
fn client() -> (Rc<Cell<bool>>, IsAwaited) {
    let connected = Rc::new(Cell::new(true));
    let is_connected = connected.clone();
    (connected, Rc::new(move || is_connected.get()))
}

// The request has been handed to the connection's task, which was not polled yet.
#[tokio::test]
async fn request_is_not_written_if_the_client_disconnects_before_the_first_write() {
    let run = async {
        let test_server = ManualServer::new();
        let server_stream = test_server.idle_connection().await;
        let ((connected, is_awaited), request) = (client(), post_request());
        let mut attempt =
            Box::pin(test_server.servers.run_attempt(&test_server.id, &request, far_deadline(), &is_awaited));
        poll_once(&mut attempt).await;
        connected.set(false);
        assert_eq!(attempt.await.outcome, Outcome::Moot);
        assert_eq!(received_text(server_stream).await, "");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn request_is_not_written_if_the_client_disconnects_during_the_dial() {
    let run = async {
        let test_server = ManualServer::new();
        let ((connected, is_awaited), request) = (client(), post_request());
        let mut attempt =
            Box::pin(test_server.servers.run_attempt(&test_server.id, &request, far_deadline(), &is_awaited));
        poll_once(&mut attempt).await;
        let server_stream = test_server.listener.accept().unwrap().0;
        connected.set(false);
        assert_eq!(attempt.await.outcome, Outcome::Moot);
        // Nothing was written on the connection, so it is kept for reuse.
        assert_eq!(test_server.servers.idle_connection_count(), 1);
        test_server.servers.close_idle_connections(&test_server.id);
        assert_eq!(received_text(server_stream).await, "");
    };
    LocalSet::new().run_until(run).await;
}

// A terminated server must not be sent anything new. The time that counts is that of the first byte, not that
// at which the request is handed to the connection's task.
#[tokio::test]
async fn request_is_not_written_if_the_server_is_terminated_before_the_first_write() {
    let run = async {
        let test_server = ManualServer::new();
        let server_stream = test_server.idle_connection().await;
        let (is_awaited, request) = (always_awaited(), post_request());
        let mut attempt =
            Box::pin(test_server.servers.run_attempt(&test_server.id, &request, far_deadline(), &is_awaited));
        poll_once(&mut attempt).await;
        test_server.terminate();
        assert_eq!(attempt.await.outcome, Outcome::ConnectFailed);
        assert_eq!(received_text(server_stream).await, "");
    };
    LocalSet::new().run_until(run).await;
}

// A duplicate response to an earlier request arrives after the check of the connection and before the write.
#[tokio::test]
async fn response_received_before_the_first_write_is_not_taken_as_the_response() {
    let run = async {
        let test_server = ManualServer::new();
        let mut server_stream = test_server.idle_connection().await;
        let (is_awaited, request) = (always_awaited(), post_request());
        let mut attempt =
            Box::pin(test_server.servers.run_attempt(&test_server.id, &request, far_deadline(), &is_awaited));
        poll_once(&mut attempt).await;
        server_stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong").unwrap();
        let listener = test_server.listener.try_clone().unwrap();
        let server = std::thread::spawn(move || {
            let mut stream = listener.accept().unwrap().0;
            stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
            std::io::Read::read(&mut stream, &mut [0; 4096]).unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright").unwrap();
            stream
        });
        let result = attempt.await;
        assert_eq!(result.response.expect("a response").1, "right");
        assert_eq!(received_text(server_stream).await, "");
        drop(server.join().unwrap());
    };
    LocalSet::new().run_until(run).await;
}

// The server closes the connection between the check and the write. Nothing was written, so even an unsafe
// request may be sent on another connection.
#[tokio::test]
async fn connection_closed_before_the_first_write_counts_as_failed_to_connect() {
    let run = async {
        for reset in [false, true] {
            let test_server = ManualServer::new();
            let server_stream = test_server.idle_connection().await;
            let (is_awaited, request) = (always_awaited(), post_request());
            let mut attempt = Box::pin(test_server.servers.run_attempt(
                &test_server.id,
                &request,
                far_deadline(),
                &is_awaited,
            ));
            poll_once(&mut attempt).await;
            if reset {
                socket2::SockRef::from(&server_stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(server_stream);
            // No other connection is opened.
            test_server.terminate();
            assert_eq!(attempt.await.outcome, Outcome::ConnectFailed, "reset {reset}");
        }
    };
    LocalSet::new().run_until(run).await;
}

// The server counts the idle time from the last request: taking a connection and storing it unused must not
// reset it.
#[tokio::test]
async fn connection_stored_unused_keeps_its_idle_time() {
    let run = async {
        let test_server = ManualServer::new();
        let _server_stream = test_server.idle_connection().await;
        let since = || test_server.servers.slots.borrow()[&test_server.id].idle_connections[0].idle_since;
        let before = since();
        let result = test_server
            .servers
            .run_attempt(&test_server.id, &post_request(), Instant::now(), &always_awaited())
            .await;
        assert_eq!(result.outcome, Outcome::ConnectFailed);
        assert_eq!(since(), before);
    };
    LocalSet::new().run_until(run).await;
}

/// A server whose accept queue is full, so that a dial hangs.
async fn server_with_full_backlog() -> (tokio::net::TcpListener, Vec<tokio::net::TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let mut queued = Vec::new();
    let dial = || tokio::net::TcpStream::connect(listener.local_addr().unwrap());
    while let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(300), dial()).await {
        queued.push(stream);
    }
    (listener, queued)
}

// Guards against an attempt that went on waiting for its connection, here for 20 s, although nothing could be
// sent on it any more: the request was refused at its deadline instead of at once.
#[tokio::test]
async fn dial_is_cancelled_when_the_server_becomes_ineligible() {
    let run = async {
        for state in [ServerState::Terminated, ServerState::Terminating] {
            let (listener, _queued) = server_with_full_backlog().await;
            let servers = servers_with(8);
            let addr = listener.local_addr().unwrap();
            let id = servers.apply_list(&server_list(addr, ServerState::InService, true)).1[0].server.clone();
            let (is_awaited, request) = (always_awaited(), post_request());
            let mut attempt = Box::pin(servers.run_attempt(&id, &request, far_deadline(), &is_awaited));
            poll_once(&mut attempt).await;
            // An unchanged list does not cancel the dial.
            servers.apply_list(&server_list(addr, ServerState::InService, true));
            poll_once(&mut attempt).await;
            servers.apply_list(&server_list(addr, state, false));
            let result = tokio::time::timeout(Duration::from_secs(10), attempt).await;
            let outcome = result.expect("the attempt ends before the dial times out").outcome;
            assert_eq!(outcome, Outcome::ConnectFailed, "{state:?}");
        }
    };
    LocalSet::new().run_until(run).await;
}
