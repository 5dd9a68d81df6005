//! Handles one request from its head to its response: routing, admission, reading the body, and the call to
//! the pool.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::Instant;
use woodgap_decisions::{ClassId, TenantId};

use super::connection::ClientConnection;
use super::manager::{ConnectionManager, OVERLOAD_RETRY_AFTER};
use super::pending_request::PendingRequest;
use super::refusal::{text_response, REFUSED};
use super::request::{remove_hop_by_hop_headers, RequestError, RequestHead};
use crate::meter::TenantMeter;
#[cfg(feature = "hosted")]
use crate::pool::admission::{AdmissionOutcome, AdmissionRequest};
use crate::pool::driver::{DriverMessage, FinalResponse, RequestArrival};
use crate::pool::{increment, PoolHandle};
use crate::upstream::exchange::UpstreamRequest;

/// Subtracted from the time limit of a request, so that the response arrives in time: the client counts from
/// its write, the node from its read, and the response takes time on the network as well.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(12);

impl ConnectionManager {
    /// Handles a request. Returns the response, and whether the connection may be kept open after it.
    pub(super) async fn handle_request<B>(
        &self,
        request: Request<B>,
        body_deadline: Instant,
        conn: &Rc<ClientConnection>,
        listener: &str,
        meter: Option<Rc<TenantMeter>>,
    ) -> (Response<Full<Bytes>>, bool)
    where
        B: Body<Data = Bytes> + 'static,
    {
        match request.uri().path() {
            "/-/ready" if request.method() == Method::GET => {
                let ready = !self.draining.get();
                (
                    text_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, ""),
                    true,
                )
            }
            "/api" => {
                let (parts, body) = request.into_parts();
                let pool = match self.directory.find_pool(listener, &parts) {
                    Ok(pool) => pool,
                    Err((status, reason)) => return (text_response(status, reason), false),
                };
                if let Some(meter) = meter {
                    meter.set_tenant(pool.usage.uid, pool.weight.get());
                }
                let may_keep = self.reserve_for_tenant(conn, &pool);
                let (mut response, keep_open) =
                    match self.forward_request(parts, body, body_deadline, &pool, conn).await {
                        Ok(response) => (response, may_keep),
                        // After an invalid request, the start of the client's next request is uncertain.
                        Err((status, reason)) => (text_response(status, reason), false),
                    };
                if let Some((policy, limit)) = self.directory.quota_headers(&pool) {
                    response.headers_mut().insert("ratelimit-policy", policy);
                    response.headers_mut().insert("ratelimit", limit);
                }
                (response, keep_open)
            }
            _ => (text_response(StatusCode::NOT_FOUND, "no such path\n"), false),
        }
    }

    /// Reserves one of the tenant's connections for this one. Returns whether it may be kept open.
    fn reserve_for_tenant(&self, conn: &ClientConnection, pool: &Rc<PoolHandle>) -> bool {
        if conn.tenant() == Some(pool.usage.uid) {
            return true;
        }
        *conn.tenant_permit.borrow_mut() = None;
        let Some(permit) = self.directory.reserve_connection(pool) else { return false };
        *conn.tenant_permit.borrow_mut() = Some((pool.usage.uid, permit));
        true
    }

    /// Admits a request, reads its body, sends it to the pool and waits for the response.
    async fn forward_request<B>(
        &self,
        parts: Parts,
        body: B,
        body_deadline: Instant,
        pool: &Rc<PoolHandle>,
        conn: &Rc<ClientConnection>,
    ) -> Result<Response<Full<Bytes>>, RequestError>
    where
        B: Body<Data = Bytes> + 'static,
    {
        let usage = &pool.usage;
        if let Err(rejection) = self.directory.admit_request(pool) {
            increment(&usage.refused);
            return Ok(self.rejection_response(rejection));
        }
        let min_body = body.size_hint().lower();
        let chunked = conn.content_lengths.is_chunked_only(&parts);
        let head =
            RequestHead::parse(parts, min_body, chunked, &pool.settings, &pool.names, pool.org_is_tenant)?;
        // Before the body arrives, so that no other request takes the id of one that arrives slowly.
        let Some(entry) = self.deduplication.insert(usage.uid, &head.transaction_id) else {
            return Err((StatusCode::CONFLICT, "a request with this X-Txn is open, or may have run\n"));
        };
        let received = match self.receive_body(body, body_deadline, pool, conn).await? {
            Ok(received) => received,
            Err(rejection) => {
                increment(&usage.refused);
                return Ok(self.rejection_response(rejection));
            }
        };
        // The tenant may have been deleted while the body arrived: nothing new is accepted from then on.
        if usage.is_deleted.get() {
            return Err(super::NO_TENANT);
        }
        // A request's time counts from its last byte.
        let deadline = Instant::now() + head.time_limit.saturating_sub(RESPONSE_MARGIN);
        let deadline = self.shutdown_deadline.get().map_or(deadline, |shutdown| deadline.min(shutdown));
        let request_permit = match self.reserve_request(pool).await {
            Ok(permit) => permit,
            Err(rejection) => {
                increment(&usage.refused);
                return Ok(self.rejection_response(rejection));
            }
        };
        let pending = PendingRequest::new(pool);
        let upstream_request = Rc::new(UpstreamRequest {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: received.body,
        });
        // Each submission has a new id, as the pool may still know the previous one.
        let submit = || {
            let id = self.next_request_id.replace(self.next_request_id.get() + 1);
            pending.set_driver_id(id);
            let (reply, response) = oneshot::channel();
            let arrival = RequestArrival {
                id,
                class: ClassId(head.class),
                tenant: head.tenant.map(TenantId),
                key: head.key,
                is_retry: head.is_resend,
                cost: head.cost,
                deadline,
                payload: upstream_request.clone(),
                reply,
            };
            let sent = pool.tx.send(DriverMessage::Request(Box::new(arrival))).is_ok();
            let entry = &entry;
            entry.set_may_have_run(sent);
            async move {
                if !sent {
                    return (FinalResponse::Refused(Some(OVERLOAD_RETRY_AFTER)), None);
                }
                let reply = response.await.unwrap_or((FinalResponse::DeadlineExceeded, None));
                if matches!(reply.0, FinalResponse::Refused(_)) {
                    // Proves that the request had no effect, or that it may be repeated.
                    entry.set_may_have_run(false);
                }
                reply
            }
        };
        #[cfg(feature = "hosted")]
        let admission = pool.admission.borrow().clone();
        #[cfg(feature = "hosted")]
        let response = match admission {
            None => submit().await.0,
            Some((admission, keys)) => {
                let key = keys.key_of(&upstream_request.headers, conn.identity.get(), head.key);
                let request = AdmissionRequest { key, class: head.class, is_retry: head.is_resend, deadline };
                match admission.admit_and_send(request, submit).await {
                    AdmissionOutcome::Responded(response) => response,
                    AdmissionOutcome::Refused(retry_after) => FinalResponse::Refused(retry_after),
                }
            }
        };
        #[cfg(not(feature = "hosted"))]
        let response = submit().await.0;
        conn.hold_until_written(Box::new((received.permit, request_permit)));
        Ok(match response {
            FinalResponse::Served(headers, body) => {
                increment(&usage.served);
                served_response(headers, body)
            }
            FinalResponse::Refused(retry_after) => {
                increment(&usage.refused);
                self.refusal_response(StatusCode::SERVICE_UNAVAILABLE, REFUSED, retry_after)
            }
            FinalResponse::Failed => {
                increment(&usage.failed);
                text_response(StatusCode::BAD_GATEWAY, "failed\n")
            }
            FinalResponse::DeadlineExceeded => {
                increment(&usage.failed);
                text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
            }
        })
    }
}

/// Returns a server's response as it is sent to the client, without hop-by-hop headers and the load report.
fn served_response(mut headers: HeaderMap, body: Bytes) -> Response<Full<Bytes>> {
    remove_hop_by_hop_headers(&mut headers);
    headers.remove("x-pressure");
    let mut response = Response::new(Full::new(body));
    *response.headers_mut() = headers;
    response
}
