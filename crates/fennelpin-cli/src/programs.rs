//! The three programs. Each runs on one thread.

use crate::command_line::ProgramOptions;
use crate::error::{AgentSnafu, CliError, ControlPlaneSnafu, ProxySnafu, StartupSnafu};
use crate::operator_settings::OperatorSettings;
use crate::program_runtime::{ProgramRuntime, ProgramSignals};
use crate::{fleet_updates, process_settings};
use snafu::ResultExt;
use std::future::Future;
use tokio::sync::oneshot;

/// Runs a member of the control plane until it is asked to end.
///
/// # Errors
/// Where the settings are invalid, or an address or the disk isn't available.
pub fn control_plane(
    runtime: ProgramRuntime,
    options: &ProgramOptions,
    operator: &OperatorSettings,
) -> Result<(), CliError> {
    runtime.run(async |signals| {
        let settings = process_settings::read(&options.settings)?;
        let seeds = process_settings::follow_seeds(options.settings.clone(), &settings)
            .context(StartupSnafu)?;
        let shutdown = shutdown_signal(options, signals)?;
        control_plane::runtime::run(settings, operator.runtime_settings(), seeds, shutdown)
            .await
            .context(ControlPlaneSnafu)
    })
}

/// Runs a machine's agent until it is asked to end.
///
/// # Errors
/// Where the settings are invalid, or its address isn't available.
pub fn agent(runtime: ProgramRuntime, options: &ProgramOptions) -> Result<(), CliError> {
    runtime.run(async |signals| {
        let settings = process_settings::read(&options.settings)?;
        let seeds = process_settings::follow_seeds(options.settings.clone(), &settings)
            .context(StartupSnafu)?;
        let shutdown = shutdown_signal(options, signals)?;
        agent::run(settings, seeds, shutdown)
            .await
            .context(AgentSnafu)
    })
}

/// Runs a proxy until it is asked to end.
///
/// # Errors
/// Where the settings are invalid, or an address isn't available.
pub fn proxy(runtime: ProgramRuntime, options: &ProgramOptions) -> Result<(), CliError> {
    runtime.run(async |signals| {
        // A proxy uses nothing of the file that may change.
        let settings = process_settings::read(&options.settings)?;
        let fleet = fleet_updates::follow(&settings);
        let counters = proxy::serve(settings, fleet, shutdown_signal(options, signals)?)
            .await
            .context(ProxySnafu)?;
        log::info!("counters {counters:?}");
        Ok(())
    })
}

/// Completes when the process is asked to end: by SIGTERM, by SIGINT or, where wanted, by the end of standard input.
fn shutdown_signal(
    options: &ProgramOptions,
    signals: ProgramSignals,
) -> Result<impl Future<Output = ()>, CliError> {
    let input = options
        .until_input_ends
        .then(watch_standard_input)
        .transpose()
        .context(StartupSnafu)?;
    let input_end = async {
        match input {
            // The sender is dropped at the end of the input.
            Some(input) => drop(input.await),
            None => std::future::pending().await,
        }
    };
    Ok(async move {
        tokio::select! {
            () = signals.shutdown() => {}
            () = input_end => {}
        }
    })
}

/// Starts a thread that reads standard input. The receiver completes at its end.
fn watch_standard_input() -> std::io::Result<oneshot::Receiver<()>> {
    let (sender, ended) = oneshot::channel();
    let read_to_end = move || {
        // The input is ignored; an error is an end too.
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        drop::<oneshot::Sender<()>>(sender);
    };
    std::thread::Builder::new()
        .name("input".into())
        .spawn(read_to_end)?;
    Ok(ended)
}
