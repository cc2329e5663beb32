//! The state of all machines, of the network, of the operators and readers, and what an action makes of it.

use super::claims::{Facts, FORWARD};
use super::faults::{ms, Action, Faults, Way};
use super::machine::{control, inner, Machine, PendingWrite, Start, LEASE};
use super::mirror::StateMirror;
use super::operator::{Operators, Result as OrderResult, MOST_ATTEMPTS, RETRY_PAUSE};
use super::planted::Planted;
use super::Scenario;
use crate::canonical;
use crate::search::{Breach, Choice};
use configuration::{Code, Document};
use control_plane::member::{Input, Output};
use protocol::{Caller, Command, MemberInfo, Message};
use replication::{Mirror, News};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Seeds of a system: they vote first.
const SEEDS: usize = 3;
/// Machines at most.
const MOST_MACHINES: usize = 7;
/// How often members show each other that they are there, as their links do.
const HELLO_INTERVAL: Duration = Duration::from_millis(1000);
/// A process that leaves is killed after this.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often members and readers pull.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// A message on its way.
#[derive(Clone, Debug)]
struct Envelope {
    from: MemberInfo,
    from_machine: usize,
    to: usize,
    /// The process that it is for: a connection ends with it.
    to_life: u32,
    message: Message,
    hash: u64,
}

/// What happens at a time of its own.
#[derive(Clone, Debug)]
enum Event {
    Start(usize),
    Join,
    Thaw(usize),
    /// A process that leaves has had its time.
    Kill(usize, u32),
    Heal(usize, Way),
    FastDisk(usize),
    Deliver(Arc<Envelope>),
    Request(usize),
    Retry(usize),
    Hello,
    Pull,
    News {
        reader: usize,
        member: usize,
        news: Arc<News>,
        asked: Duration,
    },
    StartReader,
}

#[derive(Clone)]
struct Reader {
    mirror: StateMirror,
    /// The newest that it showed.
    newest: (u64, u64),
}

/// A state.
#[derive(Clone)]
pub struct World {
    now: Duration,
    /// When the scenario's times begin.
    begun: Option<Duration>,
    machines: Vec<Arc<Machine>>,
    network: VecDeque<Arc<Envelope>>,
    /// Messages for processes that stand still.
    held: Vec<Arc<Envelope>>,
    events: Vec<(Duration, Event)>,
    /// Ways between machines that are cut, from and to.
    cut: Vec<(usize, usize)>,
    operators: Operators,
    readers: Vec<Arc<Reader>>,
    facts: Arc<Facts>,
    wipes: u8,
    replaced: u8,
    /// The member whose answers to the next pulls come late.
    late_news: Option<(usize, Duration)>,
}

impl World {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            begun: None,
            machines: (0..scenario.machines).map(|n| Arc::new(Machine::new(n))).collect(),
            network: VecDeque::new(),
            held: Vec::new(),
            events: Vec::new(),
            cut: Vec::new(),
            operators: Operators::default(),
            readers: Vec::new(),
            facts: Arc::default(),
            wipes: 0,
            replaced: 0,
            late_news: None,
        };
        for n in 0..scenario.machines {
            world.schedule(Duration::ZERO, Event::Start(n));
        }
        world.schedule(ms(1), Event::Hello);
        world
    }

    /// The members are up: the scenario's times begin.
    pub(super) fn begin(&mut self, scenario: &Scenario) {
        self.begun = Some(self.now);
        for (number, step) in scenario.steps.iter().enumerate() {
            self.schedule(step.at, Event::Request(number));
        }
        for at in &scenario.readers {
            self.schedule(*at, Event::StartReader);
        }
        if !scenario.readers.is_empty() {
            self.schedule(Duration::ZERO, Event::Pull);
        }
        if let Some(at) = scenario.joiner {
            self.schedule(at, Event::Join);
        }
    }

    /// The time of the global clock.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Whether somebody acts now, by its own word.
    pub fn somebody_acts(&self) -> bool {
        let acts = |m: &Arc<Machine>| m.process.as_ref().is_some_and(|p| p.member.acts()) && !m.frozen;
        self.machines.iter().any(acts)
    }

    /// Whether all seeds but one have promised an epoch.
    pub fn most_promised(&self) -> bool {
        let promised = |m: &&Arc<Machine>| m.process.as_ref().is_some_and(|p| p.member.promised() > 0);
        self.machines.iter().filter(promised).count() + 1 >= SEEDS
    }

    /// The newest version of the configuration that was confirmed to an operator.
    pub fn newest_confirmed(&self) -> u64 {
        self.facts.newest_confirmed
    }

    /// Orders that have neither been confirmed nor refused.
    pub fn open_orders(&self) -> usize {
        self.operators.orders.iter().filter(|o| o.result == OrderResult::Open).count()
    }

    /// A line for each machine, for people.
    pub fn describe(&self) -> Vec<String> {
        let line = |m: &Arc<Machine>| match &m.process {
            None => format!("{}: down", m.index),
            Some(p) => {
                let view =
                    p.member.view().map(|v| (v.epoch >> 20, v.primary, v.replicas.clone(), v.voters.len()));
                let frozen = if m.frozen { " (stands still)" } else { "" };
                format!(
                    "{}: id {} promised {} view {view:?} acts {} shows {}{frozen}",
                    m.index,
                    p.seat.id,
                    p.member.promised() >> 20,
                    p.member.acts(),
                    p.mirror.read().document().version
                )
            }
        };
        self.machines.iter().map(line).collect()
    }

    pub(super) fn left(&self, scenario: &Scenario) -> Duration {
        self.begun.map_or(scenario.length, |begun| (begun + scenario.length).saturating_sub(self.now))
    }

    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for machine in &self.machines {
            machine.fingerprint(self.now).hash(&mut hasher);
        }
        self.network.iter().chain(&self.held).for_each(|e| e.hash.hash(&mut hasher));
        self.held.len().hash(&mut hasher);
        for (at, event) in &self.events {
            canonical::relative(self.now, *at, LEASE).hash(&mut hasher);
            event.hash_into(&mut hasher);
        }
        self.cut.hash(&mut hasher);
        self.operators.hash(&mut hasher);
        for reader in &self.readers {
            let mirror = reader.mirror.read();
            (mirror.ledger(), reader.newest, mirror.age_ms(self.now).min(9000)).hash(&mut hasher);
        }
        self.facts.fingerprint(self.now, LEASE).hash(&mut hasher);
        (self.wipes, self.replaced, self.late_news).hash(&mut hasher);
        hasher.finish()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let at = self.now + after;
        let place = self.events.partition_point(|e| e.0 <= at);
        self.events.insert(place, (at, event));
    }

    // What can happen.

    /// What happens next if nothing deviates.
    pub fn default_action(&self) -> Action {
        if !self.network.is_empty() {
            return Action::Deliver(0);
        }
        self.pending_write().map_or(Action::Advance, Action::EndWrite)
    }

    fn pending_write(&self) -> Option<usize> {
        let writes = |m: &Arc<Machine>| m.process.as_ref().is_some_and(|p| !p.writes.is_empty()) && !m.frozen;
        self.machines.iter().position(writes)
    }

    pub(super) fn choices(&self, scenario: &Scenario) -> Vec<Choice<Action>> {
        if self.left(scenario).is_zero() {
            return Vec::new();
        }
        let default = self.default_action();
        let mut choices = vec![Choice { action: default.clone(), cost: 0 }];
        let faults = &scenario.faults;
        for place in 1..self.network.len().min(faults.any_order) {
            choices.push(Choice { action: Action::Deliver(place), cost: 0 });
        }
        if self.begun.is_some_and(|begun| self.now < begun + scenario.faults_until) {
            let deviations = self.network_deviations(faults).into_iter();
            let deviations = deviations.chain(self.machine_deviations(faults, &default));
            choices.extend(deviations.map(|action| Choice { action, cost: 1 }));
        }
        choices
    }

    fn network_deviations(&self, faults: &Faults) -> Vec<Action> {
        let mut all = Vec::new();
        if self.network.is_empty() {
            let pulls = self.events.first().is_some_and(|e| matches!(e.1, Event::Pull));
            if pulls && self.late_news.is_none() {
                let machines = 0..self.machines.len();
                all.extend(
                    machines.flat_map(|n| faults.late_news.iter().map(move |d| Action::LateNews(n, *d))),
                );
            }
            return all;
        }
        all.extend(faults.lose.then_some(Action::Lose));
        all.extend((faults.overtake && self.network.len() > 1).then_some(Action::Overtake));
        all.extend(faults.duplicate.iter().map(|d| Action::Duplicate(*d)));
        all.extend(faults.delay.iter().map(|d| Action::Delay(*d)));
        all.extend(faults.timer_first.then_some(Action::Advance));
        all.extend(faults.crash_sending.iter().map(|d| Action::CrashSending(*d)));
        all
    }

    /// Faults of machines. One that has nothing to do with the next message comes to the same after it: nothing of it
    /// is tried before.
    fn machine_deviations(&self, faults: &Faults, default: &Action) -> Vec<Action> {
        let mut all = Vec::new();
        for machine in self.machines.iter().filter(|m| m.process.is_some()) {
            let n = machine.index;
            let (takes, sent) = match default {
                Action::Deliver(_) => (self.network[0].to == n, self.network[0].from_machine == n),
                Action::EndWrite(at) => (*at == n, false),
                _ => (true, true),
            };
            if takes || sent {
                all.extend(faults.cut.iter().map(|d| Action::Cut(n, Way::Both, *d)));
                all.extend(faults.cut_one_way.iter().map(|d| Action::Cut(n, Way::Out, *d)));
                all.extend(faults.cut_one_way.iter().map(|d| Action::Cut(n, Way::In, *d)));
            }
            if !takes {
                continue;
            }
            all.extend(faults.crash.iter().map(|d| Action::Crash(n, *d)));
            if self.wipes < faults.most_wipes {
                all.extend(faults.wipe.iter().map(|d| Action::Wipe(n, *d)));
            }
            if self.replaced < faults.most_replaced && self.machines.len() < MOST_MACHINES {
                all.extend(faults.replace.iter().map(|d| Action::Replace(n, *d)));
            }
            if !machine.frozen && machine.leaving.is_none() {
                all.extend(faults.freeze.iter().map(|d| Action::Freeze(n, *d)));
                all.extend(faults.leave.iter().map(|d| Action::Leave(n, *d)));
            }
            if !machine.slow {
                all.extend(faults.slow_disk.iter().map(|d| Action::Slow(n, *d)));
            }
        }
        all
    }

    // What an action makes of the state.

    pub(super) fn after(&self, scenario: &Scenario, action: &Action) -> Result<World, Breach> {
        let mut world = self.clone();
        let run = &mut Run { scenario, mute: None };
        match action {
            Action::Deliver(place) => {
                if let Some(envelope) = world.network.remove(*place) {
                    world.deliver(run, &envelope)?;
                }
            }
            Action::EndWrite(n) => world.end_write(run, *n)?,
            Action::Advance => world.advance(run)?,
            Action::Lose => drop(world.network.pop_front()),
            Action::Overtake => world.network.rotate_left(1),
            Action::Duplicate(after) => {
                if let Some(envelope) = world.network.pop_front() {
                    world.schedule(*after, Event::Deliver(envelope.clone()));
                    world.deliver(run, &envelope)?;
                }
            }
            Action::Delay(after) => {
                if let Some(envelope) = world.network.pop_front() {
                    world.schedule(*after, Event::Deliver(envelope));
                }
            }
            Action::Crash(n, down) => world.crash(*n, *down),
            Action::CrashSending(down) => {
                if let Some(envelope) = world.network.pop_front() {
                    run.mute = Some(envelope.to);
                    world.deliver(run, &envelope)?;
                    world.crash(envelope.to, *down);
                }
            }
            Action::Wipe(n, down) => {
                world.wipes += 1;
                world.wipe(scenario, *n);
                world.crash(*n, *down);
            }
            Action::Replace(n, after) => {
                world.replaced += 1;
                world.wipe(scenario, *n);
                world.crash(*n, *after);
                world.machine(*n).gone = true;
                world.schedule(*after, Event::Join);
            }
            Action::Freeze(n, long) => {
                world.machine(*n).frozen = true;
                world.schedule(*long, Event::Thaw(*n));
            }
            Action::Cut(n, way, long) => {
                world.cut_off(*n, *way);
                world.schedule(*long, Event::Heal(*n, *way));
            }
            Action::Slow(n, long) => {
                world.machine(*n).slow = true;
                world.schedule(*long, Event::FastDisk(*n));
            }
            Action::Leave(n, down) => {
                let life = world.machines[*n].lives;
                world.machine(*n).leaving = Some(*down);
                world.schedule(LEAVE_TIMEOUT, Event::Kill(*n, life));
                world.step(run, *n, Input::Leave)?;
            }
            Action::LateNews(n, after) => world.late_news = Some((*n, *after)),
        }
        Ok(world)
    }

    fn machine(&mut self, n: usize) -> &mut Machine {
        Arc::make_mut(&mut self.machines[n])
    }

    fn advance(&mut self, run: &Run) -> Result<(), Breach> {
        let wake = |m: &Arc<Machine>| {
            let process = m.process.as_ref().filter(|_| !m.frozen)?;
            Some((process.origin + process.wake, m.index))
        };
        let next_wake = self.machines.iter().filter_map(wake).min();
        let next_event = self.events.first().map(|e| e.0);
        match (next_wake, next_event) {
            (Some((at, n)), event) if event.is_none_or(|event| at < event) => {
                self.now = self.now.max(at);
                self.step(run, n, Input::Tick)
            }
            (_, Some(at)) => {
                self.now = self.now.max(at);
                let (_, event) = self.events.remove(0);
                self.happen(run, event)
            }
            _ => {
                self.now += LEASE;
                Ok(())
            }
        }
    }

    fn happen(&mut self, run: &Run, event: Event) -> Result<(), Breach> {
        match event {
            Event::Start(n) => self.start(run, n),
            Event::Join => {
                let n = self.machines.len();
                if n < MOST_MACHINES {
                    self.machines.push(Arc::new(Machine::new(n)));
                    self.start(run, n)?;
                }
                Ok(())
            }
            Event::Thaw(n) => {
                self.machine(n).frozen = false;
                let (mine, others) = std::mem::take(&mut self.held).into_iter().partition(|e| e.to == n);
                self.held = others;
                let mine: Vec<Arc<Envelope>> = mine;
                mine.into_iter().rev().for_each(|e| self.network.push_front(e));
                self.changed(n);
                Ok(())
            }
            Event::Heal(n, way) => {
                self.cut.retain(|c| !cuts(n, way, *c));
                Ok(())
            }
            Event::FastDisk(n) => {
                self.machine(n).slow = false;
                self.changed(n);
                Ok(())
            }
            Event::Kill(n, life) => {
                if self.machines[n].lives == life {
                    if let Some(down) = self.machines[n].leaving {
                        self.crash(n, down);
                    }
                }
                Ok(())
            }
            Event::Deliver(envelope) => self.deliver(run, &envelope),
            Event::Request(number) => {
                let step = run.scenario.steps[number];
                let newest = self.facts.newest_confirmed;
                let order = self.operators.make(step.request, newest);
                self.send_order(run, order, step.to)
            }
            Event::Retry(order) => {
                let next = self.operators.orders[order].at.map_or(0, |at| at + 1);
                self.send_order(run, order, next)
            }
            Event::Hello => {
                self.schedule(HELLO_INTERVAL, Event::Hello);
                self.hello(run)
            }
            Event::Pull => {
                self.schedule(PULL_INTERVAL, Event::Pull);
                self.pull_all(run)
            }
            Event::News { reader, member, news, asked } => {
                let news = (*news).clone().aged(asked, self.now);
                self.read_news(run, reader, member, &news)
            }
            Event::StartReader => {
                let mirror = new_reader();
                self.readers.push(Arc::new(Reader { mirror, newest: (0, 0) }));
                Ok(())
            }
        }
    }

    fn start(&mut self, run: &Run, n: usize) -> Result<(), Breach> {
        if self.machines[n].process.is_some() || self.machines[n].gone {
            return Ok(());
        }
        let seeds: Vec<SocketAddrV4> = (0..SEEDS).map(control).collect();
        let first = self.begun.is_none();
        let old_seed = run.scenario.planted == Planted::OldIdentity && self.machines[n].records.is_empty();
        let start = Start {
            now: self.now,
            bootstrap: first || old_seed,
            opening: if first { Duration::ZERO } else { run.scenario.opening },
            losses: run.scenario.losses,
            seeds: &seeds,
            planted: run.scenario.planted,
        };
        self.machine(n).start(&start);
        if let Some(process) = &self.machines[n].process {
            self.facts.starts(process.seat.id, process.member.promised())?;
        }
        self.step(run, n, Input::Tick)?;
        self.greet(run, n)
    }

    /// A process dies; what was on its way to it is lost.
    fn crash(&mut self, n: usize, down: Duration) {
        let now = self.now;
        let machine = self.machine(n);
        (machine.process, machine.frozen, machine.leaving) = (None, false, None);
        machine.changed(now);
        self.network.retain(|e| e.to != n);
        self.held.retain(|e| e.to != n);
        self.events.retain(|(_, event)| !matches!(event, Event::Deliver(e) if e.to == n));
        self.schedule(down, Event::Start(n));
        let waiting: Vec<usize> = self.operators.waiting_at(n).collect();
        for order in waiting {
            self.schedule(RETRY_PAUSE, Event::Retry(order));
        }
    }

    fn wipe(&mut self, scenario: &Scenario, n: usize) {
        if let Some(process) = &self.machines[n].process {
            let id = process.seat.id;
            Arc::make_mut(&mut self.facts).wiped(id);
        }
        self.machine(n).wipe(scenario.planted);
    }

    fn cut_off(&mut self, n: usize, way: Way) {
        let others = 0..MOST_MACHINES;
        let pairs = others.filter(|o| *o != n).flat_map(|o| [(n, o), (o, n)]);
        self.cut.extend(pairs.filter(|pair| cuts(n, way, *pair)));
        self.cut.sort_unstable();
        self.cut.dedup();
        let cut = &self.cut;
        // What is on its way over a cut way is lost.
        self.network.retain(|e| !cut.contains(&(e.from_machine, e.to)));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from != to && !self.cut.contains(&(from, to))
    }

    /// Members show each other that they are there.
    fn hello(&mut self, run: &Run) -> Result<(), Breach> {
        for n in 0..self.machines.len() {
            self.greet(run, n)?;
        }
        Ok(())
    }

    fn greet(&mut self, run: &Run, n: usize) -> Result<(), Breach> {
        let Some(process) = self.machines[n].process.as_ref().filter(|_| !self.machines[n].frozen) else {
            return Ok(());
        };
        let seat = process.seat.clone();
        for to in 0..self.machines.len() {
            let there = self.machines[to].process.is_some() && !self.machines[to].frozen;
            if there && self.reaches(n, to) {
                self.step(run, to, Input::Reachable { seat: seat.clone() })?;
            }
        }
        Ok(())
    }

    fn deliver(&mut self, run: &Run, envelope: &Arc<Envelope>) -> Result<(), Breach> {
        let n = envelope.to;
        let machine = &self.machines[n];
        if machine.process.as_ref().is_none_or(|p| p.life != envelope.to_life) {
            return Ok(());
        }
        if machine.frozen {
            self.held.push(envelope.clone());
            return Ok(());
        }
        let input = Input::Message { from: envelope.from.clone(), message: envelope.message.clone() };
        self.step(run, n, input)
    }

    fn end_write(&mut self, run: &Run, n: usize) -> Result<(), Breach> {
        let process = self.machine(n).process.as_mut();
        let Some(write) = process.and_then(|p| p.writes.pop_front()) else { return Ok(()) };
        self.write(n, &write)?;
        self.step(run, n, Input::Wrote { ticket: write.ticket, result: Ok(()) })
    }

    fn write(&mut self, n: usize, write: &PendingWrite) -> Result<(), Breach> {
        self.machine(n).put(write);
        let id = self.machines[n].process.as_ref().map_or(0, |p| p.seat.id);
        Arc::make_mut(&mut self.facts).on_disk(id, &write.records)
    }

    /// A member takes an input; a fast disk ends each write at once.
    fn step(&mut self, run: &Run, n: usize, input: Input) -> Result<(), Breach> {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let now = self.now;
            let Some(process) = &mut self.machine(n).process else { return Ok(()) };
            let clock = process.clock(now);
            let mut outputs = Vec::new();
            process.member.step(clock, input, &mut outputs);
            for output in outputs {
                if let Some(write) = self.perform(run, n, output)? {
                    self.write(n, &write)?;
                    inputs.push_back(Input::Wrote { ticket: write.ticket, result: Ok(()) });
                }
            }
        }
        let now = self.now;
        if let Some(process) = &mut self.machine(n).process {
            process.show(now);
        }
        self.changed(n);
        self.check_age(run, n)
    }

    fn changed(&mut self, n: usize) {
        let now = self.now;
        self.machine(n).changed(now);
    }

    /// Does what a member asks for; a write that ends at once is handed back.
    fn perform(&mut self, run: &Run, n: usize, output: Output) -> Result<Option<PendingWrite>, Breach> {
        let mute = run.mute == Some(n);
        match output {
            Output::Write { ticket, records, rewrite } => {
                let slow = self.machines[n].slow;
                let write = PendingWrite { ticket, records, rewrite };
                if !slow {
                    return Ok(Some(write));
                }
                if let Some(process) = &mut self.machine(n).process {
                    process.writes.push_back(write);
                }
            }
            Output::Wake { at } => {
                if let Some(process) = &mut self.machine(n).process {
                    process.wake = at;
                }
            }
            _ if mute => {}
            Output::Send { to, message } => self.send(run, n, &to, message)?,
            Output::Answer { ticket, code, body } => self.answered(n, ticket, code, &body)?,
            Output::Publish { seq, document, drains } => {
                let epoch = self.epoch(n);
                let facts = Arc::make_mut(&mut self.facts);
                facts.acts(epoch)?;
                facts.shows(self.now, epoch, seq, &document, &drains)?;
                self.show(n, seq, document, &drains);
            }
            Output::Restore { seq, document, drains } => {
                let epoch = self.epoch(n);
                Arc::make_mut(&mut self.facts).same_content(self.now, epoch, seq, &document, &drains)?;
                self.show(n, seq, document, &drains);
            }
            Output::Left => self.schedule(Duration::ZERO, Event::Kill(n, self.machines[n].lives)),
        }
        Ok(None)
    }

    fn show(&mut self, n: usize, seq: u64, document: Arc<Document>, drains: &[String]) {
        if let Some(process) = &mut self.machine(n).process {
            process.mirror.get().set_ledger(seq, document, drains);
        }
    }

    fn epoch(&self, n: usize) -> u64 {
        let process = self.machines[n].process.as_ref();
        process.and_then(|p| p.member.view()).map_or(0, |v| v.epoch)
    }

    fn send(&mut self, run: &Run, n: usize, to: &MemberInfo, message: Message) -> Result<(), Breach> {
        let Some(process) = &self.machines[n].process else { return Ok(()) };
        let (seat, at_start) = (process.seat.clone(), process.at_start.clone());
        Arc::make_mut(&mut self.facts).says(seat.id, &message)?;
        if let Message::CommandResult { id, code, .. } = &message {
            self.decided(n, *id, *code)?;
        }
        let planted = run.scenario.planted;
        let message = planted.rewrite(message, at_start.as_deref());
        let target = self.machines.iter().position(|m| inner(m.index) == to.addr);
        let up = target.filter(|t| self.machines[*t].process.is_some() && self.reaches(n, *t));
        let view = self.machines[n].process.as_ref().and_then(|p| p.member.view());
        for (from, answer) in planted.forged_answers(&message, to, up.is_some(), view) {
            self.post(from, n, n, answer);
        }
        if let Some(target) = up {
            self.post(seat, n, target, message);
        }
        Ok(())
    }

    fn post(&mut self, from: MemberInfo, from_machine: usize, to: usize, message: Message) {
        let clock_of = |n: usize| self.machines[n].process.as_ref().map(|p| p.clock(self.now));
        let asked_by = match &message {
            Message::RenewLease { .. } => clock_of(from_machine),
            _ => clock_of(to),
        };
        let hash = canonical::hash_of_message(&message, asked_by, LEASE);
        let hash = super::claims::hash_of((hash, from.id, from_machine, to));
        let to_life = self.machines[to].process.as_ref().map_or(0, |p| p.life);
        self.network.push_back(Arc::new(Envelope { from, from_machine, to, to_life, message, hash }));
    }

    // Operators.

    fn send_order(&mut self, run: &Run, number: usize, to: usize) -> Result<(), Breach> {
        let order = &self.operators.orders[number];
        if order.result != OrderResult::Open || order.attempts >= MOST_ATTEMPTS {
            return Ok(());
        }
        let count = self.machines.len();
        let there = |n: &usize| self.machines[*n].process.is_some() && !self.machines[*n].frozen;
        let Some(to) = (0..count).map(|n| (to + n) % count).find(there) else {
            self.schedule(RETRY_PAUSE, Event::Retry(number));
            return Ok(());
        };
        let order = &mut self.operators.orders[number];
        order.attempts += 1;
        order.at = Some(to);
        let (ticket, command) = (Operators::ticket(number, order.attempts), (*order.command).clone());
        self.step(run, to, Input::Command { ticket, command })
    }

    /// A primary has decided an order; its answer may be lost.
    fn decided(&mut self, n: usize, ticket: u64, code: u16) -> Result<(), Breach> {
        let (epoch, order) = (self.epoch(n), Operators::order(ticket));
        let Some(order) = self.operators.orders.get(order).cloned() else { return Ok(()) };
        let facts = Arc::make_mut(&mut self.facts);
        facts.acts(epoch)?;
        if code != Code::Ok.number() {
            return Ok(());
        }
        match &*order.command {
            Command::Configure { .. } => facts.confirms(order.content, order.base, order.version),
            Command::Drain { host } => {
                facts.confirms_drain(host);
                Ok(())
            }
            Command::Read { .. } => Ok(()),
        }
    }

    fn answered(&mut self, n: usize, ticket: u64, code: Code, body: &[u8]) -> Result<(), Breach> {
        let number = Operators::order(ticket);
        let Some(order) = self.operators.orders.get(number).cloned() else { return Ok(()) };
        if order.result != OrderResult::Open {
            return Ok(());
        }
        if code.status() >= 500 && code != Code::NoConfiguration {
            self.schedule(RETRY_PAUSE, Event::Retry(number));
            return Ok(());
        }
        let acts = self.machines[n].process.as_ref().is_some_and(|p| p.member.acts());
        if acts && code == Code::Ok {
            self.decided(n, ticket, code.number())?;
        }
        let facts = Arc::make_mut(&mut self.facts);
        match &*order.command {
            Command::Read { .. } => {
                let read = Document::read(body, 0).map_or(0, |d| d.version);
                facts.reads(order.known, read)?;
            }
            Command::Configure { .. } if code == Code::Ok => {
                facts.confirms(order.content, order.base, order.version)?;
            }
            Command::Configure { .. } => facts.refuses(order.content, order.base, &order.json())?,
            Command::Drain { host } => facts.confirms_drain(host),
        }
        self.operators.orders[number].result =
            if code == Code::Ok { OrderResult::Confirmed } else { OrderResult::Refused };
        Ok(())
    }

    // Readers.

    fn pull_all(&mut self, run: &Run) -> Result<(), Breach> {
        let late = self.late_news.take();
        for member in 0..self.machines.len() {
            if self.machines[member].process.is_none() || self.machines[member].frozen {
                continue;
            }
            for puller in 0..self.machines.len() {
                if self.reaches(puller, member) && self.reaches(member, puller) {
                    self.pull_as_member(run, puller, member)?;
                }
            }
            for reader in 0..self.readers.len() {
                let news = self.news_for(member, &self.readers[reader].mirror.read());
                match late.filter(|l| l.0 == member) {
                    Some((_, after)) => {
                        self.schedule(
                            after,
                            Event::News { reader, member, news: Arc::new(news), asked: self.now },
                        );
                    }
                    None => self.read_news(run, reader, member, &news)?,
                }
            }
        }
        Ok(())
    }

    fn news_for(&self, member: usize, puller: &Mirror) -> News {
        let Some(process) = &self.machines[member].process else { return News::default() };
        let pull = puller.pull(&Caller::default(), 0);
        let (clock, mirror) = (process.clock(self.now), process.mirror.read());
        mirror.news_for(clock, &pull).unwrap_or_else(|| mirror.no_news(clock))
    }

    fn pull_as_member(&mut self, run: &Run, puller: usize, member: usize) -> Result<(), Breach> {
        let Some(process) = self.machines[puller].process.as_ref().filter(|_| !self.machines[puller].frozen)
        else {
            return Ok(());
        };
        let news = self.news_for(member, &process.mirror.read());
        let now = self.now;
        if let Some(process) = &mut self.machine(puller).process {
            let clock = process.clock(now);
            process.mirror.get().apply(clock, &news);
        }
        self.changed(puller);
        self.check_age(run, puller)
    }

    fn read_news(&mut self, run: &Run, reader: usize, member: usize, news: &News) -> Result<(), Breach> {
        let now = self.now;
        let reader = Arc::make_mut(&mut self.readers[reader]);
        let old = reader.mirror.read().age_ms(now) > LEASE.as_millis() as u32;
        if run.scenario.planted == Planted::ForgetfulReader && old {
            reader.mirror = new_reader();
        }
        let mirror = reader.mirror.get();
        mirror.apply(now, news);
        let shows = (mirror.ledger(), mirror.document().version);
        let fresh = fresh_at(mirror, now, now).filter(|_| run.scenario.ages);
        if shows < reader.newest {
            let detail = format!("{shows:?} from {member} after {:?}", reader.newest);
            return Err(Breach::new(FORWARD, detail));
        }
        reader.newest = shows;
        fresh.map_or(Ok(()), |fresh| self.facts.claims_fresh("a reader", fresh, shows.0))
    }

    /// What a member's mirror says of its age has to be true.
    fn check_age(&self, run: &Run, n: usize) -> Result<(), Breach> {
        if !run.scenario.ages {
            return Ok(());
        }
        let Some(process) = &self.machines[n].process else { return Ok(()) };
        let mirror = process.mirror.read();
        match fresh_at(&mirror, process.clock(self.now), self.now) {
            Some(fresh) => self.facts.claims_fresh(&format!("machine {n}"), fresh, mirror.ledger()),
            None => Ok(()),
        }
    }
}

fn new_reader() -> StateMirror {
    StateMirror::new(Mirror::new(0, LEASE).at_the_end())
}

/// Until when a mirror says that it lacks nothing, by the global clock; ages are told in whole ms.
fn fresh_at(mirror: &Mirror, clock: Duration, now: Duration) -> Option<Duration> {
    let age = mirror.age_ms(clock);
    (age != u32::MAX).then(|| now.saturating_sub(ms(u64::from(age) + 1)))
}

fn cuts(n: usize, way: Way, (from, to): (usize, usize)) -> bool {
    match way {
        Way::Both => from == n || to == n,
        Way::Out => from == n,
        Way::In => to == n,
    }
}

/// What an action is played under.
struct Run<'s> {
    scenario: &'s Scenario,
    /// The machine that gets nothing out any more.
    mute: Option<usize>,
}

impl Event {
    fn hash_into(&self, hasher: &mut DefaultHasher) {
        std::mem::discriminant(self).hash(hasher);
        match self {
            Event::Start(n) | Event::Thaw(n) | Event::FastDisk(n) | Event::Request(n) | Event::Retry(n) => {
                n.hash(hasher);
            }
            Event::Heal(n, way) => (n, way).hash(hasher),
            Event::Kill(n, life) => (n, life).hash(hasher),
            Event::Deliver(envelope) => envelope.hash.hash(hasher),
            Event::News { reader, member, news, .. } => {
                (reader, member, news.age_ms, news.config.as_ref().map(|c| c.seq)).hash(hasher);
            }
            Event::Join | Event::Hello | Event::Pull | Event::StartReader => {}
        }
    }
}

impl Operators {
    /// Orders without an answer that a machine has.
    fn waiting_at(&self, n: usize) -> impl Iterator<Item = usize> + '_ {
        let waits = move |o: &&super::operator::Order| o.at == Some(n) && o.result == OrderResult::Open;
        self.orders.iter().enumerate().filter(move |(_, o)| waits(o)).map(|(number, _)| number)
    }
}
