//! Simulated hosts: they send heartbeats to the member that `beat_target` names, drain, leave, and come back with a new
//! identity.

use crate::http_client::Connection;
use crate::lock;
use crate::plan::RunPlan;
use serde_json::{json, Value};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Longest wait of a host for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a host repeats that it drains, and the pause between two calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
const DRAIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a host serves on after its drain is acknowledged.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Spreads the hosts evenly over the heartbeat interval (the golden ratio's fraction).
const HEARTBEAT_SPREAD: f64 = 0.618;

/// What the hosts have measured.
#[derive(Debug, Default)]
pub(crate) struct HostCounters {
    /// Times of acknowledged heartbeats, in ms.
    pub(crate) heartbeats_ms: Vec<f64>,
    /// Heartbeats without a 2xx answer in time.
    pub(crate) failed_calls: u64,
    /// Times from the first heartbeat that says `draining` to its acknowledgement, in ms.
    pub(crate) drains_ms: Vec<f64>,
}

/// Starts and ends hosts.
pub(crate) enum HostCommand {
    /// Starts those with these numbers.
    Start(Vec<usize>),
    /// Ends those with these numbers at once.
    Crash(Vec<usize>),
    /// Lets this one drain, leave, and come back with a new identity.
    Replace(usize),
}

/// What all hosts share.
#[derive(Clone)]
pub(crate) struct HostEnvironment {
    pub(crate) plan: Arc<RunPlan>,
    pub(crate) controls: Arc<Mutex<Vec<SocketAddrV4>>>,
    pub(crate) counters: Arc<Mutex<HostCounters>>,
}

/// A running host.
struct RunningHost {
    task: JoinHandle<()>,
    /// Asks it to leave.
    leave: UnboundedSender<()>,
}

/// Runs hosts until the commands end.
pub(crate) async fn run(
    environment: HostEnvironment,
    mut commands: UnboundedReceiver<HostCommand>,
) {
    let count = environment.plan.hosts;
    let mut running: Vec<Option<RunningHost>> = Vec::new();
    running.resize_with(count, || None);
    let mut incarnation = 0;
    while let Some(command) = commands.recv().await {
        match command {
            HostCommand::Start(numbers) => {
                for number in numbers.into_iter().filter(|number| *number < count) {
                    incarnation += 1;
                    running[number] = Some(start(&environment, number, incarnation));
                }
            }
            HostCommand::Crash(numbers) => {
                for number in numbers {
                    if let Some(host) = running.get_mut(number).and_then(Option::take) {
                        host.task.abort();
                    }
                }
            }
            HostCommand::Replace(number) => {
                if let Some(Some(host)) = running.get(number) {
                    let _ = host.leave.send(());
                }
            }
        }
    }
}

fn start(environment: &HostEnvironment, number: usize, incarnation: u64) -> RunningHost {
    let (leave, leave_requests) = unbounded_channel();
    let host = SimulatedHost {
        environment: environment.clone(),
        number,
        incarnation,
        call_sequence: 0,
        target: None,
        next_control: number,
        connection: Connection::default(),
    };
    RunningHost {
        task: tokio::spawn(host.run(leave_requests)),
        leave,
    }
}

struct SimulatedHost {
    environment: HostEnvironment,
    number: usize,
    incarnation: u64,
    call_sequence: u64,
    /// The member that the latest answer named for heartbeats.
    target: Option<SocketAddrV4>,
    next_control: usize,
    connection: Connection,
}

impl SimulatedHost {
    async fn run(mut self, mut leave_requests: UnboundedReceiver<()>) {
        let interval = self.environment.plan.heartbeat_interval;
        sleep(interval.mul_f64(self.number as f64 * HEARTBEAT_SPREAD % 1.0)).await;
        loop {
            self.send_heartbeat(false).await;
            tokio::select! {
                Some(()) = leave_requests.recv() => self.leave_and_return().await,
                () = sleep(interval) => {}
            }
        }
    }

    /// Drains, departs, and takes a new identity.
    async fn leave_and_return(&mut self) {
        let started_at = Instant::now();
        while !self.send_heartbeat(true).await && started_at.elapsed() < DRAIN_TIMEOUT {
            sleep(DRAIN_RETRY_INTERVAL).await;
        }
        let drain_ms = started_at.elapsed().as_secs_f64() * 1e3;
        lock(&self.environment.counters).drains_ms.push(drain_ms);
        sleep(DRAIN_GRACE).await;
        let path = format!("/fennelpin/Hosts.Depart/{}", self.id());
        let to = self.control();
        let _ = timeout(CALL_TIMEOUT, self.connection.call(to, &path, "", b"")).await;
        self.incarnation += 1 << 32;
        self.call_sequence = 0;
    }

    fn id(&self) -> String {
        format!("i-{}-{:x}", self.number, self.incarnation)
    }

    /// The member that the next call goes to.
    fn control(&self) -> SocketAddrV4 {
        let controls = lock(&self.environment.controls);
        self.target
            .unwrap_or_else(|| controls[self.next_control % controls.len()])
    }

    /// Sends a heartbeat. Whether it was acknowledged.
    async fn send_heartbeat(&mut self, draining: bool) -> bool {
        self.call_sequence += 1;
        let body = self.heartbeat_body(draining);
        let path = format!("/fennelpin/Hosts.Heartbeat/{}", self.id());
        let (to, sent_at) = (self.control(), Instant::now());
        let call = self.connection.call(to, &path, "", body.as_bytes());
        match timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(answer)) if answer.status / 100 == 2 => {
                let time_ms = sent_at.elapsed().as_secs_f64() * 1e3;
                lock(&self.environment.counters).heartbeats_ms.push(time_ms);
                self.target = heartbeat_target(&answer.body).or(Some(to));
                true
            }
            _ => {
                self.connection = Connection::default();
                self.target = None;
                self.next_control += 1;
                lock(&self.environment.counters).failed_calls += 1;
                false
            }
        }
    }

    fn heartbeat_body(&self, draining: bool) -> String {
        let n = self.number;
        json!({
            "service": format!("model-{}", n % 3),
            "address": format!("10.{}.{}.{}:8080", n / 62500, n / 250 % 250, n % 250 + 1),
            "zone": self.environment.plan.zone(n), "version": "v1", "capacity": 64,
            "phase": if draining { "draining" } else { "ready" }, "cold_left_ms": 0,
            "call_seq": self.call_sequence,
        })
        .to_string()
    }
}

/// The member that an answer names for the next heartbeats.
fn heartbeat_target(body: &[u8]) -> Option<SocketAddrV4> {
    let answer: Value = serde_json::from_slice(body).ok()?;
    answer["beat_target"].as_str()?.parse().ok()
}
