//! Knowledge about other members, from their messages and connections.

use protocol::MemberInfo;
use std::collections::BTreeMap;
use std::time::Duration;

/// Lease durations without a message after which a peer counts as unreachable. Connections report once per lease
/// duration that they are up.
const UNREACHABLE_AFTER_LEASES: u32 = 3;
/// Lease durations for which a peer counts as departing after it announced its departure.
const DEPARTING_LEASES: u32 = 3;
/// Lease durations for which a peer that announced its departure doesn't become a voter again. This is longer than a
/// member that has ended counts as reachable.
const NO_REJOIN_LEASES: u32 = 5;

/// What is known of another member.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    info: MemberInfo,
    last_heard_at: Duration,
    /// Whether its disk accepts writes, as of its latest lease reply.
    disk_healthy: bool,
    /// When it last announced its departure, unless it has come back since.
    departing_at: Option<Duration>,
}

impl Peer {
    pub(super) fn info(&self) -> &MemberInfo {
        &self.info
    }

    pub(super) fn last_heard_at(&self) -> Duration {
        self.last_heard_at
    }

    pub(super) fn disk_healthy(&self) -> bool {
        self.disk_healthy
    }
}

/// All other members that were heard from.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    own_id: u64,
    lease_duration: Duration,
    by_id: BTreeMap<u64, Peer>,
}

impl Peers {
    pub(super) fn new(own_id: u64, lease_duration: Duration) -> Self {
        Self {
            own_id,
            lease_duration,
            by_id: BTreeMap::new(),
        }
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_id.keys().copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_id.values()
    }

    pub(super) fn info(&self, id: u64) -> Option<&MemberInfo> {
        self.by_id.get(&id).map(|peer| &peer.info)
    }

    pub(super) fn last_heard_at(&self, id: u64) -> Option<Duration> {
        self.by_id.get(&id).map(|peer| peer.last_heard_at)
    }

    /// Notes a message of another member.
    pub(super) fn record_message(&mut self, sender: &MemberInfo, now: Duration) {
        if sender.id == 0 || sender.id == self.own_id {
            return;
        }
        // Only one process listens at an address, so another id there means that the earlier disk was lost.
        self.by_id
            .retain(|id, peer| *id == sender.id || peer.info.addr != sender.addr);
        let peer = self.by_id.entry(sender.id).or_insert_with(|| Peer {
            info: sender.clone(),
            last_heard_at: now,
            disk_healthy: true,
            departing_at: None,
        });
        peer.last_heard_at = now;
        if !sender.name.is_empty() {
            peer.info = sender.clone();
        }
    }

    /// Notes that the connection to a member is up. That says little about a voter, because a connection may outlive
    /// its process for seconds. It is the only sign of life of other members.
    pub(super) fn record_connection(&mut self, member: &MemberInfo, is_voter: bool, now: Duration) {
        let heard_before = self.last_heard_at(member.id).filter(|_| is_voter);
        self.record_message(member, now);
        let Some(peer) = self.by_id.get_mut(&member.id) else {
            return;
        };
        peer.last_heard_at = heard_before.unwrap_or(peer.last_heard_at);
        // Only voters report the health of their disks.
        peer.disk_healthy |= !is_voter;
    }

    /// Notes the health of a voter's disk as reported in a lease reply.
    pub(super) fn record_disk_health(&mut self, id: u64, healthy: bool) {
        let Some(peer) = self.by_id.get_mut(&id) else {
            return;
        };
        peer.disk_healthy = healthy;
        if healthy {
            // A departing member reports an unhealthy disk, so this is a later incarnation.
            peer.departing_at = None;
        }
    }

    /// Notes that a member couldn't write what it was sent.
    pub(super) fn record_disk_failure(&mut self, id: u64) {
        if let Some(peer) = self.by_id.get_mut(&id) {
            peer.disk_healthy = false;
        }
    }

    /// Notes that a member announced its departure.
    pub(super) fn record_departure(&mut self, id: u64, now: Duration) {
        if let Some(peer) = self.by_id.get_mut(&id) {
            peer.departing_at = Some(now);
        }
    }

    /// Whether a member's disk accepts writes, as far as known.
    pub(super) fn is_disk_healthy(&self, id: u64) -> bool {
        self.by_id.get(&id).is_none_or(|peer| peer.disk_healthy)
    }

    /// Whether a member has announced its departure recently.
    pub(super) fn is_departing(&self, id: u64, now: Duration) -> bool {
        self.announced_departure_within(id, DEPARTING_LEASES, now)
    }

    /// Whether a member announced its departure so recently that what was heard from it since may have been its last
    /// message. A later incarnation makes no such announcement, and joins once this time is over.
    pub(super) fn may_have_departed(&self, id: u64, now: Duration) -> bool {
        self.announced_departure_within(id, NO_REJOIN_LEASES, now)
    }

    fn announced_departure_within(&self, id: u64, leases: u32, now: Duration) -> bool {
        let departing_at = self.by_id.get(&id).and_then(|peer| peer.departing_at);
        departing_at.is_some_and(|at| now < at + leases * self.lease_duration)
    }

    /// Whether a member was heard from recently, by a message or a connection. A member that was never heard from
    /// counts as reachable, because its connection may be about to open.
    pub(super) fn is_reachable(&self, id: u64, now: Duration) -> bool {
        let unreachable_at =
            |last_heard_at| last_heard_at + UNREACHABLE_AFTER_LEASES * self.lease_duration;
        self.last_heard_at(id)
            .is_none_or(|last_heard_at| now < unreachable_at(last_heard_at))
    }
}
