//! Queries that crash servers.

use crate::harness::*;
use coordinator::*;

/// Once, each part of some queries crashed a server, and so did each retry.
#[test]
fn while_servers_crash_one_part_goes_ahead_and_a_suspect_goes_no_further() {
    let mut harness = with_part_times(settings(), 100);
    let (suspect, parts, out) = harness.submit_query(0, &FOUR_SHARDS);
    assert_eq!(sends(&out).len(), 4);
    let servers: Vec<ServerId> = sends(&out).iter().map(|s| s.1).collect();
    // Two that share no shard: each shard keeps a server that can be reached.
    let across = ServerId((servers[0].0 + 2) % 4);
    let other = servers
        .iter()
        .position(|s| *s == across)
        .expect("a part on the server across");
    harness.end_attempt(parts[0], 0, Outcome::Reset, 0.0);
    let out = harness.end_attempt(parts[other], 0, Outcome::Reset, 0.0);
    // Connections break under sound servers as well: only one that then refuses the next has died.
    assert_eq!(final_actions(&out, suspect), 0);
    let out = [servers[0], servers[other]]
        .map(|s| harness.end_parts_at(s, Outcome::ConnectFailed, 1))
        .concat();
    assert_eq!(final_actions(&out, suspect), 1);
    // From now on one part goes ahead; when its server crashes the query ends at once.
    harness.run_until(harness.now + 50);
    let (second, parts, out) = harness.submit_query(0, &FOUR_SHARDS);
    let ahead = sends(&out);
    assert_eq!(ahead.len(), 1);
    assert!(sends(&harness.run_until(harness.now + 50)).is_empty());
    assert!(parts.contains(&ahead[0].0));
    harness.end_attempt(ahead[0].0, 0, Outcome::Reset, 0.0);
    let out = harness.end_parts_at(ahead[0].1, Outcome::ConnectFailed, 1);
    assert_eq!(final_actions(&out, second), 1);
    // One that is answered lets the others go; so does one that is late.
    let mut harness = with_part_times(settings(), 100);
    let (_, parts, out) = harness.submit_query(0, &[(0, 1.0)]);
    harness.end_attempt(parts[0], 0, Outcome::Reset, 0.0);
    harness.end_parts_at(sends(&out)[0].1, Outcome::ConnectFailed, 1);
    let (_, _, out) = harness.submit_query(0, &FOUR_SHARDS);
    let ahead = sends(&out);
    assert_eq!(ahead.len(), 1);
    assert_eq!(
        sends(&harness.end_attempt(ahead[0].0, 0, Outcome::Ok, 0.0)).len(),
        3
    );
    let (_, _, out) = harness.submit_query(0, &FOUR_SHARDS);
    assert_eq!(sends(&out).len(), 1);
    assert!(sends(&harness.run_until(harness.now + 400)).len() >= 3);
    // Long after the last crash all parts go at once.
    let mut harness = with_part_times(settings(), 100);
    let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
    harness.end_attempt(parts[0], 0, Outcome::Reset, 0.0);
    harness.run_until(harness.now + 11_000);
    assert!(sends(&harness.submit_query(0, &FOUR_SHARDS).2).len() > 1);
}
