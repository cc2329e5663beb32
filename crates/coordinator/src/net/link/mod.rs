//! One connection (link) to a district host, which sends calls and receives answers. The end of every part handed to a
//! link is reported to the core exactly once, however the connection ends.

mod connection;
mod reading;
mod run;
mod writing;

pub use run::remove_queued_attempt;

use super::stall_detector::StallDetector;
use crate::core::{AttemptEnd, CoreMessage, PartRequest};
use crate::counters::Counters;
use crate::interface::{Outcome, RequestId, ServerId};
use multi_core::drain_gates::DrainGate;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Share of the host's idle timeout after which a link closes. The link closes before the host does, so that no call is
/// written to a connection that the host is closing.
const IDLE_SHARE: f64 = 0.7;
/// Delay between writing a cancellation (or closing the connection) and reporting it to the core. A host reads its
/// connections in no fixed order, and must not see a resend on another connection before the cancellation.
pub const CANCEL_REPORT_DELAY: Duration = Duration::from_millis(3);

/// A command to a link.
pub enum LinkCommand {
    /// Sends these parts as one call.
    Call(Vec<PartRequest>),
    /// Cancels an attempt, which ends with this outcome.
    Cancel(RequestId, u32, Outcome),
    /// Retracts an attempt if it has not been sent.
    Retract(RequestId, u32),
    /// Probes the host.
    Probe,
    /// Sets the time after which no call starts; `None` removes it.
    StopAt(Option<Instant>),
    /// Closes the connection if nothing is in flight on it.
    Release,
}

/// The load of a link, as shared with its host's actor.
#[derive(Default)]
pub struct ConnectionLoad {
    /// Number of parts handed to the link that have not ended.
    pub parts: AtomicUsize,
    /// Whether the link has stopped answering, so that new calls must use other links.
    pub silent: AtomicBool,
    /// The time since which parts have been waiting without any received byte; `None` with no part in flight.
    waiting_since: Mutex<Option<Instant>>,
}

impl ConnectionLoad {
    /// Returns the time since which parts have been waiting without any received byte; `None` with no part in flight.
    pub fn waiting_since(&self) -> Option<Instant> {
        *self
            .waiting_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the time since which parts have been waiting.
    pub fn set_waiting_since(&self, since: Option<Instant>) {
        *self
            .waiting_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = since;
    }
}

/// The parameters and shared state of a link.
pub struct LinkSetup {
    /// The host to connect to.
    pub server: ServerId,
    /// The host's address.
    pub addr: String,
    /// Number of parts that a connection carries at once.
    pub streams: usize,
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
    /// Time after which hosts close an idle connection.
    pub idle: Duration,
    /// The time after which no call starts, if any.
    pub stop_at: Option<Instant>,
    /// The host's drain gate, which closes for all cores at once, with the origin of its times.
    pub gate: Option<(Arc<DrainGate>, Instant)>,
    /// The mailbox of the link.
    pub mail: mpsc::UnboundedReceiver<LinkCommand>,
    /// The load that the host's actor sees.
    pub load: Arc<ConnectionLoad>,
    /// The stall detector, shared by all links to the host.
    pub stall_detector: Arc<StallDetector>,
    /// The mailbox of the core.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The process's counters.
    pub counters: Counters,
}

/// The task that runs a link.
pub type LinkTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A wire protocol for hosts.
pub trait Dialect: Send + Sync + 'static {
    /// Opens a link. The task ends with its connection.
    fn open(&self, setup: LinkSetup) -> LinkTask;

    /// Returns whether a link with `out` parts in flight has room for `parts` more, if it may carry `streams` at once.
    fn room(&self, out: usize, parts: usize, streams: usize) -> bool {
        out + parts <= streams
    }

    /// Returns the largest number of connections to one host. It is small, since file descriptors are limited.
    fn max_connections(&self) -> usize {
        6
    }
}

/// The frame protocol of district hosts.
pub struct Frames;

impl Dialect for Frames {
    fn open(&self, setup: LinkSetup) -> LinkTask {
        Box::pin(run::run(setup))
    }
}

impl LinkSetup {
    /// Reports the end of a part that was handed to this link.
    pub fn ended(&self, part: RequestId, attempt: u32, outcome: Outcome) {
        self.report(AttemptEnd {
            part,
            attempt,
            outcome,
            value: None,
            report: None,
        });
    }

    /// Reports the end of a part with its value and load report.
    pub fn report(&self, ended: AttemptEnd) {
        self.load.parts.fetch_sub(1, Ordering::Relaxed);
        let _ = self.core.send(CoreMessage::AttemptEnded(ended));
    }

    /// Returns the time without use after which the link closes itself.
    pub fn idle_limit(&self) -> Duration {
        self.idle.mul_f64(IDLE_SHARE)
    }

    /// Returns the parts of a call that may still be sent, and ends the others as not sent. The time spent waiting for
    /// a connection and in this process's buffers counts against a part's timeout, the window of its idempotency key
    /// and the grace of a drain.
    pub fn sendable(&self, call: Vec<PartRequest>, now: Instant) -> Vec<PartRequest> {
        let is_closed = |(gate, origin): &(Arc<DrainGate>, Instant)| {
            !gate.allows_send(now.saturating_duration_since(*origin).as_micros() as u64)
        };
        let stopped =
            self.stop_at.is_some_and(|t| now >= t) || self.gate.as_ref().is_some_and(is_closed);
        let (sendable, withheld): (Vec<_>, Vec<_>) = call
            .into_iter()
            .partition(|p| !stopped && p.may_be_sent(now));
        for p in withheld {
            self.counters.inc("sent.withheld");
            if !p.may_be_repeated(now) {
                self.counters.inc("sent.withheld.window");
            }
            self.ended(p.part, p.attempt, Outcome::NotSent);
        }
        sendable
    }

    /// Logs the end of a connection with its reason code.
    pub fn log_end(&self, code: &'static str, detail: &str) {
        self.counters.inc("links.ended");
        log::info!(server = self.server.0, addr = self.addr, end = code, detail; "host");
    }
}
