//! Starts a member from its settings and its state directory. The order matters: the control API listens before the
//! disk is opened, and the connections to other processes follow once the identity is known.

mod connections;
mod control_api;
mod listen;
mod stored_state;

use super::event_loop::{EventLoop, Services};
use super::identity::StartContext;
use super::transitions::TransitionLog;
use super::{host_cache, storage};
use super::{
    NoControlSnafu, NoStateDirSnafu, RandomSnafu, RuntimeError, RuntimeSettings, StorageThreadSnafu,
};
use crate::configuration_history::ConfigurationHistory;
use crate::member::{Member, MemberConfig};
use configuration::ProcessSettings;
use connections::Connections;
use control_api::ControlApi;
use listen::listen;
use protocol::MemberInfo;
use replication::{Mirror, SharedMirror};
use snafu::{OptionExt, ResultExt};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use stored_state::{storage_event_reporter, wait_for_stored_state, StoredState};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Longest time for the departure at shutdown, if the platform's `grace_s` allows that much.
const MAX_DEPARTURE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time reserved between the end of the departure and the platform's SIGKILL.
const MIN_TIME_BEFORE_KILL: Duration = Duration::from_millis(1500);
/// Time to send the last replies before the process ends.
const FINAL_REPLIES_TIME: Duration = Duration::from_millis(200);
/// Longest history from which watches can be resumed, in seconds.
const MAX_WATCH_HISTORY_S: f64 = 3600.0;

/// Starts a member, runs it until `shutdown` completes, and lets it depart.
///
/// # Errors
/// Returns the errors of [`super::run`].
pub(super) async fn run_member(
    process: ProcessSettings,
    settings: RuntimeSettings,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let origin = Instant::now();
    let control_addr = process.bind.control.context(NoControlSnafu)?;
    let state_dir = process.state_dir.clone().context(NoStateDirSnafu)?;
    let (events, mut queue) = unbounded_channel();
    let context = start_context(&process, control_addr)?;
    // The API starts before the disk is opened, so that a stalled disk delays no client.
    let listener = listen(control_addr).await?;
    let api = ControlApi::start(&process, listener, events.clone(), settings.command_timeout);
    let storage = storage::start(state_dir, context, storage_event_reporter(&events))
        .context(StorageThreadSnafu)?;
    let mut shutdown = pin!(shutdown);
    let Some(stored) = wait_for_stored_state(&mut queue, shutdown.as_mut()).await? else {
        return Ok(());
    };
    let local_member = local_member_info(&process, control_addr, stored.identity.id);
    log_starting(&stored);
    let mirror = create_mirror(&process, &stored, origin);
    let history = Rc::new(RefCell::new(ConfigurationHistory::default()));
    let connections = Connections {
        process: &process,
        local_member: &local_member,
        incarnation: stored.identity.incarnation,
        mirror: &mirror,
        history: &history,
    };
    let peers = connections
        .start(&events, &api, seeds, settings.lease_duration)
        .await?;
    spawn_local(host_cache::store_changes(mirror.clone(), storage.clone()));
    let started_at = origin.elapsed();
    let member = create_member(&process, settings, local_member, &stored, started_at)?;
    let services = Services {
        storage,
        peers,
        mirror,
        shutdown: api.shutdown,
        history,
        counters_interval: settings.counters_interval,
        departure_timeout: departure_timeout(process.bounds.grace_s),
    };
    let transition_log = TransitionLog::new(process.node_name.clone());
    let mut event_loop = EventLoop::new(member, transition_log, origin, started_at, services);
    event_loop.run(&mut queue, shutdown, &api.counters).await;
    sleep(FINAL_REPLIES_TIME).await;
    event_loop.log_counters(&api.counters);
    Ok(())
}

/// Creates the state machine from the records that were on the disk.
fn create_member(
    process: &ProcessSettings,
    settings: RuntimeSettings,
    local_member: MemberInfo,
    stored: &StoredState,
    now: Duration,
) -> Result<Member, RuntimeError> {
    let initial_voters = stored.identity.initial_voters.clone();
    let config = MemberConfig {
        local_member,
        bootstrap_voters: Some(initial_voters).filter(|voters| !voters.is_empty()),
        fault_budget: process.fault_budget,
        lease_duration: settings.lease_duration,
        request_timeout: settings.command_timeout,
        disk_stall_timeout: settings.disk_stall_timeout,
        watch_history: Duration::from_secs_f64(
            process.bounds.history_s.clamp(0.0, MAX_WATCH_HISTORY_S),
        ),
    };
    let member = Member::new(config, &stored.records, now, random()?);
    if let Some(error) = member.replay_error() {
        log::error!(error:% = snafu::Report::from_error(error); "corrupt log: no vote, no replica");
    }
    Ok(member)
}

/// Creates the mirror and loads the last known hosts into it.
fn create_mirror(
    process: &ProcessSettings,
    stored: &StoredState,
    origin: Instant,
) -> Arc<SharedMirror> {
    let heartbeat_interval = Duration::from_millis(process.beat_period_ms);
    let mirror = Mirror::new(stored.identity.id, heartbeat_interval);
    let mirror = SharedMirror::since(mirror, origin);
    host_cache::restore(&mirror, &stored.identity, stored.host_cache.clone());
    mirror
}

fn log_starting(stored: &StoredState) {
    log::info!(
        id = stored.identity.id,
        incarnation = stored.identity.incarnation,
        records = stored.records.len(),
        initial_voter = !stored.identity.initial_voters.is_empty();
        "member starting"
    );
}

fn start_context(
    process: &ProcessSettings,
    control_addr: SocketAddrV4,
) -> Result<StartContext, RuntimeError> {
    Ok(StartContext {
        control: control_addr,
        seeds: process.seed_nodes.clone(),
        port: process.port_range.0,
        bootstrap: process.bootstrap,
        random: random()?,
        clock_ms: SystemTime::UNIX_EPOCH
            .elapsed()
            .map_or(0, |time| time.as_millis() as u64),
    })
}

fn local_member_info(process: &ProcessSettings, control_addr: SocketAddrV4, id: u64) -> MemberInfo {
    MemberInfo {
        id,
        name: process.node_name.clone(),
        addr: SocketAddrV4::new(process.ip_addr, process.port_range.0).into(),
        control_addr: control_addr.into(),
        zone: process.zone.clone(),
        region: process.region.clone(),
    }
}

fn random() -> Result<u64, RuntimeError> {
    getrandom::u64().context(RandomSnafu)
}

/// Returns the time that a member has for its departure: `grace_s` less the time reserved before the kill.
fn departure_timeout(grace_s: f64) -> Duration {
    let grace = Duration::try_from_secs_f64(grace_s).unwrap_or_default();
    grace
        .saturating_sub(MIN_TIME_BEFORE_KILL)
        .min(MAX_DEPARTURE_TIMEOUT)
}
