//! Lets attempts that wait for a connection stop waiting once the server may not be sent new requests.

use std::time::Duration;

use tokio::time::{timeout_at, Instant};
use woodgap_decisions::ServerId;

use crate::upstream::servers::Servers;

/// Added to a timer for the end of the send grace, as timers count whole milliseconds and may fire just
/// before it.
const TIMER_ROUNDING: Duration = Duration::from_millis(1);

impl Servers {
    /// Waits until a server may not be sent new requests, or its epoch is no longer `epoch`.
    ///
    /// A request that waits for a connection to the server cannot be sent after that: see
    /// [`Servers::eligible_addr`].
    pub(super) async fn wait_until_ineligible(&self, server: &ServerId, epoch: u64) {
        loop {
            let mut list_applied = std::pin::pin!(self.list_applied.notified());
            list_applied.as_mut().enable();
            if self.eligible_addr(server).is_none_or(|(_, current)| current != epoch) {
                return;
            }
            match self.send_grace_end(server) {
                Some(end) => drop(timeout_at(end + TIMER_ROUNDING, list_applied).await),
                None => list_applied.await,
            }
        }
    }

    /// Time from which a draining server may not be sent new requests; `None` for a server that does not
    /// drain.
    fn send_grace_end(&self, server: &ServerId) -> Option<Instant> {
        let draining_since = self.slots.borrow().get(server)?.draining_since?;
        Some(draining_since + self.send_grace())
    }
}
