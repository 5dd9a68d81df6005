//! Parses the lines of the simulator's protocol into events and writes actions as lines.

use std::collections::HashMap;
use std::io::{self, Write};
use std::rc::Rc;
use std::str::FromStr;

use base64::{engine::general_purpose::STANDARD, Engine};
use woodgap_decisions::{
    Action, CellId, ClassId, Closed, Event, Key, ListedServer, Outcome, Request, RequestId, ServerId,
    SyncKind, TenantId, TimerId,
};

use woodgap_decisions::settings::{
    kind_id, parse_finite, parse_number, parse_server_state, zone_id, ClassTenantNames, SettingsError,
};

/// The fields of a line, read from left to right.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// The fields of `line`, separated by spaces.
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// The next field; `-` or an empty field counts as absent.
    fn next_field(&mut self, name: &str) -> Result<Option<&'a str>, SettingsError> {
        let rest = self.rest.ok_or_else(|| SettingsError::new(format!("field '{name}' is missing")))?;
        let (field, rest) = match rest.split_once(' ') {
            Some((field, rest)) => (field, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok((field != "-" && !field.is_empty()).then_some(field))
    }

    /// The next field as text; it must not be absent.
    pub fn text(&mut self, name: &str) -> Result<&'a str, SettingsError> {
        self.next_field(name)?.ok_or_else(|| SettingsError::new(format!("field '{name}' is empty")))
    }

    /// The next field as a number, if it is present.
    pub fn optional<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, SettingsError> {
        self.next_field(name)?.map(|text| parse_number(text, name)).transpose()
    }

    /// The next field as a number; it must not be absent.
    pub fn number<T: FromStr>(&mut self, name: &str) -> Result<T, SettingsError> {
        parse_number(self.text(name)?, name)
    }

    fn flag(&mut self, name: &str) -> Result<bool, SettingsError> {
        match self.next_field(name)? {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(SettingsError::new(format!("field '{name}': '{other}' is not a boolean"))),
        }
    }

    fn request_id(&mut self) -> Result<RequestId, SettingsError> {
        let text = self.text("msg-id")?;
        let id_bytes = text.as_bytes().try_into().map_err(|_| {
            SettingsError::new(format!("field 'msg-id': '{text}' does not have 36 characters"))
        })?;
        Ok(RequestId(id_bytes))
    }

    /// The next field as a load report: numbers separated by commas.
    fn load(&mut self) -> Result<Vec<f64>, SettingsError> {
        match self.next_field("load")? {
            None => Ok(Vec::new()),
            Some(text) => text.split(',').map(|value| parse_finite(value, "load")).collect(),
        }
    }

    /// All remaining fields.
    pub fn rest(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    /// Fails if any fields remain.
    pub fn end(&mut self) -> Result<(), SettingsError> {
        match self.rest.take() {
            None => Ok(()),
            Some(rest) => Err(SettingsError::new(format!("more fields than expected: '{rest}'"))),
        }
    }
}

/// Parses an `M` line, one entry of a server list.
pub fn parse_list_entry(line: &str) -> Result<ListedServer, SettingsError> {
    let mut fields = Fields::new(line);
    match fields.text("message")? {
        "M" => {}
        other => return Err(SettingsError::new(format!("expected a list entry, found '{other}'"))),
    }
    let server = ServerId::from_number(fields.number("server")?);
    let zone = zone_id(fields.next_field("campus")?.unwrap_or(""));
    let kind = kind_id(fields.next_field("kind")?.unwrap_or(""));
    let cell = CellId(fields.optional("cluster")?.unwrap_or(0));
    let state = fields.text("state")?;
    let state = parse_server_state(state)
        .ok_or_else(|| SettingsError::new(format!("field 'state': '{state}' is unknown")))?;
    let weight = fields.next_field("size")?.map_or(Ok(1.0), |text| parse_finite(text, "size"))?;
    let started_at = fields.optional("since")?.unwrap_or(0);
    fields.end()?;
    Ok(ListedServer { server, zone, cell, kind, state, weight, started_at })
}

fn parse_outcome(text: &str) -> Result<Outcome, SettingsError> {
    Ok(match text {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::Moot,
        other => return Err(SettingsError::new(format!("field 'reason': '{other}' is unknown"))),
    })
}

/// Parses an event of a node, whose message name has been read already.
pub fn parse_event(
    message: &str,
    fields: &mut Fields<'_>,
    names: &ClassTenantNames,
    server_lists: &HashMap<u64, Rc<Vec<ListedServer>>>,
) -> Result<Event, SettingsError> {
    Ok(match message {
        "QUERY" => Event::Request(parse_request(fields, names)?),
        "CLOSED_ATTEMPT" => Event::Closed(Closed {
            id: fields.request_id()?,
            attempt: fields.number("n")?,
            server: ServerId::from_number(fields.number("server")?),
            outcome: parse_outcome(fields.text("reason")?)?,
            elapsed: fields.optional("spent")?.unwrap_or(0),
            done: fields.flag("done-flag")?,
            load: fields.load()?,
        }),
        "TIMEOUT_FIRED" => Event::Timer(TimerId(fields.number("ctx")?)),
        "LAPSED" => Event::Lapsed(fields.request_id()?),
        "SYNC" => parse_sync(fields, server_lists)?,
        "STATUS_BACK" => Event::Probed {
            server: ServerId::from_number(fields.number("server")?),
            outcome: parse_outcome(fields.text("reason")?)?,
            elapsed: fields.optional("spent")?.unwrap_or(0),
            load: fields.load()?,
        },
        "STARTED" => {
            let (id, attempt) = (fields.request_id()?, fields.number("n")?);
            let _: u32 = fields.number("server")?;
            let _: Option<u64> = fields.optional("spent")?;
            Event::Started { id, attempt }
        }
        "MAIL" => Event::Peer { from: fields.number("origin-peer")?, data: parse_payload(fields)? },
        other => return Err(SettingsError::new(format!("unknown message '{other}'"))),
    })
}

fn parse_request(fields: &mut Fields<'_>, names: &ClassTenantNames) -> Result<Request, SettingsError> {
    let id = fields.request_id()?;
    fields.flag("write")?;
    let timeout = fields.number::<i64>("patience-left")?.max(0) as u64;
    let class = fields.text("category")?;
    let class = names
        .class_index(class)
        .map(ClassId)
        .ok_or_else(|| SettingsError::new(format!("field 'category': '{class}' is not in the settings")))?;
    let cost = fields.optional("cost-guess")?;
    let is_retry = fields.flag("repeat")?;
    let tenant =
        match fields.next_field("party")? {
            None | Some("0") => None,
            Some(name) => Some(names.tenant_index(name).map(TenantId).ok_or_else(|| {
                SettingsError::new(format!("field 'party': '{name}' is not in the settings"))
            })?),
        };
    let key = fields.optional("resource")?.map(Key);
    Ok(Request { id, timeout, class, cost, is_retry, tenant, key })
}

fn parse_sync(
    fields: &mut Fields<'_>,
    server_lists: &HashMap<u64, Rc<Vec<ListedServer>>>,
) -> Result<Event, SettingsError> {
    let _: Option<u64> = fields.optional("rev")?;
    let kind = match fields.text("how")? {
        "D" => SyncKind::Delta,
        "F" => SyncKind::Full,
        "C" => SyncKind::Cached,
        "X" => SyncKind::Failed,
        other => return Err(SettingsError::new(format!("field 'how': '{other}' is unknown"))),
    };
    let list_id: Option<u64> = fields.optional("list")?;
    let entries = match (kind, list_id) {
        (SyncKind::Failed, _) => Vec::new(),
        (_, Some(list_id)) => match server_lists.get(&list_id) {
            Some(entries) => entries.as_ref().clone(),
            None => return Err(SettingsError::new(format!("field 'list': no list {list_id}"))),
        },
        (_, None) => return Err(SettingsError::new("field 'list' is empty".into())),
    };
    Ok(Event::Sync { kind, entries })
}

fn parse_payload(fields: &mut Fields<'_>) -> Result<Vec<u8>, SettingsError> {
    match fields.next_field("contents")? {
        None => Ok(Vec::new()),
        Some(text) => STANDARD.decode(text).map_err(|e| SettingsError::new(format!("field 'contents': {e}"))),
    }
}

/// Writes an action as a line.
pub fn write_action<W: Write>(out: &mut W, action: &Action) -> io::Result<()> {
    match action {
        Action::Send { id, server, timeout } => {
            writeln!(out, "DELIVER {} {server} {timeout}", id_text(id))
        }
        Action::Cancel { id, attempt } => writeln!(out, "CALL_OFF {} {attempt}", id_text(id)),
        Action::Refuse { id, retry_after } => writeln!(out, "DECLINE {} {retry_after}", id_text(id)),
        Action::Fail { id } => writeln!(out, "GIVE_UP {}", id_text(id)),
        Action::Probe(server) => writeln!(out, "INSPECT {server}"),
        Action::CloseIdle(server) => writeln!(out, "FREE_LINKS {server}"),
        Action::SetTimer { delay, timer } => writeln!(out, "SET_ALARM {delay} {}", timer.0),
        Action::Subscribe => writeln!(out, "STREAM_CHANGES 1"),
        Action::Tell { peer, data } => {
            let peer = peer.map_or(-1, i64::from);
            let data = if data.is_empty() { "-".into() } else { STANDARD.encode(data) };
            writeln!(out, "SAY {peer} {data}")
        }
        Action::Log(line) => writeln!(out, "REMARK {}", line.replace('\n', " ")),
    }
}

fn id_text(id: &RequestId) -> &str {
    std::str::from_utf8(&id.0).unwrap_or("-")
}
