//! The service on its wire: jute records in frames with a length of four bytes before them, as the public
//! protocol files (`zookeeper.jute`) describe them.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::tree::{Acl, Code, Done, Event, Mode, Op, Perm, Stat, Tree, Watch};

/// Bytes of a frame, at most.
const LONGEST_FRAME: usize = 4 << 20;
/// How often sessions are looked over.
const LOOK: Duration = Duration::from_millis(50);
/// The number that events bear.
const XID_EVENT: i32 = -1;
/// The code of what is not understood (`Unimplemented`) and cannot be read (`MarshallingError`).
const UNIMPLEMENTED: i32 = -6;
/// `KeeperException.Code.NOTREADONLY`.
const NOT_READ_ONLY: i32 = -119;
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

/// Frames for a connection, with the time at which each was ready.
type Out = mpsc::UnboundedSender<(Instant, Vec<u8>)>;

/// Where a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// After a request was read, before it is carried out.
    Unseen,
    /// After a request was carried out, before it is answered.
    Unanswered,
}

/// Types of requests (`ZooDefs.OpCode`), for [`Coordination::cut`] and [`Coordination::requests`].
pub mod op {
    /// `create2`, what a client of version 3.5 or later sends to create.
    pub const CREATE: i32 = 15;
    /// `delete`.
    pub const DELETE: i32 = 2;
    /// `getData`.
    pub const GET_DATA: i32 = 4;
    /// `setData`.
    pub const SET_DATA: i32 = 5;
    /// `multi`.
    pub const MULTI: i32 = 14;
}

/// What is wrong for as long as it is set.
#[derive(Clone, Copy, Debug, Default)]
struct Wrong {
    /// Nothing is answered or told.
    silent: bool,
    /// All that goes out does so this much later.
    delay: Duration,
}

/// Where a session is connected.
struct On {
    /// Which connection: new with each.
    number: u64,
    /// Through which address.
    door: SocketAddr,
    out: Out,
}

#[derive(Default)]
struct State {
    tree: Tree,
    on: HashMap<i64, On>,
    connections: u64,
    /// Addresses that take no connections.
    refused: HashSet<SocketAddr>,
    cut: Option<(i32, Cut)>,
    /// Without a quorum: reads are served, writes refused.
    minority: bool,
    /// The next event is lost, with the connection that it was for.
    lose_event: bool,
    /// Answers to pings that are held, while they are.
    held_pings: Option<Vec<(i64, Vec<u8>)>>,
    requests: HashMap<i32, u64>,
    events: u64,
}

impl State {
    fn send(&self, session: i64, frame: Vec<u8>) -> bool {
        self.on.get(&session).is_some_and(|on| on.out.send((Instant::now(), frame)).is_ok())
    }

    fn tell(&mut self, events: Vec<Event>) {
        for Event { session, kind, path } in events {
            if self.lose_event && self.on.remove(&session).is_some() {
                self.lose_event = false;
                continue;
            }
            self.events += 1;
            let header = Record::default().int(XID_EVENT).long(-1).int(0);
            // State 3 is SyncConnected.
            let frame = header.int(kind as i32).int(3).buffer(path.as_bytes()).framed();
            self.send(session, frame);
        }
    }
}

struct Shared {
    state: Mutex<State>,
    start: Instant,
    wrong: watch::Sender<Wrong>,
}

impl Shared {
    fn with<T>(&self, look: impl FnOnce(&mut State) -> T) -> T {
        look(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn now(&self) -> i64 {
        self.start.elapsed().as_millis() as i64
    }

    fn end(&self, sessions: &[i64]) {
        self.with(|state| {
            for &session in sessions {
                let events = state.tree.end(session);
                // Its connection ends with the sender.
                state.on.remove(&session);
                state.tell(events);
            }
        });
    }
}

/// The service on loopback ports, until it is dropped.
pub struct Coordination {
    /// Where it listens first of all.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Coordination {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn open(shared: &Arc<Shared>, listener: TcpListener, door: SocketAddr) -> JoinHandle<()> {
    let accepts = shared.clone();
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                Ok((stream, _)) = listener.accept() => {
                    let shared = accepts.clone();
                    if !shared.with(|state| state.refused.contains(&door)) {
                        connections.spawn(async move { drop(serve(shared, stream, door).await) });
                    }
                }
                Some(_) = connections.join_next() => {}
            }
        }
    })
}

impl Coordination {
    /// Starts with an empty tree.
    ///
    /// # Errors
    /// Where the address cannot be had.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let (wrong, _) = watch::channel(Wrong::default());
        let shared = Arc::new(Shared { state: Mutex::default(), start: Instant::now(), wrong });
        let accept = open(&shared, listener, addr);
        let looks = shared.clone();
        let look = tokio::spawn(async move {
            loop {
                tokio::time::sleep(LOOK).await;
                let now = looks.now();
                let overdue = looks.with(|state| state.tree.overdue(now));
                looks.end(&overdue);
            }
        });
        Ok(Coordination { addr, shared, tasks: vec![accept, look] })
    }

    /// Listens at one more address, as another member of the ensemble would: same tree, same sessions.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn also(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        self.tasks.push(open(&self.shared, listener, addr));
        Ok(addr)
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

    /// A node's data and version.
    pub fn node(&self, path: &str) -> Option<(Vec<u8>, Stat)> {
        self.shared.with(|state| state.tree.get(path).ok().map(|(data, stat)| (data.to_vec(), stat)))
    }

    /// Changes the tree as a session of the service's own: what a test's servers and operators do.
    ///
    /// # Errors
    /// As [`Tree::change`].
    pub fn change(&self, session: i64, change: &Op) -> Result<Done, Code> {
        let now = self.shared.now();
        self.shared.with(|state| {
            let (done, events) = state.tree.change(now, session, change)?;
            state.tell(events);
            Ok(done)
        })
    }

    /// Opens a session that is on no connection and lasts until it is ended.
    pub fn session(&self) -> i64 {
        // Heard of last in a time far away.
        self.shared.with(|state| state.tree.open(i64::MAX / 2, 0).0)
    }

    /// Ends a session, as its time-out would.
    pub fn end_session(&self, session: i64) {
        self.shared.end(&[session]);
    }

    /// Ends many sessions at one moment.
    pub fn end_sessions(&self, sessions: &[i64]) {
        self.shared.end(sessions);
    }

    /// Ends every connection; sessions go on, and may be taken up again.
    pub fn reset(&self) {
        self.shared.with(|state| state.on.clear());
    }

    /// Sessions that are on a connection.
    pub fn connected(&self) -> Vec<i64> {
        self.shared.with(|state| state.on.keys().copied().collect())
    }

    /// Through which address a session is connected.
    pub fn door(&self, session: i64) -> Option<SocketAddr> {
        self.shared.with(|state| state.on.get(&session).map(|on| on.door))
    }

    /// Answers nothing from now on, or again; connections stay open.
    pub fn silent(&self, silent: bool) {
        self.shared.wrong.send_modify(|wrong| wrong.silent = silent);
    }

    /// All that goes out, events among it and in its order, does so this much later.
    pub fn delay(&self, delay: Duration) {
        self.shared.wrong.send_modify(|wrong| wrong.delay = delay);
    }

    /// Takes no connections at an address from now on, and ends those it has; or takes them again. A
    /// session may go on at another address.
    pub fn refuse(&self, addr: SocketAddr, refuse: bool) {
        self.shared.with(|state| {
            if refuse {
                state.refused.insert(addr);
                state.on.retain(|_, on| on.door != addr);
            } else {
                state.refused.remove(&addr);
            }
        });
    }

    /// Serves reads and refuses writes from now on, as a member that has lost its quorum does for clients that take
    /// it; or takes writes again.
    pub fn minority(&self, minority: bool) {
        self.shared.with(|state| state.minority = minority);
    }

    /// Cuts the connection on which the next request of this type comes ([`op`]).
    pub fn cut(&self, kind: i32, cut: Cut) {
        self.shared.with(|state| state.cut = Some((kind, cut)));
    }

    /// Whether a [`Coordination::cut`] still waits for its request.
    pub fn is_cut_due(&self) -> bool {
        self.shared.with(|state| state.cut.is_some())
    }

    /// Loses the next event, with the connection that it was for: the only way in which the protocol
    /// allows for one to be lost.
    pub fn lose_event(&self) {
        self.shared.with(|state| state.lose_event = true);
    }

    /// Holds the answers to pings, or lets go of those that are held.
    pub fn hold_pings(&self, hold: bool) {
        self.shared.with(|state| {
            let held = std::mem::replace(&mut state.held_pings, hold.then(Vec::new));
            for (session, frame) in held.into_iter().flatten() {
                state.send(session, frame);
            }
        });
    }

    /// Starts again, with its data and sessions or with nothing.
    pub fn restart(&self, with_data: bool) {
        let now = self.shared.now();
        self.shared.with(|state| {
            state.on.clear();
            match with_data {
                true => state.tree.hear_all(now),
                false => state.tree = Tree::new(state.tree.incarnation() + 1),
            }
        });
    }

    /// Requests of a type that were carried out or refused so far.
    pub fn requests(&self, kind: i32) -> u64 {
        self.shared.with(|state| state.requests.get(&kind).copied().unwrap_or(0))
    }

    /// Events that went out so far.
    pub fn events(&self) -> u64 {
        self.shared.with(|state| state.events)
    }

    /// Watches that are set.
    pub fn watches(&self) -> usize {
        self.shared.with(|state| state.tree.watches())
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

async fn serve(shared: Arc<Shared>, stream: TcpStream, door: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut input, mut output) = stream.into_split();
    let first = frame(&mut input).await?;
    let mut wrong = shared.wrong.subscribe();
    let _ = wrong.wait_for(|wrong| !wrong.silent).await;
    let bad = || io::Error::other("no connect request");
    let mut fields = Fields(&first);
    let asked = (|| Some((fields.int()?, fields.long()?, fields.int()?, fields.long()?, fields.buffer()?)))();
    let (_, seen, timeout, id, password) = asked.ok_or_else(bad)?;
    let now = shared.now();
    let (out, mut frames) = mpsc::unbounded_channel();
    let opened = shared.with(|state| {
        if state.refused.contains(&door) || seen > state.tree.zxid() {
            // Who has seen more than there is here is sent on to another member.
            return Err(bad());
        }
        let opened = match id {
            0 => Some(state.tree.open(now, i64::from(timeout))),
            id => {
                state.tree.reattach(now, id, password).and_then(|t| Some((id, password.try_into().ok()?, t)))
            }
        };
        Ok(opened.map(|opened| {
            state.connections += 1;
            // A session is on one connection: the one before it ends with its sender.
            state.on.insert(opened.0, On { number: state.connections, door, out });
            (opened, state.connections)
        }))
    })?;
    let reply = |timeout: i64, id: i64, password: [u8; 16]| {
        Record::default().int(0).int(timeout as i32).long(id).buffer(&password).bool(false).framed()
    };
    let Some(((session, password, timeout), number)) = opened else {
        // Over: the client learns it by a time-out of 0.
        return output.write_all(&reply(0, 0, [0; 16])).await;
    };
    output.write_all(&reply(timeout, session, password)).await?;
    let mut heard = wrong.clone();
    let reads = async {
        loop {
            let request = frame(&mut input).await?;
            let _ = heard.wait_for(|wrong| !wrong.silent).await;
            if !answer(&shared, session, number, &request) {
                return Ok::<_, io::Error>(());
            }
        }
    };
    let writes = async {
        while let Some((ready, frame)) = frames.recv().await {
            let delay = wrong.wait_for(|wrong| !wrong.silent).await.map_or(Duration::ZERO, |w| w.delay);
            if !delay.is_zero() {
                tokio::time::sleep_until((ready + delay).into()).await;
            }
            output.write_all(&frame).await?;
        }
        Ok::<_, io::Error>(())
    };
    let ended = tokio::select! {
        ended = reads => ended,
        ended = writes => ended,
    };
    // What was answered last still goes out.
    while let Ok((_, frame)) = frames.try_recv() {
        output.write_all(&frame).await?;
    }
    shared.with(|state| {
        if state.on.get(&session).is_some_and(|on| on.number == number) {
            state.on.remove(&session);
        }
    });
    ended
}

/// Answers a request; `false` ends the connection. All that it changes, what others hear of it and its own
/// answer are in order: one lock holds them.
fn answer(shared: &Shared, session: i64, number: u64, request: &[u8]) -> bool {
    let now = shared.now();
    let mut fields = Fields(request);
    let (Some(xid), Some(kind)) = (fields.int(), fields.int()) else { return false };
    let mut ended = false;
    let go_on = shared.with(|state| {
        // Moved to another connection meanwhile, or over.
        let here = state.on.get(&session).is_some_and(|on| on.number == number);
        if !here || !state.tree.heard(now, session) {
            return false;
        }
        let cut = state.cut.take_if(|(of, _)| *of == kind).map(|(_, cut)| cut);
        if cut == Some(Cut::Unseen) {
            state.on.remove(&session);
            return false;
        }
        *state.requests.entry(kind).or_default() += 1;
        let result = match kind {
            11 => Ok(Record::default()),
            100 => auth(state, session, fields),
            -11 => {
                ended = true;
                Ok(Record::default())
            }
            1 | 2 | 5 | 13 | 14 | 15 if state.minority => Err(NOT_READ_ONLY),
            _ => carry_out(state, now, session, kind, fields),
        };
        if cut == Some(Cut::Unanswered) {
            state.on.remove(&session);
            return false;
        }
        let zxid = state.tree.zxid();
        let frame = match result {
            Ok(record) => {
                let mut header = Record::default().int(xid).long(zxid).int(0);
                header.0.extend(record.0);
                header.framed()
            }
            Err(code) => Record::default().int(xid).long(zxid).int(code).framed(),
        };
        if let Some(held) = state.held_pings.as_mut().filter(|_| kind == 11) {
            held.push((session, frame));
            return true;
        }
        state.send(session, frame)
    });
    if ended {
        shared.end(&[session]);
    }
    go_on && !ended
}

/// An identity that a client shows. Of the schemes only `digest` is known: `USER:base64(sha1(USER:PASSWORD))`
/// is what a list names then.
fn auth(state: &mut State, session: i64, mut fields: Fields<'_>) -> Result<Record, i32> {
    use base64::Engine;
    use sha1::Digest;
    const AUTH_FAILED: i32 = -115;
    let shown = (|| Some((fields.int()?, fields.text()?, fields.text()?)))();
    let (_, scheme, secret) = shown.ok_or(UNREADABLE)?;
    let (user, _) = secret.split_once(':').filter(|_| scheme == "digest").ok_or(AUTH_FAILED)?;
    let hash = base64::engine::general_purpose::STANDARD.encode(sha1::Sha1::digest(secret.as_bytes()));
    state.tree.authenticate(session, format!("{user}:{hash}"));
    Ok(Record::default())
}

/// A change by its type.
fn change(kind: i32, fields: &mut Fields<'_>) -> Option<Op> {
    Some(match kind {
        1 | 15 => {
            let (path, data) = (fields.text()?, fields.buffer()?.to_vec());
            let entries = fields.int()?.max(0);
            let mut entry = || Some(Acl { perms: fields.int()?, scheme: fields.text()?, id: fields.text()? });
            let acl = (0..entries).map(|_| entry()).collect::<Option<Vec<Acl>>>()?;
            // Persistent, ephemeral, and either with a number; containers and nodes with a time to live are
            // no part of what stands in here.
            let flags = fields.int().filter(|flags| (0..4).contains(flags))?;
            let mode = Mode { ephemeral: flags & 1 != 0, sequential: flags & 2 != 0 };
            Op::Create { path, data, acl, mode }
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
            let op = change(kind, &mut fields).ok_or(UNREADABLE)?;
            let (done, events) = state.tree.change(now, session, &op).map_err(code)?;
            state.tell(events);
            Ok(record.done(&done, kind == 15))
        }
        3 | 4 | 8 | 12 => {
            let (path, watch) = (fields.text().ok_or(UNREADABLE)?, fields.bool().ok_or(UNREADABLE)?);
            // Whether a node is there is no secret.
            if kind != 3 {
                state.tree.may(session, &path, Perm::Read).map_err(code)?;
            }
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
        // checkWatches and removeWatches.
        17 | 18 => {
            let (path, of) = (fields.text().ok_or(UNREADABLE)?, fields.int().ok_or(UNREADABLE)?);
            let watch = match of {
                1 => Some(Watch::Children),
                2 => Some(Watch::Data),
                3 => None,
                _ => return Err(Code::BadArguments as i32),
            };
            if !state.tree.is_watched(session, watch, &path) {
                return Err(Code::NoWatcher as i32);
            }
            if kind == 18 {
                state.tree.unwatch(session, watch, &path).map_err(code)?;
            }
            Ok(record)
        }
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
        ops.push(change(kind, &mut fields).ok_or(UNREADABLE)?);
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
