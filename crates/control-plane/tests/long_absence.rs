//! A member that is absent for hundreds of changes catches up, and never becomes primary with an old state
//! (`docs/design/hardening/4-many-changes.md`).

mod support;

use rstest::rstest;
use std::time::Duration;
use support::event_cluster::Cluster;
use support::ms;

/// Number of changes during the absence.
const ABSENCE_CHANGES: u64 = 400;
/// Time after which a returning member has caught up and no longer counts as lost.
const CATCH_UP_TIME: Duration = ms(4000);

/// The kind of a member's absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Absence {
    /// Its process ends, and restarts with its disk.
    Stopped,
    /// It is partitioned from the other members and keeps running.
    Partitioned,
    /// It loses its disk when it ends, and restarts empty.
    Wiped,
}

/// A member's function in the membership configuration when its absence begins.
#[derive(Clone, Copy, Debug)]
enum MemberFunction {
    Primary,
    Replica,
    Witness,
}

impl MemberFunction {
    fn member(self, cluster: &Cluster) -> usize {
        let replicas = cluster.replicas();
        match self {
            MemberFunction::Primary => replicas[0],
            MemberFunction::Replica => replicas[1],
            MemberFunction::Witness => (0..3).find(|n| !replicas.contains(n)).unwrap(),
        }
    }
}

fn make_absent(cluster: &mut Cluster, n: usize, absence: Absence) {
    match absence {
        Absence::Partitioned => cluster.set_isolated(n, true),
        Absence::Stopped | Absence::Wiped => cluster.kill(n),
    }
}

fn bring_back(cluster: &mut Cluster, n: usize, absence: Absence) {
    match absence {
        Absence::Partitioned => cluster.set_isolated(n, false),
        Absence::Stopped => cluster.restart(n),
        Absence::Wiped => cluster.wipe(n),
    }
}

/// Applies changes one after the other on top of `version`. Returns the newest version.
fn apply_changes(cluster: &mut Cluster, version: u64, changes: u64) -> u64 {
    for base in version..version + changes {
        cluster.apply_configuration(base, base + 1);
    }
    version + changes
}

#[rstest]
fn member_when_away_for_hundreds_of_changes_then_each_other_may_be_lost(
    #[values(Absence::Stopped, Absence::Partitioned, Absence::Wiped)] absence: Absence,
    #[values(
        MemberFunction::Primary,
        MemberFunction::Replica,
        MemberFunction::Witness
    )]
    function: MemberFunction,
    #[values(0, 1)] lost: usize,
) {
    let mut cluster = Cluster::with_three_members();
    let away = function.member(&cluster);
    make_absent(&mut cluster, away, absence);
    let newest = apply_changes(&mut cluster, 1, ABSENCE_CHANGES);
    bring_back(&mut cluster, away, absence);
    cluster.run(CATCH_UP_TIME);
    // One of the other two members is lost for good, so the member that was absent has to take part.
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
    assert_eq!(
        cluster.replicas().len(),
        2,
        "both remaining members hold replicas"
    );
}

/// The member returns repeatedly for a short time while changes continue, so it may be stopped at any step of catching
/// up.
#[rstest]
fn member_when_back_for_moments_only_then_it_never_shows_an_older_state(
    #[values(Absence::Stopped, Absence::Wiped)] absence: Absence,
    #[values(1, 3, 7, 13, 40, 150, 900)] moment_ms: u64,
) {
    let mut cluster = Cluster::with_three_members();
    let away = MemberFunction::Replica.member(&cluster);
    let mut newest = 1;
    for _ in 0..12 {
        make_absent(&mut cluster, away, absence);
        newest = apply_changes(&mut cluster, newest, 8);
        bring_back(&mut cluster, away, absence);
        cluster.run(ms(moment_ms));
        if let Some(shown) = cluster.read_version() {
            assert_eq!(shown, newest, "{:?}", cluster.memberships());
        }
    }
    cluster.run(CATCH_UP_TIME);
    let others: Vec<usize> = (0..3).filter(|n| *n != away).collect();
    cluster.kill(others[0]);
    newest = apply_changes(&mut cluster, newest, 1);
    assert_eq!(cluster.read_version(), Some(newest));
}
