//! Parses the balancer's settings and the names on its interfaces, alike for every host.
//!
//! Settings are pairs of a dotted path and a value, with times in microseconds. The simulator's `SPAWN` line
//! holds them in this form; other hosts flatten their configuration into it.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use crate::api::*;

/// An invalid setting or input line.
#[derive(Debug)]
pub struct SettingsError(String);

impl SettingsError {
    /// Creates an error with this message.
    pub fn new(text: String) -> Self {
        SettingsError(text)
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl From<std::io::Error> for SettingsError {
    fn from(error: std::io::Error) -> Self {
        SettingsError(error.to_string())
    }
}

/// Parses the number in the field `name`.
pub fn parse_number<T: FromStr>(text: &str, name: &str) -> Result<T, SettingsError> {
    text.parse().map_err(|_| SettingsError(format!("field '{name}': '{text}' is not a number in range")))
}

/// Parses the finite number in the field `name`.
pub fn parse_finite(text: &str, name: &str) -> Result<f64, SettingsError> {
    let value: f64 = parse_number(text, name)?;
    if !value.is_finite() {
        return Err(SettingsError(format!("field '{name}': '{text}' is not finite")));
    }
    Ok(value)
}

/// Id of the kind with this name; an empty name is the default kind.
pub fn kind_id(name: &str) -> KindId {
    KindId(if name.is_empty() { 0 } else { xxhash_rust::xxh3::xxh3_64(name.as_bytes()) })
}

/// Id of the zone with this name.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

/// Parses the state of a server in discovery's spelling.
pub fn parse_server_state(name: &str) -> Option<ServerState> {
    match name {
        "in_service" => Some(ServerState::InService),
        "terminating" => Some(ServerState::Terminating),
        "terminated" => Some(ServerState::Terminated),
        _ => None,
    }
}

/// Names under which requests refer to the classes and tenants of the settings.
pub struct ClassTenantNames {
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl ClassTenantNames {
    /// Creates the names, in the order of the classes and tenants in the settings.
    pub fn new(classes: Vec<String>, tenants: Vec<String>) -> Self {
        ClassTenantNames { classes, tenants }
    }

    /// Index of the class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|n| n == name)
    }

    /// Index of the tenant with this name.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|n| n == name)
    }
}

/// Settings as text by path. Reading an absent setting returns the given default.
#[derive(Default)]
pub struct SettingPairs(HashMap<String, String>);

impl SettingPairs {
    /// Parses pairs of the form `path=value`, separated by spaces.
    pub fn from_line(text: &str) -> Result<Self, SettingsError> {
        let mut pairs = SettingPairs::default();
        for pair in text.split(' ').filter(|pair| !pair.is_empty()) {
            let (path, value) = pair
                .split_once('=')
                .ok_or_else(|| SettingsError::new(format!("'{pair}' is not of the form path=value")))?;
            pairs.set(path.to_owned(), value.to_owned());
        }
        Ok(pairs)
    }

    /// Sets the value of a path.
    pub fn set(&mut self, path: String, value: String) {
        self.0.insert(path, value);
    }

    /// Text at a path; an empty text and `-` count as absent.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str).filter(|text| !text.is_empty() && *text != "-")
    }

    /// Integer at a path.
    pub fn integer(&self, path: &str, default: u64) -> Result<u64, SettingsError> {
        self.text(path).map_or(Ok(default), |text| parse_number(text, path))
    }

    fn float(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        self.text(path).map_or(Ok(default), |text| parse_finite(text, path))
    }

    fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }
}

/// Parses the balancer's settings. Unknown paths are ignored.
pub fn parse_settings(pairs: &SettingPairs) -> Result<(BalancerSettings, ClassTenantNames), SettingsError> {
    let (classes, class_names) = parse_list(pairs, "classes", parse_class)?;
    let (tenants, tenant_names) = parse_list(pairs, "tenants", parse_tenant_quota)?;
    let settings = BalancerSettings {
        node_count: pairs.integer("group-size", 1)?.clamp(1, 1 << 20) as u32,
        classes,
        tenants,
        over_quota_worth: pairs.float("over-share-worth", 1.0)?,
        worth_basis: match pairs.text("worth-by") {
            Some("work") => WorthBasis::Work,
            _ => WorthBasis::Request,
        },
        weight_source: match pairs.text("weight-source") {
            Some("nominal") => WeightSource::Nominal,
            Some("rough") => WeightSource::Rough,
            Some("live") => WeightSource::Live,
            _ => WeightSource::Off,
        },
        discovery: match pairs.text("registry-mode") {
            Some("ask") => DiscoveryMode::Subscribe,
            _ => DiscoveryMode::Push,
        },
        key_affinity: pairs.flag("domain.warm-keys"),
        can_cancel: pairs.flag("bounds.cancelling"),
        can_probe: pairs.flag("bounds.may-probe"),
        allows_hedging: pairs.flag("bounds.second-copies"),
        max_attempts: pairs.integer("bounds.max-attempts", 1)?.min(u64::from(u32::MAX)) as u32,
        advises_retry_after: pairs.flag("bounds.retry-after"),
        max_retry_after: pairs.integer("bounds.max-retry-after", 0)?,
        zone: pairs.text("locality").map(zone_id),
        cross_zone_price: pairs.float("deductions.cross-zone", 0.0)?,
        handshake_price: pairs.float("deductions.handshake", 0.0)?,
        connection_price: pairs.float("deductions.connection", 0.0)?,
        initial_capacity: pairs.float("rules.start-capacity", 1.0)?,
        slow_start_window: pairs.integer("rules.ramp-time", 0)?,
        overload_multiple: pairs.float("rules.fall-multiple", 1.0)?,
        overload_window: pairs.integer("rules.overload-for", 1_000_000)?,
        max_unsubscribed_time: pairs.integer("rules.ask-within", 10_000_000)?,
        key_settle_time: pairs.integer("rules.settle-after-doubt", 0)?,
        connect_timeout: pairs.integer("bounds.dial-timeout", 250_000)?,
        full_may_have_run: pairs.flag("rules.may-shed-begun"),
        utilization_field: pairs
            .text("report.fields")
            .and_then(|fields| fields.split(',').position(|f| f == "util")),
    };
    Ok((settings, ClassTenantNames { classes: class_names, tenants: tenant_names }))
}

/// Parses the items `path.0`, `path.1` and so on, with their names.
fn parse_list<T>(
    pairs: &SettingPairs,
    path: &str,
    parse_item: fn(&SettingPairs, &str) -> Result<T, SettingsError>,
) -> Result<(Vec<T>, Vec<String>), SettingsError> {
    let count = pairs.integer(&format!("{path}.count"), 0)?;
    if count > 10_000 {
        return Err(SettingsError::new(format!("{path}.count={count} exceeds 10000")));
    }
    let (mut items, mut names) = (Vec::new(), Vec::new());
    for i in 0..count {
        let prefix = format!("{path}.{i}");
        items.push(parse_item(pairs, &prefix)?);
        names.push(pairs.text(&format!("{prefix}.name")).unwrap_or("").to_owned());
    }
    Ok((items, names))
}

fn parse_class(pairs: &SettingPairs, path: &str) -> Result<RequestClass, SettingsError> {
    let deadline = pairs.integer(&format!("{path}.deadline"), 1_000_000)?;
    let semantics = match pairs.text(&format!("{path}.semantics")) {
        Some("safe") => Semantics::Safe,
        Some("keyed") => Semantics::Keyed {
            scope: match pairs.text(&format!("{path}.key-scope")) {
                Some("all") => KeyScope::All,
                Some("zone") => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            ttl: pairs.integer(&format!("{path}.key-ttl"), 0)?,
        },
        // A class that is not declared repeatable is never repeated.
        _ => Semantics::Unsafe,
    };
    Ok(RequestClass {
        target_latency: pairs.integer(&format!("{path}.aim"), deadline)?,
        deadline,
        worth: pairs.float(&format!("{path}.points"), 1.0)?,
        late_worth_share: pairs.float(&format!("{path}.late-share"), 0.0)?,
        semantics,
        in_order: pairs.flag(&format!("{path}.serial-by-key")),
    })
}

fn parse_tenant_quota(pairs: &SettingPairs, path: &str) -> Result<TenantQuota, SettingsError> {
    Ok(TenantQuota { quota_per_s: pairs.float(&format!("{path}.quota-per-s"), 0.0)? })
}
