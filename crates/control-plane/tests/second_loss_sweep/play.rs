//! Members, an operator that sends one order after the other, and what happens to them.

use crate::events::{Change, Site, Strike, Unit};
use crate::support::event_cluster::Cluster;
use crate::support::ms;
use crate::support::recovered::recover;
use configuration::ResultCode;
use std::time::Duration;

/// Time that a machine has after its start until it no longer counts as lost.
const CATCH_UP: Duration = ms(5000);
/// Within this an order is taken again once no more is lost than the budget allows.
const BOUND: Duration = ms(5000);
/// The members start, join and settle.
const START: Duration = ms(5000);
/// The operator looks after its order this often.
const ORDER_INTERVAL: Duration = ms(170);
/// One order after another, this long after the one before was sent.
const ORDER_PAUSE: Duration = ms(500);
/// An order without an answer is sent again after this.
const ORDER_TIMEOUT: Duration = ms(1000);
/// Whoever dies starts again after this; a new machine or an empty disk comes after this; a strike that heals lasts this
/// long.
const BACK_AFTER: Duration = ms(1000);
/// A machine that is cut off, or a disk that is slow, as the change that goes on is so for this long.
const CHANGE_LASTS: Duration = ms(3000);
/// While the membership changes nobody acts for this long at most.
const MEMBERSHIP_CHANGE: Duration = ms(100);
/// A write of a slow disk takes this long.
const SLOW_WRITE: Duration = ms(400);

/// What is to happen later.
#[derive(Clone, Copy, Debug)]
pub enum Later {
    Start(usize),
    /// Starts again the process that was asked to end in this incarnation.
    StartOnceEnded(usize, u32),
    WipedStart(usize),
    Add(usize),
    Terminate(usize),
    /// A machine that was cut off reaches the others again.
    Rejoin(usize),
    /// A disk is as fast as before.
    FastDisk(usize),
}

/// Members, an operator that sends one order after the other, and what is to happen.
#[derive(Clone)]
pub struct Play {
    pub cluster: Cluster,
    unit: Unit,
    zones: Vec<String>,
    /// The newest version that was acknowledged.
    acknowledged: u64,
    /// The version that the latest order brings.
    ordered: u64,
    /// The latest order, and when it was sent.
    order: Option<(u64, Duration)>,
    orders_sent: usize,
    later: Vec<(Duration, Later)>,
    /// Whether the operator went on from one replica's disk: other machines are there than at the start.
    is_recovered: bool,
}

impl Play {
    pub fn new(site: &Site) -> Self {
        let mut cluster = Cluster::start(site.budget, site.zones);
        cluster.apply_configuration(0, 1);
        cluster.run(START);
        let zones = site.zones.iter().map(|z| (*z).to_owned()).collect();
        let later = Vec::new();
        Self {
            cluster,
            unit: site.unit,
            zones,
            acknowledged: 1,
            ordered: 1,
            order: None,
            orders_sent: 0,
            later,
            is_recovered: false,
        }
    }

    /// The machine that a strike at place `n` means, if there is one.
    pub fn machine(&self, n: usize) -> Option<usize> {
        if self.is_recovered {
            return self.running().get(n).copied();
        }
        (n < self.cluster.machine_count()).then_some(n)
    }

    /// Machines that run and are lost together with this one.
    pub fn lost_with(&self, n: usize) -> Vec<usize> {
        let region = |n: usize| self.zones[n].split_once('/').map(|place| place.0);
        let together = |other: &usize| match self.unit {
            Unit::Machine => *other == n,
            Unit::Zone => self.zones[*other] == self.zones[n],
            Unit::Region => region(*other) == region(n),
        };
        self.running().into_iter().filter(together).collect()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.cluster.machine_count())
            .filter(|n| self.cluster.is_running(*n))
            .collect()
    }

    pub fn at(&mut self, after: Duration, what: Later) {
        self.later.push((self.cluster.now + after, what));
    }

    /// Does what is due.
    pub fn do_later(&mut self) {
        let now = self.cluster.now;
        while let Some(due) = self.later.iter().position(|l| l.0 <= now) {
            match self.later.remove(due).1 {
                Later::Start(n) if !self.cluster.is_running(n) => self.cluster.restart(n),
                Later::StartOnceEnded(n, incarnation)
                    if self.cluster.incarnation(n) == incarnation =>
                {
                    self.at(ms(50), Later::StartOnceEnded(n, incarnation));
                }
                Later::StartOnceEnded(n, incarnation)
                    if self.cluster.incarnation(n) == incarnation + 1 =>
                {
                    self.cluster.restart(n);
                }
                Later::WipedStart(n) => self.cluster.wipe(n),
                Later::Terminate(n) if self.cluster.is_running(n) => self.cluster.terminate(n),
                Later::Add(n) => self.add(n),
                Later::Rejoin(n) => self.cluster.set_isolated(n, false),
                Later::FastDisk(n) => drop(self.cluster.slow_write_delays.remove(&n)),
                Later::Start(_) | Later::StartOnceEnded(..) | Later::Terminate(_) => {}
            }
        }
    }

    /// A new machine, in the zone of another.
    pub fn add(&mut self, like: usize) {
        let zone = self.zones[like].clone();
        self.cluster.add_machine(&zone);
        self.zones.push(zone);
    }

    /// Takes answers, and sends the order again, or the next one, to the next machine that runs.
    pub fn run_operator(&mut self) {
        let answer = self
            .order
            .and_then(|(ticket, _)| self.cluster.answer(ticket));
        if answer == Some(ResultCode::Ok) {
            self.acknowledged = self.acknowledged.max(self.ordered);
        }
        let running = self.running();
        let pause = if answer.is_none() {
            ORDER_TIMEOUT
        } else {
            ORDER_PAUSE
        };
        let waits = self
            .order
            .is_some_and(|(_, at)| self.cluster.now < at + pause);
        if waits && answer != Some(ResultCode::NoPrimary) {
            return;
        }
        self.order = None;
        if let Some(n) = running.get(self.orders_sent % running.len().max(1)) {
            self.ordered = self.acknowledged + 1;
            let order = Cluster::configure_command(self.acknowledged, self.ordered);
            self.order = Some((self.cluster.send_command(*n, order), self.cluster.now));
            self.orders_sent += 1;
        }
    }

    /// Goes on for some time, or until the given step.
    pub fn run(&mut self, time: Duration, step: Option<u64>) {
        let end = self.cluster.now + time;
        let reached = |c: &Cluster| step.is_some_and(|step| c.change_steps >= step);
        while self.cluster.now < end && !reached(&self.cluster) {
            self.do_later();
            self.run_operator();
            let next = self
                .later
                .iter()
                .map(|l| l.0)
                .chain([end, self.cluster.now + ORDER_INTERVAL])
                .min();
            let pause = next
                .unwrap_or(end)
                .saturating_sub(self.cluster.now)
                .max(ms(1));
            self.cluster.run_until(pause, reached);
        }
    }

    /// Begins a change at a machine.
    pub fn begin(&mut self, change: Change, n: usize) {
        match change {
            Change::Join => self.add(n),
            Change::Replace => {
                self.add(n);
                self.run(CATCH_UP, None);
                self.cluster.terminate(n);
            }
            Change::Remove => self.cluster.terminate(n),
            Change::RemoveTwo => {
                self.cluster.terminate(n);
                let other = (n + 1) % self.cluster.machine_count();
                self.at(ms(20), Later::Terminate(other));
            }
            Change::Restart => {
                self.cluster.terminate(n);
                let incarnation = self.cluster.incarnation(n);
                self.at(ms(50), Later::StartOnceEnded(n, incarnation));
            }
            Change::Die => {
                self.cluster.kill(n);
                self.at(ms(1300), Later::Start(n));
            }
            Change::Wipe => {
                self.cluster.kill(n);
                self.at(BACK_AFTER, Later::WipedStart(n));
            }
            Change::Lose => {
                self.cluster.kill(n);
                self.at(BACK_AFTER, Later::Add(n));
            }
            Change::CutOff => self.cut_off(n, CHANGE_LASTS),
            Change::SlowDisk => self.slow_disk(n, CHANGE_LASTS),
            Change::Recover => self.recover(),
        }
    }

    fn cut_off(&mut self, n: usize, lasts: Duration) {
        self.cluster.set_isolated(n, true);
        self.at(lasts, Later::Rejoin(n));
    }

    fn slow_disk(&mut self, n: usize, lasts: Duration) {
        self.cluster.slow_write_delays.insert(n, SLOW_WRITE);
        self.at(lasts, Later::FastDisk(n));
    }

    /// All members but the last replica are lost for good, and empty machines come in their place; the operator goes on
    /// from that replica.
    fn recover(&mut self) {
        let survivor = self.cluster.replicas().pop().unwrap();
        let running = self.running();
        for n in &running {
            self.cluster.kill(*n);
        }
        self.is_recovered = true;
        // What was answered on its way to the operator comes to nothing.
        self.order = None;
        recover(&mut self.cluster, survivor);
        for n in running.into_iter().filter(|n| *n != survivor) {
            self.add(n);
        }
    }

    /// Strikes these machines, or all.
    pub fn strike(&mut self, strike: Strike, some: &[usize]) {
        let all = matches!(
            strike,
            Strike::AllDie | Strike::AllDieWriting | Strike::AllDieTorn | Strike::AllDieSomeLost
        );
        let struck = if all { self.running() } else { some.to_vec() };
        for n in struck {
            match strike {
                Strike::CutOff => {
                    self.cut_off(n, BACK_AFTER);
                    continue;
                }
                Strike::SlowDisk => {
                    self.slow_disk(n, BACK_AFTER);
                    continue;
                }
                Strike::DieWriting | Strike::AllDieWriting => self.cluster.kill_after_writes(n),
                Strike::DieTorn | Strike::AllDieTorn => self.cluster.kill_during_write(n),
                _ => self.cluster.kill(n),
            }
            let lost =
                strike == Strike::Lose || (strike == Strike::AllDieSomeLost && some.contains(&n));
            let back = match (strike, lost) {
                (_, true) => Later::Add(n),
                (Strike::Wipe, _) => Later::WipedStart(n),
                _ => Later::Start(n),
            };
            self.at(BACK_AFTER, back);
        }
    }

    /// An order is taken within the bound, with nothing acknowledged missing.
    pub fn takes_an_order(&mut self) -> Result<(), String> {
        let before = self.acknowledged;
        let end = self.cluster.now + BOUND;
        while self.acknowledged == before && self.cluster.now < end {
            self.run(ORDER_INTERVAL, None);
        }
        if self.acknowledged > before {
            Ok(())
        } else {
            Err(format!(
                "{before} is the last one taken: {:?}",
                self.cluster.memberships()
            ))
        }
    }

    /// After the second loss an order is taken in time, and later the next loss is borne.
    pub fn recovers(&mut self) -> Result<(), String> {
        self.run(BACK_AFTER, None);
        self.takes_an_order()
            .map_err(|e| format!("after the strike: {e}"))?;
        self.run(CATCH_UP, None);
        // A change of the membership may just be under way, for a few messages.
        let acts = |cluster: &Cluster| cluster.primary().is_some();
        self.cluster.run_until(MEMBERSHIP_CHANGE, acts);
        let Some(primary) = self.cluster.primary() else {
            return Err("nobody acts any more".into());
        };
        self.later.clear();
        for n in self.lost_with(primary) {
            self.cluster.kill(n);
        }
        self.takes_an_order()
            .map_err(|e| format!("after the next loss: {e}"))
    }
}
