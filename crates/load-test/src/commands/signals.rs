//! SIGINT and SIGTERM.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the flag is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A flag that SIGINT and SIGTERM set, so that coordinators never outlive this program.
pub(crate) fn stop_flag() -> std::io::Result<Arc<AtomicBool>> {
    use tokio::signal::unix::{signal, SignalKind};
    let stop = Arc::new(AtomicBool::new(false));
    let set = stop.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (mut interrupt, mut terminate) = {
        let _inside = runtime.enter();
        (
            signal(SignalKind::interrupt())?,
            signal(SignalKind::terminate())?,
        )
    };
    std::thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! { _ = interrupt.recv() => {} _ = terminate.recv() => {} }
        });
        set.store(true, Ordering::Relaxed);
    });
    Ok(stop)
}

/// Waits until the flag is set.
pub(crate) fn until_stopped(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
    }
}
