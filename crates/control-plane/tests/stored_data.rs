//! Compatibility with the state directories that release bb16a52 wrote (`tests/fixtures/bb16a52/`): they stay readable,
//! each field has the value that was written, and the same writes give the same bytes.
//!
//! - `appended`: two incarnations of a member; the second one appended each kind of record.
//! - `torn`: the same, without the last five bytes of the log, as after a power loss.
//! - `rewritten`: a member whose log was rewritten once.

use append_log::{AppendLog, FileCondition, TruncatedTail};
use configuration::FaultBudget;
use control_plane::applied_requests::request_fingerprint;
use control_plane::member::{Member, MemberConfig};
use control_plane::recovery::SurvivingReplica;
use control_plane::replicated_state::ReplicatedState;
use control_plane::runtime::identity::{
    latest_identity, Identity, LogOwner, StartContext, StoredLog,
};
use control_plane::runtime::storage::{start, StateFile, StorageEvent, Write};
use protocol::{
    Addr, Change, HostRecord, MemberInfo, MembershipConfig, OriginUpdate, Record, Snapshot,
};
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Names of the files in a state directory.
const FILES: [&str; 3] = ["identity", "ledger", "roster"];
/// Id of the member, which is derived from its address.
const MEMBER_ID: u64 = 14_290_127_263_459_913_879;
const FIRST_EPOCH: u64 = (1 << 20) + 2;
const SECOND_EPOCH: u64 = (2 << 20) + 5;
const VERSION_3: &str = r#"{"version":3,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/a/","route_class":"pure","deadline_ms":1000,"service":"s"}],"services":[{"name":"s","health_path":"/health","conn_limit":10}],"limits":{}}"#;
const LIMITS_OF_VERSION_5: &str = r#"{"version":5,"limits":{}}"#;

/// Records that are written to one file in one call.
struct Batch {
    file: StateFile,
    rewrite: bool,
    records: Vec<Vec<u8>>,
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/bb16a52")
        .join(name)
}

/// Copies a fixture to a temporary directory, because opening a log may truncate it.
fn copy_of(name: &str) -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    for file in FILES {
        let source = fixture(name).join(file);
        if source.exists() {
            std::fs::copy(source, dir.path().join(file)).unwrap();
        }
    }
    dir
}

fn start_context(bootstrap: bool, clock_ms: u64) -> StartContext {
    let addr = |text: &str| text.parse().unwrap();
    StartContext {
        control: addr("10.1.0.1:8146"),
        seeds: ["10.1.0.1:8146", "10.2.0.1:8146", "10.3.0.1:8146"]
            .map(addr)
            .to_vec(),
        port: 7660,
        bootstrap,
        random: 77,
        clock_ms,
    }
}

fn member_info(id: u64, number: u8) -> MemberInfo {
    let ip = 0x0a00_0001 + (u32::from(number) << 16);
    MemberInfo {
        id,
        name: format!("core-{number}"),
        addr: Addr { ip, port: 7660 },
        control_addr: Addr { ip, port: 8146 },
        zone: format!("zone-{number}"),
        region: "région".into(),
    }
}

fn first_membership() -> MembershipConfig {
    let voters = vec![
        member_info(MEMBER_ID, 1),
        member_info(2, 2),
        member_info(3, 3),
    ];
    MembershipConfig {
        epoch: FIRST_EPOCH,
        primary: 2,
        replicas: vec![2, 3],
        voters: voters.clone(),
        previous_voters: voters,
    }
}

fn second_membership() -> MembershipConfig {
    MembershipConfig {
        epoch: SECOND_EPOCH,
        primary: MEMBER_ID,
        replicas: vec![MEMBER_ID, 2],
        voters: vec![
            member_info(MEMBER_ID, 1),
            member_info(2, 2),
            member_info(4, 4),
        ],
        previous_voters: first_membership().voters,
    }
}

fn first_snapshot() -> Snapshot {
    Snapshot {
        index: 7,
        configuration: VERSION_3.into(),
        applied_requests: vec![request_fingerprint(0, false, VERSION_3.as_bytes())],
        drains: vec!["i-1".into(), "i-2".into()],
        coordination: None,
    }
}

fn last_snapshot() -> Snapshot {
    Snapshot {
        index: 11,
        configuration: VERSION_3.replace(":3,", ":5,"),
        applied_requests: vec![
            request_fingerprint(0, false, VERSION_3.as_bytes()),
            request_fingerprint(3, false, VERSION_3.as_bytes()),
        ],
        drains: vec!["i-3".into()],
        coordination: None,
    }
}

fn change(index: u64, change: Change) -> Record {
    Record::Change {
        epoch: SECOND_EPOCH,
        index,
        change,
    }
}

/// The records of `appended` after the owner record, in the batches in which they were written.
fn appended_records() -> Vec<Vec<Record>> {
    let version_4 = VERSION_3.replace(":3,", ":4,");
    vec![
        vec![Record::Promised { epoch: FIRST_EPOCH }],
        vec![Record::Accepted {
            membership: first_membership(),
            snapshot: None,
        }],
        vec![Record::Promised {
            epoch: SECOND_EPOCH,
        }],
        vec![Record::Accepted {
            membership: second_membership(),
            snapshot: Some(first_snapshot()),
        }],
        vec![change(
            8,
            Change::Configure {
                base_version: 3,
                is_amendment: false,
                body: version_4.into_bytes(),
            },
        )],
        vec![change(
            9,
            Change::Configure {
                base_version: 4,
                is_amendment: true,
                body: LIMITS_OF_VERSION_5.into(),
            },
        )],
        vec![
            change(10, Change::Drain { host: "i-3".into() }),
            change(
                11,
                Change::Forget {
                    hosts: vec!["i-1".into(), "i-2".into()],
                },
            ),
        ],
        vec![Record::Committed { index: 11 }],
    ]
}

/// The records of `rewritten` after the owner record.
fn rewritten_records() -> Vec<Record> {
    vec![
        Record::Promised {
            epoch: SECOND_EPOCH + 1,
        },
        Record::Accepted {
            membership: second_membership(),
            snapshot: Some(last_snapshot()),
        },
        Record::Committed { index: 11 },
    ]
}

fn known_hosts() -> OriginUpdate {
    let host = |id: &str, addr, zone: &str, capacity| HostRecord {
        id: id.into(),
        service: "s".into(),
        addr,
        zone: zone.into(),
        capacity,
        phase: 1,
        ..HostRecord::default()
    };
    let addr = |ip, port| Addr { ip, port };
    OriginUpdate {
        hosts: vec![
            host("i-1", addr(0x0a00_0909, 80), "zone-1", 4),
            host("i-2", addr(0x0a00_090a, 81), "zone-2", 8),
        ],
        ..OriginUpdate::default()
    }
}

fn initial_voters() -> Vec<MemberInfo> {
    start_context(true, 0).identity(None).initial_voters
}

/// The member's identity in the incarnation that started at `clock_ms`. An incarnation number is the time of day in ms
/// above twenty random bits.
fn identity(clock_ms: u64) -> Identity {
    Identity {
        id: MEMBER_ID,
        incarnation: (clock_ms << 20) + 77,
        initial_voters: initial_voters(),
    }
}

fn encoded(records: &[Record]) -> Vec<Vec<u8>> {
    records.iter().map(protocol::encode_record).collect()
}

fn log_batches(batches: &[Vec<Record>]) -> Vec<Batch> {
    let batch = |records: &Vec<Record>| Batch {
        file: StateFile::Log,
        rewrite: false,
        records: encoded(records),
    };
    batches.iter().map(batch).collect()
}

/// Opens a state directory with the current code and writes `batches`, one sync each.
fn write_in_one_incarnation(dir: &Path, context: StartContext, batches: Vec<Batch>) {
    let (sender, events) = std::sync::mpsc::channel();
    let disk = start(dir.into(), context, move |event| drop(sender.send(event))).unwrap();
    assert!(matches!(events.recv().unwrap(), StorageEvent::Open { .. }));
    for (ticket, batch) in (1..).zip(batches) {
        let Batch {
            file,
            rewrite,
            records,
        } = batch;
        disk.send(Write {
            ticket,
            records,
            rewrite,
            file,
        })
        .unwrap();
        // The storage thread reports no completion for the host cache.
        if file == StateFile::Log {
            let event = events.recv().unwrap();
            assert!(
                matches!(event, StorageEvent::Wrote { ticket: t, result: Ok(()) } if t == ticket),
                "{event:?}"
            );
        }
    }
    drop(disk);
    assert!(
        events.recv().is_err(),
        "the storage thread ends when its sender is dropped"
    );
}

fn assert_same_files(dir: &Path, name: &str) {
    for file in FILES {
        let stored = std::fs::read(fixture(name).join(file)).ok();
        let written = std::fs::read(dir.join(file)).ok();
        assert_eq!(written, stored, "{name}/{file}");
    }
}

fn stored_records(dir: &Path, file: &str) -> Vec<Vec<u8>> {
    AppendLog::open(dir, file).unwrap().1
}

fn assert_log(stored: &[Vec<u8>], owner: &Identity, records: &[Record]) {
    let owner = LogOwner {
        identity: owner.clone(),
    };
    assert_eq!(
        protocol::decode_record::<LogOwner>(&stored[0]).unwrap(),
        owner
    );
    assert_eq!(protocol::encode_record(&owner), stored[0]);
    let decoded: Vec<Record> = stored[1..]
        .iter()
        .map(|bytes| protocol::decode_record(bytes).unwrap())
        .collect();
    assert_eq!(decoded, records);
    assert_eq!(encoded(&decoded), stored[1..], "encoded again");
}

#[test]
fn identity_file_when_read_gives_both_incarnations() {
    let dir = copy_of("appended");
    let stored = stored_records(dir.path(), "identity");
    let decoded: Vec<Identity> = stored
        .iter()
        .map(|bytes| protocol::decode_record(bytes).unwrap())
        .collect();
    assert_eq!(decoded, [identity(1_000), identity(2_000)]);
    assert_eq!(latest_identity(&stored).unwrap(), Some(identity(2_000)));
    let encoded_again: Vec<Vec<u8>> = decoded.iter().map(protocol::encode_record).collect();
    assert_eq!(encoded_again, stored);
    let voters = initial_voters();
    assert_eq!(voters.len(), 3);
    assert_eq!((voters[0].id, &*voters[0].name), (MEMBER_ID, ""));
}

#[test]
fn log_file_when_read_gives_each_kind_of_record() {
    let dir = copy_of("appended");
    let stored = stored_records(dir.path(), "ledger");
    assert_log(&stored, &identity(1_000), &appended_records().concat());
}

#[test]
fn log_file_when_rewritten_begins_with_its_owner() {
    let dir = copy_of("rewritten");
    let stored = stored_records(dir.path(), "ledger");
    assert_log(&stored, &identity(3_000), &rewritten_records());
    let identities = stored_records(dir.path(), "identity");
    assert_eq!(latest_identity(&identities).unwrap(), Some(identity(3_000)));
}

#[test]
fn log_file_with_a_torn_tail_loses_only_the_last_record() {
    let dir = copy_of("torn");
    let length = std::fs::metadata(dir.path().join("ledger")).unwrap().len();
    let condition = append_log::inspect(dir.path(), "ledger").unwrap().condition;
    let FileCondition::Torn { offset } = condition else {
        panic!("{condition:?}");
    };
    let (log, stored) = AppendLog::open(dir.path(), "ledger").unwrap();
    let bytes = length - offset;
    assert_eq!(log.truncated_tail(), Some(TruncatedTail { offset, bytes }));
    let mut expected = appended_records().concat();
    assert_eq!(expected.pop(), Some(Record::Committed { index: 11 }));
    assert_log(&stored, &identity(1_000), &expected);
}

#[test]
fn hosts_file_when_read_gives_the_hosts() {
    let dir = copy_of("appended");
    let stored = stored_records(dir.path(), "roster");
    assert_eq!(stored.len(), 1);
    let decoded: OriginUpdate = protocol::decode_record(&stored[0]).unwrap();
    assert_eq!(decoded, known_hosts());
    assert_eq!(protocol::encode_record(&decoded), stored[0]);
}

#[test]
fn the_same_appends_give_the_same_files() {
    let dir = tempfile::tempdir().unwrap();
    write_in_one_incarnation(dir.path(), start_context(true, 1_000), Vec::new());
    let mut batches = log_batches(&appended_records());
    batches.push(Batch {
        file: StateFile::HostCache,
        rewrite: true,
        records: vec![protocol::encode_record(&known_hosts())],
    });
    write_in_one_incarnation(dir.path(), start_context(false, 2_000), batches);
    assert_same_files(dir.path(), "appended");
}

#[test]
fn the_same_rewrite_gives_the_same_files() {
    let dir = tempfile::tempdir().unwrap();
    let mut batches = log_batches(&[vec![Record::Promised { epoch: 9 }]]);
    batches.push(Batch {
        file: StateFile::Log,
        rewrite: true,
        records: encoded(&rewritten_records()),
    });
    write_in_one_incarnation(dir.path(), start_context(true, 3_000), batches);
    assert_same_files(dir.path(), "rewritten");
}

/// A member that starts from the stored records has the same id, promise, membership and log.
#[rstest]
#[case::appended("appended", SECOND_EPOCH)]
#[case::torn("torn", SECOND_EPOCH)]
#[case::rewritten("rewritten", SECOND_EPOCH + 1)]
fn member_when_started_on_stored_files_has_its_state(
    #[case] name: &str,
    #[case] promised_epoch: u64,
) {
    let dir = copy_of(name);
    let (sender, events) = std::sync::mpsc::channel();
    let context = start_context(false, 9_000);
    let _disk = start(dir.path().into(), context, move |event| {
        drop(sender.send(event));
    })
    .unwrap();
    let StorageEvent::Open {
        identity: stored_identity,
        records,
        host_cache,
    } = events.recv().unwrap()
    else {
        panic!("the state directory can't be opened");
    };
    assert_eq!(stored_identity, identity(9_000));
    let hosts = (name != "rewritten").then(|| protocol::encode_record(&known_hosts()));
    assert_eq!(host_cache, hosts);
    let config = MemberConfig {
        local_member: member_info(MEMBER_ID, 1),
        bootstrap_voters: Some(stored_identity.initial_voters),
        fault_budget: FaultBudget::default(),
        lease_duration: Duration::from_millis(1000),
        request_timeout: Duration::from_millis(3500),
        disk_stall_timeout: Duration::from_millis(600),
        watch_history: Duration::from_secs(20),
    };
    let member = Member::new(config, &records, Duration::ZERO, 1);
    assert!(member.replay_error().is_none());
    assert_eq!(member.promised_epoch(), promised_epoch);
    assert_eq!(member.membership(), Some(&second_membership()));
    assert_eq!(member.summary(None).durable_index, Some(11));
}

/// A recovery after the loss of a majority reads the replica from the stored files.
#[rstest]
#[case::appended("appended", 11)]
#[case::torn("torn", 0)]
#[case::rewritten("rewritten", 11)]
fn survivor_when_read_from_stored_files_has_the_replica(
    #[case] name: &str,
    #[case] commit_index: u64,
) {
    let dir = copy_of(name);
    let identities = stored_records(dir.path(), "identity");
    let records = stored_records(dir.path(), "ledger");
    let survivor = SurvivingReplica::read(&identities, &records).unwrap();
    assert_eq!(survivor.epoch(), SECOND_EPOCH);
    assert_eq!(survivor.last_index(), 11);
    assert_eq!(survivor.configuration_version(), 5);
    assert_eq!(survivor.commit_index(), commit_index);
}

/// Replaying the log's changes on the snapshot before them gives the state that was in force.
#[test]
fn state_when_replayed_from_stored_changes_is_as_it_was() {
    let dir = copy_of("appended");
    let stored_log = StoredLog::from_records(stored_records(dir.path(), "ledger"));
    assert_eq!(stored_log.owner, Some(identity(1_000)));
    let mut state = ReplicatedState::default();
    for bytes in &stored_log.records {
        match protocol::decode_record(bytes).unwrap() {
            Record::Accepted {
                snapshot: Some(snapshot),
                ..
            } => state = ReplicatedState::from_snapshot(&snapshot).unwrap(),
            Record::Change { change, .. } => state = state.apply(&change).unwrap(),
            _ => {}
        }
    }
    let snapshot = state.snapshot();
    assert_eq!(snapshot.index, 11);
    assert_eq!(snapshot.configuration, VERSION_3.replace(":3,", ":5,"));
    assert_eq!(snapshot.drains, ["i-3"]);
    let version_4 = VERSION_3.replace(":3,", ":4,");
    let applied = [
        request_fingerprint(0, false, VERSION_3.as_bytes()),
        request_fingerprint(3, false, version_4.as_bytes()),
        request_fingerprint(4, true, LIMITS_OF_VERSION_5.as_bytes()),
    ];
    assert_eq!(snapshot.applied_requests, applied);
}
