//! Who is pulled from, and when: a state machine without I/O.

use crate::rendezvous::ranked;
use crate::transitions::PullSummary;
use protocol::Addr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many members an agent pulls from.
pub const MEMBERS_PER_AGENT: usize = 3;
/// How long a pull waits for news, in ms.
pub const PULL_WAIT_MS: u32 = 1000;
/// How often the members beside the leading one are asked what that one hasn't told.
pub const STANDBY_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Pause after news for each coordinator that pulls, and the longest: what comes meanwhile comes together, so that
/// the members' work grows as the coordinators and not as these times what changes.
pub const PACE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(200));
/// How much longer than [`PULL_WAIT_MS`] an answer may take.
pub const ANSWER_SLACK: Duration = Duration::from_millis(700);
/// How long a connection may take to come up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// From this age on a member counts as cut off from the primary, in ms.
pub const STALE_AGE_MS: u32 = 1500;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
/// Pause after an answer that came early and told nothing new.
const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(50);

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Connect {
        /// The link's number, never used twice.
        link: u64,
        /// Where to.
        addr: Addr,
    },
    /// Send a pull.
    Pull {
        /// The link.
        link: u64,
        /// How long its answer may wait for news, in ms.
        wait_ms: u32,
    },
    /// Close the connection, or give up opening it.
    Close {
        /// The link.
        link: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Not connected; tries again at this time.
    Down(Duration),
    /// Connecting until this time.
    Connecting(Duration),
    /// Waiting for an answer until this time.
    Polling(Duration),
    /// Connected; pulls again at this time.
    Resting(Duration),
}

#[derive(Debug)]
struct Link {
    number: u64,
    phase: Phase,
    backoff: Duration,
    /// Whether it has answered since it came up.
    heard: bool,
    dead: bool,
    stale: bool,
    member: u64,
    /// When the pull left that is out, or was last.
    asked: Duration,
}

impl Link {
    fn leads(&self) -> bool {
        self.heard
            && !self.dead
            && !self.stale
            && matches!(self.phase, Phase::Polling(_) | Phase::Resting(_))
    }
}

/// Picks the members to pull from and keeps one pull outstanding at each; see [`Puller::led`] for fewer.
#[derive(Debug)]
pub struct Puller {
    name: String,
    watched: usize,
    wait: Duration,
    own: Option<Addr>,
    fixed: bool,
    led: bool,
    pace: Duration,
    seeds: Vec<Addr>,
    learnt: Vec<Addr>,
    order: Vec<Addr>,
    links: BTreeMap<Addr, Link>,
    numbers: u64,
}

impl Puller {
    /// For the process `name`, which pulls from `watched` members and never from `own`.
    pub fn new(name: &str, watched: usize, own: Option<Addr>) -> Self {
        Self {
            name: name.to_owned(),
            watched,
            wait: Duration::from_millis(PULL_WAIT_MS.into()),
            own,
            fixed: false,
            led: false,
            pace: Duration::ZERO,
            seeds: Vec::new(),
            learnt: Vec::new(),
            order: Vec::new(),
            links: BTreeMap::new(),
            numbers: 0,
        }
    }

    /// One that keeps to its seeds, whatever members it hears of: a proxy's, whose seed is its agent.
    pub fn seeds_only(mut self) -> Self {
        self.fixed = true;
        self
    }

    /// One that waits for news at one member only, the leading one: the first in its order that answers and
    /// isn't cut off. The others are asked every [`STANDBY_POLL_INTERVAL`] what the leading one hasn't told yet, so that news come
    /// once, and a leading one that is frozen or behind holds nobody back for longer.
    pub fn preferring_one_member(mut self) -> Self {
        self.led = true;
        self
    }

    /// Takes how many coordinators pull now.
    pub fn set_coordinators(&mut self, coordinators: usize) {
        if !self.fixed {
            let coordinators = u32::try_from(coordinators).unwrap_or(u32::MAX);
            self.pace = PACE.0.saturating_mul(coordinators).min(PACE.1);
        }
    }

    /// Some bytes of an answer came: who is slow isn't silent.
    pub fn partial_answer(&mut self, now: Duration, link: u64) {
        if let Some((_, known)) = self.of(link) {
            if let Phase::Polling(until) = &mut known.phase {
                *until = (*until).max(now + ANSWER_SLACK);
            }
        }
    }

    /// When the pull left that is out at a link.
    pub fn pull_sent_at(&self, link: u64) -> Option<Duration> {
        let known = self.links.values().find(|l| l.number == link)?;
        matches!(known.phase, Phase::Polling(_)).then_some(known.asked)
    }

    /// Whether all members that are known have answered, and each is cut off from a primary: nobody is left who
    /// could tell better.
    pub fn all_members_stale(&self) -> bool {
        let cut_off = |l: &Link| l.heard && !l.dead && l.stale;
        !self.order.is_empty()
            && self
                .order
                .iter()
                .all(|a| self.links.get(a).is_some_and(cut_off))
    }

    /// The leading member's address; none where news are waited for at all members.
    fn leader(&self) -> Option<Addr> {
        let mut order = self.order.iter().filter(|_| self.led);
        order
            .find(|a| self.links.get(a).is_some_and(Link::leads))
            .copied()
    }

    /// Whether news are waited for at one member only.
    pub fn prefers_one_member(&self) -> bool {
        self.led
    }

    /// At whom news are waited for now, in short.
    pub fn summary(&self) -> PullSummary {
        let answers = |l: &&Link| l.heard && !l.dead;
        let stale = self
            .links
            .values()
            .filter(answers)
            .filter(|l| l.stale)
            .count();
        PullSummary {
            leader: self.leader(),
            stale,
        }
    }

    fn pull(&mut self, now: Duration, addr: Addr, waits: bool) -> Option<Action> {
        let wait = if waits { self.wait } else { Duration::ZERO };
        let link = self.links.get_mut(&addr)?;
        link.phase = Phase::Polling(now + wait + ANSWER_SLACK);
        link.asked = now;
        Some(Action::Pull {
            link: link.number,
            wait_ms: wait.as_millis() as u32,
        })
    }

    /// Takes the seeds' addresses, as the settings have them now; [`Puller::tick`] acts on it.
    pub fn set_seeds(&mut self, seeds: &[Addr]) {
        self.seeds = seeds.to_vec();
        self.reorder();
    }

    /// Takes the members' addresses, as the fleet has them now; none is taken for no word. [`Puller::tick`]
    /// acts on it.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Addr>) {
        let members: Vec<Addr> = members.into_iter().filter(|a| a.port != 0).collect();
        if !self.fixed && !members.is_empty() && members != self.learnt {
            self.learnt = members;
            self.reorder();
        }
    }

    fn reorder(&mut self) {
        let all: BTreeSet<Addr> = self
            .seeds
            .iter()
            .chain(&self.learnt)
            .copied()
            .filter(|a| Some(*a) != self.own)
            .collect();
        self.order = ranked(&self.name, all, |a| {
            let mut bytes = a.ip.to_be_bytes().to_vec();
            bytes.extend(a.port.to_be_bytes());
            bytes
        });
    }

    /// A connection came up.
    pub fn connected(&mut self, now: Duration, link: u64) -> Vec<Action> {
        let Some((addr, known)) = self.of(link) else {
            return Vec::new();
        };
        known.heard = false;
        let waits = self.leader().is_none();
        self.pull(now, addr, waits).into_iter().collect()
    }

    /// A connection failed, or ended.
    pub fn failed(&mut self, now: Duration, link: u64) -> Vec<Action> {
        let Some((addr, _)) = self.of(link) else {
            return Vec::new();
        };
        self.fail(now, addr);
        self.tick(now)
    }

    /// An answer came from `member`; `taken`: the mirror took something from it.
    pub fn answered(
        &mut self,
        now: Duration,
        link: u64,
        member: u64,
        age_ms: u32,
        taken: bool,
    ) -> Vec<Action> {
        let pace = self.pace;
        let Some((addr, known)) = self.of(link) else {
            return Vec::new();
        };
        let Phase::Polling(until) = known.phase else {
            return Vec::new();
        };
        (known.dead, known.heard, known.backoff, known.member) =
            (false, true, INITIAL_BACKOFF, member);
        known.stale = age_ms > STALE_AGE_MS;
        let early = now + ANSWER_SLACK + EARLY_ANSWER_PAUSE < until;
        known.phase = Phase::Resting(
            now + if early && !taken {
                EARLY_ANSWER_PAUSE.max(pace)
            } else if taken {
                pace
            } else {
                Duration::ZERO
            },
        );
        if self.leader().is_some_and(|leader| leader != addr) {
            self.rest(addr, now + STANDBY_POLL_INTERVAL);
        }
        self.tick(now)
    }

    fn rest(&mut self, addr: Addr, until: Duration) {
        if let Some(link) = self.links.get_mut(&addr) {
            link.phase = Phase::Resting(until);
        }
    }

    fn of(&mut self, number: u64) -> Option<(Addr, &mut Link)> {
        let found = self
            .links
            .iter_mut()
            .find(|(_, l)| l.number == number && !matches!(l.phase, Phase::Down(_)));
        found.map(|(addr, link)| (*addr, link))
    }

    fn fail(&mut self, now: Duration, addr: Addr) {
        if let Some(link) = self.links.get_mut(&addr) {
            link.phase = Phase::Down(now + link.backoff);
            link.backoff = (link.backoff * 2).min(MAX_BACKOFF);
            link.dead = true;
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let late =
            |phase: Phase| matches!(phase, Phase::Connecting(t) | Phase::Polling(t) if now >= t);
        let failed: Vec<Addr> = self
            .links
            .iter()
            .filter(|(_, l)| late(l.phase))
            .map(|(a, _)| *a)
            .collect();
        for addr in failed {
            if let Some(link) = self.links.get(&addr) {
                actions.push(Action::Close { link: link.number });
            }
            self.fail(now, addr);
        }
        // The first in the order, until enough of them are well.
        let mut picked = BTreeSet::new();
        let mut well = 0;
        for addr in &self.order {
            if well >= self.watched {
                break;
            }
            picked.insert(*addr);
            well += usize::from(self.links.get(addr).is_none_or(|l| !l.dead && !l.stale));
        }
        self.links.retain(|addr, link| {
            let keep = picked.contains(addr);
            if !keep && !matches!(link.phase, Phase::Down(_)) {
                actions.push(Action::Close { link: link.number });
            }
            keep
        });
        let (leader, mut due) = (self.leader(), Vec::new());
        // One that has just come to lead waits for news from now on.
        let takes_over =
            |addr, at| Some(addr) == leader && at > now + EARLY_ANSWER_PAUSE.max(self.pace);
        for addr in picked {
            let link = self.links.entry(addr).or_insert(Link {
                number: 0,
                phase: Phase::Down(now),
                backoff: INITIAL_BACKOFF,
                heard: false,
                dead: false,
                stale: false,
                member: 0,
                asked: now,
            });
            match link.phase {
                Phase::Down(at) if now >= at => {
                    self.numbers += 1;
                    link.number = self.numbers;
                    link.phase = Phase::Connecting(now + CONNECT_TIMEOUT);
                    actions.push(Action::Connect {
                        link: link.number,
                        addr,
                    });
                }
                Phase::Resting(at) if now >= at || takes_over(addr, at) => due.push(addr),
                _ => {}
            }
        }
        for addr in due {
            let waits = leader.is_none_or(|leader| leader == addr);
            actions.extend(self.pull(now, addr, waits));
        }
        actions
    }

    /// When [`Puller::tick`] next has something to do.
    pub fn next_tick(&self) -> Option<Duration> {
        let at = |l: &Link| match l.phase {
            Phase::Down(t) | Phase::Connecting(t) | Phase::Polling(t) | Phase::Resting(t) => t,
        };
        self.links.values().map(at).min()
    }

    /// Members that answer, by address; the identity is 0 for an agent.
    pub fn answering_members(&self) -> impl Iterator<Item = (Addr, u64)> + '_ {
        let alive = self
            .links
            .iter()
            .filter(|(_, l)| !l.dead && matches!(l.phase, Phase::Polling(_) | Phase::Resting(_)));
        alive.map(|(addr, link)| (*addr, link.member))
    }
}
