//! `target` and `calibrate`: what the generator is measured against.

use super::signals::{stop_flag, until_stopped};
use load_test::calibrate;
use load_test::target::{Service, Target, TargetSpec};
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Runs a target of known behaviour until a signal.
pub(crate) fn serve_target(
    listen: SocketAddr,
    threads: usize,
    fixed_ms: Option<f64>,
) -> Result<ExitCode, Box<dyn Error>> {
    let stop = stop_flag()?;
    let service = match fixed_ms {
        Some(ms) => Service::Fixed(Duration::from_secs_f64(ms.max(0.0) / 1e3)),
        None => Service::Instant,
    };
    let spec = TargetSpec {
        threads,
        service,
        stall: None,
    };
    let target = Target::start(spec, Some(listen))?;
    println!("listening on {}", target.addr);
    until_stopped(&stop);
    Ok(ExitCode::SUCCESS)
}

/// Measures the generator against references of known times.
pub(crate) fn calibrate_generator(
    seconds: f64,
    rates: &[f64],
    threads: usize,
) -> Result<ExitCode, Box<dyn Error>> {
    let seconds = seconds.clamp(1.0, 600.0);
    let calibration = calibrate::calibrate(seconds, rates, threads.clamp(1, 64))?;
    println!(
        "{}\nlargest difference from a reference: {:.2}%",
        calibration.text,
        calibration.worst * 100.0
    );
    Ok(ExitCode::SUCCESS)
}
