//! Puller: which members it pulls from, and when.

use protocol::Addr;
use replication::{
    Action, Puller, MEMBERS_PER_AGENT, PULL_WAIT_MS, STANDBY_POLL_INTERVAL, UPDATE_PAUSE,
};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn addr(n: u32) -> Addr {
    Addr { ip: n, port: 7660 }
}

/// Puller with its links as a client would run them.
struct PullerHarness {
    puller: Puller,
    open: BTreeMap<u64, Addr>,
    pulls: Vec<u64>,
    connects: Vec<Addr>,
    wait_ms_by_link: BTreeMap<u64, u32>,
}

impl PullerHarness {
    fn new(member_count: usize, seeds: &[u32]) -> Self {
        let mut puller = Puller::new("edge-1", member_count, Some(addr(99)));
        puller.set_seeds(&seeds.iter().map(|n| addr(*n)).collect::<Vec<_>>());
        Self {
            puller,
            open: BTreeMap::new(),
            pulls: vec![],
            connects: vec![],
            wait_ms_by_link: BTreeMap::new(),
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Connect { link, addr } => {
                    assert!(
                        self.open.insert(link, addr).is_none(),
                        "a link number is used only once"
                    );
                    self.connects.push(addr);
                }
                Action::Pull { link, wait_ms } => {
                    self.wait_ms_by_link.insert(link, wait_ms);
                    assert!(self.open.contains_key(&link));
                    assert!(!self.pulls.contains(&link), "a link has one pull at a time");
                    self.pulls.push(link);
                }
                Action::Close { link } => {
                    assert!(self.open.remove(&link).is_some());
                    self.pulls.retain(|pull| *pull != link);
                }
            }
        }
    }

    fn tick(&mut self, now: u64) {
        let actions = self.puller.tick(ms(now));
        self.act(actions);
    }

    fn open_link(&self, member: u32) -> u64 {
        self.find_link(member).expect("the member has an open link")
    }

    fn find_link(&self, member: u32) -> Option<u64> {
        self.open
            .iter()
            .find(|(_, link_addr)| **link_addr == addr(member))
            .map(|(link, _)| *link)
    }

    fn connected(&mut self, now: u64, member: u32) {
        let actions = self.puller.connected(ms(now), self.open_link(member));
        self.act(actions);
    }

    fn failed(&mut self, now: u64, member: u32) {
        let link = self.open_link(member);
        self.open.remove(&link);
        self.pulls.retain(|pull| *pull != link);
        let actions = self.puller.failed(ms(now), link);
        self.act(actions);
    }

    fn answered(&mut self, now: u64, member: u32, age_ms: u32, applied: bool) {
        let link = self.open_link(member);
        assert!(self.pulls.contains(&link));
        self.pulls.retain(|pull| *pull != link);
        let actions = self
            .puller
            .answered(ms(now), link, member.into(), age_ms, applied);
        self.act(actions);
    }

    fn open_members(&self) -> BTreeSet<u32> {
        self.open.values().map(|addr| addr.ip).collect()
    }

    /// Establishes the first links at time 0 and returns their members.
    fn connect_first_links(&mut self) -> Vec<u32> {
        self.tick(0);
        let members: Vec<u32> = self.open_members().into_iter().collect();
        for member in &members {
            self.connected(0, *member);
        }
        members
    }
}

#[rstest]
#[case::fewer(&[1, 2], 2)]
#[case::three(&[1, 2, 3], 3)]
#[case::more(&[1, 2, 3, 4, 5], 3)]
fn first_tick_connects_to_three_members_or_all(#[case] seeds: &[u32], #[case] links: usize) {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, seeds);
    harness.connect_first_links();
    assert_eq!(
        (harness.open.len(), harness.pulls.len()),
        (links, links),
        "one pull is outstanding at each member"
    );
}

#[test]
fn added_member_replaces_at_most_one() {
    let pick = |name: &str, members: std::ops::Range<u32>| {
        let mut puller = Puller::new(name, MEMBERS_PER_AGENT, None);
        puller.set_members(members.map(addr));
        let picked = puller.tick(ms(0)).into_iter().map(|action| match action {
            Action::Connect { addr, .. } => addr.ip,
            other => panic!("{other:?}"),
        });
        picked.collect::<BTreeSet<u32>>()
    };
    assert_eq!(pick("a", 1..10), pick("a", 1..10));
    let used: BTreeSet<u32> = (0..40)
        .flat_map(|n| pick(&format!("edge-{n}"), 1..10))
        .collect();
    assert_eq!(used.len(), 9, "each member is used by some puller");
    let (before, after) = (pick("a", 1..10), pick("a", 1..11));
    assert!(
        before.intersection(&after).count() >= 2,
        "one more member replaces at most one"
    );
}

#[test]
fn own_address_among_the_seeds_is_skipped() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[99, 1]);
    harness.connect_first_links();
    assert_eq!(harness.open_members(), [1].into());
}

#[test]
fn answer_leads_to_the_next_pull() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1]);
    harness.connect_first_links();
    harness.answered(1000, 1, 0, false);
    assert_eq!(
        harness.pulls.len(),
        1,
        "after a wait that ended, the next pull is sent at once"
    );
    harness.answered(1010, 1, 0, true);
    assert_eq!(
        harness.pulls.len(),
        1,
        "after an update, the next pull is sent at once"
    );
    harness.answered(1020, 1, 0, false);
    assert_eq!(
        harness.pulls.len(),
        0,
        "after an early answer without anything new, the puller pauses"
    );
    assert_eq!(harness.puller.next_tick(), Some(ms(1070)));
    harness.tick(1070);
    assert_eq!(harness.pulls.len(), 1);
}

#[test]
fn overdue_answer_closes_the_link_and_adds_another() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1, 2, 3, 4]);
    let first = harness.connect_first_links();
    let silent = first[0];
    for n in &first[1..] {
        harness.answered(1000, *n, 0, false);
    }
    harness.tick(1699);
    assert_eq!(harness.open.len(), 3);
    harness.tick(1700);
    assert_eq!(harness.find_link(silent), None);
    assert_eq!(harness.open.len(), 3, "the next candidate is added");
    let next = *harness
        .open_members()
        .difference(&first.iter().copied().collect())
        .next()
        .unwrap();
    harness.connected(1701, next);
    // The silent member is tried again. Once it answers, it is back in its place and the link to the other member is
    // closed.
    harness.tick(1800);
    assert_eq!(harness.open.len(), 4);
    harness.connected(1801, silent);
    assert_eq!(
        harness.open.len(),
        4,
        "the connection alone is not an answer"
    );
    harness.answered(1802, silent, 0, true);
    assert_eq!(harness.open_members(), first.iter().copied().collect());
}

#[test]
fn hanging_connection_attempt_is_closed() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1]);
    harness.tick(0);
    assert_eq!(harness.puller.next_tick(), Some(ms(300)));
    harness.tick(300);
    assert!(harness.open.is_empty());
    harness.tick(400);
    assert_eq!(harness.open.len(), 1);
}

#[test]
fn backoff_grows_to_one_second() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1]);
    harness.tick(0);
    let mut now = 0;
    for pause in [100, 200, 400, 800, 1000, 1000] {
        harness.failed(now, 1);
        assert_eq!(harness.puller.next_tick(), Some(ms(now + pause)));
        harness.tick(now + pause - 1);
        assert!(harness.open.is_empty());
        now += pause;
        harness.tick(now);
        assert_eq!(harness.open.len(), 1);
    }
    harness.connected(now, 1);
    harness.answered(now, 1, 0, true);
    harness.failed(now, 1);
    assert_eq!(
        harness.puller.next_tick(),
        Some(ms(now + 100)),
        "an answer resets the backoff"
    );
}

#[test]
fn another_member_is_added_while_one_is_stale() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1, 2, 3, 4, 5]);
    let first = harness.connect_first_links();
    for (now, age_ms, links) in [(500, 1500, 3), (1000, 1501, 4), (1500, 10, 3)] {
        harness.answered(now, first[0], age_ms, true);
        assert_eq!(harness.open.len(), links, "at an age of {age_ms} ms");
        assert!(
            harness.find_link(first[0]).is_some(),
            "the stale member is kept"
        );
    }
}

#[test]
fn known_members_are_used_when_all_seeds_fail() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1, 2]);
    harness.connect_first_links();
    harness
        .puller
        .set_members([addr(1), addr(2), addr(3), addr(4), addr(99)]);
    harness.tick(10);
    for n in [1, 2] {
        harness.failed(20, n);
    }
    assert_eq!(harness.open_members(), [3, 4].into());
    // An empty list is ignored, so the known members stay.
    harness.puller.set_members([]);
    harness.tick(30);
    assert_eq!(harness.open_members(), [3, 4].into());
}

#[test]
fn new_seeds_are_pulled_from() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1, 2]);
    harness.connect_first_links();
    harness.puller.set_seeds(&[addr(2), addr(7)]);
    harness.tick(10);
    assert_eq!(harness.open_members(), [2, 7].into());
    assert_eq!(
        harness
            .connects
            .iter()
            .filter(|connected| **connected == addr(2))
            .count(),
        1,
        "the link to 2 stays"
    );
}

#[test]
fn seeds_only_puller_ignores_known_members() {
    let mut puller = Puller::new("edge-1", 1, None).seeds_only();
    puller.set_seeds(&[addr(5)]);
    puller.set_members([addr(1), addr(2)]);
    assert_eq!(
        puller.tick(ms(0)),
        [Action::Connect {
            link: 1,
            addr: addr(5)
        }]
    );
}

#[test]
fn event_of_a_closed_link_is_ignored() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1]);
    harness.connect_first_links();
    let old = harness.open_link(1);
    harness.tick(1700);
    assert!(harness.puller.connected(ms(1701), old).is_empty());
    assert!(harness.puller.failed(ms(1701), old).is_empty());
    assert!(harness
        .puller
        .answered(ms(1701), old, 1, 0, true)
        .is_empty());
    assert_eq!(harness.puller.answering_members().count(), 0);
}

/// Puller that prefers one member and whose three members have answered. The preferred member comes first in the list.
fn preferring_harness() -> (PullerHarness, Vec<u32>) {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1, 2, 3]);
    harness.puller =
        Puller::new("edge-1", MEMBERS_PER_AGENT, Some(addr(99))).preferring_one_member();
    harness.puller.set_seeds(&[addr(1), addr(2), addr(3)]);
    let mut order: Vec<u32> = harness.connect_first_links();
    let waits: Vec<u32> = harness.wait_ms_by_link.values().copied().collect();
    assert_eq!(
        waits, [PULL_WAIT_MS; 3],
        "pulls wait at all members until one is preferred"
    );
    // A member that answered before the first candidate may have been preferred until then.
    for _ in 0..2 {
        for n in order.clone() {
            if harness.pulls.contains(&harness.open_link(n)) {
                harness.answered(10, n, 0, true);
            }
        }
    }
    assert_eq!(harness.pulls.len(), 1);
    let preferred = *order
        .iter()
        .find(|n| harness.pulls.contains(&harness.open_link(**n)))
        .unwrap();
    order.sort_by_key(|n| *n != preferred);
    (harness, order)
}

#[test]
fn pull_waits_at_the_preferred_member_and_standbys_are_polled() {
    let (mut harness, order) = preferring_harness();
    let poll_at = 10 + STANDBY_POLL_INTERVAL.as_millis() as u64;
    harness.answered(100, order[0], 0, true);
    assert_eq!(
        harness.pulls,
        [harness.open_link(order[0])],
        "updates arrive only once"
    );
    harness.tick(poll_at - 1);
    assert_eq!(harness.pulls.len(), 1);
    harness.tick(poll_at);
    assert_eq!(harness.pulls.len(), 3);
    let waits: Vec<u32> = order
        .iter()
        .map(|n| harness.wait_ms_by_link[&harness.open_link(*n)])
        .collect();
    assert_eq!(
        waits,
        [PULL_WAIT_MS, 0, 0],
        "standbys are polled for what the preferred member has not sent"
    );
    harness.answered(poll_at + 1, order[1], 0, true);
    assert_eq!(
        harness.pulls.len(),
        2,
        "an update from a standby does not lead to another pull there"
    );
}

#[rstest]
#[case::stale(true)]
#[case::closed(false)]
fn another_member_is_preferred_when_one_is_stale_or_closed(#[case] is_stale: bool) {
    let (mut harness, order) = preferring_harness();
    if is_stale {
        harness.answered(100, order[0], 1501, true);
    } else {
        harness.failed(100, order[0]);
    }
    let waiting = |harness: &PullerHarness| -> Vec<u32> {
        let pulls = harness
            .pulls
            .iter()
            .filter(|link| harness.wait_ms_by_link[link] == PULL_WAIT_MS);
        pulls.map(|link| harness.open[link].ip).collect()
    };
    let next = waiting(&harness);
    assert_eq!(next.len(), 1);
    assert_ne!(next, [order[0]], "another member is preferred at once");
    // The member is back: it is polled, answers that it is in contact with a primary, and is preferred again.
    let back = 100 + STANDBY_POLL_INTERVAL.as_millis() as u64;
    harness.tick(back);
    if !is_stale {
        harness.connected(back, order[0]);
        assert_eq!(harness.wait_ms_by_link[&harness.open_link(order[0])], 0);
    }
    harness.answered(back + 1, order[0], 5, true);
    assert!(waiting(&harness).contains(&order[0]));
}

#[test]
fn standbys_bring_updates_while_the_preferred_member_is_frozen() {
    let (mut harness, order) = preferring_harness();
    // The preferred member answers no longer. The others are still polled at most one interval after their last answer.
    let mut now = 10;
    for _ in 0..2 {
        now += STANDBY_POLL_INTERVAL.as_millis() as u64;
        harness.tick(now);
        harness.answered(now, order[1], 0, true);
        harness.answered(now, order[2], 0, true);
    }
    harness.tick(1710);
    assert_eq!(harness.find_link(order[0]), None, "the link is given up");
    assert!(
        harness
            .pulls
            .iter()
            .any(|link| harness.wait_ms_by_link[link] == PULL_WAIT_MS),
        "another member is preferred"
    );
}

#[rstest]
#[case::few(7, 7)]
#[case::many(100, 100)]
#[case::max_pause(1000, UPDATE_PAUSE.max.as_millis() as u64)]
fn pause_after_an_update_grows_with_the_coordinators(
    #[case] coordinators: usize,
    #[case] pause: u64,
) {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1]);
    harness.puller.set_coordinators(coordinators);
    harness.connect_first_links();
    harness.answered(10, 1, 0, true);
    assert!(harness.pulls.is_empty());
    harness.tick(10 + pause - 1);
    assert!(harness.pulls.is_empty());
    harness.tick(10 + pause);
    assert_eq!(harness.pulls.len(), 1);
    harness.answered(10 + pause + 1000, 1, 0, false);
    assert_eq!(
        harness.pulls.len(),
        1,
        "after a wait that ended, the next pull is sent at once"
    );
}

#[test]
fn partial_answer_extends_the_timeout() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1]);
    harness.connect_first_links();
    let link = harness.open_link(1);
    for now in [1000, 1600, 2200] {
        harness.puller.partial_answer(ms(now), link);
        harness.tick(now + 600);
        assert!(harness.find_link(1).is_some(), "at {now}");
    }
    harness.tick(2899);
    assert!(harness.find_link(1).is_some());
    harness.tick(2900);
    assert!(harness.find_link(1).is_none(), "no more bytes arrived");
}

#[test]
fn pull_sent_at_is_known_while_the_pull_is_outstanding() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1]);
    harness.connect_first_links();
    let link = harness.open_link(1);
    assert_eq!(harness.puller.pull_sent_at(link), Some(ms(0)));
    harness.puller.partial_answer(ms(900), link);
    assert_eq!(
        harness.puller.pull_sent_at(link),
        Some(ms(0)),
        "a partial answer does not change it"
    );
    harness.answered(1000, 1, 0, false);
    assert_eq!(harness.puller.pull_sent_at(link), Some(ms(1000)));
    harness.tick(2700);
    assert_eq!(
        harness.puller.pull_sent_at(link),
        None,
        "the link is given up"
    );
}

#[test]
fn all_members_stale_is_false_if_one_is_fresh_or_silent() {
    let mut harness = PullerHarness::new(MEMBERS_PER_AGENT, &[1, 2]);
    assert!(
        !harness.puller.all_members_stale(),
        "no member was pulled from yet"
    );
    harness.connect_first_links();
    harness.answered(5, 1, u32::MAX, true);
    assert!(
        !harness.puller.all_members_stale(),
        "the other member has not answered"
    );
    harness.answered(6, 2, 20_000, true);
    assert!(harness.puller.all_members_stale());
    harness.puller.set_members([addr(1), addr(2), addr(3)]);
    harness.tick(7);
    assert!(
        !harness.puller.all_members_stale(),
        "one more member has become known"
    );
    harness.failed(8, 3);
    assert!(
        !harness.puller.all_members_stale(),
        "a member that is down may return with a newer state"
    );
    harness.answered(9, 1, 10, true);
    assert!(!harness.puller.all_members_stale());
}
