//! Opens a watch on discovery's list, reads it to the end, and reports lists, silence and failure to the driver.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{timeout, timeout_at, Instant};
use woodgap_decisions::{BalancerSettings, DiscoveryMode};

use super::discovery::ServerList;
use super::objects::{NotAnObject, ObjectSplitter, StreamItem};
use crate::stream::RetryingTcpStream;
use crate::task::AbortOnDrop;

/// Time without a complete object or empty line after which a watch is suspected to be dead: a successor is called
/// while it is still read. Discovery sends at least an empty line every 2 s. A missed change must be known within 6 s
/// of the last object or line; this time, the spread of the calls, a lost call and the next response must fit in.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Time after which a waiting call counts as lost in [`DiscoveryMode::Subscribe`] mode, and one more call is
/// made beside it. Discovery ends a call that waits for 3 s; an earlier second call would use capacity that
/// the calls of other nodes need while discovery has many callers.
const HEDGE_DELAY: Duration = Duration::from_millis(3_100);
/// Time after which a second connection is dialled beside one that is not up, since the first may never come
/// up. A dial costs discovery nothing.
const SECOND_DIAL_DELAY: Duration = Duration::from_millis(1_000);
/// Spread per node of the fleet for the calls of nodes whose watches fall silent at the same moment.
const SPREAD_PER_NODE: Duration = Duration::from_millis(2);
/// Maximum spread of such calls.
const MAX_SPREAD: Duration = Duration::from_millis(300);
/// Maximum time from the start of a call to the head of its response in [`DiscoveryMode::Subscribe`] mode. Discovery
/// responds to calls in their order and ends one that waits for 3 s; with a shorter time, calls would fail as long as
/// discovery has many callers. This time, the balancer's pause (1.5 s at most) and the next call must fit into 6 s.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Response timeout for pushed lists, as a fraction of the time in which sends to a draining server must end.
/// The agent that pushes lists runs on this machine and responds at once. If it hangs, a list that it sends
/// once it responds again counts as known from that moment.
const PUSH_RESPONSE_FRACTION: f64 = 0.3;
/// Pause before a watch on pushed lists is opened again, as a fraction of the same time. A call that hangs
/// and this pause take half of it; in the other half, an attempt that waited on its connection may still be
/// written (`Servers::eligible_addr`).
const PUSH_RECONNECT_FRACTION: f64 = 0.2;
/// Minimum of the response timeout and of the pause for pushed lists, for any settings.
const MIN_PUSH_DELAY: Duration = Duration::from_millis(30);
/// Maximum size of a list, in bytes: enough for some ten thousand servers.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Event of a watch.
#[derive(Debug)]
pub enum WatchUpdate {
    /// A list arrived, or the first empty line, which counts as an empty change.
    List(ServerList),
    /// Nothing complete arrived for [`SILENCE_TIMEOUT`]. The watch is still read.
    Silent,
    /// The call failed or the watch ended.
    Failed,
}

/// Timeouts and delays of calls to discovery.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Maximum time from the start of a call to the head of its response.
    pub response_timeout: Duration,
    /// Pause before a watch on pushed lists is opened again.
    pub reconnect_pause: Duration,
    /// Time after which another call is made beside one without a response; `None` if lists are pushed.
    pub hedge_delay: Option<Duration>,
    /// Maximum random delay before the successor of a silent watch is called.
    pub successor_spread: Duration,
}

impl WatchTiming {
    /// Derives the timing from the settings and from the time in which sends to a draining server must end.
    pub fn from_settings(settings: &BalancerSettings, drain_grace: Duration) -> WatchTiming {
        let push_response_timeout = drain_grace.mul_f64(PUSH_RESPONSE_FRACTION).max(MIN_PUSH_DELAY);
        let response_timeout = match settings.discovery {
            DiscoveryMode::Push => push_response_timeout,
            // After a failed call, the pause (three quarters of `ask-within`) and the response to the next
            // call must fit into four times `ask-within`.
            DiscoveryMode::Subscribe => MAX_RESPONSE_TIMEOUT
                .min(3 * Duration::from_micros(settings.max_unsubscribed_time))
                .max(push_response_timeout),
        };
        let reconnect_pause = drain_grace.mul_f64(PUSH_RECONNECT_FRACTION).max(MIN_PUSH_DELAY);
        match settings.discovery {
            DiscoveryMode::Push => WatchTiming {
                response_timeout,
                reconnect_pause,
                hedge_delay: None,
                successor_spread: Duration::ZERO,
            },
            DiscoveryMode::Subscribe => {
                let successor_spread = (SPREAD_PER_NODE * settings.node_count).min(MAX_SPREAD);
                WatchTiming {
                    response_timeout,
                    reconnect_pause,
                    hedge_delay: Some(HEDGE_DELAY),
                    successor_spread,
                }
            }
        }
    }
}

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The connection could not be established.
    #[error("connection failed: {0}")]
    Dial(#[from] io::Error),
    /// The head of the response did not arrive in time.
    #[error("no answer within {0:?}")]
    Unanswered(Duration),
    /// Discovery responded with another status than 200.
    #[error("discovery answered {0}")]
    Refused(StatusCode),
    /// The response is not valid HTTP, or the connection broke.
    #[error("watch connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("invalid watch request: {0}")]
    Request(#[from] hyper::http::Error),
    /// Nothing complete arrived in time after the head of the response.
    #[error("the answer began, but no complete object or empty line arrived within {0:?}")]
    Silent(Duration),
    /// The response ended.
    #[error("discovery ended the watch")]
    Ended,
    /// The watch contains something that is neither an object nor an empty line.
    #[error(transparent)]
    NotAnObject(#[from] NotAnObject),
    /// An object is not valid JSON.
    #[error("invalid JSON object: {0}")]
    Json(#[from] serde_json::Error),
    /// An object has no `members` array.
    #[error("the object is not a server list: it has no 'members' array")]
    NotAList,
    /// A list exceeds [`MAX_LIST_BYTES`].
    #[error("the list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// A call for a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchCall {
    /// Number of the call, for the log.
    pub number: u64,
    /// Address of discovery.
    pub addr: SocketAddr,
    /// Revision that the node knows; discovery sends the changes since then. 0 requests the complete list.
    pub revision: u64,
    /// Maximum time to the head of the response, and from there to the first complete object or empty line.
    pub response_timeout: Duration,
}

/// Opens a watch and reports its events until it ends, and then [`WatchUpdate::Failed`].
pub async fn watch(call: WatchCall, mut report: impl FnMut(WatchUpdate)) {
    let WatchCall { number, addr, revision, .. } = call;
    let dial = dial_with_hedge(|| RetryingTcpStream::connect(addr));
    let started = Instant::now();
    let Err(error) = follow(dial, call, &mut report).await;
    let elapsed_ms = started.elapsed().as_millis();
    tracing::info!(
        "discovery at {addr}: call {number} from revision {revision} ended after {elapsed_ms} ms: {error}"
    );
    report(WatchUpdate::Failed);
}

/// Dials, and dials once more beside it after [`SECOND_DIAL_DELAY`]. The first connection that comes up is used.
async fn dial_with_hedge<S, F: Future<Output = io::Result<S>>>(dial: impl Fn() -> F) -> io::Result<S> {
    let mut first = std::pin::pin!(dial());
    if let Ok(dialled) = timeout(SECOND_DIAL_DELAY, first.as_mut()).await {
        return dialled;
    }
    tokio::select! {
        dialled = first => dialled,
        dialled = dial() => dialled,
    }
}

/// Requests the watch over the dialled connection and reports its events until it ends.
async fn follow<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    dial: impl Future<Output = io::Result<S>>,
    call: WatchCall,
    report: &mut impl FnMut(WatchUpdate),
) -> Result<Infallible, WatchError> {
    let WatchCall { addr, revision, response_timeout, .. } = call;
    // One timeout covers the dial and the response: a late connection leaves less time for the response.
    let exchange = async {
        let (mut sender, connection) = http1::handshake(TokioIo::new(dial.await?)).await?;
        let connection = AbortOnDrop::spawn(async move { drop(connection.await) });
        let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
            .header("host", addr.to_string())
            .body(Empty::<Bytes>::new())?;
        Ok::<_, WatchError>((sender.send_request(request).await?, sender, connection))
    };
    let (response, _sender, _connection) =
        timeout(response_timeout, exchange).await.map_err(|_| WatchError::Unanswered(response_timeout))??;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Refused(response.status()));
    }
    let mut body = response.into_body();
    let (mut splitter, mut first) = (ObjectSplitter::default(), true);
    // Bytes of an incomplete object count as silence too. Each silence is reported once.
    let mut silence_deadline = Some(Instant::now() + SILENCE_TIMEOUT);
    let mut failure_deadline = Some(Instant::now() + response_timeout.max(SILENCE_TIMEOUT));
    loop {
        let frame = match silence_deadline.or(failure_deadline) {
            Some(deadline) => timeout_at(deadline, body.frame()).await,
            None => Ok(body.frame().await),
        };
        let Ok(frame) = frame else {
            silence_deadline.take().ok_or(WatchError::Silent(response_timeout.max(SILENCE_TIMEOUT)))?;
            report(WatchUpdate::Silent);
            continue;
        };
        let Ok(chunk) = frame.ok_or(WatchError::Ended)??.into_data() else { continue };
        splitter.push(&chunk);
        while let Some(item) = splitter.next()? {
            (silence_deadline, failure_deadline) = (Some(Instant::now() + SILENCE_TIMEOUT), None);
            match item {
                StreamItem::Object(object) => {
                    let value: Value = serde_json::from_slice(&object)?;
                    report(WatchUpdate::List(ServerList::from_value(&value).ok_or(WatchError::NotAList)?));
                }
                // The balancer needs a response to its call even if nothing has changed.
                StreamItem::EmptyLine if first => report(WatchUpdate::List(ServerList::default())),
                StreamItem::EmptyLine => {}
            }
            first = false;
        }
        if splitter.len() > MAX_LIST_BYTES {
            return Err(WatchError::TooLong);
        }
    }
}

#[cfg(test)]
mod tests;
#[cfg(test)]
mod timing_tests;
