//! The peers' load, as known from their updates. Merging keeps, for each peer and host, the entry with the latest
//! incarnation and sequence number. Updates may therefore arrive in any order, twice or not at all, and an older one
//! never replaces a newer one.

use super::load_update::{HostTag, LoadUpdate};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age after which an update is ignored, since the parts it reports have ended. It is twice the longest interval
/// between the updates of a peer that has something in flight, so that one lost datagram does not silence the peer.
const UPDATE_LIFETIME: Duration = Duration::from_millis(2000);
/// Silence of a peer after which its incarnations and sequence numbers start anew, since its clock may have been set
/// back. No datagram is in transit for this long.
const NUMBERING_RETENTION: Duration = Duration::from_secs(10);
/// Largest number of hosts of one peer; no host list is longer.
const MAX_HOSTS: usize = 16_384;

/// What the peers have in flight at one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerLoad {
    /// Sum of the peers' parts in flight at the host.
    pub in_flight: f64,
    /// Age of the oldest update that the sum is based on.
    pub age: Duration,
}

/// What a peer has in flight at one host, with the incarnation and sequence number of the update that reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostEntry {
    incarnation: u64,
    sequence: u32,
    in_flight: u16,
    received_at: Duration,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Peer {
    /// Incarnation and sequence number of the peer's latest update.
    latest: (u64, u32),
    /// Time at which the peer's latest update was received.
    last_heard: Duration,
    hosts: BTreeMap<HostTag, HostEntry>,
}

impl Peer {
    /// Merges an update. Returns whether it is the peer's latest one.
    fn merge(&mut self, now: Duration, update: &LoadUpdate) -> bool {
        let number = (update.incarnation, update.sequence);
        for (host, in_flight) in &update.in_flight {
            let known = self.hosts.get(host);
            let is_newer = known.is_none_or(|entry| (entry.incarnation, entry.sequence) < number);
            if is_newer && (known.is_some() || self.hosts.len() < MAX_HOSTS) {
                let entry = HostEntry {
                    incarnation: update.incarnation,
                    sequence: update.sequence,
                    in_flight: *in_flight,
                    received_at: now,
                };
                self.hosts.insert(*host, entry);
            }
        }
        let is_latest = number > self.latest;
        if is_latest {
            (self.latest, self.last_heard) = (number, now);
        }
        is_latest
    }

    /// Returns what the peer's current incarnation has in flight at a host; 0 if its last report on the host is older
    /// than [`UPDATE_LIFETIME`].
    fn in_flight(&self, now: Duration, host: HostTag) -> f64 {
        self.hosts
            .get(&host)
            .filter(|entry| entry.incarnation == self.latest.0)
            .filter(|entry| now.saturating_sub(entry.received_at) <= UPDATE_LIFETIME)
            .map_or(0.0, |entry| f64::from(entry.in_flight))
    }
}

/// The load of all peers, merged from their updates.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoads {
    /// Number of coordinators, this one included.
    coordinators: u32,
    /// The peers heard from, by rank.
    peers: BTreeMap<u32, Peer>,
}

impl PeerLoads {
    /// Creates the state of one of `coordinators` coordinators, with no update received.
    pub fn new(coordinators: u32) -> Self {
        Self {
            coordinators,
            peers: BTreeMap::new(),
        }
    }

    /// Merges an update from the peer with rank `from`, and returns whether it is the peer's latest. Returns `None` if
    /// the update is rejected: its sender exceeds the number of peers, or it names too many hosts.
    pub fn merge(&mut self, now: Duration, from: u32, update: &LoadUpdate) -> Option<bool> {
        let is_known =
            self.peers.contains_key(&from) || (self.peers.len() as u32) < self.coordinators - 1;
        if !is_known || update.in_flight.len() > MAX_HOSTS {
            return None;
        }
        let peer = self.peers.entry(from).or_default();
        if now.saturating_sub(peer.last_heard) > NUMBERING_RETENTION {
            *peer = Peer::default();
        }
        Some(peer.merge(now, update))
    }

    /// Returns what the peers have in flight at a host; `None` unless all of them have been heard from recently, since
    /// a sum without one of them would make the host look less loaded than it is.
    pub fn load(&self, now: Duration, host: HostTag) -> Option<PeerLoad> {
        if self.coordinators < 2 || (self.peers.len() as u32) < self.coordinators - 1 {
            return None;
        }
        let mut load = PeerLoad {
            in_flight: 0.0,
            age: Duration::ZERO,
        };
        for peer in self.peers.values() {
            let silence = now.saturating_sub(peer.last_heard);
            if silence > UPDATE_LIFETIME {
                return None;
            }
            load.age = load.age.max(silence);
            load.in_flight += peer.in_flight(now, host);
        }
        Some(load)
    }
}
