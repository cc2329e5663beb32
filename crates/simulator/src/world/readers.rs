//! Agents and proxies: mirrors and pullers, the code's own, on simulated links. Members have mirrors too, which they
//! keep by pulls from each other as well as by what their own ledgers show.

use super::{ms, What, World};
use crate::planted::Planted;
use control_plane::member::Output;
use protocol::{Addr, ControlPlaneInfo, Subscriber};
use rand_core::RngCore;
use replication::{Action, Mirror, Pull, Puller, Update, AGE_UNKNOWN, MEMBERS_PER_AGENT};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two heartbeats of a host.
const BEAT: Duration = Duration::from_millis(500);
/// Network numbers of agents' machines begin here.
pub(super) const AGENTS: usize = 100;
/// Members that a process is told of at its start.
const SEEDS: usize = 3;
/// What was acknowledged longer ago than this is in force at each agent in touch, in calm times.
const READ_BOUND: Duration = Duration::from_millis(2000);
/// After a fault has struck or healed, and after their own start, agents have this long to find their way.
const FIND_BOUND: Duration = Duration::from_millis(4000);

/// A process that pulls or is pulled from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Place {
    Member(usize),
    Agent(usize),
    Proxy(usize),
}

impl Place {
    /// Its machine on the network.
    fn machine(self) -> usize {
        match self {
            Self::Member(n) => n,
            Self::Agent(k) | Self::Proxy(k) => AGENTS + k,
        }
    }
}

/// What happens to a place.
#[derive(Debug)]
pub(super) enum Event {
    Tick,
    Connected(u64),
    Failed(u64),
    Pulled {
        from: Place,
        from_life: u32,
        link: u64,
        pull: Box<Pull>,
    },
    Update {
        link: u64,
        news: Box<Update>,
    },
    /// A pull has waited long enough.
    Waited(u64),
}

struct Waiting {
    number: u64,
    from: Place,
    from_life: u32,
    link: u64,
    pull: Pull,
}

/// A process that mirrors the control plane.
pub(super) struct Station {
    life: u32,
    since: Duration,
    mirror: Mirror,
    puller: Puller,
    caller: Subscriber,
    /// Where each open link leads.
    links: BTreeMap<u64, Place>,
    waiting: Vec<Waiting>,
    fleet: u64,
    tick_at: Duration,
    /// What it had in force after its latest event: number of the change, and version.
    seen: (u64, u64),
    shown_fleet: (u64, u64),
}

impl World<'_> {
    fn place_of(&self, addr: Addr) -> Option<Place> {
        let member = self
            .nodes
            .iter()
            .position(|n| n.seat.addr == addr)
            .map(Place::Member);
        let agent = (0..self.plan.agents)
            .find(|k| agent_addr(*k) == addr)
            .map(Place::Agent);
        member.or(agent)
    }

    /// Starts a process's mirror anew.
    pub(super) fn open_station(&mut self, place: Place) {
        let life = self.stations.get(&place).map_or(0, |s| s.life) + 1;
        let listed = self.nodes.iter().filter(|n| !n.gone).take(SEEDS);
        let seeds: Vec<Addr> = listed.map(|n| n.seat.addr).collect();
        let name = format!("{place:?}");
        let caller = Subscriber {
            name: name.clone(),
            ..Subscriber::default()
        };
        let (mirror, mut puller, seeds) = match place {
            Place::Member(n) => {
                let seat = &self.nodes[n].seat;
                (
                    Mirror::new(seat.id, BEAT),
                    Puller::new(&name, usize::MAX, Some(seat.addr)),
                    seeds,
                )
            }
            Place::Agent(_) => (
                Mirror::new(0, BEAT),
                Puller::new(&name, MEMBERS_PER_AGENT, None).led(),
                seeds,
            ),
            Place::Proxy(k) => (
                Mirror::new(0, BEAT).at_the_end(),
                Puller::new(&name, 1, None).fixed(),
                vec![agent_addr(k)],
            ),
        };
        puller.set_seeds(&seeds);
        let station = Station {
            life,
            since: self.now,
            mirror,
            puller,
            caller,
            links: BTreeMap::new(),
            waiting: Vec::new(),
            fleet: 0,
            tick_at: ms(0),
            seen: (0, 0),
            shown_fleet: (0, 0),
        };
        self.stations.insert(place, station);
        self.station_event(place, life, Event::Tick);
    }

    /// The process has ended.
    pub(super) fn close_station(&mut self, place: Place) {
        if let Some(station) = self.stations.get_mut(&place) {
            station.life += 1;
            station.links.clear();
            station.waiting.clear();
            station.puller = Puller::new("", 0, None);
        }
        // Its connections end, where the others hear of it.
        let broken: Vec<(Place, u32, u64)> = self
            .stations
            .iter()
            .flat_map(|(p, s)| {
                s.links
                    .iter()
                    .filter(|l| *l.1 == place)
                    .map(|l| (*p, s.life, *l.0))
            })
            .collect();
        for (other, life, link) in broken {
            if !self.is_cut(place, other) {
                let way = self.way();
                self.reach_station(way, other, life, Event::Failed(link));
            }
        }
    }

    fn is_running(&self, place: Place) -> bool {
        match place {
            Place::Member(n) => self.nodes[n].member.is_some(),
            Place::Agent(_) | Place::Proxy(_) => self.stations.contains_key(&place),
        }
    }

    fn is_cut(&self, from: Place, to: Place) -> bool {
        from.machine() != to.machine() && self.cut.contains_key(&(from.machine(), to.machine()))
    }

    /// The clock of a place's process.
    fn station_clock(&self, place: Place) -> Duration {
        match place {
            Place::Member(n) => self.clock(n),
            Place::Agent(_) | Place::Proxy(_) => self.now,
        }
    }

    /// Something reaches a place; while its process stands still it waits.
    fn reach_station(&mut self, delay: Duration, place: Place, life: u32, event: Event) {
        self.at(self.now + delay, 0, What::Station { place, life, event });
    }

    /// How long a message of a station is under way. Drawn apart from all else, so that what members do doesn't hang
    /// on how often they pull.
    fn way(&mut self) -> Duration {
        Duration::from_micros(300 + u64::from(self.station_rng.next_u32()) % 1000)
    }

    pub(super) fn station_event(&mut self, place: Place, life: u32, event: Event) {
        if !self.is_running(place) || self.stations.get(&place).is_none_or(|s| s.life != life) {
            return;
        }
        if let Place::Member(n) = place {
            if self.nodes[n].frozen {
                self.nodes[n]
                    .held_back
                    .push((0, What::Station { place, life, event }));
                return;
            }
        }
        let now = self.station_clock(place);
        let Some(station) = self.stations.get_mut(&place) else {
            return;
        };
        let before = station.mirror.generation();
        let actions = match event {
            Event::Tick => {
                station.mirror.tick(now);
                station.puller.tick(now)
            }
            Event::Connected(link) if station.links.contains_key(&link) => {
                if self.plan.planted == Planted::MirrorGoesBack && matches!(place, Place::Agent(_))
                {
                    station.mirror = Mirror::new(0, BEAT);
                }
                station.puller.connected(now, link)
            }
            Event::Failed(link) => {
                station.links.remove(&link);
                station.puller.failed(now, link)
            }
            Event::Update { link, news } if station.links.contains_key(&link) => {
                // Of a link that was given up nobody knows when it was asked.
                let news = match station.puller.asked(link) {
                    Some(asked) => news.aged(asked, now),
                    None => Update {
                        age_ms: AGE_UNKNOWN,
                        ..*news
                    },
                };
                let taken = station.mirror.apply(now, &news);
                station
                    .puller
                    .answered(now, link, news.member, news.age_ms, taken)
            }
            Event::Pulled {
                from,
                from_life,
                link,
                pull,
            } => {
                self.pulled(place, from, from_life, link, *pull);
                Vec::new()
            }
            Event::Waited(number) => {
                self.waited(place, number);
                Vec::new()
            }
            Event::Connected(_) | Event::Update { .. } => Vec::new(),
        };
        self.check_forward(place);
        self.act(place, actions);
        self.follow_up(place, before);
    }

    /// What a process has in force never goes back while it lives.
    fn check_forward(&mut self, place: Place) {
        let Some(station) = self.stations.get_mut(&place) else {
            return;
        };
        let now = (station.mirror.ledger(), station.mirror.document().version);
        let before = std::mem::replace(&mut station.seen, now);
        if now.0 < before.0 || now.1 < before.1 {
            self.breach(0, format!("{place:?} went back from {before:?} to {now:?}"));
        }
    }

    /// What follows each event: pulls that waited are answered, the puller hears of members, the next tick is set.
    fn follow_up(&mut self, place: Place, before: u64) {
        let now = self.station_clock(place);
        let Some(station) = self.stations.get_mut(&place) else {
            return;
        };
        if station.mirror.generation() != before {
            let mark = station.mirror.fleet().version;
            if mark != station.fleet {
                station.fleet = mark;
                let members: Vec<Addr> = station
                    .mirror
                    .fleet()
                    .members
                    .iter()
                    .map(|s| s.addr)
                    .collect();
                station.puller.set_members(members);
            }
            let waiting = std::mem::take(&mut station.waiting);
            for waits in waiting {
                self.pulled_again(place, waits);
            }
        }
        let Some(station) = self.stations.get_mut(&place) else {
            return;
        };
        let actions = station.puller.tick(now);
        self.act(place, actions);
        let Some(station) = self.stations.get_mut(&place) else {
            return;
        };
        let next = station
            .puller
            .next_tick()
            .unwrap_or(now + ms(1000))
            .max(now + ms(1))
            .min(now + ms(1000));
        if station.tick_at <= now || next < station.tick_at {
            station.tick_at = next;
            let life = station.life;
            let delay = match place {
                Place::Member(n) => self.true_delay(n, next - now),
                Place::Agent(_) | Place::Proxy(_) => next - now,
            };
            self.reach_station(delay, place, life, Event::Tick);
        }
    }

    fn act(&mut self, place: Place, actions: Vec<Action>) {
        for action in actions {
            let Some(station) = self.stations.get(&place) else {
                return;
            };
            let life = station.life;
            match action {
                Action::Connect { link, addr } => {
                    let Some(to) = self.place_of(addr) else {
                        continue;
                    };
                    if self.is_cut(place, to) || self.is_cut(to, place) {
                        continue;
                    }
                    let back = self.way() * 2;
                    let event = if self.is_running(to) {
                        Event::Connected(link)
                    } else {
                        Event::Failed(link)
                    };
                    if let Some(station) = self.stations.get_mut(&place) {
                        station.links.insert(link, to);
                    }
                    self.reach_station(back, place, life, event);
                }
                Action::Pull { link, wait_ms } => {
                    let Some(to) = station.links.get(&link).copied() else {
                        continue;
                    };
                    let pull = Box::new(station.mirror.pull(&station.caller, wait_ms));
                    let to_life = self.stations.get(&to).map_or(0, |s| s.life);
                    if !self.is_cut(place, to) {
                        let way = self.way();
                        let event = Event::Pulled {
                            from: place,
                            from_life: life,
                            link,
                            pull,
                        };
                        self.reach_station(way, to, to_life, event);
                    }
                }
                Action::Close { link } => {
                    if let Some(station) = self.stations.get_mut(&place) {
                        station.links.remove(&link);
                    }
                }
            }
        }
    }

    /// A pull has come: it is answered at once where there are news, else it waits.
    fn pulled(&mut self, place: Place, from: Place, from_life: u32, link: u64, pull: Pull) {
        self.numbers += 1;
        let waits = Waiting {
            number: self.numbers,
            from,
            from_life,
            link,
            pull,
        };
        let (number, wait) = (waits.number, ms(waits.pull.wait_ms.into()));
        let life = self.stations.get(&place).map_or(0, |s| s.life);
        if !self.pulled_again(place, waits) {
            self.reach_station(wait, place, life, Event::Waited(number));
        }
    }

    /// Whether a pull could be answered by news.
    fn pulled_again(&mut self, place: Place, waits: Waiting) -> bool {
        let now = self.station_clock(place);
        let Some(station) = self.stations.get_mut(&place) else {
            return true;
        };
        if let Some(news) = station.mirror.news_for(now, &waits.pull) {
            self.answer_pull(place, &waits, news);
            true
        } else {
            station.waiting.push(waits);
            false
        }
    }

    fn waited(&mut self, place: Place, number: u64) {
        let now = self.station_clock(place);
        let Some(station) = self.stations.get_mut(&place) else {
            return;
        };
        let Some(index) = station.waiting.iter().position(|w| w.number == number) else {
            return;
        };
        let waits = station.waiting.swap_remove(index);
        let news = station.mirror.no_news(now);
        self.answer_pull(place, &waits, news);
    }

    fn answer_pull(&mut self, place: Place, waits: &Waiting, news: Update) {
        if self.is_cut(place, waits.from) {
            return;
        }
        let way = self.way();
        let event = Event::Update {
            link: waits.link,
            news: Box::new(news),
        };
        self.reach_station(way, waits.from, waits.from_life, event);
    }

    /// A member's process tells its mirror what its state machine asked for, as the process in service does.
    pub(super) fn station_hears(&mut self, n: usize, output: &Output) {
        let Some(station) = self.stations.get_mut(&Place::Member(n)) else {
            return;
        };
        let before = station.mirror.generation();
        if let Output::PublishState {
            index,
            configuration,
            drains,
        }
        | Output::RestoreState {
            index,
            configuration,
            drains,
        } = output
        {
            station
                .mirror
                .set_ledger(*index, configuration.clone(), drains);
            self.follow_up(Place::Member(n), before);
        }
    }

    /// After each step of a member, its mirror hears who is in the control plane and how fresh its ledger is.
    pub(super) fn station_shows(&mut self, n: usize) {
        let now = self.clock(n);
        let node = &self.nodes[n];
        let Some(member) = node.member.as_ref() else {
            return;
        };
        let Some(station) = self.stations.get_mut(&Place::Member(n)) else {
            return;
        };
        let Some(view) = member.membership().filter(|v| v.epoch > 0) else {
            return;
        };
        let before = station.mirror.generation();
        if station.shown_fleet != (view.epoch, view.primary) {
            station.shown_fleet = (view.epoch, view.primary);
            station
                .mirror
                .set_fleet(view.epoch, view.primary, view.voters.clone());
        }
        if let Some(proof) = member
            .primary_contact(now)
            .filter(|proof| station.mirror.ledger() >= proof.commit_index)
        {
            station.mirror.proved(proof.at);
        }
        if station.mirror.generation() != before {
            self.follow_up(Place::Member(n), before);
        }
    }

    /// Before a command: the member hears from its mirror who the primary is.
    pub(super) fn member_learns(&mut self, n: usize) {
        let Some(station) = self.stations.get(&Place::Member(n)) else {
            return;
        };
        let ControlPlaneInfo {
            epoch,
            primary,
            members,
            ..
        } = station.mirror.fleet();
        if let (Some(primary), Some(member)) = (
            members.iter().find(|s| s.id == *primary),
            self.nodes[n].member.as_mut(),
        ) {
            member.learn_primary(*epoch, primary.clone());
        }
    }

    /// What agents and proxies have in force: never other than what was acknowledged under
    /// that number, and in calm times nothing that was acknowledged a while ago is missing.
    pub(super) fn check_readers(&mut self) {
        let readers: Vec<Place> = self
            .stations
            .keys()
            .copied()
            .filter(|p| !matches!(p, Place::Member(_)))
            .collect();
        let old = self.now.saturating_sub(READ_BOUND);
        while self
            .orders
            .acknowledged_at
            .get(1)
            .is_some_and(|a| a.0 <= old)
        {
            self.orders.acknowledged_at.pop_front();
        }
        let bound = self
            .orders
            .acknowledged_at
            .front()
            .filter(|a| a.0 <= old)
            .map_or(0, |a| a.1);
        for place in readers {
            let Some(station) = self.stations.get(&place) else {
                continue;
            };
            let (now, since) = (
                (station.mirror.ledger(), station.mirror.document().version),
                station.since,
            );
            let document = self.stations[&place].mirror.document().clone();
            if !self.orders.is_shown(now.0, &document) {
                self.breach(
                    0,
                    format!("{place:?} has {now:?}, which is not what was shown"),
                );
            }
            let in_touch = !self
                .cut
                .keys()
                .any(|w| w.0 == place.machine() || w.1 == place.machine());
            let calm =
                self.now.saturating_sub(self.calm_since.max(since)) > FIND_BOUND + READ_BOUND;
            if calm && in_touch && !self.plan.safety_only && now.1 < bound {
                self.breach(
                    0,
                    format!(
                        "{place:?} has {} while {bound} was acknowledged before {old:?}",
                        now.1
                    ),
                );
            }
        }
    }

    /// An agent's process is killed and starts again with nothing that it knew.
    pub(super) fn restart_agent(&mut self, k: usize, back: Duration) {
        if k < self.plan.agents {
            self.close_station(Place::Agent(k));
            self.at(self.now + back, 0, What::OpenStation(Place::Agent(k)));
        }
    }
}

fn agent_addr(k: usize) -> Addr {
    Addr {
        ip: 0x7f00_0001 + k as u32,
        port: 7661,
    }
}
