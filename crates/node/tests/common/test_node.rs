//! A platform node together with its stand-in servers and discovery.

use std::collections::{BTreeSet, HashMap};
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::*;

/// A running node with stand-in servers and a stand-in discovery.
pub struct TestNode {
    /// The node.
    pub node: NodeProcess,
    /// What each server does with requests.
    pub behaviors: Vec<Arc<Mutex<ServerBehavior>>>,
    /// The servers as entries of a discovery list.
    pub members: Vec<Value>,
    /// What the servers report.
    pub reports: Receiver<ServerReport>,
    /// The calls to the discovery, each with the stream that its lists are written to.
    pub watches: Receiver<(HttpMessage, TcpStream)>,
    /// The configuration of the node.
    pub config: Value,
    /// Limits and counts the connections to the servers.
    pub server_connections: Arc<ServerConnections>,
}

impl TestNode {
    /// Starts a node with this many servers, and 256 sockets.
    pub fn new(servers: usize) -> TestNode {
        TestNode::with_limits(servers, json!({"sockets": 256}))
    }

    /// Starts a node with these limits.
    pub fn with_limits(servers: usize, limits: Value) -> TestNode {
        TestNode::with_settings(servers, limits, |_| {})
    }

    /// Starts a node with these limits, and with changed settings.
    pub fn with_settings(servers: usize, limits: Value, change: impl Fn(&mut Value)) -> TestNode {
        let (tx, reports) = channel();
        let server_connections = Arc::new(ServerConnections {
            limit: AtomicUsize::new(usize::MAX),
            open: AtomicUsize::new(0),
            repeated: Mutex::default(),
        });
        let behaviors: Vec<_> = (0..servers).map(|_| Arc::new(Mutex::new(ServerBehavior::Serve))).collect();
        let members: Vec<Value> = behaviors
            .iter()
            .enumerate()
            .map(|(i, behavior)| {
                let addr = spawn_server(i, behavior.clone(), server_connections.clone(), tx.clone());
                json!({"id": format!("s-{i}"), "host_port": addr.to_string(), "locality": "a", "flavor": "f",
                    "cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": 0})
            })
            .collect();
        let (tx, watches) = channel();
        let class = |name: &str, semantics: &str| {
            json!({"name": name, "aim": 20_000_000, "deadline": 60_000_000, "semantics": semantics,
                "points": 1.0, "late-share": 0.2, "key-scope": "all", "key-ttl": 5_000_000})
        };
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": spawn_discovery(tx).to_string(), "seed": "1f",
            "limits": limits,
            "known": {"revision": 41, "complete": true, "members": members},
            "settings": {
                "group-size": 1, "registry-mode": "ask", "weight-source": "nominal",
                "classes": [class("look", "safe"), class("pay", "unsafe"), class("put", "keyed")],
                "tenants": [{"name": "acme", "quota-per-s": 0.0}],
                "bounds": {"max-attempts": 3, "cancelling": true, "dial-timeout": 5_000_000,
                    "keepalive": 60_000_000, "retry-after": true, "max-retry-after": 2_000_000},
                "rules": {"ask-within": 1_000_000},
                "report": {"fields": ["queue", "util"]},
            },
        });
        change(&mut config["settings"]);
        TestNode {
            node: NodeProcess::start(&config),
            behaviors,
            members,
            reports,
            watches,
            config,
            server_connections,
        }
    }

    /// Sets what all servers do from now on.
    pub fn set_all_behaviors(&self, new_behavior: ServerBehavior) {
        self.behaviors.iter().for_each(|behavior| *behavior.lock().unwrap() = new_behavior);
    }

    /// Opens a client connection.
    pub fn connect(&self) -> TcpStream {
        self.node.connect()
    }

    /// Sends bytes as they are on a new connection, and returns the response.
    pub fn send_raw(&self, text: &[u8]) -> HttpMessage {
        self.node.send_raw(text)
    }

    /// Sends a request on a new connection, and returns the response.
    pub fn send_request(&self, class: &str, id: &str) -> HttpMessage {
        self.send_raw(&request(class, id, 60_000))
    }

    /// Returns a server and keys that it owns. Each key has been sent once, as a key that is sent more often
    /// is spread over several servers.
    pub fn keys_of_one_server(&self) -> (usize, Vec<String>) {
        let mut owned: HashMap<usize, Vec<String>> = HashMap::new();
        for n in 0..60 {
            let key = format!("k{n}");
            assert_eq!(self.send_raw(&request_with_key(&key, "look", &key, 60_000)).status(), 200);
            owned.entry(self.received_requests()[0].0).or_default().push(key);
        }
        owned.into_iter().max_by_key(|(server, keys)| (keys.len(), *server)).expect("servers")
    }

    /// The requests that arrived at servers since the last call, each with its server.
    pub fn received_requests(&self) -> Vec<(usize, HttpMessage)> {
        let request_of = |report| match report {
            ServerReport::Request(server, message) => Some((server, message)),
            ServerReport::Closed => None,
        };
        self.reports.try_iter().filter_map(request_of).collect()
    }

    /// Sends a signal to the node, such as `-TERM`.
    pub fn send_signal(&self, name: &str) {
        self.node.send_signal(name);
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload_config(&self, text: &str) {
        self.node.reload_config(text);
    }

    /// Returns a discovery list on which the first server drains.
    pub fn list_draining_first_server(&self, complete: bool) -> Value {
        let mut members = self.members.clone();
        members[0]["phase"] = json!("terminating");
        json!({"revision": 50, "complete": complete, "members": members})
    }

    /// Returns [`Self::list_draining_first_server`] as a line of a watch.
    pub fn watch_line_draining_first_server(&self, complete: bool) -> String {
        self.list_draining_first_server(complete).to_string() + "\n"
    }

    /// Sends requests for 24 keys and returns the servers that receive them.
    pub fn servers_in_use(&self) -> Vec<usize> {
        self.received_requests();
        let keys = (0..24).map(|n| format!("k{n}"));
        keys.for_each(|key| {
            assert_eq!(self.send_raw(&request_with_key(&key, "pay", &new_id(), 60_000)).status(), 200)
        });
        let servers: BTreeSet<usize> =
            self.received_requests().into_iter().map(|(server, _)| server).collect();
        servers.into_iter().collect()
    }

    /// Sends requests for 24 keys and returns whether the first server receives none of them.
    pub fn avoids_first_server(&self) -> bool {
        !self.servers_in_use().contains(&0)
    }

    /// Sends requests until `duration` after `start`. Returns when the last one that reached the first server
    /// was sent, as the time since `start`.
    pub fn last_request_to_first_server(
        &self,
        node: &NodeProcess,
        start: Instant,
        duration: Duration,
    ) -> Duration {
        let (mut last_sent, mut sent) = (Duration::ZERO, 0);
        self.received_requests();
        while start.elapsed() < duration {
            sent += 1;
            let (id, sent_at) = (format!("l{sent}"), start.elapsed());
            assert_eq!(node.send_raw(&request_with_key(&id, "pay", &id, 60_000)).status(), 200);
            if self.received_requests().iter().any(|(server, _)| *server == 0) {
                last_sent = sent_at;
            }
        }
        assert!(sent > 20, "{sent} requests sent");
        last_sent
    }

    /// Waits for the next call to the discovery.
    pub fn next_watch(&self) -> (HttpMessage, TcpStream) {
        self.watches.recv_timeout(TEST_TIMEOUT).expect("a watch")
    }
}
