//! The process of a control plane member: all I/O around the replicated state machine.
//!
//! One thread runs the event loop and all connections; a second thread does the disk I/O.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `start/` | starts a member from its settings and its state directory |
//! | `event_loop.rs`, `outputs.rs` | pass inputs to the state machine and carry out its outputs |
//! | [`storage`], [`identity`], `host_cache.rs` | the state directory |
//! | [`peer_connections`], `inbound.rs`, `seeds.rs`, [`connection`] | connections to and from other processes |
//! | [`control_server`], [`control_request`], [`coordination_endpoint`], `request_handler.rs`, `status_page.rs` | the control API |
//! | `quota_server.rs` | quota requests of proxies |
//! | [`transitions`], `status.rs`, `member_status.rs` | log lines, counters, and the published status of the member |

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

/// The settings of the runtime that an operator can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuntimeSettings {
    /// Duration of a primary's lease; must be the same on all members.
    pub lease_duration: Duration,
    /// Longest time from the last byte of a configuration request to its reply.
    pub command_timeout: Duration,
    /// Time in flight after which a write marks the disk as stalled.
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

/// An error that ends the process.
#[derive(Debug, Snafu)]
pub enum RuntimeError {
    /// The settings have no `bind.control` address.
    #[snafu(display("bind.control is missing: a member serves the control API there"))]
    NoControl,
    /// The settings have no `state_dir`.
    #[snafu(display("state_dir is missing: a member stores its promises there"))]
    NoStateDir,
    /// Binding a listening socket failed.
    #[snafu(display("cannot listen on {addr}"))]
    Listen {
        /// The address to bind.
        addr: SocketAddrV4,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The storage thread can't be started, or has ended.
    #[snafu(display("cannot start the storage thread, or it has ended"))]
    StorageThread {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The operating system provided no random numbers.
    #[snafu(display("cannot get random numbers"))]
    Random {
        /// The operating system's error.
        source: getrandom::Error,
    },
}

/// An event for the event loop.
enum Event {
    Peer(PeerEvent),
    Storage(StorageEvent),
    /// A command for the state machine, and where its reply goes.
    Command(Command, oneshot::Sender<CommandReply>),
    /// A request for the state machine's status.
    Status(oneshot::Sender<MemberStatus>),
}

/// The sending half of the event loop's queue.
type EventSender = UnboundedSender<Event>;

/// A member's reply to a command.
struct CommandReply {
    code: ResultCode,
    /// The configuration that was read, a JSON body for an application, or the detail of a failure.
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

/// Runs a member until `shutdown` completes and the member has handed over its roles and its data.
///
/// `seeds` holds the seeds' `control` addresses and is updated whenever they change. Requires a current-thread runtime.
/// All tasks that this function spawns end with it.
///
/// The control API replies from the start. Until the identity has been read from the disk, it replies with status 503
/// and [`ResultCode::Opening`].
///
/// # Errors
/// Returns an error if a required setting is missing, an address can't be bound, the storage thread can't be started,
/// or no random numbers are available.
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

/// Sends a command to the member and waits for its reply, for `reply_timeout` at most.
async fn run_command(
    events: &EventSender,
    command: Command,
    reply_timeout: Duration,
) -> CommandReply {
    let (reply_sender, reply) = oneshot::channel();
    if events.send(Event::Command(command, reply_sender)).is_err() {
        return CommandReply::from_code(ResultCode::Leaving);
    }
    match timeout(reply_timeout, reply).await {
        Ok(Ok(reply)) => reply,
        _ => CommandReply::from_code(ResultCode::Unclear),
    }
}
