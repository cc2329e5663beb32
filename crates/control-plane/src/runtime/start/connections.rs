//! Starts the parts that communicate with other processes: listener, peer connections, host registry, quota server and
//! puller.

use super::control_api::ControlApi;
use super::listen::listen;
use crate::configuration_history::ConfigurationHistory;
use crate::registry_publisher::RegistryPublisher;
use crate::runtime::peer_connections::{PeerConnections, PeerEvent};
use crate::runtime::request_handler::OpenMember;
use crate::runtime::{inbound, quota_server, seeds, Event, EventSender, RuntimeError};
use configuration::ProcessSettings;
use protocol::MemberInfo;
use replication::{client, quota_addr, Puller, SharedMirror};
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of host registry ticks per heartbeat interval.
const REGISTRY_TICKS_PER_HEARTBEAT: u32 = 4;

/// The parameters of the connections to other processes.
pub(super) struct Connections<'a> {
    pub(super) process: &'a ProcessSettings,
    pub(super) local_member: &'a MemberInfo,
    pub(super) incarnation: u64,
    pub(super) mirror: &'a Arc<SharedMirror>,
    pub(super) history: &'a Rc<RefCell<ConfigurationHistory>>,
}

impl Connections<'_> {
    /// Listens for other processes, connects to the other members, pulls from them, and hands the opened member to the
    /// control API. Returns the peer connections.
    ///
    /// # Errors
    /// Returns an error if the member address can't be bound.
    pub(super) async fn start(
        &self,
        events: &EventSender,
        api: &ControlApi,
        seeds: watch::Receiver<Vec<SocketAddrV4>>,
        announce_interval: Duration,
    ) -> Result<PeerConnections, RuntimeError> {
        let peers = PeerConnections::new(self.local_member.clone(), peer_event_reporter(events));
        let heartbeat_interval = Duration::from_millis(self.process.beat_period_ms);
        let publisher = RegistryPublisher::new(
            self.local_member.id,
            self.incarnation,
            heartbeat_interval,
            self.mirror.clone(),
        );
        let member_address = SocketAddrV4::from(&self.local_member.addr);
        let quotas = quota_server::new_quotas(self.local_member.id, &self.process.bounds);
        let listener = listen(self.process.bind.member.unwrap_or(member_address)).await?;
        api.opened.send_replace(Some(Rc::new(OpenMember {
            local_member: self.local_member.clone(),
            incarnation: self.incarnation,
            peers: peers.clone(),
            publisher: publisher.clone(),
            history: self.history.clone(),
            quotas: quotas.clone(),
        })));
        spawn_local(inbound::accept(listener, peers.clone(), publisher.clone()));
        spawn_local(announce_reachable(
            peers.clone(),
            events.clone(),
            announce_interval,
        ));
        spawn_local(tick_registry(
            publisher,
            self.history.clone(),
            heartbeat_interval / REGISTRY_TICKS_PER_HEARTBEAT,
        ));
        spawn_local(quota_server::serve(
            SocketAddrV4::from(&quota_addr(&self.local_member.addr)),
            self.local_member.id,
            quotas,
            self.mirror.clone(),
        ));
        self.start_pulling(&peers, seeds);
        Ok(peers)
    }

    /// Starts to pull the state that other members publish, as agents do.
    fn start_pulling(&self, peers: &PeerConnections, seeds: watch::Receiver<Vec<SocketAddrV4>>) {
        let (puller_commands, command_queue) = unbounded_channel();
        let puller = Puller::new(
            &self.process.node_name,
            usize::MAX,
            Some(self.local_member.addr),
        );
        spawn_local(client::run(
            puller,
            self.local_member.clone(),
            replication::subscriber(self.process, self.local_member.id),
            self.mirror.clone(),
            command_queue,
        ));
        spawn_local(seeds::forward_seed_addresses(
            peers.clone(),
            puller_commands,
            seeds,
            self.process.port_range.0,
        ));
    }
}

/// Ticks the host registry, and records in the history which configurations were in force. Never returns.
async fn tick_registry(
    publisher: Arc<RegistryPublisher>,
    history: Rc<RefCell<ConfigurationHistory>>,
    interval: Duration,
) {
    loop {
        sleep(interval).await;
        publisher.tick();
        let configuration = publisher.mirror().snapshot().configuration.clone();
        history
            .borrow_mut()
            .record(&configuration, SystemTime::now());
    }
}

/// Reports the reachable members to the state machine at each interval.
///
/// Members that aren't voters send the state machine no messages. Without these reports, one that connected at a time
/// when it couldn't join would be treated as lost.
async fn announce_reachable(peers: PeerConnections, events: EventSender, interval: Duration) {
    loop {
        sleep(interval).await;
        for member in peers.reachable_members().into_iter().skip(1) {
            let event = Event::Peer(PeerEvent::Connected(member));
            if events.send(event).is_err() {
                return;
            }
        }
    }
}

fn peer_event_reporter(events: &EventSender) -> impl Fn(PeerEvent) + 'static {
    let events = events.clone();
    move |event| drop(events.send(Event::Peer(event)))
}
