//! The process's signals.

use crate::config::{Config, Source};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};

/// Handles the signals from now on. Returns whether the process is to stop, and the addresses of discovery as the
/// configuration is read again.
///
/// # Errors
/// If a handler can't be installed.
pub(super) fn handle(
    source: Source,
) -> std::io::Result<(watch::Receiver<bool>, mpsc::UnboundedReceiver<String>)> {
    let (stop, stopping) = watch::channel(false);
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    // Before anyone can take this process for ready: without a handler the signal would end it.
    let hangup = signal(SignalKind::hangup())?;
    let (moved, discovery_moves) = mpsc::unbounded_channel();
    tokio::spawn(reload_on_hangup(hangup, source, moved));
    tokio::spawn(stop_on_signal(terminate, interrupt, stop));
    Ok((stopping, discovery_moves))
}

async fn reload_on_hangup(
    mut hangup: Signal,
    source: Source,
    moved: mpsc::UnboundedSender<String>,
) {
    while hangup.recv().await.is_some() {
        match source.reload() {
            Ok(Config { discovery, .. }) => {
                log::info!("configuration: read again, discovery={discovery:?}");
                if let Some(discovery) = discovery {
                    let _ = moved.send(discovery);
                }
            }
            Err(e) => log::error!("configuration: {e}; the one before stays"),
        }
    }
}

async fn stop_on_signal(mut terminate: Signal, mut interrupt: Signal, stop: watch::Sender<bool>) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("stopping: serving on for a moment, then answering all that was taken");
    let _ = stop.send(true);
}
