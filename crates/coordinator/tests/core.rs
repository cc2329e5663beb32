//! Tests of the core's query table, with a transport that records its calls and times chosen by the test.

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

/// The calls that the core made to its transport.
#[derive(Default)]
struct TransportCalls {
    calls: Vec<(ServerId, RequestId)>,
    /// For each part sent, the time from which it must not be sent.
    send_before: Vec<Option<Instant>>,
    forgotten: Vec<ServerId>,
    cancelled: Vec<RequestId>,
    retracted: Vec<RequestId>,
}

#[derive(Clone, Default)]
struct RecordingTransport(Arc<Mutex<TransportCalls>>);

impl Transport for RecordingTransport {
    fn host_listed(&mut self, _: ServerId, _: &Endpoint, _: Option<Instant>) {}
    fn send_call(&mut self, server: ServerId, parts: Vec<PartRequest>) {
        let mut recorded = self.0.lock().unwrap();
        recorded
            .calls
            .extend(parts.iter().map(|p| (server, p.part)));
        recorded
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

/// Creates the message for a query of one part with this ticket.
fn query(ticket: u64, arrived: Instant) -> (CoreMessage, tokio::sync::oneshot::Receiver<Answer>) {
    query_of_class(ClassId(0), ticket, arrived)
}

/// Creates the message for a query of one part with this class and ticket.
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

/// A client leaves while its part waits in the transport. The part is cancelled if hosts accept cancellations, and
/// otherwise retracted, which stops it if it was not sent yet. If the client leaves in the turn of its query, nothing
/// is sent.
#[test]
fn a_client_that_leaves_stops_its_parts_with_and_without_cancellation() {
    for may_cancel in [true, false] {
        for same_turn in [true, false] {
            let mut settings = settings();
            settings["caps"]["may_cancel"] = may_cancel.into();
            let site = settings::read(&settings.to_string()).unwrap();
            let (transport, start) = (RecordingTransport::default(), Instant::now());
            let counters = Counters::default();
            let mut table = QueryTable::new(
                site,
                7,
                Clock::new(),
                transport.clone(),
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
            let recorded = transport.0.lock().unwrap();
            let (sent, stopped) = (
                recorded.calls.len(),
                (recorded.cancelled.len(), recorded.retracted.len()),
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

/// The class of the settings whose queries have idempotency keys.
const KEYED: ClassId = ClassId(2);
/// The window of that class's keys, in milliseconds.
const KEY_WINDOW_MS: u64 = 1000;

/// The repeat of a part with an idempotency key may have to wait for a connection, so the transport is told when the
/// window of its key ends.
#[test]
fn a_repeat_of_a_keyed_part_is_to_be_sent_within_its_window() {
    let site = settings::read(&settings().to_string()).unwrap();
    let (transport, start) = (RecordingTransport::default(), Instant::now());
    let mut table = QueryTable::new(
        site,
        7,
        Clock::new(),
        transport.clone(),
        1 << 20,
        Counters::default(),
    );
    let hosts = vec![host(0, ServerState::Ready), host(1, ServerState::Ready)];
    table.handle_message(CoreMessage::HostList(ListKind::Full, hosts), start);
    let (query, _answer) = query_of_class(KEYED, 1, start);
    table.handle_message(query, start);
    table.end_turn(start);
    let part = transport.0.lock().unwrap().calls[0].1;
    assert_eq!(
        transport.0.lock().unwrap().send_before,
        [None],
        "nothing ran before"
    );
    // The part may have run, since the connection was reset after it was sent.
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
        if transport.0.lock().unwrap().calls.len() > 1 {
            break;
        }
    }
    let recorded = transport.0.lock().unwrap();
    let window_end = start + ms(KEY_WINDOW_MS);
    let send_before = recorded.send_before[1].expect("a limit");
    assert!(send_before < window_end && send_before > start + ms(KEY_WINDOW_MS / 2));
}

/// Hosts are constantly replaced under new names, so the state of a host that is gone must be removed, but not while a
/// part is in flight at it.
#[test]
fn a_host_that_is_gone_is_forgotten_once_nothing_is_in_flight() {
    let site = settings::read(&settings().to_string()).unwrap();
    let (transport, counters, start) = (
        RecordingTransport::default(),
        Counters::default(),
        Instant::now(),
    );
    let mut table = QueryTable::new(
        site,
        7,
        Clock::new(),
        transport.clone(),
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
    let (server, part) = transport.0.lock().unwrap().calls[0];
    table.handle_message(
        CoreMessage::HostList(ListKind::Changes, vec![host(0, ServerState::Gone)]),
        start,
    );
    table.run_timers(start + ms(20_000));
    assert!(
        transport.0.lock().unwrap().forgotten.is_empty(),
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
    assert_eq!(transport.0.lock().unwrap().forgotten, [server]);
    // A host that returns within the retention is kept.
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
