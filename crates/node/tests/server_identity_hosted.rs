//! Tests that hosted nodes with the same servers send a key to the same server, whatever they have known before, although
//! the hashes of the servers' names are equal: servers of the catalogue over all pairs of protocols, and servers that
//! register at the coordination service.

use std::time::Duration;

use serde_json::{json, Value};
use woodgap::hosted::config::{HostedConfig, ZookeeperConfig};
use woodgap_membership::MergeLimits;
use woodgap_testkit::admin::{tenant_spec, Admin};
use woodgap_testkit::backend::{Backend, ServerBehavior};
use woodgap_testkit::client::ClientRequest;
use woodgap_testkit::coordination::tree::{CreateMode, Op};
use woodgap_testkit::coordination::wire::Coordination;
use woodgap_testkit::protocol_pair::{ProtocolPair, ProtocolTestNode};
use woodgap_testkit::wait_until;
use woodgap_zookeeper::session::SessionSettings;

/// Names with one hash, a name whose hash is the seeded hash of the second one, and a name with another hash.
const NAMES: [&str; 5] = ["s-29012632", "s-1b0f6aeb", "s-4b22d754", "s-3f8092be", "s-9a3f5510"];
/// Keys that are compared between two nodes.
const KEYS: usize = 100;
/// Changes of the first node's servers: the server, and whether it is added. It knows all servers before.
const HISTORY: [(usize, bool); 5] = [(3, false), (0, false), (0, true), (3, true), (1, false)];
/// The servers that both nodes know in the end.
const FINAL: [usize; 4] = [0, 2, 3, 4];

async fn start_backends(protocols: ProtocolPair) -> Vec<Backend> {
    let mut backends = Vec::new();
    for _ in NAMES {
        backends.push(protocols.start_backend(ServerBehavior::Serve(Duration::ZERO)).await.unwrap());
    }
    backends
}

/// Names of a tenant's servers that are in service.
async fn names_in_service(admin: &Admin) -> Vec<String> {
    let status = admin.get("tenants/acme/status").await.unwrap().body;
    let servers = status["servers"].as_array().cloned().unwrap_or_default();
    let in_service = servers.iter().filter(|server| server["in_service"] == true);
    in_service.map(|server| server["id"].as_str().unwrap().to_owned()).collect()
}

/// Waits until the tenant's pool uses exactly these servers. A request starts the pool.
async fn wait_until_used(test_node: &ProtocolTestNode, servers: &[usize]) {
    let mut expected: Vec<&str> = servers.iter().map(|&server| NAMES[server]).collect();
    expected.sort_unstable();
    let is_used = || async {
        let request = ClientRequest::lookup("acme", format!("start-{}", fastrand::u64(..)));
        drop(test_node.send_request(&request).await);
        names_in_service(&test_node.node.admin).await == expected
    };
    wait_until(&format!("the servers {expected:?} are used"), is_used).await;
}

/// Returns the server that each key is sent to by this node.
async fn servers_of_keys(test_node: &ProtocolTestNode, node: &str, backends: &[Backend]) -> Vec<usize> {
    let mut servers = Vec::new();
    for n in 0..KEYS {
        let (txn, key) = (format!("{node}-{n}"), format!("key-{n}"));
        let request = ClientRequest { key, ..ClientRequest::lookup("acme", txn.clone()) };
        assert_eq!(test_node.send_request(&request).await.unwrap().status, 200);
        let received =
            |backend: &Backend| backend.received_requests().iter().any(|request| request.txn == txn);
        servers.push(backends.iter().position(received).unwrap());
    }
    servers
}

/// Number of keys that the two nodes send to different servers.
async fn count_differences(old: &ProtocolTestNode, new: &ProtocolTestNode, backends: &[Backend]) -> usize {
    let (old, new) =
        (servers_of_keys(old, "old", backends).await, servers_of_keys(new, "new", backends).await);
    old.iter().zip(&new).filter(|(old, new)| old != new).count()
}

// Guards against tables that differ between hosted nodes with the same catalogue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_with_one_catalogue_and_other_histories_send_a_key_to_the_same_server() {
    for protocols in ProtocolPair::ALL {
        let backends = start_backends(protocols).await;
        let old = ProtocolTestNode::start(protocols).await.unwrap();
        old.create_tenant("acme", &tenant_spec(2_000), &[]).await.unwrap();
        for (name, backend) in NAMES.iter().zip(&backends) {
            assert_eq!(old.add_backend("acme", name, backend).await.unwrap().status, 201);
        }
        let mut servers = vec![0, 1, 2, 3, 4];
        wait_until_used(&old, &servers).await;
        for (server, is_added) in HISTORY {
            servers.retain(|other| *other != server);
            if is_added {
                assert_eq!(
                    old.add_backend("acme", NAMES[server], &backends[server]).await.unwrap().status,
                    201
                );
                servers.push(server);
            } else {
                let path = format!("tenants/acme/backends/{}", NAMES[server]);
                assert_eq!(old.node.admin.delete_current(&path).await.unwrap().status, 200);
            }
            wait_until_used(&old, &servers).await;
        }
        let new = ProtocolTestNode::start(protocols).await.unwrap();
        new.create_tenant("acme", &tenant_spec(2_000), &[]).await.unwrap();
        for server in FINAL {
            assert_eq!(new.add_backend("acme", NAMES[server], &backends[server]).await.unwrap().status, 201);
        }
        wait_until_used(&new, &FINAL).await;
        let moved = count_differences(&old, &new, &backends).await;
        assert_eq!(moved, 0, "of {KEYS} keys with {}", protocols.name());
    }
}

fn create(path: &str, data: &Value, ephemeral: bool) -> Op {
    let mode = CreateMode { ephemeral, sequential: false };
    Op::Create { path: path.into(), data: data.to_string().into_bytes(), acl: Vec::new(), mode }
}

/// Registers a server and returns its session.
fn register(service: &Coordination, name: &str, backend: &Backend) -> i64 {
    let session = service.open_session();
    let data = json!({"address": backend.addr, "started_ms": 0});
    service.apply(session, &create(&format!("/pools/web/{name}"), &data, true)).unwrap();
    session
}

/// Starts a node whose tenant has the servers that register.
async fn start_registry_node(service: &Coordination) -> ProtocolTestNode {
    let zookeeper = ZookeeperConfig {
        settings: SessionSettings {
            addresses: vec![service.addr.to_string()],
            chroot: String::new(),
            digest: None,
            session_timeout: Duration::from_secs(4),
        },
        digest_file: None,
        pools: "/pools".into(),
        // Each change is applied at once.
        merge_limits: MergeLimits { max_removal_share: 1.0, max_flaps: 0, ..MergeLimits::default() },
        register: None,
    };
    let change = |config: &mut HostedConfig| config.zookeeper = Some(zookeeper);
    let test_node = ProtocolTestNode::start_with_config(ProtocolPair::ALL[0], change).await.unwrap();
    let mut spec = tenant_spec(2_000);
    spec["membership"] = json!({"ephemeral": "web"});
    test_node.create_tenant("acme", &spec, &[]).await.unwrap();
    test_node
}

// Guards against tables that differ between hosted nodes with the same registrations.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_with_one_registry_and_other_histories_send_a_key_to_the_same_server() {
    let service = Coordination::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let owner = service.open_session();
    for path in ["/pools", "/pools/web"] {
        service.apply(owner, &create(path, &Value::Null, false)).unwrap();
    }
    let backends = start_backends(ProtocolPair::ALL[0]).await;
    let mut sessions: Vec<i64> =
        NAMES.iter().zip(&backends).map(|(name, backend)| register(&service, name, backend)).collect();
    let old = start_registry_node(&service).await;
    let mut servers = vec![0, 1, 2, 3, 4];
    wait_until_used(&old, &servers).await;
    for (server, is_added) in HISTORY {
        servers.retain(|other| *other != server);
        if is_added {
            sessions[server] = register(&service, NAMES[server], &backends[server]);
            servers.push(server);
        } else {
            service.close_session(sessions[server]);
        }
        wait_until_used(&old, &servers).await;
    }
    let new = start_registry_node(&service).await;
    wait_until_used(&new, &FINAL).await;
    assert_eq!(count_differences(&old, &new, &backends).await, 0, "of {KEYS} keys");
}
