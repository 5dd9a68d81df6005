//! The hosted node's configuration: parses its TOML file and reports every error with its line.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

use toml::de::{DeTable, DeValue};
use toml::Spanned;
use woodgap_admission::queue::AdmissionSettings;
use woodgap_membership::MergeLimits;
use woodgap_permits::BudgetLimit;
use woodgap_tenancy::spec::{
    AdmissionSpec, KeySource, MAX_KEY_SOURCES, MAX_RETRY_AFTER_MS, MAX_WAITING, MAX_WAIT_MS,
};
use woodgap_zookeeper::is_valid_path;
use woodgap_zookeeper::session::{SessionSettings, MAX_ADDRESSES};

pub use crate::fleet::{DrainsConfig, FleetConfig, PermitsConfig};
pub use crate::front::client_key::ClientKeySources;
use crate::telemetry::LogFormat;

/// Maximum number of listeners.
pub const MAX_LISTENERS: usize = 64;

/// A listener for clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenerConfig {
    /// Name by which tenants' specifications refer to the listener.
    pub name: String,
    /// Address to bind; port 0 takes any free port.
    pub address: SocketAddr,
    /// Protocols that it speaks.
    pub protocols: Protocols,
    /// PEM files of the certificate chain and key; with them HTTP/1.1 is spoken over TLS.
    pub tls: Option<(PathBuf, PathBuf)>,
    /// PEM file of the authorities that verify client certificates; without it no client certificate is
    /// requested.
    pub client_authorities: Option<PathBuf>,
}

/// Protocols of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protocols {
    /// HTTP/1.1, over TCP.
    pub http1: bool,
    /// HTTP/3, over UDP at the same port.
    pub http3: bool,
}

impl Default for Protocols {
    fn default() -> Self {
        Protocols { http1: true, http3: false }
    }
}

/// Settings of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminConfig {
    /// Address to bind.
    pub listen: SocketAddr,
    /// File with the access tokens.
    pub token_file: PathBuf,
    /// Maximum number of open connections.
    pub connections: usize,
}

/// Location of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreConfig {
    /// A file that this node alone uses.
    File(PathBuf),
    /// A path of the coordination service, shared by all nodes that name it.
    Shared(String),
}

impl fmt::Display for StoreConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreConfig::File(path) => path.display().fmt(f),
            StoreConfig::Shared(path) => write!(f, "zookeeper {path}"),
        }
    }
}

/// Settings of this node's registration with the coordination service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisterConfig {
    /// Path under which nodes register; each node's child has the node's name.
    pub path: String,
    /// Address at which clients reach the node; by default that of its first listener.
    pub address: Option<String>,
}

/// Settings of the coordination service and its uses.
#[derive(Clone, Debug, PartialEq)]
pub struct ZookeeperConfig {
    /// Session settings without the identity.
    pub settings: SessionSettings,
    /// File with the identity, `USER:PASSWORD`.
    pub digest_file: Option<PathBuf>,
    /// Path under which tenants' servers register.
    pub pools: String,
    /// Limits on removals and flapping in the merged server lists.
    pub merge_limits: MergeLimits,
    /// Registration of this node, if it registers.
    pub register: Option<RegisterConfig>,
}

impl Eq for ZookeeperConfig {}

impl ZookeeperConfig {
    /// Returns the session settings with the identity from its file.
    ///
    /// # Errors
    /// The file cannot be read, can be read by other users, or holds no identity.
    pub fn settings(&self) -> Result<SessionSettings, String> {
        use std::os::unix::fs::MetadataExt;
        let Some(path) = &self.digest_file else { return Ok(self.settings.clone()) };
        let location = path.display();
        let metadata =
            std::fs::metadata(path).map_err(|error| format!("zookeeper.digest_file {location}: {error}"))?;
        if metadata.mode() & 0o077 != 0 {
            return Err(format!(
                "zookeeper.digest_file {location}: others can read it; chmod 0600 {location}"
            ));
        }
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("zookeeper.digest_file {location}: {e}"))?;
        let digest = text.trim();
        let is_complete =
            digest.split_once(':').is_some_and(|(user, secret)| !user.is_empty() && !secret.is_empty());
        if !is_complete || digest.contains(['\n', '\r']) {
            return Err(format!("zookeeper.digest_file {location}: write USER:PASSWORD on one line"));
        }
        Ok(SessionSettings { digest: Some(digest.to_owned()), ..self.settings.clone() })
    }
}

/// Settings of the fair admission queues of pools.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Sources of a client's key.
    pub keys: ClientKeySources,
    /// Settings of each pool's admission queue.
    pub settings: AdmissionSettings,
}

impl AdmissionConfig {
    /// Returns the settings for a tenant's specification; `None` if it switches admission off.
    pub fn for_tenant(&self, spec: &AdmissionSpec) -> Option<AdmissionConfig> {
        if spec.off {
            return None;
        }
        // The specification has been validated before the catalogue accepted it.
        let keys =
            spec.keys.as_ref().and_then(|keys| ClientKeySources::parse(keys.iter().map(String::as_str)).ok());
        let micros = |ms: Option<u64>, default: u64| ms.map_or(default, |ms| ms.saturating_mul(1_000));
        let settings = self.settings;
        Some(AdmissionConfig {
            keys: keys.unwrap_or_else(|| self.keys.clone()),
            settings: AdmissionSettings {
                max_waiting: spec.waiting.unwrap_or(settings.max_waiting),
                max_wait: micros(spec.longest_wait_ms, settings.max_wait),
                max_retry_after: micros(spec.longest_hint_ms, settings.max_retry_after),
                ..settings
            },
        })
    }
}

impl Eq for AdmissionConfig {}

/// Configuration of a hosted node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostedConfig {
    /// Name of the node, for the log.
    pub name: String,
    /// Number of nodes that share the tenants' traffic; quotas and slow-start rates are divided by it.
    pub nodes: u32,
    /// Seed of random choices.
    pub seed: u64,
    /// Maximum number of file descriptors that the process uses.
    pub sockets: usize,
    /// Maximum memory in bytes.
    pub memory: usize,
    /// Maximum number of requests held at a time.
    pub held_requests: usize,
    /// Idle time after which a pool is stopped.
    pub pool_idle: Duration,
    /// Listeners for clients.
    pub listen: Vec<ListenerConfig>,
    /// Location of the catalogue.
    pub store: StoreConfig,
    /// Administration API, if it is on.
    pub admin: Option<AdminConfig>,
    /// Coordination service, if one is used.
    pub zookeeper: Option<ZookeeperConfig>,
    /// PEM file of the authorities that verify HTTP/3 servers, if there is one.
    pub authorities: Option<PathBuf>,
    /// Format of the log.
    pub log: LogFormat,
    /// Fleet membership of the node, if it is in a fleet.
    pub fleet: Option<FleetConfig>,
    /// Digest of the file's text; nodes with the same file have the same digest.
    pub digest: u32,
    /// Drain permits, which nodes coordinate among themselves, if they are on.
    pub permits: Option<PermitsConfig>,
    /// Fair admission queues of pools, if they are on.
    pub admission: Option<AdmissionConfig>,
}

/// Checks the configured number of file descriptors against the process's soft limit.
///
/// # Errors
/// Returns both numbers and the remedy if the limit is lower. An unknown limit passes the check.
pub fn check_descriptor_limit(config: &HostedConfig) -> Result<(), String> {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    match soft {
        Some(soft) if soft < config.sockets => Err(format!(
            "limits.sockets is {}, but this process may have {soft} files open: raise that limit (ulimit -n, \
            LimitNOFILE) or lower limits.sockets",
            config.sockets
        )),
        _ => Ok(()),
    }
}

/// An error in the configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Line of the error, from 1.
    pub line: usize,
    /// Description of the error and its remedy.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.problem)
    }
}

/// Reads values from TOML tables and collects errors.
struct Reader<'a> {
    text: &'a str,
    errors: Vec<ConfigError>,
}

/// A table with the keys that have been looked up; all other keys are reported as unknown.
struct Section<'a, 'i> {
    path: String,
    span: Range<usize>,
    table: &'a DeTable<'i>,
    known: BTreeSet<&'static str>,
}

impl<'a, 'i> Section<'a, 'i> {
    fn new(path: &str, span: Range<usize>, table: &'a DeTable<'i>) -> Self {
        Section { path: path.to_owned(), span, table, known: BTreeSet::new() }
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.known.insert(key);
        self.table.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

impl Reader<'_> {
    fn error(&mut self, span: Range<usize>, problem: String) {
        let line = self.text[..span.start.min(self.text.len())].matches('\n').count() + 1;
        self.errors.push(ConfigError { line, problem });
    }

    /// Returns the value that `read` converts; `None` if it is absent or invalid. `valid` describes valid
    /// values.
    fn value<T>(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        valid: &str,
        read: impl FnOnce(&DeValue<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = section.get(key)?;
        let converted = read(value.get_ref());
        if converted.is_none() {
            self.error(value.span(), format!("{}: give {valid}", section.key_path(key)));
        }
        converted
    }

    fn integer(&mut self, s: &mut Section<'_, '_>, key: &'static str, range: Range<u64>) -> Option<u64> {
        let valid = format!("a whole number from {} to {}", range.start, range.end - 1);
        self.value(s, key, &valid, |value| {
            let integer = value.as_integer()?;
            let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok()?;
            range.contains(&number).then_some(number)
        })
    }

    fn text(&mut self, s: &mut Section<'_, '_>, key: &'static str, valid: &str) -> Option<String> {
        self.value(s, key, valid, |value| value.as_str().filter(|text| !text.is_empty()).map(str::to_owned))
    }

    fn address(&mut self, s: &mut Section<'_, '_>, key: &'static str) -> Option<SocketAddr> {
        self.value(s, key, "an address and port, such as \"127.0.0.1:8080\"", |v| v.as_str()?.parse().ok())
    }

    fn path(&mut self, s: &mut Section<'_, '_>, key: &'static str, valid: &str) -> Option<String> {
        self.value(s, key, valid, |v| v.as_str().filter(|path| is_valid_path(path)).map(str::to_owned))
    }

    fn required<T>(&mut self, section: &Section<'_, '_>, key: &str, value: Option<T>) -> Option<T> {
        let present = section.table.iter().any(|(name, _)| name.get_ref() == key);
        if value.is_none() && !present {
            self.error(section.span.clone(), format!("{} is missing", section.key_path(key)));
        }
        value
    }

    fn section<'a, 'i>(
        &mut self,
        parent: &mut Section<'a, 'i>,
        key: &'static str,
    ) -> Option<Section<'a, 'i>> {
        let value = parent.get(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.error(
                value.span(),
                format!("{}: write it as a table, [{}]", parent.key_path(key), parent.key_path(key)),
            );
            return None;
        };
        Some(Section::new(&parent.key_path(key), value.span(), table))
    }

    fn finish(&mut self, section: Section<'_, '_>) {
        for (key, _) in section.table.iter() {
            if !section.known.contains(key.get_ref().as_ref()) {
                let known: Vec<&str> = section.known.iter().copied().collect();
                let problem = format!(
                    "{} is not known here; known are {}",
                    section.key_path(key.get_ref()),
                    known.join(", ")
                );
                self.error(key.span(), problem);
            }
        }
    }
}

impl HostedConfig {
    /// Parses the text of a configuration file. Paths in it are relative to `folder`.
    ///
    /// # Errors
    /// Returns every error, ordered by line.
    pub fn parse(text: &str, folder: &Path) -> Result<HostedConfig, Vec<ConfigError>> {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut reader = Reader { text, errors: Vec::new() };
        for error in &errors {
            reader.error(error.span().unwrap_or(0..0), error.message().to_owned());
        }
        let mut top = Section::new("", root.span(), root.get_ref());
        let config = Self::root(&mut reader, &mut top, folder);
        reader.finish(top);
        reader.errors.sort_by_key(|error| error.line);
        reader.errors.dedup();
        match config {
            Some(config) if reader.errors.is_empty() => Ok(config),
            _ => Err(reader.errors),
        }
    }

    fn root(reader: &mut Reader<'_>, top: &mut Section<'_, '_>, folder: &Path) -> Option<HostedConfig> {
        let name = reader.text(top, "name", "a name for the log").unwrap_or_else(|| "woodgap".to_owned());
        let nodes = reader.integer(top, "nodes", 1..10_001).unwrap_or(1) as u32;
        let seed = reader.integer(top, "seed", 0..1 << 53);
        let (mut sockets, mut memory_mb, mut held_requests) = (None, None, None);
        if let Some(mut limits) = reader.section(top, "limits") {
            sockets = reader.integer(&mut limits, "sockets", 64..1_048_577);
            memory_mb = reader.integer(&mut limits, "memory_mb", 32..1_048_577);
            held_requests = reader.integer(&mut limits, "held_requests", 1..1_048_577);
            reader.finish(limits);
        }
        let mut pool_idle = None;
        if let Some(mut pools) = reader.section(top, "pools") {
            pool_idle = reader.integer(&mut pools, "idle_s", 1..86_401);
            reader.finish(pools);
        }
        let mut log = LogFormat::Text;
        if let Some(mut section) = reader.section(top, "log") {
            let format =
                reader.value(&mut section, "format", "\"text\" or \"json\"", |value| match value.as_str() {
                    Some("text") => Some(LogFormat::Text),
                    Some("json") => Some(LogFormat::Json),
                    _ => None,
                });
            log = format.unwrap_or_default();
            reader.finish(section);
        }
        let listen = Self::listen(reader, top, folder);
        let zookeeper = match reader.section(top, "zookeeper") {
            Some(mut section) => {
                let zookeeper = Self::zookeeper(reader, &mut section, folder);
                reader.finish(section);
                zookeeper
            }
            None => None,
        };
        let mut store = None;
        if let Some(mut section) = reader.section(top, "store") {
            let file = reader.text(&mut section, "path", "the file of the catalogue");
            let shared = reader.path(&mut section, "zookeeper", "a path of the service: \"/catalogue\"");
            let has_key = |key: &str| section.table.iter().any(|(name, _)| name.get_ref() == key);
            let span = section.span.clone();
            match (has_key("path"), has_key("zookeeper")) {
                (true, true) => {
                    reader.error(
                        span,
                        "store: give either path (a file) or zookeeper (a path of the service), not both"
                            .into(),
                    );
                }
                (false, false) => reader.error(
                    span,
                    "store.path is missing (a file), or store.zookeeper (a path of the service)".to_owned(),
                ),
                (_, true) if top.table.iter().all(|(key, _)| key.get_ref() != "zookeeper") => {
                    let problem = "store.zookeeper: configure the coordination service in [zookeeper]";
                    reader.error(span, problem.to_owned());
                }
                _ => {}
            }
            store = file.map(|file| StoreConfig::File(folder.join(file))).or(shared.map(StoreConfig::Shared));
            reader.finish(section);
        } else if top.table.iter().all(|(key, _)| key.get_ref() != "store") {
            reader.error(0..0, "[store] is missing: it names the file of the catalogue as path".to_owned());
        }
        let admin = match reader.section(top, "admin") {
            Some(mut section) => {
                let admin = Self::admin(reader, &mut section, folder);
                reader.finish(section);
                admin
            }
            None => None,
        };
        let mut admission = None;
        if let Some(mut section) = reader.section(top, "admission") {
            let valid = format!("a list of 1 to {MAX_KEY_SOURCES} of {}", KeySource::EXPECTED);
            let keys = reader.value(&mut section, "keys", &valid, |value| {
                let texts: Option<Vec<&str>> =
                    value.as_array()?.iter().map(|item| item.get_ref().as_str()).collect();
                ClientKeySources::parse(texts.filter(|texts| texts.len() <= MAX_KEY_SOURCES)?).ok()
            });
            let keys = reader.required(&section, "keys", keys);
            let defaults = AdmissionSettings::default();
            let waiting = reader.integer(&mut section, "waiting", 1..u64::from(MAX_WAITING) + 1);
            let wait = reader.integer(&mut section, "longest_wait_ms", 1..MAX_WAIT_MS + 1);
            let hint = reader.integer(&mut section, "longest_hint_ms", 1..MAX_RETRY_AFTER_MS + 1);
            let settings = AdmissionSettings {
                max_waiting: waiting.map_or(defaults.max_waiting, |n| n as u32),
                max_wait: wait.map_or(defaults.max_wait, |ms| ms * 1_000),
                max_retry_after: hint.map_or(defaults.max_retry_after, |ms| ms * 1_000),
                ..defaults
            };
            admission = keys.map(|keys| AdmissionConfig { keys, settings });
            reader.finish(section);
        }
        let mut fleet = None;
        if let Some(mut section) = reader.section(top, "fleet") {
            fleet = Self::fleet(reader, &mut section, folder);
            if let Some(problem) = fleet.as_ref().and_then(|fleet| fleet.length_error(&name)) {
                reader.error(section.span.clone(), problem);
            }
            reader.finish(section);
        }
        let registers = zookeeper.as_ref().is_some_and(|zookeeper| zookeeper.register.is_some());
        let permits = match reader.section(top, "permits") {
            Some(mut section) => {
                let permits = Self::permits(reader, &mut section, registers, fleet.is_some(), folder);
                reader.finish(section);
                permits
            }
            None => None,
        };
        let mut authorities = None;
        if let Some(mut section) = reader.section(top, "upstream") {
            let file = reader.text(&mut section, "authorities", "the file of certificates to trust, PEM");
            authorities = file.map(|file| folder.join(file));
            reader.finish(section);
        }
        let seed = seed.unwrap_or_else(|| fastrand::u64(..));
        Some(HostedConfig {
            name,
            nodes,
            seed,
            sockets: sockets.unwrap_or(4_096) as usize,
            memory: (memory_mb.unwrap_or(1_024) as usize) << 20,
            held_requests: held_requests.unwrap_or(20_000) as usize,
            pool_idle: Duration::from_secs(pool_idle.unwrap_or(10)),
            listen: listen?,
            store: store?,
            admin,
            zookeeper,
            authorities,
            log,
            fleet,
            digest: xxhash_rust::xxh3::xxh3_64(reader.text.as_bytes()) as u32,
            permits,
            admission,
        })
    }

    fn fleet(reader: &mut Reader<'_>, section: &mut Section<'_, '_>, folder: &Path) -> Option<FleetConfig> {
        let listen = reader.address(section, "listen");
        let listen = reader.required(section, "listen", listen);
        let advertise = reader.address(section, "advertise");
        let zone = reader.text(section, "zone", "the zone of this node");
        let keys = reader.text(section, "keys_file", "the file with one key per line, ID SECRET, mode 0600");
        let interval = reader.integer(section, "interval_ms", 20..60_001);
        let mut peers = Vec::new();
        if let Some(table) = reader.section(section, "peers") {
            for (name, value) in table.table.iter() {
                match value.get_ref().as_str().and_then(|addr| addr.parse().ok()) {
                    Some(addr) => peers.push((name.get_ref().to_string(), addr)),
                    None => {
                        let valid = "an address and port, such as \"10.0.0.5:7946\"";
                        reader.error(value.span(), format!("fleet.peers.{}: give {valid}", name.get_ref()));
                    }
                }
            }
        }
        if let (Some(addr), None) = (listen.filter(|addr| addr.ip().is_unspecified()), advertise) {
            let problem = format!("fleet.listen {addr}: give as advertise the address that others send to");
            reader.error(section.span.clone(), problem);
        }
        Some(FleetConfig {
            listen: listen?,
            advertise,
            zone,
            peers,
            keys_file: keys.map(|file| folder.join(file)),
            probe_interval: interval.map_or(FleetConfig::DEFAULT_PROBE_INTERVAL, Duration::from_millis),
        })
    }

    fn permits(
        reader: &mut Reader<'_>,
        section: &mut Section<'_, '_>,
        registers: bool,
        fleet: bool,
        folder: &Path,
    ) -> Option<PermitsConfig> {
        if !registers {
            let problem =
                "permits: nodes find one another through [zookeeper.register]: configure the path there";
            reader.error(section.span.clone(), problem.to_owned());
        }
        let path = reader.path(section, "path", "a path of the service: \"/permits\"");
        let path = reader.required(section, "path", path);
        let zone = reader.text(section, "zone", "the zone of this node");
        let valid = "a number of nodes (1) or a percentage of them (\"10%\")";
        let parse_limit = |value: &DeValue<'_>| match value.as_str() {
            Some(text) => text
                .strip_suffix('%')?
                .parse()
                .ok()
                .filter(|percent| (1..=100).contains(percent))
                .map(BudgetLimit::Percent),
            None => {
                let integer = value.as_integer()?;
                u32::from_str_radix(integer.as_str(), integer.radix())
                    .ok()
                    .filter(|n| *n > 0)
                    .map(BudgetLimit::Count)
            }
        };
        let most_out = reader.value(section, "most_out", valid, parse_limit).unwrap_or(BudgetLimit::Count(1));
        let zone_most_out = reader.value(section, "zone_most_out", valid, parse_limit);
        if zone_most_out.is_some() && zone.is_none() {
            reader.error(section.span.clone(), "permits.zone_most_out: give permits.zone too".to_owned());
        }
        let least_up = reader.integer(section, "least_up", 0..100_001).unwrap_or(1) as u32;
        let mut secs =
            |key, default| reader.integer(section, key, 1..3_601).map_or(default, Duration::from_secs);
        let defaults = PermitsConfig::new(path?, zone, most_out, zone_most_out, least_up);
        let (return_hold, grant_timeout) =
            (secs("hold_s", defaults.return_hold), secs("act_s", defaults.grant_timeout));
        let max_wait = secs("wait_s", defaults.max_wait);
        let servers = reader.section(section, "servers").and_then(|mut section| {
            if !fleet {
                let problem =
                    "permits.servers: nodes report completed drains through [fleet]: configure it too";
                reader.error(section.span.clone(), problem.to_owned());
            }
            let file = reader.text(&mut section, "file", "the file in which the last known orders are saved");
            let file = reader.required(&section, "file", file);
            let isolation_s = reader.integer(&mut section, "alone_s", 1..86_401).unwrap_or(30);
            let max_request_s = reader.integer(&mut section, "longest_s", 1..3_601).unwrap_or(120);
            reader.finish(section);
            let (isolation_timeout, max_request_duration) =
                (Duration::from_secs(isolation_s), Duration::from_secs(max_request_s));
            Some(DrainsConfig { file: folder.join(file?), isolation_timeout, max_request_duration })
        });
        Some(PermitsConfig { return_hold, grant_timeout, max_wait, servers, ..defaults })
    }

    fn listen(reader: &mut Reader<'_>, top: &mut Section<'_, '_>, dir: &Path) -> Option<Vec<ListenerConfig>> {
        let Some(value) = top.get("listen") else {
            reader.error(0..0, "[[listen]] is missing: it gives name and address of a listener".to_owned());
            return None;
        };
        let tables = value.get_ref().as_array().map(|items| items.iter().collect::<Vec<_>>());
        let Some(tables) = tables.filter(|items| items.iter().all(|item| item.get_ref().is_table())) else {
            reader.error(value.span(), "listen: write it as tables, [[listen]]".to_owned());
            return None;
        };
        if tables.len() > MAX_LISTENERS {
            reader.error(value.span(), format!("listen: give at most {MAX_LISTENERS}"));
        }
        let mut listeners: Vec<ListenerConfig> = Vec::new();
        for item in tables {
            let Some(table) = item.get_ref().as_table() else { continue };
            let mut section = Section::new("listen", item.span(), table);
            let name = reader.text(&mut section, "name", "a name by which tenants refer to the listener");
            let name = reader.required(&section, "name", name);
            let address = reader.address(&mut section, "address");
            let address = reader.required(&section, "address", address);
            let valid = "a list of at least one of \"http1\" and \"http3\"";
            let protocols = reader.value(&mut section, "protocols", valid, |value| {
                let mut found = Protocols { http1: false, http3: false };
                for item in value.as_array()?.iter() {
                    match item.get_ref().as_str()? {
                        "http1" => found.http1 = true,
                        "http3" => found.http3 = true,
                        _ => return None,
                    }
                }
                (found.http1 || found.http3).then_some(found)
            });
            let protocols = protocols.unwrap_or_default();
            let certificate =
                reader.text(&mut section, "certificate", "the file of the certificate chain, PEM");
            let key = reader.text(&mut section, "key", "the file of its key, PEM");
            let tls = match (certificate, key) {
                (Some(certificate), Some(key)) => Some((dir.join(certificate), dir.join(key))),
                (None, None) => None,
                _ => {
                    reader.error(item.span(), "listen: certificate and key belong together".to_owned());
                    None
                }
            };
            let clients = "the file of authorities for clients' certificates, PEM";
            let clients = reader.text(&mut section, "client_authorities", clients);
            if clients.is_some() && tls.is_none() {
                let problem =
                    "listen.client_authorities: clients present certificates over TLS alone; give certificate and key";
                reader.error(item.span(), problem.to_owned());
            }
            let client_authorities = clients.map(|file| dir.join(file));
            if protocols.http3 && tls.is_none() {
                reader.error(item.span(), "listen.protocols: http3 needs certificate and key".to_owned());
            }
            if let (Some(name), Some(address)) = (name, address) {
                if listeners.iter().any(|other| other.name == name) {
                    reader.error(item.span(), format!("listen.name: '{name}' is used twice"));
                }
                if address.port() != 0 && listeners.iter().any(|other| other.address == address) {
                    reader.error(item.span(), format!("listen.address: {address} is used twice"));
                }
                listeners.push(ListenerConfig { name, address, protocols, tls, client_authorities });
            }
            reader.finish(section);
        }
        Some(listeners)
    }

    fn zookeeper(
        reader: &mut Reader<'_>,
        section: &mut Section<'_, '_>,
        folder: &Path,
    ) -> Option<ZookeeperConfig> {
        let valid = "a list of 1 to 64 \"HOST:PORT\"";
        let addresses = reader.value(section, "addresses", valid, |value| {
            let parse_address = |item: &Spanned<DeValue<'_>>| {
                let text = item.get_ref().as_str()?;
                let (host, port) = text.rsplit_once(':')?;
                let is_valid =
                    !host.is_empty() && !text.contains([',', '/']) && !text.contains(char::is_whitespace);
                (is_valid && port.parse::<u16>().is_ok_and(|port| port > 0)).then(|| text.to_owned())
            };
            let all: Option<Vec<String>> = value.as_array()?.iter().map(parse_address).collect();
            all.filter(|all| (1..=MAX_ADDRESSES).contains(&all.len()))
        });
        let addresses = reader.required(section, "addresses", addresses);
        let chroot = reader.path(section, "chroot", "a path of the service: \"/woodgap\"");
        let session_ms = reader.integer(section, "session_ms", 1_000..120_001).unwrap_or(10_000);
        let digest_file = reader.text(section, "digest_file", "the file with USER:PASSWORD, mode 0600");
        let pools = reader.path(section, "pools", "a path of the service: \"/pools\"");
        let defaults = MergeLimits::default();
        let valid = "a number above 0, at most 1";
        let vanish = reader.value(section, "vanish", valid, |value| {
            let text = value.as_float().map(|f| f.as_str()).or(value.as_integer().map(|n| n.as_str()))?;
            let share: f64 = text.parse().ok()?;
            (share > 0.0 && share <= 1.0).then_some(share)
        });
        let millis = |seconds: u64| seconds.saturating_mul(1_000);
        let merge_limits = MergeLimits {
            max_removal_share: vanish.unwrap_or(defaults.max_removal_share),
            suspicion_timeout: reader
                .integer(section, "doubt_s", 0..86_401)
                .map_or(defaults.suspicion_timeout, millis),
            max_flaps: reader.integer(section, "flaps", 0..1_001).map_or(defaults.max_flaps, |n| n as usize),
            flap_hold_down: reader
                .integer(section, "flap_hold_s", 0..3_601)
                .map_or(defaults.flap_hold_down, millis),
            ..defaults
        };
        let register = reader.section(section, "register").and_then(|mut section| {
            let path = reader.path(&mut section, "path", "a path of the service: \"/nodes\"");
            let path = reader.required(&section, "path", path);
            let address = reader.text(&mut section, "address", "HOST:PORT where clients reach this node");
            reader.finish(section);
            Some(RegisterConfig { path: path?, address })
        });
        Some(ZookeeperConfig {
            settings: SessionSettings {
                addresses: addresses?,
                chroot: chroot.unwrap_or_default(),
                digest: None,
                session_timeout: Duration::from_millis(session_ms),
            },
            digest_file: digest_file.map(|file| folder.join(file)),
            pools: pools.unwrap_or_else(|| "/pools".to_owned()),
            merge_limits,
            register,
        })
    }

    fn admin(reader: &mut Reader<'_>, section: &mut Section<'_, '_>, folder: &Path) -> Option<AdminConfig> {
        let listen = reader.address(section, "listen").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9901)));
        let public =
            reader.value(section, "public", "true or false", |value| value.as_bool()).unwrap_or(false);
        if !listen.ip().is_loopback() && !public {
            let span = section.get("listen").map_or(section.span.clone(), Spanned::span);
            let problem =
                "admin.listen: other machines could reach this address; set public = true if that is intended";
            reader.error(span, problem.to_owned());
        }
        let connections = reader.integer(section, "connections", 1..4_097).unwrap_or(64) as usize;
        let file = reader.text(section, "token_file", "the file with the tokens, mode 0600");
        let file = reader.required(section, "token_file", file)?;
        Some(AdminConfig { listen, token_file: folder.join(file), connections })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn errors(text: &str) -> Vec<(usize, String)> {
        let errors = HostedConfig::parse(text, Path::new("/etc")).unwrap_err();
        errors.into_iter().map(|error| (error.line, error.problem)).collect()
    }

    #[test]
    fn example_file_parses_to_the_settings_in_its_comments() {
        let text = include_str!("../../../../deploy/hosted.toml");
        let config = HostedConfig::parse(text, Path::new("/srv/woodgap")).unwrap();
        assert_eq!(config.listen[0].name, "public");
        assert_eq!(config.store, StoreConfig::File("/srv/woodgap/catalogue.redb".into()));
        assert!(config.admin.unwrap().listen.ip().is_loopback());
    }

    #[test]
    fn absent_settings_take_their_defaults() {
        let text = "[[listen]]\nname = 'a'\naddress = '127.0.0.1:0'\n[store]\npath = 'c.redb'\n";
        let config = HostedConfig::parse(text, Path::new("/etc")).unwrap();
        assert_eq!((config.nodes, config.sockets, config.memory), (1, 4_096, 1 << 30));
        assert_eq!(config.store, StoreConfig::File("/etc/c.redb".into()));
        assert!(config.admin.is_none() && config.zookeeper.is_none());
    }

    #[test]
    fn every_error_is_reported_with_its_line() {
        let text =
            "nodes = 0\nspeed = 1\n[limits]\nsockets = 'many'\n[[listen]]\nname = 'a'\naddress = 'here'\n\
            [[listen]]\naddress = '127.0.0.1:80'\nport = 80\n[admin]\nlisten = '0.0.0.0:1'\n[store]\n";
        let lines: Vec<usize> = errors(text).iter().map(|error| error.0).collect();
        assert_eq!(lines, [1, 2, 4, 7, 8, 10, 11, 12, 13], "{:?}", errors(text));
        assert!(errors(text)[1].1.contains("speed is not known here; known are"));
    }

    #[test]
    fn syntax_errors_are_reported_with_their_lines() {
        let found = errors("nodes = \n[[listen]]\nname = 'a'\naddress = '127.0.0.1:0'\n[store\npath = 'c'\n");
        assert!(
            found.iter().any(|error| error.0 == 1) && found.iter().any(|error| error.0 == 5),
            "{found:?}"
        );
        assert!(errors("").iter().any(|(_, problem)| problem.contains("[[listen]]")));
    }

    #[test]
    fn coordination_service_and_permits_are_parsed_and_validated() {
        let head = "[[listen]]\nname = 'a'\naddress = '127.0.0.1:0'\n";
        let valid = format!(
            "{head}[store]\nzookeeper = '/catalogue'\n[zookeeper]\naddresses = ['zk1:2181', '[::1]:2181']\n\
            chroot = '/woodgap'\nvanish = 0.25\ndoubt_s = 5\n[zookeeper.register]\npath = '/nodes'\n"
        );
        let config = HostedConfig::parse(&valid, Path::new("/etc")).unwrap();
        assert_eq!(config.store, StoreConfig::Shared("/catalogue".into()));
        let zookeeper = config.zookeeper.unwrap();
        assert_eq!(zookeeper.settings.addresses.len(), 2);
        assert_eq!(
            (
                zookeeper.pools.as_str(),
                zookeeper.merge_limits.max_removal_share,
                zookeeper.merge_limits.suspicion_timeout
            ),
            ("/pools", 0.25, 5_000)
        );
        assert_eq!(zookeeper.register.unwrap().path, "/nodes");
        let invalid = format!(
            "{head}[store]\npath = 'c'\nzookeeper = 'catalogue'\n[zookeeper]\naddresses = ['zk1']\nchroot = '/a/'\n\
            session_ms = 10\nvanish = 0.0\npool = '/x'\n"
        );
        let lines: Vec<usize> = errors(&invalid).iter().map(|error| error.0).collect();
        assert_eq!(lines, [4, 6, 8, 9, 10, 11, 12], "{:?}", errors(&invalid));
        let permits = |more: &str| {
            format!(
                "{head}[store]\npath = 'c'\n[zookeeper]\naddresses = ['zk1:2181']\n[zookeeper.register]\npath = '/nodes'\n\
                [permits]\n{more}"
            )
        };
        let text =
            permits("path = '/permits'\nzone = 'a'\nzone_most_out = '25%'\nmost_out = 3\nhold_s = 5\n");
        let read = HostedConfig::parse(&text, Path::new("/etc")).unwrap().permits.unwrap();
        assert_eq!(
            (read.budgets.len(), read.budgets[0].most_out, read.return_hold.as_secs()),
            (2, BudgetLimit::Count(3), 5)
        );
        assert_eq!(read.budgets[1].most_out, BudgetLimit::Percent(25));
        let invalid_permits = errors(&permits("path = 'x'\nmost_out = '0%'\nzone_most_out = 1\n"));
        assert_eq!(invalid_permits.len(), 3, "{invalid_permits:?}");
        let unregistered = errors(&format!("{head}[store]\npath = 'c'\n[permits]\npath = '/p'\n"));
        assert!(unregistered[0].1.contains("[zookeeper.register]"), "{unregistered:?}");
        let no_service = errors(&format!("{head}[store]\nzookeeper = '/catalogue'\n"));
        assert!(no_service[0].1.contains("[zookeeper]"), "{no_service:?}");
    }

    #[test]
    fn admission_is_parsed_and_a_tenants_settings_override_it() {
        let head = "[[listen]]\nname = 'a'\naddress = '127.0.0.1:0'\n[store]\npath = 'c'\n[admission]\n";
        let valid = format!("{head}keys = ['header:X-Club', 'subject', 'address']\nlongest_wait_ms = 200\n");
        let config = HostedConfig::parse(&valid, Path::new("/etc")).unwrap().admission.unwrap();
        assert_eq!((config.settings.max_wait, config.settings.max_waiting), (200_000, 1_024));
        let spec = AdmissionSpec {
            keys: Some(vec!["query".into()]),
            waiting: Some(7),
            longest_hint_ms: Some(5),
            ..AdmissionSpec::default()
        };
        let resolved = config.for_tenant(&spec).unwrap();
        assert_eq!(resolved.keys, ClientKeySources::parse(["query"]).unwrap());
        assert_eq!(
            (resolved.settings.max_waiting, resolved.settings.max_wait, resolved.settings.max_retry_after),
            (7, 200_000, 5_000)
        );
        assert_eq!(config.for_tenant(&AdmissionSpec::default()), Some(config.clone()));
        assert_eq!(config.for_tenant(&AdmissionSpec { off: true, ..spec }), None);
        let invalid = format!("{head}keys = ['x-club']\nwaiting = 0\nlongest_wait_ms = 120001\nkey = 'x'\n");
        let lines: Vec<usize> = errors(&invalid).iter().map(|error| error.0).collect();
        assert_eq!(lines, [7, 8, 9, 10], "{:?}", errors(&invalid));
        assert!(errors(head)[0].1.contains("admission.keys is missing"), "{:?}", errors(head));
        let plain = "[[listen]]\nname = 'a'\naddress = '127.0.0.1:0'\nclient_authorities = 'ca.pem'\n[store]\npath = 'c'\n";
        assert!(errors(plain)[0].1.contains("over TLS alone"), "{:?}", errors(plain));
    }

    #[test]
    fn public_admin_address_requires_public_true() {
        let text = "[[listen]]\nname = 'a'\naddress = '127.0.0.1:0'\n[store]\npath = 'c'\n[admin]\n\
            listen = '0.0.0.0:99'\ntoken_file = 't'\n";
        assert!(errors(text)[0].1.contains("public = true"));
        assert!(HostedConfig::parse(&format!("{text}public = true\n"), Path::new("/")).is_ok());
    }
}
