//! The proxy's view of the members: which one is each tenant's home among those that the proxy can reach.

use crate::placement::{home, ranking};
use std::collections::{BTreeMap, BTreeSet};

/// Number of consecutive announcements without a reply after which a member counts as unreachable.
const MAX_MISSED_REPLIES: u32 = 2;

/// The control plane's members and their reachability from this proxy.
#[derive(Debug, Default)]
pub struct HomeDirectory {
    members: Vec<u64>,
    unreachable: BTreeSet<u64>,
    /// By member: consecutive announcements without a reply.
    missed_replies: BTreeMap<u64, u32>,
    /// By tenant: the members in order of preference as its home.
    rankings: BTreeMap<String, Vec<u64>>,
}

impl HomeDirectory {
    /// Replaces the list of member ids. Members that are no longer listed lose their reachability state.
    pub fn set_members(&mut self, members: Vec<u64>) {
        if self.members == members {
            return;
        }
        self.unreachable.retain(|id| members.contains(id));
        self.missed_replies.retain(|id, _| members.contains(id));
        self.members = members;
        self.rankings.clear();
    }

    /// Removes all tenants except those named.
    pub fn retain_tenants(&mut self, names: &BTreeSet<&str>) {
        self.rankings
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// Returns the tenant's home; `None` if no member is reachable.
    pub fn home(&mut self, tenant: &str) -> Option<u64> {
        if !self.rankings.contains_key(tenant) {
            let ranking = ranking(tenant, &self.members);
            self.rankings.insert(tenant.to_owned(), ranking);
        }
        home(self.rankings.get(tenant)?, &self.unreachable)
    }

    /// Returns the ids of the members that this proxy can't reach, in ascending order.
    pub fn unreachable(&self) -> Vec<u64> {
        self.unreachable.iter().copied().collect()
    }

    /// Marks a member that didn't answer in time as unreachable. Returns whether it counted as reachable before.
    pub fn on_timeout(&mut self, member: u64) -> bool {
        self.members.contains(&member) && self.unreachable.insert(member)
    }

    /// Marks a member that replied to an announcement as reachable. Returns whether it counted as unreachable before.
    pub fn on_reply(&mut self, member: u64) -> bool {
        self.missed_replies.remove(&member);
        self.unreachable.remove(&member)
    }

    /// Begins a round of announcements and returns the members to announce this proxy to. Called at regular intervals
    /// and when a member didn't answer a request.
    ///
    /// Members that left too many announcements unanswered count as unreachable from now on. They are still announced
    /// to, as their reply shows that they are reachable again.
    pub fn begin_announcement_round(&mut self) -> Vec<u64> {
        for member in &self.members {
            let missed = self.missed_replies.entry(*member).or_default();
            if *missed >= MAX_MISSED_REPLIES {
                self.unreachable.insert(*member);
            }
            *missed += 1;
        }
        self.members.clone()
    }
}
