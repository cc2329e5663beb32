//! Faults: how they strike and heal.

use super::{What, World};
use crate::faults::{Fault, Moment, TERM_TIME};
use crate::plan::ms;
use control_plane::member::Input;
use std::time::Duration;

impl World<'_> {
    pub(super) fn strike(&mut self, fault: Fault) {
        self.calm_since = if self.plan.strict {
            self.now
        } else {
            Duration::MAX / 2
        };
        self.note(|_| format!("strikes: {fault:?}"));
        let heal = match fault {
            Fault::Kill(n, d) | Fault::Power(n, d) => {
                self.down(n, d);
                d
            }
            Fault::Term(n, d) => {
                self.step(n, Input::Depart);
                self.at(self.now + TERM_TIME, n, What::End(n, Some(d)));
                self.moment(Moment::Leaving, n);
                d + TERM_TIME
            }
            Fault::Retire(n) => {
                self.step(n, Input::Depart);
                self.at(self.now + TERM_TIME, n, What::End(n, None));
                self.moment(Moment::Leaving, n);
                TERM_TIME
            }
            Fault::Join => {
                let id = 1000 + self.nodes.len() as u64;
                self.add(id);
                self.at(self.now, self.nodes.len() - 1, What::Start);
                ms(0)
            }
            Fault::Wipe(n, d) => {
                self.down(n, d);
                self.wipe(n);
                d
            }
            Fault::Replace(n, d) => {
                self.nodes[n].gone = true;
                self.down(n, d);
                let id = 1000 + self.nodes.len() as u64;
                self.add(id);
                let new = self.nodes.len() - 1;
                self.at(self.now + d, new, What::Start);
                d
            }
            Fault::Freeze(n, d) => {
                if !self.nodes[n].frozen {
                    self.nodes[n].until.frozen_since = self.now;
                }
                self.nodes[n].frozen = true;
                self.nodes[n].until.frozen = self.now + d;
                d
            }
            Fault::Cut(n, d, way) => {
                self.cut_off(n, way, true);
                d
            }
            Fault::Stall(n, d) => {
                self.nodes[n].disk.0 = true;
                self.nodes[n].until.stalled = self.now + d;
                d
            }
            Fault::Full(n, d) => {
                self.nodes[n].disk.1 = true;
                self.nodes[n].until.full = self.now + d;
                d
            }
            Fault::Slow(n, d, x) => {
                self.nodes[n].disk.2 = x;
                self.nodes[n].until.slow = self.now + d;
                d
            }
            Fault::CutPair(a, b, d) => {
                self.cut_ways(&[(a, b), (b, a)], true);
                for n in [a, b] {
                    self.nodes[n].until.apart = self.now + d;
                }
                d
            }
            Fault::CutZone(zone, d, way) => {
                self.cut_zone(zone, way, true);
                d
            }
            Fault::Agent(k, d) => {
                self.restart_agent(k, d);
                d
            }
            Fault::KillAll(d) | Fault::PowerAll(d, _) => {
                let wiped = match fault {
                    Fault::PowerAll(_, wiped) => wiped,
                    _ => None,
                };
                if let Some(n) = wiped.filter(|_| !self.plan.strict) {
                    self.wipe(n);
                }
                for n in 0..self.nodes.len() {
                    if !self.nodes[n].gone {
                        let spread = ms(self.pick(200));
                        self.down(n, d + spread);
                    }
                }
                if let Some(n) = wiped.filter(|_| self.plan.strict) {
                    self.wipe(n);
                }
                d
            }
        };
        self.at(self.now + heal, 0, What::Heal(fault));
    }

    /// A process that was asked to end ends, and starts again after so long, if at all.
    pub(super) fn end(&mut self, n: usize, back: Option<Duration>) {
        if self.nodes[n].gone {
            return;
        }
        self.nodes[n].gone = back.is_none();
        self.down(n, back.unwrap_or_default());
    }

    pub(super) fn heal(&mut self, fault: Fault) {
        self.note(|_| format!("heals: {fault:?}"));
        // Where several of one kind meet, the last one counts.
        let now = self.now;
        let later = |until: Duration| self.plan.strict && until > now;
        match fault {
            Fault::Freeze(n, _) if later(self.nodes[n].until.frozen) => {}
            Fault::Stall(n, _) if later(self.nodes[n].until.stalled) => {}
            Fault::Full(n, _) if later(self.nodes[n].until.full) => {}
            Fault::Slow(n, ..) if later(self.nodes[n].until.slow) => {}
            Fault::CutPair(a, b, _) => self.cut_ways(&[(a, b), (b, a)], false),
            Fault::CutZone(zone, _, way) => self.cut_zone(zone, way, false),
            Fault::Freeze(n, _) => {
                let node = &mut self.nodes[n];
                if node.frozen {
                    node.stood_still += self.now - node.until.frozen_since;
                }
                node.frozen = false;
                for (node, what) in std::mem::take(&mut self.nodes[n].held_back) {
                    self.at(self.now, node, what);
                }
            }
            Fault::Cut(n, _, way) => self.cut_off(n, way, false),
            Fault::Stall(n, _) => {
                self.nodes[n].disk.0 = false;
                for (node, what) in std::mem::take(&mut self.nodes[n].held_back) {
                    self.at(self.now + ms(2), node, what);
                }
            }
            Fault::Full(n, _) => self.nodes[n].disk.1 = false,
            Fault::Slow(n, ..) => self.nodes[n].disk.2 = 1,
            _ => {}
        }
        self.calm_since = self.now;
    }
}
