//! Signal handlers: SIGTERM and SIGINT stop the process, SIGHUP reloads the configuration.

use crate::config::{Config, Source};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};

/// Installs the signal handlers. Returns a flag that turns true when the process must stop, and the addresses of
/// discovery from reloaded configurations.
///
/// # Errors
/// If a handler can't be installed.
pub(super) fn install_handlers(
    source: Source,
) -> std::io::Result<(watch::Receiver<bool>, mpsc::UnboundedReceiver<String>)> {
    let (stop, stopping) = watch::channel(false);
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    // Installed before the process can report that it is ready: without a handler SIGHUP would end it.
    let hangup = signal(SignalKind::hangup())?;
    let (discovery_sender, discovery_moves) = mpsc::unbounded_channel();
    tokio::spawn(reload_on_hangup(hangup, source, discovery_sender));
    tokio::spawn(stop_on_signal(terminate, interrupt, stop));
    Ok((stopping, discovery_moves))
}

async fn reload_on_hangup(
    mut hangup: Signal,
    source: Source,
    discovery_sender: mpsc::UnboundedSender<String>,
) {
    while hangup.recv().await.is_some() {
        match source.reload() {
            Ok(Config { discovery, .. }) => {
                log::info!("configuration: reloaded, discovery={discovery:?}");
                if let Some(discovery) = discovery {
                    let _ = discovery_sender.send(discovery);
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
    log::info!(
        "stopping: accepting new requests for a short time, then answering all accepted ones"
    );
    let _ = stop.send(true);
}
