//! The coordinator as a process: all actors put together, from start to SIGTERM.

use crate::config::{Config, HostDialect, Room, Source};
use crate::core::{self, Clock, Core, Mail, Table};
use crate::counters::Counters;
use crate::front::opensearch::hosts::OpenSearchHosts;
use crate::front::opensearch::OpenSearch;
use crate::front::platform::Platform;
use crate::front::Fronts;
use crate::interface::ListKind;
use crate::net::dns_sd::Browser;
use crate::net::http::{self, Incoming, Limits};
use crate::net::link::{Dialect, Frames};
use crate::net::list::{Pace, Watch};
use crate::net::peer::Peers;
use crate::shard;
use fennelpin_shared::deal::Deal;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};

/// The platform ends the process no sooner after SIGTERM than the longest time a client waits, up to this,
/// and some more; by a margin before that all must be answered, and for the last of it nothing new is taken.
const STOP_MOST: Duration = Duration::from_secs(3);
const STOP_MORE: Duration = Duration::from_millis(500);
const STOP_KEPT: Duration = Duration::from_millis(350);

/// Serves until SIGTERM or SIGINT and all that was taken is answered. SIGHUP reads the configuration again
/// and follows its `discovery`; all else takes a restart.
pub fn run(config: Config, source: Source) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let (stop, stopping) = watch::channel(false);
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        // Before anyone can take this process for ready: unhandled, the signal would end it.
        let mut hup = signal(SignalKind::hangup())?;
        let (moved, moves) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while hup.recv().await.is_some() {
                match source.reload() {
                    Ok(Config { discovery, .. }) => {
                        log::info!("configuration: read again, discovery={discovery:?}");
                        discovery.into_iter().for_each(|d| drop(moved.send(d)));
                    }
                    Err(e) => log::error!("configuration: {e}; the one before stays"),
                }
            }
        });
        tokio::spawn(async move {
            tokio::select! { _ = term.recv() => {} _ = int.recv() => {} }
            log::info!("stopping: serving on for a moment, then answering all that was taken");
            let _ = stop.send(true);
        });
        let listener = TcpListener::bind(&config.listen).await?;
        log::info!("listening on {}", listener.local_addr()?);
        let counters = Counters::striped(config.operator.cores.map_or(1, |c| c.count));
        serve(config, listener, counters.clone(), stopping, moves).await?;
        log::info!("stopped: {}", counters.line());
        Ok(())
    })
}

/// When a client that finds no room is asked to come back, where the settings name no longest wait.
pub(crate) const HINT: Duration = Duration::from_secs(1);

/// All fronts over the way to the core.
pub(crate) fn fronts(config: &Config, core: Core, counters: &Counters) -> Fronts {
    // New with each start: ids that clients hold from an earlier one must not be taken for this one's.
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let incarnation = started ^ config.seed;
    let opensearch = config.operator.opensearch.as_ref();
    let opensearch =
        opensearch.map(|o| OpenSearch::new(o, &config.site, core.clone(), counters.clone(), incarnation));
    Fronts { platform: Platform::new(core, counters.clone(), &config.site), opensearch }
}

/// How hosts are spoken to.
pub(crate) fn dialect(config: &Config) -> Arc<dyn Dialect> {
    match config.operator.hosts {
        HostDialect::Frames => Arc::new(Frames),
        HostDialect::OpenSearch => Arc::new(OpenSearchHosts),
    }
}

/// Limits of the server of clients that has this room.
pub(crate) fn limits(config: &Config, room: Room) -> Limits {
    let longest = config.site.settings.classes.iter().map(|c| c.limit).max().unwrap_or_default();
    let answer_by = longest.min(STOP_MOST) + STOP_MORE;
    let serve_on = answer_by.saturating_sub(STOP_KEPT);
    Limits { clients: room.clients, most: room.clients + room.turned_away, serve_on, answer_by }
}

/// Starts the actor of the host list; its news go to `core`.
pub(crate) fn list_source(
    config: Config,
    core: mpsc::UnboundedSender<Mail>,
    counters: &Counters,
    moves: mpsc::UnboundedReceiver<String>,
) {
    let counters = counters.clone();
    let revision = (!config.known.members.is_empty()).then_some(config.known.revision);
    if let Some(d) = config.operator.dns_sd {
        tokio::spawn(Browser { responder: d.responder, service: d.service, core, counters }.run());
    } else if let Some(addr) = config.discovery {
        let settings = &config.site.settings;
        let shared = settings.must_ask_in.map(|within| (settings.routers, within));
        let (pace, replaces) = (Pace { seed: config.seed, shared }, Vec::new());
        tokio::spawn(Watch { addr, revision, core, counters, pace, replaces }.follow_moves(moves));
    }
}

/// Serves on a listener until told to stop; `moves` brings new addresses of discovery. An error means that the core itself has ended: without it
/// every query would be lost, so the process must end and be started again.
pub async fn serve(
    config: Config,
    listener: TcpListener,
    counters: Counters,
    stop: watch::Receiver<bool>,
    moves: mpsc::UnboundedReceiver<String>,
) -> std::io::Result<()> {
    if let Some(cores) = config.operator.cores.filter(|c| c.count > 1) {
        return shard::run(config, cores, listener, counters, stop, moves).await;
    }
    log::info!("{}", config.summary());
    let (mail, inbox) = mpsc::unbounded_channel();
    let (origin, deal) = (Instant::now(), Deal::new(1, config.site.caps.open));
    let hint = config.site.settings.retry_after_max.unwrap_or(HINT);
    let core = Core::new(vec![mail.clone()], deal.clone(), origin, hint, counters.clone());
    let fronts = fronts(&config, core, &counters);
    let (room, limits) = (config.room, limits(&config, config.room));
    let caps = config.site.caps.clone();
    let peers = Peers::new(dialect(&config), caps, room.links, mail.clone(), counters.clone(), None);
    let site = config.site.clone();
    let table = Table::new(site, config.seed, Clock::new(), peers, room.held, counters.clone());
    // The list as last known comes first, so that the first query finds hosts.
    let _ = mail.send(Mail::List(ListKind::Cached, config.known.members.clone()));
    let core_task = tokio::spawn(core::start(table, inbox, (deal, 0, origin)));
    list_source(config, mail, &counters, moves);
    let incoming = Incoming::Listener(listener);
    tokio::select! {
        _ = http::serve(incoming, Arc::new(fronts), limits, counters, stop) => Ok(()),
        _ = core_task => Err(std::io::Error::other("the core has ended")),
    }
}
