//! Discrete-event simulation of clients, proxies and hosts.

use super::engine::{Engine, EngineProfile};
use super::report::{Report, RequestResult};
use super::router::{Router, SelectedHost, Strategy, SERVICE};
use super::traffic::{generate_requests, Request, RequestClass, TrafficSurge};
use super::{from_ms, Random, Time, SECOND};
use balancing::{HostInfo, HostLoad, Outcome, PromptPart, RequestContext};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// A fault during a run.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    /// The first `hosts` hosts crash together and are replaced after `duration`; their connections break.
    Crash {
        hosts: usize,
        at: Time,
        duration: Time,
    },
    /// Like `Crash`, but the connections don't break: the hosts just stop responding.
    Unresponsive {
        hosts: usize,
        at: Time,
        duration: Time,
    },
    /// A rolling release: the first `hosts` hosts are drained, stopped and replaced one after the other.
    Release {
        hosts: usize,
        at: Time,
        interval: Time,
    },
    /// A proxy stops with all its streams and restarts after half a second, without its state.
    Restart {
        proxy: usize,
        at: Time,
    },
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub hosts: usize,
    pub proxies: usize,
    pub profile: EngineProfile,
    pub classes: &'static [RequestClass],
    pub surge: TrafficSurge,
    pub fault: Fault,
    pub length: Time,
    pub seed: u64,
}

/// Network delay from proxy to host or back.
const NETWORK_DELAY: Time = 500;
/// Time until a change of the host registry reaches the proxies.
const DISCOVERY_DELAY: Time = 50_000;
/// Time without a heartbeat after which a host's heartbeats count as expired.
const HEARTBEAT_TIMEOUT: Time = 3 * SECOND;
/// Time for which a draining host continues to serve requests.
const DRAIN_TIME: Time = 2_200_000;
/// Time from the end of a drained host to the start of its replacement in a rolling release.
const REPLACEMENT_START_TIME: Time = 1_000_000;
/// Interval at which a proxy ticks its load balancer.
const TICK_INTERVAL: Time = 100_000;
/// Largest number of hosts that one attempt of a client is sent to, unless no host has executed it.
const MAX_HOST_ATTEMPTS: usize = 2;

/// An event of the simulation. Requests, attempts, hosts and proxies are given by their indices.
enum Event {
    /// A client's request arrives at its proxy.
    RequestArrived(usize),
    /// An attempt arrives at its host.
    RequestAtHost { attempt: usize },
    /// A host's step ends.
    StepEnded { host: usize, incarnation: u32 },
    /// An event of a response arrives at the proxy.
    ResponseProgress {
        attempt: usize,
        last: bool,
        load: Option<HostLoad>,
    },
    /// The proxy learns that an attempt has failed.
    AttemptFailed { attempt: usize, outcome: Outcome },
    /// The attempt timeout has passed.
    AttemptTimeout { attempt: usize },
    /// The deadline of a request has passed.
    Deadline { request: usize },
    /// The client gives up if no event has arrived since there were `events`.
    StreamPauseCheck { request: usize, events: u32 },
    /// All proxies tick their load balancers.
    Tick,
    /// The proxies receive the host registry's list.
    PublishHosts,
    /// A host stops.
    HostDown { host: usize, unresponsive: bool },
    /// A host's replacement starts.
    HostUp { host: usize },
    /// The heartbeats of a host expire.
    HeartbeatExpired { host: usize, incarnation: u32 },
    /// A host begins to drain.
    HostDraining { host: usize },
    /// A running proxy stops, or a stopped proxy starts again.
    ProxyRestart { proxy: usize },
}

/// A host, or its latest replacement.
struct Host {
    engine: Engine,
    info: HostInfo,
    /// Number of replacements so far.
    incarnation: u32,
    up: bool,
    /// Whether the host stopped without breaking its connections.
    unresponsive: bool,
    /// Whether the host has left the registry.
    left: bool,
}

/// An attempt of a proxy at a host.
struct AttemptState {
    request: usize,
    proxy: usize,
    /// Incarnation of the proxy, whose attempts end when it restarts.
    proxy_incarnation: u32,
    /// Number of the attempt at the proxy's router.
    router_attempt: usize,
    host: usize,
    host_incarnation: u32,
    priority: u8,
    ended: bool,
    has_response: bool,
}

/// The client of one request.
struct Client {
    proxy: usize,
    attempted_hosts: Vec<Arc<str>>,
    /// Number of hosts that the client's latest attempt was sent to.
    host_attempts: usize,
    /// Number of times that the client sent the request to a proxy.
    client_attempts: usize,
    /// The latest attempt at a host.
    attempt: Option<usize>,
    /// Number of response events received.
    events: u32,
    output_tokens_received: u32,
    first_event_at: Option<Time>,
    last_event_at: Time,
    longest_pause: Time,
    ended: bool,
    /// Whether the complete response has arrived.
    complete: bool,
}

impl Client {
    fn new(proxy: usize) -> Self {
        Self {
            proxy,
            attempted_hosts: Vec::new(),
            host_attempts: 0,
            client_attempts: 0,
            attempt: None,
            events: 0,
            output_tokens_received: 0,
            first_event_at: None,
            last_event_at: 0,
            longest_pause: 0,
            ended: false,
            complete: false,
        }
    }
}

struct Proxy {
    router: Router,
    /// Number of restarts so far.
    incarnation: u32,
    up: bool,
}

/// A run of a scenario with one strategy of host choice.
pub struct Simulation {
    scenario: Scenario,
    strategy: Strategy,
    now: Time,
    /// Number of scheduled events, which orders events at the same time.
    sequence: u64,
    /// Time, sequence number and index in `events` of each scheduled event.
    event_queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    /// All events; `None` once they have been handled.
    events: Vec<Option<Event>>,
    hosts: Vec<Host>,
    proxies: Vec<Proxy>,
    requests: Vec<Request>,
    clients: Vec<Client>,
    attempts: Vec<AttemptState>,
    random: Random,
    /// Ids of the shared parts that a host has prefilled.
    prefilled_parts: HashSet<u64>,
    prefilled_again: u64,
    retries: u64,
}

impl Simulation {
    /// Runs a scenario until 20 s after the end of its arrivals.
    pub fn run(scenario: Scenario, strategy: Strategy) -> Report {
        let mut simulation = Self::new(scenario, strategy);
        while let Some(Reverse((at, _, index))) = simulation.event_queue.pop() {
            simulation.now = at;
            if at > scenario.length + 20 * SECOND {
                break;
            }
            if let Some(event) = simulation.events[index].take() {
                simulation.handle(event);
            }
        }
        simulation.report()
    }

    fn new(scenario: Scenario, strategy: Strategy) -> Self {
        let mut simulation = Self {
            strategy,
            now: 0,
            sequence: 0,
            event_queue: BinaryHeap::new(),
            events: Vec::new(),
            hosts: (0..scenario.hosts)
                .map(|index| host(index, 0, scenario.profile))
                .collect(),
            proxies: Vec::new(),
            requests: generate_requests(
                scenario.classes,
                scenario.surge,
                scenario.length,
                scenario.seed,
            ),
            clients: Vec::new(),
            attempts: Vec::new(),
            random: Random(scenario.seed ^ 0x5eed),
            prefilled_parts: HashSet::new(),
            prefilled_again: 0,
            retries: 0,
            scenario,
        };
        for index in 0..scenario.proxies {
            let router = Router::new(
                strategy,
                index,
                scenario.proxies,
                scenario.profile.cache_capacity_tokens,
                0,
            );
            simulation.proxies.push(Proxy {
                router,
                incarnation: 0,
                up: true,
            });
        }
        simulation.publish_hosts();
        simulation.schedule_requests();
        simulation.schedule(0, Event::Tick);
        simulation.schedule_fault();
        simulation
    }

    /// Assigns a client and a proxy to each request, and schedules its arrival and its deadline.
    fn schedule_requests(&mut self) {
        for request in 0..self.requests.len() {
            let proxy = self.random.below(self.scenario.proxies);
            self.clients.push(Client::new(proxy));
            let arrives_at = self.requests[request].arrives_at;
            self.schedule(arrives_at, Event::RequestArrived(request));
            self.schedule(
                arrives_at + from_ms(self.class(request).deadline_ms),
                Event::Deadline { request },
            );
        }
    }

    fn schedule_fault(&mut self) {
        match self.scenario.fault {
            Fault::None => {}
            Fault::Crash {
                hosts,
                at,
                duration,
            }
            | Fault::Unresponsive {
                hosts,
                at,
                duration,
            } => {
                let unresponsive = matches!(self.scenario.fault, Fault::Unresponsive { .. });
                for host in 0..hosts {
                    self.schedule(at, Event::HostDown { host, unresponsive });
                    self.schedule(at + duration, Event::HostUp { host });
                }
            }
            Fault::Release {
                hosts,
                at,
                interval,
            } => {
                for host in 0..hosts {
                    let at = at + host as Time * interval;
                    self.schedule(at, Event::HostDraining { host });
                    self.schedule(
                        at + DRAIN_TIME,
                        Event::HostDown {
                            host,
                            unresponsive: false,
                        },
                    );
                    self.schedule(
                        at + DRAIN_TIME + REPLACEMENT_START_TIME,
                        Event::HostUp { host },
                    );
                }
            }
            Fault::Restart { proxy, at } => self.schedule(at, Event::ProxyRestart { proxy }),
        }
    }

    fn class(&self, request: usize) -> &'static RequestClass {
        &self.scenario.classes[self.requests[request].class]
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.event_queue
            .push(Reverse((at, self.sequence, self.events.len())));
        self.events.push(Some(event));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrived(request) => self.receive_request(request),
            Event::RequestAtHost { attempt } => self.submit_to_host(attempt),
            Event::StepEnded { host, incarnation } => self.end_step(host, incarnation),
            Event::ResponseProgress {
                attempt,
                last,
                load,
            } => self.receive_response_event(attempt, last, load),
            Event::AttemptFailed { attempt, outcome } => self.fail_attempt(attempt, outcome),
            Event::AttemptTimeout { attempt } => self.time_out_attempt(attempt),
            Event::Deadline { request } => self.cancel_request(request),
            Event::StreamPauseCheck { request, events } => {
                if self.clients[request].events == events {
                    self.cancel_request(request);
                }
            }
            Event::Tick => self.tick(),
            Event::PublishHosts => self.publish_hosts(),
            Event::HostDown { host, unresponsive } => self.stop_host(host, unresponsive),
            Event::HostUp { host } => self.replace_host(host),
            Event::HeartbeatExpired { host, incarnation } => {
                if self.hosts[host].incarnation == incarnation && !self.hosts[host].left {
                    self.hosts[host].info.heartbeat_expired = true;
                    self.publish_hosts();
                }
            }
            Event::HostDraining { host } => {
                self.hosts[host].info.draining = true;
                self.schedule(self.now + DISCOVERY_DELAY, Event::PublishHosts);
            }
            Event::ProxyRestart { proxy } => self.restart_proxy(proxy),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        for proxy in self.proxies.iter_mut().filter(|proxy| proxy.up) {
            proxy.router.tick(now);
        }
        if now < self.scenario.length + 15 * SECOND {
            self.schedule(now + TICK_INTERVAL, Event::Tick);
        }
    }

    /// Sends the hosts in the registry to all proxies.
    fn publish_hosts(&mut self) {
        let now = self.now;
        let listed: Vec<HostInfo> = self
            .hosts
            .iter()
            .filter(|host| !host.left)
            .map(|host| host.info.clone())
            .collect();
        for proxy in self.proxies.iter_mut().filter(|proxy| proxy.up) {
            proxy.router.set_hosts(now, &listed);
        }
    }

    /// Replaces a host by its next incarnation.
    fn replace_host(&mut self, index: usize) {
        let previous = &self.hosts[index];
        let (busy_time, prefilled_tokens) =
            (previous.engine.busy_time, previous.engine.prefilled_tokens);
        let mut replacement = host(index, previous.incarnation + 1, self.scenario.profile);
        replacement.engine.busy_time = busy_time;
        replacement.engine.prefilled_tokens = prefilled_tokens;
        self.hosts[index] = replacement;
        self.schedule(self.now + DISCOVERY_DELAY, Event::PublishHosts);
    }

    /// Forwards a client's request that arrives at its proxy, or at another proxy if its own is down.
    fn receive_request(&mut self, request: usize) {
        if self.clients[request].ended {
            return;
        }
        while !self.proxies[self.clients[request].proxy].up {
            self.clients[request].proxy = self.random.below(self.scenario.proxies);
        }
        let client = &mut self.clients[request];
        client.attempted_hosts.clear();
        (client.host_attempts, client.client_attempts) = (0, client.client_attempts + 1);
        let now = self.now;
        self.proxies[client.proxy].router.on_request(now);
        self.send(request, false);
    }

    /// Sends a request to a host that the proxy chooses. A retry is withdrawn from the retry budget. Returns whether
    /// the request was sent.
    fn send(&mut self, request: usize, is_retry: bool) -> bool {
        let (now, class) = (self.now, self.class(request));
        let deadline = self.requests[request].arrives_at + from_ms(class.deadline_ms);
        let (client, sent_request) = (&self.clients[request], &self.requests[request]);
        let proxy = &mut self.proxies[client.proxy];
        if is_retry && !proxy.router.withdraw_retry(now) {
            return false;
        }
        let prompt_tokens = sent_request.parts.iter().map(|part| part.tokens).sum();
        let context = RequestContext {
            service: SERVICE,
            tenant_rank: None,
            rank: class.rank,
            idempotent: class.idempotent,
            prompt_parts: &sent_request.parts,
            prompt_tokens,
            time_remaining: Duration::from_micros(deadline.saturating_sub(now)),
            target_remaining: None,
            attempted_hosts: &client.attempted_hosts,
        };
        let selected = match proxy.router.choose_host(now, &context) {
            Ok(selected) => selected,
            Err(retry_after) => {
                if !is_retry {
                    self.retry_by_client(request, retry_after.as_micros() as Time);
                }
                return false;
            }
        };
        let Some(host) = self
            .hosts
            .iter()
            .position(|host| host.info.id == selected.id)
        else {
            // The host has been replaced in the meantime.
            self.proxies[self.clients[request].proxy]
                .router
                .on_attempt_ended(now, selected.attempt, Outcome::ConnectFailed);
            return false;
        };
        self.record_attempt(request, host, selected);
        true
    }

    /// Records an attempt, and schedules its arrival at the host and its timeout.
    fn record_attempt(&mut self, request: usize, host: usize, selected: SelectedHost) {
        let (now, class) = (self.now, self.class(request));
        let proxy = self.clients[request].proxy;
        let index = self.attempts.len();
        self.attempts.push(AttemptState {
            request,
            proxy,
            proxy_incarnation: self.proxies[proxy].incarnation,
            router_attempt: selected.attempt,
            host,
            host_incarnation: self.hosts[host].incarnation,
            priority: selected.priority,
            ended: false,
            has_response: false,
        });
        let client = &mut self.clients[request];
        client.attempted_hosts.push(selected.id);
        client.host_attempts += 1;
        client.attempt = Some(index);
        self.retries += u64::from(client.host_attempts > 1);
        // The host's overhead before its queue adds to the network delay.
        self.schedule(
            now + NETWORK_DELAY + from_ms(self.scenario.profile.overhead_ms),
            Event::RequestAtHost { attempt: index },
        );
        let timeout = self.proxies[proxy]
            .router
            .attempt_timeout(now, selected.attempt);
        if let Some(timeout) = timeout.filter(|_| class.idempotent) {
            self.schedule(
                now + timeout.as_micros() as Time,
                Event::AttemptTimeout { attempt: index },
            );
        }
    }

    /// Lets the client retry a request once, at a random proxy, unless the response has begun or the deadline is too
    /// near.
    fn retry_by_client(&mut self, request: usize, retry_after: Time) {
        let deadline = self.requests[request].arrives_at + from_ms(self.class(request).deadline_ms);
        let client = &mut self.clients[request];
        client.attempt = None;
        if client.client_attempts > 1
            || client.first_event_at.is_some()
            || self.now + retry_after >= deadline
        {
            client.ended = true;
            return;
        }
        client.proxy = self.random.below(self.scenario.proxies);
        let retry_at = self.now + retry_after.min((deadline - self.now) / 3);
        self.schedule(retry_at, Event::RequestArrived(request));
    }

    /// Submits an attempt that has arrived at its host.
    fn submit_to_host(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        if attempt.ended {
            return;
        }
        let host = &mut self.hosts[attempt.host];
        let is_gone = host.incarnation != attempt.host_incarnation || !host.up;
        if is_gone && host.unresponsive && host.incarnation == attempt.host_incarnation {
            return;
        }
        if is_gone {
            self.schedule(
                self.now + NETWORK_DELAY,
                Event::AttemptFailed {
                    attempt: index,
                    outcome: Outcome::ConnectFailed,
                },
            );
            return;
        }
        let request = &self.requests[attempt.request];
        let client = &self.clients[attempt.request];
        let remaining_tokens = (request.events * self.scenario.profile.tokens_per_event)
            .saturating_sub(client.output_tokens_received)
            .max(1);
        if !host
            .engine
            .submit(index, attempt.priority, &request.parts, remaining_tokens)
        {
            self.schedule(
                self.now + NETWORK_DELAY,
                Event::AttemptFailed {
                    attempt: index,
                    outcome: Outcome::Overloaded,
                },
            );
            return;
        }
        self.begin_step(self.attempts[index].host);
    }

    /// Begins a host's next step, unless one is in progress or there is nothing to do.
    fn begin_step(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.engine.step_in_progress || !host.up {
            return;
        }
        let step_duration = host.engine.begin_step();
        let incarnation = host.incarnation;
        for PromptPart { id, tokens } in std::mem::take(&mut host.engine.prefilled_shared_parts) {
            if !self.prefilled_parts.insert(id) {
                self.prefilled_again += u64::from(tokens);
            }
        }
        if let Some(step_duration) = step_duration {
            self.schedule(
                self.now + step_duration,
                Event::StepEnded {
                    host: index,
                    incarnation,
                },
            );
        }
    }

    /// Ends a host's step, sends its outputs to the proxies and begins the next step.
    fn end_step(&mut self, index: usize, incarnation: u32) {
        let host = &mut self.hosts[index];
        if host.incarnation != incarnation || !host.up {
            return;
        }
        let outputs = host.engine.end_step();
        let (running, waiting, slots) = host.engine.load();
        let load = host.engine.profile.reports_load.then_some(HostLoad {
            running,
            waiting,
            slots,
        });
        for output in outputs {
            self.schedule(
                self.now + NETWORK_DELAY,
                Event::ResponseProgress {
                    attempt: output.attempt,
                    last: output.last,
                    load,
                },
            );
        }
        self.begin_step(index);
    }

    /// Receives a response event at the proxy and at the client.
    fn receive_response_event(&mut self, index: usize, last: bool, load: Option<HostLoad>) {
        let attempt = &mut self.attempts[index];
        if attempt.ended
            || self.hosts[attempt.host].unresponsive
                && self.hosts[attempt.host].incarnation == attempt.host_incarnation
        {
            return;
        }
        let now = self.now;
        let is_first = !std::mem::replace(&mut attempt.has_response, true);
        attempt.ended = last;
        let router = &mut self.proxies[attempt.proxy].router;
        if is_first {
            router.on_first_byte(now, attempt.router_attempt, load);
        } else {
            router.on_progress(now, attempt.router_attempt);
        }
        if last {
            router.on_attempt_ended(now, attempt.router_attempt, Outcome::Succeeded);
        }
        let client = &mut self.clients[attempt.request];
        client.events += 1;
        client.output_tokens_received += self.scenario.profile.tokens_per_event;
        match client.first_event_at {
            None => client.first_event_at = Some(now),
            Some(_) => client.longest_pause = client.longest_pause.max(now - client.last_event_at),
        }
        client.last_event_at = now;
        if last {
            (client.ended, client.complete) = (true, true);
            return;
        }
        let (request, events) = (attempt.request, client.events);
        let class = self.class(request);
        let patience_ms = 2000f64
            .max(4.0 * class.latency_target_ms)
            .max(8.0 * class.max_pause_ms);
        self.schedule(
            now + from_ms(patience_ms),
            Event::StreamPauseCheck { request, events },
        );
    }

    /// Ends an attempt at the proxy and at the host.
    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        let attempt = &mut self.attempts[index];
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        let proxy = &mut self.proxies[attempt.proxy];
        if proxy.incarnation == attempt.proxy_incarnation {
            proxy
                .router
                .on_attempt_ended(self.now, attempt.router_attempt, outcome);
        }
        if self.hosts[attempt.host].incarnation == attempt.host_incarnation {
            self.hosts[attempt.host].engine.remove_attempt(index);
        }
    }

    /// Ends a failed attempt, and retries the request if it is idempotent or never ran.
    fn fail_attempt(&mut self, index: usize, outcome: Outcome) {
        if self.attempts[index].ended {
            return;
        }
        self.end_attempt(index, outcome);
        let request = self.attempts[index].request;
        let never_ran = matches!(outcome, Outcome::ConnectFailed | Outcome::Overloaded);
        let may_retry = never_ran || self.class(request).idempotent;
        let max_host_attempts = if never_ran { 3 } else { MAX_HOST_ATTEMPTS };
        if may_retry
            && self.clients[request].host_attempts < max_host_attempts
            && self.send(request, outcome != Outcome::ConnectFailed)
        {
            return;
        }
        if self.clients[request].ended || self.clients[request].attempt != Some(index) {
            return;
        }
        if may_retry {
            self.retry_by_client(request, 300_000);
        } else {
            self.clients[request].ended = true;
        }
    }

    /// Sends the request of an attempt without a response to another host.
    fn time_out_attempt(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        if attempt.ended
            || attempt.has_response
            || self.clients[attempt.request].host_attempts >= MAX_HOST_ATTEMPTS
        {
            return;
        }
        // Chooses the new host while the old attempt is still in flight, as the proxy does.
        let request = attempt.request;
        if self.send(request, true) {
            self.end_attempt(index, Outcome::TimedOut);
        }
    }

    /// Ends a request that its client has abandoned, and its attempt in flight.
    fn cancel_request(&mut self, request: usize) {
        let client = &mut self.clients[request];
        if std::mem::replace(&mut client.ended, true) {
            return;
        }
        if let Some(index) = client.attempt {
            self.end_attempt(index, Outcome::Cancelled);
        }
    }

    /// Stops a host. Its connections break unless it becomes unresponsive.
    fn stop_host(&mut self, index: usize, unresponsive: bool) {
        let now = self.now;
        let host = &mut self.hosts[index];
        (host.up, host.unresponsive) = (false, unresponsive);
        let incarnation = host.incarnation;
        if host.info.draining {
            host.left = true;
            self.schedule(now + DISCOVERY_DELAY, Event::PublishHosts);
        }
        if unresponsive {
            self.schedule(
                now + HEARTBEAT_TIMEOUT,
                Event::HeartbeatExpired {
                    host: index,
                    incarnation,
                },
            );
            return;
        }
        self.schedule(
            now + HEARTBEAT_TIMEOUT,
            Event::HeartbeatExpired {
                host: index,
                incarnation,
            },
        );
        for attempt_index in 0..self.attempts.len() {
            let attempt = &self.attempts[attempt_index];
            if !attempt.ended && attempt.host == index && attempt.host_incarnation == incarnation {
                self.schedule(
                    now + NETWORK_DELAY,
                    Event::AttemptFailed {
                        attempt: attempt_index,
                        outcome: Outcome::ConnectionLost,
                    },
                );
            }
        }
    }

    /// Stops a running proxy, or starts a stopped one without its former state.
    fn restart_proxy(&mut self, index: usize) {
        let now = self.now;
        if !self.proxies[index].up {
            let cache_capacity_tokens = self.scenario.profile.cache_capacity_tokens;
            self.proxies[index].router = Router::new(
                self.strategy,
                index,
                self.scenario.proxies,
                cache_capacity_tokens,
                now,
            );
            self.proxies[index].up = true;
            self.publish_hosts();
            return;
        }
        self.proxies[index].up = false;
        self.proxies[index].incarnation += 1;
        for attempt in 0..self.attempts.len() {
            if self.attempts[attempt].proxy == index && !self.attempts[attempt].ended {
                self.end_attempt(attempt, Outcome::Cancelled);
                let request = self.attempts[attempt].request;
                // The client retries an idempotent request once, at a random proxy.
                if self.class(request).idempotent && self.clients[request].client_attempts == 1 {
                    self.clients[request].proxy = self.random.below(self.scenario.proxies);
                    self.schedule(now + 5_000, Event::RequestArrived(request));
                } else {
                    self.clients[request].ended = true;
                }
            }
        }
        self.schedule(now + SECOND / 2, Event::ProxyRestart { proxy: index });
    }

    fn report(&self) -> Report {
        let results = self
            .clients
            .iter()
            .zip(&self.requests)
            .map(|(client, request)| RequestResult {
                class: request.class,
                arrived_at: request.arrives_at,
                first_event_latency: client.first_event_at.map(|at| at - request.arrives_at),
                longest_pause: client.longest_pause,
                complete: client.complete,
                size: request
                    .parts
                    .iter()
                    .map(|part| f64::from(part.tokens))
                    .sum::<f64>()
                    + 10.0 * f64::from(request.events * self.scenario.profile.tokens_per_event),
            });
        let busy_times: Vec<f64> = self
            .hosts
            .iter()
            .map(|host| host.engine.busy_time as f64)
            .collect();
        let mean_busy_time = busy_times.iter().sum::<f64>() / busy_times.len() as f64;
        Report {
            results: results.collect(),
            prefilled_again: self.prefilled_again,
            prefilled_tokens: self
                .hosts
                .iter()
                .map(|host| host.engine.prefilled_tokens)
                .sum(),
            load_imbalance: busy_times.iter().copied().fold(0.0, f64::max)
                / mean_busy_time.max(1.0),
            busy_share: mean_busy_time / self.scenario.length as f64,
            retries: self.retries,
            classes: self.scenario.classes,
        }
    }
}

/// Creates a host that is up, with an empty cache.
fn host(index: usize, incarnation: u32, profile: EngineProfile) -> Host {
    Host {
        engine: Engine::new(profile),
        info: HostInfo {
            id: format!("h{index}-{incarnation}").into(),
            service: SERVICE.into(),
            addr: SocketAddrV4::new(
                Ipv4Addr::new(
                    10,
                    incarnation as u8,
                    (index / 200) as u8,
                    (index % 200) as u8 + 1,
                ),
                8000,
            ),
            zone: format!("z{}", index % 3).into(),
            capacity: profile.slots as u32,
            draining: false,
            heartbeat_expired: false,
            slow_start_remaining: Duration::ZERO,
        },
        incarnation,
        up: true,
        unresponsive: false,
        left: false,
    }
}
