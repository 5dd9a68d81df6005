//! From SIGTERM to the end of the process.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout, Instant};

use super::clients::Clients;
use super::conn::SLOW;

/// After SIGTERM new connections and requests still come for up to 0.4 s.
const DRAIN: Duration = Duration::from_millis(600);
/// A request that is on its way when idle connections are closed, or the first of a connection, still gets this long
/// to come: its client knows of no other connection to send it on again.
const LAST_WORD: Duration = Duration::from_millis(250);
/// The node ends once nothing has come for so long: what was written to a connection that the system has accepted
/// counts as taken, and the acceptor gets its turn to take it up.
const BACKLOG: Duration = Duration::from_millis(5);

impl Clients {
    /// After SIGTERM: serves on while clients still come, then closes what is idle and returns
    /// once nothing is held.
    pub async fn drain(&self) {
        let longest = self.directory.longest();
        self.draining.set(true);
        self.ends.set(Some(Instant::now() + longest + DRAIN));
        sleep(DRAIN).await;
        self.closing.set(true);
        self.close_idle(SLOW);
        let late = async {
            sleep(LAST_WORD).await;
            self.close_idle(LAST_WORD);
            std::future::pending().await
        };
        // A client that trickles a request must not keep the node up: all that was taken has had
        // its answer by the longest deadline.
        let all_ended = async {
            loop {
                sleep(BACKLOG).await;
                if self.conns.borrow().is_empty() && Rc::strong_count(&self.accepted) == 1 {
                    break;
                }
                self.ended.notified().await;
            }
        };
        let _ =
            timeout(longest + DRAIN, async { tokio::select!(() = all_ended => {}, () = late => {}) }).await;
    }

    /// Ends all connections, those with a request open with its answer, but not those on which one may be coming
    /// for no longer than this.
    pub(super) fn close_idle(&self, coming: Duration) {
        let conns = self.conns.borrow();
        conns.values().filter(|conn| !conn.is_coming(coming)).for_each(|conn| conn.shut(false));
    }
}
