//! `fennelpin-cli store recover` on folders as stopped members leave them.

use append_log::AppendLog;
use control_plane::recovery::latest_epoch;
use control_plane::runtime::identity::{latest_identity, Identity, LogOwner, StoredLog};
use protocol::{Addr, MemberInfo, MembershipConfig, Record, Snapshot};
use std::path::Path;
use std::process::{Command, Output};

const EPOCH: u64 = (3 << 20) | 1;

fn voter(id: u64) -> MemberInfo {
    let addr = Addr {
        ip: 0x7f0d_0000 + id as u32,
        port: 23_000,
    };
    let name = format!("core-{id}");
    MemberInfo {
        id,
        name,
        addr,
        control_addr: addr,
        zone: format!("z{id}"),
        region: "r".into(),
    }
}

/// The folder of member `id` of three, of which 1 and 2 are replicas.
fn member(dir: &Path, id: u64, epoch: u64) {
    let voters: Vec<MemberInfo> = (1..=3).map(voter).collect();
    let view = MembershipConfig {
        epoch,
        primary: 1,
        replicas: vec![1, 2],
        voters: voters.clone(),
        previous_voters: voters,
    };
    let snapshot = Some(Snapshot::default()).filter(|_| id < 3);
    let records = [
        Record::Promised { epoch },
        Record::Accepted {
            membership: view,
            snapshot,
        },
    ];
    let identity = Identity {
        id,
        incarnation: 7,
        ..Identity::default()
    };
    std::fs::create_dir_all(dir).unwrap();
    let write = |name: &str, records: &[Vec<u8>]| {
        let all: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
        AppendLog::open(dir, name).unwrap().0.append(&all).unwrap();
    };
    write("identity", &[protocol::encode_record(&identity)]);
    let owner = protocol::encode_record(&LogOwner { identity });
    write(
        "ledger",
        &[
            vec![owner],
            records.map(|r| protocol::encode_record(&r)).to_vec(),
        ]
        .concat(),
    );
}

fn recover(arguments: &[&str], dir: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_fennelpin-cli");
    Command::new(program)
        .args(["store", "recover"])
        .args(arguments)
        .arg(dir)
        .output()
        .unwrap()
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn records(dir: &Path, name: &str) -> Vec<Vec<u8>> {
    AppendLog::open(dir, name).unwrap().1
}

/// Checks that a recovery is refused and changes nothing.
fn assert_refused(dir: &Path, arguments: &[&str], code: i32, says: &str) {
    let before = (records(dir, "identity"), records(dir, "ledger"));
    let output = recover(arguments, dir);
    assert_eq!(output.status.code(), Some(code), "{}", errors(&output));
    assert!(errors(&output).contains(says), "{}", errors(&output));
    assert_eq!((records(dir, "identity"), records(dir, "ledger")), before);
}

#[test]
fn replica_when_recovered_then_only_voter_with_a_new_id() {
    let root = tempfile::tempdir().unwrap();
    let dir = root.path().join("2");
    member(&dir, 2, EPOCH);
    let output = recover(&["--stopped", "--lost", "core-1,core-3"], &dir);
    assert_eq!(output.status.code(), Some(0), "{}", errors(&output));
    let told = String::from_utf8_lossy(&output.stdout);
    assert!(
        told.contains("given up: core-1") && told.contains("given up: core-3"),
        "{told}"
    );
    let identity = latest_identity(&records(&dir, "identity"))
        .unwrap()
        .unwrap();
    assert!(identity.id != 2 && identity.initial_voters.is_empty());
    let found = StoredLog::from_records(records(&dir, "ledger"));
    assert_eq!(found.owner.map(|o| o.id), Some(identity.id));
    let ledger = found.records;
    assert!(
        latest_epoch(&ledger) > EPOCH << 20,
        "no election of the old members reaches it"
    );
    let alone = ledger.iter().any(|r| match protocol::decode_record(r) {
        Ok(Record::Accepted { membership, .. }) => {
            membership.voters.len() == 1 && membership.voters[0].id == identity.id
        }
        _ => false,
    });
    assert!(alone);
    assert!(
        dir.join("ledger.before-recovery").exists()
            && dir.join("identity.before-recovery").exists()
    );
    // Once is enough: the new one has nobody to give up.
    assert_refused(
        &dir,
        &["--stopped", "--lost", "core-1,core-3"],
        3,
        "--lost has to name",
    );
}

#[test]
fn recovery_when_unsafe_then_refused_and_nothing_is_changed() {
    let root = tempfile::tempdir().unwrap();
    let (replica, witness, later) = (
        root.path().join("2"),
        root.path().join("3"),
        root.path().join("1"),
    );
    member(&replica, 2, EPOCH);
    member(&witness, 3, EPOCH);
    member(&later, 1, EPOCH + (1 << 20));
    let all = ["--stopped", "--lost", "core-1,core-3"];
    assert_refused(&replica, &all[1..], 2, "--stopped");
    assert_refused(&replica, &["--stopped"], 3, "core-1,core-3");
    assert_refused(
        &replica,
        &["--stopped", "--lost", "core-1"],
        3,
        "core-1,core-3",
    );
    assert_refused(
        &replica,
        &["--stopped", "--lost", "core-1,core-2,core-3"],
        3,
        "core-1,core-3",
    );
    assert_refused(
        &witness,
        &["--stopped", "--lost", "core-1,core-2"],
        3,
        "it is no replica",
    );
    let other = later.to_string_lossy().into_owned();
    assert_refused(
        &replica,
        &[&all[..], &["--other", &other]].concat(),
        3,
        "knows a later view",
    );
    let other = witness.to_string_lossy().into_owned();
    assert_eq!(
        recover(&[&all[..], &["--other", &other]].concat(), &replica)
            .status
            .code(),
        Some(0)
    );
}

#[test]
fn recovery_when_file_is_corrupt_then_refused() {
    let root = tempfile::tempdir().unwrap();
    let dir = root.path().join("2");
    member(&dir, 2, EPOCH);
    let path = dir.join("ledger");
    AppendLog::open(&dir, "ledger")
        .unwrap()
        .0
        .append(&[&protocol::encode_record(&Record::Promised { epoch: EPOCH })])
        .unwrap();
    let mut bytes = std::fs::read(&path).unwrap();
    let middle = bytes.len() / 3;
    bytes[middle] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    let output = recover(&["--stopped", "--lost", "core-1,core-3"], &dir);
    assert_eq!(output.status.code(), Some(1), "{}", errors(&output));
    assert!(
        errors(&output).contains("'ledger' doesn't open"),
        "{}",
        errors(&output)
    );
    assert_eq!(std::fs::read(&path).unwrap(), bytes);
}
