use fake_hosts::frames::parse_call;
use std::time::Duration;

#[test]
fn call_is_parsed_when_well_formed_and_rejected_otherwise() {
    let call = "a.3 3 d=240,k=k1 8\nlab:1.2;a.4 4 d=240 0\n";
    let all = parse_call(call.as_bytes()).unwrap();
    assert_eq!(
        (all.len(), all[0].id, all[0].shard, all[0].key),
        (2, "a.3", 3, Some("k1"))
    );
    assert_eq!(
        (all[0].text, all[1].key, all[1].wait),
        ("lab:1.2;", None, Duration::from_millis(240))
    );
    for bad in [
        "a.3 3 d=240 9\nshort",
        "a.3 3 k=1 0\n",
        "a.3 x d=1 0\n",
        "a.3 3 d=1 0",
    ] {
        assert!(parse_call(bad.as_bytes()).is_none(), "{bad}");
    }
}
