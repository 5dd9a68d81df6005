//! Connections of clients to a node, over HTTP/1.1 and HTTP/3 alike.

use std::io;
use std::net::SocketAddr;

use hyper::Request;
use rustls::pki_types::CertificateDer;

use crate::client::{self, ClientRequest, ClientResponse};
use crate::http3;

/// A node's listener, as clients connect to it.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The node's address.
    pub addr: SocketAddr,
    /// The certificate that clients trust, if they speak HTTP/3; otherwise they speak HTTP/1.1 without TLS.
    pub trusted_certificate: Option<CertificateDer<'static>>,
}

impl Listener {
    /// Connects to the node.
    ///
    /// # Errors
    /// If the connection cannot be established.
    pub async fn connect(&self) -> io::Result<Client> {
        match &self.trusted_certificate {
            Some(certificate) => {
                http3::Connection::open(self.addr, std::slice::from_ref(certificate)).await.map(Client::Http3)
            }
            None => client::Connection::open(self.addr).await.map(Client::Http1),
        }
    }

    /// Sends a request on a new connection and waits for the complete response.
    ///
    /// # Errors
    /// As [`Listener::connect`] and [`Client::send_request`].
    pub async fn send_request(&self, request: &ClientRequest) -> io::Result<ClientResponse> {
        self.connect().await?.send_request(request).await
    }
}

/// A client's connection to a node.
pub enum Client {
    /// HTTP/1.1.
    Http1(client::Connection),
    /// HTTP/3.
    Http3(http3::Connection),
}

impl Client {
    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    /// As [`client::Connection::send_request`] and [`http3::Connection::send_request`].
    pub async fn send_request(&mut self, request: &ClientRequest) -> io::Result<ClientResponse> {
        match self {
            Client::Http1(connection) => connection.send_request(request).await,
            Client::Http3(connection) => connection.send_request(request).await,
        }
    }

    /// Whether the connection can carry another request.
    pub fn is_open(&self) -> bool {
        match self {
            Client::Http1(connection) => connection.is_open(),
            Client::Http3(connection) => connection.is_open(),
        }
    }

    /// Sends the head of a request and the first part of its body. [`PartialRequest::finish`] sends the rest.
    ///
    /// # Errors
    /// If the connection has ended, or a value of the request is not valid in the head.
    pub async fn start_request(&mut self, request: &ClientRequest) -> io::Result<PartialRequest> {
        match self {
            Client::Http1(connection) => {
                let (body, remainder) = client::DelayedBody::new(b"he", b"llo");
                let (mut parts, _) = http3::request_parts(request)?.0.into_parts();
                parts.uri = format!("/api?key={}", request.key).parse().map_err(io::Error::other)?;
                let host = hyper::header::HeaderValue::from_str(&request.host).map_err(io::Error::other)?;
                parts.headers.insert("host", host);
                let response = connection.send_delayed(Request::from_parts(parts, body)).await?;
                Ok(PartialRequest::Http1(remainder, response))
            }
            Client::Http3(connection) => {
                let (head, _) = http3::request_parts(request)?;
                let mut stream = connection.start_request(head).await?;
                stream.send_data(bytes::Bytes::from_static(b"he")).await.map_err(io::Error::other)?;
                Ok(PartialRequest::Http3(Box::new(stream)))
            }
        }
    }
}

/// A request whose body is not complete yet.
pub enum PartialRequest {
    /// Over HTTP/1.1: the rest of the body, and the response.
    Http1(client::BodyRemainder, client::PendingResponse),
    /// Over HTTP/3: the request's stream.
    Http3(Box<http3::RequestStream>),
}

impl PartialRequest {
    /// Sends the rest of the body and waits for the complete response.
    ///
    /// # Errors
    /// If the connection or the stream ends.
    pub async fn finish(self) -> io::Result<ClientResponse> {
        match self {
            PartialRequest::Http1(remainder, response) => {
                remainder.send();
                response.await.map_err(io::Error::other)?
            }
            PartialRequest::Http3(mut stream) => {
                let sent_at = std::time::Instant::now();
                // Errors are ignored: a node that responds before it has read the whole body stops the stream.
                let _ = stream.send_data(bytes::Bytes::from_static(b"llo")).await;
                let _ = stream.finish().await;
                http3::read_response(&mut stream, sent_at).await
            }
        }
    }
}
