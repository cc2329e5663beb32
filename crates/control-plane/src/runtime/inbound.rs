//! Connections from other processes: members that send messages, and subscribers that pull.

use super::connection::set_socket_options;
use super::peer_connections::PeerConnections;
use crate::registry_publisher::RegistryPublisher;
use protocol::{MemberInfo, Message};
use replication::FrameReader;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time for each of the first messages on a connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a connection couldn't be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(
    listener: TcpListener,
    peers: PeerConnections,
    publisher: Arc<RegistryPublisher>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_logging(stream, peers.clone(), publisher.clone()));
            }
            // No descriptor is left, or the caller is gone already.
            Err(error) => {
                log::debug!(error:%; "accept");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_logging(
    stream: TcpStream,
    peers: PeerConnections,
    publisher: Arc<RegistryPublisher>,
) {
    if let Err(error) = serve(stream, peers, publisher).await {
        log::debug!(error:%; "inbound connection ended");
    }
}

/// Serves a connection; its first messages tell what it is for.
async fn serve(
    stream: TcpStream,
    peers: PeerConnections,
    publisher: Arc<RegistryPublisher>,
) -> std::io::Result<()> {
    set_socket_options(&stream)?;
    let mut frames = FrameReader::new(stream, Vec::new());
    let Some((sender, first)) = first_messages(&mut frames).await? else {
        return Ok(());
    };
    let (stream, rest) = frames.into_parts();
    match first {
        pull @ Message::Pull { .. } => {
            let buffer = [protocol::encode(&pull), rest].concat();
            replication::serve(stream, buffer, publisher.mirror().clone(), |subscriber| {
                publisher.record_pull(subscriber);
            })
            .await
        }
        first if sender.id != 0 => {
            let (input, output) = stream.into_split();
            peers
                .serve(sender, first, FrameReader::new(input, rest), output)
                .await
        }
        _ => Ok(()),
    }
}

/// Who sends, and the first message beside that; the default member if it doesn't say.
async fn first_messages(
    frames: &mut FrameReader<TcpStream>,
) -> std::io::Result<Option<(MemberInfo, Message)>> {
    let first = timeout(FIRST_MESSAGE_TIMEOUT, frames.next()).await??;
    let Some(Message::Hello { sender }) = first else {
        return Ok(first.map(|message| (MemberInfo::default(), message)));
    };
    let second = timeout(FIRST_MESSAGE_TIMEOUT, frames.next()).await??;
    Ok(second.map(|message| (sender, message)))
}
