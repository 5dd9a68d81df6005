//! Hosts of hollow nodes as this process has them: started, asked, ended by their ids.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::error::ScaleError;
use super::hollow::protocol::{HostReport, Order};
use super::hollow::MOST_SEEDS;
use super::told::{self, Told};

/// How long a host may take to listen or to answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// How often conditions are looked at.
const LOOK: Duration = Duration::from_millis(20);
/// The addresses of members in the two regions: all of loopback.
pub const REGIONS: [IpAddr; 2] =
    [IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1)), IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2))];

/// One host.
struct Host {
    child: Child,
    orders: Option<ChildStdin>,
    names: Vec<String>,
    region: usize,
    report: Arc<Mutex<Option<HostReport>>>,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All hosts, until they are dropped.
pub struct Hosts {
    services: [SocketAddr; 2],
    lost: f64,
    seed: u64,
    hosts: Vec<Host>,
    told: Arc<Mutex<Told>>,
    seeds: Vec<(String, SocketAddr)>,
    next: usize,
}

impl Hosts {
    /// None yet. Nodes of each region reach the coordination service at an address of their own.
    pub fn new(services: [SocketAddr; 2], lost: f64, seed: u64) -> Hosts {
        Hosts { services, lost, seed, hosts: Vec::new(), told: Arc::default(), seeds: Vec::new(), next: 0 }
    }

    /// Looks at what the hosts have told.
    pub fn told<T>(&self, look: impl FnOnce(&mut Told) -> T) -> T {
        look(&mut self.told.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Hollow nodes that run.
    pub fn nodes(&self) -> usize {
        self.hosts.iter().map(|host| host.names.len()).sum()
    }

    /// The names of hollow nodes that run.
    pub fn names(&self) -> BTreeSet<String> {
        self.hosts.iter().flat_map(|host| host.names.iter().cloned()).collect()
    }

    /// Hosts that run.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Members through which others, real nodes among them, find the fleet.
    pub fn seeds(&self) -> &[(String, SocketAddr)] {
        &self.seeds
    }

    /// Starts hosts of so many nodes each, the regions in turn, and waits until their members listen.
    ///
    /// # Errors
    /// Where one does not start.
    pub async fn start(&mut self, hosts: usize, nodes_each: usize) -> Result<(), ScaleError> {
        let first = self.hosts.len();
        for _ in 0..hosts {
            let names = (0..nodes_each).map(|n| format!("h{:04}", self.next + n)).collect();
            self.next += nodes_each;
            self.start_host(names, self.hosts.len() % REGIONS.len())?;
            // The first ones are those through which all others join.
            if self.seeds.len() < MOST_SEEDS {
                self.listening(self.hosts.len() - 1..self.hosts.len()).await?;
                self.remember_seeds();
            }
        }
        self.listening(first..self.hosts.len()).await
    }

    fn remember_seeds(&mut self) {
        self.seeds = self.told(|told| told.listening.clone()).into_iter().take(MOST_SEEDS).collect();
    }

    fn start_host(&mut self, names: Vec<String>, region: usize) -> Result<(), ScaleError> {
        let seeds: Vec<String> = self.seeds.iter().map(|(name, addr)| format!("{name}={addr}")).collect();
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").args(["--service", &self.services[region].to_string()]);
        command.args(["--ip", &REGIONS[region].to_string(), "--lost", &self.lost.to_string()]);
        command.args([
            "--names",
            &names.join(","),
            "--seed",
            &self.seed.wrapping_add(self.next as u64).to_string(),
        ]);
        if !seeds.is_empty() {
            command.args(["--seeds", &seeds.join(",")]);
        }
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()?;
        let output = child.stdout.take().ok_or_else(|| ScaleError::Host("it has no output".into()))?;
        let (orders, told, report) = (child.stdin.take(), self.told.clone(), Arc::new(Mutex::new(None)));
        let reports = report.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                told::hear(&told, &reports, &line);
            }
        });
        self.hosts.push(Host { child, orders, names, region, report });
        Ok(())
    }

    async fn listening(&self, of: std::ops::Range<usize>) -> Result<(), ScaleError> {
        let names: Vec<&String> = self.hosts[of].iter().flat_map(|host| &host.names).collect();
        let all = || self.told(|told| names.iter().all(|name| told.listening.contains_key(*name)));
        until("hosts that listen", PATIENCE, || async { all() }).await
    }

    /// Kills the hosts in these places of a region or of any, by their ids; the names of their nodes.
    pub fn kill(&mut self, count: usize, region: Option<usize>) -> Vec<String> {
        let seeds: Vec<String> = self.seeds.iter().map(|(name, _)| name.clone()).collect();
        let mut killed = Vec::new();
        let mut left = count;
        // Those through which new ones join stay.
        self.hosts.retain(|host| {
            let fits = region.is_none_or(|region| region == host.region);
            let goes = left > 0 && fits && !host.names.iter().any(|name| seeds.contains(name));
            if goes {
                left -= 1;
                killed.extend(host.names.iter().cloned());
            }
            !goes
        });
        killed
    }

    /// Kills all hosts.
    pub fn kill_all(&mut self) {
        self.hosts.clear();
        self.seeds.clear();
        self.told(|told| *told = Told::default());
    }

    fn order(&mut self, order: &Order) -> Result<(), ScaleError> {
        let line = serde_json::to_string(order).unwrap_or_default();
        for host in &mut self.hosts {
            let gone = || ScaleError::Host("it takes no orders any more".into());
            writeln!(host.orders.as_mut().ok_or_else(gone)?, "{line}").map_err(|_| gone())?;
        }
        Ok(())
    }

    /// Cuts datagrams between the regions, or lets them pass again.
    ///
    /// # Errors
    /// Where a host has ended.
    pub fn cut_regions(&mut self, cut: bool) -> Result<(), ScaleError> {
        self.order(&Order::CutRegions(cut))
    }

    /// What each host's nodes have sent and know.
    ///
    /// # Errors
    /// Where a host does not answer.
    pub async fn reports(&mut self) -> Result<Vec<HostReport>, ScaleError> {
        let slots: Vec<_> = self.hosts.iter().map(|host| host.report.clone()).collect();
        let get = |slot: &Arc<Mutex<Option<HostReport>>>| {
            slot.lock().unwrap_or_else(PoisonError::into_inner).clone()
        };
        for slot in &slots {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
        self.order(&Order::Report)?;
        until("reports of hosts", PATIENCE, || async { slots.iter().all(|slot| get(slot).is_some()) })
            .await?;
        Ok(slots.iter().filter_map(get).collect())
    }

    /// Waits until every member of every host holds so many for alive; how long that took.
    ///
    /// # Errors
    /// Where they do not within this time.
    pub async fn agreed(&mut self, alive: u64, within: Duration) -> Result<Duration, ScaleError> {
        let start = Instant::now();
        loop {
            let reports = self.reports().await?;
            if reports.iter().all(|report| report.alive == (alive, alive)) {
                return Ok(start.elapsed());
            }
            if start.elapsed() >= within {
                let least = reports.iter().map(|report| report.alive.0).min().unwrap_or(0);
                let most = reports.iter().map(|report| report.alive.1).max().unwrap_or(0);
                let what = format!("{alive} members alive at all ({least} to {most})");
                return Err(ScaleError::Late { what, seconds: within.as_secs() });
            }
            tokio::time::sleep(LOOK * 5).await;
        }
    }

    /// Time on cores and memory of all hosts: seconds, KiB of their own.
    ///
    /// # Errors
    /// Where one has ended.
    pub fn usage(&self) -> Result<(f64, f64), ScaleError> {
        let mut usage = (0.0, 0.0);
        for host in &self.hosts {
            let id = host.child.id();
            usage.0 += crate::process::cpu_s_of(id)?;
            usage.1 += crate::process::memory_kib_of(id, "RssAnon")?;
        }
        Ok(usage)
    }
}

/// Waits for a condition.
///
/// # Errors
/// Where it does not come about.
pub async fn until<F: std::future::Future<Output = bool>>(
    what: &str,
    within: Duration,
    mut holds: impl FnMut() -> F,
) -> Result<(), ScaleError> {
    let end = Instant::now() + within;
    while !holds().await {
        if Instant::now() >= end {
            return Err(ScaleError::Late { what: what.to_owned(), seconds: within.as_secs() });
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}
