//! Runs the same test over every combination of protocols: a [`ProtocolPair`] is the protocol between clients
//! and the node and the protocol between the node and its upstream servers.
//!
//! For behavior that does not depend on a protocol. Tests of one protocol's bytes, streams or datagrams use
//! its own module.

mod connection;

use std::io;

use serde_json::{json, Value};
use tempfile::TempDir;
use woodgap::hosted::config::{HostedConfig, Protocols};

use crate::admin::{AdminResponse, Precondition};
use crate::backend::{Backend, BackendOptions, ServerBehavior};
use crate::client::{ClientRequest, ClientResponse};
use crate::hosted::TestNode;
use crate::http3::{generate_certificate, Certificate};

pub use connection::{Client, Listener, PartialRequest};

/// The protocols on both sides of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolPair {
    /// Whether clients speak HTTP/3 to the node, otherwise HTTP/1.1.
    pub client_http3: bool,
    /// Whether the node speaks HTTP/3 to servers, otherwise HTTP/1.1.
    pub server_http3: bool,
}

impl ProtocolPair {
    /// All four pairs. The first one is HTTP/1.1 on both sides.
    pub const ALL: [ProtocolPair; 4] = [
        ProtocolPair { client_http3: false, server_http3: false },
        ProtocolPair { client_http3: false, server_http3: true },
        ProtocolPair { client_http3: true, server_http3: false },
        ProtocolPair { client_http3: true, server_http3: true },
    ];

    /// The name of the pair: the clients' protocol, then the servers'.
    pub fn name(self) -> &'static str {
        match (self.client_http3, self.server_http3) {
            (false, false) => "h1-h1",
            (false, true) => "h1-h3",
            (true, false) => "h3-h1",
            (true, true) => "h3-h3",
        }
    }

    /// Starts a server that speaks the servers' protocol of this pair.
    ///
    /// # Errors
    /// If the listener cannot be bound.
    pub async fn start_backend(self, behavior: ServerBehavior) -> io::Result<Backend> {
        Backend::start_with(
            behavior,
            BackendOptions { http3: self.server_http3, ..BackendOptions::default() },
        )
        .await
    }
}

/// The administration API's document of a server that has finished its slow start.
pub fn backend_document(backend: &Backend) -> Value {
    let mut document = json!({"address": backend.addr, "started_ms": 0});
    if let Some(pin) = &backend.pin {
        document["protocol"] = json!("http3");
        document["pin"] = json!(pin);
    }
    document
}

/// A hosted node under test whose clients and upstream servers speak the protocols of one pair.
pub struct ProtocolTestNode {
    /// The node.
    pub node: TestNode,
    /// The protocols of its clients and servers.
    pub protocols: ProtocolPair,
    /// The node's certificate.
    pub certificate: Certificate,
    _folder: TempDir,
}

impl ProtocolTestNode {
    /// Starts a node whose first listener speaks HTTP/3 and HTTP/1.1 over TLS, and whose listener `plain`
    /// speaks HTTP/1.1 without TLS.
    ///
    /// # Errors
    /// The reason why the node does not start.
    pub async fn start(protocols: ProtocolPair) -> io::Result<ProtocolTestNode> {
        ProtocolTestNode::start_with_config(protocols, |_| {}).await
    }

    /// Starts a node like [`ProtocolTestNode::start`], with changes to its configuration.
    ///
    /// # Errors
    /// The reason why the node does not start.
    pub async fn start_with_config(
        protocols: ProtocolPair,
        change: impl FnOnce(&mut HostedConfig) + Send + 'static,
    ) -> io::Result<ProtocolTestNode> {
        let folder = tempfile::tempdir()?;
        let certificate = generate_certificate(folder.path())?;
        let tls = (certificate.chain.clone(), certificate.key.clone());
        let configure = move |config: &mut HostedConfig| {
            config.listen[0].protocols = Protocols { http1: true, http3: true };
            config.listen[0].tls = Some(tls);
            config.listen.push(crate::hosted::http1_listener("plain"));
            change(config);
        };
        let start = move || TestNode::start_with_config(configure).map_err(io::Error::other);
        let node = tokio::task::spawn_blocking(start).await.map_err(io::Error::other)??;
        Ok(ProtocolTestNode { node, protocols, certificate, _folder: folder })
    }

    /// The listener that clients of this pair's protocol connect to.
    ///
    /// # Panics
    /// If the configuration has no listener `plain` and clients speak HTTP/1.1.
    pub fn client_listener(&self) -> Listener {
        if self.protocols.client_http3 {
            return Listener {
                addr: self.node.addr,
                trusted_certificate: Some(self.certificate.der.clone()),
            };
        }
        Listener {
            addr: self.node.listener("plain").expect("the node has the listener 'plain'"),
            trusted_certificate: None,
        }
    }

    /// Sends a request on a new connection and waits for the complete response.
    ///
    /// # Errors
    /// As [`Listener::send_request`].
    pub async fn send_request(&self, request: &ClientRequest) -> io::Result<ClientResponse> {
        self.client_listener().send_request(request).await
    }

    /// Starts a server that speaks the servers' protocol of this pair. The node does not know it yet.
    ///
    /// # Errors
    /// If the listener cannot be bound.
    pub async fn start_backend(&self, behavior: ServerBehavior) -> io::Result<Backend> {
        self.protocols.start_backend(behavior).await
    }

    /// Adds a server to a tenant through the administration API.
    ///
    /// # Errors
    /// If the connection to the API ends.
    pub async fn add_backend(&self, tenant: &str, id: &str, backend: &Backend) -> io::Result<AdminResponse> {
        self.node
            .admin
            .put(&format!("tenants/{tenant}/backends/{id}"), Precondition::Absent, &backend_document(backend))
            .await
    }

    /// Creates a tenant with these servers, named `s0`, `s1` and so on, all past their slow start.
    ///
    /// # Errors
    /// If the connection to the API ends, or the API refuses the tenant or a server.
    pub async fn create_tenant(&self, name: &str, spec: &Value, backends: &[&Backend]) -> io::Result<()> {
        self.node.admin.create_tenant(name, spec, &[]).await?;
        for (n, backend) in backends.iter().enumerate() {
            let created = self.add_backend(name, &format!("s{n}"), backend).await?;
            if created.status != 201 {
                return Err(io::Error::other(format!("{created:?}")));
            }
        }
        Ok(())
    }
}
