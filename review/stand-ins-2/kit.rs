//! What the cases 6 to 10 share: a node as a process, stand-in servers, discovery and clients, and the record.
//! Only the standard library is used. Every address is a loopback address.

use std::collections::HashMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// prctl(2): the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// What was sent, answered and run, with times since the start of the test.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: impl Into<String>) -> Duration {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    /// Writes the record, in the order of the times, with the result as its last line.
    pub fn write(&self, result: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            text += &format!("{:9.3} ms  {line}\n", at.as_secs_f64() * 1e3);
        }
        text += &format!("{result}\n");
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        fs::write(path, text).expect("the record can be written");
    }
}

/// Ends the test: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn finish(record: &Record, node: Option<&mut Node>, code: i32, result: &str) -> ! {
    if let Some(node) = node {
        node.end();
    }
    record.write(result);
    println!("{result}");
    std::process::exit(code);
}

/// Whether the test has its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a check every 5 ms until it holds or the time is over.
pub fn wait_until(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if check() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// A loopback address that nothing listens on.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Has a process killed when this one ends, however that happens.
pub fn end_with_this_process(command: &mut Command) {
    // Only a system call is made between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
}

/// Ends the test with 2 if it takes too long, as a case has 120 s.
pub fn limit_duration(record: &Arc<Record>) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(112));
        finish(&record, None, 2, "could not run: the test took too long");
    });
}

/// Random numbers by a seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from `low` to `high`, without the latter.
    pub fn range(&mut self, low: u64, high: u64) -> u64 {
        low + (self.next() >> 11) % (high - low)
    }
}

/// The seed of a test: that of the variable SEED, or 1.
pub fn seed() -> u64 {
    std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// A node of the deploy file, as a process.
pub struct Node {
    pub listen: SocketAddr,
    pub config: PathBuf,
    folder: PathBuf,
    child: Child,
}

impl Node {
    /// Starts the node by the deploy file's `run`, and waits until it is ready.
    pub fn start(name: &str, listen: SocketAddr, config: &str) -> Node {
        let root = std::env::var("ROOT").expect("ROOT names the root of the project");
        let deploy = fs::read_to_string(format!("{root}/deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run");
        let run = run.trim_end().trim_end_matches('"');
        let folder = std::env::temp_dir().join(format!("woodgap-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let path = folder.join("config.json");
        fs::write(&path, config).unwrap();
        let log = fs::File::create(folder.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        end_with_this_process(&mut command);
        let child = command
            .args(["-c", run])
            .current_dir(&root)
            .env("BALANCER_CONFIG", &path)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the node starts");
        let mut node = Node { listen, config: path, folder, child };
        let ready = wait_until(Duration::from_secs(20), || node.is_ready());
        if !ready {
            println!("the node is not ready: {}", node.log());
            node.end();
            std::process::exit(2);
        }
        node
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
        sent.is_ok() && Message::read(&mut stream).is_some_and(|answer| answer.status() == 200)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // The process was started here and has not been waited for, so the id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The exit status, if the node has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn end(&mut self) {
        if self.ended().is_none() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
        }
        if std::env::var("KEEP_LOG").is_ok() {
            println!("{}", self.log());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

/// A message of HTTP/1.1.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message byte by byte up to its body, so that nothing behind it is taken. `None` if the stream
    /// ends or fails.
    pub fn read(stream: &mut impl Read) -> Option<Message> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                _ => return None,
            }
            if head.len() > 65_536 {
                return None;
            }
        }
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.split("\r\n");
        let mut message = Message { first: lines.next()?.to_owned(), ..Message::default() };
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':')?;
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// A whole answer 200 with this body.
pub fn ok_answer(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A client's request, in the form of the protocol page.
pub fn request(class: &str, id: &str, key: &str, remaining_ms: u64) -> Vec<u8> {
    let (method, more) = match class {
        "look" => ("GET", String::new()),
        "put" => ("POST", format!("Idempotency-Key: k{id}\r\nContent-Length: 4\r\n")),
        _ => ("POST", "Content-Length: 4\r\n".to_owned()),
    };
    let body = if method == "GET" { "" } else { "body" };
    format!(
        "{method} /api?key={key} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
        X-Org: acme\r\nX-Remaining-Ms: {remaining_ms}\r\n{more}\r\n{body}"
    )
    .into_bytes()
}

/// Called with each request that a server receives; it answers on the stream, and returns whether the
/// connection stays open.
pub type Serve = dyn Fn(usize, &Message, &mut TcpStream) -> bool + Send + Sync;

/// Starts a stand-in server, one thread a connection.
pub fn server(number: usize, serve: Arc<Serve>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Some(message) = Message::read(&mut stream) {
                    if !serve(number, &message, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// A server of discovery's list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub addr: SocketAddr,
    pub phase: &'static str,
    pub up_since_ms: u64,
    pub zone: &'static str,
    pub cell: u64,
}

impl Member {
    pub fn new(id: &str, addr: SocketAddr) -> Member {
        Member { id: id.into(), addr, phase: "in_service", up_since_ms: 0, zone: "a", cell: 0 }
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"f","cell":{},"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.addr, self.zone, self.cell, self.phase, self.up_since_ms
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

/// Discovery: the list, its changes by revision, and watches. A sound one unless a test changes `mute`.
#[derive(Default)]
pub struct DiscoveryState {
    pub revision: u64,
    pub members: Vec<Member>,
    /// Changes by revision; a member that is gone has the phase `terminated`.
    pub changes: Vec<(u64, Member)>,
    /// Watches opened up to this number fall silent, without an end.
    pub mute_up_to: u64,
    /// Watches opened up to this number end.
    pub end_up_to: u64,
    /// Whether the first answer to a call is always the whole list.
    pub whole_first: bool,
    pub watches: u64,
    /// Revisions that were written to a watch, with the times after the writes.
    pub written: Vec<(u64, Duration)>,
}

pub struct Discovery {
    pub addr: SocketAddr,
    pub state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(record: Arc<Record>, members: Vec<Member>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = DiscoveryState { revision: 41, members, ..DiscoveryState::default() };
        let discovery =
            Arc::new(Discovery { addr, state: Arc::new((Mutex::new(state), Condvar::new())), record });
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        discovery
    }

    /// Changes one server's entry, and tells all watches that are not mute.
    pub fn change(&self, member: Member) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.members.retain(|other| other.id != member.id);
        if member.phase != "terminated" {
            state.members.push(member.clone());
        }
        self.record.line(format!("discovery has revision {revision}: {} {}", member.id, member.phase));
        state.changes.push((revision, member));
        self.state.1.notify_all();
        revision
    }

    /// Ends all open watches.
    pub fn end_watches(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.end_up_to = state.watches;
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(message) = Message::read(&mut stream) {
            if !message.path().contains("stream=1") {
                let state = self.state.0.lock().unwrap();
                let list = list_json(state.revision, true, &state.members);
                drop(state);
                if stream.write_all(&ok_answer(&list)).is_err() {
                    return;
                }
                continue;
            }
            let index = message.path().split("index=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            self.watch(&mut stream, index);
            return;
        }
    }

    fn watch(&self, stream: &mut TcpStream, index: u64) {
        let mut state = self.state.0.lock().unwrap();
        state.watches += 1;
        let number = state.watches;
        self.record.line(format!("watch {number} from revision {index}"));
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let (mut told, mut first) = (index, true);
        loop {
            if number <= state.end_up_to {
                self.record.line(format!("watch {number} ends"));
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
            let mute = number <= state.mute_up_to;
            let mut text = String::new();
            if !mute && first && (index == 0 || index > state.revision || state.whole_first) {
                text = list_json(state.revision, true, &state.members) + "\n";
            } else if !mute && told < state.revision {
                let changes: Vec<Member> =
                    state.changes.iter().filter(|(at, _)| *at > told).map(|(_, member)| member.clone()).collect();
                text = list_json(state.revision, false, &changes) + "\n";
            }
            if text.is_empty() && !mute {
                text = "\n".into();
            }
            if !mute {
                (told, first) = (state.revision, false);
                if text.len() > 1 {
                    self.record.line(format!("watch {number} is written revision {told}"));
                }
                if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                    return;
                }
                state.written.push((told, self.record.now()));
            }
            state = self.state.1.wait_timeout(state, Duration::from_secs(2)).unwrap().0;
        }
    }
}

/// A configuration, with the settings of a small deployment. `settings` replaces or adds members.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub members: Vec<Member>,
    pub sockets: u32,
    pub memory_mb: u32,
    pub mode: &'static str,
    pub classes: String,
    pub bounds: String,
    pub rules: String,
    pub more: String,
}

pub fn class(name: &str, semantics: &str, aim_ms: u64, deadline_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","aim":{},"deadline":{},"semantics":"{semantics}","points":2.0,"late-share":0.2,"key-scope":"all","key-ttl":5000000,"stream":false}}"#,
        aim_ms * 1000,
        deadline_ms * 1000
    )
}

impl Config {
    pub fn new(discovery: SocketAddr, members: &[Member]) -> Config {
        let classes = [
            class("look", "safe", 500, 2_000),
            class("pay", "unsafe", 1_200, 2_500),
            class("put", "keyed", 1_200, 3_000),
        ];
        Config {
            listen: free_address(),
            discovery,
            members: members.to_vec(),
            sockets: 256,
            memory_mb: 64,
            mode: "ask",
            classes: classes.join(","),
            bounds: r#""cancelling":true,"cpu-us-per-request":10.0,"dial-timeout":250000,"keepalive":30000000,"max-attempts":5,"max-retry-after":2000000,"max-streams":1,"may-probe":true,"open-cap":28741,"peer-messages":false,"retry-after":true,"second-copies":true"#.into(),
            rules: r#""answer-slack":20000,"ask-within":10000000,"fall-multiple":2.5,"overload-for":1000000,"ramp-time":9000000,"start-capacity":0.31,"stop-sending-within":500000"#.into(),
            more: r#""group-size":1,"me":0"#.into(),
        }
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{},
"settings":{{"registry-mode":"{}","weight-source":"nominal","worth-by":"work","family":"proxy",
"zones":["a","b"],"locality":"a","kinds":["f"],"tenants":[{{"name":"acme","quota-per-s":1000.0,"share":1.0}}],
"report":{{"how":"inline","fields":["queue","util"]}},"domain":{{"warm-keys":true}},
"classes":[{}],"bounds":{{{}}},"rules":{{{}}},{}}}}}"#,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            list_json(41, true, &self.members),
            self.mode,
            self.classes,
            self.bounds,
            self.rules,
            self.more,
        )
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new id of a request.
pub fn new_id(prefix: &str) -> String {
    format!("{prefix}{:06}", IDS.fetch_add(1, Ordering::Relaxed))
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status, or 0 if the connection ended without a whole answer or nothing came in time.
    pub status: u16,
    pub body: String,
    /// From the last byte of the request to the last byte of the answer, or to the end.
    pub after: Duration,
}

/// Sends a request on a connection and waits for its answer, for at most `limit`.
pub fn exchange(stream: &mut TcpStream, request: &[u8], limit: Duration) -> Reply {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let written = stream.write_all(request);
    let sent = Instant::now();
    let answer = written.ok().and_then(|()| Message::read(stream));
    let after = sent.elapsed();
    match answer {
        Some(answer) => {
            Reply { status: answer.status(), body: String::from_utf8_lossy(&answer.body).into(), after }
        }
        None => Reply { status: 0, body: String::new(), after },
    }
}
