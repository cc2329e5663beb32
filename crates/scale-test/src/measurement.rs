//! What is measured in a phase: the differences between two samples, and when changes came in force.

use crate::child_process::ChildProcess;
use crate::deployment::Deployment;
use crate::lock;
use crate::operator::AcknowledgedChange;
use crate::report::{percentile, PhaseReport};
use crate::resource_usage::{self, ResourceUsage};
use replication::Traffic;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A change has to be in force everywhere after this time.
const MAX_PROPAGATION: Duration = Duration::from_secs(6);

/// Counters and resource usage at one moment.
pub(crate) struct Sample {
    taken_at: Instant,
    /// By process id.
    members: BTreeMap<u32, ResourceUsage>,
    /// By process id.
    agents: BTreeMap<u32, ResourceUsage>,
    /// Processor time of this process's threads, by name.
    threads: BTreeMap<String, Duration>,
    /// Bytes of each coordinator's pulls; `None` where it doesn't run.
    traffic: Vec<Option<Traffic>>,
    acknowledged: usize,
    heartbeats: usize,
    failed_calls: u64,
    drains: usize,
}

/// When the changes of a phase came in force at the coordinators.
#[derive(Default)]
struct Propagation {
    /// Times from acknowledgement to being in force, for each change and coordinator.
    times_ms: Vec<f64>,
    /// Changes at a coordinator that took longer than `MAX_PROPAGATION`.
    late: usize,
    /// Changes that are not in force at a coordinator yet, and have had less time.
    pending: usize,
}

/// Figures of a report, in order.
type Figures = Vec<(&'static str, f64)>;

impl Deployment {
    pub(crate) fn sample(&self) -> Sample {
        let (counters, logs) = (lock(&self.host_counters), lock(&self.coordinator_logs));
        let traffic = logs
            .iter()
            .map(|log| log.mirror.as_ref().map(|mirror| mirror.traffic()));
        Sample {
            taken_at: Instant::now(),
            members: usage_by_process(self.members.values()),
            agents: usage_by_process(self.agents.iter()),
            threads: resource_usage::threads(),
            traffic: traffic.collect(),
            acknowledged: lock(&self.acknowledged).len(),
            heartbeats: counters.heartbeats_ms.len(),
            failed_calls: counters.failed_calls,
            drains: counters.drains_ms.len(),
        }
    }

    /// The report of the phase that began with the sample `before` and ends now.
    pub(crate) fn report(&self, phase: &str, before: &Sample) -> PhaseReport {
        let after = self.sample();
        let seconds = (after.taken_at - before.taken_at).as_secs_f64();
        let mut figures = vec![
            ("members", after.members.len() as f64),
            ("coordinators", self.plan.coordinators as f64),
            ("hosts", self.plan.hosts as f64),
            ("seconds", seconds),
        ];
        figures.extend(self.change_figures(before, &after));
        figures.extend(self.host_figures(before, &after, seconds));
        figures.extend(self.process_figures(before, &after, seconds));
        figures.extend(self.simulation_figures(before, &after, seconds));
        PhaseReport {
            phase: phase.into(),
            figures,
        }
    }

    fn change_figures(&self, before: &Sample, after: &Sample) -> Figures {
        let changes = lock(&self.acknowledged)[before.acknowledged..after.acknowledged].to_vec();
        let times_ms: Vec<f64> = changes
            .iter()
            .map(|change| (change.acknowledged_at - change.sent_at).as_secs_f64() * 1e3)
            .collect();
        let propagation = self.propagation(&changes, after.taken_at);
        vec![
            ("changes_acked", changes.len() as f64),
            ("ack_p50_ms", percentile(&times_ms, 0.5)),
            ("ack_p99_ms", percentile(&times_ms, 0.99)),
            ("force_p50_ms", percentile(&propagation.times_ms, 0.5)),
            ("force_p99_ms", percentile(&propagation.times_ms, 0.99)),
            ("force_last_ms", max(&propagation.times_ms)),
            ("over_6_s", propagation.late as f64),
            ("not_yet", propagation.pending as f64),
        ]
    }

    fn host_figures(&self, before: &Sample, after: &Sample, seconds: f64) -> Figures {
        let counters = lock(&self.host_counters);
        let heartbeats_ms = &counters.heartbeats_ms[before.heartbeats..];
        let drains_ms = &counters.drains_ms[before.drains..];
        vec![
            ("beats_per_s", heartbeats_ms.len() as f64 / seconds),
            ("beat_p50_ms", percentile(heartbeats_ms, 0.5)),
            ("beat_p99_ms", percentile(heartbeats_ms, 0.99)),
            (
                "calls_failed",
                (after.failed_calls - before.failed_calls) as f64,
            ),
            ("drains", drains_ms.len() as f64),
            ("drain_p99_ms", percentile(drains_ms, 0.99)),
        ]
    }

    fn process_figures(&self, before: &Sample, after: &Sample, seconds: f64) -> Figures {
        let members = cpu_percentages(&before.members, &after.members, seconds);
        let agents = cpu_percentages(&before.agents, &after.agents, seconds);
        vec![
            ("member_cpu_mean_pct", mean(&members)),
            ("member_cpu_most_pct", max(&members)),
            ("member_peak_mb", max_peak_mb(&after.members)),
            ("agent_cpu_pct", mean(&agents)),
            ("agent_peak_mb", max_peak_mb(&after.agents)),
        ]
    }

    fn simulation_figures(&self, before: &Sample, after: &Sample, seconds: f64) -> Figures {
        let thread_percentage = |name: &str| {
            let earlier = before.threads.get(name).copied().unwrap_or_default();
            let later = after.threads.get(name).copied().unwrap_or_default();
            later.saturating_sub(earlier).as_secs_f64() / seconds * 100.0
        };
        let coordinators = self.plan.coordinators;
        let (received, sent) = traffic_rates(
            before.traffic.iter().take(coordinators),
            &after.traffic,
            seconds,
        );
        let own = resource_usage::process(std::process::id()).unwrap_or_default();
        vec![
            (
                "hollow_cpu_each_pct",
                thread_percentage("coordinators") / coordinators.max(1) as f64,
            ),
            ("coordinator_in_bps", mean(&received)),
            ("coordinator_out_bps", mean(&sent)),
            ("hosts_cpu_pct", thread_percentage("hosts")),
            ("hollow_process_peak_mb", megabytes(own.peak_kb)),
        ]
    }

    /// When changes came in force at each coordinator that ran when they were acknowledged. A later version counts too.
    fn propagation(&self, changes: &[AcknowledgedChange], now: Instant) -> Propagation {
        let mut propagation = Propagation::default();
        for log in lock(&self.coordinator_logs).iter() {
            let Some(started_at) = log.started_at else {
                continue;
            };
            let relevant = changes
                .iter()
                .filter(|change| started_at <= change.acknowledged_at);
            for change in relevant {
                let in_force = log
                    .versions
                    .iter()
                    .find(|(version, at)| *version >= change.version && *at >= started_at);
                propagation.add(change, in_force.map(|(_, at)| *at), now);
            }
        }
        propagation
    }
}

impl Propagation {
    fn add(&mut self, change: &AcknowledgedChange, in_force_at: Option<Instant>, now: Instant) {
        let until = in_force_at.unwrap_or(now);
        let time = until.saturating_duration_since(change.acknowledged_at);
        let is_late = time > MAX_PROPAGATION;
        self.late += usize::from(is_late);
        if in_force_at.is_some() {
            self.times_ms.push(time.as_secs_f64() * 1e3);
        } else if !is_late {
            self.pending += 1;
        }
    }
}

fn usage_by_process<'a>(
    processes: impl Iterator<Item = &'a ChildProcess>,
) -> BTreeMap<u32, ResourceUsage> {
    processes
        .filter_map(|process| Some((process.id(), resource_usage::process(process.id())?)))
        .collect()
}

/// Processor usage of each process in percent of one core.
fn cpu_percentages(
    before: &BTreeMap<u32, ResourceUsage>,
    after: &BTreeMap<u32, ResourceUsage>,
    seconds: f64,
) -> Vec<f64> {
    let percentage = |(id, usage): (&u32, &ResourceUsage)| {
        let earlier = before.get(id).map_or(Duration::ZERO, |usage| usage.cpu);
        usage.cpu.saturating_sub(earlier).as_secs_f64() / seconds * 100.0
    };
    after.iter().map(percentage).collect()
}

/// Bytes per second that each coordinator received and sent. One that was restarted counts from 0.
fn traffic_rates<'a>(
    before: impl Iterator<Item = &'a Option<Traffic>>,
    after: &[Option<Traffic>],
    seconds: f64,
) -> (Vec<f64>, Vec<f64>) {
    let (mut received, mut sent) = (Vec::new(), Vec::new());
    for (before, after) in before.zip(after) {
        if let (Some(before), Some(after)) = (before, after) {
            received.push(after.received.saturating_sub(before.received) as f64 / seconds);
            sent.push(after.sent.saturating_sub(before.sent) as f64 / seconds);
        }
    }
    (received, sent)
}

fn max_peak_mb(usages: &BTreeMap<u32, ResourceUsage>) -> f64 {
    let peaks: Vec<f64> = usages
        .values()
        .map(|usage| megabytes(usage.peak_kb))
        .collect();
    max(&peaks)
}

fn megabytes(kilobytes: u64) -> f64 {
    kilobytes as f64 / 1024.0
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
