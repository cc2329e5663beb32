//! Starts the control API, which answers before the disk is open.

use crate::runtime::control_server::{ControlCounters, ControlServer};
use crate::runtime::request_handler::{OpenMember, RequestHandler};
use crate::runtime::Events;
use configuration::ProcessSettings;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// File descriptors that are kept for files, peers and subscribers.
const OTHER_DESCRIPTORS: u64 = 400;
/// Bounds of the control API's connections.
const MIN_CONTROL_CONNECTIONS: usize = 64;
const MAX_CONTROL_CONNECTIONS: usize = 2048;

/// The control API, which answers from the start.
pub(super) struct ControlApi {
    pub(super) counters: Rc<ControlCounters>,
    /// Set when the process is asked to end.
    pub(super) shutdown: watch::Sender<bool>,
    /// Set once the identity is read from the disk.
    pub(super) opened: watch::Sender<Option<Rc<OpenMember>>>,
}

impl ControlApi {
    pub(super) fn start(
        process: &ProcessSettings,
        listener: TcpListener,
        events: Events,
        command_timeout: Duration,
    ) -> Self {
        let counters = Rc::new(ControlCounters::default());
        let (shutdown, is_shutting_down) = watch::channel(false);
        let (opened, is_opened) = watch::channel(None);
        let handler = RequestHandler::new(
            process.node_name.clone(),
            events,
            command_timeout,
            is_shutting_down.clone(),
            is_opened,
        );
        let server = ControlServer::new(
            handler,
            max_control_connections(process),
            counters.clone(),
            is_shutting_down,
        );
        spawn_local(server.listen(listener));
        Self {
            counters,
            shutdown,
            opened,
        }
    }
}

/// How many connections the control API takes at once: what the descriptors allow beside all else that needs one.
fn max_control_connections(process: &ProcessSettings) -> usize {
    let descriptors = process.limits.fd_limit.saturating_sub(OTHER_DESCRIPTORS);
    (descriptors as usize).clamp(MIN_CONTROL_CONNECTIONS, MAX_CONTROL_CONNECTIONS)
}
