//! `up`: a deployment to try by hand.

use super::args::Deploy;
use super::exit;
use super::signals::stop_flag;
use load_test::run::{self, Deployment};
use load_test::scenario::{FrontName, Scenario};
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often the coordinators are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a deployment, prints where it answers, and serves until a signal or a crash.
pub(crate) fn up(deploy: &Deploy) -> Result<ExitCode, Box<dyn Error>> {
    let scenario = deploy.load()?;
    let stop = stop_flag()?;
    let work = std::env::temp_dir().join(format!("load-test-{}", std::process::id()));
    let options = deploy.options(work.clone(), stop.clone());
    let mut deployment = run::deploy(&scenario, &options)?;
    print_addresses(&scenario, &deployment, &work);
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
        if let Some((c, code)) = deployment.coordinators.reap().pop() {
            eprintln!("coordinator {c} ended with {code:?}: see its log");
            return Ok(ExitCode::from(exit::CRASHED));
        }
    }
    deployment.coordinators.end();
    Ok(ExitCode::SUCCESS)
}

fn print_addresses(scenario: &Scenario, deployment: &Deployment, work: &Path) {
    println!(
        "{}: {} hosts, {} shards; files and logs in {}",
        scenario.name,
        scenario.fleet.hosts,
        scenario.shards(),
        work.display()
    );
    for (n, addr) in deployment.fleet.discovery.iter().enumerate() {
        println!("discovery of coordinator {n}: http://{addr}/catalog/members");
    }
    let class = &scenario.classes[0];
    for (n, addr) in deployment.coordinators.addrs().iter().enumerate() {
        println!(
            "coordinator {n} ({}): {addr}",
            scenario.fleet.zones[scenario.zone_of(n as u16)]
        );
        println!(
            "  curl -s http://{addr}/{0} -H 'Req-Id: a1' -H 'Req-Kind: {0}' -H 'Req-Owner: {1}' \
             -H 'Req-Deadline-Ms: {2}' -H 'Idempotency-Key: k1' \
             -d '{{\"tablets\":[{{\"tablet\":0,\"fraction\":1.0}}],\"statement\":\"free\"}}'",
            class.name, scenario.tenants[0].name, class.limit_ms as u64
        );
        if scenario.traffic.fronts.contains(&FrontName::OpenSearch) {
            println!(
                "  curl -s http://{addr}/{}/_search -H 'Content-Type: application/json' -H 'Idempotency-Key: k1' \
                 -d '{{\"query\":{{\"terms\":{{\"district\":[\"d0\",\"d1\"]}}}}}}'",
                class.name
            );
        }
    }
    println!("Ctrl-C ends it");
}
