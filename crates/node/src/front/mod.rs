//! The client-facing side of the node: accepts HTTP/1.1 and HTTP/3 connections, reads requests and hands each
//! to the pool of its tenant.
//!
//! ```text
//!   listener ─▶ http1, http3 ─▶ manager ─▶ PoolDirectory::find_pool (which tenant?)
//!                                       ─▶ PoolDirectory::admit_request (quota, CPU time)
//!                                       ─▶ request::RequestHead (validation)
//!                                       ─▶ PoolDirectory::reserve_body (capacity) ─▶ request_body
//!                                       ─▶ PoolDirectory::reserve_request (capacity) ─▶ PoolHandle::tx ─▶ pool
//! ```
//!
//! Nothing downstream of this module knows by which protocol a request arrived. The [`PoolDirectory`] owns
//! the pools; this module owns the client connections, and each request until its response.

mod accept;
mod client_identity;
#[cfg(feature = "hosted")]
pub mod client_key;
pub mod connection;
mod connection_limits;
pub mod content_length;
mod deduplication;
pub mod http1;
#[cfg(feature = "hosted")]
pub mod http3;
mod linger;
pub mod manager;
mod pending_request;
mod phase;
pub mod refusal;
pub mod request;
mod request_body;
pub mod request_handler;
mod shutdown;
pub mod socket;
#[cfg(feature = "hosted")]
pub mod tls;

use std::any::Any;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::StatusCode;
use woodgap_tenancy::Uid;

use crate::meter::CoreUsage;
use crate::pool::PoolHandle;
use request::RequestError;

/// Status and body of the response to a request that names no known tenant.
pub const NO_TENANT: RequestError = (StatusCode::NOT_FOUND, "no such tenant\n");

/// A body of up to this many bytes is short. Bodies that arrive slowly take no capacity from requests with short ones:
/// most requests have such a body, and it fits into the buffers that its connection has in any case.
pub const MAX_SHORT_BODY_BYTES: u64 = 4 * 1024;

/// Capacity reserved for a request, or for a connection of a tenant; released when dropped.
pub type RequestPermit = Box<dyn Any>;

/// A refusal before the request is sent to any server, so that a retry is harmless.
pub struct Rejection {
    /// The response status, 429 or 503.
    pub status: StatusCode,
    /// The response body, for people to read.
    pub reason: &'static str,
    /// Time after which the client may retry.
    pub retry_after: Duration,
}

/// Routes requests to pools, and decides whether a request is admitted.
pub trait PoolDirectory {
    /// Finds the pool of a request that arrived at the named listener.
    fn find_pool(&self, listener: &str, head: &Parts) -> Result<Rc<PoolHandle>, RequestError>;

    /// Checks quota and CPU time before the request is read. Runs for refused requests too, so it has to be
    /// cheap.
    fn admit_request(&self, _pool: &Rc<PoolHandle>) -> Result<(), Rejection> {
        Ok(())
    }

    /// The state of the tenant's quota, as values of the fields `RateLimit-Policy` and `RateLimit`. `None`
    /// for a tenant without a quota.
    fn quota_headers(&self, _pool: &Rc<PoolHandle>) -> Option<(HeaderValue, HeaderValue)> {
        None
    }

    /// Reserves capacity for a body of at most this many bytes, which is to be received. The permit is held for as
    /// long as the request is open.
    fn reserve_body(&self, pool: &Rc<PoolHandle>, max_bytes: u64) -> Result<RequestPermit, Rejection>;

    /// Reserves capacity for sending a request to a server, once its body has been received.
    fn reserve_request(&self, pool: &Rc<PoolHandle>) -> Result<RequestPermit, Rejection>;

    /// Reserves one of the connections of the pool's tenant. On `None` the connection is closed after the
    /// response.
    fn reserve_connection(&self, _pool: &Rc<PoolHandle>) -> Option<RequestPermit> {
        Some(Box::new(()))
    }

    /// Whether a tenant has more connections than its share.
    fn exceeds_connection_share(&self, _uid: Uid) -> bool {
        false
    }

    /// The longest deadline of any request: after that time every accepted request has its response.
    fn max_request_duration(&self) -> Duration;

    /// The CPU time accounting, on nodes that have it.
    fn core(&self) -> Option<&Rc<CoreUsage>> {
        None
    }
}

#[cfg(test)]
mod tests;
