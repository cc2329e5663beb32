//! Faults in series, drawn from a seed; some overlap.

use crate::applications::Applications;
use crate::harness::cluster::TestCluster;
use crate::random::Random;
use std::time::Duration;

pub const MEMBERS: u8 = 3;
pub const ALL: [u8; 3] = [1, 2, 3];
/// Calls of applications during which a fault lasts, or after which the next one comes.
const MIN_CALLS: u64 = 200;
const CALLS_SPREAD: u64 = 1500;
/// And how long at most: where a member stands still, calls wait for it.
const MIN_WAIT_MS: u64 = 100;
const WAIT_SPREAD_MS: u64 = 1500;

pub struct Faults {
    random: Random,
    injected: Vec<&'static str>,
}

impl Faults {
    pub fn new(seed: u64) -> Self {
        Self {
            random: Random::new(seed),
            injected: Vec::new(),
        }
    }

    /// What was injected, in order.
    pub fn injected(&self) -> &[&'static str] {
        &self.injected
    }

    pub fn inject(&mut self, cluster: &mut TestCluster, applications: &Applications) {
        let target = self.target(cluster);
        let fault = match self.random.below(7) {
            0 | 1 => self.freeze(cluster, applications, target),
            2 => self.kill(cluster, applications, target),
            3 => self.shut_down(cluster, applications, target),
            4 => self.power_loss(cluster),
            5 => self.freeze_and_kill(cluster, applications, target),
            _ => self.wipe(cluster, applications, target),
        };
        self.injected.push(fault);
        self.wait(applications);
    }

    /// Mostly the primary: most depends on it.
    fn target(&mut self, cluster: &TestCluster) -> u8 {
        match cluster.primary(&ALL) {
            Some(primary) if self.random.below(3) > 0 => primary,
            _ => ALL[self.random.below(3) as usize],
        }
    }

    fn wait(&mut self, applications: &Applications) {
        let calls = MIN_CALLS + self.random.below(CALLS_SPREAD);
        let longest = MIN_WAIT_MS + self.random.below(WAIT_SPREAD_MS);
        applications.wait_for_calls(calls, Duration::from_millis(longest));
    }

    fn freeze(
        &mut self,
        cluster: &TestCluster,
        applications: &Applications,
        target: u8,
    ) -> &'static str {
        cluster.freeze(target);
        self.wait(applications);
        cluster.thaw(target);
        "freeze"
    }

    fn kill(
        &mut self,
        cluster: &mut TestCluster,
        applications: &Applications,
        target: u8,
    ) -> &'static str {
        cluster.kill(target);
        self.wait(applications);
        cluster.start(target);
        "kill"
    }

    fn shut_down(
        &mut self,
        cluster: &mut TestCluster,
        applications: &Applications,
        target: u8,
    ) -> &'static str {
        cluster.shut_down(target);
        self.wait(applications);
        cluster.start(target);
        "shutdown"
    }

    fn power_loss(&mut self, cluster: &mut TestCluster) -> &'static str {
        ALL.iter().for_each(|n| cluster.kill(*n));
        ALL.iter().for_each(|n| cluster.start(*n));
        "power loss of all"
    }

    /// Another member is killed and back while the first one stands still.
    fn freeze_and_kill(
        &mut self,
        cluster: &mut TestCluster,
        applications: &Applications,
        target: u8,
    ) -> &'static str {
        cluster.freeze(target);
        self.wait(applications);
        let other = target % MEMBERS + 1;
        cluster.kill(other);
        cluster.start(other);
        cluster.thaw(target);
        "freeze and kill"
    }

    /// A disk is lost with its machine, once nothing else is missing; sometimes all others lose power at that moment.
    fn wipe(
        &mut self,
        cluster: &mut TestCluster,
        applications: &Applications,
        target: u8,
    ) -> &'static str {
        cluster.wait_until_stable(&ALL);
        cluster.wipe(target);
        let with_power_loss = self.random.one_in(2);
        if with_power_loss {
            let others = ALL.iter().filter(|n| **n != target);
            others.clone().for_each(|n| cluster.kill(*n));
            others.for_each(|n| cluster.start(*n));
        } else {
            self.wait(applications);
        }
        cluster.start(target);
        cluster.wait_until_stable(&ALL);
        if with_power_loss {
            "disk lost, power loss of all others"
        } else {
            "disk lost"
        }
    }
}
