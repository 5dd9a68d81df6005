//! Open-loop load generator: each request is sent at its scheduled time, whether or not earlier ones were
//! answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::client::{ClientRequest, Connection};

/// The results of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Requests that were scheduled.
    pub due: u64,
    /// Requests that were sent.
    pub sent: u64,
    /// Responses with status 200 within the time limit.
    pub served: u64,
    /// Responses with status 429 or 503 within the time limit.
    pub refused: u64,
    /// Responses with another status within the time limit.
    pub failed: u64,
    /// Requests without a response, or with one after the time limit.
    pub lost: u64,
    /// Requests that were not sent because the connection was refused or closed.
    pub not_connected: u64,
    /// Sorted response times of the served requests, in milliseconds from their scheduled time.
    pub served_ms: Vec<f64>,
    /// Sorted response times of the refused requests, in milliseconds from when they were sent.
    pub refused_ms: Vec<f64>,
    /// How long the load ran.
    pub elapsed: Duration,
}

impl LoadReport {
    /// This quantile of the response times of served requests, in milliseconds; 0 if none was served.
    pub fn served_quantile(&self, fraction: f64) -> f64 {
        quantile(&self.served_ms, fraction)
    }

    /// The served fraction of the scheduled requests.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.due.max(1) as f64
    }

    /// Requests that were sent per second.
    pub fn sent_per_s(&self) -> f64 {
        self.sent as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }
}

/// A quantile of sorted values; 0 if there are none.
pub fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let index = ((sorted.len() as f64 * fraction).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// The parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// The address that receives the load.
    pub addr: SocketAddr,
    /// Scheduled requests per second.
    pub requests_per_s: f64,
    /// How long requests are scheduled.
    pub duration: Duration,
    /// Maximum number of connections. A request that finds none free is counted as due and is not sent.
    pub max_connections: usize,
}

struct ConnectionPool {
    idle: Vec<Connection>,
    /// Idle connections and those in use.
    total: usize,
}

/// Runs a load; `make_request` returns the request of each number, from 0. The number of the run is appended to the
/// requests' ids, as the ids of all runs have to differ.
pub async fn run(load: Load, make_request: impl Fn(u64) -> ClientRequest) -> LoadReport {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let pool = Arc::new(Mutex::new(ConnectionPool { idle: Vec::new(), total: 0 }));
    let start = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_millis(1));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut tasks = tokio::task::JoinSet::new();
    let total = (load.requests_per_s * load.duration.as_secs_f64()) as u64;
    let mut due = 0;
    while due < total {
        ticks.tick().await;
        let due_now = ((start.elapsed().as_secs_f64() * load.requests_per_s) as u64).min(total);
        while due < due_now {
            let scheduled_at = start + Duration::from_secs_f64(due as f64 / load.requests_per_s);
            let mut request = make_request(due);
            request.txn += &format!("-run{run}");
            due += 1;
            let connection = {
                let mut pool = pool.lock().unwrap_or_else(PoisonError::into_inner);
                while pool.idle.last().is_some_and(|connection| !connection.is_open()) {
                    pool.idle.pop();
                    pool.total -= 1;
                }
                match pool.idle.pop() {
                    Some(connection) => Some(connection),
                    None if pool.total < load.max_connections => {
                        pool.total += 1;
                        None
                    }
                    None => continue,
                }
            };
            let (report, pool, addr) = (report.clone(), pool.clone(), load.addr);
            tasks.spawn(async move {
                let (connection, record) = send_request(addr, connection, &request, scheduled_at).await;
                {
                    let mut pool = pool.lock().unwrap_or_else(PoisonError::into_inner);
                    match connection.filter(Connection::is_open) {
                        Some(connection) => pool.idle.push(connection),
                        None => pool.total -= 1,
                    }
                }
                record(&mut report.lock().unwrap_or_else(PoisonError::into_inner));
            });
        }
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner).clone();
    (report.due, report.elapsed) = (due, start.elapsed().min(load.duration.max(Duration::from_millis(1))));
    report.served_ms.sort_by(f64::total_cmp);
    report.refused_ms.sort_by(f64::total_cmp);
    report
}

type RecordOutcome = Box<dyn FnOnce(&mut LoadReport) + Send>;

async fn send_request(
    addr: SocketAddr,
    connection: Option<Connection>,
    request: &ClientRequest,
    due: Instant,
) -> (Option<Connection>, RecordOutcome) {
    let mut connection = connection;
    // A connection that the node closed between requests is replaced once, as HTTP allows.
    for fresh in [false, true] {
        let mut open = match connection.take() {
            Some(idle) => idle,
            None => match Connection::open(addr).await {
                Ok(opened) => opened,
                Err(_) => return (None, Box::new(|report| report.not_connected += 1)),
            },
        };
        let sent = Instant::now();
        match open.send_request(request).await {
            Ok(response) => {
                let status = response.status.as_u16();
                let ms = |since: Instant| since.elapsed().as_secs_f64() * 1e3;
                let (from_due, from_sent) = (ms(due), ms(sent));
                let in_time = sent.elapsed() <= request.timeout;
                let keep = response.headers.get("connection").is_none_or(|value| value != "close");
                let record = move |report: &mut LoadReport| {
                    report.sent += 1;
                    match status {
                        _ if !in_time => report.lost += 1,
                        200 => {
                            report.served += 1;
                            report.served_ms.push(from_due);
                        }
                        429 | 503 => {
                            report.refused += 1;
                            report.refused_ms.push(from_sent);
                        }
                        _ => report.failed += 1,
                    }
                };
                return (Some(open).filter(|_| keep), Box::new(record));
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock && !fresh => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                return (None, Box::new(|report| report.not_connected += 1));
            }
            Err(_) => {
                let record = |report: &mut LoadReport| {
                    report.sent += 1;
                    report.lost += 1;
                };
                return (None, Box::new(record));
            }
        }
    }
    (None, Box::new(|report| report.not_connected += 1))
}
