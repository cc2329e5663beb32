//! Who is in a view.

use configuration::FaultBudget;
use protocol::MemberInfo;
use std::collections::BTreeSet;

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
        let left = || seats.iter().filter(|s| !chosen.iter().any(|c| c.id == s.id));
        let region = left().find(|s| has_regions.len() < regions && !has_regions.contains(s.region.as_str()));
        let zone = left().find(|s| !has_zones.contains(s.zone.as_str()));
        let short = chosen.len() < machines || has_zones.len() < zones;
        let next = region.or(zone).or(left().next().filter(|_| short))?;
        chosen.push(next);
    }
}
