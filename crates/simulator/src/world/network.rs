//! The simulated network: messages, their delays, partitions.

use super::event::EventKind;
use super::state::World;
use super::subscriber::FIRST_AGENT_MACHINE;
use crate::faults::{CutDirection, FaultTrigger};
use crate::plan::ms;
use control_plane::member::Input;
use protocol::{MemberInfo, MembershipConfig, Message};
use std::time::Duration;

/// Zones that machines are spread over.
pub(super) const ZONES: usize = 3;
/// Machines of members that there are at most.
const MAX_MACHINES: usize = 30;
/// Shortest delay of a message.
const MIN_DELAY: Duration = Duration::from_micros(400);
/// Random delay on top of that, in microseconds.
const DELAY_SPREAD_US: u64 = 1200;
/// One message of this many is lost and sent again by its connection.
const RETRANSMITTED_ONE_IN: u64 = 200;
/// How much later such a message arrives.
const RETRANSMISSION_DELAY: Duration = ms(200);
/// Of the messages sent into a cut, one of this many arrives later.
const LATE_ONE_IN: u64 = 4;
/// Of the forwarded commands, one of this many arrives twice.
const DUPLICATED_ONE_IN: u64 = 8;
/// How much later such messages arrive at most, in milliseconds.
const MAX_LATENESS_MS: u64 = 3000;
/// Members show each other that they are reachable this often.
const REACHABILITY_INTERVAL: Duration = ms(1000);

/// A membership configuration in short, for people.
pub(super) fn summarize_membership(membership: &MembershipConfig) -> String {
    let ids = |members: &[MemberInfo]| members.iter().map(|m| m.id).collect::<Vec<_>>();
    format!(
        "epoch {}, primary {}, replicas {:?}, voters {:?}, before {:?}",
        membership.epoch,
        membership.primary,
        membership.replicas,
        ids(&membership.voters),
        ids(&membership.previous_voters)
    )
}

/// A message without its long parts.
fn summarize(message: &Message) -> String {
    match message {
        Message::InstallMembership {
            membership,
            snapshot,
        } => {
            let index = snapshot.as_ref().map(|s| s.index);
            format!(
                "install {}, snapshot {index:?}",
                summarize_membership(membership)
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
            let membership = membership.as_ref().map(summarize_membership);
            format!(
                "promise {epoch} {granted} {membership:?} {log_position:?} wait {retry_after_ms}"
            )
        }
        Message::SnapshotReply {
            epoch,
            log_position,
            ..
        } => format!("snapshot {epoch} {log_position:?}"),
        Message::Prepare { epoch, .. } => format!("prepare {epoch}"),
        other => format!("{other:?}"),
    }
}

/// Whether a message is too frequent for the trace.
fn is_frequent(message: &Message) -> bool {
    matches!(
        message,
        Message::RenewLease { .. }
            | Message::RenewLeaseWithFleetIndex { .. }
            | Message::LeaseReply { .. }
            | Message::AppendChange { .. }
            | Message::AppendReply { .. }
            | Message::ForwardCommand { .. }
            | Message::CommandResult { .. }
    )
}

impl World<'_> {
    /// Sends a message. It may be late, and is lost if its link is cut.
    pub(super) fn send(&mut self, n: usize, to: &MemberInfo, message: Message) {
        let incarnation = self.nodes[n].incarnation;
        let Some(to) = self.nodes.iter().position(|m| m.info.addr == to.addr) else {
            return;
        };
        let Some(message) = self.rewrite_sent_message(n, to, message) else {
            return;
        };
        let is_retransmitted = self.random_below(RETRANSMITTED_ONE_IN) == 0;
        let spread = Duration::from_micros(self.random_below(DELAY_SPREAD_US));
        let mut delay = MIN_DELAY + spread;
        if is_retransmitted {
            delay += RETRANSMISSION_DELAY;
        }
        let is_cut = self.cut.contains_key(&(n, to));
        if self.plan.strict {
            self.fire_message_triggers(n, to, &message);
            if !is_frequent(&message) {
                self.trace(|_| format!("{n} to {to}: {}", summarize(&message)));
            }
            self.deliver_again_late(n, to, &message, delay, is_cut);
            delay = self.delay_in_order(n, to, delay);
        }
        if !is_cut {
            let event = EventKind::Deliver {
                from: n,
                incarnation,
                message: Box::new(message),
            };
            self.schedule(self.now + delay, to, event);
        }
    }

    /// What was sent into a cut may arrive when it is over; a forwarded command may arrive twice.
    fn deliver_again_late(
        &mut self,
        n: usize,
        to: usize,
        message: &Message,
        delay: Duration,
        is_cut: bool,
    ) {
        let is_late = is_cut && self.random_below(LATE_ONE_IN) == 0;
        let is_command = matches!(message, Message::ForwardCommand { .. });
        let is_duplicated = is_command && self.random_below(DUPLICATED_ONE_IN) == 0;
        if !is_late && !is_duplicated {
            return;
        }
        let at = self.now + delay + ms(self.random_below(MAX_LATENESS_MS));
        let event = EventKind::DeliverLate {
            from: n,
            incarnation: self.nodes[n].incarnation,
            message: Box::new(message.clone()),
        };
        self.schedule(at, to, event);
    }

    /// The delay of a message after which it doesn't overtake earlier ones: a connection keeps the order.
    fn delay_in_order(&mut self, n: usize, to: usize, delay: Duration) -> Duration {
        let last = self.link_busy_until.entry((n, to)).or_insert(self.now);
        *last = (self.now + delay).max(*last + Duration::from_nanos(1));
        *last - self.now
    }

    /// Fires the triggers that a sent message stands for.
    fn fire_message_triggers(&mut self, n: usize, to: usize, message: &Message) {
        match message {
            Message::InstallMembership {
                membership,
                snapshot: Some(_),
            } if membership.primary == self.nodes[n].info.id => {
                self.fire_trigger(FaultTrigger::MembershipComposed, n);
                if !membership.is_stable() {
                    let new_voter = self.new_voter(membership);
                    self.fire_trigger(FaultTrigger::VotersChanging, new_voter.unwrap_or(n));
                }
            }
            Message::FetchSnapshot { .. } => self.fire_trigger(FaultTrigger::FetchingSnapshot, to),
            Message::Promise { granted: true, .. } => self.fire_trigger(FaultTrigger::Promised, n),
            _ => {}
        }
    }

    /// The first machine whose member is a voter and was none before.
    fn new_voter(&self, membership: &MembershipConfig) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let id = node.info.id;
            membership.voter(id).is_some() && !membership.previous_voters.iter().any(|m| m.id == id)
        })
    }

    /// Delivers a late message, if its sender still runs.
    pub(super) fn deliver_late(
        &mut self,
        from: usize,
        incarnation: u32,
        message: Message,
        to: usize,
    ) {
        if self.nodes[from].member.is_some() {
            self.deliver(from, incarnation, message, to);
        }
    }

    /// Delivers a message, if its sender still runs in the same incarnation and the link is not cut.
    pub(super) fn deliver(&mut self, from: usize, incarnation: u32, message: Message, to: usize) {
        let sender = &self.nodes[from];
        if sender.incarnation != incarnation || self.cut.contains_key(&(from, to)) {
            return;
        }
        let from = sender.info.clone();
        if let Message::InstallMembership {
            snapshot: Some(_), ..
        } = &message
        {
            self.fire_trigger(FaultTrigger::Installing, to);
        }
        self.step(to, Input::Message { from, message });
    }

    /// A member shows the others that it is reachable, as its connections do.
    pub(super) fn announce_reachable(&mut self, n: usize) {
        if self.nodes[n].member.is_none() {
            return;
        }
        let seat = self.nodes[n].info.clone();
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
        let next = self.now + REACHABILITY_INTERVAL;
        self.schedule(next, n, EventKind::AnnounceReachable);
    }

    /// Cuts a machine off from all others, or joins it again.
    pub(super) fn cut_machine(&mut self, n: usize, direction: CutDirection, cut: bool) {
        let others = (0..self.nodes.len()).filter(|other| *other != n);
        let links: Vec<(usize, usize)> = others
            .flat_map(|other| [(n, other), (other, n)])
            .filter(|(from, _)| direction.includes(*from == n))
            .collect();
        self.cut_links(&links, cut);
    }

    /// Cuts links (from, to), or joins them again.
    pub(super) fn cut_links(&mut self, links: &[(usize, usize)], cut: bool) {
        for link in links {
            let count = self.cut.entry(*link).or_insert(0);
            *count = if cut {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
            if *count == 0 {
                self.cut.remove(link);
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

    /// Machines of a zone that aren't gone.
    pub(super) fn zone(&self, zone: usize) -> Vec<usize> {
        let inside = |n: &usize| self.zone_of(*n) == zone % ZONES;
        (0..self.nodes.len())
            .filter(|n| inside(n) && !self.nodes[*n].gone)
            .collect()
    }

    /// Cuts the members into two parts, or joins them again. Machines that have yet to join have a part, too.
    pub(super) fn split(&mut self, parts: u32, cut: bool) {
        let part = |n: usize| parts >> n & 1;
        let links: Vec<(usize, usize)> = (0..MAX_MACHINES)
            .flat_map(|a| (0..MAX_MACHINES).map(move |b| (a, b)))
            .filter(|(a, b)| part(*a) != part(*b))
            .collect();
        self.cut_links(&links, cut);
    }

    /// Cuts all machines of a zone off from the others, or joins them again.
    pub(super) fn cut_zone(&mut self, zone: usize, direction: CutDirection, cut: bool) {
        let is_inside = |n: usize| self.zone_of(n) == zone % ZONES;
        // Machines that have yet to join have numbers, too.
        let agents = FIRST_AGENT_MACHINE..FIRST_AGENT_MACHINE + self.plan.agents;
        let machines = (0..MAX_MACHINES).chain(agents);
        let (inside, outside): (Vec<usize>, Vec<usize>) = machines.partition(|n| is_inside(*n));
        let mut links = Vec::new();
        for a in &inside {
            for b in &outside {
                links.extend(direction.includes(true).then_some((*a, *b)));
                links.extend(direction.includes(false).then_some((*b, *a)));
            }
        }
        self.cut_links(&links, cut);
    }
}
