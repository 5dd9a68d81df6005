//! What the cases share: the platform that starts nodes with the deploy file's command, discovery, servers, a proxy that
//! delays, HTTP messages and the record. Standard library only; every address is a loopback address.
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record: one line an event, with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record")))))
    }
    pub fn now_ms(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1000.0
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:10.1} ms  {}\n", self.now_ms(), text.as_ref());
        let _ = self.0 .1.lock().unwrap().write_all(line.as_bytes());
    }
    /// Also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A node, started by the deploy file's `run` from the repository's root.
pub struct Node {
    pub child: Child,
    pub listen: SocketAddr,
    pub dir: PathBuf,
}

pub struct NodeConfig {
    pub name: String,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub known: String,
    pub settings: String,
}

pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl NodeConfig {
    pub fn json(&self, listen: SocketAddr, discovery: SocketAddr) -> String {
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.memory_mb, self.sockets, self.known, self.settings
        )
    }
    pub fn start(&self) -> io::Result<Node> {
        let root = std::env::var("ROOT").unwrap_or(".".into());
        let listen = free_port();
        let dir = std::env::temp_dir().join(format!("woodgap-review-{}-{}", std::process::id(), self.name));
        fs::create_dir_all(&dir)?;
        let config_path = dir.join("config.json");
        fs::write(&config_path, self.json(listen, self.discovery))?;
        let deploy = fs::read_to_string(format!("{root}/deploy/balancer.toml"))?;
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'))
            .ok_or(io::Error::other("deploy file has no run"))?
            .to_owned();
        let log = File::create(dir.join("log"))?;
        let mut command = Command::new("/bin/sh");
        // The node must not outlive the case, however the case ends (PR_SET_PDEATHSIG).
        unsafe { command.pre_exec(|| if prctl(1, SIGKILL as u64) == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }) };
        let child = command
            .arg("-c")
            .arg(run)
            .current_dir(root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("TMPDIR", &dir)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env("BALANCER_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut node = Node { child, listen, dir };
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            if let Ok(answer) = ask(listen, "GET /-/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", &[], 1000) {
                if answer.status == 200 {
                    return Ok(node);
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = node.child.kill();
        Err(io::Error::other("the node did not become ready"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A message as read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    message.start = line.trim_end().to_owned();
    if let Some(rest) = message.start.strip_prefix("HTTP/1.1 ") {
        message.status = rest.get(..3).and_then(|s| s.parse().ok()).unwrap_or(0);
    }
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
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if let Some(length) = message.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    }
    Ok(message)
}

/// One request on a new connection.
pub fn ask(addr: SocketAddr, head: &str, body: &[u8], timeout_ms: u64) -> io::Result<Message> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_message(&mut BufReader::new(stream))
}

/// A server on the list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub cell: u64,
    pub phase: &'static str,
    pub up_since_ms: u64,
    /// Revision at which it changed last.
    pub changed: u64,
}

impl Listed {
    pub fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"full-box\",\"cell\":{},\"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.addr, self.zone, self.cell, self.phase, self.up_since_ms
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Listed]) -> String {
    let members: Vec<String> = members.iter().map(Listed::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

#[derive(Default)]
pub struct DiscoveryState {
    pub revision: u64,
    pub members: Vec<Listed>,
    pub calls: u64,
}

/// Discovery: whole lists and watches.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    pub state: Arc<Mutex<DiscoveryState>>,
    pub record: Record,
}

impl Discovery {
    pub fn start(members: Vec<Listed>, revision: u64, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = Arc::new(Mutex::new(DiscoveryState { revision, members, ..Default::default() }));
        let discovery = Discovery { addr: listener.local_addr().unwrap(), state, record: record.clone() };
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || {
                    let _ = this.serve(stream);
                });
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let request = read_message(&mut reader)?;
        let call = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.calls
        };
        self.record.line(format!("discovery: call {call}: {}", request.start));
        let target = request.start.split(' ').nth(1).unwrap_or("").to_owned();
        let index: u64 =
            target.split(['?', '&']).find_map(|p| p.strip_prefix("index=")).and_then(|v| v.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = index;
        let mut first = true;
        let mut last_line = Instant::now();
        loop {
            let line = {
                let state = self.state.lock().unwrap();
                if first && index == 0 {
                    told = state.revision;
                    Some(list_json(told, true, &state.members.iter().filter(|m| m.phase != "terminated").cloned().collect::<Vec<_>>()))
                } else if state.revision > told {
                    let changed: Vec<Listed> = state.members.iter().filter(|m| m.changed > told).cloned().collect();
                    told = state.revision;
                    Some(list_json(told, false, &changed))
                } else if last_line.elapsed() > Duration::from_millis(2000) || first {
                    Some(String::new())
                } else {
                    None
                }
            };
            if let Some(line) = line {
                first = false;
                last_line = Instant::now();
                let text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                stream.write_all(text.as_bytes())?;
                if !line.is_empty() {
                    self.record.line(format!("discovery: call {call} is told {line}"));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A class of requests.
pub struct ClassSpec<'a> {
    pub name: &'a str,
    pub semantics: &'a str,
    pub deadline_ms: u64,
    pub aim_ms: u64,
}

/// The settings of a small deployment, in the form of the simulator's first message.
pub fn settings(nodes: u64, classes: &[ClassSpec], key_scope: &str, key_ttl_ms: u64) -> String {
    let classes: Vec<String> = classes
        .iter()
        .map(|c| {
            format!(
                "{{\"name\":\"{}\",\"semantics\":\"{}\",\"deadline\":{},\"aim\":{},\"points\":2.0,\"late-share\":0.2,\"key-scope\":\"{key_scope}\",\"key-ttl\":{},\"stream\":false}}",
                c.name, c.semantics, c.deadline_ms * 1000, c.aim_ms * 1000, key_ttl_ms * 1000
            )
        })
        .collect();
    format!(
        "{{\"bounds\":{{\"cancelling\":true,\"cpu-us-per-request\":10.0,\"cpu-us-per-s\":21556,\"dial-timeout\":250000,\"keepalive\":30000000,\"max-attempts\":5,\
         \"max-retry-after\":2000000,\"max-streams\":1,\"may-probe\":true,\"open-cap\":28741,\"peer-messages\":true,\"retry-after\":true,\"second-copies\":true}},\
         \"classes\":[{}],\"clients\":{{\"marks-retry\":true}},\"deductions\":{{\"cross-zone\":0.01,\"handshake\":0.0,\"late-fail\":0.08,\"peer\":0.01,\"probe\":0.01,\"waste\":0.2}},\
         \"domain\":{{\"warm-keys\":true}},\"family\":\"proxy\",\"granularity\":5000,\"group-size\":{nodes},\"kinds\":[\"full-box\",\"slow-box\"],\"locality\":\"swansea\",\"me\":0,\
         \"over-share-worth\":0.1,\"registry-mode\":\"ask\",\"report\":{{\"fields\":[\"queue\",\"util\"],\"how\":\"inline\"}},\
         \"rules\":{{\"answer-slack\":20000,\"ask-within\":10000000,\"fall-multiple\":2.5,\"overload-for\":1000000,\"ramp-time\":9000000,\"start-capacity\":0.31,\"stop-sending-within\":500000}},\
         \"tenants\":[{{\"name\":\"rygbi-de\",\"quota-per-s\":0.0,\"share\":0.58}},{{\"name\":\"nofio-gogledd\",\"quota-per-s\":0.0,\"share\":0.42}}],\
         \"tier\":0,\"tiers\":[\"members-web\"],\"weight-source\":\"nominal\",\"worth-by\":\"work\",\"zones\":[\"cathays\",\"bangor\",\"swansea\"]}}",
        classes.join(",")
    )
}

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn next_txn() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Times at which a proxy passed bytes on over 1 ms later than its delay, as the machine was busy.
pub type LateTimes = Arc<Mutex<Vec<Instant>>>;

/// A proxy that passes everything on after `delay`, in both directions.
pub fn start_proxy(to: SocketAddr, delay: Duration, late: &LateTimes) -> SocketAddr {
    let late = late.clone();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(to) else { continue };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) else { continue };
            pass_on(client, server2, delay, late.clone());
            pass_on(server, client2, delay, late.clone());
        }
    });
    addr
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration, late: LateTimes) {
    let (tx, rx) = mpsc::channel::<(Instant, Vec<u8>)>();
    small_thread(move || {
        let mut buffer = [0; 8192];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if tx.send((Instant::now(), buffer[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    small_thread(move || {
        for (at, bytes) in rx {
            thread::sleep((at + delay).saturating_duration_since(Instant::now()));
            if at.elapsed() > delay + Duration::from_millis(1) {
                late.lock().unwrap().push(Instant::now());
            }
            if bytes.is_empty() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}

/// A thread with a small stack: a case has hundreds.
pub fn small_thread(run: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().stack_size(128 << 10).spawn(run).expect("a thread")
}

/// Whether nothing waits to be read, not even an end.
pub fn nothing_waits(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let quiet = matches!(stream.peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    quiet
}

/// Ends the case: 1 if the rule was broken, 0 if it held.
pub fn finish(nodes: Vec<Node>, broken: bool) -> ! {
    drop(nodes);
    std::process::exit(i32::from(broken))
}

/// Ends the case as one that couldn't run.
pub fn cannot_run(why: impl std::fmt::Display) -> ! {
    eprintln!("the case couldn't run: {why}");
    std::process::exit(2)
}
