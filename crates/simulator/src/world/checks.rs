//! The checkers: what members show, and what has to hold in the end.

use super::{What, World};
use crate::plan::{ms, Report};
use configuration::Configuration;
use control_plane::member::Member;
use protocol::MemberInfo;
use std::time::Duration;

/// Longest time without anybody who acts, counted from the latest fault that struck or healed.
const GAP_BOUND: Duration = Duration::from_millis(4000);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(500);

impl World<'_> {
    /// A primary shows the newest acknowledged ledger.
    pub(super) fn shown(
        &mut self,
        n: usize,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) {
        if self.plan.orders.is_some() {
            return self.order_shown(n, index, document, drains);
        }
        let version = document.version;
        let same = *self.published.entry(index).or_insert(version);
        if same != version {
            self.breach(n, format!("change {index} is {same} and {version}"));
        }
        if version < self.operator.newest {
            self.breach(
                n,
                format!(
                    "{version} shown after {} was acknowledged",
                    self.operator.newest
                ),
            );
        }
        if let Err(breach) = self.operator.in_force(version) {
            self.breach(n, breach);
        }
        if let Some(lost) = self.operator.drained.iter().find(|d| !drains.contains(d)) {
            let lost = lost.clone();
            self.breach(n, format!("drain of {lost} lost"));
        }
    }

    /// A member shows what it knew to be acknowledged when it ended.
    pub(super) fn restored(
        &mut self,
        n: usize,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) {
        if self.plan.orders.is_some() {
            if let Err(breach) = self.order_same(index, document, drains) {
                self.breach(n, format!("{breach}, after a start"));
            }
            return self.keep_shown(n, document);
        }
        // Perhaps not the newest, perhaps agreed on and not shown yet, but never what is taken back: whatever is
        // shown under this number, before or after, has to be the same.
        let version = document.version;
        let same = *self.published.entry(index).or_insert(version);
        if same != version {
            self.breach(
                n,
                format!("change {index} is {same}, and {version} after a start"),
            );
        }
    }

    pub(super) fn breach(&mut self, n: usize, what: String) {
        self.report
            .breaches
            .push(format!("{:?} node {n}: {what}", self.now));
    }

    /// No two members act at once, whoever stands still: one that acts answers reads by what it holds alone.
    pub(super) fn check_one_acts(&mut self, n: usize) {
        let acts = |n: usize| {
            let member = self.nodes[n].member.as_ref();
            member.is_some_and(|member| member.is_acting_primary_at(self.clock(n)))
        };
        if !acts(n) {
            return;
        }
        if let Some(other) = (0..self.nodes.len()).find(|other| *other != n && acts(*other)) {
            let views = self.views();
            self.breach(n, format!("acts while {other} acts: {views}"));
        }
    }

    /// What has to hold a while after each fault, whether it has healed or not.
    pub(super) fn look(&mut self) {
        let quiet = self.now.saturating_sub(self.calm_since);
        let gap = self
            .gap_from
            .map_or(ms(0), |from| self.now.saturating_sub(from))
            .min(quiet);
        if gap > GAP_BOUND && !self.plan.safety_only {
            let views = self.views();
            self.breach(0, format!("nobody has acted for {gap:?}: {views}"));
        }
        if let Some(stuck) = self.stuck_order() {
            self.breach(0, stuck);
        }
        self.check_readers();
        self.at(self.now + LOOK, 0, What::Check);
    }

    /// What each member has as its view, to be printed.
    fn views(&self) -> String {
        let ids = |seats: &[MemberInfo]| seats.iter().map(|s| s.id).collect::<Vec<_>>();
        let of = |n: &super::Node| {
            let member = n.member.as_ref()?;
            let view = member.membership();
            let view = view.map(|v| {
                (
                    v.epoch,
                    v.replicas.clone(),
                    ids(&v.voters),
                    ids(&v.previous_voters),
                )
            });
            Some((n.seat.id, member.promised_epoch(), view))
        };
        format!("{:?}", self.nodes.iter().map(of).collect::<Vec<_>>())
    }

    /// In the end what was acknowledged has to be there, and a primary with it.
    pub(super) fn finish(mut self, end: Duration) -> Report {
        let acting: Vec<usize> = (0..self.nodes.len())
            .filter(|n| {
                self.nodes[*n]
                    .member
                    .as_ref()
                    .is_some_and(Member::is_acting_primary)
            })
            .collect();
        // A view may just be changing.
        let long = self.gap_from.is_some_and(|from| end > from + ms(2000));
        if acting.is_empty() && long && !self.plan.safety_only && self.report.breaches.is_empty() {
            let views = self.views();
            self.report
                .breaches
                .push(format!("{end:?}: nobody acts: {views}"));
        }
        let stuck =
            self.operator.calls.values().find(|c| {
                !c.guess && c.made > self.calm_since + ms(3000) && end > c.made + ms(4000)
            });
        if let Some(stuck) = stuck.cloned().filter(|_| !self.plan.safety_only) {
            self.report.breaches.push(format!(
                "no answer since {:?} to {:?}",
                stuck.made, stuck.version
            ));
        }
        if self.operator.slowest > ms(4000) && !self.plan.safety_only {
            self.report.breaches.push(format!(
                "a call in calm times took {:?}",
                self.operator.slowest
            ));
        }
        if self.plan.orders.is_some() {
            if let Some(lost) = self.orders.left_out() {
                self.report.breaches.push(lost);
            }
            return self.report;
        }
        self.report.acknowledged = self.operator.acknowledged;
        self.report.slowest = self.operator.slowest;
        self.report
    }
}
