//! The agent beside each proxy: finds the control plane, pulls what is new, and feeds the proxy over loopback.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use almanac::Boot;
use graft::Addr;
use scion::client::{self, Control};
use scion::{agent_addr, caller, no_seat, seed_addrs, serve, Mirror, Puller, SharedMirror, WATCHED};
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{interval, MissedTickBehavior};

/// Pause between looks at the settings file.
const LOOK: Duration = Duration::from_secs(2);
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
    /// The signal for changed settings can't be taken.
    #[snafu(display("can't take SIGHUP: {source}"))]
    Hangup {
        /// The cause.
        source: std::io::Error,
    },
}

/// Runs the agent until `stop`. `settings` is the file that `boot` was read from: its seeds are read again
/// at SIGHUP and when the file changes.
///
/// # Errors
/// Where it can't listen or take signals.
pub async fn run(boot: Boot, settings: Option<PathBuf>, stop: impl Future<Output = ()>) -> Result<(), Error> {
    let mut hangup = signal(SignalKind::hangup()).context(HangupSnafu)?;
    let addr = SocketAddrV4::from(&agent_addr(&boot));
    let listener = TcpListener::bind(addr).await.context(ListenSnafu { addr })?;
    let shared = SharedMirror::new(Mirror::new(0, Duration::from_millis(boot.beat_period_ms)));
    let (control, told) = mpsc::unbounded_channel();
    let pulling = client::run(puller(&boot), no_seat(&boot), caller(&boot, 0), shared.clone(), told);
    let watching = watch_settings(settings.as_deref(), seed_addrs(&boot), &mut hangup, &control);
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

/// Whom an agent pulls from: a few members, one of which tells it the news.
pub fn puller(boot: &Boot) -> Puller {
    let mut puller = Puller::new(&boot.node_name, WATCHED, None).led();
    puller.set_seeds(&seed_addrs(boot));
    puller
}

/// Serves the proxy, and reports upward what it has in force.
async fn feed(stream: TcpStream, shared: std::sync::Arc<SharedMirror>, control: UnboundedSender<Control>) {
    let _ = stream.set_nodelay(true);
    let mut last = None;
    let ended = serve(stream, Vec::new(), shared, |caller| {
        if last.replace(caller.version) != Some(caller.version) {
            let _ = control.send(Control::Version(caller.version));
        }
    });
    if let Err(e) = ended.await {
        log::info!("proxy's connection ended: {e}");
    }
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

async fn watch_settings(
    path: Option<&Path>,
    mut seeds: Vec<Addr>,
    hangup: &mut Signal,
    control: &UnboundedSender<Control>,
) {
    let Some(path) = path else { return std::future::pending().await };
    // The first look reads: the file may have changed since the start.
    let mut seen = None;
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let told = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            _ = looks.tick() => false,
        };
        let now = changed_at(path);
        if !told && now == seen {
            continue;
        }
        // A file that can't be read now may be half written: the next look reads it again.
        let read = std::fs::read_to_string(path).map_err(|e| e.to_string());
        match read.and_then(|text| Boot::read(&text).map_err(|e| e.to_string())) {
            Ok(boot) => {
                seen = now;
                let new = seed_addrs(&boot);
                if new != seeds {
                    log::info!(
                        "seeds: {}",
                        boot.seed_nodes.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
                    );
                    seeds = new;
                    let _ = control.send(Control::Seeds(seeds.clone()));
                }
            }
            Err(e) => log::warn!("settings not read again: {e}"),
        }
    }
}
