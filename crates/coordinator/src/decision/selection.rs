//! Selection of a server for a part by Join-Idle-Queue: the best one in the idle queue, or else a
//! random one.

use super::eligibility::Eligibility;
use super::idle_queue::MIN_MEAN_LOAD;
use super::router::{seconds, Router};
use super::work::{AttemptKind, Part};
use crate::interface::{ClassId, Idempotency, RequestId, ServerId};

/// Score penalty of a server in another zone, in parts of load. It is small, as crossing zones
/// costs little compared with queueing.
const CROSS_ZONE_PENALTY: f64 = 2.0;
/// Scores that differ by less count as equal.
const SCORE_TOLERANCE: f64 = 1e-9;

/// A server that holds the shard of a part and may get the part.
struct Candidate {
    server: ServerId,
    eligibility: Eligibility,
    /// Whether the part was sent there before.
    attempted: bool,
}

/// Parameters of the score that don't depend on the server.
struct Scoring<'a> {
    /// Overhead of a call, in parts of load.
    call_overhead: f64,
    max_parts_per_call: f64,
    /// Shards of other parts of the query that could share the call.
    piggybacked_shards: &'a [u32],
}

impl Router {
    /// Selects a server for a part, or returns `None` if the part has to wait. `piggybacked_shards`
    /// are the shards of other parts of the query that could share the call.
    pub(super) fn pick_server(
        &mut self,
        part_id: RequestId,
        kind: AttemptKind,
        piggybacked_shards: &[u32],
    ) -> Option<ServerId> {
        let part = &self.parts[&part_id];
        let class = self.queries[&part.query].class;
        let mut candidates = self.candidates(part, class, kind);
        if let Some(due_for_probe) = self.probe_candidate(part, class, &candidates) {
            return Some(due_for_probe);
        }
        self.promote_draining_if_crowded(&mut candidates);
        let best_rank = candidates
            .iter()
            .map(|c| (c.eligibility, c.attempted))
            .min()?;
        // If a healthy server is only at its limit, waiting for it is better than panic mode.
        let healthy_exists = || self.usable_servers(part.shard).any(|s| !s.is_ejected());
        if best_rank.0 == Eligibility::Panic && healthy_exists() {
            return None;
        }
        candidates.retain(|c| (c.eligibility, c.attempted) == best_rank);
        let scoring = Scoring {
            call_overhead: seconds(self.settings.call_overhead) / self.part_work(class),
            max_parts_per_call: self.max_parts_per_call(class) as f64,
            piggybacked_shards,
        };
        let mut servers: Vec<ServerId> = candidates.iter().map(|c| c.server).collect();
        let idle_server = self.best_in_idle_queue(&servers, &scoring);
        if idle_server.is_some() {
            return idle_server;
        }
        if kind == AttemptKind::Hedge {
            let light_load = self.fleet_load.mean.max(MIN_MEAN_LOAD);
            servers.retain(|id| self.estimated_load(&self.servers[id]) <= light_load);
        }
        self.random_light_server(servers, &scoring)
    }

    /// Returns the servers that hold the shard of a part and may get the part. A second copy is
    /// only sent to a server that the part was not sent to before, and a hedge only to a healthy
    /// one.
    fn candidates(&self, part: &Part, class: ClassId, kind: AttemptKind) -> Vec<Candidate> {
        let attempted = |server: ServerId| part.attempts.iter().any(|a| a.server == server);
        let mut candidates: Vec<Candidate> = self
            .servers_of_shard(part.shard)
            .filter_map(|(id, server)| {
                Some(Candidate {
                    server: id,
                    eligibility: self.eligibility(server, class)?,
                    attempted: attempted(id),
                })
            })
            .collect();
        if kind != AttemptKind::FirstOrRetry {
            candidates.retain(|c| {
                let healthy = c.eligibility == Eligibility::Healthy;
                !c.attempted && (healthy || kind == AttemptKind::Rescue)
            });
        }
        candidates
    }

    /// Returns a server that is due for a probe, if the part may be used for it. Such servers are
    /// selected first, as otherwise none would ever be cleared. Only first attempts that may be
    /// repeated are used.
    fn probe_candidate(
        &self,
        part: &Part,
        class: ClassId,
        candidates: &[Candidate],
    ) -> Option<ServerId> {
        let may_be_repeated = self.class(class).idempotency != Idempotency::NotIdempotent;
        if !may_be_repeated || !part.attempts.is_empty() {
            return None;
        }
        candidates
            .iter()
            .find(|c| c.eligibility == Eligibility::Probe)
            .map(|c| c.server)
    }

    /// Counts draining servers within their grace as healthy if all healthy ones are crowded.
    fn promote_draining_if_crowded(&self, candidates: &mut [Candidate]) {
        let all_crowded = candidates
            .iter()
            .filter(|c| c.eligibility == Eligibility::Healthy)
            .all(|c| self.is_crowded(&self.servers[&c.server]));
        if !all_crowded {
            return;
        }
        for candidate in candidates {
            if candidate.eligibility == Eligibility::Draining {
                candidate.eligibility = Eligibility::Healthy;
            }
        }
    }

    /// Returns the score of a server for a part; lower is better. It is the estimated load, plus a
    /// penalty for another zone, plus the call overhead divided by the number of parts that share
    /// the call.
    fn score(&self, id: ServerId, scoring: &Scoring) -> f64 {
        let server = &self.servers[&id];
        let penalty = if self.settings.cross_zone_cost && self.settings.zone != Some(server.zone) {
            CROSS_ZONE_PENALTY
        } else {
            0.0
        };
        let piggybacked = scoring
            .piggybacked_shards
            .iter()
            .filter(|shard| self.holds_shard(server, **shard))
            .count();
        let parts_per_call = (piggybacked as f64 + 1.0).min(scoring.max_parts_per_call);
        self.estimated_load(server)
            + penalty
            + scoring.call_overhead * (1.0 + self.fleet_load.mean) / parts_per_call
    }

    fn best_in_idle_queue(&self, servers: &[ServerId], scoring: &Scoring) -> Option<ServerId> {
        servers
            .iter()
            .copied()
            .filter(|id| self.is_in_idle_queue(&self.servers[id]))
            .min_by(|a, b| self.score(*a, scoring).total_cmp(&self.score(*b, scoring)))
    }

    /// Selects one of these servers at random, without those that score above their mean. Servers
    /// in another zone score higher, so they are selected only while the near ones are busy.
    fn random_light_server(
        &mut self,
        mut servers: Vec<ServerId>,
        scoring: &Scoring,
    ) -> Option<ServerId> {
        if servers.is_empty() {
            return None;
        }
        let sum: f64 = servers.iter().map(|id| self.score(*id, scoring)).sum();
        let mean = sum / servers.len() as f64;
        servers.retain(|id| self.score(*id, scoring) <= mean + SCORE_TOLERANCE);
        let index = self.random_index(servers.len());
        Some(servers[index])
    }
}
