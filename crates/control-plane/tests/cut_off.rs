//! Members that are cut off, one way or both, or stand still for twenty seconds: what they take for proof, what they
//! answer, and that the others go on. Simulated time; what a cut holds up comes when it ends.

use configuration::{Code, FaultBudget};
use control_plane::member::{Config, Input, Member, Output};
use protocol::{Addr, Command, MemberInfo};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(1000);
/// The longest that an order may wait (`ack_ms` of the deployments).
const ACK: Duration = Duration::from_millis(4000);
const CUT: Duration = Duration::from_secs(20);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn seat(n: usize) -> MemberInfo {
    let addr = Addr { ip: n as u32 + 1, port: 7660 };
    MemberInfo {
        id: n as u64 + 1,
        name: format!("core-{n}"),
        addr,
        control: addr,
        zone: format!("zone-{n}"),
        region: "r".into(),
    }
}

fn configuration(version: u64) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h","path_prefix":"/","route_class":"pure",
        "deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    )
    .into_bytes()
}

fn replace(base: u64, version: u64) -> Command {
    Command::Configure { base, amend: false, body: configuration(version) }
}

const READ: Command = Command::Read { reserved: 0 };

/// What waits for a member.
#[derive(Debug)]
struct Waiting {
    at: Duration,
    /// Whose message it is; none for what comes from its own disk or callers.
    from: Option<usize>,
    input: Input,
}

struct Node {
    member: Member,
    /// Time of its start: its clock counts from there.
    origin: Duration,
    records: Vec<Vec<u8>>,
    inbox: VecDeque<Waiting>,
    wake: Duration,
    frozen: bool,
    shown: u64,
}

/// A core on simulated time. A message takes 1 ms, a write 2 ms.
struct Core {
    now: Duration,
    nodes: Vec<Node>,
    losses: u32,
    /// From whom to whom nothing comes through for now.
    cut: BTreeSet<(usize, usize)>,
    answers: BTreeMap<u64, (Duration, Code, Vec<u8>)>,
    tickets: u64,
}

impl Core {
    /// One whose members have agreed on a primary.
    fn started(members: usize, losses: u32) -> Self {
        let mut core =
            Self { now: ms(0), nodes: vec![], losses, cut: [].into(), answers: [].into(), tickets: 0 };
        for n in 0..members {
            let node = core.node(n, vec![]);
            core.nodes.push(node);
        }
        core.run(ms(3000));
        core
    }

    fn node(&self, n: usize, records: Vec<Vec<u8>>) -> Node {
        let members = if self.nodes.is_empty() { 3.max(n + 1) } else { self.nodes.len() };
        let voters = (0..members.max(2 * self.losses as usize + 1)).map(seat).collect();
        let config = Config {
            me: seat(n),
            bootstrap_voters: Some(voters).filter(|_| records.is_empty()),
            budget: FaultBudget { machine_losses: self.losses, ..FaultBudget::default() },
            lease: LEASE,
            patience: ms(3500),
            stall: ms(600),
        };
        let random = self.now.as_millis() as u64 * 16 + n as u64;
        Node {
            member: Member::new(config, &records, ms(0), random),
            origin: self.now,
            records,
            inbox: VecDeque::new(),
            wake: self.now,
            frozen: false,
            shown: 0,
        }
    }

    /// The process is killed and starts again from its disk.
    fn restart(&mut self, n: usize) {
        let records = std::mem::take(&mut self.nodes[n].records);
        self.nodes[n] = self.node(n, records);
    }

    fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Nobody in `side` hears or is heard by the others.
    fn cut_off(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in side.iter().copied().filter(|_| !side.contains(&a)) {
                self.cut.extend([(a, b), (b, a)]);
            }
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
    }

    fn primary(&self) -> usize {
        let acting = (0..self.nodes.len()).filter(|n| self.nodes[*n].member.acts() && !self.nodes[*n].frozen);
        acting.max_by_key(|n| self.nodes[*n].member.promised()).expect("one acts")
    }

    fn replicas(&self) -> Vec<usize> {
        let view = self.nodes[self.primary()].member.view().unwrap();
        (0..self.nodes.len()).filter(|n| view.replicas.contains(&seat(*n).id)).collect()
    }

    fn others(&self, than: &[usize]) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| !than.contains(n)).collect()
    }

    /// Since the latest proof; `None` where there was none in its life.
    fn age(&self, n: usize) -> Option<Duration> {
        let clock = self.now - self.nodes[n].origin;
        self.nodes[n].member.proof(clock).map(|proof| clock - proof.at)
    }

    fn call(&mut self, n: usize, command: Command) -> u64 {
        self.tickets += 1;
        let input = Input::Command { ticket: self.tickets, command };
        self.nodes[n].inbox.push_back(Waiting { at: self.now, from: None, input });
        self.tickets
    }

    /// Calls and waits for the answer, for [`ACK`] at most: how long it took, its code and its body.
    fn asked(&mut self, n: usize, command: Command) -> (Duration, Code, Vec<u8>) {
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
    fn order(&mut self, to: &[usize], command: Command) -> (Duration, Code) {
        let since = self.now;
        for n in to.iter().cycle() {
            let (_, code, _) = self.asked(*n, command.clone());
            if code.status() < 500 {
                return (self.now - since, code);
            }
            assert!(self.now < since + 2 * ACK, "no clear answer");
        }
        unreachable!()
    }

    fn run(&mut self, long: Duration) {
        let end = self.now + long;
        loop {
            for n in 0..self.nodes.len() {
                while self.turn(n) {}
            }
            if self.now >= end {
                return;
            }
            self.now += ms(1);
        }
    }

    /// One input of a member; false where nothing is due.
    fn turn(&mut self, n: usize) -> bool {
        let (now, cut, node) = (self.now, &self.cut, &mut self.nodes[n]);
        if node.frozen {
            return false;
        }
        let due = |w: &Waiting| w.at <= now && w.from.is_none_or(|from| !cut.contains(&(from, n)));
        let input = match node.inbox.iter().position(due).and_then(|i| node.inbox.remove(i)) {
            Some(waiting) => waiting.input,
            None if node.wake <= now => Input::Tick,
            None => return false,
        };
        node.wake = now + LEASE;
        let mut out = Vec::new();
        node.member.step(now - node.origin, input, &mut out);
        for output in out {
            self.perform(n, output);
        }
        true
    }

    fn perform(&mut self, n: usize, output: Output) {
        let now = self.now;
        match output {
            Output::Send { to, message } => {
                let to = to.addr.ip as usize - 1;
                let input = Input::Message { from: seat(n), message };
                self.nodes[to].inbox.push_back(Waiting { at: now + ms(1), from: Some(n), input });
            }
            Output::Write { ticket, records, rewrite } => {
                let node = &mut self.nodes[n];
                if rewrite {
                    node.records.clear();
                }
                node.records.extend(records);
                let input = Input::Wrote { ticket, result: Ok(()) };
                node.inbox.push_back(Waiting { at: now + ms(2), from: None, input });
            }
            Output::Answer { ticket, code, body } => {
                assert!(self.answers.insert(ticket, (now, code, body)).is_none(), "answered once");
            }
            Output::Publish { document, .. } | Output::Restore { document, .. } => {
                self.nodes[n].shown = document.version;
            }
            Output::Wake { at } => self.nodes[n].wake = self.nodes[n].origin + at,
            Output::Left => {}
        }
    }

    fn thaw(&mut self, n: usize) {
        self.nodes[n].frozen = false;
    }
}

#[test]
fn in_calm_times_all_have_fresh_proof() {
    let mut core = Core::started(3, 1);
    for _ in 0..40 {
        core.run(ms(53));
        for n in 0..3 {
            assert!(core.age(n).expect("proof") < ms(600), "{:?}", core.age(n));
        }
    }
}

/// Renewals that lay in a buffer while the member stood still say nothing of now.
#[rstest]
#[case::a_replica(false)]
#[case::a_witness(true)]
fn who_wakes_takes_nothing_old_for_proof(#[case] witness: bool) {
    let mut core = Core::started(3, 1);
    core.order(&[0], replace(0, 5));
    let (primary, replicas) = (core.primary(), core.replicas());
    let sleeper =
        (0..3).find(|n| if witness { !replicas.contains(n) } else { replicas.contains(n) && *n != primary });
    let sleeper = sleeper.unwrap();
    core.run(ms(1000));
    core.nodes[sleeper].frozen = true;
    core.run(CUT);
    let awake = core.others(&[sleeper]);
    assert_eq!(core.order(&awake, replace(5, 7)).1, Code::Ok);
    core.thaw(sleeper);
    // Everything that waited is handed over at this one moment.
    while core.turn(sleeper) {
        assert!(core.age(sleeper).unwrap() >= CUT, "proof after {:?}", core.age(sleeper));
    }
    core.run(ms(1000));
    assert!(core.age(sleeper).unwrap() < ms(600), "then the primary proves it anew");
    let clock = core.now - core.nodes[sleeper].origin;
    assert!(core.nodes[sleeper].member.proof(clock).unwrap().committed >= 2);
}

#[test]
fn a_primary_that_wakes_confirms_and_tells_nothing() {
    let mut core = Core::started(3, 1);
    core.order(&[0], replace(0, 5));
    let old = core.primary();
    core.nodes[old].frozen = true;
    let awake = core.others(&[old]);
    let (took, code) = core.order(&awake, replace(5, 7));
    assert!(code == Code::Ok && took < ACK, "{code:?} after {took:?}");
    core.run(CUT);
    // They come first of all when it wakes.
    let calls = [core.call(old, READ), core.call(old, replace(5, 6)), core.call(old, replace(7, 9))];
    core.nodes[old].inbox.rotate_right(3);
    core.thaw(old);
    core.turn(old);
    assert!(!core.nodes[old].member.acts());
    core.run(ACK);
    let answers: Vec<(Code, &[u8])> =
        calls.iter().map(|t| (core.answers[t].1, &*core.answers[t].2)).collect();
    assert_eq!(answers.iter().map(|a| a.0).collect::<Vec<_>>(), [Code::Ok, Code::OtherBase, Code::Ok]);
    assert!(answers[0].1 != configuration(5), "an old configuration was read");
}

/// Also two of five, and the primary among those that are cut off.
#[rstest]
#[case::the_primary(3, 1, true)]
#[case::another(3, 1, false)]
#[case::two_of_five_with_the_primary(5, 2, true)]
#[case::two_of_five(5, 2, false)]
fn cut_off_for_twenty_seconds(#[case] members: usize, #[case] losses: u32, #[case] with_primary: bool) {
    let mut core = Core::started(members, losses);
    assert_eq!(core.order(&[0], replace(0, 5)).1, Code::Ok);
    let primary = core.primary();
    let rest = core.others(&[primary]);
    let lost: Vec<usize> = match with_primary {
        true => std::iter::once(primary).chain(rest.iter().copied()).take(losses as usize).collect(),
        false => rest.iter().copied().take(losses as usize).collect(),
    };
    core.cut_off(&lost);
    let healthy = core.others(&lost);
    let end = core.now + CUT;
    // An order at the cut and others all the while, each sent to the healthy side.
    let mut version = 5;
    while core.now < end {
        let (took, code) = core.order(&healthy, replace(version, version + 2));
        assert!(code == Code::Ok && took < ACK, "{code:?} after {took:?}");
        version += 2;
        for n in &lost {
            let since_cut = core.now + CUT - end;
            assert!(!core.nodes[*n].member.acts() || since_cut < LEASE);
            let proved = core.age(*n);
            assert!(proved.is_some_and(|age| age + ms(500) >= since_cut.saturating_sub(LEASE)), "{proved:?}");
        }
        core.run(ms(900));
    }
    // Cut off, it neither confirms nor refuses: it may not know what is in force.
    let calls: Vec<u64> = lost
        .iter()
        .flat_map(|n| [READ, replace(5, 6), replace(version, 99)].map(|c| (*n, c)))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|(n, c)| core.call(n, c))
        .collect();
    core.run(ACK);
    for ticket in &calls {
        let code = core.answers[ticket].1;
        assert_eq!(code.status(), 503, "{code:?}");
    }
    assert!(lost.iter().all(|n| core.nodes[*n].shown <= 5), "nothing that the others didn't agree on");
    core.heal();
    core.run(ms(3000));
    for n in 0..members {
        assert!(core.age(n).expect("proof") < ms(600));
        assert_eq!(core.asked(n, READ).2, configuration(version), "at {n}");
    }
}

#[rstest]
#[case::it_hears_but_isn_t_heard(true)]
#[case::it_is_heard_but_hears_nothing(false)]
fn cut_off_one_way(#[case] hears: bool, #[values(false, true)] the_primary: bool) {
    let mut core = Core::started(3, 1);
    assert_eq!(core.order(&[0], replace(0, 5)).1, Code::Ok);
    let primary = core.primary();
    let one = if the_primary { primary } else { core.others(&[primary])[0] };
    for other in core.others(&[one]) {
        match hears {
            true => core.cut(one, other),
            false => core.cut(other, one),
        }
    }
    let (healthy, cut_at) = (core.others(&[one]), core.now);
    for version in [5, 7, 9, 11, 13] {
        let (took, code) = core.order(&healthy, replace(version, version + 2));
        assert!(code == Code::Ok && took < ACK, "{code:?} after {took:?}");
        core.run(ms(2500));
        // What it hears still proves nothing once its own word isn't heard.
        let since = (core.now - cut_at).saturating_sub(LEASE + ms(500));
        assert!(core.age(one).unwrap() >= since, "{:?} after {since:?}", core.age(one));
    }
    let read = core.asked(one, READ);
    assert!(read.1.status() == 503, "{:?}", read.1);
    core.heal();
    core.run(ms(3000));
    assert!(core.age(one).unwrap() < ms(600));
    assert_eq!(core.asked(one, READ).2, configuration(15));
}

/// It shows what its disk knows to be acknowledged, and says that nobody has confirmed it.
#[rstest]
#[case::alone(1)]
#[case::again_and_again(4)]
fn restarted_while_cut_off(#[case] times: usize) {
    let mut core = Core::started(3, 1);
    assert_eq!(core.order(&[0], replace(0, 5)).1, Code::Ok);
    core.run(ms(1000));
    let primary = core.primary();
    let one = core.replicas().into_iter().find(|n| *n != primary).unwrap();
    core.cut_off(&[one]);
    let healthy = core.others(&[one]);
    for _ in 0..times {
        core.restart(one);
        core.run(CUT / times as u32);
        assert_eq!((core.nodes[one].shown, core.age(one)), (5, None));
    }
    assert_eq!(core.order(&healthy, replace(5, 7)).1, Code::Ok);
    assert_eq!(core.asked(one, READ).1, Code::NoPrimary);
    // What was under way to an earlier life comes now.
    core.heal();
    core.turn(one);
    assert_eq!(core.age(one), None);
    core.run(ms(3000));
    assert!(core.age(one).unwrap() < ms(600));
    assert_eq!(core.asked(one, READ).2, configuration(7));
}

/// Those cut off are restarted, then the others.
#[test]
fn all_restarted_during_the_cut() {
    let mut core = Core::started(3, 1);
    assert_eq!(core.order(&[0], replace(0, 5)).1, Code::Ok);
    let one = core.primary();
    core.cut_off(&[one]);
    let healthy = core.others(&[one]);
    assert_eq!(core.order(&healthy, replace(5, 7)).1, Code::Ok);
    core.restart(one);
    core.run(ms(5000));
    healthy.iter().for_each(|n| core.restart(*n));
    let (took, code) = core.order(&healthy, replace(7, 9));
    assert!(code == Code::Ok && took < ACK, "{code:?} after {took:?}");
    core.run(CUT);
    assert_eq!((core.nodes[one].shown, core.age(one)), (5, None));
    core.heal();
    core.run(ms(3000));
    assert_eq!(core.asked(one, READ).2, configuration(9));
}

/// Its copy follows the order, but nobody grants the lease any more: the answer waits, and is no false yes.
#[test]
fn an_order_under_way_at_the_cut_gets_no_false_answer() {
    for after in 0..12 {
        let mut core = Core::started(3, 1);
        assert_eq!(core.order(&[0], replace(0, 5)).1, Code::Ok);
        let old = core.primary();
        let ticket = core.call(old, replace(5, 7));
        core.run(ms(after));
        core.cut_off(&[old]);
        core.run(ACK);
        let first = core.answers[&ticket].1;
        assert!(matches!(first, Code::Ok | Code::Unclear | Code::NoPrimary), "{first:?}");
        // The same again on the other side is taken whether it got there before or not.
        let healthy = core.others(&[old]);
        let (took, code) = core.order(&healthy, replace(5, 7));
        assert!(code == Code::Ok && took < ACK, "{code:?} after {took:?}");
        core.heal();
        core.run(ms(3000));
        for n in 0..3 {
            assert_eq!(core.asked(n, READ).2, configuration(7));
        }
    }
}
