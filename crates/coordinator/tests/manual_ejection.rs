//! Manual ejections, applied to the updates of a host list.

use coordinator::core::Endpoint;
use coordinator::ops::manual_ejection::{EjectionError, ManualEjections};
use coordinator::{ListKind, ServerState};

fn host(id: &str, state: ServerState, up_since_ms: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        addr: "a:1".into(),
        zone: "a".into(),
        cell: 0,
        state,
        up_since_ms,
    }
}

fn states(hosts: &[Endpoint]) -> Vec<(&str, ServerState, u64)> {
    hosts
        .iter()
        .map(|h| (h.id.as_str(), h.state, h.up_since_ms))
        .collect()
}

use ListKind::{Cached, Changes, Full};
use ServerState::{Draining, Gone, Ready};

#[test]
fn host_when_ejected_then_only_a_restore_ends_it_and_not_discovery() {
    let mut ejections = ManualEjections::default();
    assert_eq!(
        ejections.set_ejected("a", true, 5),
        Err(EjectionError::UnknownHost)
    );
    ejections.apply_update(Cached, vec![host("a", Ready, 1), host("b", Ready, 1)]);
    assert_eq!(
        states(&ejections.set_ejected("a", true, 5).unwrap()),
        [("a", Draining, 1)]
    );
    // A repeated ejection changes nothing.
    assert_eq!(ejections.set_ejected("a", true, 6), Ok(vec![]));
    for kind in [Full, Changes, Cached] {
        let update = ejections.apply_update(kind, vec![host("a", Ready, 2), host("b", Ready, 1)]);
        assert_eq!(states(&update), [("a", Draining, 2), ("b", Ready, 1)]);
    }
    // The host stays ejected while it leaves the list, returns and is missing from a full list.
    assert_eq!(
        states(&ejections.apply_update(Changes, vec![host("a", Gone, 2)])),
        [("a", Gone, 2)]
    );
    assert_eq!(ejections.set_ejected("a", true, 7), Ok(vec![]));
    assert_eq!(
        states(&ejections.apply_update(Changes, vec![host("a", Ready, 3)])),
        [("a", Draining, 3)]
    );
    ejections.apply_update(Full, vec![host("b", Ready, 1)]);
    assert_eq!(
        states(&ejections.apply_update(Full, vec![host("a", Ready, 4)])),
        [("a", Draining, 4)]
    );
    assert_eq!(
        states(&ejections.set_ejected("a", false, 50).unwrap()),
        [("a", Ready, 50)]
    );
    assert_eq!(ejections.set_ejected("a", false, 60), Ok(vec![]));
    assert_eq!(ejections.ejected().count(), 0);
}

#[test]
fn host_when_restored_then_its_start_is_the_restore_or_a_later_start_in_the_list() {
    let mut ejections = ManualEjections::default();
    ejections.apply_update(Full, vec![host("a", Ready, 10)]);
    ejections.set_ejected("a", true, 20).unwrap();
    // Restarted meanwhile and draining according to discovery: it still drains after the restore.
    ejections.apply_update(Changes, vec![host("a", Draining, 30)]);
    assert_eq!(
        states(&ejections.set_ejected("a", false, 40).unwrap()),
        [("a", Draining, 40)]
    );
    assert_eq!(
        states(&ejections.apply_update(Changes, vec![host("a", Ready, 30)])),
        [("a", Ready, 40)]
    );
    assert_eq!(
        states(&ejections.apply_update(Changes, vec![host("a", Ready, 70)])),
        [("a", Ready, 70)]
    );
}
