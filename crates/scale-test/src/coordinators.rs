//! Hollow coordinators: each an agent's mirror and pulls over real connections, without a proxy.

use crate::plan::Plan;
use configuration::ProcessSettings;
use replication::{client, Mirror, Puller, SharedMirror};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinHandle;

/// What is known of one coordinator.
#[derive(Default)]
pub(crate) struct Seen {
    /// Versions in force, and since when.
    pub(crate) versions: Vec<(u64, Instant)>,
    /// Since when it has been running.
    pub(crate) since: Option<Instant>,
    pub(crate) shared: Option<Arc<SharedMirror>>,
}

/// What all coordinators have seen.
pub(crate) type Log = Arc<Mutex<Vec<Seen>>>;

/// What is done with coordinators.
pub(crate) enum Order {
    /// Starts those with these numbers.
    Start(Vec<usize>),
    /// They end.
    Stop(Vec<usize>),
}

struct Running {
    tasks: [JoinHandle<()>; 2],
    _control: UnboundedSender<client::Control>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn start(number: usize, log: &Log, boot: &ProcessSettings, puller: Puller) -> Running {
    let shared = SharedMirror::new(Mirror::new(
        0,
        std::time::Duration::from_millis(boot.beat_period_ms),
    ));
    let (control, told) = unbounded_channel();
    let (mut changes, seen) = (shared.changes(), shared.clone());
    {
        let mut all = log.lock().unwrap_or_else(PoisonError::into_inner);
        all[number].since = Some(Instant::now());
        all[number].shared = Some(shared.clone());
    }
    let (log, in_force) = (log.clone(), control.clone());
    let watching = async move {
        let mut version = 0;
        loop {
            changes.borrow_and_update();
            let now = seen.update(|mirror, _| mirror.configuration().version);
            if now > version {
                version = now;
                let mut all = log.lock().unwrap_or_else(PoisonError::into_inner);
                all[number].versions.push((now, Instant::now()));
                let _ = in_force.send(client::Control::Version(now));
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let pulling = client::run(
        puller,
        replication::non_member_info(boot),
        replication::subscriber(boot, 0),
        shared,
        told,
    );
    Running {
        tasks: [tokio::spawn(pulling), tokio::spawn(watching)],
        _control: control,
    }
}

/// Plays coordinators until the orders end. Those with numbers from `plan.coordinators` on are proxies behind
/// real agents.
pub(crate) async fn play(plan: Arc<Plan>, log: Log, mut orders: UnboundedReceiver<Order>) {
    let mut running: Vec<Option<Running>> = Vec::new();
    running.resize_with(plan.coordinators + plan.agents, || None);
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start(numbers) => {
                for number in numbers {
                    let behind = number.checked_sub(plan.coordinators);
                    let settings = match behind {
                        Some(agent) => plan.agent_settings(agent),
                        None => plan.coordinator_settings(number),
                    };
                    let Ok(boot) = ProcessSettings::read(&settings.to_string()) else {
                        continue;
                    };
                    let puller = match behind {
                        Some(_) => {
                            let mut puller = Puller::new(&boot.node_name, 1, None).seeds_only();
                            puller.set_seeds(&[replication::agent_addr(&boot)]);
                            puller
                        }
                        None if plan.thrice => {
                            let mut puller =
                                Puller::new(&boot.node_name, replication::MEMBERS_PER_AGENT, None);
                            puller.set_seeds(&replication::seed_addrs(&boot));
                            puller
                        }
                        None => agent::puller(&boot),
                    };
                    running[number] = Some(start(number, &log, &boot, puller));
                }
            }
            Order::Stop(numbers) => {
                for number in numbers {
                    running[number] = None;
                    let mut all = log.lock().unwrap_or_else(PoisonError::into_inner);
                    all[number].since = None;
                    all[number].shared = None;
                }
            }
        }
    }
}
