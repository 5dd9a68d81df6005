//! Tests that requests free their capacity however they end.

use std::future::Future;
use std::task::Poll;

use super::*;
use crate::pool::driver::DriverReply;

async fn poll_once(future: &mut (impl Future + Unpin)) {
    std::future::poll_fn(|cx| {
        let _ = std::pin::Pin::new(&mut *future).poll(cx);
        Poll::Ready(())
    })
    .await;
}

// A client disconnects while its request waits, or at the moment the request is admitted. Either way the
// request must not keep its capacity.
#[tokio::test]
async fn capacity_is_freed_when_a_client_disconnects_while_waiting_or_when_admitted() {
    let run = async {
        let admission =
            PoolAdmission::new(AdmissionSettings { max_in_flight: 1, ..AdmissionSettings::default() }, &[]);
        let deadline = Instant::now() + Duration::from_secs(60);
        let never = || std::future::pending::<DriverReply>();
        let request = |key| AdmissionRequest { key, class: 0, is_retry: false, deadline };
        let mut first = Box::pin(admission.admit_and_send(request(1), never));
        let mut second = Box::pin(admission.admit_and_send(request(2), never));
        let mut third = Box::pin(admission.admit_and_send(request(3), never));
        poll_once(&mut first).await;
        poll_once(&mut second).await;
        poll_once(&mut third).await;
        assert_eq!(
            (admission.queue.borrow().concurrency_limit().in_flight(), admission.queue.borrow().waiting()),
            (1, 2)
        );
        drop(third);
        assert_eq!(
            (admission.queue.borrow().concurrency_limit().in_flight(), admission.queue.borrow().waiting()),
            (1, 1)
        );
        // The second request is admitted here, and its client disconnects before it is polled.
        drop(first);
        assert_eq!(
            (admission.queue.borrow().concurrency_limit().in_flight(), admission.queue.borrow().waiting()),
            (1, 0)
        );
        drop(second);
        assert_eq!(admission.queue.borrow().concurrency_limit().in_flight(), 0);
    };
    tokio::task::LocalSet::new().run_until(run).await;
}
