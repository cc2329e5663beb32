use load_test::plan::{Plan, Planned};
use load_test::scenario::Scenario;
use std::path::Path;

fn scenario(more: &str) -> Scenario {
    let text = format!(
        "name = 'x'\nlength_s = 200\n[traffic]\nkeys = 1000\nzipf = 1.0\n\
         [[traffic.shape]]\nkind = 'steady'\nrate = 200\n{more}"
    );
    Scenario::parse(&text, Path::new("x.toml")).unwrap()
}

#[test]
fn plan_is_equal_byte_for_byte_when_the_seed_is() {
    let s = scenario("");
    assert_eq!(Plan::draw(&s).text(), Plan::draw(&s).text());
    let other = Scenario {
        seed: 2,
        ..s.clone()
    };
    assert_ne!(Plan::draw(&s).digest(), Plan::draw(&other).digest());
}

#[test]
fn shares_match_the_scenario_when_a_plan_is_drawn() {
    let plan = Plan::draw(&scenario("")).0;
    let n = plan.len() as f64;
    let share = |is: &dyn Fn(&&Planned) -> bool| plan.iter().filter(is).count() as f64 / n;
    for (class, want) in [(0, 0.55), (1, 0.22), (2, 0.23)] {
        assert!(
            (share(&|q| q.class == class) - want).abs() < 0.01,
            "class {class}"
        );
    }
    for (tenant, want) in [(0, 0.57), (3, 0.1)] {
        assert!(
            (share(&|q| q.tenant == tenant) - want).abs() < 0.01,
            "tenant {tenant}"
        );
    }
    // Zipf with exponent 1 over 1,000 keys: the first has 1/H(1000) of all, H being 7.485.
    assert!((share(&|q| q.key == 0) - 1.0 / 7.485).abs() < 0.01);
    for q in &plan {
        let weight: f64 = q.parts.iter().map(|p| p.weight).sum();
        assert!((weight - 1.0).abs() < 1e-9 && q.wait_us % 1000 == 0);
    }
}

#[test]
fn shards_are_equal_when_key_and_class_are() {
    let plan = Plan::draw(&scenario("")).0;
    let shards = |q: &Planned| q.parts.iter().map(|p| p.shard).collect::<Vec<_>>();
    let mut seen = std::collections::HashMap::new();
    for q in &plan {
        assert_eq!(
            *seen.entry((q.class, q.key)).or_insert_with(|| shards(q)),
            shards(q)
        );
    }
}

#[test]
fn hot_key_has_its_share_only_while_it_lasts() {
    let plan = Plan::draw(&scenario(
        "[[traffic.hot_key]]\nat_s = 50\nfor_s = 100\nshare = 0.2\n",
    ))
    .0;
    let hot = |from: u64, to: u64| {
        let there: Vec<_> = plan
            .iter()
            .filter(|q| (from..to).contains(&(q.at_us / 1_000_000)))
            .collect();
        there.iter().filter(|q| q.key >= 1000).count() as f64 / there.len() as f64
    };
    assert!(hot(0, 50) == 0.0 && hot(150, 200) == 0.0);
    assert!((hot(50, 150) - 0.2).abs() < 0.01);
}
