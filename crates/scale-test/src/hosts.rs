//! Hollow hosts: they beat, follow `beat_target`, leave and come back as new ones.

use crate::http::Connection;
use crate::plan::Plan;
use serde_json::{json, Value};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// How long a host waits for an answer.
const WAIT: Duration = Duration::from_secs(1);
/// How long a host serves on after its drain is acknowledged.
const SERVE_ON: Duration = Duration::from_secs(2);

/// What the hosts have seen.
#[derive(Debug, Default)]
pub(crate) struct HostCounters {
    /// Times of answered heartbeats, in ms.
    pub(crate) beats: Vec<f64>,
    /// Calls that got no 2xx in time.
    pub(crate) failed: u64,
    /// Times from the first call that says `draining` to its acknowledgement, in ms.
    pub(crate) drains: Vec<f64>,
}

/// What is done with hosts.
pub(crate) enum Order {
    /// Starts the hosts with these numbers.
    Start(Vec<usize>),
    /// They crash.
    Crash(Vec<usize>),
    /// This one leaves and is replaced.
    Replace(usize),
}

#[derive(Clone)]
struct RequestStage {
    plan: Arc<Plan>,
    controls: Arc<Mutex<Vec<SocketAddrV4>>>,
    tally: Arc<Mutex<HostCounters>>,
}

struct Host {
    stage: RequestStage,
    number: usize,
    incarnation: u64,
    call_seq: u64,
    target: Option<SocketAddrV4>,
    next: usize,
    connection: Connection,
}

/// Plays hosts until the orders end.
pub(crate) async fn play(
    plan: Arc<Plan>,
    controls: Arc<Mutex<Vec<SocketAddrV4>>>,
    tally: Arc<Mutex<HostCounters>>,
    mut orders: UnboundedReceiver<Order>,
) {
    let stage = RequestStage {
        plan,
        controls,
        tally,
    };
    let mut running: Vec<Option<(JoinHandle<()>, UnboundedSender<()>)>> = Vec::new();
    running.resize_with(stage.plan.hosts, || None);
    let mut incarnation = 0;
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start(numbers) => {
                for number in numbers.into_iter().filter(|n| *n < stage.plan.hosts) {
                    incarnation += 1;
                    let (leave, told) = tokio::sync::mpsc::unbounded_channel();
                    let (target, connection) = Default::default();
                    let host = Host {
                        stage: stage.clone(),
                        number,
                        incarnation,
                        call_seq: 0,
                        target,
                        next: number,
                        connection,
                    };
                    running[number] = Some((tokio::spawn(host.live(told)), leave));
                }
            }
            Order::Crash(numbers) => {
                for number in numbers {
                    if let Some((task, _)) = running.get_mut(number).and_then(Option::take) {
                        task.abort();
                    }
                }
            }
            Order::Replace(number) => {
                if let Some(Some((_, leave))) = running.get(number) {
                    let _ = leave.send(());
                }
            }
        }
    }
}

impl Host {
    async fn live(mut self, mut leave: UnboundedReceiver<()>) {
        let beat = self.stage.plan.beat;
        // Spread over the period.
        sleep(beat.mul_f64(self.number as f64 * 0.618 % 1.0)).await;
        loop {
            self.beat(false).await;
            tokio::select! {
                Some(()) = leave.recv() => {
                    let asked = Instant::now();
                    while !self.beat(true).await && asked.elapsed() < Duration::from_secs(10) {
                        sleep(Duration::from_millis(100)).await;
                    }
                    self.tally(|t| t.drains.push(asked.elapsed().as_secs_f64() * 1e3));
                    sleep(SERVE_ON).await;
                    let path = format!("/fennelpin/Hosts.Depart/{}", self.id());
                    let to = self.to();
                    let _ = timeout(WAIT, self.connection.call(to, &path, "", b"")).await;
                    self.incarnation += 1 << 32;
                    self.call_seq = 0;
                }
                () = sleep(beat) => {}
            }
        }
    }

    fn tally(&self, note: impl FnOnce(&mut HostCounters)) {
        note(
            &mut self
                .stage
                .tally
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    fn id(&self) -> String {
        format!("i-{}-{:x}", self.number, self.incarnation)
    }

    fn to(&self) -> SocketAddrV4 {
        let controls = self
            .stage
            .controls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.target
            .unwrap_or_else(|| controls[self.next % controls.len()])
    }

    /// One heartbeat; whether it was acknowledged.
    async fn beat(&mut self, draining: bool) -> bool {
        self.call_seq += 1;
        let n = self.number;
        let body = json!({
            "service": format!("model-{}", n % 3), "address": format!("10.{}.{}.{}:8080", n / 62500, n / 250 % 250, n % 250 + 1),
            "zone": self.stage.plan.zone(n), "version": "v1", "capacity": 64,
            "phase": if draining { "draining" } else { "ready" }, "cold_left_ms": 0, "call_seq": self.call_seq,
        })
        .to_string();
        let path = format!("/fennelpin/Hosts.Heartbeat/{}", self.id());
        let (to, at) = (self.to(), Instant::now());
        let called = self.connection.call(to, &path, "", body.as_bytes());
        match timeout(WAIT, called).await {
            Ok(Ok(answer)) if answer.status / 100 == 2 => {
                self.tally(|t| t.beats.push(at.elapsed().as_secs_f64() * 1e3));
                let told: Option<Value> = serde_json::from_slice(&answer.body).ok();
                let told = told
                    .as_ref()
                    .and_then(|b| b["beat_target"].as_str())
                    .and_then(|t| t.parse().ok());
                self.target = told.or(Some(to));
                true
            }
            _ => {
                self.connection = Connection::default();
                self.target = None;
                self.next += 1;
                self.tally(|t| t.failed += 1);
                false
            }
        }
    }
}
