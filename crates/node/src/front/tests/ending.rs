//! Tests how connections end, and when the node ends.

use std::future::Future;
use std::io::{Read, Write};
use std::pin::pin;
use std::task::Poll;

use tokio::task::LocalSet;

use super::*;

// Closing a socket with unread bytes resets it, and a reset would discard the end of the response.
#[tokio::test]
async fn input_after_the_last_request_does_not_cut_its_response() {
    LocalSet::new()
        .run_until(async {
            let front = TestFront::new(4, Bytes::from(vec![b'x'; 60_000])).await;
            let mut stream = front.connect_with_small_buffer().await;
            write(&stream, &request("last", "Connection: close\r\n"));
            write(&stream, &[b'y'; 40_000]);
            front.wait_for_requests(1).await;
            for _ in 0..8 {
                yield_now().await;
            }
            assert_eq!(read_response(&mut stream).await.map(|body| body.len()), Some(60_000));
            assert_eq!(front.received.borrow().len(), 1);
        })
        .await;
}

// The body of a request that is rejected at its head still arrives. It must not cause a reset, which a client
// may see instead of the response.
#[tokio::test]
async fn body_of_a_rejected_request_causes_no_reset() {
    LocalSet::new()
        .run_until(async {
            let front = TestFront::new(4, Bytes::from_static(b"ok")).await;
            let mut stream = TcpStream::connect(front.addr).await.unwrap();
            let head =
                "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Lane: none\r\nContent-Length: 3000\r\n\r\n";
            write(&stream, head.as_bytes());
            let mut response = Vec::new();
            timeout(TEST_TIMEOUT, stream.read_to_end(&mut response)).await.unwrap().unwrap();
            assert!(response.starts_with(b"HTTP/1.1 400 "), "{}", String::from_utf8_lossy(&response));
            for _ in 0..3 {
                write(&stream, &[b'x'; 1_000]);
            }
        })
        .await;
}

// The memory of a response that its client does not read counts as that of an open request, until it is written.
#[tokio::test]
async fn request_holds_its_permit_until_the_response_is_written() {
    LocalSet::new()
        .run_until(async {
            let size = 16 << 20;
            let front = TestFront::new(4, Bytes::from(vec![b'x'; size])).await;
            let mut stream = front.connect_with_small_buffer().await;
            write(&stream, &request("unread", ""));
            front.wait_for_requests(1).await;
            for _ in 0..8 {
                yield_now().await;
            }
            assert_eq!(front.permits_held(), 1);
            assert_eq!(read_response(&mut stream).await.map(|body| body.len()), Some(size));
            timeout(TEST_TIMEOUT, async {
                while front.permits_held() > 0 {
                    yield_now().await;
                }
            })
            .await
            .expect("the permit is released");
        })
        .await;
}

// A connection that only waits for its client to close is the first to be evicted.
#[tokio::test]
async fn lingering_connection_is_evicted_for_a_new_one() {
    LocalSet::new()
        .run_until(async {
            let front = TestFront::new(1, Bytes::from_static(b"ok")).await;
            for n in 0..3 {
                let mut lingering = TcpStream::connect(front.addr).await.unwrap();
                write(&lingering, &request(&format!("stays{n}"), "Connection: close\r\n"));
                assert_eq!(read_response(&mut lingering).await.as_deref(), Some("ok"));
                let mut new = TcpStream::connect(front.addr).await.unwrap();
                write(&new, &request(&format!("new{n}"), "Connection: close\r\n"));
                assert_eq!(read_response(&mut new).await.as_deref(), Some("ok"));
                std::mem::forget((lingering, new));
            }
        })
        .await;
}

// A lingering connection is also evicted if its socket is needed for a connection to a server.
#[tokio::test]
async fn lingering_connection_releases_its_socket_for_a_server_connection() {
    LocalSet::new()
        .run_until(async {
            let front = TestFront::new(4, Bytes::from_static(b"ok")).await;
            let mut lingering = TcpStream::connect(front.addr).await.unwrap();
            write(&lingering, &request("stays", "Connection: close\r\n"));
            assert_eq!(read_response(&mut lingering).await.as_deref(), Some("ok"));
            let mut permits = Vec::new();
            while let Some(permit) = front.sockets.acquire().await {
                permits.push(permit);
            }
            assert_eq!(permits.len(), MAX_SOCKETS);
        })
        .await;
}

// A request on a connection in the kernel's accept queue counts as accepted: the node does not end before it
// has accepted the connection and served the request.
#[tokio::test]
async fn node_does_not_end_before_it_serves_a_connection_in_the_accept_queue() {
    LocalSet::new()
        .run_until(async {
            let front = TestFront::new(4, Bytes::from_static(b"ok")).await;
            let mut drain = pin!(front.manager.drain());
            let is_draining =
                std::future::poll_fn(|cx| Poll::Ready(drain.as_mut().poll(cx).is_pending())).await;
            assert!(is_draining);
            advance_clock(Duration::from_millis(601)).await;
            let mut late = std::net::TcpStream::connect(front.addr).unwrap();
            late.write_all(&request("late", "")).unwrap();
            drain.await;
            assert_eq!(*front.received.borrow(), ["late"]);
            late.set_nonblocking(true).unwrap();
            let mut response = [0; 512];
            let length = late.read(&mut response).unwrap();
            assert!(response[..length].ends_with(b"ok"), "{}", String::from_utf8_lossy(&response[..length]));
        })
        .await;
}
