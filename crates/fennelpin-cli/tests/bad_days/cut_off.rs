//! A member that stood still for twenty seconds: it neither hands out its old configuration as the current one nor
//! judges orders by it.

use crate::control::{configuration, until_clear, version_of, Operator, Order, Waiting, READ};
use crate::stage::{until, Stage};
use fennelpin_cli::local::fleet::Program;
use protocol::{Message, Subscriber};
use replication::{FrameReader, Pull, Update, STALE_AGE_MS};
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long the primary stands still.
const STANDSTILL: Duration = Duration::from_secs(20);
/// The longest that orders may wait while a majority lives: one member that says nothing, and a takeover.
const TAKEOVER: Duration = Duration::from_secs(5);
const ALL: [u8; 3] = [1, 2, 3];

/// A pull that waits in a member's sockets.
struct WaitingPull {
    stream: TcpStream,
}

impl WaitingPull {
    fn at(inner: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(inner).unwrap();
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

    /// Version of the configuration in the answer, and how old the member says that it may be, in ms.
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

/// Who says that nothing acknowledged before a moment is missing has all that was acknowledged before it: the first
/// version that it hasn't was acknowledged later.
fn true_age(operator: &Operator, version: u64, age_ms: u32, woken: Instant) {
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
fn a_primary_that_stood_still_for_twenty_seconds_serves_and_judges_nothing_by_its_old_state() {
    let mut stage = Stage::as_in_service(3, 1);
    let mut operator = stage.operator(&ALL);
    (0..20).for_each(|_| operator.order());
    let old = stage.settled(&ALL);
    let known = operator.newest();
    until("the first proxy has it", || {
        stage.in_force(1).last().filter(|v| **v >= known).copied()
    });

    stage.freeze(old);
    let stood = Instant::now();
    operator.longest = Duration::ZERO;
    while stood.elapsed() < STANDSTILL {
        operator.order();
    }
    println!(
        "{} orders taken meanwhile, the longest after {:?}",
        operator.newest() - known,
        operator.longest
    );
    let said = || stage.say(&ALL);
    assert!(
        operator.longest < TAKEOVER,
        "orders are held back: {:?}\n{}",
        operator.longest,
        said()
    );

    // What waits in its sockets is the first that it sees when it wakes.
    let newest = operator.newest();
    let read = Waiting::at(stage.control(old), &READ);
    let pull = WaitingPull::at(stage.inner(old));
    let beside = Order {
        body: configuration(newest + 1, "beside"),
        ..Order::new(known, newest + 1, "")
    };
    let false_yes = Waiting::at(stage.control(old), &beside.call());
    let false_no = Waiting::at(stage.control(old), &operator.last().call());
    stage.fleet.start(Program::Agent, 2, false).unwrap();
    stage.fleet.start(Program::Proxy, 2, false).unwrap();
    let woken = Instant::now();
    stage.wake(old);

    let read = read.answer();
    assert!(
        read.status >= 500 || version_of(&read) >= newest,
        "an old configuration: {read:?}"
    );
    let (version, age_ms) = pull.answer();
    println!("the pull told version {version} of {newest}, {age_ms} ms old");
    assert!(
        age_ms > STALE_AGE_MS || version >= newest,
        "an old one as current: {version}, {age_ms} ms"
    );
    true_age(&operator, version, age_ms, woken);
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
    // The agent that started beside it took nothing old for the truth.
    until("the second proxy has it", || {
        stage.in_force(2).last().filter(|v| **v >= newest).copied()
    });
    assert!(
        stage.in_force(2).iter().all(|v| *v >= newest),
        "{:?}, newest {newest}",
        stage.in_force(2)
    );

    stage.settled(&ALL);
    operator.order();
    ALL.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
    let newest = operator.newest();
    until("both proxies have it", || {
        [1, 2]
            .iter()
            .all(|edge| stage.in_force(*edge).last() == Some(&newest))
            .then_some(())
    });
    assert!(
        stage.in_force(1).is_sorted(),
        "never back: {:?}",
        stage.in_force(1)
    );
}

/// What a member is when it is frozen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Was {
    Primary,
    Backup,
    Witness,
}

#[rstest]
#[case::primary(Was::Primary)]
#[case::backup(Was::Backup)]
#[case::witness(Was::Witness)]
fn a_member_that_wakes_alone_answers_nothing_for_certain(#[case] was: Was) {
    let stage = Stage::new(3, 0);
    let mut operator = stage.operator(&ALL);
    (0..5).for_each(|_| operator.order());
    let primary = stage.settled(&ALL);
    let backup = stage.backups(&ALL, primary)[0];
    let old = match was {
        Was::Primary => primary,
        Was::Backup => backup,
        Was::Witness => 6 - primary - backup,
    };
    let known = operator.newest();
    stage.freeze(old);
    let taken = |operator: &mut Operator| (0..10).for_each(|_| operator.order());
    taken(&mut operator);
    let newest = operator.newest();
    let others: Vec<u8> = ALL.into_iter().filter(|n| *n != old).collect();
    others.iter().for_each(|n| stage.freeze(*n));

    let control = stage.control(old);
    let beside = Order {
        body: configuration(newest + 1, "beside"),
        ..Order::new(known, newest + 1, "")
    };
    let calls = [
        Waiting::at(control, &READ),
        Waiting::at(control, &beside.call()),
        Waiting::at(control, &operator.last().call()),
        Waiting::at(control, &Order::new(newest, newest + 1, "next").call()),
    ];
    let pull = WaitingPull::at(stage.inner(old));
    let woken = Instant::now();
    stage.wake(old);
    let (version, age_ms) = pull.answer();
    assert!(
        version < newest,
        "it can't know what it has missed: {version}"
    );
    true_age(&operator, version, age_ms, woken);
    for call in calls {
        let answer = call.answer();
        assert!(
            answer.status >= 500,
            "neither yes nor no can be known: {answer:?}"
        );
    }
    let status = stage.status(old).unwrap();
    assert_eq!(status["member"]["acts"], false, "{status}");

    others.iter().for_each(|n| stage.wake(*n));
    // What it was sent may be taken now, once and by all of them alike.
    until("a majority answers again", || stage.acting(&ALL));
    stage.settled(&ALL);
    let read = until_clear(&mut [control], &READ);
    let body = String::from_utf8(read.body.clone()).unwrap();
    let may_be = [
        operator.last().body.clone(),
        configuration(newest + 1, "next"),
    ];
    assert!(may_be.contains(&body), "{body}");
    for n in ALL {
        let same = until_clear(&mut [stage.control(n)], &READ);
        assert_eq!(version_of(&same), version_of(&read));
    }
}
