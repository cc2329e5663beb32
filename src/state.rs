//! What a router remembers: plain containers, running figures and look-ups. Nothing here decides anything.

use crate::counters::Pool;
use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A duration in seconds, as the module counts.
pub(crate) fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// Seconds as a duration for an action: never negative, within what a timer takes.
pub(crate) fn duration(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 4000.0))
}

/// Eligibility of a server for a send, best first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(crate) enum Standing {
    Sound,
    Trial,
    Leaving,
    LastHope,
}

/// What a send is for.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Why {
    /// A first try or a retry, with no other attempt out.
    Try,
    /// A second copy because the first one's server turned unsound.
    Rescue,
    /// A second copy because the first is late.
    Hedge,
}

/// How a server does for one class.
#[derive(Clone, Default)]
pub(crate) struct Sick {
    /// Share of its latest answers that were failures, and when the last one came.
    pub(crate) bad: f64,
    pub(crate) failed_at: f64,
    /// Once it is left: until when, and for how long at a time.
    pub(crate) until: f64,
    pub(crate) gap: f64,
}

pub(crate) struct Server {
    /// By class.
    pub(crate) sick: Vec<Sick>,
    pub(crate) zone: ZoneId,
    pub(crate) cell: u32,
    pub(crate) state: ServerState,
    pub(crate) boot: Option<f64>,
    /// Start of a slow start, while one may be under way.
    pub(crate) cold_since: Option<f64>,
    /// When the own parts that are out were sent, oldest first; and their recent mean.
    pub(crate) outs: VecDeque<f64>,
    pub(crate) own_mean: f64,
    pub(crate) own_at: f64,
    /// Load from elsewhere by its latest report, and the time of that; and when other routers last told it.
    pub(crate) others: f64,
    pub(crate) reported: f64,
    pub(crate) told_at: f64,
    /// Entries in the idle queue and the time of the report they come from.
    pub(crate) entries: u32,
    pub(crate) listed_at: f64,
    /// Set once it is ejected: when single parts may try it again; good answers since, and relapses.
    pub(crate) out_until: Option<f64>,
    pub(crate) good: f64,
    pub(crate) relapses: f64,
    pub(crate) ejected_at: f64,
    /// Share of its latest answers that were failures, and when the last one came.
    pub(crate) bad: f64,
    pub(crate) failed_at: f64,
    /// When a connection to it last broke under a part, and when one was refused after that.
    pub(crate) reset_at: f64,
    pub(crate) died_at: f64,
    /// Own parts that it may hold: it turned away what went beyond.
    pub(crate) room: f64,
    /// What of it must come free before it gets parts again, once it was all taken: they then share a call.
    pub(crate) brim: f64,
    /// Until when it gets nothing, as it turned our only part away; and how long that is at a time.
    pub(crate) shut_until: f64,
    pub(crate) shut_gap: f64,
    /// Whether it refused the last connection.
    pub(crate) refused: bool,
    /// When its drain was told.
    pub(crate) left_at: f64,
    /// Whether it was unreachable or silent rather than failing.
    pub(crate) unreached: bool,
    pub(crate) probing: bool,
    pub(crate) heard: f64,
    pub(crate) last_send: f64,
    /// While it is cold: when its latest slot was, whether used or not.
    pub(crate) slot_at: f64,
    /// Its part times over what its load lets expect, and when that was learned.
    pub(crate) slow: f64,
    pub(crate) slow_at: f64,
}

impl Server {
    /// A server not heard of before, as yet in no list.
    pub(crate) fn new(entry: &ServerEntry, now: f64, classes: usize) -> Self {
        Self {
            sick: vec![Sick::default(); classes],
            zone: entry.zone,
            cell: entry.cell,
            state: ServerState::Gone,
            boot: None,
            cold_since: None,
            outs: VecDeque::new(),
            own_mean: 0.0,
            own_at: now,
            others: 0.0,
            reported: f64::MIN,
            told_at: f64::MIN,
            entries: 0,
            listed_at: now,
            out_until: None,
            good: 0.0,
            relapses: 0.0,
            ejected_at: f64::MIN,
            bad: 0.0,
            failed_at: f64::MIN,
            reset_at: f64::MIN,
            died_at: f64::MIN,
            room: f64::MAX,
            brim: 0.0,
            shut_until: f64::MIN,
            shut_gap: 0.0,
            refused: false,
            left_at: f64::MIN,
            unreached: false,
            probing: false,
            heard: now,
            last_send: f64::MIN,
            slot_at: f64::MIN,
            slow: 1.0,
            slow_at: now,
        }
    }

    /// Own parts out.
    pub(crate) fn own(&self) -> u32 {
        self.outs.len() as u32
    }
}

#[derive(Clone)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) class: ClassId,
    pub(crate) sent: f64,
    pub(crate) load: f64,
    /// Whether its connection had been out of use for long.
    pub(crate) idle: bool,
    pub(crate) out: bool,
    /// Whether its connection broke while it was out.
    pub(crate) broken: bool,
    pub(crate) may_have_run: bool,
}

impl Attempt {
    /// An attempt just sent.
    pub(crate) fn new(server: ServerId, class: ClassId, sent: f64, load: f64, idle: bool) -> Self {
        Self { server, class, sent, load, idle, out: true, broken: false, may_have_run: true }
    }
}

pub(crate) struct Part {
    pub(crate) query: RequestId,
    pub(crate) shard: u32,
    pub(crate) weight: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) done: bool,
    pub(crate) closed: bool,
}

/// Weight of the parts that are in, of all, the number still open, and whether all are in.
pub(crate) struct Progress {
    pub(crate) got: f64,
    pub(crate) total: f64,
    pub(crate) open: usize,
    pub(crate) all: bool,
}

pub(crate) struct Query {
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) goal_at: f64,
    pub(crate) deadline: f64,
    pub(crate) parts: Vec<RequestId>,
    pub(crate) admitted: bool,
    /// Whether the first step's answer was whole, once it is given.
    pub(crate) first: Option<bool>,
}

/// The latest latencies, for quantiles.
#[derive(Default)]
pub(crate) struct Latencies {
    recent: VecDeque<(f64, f64)>,
    sorted: Vec<f64>,
    sum: f64,
}

impl Latencies {
    pub(crate) fn add(&mut self, now: f64, latency: f64, keep: usize) {
        let at = self.sorted.partition_point(|l| *l < latency);
        self.sorted.insert(at, latency);
        self.recent.push_back((now, latency));
        self.sum += latency;
        if self.recent.len() > keep {
            self.drop_oldest();
        }
    }

    /// Forgets those from before a time, all but a few.
    pub(crate) fn forget(&mut self, since: f64, few: usize) {
        while self.recent.len() > few && self.recent.front().is_some_and(|r| r.0 < since) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, latency)) = self.recent.pop_front() else { return };
        self.sum -= latency;
        let at = self.sorted.partition_point(|l| *l < latency);
        self.sorted.remove(at);
    }

    /// The mean, 0 before any.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / (self.recent.len().max(1)) as f64
    }

    /// A quantile, once there are enough of them.
    pub(crate) fn quantile(&self, q: f64, enough: usize) -> Option<f64> {
        let last = self.sorted.len().checked_sub(enough.max(1))? + enough.max(1) - 1;
        self.sorted.get((last as f64 * q) as usize).copied()
    }
}

/// Points in time, forgotten once they are too old to count.
#[derive(Default)]
pub(crate) struct Window(VecDeque<f64>);

impl Window {
    pub(crate) fn add(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// How many there are since a time; forgets those before.
    pub(crate) fn count(&mut self, since: f64) -> usize {
        while self.0.front().is_some_and(|t| *t < since) {
            self.0.pop_front();
        }
        self.0.len()
    }
}

/// A rate that forgets over `span`.
#[derive(Default, Clone, Copy)]
pub(crate) struct Rate {
    sum: f64,
    at: f64,
}

impl Rate {
    pub(crate) fn get(&self, now: f64, span: f64) -> f64 {
        self.sum * (-(now - self.at) / span).exp() / span
    }

    pub(crate) fn add(&mut self, now: f64, span: f64) {
        self.sum = self.get(now, span) * span + 1.0;
        self.at = now;
    }
}

/// The decisions of one query router. It shares nothing with other instances.
pub struct Router {
    pub(crate) cfg: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: f64,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) by_cell: Vec<Vec<ServerId>>,
    pub(crate) queries: BTreeMap<RequestId, Query>,
    pub(crate) parts: BTreeMap<RequestId, Part>,
    /// Attempts still out whose query has ended.
    pub(crate) orphans: BTreeMap<(RequestId, u32), Attempt>,
    /// By class: latencies, and how long a try usually waits, with the votes for it.
    pub(crate) latencies: Vec<Latencies>,
    pub(crate) all_latencies: Latencies,
    /// The least that the usual part time has been.
    pub(crate) least_time: Option<f64>,
    pub(crate) usual_wait: Vec<(f64, u32)>,
    pub(crate) tenants: Vec<Rate>,
    pub(crate) taken: Window,
    pub(crate) extra: Window,
    pub(crate) sends: Rate,
    /// Parts sent on connections long unused: lost, and answered.
    pub(crate) idle_lost: Rate,
    pub(crate) idle_kept: Rate,
    pub(crate) mean_load: f64,
    /// Whether servers tell their load at all.
    pub(crate) reports: bool,
    /// Running sums of the worth and of the parts of admitted queries.
    pub(crate) worth_seen: f64,
    /// Share of the time its worth lasts that an admitted query may be expected to take.
    pub(crate) admit_share: Option<f64>,
    pub(crate) parts_seen: f64,
    pub(crate) listed_once: bool,
    pub(crate) subscribed: bool,
    pub(crate) asked_at: Option<f64>,
    pub(crate) ask_next: f64,
    pub(crate) ask_failures: u32,
    pub(crate) wake_at: f64,
    /// When a server last died under an own part, and when the list last told of a death.
    pub(crate) broken_at: Option<f64>,
    pub(crate) death_at: f64,
    /// When this router last stood still: from and until.
    pub(crate) away: (f64, f64),
}

impl Router {
    /// A router that knows nothing yet. All its random choices follow from `seed`.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            servers: BTreeMap::new(),
            by_cell: vec![Vec::new(); cfg.layout.cells as usize],
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            orphans: BTreeMap::new(),
            latencies: cfg.classes.iter().map(|_| Latencies::default()).collect(),
            all_latencies: Latencies::default(),
            least_time: None,
            usual_wait: vec![(0.0, 0); cfg.classes.len()],
            tenants: vec![Rate::default(); cfg.tenants.len()],
            taken: Window::default(),
            extra: Window::default(),
            sends: Rate::default(),
            idle_lost: Rate::default(),
            idle_kept: Rate::default(),
            mean_load: 0.0,
            reports: false,
            worth_seen: 0.0,
            admit_share: None,
            parts_seen: 0.0,
            listed_once: false,
            subscribed: false,
            asked_at: None,
            ask_next: 0.0,
            ask_failures: 0,
            wake_at: 0.0,
            broken_at: None,
            death_at: f64::MIN,
            away: (0.0, 0.0),
            cfg,
        }
    }

    /// Own parts out at each server that is not gone.
    pub fn outs(&self) -> Vec<(ServerId, u32)> {
        let here = self.servers.iter().filter(|(_, s)| s.state != ServerState::Gone);
        here.map(|(id, s)| (*id, s.own())).collect()
    }

    /// Notes a part of a query held.
    pub(crate) fn on_part(&mut self, id: RequestId, query: RequestId, shard: u32, weight: f64) {
        self.taken.add(self.now);
        let Some(q) = self.queries.get_mut(&query) else { return };
        q.parts.push(id);
        let part = Part { query, shard, weight, attempts: Vec::new(), done: false, closed: false };
        self.parts.insert(id, part);
    }

    /// Notes the end of an attempt; gives it and the class, if its query is still open.
    pub(crate) fn close_attempt(
        &mut self,
        id: RequestId,
        number: u32,
        outcome: Outcome,
        closed: bool,
    ) -> Option<(Attempt, Option<ClassId>)> {
        let Some(part) = self.parts.get_mut(&id) else {
            return self.orphans.remove(&(id, number)).map(|a| (a, None));
        };
        let a = part.attempts.get_mut(number as usize).filter(|a| a.out)?;
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        a.broken = outcome == Outcome::Reset;
        let attempt = a.clone();
        part.done |= outcome == Outcome::Ok && !part.closed;
        part.closed |= closed;
        Some((attempt, self.queries.get(&part.query).map(|q| q.class)))
    }

    /// Counts an own part sent or ended; gives the most of them lately, as a late report may show them.
    pub(crate) fn track_own(&mut self, server: ServerId, sent: f64, out: bool, lag: f64) -> f64 {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return 0.0 };
        let (own, keep) = (f64::from(s.own()), (-(now - s.own_at) / lag).exp());
        s.own_mean = s.own_mean * keep + own * (1.0 - keep);
        s.own_at = now;
        if out {
            s.outs.push_back(sent);
        } else if let Some(n) = s.outs.iter().position(|t| *t == sent) {
            s.outs.remove(n);
        }
        let most = s.own_mean.max(own);
        self.fill(server, own);
        most
    }

    /// Notes whether the room of a server is all taken, or enough of it free again for a call of several parts,
    /// where calls cost work: singly each part would cost a crowded server one.
    fn fill(&mut self, server: ServerId, before: f64) {
        let dear = self.cfg.call_cost > Duration::ZERO;
        let call = if dear { f64::from(self.cfg.bundle_max.max(1) - 1) / 2.0 } else { 0.0 };
        let Some(s) = self.servers.get_mut(&server) else { return };
        let full = before >= s.room || f64::from(s.own()) + s.brim >= s.room;
        s.brim = if full { call.min(s.room / 2.0) } else { 0.0 };
    }

    /// Moves parts out of the books; gives their attempts still out, which now are orphans.
    pub(crate) fn orphan(&mut self, parts: Vec<RequestId>) -> Vec<(RequestId, u32)> {
        let mut left = Vec::new();
        for pid in parts {
            let attempts = self.parts.remove(&pid).map_or(Vec::new(), |p| p.attempts);
            for (n, attempt) in attempts.into_iter().enumerate().filter(|(_, a)| a.out) {
                left.push((pid, n as u32));
                self.orphans.insert((pid, n as u32), attempt);
            }
        }
        left
    }

    /// Notes that servers which a whole list does not name are gone.
    pub(crate) fn keep_listed(&mut self, entries: &[ServerEntry]) {
        let missing = |id: &ServerId| !entries.iter().any(|e| e.server == *id);
        let now = self.now;
        for (_, s) in self.servers.iter_mut().filter(|(id, s)| s.state != ServerState::Gone && missing(id)) {
            (s.state, s.left_at) = (ServerState::Gone, now);
        }
    }

    /// Drops what is known of servers that have been gone for so long and hold no part of ours.
    pub(crate) fn forget_gone(&mut self, after: f64) {
        let now = self.now;
        let stays =
            |s: &Server| s.state != ServerState::Gone || !s.outs.is_empty() || now - s.left_at < after;
        self.servers.retain(|_, s| stays(s));
    }

    /// The attempts of a query none of whose parts was ever answered; `None` once one was.
    pub(crate) fn unanswered(&self, q: &Query) -> Option<Vec<&Attempt>> {
        let parts = q.parts.iter().map(|p| &self.parts[p]);
        let none = q.first.is_none() && !parts.clone().any(|p| p.done);
        none.then(|| parts.flat_map(|p| &p.attempts).collect())
    }

    /// The servers listed for a shard, whatever their state.
    pub(crate) fn holders(&self, shard: u32) -> impl Iterator<Item = (ServerId, &Server)> + '_ {
        let cells = self.cfg.layout.cells.max(1);
        (0..self.cfg.layout.width.min(cells))
            .flat_map(move |j| self.by_cell.get(((shard + j) % cells) as usize).into_iter().flatten())
            .filter_map(|id| self.servers.get(id).map(|s| (*id, s)))
    }

    /// Parts of admitted queries that wait here for room at a holder of this shard, for each of these.
    pub(crate) fn waiting(&self, shard: u32) -> f64 {
        let cells = self.cfg.layout.cells.max(1);
        let waits = |p: &&Part| {
            let out = p.done || p.closed || p.attempts.iter().any(|a| a.out);
            !out && p.shard % cells == shard % cells && self.queries.get(&p.query).is_some_and(|q| q.admitted)
        };
        let sound = |s: &Server| s.state == ServerState::Ready && s.out_until.is_none();
        let holders = self.holders(shard).filter(|h| sound(h.1)).count();
        self.parts.values().filter(waits).count() as f64 / holders.max(1) as f64
    }

    /// Whether a server holds a shard.
    pub(crate) fn holds(&self, s: &Server, shard: u32) -> bool {
        let cells = self.cfg.layout.cells.max(1);
        (s.cell + cells - shard % cells) % cells < self.cfg.layout.width
    }

    /// Sorts the servers by cell, after a change of the list.
    pub(crate) fn index_cells(&mut self) {
        self.by_cell.iter_mut().for_each(Vec::clear);
        for (id, s) in &self.servers {
            if let Some(cell) = self.by_cell.get_mut(s.cell as usize) {
                cell.push(*id);
            }
        }
    }

    /// How far the present step of a query is.
    pub(crate) fn progress(&self, q: &Query) -> Progress {
        let mut sum = Progress { got: 0.0, total: 0.0, open: 0, all: true };
        for p in q.parts.iter().map(|p| &self.parts[p]) {
            sum.total += p.weight;
            sum.all &= p.done;
            sum.got += if p.done { p.weight } else { 0.0 };
            sum.open += usize::from(!p.done && !p.closed);
        }
        sum
    }

    /// An even draw from 0 to 1.
    pub(crate) fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// What is known of the list: the hosts in it, those that get nothing as a rule (they drain, or failures
    /// keep them out until answers clear them), and those in service.
    pub(crate) fn pool(&self) -> Pool {
        let mut pool = Pool::default();
        for s in self.servers.values().filter(|s| s.state != ServerState::Gone) {
            let ready = s.state == ServerState::Ready;
            pool.size += 1;
            pool.in_service += usize::from(ready);
            pool.ejected += usize::from(!ready || s.out_until.is_some());
        }
        pool
    }

    /// The settings of a class.
    pub(crate) fn class(&self, id: ClassId) -> &Class {
        &self.cfg.classes[id.0 as usize]
    }
}
