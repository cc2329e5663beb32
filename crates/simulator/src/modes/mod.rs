//! Plans drawn from a seed, by mode.

mod beyond_budget;
mod plan_rng;
mod single_client;
mod within_budget;

use crate::faults::Fault;
use crate::plan::{ms, Plan};
use plan_rng::PlanRng;

/// How plans are drawn. `docs/design/hardening/simulator.md` has a table of the modes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// [`Plan::drawn`].
    Drawn,
    /// [`Plan::rough`].
    Rough,
    /// [`Plan::long`].
    Long,
    /// [`Plan::aimed`].
    Aimed,
    /// [`Plan::double`].
    Double,
    /// [`Plan::storm`].
    Storm,
    /// [`Plan::promises`].
    Promises,
    /// [`Plan::zones`].
    Zones,
    /// [`Plan::halves`].
    Halves,
}

impl Mode {
    /// All modes.
    pub const ALL: [Mode; 9] = [
        Self::Drawn,
        Self::Rough,
        Self::Long,
        Self::Aimed,
        Self::Double,
        Self::Storm,
        Self::Promises,
        Self::Zones,
        Self::Halves,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Drawn => "drawn",
            Self::Rough => "rough",
            Self::Long => "long",
            Self::Aimed => "aimed",
            Self::Double => "double",
            Self::Storm => "storm",
            Self::Promises => "promises",
            Self::Zones => "zones",
            Self::Halves => "halves",
        }
    }

    /// The mode of a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|m| m.name() == name)
    }

    /// The plan of a seed.
    pub fn plan(self, seed: u64) -> Plan {
        match self {
            Self::Drawn => Plan::drawn(seed),
            Self::Rough => Plan::rough(seed),
            Self::Long => Plan::long(seed),
            Self::Aimed => Plan::aimed(seed),
            Self::Double => Plan::double(seed),
            Self::Storm => Plan::storm(seed),
            Self::Promises => Plan::promises(seed),
            Self::Zones => Plan::zones(seed),
            Self::Halves => Plan::halves(seed),
        }
    }
}

impl Plan {
    fn with_drawn_size(seed: u64, draw: &mut PlanRng) -> Self {
        let (members, machine_losses) = draw.size();
        let workload = Some(draw.workload());
        Self {
            members,
            machine_losses,
            strict: true,
            workload,
            ..Self::without_faults(seed)
        }
    }

    /// Adds agents to one of two runs; they may be restarted at any time.
    fn with_agents(mut self, draw: &mut PlanRng) -> Self {
        self.agents = [0, 2][draw.index(2)];
        for _ in 0..self.agents {
            let at = ms(draw.below(self.duration.as_millis() as u64));
            self.faults.push((
                at,
                Fault::Agent(draw.index(self.agents), draw.between(50, 1500)),
            ));
        }
        self
    }
}
