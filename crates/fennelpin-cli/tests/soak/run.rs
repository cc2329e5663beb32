//! One run from its seed to its report.

use super::clients::Client;
use super::driver::{Driver, FinalLoss};
use super::front_selection::{Front, FrontSelection};
use super::harness::callers::{configuration_version, READ};
use super::harness::cluster::TestCluster;
use super::harness::{faulty_hosts, wait_until};
use super::operator;
use super::quota::Quota;
use super::recorder::{Recorder, Recording, RequestEnd, VersionRecord};
use super::rules::{self, Excuse, Violation};
use super::schedule;
use super::settings::{SoakSettings, GRACE_S};
use super::stop_signal::StopSignal;
use super::stream_hosts::{self, Hosts};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Hosts of one service.
const HOSTS: u8 = 6;
/// What is lost at the end, by turns.
const FINAL_LOSSES: [FinalLoss; 3] = [
    FinalLoss::None,
    FinalLoss::Members,
    FinalLoss::DiskAndProcesses,
];
/// Body of the request that shows that a proxy serves: no delay, no events.
const FIRST_REQUEST: &str = "first:0:0:0:chunked";
/// Violations that a report names, at most.
const MAX_NAMED: usize = 12;

/// What a run had beside the planned work.
#[derive(Default)]
struct Conditions {
    /// 0 without a quota.
    quota_ms: u64,
    /// How often the quota stopped a process.
    quota_stops: u64,
    faults: bool,
}

/// What came of a run.
pub struct Report {
    conditions: Conditions,
    seed: u64,
    edges: u8,
    events: usize,
    /// Requests by how they ended.
    ends: BTreeMap<String, usize>,
    /// Requests that weren't served, by what excuses them.
    excuses: BTreeMap<Excuse, usize>,
    changes: usize,
    longest_change: Duration,
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "seed {} edges {} quota {} ms ({} stops) faults {}: {} signals and rewrites, {} changes (longest {} ms), requests {:?}, excused {:?}, {} violations",
            self.seed,
            self.edges,
            self.conditions.quota_ms,
            self.conditions.quota_stops,
            self.conditions.faults,
            self.events,
            self.changes,
            self.longest_change.as_millis(),
            self.ends,
            self.excuses,
            self.violations.len()
        )?;
        for violation in self.violations.iter().take(MAX_NAMED) {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}

/// Plays the run of a seed.
pub fn run_seed(settings: &SoakSettings, seed: u64) -> Report {
    let faults = settings.faults.unwrap_or(schedule::draw_faults(seed));
    let quota_ms = settings.quota_ms.unwrap_or(schedule::draw_quota_ms(seed));
    let (edges, members) = (settings.edges, settings.members);
    let events = schedule::draw(seed, edges, members, settings.duration, faults);
    let recorder = Arc::new(Recorder::default());
    let hosts_stop = Arc::new(StopSignal::default());
    let (cluster, _hosts) = start_cluster(settings, seed, &recorder, &hosts_stop);
    let fronts = FrontSelection::new(fronts(&cluster));
    let members: Vec<SocketAddr> = (1..=settings.members).map(|n| cluster.control(n)).collect();
    let share = (quota_ms > 0).then_some(Duration::from_millis(quota_ms));
    let mut driver = Driver::new(cluster, &recorder, seed, Quota::new(share));
    let stop = StopSignal::default();
    std::thread::scope(|scope| {
        scope.spawn(|| fronts.probe_until(&stop));
        scope.spawn(|| operator::change_until(members.clone(), seed, &recorder, &stop));
        scope.spawn(|| operator::read_until(&members, seed, &recorder, &stop));
        let mut clients = Vec::new();
        for number in 0..settings.clients {
            let client = Client::new(number, seed, &fronts, &recorder, &stop, faults);
            clients.push(scope.spawn(|| client.run()));
        }
        driver.play(&events, settings.duration);
        stop.raise();
        // The clients' last requests are still under way while processes end and start.
        driver.play_until(|| {
            clients
                .iter()
                .all(std::thread::ScopedJoinHandle::is_finished)
        });
    });
    driver.lose(FINAL_LOSSES[seed as usize % FINAL_LOSSES.len()]);
    let quota_stops = driver.end_quota();
    check_settled(&driver.cluster, &members, &recorder);
    hosts_stop.raise();
    let mut report = report(seed, settings, events.len(), &recorder.take());
    report.conditions = Conditions {
        quota_ms,
        quota_stops,
        faults,
    };
    keep_logs(settings, &driver.cluster, &report);
    report
}

fn start_cluster(
    settings: &SoakSettings,
    seed: u64,
    recorder: &Arc<Recorder>,
    hosts_stop: &Arc<StopSignal>,
) -> (TestCluster, Hosts) {
    let cluster = TestCluster::with_settings(settings.members, settings.edges, &[], |processes| {
        processes.set_bounds(json!({"grace_s": GRACE_S}));
    });
    let all: Vec<u8> = (1..=settings.members).collect();
    let mut members: Vec<SocketAddr> = all.iter().map(|n| cluster.control(*n)).collect();
    let hosts: Vec<_> = (1..=HOSTS)
        .map(|n| cluster.processes.plan().host(n))
        .collect();
    let drain_times = schedule::draw_drain_times(seed, hosts.len(), settings.duration);
    let hosts = stream_hosts::start(&hosts, &drain_times, &members, recorder, hosts_stop);
    let sent_at = Instant::now();
    let first = operator::change(1);
    let answer = operator::call(&mut members, &first.call(), &StopSignal::default());
    assert_eq!(answer.expect("an answer to the first change").status, 200);
    recorder.record_acknowledged(VersionRecord {
        version: 1,
        sent_at,
        answered_at: Instant::now(),
    });
    for front in cluster.processes.plan().fronts() {
        wait_until("a proxy serves", || {
            faulty_hosts::is_body_served(front, FIRST_REQUEST).then_some(())
        });
    }
    (cluster, hosts)
}

fn fronts(cluster: &TestCluster) -> Vec<Front> {
    let plan = cluster.processes.plan();
    let addresses = plan.fronts();
    (1..)
        .zip(&addresses)
        .map(|(edge, clients)| Front {
            edge,
            clients: *clients,
            readiness: plan.readiness(clients),
        })
        .collect()
}

/// After all has settled the newest acknowledged version is read back, and in force at each proxy.
fn check_settled(cluster: &TestCluster, members: &[SocketAddr], recorder: &Recorder) {
    let sent_at = Instant::now();
    let read = operator::call(&mut members.to_vec(), &READ, &StopSignal::default());
    let Some(answer) = read.filter(|answer| answer.status == 200) else {
        recorder.record_failure("the configuration can't be read back".to_owned());
        return;
    };
    let version = configuration_version(&answer);
    recorder.record_read(VersionRecord {
        version,
        sent_at,
        answered_at: Instant::now(),
    });
    for edge in 1..=cluster.processes.plan().proxies {
        wait_until("the newest configuration is in force", || {
            (cluster.versions_in_force(edge).last() == Some(&version)).then_some(())
        });
    }
}

fn report(seed: u64, settings: &SoakSettings, events: usize, recording: &Recording) -> Report {
    let mut ends = BTreeMap::new();
    for request in &recording.requests {
        let end = match &request.end {
            RequestEnd::Answered { status } => status.to_string(),
            RequestEnd::Malformed { .. } => "Malformed".to_owned(),
            other => format!("{other:?}"),
        };
        *ends.entry(end).or_insert(0) += 1;
    }
    let times = recording
        .acknowledged
        .iter()
        .map(|change| change.answered_at.duration_since(change.sent_at));
    Report {
        conditions: Conditions::default(),
        seed,
        edges: settings.edges,
        events,
        ends,
        excuses: rules::excuses(recording),
        changes: recording.acknowledged.len(),
        longest_change: times.max().unwrap_or_default(),
        violations: rules::violations(recording),
    }
}

/// Copies the logs of a run that broke a rule.
fn keep_logs(settings: &SoakSettings, cluster: &TestCluster, report: &Report) {
    let Some(folder) = settings
        .kept_logs
        .as_ref()
        .filter(|_| !report.violations.is_empty())
    else {
        return;
    };
    let folder = folder.join(format!("seed-{}-edges-{}", report.seed, report.edges));
    std::fs::create_dir_all(&folder).unwrap();
    for entry in std::fs::read_dir(&cluster.processes.plan().dir).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let name = path.file_name().unwrap();
            std::fs::copy(&path, folder.join(name)).unwrap();
        }
    }
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    std::fs::write(folder.join("violations.txt"), violations.join("\n")).unwrap();
}
