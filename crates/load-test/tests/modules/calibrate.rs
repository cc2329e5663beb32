use load_test::calibrate::{fixed, md1_mean, query_at, queues, scenario, spread};
use load_test::plan::Plan;
use load_test::scenario::Arrivals;

#[test]
fn reference_times_equal_those_worked_out_by_hand() {
    let s = scenario(1.0, 10.0, Arrivals::Constant, 10, 1);
    let plan = Plan(
        [0, 900, 1000, 1500, 2990, 3100]
            .map(|at| query_at(&s, at, 0))
            .to_vec(),
    );
    // 100 us each; what falls into [1000, 3000) comes at 3000.
    assert_eq!(
        fixed(&plan, 100, Some((1000, 2000))),
        [100, 2100, 2000, 1500, 100, 100]
    );
    // One server: 0-1000, then 1000-2000 for the one that came at 900, and so on.
    assert_eq!(queues(&plan, 1, 1000), [1000, 1100, 2000, 2500, 2010, 2900]);
    // Half loaded: half a service time of waiting on top.
    assert_eq!(md1_mean(0.5, 1.0), 1.5);
}

#[test]
fn mean_wait_matches_closed_form_when_the_plan_is_long() {
    let s = scenario(2000.0, 300.0, Arrivals::Poisson, 80, 1);
    let exact = spread(&queues(&Plan::draw(&s), 80, 20_000));
    let off = exact.mean * 1e3 / md1_mean(25e-6, 20_000.0) - 1.0;
    assert!(off.abs() < 0.01, "{off}");
}
