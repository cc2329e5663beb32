//! Compatibility of the JSON that operators write, and of the JSON and errors that they get back. The files
//! `*.written.json` and `invalid.expected.txt` in `fixtures/` were written by an earlier release.

use configuration::{
    Configuration, ConfigurationDelta, Engine, Limits, ProcessSettings, Route, RouteKind,
    RouteTarget, Service,
};
use std::path::Path;

const CONFIGURATION: &str = include_str!("fixtures/configuration.json");
const AMENDMENT: &str = include_str!("fixtures/amendment.json");

fn configuration() -> Configuration {
    Configuration::read(CONFIGURATION.as_bytes(), 6).unwrap()
}

fn route(name: &str, hostname: &str, path_prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        hostname: hostname.into(),
        path_prefix: path_prefix.into(),
        kind,
        deadline_ms: 0.0,
        target_ms: None,
        rank: 0,
        service: None,
        weighted_split: None,
        max_tries: 1,
        affine: false,
        resumable: false,
        gap_aim_ms: None,
        anonymous: false,
    }
}

fn expected_routes() -> [Route; 3] {
    [
        Route {
            deadline_ms: 4000.0,
            target_ms: Some(600.5),
            rank: 3,
            service: Some("huvo11a".into()),
            max_tries: 2,
            affine: true,
            resumable: true,
            gap_aim_ms: Some(400.0),
            ..route(
                "r-stream",
                "Ficu95.example",
                "/pufi791/",
                RouteKind::Streaming,
            )
        },
        Route {
            deadline_ms: 8000.0,
            weighted_split: Some(vec![
                RouteTarget {
                    service: "huvo11a".into(),
                    weight: 90.0,
                },
                RouteTarget {
                    service: "wuno96b".into(),
                    weight: 10.5,
                },
            ]),
            ..route(
                "r-split",
                "ficu95.example",
                "/lohu930/",
                RouteKind::Mutating,
            )
        },
        Route {
            deadline_ms: 100.0,
            service: Some("wuno96b".into()),
            ..route("r-old", "b.example", "/", RouteKind::Pure)
        },
    ]
}

fn expected_services() -> [Service; 2] {
    [
        Service {
            name: "huvo11a".into(),
            health_path: "/health".into(),
            conn_limit: 40,
            engine: Some(Engine {
                capacity: 16,
                cache_tokens: 32000.5,
                stride: 4.0,
            }),
        },
        Service {
            name: "wuno96b".into(),
            health_path: String::new(),
            conn_limit: 100,
            engine: None,
        },
    ]
}

#[test]
fn configuration_with_every_key_sets_every_field() {
    let configuration = configuration();
    assert_eq!(configuration.version, 7);
    let routes: Vec<&Route> = configuration.routes.iter().map(|r| &*r.value).collect();
    assert_eq!(routes, expected_routes().iter().collect::<Vec<_>>());
    let services: Vec<&Service> = configuration.services.iter().map(|s| &*s.value).collect();
    assert_eq!(services, expected_services().iter().collect::<Vec<_>>());
    assert_eq!(
        configuration.client_limits(),
        Limits {
            max_header_bytes: 16_000,
            max_body_bytes: 4_000_000,
            header_timeout_ms: 3100,
            idle_timeout_ms: 15_100,
        }
    );
}

#[test]
fn client_limits_default_if_none_were_sent() {
    assert_eq!(
        Configuration::default().client_limits(),
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    );
}

#[test]
fn configuration_is_written_with_items_as_they_were_sent() {
    let first = configuration();
    assert_eq!(
        first.to_json(),
        include_str!("fixtures/configuration.written.json")
    );
    let amended = first.amended(AMENDMENT.as_bytes()).unwrap();
    assert_eq!(
        amended.to_json(),
        include_str!("fixtures/amended.written.json")
    );
    assert_eq!(amended.unshared_bytes(&first), 258);
}

#[test]
fn delta_is_written_as_stored_json_and_results_in_newer_version() {
    let first = configuration();
    let amended = first.amended(AMENDMENT.as_bytes()).unwrap();
    let delta = first.delta(&amended);
    let written = include_str!("fixtures/delta.written.json");
    assert_eq!(serde_json::to_string(&delta).unwrap(), written);
    assert_eq!(
        serde_json::from_str::<ConfigurationDelta>(written).unwrap(),
        delta
    );
    assert_eq!(
        first.patched(&delta).unwrap().to_json(),
        include_str!("fixtures/patched.written.json")
    );
}

#[test]
fn invalid_configurations_have_the_stored_codes_and_texts() {
    let bodies = include_str!("fixtures/invalid.txt").lines();
    let errors: String = bodies
        .map(|body| {
            let error = Configuration::read(body.as_bytes(), 1).unwrap_err();
            let (code, status) = (error.code.number(), error.code.status());
            format!("{code} {status} {error}\n")
        })
        .collect();
    assert_eq!(errors, include_str!("fixtures/invalid.expected.txt"));
}

#[test]
fn process_settings_with_every_key_set_every_field() {
    let settings = ProcessSettings::read(include_str!("fixtures/process_settings.json")).unwrap();
    assert_eq!(settings.node_name, "edge-ain-sebaa-1");
    assert_eq!(settings.role, "my-edge");
    assert_eq!(settings.machine_class, "edge");
    assert_eq!(settings.serves, ["edge", "control"]);
    assert_eq!(settings.ip_addr.to_string(), "10.1.0.35");
    assert_eq!(settings.zone, "ain-sebaa");
    assert_eq!(settings.region, "casa-rabat");
    let zones: Vec<(&str, &str)> = settings
        .zones
        .iter()
        .map(|(zone, region)| (zone.as_str(), region.as_str()))
        .collect();
    assert_eq!(zones, [("ain-sebaa", "casa-rabat"), ("souissi", "rabat")]);
    assert_eq!(settings.port_range, (7660, 7675));
    let seeds: Vec<String> = settings
        .seed_nodes
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(seeds, ["10.1.0.38:8146", "10.2.0.30:8146"]);
    assert!(settings.bootstrap);
    assert!(settings.loss_counted);
    assert_eq!(
        settings.state_dir.as_deref(),
        Some(Path::new("/var/lib/fennelpin"))
    );
    assert_eq!(settings.beat_period_ms, 1300);
}

#[test]
fn process_settings_with_every_key_set_every_field_of_groups() {
    let settings = ProcessSettings::read(include_str!("fixtures/process_settings.json")).unwrap();
    let bind = &settings.bind;
    let addresses = [
        bind.front,
        bind.readiness,
        bind.control,
        bind.agent,
        bind.member,
    ]
    .map(|addr| addr.unwrap().to_string());
    assert_eq!(
        addresses,
        [
            "10.1.0.35:8144",
            "10.1.0.35:8140",
            "10.1.0.35:8146",
            "127.0.0.35:7661",
            "10.1.0.36:7660"
        ]
    );
    let limits = &settings.limits;
    assert_eq!(limits.cpu_fraction, 0.25);
    assert_eq!(
        (limits.memory_mb, limits.fd_limit, limits.disk_mb),
        (260, 4100, 64)
    );
    assert_eq!(limits.link_mbps, 1000.5);
    let budget = settings.fault_budget;
    assert_eq!(
        (budget.machine_losses, budget.zones, budget.region_losses),
        (2, 1, 3)
    );
    let bounds = settings.bounds;
    assert_eq!(bounds.seed_delay_s, 3.5);
    assert_eq!(bounds.addr_reuse_s, 2.5);
    assert_eq!(bounds.contact_ms, 4000.0);
    assert_eq!(bounds.ack_ms, 5000.0);
    assert_eq!(bounds.catch_up_s, 6.0);
    assert_eq!(bounds.drain_ms, 2500.0);
    assert_eq!(bounds.grace_s, 9.0);
    assert_eq!(bounds.loss_slack_ms, 210.0);
    assert_eq!(bounds.apply_ms, 2600.0);
    assert_eq!(bounds.revert_slack_ms, 260.0);
    assert_eq!(bounds.stretch_ms, 6000.0);
    assert_eq!(bounds.retry_ratio, 0.3);
    assert_eq!(bounds.retry_window_s, 11.0);
    assert_eq!(bounds.retry_slack, 54.0);
    assert_eq!(bounds.recovery_s, 15.0);
    assert_eq!(bounds.pass_ms, 200.0);
    assert!(bounds.revocation);
    assert_eq!(bounds.revoke_ms, 5100.0);
    assert_eq!(bounds.quota_window_s, 9.0);
    assert_eq!(bounds.quota_excess, 0.2);
    assert_eq!(bounds.quota_margin, 190_000.0);
    assert_eq!(bounds.history_s, 21.0);
}

#[test]
fn process_settings_with_required_keys_only_have_defaults() {
    let text = r#"{"node_name":"n","role":"r","ip_addr":"10.0.0.1","zone":"z","port_range":[1,2]}"#;
    let settings = ProcessSettings::read(text).unwrap();
    assert_eq!(settings.machine_class, "");
    assert!(settings.serves.is_empty());
    assert_eq!(settings.region, "");
    assert!(settings.zones.is_empty());
    assert!(settings.bind.front.is_none() && settings.bind.member.is_none());
    assert!(settings.seed_nodes.is_empty());
    assert!(!settings.bootstrap && !settings.loss_counted);
    assert!(settings.state_dir.is_none());
    assert_eq!(settings.beat_period_ms, 1200);
    let limits = &settings.limits;
    assert_eq!(limits.cpu_fraction, 1.0);
    assert_eq!(
        (limits.memory_mb, limits.fd_limit, limits.disk_mb),
        (256, 1024, 0)
    );
    assert_eq!(limits.link_mbps, 1000.0);
    let budget = settings.fault_budget;
    assert_eq!(
        (budget.machine_losses, budget.zones, budget.region_losses),
        (0, 0, 0)
    );
    let bounds = settings.bounds;
    assert_eq!(bounds.seed_delay_s, 3.0);
    assert_eq!(bounds.addr_reuse_s, 2.0);
    assert_eq!(bounds.contact_ms, 3000.0);
    assert_eq!(bounds.ack_ms, 4000.0);
    assert_eq!(bounds.catch_up_s, 4.0);
    assert_eq!(bounds.drain_ms, 2000.0);
    assert_eq!(bounds.grace_s, 8.0);
    assert_eq!(bounds.loss_slack_ms, 200.0);
    assert_eq!(bounds.apply_ms, 2000.0);
    assert_eq!(bounds.revert_slack_ms, 250.0);
    assert_eq!(bounds.stretch_ms, 5000.0);
    assert_eq!(bounds.retry_ratio, 0.2);
    assert_eq!(bounds.retry_window_s, 10.0);
    assert_eq!(bounds.retry_slack, 10.0);
    assert_eq!(bounds.recovery_s, 12.0);
    assert_eq!(bounds.pass_ms, 120.0);
    assert!(!bounds.revocation);
    assert_eq!(bounds.revoke_ms, 5000.0);
    assert_eq!(bounds.quota_window_s, 8.0);
    assert_eq!(bounds.quota_excess, 0.1);
    assert_eq!(bounds.quota_margin, 0.0);
    assert_eq!(bounds.history_s, 20.0);
}
