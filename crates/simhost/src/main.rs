//! Runs one [`woodgap_decisions::Balancer`] per simulated node for the simulator, which sends events in
//! batches on standard input and reads the actions from standard output. It makes no decisions.
#![forbid(unsafe_code)]

mod protocol;

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;
use std::rc::Rc;

use protocol::Fields;
use woodgap_decisions::settings::{self, SettingPairs, SettingsError};
use woodgap_decisions::{Action, Balancer, Event, ListedServer, Micros};

/// A node: its balancer and the names of its classes and tenants in the protocol.
struct NodeInstance {
    balancer: Balancer,
    names: settings::ClassTenantNames,
}

/// State that is kept between two lines.
#[derive(Default)]
struct SimulatorHost {
    instances: HashMap<u64, NodeInstance>,
    server_lists: HashMap<u64, Rc<Vec<ListedServer>>>,
    now: Micros,
    batch_id: u64,
    /// The node that receives the events.
    current_node: Option<u64>,
    /// The node that the current reply named last.
    last_named_node: Option<u64>,
    in_batch: bool,
    actions: Vec<Action>,
}

/// What the caller does after a line.
enum LineResult {
    Continue,
    Flush,
}

impl SimulatorHost {
    fn handle_line<R: BufRead, W: Write>(
        &mut self,
        line: &str,
        input: &mut LineReader<R>,
        out: &mut W,
    ) -> Result<LineResult, SettingsError> {
        let mut fields = Fields::new(line);
        let message = fields.text("message")?;
        if !self.in_batch {
            if message != "BEGIN_BATCH" {
                return Err(SettingsError::new(format!("'{message}' outside a batch")));
            }
            self.now = fields.number("time")?;
            self.batch_id = fields.number("batch")?;
            fields.end()?;
            (self.current_node, self.last_named_node, self.in_batch) = (None, None, true);
            return Ok(LineResult::Continue);
        }
        match message {
            "EOF_BATCH" => {
                fields.end()?;
                writeln!(out, "END {}", self.batch_id)?;
                self.in_batch = false;
                return Ok(LineResult::Flush);
            }
            "CONTEXT" => {
                self.current_node = Some(fields.number("node")?);
                fields.end()?;
            }
            "POOL" => {
                let list_id = fields.number("list")?;
                let count: usize = fields.number("members-list")?;
                fields.end()?;
                let mut entries = Vec::with_capacity(count.min(4096));
                for _ in 0..count {
                    let text = input
                        .next_line()?
                        .ok_or_else(|| SettingsError::new("end of input inside a list".into()))?;
                    entries.push(protocol::parse_list_entry(text)?);
                }
                self.server_lists.insert(list_id, Rc::new(entries));
            }
            "SPAWN" => {
                let node = self.require_current_node()?;
                let seed = fields.number("nonce64")?;
                let (settings, names) = settings::parse_settings(&SettingPairs::from_line(fields.rest())?)?;
                let balancer = Balancer::new(settings, seed);
                self.instances.insert(node, NodeInstance { balancer, names });
            }
            "DOWN" => {
                fields.end()?;
                let node = self.require_current_node()?;
                if self.instances.remove(&node).is_none() {
                    return Err(SettingsError::new(format!("node {node} was never started")));
                }
            }
            _ => {
                let node = self.require_current_node()?;
                let instance = self
                    .instances
                    .get_mut(&node)
                    .ok_or_else(|| SettingsError::new(format!("node {node} was never started")))?;
                let event = protocol::parse_event(message, &mut fields, &instance.names, &self.server_lists)?;
                fields.end()?;
                self.deliver_event(node, event, out)?;
            }
        }
        Ok(LineResult::Continue)
    }

    fn require_current_node(&self) -> Result<u64, SettingsError> {
        self.current_node.ok_or_else(|| SettingsError::new("an event arrived before any CONTEXT line".into()))
    }

    fn deliver_event<W: Write>(&mut self, node: u64, event: Event, out: &mut W) -> Result<(), SettingsError> {
        let Some(instance) = self.instances.get_mut(&node) else {
            return Ok(());
        };
        instance.balancer.on_event(self.now, event, &mut self.actions);
        if self.actions.is_empty() {
            return Ok(());
        }
        if self.last_named_node != Some(node) {
            writeln!(out, "ON_BEHALF {node}")?;
            self.last_named_node = Some(node);
        }
        for action in self.actions.drain(..) {
            protocol::write_action(out, &action)?;
        }
        Ok(())
    }
}

/// Reads input line by line and counts lines for error messages.
struct LineReader<R> {
    input: R,
    buffer: String,
    line_number: u64,
}

impl<R: BufRead> LineReader<R> {
    fn next_line(&mut self) -> Result<Option<&str>, SettingsError> {
        self.buffer.clear();
        self.line_number += 1;
        if self.input.read_line(&mut self.buffer)? == 0 {
            return Ok(None);
        }
        Ok(Some(self.buffer.trim_end_matches(['\n', '\r'])))
    }
}

fn run<R: BufRead, W: Write>(input: &mut LineReader<R>, out: &mut W) -> Result<(), SettingsError> {
    let mut host = SimulatorHost::default();
    loop {
        let Some(line) = input.next_line()? else {
            if host.in_batch {
                return Err(SettingsError::new("end of input inside a batch".into()));
            }
            return Ok(());
        };
        if line.is_empty() {
            continue;
        }
        let line = line.to_owned();
        if let LineResult::Flush = host.handle_line(&line, input, out)? {
            out.flush()?;
        }
    }
}

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 18, io::stdin().lock());
    let mut lines = LineReader { input, buffer: String::new(), line_number: 0 };
    let mut out = BufWriter::with_capacity(1 << 18, io::stdout().lock());
    match run(&mut lines, &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap-simhost: line {}: {error}", lines.line_number);
            ExitCode::FAILURE
        }
    }
}
