//! All that runs: real members and agents, and the threads of the simulated coordinators and hosts.

use crate::child_process::ChildProcess;
use crate::lock;
use crate::operator::AcknowledgedChange;
use crate::plan::RunPlan;
use crate::simulated_coordinators::{self, CoordinatorCommand, CoordinatorLogs};
use crate::simulated_hosts::{self, HostCommand, HostCounters, HostEnvironment};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::sleep;

/// Threads that the simulated coordinators share.
const COORDINATOR_THREADS: usize = 4;
/// Time between two steps of the start.
const RAMP_STEP: Duration = Duration::from_millis(250);
/// Longest wait until all coordinators have the first configuration.
pub(crate) const STARTUP_TIMEOUT: Duration = Duration::from_secs(120);

/// Why a run fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RunError {
    /// A process, a thread or a file isn't available.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The system didn't come up in time.
    #[snafu(display("not everybody has the first configuration after {} s", STARTUP_TIMEOUT.as_secs()))]
    NotStarted,
}

/// The running system, and what is recorded of it.
pub(crate) struct Deployment {
    pub(crate) plan: Arc<RunPlan>,
    /// The members by number, without those that are lost.
    pub(crate) members: BTreeMap<usize, ChildProcess>,
    pub(crate) agents: Vec<ChildProcess>,
    /// Addresses of the members for calls.
    pub(crate) controls: Arc<Mutex<Vec<SocketAddrV4>>>,
    pub(crate) coordinator_logs: CoordinatorLogs,
    pub(crate) host_counters: Arc<Mutex<HostCounters>>,
    pub(crate) acknowledged: Arc<Mutex<Vec<AcknowledgedChange>>>,
    hosts: UnboundedSender<HostCommand>,
    coordinators: Vec<UnboundedSender<CoordinatorCommand>>,
}

impl Deployment {
    /// Starts the real processes, and the threads for the simulated ones.
    pub(crate) fn start(plan: RunPlan) -> Result<Self, RunError> {
        let plan = Arc::new(plan);
        std::fs::create_dir_all(&plan.dir).context(IoSnafu { what: "folder" })?;
        let coordinator_logs = CoordinatorLogs::default();
        lock(&coordinator_logs).resize_with(plan.coordinators + plan.agents, Default::default);
        let controls = (0..plan.members).map(|n| plan.control(n)).collect();
        let environment = HostEnvironment {
            plan: plan.clone(),
            controls: Arc::new(Mutex::new(controls)),
            counters: Arc::default(),
        };
        let (controls, host_counters) =
            (environment.controls.clone(), environment.counters.clone());
        let hosts = start_thread("hosts", move |commands| {
            simulated_hosts::run(environment, commands)
        })?;
        let mut deployment = Self {
            coordinators: start_coordinator_threads(&plan, &coordinator_logs)?,
            plan,
            members: BTreeMap::new(),
            agents: Vec::new(),
            controls,
            coordinator_logs,
            host_counters,
            acknowledged: Arc::default(),
            hosts,
        };
        for n in 0..deployment.plan.members {
            deployment.start_member(n, true)?;
        }
        for n in 0..deployment.plan.agents {
            deployment.start_agent(n)?;
        }
        Ok(deployment)
    }

    pub(crate) fn start_member(&mut self, n: usize, bootstrap: bool) -> Result<(), RunError> {
        let member = ChildProcess::start(
            &self.plan.program,
            "member",
            &self.plan.dir,
            &format!("core-{n}"),
            &self.plan.member_settings(n, bootstrap),
        );
        let member = member.context(IoSnafu { what: "member" })?;
        self.members.insert(n, member);
        Ok(())
    }

    fn start_agent(&mut self, n: usize) -> Result<(), RunError> {
        let agent = ChildProcess::start(
            &self.plan.program,
            "agent",
            &self.plan.dir,
            &format!("edge-{n}"),
            &self.plan.agent_settings(n),
        );
        self.agents.push(agent.context(IoSnafu { what: "agent" })?);
        Ok(())
    }

    /// Starts the simulated coordinators and hosts in steps.
    pub(crate) async fn ramp_up(&self) {
        let coordinators = self.plan.coordinators + self.plan.agents;
        let steps = (self.plan.ramp.as_millis() / RAMP_STEP.as_millis()).max(1) as usize;
        for step in 0..steps {
            let part = |count: usize| (count * step / steps..count * (step + 1) / steps).collect();
            self.command_coordinators(part(coordinators), CoordinatorCommand::Start);
            self.command_hosts(HostCommand::Start(part(self.plan.hosts)));
            sleep(RAMP_STEP).await;
        }
    }

    /// Gives a command to coordinators. Each stays on one thread.
    pub(crate) fn command_coordinators(
        &self,
        numbers: Vec<usize>,
        command: impl Fn(Vec<usize>) -> CoordinatorCommand,
    ) {
        let threads = self.coordinators.len();
        for (thread, commands) in self.coordinators.iter().enumerate() {
            let own = numbers.iter().copied().filter(|n| n % threads == thread);
            // The thread runs as long as the deployment.
            let _ = commands.send(command(own.collect()));
        }
    }

    pub(crate) fn command_hosts(&self, command: HostCommand) {
        // The thread runs as long as the deployment.
        let _ = self.hosts.send(command);
    }
}

fn start_coordinator_threads(
    plan: &Arc<RunPlan>,
    logs: &CoordinatorLogs,
) -> Result<Vec<UnboundedSender<CoordinatorCommand>>, RunError> {
    (0..COORDINATOR_THREADS)
        .map(|_| {
            let (plan, logs) = (plan.clone(), logs.clone());
            start_thread("coordinators", move |commands| {
                simulated_coordinators::run(plan, logs, commands)
            })
        })
        .collect()
}

/// Starts a thread with a runtime of its own. It ends when the returned sender is dropped.
fn start_thread<T: Send + 'static, F: Future<Output = ()>>(
    name: &str,
    work: impl FnOnce(UnboundedReceiver<T>) -> F + Send + 'static,
) -> Result<UnboundedSender<T>, RunError> {
    let (sender, commands) = unbounded_channel();
    let run = move || match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime.block_on(work(commands)),
        Err(error) => log::error!("no runtime: {error}"),
    };
    std::thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .context(IoSnafu { what: "thread" })?;
    Ok(sender)
}
