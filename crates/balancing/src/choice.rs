//! Which host: among those listed, or one at random.

use crate::host::Host;
use crate::order;
use crate::policy::State;
use crate::service::Service;
use crate::types::RequestContext;
use crate::window::ms;
use std::time::Duration;

/// What reading a token again counts over waiting for as long: it holds up all on the host, and is priced.
const READ_AGAIN: f64 = 4.0;
/// A prompt that is new to all goes to its home unless others are better by more than this share of reading its
/// shared parts: after a loss of what the proxies know it is sought there.
const HOME: f64 = 0.5;
/// What was sent before all proxies were started again is in hosts' memory for so long at least.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Costs that differ by less count as equal, in ms: then the home order or the zone decides.
const EQUAL_MS: f64 = 4.0;
/// With none listed, hosts are drawn among those within this factor, and so many ms, of the best.
const DRAW: f64 = 1.5;
const DRAW_MS: f64 = 20.0;
/// A trial is a small matter for a request that has few tokens to read; others only try a host that has waited.
const SMALL: u32 = 2000;
const TRIAL_WAIT: Duration = Duration::from_millis(300);
/// An answer that is out is late beyond this factor of what was reckoned.
const OVERDUE: f64 = 1.5;
/// A pause between the events of a stream beyond which its host looks dark.
const PAUSE: Duration = Duration::from_millis(400);
/// With fewer than one in so many hosts well, those that look bad without being dark, or have only stopped
/// sending heartbeats, are used too.
const PANIC: usize = 4;
/// When to come back: nothing known; all full.
const UNKNOWN: Duration = Duration::from_millis(500);
const FULL: Duration = Duration::from_millis(150);

/// A host for a request.
pub(crate) struct Pick {
    pub(crate) host: usize,
    /// Tokens that it has to read, by our reckoning.
    pub(crate) tokens: u32,
    pub(crate) trial: bool,
}

struct Candidate {
    key: usize,
    cost: f64,
    weight: u64,
    near: bool,
    tokens: u32,
}

impl State {
    /// How long a request would wait at a host before it is read, in ms.
    pub(crate) fn wait(&self, now: Duration, host: &Host) -> f64 {
        let mut late: f64 = 0.0;
        for out in host.out.iter().filter_map(|o| self.attempts.get(*o)) {
            let since = out.sent.max(self.woke);
            if !out.first {
                late = late.max(ms(now.saturating_sub(since)) - OVERDUE * out.reckoned);
            } else if let (Some(_), Some(heard)) = (out.heard, host.heard) {
                late = late.max(ms(now.saturating_sub(heard.max(since))) - ms(PAUSE));
            }
        }
        host.backlog(now) + host.excess(now) + late.max(0.0)
    }

    /// Whether a home is taken to keep its prompts: where not all is told, or was forgotten with a restart.
    fn assumes(&self, now: Duration, ask: &RequestContext) -> bool {
        let restarted = !self.first_start && now < self.born() + REMEMBERED;
        let known = || {
            order::key(ask.prompt_parts)
                .is_some_and(|k| self.hosts.iter().any(|(_, h)| h.kept.has(k)))
        };
        !self.told(now) || (restarted && !known())
    }

    /// Tokens that a host has to read, by what was sent there; the home keeps the shared parts, as all proxies
    /// send them there.
    fn unread(&self, now: Duration, host: &Host, home: bool, ask: &RequestContext) -> u32 {
        let all: u32 = ask
            .prompt_parts
            .iter()
            .map(|p| p.tokens)
            .fold(0, u32::saturating_add);
        let all = if ask.prompt_parts.is_empty() {
            ask.prompt_tokens
        } else {
            all
        };
        let shared = match ask.prompt_parts {
            [shared @ .., _own] if home && self.assumes(now, ask) => {
                shared.iter().map(|p| p.tokens).fold(0, u32::saturating_add)
            }
            _ => 0,
        };
        all.saturating_sub(host.kept.prefix(ask.prompt_parts).max(shared))
    }

    fn candidate(
        &self,
        now: Duration,
        key: usize,
        service: &Service,
        home: Option<usize>,
        ask: &RequestContext,
    ) -> Option<Candidate> {
        let host = self.hosts.get(key)?;
        let near = host.info.zone == self.settings.zone;
        let prompt = order::key(ask.prompt_parts);
        let weight = order::weight(prompt.unwrap_or(0), host.place);
        let wait = self.wait(now, host);
        if !service.model() {
            let share = host.out.len() as f64 / f64::from(host.info.capacity.max(1));
            return Some(Candidate {
                key,
                cost: wait + share * service.times.base(),
                weight,
                near,
                tokens: 0,
            });
        }
        let tokens = self.unread(now, host, home == Some(key), ask);
        let weight = if prompt.is_some() { weight } else { 0 };
        let shared = ask
            .prompt_parts
            .split_last()
            .map_or(0, |p| p.1.iter().map(|p| p.tokens).sum());
        let at_home = if home == Some(key) {
            HOME * service.reading(shared)
        } else {
            0.0
        };
        let cost = wait + READ_AGAIN * service.reading(tokens) - at_home;
        Some(Candidate {
            key,
            cost,
            weight,
            near,
            tokens,
        })
    }

    /// Picks a host for a request, or says when to come back.
    pub(crate) fn pick(&mut self, now: Duration, ask: &RequestContext) -> Result<Pick, Duration> {
        let Some(&number) = self.names.get(ask.service) else {
            return Err(UNKNOWN);
        };
        self.judge(now, number);
        let Some(service) = self.services.get(number) else {
            return Err(UNKNOWN);
        };
        let open = |h: &Host| {
            h.usable() && !ask.attempted_hosts.contains(&h.info.id) && !self.full(now, h)
        };
        let hosts: Vec<(usize, &Host)> = service
            .hosts
            .iter()
            .filter_map(|k| Some((*k, self.hosts.get(*k)?)))
            .collect();
        let known = hosts.iter().filter(|(_, h)| h.usable()).count();
        if known == 0 {
            return Err(UNKNOWN);
        }
        let opens: Vec<(usize, &Host)> = hosts.iter().filter(|(_, h)| open(h)).copied().collect();
        // The home is the same whatever was tried: it is where others send such prompts.
        let prompt = order::key(ask.prompt_parts);
        let home = prompt.filter(|_| service.model()).and_then(|p| {
            let well = hosts
                .iter()
                .filter(|(_, h)| h.usable() && !h.health.out() && !h.lost(now));
            well.max_by_key(|(_, h)| order::weight(p, h.place))
                .map(|(k, _)| *k)
        });
        let cost = |keys: &[usize]| -> Vec<Candidate> {
            keys.iter()
                .filter_map(|k| self.candidate(now, *k, service, home, ask))
                .collect()
        };

        let due = opens
            .iter()
            .filter(|(_, h)| h.health.trial_due(now, h.info.heartbeat_expired));
        if let Some((key, host)) = due.min_by_key(|(_, h)| h.health.back()) {
            let waited = host
                .health
                .back()
                .map_or(Duration::ZERO, |b| now.saturating_sub(b));
            let tokens = self.unread(now, host, false, ask);
            let fits = ask.idempotent && (tokens <= SMALL || waited >= TRIAL_WAIT)
                || host.health.overdue(now);
            if fits {
                return Ok(Pick {
                    host: *key,
                    tokens,
                    trial: true,
                });
            }
        }

        let mut fit: Vec<usize> = opens
            .iter()
            .filter(|(_, h)| !h.health.out() && !h.lost(now))
            .map(|(k, _)| *k)
            .collect();
        if !fit.is_empty() && fit.len() * PANIC < known {
            let bad = |h: &Host| h.health.out() && !h.health.dark() && !h.info.heartbeat_expired;
            // With so many silent at once it is rather their heartbeats that have trouble.
            let silent = |h: &Host| h.lost(now) && !h.health.out();
            fit.extend(
                opens
                    .iter()
                    .filter(|(_, h)| bad(h) || silent(h))
                    .map(|(k, _)| *k),
            );
        }
        let mut listed: Vec<usize> = Vec::new();
        if fit.is_empty() {
            // Weak evidence against all: those without errors, then the least bad.
            fit = opens
                .iter()
                .filter(|(_, h)| !h.health.out())
                .map(|(k, _)| *k)
                .collect();
            if fit.is_empty() {
                let least = opens.iter().map(|(_, h)| h.health.badness()).min();
                fit = opens
                    .iter()
                    .filter(|(_, h)| Some(h.health.badness()) == least)
                    .map(|(k, _)| *k)
                    .collect();
            }
        } else {
            listed = fit
                .iter()
                .filter(|k| service.idle.entries(now, **k) > 0)
                .copied()
                .collect();
        }

        let candidates = cost(if listed.is_empty() { &fit } else { &listed });
        let Some(best) = candidates.iter().map(|c| c.cost).min_by(f64::total_cmp) else {
            return Err(FULL.max(self.room_at(now, &hosts)));
        };
        let model = service.model();
        let chosen = if listed.is_empty() {
            let drawn: Vec<_> = candidates
                .into_iter()
                .filter(|c| c.cost <= best * DRAW + DRAW_MS)
                .collect();
            let n = self.random.below(drawn.len());
            drawn.into_iter().nth(n)
        } else {
            let mut ties: Vec<_> = candidates
                .into_iter()
                .filter(|c| c.cost <= best + EQUAL_MS)
                .collect();
            if model && prompt.is_some() {
                ties.into_iter().max_by_key(|c| c.weight)
            } else {
                if ties.iter().any(|c| c.near) {
                    ties.retain(|c| c.near);
                }
                let n = self.random.below(ties.len());
                ties.into_iter().nth(n)
            }
        };
        let Some(chosen) = chosen else {
            return Err(FULL);
        };
        if let Some(service) = self.services.get_mut(number) {
            service.idle.strike(now, chosen.key);
        }
        Ok(Pick {
            host: chosen.key,
            tokens: chosen.tokens,
            trial: false,
        })
    }

    /// Whether a host is taken for full.
    fn full(&self, now: Duration, host: &Host) -> bool {
        let limit = self
            .services
            .get(host.service)
            .and_then(|s| s.info.as_ref())
            .map_or(u32::MAX, |i| i.connection_limit);
        host.full(now) || host.out.len() as u32 >= limit
    }

    /// How long until the first full host may have room again.
    fn room_at(&self, now: Duration, hosts: &[(usize, &Host)]) -> Duration {
        hosts
            .iter()
            .filter_map(|(_, h)| h.full_until)
            .map(|t| t.saturating_sub(now))
            .min()
            .unwrap_or(Duration::ZERO)
    }
}
