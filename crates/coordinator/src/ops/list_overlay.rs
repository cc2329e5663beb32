//! The actor between the sources of the host list and the cores. It keeps the manual ejections and applies them to
//! each update.

use super::manual_ejection::{EjectionError, ManualEjections};
use crate::core::{CoreMessage, Endpoint};
use crate::interface::ListKind;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// An order to eject a host or to restore it.
pub struct EjectionOrder {
    /// The host's id.
    pub host: String,
    /// True to eject the host, false to restore it.
    pub ejected: bool,
    /// Receives `Ok` once the order is in force, or the reason why it was refused.
    pub reply: oneshot::Sender<Result<(), EjectionError>>,
}

/// Another process of the same coordinator that runs at the same time during a hot restart.
pub struct AttachedProcess {
    /// Forwards the orders received by this process, so that the other one applies them too.
    pub forward: mpsc::UnboundedSender<EjectionOrder>,
    /// Receives a snapshot of the ejections. Each later order is forwarded.
    pub state: oneshot::Sender<ManualEjections>,
}

/// A request to the overlay's actor.
pub enum OverlayRequest {
    /// An order that an operator sent to this process.
    Order(EjectionOrder),
    /// An order that the other process forwarded.
    Forwarded(EjectionOrder),
    /// Registers another process, which receives orders from now on.
    Attach(AttachedProcess),
}

/// The manual ejections, and the channel to the other process during a hot restart.
#[derive(Default)]
pub struct ListOverlay {
    /// The manually ejected hosts and the list that they apply to.
    pub ejections: ManualEjections,
    other_process: Option<mpsc::UnboundedSender<EjectionOrder>>,
}

impl ListOverlay {
    /// Creates the overlay with the ejections of an earlier process.
    pub fn new(ejections: ManualEjections) -> Self {
        Self {
            ejections,
            other_process: None,
        }
    }

    /// Handles one request. Resulting updates of the list go to `sink`.
    pub fn handle(&mut self, request: OverlayRequest, sink: &impl ListSink) {
        match request {
            OverlayRequest::Forwarded(order) => {
                self.ejections.expect_host(&order.host);
                apply_order(&mut self.ejections, order, None, sink);
            }
            OverlayRequest::Order(order) => {
                apply_order(
                    &mut self.ejections,
                    order,
                    self.other_process.as_ref(),
                    sink,
                );
            }
            OverlayRequest::Attach(AttachedProcess { forward, state }) => {
                let _ = state.send(self.ejections.clone());
                self.other_process = Some(forward);
            }
        }
    }
}

/// A receiver of updates of the host list.
pub trait ListSink {
    /// Sends an update to all cores.
    fn publish(&self, kind: ListKind, endpoints: Vec<Endpoint>);
    /// One confirmation for each core; it resolves once the core has applied all updates published before this call.
    fn confirmations(&self) -> Vec<oneshot::Receiver<()>>;
}

/// Asks a core to confirm that it has applied all messages sent to it so far.
pub fn request_confirmation(core: &mpsc::UnboundedSender<CoreMessage>) -> oneshot::Receiver<()> {
    let (confirm, confirmation) = oneshot::channel();
    let _ = core.send(CoreMessage::Barrier(confirm));
    confirmation
}

impl ListSink for mpsc::UnboundedSender<CoreMessage> {
    fn publish(&self, kind: ListKind, endpoints: Vec<Endpoint>) {
        let _ = self.send(CoreMessage::HostList(kind, endpoints));
    }

    fn confirmations(&self) -> Vec<oneshot::Receiver<()>> {
        vec![request_confirmation(self)]
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Applies an order. The reply is sent once all cores, and the other process if there is one, have applied it.
fn apply_order(
    ejections: &mut ManualEjections,
    order: EjectionOrder,
    other_process: Option<&mpsc::UnboundedSender<EjectionOrder>>,
    sink: &impl ListSink,
) {
    let EjectionOrder {
        host,
        ejected,
        reply,
    } = order;
    let update = match ejections.set_ejected(&host, ejected, unix_ms()) {
        Ok(update) => update,
        Err(error) => {
            let _ = reply.send(Err(error));
            return;
        }
    };
    log::info!(host, offline = ejected, changes = update.len(); "manual ejection");
    if !update.is_empty() {
        sink.publish(ListKind::Changes, update);
    }
    let confirmations = sink.confirmations();
    let (forwarded_reply, other_process_done) = oneshot::channel();
    if let Some(other_process) = other_process {
        let _ = other_process.send(EjectionOrder {
            host,
            ejected,
            reply: forwarded_reply,
        });
    } else {
        drop(forwarded_reply);
    }
    tokio::spawn(async move {
        // A core or process that has ended drops its sender: no confirmation is needed from it.
        for confirmation in confirmations {
            let _ = confirmation.await;
        }
        let _ = other_process_done.await;
        let _ = reply.send(Ok(()));
    });
}

/// Forwards list updates to `sink` and handles requests, until both channels are closed.
pub async fn run(
    mut overlay: ListOverlay,
    mut updates: mpsc::UnboundedReceiver<CoreMessage>,
    mut requests: mpsc::Receiver<OverlayRequest>,
    sink: impl ListSink,
) {
    let (mut updates_open, mut requests_open) = (true, true);
    while updates_open || requests_open {
        tokio::select! {
            message = updates.recv(), if updates_open => match message {
                Some(CoreMessage::HostList(kind, endpoints)) => {
                    sink.publish(kind, overlay.ejections.apply_update(kind, endpoints));
                }
                Some(_) => {}
                None => updates_open = false,
            },
            request = requests.recv(), if requests_open => match request {
                Some(request) => overlay.handle(request, &sink),
                None => requests_open = false,
            },
        }
    }
}
