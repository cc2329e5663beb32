//! Selection of the member that is a tenant's home.

use rendezvous::ranked;
use std::collections::BTreeSet;

/// Returns the members in order of preference as a tenant's home. All processes with the same member list compute the
/// same order.
pub fn ranking(tenant: &str, members: &[u64]) -> Vec<u64> {
    ranked(tenant, members.iter().copied(), |id| {
        id.to_be_bytes().to_vec()
    })
}

/// Returns the first reachable member of a ranking; `None` if all are unreachable.
pub(crate) fn home(ranking: &[u64], unreachable: &BTreeSet<u64>) -> Option<u64> {
    ranking.iter().copied().find(|id| !unreachable.contains(id))
}
