//! What the policy remembers, and what each event changes in it.

use crate::budget::Terms;
use crate::health::Fault;
use crate::host::Host;
use crate::random::Random;
use crate::service::Service;
use crate::types::{
    AttemptId, HostChoice, HostInfo, HostLoad, LoadBalancerSettings, Outcome, PrefixHint,
    RequestContext,
};
use crate::window::{from_ms, ms};
use slab::Slab;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// With no call for longer, this process stalled: what it knew before isn't vouched for.
const STALL: Duration = Duration::from_millis(250);
/// A full host is left alone for so long.
const FULL: Duration = Duration::from_millis(100);
/// Shortest and longest patience with an attempt that has shown nothing, in ms.
const PATIENCE_MS: (f64, f64) = (600.0, 2500.0);
/// Patience over the time within which nearly all answers come.
const PATIENCE: f64 = 1.5;
/// Share of the time left that may be waited, so that another host still has time.
const LEFT: f64 = 0.4;
/// A client that left after so long without a byte shows a host dark.
const LEFT_DARK: Duration = Duration::from_millis(800);

/// Prompts with so many tokens to be read are told to the other proxies.
const TOLD_TOKENS: u32 = 500;
/// What is heard stands for all only after so long.
const HEARD_ALL: Duration = Duration::from_secs(1);

/// An attempt that is out.
#[derive(Debug)]
pub(crate) struct Out {
    pub(crate) host: usize,
    pub(crate) sent: Duration,
    /// Time to the first event as reckoned when it was sent, in ms, and how much of that was waiting.
    pub(crate) reckoned: f64,
    pub(super) waited: f64,
    pub(super) tokens: u32,
    pub(crate) first: bool,
    pub(crate) heard: Option<Duration>,
    pub(super) idempotent: bool,
    pub(super) trial: bool,
    pub(super) left: Duration,
}

/// All that the policy remembers.
pub(crate) struct State {
    pub(crate) settings: LoadBalancerSettings,
    pub(crate) random: Random,
    pub(crate) names: HashMap<Arc<str>, usize>,
    pub(crate) services: Slab<Service>,
    pub(super) ids: HashMap<Arc<str>, usize>,
    pub(crate) hosts: Slab<Host>,
    pub(crate) attempts: Slab<Out>,
    pub(super) terms: Terms,
    /// Since when all proxies tell each other where they send prompts.
    pub(super) told_since: Option<Duration>,
    pub(super) placed: Option<PrefixHint>,
    /// Whether the whole system has started for the first time.
    pub(crate) first_start: bool,
    /// The latest call, and when this process last woke from a stall.
    pub(super) called: Option<Duration>,
    pub(crate) woke: Duration,
}

impl State {
    /// When this process began.
    pub(crate) fn born(&self) -> Duration {
        self.terms.born.unwrap_or_default()
    }

    /// Whether what is known of the hosts' memory comes from all proxies.
    pub(crate) fn told(&self, now: Duration) -> bool {
        self.told_since.is_some_and(|t| now >= t + HEARD_ALL)
    }

    /// Notes a call; after a stall, drops what was known before it.
    pub(super) fn wake(&mut self, now: Duration) {
        self.terms.born.get_or_insert(now);
        if self.called.is_some_and(|t| now.saturating_sub(t) > STALL) {
            self.woke = now;
            for (_, service) in &mut self.services {
                service.idle.drop_before(now);
            }
            for (_, host) in &mut self.hosts {
                host.told_busy = None;
            }
        }
        self.called = Some(self.called.map_or(now, |t| t.max(now)));
    }

    /// The number of a service, which is made where it isn't known.
    pub(super) fn service(&mut self, name: &str) -> usize {
        if let Some(number) = self.names.get(name) {
            return *number;
        }
        let number = self
            .services
            .insert(Service::new(self.settings.retry_window));
        self.names.insert(name.into(), number);
        number
    }

    /// Forgets services that are neither configured nor have hosts nor had requests lately.
    pub(super) fn prune(&mut self, now: Duration) {
        let services = &mut self.services;
        self.names.retain(|_, n| {
            let unused =
                |s: &Service| s.info.is_none() && s.hosts.is_empty() && s.budget.unused(now);
            let drop = services.get(*n).is_none_or(unused);
            if drop {
                services.try_remove(*n);
            }
            !drop
        });
    }

    pub(super) fn set_host(&mut self, now: Duration, info: &HostInfo, first: &HashSet<usize>) {
        if let Some(&key) = self.ids.get(&info.id) {
            let Some(host) = self.hosts.get_mut(key) else {
                return;
            };
            if host.info.addr == info.addr && host.info.service == info.service {
                let back = host.info.heartbeat_expired && !info.heartbeat_expired;
                if info.slow_start_remaining != host.info.slow_start_remaining {
                    host.cold_until = now + info.slow_start_remaining;
                }
                host.info = info.clone();
                if back {
                    host.health.heard_elsewhere(now);
                }
                if back || info.draining || host.lost(now) {
                    self.unlist(key);
                }
                return;
            }
            self.lose(key);
        }
        // Another host at this address that was known before has ended.
        for (_, other) in &mut self.hosts {
            if other.info.addr == info.addr && other.since < now {
                other.moved = true;
            }
        }
        let number = self.service(&info.service);
        let late_comer = !first.contains(&number)
            && self
                .services
                .get(number)
                .is_some_and(|s| !s.hosts.is_empty());
        let key = self
            .hosts
            .insert(Host::new(info.clone(), number, now, late_comer));
        self.ids.insert(info.id.clone(), key);
        if let Some(service) = self.services.get_mut(number) {
            service.hosts.push(key);
        }
    }

    /// A host has left the roster.
    pub(super) fn lose(&mut self, key: usize) {
        self.unlist(key);
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        host.gone = true;
        if self.ids.get(&host.info.id) == Some(&key) {
            self.ids.remove(&host.info.id);
        }
        self.drop_if_done(key);
    }

    /// Forgets a host that is gone once nothing is out on it.
    fn drop_if_done(&mut self, key: usize) {
        let Some(host) = self.hosts.get(key).filter(|h| h.gone && h.out.is_empty()) else {
            return;
        };
        if let Some(service) = self.services.get_mut(host.service) {
            service.hosts.retain(|k| *k != key);
            service.idle.remove(key);
        }
        self.hosts.remove(key);
    }

    pub(super) fn send(
        &mut self,
        now: Duration,
        ask: &RequestContext,
        key: usize,
        tokens: u32,
        trial: bool,
    ) -> HostChoice {
        let none = HostChoice::Unavailable { retry_after: FULL };
        let proxies = self.terms.proxies.unwrap_or(1).max(1) as f64;
        let all_told = self.told(now);
        let Some(waited) = self.hosts.get(key).map(|h| self.wait(now, h)) else {
            return none;
        };
        let Some(host) = self.hosts.get_mut(key) else {
            return none;
        };
        let Some(service) = self.services.get(host.service) else {
            return none;
        };
        let reading = service.reading(tokens);
        let attempt = self.attempts.insert(Out {
            host: key,
            sent: now,
            reckoned: waited + service.times.base() + reading,
            waited,
            tokens,
            first: false,
            heard: None,
            idempotent: ask.idempotent,
            trial,
            left: ask.time_remaining,
        });
        host.out.push(attempt);
        let mut priority = None;
        if let Some(room) = service.info.as_ref().and_then(|i| i.cache_capacity_tokens) {
            host.busy_until = host.busy_until.max(now) + from_ms(reading);
            // The others fill the host's memory as fast as we do.
            host.kept.touch(
                ask.prompt_parts,
                if all_told { room } else { room / proxies },
            );
            let shared = ask.prompt_parts.split_last().map_or(&[][..], |p| p.1);
            if host.kept.share(shared) || tokens >= TOLD_TOKENS {
                self.placed = Some(PrefixHint {
                    host_id: host.info.id.clone(),
                    prefix: shared.to_vec(),
                    uncached_tokens: tokens,
                });
            }
            priority = Some(priority_of(ask.rank));
        }
        if trial {
            host.health.begin_trial();
        }
        HostChoice::Selected {
            attempt: AttemptId(attempt),
            id: host.info.id.clone(),
            addr: host.info.addr,
            priority,
        }
    }

    pub(super) fn first(&mut self, now: Duration, number: usize) {
        let Some(out) = self.attempts.get_mut(number) else {
            return;
        };
        if std::mem::replace(&mut out.first, true) {
            return;
        }
        // What came while this process stalled can't be timed.
        let timed = self.woke <= out.sent;
        let took = ms(now.saturating_sub(out.sent));
        let (key, tokens) = (out.host, out.tokens);
        let (late, read, ratio) = (
            took - out.reckoned,
            took - out.waited,
            took / out.reckoned.max(1.0),
        );
        self.settle(now, key);
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        host.heard = Some(now);
        host.health.good();
        if timed {
            host.late_by(now, late);
        }
        if let Some(service) = self.services.get_mut(host.service).filter(|_| timed) {
            service.times.add(f64::from(tokens), read.max(0.0));
            service.spread.add(ratio);
        }
        self.relist(now, key);
    }

    /// With nothing left to be read of ours, a host's backlog is over.
    fn settle(&mut self, now: Duration, key: usize) {
        let Some(host) = self.hosts.get(key) else {
            return;
        };
        let reading = host
            .out
            .iter()
            .filter_map(|o| self.attempts.get(*o))
            .any(|o| !o.first);
        if let Some(host) = self.hosts.get_mut(key).filter(|_| !reading) {
            host.busy_until = now;
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Duration,
        number: usize,
        outcome: Outcome,
        load: Option<HostLoad>,
    ) {
        if outcome == Outcome::Succeeded {
            self.first(now, number);
        }
        let Some(out) = self.attempts.try_remove(number) else {
            return;
        };
        let key = out.host;
        if let Some(host) = self.hosts.get_mut(key) {
            host.out.retain(|o| *o != number);
        }
        self.settle(now, key);
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        let age = now.saturating_sub(out.sent.max(self.woke.min(now)));
        let unheard = !out.first && host.heard.is_none_or(|h| h <= out.sent);
        // Where the attempt tells nothing of the host's health, a trial is open again.
        let open = |host: &mut Host| out.trial.then(|| host.health.trial_ended());
        let alive = !matches!(
            outcome,
            Outcome::ConnectFailed
                | Outcome::ConnectionLost
                | Outcome::TimedOut
                | Outcome::Cancelled
        );
        if alive && outcome != Outcome::Misdirected {
            host.heard = Some(now);
        }
        let mut busy = true;
        match outcome {
            Outcome::Succeeded => {
                host.health.good();
                busy = false;
            }
            Outcome::Failed => {
                host.health.erred(now, Fault::Failure);
            }
            Outcome::Overloaded | Outcome::Rejected => {
                host.health.good();
                host.full_until = Some(now + FULL);
            }
            Outcome::Misdirected => {
                host.moved = true;
                open(host);
            }
            Outcome::ConnectFailed | Outcome::ConnectionLost => {
                host.health.erred(now, Fault::Connection);
            }
            Outcome::TimedOut if unheard => {
                host.health.erred(now, Fault::Silence);
            }
            Outcome::Cancelled if unheard && age >= LEFT_DARK => {
                host.health.erred(now, Fault::Silence);
            }
            Outcome::TimedOut => {
                host.late_by(now, ms(age));
                open(host);
            }
            Outcome::Cancelled => {
                open(host);
                busy = false;
            }
        }
        match load {
            Some(load) if !busy => self.loaded(now, key, load),
            _ if busy => self.put(now, key, 0),
            _ => self.relist(now, key),
        }
        self.drop_if_done(key);
    }

    pub(super) fn patience(&self, now: Duration, number: usize) -> Option<Duration> {
        let out = self
            .attempts
            .get(number)
            .filter(|o| o.idempotent && !o.first)?;
        let host = self.hosts.get(out.host)?;
        let service = self.services.get(host.service)?;
        let (least, most) = PATIENCE_MS;
        if !out.trial && host.health.out() && host.health.dark() {
            return Some(from_ms(least));
        }
        let alive = host
            .heard
            .is_some_and(|h| h > out.sent && now.saturating_sub(h) < STALL);
        let usual = PATIENCE * service.spread.value().max(1.0) * out.reckoned;
        let most = most.min(LEFT * ms(out.left)).max(least);
        // A host that shows itself alive reads what it was sent: elsewhere it would all be read again.
        Some(from_ms(if alive {
            most
        } else {
            usual.clamp(least, most)
        }))
    }
}

/// What goes out as `Priority` (0 is first, 5 stands for none). Ranks keep their order, and with rank 0 at 2 the
/// ends of the scale stay free.
fn priority_of(rank: u32) -> u8 {
    u8::try_from(rank.saturating_mul(2).saturating_add(2).min(9)).unwrap_or(9)
}
