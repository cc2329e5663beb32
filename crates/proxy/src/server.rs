//! The proxy process: listeners, background tasks and shutdown.

use crate::client::{ClientConnections, DrainPhase};
use crate::counters::{Counters, SharedCounters};
use crate::fleet::FleetSnapshot;
use crate::shutdown::Shutdown;
use crate::state::ProxyState;
use crate::{hints, quota, readiness};
use configuration::ProcessSettings;
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until};

/// Reason why the proxy can't start.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The settings lack an address for this purpose.
    #[snafu(display("the settings have no address for {purpose}"))]
    NoAddress {
        /// Purpose of the address: `front` or `readiness`.
        purpose: &'static str,
    },
    /// The process can't listen on an address.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// Address that can't be bound.
        addr: SocketAddrV4,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Interval at which expired connections to hosts are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// A local task that is aborted when this handle is dropped.
struct BackgroundTask(JoinHandle<()>);

impl BackgroundTask {
    fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        Self(tokio::task::spawn_local(work))
    }
}

impl Drop for BackgroundTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves until `stop` resolves, then shuts down gracefully: serves on until all admitted requests have their response
/// or the grace period ends. Returns the final counters.
///
/// Has to run inside a [`tokio::task::LocalSet`] on a `current_thread` runtime.
///
/// # Errors
/// If the settings name no address to listen on, or it can't be bound.
pub async fn serve(
    settings: ProcessSettings,
    fleet: watch::Receiver<Option<Arc<FleetSnapshot>>>,
    stop: impl Future<Output = ()>,
) -> Result<Counters, Error> {
    serve_with_counters(settings, fleet, Rc::default(), stop).await
}

/// Serves like [`serve`], with counters that the caller can read meanwhile.
///
/// # Errors
/// As [`serve`].
pub async fn serve_with_counters(
    settings: ProcessSettings,
    fleet: watch::Receiver<Option<Arc<FleetSnapshot>>>,
    counters: Rc<SharedCounters>,
    stop: impl Future<Output = ()>,
) -> Result<Counters, Error> {
    let state = Rc::new(ProxyState::new(&settings, counters));
    let listener = bind("front", settings.bind.front).await?;
    let readiness_listener = bind("readiness", settings.bind.readiness).await?;
    let _hint_task = start_hints(&state, &settings).await;
    let _quota_task = quota::start(&state, &settings)
        .await
        .map(BackgroundTask::spawn);
    let _tasks = [
        BackgroundTask::spawn(follow_fleet(state.clone(), fleet)),
        BackgroundTask::spawn(readiness::serve(state.clone(), readiness_listener)),
        BackgroundTask::spawn(clean_up_pool(state.clone())),
        BackgroundTask::spawn(tick_load_balancer(state.clone())),
    ];
    let clients = ClientConnections::new(state.clone());
    clients.accept_until(&listener, stop).await;
    shut_down(&state, &settings, &clients, &listener).await;
    log::info!(
        "stopped with {} client connections open",
        clients.open_count()
    );
    drop(listener);
    Ok(state.counters.get())
}

/// Drains the client connections by the schedule of [`Shutdown`].
async fn shut_down(
    state: &ProxyState,
    settings: &ProcessSettings,
    clients: &ClientConnections,
    listener: &TcpListener,
) {
    log::info!("stopping");
    let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
    let shutdown = Shutdown::begin(state.now(), grace);
    state.shutdown.set(Some(shutdown));
    let full_service_until = state.at(shutdown.full_service_until);
    clients
        .accept_until(listener, sleep_until(full_service_until))
        .await;
    clients.set_phase(DrainPhase::ClosingIdle);
    let responses_until = state.at(shutdown.responses_until);
    clients.accept_until_idle(listener, responses_until).await;
    // If no connection is open, this point is reached long before the end of the schedule. A request that arrives from
    // now on must not be sent to a host by a process that is about to exit.
    state.shutdown.set(Some(shutdown.ended_early(state.now())));
    clients.set_phase(DrainPhase::EndingUnanswered);
    let streams_until = state.at(shutdown.streams_until);
    clients.accept_until_idle(listener, streams_until).await;
    clients.accept_pending(listener).await;
    clients.set_phase(DrainPhase::ClosingAll);
    let exit_at = state.at(shutdown.exit_at);
    clients.accept_until_idle(listener, exit_at).await;
}

async fn bind(purpose: &'static str, addr: Option<SocketAddrV4>) -> Result<TcpListener, Error> {
    let addr = addr.ok_or(Error::NoAddress { purpose })?;
    bind_retry::bind(addr).await.context(ListenSnafu { addr })
}

/// Starts sending and receiving prefix hints, if the settings have a port for them.
async fn start_hints(state: &Rc<ProxyState>, settings: &ProcessSettings) -> Option<BackgroundTask> {
    let socket = hints::bind(settings).await?;
    state.hints.borrow_mut().set_socket(socket.clone());
    let listener = hints::run_listener(state.clone(), socket);
    Some(BackgroundTask::spawn(listener))
}

async fn follow_fleet(
    state: Rc<ProxyState>,
    mut fleet: watch::Receiver<Option<Arc<FleetSnapshot>>>,
) {
    loop {
        let snapshot = fleet.borrow_and_update().clone();
        if let Some(snapshot) = snapshot {
            state.apply_fleet(&snapshot);
        }
        if fleet.changed().await.is_err() {
            return;
        }
    }
}

async fn clean_up_pool(state: Rc<ProxyState>) {
    loop {
        sleep(POOL_CLEANUP_INTERVAL).await;
        state.pool.borrow_mut().close_expired(state.now());
    }
}

async fn tick_load_balancer(state: Rc<ProxyState>) {
    state.run_ticks().await;
}
