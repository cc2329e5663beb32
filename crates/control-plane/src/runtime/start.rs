//! From the settings and the disk to a member that runs: what listens, what is linked, and in which order.

use super::control_server::{ControlCounters, ControlServer};
use super::event_loop::EventLoop;
use super::identity::{Identity, StartContext};
use super::peer_connections::{PeerConnections, PeerEvent};
use super::request_handler::{OpenMember, RequestHandler};
use super::status::PublishedControlPlane;
use super::storage::{self, StorageEvent};
use super::transitions::{self, Recorder};
use super::{host_cache, inbound, seeds};
use super::{
    Event, Events, ListenSnafu, NoControlSnafu, NoDiskSnafu, RuntimeError, RuntimeSettings,
    ThreadSnafu,
};
use crate::configuration_history::ConfigurationHistory;
use crate::member::{Member, MemberConfig};
use crate::registry_publisher::RegistryPublisher;
use configuration::ProcessSettings;
use protocol::MemberInfo;
use replication::{client, Mirror, Puller, SharedMirror};
use snafu::{OptionExt, ResultExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Longest wait for a listener's port.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the handing over at the end, where the platform's `grace_s` leaves so much.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(5);
/// Time between the end of the handing over and the platform's SIGKILL, at least.
const BEFORE_KILL: Duration = Duration::from_millis(1500);
/// Descriptors that are kept for files, links and pulls.
const OTHER_DESCRIPTORS: u64 = 400;
/// Fewest and most callers of the control API at once.
const CALLERS: (usize, usize) = (64, 2048);
/// How often hosts' records are looked at in the time between two heartbeats.
const FEED_TICKS_PER_BEAT: u32 = 4;
/// Time for answers that are under way at the end.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Starts a member, runs it until `stop`, and ends it.
///
/// # Errors
/// As [`super::run`].
pub(super) async fn run_member(
    boot: ProcessSettings,
    tuning: RuntimeSettings,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    stop: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let origin = Instant::now();
    let control = boot.bind.control.context(NoControlSnafu)?;
    let dir = boot.state_dir.clone().context(NoDiskSnafu)?;
    let (events, mut queue) = unbounded_channel();
    let facts = start_facts(&boot, control)?;
    let tell = {
        let events = events.clone();
        // No receiver: the process is about to end.
        move |told| drop(events.send(Event::Disk(told)))
    };
    // A disk that stalls holds up no caller.
    let api = listen(control).await?;
    let counters = Rc::new(ControlCounters::default());
    let (leave, leaving) = watch::channel(false);
    let (open_desk, opened) = watch::channel(None);
    let name = boot.node_name.clone();
    let desk = RequestHandler::new(
        name,
        events.clone(),
        tuning.patience,
        leaving.clone(),
        opened,
    );
    spawn_local(
        ControlServer::new(desk, most_callers(&boot), counters.clone(), leaving).listen(api),
    );
    let disk = storage::start(dir, facts, tell).context(ThreadSnafu)?;
    let mut stop = pin!(stop);
    let opened = tokio::select! {
        opened = open(&mut queue) => opened,
        () = stop.as_mut() => return Ok(()),
    };
    let Some((identity, records, roster)) = opened else {
        return Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe)).context(ThreadSnafu);
    };
    let me = member_info(&boot, control, identity.id);
    log::info!(
        id = identity.id,
        life = identity.life,
        records = records.len(),
        founder = !identity.initial_voters.is_empty();
        "member starts"
    );

    let announced = events.clone();
    let links = PeerConnections::new(me.clone(), move |heard| {
        drop(events.send(Event::PeerEvent(heard)));
    });
    let beat = Duration::from_millis(boot.beat_period_ms);
    let mirror = SharedMirror::since(Mirror::new(identity.id, beat), origin);
    host_cache::recall(&mirror, &identity, roster);
    let feed = RegistryPublisher::new(identity.id, identity.life, beat, mirror.clone());
    let history = Rc::new(RefCell::new(ConfigurationHistory::default()));
    let inside = listen(
        boot.bind
            .member
            .unwrap_or_else(|| SocketAddrV4::from(&me.addr)),
    )
    .await?;
    open_desk.send_replace(Some(Rc::new(OpenMember {
        me: me.clone(),
        life: identity.life,
        links: links.clone(),
        feed: feed.clone(),
        history: history.clone(),
    })));
    spawn_local(inbound::accept(inside, links.clone(), feed.clone()));
    spawn_local(announce(links.clone(), announced, tuning.lease));
    spawn_local(keep_feed(feed, history.clone(), beat / FEED_TICKS_PER_BEAT));
    // What other members were told comes by pulls, like an agent's.
    let (pulls, told) = unbounded_channel();
    let puller = Puller::new(&boot.node_name, usize::MAX, Some(me.addr));
    let caller = replication::caller(&boot, identity.id);
    spawn_local(client::run(
        puller,
        me.clone(),
        caller,
        mirror.clone(),
        told,
    ));
    spawn_local(host_cache::keep(mirror.clone(), disk.clone()));
    spawn_local(seeds::follow(
        links.clone(),
        pulls,
        seeds,
        boot.port_range.0,
    ));

    let bootstrap_voters = Some(identity.initial_voters).filter(|voters| !voters.is_empty());
    let config = MemberConfig {
        local_member: me,
        bootstrap_voters,
        fault_budget: boot.fault_budget,
        lease_duration: tuning.lease,
        request_timeout: tuning.patience,
        disk_stall_timeout: tuning.stall,
    };
    let now = origin.elapsed();
    let member = Member::new(config, &records, now, random()?);
    if let Some(error) = member.replay_error() {
        log::error!(error:% = snafu::Report::from_error(error); "the records can't be relied on: no say, no ledger");
    }
    let recorder = Recorder::new(&member);
    transitions::log_start(recorder.summary());
    let mut event_loop = EventLoop {
        member,
        outputs: Vec::new(),
        origin,
        wake: Some(now),
        callers: HashMap::new(),
        tickets: 0,
        left: false,
        steps: 0,
        known: PublishedControlPlane::default(),
        disk,
        links,
        mirror,
        leave,
        history,
        period: tuning.counters,
        leave_time: leave_time(boot.bounds.grace_s),
        recorder,
    };
    event_loop.run(&mut queue, stop, &counters).await;
    sleep(LAST_ANSWERS_TIME).await;
    event_loop.count(&counters);
    Ok(())
}

fn start_facts(
    boot: &ProcessSettings,
    control: SocketAddrV4,
) -> Result<StartContext, RuntimeError> {
    Ok(StartContext {
        control,
        seeds: boot.seed_nodes.clone(),
        port: boot.port_range.0,
        bootstrap: boot.bootstrap,
        random: random()?,
        clock_ms: SystemTime::UNIX_EPOCH
            .elapsed()
            .map_or(0, |d| d.as_millis() as u64),
    })
}

fn member_info(boot: &ProcessSettings, control: SocketAddrV4, id: u64) -> MemberInfo {
    MemberInfo {
        id,
        name: boot.node_name.clone(),
        addr: SocketAddrV4::new(boot.ip_addr, boot.port_range.0).into(),
        control: control.into(),
        zone: boot.zone.clone(),
        region: boot.region.clone(),
    }
}

/// How many callers the control API takes at once: what the descriptors allow beside all else that needs one.
fn most_callers(boot: &ProcessSettings) -> usize {
    let left = boot.limits.fd_limit.saturating_sub(OTHER_DESCRIPTORS);
    (left as usize).clamp(CALLERS.0, CALLERS.1)
}

/// Lets time pass for the hosts' records, and notes which configurations were in force.
async fn keep_feed(
    feed: Arc<RegistryPublisher>,
    history: Rc<RefCell<ConfigurationHistory>>,
    pause: Duration,
) {
    loop {
        sleep(pause).await;
        feed.tick();
        history
            .borrow_mut()
            .note(&feed.shared().snapshot().document, SystemTime::now());
    }
}

/// Tells the member again and again who is in touch: members without a say send it nothing, and one that came while
/// it couldn't join would be taken for gone.
async fn announce(links: PeerConnections, events: Events, period: Duration) {
    loop {
        sleep(period).await;
        for seat in links.seats().into_iter().skip(1) {
            if events
                .send(Event::PeerEvent(PeerEvent::Hello(seat)))
                .is_err()
            {
                return;
            }
        }
    }
}

/// Waits until the disk has told who this member is and what it holds; none where its thread has ended.
async fn open(
    queue: &mut UnboundedReceiver<Event>,
) -> Option<(Identity, Vec<Vec<u8>>, Option<Vec<u8>>)> {
    let mut refused = false;
    loop {
        match queue.recv().await? {
            Event::Disk(StorageEvent::Open {
                identity,
                records,
                roster,
            }) => {
                return Some((identity, records, roster));
            }
            Event::Disk(StorageEvent::NotOpen { detail }) if !refused => {
                refused = true;
                log::error!(detail; "the disk's files can't be opened yet");
            }
            _ => {}
        }
    }
}

/// Listens, once the port is free: the life before may not be gone quite yet.
async fn listen(addr: SocketAddrV4) -> Result<TcpListener, RuntimeError> {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                sleep(Duration::from_millis(50)).await;
            }
            done => return done.context(ListenSnafu { addr }),
        }
    }
}

fn random() -> Result<u64, RuntimeError> {
    getrandom::u64().map_err(|e| RuntimeError::Random {
        detail: e.to_string(),
    })
}

/// How long a member that is asked to end may wait for others to hold what it holds.
fn leave_time(grace_s: f64) -> Duration {
    let grace = Duration::try_from_secs_f64(grace_s).unwrap_or_default();
    grace.saturating_sub(BEFORE_KILL).min(MAX_LEAVE_TIME)
}
