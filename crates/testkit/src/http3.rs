//! A client of the protocol over HTTP/3, and TLS certificates and QUIC endpoints for tests.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use h3::client::SendRequest;
use h3::error::{Code, ConnectionError, StreamError};
use hyper::{Method, Request};
use rustls::client::{Tls12ClientSessionValue, Tls13ClientSessionValue};
use rustls::pki_types::{CertificateDer, ServerName};
use tokio::task::JoinHandle;

use crate::client::{ClientRequest, ClientResponse};

/// The server name in the certificates of the test servers.
pub const SERVER_NAME: &str = "clubs.example";

/// A self-signed certificate and its key, in two files.
#[derive(Clone, Debug)]
pub struct Certificate {
    /// The PEM file of the certificate chain.
    pub chain: PathBuf,
    /// The PEM file of the private key.
    pub key: PathBuf,
    /// The certificate in DER.
    pub der: CertificateDer<'static>,
}

/// Generates a self-signed certificate for [`SERVER_NAME`] and writes it and its key to a folder.
///
/// # Errors
/// If the certificate cannot be generated or written.
pub fn generate_certificate(folder: &Path) -> io::Result<Certificate> {
    let generated =
        rcgen::generate_simple_self_signed(vec![SERVER_NAME.to_owned()]).map_err(io::Error::other)?;
    let (chain, key) = (folder.join("chain.pem"), folder.join("key.pem"));
    std::fs::write(&chain, generated.cert.pem())?;
    std::fs::write(&key, generated.signing_key.serialize_pem())?;
    Ok(Certificate { chain, key, der: generated.cert.der().clone() })
}

/// A certificate authority and the client certificates that it issued to two clubs, `big` and `other`.
pub struct ClientAuthority {
    /// The PEM file of the authority's certificate.
    pub file: PathBuf,
    /// Each club's certificate and its private key, both in DER.
    clubs: Vec<(CertificateDer<'static>, Vec<u8>)>,
}

impl ClientAuthority {
    /// Generates the authority and the client certificates, and writes the authority's certificate to a
    /// folder.
    ///
    /// # Errors
    /// If a certificate cannot be generated or written.
    pub fn generate(folder: &Path) -> io::Result<ClientAuthority> {
        let other = io::Error::other;
        let mut params = rcgen::CertificateParams::default();
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let key = rcgen::KeyPair::generate().map_err(other)?;
        let certificate = params.self_signed(&key).map_err(other)?;
        let file = folder.join("clubs.pem");
        std::fs::write(&file, certificate.pem())?;
        let issuer = rcgen::Issuer::from_params(&params, &key);
        let mut clubs = Vec::new();
        for name in ["big", "other"] {
            let mut params = rcgen::CertificateParams::default();
            params.distinguished_name.push(rcgen::DnType::CommonName, name);
            let club_key = rcgen::KeyPair::generate().map_err(other)?;
            let certificate = params.signed_by(&club_key, &issuer).map_err(other)?;
            clubs.push((certificate.der().clone(), club_key.serialize_der()));
        }
        Ok(ClientAuthority { file, clubs })
    }

    /// The configuration of a TLS client for HTTP/1.1 that trusts a server certificate, and that presents the
    /// certificate of the club with this index, if any.
    ///
    /// # Errors
    /// If the TLS library rejects a certificate or a key.
    pub fn tls_config(
        &self,
        trusted: &CertificateDer<'static>,
        club: Option<usize>,
    ) -> io::Result<Arc<rustls::ClientConfig>> {
        let without_certificate = client_tls_config(std::slice::from_ref(trusted), b"http/1.1")?;
        let Some((der, key)) = club.and_then(|club| self.clubs.get(club)) else {
            return Ok(Arc::new(without_certificate));
        };
        let mut roots = rustls::RootCertStore::empty();
        roots.add(trusted.clone()).map_err(io::Error::other)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(io::Error::other)?;
        let key = rustls::pki_types::PrivateKeyDer::try_from(key.clone()).map_err(io::Error::other)?;
        let config = builder.with_root_certificates(roots).with_client_auth_cert(vec![der.clone()], key);
        let mut config = config.map_err(io::Error::other)?;
        config.alpn_protocols = without_certificate.alpn_protocols;
        Ok(Arc::new(config))
    }
}

/// The pin of a certificate: its SHA-256 in hexadecimal digits.
pub fn certificate_pin(der: &CertificateDer<'_>) -> String {
    use sha2::Digest;
    sha2::Sha256::digest(der.as_ref()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A QUIC server endpoint on a loopback port, and its new self-signed certificate for [`SERVER_NAME`].
/// `stream_window` is the flow-control window of a stream in bytes.
///
/// # Errors
/// If the certificate cannot be generated or the socket cannot be bound.
pub fn server_endpoint(stream_window: Option<u32>) -> io::Result<(quinn::Endpoint, CertificateDer<'static>)> {
    let generated =
        rcgen::generate_simple_self_signed(vec![SERVER_NAME.to_owned()]).map_err(io::Error::other)?;
    let key = rustls::pki_types::PrivateKeyDer::try_from(generated.signing_key.serialize_der());
    let key = key.map_err(io::Error::other)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(io::Error::other)?;
    let tls = builder.with_no_client_auth().with_single_cert(vec![generated.cert.der().clone()], key);
    let mut tls = tls.map_err(io::Error::other)?;
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(tls).map_err(io::Error::other)?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    if let Some(window) = stream_window {
        let mut transport = quinn::TransportConfig::default();
        transport.stream_receive_window(window.into());
        config.transport_config(Arc::new(transport));
    }
    let endpoint = quinn::Endpoint::server(config, SocketAddr::from(([127, 0, 0, 1], 0)))?;
    Ok((endpoint, generated.cert.der().clone()))
}

/// The configuration of a TLS client that trusts these certificates and offers one ALPN protocol.
fn client_tls_config(trusted: &[CertificateDer<'static>], alpn: &[u8]) -> io::Result<rustls::ClientConfig> {
    let mut roots = rustls::RootCertStore::empty();
    for certificate in trusted {
        roots.add(certificate.clone()).map_err(io::Error::other)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(io::Error::other)?;
    let mut config = builder.with_root_certificates(roots).with_no_client_auth();
    config.alpn_protocols = vec![alpn.to_vec()];
    Ok(config)
}

/// The configuration of a TLS client for HTTP/1.1 that trusts these certificates.
///
/// # Errors
/// If the TLS library rejects a certificate.
pub fn http1_tls_config(trusted: &[CertificateDer<'static>]) -> io::Result<Arc<rustls::ClientConfig>> {
    client_tls_config(trusted, b"http/1.1").map(Arc::new)
}

type Sender = SendRequest<h3_quinn::OpenStreams, Bytes>;

/// The stream of one request, for tests that send frames themselves.
pub type RequestStream = h3::client::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Stores the session tickets of a client, and signals when one arrives.
#[derive(Debug)]
struct TicketStore {
    cache: rustls::client::ClientSessionMemoryCache,
    ticket_received: tokio::sync::Notify,
}

impl Default for TicketStore {
    fn default() -> Self {
        TicketStore {
            cache: rustls::client::ClientSessionMemoryCache::new(8),
            ticket_received: tokio::sync::Notify::new(),
        }
    }
}

impl rustls::client::ClientSessionStore for TicketStore {
    fn set_kx_hint(&self, name: ServerName<'static>, group: rustls::NamedGroup) {
        self.cache.set_kx_hint(name, group);
    }

    fn kx_hint(&self, name: &ServerName<'_>) -> Option<rustls::NamedGroup> {
        self.cache.kx_hint(name)
    }

    fn set_tls12_session(&self, name: ServerName<'static>, value: Tls12ClientSessionValue) {
        self.cache.set_tls12_session(name, value);
    }

    fn tls12_session(&self, name: &ServerName<'_>) -> Option<Tls12ClientSessionValue> {
        self.cache.tls12_session(name)
    }

    fn remove_tls12_session(&self, name: &ServerName<'static>) {
        self.cache.remove_tls12_session(name);
    }

    fn insert_tls13_ticket(&self, name: ServerName<'static>, value: Tls13ClientSessionValue) {
        self.cache.insert_tls13_ticket(name, value);
        self.ticket_received.notify_one();
    }

    fn take_tls13_ticket(&self, name: &ServerName<'static>) -> Option<Tls13ClientSessionValue> {
        self.cache.take_tls13_ticket(name)
    }
}

/// An HTTP/3 connection to a node.
pub struct Connection {
    sender: Sender,
    quic: quinn::Connection,
    endpoint: quinn::Endpoint,
    driver: JoinHandle<ConnectionError>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.quic.close(quinn::VarInt::from_u32(Code::H3_NO_ERROR.value() as u32), b"");
        self.driver.abort();
    }
}

fn stream_error(error: StreamError) -> io::Error {
    io::Error::other(error)
}

impl Connection {
    /// Connects, trusting these certificates.
    ///
    /// # Errors
    /// If the handshake fails.
    pub async fn open(addr: SocketAddr, trusted: &[CertificateDer<'static>]) -> io::Result<Connection> {
        let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(client_tls_config(trusted, b"h3")?);
        let mut config = quinn::ClientConfig::new(Arc::new(crypto.map_err(io::Error::other)?));
        let mut transport = quinn::TransportConfig::default();
        transport.max_idle_timeout(Some(Duration::from_secs(10).try_into().map_err(io::Error::other)?));
        config.transport_config(Arc::new(transport));
        Connection::connect(addr, config).await
    }

    async fn connect(addr: SocketAddr, config: quinn::ClientConfig) -> io::Result<Connection> {
        let endpoint = quinn::Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let quic = endpoint.connect_with(config, addr, SERVER_NAME).map_err(io::Error::other)?.await?;
        let (mut driver, sender) =
            h3::client::new(h3_quinn::Connection::new(quic.clone())).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move { std::future::poll_fn(|cx| driver.poll_close(cx)).await });
        Ok(Connection { sender, quic, endpoint, driver })
    }

    /// Whether the node accepts early data (0-RTT): connects, closes the connection, and connects again with
    /// the session ticket of the first connection to send before the handshake is complete.
    ///
    /// # Errors
    /// If a handshake fails, or no session ticket arrives within 10 s.
    pub async fn accepts_early_data(
        addr: SocketAddr,
        trusted: &[CertificateDer<'static>],
    ) -> io::Result<bool> {
        let mut tls = client_tls_config(trusted, b"h3")?;
        tls.enable_early_data = true;
        let tickets = Arc::new(TicketStore::default());
        tls.resumption = rustls::client::Resumption::store(tickets.clone());
        let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls).map_err(io::Error::other)?;
        let config = quinn::ClientConfig::new(Arc::new(crypto));
        let endpoint = quinn::Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let connect = || endpoint.connect_with(config.clone(), addr, SERVER_NAME).map_err(io::Error::other);
        let first = connect()?.await?;
        // The ticket arrives after the handshake; early data needs one.
        let received =
            tokio::time::timeout(Duration::from_secs(10), tickets.ticket_received.notified()).await;
        received.map_err(|_| io::Error::other("no session ticket received within 10 s"))?;
        first.close(quinn::VarInt::from_u32(Code::H3_NO_ERROR.value() as u32), b"");
        Ok(connect()?.into_0rtt().is_ok())
    }

    /// Whether the connection can carry another request.
    pub fn is_open(&self) -> bool {
        self.quic.close_reason().is_none()
    }

    /// The QUIC connection, for tests that act below HTTP/3.
    pub fn quic(&self) -> &quinn::Connection {
        &self.quic
    }

    /// Moves the connection to another local port, like a client whose address changed (connection
    /// migration).
    ///
    /// # Errors
    /// If the new socket cannot be bound.
    pub fn rebind(&self) -> io::Result<()> {
        self.endpoint.rebind(UdpSocket::bind("127.0.0.1:0")?)
    }

    /// Sends the head of a request and leaves its stream open for the body.
    ///
    /// # Errors
    /// If the connection has ended.
    pub async fn start_request(&self, request: Request<()>) -> io::Result<RequestStream> {
        self.sender.clone().send_request(request).await.map_err(stream_error)
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    /// `TimedOut` 250 ms after the request's timeout, or the error that ended the stream or the connection.
    pub async fn send_request(&self, request: &ClientRequest) -> io::Result<ClientResponse> {
        let limit = request.timeout + Duration::from_millis(250);
        tokio::time::timeout(limit, self.exchange(request)).await.map_err(|_| io::ErrorKind::TimedOut)?
    }

    async fn exchange(&self, request: &ClientRequest) -> io::Result<ClientResponse> {
        let sent_at = Instant::now();
        let (head, body) = request_parts(request)?;
        let mut stream = self.start_request(head).await?;
        // A node may respond before it has read the whole body, and then stops the stream with H3_NO_ERROR;
        // its response is valid.
        let written = async {
            if !body.is_empty() {
                stream.send_data(body).await?;
            }
            stream.finish().await
        };
        match written.await {
            Ok(()) => {}
            Err(StreamError::RemoteTerminate { code, .. }) if code == Code::H3_NO_ERROR => {}
            Err(error) => return Err(stream_error(error)),
        }
        read_response(&mut stream, sent_at).await
    }
}

/// The first datagrams of `count` QUIC clients that never react to the replies, for floods.
///
/// # Errors
/// If a socket cannot be bound.
pub async fn initial_datagrams(count: usize) -> io::Result<Vec<Vec<u8>>> {
    let sink = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    let sink_addr = sink.local_addr()?;
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(client_tls_config(&[], b"h3")?);
    let config = quinn::ClientConfig::new(Arc::new(crypto.map_err(io::Error::other)?));
    let endpoint = quinn::Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let mut datagrams: std::collections::BTreeMap<Vec<u8>, Vec<u8>> = Default::default();
    let (mut buffer, mut attempts) = (vec![0; 2_048], Vec::new());
    while datagrams.len() < count {
        let connecting =
            endpoint.connect_with(config.clone(), sink_addr, SERVER_NAME).map_err(io::Error::other)?;
        let length = sink.recv(&mut buffer).await?;
        // A dropped connection attempt would send a close to the sink.
        attempts.push(connecting);
        // The destination connection ID starts at byte 6, after its length (RFC 9000, section 17.2).
        let id_length = usize::from(buffer[5]);
        if length >= 1_200 {
            // Keeps only the first datagram of each client.
            let id = buffer[6..6 + id_length.min(20)].to_vec();
            datagrams.entry(id).or_insert_with(|| buffer[..length].to_vec());
        }
    }
    Ok(datagrams.into_values().collect())
}

/// The head and the body of a request.
///
/// # Errors
/// If a value of the request is not valid in the head.
pub fn request_parts(request: &ClientRequest) -> io::Result<(Request<()>, Bytes)> {
    let body = if request.safe { Bytes::new() } else { Bytes::from_static(b"hello") };
    let mut head = Request::builder()
        .method(if request.safe { Method::GET } else { Method::POST })
        .uri(format!("https://{}/api?key={}", request.host, request.key))
        .header("x-txn", &request.txn)
        .header("x-lane", &request.class)
        .header("x-remaining-ms", request.timeout.as_millis().to_string());
    if let Some(org) = &request.org {
        head = head.header("x-org", org);
    }
    if !request.safe {
        head = head.header("content-length", body.len());
    }
    Ok((head.body(()).map_err(io::Error::other)?, body))
}

/// Appends an integer with a prefix of `prefix_bits` bits, as in HPACK and QPACK (RFC 7541, section 5.1).
/// `first_byte` holds the bits before the prefix.
fn push_prefixed_integer(out: &mut Vec<u8>, first_byte: u8, prefix_bits: u32, value: usize) {
    let prefix_max = (1usize << prefix_bits) - 1;
    if value < prefix_max {
        return out.push(first_byte | value as u8);
    }
    out.push(first_byte | prefix_max as u8);
    let mut rest = value - prefix_max;
    while rest >= 128 {
        out.push((rest % 128) as u8 | 128);
        rest /= 128;
    }
    out.push(rest as u8);
}

/// A request as the bytes of its stream, for tests that send a part of them: a HEADERS frame of literal
/// fields with literal names (RFC 9204, section 4.5.6), then a DATA frame.
///
/// # Errors
/// If a value of the request is not valid in the head.
pub fn encode_request(request: &ClientRequest) -> io::Result<Vec<u8>> {
    let (head, body) = request_parts(request)?;
    let method = head.method().as_str();
    let path = head.uri().path_and_query().map_or("/", |path| path.as_str());
    let mut fields =
        vec![(":method", method), (":scheme", "https"), (":authority", &request.host), (":path", path)];
    for (name, value) in head.headers() {
        fields.push((name.as_str(), value.to_str().map_err(io::Error::other)?));
    }
    let mut section = vec![0, 0];
    for (name, value) in fields {
        push_prefixed_integer(&mut section, 0x20, 3, name.len());
        section.extend_from_slice(name.as_bytes());
        push_prefixed_integer(&mut section, 0, 7, value.len());
        section.extend_from_slice(value.as_bytes());
    }
    let mut bytes = Vec::new();
    for (frame_type, payload) in [(1u8, section.as_slice()), (0, body.as_ref())] {
        if frame_type == 1 || !payload.is_empty() {
            bytes.push(frame_type);
            // The payload's length as a variable-length integer of two bytes (RFC 9000, section 16).
            bytes.extend_from_slice(&(0x4000 | payload.len() as u16).to_be_bytes());
            bytes.extend_from_slice(payload);
        }
    }
    Ok(bytes)
}

/// Reads a complete response.
///
/// # Errors
/// If the stream ends with an error.
pub async fn read_response(stream: &mut RequestStream, sent_at: Instant) -> io::Result<ClientResponse> {
    let head = stream.recv_response().await.map_err(stream_error)?;
    let mut body = BytesMut::new();
    while let Some(mut data) = stream.recv_data().await.map_err(stream_error)? {
        let data = data.copy_to_bytes(data.remaining());
        body.extend_from_slice(&data);
    }
    let (head, ()) = head.into_parts();
    Ok(ClientResponse {
        status: head.status,
        headers: head.headers,
        body: body.freeze(),
        elapsed: sent_at.elapsed(),
    })
}
