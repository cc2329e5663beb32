//! The work of one core's thread.

use super::current::set_current_core;
use super::SharedCoreState;
use crate::config::Config;
use crate::core::{self, Clock, CoreMessage, Dispatch, QueryTable};
use crate::counters::Counters;
use crate::front::Fronts;
use crate::net::hosts::{HostConnections, HostConnectionsSetup};
use crate::net::http::{self, AcceptedConnection, Incoming};
use crate::ops::hot_restart::RestartRole;
use crate::serve::components::{dialect, limits};
use multi_core::core_dispatch::CoreDispatcher;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// What a core's thread is given.
pub(super) struct CoreThread {
    pub(super) core: usize,
    pub(super) config: Config,
    pub(super) fronts: Arc<Fronts>,
    pub(super) inbox: mpsc::UnboundedReceiver<CoreMessage>,
    /// The other end of `inbox`.
    pub(super) mail: mpsc::UnboundedSender<CoreMessage>,
    /// The connections that the core is given.
    pub(super) connections: mpsc::UnboundedReceiver<AcceptedConnection>,
    pub(super) shared: SharedCoreState,
    pub(super) dispatcher: Arc<CoreDispatcher>,
    /// The origin of the dispatcher's and the gates' times.
    pub(super) origin: Instant,
    pub(super) counters: Counters,
    pub(super) stop: watch::Receiver<bool>,
    /// Whether the thread is bound to a processor.
    pub(super) pin: bool,
    pub(super) restart_role: watch::Receiver<RestartRole>,
}

/// Marks a core as dead, however its thread ends, and tells the supervisor.
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
    /// Serves on the present thread until told to stop.
    ///
    /// # Errors
    /// If the runtime can't be had or the core has ended by itself.
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
        // To the rules that all routers keep together, each core is one router: a cold host's budget first of all.
        let settings = &mut config.site.router;
        settings.routers = settings.routers.saturating_mul(cores as u32);
        let seed = config.seed ^ (core as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let limits = limits(&config, capacity, self.restart_role.clone());
        let hosts = HostConnections::new(HostConnectionsSetup {
            dialect: dialect(&config),
            caps: config.site.limits.clone(),
            max_connections: capacity.host_connections,
            core: self.mail,
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

/// Binds this thread to a processor, where there is one and the system lets it.
fn pin_to_processor(core: usize) {
    let processors = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let mut set = rustix::thread::CpuSet::new();
    set.set(core % processors);
    if let Err(e) = rustix::thread::sched_setaffinity(None, &set) {
        log::warn!(core, error:% = e; "not bound to a processor");
    }
}
