//! A member that starts on a full disk after its clock was set back, and doesn't know the number of its life before:
//! what hosts tell it reaches everybody all the same.

use control_plane::host_registry::{Heartbeat, HostRequest};
use control_plane::incarnation::next_incarnation;
use control_plane::registry_publisher::RegistryPublisher;
use protocol::{Addr, Subscriber};
use replication::{answer, Mirror, SharedMirror};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1000);
const ID: u64 = 7;

fn beat(host: &str, call_seq: u64) -> HostRequest {
    let (service, addr, zone) = (
        "s".into(),
        Addr {
            ip: 1,
            port: 80 + host.len() as u16,
        },
        "z".into(),
    );
    let beat = Heartbeat {
        service,
        addr,
        zone,
        capacity: 1,
        draining: false,
        cold_left_ms: 0,
        call_seq,
    };
    HostRequest::Heartbeat {
        host: host.into(),
        beat,
    }
}

fn member(id: u64) -> Arc<SharedMirror> {
    SharedMirror::new(Mirror::new(id, BEAT))
}

/// `to` pulls from `from` once, as it would over a connection.
async fn pull(to: &SharedMirror, from: &SharedMirror) {
    let pull = to.update(|mirror, _| mirror.pull(&Subscriber::default(), 0));
    let news = answer(from, &pull).await;
    to.update(|mirror, now| mirror.apply(now, &news));
}

/// One member, a peer of it, and an agent that pulls from the peer only.
struct ControlPlaneInfo {
    member: Arc<SharedMirror>,
    feed: Arc<RegistryPublisher>,
    peer: Arc<SharedMirror>,
    agent: Arc<SharedMirror>,
}

impl ControlPlaneInfo {
    fn new(life: u64) -> Self {
        let member = member_with_feed(life);
        Self {
            member: member.0,
            feed: member.1,
            peer: self::member(8),
            agent: self::member(0),
        }
    }

    fn restart(&mut self, life: u64) {
        (self.member, self.feed) = member_with_feed(life);
    }

    /// Everybody pulls a few times, while the hosts call.
    async fn run(&self, hosts: &[&str], beats: u64, call_seq: &mut u64) {
        for _ in 0..beats {
            *call_seq += 1;
            for host in hosts {
                self.feed.call(&beat(host, *call_seq));
            }
            for _ in 0..4 {
                self.feed.tick();
                pull(&self.peer, &self.member).await;
                pull(&self.member, &self.peer).await;
                pull(&self.agent, &self.peer).await;
                self.peer.update(replication::Mirror::tick);
                self.agent.update(replication::Mirror::tick);
                tokio::time::advance(BEAT / 4).await;
            }
        }
    }

    fn shows(&self, host: &str) -> [bool; 3] {
        [&self.member, &self.peer, &self.agent]
            .map(|mirror| mirror.snapshot().hosts.contains_key(host))
    }
}

fn member_with_feed(life: u64) -> (Arc<SharedMirror>, Arc<RegistryPublisher>) {
    let shared = member(ID);
    let feed = RegistryPublisher::new(ID, life, BEAT, shared.clone());
    (shared, feed)
}

/// The clock of the second start is earlier; neither number was kept.
#[rstest]
#[case::set_back_a_little(next_incarnation(0, 9_000, 1), next_incarnation(0, 8_000, 2))]
#[case::set_back_below_what_was_kept(next_incarnation(0, 9_000, 2), next_incarnation(0, 9_000, 1))]
#[case::set_back_by_years(next_incarnation(0, 1 << 41, 1), next_incarnation(0, 1, 2))]
#[tokio::test(start_paused = true)]
async fn hosts_told_after_the_clock_went_back_reach_everybody(
    #[case] first: u64,
    #[case] second: u64,
) {
    let mut fleet = ControlPlaneInfo::new(first);
    let mut calls = 0;
    fleet.run(&["a", "bb"], 3, &mut calls).await;
    assert_eq!(fleet.shows("a"), [true; 3]);
    fleet.restart(second);
    // One stays, one ended meanwhile, one is new; this member alone is called.
    fleet.run(&["a", "ccc"], 10, &mut calls).await;
    assert_eq!(
        (fleet.shows("a"), fleet.shows("ccc")),
        ([true; 3], [true; 3])
    );
    assert_eq!(fleet.shows("bb"), [false; 3]);
    fleet.feed.call(&HostRequest::Depart { host: "a".into() });
    fleet.run(&["ccc"], 1, &mut calls).await;
    assert_eq!(
        fleet.agent.snapshot().hosts["a"].phase,
        replication::phase::GONE
    );
}

/// Again and again, each time further back.
#[tokio::test(start_paused = true)]
async fn a_third_start_further_back_is_followed_too() {
    let mut fleet = ControlPlaneInfo::new(next_incarnation(0, 9_000, 1));
    let mut calls = 0;
    for (n, host) in ["a", "bb", "ccc", "dddd"].iter().enumerate() {
        fleet.run(&[host], 6, &mut calls).await;
        assert_eq!(fleet.shows(host), [true; 3], "life {n}");
        fleet.restart(next_incarnation(0, 8_000 - 1_000 * n as u64, n as u64 + 2));
    }
}

/// The whole core starts anew, and only an agent that doesn't pull from this member remembers its life before.
#[tokio::test(start_paused = true)]
async fn an_agent_that_remembers_is_enough() {
    let mut fleet = ControlPlaneInfo::new(next_incarnation(0, 9_000, 1));
    let mut calls = 0;
    fleet.run(&["a"], 2, &mut calls).await;
    fleet.peer = member(8);
    fleet.restart(next_incarnation(0, 3_000, 2));
    fleet.run(&["bb"], 10, &mut calls).await;
    assert_eq!(fleet.shows("bb"), [true; 3]);
    assert_eq!(fleet.shows("a"), [false; 3]);
}

/// A start like any other costs nobody anything: its number is higher, and stays what it is.
#[tokio::test(start_paused = true)]
async fn a_usual_start_keeps_its_number() {
    let mut fleet = ControlPlaneInfo::new(next_incarnation(0, 9_000, 1));
    let mut calls = 0;
    fleet.run(&["a"], 2, &mut calls).await;
    let life = next_incarnation(0, 10_000, 2);
    fleet.restart(life);
    fleet.run(&["a"], 6, &mut calls).await;
    let marks = fleet.agent.update(|mirror, _| mirror.vector());
    let newest = marks
        .iter()
        .filter(|mark| mark.member_id == ID)
        .map(|mark| mark.incarnation)
        .max();
    assert_eq!(newest, Some(life));
}
