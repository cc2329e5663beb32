use fake_hosts::event_log::AttemptRef;
use load_test::drivers::{of, ParsedAnswer, RequestContext};
use load_test::plan::Planned;
use load_test::scenario::Scenario;
use std::path::Path;

/// A scenario with both fronts, and a query of two parts.
fn scenario_and_query() -> (Scenario, Planned) {
    let text = "name = 'x'\nlength_s = 5\n[traffic]\nfronts = ['platform', 'opensearch']\n\
                [[traffic.shape]]\nkind = 'steady'\nrate = 100\n";
    let s = Scenario::parse(text, Path::new("x.toml")).unwrap();
    let mut planned = load_test::plan::Mixer::new(&s).query(0, Some(1), Some(2), Some(3));
    planned.parts.truncate(2);
    (s, planned)
}

fn context(planned: &Planned) -> RequestContext<'_> {
    RequestContext {
        planned,
        reference: AttemptRef {
            query: 7,
            attempt: 1,
        },
        name: "n1",
        key: "k1",
        wait_ms: 900,
    }
}

#[test]
fn claims_are_parsed_when_either_front_answers() {
    let (s, planned) = scenario_and_query();
    let (a, b) = (planned.parts[0].shard, planned.parts[1].shard);
    let ask = context(&planned);
    let drivers = of(&s);
    let mut out = Vec::new();
    drivers[0].request(&ask, &mut out);
    let asked = String::from_utf8(out).unwrap();
    assert!(
        asked.starts_with("POST /fleet-report HTTP/1.1\r\n") && asked.contains("lab:7.1:"),
        "{asked}"
    );
    assert!(
        asked.contains("Req-Owner: coop-hay-hassani\r\n")
            && asked.contains("Req-Deadline-Ms: 900\r\n")
    );
    let body =
        format!("{{\"full\":false,\"pieces\":[{{\"tablet\":{a},\"cell\":\"000000000000002a\"}}]}}");
    let said = drivers[0].read(&ask, 200, body.as_bytes());
    assert_eq!(
        said,
        ParsedAnswer::Served {
            full: false,
            shards: vec![a],
            values: vec![42]
        }
    );
    assert_eq!(drivers[0].read(&ask, 503, b""), ParsedAnswer::Refused);
    assert_eq!(drivers[0].read(&ask, 504, b""), ParsedAnswer::Failed(504));
    assert_eq!(
        drivers[0].read(&ask, 200, b"{\"full\":tr"),
        ParsedAnswer::Unreadable
    );

    let mut out = Vec::new();
    drivers[1].request(&ask, &mut out);
    let asked = String::from_utf8(out).unwrap();
    assert!(
        asked.starts_with("POST /fleet-report/_search?timeout=900ms"),
        "{asked}"
    );
    let hit = "{\"_id\":\"000000000000002a-3\"}";
    let fail = format!("{{\"shard\":{b},\"reason\":{{}}}}");
    let body = format!(
        "{{\"timed_out\":false,\"_shards\":{{\"total\":2,\"successful\":1,\"failed\":1,\"failures\":[{fail}]}},\
         \"hits\":{{\"hits\":[{hit},{hit}]}}}}"
    );
    let said = drivers[1].read(&ask, 200, body.as_bytes());
    assert_eq!(
        said,
        ParsedAnswer::Served {
            full: false,
            shards: vec![a],
            values: vec![42]
        }
    );
    let lying = body.replace("\"successful\":1", "\"successful\":2");
    assert_eq!(
        drivers[1].read(&ask, 200, lying.as_bytes()),
        ParsedAnswer::Unreadable,
        "its counts don't add up"
    );
}
