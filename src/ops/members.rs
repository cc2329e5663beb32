//! The actor between the sources of the list and the core, where hosts can be taken out by hand.

use super::bans::{Bans, Refusal};
use crate::core::{Listed, Mail};
use crate::interface::ListKind;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// Orders that wait at once; one more is refused.
pub const MOST_ORDERS: usize = 64;

/// A host is to be taken out, or called back.
pub struct Order {
    /// Its id.
    pub host: String,
    /// Whether it is to be out.
    pub offline: bool,
    /// Gets word once that is in force.
    pub reply: oneshot::Sender<Result<(), Refusal>>,
}

/// Where news of the list goes.
pub trait Sink {
    /// Hands news over.
    fn publish(&self, kind: ListKind, hosts: Vec<Listed>);
    /// Words that come once all handed over before is in force, one for each core.
    fn in_force(&self) -> Vec<oneshot::Receiver<()>>;
}

/// Asks a core for word that what it was sent is in force.
pub fn word_of(core: &mpsc::UnboundedSender<Mail>) -> oneshot::Receiver<()> {
    let (word, taken) = oneshot::channel();
    let _ = core.send(Mail::Taken(word));
    taken
}

impl Sink for mpsc::UnboundedSender<Mail> {
    fn publish(&self, kind: ListKind, hosts: Vec<Listed>) {
        let _ = self.send(Mail::List(kind, hosts));
    }

    fn in_force(&self) -> Vec<oneshot::Receiver<()>> {
        vec![word_of(self)]
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// Carries an order out; its word goes out once all cores have taken it.
pub fn obey(bans: &mut Bans, order: Order, sink: &impl Sink) {
    let Order { host, offline, reply } = order;
    match bans.order(&host, offline, unix_ms()) {
        Err(refusal) => drop(reply.send(Err(refusal))),
        Ok(told) => {
            log::info!(host, offline, changes = told.len(); "by hand");
            if !told.is_empty() {
                sink.publish(ListKind::Changes, told);
            }
            let words = sink.in_force();
            tokio::spawn(async move {
                for word in words {
                    // A core that has ended sends nothing any more.
                    let _ = word.await;
                }
                let _ = reply.send(Ok(()));
            });
        }
    }
}

/// Passes news on and obeys orders until the sources of both have gone.
pub async fn run(
    mut bans: Bans,
    mut news: mpsc::UnboundedReceiver<Mail>,
    mut orders: mpsc::Receiver<Order>,
    sink: impl Sink,
) {
    let (mut listening, mut ordered) = (true, true);
    while listening || ordered {
        tokio::select! {
            mail = news.recv(), if listening => match mail {
                Some(Mail::List(kind, hosts)) => sink.publish(kind, bans.news(kind, hosts)),
                Some(_) => {}
                None => listening = false,
            },
            order = orders.recv(), if ordered => match order {
                Some(order) => obey(&mut bans, order, &sink),
                None => ordered = false,
            },
        }
    }
}
