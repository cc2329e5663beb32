//! Zones, regions and several machines that are cut off for twenty seconds, one way or both, beside others that stand
//! still, as far as the budget allows; and clocks that drift meanwhile. In every case the healthy side takes orders
//! within the bound, whoever is cut off neither confirms nor refuses, and no two act at once.

mod support;

use configuration::{FaultBudget, ResultCode};
use control_plane::member::majority_shortfall;
use rstest::rstest;
use support::partition_cluster::{configuration, replace, PartitionCluster, ACK, CUT, READ};
use support::{ms, LEASE};

/// Two machines in each of three zones, of which one may be lost.
const ZONES: ([&str; 6], FaultBudget) = (
    ["r/a", "r/b", "r/c", "r/a", "r/b", "r/c"],
    FaultBudget {
        machine_losses: 0,
        zones: 1,
        region_losses: 0,
    },
);
/// Two zones in each of three regions, of which one may be lost; the seeds stand in two of them.
const REGIONS: ([&str; 6], FaultBudget) = (
    ["x/a", "x/b", "y/c", "y/d", "z/e", "z/f"],
    FaultBudget {
        machine_losses: 0,
        zones: 0,
        region_losses: 1,
    },
);

/// What of a cut comes through.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Neither,
    /// Those cut off hear the others and aren't heard.
    In,
    /// They are heard and hear nothing.
    Out,
}

impl PartitionCluster {
    fn cut_side(&mut self, side: &[usize], way: Way) {
        match way {
            Way::Neither => self.cut_off(side),
            Way::In => self.cut_one_way(side, true),
            Way::Out => self.cut_one_way(side, false),
        }
    }

    /// For so long the members in `healthy` are sent one order after the other, each taken within the bound; meanwhile
    /// those in `lost` grow old. The version in force in the end.
    fn orders_go_on(
        &mut self,
        long: std::time::Duration,
        healthy: &[usize],
        lost: &[usize],
        from: u64,
    ) -> u64 {
        let (begun, mut version) = (self.now, from);
        while self.now < begun + long {
            let (took, code) = self.request_until_definite(healthy, replace(version, version + 2));
            assert!(
                code == ResultCode::Ok && took < ACK,
                "{code:?} after {took:?}"
            );
            version += 2;
            self.run(ms(700));
            let since = (self.now - begun).saturating_sub(LEASE + ms(500));
            for n in lost {
                assert!(
                    self.age(*n).is_none_or(|age| age >= since),
                    "{n}: {:?} {since:?}",
                    self.age(*n)
                );
                assert!(
                    self.now < begun + LEASE || !self.nodes[*n].member.is_acting_primary(),
                    "{n} acts"
                );
            }
        }
        version
    }

    /// Members without contact to a majority neither confirm nor refuse what they are asked. Whether the order on
    /// `version` may be with a primary all the same: where it isn't, they say so.
    fn nothing_is_answered_by(&mut self, lost: &[usize], version: u64) -> bool {
        let mut orders = Vec::new();
        let mut reads = Vec::new();
        for n in lost {
            reads.extend([
                self.call(*n, READ),
                self.call(*n, replace(version - 2, version - 1)),
            ]);
            orders.push(self.call(*n, replace(version, version + 1)));
        }
        self.run(ACK);
        for ticket in reads.iter().chain(&orders) {
            let code = self.answers[ticket].1;
            assert_eq!(code.status(), 503, "{code:?}");
        }
        orders
            .iter()
            .any(|ticket| self.answers[ticket].1 != ResultCode::NoPrimary)
    }

    /// The cut ends: all know what is in force, an order without a clear answer perhaps with it.
    fn all_agree_on(&mut self, version: u64, may_be_followed: bool) -> u64 {
        self.heal();
        self.run(ms(3000));
        let (_, code, body) = self.request(self.primary(), READ);
        let followed = may_be_followed && body == configuration(version + 1);
        let version = if followed { version + 1 } else { version };
        assert_eq!((code, body), (ResultCode::Ok, configuration(version)));
        for n in self.voters() {
            assert!(
                self.age(n).expect("proof") < ms(600),
                "{n}: {:?}",
                self.age(n)
            );
            assert_eq!(self.request(n, READ).2, configuration(version), "at {n}");
        }
        version
    }
}

/// A zone or region with the primary, or another one.
#[rstest]
fn zone_or_region_when_partitioned_then_the_majority_goes_on(
    #[values(ZONES, REGIONS)] (places, budget): ([&str; 6], FaultBudget),
    #[values(Way::Neither, Way::In, Way::Out)] way: Way,
    #[values(true, false)] with_primary: bool,
) {
    let mut core = PartitionCluster::in_places(budget, &places);
    // Whichever goes, a majority is left: two of the seeds may stand in one of them.
    let seats: Vec<_> = core
        .voters()
        .iter()
        .map(|n| core.member_infos[*n].clone())
        .collect();
    assert!(
        majority_shortfall(&budget, &seats.iter().collect::<Vec<_>>()) <= 0,
        "{seats:?}"
    );
    assert_eq!(
        core.request_until_definite(&[0], replace(0, 5)).1,
        ResultCode::Ok
    );
    let primary = core.primary();
    let group = |n: usize| {
        places[n]
            .split('/')
            .nth(usize::from(budget.zones > 0))
            .unwrap()
    };
    let others = || {
        (0..places.len())
            .rev()
            .find(|n| group(*n) != group(primary))
            .unwrap()
    };
    let lost = core.members_in(group(if with_primary { primary } else { others() }));
    assert_eq!(lost.len(), 2, "{lost:?}");
    core.cut_side(&lost, way);
    let healthy = core.others(&lost);
    let version = core.orders_go_on(CUT, &healthy, &lost, 5);
    let unclear = core.nothing_is_answered_by(&lost, version);
    core.all_agree_on(version, unclear);
}

/// One and two of five, heard only or hearing only, the primary among them or not.
#[rstest]
fn five_members_when_partitioned_one_way_then_the_majority_goes_on(
    #[values(1, 2)] many: usize,
    #[values(Way::In, Way::Out)] way: Way,
    #[values(true, false)] with_primary: bool,
) {
    let mut core = PartitionCluster::started(5, 2);
    assert_eq!(
        core.request_until_definite(&[0], replace(0, 5)).1,
        ResultCode::Ok
    );
    let primary = core.primary();
    let rest = core.others(&[primary]);
    let first = with_primary.then_some(primary);
    let lost: Vec<usize> = first.into_iter().chain(rest).take(many).collect();
    core.cut_side(&lost, way);
    let healthy = core.others(&lost);
    let version = core.orders_go_on(CUT, &healthy, &lost, 5);
    let unclear = core.nothing_is_answered_by(&lost, version);
    core.all_agree_on(version, unclear);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Part {
    Primary,
    Replica,
    Witness,
}

impl PartitionCluster {
    /// A member of a part, another one than `than`.
    fn of_part(&self, part: Part, than: Option<usize>) -> Option<usize> {
        let (primary, replicas) = (self.primary(), self.replicas());
        let fits = |n: &usize| match part {
            Part::Primary => *n == primary,
            Part::Replica => *n != primary && replicas.contains(n),
            Part::Witness => !replicas.contains(n),
        };
        (0..self.nodes.len())
            .filter(|n| Some(*n) != than)
            .find(fits)
    }
}

/// One stands still for twenty seconds and wakes while another is cut off, for twenty seconds too, of five members
/// that bear both.
#[rstest]
fn member_when_paused_while_another_is_partitioned_then_one_primary_acts(
    #[values(Part::Primary, Part::Replica, Part::Witness)] sleeps: Part,
    #[values(Part::Primary, Part::Replica, Part::Witness)] cut: Part,
    #[values(0, 400, 10_000)] cut_after_ms: u64,
) {
    let mut core = PartitionCluster::started(5, 2);
    assert_eq!(
        core.request_until_definite(&[0], replace(0, 5)).1,
        ResultCode::Ok
    );
    let sleeper = core.of_part(sleeps, None).unwrap();
    // The part as it was before, or, where a takeover lies between, as it is then.
    let chosen = core.of_part(cut, Some(sleeper));
    let takeover_first = cut_after_ms >= LEASE.as_millis() as u64;
    if chosen.is_none() && !takeover_first {
        assert!(
            sleeps == Part::Primary && cut == Part::Primary,
            "only the primary is the only one of its kind"
        );
        return;
    }
    core.nodes[sleeper].paused = true;
    let mut version = 5;
    if takeover_first {
        let healthy = core.others(&[sleeper]);
        version = core.orders_go_on(ms(cut_after_ms), &healthy, &[], version);
    } else {
        core.run(ms(cut_after_ms));
    }
    let one = chosen.or_else(|| core.of_part(cut, Some(sleeper))).unwrap();
    core.cut_off(&[one]);
    let healthy = core.others(&[sleeper, one]);
    version = core.orders_go_on(CUT - ms(cut_after_ms), &healthy, &[one], version);
    core.resume(sleeper);
    while core.step_next(sleeper) {
        assert!(
            !core.nodes[sleeper].member.is_acting_primary(),
            "it woke and acts"
        );
    }
    // It is one of the healthy again while the other is still cut off.
    core.run(LEASE * 2);
    let awake = core.others(&[one]);
    version = core.orders_go_on(ms(cut_after_ms).max(LEASE), &awake, &[], version);
    assert_eq!(core.request(sleeper, READ).2, configuration(version));
    let unclear = core.nothing_is_answered_by(&[one], version);
    core.all_agree_on(version, unclear);
}

/// Steady clocks that run 4 % fast and slow: a lease is counted for nine tenths by its holder. The time of day has no
/// way into a member at all.
#[rstest]
#[case::the_primary_s_is_slow(-40_000, 40_000)]
#[case::the_primary_s_is_fast(40_000, -40_000)]
fn clocks_when_they_drift_during_a_partition_then_one_primary_acts(
    #[case] primary_ppm: i64,
    #[case] others_ppm: i64,
    #[values(Way::Neither, Way::In, Way::Out)] way: Way,
) {
    let mut core = PartitionCluster::started(3, 1);
    assert_eq!(
        core.request_until_definite(&[0], replace(0, 5)).1,
        ResultCode::Ok
    );
    let mut version = 5;
    for _ in 0..2 {
        let primary = core.primary();
        for n in 0..3 {
            core.set_drift(
                n,
                if n == primary {
                    primary_ppm
                } else {
                    others_ppm
                },
            );
        }
        core.cut_side(&[primary], way);
        let healthy = core.others(&[primary]);
        version = core.orders_go_on(CUT, &healthy, &[], version);
        let unclear = core.nothing_is_answered_by(&[primary], version);
        version = core.all_agree_on(version, unclear);
    }
}

/// Clocks that drift by far more than a tenth against each other: two act at once, and the check sees it.
#[test]
#[should_panic(expected = "act at")]
fn clocks_when_they_drift_too_far_then_the_check_fails() {
    let mut core = PartitionCluster::started(3, 1);
    let primary = core.primary();
    for n in 0..3 {
        core.set_drift(n, if n == primary { -300_000 } else { 300_000 });
    }
    core.run(LEASE);
    core.cut_side(&[primary], Way::Neither);
    core.run(LEASE * 2);
}
