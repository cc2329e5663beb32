//! Hosts as all sources together tell of them.

use crate::phase;
use protocol::{Addr, HostRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Order in which hosts were first seen.
#[derive(Clone, Default)]
pub(super) struct Arrivals {
    numbers: HashMap<String, u64>,
    last: u64,
}

impl Arrivals {
    /// A host is seen.
    pub(super) fn note(&mut self, host: &str) {
        if !self.numbers.contains_key(host) {
            self.last += 1;
            self.numbers.insert(host.to_owned(), self.last);
        }
    }

    /// Forgets hosts that aren't known any more.
    pub(super) fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.numbers.retain(|host, _| known(host));
    }

    fn of(&self, host: &str) -> u64 {
        self.numbers.get(host).copied().unwrap_or_default()
    }
}

/// Hosts by identity: of each the newest record, as far on its way out as any source or the ledger has it.
pub(super) fn merged<'a>(
    records: impl Iterator<Item = &'a HostRecord>,
    drains: &BTreeSet<String>,
    arrivals: &Arrivals,
) -> BTreeMap<String, HostRecord> {
    let mut hosts: BTreeMap<String, HostRecord> = BTreeMap::new();
    let mut furthest: HashMap<&str, u8> = HashMap::new();
    for record in records.filter(|r| r.phase != phase::FORGOTTEN) {
        let phase = furthest.entry(&record.id).or_default();
        *phase = (*phase).max(record.phase);
        match hosts.get(&record.id) {
            Some(known)
                if (known.call_seq, !known.heartbeat_expired)
                    >= (record.call_seq, !record.heartbeat_expired) => {}
            _ => {
                hosts.insert(record.id.clone(), record.clone());
            }
        }
    }
    for (id, record) in &mut hosts {
        record.phase = furthest.get(id.as_str()).copied().unwrap_or(record.phase);
        if drains.contains(id) {
            record.phase = record.phase.max(phase::DRAINING);
        }
    }
    one_at_each_address(&mut hosts, arrivals);
    hosts
}

/// Of several hosts at one address, all but the newest are gone.
fn one_at_each_address(hosts: &mut BTreeMap<String, HostRecord>, arrivals: &Arrivals) {
    let mut newest: HashMap<Addr, (bool, bool, u64, String)> = HashMap::new();
    let rank = |r: &HostRecord| {
        (
            r.phase < phase::GONE,
            !r.heartbeat_expired,
            arrivals.of(&r.id),
            r.id.clone(),
        )
    };
    for record in hosts.values() {
        let rank = rank(record);
        match newest.get_mut(&record.addr) {
            Some(best) if *best >= rank => {}
            Some(best) => *best = rank,
            None => {
                newest.insert(record.addr, rank);
            }
        }
    }
    for record in hosts.values_mut() {
        if newest
            .get(&record.addr)
            .is_some_and(|best| best.3 != record.id)
        {
            record.phase = phase::GONE;
        }
    }
}
