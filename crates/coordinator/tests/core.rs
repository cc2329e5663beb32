//! The core alone: a scripted transport, and a clock that the test sets.

mod support;

use coordinator::core::{
    settings, Answer, AttemptEnd, Clock, CoreMessage, Endpoint, NewPart, NewQuery, PartRequest,
    QueryTable, Transport,
};
use coordinator::counters::Counters;
use coordinator::{ClassId, ListKind, Outcome, RequestId, ServerId, ServerState};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use support::{ms, settings};

/// What the core asked of its transport.
#[derive(Default)]
struct Asked {
    calls: Vec<(ServerId, RequestId)>,
    /// Of each part that was sent: when it is too late for that.
    send_before: Vec<Option<Instant>>,
    forgotten: Vec<ServerId>,
    cancelled: Vec<RequestId>,
    retracted: Vec<RequestId>,
}

#[derive(Clone, Default)]
struct Script(Arc<Mutex<Asked>>);

impl Transport for Script {
    fn host_listed(&mut self, _: ServerId, _: &Endpoint, _: Option<Instant>) {}
    fn send_call(&mut self, server: ServerId, parts: Vec<PartRequest>) {
        let mut asked = self.0.lock().unwrap();
        asked.calls.extend(parts.iter().map(|p| (server, p.part)));
        asked
            .send_before
            .extend(parts.iter().map(|p| p.send_before));
    }
    fn cancel(&mut self, _: ServerId, part: RequestId, _: u32, _: Outcome) {
        self.0.lock().unwrap().cancelled.push(part);
    }
    fn retract(&mut self, _: ServerId, part: RequestId, _: u32) {
        self.0.lock().unwrap().retracted.push(part);
    }
    fn probe(&mut self, _: ServerId) {}
    fn close_idle_connections(&mut self, _: ServerId) {}
    fn forget_host(&mut self, server: ServerId) {
        self.0.lock().unwrap().forgotten.push(server);
    }
}

fn host(n: usize, state: ServerState) -> Endpoint {
    let (id, addr, zone) = (format!("h{n}"), format!("127.0.0.1:{n}"), "a".into());
    Endpoint {
        id,
        addr,
        zone,
        cell: 0,
        state,
        up_since_ms: 0,
    }
}

/// A query of one part under this ticket.
fn query(ticket: u64, arrived: Instant) -> (CoreMessage, tokio::sync::oneshot::Receiver<Answer>) {
    query_of_class(ClassId(0), ticket, arrived)
}

/// The same of another class.
fn query_of_class(
    class: ClassId,
    ticket: u64,
    arrived: Instant,
) -> (CoreMessage, tokio::sync::oneshot::Receiver<Answer>) {
    let (name, parts) = (
        "q".into(),
        vec![NewPart {
            shard: 0,
            weight: 1.0,
        }],
    );
    let (wait, payload) = (ms(100_000), Default::default());
    let query = NewQuery {
        name,
        class,
        tenant: None,
        arrived_at: arrived,
        client_wait: wait,
        is_retry: None,
        idempotency_key: None,
        parts,
        payload,
    };
    let (reply, answer) = tokio::sync::oneshot::channel();
    (CoreMessage::Submit(Box::new(query), ticket, reply), answer)
}

/// A client leaves while its part waits with the transport: it is withdrawn where hosts may be told so, else
/// taken back, which stops what has not begun. Leaving in the turn of the query, nothing is sent at all.
#[test]
fn a_client_that_leaves_stops_its_parts_with_and_without_cancellation() {
    for may_cancel in [true, false] {
        for same_turn in [true, false] {
            let mut settings = settings();
            settings["caps"]["may_cancel"] = may_cancel.into();
            let site = settings::read(&settings.to_string()).unwrap();
            let (script, start) = (Script::default(), Instant::now());
            let counters = Counters::default();
            let mut table = QueryTable::new(
                site,
                7,
                Clock::new(),
                script.clone(),
                1 << 20,
                counters.clone(),
            );
            table.handle_message(
                CoreMessage::HostList(ListKind::Full, vec![host(0, ServerState::Ready)]),
                start,
            );
            let (query, answer) = query(1, start);
            table.handle_message(query, start);
            if !same_turn {
                table.end_turn(start);
            }
            drop(answer);
            table.handle_message(CoreMessage::Withdraw(1), start);
            table.end_turn(start);
            let asked = script.0.lock().unwrap();
            let (sent, stopped) = (
                asked.calls.len(),
                (asked.cancelled.len(), asked.retracted.len()),
            );
            match (same_turn, may_cancel) {
                (true, _) => assert_eq!((sent, stopped), (0, (0, 0))),
                (false, true) => assert_eq!((sent, stopped), (1, (1, 0))),
                (false, false) => assert_eq!((sent, stopped), (1, (0, 1))),
            }
            assert_eq!(counters.get("answered.none.client_gone"), 1);
        }
    }
}

/// The keyed class of the settings, and the window of its keys.
const KEYED: ClassId = ClassId(2);
const KEY_WINDOW_MS: u64 = 1000;

/// The repeat of a keyed part may wait for a connection: the transport is told when its key no longer holds.
#[test]
fn a_repeat_of_a_keyed_part_is_to_be_sent_within_its_window() {
    let site = settings::read(&settings().to_string()).unwrap();
    let (script, start) = (Script::default(), Instant::now());
    let mut table = QueryTable::new(
        site,
        7,
        Clock::new(),
        script.clone(),
        1 << 20,
        Counters::default(),
    );
    let hosts = vec![host(0, ServerState::Ready), host(1, ServerState::Ready)];
    table.handle_message(CoreMessage::HostList(ListKind::Full, hosts), start);
    let (query, _answer) = query_of_class(KEYED, 1, start);
    table.handle_message(query, start);
    table.end_turn(start);
    let part = script.0.lock().unwrap().calls[0].1;
    assert_eq!(
        script.0.lock().unwrap().send_before,
        [None],
        "nothing ran before"
    );
    // It may have run: the connection broke behind it.
    let ended = AttemptEnd {
        part,
        attempt: 0,
        outcome: Outcome::Reset,
        value: None,
        report: None,
    };
    table.handle_message(CoreMessage::AttemptEnded(ended), start + ms(100));
    for n in 1..KEY_WINDOW_MS {
        let now = start + ms(100 + n);
        table.run_timers(now);
        table.end_turn(now);
        if script.0.lock().unwrap().calls.len() > 1 {
            break;
        }
    }
    let asked = script.0.lock().unwrap();
    let window_end = start + ms(KEY_WINDOW_MS);
    let send_before = asked.send_before[1].expect("a limit");
    assert!(send_before < window_end && send_before > start + ms(KEY_WINDOW_MS / 2));
}

/// Where hosts are replaced by others all day, what goes by the name of one must go with it, but not while a
/// part is still out there.
#[test]
fn a_host_that_is_gone_is_forgotten_once_nothing_is_in_flight() {
    let site = settings::read(&settings().to_string()).unwrap();
    let (script, counters, start) = (Script::default(), Counters::default(), Instant::now());
    let mut table = QueryTable::new(
        site,
        7,
        Clock::new(),
        script.clone(),
        1 << 20,
        counters.clone(),
    );
    table.handle_message(
        CoreMessage::HostList(ListKind::Full, vec![host(0, ServerState::Ready)]),
        start,
    );
    let (query, _answer) = query(1, start);
    table.handle_message(query, start);
    table.end_turn(start);
    let (server, part) = script.0.lock().unwrap().calls[0];
    table.handle_message(
        CoreMessage::HostList(ListKind::Changes, vec![host(0, ServerState::Gone)]),
        start,
    );
    table.run_timers(start + ms(20_000));
    assert!(
        script.0.lock().unwrap().forgotten.is_empty(),
        "a part is still out there"
    );
    let ended = AttemptEnd {
        part,
        attempt: 0,
        outcome: Outcome::Reset,
        value: None,
        report: None,
    };
    table.handle_message(CoreMessage::AttemptEnded(ended), start + ms(20_000));
    table.run_timers(start + ms(20_001));
    assert_eq!(script.0.lock().unwrap().forgotten, [server]);
    // One that comes back in time is kept.
    table.handle_message(
        CoreMessage::HostList(ListKind::Full, vec![host(1, ServerState::Ready)]),
        start + ms(30_000),
    );
    table.handle_message(
        CoreMessage::HostList(ListKind::Full, vec![]),
        start + ms(31_000),
    );
    table.handle_message(
        CoreMessage::HostList(ListKind::Full, vec![host(1, ServerState::Ready)]),
        start + ms(40_000),
    );
    table.run_timers(start + ms(60_000));
    assert_eq!(counters.get("list.forgotten"), 1);
}
