//! The three programs. Each runs on one thread.

use crate::command_line::ProgramOptions;
use crate::error::{AgentSnafu, CliError, ControlPlaneSnafu, ProxySnafu, StartupSnafu};
use crate::operator_settings::OperatorSettings;
use crate::{fleet_updates, process_settings};
use configuration::ProcessSettings;
use snafu::ResultExt;
use std::future::Future;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Runs a member of the control plane until it is asked to end.
///
/// # Errors
/// Where the settings are invalid, or an address or the disk isn't available.
pub fn control_plane(
    options: &ProgramOptions,
    operator: &OperatorSettings,
) -> Result<(), CliError> {
    run_on_this_thread(async {
        let settings = read_settings(options)?;
        let seeds = process_settings::follow_seeds(options.settings.clone(), &settings)
            .context(StartupSnafu)?;
        let shutdown = shutdown_signal(options)?;
        control_plane::runtime::run(settings, operator.runtime_settings(), seeds, shutdown)
            .await
            .context(ControlPlaneSnafu)
    })
}

/// Runs a machine's agent until it is asked to end.
///
/// # Errors
/// Where the settings are invalid, or its address isn't available.
pub fn agent(options: &ProgramOptions) -> Result<(), CliError> {
    run_on_this_thread(async {
        let settings = read_settings(options)?;
        let seeds = process_settings::follow_seeds(options.settings.clone(), &settings)
            .context(StartupSnafu)?;
        let shutdown = shutdown_signal(options)?;
        agent::run(settings, seeds, shutdown)
            .await
            .context(AgentSnafu)
    })
}

/// Runs a proxy until it is asked to end.
///
/// # Errors
/// Where the settings are invalid, or an address isn't available.
pub fn proxy(options: &ProgramOptions) -> Result<(), CliError> {
    run_on_this_thread(async {
        // A proxy uses nothing of the file that may change.
        let settings = read_settings(options)?;
        let fleet = fleet_updates::follow(&settings);
        let counters = proxy::serve(settings, fleet, shutdown_signal(options)?)
            .await
            .context(ProxySnafu)?;
        log::info!("counters {counters:?}");
        Ok(())
    })
}

fn run_on_this_thread<F>(program: F) -> Result<(), CliError>
where
    F: Future<Output = Result<(), CliError>>,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartupSnafu)?;
    LocalSet::new().block_on(&runtime, program)
}

/// Reads the settings once SIGHUP, which tells that they have changed, doesn't end the process any more. (The handler
/// stays.)
fn read_settings(options: &ProgramOptions) -> Result<ProcessSettings, CliError> {
    let _hangup = signal(SignalKind::hangup()).context(StartupSnafu)?;
    process_settings::read(&options.settings)
}

/// Completes when the process is asked to end: by SIGTERM, by SIGINT or, where wanted, by the end of standard input.
fn shutdown_signal(options: &ProgramOptions) -> Result<impl Future<Output = ()>, CliError> {
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
    let mut terminate = signal(SignalKind::terminate()).context(StartupSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(StartupSnafu)?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
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
