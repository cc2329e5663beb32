//! A member that starts with a full disk after its clock was set back doesn't know its previous incarnation. The
//! heartbeats that it receives must still reach all mirrors.

use control_plane::host_registry::{Heartbeat, HostRequest};
use control_plane::incarnation::next_incarnation;
use control_plane::registry_publisher::RegistryPublisher;
use protocol::{Addr, Subscriber};
use replication::{answer, Mirror, SharedMirror};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
const MEMBER_ID: u64 = 7;

fn heartbeat(host: &str, call_seq: u64) -> HostRequest {
    let (service, addr, zone) = (
        "s".into(),
        Addr {
            ip: 1,
            port: 80 + host.len() as u16,
        },
        "z".into(),
    );
    let heartbeat = Heartbeat {
        service,
        addr,
        zone,
        capacity: 1,
        draining: false,
        slow_start_remaining_ms: 0,
        call_seq,
    };
    HostRequest::Heartbeat {
        host: host.into(),
        heartbeat,
    }
}

fn shared_mirror(id: u64) -> Arc<SharedMirror> {
    SharedMirror::new(Mirror::new(id, HEARTBEAT_INTERVAL))
}

/// Lets `to` pull from `from` once, as it would over a connection.
async fn pull(to: &SharedMirror, from: &SharedMirror) {
    let pull = to.update(|mirror, _| mirror.pull(&Subscriber::default(), 0));
    let update = answer(from, &pull).await;
    to.update(|mirror, now| mirror.apply(now, &update));
}

/// A member, its peer, and an agent that pulls from the peer only.
struct TestProcesses {
    member: Arc<SharedMirror>,
    publisher: Arc<RegistryPublisher>,
    peer: Arc<SharedMirror>,
    agent: Arc<SharedMirror>,
}

impl TestProcesses {
    fn new(incarnation: u64) -> Self {
        let member = member_with_publisher(incarnation);
        Self {
            member: member.0,
            publisher: member.1,
            peer: shared_mirror(8),
            agent: shared_mirror(0),
        }
    }

    fn restart(&mut self, incarnation: u64) {
        (self.member, self.publisher) = member_with_publisher(incarnation);
    }

    /// Lets the hosts send heartbeats, and all mirrors pull a few times after each.
    async fn run(&self, hosts: &[&str], heartbeats: u64, call_seq: &mut u64) {
        for _ in 0..heartbeats {
            *call_seq += 1;
            for host in hosts {
                self.publisher.handle(&heartbeat(host, *call_seq));
            }
            for _ in 0..4 {
                self.publisher.tick();
                pull(&self.peer, &self.member).await;
                pull(&self.member, &self.peer).await;
                pull(&self.agent, &self.peer).await;
                self.peer.update(replication::Mirror::tick);
                self.agent.update(replication::Mirror::tick);
                tokio::time::advance(HEARTBEAT_INTERVAL / 4).await;
            }
        }
    }

    /// Whether the member, the peer and the agent list a host.
    fn lists_host(&self, host: &str) -> [bool; 3] {
        [&self.member, &self.peer, &self.agent]
            .map(|mirror| mirror.snapshot().hosts.contains_key(host))
    }
}

fn member_with_publisher(incarnation: u64) -> (Arc<SharedMirror>, Arc<RegistryPublisher>) {
    let shared = shared_mirror(MEMBER_ID);
    let publisher =
        RegistryPublisher::new(MEMBER_ID, incarnation, HEARTBEAT_INTERVAL, shared.clone());
    (shared, publisher)
}

/// The clock of the second start is earlier, and the number of the first incarnation wasn't stored.
#[rstest]
#[case::set_back_a_little(next_incarnation(0, 9_000, 1), next_incarnation(0, 8_000, 2))]
#[case::set_back_below_the_stored_number(
    next_incarnation(0, 9_000, 2),
    next_incarnation(0, 9_000, 1)
)]
#[case::set_back_by_years(next_incarnation(0, 1 << 41, 1), next_incarnation(0, 1, 2))]
#[tokio::test(start_paused = true)]
async fn hosts_when_the_clock_went_back_reach_everybody(#[case] first: u64, #[case] second: u64) {
    let mut processes = TestProcesses::new(first);
    let mut call_seq = 0;
    processes.run(&["a", "bb"], 3, &mut call_seq).await;
    assert_eq!(processes.lists_host("a"), [true; 3]);
    processes.restart(second);
    // One host stays, one has ended, one is new. Only this member receives their heartbeats.
    processes.run(&["a", "ccc"], 10, &mut call_seq).await;
    assert_eq!(
        (processes.lists_host("a"), processes.lists_host("ccc")),
        ([true; 3], [true; 3])
    );
    assert_eq!(processes.lists_host("bb"), [false; 3]);
    processes
        .publisher
        .handle(&HostRequest::Depart { host: "a".into() });
    processes.run(&["ccc"], 1, &mut call_seq).await;
    assert_eq!(
        processes.agent.snapshot().hosts["a"].phase,
        replication::phase::GONE
    );
}

/// The clock is set back several times, further each time.
#[tokio::test(start_paused = true)]
async fn hosts_when_the_clock_goes_back_again_and_again_reach_everybody() {
    let mut processes = TestProcesses::new(next_incarnation(0, 9_000, 1));
    let mut call_seq = 0;
    for (n, host) in ["a", "bb", "ccc", "dddd"].iter().enumerate() {
        processes.run(&[host], 6, &mut call_seq).await;
        assert_eq!(processes.lists_host(host), [true; 3], "incarnation {n}");
        processes.restart(next_incarnation(0, 8_000 - 1_000 * n as u64, n as u64 + 2));
    }
}

/// All members restart without their state. Only an agent that doesn't pull from this member remembers its previous
/// incarnation.
#[tokio::test(start_paused = true)]
async fn hosts_when_only_an_agent_remembers_reach_everybody() {
    let mut processes = TestProcesses::new(next_incarnation(0, 9_000, 1));
    let mut call_seq = 0;
    processes.run(&["a"], 2, &mut call_seq).await;
    processes.peer = shared_mirror(8);
    processes.restart(next_incarnation(0, 3_000, 2));
    processes.run(&["bb"], 10, &mut call_seq).await;
    assert_eq!(processes.lists_host("bb"), [true; 3]);
    assert_eq!(processes.lists_host("a"), [false; 3]);
}

/// After a regular restart the incarnation number is already higher, and the member keeps it.
#[tokio::test(start_paused = true)]
async fn incarnation_when_the_clock_went_on_stays() {
    let mut processes = TestProcesses::new(next_incarnation(0, 9_000, 1));
    let mut call_seq = 0;
    processes.run(&["a"], 2, &mut call_seq).await;
    let incarnation = next_incarnation(0, 10_000, 2);
    processes.restart(incarnation);
    processes.run(&["a"], 6, &mut call_seq).await;
    let version_vector = processes.agent.update(|mirror, _| mirror.version_vector());
    let newest = version_vector
        .iter()
        .filter(|entry| entry.member_id == MEMBER_ID)
        .map(|entry| entry.incarnation)
        .max();
    assert_eq!(newest, Some(incarnation));
}
