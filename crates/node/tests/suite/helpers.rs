//! Helpers of the tests for every pair of protocols.

use super::*;

/// Whether no deleted tenant is still draining.
pub async fn no_tenant_is_draining(admin: &Admin) -> bool {
    admin.get("tenants?state=draining").await.unwrap().body["tenants"] == json!([])
}

/// Returns a number from a tenant's status.
pub async fn status_figure(admin: &Admin, tenant: &str, name: &str) -> u64 {
    let status = admin.get(&format!("tenants/{tenant}/status")).await.unwrap();
    status.body[name].as_u64().unwrap_or_else(|| panic!("{name}: {status:?}"))
}

pub type PendingResponse = tokio::task::JoinHandle<std::io::Result<ClientResponse>>;

/// Sends all requests at the same time, each on its own connection.
pub fn send_all(
    listener: &Listener,
    requests: impl IntoIterator<Item = ClientRequest>,
) -> Vec<PendingResponse> {
    let send = |request: ClientRequest| {
        let listener = listener.clone();
        tokio::spawn(async move { listener.send_request(&request).await })
    };
    requests.into_iter().map(send).collect()
}

pub async fn start_test_node(protocols: ProtocolPair) -> ProtocolTestNode {
    ProtocolTestNode::start(protocols).await.unwrap()
}

/// A server that accepts no connections, so that connection attempts hang.
pub enum UnresponsiveServer {
    /// A listener that accepts no connections, and the connections that fill its backlog.
    Tcp(tokio::net::TcpListener, Vec<tokio::net::TcpStream>),
    /// A bound socket whose datagrams are never read.
    Udp(#[allow(dead_code)] tokio::net::UdpSocket),
}

impl UnresponsiveServer {
    pub async fn start(protocols: ProtocolPair) -> (UnresponsiveServer, Value) {
        if protocols.server_http3 {
            let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let addr = socket.local_addr().unwrap();
            let document =
                json!({"address": addr, "started_ms": 0, "protocol": "http3", "pin": "0f".repeat(32)});
            return (UnresponsiveServer::Udp(socket), document);
        }
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap();
        let mut backlog = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(300), tokio::net::TcpStream::connect(addr)).await
        {
            backlog.push(stream);
        }
        (UnresponsiveServer::Tcp(listener, backlog), json!({"address": addr, "started_ms": 0}))
    }

    /// Accepts again, and returns the number of request bytes that arrive within 1.5 s.
    pub async fn accept_again(self) -> usize {
        let UnresponsiveServer::Tcp(listener, backlog) = self else { return 0 };
        drop(backlog);
        let mut bytes = 0;
        while let Ok(Ok((mut stream, _))) =
            tokio::time::timeout(Duration::from_millis(1_500), listener.accept()).await
        {
            let mut buffer = [0; 64];
            let read = tokio::io::AsyncReadExt::read(&mut stream, &mut buffer);
            bytes +=
                tokio::time::timeout(Duration::from_millis(200), read).await.map_or(0, |n| n.unwrap_or(0));
        }
        bytes
    }
}
