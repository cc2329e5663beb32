//! Who is out, for how long, and how it comes back.

mod common;
use balancing::{AttemptId, LoadBalancer, Outcome, RequestContext};
use common::*;
use rstest::rstest;
use std::sync::Arc;

const OTHERS: [&str; 2] = ["plain-1", "plain-2"];

fn send_to_first(p: &mut LoadBalancer, t: u64) -> AttemptId {
    let tried: Vec<Arc<str>> = OTHERS.iter().map(|id| Arc::from(*id)).collect();
    sent(p.choose_host(
        ms(t),
        &RequestContext {
            attempted_hosts: &tried,
            ..PLAIN
        },
    ))
    .0
}

/// Requests every 20 ms, all hosts but the first well; the first outcome decides how the first host does.
/// Returns when the first host was tried.
fn play(
    p: &mut LoadBalancer,
    from: u64,
    to: u64,
    idempotent: bool,
    outcome: impl Fn(u64) -> Outcome,
) -> Vec<u64> {
    let mut tried = Vec::new();
    for t in (from..to).step_by(20) {
        let (a, id) = sent(p.choose_host(
            ms(t),
            &RequestContext {
                idempotent,
                ..PLAIN
            },
        ));
        let first = &*id == "plain-0";
        if first {
            tried.push(t);
        }
        p.on_attempt_ended(
            ms(t + 10),
            a,
            if first {
                outcome(t)
            } else {
                Outcome::Succeeded
            },
            None,
        );
    }
    tried
}

#[test]
fn relapses_make_the_pauses_grow_up_to_a_bound() {
    let (mut p, _) = policy(0, 3);
    let tried = play(&mut p, 0, 12_000, true, |_| Outcome::ConnectFailed);
    let gaps: Vec<u64> = tried.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps[0] <= 400, "{gaps:?}");
    assert!(gaps.windows(2).all(|w| w[0] <= w[1] + 40), "{gaps:?}");
    assert!(gaps.iter().all(|g| *g <= 3000), "{gaps:?}");
    assert!(tried.len() <= 8, "{tried:?}");
}

#[rstest]
#[case(true)]
#[case(false)]
fn a_host_that_is_well_again_is_back_within_three_seconds(#[case] idempotent: bool) {
    for well in (200..8000).step_by(700) {
        let (mut p, _) = policy(0, 3);
        let tried = play(&mut p, 0, 12_000, idempotent, |t| {
            if t < well {
                Outcome::ConnectFailed
            } else {
                Outcome::Succeeded
            }
        });
        let back = tried.iter().find(|t| **t >= well).expect("tried again");
        assert!(back - well <= 3000, "well at {well}, tried at {back}");
        let after = tried
            .iter()
            .filter(|t| **t > back + 100 && **t < back + 1100)
            .count();
        assert!(after >= 10, "one good answer brings it back: {after}");
    }
}

#[test]
fn the_trial_of_a_dark_host_is_by_a_request_that_may_be_repeated() {
    let (mut p, _) = policy(0, 3);
    let a = send_to_first(&mut p, 0);
    pass(&mut p, 0, 300);
    p.on_attempt_ended(ms(300), a, Outcome::TimedOut, None);
    assert!(play(&mut p, 320, 2400, false, |_| Outcome::TimedOut).is_empty());
    assert_eq!(
        play(&mut p, 2420, 2480, true, |_| Outcome::Succeeded).first(),
        Some(&2420)
    );
}

#[test]
fn one_trial_at_a_time() {
    let (mut p, _) = policy(0, 3);
    let a = send_to_first(&mut p, 0);
    p.on_attempt_ended(ms(5), a, Outcome::ConnectFailed, None);
    pass(&mut p, 5, 600);
    let firsts = (0..6)
        .filter(|_| &*sent(p.choose_host(ms(600), &PLAIN)).1 == "plain-0")
        .count();
    assert_eq!(firsts, 1);
}

#[test]
fn errors_of_one_moment_count_as_one() {
    let (mut p, _) = policy(0, 3);
    let out: Vec<_> = (0..20).map(|_| send_to_first(&mut p, 0)).collect();
    for a in out {
        p.on_attempt_ended(ms(10), a, Outcome::ConnectionLost, None);
    }
    pass(&mut p, 10, 400);
    assert_eq!(
        &*sent(p.choose_host(ms(400), &PLAIN)).1,
        "plain-0",
        "tried after the first pause"
    );
}

#[test]
fn failures_of_one_moment_do_not_put_a_host_out_but_repeated_ones_do() {
    let (mut p, _) = policy(0, 1);
    let out: Vec<_> = (0..5)
        .map(|_| sent(p.choose_host(ms(0), &PLAIN)).0)
        .collect();
    for a in out {
        p.on_attempt_ended(ms(10), a, Outcome::Failed, None);
    }
    let (mut p, _) = policy(0, 3);
    let tried = play(&mut p, 0, 3000, true, |_| Outcome::Failed);
    assert!(
        tried.len() <= 6,
        "a quick failer doesn't look idle: {tried:?}"
    );
}

#[test]
fn a_failer_is_out_however_fast_it_fails() {
    let (mut p, _) = policy(0, 3);
    for t in (0..1000).step_by(10) {
        let a = send_to_first(&mut p, t);
        p.on_attempt_ended(ms(t + 5), a, Outcome::Failed, None);
    }
    // Without the others it is used all the same; with them it isn't while it is out.
    let (a, id) = sent(p.choose_host(
        ms(1001),
        &RequestContext {
            idempotent: false,
            ..PLAIN
        },
    ));
    assert_ne!(&*id, "plain-0");
    p.on_attempt_ended(ms(1002), a, Outcome::Succeeded, None);
}

#[test]
fn a_silence_puts_a_host_out_at_once_unless_it_was_heard_meanwhile() {
    let (mut p, _) = policy(0, 3);
    let a = send_to_first(&mut p, 0);
    pass(&mut p, 0, 300);
    p.on_attempt_ended(ms(300), a, Outcome::TimedOut, None);
    assert!((0..20).all(|_| &*sent(p.choose_host(ms(301), &PLAIN)).1 != "plain-0"));

    let (mut p, _) = policy(1, 0);
    let long = [part(1, 13_000), part(2, 40_000)];
    let [a, b, c] = [0, 0, 0].map(|_| sent(p.choose_host(ms(0), &prompt(&long))).0);
    pass(&mut p, 0, 300);
    p.on_first_byte(ms(390), b);
    p.on_attempt_ended(ms(400), a, Outcome::TimedOut, None);
    assert!(
        p.attempt_timeout(ms(400), c).expect("may be repeated") > ms(600),
        "slow, not dark"
    );
}

#[test]
fn with_all_hosts_out_requests_still_go_to_the_least_bad() {
    let (mut p, _) = policy(0, 3);
    for (n, t) in [(0, 0), (1, 10), (2, 20)] {
        let tried: Vec<Arc<str>> = (0..3)
            .filter(|m| *m != n)
            .map(|m| format!("plain-{m}").into())
            .collect();
        let a = sent(p.choose_host(
            ms(t),
            &RequestContext {
                attempted_hosts: &tried,
                ..PLAIN
            },
        ))
        .0;
        p.on_attempt_ended(ms(t + 1), a, Outcome::ConnectFailed, None);
    }
    let (_, id) = sent(p.choose_host(
        ms(30),
        &RequestContext {
            idempotent: false,
            ..PLAIN
        },
    ));
    assert_eq!(&*id, "plain-0", "its error is the oldest");
}

#[test]
fn a_host_heard_of_again_by_the_roster_is_tried_at_once() {
    let (mut p, mut hosts) = policy(0, 3);
    let a = send_to_first(&mut p, 0);
    pass(&mut p, 0, 300);
    p.on_attempt_ended(ms(300), a, Outcome::TimedOut, None);
    hosts[0].heartbeat_expired = true;
    p.set_hosts(ms(310), &hosts);
    hosts[0].heartbeat_expired = false;
    p.set_hosts(ms(320), &hosts);
    assert_eq!(&*sent(p.choose_host(ms(330), &PLAIN)).1, "plain-0");
}

#[test]
fn patience_follows_the_usual_times_and_is_only_for_what_may_be_repeated() {
    let (mut p, _) = policy(0, 3);
    let a = sent(p.choose_host(
        ms(0),
        &RequestContext {
            idempotent: false,
            ..PLAIN
        },
    ))
    .0;
    assert_eq!(p.attempt_timeout(ms(0), a), None);
    p.on_attempt_ended(ms(1), a, Outcome::Cancelled, None);
    let of = |p: &mut LoadBalancer, t| {
        let a = sent(p.choose_host(
            ms(t),
            &RequestContext {
                time_remaining: ms(5000),
                ..PLAIN
            },
        ))
        .0;
        let patience = p.attempt_timeout(ms(t), a).expect("may be repeated");
        p.on_attempt_ended(ms(t), a, Outcome::Cancelled, None);
        patience
    };
    let quick = of(&mut p, 2);
    assert_eq!(
        quick,
        ms(600),
        "not before a host may have read a long prompt of another proxy"
    );
    // All answers take 500 ms from now on.
    for n in 0..100 {
        let t = 100 + n * 520;
        let a = sent(p.choose_host(ms(t), &PLAIN)).0;
        p.tick(ms(t + 200));
        p.tick(ms(t + 400));
        p.on_attempt_ended(ms(t + 500), a, Outcome::Succeeded, None);
    }
    let slow = of(&mut p, 53_000);
    assert!(slow >= ms(700), "{slow:?}");
    let a = sent(p.choose_host(
        ms(53_010),
        &RequestContext {
            time_remaining: ms(100),
            ..PLAIN
        },
    ))
    .0;
    assert_eq!(
        p.attempt_timeout(ms(53_010), a),
        Some(ms(600)),
        "never below some hundred ms"
    );
}

#[test]
fn what_waits_at_a_host_found_dark_moves_on_at_once() {
    let (mut p, _) = policy(1, 0);
    let long = [part(1, 13_000), part(2, 40_000)];
    let a = sent(p.choose_host(ms(0), &prompt(&long))).0;
    let b = sent(p.choose_host(ms(0), &prompt(&long))).0;
    let before = p.attempt_timeout(ms(100), b).expect("may be repeated");
    assert!(before > ms(700), "{before:?}");
    pass(&mut p, 0, 400);
    p.on_attempt_ended(ms(400), a, Outcome::TimedOut, None);
    assert_eq!(p.attempt_timeout(ms(400), b), Some(ms(600)));
}
