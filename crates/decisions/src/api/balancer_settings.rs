//! The settings of a [`Balancer`](crate::Balancer).

use super::*;

/// The settings of a balancer. Start from [`BalancerSettings::default`] and set the known values.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Number of nodes, this one included.
    pub node_count: u32,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The quotas of the tenants; may be empty.
    pub tenants: Vec<TenantQuota>,
    /// Worth of a request beyond its tenant's quota, as a fraction of its usual worth.
    pub over_quota_worth: f64,
    /// Unit in which worth is counted.
    pub worth_basis: WorthBasis,
    /// What the weights on the server list mean.
    pub weight_source: WeightSource,
    /// How the server list arrives.
    pub discovery: DiscoveryMode,
    /// Whether a server does less work for a key that it served recently.
    pub key_affinity: bool,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether servers can be probed.
    pub can_probe: bool,
    /// Whether two attempts of a request may be in flight together.
    pub allows_hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether refusals advise clients when to retry.
    pub advises_retry_after: bool,
    /// Maximum retry-after that clients obey.
    pub max_retry_after: Micros,
    /// The node's own zone, if known.
    pub zone: Option<ZoneId>,
    /// Worth deducted for an attempt that leaves the zone, per first try of a request.
    pub cross_zone_price: f64,
    /// Worth deducted for a new connection, per first try of a request.
    pub handshake_price: f64,
    /// Worth deducted for a hundred open connections per server.
    pub connection_price: f64,
    /// Capacity of a server at its start, as a fraction of its full capacity.
    pub initial_capacity: f64,
    /// Time after its start at which a server has its full capacity.
    pub slow_start_window: Micros,
    /// A server in slow start fails when it is sent more than this multiple of its current capacity.
    pub overload_multiple: f64,
    /// Time span over which the requests sent to a server in slow start are counted for `overload_multiple`.
    pub overload_window: Micros,
    /// Maximum time without a subscription and without an attempt to subscribe.
    pub max_unsubscribed_time: Micros,
    /// Time for which a key of an in-order class pauses after an attempt that may still be running.
    pub key_settle_time: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// Whether a request may have run although its attempt ended with [`Outcome::Full`].
    pub full_may_have_run: bool,
    /// Index of the CPU utilization in a server's load report.
    pub utilization_field: Option<usize>,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        BalancerSettings {
            node_count: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_worth: 1.0,
            worth_basis: WorthBasis::Request,
            weight_source: WeightSource::Off,
            discovery: DiscoveryMode::Push,
            key_affinity: false,
            can_cancel: false,
            can_probe: false,
            allows_hedging: false,
            max_attempts: 1,
            advises_retry_after: false,
            max_retry_after: 0,
            zone: None,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            connection_price: 0.0,
            initial_capacity: 1.0,
            slow_start_window: 0,
            overload_multiple: 1.0,
            overload_window: 1_000_000,
            max_unsubscribed_time: 10_000_000,
            key_settle_time: 0,
            connect_timeout: 250_000,
            full_may_have_run: false,
            utilization_field: None,
        }
    }
}
