//! A node is told that a server drains. Later a new configuration names another agent, which has an older list: it is told
//! the same some seconds later. Once told, the node sends nothing new to the server.

#[path = "../stand-ins/kit.rs"]
mod kit;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const SERVERS: usize = 6;
const CLIENTS: usize = 20;
const WORK: Duration = Duration::from_millis(40);
/// The time in which sends must end, and the slack on sockets.
const GRACE: Duration = Duration::from_millis(550);
/// When the new configuration comes, after the change.
const RELOADED_AFTER: Duration = Duration::from_millis(1500);
/// How late the second agent is; the site's lists come 1.8 to 4.7 s late.
const SECOND_AGENT_LATE: Duration = Duration::from_millis(4500);

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    // Requests by server: when their last byte had come.
    let arrived: Arc<Mutex<Vec<(usize, Instant, String)>>> = Arc::default();
    let members: Vec<Listed> = (0..SERVERS)
        .map(|i| {
            let arrived = arrived.clone();
            let handler: Handler = Arc::new(move |request: &Message| {
                if let Some(txn) = request.header("x-txn") {
                    arrived.lock().unwrap().push((i, Instant::now(), txn.to_owned()));
                }
                let headers = "X-Pressure: {\"queue\":0,\"util\":0.20}\r\n".into();
                Reply::Answer { after: WORK, status: 200, headers, body: b"done".to_vec() }
            });
            Listed {
                id: format!("s-{i}"),
                addr: start_server(handler),
                zone: "swansea".into(),
                cell: 0,
                phase: "in_service",
                up_since_ms: 0,
                changed: 0,
            }
        })
        .collect();
    let classes = [
        ClassSpec { name: "lookup", semantics: "safe", deadline_ms: 2000, aim_ms: 500 },
        ClassSpec { name: "renew", semantics: "unsafe", deadline_ms: 2500, aim_ms: 1200 },
    ];
    let known = list_json(41, true, &members);
    let first_agent = Discovery::start(members.clone(), 41, &record);
    let second_agent = Discovery::start(members, 41, &record);
    let config = NodeConfig {
        name: "n0".into(),
        discovery: first_agent.addr,
        memory_mb: 64,
        sockets: 512,
        known,
        settings: settings_with_lists("push", 1, &classes, "all", 5000),
    };
    let node = config.start().unwrap_or_else(|e| cannot_run(e));
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for number in 0..CLIENTS {
        let (stop, served, listen) = (stop.clone(), served.clone(), node.listen);
        small_thread(move || {
            while !stop.load(Ordering::Relaxed) {
                let txn = next_txn();
                let head = format!(
                    "HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Org: rygbi-de\r\nX-Remaining-Ms: 1600\r\nConnection: close\r\n"
                );
                let request = match number % 2 {
                    0 => format!("GET /api?key={txn} {head}X-Lane: lookup\r\n\r\n"),
                    _ => format!("POST /api?key={txn} {head}X-Lane: renew\r\nContent-Length: 0\r\n\r\n"),
                };
                if ask(listen, &request, &[], 3000).is_ok_and(|answer| answer.status == 200) {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(60));
            }
        });
    }
    record.say(format!("trouble: {}", trouble()));
    thread::sleep(Duration::from_secs(3));
    first_agent.change(|members| members[0].phase = "terminating");
    let told = Instant::now();
    record.say("the first agent has it that s-0 drains");
    thread::sleep(RELOADED_AFTER);
    if trouble() {
        std::fs::write(&node.config_path, config.json(node.listen, second_agent.addr)).unwrap_or_else(|e| cannot_run(e));
        node.signal(SIGHUP);
        record.say("a new configuration names the second agent");
    }
    thread::sleep(SECOND_AGENT_LATE.saturating_sub(told.elapsed()));
    second_agent.change(|members| members[0].phase = "terminating");
    record.say("the second agent has it that s-0 drains");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let mut late = 0;
    for (server, at, txn) in arrived.lock().unwrap().iter() {
        let after = at.saturating_duration_since(told);
        record.line(format!("s-{server} got {txn}, {} ms after the first agent had the drain", after.as_millis()));
        if *server == 0 && after > GRACE {
            late += 1;
            record.say(format!("BROKEN: s-0 got {txn} {} ms after the node was told that it drains", after.as_millis()));
        }
    }
    record.say(format!("served {}, sent to the draining server too late {late}", served.load(Ordering::Relaxed)));
    if served.load(Ordering::Relaxed) < 500 {
        cannot_run("too few requests were served");
    }
    finish(vec![node], late > 0)
}
