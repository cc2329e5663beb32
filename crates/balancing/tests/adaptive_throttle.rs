//! When requests are throttled because too few are answered in time.

mod common;
use balancing::{AttemptId, HostChoice, LoadBalancer, Outcome, RequestContext};
use common::*;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const TARGET_MS: u64 = 200;

/// A request whose first event is late after [`TARGET_MS`].
const WITH_TARGET: RequestContext = RequestContext {
    target_remaining: Some(Duration::from_millis(TARGET_MS)),
    ..PLAIN_REQUEST
};

/// Number of requests by the result of the host choice.
#[derive(Debug, Default, PartialEq)]
struct ChoiceCounts {
    sent: u32,
    throttled: u32,
}

/// A load balancer that receives one request every 10 ms.
struct ThrottleSimulation {
    balancer: LoadBalancer,
    now_ms: u64,
    /// The arrival times in ms of the responses, and their attempts.
    in_flight: Vec<(u64, AttemptId)>,
}

impl ThrottleSimulation {
    fn new() -> Self {
        Self {
            balancer: balancer_with_hosts(0, 8).0,
            now_ms: 0,
            in_flight: Vec::new(),
        }
    }

    /// Runs for one second, in which every `late_every`th response misses the latency target.
    fn run_one_second(&mut self, request: &RequestContext, late_every: u64) -> ChoiceCounts {
        let mut counts = ChoiceCounts::default();
        for n in 0..100 {
            self.now_ms += 10;
            self.end_due_attempts();
            self.balancer.tick(ms(self.now_ms));
            match self.balancer.choose_host(ms(self.now_ms), request) {
                HostChoice::Selected { attempt, .. } => {
                    let is_late = n % late_every == late_every - 1;
                    let latency_ms = if is_late { TARGET_MS + 50 } else { 20 };
                    self.in_flight.push((self.now_ms + latency_ms, attempt));
                    counts.sent += 1;
                }
                HostChoice::Throttled { .. } => counts.throttled += 1,
                HostChoice::Unavailable { .. } => {}
            }
        }
        counts
    }

    /// Ends the attempts whose responses have arrived.
    fn end_due_attempts(&mut self) {
        let now_ms = self.now_ms;
        for (_, attempt) in self.in_flight.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            self.balancer.on_first_byte(ms(now_ms), attempt);
            self.balancer
                .on_attempt_ended(ms(now_ms), attempt, Outcome::Succeeded, None);
        }
    }
}

/// Value of `late_every` with which no response is late.
const NEVER_LATE: u64 = u64::MAX;

#[test]
fn requests_when_all_responses_are_late_then_most_are_throttled() {
    let mut simulation = ThrottleSimulation::new();
    simulation.run_one_second(&WITH_TARGET, 1);
    let counts = simulation.run_one_second(&WITH_TARGET, 1);
    assert!(counts.throttled > 70, "{counts:?}");
    assert!(
        counts.sent > 0,
        "some requests are still sent, to detect the end of the overload"
    );
}

#[test]
fn requests_when_one_response_in_five_is_late_then_none_is_throttled() {
    let mut simulation = ThrottleSimulation::new();
    for second in 0..4 {
        let counts = simulation.run_one_second(&WITH_TARGET, 5);
        assert_eq!(counts.throttled, 0, "second {second}");
    }
}

#[test]
fn requests_when_the_overload_ends_then_all_are_admitted_within_seconds() {
    let mut simulation = ThrottleSimulation::new();
    simulation.run_one_second(&WITH_TARGET, 1);
    simulation.run_one_second(&WITH_TARGET, 1);
    let throttled: Vec<u32> = (0..8)
        .map(|_| {
            simulation
                .run_one_second(&WITH_TARGET, NEVER_LATE)
                .throttled
        })
        .collect();
    assert!(
        throttled.is_sorted_by(|earlier, later| earlier >= later),
        "{throttled:?}"
    );
    assert_eq!(throttled.last(), Some(&0), "{throttled:?}");
}

#[test]
fn requests_without_a_target_when_all_responses_are_late_then_none_is_throttled() {
    let mut simulation = ThrottleSimulation::new();
    for _ in 0..3 {
        assert_eq!(simulation.run_one_second(&PLAIN_REQUEST, 1).throttled, 0);
    }
}

/// Sends `count` requests at the same time.
fn send_all(balancer: &mut LoadBalancer, now_ms: u64, count: usize) -> Vec<AttemptId> {
    (0..count)
        .map(|_| selected(balancer.choose_host(ms(now_ms), &WITH_TARGET)).0)
        .collect()
}

/// Returns how many of 50 requests are throttled. The others are cancelled as soon as they are sent.
fn count_throttled(balancer: &mut LoadBalancer, now_ms: u64, request: &RequestContext) -> u32 {
    let mut throttled = 0;
    for _ in 0..50 {
        match balancer.choose_host(ms(now_ms), request) {
            HostChoice::Selected { attempt, .. } => {
                balancer.on_attempt_ended(ms(now_ms), attempt, Outcome::Cancelled, None);
            }
            HostChoice::Throttled { .. } => throttled += 1,
            HostChoice::Unavailable { .. } => {}
        }
    }
    throttled
}

#[rstest]
#[case::before_the_target(TARGET_MS - 10, false)]
#[case::after_the_target(TARGET_MS + 10, true)]
fn requests_when_others_have_waited_past_the_target_then_throttled(
    #[case] waited_ms: u64,
    #[case] throttled: bool,
) {
    let (mut balancer, _) = balancer_with_hosts(0, 8);
    send_all(&mut balancer, 0, 30);
    tick_until(&mut balancer, 0, waited_ms);
    assert_eq!(
        count_throttled(&mut balancer, waited_ms, &WITH_TARGET) > 0,
        throttled
    );
}

#[test]
fn requests_when_others_waited_through_a_stall_of_the_process_then_not_throttled() {
    let (mut balancer, _) = balancer_with_hosts(0, 8);
    let attempts = send_all(&mut balancer, 0, 30);
    balancer.tick(ms(2000));
    for attempt in attempts {
        balancer.on_first_byte(ms(2001), attempt);
    }
    tick_until(&mut balancer, 2001, 2500);
    assert_eq!(count_throttled(&mut balancer, 2500, &WITH_TARGET), 0);
}

#[test]
fn requests_when_hosts_refuse_others_as_full_then_throttled() {
    let (mut balancer, _) = balancer_with_hosts(0, 8);
    for attempt in send_all(&mut balancer, 0, 30) {
        balancer.on_attempt_ended(ms(5), attempt, Outcome::Overloaded, None);
    }
    assert!(count_throttled(&mut balancer, 150, &WITH_TARGET) > 25);
}

#[test]
fn requests_when_a_host_refuses_only_one_as_full_then_not_throttled() {
    let (mut balancer, _) = balancer_with_hosts(0, 8);
    for attempt in send_all(&mut balancer, 0, 1) {
        balancer.on_attempt_ended(ms(5), attempt, Outcome::Overloaded, None);
    }
    assert_eq!(count_throttled(&mut balancer, 6, &WITH_TARGET), 0);
}

#[rstest]
#[case(Outcome::ConnectFailed)]
#[case(Outcome::ConnectionLost)]
#[case(Outcome::Failed)]
#[case(Outcome::Misdirected)]
fn requests_when_others_fail_for_another_reason_then_not_throttled(#[case] outcome: Outcome) {
    let (mut balancer, _) = balancer_with_hosts(0, 8);
    for attempt in send_all(&mut balancer, 0, 30) {
        balancer.on_attempt_ended(ms(5), attempt, outcome, None);
    }
    assert_eq!(count_throttled(&mut balancer, 150, &WITH_TARGET), 0);
}

#[test]
fn retries_when_throttled_then_rejected_without_counting_as_requests() {
    let (mut balancer, _) = balancer_with_hosts(0, 8);
    send_all(&mut balancer, 0, 30);
    tick_until(&mut balancer, 0, 800);
    let attempted: [Arc<str>; 1] = ["plain-0".into()];
    let retry = RequestContext {
        attempted_hosts: &attempted,
        ..WITH_TARGET
    };
    assert!(count_throttled(&mut balancer, 800, &retry) > 25);
    // If the rejected retries counted, requests would still be throttled after the late attempts have left the window.
    tick_until(&mut balancer, 800, 1500);
    assert_eq!(count_throttled(&mut balancer, 1500, &WITH_TARGET), 0);
}

/// Creates a prompt of a single part that is in no cache.
fn prompt(id: u64, tokens: u32) -> [balancing::PromptPart; 1] {
    [part(id, tokens)]
}

fn model_request_with_target(parts: &[balancing::PromptPart]) -> RequestContext<'_> {
    RequestContext {
        target_remaining: Some(ms(TARGET_MS)),
        ..model_request(parts)
    }
}

/// Creates a load balancer whose only model host has no idle entries left: ten prompts of 40,000 tokens, with a prefill
/// of 500 ms each, are queued there.
fn balancer_with_busy_model_host() -> LoadBalancer {
    let (mut balancer, _) = balancer_with_hosts(1, 0);
    for id in 1..=10 {
        selected(balancer.choose_host(ms(0), &model_request(&prompt(id, 40_000))));
    }
    balancer
}

#[test]
fn request_when_it_would_be_late_on_every_host_then_throttled() {
    let mut balancer = balancer_with_busy_model_host();
    let choice = balancer.choose_host(ms(1), &model_request_with_target(&prompt(99, 100)));
    assert!(matches!(choice, HostChoice::Throttled { .. }), "{choice:?}");
}

#[test]
fn request_without_a_target_when_it_would_be_late_on_every_host_then_sent() {
    let mut balancer = balancer_with_busy_model_host();
    selected(balancer.choose_host(ms(1), &model_request(&prompt(99, 100))));
}

#[test]
fn request_that_was_attempted_before_when_it_would_be_late_on_every_host_then_sent() {
    let mut balancer = balancer_with_busy_model_host();
    let attempted: [Arc<str>; 1] = ["model-7".into()];
    let parts = prompt(99, 100);
    let request = RequestContext {
        attempted_hosts: &attempted,
        ..model_request_with_target(&parts)
    };
    selected(balancer.choose_host(ms(1), &request));
}

#[test]
fn long_prompt_when_only_its_own_prefill_makes_it_late_then_sent_and_not_counted_as_late() {
    let (mut balancer, _) = balancer_with_hosts(4, 0);
    for id in 0..40_u64 {
        let now_ms = id * 1000;
        tick_until(&mut balancer, now_ms.saturating_sub(300), now_ms);
        let parts = prompt(id + 1, 40_000);
        let request = model_request_with_target(&parts);
        let (attempt, _) = selected(balancer.choose_host(ms(now_ms), &request));
        tick_until(&mut balancer, now_ms, now_ms + 530);
        balancer.on_first_byte(ms(now_ms + 530), attempt);
        balancer.on_attempt_ended(ms(now_ms + 530), attempt, Outcome::Succeeded, None);
    }
}
