//! Coordinators that tell each other: the laws of what they believe, and what bad input costs.

use coordinator::peers::{
    tag, Gossip, Heard, HostTag, LoadUpdate, PeerLoads, Talk, UpdateError, MOST_BYTES,
};
use proptest::prelude::*;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn word() -> impl Strategy<Value = (u32, LoadUpdate)> {
    let host = (0u8..6, 0u16..50).prop_map(|(h, out)| ([h, 0, 0], out));
    let hosts = proptest::collection::btree_map(0u8..6, host, 0..6);
    (0u32..3, 0u64..3, 1u32..6, hosts).prop_map(|(from, life, seq, hosts)| {
        let mut hosts: Vec<(HostTag, u16)> = hosts.into_values().collect();
        hosts.sort();
        hosts.dedup_by_key(|h| h.0);
        (from, LoadUpdate { life, seq, hosts })
    })
}

/// One sender says one thing under one number: of words that share it the first drawn counts.
fn honest(words: Vec<(u32, LoadUpdate)>) -> Vec<(u32, LoadUpdate)> {
    let mut kept: Vec<(u32, LoadUpdate)> = Vec::new();
    for (from, w) in words {
        if !kept
            .iter()
            .any(|(f, k)| *f == from && (k.life, k.seq) == (w.life, w.seq))
        {
            kept.push((from, w));
        }
    }
    kept
}

fn heard<'a>(words: impl Iterator<Item = &'a (u32, LoadUpdate)>) -> PeerLoads {
    let mut view = PeerLoads::new(4);
    for (from, w) in words {
        view.take(ms(100), *from, w);
    }
    view
}

proptest! {
    #[test]
    fn order_and_copies_do_not_matter(words in proptest::collection::vec(word(), 0..12), turn in 0usize..12) {
        let words = honest(words);
        let turn = turn.min(words.len());
        let there = heard(words.iter());
        prop_assert_eq!(&heard(words.iter().rev()), &there);
        prop_assert_eq!(&heard(words[turn..].iter().chain(&words[..turn]).chain(&words)), &there);
    }

    #[test]
    fn older_never_beats_newer(words in proptest::collection::vec(word(), 1..12)) {
        let words = honest(words);
        let view = heard(words.iter());
        let latest = |from: u32| words.iter().filter(|w| w.0 == from).max_by_key(|w| (w.1.life, w.1.seq));
        if let (Some(a), Some(b), Some(c)) = (latest(0), latest(1), latest(2)) {
            // What each said of a host in its latest life, last.
            for host in 0u8..6 {
                let said = |from: u32, life: u64| {
                    let of = words.iter().filter(|w| w.0 == from && w.1.life == life);
                    let named = of.filter_map(|w| Some((w.1.seq, w.1.hosts.iter().find(|h| h.0 == [host, 0, 0])?.1)));
                    named.max_by_key(|n| n.0).map_or(0, |n| n.1)
                };
                let sum = said(0, a.1.life) + said(1, b.1.life) + said(2, c.1.life);
                let told = view.others(ms(100), [host, 0, 0]).expect("all three have spoken");
                prop_assert_eq!(told.out, f64::from(sum));
            }
        }
    }

    #[test]
    fn what_is_written_is_read_and_fits(hosts in proptest::collection::vec((any::<HostTag>(), any::<u16>()), 0..300), life: u64, seq: u32) {
        let word = LoadUpdate { life, seq, hosts };
        let (datagram, fit) = word.write();
        prop_assert!(datagram.bytes().len() <= MOST_BYTES && (fit == word.hosts.len() || fit >= 36));
        let read = LoadUpdate::read(datagram.bytes()).expect("its own");
        prop_assert_eq!(read.hosts, &word.hosts[..fit]);
    }

    #[test]
    fn garbled_bytes_are_no_word(bytes in proptest::collection::vec(any::<u8>(), 0..400), flip in 0usize..256, bit in 0u8..8) {
        // Sixteen bits of a checksum let one in 65,536 through: such a word is as good as a lie, and harmless.
        let _ = LoadUpdate::read(&bytes);
        let word = LoadUpdate { life: 7, seq: 9, hosts: vec![([1, 2, 3], 4), ([5, 6, 7], 8)] };
        let mut bytes = word.write().0.bytes().to_vec();
        let at = flip % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(LoadUpdate::read(&bytes).is_err());
    }
}

const HOST: HostTag = [1, 2, 3];

fn gossip(rank: u32, life: u64) -> Gossip {
    Gossip::new(
        Talk {
            routers: 3,
            rank,
            price: 0.0072,
        },
        life,
        u64::from(rank) + 5,
    )
}

fn say(from: &mut Gossip, now: u64, out: u16) -> Vec<u8> {
    from.turn(ms(now), &[(HOST, out)], now)
        .expect("time for a word")
        .bytes()
        .to_vec()
}

#[test]
fn a_sum_needs_all_fellows_and_ends_with_their_silence() {
    let (mut a, mut b, mut c) = (gossip(0, 1), gossip(1, 1), gossip(2, 1));
    assert_eq!(a.hear(ms(200), 1, &say(&mut b, 200, 4)), Heard::Taken);
    assert_eq!(a.others(ms(200), HOST), None, "one has not spoken");
    a.hear(ms(210), 2, &say(&mut c, 210, 3));
    assert_eq!(a.others(ms(220), HOST).map(|t| t.out), Some(7.0));
    assert_eq!(a.others(ms(2400), HOST), None, "both have been silent");
}

#[test]
fn a_restarted_fellow_is_believed_anew_and_its_past_life_no_more() {
    let (mut a, mut b, mut c) = (gossip(0, 1), gossip(1, 1), gossip(2, 1));
    let old = say(&mut b, 100, 9);
    let older = say(&mut b, 300, 8);
    a.hear(ms(300), 1, &older);
    a.hear(ms(300), 2, &say(&mut c, 300, 1));
    let mut again = gossip(1, 2);
    // Its first word names another host: what it had out before has ended with it.
    let first = again
        .turn(ms(400), &[([9, 9, 9], 2)], 10)
        .expect("time for a word");
    assert_eq!(a.hear(ms(400), 1, first.bytes()), Heard::Taken);
    assert_eq!(a.others(ms(400), HOST).map(|t| t.out), Some(1.0));
    assert_eq!(a.hear(ms(410), 1, &old), Heard::Old, "of a past life");
    assert_eq!(a.others(ms(410), HOST).map(|t| t.out), Some(1.0));
    // A clock set back: after a long silence an earlier life counts as a new one.
    assert_eq!(a.hear(ms(20_000), 1, &old), Heard::Taken);
}

#[test]
fn strangers_other_versions_and_wrong_lengths_are_told_apart() {
    let mut a = gossip(0, 1);
    let good = say(&mut gossip(1, 1), 200, 4);
    let other = [&[9u8], &good[1..]].concat();
    assert_eq!(
        a.hear(ms(200), 1, &other),
        Heard::UpdateError(UpdateError::Version)
    );
    assert_eq!(
        a.hear(ms(200), 1, &[]),
        Heard::UpdateError(UpdateError::Length)
    );
    assert_eq!(
        a.hear(ms(200), 1, &[1; 257]),
        Heard::UpdateError(UpdateError::Length)
    );
    assert_eq!(a.hear(ms(200), 1, &good), Heard::Taken);
    a.hear(ms(200), 2, &say(&mut gossip(2, 1), 200, 4));
    assert_eq!(
        a.hear(ms(200), 3, &good),
        Heard::Refused,
        "one more than there are"
    );
}

#[test]
fn talk_keeps_to_its_budget_and_its_pauses() {
    let mut a = gossip(0, 1);
    let (mut bytes, mut words, mut last) = (0usize, 0u32, 0u64);
    // 30 parts a second, something new at every tick, 100 hosts.
    for now in (0..20_000).step_by(10) {
        let outs: Vec<(HostTag, u16)> = (0..100)
            .map(|h| ([h, 0, 0], (now / 10 % 7) as u16))
            .collect();
        if let Some(d) = a.turn(ms(now), &outs, now * 30 / 1000) {
            assert!(
                d.bytes().len() <= MOST_BYTES && (words == 0 || now - last >= 25),
                "{now}"
            );
            (bytes, words, last) = (bytes + d.bytes().len() * 2, words + 1, now);
        }
    }
    // A thousandth of all worth at 0.0072 for a full message a part, and what was saved up at first.
    let allowed = 600.0 * 256.0 * 0.001 / 0.0072 + 2.0 * 4.0 * 256.0;
    assert!(
        words > 20 && (bytes as f64) <= allowed * 1.1,
        "{words} words, {bytes} bytes of {allowed}"
    );
}

#[test]
fn hosts_that_do_not_fit_take_turns() {
    let mut a = gossip(0, 1);
    let outs: Vec<(HostTag, u16)> = (0..200).map(|h| ([h, 1, 0], 3)).collect();
    let mut told = std::collections::BTreeSet::new();
    for now in (0..4000).step_by(50) {
        if let Some(d) = a.turn(ms(now), &outs, now) {
            told.extend(
                LoadUpdate::read(d.bytes())
                    .expect("readable")
                    .hosts
                    .into_iter()
                    .map(|h| h.0),
            );
        }
    }
    assert_eq!(told.len(), 200);
}

#[test]
fn names_have_the_same_tag_in_every_process() {
    assert_eq!(
        (tag("s-5be2a07c"), tag("s-5be2a07d")),
        ([62, 105, 205], [240, 63, 184])
    );
}
