//! Selection of the parts of a query to send, for classes that accept partial answers or need fewer
//! than all parts.

use super::router::Router;
use super::work::{Part, Query};
use crate::interface::{QueryClass, RequestId};

/// Sums of weights that differ by less count as equal.
pub(super) const WEIGHT_TOLERANCE: f64 = 5e-5;
/// Lower bound of the value of a query that prices are divided by.
const MIN_QUERY_VALUE: f64 = 1e-6;

impl Router {
    /// Returns the parts to send now: as many as a complete answer needs, and one more for each
    /// that is late or lost. For a class that accepts partial answers it is the share of the parts
    /// that earns most for its work.
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

    /// Whether a part was sent and is unanswered, and each of its attempts in flight is older than
    /// `late_after` seconds.
    fn is_late(&self, part: &Part, late_after: f64) -> bool {
        let mut in_flight = part.attempts.iter().filter(|a| a.in_flight);
        !part.answered
            && !part.attempts.is_empty()
            && in_flight.all(|a| self.now - a.sent_at > late_after)
    }

    /// Returns the weight, counted from the heaviest part down, beyond which a part earns less than
    /// its work costs other queries.
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
        // The cost of a part to other queries rises faster than the waiting time; it is close to
        // zero while servers have little load.
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
            // A subset must not earn less for each of its parts than the whole query does:
            // rejecting some queries is then better.
            let allowed = weight >= class.min_share * total && earned_share * parts >= parts_asked;
            if net_gain > best_net_gain && allowed {
                (best_net_gain, best_weight) = (net_gain, weight);
            }
        }
        best_weight
    }
}
