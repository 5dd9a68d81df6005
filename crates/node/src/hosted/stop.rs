//! When a hosted node that is asked to stop may do so.

use crate::fleet::Fleet;

/// Waits until the node is asked to stop and, if permits are on, has permission; the node serves until then.
/// After a signal it waits for a permit for the configured time or until the next signal; after an operator's
/// drain request until that is granted or withdrawn.
pub(super) async fn wait_until_stop_allowed(stop: impl std::future::Future<Output = ()>, fleet: &Fleet) {
    let mut stop = std::pin::pin!(stop);
    loop {
        let is_signal = tokio::select! {
            () = &mut stop => true,
            () = fleet.wait_for_draining(true) => false,
        };
        let Some(permits) = &fleet.permits else { return };
        if !is_signal {
            let stop_waiting = async {
                (&mut stop).await;
                "a stop signal arrived meanwhile"
            };
            tokio::select! {
                _ = permits.acquire_permit(stop_waiting) => return,
                () = fleet.wait_for_draining(false) => {}
            }
            permits.cancel_drain().await;
            continue;
        }
        let second_signal = async {
            match sigterm_stream() {
                Some(mut sigterm) => drop(sigterm.recv().await),
                None => std::future::pending().await,
            }
        };
        let stop_waiting = async {
            tokio::select! {
                () = tokio::time::sleep(permits.max_wait()) => "not granted in time",
                () = second_signal => "a second stop signal arrived",
            }
        };
        permits.acquire_permit(stop_waiting).await;
        return;
    }
}

/// Subscribes to SIGTERM; `None` if that fails.
fn sigterm_stream() -> Option<tokio::signal::unix::Signal> {
    tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()).ok()
}
