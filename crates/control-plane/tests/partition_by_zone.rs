//! Zones, regions and several machines that are partitioned for twenty seconds in one or both directions, as far as the
//! fault budget allows, while another member is paused or clocks drift. In every case the majority applies requests
//! within the time bound, the partitioned members neither confirm nor reject, and at most one member is the acting
//! primary.

mod support;

use configuration::{FaultBudget, ResultCode};
use control_plane::member::majority_shortfall;
use rstest::rstest;
use support::partition_cluster::{
    configuration, replace_command, PartitionCluster, ACK_TIMEOUT, PARTITION_DURATION, READ_COMMAND,
};
use support::{ms, LEASE};

/// Two machines in each of three zones; one zone may be lost.
const ZONES: ([&str; 6], FaultBudget) = (
    ["r/a", "r/b", "r/c", "r/a", "r/b", "r/c"],
    FaultBudget {
        machine_losses: 0,
        zones: 1,
        region_losses: 0,
    },
);
/// Two zones in each of three regions; one region may be lost. The initial voters are in two of the regions.
const REGIONS: ([&str; 6], FaultBudget) = (
    ["x/a", "x/b", "y/c", "y/d", "z/e", "z/f"],
    FaultBudget {
        machine_losses: 0,
        zones: 0,
        region_losses: 1,
    },
);

/// Direction in which the links between a partitioned side and the others are blocked.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Blocked {
    Both,
    /// The partitioned side receives messages, but the others don't receive its own.
    Outbound,
    /// The others receive messages from the partitioned side, but it receives none.
    Inbound,
}

impl PartitionCluster {
    fn partition_side(&mut self, side: &[usize], blocked: Blocked) {
        match blocked {
            Blocked::Both => self.partition(side),
            Blocked::Outbound => self.partition_one_way(side, true),
            Blocked::Inbound => self.partition_one_way(side, false),
        }
    }

    /// For `duration`, sends one request after the other to the members in `majority` and asserts that each is confirmed
    /// within [`ACK_TIMEOUT`], and that the contact of the members in `lost` with the primary ages. Starts from version
    /// `from` and returns the version that is then in force.
    fn assert_requests_applied(
        &mut self,
        duration: std::time::Duration,
        majority: &[usize],
        lost: &[usize],
        from: u64,
    ) -> u64 {
        let (started_at, mut version) = (self.now, from);
        while self.now < started_at + duration {
            let (took, code) =
                self.request_until_definite(majority, replace_command(version, version + 2));
            assert!(
                code == ResultCode::Ok && took < ACK_TIMEOUT,
                "{code:?} after {took:?}"
            );
            version += 2;
            self.run(ms(700));
            let since = (self.now - started_at).saturating_sub(LEASE + ms(500));
            for n in lost {
                assert!(
                    self.contact_age(*n).is_none_or(|age| age >= since),
                    "{n}: {:?} {since:?}",
                    self.contact_age(*n)
                );
                assert!(
                    self.now < started_at + LEASE || !self.nodes[*n].member.is_acting_primary(),
                    "{n} is the acting primary"
                );
            }
        }
        version
    }

    /// Asserts that members without contact to a majority neither confirm nor reject requests. Returns whether the
    /// configuration request on `version` may still take effect, as not every member answered that it reached no primary.
    fn assert_requests_unavailable(&mut self, lost: &[usize], version: u64) -> bool {
        let mut configure_tickets = Vec::new();
        let mut other_tickets = Vec::new();
        for n in lost {
            other_tickets.extend([
                self.send_command(*n, READ_COMMAND),
                self.send_command(*n, replace_command(version - 2, version - 1)),
            ]);
            configure_tickets.push(self.send_command(*n, replace_command(version, version + 1)));
        }
        self.run(ACK_TIMEOUT);
        for ticket in other_tickets.iter().chain(&configure_tickets) {
            let code = self.answers[ticket].1;
            assert_eq!(code.status(), 503, "{code:?}");
        }
        configure_tickets
            .iter()
            .any(|ticket| self.answers[ticket].1 != ResultCode::NoPrimary)
    }

    /// Ends the partition and asserts that all voters return the same configuration: `version`, or the next one if
    /// `may_be_followed` says that an unanswered request may have taken effect. Returns its version.
    fn heal_and_assert_agreement(&mut self, version: u64, may_be_followed: bool) -> u64 {
        self.heal();
        self.run(ms(3000));
        let (_, code, body) = self.request(self.primary(), READ_COMMAND);
        let is_followed = may_be_followed && body == configuration(version + 1);
        let version = if is_followed { version + 1 } else { version };
        assert_eq!((code, body), (ResultCode::Ok, configuration(version)));
        for n in self.voters() {
            assert!(
                self.contact_age(n)
                    .expect("it has had contact with the primary")
                    < ms(600),
                "{n}: {:?}",
                self.contact_age(n)
            );
            assert_eq!(
                self.request(n, READ_COMMAND).2,
                configuration(version),
                "at {n}"
            );
        }
        version
    }
}

/// The zone or region of the primary is partitioned, or another one.
#[rstest]
fn zone_or_region_when_partitioned_then_the_majority_goes_on(
    #[values(ZONES, REGIONS)] (places, budget): ([&str; 6], FaultBudget),
    #[values(Blocked::Both, Blocked::Outbound, Blocked::Inbound)] blocked: Blocked,
    #[values(true, false)] with_primary: bool,
) {
    let mut cluster = PartitionCluster::in_places(budget, &places);
    // Any zone or region may be lost, even though two of the initial voters may be in the same one.
    let voter_infos: Vec<_> = cluster
        .voters()
        .iter()
        .map(|n| cluster.member_infos[*n].clone())
        .collect();
    assert!(
        majority_shortfall(&budget, &voter_infos.iter().collect::<Vec<_>>()) <= 0,
        "{voter_infos:?}"
    );
    assert_eq!(
        cluster
            .request_until_definite(&[0], replace_command(0, 5))
            .1,
        ResultCode::Ok
    );
    let primary = cluster.primary();
    let group = |n: usize| {
        places[n]
            .split('/')
            .nth(usize::from(budget.zones > 0))
            .unwrap()
    };
    let other_group_member = || {
        (0..places.len())
            .rev()
            .find(|n| group(*n) != group(primary))
            .unwrap()
    };
    let lost = cluster.members_in(group(if with_primary {
        primary
    } else {
        other_group_member()
    }));
    assert_eq!(lost.len(), 2, "{lost:?}");
    cluster.partition_side(&lost, blocked);
    let majority = cluster.others(&lost);
    let version = cluster.assert_requests_applied(PARTITION_DURATION, &majority, &lost, 5);
    let may_be_followed = cluster.assert_requests_unavailable(&lost, version);
    cluster.heal_and_assert_agreement(version, may_be_followed);
}

/// One or two of five members are partitioned in one direction, the primary among them or not.
#[rstest]
fn five_members_when_partitioned_one_way_then_the_majority_goes_on(
    #[values(1, 2)] count: usize,
    #[values(Blocked::Outbound, Blocked::Inbound)] blocked: Blocked,
    #[values(true, false)] with_primary: bool,
) {
    let mut cluster = PartitionCluster::with_members(5, 2);
    assert_eq!(
        cluster
            .request_until_definite(&[0], replace_command(0, 5))
            .1,
        ResultCode::Ok
    );
    let primary = cluster.primary();
    let rest = cluster.others(&[primary]);
    let first = with_primary.then_some(primary);
    let lost: Vec<usize> = first.into_iter().chain(rest).take(count).collect();
    cluster.partition_side(&lost, blocked);
    let majority = cluster.others(&lost);
    let version = cluster.assert_requests_applied(PARTITION_DURATION, &majority, &lost, 5);
    let may_be_followed = cluster.assert_requests_unavailable(&lost, version);
    cluster.heal_and_assert_agreement(version, may_be_followed);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Role {
    Primary,
    Replica,
    Witness,
}

impl PartitionCluster {
    /// A member with a role in the primary's membership, other than `excluded`.
    fn member_with_role(&self, role: Role, excluded: Option<usize>) -> Option<usize> {
        let (primary, replicas) = (self.primary(), self.replicas());
        let has_role = |n: &usize| match role {
            Role::Primary => *n == primary,
            Role::Replica => *n != primary && replicas.contains(n),
            Role::Witness => !replicas.contains(n),
        };
        (0..self.nodes.len())
            .filter(|n| Some(*n) != excluded)
            .find(has_role)
    }
}

/// One of five members is paused for twenty seconds and resumes while another one is partitioned, also for twenty
/// seconds. The budget allows the loss of both.
#[rstest]
fn member_when_paused_while_another_is_partitioned_then_one_primary_acts(
    #[values(Role::Primary, Role::Replica, Role::Witness)] paused_role: Role,
    #[values(Role::Primary, Role::Replica, Role::Witness)] partitioned_role: Role,
    #[values(0, 400, 10_000)] partition_after_ms: u64,
) {
    let mut cluster = PartitionCluster::with_members(5, 2);
    assert_eq!(
        cluster
            .request_until_definite(&[0], replace_command(0, 5))
            .1,
        ResultCode::Ok
    );
    let paused = cluster.member_with_role(paused_role, None).unwrap();
    // The role before the pause or, if a takeover comes first, the role after it.
    let chosen = cluster.member_with_role(partitioned_role, Some(paused));
    let is_takeover_first = partition_after_ms >= LEASE.as_millis() as u64;
    if chosen.is_none() && !is_takeover_first {
        assert!(
            paused_role == Role::Primary && partitioned_role == Role::Primary,
            "only the primary's role has a single member"
        );
        return;
    }
    cluster.nodes[paused].is_paused = true;
    let mut version = 5;
    if is_takeover_first {
        let majority = cluster.others(&[paused]);
        version = cluster.assert_requests_applied(ms(partition_after_ms), &majority, &[], version);
    } else {
        cluster.run(ms(partition_after_ms));
    }
    let partitioned = chosen
        .or_else(|| cluster.member_with_role(partitioned_role, Some(paused)))
        .unwrap();
    cluster.partition(&[partitioned]);
    let majority = cluster.others(&[paused, partitioned]);
    version = cluster.assert_requests_applied(
        PARTITION_DURATION - ms(partition_after_ms),
        &majority,
        &[partitioned],
        version,
    );
    cluster.resume(paused);
    while cluster.handle_next_input(paused) {
        assert!(
            !cluster.nodes[paused].member.is_acting_primary(),
            "it is the acting primary after its pause"
        );
    }
    // It belongs to the majority again while the other one is still partitioned.
    cluster.run(LEASE * 2);
    let running = cluster.others(&[partitioned]);
    version =
        cluster.assert_requests_applied(ms(partition_after_ms).max(LEASE), &running, &[], version);
    assert_eq!(
        cluster.request(paused, READ_COMMAND).2,
        configuration(version)
    );
    let may_be_followed = cluster.assert_requests_unavailable(&[partitioned], version);
    cluster.heal_and_assert_agreement(version, may_be_followed);
}

/// Steady clocks that run 4 % fast and slow. The holder of a lease counts only nine tenths of its duration, which allows
/// for that drift. A member doesn't use the time of day at all.
#[rstest]
#[case::slow_primary_clock(-40_000, 40_000)]
#[case::fast_primary_clock(40_000, -40_000)]
fn clocks_when_they_drift_during_a_partition_then_one_primary_acts(
    #[case] primary_ppm: i64,
    #[case] others_ppm: i64,
    #[values(Blocked::Both, Blocked::Outbound, Blocked::Inbound)] blocked: Blocked,
) {
    let mut cluster = PartitionCluster::with_members(3, 1);
    assert_eq!(
        cluster
            .request_until_definite(&[0], replace_command(0, 5))
            .1,
        ResultCode::Ok
    );
    let mut version = 5;
    for _ in 0..2 {
        let primary = cluster.primary();
        for n in 0..3 {
            cluster.set_drift(
                n,
                if n == primary {
                    primary_ppm
                } else {
                    others_ppm
                },
            );
        }
        cluster.partition_side(&[primary], blocked);
        let majority = cluster.others(&[primary]);
        version = cluster.assert_requests_applied(PARTITION_DURATION, &majority, &[], version);
        let may_be_followed = cluster.assert_requests_unavailable(&[primary], version);
        version = cluster.heal_and_assert_agreement(version, may_be_followed);
    }
}

/// Clocks that drift apart by far more than a tenth: two members are the acting primary at once, and the check in
/// [`PartitionCluster`] fails.
#[test]
#[should_panic(expected = "act at")]
fn clocks_when_they_drift_too_far_then_the_check_fails() {
    let mut cluster = PartitionCluster::with_members(3, 1);
    let primary = cluster.primary();
    for n in 0..3 {
        cluster.set_drift(n, if n == primary { -300_000 } else { 300_000 });
    }
    cluster.run(LEASE);
    cluster.partition_side(&[primary], Blocked::Both);
    cluster.run(LEASE * 2);
}
