//! Draws which signals are sent when: several series that overlap.

use fennelpin_cli::local::cluster::Program;
use rand::seq::SliceRandom;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::time::Duration;

/// Series of one run, at least and at most.
const MIN_SERIES: usize = 4;
const MAX_SERIES: usize = 7;

/// A program on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    pub program: Program,
    /// The machine's number, from 1 on.
    pub number: u8,
}

impl Target {
    /// Machine and program, as in `edge-1/proxy`.
    pub fn process_name(self) -> String {
        format!("{}/{}", self.machine(), self.program.name())
    }

    /// The machine's name.
    pub fn machine(self) -> String {
        let class = if self.program == Program::ControlPlane {
            "core"
        } else {
            "edge"
        };
        format!("{class}-{}", self.number)
    }
}

/// What is done to a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Signal(Signal),
    /// The settings file is written anew, with its seeds in another order. A signal may follow.
    RewriteSettings,
}

/// An action at a time since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    pub at: Duration,
    pub target: Target,
    pub action: Action,
}

/// A kind of series.
#[derive(Clone, Copy, Debug)]
enum Series {
    /// Machines with proxies are stopped one after the other.
    RollEdges,
    /// All machines with proxies are stopped at nearly the same time.
    StopAllEdges,
    /// SIGHUP to programs everywhere.
    Hangups,
    /// SIGHUP, SIGTERM, SIGHUP and SIGTERM again at one proxy.
    HangupsRoundTermination,
    /// One proxy is stopped again and again, also while it starts.
    RepeatedTermination,
    /// Both programs of a machine get SIGTERM every few hundredths of a second: in the first moments of their starts, and
    /// more than once while they end.
    TerminationInStarts,
    /// Agents are killed.
    KillAgents,
    /// Members are stopped one after the other.
    RollMembers,
    /// One member is killed.
    KillMember,
}

const ALL_SERIES: [Series; 9] = [
    Series::RollEdges,
    Series::StopAllEdges,
    Series::Hangups,
    Series::HangupsRoundTermination,
    Series::RepeatedTermination,
    Series::TerminationInStarts,
    Series::KillAgents,
    Series::RollMembers,
    Series::KillMember,
];

/// Draws the events of a run in order of time, with unplanned ones if there are faults.
pub fn draw(seed: u64, edges: u8, members: u8, duration: Duration, faults: bool) -> Vec<Event> {
    let mut drawer = Drawer {
        random: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
        edges,
        members,
        events: Vec::new(),
    };
    for _ in 0..drawer.random.random_range(MIN_SERIES..=MAX_SERIES) {
        let start = drawer.millis(500, duration.as_millis() as u64 * 2 / 3);
        let series = ALL_SERIES[drawer.random.random_range(0..ALL_SERIES.len())];
        drawer.draw_series(series, start);
    }
    if faults {
        drawer.freezes(duration);
    }
    let mut events = drawer.events;
    // Whatever is frozen is thawed.
    let is_thaw = |event: &Event| event.action == Action::Signal(Signal::CONT);
    events.retain(|event| event.at < duration || is_thaw(event));
    events.sort_by_key(|event| event.at);
    events
}

/// The processor time of a quota that a seed draws: none for two seeds in three.
pub fn draw_quota_ms(seed: u64) -> u64 {
    const SHARES_MS: [u64; 3] = [3, 5, 8];
    let draws_none = seed % 3 != 2;
    if draws_none {
        0
    } else {
        SHARES_MS[(seed / 3) as usize % SHARES_MS.len()]
    }
}

/// Whether a seed draws faults beside the planned work.
pub fn draw_faults(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Draws when hosts begin to drain; most never do.
pub fn draw_drain_times(seed: u64, hosts: usize, duration: Duration) -> Vec<Option<Duration>> {
    let mut random = Pcg64Mcg::new(u128::from(seed) << 8 | 9);
    let draining = 0..hosts / 3;
    (0..hosts)
        .map(|host| {
            let share = random.random_range(0.2..0.8);
            draining.contains(&host).then(|| duration.mul_f64(share))
        })
        .collect()
}

struct Drawer {
    random: Pcg64Mcg,
    edges: u8,
    members: u8,
    events: Vec<Event>,
}

impl Drawer {
    fn millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min..=max))
    }

    fn push(&mut self, at: Duration, program: Program, number: u8, action: Action) {
        let target = Target { program, number };
        self.events.push(Event { at, target, action });
    }

    fn signal(&mut self, at: Duration, program: Program, number: u8, signal: Signal) {
        self.push(at, program, number, Action::Signal(signal));
    }

    /// Both programs of a machine get SIGTERM, as when the platform replaces it.
    fn stop_edge(&mut self, at: Duration, number: u8) {
        self.signal(at, Program::Agent, number, Signal::TERM);
        self.signal(at, Program::Proxy, number, Signal::TERM);
    }

    fn some_edge(&mut self) -> u8 {
        self.random.random_range(1..=self.edges)
    }

    fn shuffled_edges(&mut self) -> Vec<u8> {
        let mut edges: Vec<u8> = (1..=self.edges).collect();
        edges.shuffle(&mut self.random);
        edges
    }

    fn draw_series(&mut self, series: Series, start: Duration) {
        match series {
            Series::RollEdges => self.roll_edges(start),
            Series::StopAllEdges => self.stop_all_edges(start),
            Series::Hangups => self.hangups(start),
            Series::HangupsRoundTermination => self.hangups_round_termination(start),
            Series::RepeatedTermination => self.repeated_termination(start),
            Series::TerminationInStarts => self.termination_in_starts(start),
            Series::KillAgents => self.kill_agents(start),
            Series::RollMembers => self.roll_members(start),
            Series::KillMember => {
                let member = self.random.random_range(1..=self.members);
                self.signal(start, Program::ControlPlane, member, Signal::KILL);
            }
        }
    }

    fn roll_edges(&mut self, start: Duration) {
        let gap = self.millis(80, 1200);
        for (n, edge) in (0..).zip(self.shuffled_edges()) {
            self.stop_edge(start + gap * n, edge);
        }
    }

    fn stop_all_edges(&mut self, start: Duration) {
        for edge in 1..=self.edges {
            let at = start + self.millis(0, 200);
            self.stop_edge(at, edge);
        }
    }

    fn hangups(&mut self, start: Duration) {
        let gap = self.millis(20, 400);
        for n in 0..self.random.random_range(5..20) {
            let at = start + gap * n;
            let (program, number) = match self.random.random_range(0..3) {
                0 => (
                    Program::ControlPlane,
                    self.random.random_range(1..=self.members),
                ),
                1 => (Program::Agent, self.some_edge()),
                _ => (Program::Proxy, self.some_edge()),
            };
            if program != Program::Proxy && self.random.random_bool(0.5) {
                self.push(at, program, number, Action::RewriteSettings);
            }
            self.signal(at, program, number, Signal::HUP);
        }
    }

    fn hangups_round_termination(&mut self, start: Duration) {
        let edge = self.some_edge();
        let stop = start + self.millis(0, 2000);
        self.signal(start, Program::Proxy, edge, Signal::HUP);
        self.stop_edge(stop, edge);
        for _ in 0..3 {
            let at = stop + self.millis(0, 3500);
            self.signal(at, Program::Proxy, edge, Signal::HUP);
            let at = stop + self.millis(0, 3500);
            self.signal(at, Program::Proxy, edge, Signal::TERM);
        }
    }

    fn repeated_termination(&mut self, start: Duration) {
        let edge = self.some_edge();
        let mut at = start;
        for _ in 0..self.random.random_range(2..6) {
            self.stop_edge(at, edge);
            at += self.millis(300, 4500);
        }
    }

    fn termination_in_starts(&mut self, start: Duration) {
        let edge = self.some_edge();
        let mut at = start;
        while at < start + Duration::from_secs(7) {
            self.stop_edge(at, edge);
            at += self.millis(5, 90);
        }
    }

    /// Processes stand still for a while: no planned work.
    fn freezes(&mut self, duration: Duration) {
        for _ in 0..self.random.random_range(1..6) {
            let at = self.millis(500, duration.as_millis() as u64);
            let (program, number) = match self.random.random_range(0..4) {
                0 => {
                    let member = self.random.random_range(1..=self.members);
                    (Program::ControlPlane, member)
                }
                1 => (Program::Agent, self.some_edge()),
                _ => (Program::Proxy, self.some_edge()),
            };
            self.signal(at, program, number, Signal::STOP);
            let thaw = at + self.millis(50, 2500);
            self.signal(thaw, program, number, Signal::CONT);
        }
    }

    fn kill_agents(&mut self, start: Duration) {
        let gap = self.millis(50, 600);
        for n in 0..self.random.random_range(2..8) {
            let edge = self.some_edge();
            self.signal(start + gap * n, Program::Agent, edge, Signal::KILL);
        }
    }

    fn roll_members(&mut self, start: Duration) {
        let gap = self.millis(1500, 4000);
        let mut members: Vec<u8> = (1..=self.members).collect();
        members.shuffle(&mut self.random);
        for (n, member) in (0..).zip(members) {
            let at = start + gap * n;
            self.signal(at, Program::ControlPlane, member, Signal::HUP);
            self.signal(at + gap / 4, Program::ControlPlane, member, Signal::TERM);
        }
    }
}
