//! The member's process: all I/O round the state machine.
//!
//! One thread runs the event loop and all connections; a second one waits for the disk.
//!
//! | module | job |
//! | --- | --- |
//! | `start/` | from the settings and the disk to a running member |
//! | `event_loop.rs`, `outputs.rs` | hand inputs to the state machine, carry out its outputs |
//! | [`storage`], [`identity`], `host_cache.rs` | the state directory |
//! | [`peer_connections`], `inbound.rs`, `seeds.rs`, [`connection`] | connections to and from other processes |
//! | [`control_server`], [`control_request`], [`coordination_endpoint`], `request_handler.rs`, `status_page.rs` | the control API |
//! | `quota_server.rs` | quota requests of proxies |
//! | [`transitions`], `status.rs`, `member_status.rs` | log lines, counters, and what others see of the member |

pub mod connection;
pub mod control_request;
pub mod control_server;
pub mod coordination_endpoint;
mod event_loop;
mod host_cache;
pub mod identity;
mod inbound;
mod member_status;
mod outputs;
pub mod peer_connections;
mod quota_server;
mod request_handler;
mod seeds;
mod start;
mod status;
mod status_page;
pub mod storage;
pub mod transitions;

use configuration::{ProcessSettings, ResultCode};
use member_status::MemberStatus;
use peer_connections::PeerEvent;
use protocol::Command;
use snafu::Snafu;
use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;
use storage::StorageEvent;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;
use tokio::time::timeout;

/// What an operator may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuntimeSettings {
    /// Length of a primary's lease; the same at all members.
    pub lease_duration: Duration,
    /// Longest time for a configuration request, from its last byte to the reply.
    pub command_timeout: Duration,
    /// A write that takes longer than this means that the disk stalls.
    pub disk_stall_timeout: Duration,
    /// Time between two log lines with counters.
    pub counters_interval: Duration,
}

impl Default for RuntimeSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_millis(1000),
            command_timeout: Duration::from_millis(3500),
            disk_stall_timeout: Duration::from_millis(600),
            counters_interval: Duration::from_secs(60),
        }
    }
}

/// Why the process ends with a failure.
#[derive(Debug, Snafu)]
pub enum RuntimeError {
    /// The settings name no address for `control`.
    #[snafu(display("bind.control is missing: a member serves the control API there"))]
    NoControl,
    /// The settings name no state directory.
    #[snafu(display("state_dir is missing: a member stores its promises there"))]
    NoStateDir,
    /// An address can't be listened on.
    #[snafu(display("cannot listen on {addr}"))]
    Listen {
        /// The address.
        addr: SocketAddrV4,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The storage thread can't be started, or has ended.
    #[snafu(display("cannot start the storage thread, or it has ended"))]
    StorageThread {
        /// What the system answered.
        source: std::io::Error,
    },
    /// The system has no random numbers.
    #[snafu(display("cannot get random numbers"))]
    Random {
        /// What the system answered.
        source: getrandom::Error,
    },
}

/// What the event loop takes.
enum Event {
    Peer(PeerEvent),
    Storage(StorageEvent),
    Command(Command, oneshot::Sender<CommandReply>),
    /// Asks for the state machine's status.
    Status(oneshot::Sender<MemberStatus>),
}

/// Where the other tasks put their events.
type Events = UnboundedSender<Event>;

/// What a member answers a command.
struct CommandReply {
    code: ResultCode,
    /// The configuration that was read, what an application is told as JSON, or a detail of the failure.
    body: Vec<u8>,
}

impl CommandReply {
    fn from_code(code: ResultCode) -> Self {
        Self {
            code,
            body: Vec::new(),
        }
    }
}

/// Runs a member until `shutdown` is done and the member has handed over what it holds.
///
/// `seeds` brings the seeds' `control` addresses whenever they change. For a current-thread runtime; all tasks that
/// were started end with it.
///
/// Requests are answered from the start: until the identity is read from the disk, with 503 and
/// [`ResultCode::Opening`].
///
/// # Errors
/// If the settings lack something, an address can't be listened on, or the storage thread can't be started.
pub async fn run(
    process: ProcessSettings,
    settings: RuntimeSettings,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let tasks = LocalSet::new();
    tasks
        .run_until(start::run_member(process, settings, seeds, shutdown))
        .await
}

/// Hands a command to the member and waits for its reply.
async fn run_command(events: &Events, command: Command, reply_timeout: Duration) -> CommandReply {
    let (caller, reply) = oneshot::channel();
    if events.send(Event::Command(command, caller)).is_err() {
        return CommandReply::from_code(ResultCode::Leaving);
    }
    match timeout(reply_timeout, reply).await {
        Ok(Ok(reply)) => reply,
        _ => CommandReply::from_code(ResultCode::Unclear),
    }
}
