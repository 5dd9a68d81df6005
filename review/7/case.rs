//! Case 7: two servers whose ids have the same number at the node. One is terminated, then the other begins to
//! drain. Nothing new may reach the latter after the grace.

#[allow(dead_code)]
#[path = "../stand-ins-2/kit.rs"]
mod kit;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::*;

/// In the form of the protocol page, `s-5be2a07c`.
const IDS: [&str; 6] = ["s-29012632", "s-1b0f6aeb", "s-5be2a07c", "s-00c4e7d1", "s-9a3f5510", "s-e1d08b44"];
/// The one that is terminated, and the one that drains 2 s later.
const TERMINATED: usize = 0;
const DRAINING: usize = 1;
/// `rules.stop-sending-within`, and the 50 ms by which each limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// A send counts from its first byte and is noted when it is read whole: so much is allowed for that.
const READING: Duration = Duration::from_millis(20);

fn main() {
    let record = Record::new();
    limit_duration(&record);
    let received: Arc<Mutex<Vec<(usize, Duration, String)>>> = Arc::default();
    let serve: Arc<Serve> = {
        let (record, received) = (record.clone(), received.clone());
        Arc::new(move |number, message, stream| {
            let id = message.header("x-txn").to_owned();
            let at = record.line(format!("server {} runs {id}", IDS[number]));
            received.lock().unwrap().push((number, at, id.clone()));
            thread::sleep(Duration::from_millis(40));
            stream.write_all(&ok_answer(&format!("answer to {id}"))).is_ok()
        })
    };
    let members: Vec<Member> =
        (0..IDS.len()).map(|number| Member::new(IDS[number], server(number, serve.clone()))).collect();
    let discovery = Discovery::start(record.clone(), members.clone());
    let config = Config::new(discovery.addr, &members);
    let mut node = Node::start("number", config.listen, &config.json());
    let listen = config.listen;
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..10)
        .map(|number| {
            let (record, stop, served) = (record.clone(), stop.clone(), served.clone());
            thread::spawn(move || {
                let mut random = Random::new(seed() * 1_000 + number + 1);
                let mut stream = TcpStream::connect(listen).expect("the node accepts");
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_micros(random.range(10_000, 110_000)));
                    let class = ["look", "pay"][random.range(0, 2) as usize];
                    let (id, key) = (new_id("q"), format!("k{}", random.range(0, 400)));
                    let reply =
                        exchange(&mut stream, &request(class, &id, &key, 2_000), Duration::from_secs(4));
                    record.line(format!("client {number} gets {} for {id} {class}", reply.status));
                    if reply.status == 200 {
                        served.fetch_add(1, Ordering::Relaxed);
                    } else {
                        stream = TcpStream::connect(listen).expect("the node accepts");
                    }
                }
            })
        })
        .collect();
    // The node's watch is open by then.
    thread::sleep(Duration::from_secs(5));
    if trouble() {
        discovery.change(Member { phase: "terminated", ..members[TERMINATED].clone() });
    }
    thread::sleep(Duration::from_secs(2));
    let revision = discovery.change(Member { phase: "terminating", ..members[DRAINING].clone() });
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let written = discovery.state.0.lock().unwrap().written.clone();
    let told = written.iter().find(|(at, _)| *at >= revision).map(|(_, at)| *at);
    let served = served.load(Ordering::Relaxed);
    let Some(told) = told.filter(|_| served > 300) else {
        finish(&record, Some(&mut node), 2, &format!("could not run: {served} served, no watch was told"));
    };
    let received = received.lock().unwrap();
    let before = received.iter().filter(|(number, at, _)| *number == DRAINING && *at < told).count();
    let late: Vec<_> =
        received.iter().filter(|(number, at, _)| *number == DRAINING && *at > told + GRACE + READING).collect();
    for (number, at, id) in &late {
        record.line(format!("LATE: {id} reached {} {:?} after the node was told", IDS[*number], *at - told));
    }
    let figures = format!(
        "{served} served; {before} requests reached the server before the node was told, {} later than the grace after",
        late.len()
    );
    match late.len() {
        _ if before < 10 => finish(&record, Some(&mut node), 2, &format!("could not run: {figures}")),
        0 => finish(&record, Some(&mut node), 0, &format!("held: {figures}")),
        _ => finish(&record, Some(&mut node), 1, &format!("broken: {figures}")),
    }
}
