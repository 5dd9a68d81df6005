//! Case 7: a node with 32 MB in a fleet of 3,200 servers, while requests and answers are long. The platform kills
//! a node that takes more memory than its configuration allows.

#[allow(dead_code)]
#[path = "../stand-ins-2/kit.rs"]
mod kit;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

/// "fleets with up to sixteen times the servers (3,200 at most)".
const SERVERS: usize = 3_200;
/// They run in this many processes, as a process may hold few descriptors.
const PROCESSES: usize = 8;
/// "32 to 192 MB by language and day, and 256 to 1,024 descriptors".
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 512;
/// "Bodies hold at most 64 KiB".
const LONG: usize = 64 * 1024;
const SHORT: usize = 100;
/// Of ten requests, so many are long and have a long answer.
const LONG_IN_TEN: u64 = 8;
/// Clients, each with one connection. Together they send some 300 requests a second.
const CLIENTS: u64 = 60;
const LENGTH: Duration = Duration::from_secs(30);
/// "mean work 38 to 69 ms" and more.
const WORK: Duration = Duration::from_millis(50);

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

extern "C" {
    fn poll(fds: *mut PollFd, count: std::ffi::c_ulong, timeout_ms: i32) -> i32;
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("servers") => servers(SERVERS / PROCESSES),
        _ => test(),
    }
}

/// Runs stand-in servers until the standard input ends; prints their addresses.
fn servers(count: usize) {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.set_nonblocking(true).expect("a non-blocking listener");
            listener
        })
        .collect();
    let addresses: Vec<String> =
        listeners.iter().map(|listener| listener.local_addr().unwrap().to_string()).collect();
    println!("{}", addresses.join(" "));
    thread::spawn(move || loop {
        let mut fds: Vec<PollFd> = listeners
            .iter()
            .map(|listener| PollFd { fd: listener.as_raw_fd(), events: 1, revents: 0 })
            .collect();
        // The descriptors are open, and the pointer leads to as many entries as are named.
        unsafe { poll(fds.as_mut_ptr(), fds.len() as std::ffi::c_ulong, 1_000) };
        for (listener, fd) in listeners.iter().zip(&fds) {
            while fd.revents != 0 {
                let Ok((stream, _)) = listener.accept() else { break };
                let _ = stream.set_nonblocking(false);
                thread::spawn(move || serve(stream));
            }
        }
    });
    let _ = std::io::stdin().read_line(&mut String::new());
}

/// Answers each request with a body as long as its own, behind its id.
fn serve(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    while let Some(message) = Message::read(&mut stream) {
        thread::sleep(WORK);
        let mut body = format!("{} ", message.header("x-txn"));
        body.extend(std::iter::repeat_n('y', message.body.len().saturating_sub(body.len())));
        if stream.write_all(&ok_answer(&body)).is_err() {
            return;
        }
    }
}

fn long_request(id: &str, key: &str, length: usize) -> Vec<u8> {
    let head = format!(
        "POST /api?key={key} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: pay\r\nX-Org: acme\r\n\
        X-Remaining-Ms: 2400\r\nContent-Length: {length}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'x'; length]].concat()
}

/// The memory of the process that is resident, in KiB.
fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

fn test() {
    let record = Record::new();
    limit_duration(&record);
    let mut processes = Vec::new();
    let mut members = Vec::new();
    for _ in 0..PROCESSES {
        let mut command = Command::new(std::env::current_exe().unwrap());
        end_with_this_process(&mut command);
        command.arg("servers").stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut process = command.spawn().expect("the servers start");
        let mut line = String::new();
        BufReader::new(process.stdout.take().unwrap()).read_line(&mut line).expect("the addresses");
        for address in line.split_whitespace() {
            let address: SocketAddr = address.parse().expect("an address");
            let id = 0x5be2_a07d_u32.wrapping_mul(members.len() as u32 + 1);
            members.push(Member::new(&format!("s-{id:08x}"), address));
        }
        processes.push(process);
    }
    record.line(format!("{} servers run", members.len()));
    let discovery = Discovery::start(record.clone(), members.clone());
    let mut config = Config::new(discovery.addr, &members);
    (config.memory_mb, config.sockets) = (MEMORY_MB, SOCKETS);
    config.more = r#""group-size":6,"me":0"#.into();
    let mut node = Node::start("memory", config.listen, &config.json());
    let stop = Arc::new(AtomicBool::new(false));
    let (served, other, open) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, stop) = (record.clone(), stop.clone());
            let (served, other, open) = (served.clone(), other.clone(), open.clone());
            let listen = config.listen;
            thread::spawn(move || {
                let mut random = Random::new(seed() * 1_000 + number + 1);
                let mut stream = None;
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(random.range(0, 270)));
                    let Some(connected) = stream.take().or_else(|| TcpStream::connect(listen).ok()) else {
                        continue;
                    };
                    let mut connected: TcpStream = connected;
                    let long = trouble() && random.range(0, 10) < LONG_IN_TEN;
                    let length = if long { LONG } else { SHORT };
                    let (id, key) = (new_id("q"), format!("k{}", random.range(0, 6_000)));
                    record.line(format!("client {number} sends {id}, {length} bytes"));
                    open.fetch_add(1, Ordering::Relaxed);
                    let request = long_request(&id, &key, length);
                    let reply = exchange(&mut connected, &request, Duration::from_secs(4));
                    open.fetch_sub(1, Ordering::Relaxed);
                    record.line(format!("client {number} gets {} for {id}", reply.status));
                    let count = if reply.status == 200 { &served } else { &other };
                    count.fetch_add(1, Ordering::Relaxed);
                    if reply.status == 200 {
                        stream = Some(connected);
                    }
                }
            })
        })
        .collect();
    let limit_kb = u64::from(MEMORY_MB) * 1024;
    // With KILL=0 the node runs on, to see how much it would take.
    let only_measured = std::env::var("KILL").is_ok_and(|value| value == "0");
    let (mut peak, mut killed, mut logged) = (0, None, Instant::now());
    let end = Instant::now() + LENGTH;
    while Instant::now() < end && killed.is_none() {
        thread::sleep(Duration::from_millis(10));
        if let Some(status) = node.ended() {
            finish(&record, Some(&mut node), 1, &format!("broken: the node ended by itself: {status}"));
        }
        let resident = resident_kb(node.pid()).unwrap_or(0);
        peak = peak.max(resident);
        if logged.elapsed() > Duration::from_secs(1) {
            logged = Instant::now();
            record.line(format!("the node has {resident} KiB"));
        }
        if resident > limit_kb && !only_measured {
            killed = Some(open.load(Ordering::Relaxed));
            record.line(format!("the node has {resident} KiB, over {limit_kb}: the platform kills it"));
            node.signal(SIGKILL);
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    for mut process in processes {
        let _ = process.kill();
        let _ = process.wait();
    }
    let (served, other) = (served.load(Ordering::Relaxed), other.load(Ordering::Relaxed));
    let figures = format!("peak {peak} KiB of {limit_kb}; {served} served, {other} not served");
    match killed {
        Some(open) => {
            let seen = format!("the node took more memory than it may and was killed with {open} requests open");
            finish(&record, Some(&mut node), 1, &format!("broken: {seen}: {figures}"))
        }
        None if only_measured => finish(&record, Some(&mut node), 2, &format!("only measured: {figures}")),
        None if served < 500 => finish(&record, Some(&mut node), 2, &format!("could not run: {figures}")),
        None => finish(&record, Some(&mut node), 0, &format!("held: {figures}")),
    }
}
