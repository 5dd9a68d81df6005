//! Anti-entropy: pulls updates that gossip lost, and contacts unknown and dead members so that separated
//! groups rejoin.

use std::sync::Arc;

use super::send::{alive_update, dead_update, section_of};
use super::{ClusterMember, Fleet, PullState};
use crate::wire::{Body, DatagramWriter};
use crate::{MemberState, Millis};

impl Fleet {
    /// Removes members that have been dead for long, contacts one unknown or dead member, and retries an
    /// outstanding pull.
    pub(super) fn reconnect_and_pull(&mut self, now: Millis) {
        if let Some(pull) = &mut self.pull {
            if now >= pull.retry_at {
                pull.attempts += 1;
                pull.retry_at = now + self.settings.probe_timeout;
                if pull.attempts > 5 {
                    self.pull = None;
                } else {
                    let (peer, after, sections) = (pull.peer.clone(), pull.last_name.clone(), pull.sections);
                    self.send(&peer, &Body::Pull { after: &after, sections });
                }
            }
        }
        if now < self.next_reconnect_at {
            return;
        }
        let intervals = if self.members.len() < 2 { 1 } else { 3 };
        self.next_reconnect_at = now + self.settings.probe_interval * intervals;
        let retention = self.settings.dead_member_retention;
        let is_dead = |m: &ClusterMember| m.state == MemberState::Dead;
        let expired = self.members.iter().filter(|(_, m)| is_dead(m) && now >= m.state_since + retention);
        for name in expired.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.remove_member(&name);
        }
        let unknown = self.configured_addresses.keys().filter(|name| !self.members.contains_key(*name));
        let dead = self.members.iter().filter(|(_, member)| is_dead(member)).map(|(name, _)| name);
        let unreachable: Vec<Arc<str>> = unknown.chain(dead).cloned().collect();
        if unreachable.is_empty() {
            return;
        }
        let name = unreachable[self.random.usize(..unreachable.len())].clone();
        if self.members.contains_key(&name) {
            let nonce = self.random.u32(..);
            self.send(&name, &Body::Ping { nonce, to: &name });
        } else if self.pull.is_none() {
            self.start_pull(now, &name, u16::MAX);
        }
    }

    /// Asks a peer for all members in these sections.
    pub(super) fn start_pull(&mut self, now: Millis, name: &Arc<str>, sections: u16) {
        let retry_at = now + self.settings.probe_timeout;
        self.pull =
            Some(PullState { peer: name.clone(), last_name: String::new(), sections, retry_at, attempts: 0 });
        self.send(name, &Body::Pull { after: "", sections });
    }

    /// Sends as many members with names after this one as fit into a datagram.
    pub(super) fn send_page(&mut self, to: &Arc<str>, after: &str, sections: u16) {
        let Some(addr) = self.address(to) else { return };
        let range = (std::ops::Bound::Excluded(Arc::<str>::from(after)), std::ops::Bound::Unbounded);
        let fill = |last| {
            let mut writer = DatagramWriter::new(&self.keys, &self.header(), &Body::Page { last });
            let in_sections = |(name, _): &(&Arc<str>, &ClusterMember)| sections & 1 << section_of(name) != 0;
            let all_fit =
                self.members.range::<Arc<str>, _>(range.clone()).filter(in_sections).all(|(name, member)| {
                    let updates = [alive_update(name, member), dead_update(name, member)];
                    writer.add_all(&updates[..if member.state == MemberState::Dead { 2 } else { 1 }])
                });
            (writer, all_fit)
        };
        let (writer, all_fit) = fill(true);
        let writer = if all_fit { writer } else { fill(false).0 };
        let bytes = writer.finish(&self.keys);
        self.send_datagram(addr, bytes);
    }
}
