//! Placement of replicas and voters: which members hold replicas, and whether a majority of voters survives the losses
//! that the fault budget allows.

use configuration::FaultBudget;
use protocol::MemberInfo;
use std::collections::{BTreeMap, BTreeSet};

/// Chooses replicas so that at least one of them survives any loss within the fault budget: on enough machines, in
/// enough zones and regions. The first candidate is always chosen, and earlier ones are preferred. `None` if the
/// candidates don't suffice.
pub fn choose_replicas(budget: &FaultBudget, candidates: &[&MemberInfo]) -> Option<Vec<u64>> {
    let min_machines = budget.machine_losses as usize + 1;
    let min_zones = budget.zones as usize + 1;
    let min_regions = budget.region_losses as usize + 1;
    let mut chosen: Vec<&MemberInfo> = Vec::new();
    loop {
        let zones: BTreeSet<&str> = chosen.iter().map(|m| m.zone.as_str()).collect();
        let regions: BTreeSet<&str> = chosen.iter().map(|m| m.region.as_str()).collect();
        let more_machines = chosen.len() < min_machines;
        let (more_zones, more_regions) = (zones.len() < min_zones, regions.len() < min_regions);
        if !more_machines && !more_zones && !more_regions {
            return Some(chosen.iter().map(|m| m.id).collect());
        }
        let mut remaining = candidates
            .iter()
            .filter(|m| !chosen.iter().any(|c| c.id == m.id));
        let new_region = remaining
            .clone()
            .find(|m| more_regions && !regions.contains(m.region.as_str()));
        let new_zone = remaining.clone().find(|m| !zones.contains(m.zone.as_str()));
        let any = remaining.next().filter(|_| more_machines || more_zones);
        chosen.push(new_region.or(new_zone).or(any)?);
    }
}

/// The number of voters that a majority lacks after the worst loss of machines, zones or regions within the fault
/// budget. 0 or less means that a majority survives.
///
/// The loss counts in full even if there are fewer machines, zones or regions than may be lost, so each voter that
/// joins in another one brings the voters closer to what the budget requires.
pub fn majority_shortfall(budget: &FaultBudget, voters: &[&MemberInfo]) -> i64 {
    let machines = budget.machine_losses as usize;
    let zones = voters_in_largest_groups(voters, budget.zones, |v| &v.zone);
    let regions = voters_in_largest_groups(voters, budget.region_losses, |v| &v.region);
    let lost = machines.max(zones).max(regions);
    2 * lost as i64 + 1 - voters.len() as i64
}

/// The number of voters in the `count` largest groups; each missing group counts as one voter. A voter whose group is
/// unknown forms a group of its own.
fn voters_in_largest_groups<'v>(
    voters: &[&'v MemberInfo],
    count: u32,
    group: impl Fn(&'v MemberInfo) -> &'v str,
) -> usize {
    let mut sizes: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for voter in voters.iter().copied() {
        let name = group(voter);
        let own_group = if name.is_empty() { voter.id } else { 0 };
        *sizes.entry((name, own_group)).or_default() += 1;
    }
    let mut sizes: Vec<usize> = sizes.into_values().collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let missing_groups = std::iter::repeat(1);
    sizes
        .into_iter()
        .chain(missing_groups)
        .take(count as usize)
        .sum()
}
