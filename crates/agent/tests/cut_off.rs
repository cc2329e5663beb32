//! An agent that starts while a member is cut off, on simulated time: what it shows its proxy, and when.

use configuration::{Configuration, ProcessSettings};
use protocol::{Addr, MemberInfo, Subscriber};
use replication::{Action, Mirror, CONNECT_TIMEOUT};
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const PORT: u16 = 7660;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn boot() -> ProcessSettings {
    let seeds = ["10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9"];
    let json = serde_json::json!({
        "node_name": "edge-1", "role": "agent", "ip_addr": "10.0.1.1", "zone": "z", "region": "r",
        "port_range": [PORT, PORT + 15], "seed_nodes": seeds, "beat_period_ms": 1200,
    });
    ProcessSettings::read(&json.to_string()).unwrap()
}

fn document(version: u64) -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"a","hostname":"h","path_prefix":"/","route_class":"pure",
        "deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

/// What becomes of a member's connections.
#[derive(Clone, Copy, PartialEq)]
enum State {
    /// It answers with this version, and how old it may be.
    Serves { version: u64, age_ms: u32 },
    /// Nobody listens.
    Refuses,
    /// Nothing comes back.
    Silent,
}

const CUT_OFF: State = State::Serves {
    version: 5,
    age_ms: u32::MAX,
};
const LONG_CUT_OFF: State = State::Serves {
    version: 5,
    age_ms: 18_000,
};
const NEWER: State = State::Serves {
    version: 9,
    age_ms: u32::MAX,
};
const WELL: State = State::Serves {
    version: 9,
    age_ms: 3,
};
const GONE: State = State::Refuses;
const SILENT: State = State::Silent;

/// Versions that a starting agent shows, each with the time of its coming, in ms. The second states hold from 300 ms
/// on. Each message takes 2 ms.
fn shown(first: [State; 3], then: [State; 3]) -> Vec<(u64, u64)> {
    let boot = boot();
    let (mut puller, mut mirror) = (agent::puller(&boot), agent::mirror(&boot));
    let members: Vec<MemberInfo> = (1..=3)
        .map(|n| MemberInfo {
            id: n,
            addr: Addr {
                ip: 0x0a00_0000 + n as u32,
                port: PORT,
            },
            ..MemberInfo::default()
        })
        .collect();
    let mut links: BTreeMap<u64, usize> = BTreeMap::new();
    // When something comes of a link, and whether it is its connection.
    let mut coming: Vec<(u64, u64, bool)> = Vec::new();
    let mut versions = Vec::new();
    for now in 0..4000 {
        let state = |n: usize| if now < 300 { first[n] } else { then[n] };
        let mut actions = puller.tick(ms(now));
        let due: Vec<_> = coming.extract_if(.., |c| c.0 <= now).collect();
        for (_, link, connects) in due {
            let Some(n) = links.get(&link).copied() else {
                continue;
            };
            actions.extend(match state(n) {
                State::Refuses => puller.failed(ms(now), link),
                State::Silent => continue,
                State::Serves { .. } if connects => puller.connected(ms(now), link),
                State::Serves { version, age_ms } => {
                    let mut member = Mirror::new(members[n].id, ms(1200));
                    member.set_replicated_state(version, document(version), &[]);
                    member.set_control_plane(1, 1, members.clone());
                    let pull = mirror.pull(&Subscriber::default(), 0);
                    let told = member
                        .update_for(ms(now), &pull)
                        .unwrap_or_else(|| member.empty_update(ms(now)));
                    let told = replication::Update { age_ms, ..told };
                    let taken = mirror.apply(ms(now), &told);
                    puller.answered(ms(now), link, members[n].id, age_ms, taken)
                }
            });
        }
        if puller.all_members_stale() {
            mirror.show_unconfirmed();
        }
        mirror.tick(ms(now));
        for action in actions {
            match action {
                Action::Connect { link, addr } => {
                    links.insert(link, members.iter().position(|m| m.addr == addr).unwrap());
                    coming.push((now + 2, link, true));
                }
                Action::Pull { link, wait_ms } => {
                    let pull = mirror.pull(&Subscriber::default(), wait_ms);
                    let has_news = match state(links[&link]) {
                        State::Serves { version, .. } => version > pull.index,
                        State::Refuses | State::Silent => false,
                    };
                    let wait = if has_news { 0 } else { u64::from(pull.wait_ms) };
                    coming.push((now + 2 + wait, link, false));
                }
                Action::Close { link } => drop(links.remove(&link)),
            }
        }
        let version = mirror.snapshot().configuration.version;
        if versions.last().map_or(0, |v: &(u64, u64)| v.0) != version {
            versions.push((version, now));
        }
    }
    versions
}

#[rstest]
#[case::the_others_answer_at_once([CUT_OFF, WELL, WELL], [CUT_OFF, WELL, WELL], &[9])]
#[case::cut_off_without_a_restart([LONG_CUT_OFF, WELL, WELL], [LONG_CUT_OFF, WELL, WELL], &[9])]
#[case::the_others_come_a_little_later([CUT_OFF, GONE, GONE], [CUT_OFF, GONE, WELL], &[9])]
#[case::two_are_cut_off([CUT_OFF, LONG_CUT_OFF, GONE], [CUT_OFF, LONG_CUT_OFF, WELL], &[9])]
#[case::all_were_restarted([CUT_OFF, NEWER, NEWER], [CUT_OFF, NEWER, WELL], &[9])]
#[case::nobody_else_is_reached([CUT_OFF, SILENT, SILENT], [CUT_OFF, SILENT, SILENT], &[5])]
#[case::no_member_has_a_primary([NEWER, CUT_OFF, CUT_OFF], [NEWER, CUT_OFF, CUT_OFF], &[9])]
fn whatever_member_answers_first(
    #[case] first: [State; 3],
    #[case] then: [State; 3],
    #[case] versions: &[u64],
) {
    for turn in 0..3 {
        let (mut first, mut then) = (first, then);
        first.rotate_left(turn);
        then.rotate_left(turn);
        let shown = shown(first, then);
        assert_eq!(
            shown.iter().map(|s| s.0).collect::<Vec<_>>(),
            versions,
            "{shown:?}"
        );
        let late = CONNECT_TIMEOUT.as_millis() as u64 + 10;
        assert!(shown[0].1 <= late, "service waits no longer: {shown:?}");
    }
}

#[test]
fn one_that_has_a_primary_confirms_at_once_what_it_has_no_news_of() {
    let shown = shown([NEWER, WELL, SILENT], [NEWER, WELL, SILENT]);
    assert_eq!(shown.len(), 1);
    assert!(shown[0].1 < 70, "it doesn't wait for news: {shown:?}");
}

#[test]
fn after_a_loss_of_the_whole_core_service_returns_at_once() {
    let shown = shown([NEWER, NEWER, CUT_OFF], [NEWER, NEWER, CUT_OFF]);
    assert_eq!(shown.len(), 1);
    assert!(
        shown[0].1 < 20,
        "all have answered that they know no better: {shown:?}"
    );
}
