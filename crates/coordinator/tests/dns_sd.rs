//! Tests of DNS-SD as the source of the host list, with a scripted responder.

mod support;

use coordinator::net::dns_sd::RecordCache;
use hickory_proto::op::{Message, OpCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Instant;
use support::*;

const SERVICE: &str = "_district._tcp.taxi.local.";

fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap()
}

/// Returns all records of one host: PTR, SRV and TXT of the instance, and the address of its target.
fn records(label: &str, port: u16, cell: u32, ttl: u32) -> Vec<Record> {
    let (instance, target) = (
        name(&format!("{label}.{SERVICE}")),
        name(&format!("{label}.local.")),
    );
    let txt = vec![
        "txtvers=1".into(),
        format!("cell={cell}"),
        "Zone=a".into(),
        "cell=9".into(),
    ];
    vec![
        Record::from_rdata(name(SERVICE), ttl, RData::PTR(PTR(instance.clone()))),
        Record::from_rdata(
            instance.clone(),
            ttl,
            RData::SRV(SRV::new(0, 0, port, target.clone())),
        ),
        Record::from_rdata(instance, ttl, RData::TXT(TXT::new(txt))),
        Record::from_rdata(target, ttl, RData::A(A(Ipv4Addr::LOCALHOST))),
    ]
}

fn response(records: &[Record]) -> Message {
    let mut m = Message::response(0, OpCode::Query);
    m.add_answers(records.iter().cloned());
    m
}

/// Starts a responder that answers each question from its records. Returns its socket, and a channel that receives the
/// sender and the record type of each question.
fn responder(
    records: Vec<Record>,
) -> (
    UdpSocket,
    std::sync::mpsc::Receiver<(SocketAddr, RecordType)>,
) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let ours = socket.try_clone().unwrap();
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut buffer = [0; 9000];
        while let Ok((n, from)) = ours.recv_from(&mut buffer) {
            let q = Message::from_vec(&buffer[..n]).unwrap().queries.remove(0);
            let known = |r: &&Record| r.name == q.name && r.data.record_type() == q.query_type;
            let answers: Vec<Record> = records.iter().filter(known).cloned().collect();
            ours.send_to(b"no message", from).unwrap();
            ours.send_to(&response(&answers).to_vec().unwrap(), from)
                .unwrap();
            if tx.send((from, q.query_type)).is_err() {
                return;
            }
        }
    });
    (socket, rx)
}

#[test]
fn hosts_come_by_dns_sd_and_go_with_a_goodbye() {
    let ledger = Ledger::default();
    let serve = |s: &Seen| Act::Serve(format!("v{}", s.shard));
    let hosts = [
        host(0, false, &ledger, serve),
        host(1, false, &ledger, serve),
    ];
    let port = |n: usize| hosts[n].addr.rsplit_once(':').unwrap().1.parse().unwrap();
    let both = [
        records("h0", port(0), 0, 120),
        records("h1", port(1), 1, 120),
    ];
    let (socket, asked) = responder(both.concat());
    let operator = format!(
        "[dns_sd]\nresponder = \"{}\"\nservice = \"_district._tcp.taxi.local\"",
        socket.local_addr().unwrap()
    );
    let c = Coordinator::start(&config("127.0.0.1:1", &[], &settings(), None), &operator);
    let mut client = Client::new(&c.addr);
    let mut n = 0;
    let mut ask = |shard: u32| {
        n += 1;
        client.query("near", &format!("q{n}"), 3000, &[shard]);
        client.read().0
    };
    until("both hosts are listed", || ask(0) == 200 && ask(1) == 200);
    let (browser, _) = asked.recv().unwrap();
    // Packets that are not DNS messages were counted and otherwise ignored.
    assert!(c.counters.get("list.bad_messages") > 0);
    let bye: Vec<Record> = records("h0", port(0), 0, 0).into_iter().take(1).collect();
    socket
        .send_to(&response(&bye).to_vec().unwrap(), browser)
        .unwrap();
    until("the first host is gone", || ask(0) != 200);
    assert_eq!(ask(1), 200);
}

#[test]
fn records_count_for_their_time_and_are_asked_for_before_it_ends() {
    let start = Instant::now();
    let at = |n: u64| start + ms(n);
    let mut cache = RecordCache::new(name(SERVICE));
    let kinds = |keys: Vec<(Name, RecordType)>| keys.into_iter().map(|k| k.1).collect::<Vec<_>>();
    assert_eq!(kinds(cache.questions(at(0))), [RecordType::PTR]);
    // An unanswered question is asked again after one second, then after two.
    assert_eq!(kinds(cache.questions(at(900))), []);
    assert_eq!(kinds(cache.questions(at(1000))), [RecordType::PTR]);
    assert_eq!(kinds(cache.questions(at(2900))), []);
    let all = records("h0", 5000, 3, 10);
    assert!(cache.add_response(&response(&all[..1]), at(3000)));
    assert_eq!(
        (cache.hosts().len(), kinds(cache.questions(at(3000)))),
        (0, vec![RecordType::SRV, RecordType::TXT])
    );
    cache.add_response(&response(&all), at(3000));
    let hosts = cache.hosts();
    assert_eq!(
        (hosts[0].id.as_str(), hosts[0].addr.as_str(), hosts[0].cell),
        ("h0", "127.0.0.1:5000", 3)
    );
    assert_eq!(hosts[0].zone, "a");
    // The records are queried again at 80% of their TTL of ten seconds, and are valid until its end.
    assert_eq!(kinds(cache.questions(at(10_900))), []);
    assert_eq!(cache.questions(at(11_000)).len(), 4);
    cache.expire(at(12_900));
    assert_eq!(cache.hosts().len(), 1);
    cache.expire(at(13_000));
    assert_eq!(cache.hosts().len(), 0);
    // A new address replaces the old one; a record expires one second after its goodbye.
    cache.add_response(&response(&all), at(20_000));
    cache.add_response(&response(&records("h0", 6000, 3, 10)[1..2]), at(20_100));
    assert_eq!(cache.hosts()[0].addr, "127.0.0.1:6000");
    cache.add_response(&response(&records("h0", 5000, 3, 0)[..1]), at(20_200));
    cache.expire(at(21_100));
    assert_eq!(cache.hosts().len(), 1);
    cache.expire(at(21_300));
    assert_eq!(cache.hosts().len(), 0);
}
