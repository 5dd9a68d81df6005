//! Real `woodgap serve` processes of a scale measurement.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use woodgap_testkit::admin::Admin;
use woodgap_testkit::hosted::{write_tokens, OPERATOR_SECRET};

use super::error::ScaleError;
use super::hollow::follower::CATALOGUE_PATH;
use super::hollow::NODES_PATH;
use crate::process::{hosted_program, NodeProcess};

/// A real node, killed on drop.
pub struct RealNode {
    /// Name of the node.
    pub name: String,
    /// Process of the node.
    pub process: NodeProcess,
    /// Client of the node's administration API.
    pub admin: Admin,
    /// Time from the start of the process until it listened.
    pub start_duration: Duration,
    _folder: tempfile::TempDir,
}

/// Settings of a real node.
pub struct NodeConfig<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Address of the coordination service.
    pub service: SocketAddr,
    /// Seed members of the fleet; empty for a node that does not join a fleet.
    pub seeds: &'a [(String, SocketAddr)],
}

impl RealNode {
    /// Starts a node that uses the shared catalogue, and waits until it listens: it does so once the
    /// catalogue is loaded.
    ///
    /// # Errors
    /// When the node cannot be started or ends before it listens.
    pub fn start(config: &NodeConfig<'_>) -> Result<RealNode, ScaleError> {
        let folder = tempfile::tempdir()?;
        write_tokens(&folder.path().join("tokens.toml"))?;
        let NodeConfig { name, service, seeds } = config;
        let mut text = format!(
            "name = '{name}'\n[limits]\nsockets = 4096\n[[listen]]\nname = 'public'\naddress = '127.0.0.1:0'\n\
            [store]\nzookeeper = '{CATALOGUE_PATH}'\n\
            [admin]\nlisten = '127.0.0.1:0'\ntoken_file = 'tokens.toml'\n\
            [zookeeper]\naddresses = ['{service}']\nsession_ms = 6000\nflaps = 0\n\
            [zookeeper.register]\npath = '{NODES_PATH}'\n"
        );
        if !seeds.is_empty() {
            text.push_str("[fleet]\nlisten = '127.0.0.1:0'\n[fleet.peers]\n");
            seeds.iter().for_each(|(name, addr)| text.push_str(&format!("{name} = '{addr}'\n")));
        }
        let path = folder.path().join("hosted.toml");
        std::fs::write(&path, text)?;
        let path = path
            .to_str()
            .ok_or_else(|| ScaleError::Node("the path of its configuration is not UTF-8".into()))?;
        let start = Instant::now();
        let process =
            NodeProcess::start(&hosted_program()?, &["serve", "--config", path], &[], Duration::ZERO)?;
        let start_duration = start.elapsed();
        let addr = process.admin.ok_or_else(|| ScaleError::Node("it has no administration API".into()))?;
        let admin = Admin { addr, secret: OPERATOR_SECRET.to_owned() };
        Ok(RealNode { name: (*name).to_owned(), process, admin, start_duration, _folder: folder })
    }

    /// Returns the private memory of the process (`RssAnon`) in bytes.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn private_memory_bytes(&self) -> Result<f64, ScaleError> {
        Ok(self.process.memory_kib("RssAnon")? * 1_024.0)
    }
}

/// Waits until a node has a revision in force. Returns the time of its reply, in microseconds of Unix time.
///
/// # Errors
/// When the administration API fails.
pub async fn wait_until_in_force(admin: &Admin, name: &str, revision: u64) -> Result<u64, ScaleError> {
    let path = format!("changes?after={}&limit=1", revision - 1);
    loop {
        let reply = admin.get(&path).await?;
        if reply.status != 200 {
            return Err(ScaleError::Node(format!("{name}: {reply:?}")));
        }
        if reply.body["changes"].as_array().is_some_and(|changes| !changes.is_empty()) {
            return Ok(super::hollow::protocol::now_us());
        }
    }
}
