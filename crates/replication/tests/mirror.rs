//! Mirror: applies only what is newer, and sends pullers exactly what they lack.

use configuration::Configuration;
use protocol::{
    Addr, CoordinatorRecord, HostRecord, MemberInfo, OriginUpdate, OriginVersion, Subscriber,
};
use replication::{phase, Mirror, Pull, Update};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1000);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn mirror(member: u64) -> Mirror {
    Mirror::new(member, HEARTBEAT_PERIOD)
}

/// Configuration with the version as the deadline of route `all`, a route that only this version has, and a route that
/// all versions share.
fn configuration(version: u64) -> Arc<Configuration> {
    let route = |name: &str, deadline: u64| {
        format!(
            r#"{{"name":"{name}","hostname":"h","path_prefix":"/{name}/","route_class":"pure","deadline_ms":{deadline},
            "service":"s"}}"#
        )
    };
    let routes = [
        route("all", version),
        route(&format!("v{version}"), 5),
        route("same", 7),
    ]
    .join(",");
    let text = format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

fn host(id: &str, call_seq: u64) -> HostRecord {
    let addr = Addr {
        ip: 1,
        port: id.bytes().map(u16::from).sum(),
    };
    HostRecord {
        id: id.into(),
        service: "s".into(),
        addr,
        capacity: 1,
        call_seq,
        ..HostRecord::default()
    }
}

fn coordinator(name: &str, gone: bool) -> CoordinatorRecord {
    CoordinatorRecord {
        name: name.into(),
        gone,
        ..CoordinatorRecord::default()
    }
}

fn origin_update(
    member: u64,
    incarnation: u64,
    sequence_number: u64,
    is_complete: bool,
    hosts: Vec<HostRecord>,
) -> OriginUpdate {
    OriginUpdate {
        version: OriginVersion {
            member_id: member,
            incarnation,
            sequence: sequence_number,
        },
        complete: is_complete,
        hosts,
        coordinators: vec![],
    }
}

fn update_with_origins(origin_updates: Vec<OriginUpdate>) -> Update {
    Update {
        origins: origin_updates,
        ..Update::default()
    }
}

fn pull(mirror: &Mirror) -> Pull {
    mirror.pull(&Subscriber::default(), 1000)
}

/// Pulls once from `source` to `puller`. Returns the update, if there was one.
fn pull_once(puller: &mut Mirror, source: &Mirror, now: Duration) -> Option<Update> {
    let update = source.update_for(now, &pull(puller));
    if let Some(update) = &update {
        puller.apply(now, update);
    }
    update
}

#[test]
fn pull_when_behind_returns_exactly_what_is_lacking() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    assert_eq!(
        pull_once(&mut agent, &member, ms(0)),
        None,
        "nothing is known yet"
    );
    member.set_replicated_state(1, configuration(2), &["x".to_owned()]);
    member.apply(
        ms(0),
        &update_with_origins(vec![origin_update(
            1,
            1,
            3,
            true,
            vec![host("a", 1), host("b", 1)],
        )]),
    );
    let first = pull_once(&mut agent, &member, ms(0)).unwrap();
    assert_eq!(
        first.configuration.as_ref().unwrap().base_version,
        0,
        "the first update holds the whole configuration"
    );
    assert!(first.origins[0].complete);
    assert_eq!(pull_once(&mut agent, &member, ms(0)), None);

    member.apply(
        ms(1),
        &update_with_origins(vec![origin_update(1, 1, 4, false, vec![host("b", 9)])]),
    );
    let change = pull_once(&mut agent, &member, ms(1)).unwrap();
    assert_eq!(change.configuration, None);
    assert_eq!(
        change.origins,
        [origin_update(1, 1, 4, false, vec![host("b", 9)])]
    );

    member.set_replicated_state(2, configuration(5), &[]);
    let change = pull_once(&mut agent, &member, ms(2))
        .unwrap()
        .configuration
        .unwrap();
    assert_eq!((change.base_version, change.version), (2, 5));
    assert_eq!(
        (change.routes.len(), change.removed_routes.as_slice()),
        (2, &["v2".to_owned()][..]),
        "the unchanged route is not sent"
    );
    let snapshot = agent.snapshot();
    assert_eq!(
        (
            snapshot.index,
            snapshot.configuration.version,
            snapshot.draining_hosts.len()
        ),
        (2, 5, 0)
    );
    assert_eq!(snapshot.configuration.routes.len(), 3);
    assert_eq!(pull_once(&mut agent, &member, ms(2)), None);
}

#[test]
fn update_when_only_drains_changed_contains_no_configuration_items() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.set_replicated_state(1, configuration(2), &[]);
    pull_once(&mut agent, &member, ms(0));
    member.set_replicated_state(2, configuration(2), &["i".to_owned()]);
    let config = pull_once(&mut agent, &member, ms(0))
        .unwrap()
        .configuration
        .unwrap();
    assert_eq!(
        (config.base_version, config.version, config.routes.len()),
        (2, 2, 0)
    );
    assert!(agent.snapshot().draining_hosts.contains("i"));
}

fn host_ids(ids: &[&str]) -> Vec<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

#[test]
fn update_when_drains_changed_contains_only_the_changes() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.set_replicated_state(1, configuration(2), &host_ids(&["a", "b", "c"]));
    let config = pull_once(&mut agent, &member, ms(0))
        .unwrap()
        .configuration
        .unwrap();
    assert_eq!(
        (config.drains_base_index, config.drains),
        (0, host_ids(&["a", "b", "c"]))
    );
    member.set_replicated_state(2, configuration(2), &host_ids(&["a", "b", "c", "d"]));
    member.set_replicated_state(3, configuration(2), &host_ids(&["b", "c", "d", "e"]));
    let config = pull_once(&mut agent, &member, ms(0))
        .unwrap()
        .configuration
        .unwrap();
    assert_eq!(config.drains_base_index, 1);
    assert_eq!(
        (config.drains, config.removed_drains),
        (host_ids(&["d", "e"]), host_ids(&["a"]))
    );
    assert_eq!(
        agent.snapshot().draining_hosts,
        member.snapshot().draining_hosts
    );
    member.set_replicated_state(4, configuration(5), &host_ids(&["b", "c", "d", "e"]));
    let config = pull_once(&mut agent, &member, ms(0))
        .unwrap()
        .configuration
        .unwrap();
    assert_eq!(
        (config.drains, config.removed_drains),
        (host_ids(&[]), host_ids(&[])),
        "only the configuration changed"
    );
    assert_eq!(agent.snapshot().draining_hosts.len(), 4);
}

#[test]
fn update_for_a_puller_at_an_unknown_index_contains_all_drains() {
    let (mut upstream, mut downstream, mut agent) = (mirror(1), mirror(2), mirror(0));
    upstream.set_replicated_state(1, configuration(2), &host_ids(&["a"]));
    pull_once(&mut downstream, &upstream, ms(0));
    upstream.set_replicated_state(2, configuration(2), &host_ids(&["a", "b"]));
    pull_once(&mut agent, &upstream, ms(0));
    upstream.set_replicated_state(3, configuration(2), &host_ids(&["c"]));
    pull_once(&mut downstream, &upstream, ms(0));
    let config = pull_once(&mut agent, &downstream, ms(0))
        .unwrap()
        .configuration
        .unwrap();
    assert_eq!(
        config.drains_base_index, 0,
        "the intermediate change of host b is not known there"
    );
    assert_eq!(
        agent.snapshot().draining_hosts,
        upstream.snapshot().draining_hosts
    );
}

#[test]
fn apply_when_drains_extend_another_index_changes_nothing() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.set_replicated_state(1, configuration(2), &host_ids(&["a"]));
    pull_once(&mut agent, &member, ms(0));
    let earlier_pull = pull(&agent);
    member.set_replicated_state(2, configuration(2), &host_ids(&["b"]));
    pull_once(&mut agent, &member, ms(0));
    // The answer to the earlier pull arrives late.
    member.set_replicated_state(3, configuration(2), &host_ids(&["b", "c"]));
    let late = member.update_for(ms(0), &earlier_pull).unwrap();
    assert_eq!(late.configuration.as_ref().unwrap().drains_base_index, 1);
    assert!(!agent.apply(ms(0), &late));
    assert_eq!(agent.index(), 2);
    pull_once(&mut agent, &member, ms(0));
    assert_eq!(
        agent.snapshot().draining_hosts,
        member.snapshot().draining_hosts
    );
}

#[test]
fn update_for_a_puller_far_behind_contains_all_drains() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.set_replicated_state(1, configuration(2), &host_ids(&["a"]));
    pull_once(&mut agent, &member, ms(0));
    for index in 2..1000 {
        member.set_replicated_state(index, configuration(2), &[format!("i-{index}")]);
    }
    let config = pull_once(&mut agent, &member, ms(0))
        .unwrap()
        .configuration
        .unwrap();
    assert_eq!(
        (config.drains_base_index, config.drains),
        (0, host_ids(&["i-999"]))
    );
    assert_eq!(
        agent.snapshot().draining_hosts,
        member.snapshot().draining_hosts
    );
}

#[test]
fn drains_are_applied_without_a_configuration() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.set_replicated_state(1, Arc::default(), &["i".to_owned()]);
    pull_once(&mut agent, &member, ms(0));
    assert_eq!(
        (
            agent.snapshot().configuration.version,
            agent.snapshot().draining_hosts.len()
        ),
        (0, 1)
    );
}

#[rstest]
#[case::lower_index(3, 9)]
#[case::same_index(4, 9)]
#[case::lower_version(5, 3)]
fn apply_when_state_is_older_changes_nothing(#[case] index: u64, #[case] version: u64) {
    let (mut old, mut agent) = (mirror(1), mirror(0));
    agent.set_replicated_state(4, configuration(4), &[]);
    old.set_replicated_state(index, configuration(version), &[]);
    let all = old.update_for(ms(0), &Pull::default()).unwrap();
    assert!(!agent.apply(ms(0), &all));
    assert_eq!((agent.index(), agent.configuration().version), (4, 4));
    assert!(!agent.set_replicated_state(index, configuration(version), &[]));
}

#[test]
fn apply_when_base_version_differs_changes_nothing_until_the_next_pull() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.set_replicated_state(1, configuration(2), &[]);
    pull_once(&mut agent, &member, ms(0));
    let earlier_pull = pull(&agent);
    // Another member sends the next version first.
    let mut other = mirror(2);
    other.set_replicated_state(2, configuration(3), &[]);
    pull_once(&mut agent, &other, ms(0));
    member.set_replicated_state(2, configuration(3), &[]);
    member.set_replicated_state(3, configuration(6), &[]);
    let late = member.update_for(ms(0), &earlier_pull).unwrap();
    assert_eq!(late.configuration.as_ref().unwrap().base_version, 2);
    assert!(!agent.apply(ms(0), &late));
    assert_eq!(agent.configuration().version, 3);
    pull_once(&mut agent, &member, ms(0));
    assert_eq!(agent.configuration().version, 6);
}

#[test]
fn invalid_item_leads_to_a_pull_of_the_whole_configuration() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.set_replicated_state(1, configuration(2), &[]);
    pull_once(&mut agent, &member, ms(0));
    member.set_replicated_state(2, configuration(3), &[]);
    let mut invalid = member.update_for(ms(0), &pull(&agent)).unwrap();
    invalid.configuration.as_mut().unwrap().routes[0] = "{".into();
    assert!(!agent.apply(ms(0), &invalid));
    assert_eq!(pull(&agent).configuration_version, 0);
    assert_eq!(
        pull_once(&mut agent, &member, ms(0))
            .unwrap()
            .configuration
            .unwrap()
            .base_version,
        0
    );
    assert_eq!(
        (
            agent.configuration().version,
            pull(&agent).configuration_version
        ),
        (3, 3)
    );
}

#[test]
fn update_for_a_version_not_in_the_history_contains_the_whole_configuration() {
    let mut member = mirror(1);
    for n in 1..=40 {
        member.set_replicated_state(n, configuration(n), &[]);
    }
    let update_since = |version| {
        member.update_for(
            ms(0),
            &Pull {
                index: version,
                configuration_version: version,
                ..Pull::default()
            },
        )
    };
    assert_eq!(
        update_since(5).unwrap().configuration.unwrap().base_version,
        0
    );
    assert_eq!(
        update_since(20)
            .unwrap()
            .configuration
            .unwrap()
            .base_version,
        20
    );
    assert_eq!(update_since(40), None);
}

#[test]
fn pull_from_one_member_returns_all_origins() {
    let (mut a, mut b, mut agent) = (mirror(1), mirror(2), mirror(0));
    a.apply(
        ms(0),
        &update_with_origins(vec![origin_update(1, 1, 1, true, vec![host("a", 1)])]),
    );
    b.apply(
        ms(0),
        &update_with_origins(vec![origin_update(2, 1, 1, true, vec![host("b", 1)])]),
    );
    pull_once(&mut a, &b, ms(0));
    pull_once(&mut agent, &a, ms(0));
    assert_eq!(
        agent.snapshot().hosts.keys().collect::<Vec<_>>(),
        ["a", "b"]
    );
    assert_eq!(
        pull_once(&mut agent, &b, ms(0)),
        None,
        "the agent lacks nothing that b has"
    );
    assert_eq!(agent.version_vector(), a.version_vector());
}

#[test]
fn apply_when_sequence_is_older_or_incarnation_is_unknown_changes_nothing() {
    let mut agent = mirror(0);
    agent.apply(
        ms(0),
        &update_with_origins(vec![origin_update(1, 2, 5, true, vec![host("a", 5)])]),
    );
    assert!(!agent.apply(
        ms(0),
        &update_with_origins(vec![origin_update(1, 2, 4, true, vec![])])
    ));
    assert!(!agent.apply(
        ms(0),
        &update_with_origins(vec![origin_update(1, 3, 9, false, vec![host("b", 1)])])
    ));
    assert!(!agent.apply(
        ms(0),
        &update_with_origins(vec![origin_update(9, 1, 9, false, vec![host("b", 1)])])
    ));
    assert_eq!(agent.snapshot().hosts.len(), 1);
}

#[test]
fn hosts_of_an_older_incarnation_are_kept_for_four_heartbeats() {
    let mut agent = mirror(0);
    agent.apply(
        ms(0),
        &update_with_origins(vec![origin_update(
            1,
            1,
            5,
            true,
            vec![host("a", 5), host("b", 5)],
        )]),
    );
    agent.apply(
        ms(100),
        &update_with_origins(vec![origin_update(1, 2, 1, true, vec![])]),
    );
    assert_eq!(
        agent.snapshot().hosts.len(),
        2,
        "the hosts are kept for now"
    );
    agent.apply(
        ms(900),
        &update_with_origins(vec![origin_update(1, 2, 2, false, vec![host("b", 6)])]),
    );
    assert_eq!(agent.next_tick(), Some(ms(4100)));
    assert!(!agent.tick(ms(4099)));
    assert!(agent.tick(ms(4100)));
    assert_eq!(
        agent.snapshot().hosts.keys().collect::<Vec<_>>(),
        ["b"],
        "the host that has not called again is dropped"
    );
    // A mirror that still has the older incarnation doesn't bring it back.
    let mut slow = mirror(2);
    slow.apply(
        ms(0),
        &update_with_origins(vec![origin_update(
            1,
            1,
            5,
            true,
            vec![host("a", 5), host("b", 5)],
        )]),
    );
    assert_eq!(slow.update_for(ms(4200), &pull(&agent)), None);
    assert!(!agent.apply(
        ms(4200),
        &update_with_origins(vec![origin_update(1, 1, 6, true, vec![host("a", 5)])])
    ));
    // Such a mirror learns of the newer incarnation.
    pull_once(&mut slow, &agent, ms(4200));
    assert_eq!(slow.snapshot().hosts["b"].call_seq, 6);
}

#[test]
fn removed_origin_is_dropped_after_four_heartbeats_and_reported_to_pullers() {
    let (mut member, mut agent) = (mirror(2), mirror(0));
    member.apply(
        ms(0),
        &update_with_origins(vec![origin_update(1, 1, 5, true, vec![host("a", 5)])]),
    );
    pull_once(&mut agent, &member, ms(0));
    member.remove_origin(ms(1000), 1);
    let update = pull_once(&mut agent, &member, ms(1500)).unwrap();
    assert_eq!(update.removed_origins, [1]);
    assert_eq!(
        pull_once(&mut agent, &member, ms(1500)),
        None,
        "the removal is sent once"
    );
    assert_eq!(agent.snapshot().hosts.len(), 1);
    assert!(agent.tick(ms(5500)));
    assert_eq!(agent.snapshot().hosts.len(), 0);
    assert_eq!(
        pull_once(&mut agent, &member, ms(5500)),
        None,
        "the removed origin is not sent again"
    );
    assert!(member.tick(ms(5500)));
    assert_eq!(pull_once(&mut agent, &member, ms(5600)), None);
    // The member returns with a new incarnation.
    member.apply(
        ms(6000),
        &update_with_origins(vec![origin_update(1, 2, 1, true, vec![host("a", 9)])]),
    );
    pull_once(&mut agent, &member, ms(6000));
    assert_eq!(agent.snapshot().hosts["a"].call_seq, 9);
}

#[test]
fn removed_origin_that_sends_a_change_is_kept() {
    let mut member = mirror(2);
    member.apply(
        ms(0),
        &update_with_origins(vec![origin_update(1, 1, 5, true, vec![host("a", 5)])]),
    );
    member.remove_origin(ms(0), 1);
    member.apply(
        ms(100),
        &update_with_origins(vec![origin_update(1, 1, 6, false, vec![host("b", 1)])]),
    );
    assert!(!member.tick(ms(9000)));
    assert_eq!(member.snapshot().hosts.len(), 2);
}

#[test]
fn snapshot_merges_the_hosts_of_all_origins() {
    let mut agent = mirror(0);
    let record = |id: &str, call_seq, phase, is_silent| HostRecord {
        phase,
        heartbeat_expired: is_silent,
        ..host(id, call_seq)
    };
    let first = vec![
        record("moved", 3, phase::READY, true),
        record("gone", 9, phase::READY, false),
        record("leaving", 9, phase::READY, false),
        record("old", 2, phase::FORGOTTEN, false),
        record("forgotten", 2, phase::FORGOTTEN, false),
    ];
    let second = vec![
        record("moved", 8, phase::READY, false),
        record("gone", 4, phase::GONE, false),
        record("leaving", 4, phase::DRAINING, false),
        record("old", 1, phase::READY, false),
    ];
    agent.apply(
        ms(0),
        &update_with_origins(vec![
            origin_update(1, 1, 1, true, first),
            origin_update(2, 1, 1, true, second),
        ]),
    );
    agent.set_replicated_state(1, configuration(1), &["moved".to_owned()]);
    let hosts = agent.snapshot().hosts;
    assert_eq!(
        (hosts["moved"].call_seq, hosts["moved"].heartbeat_expired),
        (8, false),
        "the record with the highest call number is used"
    );
    assert_eq!(
        hosts["moved"].phase,
        phase::DRAINING,
        "draining according to the replicated state"
    );
    assert_eq!(
        hosts["gone"].phase,
        phase::GONE,
        "gone is the highest phase"
    );
    assert_eq!(hosts["leaving"].phase, phase::DRAINING);
    assert_eq!(hosts["old"].phase, phase::READY);
    assert_eq!(hosts.len(), 4);
}

#[test]
fn older_of_two_hosts_at_one_address_is_gone() {
    let mut agent = mirror(0);
    let host_at_shared_addr = |id: &str, call_seq| HostRecord {
        addr: Addr { ip: 9, port: 9 },
        ..host(id, call_seq)
    };
    agent.apply(
        ms(0),
        &update_with_origins(vec![origin_update(
            1,
            1,
            1,
            true,
            vec![host_at_shared_addr("z", 50)],
        )]),
    );
    agent.apply(
        ms(9),
        &update_with_origins(vec![origin_update(
            2,
            1,
            1,
            true,
            vec![host_at_shared_addr("a", 1)],
        )]),
    );
    let hosts = agent.snapshot().hosts;
    assert_eq!(
        (hosts["z"].phase, hosts["a"].phase),
        (phase::GONE, phase::READY)
    );
    // The same holds if both arrive together: the host that has called less often counts as the newer one.
    let mut late = mirror(0);
    pull_once(&mut late, &agent, ms(9));
    let mut at_once = mirror(0);
    at_once.apply(
        ms(9),
        &update_with_origins(vec![origin_update(
            1,
            1,
            1,
            true,
            vec![host_at_shared_addr("a", 1), host_at_shared_addr("z", 50)],
        )]),
    );
    assert_eq!(at_once.snapshot().hosts["z"].phase, phase::GONE);
}

#[test]
fn gone_hosts_are_dropped_for_good_after_the_retention_time() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.apply(
        ms(0),
        &update_with_origins(vec![
            origin_update(1, 1, 1, true, vec![host("a", 1)]),
            origin_update(2, 1, 1, true, vec![]),
        ]),
    );
    pull_once(&mut agent, &member, ms(0));
    let gone_host = HostRecord {
        phase: phase::GONE,
        ..host("a", 7)
    };
    member.apply(
        ms(500),
        &update_with_origins(vec![origin_update(2, 1, 2, false, vec![gone_host])]),
    );
    let earlier_pull = pull(&agent);
    pull_once(&mut agent, &member, ms(500));
    assert_eq!(agent.snapshot().hosts["a"].phase, phase::GONE);
    assert_eq!(member.next_tick(), Some(ms(60_500)));
    assert!(member.tick(ms(60_500)));
    assert!(
        member.snapshot().hosts.is_empty(),
        "neither origin has the host any longer"
    );
    assert_eq!(pull_once(&mut agent, &member, ms(60_500)), None);
    // A puller that lacks the dropped change gets a complete update.
    assert!(
        member
            .update_for(ms(60_500), &earlier_pull)
            .unwrap()
            .origins[0]
            .complete
    );
}

#[test]
fn complete_update_that_omits_records_is_passed_on_as_complete() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.apply(
        ms(0),
        &update_with_origins(vec![origin_update(
            2,
            1,
            1,
            true,
            vec![host("a", 1), host("b", 1)],
        )]),
    );
    pull_once(&mut agent, &member, ms(0));
    member.apply(
        ms(0),
        &update_with_origins(vec![origin_update(2, 1, 9, true, vec![host("b", 1)])]),
    );
    pull_once(&mut agent, &member, ms(0));
    assert_eq!(agent.snapshot().hosts.keys().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn snapshot_lists_a_coordinator_of_several_origins_once() {
    let mut agent = mirror(0);
    let update = |id, names: &[(&str, bool)]| OriginUpdate {
        coordinators: names
            .iter()
            .map(|(name, gone)| coordinator(name, *gone))
            .collect(),
        ..origin_update(id, 1, 1, true, vec![])
    };
    agent.apply(
        ms(0),
        &update_with_origins(vec![
            update(1, &[("a", false), ("b", true)]),
            update(2, &[("a", true), ("c", false)]),
        ]),
    );
    assert_eq!(
        agent.snapshot().coordinators.iter().collect::<Vec<_>>(),
        ["a", "c"]
    );
    agent.remove_origin(ms(0), 2);
    assert_eq!(
        agent.snapshot().coordinators.iter().collect::<Vec<_>>(),
        ["a"]
    );
}

#[test]
fn age_is_that_of_the_latest_known_contact() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    assert_eq!(agent.age_ms(ms(5000)), u32::MAX, "no contact yet");
    member.record_primary_contact(ms(1000));
    agent.apply(ms(1200), &member.empty_update(ms(1200)));
    assert_eq!(agent.age_ms(ms(1300)), 300);
    agent.apply(
        ms(1300),
        &Update {
            age_ms: 900,
            ..Update::default()
        },
    );
    assert_eq!(
        agent.age_ms(ms(1300)),
        300,
        "an older contact does not replace a later one"
    );
}

#[test]
fn age_of_an_update_that_cannot_be_applied_is_ignored() {
    let (mut member, mut agent) = (mirror(1), mirror(0));
    member.record_primary_contact(ms(1000));
    member.set_replicated_state(1, configuration(1), &[]);
    member.set_replicated_state(2, configuration(2), &[]);
    let update = member
        .update_for(
            ms(1000),
            &Pull {
                index: 1,
                configuration_version: 1,
                ..Pull::default()
            },
        )
        .unwrap();
    agent.apply(ms(1000), &update);
    assert_eq!(agent.age_ms(ms(1000)), u32::MAX);
}

#[test]
fn only_the_primary_raises_the_control_plane_version_within_an_epoch() {
    let member_info = |id| MemberInfo {
        id,
        ..MemberInfo::default()
    };
    let (mut primary, mut other, mut agent) = (mirror(1), mirror(2), mirror(0));
    assert!(primary.set_control_plane(3, 1, vec![member_info(1)]));
    assert!(
        !primary.set_control_plane(3, 1, vec![member_info(1)]),
        "no change"
    );
    assert!(primary.set_control_plane(3, 1, vec![member_info(1), member_info(2)]));
    assert!(other.set_control_plane(3, 1, vec![member_info(1)]));
    assert!(!other.set_control_plane(3, 1, vec![member_info(2)]));
    pull_once(&mut other, &primary, ms(0));
    assert_eq!(other.control_plane(), primary.control_plane());
    pull_once(&mut agent, &other, ms(0));
    assert_eq!(agent.control_plane().members.len(), 2);
    assert!(other.set_control_plane(4, 2, vec![member_info(2)]));
    pull_once(&mut agent, &other, ms(0));
    assert_eq!(
        pull_once(&mut agent, &primary, ms(0)),
        None,
        "the lower epoch is not newer"
    );
    assert_eq!(
        (agent.control_plane().epoch, agent.control_plane().primary),
        (4, 2)
    );
}

#[test]
fn host_at_other_origins_returns_their_latest_record() {
    let mut member = mirror(1);
    let origin_updates = vec![
        origin_update(1, 1, 1, true, vec![host("a", 9)]),
        origin_update(2, 1, 1, true, vec![host("a", 4)]),
        origin_update(3, 1, 1, true, vec![host("a", 6)]),
    ];
    member.apply(ms(0), &update_with_origins(origin_updates));
    assert_eq!(member.host_at_other_origins(1, "a").unwrap().call_seq, 6);
    assert!(member.host_at_other_origins(1, "b").is_none());
}

#[test]
fn coordinator_estimate_counts_a_coordinator_of_several_members_once() {
    let mut agent = mirror(0);
    assert_eq!(agent.coordinator_estimate(), 0);
    for id in 1..=5 {
        let mut update = origin_update(id, 1, 1, true, vec![]);
        update.coordinators = (0..6)
            .map(|n| coordinator(&format!("edge-{id}-{n}"), false))
            .collect();
        agent.apply(ms(0), &update_with_origins(vec![update]));
    }
    assert_eq!(
        agent.coordinator_estimate(),
        10,
        "five members report, and each coordinator pulls from three"
    );
}

/// Configuration of about 1 MB. Two versions differ in one route, or in all of them.
fn large_configuration(version: u64, all_routes_differ: bool) -> Arc<Configuration> {
    let route = |n: u64| {
        let differs = all_routes_differ || n == 0;
        let padding = format!("{}{}", "x".repeat(1000), if differs { version } else { 0 });
        format!(
            r#"{{"name":"r{n}","hostname":"h{n}","path_prefix":"/","route_class":"pure","deadline_ms":1,"service":"s","note":"{padding}"}}"#
        )
    };
    let routes: Vec<String> = (0..1000).map(route).collect();
    let text = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s"}}]}}"#,
        routes.join(",")
    );
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

/// Large configurations are kept as long as they differ little. A puller that is further behind gets the whole
/// configuration. Either way it ends with the latest version.
#[rstest]
#[case::one_route_differs(false, &[1, 10, 19])]
#[case::all_routes_differ(true, &[18, 19])]
fn history_of_large_configurations_is_bounded(
    #[case] all_routes_differ: bool,
    #[case] known: &[u64],
) {
    let mut member = mirror(1);
    let mut versions = vec![];
    for version in 1..=20 {
        let configuration = Arc::new(
            (*large_configuration(version, all_routes_differ))
                .clone()
                .sharing(member.configuration()),
        );
        versions.push(configuration.clone());
        member.set_replicated_state(version, configuration, &[]);
    }
    for behind in 1..20_u64 {
        let mut agent = mirror(0).without_history();
        agent.set_replicated_state(behind, versions[behind as usize - 1].clone(), &[]);
        let update = member.update_for(ms(0), &pull(&agent)).unwrap();
        let base_version = update.configuration.as_ref().unwrap().base_version;
        if known.contains(&behind) {
            assert_eq!(base_version, behind);
        } else if all_routes_differ {
            assert_eq!(
                base_version,
                if behind < 18 { 0 } else { behind },
                "{behind}"
            );
        }
        agent.apply(ms(0), &update);
        assert_eq!(agent.configuration().version, 20);
        assert_eq!(agent.configuration().routes, member.configuration().routes);
    }
}

/// Configuration with these tenants; `None` for one without a list of tenants.
fn configuration_with_tenants(version: u64, tenants: Option<&str>) -> Arc<Configuration> {
    let tenants = tenants.map_or(String::new(), |list| format!(r#","tenants":[{list}]"#));
    let text = format!(r#"{{"version":{version},"routes":[],"services":[]{tenants}}}"#);
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

#[rstest]
fn puller_at_any_earlier_version_gets_the_latest_tenants(
    #[values(0, 1, 2, 3)] known: u64,
    #[values(None, Some(""), Some(r#"{"name":"b","credentials":["k"]}"#))] newest: Option<&str>,
) {
    let versions = [
        Some(r#"{"name":"a"}"#),
        None,
        Some(r#"{"name":"a"},{"name":"b"}"#),
        newest,
    ];
    let (mut member, mut agent) = (mirror(1), mirror(0));
    for (version, tenants) in (1..).zip(versions) {
        let configuration = configuration_with_tenants(version, tenants);
        member.set_replicated_state(version, configuration, []);
        let pull = agent.pull(&Subscriber::default(), 0);
        if version <= known {
            let update = member.update_for(ms(0), &pull).unwrap();
            agent.apply(ms(0), &update);
        }
    }
    let update = member.update_for(ms(0), &agent.pull(&Subscriber::default(), 0));
    let message = update.unwrap().into_message();
    agent.apply(ms(0), &Update::from_message(message).unwrap());
    assert_eq!(
        agent.configuration().tenants,
        member.configuration().tenants
    );
    assert_eq!(agent.configuration().version, 4);
}
