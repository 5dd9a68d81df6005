//! What operators ask of a node that runs, over its administration API: `woodgap fleet`, `woodgap drain`.

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

/// For an answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// Bytes of an answer, at most.
const LONGEST: usize = 16 << 20;
/// How often a drain is looked at.
const LOOK: Duration = Duration::from_millis(500);

/// Which node is asked, and by whom.
#[derive(Args, Debug)]
pub(crate) struct Node {
    /// Its configuration, which says where its administration API and its tokens are.
    #[arg(long, global = true)]
    config: Option<PathBuf>,
    /// Where its administration API is, in place of what the configuration says.
    #[arg(long, global = true)]
    admin: Option<SocketAddr>,
    /// A file with the secret of an operator's token alone, in place of the tokens that the configuration names.
    #[arg(long, global = true)]
    secret_file: Option<PathBuf>,
}

/// What is changed.
#[derive(Subcommand, Debug)]
pub(crate) enum What {
    /// Takes back what a node asked for and has not begun.
    Cancel {
        /// The node.
        node: String,
    },
    /// Lets a node go over the budgets.
    Force {
        /// The node.
        node: String,
        /// Why: it is kept.
        #[arg(long)]
        reason: String,
    },
    /// Ends the permit of a node that will not come back.
    Forget {
        /// The node.
        node: String,
        /// Why: it is kept.
        #[arg(long)]
        reason: String,
    },
    /// Takes a node off the roster for good.
    Strike {
        /// The node.
        node: String,
        /// Why: it is kept.
        #[arg(long)]
        reason: String,
    },
    /// Grants nothing more.
    Freeze {
        /// Why: it is kept.
        #[arg(long)]
        reason: String,
    },
    /// Grants again.
    Thaw,
    /// Shows the bounds, or gives others.
    Bounds {
        /// A budget, `SCOPE=MOST[,LEAST_UP]`: "fleet=10%,3", "zone a=1". All that are to hold.
        #[arg(long = "budget")]
        budgets: Vec<String>,
        /// How long a return is held, in milliseconds.
        #[arg(long)]
        hold_ms: Option<u64>,
        /// How long a grant may wait for its node to begin, in milliseconds.
        #[arg(long)]
        act_ms: Option<u64>,
    },
}

struct Asker {
    addr: SocketAddr,
    secret: String,
}

struct Answer {
    status: StatusCode,
    etag: Option<String>,
    body: Value,
}

impl Node {
    fn asker(&self) -> Result<Asker, Box<dyn Error>> {
        let config = self.config.as_deref().map(crate::cli::read).transpose()?;
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
            (None, Some(admin)) => operators(&admin.token_file)?,
            (None, None) => {
                return Err("give --config FILE, of a node with [admin], or --secret-file FILE".into())
            }
        };
        Ok(Asker { addr, secret })
    }
}

/// The secret of the first operator in a file of tokens.
fn operators(path: &Path) -> Result<String, Box<dyn Error>> {
    let at = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("token file {at}: {error}"))?;
    // The library's message quotes the line, which may hold a secret.
    let file: toml::Table =
        toml::from_str(&text).map_err(|error| format!("token file {at}: {}", error.message()))?;
    let tokens = file.get("token").and_then(|tokens| tokens.as_array());
    let operator = tokens
        .into_iter()
        .flatten()
        .find(|token| token.get("right").and_then(|right| right.as_str()) == Some("operator"));
    let secret = operator.and_then(|token| token.get("secret")?.as_str());
    secret.map(str::to_owned).ok_or_else(|| format!("token file {at}: it has no operator's token").into())
}

impl Asker {
    async fn ask(
        &self,
        method: Method,
        path: &str,
        seen: Option<&str>,
        body: Option<Value>,
    ) -> Result<Answer, Box<dyn Error>> {
        let asked = async {
            let stream = TcpStream::connect(self.addr).await?;
            let (mut sender, connection) =
                hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            let connection = tokio::spawn(connection);
            let mut request = Request::builder()
                .method(method)
                .uri(path)
                .header("host", self.addr.to_string())
                .header("authorization", format!("Bearer {}", self.secret));
            if let Some(seen) = seen {
                request = request.header("if-match", seen);
            }
            if body.is_some() {
                request = request.header("content-type", "application/json");
            }
            let body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
            let response = sender.send_request(request.body(Full::new(body))?).await?;
            let status = response.status();
            let etag = response.headers().get("etag").and_then(|tag| tag.to_str().ok()).map(str::to_owned);
            let body = Limited::new(response.into_body(), LONGEST).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            connection.abort();
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            Ok::<_, Box<dyn Error>>(Answer { status, etag, body })
        };
        let answer = timeout(PATIENCE, asked).await;
        let answer =
            answer.map_err(|_| format!("{}: no answer within {} s", self.addr, PATIENCE.as_secs()))?;
        answer.map_err(|error| format!("{}: {error}", self.addr).into())
    }

    /// The same, where anything but success is an error.
    async fn done(
        &self,
        method: Method,
        path: &str,
        seen: Option<&str>,
        body: Option<Value>,
    ) -> Result<Answer, Box<dyn Error>> {
        let answer = self.ask(method, path, seen, body).await?;
        if answer.status.is_success() {
            return Ok(answer);
        }
        let detail = answer.body.get("detail").and_then(Value::as_str).unwrap_or("no reason was given");
        Err(format!("{}: {detail}", answer.status.as_u16()).into())
    }
}

fn run<T>(work: impl std::future::Future<Output = Result<T, Box<dyn Error>>>) -> Result<T, Box<dyn Error>> {
    crate::hosted::runtime()?.block_on(work)
}

/// `woodgap fleet`.
pub(crate) fn fleet(node: &Node, what: Option<What>, json: bool) -> Result<(), Box<dyn Error>> {
    let asker = node.asker()?;
    run(async {
        let Some(what) = what else {
            let answer = asker.done(Method::GET, "/v1/fleet", None, None).await?;
            if json {
                println!("{}", serde_json::to_string_pretty(&answer.body)?);
            } else {
                print!("{}", table(&answer.body));
            }
            return Ok(());
        };
        let reason = |reason: &str| Some(json!({ "reason": reason }));
        let (method, path, body) = match &what {
            What::Cancel { node } => (Method::DELETE, format!("/v1/fleet/permits/{node}"), None),
            What::Force { node, reason: why } => {
                (Method::POST, format!("/v1/fleet/permits/{node}/force"), reason(why))
            }
            What::Forget { node, reason: why } => {
                (Method::POST, format!("/v1/fleet/permits/{node}/forget"), reason(why))
            }
            What::Strike { node, reason: why } => {
                (Method::POST, format!("/v1/fleet/members/{node}/strike"), reason(why))
            }
            What::Freeze { reason: why } => (Method::PUT, "/v1/fleet/freeze".to_owned(), reason(why)),
            What::Thaw => (Method::DELETE, "/v1/fleet/freeze".to_owned(), None),
            What::Bounds { budgets, hold_ms, act_ms } => {
                return bounds(&asker, budgets, *hold_ms, *act_ms).await;
            }
        };
        asker.done(method, &path, None, body).await?;
        Ok(())
    })
}

async fn bounds(
    asker: &Asker,
    budgets: &[String],
    hold_ms: Option<u64>,
    act_ms: Option<u64>,
) -> Result<(), Box<dyn Error>> {
    let path = "/v1/fleet/bounds";
    let Answer { mut body, etag, .. } = asker.done(Method::GET, path, None, None).await?;
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
    asker.done(Method::PUT, path, etag.as_deref(), Some(body)).await?;
    Ok(())
}

/// `SCOPE=MOST[,LEAST_UP]`.
fn budget(text: &str) -> Result<Value, String> {
    let wrong = || format!("'{text}': write SCOPE=MOST or SCOPE=MOST,LEAST_UP, such as \"zone a=10%,2\"");
    let (scope, rest) = text.split_once('=').ok_or_else(wrong)?;
    let (most, least) = rest.split_once(',').unwrap_or((rest, "0"));
    let least: u32 = least.trim().parse().map_err(|_| wrong())?;
    Ok(json!({ "scope": scope.trim(), "most_out": most.trim(), "least_up": least }))
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value.get(key).and_then(Value::as_str).unwrap_or("")
}

fn names(value: &Value, key: &str) -> String {
    let names = value.get(key).and_then(Value::as_array);
    let names: Vec<&str> = names.into_iter().flatten().filter_map(Value::as_str).collect();
    names.join(", ")
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Columns as wide as their widest entry.
fn columns(out: &mut String, rows: &[Vec<String>]) {
    let many = rows.iter().map(Vec::len).max().unwrap_or(0);
    let wide = |column: usize| rows.iter().filter_map(|row| row.get(column)).map(|t| t.chars().count()).max();
    let widths: Vec<usize> = (0..many).map(|column| wide(column).unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
}

/// What `GET /v1/fleet` says, for people.
fn table(fleet: &Value) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "seen by {}: {}", text(fleet, "me"), text(fleet, "standing"));
    let permits = fleet.get("permits");
    let of = |name: &str| {
        let lines = list(permits.unwrap_or(&Value::Null), "permits");
        lines.iter().find(|permit| text(permit, "holder") == name)
    };
    let head = ["NODE", "ZONE", "LIFE", "PHASE", "PERMIT", "VERSION", "CONFIG"].map(str::to_owned);
    let mut rows = vec![head.to_vec()];
    for member in list(fleet, "members") {
        let cell = |key: &str| text(member, key).to_owned();
        let permit = of(text(member, "name")).map_or("-", |permit| text(permit, "phase"));
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
    let is = |key: &str| permits.get(key).and_then(Value::as_bool) == Some(true);
    let _ = writeln!(out);
    if is("stale") {
        let _ = writeln!(
            out,
            "the coordination service is out of reach: nothing is granted, and this may be old"
        );
    }
    if is("unsure") {
        let _ = writeln!(out, "this node can't tell who is up, and grants nothing");
    }
    if !text(permits, "frozen").is_empty() {
        let _ = writeln!(out, "frozen: {}", text(permits, "frozen"));
    }
    let mut rows = vec![["BUDGET", "MOST OUT", "LEAST UP", "OUT"].map(str::to_owned).to_vec()];
    for budget in list(permits, "budgets") {
        let out = match budget.get("out") {
            Some(_) => names(budget, "out"),
            None => "not known".to_owned(),
        };
        let least = budget.get("least_up").map(Value::to_string).unwrap_or_default();
        rows.push(vec![text(budget, "scope").to_owned(), text(budget, "most_out").to_owned(), least, out]);
    }
    columns(&mut out, &rows);
    for permit in list(permits, "permits").iter().filter(|permit| permit.get("blocked").is_some()) {
        let blocked = &permit["blocked"];
        let by = names(blocked, "by");
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

/// `woodgap drain`.
pub(crate) fn drain(node: &Node, cancel: bool, wait_s: u64) -> Result<(), Box<dyn Error>> {
    let asker = node.asker()?;
    run(async {
        if cancel {
            asker.done(Method::DELETE, "/v1/drain", None, None).await?;
            println!("taken back, where it had not begun");
            return Ok(());
        }
        asker.done(Method::PUT, "/v1/drain", None, None).await?;
        let until = Instant::now() + Duration::from_secs(wait_s);
        let mut told = String::new();
        loop {
            let now = match asker.ask(Method::GET, "/v1/fleet", None, None).await {
                Ok(answer) if answer.status.is_success() => progress(&answer.body),
                // One of no fleet drains at once.
                Ok(_) => "drains".to_owned(),
                // It listens no more.
                Err(_) => {
                    println!("it has ended");
                    return Ok(());
                }
            };
            if now != told {
                println!("{now}");
                told = now;
            }
            if told.starts_with("stays") {
                return Err("the drain was taken back".into());
            }
            if Instant::now() >= until {
                return Err(format!("not ended within {wait_s} s: {told}; it goes on all the same").into());
            }
            tokio::time::sleep(LOOK).await;
        }
    })
}

/// `woodgap drain --server`.
pub(crate) fn drain_server(
    node: &Node,
    server: SocketAddr,
    reason: Option<String>,
    cancel: bool,
    wait_s: u64,
) -> Result<(), Box<dyn Error>> {
    let asker = node.asker()?;
    run(async {
        let path = format!("/v1/servers/{server}/drain");
        if cancel {
            asker.done(Method::DELETE, &path, None, None).await?;
            println!("{server} is taken back, cold at all nodes");
            return Ok(());
        }
        let reason = reason.ok_or("say why: --reason TEXT")?;
        asker.done(Method::PUT, &path, None, Some(json!({ "reason": reason }))).await?;
        let until = Instant::now() + Duration::from_secs(wait_s);
        let mut told = String::new();
        loop {
            let answer = asker.done(Method::GET, "/v1/servers", None, None).await;
            let now = match &answer {
                Ok(answer) => {
                    let address = server.to_string();
                    let lines = list(&answer.body, "servers");
                    let line = lines.iter().find(|line| text(line, "address") == address);
                    match line.map(|line| (text(line, "state"), names(line, "nodes"))) {
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
            if now != told {
                println!("{now}");
                told = now;
            }
            if Instant::now() >= until {
                return Err(format!("not safe to stop within {wait_s} s: {told}").into());
            }
            tokio::time::sleep(LOOK).await;
        }
    })
}

/// How far a node's drain is, from what it says of the fleet.
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
                let (allowed, by) = (&blocked["allowed"], names(blocked, "by"));
                format!("{me} waits: {budget} allows {allowed} out, and out are {by}")
            }
            None => format!("{me} waits: {}", names(blocked, "by")),
        },
        None => format!("{me}: {}", text(permit, "phase")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_budget_is_read_with_its_faults() {
        let read = budget("zone a=10%,2").unwrap();
        assert_eq!(read, json!({"scope": "zone a", "most_out": "10%", "least_up": 2}));
        assert_eq!(budget("fleet=3").unwrap()["least_up"], 0);
        assert!(budget("fleet").unwrap_err().contains("write SCOPE=MOST"));
        assert!(budget("fleet=3,many").is_err());
    }

    #[test]
    fn the_table_says_who_waits_for_what() {
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
