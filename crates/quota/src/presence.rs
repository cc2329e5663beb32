//! The proxies that are present, and which members each of them can't reach.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Silence after which a proxy no longer counts as present.
const PROXY_EXPIRY: Duration = Duration::from_millis(1100);

#[derive(Debug)]
struct PresentProxy {
    last_contact_at: Duration,
    /// Ids of the members that it can't reach.
    unreachable: BTreeSet<u64>,
    /// Start of the time for which its share of the rate is credited: it has used no quota between then and its first
    /// announcement.
    credited_since: Duration,
}

/// Effect of an announcement on the known proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PresenceChange {
    /// Only the time of the last contact has changed.
    Unchanged,
    /// The set of members that the proxy can't reach has changed.
    ReachabilityChanged,
    /// The proxy was not present before.
    Added,
}

/// The proxies that this member has recently received datagrams from.
#[derive(Debug, Default)]
pub(crate) struct Presence {
    proxies: HashMap<u64, PresentProxy>,
}

impl Presence {
    /// Records a proxy's announcement of the members that it can't reach. `credited_since` is used only for a proxy
    /// that was not present.
    pub(crate) fn announce(
        &mut self,
        now: Duration,
        proxy: u64,
        unreachable: BTreeSet<u64>,
        credited_since: Duration,
    ) -> PresenceChange {
        if let Some(known) = self.proxies.get_mut(&proxy) {
            known.last_contact_at = now;
            if known.unreachable == unreachable {
                return PresenceChange::Unchanged;
            }
            known.unreachable = unreachable;
            return PresenceChange::ReachabilityChanged;
        }
        let present = PresentProxy {
            last_contact_at: now,
            unreachable,
            credited_since,
        };
        self.proxies.insert(proxy, present);
        PresenceChange::Added
    }

    /// Records a datagram of a proxy other than an announcement. Returns whether the proxy was not present before.
    pub(crate) fn record_contact(&mut self, now: Duration, proxy: u64) -> bool {
        if let Some(known) = self.proxies.get_mut(&proxy) {
            known.last_contact_at = now;
            return false;
        }
        self.announce(now, proxy, BTreeSet::new(), now) == PresenceChange::Added
    }

    /// Iterates over the present proxies: the members that each can't reach, and the start of its credited time.
    pub(crate) fn credited_proxies(&self) -> impl Iterator<Item = (&BTreeSet<u64>, Duration)> {
        let proxies = self.proxies.values();
        proxies.map(|proxy| (&proxy.unreachable, proxy.credited_since))
    }

    /// Returns the start of a proxy's credited time; `None` if it is not present.
    pub(crate) fn credited_since(&self, proxy: u64) -> Option<Duration> {
        self.proxies.get(&proxy).map(|proxy| proxy.credited_since)
    }

    /// Removes the proxies that have been silent for too long. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let before = self.proxies.len();
        self.proxies
            .retain(|_, proxy| now.saturating_sub(proxy.last_contact_at) <= PROXY_EXPIRY);
        self.proxies.len() != before
    }

    /// Returns whether a proxy is present.
    pub(crate) fn contains(&self, proxy: u64) -> bool {
        self.proxies.contains_key(&proxy)
    }

    /// Returns the number of proxies that are present.
    pub(crate) fn count(&self) -> usize {
        self.proxies.len()
    }

    /// Returns the number of proxies by the set of members that they can't reach. There are few such sets, however many
    /// proxies there are.
    pub(crate) fn counts_by_unreachable(&self) -> BTreeMap<&BTreeSet<u64>, usize> {
        let mut groups = BTreeMap::new();
        for proxy in self.proxies.values() {
            *groups.entry(&proxy.unreachable).or_default() += 1;
        }
        groups
    }
}
