//! Assigns hosts to the members that receive their heartbeats.

use protocol::MemberInfo;

/// Returns the member that a host should send its next heartbeats to, or `None` if that is the member `own_id` itself.
///
/// Uses rendezvous hashing over the reachable members: when one leaves, only its hosts move.
pub fn heartbeat_target<'a>(
    host: &str,
    own_id: u64,
    reachable: &'a [MemberInfo],
) -> Option<&'a MemberInfo> {
    let best = reachable.iter().max_by_key(|member| {
        (
            rendezvous::rendezvous_weight(host, &member.id.to_be_bytes()),
            member.id,
        )
    })?;
    (best.id != own_id).then_some(best)
}

/// Returns the member that a host should send its next heartbeat to when the member `own_id`, which received this one,
/// has lost contact with the primary. Returns `None` if there is no other member.
///
/// The target changes with each `call_seq`, so that the host finds a member that it can reach and that has contact. A
/// host that stayed with a partitioned member could remain unknown to all other members.
pub fn heartbeat_target_without_contact<'a>(
    host: &str,
    call_seq: u64,
    own_id: u64,
    members: &'a [MemberInfo],
) -> Option<&'a MemberInfo> {
    let mut others: Vec<&MemberInfo> = members.iter().filter(|m| m.id != own_id).collect();
    others.sort_by_key(|member| {
        (
            rendezvous::rendezvous_weight(host, &member.id.to_be_bytes()),
            member.id,
        )
    });
    let turn = call_seq.checked_rem(others.len() as u64)?;
    others.get(turn as usize).copied()
}
