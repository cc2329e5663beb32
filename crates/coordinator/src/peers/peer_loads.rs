//! What is known of the peers from their updates. Merging keeps, for each peer and host, the entry of the latest
//! incarnation and sequence number. So updates may come in any order, twice or not at all, and an older one never
//! replaces a newer one.

use super::load_update::{HostTag, LoadUpdate};
use std::collections::BTreeMap;
use std::time::Duration;

/// An update older than this is no evidence: the parts it tells of are over. Twice the longest pause between the
/// updates of a peer that has something in flight, so that one lost datagram does not silence the peer.
const UPDATE_LIFETIME: Duration = Duration::from_millis(2000);
/// After a silence of this length a peer's incarnations and sequence numbers count from anew: its clock may have
/// been set back. No datagram is under way for so long.
const NUMBERING_RETENTION: Duration = Duration::from_secs(10);
/// Limit on the hosts of one peer: no list of hosts is longer.
const MAX_HOSTS: usize = 16_384;

/// What the peers have in flight at one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerLoad {
    /// The sum of their parts in flight there.
    pub in_flight: f64,
    /// The age of the oldest update that the sum rests on.
    pub age: Duration,
}

/// What a peer has in flight at one host, with the number of the update that said so.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostEntry {
    incarnation: u64,
    sequence: u32,
    in_flight: u16,
    received_at: Duration,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Peer {
    /// The incarnation and the sequence number of its latest update.
    latest: (u64, u32),
    /// When its latest update came.
    last_heard: Duration,
    hosts: BTreeMap<HostTag, HostEntry>,
}

impl Peer {
    /// Merges an update. Returns whether it is the latest one of the peer.
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

    /// What it has in flight at a host by its current incarnation. Nothing, if its last word on the host is old.
    fn in_flight(&self, now: Duration, host: HostTag) -> f64 {
        self.hosts
            .get(&host)
            .filter(|entry| entry.incarnation == self.latest.0)
            .filter(|entry| now.saturating_sub(entry.received_at) <= UPDATE_LIFETIME)
            .map_or(0.0, |entry| f64::from(entry.in_flight))
    }
}

/// All that the peers have told.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoads {
    /// The number of coordinators, this one included.
    coordinators: u32,
    /// By rank.
    peers: BTreeMap<u32, Peer>,
}

impl PeerLoads {
    /// Creates the state of one of so many coordinators, with no update yet.
    pub fn new(coordinators: u32) -> Self {
        Self {
            coordinators,
            peers: BTreeMap::new(),
        }
    }

    /// Merges an update of the peer of rank `from`. `None` if it is rejected: its sender is one more than there are
    /// peers, or it names too many hosts. Else whether it is the peer's latest.
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

    /// What the peers have in flight at a host by now. `None` unless all of them were heard lately: a sum that lacks
    /// one would make the host look less loaded than it is.
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
