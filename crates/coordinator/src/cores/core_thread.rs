//! The thread of one core.

use super::current::set_current_core;
use super::SharedCoreState;
use crate::config::Config;
use crate::core::{self, Clock, CoreMessage, Dispatch, QueryTable};
use crate::counters::Counters;
use crate::front::Fronts;
use crate::net::hosts::{HostConnections, HostConnectionsSetup};
use crate::net::http::{self, AcceptedConnection, Incoming};
use crate::ops::hot_restart::RestartRole;
use crate::serve::components::{dialect, server_limits};
use multi_core::core_dispatch::CoreDispatcher;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// The parts that a core's thread is started with.
pub(super) struct CoreThread {
    pub(super) core: usize,
    pub(super) config: Config,
    pub(super) fronts: Arc<Fronts>,
    pub(super) inbox: mpsc::UnboundedReceiver<CoreMessage>,
    /// The sender of `inbox`.
    pub(super) mailbox: mpsc::UnboundedSender<CoreMessage>,
    /// Receives the connections assigned to the core.
    pub(super) connections: mpsc::UnboundedReceiver<AcceptedConnection>,
    pub(super) shared: SharedCoreState,
    pub(super) dispatcher: Arc<CoreDispatcher>,
    /// The instant that the times of the dispatcher and the gates are relative to.
    pub(super) origin: Instant,
    pub(super) counters: Counters,
    pub(super) stop: watch::Receiver<bool>,
    /// Whether to bind the thread to a processor.
    pub(super) pin: bool,
    pub(super) restart_role: watch::Receiver<RestartRole>,
}

/// Marks a core as dead and notifies the supervisor when the core's thread ends, also by a panic.
pub(super) struct EndGuard {
    pub(super) dispatcher: Arc<CoreDispatcher>,
    pub(super) core: usize,
    pub(super) ended: mpsc::UnboundedSender<usize>,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.dispatcher.mark_dead(self.core);
        let _ = self.ended.send(self.core);
    }
}

impl CoreThread {
    /// Serves on the current thread until `stop` turns true.
    ///
    /// # Errors
    /// If the runtime can't be created or the core's task has ended before the stop.
    pub(super) fn run(self, guard: EndGuard) -> std::io::Result<()> {
        let _guard = guard;
        set_current_core(self.core);
        if self.pin {
            pin_to_processor(self.core);
        }
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?
            .block_on(self.serve())
    }

    async fn serve(self) -> std::io::Result<()> {
        let Self {
            core, mut config, ..
        } = self;
        let cores = self.dispatcher.core_count();
        let capacity = config.capacity.per_core(cores);
        // Each core counts as one router in the rules that all routers share, such as the budget of a cold host.
        let settings = &mut config.site.router;
        settings.routers = settings.routers.saturating_mul(cores as u32);
        let seed = config.seed ^ (core as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let limits = server_limits(&config, capacity, self.restart_role.clone());
        let hosts = HostConnections::new(HostConnectionsSetup {
            dialect: dialect(&config),
            caps: config.site.limits.clone(),
            max_connections: capacity.host_connections,
            core: self.mailbox,
            counters: self.counters.clone(),
            gates: Some((self.shared.gates.clone(), self.origin)),
            restart_role: self.restart_role,
        });
        let table = QueryTable::new(
            config.site,
            seed,
            Clock::new(),
            hosts,
            capacity.response_bytes,
            self.counters.clone(),
        )
        .with_shared_state(self.shared);
        let dispatch = Dispatch {
            dispatcher: self.dispatcher,
            origin: self.origin,
        };
        let core_task = tokio::spawn(core::run(table, self.inbox, core, dispatch));
        let incoming = Incoming::Channel(self.connections);
        tokio::select! {
            () = http::serve(incoming, self.fronts, limits, self.counters, self.stop) => Ok(()),
            _ = core_task => Err(std::io::Error::other(format!("core {core} has ended"))),
        }
    }
}

/// Binds the current thread to a processor; cores beyond the number of processors share them. Logs a failure.
fn pin_to_processor(core: usize) {
    let processors = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let mut set = rustix::thread::CpuSet::new();
    set.set(core % processors);
    if let Err(e) = rustix::thread::sched_setaffinity(None, &set) {
        log::warn!(core, error:% = e; "can't bind the thread to a processor; it runs unbound");
    }
}
