//! The settings and the names of the outside world, read alike by every host of the module.
//!
//! Settings are pairs of a dotted path and a value, with times in microseconds: as the
//! simulator's `SPAWN` line holds them, or as a host flattens them from another form.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use crate::api::*;

/// What is wrong with an input.
#[derive(Debug)]
pub struct Fault(String);

impl Fault {
    /// A fault of this text.
    pub fn new(text: String) -> Self {
        Fault(text)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

impl From<std::io::Error> for Fault {
    fn from(error: std::io::Error) -> Self {
        Fault(error.to_string())
    }
}

/// The number in a field of this name.
pub fn number<T: FromStr>(text: &str, name: &str) -> Result<T, Fault> {
    text.parse().map_err(|_| Fault(format!("field '{name}': '{text}' is not a number in range")))
}

/// The finite number in a field of this name.
pub fn finite(text: &str, name: &str) -> Result<f64, Fault> {
    let value: f64 = number(text, name)?;
    if !value.is_finite() {
        return Err(Fault(format!("field '{name}': '{text}' is not finite")));
    }
    Ok(value)
}

/// The kind of this name; no name is the default kind.
pub fn kind_of(name: &str) -> KindId {
    KindId(if name.is_empty() { 0 } else { xxhash_rust::xxh3::xxh3_64(name.as_bytes()) })
}

/// The zone of this name.
pub fn zone_of(name: &str) -> ZoneId {
    ZoneId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

/// The state that discovery's word means.
pub fn server_state(word: &str) -> Option<ServerState> {
    match word {
        "in_service" => Some(ServerState::InService),
        "terminating" => Some(ServerState::Terminating),
        "terminated" => Some(ServerState::Terminated),
        _ => None,
    }
}

/// The names that requests use for the classes and tenants of the settings.
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl Names {
    /// The names of classes and tenants, in the order of the settings.
    pub fn new(classes: Vec<String>, tenants: Vec<String>) -> Self {
        Names { classes, tenants }
    }

    /// The place of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|n| n == name)
    }

    /// The place of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|n| n == name)
    }
}

/// The pairs by path; what is absent keeps the default given with the question.
#[derive(Default)]
pub struct Pairs(HashMap<String, String>);

impl Pairs {
    /// The pairs of a line, set apart by spaces.
    pub fn from_line(text: &str) -> Result<Self, Fault> {
        let mut pairs = Pairs::default();
        for pair in text.split(' ').filter(|pair| !pair.is_empty()) {
            let (path, value) =
                pair.split_once('=').ok_or_else(|| Fault::new(format!("'{pair}' is no pair")))?;
            pairs.set(path.to_owned(), value.to_owned());
        }
        Ok(pairs)
    }

    /// Sets the value of a path.
    pub fn set(&mut self, path: String, value: String) {
        self.0.insert(path, value);
    }

    /// The text at a path; an empty one is absent.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str).filter(|text| !text.is_empty() && *text != "-")
    }

    /// The whole number at a path.
    pub fn whole(&self, path: &str, default: u64) -> Result<u64, Fault> {
        self.text(path).map_or(Ok(default), |text| number(text, path))
    }

    fn real(&self, path: &str, default: f64) -> Result<f64, Fault> {
        self.text(path).map_or(Ok(default), |text| finite(text, path))
    }

    fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }
}

/// Reads the pairs; unknown ones are ignored.
pub fn parse(p: &Pairs) -> Result<(Settings, Names), Fault> {
    let (classes, class_names) = list(p, "classes", class)?;
    let (tenants, tenant_names) = list(p, "tenants", tenant)?;
    let settings = Settings {
        group_size: p.whole("group-size", 1)?.clamp(1, 1 << 20) as u32,
        classes,
        tenants,
        over_share_worth: p.real("over-share-worth", 1.0)?,
        worth_by: match p.text("worth-by") {
            Some("work") => WorthBy::Work,
            _ => WorthBy::Request,
        },
        weight_source: match p.text("weight-source") {
            Some("nominal") => WeightSource::Nominal,
            Some("rough") => WeightSource::Rough,
            Some("live") => WeightSource::Live,
            _ => WeightSource::Off,
        },
        discovery: match p.text("registry-mode") {
            Some("ask") => Discovery::Ask,
            _ => Discovery::Push,
        },
        warm_keys: p.flag("domain.warm-keys"),
        cancelling: p.flag("bounds.cancelling"),
        may_probe: p.flag("bounds.may-probe"),
        second_copies: p.flag("bounds.second-copies"),
        max_attempts: p.whole("bounds.max-attempts", 1)?.min(u64::from(u32::MAX)) as u32,
        retry_after: p.flag("bounds.retry-after"),
        max_retry_after: p.whole("bounds.max-retry-after", 0)?,
        zone: p.text("locality").map(zone_of),
        far_price: p.real("deductions.cross-zone", 0.0)?,
        handshake_price: p.real("deductions.handshake", 0.0)?,
        connection_price: p.real("deductions.connection", 0.0)?,
        start_capacity: p.real("rules.start-capacity", 1.0)?,
        ramp_time: p.whole("rules.ramp-time", 0)?,
        fall_multiple: p.real("rules.fall-multiple", 1.0)?,
        overload_for: p.whole("rules.overload-for", 1_000_000)?,
        ask_within: p.whole("rules.ask-within", 10_000_000)?,
        settle_after_doubt: p.whole("rules.settle-after-doubt", 0)?,
        dial_timeout: p.whole("bounds.dial-timeout", 250_000)?,
        full_may_have_run: p.flag("rules.may-shed-begun"),
        util_field: p.text("report.fields").and_then(|fields| fields.split(',').position(|f| f == "util")),
    };
    Ok((settings, Names { classes: class_names, tenants: tenant_names }))
}

/// The items `path.0`, `path.1` and so on, with their names.
fn list<T>(
    p: &Pairs,
    path: &str,
    item: fn(&Pairs, &str) -> Result<T, Fault>,
) -> Result<(Vec<T>, Vec<String>), Fault> {
    let count = p.whole(&format!("{path}.count"), 0)?;
    if count > 10_000 {
        return Err(Fault::new(format!("{path}.count={count} is too many")));
    }
    let (mut items, mut names) = (Vec::new(), Vec::new());
    for i in 0..count {
        let prefix = format!("{path}.{i}");
        items.push(item(p, &prefix)?);
        names.push(p.text(&format!("{prefix}.name")).unwrap_or("").to_owned());
    }
    Ok((items, names))
}

fn class(p: &Pairs, at: &str) -> Result<Class, Fault> {
    let deadline = p.whole(&format!("{at}.deadline"), 1_000_000)?;
    let semantics = match p.text(&format!("{at}.semantics")) {
        Some("safe") => Semantics::Safe,
        Some("keyed") => Semantics::Keyed {
            scope: match p.text(&format!("{at}.key-scope")) {
                Some("all") => KeyScope::All,
                Some("zone") => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            ttl: p.whole(&format!("{at}.key-ttl"), 0)?,
        },
        // What is not known to be repeatable is not repeated.
        _ => Semantics::Unsafe,
    };
    Ok(Class {
        aim: p.whole(&format!("{at}.aim"), deadline)?,
        deadline,
        points: p.real(&format!("{at}.points"), 1.0)?,
        late_share: p.real(&format!("{at}.late-share"), 0.0)?,
        semantics,
        in_order: p.flag(&format!("{at}.serial-by-key")),
    })
}

fn tenant(p: &Pairs, at: &str) -> Result<Tenant, Fault> {
    Ok(Tenant { quota_per_s: p.real(&format!("{at}.quota-per-s"), 0.0)? })
}
