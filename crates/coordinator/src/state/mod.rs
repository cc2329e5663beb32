//! What a router remembers: plain containers, running figures and look-ups. Nothing here decides anything.

mod figures;
mod server;
mod work;

pub(crate) use figures::*;
pub(crate) use server::*;
pub(crate) use work::*;

use crate::counters::Pool;
use crate::interface::{
    ClassId, Outcome, QueryClass, RequestId, RouterSettings, ServerEntry, ServerId, ServerState,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// A duration in seconds, as the module counts.
pub(crate) fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// Seconds as a duration for an action: never negative, within what a timer takes.
pub(crate) fn duration(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 4000.0))
}

/// The decisions of one query router. It shares nothing with other instances.
pub struct Router {
    pub(crate) cfg: RouterSettings,
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
    pub fn new(cfg: RouterSettings, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            servers: BTreeMap::new(),
            by_cell: vec![Vec::new(); cfg.shard_layout.cells as usize],
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
        let here = self
            .servers
            .iter()
            .filter(|(_, s)| s.state != ServerState::Gone);
        here.map(|(id, s)| (*id, s.own())).collect()
    }

    /// Notes a part of a query held.
    pub(crate) fn on_part(&mut self, id: RequestId, query: RequestId, shard: u32, weight: f64) {
        self.taken.add(self.now);
        let Some(q) = self.queries.get_mut(&query) else {
            return;
        };
        q.parts.push(id);
        let part = Part {
            query,
            shard,
            weight,
            attempts: Vec::new(),
            done: false,
            closed: false,
        };
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
        let Some(s) = self.servers.get_mut(&server) else {
            return 0.0;
        };
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
        let dear = self.cfg.call_overhead > Duration::ZERO;
        let call = if dear {
            f64::from(self.cfg.max_parts_per_call.max(1) - 1) / 2.0
        } else {
            0.0
        };
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
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
        for (_, s) in self
            .servers
            .iter_mut()
            .filter(|(id, s)| s.state != ServerState::Gone && missing(id))
        {
            (s.state, s.left_at) = (ServerState::Gone, now);
        }
    }

    /// Drops what is known of servers that have been gone for so long and hold no part of ours.
    pub(crate) fn forget_gone(&mut self, after: f64) {
        let now = self.now;
        let stays = |s: &Server| {
            s.state != ServerState::Gone || !s.outs.is_empty() || now - s.left_at < after
        };
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
        let cells = self.cfg.shard_layout.cells.max(1);
        (0..self.cfg.shard_layout.cells_per_shard.min(cells))
            .flat_map(move |j| {
                self.by_cell
                    .get(((shard + j) % cells) as usize)
                    .into_iter()
                    .flatten()
            })
            .filter_map(|id| self.servers.get(id).map(|s| (*id, s)))
    }

    /// Parts of admitted queries that wait here for room at a holder of this shard, for each of these.
    pub(crate) fn waiting(&self, shard: u32) -> f64 {
        let cells = self.cfg.shard_layout.cells.max(1);
        let waits = |p: &&Part| {
            let out = p.done || p.closed || p.attempts.iter().any(|a| a.out);
            !out && p.shard % cells == shard % cells
                && self.queries.get(&p.query).is_some_and(|q| q.admitted)
        };
        let sound = |s: &Server| s.state == ServerState::Ready && s.out_until.is_none();
        let holders = self.holders(shard).filter(|h| sound(h.1)).count();
        self.parts.values().filter(waits).count() as f64 / holders.max(1) as f64
    }

    /// Whether a server holds a shard.
    pub(crate) fn holds(&self, s: &Server, shard: u32) -> bool {
        let cells = self.cfg.shard_layout.cells.max(1);
        (s.cell + cells - shard % cells) % cells < self.cfg.shard_layout.cells_per_shard
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
        let mut sum = Progress {
            got: 0.0,
            total: 0.0,
            open: 0,
            all: true,
        };
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
        for s in self
            .servers
            .values()
            .filter(|s| s.state != ServerState::Gone)
        {
            let ready = s.state == ServerState::Ready;
            pool.size += 1;
            pool.in_service += usize::from(ready);
            pool.ejected += usize::from(!ready || s.out_until.is_some());
        }
        pool
    }

    /// The settings of a class.
    pub(crate) fn class(&self, id: ClassId) -> &QueryClass {
        &self.cfg.classes[id.0 as usize]
    }
}
