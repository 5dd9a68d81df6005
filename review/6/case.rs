//! Case 6: bad clients send requests with the id of another client's open request. None of them may be served,
//! and no request of an unsafe class may run twice.

#[allow(dead_code)]
#[path = "../stand-ins-2/kit.rs"]
mod kit;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const LENGTH: Duration = Duration::from_secs(25);
/// "mean work 52 to 93 ms" for a class that must never run twice.
const WORK: Duration = Duration::from_millis(60);
const USUAL_CLIENTS: u64 = 8;
const BAD_CLIENTS: usize = 16;
/// Bad clients that connect and say nothing: "others connect by hundreds and say nothing".
const SILENT_CLIENTS: usize = 300;

/// What the test knows of a request by its id.
#[derive(Default)]
struct Known {
    /// Runs at servers.
    runs: u64,
    /// When the server began to write its answer to the usual client.
    answered: Option<Duration>,
}

type Table = Arc<Mutex<HashMap<String, Known>>>;

fn main() {
    let record = Record::new();
    limit_duration(&record);
    let table: Table = Arc::default();
    // Ids that a server is running for a usual client: these are open at the node.
    let open: Arc<Mutex<Vec<String>>> = Arc::default();
    let serve: Arc<Serve> = {
        let (record, table, open) = (record.clone(), table.clone(), open.clone());
        Arc::new(move |number, message, stream| {
            let id = message.header("x-txn").to_owned();
            let of_usual_client = message.body == b"body";
            let whose = if of_usual_client { "a usual client" } else { "a bad client" };
            table.lock().unwrap().entry(id.clone()).or_default().runs += 1;
            record.line(format!("server {number} runs {id} of {whose}"));
            if of_usual_client {
                open.lock().unwrap().push(id.clone());
            }
            thread::sleep(WORK);
            if of_usual_client {
                open.lock().unwrap().retain(|other| *other != id);
                let at = record.line(format!("server {number} answers {id}"));
                table.lock().unwrap().entry(id.clone()).or_default().answered = Some(at);
            }
            stream.write_all(&ok_answer(&format!("answer to {id}"))).is_ok()
        })
    };
    let members: Vec<Member> =
        (0..4).map(|number| Member::new(&format!("s-{number}"), server(number, serve.clone()))).collect();
    let discovery = Discovery::start(record.clone(), members.clone());
    let config = Config::new(discovery.addr, &members);
    let mut node = Node::start("ids", config.listen, &config.json());
    let listen = config.listen;
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (record, served, stop) = (record.clone(), served.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let mut random = Random::new(seed() * 1_000 + number + 1);
            let mut stream = TcpStream::connect(listen).expect("the node accepts");
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_micros(random.range(10_000, 90_000)));
                let (id, key) = (new_id("q"), format!("k{}", random.range(0, 200)));
                record.line(format!("usual client {number} sends {id} pay"));
                let reply = exchange(&mut stream, &request("pay", &id, &key, 2_000), Duration::from_secs(4));
                record.line(format!("usual client {number} gets {} for {id}", reply.status));
                if reply.status == 200 {
                    served.fetch_add(1, Ordering::Relaxed);
                } else {
                    stream = TcpStream::connect(listen).expect("the node accepts");
                }
            }
        }));
    }
    let bad_served: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let sent_bad = Arc::new(AtomicU64::new(0));
    for number in 0..if trouble() { BAD_CLIENTS } else { 0 } {
        let (record, open, stop) = (record.clone(), open.clone(), stop.clone());
        let (bad_served, sent_bad) = (bad_served.clone(), sent_bad.clone());
        clients.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut stream) = TcpStream::connect(listen) else { continue };
                let _ = stream.set_nodelay(true);
                let id = {
                    let open = open.lock().unwrap();
                    open.get(number % open.len().max(1)).cloned()
                };
                let Some(id) = id else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let text = String::from_utf8(request("pay", &id, "k1", 2_000)).expect("a text");
                let text = text.replace("\r\n\r\nbody", "\r\n\r\nevil");
                let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                if stream.write_all(text.as_bytes()).is_err() {
                    continue;
                }
                // The last byte was written before this moment.
                let written = record.now();
                sent_bad.fetch_add(1, Ordering::Relaxed);
                let status = Message::read(&mut stream).map_or(0, |answer| answer.status());
                if status == 200 {
                    record.line(format!("bad client {number} sent {id} by {written:?} and is SERVED"));
                    bad_served.lock().unwrap().push((id, written));
                }
            }
        }));
    }
    for _ in 0..if trouble() { SILENT_CLIENTS } else { 0 } {
        let stop = stop.clone();
        clients.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(500)) else {
                    continue;
                };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                let _ = stream.read(&mut [0; 512]);
            }
        }));
    }
    let end = Instant::now() + LENGTH;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
        if let Some(status) = node.ended() {
            finish(&record, Some(&mut node), 1, &format!("broken: the node ended: {status}"));
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let table = table.lock().unwrap();
    // Only those count that were written before the server began to answer the usual client.
    let bad_served = bad_served.lock().unwrap();
    let while_open = |(id, written): &&(String, Duration)| {
        table.get(id).and_then(|known| known.answered).is_some_and(|answered| *written < answered)
    };
    let counted: Vec<&(String, Duration)> = bad_served.iter().filter(while_open).collect();
    let twice = counted.iter().filter(|(id, _)| table.get(id).is_some_and(|known| known.runs > 1)).count();
    for (id, written) in &counted {
        record.line(format!("BROKEN: {id}, sent by a bad client by {written:?} while it was open, was served"));
    }
    let (served, sent_bad) = (served.load(Ordering::Relaxed), sent_bad.load(Ordering::Relaxed));
    let figures = format!(
        "{served} requests of usual clients served; {sent_bad} of bad clients sent, {} served, {} of these sent \
        while the id was open; {twice} ids of an unsafe class ran twice by them",
        bad_served.len(),
        counted.len()
    );
    drop(table);
    if served < 300 || (trouble() && sent_bad < 200) {
        finish(&record, Some(&mut node), 2, &format!("could not run: {figures}"));
    }
    match counted.len() {
        0 => finish(&record, Some(&mut node), 0, &format!("held: {figures}")),
        _ => finish(&record, Some(&mut node), 1, &format!("broken: {figures}")),
    }
}
