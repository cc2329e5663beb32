//! The core alone: a scripted transport, and a clock that the test sets.

mod support;

use fennelpin::core::{settings, CallPart, Clock, Ended, Listed, Mail, NewPart, NewQuery, Table, Transport};
use fennelpin::counters::Counters;
use fennelpin::{ClassId, ListKind, Outcome, RequestId, ServerId, ServerState};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use support::{ms, settings};

/// What the core asked of its transport.
#[derive(Default)]
struct Asked {
    calls: Vec<(ServerId, RequestId)>,
    forgotten: Vec<ServerId>,
}

#[derive(Clone, Default)]
struct Script(Arc<Mutex<Asked>>);

impl Transport for Script {
    fn listed(&mut self, _: ServerId, _: &Listed, _: Option<Instant>) {}
    fn call(&mut self, server: ServerId, parts: Vec<CallPart>) {
        self.0.lock().unwrap().calls.extend(parts.iter().map(|p| (server, p.part)));
    }
    fn cancel(&mut self, _: ServerId, _: RequestId, _: u32, _: Outcome) {}
    fn probe(&mut self, _: ServerId) {}
    fn release(&mut self, _: ServerId) {}
    fn forget(&mut self, server: ServerId) {
        self.0.lock().unwrap().forgotten.push(server);
    }
}

fn host(n: usize, state: ServerState) -> Listed {
    let (id, addr, zone) = (format!("h{n}"), format!("127.0.0.1:{n}"), "a".into());
    Listed { id, addr, zone, cell: 0, state, up_since_ms: 0 }
}

/// Where hosts are replaced by others all day, what goes by the name of one must go with it, but not while a
/// part is still out there.
#[test]
fn a_host_that_is_gone_and_idle_is_forgotten() {
    let site = settings::read(&settings().to_string()).unwrap();
    let (script, counters, start) = (Script::default(), Counters::default(), Instant::now());
    let mut table = Table::new(site, 7, Clock::new(), script.clone(), 1 << 20, counters.clone());
    table.take(Mail::List(ListKind::Full, vec![host(0, ServerState::Ready)]), start);
    let query = NewQuery {
        name: "q".into(),
        class: ClassId(0),
        tenant: None,
        arrived: start,
        wait: ms(100_000),
        repeat: None,
        key: None,
        parts: vec![NewPart { shard: 0, weight: 1.0 }],
        payload: Default::default(),
    };
    let (reply, _answer) = tokio::sync::oneshot::channel();
    table.take(Mail::Query(Box::new(query), 1, reply), start);
    table.turn_end(start);
    let (server, part) = script.0.lock().unwrap().calls[0];
    table.take(Mail::List(ListKind::Changes, vec![host(0, ServerState::Gone)]), start);
    table.run_timers(start + ms(20_000));
    assert!(script.0.lock().unwrap().forgotten.is_empty(), "a part is still out there");
    let ended = Ended { part, attempt: 0, outcome: Outcome::Reset, value: None, report: None };
    table.take(Mail::Ended(ended), start + ms(20_000));
    table.run_timers(start + ms(20_001));
    assert_eq!(script.0.lock().unwrap().forgotten, [server]);
    // One that comes back in time is kept.
    table.take(Mail::List(ListKind::Full, vec![host(1, ServerState::Ready)]), start + ms(30_000));
    table.take(Mail::List(ListKind::Full, vec![]), start + ms(31_000));
    table.take(Mail::List(ListKind::Full, vec![host(1, ServerState::Ready)]), start + ms(40_000));
    table.run_timers(start + ms(60_000));
    assert_eq!(counters.get("list.forgotten"), 1);
}
