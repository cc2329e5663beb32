//! Which hosts are ejected, for how long, and how they are reinstated; and the attempt timeout.

mod common;
use balancing::{AttemptId, HealthChange, HostError, LoadBalancer, Outcome, RequestContext};
use common::*;
use rstest::rstest;
use std::sync::Arc;

/// All plain hosts but the first.
const OTHER_HOSTS: [&str; 2] = ["plain-1", "plain-2"];

/// Sends a request to the first plain host, by listing the others as attempted before.
fn send_to_first_host(balancer: &mut LoadBalancer, now_ms: u64) -> AttemptId {
    let attempted: Vec<Arc<str>> = OTHER_HOSTS.iter().map(|id| Arc::from(*id)).collect();
    selected(balancer.choose_host(
        ms(now_ms),
        &RequestContext {
            attempted_hosts: &attempted,
            ..PLAIN_REQUEST
        },
    ))
    .0
}

/// Sends a request every 20 ms. `outcome` returns the outcomes at the first host; requests to the others succeed.
/// Returns the times in ms at which the first host was attempted.
fn serve_requests(
    balancer: &mut LoadBalancer,
    from_ms: u64,
    to_ms: u64,
    idempotent: bool,
    outcome: impl Fn(u64) -> Outcome,
) -> Vec<u64> {
    let mut attempted_at = Vec::new();
    for now_ms in (from_ms..to_ms).step_by(20) {
        let (attempt, id) = selected(balancer.choose_host(
            ms(now_ms),
            &RequestContext {
                idempotent,
                ..PLAIN_REQUEST
            },
        ));
        let is_first_host = &*id == "plain-0";
        if is_first_host {
            attempted_at.push(now_ms);
        }
        balancer.on_attempt_ended(
            ms(now_ms + 10),
            attempt,
            if is_first_host {
                outcome(now_ms)
            } else {
                Outcome::Succeeded
            },
            None,
        );
    }
    attempted_at
}

#[test]
fn ejections_when_probes_fail_then_grow_up_to_a_bound() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempted_at = serve_requests(&mut balancer, 0, 12_000, true, |_| Outcome::ConnectFailed);
    let intervals: Vec<u64> = attempted_at
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert!(intervals[0] <= 400, "{intervals:?}");
    assert!(
        intervals.windows(2).all(|pair| pair[0] <= pair[1] + 40),
        "{intervals:?}"
    );
    assert!(
        intervals.iter().all(|interval| *interval <= 3000),
        "{intervals:?}"
    );
    assert!(attempted_at.len() <= 8, "{attempted_at:?}");
}

/// Expects one transition when a healthy host is ejected, none when a probe fails, and one when the host is reinstated.
#[rstest]
#[case(Outcome::ConnectFailed, HostError::Connection, 300)]
#[case(Outcome::ConnectionLost, HostError::Connection, 300)]
#[case(Outcome::Failed, HostError::ErrorResponse, 300)]
fn health_transitions_when_ejected_and_reinstated_then_reported_once(
    #[case] outcome: Outcome,
    #[case] error: HostError,
    #[case] ejected_ms: u64,
) {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    serve_requests(&mut balancer, 0, 4000, true, |_| outcome);
    let ejected = balancer.take_health_transitions();
    assert_eq!(ejected.len(), 1, "{ejected:?}");
    assert_eq!(
        (&*ejected[0].host_id, &*ejected[0].service),
        ("plain-0", "plain")
    );
    let duration = ms(ejected_ms);
    assert_eq!(ejected[0].change, HealthChange::Ejected { error, duration });
    serve_requests(&mut balancer, 4000, 8000, true, |_| Outcome::Succeeded);
    let reinstated = balancer.take_health_transitions();
    assert_eq!(reinstated.len(), 1, "{reinstated:?}");
    assert_eq!(reinstated[0].change, HealthChange::Reinstated);
    assert!(balancer.take_health_transitions().is_empty());
}

#[test]
fn health_transition_when_a_host_is_silent_then_reports_a_timeout() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempt = send_to_first_host(&mut balancer, 0);
    tick_until(&mut balancer, 0, 300);
    balancer.on_attempt_ended(ms(300), attempt, Outcome::TimedOut, None);
    let transitions: Vec<_> = balancer.take_health_transitions();
    let (error, duration) = (HostError::Timeout, ms(600));
    assert_eq!(transitions.len(), 1);
    assert_eq!(
        transitions[0].change,
        HealthChange::Ejected { error, duration }
    );
}

#[rstest]
#[case(true)]
#[case(false)]
fn host_when_recovered_then_used_within_three_seconds(#[case] idempotent: bool) {
    for recovered_at in (200..8000).step_by(700) {
        let (mut balancer, _) = balancer_with_hosts(0, 3);
        let attempted_at = serve_requests(&mut balancer, 0, 12_000, idempotent, |now_ms| {
            if now_ms < recovered_at {
                Outcome::ConnectFailed
            } else {
                Outcome::Succeeded
            }
        });
        let probed_at = attempted_at
            .iter()
            .find(|time| **time >= recovered_at)
            .expect("a probe is sent");
        assert!(
            probed_at - recovered_at <= 3000,
            "recovered at {recovered_at} ms, probed at {probed_at} ms"
        );
        let attempts_after = attempted_at
            .iter()
            .filter(|time| **time > probed_at + 100 && **time < probed_at + 1100)
            .count();
        assert!(
            attempts_after >= 10,
            "one successful response reinstates the host: {attempts_after} requests"
        );
    }
}

#[test]
fn unresponsive_host_when_probe_is_due_then_probed_by_an_idempotent_request() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempt = send_to_first_host(&mut balancer, 0);
    tick_until(&mut balancer, 0, 300);
    balancer.on_attempt_ended(ms(300), attempt, Outcome::TimedOut, None);
    assert!(serve_requests(&mut balancer, 320, 2400, false, |_| Outcome::TimedOut).is_empty());
    assert_eq!(
        serve_requests(&mut balancer, 2420, 2480, true, |_| Outcome::Succeeded).first(),
        Some(&2420)
    );
}

#[test]
fn host_when_a_probe_is_in_flight_then_not_probed_again() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempt = send_to_first_host(&mut balancer, 0);
    balancer.on_attempt_ended(ms(5), attempt, Outcome::ConnectFailed, None);
    tick_until(&mut balancer, 5, 600);
    let probes = (0..6)
        .filter(|_| &*selected(balancer.choose_host(ms(600), &PLAIN_REQUEST)).1 == "plain-0")
        .count();
    assert_eq!(probes, 1);
}

#[test]
fn errors_when_at_the_same_moment_then_count_as_one() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempts: Vec<_> = (0..20)
        .map(|_| send_to_first_host(&mut balancer, 0))
        .collect();
    for attempt in attempts {
        balancer.on_attempt_ended(ms(10), attempt, Outcome::ConnectionLost, None);
    }
    tick_until(&mut balancer, 10, 400);
    assert_eq!(
        &*selected(balancer.choose_host(ms(400), &PLAIN_REQUEST)).1,
        "plain-0",
        "probed after the first, shortest ejection"
    );
}

#[test]
fn error_responses_when_repeated_then_eject() {
    let (mut balancer, _) = balancer_with_hosts(0, 1);
    let attempts: Vec<_> = (0..5)
        .map(|_| selected(balancer.choose_host(ms(0), &PLAIN_REQUEST)).0)
        .collect();
    for attempt in attempts {
        balancer.on_attempt_ended(ms(10), attempt, Outcome::Failed, None);
    }
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempted_at = serve_requests(&mut balancer, 0, 3000, true, |_| Outcome::Failed);
    assert!(
        attempted_at.len() <= 6,
        "a host that fails fast doesn't count as idle: {attempted_at:?}"
    );
}

#[test]
fn host_when_it_fails_fast_then_ejected() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    for now_ms in (0..1000).step_by(10) {
        let attempt = send_to_first_host(&mut balancer, now_ms);
        balancer.on_attempt_ended(ms(now_ms + 5), attempt, Outcome::Failed, None);
    }
    // An ejected host is used if it is the only one, but not while there are others.
    let (attempt, id) = selected(balancer.choose_host(
        ms(1001),
        &RequestContext {
            idempotent: false,
            ..PLAIN_REQUEST
        },
    ));
    assert_ne!(&*id, "plain-0");
    balancer.on_attempt_ended(ms(1002), attempt, Outcome::Succeeded, None);
}

#[test]
fn timeout_when_host_sent_nothing_then_ejected_at_once() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempt = send_to_first_host(&mut balancer, 0);
    tick_until(&mut balancer, 0, 300);
    balancer.on_attempt_ended(ms(300), attempt, Outcome::TimedOut, None);
    assert!(
        (0..20).all(|_| &*selected(balancer.choose_host(ms(301), &PLAIN_REQUEST)).1 != "plain-0")
    );

    let (mut balancer, _) = balancer_with_hosts(1, 0);
    let long = [part(1, 13_000), part(2, 40_000)];
    let [timed_out, answered, waiting] =
        [0, 0, 0].map(|_| selected(balancer.choose_host(ms(0), &model_request(&long))).0);
    tick_until(&mut balancer, 0, 300);
    balancer.on_first_byte(ms(390), answered);
    balancer.on_attempt_ended(ms(400), timed_out, Outcome::TimedOut, None);
    assert!(
        balancer
            .attempt_timeout(ms(400), waiting)
            .expect("an idempotent attempt has a timeout")
            > ms(600),
        "the host is slow, but not unresponsive"
    );
}

#[test]
fn request_when_all_hosts_are_ejected_then_goes_to_the_least_bad() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    for (host_index, now_ms) in [(0, 0), (1, 10), (2, 20)] {
        let attempted: Vec<Arc<str>> = (0..3)
            .filter(|other| *other != host_index)
            .map(|other| format!("plain-{other}").into())
            .collect();
        let attempt = selected(balancer.choose_host(
            ms(now_ms),
            &RequestContext {
                attempted_hosts: &attempted,
                ..PLAIN_REQUEST
            },
        ))
        .0;
        balancer.on_attempt_ended(ms(now_ms + 1), attempt, Outcome::ConnectFailed, None);
    }
    let (_, id) = selected(balancer.choose_host(
        ms(30),
        &RequestContext {
            idempotent: false,
            ..PLAIN_REQUEST
        },
    ));
    assert_eq!(&*id, "plain-0", "the host with the oldest error is chosen");
}

#[test]
fn ejected_host_when_heartbeats_resume_then_probed_at_once() {
    let (mut balancer, mut hosts) = balancer_with_hosts(0, 3);
    let attempt = send_to_first_host(&mut balancer, 0);
    tick_until(&mut balancer, 0, 300);
    balancer.on_attempt_ended(ms(300), attempt, Outcome::TimedOut, None);
    hosts[0].heartbeat_expired = true;
    balancer.set_hosts(ms(310), &hosts);
    hosts[0].heartbeat_expired = false;
    balancer.set_hosts(ms(320), &hosts);
    assert_eq!(
        &*selected(balancer.choose_host(ms(330), &PLAIN_REQUEST)).1,
        "plain-0"
    );
}

#[test]
fn attempt_timeout_when_idempotent_then_follows_the_typical_latency() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempt = selected(balancer.choose_host(
        ms(0),
        &RequestContext {
            idempotent: false,
            ..PLAIN_REQUEST
        },
    ))
    .0;
    assert_eq!(balancer.attempt_timeout(ms(0), attempt), None);
    balancer.on_attempt_ended(ms(1), attempt, Outcome::Cancelled, None);
    let timeout_at = |balancer: &mut LoadBalancer, now_ms| {
        let attempt = selected(balancer.choose_host(
            ms(now_ms),
            &RequestContext {
                time_remaining: ms(5000),
                target_remaining: None,
                ..PLAIN_REQUEST
            },
        ))
        .0;
        let timeout = balancer
            .attempt_timeout(ms(now_ms), attempt)
            .expect("an idempotent attempt has a timeout");
        balancer.on_attempt_ended(ms(now_ms), attempt, Outcome::Cancelled, None);
        timeout
    };
    let fast = timeout_at(&mut balancer, 2);
    assert_eq!(
        fast,
        ms(600),
        "the shortest timeout leaves a host time to prefill a long prompt of another proxy"
    );
    // All responses take 500 ms from now on.
    for n in 0..100 {
        let now_ms = 100 + n * 520;
        let attempt = selected(balancer.choose_host(ms(now_ms), &PLAIN_REQUEST)).0;
        balancer.tick(ms(now_ms + 200));
        balancer.tick(ms(now_ms + 400));
        balancer.on_attempt_ended(ms(now_ms + 500), attempt, Outcome::Succeeded, None);
    }
    let slow = timeout_at(&mut balancer, 53_000);
    assert!(slow >= ms(700), "{slow:?}");
    let attempt = selected(balancer.choose_host(
        ms(53_010),
        &RequestContext {
            time_remaining: ms(100),
            target_remaining: None,
            ..PLAIN_REQUEST
        },
    ))
    .0;
    assert_eq!(
        balancer.attempt_timeout(ms(53_010), attempt),
        Some(ms(600)),
        "the shortest timeout applies despite the near deadline"
    );
}

#[test]
fn attempt_timeout_when_host_is_unresponsive_then_shortest() {
    let (mut balancer, _) = balancer_with_hosts(1, 0);
    let long = [part(1, 13_000), part(2, 40_000)];
    let timed_out = selected(balancer.choose_host(ms(0), &model_request(&long))).0;
    let waiting = selected(balancer.choose_host(ms(0), &model_request(&long))).0;
    let before = balancer
        .attempt_timeout(ms(100), waiting)
        .expect("an idempotent attempt has a timeout");
    assert!(before > ms(700), "{before:?}");
    tick_until(&mut balancer, 0, 400);
    balancer.on_attempt_ended(ms(400), timed_out, Outcome::TimedOut, None);
    assert_eq!(balancer.attempt_timeout(ms(400), waiting), Some(ms(600)));
}
