//! Seeds whose addresses may change while the member runs.

use super::identity::member_address;
use super::peer_connections::PeerConnections;
use replication::client;
use std::net::SocketAddrV4;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Tells links and pulls the seeds of now, and again whenever they change.
pub(super) async fn follow(
    links: PeerConnections,
    pulls: UnboundedSender<client::Control>,
    mut seeds: watch::Receiver<Vec<SocketAddrV4>>,
    port: u16,
) {
    loop {
        let now: Vec<SocketAddrV4> = seeds
            .borrow_and_update()
            .iter()
            .map(|s| member_address(*s, port))
            .collect();
        links.set_seeds(&now);
        // The puller ends with the process.
        let _ = pulls.send(client::Control::Seeds(
            now.iter().map(|s| (*s).into()).collect(),
        ));
        if seeds.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
