//! The simulated network: messages, their delays, members that are cut off.

use super::{What, World};
use crate::plan::ms;
use control_plane::member::Input;
use protocol::{MemberInfo, Message};
use std::time::Duration;

impl World<'_> {
    /// Sends a message; it may be late, and comes to nothing where the way is cut.
    pub(super) fn send(&mut self, n: usize, to: &MemberInfo, message: Message) {
        let life = self.nodes[n].life;
        let Some(to) = self.nodes.iter().position(|m| m.seat.addr == to.addr) else { return };
        let lost = self.pick(200) == 0;
        let delay = Duration::from_micros(400 + self.pick(1200)) + ms(if lost { 200 } else { 0 });
        if !self.cut.contains_key(&(n, to)) {
            self.at(self.now + delay, to, What::Deliver { from: n, life, message: Box::new(message) });
        }
    }

    pub(super) fn deliver(&mut self, from: usize, life: u32, message: Message, to: usize) {
        let seat = self.nodes[from].seat.clone();
        if self.nodes[from].life == life && !self.cut.contains_key(&(from, to)) {
            self.step(to, Input::Message { from: seat, message });
        }
    }

    /// Members show that they are there, as their links do.
    pub(super) fn hello(&mut self, n: usize) {
        if self.nodes[n].member.is_none() {
            return;
        }
        let seat = self.nodes[n].seat.clone();
        for to in 0..self.nodes.len() {
            let reaches = to != n && !self.cut.contains_key(&(n, to)) && !self.nodes[to].frozen;
            if reaches && self.nodes[to].member.is_some() {
                self.step(to, Input::Reachable { seat: seat.clone() });
            }
        }
        self.at(self.now + ms(1000), n, What::Hello);
    }

    pub(super) fn cut_off(&mut self, n: usize, way: Option<bool>, on: bool) {
        for other in (0..self.nodes.len()).filter(|o| *o != n) {
            for pair in [(n, other), (other, n)] {
                let out = pair.0 == n;
                if way.is_none_or(|w| w == out) {
                    let count = self.cut.entry(pair).or_insert(0);
                    *count = if on { *count + 1 } else { count.saturating_sub(1) };
                    if *count == 0 {
                        self.cut.remove(&pair);
                    }
                }
            }
        }
    }
}
