//! What is known of fellows by their words. Merging takes, for each fellow and host, the entry of the latest
//! life and number: so words may come in any order, doubled or not at all, and older never beats newer.

use super::load_update::{HostTag, LoadUpdate};
use std::collections::BTreeMap;
use std::time::Duration;

/// A word older than this is no evidence: the parts it tells of are over. Twice the longest pause of a fellow
/// that has something out, so that one lost datagram does not silence it.
const BELIEVED: Duration = Duration::from_millis(2000);
/// Silence after which a fellow's lives and numbers count from anew: its clock may have been set back. No
/// datagram is under way for so long.
const FORGET: Duration = Duration::from_secs(10);
/// Hosts that one fellow may speak of; more are no list of hosts.
const MOST_HOSTS: usize = 16_384;

/// What fellows have out at one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// Their parts out there in all.
    pub out: f64,
    /// Age of the oldest word that this rests on.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    life: u64,
    seq: u32,
    out: u16,
    at: Duration,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Fellow {
    /// Its latest life and number, and when that was heard.
    latest: (u64, u32),
    heard: Duration,
    hosts: BTreeMap<HostTag, Entry>,
}

/// All that fellows have said.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoads {
    routers: u32,
    fellows: BTreeMap<u32, Fellow>,
}

impl PeerLoads {
    /// Nothing heard yet among so many coordinators.
    pub fn new(routers: u32) -> Self {
        Self {
            routers,
            fellows: BTreeMap::new(),
        }
    }

    /// Takes a word. `None` if it is refused, else whether it was the fellow's latest.
    pub fn take(&mut self, now: Duration, from: u32, word: &LoadUpdate) -> Option<bool> {
        let known =
            self.fellows.contains_key(&from) || (self.fellows.len() as u32) < self.routers - 1;
        if !known || word.hosts.len() > MOST_HOSTS {
            return None;
        }
        let fellow = self.fellows.entry(from).or_default();
        if now.saturating_sub(fellow.heard) > FORGET {
            *fellow = Fellow::default();
        }
        let number = (word.life, word.seq);
        for (host, out) in &word.hosts {
            let known = fellow.hosts.get(host);
            let newer = known.is_none_or(|e| (e.life, e.seq) < number);
            if newer && (known.is_some() || fellow.hosts.len() < MOST_HOSTS) {
                fellow.hosts.insert(
                    *host,
                    Entry {
                        life: word.life,
                        seq: word.seq,
                        out: *out,
                        at: now,
                    },
                );
            }
        }
        let latest = number > fellow.latest;
        if latest {
            (fellow.latest, fellow.heard) = (number, now);
        }
        Some(latest)
    }

    /// What fellows have out at a host by now; `None` unless all of them have been heard lately: a sum that
    /// lacks one would make the host look lighter than it is.
    pub fn others(&self, now: Duration, host: HostTag) -> Option<Told> {
        let mut told = Told {
            out: 0.0,
            age: Duration::ZERO,
        };
        if self.routers < 2 || (self.fellows.len() as u32) < self.routers - 1 {
            return None;
        }
        for f in self.fellows.values() {
            let silent = now.saturating_sub(f.heard);
            if silent > BELIEVED {
                return None;
            }
            told.age = told.age.max(silent);
            // What belongs to a past life ended with it.
            let entry = f.hosts.get(&host).filter(|e| e.life == f.latest.0);
            if let Some(e) = entry.filter(|e| now.saturating_sub(e.at) <= BELIEVED) {
                told.out += f64::from(e.out);
            }
        }
        Some(told)
    }
}
