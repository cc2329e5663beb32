//! The process: its listeners, its news, its end.

use crate::client::connection as front;
use crate::counters::{Counters, SharedCounters};
use crate::fleet::FleetSnapshot;
use crate::hints::{listener as hint_listener, publisher as hints};
use crate::readiness;
use crate::shutdown::{Shutdown, BEFORE_KILL};
use crate::state::ProxyState;
use configuration::ProcessSettings;
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};

/// Why the proxy can't start.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The settings name no address for this purpose.
    #[snafu(display("the settings name no address for {purpose}"))]
    NoAddress {
        /// `front` or `readiness`.
        purpose: &'static str,
    },
    /// An address can't be listened on.
    #[snafu(display("{addr} can't be listened on: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddrV4,
        /// How it failed.
        source: std::io::Error,
    },
}

/// Longest wait for a listener's port: the process before may not be gone quite yet.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
const SWEEP: Duration = Duration::from_secs(1);
const LOOK: Duration = Duration::from_millis(20);

/// A task that ends with its owner.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn task(work: impl Future<Output = ()> + 'static) -> Task {
    Task(tokio::task::spawn_local(work))
}

async fn listen(purpose: &'static str, addr: Option<SocketAddrV4>) -> Result<TcpListener, Error> {
    let addr = addr.ok_or(Error::NoAddress { purpose })?;
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                tokio::time::sleep(LOOK).await;
            }
            done => return done.context(ListenSnafu { addr }),
        }
    }
}

async fn follow(state: Rc<ProxyState>, mut world: watch::Receiver<Option<Arc<FleetSnapshot>>>) {
    loop {
        let news = world.borrow_and_update().clone();
        if let Some(news) = news {
            state.learn(&news);
        }
        if world.changed().await.is_err() {
            return;
        }
    }
}

async fn sweep(state: Rc<ProxyState>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        state.pool.borrow_mut().close_expired(state.now());
    }
}

async fn tick(state: Rc<ProxyState>) {
    state.tick().await;
}

/// Serves until `stop` resolves, and then until all that was taken is answered. Has to run inside a
/// [`tokio::task::LocalSet`] on a `current_thread` runtime. Gives what was counted.
///
/// # Errors
/// Where the settings name no address to listen on, or it can't be listened on.
pub async fn serve(
    boot: ProcessSettings,
    world: watch::Receiver<Option<Arc<FleetSnapshot>>>,
    stop: impl Future<Output = ()>,
) -> Result<Counters, Error> {
    serve_with_counters(boot, world, Rc::default(), stop).await
}

/// As [`serve`], counting in `counters`, which the caller can read meanwhile.
///
/// # Errors
/// As [`serve`].
pub async fn serve_with_counters(
    boot: ProcessSettings,
    world: watch::Receiver<Option<Arc<FleetSnapshot>>>,
    counters: Rc<SharedCounters>,
    stop: impl Future<Output = ()>,
) -> Result<Counters, Error> {
    let state = Rc::new(ProxyState::new(&boot, counters));
    let front = listen("front", boot.bind.front).await?;
    let readiness = listen("readiness", boot.bind.readiness).await?;
    let hints = hints::listen(&boot).await;
    if let Some(socket) = &hints {
        state.hints.borrow_mut().socket = Some(socket.clone());
    }
    let _hints = hints.map(|socket| task(hint_listener::hear(state.clone(), socket)));
    let _tasks = [
        task(follow(state.clone(), world)),
        task(readiness::listen(state.clone(), readiness)),
        task(sweep(state.clone())),
        task(tick(state.clone())),
    ];
    let (close, closing) = watch::channel(front::Phase::Open);
    let open = Rc::new(std::cell::Cell::new(0));
    let welcome = |came| front::welcome(&state, came, &open, &closing);
    tokio::pin!(stop);
    loop {
        tokio::select! {
            _ = &mut stop => break,
            came = front.accept() => accepted(came, &welcome).await,
        }
    }
    log::info!("stopping");
    let grace = Duration::try_from_secs_f64(boot.bounds.grace_s).unwrap_or_default();
    let shutdown = Shutdown::begin(state.now(), grace);
    state.shutdown.set(Some(shutdown));
    let last = state.at(shutdown.answers_until);
    loop {
        tokio::select! {
            _ = sleep_until(state.at(shutdown.full_service_until)) => break,
            came = front.accept() => accepted(came, &welcome).await,
        }
    }
    let _ = close.send(front::Phase::Leaving);
    while Instant::now() < last && open.get() > 0 {
        tokio::select! {
            _ = tokio::time::sleep(LOOK) => {}
            came = front.accept() => accepted(came, &welcome).await,
        }
    }
    // What the machine has taken for us by now is answered too: closing the listener would reset it.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, front.accept()).await {
        welcome(stream);
    }
    let _ = close.send(front::Phase::Over);
    let end = Instant::now() + BEFORE_KILL / 2;
    while Instant::now() < end && open.get() > 0 {
        tokio::time::sleep(LOOK / 4).await;
    }
    log::info!("stopped with {} open", open.get());
    drop(front);
    Ok(state.counters.get())
}

async fn accepted(
    came: std::io::Result<(tokio::net::TcpStream, std::net::SocketAddr)>,
    welcome: &impl Fn(tokio::net::TcpStream),
) {
    match came {
        Ok((stream, _)) => welcome(stream),
        // Out of descriptors: those in use come back.
        Err(e) => {
            log::warn!("front: {e}");
            tokio::time::sleep(LOOK).await;
        }
    }
}
