//! The coordinator as a process: all actors put together, from start to SIGTERM.

use crate::config::{Config, HostDialect, Source};
use crate::core::{self, Clock, Core, Mail, Table};
use crate::counters::Counters;
use crate::front::opensearch::hosts::OpenSearchHosts;
use crate::front::opensearch::OpenSearch;
use crate::front::platform::Platform;
use crate::front::Fronts;
use crate::interface::ListKind;
use crate::net::dns_sd::Browser;
use crate::net::http::{self, Limits};
use crate::net::link::{Dialect, Frames};
use crate::net::list::Watch;
use crate::net::peer::Peers;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
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
        let counters = Counters::default();
        serve(config, listener, counters.clone(), stopping, moves).await?;
        log::info!("stopped: {}", counters.line());
        Ok(())
    })
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
    log::info!("{}", config.summary());
    let (mail, inbox) = mpsc::unbounded_channel();
    let core = Core::new(mail.clone());
    // New with each start: ids that clients hold from an earlier one must not be taken for this one's.
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let incarnation = started ^ config.seed;
    let opensearch = config.operator.opensearch.as_ref();
    let opensearch =
        opensearch.map(|o| OpenSearch::new(o, &config.site, core.clone(), counters.clone(), incarnation));
    let platform = Platform::new(core, counters.clone(), &config.site);
    let fronts = Fronts { platform, opensearch };
    let dialect: Arc<dyn Dialect> = match config.operator.hosts {
        HostDialect::Frames => Arc::new(Frames),
        HostDialect::OpenSearch => Arc::new(OpenSearchHosts),
    };
    let (caps, room) = (config.site.caps.clone(), config.room);
    let longest = config.site.settings.classes.iter().map(|c| c.limit).max().unwrap_or_default();
    let answer_by = longest.min(STOP_MOST) + STOP_MORE;
    let serve_on = answer_by.saturating_sub(STOP_KEPT);
    let peers = Peers::new(dialect, caps, room.links, mail.clone(), counters.clone());
    let table = Table::new(config.site, config.seed, Clock::new(), peers, room.held, counters.clone());
    let revision = (!config.known.members.is_empty()).then_some(config.known.revision);
    // The list as last known comes first, so that the first query finds hosts.
    let _ = mail.send(Mail::List(ListKind::Cached, config.known.members));
    let core_task = tokio::spawn(core::start(table, inbox));
    if let Some(d) = config.operator.dns_sd {
        let (responder, service, core) = (d.responder, d.service, mail);
        tokio::spawn(Browser { responder, service, core, counters: counters.clone() }.run());
    } else if let Some(addr) = config.discovery {
        let (counters, replaces) = (counters.clone(), Vec::new());
        tokio::spawn(Watch { addr, revision, core: mail, counters, replaces }.follow_moves(moves));
    }
    let limits = Limits { clients: room.clients, most: room.clients + room.turned_away, serve_on, answer_by };
    tokio::select! {
        _ = http::serve(listener, Arc::new(fronts), limits, counters, stop) => Ok(()),
        _ = core_task => Err(std::io::Error::other("the core has ended")),
    }
}
