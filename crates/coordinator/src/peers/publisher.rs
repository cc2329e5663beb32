//! Connects a router to the gossip: reports the peers' parts in flight to the router, and the router's to the peers.

use super::gossip::{DatagramOutcome, Gossip, GossipSettings};
use super::load_update::{host_tag, Datagram, HostTag};
use crate::decision::Router;
use crate::interface::{Action, Event, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The gossip on behalf of one router.
pub struct LoadPublisher {
    gossip: Gossip,
    /// The tags of known servers; `None` for a server that shares its tag with another one.
    tags: BTreeMap<ServerId, Option<HostTag>>,
    /// Number of parts sent to servers since the start.
    parts_sent: u64,
    /// Whether an update has been merged that was not reported to the router yet.
    has_new_loads: bool,
}

impl LoadPublisher {
    /// Creates a publisher; see [`Gossip::new`] for `incarnation` and `seed`.
    pub fn new(settings: GossipSettings, incarnation: u64, seed: u64) -> Self {
        Self {
            gossip: Gossip::new(settings, incarnation, seed),
            tags: BTreeMap::new(),
            parts_sent: 0,
            has_new_loads: false,
        }
    }

    /// Handles a datagram from the peer with rank `from`.
    pub fn receive(&mut self, now: Duration, from: u32, bytes: &[u8]) -> DatagramOutcome {
        let outcome = self.gossip.receive(now, from, bytes);
        self.has_new_loads |= outcome == DatagramOutcome::Applied;
        outcome
    }

    /// Reports to the router what the peers have in flight. Called before a turn ends; the router's actions are
    /// appended to `actions`.
    pub fn report_peer_loads(
        &mut self,
        now: Duration,
        router: &mut Router,
        actions: &mut Vec<Action>,
    ) {
        if !std::mem::take(&mut self.has_new_loads) {
            return;
        }
        for (server, _) in router.in_flight() {
            let load = self
                .tag(server)
                .and_then(|tag| self.gossip.peer_load(now, tag));
            if let Some(load) = load {
                let event = Event::PeerLoad {
                    server,
                    in_flight: load.in_flight,
                    age: load.age,
                };
                router.handle(now, event, actions);
            }
        }
    }

    /// Returns the update for all peers, if one is due. Called after a turn that ended with `actions`; `name` returns
    /// a server's name.
    pub fn next_update<'a>(
        &mut self,
        now: Duration,
        router: &Router,
        actions: &[Action],
        name: impl Fn(ServerId) -> &'a str,
    ) -> Option<Datagram> {
        let sends = actions
            .iter()
            .filter(|action| matches!(action, Action::Send { .. }))
            .count();
        self.parts_sent += sends as u64;
        let servers = router.in_flight();
        if servers.iter().any(|(id, _)| !self.tags.contains_key(id)) {
            self.assign_tags(&servers, name);
        }
        let in_flight: Vec<(HostTag, u16)> = servers
            .iter()
            .filter_map(|(id, parts)| {
                let parts = (*parts).min(u32::from(u16::MAX)) as u16;
                Some((self.tag(*id)?, parts))
            })
            .collect();
        self.gossip.next_update(now, &in_flight, self.parts_sent)
    }

    fn tag(&self, server: ServerId) -> Option<HostTag> {
        self.tags.get(&server).copied().flatten()
    }

    fn assign_tags<'a>(&mut self, servers: &[(ServerId, u32)], name: impl Fn(ServerId) -> &'a str) {
        let tags: Vec<(ServerId, HostTag)> = servers
            .iter()
            .map(|(id, _)| (*id, host_tag(name(*id))))
            .collect();
        let is_unique = |tag: &HostTag| tags.iter().filter(|(_, other)| other == tag).count() == 1;
        self.tags = tags
            .iter()
            .map(|(id, tag)| (*id, is_unique(tag).then_some(*tag)))
            .collect();
    }
}
