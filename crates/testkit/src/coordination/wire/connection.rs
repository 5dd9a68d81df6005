//! Accepts client connections, and serves each from its connect request until it closes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::record::{read_frame, RecordReader, RecordWriter};
use super::requests::handle_request;
use super::state::{Attachment, Shared};

/// Accepts connections at an address until the task is aborted.
pub(super) fn accept(shared: &Arc<Shared>, listener: TcpListener, address: SocketAddr) -> JoinHandle<()> {
    let shared = shared.clone();
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                Ok((stream, _)) = listener.accept() => {
                    let shared = shared.clone();
                    if !shared.with(|state| state.refused_addresses.contains(&address)) {
                        connections.spawn(async move { drop(serve(shared, stream, address).await) });
                    }
                }
                Some(_) = connections.join_next() => {}
            }
        }
    })
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, address: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut input, mut output) = stream.into_split();
    let first = read_frame(&mut input).await?;
    let mut faults = shared.faults.subscribe();
    let _ = faults.wait_for(|faults| !faults.silent).await;
    let refused = || io::Error::other("connect request is malformed or refused");
    let mut fields = RecordReader(&first);
    let request =
        (|| Some((fields.int()?, fields.long()?, fields.int()?, fields.long()?, fields.buffer()?)))();
    let (_, last_zxid_seen, timeout, id, password) = request.ok_or_else(refused)?;
    let now = shared.now();
    let (outgoing, mut frames) = mpsc::unbounded_channel();
    let attached = shared.with(|state| {
        if state.refused_addresses.contains(&address) || last_zxid_seen > state.tree.zxid() {
            // A client that has seen a later zxid than this service must connect to another member.
            return Err(refused());
        }
        let session = match id {
            0 => Some(state.tree.open_session(now, i64::from(timeout))),
            id => state
                .tree
                .resume_session(now, id, password)
                .and_then(|timeout| Some((id, password.try_into().ok()?, timeout))),
        };
        Ok(session.map(|session| {
            state.connections += 1;
            // A session has one connection: dropping the sender of the previous one closes that connection.
            state.attachments.insert(session.0, Attachment { number: state.connections, address, outgoing });
            (session, state.connections)
        }))
    })?;
    let connect_reply = |timeout: i64, id: i64, password: [u8; 16]| {
        RecordWriter::default().int(0).int(timeout as i32).long(id).buffer(&password).bool(false).into_frame()
    };
    let Some(((session, password, timeout), number)) = attached else {
        // A timeout of 0 tells the client that its session has expired.
        return output.write_all(&connect_reply(0, 0, [0; 16])).await;
    };
    output.write_all(&connect_reply(timeout, session, password)).await?;
    let mut reader_faults = faults.clone();
    let reads = async {
        loop {
            let request = read_frame(&mut input).await?;
            let _ = reader_faults.wait_for(|faults| !faults.silent).await;
            if !handle_request(&shared, session, number, &request) {
                return Ok::<_, io::Error>(());
            }
        }
    };
    let writes = async {
        while let Some((ready_at, frame)) = frames.recv().await {
            let delay =
                faults.wait_for(|faults| !faults.silent).await.map_or(Duration::ZERO, |faults| faults.delay);
            if !delay.is_zero() {
                tokio::time::sleep_until((ready_at + delay).into()).await;
            }
            output.write_all(&frame).await?;
        }
        Ok::<_, io::Error>(())
    };
    let result = tokio::select! {
        result = reads => result,
        result = writes => result,
    };
    // Sends the replies that are still queued.
    while let Ok((_, frame)) = frames.try_recv() {
        output.write_all(&frame).await?;
    }
    shared.with(|state| {
        if state.attachments.get(&session).is_some_and(|attachment| attachment.number == number) {
            state.attachments.remove(&session);
        }
    });
    result
}
