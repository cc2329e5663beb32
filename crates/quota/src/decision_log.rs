//! Recent decisions, by which a retransmitted request gets its original decision and is charged once.

use crate::token_bucket::Decision;
use std::collections::{HashMap, VecDeque};

/// Number of decisions kept for each proxy. Proxies retransmit a request within tens of milliseconds or not at all.
const KEPT_PER_PROXY: usize = 64;

/// Identifier of a quota request, unique over all proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Id of the proxy process; a restarted process has a new one.
    pub proxy: u64,
    /// Sequence number of the request, increasing within one proxy process.
    pub sequence: u64,
}

/// The most recent decisions for each proxy.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    by_proxy: HashMap<u64, VecDeque<(u64, Decision)>>,
}

impl DecisionLog {
    /// Returns the decision on a request that was received before.
    pub(crate) fn find(&self, id: RequestId) -> Option<Decision> {
        let decisions = self.by_proxy.get(&id.proxy)?;
        let known = decisions.iter().rev();
        let mut same = known.filter(|(sequence, _)| *sequence == id.sequence);
        same.next().map(|(_, decision)| *decision)
    }

    /// Records a decision and drops the proxy's oldest one when its log is full.
    pub(crate) fn record(&mut self, id: RequestId, decision: Decision) {
        let decisions = self.by_proxy.entry(id.proxy).or_default();
        if decisions.len() == KEPT_PER_PROXY {
            decisions.pop_front();
        }
        decisions.push_back((id.sequence, decision));
    }

    /// Drops the decisions for proxies that are no longer present.
    pub(crate) fn retain(&mut self, is_present: impl Fn(u64) -> bool) {
        self.by_proxy.retain(|proxy, _| is_present(*proxy));
    }
}
