//! Queries that crash servers.

use crate::harness::*;
use coordinator::*;

/// Guards against queries that crash a server with each of their parts and each retry.
#[test]
fn while_servers_crash_one_part_is_sent_first_and_a_suspect_is_not_sent_again() {
    let mut harness = with_part_times(settings(), 100);
    let (suspect, parts, actions) = harness.submit_query(0, &FOUR_SHARDS);
    assert_eq!(sends(&actions).len(), 4);
    let servers: Vec<ServerId> = sends(&actions).iter().map(|s| s.1).collect();
    // Two servers that share no shard, so that each shard keeps a reachable server.
    let opposite_server = ServerId((servers[0].0 + 2) % 4);
    let other = servers
        .iter()
        .position(|s| *s == opposite_server)
        .expect("a part on the opposite server");
    harness.end_attempt(parts[0], 0, Outcome::Reset, 0.0);
    let actions = harness.end_attempt(parts[other], 0, Outcome::Reset, 0.0);
    // Connections to healthy servers break as well. Only a server that also refuses the next one has died.
    assert_eq!(final_actions(&actions, suspect), 0);
    let actions = [servers[0], servers[other]]
        .map(|s| harness.end_parts_at(s, Outcome::ConnectFailed, 1))
        .concat();
    assert_eq!(final_actions(&actions, suspect), 1);
    // From now on a query sends a single part first, and ends at once if the server of that part crashes.
    harness.run_until(harness.now + 50);
    let (second, parts, actions) = harness.submit_query(0, &FOUR_SHARDS);
    let canary = sends(&actions);
    assert_eq!(canary.len(), 1);
    assert!(sends(&harness.run_until(harness.now + 50)).is_empty());
    assert!(parts.contains(&canary[0].0));
    harness.end_attempt(canary[0].0, 0, Outcome::Reset, 0.0);
    let actions = harness.end_parts_at(canary[0].1, Outcome::ConnectFailed, 1);
    assert_eq!(final_actions(&actions, second), 1);
    // The other parts are sent once that part is answered or late.
    let mut harness = with_part_times(settings(), 100);
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    harness.end_attempt(parts[0], 0, Outcome::Reset, 0.0);
    harness.end_parts_at(sends(&actions)[0].1, Outcome::ConnectFailed, 1);
    let (_, _, actions) = harness.submit_query(0, &FOUR_SHARDS);
    let canary = sends(&actions);
    assert_eq!(canary.len(), 1);
    assert_eq!(
        sends(&harness.end_attempt(canary[0].0, 0, Outcome::Ok, 0.0)).len(),
        3
    );
    let (_, _, actions) = harness.submit_query(0, &FOUR_SHARDS);
    assert_eq!(sends(&actions).len(), 1);
    assert!(sends(&harness.run_until(harness.now + 400)).len() >= 3);
    // Long after the last crash all parts are sent at once.
    let mut harness = with_part_times(settings(), 100);
    let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
    harness.end_attempt(parts[0], 0, Outcome::Reset, 0.0);
    harness.run_until(harness.now + 11_000);
    assert!(sends(&harness.submit_query(0, &FOUR_SHARDS).2).len() > 1);
}
