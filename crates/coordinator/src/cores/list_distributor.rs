//! Distributes updates of the host list to all cores: it first closes the drain gates, then sends the update, then the
//! update's version, which each core acknowledges.

use crate::config::Config;
use crate::core::{CoreMessage, Endpoint};
use crate::counters::Counters;
use crate::interface::{ListKind, ServerState};
use crate::ops::list_overlay::{request_confirmation, ListOverlay, ListSink, OverlayRequest};
use crate::serve::components::start_list_source;
use multi_core::drain_gates::DrainGates;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

/// How long before the end of the drain grace a gate closes: a frame that it let through still has to be written.
const GATE_CLOSE_MARGIN: Duration = Duration::from_millis(50);
/// How long a closed gate is kept before it is removed.
const GATE_RETENTION: Duration = Duration::from_secs(60);
/// Time after an update past which a core that has not acknowledged it is logged; also the interval
/// of that check.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(500);

/// The task that distributes updates of the host list to all cores.
pub(super) struct ListDistributor {
    pub(super) gates: Arc<DrainGates>,
    /// The cores' mailboxes.
    pub(super) cores: Vec<mpsc::UnboundedSender<CoreMessage>>,
    /// The instant that the gates' times are relative to.
    pub(super) origin: Instant,
    /// How long requests may still be sent to a draining host.
    pub(super) drain_grace: Duration,
    pub(super) counters: Counters,
}

impl ListDistributor {
    /// Handles the updates of the list's source and the requests to the overlay until the source has ended.
    pub(super) async fn run(
        self,
        config: Config,
        discovery_moves: mpsc::UnboundedReceiver<String>,
        mut overlay: ListOverlay,
        mut requests: Option<mpsc::Receiver<OverlayRequest>>,
    ) {
        let (updates, mut inbox) = mpsc::unbounded_channel();
        let known = config.known_list.members.clone();
        let known = overlay.ejections.apply_update(ListKind::Cached, known);
        self.publish(ListKind::Cached, known);
        start_list_source(config, updates, &self.counters, discovery_moves);
        let mut acknowledge_check = tokio::time::interval(ACKNOWLEDGE_TIMEOUT);
        acknowledge_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut published_at = Instant::now();
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(CoreMessage::HostList(kind, endpoints)) => {
                        self.publish(kind, overlay.ejections.apply_update(kind, endpoints));
                        published_at = Instant::now();
                    }
                    Some(_) => {}
                    None => return,
                },
                Some(request) = next_request(&mut requests) => overlay.handle(request, &self),
                _ = acknowledge_check.tick() => if published_at.elapsed() >= ACKNOWLEDGE_TIMEOUT {
                    self.log_slow_cores();
                },
            }
        }
    }

    /// Counts and logs the live cores that have not acknowledged the latest version. Their gates are closed even so.
    fn log_slow_cores(&self) {
        let version = self.gates.revision();
        for (core, mailbox) in self.cores.iter().enumerate() {
            let acknowledged = self.gates.acknowledged(core);
            if acknowledged < version && !mailbox.is_closed() {
                self.counters.inc("cores.slow_to_acknowledge");
                log::warn!(core, version, acknowledged; "list not read yet");
            }
        }
    }
}

/// The next request to the overlay; pending without end if there is no operator's address.
async fn next_request(
    requests: &mut Option<mpsc::Receiver<OverlayRequest>>,
) -> Option<OverlayRequest> {
    match requests {
        Some(requests) => requests.recv().await,
        None => std::future::pending().await,
    }
}

impl ListSink for ListDistributor {
    fn publish(&self, kind: ListKind, endpoints: Vec<Endpoint>) {
        let now = self.origin.elapsed();
        let stop_at = (now + self.drain_grace).saturating_sub(GATE_CLOSE_MARGIN);
        let is_complete = matches!(kind, ListKind::Full | ListKind::Cached);
        let ready = endpoints
            .iter()
            .map(|endpoint| (endpoint.id.as_str(), endpoint.state == ServerState::Ready));
        let version = self
            .gates
            .publish(is_complete, ready, stop_at.as_micros() as u64);
        let forget_before = now.saturating_sub(GATE_RETENTION);
        self.gates.prune(forget_before.as_micros() as u64);
        for core in &self.cores {
            // Sending fails only if the core has ended; it then needs no update.
            let _ = core.send(CoreMessage::HostList(kind, endpoints.clone()));
            let _ = core.send(CoreMessage::ListVersion(version));
        }
    }

    fn confirmations(&self) -> Vec<oneshot::Receiver<()>> {
        self.cores.iter().map(request_confirmation).collect()
    }
}
