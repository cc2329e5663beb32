//! The actor between the sources of the list and the core, where hosts can be taken out by hand.

use super::manual_ejection::{EjectionError, ManualEjections};
use crate::core::{CoreMessage, Endpoint};
use crate::interface::ListKind;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// A host is to be taken out, or called back.
pub struct Order {
    /// Its id.
    pub host: String,
    /// Whether it is to be out.
    pub offline: bool,
    /// Gets word once that is in force.
    pub reply: oneshot::Sender<Result<(), EjectionError>>,
}

/// Another process of the same coordinator, beside this one.
pub struct AttachedProcess {
    /// Orders given here, for it to carry out too.
    pub forward: mpsc::UnboundedSender<Order>,
    /// Gets the state as of now; each order after that is passed on.
    pub state: oneshot::Sender<ManualEjections>,
}

/// What the actor is asked.
pub enum Request {
    /// An order of the operators' staff.
    Order(Order),
    /// An order that the other process passes on.
    Passed(Order),
    /// There is another process.
    Attach(AttachedProcess),
}

/// The overlay, and the other process if there is one.
#[derive(Default)]
pub struct ListOverlay {
    /// What is out by hand, over the list.
    pub bans: ManualEjections,
    other: Option<mpsc::UnboundedSender<Order>>,
}

impl ListOverlay {
    /// The overlay with what was known before.
    pub fn new(bans: ManualEjections) -> Self {
        Self { bans, other: None }
    }

    /// Does what is asked, and tells `sink` what follows from it.
    pub fn take(&mut self, request: Request, sink: &impl ListSink) {
        match request {
            Request::Passed(order) => {
                self.bans.expect(&order.host);
                obey(&mut self.bans, order, None, sink);
            }
            Request::Order(order) => obey(&mut self.bans, order, self.other.as_ref(), sink),
            Request::Attach(AttachedProcess { forward, state }) => {
                let _ = state.send(self.bans.clone());
                self.other = Some(forward);
            }
        }
    }
}

/// Where news of the list goes.
pub trait ListSink {
    /// Hands news over.
    fn publish(&self, kind: ListKind, hosts: Vec<Endpoint>);
    /// Words that come once all handed over before is in force, one for each core.
    fn in_force(&self) -> Vec<oneshot::Receiver<()>>;
}

/// Asks a core for word that what it was sent is in force.
pub fn word_of(core: &mpsc::UnboundedSender<CoreMessage>) -> oneshot::Receiver<()> {
    let (word, taken) = oneshot::channel();
    let _ = core.send(CoreMessage::Barrier(word));
    taken
}

impl ListSink for mpsc::UnboundedSender<CoreMessage> {
    fn publish(&self, kind: ListKind, hosts: Vec<Endpoint>) {
        let _ = self.send(CoreMessage::HostList(kind, hosts));
    }

    fn in_force(&self) -> Vec<oneshot::Receiver<()>> {
        vec![word_of(self)]
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

/// Carries an order out; its word goes out once all cores, and the other process, have taken it.
fn obey(
    bans: &mut ManualEjections,
    order: Order,
    other: Option<&mpsc::UnboundedSender<Order>>,
    sink: &impl ListSink,
) {
    let Order {
        host,
        offline,
        reply,
    } = order;
    match bans.order(&host, offline, unix_ms()) {
        Err(refusal) => drop(reply.send(Err(refusal))),
        Ok(told) => {
            log::info!(host, offline, changes = told.len(); "by hand");
            if !told.is_empty() {
                sink.publish(ListKind::Changes, told);
            }
            let words = sink.in_force();
            let (passed, there) = oneshot::channel();
            if let Some(other) = other {
                let _ = other.send(Order {
                    host,
                    offline,
                    reply: passed,
                });
            }
            tokio::spawn(async move {
                // Of those that have ended no word comes, nor is one needed.
                for word in words {
                    let _ = word.await;
                }
                let _ = there.await;
                let _ = reply.send(Ok(()));
            });
        }
    }
}

/// Passes news on and does what is asked until the sources of both have gone.
pub async fn run(
    mut overlay: ListOverlay,
    mut news: mpsc::UnboundedReceiver<CoreMessage>,
    mut requests: mpsc::Receiver<Request>,
    sink: impl ListSink,
) {
    let (mut listening, mut asked) = (true, true);
    while listening || asked {
        tokio::select! {
            mail = news.recv(), if listening => match mail {
                Some(CoreMessage::HostList(kind, hosts)) => sink.publish(kind, overlay.bans.news(kind, hosts)),
                Some(_) => {}
                None => listening = false,
            },
            request = requests.recv(), if asked => match request {
                Some(request) => overlay.take(request, &sink),
                None => asked = false,
            },
        }
    }
}
