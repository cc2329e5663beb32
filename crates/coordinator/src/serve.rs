//! The coordinator as a process: all actors put together, from start to SIGTERM.

use crate::config::{Config, HostDialect, Room, Source};
use crate::core::{self, Clock, CoreHandle, CoreMessage, Dispatch, QueryTable};
use crate::counters::Counters;
use crate::front::opensearch::hosts::OpenSearchHosts;
use crate::front::opensearch::OpenSearch;
use crate::front::platform::Platform;
use crate::front::Fronts;
use crate::interface::ListKind;
use crate::net::discovery_watch::{DiscoveryBackoff, Watch};
use crate::net::dns_sd::Browser;
use crate::net::gossip::GossipSocket;
use crate::net::hosts::HostConnections;
use crate::net::http::{self, Gated, Incoming, Limits};
use crate::net::link::{Dialect, Frames};
use crate::ops::admin_server::AdminServer;
use crate::ops::hot_restart::{self, HotRestart, RestartRole, TakenOverState};
use crate::ops::list_overlay::{self, ListOverlay, OverlayRequest};
use crate::ops::manual_ejection::ManualEjections;
use crate::ops::Readiness;
use crate::peers::LoadPublisher;
use crate::shard;
use multi_core::core_dispatch::CoreDispatcher;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket, UnixStream};
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
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
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
        let (listener, before) = match &config.desk {
            None => (TcpListener::bind(&config.listen).await?, None),
            Some(_) => take_over(&config).await?,
        };
        log::info!("listening on {}", listener.local_addr()?);
        let desk = config.desk.as_ref().map(|at| bind_desk(at)).transpose()?;
        let counters = Counters::striped(config.operator.cores.map_or(1, |c| c.count));
        serve(
            config,
            Doors {
                clients: listener,
                desk,
                before,
            },
            counters.clone(),
            stopping,
            moves,
        )
        .await?;
        log::info!("stopped: {}", counters.line());
        Ok(())
    })
}

fn bind_desk(at: &str) -> std::io::Result<std::net::TcpListener> {
    let named =
        |e: std::io::Error| std::io::Error::new(e.kind(), format!("operator's address {at}: {e}"));
    let desk = std::net::TcpListener::bind(at).map_err(named)?;
    log::info!("operator's address on {}", desk.local_addr()?);
    Ok(desk)
}

/// The clients' listening socket from a process of this coordinator that runs, with what it tells; or else
/// one of our own, beside which another can listen.
async fn take_over(
    config: &Config,
) -> std::io::Result<(TcpListener, Option<(ManualEjections, UnixStream)>)> {
    if let Some(path) = hot_restart::socket_path(&config.name).filter(|p| p.exists()) {
        match hot_restart::take_over(&path, &config.name, &config.listen).await {
            Ok(TakenOverState {
                listener,
                ejections,
                link,
            }) => {
                log::info!(out = ejections.ejected().count(), hosts = ejections.endpoints().len(); "hot restart: taken over");
                return Ok((TcpListener::from_std(listener)?, Some((ejections, link))));
            }
            Err(e) => {
                log::warn!(path:% = path.display(), error:% = e; "hot restart: nothing taken over");
            }
        }
    }
    let mut last = std::io::ErrorKind::AddrNotAvailable.into();
    for addr in tokio::net::lookup_host(&config.listen).await? {
        let bound = || {
            let socket = if addr.is_ipv4() {
                TcpSocket::new_v4()
            } else {
                TcpSocket::new_v6()
            }?;
            socket.set_reuseaddr(true)?;
            socket.set_reuseport(true)?;
            socket.bind(addr)?;
            socket.listen(1024)
        };
        match bound() {
            Ok(listener) => return Ok((listener, None)),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// What the operators' staff work with.
pub struct Staff {
    /// Whether this process can serve.
    pub readiness: Readiness,
    /// The hosts that are out by hand.
    pub overlay: ListOverlay,
    /// What the list's actor is asked.
    pub requests: mpsc::Receiver<OverlayRequest>,
}

/// Where a coordinator listens.
pub struct Doors {
    /// For clients.
    pub clients: TcpListener,
    /// For the operators' staff, if that is configured.
    pub desk: Option<std::net::TcpListener>,
    /// What was taken over from another process, and the link to it.
    pub before: Option<(ManualEjections, UnixStream)>,
}

/// What the list's actor may be asked at once; one order more is refused.
const MOST_REQUESTS: usize = 64;
/// Limit on the load updates that wait for the socket; one more is dropped.
const MAX_QUEUED_UPDATES: usize = 8;

/// When a client that finds no room is asked to come back, where the settings name no longest wait.
pub(crate) const HINT: Duration = Duration::from_secs(1);

/// All fronts over the way to the core.
pub(crate) fn fronts(
    config: &Config,
    core: CoreHandle,
    counters: &Counters,
    readiness: Option<Readiness>,
) -> Fronts {
    // New with each start: ids that clients hold from an earlier one must not be taken for this one's.
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let incarnation = started ^ config.seed;
    let opensearch = config.operator.opensearch.as_ref();
    let opensearch = opensearch
        .map(|o| OpenSearch::new(o, &config.site, core.clone(), counters.clone(), incarnation));
    let platform = Platform::new(core, counters.clone(), &config.site, readiness);
    Fronts {
        platform,
        opensearch,
    }
}

/// How hosts are spoken to.
pub(crate) fn dialect(config: &Config) -> Arc<dyn Dialect> {
    match config.operator.hosts {
        HostDialect::Frames => Arc::new(Frames),
        HostDialect::OpenSearch => Arc::new(OpenSearchHosts),
    }
}

/// Limits of the server of clients that has this room.
pub(crate) fn limits(config: &Config, room: Room, beside: watch::Receiver<RestartRole>) -> Limits {
    let longest = config
        .site
        .router
        .classes
        .iter()
        .map(|c| c.client_timeout)
        .max()
        .unwrap_or_default();
    let answer_by = longest.min(STOP_MOST) + STOP_MORE;
    let serve_on = answer_by.saturating_sub(STOP_KEPT);
    let most = room.clients + room.turned_away;
    let (clients, patience, one_call) = (room.clients, http::PATIENCE, false);
    Limits {
        clients,
        most,
        serve_on,
        answer_by,
        patience,
        one_call,
        beside,
    }
}

/// Starts the actor of the host list; its news go to `core`.
pub(crate) fn list_source(
    config: Config,
    core: mpsc::UnboundedSender<CoreMessage>,
    counters: &Counters,
    moves: mpsc::UnboundedReceiver<String>,
) {
    let counters = counters.clone();
    let revision = (!config.known.members.is_empty()).then_some(config.known.revision);
    if let Some(d) = config.operator.dns_sd {
        tokio::spawn(
            Browser {
                responder: d.responder,
                service: d.service,
                core,
                counters,
            }
            .run(),
        );
    } else if let Some(addr) = config.discovery {
        let settings = &config.site.router;
        let shared = settings
            .subscribe_within
            .map(|within| (settings.routers, within));
        let pace = DiscoveryBackoff {
            seed: config.seed,
            shared,
            grace: config.site.limits.drain_grace,
        };
        let replaces = Vec::new();
        tokio::spawn(
            Watch {
                addr,
                revision,
                core,
                counters,
                pace,
                replaces,
            }
            .follow_moves(moves),
        );
    }
}

/// Serves until told to stop; `moves` brings new addresses of discovery. An error means that the core itself
/// has ended: without it every query would be lost, so the process must end and be started again.
pub async fn serve(
    config: Config,
    doors: Doors,
    counters: Counters,
    stop: watch::Receiver<bool>,
    moves: mpsc::UnboundedReceiver<String>,
) -> std::io::Result<()> {
    counters.of_classes(&config.site.classes);
    let Doors {
        clients: listener,
        desk,
        before,
    } = doors;
    let mut config = config;
    let (stand, beside) = watch::channel(if before.is_some() {
        RestartRole::Overlapping
    } else {
        RestartRole::Alone
    });
    let mut staff = None;
    if let Some(at) = desk {
        let readiness = Readiness::new(stop.clone(), beside.clone(), counters.clone());
        let (members, requests) = mpsc::channel(MOST_REQUESTS);
        AdminServer::new(readiness.clone(), counters.clone(), members.clone()).serve(at)?;
        let (ejections, link) = before
            .map_or((ManualEjections::default(), None), |(ejections, link)| {
                (ejections, Some(link))
            });
        if link.is_some() {
            config.known.members = ejections.endpoints();
        }
        if let Some(path) = hot_restart::socket_path(&config.name) {
            let (name, listen) = (config.name.clone(), config.listen.clone());
            let listener = std::net::TcpListener::from(listener.as_fd().try_clone_to_owned()?);
            let turnover = HotRestart {
                path,
                name,
                listen,
                listener,
                overlay: members,
                role: stand,
            };
            tokio::spawn(turnover.run(link));
        }
        staff = Some(Staff {
            readiness,
            overlay: ListOverlay::new(ejections),
            requests,
        });
    }
    let listener = Gated {
        listener,
        beside: beside.clone(),
    };
    if let Some(cores) = config.operator.cores.filter(|c| c.count > 1) {
        return shard::run(config, cores, listener, counters, stop, moves, staff).await;
    }
    log::info!("{}", config.summary());
    let (mail, inbox) = mpsc::unbounded_channel();
    let (origin, dispatcher) = (
        Instant::now(),
        CoreDispatcher::new(1, config.site.limits.max_open),
    );
    let hint = config.site.router.max_retry_after.unwrap_or(HINT);
    let dispatch = Dispatch { dispatcher, origin };
    let core = CoreHandle::new(vec![mail.clone()], dispatch.clone(), hint, counters.clone());
    let fronts = fronts(
        &config,
        core,
        &counters,
        staff.as_ref().map(|s| s.readiness.clone()),
    );
    let (room, limits) = (config.room, limits(&config, config.room, beside.clone()));
    let caps = config.site.limits.clone();
    let (count, cores) = (counters.clone(), None);
    let peers = HostConnections::new(
        dialect(&config),
        caps,
        room.links,
        mail.clone(),
        count,
        cores,
        beside,
    );
    let site = config.site.clone();
    let mut table = QueryTable::new(
        site,
        config.seed,
        Clock::new(),
        peers,
        room.held,
        counters.clone(),
    );
    if let Some((addresses, gossip)) = config.peer_addresses.clone().zip(config.site.talk) {
        // Unix time: a later process of this coordinator has a larger number.
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64;
        let (updates, outgoing) = mpsc::channel(MAX_QUEUED_UPDATES);
        table = table.with_gossip(
            LoadPublisher::new(gossip, incarnation, config.seed),
            updates,
        );
        tokio::spawn(
            GossipSocket {
                addresses,
                updates: outgoing,
                core: mail.clone(),
                counters: counters.clone(),
            }
            .run(),
        );
    }
    let (mut news, mut readiness) = (mail.clone(), None);
    if let Some(staff) = staff {
        let (told, inbox) = mpsc::unbounded_channel();
        tokio::spawn(list_overlay::run(
            staff.overlay,
            inbox,
            staff.requests,
            mail,
        ));
        (news, readiness) = (told, Some(staff.readiness));
    }
    // The list as last known comes first, so that the first query finds hosts.
    let _ = news.send(CoreMessage::HostList(
        ListKind::Cached,
        config.known.members.clone(),
    ));
    let core_task = tokio::spawn(core::run(table, inbox, 0, dispatch));
    list_source(config, news, &counters, moves);
    let incoming = Incoming::Listener(listener);
    readiness
        .iter()
        .for_each(super::ops::Readiness::set_accepting);
    tokio::select! {
        _ = http::serve(incoming, Arc::new(fronts), limits, counters, stop) => Ok(()),
        _ = core_task => Err(std::io::Error::other("the core has ended")),
    }
}
