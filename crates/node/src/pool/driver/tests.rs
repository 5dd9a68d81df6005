//! Tests of the responses that the driver sends without the balancer, and of requests whose clients
//! disconnect.

use super::*;
use crate::config::UpstreamSettings;
use crate::sockets::SocketBudget;
use crate::sources::discovery::DiscoveryEntry;
use crate::upstream::exchange::UpstreamRequest;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::sync::oneshot;
use woodgap_decisions::{ClassId, Outcome, RequestClass, Semantics, ServerState};
use woodgap_membership::Transport;

fn arrival(id: u64) -> (RequestArrival, oneshot::Receiver<DriverReply>) {
    let (reply, reply_receiver) = oneshot::channel();
    let (target, headers) = (Uri::from_static("/api"), HeaderMap::new());
    let payload = Rc::new(UpstreamRequest { method: Method::POST, target, headers, body: Bytes::new() });
    let deadline = Instant::now();
    let (class, tenant, key, is_retry, cost) = (ClassId(0), None, None, false, None);
    (RequestArrival { id, class, tenant, key, is_retry, cost, deadline, payload, reply }, reply_receiver)
}

fn driver(tx: &mpsc::UnboundedSender<DriverMessage>) -> Driver {
    let second = Duration::from_secs(1);
    let upstream_settings = UpstreamSettings {
        dial_timeout: second,
        keepalive: second,
        drain_grace: second,
        open_cap: 1,
        report: vec![],
    };
    let class = RequestClass {
        target_latency: 1,
        deadline: 20_000_000,
        worth: 1.0,
        late_worth_share: 0.0,
        semantics: Semantics::Unsafe,
        in_order: false,
    };
    let settings = BalancerSettings { classes: vec![class], ..BalancerSettings::default() };
    let servers = Servers::new(upstream_settings, SocketBudget::new(1), None);
    Driver::new(&settings, 1, None, servers, None, tx, None)
}

/// Returns a driver that knows one server.
fn driver_with_server(tx: &mpsc::UnboundedSender<DriverMessage>) -> Driver {
    let entry = DiscoveryEntry {
        id: "s-1".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        transport: Transport::Http1,
        zone: "a".into(),
        cell: 0,
        kind: String::new(),
        state: ServerState::InService,
        size: 1.0,
        up_since_ms: 0,
    };
    let mut driver = driver(tx);
    driver.start(&ServerList { revision: None, complete: true, entries: vec![entry] });
    driver
}

// If the balancer has not responded by the deadline, the driver does: it refuses a request that was never
// sent, and fails one that may have run.
#[tokio::test]
async fn an_overdue_request_is_refused_if_it_was_never_sent_and_fails_otherwise() {
    let (tx, _rx) = mpsc::unbounded_channel();
    let mut driver = driver(&tx);
    for (id, sent_to) in [(1, None), (2, Some(ServerId::from_number(7)))] {
        let (arrival, mut reply_receiver) = arrival(id);
        driver.accept_request(arrival);
        driver.requests.get_mut(&id).unwrap().last_server = sent_to.clone();
        driver.handle_due(DueItem::RequestOverdue(id));
        let (response, _) = reply_receiver.try_recv().unwrap();
        match sent_to {
            None => assert!(matches!(response, FinalResponse::Refused(_))),
            Some(_) => assert!(matches!(response, FinalResponse::DeadlineExceeded)),
        }
    }
}

// A client may disconnect while its request, or the balancer's action for it, is still queued. The message
// about the disconnect comes last, and nothing must be sent before it.
#[tokio::test]
async fn nothing_is_sent_for_a_client_that_has_disconnected() {
    let run = async {
        let (tx, _rx) = mpsc::unbounded_channel();
        let mut driver = driver_with_server(&tx);
        for accepted_first in [false, true] {
            let (mut arrival, reply_receiver) = arrival(1);
            arrival.deadline += Duration::from_secs(20);
            if accepted_first {
                driver.accept_request(arrival);
                drop(reply_receiver);
            } else {
                drop(reply_receiver);
                driver.accept_request(arrival);
            }
            driver.process_events();
            assert!(driver.requests.is_empty(), "accepted_first {accepted_first}");
        }
        // The request of a client that stays connected is sent.
        let (mut arrival, _reply_receiver) = arrival(2);
        arrival.deadline += Duration::from_secs(20);
        driver.accept_request(arrival);
        driver.process_events();
        assert!(driver.requests[&2].attempts[0].is_some());
    };
    tokio::task::LocalSet::new().run_until(run).await;
}

// The balancer's response, the driver's own and the client's disconnect, in every order: only the first takes
// effect.
#[tokio::test]
async fn a_request_receives_at_most_one_response_for_any_order_of_events() {
    let (tx, _rx) = mpsc::unbounded_channel();
    let steps: [fn(&mut Driver); 3] = [
        |driver| driver.respond(1, FinalResponse::Failed),
        |driver| driver.handle_due(DueItem::RequestOverdue(1)),
        |driver| driver.handle_message(DriverMessage::ClientDisconnected(1)),
    ];
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut driver = driver(&tx);
        let (arrival, mut reply_receiver) = arrival(1);
        driver.accept_request(arrival);
        order.iter().for_each(|&step| steps[step](&mut driver));
        let received = reply_receiver.try_recv().ok().map(|(response, _)| response);
        match order[0] {
            0 => assert!(matches!(received, Some(FinalResponse::Failed))),
            1 => assert!(matches!(received, Some(FinalResponse::Refused(None)))),
            _ => assert!(received.is_none()),
        }
        assert!(driver.requests.is_empty(), "{order:?}");
    }
}

// A request whose server does not respond gets the same response whether the timer of its attempt or that of the
// request is handled first. On a busy machine it got 504 in place of 502.
#[tokio::test]
async fn response_of_an_overdue_request_does_not_depend_on_the_timer_that_expires_first() {
    let run = async {
        for attempt_first in [true, false] {
            let (tx, _rx) = mpsc::unbounded_channel();
            let mut driver = driver_with_server(&tx);
            let (mut arrival, mut reply_receiver) = arrival(1);
            arrival.deadline += Duration::from_millis(20);
            driver.accept_request(arrival);
            driver.process_events();
            assert!(driver.requests[&1].attempts[0].is_some());
            tokio::time::advance(Duration::from_millis(30)).await;
            let timeout =
                || DriverMessage::AttemptClosed { id: 1, attempt: 0, result: Outcome::Timeout.into() };
            if attempt_first {
                driver.handle_message(timeout());
            } else {
                driver.handle_due(DueItem::RequestOverdue(1));
            }
            driver.process_events();
            let (response, _) = reply_receiver.try_recv().unwrap();
            assert!(matches!(response, FinalResponse::Failed), "attempt first: {attempt_first}");
            driver.handle_message(timeout());
            driver.process_events();
            assert!(driver.requests.is_empty(), "attempt first: {attempt_first}");
        }
    };
    tokio::time::pause();
    tokio::task::LocalSet::new().run_until(run).await;
}
