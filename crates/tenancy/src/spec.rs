//! The documents in which an administrator describes a tenant and its servers, with the bounds of each field.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use utoipa::ToSchema;
use woodgap_membership::{parse_trust, Transport};

/// Maximum characters of a tenant's name or of a header's name.
pub const MAX_NAME_LEN: usize = 63;
/// Maximum characters of a server's id, a zone, an authority, a class's name or another match.
pub const MAX_ID_LEN: usize = 128;
/// Maximum number of classes of a tenant.
pub const MAX_CLASSES: usize = 32;
/// Maximum number of listeners, of authorities and of `X-Org` values that identify one tenant, each.
pub const MAX_MATCHES: usize = 64;
/// Maximum weight of a tenant's share.
pub const MAX_WEIGHT: u32 = 1_000;
/// Maximum deadline of a class, in milliseconds, and so the longest time for which a deleted tenant holds
/// requests.
pub const MAX_DEADLINE_MS: u64 = 120_000;

/// A fault of a document, with its field (a JSON pointer without the first slash).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, ToSchema)]
pub struct FieldFault {
    /// The field, as a path: `classes/renew/deadline_ms`.
    pub field: String,
    /// What is wrong, or what would be valid.
    pub problem: String,
}

impl FieldFault {
    /// A fault in a field.
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        FieldFault { field: field.into(), problem: problem.into() }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// `GET`; safe to repeat any number of times.
    Safe,
    /// `POST` with `Idempotency-Key`; servers drop repeats within the scope and window.
    Keyed,
    /// `POST`; must never run twice.
    Unsafe,
}

/// Which servers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Every server of the tenant.
    All,
    /// The servers of the zone to which the request was first sent.
    Zone,
    /// The servers of the cell to which the request was first sent.
    #[default]
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// A client's total wait, in milliseconds; 1 to 120,000.
    pub deadline_ms: u64,
    /// A response within this time earns the full worth, in milliseconds; the deadline if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub aim_ms: Option<u64>,
    /// Worth of a request in relation to other classes; above 0, at most 1,000.
    #[serde(default = "one")]
    pub worth: f64,
    /// Fraction of the worth that a late response still earns; 0 to 1.
    #[serde(default)]
    pub late_share: f64,
    /// For `keyed`: which servers drop a repeat.
    #[serde(default)]
    pub scope: Scope,
    /// For `keyed`: how long servers drop repeats, in milliseconds from the first send.
    #[serde(default)]
    pub window_ms: u64,
    /// Requests of such classes that share a key run one at a time.
    #[serde(default)]
    pub in_order: bool,
}

/// How a request identifies the tenant. The listener takes precedence, then the authority, then `X-Org`; a
/// request whose listener or authority and whose `X-Org` identify two tenants is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Matches {
    /// Names of `[[listen]]` entries that serve this tenant alone.
    #[serde(default)]
    pub listeners: Vec<String>,
    /// Values of `Host`, in lower case, without a port.
    #[serde(default)]
    pub authorities: Vec<String>,
    /// Values of `X-Org`.
    #[serde(default)]
    pub orgs: Vec<String>,
}

/// The tenant's share of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct ShareSpec {
    /// Weight of its share of sockets, held requests, body bytes and core time, in relation to other active
    /// tenants; 1 to 1,000.
    #[serde(default = "one_weight")]
    pub weight: u32,
    /// Maximum requests held at a time on one node, even if the node is idle; 0 for no such limit.
    #[serde(default)]
    pub max_held: u32,
}

impl Default for ShareSpec {
    fn default() -> Self {
        ShareSpec { weight: 1, max_held: 0 }
    }
}

/// Settings of a tenant's connection pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PoolSpec {
    /// Maximum attempts for a request; 1 to 16.
    pub max_attempts: u32,
    /// Servers do less work for keys that they have served recently.
    pub warm_keys: bool,
    /// A second copy of a safe request may be sent while the first one is in flight.
    pub second_copies: bool,
    /// Servers respond to `GET /-/healthy`.
    pub may_probe: bool,
    /// Capacity of a server at its start, as a fraction of its full capacity; above 0, at most 1.
    pub start_capacity: f64,
    /// Time after which a started server has its full capacity, in milliseconds.
    pub ramp_ms: u64,
    /// A server that is still warming up overloads above this multiple of its present capacity; 1 to 100.
    pub fall_multiple: f64,
    /// Time after which a connection attempt to an unreachable server fails, in milliseconds; 1 to 10,000.
    pub dial_timeout_ms: u64,
    /// Time after which servers close an idle connection, in milliseconds; 100 at least.
    pub keepalive_ms: u64,
    /// Fields of `X-Pressure`, if responses carry load reports.
    pub report: Vec<String>,
}

impl Default for PoolSpec {
    fn default() -> Self {
        PoolSpec {
            max_attempts: 3,
            warm_keys: true,
            second_copies: false,
            may_probe: false,
            start_capacity: 0.3,
            ramp_ms: 9_000,
            fall_multiple: 2.5,
            dial_timeout_ms: 250,
            keepalive_ms: 15_000,
            report: Vec::new(),
        }
    }
}

/// Sources of a tenant's servers, besides the servers that are documents of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct MembershipSpec {
    /// The path, beneath the node's `zookeeper.pools`, under which its servers register as ephemeral nodes:
    /// `NAME` or `NAME/NAME`. A registration takes precedence over a document with the same id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ephemeral: Option<String>,
}

/// Maximum number of sources of a client's key.
pub const MAX_KEY_SOURCES: usize = 8;
/// Maximum number of requests that may wait in a pool's admission queue.
pub const MAX_WAITING: u32 = 1 << 20;
/// Maximum wait in a pool's admission queue, in milliseconds.
pub const MAX_WAIT_MS: u64 = 120_000;
/// Maximum `Retry-After` that the admission queue gives, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 3_600_000;

/// A source of the key by which a pool's capacity is divided among clients. The first source of a list that a
/// request has is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// The value of a header, named in lower case: `header:x-club`.
    Header(String),
    /// The subject of the client's certificate, if the listener requests one: `subject`.
    Subject,
    /// The client's address, of IPv6 the first 64 bits: `address`.
    Address,
    /// The key in the request's query: `query`.
    Query,
}

impl KeySource {
    /// The valid sources, for messages.
    pub const EXPECTED: &'static str = "\"header:NAME\", \"subject\", \"address\" or \"query\"";

    /// Parses a source; `None` if it is not valid.
    pub fn parse(text: &str) -> Option<KeySource> {
        let is_valid_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
        match text {
            "subject" => Some(KeySource::Subject),
            "address" => Some(KeySource::Address),
            "query" => Some(KeySource::Query),
            _ => {
                let name = text.strip_prefix("header:")?.to_ascii_lowercase();
                let is_valid = (1..=MAX_NAME_LEN).contains(&name.len()) && name.chars().all(is_valid_char);
                is_valid.then_some(KeySource::Header(name))
            }
        }
    }
}

/// How a tenant's requests wait in its pool's admission queue, if the node has `[admission]`; an absent field
/// has the node's value. A change applies at once, also to waiting requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct AdmissionSpec {
    /// Disables the queue for this tenant: all requests go to its pool at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub off: bool,
    /// Sources of a client's key, of which the first that a request has is used: `header:NAME`, `subject`,
    /// `address`, `query`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<Vec<String>>,
    /// Maximum requests that wait at a time; 1 to 1,048,576.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting: Option<u32>,
    /// Maximum wait of a request, in milliseconds; 1 to 120,000.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub longest_wait_ms: Option<u64>,
    /// Maximum `Retry-After`, in milliseconds; 1 to 3,600,000.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub longest_hint_ms: Option<u64>,
}

impl AdmissionSpec {
    fn faults(&self, fault: &mut dyn FnMut(String, &str)) {
        if let Some(keys) = &self.keys {
            if keys.is_empty() || keys.len() > MAX_KEY_SOURCES {
                fault("admission/keys".into(), "give 1 to 8 sources");
            }
            for (i, key) in keys.iter().enumerate() {
                if KeySource::parse(key).is_none() {
                    fault(format!("admission/keys/{i}"), &format!("give {}", KeySource::EXPECTED));
                }
            }
        }
        if self.waiting.is_some_and(|n| !(1..=MAX_WAITING).contains(&n)) {
            fault("admission/waiting".into(), "give 1 to 1048576 requests");
        }
        if self.longest_wait_ms.is_some_and(|ms| !(1..=MAX_WAIT_MS).contains(&ms)) {
            fault("admission/longest_wait_ms".into(), "give 1 to 120000 milliseconds");
        }
        if self.longest_hint_ms.is_some_and(|ms| !(1..=MAX_RETRY_AFTER_MS).contains(&ms)) {
            fault("admission/longest_hint_ms".into(), "give 1 to 3600000 milliseconds");
        }
    }
}

/// A tenant's document, as an administrator writes it. Its servers are documents of their own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// How a request identifies the tenant; if empty, by `X-Org` with the tenant's name.
    #[serde(default, rename = "match")]
    pub matches: Matches,
    /// Classes of the tenant's requests, by the name in `X-Lane`; 1 to 32.
    pub classes: BTreeMap<String, ClassSpec>,
    /// Requests a second over all nodes; requests above it are refused with `Retry-After`. 0 for no quota.
    #[serde(default)]
    pub quota_per_s: f64,
    /// The tenant's share of a node.
    #[serde(default)]
    pub share: ShareSpec,
    /// Settings of the tenant's connection pool.
    #[serde(default)]
    pub pool: PoolSpec,
    /// Sources of the tenant's servers, besides their documents.
    #[serde(default, skip_serializing_if = "is_default")]
    pub membership: MembershipSpec,
    /// How the tenant's requests wait in its pool's admission queue.
    #[serde(default, skip_serializing_if = "is_default")]
    pub admission: AdmissionSpec,
}

fn is_default<T: Default + PartialEq>(part: &T) -> bool {
    *part == T::default()
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename_all = "snake_case")]
#[schema(as = Phase)]
pub enum BackendPhase {
    /// It accepts new requests.
    #[default]
    InService,
    /// It finishes the requests that it has; no new ones reach it from 500 ms after the node was notified.
    Terminating,
}

/// The protocol of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/3.
    Http3,
}

fn is_http1(protocol: &Protocol) -> bool {
    *protocol == Protocol::Http1
}

/// A server's document, as an administrator writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Address on which the server listens: `ADDRESS:PORT`.
    #[schema(value_type = String, example = "10.1.0.18:5000")]
    pub address: SocketAddr,
    /// Protocol of the server.
    #[serde(default, skip_serializing_if = "is_http1")]
    pub protocol: Protocol,
    /// With `http3`: SHA-256 of the server's certificate in DER, as 64 hexadecimal digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pin: Option<String>,
    /// With `http3`, instead of a pin: the DNS name or address in the server's certificate, which is issued
    /// by one of the authorities that the nodes trust (`[upstream] authorities`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server_name: Option<String>,
    /// Zone of the server.
    #[serde(default)]
    pub zone: String,
    /// Cell of the server: a group of servers that share what they know of the keys they served.
    #[serde(default)]
    pub cell: u64,
    /// Weight of the server in relation to other servers of the tenant; above 0, at most 1,000.
    #[serde(default = "one")]
    pub size: f64,
    /// Whether the server accepts new requests.
    #[serde(default)]
    pub phase: BackendPhase,
    /// Time at which the server's process started, in Unix milliseconds; 0 means long ago, so that it counts
    /// as warmed up. If absent, the time at which the server was added or moved to this address, so that it
    /// counts as cold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

fn one() -> f64 {
    1.0
}

fn one_weight() -> u32 {
    1
}

/// Whether a name is valid in URLs and headers alike: `[a-z0-9]` and inner `-`.
pub fn is_name(text: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=MAX_NAME_LEN).contains(&text.len())
        && text.chars().all(is_valid_char)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

/// Whether a server's id is valid: letters, digits, `.`, `_`, `-`.
pub fn is_id(text: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    (1..=MAX_ID_LEN).contains(&text.len()) && text.chars().all(is_valid_char) && text != "." && text != ".."
}

/// Whether a text is a path beneath another one that cannot lead out of it.
fn is_beneath(text: &str) -> bool {
    text.len() <= 2 * MAX_ID_LEN && text.split('/').all(is_id)
}

/// Whether a text is an authority without a port, in the form in which requests are looked up.
fn is_authority(text: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.[]:".contains(c);
    (1..=MAX_ID_LEN).contains(&text.len())
        && text.chars().all(is_valid_char)
        && crate::route::host_of(text) == text
}

/// Whether a text is visible ASCII, which is always valid in a header's value.
fn is_plain(text: &str) -> bool {
    (1..=MAX_ID_LEN).contains(&text.len()) && text.bytes().all(|b| (0x21..0x7f).contains(&b))
}

impl TenantSpec {
    /// All faults of the document; empty if it is valid.
    pub fn faults(&self) -> Vec<FieldFault> {
        let mut faults = Vec::new();
        let mut fault = |field: String, problem: &str| faults.push(FieldFault::new(field, problem));
        if self.classes.is_empty() || self.classes.len() > MAX_CLASSES {
            fault("classes".into(), "give 1 to 32 classes");
        }
        for (name, class) in &self.classes {
            let path = |field: &str| format!("classes/{name}/{field}");
            if !is_plain(name) {
                fault(format!("classes/{name}"), "a class's name is 1 to 128 visible ASCII characters");
            }
            if !(1..=MAX_DEADLINE_MS).contains(&class.deadline_ms) {
                fault(path("deadline_ms"), "give 1 to 120000 milliseconds");
            }
            if class.aim_ms.is_some_and(|aim| aim == 0 || aim > class.deadline_ms) {
                fault(path("aim_ms"), "give 1 millisecond up to the deadline");
            }
            if !(class.worth > 0.0 && class.worth <= 1_000.0) {
                fault(path("worth"), "give a number above 0, at most 1000");
            }
            if !(0.0..=1.0).contains(&class.late_share) {
                fault(path("late_share"), "give a number from 0 to 1");
            }
            if class.repeat == Repeat::Keyed && class.window_ms == 0 {
                fault(path("window_ms"), "a keyed class needs the time for which servers drop repeats");
            }
            if class.repeat != Repeat::Keyed && class.window_ms != 0 {
                fault(path("window_ms"), "only a keyed class has a window; leave it out");
            }
        }
        let matches = &self.matches;
        type Kind<'a> = (&'a str, &'a Vec<String>, fn(&str) -> bool, &'a str);
        let kinds: [Kind<'_>; 3] = [
            ("listeners", &matches.listeners, is_plain, "give the name of a [[listen]] entry"),
            ("authorities", &matches.authorities, is_authority, "give a host in lower case without a port"),
            ("orgs", &matches.orgs, is_plain, "give 1 to 128 visible ASCII characters"),
        ];
        for (kind, values, is_valid, expected) in kinds {
            if values.len() > MAX_MATCHES {
                fault(format!("match/{kind}"), "give 64 at most");
            }
            let mut seen = BTreeSet::new();
            for (i, value) in values.iter().enumerate() {
                if !is_valid(value) {
                    fault(format!("match/{kind}/{i}"), expected);
                } else if !seen.insert(value) {
                    fault(format!("match/{kind}/{i}"), "it is listed twice; remove one");
                }
            }
        }
        if !(self.quota_per_s >= 0.0 && self.quota_per_s <= 1e9) {
            fault("quota_per_s".into(), "give requests a second, or 0 for no quota");
        }
        if !(1..=MAX_WEIGHT).contains(&self.share.weight) {
            fault("share/weight".into(), "give 1 to 1000");
        }
        let pool = &self.pool;
        if !(1..=16).contains(&pool.max_attempts) {
            fault("pool/max_attempts".into(), "give 1 to 16");
        }
        if !(pool.start_capacity > 0.0 && pool.start_capacity <= 1.0) {
            fault("pool/start_capacity".into(), "give a number above 0, at most 1");
        }
        if pool.ramp_ms > 3_600_000 {
            fault("pool/ramp_ms".into(), "give an hour (3600000) at most");
        }
        if !(1.0..=100.0).contains(&pool.fall_multiple) {
            fault("pool/fall_multiple".into(), "give a number from 1 to 100");
        }
        if !(1..=10_000).contains(&pool.dial_timeout_ms) {
            fault("pool/dial_timeout_ms".into(), "give 1 to 10000 milliseconds");
        }
        if !(100..=3_600_000).contains(&pool.keepalive_ms) {
            fault("pool/keepalive_ms".into(), "give 100 to 3600000 milliseconds");
        }
        if pool.report.len() > 8 || !pool.report.iter().all(|field| is_plain(field)) {
            fault("pool/report".into(), "give 8 names of visible ASCII at most");
        }
        if self.membership.ephemeral.as_ref().is_some_and(|path| !is_beneath(path)) {
            let expected = "give NAME or NAME/NAME: names of letters, digits, '.', '_' and '-', 256 in all";
            fault("membership/ephemeral".into(), expected);
        }
        self.admission.faults(&mut fault);
        faults
    }

    /// The values of `X-Org` that identify this tenant, whose name is `name`.
    pub fn orgs<'a>(&'a self, name: &'a str) -> Vec<&'a str> {
        let matches = &self.matches;
        if matches.listeners.is_empty() && matches.authorities.is_empty() && matches.orgs.is_empty() {
            return vec![name];
        }
        matches.orgs.iter().map(String::as_str).collect()
    }

    /// The longest deadline of its classes, in milliseconds: after this time, every request that it holds has
    /// ended.
    pub fn max_deadline_ms(&self) -> u64 {
        self.classes.values().map(|class| class.deadline_ms).max().unwrap_or(0)
    }
}

impl BackendSpec {
    /// Protocol and trust by which the server is reached.
    pub fn transport(&self) -> Transport {
        match (self.protocol, parse_trust(self.pin.as_deref(), self.server_name.as_deref())) {
            (Protocol::Http3, Ok(Some(trust))) => Transport::Http3 { trust },
            _ => Transport::Http1,
        }
    }

    /// All faults of the document; empty if it is valid.
    pub fn faults(&self) -> Vec<FieldFault> {
        let mut faults = Vec::new();
        if self.address.port() == 0 || self.address.ip().is_unspecified() || self.address.ip().is_multicast()
        {
            faults.push(FieldFault::new("address", "give the address and port that the server listens on"));
        }
        if self.zone.len() > MAX_ID_LEN || self.zone.chars().any(char::is_control) {
            faults.push(FieldFault::new("zone", "give 128 characters at most, no control characters"));
        }
        if !(self.size > 0.0 && self.size <= 1_000.0) {
            faults.push(FieldFault::new("size", "give a number above 0, at most 1000"));
        }
        match (self.protocol, parse_trust(self.pin.as_deref(), self.server_name.as_deref())) {
            (_, Err((field, expected))) => faults.push(FieldFault::new(field, expected)),
            (Protocol::Http3, Ok(None)) => {
                let expected =
                    "with http3, give the SHA-256 of its certificate (64 hexadecimal digits), or server_name";
                faults.push(FieldFault::new("pin", expected));
            }
            (Protocol::Http1, Ok(Some(_))) => {
                let field = if self.pin.is_some() { "pin" } else { "server_name" };
                faults.push(FieldFault::new(field, "only a server with http3 has one; leave it out"));
            }
            _ => {}
        }
        if self.started_ms.is_some_and(|ms| ms > 1 << 50) {
            faults.push(FieldFault::new("started_ms", "give Unix time in milliseconds, or 0 for long ago"));
        }
        faults
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use woodgap_membership::Trust;

    fn spec(text: &str) -> TenantSpec {
        serde_json::from_str(text).unwrap()
    }

    #[test]
    fn omitted_fields_have_valid_defaults() {
        let spec = spec(r#"{"classes": {"lookup": {"repeat": "safe", "deadline_ms": 2000}}}"#);
        assert_eq!(spec.faults(), []);
        assert_eq!((spec.share.weight, spec.pool.max_attempts, spec.orgs("acme")), (1, 3, vec!["acme"]));
    }

    #[test]
    fn every_fault_is_reported_with_its_field() {
        let spec = spec(
            r#"{"match": {"authorities": ["A.example", "b.example:80", "c.example", "c.example"]},
            "classes": {"renew": {"repeat": "keyed", "deadline_ms": 0, "worth": -1, "aim_ms": 7},
                "join": {"repeat": "unsafe", "deadline_ms": 9, "window_ms": 3, "late_share": 2}},
            "quota_per_s": -1, "share": {"weight": 0},
            "pool": {"max_attempts": 99, "start_capacity": 0, "fall_multiple": 0.5, "dial_timeout_ms": 0,
                "keepalive_ms": 1, "ramp_ms": 99999999, "report": [""]},
            "membership": {"ephemeral": "../other"},
            "admission": {"keys": ["header:x-club", "header:", "club"], "waiting": 0, "longest_wait_ms": 0,
                "longest_hint_ms": 3600001}}"#,
        );
        let fields: Vec<String> = spec.faults().into_iter().map(|fault| fault.field).collect();
        assert_eq!(
            fields,
            [
                "classes/join/late_share",
                "classes/join/window_ms",
                "classes/renew/deadline_ms",
                "classes/renew/aim_ms",
                "classes/renew/worth",
                "classes/renew/window_ms",
                "match/authorities/0",
                "match/authorities/1",
                "match/authorities/3",
                "quota_per_s",
                "share/weight",
                "pool/max_attempts",
                "pool/start_capacity",
                "pool/ramp_ms",
                "pool/fall_multiple",
                "pool/dial_timeout_ms",
                "pool/keepalive_ms",
                "pool/report",
                "membership/ephemeral",
                "admission/keys/1",
                "admission/keys/2",
                "admission/waiting",
                "admission/longest_wait_ms",
                "admission/longest_hint_ms",
            ]
        );
    }

    #[test]
    fn unknown_field_is_rejected() {
        let text = r#"{"classes": {}, "quota": 3}"#;
        assert!(serde_json::from_str::<TenantSpec>(text).unwrap_err().to_string().contains("`quota`"));
    }

    #[test]
    fn server_document_needs_a_reachable_address_and_consistent_trust() {
        let server = |address: &str| BackendSpec {
            address: address.parse().unwrap(),
            protocol: Protocol::Http1,
            pin: None,
            server_name: None,
            zone: String::new(),
            cell: 0,
            size: 1.0,
            phase: BackendPhase::InService,
            started_ms: None,
        };
        assert_eq!(server("127.0.0.1:80").faults(), []);
        for invalid in ["127.0.0.1:0", "0.0.0.0:80", "[::]:80", "224.0.0.1:80"] {
            assert_eq!(server(invalid).faults()[0].field, "address", "{invalid}");
        }
        let invalid = BackendSpec { protocol: Protocol::Http3, ..server("127.0.0.1:80") };
        assert_eq!(invalid.faults()[0].field, "pin");
        let valid = BackendSpec { pin: Some("0f".repeat(32)), ..invalid };
        let trust = Trust::Pin([15; 32]);
        assert_eq!((valid.faults(), valid.transport()), (vec![], Transport::Http3 { trust }));
        let both = BackendSpec { server_name: Some("box.example".into()), ..valid };
        assert_eq!(both.faults()[0].field, "server_name");
        let named = BackendSpec { pin: None, ..both };
        let trust = Trust::Name("box.example".into());
        assert_eq!((named.faults(), named.transport()), (vec![], Transport::Http3 { trust }));
        for invalid in ["", "box example", "box/x"] {
            let invalid = BackendSpec { server_name: Some(invalid.into()), ..named.clone() };
            assert_eq!(invalid.faults()[0].field, "server_name");
        }
        let plain = BackendSpec { protocol: Protocol::Http1, ..named };
        assert_eq!(plain.faults()[0].field, "server_name");
        let nan = BackendSpec { size: f64::NAN, ..server("127.0.0.1:80") };
        assert_eq!(nan.faults()[0].field, "size");
    }

    #[test]
    fn names_are_valid_in_paths_and_headers() {
        for valid in ["a", "rygbi-de", "x1"] {
            assert!(is_name(valid), "{valid}");
        }
        for invalid in ["", "-a", "a-", "A", "a b", "a/b", "é", &"a".repeat(64)] {
            assert!(!is_name(invalid), "{invalid}");
        }
        assert!(is_id("s-1.b_C") && !is_id("..") && !is_id("a/b") && !is_id(""));
    }
}
