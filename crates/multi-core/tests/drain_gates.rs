//! Drain gates that several cores share, with their interleavings explored under loom.

mod support;

use multi_core::drain_gates::DrainGates;
use support::{explore, spawn};

fn publish(gates: &DrainGates, host: &'static str, ready: bool, stop_at: u64) -> u64 {
    gates.publish(false, [(host, ready)].into_iter(), stop_at)
}

#[test]
fn drain_when_a_core_has_not_read_of_it_then_its_gate_is_closed_there() {
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
        // This core has acknowledged nothing. If it can see that another one has, its gate is closed.
        let seen = gates.acknowledged(0);
        let open = gate.allows_send(150);
        assert!(seen == 0 || !open, "a send after an acknowledged drain");
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
fn host_when_two_cores_meet_it_for_the_first_time_then_it_has_one_gate() {
    explore(|| {
        let gates = DrainGates::new(2);
        let other = {
            let gates = gates.clone();
            spawn(move || gates.gate("h"))
        };
        let mine = gates.gate("h");
        let theirs = other.join().unwrap();
        publish(&gates, "h", false, 10);
        assert!(!mine.allows_send(10) && !theirs.allows_send(10));
    });
}

#[test]
fn drain_when_repeated_then_its_grace_is_no_longer_and_a_host_that_is_back_is_sent_to() {
    explore(|| {
        let gates = DrainGates::new(1);
        publish(&gates, "h", false, 100);
        publish(&gates, "h", false, 200);
        assert!(
            !gates.gate("h").allows_send(100),
            "its repetition lengthens nothing"
        );
        publish(&gates, "h", true, 300);
        assert!(gates.gate("h").allows_send(1_000_000));
        // A whole list without it.
        gates.publish(true, [("other", true)].into_iter(), 400);
        assert!(!gates.gate("h").allows_send(400) && gates.gate("other").allows_send(400));
        let held = gates.gate("h");
        gates.prune(500);
        assert!(
            !held.allows_send(500),
            "who holds the old gate finds it closed"
        );
    });
}
