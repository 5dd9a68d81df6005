//! Parses the JSON server lists of discovery, for the watch and for the list in the configuration.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde_json::Value;
use woodgap_decisions::settings::parse_server_state;
use woodgap_decisions::ServerState;
use woodgap_membership::Transport;

/// One server on a list.
#[derive(Clone, Debug)]
pub struct DiscoveryEntry {
    /// Id of the server, unique on the list.
    pub id: String,
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Protocol that the server speaks, and how it is authenticated.
    pub transport: Transport,
    /// Zone of the server; empty if the list names none.
    pub zone: String,
    /// Cell of the server; 0 if the list names none.
    pub cell: u64,
    /// Kind of the server as the list names it; empty if the list names none.
    pub kind: String,
    /// Whether the server is in service, draining or removed.
    pub state: ServerState,
    /// Capacity of the server relative to others; 1 if the list gives none.
    pub size: f64,
    /// When the server started, as Unix time in milliseconds. 0 means long ago.
    pub up_since_ms: u64,
}

/// A list of servers: all of them, or only those that changed.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    /// Revision of the list, if it has one.
    pub revision: Option<u64>,
    /// Whether the list names all servers. If not, servers that it does not name are unchanged.
    pub complete: bool,
    /// The named servers, each once.
    pub entries: Vec<DiscoveryEntry>,
}

impl ServerList {
    /// Parses a list, or returns `None` if it has no members. An invalid entry does not invalidate the list,
    /// since it must not hide the changes of all other servers. If its id is readable, its server counts as
    /// terminated, as it may be draining or may have restarted. Of several entries with one id the last one
    /// counts.
    pub fn from_value(value: &Value) -> Option<ServerList> {
        let members = value.get("members")?.as_array()?;
        let mut entries: Vec<DiscoveryEntry> = Vec::with_capacity(members.len());
        let mut indexes: HashMap<&str, usize> = HashMap::with_capacity(members.len());
        for member in members {
            let Some(id) = member.get("id").and_then(Value::as_str) else { continue };
            let entry = parse_entry(id, member).unwrap_or_else(|| terminated_entry(id));
            match indexes.get(id) {
                Some(&index) => entries[index] = entry,
                None => {
                    indexes.insert(id, entries.len());
                    entries.push(entry);
                }
            }
        }
        let complete = value.get("complete").and_then(Value::as_bool).unwrap_or(false);
        if complete {
            entries.retain(|entry| entry.state != ServerState::Terminated);
        }
        Some(ServerList { revision: value.get("revision").and_then(parse_integer), complete, entries })
    }
}

/// Parses an entry, or returns `None` if a field is missing or invalid.
fn parse_entry(id: &str, value: &Value) -> Option<DiscoveryEntry> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let since = value.get("up_since_ms").filter(|since| !since.is_null());
    Some(DiscoveryEntry {
        id: id.to_owned(),
        addr: text("host_port")?.parse().ok()?,
        transport: Transport::Http1,
        zone: text("locality").unwrap_or("").to_owned(),
        cell: value.get("cell").and_then(parse_integer).unwrap_or(0),
        kind: text("flavor").unwrap_or("").to_owned(),
        state: parse_server_state(text("phase")?)?,
        size: value.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        up_since_ms: since.map_or(Some(0), parse_integer)?,
    })
}

/// Returns an entry that marks a server as terminated.
fn terminated_entry(id: &str) -> DiscoveryEntry {
    DiscoveryEntry {
        id: id.to_owned(),
        addr: SocketAddr::from(([0, 0, 0, 0], 0)),
        transport: Transport::Http1,
        zone: String::new(),
        cell: 0,
        kind: String::new(),
        state: ServerState::Terminated,
        size: 1.0,
        up_since_ms: 0,
    }
}

/// Parses an integer, which JSON may also write as 5.0 or 5e0.
fn parse_integer(value: &Value) -> Option<u64> {
    let real = || value.as_f64().filter(|real| (0.0..9e15).contains(real)).map(|real| real as u64);
    value.as_u64().or_else(real)
}

#[cfg(test)]
mod tests;
