//! Until when a server may be sent something new.

use std::time::Duration;

use tokio::time::{timeout_at, Instant};
use woodgap_decisions::ServerId;

use crate::upstream::servers::Servers;

/// Timers count whole milliseconds: one that falls due at the end of a grace might do so just before it.
const ROUNDING: Duration = Duration::from_millis(1);

impl Servers {
    /// Waits until a server may be sent nothing new any more, or is no longer the process that it was in this epoch.
    ///
    /// What waits for a connection to it waits for nothing from then on: see [`Servers::address`].
    pub(super) async fn ineligible(&self, server: ServerId, epoch: u64) {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if self.address(server).is_none_or(|(_, now)| now != epoch) {
                return;
            }
            match self.grace_ends(server) {
                Some(end) => drop(timeout_at(end + ROUNDING, changed).await),
                None => changed.await,
            }
        }
    }

    /// When a draining server may be sent nothing new any more; `None` for one that does not drain.
    fn grace_ends(&self, server: ServerId) -> Option<Instant> {
        let since = self.entries.borrow().get(&server)?.barred?;
        Some(since + self.send_grace())
    }
}
