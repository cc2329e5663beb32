//! Faults: how they strike and heal.

use super::{What, World};
use crate::faults::Fault;
use crate::plan::ms;
use control_plane::member::Input;
use std::time::Duration;

impl World<'_> {
    pub(super) fn strike(&mut self, fault: Fault) {
        self.calm_since = Duration::MAX / 2;
        let heal = match fault {
            Fault::Kill(n, d) | Fault::Power(n, d) => {
                self.down(n, d);
                d
            }
            Fault::Term(n, d) => {
                self.step(n, Input::Leave);
                self.at(self.now + ms(1200), n, What::Fault(Fault::Kill(n, d)));
                d + ms(1200)
            }
            Fault::Wipe(n, d) => {
                self.wipe(n);
                self.down(n, d);
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
                self.nodes[n].frozen = true;
                d
            }
            Fault::Cut(n, d, way) => {
                self.cut_off(n, way, true);
                d
            }
            Fault::Stall(n, d) => {
                self.nodes[n].disk.0 = true;
                d
            }
            Fault::Full(n, d) => {
                self.nodes[n].disk.1 = true;
                d
            }
            Fault::Slow(n, d, x) => {
                self.nodes[n].disk.2 = x;
                d
            }
            Fault::KillAll(d) | Fault::PowerAll(d, _) => {
                if let Fault::PowerAll(_, Some(n)) = fault {
                    self.wipe(n);
                }
                for n in 0..self.nodes.len() {
                    if !self.nodes[n].gone {
                        let spread = ms(self.pick(200));
                        self.down(n, d + spread);
                    }
                }
                d
            }
        };
        self.at(self.now + heal, 0, What::Heal(fault));
    }

    pub(super) fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::Freeze(n, _) => {
                self.nodes[n].frozen = false;
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
