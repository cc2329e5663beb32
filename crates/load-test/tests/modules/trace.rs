use load_test::plan::Plan;
use load_test::scenario::{Scenario, TraceTable};
use load_test::trace::{fit, parse, render, TraceError, TraceFormat};
use std::path::Path;

fn scenario() -> Scenario {
    let text = "name = 'x'\nlength_s = 5\n[traffic]\nfronts = ['platform', 'opensearch']\n\
                [[traffic.shape]]\nkind = 'steady'\nrate = 100\n";
    Scenario::parse(text, Path::new("x.toml")).unwrap()
}

#[test]
fn plan_is_unchanged_when_written_and_read_in_either_format() {
    let s = scenario();
    let plan = Plan::draw(&s);
    for (name, form) in [
        ("t.csv", TraceFormat::Csv),
        ("t.jsonl", TraceFormat::JsonLines),
    ] {
        let text = String::from_utf8(render(&plan, &s, form)).unwrap();
        assert_eq!(parse(&text, Path::new(name), &s).unwrap(), plan, "{name}");
    }
}

#[test]
fn plan_is_completed_when_a_trace_has_only_time_and_class() {
    let s = scenario();
    let plan = parse(
        "at_us,class\n0,nearby-search\n1500,ride-booking\n",
        Path::new("t.csv"),
        &s,
    )
    .unwrap();
    assert_eq!(
        plan.0
            .iter()
            .map(|q| (q.at_us, q.class))
            .collect::<Vec<_>>(),
        [(0, 0), (1500, 2)]
    );
    assert!(plan.0.iter().all(|q| !q.parts.is_empty()));
}

/// Malformed traces: text, file name, number of the bad line, and what the message says.
fn malformed_traces() -> [(String, &'static str, usize, &'static str); 9] {
    let good = "{\"at_us\":5,\"class\":\"nearby-search\"}\n";
    [
        (
            "at_us,class\n7,nearby-search\n5,nearby-search\n".to_owned(),
            "t.csv",
            3,
            "time goes back",
        ),
        (
            "at_us,class\n7,nearby-search\n8,taxi\n".to_owned(),
            "t.csv",
            3,
            "unknown class 'taxi'",
        ),
        (
            "at_us,class\n7,nearby-search\n8\n".to_owned(),
            "t.csv",
            3,
            "record",
        ),
        (
            format!("{good}{good}{{\"at_us\":9,\"cla"),
            "t.jsonl",
            3,
            "EOF",
        ),
        (
            format!("{good}{{\"at_us\":1,\"class\":\"nearby-search\"}}"),
            "t.jsonl",
            2,
            "time goes back",
        ),
        (
            good.replace("}", ",\"tenant\":\"coop-x\"}"),
            "t.jsonl",
            1,
            "unknown tenant",
        ),
        (
            good.replace("}", ",\"parts\":\"99:1:1\"}"),
            "t.jsonl",
            1,
            "shard 99",
        ),
        (
            good.replace("}", ",\"parts\":\"1:x\"}"),
            "t.jsonl",
            1,
            "'parts'",
        ),
        (
            good.replace("}", ",\"wait_us\":5}"),
            "t.jsonl",
            1,
            "'wait_us'",
        ),
    ]
}

#[test]
fn error_names_the_line_when_a_trace_is_malformed() {
    let s = scenario();
    for (text, name, line, why) in malformed_traces() {
        let e = parse(&text, Path::new(name), &s).expect_err(&text);
        let said = e.to_string();
        assert!(
            matches!(e, TraceError::Line { line: l, .. } if l == line),
            "{said} for {text}"
        );
        assert!(said.contains(why), "{said} for {why}");
    }
}

#[test]
fn trace_is_scaled_and_looped_when_the_scenario_says_so() {
    let s = scenario();
    let plan = Plan::draw(&s);
    let table = |time_scale, rate_scale, looped| TraceTable {
        file: "t.csv".into(),
        time_scale,
        rate_scale,
        looped,
    };
    assert_eq!(fit(&plan, &table(1.0, 1.0, false), 10_000_000, 1), plan);
    let twice = fit(&plan, &table(2.0, 1.0, false), 20_000_000, 1);
    assert_eq!(twice.0.len(), plan.0.len());
    assert_eq!(
        twice.0.last().unwrap().at_us,
        plan.0.last().unwrap().at_us * 2
    );
    let more =
        fit(&plan, &table(1.0, 2.5, false), 10_000_000, 1).0.len() as f64 / plan.0.len() as f64;
    assert!((more - 2.5).abs() < 0.1, "{more}");
    let looped = fit(&plan, &table(1.0, 1.0, true), 20_000_000, 1);
    assert!((looped.0.len() as f64 / plan.0.len() as f64 - 4.0).abs() < 0.05);
    assert!(looped.0.is_sorted_by_key(|q| q.at_us));
}
