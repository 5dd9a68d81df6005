//! A hosted node that runs in the test's process, with its store and access tokens in a temporary folder.

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use tempfile::TempDir;
use woodgap::hosted::config::{AdminConfig, HostedConfig, ListenerConfig, Protocols, StoreConfig};
use woodgap::hosted::{spawn, NodeHandle};
use woodgap::store::Store;

use crate::admin::Admin;

/// The secret of the operator's access token.
pub const OPERATOR_SECRET: &str = "operator-secret-0001";
/// The secret of the access token of the tenant `acme`.
pub const ACME_SECRET: &str = "acme-tenant-secret-1";

/// A hosted node with its addresses and its temporary folder.
pub struct TestNode {
    /// The address of the first listener.
    pub addr: SocketAddr,
    /// An administration client with the operator's token.
    pub admin: Admin,
    /// The running node; `None` once it is stopped.
    pub node: Option<NodeHandle>,
    /// The folder of the store and the tokens.
    pub folder: TempDir,
    config: HostedConfig,
}

/// Writes a token file with tokens of the operator and of the tenant `acme`.
///
/// # Errors
/// If the file cannot be written.
pub fn write_tokens(path: &Path) -> std::io::Result<()> {
    let text = format!(
        "[[token]]\nname = \"ops\"\nsecret = \"{OPERATOR_SECRET}\"\nright = \"operator\"\n\n\
        [[token]]\nname = \"acme\"\nsecret = \"{ACME_SECRET}\"\nright = \"tenant\"\ntenant = \"acme\"\n"
    );
    std::fs::write(path, text)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))
}

/// An HTTP/1.1 listener on an ephemeral port.
pub fn http1_listener(name: &str) -> ListenerConfig {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    ListenerConfig {
        name: name.into(),
        address,
        protocols: Protocols::default(),
        tls: None,
        client_authorities: None,
    }
}

impl TestNode {
    /// Starts a node with the default configuration of tests.
    ///
    /// # Errors
    /// If the node does not start.
    pub fn start() -> Result<TestNode, String> {
        TestNode::start_with_config(|_| {})
    }

    /// Starts a node with a changed configuration.
    ///
    /// # Errors
    /// If the node does not start.
    pub fn start_with_config(change: impl FnOnce(&mut HostedConfig)) -> Result<TestNode, String> {
        TestNode::start_node(change, |_| None)
    }

    /// Starts a node with a changed configuration and a store of the caller's.
    ///
    /// # Errors
    /// If the node does not start.
    pub fn start_with_store(
        change: impl FnOnce(&mut HostedConfig),
        store: impl FnOnce(&HostedConfig) -> Box<dyn Store>,
    ) -> Result<TestNode, String> {
        TestNode::start_node(change, |config| Some(store(config)))
    }

    fn start_node(
        change: impl FnOnce(&mut HostedConfig),
        store: impl FnOnce(&HostedConfig) -> Option<Box<dyn Store>>,
    ) -> Result<TestNode, String> {
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let token_file = folder.path().join("tokens.toml");
        write_tokens(&token_file).map_err(|error| error.to_string())?;
        let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut config = HostedConfig {
            name: "n1".into(),
            nodes: 1,
            seed: 7,
            sockets: 1_024,
            memory: 1 << 30,
            held_requests: 20_000,
            pool_idle: Duration::from_secs(10),
            listen: vec![http1_listener("public")],
            store: StoreConfig::File(folder.path().join("catalogue.redb")),
            admin: Some(AdminConfig { listen: ephemeral, token_file, connections: 32 }),
            zookeeper: None,
            authorities: None,
            admission: None,
            log: Default::default(),
            fleet: None,
            digest: 0,
            permits: None,
        };
        change(&mut config);
        let store = store(&config);
        let node = spawn(config.clone(), store).map_err(|error| error.to_string())?;
        let admin = node.addresses.admin.ok_or("no administration API")?;
        let addr = node.addresses.listeners.first().ok_or("no listener")?.1;
        let admin = Admin { addr: admin, secret: OPERATOR_SECRET.into() };
        Ok(TestNode { addr, admin, node: Some(node), folder, config })
    }

    /// The file of the catalogue; an empty path if the store is shared.
    pub fn catalogue_path(config: &HostedConfig) -> std::path::PathBuf {
        match &config.store {
            StoreConfig::File(path) => path.clone(),
            StoreConfig::Shared(_) => std::path::PathBuf::new(),
        }
    }

    /// The address of the listener of this name.
    pub fn listener(&self, name: &str) -> Option<SocketAddr> {
        let node = self.node.as_ref()?;
        node.addresses.listeners.iter().find(|(other, _)| other == name).map(|(_, addr)| *addr)
    }

    /// An administration client with another secret.
    pub fn admin_with(&self, secret: &str) -> Admin {
        Admin { addr: self.admin.addr, secret: secret.into() }
    }

    /// Stops the node.
    ///
    /// # Errors
    /// If the node did not end cleanly.
    pub fn stop(&mut self) -> Result<(), String> {
        self.node.take().map_or(Ok(()), NodeHandle::stop).map_err(|error| error.to_string())
    }

    /// Restarts the node with the same configuration and store.
    ///
    /// # Errors
    /// If the node does not stop or start.
    pub fn restart(&mut self) -> Result<(), String> {
        self.stop()?;
        let node = spawn(self.config.clone(), None).map_err(|error| error.to_string())?;
        self.admin.addr = node.addresses.admin.ok_or("no administration API")?;
        self.addr = node.addresses.listeners.first().ok_or("no listener")?.1;
        self.node = Some(node);
        Ok(())
    }
}
