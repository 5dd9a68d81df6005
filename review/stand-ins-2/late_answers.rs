//! Case 6: servers send some answers twice, the second time some milliseconds late. A client must never be
//! served with an answer that was made for another request.

#[allow(dead_code)]
mod kit;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

/// How long the clients send.
const LENGTH: Duration = Duration::from_secs(25);
/// One way between a node and a server: "1.4 to 2.6 ms one way between them".
const ONE_WAY: Duration = Duration::from_micros(2_000);
/// Of this many answers one is sent twice.
const DOUBLED: u64 = 10;
/// How late the second answer comes, in microseconds after the first.
const LATE_US: (u64, u64) = (4_000, 14_000);

fn main() {
    let record = Record::new();
    limit_duration(&record);
    let doubled = Arc::new(AtomicU64::new(0));
    let random = Arc::new(Mutex::new(Random::new(seed())));
    let serve: Arc<Serve> = {
        let (record, doubled) = (record.clone(), doubled.clone());
        Arc::new(move |number, message, stream| {
            let id = message.header("x-txn").to_owned();
            let (work_us, late_us) = {
                let mut random = random.lock().unwrap();
                let late_us = random.range(LATE_US.0, LATE_US.1);
                (random.range(5_000, 30_000), (random.range(0, DOUBLED) == 0).then_some(late_us))
            };
            thread::sleep(Duration::from_micros(work_us));
            let answer = ok_answer(&format!("answer to {id}"));
            if stream.write_all(&answer).is_err() {
                return false;
            }
            record.line(format!("server {number} ran and answered {id}"));
            if let Some(late_us) = late_us.filter(|_| trouble()) {
                let late = Duration::from_micros(late_us);
                let answered = Instant::now();
                thread::sleep(late);
                // The second answer comes only if nothing else waits on the connection, and only if this
                // thread was not held up meanwhile.
                if nothing_waits(stream) && answered.elapsed() < late + Duration::from_micros(500) {
                    doubled.fetch_add(1, Ordering::Relaxed);
                    let us = answered.elapsed().as_micros();
                    record.line(format!("server {number} sends the answer to {id} again, after {us} us"));
                    return stream.write_all(&answer).is_ok();
                }
            }
            true
        })
    };
    let members: Vec<Member> = (0..5)
        .map(|number| Member::new(&format!("s-{number}"), relay(server(number, serve.clone()), ONE_WAY)))
        .collect();
    let discovery = Discovery::start(record.clone(), members.clone());
    let config = Config::new(discovery.addr, &members);
    let mut node = Node::start("late", config.listen, &config.json());
    let (served, wrong, other) = (counter(), counter(), counter());
    let end = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..24)
        .map(|number| {
            let (record, served, wrong, other) =
                (record.clone(), served.clone(), wrong.clone(), other.clone());
            let listen = config.listen;
            thread::spawn(move || {
                let mut random = Random::new(seed() * 1_000 + number + 1);
                let mut stream = TcpStream::connect(listen).expect("the node accepts");
                while Instant::now() < end {
                    thread::sleep(Duration::from_micros(random.range(0, 100_000)));
                    let class = ["look", "pay"][random.range(0, 2) as usize];
                    let (id, key) = (new_id("q"), format!("k{}", random.range(0, 400)));
                    record.line(format!("client {number} sends {id} {class}"));
                    let reply =
                        exchange(&mut stream, &request(class, &id, &key, 2_000), Duration::from_secs(4));
                    let Reply { status, body, .. } = reply;
                    if status == 200 && body == format!("answer to {id}") {
                        served.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("client {number} is served {id}"));
                    } else if status == 200 {
                        wrong.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("WRONG: client {number} sent {id} and is served the {body}"));
                    } else {
                        other.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("client {number} gets {status} for {id}"));
                        stream = TcpStream::connect(listen).expect("the node accepts");
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let [served, wrong, other, doubled] =
        [&served, &wrong, &other, &doubled].map(|count| count.load(Ordering::Relaxed));
    let figures =
        format!("{served} served, {wrong} served with another's answer, {other} not served; {doubled} second answers");
    if served < 500 || (trouble() && doubled < 20) {
        finish(&record, Some(&mut node), 2, &format!("could not run: {figures}"));
    }
    match wrong {
        0 => finish(&record, Some(&mut node), 0, &format!("held: {figures}")),
        _ => finish(&record, Some(&mut node), 1, &format!("broken: {figures}")),
    }
}

fn counter() -> Arc<AtomicU64> {
    Arc::default()
}

/// Whether no byte waits on the connection.
fn nothing_waits(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let waits = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    waits.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
