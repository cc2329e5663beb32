//! Snapshots after random calls: a restored state equals the original one, and the tracked size matches the content.

mod support;

use coordination::CoordinationState;
use proptest::prelude::*;
use protocol::CoordinationRequest;
use support::{acquire, ms, put, release, renew, Primary};

fn any_request() -> impl Strategy<Value = CoordinationRequest> {
    let holder = prop_oneof![Just("a"), Just("b")];
    prop_oneof![
        (holder.clone(), 1..2000u32, 0..4u64)
            .prop_map(|(holder, hold_ms, attempt)| acquire(holder, hold_ms, attempt)),
        (holder.clone(), 0..6u64, 1..2000u32)
            .prop_map(|(holder, fence, hold_ms)| renew(holder, fence, hold_ms)),
        (holder, 0..6u64).prop_map(|(holder, fence)| release(holder, fence)),
        "[n-p]".prop_map(|name| CoordinationRequest::NextNumber { name }),
        ("[gh]\\.[a-c]", "[x-z]{1,3}", prop::option::of(0..8u64))
            .prop_map(|(cell, value, expected)| put(&cell, &value, expected)),
    ]
}

proptest! {
    #[test]
    fn restored_state_equals_the_original(requests in prop::collection::vec(any_request(), 0..60)) {
        let mut primary = Primary::acting_since(ms(0));
        for (n, request) in requests.into_iter().enumerate() {
            primary.handle(request, ms(100 * n as u64));
            let snapshot = primary.state.snapshot(7);
            let restored = CoordinationState::from_snapshot(&snapshot).unwrap();
            // The restored state computes its size from its content.
            prop_assert_eq!(&restored, &primary.state);
        }
    }

    #[test]
    fn snapshot_with_a_revision_gap_is_rejected(puts in 2..20u64, gap in 0..19usize) {
        let mut primary = Primary::acting_since(ms(0));
        for n in 0..puts {
            primary.handle(put("g.a", &n.to_string(), None), ms(0));
        }
        let mut snapshot = primary.state.snapshot(0);
        let history = &mut snapshot.groups[0].history;
        prop_assume!(gap + 1 < history.len());
        history.remove(gap);
        prop_assert!(CoordinationState::from_snapshot(&snapshot).is_none());
    }
}
