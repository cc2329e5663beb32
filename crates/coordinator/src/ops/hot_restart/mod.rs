//! Hot restart: a new process of a coordinator takes over from the old one, and a link between them stays open
//! while both run. `docs/design/operations.md` says why it is done this way.
//!
//! The new process connects to the old one's Unix socket. The old process answers with the clients' listening
//! socket and its state (`messages`). Once the new process serves, the old one accepts no more connections.
//! While both run, each forwards the operators' orders to the other.

mod descriptor_passing;
mod link;
mod messages;
mod process;

pub use process::HotRestart;

use super::manual_ejection::ManualEjections;
use descriptor_passing::receive_with_descriptor;
use messages::{StateMessage, VERSION};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::watch;

/// The old process must have sent its whole state within this, or the new one starts without it.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The part that this process has in a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartRole {
    /// There is no other process.
    Alone,
    /// Both processes run and accept connections.
    Overlapping,
    /// The other process has taken over.
    Replaced,
}

impl RestartRole {
    /// The share of a budget that this process has: all of it, or half while there is another process.
    pub fn share_of(self, budget: usize) -> usize {
        if self == Self::Alone {
            budget
        } else {
            budget / 2
        }
    }
}

/// The role of a process that is never part of a hot restart.
pub fn never_restarted() -> watch::Receiver<RestartRole> {
    watch::channel(RestartRole::Alone).1
}

/// Why a hot restart was given up, or why the link between the processes ended.
#[derive(Debug, thiserror::Error)]
pub enum HotRestartError {
    /// The socket failed, or no process listens there.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The state did not come within its time.
    #[error("no whole message in time")]
    Timeout,
    /// The other process ended the link before it sent its state.
    #[error("it ended before it told anything")]
    EndedEarly,
    /// A state message is longer than any may be.
    #[error("a message of {0} bytes")]
    StateTooLong(usize),
    /// A message is not of the form that it should have.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The state is that of another coordinator or in a form of another version.
    #[error("version {version} of '{name}' at {listen}")]
    OtherCoordinator {
        /// The version of the messages.
        version: u32,
        /// The coordinator's name.
        name: String,
        /// The clients' address.
        listen: String,
    },
    /// No listening socket came with the state.
    #[error("no listening socket")]
    NoListener,
    /// The listening socket is bound to another address than the state says.
    #[error("the listening socket of another address")]
    WrongListener,
    /// The other process ended the link.
    #[error("closed")]
    Closed,
    /// A line on the link is longer than any may be.
    #[error("a line without end")]
    LineTooLong,
    /// The actor of the host list has ended.
    #[error("the list's actor has ended")]
    OverlayEnded,
}

/// The path of the Unix socket at which processes of a coordinator of this name meet; `None` without a `$TMPDIR`.
pub fn socket_path(name: &str) -> Option<PathBuf> {
    let file_name: String = name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect();
    std::env::var_os("TMPDIR")
        .map(|dir| Path::new(&dir).join(format!("fennelpin-{file_name}.sock")))
}

/// What a new process has got from the old one.
pub struct TakenOverState {
    /// The clients' listening socket.
    pub listener: TcpListener,
    /// The host list and the manual ejections.
    pub ejections: ManualEjections,
    /// The link to the old process.
    pub link: UnixStream,
}

/// Takes over from the process that listens at `path`, if it is one of this coordinator. `name` and `listen` are
/// the coordinator's name and its clients' address, as configured.
///
/// # Errors
/// If no process listens there, or its state can't be used. The caller then starts without it.
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
    if (state.version, state.name.as_str(), state.listen.as_str()) != (VERSION, name, listen) {
        return Err(HotRestartError::OtherCoordinator {
            version: state.version,
            name: state.name,
            listen: state.listen,
        });
    }
    let listener = TcpListener::from(descriptor.ok_or(HotRestartError::NoListener)?);
    // The descriptor must be the socket that the state says it is.
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
