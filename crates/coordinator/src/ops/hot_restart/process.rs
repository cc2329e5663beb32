//! The part of this process in hot restarts: first as the new process, then as the old one.

use super::descriptor_passing::send_with_descriptor;
use super::link::serve_link;
use super::messages::{LinkMessage, StateMessage, MESSAGE_VERSION};
use super::{HotRestartError, RestartRole, HAND_OVER_TIMEOUT};
use crate::ops::list_overlay::{AttachedProcess, EjectionOrder, OverlayRequest};
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};

/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The part of this process in hot restarts.
pub struct HotRestart {
    /// The path of the Unix socket that the next process connects to.
    pub path: PathBuf,
    /// The coordinator's name.
    pub name: String,
    /// The configured address for clients.
    pub listen: String,
    /// The clients' listening socket.
    pub listener: TcpListener,
    /// The requests to the list overlay's actor.
    pub overlay: mpsc::Sender<OverlayRequest>,
    /// Publishes the role of this process.
    pub role: watch::Sender<RestartRole>,
}

impl HotRestart {
    /// Acts as the new process on the link to `old_process`, if there is one, until the old process ends. Then acts as
    /// the old process and waits for new ones, without end.
    pub async fn run(self, old_process: Option<UnixStream>) {
        let socket = match self.bind() {
            Ok(socket) => Some(socket),
            Err(e) => {
                log::warn!(path:% = self.path.display(), error:% = e; "hot restart: no hand-over from this process");
                None
            }
        };
        if let Some(link) = old_process {
            let end_reason = self.follow_old_process(link).await;
            log::info!(detail:% = end_reason; "hot restart: the old process has ended");
            self.role.send_replace(RestartRole::Alone);
        }
        if let Some(socket) = socket {
            self.wait_for_new_processes(socket).await;
        }
    }

    /// Tells the old process that this one serves, then serves the link until it ends. Returns why it ended.
    async fn follow_old_process(&self, mut link: UnixStream) -> HotRestartError {
        let (forward, orders) = mpsc::unbounded_channel();
        let attached = AttachedProcess {
            forward,
            state: oneshot::channel().0,
        };
        let _ = self.overlay.send(OverlayRequest::Attach(attached)).await;
        match link.write_all(&LinkMessage::Ready.to_line()).await {
            Ok(()) => serve_link(link, orders, &self.overlay, &self.role).await,
            Err(e) => e.into(),
        }
    }

    async fn wait_for_new_processes(&self, mut socket: UnixListener) {
        loop {
            let link = match socket.accept().await {
                Ok((link, _)) => link,
                Err(e) => {
                    log::warn!(error:% = e; "hot restart: accept failed; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            log::info!("hot restart: a new process has connected");
            let end_reason = self.hand_over(link).await;
            log::warn!(detail:% = end_reason; "hot restart: the link to the new process has ended; this process serves all clients again");
            self.role.send_replace(RestartRole::Alone);
            // The new process may have replaced the socket at the path with its own.
            match self.bind() {
                Ok(rebound) => socket = rebound,
                Err(e) => {
                    log::warn!(path:% = self.path.display(), error:% = e; "hot restart: can't bind the socket again; keeping the earlier one");
                }
            }
        }
    }

    /// Hands over to a new process, then serves the link until it ends. Returns why it ended.
    async fn hand_over(&self, mut link: UnixStream) -> HotRestartError {
        match tokio::time::timeout(HAND_OVER_TIMEOUT, self.send_state(&mut link)).await {
            Ok(Ok(orders)) => serve_link(link, orders, &self.overlay, &self.role).await,
            Ok(Err(e)) => e,
            Err(_) => HotRestartError::Timeout,
        }
    }

    /// Binds a socket at a temporary path and renames it, so that the path is never without a listener.
    fn bind(&self) -> std::io::Result<UnixListener> {
        let temporary = self.path.with_extension(format!("{}", std::process::id()));
        let _ = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, &self.path)?;
        Ok(listener)
    }

    /// Sends the listening socket and the state. Returns the channel of later orders, which must be forwarded.
    async fn send_state(
        &self,
        link: &mut UnixStream,
    ) -> Result<mpsc::UnboundedReceiver<EjectionOrder>, HotRestartError> {
        self.role.send_replace(RestartRole::Overlapping);
        let (forward, orders) = mpsc::unbounded_channel();
        let (state, ejections) = oneshot::channel();
        let attach = OverlayRequest::Attach(AttachedProcess { forward, state });
        self.overlay
            .send(attach)
            .await
            .map_err(|_| HotRestartError::OverlayEnded)?;
        let message = StateMessage {
            version: MESSAGE_VERSION,
            ejections: ejections.await.map_err(|_| HotRestartError::OverlayEnded)?,
            name: self.name.clone(),
            listen: self.listen.clone(),
        };
        let body = serde_json::to_vec(&message)?;
        send_with_descriptor(link, &self.listener, &body).await?;
        Ok(orders)
    }
}
