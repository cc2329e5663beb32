//! Old update_of: how their age is counted, and what a process that starts with nothing makes of them.

use configuration::Configuration;
use protocol::{MemberInfo, Subscriber};
use replication::{Mirror, Update, AGE_UNKNOWN, CONFIRMATION_TIMEOUT, STALE_AGE_MS};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn document(version: u64) -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"a","hostname":"h","path_prefix":"/","route_class":"pure",
        "deadline_ms":{version}000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

/// A member whose ledger is at a change that brought version 10 times as high.
fn member(id: u64, seq: u64, proved: Option<Duration>) -> Mirror {
    let mut mirror = Mirror::new(id, BEAT);
    mirror.set_replicated_state(seq, document(10 * seq), &[format!("drained-{seq}")]);
    proved
        .into_iter()
        .for_each(|at| mirror.record_primary_contact(at));
    mirror
}

fn starting() -> Mirror {
    Mirror::new(0, BEAT).withholding_unconfirmed()
}

/// One pull and its answer, which takes no time.
fn follow(to: &mut Mirror, from: &Mirror, now: Duration) {
    let pull = to.pull(&Subscriber::default(), 0);
    to.apply(
        now,
        &from
            .update_for(now, &pull)
            .unwrap_or_else(|| from.empty_update(now)),
    );
}

/// What a proxy behind it is told.
fn handed_on(mirror: &Mirror, now: Duration) -> Option<u64> {
    let pull = Mirror::new(0, BEAT).pull(&Subscriber::default(), 0);
    mirror
        .update_for(now, &pull)
        .and_then(|update_of| update_of.configuration)
        .map(|config| config.version)
}

#[rstest]
#[case::at_once(1000, 1004, 0, 30, 34)]
#[case::held_by_the_speaker(1000, 2003, 1000, 30, 33)]
#[case::the_puller_stood_still(1000, 21_500, 500, 30, 20_030)]
#[case::the_speaker_stood_still(1000, 21_002, 20_000, 20_010, 20_012)]
#[case::held_up_on_the_way(1000, 19_000, 1000, 0, 17_000)]
#[case::no_proof_at_all(1000, 1004, 0, AGE_UNKNOWN, AGE_UNKNOWN)]
fn age_of_an_answer_then_counts_from_when_the_pull_was_sent(
    #[case] asked: u64,
    #[case] now: u64,
    #[case] held_ms: u32,
    #[case] told: u32,
    #[case] age_ms: u32,
) {
    let update_of = Update {
        age_ms: told,
        held_ms,
        ..Update::default()
    };
    assert_eq!(update_of.aged(ms(asked), ms(now)).age_ms, age_ms);
}

#[rstest]
#[case::never_confirmed(None)]
#[case::cut_off_for_long(Some(ms(0)))]
fn unconfirmed_configuration_when_a_fresh_member_answers_then_the_current_one_is_shown(
    #[case] proved: Option<Duration>,
) {
    let now = ms(20_000);
    let (cut_off, well) = (member(1, 1, proved), member(2, 3, Some(now)));
    let mut agent = starting();
    follow(&mut agent, &cut_off, now);
    assert_eq!(
        (
            agent.snapshot().configuration.version,
            agent.snapshot().draining_hosts.len()
        ),
        (0, 0),
        "the old one isn't shown"
    );
    assert_eq!(handed_on(&agent, now), None, "nor handed on");
    follow(&mut agent, &well, now + CONFIRMATION_TIMEOUT / 2);
    assert_eq!(agent.snapshot().configuration.version, 30);
    assert_eq!(handed_on(&agent, now), Some(30));
    follow(&mut agent, &cut_off, now + CONFIRMATION_TIMEOUT);
    assert_eq!(
        agent.snapshot().configuration.version,
        30,
        "it never goes back"
    );
}

#[test]
fn unconfirmed_configuration_when_a_fresh_member_confirms_it_then_is_shown() {
    let now = ms(20_000);
    let (restarted, well) = (member(1, 3, None), member(2, 3, Some(now)));
    let mut agent = starting();
    follow(&mut agent, &restarted, now);
    let pull = agent.pull(&Subscriber::default(), 0);
    assert!(
        well.update_for(now, &pull).is_none(),
        "what is withheld isn't sent a second time"
    );
    follow(&mut agent, &well, now + ms(1));
    assert_eq!(agent.snapshot().configuration.version, 30);
}

#[test]
fn unconfirmed_configuration_when_nobody_else_answers_then_is_shown_after_the_time_out() {
    let now = ms(20_000);
    let mut agent = starting();
    follow(&mut agent, &member(1, 1, None), now);
    assert_eq!(agent.next_tick(), Some(now + CONFIRMATION_TIMEOUT));
    agent.tick(now + CONFIRMATION_TIMEOUT - ms(1));
    assert_eq!(agent.snapshot().configuration.version, 0);
    // Another that is cut off doesn't prolong it.
    follow(
        &mut agent,
        &member(2, 2, None),
        now + CONFIRMATION_TIMEOUT - ms(1),
    );
    assert!(agent.tick(now + CONFIRMATION_TIMEOUT), "waiters hear of it");
    assert_eq!(
        agent.snapshot().configuration.version,
        20,
        "the newest that was heard of"
    );
    assert_eq!(handed_on(&agent, now), Some(20));
    assert_eq!(agent.next_tick(), None);
    // From then on it goes forward by whoever knows more.
    follow(&mut agent, &member(3, 4, None), now + CONFIRMATION_TIMEOUT);
    assert_eq!(agent.snapshot().configuration.version, 40);
}

#[test]
fn unconfirmed_configuration_when_all_members_are_stale_then_is_shown_at_once() {
    let mut agent = starting();
    follow(&mut agent, &member(1, 1, None), ms(0));
    follow(&mut agent, &member(2, 2, None), ms(5));
    let before = agent.generation();
    agent.show_unconfirmed();
    assert!(agent.generation() > before);
    assert_eq!(agent.snapshot().configuration.version, 20);
}

#[test]
fn confirmed_configuration_then_is_shown_at_once() {
    let now = ms(9000);
    let mut agent = starting();
    follow(
        &mut agent,
        &member(1, 1, Some(now - ms(STALE_AGE_MS.into()))),
        now,
    );
    assert_eq!(agent.snapshot().configuration.version, 10);
}

#[test]
fn proxy_mirror_then_shows_what_its_agent_shows() {
    let (now, mut proxy) = (ms(9000), Mirror::new(0, BEAT).without_history());
    follow(&mut proxy, &member(1, 1, None), now);
    assert_eq!(proxy.snapshot().configuration.version, 10);
}

#[test]
fn hosts_and_members_when_configuration_is_withheld_then_are_shown() {
    let (mut cut_off, mut agent) = (member(1, 1, None), starting());
    let seat = MemberInfo {
        id: 1,
        ..MemberInfo::default()
    };
    cut_off.set_control_plane(1, 1, vec![seat]);
    follow(&mut agent, &cut_off, ms(0));
    assert_eq!(agent.control_plane().members.len(), 1, "whom else to ask");
}

/// Found by `model-check age --deviations 2`: an age beyond the process's own uptime was told as the uptime.
#[test]
fn contact_older_than_the_process_then_keeps_its_age() {
    let mut started = Mirror::new(0, BEAT);
    started.apply(
        ms(100),
        &Update {
            age_ms: 20_000,
            ..Update::default()
        },
    );
    assert_eq!(started.age_ms(ms(100)), 20_000);
    assert_eq!(started.age_ms(ms(350)), 20_250);
    started.apply(
        ms(400),
        &Update {
            age_ms: 30,
            ..Update::default()
        },
    );
    assert_eq!(started.age_ms(ms(400)), 30);
}
