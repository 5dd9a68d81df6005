//! Tests HTTP/1.1 requests with a chunked body, including bodies that hide a second request (request
//! smuggling).

mod common;

use std::io::{BufReader, Write};

use common::*;

/// Returns an unsafe request with this chunked body and with these further lines in its head.
fn chunked(id: &str, extra_headers: &str, body: &str) -> String {
    let text = String::from_utf8(request("pay", id, 60_000)).unwrap();
    text.replace(
        "Content-Length: 5\r\n\r\nhello",
        &format!("{extra_headers}Transfer-Encoding: chunked\r\n\r\n{body}"),
    )
}

const HELLO: &str = "2\r\nhe\r\n3;what=more\r\nllo\r\n0\r\n\r\n";
const WITH_TRAILERS: &str = "5\r\nhello\r\n0\r\nX-Sum: 7\r\n\r\n";

// Guards against a failure seen on `herd` days: chunked requests were answered 411 over their unread body,
// and their connections closed.
#[test]
fn chunked_body_is_forwarded_whole() {
    let test_node = TestNode::new(1);
    let mut stream = test_node.connect();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    // Chunked requests on one connection with requests that have a length, written at once and byte by byte.
    for (n, text) in [chunked("0", "", HELLO), chunked("1", "", WITH_TRAILERS)].into_iter().enumerate() {
        stream.write_all(text.as_bytes()).unwrap();
        assert_eq!(HttpMessage::read(&mut input).unwrap().body, n.to_string().as_bytes());
        let with_length = format!("known-{n}");
        stream.write_all(&request("pay", &with_length, 60_000)).unwrap();
        assert_eq!(HttpMessage::read(&mut input).unwrap().body, with_length.as_bytes());
    }
    for byte in chunked("slow", "", HELLO).as_bytes() {
        stream.write_all(&[*byte]).unwrap();
    }
    assert_eq!(HttpMessage::read(&mut input).unwrap().body, b"slow");
    for (_, request) in test_node.received_requests() {
        assert_eq!(request.body, b"hello");
        assert_eq!((request.header("content-length"), request.header("transfer-encoding")), ("5", ""));
    }
}

// hyper follows the chunks and drops the length: a server that follows the length finds another request in
// the body.
#[test]
fn request_with_both_chunks_and_a_length_is_never_forwarded() {
    let test_node = TestNode::new(1);
    let hidden = "0\r\n\r\nPOST /api HTTP/1.1\r\n";
    for length in ["Content-Length: 26\r\n", "content-length:26\r\n", "CONTENT-LENGTH: 0\r\n"] {
        let text = chunked("1", length, hidden);
        let length_behind_coding =
            text.replace("chunked\r\n", &format!("chunked\r\n{length}")).replacen(length, "", 1);
        for text in [&text, &length_behind_coding] {
            // The request is written at once, split within the field name, or after requests with a length on
            // the same connection.
            for (requests_before, split_at) in
                [(0, text.len()), (0, text.to_lowercase().find("content-l").unwrap() + 5), (2, 9)]
            {
                let mut stream = test_node.connect();
                let mut input = BufReader::new(stream.try_clone().unwrap());
                for _ in 0..requests_before {
                    stream.write_all(&request("pay", &new_id(), 60_000)).unwrap();
                    assert_eq!(HttpMessage::read(&mut input).unwrap().status(), 200);
                }
                test_node.received_requests();
                stream.write_all(&text.as_bytes()[..split_at]).unwrap();
                stream.write_all(&text.as_bytes()[split_at..]).unwrap();
                let response = HttpMessage::read(&mut input).unwrap();
                assert_eq!((response.status(), response.header("connection")), (411, "close"), "{text}");
                assert!(HttpMessage::read(&mut input).is_none());
                assert!(test_node.received_requests().is_empty());
            }
        }
    }
}

#[test]
fn malformed_chunks_end_only_their_own_connection() {
    let test_node = TestNode::new(1);
    let too_long = format!("{:x}\r\n{}\r\n0\r\n\r\n", 70_000, "a".repeat(70_000));
    for (body, status) in [("-5\r\nhello\r\n0\r\n\r\n", 400), ("zz\r\nhello", 400), (too_long.as_str(), 413)]
    {
        assert_eq!(test_node.send_raw(chunked("1", "", body).as_bytes()).status(), status, "{:.20}", body);
    }
    // Another coding, two codings, and a body on a GET.
    let text = chunked("1", "", HELLO);
    assert_eq!(test_node.send_raw(text.replace("chunked", "gzip, chunked").as_bytes()).status(), 411);
    let twice = text.replace("Transfer-Encoding", "Transfer-Encoding: chunked\r\nTransfer-Encoding");
    assert_eq!(test_node.send_raw(twice.as_bytes()).status(), 411);
    assert_eq!(test_node.send_raw(text.replace("POST", "GET").as_bytes()).status(), 411);
    assert!(test_node.received_requests().is_empty());
    assert_eq!(test_node.send_request("pay", "2").status(), 200);
}
