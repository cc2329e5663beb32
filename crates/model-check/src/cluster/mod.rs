//! The model of members on machines with a network between them: the product's own [`control_plane::member::Member`],
//! driven through everything that a bounded number of deviations can do to its messages, timers, disks and processes.
//!
//! The default schedule delivers messages in the order in which they were sent and advances time when none are left;
//! disks complete their writes at once. Everything else is a deviation ([`Faults`]). There is one global clock; each
//! process counts its own time from its start.

mod clients;
mod faults;
mod invariants;
mod machine;
mod seeded_bug;
mod shared_mirror;
mod world;

pub use clients::{Request, ScheduledRequest};
pub use faults::{Action, Faults, Way};
pub use invariants::{
    AGE_TRUE, ANSWERS_HOLD, DURABLE, FENCED, JOINTLY_COMMITTED, NEW_IDENTITY_AFTER_WIPE,
    ONE_MEMBERSHIP_PER_EPOCH, ONE_REQUEST_PER_BASE, ONE_STATE_PER_INDEX, PROMISES_HOLD,
    READERS_NEVER_GO_BACK, READS_CURRENT,
};
pub use machine::LEASE;
pub use seeded_bug::SeededBug;
pub use world::World;

use crate::search::{Choice, Model, Violation};
use std::time::Duration;

/// Longest time of the first start.
const START_TIME: Duration = Duration::from_millis(2500);
/// Number of actions of the first start at most.
const START_ACTIONS: usize = 5000;

/// What a search explores.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Machines at the start. The first three are the seeds.
    pub machines: usize,
    /// Machines that the budget lets be lost at once.
    pub losses: u32,
    /// When a new machine with an empty disk joins.
    pub joiner: Option<Duration>,
    /// What clients request.
    pub requests: Vec<ScheduledRequest>,
    /// When each reader starts.
    pub readers: Vec<Duration>,
    /// Whether the ages that members and readers state are checked.
    pub ages: bool,
    /// Deviations that are tried.
    pub faults: Faults,
    /// Until when they are tried. All times of a scenario count from the end of the members' start.
    pub faults_until: Duration,
    /// Length of a run.
    pub length: Duration,
    /// Time that a disk takes to open at a restart.
    pub opening: Duration,
    /// A bug to be found.
    pub seeded_bug: SeededBug,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            machines: 3,
            losses: 1,
            joiner: None,
            requests: Vec::new(),
            readers: Vec::new(),
            ages: false,
            faults: Faults::default(),
            faults_until: 2 * LEASE,
            length: 4 * LEASE,
            opening: Duration::ZERO,
            seeded_bug: SeededBug::Nothing,
        }
    }
}

/// A scenario with its members started.
pub struct Cluster {
    scenario: Scenario,
    start: World,
}

impl Cluster {
    /// Starts the members and lets them elect their first primary.
    ///
    /// # Errors
    /// If that violates an invariant.
    pub fn new(scenario: Scenario) -> Result<Self, Violation> {
        let mut world = World::new(&scenario);
        for _ in 0..START_ACTIONS {
            if world.now() >= START_TIME {
                break;
            }
            let action = world.default_action();
            world = world.apply(&scenario, &action)?;
        }
        world.begin(&scenario);
        Ok(Self {
            scenario,
            start: world,
        })
    }

    /// Members that all lose power as soon as a majority has promised an epoch, before any has a membership, and start
    /// again after a time.
    ///
    /// # Errors
    /// If that violates an invariant.
    pub fn first_start_interrupted(scenario: Scenario, down: Duration) -> Result<Self, Violation> {
        let mut world = World::new(&scenario);
        while !world.majority_promised() && world.now() < START_TIME {
            let action = world.default_action();
            world = world.apply(&scenario, &action)?;
        }
        for machine in 0..scenario.machines {
            world = world.apply(&scenario, &Action::Crash(machine, down))?;
        }
        world.begin(&scenario);
        Ok(Self {
            scenario,
            start: world,
        })
    }

    /// What is searched.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }
}

impl Model for Cluster {
    type State = World;
    type Action = Action;

    fn start(&self) -> World {
        self.start.clone()
    }

    fn choices(&self, world: &World) -> Vec<Choice<Action>> {
        world.choices(&self.scenario)
    }

    fn apply(&self, world: &World, action: &Action) -> Result<World, Violation> {
        world.apply(&self.scenario, action)
    }

    fn fingerprint(&self, world: &World) -> u64 {
        world.fingerprint()
    }

    fn remaining(&self, world: &World) -> u64 {
        world.remaining(&self.scenario).as_millis() as u64
    }
}
