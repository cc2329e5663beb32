//! One coordinator's part in the gossip: what it has been told, and when it tells what.

use super::load_update::{Datagram, HostTag, LoadUpdate, UpdateError, MAX_DATAGRAM_BYTES};
use super::peer_loads::{PeerLoad, PeerLoads};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// The share of all value that updates may cost.
const COST_BUDGET: f64 = 0.001;
/// No update goes out sooner after the last than about this, so that changes of one moment share an update. The
/// actual pause is drawn between a half and one and a half of it.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// An update goes out no later after the last than this if there is anything to tell again, as peers forget what
/// they were told.
const MAX_PAUSE: Duration = Duration::from_millis(1000);
/// Limit on the bytes that are saved up for a busy moment, for each peer.
const MAX_SAVED_BYTES: f64 = 4.0 * MAX_DATAGRAM_BYTES as f64;

/// What a coordinator has to know to take part.
#[derive(Clone, Copy, Debug)]
pub struct GossipSettings {
    /// The number of coordinators, this one included.
    pub coordinators: u32,
    /// This one's number among them.
    pub rank: u32,
    /// The price of the bytes, as a share of all value, if a full datagram went with each part.
    pub price: f64,
}

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramOutcome {
    /// It is the latest of its sender and was merged.
    Applied,
    /// A later one of its sender had come before.
    Stale,
    /// It could not be decoded.
    Undecodable(UpdateError),
    /// Its sender is one more than there are peers, or it names too many hosts.
    Rejected,
}

impl DatagramOutcome {
    /// The name of the counter that shows it.
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

/// What the peers were told last of a host, and when.
#[derive(Clone, Copy)]
struct Published {
    in_flight: u16,
    at: Duration,
}

/// A host that is to be in the next update.
struct Candidate {
    /// By how much its parts in flight differ from what the peers were told.
    change: u32,
    /// The time since they were told.
    age: Duration,
    host: HostTag,
    in_flight: u16,
}

/// One coordinator's part in the gossip.
pub struct Gossip {
    settings: GossipSettings,
    incarnation: u64,
    /// The number of the update sent last.
    sequence: u32,
    peer_loads: PeerLoads,
    published: BTreeMap<HostTag, Published>,
    last_sent: Duration,
    /// Draw for the next pause, from 0 to 1: coordinators must not send in step.
    jitter: f64,
    /// State of the xorshift generator.
    random: u64,
    /// Bytes that may be sent by now.
    saved_bytes: f64,
    /// Parts sent to hosts since the start, at the last turn.
    parts_sent: u64,
}

impl Gossip {
    /// Starts with nothing heard. `incarnation` is larger for each later process of one coordinator; `seed`
    /// spreads the updates of the coordinators over time.
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
            saved_bytes: MAX_SAVED_BYTES,
            parts_sent: 0,
        }
    }

    /// Handles a datagram of the peer of rank `from`.
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

    /// What the peers have in flight at a host by now; `None` if one of them was not heard lately.
    pub fn peer_load(&self, now: Duration, host: HostTag) -> Option<PeerLoad> {
        self.peer_loads.load(now, host)
    }

    /// Returns the update that is to be sent to all peers, if one is due. Called at the end of a turn with the parts
    /// in flight at each host and the number of parts sent since the start.
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
        if since_last < MIN_PAUSE.mul_f64(0.5 + self.jitter) {
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
        // Beyond the budget only the updates that keep the peers from forgetting.
        if cost > self.saved_bytes && since_last < MAX_PAUSE {
            return None;
        }
        self.saved_bytes = (self.saved_bytes - cost).max(0.0);
        self.sequence += 1;
        self.record_published(now, in_flight, &candidates[..hosts]);
        (self.last_sent, self.jitter) = (now, self.random_share());
        Some(datagram)
    }

    /// Each part sent to a host earns the bytes of which the cost is within the budget.
    fn refill_budget(&mut self, parts_sent: u64, peers: f64) {
        let bytes_a_part =
            COST_BUDGET / self.settings.price.max(COST_BUDGET) * MAX_DATAGRAM_BYTES as f64;
        let new_parts =
            parts_sent.saturating_sub(std::mem::replace(&mut self.parts_sent, parts_sent));
        self.saved_bytes =
            (self.saved_bytes + new_parts as f64 * bytes_a_part).min(MAX_SAVED_BYTES * peers);
    }

    /// The hosts that the peers are to be told of: the largest change first, and among equal ones those that they
    /// were told of longest ago.
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
            let is_repeated = age >= MAX_PAUSE && (*in_flight > 0 || since_last >= MAX_PAUSE);
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

    /// Records what the peers have been told, and drops hosts that are gone.
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

    /// A uniform draw from 0 to 1 (Marsaglia's xorshift).
    fn random_share(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}
