//! An operator that changes the configuration again and again, and one that reads it.

use super::clients::DEADLINE;
use super::harness::callers::{configuration_version, ChangeRequest, READ};
use super::harness::CALL_TIMEOUT;
use super::recorder::{Recorder, VersionRecord};
use super::stop_signal::StopSignal;
use fennelpin_cli::control_client::{call_member, ControlAnswer, ControlCall};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest pause between two changes, or two reads.
const MAX_PAUSE_MS: u64 = 600;
/// Pause before the next member is called.
const CALL_PAUSE: Duration = Duration::from_millis(20);
/// How long a call is sent again and again. Members may be away for longer than a grace.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// A change that builds on the one before. It changes all routes, and one tells the version.
pub fn change(version: u64) -> ChangeRequest {
    // No shorter than what clients bear: it is theirs that counts.
    let deadline_ms = DEADLINE.as_millis() + u128::from(version % 3) * 250;
    let route = |name: &str, path: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"h.example","path_prefix":"/{path}/","route_class":"{kind}","deadline_ms":{deadline_ms},"target_ms":200,"service":"s","max_tries":2,"resumable":{}}}"#,
            name == "more"
        )
    };
    let routes = [
        route("once", "once", "mutating"),
        route("pure", "pure", "pure"),
        route("live", "live", "streaming"),
        route("more", "more", "streaming"),
        route("told", &format!("v{version}"), "pure"),
    ];
    let body = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s","health_path":"/health","conn_limit":400}}]}}"#,
        routes.join(",")
    );
    ChangeRequest {
        base: version - 1,
        version,
        body,
    }
}

/// Calls the members in turn until one gives a clear answer.
pub fn call(
    members: &mut [SocketAddr],
    call: &ControlCall,
    stop: &StopSignal,
) -> Option<ControlAnswer> {
    let end = Instant::now() + GIVE_UP_AFTER;
    while Instant::now() < end {
        match call_member(members[0], call, CALL_TIMEOUT) {
            Ok(answer) if answer.status < 500 => return Some(answer),
            _ => members.rotate_left(1),
        }
        stop.wait(CALL_PAUSE);
    }
    None
}

/// Sends one change after the other until the end of the run.
pub fn change_until(
    mut members: Vec<SocketAddr>,
    seed: u64,
    recorder: &Recorder,
    stop: &StopSignal,
) {
    let mut random = Pcg64Mcg::new(u128::from(seed) << 8 | 3);
    let never = StopSignal::default();
    for version in 2.. {
        if stop.wait(Duration::from_millis(random.random_range(20..MAX_PAUSE_MS))) {
            return;
        }
        let change = change(version);
        let sent_at = Instant::now();
        match call(&mut members, &change.call(), &never) {
            Some(answer) if answer.status == 200 => recorder.record_acknowledged(VersionRecord {
                version,
                sent_at,
                answered_at: Instant::now(),
            }),
            Some(answer) => {
                recorder.record_failure(format!(
                    "change {version} was refused: {:?}",
                    answer.result()
                ));
                return;
            }
            None => {
                recorder.record_failure(format!("change {version}: no clear answer"));
                return;
            }
        }
    }
}

/// Reads the configuration at members in turn until the end of the run.
pub fn read_until(members: &[SocketAddr], seed: u64, recorder: &Recorder, stop: &StopSignal) {
    let mut random = Pcg64Mcg::new(u128::from(seed) << 8 | 5);
    while !stop.wait(Duration::from_millis(
        random.random_range(10..MAX_PAUSE_MS / 4),
    )) {
        let member = members[random.random_range(0..members.len())];
        let sent_at = Instant::now();
        // A member that can't be sure of the newest says 503, and one that is away nothing.
        match call_member(member, &READ, CALL_TIMEOUT) {
            Ok(answer) if answer.status == 200 => recorder.record_read(VersionRecord {
                version: configuration_version(&answer),
                sent_at,
                answered_at: Instant::now(),
            }),
            Ok(answer) if answer.status < 500 => {
                recorder.record_failure(format!("a read was refused: {:?}", answer.result()));
            }
            _ => {}
        }
    }
}
