//! A core on simulated time whose members are cut off, one way or both, or stand still: what a cut holds up comes when
//! it ends. Each member counts by a clock of its own, which may run fast or slow.

use super::{member_config, ms, LEASE};
use configuration::{FaultBudget, ResultCode};
use control_plane::member::{Input, Member, Output};
use protocol::{Addr, Command, MemberInfo};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The longest that an order may wait (`ack_ms` of the deployments).
pub const ACK: Duration = Duration::from_millis(4000);
pub const CUT: Duration = Duration::from_secs(20);

/// Time between two reports of a link that its member is there.
const LINK_REPORT: Duration = Duration::from_millis(1000);
/// The voters of epoch 0 where members stand in zones: as many as there are seeds.
const SEEDS: usize = 3;
/// Parts of a second in a million, by which clocks drift.
const MILLION: i64 = 1_000_000;

/// The member of a number in a place, `region/zone`.
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

pub fn configuration(version: u64) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h","path_prefix":"/","route_class":"pure",
        "deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    )
    .into_bytes()
}

pub fn replace(base: u64, version: u64) -> Command {
    Command::Configure {
        base,
        amend: false,
        body: configuration(version),
    }
}

pub const READ: Command = Command::Read { reserved: 0 };

/// What waits for a member.
#[derive(Debug)]
pub struct Waiting {
    at: Duration,
    /// Whose message it is; none for what comes from its own disk or callers.
    from: Option<usize>,
    input: Input,
}

pub struct Node {
    pub member: Member,
    pub records: Vec<Vec<u8>>,
    pub inbox: VecDeque<Waiting>,
    /// By its own clock.
    pub wake: Duration,
    pub paused: bool,
    pub published_version: u64,
    /// How much faster than true time its clock runs, in millionths, and since when.
    drift_ppm: i64,
    drifts_since: Duration,
    /// What its clock showed then.
    clock_then: Duration,
}

/// A core on simulated time. A message takes 1 ms, a write 2 ms.
pub struct PartitionCluster {
    pub now: Duration,
    pub nodes: Vec<Node>,
    budget: FaultBudget,
    pub member_infos: Vec<MemberInfo>,
    initial_voters: usize,
    /// From whom to whom nothing comes through for now.
    pub cut: BTreeSet<(usize, usize)>,
    pub answers: BTreeMap<u64, (Duration, ResultCode, Vec<u8>)>,
    pub tickets: u64,
}

impl PartitionCluster {
    /// One whose members have agreed on a primary: all are voters from the start, each in a zone of its own.
    pub fn started(members: usize, losses: u32) -> Self {
        let places: Vec<String> = (0..members).map(|n| format!("r/zone-{n}")).collect();
        let places: Vec<&str> = places.iter().map(String::as_str).collect();
        let budget = FaultBudget {
            machine_losses: losses,
            ..FaultBudget::default()
        };
        Self::begun(budget, &places, members)
    }

    /// One in these places (`region/zone`): the seeds are voters from the start, the others have joined where the
    /// budget asks for more.
    pub fn in_places(budget: FaultBudget, places: &[&str]) -> Self {
        let mut core = Self::begun(budget, places, SEEDS);
        core.run(ms(5000));
        core
    }

    fn begun(budget: FaultBudget, places: &[&str], initial_voters: usize) -> Self {
        let mut core = Self {
            now: ms(0),
            nodes: vec![],
            budget,
            member_infos: places
                .iter()
                .enumerate()
                .map(|(n, place)| member_info(n, place))
                .collect(),
            initial_voters,
            cut: [].into(),
            answers: [].into(),
            tickets: 0,
        };
        for n in 0..places.len() {
            let node = core.node(n, vec![]);
            core.nodes.push(node);
        }
        core.run(ms(3000));
        core
    }

    fn node(&self, n: usize, records: Vec<Vec<u8>>) -> Node {
        let voters = self.member_infos[..self.initial_voters].to_vec();
        let initial = n < self.initial_voters && records.is_empty();
        let config = member_config(
            self.member_infos[n].clone(),
            Some(voters).filter(|_| initial),
            self.budget,
        );
        let random = self.now.as_millis() as u64 * 16 + n as u64;
        Node {
            member: Member::new(config, &records, ms(0), random),
            records,
            inbox: VecDeque::new(),
            wake: ms(0),
            paused: false,
            published_version: 0,
            drift_ppm: 0,
            drifts_since: self.now,
            clock_then: ms(0),
        }
    }

    /// The time by a member's own clock, which counts from its start.
    pub fn clock(&self, n: usize) -> Duration {
        let node = &self.nodes[n];
        let passed = (self.now - node.drifts_since).as_micros() as i64;
        node.clock_then + Duration::from_micros((passed + passed * node.drift_ppm / MILLION) as u64)
    }

    /// From now on a member's clock runs so much faster than true time.
    pub fn set_drift(&mut self, n: usize, drift_ppm: i64) {
        let (now, clock_then) = (self.now, self.clock(n));
        let node = &mut self.nodes[n];
        (node.drift_ppm, node.drifts_since, node.clock_then) = (drift_ppm, now, clock_then);
    }

    /// The process is killed and starts again from its disk.
    pub fn restart(&mut self, n: usize) {
        let records = std::mem::take(&mut self.nodes[n].records);
        let drift_ppm = self.nodes[n].drift_ppm;
        self.nodes[n] = Node {
            drift_ppm,
            ..self.node(n, records)
        };
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Nobody in `side` hears or is heard by the others.
    pub fn cut_off(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in side.iter().copied().filter(|_| !side.contains(&a)) {
                self.cut.extend([(a, b), (b, a)]);
            }
        }
    }

    /// Nothing that those in `side` say reaches the others (`out`), or nothing that these say reaches them.
    pub fn cut_one_way(&mut self, side: &[usize], out: bool) {
        for other in self.others(side) {
            for one in side.iter().copied() {
                if out {
                    self.cut(one, other);
                } else {
                    self.cut(other, one);
                }
            }
        }
    }

    /// Members in a place: a zone, or a region with all its zones.
    pub fn members_in(&self, place: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| {
                self.member_infos[*n].zone == place || self.member_infos[*n].region == place
            })
            .collect()
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn primary(&self) -> usize {
        let acting = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_acting_primary() && !self.nodes[*n].paused);
        acting
            .max_by_key(|n| self.nodes[*n].member.promised_epoch())
            .expect("one acts")
    }

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

    pub fn others(&self, than: &[usize]) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| !than.contains(n))
            .collect()
    }

    /// The time since the latest primary contact; `None` before the first one of its incarnation.
    pub fn age(&self, n: usize) -> Option<Duration> {
        let clock = self.clock(n);
        self.nodes[n]
            .member
            .primary_contact(clock)
            .map(|proof| clock - proof.at)
    }

    pub fn call(&mut self, n: usize, command: Command) -> u64 {
        self.tickets += 1;
        let input = Input::Command {
            ticket: self.tickets,
            command,
        };
        self.nodes[n].inbox.push_back(Waiting {
            at: self.now,
            from: None,
            input,
        });
        self.tickets
    }

    /// Calls and waits for the answer, for [`ACK`] at most: how long it took, its code and its body.
    pub fn request(&mut self, n: usize, command: Command) -> (Duration, ResultCode, Vec<u8>) {
        let (since, ticket) = (self.now, self.call(n, command));
        while self.now < since + ACK {
            self.run(ms(1));
            if let Some((at, code, body)) = self.answers.get(&ticket) {
                return (*at - since, *code, body.clone());
            }
        }
        panic!("no answer from {n} in {ACK:?}");
    }

    /// As the operator: sends the same again, to one member after the other, until it gets a clear answer.
    pub fn request_until_definite(
        &mut self,
        to: &[usize],
        command: Command,
    ) -> (Duration, ResultCode) {
        let since = self.now;
        for n in to.iter().cycle() {
            let (_, code, _) = self.request(*n, command.clone());
            if code.status() < 500 {
                return (self.now - since, code);
            }
            assert!(self.now < since + 2 * ACK, "no clear answer");
        }
        unreachable!()
    }

    pub fn run(&mut self, long: Duration) {
        let end = self.now + long;
        loop {
            for n in 0..self.nodes.len() {
                while self.step_next(n) {}
            }
            if self.now >= end {
                return;
            }
            self.now += ms(1);
            if (self.now.as_millis() as u64).is_multiple_of(LINK_REPORT.as_millis() as u64) {
                self.report_links();
            }
        }
    }

    /// Links tell both sides who is there.
    fn report_links(&mut self) {
        let many = self.nodes.len();
        for (a, b) in (0..many).flat_map(|a| (0..many).map(move |b| (a, b))) {
            let up = a != b && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a));
            if up && !self.nodes[a].paused {
                let input = Input::PeerReachable {
                    member: self.member_infos[a].clone(),
                };
                self.nodes[b].inbox.push_back(Waiting {
                    at: self.now + ms(1),
                    from: Some(a),
                    input,
                });
            }
        }
    }

    /// One input of a member; false where nothing is due.
    pub fn step_next(&mut self, n: usize) -> bool {
        let (now, clock, cut, node) = (self.now, self.clock(n), &self.cut, &mut self.nodes[n]);
        if node.paused {
            return false;
        }
        let due = |w: &Waiting| w.at <= now && w.from.is_none_or(|from| !cut.contains(&(from, n)));
        let input = match node
            .inbox
            .iter()
            .position(due)
            .and_then(|i| node.inbox.remove(i))
        {
            Some(waiting) => waiting.input,
            None if node.wake <= clock => Input::Tick,
            None => return false,
        };
        node.wake = clock + LEASE;
        let mut out = Vec::new();
        node.member.step(clock, input, &mut out);
        for output in out {
            self.handle_output(n, output);
        }
        self.check_one_acts();
        true
    }

    /// No two act at once, whoever stands still.
    fn check_one_acts(&self) {
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
                self.nodes[to].inbox.push_back(Waiting {
                    at: now + ms(1),
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
                node.inbox.push_back(Waiting {
                    at: now + ms(2),
                    from: None,
                    input,
                });
            }
            Output::Answer { ticket, code, body } => {
                assert!(
                    self.answers.insert(ticket, (now, code, body)).is_none(),
                    "answered once"
                );
            }
            Output::PublishState { configuration, .. }
            | Output::RestoreState { configuration, .. } => {
                self.nodes[n].published_version = configuration.version;
            }
            Output::Wake { at } => self.nodes[n].wake = at,
            Output::DepartureComplete => {}
        }
    }

    pub fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
    }
}
