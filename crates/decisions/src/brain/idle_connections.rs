//! Decides how long idle connections to servers are kept.

use super::*;

/// Idle connections that all nodes together may keep to a server of weight 1. More of them save handshakes
/// but exhaust the server's connections for nodes that keep none, and only those nodes notice.
pub(super) const IDLE_CONNECTIONS_PER_SERVER: f64 = 8.0;
/// Maximum of that number where handshakes are expensive.
pub(super) const MAX_IDLE_CONNECTIONS_PER_SERVER: f64 = 32.0;
/// Once this fraction of attempts gets no connection, the number shrinks; at twice that fraction it is zero.
pub(super) const CONNECT_FAILURE_THRESHOLD: f64 = 0.02;
/// From this price of a handshake on, the number grows with the square of the price, up to the maximum.
pub(super) const HANDSHAKE_PRICE_THRESHOLD: f64 = 0.08;
/// Handshake price at which a reuse is wanted as much as if it were twice as likely.
pub(super) const HANDSHAKE_PRICE_SCALE: f64 = 0.01;

impl Balancer {
    /// How long an idle connection is kept. A node keeps to its share of the idle connections of all nodes by
    /// closing one after `node_share / attempt_rate`. With a share of one connection a reuse within that time
    /// is likely. With a smaller share the time shrinks with the likelihood of a reuse, unless handshakes are
    /// expensive.
    pub(super) fn idle_connection_timeout(&self) -> Micros {
        let nodes = f64::from(self.settings.node_count);
        let mean_weight = self.total_weight / self.servers.len().max(1) as f64;
        let net_price = self.settings.handshake_price - nodes / 100.0 * self.settings.connection_price;
        let kept_by_all = (IDLE_CONNECTIONS_PER_SERVER
            * (net_price / HANDSHAKE_PRICE_THRESHOLD).max(1.0).powi(2))
        .min(MAX_IDLE_CONNECTIONS_PER_SERVER);
        let node_share = kept_by_all
            * (2.0 - self.traffic.connect_failure_rate / CONNECT_FAILURE_THRESHOLD).clamp(0.0, 1.0)
            * mean_weight
            / nodes;
        let time_factor = (node_share * (1.0 + net_price / HANDSHAKE_PRICE_SCALE).max(0.0)).min(1.0);
        let attempt_rate = self.traffic.sent_count / self.stats_window_s / self.servers.len().max(1) as f64;
        (time_factor * node_share / attempt_rate.max(1e-6) * 1e6) as Micros
    }

    /// Closes the idle connections to a server that has no requests in flight, if their time-out ends within
    /// `ahead` from now.
    pub(super) fn close_expired_idle(&mut self, i: usize, ahead: Micros, out: &mut Vec<Action>) {
        let timeout = self.idle_connection_timeout();
        let server = &mut self.servers[i];
        if server.in_flight == 0 && server.idle_since.is_some_and(|since| since + timeout <= self.now + ahead)
        {
            server.idle_since = None;
            out.push(Action::CloseIdle(server.listed.server.clone()));
        }
    }
}
