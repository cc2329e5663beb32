//! The hosts of a mirror, merged from the records of all origins.

use crate::phase;
use protocol::{Addr, HostRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The order in which hosts were first seen.
#[derive(Clone, Default)]
pub(super) struct Arrivals {
    numbers: HashMap<String, u64>,
    last: u64,
}

impl Arrivals {
    /// Records that a host was seen.
    pub(super) fn record(&mut self, host: &str) {
        if !self.numbers.contains_key(host) {
            self.last += 1;
            self.numbers.insert(host.to_owned(), self.last);
        }
    }

    /// Drops hosts that aren't known any more.
    pub(super) fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.numbers.retain(|host, _| known(host));
    }

    /// The host's number; 0 if it was never seen.
    fn number(&self, host: &str) -> u64 {
        self.numbers.get(host).copied().unwrap_or_default()
    }
}

/// Merges records to one for each host: the newest, with the phase that is the furthest in any record. A host that the
/// replicated state has among `draining` is draining at least.
pub(super) fn merged<'a>(
    records: impl Iterator<Item = &'a HostRecord>,
    draining: &BTreeSet<String>,
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
        if draining.contains(id) {
            record.phase = record.phase.max(phase::DRAINING);
        }
    }
    keep_newest_at_each_address(&mut hosts, arrivals);
    hosts
}

/// How likely a host is the present owner of its address. Fields are compared in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AddressClaim {
    is_up: bool,
    has_heartbeat: bool,
    arrival: u64,
    id: String,
}

impl AddressClaim {
    fn of(record: &HostRecord, arrivals: &Arrivals) -> Self {
        Self {
            is_up: record.phase < phase::GONE,
            has_heartbeat: !record.heartbeat_expired,
            arrival: arrivals.number(&record.id),
            id: record.id.clone(),
        }
    }
}

/// Marks all but the newest host at each address as gone: an address is reused only after its host has ended.
fn keep_newest_at_each_address(hosts: &mut BTreeMap<String, HostRecord>, arrivals: &Arrivals) {
    let mut newest: HashMap<Addr, AddressClaim> = HashMap::new();
    for record in hosts.values() {
        let claim = AddressClaim::of(record, arrivals);
        match newest.get_mut(&record.addr) {
            Some(best) if *best >= claim => {}
            Some(best) => *best = claim,
            None => {
                newest.insert(record.addr, claim);
            }
        }
    }
    for record in hosts.values_mut() {
        let best = newest.get(&record.addr);
        if best.is_some_and(|best| best.id != record.id) {
            record.phase = phase::GONE;
        }
    }
}
