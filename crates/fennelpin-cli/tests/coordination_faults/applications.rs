//! Applications in threads, each with one call at a time.

use crate::checker::{Event, History, Hold, IssuedNumber, Put, PutOutcome, Read, WatchAnswer};
use crate::connection::{Connection, CALL_TIMEOUT};
use crate::faults::ALL;
use crate::harness::cluster::TestCluster;
use crate::harness::{wait_until, TIMEOUT};
use crate::random::Random;
use fennelpin_cli::control_client::ControlAnswer;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const HOLDERS: u64 = 4;
const WRITERS: u64 = 3;
const READERS: u64 = 2;
const TAKERS: u64 = 1;
const GROUPS: [&str; 2] = ["g.", "h."];
const LOCKS: u64 = 2;
const CELLS: u64 = 4;
/// How many times a put without a clear answer is sent.
const MAX_SENDS: u32 = 6;
/// How long a lock is held, in ms.
const MIN_HOLD_MS: u64 = 50;
const HOLD_SPREAD_MS: u64 = 600;
const WATCH_WAIT_MS: u64 = 300;

/// What the threads share.
struct Shared {
    addresses: Vec<SocketAddr>,
    start: Instant,
    stop: AtomicBool,
    calls: AtomicU64,
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// A moment that isn't before the present one: where a caller still counts on something.
    fn now_ms_rounded_up(&self) -> u64 {
        self.now_ms() + 1
    }
}

/// The applications that run.
pub struct Applications {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<History>>,
}

impl Applications {
    pub fn start(cluster: &TestCluster, seed: u64) -> Self {
        let shared = Arc::new(Shared {
            addresses: ALL.iter().map(|n| cluster.control(*n)).collect(),
            start: Instant::now(),
            stop: AtomicBool::new(false),
            calls: AtomicU64::new(0),
        });
        let mut first = Application::new(&shared, seed, 0);
        for group in GROUPS {
            let body = json!({"value": group, "enabled": 0});
            let answer =
                first.call_until_clear(&format!("Cells.Replace/{group}first"), Some(&body));
            assert_eq!(read(&answer)["revision"], 1);
        }
        let mut threads = Vec::new();
        for number in 0..HOLDERS {
            threads.push(spawn(&shared, seed, number, Application::hold_locks));
        }
        for number in 0..WRITERS {
            threads.push(spawn(&shared, seed, 10 + number, Application::write));
        }
        for number in 0..READERS {
            threads.push(spawn(&shared, seed, 20 + number, Application::read));
        }
        for number in 0..TAKERS {
            threads.push(spawn(&shared, seed, 30 + number, Application::take_numbers));
        }
        for number in 0..GROUPS.len() as u64 {
            threads.push(spawn(&shared, seed, 40 + number, Application::watch));
        }
        Self { shared, threads }
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Waits until this many more calls have been made, or for `longest` where most of them wait for an answer.
    pub fn wait_for_calls(&self, calls: u64, longest: Duration) {
        let (target, end) = (self.calls() + calls, Instant::now() + longest);
        let is_over = || self.calls() >= target || Instant::now() >= end;
        wait_until("calls", || is_over().then_some(()));
    }

    /// Ends the applications, reads everything back and hands over what all were told.
    pub fn finish(self) -> History {
        self.shared.stop.store(true, Ordering::Relaxed);
        let mut all = History::default();
        for thread in self.threads {
            let history = thread.join().expect("an application panicked");
            all.holds.extend(history.holds);
            all.numbers.extend(history.numbers);
            all.puts.extend(history.puts);
            all.reads.extend(history.reads);
            for (group, answers) in history.watches {
                all.watches.entry(group).or_default().extend(answers);
            }
        }
        let mut last = Application::new(&self.shared, 0, 50);
        last.read_back(&mut all);
        all
    }
}

fn spawn(
    shared: &Arc<Shared>,
    seed: u64,
    number: u64,
    act: fn(&mut Application),
) -> JoinHandle<History> {
    let shared = shared.clone();
    std::thread::spawn(move || {
        let mut application = Application::new(&shared, seed, number);
        while !shared.stop.load(Ordering::Relaxed) {
            act(&mut application);
        }
        application.history
    })
}

struct Application {
    shared: Arc<Shared>,
    number: u64,
    random: Random,
    connections: Vec<Connection>,
    history: History,
    values: u64,
    watched: u64,
}

/// A call's answer, with the times at which it was sent and answered, in ms.
struct Answered {
    answer: Option<ControlAnswer>,
    sent: u64,
    at: u64,
}

impl Answered {
    fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |answer| answer.status)
    }

    fn body(&self) -> Value {
        self.answer.as_ref().map(read).unwrap_or_default()
    }
}

fn read(answer: &ControlAnswer) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

impl Application {
    fn new(shared: &Arc<Shared>, seed: u64, number: u64) -> Self {
        let addresses = shared.addresses.iter();
        Self {
            shared: shared.clone(),
            number,
            random: Random::new(seed * 1000 + number + 1),
            connections: addresses.map(|to| Connection::new(*to)).collect(),
            history: History::default(),
            values: 0,
            watched: 0,
        }
    }

    fn call(&mut self, name: &str, body: Option<&Value>) -> Answered {
        self.call_within(name, body, CALL_TIMEOUT)
    }

    fn call_within(&mut self, name: &str, body: Option<&Value>, timeout: Duration) -> Answered {
        let member = self.random.below(self.connections.len() as u64) as usize;
        let text = body.map(Value::to_string);
        let sent = self.shared.now_ms();
        let answer = self.connections[member].call(name, text.as_deref(), timeout);
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        Answered {
            answer,
            sent,
            at: self.shared.now_ms_rounded_up(),
        }
    }

    fn call_until_clear(&mut self, name: &str, body: Option<&Value>) -> ControlAnswer {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            let answered = self.call(name, body);
            if let Some(answer) = answered.answer.filter(|answer| answer.status < 500) {
                return answer;
            }
        }
        panic!("no answer to {name}");
    }

    /// Takes a lock, renews it for a while, and gives it back, dies, or sleeps beyond its time.
    fn hold_locks(&mut self) {
        let lock = format!("l{}", self.random.below(LOCKS));
        let holder = format!("a{}", self.number);
        let hold_ms = MIN_HOLD_MS + self.random.below(HOLD_SPREAD_MS);
        let body = json!({"holder": holder, "hold_ms": hold_ms});
        let taken = self.call(&format!("Locks.Begin/{lock}"), Some(&body));
        let mut until = taken.sent + hold_ms;
        if taken.status() != 200 || taken.at >= until {
            return;
        }
        let fence = taken.body()["fence"].as_u64().unwrap();
        let renewals = self.random.below(8);
        let body = json!({"holder": holder, "fence": fence, "hold_ms": hold_ms});
        let mut lost_at = None;
        for _ in 0..renewals {
            let renewed = self.call(&format!("Locks.Heartbeat/{lock}"), Some(&body));
            match renewed.status() {
                200 if renewed.at < until => until = until.max(renewed.sent + hold_ms),
                409 => lost_at = Some(renewed.sent),
                _ => {}
            }
            if lost_at.is_some() || self.shared.now_ms() >= until {
                break;
            }
        }
        let gives_back = lost_at.is_none() && !self.random.one_in(3);
        // A holder that dies counts on its lock until it takes it anew: that is after its time at the latest here.
        let end = match lost_at {
            Some(lost_at) => lost_at.min(until),
            None if gives_back => self.shared.now_ms().min(until),
            None => until,
        };
        self.history.holds.push(Hold {
            lock: lock.clone(),
            holder: holder.clone(),
            fence,
            sent: taken.sent,
            from: taken.at,
            until: end,
        });
        if gives_back {
            let body = json!({"holder": holder, "fence": fence});
            self.call(&format!("Locks.Finish/{lock}"), Some(&body));
        } else {
            while self.shared.now_ms() < until {
                self.read();
            }
        }
    }

    fn any_cell(&mut self) -> String {
        let group = GROUPS[self.random.below(GROUPS.len() as u64) as usize];
        format!("{group}{}", self.random.below(CELLS))
    }

    /// Reads a cell and puts a value on top of what it read, or whatever it has; without a clear answer again.
    fn write(&mut self) {
        let cell = self.any_cell();
        let Some(revision) = self.read_cell(&cell) else {
            return;
        };
        self.values += 1;
        let value = format!("{}-{}", self.number, self.values);
        let is_conditional = !self.random.one_in(3);
        let body = if is_conditional {
            json!({"value": value, "enabled": revision})
        } else {
            json!({"value": value})
        };
        let first_sent = self.shared.now_ms();
        let mut outcome = PutOutcome::Unknown;
        for sends in 1..=MAX_SENDS {
            let answered = self.call(&format!("Cells.Replace/{cell}"), Some(&body));
            let told = answered.body()["revision"].as_u64();
            match (answered.status(), told) {
                (200, Some(revision)) => outcome = PutOutcome::Acknowledged(revision),
                (412, Some(revision)) => outcome = PutOutcome::Rejected(Some(revision)),
                (429 | 503, _) if sends == 1 => outcome = PutOutcome::Rejected(None),
                _ => continue,
            }
            break;
        }
        self.history.puts.push(Put {
            cell,
            value,
            sent: first_sent,
            answered: self.shared.now_ms_rounded_up(),
            outcome,
        });
    }

    fn read(&mut self) {
        let cell = self.any_cell();
        self.read_cell(&cell);
    }

    /// The cell's revision; none without a clear answer.
    fn read_cell(&mut self, cell: &str) -> Option<u64> {
        let answered = self.call(&format!("Cells.Read/{cell}"), None);
        let body = answered.body();
        let (value, revision) = match answered.status() {
            200 => (body["value"].as_str()?, body["revision"].as_u64()?),
            404 => ("", 0),
            _ => return None,
        };
        self.history.reads.push(Read {
            cell: cell.into(),
            value: value.into(),
            revision,
            sent: answered.sent,
        });
        Some(revision)
    }

    fn take_numbers(&mut self) {
        let answered = self.call("numbers/n", Some(&json!({})));
        if answered.status() == 200 {
            self.history.numbers.push(IssuedNumber {
                name: "n".into(),
                value: answered.body()["value"].as_u64().unwrap(),
                sent: answered.sent,
                answered: answered.at,
            });
        }
    }

    fn watch(&mut self) {
        let group = GROUPS[self.number as usize % GROUPS.len()];
        let after = self.watched;
        let name = format!("watch/{group}?after={after}&wait_ms={WATCH_WAIT_MS}");
        let timeout = CALL_TIMEOUT + Duration::from_millis(WATCH_WAIT_MS);
        let answered = self.call_within(&name, None, timeout);
        assert_ne!(answered.status(), 410, "history gone");
        if answered.status() != 200 {
            return;
        }
        let body = answered.body();
        let revision = body["revision"].as_u64().unwrap();
        let answer = WatchAnswer {
            after: if after == 0 { revision } else { after },
            revision,
            events: events_of(&body),
        };
        self.watched = revision;
        let answers = self.history.watches.entry(group.into()).or_default();
        answers.push(answer);
    }

    /// Everything is asked for once more; what was acknowledged has to be there.
    fn read_back(&mut self, all: &mut History) {
        for group in GROUPS {
            let mut events: Vec<Event> = vec![(format!("{group}first"), group.into(), 1)];
            loop {
                let after = events.last().unwrap().2;
                let name = format!("watch/{group}?after={after}&wait_ms=0");
                let body = read(&self.call_until_clear(&name, None));
                let told = events_of(&body);
                if told.is_empty() {
                    break;
                }
                events.extend(told);
            }
            all.events.insert(group.into(), events);
        }
        for cell in GROUPS
            .iter()
            .flat_map(|group| (0..CELLS).map(move |n| format!("{group}{n}")))
        {
            self.read_back_until_clear(&cell);
        }
        self.take_numbers();
        for lock in 0..LOCKS {
            let body = json!({"holder": "last", "hold_ms": 10});
            self.call_until_clear(&format!("Locks.Begin/l{lock}"), Some(&body));
        }
        all.reads.append(&mut self.history.reads);
        all.numbers.append(&mut self.history.numbers);
    }

    fn read_back_until_clear(&mut self, cell: &str) {
        let end = Instant::now() + TIMEOUT;
        while self.read_cell(cell).is_none() {
            assert!(Instant::now() < end, "{cell} isn't read back");
        }
    }
}

fn events_of(body: &Value) -> Vec<Event> {
    let events = body["events"].as_array().cloned().unwrap_or_default();
    let event = |event: &Value| {
        (
            event["name"].as_str().unwrap().to_owned(),
            event["value"].as_str().unwrap().to_owned(),
            event["revision"].as_u64().unwrap(),
        )
    };
    events.iter().map(event).collect()
}
