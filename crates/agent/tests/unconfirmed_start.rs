//! An agent starts while a member has lost contact with the primary, in simulated time. The tests check which
//! configuration versions the agent shows its proxy, and when.

use configuration::{Configuration, ProcessSettings};
use protocol::{Addr, MemberInfo, Subscriber};
use replication::{Action, Mirror, Puller, CONFIRMATION_TIMEOUT};
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const PORT: u16 = 7660;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn settings() -> ProcessSettings {
    let seeds = ["10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9"];
    let json = serde_json::json!({
        "node_name": "edge-1", "role": "agent", "ip_addr": "10.0.1.1", "zone": "z", "region": "r",
        "port_range": [PORT, PORT + 15], "seed_nodes": seeds, "beat_period_ms": 1200,
    });
    ProcessSettings::read(&json.to_string()).unwrap()
}

fn configuration(version: u64) -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"a","hostname":"h","path_prefix":"/","route_class":"pure",
        "deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

/// How a member reacts to connections.
#[derive(Clone, Copy, PartialEq)]
enum MemberState {
    /// The member responds with this version and the time since its last contact with a primary, in ms. `u32::MAX`
    /// means that it has had no contact since it was started.
    Serves { version: u64, age_ms: u32 },
    /// The member refuses connections.
    Refuses,
    /// The member never responds.
    Silent,
}

/// A member that was restarted with an old version and has had no contact with a primary since.
const OLD_AGE_UNKNOWN: MemberState = MemberState::Serves {
    version: 5,
    age_ms: u32::MAX,
};
/// A member that has lost contact with the primary for 18 s.
const OLD_AGE_18_S: MemberState = MemberState::Serves {
    version: 5,
    age_ms: 18_000,
};
/// A member that was restarted with the newest version and has had no contact with a primary since.
const NEW_AGE_UNKNOWN: MemberState = MemberState::Serves {
    version: 9,
    age_ms: u32::MAX,
};
/// A member in contact with the primary.
const NEW_AGE_3_MS: MemberState = MemberState::Serves {
    version: 9,
    age_ms: 3,
};
const REFUSING: MemberState = MemberState::Refuses;
const SILENT: MemberState = MemberState::Silent;

/// Time from which on members are in their second state, in ms.
const SECOND_STATES_FROM_MS: u64 = 300;

/// Latency of each message, in ms.
const LATENCY_MS: u64 = 2;

/// An event at the agent's end of a link.
struct Arrival {
    at_ms: u64,
    link: u64,
    /// Whether the connection is established, else a response arrives.
    is_connection: bool,
}

/// A starting agent and three members in simulated time.
struct SimulatedStart {
    now_ms: u64,
    puller: Puller,
    mirror: Mirror,
    members: Vec<MemberInfo>,
    states: [[MemberState; 3]; 2],
    /// Index of the member that each link leads to.
    links: BTreeMap<u64, usize>,
    arrivals: Vec<Arrival>,
}

impl SimulatedStart {
    fn new(first: [MemberState; 3], then: [MemberState; 3]) -> Self {
        let settings = settings();
        let member = |member_id: u64| MemberInfo {
            id: member_id,
            addr: Addr {
                ip: 0x0a00_0000 + member_id as u32,
                port: PORT,
            },
            ..MemberInfo::default()
        };
        Self {
            now_ms: 0,
            puller: agent::puller(&settings),
            mirror: agent::mirror(&settings),
            members: (1..=3).map(member).collect(),
            states: [first, then],
            links: BTreeMap::new(),
            arrivals: Vec::new(),
        }
    }

    fn state(&self, member_index: usize) -> MemberState {
        self.states[usize::from(self.now_ms >= SECOND_STATES_FROM_MS)][member_index]
    }

    /// Simulates one millisecond.
    fn step(&mut self) {
        let now = ms(self.now_ms);
        let mut actions = self.puller.tick(now);
        let due: Vec<_> = self
            .arrivals
            .extract_if(.., |arrival| arrival.at_ms <= self.now_ms)
            .collect();
        for arrival in due {
            actions.extend(self.handle_arrival(&arrival));
        }
        if self.puller.all_members_stale() {
            self.mirror.show_unconfirmed();
        }
        self.mirror.tick(now);
        for action in actions {
            self.perform(&action);
        }
        self.now_ms += 1;
    }

    fn handle_arrival(&mut self, arrival: &Arrival) -> Vec<Action> {
        let (now, link) = (ms(self.now_ms), arrival.link);
        let Some(member_index) = self.links.get(&link).copied() else {
            return Vec::new();
        };
        match self.state(member_index) {
            MemberState::Refuses => self.puller.failed(now, link),
            MemberState::Silent => Vec::new(),
            MemberState::Serves { .. } if arrival.is_connection => self.puller.connected(now, link),
            MemberState::Serves { version, age_ms } => {
                let mut member = Mirror::new(self.members[member_index].id, ms(1200));
                member.set_replicated_state(version, configuration(version), &[]);
                member.set_control_plane(1, 1, self.members.clone());
                let pull = self.mirror.pull(&Subscriber::default(), 0);
                let update = member
                    .update_for(now, &pull)
                    .unwrap_or_else(|| member.empty_update(now));
                let update = replication::Update { age_ms, ..update };
                let applied = self.mirror.apply(now, &update);
                let member_id = self.members[member_index].id;
                self.puller.answered(now, link, member_id, age_ms, applied)
            }
        }
    }

    fn perform(&mut self, action: &Action) {
        match *action {
            Action::Connect { link, addr } => {
                let member_index = self
                    .members
                    .iter()
                    .position(|member| member.addr == addr)
                    .unwrap();
                self.links.insert(link, member_index);
                self.schedule_arrival(link, LATENCY_MS, true);
            }
            Action::Pull { link, wait_ms } => {
                let pull = self.mirror.pull(&Subscriber::default(), wait_ms);
                let has_update = match self.state(self.links[&link]) {
                    MemberState::Serves { version, .. } => version > pull.index,
                    MemberState::Refuses | MemberState::Silent => false,
                };
                let response_delay_ms = if has_update { 0 } else { pull.wait_ms.into() };
                self.schedule_arrival(link, LATENCY_MS + response_delay_ms, false);
            }
            Action::Close { link } => drop(self.links.remove(&link)),
        }
    }

    fn schedule_arrival(&mut self, link: u64, delay_ms: u64, is_connection: bool) {
        self.arrivals.push(Arrival {
            at_ms: self.now_ms + delay_ms,
            link,
            is_connection,
        });
    }
}

/// Simulates a start for 4 s. Returns the versions that the agent shows, each with the time from which on it is shown,
/// in ms. The members change to their states in `then` at [`SECOND_STATES_FROM_MS`].
fn shown_versions(first: [MemberState; 3], then: [MemberState; 3]) -> Vec<(u64, u64)> {
    let mut simulation = SimulatedStart::new(first, then);
    let mut versions: Vec<(u64, u64)> = Vec::new();
    while simulation.now_ms < 4000 {
        let now_ms = simulation.now_ms;
        simulation.step();
        let version = simulation.mirror.snapshot().configuration.version;
        if versions.last().map_or(0, |last| last.0) != version {
            versions.push((version, now_ms));
        }
    }
    versions
}

#[rstest]
#[case::others_respond_at_once([OLD_AGE_UNKNOWN, NEW_AGE_3_MS, NEW_AGE_3_MS], [OLD_AGE_UNKNOWN, NEW_AGE_3_MS, NEW_AGE_3_MS], &[9])]
#[case::no_contact_for_18_s([OLD_AGE_18_S, NEW_AGE_3_MS, NEW_AGE_3_MS], [OLD_AGE_18_S, NEW_AGE_3_MS, NEW_AGE_3_MS], &[9])]
#[case::another_member_responds_later([OLD_AGE_UNKNOWN, REFUSING, REFUSING], [OLD_AGE_UNKNOWN, REFUSING, NEW_AGE_3_MS], &[9])]
#[case::two_without_contact([OLD_AGE_UNKNOWN, OLD_AGE_18_S, REFUSING], [OLD_AGE_UNKNOWN, OLD_AGE_18_S, NEW_AGE_3_MS], &[9])]
#[case::all_restarted([OLD_AGE_UNKNOWN, NEW_AGE_UNKNOWN, NEW_AGE_UNKNOWN], [OLD_AGE_UNKNOWN, NEW_AGE_UNKNOWN, NEW_AGE_3_MS], &[9])]
#[case::no_other_member_is_reachable([OLD_AGE_UNKNOWN, SILENT, SILENT], [OLD_AGE_UNKNOWN, SILENT, SILENT], &[5])]
#[case::no_member_has_a_primary([NEW_AGE_UNKNOWN, OLD_AGE_UNKNOWN, OLD_AGE_UNKNOWN], [NEW_AGE_UNKNOWN, OLD_AGE_UNKNOWN, OLD_AGE_UNKNOWN], &[9])]
fn starting_agent_shows_expected_versions_whichever_member_responds_first(
    #[case] first: [MemberState; 3],
    #[case] then: [MemberState; 3],
    #[case] versions: &[u64],
) {
    for rotation in 0..3 {
        let (mut first, mut then) = (first, then);
        first.rotate_left(rotation);
        then.rotate_left(rotation);
        let shown = shown_versions(first, then);
        assert_eq!(
            shown.iter().map(|entry| entry.0).collect::<Vec<_>>(),
            versions,
            "{shown:?}"
        );
        let latest_ms = CONFIRMATION_TIMEOUT.as_millis() as u64 + 10;
        assert!(
            shown[0].1 <= latest_ms,
            "the configuration was withheld too long: {shown:?}"
        );
    }
}

#[test]
fn up_to_date_member_without_newer_version_confirms_at_once() {
    let shown = shown_versions(
        [NEW_AGE_UNKNOWN, NEW_AGE_3_MS, SILENT],
        [NEW_AGE_UNKNOWN, NEW_AGE_3_MS, SILENT],
    );
    assert_eq!(shown.len(), 1);
    assert!(
        shown[0].1 < 70,
        "the agent waited for a newer version: {shown:?}"
    );
}

#[test]
fn newest_version_is_shown_at_once_if_all_members_are_stale() {
    let shown = shown_versions(
        [NEW_AGE_UNKNOWN, NEW_AGE_UNKNOWN, OLD_AGE_UNKNOWN],
        [NEW_AGE_UNKNOWN, NEW_AGE_UNKNOWN, OLD_AGE_UNKNOWN],
    );
    assert_eq!(shown.len(), 1);
    assert!(
        shown[0].1 < 20,
        "the agent waited although all members had responded as stale: {shown:?}"
    );
}
