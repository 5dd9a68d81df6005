//! Tests of the platform's node with clients whose long bodies arrive slowly.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpStream;

use common::*;
use serde_json::json;

/// Length of a body that is not short.
const LONG_BODY_BYTES: usize = 64_000;
/// More long bodies than a node of 8 MB has memory for.
const SLOW_CLIENTS: usize = 30;
const REQUESTS: usize = 60;

// Guards against refusals: the memory of a long body and of its response was reserved for as long as the body arrived,
// so that clients that wrote slowly had all other requests refused, at under half of the memory.
#[test]
fn requests_are_served_beside_long_bodies_that_arrive_slowly() {
    let test_node = TestNode::with_limits(2, json!({"sockets": 256, "memory_mb": 8}));
    let whole = long_request("slow00", LONG_BODY_BYTES, 60_000);
    let head_bytes = whole.len() - LONG_BODY_BYTES;
    let mut slow: Vec<TcpStream> = (0..SLOW_CLIENTS)
        .map(|n| {
            let mut stream = test_node.connect();
            let head = &long_request(&format!("slow{n:02}"), LONG_BODY_BYTES, 60_000)[..head_bytes];
            stream.write_all(head).unwrap();
            stream
        })
        .collect();
    for n in 0..REQUESTS {
        // No body stalls for as long as it may be refused for. Some were refused at once: one client is enough.
        let writing = slow.iter_mut().filter_map(|stream| stream.write_all(b"x").ok()).count();
        assert!(writing > 0);
        for class in ["look", "pay", "put"] {
            assert_eq!(test_node.send_request(class, &format!("{class}{n}")).status(), 200, "{n}");
        }
        // A body of undeclared length is not taken for the longest one.
        let text = String::from_utf8(request("pay", &format!("chunked{n}"), 60_000)).unwrap();
        let chunked = text.replace(
            "Content-Length: 5\r\n\r\nhello",
            "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        );
        assert_eq!(test_node.send_raw(chunked.as_bytes()).status(), 200, "{n}");
    }
    // A long body that has arrived is forwarded whole.
    let rest = vec![b'x'; LONG_BODY_BYTES - REQUESTS];
    let statuses: Vec<u16> = slow
        .into_iter()
        .filter_map(|mut stream| {
            let _ = stream.write_all(&rest);
            HttpMessage::read(&mut BufReader::new(stream)).map(|response| response.status())
        })
        .collect();
    assert!(
        statuses.contains(&200) && statuses.iter().all(|status| [200, 503].contains(status)),
        "{statuses:?}"
    );
}
