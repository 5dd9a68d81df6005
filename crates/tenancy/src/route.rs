//! Finds the tenant of a request by its listener, its authority or its `X-Org`.

use std::collections::BTreeMap;

use crate::Uid;

/// An attribute of a request that identifies a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteMatch {
    /// The name of the listener that accepted it.
    Listener(String),
    /// `Host`, in lower case and without a port.
    Authority(String),
    /// The value of `X-Org`.
    Org(String),
}

/// Why no tenant is found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No attribute of the request identifies a tenant.
    Unknown,
    /// The request's attributes identify two tenants.
    Ambiguous,
}

/// The host of an authority: without the port, with the brackets of an IPv6 address (RFC 3986,
/// section 3.2).
pub fn host_of(authority: &str) -> &str {
    if authority.starts_with('[') {
        return authority.find(']').map_or(authority, |end| &authority[..=end]);
    }
    authority.split_once(':').map_or(authority, |(host, _)| host)
}

/// Finds the tenant of a request. The listener takes precedence over the authority, and the authority over
/// `X-Org`. Where one of the first two decides, an `X-Org` that identifies another tenant makes the request
/// ambiguous, so that no client reaches one tenant's servers under another tenant's name.
pub fn find_tenant(
    route_matches: &BTreeMap<RouteMatch, Uid>,
    listener: &str,
    authority: Option<&str>,
    org: Option<&str>,
) -> Result<Uid, RouteError> {
    let org_tenant = org.and_then(|org| route_matches.get(&RouteMatch::Org(org.to_owned()))).copied();
    let tenant_by_listener = || route_matches.get(&RouteMatch::Listener(listener.to_owned())).copied();
    let tenant_by_authority = || {
        let host = host_of(authority?).trim_end_matches('.').to_ascii_lowercase();
        route_matches.get(&RouteMatch::Authority(host)).copied()
    };
    match (tenant_by_listener().or_else(tenant_by_authority), org_tenant) {
        (Some(uid), Some(org_uid)) if uid != org_uid => Err(RouteError::Ambiguous),
        (Some(uid), _) | (None, Some(uid)) => Ok(uid),
        (None, None) => Err(RouteError::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn listener_precedes_authority_and_authority_precedes_org() {
        let route_matches = BTreeMap::from([
            (RouteMatch::Listener("north".into()), Uid(1)),
            (RouteMatch::Authority("clubs.example".into()), Uid(2)),
            (RouteMatch::Org("acme".into()), Uid(3)),
            (RouteMatch::Authority("[::1]".into()), Uid(4)),
        ]);
        let find = |listener, host, org| find_tenant(&route_matches, listener, host, org);
        assert_eq!(find("north", Some("clubs.example"), None), Ok(Uid(1)));
        assert_eq!(find("", Some("Clubs.Example:8080"), None), Ok(Uid(2)));
        assert_eq!(find("", Some("clubs.example.:80"), None), Ok(Uid(2)));
        assert_eq!(find("", Some("[::1]:80"), None), Ok(Uid(4)));
        assert_eq!(find("", Some("other"), Some("acme")), Ok(Uid(3)));
        assert_eq!(find("", Some("clubs.example"), Some("unknown")), Ok(Uid(2)));
        assert_eq!(find("", Some("clubs.example"), Some("acme")), Err(RouteError::Ambiguous));
        assert_eq!(find("", None, Some("ACME")), Err(RouteError::Unknown));
        assert_eq!(find("", None, None), Err(RouteError::Unknown));
    }
}
