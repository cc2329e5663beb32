//! The threads: one for each core, and this one, which accepts connections, follows the host list and
//! hears signals. A core that ends or panics takes its own connections along; the others serve on. The
//! process ends with an error once none is left.

use super::{settle_on, Seat};
use crate::config::{Config, CoresConfig};
use crate::core::{self, Clock, CoreHandle, CoreMessage, Dispatch, Endpoint, QueryTable};
use crate::counters::Counters;
use crate::front::Fronts;
use crate::interface::{ListKind, ServerState};
use crate::net::hosts::HostConnections;
use crate::net::http::{self, Gated, Handed, Incoming, Service};
use crate::ops::hot_restart::RestartRole;
use crate::ops::list_overlay::{request_confirmation, ListOverlay, ListSink, OverlayRequest};
use crate::serve::{dialect, fronts, limits, list_source, Staff, HINT};
use multi_core::core_dispatch::CoreDispatcher;
use multi_core::drain_gates::DrainGates;
use multi_core::key_ownership::KeyOwnership;
use multi_core::shared_budget::SharedBudget;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// Gates close so long before the rule says, as the frame still has to be written.
const MARGIN: Duration = Duration::from_millis(50);
/// Gates of hosts that have been shut for so long are forgotten.
const FORGET: Duration = Duration::from_secs(60);
/// A core that has not acknowledged a version of the list after this is logged.
const SLOW_ACK: Duration = Duration::from_millis(500);
/// Out of descriptors: the ones in use come back.
const RETRY_ACCEPT: Duration = Duration::from_millis(20);

/// What a core's thread is given.
struct One {
    core: usize,
    config: Config,
    fronts: Arc<Fronts>,
    inbox: mpsc::UnboundedReceiver<CoreMessage>,
    mail: mpsc::UnboundedSender<CoreMessage>,
    handed: mpsc::UnboundedReceiver<Handed>,
    seat: Seat,
    dispatcher: Arc<CoreDispatcher>,
    gates: Arc<DrainGates>,
    origin: Instant,
    counters: Counters,
    stop: watch::Receiver<bool>,
    pin: bool,
    beside: watch::Receiver<RestartRole>,
}

/// Counts a connection on its core for as long as it lives.
struct Dealt(Arc<CoreDispatcher>, usize);

impl Drop for Dealt {
    fn drop(&mut self) {
        self.0.connection_closed(self.1);
    }
}

/// Marks a core as gone, however its thread ends, and tells the main one.
struct Ended(Arc<CoreDispatcher>, usize, mpsc::UnboundedSender<usize>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.mark_dead(self.1);
        let _ = self.2.send(self.1);
    }
}

/// Serves on a listener with several cores until told to stop. An error means that the last core has
/// ended without being told to.
///
/// # Errors
/// If a thread or runtime can't be had, or no core is left.
pub async fn run(
    config: Config,
    cores: CoresConfig,
    listener: Gated,
    counters: Counters,
    stop: watch::Receiver<bool>,
    moves: mpsc::UnboundedReceiver<String>,
    desk: Option<Staff>,
) -> std::io::Result<()> {
    let n = cores.count;
    let beside = listener.beside.clone();
    let (readiness, overlay, requests) = match desk {
        Some(Staff {
            readiness,
            overlay,
            requests,
        }) => (Some(readiness), overlay, Some(requests)),
        None => (None, ListOverlay::default(), None),
    };
    log::info!(cores = n, pinned = cores.pin; "{}", config.summary());
    let origin = Instant::now();
    let open = config.site.limits.max_open;
    let dispatcher = CoreDispatcher::new(n, open);
    let budget = SharedBudget::new(open, n, (open / (4 * n)).max(1));
    let (names, gates) = (KeyOwnership::new(), DrainGates::new(n));
    let (mails, inboxes): (Vec<_>, Vec<_>) = (0..n).map(|_| mpsc::unbounded_channel()).unzip();
    let (doors, handed): (Vec<_>, Vec<_>) = (0..n).map(|_| mpsc::unbounded_channel()).unzip();
    let hint = config.site.router.max_retry_after.unwrap_or(HINT);
    let dispatch = Dispatch {
        dispatcher: dispatcher.clone(),
        origin,
    };
    let core = CoreHandle::new(mails.clone(), dispatch, hint, counters.clone());
    let fronts = Arc::new(fronts(&config, core, &counters, readiness.clone()));
    let (over, mut ended) = mpsc::unbounded_channel();
    let mut threads = Vec::new();
    for (core, (inbox, handed)) in inboxes.into_iter().zip(handed).enumerate() {
        let others = mails
            .iter()
            .enumerate()
            .filter(|(c, _)| *c != core)
            .map(|(_, m)| m.clone())
            .collect();
        let lease = SharedBudget::lease(&budget, core);
        let (names, gates) = (names.clone(), gates.clone());
        let one = One {
            core,
            config: config.clone(),
            fronts: fronts.clone(),
            inbox,
            mail: mails[core].clone(),
            handed,
            seat: Seat {
                core,
                lease,
                names,
                gates: gates.clone(),
                origin,
                others,
            },
            dispatcher: dispatcher.clone(),
            gates,
            origin,
            counters: counters.clone(),
            stop: stop.clone(),
            pin: cores.pin,
            beside: beside.clone(),
        };
        let guard = Ended(dispatcher.clone(), core, over.clone());
        let thread = std::thread::Builder::new().name(format!("core-{core}"));
        threads.push(thread.spawn(move || {
            let _guard = guard;
            settle_on(core);
            one.serve()
        })?);
    }
    drop(over);
    let spread = Spread {
        gates,
        mails,
        origin,
        grace: config.site.limits.drain_grace,
        counters: counters.clone(),
    };
    tokio::spawn(spread.run(config, moves, overlay, requests));
    readiness
        .iter()
        .for_each(super::super::ops::Readiness::set_accepting);
    let accepting = accept(listener, dispatcher.clone(), doors, origin);
    tokio::pin!(accepting);
    let mut left = n;
    while left > 0 {
        tokio::select! {
            () = &mut accepting, if left > 0 => {}
            core = ended.recv() => match core {
                Some(core) => {
                    left -= 1;
                    if !*stop.borrow() {
                        counters.inc("cores.ended");
                        log::error!(left, core; "a core has ended; the others serve on");
                    }
                }
                None => break,
            },
        }
    }
    for t in threads {
        if let Ok(Err(e)) = t.join() {
            log::error!(error:% = e; "core");
        }
    }
    if *stop.borrow() {
        Ok(())
    } else {
        Err(std::io::Error::other("all cores have ended"))
    }
}

/// Deals connections out for as long as a core takes them.
async fn accept(
    mut listener: Gated,
    dispatcher: Arc<CoreDispatcher>,
    doors: Vec<mpsc::UnboundedSender<Handed>>,
    origin: Instant,
) {
    loop {
        let (stream, from) = match listener.accept().await {
            Ok((stream, from)) => match stream.into_std() {
                Ok(stream) => (stream, from),
                Err(_) => continue,
            },
            Err(e) => {
                log::warn!(error:% = e; "accept");
                tokio::time::sleep(RETRY_ACCEPT).await;
                continue;
            }
        };
        let first = dispatcher.core_for_connection(origin.elapsed().as_micros() as u64);
        let mut stream = Some(stream);
        // A core that is ending takes no more; another one may.
        for core in first.into_iter().chain(0..doors.len()) {
            let Some(s) = stream.take() else { break };
            dispatcher.connection_opened(core);
            let guard = Box::new(Dealt(dispatcher.clone(), core));
            if let Err(mpsc::error::SendError(back)) = doors[core].send(Handed {
                stream: s,
                from,
                guard,
            }) {
                stream = Some(back.stream);
            }
        }
    }
}

/// Follows the host list for all cores: gates first, then the news, then its version to acknowledge.
struct Spread {
    gates: Arc<DrainGates>,
    mails: Vec<mpsc::UnboundedSender<CoreMessage>>,
    origin: Instant,
    grace: Duration,
    counters: Counters,
}

impl Spread {
    async fn run(
        self,
        config: Config,
        moves: mpsc::UnboundedReceiver<String>,
        mut overlay: ListOverlay,
        mut requests: Option<mpsc::Receiver<OverlayRequest>>,
    ) {
        let (news, mut inbox) = mpsc::unbounded_channel();
        self.publish(
            ListKind::Cached,
            overlay
                .ejections
                .apply_update(ListKind::Cached, config.known.members.clone()),
        );
        list_source(config, news, &self.counters, moves);
        let mut late = tokio::time::interval(SLOW_ACK);
        late.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut published = Instant::now();
        loop {
            tokio::select! {
                mail = inbox.recv() => match mail {
                    Some(CoreMessage::HostList(kind, hosts)) => {
                        self.publish(kind, overlay.ejections.apply_update(kind, hosts));
                        published = Instant::now();
                    }
                    Some(_) => {}
                    None => return,
                },
                Some(request) = asked(&mut requests) => overlay.handle(request, &self),
                _ = late.tick() => if published.elapsed() >= SLOW_ACK {
                    self.check();
                },
            }
        }
    }

    /// Counts cores that have left a version unread: their gates hold all the same.
    fn check(&self) {
        let version = self.gates.revision();
        for core in (0..self.mails.len()).filter(|c| self.gates.acknowledged(*c) < version) {
            if !self.mails[core].is_closed() {
                self.counters.inc("cores.slow_to_acknowledge");
                log::warn!(core, version, acknowledged = self.gates.acknowledged(core); "list not read yet");
            }
        }
    }
}

impl ListSink for Spread {
    fn publish(&self, kind: ListKind, hosts: Vec<Endpoint>) {
        let now = self.origin.elapsed();
        let stop_at = (now + self.grace).saturating_sub(MARGIN).as_micros() as u64;
        let complete = matches!(kind, ListKind::Full | ListKind::Cached);
        let ready = hosts
            .iter()
            .map(|h| (h.id.as_str(), h.state == ServerState::Ready));
        let version = self.gates.publish(complete, ready, stop_at);
        self.gates
            .prune(now.saturating_sub(FORGET).as_micros() as u64);
        for mail in &self.mails {
            // One that has ended needs no news.
            let _ = mail.send(CoreMessage::HostList(kind, hosts.clone()));
            let _ = mail.send(CoreMessage::ListVersion(version));
        }
    }

    fn confirmations(&self) -> Vec<oneshot::Receiver<()>> {
        self.mails.iter().map(request_confirmation).collect()
    }
}

/// What is asked next; nothing ever where there is no operator's address.
async fn asked(requests: &mut Option<mpsc::Receiver<OverlayRequest>>) -> Option<OverlayRequest> {
    match requests {
        Some(requests) => requests.recv().await,
        None => std::future::pending().await,
    }
}

impl One {
    fn serve(self) -> std::io::Result<()> {
        if self.pin {
            pin(self.core);
        }
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?
            .block_on(self.work())
    }

    async fn work(self) -> std::io::Result<()> {
        let Self {
            core,
            mut config,
            fronts,
            inbox,
            mail,
            handed,
            seat,
            dispatcher,
            gates,
            origin,
            counters,
            stop,
            beside,
            ..
        } = self;
        let n = dispatcher.core_count();
        let room = config.room.of_core(n);
        // To the rules that all routers keep together each core is one more: a cold host's budget first of all.
        config.site.router.routers = config.site.router.routers.saturating_mul(n as u32);
        let seed = config.seed ^ (core as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let dialect = dialect(&config);
        let limits = limits(&config, room, beside.clone());
        let caps = config.site.limits.clone();
        let peers = HostConnections::new(
            dialect,
            caps,
            room.links,
            mail,
            counters.clone(),
            Some((gates, origin)),
            beside,
        );
        let table = QueryTable::new(
            config.site,
            seed,
            Clock::new(),
            peers,
            room.held,
            counters.clone(),
        )
        .with_seat(seat);
        let task = tokio::spawn(core::run(
            table,
            inbox,
            core,
            Dispatch { dispatcher, origin },
        ));
        let service: Arc<dyn Service> = fronts;
        tokio::select! {
            () = http::serve(Incoming::Handed(handed), service, limits, counters, stop) => Ok(()),
            _ = task => Err(std::io::Error::other(format!("core {core} has ended"))),
        }
    }
}

/// Binds this thread to a processor, where there is one and the system lets it.
fn pin(core: usize) {
    let processors = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let mut set = rustix::thread::CpuSet::new();
    set.set(core % processors);
    if let Err(e) = rustix::thread::sched_setaffinity(None, &set) {
        log::warn!(core, error:% = e; "not bound to a processor");
    }
}
