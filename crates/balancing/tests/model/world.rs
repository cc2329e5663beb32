//! Clients, proxies and hosts, and what goes between them.

use super::engine::{Engine, Figures};
use super::report::{Report, Served};
use super::router::{Router, Way, SERVICE};
use super::traffic::{requests, Kind, Request, Surge};
use super::{from_ms, Random, Time, SECOND};
use balancing::{HostInfo, HostLoad, Outcome, PromptPart, RequestContext};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    None,
    /// The first hosts end at once and come back anew; their callers hear of it.
    Crash {
        hosts: usize,
        at: Time,
        lasts: Time,
    },
    /// The same, but nobody hears anything.
    Dark {
        hosts: usize,
        at: Time,
        lasts: Time,
    },
    /// Hosts are drained, ended and replaced one after the other.
    Release {
        hosts: usize,
        at: Time,
        gap: Time,
    },
    /// A proxy ends with all its streams and is back after half a second, knowing nothing.
    Restart {
        proxy: usize,
        at: Time,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub hosts: usize,
    pub proxies: usize,
    pub figures: Figures,
    pub kinds: &'static [Kind],
    pub surge: Surge,
    pub trouble: Trouble,
    pub length: Time,
    pub seed: u64,
}

/// One way between proxy and host; the same for news from the roster on top of its own way.
const WAY: Time = 500;
const NEWS: Time = 50_000;
/// Heartbeats missing for so long show a host silent.
const SILENT: Time = 3 * SECOND;
/// How long a drained host serves on, and its successor takes to come.
const DRAIN: Time = 2_200_000;
const SUCCESSOR: Time = 1_000_000;
const TICK: Time = 100_000;
/// Most hosts for a try, as for most kinds on the sheets.
const TRIES: usize = 2;

enum Event {
    Arrive(usize),
    AtHost {
        attempt: usize,
    },
    Step {
        host: usize,
        life: u32,
    },
    Events {
        attempt: usize,
        last: bool,
        load: Option<HostLoad>,
    },
    Failed {
        attempt: usize,
        outcome: Outcome,
    },
    Patience {
        attempt: usize,
    },
    Deadline {
        request: usize,
    },
    Stall {
        request: usize,
        events: u32,
    },
    Tick,
    News,
    Down {
        host: usize,
        dark: bool,
    },
    Up {
        host: usize,
    },
    Silent {
        host: usize,
        life: u32,
    },
    Draining {
        host: usize,
    },
    Restart {
        proxy: usize,
    },
}

struct Host {
    engine: Engine,
    info: HostInfo,
    life: u32,
    up: bool,
    dark: bool,
    /// Not in the roster.
    left: bool,
}

struct AttemptId {
    request: usize,
    proxy: usize,
    /// The proxy's life, as one that ends takes its attempts along.
    life: u32,
    number: usize,
    host: usize,
    host_life: u32,
    priority: u8,
    over: bool,
    first: bool,
}

struct Client {
    proxy: usize,
    tried: Vec<Arc<str>>,
    /// Hosts that got the present try, and tries.
    sends: usize,
    tries: usize,
    attempt: Option<usize>,
    events: u32,
    made_tokens: u32,
    first: Option<Time>,
    last: Time,
    pause: Time,
    over: bool,
    complete: bool,
}

struct Proxy {
    router: Router,
    life: u32,
    up: bool,
}

pub struct World {
    setup: Setup,
    way: Way,
    now: Time,
    seq: u64,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    hosts: Vec<Host>,
    proxies: Vec<Proxy>,
    requests: Vec<Request>,
    clients: Vec<Client>,
    attempts: Vec<AttemptId>,
    random: Random,
    known: HashSet<u64>,
    read_again: u64,
    repeats: u64,
}

impl World {
    pub fn run(setup: Setup, way: Way) -> Report {
        let mut world = Self::new(setup, way);
        while let Some(Reverse((at, _, n))) = world.queue.pop() {
            world.now = at;
            if at > setup.length + 20 * SECOND {
                break;
            }
            if let Some(event) = world.events[n].take() {
                world.on(event);
            }
        }
        world.report()
    }

    fn new(setup: Setup, way: Way) -> Self {
        let mut world = Self {
            way,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            hosts: (0..setup.hosts)
                .map(|n| host(n, 0, setup.figures))
                .collect(),
            proxies: Vec::new(),
            requests: requests(setup.kinds, setup.surge, setup.length, setup.seed),
            clients: Vec::new(),
            attempts: Vec::new(),
            random: Random(setup.seed ^ 0x5eed),
            known: HashSet::new(),
            read_again: 0,
            repeats: 0,
            setup,
        };
        for n in 0..setup.proxies {
            let router = Router::new(way, n, setup.proxies, setup.figures.memory, 0);
            world.proxies.push(Proxy {
                router,
                life: 0,
                up: true,
            });
        }
        world.on(Event::News);
        for n in 0..world.requests.len() {
            let proxy = world.random.below(setup.proxies);
            world.clients.push(Client {
                proxy,
                tried: Vec::new(),
                sends: 0,
                tries: 0,
                attempt: None,
                events: 0,
                made_tokens: 0,
                first: None,
                last: 0,
                pause: 0,
                over: false,
                complete: false,
            });
            let at = world.requests[n].at;
            world.at(at, Event::Arrive(n));
            world.at(
                at + from_ms(world.kind(n).deadline_ms),
                Event::Deadline { request: n },
            );
        }
        world.at(0, Event::Tick);
        match setup.trouble {
            Trouble::None => {}
            Trouble::Crash { hosts, at, lasts } | Trouble::Dark { hosts, at, lasts } => {
                let dark = matches!(setup.trouble, Trouble::Dark { .. });
                for host in 0..hosts {
                    world.at(at, Event::Down { host, dark });
                    world.at(at + lasts, Event::Up { host });
                }
            }
            Trouble::Release { hosts, at, gap } => {
                for host in 0..hosts {
                    let at = at + host as Time * gap;
                    world.at(at, Event::Draining { host });
                    world.at(at + DRAIN, Event::Down { host, dark: false });
                    world.at(at + DRAIN + SUCCESSOR, Event::Up { host });
                }
            }
            Trouble::Restart { proxy, at } => world.at(at, Event::Restart { proxy }),
        }
        world
    }

    fn kind(&self, request: usize) -> &'static Kind {
        &self.setup.kinds[self.requests[request].kind]
    }

    fn at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, self.events.len())));
        self.events.push(Some(event));
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::AtHost { attempt } => self.at_host(attempt),
            Event::Step { host, life } => self.step(host, life),
            Event::Events {
                attempt,
                last,
                load,
            } => self.events(attempt, last, load),
            Event::Failed { attempt, outcome } => self.failed(attempt, outcome),
            Event::Patience { attempt } => self.out_of_patience(attempt),
            Event::Deadline { request } => self.leave(request),
            Event::Stall { request, events } => {
                if self.clients[request].events == events {
                    self.leave(request);
                }
            }
            Event::Tick => {
                let now = self.now;
                self.proxies
                    .iter_mut()
                    .filter(|p| p.up)
                    .for_each(|p| p.router.tick(now));
                if now < self.setup.length + 15 * SECOND {
                    self.at(now + TICK, Event::Tick);
                }
            }
            Event::News => {
                let now = self.now;
                let roster: Vec<HostInfo> = self
                    .hosts
                    .iter()
                    .filter(|h| !h.left)
                    .map(|h| h.info.clone())
                    .collect();
                for proxy in self.proxies.iter_mut().filter(|p| p.up) {
                    proxy.router.set_hosts(now, &roster);
                }
            }
            Event::Down { host, dark } => self.down(host, dark),
            Event::Up { host: number } => {
                let life = self.hosts[number].life + 1;
                let busy = self.hosts[number].engine.busy;
                let read = self.hosts[number].engine.tokens_read;
                self.hosts[number] = host(number, life, self.setup.figures);
                self.hosts[number].engine.busy = busy;
                self.hosts[number].engine.tokens_read = read;
                self.at(self.now + NEWS, Event::News);
            }
            Event::Silent { host, life } => {
                if self.hosts[host].life == life && !self.hosts[host].left {
                    self.hosts[host].info.heartbeat_expired = true;
                    self.on(Event::News);
                }
            }
            Event::Draining { host } => {
                self.hosts[host].info.draining = true;
                self.at(self.now + NEWS, Event::News);
            }
            Event::Restart { proxy } => self.restart(proxy),
        }
    }

    fn arrive(&mut self, request: usize) {
        if self.clients[request].over {
            return;
        }
        while !self.proxies[self.clients[request].proxy].up {
            self.clients[request].proxy = self.random.below(self.setup.proxies);
        }
        let client = &mut self.clients[request];
        client.tried.clear();
        (client.sends, client.tries) = (0, client.tries + 1);
        let now = self.now;
        self.proxies[client.proxy].router.on_request(now);
        self.send(request, false);
    }

    /// Sends a request to a host of the proxy's choice; whether it went.
    fn send(&mut self, request: usize, repeat: bool) -> bool {
        let (now, kind) = (self.now, self.kind(request));
        let end = self.requests[request].at + from_ms(kind.deadline_ms);
        let (client, asked) = (&self.clients[request], &self.requests[request]);
        let proxy = &mut self.proxies[client.proxy];
        if repeat && !proxy.router.withdraw_retry(now) {
            return false;
        }
        let prompt = asked.parts.iter().map(|p| p.tokens).sum();
        let ask = RequestContext {
            service: SERVICE,
            rank: kind.rank,
            idempotent: kind.idempotent,
            prompt_parts: &asked.parts,
            prompt_tokens: prompt,
            time_remaining: Duration::from_micros(end.saturating_sub(now)),
            attempted_hosts: &client.tried,
        };
        let sent = match proxy.router.choose_host(now, &ask) {
            Ok(sent) => sent,
            Err(after) => {
                if !repeat {
                    self.refused(request, after.as_micros() as Time);
                }
                return false;
            }
        };
        let Some(host) = self.hosts.iter().position(|h| h.info.id == sent.id) else {
            // Replaced meanwhile: nobody is there.
            self.proxies[self.clients[request].proxy]
                .router
                .on_attempt_ended(now, sent.attempt, Outcome::ConnectFailed);
            return false;
        };
        let proxy = self.clients[request].proxy;
        let number = self.attempts.len();
        self.attempts.push(AttemptId {
            request,
            proxy,
            life: self.proxies[proxy].life,
            number: sent.attempt,
            host,
            host_life: self.hosts[host].life,
            priority: sent.priority,
            over: false,
            first: false,
        });
        let client = &mut self.clients[request];
        client.tried.push(sent.id);
        client.sends += 1;
        client.attempt = Some(number);
        self.repeats += u64::from(client.sends > 1);
        // The host's way to the first event that isn't work of its batch comes on top of the network's.
        self.at(
            now + WAY + from_ms(self.setup.figures.first_ms),
            Event::AtHost { attempt: number },
        );
        if let Some(p) = self.proxies[proxy]
            .router
            .attempt_timeout(now, sent.attempt)
            .filter(|_| kind.idempotent)
        {
            self.at(
                now + p.as_micros() as Time,
                Event::Patience { attempt: number },
            );
        }
        true
    }

    fn refused(&mut self, request: usize, after: Time) {
        let end = self.requests[request].at + from_ms(self.kind(request).deadline_ms);
        let client = &mut self.clients[request];
        client.attempt = None;
        if client.tries > 1 || client.first.is_some() || self.now + after >= end {
            client.over = true;
            return;
        }
        client.proxy = self.random.below(self.setup.proxies);
        let at = self.now + after.min((end - self.now) / 3);
        self.at(at, Event::Arrive(request));
    }

    fn at_host(&mut self, number: usize) {
        let a = &self.attempts[number];
        if a.over {
            return;
        }
        let host = &mut self.hosts[a.host];
        let gone = host.life != a.host_life || !host.up;
        if gone && host.dark && host.life == a.host_life {
            return;
        }
        if gone {
            self.at(
                self.now + WAY,
                Event::Failed {
                    attempt: number,
                    outcome: Outcome::ConnectFailed,
                },
            );
            return;
        }
        let asked = &self.requests[a.request];
        let client = &self.clients[a.request];
        let left = (asked.events * self.setup.figures.stride)
            .saturating_sub(client.made_tokens)
            .max(1);
        if !host.engine.take(number, a.priority, &asked.parts, left) {
            self.at(
                self.now + WAY,
                Event::Failed {
                    attempt: number,
                    outcome: Outcome::Overloaded,
                },
            );
            return;
        }
        self.wake(self.attempts[number].host);
    }

    fn wake(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if host.engine.stepping || !host.up {
            return;
        }
        let took = host.engine.begin();
        let life = host.life;
        for PromptPart { id, tokens } in std::mem::take(&mut host.engine.shared_read) {
            if !self.known.insert(id) {
                self.read_again += u64::from(tokens);
            }
        }
        if let Some(took) = took {
            self.at(self.now + took, Event::Step { host: number, life });
        }
    }

    fn step(&mut self, number: usize, life: u32) {
        let host = &mut self.hosts[number];
        if host.life != life || !host.up {
            return;
        }
        let made = host.engine.end();
        let (running, waiting, slots) = host.engine.load();
        let load = host.engine.figures.tells.then_some(HostLoad {
            running,
            waiting,
            slots,
        });
        for m in made {
            self.at(
                self.now + WAY,
                Event::Events {
                    attempt: m.attempt,
                    last: m.last,
                    load,
                },
            );
        }
        self.wake(number);
    }

    fn events(&mut self, number: usize, last: bool, load: Option<HostLoad>) {
        let a = &mut self.attempts[number];
        if a.over || self.hosts[a.host].dark && self.hosts[a.host].life == a.host_life {
            return;
        }
        let now = self.now;
        let first = !std::mem::replace(&mut a.first, true);
        a.over = last;
        let router = &mut self.proxies[a.proxy].router;
        if first {
            router.on_first_byte(now, a.number, load);
        } else {
            router.on_progress(now, a.number);
        }
        if last {
            router.on_attempt_ended(now, a.number, Outcome::Succeeded);
        }
        let client = &mut self.clients[a.request];
        client.events += 1;
        client.made_tokens += self.setup.figures.stride;
        match client.first {
            None => client.first = Some(now),
            Some(_) => client.pause = client.pause.max(now - client.last),
        }
        client.last = now;
        if last {
            (client.over, client.complete) = (true, true);
            return;
        }
        let (request, events) = (a.request, client.events);
        let kind = self.kind(request);
        let silence = 2000f64.max(4.0 * kind.aim_ms).max(8.0 * kind.pause_ms);
        self.at(now + from_ms(silence), Event::Stall { request, events });
    }

    fn over(&mut self, number: usize, outcome: Outcome) {
        let a = &mut self.attempts[number];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let proxy = &mut self.proxies[a.proxy];
        if proxy.life == a.life {
            proxy.router.on_attempt_ended(self.now, a.number, outcome);
        }
        if self.hosts[a.host].life == a.host_life {
            self.hosts[a.host].engine.drop_attempt(number);
        }
    }

    fn failed(&mut self, number: usize, outcome: Outcome) {
        if self.attempts[number].over {
            return;
        }
        self.over(number, outcome);
        let request = self.attempts[number].request;
        let never_ran = matches!(outcome, Outcome::ConnectFailed | Outcome::Overloaded);
        let again = never_ran || self.kind(request).idempotent;
        let tries = if never_ran { 3 } else { TRIES };
        if again
            && self.clients[request].sends < tries
            && self.send(request, outcome != Outcome::ConnectFailed)
        {
            return;
        }
        if self.clients[request].over || self.clients[request].attempt != Some(number) {
            return;
        }
        if again {
            self.refused(request, 300_000);
        } else {
            self.clients[request].over = true;
        }
    }

    fn out_of_patience(&mut self, number: usize) {
        let a = &self.attempts[number];
        if a.over || a.first || self.clients[a.request].sends >= TRIES {
            return;
        }
        // The new host is picked while the old attempt is still out, as the proxy does.
        let request = a.request;
        if self.send(request, true) {
            self.over(number, Outcome::TimedOut);
        }
    }

    fn leave(&mut self, request: usize) {
        let client = &mut self.clients[request];
        if std::mem::replace(&mut client.over, true) {
            return;
        }
        if let Some(number) = client.attempt {
            self.over(number, Outcome::Cancelled);
        }
    }

    fn down(&mut self, number: usize, dark: bool) {
        let now = self.now;
        let host = &mut self.hosts[number];
        (host.up, host.dark) = (false, dark);
        let life = host.life;
        if host.info.draining {
            host.left = true;
            self.at(now + NEWS, Event::News);
        }
        if dark {
            self.at(now + SILENT, Event::Silent { host: number, life });
            return;
        }
        self.at(now + SILENT, Event::Silent { host: number, life });
        for a in 0..self.attempts.len() {
            let at = &self.attempts[a];
            if !at.over && at.host == number && at.host_life == life {
                self.at(
                    now + WAY,
                    Event::Failed {
                        attempt: a,
                        outcome: Outcome::ConnectionLost,
                    },
                );
            }
        }
    }

    fn restart(&mut self, number: usize) {
        let now = self.now;
        if !self.proxies[number].up {
            let memory = self.setup.figures.memory;
            self.proxies[number].router =
                Router::new(self.way, number, self.setup.proxies, memory, now);
            self.proxies[number].up = true;
            self.on(Event::News);
            return;
        }
        self.proxies[number].up = false;
        self.proxies[number].life += 1;
        for a in 0..self.attempts.len() {
            if self.attempts[a].proxy == number && !self.attempts[a].over {
                self.over(a, Outcome::Cancelled);
                let request = self.attempts[a].request;
                // Its client asks again where that is allowed.
                if self.kind(request).idempotent && self.clients[request].tries == 1 {
                    self.clients[request].proxy = self.random.below(self.setup.proxies);
                    self.at(now + 5_000, Event::Arrive(request));
                } else {
                    self.clients[request].over = true;
                }
            }
        }
        self.at(now + SECOND / 2, Event::Restart { proxy: number });
    }

    fn report(&self) -> Report {
        let served = self
            .clients
            .iter()
            .zip(&self.requests)
            .map(|(c, r)| Served {
                kind: r.kind,
                at: r.at,
                first: c.first.map(|f| f - r.at),
                pause: c.pause,
                complete: c.complete,
                size: r.parts.iter().map(|p| f64::from(p.tokens)).sum::<f64>()
                    + 10.0 * f64::from(r.events * self.setup.figures.stride),
            });
        let busy: Vec<f64> = self.hosts.iter().map(|h| h.engine.busy as f64).collect();
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        Report {
            served: served.collect(),
            read_again: self.read_again,
            read: self.hosts.iter().map(|h| h.engine.tokens_read).sum(),
            uneven: busy.iter().copied().fold(0.0, f64::max) / mean.max(1.0),
            busy: mean / self.setup.length as f64,
            repeats: self.repeats,
            kinds: self.setup.kinds,
        }
    }
}

fn host(number: usize, life: u32, figures: Figures) -> Host {
    Host {
        engine: Engine::new(figures),
        info: HostInfo {
            id: format!("h{number}-{life}").into(),
            service: SERVICE.into(),
            addr: SocketAddrV4::new(
                Ipv4Addr::new(
                    10,
                    life as u8,
                    (number / 200) as u8,
                    (number % 200) as u8 + 1,
                ),
                8000,
            ),
            zone: format!("z{}", number % 3).into(),
            capacity: figures.batch as u32,
            draining: false,
            heartbeat_expired: false,
            slow_start_remaining: Duration::ZERO,
        },
        life,
        up: true,
        dark: false,
        left: false,
    }
}
