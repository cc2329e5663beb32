//! The simulated network: messages, their delays, members that are cut off.

use super::readers::AGENTS;
use super::{What, World};
use crate::faults::Moment;
use crate::plan::ms;
use control_plane::member::Input;
use protocol::{MemberInfo, Message};
use std::time::Duration;

/// Zones that machines are spread over.
pub(super) const ZONES: usize = 3;
/// Machines that there are at most.
const MOST_MACHINES: usize = 30;

/// A message without what is long.
fn brief(message: &Message) -> String {
    let ids = |seats: &[MemberInfo]| seats.iter().map(|s| s.id).collect::<Vec<_>>();
    let told = |view: &protocol::MembershipConfig| {
        format!(
            "{} of {}, {:?} {:?} {:?}",
            view.epoch,
            view.primary,
            view.replicas,
            ids(&view.voters),
            ids(&view.previous_voters)
        )
    };
    match message {
        Message::InstallMembership {
            membership,
            snapshot,
        } => {
            format!(
                "install {} ledger {:?}",
                told(membership),
                snapshot.as_ref().map(|s| s.index)
            )
        }
        Message::Promise {
            epoch,
            granted,
            membership,
            log_position,
            retry_after_ms,
            ..
        } => {
            format!(
                "promise {epoch} {granted} {:?} {log_position:?} wait {retry_after_ms}",
                membership.as_ref().map(told)
            )
        }
        Message::SnapshotReply {
            epoch,
            log_position,
            ..
        } => format!("ledger {epoch} {log_position:?}"),
        Message::Prepare { epoch, .. } => format!("prepare {epoch}"),
        other => format!("{other:?}"),
    }
}

impl World<'_> {
    /// Sends a message; it may be late, and comes to nothing where the way is cut.
    pub(super) fn send(&mut self, n: usize, to: &MemberInfo, message: Message) {
        let life = self.nodes[n].life;
        let Some(to) = self.nodes.iter().position(|m| m.seat.addr == to.addr) else {
            return;
        };
        let Some(message) = self.planted_send(n, to, message) else {
            return;
        };
        let lost = self.pick(200) == 0;
        let mut delay =
            Duration::from_micros(400 + self.pick(1200)) + ms(if lost { 200 } else { 0 });
        let cut = self.cut.contains_key(&(n, to));
        if self.plan.strict {
            self.note_sent(n, to, &message);
            if !matches!(
                message,
                Message::RenewLease { .. }
                    | Message::LeaseReply { .. }
                    | Message::AppendChange { .. }
                    | Message::AppendReply { .. }
                    | Message::ForwardCommand { .. }
                    | Message::CommandResult { .. }
            ) {
                self.note(|_| format!("{n} to {to}: {}", brief(&message)));
            }
            // What was sent into a short cut may come when it is over; a command may come twice.
            let late = cut && self.pick(4) == 0;
            let twice = matches!(message, Message::ForwardCommand { .. }) && self.pick(8) == 0;
            if late || twice {
                let later = self.now + delay + ms(self.pick(3000));
                self.at(
                    later,
                    to,
                    What::Late {
                        from: n,
                        life,
                        message: Box::new(message.clone()),
                    },
                );
            }
            // A connection keeps the order.
            let last = self.link_busy.entry((n, to)).or_insert(self.now);
            *last = (self.now + delay).max(*last + Duration::from_nanos(1));
            delay = *last - self.now;
        }
        if !cut {
            self.at(
                self.now + delay,
                to,
                What::Deliver {
                    from: n,
                    life,
                    message: Box::new(message),
                },
            );
        }
    }

    /// What is sent tells of moments.
    fn note_sent(&mut self, n: usize, to: usize, message: &Message) {
        match message {
            Message::InstallMembership {
                membership,
                snapshot: Some(_),
            } if membership.primary == self.nodes[n].seat.id => {
                self.moment(Moment::Composed, n);
                if !membership.is_stable() {
                    let is_new = |m: &&super::Node| {
                        !membership.previous_voters.iter().any(|s| s.id == m.seat.id)
                    };
                    let new = self
                        .nodes
                        .iter()
                        .filter(|m| membership.voter(m.seat.id).is_some())
                        .find(is_new);
                    let new =
                        new.and_then(|m| self.nodes.iter().position(|o| o.seat.id == m.seat.id));
                    self.moment(Moment::Unsettled, new.unwrap_or(n));
                }
            }
            Message::FetchSnapshot { .. } => self.moment(Moment::Fetching, to),
            Message::Promise { granted: true, .. } => self.moment(Moment::Promised, n),
            _ => {}
        }
    }

    /// A message that comes late comes only if its sender is still there.
    pub(super) fn deliver_late(&mut self, from: usize, life: u32, message: Message, to: usize) {
        if self.nodes[from].member.is_some() {
            self.deliver(from, life, message, to);
        }
    }

    pub(super) fn deliver(&mut self, from: usize, life: u32, message: Message, to: usize) {
        let seat = self.nodes[from].seat.clone();
        if self.nodes[from].life == life && !self.cut.contains_key(&(from, to)) {
            if matches!(
                message,
                Message::InstallMembership {
                    snapshot: Some(_),
                    ..
                }
            ) {
                self.moment(Moment::Installing, to);
            }
            self.step(
                to,
                Input::Message {
                    from: seat,
                    message,
                },
            );
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
                self.step(
                    to,
                    Input::PeerReachable {
                        member: seat.clone(),
                    },
                );
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
                    *count = if on {
                        *count + 1
                    } else {
                        count.saturating_sub(1)
                    };
                    if *count == 0 {
                        self.cut.remove(&pair);
                    }
                }
            }
        }
    }

    /// Cuts single ways, or joins them again.
    pub(super) fn cut_ways(&mut self, ways: &[(usize, usize)], on: bool) {
        for way in ways {
            let count = self.cut.entry(*way).or_insert(0);
            *count = if on {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
            if *count == 0 {
                self.cut.remove(way);
            }
        }
    }

    /// The zone, or the region where regions are counted, of a machine.
    pub(super) fn zone_of(&self, machine: usize) -> usize {
        if self.plan.seeds_share_a_zone {
            machine / 2 % ZONES
        } else {
            machine % ZONES
        }
    }

    /// Members in a zone that haven't gone.
    pub(super) fn zone(&self, zone: usize) -> Vec<usize> {
        let inside = |n: &usize| self.zone_of(*n) == zone % ZONES;
        (0..self.nodes.len())
            .filter(|n| inside(n) && !self.nodes[*n].gone)
            .collect()
    }

    pub(super) fn cut_zone(&mut self, zone: usize, way: Option<bool>, on: bool) {
        let inside = |n: usize| self.zone_of(n) == zone % ZONES;
        // Machines that are yet to come have numbers, too.
        let agents = AGENTS..AGENTS + self.plan.agents;
        let all: Vec<usize> = (0..MOST_MACHINES).chain(agents).collect();
        let mut ways = Vec::new();
        for a in all.iter().copied().filter(|n| inside(*n)) {
            for b in all.iter().copied().filter(|n| !inside(*n)) {
                ways.extend(way.is_none_or(|out| out).then_some((a, b)));
                ways.extend(way.is_none_or(|out| !out).then_some((b, a)));
            }
        }
        self.cut_ways(&ways, on);
    }
}
