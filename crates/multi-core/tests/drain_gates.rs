//! Drain gates shared by several cores. With the feature `loom` all interleavings are explored.

mod support;

use multi_core::drain_gates::DrainGates;
use support::{explore, spawn};

fn publish(gates: &DrainGates, host: &'static str, ready: bool, stop_at: u64) -> u64 {
    gates.publish(false, [(host, ready)].into_iter(), stop_at)
}

#[test]
fn drain_when_a_core_has_not_read_the_update_then_its_gate_is_closed() {
    explore(|| {
        let gates = DrainGates::new(2);
        let gate = gates.gate("h");
        let other = {
            let gates = gates.clone();
            spawn(move || {
                let revision = publish(&gates, "h", false, 100);
                gates.acknowledge(0, revision);
                revision
            })
        };
        // This thread has not acknowledged the update. Once it sees another core's acknowledgement, the gate is closed.
        let acknowledged = gates.acknowledged(0);
        let is_open = gate.allows_send(150);
        assert!(
            acknowledged == 0 || !is_open,
            "a send after an acknowledged drain"
        );
        let revision = other.join().unwrap();
        assert!(!gate.allows_send(100) && gate.allows_send(99));
        assert_eq!(
            (
                gates.revision(),
                gates.acknowledged(0),
                gates.acknowledged(1)
            ),
            (revision, 1, 0)
        );
    });
}

#[test]
fn host_when_two_cores_look_it_up_first_at_once_then_they_share_one_gate() {
    explore(|| {
        let gates = DrainGates::new(2);
        let other = {
            let gates = gates.clone();
            spawn(move || gates.gate("h"))
        };
        let own_gate = gates.gate("h");
        let other_gate = other.join().unwrap();
        publish(&gates, "h", false, 10);
        assert!(!own_gate.allows_send(10) && !other_gate.allows_send(10));
    });
}

#[test]
fn drain_when_repeated_then_its_grace_is_not_extended_and_a_ready_host_reopens() {
    explore(|| {
        let gates = DrainGates::new(1);
        publish(&gates, "h", false, 100);
        publish(&gates, "h", false, 200);
        assert!(
            !gates.gate("h").allows_send(100),
            "a repeated drain does not extend the grace"
        );
        publish(&gates, "h", true, 300);
        assert!(gates.gate("h").allows_send(1_000_000));
        // A complete list without the host.
        gates.publish(true, [("other", true)].into_iter(), 400);
        assert!(!gates.gate("h").allows_send(400) && gates.gate("other").allows_send(400));
        let old_gate = gates.gate("h");
        gates.prune(500);
        assert!(
            !old_gate.allows_send(500),
            "a gate that was removed stays closed for its holders"
        );
    });
}
