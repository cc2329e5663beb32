//! Starts the control API, which replies to requests before the state directory is open.

use crate::runtime::control_server::{ControlCounters, ControlServer};
use crate::runtime::request_handler::{OpenMember, RequestHandler};
use crate::runtime::EventSender;
use configuration::ProcessSettings;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// File descriptors that are reserved for files, peers and subscribers.
const RESERVED_DESCRIPTORS: u64 = 400;
/// Lower bound on the number of concurrent control API connections.
const MIN_CONTROL_CONNECTIONS: usize = 64;
/// Upper bound on the number of concurrent control API connections.
const MAX_CONTROL_CONNECTIONS: usize = 2048;

/// The running control API.
pub(super) struct ControlApi {
    pub(super) counters: Rc<ControlCounters>,
    /// Set to true when the process is asked to shut down.
    pub(super) shutdown: watch::Sender<bool>,
    /// Set once the identity has been read from the disk.
    pub(super) opened: watch::Sender<Option<Rc<OpenMember>>>,
}

impl ControlApi {
    pub(super) fn start(
        process: &ProcessSettings,
        listener: TcpListener,
        events: EventSender,
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

/// Returns the largest number of concurrent control API connections: the file descriptor limit less the reserved
/// descriptors, within the bounds above.
fn max_control_connections(process: &ProcessSettings) -> usize {
    let descriptors = process.limits.fd_limit.saturating_sub(RESERVED_DESCRIPTORS);
    (descriptors as usize).clamp(MIN_CONTROL_CONNECTIONS, MAX_CONTROL_CONNECTIONS)
}
