//! The link between the two processes while both run: each forwards the operators' orders to the other and confirms
//! the orders that it has applied.

use super::messages::{LinkMessage, MAX_MESSAGE_BYTES};
use super::{HotRestartError, RestartRole};
use crate::ops::list_overlay::{EjectionOrder, OverlayRequest};
use crate::ops::manual_ejection::EjectionError;
use bytes::{Buf, BytesMut};
use std::collections::BTreeMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot, watch};

/// Serves the link until it ends. Returns why it ended.
pub(super) async fn serve_link(
    link: UnixStream,
    orders: mpsc::UnboundedReceiver<EjectionOrder>,
    overlay: &mpsc::Sender<OverlayRequest>,
    role: &watch::Sender<RestartRole>,
) -> HotRestartError {
    let (applied_orders, confirmations) = mpsc::unbounded_channel();
    let mut link_state = LinkState {
        overlay,
        role,
        last_number: 0,
        unconfirmed: BTreeMap::new(),
        applied_orders,
    };
    match link_state.exchange(link, orders, confirmations).await {
        Err(e) => e,
        Ok(never) => match never {},
    }
}

struct LinkState<'a> {
    overlay: &'a mpsc::Sender<OverlayRequest>,
    role: &'a watch::Sender<RestartRole>,
    /// The number of the last forwarded order.
    last_number: u64,
    /// The reply channels of forwarded orders that the other process has not confirmed, by number.
    unconfirmed: BTreeMap<u64, oneshot::Sender<Result<(), EjectionError>>>,
    /// Receives the numbers of the other process's orders that this process has applied.
    applied_orders: mpsc::UnboundedSender<u64>,
}

impl LinkState<'_> {
    async fn exchange(
        &mut self,
        link: UnixStream,
        mut orders: mpsc::UnboundedReceiver<EjectionOrder>,
        mut confirmations: mpsc::UnboundedReceiver<u64>,
    ) -> Result<std::convert::Infallible, HotRestartError> {
        let (mut reader, mut writer) = link.into_split();
        let mut input = BytesMut::new();
        loop {
            let message = tokio::select! {
                read = reader.read_buf(&mut input) => match read? {
                    0 => return Err(HotRestartError::Closed),
                    _ => None,
                },
                Some(order) = orders.recv() => Some(self.forward(order)),
                Some(number) = confirmations.recv() => Some(LinkMessage::Done { number }),
            };
            if let Some(message) = message {
                writer.write_all(&message.to_line()).await?;
            }
            if input.len() > MAX_MESSAGE_BYTES {
                return Err(HotRestartError::LineTooLong);
            }
            while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
                let message = serde_json::from_slice(&input[..end]);
                input.advance(end + 1);
                self.handle(message?).await?;
            }
        }
    }

    fn forward(&mut self, order: EjectionOrder) -> LinkMessage {
        self.last_number += 1;
        self.unconfirmed.insert(self.last_number, order.reply);
        LinkMessage::Order {
            number: self.last_number,
            host: order.host,
            ejected: order.ejected,
        }
    }

    async fn handle(&mut self, message: LinkMessage) -> Result<(), HotRestartError> {
        match message {
            LinkMessage::Ready => {
                log::info!("hot restart: the new process serves");
                self.role.send_replace(RestartRole::Replaced);
            }
            LinkMessage::Done { number } => {
                if let Some(reply) = self.unconfirmed.remove(&number) {
                    let _ = reply.send(Ok(()));
                }
            }
            LinkMessage::Order {
                number,
                host,
                ejected,
            } => self.apply_order(number, host, ejected).await?,
        }
        Ok(())
    }

    async fn apply_order(
        &self,
        number: u64,
        host: String,
        ejected: bool,
    ) -> Result<(), HotRestartError> {
        let (reply, done) = oneshot::channel();
        let order = EjectionOrder {
            host,
            ejected,
            reply,
        };
        self.overlay
            .send(OverlayRequest::Forwarded(order))
            .await
            .map_err(|_| HotRestartError::OverlayEnded)?;
        let applied_orders = self.applied_orders.clone();
        tokio::spawn(async move {
            // A refused order is confirmed too: a host that this process doesn't know gets no requests from it.
            let _ = done.await;
            let _ = applied_orders.send(number);
        });
        Ok(())
    }
}
