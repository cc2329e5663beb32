//! The replicated state: the outcome of commands, and which members may hold replicas.

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

fn replace_command(base: u64, body: Vec<u8>) -> Command {
    Command::Configure {
        base,
        amend: false,
        body,
    }
}

fn apply(state: &ReplicatedState, command: &Command) -> ReplicatedState {
    match state.plan(command) {
        Plan::Change(_, next) => *next,
        Plan::Answer(code, text) => panic!("{code:?} {}", String::from_utf8_lossy(&text)),
    }
}

fn answer(state: &ReplicatedState, command: &Command) -> ResultCode {
    match state.plan(command) {
        Plan::Answer(code, _) => code,
        Plan::Change(..) => panic!("the command requires a change"),
    }
}

#[test]
fn two_requests_when_on_one_base_then_the_second_is_rejected_and_the_first_is_idempotent() {
    let (first, second) = (
        replace_command(0, body(2, "s")),
        replace_command(0, body(3, "s")),
    );
    let state = apply(&ReplicatedState::default(), &first);
    assert_eq!(answer(&state, &second), ResultCode::OtherBase);
    assert_eq!(answer(&state, &first), ResultCode::Ok);
    // The reply stays the same after later changes.
    let later = apply(&state, &replace_command(2, body(5, "s")));
    assert_eq!(answer(&later, &first), ResultCode::Ok);
    assert_eq!(later.configuration.version, 5);
}

#[rstest]
#[case(replace_command(2, b"{".to_vec()), ResultCode::Unreadable)]
#[case(replace_command(2, body(2, "s")), ResultCode::OldVersion)]
#[case(replace_command(2, body(3, "other")), ResultCode::UnknownService)]
#[case(replace_command(1, body(3, "s")), ResultCode::OtherBase)]
fn configuration_when_invalid_then_nothing_changes(
    #[case] command: Command,
    #[case] code: ResultCode,
) {
    let state = apply(
        &ReplicatedState::default(),
        &replace_command(0, body(2, "s")),
    );
    assert_eq!(answer(&state, &command), code);
}

/// A state has to fit into one frame and one record, even if it grew by amendments.
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
    let mut state = apply(
        &ReplicatedState::default(),
        &replace_command(0, body(2, "s")),
    );
    for n in 0..3 {
        state = apply(&state, &amendment(state.configuration.version, n));
    }
    let version = state.configuration.version;
    assert_eq!(answer(&state, &amendment(version, 3)), ResultCode::TooLarge);
    // It still fits in place of another route.
    apply(&state, &amendment(version, 2));
}

/// Successive states only take memory for what differs between them.
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
    let first = apply(&ReplicatedState::default(), &replace_command(0, routes(1)));
    let second = apply(&first, &replace_command(1, routes(2)));
    assert_eq!(second.configuration.to_json().into_bytes(), routes(2));
    let item_bytes = routes(1).len() / 200;
    let differing_bytes = second.configuration.unshared_bytes(&first.configuration);
    assert!(
        differing_bytes > item_bytes && differing_bytes < 4 * item_bytes,
        "{differing_bytes} bytes differ, an item has {item_bytes}"
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
    let state = apply(
        &ReplicatedState::default(),
        &replace_command(0, body(2, "s")),
    );
    let state = apply(&state, &Command::Drain { host: "i-1".into() });
    assert_eq!(
        answer(&state, &Command::Drain { host: "i-1".into() }),
        ResultCode::Ok
    );
    assert_eq!(
        ReplicatedState::from_snapshot(&state.snapshot()).unwrap(),
        state
    );
    let forgotten = state
        .apply(&Change::Forget {
            hosts: vec!["i-1".into()],
        })
        .unwrap();
    assert!(forgotten.drains.is_empty());
}

fn member_at(id: u64, zone: &str, region: &str) -> MemberInfo {
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
fn replicas_survive_any_loss_within_the_fault_budget(
    #[case] machines: u32,
    #[case] zones: u32,
    #[case] regions: u32,
    #[case] max_replicas: Option<usize>,
) {
    let budget = FaultBudget {
        machine_losses: machines,
        zones,
        region_losses: regions,
    };
    let members = [
        member_at(1, "a", "x"),
        member_at(2, "a", "x"),
        member_at(3, "b", "x"),
        member_at(4, "c", "y"),
        member_at(5, "c", "y"),
    ];
    let members: Vec<&MemberInfo> = members.iter().collect();
    let replicas = choose_replicas(&budget, &members);
    assert_eq!(replicas.is_some(), max_replicas.is_some());
    let Some(replicas) = replicas else { return };
    let distinct = |name: fn(&MemberInfo) -> &str| {
        let names = members
            .iter()
            .filter(|m| replicas.contains(&m.id))
            .map(|m| name(m));
        names.collect::<std::collections::BTreeSet<_>>().len() as u32
    };
    assert!(
        replicas.len() <= max_replicas.unwrap() && replicas[0] == 1,
        "{replicas:?}"
    );
    assert!(
        replicas.len() as u32 > machines
            && distinct(|m| &m.zone) > zones
            && distinct(|m| &m.region) > regions
    );
}
