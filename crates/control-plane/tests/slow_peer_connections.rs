//! Large changes and takeovers with large states, over slow connections and on slow disks. Simulates three members,
//! their disks, and connections of a given bandwidth that keep the order within each channel.

use configuration::{FaultBudget, ResultCode};
use control_plane::member::{Input, Member, MemberConfig, Output};
use control_plane::runtime::peer_connections::{Channel, MAX_QUEUED_BYTES};
use protocol::{Command, MemberInfo, Message};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

const LEASE_DURATION: Duration = Duration::from_millis(1000);
/// Delay of each message in addition to its transfer time.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Duration of a write to a healthy disk.
const DEFAULT_WRITE_TIME: Duration = Duration::from_millis(2);
/// Duration of a write above which its disk counts as stalled.
const DISK_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Bytes of the data channel that are in flight in the network ahead of a message of the control channel.
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
    /// Duration of a write.
    write_time: Duration,
    /// A member whose disk is stalled.
    stalled_member: Option<u64>,
    /// Whether all sent messages are lost.
    drops_messages: bool,
    members: HashMap<u64, Member>,
    /// Scheduled events by id.
    events: HashMap<u64, Event>,
    /// Times and ids of the scheduled events.
    event_queue: BinaryHeap<Reverse<(Duration, u64)>>,
    last_event_id: u64,
    /// Time at which a channel from one member to another has sent all that is queued.
    channel_free_times: HashMap<(u64, u64, Channel), Duration>,
    /// Results of commands, by ticket.
    results: HashMap<u64, ResultCode>,
    /// Members whose pre-votes are lost.
    lost_pre_vote_senders: Vec<u64>,
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
            write_time: DEFAULT_WRITE_TIME,
            stalled_member: None,
            drops_messages: false,
            members: HashMap::new(),
            events: HashMap::new(),
            event_queue: BinaryHeap::new(),
            last_event_id: 0,
            channel_free_times: HashMap::new(),
            results: HashMap::new(),
            lost_pre_vote_senders: vec![],
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

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.event_queue.push(Reverse((at, self.last_event_id)));
    }

    fn input(&mut self, to: u64, input: Input) {
        let Some(member) = self.members.get_mut(&to) else {
            return;
        };
        let mut outputs = Vec::new();
        member.step(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to: other, message } => self.send(to, other.id, &message),
                Output::Write { ticket, .. } => {
                    let duration = if self.stalled_member == Some(to) {
                        4 * DISK_STALL_TIMEOUT
                    } else {
                        self.write_time
                    };
                    self.schedule(self.now + duration, Event::Wrote { to, ticket });
                }
                Output::Answer { ticket, code, .. } => {
                    self.results.insert(ticket, code);
                }
                Output::Wake { at } => self.schedule(at, Event::Wake { to }),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: u64, to: u64, message: &Message) {
        if self.drops_messages {
            return;
        }
        if self.lost_pre_vote_senders.contains(&from) && matches!(message, Message::PreVote { .. })
        {
            return;
        }
        let frame = protocol::encode(message);
        let channel = Channel::for_message(message, frame.len());
        let free_at = self.channel_free_at(from, to, channel);
        let queued = (free_at - self.now).as_secs_f64() * self.bytes_per_second;
        if queued > 0.0 && queued as usize + frame.len() > MAX_QUEUED_BYTES {
            return;
        }
        let free_at = free_at + Duration::from_secs_f64(frame.len() as f64 / self.bytes_per_second);
        self.channel_free_times.insert((from, to, channel), free_at);
        let delay_s = match channel {
            Channel::Control if self.channel_free_at(from, to, Channel::Data) > self.now => {
                MAX_BYTES_IN_FLIGHT / self.bytes_per_second
            }
            _ => 0.0,
        };
        let at = free_at + Duration::from_secs_f64(delay_s) + NETWORK_DELAY;
        self.schedule(at, Event::Message { from, to, frame });
    }

    fn channel_free_at(&self, from: u64, to: u64, channel: Channel) -> Duration {
        self.channel_free_times
            .get(&(from, to, channel))
            .copied()
            .unwrap_or_default()
            .max(self.now)
    }

    /// Runs until `done` returns true. Returns the simulated time that this took, or `None` if it exceeds `time_limit`.
    fn run_until(
        &mut self,
        time_limit: Duration,
        done: impl Fn(&SimulatedCluster) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while let Some(Reverse((at, number))) = self.event_queue.pop() {
            if at > start + time_limit {
                return None;
            }
            self.now = self.now.max(at);
            match self.events.remove(&number) {
                Some(Event::Message { from, to, frame }) => {
                    // Messages that a removed member had sent may still arrive; messages to it are lost.
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

    /// Runs for 5 s, so that all work in progress completes. Returns the acting primary and the epoch of its membership
    /// configuration.
    fn run_until_settled(&mut self) -> (u64, u64) {
        self.run_until(Duration::from_secs(5), |_| false);
        let primary = self.acting_primary().unwrap();
        (primary, self.members[&primary].membership().unwrap().epoch)
    }

    /// Sends a command to the acting primary and returns its result; `None` if there is no primary or no result in
    /// time.
    fn run_command(&mut self, ticket: u64, command: &Command) -> Option<ResultCode> {
        self.run_until(Duration::from_secs(10), |cluster| {
            cluster.acting_primary().is_some()
        })?;
        let primary = self.acting_primary()?;
        self.input(
            primary,
            Input::Command {
                ticket,
                command: command.clone(),
            },
        );
        self.run_until(Duration::from_secs(10), |cluster| {
            cluster.results.contains_key(&ticket)
        })?;
        self.results.get(&ticket).copied()
    }
}

/// Returns a command that replaces version `base` by a configuration of about `bytes` bytes.
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

/// The primary is lost, and the remaining replica's pre-votes are lost too. The witness must become primary, after it
/// has fetched the state from the replica.
#[rstest]
#[case::usual(300 * KIB, FAST_BYTES_PER_SECOND, 4)]
#[case::between_regions(300 * KIB, 2e6, 4)]
#[case::two_mib_in_two_seconds(2 * MIB, 1e6, 25)]
#[case::largest_body_in_four_seconds(4 * MIB - 10 * KIB, 1.1e6, 45)]
fn witness_fetches_a_large_state_and_becomes_primary(
    #[case] bytes: usize,
    #[case] bytes_per_second: f64,
    #[case] limit_s: u64,
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
    cluster.lost_pre_vote_senders = replicas;
    let elapsed = cluster.run_until(Duration::from_secs(120), |cluster| {
        cluster.acting_primary().is_some()
    });
    let elapsed = elapsed.expect("a member becomes primary");
    println!("{bytes} bytes at {bytes_per_second} bytes/s, seed {seed}: {elapsed:?}");
    assert!(
        !cluster
            .lost_pre_vote_senders
            .contains(&cluster.acting_primary().unwrap()),
        "the witness becomes primary"
    );
    assert!(elapsed <= Duration::from_secs(limit_s), "{elapsed:?}");
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

/// The primary is lost for good, and both remaining members need the state on their disks. Over a slow connection the
/// transfer takes longer than the usual time limit of a candidate; the takeover must complete nevertheless.
#[rstest]
#[case::small(10 * KIB, FAST_BYTES_PER_SECOND, 3)]
#[case::usual(300 * KIB, FAST_BYTES_PER_SECOND, 3)]
#[case::largest_body(4 * MIB - 10 * KIB, FAST_BYTES_PER_SECOND, 3)]
#[case::between_regions(300 * KIB, 2e6, 3)]
#[case::two_mib_in_two_seconds(2 * MIB, 1e6, 8)]
#[case::largest_body_in_four_seconds(4 * MIB - 10 * KIB, 1.1e6, 12)]
fn takeover_with_a_large_state_completes(
    #[case] bytes: usize,
    #[case] bytes_per_second: f64,
    #[case] limit_s: u64,
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
    let elapsed = cluster.run_until(Duration::from_secs(120), |cluster| {
        cluster.acting_primary().is_some()
    });
    let elapsed = elapsed.expect("a member becomes primary");
    println!("{bytes} bytes at {bytes_per_second} bytes/s, seed {seed}: {elapsed:?}");
    assert!(elapsed <= Duration::from_secs(limit_s), "{elapsed:?}");
    // The acknowledged configuration is still in force: its repetition succeeds, and another one with the same base is
    // rejected.
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

/// Both remaining members have to write before either may become primary. A write takes longer than a candidate usually
/// waits, but too short for a stalled disk; the takeover must complete nevertheless.
#[rstest]
#[case::usual(Duration::from_millis(20), 3)]
#[case::slow(Duration::from_millis(450), 6)]
#[case::longer_than_half_a_lease(Duration::from_millis(510), 12)]
#[case::almost_stalled(DISK_STALL_TIMEOUT - Duration::from_millis(10), 12)]
fn takeover_on_slow_disks_completes(
    #[case] write_time: Duration,
    #[case] limit_s: u64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    let lost = cluster.acting_primary().unwrap();
    cluster.write_time = write_time;
    cluster.members.remove(&lost);
    let elapsed = cluster.run_until(Duration::from_secs(120), |cluster| {
        cluster.acting_primary().is_some()
    });
    let elapsed = elapsed.expect("a member becomes primary");
    println!("writes take {write_time:?}, seed {seed}: {elapsed:?}");
    assert!(elapsed <= Duration::from_secs(limit_s), "{elapsed:?}");
    cluster.write_time = DEFAULT_WRITE_TIME;
    assert_eq!(
        cluster.run_command(2, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    assert_eq!(
        cluster.run_command(3, &configure(1, 10 * KIB)),
        Some(ResultCode::Ok)
    );
}

/// The replica reports a stalled disk shortly before the primary loses its lease. The primary learns that the disk
/// accepts writes again only from the replica's promise, which the replica has just written, and must count the replica
/// again.
#[rstest]
fn replica_with_a_recovered_disk_counts_again_after_its_promise(
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
    cluster.stalled_member = Some(replica);
    let command = configure(1, 10 * KIB);
    cluster.input(
        primary,
        Input::Command {
            ticket: 2,
            command: command.clone(),
        },
    );
    // The primary learns of the stall from the replica's next replies to its lease renewals. Then its lease expires.
    let reported_at = cluster.now + DISK_STALL_TIMEOUT + LEASE_DURATION;
    cluster
        .run_until(Duration::from_secs(20), |cluster| cluster.now > reported_at)
        .unwrap();
    cluster.drops_messages = true;
    cluster
        .run_until(Duration::from_secs(20), |cluster| {
            cluster.acting_primary().is_none()
        })
        .expect("the lease expires");
    (cluster.drops_messages, cluster.stalled_member) = (false, None);
    let elapsed = cluster.run_until(Duration::from_secs(20), |cluster| {
        cluster.acting_primary().is_some()
    });
    println!("seed {seed}: {elapsed:?} until a member is primary again");
    elapsed.expect("a member becomes primary again");
    // The command succeeds now, whether or not it took effect the first time.
    assert_eq!(cluster.run_command(3, &command), Some(ResultCode::Ok));
    assert_eq!(
        cluster.run_command(4, &configure(2, 10 * KIB)),
        Some(ResultCode::Ok)
    );
}

/// The transfer of the largest change takes longer than a lease. The primary must keep its lease meanwhile and
/// acknowledge the change. The command is repeated after an unclear result.
#[rstest]
fn lease_is_kept_during_the_transfer_of_a_large_change(
    #[values(300 * KIB, 4 * MIB - 10 * KIB)] bytes: usize,
    #[values(1.0, 2.0, 6.0)] megabytes_per_second: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    let (primary, epoch) = cluster.run_until_settled();
    cluster.bytes_per_second = megabytes_per_second * 1e6;
    for base in 1..4 {
        let start = cluster.now;
        let command = configure(base, bytes);
        let result =
            (1..4).find_map(
                |attempt| match cluster.run_command(10 * base + attempt, &command) {
                    Some(ResultCode::Unclear) => None,
                    result => result,
                },
            );
        assert_eq!(result, Some(ResultCode::Ok), "change {base}");
        assert_eq!(cluster.acting_primary(), Some(primary));
        assert_eq!(
            cluster.members[&primary].membership().unwrap().epoch,
            epoch,
            "the membership configuration is unchanged"
        );
        let transfer_time = Duration::from_secs_f64(bytes as f64 / cluster.bytes_per_second);
        let elapsed = cluster.now - start;
        println!("{bytes} bytes at {megabytes_per_second} MB/s, seed {seed}: {elapsed:?}");
        // The command waits for the next event, which is a lease renewal at the latest.
        assert!(
            elapsed <= transfer_time + LEASE_DURATION / 4 + Duration::from_millis(50),
            "took {elapsed:?}, transfer time {transfer_time:?}"
        );
    }
}

/// Commands that arrive during the transfer of a large change are acknowledged in order, by the same primary.
#[rstest]
fn changes_queued_behind_a_large_one_are_acknowledged_in_order(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = SimulatedCluster::new(seed);
    assert_eq!(
        cluster.run_command(1, &configure(0, 10 * KIB)),
        Some(ResultCode::Ok)
    );
    let (primary, epoch) = cluster.run_until_settled();
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
    let time_limit = Duration::from_millis(2300);
    let elapsed = cluster.run_until(time_limit, |cluster| {
        (2..20).all(|ticket| cluster.results.contains_key(&ticket))
    });
    assert!(
        elapsed.is_some(),
        "all commands have a result: {:?}",
        cluster.results
    );
    assert!(
        (2..20).all(|ticket| cluster.results[&ticket] == ResultCode::Ok),
        "{:?}",
        cluster.results
    );
    assert_eq!(cluster.members[&primary].membership().unwrap().epoch, epoch);
}
