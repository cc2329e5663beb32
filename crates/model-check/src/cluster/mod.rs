//! Members on machines with a network between them: the code's own [`control_plane::member::Member`], driven
//! through everything that a bounded number of deviations can do to its messages, timers, disks and processes.
//!
//! The default schedule delivers messages in the order sent and lets time pass when none are left; disks end their
//! writes at once. All else is a deviation ([`Faults`]). One global clock runs; each process counts its own from its
//! start.

mod claims;
mod faults;
mod machine;
mod mirror;
mod operator;
mod planted;
mod world;

pub use claims::{
    AGE, AGREED, ANSWER, FENCED, FORWARD, IDENTITY, KEPT, ONE_CONTENT, ONE_ORDER, ONE_VIEW,
    PROMISE, READ,
};
pub use faults::{Action, Faults, Way};
pub use machine::LEASE;
pub use operator::{Request, Step};
pub use planted::Planted;
pub use world::World;

use crate::search::{Breach, Choice, Model};
use std::time::Duration;

/// Time that the first start may take.
const START_TIME: Duration = Duration::from_millis(2500);
/// Actions that the first start may take.
const START_ACTIONS: usize = 5000;

/// What is searched.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Machines at the start; the first three are the seeds.
    pub machines: usize,
    /// Machines that the budget lets be lost at once.
    pub losses: u32,
    /// A machine without a disk's content that comes on its own, at this time.
    pub joiner: Option<Duration>,
    /// What operators ask.
    pub steps: Vec<Step>,
    /// When a reader starts, for each.
    pub readers: Vec<Duration>,
    /// Whether what members and readers say of their age is checked.
    pub ages: bool,
    /// What may go wrong.
    pub faults: Faults,
    /// Until when it may go wrong; times count from the end of the members' start.
    pub faults_until: Duration,
    /// How long a run goes on.
    pub length: Duration,
    /// Time that a disk takes to open at a start that isn't the first.
    pub opening: Duration,
    /// A bug to be found.
    pub planted: Planted,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            machines: 3,
            losses: 1,
            joiner: None,
            steps: Vec::new(),
            readers: Vec::new(),
            ages: false,
            faults: Faults::default(),
            faults_until: 2 * LEASE,
            length: 4 * LEASE,
            opening: Duration::ZERO,
            planted: Planted::Nothing,
        }
    }
}

/// A scenario with its members started.
pub struct Cluster {
    scenario: Scenario,
    start: World,
}

impl Cluster {
    /// Starts the members and lets them agree on their first primary.
    ///
    /// # Errors
    /// Where that breaks a claim.
    pub fn new(scenario: Scenario) -> Result<Self, Breach> {
        let mut world = World::new(&scenario);
        for _ in 0..START_ACTIONS {
            if world.now() >= START_TIME {
                break;
            }
            let action = world.default_action();
            world = world.after(&scenario, &action)?;
        }
        world.begin(&scenario);
        Ok(Self {
            scenario,
            start: world,
        })
    }

    /// Members that all lose power as soon as a majority has promised an epoch, before any holds a view, and
    /// start again after a time.
    ///
    /// # Errors
    /// Where that breaks a claim.
    pub fn first_start_interrupted(scenario: Scenario, down: Duration) -> Result<Self, Breach> {
        let mut world = World::new(&scenario);
        while !world.most_promised() && world.now() < START_TIME {
            let action = world.default_action();
            world = world.after(&scenario, &action)?;
        }
        for machine in 0..scenario.machines {
            world = world.after(&scenario, &Action::Crash(machine, down))?;
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

    fn apply(&self, world: &World, action: &Action) -> Result<World, Breach> {
        world.after(&self.scenario, action)
    }

    fn fingerprint(&self, world: &World) -> u64 {
        world.fingerprint()
    }

    fn left(&self, world: &World) -> u64 {
        world.left(&self.scenario).as_millis() as u64
    }
}
