//! A member that is away for hundreds of changes: it catches up, and never leads with an old state
//! (`docs/design/hardening/4-many-changes.md`).

mod support;

use rstest::rstest;
use std::time::Duration;
use support::event_cluster::Cluster;
use support::ms;

/// Changes of a long day.
const CHANGES: u64 = 400;
/// A member that is back no longer counts as lost after this.
const CATCH_UP: Duration = ms(4000);

/// How a member is away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Absence {
    /// Its process ends, and starts again with its disk.
    Stopped,
    /// It is cut off from the others and runs on.
    CutOff,
    /// It loses its disk as it ends, and starts again empty.
    Wiped,
}

/// What a member does in the membership when it goes.
#[derive(Clone, Copy, Debug)]
enum Role {
    Primary,
    Replica,
    Witness,
}

impl Role {
    fn member(self, cluster: &Cluster) -> usize {
        let replicas = cluster.replicas();
        match self {
            Role::Primary => replicas[0],
            Role::Replica => replicas[1],
            Role::Witness => (0..3).find(|n| !replicas.contains(n)).unwrap(),
        }
    }
}

fn leave(cluster: &mut Cluster, n: usize, absence: Absence) {
    match absence {
        Absence::CutOff => cluster.set_isolated(n, true),
        Absence::Stopped | Absence::Wiped => cluster.kill(n),
    }
}

fn come_back(cluster: &mut Cluster, n: usize, absence: Absence) {
    match absence {
        Absence::CutOff => cluster.set_isolated(n, false),
        Absence::Stopped => cluster.restart(n),
        Absence::Wiped => cluster.wipe(n),
    }
}

/// Applies changes, one after the other, on top of `version`. The newest version.
fn apply_changes(cluster: &mut Cluster, version: u64, changes: u64) -> u64 {
    for base in version..version + changes {
        cluster.apply_configuration(base, base + 1);
    }
    version + changes
}

#[rstest]
fn member_when_away_for_hundreds_of_changes_then_each_other_may_be_lost(
    #[values(Absence::Stopped, Absence::CutOff, Absence::Wiped)] absence: Absence,
    #[values(Role::Primary, Role::Replica, Role::Witness)] role: Role,
    #[values(0, 1)] lost: usize,
) {
    let mut cluster = Cluster::with_three_members();
    let away = role.member(&cluster);
    leave(&mut cluster, away, absence);
    let newest = apply_changes(&mut cluster, 1, CHANGES);
    come_back(&mut cluster, away, absence);
    cluster.run(CATCH_UP);
    // Either of the other two is lost for good: the member that was away is one of those that go on.
    let others: Vec<usize> = (0..3).filter(|n| *n != away).collect();
    cluster.kill(others[lost]);
    let newest = apply_changes(&mut cluster, newest, 1);
    assert_eq!(
        cluster.read_version(),
        Some(newest),
        "{:?}",
        cluster.memberships()
    );
    let survivor = others[1 - lost];
    assert!(cluster.is_running(away) && cluster.is_running(survivor));
    assert_eq!(cluster.replicas().len(), 2, "both hold the state");
}

/// It is back for moments only, again and again, while the changes go on: it may be stopped at any step of catching up.
#[rstest]
fn member_when_back_for_moments_only_then_it_never_shows_an_older_state(
    #[values(Absence::Stopped, Absence::Wiped)] absence: Absence,
    #[values(1, 3, 7, 13, 40, 150, 900)] moment_ms: u64,
) {
    let mut cluster = Cluster::with_three_members();
    let away = Role::Replica.member(&cluster);
    let mut newest = 1;
    for _ in 0..12 {
        leave(&mut cluster, away, absence);
        newest = apply_changes(&mut cluster, newest, 8);
        come_back(&mut cluster, away, absence);
        cluster.run(ms(moment_ms));
        if let Some(shown) = cluster.read_version() {
            assert_eq!(shown, newest, "{:?}", cluster.memberships());
        }
    }
    cluster.run(CATCH_UP);
    let others: Vec<usize> = (0..3).filter(|n| *n != away).collect();
    cluster.kill(others[0]);
    newest = apply_changes(&mut cluster, newest, 1);
    assert_eq!(cluster.read_version(), Some(newest));
}
