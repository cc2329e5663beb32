//! The second loss at **every** step of a repair, a replacement or a departure: there is a primary again that accepts requests
//! in time, nothing acknowledged is lost, and after the time to catch up the next loss is borne as well
//! (`docs/design/hardening/3-second-loss.md`).

mod support;

use configuration::{FaultBudget, ResultCode};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;
use support::event_cluster::Cluster;
use support::{budget, ms};

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
/// How long after the change's begin the second loss may strike.
const WINDOW: Duration = ms(7000);
/// Whoever dies starts again after this; a new machine or an empty disk comes after this.
const BACK_AFTER: Duration = ms(1000);
/// Failures that are told.
const FAILURES_TOLD: usize = 12;

/// What goes on when the second loss strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// A machine comes beside the others.
    Join,
    /// A machine comes, and once it has caught up another one goes for good, as planned.
    Replace,
    /// A machine goes for good, as planned.
    Remove,
    /// Two machines go for good at once, as planned.
    RemoveTwo,
    /// A machine's process ends as planned and starts again.
    Restart,
    /// A machine's process dies and starts again.
    Die,
    /// A machine loses its disk and is back at its address.
    Wipe,
    /// A machine is lost for good; an empty one comes at another address.
    Lose,
}

impl Change {
    /// Machines, zones or regions that count as lost while it goes on.
    fn losses(self) -> usize {
        match self {
            Change::Join | Change::Replace | Change::Remove | Change::RemoveTwo => 0,
            Change::Restart | Change::Die | Change::Wipe | Change::Lose => 1,
        }
    }
}

/// What strikes in the middle of it: all machines that are lost together, or all there are.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strike {
    /// They die and start again.
    Die,
    /// They die with what they are writing on disk, and start again.
    DieWriting,
    /// They are lost for good; empty ones come at other addresses.
    Lose,
    /// They lose their disks and are back at their addresses.
    Wipe,
    /// All die and start again, but for these, which are lost for good.
    AllDieSomeLost,
    /// All die and start again.
    AllDie,
    /// All die with what they are writing on disk, and start again.
    AllDieWriting,
}

impl Strike {
    const OF_SOME: [Strike; 5] = [
        Strike::Die,
        Strike::DieWriting,
        Strike::Lose,
        Strike::Wipe,
        Strike::AllDieSomeLost,
    ];
    const OF_ALL: [Strike; 2] = [Strike::AllDie, Strike::AllDieWriting];

    /// Machines, zones or regions that count as lost from then on. Who starts again with its disk is back before the
    /// bound counts.
    fn losses(self) -> usize {
        match self {
            Strike::Lose | Strike::Wipe | Strike::AllDieSomeLost => 1,
            Strike::Die | Strike::DieWriting | Strike::AllDie | Strike::AllDieWriting => 0,
        }
    }
}

/// What is lost together.
#[derive(Clone, Copy, Debug)]
enum Unit {
    Machine,
    Zone,
    Region,
}

/// Members to play with.
struct Site {
    budget: FaultBudget,
    unit: Unit,
    zones: &'static [&'static str],
}

impl Site {
    fn allowed_losses(&self) -> usize {
        let allowed = match self.unit {
            Unit::Machine => self.budget.machine_losses,
            Unit::Zone => self.budget.zones,
            Unit::Region => self.budget.region_losses,
        };
        allowed as usize
    }
}

/// Whether machines at these places bear the next loss of a unit.
fn bears_a_loss(site: &Site, places: &[&str]) -> bool {
    let unit = |place: &str| match site.unit {
        Unit::Machine => None,
        Unit::Zone => Some(place.to_owned()),
        Unit::Region => place.split_once('/').map(|p| p.0.to_owned()),
    };
    let units: BTreeSet<String> = places.iter().filter_map(|p| unit(p)).collect();
    let units = if matches!(site.unit, Unit::Machine) {
        places.len()
    } else {
        units.len()
    };
    units > 2 * site.allowed_losses()
}

/// What is to happen later.
#[derive(Clone, Copy, Debug)]
enum Later {
    Start(usize),
    /// Starts again the process that was asked to end in this incarnation.
    StartOnceEnded(usize, u32),
    WipedStart(usize),
    Add(usize),
    Terminate(usize),
}

/// Members, an operator that sends one order after the other, and what is to happen.
#[derive(Clone)]
struct Play {
    cluster: Cluster,
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
}

impl Play {
    fn new(site: &Site) -> Self {
        let mut cluster = Cluster::start(site.budget, site.zones);
        cluster.apply(0, 1);
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
        }
    }

    /// Machines that run and are lost together with this one.
    fn lost_with(&self, n: usize) -> Vec<usize> {
        let region = |n: usize| self.zones[n].split_once('/').map(|place| place.0);
        let together = |other: &usize| match self.unit {
            Unit::Machine => *other == n,
            Unit::Zone => self.zones[*other] == self.zones[n],
            Unit::Region => region(*other) == region(n),
        };
        self.running().into_iter().filter(together).collect()
    }

    fn running(&self) -> Vec<usize> {
        (0..self.cluster.machines())
            .filter(|n| self.cluster.runs(*n))
            .collect()
    }

    fn at(&mut self, after: Duration, what: Later) {
        self.later.push((self.cluster.now + after, what));
    }

    /// Does what is due.
    fn do_later(&mut self) {
        let now = self.cluster.now;
        while let Some(due) = self.later.iter().position(|l| l.0 <= now) {
            match self.later.remove(due).1 {
                Later::Start(n) if !self.cluster.runs(n) => self.cluster.restart(n),
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
                Later::Terminate(n) if self.cluster.runs(n) => self.cluster.terminate(n),
                Later::Add(n) => self.add(n),
                Later::Start(_) | Later::StartOnceEnded(..) | Later::Terminate(_) => {}
            }
        }
    }

    /// A new machine, in the zone of another.
    fn add(&mut self, like: usize) {
        let zone = self.zones[like].clone();
        self.cluster.add(&zone);
        self.zones.push(zone);
    }

    /// Takes answers, and sends the order again, or the next one, to the next machine that runs.
    fn run_operator(&mut self) {
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
            let order = Cluster::configure(self.acknowledged, self.ordered);
            self.order = Some((self.cluster.call(*n, order), self.cluster.now));
            self.orders_sent += 1;
        }
    }

    /// Goes on for some time, or until the given step.
    fn run(&mut self, time: Duration, step: Option<u64>) {
        let end = self.cluster.now + time;
        let reached = |c: &Cluster| step.is_some_and(|step| c.steps >= step);
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
            self.cluster.until(pause, reached);
        }
    }

    /// Begins a change at a machine.
    fn begin(&mut self, change: Change, n: usize) {
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
                let other = (n + 1) % self.cluster.machines();
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
        }
    }

    /// Strikes these machines, or all.
    fn strike(&mut self, strike: Strike, some: &[usize]) {
        let all = matches!(
            strike,
            Strike::AllDie | Strike::AllDieWriting | Strike::AllDieSomeLost
        );
        let struck = if all { self.running() } else { some.to_vec() };
        for n in struck {
            match strike {
                Strike::DieWriting | Strike::AllDieWriting => self.cluster.kill_after_write(n),
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
    fn takes_an_order(&mut self) -> Result<(), String> {
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
    fn recovers(&mut self) -> Result<(), String> {
        self.run(BACK_AFTER, None);
        self.takes_an_order()
            .map_err(|e| format!("after the strike: {e}"))?;
        self.run(CATCH_UP, None);
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

/// The moments of a change at one machine: a play stopped at each step.
fn moments(site: &Site, change: Change, n: usize) -> Vec<Play> {
    let mut play = Play::new(site);
    play.begin(change, n);
    let end = play.cluster.now + WINDOW;
    let mut moments = Vec::new();
    while play.cluster.now < end {
        let next = play.cluster.steps + 1;
        play.run(end - play.cluster.now, Some(next));
        moments.push(play.clone());
    }
    moments
}

/// A strike at one moment; nothing where nobody is there to be struck.
fn struck(moment: &Play, (strike, n): (Strike, usize)) -> Option<Result<(), String>> {
    let some = if n < moment.cluster.machines() {
        moment.lost_with(n)
    } else {
        Vec::new()
    };
    if some.is_empty() {
        return None;
    }
    let mut play = moment.clone();
    play.strike(strike, &some);
    Some(play.recovers())
}

/// All that may strike: each unit of the machines there are at the start or come with the change.
fn strikes(site: &Site) -> Vec<(Strike, usize)> {
    let place = |n: usize| match site.unit {
        Unit::Machine => n.to_string(),
        Unit::Zone => site.zones[n].to_owned(),
        Unit::Region => site.zones[n]
            .split_once('/')
            .map_or(String::new(), |p| p.0.to_owned()),
    };
    let mut places = BTreeSet::new();
    let mut units: Vec<usize> = (0..site.zones.len())
        .filter(|n| places.insert(place(*n)))
        .collect();
    if matches!(site.unit, Unit::Machine) {
        units.push(site.zones.len());
    }
    let of_some = units
        .into_iter()
        .flat_map(|n| Strike::OF_SOME.map(|strike| (strike, n)));
    of_some
        .chain(Strike::OF_ALL.map(|strike| (strike, 0)))
        .collect()
}

/// Whether the machines that are left after a removal bear the next loss.
fn may_go(site: &Site, change: Change, n: usize) -> bool {
    let gone = match change {
        Change::Remove => vec![n],
        Change::RemoveTwo => vec![n, (n + 1) % site.zones.len()],
        _ => vec![],
    };
    let left = (0..site.zones.len())
        .filter(|n| !gone.contains(n))
        .map(|n| site.zones[n]);
    bears_a_loss(site, &left.collect::<Vec<_>>())
}

/// Plays each strike that the budget allows at every so many moments of a change at each machine; which ones differs
/// from strike to strike.
fn sweep(site: &Site, change: Change, stride: usize) {
    let mut failed = Vec::new();
    let mut borne = 0;
    for n in (0..site.zones.len()).filter(|n| may_go(site, change, *n)) {
        let moments = moments(site, change, n);
        let allowed = |s: &(Strike, usize)| change.losses() + s.0.losses() <= site.allowed_losses();
        for (offset, strike) in strikes(site).into_iter().filter(allowed).enumerate() {
            for (step, moment) in moments
                .iter()
                .enumerate()
                .skip(offset % stride)
                .step_by(stride)
            {
                match struck(moment, strike) {
                    Some(Ok(())) => borne += 1,
                    Some(Err(error)) => {
                        failed.push(format!(
                            "{change:?} at {n}, {strike:?} at step {step}: {error}"
                        ));
                    }
                    None => {}
                }
            }
        }
    }
    println!("{change:?}: {borne} borne, {} failed", failed.len());
    failed
        .iter()
        .take(FAILURES_TOLD)
        .for_each(|error| println!("  {error}"));
    assert!(
        failed.is_empty() && borne > 0,
        "{borne} borne, {} failed",
        failed.len()
    );
}

const THREE: Site = Site {
    budget: budget(1, 0, 0),
    unit: Unit::Machine,
    zones: &["r/a", "r/b", "r/c"],
};
const FOUR: Site = Site {
    budget: budget(1, 0, 0),
    unit: Unit::Machine,
    zones: &["r/a", "r/b", "r/c", "r/a"],
};
const FIVE: Site = Site {
    budget: budget(2, 0, 0),
    unit: Unit::Machine,
    zones: &["r/a", "r/a", "r/b", "r/b", "r/c"],
};
const EIGHT: Site = Site {
    budget: budget(3, 0, 0),
    unit: Unit::Machine,
    zones: &["r/a", "r/b", "r/c", "r/a", "r/b", "r/c", "r/a", "r/b"],
};
const FIVE_WITH_ROOM: Site = Site {
    budget: budget(1, 0, 0),
    ..FIVE
};
const ZONES: Site = Site {
    budget: budget(1, 1, 0),
    unit: Unit::Zone,
    zones: &["r/a", "r/b", "r/c", "r/a"],
};
const FIVE_IN_ZONES: Site = Site {
    budget: budget(1, 1, 0),
    unit: Unit::Zone,
    zones: &["r/a", "r/b", "r/c", "r/a", "r/b"],
};
const REGIONS: Site = Site {
    budget: budget(1, 0, 1),
    unit: Unit::Region,
    zones: &["r/a", "s/b", "t/c", "r/d", "s/e"],
};

/// Every so many moments, so that a sweep takes some seconds; set to 1 to play all.
fn stride(usual: usize) -> usize {
    std::env::var("SWEEP_STRIDE")
        .ok()
        .and_then(|stride| stride.parse().ok())
        .unwrap_or(usual)
}

#[rstest]
fn of_three(
    #[values(
        Change::Join,
        Change::Replace,
        Change::Restart,
        Change::Die,
        Change::Wipe,
        Change::Lose
    )]
    change: Change,
) {
    sweep(&THREE, change, stride(20));
}

#[rstest]
fn of_four(#[values(Change::Replace, Change::Remove, Change::Wipe, Change::Lose)] change: Change) {
    sweep(&FOUR, change, stride(40));
}

#[rstest]
fn of_five(
    #[values(
        Change::Join,
        Change::Replace,
        Change::Restart,
        Change::Wipe,
        Change::Lose
    )]
    change: Change,
) {
    sweep(&FIVE, change, stride(90));
}

#[rstest]
fn of_five_with_room(#[values(Change::Remove, Change::RemoveTwo)] change: Change) {
    sweep(&FIVE_WITH_ROOM, change, stride(90));
}

#[rstest]
fn of_eight(#[values(Change::Remove, Change::Replace, Change::Lose)] change: Change) {
    sweep(&EIGHT, change, stride(300));
}

#[rstest]
fn by_zones(#[values(Change::Replace, Change::Remove)] change: Change) {
    sweep(&ZONES, change, stride(40));
    sweep(&FIVE_IN_ZONES, change, stride(40));
}

#[rstest]
fn by_regions(#[values(Change::Replace, Change::Join)] change: Change) {
    sweep(&REGIONS, change, stride(60));
}
