//! Receives the bodies of requests, as long as there is capacity for them and their connections are not needed by
//! others.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::StatusCode;
use tokio::time::{timeout_at, Instant};

use super::connection::ClientConnection;
use super::manager::ConnectionManager;
use super::refusal::OVERLOADED;
use super::request::RequestError;
use super::{Rejection, RequestPermit, MAX_SHORT_BODY_BYTES};
use crate::body::{discard_body, BodyBuffer, ReadBodyError};
use crate::pool::PoolHandle;
use crate::upstream::exchange::MAX_BODY_BYTES;

/// The body of a request, and the capacity that is reserved for it.
pub(super) struct BufferedBody {
    pub(super) body: Bytes,
    pub(super) permit: RequestPermit,
}

impl ConnectionManager {
    /// Reserves capacity for the body of a request and receives it. Capacity for a long body whose length is not
    /// declared is reserved once it proves to be long.
    ///
    /// The inner error is the refusal of a request for which there is no capacity, or whose connection others need.
    ///
    /// # Errors
    /// The status and the body of the response if the body is too long, broken or late.
    pub(super) async fn receive_body<B: Body<Data = Bytes> + 'static>(
        &self,
        body: B,
        deadline: Instant,
        pool: &Rc<PoolHandle>,
        conn: &Rc<ClientConnection>,
    ) -> Result<Result<BufferedBody, Rejection>, RequestError> {
        let declared = body.size_hint().exact();
        let permit = match self.reserve_body(pool, declared.unwrap_or(MAX_SHORT_BODY_BYTES)).await {
            Ok(permit) => permit,
            Err(rejection) => {
                self.discard_rest(body, deadline, conn).await;
                return Ok(Err(rejection));
            }
        };
        let reading = self.read_reserved(body_of(body, conn), declared.is_some(), pool, permit);
        match receive_in_time(reading, deadline, conn).await? {
            Some(Ok(received)) => Ok(Ok(received)),
            Some(Err(rejection)) => {
                // The rest of the body is not read.
                conn.request_close(false);
                Ok(Err(rejection))
            }
            None => {
                // Wakes the request that needs the capacity, which is released by now.
                self.connection_ended.notify_waiters();
                Ok(Err(OVERLOADED))
            }
        }
    }

    /// Reads a body to its end. `is_reserved` says whether `permit` is for its whole length.
    async fn read_reserved<B: Body<Data = Bytes>>(
        &self,
        body: B,
        is_reserved: bool,
        pool: &Rc<PoolHandle>,
        mut permit: RequestPermit,
    ) -> Result<Result<BufferedBody, Rejection>, ReadBodyError<B::Error>> {
        let mut body = pin!(body);
        let mut buffer = BodyBuffer::new(&body.size_hint(), MAX_BODY_BYTES);
        let mut unreserved_from = if is_reserved { usize::MAX } else { MAX_SHORT_BODY_BYTES as usize };
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(ReadBodyError::Broken)?.into_data() else { continue };
            buffer.append(data)?;
            if buffer.received_bytes() > unreserved_from {
                unreserved_from = usize::MAX;
                permit = match self.reserve_body(pool, MAX_BODY_BYTES as u64).await {
                    Ok(permit) => permit,
                    Err(rejection) => return Ok(Err(rejection)),
                };
            }
        }
        Ok(Ok(BufferedBody { body: buffer.into_bytes(), permit }))
    }

    /// Receives the rest of a request that is refused, without keeping it. Closing a connection over unread bytes
    /// would reset it, and the client might not receive the refusal.
    pub(super) async fn discard_rest<B: Body<Data = Bytes> + 'static>(
        &self,
        body: B,
        deadline: Instant,
        conn: &Rc<ClientConnection>,
    ) {
        let discarding = discard_body(body_of(body, conn), MAX_BODY_BYTES);
        if !matches!(receive_in_time(discarding, deadline, conn).await, Ok(Some(()))) {
            // The start of the client's next request is uncertain.
            conn.request_close(false);
        }
    }
}

/// The body of a request, which records on its connection that bytes arrive.
fn body_of<B: Body<Data = Bytes> + 'static>(
    body: B,
    conn: &ClientConnection,
) -> impl Body<Data = Bytes, Error = B::Error> + '_ {
    body.map_frame(|frame| {
        conn.record_receive();
        frame
    })
}

/// Waits for a body that is being read. `None` if its request is to be refused instead.
async fn receive_in_time<T, E>(
    reading: impl Future<Output = Result<T, ReadBodyError<E>>>,
    deadline: Instant,
    conn: &Rc<ClientConnection>,
) -> Result<Option<T>, RequestError> {
    let _incomplete = conn.start_receiving();
    let received = tokio::select! {
        biased;
        received = timeout_at(deadline, reading) => received,
        () = conn.wait_for_refusal() => return Ok(None),
    };
    match received {
        Ok(Ok(received)) => Ok(Some(received)),
        Ok(Err(ReadBodyError::TooLong(_))) => Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n")),
        Ok(Err(ReadBodyError::Broken(_))) => Err((StatusCode::BAD_REQUEST, "the body is broken\n")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the body did not come\n")),
    }
}
