//! Tenants in a configuration: parsing, validation, amendments, deltas, and the masking of API keys.

use configuration::{Configuration, InvalidConfiguration, QuotaUnit, RateLimit, ResultCode};
use rstest::rstest;

const TENANTS: &str = r#"{"name":"a","credentials":["key-1","key-2"],"rank":2,"unit":"token_flow","uncached_tokens":200,"rate_per_s":784255,"burst_size":90},{"name":"b","credentials":["key-3"],"more":1}"#;

fn read(version: u64, rest: &str) -> Result<Configuration, InvalidConfiguration> {
    let text = format!(r#"{{"version":{version},"routes":[],"services":[]{rest}}}"#);
    Configuration::read(text.as_bytes(), version - 1)
}

fn with_tenants(version: u64, tenants: &str) -> Configuration {
    read(version, &format!(r#","tenants":[{tenants}]"#)).unwrap()
}

fn names(configuration: &Configuration) -> Vec<&str> {
    let tenants = configuration.tenant_items().iter();
    tenants.map(|tenant| &*tenant.value.name).collect()
}

#[test]
fn tenants_have_sent_values_or_defaults() {
    let configuration = with_tenants(1, TENANTS);
    let [a, b] = configuration.tenant_items() else {
        panic!("two tenants were sent");
    };
    assert_eq!((a.value.rank, b.value.rank), (2, 0));
    assert_eq!(a.value.unit, QuotaUnit::TokenFlow);
    assert_eq!(b.value.unit, QuotaUnit::Requests);
    assert_eq!(a.value.credentials.len(), 2);
    let limit = RateLimit {
        rate_per_s: 784_255.0,
        burst_size: 90.0,
    };
    assert_eq!(a.value.rate_limit(), Some(limit));
    assert_eq!(b.value.rate_limit(), None);
    assert_eq!(a.value.request_cost(Some(1540.0)), 1540.0);
    assert_eq!(a.value.request_cost(None), 200.0);
    assert_eq!(b.value.request_cost(Some(1540.0)), 1.0);
}

#[rstest]
#[case::zero(r#","rate_per_s":0"#)]
#[case::null(r#","rate_per_s":null,"burst_size":null"#)]
#[case::negative(r#","rate_per_s":-1"#)]
#[case::other_unit(r#","unit":"per_query""#)]
fn tenant_without_positive_rate_has_no_limit(#[case] fields: &str) {
    let configuration = with_tenants(1, &format!(r#"{{"name":"a"{fields}}}"#));
    let tenant = &configuration.tenant_items()[0].value;
    assert_eq!(tenant.rate_limit(), None);
    assert_eq!(tenant.unit, QuotaUnit::Requests);
}

#[test]
fn configuration_is_written_with_tenants_as_they_were_sent() {
    let written = with_tenants(1, TENANTS).to_json();
    assert!(
        written.ends_with(&format!(r#""tenants":[{TENANTS}]}}"#)),
        "{written}"
    );
    assert!(!read(1, "").unwrap().to_json().contains("tenants"));
    assert!(with_tenants(1, "").to_json().contains(r#""tenants":[]"#));
}

#[test]
fn key_of_two_tenants_is_rejected_with_its_fingerprint_only() {
    let tenants =
        r#"{"name":"a","credentials":["secret","x"]},{"name":"b","credentials":["y","secret"]}"#;
    let error = read(1, &format!(r#","tenants":[{tenants}]"#)).unwrap_err();
    assert_eq!(error.code, ResultCode::SharedKey);
    assert_eq!(error.code.status(), 422);
    assert_eq!(error.detail, "tenants a and b: key sha256:2bb80d53");
}

#[test]
fn key_listed_twice_in_one_tenant_is_valid() {
    let configuration = with_tenants(1, r#"{"name":"a","credentials":["x","x"]}"#);
    assert_eq!(names(&configuration), ["a"]);
}

#[rstest]
#[case::name_missing(r#"{"credentials":["secret"]}"#)]
#[case::key_instead_of_list(r#"{"name":"a","credentials":"secret"}"#)]
#[case::rate_is_text(r#"{"name":"a","rate_per_s":"secret"}"#)]
fn malformed_tenant_is_rejected_with_its_index_and_without_its_text(#[case] tenant: &str) {
    let error = read(1, &format!(r#","tenants":[{{"name":"z"}},{tenant}]"#)).unwrap_err();
    assert_eq!(error.code, ResultCode::BadValue);
    assert!(error.detail.starts_with("tenants[1]"), "{error}");
    assert!(!error.to_string().contains("secret"), "{error}");
}

#[test]
fn two_tenants_of_the_same_name_are_rejected() {
    let error = read(1, r#","tenants":[{"name":"a"},{"name":"a"}]"#).unwrap_err();
    assert_eq!(error.code, ResultCode::SameName);
}

#[test]
fn amendment_replaces_adds_and_removes_tenants() {
    let first = with_tenants(1, TENANTS);
    let amendment = r#"{"version":2,"upsert":{"tenants":[{"name":"b","credentials":["key-4"]},{"name":"c"}]},"remove":{"tenants":["a"]}}"#;
    let second = first.amended(amendment.as_bytes()).unwrap();
    assert_eq!(names(&second), ["b", "c"]);
    assert!(second.to_json().contains("key-4"));
}

#[test]
fn amendment_after_which_two_tenants_share_a_key_is_rejected() {
    let amendment = r#"{"version":2,"upsert":{"tenants":[{"name":"c","credentials":["key-3"]}]}}"#;
    let error = with_tenants(1, TENANTS)
        .amended(amendment.as_bytes())
        .unwrap_err();
    assert_eq!(error.code, ResultCode::SharedKey);
}

#[test]
fn amendment_without_tenants_creates_no_list_of_tenants() {
    let amended = read(1, "").unwrap().amended(br#"{"version":2}"#).unwrap();
    assert_eq!(amended.tenants, None);
}

#[test]
fn amendment_that_removes_the_last_tenant_leaves_an_empty_list() {
    let amendment = r#"{"version":2,"remove":{"tenants":["a","b"]}}"#;
    let amended = with_tenants(1, TENANTS)
        .amended(amendment.as_bytes())
        .unwrap();
    assert_eq!(amended.tenants, Some(Vec::new()));
}

#[rstest]
fn delta_between_any_two_versions_results_in_the_later_one(
    #[values("-", "", TENANTS, r#"{"name":"b"},{"name":"c"}"#)] before: &str,
    #[values("-", "", TENANTS, r#"{"name":"b"},{"name":"c"}"#)] after: &str,
) {
    let configuration = |version, tenants| match tenants {
        "-" => read(version, "").unwrap(),
        tenants => with_tenants(version, tenants),
    };
    let (before, after) = (configuration(1, before), configuration(2, after));
    let delta = before.delta(&after);
    assert_eq!(delta.tenants.is_some(), before.tenants != after.tenants);
    let patched = before.patched(&delta).unwrap();
    assert_eq!(patched.tenants.is_some(), after.tenants.is_some());
    let sorted = |configuration: &Configuration| {
        let mut texts: Vec<String> = configuration
            .tenant_items()
            .iter()
            .map(|tenant| tenant.raw.to_string())
            .collect();
        texts.sort_unstable();
        texts
    };
    assert_eq!(sorted(&patched), sorted(&after));
}

#[test]
fn debug_output_of_tenant_contains_only_fingerprints_of_keys() {
    let configuration = with_tenants(1, r#"{"name":"a","credentials":["secret"]}"#);
    let text = format!("{:?}", configuration.tenant_items()[0].value);
    assert!(text.contains("sha256:2bb80d53"), "{text}");
    assert!(!text.contains("secret"), "{text}");
}

#[test]
fn masked_json_contains_fingerprints_and_all_else_as_it_was_sent() {
    let masked = with_tenants(1, TENANTS).to_masked_json();
    for key in ["key-1", "key-2", "key-3"] {
        assert!(!masked.contains(key), "{masked}");
    }
    assert!(masked.contains("sha256:"), "{masked}");
    assert!(masked.contains(r#""rate_per_s":784255"#), "{masked}");
    assert!(masked.contains(r#""more":1"#), "{masked}");
}

#[test]
fn warnings_list_valid_but_probably_unintended_values() {
    let tenants =
        r#"{"name":"","credentials":["x","x",""]},{"name":"b","credentials":["sha256:2bb80d53"]}"#;
    let warnings = with_tenants(1, tenants).warnings();
    assert_eq!(
        warnings,
        [
            "tenants[0]: the name is empty",
            "tenants[0]: key sha256:2d711642 is listed twice",
            "tenants[0]: an empty key is never accepted",
            "tenants[1]: a fingerprint is listed in place of a key",
        ]
    );
}

#[rstest]
#[case::text(r#""secret""#)]
#[case::object(r#"{"secret":1}"#)]
fn tenants_that_are_not_a_list_are_rejected_without_their_text(#[case] tenants: &str) {
    let error = read(1, &format!(r#","tenants":{tenants}"#)).unwrap_err();
    assert_eq!(error.code, ResultCode::BadValue);
    assert!(!error.to_string().contains("secret"), "{error}");
}

#[test]
fn null_tenants_mean_no_list() {
    assert_eq!(read(1, r#","tenants":null"#).unwrap().tenants, None);
}
