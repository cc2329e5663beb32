//! The actor between the sources of the host list and the cores. It keeps the manual ejections and lays them over
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
    /// Whether it is to be ejected.
    pub ejected: bool,
    /// Is answered once the order is in force, or with the reason why it was refused.
    pub reply: oneshot::Sender<Result<(), EjectionError>>,
}

/// Another process of the same coordinator, beside this one during a hot restart.
pub struct AttachedProcess {
    /// Orders given at this process, for the other one to carry out too.
    pub forward: mpsc::UnboundedSender<EjectionOrder>,
    /// Gets the state as of now. Each order after that is forwarded.
    pub state: oneshot::Sender<ManualEjections>,
}

/// What the actor is asked.
pub enum OverlayRequest {
    /// An order that the operators gave at this process.
    Order(EjectionOrder),
    /// An order that the other process forwarded.
    Forwarded(EjectionOrder),
    /// There is another process from now on.
    Attach(AttachedProcess),
}

/// The manual ejections, and the other process if there is one.
#[derive(Default)]
pub struct ListOverlay {
    /// The hosts that the operators ejected, over the list.
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

    /// Handles one request. What follows for the list goes to `sink`.
    pub fn handle(&mut self, request: OverlayRequest, sink: &impl ListSink) {
        match request {
            OverlayRequest::Forwarded(order) => {
                self.ejections.expect(&order.host);
                carry_out(&mut self.ejections, order, None, sink);
            }
            OverlayRequest::Order(order) => {
                carry_out(
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

/// Where updates of the list go.
pub trait ListSink {
    /// Hands an update over.
    fn publish(&self, kind: ListKind, endpoints: Vec<Endpoint>);
    /// Confirmations, one for each core: each comes once all that was handed over before is applied.
    fn confirmations(&self) -> Vec<oneshot::Receiver<()>>;
}

/// Asks a core to confirm that it has applied all that it was sent before.
pub fn request_confirmation(core: &mpsc::UnboundedSender<CoreMessage>) -> oneshot::Receiver<()> {
    let (confirm, confirmed) = oneshot::channel();
    let _ = core.send(CoreMessage::Barrier(confirm));
    confirmed
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

/// Carries an order out. Its reply goes out once all cores, and the other process, have applied it.
fn carry_out(
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
        // A core or process that has ended sends no confirmation, and none is needed.
        for confirmed in confirmations {
            let _ = confirmed.await;
        }
        let _ = other_process_done.await;
        let _ = reply.send(Ok(()));
    });
}

/// Passes updates on and handles requests until the senders of both have gone.
pub async fn run(
    mut overlay: ListOverlay,
    mut updates: mpsc::UnboundedReceiver<CoreMessage>,
    mut requests: mpsc::Receiver<OverlayRequest>,
    sink: impl ListSink,
) {
    let (mut updates_open, mut requests_open) = (true, true);
    while updates_open || requests_open {
        tokio::select! {
            mail = updates.recv(), if updates_open => match mail {
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
