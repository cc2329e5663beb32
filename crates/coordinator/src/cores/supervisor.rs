//! Starts the cores' threads and waits for their end. The current thread accepts connections, distributes the host
//! list and handles signals. If a core ends or panics, its own connections are closed and the other cores continue to
//! serve. The process ends with an error once no core is left.

use super::acceptor::Acceptor;
use super::core_thread::{CoreThread, EndGuard};
use super::list_distributor::ListDistributor;
use super::SharedCoreState;
use crate::config::{Config, CoresConfig};
use crate::core::{CoreHandle, CoreMessage, Dispatch};
use crate::counters::Counters;
use crate::front::Fronts;
use crate::net::http::AcceptedConnection;
use crate::ops::hot_restart::RestartRole;
use crate::ops::list_overlay::{ListOverlay, OverlayRequest};
use crate::ops::Readiness;
use crate::serve::components::{fronts, retry_after, ServiceParts};
use crate::serve::operations::Operations;
use multi_core::core_dispatch::CoreDispatcher;
use multi_core::drain_gates::DrainGates;
use multi_core::key_ownership::KeyOwnership;
use multi_core::shared_budget::SharedBudget;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

type CoreJoinHandle = JoinHandle<std::io::Result<()>>;

/// Serves with several cores until `stop` turns true.
///
/// # Errors
/// If a thread can't be started, or all cores have ended before the stop.
pub(crate) async fn run(service: ServiceParts, cores: CoresConfig) -> std::io::Result<()> {
    let ServiceParts {
        config,
        clients,
        counters,
        stop,
        discovery_moves,
        operations,
    } = service;
    let (readiness, overlay, requests) = split_operations(operations);
    log::info!(cores = cores.count, pinned = cores.pin; "{}", config.summary());
    let (state, inboxes) = SupervisorState::new(&config, cores);
    let dispatch = Dispatch {
        dispatcher: state.dispatcher.clone(),
        origin: state.origin,
    };
    let core = CoreHandle::new(
        state.mailboxes.clone(),
        dispatch,
        retry_after(&config),
        counters.clone(),
    );
    let context = CoreContext {
        fronts: Arc::new(fronts(&config, core, &counters, readiness.clone())),
        config: &config,
        counters: &counters,
        stop: &stop,
        restart_role: &clients.restart_role,
        pin: cores.pin,
    };
    let (threads, connections, mut ended) = state.start_cores(inboxes, &context)?;
    drop(context);
    let distributor = ListDistributor {
        gates: state.gates,
        cores: state.mailboxes,
        origin: state.origin,
        drain_grace: config.site.limits.drain_grace,
        counters: counters.clone(),
    };
    tokio::spawn(distributor.run(config, discovery_moves, overlay, requests));
    if let Some(readiness) = readiness {
        readiness.set_accepting();
    }
    let acceptor = Acceptor {
        listener: clients,
        dispatcher: state.dispatcher,
        cores: connections,
        origin: state.origin,
    };
    tokio::select! {
        () = acceptor.run() => {}
        () = wait_for_cores(cores.count, &mut ended, &stop, &counters) => {}
    }
    join_cores(threads);
    if *stop.borrow() {
        Ok(())
    } else {
        Err(std::io::Error::other("all cores have ended"))
    }
}

/// Splits the operations into their parts; without an operator's address the overlay is empty.
fn split_operations(
    operations: Option<Operations>,
) -> (
    Option<Readiness>,
    ListOverlay,
    Option<mpsc::Receiver<OverlayRequest>>,
) {
    match operations {
        Some(Operations {
            readiness,
            overlay,
            requests,
        }) => (Some(readiness), overlay, Some(requests)),
        None => (None, ListOverlay::default(), None),
    }
}

/// The state that all cores share.
struct SupervisorState {
    mailboxes: Vec<mpsc::UnboundedSender<CoreMessage>>,
    dispatcher: Arc<CoreDispatcher>,
    budget: Arc<SharedBudget>,
    names: Arc<KeyOwnership>,
    gates: Arc<DrainGates>,
    /// The instant that the times of the dispatcher and the gates are relative to.
    origin: Instant,
}

/// The values that each core's thread gets a clone of.
struct CoreContext<'a> {
    config: &'a Config,
    fronts: Arc<Fronts>,
    counters: &'a Counters,
    stop: &'a watch::Receiver<bool>,
    restart_role: &'a watch::Receiver<RestartRole>,
    pin: bool,
}

/// The cores' threads, the sender of each core's connections, and the receiver of the numbers of ended cores.
type StartedCores = (
    Vec<CoreJoinHandle>,
    Vec<mpsc::UnboundedSender<AcceptedConnection>>,
    mpsc::UnboundedReceiver<usize>,
);

impl SupervisorState {
    fn new(
        config: &Config,
        cores: CoresConfig,
    ) -> (Self, Vec<mpsc::UnboundedReceiver<CoreMessage>>) {
        let count = cores.count;
        let max_open = config.site.limits.max_open;
        let (mailboxes, inboxes) = (0..count).map(|_| mpsc::unbounded_channel()).unzip();
        let state = Self {
            mailboxes,
            dispatcher: CoreDispatcher::new(count, max_open),
            budget: SharedBudget::new(max_open, count, (max_open / (4 * count)).max(1)),
            names: KeyOwnership::new(),
            gates: DrainGates::new(count),
            origin: Instant::now(),
        };
        (state, inboxes)
    }

    fn start_cores(
        &self,
        inboxes: Vec<mpsc::UnboundedReceiver<CoreMessage>>,
        context: &CoreContext,
    ) -> std::io::Result<StartedCores> {
        let (ended, ended_cores) = mpsc::unbounded_channel();
        let (mut threads, mut connections) = (Vec::new(), Vec::new());
        for (core, inbox) in inboxes.into_iter().enumerate() {
            let (sender, receiver) = mpsc::unbounded_channel();
            connections.push(sender);
            let core_thread = CoreThread {
                core,
                config: context.config.clone(),
                fronts: context.fronts.clone(),
                inbox,
                mailbox: self.mailboxes[core].clone(),
                connections: receiver,
                shared: self.shared_state(core),
                dispatcher: self.dispatcher.clone(),
                origin: self.origin,
                counters: context.counters.clone(),
                stop: context.stop.clone(),
                pin: context.pin,
                restart_role: context.restart_role.clone(),
            };
            let guard = EndGuard {
                dispatcher: self.dispatcher.clone(),
                core,
                ended: ended.clone(),
            };
            let thread = std::thread::Builder::new().name(format!("core-{core}"));
            threads.push(thread.spawn(move || core_thread.run(guard))?);
        }
        Ok((threads, connections, ended_cores))
    }

    fn shared_state(&self, core: usize) -> SharedCoreState {
        let others = self.mailboxes.iter().enumerate();
        SharedCoreState {
            core,
            lease: SharedBudget::lease(&self.budget, core),
            names: self.names.clone(),
            gates: self.gates.clone(),
            origin: self.origin,
            others: others
                .filter(|(other, _)| *other != core)
                .map(|(_, mailbox)| mailbox.clone())
                .collect(),
        }
    }
}

/// Waits until all `count` cores have ended; counts and logs each that ends before the stop.
async fn wait_for_cores(
    count: usize,
    ended: &mut mpsc::UnboundedReceiver<usize>,
    stop: &watch::Receiver<bool>,
    counters: &Counters,
) {
    for left in (0..count).rev() {
        let Some(core) = ended.recv().await else {
            return;
        };
        if !*stop.borrow() {
            counters.inc("cores.ended");
            log::error!(left, core; "a core has ended; the others serve on");
        }
    }
}

fn join_cores(threads: Vec<CoreJoinHandle>) {
    for thread in threads {
        if let Ok(Err(e)) = thread.join() {
            log::error!(error:% = e; "core thread failed");
        }
    }
}
