//! One coordinator's side of the gossip: what it has received, and when it sends which update.

use super::load_update::{Datagram, HostTag, LoadUpdate, UpdateError, MAX_DATAGRAM_BYTES};
use super::peer_loads::{PeerLoad, PeerLoads};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest share of all value that updates may cost.
const MAX_COST_SHARE: f64 = 0.001;
/// Shortest time between two updates, so that changes that happen together share an update. The actual interval is
/// drawn from 0.5 to 1.5 times this.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two updates while there is something to repeat, since peers forget what they were told.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(1000);
/// Largest byte budget that may accumulate for a burst, for each peer.
const BURST_BYTES_PER_PEER: f64 = 4.0 * MAX_DATAGRAM_BYTES as f64;

/// Settings that a coordinator needs to take part in the gossip.
#[derive(Clone, Copy, Debug)]
pub struct GossipSettings {
    /// Number of coordinators, this one included.
    pub coordinators: u32,
    /// Rank of this coordinator among them, from 0.
    pub rank: u32,
    /// Cost of the bytes as a share of all value, if a full datagram were sent with each part.
    pub price: f64,
}

/// The result of handling a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramOutcome {
    /// The datagram is the latest of its sender and was merged.
    Applied,
    /// A later datagram of its sender was received before.
    Stale,
    /// The datagram could not be decoded.
    Undecodable(UpdateError),
    /// The sender exceeds the number of peers, or the update names too many hosts.
    Rejected,
}

impl DatagramOutcome {
    /// Returns the name of the counter for this result.
    pub fn counter(self) -> &'static str {
        match self {
            Self::Applied => "peers.taken",
            Self::Stale => "peers.old",
            Self::Undecodable(UpdateError::Version) => "peers.other_version",
            Self::Undecodable(_) => "peers.unreadable",
            Self::Rejected => "peers.refused",
        }
    }
}

/// The parts in flight that peers were last told for a host, and the time of that update.
#[derive(Clone, Copy)]
struct Published {
    in_flight: u16,
    at: Duration,
}

/// A host that is due to be in the next update.
struct Candidate {
    /// Difference between the host's parts in flight and what the peers were told.
    change: u32,
    /// Time since the peers were told.
    age: Duration,
    host: HostTag,
    in_flight: u16,
}

/// One coordinator's side of the gossip.
pub struct Gossip {
    settings: GossipSettings,
    incarnation: u64,
    /// The sequence number of the last update sent.
    sequence: u32,
    peer_loads: PeerLoads,
    published: BTreeMap<HostTag, Published>,
    last_sent: Duration,
    /// Random jitter of the next interval, from 0 to 1, so that coordinators do not send in step.
    jitter: f64,
    /// State of the xorshift random number generator; never 0.
    random: u64,
    /// Byte budget: the bytes that may be sent now, to all peers together.
    byte_budget: f64,
    /// Number of parts sent to hosts since the start, as of the last turn.
    parts_sent: u64,
}

impl Gossip {
    /// Creates the gossip with no update received. `incarnation` must be larger for each later process of a
    /// coordinator; `seed` spreads the updates of the coordinators over time.
    pub fn new(settings: GossipSettings, incarnation: u64, seed: u64) -> Self {
        Self {
            settings,
            incarnation,
            sequence: 0,
            peer_loads: PeerLoads::new(settings.coordinators),
            published: BTreeMap::new(),
            last_sent: Duration::ZERO,
            jitter: 0.5,
            random: seed | 1,
            byte_budget: BURST_BYTES_PER_PEER,
            parts_sent: 0,
        }
    }

    /// Handles a datagram from the peer with rank `from`.
    pub fn receive(&mut self, now: Duration, from: u32, bytes: &[u8]) -> DatagramOutcome {
        let update = match LoadUpdate::decode(bytes) {
            Ok(update) => update,
            Err(e) => return DatagramOutcome::Undecodable(e),
        };
        match self.peer_loads.merge(now, from, &update) {
            Some(true) => DatagramOutcome::Applied,
            Some(false) => DatagramOutcome::Stale,
            None => DatagramOutcome::Rejected,
        }
    }

    /// Returns what the peers have in flight at a host; `None` if one of them has not been heard from recently.
    pub fn peer_load(&self, now: Duration, host: HostTag) -> Option<PeerLoad> {
        self.peer_loads.load(now, host)
    }

    /// Returns the update to send to all peers, if one is due. Called at the end of a turn with the parts in flight at
    /// each host and the number of parts sent since the start.
    pub fn next_update(
        &mut self,
        now: Duration,
        in_flight: &[(HostTag, u16)],
        parts_sent: u64,
    ) -> Option<Datagram> {
        let peers = f64::from(self.settings.coordinators.saturating_sub(1));
        if peers < 1.0 {
            return None;
        }
        self.refill_budget(parts_sent, peers);
        let since_last = now.saturating_sub(self.last_sent);
        if since_last < MIN_UPDATE_INTERVAL.mul_f64(0.5 + self.jitter) {
            return None;
        }
        let candidates = self.candidates(now, since_last, in_flight);
        if candidates.is_empty() {
            return None;
        }
        let update = LoadUpdate {
            incarnation: self.incarnation,
            sequence: self.sequence + 1,
            in_flight: candidates.iter().map(|c| (c.host, c.in_flight)).collect(),
        };
        let (datagram, hosts) = update.encode();
        let cost = datagram.bytes().len() as f64 * peers;
        // Over the budget, only the updates that keep peers from forgetting are sent.
        if cost > self.byte_budget && since_last < MAX_UPDATE_INTERVAL {
            return None;
        }
        self.byte_budget = (self.byte_budget - cost).max(0.0);
        self.sequence += 1;
        self.record_published(now, in_flight, &candidates[..hosts]);
        (self.last_sent, self.jitter) = (now, self.random_fraction());
        Some(datagram)
    }

    /// Adds to the byte budget for each part sent to a host, as many bytes as keep the cost within
    /// [`MAX_COST_SHARE`].
    fn refill_budget(&mut self, parts_sent: u64, peers: f64) {
        let bytes_per_part =
            MAX_COST_SHARE / self.settings.price.max(MAX_COST_SHARE) * MAX_DATAGRAM_BYTES as f64;
        let new_parts =
            parts_sent.saturating_sub(std::mem::replace(&mut self.parts_sent, parts_sent));
        self.byte_budget = (self.byte_budget + new_parts as f64 * bytes_per_part)
            .min(BURST_BYTES_PER_PEER * peers);
    }

    /// Returns the hosts to include in an update: the largest change first, and among equal changes the ones that peers
    /// were told longest ago.
    fn candidates(
        &self,
        now: Duration,
        since_last: Duration,
        in_flight: &[(HostTag, u16)],
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (host, in_flight) in in_flight {
            let published = self.published.get(host).copied().unwrap_or(Published {
                in_flight: 0,
                at: Duration::ZERO,
            });
            let age = now.saturating_sub(published.at);
            let change = u32::from(published.in_flight.abs_diff(*in_flight));
            let is_repeated =
                age >= MAX_UPDATE_INTERVAL && (*in_flight > 0 || since_last >= MAX_UPDATE_INTERVAL);
            if change > 0 || is_repeated {
                candidates.push(Candidate {
                    change,
                    age,
                    host: *host,
                    in_flight: *in_flight,
                });
            }
        }
        candidates.sort_by_key(|c| Reverse((c.change, c.age, c.host)));
        candidates
    }

    /// Records what the peers have been told, and removes hosts that are no longer listed.
    fn record_published(
        &mut self,
        now: Duration,
        in_flight: &[(HostTag, u16)],
        sent: &[Candidate],
    ) {
        self.published
            .retain(|host, _| in_flight.iter().any(|(listed, _)| listed == host));
        for candidate in sent {
            let published = Published {
                in_flight: candidate.in_flight,
                at: now,
            };
            self.published.insert(candidate.host, published);
        }
    }

    /// Returns a uniform random number from 0 to 1 (Marsaglia's xorshift).
    fn random_fraction(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}
