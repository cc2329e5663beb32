//! What the agent beside a proxy tells, in the proxy's words.

use balancing::HostInfo;
use configuration::ProcessSettings;
use protocol::HostRecord;
use proxy::FleetSnapshot;
use replication::client::{self, Control};
use replication::{phase, Mirror, Puller, SharedMirror, Snapshot};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Follows the agent of this machine for as long as the world is watched. Runs on a `LocalSet`.
pub fn follow(boot: &ProcessSettings) -> watch::Receiver<Option<Arc<FleetSnapshot>>> {
    let mirror = Mirror::new(0, Duration::from_millis(boot.beat_period_ms)).without_history();
    let shared = SharedMirror::new(mirror);
    let mut puller = Puller::new(&boot.node_name, 1, None).seeds_only();
    puller.set_seeds(&[replication::agent_addr(boot)]);
    let (control, told) = mpsc::unbounded_channel();
    let snapshots = shared.subscribe();
    let pulling = client::run(
        puller,
        replication::non_member_info(boot),
        replication::subscriber(boot, 0),
        shared,
        told,
    );
    tokio::task::spawn_local(pulling);
    let (world, watcher) = watch::channel(None);
    tokio::task::spawn_local(translate(boot.node_name.clone(), snapshots, world, control));
    watcher
}

async fn translate(
    name: String,
    mut snapshots: watch::Receiver<Arc<Snapshot>>,
    world: watch::Sender<Option<Arc<FleetSnapshot>>>,
    control: mpsc::UnboundedSender<Control>,
) {
    let mut version = 0;
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        if snapshot.configuration.version > 0 {
            if snapshot.configuration.version != version {
                version = snapshot.configuration.version;
                log::info!(version; "configuration in force");
                // The puller ends with the process.
                let _ = control.send(Control::Version(version));
            }
            world.send_replace(Some(Arc::new(of(&name, &snapshot))));
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

fn of(name: &str, snapshot: &Snapshot) -> FleetSnapshot {
    FleetSnapshot {
        configuration: snapshot.configuration.clone(),
        hosts: snapshot
            .hosts
            .values()
            .filter(|h| h.phase < phase::GONE)
            .map(host)
            .collect(),
        proxy_count: snapshot.coordinators.len().max(1),
        peer_hint_addresses: snapshot
            .hints_addrs
            .iter()
            .filter(|h| h.0 != name)
            .map(|h| SocketAddrV4::from(h.1))
            .collect(),
    }
}

fn host(record: &HostRecord) -> HostInfo {
    HostInfo {
        id: record.id.as_str().into(),
        service: record.service.as_str().into(),
        addr: SocketAddrV4::from(&record.addr),
        zone: record.zone.as_str().into(),
        capacity: record.capacity,
        draining: record.phase == phase::DRAINING,
        heartbeat_expired: record.heartbeat_expired,
        slow_start_remaining: Duration::from_millis(record.slow_start_remaining_ms.into()),
    }
}
