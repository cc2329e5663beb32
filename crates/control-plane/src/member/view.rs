//! Who is in a view.

use configuration::FaultBudget;
use protocol::MemberInfo;
use std::collections::{BTreeMap, BTreeSet};

/// Picks replicas in the order given, the first always, so that one of them survives any loss that the budget
/// allows: enough machines, zones and regions. `None` where the seats given are too few.
pub fn choose_replicas(budget: &FaultBudget, seats: &[&MemberInfo]) -> Option<Vec<u64>> {
    let machines = budget.machine_losses as usize + 1;
    let (zones, regions) = (budget.zones as usize + 1, budget.region_losses as usize + 1);
    let mut chosen: Vec<&MemberInfo> = Vec::new();
    loop {
        let has_zones: BTreeSet<&str> = chosen.iter().map(|s| s.zone.as_str()).collect();
        let has_regions: BTreeSet<&str> = chosen.iter().map(|s| s.region.as_str()).collect();
        if chosen.len() >= machines && has_zones.len() >= zones && has_regions.len() >= regions {
            return Some(chosen.iter().map(|s| s.id).collect());
        }
        let left = || {
            seats
                .iter()
                .filter(|s| !chosen.iter().any(|c| c.id == s.id))
        };
        let region = left()
            .find(|s| has_regions.len() < regions && !has_regions.contains(s.region.as_str()));
        let zone = left().find(|s| !has_zones.contains(s.zone.as_str()));
        let short = chosen.len() < machines || has_zones.len() < zones;
        let next = region.or(zone).or(left().next().filter(|_| short))?;
        chosen.push(next);
    }
}

/// How many voters are missing to a majority after the worst loss that the budget allows, of machines, of zones or
/// of regions; nothing is missing where it is 0 or less.
pub fn majority_shortfall(budget: &FaultBudget, voters: &[&MemberInfo]) -> i64 {
    let machines = (budget.machine_losses as usize).min(voters.len());
    let zones = largest_groups(voters, budget.zones, |s| &s.zone);
    let regions = largest_groups(voters, budget.region_losses, |s| &s.region);
    let lost = machines.max(zones).max(regions);
    2 * lost as i64 + 1 - voters.len() as i64
}

/// Voters in the `count` largest groups. Where a group isn't known yet, a voter stands for itself.
fn largest_groups<'s>(
    voters: &[&'s MemberInfo],
    count: u32,
    group: impl Fn(&'s MemberInfo) -> &'s str,
) -> usize {
    let mut sizes: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for voter in voters.iter().copied() {
        let name = group(voter);
        let unknown = if name.is_empty() { voter.id } else { 0 };
        *sizes.entry((name, unknown)).or_default() += 1;
    }
    let mut sizes: Vec<usize> = sizes.into_values().collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.into_iter().take(count as usize).sum()
}
