//! Client side of the commands `woodgap fleet` and `woodgap drain`: sends operators' requests to the
//! administration API of a running node and prints the responses.

use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Time limit of a request to the administration API.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Poll interval while a drain is in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Node that a command addresses, and the token it uses.
#[derive(Args, Debug)]
pub(crate) struct AdminTarget {
    /// Configuration file of the node, which names the address of its administration API and its token file.
    #[arg(long, global = true)]
    config: Option<PathBuf>,
    /// Address of the administration API, overriding the configuration.
    #[arg(long, global = true)]
    admin: Option<SocketAddr>,
    /// File that holds only the secret of an operator's token, overriding the token file of the
    /// configuration.
    #[arg(long, global = true)]
    secret_file: Option<PathBuf>,
}

/// Change to the fleet that an operator requests.
#[derive(Subcommand, Debug)]
pub(crate) enum FleetCommand {
    /// Cancels the permit request of a node that has not begun to drain.
    Cancel {
        /// Name of the node.
        node: String,
    },
    /// Grants a node its permit even if that exceeds the budgets.
    Force {
        /// Name of the node.
        node: String,
        /// Reason, which is recorded.
        #[arg(long)]
        reason: String,
    },
    /// Ends the permit of a node that will not return.
    Forget {
        /// Name of the node.
        node: String,
        /// Reason, which is recorded.
        #[arg(long)]
        reason: String,
    },
    /// Removes a node from the roster permanently.
    Strike {
        /// Name of the node.
        node: String,
        /// Reason, which is recorded.
        #[arg(long)]
        reason: String,
    },
    /// Stops granting permits.
    Freeze {
        /// Reason, which is recorded.
        #[arg(long)]
        reason: String,
    },
    /// Resumes granting permits.
    Thaw,
    /// Shows the limits, or replaces them.
    Bounds {
        /// Budget as `SCOPE=MOST[,LEAST_UP]`, such as "fleet=10%,3" or "zone a=1". Replaces all budgets;
        /// repeat it for each.
        #[arg(long = "budget")]
        budgets: Vec<String>,
        /// How long a returning node still counts as out, in milliseconds.
        #[arg(long)]
        hold_ms: Option<u64>,
        /// How long a granted permit stays valid before its node begins to drain, in milliseconds.
        #[arg(long)]
        act_ms: Option<u64>,
    },
}

/// Client of the administration API of one node.
struct AdminClient {
    addr: SocketAddr,
    secret: String,
}

/// Response of the administration API; the body is null unless it is JSON.
struct AdminResponse {
    status: StatusCode,
    etag: Option<String>,
    body: Value,
}

impl AdminTarget {
    fn client(&self) -> Result<AdminClient, Box<dyn Error>> {
        let config = self.config.as_deref().map(crate::cli::read_config).transpose()?;
        let admin = config.as_ref().and_then(|config| config.admin.as_ref());
        let addr = self.admin.or(admin.map(|admin| admin.listen));
        let addr = addr.ok_or("give --config FILE, of a node with [admin], or --admin ADDRESS")?;
        if addr.port() == 0 {
            return Err("the configuration leaves the port of [admin] open: give --admin ADDRESS".into());
        }
        let secret = match (&self.secret_file, admin) {
            (Some(file), _) => {
                let text = std::fs::read_to_string(file);
                text.map_err(|error| format!("{}: {error}", file.display()))?.trim().to_owned()
            }
            (None, Some(admin)) => operator_secret(&admin.token_file)?,
            (None, None) => {
                return Err("give --config FILE, of a node with [admin], or --secret-file FILE".into())
            }
        };
        Ok(AdminClient { addr, secret })
    }
}

/// Reads the secret of the first operator's token in a token file.
fn operator_secret(path: &Path) -> Result<String, Box<dyn Error>> {
    let location = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("token file {location}: {error}"))?;
    // Only `message()` is used: the full error text quotes the line, which may hold a secret.
    let file: toml::Table =
        toml::from_str(&text).map_err(|error| format!("token file {location}: {}", error.message()))?;
    let tokens = file.get("token").and_then(|tokens| tokens.as_array());
    let operator = tokens
        .into_iter()
        .flatten()
        .find(|token| token.get("right").and_then(|right| right.as_str()) == Some("operator"));
    let secret = operator.and_then(|token| token.get("secret")?.as_str());
    secret
        .map(str::to_owned)
        .ok_or_else(|| format!("token file {location}: it has no operator's token").into())
}

impl AdminClient {
    async fn send(
        &self,
        method: Method,
        path: &str,
        if_match: Option<&str>,
        body: Option<Value>,
    ) -> Result<AdminResponse, Box<dyn Error>> {
        let exchange = async {
            let stream = TcpStream::connect(self.addr).await?;
            let (mut sender, connection) =
                hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            let connection = tokio::spawn(connection);
            let mut request = Request::builder()
                .method(method)
                .uri(path)
                .header("host", self.addr.to_string())
                .header("authorization", format!("Bearer {}", self.secret));
            if let Some(if_match) = if_match {
                request = request.header("if-match", if_match);
            }
            if body.is_some() {
                request = request.header("content-type", "application/json");
            }
            let body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
            let response = sender.send_request(request.body(Full::new(body))?).await?;
            let status = response.status();
            let etag = response.headers().get("etag").and_then(|tag| tag.to_str().ok()).map(str::to_owned);
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            connection.abort();
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            Ok::<_, Box<dyn Error>>(AdminResponse { status, etag, body })
        };
        let response = timeout(REQUEST_TIMEOUT, exchange).await;
        let response = response
            .map_err(|_| format!("{}: no answer within {} s", self.addr, REQUEST_TIMEOUT.as_secs()))?;
        response.map_err(|error| format!("{}: {error}", self.addr).into())
    }

    /// Sends a request and returns an error unless the response status is a success.
    async fn send_expecting_success(
        &self,
        method: Method,
        path: &str,
        if_match: Option<&str>,
        body: Option<Value>,
    ) -> Result<AdminResponse, Box<dyn Error>> {
        let response = self.send(method, path, if_match, body).await?;
        if response.status.is_success() {
            return Ok(response);
        }
        let detail = response.body.get("detail").and_then(Value::as_str).unwrap_or("no reason was given");
        Err(format!("{}: {detail}", response.status.as_u16()).into())
    }
}

fn run<T>(work: impl std::future::Future<Output = Result<T, Box<dyn Error>>>) -> Result<T, Box<dyn Error>> {
    crate::hosted::runtime()?.block_on(work)
}

/// Runs `woodgap fleet`: shows the fleet or requests a change.
pub(crate) fn fleet(
    node: &AdminTarget,
    command: Option<FleetCommand>,
    json: bool,
) -> Result<(), Box<dyn Error>> {
    let client = node.client()?;
    run(async {
        let Some(command) = command else {
            let response = client.send_expecting_success(Method::GET, "/v1/fleet", None, None).await?;
            if json {
                println!("{}", serde_json::to_string_pretty(&response.body)?);
            } else {
                print!("{}", table(&response.body));
            }
            return Ok(());
        };
        let reason = |reason: &str| Some(json!({ "reason": reason }));
        let (method, path, body) = match &command {
            FleetCommand::Cancel { node } => (Method::DELETE, format!("/v1/fleet/permits/{node}"), None),
            FleetCommand::Force { node, reason: why } => {
                (Method::POST, format!("/v1/fleet/permits/{node}/force"), reason(why))
            }
            FleetCommand::Forget { node, reason: why } => {
                (Method::POST, format!("/v1/fleet/permits/{node}/forget"), reason(why))
            }
            FleetCommand::Strike { node, reason: why } => {
                (Method::POST, format!("/v1/fleet/members/{node}/strike"), reason(why))
            }
            FleetCommand::Freeze { reason: why } => (Method::PUT, "/v1/fleet/freeze".to_owned(), reason(why)),
            FleetCommand::Thaw => (Method::DELETE, "/v1/fleet/freeze".to_owned(), None),
            FleetCommand::Bounds { budgets, hold_ms, act_ms } => {
                return change_limits(&client, budgets, *hold_ms, *act_ms).await;
            }
        };
        client.send_expecting_success(method, &path, None, body).await?;
        Ok(())
    })
}

/// Prints the ledger limits, or replaces the ones that are given.
async fn change_limits(
    client: &AdminClient,
    budgets: &[String],
    hold_ms: Option<u64>,
    act_ms: Option<u64>,
) -> Result<(), Box<dyn Error>> {
    let path = "/v1/fleet/bounds";
    let AdminResponse { mut body, etag, .. } =
        client.send_expecting_success(Method::GET, path, None, None).await?;
    if budgets.is_empty() && hold_ms.is_none() && act_ms.is_none() {
        println!("{}", serde_json::to_string_pretty(&body)?);
        return Ok(());
    }
    if !budgets.is_empty() {
        let budgets: Result<Vec<Value>, String> = budgets.iter().map(|text| budget(text)).collect();
        body["budgets"] = budgets?.into();
    }
    for (key, given) in [("hold_ms", hold_ms), ("act_ms", act_ms)] {
        if let Some(given) = given {
            body[key] = given.into();
        }
    }
    client.send_expecting_success(Method::PUT, path, etag.as_deref(), Some(body)).await?;
    Ok(())
}

/// Parses a budget of the form `SCOPE=MOST[,LEAST_UP]`.
fn budget(text: &str) -> Result<Value, String> {
    let syntax_error =
        || format!("'{text}': write SCOPE=MOST or SCOPE=MOST,LEAST_UP, such as \"zone a=10%,2\"");
    let (scope, rest) = text.split_once('=').ok_or_else(syntax_error)?;
    let (max_out, min_up) = rest.split_once(',').unwrap_or((rest, "0"));
    let min_up: u32 = min_up.trim().parse().map_err(|_| syntax_error())?;
    Ok(json!({ "scope": scope.trim(), "most_out": max_out.trim(), "least_up": min_up }))
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value.get(key).and_then(Value::as_str).unwrap_or("")
}

fn joined_names(value: &Value, key: &str) -> String {
    let names = value.get(key).and_then(Value::as_array);
    let names: Vec<&str> = names.into_iter().flatten().filter_map(Value::as_str).collect();
    names.join(", ")
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Writes rows in columns that are each as wide as their widest cell.
fn columns(out: &mut String, rows: &[Vec<String>]) {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width_of =
        |column: usize| rows.iter().filter_map(|row| row.get(column)).map(|t| t.chars().count()).max();
    let widths: Vec<usize> = (0..count).map(|column| width_of(column).unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
}

/// Formats the response to `GET /v1/fleet` as text for operators.
fn table(fleet: &Value) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "seen by {}: {}", text(fleet, "me"), text(fleet, "standing"));
    let permits = fleet.get("permits");
    let permit_of = |name: &str| {
        let lines = list(permits.unwrap_or(&Value::Null), "permits");
        lines.iter().find(|permit| text(permit, "holder") == name)
    };
    let head = ["NODE", "ZONE", "LIFE", "PHASE", "PERMIT", "VERSION", "CONFIG"].map(str::to_owned);
    let mut rows = vec![head.to_vec()];
    for member in list(fleet, "members") {
        let cell = |key: &str| text(member, key).to_owned();
        let permit = permit_of(text(member, "name")).map_or("-", |permit| text(permit, "phase"));
        let mut row = vec![cell("name"), cell("zone"), cell("life"), cell("phase"), permit.to_owned()];
        row.extend([cell("version"), cell("config")]);
        for cell in &mut row {
            if cell.is_empty() {
                cell.push('-');
            }
        }
        rows.push(row);
    }
    columns(&mut out, &rows);
    let Some(permits) = permits else { return out };
    let is_set = |key: &str| permits.get(key).and_then(Value::as_bool) == Some(true);
    let _ = writeln!(out);
    if is_set("stale") {
        let _ = writeln!(
            out,
            "the coordination service is out of reach: nothing is granted, and this may be old"
        );
    }
    if is_set("unsure") {
        let _ = writeln!(out, "this node can't tell who is up, and grants nothing");
    }
    if !text(permits, "frozen").is_empty() {
        let _ = writeln!(out, "frozen: {}", text(permits, "frozen"));
    }
    let mut rows = vec![["BUDGET", "MOST OUT", "LEAST UP", "OUT"].map(str::to_owned).to_vec()];
    for budget in list(permits, "budgets") {
        let out = match budget.get("out") {
            Some(_) => joined_names(budget, "out"),
            None => "not known".to_owned(),
        };
        let least = budget.get("least_up").map(Value::to_string).unwrap_or_default();
        rows.push(vec![text(budget, "scope").to_owned(), text(budget, "most_out").to_owned(), least, out]);
    }
    columns(&mut out, &rows);
    for permit in list(permits, "permits").iter().filter(|permit| permit.get("blocked").is_some()) {
        let blocked = &permit["blocked"];
        let by = joined_names(blocked, "by");
        let why = match blocked.get("budget").and_then(Value::as_str) {
            Some(budget) => format!("{budget} allows {} out, and out are {by}", blocked["allowed"]),
            None => by,
        };
        let _ = writeln!(out, "{} waits: {why}", text(permit, "holder"));
    }
    for kept in list(permits, "kept") {
        let _ = writeln!(out, "{}: {}", text(kept, "holder"), text(kept, "what"));
    }
    out
}

/// Runs `woodgap drain`: drains the addressed node and prints its progress.
pub(crate) fn drain(node: &AdminTarget, cancel: bool, wait_s: u64) -> Result<(), Box<dyn Error>> {
    let client = node.client()?;
    run(async {
        if cancel {
            client.send_expecting_success(Method::DELETE, "/v1/drain", None, None).await?;
            println!("taken back, where it had not begun");
            return Ok(());
        }
        client.send_expecting_success(Method::PUT, "/v1/drain", None, None).await?;
        let deadline = Instant::now() + Duration::from_secs(wait_s);
        let mut last_shown = String::new();
        loop {
            let now = match client.send(Method::GET, "/v1/fleet", None, None).await {
                Ok(response) if response.status.is_success() => progress(&response.body),
                // A node without a fleet drains immediately.
                Ok(_) => "drains".to_owned(),
                // The node no longer accepts connections.
                Err(_) => {
                    println!("it has ended");
                    return Ok(());
                }
            };
            if now != last_shown {
                println!("{now}");
                last_shown = now;
            }
            if last_shown.starts_with("stays") {
                return Err("the drain was taken back".into());
            }
            if Instant::now() >= deadline {
                return Err(
                    format!("not ended within {wait_s} s: {last_shown}; it goes on all the same").into()
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })
}

/// Runs `woodgap drain --server`: drains a server at all nodes and prints its progress.
pub(crate) fn drain_server(
    node: &AdminTarget,
    server: SocketAddr,
    reason: Option<String>,
    cancel: bool,
    wait_s: u64,
) -> Result<(), Box<dyn Error>> {
    let client = node.client()?;
    run(async {
        let path = format!("/v1/servers/{server}/drain");
        if cancel {
            client.send_expecting_success(Method::DELETE, &path, None, None).await?;
            println!("{server} is taken back, cold at all nodes");
            return Ok(());
        }
        let reason = reason.ok_or("say why: --reason TEXT")?;
        client.send_expecting_success(Method::PUT, &path, None, Some(json!({ "reason": reason }))).await?;
        let deadline = Instant::now() + Duration::from_secs(wait_s);
        let mut last_shown = String::new();
        loop {
            let response = client.send_expecting_success(Method::GET, "/v1/servers", None, None).await;
            let now = match &response {
                Ok(response) => {
                    let address = server.to_string();
                    let lines = list(&response.body, "servers");
                    let line = lines.iter().find(|line| text(line, "address") == address);
                    match line.map(|line| (text(line, "state"), joined_names(line, "nodes"))) {
                        Some(("safe", _)) => {
                            println!("safe to stop");
                            return Ok(());
                        }
                        Some(("waits", nodes)) => format!("waits for {nodes}"),
                        Some(("not_known", nodes)) => format!("not known: {nodes}"),
                        _ => return Err("the drain was taken back".into()),
                    }
                }
                Err(error) => error.to_string(),
            };
            if now != last_shown {
                println!("{now}");
                last_shown = now;
            }
            if Instant::now() >= deadline {
                return Err(format!("not safe to stop within {wait_s} s: {last_shown}").into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })
}

/// Describes the progress of a node's drain, from its response to `GET /v1/fleet`.
fn progress(fleet: &Value) -> String {
    let me = text(fleet, "me");
    if fleet.get("drains").and_then(Value::as_bool) != Some(true) {
        return format!("stays: {me} is not told to drain any more");
    }
    let Some(permits) = fleet.get("permits") else { return format!("{me} drains") };
    let Some(permit) = list(permits, "permits").iter().find(|permit| text(permit, "holder") == me) else {
        return format!("{me} asks");
    };
    let blocked = permit.get("blocked").filter(|_| text(permit, "phase") == "asked");
    match blocked {
        Some(blocked) => match blocked.get("budget").and_then(Value::as_str) {
            Some(budget) => {
                let (allowed, by) = (&blocked["allowed"], joined_names(blocked, "by"));
                format!("{me} waits: {budget} allows {allowed} out, and out are {by}")
            }
            None => format!("{me} waits: {}", joined_names(blocked, "by")),
        },
        None => format!("{me}: {}", text(permit, "phase")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn budget_option_is_parsed_and_malformed_ones_are_refused() {
        let read = budget("zone a=10%,2").unwrap();
        assert_eq!(read, json!({"scope": "zone a", "most_out": "10%", "least_up": 2}));
        assert_eq!(budget("fleet=3").unwrap()["least_up"], 0);
        assert!(budget("fleet").unwrap_err().contains("write SCOPE=MOST"));
        assert!(budget("fleet=3,many").is_err());
    }

    #[test]
    fn fleet_table_shows_blocked_requests_and_missing_members() {
        let shown = table(&json!({
            "me": "n1", "standing": "together", "drains": false,
            "members": [
                {"name": "n1", "zone": "a", "life": "alive", "phase": "ready", "version": "0.2.0", "config": "1"},
                {"name": "n2", "zone": "a", "life": "missing"},
            ],
            "permits": {
                "stale": false, "unsure": false, "hold_ms": 1, "act_ms": 1, "kept": [],
                "budgets": [{"scope": "fleet", "most_out": "1", "least_up": 1, "out": ["n2"]}],
                "permits": [{"holder": "n1", "phase": "asked", "since_ms": 1, "fence": 0,
                    "blocked": {"budget": "fleet", "allowed": 1, "by": ["n2"]}}],
            },
        }));
        assert!(shown.contains("n2    a     missing  -      -"), "{shown}");
        assert!(shown.contains("n1 waits: fleet allows 1 out, and out are n2"), "{shown}");
    }
}
