//! Processes are replaced one after the other by the other build, under traffic, a held lock and a watch.

use crate::builds::{Build, MixedCluster};
use crate::harness::callers::call_until_conclusive;
use crate::harness::faulty_hosts::{self, HostBehaviour, HttpMessage};
use crate::harness::wait_until;
use crate::state::{AcknowledgedState, LIMITED_KEY, MEMBERS, UNLIMITED_KEY};
use fennelpin_cli::control_client::ControlCall;
use fennelpin_cli::local::cluster::Program;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4};
use std::thread::JoinHandle;

/// Host numbers of the cluster's addresses.
const HOSTS: [u8; 2] = [1, 2];
/// Requests after which the limited tenant's quota is used up in any case: a new home of the quota starts with a whole burst.
const REQUESTS_BEYOND_QUOTA: usize = 5;
/// Steps of a change of builds; the cell is put once after each.
const STEPS: usize = 9;

/// Sends a request with an API key, and returns the status of the response.
fn status_of(front: SocketAddrV4, key: &str, body: &str) -> Option<u16> {
    let mut stream = faulty_hosts::connect(front)?;
    let text = format!(
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nFennelpin-Attempt-Id: {body}-id\r\n\
         Fennelpin-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    Some(HttpMessage::read(&mut stream, &mut Vec::new())?.status())
}

/// Starts an application that watches the cell's group until it has seen this many events. Returns their values.
fn watch_cells(
    mut members: Vec<SocketAddr>,
    after: u64,
    event_count: usize,
) -> JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let (mut revision, mut values) = (after, Vec::new());
        while values.len() < event_count {
            let name = format!("watch/group.?after={revision}&wait_ms=500");
            let call = ControlCall {
                name: &name,
                base_version: None,
                body: None,
            };
            let answer = call_until_conclusive(&mut members, &call);
            assert_eq!(answer.status, 200, "{:?}", answer.result());
            let body: Value = serde_json::from_slice(&answer.body).unwrap();
            revision = body["revision"].as_u64().unwrap();
            let events = body["events"].as_array().unwrap();
            values.extend(
                events
                    .iter()
                    .map(|event| event["value"].as_str().unwrap().to_owned()),
            );
        }
        values
    })
}

/// A fleet that is moved from one build to the other while it serves.
struct RollingChange {
    fleet: MixedCluster,
    state: AcknowledgedState,
    /// Values of the cell in the order in which they were put, from the start of the watch on.
    watched_values: Vec<String>,
    requests: usize,
}

impl RollingChange {
    fn start(build: Build) -> Self {
        let fleet = MixedCluster::new(3, 2, build);
        fleet.cluster.wait_until_stable(&MEMBERS);
        let state = AcknowledgedState::create(&fleet.cluster);
        Self {
            fleet,
            state,
            watched_values: Vec::new(),
            requests: 0,
        }
    }

    fn controls(&self) -> Vec<SocketAddr> {
        let cluster = &self.fleet.cluster;
        MEMBERS.iter().map(|n| cluster.control(*n)).collect()
    }

    /// Checks the lock, a configuration change at both proxies, a request through each of them, and a quota.
    fn assert_serves(&mut self, step: &str) {
        println!("{step}");
        self.state.assert_lock_held();
        self.state.take_number();
        self.state.put_cell();
        self.watched_values.push(self.state.cell_value.clone());
        self.state.apply_configuration();
        let version = self.state.version;
        let fronts = self.fleet.cluster.processes.plan().fronts();
        for (front, edge) in fronts.into_iter().zip(1..) {
            wait_until(&format!("{step}: version {version} at edge-{edge}"), || {
                let versions = self.fleet.cluster.versions_in_force(edge);
                (versions.last() == Some(&version)).then_some(())
            });
            self.assert_request_served(front, step);
            self.assert_quota_enforced(front, step);
        }
    }

    fn assert_request_served(&mut self, front: SocketAddrV4, step: &str) {
        wait_until(&format!("{step}: {front} serves"), || {
            self.requests += 1;
            let body = format!("request-{}", self.requests);
            (status_of(front, UNLIMITED_KEY, &body) == Some(200)).then_some(())
        });
    }

    fn assert_quota_enforced(&mut self, front: SocketAddrV4, step: &str) {
        let statuses: Vec<Option<u16>> = (0..REQUESTS_BEYOND_QUOTA)
            .map(|_| {
                self.requests += 1;
                status_of(front, LIMITED_KEY, &format!("limited-{}", self.requests))
            })
            .collect();
        assert!(
            statuses.contains(&Some(429)),
            "{step}: {front} {statuses:?}"
        );
    }

    /// Replaces a member: it shuts down and starts on the same disk.
    fn replace_member(&mut self, n: u8, build: Build) {
        self.fleet.cluster.shut_down(n);
        self.fleet.use_build(build);
        self.fleet.cluster.start(n);
        self.fleet.cluster.wait_until_stable(&MEMBERS);
    }

    /// Replaces a program of an edge machine.
    fn replace(&mut self, program: Program, n: u8, build: Build) {
        self.fleet.use_build(build);
        let cluster = &mut self.fleet.cluster;
        let name = format!("edge-{n}/{}", program.name());
        cluster.signal_program(&name, Signal::TERM);
        cluster.await_end(&name);
        cluster.processes.start(program, n, false).unwrap();
    }
}

#[rstest]
#[case::upgrade(Build::Other, Build::This)]
#[case::downgrade(Build::This, Build::Other)]
fn fleet_when_its_build_changes_process_by_process_serves_at_each_step(
    #[case] first: Build,
    #[case] second: Build,
) {
    let mut change = RollingChange::start(first);
    let controls = change.controls();
    let plan = change.fleet.cluster.processes.plan().clone();
    let addresses = HOSTS.map(|n| plan.host(n));
    let hosts = faulty_hosts::start(&addresses, &controls, &[HostBehaviour::Answer]);
    change.assert_serves("before the change");

    let start_revision = change.state.cell_revision;
    change.watched_values.clear();
    let watch = watch_cells(controls, start_revision, STEPS);

    change.replace(Program::Agent, 1, second);
    change.assert_serves("an agent replaced");
    change.replace(Program::Proxy, 2, second);
    change.assert_serves("an agent and the other machine's proxy replaced");
    let primary = change.fleet.cluster.wait_until_stable(&MEMBERS);
    let others: Vec<u8> = MEMBERS.into_iter().filter(|n| *n != primary).collect();
    change.replace_member(others[0], second);
    change.assert_serves("one member replaced");
    change.fleet.use_build(second);
    change.fleet.cluster.kill(primary);
    change.assert_serves("the primary killed");
    change.fleet.cluster.start(primary);
    change.fleet.cluster.wait_until_stable(&MEMBERS);
    change.assert_serves("two members replaced");
    let newest_primary = change.fleet.cluster.wait_until_stable(&MEMBERS);
    change.fleet.cluster.kill(newest_primary);
    change.assert_serves("the next primary killed");
    change.fleet.cluster.start(newest_primary);
    change.fleet.cluster.wait_until_stable(&MEMBERS);
    change.replace_member(others[1], second);
    change.assert_serves("all members replaced");
    change.replace(Program::Agent, 2, second);
    change.assert_serves("all agents replaced");
    change.replace(Program::Proxy, 1, second);
    change.assert_serves("all programs replaced");

    let watched = watch.join().unwrap();
    assert_eq!(watched, change.watched_values, "each put once and in order");
    change.state.assert_kept(&change.fleet.cluster);
    let received = hosts.received.lock().unwrap();
    let repeated: Vec<_> = received.iter().filter(|(_, count)| **count > 1).collect();
    assert!(
        repeated.is_empty(),
        "mutating requests run twice: {repeated:?}"
    );
}
