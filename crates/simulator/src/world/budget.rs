//! What the budget of losses allows: a machine counts as lost while it has trouble and for the time to catch up
//! after it; the next loss may come at exactly that time.

use super::{What, World};
use crate::faults::{Fault, TERM_TIME};
use crate::plan::ms;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a machine still counts as lost after it is back.
pub(super) const CATCH_UP: Duration = Duration::from_millis(4000);

/// Whether a fault may strike.
enum Gate {
    Open,
    At(Duration),
    Never,
}

impl World<'_> {
    /// Machines that a fault takes away.
    fn struck(&self, fault: Fault) -> Vec<usize> {
        match fault {
            Fault::Kill(n, _) | Fault::Power(n, _) | Fault::Wipe(n, _) | Fault::Replace(n, _) => {
                vec![n]
            }
            Fault::Freeze(n, _) | Fault::Cut(n, ..) | Fault::Stall(n, _) | Fault::Slow(n, ..) => {
                vec![n]
            }
            Fault::Full(n, _) | Fault::Term(n, _) | Fault::Retire(n) | Fault::CutPair(n, ..) => {
                vec![n]
            }
            Fault::KillAll(_) | Fault::PowerAll(..) => (0..self.nodes.len()).collect(),
            Fault::CutZone(zone, ..) => self.zone(zone),
            Fault::Join | Fault::Agent(..) => vec![],
        }
    }

    /// What the budget counts a machine by: itself, or the zone or region that it stands in.
    fn counted_part(&self, n: usize) -> usize {
        match self.plan.zone_losses + self.plan.region_losses {
            0 => n,
            _ => self.zone_of(n),
        }
    }

    fn gate(&self, fault: Fault) -> Gate {
        let struck = self.struck(fault);
        let all = matches!(fault, Fault::KillAll(_) | Fault::PowerAll(..));
        let left = self.nodes.iter().filter(|n| !n.gone).count();
        let too_few =
            matches!(fault, Fault::Retire(_)) && left <= 2 * self.plan.losses as usize + 1;
        if too_few
            || (!all
                && struck
                    .iter()
                    .any(|n| self.nodes.get(*n).is_none_or(|n| n.gone)))
        {
            return Gate::Never;
        }
        if self.plan.safety_only {
            let loses_disk = match fault {
                Fault::Wipe(..)
                | Fault::Replace(..)
                | Fault::Retire(_)
                | Fault::PowerAll(_, Some(_)) => 1,
                _ => 0,
            };
            let more = self.disks_lost + loses_disk > self.plan.losses;
            return if more { Gate::Never } else { Gate::Open };
        }
        let parts: BTreeSet<usize> = struck.iter().map(|n| self.counted_part(*n)).collect();
        let most = self
            .plan
            .losses
            .max(self.plan.zone_losses)
            .max(self.plan.region_losses) as usize;
        let may_be_lost = if all {
            0
        } else {
            most.saturating_sub(parts.len())
        };
        if !all && parts.len() > most {
            return Gate::Never;
        }
        // Until when each part of the others counts as lost.
        let mut others: BTreeMap<usize, Duration> = BTreeMap::new();
        for n in 0..self.nodes.len() {
            let (node, part) = (&self.nodes[n], self.counted_part(n));
            if all || !parts.contains(&part) {
                // Where all go at once, new ones go too.
                let until = if all {
                    node.lost_until
                } else {
                    node.lost_until.max(node.new_until)
                };
                let known = others.entry(part).or_default();
                *known = until.max(*known);
            }
        }
        let mut others: Vec<Duration> = others
            .into_values()
            .filter(|until| *until > self.now)
            .collect();
        others.sort_unstable_by(|a, b| b.cmp(a));
        match others.get(may_be_lost) {
            Some(until) => Gate::At(*until),
            None => Gate::Open,
        }
    }

    /// A fault strikes as soon as the budget allows it.
    pub(super) fn strike_in_budget(&mut self, fault: Fault) {
        match self.gate(fault) {
            Gate::Open => self.strike_counted(fault),
            Gate::At(at) => self.at(at, 0, What::Fault(fault)),
            Gate::Never => {}
        }
    }

    /// A fault strikes now or not at all. Whether it did.
    pub(super) fn strike_now(&mut self, fault: Fault) -> bool {
        let open = matches!(self.gate(fault), Gate::Open);
        if open {
            self.strike_counted(fault);
        }
        open
    }

    fn strike_counted(&mut self, fault: Fault) {
        let spread = if matches!(fault, Fault::KillAll(_) | Fault::PowerAll(..)) {
            ms(200)
        } else {
            ms(0)
        };
        let ends = if matches!(fault, Fault::Retire(_)) {
            TERM_TIME
        } else {
            fault.length()
        };
        let until = self.now + ends + spread + CATCH_UP;
        for n in self.struck(fault) {
            self.nodes[n].lost_until = self.nodes[n].lost_until.max(until);
        }
        let loses_disk = matches!(
            fault,
            Fault::Wipe(..) | Fault::Replace(..) | Fault::Retire(_) | Fault::PowerAll(_, Some(_))
        );
        self.disks_lost += u32::from(loses_disk);
        self.report.struck.push((self.now - ms(1000), fault));
        self.strike(fault);
    }

    /// Whether a member has no trouble now and may be called.
    pub(super) fn is_well(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        let lost = node
            .lost_until
            .saturating_sub(CATCH_UP)
            .max(node.until.apart)
            > self.now;
        !node.gone && !node.frozen && node.member.is_some() && !lost
    }
}
