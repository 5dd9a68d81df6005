//! Measures the outcome of one request when the server that owns its key misbehaves in one way and another
//! server works. The outcomes must be the same for every
//! [`ProtocolPair`](crate::protocol_pair::ProtocolPair).

use std::io;
use std::time::Duration;

use crate::admin::tenant_spec;
use crate::backend::{duplicate_effects, Backend, ServerBehavior};
use crate::client::{ClientRequest, ClientResponse};
use crate::protocol_pair::ProtocolTestNode;
use crate::script::Ending;

/// The behaviors of the owning server that are measured, with their names.
pub const BEHAVIORS: [(&str, ServerBehavior); 11] = [
    ("serves", ServerBehavior::Serve(Duration::ZERO)),
    ("turns-away", ServerBehavior::TurnAway),
    ("resets", ServerBehavior::CloseConnection),
    ("errs", ServerBehavior::Error),
    ("is-silent", ServerBehavior::HoldRequests),
    ("resets-at-0", ServerBehavior::TruncateResponse { after_bytes: 0, ending: Ending::Reset(CANCELLED) }),
    ("resets-at-1", ServerBehavior::TruncateResponse { after_bytes: 1, ending: Ending::Reset(CANCELLED) }),
    ("resets-at-60", ServerBehavior::TruncateResponse { after_bytes: 60, ending: Ending::Reset(INTERNAL) }),
    ("resets-at-120", ServerBehavior::TruncateResponse { after_bytes: 120, ending: Ending::Reset(NO_ERROR) }),
    ("closes-at-1", ServerBehavior::TruncateResponse { after_bytes: 1, ending: Ending::Close(INTERNAL) }),
    ("stalls-at-120", ServerBehavior::TruncateResponse { after_bytes: 120, ending: Ending::Stall }),
];

/// Time that a measured request has.
const TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum number of requests for one row, of which a busy node may refuse some.
const MAX_TRIES: usize = 200;
/// Pause after a refusal. The node's advice is longer, as its load may last.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

// Error codes of HTTP/3 (RFC 9114, section 8.1). None of them says that a request was not processed.
const NO_ERROR: u64 = 0x100;
const INTERNAL: u64 = 0x102;
const CANCELLED: u64 = 0x10c;

/// The outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOutcome {
    /// The status of the response.
    pub status: u16,
    /// Whether the response has the body that belongs to this request.
    pub own_body: bool,
    /// Number of attempts that reached the misbehaving server and the working one.
    pub attempts: [u64; 2],
    /// Number of executions of the request.
    pub executions: u32,
    /// Number of executions beyond the first, of all requests.
    pub duplicate_effects: u64,
}

/// Sends one request of a class (`lookup` or `renew`) and returns its outcome. The request's tenant is new,
/// so that the node has no measurements of its servers from earlier requests.
///
/// # Errors
/// If no response arrives in time, or the test setup fails.
pub async fn request_outcome(
    test_node: &ProtocolTestNode,
    class: &str,
    behavior_name: &str,
    behavior: ServerBehavior,
) -> io::Result<RequestOutcome> {
    let tenant = format!("{class}-{}-{behavior_name}", test_node.protocols.name());
    let serve_immediately = ServerBehavior::Serve(Duration::ZERO);
    let (owner, other) = (
        test_node.start_backend(serve_immediately).await?,
        test_node.start_backend(serve_immediately).await?,
    );
    test_node.create_tenant(&tenant, &tenant_spec(1_500), &[&owner, &other]).await?;
    let mut client = test_node.client_listener().connect().await?;
    let key = find_key_of(&mut client, &tenant, &owner, &other).await?;
    owner.set_behavior(behavior);
    let before = [owner.requests(), other.requests()];
    let (txn, response) = send_until_taken(&mut client, class, &tenant, &key, [&owner, &other]).await?;
    let executions = |backend: &Backend| backend.execution_counts().get(&txn).copied().unwrap_or(0);
    Ok(RequestOutcome {
        status: response.status.as_u16(),
        own_body: response.body == txn.as_bytes(),
        attempts: [owner.requests() - before[0], other.requests() - before[1]],
        executions: executions(&owner) + executions(&other),
        duplicate_effects: duplicate_effects([&owner, &other]),
    })
}

/// Whether the node refused a request because its CPU is busy, as machines under load make it.
fn is_busy(response: &ClientResponse) -> bool {
    response.status == 503 && response.body == "the node is busy\n"
}

/// Sends a request, again under a new id for as long as the node is busy and refuses it before any server has received it.
/// Returns the id and the response.
async fn send_until_taken(
    client: &mut crate::protocol_pair::Client,
    class: &str,
    tenant: &str,
    key: &str,
    servers: [&Backend; 2],
) -> io::Result<(String, ClientResponse)> {
    let received = || servers.iter().map(|server| server.requests()).sum::<u64>();
    let before = received();
    for n in 0..MAX_TRIES {
        // An id of the maximum length makes the response long enough for every truncation.
        let prefix = format!("{tenant}-{n}-");
        let txn = format!("{prefix}{}", "x".repeat(120 - prefix.len()));
        let request = match class {
            "lookup" => ClientRequest::lookup(tenant, txn.clone()),
            _ => ClientRequest::renew(tenant, txn.clone()),
        };
        let request = ClientRequest { key: key.to_owned(), ..request }.with_timeout(TIMEOUT);
        let response = client.send_request(&request).await?;
        if !is_busy(&response) || received() > before {
            return Ok((txn, response));
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    Err(io::Error::other("the node refuses all requests"))
}

/// Finds a routing key that a server owns, of two servers. The other one has to have received a request before: as long
/// as the node has no connection to it, requests for its keys may go to this one.
async fn find_key_of(
    client: &mut crate::protocol_pair::Client,
    tenant: &str,
    backend: &Backend,
    other: &Backend,
) -> io::Result<String> {
    for n in 0..MAX_TRIES {
        let request = ClientRequest {
            key: format!("k{n}"),
            ..ClientRequest::lookup(tenant, format!("{tenant}-find{n}"))
        };
        let (before, other_before) = (backend.requests(), other.requests());
        let response = client.send_request(&request).await?;
        if is_busy(&response) {
            tokio::time::sleep(REFUSAL_PAUSE).await;
            continue;
        }
        if response.status != 200 {
            return Err(io::Error::other(format!("{response:?}")));
        }
        let reached_this_one = backend.requests() > before && other.requests() == other_before;
        if reached_this_one && other_before > 0 {
            return Ok(request.key);
        }
    }
    Err(io::Error::other("the server owns none of the keys"))
}

/// The outcomes of one `lookup` and one `renew` for each of [`BEHAVIORS`], with their names.
///
/// # Errors
/// As [`request_outcome`].
pub async fn outcome_table(test_node: &ProtocolTestNode) -> io::Result<Vec<(String, RequestOutcome)>> {
    let mut rows = Vec::new();
    for (name, behavior) in BEHAVIORS {
        for class in ["lookup", "renew"] {
            rows.push((format!("{class} {name}"), request_outcome(test_node, class, name, behavior).await?));
        }
    }
    Ok(rows)
}
