//! Connections that are dropped while idle.

use crate::harness::*;
use coordinator::*;

/// Connections are dropped silently after a second without use, while the servers are healthy.
#[test]
fn parts_lost_on_idle_connections_open_new_ones() {
    // The same losses are evidence against the connection only if it had been idle.
    for (pause, opened) in [(1500, true), (100, false)] {
        let mut harness = with_part_times(
            RouterSettings {
                shard_layout: ShardLayout {
                    cells: 1,
                    cells_per_shard: 1,
                },
                ..settings()
            },
            100,
        );
        let entries = (0..2)
            .map(|n| ServerEntry {
                cell: 0,
                ..server_entry(n)
            })
            .collect();
        harness.run_turn(vec![Event::ServerList {
            kind: ListKind::Full,
            entries,
        }]);
        for _ in 0..14 {
            harness.run_until(harness.now + pause);
            let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
            harness.run_until(harness.now + 300);
            harness.end_attempt(parts[0], 0, Outcome::Timeout, 0.0);
            harness.run_until(harness.now + 100);
            harness.answer_part(parts[0], 1, 100);
        }
        assert_eq!(
            harness
                .actions
                .iter()
                .any(|a| matches!(a, Action::CloseIdleConnections { .. })),
            opened,
            "pause of {pause} ms"
        );
    }
}
