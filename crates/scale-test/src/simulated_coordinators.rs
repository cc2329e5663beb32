//! Simulated coordinators: each has an agent's mirror and its pulls over real connections, but no proxy.

use crate::lock;
use crate::plan::RunPlan;
use configuration::ProcessSettings;
use replication::{client, Mirror, Puller, SharedMirror};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinHandle;

/// What one coordinator has seen.
#[derive(Default)]
pub(crate) struct CoordinatorLog {
    /// The versions that came in force, and when.
    pub(crate) versions: Vec<(u64, Instant)>,
    /// When it was started; `None` while it doesn't run.
    pub(crate) started_at: Option<Instant>,
    pub(crate) mirror: Option<Arc<SharedMirror>>,
}

/// What all coordinators have seen, by number.
pub(crate) type CoordinatorLogs = Arc<Mutex<Vec<CoordinatorLog>>>;

/// Starts and stops coordinators.
pub(crate) enum CoordinatorCommand {
    /// Starts those with these numbers.
    Start(Vec<usize>),
    /// Stops those with these numbers.
    Stop(Vec<usize>),
}

/// A running coordinator. It ends when this is dropped.
struct Coordinator {
    tasks: [JoinHandle<()>; 2],
    /// The pulls end when this is dropped.
    _control: UnboundedSender<client::ClientCommand>,
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Runs coordinators until the commands end. Those with numbers from `plan.coordinators` on are proxies behind real
/// agents.
pub(crate) async fn run(
    plan: Arc<RunPlan>,
    logs: CoordinatorLogs,
    mut commands: UnboundedReceiver<CoordinatorCommand>,
) {
    let mut running: Vec<Option<Coordinator>> = Vec::new();
    running.resize_with(plan.coordinators + plan.agents, || None);
    while let Some(command) = commands.recv().await {
        match command {
            CoordinatorCommand::Start(numbers) => {
                for number in numbers {
                    if let Some(coordinator) = start(&plan, number, &logs) {
                        running[number] = Some(coordinator);
                    }
                }
            }
            CoordinatorCommand::Stop(numbers) => {
                for number in numbers {
                    running[number] = None;
                    let mut logs = lock(&logs);
                    logs[number].started_at = None;
                    logs[number].mirror = None;
                }
            }
        }
    }
}

/// Starts a coordinator; `None` where its settings are invalid.
fn start(plan: &RunPlan, number: usize, logs: &CoordinatorLogs) -> Option<Coordinator> {
    let agent = number.checked_sub(plan.coordinators);
    let settings = match agent {
        Some(agent) => plan.agent_settings(agent),
        None => plan.coordinator_settings(number),
    };
    let settings = ProcessSettings::read(&settings.to_string()).ok()?;
    let puller = if agent.is_some() {
        proxy_puller(&settings)
    } else if plan.pull_from_all {
        puller_from_all_members(&settings)
    } else {
        agent::puller(&settings)
    };
    Some(spawn(number, logs, &settings, puller))
}

/// Pulls as a proxy does: from the agent of its machine alone.
fn proxy_puller(settings: &ProcessSettings) -> Puller {
    let mut puller = Puller::new(&settings.node_name, 1, None).seeds_only();
    puller.set_seeds(&[replication::agent_addr(settings)]);
    puller
}

/// Pulls from all members that an agent watches.
fn puller_from_all_members(settings: &ProcessSettings) -> Puller {
    let mut puller = Puller::new(&settings.node_name, replication::MEMBERS_PER_AGENT, None);
    puller.set_seeds(&replication::seed_addrs(settings));
    puller
}

fn spawn(
    number: usize,
    logs: &CoordinatorLogs,
    settings: &ProcessSettings,
    puller: Puller,
) -> Coordinator {
    let heartbeat_interval = Duration::from_millis(settings.beat_period_ms);
    let mirror = SharedMirror::new(Mirror::new(0, heartbeat_interval));
    let (control, control_events) = unbounded_channel();
    let watching = watch_versions(number, logs.clone(), mirror.clone(), control.clone());
    {
        let mut logs = lock(logs);
        logs[number].started_at = Some(Instant::now());
        logs[number].mirror = Some(mirror.clone());
    }
    let pulling = client::run(
        puller,
        replication::non_member_info(settings),
        replication::subscriber(settings, 0),
        mirror,
        control_events,
    );
    Coordinator {
        tasks: [tokio::spawn(pulling), tokio::spawn(watching)],
        _control: control,
    }
}

/// Logs each new version of the configuration, and confirms that it is in force.
fn watch_versions(
    number: usize,
    logs: CoordinatorLogs,
    mirror: Arc<SharedMirror>,
    control: UnboundedSender<client::ClientCommand>,
) -> impl std::future::Future<Output = ()> {
    let mut changes = mirror.changes();
    async move {
        let mut version_in_force = 0;
        loop {
            changes.borrow_and_update();
            let version = mirror.update(|mirror, _| mirror.configuration().version);
            if version > version_in_force {
                version_in_force = version;
                let entry = (version, Instant::now());
                lock(&logs)[number].versions.push(entry);
                let _ = control.send(client::ClientCommand::SetConfigurationVersion(version));
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
