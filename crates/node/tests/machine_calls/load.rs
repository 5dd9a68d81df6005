//! A run of requests against a node with injected faults, and the counts of its outcomes.

use super::*;

/// Number of requests in a run.
pub const REQUESTS: usize = 300;

/// Counts of the outcomes of a run's requests.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// The highest number of attempts of one request that reached servers.
    pub max_attempts: usize,
    /// Requests that were refused although they had reached a server.
    pub refused_that_ran: usize,
}

/// Starts a test node, and beside it a node that runs under this schedule of faults.
pub fn start_with_faults(schedule: &str) -> (TestNode, NodeProcess, Faults) {
    let test_node = TestNode::new(3);
    let faults = Faults::new(schedule);
    let node = NodeProcess::start_with_faults(&test_node.config, &faults);
    (test_node, node, faults)
}

/// Sends requests, every fourth on a new connection and the others on one that stays open.
pub fn send_requests(test_node: &TestNode, node: &NodeProcess, class: &str) -> OutcomeCounts {
    test_node.received_requests();
    let mut counts = OutcomeCounts::default();
    let mut refused = Vec::new();
    let mut stream = node.connect();
    for index in 0..REQUESTS {
        let id = format!("{class}-{index}");
        let request = request_with_key(&id, class, &id, 20_000);
        let response = match index % 4 {
            0 => node.send_raw(&request),
            _ => {
                stream.write_all(&request).unwrap();
                HttpMessage::read(&mut BufReader::new(stream.try_clone().unwrap())).expect("a response")
            }
        };
        match response.status() {
            200 => {
                assert_eq!(response.body, id.as_bytes());
                counts.served += 1;
            }
            429 | 503 => {
                counts.refused += 1;
                refused.push(id);
            }
            _ => counts.failed += 1,
        }
    }
    let mut attempts: HashMap<String, usize> = HashMap::new();
    for (_, request) in test_node.received_requests() {
        *attempts.entry(request.header("x-txn").to_owned()).or_default() += 1;
    }
    counts.max_attempts = attempts.values().copied().max().unwrap_or(0);
    counts.refused_that_ran = refused.iter().filter(|id| attempts.contains_key(*id)).count();
    counts
}
