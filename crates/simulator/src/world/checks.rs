//! The checkers: what members show, and what has to hold in the end.

use super::World;
use crate::plan::{ms, Report};
use configuration::Document;
use control_plane::member::Member;
use protocol::MemberInfo;
use std::time::Duration;

impl World<'_> {
    /// A primary shows the newest acknowledged ledger.
    pub(super) fn shown(&mut self, n: usize, seq: u64, document: &Document, drains: &[String]) {
        let version = document.version;
        let same = *self.published.entry(seq).or_insert(version);
        if same != version {
            self.breach(n, format!("change {seq} is {same} and {version}"));
        }
        if version < self.operator.newest {
            self.breach(n, format!("{version} shown after {} was acknowledged", self.operator.newest));
        }
        if let Some(lost) = self.operator.drained.iter().find(|d| !drains.contains(d)) {
            let lost = lost.clone();
            self.breach(n, format!("drain of {lost} lost"));
        }
    }

    /// A member shows what it knew to be acknowledged when it ended.
    pub(super) fn restored(&mut self, n: usize, seq: u64, document: &Document) {
        // Perhaps not the newest, perhaps agreed on and not shown yet, but never what is taken back: whatever is
        // shown under this number, before or after, has to be the same.
        let version = document.version;
        let same = *self.published.entry(seq).or_insert(version);
        if same != version {
            self.breach(n, format!("change {seq} is {same}, and {version} after a start"));
        }
    }

    pub(super) fn breach(&mut self, n: usize, what: String) {
        self.report.breaches.push(format!("{:?} node {n}: {what}", self.now));
    }

    /// In the end what was acknowledged has to be there, and a primary with it.
    pub(super) fn finish(mut self, end: Duration) -> Report {
        let acting: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.as_ref().is_some_and(Member::acts))
            .collect();
        // A view may just be changing.
        let long = self.gap_from.is_some_and(|from| end > from + ms(2000));
        if acting.is_empty() && long && !self.plan.safety_only && self.report.breaches.is_empty() {
            let ids = |seats: &[MemberInfo]| seats.iter().map(|s| s.id).collect::<Vec<_>>();
            let views: Vec<_> = self
                .nodes
                .iter()
                .map(|n| {
                    let member = n.member.as_ref()?;
                    let view = member.view();
                    let view = view.map(|v| (v.epoch, v.replicas.clone(), ids(&v.voters), ids(&v.before)));
                    Some((n.seat.id, member.promised(), view))
                })
                .collect();
            self.report.breaches.push(format!("{end:?}: nobody acts: {views:?}"));
        }
        let stuck = self
            .operator
            .calls
            .values()
            .find(|c| c.made > self.calm_since + ms(3000) && end > c.made + ms(4000));
        if let Some(stuck) = stuck.cloned().filter(|_| !self.plan.safety_only) {
            self.report.breaches.push(format!("no answer since {:?} to {:?}", stuck.made, stuck.version));
        }
        if self.operator.slowest > ms(4000) && !self.plan.safety_only {
            self.report.breaches.push(format!("a call in calm times took {:?}", self.operator.slowest));
        }
        self.report.acknowledged = self.operator.acknowledged;
        self.report.slowest = self.operator.slowest;
        self.report
    }
}
