//! Large changes and takeovers with large states over slow connections and on slow disks: three members, connections
//! with a given bytes_per_second, each channel in order, and disks, all in simulated time.

use configuration::{FaultBudget, ResultCode};
use control_plane::member::{Input, Member, MemberConfig, Output};
use control_plane::runtime::peer_connections::{Channel, MAX_QUEUED_BYTES};
use protocol::{Command, MemberInfo, Message};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

const LEASE_DURATION: Duration = Duration::from_millis(1000);
const NETWORK_DELAY: Duration = Duration::from_millis(2);
const SYNC_TIME: Duration = Duration::from_millis(2);
/// A disk whose writes take longer than so is no longer relied on.
const DISK_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Bytes of one channel that are on their way in the network, ahead of what the other channel sends.
const MAX_BYTES_IN_FLIGHT: f64 = 65536.0;
const FAST_BYTES_PER_SECOND: f64 = 125e6;

enum Event {
    Message { from: u64, to: u64, frame: Vec<u8> },
    Wrote { to: u64, ticket: u64 },
    Wake { to: u64 },
}

struct SimulatedCluster {
    now: Duration,
    bytes_per_second: f64,
    /// How long a write takes.
    sync: Duration,
    /// A member whose writes take longer than a disk may.
    stalled: Option<u64>,
    /// Nothing that is sent arrives.
    is_partitioned: bool,
    members: HashMap<u64, Member>,
    events: HashMap<u64, Event>,
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    count: u64,
    /// When a channel of a link is free again.
    links: HashMap<(u64, u64, Channel), Duration>,
    answers: HashMap<u64, ResultCode>,
    /// Members whose pre-votes never arrive.
    pre_votes_lost: Vec<u64>,
}

fn member_info(id: u64) -> MemberInfo {
    let addr = protocol::Addr {
        ip: id as u32,
        port: 1,
    };
    MemberInfo {
        id,
        name: format!("core-{id}"),
        addr,
        zone: format!("z{id}"),
        ..MemberInfo::default()
    }
}

impl SimulatedCluster {
    fn new(seed: u64) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            bytes_per_second: FAST_BYTES_PER_SECOND,
            sync: SYNC_TIME,
            stalled: None,
            is_partitioned: false,
            members: HashMap::new(),
            events: HashMap::new(),
            order: BinaryHeap::new(),
            count: 0,
            links: HashMap::new(),
            answers: HashMap::new(),
            pre_votes_lost: vec![],
        };
        for id in 1..=3 {
            let config = MemberConfig {
                local_member: member_info(id),
                bootstrap_voters: Some((1..=3).map(member_info).collect()),
                fault_budget: FaultBudget {
                    machine_losses: 1,
                    zones: 0,
                    region_losses: 0,
                },
                lease_duration: LEASE_DURATION,
                request_timeout: Duration::from_millis(3500),
                disk_stall_timeout: DISK_STALL_TIMEOUT,
                watch_history: Duration::from_secs(20),
            };
            let member = Member::new(config, &[], Duration::ZERO, seed * 31 + id);
            cluster.members.insert(id, member);
        }
        for id in 1..=3 {
            (1..=3).filter(|other| *other != id).for_each(|other| {
                cluster.input(
                    id,
                    Input::PeerReachable {
                        member: member_info(other),
                    },
                );
            });
        }
        cluster
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.order.push(Reverse((at, self.count)));
    }

    fn input(&mut self, to: u64, input: Input) {
        let Some(member) = self.members.get_mut(&to) else {
            return;
        };
        let mut out = Vec::new();
        member.step(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to: other, message } => self.send(to, other.id, &message),
                Output::Write { ticket, .. } => {
                    let takes = if self.stalled == Some(to) {
                        4 * DISK_STALL_TIMEOUT
                    } else {
                        self.sync
                    };
                    self.at(self.now + takes, Event::Wrote { to, ticket });
                }
                Output::Answer { ticket, code, .. } => {
                    self.answers.insert(ticket, code);
                }
                Output::Wake { at } => self.at(at, Event::Wake { to }),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: u64, to: u64, message: &Message) {
        if self.is_partitioned {
            return;
        }
        if self.pre_votes_lost.contains(&from) && matches!(message, Message::PreVote { .. }) {
            return;
        }
        let frame = protocol::encode(message);
        let channel = Channel::for_message(message, frame.len());
        let free = self.channel_free_at(from, to, channel);
        let queued = (free - self.now).as_secs_f64() * self.bytes_per_second;
        if queued > 0.0 && queued as usize + frame.len() > MAX_QUEUED_BYTES {
            return;
        }
        let free = free + Duration::from_secs_f64(frame.len() as f64 / self.bytes_per_second);
        self.links.insert((from, to, channel), free);
        let ahead = match channel {
            Channel::Control if self.channel_free_at(from, to, Channel::Data) > self.now => {
                MAX_BYTES_IN_FLIGHT / self.bytes_per_second
            }
            _ => 0.0,
        };
        let at = free + Duration::from_secs_f64(ahead) + NETWORK_DELAY;
        self.at(at, Event::Message { from, to, frame });
    }

    fn channel_free_at(&self, from: u64, to: u64, channel: Channel) -> Duration {
        self.links
            .get(&(from, to, channel))
            .copied()
            .unwrap_or_default()
            .max(self.now)
    }

    /// Runs until `done`, for `most` at most; how long it took.
    fn run_until(
        &mut self,
        time_limit: Duration,
        done: impl Fn(&SimulatedCluster) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while let Some(Reverse((at, number))) = self.order.pop() {
            if at > start + time_limit {
                return None;
            }
            self.now = self.now.max(at);
            match self.events.remove(&number) {
                Some(Event::Message { from, to, frame }) => {
                    // What the dead had sent may still come; what is sent to them is lost.
                    let (message, _) = protocol::decode(&frame).unwrap().unwrap();
                    self.input(
                        to,
                        Input::Message {
                            from: member_info(from),
                            message,
                        },
                    );
                }
                Some(Event::Wrote { to, ticket }) => self.input(
                    to,
                    Input::WriteCompleted {
                        ticket,
                        result: Ok(()),
                    },
                ),
                Some(Event::Wake { to }) => self.input(to, Input::Tick),
                None => {}
            }
            if done(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    fn acting_primary(&self) -> Option<u64> {
        self.members
            .iter()
            .find(|m| m.1.is_acting_primary())
            .map(|m| *m.0)
    }

    /// Lets what is under way come to its end; who acts then, and in which view.
    fn run_until_primary_has_backup(&mut self) -> (u64, u64) {
        self.run_until(Duration::from_secs(5), |_| false);
        let primary = self.acting_primary().unwrap();
        (primary, self.members[&primary].membership().unwrap().epoch)
    }

    /// Hands a command to the member that acts, and waits for its answer.
    fn run_command(&mut self, ticket: u64, command: &Command) -> Option<ResultCode> {
        self.run_until(Duration::from_secs(10), |w| w.acting_primary().is_some())?;
        let primary = self.acting_primary()?;
        self.input(
            primary,
            Input::Command {
                ticket,
                command: command.clone(),
            },
        );
        self.run_until(Duration::from_secs(10), |w| w.answers.contains_key(&ticket))?;
        self.answers.get(&ticket).copied()
    }
}

/// A configuration of about so many bytes.
fn configure(base: u64, bytes: usize) -> Command {
    let note = "x".repeat(1000);
    let route = |n: usize| {
        format!(
            r#"{{"name":"r{n}","hostname":"h{n}","path_prefix":"/","route_class":"pure","deadline_ms":1,"service":"s","note":"{note}"}}"#
        )
    };
    let routes: Vec<String> = (0..bytes / route(10_000).len()).map(route).collect();
    let text = format!(
        r#"{{"version":{},"routes":[{}],"services":[{{"name":"s"}}]}}"#,
        base + 1,
        routes.join(",")
    );
    Command::Configure {
        base,
        amend: false,
        body: text.into_bytes(),
    }
}

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// The one that holds the ledger doesn't get to stand: a witness does, and fetches the ledger first.
#[rstest]
#[case::usual(300 * KIB, FAST_BYTES_PER_SECOND, 4)]
#[case::between_regions(300 * KIB, 2e6, 4)]
#[case::two_mib_in_two_seconds(2 * MIB, 1e6, 25)]
#[case::longest_body_in_four_seconds(4 * MIB - 10 * KIB, 1.1e6, 45)]
fn witness_when_the_state_is_long_fetches_it(
    #[case] bytes: usize,
    #[case] bytes_per_second: f64,
    #[case] most_s: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, bytes)),
        Some(ResultCode::Ok)
    );
    let lost = cluster.acting_primary().unwrap();
    let replicas = cluster.members[&lost]
        .membership()
        .unwrap()
        .replicas
        .clone();
    cluster.bytes_per_second = bytes_per_second;
    cluster.members.remove(&lost);
    cluster.pre_votes_lost = replicas;
    let took = cluster.run_until(Duration::from_secs(120), |w| w.acting_primary().is_some());
    let took = took.expect("somebody acts in the end");
    println!("{bytes} bytes at {bytes_per_second} bytes/s, seed {seed}: {took:?}");
    assert!(
        !cluster
            .pre_votes_lost
            .contains(&cluster.acting_primary().unwrap()),
        "a witness acts"
    );
    assert!(took <= Duration::from_secs(most_s), "{took:?}");
    cluster.bytes_per_second = FAST_BYTES_PER_SECOND;
    assert_eq!(
        cluster.run_command(2, &configure(0, bytes)),
        Some(ResultCode::Ok)
    );
    assert_eq!(
        cluster.run_command(3, &configure(0, bytes / 2)),
        Some(ResultCode::OtherBase)
    );
}

/// The primary is lost for good. Whoever is left needs the ledger on both disks: by a link that carries so many
/// bytes a second that takes longer than a candidate usually has.
#[rstest]
#[case::small(10 * KIB, FAST_BYTES_PER_SECOND, 3)]
#[case::usual(300 * KIB, FAST_BYTES_PER_SECOND, 3)]
#[case::longest_body(4 * MIB - 10 * KIB, FAST_BYTES_PER_SECOND, 3)]
#[case::between_regions(300 * KIB, 2e6, 3)]
#[case::two_mib_in_two_seconds(2 * MIB, 1e6, 8)]
#[case::longest_body_in_four_seconds(4 * MIB - 10 * KIB, 1.1e6, 12)]
fn takeover_when_the_state_is_long_ends(
    #[case] bytes: usize,
    #[case] bytes_per_second: f64,
    #[case] most_s: u64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, bytes)),
        Some(ResultCode::Ok)
    );
    let lost = cluster.acting_primary().unwrap();
    cluster.bytes_per_second = bytes_per_second;
    cluster.members.remove(&lost);
    let took = cluster.run_until(Duration::from_secs(120), |w| w.acting_primary().is_some());
    let took = took.expect("somebody acts in the end");
    println!("{bytes} bytes at {bytes_per_second} bytes/s, seed {seed}: {took:?}");
    assert!(took <= Duration::from_secs(most_s), "{took:?}");
    // What was acknowledged is still in force: the same order again is known, another on its base is refused.
    cluster.bytes_per_second = FAST_BYTES_PER_SECOND;
    assert_eq!(
        cluster.run_command(2, &configure(0, bytes)),
        Some(ResultCode::Ok)
    );
    assert_eq!(
        cluster.run_command(3, &configure(0, bytes / 2)),
        Some(ResultCode::OtherBase)
    );
    assert_eq!(
        cluster.run_command(4, &configure(1, bytes)),
        Some(ResultCode::Ok)
    );
}

/// Both that are left have to write before either may act. Where a write takes longer than a candidate usually waits,
/// and less than what makes a disk one that isn't relied on, one of them acts all the same.
#[rstest]
#[case::usual(Duration::from_millis(20), 3)]
#[case::slow(Duration::from_millis(450), 6)]
#[case::longer_than_half_a_lease(Duration::from_millis(510), 12)]
#[case::almost_stalled(DISK_STALL_TIMEOUT - Duration::from_millis(10), 12)]
fn takeover_when_disks_are_slow_ends(
    #[case] sync: Duration,
    #[case] most_s: u64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    let lost = cluster.acting_primary().unwrap();
    cluster.sync = sync;
    cluster.members.remove(&lost);
    let took = cluster.run_until(Duration::from_secs(120), |w| w.acting_primary().is_some());
    let took = took.expect("somebody acts in the end");
    println!("writes take {sync:?}, seed {seed}: {took:?}");
    assert!(took <= Duration::from_secs(most_s), "{took:?}");
    cluster.sync = SYNC_TIME;
    assert_eq!(
        cluster.run_command(2, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    assert_eq!(
        cluster.run_command(3, &configure(1, 10 * KIB)),
        Some(ResultCode::Ok)
    );
}

/// The last that a primary heard of its replica before it lost its lease was that its disk stalls. Nobody tells it
/// when the disk takes writes again but the replica's promise, which it has just written.
#[rstest]
fn replica_when_its_disk_stalled_counts_again_after_its_promise(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    let primary = cluster.acting_primary().unwrap();
    let replicas = cluster.members[&primary]
        .membership()
        .unwrap()
        .replicas
        .clone();
    let replica = *replicas.iter().find(|id| **id != primary).unwrap();
    cluster.members.retain(|id, _| replicas.contains(id));
    cluster.stalled = Some(replica);
    let command = configure(1, 10 * KIB);
    cluster.input(
        primary,
        Input::Command {
            ticket: 2,
            command: command.clone(),
        },
    );
    // It is told so with the replica's next answers to its renewals; then its lease ends.
    let told = cluster.now + DISK_STALL_TIMEOUT + LEASE_DURATION;
    cluster
        .run_until(Duration::from_secs(20), |w| w.now > told)
        .unwrap();
    cluster.is_partitioned = true;
    cluster
        .run_until(Duration::from_secs(20), |w| w.acting_primary().is_none())
        .expect("the lease ends");
    (cluster.is_partitioned, cluster.stalled) = (false, None);
    let took = cluster.run_until(Duration::from_secs(20), |w| w.acting_primary().is_some());
    println!("seed {seed}: {took:?} until somebody acts again");
    took.expect("somebody acts again");
    // Taken or not the first time, it is taken now.
    assert_eq!(cluster.run_command(3, &command), Some(ResultCode::Ok));
    assert_eq!(
        cluster.run_command(4, &configure(2, 10 * KIB)),
        Some(ResultCode::Ok)
    );
}

/// A change of the longest body keeps the lease, however long its bytes are on their way, and is acknowledged. The
/// order is sent again where it has got no clear answer.
#[rstest]
fn lease_when_a_change_is_long_is_kept(
    #[values(300 * KIB, 4 * MIB - 10 * KIB)] bytes: usize,
    #[values(1.0, 2.0, 6.0)] megabytes_a_second: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    let (primary, epoch) = cluster.run_until_primary_has_backup();
    cluster.bytes_per_second = megabytes_a_second * 1e6;
    for base in 1..4 {
        let start = cluster.now;
        let command = configure(base, bytes);
        let answer =
            (1..4).find_map(
                |again| match cluster.run_command(10 * base + again, &command) {
                    Some(ResultCode::Unclear) => None,
                    answer => answer,
                },
            );
        assert_eq!(answer, Some(ResultCode::Ok), "change {base}");
        assert_eq!(cluster.acting_primary(), Some(primary));
        assert_eq!(
            cluster.members[&primary].membership().unwrap().epoch,
            epoch,
            "no view was needed"
        );
        let needed = Duration::from_secs_f64(bytes as f64 / cluster.bytes_per_second);
        let took = cluster.now - start;
        println!("{bytes} bytes at {megabytes_a_second} MB/s, seed {seed}: {took:?}");
        // The order itself waits for the next event, a renewal at the latest.
        assert!(
            took <= needed + LEASE_DURATION / 4 + Duration::from_millis(50),
            "{took:?}, {needed:?} needed"
        );
    }
}

/// Orders come while long changes are under way: each is acknowledged in its turn, by the same primary.
#[rstest]
fn changes_when_queued_behind_a_long_one_are_acknowledged_in_order(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    let (primary, epoch) = cluster.run_until_primary_has_backup();
    cluster.bytes_per_second = 2e6;
    cluster.input(
        primary,
        Input::Command {
            ticket: 2,
            command: configure(1, 4 * MIB - 10 * KIB),
        },
    );
    for ticket in 3..20 {
        let command = Command::Drain {
            host: format!("host-{ticket}"),
        };
        cluster.input(primary, Input::Command { ticket, command });
    }
    let most = Duration::from_millis(2300);
    let took = cluster.run_until(most, |w| {
        (2..20).all(|ticket| w.answers.contains_key(&ticket))
    });
    assert!(took.is_some(), "all are answered: {:?}", cluster.answers);
    assert!(
        (2..20).all(|ticket| cluster.answers[&ticket] == ResultCode::Ok),
        "{:?}",
        cluster.answers
    );
    assert_eq!(cluster.members[&primary].membership().unwrap().epoch, epoch);
}
