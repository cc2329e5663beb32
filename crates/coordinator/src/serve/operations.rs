//! What is there only with an operator's address: the admin server, the overlay of manual ejections and hot restart.

use super::listeners::TakenOver;
use crate::config::Config;
use crate::counters::Counters;
use crate::ops::admin_server::AdminServer;
use crate::ops::hot_restart::{self, HotRestart, RestartRole};
use crate::ops::list_overlay::{ListOverlay, OverlayRequest};
use crate::ops::manual_ejection::ManualEjections;
use crate::ops::Readiness;
use std::os::fd::AsFd;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Limit on the requests that wait for the overlay; one order more is refused.
const MAX_QUEUED_REQUESTS: usize = 64;

/// What the cores and the overlay's actor need of it.
pub(crate) struct Operations {
    /// Whether this process can serve.
    pub(crate) readiness: Readiness,
    /// The manual ejections.
    pub(crate) overlay: ListOverlay,
    /// The requests to the overlay's actor.
    pub(crate) requests: mpsc::Receiver<OverlayRequest>,
}

/// Starts the admin server and the part in hot restarts. The host list of an old process becomes the one that the
/// configuration knows.
///
/// # Errors
/// If a thread can't be started, or the clients' socket can't be duplicated.
pub(super) fn start(
    config: &mut Config,
    operator: std::net::TcpListener,
    taken_over: Option<TakenOver>,
    clients: &TcpListener,
    (show_role, restart_role): (watch::Sender<RestartRole>, watch::Receiver<RestartRole>),
    counters: &Counters,
    stop: &watch::Receiver<bool>,
) -> std::io::Result<Operations> {
    let readiness = Readiness::new(stop.clone(), restart_role, counters.clone());
    let (overlay, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
    AdminServer::new(readiness.clone(), counters.clone(), overlay.clone()).serve(operator)?;
    let (ejections, link) = match taken_over {
        Some(TakenOver { ejections, link }) => (ejections, Some(link)),
        None => (ManualEjections::default(), None),
    };
    if link.is_some() {
        config.known_list.members = ejections.endpoints();
    }
    if let Some(path) = hot_restart::socket_path(&config.name) {
        let hot_restart = HotRestart {
            path,
            name: config.name.clone(),
            listen: config.listen.clone(),
            listener: std::net::TcpListener::from(clients.as_fd().try_clone_to_owned()?),
            overlay,
            role: show_role,
        };
        tokio::spawn(hot_restart.run(link));
    }
    Ok(Operations {
        readiness,
        overlay: ListOverlay::new(ejections),
        requests,
    })
}
