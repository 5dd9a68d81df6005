//! Lists are pushed. A server begins to drain during a planned restart of a node, and discovery goes down just then, so
//! that the agent on the node's machine is silent. The server ends some seconds after its drain has begun.

#[path = "../stand-ins/common.rs"]
mod common;

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SERVERS: usize = 4;
/// "discovery is down for 8 s"
const OUTAGE: Duration = Duration::from_secs(8);
/// From the start of its drain to the end of the server's process.
const DRAIN: Duration = Duration::from_secs(4);
/// "nothing new to a web box later than 500 ms after the node was told"; each time limit is 50 ms longer on sockets.
const GRACE_MS: f64 = 550.0;

fn main() {
    let (folder, record) = arguments();
    let arrivals: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let members: Vec<Member> = (0..SERVERS)
        .map(|n| {
            let (record, arrivals, ended) = (record.clone(), arrivals.clone(), ended.clone());
            let serve: Serve = Arc::new(move |request, stream| {
                let id = request.header("x-txn");
                if n == 0 {
                    arrivals.lock().unwrap().push((record.ms(), id.to_owned()));
                }
                record.line(&format!("s-{n}: runs {id}"));
                let begin = Instant::now();
                while begin.elapsed() < Duration::from_millis(150) {
                    if n == 0 && ended.load(Ordering::SeqCst) {
                        record.line(&format!("s-0: has ended, {id} is cut off"));
                        return false;
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                answer(stream, "200 OK\r\nX-Pressure: {\"queue\":0,\"util\":0.3}", id.as_bytes())
            });
            Member::new(&format!("s-{n}"), start_server(serve))
        })
        .collect();
    let agent = Discovery::start(41, members.clone(), record.clone());
    let config = NodeConfig {
        name: "n0".to_owned(),
        listen: free_addr(),
        discovery: agent.addr,
        known: list_json(41, true, &members),
        settings: settings(5, "push"),
        sockets: 1_024,
        memory_mb: 128,
    };
    let mut node = Node::start(&config, &folder, &record);
    thread::sleep(Duration::from_secs(1));
    record.line("platform: planned restart, SIGTERM");
    node.signal("TERM");
    let exit = node.child.wait();
    record.line(&format!("platform: n0 has ended: {exit:?}"));
    drop(node);

    agent.change(Member { phase: "terminating", ..members[0].clone() });
    let drain_began = Instant::now();
    record.line("s-0 begins to drain, and the agent has it");
    thread::sleep(Duration::from_millis(200));
    if trouble() {
        record.line("discovery is down, the agent is silent");
        agent.set_silent(true);
        let (agent, record) = (agent.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(OUTAGE);
            record.line("discovery is back");
            agent.set_silent(false);
        });
    }
    // The configuration names the list as the node last had it.
    let node = Node::start(&config, &folder, &record);
    let ready_ms = record.ms();
    {
        let (ended, record) = (ended.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(DRAIN.saturating_sub(drain_began.elapsed()));
            record.line("s-0 ends");
            ended.store(true, Ordering::SeqCst);
        });
    }
    let addr = node.addr;
    let clients: Vec<_> = (0..360u64)
        .map(|n| {
            thread::sleep(Duration::from_millis(10));
            let record = record.clone();
            thread::spawn(move || {
                let id = txn(n);
                let mut client = Client::connect(addr).ok()?;
                client.stream.write_all(&request(&id, "join", &format!("k{n}"), 1_500)).ok()?;
                let status = client.response(Duration::from_millis(2_500)).ok()??.status();
                record.line(&format!("client: {id} join answered {status}"));
                Some((id, status))
            })
        })
        .collect();
    let answers: Vec<(String, u16)> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    drop(node);
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    if served == 0 {
        cannot_run("no request was served");
    }
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<&(f64, String)> = arrivals.iter().filter(|(ms, _)| *ms > ready_ms + GRACE_MS).collect();
    let failed = late
        .iter()
        .filter(|(_, id)| answers.iter().any(|(other, status)| other == id && ![200, 429, 503].contains(status)))
        .count();
    let text = format!(
        "{served} of {} joins served; {} new ones reached the draining server later than {GRACE_MS} ms after the new process \
         was ready, the last after {:.0} ms; {failed} of these failed as the server ended",
        answers.len(),
        late.len(),
        late.last().map_or(0.0, |(ms, _)| ms - ready_ms)
    );
    verdict(&record, !late.is_empty(), &text)
}
