//! One connection to a district host: calls out, answers in. Every part handed to a link is reported
//! to the core once, whatever becomes of the connection.

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

/// Share of the host's own idle time after which a link closes: before the host does, so that no call
/// is written to a connection that is being closed.
const IDLE_SHARE: f64 = 0.7;
/// A withdrawal is told to the core so long after it was written, or the connection closed: the host reads
/// its connections in no common order, and a resend to another must not come to light before it.
pub const CANCEL_REPORT_DELAY: Duration = Duration::from_millis(3);

/// What a link is told.
pub enum LinkCommand {
    /// Send these parts as one call.
    Call(Vec<PartRequest>),
    /// Give an attempt up.
    Cancel(RequestId, u32, Outcome),
    /// Take an attempt back if it has not begun.
    Retract(RequestId, u32),
    /// Probe the host.
    Probe,
    /// Start no more calls after this; `None` lifts it.
    StopAt(Option<Instant>),
    /// Close if nothing is out.
    Release,
}

/// What a link shows its peer actor.
#[derive(Default)]
pub struct ConnectionLoad {
    /// Parts handed over and not ended.
    pub parts: AtomicUsize,
    /// Whether it keeps a part waiting in silence: new calls go elsewhere.
    pub silent: AtomicBool,
    /// Since when it has kept parts waiting and said nothing; `None` with none out.
    waits: Mutex<Option<Instant>>,
}

impl ConnectionLoad {
    /// Since when the link has kept parts waiting and said nothing; `None` with none out.
    pub fn waits(&self) -> Option<Instant> {
        *self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets since when parts wait.
    pub fn set_waits(&self, since: Option<Instant>) {
        *self.waits.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }
}

/// All that a link needs.
pub struct LinkSetup {
    /// The host.
    pub server: ServerId,
    /// Its address.
    pub addr: String,
    /// Parts that a connection carries at once.
    pub streams: usize,
    /// Time in which a connection must be up.
    pub connect_timeout: Duration,
    /// Time after which hosts close an idle connection.
    pub idle: Duration,
    /// No call starts after this.
    pub stop_at: Option<Instant>,
    /// The host's gate, which closes for all cores at once, and the origin of its times.
    pub gate: Option<(Arc<DrainGate>, Instant)>,
    /// Its mailbox.
    pub mail: mpsc::UnboundedReceiver<LinkCommand>,
    /// What its peer sees of it.
    pub load: Arc<ConnectionLoad>,
    /// How fast the host answers, over all its links.
    pub stall_detector: Arc<StallDetector>,
    /// The core's mailbox.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The counters.
    pub counters: Counters,
}

/// A link at work.
pub type LinkTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// How a kind of host is spoken to.
pub trait Dialect: Send + Sync + 'static {
    /// Opens a link; it lives until its connection ends.
    fn open(&self, setup: LinkSetup) -> LinkTask;

    /// Whether a link with `out` parts on it has room for `parts` more.
    fn room(&self, out: usize, parts: usize, streams: usize) -> bool {
        out + parts <= streams
    }

    /// Connections to one host at once. Descriptors are few.
    fn max_connections(&self) -> usize {
        6
    }
}

/// The dialect of frames.
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

    /// The same with all that came along.
    pub fn report(&self, ended: AttemptEnd) {
        self.load.parts.fetch_sub(1, Ordering::Relaxed);
        let _ = self.core.send(CoreMessage::AttemptEnded(ended));
    }

    /// Time without use after which the link closes by itself.
    pub fn idle_limit(&self) -> Duration {
        self.idle.mul_f64(IDLE_SHARE)
    }

    /// The parts of a call that may still be sent; the others end here, never sent. Waiting for a connection and in our
    /// own buffers counts against a part's time-out, against the window of its key and against a drain's grace.
    pub fn sendable(&self, call: Vec<PartRequest>, now: Instant) -> Vec<PartRequest> {
        let shut = |(gate, origin): &(Arc<DrainGate>, Instant)| {
            !gate.allows_send(now.saturating_duration_since(*origin).as_micros() as u64)
        };
        let stopped =
            self.stop_at.is_some_and(|t| now >= t) || self.gate.as_ref().is_some_and(shut);
        let (go, stay): (Vec<_>, Vec<_>) = call
            .into_iter()
            .partition(|p| !stopped && p.may_be_sent(now));
        for p in stay {
            self.counters.inc("sent.withheld");
            if !p.may_be_repeated(now) {
                self.counters.inc("sent.withheld.window");
            }
            self.ended(p.part, p.attempt, Outcome::NotSent);
        }
        go
    }

    /// Logs the end of a connection with its reason code.
    pub fn log_end(&self, code: &'static str, detail: &str) {
        self.counters.inc("links.ended");
        log::info!(server = self.server.0, addr = self.addr, end = code, detail; "host");
    }
}
