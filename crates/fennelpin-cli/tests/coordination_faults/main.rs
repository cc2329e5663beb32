//! Real members under signals, kills, power losses of all and lost disks in series, while applications take locks,
//! numbers and cells, and watch, over connections that they keep open. What they were told is checked as in the simulated
//! histories.
//!
//! CI plays the seeds in `SEEDS`. By hand: `COORDINATION_SEEDS=1..51 cargo test --release -p fennelpin-cli --test
//! coordination_faults -- --nocapture`; `COORDINATION_FAULTS=40` for longer runs.

#[path = "../harness/mod.rs"]
mod harness;

#[path = "../../../control-plane/tests/coordination_histories/checker.rs"]
mod checker;

#[path = "../../../control-plane/tests/coordination_histories/random.rs"]
mod random;

mod applications;
mod connection;
mod faults;

use applications::Applications;
use faults::Faults;
use harness::cluster::TestCluster;

const SEEDS: std::ops::Range<u64> = 1..3;
/// Faults in a run.
const FAULTS: usize = 8;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("COORDINATION_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

fn faults() -> usize {
    let text = std::env::var("COORDINATION_FAULTS").ok();
    text.map_or(FAULTS, |text| text.parse().unwrap())
}

#[test]
fn applications_when_members_fail_in_series_are_told_no_wrong() {
    for seed in seeds() {
        let mut cluster = TestCluster::new(faults::MEMBERS, 0);
        cluster.wait_until_stable(&faults::ALL);
        let applications = Applications::start(&cluster, seed);
        let mut series = Faults::new(seed);
        for _ in 0..faults() {
            series.inject(&mut cluster, &applications);
        }
        cluster.wait_until_stable(&faults::ALL);
        let calls = applications.calls();
        let history = applications.finish();
        let violations = history.violations();
        println!(
            "seed {seed}: {calls} calls, {} holds, {} numbers, {} puts, {} reads; {:?}; {} violations",
            history.holds.len(),
            history.numbers.len(),
            history.puts.len(),
            history.reads.len(),
            series.injected(),
            violations.len()
        );
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}
