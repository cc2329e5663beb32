//! A cluster of members on simulated time: a message takes 1 ms, a write 2 ms, and each link reports its peer every
//! second. The same calls give the same run. A test can stop at each step of a membership change.

use super::{budget, member_config, ms};
use configuration::{FaultBudget, ResultCode};
use control_plane::member::{Input, Member, Output};
use protocol::{Addr, Command, MemberInfo, MembershipConfig, Message};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const WRITE_DELAY: Duration = Duration::from_millis(2);
/// Time between two reports of a link that its peer is reachable.
const LINK_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Time after which a terminated process exits even if its departure isn't complete.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(5000);
/// Time from the completed departure of a terminated process to its exit.
const EXIT_DELAY: Duration = Duration::from_millis(50);

#[derive(Clone)]
enum Event {
    Wake,
    Deliver {
        from: MemberInfo,
        message: Box<Message>,
    },
    WriteCompleted {
        ticket: u64,
        records: Vec<Vec<u8>>,
        rewrite: bool,
    },
    ReportLinks,
    /// Exit of a terminated process.
    Exit,
}

impl Event {
    /// Whether the event belongs to a membership change; lease renewals, commands and timers recur without one.
    fn is_change_step(&self) -> bool {
        match self {
            Event::Deliver { message, .. } => !matches!(
                **message,
                Message::RenewLease { .. }
                    | Message::LeaseReply { .. }
                    | Message::ForwardCommand { .. }
                    | Message::CommandResult { .. }
            ),
            Event::WriteCompleted { .. } | Event::Exit => true,
            Event::Wake | Event::ReportLinks => false,
        }
    }
}

/// Predicate on sender, receiver and message; the message is lost if it returns true.
type MessageLoss = Rc<dyn Fn(usize, usize, &Message) -> bool>;

/// The membership as one machine knows it, with member ids.
#[derive(Debug)]
pub struct SeenMembership {
    pub id: u64,
    pub is_primary: bool,
    pub epoch: u64,
    pub replicas: Vec<u64>,
    pub voters: Vec<u64>,
    pub previous_voters: Vec<u64>,
}

#[derive(Clone)]
struct Node {
    member_info: MemberInfo,
    member: Option<Member>,
    /// Number of the process's incarnation; events of earlier incarnations are ignored.
    incarnation: u32,
    records: Vec<Vec<u8>>,
    is_isolated: bool,
    may_exit: bool,
    /// Whether the process was terminated: it exits once its departure is complete.
    is_terminated: bool,
    wake_at: Duration,
}

#[derive(Clone)]
pub struct Cluster {
    pub now: Duration,
    budget: FaultBudget,
    nodes: Vec<Node>,
    /// Machine, incarnation and event, by the time at which the event is due and its sequence number.
    queue: BTreeMap<(Duration, u64), (usize, u32, Event)>,
    events_scheduled: u64,
    tickets_issued: u64,
    answers: BTreeMap<u64, (ResultCode, Vec<u8>)>,
    /// Number of events of membership changes so far: the moments at which a test can inject a fault.
    pub change_steps: u64,
    /// Duration of a write at each machine whose disk is slow; [`WRITE_DELAY`] at the others.
    pub write_times: BTreeMap<usize, Duration>,
    /// Selects the messages that are lost.
    pub message_loss: Option<MessageLoss>,
    /// Largest and smallest number of voters in any membership that a member has accepted.
    pub voter_counts: (usize, usize),
}

impl Cluster {
    /// Starts one member in each of these zones (`region/zone`); the first three are the initial voters.
    pub fn start(budget: FaultBudget, zones: &[&str]) -> Self {
        let mut cluster = Self {
            now: ms(1000),
            budget,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            events_scheduled: 0,
            tickets_issued: 0,
            answers: BTreeMap::new(),
            change_steps: 0,
            write_times: BTreeMap::new(),
            message_loss: None,
            voter_counts: (0, usize::MAX),
        };
        for zone in zones {
            cluster.create_machine(zone);
        }
        (0..zones.len()).for_each(|n| cluster.start_process(n, n < 3));
        cluster
    }

    /// Starts three members in three zones with a budget of one lost machine, and has version 1 acknowledged.
    pub fn with_three_members() -> Self {
        let mut cluster = Self::start(budget(1, 0, 0), &["r/a", "r/b", "r/c"]);
        cluster.apply_configuration(0, 1);
        cluster
    }

    /// Creates a machine with an empty disk and no process.
    fn create_machine(&mut self, zone: &str) -> usize {
        let n = self.nodes.len();
        let addr = Addr {
            ip: 0x0a00_0001 + n as u32,
            port: 7660,
        };
        let (region, zone) = zone.split_once('/').unwrap();
        let member_info = MemberInfo {
            id: n as u64 + 1,
            name: format!("core-{n}"),
            addr,
            control_addr: Addr { port: 80, ..addr },
            zone: zone.into(),
            region: region.into(),
        };
        let (records, wake_at) = (vec![], ms(0));
        self.nodes.push(Node {
            member_info,
            member: None,
            incarnation: 0,
            records,
            is_isolated: false,
            may_exit: false,
            is_terminated: false,
            wake_at,
        });
        n
    }

    /// Starts a new machine with an empty disk.
    pub fn add_machine(&mut self, zone: &str) -> usize {
        let n = self.create_machine(zone);
        self.start_process(n, false);
        n
    }

    fn start_process(&mut self, n: usize, is_initial_voter: bool) {
        let voters = || {
            self.nodes
                .iter()
                .take(3)
                .map(|n| n.member_info.clone())
                .collect()
        };
        let config = member_config(
            self.nodes[n].member_info.clone(),
            is_initial_voter.then(voters),
            self.budget,
        );
        let random = 77 * (n as u64 + 1) + u64::from(self.nodes[n].incarnation);
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        node.wake_at = ms(0);
        (node.may_exit, node.is_terminated) = (false, false);
        node.member = Some(Member::new(config, &node.records, self.now, random));
        self.schedule(ms(0), n, Event::Wake);
        self.schedule(ms(1), n, Event::ReportLinks);
    }

    /// Restarts a stopped machine with the records on its disk.
    pub fn restart(&mut self, n: usize) {
        self.start_process(n, false);
    }

    /// Kills a machine's process. Its disk stays; unfinished writes are lost.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].member = None;
        self.nodes[n].incarnation += 1;
    }

    /// Restarts a machine with an empty disk and a new member id at the same address.
    pub fn wipe(&mut self, n: usize) {
        self.kill(n);
        self.nodes[n].records.clear();
        self.nodes[n].member_info.id += 1000;
        self.start_process(n, false);
    }

    /// The records on a machine's disk.
    pub fn records(&self, n: usize) -> &[Vec<u8>] {
        &self.nodes[n].records
    }

    /// Starts a stopped machine with another member id and other records on its disk.
    pub fn restart_as(&mut self, n: usize, id: u64, records: Vec<Vec<u8>>) {
        self.nodes[n].member_info.id = id;
        self.nodes[n].records = records;
        self.start_process(n, false);
    }

    /// Has a member leave for good.
    pub fn depart(&mut self, n: usize) {
        self.step(n, Input::Depart);
    }

    /// Has a member leave for good; its process exits after that, or after [`TERMINATION_TIMEOUT`].
    pub fn terminate(&mut self, n: usize) {
        self.nodes[n].is_terminated = true;
        self.schedule(TERMINATION_TIMEOUT, n, Event::Exit);
        self.depart(n);
    }

    /// Kills a machine's process after its unfinished writes have reached the disk.
    pub fn kill_after_writes(&mut self, n: usize) {
        for (records, rewrite) in self.unfinished_writes(n) {
            self.store(n, records, rewrite);
        }
        self.kill(n);
    }

    /// Kills a machine's process during its last write: the first half of the appended records is on its disk.
    /// A rewrite replaces the file completely or not at all.
    pub fn kill_during_write(&mut self, n: usize) {
        let mut writes = self.unfinished_writes(n);
        let last = writes.pop();
        for (records, rewrite) in writes {
            self.store(n, records, rewrite);
        }
        if let Some((mut records, false)) = last {
            records.truncate(records.len() / 2);
            self.store(n, records, false);
        }
        self.kill(n);
    }

    /// Records of the unfinished writes of a machine's process, in order, and whether each is a rewrite of the file.
    fn unfinished_writes(&self, n: usize) -> Vec<(Vec<Vec<u8>>, bool)> {
        let incarnation = self.nodes[n].incarnation;
        let own_events = self
            .queue
            .values()
            .filter(|e| e.0 == n && e.1 == incarnation);
        own_events
            .filter_map(|(_, _, event)| match event {
                Event::WriteCompleted {
                    records, rewrite, ..
                } => Some((records.clone(), *rewrite)),
                _ => None,
            })
            .collect()
    }

    fn store(&mut self, n: usize, records: Vec<Vec<u8>>, rewrite: bool) {
        if rewrite {
            self.nodes[n].records.clear();
        }
        self.nodes[n].records.extend(records);
    }

    /// Incarnation number of a machine. It rises with each start and each kill, so a machine without a process has a
    /// number of its own.
    pub fn incarnation(&self, n: usize) -> u32 {
        self.nodes[n].incarnation
    }

    /// Whether a machine's process is running.
    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].member.is_some()
    }

    /// Number of machines that were ever started.
    pub fn machine_count(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a member's departure is complete, so that its process may exit.
    pub fn may_exit(&self, n: usize) -> bool {
        self.nodes[n].may_exit
    }

    /// Cuts a machine off from all others, or connects it again.
    pub fn set_isolated(&mut self, n: usize, is_isolated: bool) {
        self.nodes[n].is_isolated = is_isolated;
    }

    /// Member id of a machine.
    pub fn id(&self, n: usize) -> u64 {
        self.nodes[n].member_info.id
    }

    /// The latest membership that a machine's member accepted; empty if there is none.
    pub fn membership(&self, n: usize) -> MembershipConfig {
        self.nodes[n]
            .member
            .as_ref()
            .and_then(Member::membership)
            .cloned()
            .unwrap_or_default()
    }

    pub fn is_primary(&self, n: usize) -> bool {
        self.nodes[n]
            .member
            .as_ref()
            .is_some_and(Member::is_acting_primary)
    }

    pub fn primary(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|n| self.is_primary(*n))
    }

    /// The acting primary's membership; empty if nobody acts.
    pub fn current_membership(&self) -> MembershipConfig {
        self.primary()
            .map(|n| self.membership(n))
            .unwrap_or_default()
    }

    /// Machines that are replicas in the acting primary's membership, the primary first.
    pub fn replicas(&self) -> Vec<usize> {
        let membership = self.current_membership();
        membership
            .replicas
            .iter()
            .filter_map(|id| self.nodes.iter().position(|n| n.member_info.id == *id))
            .collect()
    }

    pub fn is_voter(&self, n: usize) -> bool {
        self.current_membership().voter(self.id(n)).is_some()
    }

    fn schedule(&mut self, after: Duration, node: usize, event: Event) {
        self.events_scheduled += 1;
        let incarnation = self.nodes[node].incarnation;
        self.queue.insert(
            (self.now + after, self.events_scheduled),
            (node, incarnation, event),
        );
    }

    fn step(&mut self, n: usize, input: Input) {
        let mut outputs = Vec::new();
        if let Some(member) = &mut self.nodes[n].member {
            member.step(self.now, input, &mut outputs);
        }
        for output in outputs {
            self.handle_output(n, output);
        }
        let membership = self.membership(n);
        if membership.epoch > 0 {
            let count = membership.voters.len();
            self.voter_counts = (
                self.voter_counts.0.max(count),
                self.voter_counts.1.min(count),
            );
        }
    }

    fn handle_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                let Some(to) = self
                    .nodes
                    .iter()
                    .position(|m| m.member_info.addr == to.addr)
                else {
                    return;
                };
                let is_lost = self
                    .message_loss
                    .as_ref()
                    .is_some_and(|is_lost| is_lost(n, to, &message));
                if !is_lost
                    && !self.nodes[n].is_isolated
                    && !self.nodes[to].is_isolated
                    && self.nodes[to].member.is_some()
                {
                    let from = self.nodes[n].member_info.clone();
                    self.schedule(
                        NETWORK_DELAY,
                        to,
                        Event::Deliver {
                            from,
                            message: Box::new(message),
                        },
                    );
                }
            }
            Output::Write {
                ticket,
                records,
                rewrite,
            } => {
                let write_delay = self.write_times.get(&n).copied().unwrap_or(WRITE_DELAY);
                self.schedule(
                    write_delay,
                    n,
                    Event::WriteCompleted {
                        ticket,
                        records,
                        rewrite,
                    },
                );
            }
            Output::Answer { ticket, code, body } => {
                drop(self.answers.insert(ticket, (code, body)));
            }
            Output::Wake { at } => {
                self.nodes[n].wake_at = at;
                self.schedule(at.saturating_sub(self.now), n, Event::Wake);
            }
            Output::DepartureComplete => {
                self.nodes[n].may_exit = true;
                if self.nodes[n].is_terminated {
                    self.schedule(EXIT_DELAY, n, Event::Exit);
                }
            }
            Output::PublishState { .. } | Output::RestoreState { .. } => {}
        }
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        match event {
            Event::Wake if self.now >= self.nodes[n].wake_at => self.step(n, Input::Tick),
            Event::Wake => {}
            Event::Deliver { from, message } if !self.nodes[n].is_isolated => {
                self.step(
                    n,
                    Input::Message {
                        from,
                        message: *message,
                    },
                );
            }
            Event::Deliver { .. } => {}
            Event::WriteCompleted {
                ticket,
                records,
                rewrite,
            } => {
                self.store(n, records, rewrite);
                self.step(
                    n,
                    Input::WriteCompleted {
                        ticket,
                        result: Ok(()),
                    },
                );
            }
            Event::ReportLinks => {
                let member_info = self.nodes[n].member_info.clone();
                for to in (0..self.nodes.len()).filter(|to| *to != n) {
                    if !self.nodes[n].is_isolated && !self.nodes[to].is_isolated {
                        self.step(
                            to,
                            Input::PeerReachable {
                                member: member_info.clone(),
                            },
                        );
                    }
                }
                self.schedule(LINK_REPORT_INTERVAL, n, Event::ReportLinks);
            }
            Event::Exit => self.kill(n),
        }
    }

    /// Handles the next event that is due by `until`; otherwise advances the time to `until` and returns false.
    fn handle_next_event(&mut self, until: Duration) -> bool {
        let Some(((at, _), (n, incarnation, event))) = self.queue.pop_first() else {
            self.now = until;
            return false;
        };
        if at > until {
            self.queue.insert((at, 0), (n, incarnation, event));
            self.now = until;
            return false;
        }
        self.now = self.now.max(at);
        if self.nodes[n].incarnation == incarnation && self.nodes[n].member.is_some() {
            self.change_steps += u64::from(event.is_change_step());
            self.handle_event(n, event);
        }
        true
    }

    /// Runs for a span of simulated time.
    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.handle_next_event(until) {}
        self.now = until;
    }

    /// Runs until `holds` returns true and returns how long that took; `None` if it took longer than `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let (started_at, until) = (self.now, self.now + limit);
        while !holds(self) {
            if !self.handle_next_event(until) {
                return None;
            }
        }
        Some(self.now - started_at)
    }

    /// Sends a caller's command to a machine and returns its ticket.
    pub fn send_command(&mut self, n: usize, command: Command) -> u64 {
        self.tickets_issued += 1;
        let ticket = self.tickets_issued;
        self.step(n, Input::Command { ticket, command });
        ticket
    }

    /// A command that replaces the configuration of version `base` by one of version `version`.
    pub fn configure_command(base: u64, version: u64) -> Command {
        let body = format!(
            r#"{{"version":{version},"routes":[{{"name":"r{version}","hostname":"h.example","path_prefix":"/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
        );
        Command::Configure {
            base,
            amend: false,
            body: body.into_bytes(),
        }
    }

    /// The result code of a command, if it was answered.
    pub fn answer(&self, ticket: u64) -> Option<ResultCode> {
        self.answers.get(&ticket).map(|answer| answer.0)
    }

    /// Sends a configuration to one running member after the other until it is acknowledged; returns how long that
    /// took. Panics after 20 s.
    pub fn apply_configuration(&mut self, base: u64, version: u64) -> Duration {
        let started_at = self.now;
        while self.now < started_at + ms(20_000) {
            let reachable = (0..self.nodes.len())
                .filter(|n| self.nodes[*n].member.is_some() && !self.nodes[*n].is_isolated);
            for n in reachable.collect::<Vec<_>>() {
                let ticket = self.send_command(n, Self::configure_command(base, version));
                self.run_until(ms(4000), |c| c.answers.contains_key(&ticket));
                if self.answer(ticket) == Some(ResultCode::Ok) {
                    return self.now - started_at;
                }
            }
            self.run(ms(20));
        }
        panic!(
            "version {version} isn't acknowledged: {:?}",
            self.memberships()
        );
    }

    /// Reads the configuration from the primary and returns its version; `None` without a primary or an answer.
    pub fn read_version(&mut self) -> Option<u64> {
        let n = self.primary()?;
        let ticket = self.send_command(n, Command::Read { reserved: 0 });
        self.run_until(ms(4000), |c| c.answers.contains_key(&ticket))?;
        let (code, body) = &self.answers[&ticket];
        let configuration = configuration::Configuration::read(body, 0)
            .ok()
            .filter(|_| *code == ResultCode::Ok)?;
        Some(configuration.version)
    }

    /// The memberships that the running members know.
    pub fn memberships(&self) -> Vec<SeenMembership> {
        let ids = |member_infos: &[MemberInfo]| {
            member_infos
                .iter()
                .map(|member_info| member_info.id)
                .collect::<Vec<_>>()
        };
        let seen_by = |n: usize| {
            let membership = self.membership(n);
            let (voters, previous_voters) =
                (ids(&membership.voters), ids(&membership.previous_voters));
            let (id, is_primary, epoch) = (self.id(n), self.is_primary(n), membership.epoch);
            SeenMembership {
                id,
                is_primary,
                epoch,
                replicas: membership.replicas,
                voters,
                previous_voters,
            }
        };
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_some())
            .map(seen_by)
            .collect()
    }
}
