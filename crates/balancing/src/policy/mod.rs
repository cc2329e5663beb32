//! The policy: what it is told, and its answers.

mod state;

pub(crate) use state::State;

use crate::budget::Terms;
use crate::random::Random;
use crate::types::{
    AttemptId, HostChoice, HostInfo, HostLoad, LoadBalancerSettings, Outcome, PrefixHint,
    PromptPart, RequestContext, ServiceInfo,
};
use crate::window::from_ms;
use slab::Slab;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The policy of one proxy.
pub struct LoadBalancer {
    state: State,
}

impl LoadBalancer {
    /// A policy that knows no hosts yet.
    pub fn new(settings: LoadBalancerSettings) -> Self {
        let terms = Terms {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
            proxies: None,
            born: None,
        };
        let state = State {
            random: Random::new(settings.random_seed),
            settings,
            names: HashMap::new(),
            services: Slab::new(),
            ids: HashMap::new(),
            hosts: Slab::new(),
            attempts: Slab::new(),
            terms,
            told_since: None,
            placed: None,
            first_start: false,
            called: None,
            woke: Duration::ZERO,
        };
        Self { state }
    }

    /// The services as configured now.
    pub fn set_services(&mut self, now: Duration, services: &[ServiceInfo]) {
        self.state.wake(now);
        for (_, service) in &mut self.state.services {
            service.info = None;
        }
        for info in services {
            let number = self.state.service(&info.name);
            if let Some(service) = self.state.services.get_mut(number) {
                service.info = Some(info.clone());
            }
        }
        self.state.prune(now);
    }

    /// The hosts as the roster has them now, over all services.
    pub fn set_hosts(&mut self, now: Duration, hosts: &[HostInfo]) {
        self.state.wake(now);
        let listed: HashSet<&str> = hosts.iter().map(|h| &*h.id).collect();
        let lost: Vec<usize> = self
            .state
            .hosts
            .iter()
            .filter(|(_, h)| !listed.contains(&*h.info.id))
            .map(|(k, _)| k)
            .collect();
        for key in lost {
            self.state.lose(key);
        }
        let first: HashSet<usize> = self
            .state
            .services
            .iter()
            .filter(|(_, s)| s.hosts.is_empty())
            .map(|(n, _)| n)
            .collect();
        for info in hosts {
            self.state.set_host(now, info, &first);
        }
        self.state.prune(now);
    }

    /// Number of coordinators that share the budget.
    pub fn set_proxy_count(&mut self, now: Duration, count: usize) {
        self.state.wake(now);
        self.state.terms.proxies = (count > 0).then_some(count);
    }

    /// Says that the whole system starts for the first time: hosts keep nothing yet.
    pub fn set_first_start(&mut self) {
        self.state.first_start = true;
    }

    /// Whether all proxies tell each other where they send prompts.
    pub fn set_hints_complete(&mut self, now: Duration, all: bool) {
        self.state.told_since = if all {
            self.state.told_since.or(Some(now))
        } else {
            None
        };
    }

    /// What the latest choice means for the other proxies, where it is worth telling.
    pub fn take_prefix_hint(&mut self) -> Option<PrefixHint> {
        self.state.placed.take()
    }

    /// Another proxy has sent a prompt to a host.
    pub fn on_prefix_hint(&mut self, now: Duration, host: &str, parts: &[PromptPart], unread: u32) {
        let state = &mut self.state;
        let Some(host) = state.ids.get(host).and_then(|k| state.hosts.get_mut(*k)) else {
            return;
        };
        let Some(service) = state.services.get(host.service) else {
            return;
        };
        let Some(room) = service.info.as_ref().and_then(|i| i.cache_capacity_tokens) else {
            return;
        };
        // No prompt is longer than what a host keeps, whatever a datagram says.
        if parts.iter().map(|p| f64::from(p.tokens)).sum::<f64>() > room {
            return;
        }
        host.kept.touch(parts, room);
        host.kept.share(parts);
        let reading = service.reading(unread.min(room as u32));
        host.others_until = host.others_until.max(now) + from_ms(reading);
    }

    /// What hosts keep that others may ask for too, by our reckoning.
    pub fn cached_prefixes(&self) -> Vec<PrefixHint> {
        let hosts = self
            .state
            .hosts
            .iter()
            .map(|(_, h)| h)
            .filter(|h| h.usable());
        let all = hosts.map(|h| PrefixHint {
            host_id: h.info.id.clone(),
            prefix: h.kept.shared(),
            uncached_tokens: 0,
        });
        all.filter(|p| !p.prefix.is_empty()).collect()
    }

    /// Time passes. Called every 100 ms or so while attempts are out, a stall of this process shows in the gap between two calls.
    pub fn tick(&mut self, now: Duration) {
        self.state.wake(now);
    }

    /// A request came in for a service: the budget grows by its share. Once for each try of a client.
    pub fn on_request(&mut self, now: Duration, service: &str) {
        self.state.wake(now);
        let number = self.state.service(service);
        if let Some(service) = self.state.services.get_mut(number) {
            service.budget.arrived(now);
        }
    }

    /// Picks a host, and counts the attempt as sent.
    pub fn choose_host(&mut self, now: Duration, ask: &RequestContext) -> HostChoice {
        self.state.wake(now);
        match self.state.pick(now, ask) {
            Ok(pick) => self
                .state
                .send(now, ask, pick.host, pick.tokens, pick.trial),
            Err(retry_after) => HostChoice::Unavailable { retry_after },
        }
    }

    /// Whether the budget has room for one more host for a request that was sent before; if so it is taken.
    /// Asked before [`LoadBalancer::choose_host`] for every attempt beyond a try's first that reached a host.
    pub fn withdraw_retry(&mut self, now: Duration, service: &str) -> bool {
        self.state.wake(now);
        let number = self.state.service(service);
        let state = &mut self.state;
        state
            .services
            .get_mut(number)
            .is_some_and(|s| s.budget.take(now, &state.terms))
    }

    /// The head of a good answer came (for streams: the first event).
    pub fn on_first_byte(&mut self, now: Duration, attempt: AttemptId) {
        self.state.wake(now);
        self.state.first(now, attempt.0);
    }

    /// Something more came for an attempt: an event of its stream, a piece of its body.
    pub fn on_progress(&mut self, now: Duration, attempt: AttemptId) {
        self.state.wake(now);
        let Some(out) = self.state.attempts.get_mut(attempt.0) else {
            return;
        };
        out.heard = Some(now);
        if let Some(host) = self.state.hosts.get_mut(out.host) {
            host.heard = Some(now);
        }
    }

    /// A host told its load in the head of an answer that goes on. Where it comes with the end, it goes to
    /// [`LoadBalancer::on_attempt_ended`].
    pub fn on_load_report(&mut self, now: Duration, attempt: AttemptId, load: HostLoad) {
        self.state.wake(now);
        if let Some(key) = self.state.attempts.get(attempt.0).map(|o| o.host) {
            self.state.loaded(now, key, load);
        }
    }

    /// An attempt ended.
    pub fn on_attempt_ended(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<HostLoad>,
    ) {
        self.state.wake(now);
        self.state.ended(now, attempt.0, outcome, load);
    }

    /// How long an attempt may stay without a first byte before another host is worth asking (only where the
    /// request may run twice); `None` where waiting is best.
    pub fn attempt_timeout(&self, now: Duration, attempt: AttemptId) -> Option<Duration> {
        self.state.patience(now, attempt.0)
    }
}
