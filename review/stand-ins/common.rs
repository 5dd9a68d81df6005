//! Stand-ins for clients, servers, discovery and the platform, with the standard library alone.
//!
//! Servers and discovery follow the protocol page. The platform starts the node with the `run` line of
//! `deploy/balancer.toml`. Every address is a loopback address with a free port.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Writes `record.txt`: what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn new(path: &Path) -> Record {
        Record(Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))), Instant::now())
    }

    pub fn line(&self, text: &str) {
        let ms = self.1.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.0.lock().unwrap(), "{ms:10.1} {text}");
    }

    /// Time since the start in milliseconds.
    pub fn ms(&self) -> f64 {
        self.1.elapsed().as_secs_f64() * 1e3
    }
}

/// The head of an HTTP message and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Reads a message whose body has a `Content-Length` or none. `Ok(None)` is an end before the first byte.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let start = line.trim_end().to_owned();
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        Ok(Some(Message { start, headers, body }))
    }
}

/// What a server does with a request: it writes its answer to the stream, and returns whether to go on.
pub type Serve = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Starts a server. Connections carry one request at a time.
pub fn start_server(serve: Serve) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = Message::read(&mut reader) {
                    if !serve(&request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    addr
}

/// Writes an answer with a body of the right length.
pub fn answer(stream: &mut TcpStream, head: &str, body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    stream.write_all(&text).is_ok()
}

/// A server as discovery lists it.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Member {
    pub fn new(id: &str, addr: SocketAddr) -> Member {
        Member { id: id.to_owned(), addr, zone: "cathays".to_owned(), phase: "in_service", up_since_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"full-box","cell":0,"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.addr, self.zone, self.phase, self.up_since_ms
        )
    }
}

/// A list in discovery's form.
pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    members: Vec<Member>,
    /// Lists of changes by their revision.
    changes: Vec<(u64, Vec<Member>)>,
    /// While silent, it takes connections and calls and writes nothing.
    silent: bool,
}

/// Discovery, or the agent that pushes lists: one list, its changes, and watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn start(revision: u64, members: Vec<Member>, record: Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let state = DiscoveryState { revision, members, ..DiscoveryState::default() };
        let discovery = Discovery { addr, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (discovery, record) = (accepting.clone(), record.clone());
                thread::spawn(move || discovery.serve(stream, record));
            }
        });
        discovery
    }

    pub fn members(&self) -> Vec<Member> {
        self.state.0.lock().unwrap().members.clone()
    }

    pub fn revision(&self) -> u64 {
        self.state.0.lock().unwrap().revision
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        self.state.1.notify_all();
    }

    /// Changes one entry, or adds it.
    pub fn change(&self, member: Member) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.members.retain(|other| other.id != member.id);
        if member.phase != "terminated" {
            state.members.push(member.clone());
        }
        state.changes.push((revision, vec![member]));
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, record: Record) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let call = Message::read(&mut BufReader::new(stream)).ok()??;
        let index = call.start.split("index=").nth(1).unwrap_or("0");
        let mut known: u64 = index.split([' ', '&']).next().unwrap_or("0").parse().unwrap_or(0);
        record.line(&format!("discovery: call from revision {known}"));
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let mut head_sent = false;
        let mut state = self.state.0.lock().unwrap();
        let mut first = true;
        let mut last_line = Instant::now();
        loop {
            while state.silent {
                state = self.state.1.wait(state).unwrap();
            }
            let mut text = String::new();
            if !head_sent {
                text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .to_owned();
                head_sent = true;
            }
            let oldest = state.changes.first().map_or(state.revision, |(revision, _)| revision - 1);
            if first && (known == 0 || known < oldest || known > state.revision) {
                text += &chunk(&(list_json(state.revision, true, &state.members) + "\n"));
                record.line(&format!("discovery: whole list, revision {}", state.revision));
                known = state.revision;
            }
            for (revision, members) in state.changes.iter().filter(|(revision, _)| *revision > known) {
                text += &chunk(&(list_json(*revision, false, members) + "\n"));
                record.line(&format!("discovery: change {} {}, revision {revision}", members[0].id, members[0].phase));
            }
            known = known.max(state.revision);
            if (first && !text.contains("revision")) || last_line.elapsed() > Duration::from_millis(1_900) {
                text += &chunk("\n");
            }
            first = false;
            if !text.is_empty() {
                last_line = Instant::now();
                writer.write_all(text.as_bytes()).ok()?;
            }
            state = self.state.1.wait_timeout(state, Duration::from_millis(500)).unwrap().0;
        }
    }
}

/// Settings of a small deployment, as the wire page shows them, with these lines in place of others.
pub fn settings(nodes: usize, mode: &str) -> String {
    format!(
        r#"{{"group-size":{nodes},"me":0,"tier":0,"tiers":["members-web"],"family":"proxy","granularity":5000,
"registry-mode":"{mode}","weight-source":"nominal","worth-by":"work","over-share-worth":0.1,
"zones":["cathays","bangor","swansea"],"locality":"cathays","kinds":["full-box","slow-box"],
"domain":{{"warm-keys":true}},"clients":{{"marks-retry":true}},
"report":{{"fields":["queue","util"],"how":"inline"}},
"bounds":{{"cancelling":true,"dial-timeout":250000,"keepalive":30000000,"max-attempts":5,"max-retry-after":2000000,
"max-streams":1,"may-probe":true,"open-cap":28741,"peer-messages":true,"retry-after":true,"second-copies":true}},
"rules":{{"answer-slack":20000,"ask-within":10000000,"fall-multiple":2.5,"overload-for":1000000,"ramp-time":9000000,
"start-capacity":0.31,"stop-sending-within":500000}},
"classes":[
{{"name":"lookup","aim":500000,"deadline":2000000,"semantics":"safe","key-scope":"all","key-ttl":5000000,"late-share":0.2,"points":2.0,"stream":false}},
{{"name":"renew","aim":1200000,"deadline":2500000,"semantics":"unsafe","key-scope":"all","key-ttl":5000000,"late-share":0.3,"points":2.0,"stream":false}},
{{"name":"join","aim":1200000,"deadline":3000000,"semantics":"unsafe","key-scope":"all","key-ttl":5000000,"late-share":0.2,"points":5.0,"stream":false}}],
"tenants":[{{"name":"rygbi-de","quota-per-s":0.0,"share":0.58}},{{"name":"nofio-gogledd","quota-per-s":0.0,"share":0.42}}]}}"#
    )
}

/// The limits and addresses with which the platform starts a node.
pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
    pub sockets: usize,
    pub memory_mb: usize,
}

impl NodeConfig {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            self.name, self.listen, self.discovery, self.memory_mb, self.sockets, self.known, self.settings
        )
    }
}

/// A running node; killed when dropped.
pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    pub file: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends the script with 2: the case couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    println!("cannot run: {reason}");
    std::process::exit(2)
}

/// The command of a line of `deploy/balancer.toml`.
fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{key} = \""))).unwrap_or_default();
    line.split('"').next().unwrap_or_default().to_owned()
}

/// A free loopback address.
pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

impl Node {
    /// Starts a node with the `run` command of the deploy file, and waits until it is ready.
    pub fn start(config: &NodeConfig, folder: &Path, record: &Record) -> Node {
        let file = folder.join(format!("{}.json", config.name));
        std::fs::write(&file, config.json()).expect("the configuration can be written");
        let log = File::options().create(true).append(true).open(folder.join("node.log")).expect("a log");
        let tmp = folder.join(format!("{}-tmp", config.name));
        let _ = std::fs::create_dir(&tmp);
        let command = deploy_command("run");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .env_clear()
            .env("BALANCER_NAME", &config.name)
            .env("BALANCER_LISTEN", config.listen.to_string())
            .env("BALANCER_DISCOVERY", config.discovery.to_string())
            .env("BALANCER_CONFIG", &file)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { cannot_run("the node could not be started") };
        let pids = File::options().create(true).append(true).open(folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        let node = Node { child, addr: config.listen, file };
        record.line(&format!("platform: {} started with '{command}' at {}", config.name, config.listen));
        let begin = Instant::now();
        while begin.elapsed() < Duration::from_secs(30) {
            let ready = Client::connect(node.addr).and_then(|mut client| {
                client.stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")?;
                client.response(Duration::from_secs(1))
            });
            if matches!(ready, Ok(Some(response)) if response.status() == 200) {
                record.line(&format!("platform: {} is ready", config.name));
                return node;
            }
            thread::sleep(Duration::from_millis(5));
        }
        cannot_run("the node was not ready within 30 s")
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
}

/// A client connection to a node.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A request as the protocol page describes it.
pub fn request(txn: &str, lane: &str, key: &str, remaining_ms: u64) -> Vec<u8> {
    let (method, body) = if lane == "lookup" { ("GET", String::new()) } else { ("POST", format!("{lane} {key}")) };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /api?key={key} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\n\
         X-Org: rygbi-de\r\nX-Remaining-Ms: {remaining_ms}\r\n{length}\r\n{body}"
    )
    .into_bytes()
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Reads a response, for this long at most.
    pub fn response(&mut self, wait: Duration) -> io::Result<Option<Message>> {
        self.stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))))?;
        Message::read(&mut self.reader)
    }
}

/// The folder for temporary files, and the record, as `stand-ins/run.sh` gives them.
pub fn arguments() -> (PathBuf, Record) {
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let (Some(folder), Some(record)) = (args.next(), args.next()) else { cannot_run("start it by run.sh") };
    (folder, Record::new(&record))
}

/// Ends the script: 1 if the rule was broken, 0 if it held. Nodes have to be ended before.
pub fn verdict(record: &Record, broken: bool, text: &str) -> ! {
    let verdict = format!("{}: {text}", if broken { "BROKEN" } else { "held" });
    record.line(&verdict);
    println!("{verdict}");
    std::process::exit(i32::from(broken))
}

/// A number that is not used twice, in 16 hexadecimal digits.
pub fn txn(n: u64) -> String {
    format!("{:016x}", (n + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// A random number by xorshift; each thread has its own seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// A number from `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        low + (high - low) * ((self.0 >> 11) as f64 / (1u64 << 53) as f64)
    }
}

/// What this machine brought through a path more than a millisecond later than its delay: it shows nothing.
pub static DELAYED: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// A way through the network: whatever is written to it comes out at `to` later by `one_way`, give or take
/// `jitter` of that, in order. Ends and resets pass at once.
pub fn start_path(to: SocketAddr, one_way: Duration, jitter: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, near) in listener.incoming().flatten().enumerate() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
            delay(near, far, one_way, jitter, 2 * number as u64 + 1);
            delay(far2, near2, one_way, jitter, 2 * number as u64 + 2);
        }
    });
    addr
}

fn delay(mut from: TcpStream, mut to: TcpStream, one_way: Duration, jitter: f64, seed: u64) {
    let (tx, rx) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut random = Random::new(seed);
        let mut buffer = vec![0; 65_536];
        while let Ok(size @ 1..) = from.read(&mut buffer) {
            let due = Instant::now() + one_way.mul_f64(random.between(1.0 - jitter, 1.0 + jitter));
            if tx.send((due, buffer[..size].to_vec())).is_err() {
                break;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in rx {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
            if due.elapsed() > Duration::from_millis(1) {
                DELAYED.lock().unwrap().push(String::from_utf8_lossy(&bytes).into_owned());
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}
