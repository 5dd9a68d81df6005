//! Configuration of the platform's node: parses the JSON file that BALANCER_CONFIG names and its environment
//! overrides.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use woodgap_decisions::settings::{self, ClassTenantNames, SettingPairs};
use woodgap_decisions::BalancerSettings;
use xxhash_rust::xxh3::xxh3_64;

use crate::sources::discovery::ServerList;

mod error;

pub use error::ConfigError;

/// JSON form of the file; unknown keys are ignored.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    #[serde(default)]
    known: Value,
    #[serde(default)]
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 128.0 }
    }
}

/// Configuration that a node starts with.
pub struct Config {
    /// Name of the node.
    pub name: String,
    /// Address for client connections.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of open file descriptors of the process.
    pub sockets: usize,
    /// Memory limit of the process in bytes.
    pub memory: usize,
    /// Address for messages from peer nodes.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the peer nodes.
    pub peers: Vec<SocketAddr>,
    /// Address that forwards a message to all peer nodes.
    pub peers_all: Option<SocketAddr>,
    /// Last server list that this node had.
    pub known: ServerList,
    /// Settings of the balancing decisions.
    pub settings: BalancerSettings,
    /// Names of the request classes and tenants.
    pub names: ClassTenantNames,
    /// Settings of the node outside the balancing decisions.
    pub upstream_settings: UpstreamSettings,
}

/// Settings that concern the node and not its balancing decisions.
#[derive(Clone)]
pub struct UpstreamSettings {
    /// Time limit for connecting to a server.
    pub dial_timeout: Duration,
    /// Idle time after which servers close connections.
    pub keepalive: Duration,
    /// Time after which a draining server receives no more requests.
    pub drain_grace: Duration,
    /// Maximum number of requests in progress at a time.
    pub open_cap: usize,
    /// Fields of a load report, in the order in which they appear there.
    pub report: Vec<String>,
}

impl Config {
    /// Parses the text of the file; environment variables take precedence over the file.
    pub fn read(text: &str, env: &HashMap<String, String>) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let address =
            |field: &'static str, name: &str, given: Option<String>| match env.get(name).cloned().or(given) {
                Some(text) => parse_address(field, &text),
                None => Err(ConfigError::Missing { field }),
            };
        let peers = file.peers.iter().map(|text| parse_address("peers", text)).collect::<Result<_, _>>()?;
        let optional =
            |field, text: &Option<String>| text.as_deref().map(|text| parse_address(field, text)).transpose();
        let mut pairs = SettingPairs::default();
        flatten("", &file.settings, &mut pairs);
        let (settings, names) = settings::parse_settings(&pairs)?;
        let micros = |path, default| pairs.integer(path, default).map(Duration::from_micros);
        let upstream_settings = UpstreamSettings {
            dial_timeout: micros("bounds.dial-timeout", 250_000)?,
            keepalive: micros("bounds.keepalive", 15_000_000)?,
            drain_grace: micros("rules.stop-sending-within", 500_000)?,
            open_cap: pairs.integer("bounds.open-cap", 20_000)?.clamp(1, 1 << 20) as usize,
            report: pairs.text("report.fields").unwrap_or("").split(',').map(str::to_owned).collect(),
        };
        Ok(Config {
            name: env.get("BALANCER_NAME").cloned().unwrap_or(file.name),
            listen: address("listen", "BALANCER_LISTEN", file.listen)?,
            discovery: address("discovery", "BALANCER_DISCOVERY", file.discovery)?,
            seed: parse_seed(&file.seed),
            sockets: file.limits.sockets,
            memory: (file.limits.memory_mb.max(1.0) * f64::from(1 << 20)) as usize,
            peer_listen: optional("peer_listen", &file.peer_listen)?,
            peers,
            peers_all: optional("peers_all", &file.peers_all)?,
            known: ServerList::from_value(&file.known).unwrap_or_default(),
            settings,
            names,
            upstream_settings,
        })
    }
}

/// Discovery address in a changed file. On SIGHUP the file takes precedence, since the environment still
/// holds the address from the start.
pub fn parse_discovery_address(text: &str) -> Result<SocketAddr, ConfigError> {
    let file: ConfigFile = serde_json::from_str(text)?;
    parse_address("discovery", &file.discovery.ok_or(ConfigError::Missing { field: "discovery" })?)
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::Address { field, text: text.to_owned(), source })
}

fn parse_seed(value: &Value) -> u64 {
    match value {
        Value::String(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes())),
        other => other.as_u64().unwrap_or_else(|| xxh3_64(other.to_string().as_bytes())),
    }
}

/// Flattens an object into the paths of the simulator's first message: items of a list of objects are stored
/// under their index together with a count, and lists of plain values are joined by commas.
fn flatten(path: &str, value: &Value, pairs: &mut SettingPairs) {
    let below = |name: &str| {
        let name = name.replace('_', "-");
        if path.is_empty() {
            name
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(name, value)| flatten(&below(name), value, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.set(below("count"), items.len().to_string());
            for (i, item) in items.iter().enumerate() {
                flatten(&below(&i.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().filter_map(scalar_text).collect();
            pairs.set(path.to_owned(), items.join(","));
        }
        other => {
            if let Some(text) = scalar_text(other) {
                pairs.set(path.to_owned(), text);
            }
        }
    }
}

fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => match number.as_f64() {
            // A whole number may be written as 5.0 or 1e6.
            Some(real) if number.as_u64().is_none() && real.fract() == 0.0 && (0.0..9e15).contains(&real) => {
                Some((real as u64).to_string())
            }
            _ => Some(number.to_string()),
        },
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
