//! Age of updates, and the treatment of old ones by a process that starts without state.

use configuration::Configuration;
use protocol::{MemberInfo, Subscriber};
use replication::{Mirror, Update, AGE_UNKNOWN, CONFIRMATION_TIMEOUT, STALE_AGE_MS};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1000);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn configuration(version: u64) -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"a","hostname":"h","path_prefix":"/","route_class":"pure",
        "deadline_ms":{version}000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

/// Member whose replicated state is at `index`, with a configuration version 10 times as high.
fn member(id: u64, index: u64, confirmed_at: Option<Duration>) -> Mirror {
    let mut mirror = Mirror::new(id, HEARTBEAT_PERIOD);
    mirror.set_replicated_state(
        index,
        configuration(10 * index),
        &[format!("drained-{index}")],
    );
    confirmed_at
        .into_iter()
        .for_each(|at| mirror.record_primary_contact(at));
    mirror
}

fn starting_mirror() -> Mirror {
    Mirror::new(0, HEARTBEAT_PERIOD).withholding_unconfirmed()
}

/// Pulls once, with an answer that takes no time.
fn pull_once(puller: &mut Mirror, source: &Mirror, now: Duration) {
    let pull = puller.pull(&Subscriber::default(), 0);
    puller.apply(
        now,
        &source
            .update_for(now, &pull)
            .unwrap_or_else(|| source.empty_update(now)),
    );
}

/// Returns the configuration version that a proxy which pulls from this mirror would receive.
fn version_sent_to_proxy(mirror: &Mirror, now: Duration) -> Option<u64> {
    let pull = Mirror::new(0, HEARTBEAT_PERIOD).pull(&Subscriber::default(), 0);
    mirror
        .update_for(now, &pull)
        .and_then(|update| update.configuration)
        .map(|configuration| configuration.version)
}

#[rstest]
#[case::answered_at_once(1000, 1004, 0, 30, 34)]
#[case::held_by_the_member(1000, 2003, 1000, 30, 33)]
#[case::puller_was_frozen(1000, 21_500, 500, 30, 20_030)]
#[case::member_was_frozen(1000, 21_002, 20_000, 20_010, 20_012)]
#[case::delayed_by_the_network(1000, 19_000, 1000, 0, 17_000)]
#[case::unknown_age(1000, 1004, 0, AGE_UNKNOWN, AGE_UNKNOWN)]
fn age_of_an_answer_counts_from_the_time_of_the_pull(
    #[case] sent_at: u64,
    #[case] now: u64,
    #[case] held_ms: u32,
    #[case] sender_age_ms: u32,
    #[case] expected_age_ms: u32,
) {
    let update = Update {
        age_ms: sender_age_ms,
        held_ms,
        ..Update::default()
    };
    assert_eq!(update.aged(ms(sent_at), ms(now)).age_ms, expected_age_ms);
}

#[rstest]
#[case::never_confirmed(None)]
#[case::out_of_contact_for_long(Some(ms(0)))]
fn unconfirmed_configuration_is_replaced_once_a_fresh_member_answers(
    #[case] confirmed_at: Option<Duration>,
) {
    let now = ms(20_000);
    let (out_of_contact, in_contact) = (member(1, 1, confirmed_at), member(2, 3, Some(now)));
    let mut agent = starting_mirror();
    pull_once(&mut agent, &out_of_contact, now);
    assert_eq!(
        (
            agent.snapshot().configuration.version,
            agent.snapshot().draining_hosts.len()
        ),
        (0, 0),
        "the old configuration is not shown"
    );
    assert_eq!(
        version_sent_to_proxy(&agent, now),
        None,
        "nor sent to proxies"
    );
    pull_once(&mut agent, &in_contact, now + CONFIRMATION_TIMEOUT / 2);
    assert_eq!(agent.snapshot().configuration.version, 30);
    assert_eq!(version_sent_to_proxy(&agent, now), Some(30));
    pull_once(&mut agent, &out_of_contact, now + CONFIRMATION_TIMEOUT);
    assert_eq!(
        agent.snapshot().configuration.version,
        30,
        "the version never goes back"
    );
}

#[test]
fn unconfirmed_configuration_is_shown_once_a_fresh_member_confirms_it() {
    let now = ms(20_000);
    let (restarted, in_contact) = (member(1, 3, None), member(2, 3, Some(now)));
    let mut agent = starting_mirror();
    pull_once(&mut agent, &restarted, now);
    let pull = agent.pull(&Subscriber::default(), 0);
    assert!(
        in_contact.update_for(now, &pull).is_none(),
        "the withheld configuration is not sent a second time"
    );
    pull_once(&mut agent, &in_contact, now + ms(1));
    assert_eq!(agent.snapshot().configuration.version, 30);
}

#[test]
fn unconfirmed_configuration_is_shown_after_the_timeout() {
    let now = ms(20_000);
    let mut agent = starting_mirror();
    pull_once(&mut agent, &member(1, 1, None), now);
    assert_eq!(agent.next_tick(), Some(now + CONFIRMATION_TIMEOUT));
    agent.tick(now + CONFIRMATION_TIMEOUT - ms(1));
    assert_eq!(agent.snapshot().configuration.version, 0);
    // Another member without contact doesn't prolong the wait.
    pull_once(
        &mut agent,
        &member(2, 2, None),
        now + CONFIRMATION_TIMEOUT - ms(1),
    );
    assert!(
        agent.tick(now + CONFIRMATION_TIMEOUT),
        "the change is reported"
    );
    assert_eq!(
        agent.snapshot().configuration.version,
        20,
        "the latest configuration received"
    );
    assert_eq!(version_sent_to_proxy(&agent, now), Some(20));
    assert_eq!(agent.next_tick(), None);
    // From then on, any member with a newer configuration updates it.
    pull_once(&mut agent, &member(3, 4, None), now + CONFIRMATION_TIMEOUT);
    assert_eq!(agent.snapshot().configuration.version, 40);
}

#[test]
fn unconfirmed_configuration_is_shown_at_once_if_all_members_are_stale() {
    let mut agent = starting_mirror();
    pull_once(&mut agent, &member(1, 1, None), ms(0));
    pull_once(&mut agent, &member(2, 2, None), ms(5));
    let before = agent.generation();
    agent.show_unconfirmed();
    assert!(agent.generation() > before);
    assert_eq!(agent.snapshot().configuration.version, 20);
}

#[test]
fn confirmed_configuration_is_shown_at_once() {
    let now = ms(9000);
    let mut agent = starting_mirror();
    pull_once(
        &mut agent,
        &member(1, 1, Some(now - ms(STALE_AGE_MS.into()))),
        now,
    );
    assert_eq!(agent.snapshot().configuration.version, 10);
}

#[test]
fn mirror_of_a_proxy_shows_what_its_agent_shows() {
    let (now, mut proxy) = (ms(9000), Mirror::new(0, HEARTBEAT_PERIOD).without_history());
    pull_once(&mut proxy, &member(1, 1, None), now);
    assert_eq!(proxy.snapshot().configuration.version, 10);
}

#[test]
fn members_are_shown_while_the_configuration_is_withheld() {
    let (mut out_of_contact, mut agent) = (member(1, 1, None), starting_mirror());
    let member_info = MemberInfo {
        id: 1,
        ..MemberInfo::default()
    };
    out_of_contact.set_control_plane(1, 1, vec![member_info]);
    pull_once(&mut agent, &out_of_contact, ms(0));
    assert_eq!(
        agent.control_plane().members.len(),
        1,
        "other members to pull from are known"
    );
}

/// Regression test for a case found by `model-check age --deviations 2`: an age above the process's uptime was reported
/// as the uptime.
#[test]
fn contact_before_the_start_of_the_process_keeps_its_age() {
    let mut mirror = Mirror::new(0, HEARTBEAT_PERIOD);
    mirror.apply(
        ms(100),
        &Update {
            age_ms: 20_000,
            ..Update::default()
        },
    );
    assert_eq!(mirror.age_ms(ms(100)), 20_000);
    assert_eq!(mirror.age_ms(ms(350)), 20_250);
    mirror.apply(
        ms(400),
        &Update {
            age_ms: 30,
            ..Update::default()
        },
    );
    assert_eq!(mirror.age_ms(ms(400)), 30);
}
