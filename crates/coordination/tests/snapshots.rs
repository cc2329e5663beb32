//! Random calls: a state and its snapshot are the same, also in what they make of the next calls, and the count of bytes
//! stays true.

mod support;

use coordination::CoordinationState;
use proptest::prelude::*;
use protocol::CoordinationRequest;
use support::{acquire, ms, put, release, renew, Primary};

fn request() -> impl Strategy<Value = CoordinationRequest> {
    let holder = prop_oneof![Just("a"), Just("b")];
    prop_oneof![
        (holder.clone(), 1..2000u32, 0..4u64).prop_map(|(h, ms, n)| acquire(h, ms, n)),
        (holder.clone(), 0..6u64, 1..2000u32).prop_map(|(h, fence, ms)| renew(h, fence, ms)),
        (holder, 0..6u64).prop_map(|(h, fence)| release(h, fence)),
        "[n-p]".prop_map(|name| CoordinationRequest::NextNumber { name }),
        ("[gh]\\.[a-c]", "[x-z]{1,3}", prop::option::of(0..8u64))
            .prop_map(|(cell, value, expected)| put(&cell, &value, expected)),
    ]
}

proptest! {
    #[test]
    fn state_of_a_snapshot_is_the_state(requests in prop::collection::vec(request(), 0..60)) {
        let mut primary = Primary::acting_since(ms(0));
        for (n, request) in requests.into_iter().enumerate() {
            primary.run(request, ms(100 * n as u64));
            let snapshot = primary.state.snapshot(7);
            let read = CoordinationState::from_snapshot(&snapshot).unwrap();
            // The bytes are counted anew from what is there.
            prop_assert_eq!(&read, &primary.state);
        }
    }

    #[test]
    fn snapshot_with_a_gap_in_its_revisions_is_rejected(puts in 2..20u64, gap in 0..19usize) {
        let mut primary = Primary::acting_since(ms(0));
        for n in 0..puts {
            primary.run(put("g.a", &n.to_string(), None), ms(0));
        }
        let mut snapshot = primary.state.snapshot(0);
        let history = &mut snapshot.groups[0].history;
        prop_assume!(gap + 1 < history.len());
        history.remove(gap);
        prop_assert!(CoordinationState::from_snapshot(&snapshot).is_none());
    }
}
