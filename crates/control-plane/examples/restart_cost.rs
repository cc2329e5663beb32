//! What hundreds of changes cost a replica: the longest that its file gets, the time of a new start, the memory of both.
//!
//! `restart_cost ROUTES CHANGES UNDER_WAY FILE` plays the changes and leaves the records; `restart_cost FILE` starts
//! on them. Two processes, so that each peak is its own.

use configuration::FaultBudget;
use control_plane::member::{Input, Member, MemberConfig, Output};
use control_plane::replicated_state::ReplicatedState;
use protocol::{Change, MemberInfo, MembershipConfig, Message};
use std::time::{Duration, Instant};

const EPOCH: u64 = 1 << 20;

fn body(version: u64, routes: usize) -> Vec<u8> {
    let route = |n: usize| {
        // Every tenth route differs from version to version.
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

fn seat(id: u64) -> MemberInfo {
    MemberInfo {
        id,
        addr: protocol::Addr {
            ip: id as u32,
            port: 1,
        },
        ..MemberInfo::default()
    }
}

fn config() -> MemberConfig {
    MemberConfig {
        local_member: seat(2),
        bootstrap_voters: None,
        fault_budget: FaultBudget::default(),
        lease_duration: Duration::from_secs(1),
        request_timeout: Duration::from_millis(3500),
        disk_stall_timeout: Duration::from_millis(600),
    }
}

fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or_default()
}

fn take(member: &mut Member, now: Duration, input: Input, disk: &mut Vec<Vec<u8>>) -> usize {
    let mut inputs = vec![input];
    let mut rewrites = 0;
    while let Some(input) = inputs.pop() {
        let mut out = Vec::new();
        member.step(now, input, &mut out);
        for output in out {
            if let Output::Write {
                ticket,
                records,
                rewrite,
            } = output
            {
                if rewrite {
                    disk.clear();
                    rewrites += 1;
                }
                disk.extend(records);
                inputs.push(Input::WriteCompleted {
                    ticket,
                    result: Ok(()),
                });
            }
        }
    }
    rewrites
}

fn play(routes: usize, changes: u64, under_way: u64) -> Vec<Vec<u8>> {
    let voters = vec![seat(1), seat(2)];
    let previous_voters = voters.clone();
    let view = MembershipConfig {
        epoch: EPOCH,
        primary: 1,
        replicas: vec![1, 2],
        voters,
        previous_voters,
    };
    let mut member = Member::new(config(), &[], Duration::ZERO, 1);
    let (mut disk, mut longest, mut rewrites) = (Vec::new(), 0, 0);
    let snapshot = Some(ReplicatedState::default().snapshot());
    let from = seat(1);
    let install = Input::Message {
        from: from.clone(),
        message: Message::InstallMembership {
            membership: view,
            snapshot,
        },
    };
    take(&mut member, Duration::ZERO, install, &mut disk);
    let started = Instant::now();
    let mut stepping = Duration::ZERO;
    for index in 1..=changes {
        let now = Duration::from_millis(50 * index);
        let change = Change::Configure {
            base_version: index - 1,
            is_amendment: false,
            body: body(index, routes),
        };
        let append = Message::AppendChange {
            epoch: EPOCH,
            index,
            change,
        };
        let before = Instant::now();
        rewrites += take(
            &mut member,
            now,
            Input::Message {
                from: from.clone(),
                message: append,
            },
            &mut disk,
        );
        if index.is_multiple_of(5) {
            let committed = index.saturating_sub(under_way);
            let renew = Message::RenewLease {
                epoch: EPOCH,
                requested_at_ms: 1,
                commit_index: committed,
                echoed_clock_ms: 0,
            };
            rewrites += take(
                &mut member,
                now,
                Input::Message {
                    from: from.clone(),
                    message: renew,
                },
                &mut disk,
            );
        }
        stepping += before.elapsed();
        longest = longest.max(disk.iter().map(Vec::len).sum::<usize>());
    }
    println!(
        "routes {routes}, body {} B, changes {changes}, under way {under_way}: file at most {} KiB, {rewrites} rewrites, {:.2} ms a change, peak {} KiB, {:.1} s in all",
        body(changes, routes).len(),
        longest >> 10,
        stepping.as_secs_f64() * 1e3 / changes as f64,
        peak_kib(),
        started.elapsed().as_secs_f64()
    );
    disk
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [routes, changes, under_way, file] => {
            let number = |text: &String| text.parse::<u64>().unwrap_or_default();
            let disk = play(number(routes) as usize, number(changes), number(under_way));
            let mut bytes = Vec::new();
            for record in disk {
                bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
                bytes.extend_from_slice(&record);
            }
            std::fs::write(file, bytes).expect("the file can be written");
        }
        [file] => {
            let bytes = std::fs::read(file).expect("the file can be read");
            let mut rest = bytes.as_slice();
            let mut records = Vec::new();
            while let Some((head, tail)) = rest.split_first_chunk::<4>() {
                let (record, after) = tail.split_at(u32::from_le_bytes(*head) as usize);
                records.push(record.to_vec());
                rest = after;
            }
            drop(bytes);
            let before = Instant::now();
            let member = Member::new(config(), &records, Duration::ZERO, 1);
            let took = before.elapsed();
            let count = records.len();
            let kib = records.iter().map(Vec::len).sum::<usize>() >> 10;
            println!(
                "  start on {count} records, {kib} KiB: {:.1} ms, peak {} KiB, sound {}",
                took.as_secs_f64() * 1e3,
                peak_kib(),
                member.replay_error().is_none()
            );
        }
        _ => eprintln!("restart_cost ROUTES CHANGES UNDER_WAY FILE | restart_cost FILE"),
    }
}
