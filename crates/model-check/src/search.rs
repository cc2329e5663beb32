//! The search: every state that a model can reach with a bounded number of deviations from its default schedule.
//!
//! Each state has actions with a cost. The default action costs nothing; what a scheduler, a network or a fault does
//! beyond it costs one deviation. All runs within the bound are visited: states are remembered by fingerprint, with
//! the deviations that were left, and are expanded again only with more of them left. Bounds rise from 0, so that a
//! breach is found with the fewest deviations.

use std::collections::HashMap;
use std::fmt::Debug;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Parts of the table of visited states, each with a lock of its own.
const VISITED_SHARDS: usize = 64;
/// Work that a thread keeps for itself before it gives some to idle ones.
const LOCAL_WORK: usize = 4;

/// What a safety claim says was broken, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The claim.
    pub claim: &'static str,
    /// What happened.
    pub detail: String,
}

impl Breach {
    /// A breach of a claim.
    pub fn new(claim: &'static str, detail: impl Into<String>) -> Self {
        Self {
            claim,
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
    /// Where a claim is broken.
    fn apply(&self, state: &Self::State, action: &Self::Action) -> Result<Self::State, Breach>;

    /// What tells states apart.
    fn fingerprint(&self, state: &Self::State) -> u64;

    /// How much of the run is left: of two states with one fingerprint the one with more left has all runs of the
    /// other.
    fn left(&self, state: &Self::State) -> u64;
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

/// A run that breaks a claim.
#[derive(Clone, Debug)]
pub struct Counterexample<A> {
    /// What is broken.
    pub breach: Breach,
    /// All actions from the first state on.
    pub trace: Vec<Choice<A>>,
}

/// What a search came to.
#[derive(Clone, Debug)]
pub struct Outcome<A> {
    /// Deviations of the highest bound that was searched.
    pub deviations: u8,
    /// Different states, under the highest bound.
    pub states: u64,
    /// Actions taken, under all bounds.
    pub transitions: u64,
    /// The longest run.
    pub deepest: u32,
    /// Runs that ended at the bound of their length.
    pub cut_short: u64,
    /// Whether the bound of the states stopped it.
    pub stopped: bool,
    /// Time that it took.
    pub time: Duration,
    /// The run that breaks a claim, where there is one.
    pub found: Option<Counterexample<A>>,
}

/// Searches under each bound from 0 deviations to the highest, until a claim is broken.
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

/// Plays a trace again from the first state; what it breaks, if anything.
pub fn replay<M: Model>(model: &M, trace: &[M::Action]) -> Option<Breach> {
    let mut state = model.start();
    for action in trace {
        match model.apply(&state, action) {
            Ok(next) => state = next,
            Err(breach) => return Some(breach),
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
            Err(breach) => {
                lock(&self.found).get_or_insert_with(|| Counterexample {
                    breach,
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
            .left(state)
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
