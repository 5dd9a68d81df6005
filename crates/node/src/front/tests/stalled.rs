//! Tests clients that stop in the middle of a request while others need their connections.

use tokio::task::LocalSet;

use super::*;

/// Longer than a request may stall on a connection that others need.
const STALL: Duration = Duration::from_millis(101);
/// Repetitions of each case, as the runtime chooses at random which of two ready branches runs first.
const REPETITIONS: usize = 12;

/// A request of which the client sends a part, and the length of that part.
fn partial_requests(id: &str) -> [(Vec<u8>, usize); 3] {
    let whole = post(id);
    let (in_head, in_body) = (30, whole.len() - 1);
    let before_body = whole.len() - BODY.len();
    [(whole.clone(), in_head), (whole.clone(), before_body), (whole, in_body)]
}

// Guards against requests that get no answer in time: clients that stopped in the body of a request kept their
// connections for 2.5 s, and whole requests behind them waited unread in the accept queue.
#[tokio::test]
async fn client_that_stops_in_a_request_gives_way_to_a_whole_request() {
    for part in 0..3 {
        LocalSet::new()
            .run_until(async {
                let front = TestFront::new(2, Bytes::from_static(b"ok")).await;
                let mut stopped = Vec::new();
                // Two connections, and one over the budget, whose request is only refused.
                for id in ["stopped1", "stopped2", "stopped3"] {
                    let (whole, sent) = partial_requests(id)[part].clone();
                    let stream = TcpStream::connect(front.addr).await.unwrap();
                    write(&stream, &whole[..sent]);
                    stopped.push(stream);
                }
                front.wait_until_received(3).await;
                advance_clock(STALL).await;
                let start = tokio::time::Instant::now();
                for id in ["first", "second", "third"] {
                    let mut stream = TcpStream::connect(front.addr).await.unwrap();
                    write(&stream, &request(id, "Connection: close\r\n"));
                    assert_eq!(read_response(&mut stream).await.as_deref(), Some("ok"), "{part}");
                }
                assert!(start.elapsed() < Duration::from_secs(1), "{part}: {:?}", start.elapsed());
                // The client that gave way has a response: its request may be on its way while it is evicted.
                let mut text = Vec::new();
                timeout(TEST_TIMEOUT, stopped[0].read_to_end(&mut text)).await.unwrap().unwrap();
                assert!(text.starts_with(b"HTTP/1.1 503 "), "{part}: {}", String::from_utf8_lossy(&text));
                assert_eq!(*front.received.borrow(), ["first", "second", "third"]);
            })
            .await;
    }
}

// The rest of a request arrives at the moment at which its connection is evicted: it is served.
#[tokio::test]
async fn request_whose_rest_arrives_as_it_is_evicted_is_served() {
    for (whole, sent) in partial_requests("stopped") {
        for readable in [false, true].repeat(REPETITIONS) {
            LocalSet::new()
                .run_until(async {
                    let front = TestFront::new(2, Bytes::from_static(b"ok")).await;
                    let mut stream = TcpStream::connect(front.addr).await.unwrap();
                    write(&stream, &whole[..sent]);
                    front.wait_until_received(1).await;
                    advance_clock(STALL).await;
                    write(&stream, &whole[sent..]);
                    if readable {
                        // The runtime has reported the socket as readable, and the connection's task has not run.
                        yield_now().await;
                    }
                    front.manager.evict_connection();
                    assert_eq!(read_response(&mut stream).await.as_deref(), Some("ok"), "{sent} {readable}");
                })
                .await;
        }
    }
}

// Clients may write slowly. The connection that has stalled for longest gives way, and the request on the other
// one is served.
#[tokio::test]
async fn slow_client_is_served_beside_clients_that_have_stopped() {
    LocalSet::new()
        .run_until(async {
            let front = TestFront::new(3, Bytes::from_static(b"ok")).await;
            let whole = post("slow");
            let mut streams = Vec::new();
            for _ in 0..3 {
                let stream = TcpStream::connect(front.addr).await.unwrap();
                write(&stream, &whole[..30]);
                streams.push(stream);
            }
            front.wait_until_received(3).await;
            advance_clock(STALL).await;
            let mut slow = streams.remove(0);
            write(&slow, &whole[30..whole.len() - 1]);
            front.wait_until_received(3).await;
            for id in ["first", "second"] {
                let mut stream = TcpStream::connect(front.addr).await.unwrap();
                write(&stream, &request(id, ""));
                assert_eq!(read_response(&mut stream).await.as_deref(), Some("ok"));
                std::mem::forget(stream);
            }
            write(&slow, &whole[whole.len() - 1..]);
            assert_eq!(read_response(&mut slow).await.as_deref(), Some("ok"));
        })
        .await;
}
