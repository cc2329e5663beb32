use fake_hosts::event_log::{mark, reference, AttemptRef};

#[test]
fn mark_is_found_when_embedded_in_any_text() {
    let r = AttemptRef {
        query: 12,
        attempt: 1,
    };
    let text = format!(
        "free\n{{\"term\":{{\"lab\":\"{}\"}}}}",
        mark(r, [(3, 97_000), (4, 5)].into_iter())
    );
    assert_eq!(reference(&text, 4), Some((r, Some(5.0))));
    assert_eq!(reference(&text, 5), Some((r, None)));
    assert_eq!(reference("c41e77d0", 3), None);
    assert_eq!(reference("lab:x.y:;", 3), None);
}
