//! Coordinators that tell each other: what is told, when, and what is believed. Free of I/O and of clocks; the
//! same code behind the datagrams of the platform and behind the simulator's messages.
//!
//! Each coordinator tells how many of its own parts are out at each host. A host's reports come late and
//! seldom; what the others have out there is known to them at once, and its sum is what the choice of a host
//! needs. A word is evidence with a source and an age: it lists and strikes off like a load report, never names
//! a host that the own list has not named, never ends one, and is worth nothing once it is old.

mod load_update;
mod peer_loads;
mod publisher;

pub use load_update::{tag, Datagram, HostTag, LoadUpdate, UpdateError, MOST_BYTES};
pub use peer_loads::{PeerLoads, Told};
pub use publisher::LoadPublisher;

use std::collections::BTreeMap;
use std::time::Duration;

/// What a coordinator has to know to take part.
#[derive(Clone, Copy, Debug)]
pub struct Talk {
    /// How many coordinators there are, this one included.
    pub routers: u32,
    /// This one's number among them.
    pub rank: u32,
    /// Price of the bytes told, as a share of all worth, when a full message goes with each part.
    pub price: f64,
}

/// Share of all worth that talk may cost.
const BUDGET: f64 = 0.001;
/// A word is sent no sooner after the last than this, so that what ends and begins together is told together;
/// and no later than the other if there is anything to be told anew, as a word is believed for no longer.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));
/// Bytes that may be saved up for a busy moment.
const SAVED: f64 = 4.0 * MOST_BYTES as f64;

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It told something new.
    Taken,
    /// A later one of its sender had come before.
    Old,
    /// It could not be read.
    UpdateError(UpdateError),
    /// Its sender is one more than there are coordinators, or is this one itself.
    Refused,
}

impl Heard {
    /// The counter that shows it.
    pub fn counter(self) -> &'static str {
        match self {
            Self::Taken => "peers.taken",
            Self::Old => "peers.old",
            Self::UpdateError(UpdateError::Version) => "peers.other_version",
            Self::UpdateError(_) => "peers.unreadable",
            Self::Refused => "peers.refused",
        }
    }
}

/// One coordinator's part in the talk.
pub struct Gossip {
    talk: Talk,
    life: u64,
    seq: u32,
    view: PeerLoads,
    /// What was told last, by host, and when.
    told: BTreeMap<HostTag, (u16, Duration)>,
    spoke: Duration,
    /// Draw between the pauses, new with each word: coordinators must not speak in step.
    jitter: f64,
    draw: u64,
    /// Bytes that may be sent by now.
    saved: f64,
    sends: u64,
}

impl Gossip {
    /// Takes part as a process that began its life at `life`, later lives of one coordinator having larger
    /// numbers; `seed` spreads the coordinators' words.
    pub fn new(talk: Talk, life: u64, seed: u64) -> Self {
        Self {
            talk,
            life,
            seq: 0,
            view: PeerLoads::new(talk.routers),
            told: BTreeMap::new(),
            spoke: Duration::ZERO,
            jitter: 0.5,
            draw: seed | 1,
            saved: SAVED,
            sends: 0,
        }
    }

    /// Takes a datagram from a fellow.
    pub fn hear(&mut self, now: Duration, from: u32, bytes: &[u8]) -> Heard {
        match LoadUpdate::read(bytes).map(|word| self.view.take(now, from, &word)) {
            Ok(Some(true)) => Heard::Taken,
            Ok(Some(false)) => Heard::Old,
            Ok(None) => Heard::Refused,
            Err(e) => Heard::UpdateError(e),
        }
    }

    /// What fellows have out at a host by now; `None` where too few of them have spoken lately.
    pub fn others(&self, now: Duration, host: HostTag) -> Option<Told> {
        self.view.others(now, host)
    }

    /// At the end of a turn: what is out at each host, and how many parts have been sent since the start.
    /// Gives the word to be sent to all fellows, if it is time for one.
    pub fn turn(&mut self, now: Duration, outs: &[(HostTag, u16)], sends: u64) -> Option<Datagram> {
        let fellows = f64::from(self.talk.routers.saturating_sub(1));
        if fellows < 1.0 {
            return None;
        }
        let a_part = BUDGET / self.talk.price.max(BUDGET) * MOST_BYTES as f64;
        let fresh = sends.saturating_sub(std::mem::replace(&mut self.sends, sends));
        self.saved = (self.saved + fresh as f64 * a_part).min(SAVED * fellows);
        let since = now.saturating_sub(self.spoke);
        if since < PAUSE.0.mul_f64(0.5 + self.jitter) {
            return None;
        }
        // What changed most goes first, and what was told longest ago before what is as it was.
        let mut news: Vec<(u32, Duration, HostTag, u16)> = Vec::new();
        for (host, out) in outs {
            let (was, at) = self.told.get(host).copied().unwrap_or((0, Duration::ZERO));
            let age = now.saturating_sub(at);
            let change = u32::from(was.abs_diff(*out));
            if change > 0 || (age >= PAUSE.1 && (*out > 0 || since >= PAUSE.1)) {
                news.push((change, age, *host, *out));
            }
        }
        if news.is_empty() {
            return None;
        }
        news.sort_by_key(|n| std::cmp::Reverse((n.0, n.1, n.2)));
        let word = LoadUpdate {
            life: self.life,
            seq: self.seq + 1,
            hosts: news.iter().map(|n| (n.2, n.3)).collect(),
        };
        let (datagram, hosts) = word.write();
        let cost = datagram.bytes().len() as f64 * fellows;
        // Beyond the budget only what keeps a word alive.
        if cost > self.saved && since < PAUSE.1 {
            return None;
        }
        self.saved = (self.saved - cost).max(0.0);
        self.seq += 1;
        self.told
            .retain(|host, _| outs.iter().any(|o| o.0 == *host));
        for (_, _, host, out) in news.into_iter().take(hosts) {
            self.told.insert(host, (out, now));
        }
        (self.spoke, self.jitter) = (now, self.chance());
        Some(datagram)
    }

    /// An even draw from 0 to 1 (xorshift of Marsaglia).
    fn chance(&mut self) -> f64 {
        self.draw ^= self.draw << 13;
        self.draw ^= self.draw >> 7;
        self.draw ^= self.draw << 17;
        (self.draw >> 11) as f64 / (1u64 << 53) as f64
    }
}
