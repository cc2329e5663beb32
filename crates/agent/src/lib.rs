//! The agent that runs next to each proxy. It discovers the control plane's members, pulls updates from them, and
//! serves the updates to the proxy over loopback.
//!
//! ```
//! # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
//! # runtime.block_on(async {
//! let text = r#"{"node_name":"edge-1","role":"agent","ip_addr":"127.0.0.9","zone":"a",
//!     "port_range":[7660,7675],"bind":{"agent":"127.0.0.1:0"},"seed_nodes":["127.0.0.8:8146"]}"#;
//! let settings = configuration::ProcessSettings::read(text).unwrap();
//! // The task that watches the settings file sends changed seeds to this channel.
//! let (_sender, seeds) = tokio::sync::watch::channel(settings.seed_nodes.clone());
//! let shutdown = std::future::ready(());
//! agent::run(settings, seeds, shutdown).await.unwrap();
//! # });
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use configuration::ProcessSettings;
use protocol::Addr;
use replication::client::{self, ClientCommand};
use replication::{
    agent_addr, member_addr, non_member_info, serve, subscriber, Mirror, Puller, SharedMirror,
    MEMBERS_PER_AGENT,
};
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum number of open connections. A proxy needs one, and a second one while it restarts.
const MAX_CONNECTIONS: usize = 16;

/// Pause after a failed accept, in which other connections may end and free file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reason why the agent can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The agent can't listen on its loopback address.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// Address to listen on.
        addr: SocketAddrV4,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs the agent until `shutdown` completes. `seeds` contains the current `control` addresses of the seeds.
///
/// # Errors
/// [`Error::Listen`] if the agent can't listen on its loopback address.
pub async fn run(
    settings: ProcessSettings,
    mut seeds: watch::Receiver<Vec<SocketAddrV4>>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), Error> {
    let addr = SocketAddrV4::from(&agent_addr(&settings));
    tokio::pin!(shutdown);
    let listener = tokio::select! {
        () = &mut shutdown => return Ok(()),
        bound = bind_retry::bind(addr) => bound.context(ListenSnafu { addr })?,
    };
    let shared_mirror = SharedMirror::new(mirror(&settings));
    let (client_control, client_control_receiver) = mpsc::unbounded_channel();
    let mut puller = puller(&settings);
    puller.set_seeds(&seed_member_addrs(&settings, &mut seeds));
    let pulling = client::run(
        puller,
        non_member_info(&settings),
        subscriber(&settings, 0),
        shared_mirror.clone(),
        client_control_receiver,
    );
    tokio::select! {
        () = &mut shutdown => {}
        () = pulling => {}
        () = forward_seed_changes(&settings, seeds, &client_control) => {}
        () = accept_connections(&listener, &shared_mirror, &client_control) => {}
    }
    Ok(())
}

/// Creates the mirror of a starting agent. The mirror is empty, and withholds an unconfirmed configuration as long as
/// another member may know a newer one.
pub fn mirror(settings: &ProcessSettings) -> Mirror {
    let heartbeat_period = Duration::from_millis(settings.beat_period_ms);
    Mirror::new(0, heartbeat_period).withholding_unconfirmed()
}

/// Creates the puller of an agent. It pulls from up to [`MEMBERS_PER_AGENT`] members, and waits for updates at one of
/// them.
pub fn puller(settings: &ProcessSettings) -> Puller {
    let mut puller =
        Puller::new(&settings.node_name, MEMBERS_PER_AGENT, None).preferring_one_member();
    puller.set_seeds(&replication::seed_addrs(settings));
    puller
}

/// Accepts connections of the proxy and serves them. Rejects those beyond [`MAX_CONNECTIONS`].
async fn accept_connections(
    listener: &TcpListener,
    shared_mirror: &Arc<SharedMirror>,
    client_control: &UnboundedSender<ClientCommand>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(serve_connection(stream, shared_mirror.clone(), client_control.clone()));
                }
                Ok(_) => log::warn!("rejected a connection of the proxy: {MAX_CONNECTIONS} connections are open already"),
                Err(error) => {
                    log::warn!("could not accept a connection of the proxy, will retry: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection of the proxy, and reports changes of the configuration version that is in force there.
async fn serve_connection(
    stream: TcpStream,
    shared_mirror: Arc<SharedMirror>,
    client_control: UnboundedSender<ClientCommand>,
) {
    let _ = stream.set_nodelay(true);
    let mut reported_version = None;
    let serving = serve(stream, Vec::new(), shared_mirror, |proxy| {
        let version = proxy.configuration_version;
        if reported_version.replace(version) != Some(version) {
            let _ = client_control.send(ClientCommand::SetConfigurationVersion(version));
        }
    });
    if let Err(error) = serving.await {
        log::info!("connection of the proxy ended: {error}");
    }
}

/// Forwards changed seeds to the pulling client. Never completes.
async fn forward_seed_changes(
    settings: &ProcessSettings,
    mut seeds: watch::Receiver<Vec<SocketAddrV4>>,
    client_control: &UnboundedSender<ClientCommand>,
) {
    while seeds.changed().await.is_ok() {
        // Sending can't fail before shutdown, as the client runs as long as the agent.
        let _ = client_control.send(ClientCommand::SetSeeds(seed_member_addrs(
            settings, &mut seeds,
        )));
    }
    std::future::pending::<()>().await;
}

/// Addresses for internal messages of the machines that are seeds now.
fn seed_member_addrs(
    settings: &ProcessSettings,
    seeds: &mut watch::Receiver<Vec<SocketAddrV4>>,
) -> Vec<Addr> {
    seeds
        .borrow_and_update()
        .iter()
        .map(|seed| member_addr(settings, seed))
        .collect()
}
