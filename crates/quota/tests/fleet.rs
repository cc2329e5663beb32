//! Simulated fleets of proxies and members under injected faults, one per seed: all homes of a tenant together never
//! grant more than its limit, and a tenant below its limit is rarely refused. Deliberate bugs show that the checks
//! detect what they guard against.

#[path = "fleet/simulation.rs"]
mod simulation;

use rstest::rstest;
use simulation::{Bug, Faults, Plan, Simulation};

/// Number of seeds that each test runs.
const SEEDS: u64 = 60;

/// Returns a plan with a tenant that demands 3 to 10 times its limit.
fn overload_plan(seed: u64, faults: Faults) -> Plan {
    Plan {
        seed,
        faults,
        demand: 3.0 + (seed % 8) as f64,
        bug: None,
    }
}

#[rstest]
#[case::none(Faults::None)]
#[case::lost_datagrams(Faults::LostDatagrams)]
#[case::killed_members(Faults::KilledMembers)]
#[case::frozen_members(Faults::FrozenMembers)]
#[case::unreachable_members(Faults::UnreachableMembers)]
#[case::zone_partition(Faults::ZonePartition)]
#[case::killed_proxies(Faults::KilledProxies)]
#[case::all_members_unreachable(Faults::AllMembersUnreachable)]
#[case::all(Faults::All)]
fn overloaded_tenant_is_granted_no_more_than_the_bound(#[case] faults: Faults) {
    for seed in 0..SEEDS {
        let result = Simulation::run(&overload_plan(seed, faults));
        assert!(
            result.max_excess <= 0.0,
            "seed {seed}: {:.0} units over the bound at {:?}",
            result.max_excess,
            result.max_excess_at
        );
    }
}

#[test]
fn overloaded_tenant_is_granted_nearly_its_whole_limit() {
    for seed in 0..SEEDS {
        let result = Simulation::run(&overload_plan(seed, Faults::None));
        assert!(
            result.used_fraction > 0.97,
            "seed {seed}: only {:.3} of the limit used",
            result.used_fraction
        );
    }
}

#[rstest]
#[case::none(Faults::None, 0.01)]
#[case::lost_datagrams(Faults::LostDatagrams, 0.02)]
#[case::killed_proxies(Faults::KilledProxies, 0.02)]
#[case::killed_members(Faults::KilledMembers, 0.25)]
#[case::unreachable_members(Faults::UnreachableMembers, 0.12)]
fn tenant_below_its_limit_is_rarely_refused(#[case] faults: Faults, #[case] max_refused: f64) {
    for seed in 0..SEEDS {
        let plan = Plan {
            demand: 0.7,
            ..overload_plan(seed, faults)
        };
        let result = Simulation::run(&plan);
        assert!(
            result.refused_share < max_refused,
            "seed {seed}: {:.3} refused",
            result.refused_share
        );
    }
}

#[rstest]
#[case::home_that_starts_full(Bug::HomeStartsFull, Faults::KilledMembers)]
#[case::refund_not_deduplicated(Bug::RefundTwice, Faults::LostDatagrams)]
#[case::every_home_refills_at_the_whole_rate(Bug::WholeRateAtEveryHome, Faults::ZonePartition)]
#[case::local_share_granted_immediately(Bug::LocalGrantImmediately, Faults::AllMembersUnreachable)]
#[case::local_share_of_the_whole_limit(Bug::LocalWholeLimit, Faults::AllMembersUnreachable)]
fn deliberate_bug_is_detected(#[case] bug: Bug, #[case] faults: Faults) {
    let found = (0..4 * SEEDS).any(|seed| {
        let plan = Plan {
            bug: Some(bug),
            ..overload_plan(seed, faults)
        };
        Simulation::run(&plan).max_excess > 0.0
    });
    assert!(found, "no seed detects {bug:?}");
}
