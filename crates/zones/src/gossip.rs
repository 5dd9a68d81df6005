//! Demand reports that nodes gossip to one another in datagrams of at most 256 bytes, which may arrive late
//! or not at all.
//!
//! A report names its node, the demand of the node's clients, and the load it recently sent to each zone.
//! Reports are not signed: malformed ones are dropped, and a wrong one moves the sum by a bounded amount.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Micros, MAX_ZONES};

/// Maximum bytes of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Maximum number of nodes whose reports are kept.
pub const MAX_NODES: usize = 1_024;
/// Age after which a report is ignored.
pub const STALE_AFTER: Micros = 3_000_000;
/// A node's demand counts for at most this multiple of the median of its zone.
pub const MAX_CLAIM_TO_MEDIAN: f64 = 4.0;
/// First bytes of a report, followed by the format version.
const MAGIC: [u8; 3] = *b"wgz";
const FORMAT_VERSION: u8 = 1;
/// Bytes before the zones (magic, version, node, zone, counter, demand, number of zones) and of the checksum
/// after them.
const HEADER_BYTES: usize = 3 + 1 + 4 + 1 + 8 + 4 + 1;
const CHECKSUM_BYTES: usize = 4;
/// Number of zones that fit into a report.
pub const MAX_ENCODED_ZONES: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / 4;

/// A demand report.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneGossip {
    /// Number of the node.
    pub node: u32,
    /// Zone of the node.
    pub zone: u8,
    /// Higher with each report of a node.
    pub counter: u64,
    /// Demand of the node's clients in requests per second.
    pub demand: f32,
    /// Requests per second that the node sent to each zone, by index; at most [`MAX_ENCODED_ZONES`].
    pub sent: Vec<f32>,
}

impl ZoneGossip {
    /// Encodes the report as a datagram; zones beyond [`MAX_ENCODED_ZONES`] are omitted.
    pub fn encode(&self) -> Vec<u8> {
        let sent = &self.sent[..self.sent.len().min(MAX_ENCODED_ZONES)];
        let mut bytes = Vec::with_capacity(HEADER_BYTES + 4 * sent.len() + CHECKSUM_BYTES);
        bytes.extend_from_slice(&MAGIC);
        bytes.push(FORMAT_VERSION);
        bytes.extend_from_slice(&self.node.to_le_bytes());
        bytes.push(self.zone);
        bytes.extend_from_slice(&self.counter.to_le_bytes());
        bytes.extend_from_slice(&self.demand.to_le_bytes());
        bytes.push(sent.len() as u8);
        sent.iter().for_each(|rate| bytes.extend_from_slice(&rate.to_le_bytes()));
        let checksum = xxh3_64(&bytes) as u32;
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a datagram; `None` if it is malformed or contains numbers that are negative or not finite.
    pub fn decode(bytes: &[u8]) -> Option<ZoneGossip> {
        let (body, checksum) = bytes.split_at_checked(bytes.len().checked_sub(CHECKSUM_BYTES)?)?;
        let is_intact = bytes.len() <= MAX_DATAGRAM_BYTES
            && body.len() >= HEADER_BYTES
            && checksum == (xxh3_64(body) as u32).to_le_bytes();
        if !is_intact || body[..3] != MAGIC || body[3] != FORMAT_VERSION {
            return None;
        }
        let four_bytes = |at: usize| body.get(at..at + 4)?.try_into().ok();
        let number =
            |at: usize| four_bytes(at).map(f32::from_le_bytes).filter(|f| f.is_finite() && *f >= 0.0);
        let count = usize::from(body[HEADER_BYTES - 1]);
        if body.len() != HEADER_BYTES + 4 * count || usize::from(body[8]) >= MAX_ZONES {
            return None;
        }
        Some(ZoneGossip {
            node: u32::from_le_bytes(four_bytes(4)?),
            zone: body[8],
            counter: u64::from_le_bytes(body.get(9..17)?.try_into().ok()?),
            demand: number(17)?,
            sent: (0..count).map(|n| number(HEADER_BYTES + 4 * n)).collect::<Option<_>>()?,
        })
    }
}

/// The latest report of each node.
#[derive(Clone, Debug, Default)]
pub struct ZoneGossipTable {
    latest: BTreeMap<u32, (Micros, ZoneGossip)>,
}

impl ZoneGossipTable {
    /// Records a datagram of the node that the sender's address identifies; returns `false` if it is not
    /// newer or is rejected. A restarted node begins its counter anew and is accepted once its old report is
    /// stale.
    pub fn accept(&mut self, now: Micros, sender: u32, bytes: &[u8]) -> bool {
        let Some(gossip) = ZoneGossip::decode(bytes).filter(|gossip| gossip.node == sender) else {
            return false;
        };
        let old = self.latest.get(&sender);
        let is_current = old.is_some_and(|(at, _)| now.saturating_sub(*at) < STALE_AFTER);
        if old.is_some_and(|(_, old)| is_current && old.counter >= gossip.counter) {
            return false;
        }
        if old.is_none() && self.latest.len() >= MAX_NODES {
            self.latest.retain(|_, (at, _)| now.saturating_sub(*at) < STALE_AFTER);
            if self.latest.len() >= MAX_NODES {
                return false;
            }
        }
        self.latest.insert(sender, (now, gossip));
        true
    }

    /// Total demand of a zone with this many nodes: reported demand, each limited to [`MAX_CLAIM_TO_MEDIAN`]
    /// times the median, and the median for each node without a report. `None` if there is no report.
    pub fn demand(&self, now: Micros, zone: u8, nodes: usize) -> Option<f64> {
        let current_reports = self
            .latest
            .values()
            .filter(|(at, gossip)| now.saturating_sub(*at) < STALE_AFTER && gossip.zone == zone);
        let mut claims: Vec<f64> = current_reports.map(|(_, gossip)| f64::from(gossip.demand)).collect();
        claims.sort_by(f64::total_cmp);
        // The lower of the two middle values: of two nodes, one with an excessive claim does not define the
        // median.
        let median = *claims.get(claims.len().checked_sub(1)? / 2)?;
        let max_claim = median * MAX_CLAIM_TO_MEDIAN;
        let missing_demand = nodes.saturating_sub(claims.len()) as f64 * median;
        Some(claims.iter().map(|claim| claim.min(max_claim)).sum::<f64>() + missing_demand)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn gossip_of(node: u32, counter: u64, demand: f32) -> ZoneGossip {
        ZoneGossip { node, zone: 1, counter, demand, sent: vec![1.0, 2.5, 0.0] }
    }

    #[test]
    fn encoded_gossip_decodes_to_itself_and_fits() {
        let full = ZoneGossip { sent: vec![3.0; 100], ..gossip_of(7, 9, 50.0) };
        let bytes = full.encode();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(ZoneGossip::decode(&bytes).unwrap().sent.len(), MAX_ENCODED_ZONES);
        assert_eq!(ZoneGossip::decode(&gossip_of(7, 9, 50.0).encode()), Some(gossip_of(7, 9, 50.0)));
        for invalid in [f32::NAN, f32::INFINITY, -1.0] {
            assert_eq!(ZoneGossip::decode(&gossip_of(7, 9, invalid).encode()), None);
        }
        // A later format version is rejected.
        let mut later = gossip_of(7, 9, 50.0).encode();
        later[3] = 2;
        assert_eq!(ZoneGossip::decode(&later), None);
    }

    #[test]
    fn stale_and_forged_gossip_has_bounded_effect() {
        let mut table = ZoneGossipTable::default();
        assert_eq!(table.demand(0, 1, 5), None);
        for node in 0..4 {
            assert!(table.accept(1_000, node, &gossip_of(node, 5, 10.0).encode()));
        }
        assert_eq!(table.demand(1_000, 1, 4), Some(40.0));
        // A node without a report counts with the median.
        assert_eq!(table.demand(1_000, 1, 5), Some(50.0));
        // A report in another node's name, an old one and a repeated one are rejected.
        assert!(!table.accept(2_000, 0, &gossip_of(1, 6, 10.0).encode()));
        assert!(!table.accept(2_000, 0, &gossip_of(0, 4, 99.0).encode()));
        assert!(!table.accept(2_000, 0, &gossip_of(0, 5, 99.0).encode()));
        // An excessive claim is limited.
        assert!(table.accept(2_000, 0, &gossip_of(0, 6, 1e30).encode()));
        assert_eq!(table.demand(2_000, 1, 4), Some(30.0 + 40.0));
        // Silent nodes become stale, and a restarted node is accepted.
        assert!(table.accept(1_000 + STALE_AFTER, 1, &gossip_of(1, 1, 20.0).encode()));
        assert_eq!(table.demand(2_000 + STALE_AFTER, 1, 1), Some(20.0));
    }

    #[test]
    fn table_keeps_at_most_the_maximum_number_of_nodes() {
        let mut table = ZoneGossipTable::default();
        for node in 0..3_000u32 {
            table.accept(1, node, &gossip_of(node, 1, 1.0).encode());
        }
        assert_eq!(table.latest.len(), MAX_NODES);
        assert!(table.accept(1 + STALE_AFTER, 5_000, &gossip_of(5_000, 1, 1.0).encode()));
        assert_eq!(table.latest.len(), 1);
    }

    proptest! {
        // Arbitrary bytes decode or are rejected, and a flipped bit is detected.
        #[test]
        fn corrupt_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0usize..300, bit in 0u8..8) {
            let _ = ZoneGossip::decode(&bytes);
            let mut datagram = gossip_of(3, 4, 5.0).encode();
            let at = at % datagram.len();
            datagram[at] ^= 1 << bit;
            prop_assert_eq!(ZoneGossip::decode(&datagram), None);
            let truncated_len = at.min(datagram.len() - 1);
            prop_assert_eq!(ZoneGossip::decode(&datagram[..truncated_len]), None);
        }
    }
}
