//! Soak of real processes: clients keep using open connections until a process is gone, while signals, restarts and
//! configuration changes come in series and overlap. What the platform plans must never cost a request its answer.
//!
//! A run is drawn from a seed. Without settings a short run is played; by hand:
//!
//! ```text
//! SOAK_SEEDS=1..51 SOAK_LOGS=found cargo test --release -p fennelpin-cli --test soak -- --nocapture
//! SOAK_SEEDS=1..51 SOAK_QUOTA_MS=3 SOAK_FAULTS=true ...
//! SOAK_SEEDS=1..3 SOAK_EDGES=100 SOAK_CLIENTS=150 SOAK_SECONDS=30 ...
//! ```

#[path = "../harness/mod.rs"]
mod harness;

mod clients;
mod driver;
mod front_selection;
mod operator;
mod quota;
mod recorder;
mod response;
mod rules;
mod run;
mod schedule;
mod settings;
mod stop_signal;
mod stream_hosts;

use settings::SoakSettings;

#[test]
fn cluster_when_signals_restarts_and_changes_overlap_keeps_the_rules() {
    let settings = SoakSettings::from_env();
    let mut failed_seeds = Vec::new();
    for seed in settings.seeds.clone() {
        let report = run::run_seed(&settings, seed);
        println!("{report}");
        if !report.violations.is_empty() {
            failed_seeds.push(seed);
        }
    }
    assert!(
        failed_seeds.is_empty(),
        "seeds that broke a rule: {failed_seeds:?}"
    );
}
