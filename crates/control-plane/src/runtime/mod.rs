//! The member's process: all I/O round the state machine, on one thread, with a second one for the disk.

pub mod connection;
pub mod control_request;
pub mod control_server;
mod event_loop;
mod host_cache;
pub mod identity;
mod inbound;
mod outputs;
pub mod peer_connections;
mod request_handler;
mod seeds;
mod start;
mod status;
pub mod storage;
pub mod transitions;

use configuration::{ProcessSettings, ResultCode};
use peer_connections::PeerEvent;
use protocol::Command;
use request_handler::CommandReply;
use snafu::Snafu;
use status::MemberStatus;
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
    pub lease: Duration,
    /// Longest time for a configuration call, from its last byte to the answer.
    pub patience: Duration,
    /// A write that takes longer than this means that the disk stalls.
    pub stall: Duration,
    /// Time between two lines of counters.
    pub counters: Duration,
}

impl Default for RuntimeSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1000),
            patience: Duration::from_millis(3500),
            stall: Duration::from_millis(600),
            counters: Duration::from_secs(60),
        }
    }
}

/// Why the process ends with a failure.
#[derive(Debug, Snafu)]
pub enum RuntimeError {
    /// The settings name no address for `control`.
    #[snafu(display("bind.control is missing: the role has to serve control"))]
    NoControl,
    /// The settings name no disk.
    #[snafu(display("state_dir is missing: members keep their word on a disk"))]
    NoDisk,
    /// An address can't be listened on.
    #[snafu(display("cannot listen on {addr}"))]
    Listen {
        /// The address.
        addr: SocketAddrV4,
        /// Why.
        source: std::io::Error,
    },
    /// No thread for the disk can be started, or it has ended.
    #[snafu(display("the disk's thread"))]
    Thread {
        /// Why.
        source: std::io::Error,
    },
    /// There are no random numbers.
    #[snafu(display("no random numbers: {detail}"))]
    Random {
        /// Why.
        detail: String,
    },
}

/// What the event loop takes.
enum Event {
    PeerEvent(PeerEvent),
    Disk(StorageEvent),
    Command(Command, oneshot::Sender<CommandReply>),
    /// Asks what the state machine says of itself.
    MemberStatus(oneshot::Sender<MemberStatus>),
}

/// Runs a member until `stop` is done and all is handed over. `seeds` brings the seeds' `control` addresses
/// whenever they change. For a current-thread runtime; all that was started ends with it.
///
/// Calls are answered from the start on: until the disk has told who this member is, by 503 and
/// [`ResultCode::Opening`].
///
/// # Errors
/// Where the settings don't fit, or an address or the disk's thread can't be had.
pub async fn run(
    boot: ProcessSettings,
    tuning: RuntimeSettings,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    stop: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let tasks = LocalSet::new();
    tasks
        .run_until(start::run_member(boot, tuning, seeds, stop))
        .await
}

/// Where the other tasks put their events.
type Events = UnboundedSender<Event>;

/// Hands a command to the member and waits for its answer.
async fn command(events: &Events, command: Command, wait: Duration) -> CommandReply {
    let (caller, answer) = oneshot::channel();
    if events.send(Event::Command(command, caller)).is_err() {
        return (ResultCode::Leaving, Vec::new());
    }
    match timeout(wait, answer).await {
        Ok(Ok(answered)) => answered,
        _ => (ResultCode::Unclear, Vec::new()),
    }
}
