//! Every decision of the router; the types it speaks in are in `src/interface.rs`, what it remembers in
//! `src/state.rs`. Map: constants - events - limits - idle queue - replica choice (with the one eligibility
//! check) - health - slow start - sends and their budget - admission - completion - discovery.
//!
//! The ordinary path is Join-Idle-Queue: an answer whose load report shows a server idle, or light by
//! the fleet's own measure, lists it here; a part takes a listed holder of its shard and strikes the
//! entry off; with none listed it goes to a random holder. Everything else is a guard around that path.

use crate::interface::{
    Action, Cause, ClassId, Event, Idempotency, ListKind, LoadReport, Outcome, QueryClass,
    RequestId, RetryBudget, ServerEntry, ServerId, ServerState,
};
use crate::state::{
    duration, secs, Attempt, Part, Progress, Query, Rate, Router, Server, Sick, Standing, Why,
};
use rand_core::RngCore;
use std::time::Duration;

/// Age at which an entry of the idle queue no longer counts.
const ENTRY_AGE: f64 = 2.0;
const MEAN_GAIN: f64 = 0.03;
/// Time by which a report may trail the own parts that it counts.
const REPORT_LAG: f64 = 0.4;
/// Age up to which other routers' words on a server go before its reports, which are later still.
const TOLD: f64 = 0.5;
/// Rank that a holder in another zone loses, in parts of load: crossing is cheap next to queueing.
const ZONE_RANK: f64 = 2.0;
/// Share of the whole wait within which tries are of one length; votes that the usual length can hold.
const SAME_WAIT: f64 = 0.015;
const WAIT_VOTES: u32 = 20;
const RATE_SPAN: f64 = 3.0;
/// Latencies kept for quantiles, and for how long; the last few are kept, as no fewer make a quantile.
const SAMPLES: usize = 64;
const SAMPLE_SPAN: f64 = 4.0;
const FEW: usize = 4;
/// First ejection, doubled by each relapse up to the longest; longer among many, as trials add up.
const FEW_ROUTERS: f64 = 8.0;
const EJECT: (f64, f64) = (0.5, 4.0);
const RELAPSE_SPAN: f64 = 15.0;
/// Weight of one answer in a server's share of failures, and the share from which it is left: two in a row.
const BAD_GAIN: f64 = 0.25;
const BAD_SHARE: f64 = 0.4;
/// Failures of one moment are one: they share a cause.
const SAME_MOMENT: f64 = 0.005;
/// Time for which a server that turned away our only part gets nothing, first and longest.
const SHUT: (f64, f64) = (0.1, 2.0);
/// The same share for one class, and for resets, which sound servers cause as well: four in a row.
const SICK: f64 = 0.6;
/// What each answer adds to the room of a server, which was cut to what it held when it turned a part away.
const ROOM_STEP: f64 = 0.2;
const LEAVE: f64 = 0.8;
const AWAY: f64 = 0.15;
/// Weight of one part's time in a server's slowness, and the time over which that is forgotten.
const SLOW_GAIN: f64 = 0.35;
const SLOW_SPAN: f64 = 8.0;
const SLOW_BOUNDS: (f64, f64) = (0.3, 8.0);
/// A part still out tells of slowness once it is out for so many times the usual part time.
const OVERDUE: f64 = 2.5;
/// Silence of so many times the usual slow latency is taken for a stall; ordinary pauses stay below.
const STALL: f64 = 4.0;
/// Least stall, as a share of the shortest goal.
const STALL_GOAL: f64 = 0.4;
/// Parts beyond twice the mean that a full server is taken to hold, and beyond the mean a crowded one.
const FULL: f64 = 4.0;
/// Slots of many routers go unused; and what they send in a crisis is bounded by what two cores bear.
const UNUSED_SLOTS: f64 = 1.5;
/// Parts a second to a cold server beyond its share, at most.
const COLD_PACE: f64 = 1.0;
/// Time after a server's death under an own part in which queries send one part ahead.
const KILLER_SPAN: f64 = 10.0;
/// Time without use after which a connection may be gone, and the time over which losses on such count.
const IDLE: f64 = 1.0;
const IDLE_SPAN: f64 = 8.0;
const OUTLIER: f64 = 2.5;
const COPIES: RetryBudget = RetryBudget {
    min_retries: 10.0,
    retry_share: 0.2,
    window: Duration::from_secs(2),
};
/// Share of the budget open to hedges; the rest is kept for parts that failed.
const HEDGE_SHARE: f64 = 0.6;
const PRESSING: f64 = 0.65;
const SECOND_STEP: f64 = 1.2;
/// Share of the goal that one call's work may take: bundles beyond it make a query's slowest part.
const BUNDLE_GOAL: f64 = 0.5;
/// Bounds of the share of the time its worth lasts that an admitted query may be expected to take.
const ADMIT: (f64, f64) = (0.4, 1.0);
/// That share before anything is learned: a router that starts into an overload must not add to it.
const ADMIT_FIRST: f64 = 0.6;
/// What that share gains with an admitted query that ends in time, and loses with one that does not.
const ADMIT_STEP: (f64, f64) = (0.02, 0.05);
/// Gain and upper bound among many routers: what they do adds up, and each learns of it late.
const ADMIT_MANY: (f64, f64) = (0.01, 0.85);
/// Bounds of what the worth of a query for its work makes of that: forecasts err by so much.
const RICH: (f64, f64) = (0.7, 1.3);
/// The same for a tenant beyond its quota, as a share of that: it goes first when the fleet is short.
const OVER_QUOTA: f64 = 0.6;
/// Expected part time, as a share of the goal, above which hedges stop.
const CONGESTED: f64 = 0.3;
const FORGET: f64 = 15.0;
/// Interval of housekeeping while no query is open, and of decisions while one is.
const REST: f64 = 0.25;
const TICK: f64 = 0.01;
const CLOCK_GRAIN: f64 = 1e-4;
const ROUNDING: f64 = 5e-5;

type Out = Vec<Action>;

impl Router {
    /// Takes one event; what the router wants done is added to `out`. Sends happen at `TurnEnd`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Out) {
        self.now = secs(now);
        if self.now > self.wake_at + AWAY && self.now > self.away.1 {
            self.away = (self.wake_at, self.now);
        }
        match event {
            Event::ServerList { kind, entries } => self.on_list(kind, &entries),
            Event::Query { .. } => self.on_query(event),
            Event::Part {
                id,
                query,
                shard,
                weight,
            } => self.on_part(id, query, shard, weight),
            Event::AttemptEnded { .. } => self.on_attempt_end(event, out),
            Event::ClientLeft { query } => self.forget(query, out),
            Event::ProbeEnded {
                server,
                outcome,
                report,
            } => self.on_probed(server, outcome, report),
            Event::Unreachable { server } => self.eject(server, true),
            Event::PeerLoad {
                server,
                in_flight: out,
                age,
            } => {
                self.note_load(server, out);
                self.servers
                    .get_mut(&server)
                    .into_iter()
                    .for_each(|s| s.told_at = self.now - secs(age));
            }
            Event::Wake => {}
            Event::TurnEnded => self.decide(out),
        }
    }

    fn on_query(&mut self, event: Event) {
        let Event::Query {
            id,
            class,
            tenant,
            deadline,
            is_retry: repeat,
        } = event
        else {
            return;
        };
        self.taken.add(self.now);
        let Some(settings) = self.cfg.classes.get(class.0 as usize) else {
            return;
        };
        let (deadline, limit) = (secs(deadline), secs(settings.client_timeout));
        let goal_at = self.goal_of(
            class,
            deadline,
            secs(settings.latency_target),
            limit,
            repeat,
        );
        if let Some(rate) = tenant.and_then(|t| self.tenants.get_mut(t.0 as usize)) {
            rate.add(self.now, RATE_SPAN);
        }
        let (parts, admitted, first) = (Vec::new(), false, None);
        self.queries.insert(
            id,
            Query {
                class,
                tenant,
                goal_at,
                deadline,
                parts,
                admitted,
                first,
            },
        );
    }

    /// First tries of a class all wait equally long, the client's last one for what is left of its wait: its
    /// goal counts from the start of that. One that waits for less than the goal is served in that time.
    /// Where clients mark repeats, the mark decides. Hurts a first try that was held up on its way.
    fn goal_of(
        &mut self,
        class: ClassId,
        deadline: f64,
        goal: f64,
        limit: f64,
        repeat: Option<bool>,
    ) -> f64 {
        let wait = deadline - self.now;
        let usual = &mut self.usual_wait[class.0 as usize];
        let close = (wait - usual.0).abs() < SAME_WAIT * limit;
        // A vote of the majority, as repeats differ among themselves.
        *usual = match *usual {
            (length, votes) if close => (length, (votes + 1).min(WAIT_VOTES)),
            (length, votes) if votes > 0 => (length, votes - 1),
            _ => (wait, 1),
        };
        match wait {
            w if w < goal => deadline,
            w if self.now == self.away.1 && usual.0 - w < self.now - self.away.0 => {
                deadline - usual.0 + goal
            }
            w if repeat.map_or((w - usual.0).abs() < SAME_WAIT * limit, |r| !r) => self.now + goal,
            _ => self.now.min(deadline - limit) + goal,
        }
    }

    fn on_attempt_end(&mut self, event: Event, out: &mut Out) {
        let Event::AttemptEnded {
            part: id,
            attempt,
            outcome,
            latency,
            closed,
            report,
        } = event
        else {
            return;
        };
        let latency = secs(latency);
        let Some((attempt, class)) = self.close_attempt(id, attempt, outcome, closed) else {
            return;
        };
        let Attempt {
            server,
            sent,
            load,
            idle,
            class: of,
            ..
        } = attempt;
        let overdue = self.now - sent > OVERDUE * self.all_latencies.mean();
        let cut = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let lost = idle && ((cut && overdue) || outcome == Outcome::Reset);
        if lost {
            self.idle_lost.add(self.now, IDLE_SPAN);
        } else if idle && outcome == Outcome::Ok {
            self.idle_kept.add(self.now, IDLE_SPAN);
        }
        if outcome == Outcome::Ok && self.cfg.cancellation {
            let others = self
                .parts
                .get(&id)
                .map_or(&[][..], |p| p.attempts.as_slice());
            for (n, _) in others.iter().enumerate().filter(|(_, a)| a.out) {
                out.push(Action::Cancel {
                    part: id,
                    attempt: n as u32,
                });
            }
        }
        let before = self.track_own(server, sent, false, REPORT_LAG);
        // What was out while this router stood still tells of that, as does what an unused connection lost.
        let unused = lost && self.idle_drops();
        let own_delay = unused || (sent < self.away.0 && self.now == self.away.1);
        if !own_delay {
            self.learn_slowness(server, outcome, latency, load);
        }
        // A part that timed out at a server which answers others took at least so long.
        let alive = self.servers.get(&server).is_some_and(|s| s.heard > sent);
        let tells = outcome == Outcome::Ok || (outcome == Outcome::Timeout && alive);
        if let Some(class) = class.filter(|_| tells && !own_delay) {
            self.latencies[class.0 as usize].add(self.now, latency, SAMPLES);
            self.all_latencies.add(self.now, latency, SAMPLES);
            let usual = self.all_latencies.quantile(0.5, SAMPLES / 4);
            self.least_time = usual
                .map(|t| self.least_time.map_or(t, |least| least.min(t)))
                .or(self.least_time);
        }
        if !unused {
            self.judge(server, outcome, sent);
            self.judge_class(server, of, outcome);
        }
        let told = report.and_then(|r| r.in_flight.or(r.queued).or(r.utilization.map(|b| 2.0 * b)));
        self.reports |= told.is_some();
        let word = self
            .servers
            .get(&server)
            .is_some_and(|s| self.now - s.told_at < TOLD);
        // A full server tells no load: it counts as far busier than the mean.
        if outcome == Outcome::Rejected {
            self.note_load(server, 2.0 * self.mean_load + FULL);
        } else if matches!(outcome, Outcome::Ok | Outcome::Error)
            && !word
            && (told.is_some() || !self.reports)
        {
            self.note_load(server, (told.unwrap_or(0.0) - before).max(0.0));
        }
    }

    /// All decisions of a turn, once all its events are in.
    fn decide(&mut self, out: &mut Out) {
        self.budget_left(0.0);
        for l in self.latencies.iter_mut().chain([&mut self.all_latencies]) {
            l.forget(self.now - SAMPLE_SPAN, FEW);
        }
        self.watch_silence();
        self.probe_ejected(out);
        self.ask_for_list(out);
        let open: Vec<RequestId> = self.queries.keys().copied().collect();
        for id in open {
            if !self.queries[&id].admitted && !self.admit(id, out) {
                continue;
            }
            if !self.complete(id, out) && !self.give_up_if_hopeless(id, out) {
                self.send_parts(id, out);
            }
        }
        let rest = if self.queries.is_empty() { REST } else { TICK };
        // A wake-up comes at its time or a rounding error before it: it must not pass for one still to come.
        if self.wake_at <= self.now + CLOCK_GRAIN || self.wake_at > self.now + rest {
            self.wake_at = self.now + rest;
            out.push(Action::Wake {
                after: duration(rest),
            });
        }
    }

    // ---- RouterSettings-derived limits ----

    /// Time kept before a limit so that an action at the next turn is still in time.
    fn margin(&self) -> f64 {
        2.0 * secs(self.cfg.min_turn_interval).max(TICK)
    }

    /// A quantile of the recent part times of a class; before any, a guess from its goal.
    fn latency(&self, class: ClassId, q: f64) -> f64 {
        let guess = secs(self.class(class).latency_target) * (0.1 + 0.15 * q);
        self.latencies[class.0 as usize]
            .quantile(q, FEW)
            .unwrap_or(guess)
    }

    /// Expected time of one more part on a server with this load: in proportion to what waits there.
    fn expected(&self, class: ClassId, load: f64) -> f64 {
        // A part or two hardly wait for each other, however light the mean.
        let share = (1.0 + load) / (1.0 + self.mean_load.max(1.0));
        (share * self.latency(class, 0.75)).max(self.latency(class, 0.2))
    }

    /// How long parts of all classes wait, over what the shortest goal bears.
    fn pressure(&self) -> f64 {
        let goal = self
            .cfg
            .classes
            .iter()
            .map(|c| secs(c.latency_target))
            .fold(f64::MAX, f64::min);
        self.all_latencies
            .quantile(0.75, FEW)
            .map_or(0.0, |t| t / (CONGESTED * goal))
    }

    fn congested(&self) -> bool {
        self.pressure() > 1.0
    }

    /// Parts that one call may carry: where a call costs work, as many as keep it short of the goal.
    fn bundle(&self, class: ClassId) -> usize {
        let call = secs(self.cfg.call_overhead);
        if call <= 0.0 {
            return 1;
        }
        let c = self.class(class);
        let steps = if c.second_step_parts > 0 { 2.0 } else { 1.0 };
        let room = BUNDLE_GOAL * secs(c.latency_target) / steps - call;
        ((room / self.part_work(class)) as usize)
            .clamp(1, self.cfg.max_parts_per_call.max(1) as usize)
    }

    fn part_work(&self, class: ClassId) -> f64 {
        let base = self.latency(class, 0.2);
        // Never zero, whatever clock measured it: ranks divide by it.
        (base - secs(self.cfg.call_overhead))
            .max(base / 4.0)
            .max(1e-3)
    }

    // ---- Idle queue ----

    /// Load of a server as far as told: own parts out, and what its latest report showed from elsewhere,
    /// which counts less and less as it ages, the mean in its place.
    fn load(&self, s: &Server) -> f64 {
        let fade = (-(self.now - s.reported) / ENTRY_AGE).exp();
        f64::from(s.own()) + self.mean_load + (s.others - self.mean_load) * fade
    }

    /// How slow a server's own answers were lately for the load that it told, or how long it already keeps us
    /// waiting: reports lie or come late. Hurts when a few heavy parts make a sound server look slow.
    fn slowness(&self, s: &Server) -> f64 {
        let past = 1.0 + (s.slow - 1.0) * (-(self.now - s.slow_at) / SLOW_SPAN).exp();
        let usual = self.all_latencies.mean();
        let waits = s
            .outs
            .front()
            .map_or(0.0, |t| self.now - t.max(s.heard).max(self.away.1));
        past.max(if usual > 0.0 {
            waits / (OVERDUE * usual)
        } else {
            0.0
        })
    }

    /// Load as answers make it felt.
    fn felt(&self, s: &Server) -> f64 {
        (1.0 + self.load(s)) * self.slowness(s) - 1.0
    }

    fn learn_slowness(&mut self, server: ServerId, outcome: Outcome, latency: f64, load: f64) {
        let mean = self.all_latencies.mean();
        let cut_short = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let Some(s) = self
            .servers
            .get(&server)
            .filter(|_| cut_short || outcome == Outcome::Ok)
        else {
            return;
        };
        let due = (mean * (1.0 + load) / (1.0 + self.mean_load))
            .max(mean / 2.0)
            .max(1e-3);
        let ratio = (latency / due).clamp(SLOW_BOUNDS.0, SLOW_BOUNDS.1);
        let past = self.slowness(s);
        // A part that was cut short would have taken longer: it tells nothing good.
        if mean <= 0.0 || (cut_short && ratio < past) {
            return;
        }
        let learned = (past + SLOW_GAIN * (ratio - past), self.now);
        self.servers
            .get_mut(&server)
            .into_iter()
            .for_each(|s| (s.slow, s.slow_at) = learned);
    }

    /// Takes the load from elsewhere: what a report shows beyond the most own parts that it can have seen.
    /// Lists the server once for each part that it is short of the mean load, or strikes it off if busy.
    fn note_load(&mut self, server: ServerId, others: f64) {
        let (now, threshold) = (self.now, self.mean_load.max(0.5) + 0.5);
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        (s.others, s.reported, s.listed_at) = (others, now, now);
        let load = f64::from(s.own()) + others;
        let entries = (threshold - self.felt(&self.servers[&server]))
            .max(0.0)
            .ceil() as u32;
        self.servers
            .get_mut(&server)
            .into_iter()
            .for_each(|s| s.entries = entries);
        self.mean_load += MEAN_GAIN * (load - self.mean_load);
    }

    /// Whether a server has an entry. One goes at an age; a server with none of our parts out that told
    /// nothing for so long is not busy with our work: it is listed once, or it would never report again.
    fn listed(&self, s: &Server) -> bool {
        let aged = self.now - s.listed_at > ENTRY_AGE;
        (aged && s.outs.is_empty()) || (!aged && s.entries > 0)
    }

    // ---- Replica choice ----

    /// The one check before every send: first try, retry or hedge. `None` means never.
    fn standing(&self, s: &Server, class: ClassId) -> Option<Standing> {
        let leaving = s.state == ServerState::Draining
            && self.now - s.left_at < LEAVE * secs(self.cfg.drain_grace) - self.margin();
        if !(s.state == ServerState::Ready || leaving)
            || f64::from(s.own()) + s.brim >= s.room
            || self.slot_wait(s) > 0.0
        {
            return None;
        }
        let sick = Some(&s.sick[class.0 as usize])
            .filter(|c| c.bad > SICK)
            .map(|c| c.until);
        let free = s.out_until.is_none() || (!s.unreached && s.outs.is_empty());
        match s.out_until.or(sick) {
            None if leaving => Some(Standing::Leaving),
            _ if leaving => None,
            None => Some(Standing::Sound),
            Some(until) if until <= self.now && free => Some(Standing::Trial),
            // The last hope of a shard is asked, but not hammered.
            _ if s.own() < 2 && !s.refused => Some(Standing::LastHope),
            _ => None,
        }
    }

    /// The holders that a part can count on: those not left, or else all that may be reached.
    fn usable(&self, shard: u32) -> impl Iterator<Item = &Server> + '_ {
        let ready = move || {
            self.holders(shard)
                .map(|h| h.1)
                .filter(|s| s.state == ServerState::Ready)
        };
        let left = ready().all(|s| s.out_until.is_some());
        let dead = |s: &Server| s.refused && s.out_until.is_some_and(|until| until > self.now);
        ready().filter(move |s| {
            if left {
                !dead(s)
            } else {
                s.out_until.is_none()
            }
        })
    }

    /// Time until a server takes a part of ours again, after it turned one away or while it is cold.
    fn slot_wait(&self, s: &Server) -> f64 {
        let cold = if self.warmth(s) < 1.0 {
            s.slot_at + self.cold_gap(s)
        } else {
            f64::MIN
        };
        (s.shut_until.max(cold) - self.now).max(0.0)
    }

    /// Picks a holder for a part: a listed one of the best standing, least loaded, or else a random one.
    /// `riders` are the shards of other parts of the query that the same call could carry.
    fn pick(&mut self, pid: RequestId, why: Why, riders: &[u32]) -> Option<ServerId> {
        let part = &self.parts[&pid];
        let class = self.queries[&part.query].class;
        let tried = |id: ServerId| part.attempts.iter().any(|a| a.server == id);
        let mut found: Vec<(Standing, bool, ServerId)> = self
            .holders(part.shard)
            .filter_map(|(id, s)| Some((self.standing(s, class)?, tried(id), id)))
            .collect();
        if why != Why::Try {
            found.retain(|f| !f.1 && (f.0 == Standing::Sound || why == Why::Rescue));
        }
        // A trial goes first, or none would be cleared; only a first try that may be repeated is risked.
        let trial = found.iter().find(|f| f.0 == Standing::Trial);
        if self.class(class).idempotency != Idempotency::NotIdempotent
            && part.attempts.is_empty()
            && trial.is_some()
        {
            return trial.map(|f| f.2);
        }
        // One that leaves helps out while its grace lasts, once the others are crowded.
        let crowded = |id: &ServerId| self.felt(&self.servers[id]) > self.mean_load + FULL;
        if found
            .iter()
            .filter(|f| f.0 == Standing::Sound)
            .all(|f| crowded(&f.2))
        {
            found
                .iter_mut()
                .filter(|f| f.0 == Standing::Leaving)
                .for_each(|f| f.0 = Standing::Sound);
        }
        let best = found
            .iter()
            .map(|f| (f.0, f.1))
            .min_by(|a, b| a.partial_cmp(b).unwrap())?;
        // A sound one that is full for the moment is worth the wait.
        if best.0 == Standing::LastHope && self.usable(part.shard).any(|s| s.out_until.is_none()) {
            return None;
        }
        found.retain(|f| (f.0, f.1) == best);
        let call = secs(self.cfg.call_overhead) / self.part_work(class);
        let limit = self.bundle(class) as f64;
        let rank = |id: ServerId| {
            let s = &self.servers[&id];
            let far = if self.cfg.cross_zone_cost && self.cfg.zone != Some(s.zone) {
                ZONE_RANK
            } else {
                0.0
            };
            let riding = riders.iter().filter(|r| self.holds(s, **r)).count() as f64 + 1.0;
            self.felt(s) + far + call * (1.0 + self.mean_load) / riding.min(limit)
        };
        let queue = found
            .iter()
            .map(|f| f.2)
            .filter(|id| self.listed(&self.servers[id]));
        let listed = queue.min_by(|a, b| rank(*a).total_cmp(&rank(*b)));
        if why == Why::Hedge {
            found.retain(|f| self.felt(&self.servers[&f.2]) <= self.mean_load.max(0.5));
        }
        if listed.is_some() || found.is_empty() {
            return listed;
        }
        // At random, but to none known to be busier than the others, nor far off unless the near ones are.
        let mean = found.iter().map(|f| rank(f.2)).sum::<f64>() / found.len() as f64;
        found.retain(|f| rank(f.2) <= mean + 1e-9);
        let n = self.rng.next_u32() as usize % found.len();
        Some(found[n].2)
    }

    // ---- Health: ejection and re-admission ----

    /// Judges a server by how an attempt ended, whatever its reports say: a quick failer looks idle.
    fn judge(&mut self, server: ServerId, outcome: Outcome, sent: f64) {
        let (limit, many) = (
            self.stall_limit(),
            f64::from(self.cfg.routers) > FEW_ROUTERS,
        );
        let call = if many {
            f64::from(self.cfg.max_parts_per_call.max(1))
        } else {
            1.0
        };
        let jitter = if outcome == Outcome::Rejected {
            0.5 + self.chance()
        } else {
            0.0
        };
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        let silent =
            outcome == Outcome::Timeout && self.now - sent.max(s.heard).max(self.away.1) > limit;
        match outcome {
            Outcome::Ok => {
                (s.heard, s.unreached, s.refused) = (self.now, false, false);
                s.shut_gap /= 2.0;
                s.good += 1.0;
                s.bad -= BAD_GAIN * s.bad;
                s.room += ROOM_STEP;
                // As many good answers as lapses lately: three at the first one kept sound servers out.
                s.out_until = s.out_until.filter(|_| s.good < s.relapses);
            }
            Outcome::Error => {
                s.heard = self.now;
                self.fault(server, false);
            }
            Outcome::Reset => {
                s.reset_at = self.now;
                self.fault(server, true);
            }
            Outcome::ConnectFailed => {
                s.refused = self.now - s.heard > REPORT_LAG;
                if self.now - s.reset_at < KILLER_SPAN {
                    (s.died_at, self.broken_at) = (self.now, Some(self.now));
                }
                self.eject(server, true);
            }
            Outcome::Rejected => {
                // A window of less than a call is none, but time; one that drains wants nothing more.
                let least = if s.state == ServerState::Ready {
                    call
                } else {
                    0.0
                };
                s.room = s.room.min(f64::from(s.own()).max(least));
                if many && s.own() == 0 {
                    s.shut_gap = (2.0 * s.shut_gap).clamp(SHUT.0, SHUT.1);
                    s.shut_until = self.now + jitter * s.shut_gap;
                }
            }
            _ if silent => self.eject(server, true),
            _ => {}
        }
    }

    fn fault(&mut self, server: ServerId, unreached: bool) {
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        s.bad += if self.now - s.failed_at < SAME_MOMENT {
            0.0
        } else {
            BAD_GAIN * (1.0 - s.bad)
        };
        s.failed_at = self.now;
        if s.bad > if unreached { SICK } else { BAD_SHARE } || s.out_until.is_some() {
            self.eject(server, unreached);
        }
    }

    /// Judges a server for one class, as some fail that and serve the others: one part of it now and then.
    fn judge_class(&mut self, server: ServerId, class: ClassId, outcome: Outcome) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        let c = &mut s.sick[class.0 as usize];
        match outcome {
            Outcome::Ok if c.bad > SICK => *c = Sick::default(),
            Outcome::Ok => c.bad -= BAD_GAIN * c.bad,
            Outcome::Timeout | Outcome::Error if now - c.failed_at >= SAME_MOMENT => {
                c.bad += BAD_GAIN * (1.0 - c.bad);
                (c.failed_at, c.gap) = (now, (2.0 * c.gap).clamp(EJECT.0, EJECT.1));
                c.until = if c.bad > SICK { now + c.gap } else { 0.0 };
            }
            _ => {}
        }
    }

    /// Leaves a server for a while, longer with each relapse, which is forgotten in time.
    fn eject(&mut self, server: ServerId, unreached: bool) {
        let now = self.now;
        let fleet = (f64::from(self.cfg.routers) / FEW_ROUTERS).clamp(1.0, 8.0);
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        s.unreached |= unreached;
        (s.good, s.entries) = (0.0, 0);
        if s.out_until.is_some_and(|until| until > now) {
            return;
        }
        s.relapses = s.relapses * (-(now - s.ejected_at) / RELAPSE_SPAN).exp() + 1.0;
        s.ejected_at = now;
        let gap = fleet * EJECT.0 * (s.relapses - 1.0).exp2();
        s.out_until = Some(now + gap.min(fleet.min(4.0) * EJECT.1));
    }

    /// Silence: a server with own parts out that answers nothing for far longer than usual is ejected.
    fn watch_silence(&mut self) {
        let (now, stall, back) = (self.now, self.stall_limit(), self.away.1);
        let waits = |s: &Server| {
            s.outs
                .front()
                .is_some_and(|t| now - t.max(s.heard).max(back) > stall)
        };
        let silent = self
            .servers
            .iter()
            .filter(|(_, s)| s.out_until.is_none() && waits(s));
        let silent: Vec<ServerId> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            self.eject(id, true);
            self.servers
                .get_mut(&id)
                .into_iter()
                .for_each(|s| s.outs.clear());
        }
    }

    fn stall_limit(&self) -> f64 {
        let q90 = (0..self.latencies.len())
            .map(|c| self.latency(ClassId(c as u32), 0.9))
            .fold(0.0, f64::max);
        let goal = self
            .cfg
            .classes
            .iter()
            .map(|c| secs(c.latency_target))
            .fold(f64::MAX, f64::min);
        (STALL * q90).max((STALL_GOAL * goal).min(0.5))
    }

    /// An unreachable or silent server is probed before its next part; a good probe alone clears nobody.
    fn probe_ejected(&mut self, out: &mut Out) {
        let (now, probes) = (self.now, self.cfg.probes);
        for (id, s) in self
            .servers
            .iter_mut()
            .filter(|(_, s)| s.out_until.is_some_and(|t| t <= now))
        {
            if !s.unreached || s.probing || s.state != ServerState::Ready {
                continue;
            }
            (s.unreached, s.probing) = (probes, probes);
            if probes {
                out.push(Action::Probe { server: *id });
            }
        }
    }

    fn on_probed(&mut self, server: ServerId, outcome: Outcome, report: Option<LoadReport>) {
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        (s.probing, s.refused) = (false, outcome == Outcome::ConnectFailed);
        if outcome == Outcome::Ok {
            // What was out before counts no more: after a cut it would block the trial to its time-out.
            let lost = std::mem::take(&mut s.unreached);
            s.outs.retain(|_| !lost);
            let own = f64::from(s.own());
            let others = report
                .and_then(|r| r.in_flight.or(r.queued))
                .map(|held| (held - own).max(0.0));
            others
                .into_iter()
                .for_each(|others| self.note_load(server, others));
        } else if s.unreached {
            // No lapse: it was out before, and asking again costs next to nothing.
            s.relapses -= 1.0;
            self.eject(server, true);
        }
    }

    // ---- Slow start ----

    /// Least share of its capacity.
    fn warmth(&self, s: &Server) -> f64 {
        let (share, ramp) = self
            .cfg
            .slow_start
            .map_or((0.25, 10.0), |c| (c.initial_share, secs(c.ramp)));
        let age = s
            .cold_since
            .map_or(f64::MAX, |since| (self.now - since).max(0.0));
        (share + (1.0 - share) * age / ramp.max(0.1)).min(1.0)
    }

    /// Time between parts of ours to a cold server: its share of what a warm one is sent, scaled by its
    /// warmth, or this router's part of half of what one core of it bears.
    fn cold_gap(&self, s: &Server) -> f64 {
        let warm = self
            .servers
            .values()
            .filter(|s| s.state == ServerState::Ready)
            .count()
            .max(1) as f64;
        let multiple = self.cfg.slow_start.map_or(2.0, |c| c.overload_factor) / 2.0;
        let work =
            |time: Option<f64>| (time.unwrap_or(0.1) * f64::from(self.cfg.routers)).max(0.01);
        let core = multiple / work(self.all_latencies.quantile(0.2, FEW));
        let usual = self.sends.get(self.now, RATE_SPAN) / warm;
        let pace = if f64::from(self.cfg.routers) > FEW_ROUTERS {
            (UNUSED_SLOTS * usual).min(2.0 / work(self.least_time))
        } else {
            usual * multiple.clamp(1.0, 1.5)
        };
        1.0 / (self.warmth(s) * pace.max(core.min(COLD_PACE))).max(1e-3)
    }

    // ---- Sends: first tries, retries, hedges, one budget ----

    /// Attempts beyond a part's first, with a turn to spare at both ends; copies have a budget anyway.
    fn budget_left(&mut self, share: f64) -> bool {
        if self.cfg.retry_budget.is_none() && share >= 1.0 {
            return true;
        }
        let b = self.cfg.retry_budget.unwrap_or(COPIES);
        let (span, edge) = (secs(b.window), self.margin());
        let allowed =
            b.min_retries + b.retry_share * self.taken.count(self.now - span + edge) as f64;
        self.extra.count(self.now - span - edge) as f64 + 1.0 <= share * allowed
    }

    /// Whether a part may be sent once more by its class's rule on repeats.
    fn may_repeat(&self, part: &Part, class: ClassId) -> bool {
        if part.attempts.len() >= self.cfg.max_attempts as usize || part.closed || part.done {
            return false;
        }
        let out = part.attempts.iter().any(|a| a.out);
        (self.cfg.hedging || !out) && self.harmless(part, class, self.margin())
    }

    /// Whether a repeat so much later would do no harm, counted from the first attempt that may have run.
    fn harmless(&self, part: &Part, class: ClassId, later: f64) -> bool {
        let risky = part
            .attempts
            .iter()
            .filter(|a| a.out || a.may_have_run)
            .map(|a| a.sent);
        let since = risky.fold(f64::MAX, f64::min);
        match self.class(class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed(window) => self.now + later - since < secs(window),
            Idempotency::NotIdempotent => since == f64::MAX,
        }
    }

    fn send_parts(&mut self, id: RequestId, out: &mut Out) {
        let q = &self.queries[&id];
        let (class, wanted) = (q.class, self.wanted(q));
        let open = q
            .parts
            .iter()
            .copied()
            .filter(|p| !self.parts[p].done && !self.parts[p].closed);
        let (mut first, again): (Vec<_>, Vec<_>) =
            open.partition(|p| self.parts[p].attempts.is_empty());
        for pid in again {
            self.try_again(pid, class, out);
        }
        first.retain(|p| wanted.contains(p));
        first.sort_by_key(|p| self.parts[p].shard);
        let limit = match self.scouting(&self.queries[&id]) {
            None => self.bundle(class),
            Some(waiting) => {
                let n = self.rng.next_u32() as usize % first.len().max(1);
                first = first
                    .get(n)
                    .filter(|_| !waiting)
                    .into_iter()
                    .copied()
                    .collect();
                1
            }
        };
        while !first.is_empty() {
            let pid = first.remove(0);
            let shards: Vec<u32> = first.iter().map(|p| self.parts[p].shard).collect();
            let riders = if limit > 1 { shards.as_slice() } else { &[] };
            let Some(server) = self.pick(pid, Why::Try, riders) else {
                continue;
            };
            self.send(pid, class, server, true, out);
            let held = |p: &RequestId| self.holds(&self.servers[&server], self.parts[p].shard);
            let riders: Vec<RequestId> =
                first.iter().copied().filter(held).take(limit - 1).collect();
            for rider in riders {
                if self
                    .standing(&self.servers[&server], class)
                    .is_none_or(|s| s != Standing::Sound)
                {
                    break;
                }
                first.retain(|p| *p != rider);
                self.send(rider, class, server, false, out);
            }
        }
    }

    /// While servers die under parts, a query without an answer sends one part ahead: one that crashes what
    /// it touches takes one server with it. `Some` says whether that scout is out; once it is late, all go.
    fn scouting(&self, q: &Query) -> Option<bool> {
        let broken = self.broken_at?;
        let quiet = self.now - broken.max(self.death_at) > KILLER_SPAN;
        let sent = self.unanswered(q).filter(|_| !quiet)?;
        let late = self.now - self.latency(q.class, 0.9);
        let scout = sent.iter().find(|a| a.out);
        scout
            .is_none_or(|a| a.sent >= late)
            .then_some(scout.is_some())
    }

    /// Whether a query is taken for one that crashes servers: one died under its scout, or two under its
    /// parts, and none has answered. It goes to no further server.
    fn kills(&self, q: &Query) -> bool {
        let Some(sent) = self.unanswered(q) else {
            return false;
        };
        let scout = q
            .parts
            .iter()
            .filter(|p| !self.parts[p].attempts.is_empty())
            .count()
            < q.parts.len().min(2);
        let died = |a: &Attempt| {
            self.servers
                .get(&a.server)
                .is_some_and(|s| s.died_at >= a.sent)
        };
        let mut dead = sent
            .iter()
            .filter(|a| a.broken && died(a))
            .map(|a| a.server);
        let first = dead.next();
        first.is_some() && (scout || dead.any(|s| Some(s) != first))
    }

    /// Whether connections die unseen while unused: of the parts lately sent on unused ones many were lost.
    /// Then a new one is opened, at the price of a handshake, until that is forgotten.
    fn idle_drops(&self) -> bool {
        let lost = self.idle_lost.get(self.now, IDLE_SPAN);
        lost * IDLE_SPAN > FEW as f64 && lost > self.idle_kept.get(self.now, IDLE_SPAN) / 2.0
    }

    fn send(
        &mut self,
        pid: RequestId,
        class: ClassId,
        server: ServerId,
        entry: bool,
        out: &mut Out,
    ) {
        let now = self.now;
        let copies =
            self.cfg.hedging || self.class(class).idempotency == Idempotency::NotIdempotent;
        let stall = self.stall_limit();
        let Some(q) = self
            .parts
            .get(&pid)
            .and_then(|p| self.queries.get(&p.query))
        else {
            return;
        };
        // An attempt lives as long as its answer can be of use: servers can drop what is overdue.
        let end = q.deadline.min(if self.class(class).late_value > 0.0 {
            f64::MAX
        } else {
            q.goal_at
        });
        let timeout = if copies {
            end - now
        } else {
            (end - now).min(stall)
        };
        let load = self.load(&self.servers[&server]);
        let (drops, gap) = (self.idle_drops(), self.cold_gap(&self.servers[&server]));
        let s = self
            .servers
            .get_mut(&server)
            .expect("a picked server is known");
        if now - s.listed_at > ENTRY_AGE {
            (s.entries, s.listed_at) = (0, now);
        }
        s.entries -= u32::from(entry && s.entries > 0);
        // A part that rides in the same call is on the same connection.
        let idle =
            now - s.heard.max(if s.last_send < now {
                s.last_send
            } else {
                f64::MIN
            }) > IDLE;
        if idle && drops && s.last_send < now {
            out.push(Action::CloseIdleConnections { server });
        }
        // One unused slot may be made up for.
        (s.last_send, s.slot_at) = (now, (s.slot_at + gap).max(now - gap));
        let c = &mut s.sick[class.0 as usize];
        c.until = now + c.gap;
        let Some(part) = self.parts.get_mut(&pid) else {
            return;
        };
        if !part.attempts.is_empty() {
            self.extra.add(now);
        }
        part.attempts
            .push(Attempt::new(server, class, now, load, idle && !drops));
        self.sends.add(now, RATE_SPAN);
        self.track_own(server, now, true, REPORT_LAG);
        out.push(Action::Send {
            part: pid,
            server,
            timeout: duration(timeout.max(0.001)),
        });
    }

    /// A retry when no attempt is out; a second copy to a server lighter than the mean once an attempt is
    /// later than nearly all others. A slow server is waited for less, one that is ejected not at all. While
    /// most parts are late only outliers are left: a copy adds work where all servers are late alike.
    fn try_again(&mut self, pid: RequestId, class: ClassId, out: &mut Out) {
        let p = &self.parts[&pid];
        let usual = self.latency(class, 0.5);
        let late = self.latency(class, 0.9).max(2.0 * usual);
        // Enough of its siblings in to tell: only it is late, not the fleet.
        let siblings = &self.queries[&p.query].parts;
        let parts_in = siblings.iter().filter(|s| self.parts[s].done).count();
        let congested = self.congested() && parts_in < (4 * FEW).max(siblings.len() / 2);
        let mut why = if p.attempts.iter().any(|a| a.out) {
            Why::Rescue
        } else {
            Why::Try
        };
        for a in p.attempts.iter().filter(|a| a.out) {
            let Some(s) = self
                .servers
                .get(&a.server)
                .filter(|s| s.out_until.is_none())
            else {
                continue;
            };
            let (slow, age) = (self.slowness(s), self.now - a.sent);
            let due =
                age >= (late / slow.max(1.0)).max(usual) && self.pressing(&self.queries[&p.query]);
            if !due || (congested && slow < OUTLIER) {
                return;
            }
            why = Why::Hedge;
        }
        let share = if why == Why::Hedge { HEDGE_SHARE } else { 1.0 };
        if !self.may_repeat(p, class) || !self.budget_left(share) {
            return;
        }
        if let Some(server) = self.pick(pid, why, &[]) {
            self.send(pid, class, server, true, out);
        }
    }

    /// Past its goal a query is worked on where it still earns something: in congestion only if that is more,
    /// for the share of its parts still missing, than a fresh query earns for all of its own.
    fn useful_until(&self, q: &Query) -> f64 {
        let late = self.class(q.class).late_value;
        let missing = q.parts.iter().filter(|p| !self.parts[p].done).count() as f64;
        let earns = late > 0.0 && (!self.congested() || missing < late * q.parts.len() as f64);
        q.deadline.min(if earns { f64::MAX } else { q.goal_at })
    }

    fn pressing(&self, q: &Query) -> bool {
        let step = self.kept_for_second(q);
        q.goal_at - step - self.now < PRESSING * (secs(self.class(q.class).latency_target) - step)
    }

    fn kept_for_second(&self, q: &Query) -> f64 {
        let first_of_two = self.class(q.class).second_step_parts > 0 && q.first.is_none();
        f64::from(u8::from(first_of_two)) * SECOND_STEP * self.latency(q.class, 0.9)
    }

    /// The parts to ask now: as many as make a whole answer, and one more for each that is late or lost. A
    /// class that may answer in part asks the share that earns most for its work.
    fn wanted(&self, q: &Query) -> Vec<RequestId> {
        let c = self.class(q.class);
        if q.first.is_some() {
            return q.parts.clone();
        }
        let mut order: Vec<&RequestId> = q.parts.iter().collect();
        order.sort_by(|a, b| self.parts[b].weight.total_cmp(&self.parts[a].weight));
        let total: f64 = q.parts.iter().map(|p| self.parts[p].weight).sum();
        let partial = c.min_share < c.complete_share;
        let target = if partial {
            self.best_share(c, &order, total)
        } else {
            c.complete_share * total
        };
        let slow = self.latency(q.class, 0.9);
        let pressing = self.pressing(q) && !self.congested();
        let late = |p: &Part| {
            let out = p.attempts.iter().filter(|a| a.out);
            !p.done && !p.attempts.is_empty() && out.clone().all(|a| self.now - a.sent > slow)
        };
        let (mut sum, mut asked) = (0.0, Vec::new());
        order.sort_by_key(|p| self.parts[p].attempts.is_empty());
        for pid in order {
            let p = &self.parts[pid];
            if sum + ROUNDING >= target && p.attempts.is_empty() {
                break;
            }
            asked.push(*pid);
            if !(c.complete_share < 1.0 && pressing && late(p)) {
                sum += p.weight;
            }
        }
        asked
    }

    /// The share of the weight, heaviest first, beyond which a part earns less than parts do on average.
    fn best_share(&self, c: &QueryClass, order: &[&RequestId], total: f64) -> f64 {
        // What a part costs others rises faster than the wait does: next to nothing while servers are light.
        let worth = c.value
            * if self.cfg.value_by_work {
                order.len() as f64
            } else {
                1.0
            };
        let price = self.pressure().powi(2) * self.worth_a_part() / worth.max(1e-6);
        let (mut sum, mut best) = (0.0, (f64::MIN, total));
        for (n, pid) in order.iter().enumerate() {
            sum += self.parts[pid].weight;
            let whole = sum + ROUNDING >= c.complete_share * total;
            let earns = if whole {
                1.0
            } else {
                c.partial_value * sum / (c.complete_share * total)
            };
            let gain = earns - price * (n as f64 + 1.0);
            // Never a cut that earns less for each part than the whole does: better refuse some queries.
            let allowed =
                sum >= c.min_share * total && earns * order.len() as f64 >= n as f64 + 1.0;
            if gain > best.0 && allowed {
                best = (gain, sum);
            }
        }
        best.1
    }

    // ---- Admission and shedding ----

    /// Takes a query if it can be expected to end before its goal; else, those past quota first, refuses it.
    fn admit(&mut self, id: RequestId, out: &mut Out) -> bool {
        let q = &self.queries[&id];
        let c = self.class(q.class);
        let best = |p: &RequestId| {
            let (shard, ahead) = (self.parts[p].shard, self.waiting(self.parts[p].shard));
            let time =
                |s: &Server| self.slot_wait(s) + self.expected(q.class, self.felt(s) + ahead);
            self.usable(shard).map(time).fold(f64::MAX, f64::min)
        };
        let mut times: Vec<f64> = q.parts.iter().map(best).collect();
        times.sort_by(f64::total_cmp);
        let last =
            ((c.min_share.min(c.complete_share) * times.len() as f64).ceil() as usize).max(1) - 1;
        // The query ends with the worst of the parts that it needs; without holders there is no time.
        let first = times.get(last).copied().unwrap_or(f64::MAX);
        let known = first < f64::MAX;
        let expect = first
            + if c.second_step_parts > 0 {
                self.expected(q.class, self.mean_load)
            } else {
                0.0
            };
        let over = self.over_quota(q) && self.congested();
        let (parts, mean) = (q.parts.len() as f64, self.worth_a_part());
        let worth = c.value * if self.cfg.value_by_work { parts } else { 1.0 };
        // Among few routers worth for work decides in congestion, and what a late answer earns adds time.
        let few = f64::from(self.cfg.routers) <= FEW_ROUTERS;
        let rich = if few && mean > 0.0 && self.congested() {
            worth / parts / mean
        } else {
            1.0
        };
        let share = self.admit_share.unwrap_or(ADMIT_FIRST) * rich.sqrt().clamp(RICH.0, RICH.1);
        let share = share * if over { OVER_QUOTA } else { 1.0 };
        let late_for = if few {
            (q.deadline - q.goal_at).max(0.0)
        } else {
            0.0
        };
        let left = q.goal_at.min(q.deadline) + c.late_value * late_for - self.now;
        let late = left < 0.0 && self.useful_until(q) > self.now;
        // With nothing of its own out a router can't know of a queue that is gone by now: it must ask.
        let blind = !self.queries.values().any(|q| q.admitted) && left > self.latency(q.class, 0.5);
        if !known || (expect > share * left && !late && !blind) {
            let cause = if known {
                Cause::Overloaded
            } else {
                Cause::NoHost
            };
            self.refuse(id, expect - share * left.max(0.0), cause, out);
            return false;
        }
        self.worth_seen += worth - MEAN_GAIN * self.worth_seen;
        self.parts_seen += parts - MEAN_GAIN * self.parts_seen;
        self.queries
            .get_mut(&id)
            .into_iter()
            .for_each(|q| q.admitted = true);
        true
    }

    fn worth_a_part(&self) -> f64 {
        self.worth_seen / self.parts_seen.max(1e-6)
    }

    /// Forecasts err by fleet and hour: where admitted queries miss, fewer are taken.
    fn learn_share(&mut self, in_time: bool) {
        let many = f64::from(self.cfg.routers) > FEW_ROUTERS;
        let (gain, most) = if many {
            ADMIT_MANY
        } else {
            (ADMIT_STEP.0, ADMIT.1)
        };
        let step = if in_time { gain } else { -ADMIT_STEP.1 };
        self.admit_share =
            Some((self.admit_share.unwrap_or(ADMIT_FIRST) + step).clamp(ADMIT.0, most));
    }

    /// A tenant is over when it fills its quota here, or its even part and more than its portion here.
    fn over_quota(&self, q: &Query) -> bool {
        let Some(id) = q
            .tenant
            .map(|t| t.0 as usize)
            .filter(|t| *t < self.tenants.len())
        else {
            return false;
        };
        let (tenant, rate) = (&self.cfg.tenants[id], |r: &Rate| r.get(self.now, RATE_SPAN));
        let (own, all) = (
            rate(&self.tenants[id]),
            self.tenants.iter().map(rate).sum::<f64>(),
        );
        let even = tenant.quota_per_s / f64::from(self.cfg.routers.max(1));
        own > tenant.quota_per_s || (own > 1.2 * even && own > 1.3 * tenant.share * all)
    }

    fn refuse(&mut self, id: RequestId, hint: f64, cause: Cause, out: &mut Out) {
        out.push(Action::Reject {
            query: id,
            retry_after: self.hint(hint),
            cause,
        });
        self.forget(id, out);
    }

    fn hint(&self, after: f64) -> Option<Duration> {
        self.cfg
            .max_retry_after
            .map(|m| duration(after.clamp(0.05, secs(m).max(0.05))))
    }

    // ---- Completion ----

    /// The least share of the present step's weight that an answer may rest on.
    fn floor(&self, q: &Query) -> f64 {
        let c = self.class(q.class);
        let whole = if q.first.is_some() {
            1.0
        } else {
            c.complete_share
        };
        Some(c.min_share)
            .filter(|f| *f < c.complete_share)
            .unwrap_or(whole)
    }

    /// Answers a query when that is due. True if it has ended.
    fn complete(&mut self, id: RequestId, out: &mut Out) -> bool {
        let q = &self.queries[&id];
        let c = self.class(q.class).clone();
        let Progress {
            got,
            total,
            open,
            all,
        } = self.progress(q);
        let second = q.first.is_some();
        let need = if second { 1.0 } else { c.complete_share };
        let whole = if need < 1.0 {
            got + ROUNDING >= need * total.max(1.0 - ROUNDING)
        } else {
            all
        };
        let (goal_at, first) = (q.goal_at.min(q.deadline), q.first);
        if whole && !q.parts.is_empty() {
            if c.second_step_parts == 0 || second {
                self.learn_share(self.now <= goal_at);
            }
            return self.answer(id, first.unwrap_or(true), c.second_step_parts > 0, out);
        }
        // A part answer at the goal, if the floor is met and waiting would earn less.
        let floor = self.floor(q);
        // So too, at once, when no host in service holds any part that is missing.
        let held = |p: &Part| {
            self.holders(p.shard)
                .any(|h| h.1.state == ServerState::Ready)
        };
        let hope = q
            .parts
            .iter()
            .map(|p| &self.parts[p])
            .any(|p| !p.done && !p.closed && held(p));
        let due =
            self.now >= goal_at - self.kept_for_second(q) - self.margin() || open == 0 || !hope;
        let worth = c.partial_value * got / need;
        if due && c.min_share < c.complete_share && got + ROUNDING >= floor && worth > c.late_value
        {
            return self.answer(id, false, c.second_step_parts > 0, out);
        }
        false
    }

    fn answer(&mut self, id: RequestId, whole: bool, two_steps: bool, out: &mut Out) -> bool {
        out.push(Action::Answer {
            query: id,
            complete: whole,
        });
        let q = self.queries.get_mut(&id).expect("an open query");
        if two_steps && q.first.is_none() {
            q.first = Some(whole);
            let parts = std::mem::take(&mut q.parts);
            self.drop_parts(parts, out);
        } else {
            self.forget(id, out);
        }
        true
    }

    /// Ends a query at once that is past its last useful time or has too much weight on parts that are over.
    fn give_up_if_hopeless(&mut self, id: RequestId, out: &mut Out) -> bool {
        let q = &self.queries[&id];
        let end = self.useful_until(q);
        let floor = self.floor(q);
        let total = self.progress(q).total;
        let lost = |p: &&Part| {
            let still = p.attempts.iter().all(|a| !a.out);
            let leaving = |h: (ServerId, &Server)| h.1.state == ServerState::Draining;
            let dead = still
                && self.usable(p.shard).next().is_none()
                && !self.holders(p.shard).any(leaving);
            let over = dead || (!p.attempts.is_empty() && still && !self.may_repeat(p, q.class));
            !p.done && (p.closed || over)
        };
        let gone: f64 = q
            .parts
            .iter()
            .map(|p| &self.parts[p])
            .filter(lost)
            .map(|p| p.weight)
            .sum();
        let hopeless = total - gone + 2.0 * ROUNDING < floor * total;
        if self.now < end - self.margin() && !hopeless && !self.kills(q) {
            return false;
        }
        let later = self.cfg.max_retry_after.map_or(0.0, secs);
        let may_refuse = q
            .parts
            .iter()
            .all(|p| self.harmless(&self.parts[p], q.class, later));
        let hint = self.latency(q.class, 0.9);
        self.learn_share(false);
        let cause = if hopeless {
            Cause::PartsLost
        } else {
            Cause::TooLate
        };
        if may_refuse {
            self.refuse(id, hint, cause, out);
        } else {
            out.push(Action::Fail {
                query: id,
                retry_after: self.hint(hint),
                cause,
            });
            self.forget(id, out);
        }
        true
    }

    fn forget(&mut self, id: RequestId, out: &mut Out) {
        if let Some(q) = self.queries.remove(&id) {
            self.drop_parts(q.parts, out);
        }
    }

    /// Parts no longer needed: what is still out is withdrawn where that is allowed.
    fn drop_parts(&mut self, parts: Vec<RequestId>, out: &mut Out) {
        let left = self.orphan(parts);
        if self.cfg.cancellation {
            out.extend(
                left.into_iter()
                    .map(|(part, attempt)| Action::Cancel { part, attempt }),
            );
        }
    }

    // ---- Discovery ----

    fn on_list(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        if kind == ListKind::Failed {
            (self.subscribed, self.asked_at) = (false, None);
            self.ask_failures = (self.ask_failures + 1).min(5);
            let most = self.cfg.subscribe_within.map_or(2.0, |m| secs(m) / 4.0);
            let wait = (0.1 * f64::from(self.ask_failures).exp2()).min(most / 2.0);
            self.ask_next = self.now + wait * (1.0 + self.chance());
            return;
        }
        if kind != ListKind::Cached {
            self.ask_failures = 0;
            self.subscribed |= self.asked_at.take().is_some();
        }
        if kind != ListKind::Changes {
            self.keep_listed(entries);
        }
        let fresh = self.listed_once && kind != ListKind::Cached;
        for e in entries {
            self.on_entry(e, fresh);
        }
        self.listed_once = true;
        self.forget_gone(FORGET);
        self.index_cells();
    }

    /// One line of the list. A start counts from the told time, or from now for one that is new or back.
    fn on_entry(&mut self, e: &ServerEntry, fresh: bool) {
        let now = self.now;
        let (boot, classes) = (e.started_at.map(secs), self.cfg.classes.len());
        let s = self
            .servers
            .entry(e.server)
            .or_insert_with(|| Server::new(e, now, classes));
        let joined = s.state == ServerState::Gone && e.state == ServerState::Ready;
        let started = boot.is_some_and(|b| s.boot.is_none_or(|old| b > old));
        if started || (joined && fresh) {
            s.cold_since = boot.or(Some(now));
            (s.unreached, s.refused, s.out_until, s.slow, s.bad, s.room) =
                (false, false, None, 1.0, 0.0, f64::MAX);
            (s.entries, s.listed_at) = (1, now);
            s.sick.fill(Sick::default());
        }
        if s.state == ServerState::Ready && e.state == ServerState::Gone {
            self.death_at = now;
        }
        if e.state != ServerState::Ready && s.state == ServerState::Ready {
            s.left_at = now;
        }
        (s.zone, s.cell, s.state) = (e.zone, e.cell, e.state);
        s.boot = boot.or(s.boot);
        s.entries = if e.state == ServerState::Ready {
            s.entries
        } else {
            0
        };
        if started || (joined && fresh) {
            // All routers hear of a start at about the same time: their first parts are spread over the gap.
            let first = now - self.chance() * self.cold_gap(&self.servers[&e.server]);
            self.servers
                .get_mut(&e.server)
                .into_iter()
                .for_each(|s| s.slot_at = first);
        }
    }

    /// Where the list must be asked: subscribes, and asks anew after a failure or a call left unanswered.
    fn ask_for_list(&mut self, out: &mut Out) {
        let Some(within) = self.cfg.subscribe_within.map(secs) else {
            return;
        };
        if self.asked_at.is_some_and(|t| self.now - t > within / 2.0) {
            self.asked_at = None;
        }
        if !self.subscribed && self.asked_at.is_none() && self.now >= self.ask_next {
            self.asked_at = Some(self.now);
            out.push(Action::Subscribe);
        }
    }
}
