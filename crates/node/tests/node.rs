//! The real node over loopback sockets, between servers and a discovery of the test's own.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back() {
    let site = Site::new(2);
    assert_eq!(site.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    let answer = site.ask("put", "abc");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"abc".as_slice()));
    let seen = site.requests();
    let (_, request) = &seen[0];
    assert_eq!(seen.len(), 1);
    assert_eq!(request.first, "POST /api?key=7f3a&x=1 HTTP/1.1\r\n");
    assert_eq!((request.header("x-txn"), request.header("idempotency-key")), ("abc", "77"));
    assert_eq!(request.body, b"hello");
    assert!((1..60_000).contains(&request.header("x-remaining-ms").parse::<u64>().unwrap()));
}

// Seen in a group of 300: each node kept a connection to each server, which took 54, and most nodes got none.
#[test]
fn nodes_of_a_large_group_leave_a_server_room() {
    let site = Site::configured(1, json!({"sockets": 64}), |settings| {
        settings["group-size"] = json!(3_000);
        settings["deductions"] = json!({"handshake": 0.08});
    });
    site.room.takes.store(4, Ordering::SeqCst);
    let nodes: Vec<Node> = (0..12).map(|_| Node::start(&site.config)).collect();
    for (n, node) in nodes.iter().enumerate() {
        until("the server has room", || site.room.open.load(Ordering::SeqCst) < 4);
        assert_eq!(node.raw(&request("pay", &format!("t{n}"), 60_000)).status(), 200, "node {n}");
    }
}

#[test]
fn connections_are_reused_on_both_sides() {
    let site = Site::new(1);
    let mut stream = site.dial();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for id in ["1", "2", "3"] {
        stream.write_all(&request("pay", id, 60_000)).unwrap();
        assert_eq!(Message::read(&mut input).unwrap().body, id.as_bytes());
    }
    assert!(
        site.seen.try_iter().all(|seen| matches!(seen, Seen::Request(..))),
        "a server connection was closed"
    );
}

// Servers tell requests apart by their ids: a second one under an open id could run an effect twice,
// or take the first one's answer.
#[test]
fn a_request_under_an_open_id_is_turned_away() {
    let site = Site::new(1);
    site.all_do(Does::Hold);
    let mut first = site.dial();
    first.write_all(&request("pay", "same", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    assert_eq!(site.ask("pay", "same").status(), 409);
    assert_eq!(site.ask("look", "same").status(), 409);
    assert!(site.requests().is_empty());
    site.all_do(Does::Serve);
    let answer = Message::read(&mut BufReader::new(first)).unwrap();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"same".as_slice()));
    assert_eq!(site.ask("pay", "same").status(), 200);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    for does in [
        Does::Break,
        Does::BreakHalfway,
        Does::Answer("500 Oops"),
        Does::Answer("503 Busy"),
        Does::Answer("504 Late"),
    ] {
        let site = Site::new(3);
        site.all_do(does);
        let status = site.ask("pay", "1").status();
        assert!(![200, 429, 503].contains(&status), "{status}");
        assert_eq!(site.requests().len(), 1);
    }
}

#[test]
fn a_safe_request_is_served_after_a_broken_answer() {
    let site = Site::new(2);
    site.all_do(Does::BreakHalfway);
    let mut stream = site.dial();
    *site.does[0].lock().unwrap() = Does::Serve;
    for n in 0..8 {
        let id = format!("{n}");
        stream.write_all(&request("look", &id, 60_000)).unwrap();
        let answer = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        assert_eq!((answer.status(), answer.body), (200, id.into_bytes()));
    }
}

// What can't be the answer must not reach the client as one, nor hold its request until the deadline.
#[test]
fn a_spoilt_answer_ends_its_attempt_alone() {
    let spoilt: [(&str, usize); 10] = [
        ("\u{1}\u{2} noise\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 1),
        ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nX-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", 2_000),
        ("HTTP/1.1 100 Continue\r\n\r\n", 20_000),
    ];
    for (text, times) in spoilt {
        let site = Site::new(2);
        site.all_do(Does::Raw(text, times));
        let status = site.ask("pay", "1").status();
        assert!(![200, 429, 503].contains(&status), "{text}: {status}");
        assert_eq!(site.requests().len(), 1, "{text}");
        site.all_do(Does::Serve);
        until("served again", || site.ask("look", "2").body == b"2");
    }
}

#[test]
fn what_comes_ahead_of_a_good_answer_or_with_it_does_no_harm() {
    let site = Site::new(1);
    let answer = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
        HTTP/1.1 200 OK\r\nX-Pressure: {\"queue\":\r\nContent-Length: 2\r\n\r\nok";
    site.all_do(Does::Raw(answer, 1));
    for n in 0..4 {
        assert_eq!(site.ask("pay", &n.to_string()).body, b"ok");
    }
}

// A second copy of an answer must never be taken for the answer to the next request.
#[test]
fn a_second_copy_answers_nobody() {
    for later in [0, 1, 2, 4] {
        let site = Site::new(1);
        site.all_do(Does::ServeTwice(later));
        for n in 0..20 {
            let id = format!("{later}-{n}");
            assert_eq!(site.ask("pay", &id).body, id.as_bytes());
        }
    }
}

#[test]
fn an_unsafe_request_turned_away_unseen_is_refused_or_served_elsewhere() {
    let site = Site::new(2);
    site.all_do(Does::Answer("503 Full\r\nX-Turned-Away: 1"));
    let answer = site.ask("pay", "1");
    assert_eq!(answer.status(), 503);
    site.all_do(Does::Serve);
    until("served again", || site.ask("pay", "2").status() == 200);
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let mut site = Site::new(2);
    // A port that is taken, so that no other test gets it, and that nobody listens on.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let gone = socket.local_addr().unwrap();
    let (_, mut stream) = site.watch();
    site.members[0]["host_port"] = json!(gone.to_string());
    let list = json!({"revision": 42, "complete": true, "members": site.members});
    chunk(&mut stream, &format!("{list}\n"));
    until("the new address is known", || {
        site.ask("look", "0");
        !site.requests().iter().any(|(server, _)| *server == 0)
    });
    for n in 0..8 {
        assert_eq!(site.ask("pay", &n.to_string()).status(), 200);
    }
    assert!(site.requests().iter().all(|(server, _)| *server == 1));
}

#[test]
fn an_idle_connection_that_its_server_closed_is_not_used() {
    let site = Site::new(1);
    site.all_do(Does::ServeAndClose);
    for n in 0..10 {
        assert_eq!(site.ask("pay", &n.to_string()).status(), 200);
        until("the server closed", || site.seen.try_iter().any(|seen| matches!(seen, Seen::Closed)));
    }
}

#[test]
fn a_request_is_answered_before_its_time_runs_out() {
    let site = Site::new(2);
    site.all_do(Does::Hang);
    for class in ["look", "pay", "put"] {
        let status = site.raw(&request(class, "1", 400)).status();
        assert_ne!(status, 200);
        // What may have run unsafely is not called harmless.
        assert!(class != "pay" || ![429, 503].contains(&status), "{status}");
    }
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let site = Site::new(2);
    site.all_do(Does::Hang);
    let mut stream = site.dial();
    stream.write_all(&request("look", "1", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    drop(stream);
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Closed)));
}

#[test]
fn odd_requests_get_plain_answers() {
    let site = Site::new(1);
    let with = |old: &str, new: &str| {
        let text = String::from_utf8(request("pay", "1", 60_000)).unwrap();
        assert!(text.contains(old));
        site.raw(text.replace(old, new).as_bytes()).status()
    };
    assert_eq!(with("X-Lane: pay", "X-Lane: none"), 400);
    assert_eq!(with("X-Org: acme", "X-Org: other"), 400);
    assert_eq!(with("X-Txn: 1\r\n", ""), 400);
    assert_eq!(with("X-Remaining-Ms: 60000", "X-Remaining-Ms: soon"), 400);
    assert_eq!(with("X-Remaining-Ms: 60000", "X-Remaining-Ms: -1"), 400);
    assert_eq!(with("X-Lane: pay", "X-Lane: put"), 400);
    // What servers would take for another class, and what may be read in two ways.
    assert_eq!(with("X-Lane: pay", "X-Lane: look"), 400);
    assert_eq!(with("POST", "GET"), 400);
    assert_eq!(with("X-Lane: pay", "X-Lane: pay\r\nIdempotency-Key: 5"), 400);
    assert_eq!(with("Host: service.internal\r\n", ""), 400);
    for twice in ["Host: other", "X-Txn: 2", "X-Lane: pay", "X-Remaining-Ms: 5", "X-Org: acme"] {
        assert_eq!(with("X-Org: acme", &format!("X-Org: acme\r\n{twice}")), 400, "{twice}");
    }
    let hidden = "0\r\n\r\nPOST /api HTTP/1.1\r\n";
    for framing in [
        "Transfer-Encoding: chunked\r\nContent-Length: 26",
        "Content-Length: 26\r\nTransfer-Encoding: chunked",
    ] {
        let text = String::from_utf8(request("pay", "1", 60_000)).unwrap();
        let text = text.replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n{hidden}"));
        let answer = site.raw(text.as_bytes());
        assert_eq!((answer.status(), answer.header("connection")), (411, "close"));
    }
    assert_eq!(with("Content-Length: 5", "Content-Length: -5"), 400);
    assert_eq!(with("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6"), 400);
    assert_eq!(with("/api?", "/other?"), 404);
    assert_eq!(with("POST", "DELETE"), 405);
    assert_eq!(with("Content-Length: 5", "Content-Length: 70000"), 413);
    assert_eq!(with("X-Org: acme", &format!("X-Org: acme\r\nX-Long: {}", "a".repeat(40_000))), 431);
    assert_eq!(with(" HTTP/1.1", " NONSENSE"), 400);
    assert!(site.requests().is_empty());
    assert_eq!(site.ask("pay", "2").status(), 200);
}

#[test]
fn changes_reach_the_node_however_their_lines_are_split() {
    let mut site = Site::new(2);
    let (request, mut stream) = site.watch();
    assert!(request.first.contains("/api/targets?stream=1&index=41 "), "{}", request.first);
    site.members[0]["phase"] = json!("terminating");
    let list = json!({"revision": 43, "complete": false, "members": [site.members[0]]}).to_string() + "\n";
    for part in list.as_bytes().chunks(7) {
        chunk(&mut stream, std::str::from_utf8(part).unwrap());
    }
    until("the draining server is left alone", || {
        (0..8).for_each(|n| assert_eq!(site.ask("pay", &n.to_string()).status(), 200));
        !site.requests().iter().any(|(server, _)| *server == 0)
    });
    // A watch that ends is opened anew from the last version.
    drop(stream);
    let (request, _stream) = site.watch();
    assert!(request.first.contains("index=43 "), "{}", request.first);
}

#[test]
fn a_silent_watch_is_given_up() {
    let site = Site::new(1);
    let (_, _silent) = site.watch();
    let (request, _stream) = site.watch();
    assert!(request.first.contains("index=41 "), "{}", request.first);
}

#[test]
fn past_its_sockets_the_node_refuses_and_recovers() {
    // 60 less the reserve leaves twenty: ten requests with their attempts.
    let site = Site::with(1, json!({"sockets": 60}));
    site.all_do(Does::Hang);
    let held: Vec<TcpStream> = (0..10)
        .map(|n| {
            let mut stream = site.dial();
            stream.write_all(&request("pay", &format!("held{n}"), 60_000)).unwrap();
            assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
            stream
        })
        .collect();
    let answer = site.ask("pay", "1");
    assert_eq!((answer.status(), answer.header("connection")), (503, "close"));
    site.all_do(Does::Serve);
    drop(held);
    until("served again", || site.ask("pay", "2").status() == 200);
}

// A server that turns requests away with its cores idle, by a rate limit or by chance, is not out of
// room: without its slots the others would be. One that reports to be busy gives slots up.
#[test]
fn a_server_that_turns_away_while_idle_keeps_its_keys() {
    for (util, keeps) in [("0.1", true), ("0.99", false)] {
        let site = Site::new(4);
        let (owner, keys) = site.keys_of_one();
        let report = format!(r#"X-Pressure: {{"queue":0,"util":{util}}}"#);
        let head: &'static str = format!("503 Busy\r\nX-Turned-Away: 1\r\n{report}").leak();
        *site.does[owner].lock().unwrap() = Does::Answer(head);
        for key in &keys[..5] {
            // Another one serves it.
            assert_eq!(site.raw(&request_of(key, "pay", key, 60_000)).status(), 200);
        }
        *site.does[owner].lock().unwrap() = Does::Serve;
        site.requests();
        for key in &keys {
            assert_eq!(site.raw(&request_of(key, "pay", key, 60_000)).status(), 200);
        }
        let kept = site.requests().iter().filter(|(server, _)| *server == owner).count();
        assert_eq!(kept == keys.len(), keeps, "util {util}: {kept} of {}", keys.len());
    }
}

// A server that swallows one class is passed by for that class alone: waiting for the time-outs loses
// all that is sent meanwhile, and ejecting the server takes what it serves from it.
#[test]
fn a_class_that_a_server_swallows_goes_elsewhere() {
    let site = Site::configured(4, json!({"sockets": 256}), |settings| {
        // Silence shows after 4 of the means, which begin at a quarter of the aim.
        (0..3).for_each(|class| settings["classes"][class]["aim"] = json!(400_000));
    });
    let (owner, keys) = site.keys_of_one();
    *site.does[owner].lock().unwrap() = Does::Swallow("pay");
    let _lost: Vec<TcpStream> = keys[..2]
        .iter()
        .map(|key| {
            let mut stream = site.dial();
            stream.write_all(&request_of(key, "pay", &format!("lost-{key}"), 60_000)).unwrap();
            assert!(
                matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(server, _)) if server == owner)
            );
            stream
        })
        .collect();
    let ask = |class, n: usize, left_ms| {
        let key = &keys[n % keys.len()];
        site.raw(&request_of(key, class, &format!("{class}{n}"), left_ms)).status()
    };
    let mut asked = 0;
    until("served elsewhere", || {
        // What it serves of the others speaks for it.
        for _ in 0..3 {
            asked += 1;
            assert_eq!(ask("look", asked, 60_000), 200);
        }
        ask("pay", asked, 300) == 200
    });
    site.requests();
    assert_eq!(ask("look", asked, 60_000), 200);
    assert_eq!(site.requests()[0].0, owner);
}

// Clients that ask once and keep their connection for good must not shut others out: sixty sockets
// leave twelve places.
#[test]
fn clients_that_ask_once_and_stay_leave_room() {
    let site = Site::with(1, json!({"sockets": 60}));
    let mut kept = Vec::new();
    for n in 0..30 {
        let mut stream = BufReader::new(site.dial());
        stream.get_mut().write_all(&request("pay", &format!("once{n}"), 60_000)).unwrap();
        let answer = Message::read(&mut stream).unwrap();
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == "close" {
            assert_eq!(stream.read(&mut [0]).unwrap(), 0);
        } else {
            kept.push(stream);
        }
    }
    // Those from before the crowd go on.
    assert!(kept.len() >= 5, "{}", kept.len());
    for (n, stream) in kept.iter_mut().enumerate() {
        stream.get_mut().write_all(&request("pay", &format!("again{n}"), 60_000)).unwrap();
        assert_eq!(Message::read(stream).unwrap().body, format!("again{n}").into_bytes());
    }
}

// Silent and trickling clients hold places that others need.
#[test]
fn clients_that_are_slow_to_ask_are_closed() {
    let site = Site::new(1);
    let mut silent = site.dial();
    let mut half_head = site.dial();
    half_head.write_all(b"POST /api HTTP/1.1\r\nHost: x\r\n").unwrap();
    let mut later = BufReader::new(site.dial());
    later.get_mut().write_all(&request("pay", "1", 60_000)).unwrap();
    assert_eq!(Message::read(&mut later).unwrap().status(), 200);
    later.get_mut().write_all(b"POST /api").unwrap();
    let whole = request("pay", "2", 60_000);
    let mut half_body = site.dial();
    half_body.write_all(&whole[..whole.len() - 1]).unwrap();
    let start = Instant::now();
    assert_eq!(Message::read(&mut BufReader::new(half_body)).unwrap().status(), 408);
    assert!(start.elapsed() < Duration::from_secs(9));
    assert_eq!(silent.read(&mut [0]).unwrap(), 0);
    assert_eq!(half_head.read(&mut [0]).unwrap(), 0);
    assert_eq!(later.read(&mut [0]).unwrap(), 0);
    assert_eq!(site.requests().len(), 1);
}

#[test]
fn sigterm_lets_requests_finish_and_ends_cleanly() {
    let mut site = Site::new(1);
    let mut idle = site.dial();
    idle.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    site.all_do(Does::Hold);
    let mut busy = site.dial();
    busy.write_all(&request("pay", "9", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    site.signal("-TERM");
    // New connections are taken for as long as the node lives.
    until("not ready", || {
        let answer = site.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        answer.status() == 503 && answer.header("connection") == "close"
    });
    // An idle connection is closed, a held request is still answered, and new ones are too.
    assert!(Message::read(&mut idle).is_none());
    let mut new = site.dial();
    new.write_all(&request("pay", "10", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    assert!(site.node.child.try_wait().unwrap().is_none());
    site.all_do(Does::Serve);
    for (stream, id) in [(busy, "9"), (new, "10")] {
        let answer = Message::read(&mut BufReader::new(stream)).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        assert_eq!(answer.body, id.as_bytes());
    }
    assert!(site.node.child.wait().unwrap().success());
}

// A node that ended on SIGHUP would lose all that it holds; one that kept to the old discovery, or
// asked the new one only for what changed, would not know the servers.
#[test]
fn sighup_moves_the_watch_to_the_discovery_of_the_file() {
    let mut site = Site::new(2);
    let (_, _old) = site.watch();
    site.reload("{\"discovery\": ");
    let (tx, watches) = channel();
    for again in 0..2 {
        // Nobody listens there at first.
        let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        site.config["discovery"] = json!(gone.to_string());
        site.reload(&site.config.to_string());
        site.config["discovery"] = json!(discovery(tx.clone()).to_string());
        site.reload(&site.config.to_string());
        let (request, mut stream) = watches.recv_timeout(PATIENCE).expect("a watch at the new place");
        assert!(request.first.contains("index=0 "), "{}", request.first);
        // The old list holds until the new one comes.
        assert_eq!(site.ask("pay", "1").status(), 200);
        let list = json!({"revision": 7, "complete": true, "members": [site.members[again]]});
        chunk(&mut stream, &format!("{list}\n"));
        until("only the listed server is used", || {
            site.requests();
            (0..8).for_each(|n| assert_eq!(site.ask("pay", &format!("{again}{n}")).status(), 200));
            site.requests().iter().all(|(server, _)| *server == again)
        });
    }
    site.signal("-TERM");
    site.signal("-HUP");
    assert!(site.node.child.wait().unwrap().success());
}
