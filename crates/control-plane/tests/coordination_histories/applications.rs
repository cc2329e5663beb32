//! Applications on simulated time, each with one call at a time: holders of locks, takers of numbers, writers and readers
//! of cells, and watchers.

use crate::checker::{group, Event, Given, History, Hold, Put, PutOutcome, Read, Watched};
use crate::random::Random;
use crate::schedule::{Schedule, LENGTH_MS, MEMBERS};
use crate::support::request_cluster::Cluster;
use configuration::ResultCode;
use protocol::{Command, CoordinationRequest};
use serde_json::Value;

/// Time between two looks at the applications, in ms.
const STEP_MS: u64 = 5;
/// How long an application waits for one member's answer, in ms.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// How long a watch asks to wait, in ms.
const WATCH_WAIT_MS: u64 = 400;
/// How many times a put without a clear answer is sent.
const MAX_SENDS: u32 = 4;
/// Time in which the cluster recovers at the end, and in which each last call has to be answered, in ms.
const RECOVERY_MS: u64 = 6_000;
const LAST_CALL_MS: u64 = 3_000;

const HOLDERS: usize = 5;
const TAKERS: usize = 2;
const WRITERS: usize = 4;
const READERS: usize = 3;
const WATCHERS: usize = 3;
const LOCKS: u64 = 3;
const COUNTERS: u64 = 2;
const CELLS: u64 = 5;
const GROUPS: [&str; 2] = ["g.", "h."];
/// The first cell of each group: its put is before all faults.
const FIRST_CELL: &str = "first";

#[derive(Clone, Debug)]
struct Call {
    request: CoordinationRequest,
    member: usize,
    ticket: u64,
    sent: u64,
    timeout: u64,
}

#[derive(Clone, Debug, Default)]
struct Application {
    call: Option<Call>,
    /// A put or an acquisition that got no clear answer, and how many times it was sent.
    unclear: Option<(CoordinationRequest, u32, u64)>,
    /// Position in the history of the hold that it counts on.
    hold: Option<usize>,
    /// The revision up to which a watcher was told.
    watched: u64,
    /// The revision that a writer knows of each cell.
    known: std::collections::BTreeMap<String, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Holder,
    Taker,
    Writer,
    Reader,
    Watcher(&'static str),
}

pub struct Applications {
    cluster: Cluster,
    random: Random,
    applications: Vec<(Kind, Application)>,
    history: History,
    tickets: u64,
    values: u64,
    found: Vec<String>,
}

impl Applications {
    /// Plays a schedule and tells what is wrong.
    pub fn play(mut schedule: Schedule) -> Vec<String> {
        let mut run = Self::new(schedule.seed);
        run.put_first_cells();
        let start = run.cluster.now_ms();
        while run.cluster.now_ms() < start + LENGTH_MS {
            run.cluster.run_ms(STEP_MS);
            let at = run.cluster.now_ms() - start;
            schedule.run(&mut run.cluster, at);
            run.step(true);
        }
        schedule.end(&mut run.cluster);
        let end = run.cluster.now_ms() + RECOVERY_MS;
        while run.cluster.now_ms() < end {
            run.cluster.run_ms(STEP_MS);
            run.step(false);
        }
        run.make_last_calls();
        run.found.extend(run.history.violations());
        run.found
    }

    fn new(seed: u64) -> Self {
        let kinds = [
            vec![Kind::Holder; HOLDERS],
            vec![Kind::Taker; TAKERS],
            vec![Kind::Writer; WRITERS],
            vec![Kind::Reader; READERS],
            (0..WATCHERS)
                .map(|n| Kind::Watcher(GROUPS[n % 2]))
                .collect(),
        ];
        let kinds = kinds.concat().into_iter();
        Self {
            cluster: Cluster::new(MEMBERS),
            random: Random::new(seed ^ 0x5eed),
            applications: kinds.map(|kind| (kind, Application::default())).collect(),
            history: History::default(),
            tickets: 0,
            values: 0,
            found: Vec::new(),
        }
    }

    fn put_first_cells(&mut self) {
        for group in GROUPS {
            let cell = format!("{group}{FIRST_CELL}");
            let request = put_request(&cell, group, Some(0));
            let (code, body) = self.last_call(request);
            assert_eq!((code, &body["revision"]), (ResultCode::Ok, &Value::from(1)));
            let event = (cell, group.to_owned(), 1);
            self.history.events.insert(group.to_owned(), vec![event]);
        }
    }

    /// Lets each application take its answer, and make its next call.
    fn step(&mut self, calls: bool) {
        for n in 0..self.applications.len() {
            self.take_answer(n);
            let is_idle = self.applications[n].1.call.is_none();
            if calls && is_idle && self.random.one_in(4) {
                self.next_call(n);
            }
        }
    }

    fn take_answer(&mut self, n: usize) {
        let Some(call) = self.applications[n].1.call.clone() else {
            return;
        };
        let now = self.cluster.now_ms();
        let is_up = !self.cluster.is_frozen(call.member);
        match self
            .cluster
            .answer(call.member, call.ticket)
            .filter(|_| is_up)
        {
            Some(code) => {
                let text = self.cluster.answer_text(call.member, call.ticket);
                let body = serde_json::from_str(&text).unwrap_or_default();
                self.applications[n].1.call = None;
                self.on_answer(n, &call, code, &body);
            }
            None if now >= call.sent + call.timeout => {
                self.applications[n].1.call = None;
                self.on_answer(n, &call, ResultCode::OutcomeUnknown, &Value::Null);
            }
            None => {}
        }
    }

    fn next_call(&mut self, n: usize) {
        let kind = self.applications[n].0;
        if let Some((request, _, _)) = self.applications[n].1.unclear.clone() {
            return self.call(n, request);
        }
        let request = match kind {
            Kind::Holder => self.next_of_holder(n),
            Kind::Taker => CoordinationRequest::NextNumber {
                name: format!("n{}", self.random.below(COUNTERS)),
            },
            Kind::Writer => self.next_of_writer(n),
            Kind::Reader => CoordinationRequest::ReadCell {
                name: self.any_cell(),
            },
            Kind::Watcher(group) => CoordinationRequest::Watch {
                group: group.into(),
                after: self.applications[n].1.watched,
                wait_ms: WATCH_WAIT_MS as u32,
            },
        };
        self.call(n, request);
    }

    fn any_cell(&mut self) -> String {
        let group = GROUPS[self.random.below(GROUPS.len() as u64) as usize];
        format!("{group}{}", self.random.below(CELLS))
    }

    fn next_of_writer(&mut self, n: usize) -> CoordinationRequest {
        let cell = self.any_cell();
        let known = &self.applications[n].1.known;
        let expected = known.get(&cell).copied().unwrap_or(0);
        let expected = (!self.random.one_in(3)).then_some(expected);
        self.values += 1;
        put_request(&cell, &format!("v{}", self.values), expected)
    }

    fn next_of_holder(&mut self, n: usize) -> CoordinationRequest {
        let now = self.cluster.now_ms();
        let holder = format!("a{n}");
        let held = self.applications[n]
            .1
            .hold
            .map(|at| self.history.holds[at].clone());
        let hold_ms = 200 + self.random.below(1_500) as u32;
        let Some(hold) = held.filter(|hold| now < hold.until) else {
            self.applications[n].1.hold = None;
            return CoordinationRequest::AcquireLock {
                name: format!("l{}", self.random.below(LOCKS)),
                holder,
                hold_ms,
                attempt: 0,
            };
        };
        match self.random.below(8) {
            0 => {
                // It dies, or sleeps beyond its time: the next call is another one's.
                self.applications[n].1.hold = None;
                CoordinationRequest::AcquireLock {
                    name: hold.lock,
                    holder,
                    hold_ms,
                    attempt: 0,
                }
            }
            1 | 2 => {
                self.end_earlier_holds(n, &hold.lock);
                self.applications[n].1.hold = None;
                CoordinationRequest::ReleaseLock {
                    name: hold.lock,
                    holder,
                    fence: hold.fence,
                }
            }
            _ => CoordinationRequest::RenewLock {
                name: hold.lock,
                holder,
                fence: hold.fence,
                hold_ms,
            },
        }
    }

    fn end_hold(&mut self, n: usize, at: u64) {
        if let Some(position) = self.applications[n].1.hold.take() {
            let hold = &mut self.history.holds[position];
            hold.until = hold.until.min(at);
        }
    }

    /// An application that takes a lock anew, or gives it back, counts on no earlier hold of it.
    fn end_earlier_holds(&mut self, n: usize, lock: &str) {
        let (now, holder) = (self.cluster.now_ms(), format!("a{n}"));
        let holds = self.history.holds.iter_mut();
        for hold in holds.filter(|hold| hold.holder == holder && hold.lock == lock) {
            hold.until = hold.until.min(now);
        }
    }

    fn call(&mut self, n: usize, request: CoordinationRequest) {
        let member = self.random.below(MEMBERS as u64) as usize;
        self.tickets += 1;
        let request = with_attempt(request, self.tickets);
        let timeout = match &request {
            CoordinationRequest::Watch { .. } => WATCH_WAIT_MS + CALL_TIMEOUT_MS,
            _ => CALL_TIMEOUT_MS,
        };
        self.applications[n].1.call = Some(Call {
            request: request.clone(),
            member,
            ticket: self.tickets,
            sent: self.cluster.now_ms(),
            timeout,
        });
        let command = Command::Coordinate { request };
        self.cluster.send_command(member, self.tickets, command);
    }

    fn on_answer(&mut self, n: usize, call: &Call, code: ResultCode, body: &Value) {
        let now = self.cluster.now_ms();
        match &call.request {
            CoordinationRequest::AcquireLock { name, hold_ms, .. } => {
                let until = call.sent + u64::from(*hold_ms);
                if code == ResultCode::Ok && now < until {
                    self.end_earlier_holds(n, name);
                    self.applications[n].1.hold = Some(self.history.holds.len());
                    self.history.holds.push(Hold {
                        lock: name.clone(),
                        holder: format!("a{n}"),
                        fence: body["fence"].as_u64().unwrap(),
                        sent: call.sent,
                        from: now,
                        until,
                    });
                }
            }
            CoordinationRequest::RenewLock { hold_ms, .. } => {
                self.on_renewed(n, call.sent + u64::from(*hold_ms), code);
            }
            CoordinationRequest::NextNumber { name } if code == ResultCode::Ok => {
                self.history.numbers.push(Given {
                    name: name.clone(),
                    value: body["value"].as_u64().unwrap(),
                    sent: call.sent,
                    answered: now,
                });
            }
            CoordinationRequest::PutCell { .. } => self.on_put(n, call, code, body),
            CoordinationRequest::ReadCell { name } => self.on_read(name, call.sent, code, body),
            CoordinationRequest::Watch { group, after, .. } => {
                self.on_watched(n, group, *after, code, body);
            }
            _ => {}
        }
    }

    fn on_renewed(&mut self, n: usize, until: u64, code: ResultCode) {
        let now = self.cluster.now_ms();
        let Some(position) = self.applications[n].1.hold else {
            return;
        };
        let hold = &mut self.history.holds[position];
        match code {
            // An answer that comes when the time is over counts for nothing.
            ResultCode::Ok if now < hold.until => hold.until = until.max(hold.until),
            ResultCode::LockLost => self.end_hold(n, now),
            _ => {}
        }
    }

    fn on_put(&mut self, n: usize, call: &Call, code: ResultCode, body: &Value) {
        let CoordinationRequest::PutCell { name, value, .. } = &call.request else {
            return;
        };
        let application = &mut self.applications[n].1;
        let (sends, first_sent) = match application.unclear.take() {
            Some((_, sends, first_sent)) => (sends + 1, first_sent),
            None => (1, call.sent),
        };
        let revision = body["revision"].as_u64();
        let outcome = match code {
            ResultCode::Ok => PutOutcome::Done(revision.unwrap()),
            ResultCode::RevisionConflict => PutOutcome::Rejected(Some(revision.unwrap())),
            _ if code.status() == 503 && sends == 1 => PutOutcome::Rejected(None),
            _ if sends < MAX_SENDS => {
                application.unclear = Some((call.request.clone(), sends, first_sent));
                return;
            }
            _ => PutOutcome::Unknown,
        };
        if let Some(revision) = revision {
            application.known.insert(name.clone(), revision);
        }
        self.history.puts.push(Put {
            cell: name.clone(),
            value: value.clone(),
            // A put that arrives again gets its first revision.
            sent: first_sent,
            answered: self.cluster.now_ms(),
            outcome,
        });
    }

    fn on_read(&mut self, cell: &str, sent: u64, code: ResultCode, body: &Value) {
        let (value, revision) = match code {
            ResultCode::Ok => (
                body["value"].as_str().unwrap(),
                body["revision"].as_u64().unwrap(),
            ),
            ResultCode::NoCell => ("", 0),
            _ => return,
        };
        self.history.reads.push(Read {
            cell: cell.into(),
            value: value.into(),
            revision,
            sent,
        });
    }

    fn on_watched(&mut self, n: usize, group: &str, after: u64, code: ResultCode, body: &Value) {
        if code == ResultCode::HistoryGone {
            self.found.push(format!("{group} {after}: history gone"));
        }
        if code != ResultCode::Ok {
            return;
        }
        let revision = body["revision"].as_u64().unwrap();
        let answer = Watched {
            after: if after == 0 { revision } else { after },
            revision,
            events: events_of(body),
        };
        self.applications[n].1.watched = revision;
        let answers = self.history.watches.entry(group.into()).or_default();
        answers.push(answer);
    }

    /// A call to one member after the other until one gives a clear answer.
    fn last_call(&mut self, request: CoordinationRequest) -> (ResultCode, Value) {
        let end = self.cluster.now_ms() + LAST_CALL_MS;
        for member in (0..MEMBERS).cycle() {
            if self.cluster.now_ms() >= end {
                break;
            }
            self.tickets += 1;
            let ticket = self.tickets;
            let command = Command::Coordinate {
                request: with_attempt(request.clone(), ticket),
            };
            self.cluster.send_command(member, ticket, command);
            let sent = self.cluster.now_ms();
            while self.cluster.answer(member, ticket).is_none()
                && self.cluster.now_ms() < sent + CALL_TIMEOUT_MS
            {
                self.cluster.run_ms(STEP_MS);
            }
            let code = self.cluster.answer(member, ticket);
            if let Some(code) = code.filter(|code| code.status() < 500) {
                let text = self.cluster.answer_text(member, ticket);
                return (code, serde_json::from_str(&text).unwrap_or_default());
            }
        }
        self.found
            .push(format!("no answer at the end: {request:?}"));
        (ResultCode::OutcomeUnknown, Value::Null)
    }

    /// All events of a group. One answer tells a bounded number of them.
    fn read_all_events(&mut self, group: &str) {
        let mut after = 1;
        loop {
            let watch = CoordinationRequest::Watch {
                group: group.into(),
                after,
                wait_ms: 0,
            };
            let (_, body) = self.last_call(watch);
            let told = events_of(&body);
            let Some(last) = told.last() else {
                return;
            };
            after = last.2;
            let events = self.history.events.entry(group.into()).or_default();
            events.extend(told);
        }
    }

    /// What was acknowledged is read back.
    fn make_last_calls(&mut self) {
        for n in 0..COUNTERS {
            let name = format!("n{n}");
            let sent = self.cluster.now_ms();
            let (code, body) =
                self.last_call(CoordinationRequest::NextNumber { name: name.clone() });
            if code == ResultCode::Ok {
                self.history.numbers.push(Given {
                    name,
                    value: body["value"].as_u64().unwrap(),
                    sent,
                    answered: self.cluster.now_ms(),
                });
            }
        }
        for n in 0..LOCKS {
            self.last_call(CoordinationRequest::AcquireLock {
                name: format!("l{n}"),
                holder: "last".into(),
                hold_ms: 100,
                attempt: 0,
            });
        }
        for group in GROUPS {
            self.read_all_events(group);
        }
        for cell in GROUPS
            .iter()
            .flat_map(|group| (0..CELLS).map(move |n| format!("{group}{n}")))
        {
            let sent = self.cluster.now_ms();
            let (code, body) = self.last_call(CoordinationRequest::ReadCell { name: cell.clone() });
            self.on_read(&cell, sent, code, &body);
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

fn put_request(cell: &str, value: &str, expected_revision: Option<u64>) -> CoordinationRequest {
    assert!(!group(cell).is_empty());
    CoordinationRequest::PutCell {
        name: cell.into(),
        value: value.into(),
        expected_revision,
    }
}

/// The call with a number that no other call has.
fn with_attempt(request: CoordinationRequest, number: u64) -> CoordinationRequest {
    match request {
        CoordinationRequest::AcquireLock {
            name,
            holder,
            hold_ms,
            ..
        } => CoordinationRequest::AcquireLock {
            name,
            holder,
            hold_ms,
            attempt: number,
        },
        other => other,
    }
}
