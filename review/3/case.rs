//! Bad clients send long requests in small pieces, stop before the end and stay. The platform kills a node that takes
//! more memory than its configuration allows. Ordinary clients send requests all the time.

#[path = "../stand-ins/common.rs"]
mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// "32 to 192 MB by language and day, and 256 to 1,024 descriptors; the configuration tells them"
const MEMORY_MB: usize = 48;
const SOCKETS: usize = 512;
/// Bad clients, one request each, at once: "hundreds of requests at once".
const BAD_CLIENTS: u64 = 100;
/// "Bodies hold at most 64 KiB"; each byte comes as a chunk of its own, and the last hundred don't come.
const BODY: usize = 65_000;
const DURATION: Duration = Duration::from_secs(6);

/// Anonymous memory of a process, in KiB: without the program's own file.
fn anonymous_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Whether the disruption is played: not with TROUBLE=0.
fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let (folder, record) = arguments();
    let members: Vec<Member> = (0..4)
        .map(|n| {
            let record = record.clone();
            let serve: Serve = Arc::new(move |request, stream| {
                record.line(&format!("s-{n}: runs {}", request.header("x-txn")));
                thread::sleep(Duration::from_millis(20));
                answer(stream, "200 OK\r\nX-Pressure: {\"queue\":0,\"util\":0.2}", request.header("x-txn").as_bytes())
            });
            Member::new(&format!("s-{n}"), start_server(serve))
        })
        .collect();
    let discovery = Discovery::start(41, members.clone(), record.clone());
    let config = NodeConfig {
        name: "n0".to_owned(),
        listen: free_addr(),
        discovery: discovery.addr,
        known: list_json(41, true, &members),
        settings: settings(5, "ask"),
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
    };
    let mut node = Node::start(&config, &folder, &record);
    let (addr, pid) = (node.addr, node.child.id());
    let (over, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let (served, unanswered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let begin = Instant::now();
    for number in 0..20 {
        let (record, over, next) = (record.clone(), over.clone(), next.clone());
        let (served, unanswered) = (served.clone(), unanswered.clone());
        thread::spawn(move || {
            let mut connection = None;
            while begin.elapsed() < DURATION {
                let Some(mut client) = connection.take().or_else(|| Client::connect(addr).ok()) else { return };
                let id = txn(next.fetch_add(1, Ordering::SeqCst));
                let sent = client.stream.write_all(&request(&id, "join", "7f3a9c21", 1_500));
                match sent.and_then(|()| client.response(Duration::from_secs(3))) {
                    Ok(Some(response)) => {
                        served.fetch_add(u64::from(response.status() == 200), Ordering::SeqCst);
                        connection = (response.header("connection") != "close").then_some(client);
                    }
                    end => {
                        if over.load(Ordering::SeqCst) {
                            unanswered.fetch_add(1, Ordering::SeqCst);
                        }
                        record.line(&format!("client {number}: {id} has no answer: {:?}", end.map(|_| "end")));
                    }
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }
    thread::sleep(Duration::from_millis(500));
    record.line(&format!("the node takes {} KiB", anonymous_kib(pid)));
    if trouble() {
        for n in 0..BAD_CLIENTS {
            thread::spawn(move || {
                let Ok(mut stream) = TcpStream::connect(addr) else { return };
                let mut bytes = format!(
                    "POST /api?key=7f3a9c21 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {}\r\nX-Lane: renew\r\n\
                     X-Org: rygbi-de\r\nX-Remaining-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n",
                    txn(1_000_000 + n)
                )
                .into_bytes();
                bytes.extend(b"1\r\nx\r\n".repeat(BODY - 100));
                let _ = stream.write_all(&bytes);
                let _ = stream.set_read_timeout(Some(DURATION));
                while let Ok(1..) = stream.read(&mut [0; 1024]) {}
            });
        }
        record.line(&format!("{BAD_CLIENTS} clients send a request in pieces and stop before its end"));
    }
    let mut most = 0;
    while begin.elapsed() < DURATION {
        let now = anonymous_kib(pid);
        if now > most + 4_096 {
            record.line(&format!("the node takes {now} KiB"));
        }
        most = most.max(now);
        if now > MEMORY_MB as u64 * 1_024 {
            over.store(true, Ordering::SeqCst);
            record.line(&format!("platform: over {MEMORY_MB} MB, the node is killed"));
            let _ = (node.child.kill(), node.child.wait());
            thread::sleep(Duration::from_millis(500));
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let killed = over.load(Ordering::SeqCst);
    drop(node);
    let served = served.load(Ordering::SeqCst);
    if served == 0 {
        cannot_run("no request was served");
    }
    let text = format!(
        "the node took {most} KiB at most ({MEMORY_MB} MB are {} KiB){}; {served} ordinary requests served, {} open ones \
         ended without an answer",
        MEMORY_MB * 1_024,
        if killed { " and was killed" } else { "" },
        unanswered.load(Ordering::SeqCst)
    );
    verdict(&record, killed, &text)
}
