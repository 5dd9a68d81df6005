//! Parses and checks the data of a server's ephemeral node. Pure.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use woodgap_membership::{parse_trust, SourceEntry, Transport};

/// Maximum size of a node's data, in bytes.
pub const MAX_SERVER_DATA_BYTES: usize = 4_096;
/// Maximum length of an id or a zone.
pub const MAX_NAME_LEN: usize = 128;
/// Maximum weight of a server.
pub const MAX_SIZE: f64 = 1_000.0;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerPhase {
    /// It accepts new requests.
    #[default]
    InService,
    /// It finishes its requests and accepts no new ones; to be set before its session ends.
    Terminating,
}

/// Protocol of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerProtocol {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/3.
    Http3,
}

/// A server's data, as JSON. An unknown field makes it invalid, so that a misspelt `phase` is reported.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRecord {
    /// Id, the same over restarts; the name of the ephemeral node if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// Listening address: `ADDRESS:PORT`.
    pub address: SocketAddr,
    /// Protocol at that address.
    #[serde(default)]
    pub protocol: ServerProtocol,
    /// For HTTP/3: SHA-256 of the certificate in DER, as 64 hexadecimal digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pin: Option<String>,
    /// For HTTP/3, in place of a pin: the DNS name or address for which the certificate is issued.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server_name: Option<String>,
    /// Zone of the server.
    #[serde(default)]
    pub zone: String,
    /// Cell of the server.
    #[serde(default)]
    pub cell: u64,
    /// Weight; above 0, at most [`MAX_SIZE`].
    #[serde(default = "one")]
    pub size: f64,
    /// Start of the process, Unix time in milliseconds; 0 means long ago. Without it a server that returns
    /// starts slowly (slow start).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    /// Whether it accepts new requests.
    #[serde(default)]
    pub phase: ServerPhase,
}

fn one() -> f64 {
    1.0
}

/// Whether a text may be a server's id: letters, digits, `.`, `_` and `-`, [`MAX_NAME_LEN`] at most.
fn is_id(text: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.chars().all(is_valid_char)
}

/// Parses the data of the ephemeral node of this name.
///
/// # Errors
/// Returns a description of the invalid data.
pub fn parse_server(name: &str, data: &[u8]) -> Result<SourceEntry, String> {
    if data.len() > MAX_SERVER_DATA_BYTES {
        return Err(format!("its data has {} bytes, {MAX_SERVER_DATA_BYTES} are read", data.len()));
    }
    let server: ServerRecord = serde_json::from_slice(data).map_err(|error| error.to_string())?;
    let id = server.id.unwrap_or_else(|| name.to_owned());
    if !is_id(&id) {
        return Err(format!("the id must be 1 to {MAX_NAME_LEN} letters, digits, '.', '_' and '-'"));
    }
    if !(server.size > 0.0 && server.size <= MAX_SIZE) {
        return Err(format!("size: give a number above 0, at most {MAX_SIZE}"));
    }
    if server.zone.len() > MAX_NAME_LEN || server.zone.chars().any(char::is_control) {
        return Err(format!("zone: give {MAX_NAME_LEN} visible characters at most"));
    }
    if server.address.port() == 0 || server.address.ip().is_unspecified() {
        return Err("address: give one that can be connected to".to_owned());
    }
    let trust = parse_trust(server.pin.as_deref(), server.server_name.as_deref());
    let trust = trust.map_err(|(field, expected)| format!("{field}: {expected}"))?;
    let transport = match (server.protocol, trust) {
        (ServerProtocol::Http1, None) => Transport::Http1,
        (ServerProtocol::Http3, Some(trust)) => Transport::Http3 { trust },
        (ServerProtocol::Http1, Some(_)) => {
            return Err("pin, server_name: only with \"protocol\": \"http3\"".to_owned())
        }
        (ServerProtocol::Http3, None) => {
            return Err(
                "pin: give the certificate's SHA-256, 64 hexadecimal digits, or server_name".to_owned()
            )
        }
    };
    Ok(SourceEntry {
        id,
        address: server.address,
        transport,
        zone: server.zone,
        cell: server.cell,
        kind: String::new(),
        size: server.size,
        started_ms: server.started_ms,
        draining: server.phase == ServerPhase::Terminating,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn valid_data_is_parsed_and_invalid_data_is_rejected_with_its_reason() {
        let entry = parse_server("s1", br#"{"address": "10.0.0.1:80"}"#).unwrap();
        assert_eq!(
            (entry.id.as_str(), entry.size, entry.started_ms, entry.draining),
            ("s1", 1.0, None, false)
        );
        let text = br#"{"id": "box-7", "address": "[::1]:80", "zone": "z", "cell": 3, "size": 2.5,
            "started_ms": 9, "phase": "terminating"}"#;
        let entry = parse_server("n0000000001", text).unwrap();
        assert_eq!((entry.id.as_str(), entry.cell, entry.started_ms), ("box-7", 3, Some(9)));
        assert!(entry.draining);
        for (invalid, expected) in [
            ("", "EOF"),
            ("{}", "address"),
            (r#"{"address": "box:80"}"#, "address"),
            (r#"{"address": "10.0.0.1:0"}"#, "connected"),
            (r#"{"address": "0.0.0.0:80"}"#, "connected"),
            (r#"{"address": "10.0.0.1:80", "phse": "terminating"}"#, "phse"),
            (r#"{"address": "10.0.0.1:80", "size": 0}"#, "size"),
            (r#"{"address": "10.0.0.1:80", "size": 1e300}"#, "size"),
            (r#"{"address": "10.0.0.1:80", "id": "a/b"}"#, "id"),
            (r#"{"address": "10.0.0.1:80", "protocol": "http3"}"#, "pin"),
            (r#"{"address": "10.0.0.1:80", "protocol": "http3", "pin": "ab"}"#, "pin"),
            (r#"{"address": "10.0.0.1:80", "protocol": "http2"}"#, "http2"),
            (r#"{"address": "10.0.0.1:80", "server_name": "box"}"#, "server_name"),
            (r#"{"address": "10.0.0.1:80", "protocol": "http3", "server_name": "a b"}"#, "server_name"),
        ] {
            let error = parse_server("s", invalid.as_bytes()).unwrap_err();
            assert!(error.contains(expected), "{invalid}: {error}");
        }
        assert!(parse_server("s", &vec![b' '; MAX_SERVER_DATA_BYTES + 1]).unwrap_err().contains("bytes"));
    }
}
