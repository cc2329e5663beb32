//! A member that was frozen: it neither hands out its old configuration as the newest one nor judges changes by it.

use crate::harness::callers::{
    call_until_conclusive, configuration, configuration_version, ChangeRequest, PendingCall,
    TestOperator, READ,
};
use crate::harness::cluster::{MemberRole, TestCluster};
use crate::harness::wait_until;
use fennelpin_cli::local::cluster::Program;
use protocol::{Message, Subscriber};
use replication::{FrameReader, Pull, Update, STALE_AGE_MS};
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time for which the primary is frozen.
const STANDSTILL: Duration = Duration::from_secs(20);
/// Longest time that a change may wait while a majority lives: a time-out at one member, and a takeover.
const TAKEOVER: Duration = Duration::from_secs(5);
const ALL: [u8; 3] = [1, 2, 3];

/// A pull that waits in a socket while the member is frozen.
struct WaitingPull {
    stream: TcpStream,
}

impl WaitingPull {
    fn at(message_address: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(message_address).unwrap();
        let caller = Subscriber {
            name: "edge-9".into(),
            ..Subscriber::default()
        };
        let pull = Pull {
            subscriber: caller,
            ..Pull::default()
        };
        stream
            .write_all(&protocol::encode(&pull.into_message()))
            .unwrap();
        Self { stream }
    }

    /// Version of the configuration in the answer, and its age in ms by the member's word.
    fn answer(self) -> (u64, u32) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let message: Message = runtime.block_on(async {
            self.stream.set_nonblocking(true).unwrap();
            let stream = tokio::net::TcpStream::from_std(self.stream).unwrap();
            FrameReader::new(stream, Vec::new())
                .next()
                .await
                .unwrap()
                .expect("news")
        });
        let news = Update::from_message(message).expect("news");
        (news.configuration.map_or(0, |c| c.version), news.age_ms)
    }
}

/// A member that claims to have all changes up to a moment has all that were acknowledged before: the first version that
/// it lacks was acknowledged later.
fn assert_true_age(operator: &TestOperator, version: u64, age_ms: u32, woken: Instant) {
    let Some(acknowledged) = operator.acknowledged(version + 1) else {
        return;
    };
    let missing = woken.saturating_duration_since(acknowledged).as_millis();
    assert!(
        u128::from(age_ms) >= missing,
        "{version}: {age_ms} ms old, but it lacks one for {missing} ms"
    );
}

#[test]
fn primary_when_thawed_then_answers_nothing_by_its_old_state() {
    let mut cluster = TestCluster::with_default_settings(3, 1);
    let mut operator = cluster.operator(&ALL);
    operator.apply_changes(20);
    let old = cluster.wait_until_stable(&ALL);
    let known = operator.newest();
    wait_until("the first proxy has it", || {
        versions_since(&cluster, 1, known)
    });
    change_while_frozen(&cluster, &mut operator, old);
    wait_until_published(&cluster, old, operator.newest());
    thaw_and_check_answers(&mut cluster, &operator, old, known);

    // The agent that started beside it took no old configuration for the newest.
    let newest = operator.newest();
    wait_until("the second proxy has it", || {
        versions_since(&cluster, 2, newest)
    });
    assert!(
        cluster.versions_in_force(2).iter().all(|v| *v >= newest),
        "{:?}, newest {newest}",
        cluster.versions_in_force(2)
    );

    cluster.wait_until_stable(&ALL);
    operator.apply_next();
    ALL.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
    let newest = operator.newest();
    wait_until("both proxies have it", || {
        [1, 2]
            .iter()
            .all(|edge| cluster.versions_in_force(*edge).last() == Some(&newest))
            .then_some(())
    });
    assert!(
        cluster.versions_in_force(1).is_sorted(),
        "never back: {:?}",
        cluster.versions_in_force(1)
    );
}

/// The version in force at a proxy, once that is at least `version`.
fn versions_since(cluster: &TestCluster, edge: u8, version: u64) -> Option<u64> {
    let versions = cluster.versions_in_force(edge);
    versions.last().filter(|v| **v >= version).copied()
}

/// Waits until all members but a frozen one publish a version. A backup learns of a commit a moment after the operator,
/// so that an agent that starts in between may take the version before it for the newest, and rightly so.
fn wait_until_published(cluster: &TestCluster, frozen: u8, version: u64) {
    let publishes = |n: &u8| {
        let status = cluster.status(*n);
        status.is_some_and(|status| status["ledger"]["version"] == version)
    };
    wait_until("the members that live publish the newest", || {
        let mut living = ALL.iter().filter(|n| **n != frozen);
        living.all(publishes).then_some(())
    });
}

/// Freezes the primary. Changes are acknowledged without it, none after a long wait.
fn change_while_frozen(cluster: &TestCluster, operator: &mut TestOperator, old: u8) {
    let known = operator.newest();
    cluster.freeze(old);
    let stood = Instant::now();
    operator.longest = Duration::ZERO;
    while stood.elapsed() < STANDSTILL {
        operator.apply_next();
    }
    println!(
        "{} orders taken meanwhile, the longest after {:?}",
        operator.newest() - known,
        operator.longest
    );
    assert!(
        operator.longest < TAKEOVER,
        "orders are held back: {:?}\n{}",
        operator.longest,
        cluster.describe(&ALL)
    );
}

/// Thaws the former primary, with calls in its sockets, and an agent that starts beside it. It may neither take its old
/// configuration for the newest nor judge changes by it.
fn thaw_and_check_answers(cluster: &mut TestCluster, operator: &TestOperator, old: u8, known: u64) {
    // What waits in its sockets is the first thing that it sees when it is thawed.
    let newest = operator.newest();
    let read = PendingCall::at(cluster.control(old), &READ);
    let pull = WaitingPull::at(cluster.message_address(old));
    let beside = ChangeRequest {
        body: configuration(newest + 1, "beside"),
        ..ChangeRequest::new(known, newest + 1, "")
    };
    let false_yes = PendingCall::at(cluster.control(old), &beside.call());
    let false_no = PendingCall::at(cluster.control(old), &operator.last().call());
    cluster.processes.start(Program::Agent, 2, false).unwrap();
    cluster.processes.start(Program::Proxy, 2, false).unwrap();
    let woken = Instant::now();
    cluster.thaw(old);

    let read = read.answer();
    assert!(
        read.status >= 500 || configuration_version(&read) >= newest,
        "an old configuration: {read:?}"
    );
    let (version, age_ms) = pull.answer();
    println!("the pull told version {version} of {newest}, {age_ms} ms old");
    assert!(
        age_ms > STALE_AGE_MS || version >= newest,
        "an old one as current: {version}, {age_ms} ms"
    );
    assert_true_age(operator, version, age_ms, woken);
    let false_yes = false_yes.answer();
    assert!(
        false_yes.status == 412 || false_yes.status >= 500,
        "on an old version: {false_yes:?}"
    );
    let false_no = false_no.answer();
    assert!(
        false_no.status == 200 || false_no.status >= 500,
        "taken long ago: {false_no:?}"
    );
}

#[rstest]
#[case::primary(MemberRole::Primary)]
#[case::backup(MemberRole::Backup)]
#[case::witness(MemberRole::Witness)]
fn member_when_thawed_alone_then_answers_nothing_for_certain(#[case] role: MemberRole) {
    let cluster = TestCluster::new(3, 0);
    let mut operator = cluster.operator(&ALL);
    operator.apply_changes(5);
    let old = cluster.member_with_role(&ALL, role);
    let known = operator.newest();
    cluster.freeze(old);
    let acknowledged = |operator: &mut TestOperator| operator.apply_changes(10);
    acknowledged(&mut operator);
    let newest = operator.newest();
    let others: Vec<u8> = ALL.into_iter().filter(|n| *n != old).collect();
    others.iter().for_each(|n| cluster.freeze(*n));

    let control = cluster.control(old);
    let beside = ChangeRequest {
        body: configuration(newest + 1, "beside"),
        ..ChangeRequest::new(known, newest + 1, "")
    };
    let calls = [
        PendingCall::at(control, &READ),
        PendingCall::at(control, &beside.call()),
        PendingCall::at(control, &operator.last().call()),
        PendingCall::at(
            control,
            &ChangeRequest::new(newest, newest + 1, "next").call(),
        ),
    ];
    let pull = WaitingPull::at(cluster.message_address(old));
    let woken = Instant::now();
    cluster.thaw(old);
    let (version, age_ms) = pull.answer();
    assert!(
        version < newest,
        "it can't know what it has missed: {version}"
    );
    assert_true_age(&operator, version, age_ms, woken);
    for call in calls {
        let answer = call.answer();
        assert!(
            answer.status >= 500,
            "neither yes nor no can be known: {answer:?}"
        );
    }
    let status = cluster.status(old).unwrap();
    assert_eq!(status["member"]["acts"], false, "{status}");

    others.iter().for_each(|n| cluster.thaw(*n));
    // What it was sent may be applied now, once and by all members alike.
    wait_until("a majority answers again", || cluster.primary(&ALL));
    cluster.wait_until_stable(&ALL);
    let read = call_until_conclusive(&mut [control], &READ);
    let body = String::from_utf8(read.body.clone()).unwrap();
    let may_be = [
        operator.last().body.clone(),
        configuration(newest + 1, "next"),
    ];
    assert!(may_be.contains(&body), "{body}");
    for n in ALL {
        let same = call_until_conclusive(&mut [cluster.control(n)], &READ);
        assert_eq!(configuration_version(&same), configuration_version(&read));
    }
}
