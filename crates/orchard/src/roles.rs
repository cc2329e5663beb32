//! The three programs, each on one thread.

use crate::failure::{Failure, HedgerowSnafu, RootstockSnafu, StartSnafu, TrellisSnafu};
use crate::options::From;
use crate::{settings, world};
use rootstock::shell::Tuning;
use snafu::ResultExt;
use std::future::Future;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

/// Runs `work` on this thread to its end.
fn run<F: Future<Output = Result<(), Failure>>>(work: F) -> Result<(), Failure> {
    let runtime = Builder::new_current_thread().enable_all().build().context(StartSnafu)?;
    LocalSet::new().block_on(&runtime, work)
}

/// Done when the process is asked to end.
fn stop() -> Result<impl Future<Output = ()>, Failure> {
    let mut term = signal(SignalKind::terminate()).context(StartSnafu)?;
    let mut int = signal(SignalKind::interrupt()).context(StartSnafu)?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}

/// A member of the control plane.
pub fn rootstock(from: &From) -> Result<(), Failure> {
    let boot = settings::read(&from.settings)?;
    run(async {
        let seeds = settings::follow_seeds(from.settings.clone(), &boot).context(StartSnafu)?;
        rootstock::shell::run(boot, Tuning::default(), seeds, stop()?).await.context(RootstockSnafu)
    })
}

/// A machine's agent.
pub fn hedgerow(from: &From) -> Result<(), Failure> {
    let boot = settings::read(&from.settings)?;
    run(async {
        let seeds = settings::follow_seeds(from.settings.clone(), &boot).context(StartSnafu)?;
        hedgerow::run(boot, seeds, stop()?).await.context(HedgerowSnafu)
    })
}

/// A proxy.
pub fn trellis(from: &From) -> Result<(), Failure> {
    let boot = settings::read(&from.settings)?;
    run(async {
        // Nothing of what a proxy uses changes in the file; the signal is taken so that it doesn't end the process.
        let _hangup = signal(SignalKind::hangup()).context(StartSnafu)?;
        let world = world::follow(&boot);
        let counters = trellis::serve(boot, world, stop()?).await.context(TrellisSnafu)?;
        log::info!("counters {counters:?}");
        Ok(())
    })
}
