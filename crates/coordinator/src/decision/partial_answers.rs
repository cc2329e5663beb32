//! Which parts of a query to ask for, where a class accepts partial answers or needs less than all
//! parts.

use super::router::Router;
use super::work::{Part, Query};
use crate::interface::{QueryClass, RequestId};

/// Sums of weights that differ by less are equal.
pub(super) const WEIGHT_TOLERANCE: f64 = 5e-5;
/// Least value of a query that prices are compared with.
const MIN_QUERY_VALUE: f64 = 1e-6;

impl Router {
    /// The parts to ask for now: as many as make a complete answer, and one more for each that is
    /// late or lost. A class that accepts partial answers asks for the share that earns most for
    /// its work.
    pub(super) fn wanted_parts(&self, query: &Query) -> Vec<RequestId> {
        let class = self.class(query.class);
        if query.first_step_complete.is_some() {
            return query.parts.clone();
        }
        let mut heaviest_first: Vec<&RequestId> = query.parts.iter().collect();
        heaviest_first.sort_by(|a, b| self.parts[b].weight.total_cmp(&self.parts[a].weight));
        let total: f64 = self.parts_of(query).map(|p| p.weight).sum();
        let target = if class.min_share < class.complete_share {
            self.most_profitable_weight(class, &heaviest_first, total)
        } else {
            class.complete_share * total
        };
        let late_after = self.latency_quantile(query.class, 0.9);
        let replaces_late =
            class.complete_share < 1.0 && self.is_urgent(query) && !self.is_congested();
        let mut order = heaviest_first;
        order.sort_by_key(|p| self.parts[p].attempts.is_empty());
        let (mut weight, mut wanted) = (0.0, Vec::new());
        for id in order {
            let part = &self.parts[id];
            if weight + WEIGHT_TOLERANCE >= target && part.attempts.is_empty() {
                break;
            }
            wanted.push(*id);
            if !(replaces_late && self.is_late(part, late_after)) {
                weight += part.weight;
            }
        }
        wanted
    }

    /// Whether all attempts in flight at a part are older than this, or none is left.
    fn is_late(&self, part: &Part, late_after: f64) -> bool {
        let mut in_flight = part.attempts.iter().filter(|a| a.in_flight);
        !part.answered
            && !part.attempts.is_empty()
            && in_flight.all(|a| self.now - a.sent_at > late_after)
    }

    /// The weight, heaviest parts first, beyond which a part earns less than its work costs other
    /// queries.
    fn most_profitable_weight(
        &self,
        class: &QueryClass,
        heaviest_first: &[&RequestId],
        total: f64,
    ) -> f64 {
        let parts = heaviest_first.len() as f64;
        let value = class.value
            * if self.settings.value_by_work {
                parts
            } else {
                1.0
            };
        // What a part costs others rises faster than the wait does; it is next to nothing while
        // servers are light.
        let price = self.congestion().powi(2) * self.admission.value_per_part()
            / value.max(MIN_QUERY_VALUE);
        let (mut weight, mut best_net_gain, mut best_weight) = (0.0, f64::MIN, total);
        for (index, id) in heaviest_first.iter().enumerate() {
            let parts_asked = index as f64 + 1.0;
            weight += self.parts[id].weight;
            let complete = weight + WEIGHT_TOLERANCE >= class.complete_share * total;
            let earned_share = if complete {
                1.0
            } else {
                class.partial_value * weight / (class.complete_share * total)
            };
            let net_gain = earned_share - price * parts_asked;
            // Never a cut that earns less for each part than all of them do: better reject some
            // queries.
            let allowed = weight >= class.min_share * total && earned_share * parts >= parts_asked;
            if net_gain > best_net_gain && allowed {
                (best_net_gain, best_weight) = (net_gain, weight);
            }
        }
        best_weight
    }
}
