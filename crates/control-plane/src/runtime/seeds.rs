//! Seeds whose addresses may change while the member runs.

use super::identity::member_address;
use super::peer_connections::PeerConnections;
use replication::client;
use std::net::SocketAddrV4;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Hands the seeds' addresses to the peer connections and to the puller, now and whenever they change.
///
/// Never ends: when `seeds` is closed, the last addresses stay.
pub(super) async fn follow(
    peers: PeerConnections,
    puller: UnboundedSender<client::ClientCommand>,
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
        // The puller ends with the process only.
        let _ = puller.send(client::ClientCommand::SetSeeds(addresses));
        if seeds.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
