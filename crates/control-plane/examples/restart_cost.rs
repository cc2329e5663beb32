//! Measures the cost of many changes for a replica: the largest size of its log, the restart time and the peak memory.
//!
//! `restart_cost ROUTES CHANGES UNCOMMITTED FILE` appends the changes and writes the log's records to the file;
//! `restart_cost FILE` starts a member from these records. Two processes are used so that each has its own memory peak.

use configuration::FaultBudget;
use control_plane::member::{Input, Member, MemberConfig, Output};
use control_plane::replicated_state::ReplicatedState;
use protocol::{Change, MemberInfo, MembershipConfig, Message};
use std::time::{Duration, Instant};

/// Epoch of the membership configuration.
const EPOCH: u64 = 1 << 20;

/// Returns a configuration with `routes` routes as JSON.
fn configuration_body(version: u64, routes: usize) -> Vec<u8> {
    let route = |n: usize| {
        // Every tenth route changes with each version.
        let note = if n.is_multiple_of(10) { version } else { 0 };
        format!(
            r#"{{"name":"r-{n}","hostname":"h{n}.example","path_prefix":"/p{n}/","route_class":"pure","deadline_ms":4000,"target_ms":600,"rank":0,"service":"s","max_tries":2,"affine":true,"resumable":true,"gap_aim_ms":400,"note":"{note}"}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s"}}]}}"#,
        routes.join(",")
    )
    .into_bytes()
}

fn member_info(id: u64) -> MemberInfo {
    MemberInfo {
        id,
        addr: protocol::Addr {
            ip: id as u32,
            port: 1,
        },
        ..MemberInfo::default()
    }
}

fn member_config() -> MemberConfig {
    MemberConfig {
        local_member: member_info(2),
        bootstrap_voters: None,
        fault_budget: FaultBudget::default(),
        lease_duration: Duration::from_secs(1),
        request_timeout: Duration::from_millis(3500),
        disk_stall_timeout: Duration::from_millis(600),
        watch_history: Duration::from_secs(20),
    }
}

/// Returns the peak resident memory of this process in KiB; 0 if it can't be read.
fn peak_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or_default()
}

/// Passes an input to the member and completes all writes at once. Returns the number of rewrites of the log.
fn step_and_write(
    member: &mut Member,
    now: Duration,
    input: Input,
    log: &mut Vec<Vec<u8>>,
) -> usize {
    let mut inputs = vec![input];
    let mut rewrites = 0;
    while let Some(input) = inputs.pop() {
        let mut outputs = Vec::new();
        member.step(now, input, &mut outputs);
        for output in outputs {
            let Output::Write {
                ticket,
                records,
                rewrite,
            } = output
            else {
                continue;
            };
            if rewrite {
                log.clear();
                rewrites += 1;
            }
            log.extend(records);
            inputs.push(Input::WriteCompleted {
                ticket,
                result: Ok(()),
            });
        }
    }
    rewrites
}

fn from_primary(message: Message) -> Input {
    Input::Message {
        from: member_info(1),
        message,
    }
}

/// Returns the input that makes member 2 a replica of the primary, member 1.
fn install_membership() -> Input {
    let voters = vec![member_info(1), member_info(2)];
    from_primary(Message::InstallMembership {
        membership: MembershipConfig {
            epoch: EPOCH,
            primary: 1,
            replicas: vec![1, 2],
            voters: voters.clone(),
            previous_voters: voters,
        },
        snapshot: Some(ReplicatedState::default().snapshot()),
    })
}

fn append_change(index: u64, routes: usize) -> Input {
    from_primary(Message::AppendChange {
        epoch: EPOCH,
        index,
        change: Change::Configure {
            base_version: index - 1,
            is_amendment: false,
            body: configuration_body(index, routes),
        },
    })
}

fn renew_lease(commit_index: u64) -> Input {
    from_primary(Message::RenewLease {
        epoch: EPOCH,
        requested_at_ms: 1,
        commit_index,
        echoed_clock_ms: 0,
    })
}

/// Appends changes of which the latest `uncommitted` stay uncommitted, and prints the cost. Returns the log's records.
fn append_changes(routes: usize, changes: u64, uncommitted: u64) -> Vec<Vec<u8>> {
    let mut member = Member::new(member_config(), &[], Duration::ZERO, 1);
    let (mut log, mut max_bytes, mut rewrites) = (Vec::new(), 0, 0);
    step_and_write(&mut member, Duration::ZERO, install_membership(), &mut log);
    let started_at = Instant::now();
    let mut step_time = Duration::ZERO;
    for index in 1..=changes {
        let now = Duration::from_millis(50 * index);
        let append = append_change(index, routes);
        let step_started_at = Instant::now();
        rewrites += step_and_write(&mut member, now, append, &mut log);
        if index.is_multiple_of(5) {
            let renew = renew_lease(index.saturating_sub(uncommitted));
            rewrites += step_and_write(&mut member, now, renew, &mut log);
        }
        step_time += step_started_at.elapsed();
        max_bytes = max_bytes.max(log.iter().map(Vec::len).sum::<usize>());
    }
    println!(
        "routes {routes}, body {} B, changes {changes}, uncommitted {uncommitted}: log at most {} KiB, {rewrites} rewrites, {:.2} ms a change, peak {} KiB, {:.1} s in all",
        configuration_body(changes, routes).len(),
        max_bytes >> 10,
        step_time.as_secs_f64() * 1e3 / changes as f64,
        peak_memory_kib(),
        started_at.elapsed().as_secs_f64()
    );
    log
}

/// Writes records with a length prefix of four bytes each.
fn write_records(path: &str, records: &[Vec<u8>]) {
    let mut bytes = Vec::new();
    for record in records {
        bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
        bytes.extend_from_slice(record);
    }
    std::fs::write(path, bytes).expect("the file can be written");
}

/// Reads the records that [`write_records`] wrote.
fn read_records(path: &str) -> Vec<Vec<u8>> {
    let bytes = std::fs::read(path).expect("the file can be read");
    let mut rest = bytes.as_slice();
    let mut records = Vec::new();
    while let Some((head, tail)) = rest.split_first_chunk::<4>() {
        let (record, after) = tail.split_at(u32::from_le_bytes(*head) as usize);
        records.push(record.to_vec());
        rest = after;
    }
    records
}

/// Starts a member from the records and prints the cost.
fn measure_restart(records: &[Vec<u8>]) {
    let started_at = Instant::now();
    let member = Member::new(member_config(), records, Duration::ZERO, 1);
    let elapsed = started_at.elapsed();
    println!(
        "  start on {} records, {} KiB: {:.1} ms, peak {} KiB, intact {}",
        records.len(),
        records.iter().map(Vec::len).sum::<usize>() >> 10,
        elapsed.as_secs_f64() * 1e3,
        peak_memory_kib(),
        member.replay_error().is_none()
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [routes, changes, uncommitted, path] => {
            let number = |text: &String| text.parse::<u64>().unwrap_or_default();
            let routes = number(routes) as usize;
            let log = append_changes(routes, number(changes), number(uncommitted));
            write_records(path, &log);
        }
        [path] => measure_restart(&read_records(path)),
        _ => eprintln!("restart_cost ROUTES CHANGES UNCOMMITTED FILE | restart_cost FILE"),
    }
}
