//! A member that is asked to end: it tells the others, serves on until what it holds is held by others, and only
//! then says that the process may end.
//!
//! A replica waits until the ledger is on the disks of a view's replicas without it; a primary yields its lease
//! once enough others answer, and waits for the same. Where all others leave too there is nobody to wait for.

use super::view::choose_replicas;
use super::{Member, Output, Role};
use protocol::{MemberInfo, MembershipConfig, Message};
use std::collections::BTreeSet;
use std::time::Duration;

/// A primary that can't hand over keeps its lease for so many leases; then whoever is left may take over.
const MAX_HAND_OVER_LEASES: u32 = 3;
/// A member that said it leaves and isn't heard to be back counts as leaving for so many leases.
const LEAVING_COUNTED_LEASES: u32 = 3;
/// A member that said it leaves isn't made a voter for so many leases after it last said so: longer than one that has
/// ended counts as heard of.
const NO_RETURN_LEASES: u32 = 5;
/// A share of a lease: how often a member that leaves says so again, for as long as it runs.
const SAY_AGAIN_INTERVAL: f64 = 0.5;
/// A share of a lease: how lately a voter has to have granted one to count on it.
const RECENT_GRANT: f64 = 0.5;

/// The process is to end.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    since: Duration,
    /// When it is next said to all others.
    say_at: Duration,
    /// A later view in which this member has no part is on the disks of all its replicas.
    succeeded: bool,
    /// It was said that the process may end.
    over: bool,
}

impl Member {
    pub(super) fn on_leave(&mut self, out: &mut Vec<Output>) {
        if self.departure.is_some() {
            return;
        }
        let (since, say_at) = (self.now, self.now);
        self.departure = Some(Departure {
            since,
            say_at,
            succeeded: false,
            over: false,
        });
        self.say_leaving(out);
    }

    /// Tells all others again and again, with a say or without: any of them may be the next to choose voters, and what
    /// else is heard of this member until its end doesn't tell that it leaves.
    fn say_leaving(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(departure) = self.departure.as_mut().filter(|d| now >= d.say_at) else {
            return;
        };
        departure.say_at = now + self.config.lease_duration.mul_f64(SAY_AGAIN_INTERVAL);
        let epoch = self.view.as_ref().map_or(0, |v| v.epoch);
        let others: BTreeSet<u64> = self
            .other_voters()
            .into_iter()
            .chain(self.peers.keys().copied())
            .collect();
        for id in others {
            self.send(id, Message::Leaving { epoch }, out);
        }
    }

    pub(super) fn on_peer_leaving(&mut self, id: u64) {
        let now = self.now;
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.leaving = Some(now);
        }
    }

    /// Whether a member has said lately that it is about to end.
    pub(super) fn peer_leaving(&self, id: u64) -> bool {
        let said = self.peers.get(&id).and_then(|p| p.leaving);
        said.is_some_and(|at| self.now < at + LEAVING_COUNTED_LEASES * self.config.lease_duration)
    }

    /// Whether a member has said that it is about to end, so lately that what was heard of it since may be its last. Who
    /// is back in another life says nothing of the kind, and joins once this time is over.
    pub(super) fn left_lately(&self, id: u64) -> bool {
        let said = self.peers.get(&id).and_then(|p| p.leaving);
        said.is_some_and(|at| self.now < at + NO_RETURN_LEASES * self.config.lease_duration)
    }

    /// Whether a member's disk takes writes, as far as known.
    pub(super) fn peer_fit(&self, id: u64) -> bool {
        self.peers.get(&id).is_none_or(|p| p.fit)
    }

    /// Views reach those who aren't replicas only once all replicas have them on disk.
    pub(super) fn note_succession(&mut self, view: &MembershipConfig) {
        let newer = self.view.as_ref().is_none_or(|v| view.epoch > v.epoch);
        let without = view.voter(self.me()).is_none() && !view.replicas.contains(&self.me());
        if let Some(departure) = &mut self.departure {
            departure.succeeded |= newer && without && view.is_stable();
        }
    }

    /// Those who leave and have no say in a view, but wait for it to be there.
    pub(super) fn leaving_without_say(&self, view: &MembershipConfig) -> Vec<u64> {
        let without = |id: &u64| {
            view.voter(*id).is_none() && !view.previous_voters.iter().any(|s| s.id == *id)
        };
        self.peers
            .keys()
            .copied()
            .filter(|id| self.peer_leaving(*id))
            .filter(without)
            .collect()
    }

    /// Yields once others can go on, and ends once nothing rests on this member.
    pub(super) fn run_departure(&mut self, out: &mut Vec<Output>) {
        self.say_leaving(out);
        let Some(departure) = self.departure.as_ref().filter(|d| !d.over) else {
            return;
        };
        let waited =
            self.now >= departure.since + MAX_HAND_OVER_LEASES * self.config.lease_duration;
        let deserted = self.other_voters().iter().all(|id| self.peer_leaving(*id));
        if matches!(self.role, Role::Primary(_)) && (waited || deserted || self.others_can_go_on())
        {
            self.release_lease(out);
        }
        let idle = matches!(self.role, Role::Follower);
        if idle && (deserted || self.succeeded()) {
            if let Some(departure) = &mut self.departure {
                departure.over = true;
            }
            out.push(Output::DepartureComplete);
        }
    }

    /// Whether neither the ledger nor a majority rests on this member any more.
    fn succeeded(&self) -> bool {
        let free = |v: &MembershipConfig| {
            v.is_stable() && !v.replicas.contains(&self.me()) && !self.gives_up_vote(v)
        };
        self.view.as_ref().is_none_or(free) || self.departure.as_ref().is_some_and(|d| d.succeeded)
    }

    /// Whether this member is a voter that the primary is about to drop, or to replace by one that joins. Until it has
    /// done so the next loss would leave too few if this member ended.
    fn gives_up_vote(&self, view: &MembershipConfig) -> bool {
        let others_join = self
            .peers
            .values()
            .any(|p| view.voter(p.seat.id).is_none() && self.may_join(p));
        view.voter(self.me()).is_some() && (others_join || self.can_spare_a_voter(view))
    }

    /// Whether those who answered lately and stay are a majority, with enough replicas among them.
    fn others_can_go_on(&self) -> bool {
        let (Role::Primary(state), Some(view)) = (&self.role, &self.view) else {
            return false;
        };
        let recent = self.config.lease_duration.mul_f64(RECENT_GRANT);
        let granted = |id: u64| {
            state
                .stamps
                .get(&id)
                .is_some_and(|at| self.now < *at + recent)
        };
        let stays = |id: u64| granted(id) && self.peer_fit(id) && !self.peer_leaving(id);
        let seats: Vec<&MemberInfo> = view.voters.iter().filter(|s| stays(s.id)).collect();
        view.has_quorum(stays) && choose_replicas(&self.config.fault_budget, &seats).is_some()
    }

    fn other_voters(&self) -> BTreeSet<u64> {
        let voters = self
            .view
            .iter()
            .flat_map(|v| v.voters.iter().chain(&v.previous_voters));
        voters.map(|s| s.id).filter(|id| *id != self.me()).collect()
    }

    pub(super) fn departure_wake(&self) -> Option<Duration> {
        let departure = self.departure.as_ref()?;
        let end = departure.since + MAX_HAND_OVER_LEASES * self.config.lease_duration;
        let hands_over = !departure.over && end > self.now;
        Some(if hands_over {
            end.min(departure.say_at)
        } else {
            departure.say_at
        })
    }
}
