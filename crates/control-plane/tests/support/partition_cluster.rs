//! A cluster of members on simulated time whose links can be blocked in one or both directions and whose members can be
//! paused. Messages on a blocked link are delayed until it is unblocked. Each member has its own clock, which may drift.

use super::{member_config, ms, LEASE};
use configuration::{FaultBudget, ResultCode};
use control_plane::member::{Input, Member, Output};
use protocol::{Addr, Command, MemberInfo};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Longest time to an answer of a request (`ack_ms` of the deployments).
pub const ACK_TIMEOUT: Duration = Duration::from_millis(4000);
/// How long a partition lasts in most tests.
pub const PARTITION_DURATION: Duration = Duration::from_secs(20);

/// Time between two reports of a link that its peer is reachable.
const LINK_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of initial voters of a cluster that is spread over zones and regions.
const SEED_COUNT: usize = 3;
/// Divisor for clock drifts, which are given in parts per million.
const PARTS_PER_MILLION: i64 = 1_000_000;

/// Identity and addresses of member `n` in the place `region/zone`.
fn member_info(n: usize, place: &str) -> MemberInfo {
    let addr = Addr {
        ip: n as u32 + 1,
        port: 7660,
    };
    let (region, zone) = place.split_once('/').expect("region/zone");
    MemberInfo {
        id: n as u64 + 1,
        name: format!("core-{n}"),
        addr,
        control_addr: addr,
        zone: zone.into(),
        region: region.into(),
    }
}

/// A configuration of this version, as JSON.
pub fn configuration(version: u64) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h","path_prefix":"/","route_class":"pure",
        "deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    )
    .into_bytes()
}

/// A command that replaces the configuration of version `base` by one of version `version`.
pub fn replace_command(base: u64, version: u64) -> Command {
    Command::Configure {
        base,
        amend: false,
        body: configuration(version),
    }
}

pub const READ_COMMAND: Command = Command::Read { reserved: 0 };

/// An input that a member hasn't handled yet.
#[derive(Debug)]
pub struct PendingInput {
    /// Simulated time at which the input may be handled.
    due_at: Duration,
    /// The sender of a message; `None` for inputs from the member's own disk and callers.
    from: Option<usize>,
    input: Input,
}

pub struct Node {
    pub member: Member,
    pub records: Vec<Vec<u8>>,
    pub inbox: VecDeque<PendingInput>,
    /// Next wake-up, by the member's own clock.
    pub wake_at: Duration,
    pub is_paused: bool,
    pub published_version: u64,
    /// How much faster than true time the member's clock runs, in parts per million.
    drift_ppm: i64,
    /// True time since which the clock has had this drift.
    drift_since: Duration,
    /// Time that the clock showed at `drift_since`.
    clock_at_drift_start: Duration,
}

/// A cluster of members on simulated time. A message takes 1 ms, a write 2 ms.
pub struct PartitionCluster {
    pub now: Duration,
    pub nodes: Vec<Node>,
    fault_budget: FaultBudget,
    pub member_infos: Vec<MemberInfo>,
    initial_voters: usize,
    /// Sender and receiver of each blocked link.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Time, result code and body of each answer, by ticket.
    pub answers: BTreeMap<u64, (Duration, ResultCode, Vec<u8>)>,
    pub tickets_issued: u64,
}

impl PartitionCluster {
    /// Starts a cluster and runs it until it has a primary. All members are initial voters, each in its own zone.
    pub fn with_members(members: usize, machine_losses: u32) -> Self {
        let places: Vec<String> = (0..members).map(|n| format!("r/zone-{n}")).collect();
        let places: Vec<&str> = places.iter().map(String::as_str).collect();
        let budget = FaultBudget {
            machine_losses,
            ..FaultBudget::default()
        };
        Self::start(budget, &places, members)
    }

    /// Starts a cluster in these places (`region/zone`) and runs it until its membership is settled. The first
    /// [`SEED_COUNT`] members are the initial voters; others have joined if the budget requires more voters.
    pub fn in_places(budget: FaultBudget, places: &[&str]) -> Self {
        let mut cluster = Self::start(budget, places, SEED_COUNT);
        cluster.run(ms(5000));
        cluster
    }

    fn start(budget: FaultBudget, places: &[&str], initial_voters: usize) -> Self {
        let mut cluster = Self {
            now: ms(0),
            nodes: vec![],
            fault_budget: budget,
            member_infos: places
                .iter()
                .enumerate()
                .map(|(n, place)| member_info(n, place))
                .collect(),
            initial_voters,
            blocked_links: [].into(),
            answers: [].into(),
            tickets_issued: 0,
        };
        for n in 0..places.len() {
            let node = cluster.create_node(n, vec![]);
            cluster.nodes.push(node);
        }
        cluster.run(ms(3000));
        cluster
    }

    fn create_node(&self, n: usize, records: Vec<Vec<u8>>) -> Node {
        let voters = self.member_infos[..self.initial_voters].to_vec();
        let is_initial_voter = n < self.initial_voters && records.is_empty();
        let config = member_config(
            self.member_infos[n].clone(),
            Some(voters).filter(|_| is_initial_voter),
            self.fault_budget,
        );
        let random = self.now.as_millis() as u64 * 16 + n as u64;
        Node {
            member: Member::new(config, &records, ms(0), random),
            records,
            inbox: VecDeque::new(),
            wake_at: ms(0),
            is_paused: false,
            published_version: 0,
            drift_ppm: 0,
            drift_since: self.now,
            clock_at_drift_start: ms(0),
        }
    }

    /// The time by a member's own clock, which starts at 0 with its process.
    pub fn clock(&self, n: usize) -> Duration {
        let node = &self.nodes[n];
        let elapsed_us = (self.now - node.drift_since).as_micros() as i64;
        node.clock_at_drift_start
            + Duration::from_micros(
                (elapsed_us + elapsed_us * node.drift_ppm / PARTS_PER_MILLION) as u64,
            )
    }

    /// Sets by how many parts per million a member's clock runs faster than true time from now on.
    pub fn set_drift(&mut self, n: usize, drift_ppm: i64) {
        let (now, clock_at_drift_start) = (self.now, self.clock(n));
        let node = &mut self.nodes[n];
        (node.drift_ppm, node.drift_since, node.clock_at_drift_start) =
            (drift_ppm, now, clock_at_drift_start);
    }

    /// Kills a member's process and restarts it from its stored records.
    pub fn restart(&mut self, n: usize) {
        let records = std::mem::take(&mut self.nodes[n].records);
        let drift_ppm = self.nodes[n].drift_ppm;
        self.nodes[n] = Node {
            drift_ppm,
            ..self.create_node(n, records)
        };
    }

    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Blocks all links between the members in `side` and the others, in both directions.
    pub fn partition(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in side.iter().copied().filter(|_| !side.contains(&a)) {
                self.blocked_links.extend([(a, b), (b, a)]);
            }
        }
    }

    /// Blocks the links from the members in `side` to the others if `outbound`, otherwise the links in the other
    /// direction.
    pub fn partition_one_way(&mut self, side: &[usize], outbound: bool) {
        for other in self.others(side) {
            for member in side.iter().copied() {
                if outbound {
                    self.block_link(member, other);
                } else {
                    self.block_link(other, member);
                }
            }
        }
    }

    /// Members in a zone, or in any zone of a region.
    pub fn members_in(&self, place: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| {
                self.member_infos[*n].zone == place || self.member_infos[*n].region == place
            })
            .collect()
    }

    /// Unblocks all links.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// The acting primary; the one with the latest epoch if a deposed one hasn't noticed yet.
    pub fn primary(&self) -> usize {
        let acting = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_acting_primary() && !self.nodes[*n].is_paused);
        acting
            .max_by_key(|n| self.nodes[*n].member.promised_epoch())
            .expect("a running member is the acting primary")
    }

    /// The replicas of the primary's membership.
    pub fn replicas(&self) -> Vec<usize> {
        let membership = self.nodes[self.primary()].member.membership().unwrap();
        (0..self.nodes.len())
            .filter(|n| membership.replicas.contains(&self.member_infos[*n].id))
            .collect()
    }

    /// The voters of the primary's membership.
    pub fn voters(&self) -> Vec<usize> {
        let membership = self.nodes[self.primary()].member.membership().unwrap();
        (0..self.nodes.len())
            .filter(|n| membership.voter(self.member_infos[*n].id).is_some())
            .collect()
    }

    /// All members that aren't in `excluded`.
    pub fn others(&self, excluded: &[usize]) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| !excluded.contains(n))
            .collect()
    }

    /// Time since a member's latest proven contact with a primary; `None` before the first one of its incarnation.
    pub fn contact_age(&self, n: usize) -> Option<Duration> {
        let clock = self.clock(n);
        self.nodes[n]
            .member
            .primary_contact(clock)
            .map(|contact| clock - contact.at)
    }

    /// Queues a caller's command at a member and returns its ticket.
    pub fn send_command(&mut self, n: usize, command: Command) -> u64 {
        self.tickets_issued += 1;
        let input = Input::Command {
            ticket: self.tickets_issued,
            command,
        };
        self.nodes[n].inbox.push_back(PendingInput {
            due_at: self.now,
            from: None,
            input,
        });
        self.tickets_issued
    }

    /// Sends a command and runs until it is answered. Returns the time that it took, the result code and the body; panics
    /// after [`ACK_TIMEOUT`].
    pub fn request(&mut self, n: usize, command: Command) -> (Duration, ResultCode, Vec<u8>) {
        let (sent_at, ticket) = (self.now, self.send_command(n, command));
        while self.now < sent_at + ACK_TIMEOUT {
            self.run(ms(1));
            if let Some((at, code, body)) = self.answers.get(&ticket) {
                return (*at - sent_at, *code, body.clone());
            }
        }
        panic!("no answer from {n} in {ACK_TIMEOUT:?}");
    }

    /// Sends a command to the members `to` in turn until one gives a definite answer, as an operator does. Returns the
    /// time that it took and the result code; panics after two [`ACK_TIMEOUT`]s.
    pub fn request_until_definite(
        &mut self,
        to: &[usize],
        command: Command,
    ) -> (Duration, ResultCode) {
        let started_at = self.now;
        for n in to.iter().cycle() {
            let (_, code, _) = self.request(*n, command.clone());
            if code.status() < 500 {
                return (self.now - started_at, code);
            }
            assert!(
                self.now < started_at + 2 * ACK_TIMEOUT,
                "no definite answer"
            );
        }
        unreachable!()
    }

    /// Runs for a span of simulated time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            for n in 0..self.nodes.len() {
                while self.handle_next_input(n) {}
            }
            if self.now >= end {
                return;
            }
            self.now += ms(1);
            if (self.now.as_millis() as u64).is_multiple_of(LINK_REPORT_INTERVAL.as_millis() as u64)
            {
                self.report_links();
            }
        }
    }

    /// Reports the running peers to both ends of each link that isn't blocked.
    fn report_links(&mut self) {
        let count = self.nodes.len();
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
            let is_link_up = a != b
                && !self.blocked_links.contains(&(a, b))
                && !self.blocked_links.contains(&(b, a));
            if is_link_up && !self.nodes[a].is_paused {
                let input = Input::PeerReachable {
                    member: self.member_infos[a].clone(),
                };
                self.nodes[b].inbox.push_back(PendingInput {
                    due_at: self.now + ms(1),
                    from: Some(a),
                    input,
                });
            }
        }
    }

    /// Handles a member's next input; returns false if none is due.
    pub fn handle_next_input(&mut self, n: usize) -> bool {
        let (now, clock, blocked_links, node) = (
            self.now,
            self.clock(n),
            &self.blocked_links,
            &mut self.nodes[n],
        );
        if node.is_paused {
            return false;
        }
        let is_due = |pending: &PendingInput| {
            pending.due_at <= now
                && pending
                    .from
                    .is_none_or(|from| !blocked_links.contains(&(from, n)))
        };
        let input = match node
            .inbox
            .iter()
            .position(is_due)
            .and_then(|i| node.inbox.remove(i))
        {
            Some(pending) => pending.input,
            None if node.wake_at <= clock => Input::Tick,
            None => return false,
        };
        node.wake_at = clock + LEASE;
        let mut outputs = Vec::new();
        node.member.step(clock, input, &mut outputs);
        for output in outputs {
            self.handle_output(n, output);
        }
        self.assert_at_most_one_primary();
        true
    }

    /// Asserts that at most one member is the acting primary by its own clock, paused members included.
    fn assert_at_most_one_primary(&self) {
        let acting: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_acting_primary_at(self.clock(*n)))
            .collect();
        assert!(acting.len() <= 1, "{acting:?} act at {:?}", self.now);
    }

    fn handle_output(&mut self, n: usize, output: Output) {
        let now = self.now;
        match output {
            Output::Send { to, message } => {
                let to = to.addr.ip as usize - 1;
                let input = Input::Message {
                    from: self.member_infos[n].clone(),
                    message,
                };
                self.nodes[to].inbox.push_back(PendingInput {
                    due_at: now + ms(1),
                    from: Some(n),
                    input,
                });
            }
            Output::Write {
                ticket,
                records,
                rewrite,
            } => {
                let node = &mut self.nodes[n];
                if rewrite {
                    node.records.clear();
                }
                node.records.extend(records);
                let input = Input::WriteCompleted {
                    ticket,
                    result: Ok(()),
                };
                node.inbox.push_back(PendingInput {
                    due_at: now + ms(2),
                    from: None,
                    input,
                });
            }
            Output::Answer { ticket, code, body } => {
                assert!(
                    self.answers.insert(ticket, (now, code, body)).is_none(),
                    "a command is answered only once"
                );
            }
            Output::PublishState { configuration, .. }
            | Output::RestoreState { configuration, .. } => {
                self.nodes[n].published_version = configuration.version;
            }
            Output::Wake { at } => self.nodes[n].wake_at = at,
            Output::DepartureComplete => {}
        }
    }

    /// Ends a member's pause; inputs that arrived meanwhile are still queued.
    pub fn resume(&mut self, n: usize) {
        self.nodes[n].is_paused = false;
    }
}
