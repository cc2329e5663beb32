//! Updates of the seeds' addresses while the member runs.

use super::identity::member_address;
use super::peer_connections::PeerConnections;
use replication::client;
use std::net::SocketAddrV4;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Passes the seeds' member addresses to the peer connections and to the puller, at the start and after each change.
///
/// Never returns: after `seeds` is closed, the last addresses stay in use.
pub(super) async fn forward_seed_addresses(
    peers: PeerConnections,
    puller_commands: UnboundedSender<client::ClientCommand>,
    mut seeds: watch::Receiver<Vec<SocketAddrV4>>,
    port: u16,
) {
    loop {
        let addresses: Vec<SocketAddrV4> = seeds
            .borrow_and_update()
            .iter()
            .map(|control| member_address(*control, port))
            .collect();
        peers.set_seeds(&addresses);
        let addresses = addresses.into_iter().map(Into::into).collect();
        // The puller runs until the process ends, so the send can't fail before that.
        let _ = puller_commands.send(client::ClientCommand::SetSeeds(addresses));
        if seeds.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
