//! Search bodies of OpenSearch's query language: supported and refused clauses.

use coordinator::front::opensearch::dsl::{QueryError, SearchParser};
use serde_json::json;
use std::time::Duration;

const PARSER: SearchParser = SearchParser {
    district_field: "district",
    location_field: "location",
};

#[test]
fn search_when_supported_then_its_window_starts_at_the_first_hit() {
    let near = json!({"distance": "2km", "location": {"lat": 33.59, "lon": -7.61}});
    let filter = json!([{"terms": {"district": ["anfa", "maarif"]}}, {"term": {"free": true}},
                        {"term": {"district": "anfa"}}, {"geo_distance": near}]);
    let sort = json!([{"_geo_distance": {"location": [-7.61, 33.59], "order": "asc"}}, {"rating": "desc"}]);
    let query = json!({"bool": {"filter": filter}});
    let body = json!({"query": query, "from": 5, "size": 3, "sort": sort, "timeout": "1500ms"});
    let s = PARSER.search(&body).unwrap();
    assert_eq!(s.districts, Some(["anfa".to_owned()].into()));
    assert_eq!(
        (s.from, s.size, s.timeout),
        (5, 3, Some(Duration::from_millis(1500)))
    );
    assert_eq!(
        s.sort.iter().map(|k| k.descending).collect::<Vec<_>>(),
        [false, true]
    );
    assert_eq!(
        (&s.forward["size"], s.forward.contains_key("from")),
        (&json!(8), false)
    );
}

/// A clause that was ignored without an error would give wrong answers.
#[test]
fn clause_when_unsupported_then_the_error_names_it() {
    for (body, names) in [
        (json!({"aggs": {}}), "[aggs]"),
        (json!({"query": {"fuzzy": {"a": "b"}}}), "[fuzzy]"),
        (json!({"query": {"bool": {"must_not": []}}}), "[must_not]"),
        (
            json!({"query": {"geo_distance": {"distance": "2 parsecs", "location": [0, 0]}}}),
            "[distance]",
        ),
        (
            json!({"query": {"geo_distance": {"distance": "1km", "place": [0, 0]}}}),
            "[place]",
        ),
        (
            json!({"query": {"geo_distance": {"distance": "1km", "location": [0, 91]}}}),
            "[location]",
        ),
        (json!({"sort": [{"a": {"nested": {}}}]}), "[nested]"),
        (json!({"timeout": "soon"}), "[timeout]"),
        (json!({"size": -1}), "[size]"),
        (json!({"size": 1_001}), "[1000]"),
        (json!([]), "[request]"),
    ] {
        let QueryError(_, reason) = PARSER.search(&body).unwrap_err();
        assert!(reason.contains(names), "{body}: {reason}");
    }
}
