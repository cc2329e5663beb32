//! Tests of the gossip between coordinators: properties of merging, invalid datagrams, and the byte budget.

use coordinator::peers::{
    host_tag, DatagramOutcome, Gossip, GossipSettings, HostTag, LoadUpdate, PeerLoads, UpdateError,
    MAX_DATAGRAM_BYTES,
};
use proptest::prelude::*;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn any_update() -> impl Strategy<Value = (u32, LoadUpdate)> {
    let host = (0u8..6, 0u16..50).prop_map(|(h, out)| ([h, 0, 0], out));
    let hosts = proptest::collection::btree_map(0u8..6, host, 0..6);
    (0u32..3, 0u64..3, 1u32..6, hosts).prop_map(|(from, incarnation, sequence, hosts)| {
        let mut hosts: Vec<(HostTag, u16)> = hosts.into_values().collect();
        hosts.sort();
        hosts.dedup_by_key(|h| h.0);
        (
            from,
            LoadUpdate {
                incarnation,
                sequence,
                in_flight: hosts,
            },
        )
    })
}

/// Keeps the first of several updates with the same sender, incarnation and sequence number, since a correct sender
/// uses each number once.
fn without_reused_numbers(updates: Vec<(u32, LoadUpdate)>) -> Vec<(u32, LoadUpdate)> {
    let mut kept: Vec<(u32, LoadUpdate)> = Vec::new();
    for (from, w) in updates {
        if !kept
            .iter()
            .any(|(f, k)| *f == from && (k.incarnation, k.sequence) == (w.incarnation, w.sequence))
        {
            kept.push((from, w));
        }
    }
    kept
}

fn merge_all<'a>(updates: impl Iterator<Item = &'a (u32, LoadUpdate)>) -> PeerLoads {
    let mut peer_loads = PeerLoads::new(4);
    for (from, w) in updates {
        peer_loads.merge(ms(100), *from, w);
    }
    peer_loads
}

proptest! {
    #[test]
    fn peer_loads_when_updates_are_reordered_or_doubled_then_they_are_the_same(updates in proptest::collection::vec(any_update(), 0..12), turn in 0usize..12) {
        let updates = without_reused_numbers(updates);
        let turn = turn.min(updates.len());
        let expected = merge_all(updates.iter());
        prop_assert_eq!(&merge_all(updates.iter().rev()), &expected);
        prop_assert_eq!(&merge_all(updates[turn..].iter().chain(&updates[..turn]).chain(&updates)), &expected);
    }

    #[test]
    fn peer_loads_when_an_older_update_comes_later_then_the_newer_one_stands(updates in proptest::collection::vec(any_update(), 1..12)) {
        let updates = without_reused_numbers(updates);
        let peer_loads = merge_all(updates.iter());
        let latest = |from: u32| updates.iter().filter(|w| w.0 == from).max_by_key(|w| (w.1.incarnation, w.1.sequence));
        if let (Some(a), Some(b), Some(c)) = (latest(0), latest(1), latest(2)) {
            // The last report of each peer on a host in its latest incarnation.
            for host in 0u8..6 {
                let said = |from: u32, incarnation: u64| {
                    let of = updates.iter().filter(|w| w.0 == from && w.1.incarnation == incarnation);
                    let named = of.filter_map(|w| Some((w.1.sequence, w.1.in_flight.iter().find(|h| h.0 == [host, 0, 0])?.1)));
                    named.max_by_key(|n| n.0).map_or(0, |n| n.1)
                };
                let sum = said(0, a.1.incarnation) + said(1, b.1.incarnation) + said(2, c.1.incarnation);
                let told = peer_loads.load(ms(100), [host, 0, 0]).expect("all three have spoken");
                prop_assert_eq!(told.in_flight, f64::from(sum));
            }
        }
    }

    #[test]
    fn update_when_encoded_then_it_fits_and_decodes_to_the_same(hosts in proptest::collection::vec((any::<HostTag>(), any::<u16>()), 0..300), incarnation: u64, sequence: u32) {
        let update = LoadUpdate { incarnation, sequence, in_flight: hosts };
        let (datagram, fit) = update.encode();
        prop_assert!(datagram.bytes().len() <= MAX_DATAGRAM_BYTES && (fit == update.in_flight.len() || fit >= 36));
        let read = LoadUpdate::decode(datagram.bytes()).expect("its own");
        prop_assert_eq!(read.in_flight, &update.in_flight[..fit]);
    }

    #[test]
    fn bytes_when_corrupt_then_they_are_no_update(bytes in proptest::collection::vec(any::<u8>(), 0..400), flip in 0usize..256, bit in 0u8..8) {
        // A checksum of 16 bits accepts 1 in 65,536 corrupt datagrams; decoding them must do no harm.
        let _ = LoadUpdate::decode(&bytes);
        let update = LoadUpdate { incarnation: 7, sequence: 9, in_flight: vec![([1, 2, 3], 4), ([5, 6, 7], 8)] };
        let mut bytes = update.encode().0.bytes().to_vec();
        let at = flip % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(LoadUpdate::decode(&bytes).is_err());
    }
}

const HOST: HostTag = [1, 2, 3];

fn gossip(rank: u32, incarnation: u64) -> Gossip {
    Gossip::new(
        GossipSettings {
            coordinators: 3,
            rank,
            price: 0.0072,
        },
        incarnation,
        u64::from(rank) + 5,
    )
}

fn send_update(from: &mut Gossip, now: u64, out: u16) -> Vec<u8> {
    from.next_update(ms(now), &[(HOST, out)], now)
        .expect("time for a update")
        .bytes()
        .to_vec()
}

#[test]
fn peer_load_when_a_peer_is_silent_then_there_is_none() {
    let (mut a, mut b, mut c) = (gossip(0, 1), gossip(1, 1), gossip(2, 1));
    assert_eq!(
        a.receive(ms(200), 1, &send_update(&mut b, 200, 4)),
        DatagramOutcome::Applied
    );
    assert_eq!(a.peer_load(ms(200), HOST), None, "one has not spoken");
    a.receive(ms(210), 2, &send_update(&mut c, 210, 3));
    assert_eq!(a.peer_load(ms(220), HOST).map(|t| t.in_flight), Some(7.0));
    assert_eq!(a.peer_load(ms(2400), HOST), None, "both have been silent");
}

#[test]
fn peer_when_restarted_then_its_past_incarnation_counts_no_more() {
    let (mut a, mut b, mut c) = (gossip(0, 1), gossip(1, 1), gossip(2, 1));
    let old = send_update(&mut b, 100, 9);
    let older = send_update(&mut b, 300, 8);
    a.receive(ms(300), 1, &older);
    a.receive(ms(300), 2, &send_update(&mut c, 300, 1));
    let mut again = gossip(1, 2);
    // Its first update names another host: the parts of its earlier incarnation have ended.
    let first = again
        .next_update(ms(400), &[([9, 9, 9], 2)], 10)
        .expect("time for a update");
    assert_eq!(
        a.receive(ms(400), 1, first.bytes()),
        DatagramOutcome::Applied
    );
    assert_eq!(a.peer_load(ms(400), HOST).map(|t| t.in_flight), Some(1.0));
    assert_eq!(
        a.receive(ms(410), 1, &old),
        DatagramOutcome::Stale,
        "of a past incarnation"
    );
    assert_eq!(a.peer_load(ms(410), HOST).map(|t| t.in_flight), Some(1.0));
    // After a long silence an earlier incarnation is accepted as new, since the peer's clock may have been set back.
    assert_eq!(a.receive(ms(20_000), 1, &old), DatagramOutcome::Applied);
}

#[test]
fn datagram_when_bad_then_its_outcome_says_why() {
    let mut a = gossip(0, 1);
    let good = send_update(&mut gossip(1, 1), 200, 4);
    let other = [&[9u8], &good[1..]].concat();
    assert_eq!(
        a.receive(ms(200), 1, &other),
        DatagramOutcome::Undecodable(UpdateError::Version)
    );
    assert_eq!(
        a.receive(ms(200), 1, &[]),
        DatagramOutcome::Undecodable(UpdateError::Length)
    );
    assert_eq!(
        a.receive(ms(200), 1, &[1; 257]),
        DatagramOutcome::Undecodable(UpdateError::Length)
    );
    assert_eq!(a.receive(ms(200), 1, &good), DatagramOutcome::Applied);
    a.receive(ms(200), 2, &send_update(&mut gossip(2, 1), 200, 4));
    assert_eq!(
        a.receive(ms(200), 3, &good),
        DatagramOutcome::Rejected,
        "one more than there are"
    );
}

#[test]
fn updates_when_load_changes_often_then_they_keep_to_budget_and_intervals() {
    let mut a = gossip(0, 1);
    let (mut bytes, mut updates, mut last) = (0usize, 0u32, 0u64);
    // 30 parts per second and 100 hosts, with a change at every step.
    for now in (0..20_000).step_by(10) {
        let outs: Vec<(HostTag, u16)> = (0..100)
            .map(|h| ([h, 0, 0], (now / 10 % 7) as u16))
            .collect();
        if let Some(d) = a.next_update(ms(now), &outs, now * 30 / 1000) {
            assert!(
                d.bytes().len() <= MAX_DATAGRAM_BYTES && (updates == 0 || now - last >= 25),
                "{now}"
            );
            (bytes, updates, last) = (bytes + d.bytes().len() * 2, updates + 1, now);
        }
    }
    // A thousandth of all value, at a cost of 0.0072 for a full datagram with each part, plus the initial budget.
    let allowed = 600.0 * 256.0 * 0.001 / 0.0072 + 2.0 * 4.0 * 256.0;
    assert!(
        updates > 20 && (bytes as f64) <= allowed * 1.1,
        "{updates} updates, {bytes} bytes of {allowed}"
    );
}

#[test]
fn hosts_when_they_do_not_fit_then_they_take_turns() {
    let mut a = gossip(0, 1);
    let outs: Vec<(HostTag, u16)> = (0..200).map(|h| ([h, 1, 0], 3)).collect();
    let mut told = std::collections::BTreeSet::new();
    for now in (0..4000).step_by(50) {
        if let Some(d) = a.next_update(ms(now), &outs, now) {
            told.extend(
                LoadUpdate::decode(d.bytes())
                    .expect("readable")
                    .in_flight
                    .into_iter()
                    .map(|h| h.0),
            );
        }
    }
    assert_eq!(told.len(), 200);
}

#[test]
fn host_tag_when_computed_in_any_process_then_it_is_the_same() {
    assert_eq!(
        (host_tag("s-5be2a07c"), host_tag("s-5be2a07d")),
        ([62, 105, 205], [240, 63, 184])
    );
}
