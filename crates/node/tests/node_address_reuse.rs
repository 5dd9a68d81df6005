//! Tests that a server process which comes up at the address of one that has gone is another server: the platform's
//! node sends it no request that was meant for the other one, and uses no connection of that one.

mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;
use serde_json::{json, Value};

/// Requests that are sent once the list is in effect, each with a key of its own.
const REQUESTS: usize = 40;

/// A stand-in server process. Its connections stay open when it stops to listen, as those of a machine that is cut off.
struct ServerProcess {
    addr: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    stopped: Arc<AtomicBool>,
    listening: Option<thread::JoinHandle<()>>,
}

impl ServerProcess {
    fn start(addr: SocketAddr) -> ServerProcess {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let (received, stopped) = (Arc::<Mutex<Vec<String>>>::default(), Arc::<AtomicBool>::default());
        let (requests, stop) = (received.clone(), stopped.clone());
        let listening = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let requests = requests.clone();
                thread::spawn(move || serve_connection(stream, &requests));
            }
        });
        ServerProcess { addr, received, stopped, listening: Some(listening) }
    }

    /// Stops to listen. The address can be used again afterwards.
    fn stop_listening(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        TcpStream::connect(self.addr).unwrap();
        self.listening.take().unwrap().join().unwrap();
    }

    fn received(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

fn serve_connection(stream: TcpStream, requests: &Mutex<Vec<String>>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let mut output = stream;
    while let Some(request) = HttpMessage::read(&mut input) {
        let id = request.header("x-txn").to_owned();
        requests.lock().unwrap().push(id.clone());
        let _ = write!(output, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
    }
}

fn member(id: &str, addr: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": addr.to_string(), "locality": "a", "flavor": "f", "cell": 0, "phase": phase,
        "size": 1.0, "up_since_ms": 0})
}

/// How the list tells of the server that has gone when another one is listed at its address.
#[derive(Clone, Copy, Debug)]
enum OldEntry {
    /// It is removed in the same update.
    Removed,
    /// It drains in the same update.
    Drains,
    /// It stays listed as in service.
    Stays,
    /// It is missing in a complete list.
    Missing,
}

// Guards against work in the wrong place: requests for the server that has gone reach the new process, or go out on a
// connection that leads to the old one.
#[test]
fn process_at_the_address_of_one_that_has_gone_is_another_server() {
    for old_entry in [OldEntry::Removed, OldEntry::Drains, OldEntry::Stays, OldEntry::Missing] {
        let test_node = TestNode::new(1);
        let mut old = ServerProcess::start(SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut config = test_node.config.clone();
        config["known"]["members"] = json!([member("old", old.addr, "in_service")]);
        let (_, _first_watch) = test_node.next_watch();
        let node = NodeProcess::start(&config);
        let (_, mut watch) = test_node.next_watch();
        let send = |n: usize| {
            let (key, id) = (format!("k{n}"), new_id());
            let response = node.send_raw(&request_with_key(&key, "pay", &id, 60_000));
            (response.status(), response.body == id.as_bytes())
        };
        // The node keeps connections to the old process.
        (0..REQUESTS).for_each(|n| assert_eq!(send(n), (200, true)));
        assert_eq!(old.received(), REQUESTS);
        old.stop_listening();
        let new = ServerProcess::start(old.addr);
        let mut entries = vec![member("new", new.addr, "in_service")];
        match old_entry {
            OldEntry::Removed => entries.push(member("old", old.addr, "terminated")),
            OldEntry::Drains => entries.push(member("old", old.addr, "terminating")),
            OldEntry::Stays => entries.push(member("old", old.addr, "in_service")),
            OldEntry::Missing => {}
        }
        if let OldEntry::Stays = old_entry {
            // The entry that comes last owns the address.
            entries.rotate_left(1);
        }
        let complete = matches!(old_entry, OldEntry::Missing);
        let list = json!({"revision": 50, "complete": complete, "members": entries});
        write_chunk(&mut watch, &format!("{list}\n"));
        wait_until("the list is in effect", || {
            let before = new.received();
            send(0) == (200, true) && new.received() > before
        });
        let (old_before, new_before) = (old.received(), new.received());
        (0..REQUESTS).for_each(|n| assert_eq!(send(n), (200, true), "{old_entry:?} {n}"));
        let reached = (old.received() - old_before, new.received() - new_before);
        assert_eq!(reached, (0, REQUESTS), "{old_entry:?}: requests at the old and the new process");
        let mut ids = [old.received.lock().unwrap().clone(), new.received.lock().unwrap().clone()].concat();
        let all = ids.len();
        ids.sort();
        ids.dedup();
        assert_eq!(ids.len(), all, "{old_entry:?}: a request ran twice");
    }
}
