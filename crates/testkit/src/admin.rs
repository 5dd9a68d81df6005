//! A client of the administration API.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{json, Value};

use crate::client::Connection;

/// A response of the administration API.
#[derive(Clone, Debug)]
pub struct AdminResponse {
    /// The status code.
    pub status: u16,
    /// The entity tag (`ETag`).
    pub etag: Option<String>,
    /// For how many seconds the shared catalogue has been unreachable, if it is (`X-Catalogue-Stale`).
    pub stale_s: Option<u64>,
    /// The media type; empty if there is none.
    pub content_type: String,
    /// The body; null if it is not JSON.
    pub body: Value,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug)]
pub enum Precondition<'a> {
    /// No precondition.
    None,
    /// The document does not exist (`If-None-Match: *`).
    Absent,
    /// The document has this entity tag (`If-Match`).
    Match(&'a str),
}

/// A client of the administration API, with its access token.
#[derive(Clone, Debug)]
pub struct Admin {
    /// The address of the API.
    pub addr: SocketAddr,
    /// The token's secret.
    pub secret: String,
}

impl Admin {
    /// Sends a request for a path under `/v1`.
    ///
    /// # Errors
    /// If the connection fails.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        precondition: Precondition<'_>,
        body: Option<&Value>,
    ) -> io::Result<AdminResponse> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/v1/{path}"))
            .header("host", "admin")
            .header("authorization", format!("Bearer {}", self.secret));
        request = match precondition {
            Precondition::None => request,
            Precondition::Absent => request.header("if-none-match", "*"),
            Precondition::Match(tag) => request.header("if-match", tag),
        };
        if body.is_some() {
            request = request.header("content-type", "application/json");
        }
        let body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
        let request = request.body(Full::new(body)).map_err(io::Error::other)?;
        let response = Connection::open(self.addr).await?.send_http(request).await?;
        let header = |name: &str| response.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        Ok(AdminResponse {
            status: response.status.as_u16(),
            etag: header("etag"),
            stale_s: header("x-catalogue-stale").and_then(|age| age.parse().ok()),
            content_type: header("content-type").unwrap_or_default(),
            body: serde_json::from_slice(&response.body).unwrap_or(Value::Null),
        })
    }

    /// Reads a document.
    ///
    /// # Errors
    /// If the connection fails.
    pub async fn get(&self, path: &str) -> io::Result<AdminResponse> {
        self.call(Method::GET, path, Precondition::None, None).await
    }

    /// Writes a document.
    ///
    /// # Errors
    /// If the connection fails.
    pub async fn put(
        &self,
        path: &str,
        precondition: Precondition<'_>,
        body: &Value,
    ) -> io::Result<AdminResponse> {
        self.call(Method::PUT, path, precondition, Some(body)).await
    }

    /// Deletes a document.
    ///
    /// # Errors
    /// If the connection fails.
    pub async fn delete(&self, path: &str, precondition: Precondition<'_>) -> io::Result<AdminResponse> {
        self.call(Method::DELETE, path, precondition, None).await
    }

    /// Deletes a document in its current version.
    ///
    /// # Errors
    /// If the connection fails, or the document does not exist.
    pub async fn delete_current(&self, path: &str) -> io::Result<AdminResponse> {
        let tag = self.get(path).await?.etag.ok_or(io::ErrorKind::NotFound)?;
        self.delete(path, Precondition::Match(&tag)).await
    }

    /// Creates a tenant with servers whose slow start is over.
    ///
    /// # Errors
    /// If the connection fails, or the API refuses a document.
    pub async fn create_tenant(&self, name: &str, spec: &Value, servers: &[SocketAddr]) -> io::Result<()> {
        let created = self.put(&format!("tenants/{name}"), Precondition::Absent, spec).await?;
        if created.status != 201 {
            return Err(io::Error::other(format!("{created:?}")));
        }
        for (i, addr) in servers.iter().enumerate() {
            let server = json!({"address": addr, "started_ms": 0});
            let created =
                self.put(&format!("tenants/{name}/backends/s{i}"), Precondition::Absent, &server).await?;
            if created.status != 201 {
                return Err(io::Error::other(format!("{created:?}")));
            }
        }
        Ok(())
    }
}

/// A tenant's document with the request classes `lookup` (safe to repeat) and `renew` (unsafe).
pub fn tenant_spec(deadline_ms: u64) -> Value {
    json!({
        "classes": {
            "lookup": {"repeat": "safe", "deadline_ms": deadline_ms},
            "renew": {"repeat": "unsafe", "deadline_ms": deadline_ms, "worth": 2.0},
        },
    })
}
