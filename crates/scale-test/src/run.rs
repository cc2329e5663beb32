//! The run: who starts, what goes wrong, what is measured.

use crate::gauge::{self, Load};
use crate::hollow::Program;
use crate::operator::{self, Acked};
use crate::plan::Plan;
use crate::report::{percentile, Row};
use crate::{coordinators, hosts};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::sleep;

/// Threads that the hollow coordinators share.
const THREADS: usize = 4;
/// Time between steps of the start.
const STEP: Duration = Duration::from_millis(250);
/// Longest wait for all to have the first configuration.
const START: Duration = Duration::from_secs(120);
/// After the last change, the time that it is given to be in force everywhere.
const SETTLE: Duration = Duration::from_secs(6);

/// Why a run can't be played.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// A process, thread or file.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The system didn't come up.
    #[snafu(display("not everybody has the first configuration after {} s", START.as_secs()))]
    NotUp,
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Deployment {
    plan: Arc<Plan>,
    /// By number; a member that was replaced for good is gone from here.
    members: BTreeMap<usize, Program>,
    agents: Vec<Program>,
    controls: Arc<Mutex<Vec<SocketAddrV4>>>,
    log: coordinators::Log,
    tally: Arc<Mutex<hosts::HostCounters>>,
    acked: Arc<Mutex<Vec<Acked>>>,
    hosts: UnboundedSender<hosts::Order>,
    coordinators: Vec<UnboundedSender<coordinators::Order>>,
}

struct Sample {
    at: Instant,
    members: BTreeMap<u32, Load>,
    agents: BTreeMap<u32, Load>,
    threads: BTreeMap<String, Duration>,
    traffic: Vec<Option<replication::Traffic>>,
    acked: usize,
    beats: usize,
    failed: u64,
    drains: usize,
}

/// Starts a thread with a runtime of its own that runs until its orders end.
fn thread<T: Send + 'static, F: std::future::Future<Output = ()>>(
    name: &str,
    work: impl FnOnce(UnboundedReceiver<T>) -> F + Send + 'static,
) -> Result<UnboundedSender<T>, Failure> {
    let (orders, told) = unbounded_channel();
    let run = move || match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime.block_on(work(told)),
        Err(e) => log::error!("no runtime: {e}"),
    };
    std::thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .context(IoSnafu { what: "thread" })?;
    Ok(orders)
}

/// Plays the run; `told` hears of each phase's figures as it ends.
///
/// # Errors
/// Where processes can't be started or don't come up.
pub async fn play(plan: Plan, mut told: impl FnMut(&Row)) -> Result<Vec<Row>, Failure> {
    let plan = Arc::new(plan);
    std::fs::create_dir_all(&plan.dir).context(IoSnafu { what: "folder" })?;
    let log = coordinators::Log::default();
    let tally = Arc::<Mutex<hosts::HostCounters>>::default();
    let acked = Arc::<Mutex<Vec<Acked>>>::default();
    lock(&log).resize_with(plan.coordinators + plan.agents, Default::default);
    let controls = Arc::new(Mutex::new(
        (0..plan.members)
            .map(|n| plan.control(n))
            .collect::<Vec<_>>(),
    ));
    let hosts = {
        let (plan, controls, tally) = (plan.clone(), controls.clone(), tally.clone());
        thread("hosts", move |told| {
            hosts::play(plan, controls, tally, told)
        })?
    };
    let mut coordinators = Vec::new();
    for _ in 0..THREADS {
        let (plan, log) = (plan.clone(), log.clone());
        coordinators.push(thread("coordinators", move |told| {
            coordinators::play(plan, log, told)
        })?);
    }
    let (members, agents) = Default::default();
    let mut deployment = Deployment {
        plan,
        members,
        agents,
        controls,
        log,
        tally,
        acked,
        hosts,
        coordinators,
    };
    for n in 0..deployment.plan.members {
        deployment.member(n, true)?;
    }
    for n in 0..deployment.plan.agents {
        let settings = deployment.plan.agent_settings(n);
        let name = format!("edge-{n}");
        let agent = Program::start(
            &deployment.plan.program,
            "agent",
            &deployment.plan.dir,
            &name,
            &settings,
        );
        deployment
            .agents
            .push(agent.context(IoSnafu { what: "agent" })?);
    }
    let operator = operator::play(
        deployment.plan.clone(),
        deployment.controls.clone(),
        deployment.acked.clone(),
    );
    tokio::select! {
        () = operator => Ok(Vec::new()),
        rows = deployment.phases(&mut told) => rows,
    }
}

impl Deployment {
    fn member(&mut self, n: usize, bootstrap: bool) -> Result<(), Failure> {
        let settings = self.plan.member_settings(n, bootstrap);
        let name = format!("core-{n}");
        let member = Program::start(
            &self.plan.program,
            "member",
            &self.plan.dir,
            &name,
            &settings,
        );
        self.members
            .insert(n, member.context(IoSnafu { what: "member" })?);
        Ok(())
    }

    /// Each hollow coordinator stays on one thread.
    fn order(&self, numbers: Vec<usize>, order: impl Fn(Vec<usize>) -> coordinators::Order) {
        for (thread, orders) in self.coordinators.iter().enumerate() {
            let own = numbers
                .iter()
                .copied()
                .filter(|n| n % self.coordinators.len() == thread);
            // The thread ends with this.
            let _ = orders.send(order(own.collect()));
        }
    }

    async fn phases(&mut self, told: &mut impl FnMut(&Row)) -> Result<Vec<Row>, Failure> {
        let mut rows = Vec::new();
        let length = self.plan.phase;
        let mut end = |row: Row| {
            told(&row);
            rows.push(row);
        };

        let before = self.sample();
        self.come_up().await;
        let until = Instant::now() + START;
        while !lock(&self.log).iter().all(|s| !s.versions.is_empty()) {
            if Instant::now() > until {
                return Err(Failure::NotUp);
            }
            sleep(Duration::from_millis(50)).await;
        }
        end(self.row("start", &before));
        // All hosts have called, and all of them are known.
        sleep(2 * self.plan.beat).await;

        let before = self.sample();
        self.pass(length).await;
        end(self.row("calm", &before));

        // All processes of the last zone end at once.
        let zone = self.plan.zones.saturating_sub(1);
        let of_zone = |n: &usize| n % self.plan.zones.max(1) == zone;
        let lost: Vec<usize> = self.members.keys().copied().filter(of_zone).collect();
        let edge: Vec<usize> = (0..self.plan.coordinators).filter(of_zone).collect();
        let there: Vec<usize> = (0..self.plan.hosts).filter(of_zone).collect();
        let before = self.sample();
        for n in &lost {
            self.members.remove(n);
        }
        self.order(edge.clone(), coordinators::Order::Stop);
        let _ = self.hosts.send(hosts::Order::Crash(there.clone()));
        self.pass(length).await;
        end(self.row("zone lost", &before));

        let before = self.sample();
        for n in lost {
            self.member(n, false)?;
        }
        self.order(edge, coordinators::Order::Start);
        let _ = self.hosts.send(hosts::Order::Start(there));
        self.pass(length).await;
        end(self.row("zone back", &before));

        // A member is lost for good; another joins at an address of its own, with an empty disk.
        let before = self.sample();
        let first = self.members.keys().next().copied().unwrap_or_default();
        self.members.remove(&first);
        let new = self.plan.members;
        self.member(new, false)?;
        let (old, now) = (self.plan.control(first), self.plan.control(new));
        lock(&self.controls)
            .iter_mut()
            .filter(|c| **c == old)
            .for_each(|c| *c = now);
        self.pass(length).await;
        end(self.row("member replaced", &before));

        // More than half of the core stands still.
        let before = self.sample();
        let most = self.members.len() / 2 + 1;
        for member in self.members.values().take(most) {
            member.freeze().context(IoSnafu { what: "freeze" })?;
        }
        self.pass(self.plan.freeze).await;
        for member in self.members.values().take(most) {
            member.thaw().context(IoSnafu { what: "thaw" })?;
        }
        self.pass(length).await;
        end(self.row("core frozen", &before));

        let members = std::mem::take(&mut self.members);
        members
            .into_values()
            .for_each(|m| m.end(Duration::from_secs(3)));
        Ok(rows)
    }

    /// Starts the hollow ones in steps.
    async fn come_up(&self) {
        let all = self.plan.coordinators + self.plan.agents;
        let steps = (self.plan.ramp.as_millis() / STEP.as_millis()).max(1) as usize;
        for step in 0..steps {
            let part = |count: usize| {
                (count * step / steps..count * (step + 1) / steps).collect::<Vec<usize>>()
            };
            self.order(part(all), coordinators::Order::Start);
            // The thread ends with this.
            let _ = self.hosts.send(hosts::Order::Start(part(self.plan.hosts)));
            sleep(STEP).await;
        }
    }

    /// Lets time pass, with hosts that are replaced; then what was acknowledged is given time to arrive.
    async fn pass(&self, length: Duration) {
        let mut left = length;
        let mut number = 0;
        while !left.is_zero() {
            let step = left.min(self.plan.churn);
            sleep(step).await;
            left -= step;
            number = (number + 7919) % self.plan.hosts.max(1);
            let _ = self.hosts.send(hosts::Order::Replace(number));
        }
    }

    fn sample(&self) -> Sample {
        let of = |p: &Program| gauge::process(p.id()).map(|l| (p.id(), l));
        let (tally, log) = (lock(&self.tally), lock(&self.log));
        Sample {
            at: Instant::now(),
            members: self.members.values().filter_map(of).collect(),
            agents: self.agents.iter().filter_map(of).collect(),
            threads: gauge::threads(),
            traffic: log
                .iter()
                .map(|s| s.shared.as_ref().map(|m| m.traffic()))
                .collect(),
            acked: lock(&self.acked).len(),
            beats: tally.beats.len(),
            failed: tally.failed,
            drains: tally.drains.len(),
        }
    }

    fn row(&self, phase: &str, before: &Sample) -> Row {
        let after = self.sample();
        let seconds = (after.at - before.at).as_secs_f64();
        let acked: Vec<Acked> = lock(&self.acked)[before.acked..after.acked].to_vec();
        let acks: Vec<f64> = acked
            .iter()
            .map(|a| (a.acked - a.sent).as_secs_f64() * 1e3)
            .collect();
        let (force, late, missing) = self.in_force(&acked, after.at);
        let share = |a: &BTreeMap<u32, Load>, b: &BTreeMap<u32, Load>| -> Vec<f64> {
            let used = |(id, load): (&u32, &Load)| {
                let earlier = a.get(id).map_or(Duration::ZERO, |l| l.cpu);
                load.cpu.saturating_sub(earlier).as_secs_f64() / seconds * 100.0
            };
            b.iter().map(used).collect()
        };
        let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
        let most = |v: &[f64]| v.iter().copied().fold(0.0, f64::max);
        let members = share(&before.members, &after.members);
        let agents = share(&before.agents, &after.agents);
        let rss = |loads: &BTreeMap<u32, Load>| {
            most(
                &loads
                    .values()
                    .map(|l| l.peak_kb as f64 / 1024.0)
                    .collect::<Vec<_>>(),
            )
        };
        let thread = |name: &str| {
            let earlier = before.threads.get(name).copied().unwrap_or_default();
            let now = after.threads.get(name).copied().unwrap_or_default();
            now.saturating_sub(earlier).as_secs_f64() / seconds * 100.0
        };
        let hollow = self.plan.coordinators.max(1);
        let mut traffic = (Vec::new(), Vec::new());
        for (a, b) in before
            .traffic
            .iter()
            .zip(&after.traffic)
            .take(self.plan.coordinators)
        {
            if let (Some(a), Some(b)) = (a, b) {
                // One that was started anew counts from nothing.
                traffic
                    .0
                    .push(b.received.saturating_sub(a.received) as f64 / seconds);
                traffic
                    .1
                    .push(b.sent.saturating_sub(a.sent) as f64 / seconds);
            }
        }
        let tally = lock(&self.tally);
        let (beats, drains) = (&tally.beats[before.beats..], &tally.drains[before.drains..]);
        let own = gauge::process(std::process::id()).unwrap_or_default();
        let figures = vec![
            ("members", after.members.len() as f64),
            ("coordinators", self.plan.coordinators as f64),
            ("hosts", self.plan.hosts as f64),
            ("seconds", seconds),
            ("changes_acked", acked.len() as f64),
            ("ack_p50_ms", percentile(&acks, 0.5)),
            ("ack_p99_ms", percentile(&acks, 0.99)),
            ("force_p50_ms", percentile(&force, 0.5)),
            ("force_p99_ms", percentile(&force, 0.99)),
            ("force_last_ms", most(&force)),
            ("over_6_s", late as f64),
            ("not_yet", missing as f64),
            ("beats_per_s", beats.len() as f64 / seconds),
            ("beat_p50_ms", percentile(beats, 0.5)),
            ("beat_p99_ms", percentile(beats, 0.99)),
            ("calls_failed", (after.failed - before.failed) as f64),
            ("drains", drains.len() as f64),
            ("drain_p99_ms", percentile(drains, 0.99)),
            ("member_cpu_mean_pct", mean(&members)),
            ("member_cpu_most_pct", most(&members)),
            ("member_peak_mb", rss(&after.members)),
            ("agent_cpu_pct", mean(&agents)),
            ("agent_peak_mb", rss(&after.agents)),
            (
                "hollow_cpu_each_pct",
                thread("coordinators") / hollow as f64,
            ),
            ("coordinator_in_bps", mean(&traffic.0)),
            ("coordinator_out_bps", mean(&traffic.1)),
            ("hosts_cpu_pct", thread("hosts")),
            ("hollow_process_peak_mb", own.peak_kb as f64 / 1024.0),
        ];
        Row {
            phase: phase.into(),
            figures,
        }
    }

    /// For each change and each coordinator that was running when it was acknowledged, the ms until it had it
    /// (or a later one); how many took over 6 s; how many have had less time and haven't got it.
    fn in_force(&self, acked: &[Acked], now: Instant) -> (Vec<f64>, usize, usize) {
        let (mut force, mut late, mut missing) = (Vec::new(), 0, 0);
        for seen in lock(&self.log).iter() {
            let Some(since) = seen.since else { continue };
            for change in acked.iter().filter(|a| since <= a.acked) {
                let have = seen
                    .versions
                    .iter()
                    .find(|(v, at)| *v >= change.version && *at >= since);
                match have {
                    Some((_, at)) => {
                        let took = at.saturating_duration_since(change.acked);
                        late += usize::from(took > SETTLE);
                        force.push(took.as_secs_f64() * 1e3);
                    }
                    None if now.saturating_duration_since(change.acked) > SETTLE => late += 1,
                    None => missing += 1,
                }
            }
        }
        (force, late, missing)
    }
}
