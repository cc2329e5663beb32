//! The search: every state that a model can reach with a bounded number of deviations from its default schedule.
//!
//! Each state has actions with a cost. The default action costs nothing; what a scheduler, a network or a fault does
//! beyond it costs one deviation. All runs within the bound are visited: states are remembered by fingerprint, with
//! the deviations that remained, and are expanded again only with more of them. Bounds rise from 0, so that a violation is
//! found with the fewest deviations.

use std::collections::HashMap;
use std::fmt::{self, Debug};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Number of shards of the table of visited states, each with a lock of its own.
const VISITED_SHARDS: usize = 64;
/// A thread with more work than this gives half of it to idle ones.
const LOCAL_WORK: usize = 4;

/// What a safety claim says was broken, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: &'static str,
    /// What happened.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

impl std::error::Error for Violation {}

impl Violation {
    /// A violation of an invariant.
    pub fn new(invariant: &'static str, detail: impl Into<String>) -> Self {
        Self {
            invariant,
            detail: detail.into(),
        }
    }
}

/// An action with the deviations that it costs.
#[derive(Clone, Debug)]
pub struct Choice<A> {
    /// The action.
    pub action: A,
    /// Deviations that it costs.
    pub cost: u8,
}

/// A system that can be searched.
pub trait Model: Sync {
    /// A state.
    type State: Send + Sync;
    /// What can happen in a state.
    type Action: Clone + Debug + Send + Sync;

    /// The first state.
    fn start(&self) -> Self::State;

    /// What can happen in a state, the default action first; none where the run is over.
    fn choices(&self, state: &Self::State) -> Vec<Choice<Self::Action>>;

    /// The state after an action.
    ///
    /// # Errors
    /// If an invariant is violated.
    fn apply(&self, state: &Self::State, action: &Self::Action) -> Result<Self::State, Violation>;

    /// A hash that tells states apart.
    fn fingerprint(&self, state: &Self::State) -> u64;

    /// How much of the run remains: of two states with one fingerprint the one with more has all runs of the other.
    fn remaining(&self, state: &Self::State) -> u64;
}

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Deviations at most.
    pub deviations: u8,
    /// Actions of one run at most.
    pub depth: u32,
    /// States at most; a search that stops here says so.
    pub states: u64,
    /// Threads.
    pub jobs: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            deviations: 2,
            depth: 5000,
            states: 50_000_000,
            jobs: 2,
        }
    }
}

/// A run that violates an invariant.
#[derive(Clone, Debug)]
pub struct Counterexample<A> {
    /// What is violated.
    pub violation: Violation,
    /// All actions from the first state on.
    pub trace: Vec<Choice<A>>,
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct Outcome<A> {
    /// Deviations of the highest bound that was searched.
    pub deviations: u8,
    /// Number of different states under the highest bound.
    pub states: u64,
    /// Number of actions applied under all bounds.
    pub transitions: u64,
    /// Number of actions of the longest run.
    pub deepest: u32,
    /// Number of runs that ended at [`Bounds::depth`].
    pub cut_short: u64,
    /// Whether the search ended at [`Bounds::states`].
    pub stopped: bool,
    /// Time of the search.
    pub time: Duration,
    /// The run that violates an invariant, if there is one.
    pub found: Option<Counterexample<A>>,
}

/// Searches under each bound from 0 deviations to the highest, until an invariant is violated.
pub fn search<M: Model>(model: &M, bounds: Bounds) -> Outcome<M::Action> {
    let started = Instant::now();
    let mut transitions = 0;
    for deviations in 0..=bounds.deviations {
        let search = Search::new(
            model,
            Bounds {
                deviations,
                ..bounds
            },
        );
        search.run();
        transitions += search.transitions.load(Ordering::Relaxed);
        let found = lock(&search.found).take();
        let stopped = search.full.load(Ordering::Relaxed);
        if deviations == bounds.deviations || found.is_some() || stopped {
            return Outcome {
                deviations,
                states: search.states.load(Ordering::Relaxed),
                transitions,
                deepest: search.deepest.load(Ordering::Relaxed) as u32,
                cut_short: search.cut_short.load(Ordering::Relaxed),
                stopped,
                time: started.elapsed(),
                found,
            };
        }
    }
    unreachable!("the last bound returns")
}

/// Replays a trace from the first state; what it violates, if anything.
pub fn replay<M: Model>(model: &M, trace: &[M::Action]) -> Option<Violation> {
    let mut state = model.start();
    for action in trace {
        match model.apply(&state, action) {
            Ok(next) => state = next,
            Err(violation) => return Some(violation),
        }
    }
    None
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The actions that led to a state, last first.
struct Link<A> {
    choice: Choice<A>,
    before: Option<Arc<Link<A>>>,
}

/// An action that is still to be taken.
struct Work<M: Model> {
    state: Arc<M::State>,
    choice: Choice<M::Action>,
    before: Option<Arc<Link<M::Action>>>,
    deviations_left: u8,
    depth: u32,
}

/// What was left when a state was expanded.
#[derive(Clone, Copy)]
struct Expanded {
    deviations: u8,
    run: u64,
}

struct Search<'m, M: Model> {
    model: &'m M,
    bounds: Bounds,
    shared: Mutex<Vec<Work<M>>>,
    more: Condvar,
    idle: AtomicUsize,
    over: AtomicBool,
    full: AtomicBool,
    visited: Vec<Mutex<HashMap<u64, Expanded>>>,
    states: AtomicU64,
    transitions: AtomicU64,
    deepest: AtomicU64,
    cut_short: AtomicU64,
    found: Mutex<Option<Counterexample<M::Action>>>,
}

impl<'m, M: Model> Search<'m, M> {
    fn new(model: &'m M, bounds: Bounds) -> Self {
        Self {
            model,
            bounds,
            shared: Mutex::default(),
            more: Condvar::new(),
            idle: AtomicUsize::new(0),
            over: AtomicBool::new(false),
            full: AtomicBool::new(false),
            visited: (0..VISITED_SHARDS).map(|_| Mutex::default()).collect(),
            states: AtomicU64::new(0),
            transitions: AtomicU64::new(0),
            deepest: AtomicU64::new(0),
            cut_short: AtomicU64::new(0),
            found: Mutex::new(None),
        }
    }

    fn run(&self) {
        let mut first = Vec::new();
        self.expand(
            Arc::new(self.model.start()),
            self.bounds.deviations,
            0,
            None,
            &mut first,
        );
        lock(&self.shared).extend(first);
        std::thread::scope(|scope| {
            for _ in 0..self.bounds.jobs.max(1) {
                scope.spawn(|| self.work());
            }
        });
    }

    fn work(&self) {
        let mut local: Vec<Work<M>> = Vec::new();
        while !self.over.load(Ordering::Relaxed) {
            let Some(work) = local.pop().or_else(|| self.next()) else {
                return;
            };
            self.take(work, &mut local);
            if local.len() > LOCAL_WORK && self.idle.load(Ordering::Relaxed) > 0 {
                let kept = local.split_off(local.len() / 2);
                lock(&self.shared).extend(std::mem::replace(&mut local, kept));
                self.more.notify_all();
            }
        }
    }

    /// Work that others gave away; none once nobody has any.
    fn next(&self) -> Option<Work<M>> {
        let mut shared = lock(&self.shared);
        self.idle.fetch_add(1, Ordering::Relaxed);
        loop {
            if self.over.load(Ordering::Relaxed) {
                return None;
            }
            if let Some(work) = shared.pop() {
                self.idle.fetch_sub(1, Ordering::Relaxed);
                return Some(work);
            }
            if self.idle.load(Ordering::Relaxed) == self.bounds.jobs.max(1) {
                self.finish();
                return None;
            }
            shared = self
                .more
                .wait(shared)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn finish(&self) {
        self.over.store(true, Ordering::Relaxed);
        self.more.notify_all();
    }

    fn take(&self, work: Work<M>, local: &mut Vec<Work<M>>) {
        self.transitions.fetch_add(1, Ordering::Relaxed);
        let next = self.model.apply(&work.state, &work.choice.action);
        let link = Arc::new(Link {
            choice: work.choice,
            before: work.before,
        });
        match next {
            Ok(next) => self.expand(
                Arc::new(next),
                work.deviations_left,
                work.depth + 1,
                Some(link),
                local,
            ),
            Err(violation) => {
                lock(&self.found).get_or_insert_with(|| Counterexample {
                    violation,
                    trace: trace(&link),
                });
                self.give_up();
            }
        }
    }

    fn give_up(&self) {
        // Whoever waits holds the lock between its look at `over` and its wait.
        let _shared = lock(&self.shared);
        self.finish();
    }

    fn expand(
        &self,
        state: Arc<M::State>,
        deviations_left: u8,
        depth: u32,
        before: Option<Arc<Link<M::Action>>>,
        out: &mut Vec<Work<M>>,
    ) {
        self.deepest.fetch_max(depth.into(), Ordering::Relaxed);
        if !self.is_new(&state, deviations_left, depth) {
            return;
        }
        if depth >= self.bounds.depth {
            self.cut_short.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let choices = self.model.choices(&state);
        let within = choices.into_iter().filter(|c| c.cost <= deviations_left);
        // The default action is taken last, so that deviations late in a run come last of all.
        out.extend(within.map(|choice| Work {
            state: state.clone(),
            deviations_left: deviations_left - choice.cost,
            choice,
            before: before.clone(),
            depth,
        }));
    }

    fn is_new(&self, state: &M::State, deviations: u8, depth: u32) -> bool {
        let fingerprint = self.model.fingerprint(state);
        let run = self
            .model
            .remaining(state)
            .min(u64::from(self.bounds.depth - depth));
        let mut shard = lock(&self.visited[fingerprint as usize % VISITED_SHARDS]);
        let now = Expanded { deviations, run };
        match shard.get_mut(&fingerprint) {
            Some(known) if known.deviations >= deviations && known.run >= run => false,
            Some(known) => {
                *known = now;
                true
            }
            None => {
                shard.insert(fingerprint, now);
                drop(shard);
                if self.states.fetch_add(1, Ordering::Relaxed) + 1 >= self.bounds.states {
                    self.full.store(true, Ordering::Relaxed);
                    self.give_up();
                }
                true
            }
        }
    }
}

fn trace<A: Clone>(last: &Arc<Link<A>>) -> Vec<Choice<A>> {
    let mut trace = Vec::new();
    let mut at = Some(last);
    while let Some(link) = at {
        trace.push(link.choice.clone());
        at = link.before.as_ref();
    }
    trace.reverse();
    trace
}
