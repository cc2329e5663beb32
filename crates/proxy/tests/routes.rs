//! Selection of routes by host name and path prefix, and of services by weight.

use configuration::Configuration;
use proxy::routes::{select_service, RouteTable};
use rstest::rstest;

fn configuration() -> Configuration {
    let route = |name: &str, host: &str, prefix: &str, service_fields: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"{host}","path_prefix":"{prefix}","route_class":"pure","deadline_ms":100,{service_fields}}}"#
        )
    };
    let routes = [
        route("a", "x", "/a/", r#""service":"s""#),
        route("ab", "x", "/a/b/", r#""service":"s""#),
        route("y", "Y", "/", r#""service":"s""#),
        route(
            "split",
            "z",
            "/a/",
            r#""weighted_split":[{"service":"s","share":0},{"service":"t","share":90},{"service":"u","share":10}]"#,
        ),
    ];
    let text = format!(
        r#"{{"version":1,"routes":[{}],"services":[{{"name":"s"}},{{"name":"t"}},{{"name":"u"}}]}}"#,
        routes.join(",")
    );
    Configuration::read(text.as_bytes(), 0).unwrap()
}

#[rstest]
#[case("x", "/a/", Some("a"))]
#[case("x", "/a/c", Some("a"))]
#[case("X", "/a/c", Some("a"))]
#[case("x", "/a/b/", Some("ab"))]
#[case("x", "/a/b/c/d/e/f/g", Some("ab"))]
#[case("x", "/a/b", Some("a"))]
#[case("x", "/a/bc/d", Some("a"))]
#[case("x", "/a", None)]
#[case("x", "/", None)]
#[case("x", "*", None)]
#[case("x", "", None)]
#[case("y", "/any/where", Some("y"))]
#[case("w", "/a/", None)]
fn longest_prefix_wins(#[case] host: &str, #[case] path: &str, #[case] name: Option<&str>) {
    let routes = RouteTable::new(&configuration());
    assert_eq!(
        routes
            .find(host, path.as_bytes())
            .map(|route| route.name.as_str()),
        name
    );
}

#[test]
fn weighted_split_follows_its_weights() {
    let routes = RouteTable::new(&configuration());
    let route = routes.find("z", b"/a/").unwrap();
    let step = u64::MAX / 1000;
    let selected: Vec<_> = (0..1000)
        .map(|n| select_service(route, n * step).unwrap())
        .collect();
    let count = |name| selected.iter().filter(|service| **service == name).count();
    assert_eq!(
        count("s"),
        0,
        "a service without a weight is never selected"
    );
    assert!((899..=901).contains(&count("t")), "{}", count("t"));
    assert_eq!(select_service(route, u64::MAX), Some("u"));
    assert_eq!(
        select_service(routes.find("x", b"/a/").unwrap(), 5),
        Some("s")
    );
}
