//! Derives a client's admission key from a request: the key by which a pool's capacity is shared among its
//! clients.

use std::net::IpAddr;

use hyper::header::{HeaderMap, HeaderName};
use woodgap_decisions::Key;
use woodgap_tenancy::spec::KeySource;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::connection::ClientIdentity;

/// The sources of admission keys, in order of preference: the first one that a request has provides its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientKeySources(Vec<ClientKeySource>);

/// A part of a request or of its connection that provides an admission key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ClientKeySource {
    /// The value of this header.
    Header(HeaderName),
    /// The subject of the client's certificate.
    Subject,
    /// The client's IP address, or its prefix (see [`address_hash`]).
    Address,
    /// The `key` parameter of the query.
    Query,
}

impl ClientKeySources {
    /// Parses a list of sources.
    ///
    /// # Errors
    /// Names the source that cannot be parsed, and what is accepted.
    pub fn parse<'a>(sources: impl IntoIterator<Item = &'a str>) -> Result<ClientKeySources, String> {
        let parse_source = |text: &str| {
            let source = match KeySource::parse(text)? {
                KeySource::Header(name) => {
                    ClientKeySource::Header(HeaderName::from_bytes(name.as_bytes()).ok()?)
                }
                KeySource::Subject => ClientKeySource::Subject,
                KeySource::Address => ClientKeySource::Address,
                KeySource::Query => ClientKeySource::Query,
            };
            Some(source)
        };
        let parse_or_error = |text: &str| {
            parse_source(text)
                .ok_or_else(|| format!("'{text}' is not a key source: give {}", KeySource::EXPECTED))
        };
        let sources: Vec<ClientKeySource> =
            sources.into_iter().map(parse_or_error).collect::<Result<_, _>>()?;
        match sources.is_empty() {
            true => Err(format!("no key source given: give at least one of {}", KeySource::EXPECTED)),
            false => Ok(ClientKeySources(sources)),
        }
    }

    /// The key of a request, hashed together with the kind of its source: the same bytes from two sources are
    /// two keys. All requests without a key share the key 0.
    pub fn key_of(&self, headers: &HeaderMap, client: ClientIdentity, query: Option<Key>) -> u64 {
        let key_from = |source: &ClientKeySource| match source {
            ClientKeySource::Header(name) => {
                headers.get(name).filter(|value| !value.is_empty()).map(|value| hash(1, value.as_bytes()))
            }
            ClientKeySource::Subject => client.subject.map(|subject| hash(2, &subject.to_le_bytes())),
            ClientKeySource::Address => client.address.map(address_hash),
            ClientKeySource::Query => query.map(|key| hash(4, &key.0.to_le_bytes())),
        };
        self.0.iter().find_map(key_from).unwrap_or(0)
    }
}

/// Hashes a key together with the kind of its source.
fn hash(kind: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, kind)
}

/// Hashes an IPv4 address, or the first 64 bits of an IPv6 address: all addresses with one such prefix belong
/// to one site (RFC 6177).
fn address_hash(address: IpAddr) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(address) => hash(3, &address.octets()),
        IpAddr::V6(address) => hash(3, &address.octets()[..8]),
    }
}

/// Hashes the subject of a certificate in DER; `None` if it cannot be parsed. The TLS handshake has already
/// verified the certificate against its authority.
pub fn subject_hash(der: &[u8]) -> Option<u64> {
    let (_, certificate) = x509_parser::parse_x509_certificate(der).ok()?;
    Some(hash(2, certificate.subject().as_raw()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn key_comes_from_the_first_source_that_a_request_has() {
        let key_sources = ClientKeySources::parse(["header:X-Club", "subject", "address", "query"]).unwrap();
        let (mut headers, anonymous) = (HeaderMap::new(), ClientIdentity::default());
        let client_at = |text: &str| ClientIdentity { address: text.parse().ok(), subject: None };
        assert_eq!(key_sources.key_of(&headers, anonymous, None), 0);
        let by_query = key_sources.key_of(&headers, anonymous, Some(Key(7)));
        let by_address = key_sources.key_of(&headers, client_at("10.0.0.1"), Some(Key(7)));
        assert_eq!(by_address, key_sources.key_of(&headers, client_at("::ffff:10.0.0.1"), None));
        assert_ne!(by_address, key_sources.key_of(&headers, client_at("10.0.0.2"), None));
        let by_site = key_sources.key_of(&headers, client_at("2001:db8:1:2::1"), None);
        assert_eq!(by_site, key_sources.key_of(&headers, client_at("2001:db8:1:2:ffff::9"), None));
        assert_ne!(by_site, key_sources.key_of(&headers, client_at("2001:db8:1:3::1"), None));
        let by_subject =
            key_sources.key_of(&headers, ClientIdentity { subject: Some(7), ..client_at("10.0.0.1") }, None);
        headers.insert("x-club", "rygbi".parse().unwrap());
        let by_header = key_sources.key_of(&headers, ClientIdentity { subject: Some(7), ..anonymous }, None);
        assert_eq!(by_header, key_sources.key_of(&headers, client_at("10.0.0.9"), Some(Key(1))));
        let mut all = vec![0, by_query, by_address, by_site, by_subject, by_header];
        all.sort_unstable();
        all.dedup();
        assert_eq!(all.len(), 6);
        // An empty header value counts as absent.
        headers.insert("x-club", "".parse().unwrap());
        assert_eq!(key_sources.key_of(&headers, anonymous, None), 0);
    }

    #[test]
    fn unknown_key_source_is_named_in_the_error() {
        assert!(ClientKeySources::parse(["header:x club"]).unwrap_err().contains("'header:x club'"));
        assert!(ClientKeySources::parse(["x-club"]).unwrap_err().contains("header:NAME"));
        assert!(ClientKeySources::parse([]).is_err());
        assert_eq!(subject_hash(b"no certificate"), None);
    }
}
