//! Connections that give way while a request comes.

use tokio::task::LocalSet;

use super::*;
use crate::front::conn::SLOW;

/// Provokes each instant so often: which of two things that are ready comes first is drawn.
const TIMES: usize = 12;

// A connection that rested for long is closed for a newcomer in the moment in which its next request comes: the
// request is served, whether or not the node knew of it.
#[tokio::test]
async fn a_request_that_comes_as_its_connection_gives_way_is_served() {
    for known in [false, true] {
        for _ in 0..TIMES {
            LocalSet::new()
                .run_until(async {
                    let rig = Rig::new(4, Bytes::from_static(b"ok")).await;
                    let mut stream = rig.resting().await;
                    after(Duration::from_millis(2_001)).await;
                    write(&stream, &request("crossing", ""));
                    if known {
                        // The system has told that it can be read, and its task has not run yet.
                        yield_now().await;
                    }
                    assert!(rig.clients.evict());
                    let answer = answer(&mut stream).await;
                    let taken = rig.taken.borrow().join(", ");
                    assert_eq!(
                        (answer.as_deref(), &*taken),
                        (Some("ok"), "first, crossing"),
                        "known: {known}"
                    );
                })
                .await;
        }
    }
}

// The same where all that rest are closed after SIGTERM.
#[tokio::test]
async fn a_request_that_comes_as_resting_connections_are_closed_is_served() {
    for known in [false, true] {
        for _ in 0..TIMES {
            LocalSet::new()
                .run_until(async {
                    let rig = Rig::new(4, Bytes::from_static(b"ok")).await;
                    let mut stream = rig.resting().await;
                    write(&stream, &request("crossing", ""));
                    if known {
                        yield_now().await;
                    }
                    rig.clients.close_idle(SLOW);
                    assert_eq!(answer(&mut stream).await.as_deref(), Some("ok"), "known: {known}");
                    assert_eq!(answer(&mut stream).await, None);
                })
                .await;
        }
    }
}
