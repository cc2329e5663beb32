//! The agent beside each proxy: finds the control plane, pulls what is new, and feeds the proxy over loopback.
//!
//! ```
//! # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
//! # runtime.block_on(async {
//! let text = r#"{"node_name":"edge-1","role":"agent","ip_addr":"127.0.0.9","zone":"a",
//!     "port_range":[7660,7675],"bind":{"agent":"127.0.0.1:0"},"seed_nodes":["127.0.0.8:8146"]}"#;
//! let boot = configuration::ProcessSettings::read(text).unwrap();
//! // Whoever follows the settings file says here when its seeds change.
//! let (_seeds, following) = tokio::sync::watch::channel(boot.seed_nodes.clone());
//! let stop = std::future::ready(());
//! agent::run(boot, following, stop).await.unwrap();
//! # });
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use configuration::ProcessSettings;
use replication::client::{self, Control};
use replication::{
    agent_addr, member_addr, non_member_info, serve, subscriber, Mirror, Puller, SharedMirror,
    MEMBERS_PER_AGENT,
};
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Most connections at once: one proxy needs one, and one more while it starts anew.
const CONNECTIONS: usize = 16;

/// Why the agent can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Its loopback address can't be listened on.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
}

/// Runs the agent until `stop`. `seeds` brings the seeds' `control` addresses whenever they change.
///
/// # Errors
/// Where it can't listen.
pub async fn run(
    boot: ProcessSettings,
    mut seeds: watch::Receiver<Vec<SocketAddrV4>>,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let addr = SocketAddrV4::from(&agent_addr(&boot));
    let listener = TcpListener::bind(addr)
        .await
        .context(ListenSnafu { addr })?;
    let shared = SharedMirror::new(mirror(&boot));
    let (control, told) = mpsc::unbounded_channel();
    let mut puller = puller(&boot);
    let first: Vec<_> = seeds
        .borrow_and_update()
        .iter()
        .map(|s| member_addr(&boot, s))
        .collect();
    puller.set_seeds(&first);
    let pulling = client::run(
        puller,
        non_member_info(&boot),
        subscriber(&boot, 0),
        shared.clone(),
        told,
    );
    let watching = follow_seeds(&boot, seeds, &control);
    let serving = async {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) if tasks.len() < CONNECTIONS => {
                        tasks.spawn(feed(stream, shared.clone(), control.clone()));
                    }
                    Ok(_) => log::warn!("more than {CONNECTIONS} connections on loopback"),
                    // Nothing to accept with: a pause lets others end.
                    Err(e) => {
                        log::warn!("accept: {e}");
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                },
                Some(_) = tasks.join_next() => {}
            }
        }
    };
    tokio::select! {
        () = stop => {}
        () = pulling => {}
        () = watching => {}
        () = serving => {}
    }
    Ok(())
}

/// What an agent starts with: nothing, and it takes nothing for the truth that a member tells which is cut off, while
/// another may know better.
pub fn mirror(boot: &ProcessSettings) -> Mirror {
    Mirror::new(0, Duration::from_millis(boot.beat_period_ms)).withholding_unconfirmed()
}

/// Whom an agent pulls from: a few members, one of which tells it the news.
pub fn puller(boot: &ProcessSettings) -> Puller {
    let mut puller = Puller::new(&boot.node_name, MEMBERS_PER_AGENT, None).preferring_one_member();
    puller.set_seeds(&replication::seed_addrs(boot));
    puller
}

/// Serves the proxy, and reports upward what it has in force.
async fn feed(
    stream: TcpStream,
    shared: std::sync::Arc<SharedMirror>,
    control: UnboundedSender<Control>,
) {
    let _ = stream.set_nodelay(true);
    let mut last = None;
    let ended = serve(stream, Vec::new(), shared, |caller| {
        if last.replace(caller.configuration_version) != Some(caller.configuration_version) {
            let _ = control.send(Control::Version(caller.configuration_version));
        }
    });
    if let Err(e) = ended.await {
        log::info!("proxy's connection ended: {e}");
    }
}

/// Hands the seeds on whenever they change.
async fn follow_seeds(
    boot: &ProcessSettings,
    mut seeds: watch::Receiver<Vec<SocketAddrV4>>,
    control: &UnboundedSender<Control>,
) {
    while seeds.changed().await.is_ok() {
        let now: Vec<_> = seeds
            .borrow_and_update()
            .iter()
            .map(|s| member_addr(boot, s))
            .collect();
        // The puller ends with the agent.
        let _ = control.send(Control::Seeds(now));
    }
    std::future::pending().await
}
