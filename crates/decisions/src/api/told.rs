//! What a node is told at its start.

use super::*;

/// What a node is told at its start. Begin from [`Settings::default`] and set what is known.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many nodes there are, this one included.
    pub group_size: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// What worth is counted by.
    pub worth_by: WorthBy,
    /// What `size` means.
    pub weight_source: WeightSource,
    /// How the list arrives.
    pub discovery: Discovery,
    /// A server that met a key lately does less work for it.
    pub warm_keys: bool,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Two attempts of a request may be out together.
    pub second_copies: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Clients are told how long to keep away.
    pub retry_after: bool,
    /// The longest such advice that clients heed.
    pub max_retry_after: Micros,
    /// The node's own zone, where it is known.
    pub zone: Option<ZoneId>,
    /// Points taken off for an attempt that leaves it, per first try.
    pub far_price: f64,
    /// Points taken off for a new connection per first try.
    pub handshake_price: f64,
    /// Points taken off for a hundred open connections a server.
    pub connection_price: f64,
    /// Capacity of a server at its start, as a part of its full one.
    pub start_capacity: f64,
    /// It is warm after this time.
    pub ramp_time: Micros,
    /// Sent more than this multiple of its present capacity, a cold server falls over.
    pub fall_multiple: f64,
    /// It does so when it is sent that much within this time.
    pub overload_for: Micros,
    /// Longest time without a subscription and without asking for one.
    pub ask_within: Micros,
    /// A key of an in-order class rests this long after an attempt that may still be running.
    pub settle_after_doubt: Micros,
    /// A connection that is not there by then failed.
    pub dial_timeout: Micros,
    /// [`Outcome::Full`] does not prove that the attempt never ran.
    pub full_may_have_run: bool,
    /// Place of the part of its cores in use in a server's load report.
    pub util_field: Option<usize>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            group_size: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            worth_by: WorthBy::Request,
            weight_source: WeightSource::Off,
            discovery: Discovery::Push,
            warm_keys: false,
            cancelling: false,
            may_probe: false,
            second_copies: false,
            max_attempts: 1,
            retry_after: false,
            max_retry_after: 0,
            zone: None,
            far_price: 0.0,
            handshake_price: 0.0,
            connection_price: 0.0,
            start_capacity: 1.0,
            ramp_time: 0,
            fall_multiple: 1.0,
            overload_for: 1_000_000,
            ask_within: 10_000_000,
            settle_after_doubt: 0,
            dial_timeout: 250_000,
            full_may_have_run: false,
            util_field: None,
        }
    }
}
