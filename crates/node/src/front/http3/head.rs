//! Converts the head of an HTTP/3 request into the form of HTTP/1.1, in which all requests are parsed.

use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, StatusCode};

use crate::front::manager::MAX_HEADER_FIELDS;
use crate::front::request::RequestError;

/// Connection-specific fields of HTTP/1.1: a message with one of them is malformed (RFC 9114, section 4.2).
const FORBIDDEN_FIELDS: [&str; 5] =
    ["connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"];

/// Converts a head into the form in which all requests are parsed: `:authority` becomes `Host`.
///
/// # Errors
/// Returns the status and the body of the rejection of a head that HTTP/3 forbids or whose fields contradict
/// one another.
pub(super) fn normalize_head(request: Request<()>) -> Result<Request<()>, RequestError> {
    let bad_request = |reason| Err((StatusCode::BAD_REQUEST, reason));
    let (mut parts, ()) = request.into_parts();
    let headers = &mut parts.headers;
    if headers.len() > MAX_HEADER_FIELDS {
        return Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "too many fields\n"));
    }
    if FORBIDDEN_FIELDS.iter().any(|name| headers.contains_key(*name)) {
        return bad_request("a field of HTTP/1.1 connections has no place here\n");
    }
    if headers.get_all(header::TE).iter().any(|value| value != "trailers") {
        return bad_request("TE may only say trailers here\n");
    }
    // `Host` and `:authority` have to agree (RFC 9114, section 4.3.1).
    if let Some(authority) = parts.uri.authority() {
        if authority.as_str().contains('@') {
            return bad_request("no user belongs in :authority\n");
        }
        match headers.get(header::HOST) {
            Some(host) if host.as_bytes() != authority.as_str().as_bytes() => {
                return bad_request("Host and :authority differ\n");
            }
            Some(_) => {}
            None => {
                let Ok(host) = HeaderValue::from_str(authority.as_str()) else {
                    return bad_request(":authority cannot be read\n");
                };
                headers.insert(header::HOST, host);
            }
        }
    }
    Ok(Request::from_parts(parts, ()))
}

/// The value of `Content-Length`, if the head has one.
pub(super) fn content_length(headers: &HeaderMap) -> Result<Option<u64>, RequestError> {
    let mut values = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let digits =
        value.to_str().ok().filter(|text| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()));
    // Repeated fields are rejected later, together with those of other names.
    let length = digits.and_then(|text| text.parse().ok());
    length.map(Some).ok_or((StatusCode::BAD_REQUEST, "Content-Length is no length\n"))
}
