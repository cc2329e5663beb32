//! The parts that need an operator's address: the admin server, the overlay of manual ejections and hot restart.

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

/// Limit on the requests queued for the overlay's actor; further orders are refused.
const MAX_QUEUED_REQUESTS: usize = 64;

/// The state that the cores and the overlay's actor need.
pub(crate) struct Operations {
    /// The readiness of this process.
    pub(crate) readiness: Readiness,
    /// The manual ejections, with those taken over from an old process.
    pub(crate) overlay: ListOverlay,
    /// The requests to the overlay's actor.
    pub(crate) requests: mpsc::Receiver<OverlayRequest>,
}

/// Starts the admin server and the task for hot restarts. A host list taken over from an old process replaces the one
/// in the configuration.
///
/// # Errors
/// If a thread can't be started, or the clients' socket can't be duplicated.
pub(super) fn start(
    config: &mut Config,
    operator: std::net::TcpListener,
    taken_over: Option<TakenOver>,
    clients: &TcpListener,
    (role_sender, restart_role): (watch::Sender<RestartRole>, watch::Receiver<RestartRole>),
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
            role: role_sender,
        };
        tokio::spawn(hot_restart.run(link));
    }
    Ok(Operations {
        readiness,
        overlay: ListOverlay::new(ejections),
        requests,
    })
}
