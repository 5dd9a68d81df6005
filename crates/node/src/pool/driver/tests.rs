//! What the driver answers by itself.

use super::*;
use crate::config::Figures;
use crate::sockets::Sockets;
use crate::upstream::exchange::Call;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::sync::oneshot;
use woodgap_decisions::{Class, ClassId, Semantics};

fn arrival(id: u64) -> (Arrival, oneshot::Receiver<Answered>) {
    let (reply, answer) = oneshot::channel();
    let (target, headers) = (Uri::from_static("/api"), HeaderMap::new());
    let call = Rc::new(Call { method: Method::POST, target, headers, body: Bytes::new() });
    let deadline = Instant::now();
    let (class, tenant, key, repeat, cost) = (ClassId(0), None, None, false, None);
    (Arrival { id, class, tenant, key, repeat, cost, deadline, call, reply }, answer)
}

// Past its time the node answers for the module: refused what never went out, failed what may have run.
#[tokio::test]
async fn what_is_overdue_is_refused_if_it_was_never_sent() {
    let second = Duration::from_secs(1);
    let figures =
        Figures { dial_timeout: second, keepalive: second, drain_grace: second, open_cap: 1, report: vec![] };
    let class = Class {
        aim: 1,
        deadline: 1,
        points: 1.0,
        late_share: 0.0,
        semantics: Semantics::Unsafe,
        in_order: false,
    };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let (tx, _rx) = mpsc::unbounded_channel();
    let servers = Servers::new(figures, Sockets::new(1), None);
    let mut driver = Driver::new(&settings, 1, None, servers, None, &tx, None);
    for (id, sent_to) in [(1, None), (2, Some(ServerId(7)))] {
        let (arrival, mut answer) = arrival(id);
        driver.request(arrival);
        driver.held.get_mut(&id).unwrap().at = sent_to;
        driver.fall_due(Due::Overdue(id));
        let (answer, _) = answer.try_recv().unwrap();
        match sent_to {
            None => assert!(matches!(answer, Answer::Refused(_))),
            Some(_) => assert!(matches!(answer, Answer::Late)),
        }
    }
}
