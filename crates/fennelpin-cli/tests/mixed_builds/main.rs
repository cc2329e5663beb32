//! Fleets whose processes come from two builds, in both directions: stored data, replication, quotas, locks and watches.
//!
//! `FENNELPIN_OTHER_BUILD` names the `fennelpin-cli` binary of another release. Without it both builds are this one, and
//! the tests check restarts of one process after the other:
//!
//! ```text
//! FENNELPIN_OTHER_BUILD=/path/to/fennelpin-cli cargo test --release -p fennelpin-cli --test mixed_builds
//! ```

#[path = "../harness/mod.rs"]
mod harness;

mod builds;
mod rolling_change;
mod state;
mod stored_data;
