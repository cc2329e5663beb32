//! The server: assigns slots to connections and serves them until it is told to stop, and then until all accepted
//! requests are answered.

use super::client::Client;
use super::connection_slots::{Admission, ConnectionSlots};
use super::incoming::{ConnectionGuard, Incoming};
use super::{Limits, Service, INPUT_BUFFER_BYTES, OUTPUT_BUFFER_BYTES};
use crate::counters::Counters;
use crate::net::buffered_stream::BufferedStream;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};

/// Share of the slots that may be idle. Above it, each new connection closes the one that has been idle for longest,
/// since clients that stay connected after one request would otherwise use up the connections of regular clients.
const MAX_IDLE_SHARE: f64 = 0.2;
/// Shortest time for which a stopping server accepts new connections.
const MIN_STOP_TIME: Duration = Duration::from_millis(600);
/// Longest time for which a server waits for its connections to end after it closed its listener.
const MAX_STOP_TIME: Duration = Duration::from_secs(12);

/// Pause after a failed accept. File descriptors have usually run out, and some have to be released first.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a stopping server checks whether it may end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a server without a listener checks whether all connections have ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest sleep of a server that is not stopping.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// State shared by the server's connections.
pub(super) struct Shared {
    pub(super) service: Arc<dyn Service>,
    pub(super) counters: Counters,
    pub(super) limits: Limits,
    clients: AtomicUsize,
    slots: Mutex<ConnectionSlots>,
    /// The time by which all requests must be answered; set when the server stops.
    pub(super) latest: OnceLock<Instant>,
}

impl Shared {
    pub(super) fn slots(&self) -> MutexGuard<'_, ConnectionSlots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_crowded(&self, share: f64) -> bool {
        self.slots().staying_count() as f64 > share * self.limits.clients() as f64
    }

    /// Asks the connection that has been useless for longest to leave. Returns its slot, if there is one.
    fn make_room(&self, full: bool) -> Option<u64> {
        self.slots()
            .make_room(Instant::now(), full, self.limits.request_timeout_when_full)
    }

    /// Returns whether a request is refused for lack of a slot: the connection that was asked to leave for it has not
    /// left, and no other can be asked. Connections that got a free slot keep it.
    pub(super) fn must_refuse(&self, admission: Admission) -> bool {
        let without_slot = match admission {
            Admission::Free => false,
            Admission::InPlaceOf(other) => self.slots().is_staying(other),
            Admission::Extra => true,
        };
        without_slot && self.is_crowded(1.0) && self.make_room(true).is_none()
    }

    /// Waits until the connection in this slot has to leave.
    pub(super) async fn wait_to_leave(&self, slot: u64, leave: &Notify) {
        loop {
            leave.notified().await;
            // A notification from before the client's last request is obsolete.
            if self.slots().is_leaving(slot) {
                self.counters.inc("clients.made_room");
                return;
            }
        }
    }

    /// Closes useless connections beyond this process's share of the slots, after another process has appeared.
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

    /// Assigns a slot to a new connection and serves it. Above the limit on connections it is closed at once.
    fn admit(
        self: &Arc<Self>,
        (stream, from, guard): (TcpStream, SocketAddr, Option<ConnectionGuard>),
        closing: &watch::Receiver<bool>,
    ) {
        let (clients, max_connections) = (self.limits.clients(), self.limits.connections());
        let full = self.slots().staying_count() >= clients;
        let idle = self.slots().idle_count();
        let crowded = full || idle as f64 > MAX_IDLE_SHARE * clients as f64;
        let leaving_slot = if crowded { self.make_room(full) } else { None };
        let admission = match leaving_slot {
            _ if !full => Admission::Free,
            Some(leaving_slot) => Admission::InPlaceOf(leaving_slot),
            None => Admission::Extra,
        };
        if self.clients.load(Ordering::Relaxed) >= max_connections {
            self.counters.inc("clients.dropped_at_cap");
            log::warn!(from:%, end = "at_cap"; "client");
            return;
        }
        self.clients.fetch_add(1, Ordering::Relaxed);
        let (number, leave) = self.slots().take(Instant::now());
        let (shared, closing) = (self.clone(), closing.clone());
        tokio::spawn(async move {
            let client = Client {
                stream: BufferedStream::new(stream, INPUT_BUFFER_BYTES, OUTPUT_BUFFER_BYTES),
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
    /// Returns whether the server may end at this time after the stop.
    fn may_end(&self, since_stop: Duration) -> bool {
        let has_clients = self.clients.load(Ordering::Relaxed) > 0;
        let min_stop_time = if self.limits.replaced() {
            Duration::ZERO
        } else {
            MIN_STOP_TIME
        };
        since_stop >= self.limits.serve_on || (!has_clients && since_stop >= min_stop_time)
    }

    /// Serves the connections in the listener's queue, since closing the listener would reset them, and waits until all
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

/// Serves until `stop` becomes true, and then until all accepted requests are answered.
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
    let mut may_change_role = restart_role.has_changed().is_ok();
    let mut stopped: Option<Instant> = None;
    loop {
        let sleep = if stopped.is_some() {
            STOP_CHECK_INTERVAL
        } else {
            MAX_SLEEP
        };
        tokio::select! {
            accepted = incoming.accept() => match accepted {
                Ok(accepted) => shared.admit(accepted, &closing),
                Err(e) => {
                    log::warn!("accept failed; retrying: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
            _ = restart_role.changed(), if may_change_role => {
                may_change_role = restart_role.has_changed().is_ok();
                shared.shrink_to_share();
            }
            _ = stop.wait_for(|s| *s), if stopped.is_none() => {
                let now = Instant::now();
                stopped = Some(now);
                let _ = shared.latest.set(now + shared.limits.answer_within);
            }
            _ = tokio::time::sleep(sleep) => {}
        }
        if stopped.is_some_and(|since| shared.may_end(since.elapsed())) {
            break;
        }
        // Let connections that end after one request finish before more of them are accepted.
        if shared.limits.one_request_per_connection
            && shared.clients.load(Ordering::Relaxed) >= shared.limits.max_clients
        {
            tokio::task::yield_now().await;
        }
    }
    shared.finish(incoming, &close, &closing).await;
}
