//! The server: connections are seated and served until it is told to stop, and then until all that was taken
//! is answered.

use super::client::Client;
use super::connection_slots::{Admission, ConnectionSlots};
use super::incoming::{Guard, Incoming};
use super::{Limits, Service, INPUT, OUTPUT};
use crate::counters::Counters;
use crate::net::buffered_stream::BufferedStream;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};

/// Share of the slots that may stand idle: beyond it the one that has for longest goes with each that comes,
/// as clients that ask once and stay use up what connections the usual ones may have.
const MAX_IDLE_SHARE: f64 = 0.2;
/// Once stopping, this is the least time for which new connections are taken.
const MIN_STOP_TIME: Duration = Duration::from_millis(600);
/// Nothing taken may be waited for beyond this.
const MAX_STOP_TIME: Duration = Duration::from_secs(12);

/// Pause after a failed accept: out of descriptors, until some that are in use come back.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How often a stopping server checks whether it may end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often a server that accepts no more checks whether all connections have ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest sleep of a server that is not stopping.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// What the server's connections share.
pub(super) struct Shared {
    pub(super) service: Arc<dyn Service>,
    pub(super) counters: Counters,
    pub(super) limits: Limits,
    clients: AtomicUsize,
    slots: Mutex<ConnectionSlots>,
    /// Set once stopping: when all must be answered.
    pub(super) latest: OnceLock<Instant>,
}

impl Shared {
    pub(super) fn slots(&self) -> MutexGuard<'_, ConnectionSlots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn crowded(&self, share: f64) -> bool {
        self.slots().staying_count() as f64 > share * self.limits.clients() as f64
    }

    /// Asks the connection that has been of no use for longest to leave.
    fn make_room(&self, full: bool) -> Option<u64> {
        self.slots()
            .make_room(Instant::now(), full, self.limits.request_timeout_when_full)
    }

    /// Whether a request is refused for want of slots, as the one that was to leave for it has not, and no
    /// other can. Those who had a slot before all were taken keep it.
    pub(super) fn refuses(&self, admission: Admission) -> bool {
        let without_slot = match admission {
            Admission::Free => false,
            Admission::InPlaceOf(other) => self.slots().is_staying(other),
            Admission::Extra => true,
        };
        without_slot && self.crowded(1.0) && self.make_room(true).is_none()
    }

    /// Waits until this slot has to be left.
    pub(super) async fn told_to_leave(&self, slot: u64, leave: &Notify) {
        loop {
            leave.notified().await;
            // What was asked before its client's last request holds no more.
            if self.slots().is_leaving(slot) {
                self.counters.inc("clients.made_room");
                return;
            }
        }
    }

    /// Closes connections beyond this process's share, as there is another process now, as far as they are of no use.
    fn shrink_to_share(&self) {
        let over = self
            .slots()
            .staying_count()
            .saturating_sub(self.limits.clients());
        for _ in 0..over {
            if self.make_room(true).is_none() {
                return;
            }
        }
    }

    /// Gives a new connection a slot and serves it. Above the limit on connections it is closed at once.
    fn admit(
        self: &Arc<Self>,
        (stream, from, guard): (TcpStream, SocketAddr, Option<Guard>),
        closing: &watch::Receiver<bool>,
    ) {
        let (clients, most) = (self.limits.clients(), self.limits.connections());
        let full = self.slots().staying_count() >= clients;
        let idle = self.slots().idle_count();
        let crowded = full || idle as f64 > MAX_IDLE_SHARE * clients as f64;
        let leaver = if crowded { self.make_room(full) } else { None };
        let admission = match leaver {
            _ if !full => Admission::Free,
            Some(leaver) => Admission::InPlaceOf(leaver),
            None => Admission::Extra,
        };
        if self.clients.load(Ordering::Relaxed) >= most {
            self.counters.inc("clients.dropped_at_cap");
            log::warn!(from:%, end = "at_cap"; "client");
            return;
        }
        self.clients.fetch_add(1, Ordering::Relaxed);
        let (number, leave) = self.slots().take(Instant::now());
        let (shared, closing) = (self.clone(), closing.clone());
        tokio::spawn(async move {
            let client = Client {
                stream: BufferedStream::new(stream, INPUT, OUTPUT),
                shared: &shared,
                slot: number,
                admission,
                leave,
                closing,
            };
            let (served, code) = client.serve().await;
            shared.slots().release(number);
            shared.clients.fetch_sub(1, Ordering::Relaxed);
            drop(guard);
            shared.counters.inc("clients.ended");
            log::info!(from:%, end = code, requests = served; "client");
        });
    }
}

impl Shared {
    /// Whether the server may end, so long after the stop.
    fn may_end(&self, since_stop: Duration) -> bool {
        let has_clients = self.clients.load(Ordering::Relaxed) > 0;
        let min_stop_time = if self.limits.replaced() {
            Duration::ZERO
        } else {
            MIN_STOP_TIME
        };
        since_stop >= self.limits.serve_on || (!has_clients && since_stop >= min_stop_time)
    }

    /// Serves what the system has accepted by now, as closing the listener would reset it, and waits until all
    /// connections have ended.
    async fn finish(
        self: &Arc<Self>,
        mut incoming: Incoming,
        close: &watch::Sender<bool>,
        closing: &watch::Receiver<bool>,
    ) {
        while let Ok(Ok(accepted)) = tokio::time::timeout(Duration::ZERO, incoming.accept()).await {
            self.admit(accepted, closing);
        }
        drop(incoming);
        let _ = close.send(true);
        let end = Instant::now() + MAX_STOP_TIME;
        while self.clients.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            tokio::time::sleep(END_CHECK_INTERVAL).await;
        }
    }
}

/// Serves until told to stop, and then until all that was taken is answered.
pub async fn serve(
    mut incoming: Incoming,
    service: Arc<dyn Service>,
    limits: Limits,
    counters: Counters,
    mut stop: watch::Receiver<bool>,
) {
    let (clients, slots, latest) = Default::default();
    let shared = Arc::new(Shared {
        service,
        counters,
        limits,
        clients,
        slots,
        latest,
    });
    let (close, closing) = watch::channel(false);
    let mut restart_role = shared.limits.restart_role.clone();
    let mut has_other = restart_role.has_changed().is_ok();
    let mut stopped: Option<Instant> = None;
    loop {
        let rest = if stopped.is_some() {
            STOP_CHECK_INTERVAL
        } else {
            MAX_SLEEP
        };
        tokio::select! {
            came = incoming.accept() => match came {
                Ok(came) => shared.admit(came, &closing),
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
            _ = restart_role.changed(), if has_other => {
                has_other = restart_role.has_changed().is_ok();
                shared.shrink_to_share();
            }
            _ = stop.wait_for(|s| *s), if stopped.is_none() => {
                let now = Instant::now();
                stopped = Some(now);
                let _ = shared.latest.set(now + shared.limits.answer_within);
            }
            _ = tokio::time::sleep(rest) => {}
        }
        if stopped.is_some_and(|since| shared.may_end(since.elapsed())) {
            break;
        }
        // A crowd that leaves at once must have left before more of it come.
        if shared.limits.one_request_per_connection
            && shared.clients.load(Ordering::Relaxed) >= shared.limits.max_clients
        {
            tokio::task::yield_now().await;
        }
    }
    shared.finish(incoming, &close, &closing).await;
}
