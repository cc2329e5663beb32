//! The server: connections are seated and served until it is told to stop, and then until all that was taken
//! is answered.

use super::client::client;
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

/// Share of the seats that may stand idle: beyond it the one that has for longest goes with each that comes,
/// as clients that ask once and stay use up what connections the usual ones may have.
const IDLERS: f64 = 0.2;
/// Once stopping, this is the least time for which new connections are taken.
const STOP_LEAST: Duration = Duration::from_millis(600);
/// Nothing taken may be waited for beyond this.
const STOP_LONGEST: Duration = Duration::from_secs(12);

/// What the server's connections share.
pub(super) struct Shared {
    pub(super) service: Arc<dyn Service>,
    pub(super) counters: Counters,
    pub(super) limits: Limits,
    clients: AtomicUsize,
    seats: Mutex<ConnectionSlots>,
    /// Set once stopping: when all must be answered.
    pub(super) latest: OnceLock<Instant>,
}

impl Shared {
    pub(super) fn seats(&self) -> MutexGuard<'_, ConnectionSlots> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn crowded(&self, share: f64) -> bool {
        self.seats().staying() as f64 > share * self.limits.clients() as f64
    }

    /// Asks the connection that has been of no use for longest to leave.
    fn make_room(&self, full: bool) -> Option<u64> {
        self.seats()
            .make_room(Instant::now(), full, self.limits.request_timeout_when_full)
    }

    /// Whether a request is refused for want of seats, as the one that was to leave for it has not, and no
    /// other can. Those who had a seat before all were taken keep it.
    pub(super) fn refuses(&self, admission: Admission) -> bool {
        let without_seat = match admission {
            Admission::Free => false,
            Admission::InPlaceOf(other) => self.seats().stays(other),
            Admission::Extra => true,
        };
        without_seat && self.crowded(1.0) && self.make_room(true).is_none()
    }

    /// Waits until this seat has to be left.
    pub(super) async fn told_to_leave(&self, seat: u64, leave: &Notify) {
        loop {
            leave.notified().await;
            // What was asked before its client's last request holds no more.
            if self.seats().leaves(seat) {
                self.counters.inc("clients.made_room");
                return;
            }
        }
    }

    /// What stands beyond the share of this process, as there is another now, goes as far as it is of no use.
    fn make_half(&self) {
        let over = self.seats().staying().saturating_sub(self.limits.clients());
        for _ in 0..over {
            if self.make_room(true).is_none() {
                return;
            }
        }
    }

    /// ConnectionSlots a new connection and serves it; above the hard cap it is closed at once.
    fn welcome(
        self: &Arc<Self>,
        (stream, from, guard): (TcpStream, SocketAddr, Option<Guard>),
        closing: &watch::Receiver<bool>,
    ) {
        let (clients, most) = (self.limits.clients(), self.limits.connections());
        let full = self.seats().staying() >= clients;
        let idlers = self.seats().idlers();
        let crowded = full || idlers as f64 > IDLERS * clients as f64;
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
        let (number, leave) = self.seats().take(Instant::now());
        let (shared, closing) = (self.clone(), closing.clone());
        tokio::spawn(async move {
            let conn = BufferedStream::new(stream, INPUT, OUTPUT);
            let (served, code) = client(conn, &shared, number, admission, leave, closing).await;
            shared.seats().release(number);
            shared.clients.fetch_sub(1, Ordering::Relaxed);
            drop(guard);
            shared.counters.inc("clients.ended");
            log::info!(from:%, end = code, requests = served; "client");
        });
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
    let (clients, seats, latest) = Default::default();
    let shared = Arc::new(Shared {
        service,
        counters,
        limits,
        clients,
        seats,
        latest,
    });
    let (close, closing) = watch::channel(false);
    let mut restart_role = shared.limits.restart_role.clone();
    let mut has_other = restart_role.has_changed().is_ok();
    let mut stopped: Option<Instant> = None;
    loop {
        let rest = if stopped.is_some() {
            Duration::from_millis(50)
        } else {
            Duration::from_secs(3600)
        };
        tokio::select! {
            came = incoming.accept() => match came {
                Ok(came) => shared.welcome(came, &closing),
                // Out of descriptors: the ones in use come back.
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            },
            _ = restart_role.changed(), if has_other => {
                has_other = restart_role.has_changed().is_ok();
                shared.make_half();
            }
            _ = stop.wait_for(|s| *s), if stopped.is_none() => {
                let now = Instant::now();
                stopped = Some(now);
                let _ = shared.latest.set(now + shared.limits.answer_within);
            }
            _ = tokio::time::sleep(rest) => {}
        }
        let nobody = shared.clients.load(Ordering::Relaxed) == 0;
        let replaced = shared.limits.replaced();
        let least = if replaced { Duration::ZERO } else { STOP_LEAST };
        let over = |t: Duration| t >= shared.limits.serve_on || (nobody && t >= least);
        if stopped.map(|s| s.elapsed()).is_some_and(over) {
            break;
        }
        // A crowd that leaves at once must have left before more of it come.
        if shared.limits.one_request_per_connection
            && shared.clients.load(Ordering::Relaxed) >= shared.limits.max_clients
        {
            tokio::task::yield_now().await;
        }
    }
    // What the machine has accepted by now is served too: closing the listener would reset it.
    while let Ok(Ok(came)) = tokio::time::timeout(Duration::ZERO, incoming.accept()).await {
        shared.welcome(came, &closing);
    }
    drop(incoming);
    let _ = close.send(true);
    let end = Instant::now() + STOP_LONGEST;
    while shared.clients.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
