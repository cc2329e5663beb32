//! Hot restart: a new process of a coordinator takes over from the old one, and a link between them stays open
//! while both run. `docs/design/operations.md` gives the design reasons.
//!
//! The new process connects to the old one's Unix socket. The old process answers with the clients' listening
//! socket and its state (`messages`). Once the new process serves, the old one accepts no more connections.
//! While both run, each forwards the operators' ejection orders to the other.

mod descriptor_passing;
mod link;
mod messages;
mod process;

pub use process::HotRestart;

use super::manual_ejection::ManualEjections;
use descriptor_passing::receive_with_descriptor;
use messages::{StateMessage, MESSAGE_VERSION};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::watch;

/// Limit on the time for the transfer of the state; past it, the new process starts without the state.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The role of this process in a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartRole {
    /// No other process of the coordinator is linked.
    Alone,
    /// Both processes run and accept connections.
    Overlapping,
    /// The other process has taken over.
    Replaced,
}

impl RestartRole {
    /// The part of a budget that this process may use: all of it, or half (rounded down) in the other roles.
    pub fn share_of(self, budget: usize) -> usize {
        if self == Self::Alone {
            budget
        } else {
            budget / 2
        }
    }
}

/// A role that stays [`RestartRole::Alone`], for servers that take no part in hot restarts.
pub fn never_restarted() -> watch::Receiver<RestartRole> {
    watch::channel(RestartRole::Alone).1
}

/// The reason why a hand-over failed or the link between the processes ended.
#[derive(Debug, thiserror::Error)]
pub enum HotRestartError {
    /// A socket operation failed, or no process listens at the path.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The state was not transferred within its time limit.
    #[error("the state was not transferred in time")]
    Timeout,
    /// The other process closed the link before it sent its state.
    #[error("link closed before the state was sent")]
    EndedEarly,
    /// The announced length of the state, in bytes, exceeds the limit on messages.
    #[error("state message of {0} bytes exceeds the limit")]
    StateTooLong(usize),
    /// A message is not valid JSON or lacks a field.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The state is from another coordinator or in another version of the message format.
    #[error(
        "state is from another coordinator or version: version {version} of '{name}' at {listen}"
    )]
    OtherCoordinator {
        /// The version of its message format.
        version: u32,
        /// The coordinator's name.
        name: String,
        /// Its configured address for clients.
        listen: String,
    },
    /// The state came without the descriptor of a listening socket.
    #[error("state came without a listening socket")]
    NoListener,
    /// The received socket is not bound to the configured address for clients.
    #[error("received listening socket is bound to another address")]
    WrongListener,
    /// The other process closed the link.
    #[error("link closed by the other process")]
    Closed,
    /// The input of the link exceeds the limit on messages.
    #[error("message exceeds the size limit")]
    LineTooLong,
    /// The list overlay's actor has ended.
    #[error("list overlay actor has ended")]
    OverlayEnded,
}

/// The path of the Unix socket for hot restarts of the coordinator with this name; `None` if `$TMPDIR` is not set.
pub fn socket_path(name: &str) -> Option<PathBuf> {
    let file_name: String = name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect();
    std::env::var_os("TMPDIR")
        .map(|dir| Path::new(&dir).join(format!("fennelpin-{file_name}.sock")))
}

/// The state that a new process received from the old one.
pub struct TakenOverState {
    /// The clients' listening socket.
    pub listener: TcpListener,
    /// The host list and its manual ejections.
    pub ejections: ManualEjections,
    /// The link to the old process.
    pub link: UnixStream,
}

/// Takes over from the process that listens at `path`, if it belongs to this coordinator. `name` and `listen` are the
/// configured name of the coordinator and its address for clients.
///
/// # Errors
/// If no process listens there, or its state can't be used. The caller then starts without the state.
pub async fn take_over(
    path: &Path,
    name: &str,
    listen: &str,
) -> Result<TakenOverState, HotRestartError> {
    tokio::time::timeout(HAND_OVER_TIMEOUT, request_state(path, name, listen))
        .await
        .unwrap_or(Err(HotRestartError::Timeout))
}

async fn request_state(
    path: &Path,
    name: &str,
    listen: &str,
) -> Result<TakenOverState, HotRestartError> {
    let mut link = UnixStream::connect(path).await?;
    let (descriptor, body) = receive_with_descriptor(&mut link).await?;
    let state: StateMessage = serde_json::from_slice(&body)?;
    if (state.version, state.name.as_str(), state.listen.as_str())
        != (MESSAGE_VERSION, name, listen)
    {
        return Err(HotRestartError::OtherCoordinator {
            version: state.version,
            name: state.name,
            listen: state.listen,
        });
    }
    let listener = TcpListener::from(descriptor.ok_or(HotRestartError::NoListener)?);
    // The descriptor must be bound to the configured address; port 0 stands for any port.
    if listener.local_addr()?.to_string() != listen && !listen.ends_with(":0") {
        return Err(HotRestartError::WrongListener);
    }
    listener.set_nonblocking(true)?;
    Ok(TakenOverState {
        listener,
        ejections: state.ejections,
        link,
    })
}
