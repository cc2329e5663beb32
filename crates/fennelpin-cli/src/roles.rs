//! The three programs, each on one thread.

use crate::failure::{AgentSnafu, ControlPlaneSnafu, Failure, ProxySnafu, StartSnafu};
use crate::operator::Operator;
use crate::options::From;
use crate::{settings, world};
use configuration::ProcessSettings;
use snafu::ResultExt;
use std::future::Future;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Runs `work` on this thread to its end.
fn run<F: Future<Output = Result<(), Failure>>>(work: F) -> Result<(), Failure> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    LocalSet::new().block_on(&runtime, work)
}

/// Tells when standard input ends.
fn input_ends() -> std::io::Result<oneshot::Receiver<()>> {
    let (input, ended) = oneshot::channel();
    let wait = move || {
        // What comes is of no interest; an error is an end too.
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        drop::<oneshot::Sender<()>>(input);
    };
    std::thread::Builder::new()
        .name("input".into())
        .spawn(wait)?;
    Ok(ended)
}

/// Done when the process is asked to end: by a signal or, where wanted, by the end of standard input.
fn stop(from: &From) -> Result<impl Future<Output = ()>, Failure> {
    let input = from
        .until_input_ends
        .then(input_ends)
        .transpose()
        .context(StartSnafu)?;
    let ended = async {
        match input {
            // The sender goes with the end of the input.
            Some(input) => drop(input.await),
            None => std::future::pending().await,
        }
    };
    let mut term = signal(SignalKind::terminate()).context(StartSnafu)?;
    let mut int = signal(SignalKind::interrupt()).context(StartSnafu)?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
            () = ended => {}
        }
    })
}

/// Reads the settings, once the signal that they have changed ends the process no more. (The handler stays.)
fn read_settings(from: &From) -> Result<ProcessSettings, Failure> {
    let _hangup = signal(SignalKind::hangup()).context(StartSnafu)?;
    settings::read(&from.settings)
}

/// A member of the control plane.
///
/// # Errors
/// Where the settings are wrong, or an address or the disk can't be had.
pub fn control_plane(from: &From, operator: &Operator) -> Result<(), Failure> {
    run(async {
        let boot = read_settings(from)?;
        let seeds = settings::follow_seeds(from.settings.clone(), &boot).context(StartSnafu)?;
        control_plane::runtime::run(boot, operator.runtime_settings(), seeds, stop(from)?)
            .await
            .context(ControlPlaneSnafu)
    })
}

/// A machine's agent.
///
/// # Errors
/// Where the settings are wrong, or its address can't be had.
pub fn agent(from: &From) -> Result<(), Failure> {
    run(async {
        let boot = read_settings(from)?;
        let seeds = settings::follow_seeds(from.settings.clone(), &boot).context(StartSnafu)?;
        agent::run(boot, seeds, stop(from)?)
            .await
            .context(AgentSnafu)
    })
}

/// A proxy.
///
/// # Errors
/// Where the settings are wrong, or an address can't be had.
pub fn proxy(from: &From) -> Result<(), Failure> {
    run(async {
        // Nothing of what a proxy uses changes in the file.
        let boot = read_settings(from)?;
        let world = world::follow(&boot);
        let counters = proxy::serve(boot, world, stop(from)?)
            .await
            .context(ProxySnafu)?;
        log::info!("counters {counters:?}");
        Ok(())
    })
}
