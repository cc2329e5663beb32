//! The generator on sockets: workers, each with a runtime of its own and a share of the plan. A worker
//! starts each query at its instant whatever became of those before (open loop), paced by a thread.

use crate::clients::{self, AttemptOutcome, AttemptResult};
use crate::drivers::{Driver, ParsedAnswer, RequestContext};
use crate::plan::{Plan, Planned};
use crate::record::{AttemptRecord, QueryRecord};
use crate::scenario::Scenario;
use coordinator::net::buffered_stream::BufferedStream;
use coordinator::net::http::{response_head, Body, Headers, HttpError};
use fake_hosts::event_log::{AttemptRef, Epoch};
use fake_hosts::model::Micros;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, Semaphore};

const INPUT_BUFFER_BYTES: usize = 16 * 1024;
const OUTPUT_BUFFER_BYTES: usize = 8 * 1024;
/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// A connection that is not up by then counts as refused.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How soon the generator tries again when it has no descriptor left.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Capacity for the text of a request.
const REQUEST_BUFFER_BYTES: usize = 640;
/// How much longer than it says a client waits, beside the scenario's slack.
const GIVE_UP_SLACK: Duration = Duration::from_millis(20);
/// `EMFILE` and `ENFILE`.
const OUT_OF_DESCRIPTORS: [i32; 2] = [24, 23];

/// What all workers share.
pub struct Shared {
    /// The scenario.
    pub scenario: Scenario,
    /// Its drivers, by front.
    pub drivers: Vec<Box<dyn Driver>>,
    /// Where the coordinators listen.
    pub targets: Vec<SocketAddr>,
    /// Which of them the front layer believes to run.
    pub believed_up: Vec<AtomicBool>,
    /// The clock.
    pub epoch: Epoch,
    /// Names of this run's tries begin with this.
    pub run: String,
    /// Queries started, answered in any way, and served, for a progress line.
    pub progress: [AtomicU64; 3],
}

impl Shared {
    /// For these targets, all believed to run.
    pub fn new(scenario: Scenario, targets: Vec<SocketAddr>, epoch: Epoch, run: String) -> Self {
        let drivers = crate::drivers::of(&scenario);
        let believed_up = targets.iter().map(|_| AtomicBool::new(true)).collect();
        Self {
            scenario,
            drivers,
            targets,
            believed_up,
            epoch,
            run,
            progress: Default::default(),
        }
    }
}

/// Tells a worker which of its queries are due, from a thread of its own: a thread's sleep has the kernel's
/// resolution, tokio's timer has steps of a millisecond.
fn pace(plan: &Plan, n: usize, of: usize, start: Instant, due: &mpsc::UnboundedSender<usize>) {
    for number in (n..plan.0.len()).step_by(of) {
        let at = start + Duration::from_micros(plan.0[number].at_us);
        let left = at.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            std::thread::sleep(left);
        }
        if due.send(number).is_err() {
            return;
        }
    }
}

/// Runs a plan; `start` is the instant of its time 0. The records are in the plan's order.
///
/// # Errors
/// If a thread or its runtime can't be had.
pub fn run(
    shared: &Arc<Shared>,
    plan: &Arc<Plan>,
    start: Instant,
) -> std::io::Result<Vec<QueryRecord>> {
    let count = shared.scenario.clients.threads;
    let (mut threads, mut pacers) = (Vec::new(), Vec::new());
    for n in 0..count {
        let (shared, plan) = (shared.clone(), plan.clone());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (tx, due) = mpsc::unbounded_channel();
        let paced = plan.clone();
        let pacer = std::thread::Builder::new().name(format!("pace-{n}"));
        pacers.push(pacer.spawn(move || pace(&paced, n, count, start, &tx))?);
        let work = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, Worker::new(shared, count).run(&plan, due, start))
        };
        threads.push(
            std::thread::Builder::new()
                .name(format!("load-{n}"))
                .spawn(work)?,
        );
    }
    let mut all = Vec::with_capacity(plan.0.len());
    for t in threads {
        all.extend(
            t.join()
                .map_err(|_| std::io::Error::other("a worker of the generator panicked"))?,
        );
    }
    for p in pacers {
        p.join()
            .map_err(|_| std::io::Error::other("a pacer of the generator panicked"))?;
    }
    all.sort_unstable_by_key(|r: &QueryRecord| r.query);
    Ok(all)
}

impl AttemptRecord {
    /// An attempt that is about to be sent. It counts as given up until it has an answer.
    fn unanswered(query: u32, attempt: u8, coordinator: usize, wait_us: u64) -> Self {
        Self {
            query,
            attempt,
            coordinator: coordinator as u16,
            sent: 0,
            ended: 0,
            wait_us,
            end: AttemptOutcome::GaveUp,
            retry_after_us: None,
            shards: Vec::new(),
            values: Vec::new(),
            extra: false,
        }
    }

    /// Records what the answer claims.
    fn read(&mut self, answer: ParsedAnswer) {
        self.end = match answer {
            ParsedAnswer::Served {
                full,
                shards,
                values,
            } => {
                (self.shards, self.values) = (shards, values);
                AttemptOutcome::Served(full)
            }
            ParsedAnswer::Refused => AttemptOutcome::Refused,
            ParsedAnswer::Failed(status) => AttemptOutcome::Failed(status),
            ParsedAnswer::Unreadable => AttemptOutcome::Unreadable,
        };
    }
}

struct Worker {
    shared: Arc<Shared>,
    /// Idle connections, by coordinator; the one used last is used next.
    idle: RefCell<Vec<Vec<BufferedStream>>>,
    /// Limits the open connections.
    connection_slots: Semaphore,
    records: RefCell<Vec<QueryRecord>>,
}

enum Connected {
    Kept(BufferedStream),
    New(BufferedStream),
    Failed(AttemptOutcome),
}

/// How an exchange on one connection ended.
enum Exchange {
    Answer(u16, Option<u64>, bytes::Bytes, bool),
    Failed(AttemptOutcome),
}

impl Worker {
    fn new(shared: Arc<Shared>, workers: usize) -> Rc<Self> {
        let idle = RefCell::new(shared.targets.iter().map(|_| Vec::new()).collect());
        let connection_slots =
            Semaphore::new((shared.scenario.clients.connections / workers).max(1));
        Rc::new(Self {
            shared,
            idle,
            connection_slots,
            records: RefCell::default(),
        })
    }

    async fn run(
        self: Rc<Self>,
        plan: &Arc<Plan>,
        mut dues: mpsc::UnboundedReceiver<usize>,
        start: Instant,
    ) -> Vec<QueryRecord> {
        let mut running = tokio::task::JoinSet::new();
        while let Some(number) = dues.recv().await {
            let due = start + Duration::from_micros(plan.0[number].at_us);
            let started = Instant::now();
            let (worker, plan) = (self.clone(), plan.clone());
            running.spawn_local(async move {
                let epoch = worker.shared.epoch;
                worker.shared.progress[0].fetch_add(1, Ordering::Relaxed);
                let record = QueryRecord {
                    query: number as u32,
                    due: epoch.at(due),
                    started: epoch.at(started),
                    first_sent: 0,
                    ended: 0,
                    tries: Vec::with_capacity(1),
                };
                worker.query(&plan.0[number], record).await;
            });
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
        self.records.take()
    }

    /// One query: its tries until it is served or its client has had enough.
    async fn query(&self, q: &Planned, mut record: QueryRecord) {
        let s = &self.shared.scenario;
        let class = &s.classes[usize::from(q.class)];
        let limit = (class.limit_ms * 1e3) as u64;
        loop {
            let elapsed = self.shared.epoch.now().saturating_sub(record.due);
            // Whole milliseconds, and never beyond the client's whole time.
            let wait_us = (q.wait_us.min(limit.saturating_sub(elapsed)) / 1000).max(1) * 1000;
            let attempt = record.tries.len() as u8;
            let tried = self.attempt(q, &mut record, attempt, wait_us).await;
            let (end, retry_after_us) = (tried.end, tried.retry_after_us);
            record.ended = tried.ended;
            record.tries.push(tried);
            let elapsed_us = record.ended.saturating_sub(record.due);
            let tried = AttemptResult {
                tries: attempt + 1,
                end,
                retry_after_us,
                elapsed_us,
            };
            match clients::next_attempt_delay(q, class, s.clients.backoff, tried) {
                Some(0) => {}
                Some(wait) => tokio::time::sleep(Duration::from_micros(wait)).await,
                None => break,
            }
        }
        self.shared.progress[1].fetch_add(1, Ordering::Relaxed);
        if record.end().served() {
            self.shared.progress[2].fetch_add(1, Ordering::Relaxed);
        }
        self.records.borrow_mut().push(record);
    }

    /// The coordinator that an attempt goes to.
    fn choose_coordinator(&self, q: &Planned, query: u32, attempt: u8) -> usize {
        let shared = &self.shared;
        let believed_up = shared.believed_up.iter();
        let up: Vec<bool> = believed_up.map(|b| b.load(Ordering::Relaxed)).collect();
        let zones = shared.scenario.fleet.zones.len();
        let draw = u64::from(query) * 7 + u64::from(attempt);
        clients::coordinator(q.zone.into(), zones, &up, draw)
    }

    async fn attempt(
        &self,
        q: &Planned,
        record: &mut QueryRecord,
        attempt: u8,
        wait_us: u64,
    ) -> AttemptRecord {
        let shared = &self.shared;
        let coordinator = self.choose_coordinator(q, record.query, attempt);
        let name = format!("{}{:x}-{attempt}", shared.run, record.query);
        let key = format!("{}k{:x}", shared.run, record.query);
        let context = RequestContext {
            planned: q,
            reference: AttemptRef {
                query: record.query,
                attempt,
            },
            name: &name,
            key: &key,
            wait_ms: wait_us / 1000,
        };
        let driver = &shared.drivers[usize::from(q.front)];
        let mut request = Vec::with_capacity(REQUEST_BUFFER_BYTES);
        driver.request(&context, &mut request);
        let slack = Duration::from_millis(shared.scenario.audit.slack_ms) + GIVE_UP_SLACK;
        let give_up = Instant::now() + Duration::from_micros(wait_us) + slack;
        let mut tried = AttemptRecord::unanswered(record.query, attempt, coordinator, wait_us);
        let exchange = self.exchange(coordinator, &request, &mut tried, &mut record.first_sent);
        match tokio::time::timeout_at(give_up.into(), exchange).await {
            Ok(Exchange::Failed(end)) => tried.end = end,
            Ok(Exchange::Answer(status, retry_after_us, body, extra)) => {
                (tried.retry_after_us, tried.extra) = (retry_after_us, extra);
                tried.read(driver.read(&context, status, &body));
            }
            // The client has given up.
            Err(_) => {}
        }
        if tried.ended == 0 {
            tried.ended = shared.epoch.now();
        }
        tried
    }

    /// Sends a request and reads its answer. A connection that ends between requests may cross one: that is
    /// sent once more on a new connection.
    async fn exchange(
        &self,
        c: usize,
        request: &[u8],
        tried: &mut AttemptRecord,
        first_sent: &mut Micros,
    ) -> Exchange {
        let Ok(_slot) = self.connection_slots.acquire().await else {
            return Exchange::Failed(AttemptOutcome::NoConnection);
        };
        let mut may_keep = true;
        loop {
            let (mut conn, kept) = match self.connect(c, may_keep, tried).await {
                Connected::Kept(conn) => (conn, true),
                Connected::New(conn) => (conn, false),
                Connected::Failed(end) => return Exchange::Failed(end),
            };
            let epoch = self.shared.epoch;
            if *first_sent == 0 {
                *first_sent = epoch.now();
            }
            if conn.write_all(request).await.is_err() {
                if kept {
                    may_keep = false;
                    continue;
                }
                return Exchange::Failed(AttemptOutcome::Closed);
            }
            tried.sent = epoch.now();
            let (status, headers) = match response_head(&mut conn).await {
                Ok(head) => head,
                Err(HttpError::Closed | HttpError::Io(_)) if kept => {
                    may_keep = false;
                    continue;
                }
                Err(HttpError::Closed | HttpError::Io(_)) => {
                    return Exchange::Failed(AttemptOutcome::Closed)
                }
                Err(HttpError::Cut) => return Exchange::Failed(AttemptOutcome::Cut),
                Err(_) => return Exchange::Failed(AttemptOutcome::Unreadable),
            };
            let body = match Body::of_response(&headers) {
                Ok(body) => body.read_all(&mut conn, MAX_ANSWER_BYTES).await,
                Err(e) => Err(e),
            };
            let Ok(body) = body else {
                // The clock stops where the answer broke off.
                return Exchange::Failed(AttemptOutcome::Cut);
            };
            tried.ended = epoch.now();
            let retry = retry_after_us(&headers);
            let extra = !conn.input.is_empty();
            if !closes_connection(&headers) && !extra {
                self.idle.borrow_mut()[c].push(conn);
            }
            return Exchange::Answer(status, retry, body, extra);
        }
    }

    async fn connect(&self, c: usize, may_keep: bool, tried: &mut AttemptRecord) -> Connected {
        let pop = || self.idle.borrow_mut()[c].pop().filter(|_| may_keep);
        while let Some(conn) = pop() {
            match conn.stream.try_read(&mut [0]) {
                // Nothing to read: it is still open and silent, as it should be.
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Connected::Kept(conn),
                Ok(n) if n > 0 => tried.extra = true,
                _ => {}
            }
        }
        let addr = self.shared.targets[c].to_string();
        loop {
            match BufferedStream::connect(
                &addr,
                CONNECT_TIMEOUT,
                INPUT_BUFFER_BYTES,
                OUTPUT_BUFFER_BYTES,
            )
            .await
            {
                Ok(conn) => return Connected::New(conn),
                Err(e)
                    if e.raw_os_error()
                        .is_some_and(|n| OUT_OF_DESCRIPTORS.contains(&n)) =>
                {
                    // The generator's own lack: the query waits and counts as late, it is not dropped.
                    tried.end = AttemptOutcome::NoDescriptor;
                    self.idle.borrow_mut().iter_mut().for_each(Vec::clear);
                    tokio::time::sleep(DESCRIPTOR_RETRY_DELAY).await;
                }
                Err(_) => return Connected::Failed(AttemptOutcome::NoConnection),
            }
            tried.end = AttemptOutcome::GaveUp;
        }
    }
}

/// Whether the host closes the connection behind this answer.
fn closes_connection(headers: &Headers) -> bool {
    let connection = headers.get("Connection");
    connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// `Retry-After` in microseconds, where it is a time.
fn retry_after_us(headers: &Headers) -> Option<u64> {
    let seconds = headers.get("Retry-After")?.parse::<f64>().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then_some((seconds * 1e6) as u64)
}
