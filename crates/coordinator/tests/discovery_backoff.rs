//! When a watch of the host list calls discovery again.

use coordinator::net::discovery_watch::{DiscoveryBackoff, BACKOFF};
use std::time::Duration;

/// A hundred that start at one moment with a list in hand call discovery spread over seconds; with an
/// agent on each machine, or a few of them, each calls at once and comes back soon.
#[test]
fn first_calls_when_many_share_discovery_then_they_are_spread() {
    let within = Duration::from_secs(10);
    let start = |seed: u64| {
        let (mut backoff, spread) = DiscoveryBackoff {
            seed,
            shared: Some((100, within)),
            grace: Duration::from_secs(1),
        }
        .backoff();
        backoff.initial_delay(spread)
    };
    let mut first: Vec<Duration> = (0..100).map(start).collect();
    first.sort();
    let busiest = first.windows(30).map(|w| w[29] - w[0]).min().unwrap();
    assert!(
        busiest > Duration::from_millis(500),
        "30 within {busiest:?}"
    );
    assert!(first[99] < Duration::from_secs(4));
    for shared in [None, Some((3, within))] {
        let (mut backoff, spread) = DiscoveryBackoff {
            seed: 1,
            shared,
            grace: Duration::from_secs(1),
        }
        .backoff();
        assert_eq!(backoff.initial_delay(spread), Duration::ZERO);
        (0..20).for_each(|_| assert!(backoff.next_delay() <= BACKOFF.1));
    }
}
