//! The runtime of a program, with the handlers of its signals. It is made before anything else is done: a signal that comes
//! earlier ends the process.

use crate::error::{CliError, StartupSnafu};
use snafu::ResultExt;
use std::future::Future;
use std::io;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

/// A runtime on one thread whose process has the handlers of SIGTERM, SIGINT and SIGHUP.
#[derive(Debug)]
pub struct ProgramRuntime {
    runtime: Runtime,
    signals: ProgramSignals,
}

/// The signals that a program handles, from the moment at which its process can.
#[derive(Debug)]
pub struct ProgramSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ProgramRuntime {
    /// Makes the runtime and installs the handlers.
    ///
    /// # Errors
    /// Where the system refuses either.
    pub fn start() -> Result<Self, CliError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context(StartupSnafu)?;
        let signals = {
            let _context = runtime.enter();
            ProgramSignals::install().context(StartupSnafu)?
        };
        Ok(Self { runtime, signals })
    }

    /// Runs a program to its end on this thread.
    pub fn run<F, T>(self, program: impl FnOnce(ProgramSignals) -> F) -> T
    where
        F: Future<Output = T>,
    {
        LocalSet::new().block_on(&self.runtime, program(self.signals))
    }
}

impl ProgramSignals {
    fn install() -> io::Result<Self> {
        // SIGHUP tells that the settings have changed. Its handler stays when this is dropped: until somebody listens, the
        // settings are yet to be read.
        drop(signal(SignalKind::hangup())?);
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Completes when the process is asked to end by SIGTERM or SIGINT, or was since its start.
    pub async fn shutdown(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
