//! Members without I/O on a clock of the test's own: the network takes 1 ms, a disk 2 ms, a link says every second
//! who is there. The same calls give the same run.

use super::{budget, member_config, ms};
use configuration::{FaultBudget, ResultCode};
use control_plane::member::{Input, Member, Output};
use protocol::{Addr, Command, MemberInfo, MembershipConfig, Message};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

const NETWORK: Duration = Duration::from_millis(1);
const DISK: Duration = Duration::from_millis(2);
const LINK_REPORT: Duration = Duration::from_millis(1000);
/// A process that was asked to end ends after this at the latest, and so soon once it may.
const LEAVE_TIME: Duration = Duration::from_millis(5000);
const LAST_WORDS: Duration = Duration::from_millis(50);

#[derive(Clone)]
enum Event {
    Wake,
    Deliver {
        from: MemberInfo,
        message: Box<Message>,
    },
    Wrote {
        ticket: u64,
        records: Vec<Vec<u8>>,
        rewrite: bool,
    },
    Links,
    /// A process that was asked to end has had its time.
    End,
}

impl Event {
    /// Whether it is a step of a change of the membership, and not one that recurs while nothing changes.
    fn is_step(&self) -> bool {
        match self {
            Event::Deliver { message, .. } => !matches!(
                **message,
                Message::RenewLease { .. }
                    | Message::LeaseReply { .. }
                    | Message::ForwardCommand { .. }
                    | Message::CommandResult { .. }
            ),
            Event::Wrote { .. } | Event::End => true,
            Event::Wake | Event::Links => false,
        }
    }
}

/// Whether a message from one machine to another is lost.
type Loses = Rc<dyn Fn(usize, usize, &Message) -> bool>;

/// A membership as one machine sees it: identities.
#[derive(Debug)]
pub struct SeenMembership {
    pub id: u64,
    pub is_primary: bool,
    pub epoch: u64,
    pub replicas: Vec<u64>,
    pub voters: Vec<u64>,
    pub before: Vec<u64>,
}

#[derive(Clone)]
struct Node {
    member_info: MemberInfo,
    member: Option<Member>,
    /// Number of its incarnation; what an earlier one had under way comes to nothing.
    incarnation: u32,
    records: Vec<Vec<u8>>,
    cut: bool,
    left: bool,
    /// The process ends once nothing is left to hand over.
    ends: bool,
    wake: Duration,
}

#[derive(Clone)]
pub struct Cluster {
    pub now: Duration,
    budget: FaultBudget,
    nodes: Vec<Node>,
    queue: BTreeMap<(Duration, u64), (usize, u32, Event)>,
    events: u64,
    tickets: u64,
    answers: BTreeMap<u64, (ResultCode, Vec<u8>)>,
    /// Steps of changes so far: moments at which something may strike.
    pub steps: u64,
    /// Writes of these members take so long.
    pub slow_disks: BTreeMap<usize, Duration>,
    /// Messages that are lost: from, to, message.
    pub loses: Option<Loses>,
    /// Most voters and least voters of any membership that was installed.
    pub sizes: (usize, usize),
}

impl Cluster {
    /// Members in these zones (`region/zone`); the first three are the initial voters.
    pub fn start(budget: FaultBudget, zones: &[&str]) -> Self {
        let mut cluster = Self {
            now: ms(1000),
            budget,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            events: 0,
            tickets: 0,
            answers: BTreeMap::new(),
            steps: 0,
            slow_disks: BTreeMap::new(),
            loses: None,
            sizes: (0, usize::MAX),
        };
        for zone in zones {
            cluster.machine(zone);
        }
        (0..zones.len()).for_each(|n| cluster.boot(n, n < 3));
        cluster
    }

    /// Three members in three zones of which one machine may be lost, with a configuration acknowledged.
    pub fn of_three() -> Self {
        let mut cluster = Self::start(budget(1, 0, 0), &["r/a", "r/b", "r/c"]);
        cluster.apply_configuration(0, 1);
        cluster
    }

    fn machine(&mut self, zone: &str) -> usize {
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
        let (records, wake) = (vec![], ms(0));
        self.nodes.push(Node {
            member_info,
            member: None,
            incarnation: 0,
            records,
            cut: false,
            left: false,
            ends: false,
            wake,
        });
        n
    }

    /// A new machine with an empty disk.
    pub fn add(&mut self, zone: &str) -> usize {
        let n = self.machine(zone);
        self.boot(n, false);
        n
    }

    fn boot(&mut self, n: usize, initial: bool) {
        let voters = || {
            self.nodes
                .iter()
                .take(3)
                .map(|n| n.member_info.clone())
                .collect()
        };
        let config = member_config(
            self.nodes[n].member_info.clone(),
            initial.then(voters),
            self.budget,
        );
        let random = 77 * (n as u64 + 1) + u64::from(self.nodes[n].incarnation);
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        node.wake = ms(0);
        (node.left, node.ends) = (false, false);
        node.member = Some(Member::new(config, &node.records, self.now, random));
        self.push(ms(0), n, Event::Wake);
        self.push(ms(1), n, Event::Links);
    }

    /// Starts a stopped machine again with what its disk holds.
    pub fn restart(&mut self, n: usize) {
        self.boot(n, false);
    }

    /// The process ends at once; its disk stays.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].member = None;
        self.nodes[n].incarnation += 1;
    }

    /// The machine loses its disk and starts again at the same address, as somebody else.
    pub fn wipe(&mut self, n: usize) {
        self.kill(n);
        self.nodes[n].records.clear();
        self.nodes[n].member_info.id += 1000;
        self.boot(n, false);
    }

    /// The records on a machine's disk.
    pub fn records(&self, n: usize) -> &[Vec<u8>] {
        &self.nodes[n].records
    }

    /// Starts a stopped machine as somebody else, with other records on its disk.
    pub fn restart_as(&mut self, n: usize, id: u64, records: Vec<Vec<u8>>) {
        self.nodes[n].member_info.id = id;
        self.nodes[n].records = records;
        self.boot(n, false);
    }

    pub fn depart(&mut self, n: usize) {
        self.step(n, Input::Depart);
    }

    /// The process is asked to end, and ends once it may.
    pub fn terminate(&mut self, n: usize) {
        self.nodes[n].ends = true;
        self.push(LEAVE_TIME, n, Event::End);
        self.depart(n);
    }

    /// The process ends at once; what it was writing is on its disk.
    pub fn kill_after_write(&mut self, n: usize) {
        for (records, rewrite) in self.unfinished_writes(n) {
            self.store(n, records, rewrite);
        }
        self.kill(n);
    }

    /// The process ends at once; of the last records that it was appending the first half is on its disk. A rewritten
    /// file takes the place of the old one whole, or not at all.
    pub fn kill_in_write(&mut self, n: usize) {
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

    /// The writes that a machine's process has under way, in their order, and whether each takes the file's place.
    fn unfinished_writes(&self, n: usize) -> Vec<(Vec<Vec<u8>>, bool)> {
        let incarnation = self.nodes[n].incarnation;
        let own = self
            .queue
            .values()
            .filter(|e| e.0 == n && e.1 == incarnation);
        own.filter_map(|(_, _, event)| match event {
            Event::Wrote {
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

    /// The number of a machine's incarnation: another one for each process, and for none in between.
    pub fn incarnation(&self, n: usize) -> u32 {
        self.nodes[n].incarnation
    }

    /// Whether a machine's process runs.
    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].member.is_some()
    }

    /// How many machines there have been.
    pub fn machines(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the process may end.
    pub fn may_exit(&self, n: usize) -> bool {
        self.nodes[n].left
    }

    pub fn set_isolated(&mut self, n: usize, cut: bool) {
        self.nodes[n].cut = cut;
    }

    pub fn id(&self, n: usize) -> u64 {
        self.nodes[n].member_info.id
    }

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

    /// The primary's membership.
    pub fn current_membership(&self) -> MembershipConfig {
        self.primary()
            .map(|n| self.membership(n))
            .unwrap_or_default()
    }

    /// Machines that are replicas in the primary's membership, the primary first.
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

    fn push(&mut self, after: Duration, node: usize, event: Event) {
        self.events += 1;
        let incarnation = self.nodes[node].incarnation;
        self.queue
            .insert((self.now + after, self.events), (node, incarnation, event));
    }

    fn step(&mut self, n: usize, input: Input) {
        let mut out = Vec::new();
        if let Some(member) = &mut self.nodes[n].member {
            member.step(self.now, input, &mut out);
        }
        for output in out {
            self.handle_output(n, output);
        }
        let membership = self.membership(n);
        if membership.epoch > 0 {
            let len = membership.voters.len();
            self.sizes = (self.sizes.0.max(len), self.sizes.1.min(len));
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
                let lost = self
                    .loses
                    .as_ref()
                    .is_some_and(|loses| loses(n, to, &message));
                if !lost
                    && !self.nodes[n].cut
                    && !self.nodes[to].cut
                    && self.nodes[to].member.is_some()
                {
                    let from = self.nodes[n].member_info.clone();
                    self.push(
                        NETWORK,
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
                let time = self.slow_disks.get(&n).copied().unwrap_or(DISK);
                self.push(
                    time,
                    n,
                    Event::Wrote {
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
                self.nodes[n].wake = at;
                self.push(at.saturating_sub(self.now), n, Event::Wake);
            }
            Output::DepartureComplete => {
                self.nodes[n].left = true;
                if self.nodes[n].ends {
                    self.push(LAST_WORDS, n, Event::End);
                }
            }
            Output::PublishState { .. } | Output::RestoreState { .. } => {}
        }
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        match event {
            Event::Wake if self.now >= self.nodes[n].wake => self.step(n, Input::Tick),
            Event::Wake => {}
            Event::Deliver { from, message } if !self.nodes[n].cut => {
                self.step(
                    n,
                    Input::Message {
                        from,
                        message: *message,
                    },
                );
            }
            Event::Deliver { .. } => {}
            Event::Wrote {
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
            Event::Links => {
                let member_info = self.nodes[n].member_info.clone();
                for to in (0..self.nodes.len()).filter(|to| *to != n) {
                    if !self.nodes[n].cut && !self.nodes[to].cut {
                        self.step(
                            to,
                            Input::PeerReachable {
                                member: member_info.clone(),
                            },
                        );
                    }
                }
                self.push(LINK_REPORT, n, Event::Links);
            }
            Event::End => self.kill(n),
        }
    }

    /// Lets the next event happen that is due until then.
    fn next(&mut self, until: Duration) -> bool {
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
            self.steps += u64::from(event.is_step());
            self.handle_event(n, event);
        }
        true
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.next(until) {}
        self.now = until;
    }

    /// Goes on until something holds; how long that took, or nothing where it didn't come within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let (from, until) = (self.now, self.now + limit);
        while !holds(self) {
            if !self.next(until) {
                return None;
            }
        }
        Some(self.now - from)
    }

    /// Sends a call to a machine; its number.
    pub fn call(&mut self, n: usize, command: Command) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        self.step(n, Input::Command { ticket, command });
        ticket
    }

    pub fn configure(base: u64, version: u64) -> Command {
        let body = format!(
            r#"{{"version":{version},"routes":[{{"name":"r{version}","hostname":"h.example","path_prefix":"/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
        );
        Command::Configure {
            base,
            amend: false,
            body: body.into_bytes(),
        }
    }

    pub fn answer(&self, ticket: u64) -> Option<ResultCode> {
        self.answers.get(&ticket).map(|a| a.0)
    }

    /// Has a configuration acknowledged by whoever takes it, made again where there is no clear answer; how long
    /// that took.
    pub fn apply_configuration(&mut self, base: u64, version: u64) -> Duration {
        let from = self.now;
        while self.now < from + ms(20_000) {
            let up = (0..self.nodes.len())
                .filter(|n| self.nodes[*n].member.is_some() && !self.nodes[*n].cut);
            for n in up.collect::<Vec<_>>() {
                let ticket = self.call(n, Self::configure(base, version));
                self.run_until(ms(4000), |c| c.answers.contains_key(&ticket));
                if self.answer(ticket) == Some(ResultCode::Ok) {
                    return self.now - from;
                }
            }
            self.run(ms(20));
        }
        panic!("version {version} isn't taken: {:?}", self.memberships());
    }

    /// The version that the control plane tells.
    pub fn read_version(&mut self) -> Option<u64> {
        let n = self.primary()?;
        let ticket = self.call(n, Command::Read { reserved: 0 });
        self.run_until(ms(4000), |c| c.answers.contains_key(&ticket))?;
        let (code, body) = &self.answers[&ticket];
        let document = configuration::Configuration::read(body, 0)
            .ok()
            .filter(|_| *code == ResultCode::Ok)?;
        Some(document.version)
    }

    /// The memberships of all that run.
    pub fn memberships(&self) -> Vec<SeenMembership> {
        let ids =
            |member_infos: &[MemberInfo]| member_infos.iter().map(|s| s.id).collect::<Vec<_>>();
        let seen = |n: usize| {
            let membership = self.membership(n);
            let (voters, before) = (ids(&membership.voters), ids(&membership.previous_voters));
            let (id, is_primary, epoch) = (self.id(n), self.is_primary(n), membership.epoch);
            SeenMembership {
                id,
                is_primary,
                epoch,
                replicas: membership.replicas,
                voters,
                before,
            }
        };
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_some())
            .map(seen)
            .collect()
    }
}
