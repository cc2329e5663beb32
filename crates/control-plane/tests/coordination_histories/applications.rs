//! Applications on simulated time, each with one request at a time: lock holders, counter users, writers and readers of
//! cells, and watchers.

use crate::checker::{
    group, Event, History, Hold, IssuedNumber, Put, PutOutcome, Read, WatchAnswer,
};
use crate::random::Random;
use crate::schedule::{FaultSchedule, MEMBER_COUNT, RUN_LENGTH_MS};
use crate::support::request_cluster::Cluster;
use configuration::ResultCode;
use protocol::{Command, CoordinationRequest};
use serde_json::Value;

/// Time between two steps of the applications, in ms.
const STEP_MS: u64 = 5;
/// Time for which an application waits for one member's answer, in ms.
const REQUEST_TIMEOUT_MS: u64 = 1_000;
/// Longest wait that a watch asks for, in ms.
const WATCH_WAIT_MS: u64 = 400;
/// Maximum number of times that a put without a definite answer is sent.
const MAX_SENDS: u32 = 4;
/// Time for the cluster to recover after the last fault, in ms.
const RECOVERY_MS: u64 = 6_000;
/// Time within which each request of the final check has to be answered, in ms.
const FINAL_REQUEST_TIMEOUT_MS: u64 = 3_000;

const HOLDERS: usize = 5;
const COUNTER_USERS: usize = 2;
const WRITERS: usize = 4;
const READERS: usize = 3;
const WATCHERS: usize = 3;
const LOCK_COUNT: u64 = 3;
const COUNTER_COUNT: u64 = 2;
const CELLS_PER_GROUP: u64 = 5;
const GROUPS: [&str; 2] = ["g.", "h."];
/// Name of the first cell of each group, which is put before any fault.
const FIRST_CELL: &str = "first";

/// A request that is being answered; times are in ms.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: CoordinationRequest,
    member: usize,
    ticket: u64,
    sent: u64,
    timeout: u64,
}

#[derive(Clone, Debug, Default)]
struct Application {
    pending: Option<PendingRequest>,
    /// A put without a definite answer, how many times it was sent, and when it was sent first.
    unanswered_put: Option<(CoordinationRequest, u32, u64)>,
    /// Position in the history of the lock hold that it relies on.
    hold: Option<usize>,
    /// The revision up to which a watcher has got all events.
    watched_revision: u64,
    /// The latest revision of each cell that a writer knows.
    known_revisions: std::collections::BTreeMap<String, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Holder,
    CounterUser,
    Writer,
    Reader,
    Watcher(&'static str),
}

pub struct Applications {
    cluster: Cluster,
    random: Random,
    applications: Vec<(Kind, Application)>,
    history: History,
    tickets_issued: u64,
    values_put: u64,
    violations: Vec<String>,
}

impl Applications {
    /// Runs the applications with a schedule of faults and returns the violations.
    pub fn run(mut schedule: FaultSchedule) -> Vec<String> {
        let mut run = Self::new(schedule.seed);
        run.put_first_cells();
        let start = run.cluster.now_ms();
        while run.cluster.now_ms() < start + RUN_LENGTH_MS {
            run.cluster.run_ms(STEP_MS);
            let at = run.cluster.now_ms() - start;
            schedule.apply_due(&mut run.cluster, at);
            run.step(true);
        }
        schedule.end_active_fault(&mut run.cluster);
        let end = run.cluster.now_ms() + RECOVERY_MS;
        while run.cluster.now_ms() < end {
            run.cluster.run_ms(STEP_MS);
            run.step(false);
        }
        run.read_back_final_state();
        run.violations.extend(run.history.violations());
        run.violations
    }

    fn new(seed: u64) -> Self {
        let kinds = [
            vec![Kind::Holder; HOLDERS],
            vec![Kind::CounterUser; COUNTER_USERS],
            vec![Kind::Writer; WRITERS],
            vec![Kind::Reader; READERS],
            (0..WATCHERS)
                .map(|n| Kind::Watcher(GROUPS[n % 2]))
                .collect(),
        ];
        let kinds = kinds.concat().into_iter();
        Self {
            cluster: Cluster::new(MEMBER_COUNT),
            random: Random::new(seed ^ 0x5eed),
            applications: kinds.map(|kind| (kind, Application::default())).collect(),
            history: History::default(),
            tickets_issued: 0,
            values_put: 0,
            violations: Vec::new(),
        }
    }

    fn put_first_cells(&mut self) {
        for group in GROUPS {
            let cell = format!("{group}{FIRST_CELL}");
            let request = put_request(&cell, group, Some(0));
            let (code, body) = self.request_until_definite(request);
            assert_eq!((code, &body["revision"]), (ResultCode::Ok, &Value::from(1)));
            let event = (cell, group.to_owned(), 1);
            self.history.events.insert(group.to_owned(), vec![event]);
        }
    }

    /// Lets each application handle its answer and, if `sends_requests`, send its next request.
    fn step(&mut self, sends_requests: bool) {
        for n in 0..self.applications.len() {
            self.handle_answer_or_timeout(n);
            let is_idle = self.applications[n].1.pending.is_none();
            if sends_requests && is_idle && self.random.one_in(4) {
                self.send_next_request(n);
            }
        }
    }

    fn handle_answer_or_timeout(&mut self, n: usize) {
        let Some(pending) = self.applications[n].1.pending.clone() else {
            return;
        };
        let now = self.cluster.now_ms();
        let can_answer = !self.cluster.is_frozen(pending.member);
        match self
            .cluster
            .answer(pending.member, pending.ticket)
            .filter(|_| can_answer)
        {
            Some(code) => {
                let text = self.cluster.answer_text(pending.member, pending.ticket);
                let body = serde_json::from_str(&text).unwrap_or_default();
                self.applications[n].1.pending = None;
                self.on_answer(n, &pending, code, &body);
            }
            None if now >= pending.sent + pending.timeout => {
                self.applications[n].1.pending = None;
                self.on_answer(n, &pending, ResultCode::OutcomeUnknown, &Value::Null);
            }
            None => {}
        }
    }

    fn send_next_request(&mut self, n: usize) {
        let kind = self.applications[n].0;
        if let Some((request, _, _)) = self.applications[n].1.unanswered_put.clone() {
            return self.send(n, request);
        }
        let request = match kind {
            Kind::Holder => self.next_lock_request(n),
            Kind::CounterUser => CoordinationRequest::NextNumber {
                name: format!("n{}", self.random.below(COUNTER_COUNT)),
            },
            Kind::Writer => self.next_put(n),
            Kind::Reader => CoordinationRequest::ReadCell {
                name: self.random_cell(),
            },
            Kind::Watcher(group) => CoordinationRequest::Watch {
                group: group.into(),
                after: self.applications[n].1.watched_revision,
                wait_ms: WATCH_WAIT_MS as u32,
            },
        };
        self.send(n, request);
    }

    fn random_cell(&mut self) -> String {
        let group = GROUPS[self.random.below(GROUPS.len() as u64) as usize];
        format!("{group}{}", self.random.below(CELLS_PER_GROUP))
    }

    fn next_put(&mut self, n: usize) -> CoordinationRequest {
        let cell = self.random_cell();
        let known_revisions = &self.applications[n].1.known_revisions;
        let expected = known_revisions.get(&cell).copied().unwrap_or(0);
        let expected = (!self.random.one_in(3)).then_some(expected);
        self.values_put += 1;
        put_request(&cell, &format!("v{}", self.values_put), expected)
    }

    fn next_lock_request(&mut self, n: usize) -> CoordinationRequest {
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
                name: format!("l{}", self.random.below(LOCK_COUNT)),
                holder,
                hold_ms,
                attempt: 0,
            };
        };
        match self.random.below(8) {
            0 => {
                // The application crashes or is suspended until its lock expires: the next request is a new holder's.
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

    /// Ends all earlier holds of a lock by an application, which acquires the lock anew or releases it.
    fn end_earlier_holds(&mut self, n: usize, lock: &str) {
        let (now, holder) = (self.cluster.now_ms(), format!("a{n}"));
        let holds = self.history.holds.iter_mut();
        for hold in holds.filter(|hold| hold.holder == holder && hold.lock == lock) {
            hold.until = hold.until.min(now);
        }
    }

    fn send(&mut self, n: usize, request: CoordinationRequest) {
        let member = self.random.below(MEMBER_COUNT as u64) as usize;
        self.tickets_issued += 1;
        let request = with_attempt(request, self.tickets_issued);
        let timeout = match &request {
            CoordinationRequest::Watch { .. } => WATCH_WAIT_MS + REQUEST_TIMEOUT_MS,
            _ => REQUEST_TIMEOUT_MS,
        };
        self.applications[n].1.pending = Some(PendingRequest {
            request: request.clone(),
            member,
            ticket: self.tickets_issued,
            sent: self.cluster.now_ms(),
            timeout,
        });
        let command = Command::Coordinate { request };
        self.cluster
            .send_command(member, self.tickets_issued, command);
    }

    fn on_answer(&mut self, n: usize, pending: &PendingRequest, code: ResultCode, body: &Value) {
        let now = self.cluster.now_ms();
        match &pending.request {
            CoordinationRequest::AcquireLock { name, hold_ms, .. } => {
                let until = pending.sent + u64::from(*hold_ms);
                if code == ResultCode::Ok && now < until {
                    self.end_earlier_holds(n, name);
                    self.applications[n].1.hold = Some(self.history.holds.len());
                    self.history.holds.push(Hold {
                        lock: name.clone(),
                        holder: format!("a{n}"),
                        fence: body["fence"].as_u64().unwrap(),
                        sent: pending.sent,
                        from: now,
                        until,
                    });
                }
            }
            CoordinationRequest::RenewLock { hold_ms, .. } => {
                self.on_renew_answer(n, pending.sent + u64::from(*hold_ms), code);
            }
            CoordinationRequest::NextNumber { name } if code == ResultCode::Ok => {
                self.history.numbers.push(IssuedNumber {
                    name: name.clone(),
                    value: body["value"].as_u64().unwrap(),
                    sent: pending.sent,
                    answered: now,
                });
            }
            CoordinationRequest::PutCell { .. } => self.on_put_answer(n, pending, code, body),
            CoordinationRequest::ReadCell { name } => {
                self.on_read_answer(name, pending.sent, code, body);
            }
            CoordinationRequest::Watch { group, after, .. } => {
                self.on_watch_answer(n, group, *after, code, body);
            }
            _ => {}
        }
    }

    fn on_renew_answer(&mut self, n: usize, until: u64, code: ResultCode) {
        let now = self.cluster.now_ms();
        let Some(position) = self.applications[n].1.hold else {
            return;
        };
        let hold = &mut self.history.holds[position];
        match code {
            // An answer that arrives after the hold has expired doesn't extend it.
            ResultCode::Ok if now < hold.until => hold.until = until.max(hold.until),
            ResultCode::LockLost => self.end_hold(n, now),
            _ => {}
        }
    }

    fn on_put_answer(
        &mut self,
        n: usize,
        pending: &PendingRequest,
        code: ResultCode,
        body: &Value,
    ) {
        let CoordinationRequest::PutCell { name, value, .. } = &pending.request else {
            return;
        };
        let application = &mut self.applications[n].1;
        let (sends, first_sent) = match application.unanswered_put.take() {
            Some((_, sends, first_sent)) => (sends + 1, first_sent),
            None => (1, pending.sent),
        };
        let revision = body["revision"].as_u64();
        let outcome = match code {
            ResultCode::Ok => PutOutcome::Acknowledged(revision.unwrap()),
            ResultCode::RevisionConflict => PutOutcome::Rejected(Some(revision.unwrap())),
            _ if code.status() == 503 && sends == 1 => PutOutcome::Rejected(None),
            _ if sends < MAX_SENDS => {
                application.unanswered_put = Some((pending.request.clone(), sends, first_sent));
                return;
            }
            _ => PutOutcome::Unknown,
        };
        if let Some(revision) = revision {
            application.known_revisions.insert(name.clone(), revision);
        }
        self.history.puts.push(Put {
            cell: name.clone(),
            value: value.clone(),
            // A repeated put gets the revision of its first copy, so the time of the first one counts.
            sent: first_sent,
            answered: self.cluster.now_ms(),
            outcome,
        });
    }

    fn on_read_answer(&mut self, cell: &str, sent: u64, code: ResultCode, body: &Value) {
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

    fn on_watch_answer(
        &mut self,
        n: usize,
        group: &str,
        after: u64,
        code: ResultCode,
        body: &Value,
    ) {
        if code == ResultCode::HistoryGone {
            self.violations
                .push(format!("{group} {after}: history gone"));
        }
        if code != ResultCode::Ok {
            return;
        }
        let revision = body["revision"].as_u64().unwrap();
        let answer = WatchAnswer {
            after: if after == 0 { revision } else { after },
            revision,
            events: events_of(body),
        };
        self.applications[n].1.watched_revision = revision;
        let answers = self.history.watches.entry(group.into()).or_default();
        answers.push(answer);
    }

    /// Sends a request to the members in turn until one gives a definite answer.
    fn request_until_definite(&mut self, request: CoordinationRequest) -> (ResultCode, Value) {
        let end = self.cluster.now_ms() + FINAL_REQUEST_TIMEOUT_MS;
        for member in (0..MEMBER_COUNT).cycle() {
            if self.cluster.now_ms() >= end {
                break;
            }
            self.tickets_issued += 1;
            let ticket = self.tickets_issued;
            let command = Command::Coordinate {
                request: with_attempt(request.clone(), ticket),
            };
            self.cluster.send_command(member, ticket, command);
            let sent = self.cluster.now_ms();
            while self.cluster.answer(member, ticket).is_none()
                && self.cluster.now_ms() < sent + REQUEST_TIMEOUT_MS
            {
                self.cluster.run_ms(STEP_MS);
            }
            let code = self.cluster.answer(member, ticket);
            if let Some(code) = code.filter(|code| code.status() < 500) {
                let text = self.cluster.answer_text(member, ticket);
                return (code, serde_json::from_str(&text).unwrap_or_default());
            }
        }
        self.violations
            .push(format!("no definite answer: {request:?}"));
        (ResultCode::OutcomeUnknown, Value::Null)
    }

    /// Reads all events of a group into the history. One answer contains a bounded number of them.
    fn read_all_events(&mut self, group: &str) {
        let mut after = 1;
        loop {
            let watch = CoordinationRequest::Watch {
                group: group.into(),
                after,
                wait_ms: 0,
            };
            let (_, body) = self.request_until_definite(watch);
            let new_events = events_of(&body);
            let Some(last) = new_events.last() else {
                return;
            };
            after = last.2;
            let events = self.history.events.entry(group.into()).or_default();
            events.extend(new_events);
        }
    }

    /// Reads the final state back and adds it to the history.
    fn read_back_final_state(&mut self) {
        for n in 0..COUNTER_COUNT {
            let name = format!("n{n}");
            let sent = self.cluster.now_ms();
            let (code, body) =
                self.request_until_definite(CoordinationRequest::NextNumber { name: name.clone() });
            if code == ResultCode::Ok {
                self.history.numbers.push(IssuedNumber {
                    name,
                    value: body["value"].as_u64().unwrap(),
                    sent,
                    answered: self.cluster.now_ms(),
                });
            }
        }
        for n in 0..LOCK_COUNT {
            self.request_until_definite(CoordinationRequest::AcquireLock {
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
            .flat_map(|group| (0..CELLS_PER_GROUP).map(move |n| format!("{group}{n}")))
        {
            let sent = self.cluster.now_ms();
            let (code, body) =
                self.request_until_definite(CoordinationRequest::ReadCell { name: cell.clone() });
            self.on_read_answer(&cell, sent, code, &body);
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

/// Gives an acquisition an attempt number that no other request has.
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
