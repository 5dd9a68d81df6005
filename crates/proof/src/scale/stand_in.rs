//! The stand-in coordination service on a dedicated thread, so that its CPU time can be measured separately.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use woodgap_testkit::coordination::wire::{Coordination, Traffic};

use woodgap_zookeeper::session::{SessionHandle, SessionSettings};

use super::error::ScaleError;

/// Interval at which the traffic counters are sampled, to find their busiest second.
const TRAFFIC_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the measuring process's own sessions.
pub const SESSION_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of traffic samples in one second.
const SAMPLES_PER_SECOND: usize = 10;

/// Highest counts within one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficPeak {
    /// Reads at the service.
    pub reads: u64,
    /// Bytes sent by the service.
    pub bytes: u64,
}

/// Traffic samples of the last second, and the highest counts per second so far.
#[derive(Default)]
struct PeakWindow {
    samples: VecDeque<Traffic>,
    peak: TrafficPeak,
}

impl PeakWindow {
    fn add_sample(&mut self, now: Traffic) {
        self.samples.push_back(now);
        if self.samples.len() > SAMPLES_PER_SECOND + 1 {
            self.samples.pop_front();
        }
        let Some(before) = self.samples.front() else { return };
        self.peak.reads = self.peak.reads.max(now.reads - before.reads);
        self.peak.bytes = self.peak.bytes.max(now.bytes_out - before.bytes_out);
    }
}

/// The running stand-in, which is stopped on drop.
pub struct StandIn {
    /// The stand-in service.
    pub service: Coordination,
    /// Address of the service for the nodes of each of the two regions.
    pub addresses: [SocketAddr; 2],
    /// Directory of the service's thread in `/proc`.
    thread_dir: String,
    peak: Arc<Mutex<PeakWindow>>,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    sampler: tokio::task::JoinHandle<()>,
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.sampler.abort();
        drop(self.stop.take());
    }
}

impl StandIn {
    /// Starts the service with an empty tree.
    ///
    /// # Errors
    /// When a port cannot be bound or the thread cannot be created.
    pub async fn start() -> Result<StandIn, ScaleError> {
        let (started_sender, started) = tokio::sync::oneshot::channel();
        let (stop, stop_requested) = tokio::sync::oneshot::channel::<()>();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("stand-in".to_owned()).spawn(move || {
            runtime.block_on(async move {
                let thread = std::fs::read_link("/proc/thread-self").map(|path| path.display().to_string());
                let _ = started_sender.send((Self::listen().await, thread));
                let _ = stop_requested.await;
            });
        })?;
        let thread_ended = |_| ScaleError::System(std::io::Error::other("the stand-in's thread ended"));
        let (listening, thread) = started.await.map_err(thread_ended)?;
        let (service, second_address) = listening?;
        let (addresses, thread_dir) = ([service.addr, second_address], format!("/proc/{}", thread?));
        let peak = Arc::new(Mutex::new(PeakWindow::default()));
        let read_traffic = service.traffic_counter();
        let sampler = tokio::spawn(sample_traffic(read_traffic, peak.clone()));
        Ok(StandIn { service, addresses, thread_dir, peak, stop: Some(stop), sampler })
    }

    async fn listen() -> std::io::Result<(Coordination, SocketAddr)> {
        let mut service = Coordination::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let second_address = service.add_listener().await?;
        Ok((service, second_address))
    }

    /// Returns the CPU time of the service's thread since its start, in seconds.
    ///
    /// # Errors
    /// When the scheduler statistics of the thread cannot be read.
    pub fn cpu_s(&self) -> Result<f64, ScaleError> {
        let path = format!("{}/schedstat", self.thread_dir);
        let text = std::fs::read_to_string(&path);
        let text = text.map_err(|error| ScaleError::File { path: path.into(), error })?;
        let cpu_ns = text.split_whitespace().next().and_then(|field| field.parse::<f64>().ok());
        Ok(cpu_ns.unwrap_or(0.0) / 1e9)
    }

    /// Returns the traffic of the service's connections since its start.
    pub fn traffic(&self) -> Traffic {
        self.service.traffic()
    }

    /// Returns the highest counts within one second since the last call, and starts a new period.
    pub fn take_peak(&self) -> TrafficPeak {
        let now = self.service.traffic();
        let mut window = self.peak.lock().unwrap_or_else(PoisonError::into_inner);
        window.add_sample(now);
        let finished = std::mem::take(&mut *window);
        window.add_sample(now);
        finished.peak
    }
}

/// Opens a session of the measuring process with the service at an address.
///
/// # Errors
/// When the session's thread cannot be created.
pub fn open_session(address: SocketAddr) -> Result<SessionHandle, ScaleError> {
    let settings = SessionSettings {
        addresses: vec![address.to_string()],
        chroot: String::new(),
        digest: None,
        session_timeout: SESSION_TIMEOUT,
    };
    Ok(SessionHandle::start(settings)?)
}

/// Samples the traffic at a fixed interval and adds the samples to a window, until the task is aborted.
async fn sample_traffic(read_traffic: impl Fn() -> Traffic, window: Arc<Mutex<PeakWindow>>) {
    let mut due = Instant::now();
    loop {
        due += TRAFFIC_SAMPLE_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let now = read_traffic();
        window.lock().unwrap_or_else(PoisonError::into_inner).add_sample(now);
    }
}
