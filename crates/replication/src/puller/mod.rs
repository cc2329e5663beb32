//! Puller: decides which members to pull from, and when. A state machine without I/O.

mod link;

use crate::timing::{
    ANSWER_SLACK, CONNECT_TIMEOUT, EARLY_ANSWER_PAUSE, INITIAL_BACKOFF, MAX_BACKOFF, PULL_WAIT_MS,
    STALE_AGE_MS, STANDBY_POLL_INTERVAL, UPDATE_PAUSE,
};
use link::{Link, Phase};
use protocol::Addr;
use rendezvous::ranked;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Action that the client must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Connect {
        /// Number of the new link, never reused.
        link: u64,
        /// Address of the member.
        addr: Addr,
    },
    /// Send a pull.
    Pull {
        /// Number of the link.
        link: u64,
        /// Longest time for which the answer may wait for an update, in ms.
        wait_ms: u32,
    },
    /// Close the connection, or abort opening it.
    Close {
        /// Number of the link.
        link: u64,
    },
}

/// Sources of a puller's updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PullSummary {
    /// Address of the preferred member; `None` if no member that answers is in contact with a primary.
    pub preferred: Option<Addr>,
    /// Number of members that answer without contact with a primary.
    pub stale: usize,
}

/// Selection of the members to pull from, by rendezvous hashing. One pull waits at each of them; with
/// [`Puller::preferring_one_member`], at one of them only.
#[derive(Debug)]
pub struct Puller {
    name: String,
    member_count: usize,
    pull_wait: Duration,
    own_addr: Option<Addr>,
    seeds_only: bool,
    prefers_one: bool,
    /// Pause after an update, which depends on the number of coordinators.
    update_pause: Duration,
    seeds: Vec<Addr>,
    /// Addresses of the members, once they are known.
    members: Vec<Addr>,
    /// All candidates, in order of preference.
    candidates: Vec<Addr>,
    links: BTreeMap<Addr, Link>,
    last_link_number: u64,
}

impl Puller {
    /// Creates the puller of the process `name`, which pulls from `member_count` members and never from `own_addr`.
    pub fn new(name: &str, member_count: usize, own_addr: Option<Addr>) -> Self {
        Self {
            name: name.to_owned(),
            member_count,
            pull_wait: Duration::from_millis(PULL_WAIT_MS.into()),
            own_addr,
            seeds_only: false,
            prefers_one: false,
            update_pause: Duration::ZERO,
            seeds: Vec::new(),
            members: Vec::new(),
            candidates: Vec::new(),
            links: BTreeMap::new(),
            last_link_number: 0,
        }
    }

    /// Restricts the puller to the seeds, whatever members become known. For a proxy, whose seed is its agent.
    pub fn seeds_only(mut self) -> Self {
        self.seeds_only = true;
        self
    }

    /// Lets pulls wait at one member only: the preferred one, which is the first in order of preference that answers
    /// and is in contact with a primary. The others are polled every [`STANDBY_POLL_INTERVAL`] for updates that it
    /// hasn't sent. Updates thus arrive once, and a preferred member that is frozen or behind delays them by no more
    /// than that interval.
    pub fn preferring_one_member(mut self) -> Self {
        self.prefers_one = true;
        self
    }

    /// Sets the number of coordinators that pull now, which determines the pause after an update.
    pub fn set_coordinators(&mut self, coordinators: usize) {
        if !self.seeds_only {
            self.update_pause = UPDATE_PAUSE.for_coordinators(coordinators);
        }
    }

    /// Handles the arrival of some bytes of an answer, which gives the answer more time.
    pub fn partial_answer(&mut self, now: Duration, link: u64) {
        if let Some((_, open_link)) = self.open_link(link) {
            if let Phase::Polling(until) = &mut open_link.phase {
                *until = (*until).max(now + ANSWER_SLACK);
            }
        }
    }

    /// Returns the time at which the outstanding pull of a link was sent; `None` if there is none.
    pub fn pull_sent_at(&self, link: u64) -> Option<Duration> {
        let found = self.links.values().find(|found| found.number == link)?;
        matches!(found.phase, Phase::Polling(_)).then_some(found.pulled_at)
    }

    /// Whether all known members have answered and none is in contact with a primary, so that none can confirm a newer
    /// state.
    pub fn all_members_stale(&self) -> bool {
        let is_stale = |link: &Link| link.answers() && link.stale;
        !self.candidates.is_empty()
            && self
                .candidates
                .iter()
                .all(|addr| self.links.get(addr).is_some_and(is_stale))
    }

    /// Returns the preferred member's address; `None` if there is none, so that pulls wait at all members.
    fn preferred(&self) -> Option<Addr> {
        if !self.prefers_one {
            return None;
        }
        let can_be_preferred =
            |addr: &&Addr| self.links.get(*addr).is_some_and(Link::can_be_preferred);
        self.candidates.iter().find(can_be_preferred).copied()
    }

    /// Whether pulls wait at one member only.
    pub fn prefers_one_member(&self) -> bool {
        self.prefers_one
    }

    /// Returns the current sources of updates.
    pub fn summary(&self) -> PullSummary {
        let is_stale = |link: &&Link| link.answers() && link.stale;
        PullSummary {
            preferred: self.preferred(),
            stale: self.links.values().filter(is_stale).count(),
        }
    }

    fn pull(&mut self, now: Duration, addr: Addr, is_long_poll: bool) -> Option<Action> {
        let wait = if is_long_poll {
            self.pull_wait
        } else {
            Duration::ZERO
        };
        let link = self.links.get_mut(&addr)?;
        link.phase = Phase::Polling(now + wait + ANSWER_SLACK);
        link.pulled_at = now;
        Some(Action::Pull {
            link: link.number,
            wait_ms: wait.as_millis() as u32,
        })
    }

    /// Sets the seeds' addresses. [`Puller::tick`] acts on them.
    pub fn set_seeds(&mut self, seeds: &[Addr]) {
        self.seeds = seeds.to_vec();
        self.rank_candidates();
    }

    /// Sets the members' addresses. An empty list changes nothing. [`Puller::tick`] acts on them.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Addr>) {
        let members: Vec<Addr> = members.into_iter().filter(|addr| addr.port != 0).collect();
        if !self.seeds_only && !members.is_empty() && members != self.members {
            self.members = members;
            self.rank_candidates();
        }
    }

    fn rank_candidates(&mut self) {
        let known_addrs: BTreeSet<Addr> = self
            .seeds
            .iter()
            .chain(&self.members)
            .copied()
            .filter(|addr| Some(*addr) != self.own_addr)
            .collect();
        self.candidates = ranked(&self.name, known_addrs, |addr| {
            let mut bytes = addr.ip.to_be_bytes().to_vec();
            bytes.extend(addr.port.to_be_bytes());
            bytes
        });
    }

    /// Handles an established connection.
    pub fn connected(&mut self, now: Duration, link: u64) -> Vec<Action> {
        let Some((addr, open_link)) = self.open_link(link) else {
            return Vec::new();
        };
        open_link.answered = false;
        let is_long_poll = self.preferred().is_none();
        self.pull(now, addr, is_long_poll).into_iter().collect()
    }

    /// Handles a connection that failed or ended.
    pub fn failed(&mut self, now: Duration, link: u64) -> Vec<Action> {
        let Some((addr, _)) = self.open_link(link) else {
            return Vec::new();
        };
        self.back_off(now, addr);
        self.tick(now)
    }

    /// Handles an answer of this age from a member. `applied` says whether something in it was new to the mirror.
    pub fn answered(
        &mut self,
        now: Duration,
        link: u64,
        member_id: u64,
        age_ms: u32,
        applied: bool,
    ) -> Vec<Action> {
        let update_pause = self.update_pause;
        let Some((addr, open_link)) = self.open_link(link) else {
            return Vec::new();
        };
        let Phase::Polling(until) = open_link.phase else {
            return Vec::new();
        };
        open_link.failed = false;
        open_link.answered = true;
        open_link.backoff = INITIAL_BACKOFF;
        open_link.member_id = member_id;
        open_link.stale = age_ms > STALE_AGE_MS;
        let is_early = now + ANSWER_SLACK + EARLY_ANSWER_PAUSE < until;
        let pause = match (applied, is_early) {
            (true, _) => update_pause,
            (false, true) => EARLY_ANSWER_PAUSE.max(update_pause),
            (false, false) => Duration::ZERO,
        };
        open_link.phase = Phase::Idle(now + pause);
        if self.preferred().is_some_and(|preferred| preferred != addr) {
            self.idle_until(addr, now + STANDBY_POLL_INTERVAL);
        }
        self.tick(now)
    }

    fn idle_until(&mut self, addr: Addr, until: Duration) {
        if let Some(link) = self.links.get_mut(&addr) {
            link.phase = Phase::Idle(until);
        }
    }

    /// Returns the link with this number, if it is connecting or connected.
    fn open_link(&mut self, number: u64) -> Option<(Addr, &mut Link)> {
        let found = self
            .links
            .iter_mut()
            .find(|(_, link)| link.number == number && !matches!(link.phase, Phase::Down(_)));
        found.map(|(addr, link)| (*addr, link))
    }

    fn back_off(&mut self, now: Duration, addr: Addr) {
        if let Some(link) = self.links.get_mut(&addr) {
            link.phase = Phase::Down(now + link.backoff);
            link.backoff = (link.backoff * 2).min(MAX_BACKOFF);
            link.failed = true;
        }
    }

    /// Performs what is due, and returns the resulting actions.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.close_timed_out(now);
        let picked = self.pick_members();
        actions.extend(self.close_all_but(&picked));
        let preferred = self.preferred();
        let mut due = Vec::new();
        for addr in picked {
            let is_preferred = Some(addr) == preferred;
            let pause = EARLY_ANSWER_PAUSE.max(self.update_pause);
            let link = self.links.entry(addr).or_insert_with(|| Link::new(now));
            match link.phase {
                Phase::Down(at) if now >= at => {
                    self.last_link_number += 1;
                    link.number = self.last_link_number;
                    link.phase = Phase::Connecting(now + CONNECT_TIMEOUT);
                    actions.push(Action::Connect {
                        link: link.number,
                        addr,
                    });
                }
                // A standby that has become the preferred member pulls before its scheduled time.
                Phase::Idle(at) if now >= at || (is_preferred && at > now + pause) => {
                    due.push(addr);
                }
                _ => {}
            }
        }
        for addr in due {
            let is_long_poll = preferred.is_none_or(|preferred| preferred == addr);
            actions.extend(self.pull(now, addr, is_long_poll));
        }
        actions
    }

    /// Closes links whose connection attempt or answer has taken too long.
    fn close_timed_out(&mut self, now: Duration) -> Vec<Action> {
        let mut timed_out = Vec::new();
        for (addr, link) in &self.links {
            if link.phase.is_timed_out(now) {
                timed_out.push((*addr, link.number));
            }
        }
        let mut actions = Vec::new();
        for (addr, link) in timed_out {
            actions.push(Action::Close { link });
            self.back_off(now, addr);
        }
        actions
    }

    /// Selects the members to pull from: the first in order of preference, until enough of them are healthy.
    fn pick_members(&self) -> BTreeSet<Addr> {
        let mut picked = BTreeSet::new();
        let mut healthy = 0;
        for addr in &self.candidates {
            if healthy >= self.member_count {
                break;
            }
            picked.insert(*addr);
            let link = self.links.get(addr);
            healthy += usize::from(link.is_none_or(|link| !link.failed && !link.stale));
        }
        picked
    }

    /// Closes and drops the links to all other members.
    fn close_all_but(&mut self, picked: &BTreeSet<Addr>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.links.retain(|addr, link| {
            let is_picked = picked.contains(addr);
            if !is_picked && !matches!(link.phase, Phase::Down(_)) {
                actions.push(Action::Close { link: link.number });
            }
            is_picked
        });
        actions
    }

    /// Returns the time at which [`Puller::tick`] next has something to do.
    pub fn next_tick(&self) -> Option<Duration> {
        self.links.values().map(|link| link.phase.deadline()).min()
    }

    /// Returns the addresses and ids of the members that answer; the id of an agent is 0.
    pub fn answering_members(&self) -> impl Iterator<Item = (Addr, u64)> + '_ {
        self.links
            .iter()
            .filter(|(_, link)| !link.failed && link.is_connected())
            .map(|(addr, link)| (*addr, link.member_id))
    }
}
