//! A cluster whose processes are started from one of two builds.

use crate::harness::cluster::TestCluster;
use std::fs;
use std::os::unix::fs::symlink;
use std::path::PathBuf;
use tempfile::TempDir;

/// Environment variable with the path of the other build's binary.
const OTHER_BUILD: &str = "FENNELPIN_OTHER_BUILD";
/// Short time-outs, so that takeovers are quick.
const SETTINGS: [(&str, &str); 2] = [("LEASE_MS", "300"), ("STALL_MS", "250")];

/// Which of the two builds a process is started from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The build under test.
    This,
    /// The build that [`OTHER_BUILD`] names.
    Other,
}

impl Build {
    /// Path of the build's binary.
    pub fn program(self) -> PathBuf {
        let this_build = PathBuf::from(env!("CARGO_BIN_EXE_fennelpin-cli"));
        match self {
            Self::This => this_build,
            Self::Other => std::env::var_os(OTHER_BUILD).map_or(this_build, PathBuf::from),
        }
    }
}

/// A link to a binary. Processes are started through it, from the build that it points to at that moment.
struct ProgramLink {
    dir: TempDir,
}

impl ProgramLink {
    fn new(build: Build) -> Self {
        let link = Self {
            dir: tempfile::tempdir().unwrap(),
        };
        link.point_to(build);
        link
    }

    fn path(&self) -> PathBuf {
        self.dir.path().join("fennelpin-cli")
    }

    fn point_to(&self, build: Build) {
        let new_link = self.dir.path().join("new-link");
        symlink(build.program(), &new_link).unwrap();
        fs::rename(new_link, self.path()).unwrap();
    }
}

/// A cluster whose processes may come from different builds.
pub struct MixedCluster {
    pub cluster: TestCluster,
    program: ProgramLink,
}

impl MixedCluster {
    /// Starts a cluster from one build.
    pub fn new(members: u8, proxies: u8, build: Build) -> Self {
        let program = ProgramLink::new(build);
        let cluster =
            TestCluster::with_program(program.path(), members, proxies, &SETTINGS, |_| ());
        Self { cluster, program }
    }

    /// Sets the build of the processes that are started from now on.
    pub fn use_build(&self, build: Build) {
        self.program.point_to(build);
    }
}
