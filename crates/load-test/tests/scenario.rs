//! Scenarios: what they need, what coordinators read of them, and what is wrong with them.

use load_test::scenario::{FrontName, Scenario, TrafficTable};
use std::path::Path;

const LEAST: &str =
    "name = 'x'\nlength_s = 5\n[traffic]\n[[traffic.shape]]\nkind = 'steady'\nrate = 10\n";

fn why(text: &str) -> String {
    Scenario::parse(text, Path::new("day.toml"))
        .expect_err(text)
        .to_string()
}

#[test]
fn defaults_and_settings_are_accepted_when_a_scenario_is_minimal() {
    let s = Scenario::parse(LEAST, Path::new("day.toml")).unwrap();
    assert_eq!((s.classes.len(), s.tenants.len(), s.shards()), (3, 4, 12));
    for c in 0..2 {
        let site = coordinator::core::settings::read(&s.settings(c).to_string()).unwrap();
        assert_eq!((site.classes.len(), site.limits.shards), (3, Some(12)));
    }
    let operator = Scenario {
        traffic: TrafficTable {
            fronts: vec![FrontName::OpenSearch],
            ..s.traffic.clone()
        },
        ..s.clone()
    };
    let site = coordinator::core::settings::read(&s.settings(0).to_string()).unwrap();
    let read = coordinator::config::OperatorConfig::parse(&operator.operator().unwrap()).unwrap();
    read.check(&site).unwrap();
    assert_eq!(s.operator(), None);
}

#[test]
fn error_names_file_and_key_when_a_value_is_invalid() {
    let add = |more: &str| format!("{LEAST}{more}");
    for (text, key) in [
        ("length_s = 5".to_owned(), "name"),
        (LEAST.replace("length_s = 5", "length_s = 0"), "length_s"),
        (LEAST.replace("steady", "square"), "square"),
        (LEAST.replace("rate = 10", "rate = -1"), "traffic.shape[0]"),
        (LEAST.replace("name = 'x'", "name = 'x'\ncolour = 1"), "colour"),
        (add("[fleet]\ncells = 99\n"), "fleet.cells"),
        (add("[fleet]\ndialect = 'opensearch'\n"), "traffic.fronts"),
        (add("[fleet.host]\ncold_share = 0\n"), "fleet.host.cold_share"),
        (add("[clients]\npatience = [1.0, 0.5]\n"), "clients.patience"),
        (add("[[fault]]\nat_s = 1\nkind = 'host-crash'\nwhich = [12]\n"), "fault[0].which"),
        (add("[[fault]]\nat_s = 9\nkind = 'host-crash'\nwhich = [1]\n"), "fault[0].at_s"),
        (add("[[fault]]\nat_s = 1\nkind = 'earthquake'\nwhich = [1]\n"), "earthquake"),
        (add("[[class]]\nname = 'a'\nshare = 1\nparts = [1, 13]\nwork_ms = 1\ngoal_ms = 1\nlimit_ms = 1\nrepeat = 'safe'\n"), "class[0].parts"),
        (add("[[class]]\nname = 'a'\nshare = 1\nparts = [1, 2]\nwork_ms = 1\ngoal_ms = 1\nlimit_ms = 1\nrepeat = 'keyed'\n"), "class[0].window_ms"),
    ] {
        let why = why(&text);
        assert!(why.contains("day.toml") && why.contains(key), "{key}: {why}");
    }
}
