//! The service on its wire: jute records in frames with a length of four bytes before them, as the public
//! protocol files (`zookeeper.jute`) describe them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::tree::{Code, Done, Event, Mode, Op, Stat, Tree, Watch};

/// Bytes of a frame, at most.
const LONGEST_FRAME: usize = 4 << 20;
/// How often sessions are looked over.
const LOOK: Duration = Duration::from_millis(50);
/// The number that events bear.
const XID_EVENT: i32 = -1;
/// The code of what is not understood (`Unimplemented`) and cannot be read (`MarshallingError`).
const UNIMPLEMENTED: i32 = -6;
const UNREADABLE: i32 = -5;

/// Reads the fields of a record.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (first, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*first)
    }

    fn int(&mut self) -> Option<i32> {
        self.take().map(i32::from_be_bytes)
    }

    fn long(&mut self) -> Option<i64> {
        self.take().map(i64::from_be_bytes)
    }

    fn bool(&mut self) -> Option<bool> {
        self.take::<1>().map(|[byte]| byte != 0)
    }

    /// A buffer; a length of -1 is an absent one.
    fn buffer(&mut self) -> Option<&'a [u8]> {
        let length = self.int()?;
        let (first, rest) = self.0.split_at_checked(usize::try_from(length.max(0)).ok()?)?;
        self.0 = rest;
        Some(first)
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.buffer()?.to_vec()).ok()
    }

    fn texts(&mut self) -> Option<Vec<String>> {
        (0..self.int()?.max(0)).map(|_| self.text()).collect()
    }
}

/// Writes the fields of a record.
#[derive(Default)]
struct Record(Vec<u8>);

impl Record {
    fn int(mut self, value: i32) -> Self {
        self.0.extend(value.to_be_bytes());
        self
    }

    fn long(mut self, value: i64) -> Self {
        self.0.extend(value.to_be_bytes());
        self
    }

    fn bool(mut self, value: bool) -> Self {
        self.0.push(u8::from(value));
        self
    }

    fn buffer(self, value: &[u8]) -> Self {
        let mut record = self.int(value.len() as i32);
        record.0.extend(value);
        record
    }

    fn stat(self, stat: &Stat) -> Self {
        let record = self.long(stat.czxid).long(stat.mzxid).long(stat.ctime).long(stat.mtime);
        let record = record.int(stat.version).int(stat.cversion).int(0).long(stat.ephemeral_owner);
        record.int(stat.data_length).int(stat.children).long(stat.pzxid)
    }

    fn texts(self, texts: &[String]) -> Self {
        texts.iter().fold(self.int(texts.len() as i32), |record, text| record.buffer(text.as_bytes()))
    }

    fn done(self, done: &Done, stats: bool) -> Self {
        match done {
            Done::Created(path, stat) if stats => self.buffer(path.as_bytes()).stat(stat),
            Done::Created(path, _) => self.buffer(path.as_bytes()),
            Done::Written(stat) => self.stat(stat),
            Done::Deleted | Done::Checked => self,
        }
    }

    fn framed(self) -> Vec<u8> {
        let mut frame = (self.0.len() as u32).to_be_bytes().to_vec();
        frame.extend(self.0);
        frame
    }
}

type Out = mpsc::UnboundedSender<Vec<u8>>;

#[derive(Default)]
struct State {
    tree: Tree,
    /// The connection that each session is on, by a number that is new with each.
    on: HashMap<i64, (u64, Out)>,
    connections: u64,
}

impl State {
    fn tell(&self, events: Vec<Event>) {
        for Event { session, kind, path } in events {
            let header = Record::default().int(XID_EVENT).long(-1).int(0);
            // State 3 is SyncConnected.
            let frame = header.int(kind as i32).int(3).buffer(path.as_bytes()).framed();
            if let Some((_, out)) = self.on.get(&session) {
                let _ = out.send(frame);
            }
        }
    }
}

struct Shared {
    state: Mutex<State>,
    start: Instant,
    /// It answers nothing while this is set.
    silent: watch::Sender<bool>,
}

impl Shared {
    fn with<T>(&self, look: impl FnOnce(&mut State) -> T) -> T {
        look(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn now(&self) -> i64 {
        self.start.elapsed().as_millis() as i64
    }

    fn end(&self, session: i64) {
        let now = self.now();
        self.with(|state| {
            let events = state.tree.end(now, session);
            // Its connection ends with the sender.
            state.on.remove(&session);
            state.tell(events);
        });
    }
}

/// The service on a loopback port, until it is dropped.
pub struct Coordination {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Coordination {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Coordination {
    /// Starts with an empty tree.
    ///
    /// # Errors
    /// Where the address cannot be had.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let (silent, _) = watch::channel(false);
        let shared = Arc::new(Shared { state: Mutex::default(), start: Instant::now(), silent });
        let (accepts, looks) = (shared.clone(), shared.clone());
        let accept = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        let shared = accepts.clone();
                        connections.spawn(async move { drop(serve(shared, stream).await) });
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        let look = tokio::spawn(async move {
            loop {
                tokio::time::sleep(LOOK).await;
                let now = looks.now();
                for session in looks.with(|state| state.tree.overdue(now)) {
                    looks.end(session);
                }
            }
        });
        Ok(Coordination { addr, shared, tasks: [accept, look] })
    }

    /// The sessions that own ephemeral nodes under a path, by the nodes' names.
    pub fn owners(&self, path: &str) -> Vec<(String, i64)> {
        self.shared.with(|state| {
            let names = state.tree.children(path).map(|(names, _)| names).unwrap_or_default();
            let owner = |name: String| {
                let (_, stat) = state.tree.get(&format!("{}/{name}", path.trim_end_matches('/'))).ok()?;
                (stat.ephemeral_owner != 0).then_some((name, stat.ephemeral_owner))
            };
            names.into_iter().filter_map(owner).collect()
        })
    }

    /// Ends a session, as its time-out would.
    pub fn end_session(&self, session: i64) {
        self.shared.end(session);
    }

    /// Ends every connection; sessions go on, and may be taken up again.
    pub fn reset(&self) {
        self.shared.with(|state| state.on.clear());
    }

    /// Sessions that are on a connection.
    pub fn connected(&self) -> Vec<i64> {
        self.shared.with(|state| state.on.keys().copied().collect())
    }

    /// Answers nothing from now on, or again; connections stay open.
    pub fn silent(&self, silent: bool) {
        self.shared.silent.send_replace(silent);
    }
}

async fn frame(input: &mut (impl tokio::io::AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let length = input.read_u32().await? as usize;
    if length > LONGEST_FRAME {
        return Err(io::Error::other("a frame that is too long"));
    }
    let mut frame = vec![0; length];
    input.read_exact(&mut frame).await?;
    Ok(frame)
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut input, mut output) = stream.into_split();
    let first = frame(&mut input).await?;
    let bad = || io::Error::other("no connect request");
    let mut fields = Fields(&first);
    let asked = (|| Some((fields.int()?, fields.long()?, fields.int()?, fields.long()?, fields.buffer()?)))();
    let (_, _, timeout, id, password) = asked.ok_or_else(bad)?;
    let mut silent = shared.silent.subscribe();
    let now = shared.now();
    let (out, mut frames) = mpsc::unbounded_channel::<Vec<u8>>();
    let opened = shared.with(|state| {
        let opened = match id {
            0 => Some(state.tree.open(now, i64::from(timeout))),
            id => {
                state.tree.reattach(now, id, password).and_then(|t| Some((id, password.try_into().ok()?, t)))
            }
        };
        opened.map(|opened| {
            state.connections += 1;
            // A session is on one connection: the one before it ends with its sender.
            state.on.insert(opened.0, (state.connections, out));
            (opened, state.connections)
        })
    });
    let reply = |timeout: i64, id: i64, password: [u8; 16]| {
        Record::default().int(0).int(timeout as i32).long(id).buffer(&password).bool(false).framed()
    };
    let Some(((session, password, timeout), number)) = opened else {
        // Over: the client learns it by a time-out of 0.
        return output.write_all(&reply(0, 0, [0; 16])).await;
    };
    output.write_all(&reply(timeout, session, password)).await?;
    let reads = async {
        loop {
            let request = frame(&mut input).await?;
            let _ = silent.wait_for(|silent| !silent).await;
            if !answer(&shared, session, &request) {
                return Ok::<_, io::Error>(());
            }
        }
    };
    let writes = async {
        while let Some(frame) = frames.recv().await {
            output.write_all(&frame).await?;
        }
        Ok::<_, io::Error>(())
    };
    let ended = tokio::select! {
        ended = reads => ended,
        ended = writes => ended,
    };
    // What was answered last still goes out.
    while let Ok(frame) = frames.try_recv() {
        output.write_all(&frame).await?;
    }
    shared.with(|state| {
        if state.on.get(&session).is_some_and(|(on, _)| *on == number) {
            state.on.remove(&session);
        }
    });
    ended
}

/// Answers a request; `false` ends the connection. All that it changes, what others hear of it and its own
/// answer are in order: one lock holds them.
fn answer(shared: &Shared, session: i64, request: &[u8]) -> bool {
    let now = shared.now();
    let mut fields = Fields(request);
    let (Some(xid), Some(kind)) = (fields.int(), fields.int()) else { return false };
    let mut ended = false;
    let go_on = shared.with(|state| {
        if !state.tree.heard(now, session) {
            return false;
        }
        let result = match kind {
            // Ping and auth: every identity may do everything here.
            11 | 100 => Ok(Record::default()),
            -11 => {
                ended = true;
                Ok(Record::default())
            }
            _ => carry_out(state, now, session, kind, fields),
        };
        let zxid = state.tree.zxid();
        let frame = match result {
            Ok(record) => {
                let mut header = Record::default().int(xid).long(zxid).int(0);
                header.0.extend(record.0);
                header.framed()
            }
            Err(code) => Record::default().int(xid).long(zxid).int(code).framed(),
        };
        state.on.get(&session).is_some_and(|(_, out)| out.send(frame).is_ok())
    });
    if ended {
        shared.end(session);
    }
    go_on && !ended
}

/// A change by its type.
fn op(kind: i32, fields: &mut Fields<'_>) -> Option<Op> {
    Some(match kind {
        1 | 15 => {
            let (path, data) = (fields.text()?, fields.buffer()?.to_vec());
            for _ in 0..fields.int()?.max(0) {
                fields.int()?;
                fields.buffer()?;
                fields.buffer()?;
            }
            let flags = fields.int()?;
            Op::Create { path, data, mode: Mode { ephemeral: flags & 1 != 0, sequential: flags & 2 != 0 } }
        }
        2 => Op::Delete { path: fields.text()?, version: fields.int()? },
        5 => Op::Set { path: fields.text()?, data: fields.buffer()?.to_vec(), version: fields.int()? },
        13 => Op::Check { path: fields.text()?, version: fields.int()? },
        _ => return None,
    })
}

fn carry_out(
    state: &mut State,
    now: i64,
    session: i64,
    kind: i32,
    mut fields: Fields<'_>,
) -> Result<Record, i32> {
    let code = |code: Code| code as i32;
    let record = Record::default();
    match kind {
        1 | 2 | 5 | 13 | 15 => {
            let op = op(kind, &mut fields).ok_or(UNREADABLE)?;
            let (done, events) = state.tree.change(now, session, &op).map_err(code)?;
            state.tell(events);
            Ok(record.done(&done, kind == 15))
        }
        3 | 4 | 8 | 12 => {
            let (path, watch) = (fields.text().ok_or(UNREADABLE)?, fields.bool().ok_or(UNREADABLE)?);
            let result = match kind {
                3 => state.tree.get(&path).map(|(_, stat)| record.stat(&stat)),
                4 => state.tree.get(&path).map(|(data, stat)| record.buffer(data).stat(&stat)),
                8 => state.tree.children(&path).map(|(names, _)| record.texts(&names)),
                _ => state.tree.children(&path).map(|(names, stat)| record.texts(&names).stat(&stat)),
            };
            // Whether it is there can be watched of what is not.
            if watch && (result.is_ok() || kind == 3) {
                let of = if kind == 3 || kind == 4 { Watch::Data } else { Watch::Children };
                state.tree.watch(session, of, &path);
            }
            result.map_err(code)
        }
        9 => fields.buffer().map(|path| record.buffer(path)).ok_or(UNREADABLE),
        14 => multi(state, now, session, fields),
        101 => set_watches(state, session, fields).map(|()| record).ok_or(UNREADABLE),
        _ => Err(UNIMPLEMENTED),
    }
}

fn multi(state: &mut State, now: i64, session: i64, mut fields: Fields<'_>) -> Result<Record, i32> {
    let (mut kinds, mut ops) = (Vec::new(), Vec::new());
    loop {
        let (kind, done) = (fields.int().ok_or(UNREADABLE)?, fields.bool().ok_or(UNREADABLE)?);
        fields.int().ok_or(UNREADABLE)?;
        if done {
            break;
        }
        kinds.push(kind);
        ops.push(op(kind, &mut fields).ok_or(UNREADABLE)?);
    }
    let record = match state.tree.multi(now, session, &ops) {
        Ok((done, events)) => {
            state.tell(events);
            let one = |record: Record, (kind, done): (&i32, &Done)| {
                record.int(*kind).bool(false).int(0).done(done, *kind == 15)
            };
            kinds.iter().zip(&done).fold(Record::default(), one)
        }
        Err((place, code)) => (0..ops.len()).fold(Record::default(), |record, n| {
            // Those before it were undone, those after it not tried.
            let code = match n.cmp(&place) {
                std::cmp::Ordering::Less => 0,
                std::cmp::Ordering::Equal => code as i32,
                std::cmp::Ordering::Greater => Code::RuntimeInconsistency as i32,
            };
            record.int(-1).bool(false).int(code).int(code)
        }),
    };
    Ok(record.int(-1).bool(true).int(-1))
}

/// Sets watches anew after a reconnect, and tells at once of what changed since the client last saw.
fn set_watches(state: &mut State, session: i64, mut fields: Fields<'_>) -> Option<()> {
    use super::tree::Kind;
    let seen = fields.long()?;
    let (data, exist, child) = (fields.texts()?, fields.texts()?, fields.texts()?);
    let mut events = Vec::new();
    let mut missed = |kind, path: &String| events.push(Event { session, kind, path: path.clone() });
    for path in &data {
        match state.tree.get(path) {
            Err(_) => missed(Kind::Deleted, path),
            Ok((_, stat)) if stat.mzxid > seen => missed(Kind::DataChanged, path),
            Ok(_) => state.tree.watch(session, Watch::Data, path),
        }
    }
    for path in &exist {
        match state.tree.get(path) {
            Ok(_) => missed(Kind::Created, path),
            Err(_) => state.tree.watch(session, Watch::Data, path),
        }
    }
    for path in &child {
        match state.tree.get(path) {
            Err(_) => missed(Kind::Deleted, path),
            Ok((_, stat)) if stat.pzxid > seen => missed(Kind::ChildrenChanged, path),
            Ok(_) => state.tree.watch(session, Watch::Children, path),
        }
    }
    state.tell(events);
    Some(())
}
