//! Connections from other processes: members that speak, and whoever pulls.

use super::connection;
use super::peer_connections::PeerConnections;
use crate::registry_publisher::RegistryPublisher;
use protocol::{MemberInfo, Message};
use replication::FrameReader;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time for the first messages on a connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a connection couldn't be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Takes connections for as long as the process runs.
pub(super) async fn accept(
    listener: TcpListener,
    links: PeerConnections,
    feed: Arc<RegistryPublisher>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (links, feed) = (links.clone(), feed.clone());
                spawn_local(async move {
                    if let Err(e) = inbound(stream, links, feed).await {
                        log::debug!(error:% = e; "inbound connection ended");
                    }
                });
            }
            // No descriptor is left, or the caller is gone already.
            Err(e) => {
                log::debug!(error:% = e; "accept");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A connection from another process: its first messages tell what it is for.
async fn inbound(
    stream: TcpStream,
    links: PeerConnections,
    feed: Arc<RegistryPublisher>,
) -> std::io::Result<()> {
    connection::ready(&stream)?;
    let mut frames = FrameReader::new(stream, Vec::new());
    let Some(first) = timeout(FIRST_MESSAGE_TIMEOUT, frames.next()).await?? else {
        return Ok(());
    };
    let (seat, first) = match first {
        Message::Hello { sender } => match timeout(FIRST_MESSAGE_TIMEOUT, frames.next()).await?? {
            Some(first) => (sender, first),
            None => return Ok(()),
        },
        first => (MemberInfo::default(), first),
    };
    let (stream, rest) = frames.into_parts();
    match first {
        pull @ Message::Pull { .. } => {
            let buffer = [protocol::encode(&pull), rest].concat();
            replication::serve(stream, buffer, feed.shared().clone(), |caller| {
                feed.pulled(caller);
            })
            .await
        }
        first if seat.id != 0 => {
            let (input, output) = stream.into_split();
            links
                .serve(seat, first, FrameReader::new(input, rest), output)
                .await
        }
        _ => Ok(()),
    }
}
