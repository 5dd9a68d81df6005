//! Decodes requests, applies them to the tree and replies to them.

mod codes;

use super::super::tree::{
    Acl, CreateMode, ErrorCode, EventType, Op, OpResult, Permission, WatchEvent, WatchKind,
};
use super::record::{RecordReader, RecordWriter, MAX_FRAME_LEN};
use super::state::{Shared, State};
use super::CutPoint;
use codes::{
    AUTH, CHECK, CHECK_WATCHES, CLOSE_SESSION, CREATE, CREATE2, DELETE, EXISTS, GET_CHILDREN, GET_CHILDREN2,
    GET_DATA, MARSHALLING_ERROR, MULTI, NOT_READ_ONLY, PING, REMOVE_WATCHES, SET_DATA, SET_WATCHES, SYNC,
    UNIMPLEMENTED,
};

/// Applies a request and replies to it; returns `false` to close the connection. One lock covers the change,
/// its watch events and its reply, so that every client receives them in order.
pub(super) fn handle_request(shared: &Shared, session: i64, number: u64, request: &[u8]) -> bool {
    let now = shared.now();
    let mut fields = RecordReader(request);
    let (Some(xid), Some(kind)) = (fields.int(), fields.int()) else { return false };
    let mut closes_session = false;
    let keep_open = shared.with(|state| {
        // The session may have expired or moved to another connection meanwhile.
        let is_attached =
            state.attachments.get(&session).is_some_and(|attachment| attachment.number == number);
        if !is_attached || !state.tree.touch_session(now, session) {
            return false;
        }
        let cut = state.pending_cut.take_if(|(cut_kind, _)| *cut_kind == kind).map(|(_, cut)| cut);
        if cut == Some(CutPoint::BeforeProcessing) {
            state.attachments.remove(&session);
            return false;
        }
        *state.requests.entry(kind).or_default() += 1;
        state.traffic.requests += 1;
        state.traffic.reads += u64::from(matches!(kind, EXISTS | GET_DATA | GET_CHILDREN | GET_CHILDREN2));
        state.traffic.bytes_in += request.len() as u64 + 4;
        let result = match kind {
            PING => Ok(RecordWriter::default()),
            AUTH => authenticate(state, session, fields),
            CLOSE_SESSION => {
                closes_session = true;
                Ok(RecordWriter::default())
            }
            CREATE | DELETE | SET_DATA | CHECK | MULTI | CREATE2 if state.read_only => Err(NOT_READ_ONLY),
            _ => apply(state, now, session, kind, fields),
        };
        if cut == Some(CutPoint::BeforeReply) {
            state.attachments.remove(&session);
            return false;
        }
        let zxid = state.tree.zxid();
        let frame = match result {
            Ok(record) => {
                let mut header = RecordWriter::default().int(xid).long(zxid).int(0);
                header.0.extend(record.0);
                header.into_frame()
            }
            Err(code) => RecordWriter::default().int(xid).long(zxid).int(code).into_frame(),
        };
        if frame.len() > MAX_FRAME_LEN + 4 {
            // The client would refuse the reply and close the connection.
            state.attachments.remove(&session);
            return false;
        }
        if let Some(held) = state.held_ping_replies.as_mut().filter(|_| kind == PING) {
            held.push((session, frame));
            return true;
        }
        state.send(session, frame)
    });
    if closes_session {
        shared.close_sessions(&[session]);
    }
    keep_open && !closes_session
}

/// Authenticates a session. Only the scheme `digest` is supported, whose id in an ACL is
/// `USER:base64(sha1(USER:PASSWORD))`.
fn authenticate(state: &mut State, session: i64, mut fields: RecordReader<'_>) -> Result<RecordWriter, i32> {
    use base64::Engine;
    use sha1::Digest;
    const AUTH_FAILED: i32 = -115;
    let credentials = (|| Some((fields.int()?, fields.text()?, fields.text()?)))();
    let (_, scheme, secret) = credentials.ok_or(MARSHALLING_ERROR)?;
    let (user, _) = secret.split_once(':').filter(|_| scheme == "digest").ok_or(AUTH_FAILED)?;
    let hash = base64::engine::general_purpose::STANDARD.encode(sha1::Sha1::digest(secret.as_bytes()));
    state.tree.authenticate(session, format!("{user}:{hash}"));
    Ok(RecordWriter::default())
}

/// Decodes an operation that changes the tree; `None` if it is not valid or not supported.
fn read_op(kind: i32, fields: &mut RecordReader<'_>) -> Option<Op> {
    Some(match kind {
        CREATE | CREATE2 => {
            let (path, data) = (fields.text()?, fields.buffer()?.to_vec());
            let entries = fields.int()?.max(0);
            let mut entry = || Some(Acl { perms: fields.int()?, scheme: fields.text()?, id: fields.text()? });
            let acl = (0..entries).map(|_| entry()).collect::<Option<Vec<Acl>>>()?;
            // Persistent and ephemeral nodes, each also sequential. Containers and nodes with a time to live
            // are not supported.
            let flags = fields.int().filter(|flags| (0..4).contains(flags))?;
            let mode = CreateMode { ephemeral: flags & 1 != 0, sequential: flags & 2 != 0 };
            Op::Create { path, data, acl, mode }
        }
        DELETE => Op::Delete { path: fields.text()?, version: fields.int()? },
        SET_DATA => Op::Set { path: fields.text()?, data: fields.buffer()?.to_vec(), version: fields.int()? },
        CHECK => Op::Check { path: fields.text()?, version: fields.int()? },
        _ => return None,
    })
}

fn apply(
    state: &mut State,
    now: i64,
    session: i64,
    kind: i32,
    mut fields: RecordReader<'_>,
) -> Result<RecordWriter, i32> {
    let code = |code: ErrorCode| code as i32;
    let record = RecordWriter::default();
    match kind {
        CREATE | DELETE | SET_DATA | CHECK | CREATE2 => {
            let op = read_op(kind, &mut fields).ok_or(MARSHALLING_ERROR)?;
            let (result, events) = state.tree.apply(now, session, &op).map_err(code)?;
            state.send_events(events);
            Ok(record.result(&result, kind == CREATE2))
        }
        EXISTS | GET_DATA | GET_CHILDREN | GET_CHILDREN2 => {
            let (path, watch) =
                (fields.text().ok_or(MARSHALLING_ERROR)?, fields.bool().ok_or(MARSHALLING_ERROR)?);
            // `exists` needs no permission.
            if kind != EXISTS {
                state.tree.check_permission(session, &path, Permission::Read).map_err(code)?;
            }
            let result = match kind {
                EXISTS => state.tree.get(&path).map(|(_, stat)| record.stat(&stat)),
                GET_DATA => state.tree.get(&path).map(|(data, stat)| record.buffer(data).stat(&stat)),
                GET_CHILDREN => state.tree.children(&path).map(|(names, _)| record.texts(&names)),
                _ => state.tree.children(&path).map(|(names, stat)| record.texts(&names).stat(&stat)),
            };
            // `exists` also sets a watch on a missing znode.
            if watch && (result.is_ok() || kind == EXISTS) {
                let watch_kind =
                    if kind == EXISTS || kind == GET_DATA { WatchKind::Data } else { WatchKind::Children };
                state.tree.set_watch(session, watch_kind, &path);
            }
            result.map_err(code)
        }
        SYNC => fields.buffer().map(|path| record.buffer(path)).ok_or(MARSHALLING_ERROR),
        CHECK_WATCHES | REMOVE_WATCHES => {
            let (path, watcher_type) =
                (fields.text().ok_or(MARSHALLING_ERROR)?, fields.int().ok_or(MARSHALLING_ERROR)?);
            let watch_kind = match watcher_type {
                1 => Some(WatchKind::Children),
                2 => Some(WatchKind::Data),
                3 => None,
                _ => return Err(ErrorCode::BadArguments as i32),
            };
            if !state.tree.is_watched(session, watch_kind, &path) {
                return Err(ErrorCode::NoWatcher as i32);
            }
            if kind == REMOVE_WATCHES {
                state.tree.remove_watch(session, watch_kind, &path).map_err(code)?;
            }
            Ok(record)
        }
        MULTI => multi(state, now, session, fields),
        SET_WATCHES => set_watches(state, session, fields).map(|()| record).ok_or(MARSHALLING_ERROR),
        _ => Err(UNIMPLEMENTED),
    }
}

fn multi(
    state: &mut State,
    now: i64,
    session: i64,
    mut fields: RecordReader<'_>,
) -> Result<RecordWriter, i32> {
    let (mut kinds, mut ops) = (Vec::new(), Vec::new());
    loop {
        let (kind, done) = (fields.int().ok_or(MARSHALLING_ERROR)?, fields.bool().ok_or(MARSHALLING_ERROR)?);
        fields.int().ok_or(MARSHALLING_ERROR)?;
        if done {
            break;
        }
        kinds.push(kind);
        ops.push(read_op(kind, &mut fields).ok_or(MARSHALLING_ERROR)?);
    }
    let record = match state.tree.multi(now, session, &ops) {
        Ok((results, events)) => {
            state.send_events(events);
            let add_result = |record: RecordWriter, (kind, result): (&i32, &OpResult)| {
                record.int(*kind).bool(false).int(0).result(result, *kind == CREATE2)
            };
            kinds.iter().zip(&results).fold(RecordWriter::default(), add_result)
        }
        Err((failed, code)) => (0..ops.len()).fold(RecordWriter::default(), |record, index| {
            // Operations before the failed one were rolled back, those after it were not tried.
            let code = match index.cmp(&failed) {
                std::cmp::Ordering::Less => 0,
                std::cmp::Ordering::Equal => code as i32,
                std::cmp::Ordering::Greater => ErrorCode::RuntimeInconsistency as i32,
            };
            record.int(-1).bool(false).int(code).int(code)
        }),
    };
    Ok(record.int(-1).bool(true).int(-1))
}

/// Sets the watches of a client again after it has reconnected, and sends the events of what changed since
/// the last zxid that the client has seen.
fn set_watches(state: &mut State, session: i64, mut fields: RecordReader<'_>) -> Option<()> {
    let last_zxid_seen = fields.long()?;
    let (data, exist, child) = (fields.texts()?, fields.texts()?, fields.texts()?);
    let mut events = Vec::new();
    let mut add_missed =
        |event_type, path: &String| events.push(WatchEvent { session, event_type, path: path.clone() });
    for path in &data {
        match state.tree.get(path) {
            Err(_) => add_missed(EventType::Deleted, path),
            Ok((_, stat)) if stat.mzxid > last_zxid_seen => add_missed(EventType::DataChanged, path),
            Ok(_) => state.tree.set_watch(session, WatchKind::Data, path),
        }
    }
    for path in &exist {
        match state.tree.get(path) {
            Ok(_) => add_missed(EventType::Created, path),
            Err(_) => state.tree.set_watch(session, WatchKind::Data, path),
        }
    }
    for path in &child {
        match state.tree.get(path) {
            Err(_) => add_missed(EventType::Deleted, path),
            Ok((_, stat)) if stat.pzxid > last_zxid_seen => add_missed(EventType::ChildrenChanged, path),
            Ok(_) => state.tree.set_watch(session, WatchKind::Children, path),
        }
    }
    state.send_events(events);
    Some(())
}
