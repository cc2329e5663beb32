//! The agent beside each proxy. It finds the control plane, pulls updates from members, and passes them on to the proxy
//! over loopback.
//!
//! ```
//! # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
//! # runtime.block_on(async {
//! let text = r#"{"node_name":"edge-1","role":"agent","ip_addr":"127.0.0.9","zone":"a",
//!     "port_range":[7660,7675],"bind":{"agent":"127.0.0.1:0"},"seed_nodes":["127.0.0.8:8146"]}"#;
//! let settings = configuration::ProcessSettings::read(text).unwrap();
//! // Whoever watches the settings file sends the seeds here when they change.
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

/// The most connections at one time. A proxy needs one, and a second one while it restarts.
const MAX_CONNECTIONS: usize = 16;

/// Pause after a failed accept, so that other connections may end and free descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why the agent can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It can't listen on its loopback address.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
}

/// Runs the agent until `shutdown` completes. `seeds` holds the `control` addresses of the seeds.
///
/// # Errors
/// [`Error::Listen`] if it can't listen on its loopback address.
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
    let shared = SharedMirror::new(mirror(&settings));
    let (control, control_receiver) = mpsc::unbounded_channel();
    let mut puller = puller(&settings);
    puller.set_seeds(&seed_members(&settings, &mut seeds));
    let pulling = client::run(
        puller,
        non_member_info(&settings),
        subscriber(&settings, 0),
        shared.clone(),
        control_receiver,
    );
    tokio::select! {
        () = &mut shutdown => {}
        () = pulling => {}
        () = follow_seeds(&settings, seeds, &control) => {}
        () = accept_proxies(&listener, &shared, &control) => {}
    }
    Ok(())
}

/// The mirror that an agent starts with. It is empty, and withholds an unconfirmed configuration while another member may
/// know a newer one.
pub fn mirror(settings: &ProcessSettings) -> Mirror {
    let heartbeat_period = Duration::from_millis(settings.beat_period_ms);
    Mirror::new(0, heartbeat_period).withholding_unconfirmed()
}

/// The puller of an agent: it pulls from a few members and waits for updates at one of them.
pub fn puller(settings: &ProcessSettings) -> Puller {
    let mut puller =
        Puller::new(&settings.node_name, MEMBERS_PER_AGENT, None).preferring_one_member();
    puller.set_seeds(&replication::seed_addrs(settings));
    puller
}

/// Accepts the proxy's connections and serves them.
async fn accept_proxies(
    listener: &TcpListener,
    shared: &Arc<SharedMirror>,
    control: &UnboundedSender<ClientCommand>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(serve_proxy(stream, shared.clone(), control.clone()));
                }
                Ok(_) => log::warn!("more than {MAX_CONNECTIONS} connections on loopback"),
                Err(error) => {
                    log::warn!("accept: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection of the proxy, and reports the configuration version that is in force there.
async fn serve_proxy(
    stream: TcpStream,
    shared: Arc<SharedMirror>,
    control: UnboundedSender<ClientCommand>,
) {
    let _ = stream.set_nodelay(true);
    let mut reported_version = None;
    let serving = serve(stream, Vec::new(), shared, |proxy| {
        let version = proxy.configuration_version;
        if reported_version.replace(version) != Some(version) {
            let _ = control.send(ClientCommand::SetConfigurationVersion(version));
        }
    });
    if let Err(error) = serving.await {
        log::info!("proxy's connection ended: {error}");
    }
}

/// Passes the seeds on to the client whenever they change. Never completes.
async fn follow_seeds(
    settings: &ProcessSettings,
    mut seeds: watch::Receiver<Vec<SocketAddrV4>>,
    control: &UnboundedSender<ClientCommand>,
) {
    while seeds.changed().await.is_ok() {
        // The client ends only with the agent.
        let _ = control.send(ClientCommand::SetSeeds(seed_members(settings, &mut seeds)));
    }
    std::future::pending::<()>().await;
}

/// Where the present seeds take the system's own messages.
fn seed_members(
    settings: &ProcessSettings,
    seeds: &mut watch::Receiver<Vec<SocketAddrV4>>,
) -> Vec<Addr> {
    seeds
        .borrow_and_update()
        .iter()
        .map(|seed| member_addr(settings, seed))
        .collect()
}
