//! What the proxy learns of the fleet from the agent on its machine.

use balancing::HostInfo;
use configuration::ProcessSettings;
use protocol::HostRecord;
use proxy::{ConfigurationAge, FleetSnapshot};
use replication::client::{self, ClientCommand};
use replication::{phase, Mirror, Puller, SharedMirror, Snapshot, AGE_UNKNOWN};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Follows this machine's agent for as long as the receiver lives. The value is `None` until there is a configuration.
/// Runs on a `LocalSet`.
pub fn follow(settings: &ProcessSettings) -> watch::Receiver<Option<Arc<FleetSnapshot>>> {
    let heartbeat_interval = Duration::from_millis(settings.beat_period_ms);
    let mirror = SharedMirror::new(Mirror::new(0, heartbeat_interval).without_history());
    let mut puller = Puller::new(&settings.node_name, 1, None).seeds_only();
    puller.set_seeds(&[replication::agent_addr(settings)]);
    let (control, control_events) = mpsc::unbounded_channel();
    let snapshots = mirror.subscribe();
    let configuration_age = configuration_age(&mirror);
    tokio::task::spawn_local(client::run(
        puller,
        replication::non_member_info(settings),
        replication::subscriber(settings, 0),
        mirror,
        control_events,
    ));
    let (fleet, receiver) = watch::channel(None);
    let publishing = publish(
        settings.node_name.clone(),
        configuration_age,
        snapshots,
        fleet,
        control,
    );
    tokio::task::spawn_local(publishing);
    receiver
}

/// Publishes each snapshot of the mirror for the proxy, and tells the agent which configuration is in force.
async fn publish(
    node_name: String,
    configuration_age: ConfigurationAge,
    mut snapshots: watch::Receiver<Arc<Snapshot>>,
    fleet: watch::Sender<Option<Arc<FleetSnapshot>>>,
    control: mpsc::UnboundedSender<ClientCommand>,
) {
    let mut version_in_force = 0;
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        let version = snapshot.configuration.version;
        if version > 0 {
            if version != version_in_force {
                version_in_force = version;
                log::info!(version; "configuration in force");
                // The puller ends only with the process.
                let _ = control.send(ClientCommand::SetConfigurationVersion(version));
            }
            fleet.send_replace(Some(Arc::new(fleet_snapshot(
                &node_name,
                &configuration_age,
                &snapshot,
            ))));
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

/// For how long this process may have missed changes, read off its mirror.
fn configuration_age(mirror: &Arc<SharedMirror>) -> ConfigurationAge {
    let mirror = mirror.clone();
    ConfigurationAge::new(move || {
        let age_ms = mirror.update(|mirror, now| mirror.age_ms(now));
        (age_ms != AGE_UNKNOWN).then(|| Duration::from_millis(age_ms.into()))
    })
}

fn fleet_snapshot(
    node_name: &str,
    configuration_age: &ConfigurationAge,
    snapshot: &Snapshot,
) -> FleetSnapshot {
    let present_hosts = snapshot
        .hosts
        .values()
        .filter(|host| host.phase < phase::GONE);
    let peers = snapshot
        .hints_addrs
        .iter()
        .filter(|(name, _)| *name != node_name);
    FleetSnapshot {
        configuration: snapshot.configuration.clone(),
        hosts: present_hosts.map(host_info).collect(),
        proxy_count: snapshot.coordinators.len().max(1),
        peer_hint_addresses: peers.map(|(_, addr)| SocketAddrV4::from(addr)).collect(),
        quota_members: quota_members(snapshot),
        configuration_age: configuration_age.clone(),
    }
}

/// The members, with the addresses at which they take quota requests.
fn quota_members(snapshot: &Snapshot) -> Vec<(u64, SocketAddrV4)> {
    let members = snapshot.control_plane.members.iter();
    members
        .map(|member| {
            let addr = replication::quota_addr(&member.addr);
            (member.id, SocketAddrV4::from(&addr))
        })
        .collect()
}

fn host_info(record: &HostRecord) -> HostInfo {
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
