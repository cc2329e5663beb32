//! Gives updates of the host list to all cores: it closes the drain gates first, then sends the update, then its
//! version, which each core acknowledges.

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

/// Gates close so long before the drain's grace ends, as the frame still has to be written.
const GATE_MARGIN: Duration = Duration::from_millis(50);
/// The gates of hosts that have been closed for so long are forgotten.
const GATE_RETENTION: Duration = Duration::from_secs(60);
/// A core that has not acknowledged a version of the list after this is logged.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Gives updates of the host list to all cores.
pub(super) struct ListDistributor {
    pub(super) gates: Arc<DrainGates>,
    /// The cores' mailboxes.
    pub(super) cores: Vec<mpsc::UnboundedSender<CoreMessage>>,
    /// The origin of the gates' times.
    pub(super) origin: Instant,
    /// How long a draining host may still be sent to.
    pub(super) drain_grace: Duration,
    pub(super) counters: Counters,
}

impl ListDistributor {
    /// Follows the list's source and the requests to the overlay until the source has ended.
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
        let mut check = tokio::time::interval(ACKNOWLEDGE_TIMEOUT);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut published_at = Instant::now();
        loop {
            tokio::select! {
                mail = inbox.recv() => match mail {
                    Some(CoreMessage::HostList(kind, endpoints)) => {
                        self.publish(kind, overlay.ejections.apply_update(kind, endpoints));
                        published_at = Instant::now();
                    }
                    Some(_) => {}
                    None => return,
                },
                Some(request) = next_request(&mut requests) => overlay.handle(request, &self),
                _ = check.tick() => if published_at.elapsed() >= ACKNOWLEDGE_TIMEOUT {
                    self.log_slow_cores();
                },
            }
        }
    }

    /// Counts and logs cores that have left a version unread. Their gates hold all the same.
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

/// The next request to the overlay; none ever comes without an operator's address.
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
        let stop_at = (now + self.drain_grace).saturating_sub(GATE_MARGIN);
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
            // A core that has ended needs no update.
            let _ = core.send(CoreMessage::HostList(kind, endpoints.clone()));
            let _ = core.send(CoreMessage::ListVersion(version));
        }
    }

    fn confirmations(&self) -> Vec<oneshot::Receiver<()>> {
        self.cores.iter().map(request_confirmation).collect()
    }
}
