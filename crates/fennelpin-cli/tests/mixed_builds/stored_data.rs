//! State directories that one build has written are read by the other one.

use crate::builds::{Build, MixedCluster};
use crate::harness::wait_until;
use crate::state::{AcknowledgedState, MEMBERS};
use rstest::rstest;
use std::process::Command;

/// Configurations that are applied before the change of builds.
const CONFIGURATIONS: usize = 20;

impl MixedCluster {
    /// Kills all members, and starts them from this build on the same disks.
    fn restart_members(&mut self, build: Build) {
        for n in MEMBERS {
            self.cluster.kill(n);
        }
        self.use_build(build);
        for n in MEMBERS {
            self.cluster.start(n);
        }
    }

    /// Checks each record of the members' disks with a build's `store verify`.
    fn verify_disks(&self, build: Build) {
        for n in MEMBERS {
            let output = Command::new(build.program())
                .args(["store", "verify"])
                .arg(self.cluster.processes.plan().disk(n))
                .output()
                .unwrap();
            assert!(output.status.success(), "core-{n}, {build:?}: {output:?}");
        }
    }
}

#[rstest]
#[case::upgrade(Build::Other, Build::This)]
#[case::downgrade(Build::This, Build::Other)]
fn disks_when_the_build_changes_keep_all_that_was_acknowledged(
    #[case] first: Build,
    #[case] second: Build,
) {
    let mut fleet = MixedCluster::new(3, 0, first);
    fleet.cluster.wait_until_stable(&MEMBERS);
    let mut state = AcknowledgedState::create(&fleet.cluster);
    for _ in 0..CONFIGURATIONS {
        state.apply_configuration();
    }
    fleet.verify_disks(second);
    fleet.restart_members(second);
    state.assert_kept(&fleet.cluster);

    state.apply_configuration();
    state.put_cell();
    fleet.verify_disks(first);
    fleet.restart_members(first);
    state.assert_kept(&fleet.cluster);
}

#[rstest]
#[case::upgrade(Build::Other, Build::This)]
#[case::downgrade(Build::This, Build::Other)]
fn empty_member_of_another_build_gets_a_snapshot(#[case] first: Build, #[case] second: Build) {
    let mut fleet = MixedCluster::new(3, 0, first);
    let primary = fleet.cluster.wait_until_stable(&MEMBERS);
    let mut state = AcknowledgedState::create(&fleet.cluster);
    let backup = fleet.cluster.backups(&MEMBERS, primary)[0];
    fleet.use_build(second);
    fleet.cluster.wipe(backup);
    fleet.cluster.start(backup);
    let stable_primary = fleet.cluster.wait_until_stable(&MEMBERS);
    // The next primary is the replaced member or has got its state from a replica of the other build.
    fleet.cluster.kill(stable_primary);
    fleet.cluster.start(stable_primary);
    wait_until("the members are stable again", || {
        fleet.cluster.stable_primary(&MEMBERS)
    });
    state.assert_kept(&fleet.cluster);
}
