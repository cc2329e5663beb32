//! The ledger: what a call comes to, and which members may hold it.

use configuration::{FaultBudget, ResultCode};
use control_plane::member::choose_replicas;
use control_plane::replicated_state::{Plan, ReplicatedState};
use protocol::{Change, Command, MemberInfo};
use rstest::rstest;

fn body(version: u64, service: &str) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h","path_prefix":"/","route_class":"pure","deadline_ms":1,"service":"{service}"}}],"services":[{{"name":"s"}}]}}"#
    )
    .into_bytes()
}

fn replace(base: u64, body: Vec<u8>) -> Command {
    Command::Configure {
        base,
        amend: false,
        body,
    }
}

fn taken(ledger: &ReplicatedState, command: &Command) -> ReplicatedState {
    match ledger.plan(command) {
        Plan::Change(_, next) => *next,
        Plan::Answer(code, text) => panic!("{code:?} {}", String::from_utf8_lossy(&text)),
    }
}

fn answer(ledger: &ReplicatedState, command: &Command) -> ResultCode {
    match ledger.plan(command) {
        Plan::Answer(code, _) => code,
        Plan::Change(..) => panic!("taken"),
    }
}

#[test]
fn two_requests_when_on_one_base_then_the_second_is_rejected_and_the_first_is_idempotent() {
    let (first, second) = (replace(0, body(2, "s")), replace(0, body(3, "s")));
    let ledger = taken(&ReplicatedState::default(), &first);
    assert_eq!(answer(&ledger, &second), ResultCode::OtherBase);
    assert_eq!(answer(&ledger, &first), ResultCode::Ok);
    // Also once others have followed.
    let later = taken(&ledger, &replace(2, body(5, "s")));
    assert_eq!(answer(&later, &first), ResultCode::Ok);
    assert_eq!(later.configuration.version, 5);
}

#[rstest]
#[case(replace(2, b"{".to_vec()), ResultCode::Unreadable)]
#[case(replace(2, body(2, "s")), ResultCode::OldVersion)]
#[case(replace(2, body(3, "other")), ResultCode::UnknownService)]
#[case(replace(1, body(3, "s")), ResultCode::OtherBase)]
fn configuration_when_invalid_then_nothing_changes(
    #[case] command: Command,
    #[case] code: ResultCode,
) {
    let ledger = taken(&ReplicatedState::default(), &replace(0, body(2, "s")));
    assert_eq!(answer(&ledger, &command), code);
}

/// A ledger has to fit into a frame and a record, whichever way it grew.
#[test]
fn amendments_when_the_result_is_too_large_then_they_are_rejected() {
    let amendment = |base: u64, n: usize| {
        let note = "x".repeat(1 << 20);
        let route = format!(
            r#"{{"name":"r{n}","hostname":"h{n}","path_prefix":"/","route_class":"pure","deadline_ms":1,"service":"s","note":"{note}"}}"#
        );
        let body = format!(
            r#"{{"version":{},"upsert":{{"routes":[{route}]}}}}"#,
            base + 1
        )
        .into_bytes();
        Command::Configure {
            base,
            amend: true,
            body,
        }
    };
    let mut ledger = taken(&ReplicatedState::default(), &replace(0, body(2, "s")));
    for n in 0..3 {
        ledger = taken(&ledger, &amendment(ledger.configuration.version, n));
    }
    let version = ledger.configuration.version;
    assert_eq!(
        answer(&ledger, &amendment(version, 3)),
        ResultCode::TooLarge
    );
    // In the place of another it still fits.
    taken(&ledger, &amendment(version, 2));
}

/// What changes hold in memory together is what differs between them.
#[test]
fn configuration_when_replaced_then_unchanged_items_are_shared() {
    let routes = |version: u64| {
        let route = |n: u64| {
            let deadline = if n == version { 2 } else { 1 };
            format!(
                r#"{{"name":"r{n}","hostname":"h{n}","path_prefix":"/","route_class":"pure","deadline_ms":{deadline},"service":"s"}}"#
            )
        };
        let routes: Vec<String> = (0..200).map(route).collect();
        format!(
            r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s"}}]}}"#,
            routes.join(",")
        )
        .into_bytes()
    };
    let first = taken(&ReplicatedState::default(), &replace(0, routes(1)));
    let second = taken(&first, &replace(1, routes(2)));
    assert_eq!(second.configuration.to_json().into_bytes(), routes(2));
    let item = routes(1).len() / 200;
    let differs = second.configuration.unshared_bytes(&first.configuration);
    assert!(
        differs > item && differs < 4 * item,
        "{differs} bytes differ, an item has {item}"
    );
}

#[test]
fn read_when_nothing_was_applied_then_the_code_says_so() {
    assert_eq!(
        answer(&ReplicatedState::default(), &Command::Read { reserved: 0 }),
        ResultCode::NoConfiguration
    );
}

#[test]
fn snapshot_when_read_back_then_the_state_is_equal() {
    let ledger = taken(&ReplicatedState::default(), &replace(0, body(2, "s")));
    let ledger = taken(&ledger, &Command::Drain { host: "i-1".into() });
    assert_eq!(
        answer(&ledger, &Command::Drain { host: "i-1".into() }),
        ResultCode::Ok
    );
    assert_eq!(
        ReplicatedState::from_snapshot(&ledger.snapshot()).unwrap(),
        ledger
    );
    let forgotten = ledger
        .apply(&Change::Forget {
            hosts: vec!["i-1".into()],
        })
        .unwrap();
    assert!(forgotten.drains.is_empty());
}

fn seat(id: u64, zone: &str, region: &str) -> MemberInfo {
    MemberInfo {
        id,
        zone: zone.into(),
        region: region.into(),
        ..MemberInfo::default()
    }
}

#[rstest]
#[case(1, 0, 0, Some(2))]
#[case(2, 0, 0, Some(3))]
#[case(0, 1, 0, Some(2))]
#[case(0, 0, 1, Some(3))]
#[case(9, 0, 0, None)]
#[case(0, 9, 0, None)]
fn copies_outlive_any_loss_allowed(
    #[case] machines: u32,
    #[case] zones: u32,
    #[case] regions: u32,
    #[case] most: Option<usize>,
) {
    let budget = FaultBudget {
        machine_losses: machines,
        zones,
        region_losses: regions,
    };
    let seats = [
        seat(1, "a", "x"),
        seat(2, "a", "x"),
        seat(3, "b", "x"),
        seat(4, "c", "y"),
        seat(5, "c", "y"),
    ];
    let seats: Vec<&MemberInfo> = seats.iter().collect();
    let replicas = choose_replicas(&budget, &seats);
    assert_eq!(replicas.is_some(), most.is_some());
    let Some(replicas) = replicas else { return };
    let of = |name: fn(&MemberInfo) -> &str| {
        let names = seats
            .iter()
            .filter(|s| replicas.contains(&s.id))
            .map(|s| name(s));
        names.collect::<std::collections::BTreeSet<_>>().len() as u32
    };
    assert!(
        replicas.len() <= most.unwrap() && replicas[0] == 1,
        "{replicas:?}"
    );
    assert!(
        replicas.len() as u32 > machines && of(|s| &s.zone) > zones && of(|s| &s.region) > regions
    );
}
