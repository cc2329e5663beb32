//! A member's quota decisions: refill shares, retransmitted requests, changed limits and usage.

use configuration::RateLimit;
use quota::{ranking, Decision, FleetView, QuotaServer, QuotaSettings, RequestId, TenantLimit};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const MEMBERS: [u64; 3] = [1, 2, 3];
const PROXIES: u64 = 10;
const TENANT: &str = "acme";
/// Unused time of a proxy that has requested quota before.
const NO_UNUSED_TIME: Duration = Duration::ZERO;
const NO_WAIT: Option<Duration> = Some(Duration::ZERO);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(configuration_version: u64, rate_per_s: f64) -> TenantLimit {
    TenantLimit {
        configuration_version,
        limit: RateLimit {
            rate_per_s,
            burst_size: rate_per_s,
        },
    }
}

fn fleet(version: u64, rate_per_s: f64) -> FleetView {
    FleetView {
        members: MEMBERS.to_vec(),
        proxy_count: PROXIES as usize,
        tenants: vec![(TENANT.to_owned(), limit(version, rate_per_s))],
    }
}

/// Returns the server of the member at this index of the tenant's ranking, with no proxies yet.
fn server_of_rank(rank: usize) -> QuotaServer {
    let settings = QuotaSettings {
        member_id: ranking(TENANT, &MEMBERS)[rank],
        excess: 0.0,
    };
    let mut server = QuotaServer::new(ms(0), settings);
    server.set_fleet(ms(0), fleet(1, 100.0));
    server
}

fn announce_all(server: &mut QuotaServer, now: Duration, unreachable: &[u64]) {
    for proxy in 0..PROXIES {
        let unreachable = unreachable.iter().copied().collect();
        server.on_presence(now, proxy, NO_UNUSED_TIME, unreachable);
    }
}

/// Ticks the server every 100 ms, with announcements of all proxies every 500 ms.
fn run_server(server: &mut QuotaServer, from_ms: u64, to_ms: u64, unreachable: &[u64]) {
    for at in (from_ms..=to_ms).step_by(100) {
        if at % 500 == 0 {
            announce_all(server, ms(at), unreachable);
        }
        server.tick(ms(at));
    }
}

fn request(server: &mut QuotaServer, at_ms: u64, sequence: u64, cost: f64) -> Decision {
    let id = RequestId { proxy: 1, sequence };
    server.on_request(ms(at_ms), id, TENANT, limit(1, 100.0), cost, NO_WAIT)
}

fn is_granted(decision: Decision) -> bool {
    matches!(decision, Decision::Granted { .. })
}

/// Returns the number of one-unit requests that are granted at `at_ms`, up to 999.
fn count_grants(server: &mut QuotaServer, at_ms: u64) -> u64 {
    let first = 1_000_000 + at_ms * 1000;
    (first..first + 999)
        .take_while(|sequence| is_granted(request(server, at_ms, *sequence, 1.0)))
        .count() as u64
}

#[rstest]
#[case::home(0, &[], true)]
#[case::second_while_the_first_is_reachable(1, &[], false)]
#[case::second_while_the_first_is_unreachable(1, &[0], true)]
#[case::third_while_two_are_unreachable(2, &[0, 1], true)]
fn only_the_homes_bucket_is_refilled(
    #[case] rank: usize,
    #[case] unreachable_ranks: &[usize],
    #[case] is_refilled: bool,
) {
    let ranked_members = ranking(TENANT, &MEMBERS);
    let unreachable: Vec<u64> = unreachable_ranks
        .iter()
        .map(|rank| ranked_members[*rank])
        .collect();
    let mut server = server_of_rank(rank);
    run_server(&mut server, 0, 2000, &unreachable);
    let granted = count_grants(&mut server, 2000);
    assert_eq!(granted > 90, is_refilled, "{granted}");
}

#[test]
fn bucket_is_refilled_by_the_share_of_the_proxies_that_reach_the_home() {
    let mut server = server_of_rank(0);
    let home = ranking(TENANT, &MEMBERS)[0];
    for proxy in 0..PROXIES {
        let unreachable = if proxy < 7 {
            BTreeSet::from([home])
        } else {
            BTreeSet::new()
        };
        server.on_presence(ms(0), proxy, NO_UNUSED_TIME, unreachable);
    }
    for at in (0..=1000).step_by(100) {
        server.tick(ms(at));
    }
    assert!((30..=32).contains(&count_grants(&mut server, 1000)));
}

#[test]
fn home_without_proxies_discards_its_units() {
    let mut server = server_of_rank(0);
    run_server(&mut server, 0, 2000, &[]);
    for at in (2000..6000).step_by(100) {
        server.tick(ms(at));
    }
    assert!(count_grants(&mut server, 6000) <= 1);
}

#[test]
fn retransmitted_request_gets_its_first_decision_and_is_charged_once() {
    let mut server = server_of_rank(0);
    run_server(&mut server, 0, 2000, &[]);
    for _ in 0..5 {
        assert!(is_granted(request(&mut server, 2000, 7, 60.0)));
    }
    assert!((40..=42).contains(&count_grants(&mut server, 2000)));
}

#[test]
fn retransmitted_refund_is_applied_once() {
    let mut server = server_of_rank(0);
    run_server(&mut server, 0, 2000, &[]);
    assert!(is_granted(request(&mut server, 2000, 7, 60.0)));
    for _ in 0..5 {
        request(&mut server, 2000, 8, -60.0);
    }
    let granted = count_grants(&mut server, 2000);
    assert!((100..=102).contains(&granted), "{granted}");
}

#[test]
fn units_already_used_are_charged_even_if_the_bucket_is_in_debt() {
    let mut server = server_of_rank(0);
    run_server(&mut server, 0, 2000, &[]);
    for sequence in [1, 2] {
        let id = RequestId { proxy: 1, sequence };
        let decision = server.on_request(ms(2000), id, TENANT, limit(1, 100.0), 90.0, None);
        assert!(is_granted(decision));
    }
    let decision = request(&mut server, 2000, 3, 1.0);
    let retry_after = ms(800);
    assert_eq!(decision, Decision::Refused { retry_after });
}

#[test]
fn limit_of_the_newest_configuration_applies_whichever_side_reports_it() {
    let mut server = server_of_rank(0);
    run_server(&mut server, 0, 2000, &[]);
    server.set_fleet(ms(2000), fleet(3, 10.0));
    // The proxy still sends the limit of version 1.
    assert!(count_grants(&mut server, 2000) <= 11);
    let id = RequestId {
        proxy: 2,
        sequence: 1,
    };
    server.on_request(ms(2000), id, TENANT, limit(4, 1000.0), 1.0, NO_WAIT);
    server.set_fleet(ms(2000), fleet(3, 10.0));
    run_server(&mut server, 2000, 4000, &[]);
    assert!(count_grants(&mut server, 4000) > 900);
}

#[test]
fn tenant_removed_and_added_again_keeps_its_bucket() {
    let mut server = server_of_rank(0);
    run_server(&mut server, 0, 2000, &[]);
    assert!(is_granted(request(&mut server, 2000, 1, 190.0)));
    let mut without = fleet(2, 100.0);
    without.tenants.clear();
    server.set_fleet(ms(2000), without);
    server.tick(ms(2100));
    server.set_fleet(ms(2100), fleet(3, 100.0));
    assert!(!is_granted(request(&mut server, 2100, 2, 1.0)));
}

#[test]
fn restarted_home_starts_with_an_empty_bucket() {
    let mut server = server_of_rank(0);
    announce_all(&mut server, ms(0), &[]);
    server.tick(ms(0));
    assert!(count_grants(&mut server, 0) <= 1);
}

#[test]
fn usage_reports_granted_and_refused_requests() {
    let mut server = server_of_rank(0);
    run_server(&mut server, 0, 2000, &[]);
    request(&mut server, 2000, 1, 60.0);
    request(&mut server, 2000, 2, 60.0);
    request(&mut server, 2000, 3, 60.0);
    request(&mut server, 2000, 4, -60.0);
    let usage = server.uses();
    assert_eq!(usage.len(), 1);
    assert_eq!((usage[0].granted, usage[0].refused), (2, 1));
    assert!((usage[0].units_granted - 60.0).abs() < 1e-9);
}

#[rstest]
#[case::started_with_the_member(700, 700, 70)]
#[case::started_later(700, 300, 30)]
#[case::started_long_before(700, 1800, 70)]
#[case::has_used_quota(700, 0, 0)]
fn bucket_is_credited_from_the_start_for_proxies_that_have_used_nothing(
    #[case] age_ms: u64,
    #[case] unused_ms: u64,
    #[case] expected: u64,
    #[values(false, true)] tenant_known_first: bool,
) {
    let settings = QuotaSettings {
        member_id: ranking(TENANT, &MEMBERS)[0],
        excess: 0.0,
    };
    let mut server = QuotaServer::new(ms(0), settings);
    let mut without = fleet(1, 100.0);
    without.tenants.clear();
    let first = if tenant_known_first {
        fleet(1, 100.0)
    } else {
        without
    };
    server.set_fleet(ms(0), first);
    for proxy in 0..PROXIES {
        server.on_presence(ms(age_ms), proxy, ms(unused_ms), BTreeSet::new());
    }
    server.set_fleet(ms(age_ms), fleet(1, 100.0));
    let granted = count_grants(&mut server, age_ms);
    assert!((expected..=expected + 2).contains(&granted), "{granted}");
}

#[test]
fn credit_after_a_restart_is_capped_at_the_rate_while_few_proxies_are_known() {
    let settings = QuotaSettings {
        member_id: ranking(TENANT, &MEMBERS)[0],
        excess: 0.0,
    };
    let mut server = QuotaServer::new(ms(0), settings);
    let mut view = fleet(1, 100.0);
    view.proxy_count = 0;
    server.set_fleet(ms(0), view);
    let mut granted = 0;
    for proxy in 0..PROXIES {
        server.on_presence(ms(500), proxy, ms(500), BTreeSet::new());
        let sequences = proxy * 1000..(proxy + 1) * 1000;
        let requests = sequences.map(|sequence| request(&mut server, 500, sequence, 1.0));
        granted += requests
            .take_while(|decision| is_granted(*decision))
            .count();
    }
    assert!((45..=55).contains(&granted), "{granted}");
}

#[test]
fn number_of_buckets_for_unknown_tenants_is_bounded() {
    let mut server = server_of_rank(0);
    for n in 0..5000 {
        let id = RequestId {
            proxy: 1,
            sequence: n,
        };
        let tenant = format!("tenant-{n}");
        server.on_request(ms(0), id, &tenant, limit(1, 100.0), 1.0, NO_WAIT);
    }
    assert!(server.uses().len() <= 1025, "{}", server.uses().len());
    run_server(&mut server, 0, 2000, &[]);
    assert!(
        count_grants(&mut server, 2000) > 90,
        "the configured tenant has its own bucket"
    );
}
