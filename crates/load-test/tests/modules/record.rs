use load_test::record::{CoordinatorEvent, ProcessEvent, ProcessHistory};

#[test]
fn coordinator_is_excused_when_killed_stopped_or_long_after_sigterm() {
    let e = |at, event| CoordinatorEvent {
        at,
        coordinator: 0,
        event,
    };
    let processes = ProcessHistory(vec![
        e(0, ProcessEvent::Started),
        e(1_000_000, ProcessEvent::Stopped),
        e(2_000_000, ProcessEvent::Continued),
        e(5_000_000, ProcessEvent::Killed),
        e(6_000_000, ProcessEvent::Started),
        e(9_000_000, ProcessEvent::Terminated),
        e(12_000_000, ProcessEvent::Exited),
    ]);
    let s = 1_000_000;
    for (from, to, excused) in [
        (s / 2, s * 3 / 4, false),
        (s / 2, s * 3 / 2, true),
        (s * 3, s * 4, false),
        (s * 4, s * 5, true),
        (s * 11 / 2, s * 13 / 2, true),
        (s * 7, s * 8, false),
        (s * 7, s * 12, false),
        (s * 95 / 10, s * 12, false),
        (s * 98 / 10, s * 12, true),
        (s * 13, s * 14, true),
    ] {
        assert_eq!(processes.excused(0, from, to), excused, "{from} to {to}");
    }
    assert!(!processes.excused(1, s, s * 20));
    assert_eq!(processes.started_before(0, 7 * s), 6 * s);
}
