//! Hosts of a mirror, merged from the records of all origins.

use crate::phase;
use protocol::{Addr, HostRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Order in which hosts were first seen.
#[derive(Clone, Default)]
pub(super) struct Arrivals {
    positions: HashMap<String, u64>,
    last_position: u64,
}

impl Arrivals {
    /// Records that a host was seen.
    pub(super) fn record(&mut self, host: &str) {
        if !self.positions.contains_key(host) {
            self.last_position += 1;
            self.positions.insert(host.to_owned(), self.last_position);
        }
    }

    /// Drops hosts that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.positions.retain(|host, _| is_known(host));
    }

    /// Returns the host's position in the order, starting at 1; 0 if it was never seen.
    fn position(&self, host: &str) -> u64 {
        self.positions.get(host).copied().unwrap_or_default()
    }
}

/// Merges the records of all origins into one per host: the latest record, with the highest phase of any record. A host
/// in `draining` has at least the phase [`phase::DRAINING`].
pub(super) fn merge_hosts<'a>(
    records: impl Iterator<Item = &'a HostRecord>,
    draining: &BTreeSet<String>,
    arrivals: &Arrivals,
) -> BTreeMap<String, HostRecord> {
    let mut hosts: BTreeMap<String, HostRecord> = BTreeMap::new();
    let mut highest_phases: HashMap<&str, u8> = HashMap::new();
    for record in records.filter(|record| record.phase != phase::FORGOTTEN) {
        let phase = highest_phases.entry(&record.id).or_default();
        *phase = (*phase).max(record.phase);
        match hosts.get(&record.id) {
            Some(merged)
                if (merged.call_seq, !merged.heartbeat_expired)
                    >= (record.call_seq, !record.heartbeat_expired) => {}
            _ => {
                hosts.insert(record.id.clone(), record.clone());
            }
        }
    }
    for (id, record) in &mut hosts {
        record.phase = highest_phases
            .get(id.as_str())
            .copied()
            .unwrap_or(record.phase);
        if draining.contains(id) {
            record.phase = record.phase.max(phase::DRAINING);
        }
    }
    keep_newest_at_each_address(&mut hosts, arrivals);
    hosts
}

/// Ranking of a host as the current owner of its address. Fields are compared in the order of declaration.
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
            arrival: arrivals.position(&record.id),
            id: record.id.clone(),
        }
    }
}

/// Marks all but the newest host at each address as gone, since an address is reused only after its host has ended.
fn keep_newest_at_each_address(hosts: &mut BTreeMap<String, HostRecord>, arrivals: &Arrivals) {
    let mut strongest_claims: HashMap<Addr, AddressClaim> = HashMap::new();
    for record in hosts.values() {
        let claim = AddressClaim::of(record, arrivals);
        match strongest_claims.get_mut(&record.addr) {
            Some(strongest) if *strongest >= claim => {}
            Some(strongest) => *strongest = claim,
            None => {
                strongest_claims.insert(record.addr, claim);
            }
        }
    }
    for record in hosts.values_mut() {
        let strongest = strongest_claims.get(&record.addr);
        if strongest.is_some_and(|strongest| strongest.id != record.id) {
            record.phase = phase::GONE;
        }
    }
}
