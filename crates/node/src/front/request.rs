//! Parses and validates the head of a client's request, for every protocol alike.

use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use woodgap_decisions::settings::ClassTenantNames;
use woodgap_decisions::{BalancerSettings, Key, Micros, Semantics};
use xxhash_rust::xxh3::xxh3_64;

use crate::upstream::exchange::MAX_BODY_BYTES;

/// Maximum length of `X-Txn`, the client's id of a request, in bytes.
const MAX_TRANSACTION_ID_LEN: usize = 128;
/// Standard headers that may occur only once: of two, the node may read the first and a server the last.
const UNIQUE_HEADERS: [HeaderName; 3] = [header::HOST, header::CONTENT_LENGTH, header::EXPECT];
/// The same for the headers of this API.
const UNIQUE_CUSTOM_HEADERS: [&str; 8] =
    ["x-txn", "x-lane", "x-org", "x-remaining-ms", "x-resent", "x-estimate", "x-labels", "idempotency-key"];

/// The status and the body with which a request is rejected.
pub type RequestError = (StatusCode, &'static str);

/// A validated request head.
pub struct RequestHead {
    /// The client's id of the request (`X-Txn`).
    pub transaction_id: String,
    /// Index of the class (`X-Lane`) in the settings.
    pub class: usize,
    /// Index of the balancer's tenant (`X-Org`), if the pool has several.
    pub tenant: Option<usize>,
    /// Time that is left for the request: the class's deadline, or `X-Remaining-Ms` if that is shorter.
    pub time_limit: Duration,
    /// The hashed `key` parameter of the query.
    pub key: Option<Key>,
    /// Whether the client has sent the request before (`X-Resent: 1`).
    pub is_resend: bool,
    /// The cost that the client estimates (`X-Estimate`).
    pub cost: Option<Micros>,
    /// The method to forward.
    pub method: Method,
    /// The path and query to forward.
    pub target: Uri,
    /// The headers to forward.
    pub headers: HeaderMap,
}

/// Rejects a request with status 400.
fn bad_request(reason: &'static str) -> RequestError {
    (StatusCode::BAD_REQUEST, reason)
}

impl RequestHead {
    /// Parses a head. `min_body` is the minimum length of the body, `chunked_only` says whether the body is
    /// framed in chunks and certain to have no `Content-Length`, and `org_is_tenant` whether `X-Org` names
    /// one of the balancer's tenants.
    ///
    /// # Errors
    /// The status and the body of the response that rejects the request.
    pub fn parse(
        head: Parts,
        min_body: u64,
        chunked_only: bool,
        settings: &BalancerSettings,
        names: &ClassTenantNames,
        org_is_tenant: bool,
    ) -> Result<RequestHead, RequestError> {
        let headers = &head.headers;
        // A head with both framings may hide another request in its body: see `ContentLengthTracker`.
        if headers.contains_key(header::TRANSFER_ENCODING) && !chunked_only {
            return Err((StatusCode::LENGTH_REQUIRED, "send a Content-Length, or chunks alone\n"));
        }
        let is_repeated = |count: usize| count > 1;
        if UNIQUE_HEADERS.iter().any(|name| is_repeated(headers.get_all(name).iter().count()))
            || UNIQUE_CUSTOM_HEADERS.iter().any(|name| is_repeated(headers.get_all(*name).iter().count()))
        {
            return Err(bad_request("a header stands twice\n"));
        }
        if !headers.contains_key(header::HOST) {
            return Err(bad_request("Host is missing\n"));
        }
        if head.method != Method::GET && head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "GET or POST\n"));
        }
        if min_body > MAX_BODY_BYTES as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"));
        }
        let text = |name: &str| headers.get(name).map(HeaderValue::to_str).transpose();
        let transaction_id = text("x-txn").map_err(|_| bad_request("X-Txn is not text\n"))?.unwrap_or("");
        if transaction_id.is_empty() || transaction_id.len() > MAX_TRANSACTION_ID_LEN {
            return Err(bad_request("X-Txn is missing or too long\n"));
        }
        let class = text("x-lane").ok().flatten().and_then(|name| names.class_index(name));
        let class = class.ok_or(bad_request("X-Lane names no known class\n"))?;
        let tenant = match text("x-org").map_err(|_| bad_request("X-Org is not text\n"))? {
            Some(name) if org_is_tenant => {
                Some(names.tenant_index(name).ok_or(bad_request("X-Org names no known tenant\n"))?)
            }
            _ => None,
        };
        let class_settings = &settings.classes[class];
        let (is_safe, is_keyed) = match class_settings.semantics {
            Semantics::Safe => (true, false),
            Semantics::Keyed { .. } => (false, true),
            Semantics::Unsafe => (false, false),
        };
        // Servers rely on the method and the idempotency key. A request in which they contradict the class
        // would be retried by the wrong rule.
        if (head.method == Method::GET) != is_safe || (is_safe && min_body > 0) {
            return Err(bad_request("the method or the body does not fit the class\n"));
        }
        if headers.contains_key("idempotency-key") != is_keyed {
            return Err(bad_request("Idempotency-Key does not fit the class\n"));
        }
        let class_deadline = Duration::from_micros(class_settings.deadline);
        let time_limit = match text("x-remaining-ms")
            .map_err(|_| bad_request("X-Remaining-Ms is not text\n"))?
        {
            None => class_deadline,
            Some(text) => {
                let ms: u64 =
                    text.trim().parse().map_err(|_| bad_request("X-Remaining-Ms is no whole number\n"))?;
                Duration::from_millis(ms).min(class_deadline)
            }
        };
        let key = head.uri.query().and_then(query_key);
        let is_resend = text("x-resent").ok().flatten() == Some("1");
        let cost = text("x-estimate").ok().flatten().and_then(|text| text.trim().parse().ok());
        let target = head.uri.path_and_query().cloned().map(Uri::from).ok_or(bad_request("no path\n"))?;
        let transaction_id = transaction_id.to_owned();
        let mut headers = head.headers;
        remove_hop_by_hop_headers(&mut headers);
        Ok(RequestHead {
            transaction_id,
            class,
            tenant,
            time_limit,
            key,
            is_resend,
            cost,
            method: head.method,
            target,
            headers,
        })
    }
}

/// Removes the headers that belong to one connection (hop-by-hop), and those of the body's framing, which the
/// next connection determines.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    ] {
        headers.remove(name);
    }
}

/// The hash of the `key` parameter of a query: below 2^53, and the same on every node.
fn query_key(query: &str) -> Option<Key> {
    let key = query.split('&').find_map(|pair| pair.strip_prefix("key="))?;
    (!key.is_empty()).then(|| Key(xxh3_64(key.as_bytes()) >> 11))
}
